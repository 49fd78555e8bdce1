/*
 * A stand-in of the users' platform for process tests: the store at one port
 * and workers at the next ones, on loopback.  Tasks take TASK_MS each.  What
 * the workers see goes to standard output, a line each; SIGUSR1 restarts one.
 * usage: standin-users PORT [WORKERS [PORT-IN-ROWS]]
 */
#include <inttypes.h>
#include <signal.h>
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
#include "../fake/http_workers.h"

#define IP	       "127.0.0.1"
#define TASK_MS	       300
#define TICK_MS	       20
#define BODY_MAX       (1024 * 1024)
#define ADVISED	       9  /* the host whose queue needs approval */
#define HOSTS	       10 /* of callers: a name, and addresses of entries */
#define TASK_CPU_MILLI 500
#define TICKET_MS      3000
#define FIRST_STEP     3 /* tasks of step 0 of the jobs of process tests */

typedef struct {
	char *table, *part, *key, *value; /* value is base64 */
	int64_t version;
} row_t;

typedef struct {
	server_req_t *req;
	int64_t until_ms, after; /* a version */
	char *table;
} waiter_t;

static struct {
	uv_loop_t *loop;
	GPtrArray *rows; /* of row_t */
	int64_t version;
	http_workers_t *crew;
	int workers, restarts;
	GPtrArray *waiters; /* of waiter_t */
} w;

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / 1000000);
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
		http_reply_json(r, 412, answer(bad));
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
	http_reply_json(r, 200, answer(json_array()));
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
	http_reply_json(r, 200, answer(rows));
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

/* Approves every worker that it is asked about. */
static void
advise(server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL), *e;
	json_t *good = json_array();
	size_t i;

	json_array_foreach(json_object_get(j, "workers"), i, e)
	{
		json_array_append_new(good, json_pack("[O,s]", e, "t1"));
	}
	http_reply_json(r, 200,
	    json_pack("{s:o,s:i}", "good", good, "valid_ms", TICKET_MS));
	json_decref(j);
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
	else if (g_str_has_prefix(r->path, "/-/advise"))
		advise(r);
	else
		server_reply(r, 404, "", "", 0);
}

/* Ends tasks whose time has come, and answers who has waited for it. */
static void
on_tick(uv_timer_t *t)
{
	int64_t now = now_ms();

	(void)t;
	http_workers_tick(w.crew);
	for (guint i = w.waiters->len; i-- > 0;) {
		waiter_t *x = g_ptr_array_index(w.waiters, i);
		json_t *rows = changes(x->table, x->after);

		if (now < x->until_ms && json_array_size(rows) == 0) {
			json_decref(rows);
			continue;
		}
		http_reply_json(x->req, 200, answer(rows));
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

static void
put_worker(int worker)
{
	g_autofree char *id = http_workers_id(w.crew, worker);
	g_autofree char *row = http_workers_row(w.crew, worker);

	put_text("servers", id, row);
}

/* What the operator and the workers write at the start. */
static void
seed_rows(void)
{
	GString *routes = g_string_new(NULL);

	for (int i = 0; i < HOSTS; i++)
		g_string_append_printf(routes,
		    "%s{\"name\":\"q%d\",\"host\":\"%s%d\","
		    "\"prefix\":\"/q/\",\"service\":\"s\",\"priority\":0,"
		    "\"max_attempts\":2,\"stretch\":2.0,"
		    "\"target_duration_ms\":500%s}",
		    i == 0 ? "" : ",", i, i == 0 ? "h.example" : "127.0.0.5", i,
		    i == ADVISED ? ",\"advice\":{\"decision_ms\":1}" : "");
	g_string_prepend(routes, "{\"version\":3,\"routes\":[");
	g_string_append(routes, "],\"services\":[],\"limits\":{}}");
	g_string_replace(routes, "h.example0", "h.example", 1);
	put_text("op", "config", routes->str);
	g_string_free(routes, TRUE);
	for (int i = 0; i < w.workers; i++)
		put_worker(i);
	put_text("servers", "i-bad", "{\"state\":\"odd\"}");
}

/* Restarts the workers in turn. */
static void
on_restart(uv_signal_t *sig, int number)
{
	int worker = w.restarts++ % w.workers;

	(void)sig;
	(void)number;
	http_workers_restart(w.crew, worker);
	put_worker(worker);
}

static void
on_tell(void *ctx, const char *line)
{
	(void)ctx;
	puts(line);
	fflush(stdout);
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
	static uv_signal_t restart;
	http_workers_opts_t o = { .ip = IP,
		.port = port + 1,
		.advertised_port = argc > 3 ? atoi(argv[3]) : port + 1,
		.workers = argc > 2 ? atoi(argv[2]) : 1,
		.task_ms = TASK_MS,
		.task_cpu_milli = TASK_CPU_MILLI,
		.first_step_tasks = FIRST_STEP,
		.on_line = on_tell };

	if (port <= 0 || o.workers <= 0) {
		fprintf(stderr,
		    "usage: standin-users PORT [WORKERS [PORT-IN-ROWS]]\n");
		return 2;
	}
	o.loop = w.loop = uv_default_loop();
	w.workers = o.workers;
	w.rows = g_ptr_array_new();
	w.waiters = g_ptr_array_new();
	w.crew = http_workers_new(&o);
	if (w.crew == NULL || !serve(port, on_store))
		return 1;
	seed_rows();
	uv_signal_init(w.loop, &restart);
	uv_signal_start(&restart, on_restart, SIGUSR1);
	uv_timer_init(w.loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	return uv_run(w.loop, UV_RUN_DEFAULT);
}
