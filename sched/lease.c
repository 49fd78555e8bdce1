/*
 * Leases of workers: what is known of them, and what follows from that.
 *
 * No run outlives the lease of its worker.  So a task of an earlier run is started
 * again only when that run is known to be over, or the lease of its worker to have
 * ended.  Any owner may have extended that: this one, which remembers its grants, or
 * earlier ones, of which it knows what they have stored, what the first answer of a
 * worker's process tells, and for how long they could.  A bound that is not known
 * has not passed.
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
 * A lease must outlast a takeover by a successor (1.2 s of silence, a claim, a
 * load and a poll), so that runs survive it.  The tasks of a failed worker
 * are started elsewhere only after its lease has ended.
 */
#define LEASE_MS 4000
/* A start is sent with a lease of so long at least: until a poll that was sent before it
 * has been missed, and the next one is answered. */
#define START_LEASE_MS	2500
#define LEASE_MARGIN_MS 100 /* below the longest that a worker accepts */
#define CLOCK_DRIFT_PCT 2   /* the platform's bound for workers' clocks */
/* A clock that was read longer ago is not known; by then it has drifted by less
 * than EXPIRY_MARGIN_MS allows for. */
#define CLOCK_VALID_MS 4000
/* A clock further back is that of another process, not of a late answer. */
#define CLOCK_BACKWARD_MS 1500
#define EXPIRY_MARGIN_MS  200 /* for an order that arrives as the lease ends */
/* For how long a lease may last that an owner has extended by the clock of the
 * worker's process. */
#define GRANTED_MS (LEASE_MS * (100 + CLOCK_DRIFT_PCT) / 100 + EXPIRY_MARGIN_MS)
/* A start is answered or given up in this time (PLATFORM_ORDER_TIMEOUT_MS). */
#define START_CALL_MS 400
/* By so much an owner may take the store's clock to be behind, as answers of the
 * store that took longer are not used. */
#define STORE_CLOCK_MARGIN_MS 900

/* Whether a bound is known to have passed. */
static bool
passed(bound_t b, int64_t now_ms)
{
	return b.state == BOUND_ENDS_AT && now_ms > b.ms;
}

static bool
clock_was_read(const worker_t *w)
{
	return w->lease.read_ms != NEVER_MS;
}

/* Lowest value that the worker's clock, once it was read, can have now. */
static int64_t
min_clock(const sched_t *s, const worker_t *w)
{
	return w->lease.clock_ms +
	    (s->now_ms - w->lease.read_ms) * (100 - CLOCK_DRIFT_PCT) / 100;
}

/* How long a worker's longest lease lasts at most, by our clock. */
static int64_t
longest_ms(const sched_t *s)
{
	return (int64_t)s->opts.max_lease_ms * (100 + CLOCK_DRIFT_PCT) / 100 +
	    EXPIRY_MARGIN_MS;
}

/* A new ownership begins, or a worker is new: nothing is known. */
void
lease_forget(worker_t *w)
{
	w->lease = (lease_t){ .sent_ms = NEVER_MS, .start_sent_ms = NEVER_MS };
	lease_restarted(w);
}

/* Another process runs now: its clock, and what it grants us, is not known. */
void
lease_restarted(worker_t *w)
{
	w->lease.deadline_ms = w->lease.read_ms = w->answered_ms = NEVER_MS;
	w->lease.answered_poll_ms = NEVER_MS;
	w->lease.stored.state = BOUND_UNKNOWN;
}

/*
 * The first answer of a process to an owner: what earlier owners sent is not known,
 * or was meant for another process with another clock, and may be the longest lease.
 */
void
lease_first_answer(const sched_t *s, worker_t *w)
{
	w->lease.earlier = ENDS_AT(s->now_ms + longest_ms(s));
}

/* Whether a worker's clock was read so lately that deadlines can be told by it. */
bool
lease_clock_known(const sched_t *s, const worker_t *w)
{
	return s->now_ms - w->lease.read_ms <= CLOCK_VALID_MS;
}

