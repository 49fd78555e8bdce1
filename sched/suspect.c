/*
 * Workers that fail the tasks they are given.  A task may fail by its own
 * fault, so that only failures of several tasks in a row, which their jobs do
 * not explain, make a worker suspect; one of a task or job that has failed on more workers
 * than jobs have failed here is excused (blame.c).  A suspect worker is tried with one task
 * at a time, after a back-off that doubles with each failure, until one is
 * done or, as a lasting one never is, has been up for a while.  Tasks that fail again
 * and again try it only while no others wait for it.
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

#define SUSPECT_FAILURES 3  /* in a row */
#define FAILURES_MAX	 32 /* that are kept of a worker, the last ones */
#define BACKOFF_MIN_MS	 400
#define BACKOFF_MAX_MS	 1600 /* users call a job lost that waits for 3 s */
/* Other work has waited for a suspect worker so lately; above a round of scan.c. */
#define OTHER_MS 500
/* A lasting task that tries a worker has been up for so long. */
#define LASTING_UP_MS CRASH_SOON_MS

/* A run that failed on a worker. */
typedef struct {
	char task[64], job[SCHED_JOB_ID_BYTES + 1];
	bool excused; /* its task or job is at fault */
} failure_t;

/*
 * Whether a failure may tell something of the worker: the last one there was of another
 * job, or the job is known to be sound.
 */
static bool
is_evidence(const worker_t *w, const task_t *t)
{
	const job_t *j = t->step->occ->job;

	return strcmp(w->last_failed_job, j->id) != 0 || t->step->ndone > 0 ||
	    j->was_sound;
}

/* How many jobs have failed on a worker. */
static guint
count_jobs(const worker_t *w)
{
	g_autoptr(GHashTable) jobs = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < w->failures->len; i++)
		g_hash_table_add(
		    jobs, g_array_index(w->failures, failure_t, i).job);
	return g_hash_table_size(jobs);
}

/* Updates which failures on a worker are excused; returns how many are not. */
static int32_t
update_excuses(const sched_t *s, const worker_t *w)
{
	guint jobs = count_jobs(w);
	int32_t n = 0;

	for (guint i = 0; i < w->failures->len; i++) {
		failure_t *f = &g_array_index(w->failures, failure_t, i);
		const task_t *t = job_open_task(s, f->task);

		/* What is known of a job that has ended stays as it was. */
		if (t != NULL)
			f->excused = blame_exceeds(t, jobs);
		n += !f->excused;
	}
	return n;
}

static void
add_failure(sched_t *s, worker_t *w, const task_t *t)
{
	failure_t f = { .excused = false };

	job_task_name(t, f.task, sizeof(f.task));
	g_strlcpy(f.job, t->step->occ->job->id, sizeof(f.job));
	if (w->failures == NULL)
		w->failures = g_array_new(FALSE, FALSE, sizeof(failure_t));
	if (w->failures->len == FAILURES_MAX)
		g_array_remove_index(w->failures, 0);
	g_array_append_val(w->failures, f);
	w->failed_ms = s->now_ms;
}

/* Puts off the next try of a worker. */
static void
back_off(sched_t *s, worker_t *w)
{
	int32_t n = MAX(0, w->own_failures - SUSPECT_FAILURES);

	w->probe_after_ms =
	    s->now_ms + MIN(BACKOFF_MAX_MS, BACKOFF_MIN_MS << MIN(n, 8));
}

static void
make_suspect(sched_t *s, worker_t *w)
{
	w->suspect = true;
	back_off(s, w);
	LOG_EVENT(s, SCHED_EVT_WORKER_SUSPECT, w->id,
	    "failures=%d backoff=%" PRId64 " last=%s", w->failures_in_row,
	    w->probe_after_ms - s->now_ms, w->last_failed_job);
}

/* A run of a task has failed on a worker. */
void
suspect_run_failed(sched_t *s, worker_t *w, const task_t *t)
{
	bool counts = is_evidence(w, t);
	int32_t before = w->own_failures;

	g_strlcpy(w->last_failed_job, t->step->occ->job->id,
	    sizeof(w->last_failed_job));
	if (!counts)
		return;
	add_failure(s, w, t);
	w->failures_in_row = (int32_t)w->failures->len;
	w->own_failures = update_excuses(s, w);
	if (w->own_failures > before && w->own_failures >= SUSPECT_FAILURES)
		make_suspect(s, w);
}

