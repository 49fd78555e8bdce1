/*
 * A stand-in of the users' platform for process tests: the store at one port
 * and one worker at the next, on loopback.  Tasks take TASK_MS each.
 * usage: standin-users PORT
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
#include "../../trans/trans.h"

#define IP	  "127.0.0.1"
#define TASK_MS	  300
#define TICK_MS	  20
#define BODY_MAX  (1024 * 1024)
#define WORKER_ID "i-1"

typedef struct {
	char *table, *part, *key, *value; /* value is base64 */
	int64_t version;
} row_t;

typedef struct {
	char *task;
	int64_t run, until_ms;
} run_t;

typedef struct {
	int64_t seq, run;
	char *task;
	const char *how;
} end_t;

typedef struct {
	server_req_t *req;
	int64_t until_ms, after; /* feed: after a version; hold: an end */
	char *table;		 /* feed */
} waiter_t;

static struct {
	uv_loop_t *loop;
	GPtrArray *rows; /* of row_t */
	int64_t version;
	GPtrArray *runs; /* of run_t */
	GPtrArray *ends; /* of end_t */
	int64_t seq, token, born_ms;
	GPtrArray *waiters; /* of waiter_t */
} w;

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / 1000000);
}

static void
reply(server_req_t *r, int32_t status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	server_reply(r, status, "content-type: application/json\r\n", text,
	    strlen(text));
	free(text);
	json_decref(j);
}

static char *
query(const char *path, const char *name)
{
	const char *q = strchr(path, '?');
	g_auto(GStrv) parts = g_strsplit(q == NULL ? "" : q + 1, "&", -1);
	size_t n = strlen(name);

	for (char **p = parts; *p != NULL; p++)
		if (strncmp(*p, name, n) == 0 && (*p)[n] == '=')
			return g_uri_unescape_string(*p + n + 1, NULL);
	return g_strdup("");
}

/*
 * The store.
 */
static row_t *
row_find(const char *table, const char *part, const char *key)
{
	for (guint i = 0; i < w.rows->len; i++) {
		row_t *r = g_ptr_array_index(w.rows, i);

		if (strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, key) == 0)
			return r;
	}
	return NULL;
}

static void
row_put(const char *table, const char *part, const char *key, const char *value)
{
	row_t *r = row_find(table, part, key);

	if (r == NULL) {
		r = g_new0(row_t, 1);
		r->table = g_strdup(table);
		r->part = g_strdup(part);
		r->key = g_strdup(key);
		g_ptr_array_add(w.rows, r);
	}
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = w.version;
}

static json_t *
row_json(const row_t *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "schema_version", (json_int_t)r->version);

	if (r->value == NULL)
		json_object_set_new(j, "removed", json_true());
	else
		json_object_set_new(j, "value", json_string(r->value));
	return j;
}

static json_t *
answer(json_t *rows)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has_more", 0,
	    "schema_version", (json_int_t)w.version, "now_ms",
	    (json_int_t)now_ms());
}

static const char *
text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s == NULL ? "" : s;
}

static void
store_tx(server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL), *e;
	json_t *bad = json_array();
	size_t i;

	json_array_foreach(json_object_get(j, "precondition"), i, e)
	{
		row_t *o =
		    row_find(text(e, "table"), text(e, "part"), text(e, "key"));
		int64_t have = o == NULL || o->value == NULL ? 0 : o->version;

		if (have !=
			json_integer_value(
			    json_object_get(e, "schema_version")) &&
		    o != NULL)
			json_array_append_new(bad, row_json(o));
		else if (have !=
		    json_integer_value(json_object_get(e, "schema_version")))
			json_array_append_new(bad, json_object());
	}
	if (json_array_size(bad) > 0) {
		reply(r, 412, answer(bad));
		json_decref(j);
		return;
	}
	json_decref(bad);
	w.version++;
	json_array_foreach(json_object_get(j, "puts"), i, e)
	{
		row_put(text(e, "table"), text(e, "part"), text(e, "key"),
		    text(e, "value"));
	}
	json_array_foreach(json_object_get(j, "remove"), i, e)
	{
		row_put(
		    text(e, "table"), text(e, "part"), text(e, "key"), NULL);
	}
	reply(r, 200, answer(json_array()));
	json_decref(j);
}