/* Whether it was read, but too long ago: a start would have no deadline. */
bool
lease_clock_is_old(const sched_t *s, const worker_t *w)
{
	return clock_was_read(w) && !lease_clock_known(s, w);
}

/*
 * Whether a report's clock is so far behind the value expected that another
 * process sent it.  For one that does not say when its process started; it must
 * not have been read late.
 */
bool
lease_clock_went_back(const sched_t *s, const worker_t *w, int64_t clock_ms)
{
	return clock_was_read(w) &&
	    clock_ms + CLOCK_BACKWARD_MS < min_clock(s, w);
}

/*
 * Sets the worker's clock from an answer.  That must not turn it back: of an answer
 * that was overtaken, read late or longer on its way, the clock is behind the lowest
 * value that it can have by now, which is taken instead.  The worker may not be up any
 * more then: it was when it sent that.
 */
void
lease_clock_read(const sched_t *s, worker_t *w, int64_t clock_ms)
{
	int64_t late_ms =
	    clock_was_read(w) ? MAX(0, min_clock(s, w) - clock_ms) : 0;

	w->lease.clock_ms = clock_ms + late_ms;
	w->lease.read_ms = s->now_ms;
	w->answered_ms = MAX(w->answered_ms, s->now_ms - late_ms);
}

/*
 * Returns the deadline to send with a poll or start: the end of a lease that
 * begins now, by the worker's clock; 0 while that clock is not known.  Records
 * it as sent.
 */
int64_t
lease_extend(const sched_t *s, worker_t *w)
{
	int64_t ms = MIN(LEASE_MS, s->opts.max_lease_ms - LEASE_MARGIN_MS);
	lease_t *l = &w->lease;

	l->sent_ms = s->now_ms;
	if (!lease_clock_known(s, w))
		return 0;
	ms += l->clock_ms + (s->now_ms - l->read_ms);
	l->deadline_ms = MAX(l->deadline_ms, ms);
	return l->deadline_ms;
}

/*
 * Returns the deadline to send with a start.  That is the one sent before, as far as it
 * is enough: a worker that is lost gets starts until that is known, and its runs are
 * started elsewhere only after the last deadline.
 */
int64_t
lease_for_start(const sched_t *s, worker_t *w)
{
	lease_t *l = &w->lease;

	if (!lease_clock_known(s, w) ||
	    l->deadline_ms - l->clock_ms - (s->now_ms - l->read_ms) <
		START_LEASE_MS)
		return lease_extend(s, w);
	l->sent_ms = s->now_ms;
	return l->deadline_ms;
}

/* A start is sent to a worker. */
void
lease_start_sent(const sched_t *s, worker_t *w)
{
	w->lease.start_sent_ms = s->now_ms;
	w->lease.starts_pending++;
}

/*
 * A start has been answered, or is over without.  It may have waited until now, so
 * that polls sent before do not show which process got it.
 */
void
lease_start_done(const sched_t *s, worker_t *w)
{
	w->lease.start_sent_ms = s->now_ms;
	w->lease.starts_pending--;
}

/* The process that the worker is known by has answered a poll sent at that time. */
void
lease_poll_answered(worker_t *w, int64_t sent_ms)
{
	w->lease.answered_poll_ms = MAX(w->lease.answered_poll_ms, sent_ms);
}

/*
 * Whether a process may have got a start that is not known yet, as it started under
 * the worker's id since the last answer.  By its clock our deadlines may be far ahead.
 */
static bool
unknown_process_may_run(const worker_t *w)
{
	return w->lease.starts_pending > 0 ||
	    w->lease.start_sent_ms >= w->lease.answered_poll_ms;
}

/* When the longest lease of such a process ends, or a time that has passed. */
static int64_t
unknown_process_end_ms(const sched_t *s, const worker_t *w)
{
	const lease_t *l = &w->lease;

	if (!unknown_process_may_run(w))
		return NEVER_MS;
	if (l->starts_pending > 0)
		return s->now_ms + START_CALL_MS + longest_ms(s);
	return MAX(l->sent_ms, l->start_sent_ms) + longest_ms(s);
}

