/*
 * Workers nominated for lasting tasks, before these start there.
 *
 * Pattern: many lasting tasks are down at once, or have to leave their workers, on a
 * cell that is full of short work.  What a run leaves when it ends is taken by other
 * tasks, and each lasting task waits for as long as they come.
 *
 * So a lasting task that had a run and is down is offered workers before all other
 * work.  If none can take it now, the worker is nominated for it on which it will fit
 * soonest, and what the task needs counts as used there from then on, whatever the
 * number of such tasks.  Where the runs that are in the way do not end in time, batch
 * runs are stopped.  A run that has to leave its worker is stopped only when its task
 * fits on the nominated one (make before break).
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

/* Batch runs in the way of a task are stopped after this time. */
#define PREEMPT_AFTER_MS 1500
#define PREEMPT_FAILING_MS \
	4500 /* for one that fails again and again; within 6 s */
/* Searches for the soonest worker in a pass, as each looks at all runs; as many for room
 * that is kept for runs which must wait. */
#define SEARCHES_PER_PASS 16
/* Each worker reports in this time, and with that a run asks again for a search. */
#define ASKS_AGAIN_MS 1200

/* Nominates a worker for the next run of a task. */
void
nominate(sched_t *s, task_t *t, worker_t *w)
{
	char name[64];

	t->nominated = w;
	t->nominated_ms = s->now_ms;
	w->nnominated++;
	cell_worker_count_task(w, t->step, 1);
	g_ptr_array_add(s->nominations, t);
	job_task_name(t, name, sizeof(name));
	LOG_EVENT(s, SCHED_EVT_NOMINATED, name,
	    "worker=%s down=%" PRId64 " cpu=%" PRId64 "/%" PRId64
	    " mem_mb=%" PRId64 "/%" PRId64,
	    w->id, downtime_ms(s, t), w->used_cpu_milli, w->cpu_milli,
	    w->used_mem_mb, w->mem_mb);
}

/* Withdraws the nomination of a task's worker, if it has one. */
void
nominate_withdraw(sched_t *s, task_t *t)
{
	worker_t *w = t->nominated;

	if (w == NULL)
		return;
	cell_worker_count_task(w, t->step, -1);
	w->nnominated--;
	t->nominated = NULL;
	g_ptr_array_remove_fast(s->nominations, t);
	scan_worker_changed(s, w);
}

/* Forgets all nominations. */
void
nominate_forget(sched_t *s)
{
	while (s->nominations->len > 0)
		nominate_withdraw(s, g_ptr_array_index(s->nominations, 0));
}

/* Number of tasks of a step for which a worker is nominated. */
int32_t
nominate_count(const worker_t *w, const step_t *st)
{
	const GPtrArray *all = st->occ->job->sched->nominations;
	int32_t n = 0;

	for (guint i = 0; w->nnominated > 0 && i < all->len; i++) {
		const task_t *t = g_ptr_array_index(all, i);

		n += t->nominated == w && t->step == st;
	}
	return n;
}

/* Whether a task could start on its nominated worker now. */
static bool
fits(sched_t *s, task_t *t)
{
	worker_t *w = t->nominated;
	bool ok;

	/* It is not in its own way. */
	cell_worker_count_task(w, t->step, -1);
	t->nominated = NULL;
	ok = place_fits(s, t, w);
	t->nominated = w;
	cell_worker_count_task(w, t->step, 1);
	return ok;
}

/* Whether a search in this turn was in vain for a task that needs no more. */
static bool
is_in_vain(const sched_t *s, const step_t *st)
{
	const needs_t *n = &s->scan.unnominated;

	return st->unnominated_turn == s->scan.nominate_turn ||
	    (s->scan.unnominated_turn == s->scan.nominate_turn &&
		n->service == st->occ->job->service &&
		n->filler == st->def->filler &&
		n->cpu_milli <= st->def->cpu_milli &&
		n->mem_mb <= st->def->mem_mb && n->gpu <= st->def->gpu);
}

