/*
 * Submissions that would end too late to be of any worth: what the owner
 * publishes, and whether a job is meant by it, which entries ask.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "sched.h"
#include "image_set.h"
#include "headroom.h"
#include "run_time.h"
#include "types.h"
#include "customer.h"
#include "internal.h"
#include "overload.h"
#include "overload_queue.h"

/*
 * A wrong refusal costs the caller everything: only this share of the expected
 * delay is published, after no job of its queue could be planned for a while.
 */
#define REFUSE_DELAY_SHARE 0.5
#define REFUSE_MIN_JOBS	   8 /* fewer say little of the jobs of a queue */
/* Entries apply the declared run times: not if real ones are below these. */
#define REFUSE_MIN_RUN_TIME_PCT 90
#define RETRY_MIN_MS		1000
#define RETRY_MAX_MS		30000

/*
 * Work that waits now and goes before a new job of a queue that is deferred.
 * That of steps that are not ready leaves it room.
 */
static double
work_ahead(const sched_t *s, pool_t p)
{
	double sum = 0;

	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		if (overload_pool(st) == p && !st->def->lasting &&
		    !st->misses_target && !st->occ->deferred &&
		    customer_allows_start(st))
			sum += overload_task_work(st) * st->nwaiting;
	}
	return sum;
}

/* All work in the plan of a priority and of those before it. */
static double
work_up_to(const pool_state_t *p, int32_t priority)
{
	double sum = 0;

	for (guint i = 0; i < p->items->len; i++) {
		const overload_item_t *it =
		    &g_array_index(p->items, overload_item_t, i);

		sum += it->priority <= priority ? it->work_left : 0;
	}
	return sum;
}

/* The pool of most jobs of a queue. */
static pool_t
queue_pool(const queue_plan_t *q)
{
	int32_t jobs = q->planned + q->deferred;

	return 2 * q->fillers > jobs ? POOL_FILLER : POOL_SHORT;
}

double
overload_delay_ms(const sched_t *s, const queue_plan_t *q)
{
	pool_t p = queue_pool(q);
	double rate = overload_rate(&s->overload->pools[p].rate);

	return rate <= 0 ? 0 : work_ahead(s, p) / rate;
}

/* Time in which the work of a queue's priority and those before it is done. */
static int32_t
retry_after_ms(const sched_t *s, const queue_plan_t *q)
{
	const pool_state_t *p = &s->overload->pools[queue_pool(q)];

	return (int32_t)CLAMP(
	    work_up_to(p, q->priority) / overload_rate(&p->rate), RETRY_MIN_MS,
	    RETRY_MAX_MS);
}

/*
 * Whether all jobs of a queue have been deferred for a while, among them several
 * that have just come: the next one will be, too.  When submissions are refused,
 * none come, and after a while some are accepted again.
 */
static bool
is_refused(const sched_t *s, const queue_t *q)
{
	return q->plan.none_planned_since_ms != 0 &&
	    s->now_ms - q->plan.none_planned_since_ms >= FRESH_MS &&
	    q->plan.fresh >= REFUSE_MIN_JOBS &&
	    q->run_time_pct >= REFUSE_MIN_RUN_TIME_PCT;
}

/*
 * Appends a refusal for each queue of which no job can be on time: a
 * Sched__Refusal from g_new, which does not own its names.
 */
void
overload_add_refusals(sched_t *s, GPtrArray *refusals)
{
	const queue_t *q;

	FOREACH_VALUE (q, s->queues) {
		Sched__Refusal *r;
		double delay;

		if (!is_refused(s, q))
			continue;
		delay = overload_delay_ms(s, &q->plan) * REFUSE_DELAY_SHARE;
		if (delay < 1)
			continue;
		r = g_new(Sched__Refusal, 1);
		sched__refusal__init(r);
		r->queue = (char *)q->name;
		r->delay_ms = (int32_t)MIN(delay, INT32_MAX);
		r->retry_after_ms = retry_after_ms(s, &q->plan);
		g_ptr_array_add(refusals, r);
	}
}

/* Declared time of the longest chain of steps of a valid job. */
static int64_t
longest_chain_ms(const Sched__Job *job)
{
	int64_t *ends = g_new0(int64_t, job->n_steps);
	int64_t longest = 0;

	for (size_t i = 0; i < job->n_steps; i++) {
		const Sched__Step *st = job->steps[i];

		for (size_t k = 0; k < st->n_after; k++)
			ends[i] = MAX(ends[i], ends[st->after[k]]);
		ends[i] += st->estimate_ms;
		longest = MAX(longest, ends[i]);
	}
	g_free(ends);
	return longest;
}

/*
 * Whether a valid job would end after its late limit under a refusal of its
 * queue.  A job that repeats is due later.
 */
bool
overload_is_hopeless(const Sched__Refusal *r, const Sched__Job *job)
{
	int64_t chain = longest_chain_ms(job);
	double allowed = (double)job->target_ms + job->stretch * (double)chain;

	if (r->delay_ms <= 0 || job->repeats > 0 ||
	    (r->queue[0] != '\0' && strcmp(r->queue, job->queue) != 0))
		return false;
	return (double)r->delay_ms + (double)chain > LATE_LIMIT_TIMES * allowed;
}
