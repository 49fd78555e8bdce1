/*
 * Calls to the approval service.
 *
 * The service handles the calls of an entry one after the other, and a ticket holds for a
 * short time.  So few calls are in flight, each as small as will do, and an answer is
 * used before the next call is sent.  Steps that want a call have it in turn: every
 * other call is for the first of them in the order of the queue, the ones between for
 * the one that has waited longest.  A gang, all of whose tasks need tickets at the same
 * time, may go on for a few calls, between which there are no others.  A call that is
 * overdue, as its answer may be lost, keeps nobody waiting any more; if it is answered after
 * all, that is used.
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

#define CALLS_MAX     2	  /* in flight: one is handled, one on its way */
#define CALLS_ALL_MAX 4	  /* with those that are overdue */
#define RETRY_MS      200 /* after a failed call */
/* A call is overdue so long after twice what it is said to take, or the last one took. */
#define OVERDUE_MS 2000
/* The same where neither is known; doubled with each call that times out. */
#define OVERDUE_UNKNOWN_MS  5000
#define OVERDUE_DOUBLED_MAX 3
#define TIMEOUT_TIMES	    3 /* as long as until it is overdue */
#define LOST_MS		    3000 /* a call that did not even time out is given up */
/* For the order to arrive in time, at most this part of the ticket's time. */
#define TICKET_MARGIN_MS    300
#define TICKET_MARGIN_PARTS 4
/* Tasks whose back-off ends so soon want their tickets. */
#define AHEAD_MS 1000
/* Steps that are looked at for a call in a pass, as each looks at all workers. */
#define CHOICES_PER_PASS 16
/* Calls in a row for a gang that gathers tickets. */
#define GATHER_CALLS_MAX 4

/* A call in flight. */
struct approval_call {
	uint64_t id;
	char job[SCHED_JOB_ID_BYTES + 1];
	int32_t occ, step;
	int64_t sent_ms;
	int64_t expected_ms;   /* that the service takes for it; 0: not known */
	int64_t overdue_at_ms; /* without an answer */
	int32_t timeout_ms;
	GPtrArray *workers; /* interned ids */
};

static void
call_free(approval_call_t *c)
{
	g_ptr_array_unref(c->workers);
	g_free(c);
}

void
approval_init(sched_t *s)
{
	s->approval = (approval_calls_t){ .waiting = g_ptr_array_new(),
		.calls = g_ptr_array_new() };
}

void
approval_free(sched_t *s)
{
	for (guint i = 0; i < s->approval.calls->len; i++)
		call_free(g_ptr_array_index(s->approval.calls, i));
	g_ptr_array_unref(s->approval.calls);
	g_ptr_array_unref(s->approval.waiting);
}

/* The call in flight with an id, or NULL. */
static approval_call_t *
find_call(const sched_t *s, uint64_t id)
{
	for (guint i = 0; i < s->approval.calls->len; i++) {
		approval_call_t *c = g_ptr_array_index(s->approval.calls, i);

		if (c->id == id)
			return c;
	}
	return NULL;
}

/*
 * Returns the step that a call is about; NULL if its job has been removed or
 * has no such step.
 */
static step_t *
call_step(sched_t *s, const approval_call_t *c)
{
	job_t *j = g_hash_table_lookup(s->jobs, c->job);

	if (j == NULL || (size_t)c->step >= j->def->n_steps)
		return NULL;
	return &job_occurrence(j, c->occ)->steps[c->step];
}

/* Whether tasks of a step will start before long, as far as they go themselves. */
static bool
has_task_soon(const sched_t *s, const step_t *st)
{
	if (st->def->gang && st->nwaiting < st->ntasks)
		return false;
	if (st->def->gang ? !customer_allows_gang(st) :
			    !customer_allows_start(st))
		return false;
	for (int32_t i = 0; i < st->ntasks; i++)
		if (st->tasks[i].state == TASK_WAITING &&
		    st->tasks[i].not_before_ms <= s->now_ms + AHEAD_MS)
			return true;
	return false;
}

/* Whether a call has waited for its answer for too long. */
static bool
is_overdue(const sched_t *s, const approval_call_t *c)
{
	return s->now_ms >= c->overdue_at_ms;
}

/* Whether a step has a call in flight that is not overdue. */
static bool
has_call(const sched_t *s, const step_t *st)
{
	for (guint i = 0; i < s->approval.calls->len; i++) {
		const approval_call_t *c =
		    g_ptr_array_index(s->approval.calls, i);

		if (c->step == st->number && c->occ == st->occ->number &&
		    !is_overdue(s, c) && g_str_equal(c->job, st->occ->job->id))
			return true;
	}
	return false;
}

/*
 * Tasks of a step wait, or a run of it is to be moved: it has a call in its turn, if its
 * job needs approval.  Nothing was to be asked for in this round: not before the next.
 */
