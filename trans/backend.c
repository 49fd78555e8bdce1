/*
 * A pool of persistent HTTP connections to backend servers, with one call at a
 * time on each connection.  An answer is passed on only when it is complete.  A
 * connection on which a call failed is closed, so that a late answer cannot be
 * taken for the answer to the next call.  If it failed for want of an answer, idle
 * connections that have been silent for as long are closed, too.
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

#define BODY_MAX_BYTES	   (8 * 1024 * 1024) /* of an answer */
#define HEADERS_MAX_BYTES  (64 * 1024)	     /* of an answer */
#define CONNECT_TIMEOUT_MS 1000
#define PAUSE_MS	   50 /* a timer that is later: the process stood still */
#define READ_WAIT_MS	   1 /* for what has arrived in a pause */
#define READ_BUF_BYTES	   (64 * 1024)

/* A backend server. */
typedef struct {
	char *address; /* "ip:port" */
	GQueue idle;   /* of conn_t, the last answered first */
	int32_t conns; /* open connections, idle ones included */
	/* Of conn_t without a connection: calls that wait for one, in turn. */
	GQueue waiting;
	int32_t late_calls; /* open after their time */
} backend_t;

/* A connection to a backend server, and the call in progress on it. */
typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer;
	backends_t *backends;
	backend_t *backend;
	http_parser parser;
	GByteArray *request; /* as sent, with the headers */
	GByteArray *answer_body;
	GString *answer_headers;
	bool in_header_value; /* last parsed: a header's value, not its name */
	bool is_head;	      /* the method is HEAD */
	bool connected;
	bool writing; /* the request is not completely written */
	bool in_call;
	bool waiting;	   /* it is in backend->waiting */
	int32_t max_conns; /* of the call in progress */
	bool keep_alive;   /* the server lets the connection be reused */
	bool complete;	   /* the whole answer has been received */
	bool closing;
	int open_handles; /* that still have to close before conn is freed */
	uint64_t req;	  /* of the call in progress */
	int32_t attempt;  /* of the call in progress */
	struct sockaddr_in to;
	/* By the loop's clock: when the last request was sent, when the last answer was
	 * complete, and when the call's time is over. */
	uint64_t sent_ms, answered_ms, due_ms;
	bool overdue;	       /* what has arrived by then is still read */
	uint64_t overdue_poll; /* b->polls then */
	int32_t late_ms;  /* for so long after that an answer is waited for */
	bool late;	  /* it is being waited for */
	int32_t stall_ms; /* see backend_call_t */
} conn_t;

struct backends {
	uv_loop_t *loop;
	backend_fn fn;
	void *ctx;
	GHashTable *by_address; /* address -> backend_t */
	uv_check_t polled;
	uint64_t polls; /* of the loop for events of sockets */
	uv_timer_t failed_timer;
	GQueue failed_calls; /* of failed_call_t */
	char read_buf[READ_BUF_BYTES];
};

/* A call that could not start and is yet to be reported. */
typedef struct {
	uint64_t req;
	int32_t attempt;
} failed_call_t;

static void
on_handle_closed(uv_handle_t *h)
{
	conn_t *conn = h->data;

	if (--conn->open_handles > 0)
		return;
	g_byte_array_free(conn->request, TRUE);
	g_byte_array_free(conn->answer_body, TRUE);
	g_string_free(conn->answer_headers, TRUE);
	g_free(conn);
}

static void
conn_close(conn_t *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->waiting)
		g_queue_remove(&conn->backend->waiting, conn);
	else
		conn->backend->conns--;
	g_queue_remove(&conn->backend->idle, conn);
	conn->open_handles = 2;
	uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
}

static void start_waiting_calls(backend_t *backend);

/*
 * Ends the call in progress, if any, and reports its outcome.  The connection
 * is reused only if both the request and the answer were transferred
 * completely: a server may answer before it has read the whole request.
 */
