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

vm_t *
vm_get(sched_t *s, const char *id)
{
	vm_t *w = g_hash_table_lookup(s->workers, id);

	if (w != NULL)
		return w;
	w = g_new0(vm_t, 1);
	w->id = g_intern_string(id);
	w->address = g_strdup("");
	w->service = w->zone = w->rack = g_intern_string("");
	w->labels = g_ptr_array_new();
	w->runs = g_hash_table_new(g_str_hash, g_str_equal);
	w->pace = 100;
	g_hash_table_insert(s->workers, (void *)w->id, w);
	g_ptr_array_add(s->worker_list, w);
	return w;
}

void
vm_free(void *p)
{
	vm_t *w = p;

	g_free(w->address);
	g_ptr_array_unref(w->labels);
	g_hash_table_unref(w->runs);
	g_free(w);
}

/* Counts a task of a step into the worker's room, or out of it. */
void
vm_take(vm_t *w, const step_t *st, int sign)
{
	const Sched__Step *d = st->def;

	noise_take(w, st, sign);
	w->used_mem += sign * d->mem_mb;
	w->used_gpu += sign * d->gpu;
	if (d->filler) {
		w->filler_cpu += sign * d->cpu_milli;
		return;
	}
	w->used_cpu += sign * d->cpu_milli;
	if (d->tail_target_ms > 0) {
		w->serving_cpu += sign * d->cpu_milli;
		w->serving += sign;
	}
}

/* True when new tasks may be sent there. */
bool
vm_usable(const sched_t *s, const vm_t *w)
{
	return w->listed && !w->draining && w->stored && w->ends_ms == 0 &&
	    w->answered && w->misses == 0 && !w->silent &&
	    w->hold_off_ms <= s->now &&
	    !g_hash_table_contains(s->zones, w->zone);
}

/* The worker's clock now, at least. */
int64_t
vm_clock(const vm_t *w, int64_t now_ms)
{
	return w->lease.clock_ms +
	    (now_ms - w->lease.heard_ms) * (100 - DRIFT_PCT) / 100;
}

/* A deadline to send: the lease from now on, by the worker's clock. */
int64_t
vm_deadline(sched_t *s, vm_t *w)
{
	int64_t ms = MIN(LEASE_MS, s->o.max_lease_ms - LEASE_SPARE_MS);

	w->lease.sent_ms = s->now;
	if (w->lease.heard_ms == 0)
		return 0;
	ms += w->lease.clock_ms + (s->now - w->lease.heard_ms);
	w->lease.until_ms = MAX(w->lease.until_ms, ms);
	return w->lease.until_ms;
}

/* When the longest lease ends that a worker may have granted; our clock. */
static int64_t
longest_lease(const sched_t *s, const vm_t *w)
{
	if (w->lease.sent_ms == 0)
		return 0;
	return w->lease.sent_ms +
	    (int64_t)s->o.max_lease_ms * (100 + DRIFT_PCT) / 100 +
	    LAPSE_MARGIN_MS;
}

/* True when nothing that we ordered can be running there any more. */
bool
vm_lapsed(const sched_t *s, const vm_t *w)
{
	if (s->now <= w->lease.hard_ms)
		return false;
	/* A clock not known: no lease is longer than the worker grants. */
	if (w->lease.heard_ms == 0)
		return s->now > longest_lease(s, w);
	return vm_clock(w, s->now) > w->lease.until_ms + LAPSE_MARGIN_MS;
}

void
vm_heard(sched_t *s, vm_t *w, int64_t clock_ms)
{
	int64_t now_ms = s->now;

	if (w->lease.heard_ms != 0 &&
	    clock_ms + BACKWARD_MS < vm_clock(w, now_ms)) {
		LOG(s, SCHED_EVT_WORKER, w->id,
		    "clock is another: %" PRId64 " after %" PRId64, clock_ms,
		    vm_clock(w, now_ms));
		vm_reborn(s, w, w->born_ms);
	}
	/* An answer that overtook another must not turn the clock back. */
	if (w->lease.heard_ms != 0 && clock_ms < vm_clock(w, now_ms))
		return;
	w->lease.clock_ms = clock_ms;
	w->lease.heard_ms = now_ms;
}

/* When the lease last sent has ended for sure; our clock. */
int64_t
vm_lease_end(const vm_t *w)
{
	return w->lease.sent_ms + LEASE_MS * (100 + DRIFT_PCT) / 100 +
	    LAPSE_MARGIN_MS;
}

/* Nothing there is taken for lapsed before its longest lease has ended. */
void
vm_lease_unknown(const sched_t *s, vm_t *w)
{
	w->lease.hard_ms = MAX(w->lease.hard_ms, longest_lease(s, w));
}

/*
 * Another process is there.  It holds nothing of the last, but may have been
 * sent starts before we knew of it: only a look at it tells what runs.
 */
void
vm_reborn(sched_t *s, vm_t *w, int64_t born_ms)
{
	w->born_ms = born_ms;
	w->seen = w->noted = 0;
	w->flush_want = 0;
	/* Deadlines by another clock: the worker cuts them to its longest. */
	vm_lease_unknown(s, w);
	w->lease.heard_ms = 0;
	w->lease.until_ms = 0;
	w->answered = w->stored = false;
	w->store_flush = 0;
	w->ends_ms = 0;
	w->look_id = 0;
	w->look_next_ms = s->now;
}
