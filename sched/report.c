/*
 * Processes the reports of workers: runs under way, and runs that have ended.
 */
#include <inttypes.h>
#include <stdbool.h>
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
#include "down.h"

#define RETRY_DELAY_MIN_MS 100 /* after a failed run; doubled each time */
#define RETRY_DELAY_MAX_MS 800
#define RUN_TIME_WEIGHT	   16 /* runs in the moving average of a queue */
#define RUN_TIME_MIN_PCT   10
#define RUN_TIME_MAX_PCT   1000

/*
 * Updates the ratio of real to declared run time of a queue with a completed
 * run that ran from the start at full speed.
 */
static void
learn_run_time(sched_t *s, const run_t *r)
{
	queue_t *q = r->job->queue;
	int64_t estimate = r->task->step->def->estimate_ms, pct;

	if (estimate <= 0 || r->first_seen_ms == 0 ||
	    r->first_seen_percent > 0 || r->worker->slow || r->was_paced)
		return;
	pct = (s->now_ms - r->first_seen_ms) * 100 / estimate;
	pct = CLAMP(pct, RUN_TIME_MIN_PCT, RUN_TIME_MAX_PCT);
	q->run_time_pct += (pct - q->run_time_pct) / RUN_TIME_WEIGHT;
	run_time_learn(&q->run_time, estimate, s->now_ms - r->first_seen_ms);
	r->task->step->done_runs++;
	r->task->step->done_runs_ms += s->now_ms - r->first_seen_ms;
}

/* Keeps the latest checkpoint of a task, or of its gang. */
static void
keep_checkpoint(task_t *t, const char *cp)
{
	char **to =
	    t->step->def->gang ? &t->step->gang_checkpoint : &t->checkpoint;

	if (!t->step->def->checkpoints || cp == NULL || cp[0] == '\0' ||
	    t->state == TASK_DONE)
		return;
	if (*to != NULL && strcmp(*to, cp) == 0)
		return;
	g_free(*to);
	*to = g_strdup(cp);
}

/* Marks all tasks of a gang as done, as one of them is. */
static void
mark_gang_done(step_t *st)
{
	for (int32_t i = 0; i < st->ntasks; i++)
		job_mark_task_done(&st->tasks[i]);
}

/* Stops the runs of a task that is done, except one that has ended. */
static void
stop_other_runs(sched_t *s, task_t *t, const run_t *except)
{
	run_t *runs[] = { t->run, t->speculative_run };

	for (size_t i = 0; i < G_N_ELEMENTS(runs); i++) {
		if (runs[i] == NULL || runs[i] == except)
			continue;
		run_discard(s, runs[i], "another run of the task is done");
	}
}

/*
 * Handles a run that ended as done (r is NULL if this owner does not know the
 * run): the task is done, and with it perhaps its step or job.
 */
static void
on_task_done(sched_t *s, task_t *t, run_t *r)
{
	occurrence_t *o = t->step->occ;
	job_t *j = o->job;
	bool step_was_done = t->step->ndone == t->step->ntasks;

	if (r != NULL) {
		learn_run_time(s, r);
		straggler_run_done(s, r);
	}
	stop_other_runs(s, t, r);
	if (t->step->def->gang)
		mark_gang_done(t->step);
	else
		job_mark_task_done(t);
	s->stats.done++;
	if (j->stage != JOB_OPEN)
		return;
	if (!step_was_done && t->step->ndone == t->step->ntasks) {
		queue_remove_step(t->step);
		run_add_ready_steps(s, o);
	}
	if (j->occs_done >= MAX(1, j->def->repeats))
		run_end_job(s, j, SCHED__STATE__COMPLETED);
	else
		flush_mark_job(s, j);
}

/* Number of runs of a gang in which a member failed: these share the run's number. */
static int32_t
gang_failed_runs(const step_t *st)
{
	g_autoptr(GHashTable) runs =
	    g_hash_table_new(g_int64_hash, g_int64_equal);

	for (int32_t i = 0; i < st->ntasks; i++) {
		const GArray *failed = st->tasks[i].failed_runs;

		for (guint k = 0; failed != NULL && k < failed->len; k++)
			g_hash_table_add(
			    runs, &g_array_index(failed, int64_t, k));
	}
	return (int32_t)g_hash_table_size(runs);
}

