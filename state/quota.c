/*
 * Quotas of resources (ts_quota_t).
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tanagerspool.h"

/* Whether an amount is within a limit, of which 0 means that there is none. */
static bool
within(int64_t amount, int64_t limit)
{
	return limit == 0 || amount <= limit;
}

/* Whether less than half of a limit is held. */
static bool
below_half(int64_t amount, int64_t limit)
{
	return limit == 0 || amount * 2 < limit;
}

/* What is held, and may be held unseen. */
static ts_res_t
held(const ts_quota_t *q)
{
	ts_res_t sum = q->used;

	ts_res_add(&sum, &q->unseen);
	return sum;
}

bool
ts_quota_fits(const ts_quota_t *q, const ts_res_t *demand)
{
	ts_res_t sum = held(q);

	ts_res_add(&sum, demand);
	return within(sum.cpu_milli, q->limit.cpu_milli) &&
	    within(sum.mem_bytes, q->limit.mem_bytes) &&
	    within(sum.accel, q->limit.accel);
}

bool
ts_quota_allows(const ts_quota_t *q, const ts_res_t *demand)
{
	ts_res_t sum = held(q);

	return ts_quota_fits(q, demand) ||
	    (below_half(sum.cpu_milli, q->limit.cpu_milli) &&
		below_half(sum.mem_bytes, q->limit.mem_bytes) &&
		below_half(sum.accel, q->limit.accel));
}
