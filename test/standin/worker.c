/*
 * Stand-in for a worker VM: the platform's agent, which syncs with the owner of
 * the worker's group, and a backend server for each pool that it serves.
 * usage: standin-worker NAME IP AGENT-PORT POOL:PORT:SERVICE-MS ...
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../proto/proto.h"
#include "../../trans/trans.h"
#include "../fake/fake.h"

#define TICK_MS 10

typedef struct {
	uv_loop_t *loop;
	fake_worker_t worker;
	GHashTable *runs_by_key; /* idempotency key -> number of runs */
	uint64_t attempts_started;
	uint64_t attempts_ended;
} agent_t;

/* A backend server. */
typedef struct {
	agent_t *agent;
	const char *pool;
	int32_t service_ms;
} backend_t;

/* A request that is answered when its service time is over. */
typedef struct {
	uv_timer_t timer;
	backend_t *backend;
	server_req_t *req;
} request_t;

static int64_t
now_ms(void)
{
	return g_get_real_time() / 1000;
}

static void
on_closed(uv_handle_t *h)
{
	g_free(h->data);
}

static void
reply_json(server_req_t *r, int32_t status, json_t *j)
{
	char *s = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	server_reply(
	    r, status, "content-type: application/json\r\n", s, strlen(s));
	free(s);
}

/*
 * Runs a request and answers with its path, its x-tag header and, for a POST
 * with an idempotency key, how often that key has been run by now.
 */
static void
answer_request(server_req_t *r, backend_t *b)
{
	g_autofree char *key = server_header(r, "idempotency-key");
	g_autofree char *tag = server_header(r, "x-tag");
	int runs = 0;

	if (strcmp(r->method, "POST") == 0 && key != NULL) {
		runs = 1 +
		    GPOINTER_TO_INT(
			g_hash_table_lookup(b->agent->runs_by_key, key));
		g_hash_table_replace(b->agent->runs_by_key, g_strdup(key),
		    GINT_TO_POINTER(runs));
	}
	--*fake_worker_running(&b->agent->worker, b->pool);
	reply_json(r, 200,
	    json_pack("{s:s s:s s:s s:s? s:i}", "worker", b->agent->worker.name,
		"pool", b->pool, "path", r->path, "tag", tag, "times", runs));
}

static void
on_service_time_over(uv_timer_t *t)
{
	request_t *request = t->data;

	answer_request(request->req, request->backend);
	uv_close((uv_handle_t *)t, on_closed);
}

/* How long a request takes: the pool's service time, or N of a query ?ms=N. */
static int32_t
service_ms(const backend_t *b, const server_req_t *r)
{
	const char *q = strstr(r->path, "?ms=");

	return q == NULL ? b->service_ms : atoi(q + strlen("?ms="));
}

static void
on_backend_request(void *ctx, server_req_t *r)
{
	backend_t *b = ctx;
	int32_t ms = service_ms(b, r);
	request_t *request;

	++*fake_worker_running(&b->agent->worker, b->pool);
	if (ms == 0) {
		answer_request(r, b);
		return;
	}
	request = g_new0(request_t, 1);
	request->backend = b;
	request->req = r;
	uv_timer_init(b->agent->loop, &request->timer);
	request->timer.data = request;
	uv_timer_start(&request->timer, on_service_time_over, (uint64_t)ms, 0);
}

static int
enum_field(const json_t *j, const char *key, const char *const *words, int n)
{
	const char *s = json_string_value(json_object_get(j, key));

	for (int i = 0; i < n; i++)
		if (g_strcmp0(s, words[i]) == 0)
			return i;
	return 0;
}

static int64_t
int_field(const json_t *j, const char *key)
{
	return json_integer_value(json_object_get(j, key));
}

static ts_task_order_t
order_from_json(const json_t *j)
{
	static const char *const commands[] = { "run", "checkpoint", "stop",
		"forget" };
	ts_task_order_t o = { 0 };

	g_strlcpy(
	    o.id, json_string_value(json_object_get(j, "id")), sizeof(o.id));
	o.command = (ts_task_command_t)enum_field(j, "want", commands, 4);
	o.attempt = (int32_t)int_field(j, "attempt");
	o.share_pct = (int32_t)int_field(j, "share_pct");
	o.lease_until_ms = int_field(j, "lease_until_ms");
	o.start_by_ms = int_field(j, "start_by_ms");
	o.run_ms = int_field(j, "run_ms");
	o.progress_ms = int_field(j, "progress_ms");
	o.class = json_string_value(json_object_get(j, "class"));
	o.size.cpu_milli = int_field(j, "cpu_milli");
	o.size.mem_bytes = int_field(j, "mem_bytes");
	o.size.accel = (int32_t)int_field(j, "accel");
	return o;
}

