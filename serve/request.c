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

#define OUTAGE_RETRY_MAX_MS 8000 /* without the spread over callers */
/* Rows without a job that callers may have an entry write; see job_rows.h. */
#define TOMBSTONES_PER_S 20
#define TOMBSTONES_BURST 200
#define REFUSALS_PER_S	 20
#define REFUSALS_BURST	 100
#define REPLY_RESERVE_MS 150 /* of the timeout, for the answer's way back */
#define NO_SUCH_JOB	 "{\"error\":\"no such job\"}"
#define CANCELLED_BEFORE "{\"error\":\"the job was cancelled\"}"

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
	/* Of REQUEST_REJECT: it is written, so that it stays true. */
	bool writes_refusal;
	int64_t
	    refusal; /* version of the refusal's row as last read; 0: none */
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
static void write_row(attempt_t *at, job_row_kind_t kind, store_answer_fn fn);
static void write_submission(attempt_t *at);
static void write_refusal(attempt_t *at);

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

/* Answers a read or a cancel of a job that isn't there. */
static void
finish_gone(request_t *rq)
{
	rq->node->stats.state_unknown_job++;
	finish(rq, 410, NO_SUCH_JOB);
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

/* Ends a submission of a job that was cancelled before it was stored. */
static void
finish_cancelled_before(request_t *rq, const store_row_t *cancel)
{
	if (!job_rows_cancelled_by(cancel, rq->customer)) {
		finish_foreign(rq);
		return;
	}
	rq->node->stats.cancelled_before++;
	log_event(EVT_REFUSED, "id=%s queue=%s why=\"cancelled before\"",
	    rq->id, rq->queue);
	finish(rq, 410, CANCELLED_BEFORE);
}

/*
 * A row keeps a submission or a refusal from being written: the job's own, by another
 * attempt or from earlier, a cancel, or another refusal than the one that was read.
 */
static void
on_write_conflict(request_t *rq, const store_answer_t *ans)
{
	bool submits = rq->kind == REQUEST_SUBMIT;
	job_rows_t rows;

	job_rows_find(ans, rq->id, &rows);
	if (rows.job != NULL) {
		if (check_access(rq, rows.job))
			finish_accepted(rq, !submits || rq->attempts.sent == 1);
	} else if (rows.cancel != NULL)
		finish_cancelled_before(rq, rows.cancel);
	else if (rows.refusal != 0 && rows.refusal != rq->refusal) {
		rq->refusal = rows.refusal;
		if (submits)
			write_submission(attempt_new(rq));
		else
			write_refusal(attempt_new(rq));
	} else
		/* The answer doesn't tell which one it is. */
		read_job_rows(attempt_new(rq));
}

static void
on_submission_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);

	if (rq == NULL)
		return;
	if (r == STORE_OK)
		finish_accepted(rq, false);
	else if (r == STORE_CONFLICT)
		on_write_conflict(rq, ans);
	else
		on_write_failed(rq, r);
}

/* Once a refusal is stored, no submission that is on its way can be. */
static void
on_refusal_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);

	if (rq == NULL)
		return;
	if (r == STORE_OK)
		finish_rejected(rq);
	else if (r == STORE_CONFLICT)
		on_write_conflict(rq, ans);
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
	log_event(EVT_CANCEL_STORED, "id=%s queue=%s tries=%d job=1", rq->id,
	    rq->queue, rq->attempts.sent);
	finish(rq, 200, "{}");
}

/* A job that isn't there is cancelled for good once its tombstone is stored. */
static void
on_tombstone_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);

	if (rq == NULL)
		return;
	if (r == STORE_CONFLICT) {
		/* The job has come, or another attempt was first. */
		read_job_rows(attempt_new(rq));
		return;
	}
	if (r != STORE_OK) {
		on_write_failed(rq, r);
		return;
	}
	rq->node->stats.tombstones++;
	log_event(EVT_CANCEL_STORED, "id=%s queue=%s tries=%d job=0", rq->id,
	    rq->queue, rq->attempts.sent);
	finish_gone(rq);
}

/* Calls of an attempt wait as long as the caller does. */
static int32_t
call_timeout_ms(const request_t *rq)
{
	return (int32_t)MAX(1, reply_deadline_ms(rq) - node_now_ms(rq->node));
}

