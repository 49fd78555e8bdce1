/*
 * Backend connections against a server that misbehaves in every way.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"

#define PORT 18733

typedef struct {
	const char *name;
	const char *answer; /* NULL: none */
	bool close;	    /* after it */
	int pieces;	    /* writes it comes in */
	ts_outcome_t outcome;
	const char *body;
	bool kept;	   /* the connection serves the next */
	size_t body_bytes; /* of the request */
} case_t;

#define OK "HTTP/1.1 200 OK\r\n"
static const case_t cases[] = {
	{ "whole", OK "Content-Length: 5\r\n\r\nhello", false, 1,
	    TS_OUTCOME_ANSWERED, "hello", true },
	{ "in pieces", OK "Content-Length: 5\r\n\r\nhello", false, 9,
	    TS_OUTCOME_ANSWERED, "hello", true },
	{ "chunked",
	    OK "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	       "\r\n",
	    false, 4, TS_OUTCOME_ANSWERED, "abc", true },
	{ "interim",
	    "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 1\r\n\r\nx",
	    false, 1, TS_OUTCOME_ANSWERED, "x", true },
	{ "until close", OK "\r\nhello", true, 1, TS_OUTCOME_ANSWERED, "hello",
	    false },
	{ "told to close",
	    OK "Connection: close\r\nContent-Length: 1\r\n\r\n"
	       "x",
	    false, 1, TS_OUTCOME_ANSWERED, "x", false },
	{ "cut short", OK "Content-Length: 50\r\n\r\nhello", true, 1,
	    TS_OUTCOME_UNKNOWN, NULL, false },
	{ "cut in a chunk", OK "Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
	    true, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	{ "cut in the head", "HTTP/1.1 20", true, 1, TS_OUTCOME_UNKNOWN, NULL,
	    false },
	{ "closed at once", "", true, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	{ "not http", "220 smtp ready\r\n", false, 1, TS_OUTCOME_UNKNOWN, NULL,
	    false },
	{ "two lengths",
	    OK "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"
	       "hello",
	    false, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	{ "too long", OK "Content-Length: 2\r\n\r\nhello", false, 1,
	    TS_OUTCOME_ANSWERED, "he", false },
	{ "silent", NULL, false, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	/* A server that refuses while the request is still being written. */
	{ "before the request was sent",
	    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, 1,
	    TS_OUTCOME_ANSWERED, NULL, false, 16 * 1024 * 1024 },
};

typedef struct {
	uv_loop_t loop;
	uv_tcp_t listener;
	const case_t *k;
	backends_t *b;
	int accepted;
	int ended;
	ts_outcome_t outcome;
	char *body;
} rig_t;

typedef struct {
	uv_tcp_t tcp;
	rig_t *rig;
	char buf[4096];
} peer_t;

static void
on_closed(uv_handle_t *h)
{
	g_free(h);
}

static void
on_alloc(uv_handle_t *h, size_t n, uv_buf_t *b)
{
	(void)n;
	*b = uv_buf_init(((peer_t *)h)->buf, sizeof(((peer_t *)h)->buf));
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	peer_t *p = (peer_t *)st;
	const case_t *k = p->rig->k;
	size_t len, at = 0;

	(void)buf;
	if (n < 0) {
		uv_close((uv_handle_t *)st, on_closed);
		return;
	}
	/* The rest of a long request is never read. */
	if (k->body_bytes > 0)
		uv_read_stop(st);
	for (int i = 0; k->answer != NULL && i < k->pieces; i++) {
		len = strlen(k->answer);
		len = i == k->pieces - 1 ? len - at : len / (size_t)k->pieces;

		uv_buf_t out =
		    uv_buf_init((char *)k->answer + at, (unsigned)len);

		uv_try_write(st, &out, 1);
		at += len;
	}
	if (k->close) {
		uv_read_stop(st);
		uv_close((uv_handle_t *)st, on_closed);
	}
}

static void
on_connect(uv_stream_t *l, int status)
{
	rig_t *rig = l->data;
	peer_t *p = g_new0(peer_t, 1);

	(void)status;
	p->rig = rig;
	rig->accepted++;
	uv_tcp_init(&rig->loop, &p->tcp);
	uv_accept(l, (uv_stream_t *)&p->tcp);
	uv_tcp_nodelay(&p->tcp, 1);
	uv_read_start((uv_stream_t *)&p->tcp, on_alloc, on_read);
}

static void
on_end(void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a)
{
	rig_t *rig = ctx;

	(void)req;
	(void)attempt;
	rig->ended++;
	rig->outcome = a->outcome;
	g_free(rig->body);
	rig->body =
	    a->body == NULL ? NULL : g_strndup((char *)a->body, a->body_bytes);
	uv_stop(&rig->loop);
}

static void
call(rig_t *rig, int port)
{
	size_t n = rig->k == NULL ? 0 : rig->k->body_bytes;
	g_autofree char *body = g_malloc0(n);
	backend_call_t c = { "127.0.0.1", port, 4, n > 0 ? "POST" : "GET", "/",
		"", body, n, 300 };

	backends_send(rig->b, 1, 1, &c);
	uv_run(&rig->loop, UV_RUN_DEFAULT);
	uv_run(&rig->loop, UV_RUN_NOWAIT);
}

static void
open_rig(rig_t *rig, int port)
{
	struct sockaddr_in a;

	uv_loop_init(&rig->loop);
	rig->b = backends_new(&rig->loop, on_end, rig);
	uv_tcp_init(&rig->loop, &rig->listener);
	rig->listener.data = rig;
	uv_ip4_addr("127.0.0.1", port, &a);
	cr_assert_eq(uv_tcp_bind(&rig->listener, (struct sockaddr *)&a, 0), 0);
	cr_assert_eq(
	    uv_listen((uv_stream_t *)&rig->listener, 8, on_connect), 0);
}

Test(backend, cases)
{
	rig_t rig = { 0 };

	open_rig(&rig, PORT);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *k = &cases[i];
		int before = rig.accepted;

		rig.k = k;
		rig.ended = 0;
		call(&rig, PORT);
		cr_expect_eq(
		    rig.ended, 1, "%s: ended %d times", k->name, rig.ended);
		cr_expect_eq(rig.outcome, k->outcome, "%s: outcome %d", k->name,
		    rig.outcome);
		if (k->body != NULL)
			cr_expect_str_eq(rig.body, k->body, "%s", k->name);
		call(&rig, PORT);
		cr_expect_eq(rig.accepted - before, k->kept ? 1 : 2,
		    "%s: %d connections", k->name, rig.accepted - before);
		backends_close_idle(rig.b);
		uv_run(&rig.loop, UV_RUN_NOWAIT);
	}
}

Test(backend, refused_is_not_run)
{
	rig_t rig = { 0 };

	open_rig(&rig, PORT + 2);
	call(&rig, PORT + 1);
	cr_expect_eq(rig.outcome, TS_OUTCOME_NOT_RUN);
	cr_expect_eq(rig.ended, 1);
}
