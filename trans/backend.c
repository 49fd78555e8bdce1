/*
 * Kept connections to backend servers, one exchange on each at a time.  An
 * answer is passed on only when whole; a connection on which anything went
 * wrong is closed, so that a late answer cannot reach another caller.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <http_parser.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "trans.h"

#define ANSWER_MAX_BYTES  (8 * 1024 * 1024)
#define HEADERS_MAX_BYTES (64 * 1024)
#define CONNECT_MS	  1000
#define READ_BYTES	  (64 * 1024)

typedef struct {
	char *key;
	GQueue idle; /* of conn_t */
	int32_t open;
} target_t;

typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer;
	backends_t *all;
	target_t *target;
	http_parser parser;
	GByteArray *out;
	GByteArray *body;
	GString *headers;
	bool in_value; /* of a header */
	bool head;     /* the method is HEAD */
	bool connected;
	bool writing; /* the request is not all written */
	bool busy;
	bool keep;
	bool whole;
	bool closing;
	int closes; /* handles still to close */
	uint64_t req;
	int32_t attempt;
	int32_t timeout_ms;
} conn_t;

struct backends {
	uv_loop_t *loop;
	backend_fn fn;
	void *ctx;
	GHashTable *targets;
	uv_timer_t defer;
	GQueue failed; /* of failed_t, told from the loop */
	char in[READ_BYTES];
};

typedef struct {
	uint64_t req;
	int32_t attempt;
} failed_t;

static void
on_closed(uv_handle_t *h)
{
	conn_t *k = h->data;

	if (--k->closes > 0)
		return;
	g_byte_array_free(k->out, TRUE);
	g_byte_array_free(k->body, TRUE);
	g_string_free(k->headers, TRUE);
	g_free(k);
}

static void
conn_close(conn_t *k)
{
	if (k->closing)
		return;
	k->closing = true;
	k->target->open--;
	g_queue_remove(&k->target->idle, k);
	k->closes = 2;
	uv_close((uv_handle_t *)&k->tcp, on_closed);
	uv_close((uv_handle_t *)&k->timer, on_closed);
}

/*
 * Ends the exchange.  The connection is kept only after a whole answer to a
 * request that was written whole: an answer may come before.
 */
static void
finish(conn_t *k, ts_outcome_t outcome)
{
	backend_answer_t a = { outcome, 0, NULL, NULL, 0 };
	backends_t *b = k->all;

	if (!k->busy)
		return;
	k->busy = false;
	uv_timer_stop(&k->timer);
	if (outcome == TS_OUTCOME_ANSWERED) {
		a.status = (int32_t)k->parser.status_code;
		a.headers = k->headers->str;
		a.body = k->body->data;
		a.body_bytes = k->body->len;
	}
	if (outcome == TS_OUTCOME_ANSWERED && k->keep && !k->writing &&
	    !k->closing)
		g_queue_push_head(&k->target->idle, k);
	else
		conn_close(k);
	b->fn(b->ctx, k->req, k->attempt, &a);
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	conn_t *k = p->data;

	if (k->in_value)
		g_string_append(k->headers, "\r\n");
	k->in_value = false;
	g_string_append_len(k->headers, at, (gssize)n);
	return k->headers->len > HEADERS_MAX_BYTES;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	conn_t *k = p->data;

	if (!k->in_value)
		g_string_append(k->headers, ": ");
	k->in_value = true;
	g_string_append_len(k->headers, at, (gssize)n);
	return k->headers->len > HEADERS_MAX_BYTES;
}

static int
on_headers(http_parser *p)
{
	conn_t *k = p->data;

	if (k->in_value)
		g_string_append(k->headers, "\r\n");
	k->in_value = false;
	return k->head; /* 1: no body follows */
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	conn_t *k = p->data;

	if (k->body->len + n > ANSWER_MAX_BYTES)
		return 1;
	g_byte_array_append(k->body, (const uint8_t *)at, (guint)n);
	return 0;
}

static int
on_whole(http_parser *p)
{
	conn_t *k = p->data;

	/* An interim answer (1xx) is not the answer. */
	if (p->status_code < 200) {
		g_string_truncate(k->headers, 0);
		return 0;
	}
	k->whole = true;
	k->keep = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_whole,
};

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	conn_t *k = h->data;

	(void)want;
	*buf = uv_buf_init(k->all->in, READ_BYTES);
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	conn_t *k = st->data;
	size_t used;

	if (n == 0)
		return;
	if (!k->busy || n < 0) { /* closed, or bytes nobody asked for */
		if (k->busy && n == UV_EOF) {
			http_parser_execute(&k->parser, &settings, NULL, 0);
			k->keep = false;
		}
		if (k->busy)
			finish(k,
			    k->whole ? TS_OUTCOME_ANSWERED :
				       TS_OUTCOME_UNKNOWN);
		else
			conn_close(k);
		return;
	}
	used = http_parser_execute(&k->parser, &settings, buf->base, (size_t)n);
	if (k->whole) {
		/* More than the answer: the lengths cannot be trusted. */
		if (used < (size_t)n)
			k->keep = false;
		finish(k, TS_OUTCOME_ANSWERED);
	} else if (HTTP_PARSER_ERRNO(&k->parser) != HPE_OK)
		finish(k, TS_OUTCOME_UNKNOWN);
}

static void
on_written(uv_write_t *w, int status)
{
	conn_t *k = w->data;

	k->writing = false;
	if (status != 0 && !k->closing)
		finish(k, TS_OUTCOME_UNKNOWN);
}

