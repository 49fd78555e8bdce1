/*
 * The workers of a cell: the resources used on them, their clocks and leases.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
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

/*
 * A lease must outlast a takeover by a successor (1.2 s of silence, a claim, a
 * load and a poll), so that runs survive it.  The tasks of a failed worker
 * are started elsewhere only after its lease has ended.
 */
#define LEASE_MS	4000
#define LEASE_MARGIN_MS 100 /* below the longest that a worker accepts */
#define CLOCK_DRIFT_PCT 2   /* the platform's bound for workers' clocks */
/* A clock that was read longer ago is not known; by then it has drifted by less
 * than EXPIRY_MARGIN_MS allows for. */
#define CLOCK_VALID_MS 4000
/* A clock further back is that of another process, not of a late answer. */
#define CLOCK_BACKWARD_MS 1500
#define EXPIRY_MARGIN_MS  200 /* for an order that arrives as the lease ends */

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

/* Why no task may be started on a worker; SCHED_WAIT_NONE: one may. */
sched_wait_reason_t
cell_worker_refusal(const sched_t *s, const worker_t *w)
{
	if (!w->listed || w->draining || w->zone_evacuated)
		return SCHED_WAIT_LEAVING;
	if (w->missed_polls > 0 || w->silent)
		return SCHED_WAIT_SILENT;
	if (!w->footprint_stored || w->lease_end_store_ms != 0 ||
	    !w->has_answered)
		return SCHED_WAIT_NEW_WORKER;
	if (w->nunknown > 0)
		return SCHED_WAIT_UNKNOWN_RUNS;
	if (w->backoff_until_ms > s->now_ms || !suspect_allows_start(s, w))
		return SCHED_WAIT_SUSPECT;
	return SCHED_WAIT_NONE;
}

/*
 * Whether tasks may be started on a worker now, apart from its resources.  Those
 * are not known while it has a run of a job that is not known any more.
 */
bool
cell_worker_usable(const sched_t *s, const worker_t *w)
{
	return cell_worker_refusal(s, w) == SCHED_WAIT_NONE;
}

/*
 * Lowest value that the worker's clock can have now, given its drift.  Without
 * meaning while the clock is not known (lease.answered_ms is 0).
 */
int64_t
cell_worker_min_clock(const worker_t *w, int64_t now_ms)
{
	return w->lease.worker_clock_ms +
	    (now_ms - w->lease.answered_ms) * (100 - CLOCK_DRIFT_PCT) / 100;
}

/* Whether a worker's clock was read so lately that deadlines can be told by it. */
bool
cell_worker_clock_known(const sched_t *s, const worker_t *w)
{
	return w->lease.answered_ms != 0 &&
	    s->now_ms - w->lease.answered_ms <= CLOCK_VALID_MS;
}

/*
 * Returns the deadline to send with a poll or start: the end of a lease that
 * begins now, by the worker's clock; 0 while that clock is not known.  Records
 * it as sent.
 */
int64_t
cell_worker_extend_lease(sched_t *s, worker_t *w)
{
	int64_t ms = MIN(LEASE_MS, s->opts.max_lease_ms - LEASE_MARGIN_MS);

	w->lease.deadline_sent_ms = s->now_ms;
	if (!cell_worker_clock_known(s, w))
		return 0;
	ms += w->lease.worker_clock_ms + (s->now_ms - w->lease.answered_ms);
	w->lease.deadline_ms = MAX(w->lease.deadline_ms, ms);
	return w->lease.deadline_ms;
}

/* How long a worker's longest lease lasts at most, by our clock. */
static int64_t
longest_lease_ms(const sched_t *s)
{
	return (int64_t)s->opts.max_lease_ms * (100 + CLOCK_DRIFT_PCT) / 100 +
	    EXPIRY_MARGIN_MS;
}

/*
 * Whether no run that this cell's owners have ordered can exist on a worker any
 * more, as its lease has ended.
 */
bool
cell_worker_lease_expired(const sched_t *s, const worker_t *w)
{
	if (s->now_ms <= w->lease.no_expiry_before_ms)
		return false;
	/* Without its clock: no lease is longer than the worker accepts. */
	if (w->lease.answered_ms == 0)
		return w->lease.deadline_sent_ms == 0 ||
		    s->now_ms > w->lease.deadline_sent_ms + longest_lease_ms(s);
	return cell_worker_min_clock(w, s->now_ms) >
	    w->lease.deadline_ms + EXPIRY_MARGIN_MS;
}

/*
 * Whether a report's clock is so far behind the value expected that another
 * process sent it.  For one that does not say when its process started; it must
 * not have been read late.
 */
bool
cell_worker_clock_went_back(
    const sched_t *s, const worker_t *w, int64_t clock_ms)
{
	return w->lease.answered_ms != 0 &&
	    clock_ms + CLOCK_BACKWARD_MS < cell_worker_min_clock(w, s->now_ms);
}

/*
 * Sets the worker's clock from an answer.  That must not turn it back: of an answer
 * that was overtaken, read late or longer on its way, the clock is behind the lowest
 * value that it can have by now, which is taken instead.
 */
void
cell_worker_clock_read(sched_t *s, worker_t *w, int64_t clock_ms)
{
	if (w->lease.answered_ms != 0)
		clock_ms = MAX(clock_ms, cell_worker_min_clock(w, s->now_ms));
	w->lease.worker_clock_ms = clock_ms;
	w->lease.answered_ms = s->now_ms;
}

/*
 * When all leases of a worker have ended for certain, by our clock.  Only for one
 * whose clock was known when a deadline was last sent, at most LEASE_MS ahead.
 */
int64_t
cell_worker_lease_end(const worker_t *w)
{
	int64_t ms = w->lease.deadline_sent_ms +
	    LEASE_MS * (100 + CLOCK_DRIFT_PCT) / 100 + EXPIRY_MARGIN_MS;

	return MAX(ms, w->lease.no_expiry_before_ms);
}

/*
 * Lets no lease on a worker expire before the longest one that it can have
 * granted until now.  For the first answer of a process to an owner: what earlier
 * owners sent is not known, or was meant for another process with another clock.
 */
void
cell_worker_assume_longest_lease(const sched_t *s, worker_t *w)
{
	w->lease.no_expiry_before_ms = s->now_ms + longest_lease_ms(s);
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
	w->started_ms = started_ms;
	w->ended_seq = w->ended_stored_seq = 0;
	w->ended_flush = 0;
	w->lease.answered_ms = 0;
	w->lease.deadline_ms = 0;
	w->has_answered = w->footprint_stored = w->ended_cut = false;
	w->footprint_flush = 0;
	w->lease_end_store_ms = 0;
	w->poll_id = 0;
	poll_soon(s, w);
	suspect_forget(w);
}