void
approval_want(sched_t *s, step_t *st)
{
	if (!st->occ->job->needs_approval || st->wants_approval ||
	    has_call(s, st) || st->approval_round == s->scan.round ||
	    s->opts.port.request_approval == NULL ||
	    (st->nwaiting > 0 && !has_task_soon(s, st)))
		return;
	st->wants_approval = true;
	g_ptr_array_add(s->approval.waiting, st);
}

/* Takes a step from those that wait for a call. */
static void
stop_waiting(sched_t *s, step_t *st)
{
	if (st->wants_approval)
		g_ptr_array_remove(s->approval.waiting, st);
	st->wants_approval = false;
}

/* A step is being freed. */
void
approval_forget(sched_t *s, step_t *st)
{
	stop_waiting(s, st);
	if (s->approval.gathering == st)
		s->approval.gathering = NULL;
}

/* Whether a step goes before another in the queue; one that moves runs is not in it. */
static bool
goes_before(const step_t *a, const step_t *b)
{
	if (a->queue_iter == NULL || b->queue_iter == NULL)
		return a->queue_iter != NULL;
	return g_sequence_iter_compare(a->queue_iter, b->queue_iter) < 0;
}

/* The step whose turn it is, of those that wait for a call. */
static step_t *
next_step(const sched_t *s)
{
	const approval_calls_t *c = &s->approval;
	step_t *first = g_ptr_array_index(c->waiting, 0);

	if (c->gathering != NULL && c->gathering->wants_approval)
		return c->gathering;
	for (guint i = 1; !c->longest_next && i < c->waiting->len; i++) {
		step_t *st = g_ptr_array_index(c->waiting, i);

		if (goes_before(st, first))
			first = st;
	}
	return first;
}

/* Notes whether the step that has a turn is a gang that may go on. */
static void
count_turn(sched_t *s, step_t *st)
{
	approval_calls_t *c = &s->approval;

	c->gather_calls = c->gathering == st ? c->gather_calls + 1 : 1;
	c->gathering =
	    st->def->gang && c->gather_calls < GATHER_CALLS_MAX ? st : NULL;
}

/* The calls in flight that are not overdue, and what the service is said to take for them. */
typedef struct {
	guint calls;
	int64_t expected_ms;
} in_flight_t;

static in_flight_t
in_flight(const sched_t *s)
{
	in_flight_t f = { 0 };

	for (guint i = 0; i < s->approval.calls->len; i++) {
		const approval_call_t *c =
		    g_ptr_array_index(s->approval.calls, i);

		f.calls += !is_overdue(s, c);
		f.expected_ms += is_overdue(s, c) ? 0 : c->expected_ms;
	}
	return f;
}

/* After which time a call is overdue that is sent behind those in flight. */
static int64_t
overdue_ms(const sched_t *s, int64_t expected_ms)
{
	const approval_calls_t *a = &s->approval;

	if (expected_ms > 0)
		expected_ms += in_flight(s).expected_ms;
	expected_ms = MAX(expected_ms, a->latency_ms);
	return expected_ms > 0 ?
	    OVERDUE_MS + 2 * expected_ms :
	    OVERDUE_UNKNOWN_MS << MIN(a->timeouts, OVERDUE_DOUBLED_MAX);
}

/* Whether one more call may be sent; a gang that goes on has no other beside its own. */
static bool
may_send(const sched_t *s)
{
	const approval_calls_t *a = &s->approval;

	return s->now_ms >= a->retry_ms && a->calls->len < CALLS_ALL_MAX &&
	    in_flight(s).calls < (a->gathering != NULL ? 1 : CALLS_MAX);
}

/* Sends a call about a step that names workers (interned ids). */
static void
send_call(sched_t *s, step_t *st, GPtrArray *workers)
{
	approval_call_t *c = g_new0(approval_call_t, 1);
	g_autofree char *name = g_strdup_printf(
	    "%s.%d.%d", st->occ->job->id, st->occ->number, st->number);
	sched_approval_request_t o = { .step = name,
		.workers = (const char *const *)workers->pdata,
		.nworkers = workers->len };

	o.id = c->id = ++s->last_id;
	c->expected_ms = approval_call_ms(st, workers->len);
	c->overdue_at_ms = s->now_ms + overdue_ms(s, c->expected_ms);
	o.timeout_ms = c->timeout_ms =
	    (int32_t)(TIMEOUT_TIMES * (c->overdue_at_ms - s->now_ms));
	g_strlcpy(c->job, st->occ->job->id, sizeof(c->job));
	c->occ = st->occ->number;
	c->step = st->number;
	c->sent_ms = s->now_ms;
	c->workers = g_ptr_array_ref(workers);
	g_ptr_array_add(s->approval.calls, c);
	count_turn(s, st);
	LOG_EVENT(s, SCHED_EVT_APPROVAL_REQUESTED, name,
	    "workers=%u waiting=%d steps=%u", workers->len, st->nwaiting,
	    s->approval.waiting->len);
	s->opts.port.request_approval(s->opts.ctx, &o);
}

