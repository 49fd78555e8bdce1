/*
 * Tasks that crash their workers.
 *
 * Pattern: a worker crashes soon after it starts a certain task, and so does
 * each worker that starts it again; every crash takes all other runs there with
 * it.  Which task did it can't be seen, so that each run on a worker that
 * crashed counts as a crash under its task.  A task is suspect after a crash
 * soon after its start, or after two; it is then started only in quarantine
 * (quarantine.c).  It is guilty after a crash in quarantine that is its third,
 * or its second if both came soon after starts that were acknowledged; or after
 * CRASHES_MAX crashes anywhere.  Then its job fails.
 *
 * A lasting task is to be started again however it ends, and meets many crashes in its
 * time.  So only crashes soon after starts in quarantine count beyond two, until it is
 * up there or one comes later; it is guilty after LASTING_CRASHES, or one less if the
 * last two came so after starts that were acknowledged.  A gang, which has no quarantine:
 * soon after any start.
 *
 * A worker that is only unreachable has not crashed.  When its lease expires the
 * crashes are counted, as its tasks start again then, but count for guilt only
 * once another process answers in its place; they are taken back when the same
 * process answers again.  Those of a worker that never answers stay unproved.
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

#define HARMLESS_MS   30000 /* a run that was up for so long did no harm */
#define PROOF_WAIT_MS 6000  /* most workers that crash are back by then */
/* Proved crashes of a guilty task: anywhere, with the last in quarantine, and
 * with the last in quarantine if the last two came soon after the start. */
#define CRASHES_MAX	   5
#define QUARANTINE_CRASHES 3
#define SOON_CRASHES	   2
#define LASTING_CRASHES	   4
/* Crashes that are kept of a lasting task if the last does not tell against it, so
 * that it is suspect; and once it was up in quarantine, so that it is not. */
#define LASTING_KEPT 2
#define PASSED_KEPT  1
/* At least so many, and this share, of a data centre's workers are down at once:
 * that is an outage and not a task's doing. */
#define OUTAGE_WORKERS	 4
#define OUTAGE_SHARE_PCT 50
/* Workers that are up report this often; a poll waits for 1 s and times out. */
#define REPORTS_MS 1500
/* All workers have been seen so long after a takeover. */
#define SEEN_MS 500

/* A run that was on a worker when its lease expired. */
typedef struct {
	char task[64];
	int64_t run;
	bool counted; /* as a crash */
	bool guilty;  /* the task, if the worker is proved to have crashed */
} lost_run_t;

