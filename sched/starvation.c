/*
 * Late batch work that is passed over.
 *
 * Pattern: an overload.  queue.c sorts late work by the time that it needs, the
 * shortest first, and what a worker frees is soon taken by a smaller task, so
 * that a long or large one may never run.  Therefore, a job past the late limit
 * that has had no run for STARVED_MS goes before others past it, and a filler
 * task of it that no worker can take is started all the same, at a standstill if
 * the serving tasks on its worker have no headroom for it.  pacing.c then gives
 * it what there is; as isolation.c counts it at full speed, no other filler
 * starts beside it meanwhile.
 *
 * While jobs come that could use the workers better, only a share of the workers
 * has such runs at a time, one of a job, and the jobs take turns.  A run that
 * stands still gives its turn up.  Else a late job always has a run.  A job that is
 * not late yet has to wait longer for that, as it may still find a worker that
 * takes it at full speed.
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
/* While jobs come, at most one run for this many workers has started slowed. */
#define WORKERS_PER_STARVED_RUN 8
/* A slowed start may bring fillers to so many times the processors while jobs come. */
#define CPU_TIMES_SHARED 2
/* Longer than short peaks of the load of serving tasks. */
#define STANDSTILL_MS 5000

/* Whether the job of a late step has had no run for a while. */
bool
starvation_is_starved(const sched_t *s, const step_t *st)
{
	const job_t *j = st->occ->job;

	return st->misses_target && j->nruns == 0 &&
	    s->now_ms - j->idle_since_ms >= STARVED_MS;
}

/* Whether jobs with filler tasks come, which can be in time. */
static bool
jobs_come(const sched_t *s)
{
	return s->now_ms - s->filler_job_ms < NEW_JOB_GAP_MS;
}

/* Whether one more task may start slowed while jobs come. */
static bool
has_share_left(const sched_t *s)
{
	return s->starved_runs <
	    MAX(1, s->worker_list->len / WORKERS_PER_STARVED_RUN);
}

/* Whether a step is of the kind that may be started slowed at all. */
static bool
can_start_slowed(const step_t *st)
{
	return st->def->filler && !st->def->gang && st->occ->job->nruns == 0;
}

/* Whether a step waits for its turn in the share, while jobs come. */
static bool
waits_for_turn(const sched_t *s, const step_t *st)
{
	return can_start_slowed(st) && st->past_late_limit &&
	    starvation_is_starved(s, st);
}

/*
 * Whether the tasks of a step are lasting fillers: as they are never done, they need not
 * wait for full speed once they are down, nor for a turn.
 */
bool
starvation_is_lasting_filler(const step_t *st)
{
	return st->def->filler && st->def->lasting && !st->def->gang;
}

/*
 * Whether a task of a step may be started slowed now.  When nothing comes that
 * could use the workers better, its job need not have waited for STARVED_MS.
 */
bool
starvation_may_slow(const sched_t *s, const step_t *st)
{
	if (starvation_is_lasting_filler(st) && st->ndown > 0)
		return true;
	if (jobs_come(s))
		return waits_for_turn(s, st) && has_share_left(s);
	return can_start_slowed(st) &&
	    (st->misses_target ||
		s->now_ms - s->filler_job_ms >= JOBS_ENDED_MS);
}

/*
 * How many times a worker's processors its fillers may declare after a slowed start.
 * Once no jobs come each late one is to have a run, though it may get little.
 */
int32_t
starvation_cpu_times(const sched_t *s)
{
	return jobs_come(s) ? CPU_TIMES_SHARED : PLACE_FILLER_CPU_TIMES;
}

/* Stops a run of the share that has stood still for STANDSTILL_MS. */
static void
end_turn(sched_t *s, run_t *r)
{
	if (r->wanted_pace_pct > 0)
		r->paced_ms = s->now_ms;
	if (!s->turn_wanted || r->state != RUN_RUNNING ||
	    r == r->worker->quarantined_run ||
	    s->now_ms - MAX(r->paced_ms, r->state_since_ms) < STANDSTILL_MS)
		return;
	r->task->avoid_worker = r->worker->id;
	run_stop(s, r, "stands still while others starve");
}

/* Ends turns once in a round, if a step has found the share used up in the last. */
void
starvation_update(sched_t *s)
{
	g_autoptr(GList) all = g_hash_table_get_values(s->runs);

	s->turn_wanted = s->turn_wanted && ownership_may_start_tasks(s);
	for (GList *i = all; i != NULL; i = i->next)
		if (((run_t *)i->data)->started_slowed)
			end_turn(s, i->data);
	s->turn_wanted = false;
}

/* A run that may be one of the share is removed. */
void
starvation_run_removed(sched_t *s, const run_t *r)
{
	s->starved_runs -= r->started_slowed;
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
	bool has_turn = t->down_since_ms == 0;

	if (!run_start(s, t, w, number))
		return false;
	/* It starts standing still; pacing.c raises the pace as it can. */
	if (!full_speed)
		t->run->wanted_pace_pct = 0;
	t->run->started_slowed = has_turn;
	s->starved_runs += has_turn;
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

	s->turn_wanted = s->turn_wanted ||
	    (jobs_come(s) && waits_for_turn(s, st) && !has_share_left(s));
	/* Those that are down have been offered workers already, also slowed. */
	if (st->ndown > 0 || !starvation_may_slow(s, st) ||
	    !customer_allows_start(st))
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
