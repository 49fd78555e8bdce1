/*
 * Requests of callers that need the store: a job is submitted, cancelled, or
 * its state is read.  attempts.c decides when the store is called; the first
 * useful answer to one of these attempts ends the request.
 *
 * A write without an answer may still be applied later, so a submission or a
 * cancel is refused (503) only when none of its writes is in doubt; otherwise
 * the answer is 504.  That a job isn't there does not mean that it won't come; see
 * job_rows.h.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "../cmd/cmd.h"
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"
#include "attempts.h"
#include "job_rows.h"
#include "request.h"

#define OUTAGE_RETRY_MAX_MS 8000 /* without the spread over callers */
/* Rows without a job that callers may have an entry write; see job_rows.h. */
#define TOMBSTONES_PER_S 20
#define TOMBSTONES_BURST 200
#define REFUSALS_PER_S	 20
#define REFUSALS_BURST	 100
#define REPLY_RESERVE_MS 150 /* of the timeout, for the answer's way back */

static void proceed(request_t *rq);

int64_t
request_deadline_ms(const incoming_t *in)
{
	int32_t timeout_ms = request_timeout_ms(in->req);

	return in->came_ms + MAX(timeout_ms - REPLY_RESERVE_MS, timeout_ms / 2);
}

int64_t
request_reply_deadline_ms(const request_t *rq)
{
	return MIN(rq->deadline_ms,
	    node_stop_deadline_ms(rq->node) - REPLY_RESERVE_MS);
}

static void
on_timer_closed(uv_handle_t *h)
{
	request_t *rq = h->data;

	if (rq->row != NULL)
		g_byte_array_unref(rq->row);
	g_free(rq);
}

void
request_finish(request_t *rq, int32_t status, const char *body)
{
	node_t *n = rq->node;

	n->open_requests--;
	if (status == 429 || status == 503 || status == 504)
		reply_error(
		    rq->req, status, body, rq->rejection.retry_after_ms);
	else
		reply_text(rq->req, status, "", body);
	if (rq->kind == REQUEST_SUBMIT)
		node_record_accept_latency(n, node_now_ms(n) - rq->began_ms);
	for (guint i = 0; i < rq->in_flight->len; i++)
		((attempt_t *)g_ptr_array_index(rq->in_flight, i))->request =
		    NULL;
	g_ptr_array_unref(rq->in_flight);
	uv_close((uv_handle_t *)&rq->timer, on_timer_closed);
}

/* Answers 504 for a write in doubt, 503 otherwise. */
static void
give_up(request_t *rq)
{
	node_t *n = rq->node;
	int64_t silent_ms = node_now_ms(n) - n->store_answered_ms;
	const char *why = rq->attempts.in_flight > 0 ?
	    "no answer of the store in time" :
	    "the store does not answer";

	/* What can't be read may have been accepted before. */
	if (attempts_unsettled(&rq->attempts) || rq->kind == REQUEST_REJECT) {
		n->stats.in_doubt++;
		log_event(EVT_UNSETTLED,
		    "id=%s queue=%s tries=%d store_silent_ms=%" PRId64
		    " why=\"%s\"",
		    rq->id, rq->queue, rq->attempts.sent, silent_ms, why);
		request_finish(rq, 504, why);
		return;
	}
	/* An outage goes on for about as long again as it has lasted. */
	rq->rejection.retry_after_ms =
	    sched_retry_after_ms(rq->id, MIN(silent_ms, OUTAGE_RETRY_MAX_MS));
	if (rq->kind == REQUEST_STATE)
		n->stats.state_unreadable++;
	else
		n->stats.refused_store++;
	log_event(
	    rq->kind == REQUEST_STATE ? EVT_STATE_UNREADABLE : EVT_REFUSED,
	    "id=%s queue=%s tries=%d store_silent_ms=%" PRId64 " why=\"%s\"",
	    rq->id, rq->queue, rq->attempts.sent, silent_ms, why);
	request_finish(rq, 503, why);
}

void
request_attempt_failed(request_t *rq, attempt_failure_t f)
{
	attempts_failed(&rq->attempts, f, node_now_ms(rq->node));
	proceed(rq);
}

static void
on_timer(uv_timer_t *t)
{
	proceed(t->data);
}

/* Takes the step that is due. */
static void
proceed(request_t *rq)
{
	int64_t now = node_now_ms(rq->node);
	attempts_now_t t = { .now_ms = now,
		.deadline_ms = request_reply_deadline_ms(rq),
		.store_silent_ms = now - rq->node->store_answered_ms };
	attempts_step_t step;
	int32_t wait_ms;

	step = attempts_next(&rq->attempts, &t, &wait_ms);
	if (step == ATTEMPTS_GIVE_UP) {
		give_up(rq);
		return;
	}
	if (step == ATTEMPTS_SEND)
		request_send_attempt(rq);
	uv_timer_start(&rq->timer, on_timer, (uint64_t)wait_ms, 0);
}

static request_t *
request_new(node_t *n, const incoming_t *in, request_kind_t kind,
    const route_match_t *m, const char *customer)
{
	request_t *rq = g_new0(request_t, 1);

	rq->node = n;
	rq->req = in->req;
	rq->kind = kind;
	g_strlcpy(rq->id, m->id, sizeof(rq->id));
	rq->queue = m->queue->name;
	rq->customer = customer;
	rq->began_ms = in->came_ms;
	rq->deadline_ms = request_deadline_ms(in);
	rq->attempts.is_write =
	    kind == REQUEST_SUBMIT || kind == REQUEST_CANCEL;
	rq->rejection.retry_after_ms = RETRY_AFTER_MS;
	rq->in_flight = g_ptr_array_new();
	uv_timer_init(n->loop, &rq->timer);
	rq->timer.data = rq;
	n->open_requests++;
	return rq;
}

void
request_init_limits(node_t *n)
{
	n->tombstones = (rate_limit_t){ TOMBSTONES_PER_S, TOMBSTONES_BURST };
	n->refusals = (rate_limit_t){ REFUSALS_PER_S, REFUSALS_BURST };
}

void
request_begin(node_t *n, const incoming_t *in, request_kind_t kind,
    const route_match_t *m, const char *customer, GByteArray *row)
{
	request_t *rq = request_new(n, in, kind, m, customer);

	rq->row = row;
	proceed(rq);
}

void
request_reject(node_t *n, const incoming_t *in, const route_match_t *m,
    const char *customer, const rejection_t *why)
{
	request_t *rq = request_new(n, in, REQUEST_REJECT, m, customer);

	rq->rejection = *why;
	rq->writes_refusal = rate_limit_take(&n->refusals, node_now_ms(n));
	rq->attempts.is_write = rq->writes_refusal;
	proceed(rq);
}
