/*
 * The store's clock; see store_clock.h.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "store_clock.h"

#define PERIOD_MS 60000

void
store_clock_read(store_clock_t *c, int64_t store_ms, int64_t now_ms)
{
	int64_t offset_ms = store_ms - now_ms, period = now_ms / PERIOD_MS;

	if (!c->known)
		c->highest_ms = c->former_ms = offset_ms;
	else if (period != c->period) {
		c->former_ms = c->highest_ms;
		c->highest_ms = offset_ms;
	}
	c->known = true;
	c->period = period;
	c->highest_ms = MAX(c->highest_ms, offset_ms);
}

int64_t
store_clock_now(const store_clock_t *c, int64_t now_ms)
{
	return now_ms + MAX(c->highest_ms, c->former_ms);
}

int64_t
store_clock_local(
    const store_clock_t *c, int64_t store_ms, int64_t called_ms, int64_t now_ms)
{
	if (!c->known || store_ms == 0)
		return called_ms;
	return CLAMP(
	    store_ms - MAX(c->highest_ms, c->former_ms), called_ms, now_ms);
}
