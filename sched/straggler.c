/*
 * Slow workers and straggling tasks.  A worker's relative speed is the progress
 * that its tasks make, as a share of the progress that is due.  A task that
 * takes too long gets a second, speculative run if its step allows duplicates,
 * or is stopped and started elsewhere if that is quicker.  Tasks also move away
 * from workers that drain.
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
#include "down.h"

#define STARTUP_MS 300 /* approximate time until a task makes progress */
/* Until more is known a worker counts as having made this at full speed. */
#define PRIOR_PROGRESS_PCT 80
#define MIN_DUE_PCT	   120	/* progress due before a worker can be slow */
#define HISTORY_PCT	   70	/* of the sums kept at each completed run */
#define SLOW_SPEED	   0.4	/* below this relative speed a worker is slow */
#define MIN_SPEED	   0.04 /* lower ones count as this */
#define MOVE_GAIN	   1.3	/* staying must take so many times as long */
#define RESTART_MS	   600	/* a stop, a start elsewhere and a restore */
#define SPECULATE_TIMES	   1.7	/* the expected time, before a second run */
/* A run with less time remaining completes before a draining worker exits. */
#define MIN_REMAINING_MS 1500
#define MOVES_PER_REPORT 4 /* also counts attempts at speculative runs */

/* Expected run time of a task of a step at full speed; never 0. */
static int64_t
expected_ms(const step_t *st)
{
	return MAX(100, job_task_ms(st));
}

/*
 * Whether a run's progress shows the speed of its worker: it is not slowed, and
 * neither lasting nor part of a gang.
 */
static bool
shows_speed(const run_t *r)
{
	return r->task != NULL && r->state == RUN_RUNNING &&
	    r->first_seen_ms != 0 && !r->task->step->def->lasting &&
	    !r->task->step->def->gang && r->pace_pct == 100 &&
	    r->wanted_pace_pct == 100 && !r->was_paced;
}

/*
 * Sets the progress that a run should have made since it was first seen, and
 * the part of it that it has made, in percent of the task.
 */
static void
progress(const sched_t *s, const run_t *r, double *due, double *made)
{
	int64_t ms = s->now_ms - r->first_seen_ms - STARTUP_MS;

	*due = ms <= 0 ?
	    0 :
	    MIN(100 - r->first_seen_percent,
		100.0 * (double)ms / (double)expected_ms(r->task->step));
	*made = MIN(*due, MAX(0, r->percent - r->first_seen_percent));
}

/* Updates the relative speed of a worker, and whether it counts as slow. */
static void
update_speed(sched_t *s, worker_t *w)
{
	double due = 0, made = 0;
	const run_t *r;
	bool slow;

	FOREACH_VALUE (r, w->runs) {
		double d, m;

		if (!shows_speed(r))
			continue;
		progress(s, r, &d, &m);
		due += d;
		made += m;
	}
	w->relative_speed = (made + w->history_made_pct + PRIOR_PROGRESS_PCT) /
	    (due + w->history_due_pct + PRIOR_PROGRESS_PCT);
	slow = due + w->history_due_pct >= MIN_DUE_PCT &&
	    w->relative_speed < SLOW_SPEED;
	if (slow != w->slow)
		LOG_EVENT(s, SCHED_EVT_WORKER_SUSPECT, w->id,
		    "slow=%d speed_pct=%d due=%d made=%d", slow,
		    (int)(w->relative_speed * 100),
		    (int)(due + w->history_due_pct),
		    (int)(made + w->history_made_pct));
	w->slow = slow;
}

/* Adds a completed run to the history of its worker's speed. */
void
straggler_run_done(sched_t *s, const run_t *r)
{
	worker_t *w = r->worker;
	double due, made;

	if (!shows_speed(r))
		return;
	progress(s, r, &due, &made);
	w->history_due_pct = w->history_due_pct * HISTORY_PCT / 100 +
	    MAX(100 - r->first_seen_percent, due);
	w->history_made_pct = w->history_made_pct * HISTORY_PCT / 100 +
	    (100 - r->first_seen_percent);
}

