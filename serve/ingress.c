/*
 * Requests of callers: a job is submitted, its state is read, it is cancelled,
 * or the waiting jobs of a queue are counted.  A job is accepted once
 * its row is stored.
 *
 * A write without an answer may still be applied later, so a submission is
 * refused (503) only when none of its writes is in doubt; otherwise the answer
 * is 504.
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
#include "serve.h"

#define DEFAULT_TIMEOUT_MS 3000 /* for a request that names none */
#define REPLY_RESERVE_MS   150	/* of the timeout, for the answer's way back */
#define ATTEMPT_TIMEOUT_MS 700	/* of one call to the store */
#define BACKOFF_MS	   60	/* doubled once per attempt so far */
#define BACKOFF_MAX_MS	   400
/* After the first failed attempt; not while a write is in doubt. */
#define GIVE_UP_MS 500
/*
 * When the store has not answered for longer, requests are refused at once.
 * The entry calls the store twice a second, so at least two calls have gone
 * unanswered then.
 */
#define REFUSE_AFTER_MS 1300
#define RETRY_AFTER_S	1

typedef enum { REQUEST_SUBMIT, REQUEST_CANCEL, REQUEST_STATE } request_kind_t;

/* A request in progress, which needs calls to the store. */
typedef struct {
	node_t *node;
	server_req_t *req;
	request_kind_t kind;
	char id[SCHED_JOB_ID_BYTES + 1];
	const char *queue; /* interned */
	GByteArray *row;
	int64_t began_ms;
	int64_t deadline_ms;
	int64_t first_failure_ms;
	bool in_doubt; /* a write may still be applied */
	int32_t attempts;
	uv_timer_t timer;
} request_t;

static void start_attempt(request_t *rq);

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

static void
reply_text(
    server_req_t *r, int32_t status, const char *headers, const char *body)
{
	g_autofree char *all =
	    g_strconcat("content-type: application/json\r\n", headers, NULL);

	server_reply(r, status, all, body, strlen(body));
}

static void
reply_error(server_req_t *r, int32_t status, const char *why)
{
	g_autofree char *headers =
	    g_strdup_printf("retry-after: %d\r\n", RETRY_AFTER_S);
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}", why);

	reply_text(
	    r, status, status == 429 || status == 503 ? headers : "", body);
}

static void
record_latency(node_t *n, int64_t ms)
{
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(n->stats.accept_latency) && ms >= (1 << i))
		i++;
	n->stats.accept_latency[i]++;
}

/* Answers a request and frees it; for 503 and 504 body is the error's text. */
static void
finish(request_t *rq, int32_t status, const char *body)
{
	node_t *n = rq->node;

	n->open_requests--;
	if (status == 503 || status == 504)
		reply_error(rq->req, status, body);
	else
		reply_text(rq->req, status, "", body);
	if (rq->kind == REQUEST_SUBMIT)
		record_latency(n, node_now_ms(n) - rq->began_ms);
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
	    rq->id, rq->queue, resubmitted, rq->attempts,
	    node_now_ms(n) - rq->began_ms);
	finish(rq, 200, "{}");
}

/* Answers 504 for a submission in doubt, 503 otherwise. */
static void
give_up(request_t *rq, const char *why)
{
	node_t *n = rq->node;

	if (rq->in_doubt && rq->kind == REQUEST_SUBMIT) {
		n->stats.in_doubt++;
		log_event(EVT_UNSETTLED, "id=%s queue=%s tries=%d why=\"%s\"",
		    rq->id, rq->queue, rq->attempts, why);
		finish(rq, 504, why);
		return;
	}
	if (rq->kind == REQUEST_STATE)
		n->stats.state_unreadable++;
	else
		n->stats.refused_store++;
	log_event(
	    rq->kind == REQUEST_STATE ? EVT_STATE_UNREADABLE : EVT_REFUSED,
	    "id=%s queue=%s tries=%d store_silent_ms=%" PRId64 " why=\"%s\"",
	    rq->id, rq->queue, rq->attempts,
	    node_now_ms(n) - n->store_answered_ms, why);
	finish(rq, 503, why);
}

static void
on_timer(uv_timer_t *t)
{
	start_attempt(t->data);
}

/*
 * Retries after a back-off; gives up when the deadline is too near, or when the
 * store has failed for GIVE_UP_MS without a write in doubt.
 */
static void
retry_later(request_t *rq, store_result_t r)
{
	int64_t now = node_now_ms(rq->node);
	int32_t backoff_ms =
	    MIN(BACKOFF_MAX_MS, BACKOFF_MS << MIN(rq->attempts, 4));

	if (r == STORE_IN_DOUBT && rq->kind != REQUEST_STATE)
		rq->in_doubt = true;
	if (rq->first_failure_ms == 0)
		rq->first_failure_ms = now;
	if (!rq->in_doubt && now - rq->first_failure_ms >= GIVE_UP_MS) {
		give_up(rq, "the store does not answer");
		return;
	}
	if (now + backoff_ms >= reply_deadline_ms(rq)) {
		give_up(rq, "no answer of the store in time");
		return;
	}
	uv_timer_start(&rq->timer, on_timer, (uint64_t)backoff_ms, 0);
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

static void
on_submit_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = ctx;

	(void)ans;
	node_record_store_answer(rq->node, r);
	if (r == STORE_OK)
		finish_accepted(rq, false);
	else if (r == STORE_CONFLICT)
		/* The row exists: by an attempt in doubt, or from earlier. */
		finish_accepted(rq, !rq->in_doubt);
	else
		retry_later(rq, r);
}

