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
 * A lasting task that is down serves nobody until it runs again.  Once its step has
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

/* At most one worker in this many is kept at a time. */
#define WORKERS_PER_KEPT 8
/* Steps that workers are kept for, as each looks at all of them. */
#define KEEPING_STEPS 16
/* A lasting step waits for so long beside several kept workers with room. */
#define HOLD_LASTING_MS 1500

/* A worker, and when a task will fit there. */
typedef struct {
	worker_t *worker;
	int64_t wait_ms;
} option_t;

/* A run that holds resources and ends by itself before long. */
static bool
ends_soon(const run_t *r)
{
	const Sched__Step *d = r->task == NULL ? NULL : r->task->step->def;

	return d != NULL && r->holds_resources && !d->lasting && !d->filler &&
	    d->tail_target_ms == 0;
}

/* Expected time until a run that ends soon has ended. */
static int64_t
time_left_ms(const sched_t *s, const run_t *r)
{
	return r->state == RUN_STOPPING ?
	    0 :
	    MAX(0,
		job_task_ms(r->task->step) - (s->now_ms - r->state_since_ms));
}

/* Whether a task of a step fits on a worker once the runs that end by a time have. */
static bool
fits_after(
    const sched_t *s, const worker_t *w, const Sched__Step *d, int64_t ms)
{
	int64_t cpu_milli = w->cpu_milli - w->used_cpu_milli;
	int64_t mem_mb = w->mem_mb - w->used_mem_mb;
	int32_t gpu = w->gpu - w->used_gpu;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;

		if (!ends_soon(r) || time_left_ms(s, r) > ms)
			continue;
		cpu_milli += r->task->step->def->cpu_milli;
		mem_mb += r->task->step->def->mem_mb;
		gpu += r->task->step->def->gpu;
	}
	return d->cpu_milli <= cpu_milli && d->mem_mb <= mem_mb &&
	    d->gpu <= gpu;
}

/* Expected time until a task of a step fits on a worker; -1: none within limit. */
static int64_t
wait_ms(
    const sched_t *s, const worker_t *w, const Sched__Step *d, int64_t limit_ms)
{
	int64_t least = -1;
	GHashTableIter it;
	void *v;

	if (!fits_after(s, w, d, limit_ms))
		return -1;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		int64_t ms = ends_soon(v) ? time_left_ms(s, v) : limit_ms;

		if (ms <= limit_ms && (least < 0 || ms < least) &&
		    fits_after(s, w, d, ms))
			least = ms;
	}
	return least < 0 ? limit_ms : least;
}

/* Sorts options by the time to wait. */
static gint
compare_options(gconstpointer pa, gconstpointer pb)
{
	const option_t *a = pa, *b = pb;

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

/* Whether a worker is kept for some step in this round. */
static bool
is_kept(const sched_t *s, const worker_t *w)
{
	return w->kept_round == s->scan.round;
}

/* The workers on which a task of a step will fit in time, the soonest first. */
static GArray *
find_options(const sched_t *s, const step_t *st)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(option_t));
	int64_t limit_ms = time_to_limit_ms(s, st);

	for (guint i = 0; i < s->worker_list->len; i++) {
		option_t o = { .worker = g_ptr_array_index(s->worker_list, i) };

		/* Most full workers are ruled out here, at little cost. */
		if (o.worker->cpu_milli - o.worker->serving_cpu_milli <
			st->def->cpu_milli ||
		    is_kept(s, o.worker) ||
		    !quarantine_allows_start(s, o.worker, NULL) ||
		    !place_allowed(s, st, o.worker))
			continue;
		o.wait_ms = wait_ms(s, o.worker, st->def, limit_ms);
		if (o.wait_ms >= 0)
			g_array_append_val(all, o);
	}
	g_array_sort(all, compare_options);
	return all;
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
	options = find_options(s, st);
	n = MIN(options->len, MIN(room, (guint)st->nwaiting));
	for (guint i = 0; i < n; i++) {
		worker_t *w = g_array_index(options, option_t, i).worker;

		w->kept_round = s->scan.round;
		w->kept_for = st;
	}
	s->scan.kept_workers += n;
}

/*
 * Whether a lasting step has waited for long enough beside kept workers that have
 * room for more than one of its tasks.
 */
static bool
waited_long(const sched_t *s, const step_t *st)
{
	return st->def->lasting && st->kept_with_room >= 2 &&
	    s->now_ms - st->unplaced_since_ms >= HOLD_LASTING_MS;
}

/* Whether a task of a step may be started on a worker, as far as it is kept. */
bool
room_allows_start(const sched_t *s, const worker_t *w, const step_t *st)
{
	return st->def->filler || !is_kept(s, w) || w->kept_for == st ||
	    waited_long(s, st);
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
	if (is_kept(s, w) && w->kept_for != st && st->kept_with_room > 0)
		st->kept_with_room--;
}