/* Sends the next calls that are wanted, as far as they may be sent. */
void
approval_call_next(sched_t *s)
{
	approval_calls_t *c = &s->approval;

	if (s->cell.state != CELL_OWNED)
		return;
	for (int n = 0;
	     n < CHOICES_PER_PASS && c->waiting->len > 0 && may_send(s); n++) {
		step_t *st = next_step(s);
		g_autoptr(GPtrArray) workers = approval_choose(s, st);

		c->longest_next = !c->longest_next;
		stop_waiting(s, st);
		if (workers->len > 0)
			send_call(s, st, workers);
		else
			st->approval_round = s->scan.round;
	}
}

/*
 * When the tickets of an answer expire.  The service may have decided right after the call
 * was sent, or the one before was answered.  Where that would leave too little, or tickets
 * are to be held until others have come, they count from the answer; a worker rejects one
 * that is over.
 */
static int64_t
tickets_end_ms(const sched_t *s, const approval_call_t *c, const step_t *st,
    int32_t valid_ms)
{
	int64_t part_ms = valid_ms / TICKET_MARGIN_PARTS;
	int64_t holds_ms = valid_ms - MIN(TICKET_MARGIN_MS, part_ms);
	int64_t end_ms = MAX(c->sent_ms, s->approval.answered_ms) + holds_ms;

	return st->def->gang || end_ms - s->now_ms < part_ms ?
	    s->now_ms + holds_ms :
	    end_ms;
}

/* Stores the decisions of an answer: workers without a ticket in it are refused. */
static void
store_answer(
    sched_t *s, const approval_call_t *c, step_t *st, const sched_approval_t *a)
{
	int64_t end_ms = tickets_end_ms(s, c, st, a->valid_ms);
	int64_t latency_ms = s->now_ms - c->sent_ms;
	worker_t *w;

	for (guint i = 0; i < c->workers->len; i++) {
		w = g_hash_table_lookup(
		    s->workers, g_ptr_array_index(c->workers, i));
		if (w != NULL)
			approval_store(st, w, NULL, 0, latency_ms);
	}
	for (size_t i = 0; i < a->napproved; i++) {
		w = g_hash_table_lookup(s->workers, a->approved[i].worker);
		if (w != NULL)
			approval_store(
			    st, w, a->approved[i].ticket, end_ms, latency_ms);
	}
	st->unplaced_round = 0;
}

/* A call has failed: the next one is sent later. */
static void
call_failed(sched_t *s, const approval_call_t *c)
{
	s->approval.retry_ms = s->now_ms + RETRY_MS;
	if (s->now_ms - c->sent_ms < c->timeout_ms)
		return;
	s->approval.timeouts++;
	s->approval.latency_ms = 0;
}

/* The service has answered: its tickets are used before the next call is sent. */
static void
call_answered(
    sched_t *s, const approval_call_t *c, step_t *st, const sched_approval_t *a)
{
	s->approval.latency_ms = s->now_ms - c->sent_ms;
	s->approval.timeouts = 0;
	if (st != NULL) {
		store_answer(s, c, st, a);
		start_approved_step(s, st);
	}
	s->approval.answered_ms = s->now_ms;
}

/* Ends a call in flight; a is NULL without an answer. */
static void
end_call(sched_t *s, approval_call_t *c, const sched_approval_t *a)
{
	step_t *st = call_step(s, c);

	g_ptr_array_remove(s->approval.calls, c);
	LOG_EVENT(s, SCHED_EVT_APPROVAL, c->job,
	    "step=%d workers=%u approved=%zu valid_ms=%d latency_ms=%" PRId64,
	    c->step, c->workers->len, a == NULL ? 0 : a->napproved,
	    a == NULL ? 0 : a->valid_ms, s->now_ms - c->sent_ms);
	if (a != NULL)
		call_answered(s, c, st, a);
	else
		call_failed(s, c);
	if (st != NULL && st == s->approval.gathering && !st->wants_approval)
		s->approval.gathering = NULL;
	call_free(c);
	approval_call_next(s);
	s->start_pass_due = true;
}

/* Processes the answer to a call.  One that was given up is not in flight any more. */
void
sched_approval_done(
    sched_t *s, uint64_t id, const sched_approval_t *a, int64_t now_ms)
{
	approval_call_t *c = find_call(s, id);

	s->now_ms = now_ms;
	if (c != NULL)
		end_call(s, c, a);
}

/* Gives up calls that have neither been answered nor failed, so that others are sent. */
void
approval_expire_calls(sched_t *s)
{
	for (guint i = s->approval.calls->len; i-- > 0;) {
		approval_call_t *c = g_ptr_array_index(s->approval.calls, i);

		if (s->now_ms - c->sent_ms >= c->timeout_ms + LOST_MS)
			end_call(s, c, NULL);
	}
}
