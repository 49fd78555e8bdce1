/*
 * Which workers a call to the approval service names.
 *
 * The service takes time for each worker, and handles the calls of an entry in turn.
 * So a call names those that give the step what it needs now: by the room that they have,
 * the largest first, and some more as not all will be approved.
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

#define MAX_WORKERS 30 /* the service takes time for each */
#define MIN_WORKERS 6  /* as not all will be approved */
/* The tasks of a gang need their tickets at the same time; the most that a call takes. */
#define MAX_GANG_WORKERS 100
/* Room that is asked for, in times of what a step needs, where it may be refused. */
#define UNASKED_TIMES 2
/* Workers that are asked about for each lasting task that is down, ahead of their room. */
#define AHEAD_PER_TASK 2

/* A worker without a valid ticket. */
typedef struct {
	worker_t *worker;
	int32_t tasks; /* that may start there */
	guint order;   /* among those that are equal otherwise */
	bool awaited;  /* nominated, or in quarantine, for a task of the step */
	bool open;     /* a task could start there now */
	bool granted;  /* it was approved before */
} candidate_t;

int64_t
approval_call_ms(const step_t *st, guint nworkers)
{
	const sched_approval_cost_t *c = &st->occ->job->queue->approval_cost;

	return c->decision_ms + (int64_t)nworkers * c->per_worker_ms;
}

/*
 * The most workers that a call names for a step: it takes half as long as its tickets
 * hold, or less, but where it is the decision that takes long.
 */
static guint
max_workers(const step_t *st)
{
	const sched_approval_cost_t *c = &st->occ->job->queue->approval_cost;

	if (st->def->gang)
		return MAX_GANG_WORKERS;
	if (c->per_worker_ms <= 0 || c->valid_ms <= 0)
		return MAX_WORKERS;
	return (guint)CLAMP(
	    MAX(c->valid_ms / 2 - c->decision_ms, c->decision_ms) /
		c->per_worker_ms,
	    MIN_WORKERS, MAX_WORKERS);
}

/* The first waiting task of a step, or its first task. */
static const task_t *
sample_task(const step_t *st)
{
	for (int32_t i = 0; i < st->ntasks; i++)
		if (st->tasks[i].state == TASK_WAITING)
			return &st->tasks[i];
	return &st->tasks[0];
}

/* Whether a step has a valid ticket of a worker, of a gang one that holds until a call
 * for others has been answered. */
static bool
has_ticket(const sched_t *s, const step_t *st, const worker_t *w)
{
	int64_t ms = st->def->gang ? approval_call_ms(st, MAX_WORKERS) : 0;

	return approval_until_ms(s, st, w) > s->now_ms + ms;
}

/* Whether a lasting task could run on a worker once the runs that end have ended. */
static bool
may_get_room(const sched_t *s, const worker_t *w, const step_t *st)
{
	int64_t cpu_milli = w->cpu_milli - w->used_cpu_milli;
	int64_t mem_mb = w->mem_mb - w->used_mem_mb;
	int32_t gpu = w->gpu - w->used_gpu;
	const run_t *r;

	if (!place_fits_empty(s, w, st) || !place_spread_allows(st, w))
		return false;
	FOREACH_VALUE (r, w->runs) {
		const Sched__Step *d;

		if (!room_ends_soon(r, true))
			continue;
		d = r->task->step->def;
		cpu_milli += d->filler ? 0 : d->cpu_milli;
		mem_mb += d->mem_mb;
		gpu += d->gpu;
	}
	return (st->def->filler || cpu_milli >= st->def->cpu_milli) &&
	    mem_mb >= st->def->mem_mb && gpu >= st->def->gpu;
}

/* The worker on which alone a task may start, as it is nominated or reserved; or NULL. */
static worker_t *
awaited_worker(const sched_t *s, const task_t *t)
{
	worker_t *w = t->crashes == NULL ? NULL : t->crashes->reserved;

	if (w != NULL && w->reserved_for == t &&
	    s->now_ms < w->reserved_until_ms)
		return w;
	return t->nominated;
}

static bool
contains(const GArray *all, const worker_t *w)
{
	for (guint i = 0; i < all->len; i++)
		if (g_array_index(all, candidate_t, i).worker == w)
			return true;
	return false;
}

/* Adds the workers without a ticket on which alone tasks of a step may start. */
static void
add_awaited(const sched_t *s, const step_t *st, GArray *all)
{
	for (int32_t i = 0; i < st->ntasks; i++) {
		candidate_t c = { .worker = awaited_worker(s, &st->tasks[i]),
			.tasks = 1,
			.awaited = true };

		if (c.worker == NULL || has_ticket(s, st, c.worker) ||
		    approval_is_refused(st, c.worker) ||
		    contains(all, c.worker))
			continue;
		c.granted = approval_is_granted(st, c.worker);
		g_array_append_val(all, c);
	}
}

