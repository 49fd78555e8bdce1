/*
 * Reservations for the work that has been passed over longest.
 *
 * Pattern: a task needs much of something: processors, memory, its customer's quota,
 * several workers at once.  Smaller tasks take each part of it as it gets free, so
 * that the large one, wherever it is in the queue, waits for as long as they come.
 *
 * This is backfill with a reservation, as batch schedulers have it: the step that
 * has been passed over longest gets all that it needs reserved, on the workers
 * where running work is expected to free it soonest.  Other tasks start there only if
 * what they need is left over once the work that ran there before has ended, beside
 * what takes long or came later; so each of these waits is bounded by the length of
 * the running work.  For a lasting step only the end of the runs counts that are
 * expected to end first.  The same holds for the quota of the step's customer.
 *
 * Reservations are made anew in each round, the longest wait first, and those of
 * the last round stay on their workers.  Lasting tasks go first, as they serve
 * nobody while they are down.  Fillers that wait for headroom are not among them;
 * starvation.c has turns for these.
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

/* A step that has waited for so long has been passed over. */
#define PASSED_OVER_MS 10000
/* A lasting one: callers see it down for this and the time to notice that. */
#define LASTING_PASSED_OVER_MS 3500
/* One that its quota holds and that still counts: runs that end soon free it. */
#define HELD_PASSED_OVER_MS 2000
/* At most one reservation for so many workers, and so many in all. */
#define WORKERS_PER_RESERVATION 64
#define RESERVATIONS_MAX	8
/* Steps that are tried in a round, fewer where there are many workers, as each looks
 * at all of them. */
#define TRIES_MAX 16
#define LOOKS_MAX 3000
/* A step for which none will have the room is tried again after this time, which is
 * doubled each time, but for lasting ones. */
#define RETRY_MS     1000
#define RETRY_MAX_MS 32000
/* Work that takes longer is not waited for. */
#define LONGEST_RUN_MS 60000
/* A reservation that has not led to a start goes to another worker, if there is one,
 * as a run may never end; and the next ones do for a while. */
#define REPLAN_MS 10000
#define AVOID_MS  60000

/* Whether a step is a lasting gang that is down: no worker is nominated for that. */
static bool
is_gang_down(const step_t *st)
{
	return st->def->gang && st->ndown > 0;
}

/* The wait after which a step counts as passed over. */
static int64_t
limit_ms(const step_t *st)
{
	if (is_gang_down(st))
		return 0;
	if (st->quota_held && !st->past_late_limit)
		return HELD_PASSED_OVER_MS;
	return st->def->lasting ? LASTING_PASSED_OVER_MS : PASSED_OVER_MS;
}

/* Whether a step has a task that would start if there were room for it. */
static bool
has_task_to_start(const sched_t *s, const step_t *st)
{
	if (st->def->gang)
		return st->nwaiting == st->ntasks;
	for (int32_t i = 0; i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];

		if (t->state == TASK_WAITING && t->not_before_ms <= s->now_ms &&
		    !downtime_is_down(t) && !crash_is_suspect(t))
			return true;
	}
	return false;
}

/* Whether a step waited for what can be reserved when it was last offered. */
static bool
waits_for_room(const step_t *st)
{
	return st->quota_held || wait_reason_is_room(st->wait_reason) ||
	    st->wait_reason == SCHED_WAIT_APPROVAL;
}

/* Whether a queued step has been passed over for long. */
static bool
is_passed_over(const sched_t *s, const step_t *st)
{
	return s->now_ms - st->passed_over_since_ms >= limit_ms(st) &&
	    s->now_ms >= st->reserve_after_ms &&
	    (!st->def->filler || st->quota_held ||
		starvation_is_starved(s, st)) &&
	    waits_for_room(st) && has_task_to_start(s, st);
}

/* Sorts lasting steps first, then by when their last task started. */
static gint
compare_waits(gconstpointer pa, gconstpointer pb)
{
	const step_t *a = *(step_t *const *)pa, *b = *(step_t *const *)pb;

	if (a->def->lasting != b->def->lasting)
		return a->def->lasting ? -1 : 1;
	if (a->passed_over_since_ms != b->passed_over_since_ms)
		return a->passed_over_since_ms < b->passed_over_since_ms ? -1 :
									   1;
	return queue_compare_identity(a, b);
}

