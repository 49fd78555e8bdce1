/*
 * Room for tasks that need much of a worker.
 *
 * Pattern: the workers are full.  What a run leaves on one of them when it ends
 * is taken at once by a smaller task, so that a larger one, though it is before
 * that in the queue, never finds enough on one worker.
 *
 * Therefore, workers are kept for a step that still counts and for which no
 * worker was found: those on which its tasks will fit soonest.  Nothing else
 * but fillers starts there for the rest of the round; in the next one they are
 * chosen anew, in the order of the queue.  The end of lasting and of serving tasks
 * is not waited for.
 *
 * A lasting task that had a run serves nobody until it runs again.  Once its step has
 * waited for HOLD_LASTING_MS, of the kept workers with room for its tasks all but one
 * are open to them: that one is enough to keep for larger work, more are not.
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

/* At most one worker in this many is kept at a time. */
#define WORKERS_PER_KEPT 8
/* Steps that workers are kept for, as each looks at all of them. */
#define KEEPING_STEPS 16
/* A lasting step waits for so long beside several kept workers with room. */
#define HOLD_LASTING_MS 1500

/* A worker that is slow or failed a task counts as having room so much later. */
#define UNSUITED_MS 5000

/* Amounts that are free on a worker for a kind of task. */
typedef struct {
	int64_t cpu_milli, mem_mb;
	int32_t gpu;
} amounts_t;

/* Whose end is waited for, but for tasks that last or serve. */
typedef enum {
	ENDS_BUT_FILLERS,
	ENDS_ALL,
	ENDS_BUT_GANGS /* which are not stopped if they last longer than expected */
} ends_t;

/* Resources that get free. */
typedef struct {
	int64_t ms; /* after this time */
	const Sched__Step *def;
} end_t;

bool
room_ends_soon(const run_t *r, bool fillers_too)
{
	const Sched__Step *d = r->task == NULL ? NULL : r->task->step->def;

	return d != NULL && r->holds_resources && !d->lasting &&
	    (fillers_too || !d->filler) && d->tail_target_ms == 0;
}

static bool
is_waited_for(const run_t *r, ends_t ends)
{
	return room_ends_soon(r, ends != ENDS_BUT_FILLERS) &&
	    (ends != ENDS_BUT_GANGS || !r->task->step->def->gang);
}

int64_t
room_time_left_ms(const sched_t *s, const run_t *r)
{
	return r->state == RUN_STOPPING ?
	    0 :
	    MAX(0,
		job_task_ms(r->task->step) - (s->now_ms - r->state_since_ms));
}

/* Sorts what gets free by time. */
static gint
compare_ends(gconstpointer pa, gconstpointer pb)
{
	const end_t *a = pa, *b = pb;

	return a->ms < b->ms ? -1 : a->ms > b->ms;
}

/* What gets free on a worker within a time, the soonest first. */
static GArray *
find_ends(const sched_t *s, const worker_t *w, int64_t limit_ms, ends_t ends)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(end_t));
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;
		end_t e;

		if (!is_waited_for(r, ends))
			continue;
		e.ms = room_time_left_ms(s, r);
		e.def = r->task->step->def;
		if (e.ms <= limit_ms)
			g_array_append_val(all, e);
	}
	g_array_sort(all, compare_ends);
	return all;
}

/* What is free now for a filler, which may start slowed, or for another task. */
static amounts_t
free_amounts(const sched_t *s, const worker_t *w, bool filler)
{
	amounts_t a = { .mem_mb = w->mem_mb - w->used_mem_mb,
		.gpu = w->gpu - w->used_gpu };

	a.cpu_milli = filler ?
	    starvation_cpu_times(s) * w->cpu_milli - w->filler_cpu_milli :
	    w->cpu_milli - w->used_cpu_milli;
	return a;
}

/* Number of tasks of a step that fit into amounts, at most those of the step. */
static int32_t
tasks_in(const amounts_t *a, const Sched__Step *d)
{
	int64_t n = d->count;

	if (d->cpu_milli > 0)
		n = MIN(n, a->cpu_milli / d->cpu_milli);
	if (d->mem_mb > 0)
		n = MIN(n, a->mem_mb / d->mem_mb);
	if (d->gpu > 0)
		n = MIN(n, a->gpu / d->gpu);
	if (d->per_worker > 0)
		n = MIN(n, d->per_worker);
	return (int32_t)MAX(0, n);
}

