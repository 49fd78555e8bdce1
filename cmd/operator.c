/*
 * The operators' port: health, metrics, status and jobs.
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
#include "tanagerspool.h"
#include "../proto/proto.h"
#include "../trans/trans.h"
#include "cmd.h"
#include "entry.h"

/* A submit or cancel that waits for the core. */
typedef struct {
	uint64_t id;
	server_req_t *req;
} job_call_t;

static void
reply_text(server_req_t *r, int32_t status, const char *text)
{
	server_reply(
	    r, status, "content-type: text/plain\r\n", text, strlen(text));
}

static void
reply_error(server_req_t *r, int32_t status, const char *why, int32_t retry_ms)
{
	json_t *o =
	    json_pack("{s:s s:i}", "error", why, "retry_after_ms", retry_ms);
	g_autofree char *headers = retry_ms == 0 ?
	    g_strdup("") :
	    g_strdup_printf("retry-after: %d\r\n", (retry_ms + 999) / 1000);
	char *s = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	server_reply(r, status, headers, s, strlen(s));
	free(s);
}

static void
health(entry_t *e, server_req_t *r)
{
	(void)e;
	reply_text(r, 200, "ok\n");
}

static void
ready(entry_t *e, server_req_t *r)
{
	bool ok = ts_core_ready(e->core);

	reply_text(r, ok ? 200 : 503, ok ? "ready\n" : "not ready\n");
}

static void
metrics(entry_t *e, server_req_t *r)
{
	g_autoptr(GString) s = g_string_new(NULL);

	for (int i = 0; i < TS_C_MAX; i++)
		g_string_append_printf(s,
		    "# TYPE tanagerspool_%s_total "
		    "counter\ntanagerspool_%s_total %" PRIu64 "\n",
		    ts_counter_name((ts_counter_t)i),
		    ts_counter_name((ts_counter_t)i),
		    ts_core_counter(e->core, (ts_counter_t)i));
	g_string_append_printf(s,
	    "# TYPE tanagerspool_http_bad_total "
	    "counter\ntanagerspool_http_bad_total %" PRIu64 "\n",
	    server_bad_requests(e->callers) +
		server_bad_requests(e->operators));
	g_string_append_printf(s,
	    "# TYPE tanagerspool_ready gauge\n"
	    "tanagerspool_ready %d\n",
	    ts_core_ready(e->core));
	reply_text(r, 200, s->str);
}

static void
status(entry_t *e, server_req_t *r)
{
	g_autofree char *s = ts_core_status(e->core);

	reply_text(r, 200, s);
}

static job_call_t *
job_call(entry_t *e, server_req_t *r)
{
	job_call_t *j = g_new0(job_call_t, 1);

	j->id = ++e->next_req;
	j->req = r;
	g_hash_table_insert(e->jobs, &j->id, j);
	return j;
}

static void
submit(entry_t *e, server_req_t *r)
{
	g_autoptr(GError) err = NULL;
	json_error_t je;
	json_t *o =
	    json_loadb(r->body, r->body_bytes, JSON_REJECT_DUPLICATES, &je);
	json_t *n = json_object_get(o, "tasks");
	ts_ev_t ev = { .kind = TS_EV_SUBMIT };
	ts_job_t job;

	if (o == NULL || !job_from_json(o, &job, &err)) {
		g_autofree char *why = o == NULL ?
		    g_strdup_printf("line %d: %s", je.line, je.text) :
		    g_strdup(err->message);

		ts_core_counter_inc(e->core, TS_C_BAD_INPUT);
		reply_error(r, 400, why, 0);
		json_decref(o);
		return;
	}
	ev.u.submit.job = &job;
	ev.u.submit.tasks =
	    n == NULL ? 1 : (int32_t)CLAMP(json_integer_value(n), 0, INT32_MAX);
	ev.u.submit.id = job_call(e, r)->id;
	json_decref(o);
	ts_core_input(e->core, &ev, clock_now(&e->clock));
}

static void
cancel(entry_t *e, server_req_t *r)
{
	g_autofree char *id =
	    g_uri_unescape_string(r->path + strlen("/v1/jobs/"), NULL);
	ts_ev_t ev = { .kind = TS_EV_CANCEL };

	if (id == NULL || strlen(id) >= TS_ID_SIZE) {
		ts_core_counter_inc(e->core, TS_C_BAD_INPUT);
		reply_error(r, 400, "bad job id", 0);
		return;
	}
	ev.u.cancel.id = job_call(e, r)->id;
	ev.u.cancel.job = id;
	ts_core_input(e->core, &ev, clock_now(&e->clock));
}

void
operator_job_reply(entry_t *e, const ts_act_t *a)
{
	job_call_t *j = g_hash_table_lookup(e->jobs, &a->u.job.id);
	json_t *o;
	char *s;

	if (j == NULL)
		return;
	if (a->u.job.error != NULL)
		reply_error(j->req, a->u.job.retry_after_ms > 0 ? 503 : 422,
		    a->u.job.error, a->u.job.retry_after_ms);
	else {
		o = json_pack("{s:s}", "id", a->u.job.job);
		s = json_dumps(o, JSON_COMPACT);
		json_decref(o);
		server_reply(j->req, 200, "", s, strlen(s));
		free(s);
	}
	g_hash_table_remove(e->jobs, &j->id);
}

typedef struct {
	const char *method;
	const char *path; /* a prefix if it ends in / */
	bool open;	  /* needs no token */
	void (*run)(entry_t *e, server_req_t *r);
} endpoint_t;

static const endpoint_t endpoints[] = {
	{ "GET", "/healthz", true, health },
	{ "GET", "/readyz", true, ready },
	{ "GET", "/metrics", true, metrics },
	{ "GET", "/status", false, status },
	{ "POST", "/v1/jobs", false, submit },
	{ "DELETE", "/v1/jobs/", false, cancel },
};

static bool
matches(const endpoint_t *p, const server_req_t *r)
{
	if (strcmp(p->method, r->method) != 0)
		return false;
	if (g_str_has_suffix(p->path, "/"))
		return g_str_has_prefix(r->path, p->path);
	return strcmp(p->path, r->path) == 0;
}

static bool
may(entry_t *e, const server_req_t *r)
{
	g_autofree char *s = server_header(r, "authorization");
	char have[65], want[65];

	if (s == NULL || g_ascii_strncasecmp(s, "bearer ", 7) != 0)
		return false;
	/* Hashes compare in a time that tells nothing of the token. */
	token_hash(s + 7, have);
	token_hash(e->operator_token, want);
	return strcmp(have, want) == 0;
}

void
operator_request(void *ctx, server_req_t *r)
{
	entry_t *e = ctx;

	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		const endpoint_t *p = &endpoints[i];

		if (!matches(p, r))
			continue;
		if (!p->open && !may(e, r)) {
			ts_core_counter_inc(e->core, TS_C_REFUSE_CALLER);
			log_event(EVT_OPERATOR_REFUSED, "path=%s", r->path);
			reply_error(r, 401, "wrong operator token", 0);
			return;
		}
		p->run(e, r);
		return;
	}
	reply_error(r, 404, "no such path", 0);
}
