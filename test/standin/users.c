/*
 * A stand-in of the users' platform for process tests, on loopback: the store
 * and the approval service at PORT, and workers at the ports after it.  Each
 * task takes TASK_MS.  Prints one line for each start and end of a run at a
 * worker.  SIGUSR1 restarts the next worker.  SIGUSR2 writes a configuration in
 * which the changing key of customer "one" is the next: secret-0, secret-1...; it
 * prints "keys" and the number.  GET /test/lose?key=KEY&ms=MS has the next write whose
 * first row has this key be lost: it gets no answer, and is performed after MS if its
 * conditions still hold.
 *
 * usage: standin-users PORT [WORKERS [PORT-IN-ROWS [CPU]]]
 *
 * PORT-IN-ROWS is the first worker's port in the table of workers, when that is
 * not PORT + 1.  CPU is what each task declares, in thousandths of a core.
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
#include "../fake/platform_config.h"

#define IP		 "127.0.0.1"
#define TASK_MS		 300
#define TICK_MS		 20
#define BODY_MAX_BYTES	 (1024 * 1024)
#define ROW_BYTES	 65536 /* of a row's value, as decoded */
#define CALL_ENTRIES	 100
#define CALL_BYTES	 1000000
#define FEED_ROWS	 2 /* in an answer of the change feed, if there are more */
#define TASK_CPU_MILLI	 500
#define TICKET_VALID_MS	 3000
#define FIRST_STEP_TASKS 3 /* of the jobs that the process tests submit */

typedef struct {
	char *table, *partition, *key;
	char *value; /* base64; NULL once removed */
	int64_t version;
} row_t;

/* A call of the change feed that waits for a change. */
typedef struct {
	server_req_t *req;
	int64_t until_ms;
	int64_t after_version;
	char *table;
} feed_call_t;

static struct {
	uv_loop_t *loop;
	GPtrArray *rows; /* of row_t */
	int64_t version;
	http_workers_t *http_workers;
	int nworkers;
	int restarts;	       /* of workers, so far */
	int key_changes;       /* so far */
	GPtrArray *feed_calls; /* of feed_call_t */
	/* The next write of this row is not answered, and performed so much
	 * later; NULL: none is. */
	char *lost_key;
	int lost_ms;
	json_t *lost_tx; /* or NULL */
	int64_t lost_until_ms;
} standin;

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / 1000000);
}

/* The value of a field of the path's query, or ""; free it. */
static char *
query_field(const char *path, const char *name)
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
find_row(const char *table, const char *partition, const char *key)
{
	for (guint i = 0; i < standin.rows->len; i++) {
		row_t *r = g_ptr_array_index(standin.rows, i);

		if (strcmp(r->table, table) == 0 &&
		    strcmp(r->partition, partition) == 0 &&
		    strcmp(r->key, key) == 0)
			return r;
	}
	return NULL;
}

/* Writes a row at the store's present version; value is NULL to remove it. */
static void
put_row(const char *table, const char *partition, const char *key,
    const char *value)
{
	row_t *r = find_row(table, partition, key);

	if (r == NULL) {
		r = g_new0(row_t, 1);
		r->table = g_strdup(table);
		r->partition = g_strdup(partition);
		r->key = g_strdup(key);
		g_ptr_array_add(standin.rows, r);
	}
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = standin.version;
}

static json_t *
row_json(const row_t *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    r->partition, "key", r->key, "schema_version",
	    (json_int_t)r->version);

	if (r->value == NULL)
		json_object_set_new(j, "removed", json_true());
	else
		json_object_set_new(j, "value", json_string(r->value));
	return j;
}

static json_t *
answer_json(json_t *rows)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has_more", 0,
	    "schema_version", (json_int_t)standin.version, "now_ms",
	    (json_int_t)now_ms());
}

static const char *
text_field(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s == NULL ? "" : s;
}

