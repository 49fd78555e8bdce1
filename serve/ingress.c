/*
 * Requests of callers: a job is handed in, looked up or cancelled, or the
 * jobs of a queue are counted.  A job is accepted once its row is stored.
 *
 * A write without an answer may be applied later, so a hand-in is refused
 * only when no write of it is in doubt.
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

#define DEADLINE_MS	  3000 /* of a caller that names none */
#define DEADLINE_SPARE_MS 150  /* kept for the way of the answer */
#define WRITE_MS	  700  /* for the answer to one write */
#define RETRY_MS	  60   /* between two tries, doubled each time */
#define RETRY_MAX_MS	  400
#define REFUSED_MS	  500  /* of refusals by the store before we refuse */
#define STORE_KNOWN_MS	  1300 /* of silence; it is asked twice a second */
#define AGAIN_S		  1    /* when a refused caller is to come back */

typedef enum { CALL_ACCEPT, CALL_CANCEL, CALL_STATE } call_kind_t;

typedef struct {
	node_t *node;
	server_req_t *req;
	call_kind_t kind;
	char id[SCHED_JOB_ID_BYTES + 1];
	const char *queue; /* interned */
	GByteArray *row;
	int64_t begun_ms;
	int64_t until_ms;
	int64_t first_refused_ms;
	bool in_doubt; /* a write may be applied yet */
	int32_t tries;
	uv_timer_t timer;
} ask_t;

static void step(ask_t *a);

/* When a call is answered at the latest: before a graceful stop is over. */
static int64_t
answer_by(const ask_t *a)
{
	return MIN(
	    a->until_ms, node_stop_deadline_ms(a->node) - DEADLINE_SPARE_MS);
}

static void
on_timer_closed(uv_handle_t *h)
{
	ask_t *a = h->data;

	if (a->row != NULL)
		g_byte_array_unref(a->row);
	g_free(a);
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
refuse(server_req_t *r, int32_t status, const char *why)
{
	g_autofree char *headers =
	    g_strdup_printf("retry-after: %d\r\n", AGAIN_S);
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}", why);

	reply_text(
	    r, status, status == 429 || status == 503 ? headers : "", body);
}

static void
count_latency(node_t *n, int64_t ms)
{
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(n->stats.accept_latency) && ms >= (1 << i))
		i++;
	n->stats.accept_latency[i]++;
}

/* Answers and forgets a call. */
static void
finish(ask_t *a, int32_t status, const char *body)
{
	node_t *n = a->node;

	n->open_requests--;
	if (status == 503 || status == 504)
		refuse(a->req, status, body);
	else
		reply_text(a->req, status, "", body);
	if (a->kind == CALL_ACCEPT)
		count_latency(n, node_now_ms(n) - a->begun_ms);
	uv_close((uv_handle_t *)&a->timer, on_timer_closed);
}

static void
accepted(ask_t *a, bool again)
{
	node_t *n = a->node;

	if (again)
		n->stats.resubmitted++;
	else
		n->stats.accepted++;
	log_event(EVT_ACCEPTED, "id=%s queue=%s again=%d tries=%d ms=%" PRId64,
	    a->id, a->queue, again, a->tries, node_now_ms(n) - a->begun_ms);
	finish(a, 200, "{}");
}

static void
give_up(ask_t *a, const char *why)
{
	node_t *n = a->node;

	if (a->in_doubt && a->kind == CALL_ACCEPT) {
		n->stats.in_doubt++;
		log_event(EVT_UNSETTLED, "id=%s queue=%s tries=%d why=\"%s\"",
		    a->id, a->queue, a->tries, why);
		finish(a, 504, why);
		return;
	}
	if (a->kind == CALL_STATE)
		n->stats.state_unreadable++;
	else
		n->stats.refused_store++;
	log_event(a->kind == CALL_STATE ? EVT_STATE_UNREADABLE : EVT_REFUSED,
	    "id=%s queue=%s tries=%d store_age=%" PRId64 " why=\"%s\"", a->id,
	    a->queue, a->tries, node_now_ms(n) - n->store_answered_ms, why);
	finish(a, 503, why);
}

static void
on_timer(uv_timer_t *t)
{
	step(t->data);
}

/* Tries again after a while, or gives up in time. */
static void
again(ask_t *a, store_result_t r)
{
	int64_t now = node_now_ms(a->node);
	int32_t wait = MIN(RETRY_MAX_MS, RETRY_MS << MIN(a->tries, 4));

	if (r == STORE_UNKNOWN && a->kind != CALL_STATE)
		a->in_doubt = true;
	if (a->first_refused_ms == 0)
		a->first_refused_ms = now;
	if (!a->in_doubt && now - a->first_refused_ms >= REFUSED_MS) {
		give_up(a, "the store does not answer");
		return;
	}
	if (now + wait >= answer_by(a)) {
		give_up(a, "no answer of the store in time");
		return;
	}
	uv_timer_start(&a->timer, on_timer, (uint64_t)wait, 0);
}

