/*
 * The overload plan of the queue: gives overload.c the open jobs, and marks
 * those that it defers.
 *
 * Pattern: more work comes than can be done.  Every job waits a little, and all
 * end late.  Instead some are deferred at once, so that the others end on time.
 *
 * Short and filler work have a plan each, as workers do them at different rates:
 * isolation.c and pacing.c hold fillers back.  Both rates are learned while such
 * work waits; without a queue nothing is known, and nothing deferred.  A job
 * belongs to the plan of the kind of which it has more work left.  Lasting tasks
 * are in no plan.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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

/* Waiting work below this share of what runs is no shortage. */
#define MIN_BACKLOG 0.1
/* After a longer time between updates, as in a pause, no rate is learned. */
#define UPDATE_GAP_MAX_MS 1000

overload_t *
overload_new(void)
{
	overload_t *o = g_new0(overload_t, 1);

	for (int p = 0; p < NPOOLS; p++)
		o->pools[p].items =
		    g_array_new(FALSE, TRUE, sizeof(overload_item_t));
	return o;
}

void
overload_free(overload_t *o)
{
	for (int p = 0; p < NPOOLS; p++)
		g_array_unref(o->pools[p].items);
	g_free(o);
}

pool_t
overload_pool(const step_t *st)
{
	return st->def->filler ? POOL_FILLER : POOL_SHORT;
}

/* Expected work of one task of a step, by the run times of its queue. */
double
overload_task_work(const step_t *st)
{
	return (double)st->def->cpu_milli * (double)job_task_ms(st);
}

/* Adds the progress of a run since it was last counted. */
static void
count_progress(overload_t *o, const step_t *st, int32_t from, int32_t to)
{
	o->pools[overload_pool(st)].done +=
	    overload_task_work(st) * MAX(0, to - from) / 100;
}

/* The progress of a run up to which it has been counted. */
static int32_t
counted_percent(const run_t *r)
{
	return MAX(r->counted_percent, r->first_seen_percent);
}

/* A run is over; if its task is done, so is the rest of the work. */
void
overload_run_removed(sched_t *s, const run_t *r)
{
	if (r->task->state == TASK_DONE && r->task->run == r &&
	    !r->task->step->def->lasting)
		count_progress(
		    s->overload, r->task->step, counted_percent(r), 100);
}

/* Counts the progress of all runs and the work that they have left. */
static void
count_runs(sched_t *s)
{
	run_t *r;

	FOREACH_VALUE (r, s->runs) {
		const step_t *st = r->task == NULL ? NULL : r->task->step;
		double left;

		if (st == NULL || st->def->lasting || r->task->run != r ||
		    r->task->state != TASK_RUNNING)
			continue;
		count_progress(s->overload, st, counted_percent(r), r->percent);
		r->counted_percent = MAX(r->counted_percent, r->percent);
		left = overload_task_work(st) *
		    (100 - CLAMP(r->percent, 0, 100)) / 100;
		st->occ->running_work += left;
		s->overload->pools[overload_pool(st)].running += left;
	}
}

/*
 * Adds up the waiting work that only lacks room.  What waits for other reasons
 * says nothing of the rate at which work can be done.
 */
static void
count_waiting(sched_t *s)
{
	if (!ownership_may_start_tasks(s))
		return;
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		if (!st->def->lasting && customer_allows_start(st) &&
		    ownership_may_start_step(s, st))
			s->overload->pools[overload_pool(st)].waiting +=
			    overload_task_work(st) * st->nwaiting;
	}
}

/*
 * The time that an occurrence needs if none of its tasks waits any more.  What
 * tasks that run still need is left out, as their progress is known coarsely.
 */
static int64_t
shortest_ms(const occurrence_t *o)
{
	int64_t longest = 0;

	for (size_t i = 0; i < o->job->def->n_steps; i++) {
		const step_t *st = &o->steps[i];
		int64_t path = st->path_ms;

		if (st->ndone == st->ntasks)
			continue;
		if (st->nwaiting == 0)
			path -= job_task_ms(st);
		longest = MAX(longest, path);
	}
	return longest;
}

/* Whether the quota of its customer keeps an occurrence from starting. */
static bool
is_held_by_quota(const occurrence_t *o)
{
	if (o->running_work > 0)
		return false;
	for (size_t i = 0; i < o->job->def->n_steps; i++)
		if (o->steps[i].ready && o->steps[i].nwaiting > 0 &&
		    !customer_allows_start(&o->steps[i]))
			return true;
	return false;
}

/* Adds an occurrence to the plan of its pool. */
static void
add_item(sched_t *s, occurrence_t *o)
{
	double work[NPOOLS] = { 0 };
	overload_item_t it = { .ctx = o,
		.due_ms = o->due_wall_ms + o->job->allowed_ms - s->wall_ms,
		.late_ms = o->due_wall_ms +
		    LATE_LIMIT_TIMES * o->job->allowed_ms - s->wall_ms,
		.shortest_ms = shortest_ms(o),
		.slack_ms = o->job->allowed_ms,
		.work_left = o->running_work,
		.work_running = o->running_work,
		.value = queue_job_value(o->job),
		.priority = o->job->priority,
		.was_deferred = o->deferred };
	pool_t p;

	for (size_t i = 0; i < o->job->def->n_steps; i++) {
		const step_t *st = &o->steps[i];

		if (st->def->lasting)
			return;
		it.slack_ms =
		    MIN(it.slack_ms, o->job->allowed_ms - st->path_ms);
		it.begun |= st->nwaiting < st->ntasks;
		work[overload_pool(st)] +=
		    overload_task_work(st) * (st->ntasks - st->ndone);
		it.work_left += overload_task_work(st) * st->nwaiting;
	}
	p = work[POOL_FILLER] > work[POOL_SHORT] ? POOL_FILLER : POOL_SHORT;
	if (work[p] > 0 && !is_held_by_quota(o))
		g_array_append_val(s->overload->pools[p].items, it);
}

