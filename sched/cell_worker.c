/*
 * Workers: room, clocks and leases.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

/*
 * A lease must outlast the time until a successor has taken over (silence of
 * 1.2 s, a claim, a load and a look), and ends the wait for a dead worker.
 */
#define LEASE_MS	4000
#define LEASE_SPARE_MS	100  /* between our lease and the longest granted */
#define DRIFT_PCT	2    /* a worker's clock may be so slow: platform */
#define BACKWARD_MS	1500 /* no answer is overtaken by so much */
#define LAPSE_MARGIN_MS 200  /* for a lease that ends while an order arrives */

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
	g_hash_table_insert(s->workers, (void *)w->id, w);
	g_ptr_array_add(s->worker_list, w);
	return w;
}

void
cell_worker_free(void *p)
{
	worker_t *w = p;

	g_free(w->address);
	g_ptr_array_unref(w->labels);
	g_hash_table_unref(w->runs);
	g_free(w);
}

/* Counts a task of a step into the worker's room, or out of it. */
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

/* True when new tasks may be sent there. */
bool
cell_worker_usable(const sched_t *s, const worker_t *w)
{
	return w->listed && !w->draining && w->footprint_stored &&
	    w->lease_end_store_ms == 0 && w->has_answered &&
	    w->missed_polls == 0 && !w->silent &&
	    w->backoff_until_ms <= s->now_ms &&
	    !g_hash_table_contains(s->evacuated_zones, w->zone);
}

/* The worker's clock now, at least. */
int64_t
cell_worker_min_clock(const worker_t *w, int64_t now_ms)
{
	return w->lease.worker_clock_ms +
	    (now_ms - w->lease.answered_ms) * (100 - DRIFT_PCT) / 100;
}

/* A deadline to send: the lease from now on, by the worker's clock. */
int64_t
cell_worker_extend_lease(sched_t *s, worker_t *w)
{
	int64_t ms = MIN(LEASE_MS, s->opts.max_lease_ms - LEASE_SPARE_MS);

	w->lease.deadline_sent_ms = s->now_ms;
	if (w->lease.answered_ms == 0)
		return 0;
	ms += w->lease.worker_clock_ms + (s->now_ms - w->lease.answered_ms);
	w->lease.deadline_ms = MAX(w->lease.deadline_ms, ms);
	return w->lease.deadline_ms;
}

/* When the longest lease ends that a worker may have granted; our clock. */
static int64_t
longest_lease(const sched_t *s, const worker_t *w)
{
	if (w->lease.deadline_sent_ms == 0)
		return 0;
	return w->lease.deadline_sent_ms +
	    (int64_t)s->opts.max_lease_ms * (100 + DRIFT_PCT) / 100 +
	    LAPSE_MARGIN_MS;
}

/* True when nothing that we ordered can be running there any more. */
bool
cell_worker_lease_lapsed(const sched_t *s, const worker_t *w)
{
	if (s->now_ms <= w->lease.no_lapse_before_ms)
		return false;
	/* A clock not known: no lease is longer than the worker grants. */
	if (w->lease.answered_ms == 0)
		return s->now_ms > longest_lease(s, w);
	return cell_worker_min_clock(w, s->now_ms) >
	    w->lease.deadline_ms + LAPSE_MARGIN_MS;
}

void
cell_worker_clock_read(sched_t *s, worker_t *w, int64_t clock_ms)
{
	int64_t now_ms = s->now_ms;

	if (w->lease.answered_ms != 0 &&
	    clock_ms + BACKWARD_MS < cell_worker_min_clock(w, now_ms)) {
		LOG_EVENT(s, SCHED_EVT_WORKER, w->id,
		    "clock is another: %" PRId64 " after %" PRId64, clock_ms,
		    cell_worker_min_clock(w, now_ms));
		cell_worker_restarted(s, w, w->born_ms);
	}
	/* An answer that overtook another must not turn the clock back. */
	if (w->lease.answered_ms != 0 &&
	    clock_ms < cell_worker_min_clock(w, now_ms))
		return;
	w->lease.worker_clock_ms = clock_ms;
	w->lease.answered_ms = now_ms;
}

/* When the lease last sent has ended for sure; our clock. */
int64_t
cell_worker_lease_end(const worker_t *w)
{
	return w->lease.deadline_sent_ms + LEASE_MS * (100 + DRIFT_PCT) / 100 +
	    LAPSE_MARGIN_MS;
}

/* Nothing there is taken for lapsed before its longest lease has ended. */
void
cell_worker_assume_longest_lease(const sched_t *s, worker_t *w)
{
	w->lease.no_lapse_before_ms =
	    MAX(w->lease.no_lapse_before_ms, longest_lease(s, w));
}

/*
 * Another process is there.  It holds nothing of the last, but may have been
 * sent starts before we knew of it: only a look at it tells what runs.
 */
void
cell_worker_restarted(sched_t *s, worker_t *w, int64_t born_ms)
{
	w->born_ms = born_ms;
	w->ended_seq = w->ended_stored_seq = 0;
	w->ended_flush = 0;
	/* Deadlines by another clock: the worker cuts them to its longest. */
	cell_worker_assume_longest_lease(s, w);
	w->lease.answered_ms = 0;
	w->lease.deadline_ms = 0;
	w->has_answered = w->footprint_stored = false;
	w->footprint_flush = 0;
	w->lease_end_store_ms = 0;
	w->poll_id = 0;
	w->next_poll_ms = s->now_ms;
}