static void
on_cancel_written(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = ctx;

	(void)ans;
	node_record_store_answer(rq->node, r);
	if (r != STORE_OK && r != STORE_CONFLICT) {
		retry_later(rq, r);
		return;
	}
	rq->node->stats.cancels++;
	log_event(EVT_CANCEL_STORED, "id=%s queue=%s tries=%d", rq->id,
	    rq->queue, rq->attempts);
	finish(rq, 200, "{}");
}

static int32_t
attempt_timeout_ms(const request_t *rq)
{
	return (int32_t)CLAMP(reply_deadline_ms(rq) - node_now_ms(rq->node), 1,
	    ATTEMPT_TIMEOUT_MS);
}

/* Writes a row of the job, which must not exist yet. */
static void
write_row(request_t *rq, const char *key, const uint8_t *bytes, size_t n,
    store_answer_fn fn)
{
	char partition[STORE_NAME_BYTES];
	store_put_t put = { key, bytes, n };
	store_tx_t tx = { .table = JOB_TABLE,
		.partition = partition,
		.if_key = key,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = attempt_timeout_ms(rq) };

	job_partition(rq->id, partition);
	store_tx(rq->node->platform, &tx, fn, rq);
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
	request_t *rq = ctx;
	g_autofree char *key = g_strconcat(rq->id, SCHED_KEY_CANCEL, NULL);

	node_record_store_answer(rq->node, r);
	if (r != STORE_OK) {
		/* A read that failed leaves nothing in doubt. */
		retry_later(rq, STORE_REFUSED);
		return;
	}
	if (find_row(ans, rq->id, "") == NULL) {
		rq->node->stats.state_unknown_job++;
		finish(rq, 410, "{\"error\":\"no such job\"}");
	} else if (rq->kind == REQUEST_CANCEL)
		write_row(rq, key, (const uint8_t *)"c", 1, on_cancel_written);
	else
		finish_state(rq,
		    find_row(ans, rq->id, SCHED_KEY_CANCEL) != NULL ?
			SCHED__STATE__CANCELLED :
			SCHED__STATE__PENDING);
}

static void
read_job_rows(request_t *rq)
{
	/* Keys are the id, and the id, '.' and a letter; '/' follows '.'. */
	g_autofree char *to = g_strconcat(rq->id, "/", NULL);
	char partition[STORE_NAME_BYTES];
	store_scan_t scan = { .table = JOB_TABLE,
		.partition = partition,
		.from = rq->id,
		.to = to,
		.limit = 2,
		.timeout_ms = attempt_timeout_ms(rq) };

	job_partition(rq->id, partition);
	store_scan(rq->node->platform, &scan, on_job_rows, rq);
}

/* The row that owners write; it does not exist before a job's first change. */
static void
on_progress_row(void *ctx, store_result_t r, const store_answer_t *ans)
{
	request_t *rq = ctx;
	const store_row_t *row = find_row(ans, rq->id, SCHED_KEY_PROGRESS);
	Sched__Progress *p = NULL;

	node_record_store_answer(rq->node, r);
	if (r != STORE_OK) {
		retry_later(rq, STORE_REFUSED);
		return;
	}
	if (row != NULL)
		p = sched__progress__unpack(NULL, row->nbytes, row->bytes);
	if (p == NULL) {
		read_job_rows(rq);
		return;
	}
	finish_state(rq, p->state);
	sched__progress__free_unpacked(p, NULL);
}

static void
read_progress(request_t *rq)
{
	g_autofree char *key = g_strconcat(rq->id, SCHED_KEY_PROGRESS, NULL);
	g_autofree char *to = g_strconcat(key, "!", NULL);
	store_scan_t scan = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.from = key,
		.to = to,
		.limit = 1,
		.timeout_ms = attempt_timeout_ms(rq) };

	store_scan(rq->node->platform, &scan, on_progress_row, rq);
}

static void
start_attempt(request_t *rq)
{
	rq->attempts++;
	if (rq->kind == REQUEST_SUBMIT)
		write_row(
		    rq, rq->id, rq->row->data, rq->row->len, on_submit_written);
	else if (rq->kind == REQUEST_CANCEL)
		read_job_rows(rq);
	else
		read_progress(rq);
}

static int32_t
caller_timeout_ms(const server_req_t *r)
{
	g_autofree char *s = server_header(r, platform_deadline_header);
	int64_t ms = 0;

	if (s == NULL || !g_ascii_string_to_signed(s, 10, 1, 600000, &ms, NULL))
		return DEFAULT_TIMEOUT_MS;
	return (int32_t)ms;
}