/*
 * Whether a poll may extend the lease of a worker.  Not without an answer to the
 * last one, so that the lease of an unreachable worker expires; and not as long
 * as the store says when it ends, since a successor goes by that.  The longest lease
 * is not extended by an owner that may have a successor.
 */
bool
lease_may_extend(const sched_t *s, const worker_t *w)
{
	return ownership_may_extend_leases(s) && w->missed_polls == 0 &&
	    !lease_end_is_stored(w) &&
	    (!unknown_process_may_run(w) || ownership_is_confirmed(s)) &&
	    (w->footprint_stored || g_hash_table_size(w->runs) == 0);
}

/*
 * Whether the lease of the process that a worker is known by has ended: no run that it
 * has listed can exist any more.
 */
bool
lease_of_known_ended(const sched_t *s, const worker_t *w)
{
	const lease_t *l = &w->lease;

	/* Without any answer only that no worker has such runs. */
	if (l->earlier.state == BOUND_UNKNOWN ? !s->cell.workers_accounted :
						!passed(l->earlier, s->now_ms))
		return false;
	/* Without its clock: no lease is longer than the worker accepts. */
	return clock_was_read(w) ?
	    min_clock(s, w) > l->deadline_ms + EXPIRY_MARGIN_MS :
	    s->now_ms > l->sent_ms + longest_ms(s);
}

/*
 * Whether no run that this cell's owners have ordered can exist on a worker any
 * more, as its lease has ended.
 */
bool
lease_has_ended(const sched_t *s, const worker_t *w)
{
	return s->now_ms > unknown_process_end_ms(s, w) &&
	    lease_of_known_ended(s, w);
}

/* How long the lease lasts yet by the worker's clock; 0: that is not known. */
int64_t
lease_left_ms(const sched_t *s, const worker_t *w)
{
	return clock_was_read(w) ? w->lease.deadline_ms - min_clock(s, w) : 0;
}

/* Whether the footprint, as last written or read, says when the lease ends. */
bool
lease_end_is_stored(const worker_t *w)
{
	return w->lease.stored.state == BOUND_ENDS_AT;
}

/* That time by the store's clock, as it is written; 0: there is none. */
int64_t
lease_stored_ms(const worker_t *w)
{
	return lease_end_is_stored(w) ? w->lease.stored.ms : 0;
}

/* Takes in what an earlier owner has stored; false: it can't be a time. */
bool
lease_read_stored(worker_t *w, int64_t ms)
{
	bool valid = ms >= 0 && ms <= SCHED_NUMBER_MAX;

	w->lease.stored =
	    valid && ms != 0 ? ENDS_AT(ms) : (bound_t){ BOUND_UNKNOWN, 0 };
	return valid;
}

/* Whether a worker is known to have left the list. */
static bool
has_left(const sched_t *s, const worker_t *w)
{
	return !w->listed &&
	    s->now_ms - s->feed_read_ms[SCHED_FEED_WORKERS] <=
	    s->opts.feed_limit_ms;
}

/*
 * Whether to store the end of all leases of earlier owners for a worker.  That holds as
 * no process of it has answered this owner, which has extended no lease there and
 * started nothing.  Not for one that may answer soon, as it gets no start before
 * that end is withdrawn.
 */
static bool
stores_old_leases(const sched_t *s, const worker_t *w)
{
	return w->lease.earlier.state == BOUND_UNKNOWN &&
	    !lease_end_is_stored(w) && s->store_clock_known &&
	    s->cell.old_leases.state == BOUND_ENDS_AT &&
	    (w->silent || has_left(s, w) || s->cell.releasing);
}

/*
 * Sets what to store for successors: the end of the lease of a worker that does not
 * answer, once an owner has extended it.  False: it is what was stored before.
 */
