/*
 * Requests of callers: finds the queue, checks what is asked for, and answers
 * what needs no call to the store; request.c handles the rest.
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

#define DEFAULT_TIMEOUT_MS 3000 /* for a request that names none */
/*
 * What is kept for a submission beside its request, by the length of its row: the row
 * and three calls to the store with it as base64 text.
 */
#define KEPT_PER_ROW_BYTE 5
/* A call of a queue that old tables have waits so long for newer ones. */
#define HOLD_KNOWN_MS 500

int32_t
request_timeout_ms(const server_req_t *r)
{
	g_autofree char *s = server_header(r, platform_deadline_header);
	int64_t ms = 0;

	if (s == NULL || !g_ascii_string_to_signed(s, 10, 1, 600000, &ms, NULL))
		return DEFAULT_TIMEOUT_MS;
	return (int32_t)ms;
}

void
reply_text(
    server_req_t *r, int32_t status, const char *headers, const char *body)
{
	g_autofree char *all =
	    g_strconcat("content-type: application/json\r\n", headers, NULL);

	server_reply(r, status, all, body, strlen(body));
}

void
reply_error(
    server_req_t *r, int32_t status, const char *why, int32_t retry_after_ms)
{
	int32_t retry_after_s =
	    MAX(1, retry_after_ms / 1000 + (retry_after_ms % 1000 > 0));
	g_autofree char *headers =
	    g_strdup_printf("retry-after: %d\r\n", retry_after_s);
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}", why);

	reply_text(
	    r, status, status == 429 || status == 503 ? headers : "", body);
}

void
log_rejected_call(node_t *n, const char *queue, const char *id, const char *why)
{
	int64_t skipped;

	if (auth_log_due(&n->rejected_log, node_now_ms(n), &skipped))
		log_event(EVT_CALL_REJECTED,
		    "id=%s queue=%s why=\"%s\" skipped=%" PRId64, id, queue,
		    why, skipped);
}

static void
log_unknown_queue(node_t *n, const server_req_t *r)
{
	int64_t now = node_now_ms(n), skipped;

	if (auth_log_due(&n->unknown_log, now, &skipped))
		log_event(EVT_QUEUE_UNKNOWN,
		    "id=%.100s version=%" PRId64 " table_age_ms=%" PRId64
		    " skipped=%" PRId64,
		    r->path, n->config->version, now - n->operators_as_of_ms,
		    skipped);
}

/*
 * Whether a call may wait, with so many bytes kept for it.  If not, it is answered: a
 * submission may repeat one that was accepted, so that nothing is said about it.
 */
static bool
may_wait(node_t *n, server_req_t *r, size_t bytes)
{
	if (server_wait(r, bytes))
		return true;
	n->stats.no_room++;
	reply_error(r, strcmp(r->method, "POST") == 0 ? 504 : 503,
	    "too many calls wait",
	    sched_retry_after_ms(r->path, RETRY_AFTER_MS));
	return false;
}

/*
 * Allows the call, or answers it.  If it is allowed, sets its customer, or NULL
 * if it has none.
 */
static bool
authenticate(node_t *n, server_req_t *r, const route_match_t *m,
    const sched_customer_t **customer)
{
	g_autofree char *key = server_header(r, platform_key_header);
	auth_call_t call = { .config = n->config,
		.queue = m->queue,
		.key = key,
		.table_age_ms = node_now_ms(n) - n->operators_as_of_ms };

	switch (auth_check(&call, customer)) {
	case AUTH_ALLOWED:
		return true;
	case AUTH_UNAUTHORIZED:
		/* Old tables may lack a new key. */
		if (node_tables_old(n))
			break;
		n->stats.unauthorized++;
		log_rejected_call(n, m->queue->name, m->id,
		    key == NULL ? "no key" : "unknown key");
		reply_error(r, 401, "no or unknown key", 0);
		return false;
	case AUTH_STALE:
		break;
	}
	n->stats.auth_stale++;
	log_rejected_call(
	    n, m->queue->name, m->id, "the operators' table is too old");
	reply_error(r, 503, "the keys can't be checked now",
	    sched_retry_after_ms(m->id, RETRY_AFTER_MS));
	return false;
}

/* Completes a job with the settings of its queue and of its customer. */
static void
complete_job(Sched__Job *job, const platform_queue_t *queue,
    const sched_customer_t *customer)
{
	job->queue = strdup(queue->name);
	job->service = strdup(queue->service);
	job->priority = queue->priority;
	job->max_attempts = queue->max_attempts;
	job->stretch = queue->stretch;
	job->target_ms = queue->target_ms;
	job->needs_approval = queue->needs_approval;
	if (customer == NULL)
		return;
	job->customer = strdup(customer->name);
	job->weight = customer->weight;
	job->quota_cpu_milli = customer->quota_cpu_milli;
	job->quota_mem_mb = customer->quota_mem_mb;
	job->quota_gpu = customer->quota_gpu;
}

/* Returns the submitted job; NULL when it is malformed or could never run. */
static Sched__Job *
decode_job(node_t *n, server_req_t *r, const platform_queue_t *queue,
    const sched_customer_t *customer, GError **err)
{
	Sched__Job *job = platform_job_parse(r->body, r->body_bytes, err);
	const char *why;

	if (job == NULL)
		return NULL;
	complete_job(job, queue, customer);
	job->accepted_ms = node_wall_ms(n);
	if (!sched_job_valid(job, &why))
		g_set_error(err, SERVE_ERROR, SERVE_INVALID_JOB, "%s", why);
	else if (!sched_gangs_fit_quota(job, &why))
		g_set_error(err, SERVE_ERROR, SERVE_OVER_QUOTA, "%s", why);
	else
		return job;
	sched__job__free_unpacked(job, NULL);
	return NULL;
}

