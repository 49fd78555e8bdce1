/*
 * The workers of a cell, and the resources used on them.
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

/*
 * Returns the worker with this id; creates one without resources if there is
 * none.
 */
worker_t *
cell_worker_get(sched_t *s, const char *id)
{
	worker_t *w = g_hash_table_lookup(s->workers, id);

	if (w != NULL)
		return w;
	w = g_new0(worker_t, 1);
	w->id = g_intern_string(id);
	w->address = g_strdup("");
	w->service = w->zone = w->rack = g_intern_string("");
	w->labels = g_ptr_array_new();
	w->runs = g_hash_table_new(g_str_hash, g_str_equal);
	w->fillers_pace_pct = 100;
	w->former_reported_ms = NEVER_MS;
	lease_forget(w);
	w->footprint_row = (int32_t)(g_str_hash(w->id) % FOOTPRINT_ROWS);
	g_hash_table_insert(s->workers, (void *)w->id, w);
	g_ptr_array_add(s->worker_list, w);
	return w;
}

/* Frees a worker; for the table of workers. */
void
cell_worker_free(void *p)
{
	worker_t *w = p;

	g_free(w->address);
	g_ptr_array_unref(w->labels);
	g_hash_table_unref(w->runs);
	crash_forget_worker(w);
	held_up_forget(w);
	suspect_forget(w);
	g_free(w);
}

/*
 * Adds the resources of a task of the step to those used on a worker (sign 1),
 * or removes them (sign -1).
 */
void
cell_worker_count_task(worker_t *w, const step_t *st, int sign)
{
	const Sched__Step *d = st->def;

	isolation_count_task(w, st, sign);
	w->used_mem_mb += sign * d->mem_mb;
	w->used_gpu += sign * d->gpu;
	if (d->filler) {
		w->filler_cpu_milli += sign * d->cpu_milli;
		return;
	}
	w->used_cpu_milli += sign * d->cpu_milli;
	if (d->tail_target_ms > 0) {
		w->serving_cpu_milli += sign * d->cpu_milli;
		w->nserving += sign;
	}
}

/*
 * Whether the entry of a worker is that of another process than the one that is known:
 * its labels, service and amounts may not be those of that one.
 */
static bool
entry_is_of_other_process(const worker_t *w)
{
	return w->listed_started_ms != 0 && w->started_ms != 0 &&
	    w->listed_started_ms != w->started_ms;
}

/* Why no task may be started on a worker, its failures aside; SCHED_WAIT_NONE: one may. */
sched_wait_reason_t
cell_worker_refusal(const sched_t *s, const worker_t *w)
{
	if (!w->listed || w->draining || w->zone_evacuated)
		return SCHED_WAIT_LEAVING;
	if (w->missed_polls > 0 || w->silent)
		return SCHED_WAIT_SILENT;
	if (!w->footprint_stored || lease_end_is_stored(w) ||
	    !w->has_answered || lease_clock_is_old(s, w) ||
	    entry_is_of_other_process(w))
		return SCHED_WAIT_NEW_WORKER;
	if (w->nunknown > 0)
		return SCHED_WAIT_UNKNOWN_RUNS;
	return w->backoff_until_ms > s->now_ms ? SCHED_WAIT_SUSPECT :
						 SCHED_WAIT_NONE;
}

/*
 * Whether tasks may be started on a worker now, apart from its resources.  Those
 * are not known while it has a run of a job that is not known any more.
 */
bool
cell_worker_usable(const sched_t *s, const worker_t *w)
{
	return cell_worker_refusal(s, w) == SCHED_WAIT_NONE &&
	    suspect_allows_start(s, w);
}

/*
 * Forgets what was known of a worker's former process, as another one runs
 * there now.  That has none of the former runs, but it may have been sent
 * starts before we knew of it: only a poll shows what runs there.
 */
void
cell_worker_restarted(sched_t *s, worker_t *w, int64_t started_ms)
{
	crash_worker_restarted(s, w);
	held_up_worker_restarted(w);
	if (w->has_answered)
		w->former_reported_ms = w->reported_ms;
	w->started_ms = started_ms;
	w->ended_seq = w->ended_stored_seq = 0;
	lease_restarted(w);
	w->has_answered = w->footprint_stored = w->ended_cut = false;
	w->footprint_flush = w->ended_flush = 0;
	w->poll_id = 0;
	poll_soon(s, w);
	suspect_forget(w);
}