static int
by_key(gconstpointer a, gconstpointer b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static void
store_get(server_req_t *r)
{
	g_autofree char *table = query(r->path, "table");
	g_autofree char *part = query(r->path, "part");
	g_autofree char *from = query(r->path, "from");
	g_autofree char *to = query(r->path, "to");
	json_t *rows = json_array();

	g_ptr_array_sort(w.rows, by_key);
	for (guint i = 0; i < w.rows->len; i++) {
		const row_t *o = g_ptr_array_index(w.rows, i);

		if (strcmp(o->table, table) == 0 &&
		    strcmp(o->part, part) == 0 && o->value != NULL &&
		    strcmp(o->key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(o->key, to) < 0))
			json_array_append_new(rows, row_json(o));
	}
	reply(r, 200, answer(rows));
}

static json_t *
changes(const char *table, int64_t after)
{
	json_t *rows = json_array();

	for (guint i = 0; i < w.rows->len; i++) {
		const row_t *o = g_ptr_array_index(w.rows, i);

		if (strcmp(o->table, table) == 0 && o->version > after)
			json_array_append_new(rows, row_json(o));
	}
	return rows;
}

static waiter_t *
wait_for(server_req_t *r, int64_t wait_ms)
{
	waiter_t *x = g_new0(waiter_t, 1);

	x->req = r;
	x->until_ms = now_ms() + wait_ms;
	g_ptr_array_add(w.waiters, x);
	return x;
}

static void
store_feed(server_req_t *r)
{
	g_autofree char *after = query(r->path, "after");
	g_autofree char *wait = query(r->path, "wait_ms");
	waiter_t *x = wait_for(r, atoi(wait));

	x->table = query(r->path, "table");
	x->after = g_ascii_strtoll(after, NULL, 10);
}

static void
on_store(void *ctx, server_req_t *r)
{
	(void)ctx;
	if (g_str_has_prefix(r->path, "/-/rows-tx"))
		store_tx(r);
	else if (g_str_has_prefix(r->path, "/-/rows-get"))
		store_get(r);
	else if (g_str_has_prefix(r->path, "/-/rows-feed"))
		store_feed(r);
	else
		server_reply(r, 404, "", "", 0);
}

/*
 * The worker.
 */
static void
end_run(run_t *r, const char *how)
{
	end_t *e = g_new0(end_t, 1);

	e->seq = ++w.seq;
	e->task = g_strdup(r->task);
	e->run = r->run;
	e->how = how;
	g_ptr_array_add(w.ends, e);
	g_ptr_array_remove(w.runs, r);
}

static json_t *
report(void)
{
	json_t *running = json_array(), *ended = json_array();

	for (guint i = 0; i < w.runs->len; i++) {
		const run_t *r = g_ptr_array_index(w.runs, i);

		json_array_append_new(running,
		    json_pack(
			"[s,I,s,i,i]", r->task, (json_int_t)r->run, "", 50, 0));
	}
	for (guint i = 0; i < w.ends->len; i++) {
		const end_t *e = g_ptr_array_index(w.ends, i);

		json_array_append_new(ended,
		    json_pack("[I,s,I,s,s]", (json_int_t)e->seq, e->task,
			(json_int_t)e->run, e->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)now_ms(),
	    "born", (json_int_t)w.born_ms, "running", running, "ended_runs",
	    ended);
}

static run_t *
run_find(const char *task)
{
	for (guint i = 0; i < w.runs->len; i++) {
		run_t *r = g_ptr_array_index(w.runs, i);

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static void
worker_order(server_req_t *r, const json_t *j)
{
	const char *task = text(j, "task");
	run_t *run = run_find(task);

	if (strstr(r->path, "run-start") != NULL && run == NULL) {
		run = g_new0(run_t, 1);
		run->task = g_strdup(task);
		run->run = json_integer_value(json_object_get(j, "run"));
		run->until_ms = now_ms() + TASK_MS;
		g_ptr_array_add(w.runs, run);
	} else if (strstr(r->path, "run-stop") != NULL && run != NULL)
		end_run(run, "stopped");
	reply(r, 200, json_pack("{s:I}", "clock_ms", (json_int_t)now_ms()));
}

static void
worker_hold(server_req_t *r, const json_t *j)
{
	int64_t seen = json_integer_value(json_object_get(j, "last_seen"));

	for (guint i = w.ends->len; i-- > 0;)
		if (((end_t *)g_ptr_array_index(w.ends, i))->seq <= seen)
			g_ptr_array_remove_index(w.ends, i);
	wait_for(r, json_integer_value(json_object_get(j, "wait_ms")));
}

static void
on_worker(void *ctx, server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	int64_t token = json_integer_value(json_object_get(j, "fencing_token"));

	(void)ctx;
	if (token < w.token) {
		reply(r, 409,
		    json_pack("{s:I,s:s}", "clock_ms", (json_int_t)now_ms(),
			"reason", "fence"));
		json_decref(j);
		return;
	}
	w.token = token;
	if (strstr(r->path, "/-/hold") != NULL)
		worker_hold(r, j);
	else
		worker_order(r, j);
	json_decref(j);
}

/* Ends tasks whose time has come, and answers who has waited for it. */
static void
on_tick(uv_timer_t *t)
{
	int64_t now = now_ms();

	(void)t;
	for (guint i = w.runs->len; i-- > 0;) {
		run_t *r = g_ptr_array_index(w.runs, i);

		if (now >= r->until_ms)
			end_run(r, "done");
	}
	for (guint i = w.waiters->len; i-- > 0;) {
		waiter_t *x = g_ptr_array_index(w.waiters, i);
		json_t *rows =
		    x->table == NULL ? NULL : changes(x->table, x->after);
		bool due = now >= x->until_ms ||
		    (rows == NULL ? w.ends->len > 0 :
				    json_array_size(rows) > 0);

		if (!due) {
			json_decref(rows);
			continue;
		}
		reply(x->req, 200, rows == NULL ? report() : answer(rows));
		g_free(x->table);
		g_ptr_array_remove_index_fast(w.waiters, i);
	}
}

static void
put_text(const char *table, const char *key, const char *value)
{
	g_autofree char *b64 =
	    g_base64_encode((const guchar *)value, strlen(value));

	w.version++;
	row_put(table, "", key, b64);
}

/* What the operator and the worker write at the start. */
static void
seed_rows(int port)
{
	g_autofree char *entry = g_strdup_printf(
	    "{\"service\":\"s\",\"address\":\"" IP ":%d\",\"zone\":\"z\","
	    "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem_mb\":64000,"
	    "\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"born\":%" PRId64 "}",
	    port + 1, w.born_ms);

	put_text("op", "config",
	    "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\","
	    "\"prefix\":\"/q/\",\"service\":\"s\",\"priority\":0,"
	    "\"max_attempts\":2,\"stretch\":2.0,\"target_duration_ms\":500}],"
	    "\"services\":[],\"limits\":{}}");
	put_text("servers", WORKER_ID, entry);
	put_text("servers", "i-bad", "{\"state\":\"odd\"}");
}

static bool
serve(int port, void (*fn)(void *, server_req_t *))
{
	g_autoptr(GError) err = NULL;
	server_opts_t o = { .loop = w.loop,
		.ip = IP,
		.port = port,
		.body_max_bytes = BODY_MAX,
		.on_request = fn };

	if (server_new(&o, &err) != NULL)
		return true;
	fprintf(stderr, "standin-users: %s\n", err->message);
	return false;
}

int
main(int argc, char **argv)
{
	int port = argc > 1 ? atoi(argv[1]) : 0;
	static uv_timer_t tick;

	if (port <= 0) {
		fprintf(stderr, "usage: standin-users PORT\n");
		return 2;
	}
	w.loop = uv_default_loop();
	w.rows = g_ptr_array_new();
	w.runs = g_ptr_array_new();
	w.ends = g_ptr_array_new();
	w.waiters = g_ptr_array_new();
	w.born_ms = g_get_real_time() / 1000;
	seed_rows(port);
	if (!serve(port, on_store) || !serve(port + 1, on_worker))
		return 1;
	uv_timer_init(w.loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	return uv_run(w.loop, UV_RUN_DEFAULT);
}
