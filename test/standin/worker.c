/*
 * Stand-in for a worker VM: the platform's agent, and a backend server for
 * each pool it serves.
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
	GHashTable *effects; /* idempotency key -> times run */
	uint64_t starts;
	uint64_t ends;
} agent_t;

typedef struct {
	agent_t *agent;
	const char *pool;
	int32_t service_ms;
} backend_t;

typedef struct {
	uv_timer_t timer;
	backend_t *backend;
	server_req_t *req;
} serving_t;

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

static void
serve(server_req_t *r, backend_t *b)
{
	g_autofree char *key = server_header(r, "idempotency-key");
	g_autofree char *tag = server_header(r, "x-tag");
	int times = 0;

	if (strcmp(r->method, "POST") == 0 && key != NULL) {
		times = 1 +
		    GPOINTER_TO_INT(
			g_hash_table_lookup(b->agent->effects, key));
		g_hash_table_replace(
		    b->agent->effects, g_strdup(key), GINT_TO_POINTER(times));
	}
	--*fake_worker_running(&b->agent->worker, b->pool);
	reply_json(r, 200,
	    json_pack("{s:s s:s s:s s:s? s:i}", "worker", b->agent->worker.name,
		"pool", b->pool, "path", r->path, "tag", tag, "times", times));
}

static void
on_served(uv_timer_t *t)
{
	serving_t *s = t->data;

	serve(s->req, s->backend);
	uv_close((uv_handle_t *)t, on_closed);
}

/* How long this request takes: the pool's time, or ?ms=N. */
static int32_t
service_ms(const backend_t *b, const server_req_t *r)
{
	const char *q = strstr(r->path, "?ms=");

	return q == NULL ? b->service_ms : atoi(q + strlen("?ms="));
}

static void
on_backend(void *ctx, server_req_t *r)
{
	backend_t *b = ctx;
	int32_t ms = service_ms(b, r);
	serving_t *s;

	++*fake_worker_running(&b->agent->worker, b->pool);
	if (ms == 0) {
		serve(r, b);
		return;
	}
	s = g_new0(serving_t, 1);
	s->backend = b;
	s->req = r;
	uv_timer_init(b->agent->loop, &s->timer);
	s->timer.data = s;
	uv_timer_start(&s->timer, on_served, (uint64_t)ms, 0);
}

static int
word(const json_t *j, const char *key, const char *const *words, int n)
{
	const char *s = json_string_value(json_object_get(j, key));

	for (int i = 0; i < n; i++)
		if (g_strcmp0(s, words[i]) == 0)
			return i;
	return 0;
}

static int64_t
integer(const json_t *j, const char *key)
{
	return json_integer_value(json_object_get(j, key));
}

static ts_task_order_t
order(const json_t *j)
{
	static const char *const wants[] = { "run", "checkpoint", "stop",
		"forget" };
	ts_task_order_t o = { 0 };

	g_strlcpy(
	    o.id, json_string_value(json_object_get(j, "id")), sizeof(o.id));
	o.command = (ts_task_command_t)word(j, "want", wants, 4);
	o.attempt = (int32_t)integer(j, "attempt");
	o.share_pct = (int32_t)integer(j, "share_pct");
	o.lease_until_ms = integer(j, "lease_until_ms");
	o.start_by_ms = integer(j, "start_by_ms");
	o.run_ms = integer(j, "run_ms");
	o.progress_ms = integer(j, "progress_ms");
	o.class = json_string_value(json_object_get(j, "class"));
	o.size.cpu_milli = integer(j, "cpu_milli");
	o.size.mem_bytes = integer(j, "mem_bytes");
	o.size.accel = (int32_t)integer(j, "accel");
	return o;
}

static json_t *
answer_json(const ts_sync_answer_t *a)
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
sync_request(agent_t *g, server_req_t *r)
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
		ts_task_order_t o = order(json_array_get(list, i));

		g_array_append_val(orders, o);
	}
	s.incarnation = integer(j, "incarnation");
	s.epoch = integer(j, "epoch");
	s.seq = integer(j, "seq");
	s.orders = (ts_task_order_t *)orders->data;
	s.norders = orders->len;
	fake_worker_sync(&g->worker, &s, now_ms());
	fake_worker_answer(&g->worker, now_ms(), tasks, &a);
	json_decref(j);
	reply_json(r, 200, answer_json(&a));
}

/* What the tests ask: effects of keyed requests, starts and ends. */
static void
report(agent_t *g, server_req_t *r)
{
	json_t *effects = json_object();
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, g->effects);
	while (g_hash_table_iter_next(&it, &k, &v))
		json_object_set_new(
		    effects, k, json_integer(GPOINTER_TO_INT(v)));
	reply_json(r, 200,
	    json_pack("{s:o s:I s:I}", "effects", effects, "starts",
		(json_int_t)g->starts, "ends", (json_int_t)g->ends));
}

static void
on_agent(void *ctx, server_req_t *r)
{
	if (strcmp(r->path, "/v1/sync") == 0)
		sync_request(ctx, r);
	else if (strcmp(r->path, "/report") == 0)
		report(ctx, r);
	else
		server_reply(r, 404, "", "{}", 2);
}

static void
on_watch(void *ctx, fake_worker_t *w, const fake_task_t *t, bool start)
{
	agent_t *g = ctx;

	(void)w;
	(void)t;
	if (start)
		g->starts++;
	else
		g->ends++;
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
	agent_t g = { 0 };
	uv_timer_t tick;

	if (argc < 4) {
		fprintf(stderr,
		    "usage: standin-worker NAME IP AGENT-PORT "
		    "POOL:PORT:SERVICE-MS ...\n");
		return 2;
	}
	g.loop = uv_default_loop();
	g.effects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_worker_init(&g.worker, argv[1], now_ms(), 1);
	g.worker.on_attempt = on_watch;
	g.worker.ctx = &g;
	if (!open_server(g.loop, argv[2], atoi(argv[3]), on_agent, &g))
		return 1;
	for (int i = 4; i < argc; i++) {
		g_auto(GStrv) v = g_strsplit(argv[i], ":", 3);
		backend_t *b = g_new0(backend_t, 1);

		b->agent = &g;
		b->pool = g_intern_string(v[0]);
		b->service_ms = atoi(v[2]);
		if (!open_server(g.loop, argv[2], atoi(v[1]), on_backend, b))
			return 1;
	}
	uv_timer_init(g.loop, &tick);
	tick.data = &g;
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	return uv_run(g.loop, UV_RUN_DEFAULT);
}