/* Notes that a search was in vain, also for other steps if only room was wanting. */
static void
note_in_vain(sched_t *s, step_t *st)
{
	const Sched__Step *d = st->def;

	st->unnominated_turn = s->scan.nominate_turn;
	if (st->occ->job->needs_approval || d->per_worker != 0 ||
	    d->label[0] != '\0')
		return;
	s->scan.unnominated_turn = s->scan.nominate_turn;
	s->scan.unnominated = (needs_t){ .service = st->occ->job->service,
		.cpu_milli = d->cpu_milli,
		.mem_mb = d->mem_mb,
		.gpu = d->gpu,
		.filler = d->filler };
}

/*
 * Begins a new turn, in which each task may be searched for once, if all that asked had
 * their search in the last one: those that find no worker leave searches to others.
 */
static void
begin_turn(sched_t *s)
{
	if (s->scan.unplaced_down == 0 &&
	    s->now_ms - s->scan.search_refused_ms >= ASKS_AGAIN_MS)
		s->scan.nominate_turn++;
}

/* Whether a task has a search left in this turn. */
static bool
may_search(const sched_t *s, const task_t *t)
{
	return t->searched_turn != s->scan.nominate_turn &&
	    !is_in_vain(s, t->step);
}

/* A task has no search in this pass, as others have used them up or go first. */
static void
refuse_search(sched_t *s, const task_t *t)
{
	if (t->run == NULL)
		s->scan.unplaced_down++;
	else
		s->scan.search_refused_ms = s->now_ms;
}

/*
 * Nominates the worker on which a task will fit soonest, unless the runs that never end
 * leave no room for it anywhere, so that it is in nobody's way, or too many searches
 * were made in this pass.
 */
static void
nominate_soonest(sched_t *s, task_t *t)
{
	step_t *st = t->step;
	worker_t *w;

	if (!may_search(s, t))
		return;
	if (s->scan.nominate_searches >= SEARCHES_PER_PASS ||
	    (t->run != NULL && s->scan.unplaced_down > 0)) {
		refuse_search(s, t);
		return;
	}
	s->scan.nominate_searches++;
	t->searched_turn = s->scan.nominate_turn;
	w = starvation_is_lasting_filler(st) ? place_slowed(s, st, t) : NULL;
	if (w == NULL)
		w = room_find_soonest(s, t);
	if (w == NULL)
		note_in_vain(s, st);
	else
		nominate(s, t, w);
}

/* A nomination that does not count as used for the moment. */
typedef struct {
	task_t *task;
	worker_t *worker;
} aside_t;

static void
set_aside(GArray *all, task_t *t)
{
	aside_t a = { t, t->nominated };

	cell_worker_count_task(a.worker, t->step, -1);
	t->nominated = NULL;
	g_array_append_val(all, a);
}

/*
 * Whether a task can't start on its nominated worker for long, as its run has to leave a
 * worker that does not answer or is gone: not before the lease there has ended.
 */
static bool
must_wait(const task_t *t)
{
	return t->run != NULL &&
	    (t->run->worker->missed_polls > 0 || !t->run->worker->listed);
}

/*
 * Returns the worker on which a task that is down can start now beside the nominations
 * other than those that must wait, and withdraws these there; or NULL.
 */
static worker_t *
take_room(sched_t *s, task_t *t)
{
	g_autoptr(GArray) all = g_array_new(FALSE, FALSE, sizeof(aside_t));
	worker_t *w = NULL;

	if (s->scan.rooms_sought >= SEARCHES_PER_PASS)
		return NULL;
	for (guint i = 0; i < s->nominations->len && w == NULL; i++) {
		task_t *o = g_ptr_array_index(s->nominations, i);
		worker_t *at = o->nominated;

		if (o == t || !must_wait(o))
			continue;
		if (all->len == 0 && t->nominated != NULL)
			set_aside(all, t);
		set_aside(all, o);
		if (place_fits(s, t, at))
			w = at;
	}
	s->scan.rooms_sought += all->len > 0;
	for (guint i = 0; i < all->len; i++) {
		aside_t *a = &g_array_index(all, aside_t, i);

		a->task->nominated = a->worker;
		cell_worker_count_task(a->worker, a->task->step, 1);
		if (a->worker == w && a->task != t)
			nominate_withdraw(s, a->task);
	}
	return w;
}