/* Whether a transaction has more or longer rows than the store takes. */
static bool
exceeds_limits(const json_t *tx, size_t body_bytes)
{
	static const char *const lists[] = { "precondition", "puts", "remove" };
	const json_t *e;
	size_t i, entries = 0;

	for (size_t k = 0; k < G_N_ELEMENTS(lists); k++)
		entries += json_array_size(json_object_get(tx, lists[k]));
	json_array_foreach(json_object_get(tx, "puts"), i, e)
	{
		if (strlen(text_field(e, "value")) > ROW_BYTES / 3 * 4 + 4)
			return true;
	}
	return entries > CALL_ENTRIES || body_bytes > CALL_BYTES;
}

/* The rows of a transaction's preconditions that don't hold. */
static json_t *
conflicts_of(const json_t *tx)
{
	json_t *conflicts = json_array();
	const json_t *e;
	size_t i;

	json_array_foreach(json_object_get(tx, "precondition"), i, e)
	{
		row_t *o = find_row(text_field(e, "table"),
		    text_field(e, "part"), text_field(e, "key"));
		int64_t have = o == NULL || o->value == NULL ? 0 : o->version;

		if (have !=
			json_integer_value(
			    json_object_get(e, "schema_version")) &&
		    o != NULL)
			json_array_append_new(conflicts, row_json(o));
		else if (have !=
		    json_integer_value(json_object_get(e, "schema_version")))
			json_array_append_new(conflicts, json_object());
	}
	return conflicts;
}

static void
apply_tx(const json_t *j)
{
	const json_t *e;
	size_t i;

	standin.version++;
	json_array_foreach(json_object_get(j, "puts"), i, e)
	{
		put_row(text_field(e, "table"), text_field(e, "part"),
		    text_field(e, "key"), text_field(e, "value"));
	}
	json_array_foreach(json_object_get(j, "remove"), i, e)
	{
		put_row(text_field(e, "table"), text_field(e, "part"),
		    text_field(e, "key"), NULL);
	}
}

/* Whether a transaction is to be lost; keeps it to be performed late. */
static bool
lose_tx(json_t *j)
{
	const json_t *put = json_array_get(json_object_get(j, "puts"), 0);

	if (standin.lost_key == NULL ||
	    strcmp(text_field(put, "key"), standin.lost_key) != 0)
		return false;
	g_clear_pointer(&standin.lost_key, g_free);
	json_decref(standin.lost_tx);
	standin.lost_tx = json_incref(j);
	standin.lost_until_ms = now_ms() + standin.lost_ms;
	return true;
}

/* Performs a lost transaction when that is due, if its conditions still hold. */
static void
perform_lost_tx(void)
{
	json_t *conflicts;

	if (standin.lost_tx == NULL || now_ms() < standin.lost_until_ms)
		return;
	conflicts = conflicts_of(standin.lost_tx);
	printf("late write %s\n",
	    json_array_size(conflicts) == 0 ? "performed" : "refused");
	fflush(stdout);
	if (json_array_size(conflicts) == 0)
		apply_tx(standin.lost_tx);
	json_decref(conflicts);
	json_decref(standin.lost_tx);
	standin.lost_tx = NULL;
}

static void
store_tx(server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	json_t *conflicts = conflicts_of(j);

	if (exceeds_limits(j, r->body_bytes))
		server_reply(r, 400, "", "", 0);
	else if (lose_tx(j))
		; /* no answer */
	else if (json_array_size(conflicts) > 0)
		http_reply_json(r, 412, answer_json(json_incref(conflicts)));
	else {
		apply_tx(j);
		http_reply_json(r, 200, answer_json(json_array()));
	}
	json_decref(conflicts);
	json_decref(j);
}

/* Has the next write of a row be lost, and performed after ms. */
static void
lose_next_tx(server_req_t *r)
{
	g_autofree char *ms = query_field(r->path, "ms");

	g_free(standin.lost_key);
	standin.lost_key = query_field(r->path, "key");
	standin.lost_ms = atoi(ms);
	server_reply(r, 200, "", "", 0);
}

