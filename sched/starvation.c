/*
 * Late batch work that is passed over.
 *
 * Pattern: an overload.  queue.c sorts late work by the time that it needs, the
 * shortest first, and what a worker frees is soon taken by a smaller task, so
 * that a long or large one may never run.  Therefore, a job past the late limit
 * that has had no run for STARVED_MS goes before others past it.  Once no jobs
 * come that could use the workers better, a late job always has a run: a filler
 * task of it that no worker can take is started all the same, at a standstill if
 * the serving tasks on its worker have no headroom for it.  pacing.c then gives
 * it what there is.  A job that is not late yet has to wait longer for that, as it
 * may still find a worker that takes it at full speed.
 */
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

/* A late job without a run for so long is starved. */
#define STARVED_MS 500
/* After a new job with filler tasks, which can be in time, others may come. */
#define NEW_JOB_GAP_MS 2000
/* After the last one for so long none is expected to come. */
#define JOBS_ENDED_MS 5000

/* Whether the job of a late step has had no run for a while. */
bool
starvation_is_starved(const sched_t *s, const step_t *st)
{
	const job_t *j = st->occ->job;

	return st->misses_target && j->nruns == 0 &&
	    s->now_ms - j->idle_since_ms >= STARVED_MS;
}

/*
 * Whether a task of a step may be started slowed now.  As nothing comes that
 * could use the workers better, its job need not have waited for STARVED_MS.
 */
bool
starvation_may_slow(const sched_t *s, const step_t *st)
{
	return st->def->filler && !st->def->gang && st->occ->job->nruns == 0 &&
	    s->now_ms - s->filler_job_ms >=
	    (st->misses_target ? NEW_JOB_GAP_MS : JOBS_ENDED_MS);
}

/* The last run of a job has ended: its steps are offered all workers again. */
void
starvation_job_idle(job_t *j)
{
	for (guint i = 0; i < j->occs->len; i++) {
		occurrence_t *o = g_ptr_array_index(j->occs, i);

		for (size_t k = 0; k < j->def->n_steps; k++)
			o->steps[k].unplaced_round = 0;
	}
}

/*
 * Starts a task on a worker, slowed if the serving tasks there need that.  False:
 * the customer's quota forbids it.
 */
bool
starvation_run_start(
    sched_t *s, const step_t *st, task_t *t, worker_t *w, int64_t number)
{
	bool full_speed = isolation_margin(s, w, st) >= 0;

	if (!run_start(s, t, w, number))
		return false;
	/* It starts standing still; pacing.c raises the pace as it can. */
	if (!full_speed)
		t->run->wanted_pace_pct = 0;
	/* Makes pacing_report set paces even if none was slowed before. */
	w->fillers_pace_pct = 0;
	return true;
}

/*
 * Starts one task of a late filler step for which no worker was found.
 * Returns whether it did.
 */
bool
starvation_start(sched_t *s, step_t *st)
{
	task_t *t = NULL;
	worker_t *w;

	if (!starvation_may_slow(s, st) || !customer_allows_start(st))
		return false;
	for (int32_t i = 0; t == NULL && i < st->ntasks; i++)
		if (st->tasks[i].state == TASK_WAITING &&
		    st->tasks[i].not_before_ms <= s->now_ms &&
		    !crash_is_suspect(&st->tasks[i]))
			t = &st->tasks[i];
	w = t == NULL ? NULL : place_slowed(s, st, t);
	if (w == NULL)
		return false;
	return starvation_run_start(s, st, t, w, start_run_number(s, t));
}