static json_t *
answer_to_json(const ts_sync_answer_t *a)
{
	static const char *const states[] = { "running", "done", "failed",
		"stopped", "saved" };
	json_t *tasks = json_array();
	json_t *slots = json_array();

	for (size_t i = 0; i < a->ntasks; i++)
		json_array_append_new(tasks,
		    json_pack("{s:s s:s s:i s:I s:I s:I}", "id", a->tasks[i].id,
			"state", states[a->tasks[i].state], "attempt",
			a->tasks[i].attempt, "progress_ms",
			(json_int_t)a->tasks[i].progress_ms, "used_cpu_milli",
			(json_int_t)a->tasks[i].used_cpu_milli,
			"used_mem_bytes",
			(json_int_t)a->tasks[i].used_mem_bytes));
	for (size_t i = 0; i < a->nslots; i++)
		json_array_append_new(slots,
		    json_pack("{s:s s:i}", "pool", a->slots[i].pool, "running",
			a->slots[i].running));
	return json_pack("{s:I s:I s:I s:I s:o s:o}", "incarnation",
	    (json_int_t)a->incarnation, "clock_ms", (json_int_t)a->clock_ms,
	    "epoch", (json_int_t)a->epoch, "seq", (json_int_t)a->seq, "tasks",
	    tasks, "slots", slots);
}

static void
handle_sync(agent_t *agent, server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	const json_t *list = json_object_get(j, "orders");
	g_autoptr(GArray) orders =
	    g_array_new(FALSE, TRUE, sizeof(ts_task_order_t));
	g_autoptr(GArray) tasks =
	    g_array_new(FALSE, TRUE, sizeof(ts_task_report_t));
	ts_sync_answer_t a;
	ts_sync_t s = { 0 };

	for (size_t i = 0; i < json_array_size(list); i++) {
		ts_task_order_t o = order_from_json(json_array_get(list, i));

		g_array_append_val(orders, o);
	}
	s.incarnation = int_field(j, "incarnation");
	s.epoch = int_field(j, "epoch");
	s.seq = int_field(j, "seq");
	s.orders = (ts_task_order_t *)orders->data;
	s.norders = orders->len;
	fake_worker_sync(&agent->worker, &s, now_ms());
	fake_worker_answer(&agent->worker, now_ms(), tasks, &a);
	json_decref(j);
	reply_json(r, 200, answer_to_json(&a));
}

/*
 * Reports to the tests how often the request with each idempotency key was run,
 * and how many attempts of tasks have started and ended.
 */
static void
handle_report(agent_t *agent, server_req_t *r)
{
	json_t *effects = json_object();
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, agent->runs_by_key);
	while (g_hash_table_iter_next(&it, &k, &v))
		json_object_set_new(
		    effects, k, json_integer(GPOINTER_TO_INT(v)));
	reply_json(r, 200,
	    json_pack("{s:o s:I s:I}", "effects", effects, "starts",
		(json_int_t)agent->attempts_started, "ends",
		(json_int_t)agent->attempts_ended));
}

static void
on_agent_request(void *ctx, server_req_t *r)
{
	if (strcmp(r->path, "/v1/sync") == 0)
		handle_sync(ctx, r);
	else if (strcmp(r->path, "/report") == 0)
		handle_report(ctx, r);
	else
		server_reply(r, 404, "", "{}", 2);
}

static void
on_attempt(void *ctx, fake_worker_t *w, const fake_task_t *t, bool start)
{
	agent_t *agent = ctx;

	(void)w;
	(void)t;
	if (start)
		agent->attempts_started++;
	else
		agent->attempts_ended++;
}

static void
on_tick(uv_timer_t *t)
{
	fake_worker_tick(&((agent_t *)t->data)->worker, now_ms());
}

static bool
open_server(uv_loop_t *loop, const char *ip, int port,
    void (*fn)(void *, server_req_t *), void *ctx)
{
	server_opts_t o = { loop, ip, port, 16 << 20, fn, ctx };
	g_autoptr(GError) err = NULL;

	if (server_new(&o, &err) != NULL)
		return true;
	fprintf(stderr, "standin-worker: %s\n", err->message);
	return false;
}

int
main(int argc, char **argv)
{
	agent_t agent = { 0 };
	uv_timer_t tick;

	if (argc < 4) {
		fprintf(stderr,
		    "usage: standin-worker NAME IP AGENT-PORT "
		    "POOL:PORT:SERVICE-MS ...\n");
		return 2;
	}
	agent.loop = uv_default_loop();
	agent.runs_by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_worker_init(&agent.worker, argv[1], now_ms(), 1);
	agent.worker.on_attempt = on_attempt;
	agent.worker.ctx = &agent;
	if (!open_server(
		agent.loop, argv[2], atoi(argv[3]), on_agent_request, &agent))
		return 1;
	for (int i = 4; i < argc; i++) {
		g_auto(GStrv) v = g_strsplit(argv[i], ":", 3);
		backend_t *b = g_new0(backend_t, 1);

		b->agent = &agent;
		b->pool = g_intern_string(v[0]);
		b->service_ms = atoi(v[2]);
		if (!open_server(
			agent.loop, argv[2], atoi(v[1]), on_backend_request, b))
			return 1;
	}
	uv_timer_init(agent.loop, &tick);
	tick.data = &agent;
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	return uv_run(agent.loop, UV_RUN_DEFAULT);
}
