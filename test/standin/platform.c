/*
 * Stand-in for the platform: its table and its list of VMs, with switches for
 * failures and delays that tests set at /v1/switch.
 * usage: standin-platform IP PORT VMS-FILE
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

/* The list of VMs, as JSON, from at_ms on. */
typedef struct {
	int64_t at_ms;
	char *text;
} snapshot_t;

typedef struct {
	uv_loop_t *loop;
	fake_table_t table;
	const char *vms_json; /* list of VMs; the newest snapshot's */
	GQueue snapshots;     /* of the list, newest first */
	/* Switches. */
	bool is_down;		 /* requests other than /v1/switch get 503 */
	int32_t answer_delay_ms; /* JSON slow_ms */
	int32_t answers_to_lose; /* transactions to apply and answer with 500 */
	int32_t vms_lag_ms;	 /* age of the list of VMs in answers */
} platform_t;

typedef struct {
	uv_timer_t timer;
	server_req_t *req;
	int32_t status;
	char *body;
} delayed_answer_t;

static int64_t
now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void
on_closed(uv_handle_t *h)
{
	delayed_answer_t *a = h->data;

	g_free(a->body);
	g_free(a);
}

static void
on_delay_over(uv_timer_t *t)
{
	delayed_answer_t *a = t->data;

	server_reply(a->req, a->status, "", a->body, strlen(a->body));
	uv_close((uv_handle_t *)t, on_closed);
}

/* Answers after answer_delay_ms and frees the body. */
static void
answer(platform_t *p, server_req_t *r, int32_t status, char *body)
{
	delayed_answer_t *a;

	if (p->answer_delay_ms == 0) {
		server_reply(r, status, "", body, strlen(body));
		g_free(body);
		return;
	}
	a = g_new0(delayed_answer_t, 1);
	a->req = r;
	a->status = status;
	a->body = body;
	uv_timer_init(p->loop, &a->timer);
	a->timer.data = a;
	uv_timer_start(
	    &a->timer, on_delay_over, (uint64_t)p->answer_delay_ms, 0);
}

/* The value of a parameter in a path's query, or "". */
static char *
query_value(const char *path, const char *name)
{
	const char *q = strchr(path, '?');
	g_autofree char *key = g_strconcat(name, "=", NULL);
	g_auto(GStrv) v = g_strsplit(q == NULL ? "" : q + 1, "&", -1);

	for (int i = 0; v[i] != NULL; i++)
		if (g_str_has_prefix(v[i], key))
			return g_uri_unescape_string(v[i] + strlen(key), NULL);
	return g_strdup("");
}

/* Formats and frees a JSON value. */
static char *
json_to_text(json_t *j)
{
	char *s = json_dumps(j, JSON_COMPACT);
	char *copy = g_strdup(s);

	free(s);
	json_decref(j);
	return copy;
}

static void
handle_rows(platform_t *p, server_req_t *r)
{
	g_autofree char *prefix = query_value(r->path, "prefix");
	g_autofree char *newer = query_value(r->path, "newer");
	GArray *a = fake_table_read(
	    &p->table, prefix, g_ascii_strtoll(newer, NULL, 10));
	json_t *list = json_array();

	for (guint i = 0; i < a->len; i++)
		json_array_append_new(
		    list, row_to_json(&g_array_index(a, ts_row_t, i)));
	fake_rows_free(a);
	answer(p, r, 200, json_to_text(json_pack("{s:o}", "rows", list)));
}

/* Joins the checks and writes of a transaction by their keys. */
static bool
parse_txn(const json_t *j, GArray *rows)
{
	const json_t *checks = json_object_get(j, "checks");
	const json_t *writes = json_object_get(j, "writes");

	for (size_t i = 0; i < json_array_size(checks); i++) {
		const json_t *c = json_array_get(checks, i);
		const char *key = json_string_value(json_object_get(c, "key"));
		ts_txn_row_t txn_row = { 0 };

		if (key == NULL)
			return false;
		for (size_t k = 0; k < json_array_size(writes); k++) {
			const json_t *w = json_array_get(writes, k);

			if (g_strcmp0(key,
				json_string_value(json_object_get(w, "key"))) !=
			    0)
				continue;
			if (!row_from_json(w, &txn_row.row, NULL))
				return false;
			txn_row.write = true;
		}
		g_strlcpy(txn_row.row.key, key, sizeof(txn_row.row.key));
		txn_row.row.version =
		    json_integer_value(json_object_get(c, "version"));
		g_array_append_val(rows, txn_row);
	}
	return true;
}