static void
end_call(conn_t *conn, ts_outcome_t outcome)
{
	backend_answer_t a = { .outcome = outcome };
	backends_t *b = conn->backends;

	if (!conn->in_call)
		return;
	conn->in_call = false;
	conn->backend->late_calls -= conn->late;
	conn->late = false;
	uv_timer_stop(&conn->timer);
	if (outcome == TS_OUTCOME_ANSWERED) {
		a.status = (int32_t)conn->parser.status_code;
		a.headers = conn->answer_headers->str;
		a.body = conn->answer_body->data;
		a.body_bytes = conn->answer_body->len;
	}
	conn->answered_ms = uv_now(b->loop);
	if (outcome == TS_OUTCOME_ANSWERED && conn->keep_alive &&
	    !conn->writing && !conn->closing)
		g_queue_push_head(&conn->backend->idle, conn);
	else
		conn_close(conn);
	b->fn(b->ctx, conn->req, conn->attempt, &a);
	start_waiting_calls(conn->backend);
}

static int
on_header_field(http_parser *p, const char *at, size_t n)
{
	conn_t *conn = p->data;

	if (conn->in_header_value)
		g_string_append(conn->answer_headers, "\r\n");
	conn->in_header_value = false;
	g_string_append_len(conn->answer_headers, at, (gssize)n);
	return conn->answer_headers->len > HEADERS_MAX_BYTES;
}

static int
on_header_value(http_parser *p, const char *at, size_t n)
{
	conn_t *conn = p->data;

	if (!conn->in_header_value)
		g_string_append(conn->answer_headers, ": ");
	conn->in_header_value = true;
	g_string_append_len(conn->answer_headers, at, (gssize)n);
	return conn->answer_headers->len > HEADERS_MAX_BYTES;
}

static int
on_headers_complete(http_parser *p)
{
	conn_t *conn = p->data;

	if (conn->in_header_value)
		g_string_append(conn->answer_headers, "\r\n");
	conn->in_header_value = false;
	return conn->is_head; /* 1: the parser expects no body */
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	conn_t *conn = p->data;

	if (conn->answer_body->len + n > BODY_MAX_BYTES)
		return 1;
	g_byte_array_append(conn->answer_body, (const uint8_t *)at, (guint)n);
	return 0;
}

static int
on_message_complete(http_parser *p)
{
	conn_t *conn = p->data;

	/* The final answer follows an interim one (1xx). */
	if (p->status_code < 200) {
		g_string_truncate(conn->answer_headers, 0);
		return 0;
	}
	conn->complete = true;
	conn->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void on_timeout(uv_timer_t *t);

/* Starts the timer of a call for the rest of its time. */
static void
start_timer(conn_t *conn)
{
	uint64_t now = uv_now(conn->backends->loop);

	uv_timer_start(
	    &conn->timer, on_timeout, conn->due_ms - MIN(conn->due_ms, now), 0);
}

/* A part of an answer has come: the rest may take its time. */
static void
extend_call(conn_t *conn)
{
	uint64_t due_ms =
	    uv_now(conn->backends->loop) + (uint64_t)conn->stall_ms;

	if (conn->stall_ms == 0 || due_ms <= conn->due_ms)
		return;
	conn->due_ms = due_ms;
	conn->overdue = false;
	start_timer(conn);
}

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	conn_t *conn = h->data;

	(void)want;
	*buf = uv_buf_init(conn->backends->read_buf, READ_BUF_BYTES);
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	conn_t *conn = st->data;
	size_t used;

	if (n == 0)
		return;
	/* The connection has ended, or the server sends without a request. */
	if (!conn->in_call || n < 0) {
		/* Without a length, an answer ends with the connection. */
		if (conn->in_call && n == UV_EOF) {
			http_parser_execute(
			    &conn->parser, &parser_settings, NULL, 0);
			conn->keep_alive = false;
		}
		if (conn->in_call)
			end_call(conn,
			    conn->complete ? TS_OUTCOME_ANSWERED :
					     TS_OUTCOME_UNKNOWN);
		else
			conn_close(conn);
		return;
	}
	used = http_parser_execute(
	    &conn->parser, &parser_settings, buf->base, (size_t)n);
	if (conn->complete) {
		/* Bytes behind the answer: its length cannot be trusted. */
		if (used < (size_t)n)
			conn->keep_alive = false;
		end_call(conn, TS_OUTCOME_ANSWERED);
	} else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		end_call(conn, TS_OUTCOME_UNKNOWN);
	else
		extend_call(conn);
}

