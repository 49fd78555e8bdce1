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
#include "serve.h"

#define RETRY_AFTER_S 1

void
reply_text(
    server_req_t *r, int32_t status, const char *headers, const char *body)
{
	g_autofree char *all =
	    g_strconcat("content-type: application/json\r\n", headers, NULL);

	server_reply(r, status, all, body, strlen(body));
}

void
reply_error(server_req_t *r, int32_t status, const char *why)
{
	g_autofree char *headers =
	    g_strdup_printf("retry-after: %d\r\n", RETRY_AFTER_S);
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}", why);

	reply_text(
	    r, status, status == 429 || status == 503 ? headers : "", body);
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
	job->queue = strdup(queue->name);
	job->service = strdup(queue->service);
	job->priority = queue->priority;
	job->max_attempts = queue->max_attempts;
	job->stretch = queue->stretch;
	job->target_ms = queue->target_ms;
	job->accepted_ms = node_wall_ms(n);
	if (!sched_job_valid(job, &why) || !sched_gangs_fit_quota(job, &why)) {
		g_set_error(err, SERVE_ERROR, SERVE_INVALID_JOB, "%s", why);
		sched__job__free_unpacked(job, NULL);
		return NULL;
	}
	b = g_byte_array_new();
	g_byte_array_set_size(b, (guint)sched__job__get_packed_size(job));
	sched__job__pack(job, b->data);
	sched__job__free_unpacked(job, NULL);
	return b;
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
	request_begin(n, r, REQUEST_SUBMIT, m, row);
}

static void
reply_waiting_count(node_t *n, server_req_t *r, const route_match_t *m)
{
	int32_t jobs = sched_waiting_jobs(
	    cell_driver_sched(n->cell_driver), m->queue->name, node_now_ms(n));
	g_autofree char *body = NULL;

	n->stats.queue_counts++;
	if (jobs < 0) {
		reply_error(r, 503, "the number is not known now");
		return;
	}
	body = platform_waiting_count_body(jobs);
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
		request_begin(n, r, REQUEST_STATE, &m, NULL);
	else if (m.id[0] != '\0' && strcmp(r->method, "DELETE") == 0)
		request_begin(n, r, REQUEST_CANCEL, &m, NULL);
	else
		reply_text(r, 405, "", "{\"error\":\"no such method\"}");
}
