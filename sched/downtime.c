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