static void
on_request_written(uv_write_t *w, int status)
{
	conn_t *conn = w->data;

	conn->writing = false;
	if (status != 0 && !conn->closing)
		end_call(conn, TS_OUTCOME_UNKNOWN);
}

/*
 * A call got no answer in its time: connections on which nothing has come since it was
 * sent may have gone silent with its own.  Each of them would cost another call its time.
 */
static void
close_unproved(const conn_t *silent)
{
	GQueue *idle = &silent->backend->idle;
	conn_t *oldest;

	while ((oldest = g_queue_peek_tail(idle)) != NULL &&
	    oldest->answered_ms <= silent->sent_ms)
		conn_close(oldest);
}

/* Whether a call whose time is over stays open for a late answer. */
static bool
may_be_late(const conn_t *conn)
{
	return conn->connected && conn->late_ms > 0 && !conn->late &&
	    conn->backend->late_calls < BACKEND_LATE_CALLS;
}

/* Reports that the time of a call is over, and waits for a late answer. */
static void
report_late(conn_t *conn)
{
	backend_answer_t a = { .outcome = TS_OUTCOME_UNKNOWN, .open = true };

	conn->late = true;
	conn->overdue = false;
	conn->backend->late_calls++;
	conn->due_ms += (uint64_t)conn->late_ms;
	start_timer(conn);
	conn->backends->fn(conn->backends->ctx, conn->req, conn->attempt, &a);
}

/*
 * The request cannot have run if the connection was never established.  After
 * a pause of this process the timers are handled before the sockets: an answer
 * that has arrived meanwhile is read first, however long the process takes to get to
 * it, and so is a part of one that may go on.
 */
static void
on_timeout(uv_timer_t *t)
{
	conn_t *conn = t->data;

	if (!conn->overdue &&
	    (conn->stall_ms > 0 ||
		uv_now(conn->backends->loop) >= conn->due_ms + PAUSE_MS)) {
		conn->overdue = true;
		conn->overdue_poll = conn->backends->polls;
	}
	if (conn->overdue && conn->overdue_poll == conn->backends->polls) {
		uv_timer_start(t, on_timeout, READ_WAIT_MS, 0);
		return;
	}
	if (conn->connected)
		close_unproved(conn);
	if (may_be_late(conn)) {
		report_late(conn);
		return;
	}
	end_call(
	    conn, conn->connected ? TS_OUTCOME_UNKNOWN : TS_OUTCOME_NOT_RUN);
}

static void
send_request(conn_t *conn)
{
	uv_buf_t buf =
	    uv_buf_init((char *)conn->request->data, conn->request->len);

	conn->write.data = conn;
	conn->writing = true;
	conn->sent_ms = uv_now(conn->backends->loop);
	start_timer(conn);
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1,
		on_request_written) == 0)
		return;
	/* Reported from the loop, like a timeout. */
	conn->late_ms = 0;
	uv_timer_start(&conn->timer, on_timeout, 0, 0);
}

static void
on_connected(uv_connect_t *req, int status)
{
	conn_t *conn = req->data;

	if (conn->closing)
		return;
	/* The request is not sent after its time. */
	if (status != 0 || uv_now(conn->backends->loop) >= conn->due_ms) {
		end_call(conn, TS_OUTCOME_NOT_RUN);
		return;
	}
	conn->connected = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	send_request(conn);
}

