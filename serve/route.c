/*
 * Finds the queue that a request belongs to, by the routes of the operators'
 * configuration.
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
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"

/* The queue with the longest matching prefix; ignores a port in host. */
static const platform_queue_t *
longest_match(const platform_config_t *cfg, const char *host, const char *path)
{
	size_t host_len = strcspn(host, ":"), best_len = 0;
	const platform_queue_t *best = NULL;

	for (guint i = 0; i < cfg->queues->len; i++) {
		const platform_queue_t *q =
		    &g_array_index(cfg->queues, platform_queue_t, i);
		size_t len = strlen(q->prefix);

		if (strlen(q->host) != host_len ||
		    g_ascii_strncasecmp(q->host, host, host_len) != 0 ||
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
route_find(const platform_config_t *cfg, const char *host, const char *path,
    route_match_t *m)
{
	size_t id_len;
	const char *id;

	m->queue = longest_match(cfg, host, path);
	if (m->queue == NULL)
		return ROUTE_NOT_FOUND;
	id = path + strlen(m->queue->prefix);
	id_len = strcspn(id, "?");
	if (id_len != 0 && id_len != SCHED_JOB_ID_BYTES)
		return ROUTE_BAD_ID;
	for (size_t i = 0; i < id_len; i++)
		if (!g_ascii_isxdigit(id[i]))
			return ROUTE_BAD_ID;
	memcpy(m->id, id, id_len);
	m->id[id_len] = '\0';
	return ROUTE_FOUND;
}