/* Whether an occurrence may run and is not done. */
static bool
is_open(const sched_t *s, const occurrence_t *o)
{
	return o->job->stage == JOB_OPEN && o->due_wall_ms <= s->wall_ms &&
	    (size_t)o->steps_done < o->job->def->n_steps;
}

/* Gives the open jobs to the plans, and clears the marks of the last ones. */
static void
add_items(sched_t *s)
{
	const job_t *j;

	FOREACH_VALUE (j, s->jobs) {
		for (guint i = 0; i < j->occs->len; i++) {
			occurrence_t *o = g_ptr_array_index(j->occs, i);

			if (is_open(s, o))
				add_item(s, o);
			o->deferred = false;
			o->running_work = 0;
		}
	}
}

/* Marks an occurrence as its plan says, and counts it for its queue. */
static void
apply_mark(sched_t *s, const overload_item_t *it, pool_t p)
{
	occurrence_t *o = it->ctx;
	queue_plan_t *q = &o->job->queue->plan;

	q->priority = o->job->priority;
	q->fillers += p == POOL_FILLER;
	q->planned += it->mark == OVERLOAD_ON_TIME;
	o->deferred = it->mark != OVERLOAD_ON_TIME;
	/* A job that is late in any case is not deferred for others. */
	if (!o->deferred || it->shortest_ms > it->due_ms)
		return;
	q->deferred++;
	q->fresh += s->wall_ms - o->due_wall_ms < FRESH_MS;
	q->hopeless += it->mark == OVERLOAD_HOPELESS;
	q->deferred_work += it->work_left;
	s->overload->deferred_jobs++;
}

/* Makes the plan of a pool, if the rate of its work is known. */
static void
plan_pool(sched_t *s, pool_t p)
{
	pool_state_t *st = &s->overload->pools[p];
	double rate = overload_rate(&st->rate);
	overload_sums_t sums;

	if (rate <= 0)
		return;
	overload_plan((overload_item_t *)(void *)st->items->data,
	    st->items->len, rate, &sums);
	for (guint i = 0; i < st->items->len; i++)
		apply_mark(s, &g_array_index(st->items, overload_item_t, i), p);
}

/* Learns the rate of a pool's work since the last update. */
static void
learn_rate(pool_state_t *p, int64_t ms)
{
	bool backlog = p->waiting > MIN_BACKLOG * p->running;

	if (ms <= UPDATE_GAP_MAX_MS)
		overload_rate_add(
		    &p->rate, p->done, ms, backlog && p->had_backlog);
	p->had_backlog = backlog;
	p->done = 0;
}

/* Clears what the last plan said of the queues. */
static void
clear_queues(sched_t *s)
{
	queue_t *of;

	FOREACH_VALUE (of, s->queues) {
		queue_plan_t *q = &of->plan;

		*q = (queue_plan_t){ .none_planned_since_ms =
					 q->none_planned_since_ms,
			.logged = q->logged };
	}
}

/* Notes since when no job of a queue could be planned to be on time. */
static void
update_queues(sched_t *s)
{
	queue_t *of;

	FOREACH_VALUE (of, s->queues) {
		queue_plan_t *q = &of->plan;

		if (q->planned > 0 || q->deferred == 0)
			q->none_planned_since_ms = 0;
		else if (q->none_planned_since_ms == 0)
			q->none_planned_since_ms = s->now_ms;
	}
}

/* Decides which jobs are deferred. */
void
overload_update(sched_t *s)
{
	overload_t *o = s->overload;
	int64_t ms = s->now_ms - o->updated_ms;

	o->updated_ms = s->now_ms;
	o->deferred_jobs = 0;
	for (int p = 0; p < NPOOLS; p++) {
		o->pools[p].waiting = o->pools[p].running = 0;
		g_array_set_size(o->pools[p].items, 0);
	}
	count_runs(s);
	count_waiting(s);
	add_items(s);
	clear_queues(s);
	for (int p = 0; p < NPOOLS; p++) {
		learn_rate(&o->pools[p], ms);
		plan_pool(s, (pool_t)p);
	}
	update_queues(s);
}

/* Jobs that the last plans defer. */
int64_t
overload_deferred_jobs(const sched_t *s)
{
	return s->overload->deferred_jobs;
}

/* Logs the deferred jobs of each queue that has some or had some before. */
void
overload_log(sched_t *s)
{
	const pool_state_t *pools = s->overload->pools;
	queue_t *q;

	FOREACH_VALUE (q, s->queues) {
		queue_plan_t *p = &q->plan;

		if (p->deferred > 0 || p->logged)
			LOG_EVENT(s, SCHED_EVT_OVERLOAD, q->name,
			    "deferred=%d hopeless=%d planned=%d work=%d "
			    "delay=%d short_rate=%d filler_rate=%d",
			    p->deferred, p->hopeless, p->planned,
			    (int)(p->deferred_work / 1e6),
			    (int)MIN(overload_delay_ms(s, p), INT32_MAX),
			    (int)(overload_rate(&pools[POOL_SHORT].rate) /
				1000),
			    (int)(overload_rate(&pools[POOL_FILLER].rate) /
				1000));
		p->logged = p->deferred > 0;
	}
}
