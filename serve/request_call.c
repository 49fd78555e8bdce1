/*
 * Calls to the store for requests of callers, and what their answers mean; see
 * request.h.
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

static void read_job_rows(attempt_t *at);
static void write_submission(attempt_t *at);
static void write_refusal(attempt_t *at);

static attempt_t *
attempt_new(request_t *rq)
{
	attempt_t *at = g_new0(attempt_t, 1);

	at->node = rq->node;
	at->request = rq;
	g_ptr_array_add(rq->in_flight, at);
	return at;
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

static void
on_write_failed(request_t *rq, store_result_t r)
{
	request_attempt_failed(
	    rq, r == STORE_IN_DOUBT ? ATTEMPT_UNANSWERED : ATTEMPT_REFUSED);
}

/*
 * A refusal was written that the request had not read.  One that has tried to submit
 * the job before may be the call that was refused elsewhere, and does not run either.
 */
static void
on_other_refusal(request_t *rq, int64_t refusal)
{
	rq->refusal = refusal;
	if (rq->kind == REQUEST_REJECT)
		write_refusal(attempt_new(rq));
	else if (rq->attempts.sent == 1)
		write_submission(attempt_new(rq));
	else
		request_answer_refused(rq);
}

/*
 * A row keeps a submission or a refusal from being written: the job's own, by another
 * attempt or from earlier, a cancel, or another refusal than the one that was read.
 */
static void
on_write_conflict(request_t *rq, const store_answer_t *ans)
{
	job_rows_t rows;

	job_rows_find(ans, rq->id, &rows);
	if (rows.job != NULL) {
		if (request_check_access(rq, rows.job))
			request_answer_accepted(rq,
			    rq->kind == REQUEST_REJECT ||
				rq->attempts.sent == 1);
	} else if (rows.cancel != NULL)
		request_answer_cancelled(rq, rows.cancel);
	else if (rows.refusal != 0 && rows.refusal != rq->refusal)
		on_other_refusal(rq, rows.refusal);
	else
		/* The answer doesn't tell which one it is. */
		read_job_rows(attempt_new(rq));
}

/* Once a refusal is stored, no submission that is on its way can be. */
static void
on_row_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = attempt_end(ctx, r, ans);

	if (rq == NULL)
		return;
	if (r == STORE_CONFLICT)
		on_write_conflict(rq, ans);
	else if (r != STORE_OK)
		on_write_failed(rq, r);
	else if (rq->kind == REQUEST_REJECT)
		request_answer_rejected(rq);
	else
		request_answer_accepted(rq, false);
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
	request_finish(rq, 200, "{}");
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
	request_answer_gone(rq);
}

/* Calls of an attempt wait as long as the caller does. */
static int32_t
call_timeout_ms(const request_t *rq)
{
	return (int32_t)MAX(
	    1, request_reply_deadline_ms(rq) - node_now_ms(rq->node));
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
	write_row(at, JOB_ROW_SUBMITTED, on_row_written);
}

static void
write_refusal(attempt_t *at)
{
	write_row(at, JOB_ROW_REFUSED, on_row_written);
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
	request_finish(rq, 503, "too many cancels of jobs that aren't there");
}

/* The rows of callers were read, and the job's own isn't among them. */
static void
on_no_job(request_t *rq, const job_rows_t *rows)
{
	if (rq->kind == REQUEST_STATE)
		request_answer_gone(rq);
	else if (rq->kind == REQUEST_CANCEL && rows->cancel != NULL)
		request_answer_gone(rq);
	else if (rq->kind == REQUEST_CANCEL)
		cancel_absent(rq);
	else if (rows->cancel != NULL)
		request_answer_cancelled(rq, rows->cancel);
	else if (rq->kind == REQUEST_REJECT)
		request_answer_rejected(rq);
	else if (rows->refusal != rq->refusal)
		on_other_refusal(rq, rows->refusal);
	else
		/* It has met a row that may have been its own. */
		request_attempt_failed(rq, ATTEMPT_UNANSWERED);
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
		request_attempt_failed(rq,
		    rq->kind == REQUEST_SUBMIT ? ATTEMPT_UNANSWERED :
						 ATTEMPT_REFUSED);
		return;
	}
	job_rows_find(ans, rq->id, &rows);
	if (rows.job == NULL) {
		on_no_job(rq, &rows);
		return;
	}
	if (!request_check_access(rq, rows.job))
		return;
	if (rq->kind == REQUEST_SUBMIT)
		request_answer_accepted(rq, rq->attempts.sent == 1);
	else if (rq->kind == REQUEST_REJECT)
		request_answer_accepted(rq, true);
	else if (rq->kind == REQUEST_CANCEL)
		write_row(
		    attempt_new(rq), JOB_ROW_CANCELLED, on_cancel_written);
	else
		request_answer_state(rq,
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
		request_attempt_failed(rq, ATTEMPT_REFUSED);
		return;
	}
	/* Nothing but this row is in the range that was read. */
	if (ans->nrows > 0 && ans->rows[0].bytes != NULL)
		row = &ans->rows[0];
	if (row != NULL)
		p = sched_progress_unpack(row->bytes, row->nbytes);
	if (row != NULL && p == NULL)
		request_answer_damaged(
		    rq, row->key, "not the progress of a job");
	else if (p != NULL && !auth_may_access(rq->customer, p->customer))
		request_answer_foreign(rq);
	else if (p == NULL || p->not_started)
		read_job_rows(attempt_new(rq));
	else
		request_answer_state(rq, p->state);
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

void
request_send_attempt(request_t *rq)
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