/* Adds the crash of a run's worker; soon: shortly after the run's start. */
void
crash_add(task_t *t, int64_t run, bool soon)
{
	if (t->crashes == NULL) {
		t->crashes = g_new0(crashes_t, 1);
		t->crashes->runs = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	g_array_append_val(t->crashes->runs, run);
	t->crashes->soon = soon;
}

/* Forgets all crashes under a task. */
void
crash_forget(task_t *t)
{
	if (t->crashes == NULL)
		return;
	g_array_unref(t->crashes->runs);
	g_free(t->crashes);
	t->crashes = NULL;
}

/* Returns the position of a run among the crashes under its task, or -1. */
static int32_t
find_crash(const task_t *t, int64_t run)
{
	guint n = t->crashes == NULL ? 0 : t->crashes->runs->len;

	for (guint i = 0; i < n; i++)
		if (g_array_index(t->crashes->runs, int64_t, i) == run)
			return (int32_t)i;
	return -1;
}

/* Number of proved crashes under a task. */
static guint
proved_crashes(const task_t *t)
{
	return t->crashes == NULL ?
	    0 :
	    t->crashes->runs->len - t->crashes->unproved;
}

/* What is known of a task has changed: has its job's row stored. */
static void
mark_row(sched_t *s, const task_t *t)
{
	if (t->step->occ->job->stage == JOB_OPEN)
		flush_mark_job(s, t->step->occ->job);
}

/* Puts a run of the array in the place of another one, and that in its place. */
static void
swap_runs(GArray *runs, guint a, guint b)
{
	int64_t run = g_array_index(runs, int64_t, a);

	g_array_index(runs, int64_t, a) = g_array_index(runs, int64_t, b);
	g_array_index(runs, int64_t, b) = run;
}

/* Notes whether the crash of a run's worker is proved; the unproved come first. */
static void
set_proved(task_t *t, int64_t run, bool proved)
{
	int32_t at = find_crash(t, run);
	crashes_t *c = t->crashes;

	if (at < 0 || ((guint)at >= c->unproved) == proved)
		return;
	if (proved)
		c->unproved--;
	swap_runs(c->runs, (guint)at, c->unproved);
	if (!proved)
		c->unproved++;
}

/* Takes back what was counted for a run, as its worker has not crashed. */
void
crash_take_back(sched_t *s, task_t *t, int64_t run)
{
	int32_t at = find_crash(t, run);
	crashes_t *c = t->crashes;

	if (c == NULL || at < 0)
		return;
	g_array_remove_index(c->runs, (guint)at);
	c->unproved -= (guint)at < c->unproved;
	if (c->trial_run == run)
		c->trial_run = 0;
	mark_row(s, t);
}

/* A worker lists a run, or its end: it has not crashed under that. */
void
crash_run_listed(sched_t *s, task_t *t, int64_t run)
{
	if (t->crashes != NULL && t->crashes->trial_run != run)
		crash_take_back(s, t, run);
}

/* For how long a run that was seen is known to have been up at a time. */
static int64_t
up_until_ms(const run_t *r, int64_t at_ms)
{
	int64_t ms = MAX(0, at_ms - r->first_seen_ms);

	/* A run first seen in a report may be older. */
	return r->first_seen_percent > 0 ? MAX(CRASH_SOON_MS, ms) : ms;
}

/*
 * How long the worker is known to have been up after it acknowledged the start
 * of a run or, without an answer, after that was ordered.
 */
int64_t
crash_known_up_ms(const run_t *r)
{
	int64_t answered_ms = r->worker->answered_ms;

	if (r->worker_restarted)
		return r->up_ms;
	if (r->first_seen_ms == 0)
		return MAX(0, answered_ms - r->ordered_ms);
	return up_until_ms(r, answered_ms);
}

/* Whether the process of a worker that it is known by was up at a time. */
static bool
was_up(const worker_t *w, int64_t at_ms)
{
	return w->first_reported_ms <= at_ms + SEEN_MS &&
	    w->reported_ms >= at_ms - REPORTS_MS;
}

/*
 * Whether so many workers of a worker's data centre, itself included, have
 * missed a poll or are lost that the cause is probably an outage.  That is asked of
 * those that were up when it last was, as others may be back by now.
 */
static bool
zone_is_down(const sched_t *s, const worker_t *w)
{
	int64_t at_ms = w->reported_ms;
	guint down = 0, all = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *o = g_ptr_array_index(s->worker_list, i);
		bool replaced = o->former_reported_ms >= at_ms - REPORTS_MS;

		if (o->zone != w->zone ||
		    !(o == w || replaced || was_up(o, at_ms)))
			continue;
		all++;
		down += o == w || replaced || o->missed_polls > 0 ||
		    o->lost_runs != NULL;
	}
	return down >= OUTAGE_WORKERS && down * 100 >= all * OUTAGE_SHARE_PCT;
}

/* Forgets all but so many crashes under a task, but never that of one run. */
static void
keep_crashes(crashes_t *c, guint n, int64_t run)
{
	for (guint i = 0; c->runs->len > n && i < c->runs->len;) {
		if (g_array_index(c->runs, int64_t, i) == run) {
			i++;
			continue;
		}
		g_array_remove_index(c->runs, i);
		c->unproved -= i < c->unproved;
	}
}

/*
 * Whether a task is guilty, if its last crash is proved.  alone: that was in
 * quarantine; sure_before: the one before came soon after an acknowledged start.
 */
static bool
is_guilty(const task_t *t, bool alone, bool sure_before)
{
	guint n = proved_crashes(t);

	if (n >= CRASHES_MAX)
		return true;
	return alone &&
	    (n >= QUARANTINE_CRASHES ||
		(n == SOON_CRASHES && sure_before && t->crashes->soon &&
		    t->crashes->start_acked));
}

/*
 * Settles what the last crash, with the worker of a run, tells of a lasting task; returns
 * whether that is guilty, if the crash is proved.
 */
static bool
judge_lasting(task_t *t, const run_t *r, bool alone, bool sure_before)
{
	crashes_t *c = t->crashes;
	bool tells = c->soon && (alone || t->step->def->gang);

	c->start_acked = c->start_acked && tells;
	if (!tells)
		keep_crashes(c, LASTING_KEPT, r->number);
	return tells &&
	    proved_crashes(t) + (sure_before && c->start_acked) >=
	    LASTING_CRASHES;
}