bool
lease_update_stored(const sched_t *s, worker_t *w)
{
	lease_t *l = &w->lease;
	int64_t before_ms = lease_stored_ms(w);

	if (!w->has_answered) {
		/* What an earlier owner stored still holds. */
		if (stores_old_leases(s, w))
			l->stored = ENDS_AT(
			    s->cell.old_leases.ms + s->store_clock_offset_ms);
	} else if (w->missed_polls == 0 || l->sent_ms == NEVER_MS)
		l->stored.state = BOUND_EXTENDING;
	else if (!lease_end_is_stored(w) && s->store_clock_known &&
	    l->earlier.state == BOUND_ENDS_AT) {
		int64_t ms = MAX(l->sent_ms + GRANTED_MS, l->earlier.ms);

		ms = MAX(ms, unknown_process_end_ms(s, w));
		l->stored = ENDS_AT(ms + s->store_clock_offset_ms);
	}
	return lease_stored_ms(w) != before_ms;
}

/* How long the leases last at most that owners granted until a moment. */
static int64_t
granted_ms(const sched_t *s)
{
	/* A worker may have started again under its id before their last start,
	 * which takes their deadlines for the longest lease. */
	return MAX(GRANTED_MS,
	    START_CALL_MS +
		(int64_t)s->opts.max_lease_ms * (100 + CLOCK_DRIFT_PCT) / 100);
}

/*
 * Until when the leases last that this owner, which grants no more, and earlier ones have
 * granted, a start that is under way included; by the store's clock, 0: not known.
 */
int64_t
lease_released_until_ms(const sched_t *s)
{
	const bound_t *old = &s->cell.old_leases;

	if (s->cell.state != CELL_OWNED || !s->store_clock_known ||
	    old->state != BOUND_ENDS_AT)
		return 0;
	return MAX(s->now_ms + MAX(GRANTED_MS, START_CALL_MS + longest_ms(s)),
		   old->ms) +
	    s->store_clock_offset_ms;
}

/*
 * A takeover is complete, of a cell that was claimed at claimed_ms: earlier owners sent
 * no start after that, and extended leases until extended_ms from now at the latest;
 * where the last one has released the cell, its row says until when all these last
 * (released_until_ms, by the store's clock; 0: it does not).  Returns how long they may
 * last.
 */
int64_t
lease_taken_over(sched_t *s, bool any_owner, int64_t claimed_ms,
    int64_t extended_ms, int64_t released_until_ms)
{
	int64_t end_ms = MAX(
	    s->now_ms + GRANTED_MS + extended_ms, claimed_ms + granted_ms(s));

	if (released_until_ms > 0 && released_until_ms <= SCHED_NUMBER_MAX &&
	    s->store_clock_known) {
		int64_t ms = released_until_ms - s->store_clock_offset_ms +
		    STORE_CLOCK_MARGIN_MS;

		end_ms = CLAMP(ms, s->now_ms, end_ms);
	}
	s->cell.old_leases = ENDS_AT(any_owner ? end_ms : s->now_ms);
	return s->cell.old_leases.ms - s->now_ms;
}

/* Whether no lease of earlier owners is left on any worker. */
bool
lease_old_ones_ended(const sched_t *s)
{
	return passed(s->cell.old_leases, s->now_ms + 1);
}

/* Whether the end that an earlier owner has stored is over. */
bool
lease_stored_has_ended(const sched_t *s, const worker_t *w)
{
	return s->store_clock_known &&
	    passed(w->lease.stored,
		s->now_ms + s->store_clock_offset_ms - STORE_CLOCK_MARGIN_MS);
}

/*
 * Whether a worker may have runs of earlier owners that are not known here.  One
 * that was restarted under its id may have carried out orders for its process
 * before.
 */
bool
lease_may_hide_runs(const sched_t *s, const worker_t *w)
{
	return (w->footprint_stored || w->used_before) && !w->has_answered &&
	    !lease_old_ones_ended(s) && !lease_stored_has_ended(s, w);
}