/*
 * Handles a failed run, r if it is known: the task is tried again after a delay, or its job fails
 * when no attempt is left.  Lasting tasks are always restarted.
 */
static void
on_task_failed(sched_t *s, task_t *t, worker_t *w, int64_t run, const run_t *r)
{
	job_t *j = t->step->occ->job;
	int32_t nfailed;

	s->stats.failed++;
	if (r == NULL || !suspect_is_up(s, r)) {
		blame_run_failed(s, t, w);
		suspect_run_failed(s, w, t);
	}
	avoid_run_failed(s, t, w, r);
	if (t->step->def->lasting)
		t->not_before_ms =
		    MAX(t->not_before_ms, s->now_ms + blame_delay_ms(t));
	if (t->step->def->lasting || !task_add_failed_run(t, run))
		return;
	nfailed = t->step->def->gang ? gang_failed_runs(t->step) :
				       task_failed_runs(t);
	t->not_before_ms = s->now_ms +
	    MIN(RETRY_DELAY_MAX_MS,
		RETRY_DELAY_MIN_MS << CLAMP(nfailed - 1, 0, 4));
	if (j->stage != JOB_OPEN)
		return;
	if (nfailed >= j->max_attempts)
		run_end_job(s, j, SCHED__STATE__FAILED);
	else
		flush_mark_job(s, j);
}

/*
 * A task is done by a run after which others were started.  A successor that finds one
 * of these at work takes the steps after it for ones that nobody has started (see
 * mark_later_steps), unless it reads that the task is done: that is stored first.
 */
static void
hold_later_steps(const task_t *t, int64_t run)
{
	job_t *j = t->step->occ->job;

	if (t->last_run_number > run)
		j->starts_after_write = j->rows_packed + 1;
}

/*
 * Whether a task of a step that comes after st runs or is done.  Sets later[i] for each
 * step that does.
 */
static bool
find_later_steps(const step_t *st, bool *later)
{
	const occurrence_t *o = st->occ;
	bool begun = false;

	for (size_t i = (size_t)st->number + 1; i < o->job->def->n_steps; i++) {
		const step_t *l = &o->steps[i];

		for (size_t k = 0; k < l->def->n_after; k++)
			later[i] = later[i] || l->def->after[k] == st->number ||
			    later[l->def->after[k]];
		begun = begun || (later[i] && l->nwaiting < l->ntasks);
	}
	return begun;
}

/*
 * Marks the steps that come after a step, whose task runs under this owner's
 * token: no earlier owner can know it done.  With two runs of a task it may
 * know the other.  Where a later task runs or is done, an earlier owner did know it
 * done, by an end that has been lost since, and the task runs again.
 */
static void
mark_later_steps(const step_t *st)
{
	occurrence_t *o = st->occ;
	size_t n = o->job->def->n_steps;
	bool later[JOB_MAX_STEPS] = { false };

	if (st->def->duplicates || find_later_steps(st, later))
		return;
	for (size_t i = 0; i < n; i++)
		o->steps[i].not_started_before =
		    o->steps[i].not_started_before || later[i];
}

/* A run of the step by an earlier owner is known: what was marked does not hold. */
static void
unmark_later_steps(const step_t *st)
{
	occurrence_t *o = st->occ;

	if (!st->not_started_before)
		return;
	for (size_t i = 0; i < o->job->def->n_steps; i++)
		o->steps[i].not_started_before = false;
}

/*
 * Handles a run that a worker reports as ended.  The run may be unknown here,
 * as one of an earlier owner.
 */
static void
on_run_ended(sched_t *s, worker_t *w, const sched_ended_t *e)
{
	run_t *r = g_hash_table_lookup(w->runs, e->task);
	task_t *t = job_lookup_task(s, e->task);

	if (r != NULL && r->number != e->run)
		r = NULL;
	LOG_EVENT(s, SCHED_EVT_ENDED, e->task,
	    "run=%" PRId64 " worker=%s outcome=%d known=%d seq=%" PRId64,
	    e->run, w->id, e->outcome, r != NULL, e->seq);
	if (t != NULL && r == NULL)
		unmark_later_steps(t->step);
	if (t != NULL && t->state != TASK_DONE) {
		crash_run_listed(s, t, e->run);
		t->last_run_number = MAX(t->last_run_number, e->run);
		run_mark_job_started(s, t->step->occ->job);
		keep_checkpoint(t, e->checkpoint);
		if (e->outcome == SCHED_RUN_DONE && !t->step->def->lasting) {
			blame_run_sound(s, t);
			suspect_run_done(s, w);
			hold_later_steps(t, e->run);
			/* The run may be known for longer than its job. */
			on_task_done(
			    s, t, r != NULL && r->task == t ? r : NULL);
		} else if (e->outcome == SCHED_RUN_FAILED)
			on_task_failed(s, t, w, e->run, r);
		else if (e->checkpoint[0] != '\0' &&
		    t->step->occ->job->stage == JOB_OPEN)
			flush_mark_job(s, t->step->occ->job);
	}
	if (r != NULL)
		run_remove(s, r);
}

