/*
 * Why waiting tasks wait, for the log and the metrics.
 *
 * Passes over the queue note with each step why its next task did not start
 * (start.c, place.c).  For a task that workers refuse this is the check that was
 * failed last, of all workers: the one that the nearest worker failed.  Once a
 * second the longest waits are logged, with what each worker of the service says
 * at that moment.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

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

/* A noted reason is not used for longer: several rounds of scan.c. */
#define NOTED_MS 2000
/* A job without a run for so long is logged. */
#define IDLE_LOGGED_MS 10000
/* The same past its late limit: users count such a job as lost if it has had no
 * run for so long when they look. */
#define IDLE_LATE_LOGGED_MS 3000
/* The same of a lasting task that is down, whether others of its job run or not. */
#define DOWN_LOGGED_MS 3000
/* Jobs logged at a time, as each has all workers looked at. */
#define JOBS_LOGGED 3

static const char *const names[SCHED_WAIT_REASONS] = {
	[SCHED_WAIT_NONE] = "could_start",
	[SCHED_WAIT_NOT_OFFERED] = "not_offered",
	[SCHED_WAIT_OWNER] = "owner",
	[SCHED_WAIT_UNSEEN_RUNS] = "unseen_runs",
	[SCHED_WAIT_QUOTA] = "quota",
	[SCHED_WAIT_ROW] = "row",
	[SCHED_WAIT_BACKOFF] = "backoff",
	[SCHED_WAIT_GANG_RUNS] = "gang_runs",
	[SCHED_WAIT_NOMINATED] = "nominated",
	[SCHED_WAIT_QUARANTINE] = "quarantine",
	[SCHED_WAIT_NO_WORKER] = "no_worker",
	[SCHED_WAIT_LEAVING] = "leaving",
	[SCHED_WAIT_SILENT] = "silent",
	[SCHED_WAIT_NEW_WORKER] = "new_worker",
	[SCHED_WAIT_UNKNOWN_RUNS] = "unknown_runs",
	[SCHED_WAIT_SUSPECT] = "suspect",
	[SCHED_WAIT_TOO_LARGE] = "too_large",
	[SCHED_WAIT_LABEL] = "label",
	[SCHED_WAIT_MEM] = "mem",
	[SCHED_WAIT_GPU] = "gpu",
	[SCHED_WAIT_CPU] = "cpu",
	[SCHED_WAIT_PER_WORKER] = "per_worker",
	[SCHED_WAIT_APPROVAL] = "approval",
	[SCHED_WAIT_RESERVED] = "reserved",
	[SCHED_WAIT_KEPT] = "kept",
	[SCHED_WAIT_CANNOT_SLOW] = "cannot_slow",
	[SCHED_WAIT_ISOLATED] = "isolated",
	[SCHED_WAIT_EARLIER_RUN] = "earlier_run",
	[SCHED_WAIT_GANG_ROOM] = "gang_room",
};

bool
wait_reason_is_room(sched_wait_reason_t why)
{
	switch (why) {
	case SCHED_WAIT_MEM:
	case SCHED_WAIT_GPU:
	case SCHED_WAIT_CPU:
	case SCHED_WAIT_PER_WORKER:
	case SCHED_WAIT_RESERVED:
	case SCHED_WAIT_KEPT:
	case SCHED_WAIT_GANG_ROOM:
		return true;
	default:
		return false;
	}
}

const char *
sched_wait_reason_name(sched_wait_reason_t why)
{
	return names[why];
}

/*
 * Notes why the next task of a step did not start.  What was noted when no worker
 * was found stays for the rest of the round, as later searches do not look at
 * all of them.
 */
void
wait_reason_note(const sched_t *s, step_t *st, sched_wait_reason_t why)
{
	if (!scan_has_searched(s, st))
		st->wait_reason = why;
}

/* Why the next task of a queued step does not start, by the last pass. */
sched_wait_reason_t
wait_reason_of(const sched_t *s, const step_t *st)
{
	if (!ownership_may_start_tasks(s))
		return SCHED_WAIT_OWNER;
	if (!ownership_may_start_step(s, st))
		return SCHED_WAIT_UNSEEN_RUNS;
	if (st->quota_held)
		return SCHED_WAIT_QUOTA;
	if (st->offered_ms == 0 || s->now_ms - st->offered_ms > NOTED_MS)
		return SCHED_WAIT_NOT_OFFERED;
	return st->wait_reason;
}

/* Counts by reason as text: those that are not 0, "-" if all are; to be freed. */
char *
wait_reason_text(const int32_t *counts)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < SCHED_WAIT_REASONS; i++)
		if (counts[i] != 0)
			g_string_append_printf(text, "%s%s:%d",
			    text->len > 0 ? "," : "", names[i], counts[i]);
	return g_string_free(
	    text->len > 0 ? text : g_string_assign(text, "-"), FALSE);
}

