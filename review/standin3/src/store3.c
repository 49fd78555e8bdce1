/*
 * A stand-in of the platform for the scripts of the review: the store of rows
 * (PROTOCOL, "The platform's metadata store") and the service that advises on
 * placements (/-/advise).
 *
 * usage: store3 IP PORT RECORD DECISION-MS PER-ITEM-MS VALID-MS
 *
 * A worker or operator writes its rows by POST /x/put?table=T&key=K with the
 * value as the body, and removes them by POST /x/drop?table=T&key=K; other
 * processes can't write to the tables "op" and "servers" (403).  The row of a
 * worker that has not been written for three ping intervals is removed.
 *
 * The advice: one call at a time, in turn, DECISION-MS plus PER-ITEM-MS for each
 * worker named; 429 when 32 calls wait.  All workers are good.  A ticket names the
 * worker, the step and when it ends, VALID-MS after the answer.
 */
#define _GNU_SOURCE
#include <inttypes.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../../trans/trans.h"
#include "http3.h"

#define PING_MS	   1100
#define TICK_MS	   5
#define MAX_ROWS   500
#define MAX_ADVICE 32

typedef struct {
	char *table, *part, *key;
	char *value; /* base64; NULL once removed */
	int64_t version, written_ms;
} row_t;

typedef struct {
	server_req_t *req;
	char *table;
	int64_t after, until_ms;
} feed_t;

typedef struct {
	server_req_t *req;
	json_t *body;
	int64_t due_ms; /* 0: it waits */
} advice_t;

static GPtrArray *rows, *feeds, *advices;
static int64_t version = 1;
static int decision_ms, item_ms, valid_ms;
static FILE *record;

static void
reply(server_req_t *r, int status, json_t *j)
{
	char *s = json_dumps(j, JSON_COMPACT);

	server_reply(
	    r, status, "content-type: application/json\r\n", s, strlen(s));
	free(s);
	json_decref(j);
}

static char *
query(const char *path, const char *name)
{
	const char *q = strchr(path, '?');
	g_auto(GStrv) v = g_strsplit(q == NULL ? "" : q + 1, "&", -1);
	size_t n = strlen(name);

	for (char **p = v; *p != NULL; p++)
		if (strncmp(*p, name, n) == 0 && (*p)[n] == '=')
			return g_uri_unescape_string(*p + n + 1, NULL);
	return g_strdup("");
}

static const char *
text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s == NULL ? "" : s;
}

static row_t *
find(const char *table, const char *part, const char *key)
{
	for (guint i = 0; i < rows->len; i++) {
		row_t *r = g_ptr_array_index(rows, i);

		if (strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, key) == 0)
			return r;
	}
	return NULL;
}

static void
put(const char *table, const char *part, const char *key, const char *value)
{
	row_t *r = find(table, part, key);

	if (r == NULL) {
		r = g_new0(row_t, 1);
		r->table = g_strdup(table);
		r->part = g_strdup(part);
		r->key = g_strdup(key);
		g_ptr_array_add(rows, r);
	}
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = version;
	r->written_ms = mono_ms();
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
answer(json_t *list, bool more, int64_t v)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has_more", more,
	    "schema_version", (json_int_t)v, "now_ms", (json_int_t)mono_ms());
}

static bool
is_reserved(const json_t *list)
{
	const json_t *e;
	size_t i;

	json_array_foreach((json_t *)list, i, e)
	{
		if (strcmp(text(e, "table"), "op") == 0 ||
		    strcmp(text(e, "table"), "servers") == 0)
			return true;
	}
	return false;
}