/* Adds what a task gives back; fillers share processors only among themselves. */
static void
add_end(amounts_t *a, const end_t *e, bool filler)
{
	if (e->def->filler == filler)
		a->cpu_milli += e->def->cpu_milli;
	a->mem_mb += e->def->mem_mb;
	a->gpu += e->def->gpu;
}

/* What is free once all runs have ended that end within a time. */
static amounts_t
amounts_after(const sched_t *s, const worker_t *w, int64_t limit_ms,
    ends_t ends, bool filler)
{
	amounts_t a = free_amounts(s, w, filler);
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;
		end_t e;

		if (!is_waited_for(r, ends) ||
		    room_time_left_ms(s, r) > limit_ms)
			continue;
		e.def = r->task->step->def;
		add_end(&a, &e, filler);
	}
	return a;
}

/*
 * Sets in an option how many tasks of a step fit on its worker within a time, for a
 * gang as many as can, else at most one; and after which time.
 */
static void
set_wait(const sched_t *s, const step_t *st, int64_t limit_ms, ends_t ends,
    room_option_t *o)
{
	const Sched__Step *d = st->def;
	amounts_t now = free_amounts(s, o->worker, d->filler);
	amounts_t then = amounts_after(s, o->worker, limit_ms, ends, d->filler);
	g_autoptr(GArray) all = NULL;

	o->tasks = tasks_in(&then, d);
	o->tasks = st->def->gang ? o->tasks : MIN(o->tasks, 1);
	o->wait_ms = 0;
	/* Most workers have room now or never; sorting is for the others. */
	if (tasks_in(&now, d) >= o->tasks)
		return;
	all = find_ends(s, o->worker, limit_ms, ends);
	for (guint i = 0; i < all->len && tasks_in(&now, d) < o->tasks; i++) {
		const end_t *e = &g_array_index(all, end_t, i);

		add_end(&now, e, d->filler);
		o->wait_ms = e->ms;
	}
}

/* Sorts options by the time to wait. */
static gint
compare_options(gconstpointer pa, gconstpointer pb)
{
	const room_option_t *a = pa, *b = pb;

	return a->wait_ms < b->wait_ms ? -1 : a->wait_ms > b->wait_ms;
}

/*
 * Time in which a task of a step must start, for its job to be on time or, if it
 * can't be, to count as late.
 */
static int64_t
time_to_limit_ms(const sched_t *s, const step_t *st)
{
	const job_t *j = st->occ->job;

	return st->latest_start_ms - s->wall_ms +
	    (st->misses_target ? (LATE_LIMIT_TIMES - 1) * j->allowed_ms : 0);
}

int32_t
room_tasks_now(const sched_t *s, const worker_t *w, const step_t *st)
{
	amounts_t a = free_amounts(s, w, st->def->filler);

	return tasks_in(&a, st->def);
}

/* Whether a worker is kept for some step in this round. */
bool
room_is_kept(const sched_t *s, const worker_t *w)
{
	return w->kept_round == s->scan.round;
}

bool
room_find_option(const sched_t *s, const step_t *st, worker_t *w,
    int64_t limit_ms, bool fillers_too, room_option_t *o)
{
	/* Most full workers are ruled out here, at little cost. */
	if ((!st->def->filler &&
		w->cpu_milli - w->serving_cpu_milli < st->def->cpu_milli) ||
	    room_is_kept(s, w) || !quarantine_allows_start(s, w, NULL) ||
	    !place_allowed(s, st, w))
		return false;
	o->worker = w;
	set_wait(s, st, limit_ms, fillers_too ? ENDS_ALL : ENDS_BUT_FILLERS, o);
	return o->tasks > 0;
}

/* How much later a worker counts as having room, as others suit better. */
static int64_t
penalty_ms(const worker_t *w, const task_t *t)
{
	return (w->slow || avoid_has(t, w) ? UNSUITED_MS : 0) +
	    w->failures_in_row * UNSUITED_MS;
}

