/*
 * Calls to backend servers (trans/backend.c), against a server that answers
 * correctly, incompletely, wrongly or not at all.  Each case guards two
 * failures: a wrong outcome of the call, and the reuse of a connection that
 * should be closed, on which the next call could get a stale answer.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"

#define TIMEOUT_MS 300 /* of a call */
/* The same where an answer must be written in that time beside other processes. */
#define LONG_TIMEOUT_MS 2000

typedef struct {
	const char *name;
	const char *answer;   /* sent by the server; NULL: none */
	bool closes;	      /* the server closes after its answer */
	int writes;	      /* number of writes that make up the answer */
	ts_outcome_t outcome; /* expected, as are body and conn_reused */
	const char *body;     /* NULL: not checked */
	bool conn_reused;     /* by the next call */
	size_t request_bytes; /* size of the request's body */
	int pause_ms;	      /* of this process, after the server's answer */
} server_case_t;

#define OK "HTTP/1.1 200 OK\r\n"
static const server_case_t cases[] = {
	{ "complete", OK "Content-Length: 5\r\n\r\nhello", false, 1,
	    TS_OUTCOME_ANSWERED, "hello", true },
	{ "in several writes", OK "Content-Length: 5\r\n\r\nhello", false, 9,
	    TS_OUTCOME_ANSWERED, "hello", true },
	{ "chunked",
	    OK "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	       "\r\n",
	    false, 4, TS_OUTCOME_ANSWERED, "abc", true },
	{ "interim answer first",
	    "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 1\r\n\r\nx",
	    false, 1, TS_OUTCOME_ANSWERED, "x", true },
	{ "length given by close", OK "\r\nhello", true, 1, TS_OUTCOME_ANSWERED,
	    "hello", false },
	{ "connection: close",
	    OK "Connection: close\r\nContent-Length: 1\r\n\r\n"
	       "x",
	    false, 1, TS_OUTCOME_ANSWERED, "x", false },
	{ "closed in the body", OK "Content-Length: 50\r\n\r\nhello", true, 1,
	    TS_OUTCOME_UNKNOWN, NULL, false },
	{ "closed in a chunk", OK "Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
	    true, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	{ "closed in the head", "HTTP/1.1 20", true, 1, TS_OUTCOME_UNKNOWN,
	    NULL, false },
	{ "closed at once", "", true, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	{ "not http", "220 smtp ready\r\n", false, 1, TS_OUTCOME_UNKNOWN, NULL,
	    false },
	{ "two differing lengths",
	    OK "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"
	       "hello",
	    false, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	{ "longer than its length", OK "Content-Length: 2\r\n\r\nhello", false,
	    1, TS_OUTCOME_ANSWERED, "he", false },
	{ "no answer", NULL, false, 1, TS_OUTCOME_UNKNOWN, NULL, false },
	/* The answer waits in the socket as the time for it runs out. */
	{ "before a pause of the caller's process",
	    OK "Content-Length: 5\r\n\r\nhello", false, 1, TS_OUTCOME_ANSWERED,
	    "hello", true, 0, TIMEOUT_MS * 2 },
	{ "no answer, and a pause", NULL, false, 1, TS_OUTCOME_UNKNOWN, NULL,
	    false, 0, TIMEOUT_MS * 2 },
	/* The server refuses while the request is still being written. */
	{ "before the request was completely sent",
	    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, 1,
	    TS_OUTCOME_ANSWERED, NULL, false, 16 * 1024 * 1024 },
};

typedef struct {
	uv_loop_t loop;
	uv_tcp_t listener; /* of the server */
	int port;	   /* a free one */
	uv_stream_t *last; /* connection of the server with a request */
	const server_case_t *server_case;
	backends_t *backends;
	int accepted;	      /* connections that the server has accepted */
	int silent;	      /* of these, the first ones are not answered */
	int ended;	      /* calls, with those that are still open */
	int open;	      /* of these: a late answer may follow */
	int outcomes[3];      /* calls by how they ended */
	ts_outcome_t outcome; /* of the last call, as is body */
	char *body;
} fixture_t;

/* The server's end of a connection. */
typedef struct {
	uv_tcp_t tcp;
	fixture_t *fixture;
	int number; /* from 1 on */
	char buf[4096];
} server_conn_t;

static void
on_closed(uv_handle_t *h)
{
	g_free(h);
}

static void
on_alloc(uv_handle_t *h, size_t n, uv_buf_t *b)
{
	(void)n;
	*b = uv_buf_init(
	    ((server_conn_t *)h)->buf, sizeof(((server_conn_t *)h)->buf));
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	server_conn_t *conn = (server_conn_t *)st;
	const server_case_t *c = conn->fixture->server_case;
	size_t len, at = 0;

	(void)buf;
	if (n < 0) {
		if (st == conn->fixture->last)
			conn->fixture->last = NULL;
		uv_close((uv_handle_t *)st, on_closed);
		return;
	}
	conn->fixture->last = st;
	if (conn->number <= conn->fixture->silent)
		return;
	/* The server never reads the rest of a long request. */
	if (c->request_bytes > 0)
		uv_read_stop(st);
	for (int i = 0; c->answer != NULL && i < c->writes; i++) {
		len = strlen(c->answer);
		len = i == c->writes - 1 ? len - at : len / (size_t)c->writes;

		uv_buf_t out =
		    uv_buf_init((char *)c->answer + at, (unsigned)len);

		uv_try_write(st, &out, 1);
		at += len;
	}
	if (c->pause_ms > 0)
		g_usleep((gulong)c->pause_ms * 1000);
	if (c->closes) {
		uv_read_stop(st);
		uv_close((uv_handle_t *)st, on_closed);
	}
}

static void
on_connect(uv_stream_t *l, int status)
{
	fixture_t *f = l->data;
	server_conn_t *conn = g_new0(server_conn_t, 1);

	(void)status;
	conn->fixture = f;
	conn->number = ++f->accepted;
	uv_tcp_init(&f->loop, &conn->tcp);
	uv_accept(l, (uv_stream_t *)&conn->tcp);
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_answer(void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a)
{
	fixture_t *f = ctx;

	(void)req;
	(void)attempt;
	f->ended++;
	f->open += a->open;
	f->outcome = a->outcome;
	f->outcomes[a->outcome]++;
	g_free(f->body);
	f->body =
	    a->body == NULL ? NULL : g_strndup((char *)a->body, a->body_bytes);
	uv_stop(&f->loop);
}

/* Makes a call and waits until it has ended. */
static void
call_server(fixture_t *f)
{
	size_t n = f->server_case == NULL ? 0 : f->server_case->request_bytes;
	g_autofree char *body = g_malloc0(n);
	backend_call_t call = { "127.0.0.1", f->port, 4, n > 0 ? "POST" : "GET",
		"/", "", body, n, TIMEOUT_MS };

	backends_send(f->backends, 1, 1, &call);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	uv_run(&f->loop, UV_RUN_NOWAIT);
}

static void
fixture_init(fixture_t *f)
{
	struct sockaddr_in a;
	int n = sizeof(a);

	uv_loop_init(&f->loop);
	f->backends = backends_new(&f->loop, on_answer, f);
	uv_tcp_init(&f->loop, &f->listener);
	f->listener.data = f;
	uv_ip4_addr("127.0.0.1", 0, &a);
	cr_assert_eq(uv_tcp_bind(&f->listener, (struct sockaddr *)&a, 0), 0);
	cr_assert_eq(uv_listen((uv_stream_t *)&f->listener, 8, on_connect), 0);
	cr_assert_eq(
	    uv_tcp_getsockname(&f->listener, (struct sockaddr *)&a, &n), 0);
	f->port = ntohs(a.sin_port);
}

/* A call of the server, over so many connections at most. */
static backend_call_t
new_call(int max_conns)
{
	return (backend_call_t){ .ip = "127.0.0.1",
		.max_conns = max_conns,
		.method = "GET",
		.path = "/",
		.headers = "",
		.timeout_ms = TIMEOUT_MS };
}

/* Sends a call so many times, under the numbers from 1 on. */
static void
send_calls(fixture_t *f, const backend_call_t *call, int n)
{
	for (int k = 1; k <= n; k++)
		backends_send(f->backends, (uint64_t)k, 1, call);
}

static void
run_until_ended(fixture_t *f, int calls)
{
	while (f->ended < calls)
		uv_run(&f->loop, UV_RUN_ONCE);
}

static void
close_all(fixture_t *f)
{
	backends_close_idle(f->backends);
	uv_close((uv_handle_t *)&f->listener, NULL);
	uv_run(&f->loop, UV_RUN_NOWAIT);
}

Test(backend, answers)
{
	fixture_t f = { 0 };

	fixture_init(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const server_case_t *c = &cases[i];
		int before = f.accepted;

		f.server_case = c;
		f.ended = 0;
		call_server(&f);
		cr_expect_eq(
		    f.ended, 1, "%s: ended %d times", c->name, f.ended);
		cr_expect_eq(f.outcome, c->outcome, "%s: outcome %d", c->name,
		    f.outcome);
		if (c->body != NULL)
			cr_expect_str_eq(f.body, c->body, "%s", c->name);
		call_server(&f);
		cr_expect_eq(f.accepted - before, c->conn_reused ? 1 : 2,
		    "%s: %d connections", c->name, f.accepted - before);
		backends_close_idle(f.backends);
		uv_run(&f.loop, UV_RUN_NOWAIT);
	}
}

/* A request cannot have run if nothing listens at the address. */
Test(backend, refused_is_not_run)
{
	fixture_t f = { 0 };

	fixture_init(&f);
	uv_close((uv_handle_t *)&f.listener, NULL);
	uv_run(&f.loop, UV_RUN_NOWAIT);
	call_server(&f);
	cr_expect_eq(f.outcome, TS_OUTCOME_NOT_RUN);
	cr_expect_eq(f.ended, 1);
}

/*
 * Nor if there is none: an address in a row of an earlier owner is parsed at each
 * call, and may not be one.
 */
Test(backend, no_address_is_not_run)
{
	static const char *const texts[] = { "", "w0", "127.0.0.1",
		"127.0.0.1:0", "127.0.0.1:65616", "localhost:80", "[::1]:80" };

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		fixture_t f = { 0 };
		net_addr_t a;

		fixture_init(&f);
		cr_expect_not(net_addr_parse(texts[i], &a), "%s", texts[i]);
		backends_send(f.backends, 1, 1,
		    &(backend_call_t){
			a.ip, a.port, 4, "GET", "/", "", NULL, 0, TIMEOUT_MS });
		uv_close((uv_handle_t *)&f.listener, NULL);
		uv_run(&f.loop, UV_RUN_DEFAULT);
		cr_expect_eq(f.outcome, TS_OUTCOME_NOT_RUN, "%s", texts[i]);
		cr_expect_eq(f.ended, 1, "%s", texts[i]);
	}
}

/*
 * Guards against orders that fail, and workers that count as silent, because of
 * other calls to the same server: a call may wait for a connection.
 */
Test(backend, more_calls_than_connections)
{
	static const struct {
		const char *name;
		int server_case; /* in cases */
		bool waits;
		int answered, not_run, unknown, conns;
	} list[] = {
		{ "at once", 0, false, 2, 3, 0, 2 },
		{ "in turn", 0, true, 5, 0, 0, 2 },
		{ "in turn, each on its connection", 5, true, 5, 0, 0, 5 },
		{ "no answer", 13, true, 0, 3, 2, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
		fixture_t f = { .server_case = &cases[list[i].server_case] };
		backend_call_t call = new_call(2);

		fixture_init(&f);
		call.port = f.port;
		call.waits = list[i].waits;
		send_calls(&f, &call, 5);
		run_until_ended(&f, 5);
		uv_run(&f.loop, UV_RUN_NOWAIT);
		cr_expect_eq(f.outcomes[TS_OUTCOME_ANSWERED], list[i].answered,
		    "%s", list[i].name);
		cr_expect_eq(f.outcomes[TS_OUTCOME_NOT_RUN], list[i].not_run,
		    "%s", list[i].name);
		cr_expect_eq(f.outcomes[TS_OUTCOME_UNKNOWN], list[i].unknown,
		    "%s", list[i].name);
		cr_expect_eq(f.ended, 5, "%s", list[i].name);
		cr_expect_eq(f.accepted, list[i].conns, "%s: %d connections",
		    list[i].name, f.accepted);
		close_all(&f);
	}
}

/*
 * Guards against LOST (review/2): connections that go silent at one time cost as many
 * calls their time, one after the other, while new ones would work.
 */
Test(backend, connections_that_go_silent_together)
{
	static const struct {
		const char *name;
		int silent; /* of five connections; the last one is used first */
		int unknown, accepted;
	} list[] = {
		{ "none", 0, 0, 5 },
		{ "all", 5, 1, 6 },
		{ "all but the last", 4, 0, 5 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
		fixture_t f = { .server_case = &cases[0] };
		backend_call_t call = new_call(5);

		fixture_init(&f);
		call.port = f.port;
		send_calls(&f, &call, 5);
		run_until_ended(&f, 5);
		/* A later call than those that were answered. */
		g_usleep(5000);
		uv_update_time(&f.loop);
		f.silent = list[i].silent;
		for (int k = 0; k < 4; k++)
			call_server(&f);
		cr_expect_eq(f.outcomes[TS_OUTCOME_UNKNOWN], list[i].unknown,
		    "%s: %d calls without an answer", list[i].name,
		    f.outcomes[TS_OUTCOME_UNKNOWN]);
		cr_expect_eq(f.accepted, list[i].accepted, "%s: %d connections",
		    list[i].name, f.accepted);
		close_all(&f);
	}
}

/* A connection that was answered while another one was silent is kept. */
Test(backend, a_connection_that_works_is_kept)
{
	fixture_t f = { .server_case = &cases[0], .silent = 1 };
	backend_call_t call = new_call(2);

	fixture_init(&f);
	call.port = f.port;
	backends_send(f.backends, 1, 1, &call);
	while (f.accepted < 1)
		uv_run(&f.loop, UV_RUN_ONCE);
	g_usleep(5000);
	backends_send(f.backends, 2, 1, &call);
	run_until_ended(&f, 2);
	cr_expect_eq(f.outcomes[TS_OUTCOME_UNKNOWN], 1);
	call_server(&f);
	cr_expect_eq(f.outcome, TS_OUTCOME_ANSWERED);
	cr_expect_eq(f.accepted, 2, "%d connections", f.accepted);
	close_all(&f);
}

/* Calls with a higher limit do not wait behind those with a lower one. */
Test(backend, a_connection_in_reserve)
{
	fixture_t f = { .server_case = &cases[0] };
	backend_call_t call = new_call(2);

	fixture_init(&f);
	call.port = f.port;
	call.waits = true;
	send_calls(&f, &call, 4);
	call.max_conns = 3;
	call.waits = false;
	backends_send(f.backends, 5, 1, &call);
	run_until_ended(&f, 5);
	cr_expect_eq(f.outcomes[TS_OUTCOME_ANSWERED], 5);
	cr_expect_eq(f.accepted, 3);
}

/*
 * Guards against answers that are thrown away as they come late: each call reports
 * that its time is over, and once more when it is answered or given up.  At most
 * BACKEND_LATE_CALLS calls to a server wait for that.
 */
Test(backend, late_answers, .timeout = 30)
{
	static const char answer[] = OK "Content-Length: 5\r\n\r\nhello";
	static const struct {
		const char *name;
		int calls;
		bool answered;	      /* the last call, after its time */
		int ended, open;      /* reports, and those of them */
		int unknown, answers; /* outcomes */
		int conns;	      /* after one more call */
	} list[] = {
		{ "answered late", 1, true, 2, 1, 1, 1, 1 },
		{ "not answered", 1, false, 2, 1, 2, 0, 2 },
		{ "two calls", 2, true, 4, 2, 3, 1, 2 },
		{ "more calls than may be late", BACKEND_LATE_CALLS + 2, false,
		    2 * BACKEND_LATE_CALLS + 2, BACKEND_LATE_CALLS,
		    2 * BACKEND_LATE_CALLS + 2, 0, BACKEND_LATE_CALLS + 3 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
		fixture_t f = { .server_case = &cases[13] };
		backend_call_t call = new_call(8);

		fixture_init(&f);
		call.port = f.port;
		call.late_ms = 2 * TIMEOUT_MS;
		send_calls(&f, &call, list[i].calls);
		run_until_ended(&f, list[i].calls);
		cr_expect_eq(
		    f.open, list[i].open, "%s: %d open", list[i].name, f.open);
		if (list[i].answered) {
			uv_buf_t out =
			    uv_buf_init((char *)answer, sizeof(answer) - 1);

			uv_try_write(f.last, &out, 1);
		}
		run_until_ended(&f, list[i].ended);
		cr_expect_eq(f.outcomes[TS_OUTCOME_UNKNOWN], list[i].unknown,
		    "%s", list[i].name);
		cr_expect_eq(f.outcomes[TS_OUTCOME_ANSWERED], list[i].answers,
		    "%s", list[i].name);
		cr_expect_eq(f.open, list[i].open, "%s", list[i].name);
		f.server_case = &cases[0];
		call_server(&f);
		cr_expect_eq(
		    f.outcome, TS_OUTCOME_ANSWERED, "%s", list[i].name);
		cr_expect_eq(f.accepted, list[i].conns, "%s: %d connections",
		    list[i].name, f.accepted);
	}
}

/*
 * Guards against answers that are thrown away though they have arrived: after a pause the
 * process does not run for some more milliseconds, before it gets to its sockets.
 */
Test(backend, what_has_arrived_is_read_after_a_pause)
{
	static const struct {
		const char *name;
		ulong turn_us; /* between two turns of the loop */
	} list[] = { { "it runs on at once", 0 }, { "it does not", 20000 } };
	const server_case_t pause = { "before a pause of this process",
		OK "Content-Length: 5\r\n\r\nhello", false, 1,
		TS_OUTCOME_ANSWERED, "hello", true, 0, LONG_TIMEOUT_MS * 2 };

	for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
		fixture_t f = { .server_case = &pause };
		backend_call_t call = new_call(1);

		fixture_init(&f);
		call.port = f.port;
		call.timeout_ms = LONG_TIMEOUT_MS;
		send_calls(&f, &call, 1);
		while (f.ended < 1) {
			uv_run(&f.loop, UV_RUN_ONCE);
			g_usleep(list[i].turn_us);
		}
		cr_expect_eq(f.outcome, TS_OUTCOME_ANSWERED, "%s: outcome %d",
		    list[i].name, f.outcome);
		close_all(&f);
	}
}

/*
 * Guards against starts that leave seconds after they were ordered: the process stands
 * still while a call waits for a connection, and then reads the answer that frees one.
 */
Test(backend, no_waiting_call_is_sent_after_its_time)
{
	fixture_t f = { 0 };
	backend_call_t call = new_call(1);
	const server_case_t pause = { "before a pause of this process",
		OK "Content-Length: 5\r\n\r\nhello", false, 1,
		TS_OUTCOME_ANSWERED, "hello", true, 0, LONG_TIMEOUT_MS * 2 };

	f.server_case = &pause;
	fixture_init(&f);
	call.port = f.port;
	call.timeout_ms = LONG_TIMEOUT_MS;
	call.waits = true;
	send_calls(&f, &call, 2);
	run_until_ended(&f, 2);
	cr_expect_eq(f.outcomes[TS_OUTCOME_ANSWERED], 1);
	cr_expect_eq(f.outcomes[TS_OUTCOME_NOT_RUN], 1);
	cr_expect_eq(f.outcomes[TS_OUTCOME_UNKNOWN], 0);
	cr_expect_eq(f.ended, 2);
}

/* The server's answer, a byte at a time. */
typedef struct {
	fixture_t *f;
	const char *at;
	int pause_ms; /* in which this process stands still; once */
} slow_answer_t;

static void
on_slow_timer(uv_timer_t *t)
{
	slow_answer_t *s = t->data;
	uv_buf_t out = uv_buf_init((char *)s->at, 1);

	if (s->f->last == NULL || *s->at == '\0')
		return;
	if (s->pause_ms > 0 && *s->at == '\r') {
		g_usleep((gulong)s->pause_ms * 1000);
		s->pause_ms = 0;
		return;
	}
	uv_try_write(s->f->last, &out, 1);
	s->at++;
}

/*
 * Guards against tables that an entry never has: an answer that takes longer than the
 * time for its call was dropped, and asked for again, however much of it had come.
 */
Test(backend, slow_answers, .timeout = 30)
{
	static const char answer[] = OK "Content-Length: 1\r\n\r\nx";
	static const struct {
		const char *name;
		int gap_ms, stall_ms;
		ts_outcome_t want;
		int pause_ms;
	} list[] = {
		{ "in time", 1, 0, TS_OUTCOME_ANSWERED, 0 },
		{ "slow", 30, 0, TS_OUTCOME_UNKNOWN, 0 },
		{ "slow, and allowed to be", 30, 200, TS_OUTCOME_ANSWERED, 0 },
		{ "stands still", 400, 200, TS_OUTCOME_UNKNOWN, 0 },
		{ "a short pause", 30, 200, TS_OUTCOME_ANSWERED, 190 },
		{ "a long pause", 30, 200, TS_OUTCOME_ANSWERED, 600 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
		fixture_t f = { .server_case = &cases[13] };
		slow_answer_t s = { &f, answer, list[i].pause_ms };
		backend_call_t call = new_call(8);
		uv_timer_t t;

		fixture_init(&f);
		call.port = f.port;
		call.stall_ms = list[i].stall_ms;
		uv_timer_init(&f.loop, &t);
		t.data = &s;
		uv_timer_start(&t, on_slow_timer, (uint64_t)list[i].gap_ms,
		    (uint64_t)list[i].gap_ms);
		backends_send(f.backends, 1, 1, &call);
		run_until_ended(&f, 1);
		cr_expect_eq(f.outcome, list[i].want, "%s: %d", list[i].name,
		    (int)f.outcome);
	}
}