static conn_t *
conn_new(backends_t *b, backend_t *backend)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->backends = b;
	conn->backend = backend;
	conn->request = g_byte_array_new();
	conn->answer_body = g_byte_array_new();
	conn->answer_headers = g_string_new(NULL);
	uv_tcp_init(b->loop, &conn->tcp);
	uv_timer_init(b->loop, &conn->timer);
	conn->tcp.data = conn->timer.data = conn;
	return conn;
}

static void
append_text(GByteArray *b, const char *s)
{
	g_byte_array_append(b, (const uint8_t *)s, (guint)strlen(s));
}

/* Prepares for the answer to the next call. */
static void
reset_answer(conn_t *conn)
{
	g_byte_array_set_size(conn->answer_body, 0);
	g_string_truncate(conn->answer_headers, 0);
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	conn->in_header_value = conn->complete = conn->keep_alive = false;
	conn->overdue = false;
}

/* Resets the connection's state for a call and formats the request. */
static void
prepare_call(conn_t *conn, const backend_call_t *c)
{
	g_autofree char *head = g_strdup_printf(
	    "%s %s HTTP/1.1\r\n"
	    "Host: %s:%d\r\nContent-Length: %zu\r\nX-Deadline-Ms: %d\r\n",
	    c->method, c->path, c->ip, c->port, c->body_bytes, c->timeout_ms);

	g_byte_array_set_size(conn->request, 0);
	reset_answer(conn);
	append_text(conn->request, head);
	append_text(conn->request, c->headers);
	append_text(conn->request, "\r\n");
	if (c->body_bytes > 0)
		g_byte_array_append(
		    conn->request, c->body, (guint)c->body_bytes);
	conn->is_head = strcmp(c->method, "HEAD") == 0;
	conn->due_ms =
	    uv_now(conn->backends->loop) + (uint64_t)MAX(0, c->timeout_ms);
	conn->late_ms = c->late_ms;
	conn->stall_ms = c->stall_ms;
	conn->max_conns = c->max_conns;
	conn->in_call = true;
}

static void
report_failed_calls(uv_timer_t *timer)
{
	backends_t *b = timer->data;
	backend_answer_t a = { .outcome = TS_OUTCOME_NOT_RUN };
	failed_call_t *f;

	while ((f = g_queue_pop_head(&b->failed_calls)) != NULL) {
		b->fn(b->ctx, f->req, f->attempt, &a);
		g_free(f);
	}
}

/* Reports a call that could not start, after backends_send() has returned. */
static void
fail_call_later(backends_t *b, uint64_t req, int32_t attempt)
{
	failed_call_t *f = g_new(failed_call_t, 1);

	f->req = req;
	f->attempt = attempt;
	g_queue_push_tail(&b->failed_calls, f);
	uv_timer_start(&b->failed_timer, report_failed_calls, 0, 0);
}

/* Number of connections to a server that have a call in progress. */
static int32_t
busy_conns(const backend_t *backend)
{
	return backend->conns -
	    (int32_t)g_queue_get_length((GQueue *)&backend->idle);
}

/* Connects for a call; false: that failed at once, and nobody was told. */
static bool
connect_for_call(conn_t *conn)
{
	uint64_t now = uv_now(conn->backends->loop);

	conn->backend->conns++;
	conn->connect.data = conn;
	uv_timer_start(&conn->timer, on_timeout,
	    MIN(conn->due_ms - MIN(conn->due_ms, now), CONNECT_TIMEOUT_MS), 0);
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)&conn->to, on_connected) == 0)
		return true;
	conn->in_call = false;
	conn_close(conn);
	return false;
}

/* Gives a call that has waited to an idle connection. */
static void
move_call(conn_t *from, conn_t *to)
{
	GByteArray *request = to->request;

	to->request = from->request;
	from->request = request;
	to->req = from->req;
	to->attempt = from->attempt;
	to->due_ms = from->due_ms;
	to->late_ms = from->late_ms;
	to->stall_ms = from->stall_ms;
	to->max_conns = from->max_conns;
	to->is_head = from->is_head;
	reset_answer(to);
	to->in_call = true;
	from->in_call = false;
	conn_close(from);
	send_request(to);
}