/*
 * Handles a reported run of a task of which this owner knows no run on the
 * worker.  It becomes the current run of its task if that waits for one, else
 * it is stopped.  Returns the run.
 */
static run_t *
on_unknown_run(sched_t *s, worker_t *w, const sched_running_t *entry)
{
	task_t *t = job_lookup_task(s, entry->task);
	job_t *j = t == NULL ? NULL : t->step->occ->job;
	run_t *r;

	r = run_new(s, entry->task, w, entry->run);
	run_set_state(s, r, RUN_RUNNING);
	r->first_seen_ms = s->now_ms;
	r->first_seen_percent = MAX(1, entry->percent);
	r->percent = entry->percent;
	if (t == NULL) {
		w->nunknown++;
		s->nunknown++;
	} else {
		run_reserve_resources(r, t);
		crash_run_listed(s, t, entry->run);
		t->last_run_number = MAX(t->last_run_number, entry->run);
		/* An earlier owner may have slowed it. */
		if (t->step->def->filler) {
			r->pace_pct = PACE_UNKNOWN;
			r->was_paced = true;
		}
	}
	if (t != NULL)
		unmark_later_steps(t->step);
	if (t != NULL && t->state != TASK_DONE)
		mark_later_steps(t->step);
	if (j != NULL && j->stage == JOB_OPEN && t->state == TASK_WAITING &&
	    t->run == NULL) {
		nominate_withdraw(s, t);
		t->run = r;
		t->seen_at_work = true;
		run_task_taken(t);
		run_mark_job_started(s, j);
		s->stats.adopted++;
		downtime_run_up(s, r);
		LOG_EVENT(s, SCHED_EVT_ADOPTED, entry->task,
		    "run=%" PRId64 " worker=%s", entry->run, w->id);
		return r;
	}
	s->stats.orphans++;
	r->unwanted = true;
	run_stop(s, r, "the task does not need this run");
	return r;
}

/*
 * The row of a job is read: runs of it that were reported before, which are
 * being stopped, hold resources that are now known.
 */
void
report_job_known(sched_t *s, job_t *j)
{
	run_t *r;

	if (s->nunknown == 0)
		return;
	FOREACH_VALUE (r, s->runs) {
		task_t *t;

		if (r->task != NULL || !g_str_has_prefix(r->name, j->id))
			continue;
		t = job_find_task(j, r->name);
		if (t == NULL)
			continue;
		r->worker->nunknown--;
		s->nunknown--;
		run_reserve_resources(r, t);
		t->last_run_number = MAX(t->last_run_number, r->number);
	}
}

/* Updates a run with its entry in the present report. */
static void
update_run(sched_t *s, run_t *r, const sched_running_t *entry)
{
	r->last_report = s->report_number;
	r->worker_restarted = false;
	if (r->state == RUN_STOPPING && r->stop_acked_ms == 0)
		run_stop(s, r, "again");
	r->percent = MAX(r->percent, entry->percent);
	run_listed(s, r);
	/* A filler can't use more than its worker has. */
	r->metric = CLAMP(entry->metric, 0,
	    r->task != NULL && r->task->step->def->filler ?
		r->worker->cpu_milli :
		SCHED_AMOUNT_MAX);
	if (r->task == NULL)
		return;
	suspect_run_listed(s, r);
	run_mark_job_started(s, r->job);
	if (r->task->run == r)
		keep_checkpoint(r->task, entry->checkpoint);
}

/*
 * Whether a run that is not in the report to a poll sent at poll_sent_ms can
 * not be on the worker: the poll was sent after the worker acknowledged the
 * start or the stop, and no order is in flight.
 */