/*
 * Whether a stop and another start elsewhere would complete the task clearly
 * earlier than waiting for the run.
 */
static bool
better_elsewhere(const worker_t *w, const run_t *r)
{
	double whole = (double)expected_ms(r->task->step);
	double here = whole * (100 - r->percent) / 100 /
	    MAX(MIN_SPEED, w->relative_speed);
	double there = whole + RESTART_MS;

	if (r->task->checkpoint != NULL)
		there = whole * (100 - r->percent) / 100 + RESTART_MS;
	return here > there * MOVE_GAIN;
}

/* Starts a second run of the task on another worker, if one can take it. */
static void
start_speculative_run(sched_t *s, run_t *r)
{
	worker_t *w;

	if (!customer_allows_start(r->task->step))
		return;
	w = place_elsewhere(s, r);
	if (w == NULL)
		return;
	run_start(s, r->task, w, start_run_number(s, r->task));
}

/*
 * Starts a speculative run of a task that takes too long, or stops its run on a
 * slow worker if another worker can take it.  Returns true when it did either
 * or a speculative run found no place.
 */
static bool
handle_straggler(sched_t *s, worker_t *w, run_t *r)
{
	const Sched__Step *d = r->task->step->def;
	int64_t ms = s->now_ms - r->first_seen_ms;

	if (r->task->run != r || r->unwanted || r->job->stage != JOB_OPEN)
		return false;
	if (d->duplicates) {
		if (r->task->speculative_run == NULL &&
		    r->task->crashes == NULL &&
		    (double)ms >
			SPECULATE_TIMES * (double)expected_ms(r->task->step) +
			    STARTUP_MS) {
			start_speculative_run(s, r);
			return true;
		}
		return false;
	}
	if (!w->slow || !better_elsewhere(w, r) || !customer_allows_move(r) ||
	    !may_miss_allows(s, r->task) || place_elsewhere(s, r) == NULL)
		return false;
	r->task->avoid_worker = w->id;
	run_stop(s, r, "the worker is slow");
	return true;
}

/*
 * Stops a run on a draining worker that would not complete there, if another
 * worker can take the task.  Applies to lasting tasks and those with
 * checkpoints; others would lose their work.  Returns whether it stopped the
 * run.
 */
static bool
move_from_draining(sched_t *s, run_t *r)
{
	const Sched__Step *d = r->task == NULL ? NULL : r->task->step->def;

	if (d == NULL || r->state != RUN_RUNNING || r->task->run != r ||
	    r->unwanted || r->job->stage != JOB_OPEN || d->gang ||
	    (!d->lasting && !d->checkpoints))
		return false;
	if (!d->lasting &&
	    (100 - r->percent) * expected_ms(r->task->step) / 100 <
		MIN_REMAINING_MS)
		return false;
	if (r->task->nominated == NULL && !customer_allows_move(r))
		return false;
	if (d->lasting ? !nominate_elsewhere(s, r) :
			 place_elsewhere(s, r) == NULL) {
		approval_want(s, r->task->step);
		return false;
	}
	run_stop(s, r, "the worker is draining");
	return true;
}

/*
 * Called after each report of a worker: updates its speed, and moves tasks away
 * from it when it drains or is slow.
 */
void
straggler_report(sched_t *s, worker_t *w)
{
	g_autoptr(GList) all = NULL;
	int32_t n = 0;

	update_speed(s, w);
	if (!ownership_may_start_tasks(s))
		return;
	all = g_hash_table_get_values(w->runs);
	for (GList *i = all; i != NULL && n < MOVES_PER_REPORT; i = i->next)
		if (w->draining)
			n += move_from_draining(s, i->data);
		else if (shows_speed(i->data))
			n += handle_straggler(s, w, i->data);
}