static int
by_key(gconstpointer a, gconstpointer b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static void
store_scan(server_req_t *r)
{
	g_autofree char *table = query_field(r->path, "table");
	g_autofree char *partition = query_field(r->path, "part");
	g_autofree char *from = query_field(r->path, "from");
	g_autofree char *to = query_field(r->path, "to");
	json_t *rows = json_array();

	g_ptr_array_sort(standin.rows, by_key);
	for (guint i = 0; i < standin.rows->len; i++) {
		const row_t *o = g_ptr_array_index(standin.rows, i);

		if (strcmp(o->table, table) == 0 &&
		    strcmp(o->partition, partition) == 0 && o->value != NULL &&
		    strcmp(o->key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(o->key, to) < 0))
			json_array_append_new(rows, row_json(o));
	}
	http_reply_json(r, 200, answer_json(rows));
}

static int
by_version(gconstpointer a, gconstpointer b)
{
	int64_t va = (*(row_t *const *)a)->version,
		vb = (*(row_t *const *)b)->version;

	return va < vb ? -1 : va > vb;
}

/*
 * The answer to a call of the change feed; NULL if there is no change.  A part
 * of many changes, up to the end of a transaction, if there are more.
 */
static json_t *
changes_after(const char *table, int64_t after)
{
	g_autoptr(GPtrArray) changed = g_ptr_array_new();
	json_t *rows, *answer;
	guint n;

	for (guint i = 0; i < standin.rows->len; i++) {
		row_t *o = g_ptr_array_index(standin.rows, i);

		if (strcmp(o->table, table) == 0 && o->version > after)
			g_ptr_array_add(changed, o);
	}
	if (changed->len == 0)
		return NULL;
	g_ptr_array_sort(changed, by_version);
	rows = json_array();
	for (n = 0; n < changed->len; n++) {
		const row_t *o = g_ptr_array_index(changed, n);
		const row_t *before =
		    n == 0 ? o : g_ptr_array_index(changed, n - 1);

		if (n >= FEED_ROWS && o->version != before->version)
			break;
		json_array_append_new(rows, row_json(o));
	}
	answer = answer_json(rows);
	if (n < changed->len) {
		const row_t *last = g_ptr_array_index(changed, n - 1);

		json_object_set_new(answer, "has_more", json_true());
		json_object_set_new(
		    answer, "schema_version", json_integer(last->version));
	}
	return answer;
}

static feed_call_t *
feed_call_new(server_req_t *r, int64_t wait_ms)
{
	feed_call_t *call = g_new0(feed_call_t, 1);

	call->req = r;
	call->until_ms = now_ms() + wait_ms;
	g_ptr_array_add(standin.feed_calls, call);
	return call;
}

static void
store_feed(server_req_t *r)
{
	g_autofree char *after = query_field(r->path, "after");
	g_autofree char *wait = query_field(r->path, "wait_ms");
	feed_call_t *call = feed_call_new(r, atoi(wait));

	call->table = query_field(r->path, "table");
	call->after_version = g_ascii_strtoll(after, NULL, 10);
}

/* The approval service: approves all workers. */
static void
approve_all(server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL), *e;
	json_t *good = json_array();
	size_t i;

	json_array_foreach(json_object_get(j, "workers"), i, e)
	{
		json_array_append_new(good, json_pack("[O,s]", e, "t1"));
	}
	http_reply_json(r, 200,
	    json_pack("{s:o,s:i}", "good", good, "valid_ms", TICKET_VALID_MS));
	json_decref(j);
}

static void
on_store(void *ctx, server_req_t *r)
{
	(void)ctx;
	if (g_str_has_prefix(r->path, "/-/rows-tx"))
		store_tx(r);
	else if (g_str_has_prefix(r->path, "/-/rows-get"))
		store_scan(r);
	else if (g_str_has_prefix(r->path, "/-/rows-feed"))
		store_feed(r);
	else if (g_str_has_prefix(r->path, "/test/lose"))
		lose_next_tx(r);
	else if (g_str_has_prefix(r->path, "/-/advise"))
		approve_all(r);
	else
		server_reply(r, 404, "", "", 0);
}

/*
 * Ends runs that are due, and answers feed calls that have a change or waited
 * long enough.
 */