/* A worker is no longer suspect, for a reason. */
static void
clear(sched_t *s, worker_t *w, const char *why)
{
	if (w->suspect)
		LOG_EVENT(s, SCHED_EVT_WORKER_SUSPECT, w->id,
		    "failures=%d why=\"%s\"", w->failures_in_row, why);
	w->suspect = false;
	w->probe = NULL;
	scan_worker_changed(s, w);
}

/* A run of a task has been done on a worker, or is taken for a sign that it is sound. */
void
suspect_run_done(sched_t *s, worker_t *w)
{
	if (w->failures_in_row == 0 && w->last_failed_job[0] == '\0')
		return;
	w->failures_in_row = w->own_failures = 0;
	if (w->suspect)
		clear(s, w, "it has done work");
	suspect_forget(w);
}

/* Forgets the failures on a worker. */
void
suspect_forget(worker_t *w)
{
	w->suspect = false;
	w->probe = NULL;
	w->failures_in_row = w->own_failures = 0;
	w->last_failed_job[0] = '\0';
	if (w->failures != NULL)
		g_array_unref(w->failures);
	w->failures = NULL;
}

/* A job has failed on other workers as well, or is sound: its failures here count anew. */
void
suspect_recount(sched_t *s, worker_t *w)
{
	if (w->failures == NULL)
		return;
	w->own_failures = update_excuses(s, w);
	if (w->suspect && w->own_failures < SUSPECT_FAILURES)
		clear(s, w, "its tasks are at fault");
	else if (!w->suspect && w->own_failures >= SUSPECT_FAILURES)
		make_suspect(s, w);
}

/*
 * Whether a run is one of a lasting task, which is never done, and has been up for so
 * long that its worker is sound: such a task may fail at any time by itself.
 */
bool
suspect_is_up(const sched_t *s, const run_t *r)
{
	return r->task != NULL && r->task->step->def->lasting &&
	    r->state == RUN_RUNNING &&
	    s->now_ms - r->state_since_ms >= LASTING_UP_MS;
}

/*
 * A report lists a run.  A lasting one that has been up for long enough shows that its
 * task is sound and, if it tries the worker or started after the last failure there, so is
 * that.
 */
void
suspect_run_listed(sched_t *s, run_t *r)
{
	worker_t *w = r->worker;

	if (r->shown_up || !suspect_is_up(s, r))
		return;
	r->shown_up = true;
	blame_run_sound(s, r->task);
	if (w->probe == r || r->first_seen_ms > w->failed_ms)
		suspect_run_done(s, w);
}

/* A run is started: on a suspect worker it is the one that tries it. */
void
suspect_run_started(sched_t *s, run_t *r)
{
	worker_t *w = r->worker;

	if (!w->suspect || w->probe != NULL)
		return;
	w->probe = r;
	/* Also if it should fail by its own fault, which does not count. */
	back_off(s, w);
	LOG_EVENT(s, SCHED_EVT_WORKER_TRIED, w->id,
	    "task=%s run=%" PRId64 " failures=%d", r->name, r->number,
	    w->failures_in_row);
}

/* A run is removed from its worker. */
void
suspect_run_removed(const run_t *r)
{
	if (r->worker->probe == r)
		r->worker->probe = NULL;
}

/* Whether some task may be started on a worker, as far as its failures go. */
bool
suspect_allows_start(const sched_t *s, const worker_t *w)
{
	return !w->suspect ||
	    (w->probe == NULL && s->now_ms >= w->probe_after_ms);
}

/* The same for a task of a step. */
bool
suspect_allows_step(const sched_t *s, const worker_t *w, const step_t *st)
{
	return suspect_allows_start(s, w) || st->too_many_suspects;
}

/* A task that does not fail finds that a suspect worker, with room for it, is kept. */
void
suspect_note_wanted(const sched_t *s, worker_t *w)
{
	w->wanted_ms = s->now_ms;
}

/* Whether a task may try a suspect worker: one that fails leaves it to others. */
bool
suspect_has_turn(const sched_t *s, const worker_t *w, const task_t *t)
{
	return !w->suspect || t->step->too_many_suspects ||
	    !blame_is_failing(t) || w->wanted_ms == 0 ||
	    s->now_ms - w->wanted_ms >= OTHER_MS;
}
