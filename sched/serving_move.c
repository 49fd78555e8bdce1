/*
 * Moves of serving tasks, as regroup.c chooses them.
 *
 * Pattern: serving tasks hold most of the processors for a long time, and were
 * placed before it was known which fillers slow down which of them.  Some filler
 * images find no worker any more, though most of them have idle processors.
 *
 * A task is moved only if its step allows one to be away and none is.  The room for
 * it on the worker that it goes to is held until it has started there (nominate.c).
 */
#include <math.h>
#include <stdbool.h>
#include <stddef.h>
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
#include "regroup.h"

#define WANTED_TIME_MS 2000 /* time constant of the mean of wanted_fillers */
#define WANTED_MIN     1000 /* milli; less counts as none */
/* At most one worker in this many takes part in moves at a time. */
#define WORKERS_PER_MOVE 8

/*
 * Adds up the processor amount that the filler tasks of each image ask for: those
 * that run and those that wait.  Returns the images of those that wait.
 */
static uint64_t
count_wanted(sched_t *s, double *wanted)
{
	uint64_t waiting = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);
		int32_t f;

		FOREACH_IMAGE (f, w->filler_mask)
			wanted[f] += (double)w->filler_cpu_by_image[f];
	}
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		if (!st->def->filler || st->image < 0)
			continue;
		waiting |= IMAGE_BIT(st->image);
		wanted[st->image] +=
		    (double)(st->nwaiting * st->def->cpu_milli);
		s->filler_service[st->image] = st->occ->job->service;
	}
	return waiting;
}

/*
 * Follows the processor amount that fillers ask for; returns the images of those
 * that wait.
 */
static uint64_t
update_wanted(sched_t *s, int64_t since_ms)
{
	double wanted[IMAGES_MAX] = { 0 };
	double rate = 1 - exp(-(double)since_ms / WANTED_TIME_MS);
	uint64_t waiting = count_wanted(s, wanted);

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		s->wanted_fillers[f] +=
		    rate * (wanted[f] - s->wanted_fillers[f]);
	return waiting;
}

/* Whether a serving task may be stopped now to be started elsewhere. */
static bool
is_movable(const sched_t *s, const run_t *r)
{
	return isolation_is_serving(r) && r->task->step->def->lasting &&
	    !r->task->step->def->gang && r->task->run == r &&
	    r->task->crashes == NULL && r->job->stage == JOB_OPEN &&
	    customer_allows_move(r) && may_miss_allows_any(s, r->task);
}

/* The least that a waiting lasting task needs of each resource. */
typedef struct {
	int64_t cpu_milli, mem_mb;
	int32_t gpu;
} amounts_t;

/*
 * Finds the least that the lasting tasks of a service need that wait; more than
 * any worker has if none waits.
 */
static amounts_t
least_waiting(const sched_t *s, const char *service)
{
	amounts_t a = { INT64_MAX, INT64_MAX, INT32_MAX };

	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		if (!st->def->lasting || st->occ->job->service != service)
			continue;
		a.cpu_milli = MIN(a.cpu_milli, st->def->cpu_milli);
		a.mem_mb = MIN(a.mem_mb, st->def->mem_mb);
		a.gpu = MIN(a.gpu, st->def->gpu);
	}
	return a;
}

/*
 * Whether tasks may be moved to a worker now.  One that is down serves nobody, so
 * that room for it is not taken by a move.
 */
static bool
is_available(const sched_t *s, const worker_t *w, const amounts_t *waiting)
{
	bool wanted = waiting->cpu_milli <= w->cpu_milli - w->used_cpu_milli &&
	    waiting->mem_mb <= w->mem_mb - w->used_mem_mb &&
	    waiting->gpu <= w->gpu - w->used_gpu;

	return cell_worker_usable(s, w) && w->quarantined_run == NULL &&
	    s->now_ms >= w->reserved_until_ms && !wanted;
}

static bool
may_run(void *ctx, const regroup_task_t *t, const regroup_worker_t *w)
{
	const run_t *r = t->run;

	return place_allowed(ctx, r->task->step, w->worker) &&
	    approval_allows(ctx, r->task->step, w->worker);
}

