/*
 * What callers hold of a daemon: its log, and memory that is given back.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../trans/budget.h"
#include "../trans/trans.h"
#include "cmd.h"

#define LOOK_MS 1000 /* between two lines, and two times memory is given back */
/*
 * Longer blocks go back to the system as they are freed.  Set, so that it doesn't
 * grow with what callers send.
 */
#define MMAP_BYTES (128 * 1024)

struct callers {
	const char *name;
	budget_t *budget;
	budget_stats_t logged; /* what was logged last */
	int64_t looked_ms;
};

callers_t *
callers_new(const char *name, int32_t memory_mb, int32_t max_fds)
{
	budget_limits_t limits = { memory_mb, max_fds };
	callers_t *c = g_new0(callers_t, 1);

	mallopt(M_MMAP_THRESHOLD, MMAP_BYTES);
	mallopt(M_TRIM_THRESHOLD, 2 * MMAP_BYTES);
	c->name = name;
	c->budget = budget_new(&limits);
	return c;
}

budget_t *
callers_budget(const callers_t *c)
{
	return c->budget;
}

void
callers_tick(callers_t *c, int64_t now_ms)
{
	budget_stats_t s = budget_stats(c->budget);

	if (now_ms - c->looked_ms < LOOK_MS)
		return;
	c->looked_ms = now_ms;
	if (budget_trim_due(c->budget))
		malloc_trim(0);
	if (s.closed == c->logged.closed &&
	    s.not_accepted == c->logged.not_accepted &&
	    s.refused == c->logged.refused)
		return;
	log_event(EVT_CALLERS_CLOSED,
	    "name=%s closed=%" PRIu64 " not_accepted=%" PRIu64
	    " refused=%" PRIu64 " connections=%d waiting=%d bytes=%" PRId64,
	    c->name, s.closed - c->logged.closed,
	    s.not_accepted - c->logged.not_accepted,
	    s.refused - c->logged.refused, s.connections, s.waiting, s.bytes);
	c->logged = s;
}