static void
handle_txn(platform_t *p, server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	g_autoptr(GArray) a = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
	int64_t version;
	size_t conflict;

	if (j == NULL || !parse_txn(j, a))
		answer(p, r, 400, g_strdup("{\"error\":\"bad txn\"}"));
	else if (fake_table_txn(&p->table, (ts_txn_row_t *)a->data, a->len,
		     &version, &conflict) == TS_TXN_CONFLICT)
		answer(
		    p, r, 409, g_strdup_printf("{\"conflict\":%zu}", conflict));
	else if (p->answers_to_lose > 0) {
		p->answers_to_lose--;
		answer(p, r, 500, g_strdup("{\"error\":\"lost\"}"));
	} else
		answer(p, r, 200,
		    g_strdup_printf("{\"version\":%" PRId64 "}", version));
	for (guint i = 0; i < a->len; i++)
		row_clear(&g_array_index(a, ts_txn_row_t, i).row);
	json_decref(j);
}

/* Answers with the list as it was vms_lag_ms ago. */
static void
handle_get_vms(platform_t *p, server_req_t *r)
{
	const char *text = p->vms_json;

	for (GList *i = p->snapshots.head; i != NULL && p->vms_lag_ms > 0;
	     i = i->next) {
		snapshot_t *s = i->data;

		text = s->text;
		if (s->at_ms <= now_ms() - p->vms_lag_ms)
			break;
	}
	answer(p, r, 200, g_strdup(text));
}

/* Takes ownership of text, the list of VMs as JSON. */
static void
set_vms(platform_t *p, char *text)
{
	snapshot_t *s = g_new0(snapshot_t, 1);

	s->at_ms = now_ms();
	s->text = text;
	g_queue_push_head(&p->snapshots, s);
	p->vms_json = text;
}

static void
handle_set_vms(platform_t *p, server_req_t *r)
{
	g_autofree char *text = g_strndup(r->body, r->body_bytes);
	GArray *a = vms_from_json(text, strlen(text), NULL);

	if (a == NULL) {
		answer(p, r, 400, g_strdup("{\"error\":\"bad list\"}"));
		return;
	}
	g_array_free(a, TRUE);
	set_vms(p, g_steal_pointer(&text));
	answer(p, r, 200, g_strdup("{}"));
}

static void
handle_switch(platform_t *p, server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);

	p->is_down = json_is_true(json_object_get(j, "down"));
	p->answer_delay_ms =
	    (int32_t)json_integer_value(json_object_get(j, "slow_ms"));
	p->answers_to_lose =
	    (int32_t)json_integer_value(json_object_get(j, "lose"));
	p->vms_lag_ms =
	    (int32_t)json_integer_value(json_object_get(j, "vm_lag_ms"));
	json_decref(j);
	server_reply(r, 200, "", "{}", 2);
}

static void
handle_stats(platform_t *p, server_req_t *r)
{
	answer(p, r, 200,
	    g_strdup_printf("{\"txns\":%" PRIu64 ",\"reads\":%" PRIu64 "}",
		p->table.txns, p->table.reads));
}

static void
on_request(void *ctx, server_req_t *r)
{
	platform_t *p = ctx;
	bool is_get = strcmp(r->method, "GET") == 0;

	if (g_str_has_prefix(r->path, "/v1/switch"))
		handle_switch(p, r);
	else if (p->is_down)
		server_reply(r, 503, "", "{\"error\":\"down\"}", 16);
	else if (g_str_has_prefix(r->path, "/v1/rows"))
		handle_rows(p, r);
	else if (g_str_has_prefix(r->path, "/v1/txn"))
		handle_txn(p, r);
	else if (g_str_has_prefix(r->path, "/v1/stats"))
		handle_stats(p, r);
	else if (g_str_has_prefix(r->path, "/v1/vms") && is_get)
		handle_get_vms(p, r);
	else if (g_str_has_prefix(r->path, "/v1/vms"))
		handle_set_vms(p, r);
	else
		server_reply(r, 404, "", "{\"error\":\"no such path\"}", 24);
}

int
main(int argc, char **argv)
{
	platform_t p = { 0 };
	server_opts_t o = { 0 };
	g_autoptr(GError) err = NULL;
	char *vms;

	if (argc != 4) {
		fprintf(stderr, "usage: standin-platform IP PORT VMS-FILE\n");
		return 2;
	}
	p.loop = uv_default_loop();
	fake_table_init(&p.table);
	g_queue_init(&p.snapshots);
	if (!g_file_get_contents(argv[3], &vms, NULL, &err)) {
		fprintf(stderr, "standin-platform: %s\n", err->message);
		return 1;
	}
	set_vms(&p, vms);
	o.loop = p.loop;
	o.ip = argv[1];
	o.port = atoi(argv[2]);
	o.body_max_bytes = 64 << 20;
	o.on_request = on_request;
	o.ctx = &p;
	if (server_new(&o, &err) == NULL) {
		fprintf(stderr, "standin-platform: %s\n", err->message);
		return 1;
	}
	return uv_run(p.loop, UV_RUN_DEFAULT);
}
