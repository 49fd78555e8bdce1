/*
 * Quotas of resources (ts_quota_t).
 *
 * Sums that are compared with a limit may be larger than their type holds: a job
 * may have 200,000 tasks of 1e9 MB each.  They count as its largest value then.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tanagerspool.h"

/* a + n x b, of amounts and a number that are not negative. */
static int64_t
add_times(int64_t a, int64_t b, int64_t n)
{
	int64_t product, sum;

	if (__builtin_mul_overflow(b, n, &product) ||
	    __builtin_add_overflow(a, product, &sum))
		return INT64_MAX;
	return sum;
}

void
ts_res_add_times(ts_res_t *sum, const ts_res_t *part, int64_t n)
{
	sum->cpu_milli = add_times(sum->cpu_milli, part->cpu_milli, n);
	sum->mem_bytes = add_times(sum->mem_bytes, part->mem_bytes, n);
	sum->accel =
	    (int32_t)MIN(INT32_MAX, add_times(sum->accel, part->accel, n));
}

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
	return limit == 0 || amount < limit - limit / 2;
}

/* What is held, and may be held unseen. */
static ts_res_t
held(const ts_quota_t *q)
{
	ts_res_t sum = q->used;

	ts_res_add_times(&sum, &q->unseen, 1);
	return sum;
}

bool
ts_quota_fits(const ts_quota_t *q, const ts_res_t *demand)
{
	ts_res_t sum = held(q);

	ts_res_add_times(&sum, demand, 1);
	return within(sum.cpu_milli, q->limit.cpu_milli) &&
	    within(sum.mem_bytes, q->limit.mem_bytes) &&
	    within(sum.accel, q->limit.accel);
}

bool
ts_quota_below_half(const ts_quota_t *q)
{
	ts_res_t sum = held(q);

	return below_half(sum.cpu_milli, q->limit.cpu_milli) &&
	    below_half(sum.mem_bytes, q->limit.mem_bytes) &&
	    below_half(sum.accel, q->limit.accel);
}

bool
ts_quota_allows(const ts_quota_t *q, const ts_res_t *demand)
{
	return ts_quota_fits(q, demand) || ts_quota_below_half(q);
}