/*
 * The row of a submitted job: the caller's job, completed with the settings of
 * its queue.  NULL when the job is malformed or could never run.
 */
static GByteArray *
pack_job(
    node_t *n, server_req_t *r, const platform_queue_t *queue, GError **err)
{
	Sched__Job *job = platform_job_parse(r->body, r->body_bytes, err);
	const char *why;
	GByteArray *b;

	if (job == NULL)
		return NULL;
	if (!sched_job_valid(job, &why)) {
		g_set_error(err, SERVE_ERROR, SERVE_INVALID_JOB, "%s", why);
		sched__job__free_unpacked(job, NULL);
		return NULL;
	}
	job->queue = strdup(queue->name);
	job->service = strdup(queue->service);
	job->priority = queue->priority;
	job->max_attempts = queue->max_attempts;
	job->stretch = queue->stretch;
	job->target_ms = queue->target_ms;
	job->accepted_ms = node_wall_ms(n);
	b = g_byte_array_new();
	g_byte_array_set_size(b, (guint)sched__job__get_packed_size(job));
	sched__job__pack(job, b->data);
	sched__job__free_unpacked(job, NULL);
	return b;
}

/*
 * Refuses a request without a call to the store, which has been silent for too
 * long.  No write was sent, so nothing is in doubt.
 */
static void
refuse_store_silent(node_t *n, server_req_t *r, request_kind_t kind,
    const route_match_t *m, int64_t silent_ms)
{
	if (kind == REQUEST_STATE)
		n->stats.state_unreadable++;
	else
		n->stats.refused_store++;
	log_event(kind == REQUEST_STATE ? EVT_STATE_UNREADABLE : EVT_REFUSED,
	    "id=%s queue=%s tries=0 store_silent_ms=%" PRId64
	    " why=\"the store does not answer\"",
	    m->id, m->queue->name, silent_ms);
	reply_error(r, 503, "the store does not answer");
}

/*
 * Starts a request that needs calls to the store.  Takes ownership of row,
 * which is NULL unless the request is a submission.
 */
static void
begin_request(node_t *n, server_req_t *r, request_kind_t kind,
    const route_match_t *m, GByteArray *row)
{
	int64_t silent_ms = node_now_ms(n) - n->store_answered_ms;
	int32_t timeout_ms = caller_timeout_ms(r);
	request_t *rq;

	if (silent_ms > REFUSE_AFTER_MS) {
		refuse_store_silent(n, r, kind, m, silent_ms);
		if (row != NULL)
			g_byte_array_unref(row);
		return;
	}
	rq = g_new0(request_t, 1);

	rq->node = n;
	rq->req = r;
	rq->kind = kind;
	g_strlcpy(rq->id, m->id, sizeof(rq->id));
	rq->queue = m->queue->name;
	rq->row = row;
	rq->began_ms = node_now_ms(n);
	rq->deadline_ms =
	    rq->began_ms + MAX(timeout_ms - REPLY_RESERVE_MS, timeout_ms / 2);
	uv_timer_init(n->loop, &rq->timer);
	rq->timer.data = rq;
	n->open_requests++;
	start_attempt(rq);
}

static void
submit_job(node_t *n, server_req_t *r, const route_match_t *m)
{
	g_autoptr(GError) err = NULL;
	GByteArray *row = pack_job(n, r, m->queue, &err);

	if (row == NULL) {
		n->stats.refused_malformed++;
		log_event(EVT_REFUSED, "id=%s queue=%s why=\"%s\"", m->id,
		    m->queue->name, err->message);
		reply_text(r, 400, "", "{\"error\":\"not a job\"}");
		return;
	}
	begin_request(n, r, REQUEST_SUBMIT, m, row);
}

static void
reply_waiting_count(node_t *n, server_req_t *r, const route_match_t *m)
{
	g_autofree char *body = platform_waiting_count_body(sched_waiting_jobs(
	    cell_driver_sched(n->cell_driver), m->queue->name));

	n->stats.queue_counts++;
	reply_text(r, 200, "", body);
}

void
ingress_request(void *ctx, server_req_t *r)
{
	node_t *n = ctx;
	route_match_t m;

	if (n->config == NULL) {
		n->stats.refused_no_config++;
		reply_error(r, 503, "no tables yet");
		return;
	}
	if (route_find(n->config, r->host, r->path, &m) != ROUTE_FOUND) {
		n->stats.no_route++;
		reply_text(r, 404, "", "{\"error\":\"no such queue\"}");
		return;
	}
	if (m.id[0] == '\0' && strcmp(r->method, "GET") == 0)
		reply_waiting_count(n, r, &m);
	else if (m.id[0] != '\0' && strcmp(r->method, "POST") == 0)
		submit_job(n, r, &m);
	else if (m.id[0] != '\0' && strcmp(r->method, "GET") == 0)
		begin_request(n, r, REQUEST_STATE, &m, NULL);
	else if (m.id[0] != '\0' && strcmp(r->method, "DELETE") == 0)
		begin_request(n, r, REQUEST_CANCEL, &m, NULL);
	else
		reply_text(r, 405, "", "{\"error\":\"no such method\"}");
}