/* Rows of a job in an answer. */
static const store_row_t *
row_named(const store_answer_t *ans, const char *id, const char *kind)
{
	g_autofree char *key = g_strconcat(id, kind, NULL);

	for (size_t i = 0; i < ans->nrows; i++)
		if (strcmp(ans->rows[i].key, key) == 0 &&
		    ans->rows[i].bytes != NULL)
			return &ans->rows[i];
	return NULL;
}

static void
on_accept(void *ctx, store_result_t r, const store_answer_t *ans)
{
	ask_t *a = ctx;

	(void)ans;
	node_record_store_answer(a->node, r);
	if (r == STORE_OK)
		accepted(a, false);
	else if (r == STORE_CONFLICT) /* the row is there: ours, or earlier */
		accepted(a, !a->in_doubt);
	else
		again(a, r);
}

static void
on_cancel(void *ctx, store_result_t r, const store_answer_t *ans)
{
	ask_t *a = ctx;

	(void)ans;
	node_record_store_answer(a->node, r);
	if (r != STORE_OK && r != STORE_CONFLICT) {
		again(a, r);
		return;
	}
	a->node->stats.cancels++;
	log_event(EVT_CANCEL_STORED, "id=%s queue=%s tries=%d", a->id, a->queue,
	    a->tries);
	finish(a, 200, "{}");
}

static int32_t
time_left(const ask_t *a)
{
	return (int32_t)CLAMP(answer_by(a) - node_now_ms(a->node), 1, WRITE_MS);
}

static void
put_row(ask_t *a, const char *key, const uint8_t *bytes, size_t n,
    store_answer_fn fn)
{
	char part[STORE_NAME_BYTES];
	store_put_t put = { key, bytes, n };
	store_tx_t tx = { .table = JOB_TABLE,
		.partition = part,
		.if_key = key,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = time_left(a) };

	job_partition(a->id, part);
	store_tx(a->node->platform, &tx, fn, a);
}

static void
answer_state(ask_t *a, Sched__State st)
{
	g_autofree char *body = platform_job_state_body(st);

	a->node->stats.state_reads++;
	finish(a, 200, body);
}

/* The rows that callers wrote: the job, and whether it was cancelled. */
static void
on_job_rows(void *ctx, store_result_t r, const store_answer_t *ans)
{
	ask_t *a = ctx;
	g_autofree char *key = g_strconcat(a->id, SCHED_KEY_CANCEL, NULL);

	node_record_store_answer(a->node, r);
	if (r != STORE_OK) {
		again(a, STORE_REFUSED);
		return;
	}
	if (row_named(ans, a->id, "") == NULL) {
		a->node->stats.state_unknown_job++;
		finish(a, 410, "{\"error\":\"no such job\"}");
	} else if (a->kind == CALL_CANCEL)
		put_row(a, key, (const uint8_t *)"c", 1, on_cancel);
	else
		answer_state(a,
		    row_named(ans, a->id, SCHED_KEY_CANCEL) != NULL ?
			SCHED__STATE__CANCELLED :
			SCHED__STATE__PENDING);
}

static void
read_job(ask_t *a)
{
	/* Both keys: the id, and the id with a '.' and a letter. */
	g_autofree char *to = g_strconcat(a->id, "/", NULL);
	char part[STORE_NAME_BYTES];
	store_scan_t g = { .table = JOB_TABLE,
		.partition = part,
		.from = a->id,
		.to = to,
		.limit = 2,
		.timeout_ms = time_left(a) };

	job_partition(a->id, part);
	store_scan(a->node->platform, &g, on_job_rows, a);
}

/* The row that owners write; none before a job has got anywhere. */
static void
on_run_row(void *ctx, store_result_t r, const store_answer_t *ans)
{
	ask_t *a = ctx;
	const store_row_t *row = row_named(ans, a->id, SCHED_KEY_PROGRESS);
	Sched__Progress *p = NULL;

	node_record_store_answer(a->node, r);
	if (r != STORE_OK) {
		again(a, STORE_REFUSED);
		return;
	}
	if (row != NULL)
		p = sched__progress__unpack(NULL, row->nbytes, row->bytes);
	if (p == NULL) {
		read_job(a);
		return;
	}
	answer_state(a, p->state);
	sched__progress__free_unpacked(p, NULL);
}

