/*
 * Requests of callers that need the store: a job is submitted, cancelled, or
 * its state is read.  attempts.c decides when the store is called; the first
 * useful answer to one of these attempts ends the request.
 *
 * A write without an answer may still be applied later, so a submission or a
 * cancel is refused (503) only when none of its writes is in doubt; otherwise
 * the answer is 504.
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
#include "serve.h"
#include "attempts.h"

#define OUTAGE_RETRY_MAX_MS 8000 /* without the spread over callers */
#define REPLY_RESERVE_MS    150	 /* of the timeout, for the answer's way back */
#define NO_SUCH_JOB	    "{\"error\":\"no such job\"}"

/* A request in progress. */
typedef struct {
	node_t *node;
	server_req_t *req;
	request_kind_t kind;
	char id[SCHED_JOB_ID_BYTES + 1];
	const char *queue;    /* interned */
	const char *customer; /* interned; "": none */
	GByteArray *row;
	rejection_t rejection; /* its reason only of REQUEST_REJECT */
	int64_t began_ms;
	int64_t deadline_ms;
	attempts_t attempts;
	GPtrArray *in_flight; /* of attempt_t */
	uv_timer_t timer;
} request_t;

/* A call to the store in progress, for an attempt of a request. */
typedef struct {
	node_t *node;
	request_t *request; /* NULL once the request is answered */
} attempt_t;

static void proceed(request_t *rq);
static attempt_t *attempt_new(request_t *rq);
static void read_job_rows(attempt_t *at);

int64_t
request_deadline_ms(const incoming_t *in)
{
	int32_t timeout_ms = request_timeout_ms(in->req);

	return in->came_ms + MAX(timeout_ms - REPLY_RESERVE_MS, timeout_ms / 2);
}

/* A request is answered by its deadline, and before a graceful stop ends. */
static int64_t
reply_deadline_ms(const request_t *rq)
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

/*
 * Answers a request and frees it; answers to its attempts that are still to
 * come are dropped.  For 429, 503 and 504 body is the error's text.
 */
static void
finish(request_t *rq, int32_t status, const char *body)
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

/* resubmitted: the row was stored before this request. */
static void
finish_accepted(request_t *rq, bool resubmitted)
{
	node_t *n = rq->node;

	if (resubmitted)
		n->stats.resubmitted++;
	else
		n->stats.accepted++;
	log_event(EVT_ACCEPTED,
	    "id=%s queue=%s resubmitted=%d tries=%d latency_ms=%" PRId64,
	    rq->id, rq->queue, resubmitted, rq->attempts.sent,
	    node_now_ms(n) - rq->began_ms);
	finish(rq, 200, "{}");
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
		finish(rq, 504, why);
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
	finish(rq, 503, why);
}

/*
 * Frees a call that has ended.  Returns its request, or NULL when that has been
 * answered already.
 */
static request_t *
attempt_end(attempt_t *at, store_result_t r, const store_answer_t *a)
{
	request_t *rq = at->request;

	node_record_store_answer(at->node, r, a);
	if (rq != NULL)
		g_ptr_array_remove_fast(rq->in_flight, at);
	g_free(at);
	return rq;
}

/* An attempt has failed: waits for others, sends another one or gives up. */
static void
on_failed(request_t *rq, attempt_failure_t f)
{
	attempts_failed(&rq->attempts, f, node_now_ms(rq->node));
	proceed(rq);
}

static void
on_write_failed(request_t *rq, store_result_t r)
{
	on_failed(
	    rq, r == STORE_IN_DOUBT ? ATTEMPT_UNANSWERED : ATTEMPT_REFUSED);
}

/* The row of a job with this key suffix, or NULL. */
static const store_row_t *
find_row(const store_answer_t *ans, const char *id, const char *suffix)
{
	g_autofree char *key = g_strconcat(id, suffix, NULL);

	for (size_t i = 0; i < ans->nrows; i++)
		if (strcmp(ans->rows[i].key, key) == 0 &&
		    ans->rows[i].bytes != NULL)
			return &ans->rows[i];
	return NULL;
}