static worker_t *
find_soonest(const sched_t *s, const task_t *t, ends_t ends)
{
	const step_t *st = t->step;
	room_option_t o = { 0 };
	worker_t *best = NULL;
	int64_t least = INT64_MAX;
	char name[64];

	job_task_name(t, name, sizeof(name));
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		int64_t later_ms = penalty_ms(w, t);

		if (later_ms >= least ||
		    w->cpu_milli - w->serving_cpu_milli < st->def->cpu_milli ||
		    !quarantine_allows_start(s, w, t) ||
		    !place_allowed(s, st, w) ||
		    g_hash_table_contains(w->runs, name))
			continue;
		o.worker = w;
		/* Only what gets free before that of the best one matters. */
		set_wait(s, st, least - later_ms - 1, ends, &o);
		if (o.tasks == 0)
			continue;
		best = w;
		least = o.wait_ms + later_ms;
	}
	return best;
}

worker_t *
room_find_soonest(const sched_t *s, const task_t *t)
{
	worker_t *w = find_soonest(s, t, ENDS_BUT_GANGS);

	return w != NULL ? w : find_soonest(s, t, ENDS_ALL);
}

GArray *
room_find_options(
    const sched_t *s, const step_t *st, int64_t limit_ms, bool fillers_too)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(room_option_t));

	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		room_option_t o;

		if (room_find_option(s, st, w, limit_ms, fillers_too, &o))
			g_array_append_val(all, o);
	}
	g_array_sort(all, compare_options);
	return all;
}

void
room_mark_kept(sched_t *s, worker_t *w, const step_t *st)
{
	w->kept_round = s->scan.round;
	w->kept_for = st;
	s->scan.kept_workers++;
}

/* Whether workers may be kept for a step. */
static bool
may_keep(const sched_t *s, const step_t *st)
{
	const Sched__Step *d = st->def;

	return !d->filler && !d->lasting && !d->gang && !st->past_late_limit &&
	    !st->occ->deferred && st->kept_round != s->scan.round &&
	    s->scan.keeping_steps < KEEPING_STEPS;
}

/* Keeps workers for a step that has just been offered all of them in vain. */
void
room_keep(sched_t *s, step_t *st)
{
	g_autoptr(GArray) options = NULL;
	guint room = s->worker_list->len / WORKERS_PER_KEPT, n;

	room = MAX(1, room) - MIN(MAX(1, room), s->scan.kept_workers);
	if (!may_keep(s, st) || room == 0)
		return;
	st->kept_round = s->scan.round;
	s->scan.keeping_steps++;
	options = room_find_options(s, st, time_to_limit_ms(s, st), false);
	n = MIN(options->len, MIN(room, (guint)st->nwaiting));
	for (guint i = 0; i < n; i++)
		room_mark_kept(
		    s, g_array_index(options, room_option_t, i).worker, st);
}

/*
 * Whether a lasting task that had a run has waited for long enough beside kept workers
 * that have room for more than one of its step.
 */
static bool
waited_long(const sched_t *s, const task_t *t)
{
	const step_t *st = t->step;

	return st->def->lasting && !downtime_is_new(t) &&
	    st->kept_with_room >= 2 &&
	    s->now_ms - st->unplaced_since_ms >= HOLD_LASTING_MS;
}

/* Whether a task may be started on a worker, as far as that is kept. */
bool
room_allows_start(const sched_t *s, const worker_t *w, const task_t *t)
{
	const step_t *st = t->step;

	if (!room_is_kept(s, w) || w->kept_for == st)
		return true;
	return reservation_on(s, w) ? reservation_leaves_room(s, w, st) :
				      st->def->filler || waited_long(s, t);
}

/*
 * No worker was found for a step that has been offered all of them; kept: those that
 * could take a task and are kept for others.
 */
void
room_not_found(const sched_t *s, step_t *st, int32_t kept)
{
	if (st->unplaced_since_ms == 0)
		st->unplaced_since_ms = s->now_ms;
	st->kept_with_room = kept;
}

/* A task of a step is started on a worker: one less is left, if it was kept. */
void
room_started(const sched_t *s, const worker_t *w, step_t *st)
{
	if (room_is_kept(s, w) && w->kept_for != st && st->kept_with_room > 0)
		st->kept_with_room--;
}