/* The steps that have been passed over, the longest wait first. */
static GPtrArray *
find_passed_over(const sched_t *s)
{
	GPtrArray *all = g_ptr_array_new();

	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		if (is_passed_over(s, g_sequence_get(i)))
			g_ptr_array_add(all, g_sequence_get(i));
	g_ptr_array_sort(all, compare_waits);
	return all;
}

/* Reserves room for tasks of a step on a worker. */
static void
reserve_on(sched_t *s, step_t *st, const room_option_t *o, int32_t tasks)
{
	worker_t *w = o->worker;
	reservation_t *v = &w->reservation;
	bool goes_on = w->kept_for == st && v->round + 1 == s->scan.round;

	if (!goes_on) {
		v->since_ms = s->now_ms;
		LOG_EVENT(s, SCHED_EVT_RESERVATION, st->occ->job->id,
		    "worker=%s step=%d tasks=%d expected_in=%" PRId64
		    " waited=%" PRId64 " reason=%s cpu=%" PRId64
		    " mem_mb=%" PRId64 " gpu=%d filler=%d lasting=%d",
		    w->id, st->number, tasks, o->wait_ms,
		    s->now_ms - st->passed_over_since_ms,
		    sched_wait_reason_name(st->wait_reason), st->def->cpu_milli,
		    st->def->mem_mb, st->def->gpu, st->def->filler,
		    st->def->lasting);
	}
	v->round = s->scan.round;
	/* Callers of lasting tasks have less time. */
	v->until_ms =
	    s->now_ms + (st->def->lasting ? o->wait_ms : LONGEST_RUN_MS);
	v->filler = st->def->filler;
	v->cpu_milli = tasks * st->def->cpu_milli;
	v->mem_mb = tasks * st->def->mem_mb;
	v->gpu = tasks * st->def->gpu;
	room_mark_kept(s, w, st);
}

/* Leaves the reservation of the last round where it is; false: there is none. */
static bool
reserve_same(sched_t *s, step_t *st)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		reservation_t *v = &w->reservation;
		room_option_t o;

		if (w->kept_for != st || v->round + 1 != s->scan.round)
			continue;
		if (s->now_ms - v->since_ms >= REPLAN_MS)
			v->avoid_until_ms = s->now_ms + AVOID_MS;
		if (v->avoid_until_ms > s->now_ms ||
		    !room_find_option(s, st, w, LONGEST_RUN_MS, true, &o))
			continue;
		reserve_on(s, st, &o, 1);
		return true;
	}
	return false;
}

/*
 * Reserves the workers, of one rack or of any, on which all tasks of a gang will fit
 * soonest; false: there are not enough.
 */
static bool
reserve_gang_in(sched_t *s, step_t *st, const GArray *options, bool one_rack)
{
	g_autoptr(GHashTable) fits = g_hash_table_new(NULL, NULL);
	const char *rack = NULL;
	int32_t left = st->ntasks;
	guint last = 0, n = 0;

	for (; last < options->len && n < (guint)st->ntasks; last++) {
		const room_option_t *o =
		    &g_array_index(options, room_option_t, last);

		rack = one_rack ? o->worker->rack : NULL;
		n = GPOINTER_TO_UINT(g_hash_table_lookup(fits, rack)) +
		    (guint)o->tasks;
		g_hash_table_insert(fits, (void *)rack, GUINT_TO_POINTER(n));
	}
	if (n < (guint)st->ntasks)
		return false;
	for (guint i = 0; i < last && left > 0; i++) {
		const room_option_t *o =
		    &g_array_index(options, room_option_t, i);

		if (rack != NULL && o->worker->rack != rack)
			continue;
		reserve_on(s, st, o, MIN(left, o->tasks));
		left -= o->tasks;
	}
	return true;
}

/* Reserves workers for all tasks of a gang, if possible in the rack that it needs. */
static bool
reserve_gang(sched_t *s, step_t *st, const GArray *options)
{
	return (st->def->same_rack && reserve_gang_in(s, st, options, true)) ||
	    (place_gang_may_spread(s, st) &&
		reserve_gang_in(s, st, options, false));
}

