/*
 * A token bucket; see rate_limit.h.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "rate_limit.h"

#define TOKEN_MILLI 1000

bool
rate_limit_take(rate_limit_t *l, int64_t now_ms)
{
	int64_t filled = (now_ms - l->as_of_ms) * l->per_s;

	l->used_milli = MAX(0, l->used_milli - filled);
	l->as_of_ms = now_ms;
	if (l->used_milli + TOKEN_MILLI > (int64_t)l->burst * TOKEN_MILLI)
		return false;
	l->used_milli += TOKEN_MILLI;
	return true;
}
