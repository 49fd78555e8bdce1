/*
 * Passes over the queue, which start the waiting tasks that fit on some worker.
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

/* So that other events get a turn; as many of lasting tasks that are down, which may
 * fail again at once, and leave the others to other work. */
#define STARTS_PER_PASS 64
/* So many jobs at the head of the queue have their rows stored in advance. */
#define STORED_AHEAD 32
/* A pass ends after so many steps that were offered all workers in vain. */
#define SEARCHES_PER_PASS 200

/*
 * Returns the number for the next run of a task: higher than that of any
 * earlier run, also of those that earlier owners started and that are not known
 * here.  The numbers of each owner begin at a multiple of
 * RUN_NUMBERS_PER_OWNER.  If an owner has used more than those, the worker
 * rejects the start as stale and the next number is higher.
 */
int64_t
start_run_number(sched_t *s, const task_t *t)
{
	return MAX(t->last_run_number,
		   (s->cell.epoch - 1) * RUN_NUMBERS_PER_OWNER) +
	    1;
}

/*
 * Starts all tasks of a gang with the same run number, if all of them wait and
 * all fit at the same time.
 */
static void
start_gang(sched_t *s, step_t *st)
{
	worker_t **at;
	int64_t number = 0;

	if (st->nwaiting < st->ntasks) {
		wait_reason_note(s, st, SCHED_WAIT_GANG_RUNS);
		return;
	}
	if (!customer_allows_gang(st)) {
		wait_reason_note(s, st, SCHED_WAIT_QUOTA);
		return;
	}
	for (int32_t i = 0; i < st->ntasks; i++) {
		if (st->tasks[i].not_before_ms > s->now_ms) {
			wait_reason_note(s, st, SCHED_WAIT_BACKOFF);
			return;
		}
		number = MAX(number, start_run_number(s, &st->tasks[i]));
	}
	at = g_new0(worker_t *, st->ntasks);
	if (place_gang(s, st, at))
		for (int32_t i = 0; i < st->ntasks; i++)
			run_start(s, &st->tasks[i], at[i], number);
	else
		scan_set_searched(s, st);
	g_free(at);
}

/* The first waiting task of a step that has one. */
static const task_t *
first_waiting(const step_t *st)
{
	int32_t i = 0;

	while (i + 1 < st->ntasks && st->tasks[i].state != TASK_WAITING)
		i++;
	return &st->tasks[i];
}

/* The worker on which a waiting task can start now, or NULL. */
static worker_t *
find_worker(sched_t *s, step_t *st, task_t *t)
{
	worker_t *w = downtime_is_down(t) || t->nominated != NULL ?
	    nominate_place(s, t) :
	    place_task(s, st, t);

	if (w != NULL)
		return w;
	if (t->nominated != NULL)
		st->wait_reason = SCHED_WAIT_NOMINATED;
	else if (st->wait_reason == SCHED_WAIT_RESERVED)
		quarantine_note_other(s);
	return NULL;
}

/*
 * Whether a task of a step is down that goes before those that had no run: not one that
 * has to wait for something else than room.
 */
static bool
has_down_to_start(const sched_t *s, const step_t *st)
{
	for (int32_t i = 0; st->ndown > 0 && i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];

		if (downtime_is_down(t) && t->not_before_ms <= s->now_ms &&
		    !crash_is_suspect(t))
			return true;
	}
	return false;
}

/* Starts a waiting task on a worker; a lasting filler that is down slowed if need be. */
static bool
start_on(sched_t *s, step_t *st, task_t *t, worker_t *w)
{
	int64_t number = start_run_number(s, t);

	return downtime_is_down(t) && starvation_is_lasting_filler(st) ?
	    starvation_run_start(s, st, t, w, number) :
	    run_start(s, t, w, number);
}

/*
 * Starts waiting tasks of a step while they fit, those of a gang all or none, and while
 * some of a lasting step are down only these; returns how many.
 */
static int32_t
start_step(sched_t *s, step_t *st)
{
	bool only_down = has_down_to_start(s, st);
	bool waits = lasting_admission_waits(s, st);
	int32_t n = 0;

	if (st->def->gang) {
		if (!waits || !downtime_is_new(&st->tasks[0]))
			start_gang(s, st);
		else
			wait_reason_note(s, st, SCHED_WAIT_KEPT);
		return st->nwaiting == 0 ? st->ntasks : 0;
	}
	for (int32_t i = 0; i < st->ntasks && st->nwaiting > 0; i++) {
		task_t *t = &st->tasks[i];
		worker_t *w;

		if (t->state != TASK_WAITING ||
		    (only_down && !downtime_is_down(t)) ||
		    !ownership_may_start_task(s, t))
			continue;
		if (t->not_before_ms > s->now_ms) {
			wait_reason_note(s, st,
			    crash_is_suspect(t) ? SCHED_WAIT_QUARANTINE :
						  SCHED_WAIT_BACKOFF);
			continue;
		}
		if (waits && downtime_is_new(t)) {
			wait_reason_note(s, st, SCHED_WAIT_KEPT);
			continue;
		}
		if (!customer_allows_start(st)) {
			wait_reason_note(s, st, SCHED_WAIT_QUOTA);
			break;
		}
		if (crash_is_suspect(t)) {
			wait_reason_note(s, st, SCHED_WAIT_QUARANTINE);
			n += quarantine_start(s, st, t);
			continue;
		}
		w = find_worker(s, st, t);
		if (w == NULL && only_down)
			continue;
		if (w == NULL) {
			room_keep(s, st);
			only_down = true;
			if (st->ndown == 0)
				break;
			continue;
		}
		if (!start_on(s, st, t, w))
			continue;
		room_started(s, w, st);
		n++;
	}
	return n;
}