/* The first option whose worker need not be avoided, or else the first. */
static const room_option_t *
soonest(const sched_t *s, const GArray *options)
{
	for (guint i = 0; i < options->len; i++) {
		const room_option_t *o =
		    &g_array_index(options, room_option_t, i);

		if (o->worker->reservation.avoid_until_ms <= s->now_ms)
			return o;
	}
	return &g_array_index(options, room_option_t, 0);
}

/* Reserves workers for the next task of a step, or for all of a gang. */
static bool
reserve_workers(sched_t *s, step_t *st)
{
	g_autoptr(GArray) options = NULL;

	if (!st->def->gang && reserve_same(s, st))
		return true;
	options = room_find_options(s, st, LONGEST_RUN_MS, true);
	if (st->def->gang)
		return reserve_gang(s, st, options);
	if (options->len == 0)
		return false;
	reserve_on(s, st, soonest(s, options), 1);
	return true;
}

/* Reserves what a step waits for; false: that can't help it. */
static bool
reserve(sched_t *s, step_t *st)
{
	bool reserved =
	    st->quota_held ? place_has_worker(s, st) : reserve_workers(s, st);

	if (!reserved) {
		st->reserve_retry_ms = st->def->lasting ?
		    RETRY_MS :
		    CLAMP(2 * st->reserve_retry_ms, RETRY_MS, RETRY_MAX_MS);
		st->reserve_after_ms = s->now_ms + st->reserve_retry_ms;
		return false;
	}
	customer_reserve(s, st);
	st->reserve_retry_ms = 0;
	st->reserved_round = s->scan.round;
	return true;
}

/*
 * Makes the reservations of a round: one at each customer's quota, and of room on
 * workers as many as there may be.
 */
void
reservation_begin_round(sched_t *s)
{
	g_autoptr(GPtrArray) all = find_passed_over(s);
	guint most = CLAMP(
	    s->worker_list->len / WORKERS_PER_RESERVATION, 1, RESERVATIONS_MAX);
	guint most_tries =
	    CLAMP(LOOKS_MAX / MAX(1, s->worker_list->len), 1, TRIES_MAX);
	guint n = 0, tries = 0, in_vain = 0;

	for (guint i = 0; i < all->len; i++) {
		step_t *st = g_ptr_array_index(all, i);

		if (!st->quota_held && (n < most || is_gang_down(st)) &&
		    tries++ < most_tries)
			n += reserve(s, st);
		else if (st->quota_held && in_vain < most_tries &&
		    customer_may_reserve(s, st))
			in_vain += !reserve(s, st);
	}
}

/* Whether something is reserved for a step in this round. */
bool
reservation_has(const sched_t *s, const step_t *st)
{
	return st->reserved_round == s->scan.round;
}

/* Whether a reservation waits for the end of a run. */
static bool
waits_for(const sched_t *s, const reservation_t *v, const run_t *r)
{
	return room_ends_soon(r, true) && r->ordered_ms <= v->since_ms &&
	    s->now_ms + room_time_left_ms(s, r) <= v->until_ms;
}

/* Whether room on a worker is reserved in this round. */
bool
reservation_on(const sched_t *s, const worker_t *w)
{
	return w->reservation.round == s->scan.round;
}

/*
 * Whether what is reserved on a worker will fit beside a task of another step, once
 * the runs that are waited for have ended.
 */
bool
reservation_leaves_room(const sched_t *s, const worker_t *w, const step_t *st)
{
	const reservation_t *v = &w->reservation;
	const Sched__Step *d = st->def;
	int64_t cpu_milli = w->cpu_milli - v->cpu_milli;
	int64_t mem_mb = w->mem_mb - v->mem_mb - d->mem_mb;
	int32_t gpu = w->gpu - v->gpu - d->gpu;
	GHashTableIter it;
	void *p;

	if (v->filler)
		cpu_milli += (starvation_cpu_times(s) - 1) * w->cpu_milli;
	if (d->filler == v->filler)
		cpu_milli -= d->cpu_milli;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const run_t *r = p;
		const Sched__Step *rd;

		if (!r->holds_resources || waits_for(s, v, r))
			continue;
		rd = r->task->step->def;
		if (rd->filler == v->filler)
			cpu_milli -= rd->cpu_milli;
		mem_mb -= rd->mem_mb;
		gpu -= rd->gpu;
	}
	return cpu_milli >= 0 && mem_mb >= 0 && gpu >= 0;
}