static void
on_timeout(uv_timer_t *t)
{
	conn_t *k = t->data;

	finish(k, k->connected ? TS_OUTCOME_UNKNOWN : TS_OUTCOME_NOT_RUN);
}

static void
write_call(conn_t *k)
{
	uv_buf_t buf = uv_buf_init((char *)k->out->data, k->out->len);

	k->write.data = k;
	k->writing = true;
	uv_timer_start(&k->timer, on_timeout, (uint64_t)k->timeout_ms, 0);
	if (uv_write(&k->write, (uv_stream_t *)&k->tcp, &buf, 1, on_written) !=
	    0) /* told from the loop, as of a timeout */
		uv_timer_start(&k->timer, on_timeout, 0, 0);
}

static void
on_connected(uv_connect_t *req, int status)
{
	conn_t *k = req->data;

	if (k->closing)
		return;
	if (status != 0) {
		finish(k, TS_OUTCOME_NOT_RUN);
		return;
	}
	k->connected = true;
	uv_tcp_nodelay(&k->tcp, 1);
	uv_read_start((uv_stream_t *)&k->tcp, on_alloc, on_read);
	write_call(k);
}

static conn_t *
conn_new(backends_t *b, target_t *t)
{
	conn_t *k = g_new0(conn_t, 1);

	k->all = b;
	k->target = t;
	k->out = g_byte_array_new();
	k->body = g_byte_array_new();
	k->headers = g_string_new(NULL);
	uv_tcp_init(b->loop, &k->tcp);
	uv_timer_init(b->loop, &k->timer);
	k->tcp.data = k->timer.data = k;
	t->open++;
	return k;
}

static void
append_text(GByteArray *b, const char *s)
{
	g_byte_array_append(b, (const uint8_t *)s, (guint)strlen(s));
}

static void
fill(conn_t *k, const backend_call_t *c)
{
	g_autofree char *head = g_strdup_printf(
	    "%s %s HTTP/1.1\r\n"
	    "Host: %s:%d\r\nContent-Length: %zu\r\nX-Deadline-Ms: %d\r\n",
	    c->method, c->path, c->ip, c->port, c->body_bytes, c->timeout_ms);

	g_byte_array_set_size(k->out, 0);
	g_byte_array_set_size(k->body, 0);
	g_string_truncate(k->headers, 0);
	append_text(k->out, head);
	append_text(k->out, c->headers);
	append_text(k->out, "\r\n");
	if (c->body_bytes > 0)
		g_byte_array_append(k->out, c->body, (guint)c->body_bytes);
	http_parser_init(&k->parser, HTTP_RESPONSE);
	k->parser.data = k;
	k->in_value = k->whole = k->keep = false;
	k->head = strcmp(c->method, "HEAD") == 0;
	k->timeout_ms = c->timeout_ms;
	k->busy = true;
}

static target_t *
target_get(backends_t *b, const char *ip, int32_t port)
{
	g_autofree char *key = g_strdup_printf("%s:%d", ip, port);
	target_t *t = g_hash_table_lookup(b->targets, key);

	if (t == NULL) {
		t = g_new0(target_t, 1);
		t->key = g_steal_pointer(&key);
		g_queue_init(&t->idle);
		g_hash_table_insert(b->targets, t->key, t);
	}
	return t;
}

static void
on_defer(uv_timer_t *timer)
{
	backends_t *b = timer->data;
	backend_answer_t a = { TS_OUTCOME_NOT_RUN, 0, NULL, NULL, 0 };
	failed_t *f;

	while ((f = g_queue_pop_head(&b->failed)) != NULL) {
		b->fn(b->ctx, f->req, f->attempt, &a);
		g_free(f);
	}
}

/* Tells of a call that could not begin, once the caller has returned. */
static void
fail_later(backends_t *b, uint64_t req, int32_t attempt)
{
	failed_t *f = g_new(failed_t, 1);

	f->req = req;
	f->attempt = attempt;
	g_queue_push_tail(&b->failed, f);
	uv_timer_start(&b->defer, on_defer, 0, 0);
}

backends_t *
backends_new(uv_loop_t *loop, backend_fn fn, void *ctx)
{
	backends_t *b = g_new0(backends_t, 1);

	b->loop = loop;
	b->fn = fn;
	b->ctx = ctx;
	b->targets = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&b->failed);
	uv_timer_init(loop, &b->defer);
	b->defer.data = b;
	return b;
}

void
backends_send(
    backends_t *b, uint64_t req, int32_t attempt, const backend_call_t *c)
{
	target_t *t = target_get(b, c->ip, c->port);
	conn_t *k = g_queue_pop_head(&t->idle);
	struct sockaddr_in a;

	if (k != NULL) {
		k->req = req;
		k->attempt = attempt;
		fill(k, c);
		write_call(k);
		return;
	}
	if (t->open >= c->max_conns || uv_ip4_addr(c->ip, c->port, &a) != 0) {
		fail_later(b, req, attempt);
		return;
	}
	k = conn_new(b, t);
	k->req = req;
	k->attempt = attempt;
	fill(k, c);
	k->connect.data = k;
	uv_timer_start(
	    &k->timer, on_timeout, (uint64_t)MIN(c->timeout_ms, CONNECT_MS), 0);
	if (uv_tcp_connect(&k->connect, &k->tcp, (struct sockaddr *)&a,
		on_connected) != 0) {
		k->busy = false;
		conn_close(k);
		fail_later(b, req, attempt);
	}
}

void
backends_close_idle(backends_t *b)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, b->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		while (!g_queue_is_empty(&((target_t *)v)->idle))
			conn_close(g_queue_peek_head(&((target_t *)v)->idle));
}