/*
 * Counts the crash of its worker under the task of a run, once: sets *counted.
 * The task avoids the worker from now on.  A run that was up for HARMLESS_MS is
 * not counted, and earlier crashes are forgotten.  Returns whether the task is
 * guilty if the worker did crash.
 */
static bool
count_crash(sched_t *s, run_t *r, bool *counted)
{
	task_t *t = r->task;
	bool alone =
	    r->worker->quarantined_run == r && !r->worker->tried_together;
	bool sure_before, guilty;
	crashes_t *c;

	if (t == NULL || t->state == TASK_DONE || r->job->stage != JOB_OPEN)
		return false;
	c = t->crashes;
	/* It was emptied, and has left by itself. */
	if (r->worker->draining && (c == NULL || c->trial_run != r->number))
		return false;
	if (find_crash(t, r->number) >= 0 &&
	    (c == NULL || c->trial_run != r->number))
		return false;
	flush_mark_job(s, r->job);
	if (crash_known_up_ms(r) >= HARMLESS_MS) {
		crash_forget(t);
		return false;
	}
	*counted = true;
	sure_before = c != NULL && c->soon && c->start_acked;
	if (c == NULL || c->trial_run != r->number)
		crash_add(t, r->number, false);
	c = t->crashes;
	c->trial_run = 0;
	c->soon = crash_known_up_ms(r) < CRASH_SOON_MS && !r->worker->zone_down;
	c->start_acked = r->first_seen_ms != 0;
	guilty = t->step->def->lasting ?
	    judge_lasting(t, r, alone, sure_before) :
	    is_guilty(t, alone, sure_before);
	t->avoid_worker = r->worker->id;
	if (c->soon || c->runs->len > 1)
		LOG_EVENT(s, SCHED_EVT_TASK_SUSPECT, r->name,
		    "run=%" PRId64
		    " worker=%s crashes=%u soon=%d alone=%d guilty=%d",
		    r->number, r->worker->id, c->runs->len, c->soon, alone,
		    guilty);
	return guilty;
}

/* Fails the job of a guilty task; worker: "" when it is not known. */
static void
give_up(sched_t *s, const task_t *t, const char *worker)
{
	job_t *j = t->step->occ->job;
	char name[64];

	if (j->stage != JOB_OPEN || t->state == TASK_DONE)
		return;
	job_task_name(t, name, sizeof(name));
	LOG_EVENT(s, SCHED_EVT_TASK_GIVEN_UP, name, "worker=%s crashes=%u",
	    worker, t->crashes == NULL ? 0 : t->crashes->runs->len);
	run_end_job(s, j, SCHED__STATE__FAILED);
}

/* Counts a proved crash under the task of a run, and gives a guilty one up. */
static void
count_proved_crash(sched_t *s, run_t *r)
{
	bool counted = false;

	if (count_crash(s, r, &counted))
		give_up(s, r->task, r->worker->id);
}

/* Counts the crash of its worker under the task of a run, until it is proved. */
static void
count_lost_run(sched_t *s, run_t *r)
{
	lost_run_t l = { .run = r->number };

	l.guilty = count_crash(s, r, &l.counted);
	if (l.guilty)
		r->task->not_before_ms = s->now_ms + PROOF_WAIT_MS;
	/* Another process has answered for the worker: proof enough. */
	l.counted = l.counted && !r->worker_restarted;
	if (l.counted)
		set_proved(r->task, r->number, false);
	g_strlcpy(l.task, r->name, sizeof(l.task));
	g_array_append_val(r->worker->lost_runs, l);
}

static void
count_lost_runs(sched_t *s, worker_t *w, bool only_listed)
{
	run_t *r;

	if (w->lost_runs == NULL)
		w->lost_runs = g_array_new(FALSE, TRUE, sizeof(lost_run_t));
	w->lost_ms = s->now_ms;
	w->zone_down = zone_is_down(s, w);
	FOREACH_VALUE (r, w->runs)
		if (!only_listed || run_is_listed(r))
			count_lost_run(s, r);
}

/* The lease of a worker has expired, so that its runs count as lost. */
void
crash_worker_lost(sched_t *s, worker_t *w)
{
	count_lost_runs(s, w, false);
}

/* The same for the runs that it has listed. */
void
crash_listed_lost(sched_t *s, worker_t *w)
{
	count_lost_runs(s, w, true);
}