static void
on_tick(uv_timer_t *t)
{
	int64_t now = now_ms();

	(void)t;
	http_workers_tick(standin.http_workers);
	perform_lost_tx();
	for (guint i = standin.feed_calls->len; i-- > 0;) {
		feed_call_t *call = g_ptr_array_index(standin.feed_calls, i);
		json_t *answer =
		    changes_after(call->table, call->after_version);

		if (answer == NULL && now < call->until_ms)
			continue;
		if (answer == NULL)
			answer = answer_json(json_array());
		http_reply_json(call->req, 200, answer);
		g_free(call->table);
		g_ptr_array_remove_index_fast(standin.feed_calls, i);
	}
}

/* Writes a row of a table's partition "", which raises the store's version. */
static void
put_row_text(const char *table, const char *key, const char *value)
{
	g_autofree char *b64 =
	    g_base64_encode((const guchar *)value, strlen(value));

	standin.version++;
	put_row(table, "", key, b64);
}

static void
put_worker(int worker)
{
	g_autofree char *id = http_workers_id(standin.http_workers, worker);
	g_autofree char *row = http_workers_row(standin.http_workers, worker);

	put_row_text("servers", id, row);
}

static void
put_config(void)
{
	g_autofree char *config = platform_config_text(standin.key_changes);

	put_row_text("op", "config", config);
}

/*
 * Writes the operators' configuration and the rows of the workers, one of them
 * malformed.
 */
static void
seed_rows(void)
{
	put_config();
	for (int i = 0; i < standin.nworkers; i++)
		put_worker(i);
	put_row_text("servers", "i-bad", "{\"state\":\"odd\"}");
}

static void
on_key_signal(uv_signal_t *sig, int number)
{
	(void)sig;
	(void)number;
	standin.key_changes++;
	put_config();
	printf("keys %d\n", standin.key_changes);
	fflush(stdout);
}

/* Restarts one worker, the next at each signal. */
static void
on_restart_signal(uv_signal_t *sig, int number)
{
	int worker = standin.restarts++ % standin.nworkers;

	(void)sig;
	(void)number;
	http_workers_restart(standin.http_workers, worker);
	put_worker(worker);
}

static void
print_line(void *ctx, const char *line)
{
	(void)ctx;
	puts(line);
	fflush(stdout);
}

static bool
start_server(int port, void (*fn)(void *, server_req_t *))
{
	g_autoptr(GError) err = NULL;
	server_opts_t o = { .loop = standin.loop,
		.ip = IP,
		.port = port,
		.body_max_bytes = BODY_MAX_BYTES,
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
	static uv_signal_t restart, change_key;
	http_workers_opts_t o = { .ip = IP,
		.port = port + 1,
		.advertised_port = argc > 3 ? atoi(argv[3]) : port + 1,
		.workers = argc > 2 ? atoi(argv[2]) : 1,
		.task_ms = TASK_MS,
		.task_cpu_milli = argc > 4 ? atoi(argv[4]) : TASK_CPU_MILLI,
		.first_step_tasks = FIRST_STEP_TASKS,
		.on_line = print_line };

	if (port <= 0 || o.workers <= 0) {
		fprintf(stderr,
		    "usage: standin-users PORT [WORKERS [PORT-IN-ROWS "
		    "[CPU]]]\n");
		return 2;
	}
	o.loop = standin.loop = uv_default_loop();
	standin.nworkers = o.workers;
	standin.rows = g_ptr_array_new();
	standin.feed_calls = g_ptr_array_new();
	standin.http_workers = http_workers_new(&o);
	if (standin.http_workers == NULL || !start_server(port, on_store))
		return 1;
	seed_rows();
	uv_signal_init(standin.loop, &restart);
	uv_signal_start(&restart, on_restart_signal, SIGUSR1);
	uv_signal_init(standin.loop, &change_key);
	uv_signal_start(&change_key, on_key_signal, SIGUSR2);
	uv_timer_init(standin.loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	return uv_run(standin.loop, UV_RUN_DEFAULT);
}
