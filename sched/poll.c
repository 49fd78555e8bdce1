/*
 * Polls of workers.  A poll asks for a report of the runs on a worker, extends
 * its lease, and acknowledges the ended runs whose results are stored.
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

#define POLL_WAIT_MS  1000 /* the worker holds a poll until a run ends */
#define POLL_RETRY_MS 300  /* after a poll without an answer */
#define OFTEN_MS      100  /* of a worker that is reserved or in quarantine */
/* Longest delay of a poll while ended runs are being stored. */
#define STORE_WAIT_MS 300
#define WALK_MS	      50 /* between two looks at all workers */
#define SILENT_POLLS  2	 /* unanswered in a row: the worker is silent */

/* Makes the next poll of a worker due now. */
void
poll_soon(sched_t *s, worker_t *w)
{
	w->next_poll_ms = s->now_ms;
	if (w->poll_soon)
		return;
	w->poll_soon = true;
	g_ptr_array_add(s->polls_soon, w);
}

/*
 * Gives up the poll in flight, if any, and makes the next one due now.  Whether
 * the worker has restarted meanwhile is not known then.
 */
void
poll_abandon(sched_t *s, worker_t *w)
{
	w->poll_unanswered = w->poll_unanswered || w->poll_id != 0;
	w->poll_id = 0;
	poll_soon(s, w);
}

/* Counts a poll without an answer; several in a row make the worker silent. */
static void
on_poll_missed(sched_t *s, worker_t *w)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (GList *i = all; i != NULL; i = i->next)
		run_stop_in_doubt(s, i->data);
	/* The first may have lost its answer only. */
	if (w->missed_polls > 0)
		w->next_poll_ms = s->now_ms + POLL_RETRY_MS;
	else
		handover_worker_missed(s, w);
	if (++w->missed_polls != SILENT_POLLS)
		return;
	w->silent = true;
	LOG_EVENT(s, SCHED_EVT_WORKER_SILENT, w->id,
	    "runs=%u answer_age=%" PRId64 " lease_left=%" PRId64,
	    g_hash_table_size(w->runs),
	    w->answered_ms == NEVER_MS ? -1 : s->now_ms - w->answered_ms,
	    lease_left_ms(s, w));
}

/*
 * Processes the answer to a poll that had ended without one, while another may be in
 * flight: the ends that it lists hold, as the users take note of an end once it is
 * listed.  It says nothing of the runs under way now, nor whether the worker answers.
 */
static void
on_late_answer(sched_t *s, worker_t *w, const sched_report_t *report)
{
	/* The ends of another process have other numbers. */
	if (!w->has_answered || report->started_ms == 0 ||
	    report->started_ms != w->started_ms)
		return;
	report_apply_ends(s, w, report);
	flush_acknowledge_ended(s, w);
	flush_if_due(s);
}

/*
 * Processes the answer to a poll.  pacing_report and straggler_report decide
 * on paces and stops before run_resend_orders sends the orders that are due.
 */
void
sched_poll_done(sched_t *s, uint64_t id, const char *worker,
    sched_order_result_t r, const sched_report_t *report, int64_t now_ms)
{
	worker_t *w = g_hash_table_lookup(s->workers, worker);

	s->now_ms = now_ms;
	if (w == NULL || s->cell.state != CELL_OWNED)
		return;
	if (w->poll_id != id) {
		if (report != NULL)
			on_late_answer(s, w, report);
		return;
	}
	w->poll_id = 0;
	poll_soon(s, w);
	if (quarantine_polls_often(s, w))
		w->next_poll_ms = now_ms + OFTEN_MS;
	if (r == SCHED_ORDER_FENCED) {
		ownership_lost(s, "a worker has seen a newer token");
		return;
	}
	/* Proves nothing where the worker has not answered: the entry that named
	 * the address may not be its own. */
	if (r == SCHED_ORDER_RESTARTED && w->has_answered) {
		crash_worker_replaced(s, w);
		run_worker_lost(s, w, "another process runs at its address");
	}
	/* An earlier process of the worker sent the report; it has since been
	 * listed as restarted. */
	if (report != NULL && report->started_ms != 0 &&
	    report->started_ms < w->started_ms)
		report = NULL;
	if (report == NULL) {
		on_poll_missed(s, w);
		return;
	}
	w->poll_unanswered = false;
	if (w->missed_polls > 0 && report->started_ms == w->started_ms)
		handover_worker_back(s, w);
	report_apply(s, w, report, w->poll_sent_ms);
	quarantine_report(s, w);
	pacing_report(s, w);
	straggler_report(s, w);
	run_resend_orders(s, w);
	flush_acknowledge_ended(s, w);
	flush_if_due(s);
}

