/*
 * How long lasting tasks that had a run are without one, for the log and the metrics.
 */
#include <inttypes.h>
#include <stdbool.h>
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
#include "down.h"

/*
 * A run is about to be removed as its worker is lost: its task may have been down since the
 * worker last answered.
 */
void
downtime_run_lost(const sched_t *s, const run_t *r)
{
	task_t *t = r->task;

	if (t == NULL || !t->step->def->lasting || t->run != r ||
	    t->speculative_run != NULL || r->first_seen_ms == 0)
		return;
	t->down_since_ms =
	    CLAMP(r->worker->answered_ms, r->first_seen_ms, s->now_ms);
	t->down_by_stop = r->state == RUN_STOPPING;
}

/* A run is removed, which may have been the only one of a lasting task. */
void
downtime_run_removed(const sched_t *s, const run_t *r)
{
	task_t *t = r->task;

	if (!t->step->def->lasting || t->run != NULL || t->down_since_ms != 0 ||
	    r->first_seen_ms == 0)
		return;
	t->down_since_ms = s->now_ms;
	t->down_by_stop = r->state == RUN_STOPPING;
}

/* The waiting tasks of a lasting step have been down since a time. */
static void
mark_down(sched_t *s, step_t *st, int64_t since_ms)
{
	for (int32_t i = 0; i < st->ntasks; i++) {
		task_t *t = &st->tasks[i];

		if (t->state != TASK_WAITING || t->down_since_ms != 0)
			continue;
		t->down_since_ms = since_ms;
		st->ndown++;
	}
	queue_move_step(s, st);
}

/*
 * All runs of earlier owners are known: the lasting tasks without one, of jobs that had
 * begun, are taken for down since the claim.
 */
void
downtime_taken_over(sched_t *s)
{
	job_t *j;

	FOREACH_VALUE (j, s->jobs) {
		if (!j->maybe_started_before || !j->started ||
		    j->stage != JOB_OPEN)
			continue;
		for (guint i = 0; i < j->occs->len; i++) {
			occurrence_t *o = g_ptr_array_index(j->occs, i);

			for (size_t k = 0; k < j->def->n_steps; k++)
				if (o->steps[k].def->lasting &&
				    o->steps[k].ready)
					mark_down(s, &o->steps[k],
					    s->cell.claimed_ms);
		}
	}
}

/* A worker has acknowledged a run of a task, or reports it. */
void
downtime_run_up(sched_t *s, const run_t *r)
{
	task_t *t = r->task;

	if (t == NULL || t->down_since_ms == 0)
		return;
	LOG_EVENT(s, SCHED_EVT_LASTING_BACK, r->name,
	    "run=%" PRId64 " worker=%s down=%" PRId64 " by_stop=%d reason=%s",
	    r->number, r->worker->id, s->now_ms - t->down_since_ms,
	    t->down_by_stop, sched_wait_reason_name(t->step->wait_reason));
	t->down_since_ms = 0;
}

bool
downtime_is_down(const task_t *t)
{
	return t->state == TASK_WAITING && t->down_since_ms != 0;
}

bool
downtime_is_new(const task_t *t)
{
	return t->step->def->lasting && t->down_since_ms == 0 &&
	    t->last_run_number == 0 && t->crashes == NULL;
}

int64_t
downtime_ms(const sched_t *s, const task_t *t)
{
	return t->down_since_ms == 0 ? 0 : s->now_ms - t->down_since_ms;
}

const task_t *
downtime_longest(const step_t *st)
{
	const task_t *longest = NULL;

	if (!st->def->lasting)
		return NULL;
	for (int32_t i = 0; i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];

		if (downtime_is_down(t) &&
		    (longest == NULL ||
			t->down_since_ms < longest->down_since_ms))
			longest = t;
	}
	return longest;
}

/* Counts the tasks of a queued step that are down. */
void
downtime_count(const sched_t *s, const step_t *st, downtime_t *d)
{
	for (int32_t i = 0; st->def->lasting && i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];

		if (!downtime_is_down(t))
			continue;
		d->tasks++;
		d->longest_ms = MAX(d->longest_ms, downtime_ms(s, t));
	}
}