/*
 * Returns the worker on which a task that is down can start now; if there is none,
 * nominates one.
 */
worker_t *
nominate_place(sched_t *s, task_t *t)
{
	worker_t *w = t->nominated;

	if (w != NULL && !fits(s, t))
		w = NULL;
	if (w == NULL)
		w = place_task(s, t->step, t);
	if (w == NULL)
		w = take_room(s, t);
	if (w != NULL)
		nominate_withdraw(s, t);
	else if (t->nominated == NULL)
		nominate_soonest(s, t);
	return w;
}

/*
 * Whether a run may be stopped for its task to start elsewhere, as it fits on the
 * worker nominated for it.  Nominates one if need be, but no worker that has no room
 * now while a task that is down has none.
 */
bool
nominate_elsewhere(sched_t *s, const run_t *r)
{
	task_t *t = r->task;
	worker_t *w;

	if (t->nominated != NULL && fits(s, t))
		return true;
	w = place_elsewhere(s, r);
	if (w != NULL) {
		nominate_withdraw(s, t);
		nominate(s, t, w);
		return true;
	}
	if (t->nominated == NULL)
		nominate_soonest(s, t);
	return false;
}

/* Whether a task can't start on its nominated worker, or needs none any more. */
static bool
is_stale(const sched_t *s, const task_t *t)
{
	const worker_t *w = t->nominated;

	if (!place_fits_empty(s, w, t->step) ||
	    !approval_allows(s, t->step, w) ||
	    !quarantine_allows_start(s, w, t))
		return true;
	/* A suspect task has a worker of quarantine.c once it is down. */
	if (t->run == NULL &&
	    (crash_is_suspect(t) || !customer_allows_start(t->step)))
		return true;
	return t->run != NULL && t->run->state != RUN_STOPPING &&
	    !t->run->worker->draining;
}

/* The last of the tasks with a worker nominated, those that run yet after the others. */
static task_t *
last_nominated(const sched_t *s, const worker_t *w)
{
	task_t *last = NULL;

	for (guint i = 0; i < s->nominations->len; i++) {
		task_t *t = g_ptr_array_index(s->nominations, i);

		if (t->nominated == w &&
		    (last == NULL || (t->run != NULL) > (last->run != NULL) ||
			((t->run != NULL) == (last->run != NULL) &&
			    t->nominated_ms >= last->nominated_ms)))
			last = t;
	}
	return last;
}

/*
 * Whether a task has waited for room on its nominated worker for long: it is down, or
 * will be soon as its worker drains.
 */
static bool
waits_long(const sched_t *s, const task_t *t)
{
	int64_t after_ms =
	    blame_is_failing(t) ? PREEMPT_FAILING_MS : PREEMPT_AFTER_MS;

	return t->not_before_ms <= s->now_ms && ownership_may_start_tasks(s) &&
	    MAX(downtime_ms(s, t), s->now_ms - t->nominated_ms) >= after_ms;
}

/*
 * Makes room for a task that has waited for it on its nominated worker for long.  If
 * there can't be room for all tasks there, the last of them is withdrawn, so that the
 * others do not wait for it; if room is not what the task waits for, its own is.
 */
static void
unblock(sched_t *s, task_t *t)
{
	const worker_t *w = t->nominated;

	if (!preempt_is_short(w))
		nominate_withdraw(s, t);
	else if (!preempt_make_room(s, w))
		nominate_withdraw(s, last_nominated(s, w));
}

/* Looks after the nominations, once in a round. */
void
nominate_update(sched_t *s)
{
	begin_turn(s);
	for (guint i = s->nominations->len; i-- > 0;) {
		task_t *t;

		/* Another one than the present was withdrawn. */
		if (i >= s->nominations->len)
			continue;
		t = g_ptr_array_index(s->nominations, i);
		if (is_stale(s, t))
			nominate_withdraw(s, t);
		else if (waits_long(s, t) && !fits(s, t))
			unblock(s, t);
	}
}