/* The step whose job has waited longest for a reason, and how many jobs do. */
typedef struct {
	const step_t *step;
	int64_t idle_ms;
	sched_wait_reason_t why;
	int32_t steps; /* that wait as long as is logged */
} longest_t;

/*
 * How long the job of a step has had no run, 0 if it has one, or a lasting task of the
 * step if that is longer.
 */
static int64_t
idle_ms(const sched_t *s, const step_t *st)
{
	const job_t *j = st->occ->job;
	const task_t *down = downtime_longest(st);
	int64_t idle = j->nruns > 0 ? 0 : s->now_ms - j->idle_since_ms;

	return down == NULL ? idle : MAX(idle, downtime_ms(s, down));
}

/* Whether a step has waited for so long that this is logged. */
static bool
is_logged(const sched_t *s, const step_t *st, int64_t idle)
{
	const task_t *down = downtime_longest(st);

	return idle >= IDLE_LOGGED_MS ||
	    (idle >= IDLE_LATE_LOGGED_MS && st->past_late_limit) ||
	    (down != NULL && downtime_ms(s, down) >= DOWN_LOGGED_MS);
}

/* Finds the longest wait that is to be logged, for each reason. */
static void
find_longest(const sched_t *s, longest_t *by_reason)
{
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);
		int64_t idle = idle_ms(s, st);
		sched_wait_reason_t why;

		if (!is_logged(s, st, idle))
			continue;
		why = wait_reason_of(s, st);
		by_reason[why].why = why;
		by_reason[why].steps++;
		if (idle <= by_reason[why].idle_ms)
			continue;
		by_reason[why].step = st;
		by_reason[why].idle_ms = idle;
	}
}

/* Sorts the longest wait first. */
static int
compare_longest(const void *pa, const void *pb)
{
	const longest_t *a = pa, *b = pb;

	return a->idle_ms > b->idle_ms ? -1 : a->idle_ms < b->idle_ms;
}

/*
 * The next waiting task of a step: the one that is down longest or else one that is
 * due, if there is any.
 */
static const task_t *
next_task(const sched_t *s, const step_t *st)
{
	const task_t *first = downtime_longest(st);

	if (first != NULL)
		return first;
	for (int32_t i = 0; i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];

		if (t->state != TASK_WAITING)
			continue;
		if (t->not_before_ms <= s->now_ms)
			return t;
		if (first == NULL)
			first = t;
	}
	return first;
}

/* Logs the job that waits longest for a reason. */
static void
log_job(sched_t *s, const longest_t *l)
{
	const step_t *st = l->step;
	const job_t *j = st->occ->job;
	const task_t *t = next_task(s, st);
	int32_t counts[SCHED_WAIT_REASONS];
	sched_wait_reason_t why = l->why;
	g_autofree char *workers = NULL;
	char name[64];

	if (t == NULL)
		return;
	place_count_refusals(s, st, t, counts);
	/* A run may have ended since the last pass. */
	if (why >= SCHED_WAIT_NO_WORKER && !st->def->gang &&
	    counts[SCHED_WAIT_NONE] > 0)
		why = SCHED_WAIT_NONE;
	workers = wait_reason_text(counts);
	job_task_name(t, name, sizeof(name));
	LOG_EVENT(s, SCHED_EVT_JOB_WAITS, j->id,
	    "queue=%s task=%s idle=%" PRId64 " late=%" PRId64
	    " reason=%s alike=%d cpu=%" PRId64 " mem_mb=%" PRId64
	    " gpu=%d filler=%d lasting=%d waiting=%d may_slow=%d "
	    "last_filler_job=%" PRId64 " workers=%s",
	    j->queue->name, name, l->idle_ms,
	    s->wall_ms - st->occ->due_wall_ms - j->allowed_ms, names[why],
	    l->steps, st->def->cpu_milli, st->def->mem_mb, st->def->gpu,
	    st->def->filler, st->def->lasting, st->nwaiting,
	    starvation_may_slow(s, st), s->now_ms - s->filler_job_ms, workers);
}

/*
 * Logs the jobs that have had no run for long: the one that waits longest for
 * each reason, at most JOBS_LOGGED.  Called once a second by the owner.
 */
void
wait_reason_log(sched_t *s)
{
	longest_t by_reason[SCHED_WAIT_REASONS] = { 0 };

	find_longest(s, by_reason);
	qsort(by_reason, SCHED_WAIT_REASONS, sizeof(by_reason[0]),
	    compare_longest);
	for (int i = 0; i < JOBS_LOGGED && by_reason[i].step != NULL; i++)
		log_job(s, &by_reason[i]);
}