static GByteArray *
pack_job(const Sched__Job *job)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_set_size(b, (guint)sched__job__get_packed_size(job));
	sched__job__pack(job, b->data);
	return b;
}

/* Answers a submission that is malformed or could never run. */
static void
reply_bad_job(
    node_t *n, server_req_t *r, const route_match_t *m, const GError *err)
{
	bool over_quota = g_error_matches(err, SERVE_ERROR, SERVE_OVER_QUOTA);

	n->stats.refused_malformed++;
	log_event(EVT_REFUSED, "id=%s queue=%s why=\"%s\"", m->id,
	    m->queue->name, err->message);
	reply_error(r, 400, over_quota ? err->message : "not a job", 0);
}

static void
submit_job(node_t *n, const incoming_t *in, const route_match_t *m,
    const sched_customer_t *customer)
{
	g_autoptr(GError) err = NULL;
	Sched__Job *job = decode_job(n, in->req, m->queue, customer, &err);
	const char *name = customer == NULL ? "" : customer->name;
	rejection_t why = { .retry_after_ms = RETRY_AFTER_MS };
	size_t bytes;

	if (job == NULL) {
		reply_bad_job(n, in->req, m, err);
		return;
	}
	bytes = KEPT_PER_ROW_BYTE * sched__job__get_packed_size(job);
	if (!may_wait(n, in->req, bytes)) {
		sched__job__free_unpacked(job, NULL);
		return;
	}
	why.reason = sched_admit(cell_driver_sched(n->cell_driver), m->id, job,
	    node_now_ms(n), &why.retry_after_ms);
	if (why.reason == SCHED_ADMITTED)
		request_begin(n, in, REQUEST_SUBMIT, m, name, pack_job(job));
	else
		request_reject(n, in, m, name, &why);
	sched__job__free_unpacked(job, NULL);
}

static void
reply_waiting_count(node_t *n, server_req_t *r, const route_match_t *m)
{
	int32_t jobs = sched_waiting_jobs(
	    cell_driver_sched(n->cell_driver), m->queue->name, node_now_ms(n));
	g_autofree char *body = NULL;

	n->stats.queue_counts++;
	if (jobs < 0) {
		reply_error(
		    r, 503, "the number is not known now", RETRY_AFTER_MS);
		return;
	}
	body = platform_waiting_count_body(jobs);
	reply_text(r, 200, "", body);
}

/* Handles a call that is allowed. */
static void
serve_call(node_t *n, const incoming_t *in, const route_match_t *m,
    const sched_customer_t *customer)
{
	const char *name = customer == NULL ? "" : customer->name;
	const char *method = in->req->method;
	bool for_job = m->id[0] != '\0';
	bool asks = strcmp(method, "GET") == 0;
	bool cancels = strcmp(method, "DELETE") == 0;

	if (!for_job && asks)
		reply_waiting_count(n, in->req, m);
	else if (for_job && strcmp(method, "POST") == 0)
		submit_job(n, in, m, customer);
	else if (!for_job || (!asks && !cancels))
		reply_text(in->req, 405, "", "{\"error\":\"no such method\"}");
	else if (may_wait(n, in->req, 0))
		request_begin(n, in, asks ? REQUEST_STATE : REQUEST_CANCEL, m,
		    name, NULL);
}

/*
 * Whether a call waits for newer tables, or is answered that it can't: the caller of a queue that old tables have
 * does better to try another entry soon.
 */
static bool
hold(node_t *n, const incoming_t *in, route_result_t found)
{
	int64_t until_ms = request_deadline_ms(in);

	if (in->held || !node_tables_old(n) || n->store_lost)
		return false;
	if (found == ROUTE_FOUND)
		until_ms = MIN(until_ms, in->came_ms + HOLD_KNOWN_MS);
	if (may_wait(n, in->req, 0))
		held_calls_add(n->held_calls, in, until_ms);
	return true;
}

/*
 * Answers a call that the tables are too old for: its queue may be new, removed, of
 * another service or closed to the public.
 */
static void
reply_tables_old(node_t *n, server_req_t *r)
{
	n->stats.tables_old++;
	reply_error(r, 503, "the tables can't be read now",
	    sched_retry_after_ms(r->path, RETRY_AFTER_MS));
}

/* Answers a call for which there is no queue. */
static void
reply_no_queue(node_t *n, server_req_t *r)
{
	n->stats.no_route++;
	log_unknown_queue(n, r);
	reply_text(r, 404, "", "{\"error\":\"no such queue\"}");
}

void
ingress_serve(node_t *n, const incoming_t *in)
{
	const sched_customer_t *customer = NULL;
	server_req_t *r = in->req;
	route_match_t m = { 0 };
	route_result_t found;

	if (n->config == NULL) {
		n->stats.refused_no_config++;
		reply_error(r, 503, "no tables yet", RETRY_AFTER_MS);
		return;
	}
	found = route_find(n->config, r->host, r->path, &m);
	if (hold(n, in, found))
		return;
	if (node_tables_old(n)) {
		reply_tables_old(n, r);
		return;
	}
	if (found != ROUTE_NOT_FOUND && !authenticate(n, r, &m, &customer))
		return;
	if (found != ROUTE_FOUND)
		reply_no_queue(n, r);
	else
		serve_call(n, in, &m, customer);
}

void
ingress_request(void *ctx, server_req_t *r)
{
	node_t *n = ctx;
	incoming_t in = { .req = r, .came_ms = node_now_ms(n) };

	ingress_serve(n, &in);
}