/* Describes a worker; its tasks are added to an array. */
static void
describe_worker(const sched_t *s, worker_t *w, const amounts_t *waiting,
    GArray *tasks, regroup_worker_t *to)
{
	run_t *r;

	memset(to, 0, sizeof(*to));
	to->worker = w;
	to->usable = is_available(s, w, waiting);
	to->cpu_milli = w->cpu_milli;
	to->free_cpu_milli = w->cpu_milli - w->used_cpu_milli;
	to->free_mem_mb = w->mem_mb - w->used_mem_mb;
	to->free_gpu = w->gpu - w->used_gpu;
	to->filler_milli = place_filler_capacity(w);
	FOREACH_VALUE (r, w->runs) {
		regroup_task_t t = { .run = r, .movable = is_movable(s, r) };

		if (r->task == NULL || r->task->step->image < 0 ||
		    r->task->step->def->tail_target_ms == 0)
			continue;
		t.image = r->task->step->image;
		t.cpu_milli = r->task->step->def->cpu_milli;
		t.mem_mb = r->task->step->def->mem_mb;
		t.gpu = r->task->step->def->gpu;
		g_array_append_val(tasks, t);
		to->ntasks++;
	}
}

/* Nominates a worker for the next run of a task, and stops its present one. */
static void
move(sched_t *s, run_t *r, worker_t *to)
{
	nominate_withdraw(s, r->task);
	nominate(s, r->task, to);
	run_stop(s, r, "moved for waiting fillers");
}

/* Workers that are reserved for suspect tasks, or nominated. */
static guint
busy_workers(const sched_t *s)
{
	guint n = s->nominations->len;

	for (guint i = 0; i < s->worker_list->len; i++)
		n += s->now_ms <
		    ((worker_t *)g_ptr_array_index(s->worker_list, i))
			->reserved_until_ms;
	return n;
}

/*
 * Describes the images: what each pair leaves to fillers, and how much those of a
 * service want.
 */
static void
describe_images(const sched_t *s, const char *service, regroup_images_t *g)
{
	int32_t images = (int32_t)g_hash_table_size(s->images);
	int32_t f;

	FOREACH_IMAGE (f, s->filler_images) {
		if (s->filler_service[f] == service &&
		    s->wanted_fillers[f] >= WANTED_MIN)
			g->wanted_milli[f] = s->wanted_fillers[f];
		for (int32_t i = 0; i < images; i++)
			g->share[i][f] = isolation_share(s, i, f);
	}
}

/* Describes the workers of a service, and their tasks. */
static GArray *
describe_workers(const sched_t *s, const char *service, GArray *tasks)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(regroup_worker_t));
	amounts_t waiting = least_waiting(s, service);
	size_t next = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		regroup_worker_t d;

		if (w->service != service)
			continue;
		describe_worker(s, w, &waiting, tasks, &d);
		g_array_append_val(all, d);
	}
	for (guint i = 0; i < all->len; i++) {
		regroup_worker_t *w = &g_array_index(all, regroup_worker_t, i);

		w->tasks = &g_array_index(tasks, regroup_task_t, next);
		next += w->ntasks;
	}
	return all;
}

/* Chooses a move on the workers of a service and begins it; false if none pays. */
static bool
begin_move(sched_t *s, const char *service)
{
	g_autoptr(GArray) tasks =
	    g_array_new(FALSE, FALSE, sizeof(regroup_task_t));
	g_autoptr(GArray) workers = describe_workers(s, service, tasks);
	g_autofree regroup_images_t *images = g_new0(regroup_images_t, 1);
	regroup_state_t r = { .workers = (regroup_worker_t *)workers->data,
		.nworkers = workers->len,
		.images = images,
		.may_run = may_run,
		.ctx = s };
	regroup_move_t m;

	describe_images(s, service, images);
	regroup_set_prices(images, r.workers, r.nworkers);
	if (!regroup_choose(&r, &m))
		return false;
	move(s, m.task->run, m.to->worker);
	if (m.exchanged != NULL)
		move(s, m.exchanged->run, m.from->worker);
	return true;
}

/* Begins the moves that pay now; since_ms: the time since the last call. */
void
serving_move_update(sched_t *s, int64_t since_ms)
{
	uint64_t waiting = update_wanted(s, since_ms);
	const char *service;
	int32_t f;

	/* Room goes to tasks that are down, before any other is moved. */
	if (!ownership_may_start_tasks(s) || s->scan.unplaced_down > 0)
		return;
	while (waiting != 0) {
		service = s->filler_service[__builtin_ctzll(waiting)];
		while (
		    busy_workers(s) * WORKERS_PER_MOVE < s->worker_list->len &&
		    begin_move(s, service))
			;
		FOREACH_IMAGE (f, waiting)
			if (s->filler_service[f] == service)
				waiting &= ~IMAGE_BIT(f);
	}
}
