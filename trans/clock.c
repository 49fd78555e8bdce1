/*
 * The clock: the wall time is read once, at the start, and advanced by the
 * monotonic clock.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "trans.h"

typedef struct {
	int64_t offset_ms; /* from the monotonic clock to the wall clock */
} clock_ctx_t;

static int64_t
now_ms(void *ctx)
{
	clock_ctx_t *c = ctx;

	return c->offset_ms + (int64_t)(uv_hrtime() / 1000000);
}

ts_clock_t
clock_system(void)
{
	clock_ctx_t *c = g_new0(clock_ctx_t, 1);
	ts_clock_t clock = { now_ms, c };

	c->offset_ms =
	    g_get_real_time() / 1000 - (int64_t)(uv_hrtime() / 1000000);
	return clock;
}

int64_t
clock_now(const ts_clock_t *clock)
{
	return clock->now_ms(clock->ctx);
}