/* Whether a call's time is over; also within a turn of the loop that stood still. */
static bool
is_over(const conn_t *conn)
{
	return uv_hrtime() / 1000000 >= conn->due_ms;
}

/*
 * Starts the calls that wait, as far as connections are free.  After a pause of this
 * process the time of some may be over, which are not sent.
 */
static void
start_waiting_calls(backend_t *backend)
{
	conn_t *conn;

	while ((conn = g_queue_peek_head(&backend->waiting)) != NULL &&
	    busy_conns(backend) < conn->max_conns) {
		conn_t *idle;

		if (is_over(conn)) {
			conn->in_call = false;
			conn_close(conn);
			fail_call_later(
			    conn->backends, conn->req, conn->attempt);
			continue;
		}
		idle = g_queue_pop_head(&backend->idle);
		if (idle != NULL) {
			move_call(conn, idle);
			continue;
		}
		g_queue_pop_head(&backend->waiting);
		conn->waiting = false;
		if (!connect_for_call(conn))
			fail_call_later(
			    conn->backends, conn->req, conn->attempt);
	}
}

static backend_t *
backend_find_or_add(backends_t *b, const char *ip, int32_t port)
{
	g_autofree char *address = g_strdup_printf("%s:%d", ip, port);
	backend_t *backend = g_hash_table_lookup(b->by_address, address);

	if (backend == NULL) {
		backend = g_new0(backend_t, 1);
		backend->address = g_steal_pointer(&address);
		g_queue_init(&backend->idle);
		g_hash_table_insert(b->by_address, backend->address, backend);
	}
	return backend;
}

static void
on_polled(uv_check_t *c)
{
	backends_t *b = c->data;

	b->polls++;
}

backends_t *
backends_new(uv_loop_t *loop, backend_fn fn, void *ctx)
{
	backends_t *b = g_new0(backends_t, 1);

	b->loop = loop;
	b->fn = fn;
	b->ctx = ctx;
	b->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&b->failed_calls);
	uv_timer_init(loop, &b->failed_timer);
	b->failed_timer.data = b;
	uv_check_init(loop, &b->polled);
	b->polled.data = b;
	uv_check_start(&b->polled, on_polled);
	uv_unref((uv_handle_t *)&b->polled);
	return b;
}

/* Lets a call wait for a connection, at most for its time. */
static void
wait_for_conn(conn_t *conn)
{
	conn->waiting = true;
	g_queue_push_tail(&conn->backend->waiting, conn);
	start_timer(conn);
}

void
backends_send(
    backends_t *b, uint64_t req, int32_t attempt, const backend_call_t *c)
{
	backend_t *backend = backend_find_or_add(b, c->ip, c->port);
	bool wait = c->waits && !g_queue_is_empty(&backend->waiting);
	bool busy = wait || busy_conns(backend) >= c->max_conns;
	conn_t *conn = busy ? NULL : g_queue_pop_head(&backend->idle);
	struct sockaddr_in to;

	if (conn != NULL) {
		conn->req = req;
		conn->attempt = attempt;
		prepare_call(conn, c);
		send_request(conn);
		return;
	}
	if ((busy && !c->waits) || uv_ip4_addr(c->ip, c->port, &to) != 0) {
		fail_call_later(b, req, attempt);
		return;
	}
	conn = conn_new(b, backend);
	conn->req = req;
	conn->attempt = attempt;
	conn->to = to;
	prepare_call(conn, c);
	if (busy)
		wait_for_conn(conn);
	else if (!connect_for_call(conn))
		fail_call_later(b, req, attempt);
}

void
backends_close_idle(backends_t *b)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, b->by_address);
	while (g_hash_table_iter_next(&it, NULL, &v))
		while (!g_queue_is_empty(&((backend_t *)v)->idle))
			conn_close(g_queue_peek_head(&((backend_t *)v)->idle));
}
