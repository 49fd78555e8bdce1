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
look_missed(sched_t *s, worker_t *w)
{
	w->next_poll_ms = s->now_ms + LOOK_RETRY_MS;
	if (++w->missed_polls != SILENT_MISSES)
		return;
	w->silent = true;
	LOG_EVENT(s, SCHED_EVT_WORKER_SILENT, w->id,
	    "runs=%u heard_age=%" PRId64 " lease_left=%" PRId64,
	    g_hash_table_size(w->runs), s->now_ms - w->lease.answered_ms,
	    w->lease.deadline_ms - cell_worker_min_clock(w, s->now_ms));
}

void
sched_poll_done(sched_t *s, uint64_t id, const char *worker,
    sched_order_result_t r, const sched_report_t *report, int64_t now_ms)
{
	worker_t *w = g_hash_table_lookup(s->workers, worker);

	s->now_ms = now_ms;
	if (w == NULL || w->poll_id != id || s->cell.state != CELL_OWNED)
		return;
	w->poll_id = 0;
	w->next_poll_ms = now_ms;
	if (r == SCHED_ORDER_FENCED) {
		ownership_lost(s, "a worker has seen a newer token");
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
	report_apply(s, w, report, w->poll_sent_ms);
	isolation_report(s, w);
	straggler_report(s, w);
	run_resend_orders(s, w);
	flush_ended_runs(s, w);
	flush_if_due(s);
}

static void
look(sched_t *s, worker_t *w)
{
	sched_poll_t l = { .worker = w->id,
		.address = w->address,
		.token = s->cell.token,
		.ended_ack_seq = w->ended_stored_seq };

	/*
	 * What did not answer may be another process by now, whose ends have
	 * numbers of their own: none of them is to be forgotten.
	 */
	if (w->missed_polls > 0)
		l.ended_ack_seq = 0;
	/* What does not answer is not extended, so that its lease can lapse. */
	if (ownership_may_extend_leases(s) && w->missed_polls == 0)
		l.deadline_ms = cell_worker_extend_lease(s, w);
	if (w->has_answered && w->ended_seq == w->ended_stored_seq &&
	    w->lease.answered_ms != 0 && !w->poll_without_wait)
		l.wait_ms = LOOK_WAIT_MS;
	w->poll_without_wait = false;
	w->poll_id = l.id = ++s->last_id;
	w->poll_sent_ms = s->now_ms;
	s->stats.polls++;
	s->opts.port.poll(s->opts.ctx, &l);
}

/* What is due at one worker. */
void
poll_tick(sched_t *s, worker_t *w)
{
	if (g_hash_table_size(w->runs) > 0 && w->missed_polls > 0 &&
	    cell_worker_lease_lapsed(s, w))
		run_worker_lost(s, w, "its lease has lapsed");
	if (w->poll_id != 0 || w->address[0] == '\0' ||
	    s->now_ms < w->next_poll_ms)
		return;
	if (!w->listed && g_hash_table_size(w->runs) == 0 &&
	    (w->has_answered || !w->footprint_stored))
		return;
	/* Ends are being stored: the next look waits for that, for a while. */
	if (w->ended_flush != 0 && s->now_ms - w->poll_sent_ms < LOOK_STORE_MS)
		return;
	look(s, w);
}