/* Rejects a submission that has no row: it was never accepted. */
static void
finish_rejected(request_t *rq)
{
	bool over_rate = rq->rejection.reason == SCHED_OVER_RATE;
	const char *why = over_rate ?
	    "more jobs than the rate of the customer" :
	    "it would end too late";

	log_event(EVT_REFUSED, "id=%s queue=%s retry_after_ms=%d why=\"%s\"",
	    rq->id, rq->queue, rq->rejection.retry_after_ms, why);
	finish(rq, over_rate ? 429 : 503, why);
}

/* Ends a request for a job of another customer. */
static void
finish_foreign(request_t *rq)
{
	bool submitted =
	    rq->kind == REQUEST_SUBMIT || rq->kind == REQUEST_REJECT;

	rq->node->stats.foreign++;
	log_rejected_call(
	    rq->node, rq->queue, rq->id, "a job of another customer");
	/* To a read or a cancel the job must look like one that isn't there. */
	finish(rq, submitted ? 409 : 410,
	    submitted ? "{\"error\":\"the id is in use\"}" : NO_SUCH_JOB);
}

static void
finish_damaged(request_t *rq, const char *key, const char *why)
{
	log_event(EVT_BAD_ROW, "table=jobs key=%s why=\"%s\"", key, why);
	finish(rq, 500, "{\"error\":\"the job's stored state is damaged\"}");
}

/*
 * Whether the request may go on for the job of this row.  If not, the request
 * has been ended.
 */
static bool
check_access(request_t *rq, const store_row_t *row)
{
	Sched__Job *job = sched__job__unpack(NULL, row->nbytes, row->bytes);
	bool allowed =
	    job != NULL && auth_may_access(rq->customer, job->customer);

	if (job == NULL)
		finish_damaged(rq, row->key, "not a job");
	else if (!allowed)
		finish_foreign(rq);
	if (job != NULL)
		sched__job__free_unpacked(job, NULL);
	return allowed;
}

/* The row of a submitted job exists: by another attempt, or from earlier. */
static void
on_submit_conflict(request_t *rq, const store_answer_t *ans)
{
	const store_row_t *row = find_row(ans, rq->id, "");

	if (row == NULL)
		/* The answer doesn't tell whose job it is. */
		read_job_rows(attempt_new(rq));
	else if (check_access(rq, row))
		finish_accepted(rq, rq->attempts.sent == 1);
}

static void
on_submit_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);

	if (rq == NULL)
		return;
	if (r == STORE_OK)
		finish_accepted(rq, false);
	else if (r == STORE_CONFLICT)
		on_submit_conflict(rq, ans);
	else
		on_write_failed(rq, r);
}

static void
on_cancel_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);

	if (rq == NULL)
		return;
	if (r != STORE_OK && r != STORE_CONFLICT) {
		on_write_failed(rq, r);
		return;
	}
	rq->node->stats.cancels++;
	log_event(EVT_CANCEL_STORED, "id=%s queue=%s tries=%d", rq->id,
	    rq->queue, rq->attempts.sent);
	finish(rq, 200, "{}");
}

/* Calls of an attempt wait as long as the caller does. */
static int32_t
call_timeout_ms(const request_t *rq)
{
	return (int32_t)MAX(1, reply_deadline_ms(rq) - node_now_ms(rq->node));
}

/* Writes a row of the job, which must not exist yet. */
static void
write_row(attempt_t *at, const char *key, const uint8_t *bytes, size_t n,
    store_answer_fn fn)
{
	request_t *rq = at->request;
	char partition[STORE_NAME_BYTES];
	store_put_t put = { key, bytes, n };
	store_tx_t tx = { .table = JOB_TABLE,
		.partition = partition,
		.if_key = key,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = call_timeout_ms(rq) };

	job_partition(rq->id, partition);
	store_tx(rq->node->platform, &tx, fn, at);
}

static attempt_t *
attempt_new(request_t *rq)
{
	attempt_t *at = g_new0(attempt_t, 1);

	at->node = rq->node;
	at->request = rq;
	g_ptr_array_add(rq->in_flight, at);
	return at;
}

static void
finish_state(request_t *rq, Sched__State st)
{
	g_autofree char *body = platform_job_state_body(st);

	rq->node->stats.state_reads++;
	finish(rq, 200, body);
}

