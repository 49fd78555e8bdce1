/*
 * A store of one table on loopback; see store_fixture.h.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"
#include "store_fixture.h"

#define FIRST_PORT 18470
#define LAST_PORT  18570

typedef struct {
	char *key;
	char *value; /* base64; NULL: removed */
	int64_t version;
} change_t;

/* A call that is handled, or a poll that is over, after a time. */
typedef struct {
	store_fixture_t *store;
	server_req_t *req;
	uv_timer_t timer;
} later_t;

static json_t *
change_json(const change_t *c)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", "op", "part", "",
	    "key", c->key, "schema_version", (json_int_t)c->version);

	if (c->value == NULL)
		json_object_set_new(j, "removed", json_true());
	else
		json_object_set_new(j, "value", json_string(c->value));
	return j;
}

typedef struct {
	uv_timer_t timer;
	server_req_t *req;
	int32_t status;
	char *text;
} answer_t;

static void
on_answer_closed(uv_handle_t *h)
{
	answer_t *a = h->data;

	free(a->text);
	g_free(a);
}

static void
on_answer_due(uv_timer_t *t)
{
	answer_t *a = t->data;

	server_reply(a->req, a->status, "", a->text, strlen(a->text));
	uv_close((uv_handle_t *)t, on_answer_closed);
}

static void
reply(store_fixture_t *f, server_req_t *r, int32_t status, json_t *rows)
{
	json_t *j = json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has_more", 0,
	    "schema_version", (json_int_t)f->version, "now_ms",
	    (json_int_t)(uv_hrtime() / 1000000));
	answer_t *a = g_new0(answer_t, 1);
	size_t n = json_array_size(rows);

	a->req = r;
	a->status = status;
	a->text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	f->rows_sent += n;
	uv_timer_init(f->loop, &a->timer);
	a->timer.data = a;
	if (f->row_ms == 0)
		on_answer_due(&a->timer);
	else
		uv_timer_start(
		    &a->timer, on_answer_due, (uint64_t)f->row_ms * n, 0);
}

/* The last change of each key that was not removed. */
static json_t *
present_rows(const store_fixture_t *f)
{
	json_t *rows = json_array();

	for (guint i = 0; i < f->history->len; i++) {
		const change_t *c = g_ptr_array_index(f->history, i);
		bool last = c->value != NULL;

		for (guint k = i + 1; k < f->history->len; k++) {
			const change_t *o = g_ptr_array_index(f->history, k);

			last = last && strcmp(o->key, c->key) != 0;
		}
		if (last)
			json_array_append_new(rows, change_json(c));
	}
	return rows;
}

static void
on_later_closed(uv_handle_t *h)
{
	g_free(h->data);
}

static void
handle_later(
    store_fixture_t *f, server_req_t *r, int64_t ms, uv_timer_cb handle)
{
	later_t *l = g_new0(later_t, 1);

	l->store = f;
	l->req = r;
	uv_timer_init(f->loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, handle, (uint64_t)ms, 0);
}

/* A call of the feed is answered at the end of its wait_ms. */
static void
on_poll_over(uv_timer_t *t)
{
	later_t *l = t->data;

	if (!l->store->away && g_ptr_array_remove(l->store->held, l->req))
		reply(l->store, l->req, 200, json_array());
	uv_close((uv_handle_t *)t, on_later_closed);
}

/* Answers a call of the feed, or holds it if there is no change. */
static void
answer_feed(store_fixture_t *f, server_req_t *r)
{
	const char *at = strstr(r->path, "after=");
	int64_t after = g_ascii_strtoll(at + strlen("after="), NULL, 10);
	json_t *rows;

	if (after < f->kept_from || f->forgets) {
		reply(f, r, 410, json_array());
		return;
	}
	if (after >= f->version) {
		const char *wait = strstr(r->path, "wait_ms=");

		g_ptr_array_add(f->held, r);
		handle_later(f, r,
		    g_ascii_strtoll(wait + strlen("wait_ms="), NULL, 10),
		    on_poll_over);
		return;
	}
	rows = json_array();
	for (guint i = 0; i < f->history->len; i++) {
		const change_t *c = g_ptr_array_index(f->history, i);

		if (c->version > after)
			json_array_append_new(rows, change_json(c));
	}
	reply(f, r, 200, rows);
}

static void
handle(store_fixture_t *f, server_req_t *r)
{
	bool feed = strstr(r->path, "rows-feed") != NULL;

	if (f->away)
		g_ptr_array_add(f->held, r);
	else if (feed)
		answer_feed(f, r);
	else
		reply(f, r, 200, present_rows(f));
}

static void
on_slow(uv_timer_t *t)
{
	later_t *l = t->data;

	handle(l->store, l->req);
	uv_close((uv_handle_t *)t, on_later_closed);
}

static void
on_request(void *ctx, server_req_t *r)
{
	store_fixture_t *f = ctx;
	bool feed = strstr(r->path, "rows-feed") != NULL;

	f->feeds += feed;
	f->reads += !feed;
	if (f->slow_ms > 0)
		handle_later(f, r, f->slow_ms, on_slow);
	else
		handle(f, r);
}

void
store_fixture_init(store_fixture_t *f, uv_loop_t *loop)
{
	server_opts_t o = { .loop = loop,
		.ip = "127.0.0.1",
		.body_max_bytes = 1 << 20,
		.on_request = on_request,
		.ctx = f };

	f->loop = loop;
	f->history = g_ptr_array_new();
	f->held = g_ptr_array_new();
	for (o.port = FIRST_PORT; f->server == NULL; o.port++) {
		cr_assert_lt(o.port, LAST_PORT);
		f->server = server_new(&o, NULL);
	}
	f->address = g_strdup_printf("127.0.0.1:%d", o.port - 1);
}

void
store_fixture_put(store_fixture_t *f, const char *key, const char *text)
{
	change_t *c = g_new0(change_t, 1);
	g_autoptr(GPtrArray) held = f->held;

	c->key = g_strdup(key);
	c->version = ++f->version;
	if (text != NULL)
		c->value = g_base64_encode((const guchar *)text, strlen(text));
	g_ptr_array_add(f->history, c);
	if (f->away) {
		held = NULL;
		return;
	}
	f->held = g_ptr_array_new();
	for (guint i = 0; i < held->len; i++)
		answer_feed(f, g_ptr_array_index(held, i));
}

void
store_fixture_compact(store_fixture_t *f)
{
	f->kept_from = f->version;
}