/* Settles what was lost with a worker: whether it has crashed is known now. */
static void
settle_lost_runs(sched_t *s, worker_t *w, bool crashed)
{
	for (guint i = 0; w->lost_runs != NULL && i < w->lost_runs->len; i++) {
		const lost_run_t *l =
		    &g_array_index(w->lost_runs, lost_run_t, i);
		task_t *t = job_lookup_task(s, l->task);

		if (t == NULL)
			continue;
		if (crashed && l->counted) {
			set_proved(t, l->run, true);
			mark_row(s, t);
		}
		/* A task that runs again by now is judged by that run. */
		if (crashed && l->guilty && t->run == NULL)
			give_up(s, t, w->id);
		if (!crashed && l->counted)
			crash_take_back(s, t, l->run);
		if (!crashed && l->guilty)
			t->not_before_ms = 0;
	}
	crash_forget_worker(w);
}

/*
 * Another process with the same id has answered for a worker.  Its next report
 * shows which of the runs that were ordered lately are its own.
 */
void
crash_worker_restarted(sched_t *s, worker_t *w)
{
	GHashTableIter it;
	void *v;

	settle_lost_runs(s, w, true);
	w->zone_down = zone_is_down(s, w);
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		run_t *r = v;

		/* Only reports tell which process has answered. */
		r->up_ms =
		    MIN(crash_known_up_ms(r), up_until_ms(r, w->reported_ms));
		r->worker_restarted = true;
	}
}

/* A worker of another id answers at a worker's address: that has crashed. */
void
crash_worker_replaced(sched_t *s, worker_t *w)
{
	GHashTableIter it;
	void *v;

	settle_lost_runs(s, w, true);
	w->zone_down = zone_is_down(s, w);
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		count_proved_crash(s, v);
}

/* A worker of another id answers an order for a run, which is over by that. */
void
crash_run_replaced(sched_t *s, run_t *r)
{
	r->worker->zone_down = zone_is_down(s, r->worker);
	count_proved_crash(s, r);
}

/*
 * A run is not on the process that answers for its worker: it crashed if that is
 * another one than before.
 */
void
crash_run_absent(sched_t *s, run_t *r)
{
	if (r->worker_restarted)
		count_proved_crash(s, r);
}

/* The same process answers again: it has not crashed. */
void
crash_worker_answered(sched_t *s, worker_t *w)
{
	settle_lost_runs(s, w, false);
}

/* Whether it is still open if a worker that was lost has crashed. */
bool
crash_proof_wanted(const sched_t *s, const worker_t *w)
{
	return w->lost_runs != NULL && w->lost_runs->len > 0 &&
	    s->now_ms - w->lost_ms < PROOF_WAIT_MS;
}

/* Forgets the runs that were lost with a worker. */
void
crash_forget_worker(worker_t *w)
{
	if (w->lost_runs != NULL)
		g_array_unref(w->lost_runs);
	w->lost_runs = NULL;
}

/* A run is removed; if its worker has crashed, that has been counted. */
void
crash_run_removed(sched_t *s, const run_t *r)
{
	quarantine_run_removed(s, r);
	if (r->task != NULL && r->task->crashes != NULL &&
	    r->task->crashes->trial_run == r->number)
		crash_take_back(s, r->task, r->number);
}

/* A run in quarantine is up: its last crash was none that comes soon. */
void
crash_trial_passed(sched_t *s, const run_t *r)
{
	crashes_t *c = r->task->crashes;

	if (c == NULL || !(c->soon || r->task->step->def->lasting))
		return;
	c->soon = false;
	/* Its own is among them until it ends. */
	if (r->task->step->def->lasting)
		keep_crashes(
		    c, PASSED_KEPT + (c->trial_run == r->number), c->trial_run);
	mark_row(s, r->task);
}

/* Whether the next run of a task is to start in quarantine. */
bool
crash_is_suspect(const task_t *t)
{
	return t->crashes != NULL && !t->step->def->gang &&
	    t->crashes->runs->len > 0 &&
	    (t->crashes->soon || t->crashes->runs->len > 1);
}

/* Gives up a job with a task that is guilty by the number of its crashes alone, which a
 * lasting one never is; called for each job that is loaded. */
void
crash_job_loaded(sched_t *s, job_t *j)
{
	for (guint i = 0; i < j->occs->len; i++) {
		occurrence_t *o = g_ptr_array_index(j->occs, i);

		for (size_t k = 0; k < j->def->n_steps; k++)
			for (int32_t n = 0; n < o->steps[k].ntasks; n++)
				if (!j->def->steps[k]->lasting &&
				    proved_crashes(&o->steps[k].tasks[n]) >=
					CRASHES_MAX)
					give_up(s, &o->steps[k].tasks[n], "");
	}
}
