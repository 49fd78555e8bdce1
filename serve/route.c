/*
 * Which queue a request belongs to.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "serve.h"

/* The route with the longest prefix; a port in the host does not count. */
static const platform_queue_t *
longest(const platform_config_t *t, const char *host, const char *path)
{
	size_t n = strcspn(host, ":"), best_len = 0;
	const platform_queue_t *best = NULL;

	for (guint i = 0; i < t->queues->len; i++) {
		const platform_queue_t *q =
		    &g_array_index(t->queues, platform_queue_t, i);
		size_t len = strlen(q->prefix);

		if (strlen(q->host) != n ||
		    g_ascii_strncasecmp(q->host, host, n) != 0 ||
		    strncmp(q->prefix, path, len) != 0)
			continue;
		if (best != NULL && len <= best_len)
			continue;
		best = q;
		best_len = len;
	}
	return best;
}

route_result_t
route_find(const platform_config_t *t, const char *host, const char *path,
    route_match_t *m)
{
	size_t n;
	const char *id;

	m->queue = longest(t, host, path);
	if (m->queue == NULL)
		return ROUTE_NOT_FOUND;
	id = path + strlen(m->queue->prefix);
	n = strcspn(id, "?");
	if (n != 0 && n != SCHED_JOB_ID_BYTES)
		return ROUTE_BAD_ID;
	for (size_t i = 0; i < n; i++)
		if (!g_ascii_isxdigit(id[i]))
			return ROUTE_BAD_ID;
	memcpy(m->id, id, n);
	m->id[n] = '\0';
	return ROUTE_FOUND;
}