/*
 * Whether the job of a step has its row in the store, without which no task of
 * it is started: a successor takes a job without one for not started, and infers
 * from runs at work what else can't have been (starts_after_write).  If it
 * has not, has it stored when a task could start now, slowed or not, or will start
 * soon, as the step is ahead in the queue or starved, or has room reserved.  Approval,
 * which expires, is asked for after that.
 */
static bool
has_row(sched_t *s, step_t *st, bool ahead)
{
	job_t *j = st->occ->job;

	if (!j->row_stored && !j->dirty &&
	    (ahead || starvation_is_starved(s, st) || reservation_has(s, st) ||
		starvation_may_slow(s, st) ||
		place_could_start(s, st, first_waiting(st))))
		flush_mark_job(s, j);
	if (j->row_stored && j->rows_stored >= j->starts_after_write)
		return true;
	if (j->dirty || j->rows_packed > j->rows_stored)
		wait_reason_note(s, st, SCHED_WAIT_ROW);
	return false;
}

/*
 * Offers a queued step workers, and starts tasks of it; returns how many.  What waits
 * yet wants approval, if it needs that.
 */
static int32_t
offer_step(sched_t *s, step_t *st, int32_t pos)
{
	bool searched = scan_has_searched(s, st);
	int32_t n;

	st->offered_ms = s->now_ms;
	suspect_update_step(s, st);
	if (!ownership_may_start_step(s, st) ||
	    !has_row(s, st, pos < STORED_AHEAD))
		return 0;
	n = start_step(s, st);
	if (n == 0 && !searched && ownership_may_start_all(s, st) &&
	    starvation_start(s, st))
		n = 1;
	if (st->nwaiting > 0)
		approval_want(s, st);
	return n;
}

/*
 * Whether only its customer's quota keeps a queued step from being offered
 * workers.  Such a step takes no place at the head of the queue, and its job no
 * row that is stored in advance.
 */
static bool
waits_for_quota(sched_t *s, step_t *st)
{
	return st->nwaiting > 0 && ownership_may_start_step(s, st) &&
	    customer_holds(s, st);
}

/* Puts a step that was offered workers where it belongs in the queue; false: it waits
 * where it was. */
static bool
requeue(sched_t *s, step_t *st, bool was_down)
{
	if (st->nwaiting == 0)
		queue_remove_step(st);
	else if (was_down && st->ndown == 0)
		queue_move_step(s, st);
	else
		return false;
	return true;
}

/* Offers workers to a step whose approval has come: that does not hold until each step
 * before it in the queue has had its turn. */
void
start_approved_step(sched_t *s, step_t *st)
{
	bool was_down = st->ndown > 0;

	if (s->cell.state != CELL_OWNED || !ownership_may_start_tasks(s) ||
	    st->queue_iter == NULL)
		return;
	if (s->unseen_stale)
		customer_count_unseen(s);
	if (waits_for_quota(s, st))
		return;
	offer_step(s, st, STORED_AHEAD);
	requeue(s, st, was_down);
}

/*
 * Makes one pass over the queued steps, in the order of the queue, and starts
 * tasks.  After a pass that reaches a limit, the next tick makes another.
 */
void
start_waiting_tasks(sched_t *s)
{
	GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps), *next;
	int32_t started = 0, started_down = 0, pos = 0, searches = 0;

	if (s->unseen_stale)
		customer_count_unseen(s);
	scan_begin_pass(s);
	while (!g_sequence_iter_is_end(i) && started < STARTS_PER_PASS &&
	    searches < SEARCHES_PER_PASS) {
		step_t *st = g_sequence_get(i);
		bool searched = scan_has_searched(s, st);
		bool was_down = st->ndown > 0;
		int32_t n;

		next = g_sequence_iter_next(i);
		if (waits_for_quota(s, st) ||
		    (was_down && started_down >= STARTS_PER_PASS)) {
			i = next;
			continue;
		}
		n = scan_offers(s, st, pos) ? offer_step(s, st, pos) : 0;
		if (st->nwaiting > 0)
			lasting_admission_note(s, st);
		started_down += was_down ? n : 0;
		started += was_down ? 0 : n;
		searches +=
		    st->ndown == 0 && !searched && scan_has_searched(s, st);
		pos += !requeue(s, st, was_down);
		i = next;
	}
	scan_end_pass(
	    s, pos, started < STARTS_PER_PASS && searches < SEARCHES_PER_PASS);
	s->start_pass_due |= started_down >= STARTS_PER_PASS;
	approval_call_next(s);
}