static void
tx(server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	json_t *on = json_object_get(j, "precondition");
	json_t *puts = json_object_get(j, "puts");
	json_t *drops = json_object_get(j, "remove");
	json_t *current = json_array(), *e;
	bool conflict = false;
	size_t i;

	if (is_reserved(puts) || is_reserved(drops)) {
		server_reply(r, 403, "", "", 0);
		json_decref(current);
		json_decref(j);
		return;
	}
	if (j == NULL || r->body_bytes > 1000000 ||
	    json_array_size(on) + json_array_size(puts) +
		    json_array_size(drops) >
		100) {
		server_reply(r, 400, "", "", 0);
		json_decref(current);
		json_decref(j);
		return;
	}
	json_array_foreach(on, i, e)
	{
		row_t *o =
		    find(text(e, "table"), text(e, "part"), text(e, "key"));
		int64_t have = o == NULL || o->value == NULL ? 0 : o->version;

		if (have !=
		    json_integer_value(json_object_get(e, "schema_version")))
			conflict = true;
		if (have != 0)
			json_array_append_new(current, row_json(o));
	}
	if (conflict) {
		reply(r, 412, answer(current, false, version));
		json_decref(j);
		return;
	}
	version++;
	json_array_foreach(puts, i, e)
	{
		put(text(e, "table"), text(e, "part"), text(e, "key"),
		    text(e, "value"));
	}
	json_array_foreach(drops, i, e)
	{
		put(text(e, "table"), text(e, "part"), text(e, "key"), NULL);
	}
	reply(r, 200, answer(json_array(), false, version));
	json_decref(current);
	json_decref(j);
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static gint
by_version(gconstpointer a, gconstpointer b)
{
	int64_t x = (*(row_t *const *)a)->version,
		y = (*(row_t *const *)b)->version;

	return x < y ? -1 : x > y;
}

static void
scan(server_req_t *r)
{
	g_autofree char *table = query(r->path, "table");
	g_autofree char *part = query(r->path, "part");
	g_autofree char *from = query(r->path, "from");
	g_autofree char *to = query(r->path, "to");
	g_autofree char *lim = query(r->path, "limit");
	g_autoptr(GPtrArray) some = g_ptr_array_new();
	size_t limit = lim[0] == '\0' ? MAX_ROWS : (size_t)atoi(lim), bytes = 0;
	json_t *list = json_array();
	guint i;

	for (i = 0; i < rows->len; i++) {
		row_t *o = g_ptr_array_index(rows, i);

		if (strcmp(o->table, table) == 0 &&
		    strcmp(o->part, part) == 0 && o->value != NULL &&
		    strcmp(o->key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(o->key, to) < 0))
			g_ptr_array_add(some, o);
	}
	g_ptr_array_sort(some, by_key);
	for (i = 0;
	     i < some->len && i < limit && i < MAX_ROWS && bytes < 900000;
	     i++) {
		row_t *o = g_ptr_array_index(some, i);

		bytes += strlen(o->value);
		json_array_append_new(list, row_json(o));
	}
	reply(r, 200, answer(list, i < some->len, version));
}

static json_t *
changes(const char *table, int64_t after)
{
	g_autoptr(GPtrArray) some = g_ptr_array_new();
	json_t *list;
	guint n;

	for (guint i = 0; i < rows->len; i++) {
		row_t *o = g_ptr_array_index(rows, i);

		if (strcmp(o->table, table) == 0 && o->version > after)
			g_ptr_array_add(some, o);
	}
	if (some->len == 0)
		return NULL;
	g_ptr_array_sort(some, by_version);
	list = json_array();
	for (n = 0; n < some->len; n++) {
		row_t *o = g_ptr_array_index(some, n);

		/* Up to the end of a transaction. */
		if (n >= MAX_ROWS &&
		    o->version !=
			((row_t *)g_ptr_array_index(some, n - 1))->version)
			break;
		json_array_append_new(list, row_json(o));
	}
	return answer(list, n < some->len,
	    n < some->len ? ((row_t *)g_ptr_array_index(some, n - 1))->version :
			    version);
}

static void
feed(server_req_t *r)
{
	g_autofree char *after = query(r->path, "after");
	g_autofree char *wait = query(r->path, "wait_ms");
	feed_t *f = g_new0(feed_t, 1);

	f->req = r;
	f->table = query(r->path, "table");
	f->after = g_ascii_strtoll(after, NULL, 10);
	f->until_ms = mono_ms() + atoi(wait);
	g_ptr_array_add(feeds, f);
}

static void
advise(server_req_t *r)
{
	advice_t *a;

	if (advices->len > MAX_ADVICE) {
		server_reply(r, 429, "", "", 0);
		return;
	}
	a = g_new0(advice_t, 1);
	a->req = r;
	a->body = json_loadb(r->body, r->body_bytes, 0, NULL);
	g_ptr_array_add(advices, a);
}

static void
advice_answer(advice_t *a)
{
	json_t *good = json_array(), *e;
	const char *step = text(a->body, "step");
	size_t i;

	json_array_foreach(json_object_get(a->body, "workers"), i, e)
	{
		g_autofree char *t = g_strdup_printf("%s:%s:%" PRId64,
		    json_string_value(e), step, mono_ms() + valid_ms);

		json_array_append_new(
		    good, json_pack("[s,s]", json_string_value(e), t));
	}
	fprintf(record, "%" PRId64 " advice step=%s workers=%zu\n", wall_ms(),
	    step, json_array_size(good));
	fflush(record);
	reply(a->req, 200,
	    json_pack("{s:o,s:i}", "good", good, "valid_ms", valid_ms));
}

static void
advice_tick(int64_t now)
{
	advice_t *a;

	if (advices->len == 0)
		return;
	a = g_ptr_array_index(advices, 0);
	if (a->due_ms == 0)
		a->due_ms = now + decision_ms +
		    item_ms *
			(int64_t)json_array_size(
			    json_object_get(a->body, "workers"));
	if (now < a->due_ms)
		return;
	advice_answer(a);
	json_decref(a->body);
	g_ptr_array_remove_index(advices, 0);
	g_free(a);
}

/* Rows that the operator and the workers write. */
static void
own_put(server_req_t *r, bool drop)
{
	g_autofree char *table = query(r->path, "table");
	g_autofree char *key = query(r->path, "key");
	g_autofree char *b64 =
	    g_base64_encode((const guchar *)r->body, r->body_bytes);

	version++;
	put(table, "", key, drop ? NULL : b64);
	server_reply(r, 200, "", "{}", 2);
}

static void
on_request(void *ctx, server_req_t *r)
{
	(void)ctx;
	if (g_str_has_prefix(r->path, "/-/rows-tx"))
		tx(r);
	else if (g_str_has_prefix(r->path, "/-/rows-get"))
		scan(r);
	else if (g_str_has_prefix(r->path, "/-/rows-feed"))
		feed(r);
	else if (g_str_has_prefix(r->path, "/-/advise"))
		advise(r);
	else if (g_str_has_prefix(r->path, "/x/put"))
		own_put(r, false);
	else if (g_str_has_prefix(r->path, "/x/drop"))
		own_put(r, true);
	else
		server_reply(r, 404, "", "", 0);
}

static void
on_tick(uv_timer_t *t)
{
	int64_t now = mono_ms();

	(void)t;
	advice_tick(now);
	for (guint i = 0; i < rows->len; i++) {
		row_t *r = g_ptr_array_index(rows, i);

		if (strcmp(r->table, "servers") != 0 || r->value == NULL ||
		    now - r->written_ms < 3 * PING_MS)
			continue;
		version++;
		put("servers", "", r->key, NULL);
	}
	for (guint i = feeds->len; i-- > 0;) {
		feed_t *f = g_ptr_array_index(feeds, i);
		json_t *j = changes(f->table, f->after);

		if (j == NULL && now < f->until_ms)
			continue;
		reply(f->req, 200,
		    j != NULL ? j : answer(json_array(), false, version));
		g_free(f->table);
		g_free(f);
		g_ptr_array_remove_index_fast(feeds, i);
	}
}

int
main(int argc, char **argv)
{
	g_autoptr(GError) err = NULL;
	server_opts_t o = { .loop = uv_default_loop(),
		.body_max_bytes = 2 << 20,
		.on_request = on_request };
	uv_timer_t tick;

	if (argc != 7)
		return 2;
	o.ip = argv[1];
	o.port = atoi(argv[2]);
	record = fopen(argv[3], "a");
	decision_ms = atoi(argv[4]);
	item_ms = atoi(argv[5]);
	valid_ms = atoi(argv[6]);
	rows = g_ptr_array_new();
	feeds = g_ptr_array_new();
	advices = g_ptr_array_new();
	if (record == NULL || server_new(&o, &err) == NULL) {
		fprintf(stderr, "store3: %s\n",
		    err == NULL ? "no record" : err->message);
		return 1;
	}
	uv_timer_init(o.loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	return uv_run(o.loop, UV_RUN_DEFAULT);
}
