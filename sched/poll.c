/*
 * Looks at workers: they tell what runs, extend leases and forget ends.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define LOOK_WAIT_MS  1000 /* a look waits so long for an end */
#define LOOK_RETRY_MS 300  /* after a look without an answer */
#define LOOK_STORE_MS 300  /* while ends cannot be stored */
#define SILENT_MISSES 2	   /* looks in a row before nothing is sent */

static void
look_missed(sched_t *s, vm_t *w)
{
	w->look_next_ms = s->now + LOOK_RETRY_MS;
	if (++w->misses != SILENT_MISSES)
		return;
	w->silent = true;
	LOG(s, SCHED_EVT_WORKER_SILENT, w->id,
	    "runs=%u heard_age=%" PRId64 " lease_left=%" PRId64,
	    g_hash_table_size(w->runs), s->now - w->lease.heard_ms,
	    w->lease.until_ms - vm_clock(w, s->now));
}

void
sched_poll_done(sched_t *s, uint64_t id, const char *worker,
    sched_order_result_t r, const sched_report_t *report, int64_t now_ms)
{
	vm_t *w = g_hash_table_lookup(s->workers, worker);

	s->now = now_ms;
	if (w == NULL || w->look_id != id || s->cell.state != CELL_OWNED)
		return;
	w->look_id = 0;
	w->look_next_ms = now_ms;
	if (r == SCHED_ORDER_FENCED) {
		cell_lost(s, "a worker has seen a newer token");
		return;
	}
	/* An answer of an earlier process, after the list told of a newer. */
	if (report != NULL && report->born_ms != 0 &&
	    report->born_ms < w->born_ms)
		report = NULL;
	if (report == NULL) {
		look_missed(s, w);
		return;
	}
	run_report(s, w, report, w->look_ms);
	noise_report(s, w);
	health_report(s, w);
	run_retry(s, w);
	flush_worker(s, w);
	flush_due(s);
}

static void
look(sched_t *s, vm_t *w)
{
	sched_poll_t l = { .worker = w->id,
		.address = w->address,
		.token = s->cell.token,
		.ended_ack_seq = w->noted };

	/*
	 * What did not answer may be another process by now, whose ends have
	 * numbers of their own: none of them is to be forgotten.
	 */
	if (w->misses > 0)
		l.ended_ack_seq = 0;
	/* What does not answer is not extended, so that its lease can lapse. */
	if (cell_extends(s) && w->misses == 0)
		l.deadline_ms = vm_deadline(s, w);
	if (w->answered && w->seen == w->noted && w->lease.heard_ms != 0 &&
	    !w->look_now)
		l.wait_ms = LOOK_WAIT_MS;
	w->look_now = false;
	w->look_id = l.id = ++s->next_id;
	w->look_ms = s->now;
	s->stats.polls++;
	s->o.port.poll(s->o.ctx, &l);
}

/* What is due at one worker. */
void
look_tick(sched_t *s, vm_t *w)
{
	if (g_hash_table_size(w->runs) > 0 && w->misses > 0 && vm_lapsed(s, w))
		run_worker_lost(s, w, "its lease has lapsed");
	if (w->look_id != 0 || w->address[0] == '\0' ||
	    s->now < w->look_next_ms)
		return;
	if (!w->listed && g_hash_table_size(w->runs) == 0 &&
	    (w->answered || !w->stored))
		return;
	/* Ends are being stored: the next look waits for that, for a while. */
	if (w->flush_want != 0 && s->now - w->look_ms < LOOK_STORE_MS)
		return;
	look(s, w);
}