static bool
proves_absent(const run_t *r, int64_t poll_sent_ms)
{
	if (r->order_pending)
		return false;
	if (r->state == RUN_RUNNING)
		return poll_sent_ms > r->state_since_ms;
	return r->state == RUN_STOPPING && r->stop_acked_ms != 0 &&
	    poll_sent_ms > r->stop_acked_ms;
}

/* Marks a worker as answering. */
static void
on_worker_answered(sched_t *s, worker_t *w)
{
	w->missed_polls = 0;
	/* Polls extend its lease once the store no longer says when it ends:
	 * write that now. */
	if (lease_end_is_stored(w))
		s->flush_begun_ms = 0;
	if (!w->has_answered || w->silent) {
		LOG_EVENT(
		    s, SCHED_EVT_WORKER_BACK, w->id, "silent=%d", w->silent);
		s->unseen_stale = true;
		scan_worker_changed(s, w);
	}
	if (!w->has_answered)
		lease_first_answer(s, w);
	w->has_answered = true;
	w->silent = false;
	crash_worker_answered(s, w);
}

/* Whether a report comes from another process than the reports before. */
static bool
is_other_process(
    const sched_t *s, const worker_t *w, const sched_report_t *report)
{
	if (report->started_ms != 0 && w->started_ms != 0)
		return report->started_ms != w->started_ms;
	return lease_clock_went_back(s, w, report->clock_ms);
}

/* Handles the ends of runs that a worker reports for the first time. */
void
report_apply_ends(sched_t *s, worker_t *w, const sched_report_t *report)
{
	for (size_t i = 0; i < report->nended; i++) {
		if (report->ended[i].seq <= w->ended_seq)
			continue;
		w->ended_seq = report->ended[i].seq;
		on_run_ended(s, w, &report->ended[i]);
	}
}

/* Removes the runs that the present report, to a poll sent at a time, proves absent. */
static void
remove_absent(sched_t *s, worker_t *w, int64_t poll_sent_ms)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->last_report == s->report_number)
			continue;
		if (r->in_doubt_ms != 0 && poll_sent_ms >= r->in_doubt_ms)
			run_stop_in_doubt(s, r);
		if (!proves_absent(r, poll_sent_ms))
			continue;
		if (r->state == RUN_RUNNING) {
			s->stats.lost++;
			LOG_EVENT(s, SCHED_EVT_LOST, r->name,
			    "run=%" PRId64
			    " worker=%s why=\"not in the report\"",
			    r->number, w->id);
		}
		crash_run_absent(s, r);
		run_remove(s, r);
	}
}

/*
 * Processes a worker's report: reads its clock, handles the ends that are new,
 * updates or adopts the runs under way, and removes the runs that are proved
 * absent.  poll_sent_ms: when the poll was sent.
 */
void
report_apply(
    sched_t *s, worker_t *w, const sched_report_t *report, int64_t poll_sent_ms)
{
	bool first;

	if (is_other_process(s, w, report)) {
		LOG_EVENT(s, SCHED_EVT_WORKER, w->id,
		    "answers as another process: born=%" PRId64 " was=%" PRId64
		    " clock=%" PRId64,
		    report->started_ms, w->started_ms, report->clock_ms);
		cell_worker_restarted(s, w,
		    report->started_ms != 0 ? report->started_ms :
					      w->started_ms);
	}
	first = !w->has_answered;
	if (first)
		w->first_reported_ms = s->now_ms;
	s->report_number++;
	w->reported_ms = s->now_ms;
	lease_clock_read(s, w, report->clock_ms);
	on_worker_answered(s, w);
	lease_poll_answered(w, poll_sent_ms);
	report_apply_ends(s, w, report);
	for (size_t i = 0; i < report->nrunning; i++) {
		const sched_running_t *entry = &report->running[i];
		run_t *r = g_hash_table_lookup(w->runs, entry->task);

		if (r == NULL)
			r = on_unknown_run(s, w, entry);
		if (r->number == entry->run)
			update_run(s, r, entry);
	}
	if (first)
		held_up_first_answer(w);
	held_up_stop_runs(s, w);
	/* A run that is not listed may be among the ends that are not. */
	w->ended_cut = report->ended_cut;
	if (w->ended_cut)
		return;
	remove_absent(s, w, poll_sent_ms);
	held_up_stop_runs(s, w);
}