static void
write_row(attempt_t *at, job_row_kind_t kind, store_answer_fn fn)
{
	request_t *rq = at->request;
	job_row_write_t w = { .kind = kind,
		.id = rq->id,
		.customer = rq->customer,
		.job = rq->row,
		.refusal = rq->refusal,
		.timeout_ms = call_timeout_ms(rq) };

	job_rows_write(rq->node, &w, fn, at);
}

static void
write_submission(attempt_t *at)
{
	write_row(at, JOB_ROW_SUBMITTED, on_submission_written);
}

static void
write_refusal(attempt_t *at)
{
	write_row(at, JOB_ROW_REFUSED, on_refusal_written);
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

/*
 * There is no job to cancel: writes a tombstone, so that none can come, or refuses
 * while callers have had too many of these written.
 */
static void
cancel_absent(request_t *rq)
{
	if (rate_limit_take(&rq->node->tombstones, node_now_ms(rq->node))) {
		write_row(
		    attempt_new(rq), JOB_ROW_TOMBSTONE, on_tombstone_written);
		return;
	}
	rq->node->stats.tombstones_refused++;
	log_rejected_call(rq->node, rq->queue, rq->id,
	    "too many cancels of jobs that aren't there");
	finish(rq, 503, "too many cancels of jobs that aren't there");
}

/* The rows of callers were read, and the job's own isn't among them. */
static void
on_no_job(request_t *rq, const job_rows_t *rows)
{
	rq->refusal = rows->refusal;
	if (rq->kind == REQUEST_STATE)
		finish_gone(rq);
	else if (rq->kind == REQUEST_CANCEL && rows->cancel != NULL)
		finish_gone(rq);
	else if (rq->kind == REQUEST_CANCEL)
		cancel_absent(rq);
	else if (rows->cancel != NULL)
		finish_cancelled_before(rq, rows->cancel);
	else if (rq->kind == REQUEST_REJECT)
		finish_rejected(rq);
	else
		/* It has met a row that may have been its own. */
		on_failed(rq, ATTEMPT_UNANSWERED);
}

/* The rows that callers wrote: the job's, that of a cancel, and of a refusal. */
static void
on_job_rows(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);
	job_rows_t rows;

	if (rq == NULL)
		return;
	if (r != STORE_OK) {
		/*
		 * A read that failed leaves nothing in doubt, but a submission
		 * has met a row that may be its own.
		 */
		on_failed(rq,
		    rq->kind == REQUEST_SUBMIT ? ATTEMPT_UNANSWERED :
						 ATTEMPT_REFUSED);
		return;
	}
	job_rows_find(ans, rq->id, &rows);
	if (rows.job == NULL) {
		on_no_job(rq, &rows);
		return;
	}
	if (!check_access(rq, rows.job))
		return;
	if (rq->kind == REQUEST_SUBMIT)
		finish_accepted(rq, rq->attempts.sent == 1);
	else if (rq->kind == REQUEST_REJECT)
		finish_accepted(rq, true);
	else if (rq->kind == REQUEST_CANCEL)
		write_row(
		    attempt_new(rq), JOB_ROW_CANCELLED, on_cancel_written);
	else
		finish_state(rq,
		    rows.cancel != NULL ? SCHED__STATE__CANCELLED :
					  SCHED__STATE__PENDING);
}

static void
read_job_rows(attempt_t *at)
{
	request_t *rq = at->request;

	job_rows_read(rq->node, rq->id, call_timeout_ms(rq), on_job_rows, at);
}

/* The row that owners write; a job that has not started may have none. */
static void
on_progress_row(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);
	const store_row_t *row = NULL;
	Sched__Progress *p = NULL;

	if (rq == NULL)
		return;
	if (r != STORE_OK) {
		on_failed(rq, ATTEMPT_REFUSED);
		return;
	}
	/* Nothing but this row is in the range that was read. */
	if (ans->nrows > 0 && ans->rows[0].bytes != NULL)
		row = &ans->rows[0];
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
		write_submission(at);
	else if (rq->kind == REQUEST_REJECT && rq->writes_refusal)
		write_refusal(at);
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
