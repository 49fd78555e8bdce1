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

/* Batch runs in the way of a task that is down are stopped after this time. */
#define PREEMPT_AFTER_MS 1500
/* Searches for the soonest worker in a pass, as each looks at all runs. */
#define SEARCHES_PER_PASS 16

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

/*
 * Nominates the worker on which a task will fit soonest.  False: the runs that never
 * end leave no room for it, or too many searches were made in this pass.
 */
static bool
nominate_soonest(sched_t *s, task_t *t)
{
	step_t *st = t->step;
	worker_t *w;

	if (st->unnominated_round == s->scan.round ||
	    s->scan.nominate_searches >= SEARCHES_PER_PASS)
		return false;
	s->scan.nominate_searches++;
	w = room_find_soonest(s, t);
	if (w == NULL) {
		st->unnominated_round = s->scan.round;
		return false;
	}
	nominate(s, t, w);
	return true;
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
	if (w != NULL)
		nominate_withdraw(s, t);
	else if (t->nominated == NULL && !nominate_soonest(s, t))
		s->scan.unplaced_down++;
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

	if (t->nominated != NULL)
		return fits(s, t);
	w = place_elsewhere(s, r);
	if (w != NULL) {
		nominate(s, t, w);
		return true;
	}
	if (s->scan.unplaced_down == 0)
		nominate_soonest(s, t);
	return false;
}

/* Whether a task can't start on its nominated worker, or needs none any more. */
static bool
is_stale(const sched_t *s, const task_t *t)
{
	if (!cell_worker_usable(s, t->nominated) ||
	    !quarantine_allows_start(s, t->nominated, t) || crash_is_suspect(t))
		return true;
	return t->run != NULL && t->run->state != RUN_STOPPING &&
	    !t->run->worker->draining;
}

/* Whether a run can be stopped to make room for a lasting task. */
static bool
can_preempt(const run_t *r)
{
	return room_ends_soon(r, true) && r->state == RUN_RUNNING &&
	    !r->unwanted && !r->task->step->def->gang;
}

/* Sorts runs by what is lost if they are stopped, the least first. */
static gint
compare_ages(gconstpointer pa, gconstpointer pb)
{
	const run_t *a = *(run_t *const *)pa, *b = *(run_t *const *)pb;

	if (a->state_since_ms != b->state_since_ms)
		return a->state_since_ms > b->state_since_ms ? -1 : 1;
	return g_strcmp0(a->name, b->name);
}

/* The runs on a worker that can be stopped; to be freed. */
static GPtrArray *
find_victims(const worker_t *w)
{
	GPtrArray *all = g_ptr_array_new();
	run_t *r;

	FOREACH_VALUE (r, w->runs)
		if (can_preempt(r))
			g_ptr_array_add(all, r);
	g_ptr_array_sort(all, compare_ages);
	return all;
}

/* Adds to amounts that are missing on a worker what a run holds of them (sign -1). */
static void
add_run(
    const run_t *r, int sign, int64_t *cpu_milli, int64_t *mem_mb, int64_t *gpu)
{
	const Sched__Step *d = r->task->step->def;

	*cpu_milli += d->filler ? 0 : sign * d->cpu_milli;
	*mem_mb += sign * d->mem_mb;
	*gpu += sign * d->gpu;
}

/* Stops batch runs on a worker until what counts as used there has room. */
static void
preempt(sched_t *s, worker_t *w)
{
	int64_t cpu_milli = w->used_cpu_milli - w->cpu_milli;
	int64_t mem_mb = w->used_mem_mb - w->mem_mb;
	int64_t gpu = w->used_gpu - w->gpu;
	g_autoptr(GPtrArray) victims = find_victims(w);
	const run_t *r;

	FOREACH_VALUE (r, w->runs)
		if (r->state == RUN_STOPPING && r->holds_resources)
			add_run(r, -1, &cpu_milli, &mem_mb, &gpu);
	for (guint i = 0; i < victims->len; i++) {
		run_t *v = g_ptr_array_index(victims, i);
		const Sched__Step *d = v->task->step->def;

		if (!((cpu_milli > 0 && !d->filler && d->cpu_milli > 0) ||
			(mem_mb > 0 && d->mem_mb > 0) ||
			(gpu > 0 && d->gpu > 0)))
			continue;
		add_run(v, -1, &cpu_milli, &mem_mb, &gpu);
		run_stop(s, v, "makes room for a lasting task");
	}
}

/* Whether a task has been down beside its nominated worker for long. */
static bool
waits_long(const sched_t *s, const task_t *t)
{
	return t->run == NULL &&
	    s->now_ms - MAX(t->nominated_ms, t->down_since_ms) >=
	    PREEMPT_AFTER_MS;
}

/* Looks after the nominations, once in a round. */
void
nominate_update(sched_t *s)
{
	for (guint i = s->nominations->len; i-- > 0;) {
		task_t *t = g_ptr_array_index(s->nominations, i);

		if (is_stale(s, t))
			nominate_withdraw(s, t);
		else if (waits_long(s, t) && !fits(s, t))
			preempt(s, t->nominated);
	}
}