/*
 * Sends a poll to a worker.  The worker answers at once if it has not answered
 * this owner yet, its clock is not known, some ended runs are not acknowledged
 * or poll_without_wait is set, or it is polled often for a quarantine; else when a
 * run ends, or after POLL_WAIT_MS.
 */
static void
send_poll(sched_t *s, worker_t *w)
{
	sched_poll_t p = { .worker = w->id,
		.address = w->address,
		.token = s->cell.token,
		.ended_ack_seq = w->ended_stored_seq };

	/*
	 * A worker that did not answer may be another process by now, which
	 * numbers its ended runs anew: it must not forget any of them.
	 */
	if (w->missed_polls > 0 || w->poll_unanswered)
		p.ended_ack_seq = 0;
	if (lease_may_extend(s, w))
		p.deadline_ms = lease_extend(s, w);
	if (w->has_answered && w->ended_seq == w->ended_stored_seq &&
	    lease_clock_known(s, w) && !w->poll_without_wait &&
	    !quarantine_polls_often(s, w))
		p.wait_ms = POLL_WAIT_MS;
	w->poll_without_wait = false;
	w->poll_id = p.id = ++s->last_id;
	w->poll_sent_ms = s->now_ms;
	s->stats.polls++;
	s->opts.port.poll(s->opts.ctx, &p);
}

static bool
has_listed_run(const worker_t *w)
{
	const run_t *r;

	FOREACH_VALUE (r, w->runs)
		if (run_is_listed(r))
			return true;
	return false;
}

/*
 * Removes the runs on a worker whose lease has expired.  Those that it has listed are
 * over with the lease that it was granted; others may be at a process that is not known,
 * with the longest one.
 */
static void
remove_expired(sched_t *s, worker_t *w)
{
	static const char why[] = "its lease has expired";

	if (g_hash_table_size(w->runs) > 0 && w->missed_polls > 0 &&
	    lease_has_ended(s, w)) {
		crash_worker_lost(s, w);
		run_worker_lost(s, w, why);
	} else if (w->missed_polls > 0 && has_listed_run(w) &&
	    lease_of_known_ended(s, w)) {
		crash_listed_lost(s, w);
		run_listed_lost(s, w, why);
	}
}

/*
 * Removes the runs on a worker whose lease has expired, and polls the worker if
 * that is due.
 */
static void
poll_if_due(sched_t *s, worker_t *w)
{
	remove_expired(s, w);
	if (w->poll_id != 0 || w->address[0] == '\0' ||
	    s->now_ms < w->next_poll_ms)
		return;
	/* A worker that left the list is polled while runs may be there, or to
	 * learn if it has crashed. */
	if (!w->listed && g_hash_table_size(w->runs) == 0 &&
	    !crash_proof_wanted(s, w) &&
	    ((w->has_answered && !w->ended_cut) ||
		(!w->footprint_stored && !w->used_before)))
		return;
	/* Ended runs are being stored: the poll is delayed so that it can
	 * acknowledge them. */
	if (w->ended_flush != 0 && s->now_ms - w->poll_sent_ms < STORE_WAIT_MS)
		return;
	send_poll(s, w);
}

/*
 * Polls the workers that are due: those named to poll_soon() at each tick, all
 * others a few times a second, as their times are not that exact.
 */
void
poll_tick(sched_t *s)
{
	for (guint i = 0; i < s->polls_soon->len; i++) {
		worker_t *w = g_ptr_array_index(s->polls_soon, i);

		w->poll_soon = false;
		poll_if_due(s, w);
	}
	g_ptr_array_set_size(s->polls_soon, 0);
	if (s->now_ms - s->all_polled_ms < WALK_MS)
		return;
	s->all_polled_ms = s->now_ms;
	for (guint i = 0; i < s->worker_list->len; i++)
		poll_if_due(s, g_ptr_array_index(s->worker_list, i));
}