/* How many tasks of a step may start on a worker, by its room. */
static int32_t
tasks_on(const sched_t *s, const step_t *st, const worker_t *w)
{
	return st->def->filler ? 1 : MAX(1, room_tasks_now(s, w, st));
}

/*
 * Adds the workers without a ticket that could run a task of a step now; returns how many
 * tasks of a gang could start with the tickets that it has.
 */
static int32_t
add_possible(sched_t *s, const step_t *st, GArray *all)
{
	bool may_slow = starvation_may_slow(s, st);
	const task_t *t = sample_task(st);
	guint nawaited = all->len;
	int32_t covered = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		/* Each call begins at another worker, to spread the load. */
		candidate_t c = { .worker = g_ptr_array_index(s->worker_list,
				      (i + (guint)s->last_id) %
					  s->worker_list->len),
			.order = i };

		if (approval_is_refused(st, c.worker) ||
		    !place_spread_allows(st, c.worker) ||
		    !place_possible(s, c.worker, st, may_slow))
			continue;
		c.open = place_could_take(s, c.worker, t, may_slow);
		c.tasks = tasks_on(s, st, c.worker);
		c.granted = approval_is_granted(st, c.worker);
		if (has_ticket(s, st, c.worker))
			covered += st->def->gang && c.open ? c.tasks : 0;
		else if (nawaited == 0 || !contains(all, c.worker))
			g_array_append_val(all, c);
	}
	return covered;
}

/*
 * Adds workers that may get room for a lasting task that is down, for as many as it takes
 * with the tickets that there are: room that others leave is not to wait for an answer.
 */
static void
add_ahead(const sched_t *s, const step_t *st, GArray *all)
{
	int32_t left = st->ndown * AHEAD_PER_TASK;

	left = MAX(left, MIN_WORKERS);
	for (guint i = 0; i < s->worker_list->len; i++)
		left -=
		    has_ticket(s, st, g_ptr_array_index(s->worker_list, i)) &&
		    may_get_room(s, g_ptr_array_index(s->worker_list, i), st);
	for (guint i = 0; i < s->worker_list->len && left > 0; i++) {
		candidate_t c = { .worker = g_ptr_array_index(s->worker_list,
				      (i + (guint)s->last_id) %
					  s->worker_list->len),
			.tasks = 1,
			.order = i };

		if (has_ticket(s, st, c.worker) ||
		    approval_is_refused(st, c.worker) ||
		    !may_get_room(s, c.worker, st) || contains(all, c.worker))
			continue;
		c.granted = approval_is_granted(st, c.worker);
		g_array_append_val(all, c);
		left--;
	}
}

/* Sorts those that are the most likely to be of use first. */
static gint
compare_candidates(gconstpointer pa, gconstpointer pb)
{
	const candidate_t *a = pa, *b = pb;

	if (a->awaited != b->awaited)
		return a->awaited ? -1 : 1;
	if (a->open != b->open)
		return a->open ? -1 : 1;
	if (a->granted != b->granted)
		return a->granted ? -1 : 1;
	if (a->tasks != b->tasks)
		return a->tasks > b->tasks ? -1 : 1;
	return a->order < b->order ? -1 : a->order > b->order;
}

/* The first of the sorted workers, with room for so many tasks; more where some may be
 * refused. */
static GPtrArray *
take_enough(const step_t *st, const GArray *all, int32_t tasks)
{
	GPtrArray *workers = g_ptr_array_new();
	guint most = max_workers(st);
	int64_t left = (int64_t)tasks * UNASKED_TIMES;
	bool unasked = false;

	for (guint i = 0; i < all->len && workers->len < most; i++) {
		const candidate_t *c = &g_array_index(all, candidate_t, i);

		if (left <= 0 && !c->awaited &&
		    (!unasked || workers->len >= MIN_WORKERS))
			break;
		unasked = unasked || !c->granted;
		left -= (int64_t)c->tasks * (c->granted ? UNASKED_TIMES : 1);
		g_ptr_array_add(workers, (void *)c->worker->id);
	}
	return workers;
}

/*
 * Returns the workers (interned ids) that a call for a step is to name, none if there is
 * nothing to ask for; to be freed.
 */
GPtrArray *
approval_choose(sched_t *s, const step_t *st)
{
	g_autoptr(GArray) all = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	int32_t tasks = MAX(1, st->nwaiting);
	guint nawaited;

	approval_count_unused(s, st);
	if (st->occ->job->stage != JOB_OPEN)
		return g_ptr_array_new();
	add_awaited(s, st, all);
	nawaited = all->len;
	tasks -= add_possible(s, st, all);
	if (all->len == nawaited && st->ndown > 0) {
		add_ahead(s, st, all);
		tasks = MAX(tasks, (int32_t)all->len);
	}
	g_array_sort(all, compare_candidates);
	return take_enough(st, all, tasks);
}