/* The rows that callers wrote: the job's, and that of a cancel request. */
static void
on_job_rows(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);
	const store_row_t *row;
	g_autofree char *key = NULL;

	if (rq == NULL)
		return;
	row = find_row(ans, rq->id, "");
	if (r != STORE_OK || (row == NULL && rq->kind == REQUEST_SUBMIT)) {
		/*
		 * A read that failed leaves nothing in doubt, but a submission
		 * has met a row that may be its own.
		 */
		on_failed(rq,
		    rq->kind == REQUEST_SUBMIT ? ATTEMPT_UNANSWERED :
						 ATTEMPT_REFUSED);
		return;
	}
	key = g_strconcat(rq->id, SCHED_KEY_CANCEL, NULL);
	if (row == NULL && rq->kind == REQUEST_REJECT) {
		finish_rejected(rq);
		return;
	}
	if (row == NULL) {
		rq->node->stats.state_unknown_job++;
		finish(rq, 410, NO_SUCH_JOB);
		return;
	}
	if (!check_access(rq, row))
		return;
	if (rq->kind == REQUEST_SUBMIT)
		finish_accepted(rq, rq->attempts.sent == 1);
	else if (rq->kind == REQUEST_REJECT)
		finish_accepted(rq, true);
	else if (rq->kind == REQUEST_CANCEL)
		write_row(attempt_new(rq), key, (const uint8_t *)"c", 1,
		    on_cancel_written);
	else
		finish_state(rq,
		    find_row(ans, rq->id, SCHED_KEY_CANCEL) != NULL ?
			SCHED__STATE__CANCELLED :
			SCHED__STATE__PENDING);
}

static void
read_job_rows(attempt_t *at)
{
	request_t *rq = at->request;
	/* Keys are the id, and the id, '.' and a letter; '/' follows '.'. */
	g_autofree char *to = g_strconcat(rq->id, "/", NULL);
	char partition[STORE_NAME_BYTES];
	store_scan_t scan = { .table = JOB_TABLE,
		.partition = partition,
		.from = rq->id,
		.to = to,
		.limit = 2,
		.timeout_ms = call_timeout_ms(rq) };

	job_partition(rq->id, partition);
	store_scan(rq->node->platform, &scan, on_job_rows, at);
}

/* The row that owners write; a job that has not started may have none. */
static void
on_progress_row(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);
	const store_row_t *row;
	Sched__Progress *p = NULL;

	if (rq == NULL)
		return;
	if (r != STORE_OK) {
		on_failed(rq, ATTEMPT_REFUSED);
		return;
	}
	row = find_row(ans, rq->id, SCHED_KEY_PROGRESS);
	if (row != NULL)
		p = sched_progress_unpack(row->bytes, row->nbytes);
	if (row != NULL && p == NULL)
		finish_damaged(rq, row->key, "not the progress of a job");
	else if (p != NULL && !auth_may_access(rq->customer, p->customer))
		finish_foreign(rq);
	else if (p == NULL || p->not_started)
		read_job_rows(attempt_new(rq));
	else
		finish_state(rq, p->state);
	if (p != NULL)
		sched__progress__free_unpacked(p, NULL);
}

static void
read_progress(attempt_t *at)
{
	request_t *rq = at->request;
	g_autofree char *key = g_strconcat(rq->id, SCHED_KEY_PROGRESS, NULL);
	g_autofree char *to = g_strconcat(key, "!", NULL);
	store_scan_t scan = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.from = key,
		.to = to,
		.limit = 1,
		.timeout_ms = call_timeout_ms(rq) };

	store_scan(rq->node->platform, &scan, on_progress_row, at);
}

static void
send_attempt(request_t *rq)
{
	attempt_t *at = attempt_new(rq);

	if (rq->kind == REQUEST_SUBMIT)
		write_row(
		    at, rq->id, rq->row->data, rq->row->len, on_submit_written);
	else if (rq->kind == REQUEST_CANCEL || rq->kind == REQUEST_REJECT)
		read_job_rows(at);
	else
		read_progress(at);
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
		.deadline_ms = reply_deadline_ms(rq),
		.store_silent_ms = now - rq->node->store_answered_ms };
	attempts_step_t step;
	int32_t wait_ms;

	step = attempts_next(&rq->attempts, &t, &wait_ms);
	if (step == ATTEMPTS_GIVE_UP) {
		give_up(rq);
		return;
	}
	if (step == ATTEMPTS_SEND)
		send_attempt(rq);
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
	proceed(rq);
}
