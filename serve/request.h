/*
 * Requests of callers in progress, for the files that serve them: request.c begins and
 * ends them, request_call.c calls the store for them, request_answer.c answers them.
 *
 * Include what serve.h, attempts.h and job_rows.h need, and these, first.
 */
#ifndef REQUEST_H
#define REQUEST_H

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

/* A request is answered by its deadline, and before a graceful stop ends. */
int64_t request_reply_deadline_ms(const request_t *rq);
/* An attempt has failed: waits for others, sends another one or gives up. */
void request_attempt_failed(request_t *rq, attempt_failure_t f);
/*
 * Answers a request and frees it; answers to its attempts that are still to
 * come are dropped.  For 429, 503 and 504 body is the error's text.
 */
void request_finish(request_t *rq, int32_t status, const char *body);

/* Calls the store for a new attempt. */
void request_send_attempt(request_t *rq);

/* Each of these answers a request and frees it. */
/* resubmitted: the row was stored before this request. */
void request_answer_accepted(request_t *rq, bool resubmitted);
/* A submission that has no row: it was never accepted. */
void request_answer_rejected(request_t *rq);
/* A submission that was refused elsewhere while it was tried here. */
void request_answer_refused(request_t *rq);
/* A submission of a job that was cancelled before it was stored. */
void request_answer_cancelled(request_t *rq, const store_row_t *cancel);
/* A read or a cancel of a job that isn't there. */
void request_answer_gone(request_t *rq);
/* A request for a job, or by an id, of another customer. */
void request_answer_foreign(request_t *rq);
/* Of a row that can't be read. */
void request_answer_damaged(request_t *rq, const char *key, const char *why);
void request_answer_state(request_t *rq, Sched__State st);
/*
 * Whether the request may go on for the job of this row.  If not, the request
 * has been ended.
 */
bool request_check_access(request_t *rq, const store_row_t *row);

#endif
