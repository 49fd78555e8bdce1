/*
 * Placement of gangs: workers for all tasks at the same time, in one rack if the step asks
 * for that.
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
#include "place_query.h"

/* A gang waits so long for one of the racks that could take it. */
#define SAME_RACK_WAIT_MS 1500

/*
 * Finds workers for all tasks of a gang; rack: if not NULL, only workers in it
 * are considered (interned name).  Counts each task at its worker while it
 * looks for the next.  Returns true and sets at[i]
 * for each task if all fit.
 */
static bool
place_gang_in_rack(sched_t *s, step_t *st, const char *rack, worker_t **at)
{
	place_query_t q = { .step = st,
		.workers = s->worker_list,
		.rack = rack,
		.gang = { at, 0 },
		.enough = G_MAXUINT };
	int32_t n = 0;

	while (n < st->ntasks) {
		q.task = &st->tasks[n];
		q.gang.n = n;
		at[n] = place_best_worker(s, &q);
		if (at[n] == NULL)
			break;
		cell_worker_count_task(at[n++], st, 1);
	}
	for (int32_t i = 0; i < n; i++)
		cell_worker_count_task(at[i], st, -1);
	if (n < st->ntasks)
		st->wait_reason = MAX(
		    st->wait_reason, n == 0 ? q.refusal : SCHED_WAIT_GANG_ROOM);
	return n == st->ntasks;
}

/* How many tasks of a step a worker could run if it ran nothing else. */
static int64_t
tasks_if_empty(const sched_t *s, const worker_t *w, const step_t *st)
{
	const Sched__Step *d = st->def;
	int64_t n = st->ntasks;

	if (!place_fits_empty(s, w, st))
		return 0;
	if (d->cpu_milli > 0 && !d->filler)
		n = MIN(n, w->cpu_milli / d->cpu_milli);
	if (d->mem_mb > 0)
		n = MIN(n, w->mem_mb / d->mem_mb);
	if (d->gpu > 0)
		n = MIN(n, w->gpu / d->gpu);
	return d->per_worker > 0 ? MIN(n, d->per_worker) : n;
}

/* Whether some rack could take a gang if nothing else ran there. */
static bool
fits_a_rack(const sched_t *s, const step_t *st)
{
	g_autoptr(GHashTable) tasks = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);
		gintptr n = (gintptr)g_hash_table_lookup(tasks, w->rack) +
		    tasks_if_empty(s, w, st);

		if (n >= st->ntasks)
			return true;
		g_hash_table_insert(tasks, (void *)w->rack, (void *)n);
	}
	return false;
}

/*
 * Whether the tasks of a gang need not run in one rack: the step does not ask for it,
 * no rack could take them, or none has for a while.  Tasks in several racks are slow,
 * those that wait for a rack make no progress at all.
 */
bool
place_gang_may_spread(const sched_t *s, const step_t *st)
{
	return !st->def->same_rack ||
	    s->now_ms - st->passed_over_since_ms >= SAME_RACK_WAIT_MS ||
	    !fits_a_rack(s, st);
}

/*
 * Finds workers for all tasks of a gang, in one rack if the step requires it and one
 * can be had.  Returns true and sets at[i] for each task if all fit at the same time.
 */
bool
place_gang(sched_t *s, step_t *st, worker_t **at)
{
	g_autoptr(GHashTable) racks = NULL;

	st->wait_reason = SCHED_WAIT_NO_WORKER;
	if (!st->def->same_rack)
		return place_gang_in_rack(s, st, NULL, at);
	racks = g_hash_table_new(g_direct_hash, g_direct_equal);
	if (st->def->near_rack[0] != '\0' &&
	    place_gang_in_rack(s, st, g_intern_string(st->def->near_rack), at))
		return true;
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (g_hash_table_add(racks, (void *)w->rack) &&
		    place_gang_in_rack(s, st, w->rack, at))
			return true;
	}
	return place_gang_may_spread(s, st) &&
	    place_gang_in_rack(s, st, NULL, at);
}