static void
read_run(ask_t *a)
{
	g_autofree char *key = g_strconcat(a->id, SCHED_KEY_PROGRESS, NULL);
	g_autofree char *to = g_strconcat(key, "!", NULL);
	store_scan_t g = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.from = key,
		.to = to,
		.limit = 1,
		.timeout_ms = time_left(a) };

	store_scan(a->node->platform, &g, on_run_row, a);
}

static void
step(ask_t *a)
{
	a->tries++;
	if (a->kind == CALL_ACCEPT)
		put_row(a, a->id, a->row->data, a->row->len, on_accept);
	else if (a->kind == CALL_CANCEL)
		read_job(a);
	else
		read_run(a);
}

static int32_t
deadline_of(const server_req_t *r)
{
	g_autofree char *s = server_header(r, platform_deadline_header);
	int64_t ms = 0;

	if (s == NULL || !g_ascii_string_to_signed(s, 10, 1, 600000, &ms, NULL))
		return DEADLINE_MS;
	return (int32_t)ms;
}

static GByteArray *
job_row(node_t *n, server_req_t *r, const platform_queue_t *q, GError **err)
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
	job->queue = strdup(q->name);
	job->service = strdup(q->service);
	job->priority = q->priority;
	job->max_attempts = q->max_attempts;
	job->stretch = q->stretch;
	job->target_ms = q->target_ms;
	job->accepted_ms = node_wall_ms(n);
	b = g_byte_array_new();
	g_byte_array_set_size(b, (guint)sched__job__get_packed_size(job));
	sched__job__pack(job, b->data);
	sched__job__free_unpacked(job, NULL);
	return b;
}

/* The store is known not to answer: nothing is tried, nothing is in doubt. */
static void
refuse_now(node_t *n, server_req_t *r, call_kind_t kind, const route_match_t *m,
    int64_t silent_ms)
{
	if (kind == CALL_STATE)
		n->stats.state_unreadable++;
	else
		n->stats.refused_store++;
	log_event(kind == CALL_STATE ? EVT_STATE_UNREADABLE : EVT_REFUSED,
	    "id=%s queue=%s tries=0 store_age=%" PRId64
	    " why=\"the store does not answer\"",
	    m->id, m->queue->name, silent_ms);
	refuse(r, 503, "the store does not answer");
}

static void
begin(node_t *n, server_req_t *r, call_kind_t kind, const route_match_t *m,
    GByteArray *row)
{
	int64_t silent = node_now_ms(n) - n->store_answered_ms;
	int32_t ms = deadline_of(r);
	ask_t *a;

	if (silent > STORE_KNOWN_MS) {
		refuse_now(n, r, kind, m, silent);
		if (row != NULL)
			g_byte_array_unref(row);
		return;
	}
	a = g_new0(ask_t, 1);

	a->node = n;
	a->req = r;
	a->kind = kind;
	g_strlcpy(a->id, m->id, sizeof(a->id));
	a->queue = m->queue->name;
	a->row = row;
	a->begun_ms = node_now_ms(n);
	a->until_ms = a->begun_ms + MAX(ms - DEADLINE_SPARE_MS, ms / 2);
	uv_timer_init(n->loop, &a->timer);
	a->timer.data = a;
	n->open_requests++;
	step(a);
}

static void
hand_in(node_t *n, server_req_t *r, const route_match_t *m)
{
	g_autoptr(GError) err = NULL;
	GByteArray *row = job_row(n, r, m->queue, &err);

	if (row == NULL) {
		n->stats.refused_malformed++;
		log_event(EVT_REFUSED, "id=%s queue=%s why=\"%s\"", m->id,
		    m->queue->name, err->message);
		reply_text(r, 400, "", "{\"error\":\"not a job\"}");
		return;
	}
	begin(n, r, CALL_ACCEPT, m, row);
}

static void
count(node_t *n, server_req_t *r, const route_match_t *m)
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
		refuse(r, 503, "no tables yet");
		return;
	}
	if (route_find(n->config, r->host, r->path, &m) != ROUTE_FOUND) {
		n->stats.no_route++;
		reply_text(r, 404, "", "{\"error\":\"no such queue\"}");
		return;
	}
	if (m.id[0] == '\0' && strcmp(r->method, "GET") == 0)
		count(n, r, &m);
	else if (m.id[0] != '\0' && strcmp(r->method, "POST") == 0)
		hand_in(n, r, &m);
	else if (m.id[0] != '\0' && strcmp(r->method, "GET") == 0)
		begin(n, r, CALL_STATE, &m, NULL);
	else if (m.id[0] != '\0' && strcmp(r->method, "DELETE") == 0)
		begin(n, r, CALL_CANCEL, &m, NULL);
	else
		reply_text(r, 405, "", "{\"error\":\"no such method\"}");
}
