/*
 * The HTTP server, on the h2o library.  It refuses requests whose length is
 * ambiguous, which could be used for request smuggling, before they reach
 * on_request.
 *
 * If it has an account of what callers hold (budget.h), a connection reads only what
 * the account has room for: the server stands between libuv and h2o's callbacks for
 * reading, by the two fields of uv_stream_t, so that it is asked before h2o's buffer
 * grows.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>
#include <h2o.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "budget.h"
#include "trans.h"

#define BACKLOG		   1024
#define REQUEST_TIMEOUT_MS 10000 /* until a request is complete */
#define HEADERS_MAX_BYTES  16384 /* the most that callers of the platform send */
#define READ_MIN_BYTES	   4096	 /* of room that h2o makes before it reads */
/*
 * In one turn of the loop, if there is an account: few against those that may be open,
 * so that a request that comes with its connection is read before others push it out.
 */
#define ACCEPTS_PER_TURN  32
#define READ_MAX_BYTES	  65536	 /* at once, if there is an account */
#define LONG_BUFFER_BYTES 131072 /* from here on the system maps it by itself */
/* Of h2o's buffer; it is part of what each connection takes. */
#define INPUT_FREE_BYTES 8192
/* Of what is kept for a request that waits, the same. */
#define WAIT_FREE_BYTES 4096

struct server {
	server_opts_t opts;
	uv_tcp_t listener;
	h2o_globalconf_t conf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	int connections;
	bool stopped;
	uint64_t refused; /* by refuse(); h2o counts its own refusals */
	/* If there is an account: those on which h2o was seen to write. */
	GQueue writing; /* of conn_t */
	uv_prepare_t prepare;
	int accepts;	 /* in this turn of the loop */
	bool accept_due; /* a connection has to wait for the next turn */
};

/*
 * A connection.  h2o uses the handle's data pointer for itself, so the server
 * is found through the struct around the handle.
 */
typedef struct {
	uv_tcp_t tcp;
	server_t *server;
	h2o_socket_t *sock;
	budget_holder_t holder;
	uv_alloc_cb h2o_alloc; /* of the handle, before the server's own */
	uv_read_cb h2o_read;
	GList writing_link;
	bool writing; /* it is in server->writing */
} conn_t;

typedef struct {
	h2o_handler_t super;
	server_t *server;
} handler_t;

/*
 * A request, beside h2o's own request object, req.  h2o frees req early if the
 * caller closes the connection.  The anchor lives in req's memory pool: of
 * req_impl_t and req, the one that is freed first clears the other's pointer
 * to it.
 */
typedef struct {
	server_req_t pub;
	server_t *server;
	int64_t held_bytes;    /* by server_wait() */
	bool waits;	       /* server_wait() was granted */
	h2o_req_t *req;	       /* NULL: the caller has disconnected */
	struct anchor *anchor; /* valid while req is */
	char *method;
	char *path;
	char *host;
} req_impl_t;

typedef struct anchor {
	conn_t *conn;
	req_impl_t *impl; /* NULL: answered */
} anchor_t;

G_DEFINE_QUARK(trans_error, trans_error)

static void on_prepare(uv_prepare_t *p);
static void on_connection(uv_stream_t *l, int status);

/*
 * What callers hold: the account is told before h2o's buffer for a connection grows.
 */

/* Charges a connection for its buffer and, beside it, for an answer. */
static bool
charge(conn_t *conn, size_t input_bytes, size_t answer_bytes)
{
	size_t input = input_bytes - MIN(input_bytes, INPUT_FREE_BYTES);

	return budget_charge(&conn->holder, (int64_t)(input + answer_bytes));
}

/* The bytes in front of the free part of a buffer: former requests' stand there, too. */
static size_t
used_bytes(const h2o_buffer_t *input)
{
	if (input->bytes == NULL)
		return 0;
	return (size_t)(input->bytes - input->_buf) + input->size;
}

/* The capacity of h2o's buffer after it has made room for the next read. */
static size_t
capacity_after_growth(const h2o_buffer_t *input)
{
	size_t capacity =
	    MAX(input->capacity, (size_t)H2O_SOCKET_INITIAL_INPUT_BUFFER_SIZE);

	if (capacity - used_bytes(input) >= READ_MIN_BYTES)
		return capacity;
	do
		capacity *= 2;
	while (capacity - input->size < READ_MIN_BYTES);
	return capacity;
}

/*
 * What a buffer of such a capacity takes if so many bytes more are read: of a long one
 * the system provides only the pages that are used.
 */
static size_t
buffer_takes(const h2o_buffer_t *input, size_t capacity, size_t more)
{
	return capacity < LONG_BUFFER_BYTES ?
	    capacity :
	    MIN(capacity, used_bytes(input) + more);
}

static void
on_conn_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	conn_t *conn = (conn_t *)h;
	const h2o_buffer_t *input = conn->sock->input;
	size_t capacity = capacity_after_growth(input);

	/* Without a buffer the read ends with an error, and h2o closes. */
	if (!charge(conn, buffer_takes(input, capacity, READ_MAX_BYTES), 0)) {
		*buf = uv_buf_init(NULL, 0);
		return;
	}
	conn->h2o_alloc(h, suggested, buf);
	buf->len = MIN(buf->len, READ_MAX_BYTES);
}

/* h2o writes on this connection: it may start reading again by itself. */
static void
note_writing(conn_t *conn)
{
	server_t *s = conn->server;

	if (!conn->holder.open || conn->writing)
		return;
	g_queue_push_tail_link(&s->writing, &conn->writing_link);
	conn->writing = true;
	uv_prepare_start(&s->prepare, on_prepare);
}

static void
on_conn_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	conn_t *conn = (conn_t *)st;

	conn->h2o_read(st, n, buf);
	/* An answer, or that a caller may go on (100). */
	if (conn->holder.open && h2o_socket_is_writing(conn->sock))
		note_writing(conn);
}

/* Puts the server's callbacks for reading before those that h2o has just set. */
static void
watch_reads(conn_t *conn)
{
	if (conn->tcp.read_cb == on_conn_read)
		return;
	conn->h2o_alloc = conn->tcp.alloc_cb;
	conn->h2o_read = conn->tcp.read_cb;
	conn->tcp.alloc_cb = on_conn_alloc;
	conn->tcp.read_cb = on_conn_read;
}

/* Lets the next read or write of h2o fail, at which it closes. */
static void
close_soon(conn_t *conn)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/* The account closes an unfinished connection: not one that h2o is working on. */
static void
on_holder_close(budget_holder_t *h)
{
	conn_t *conn = (conn_t *)((char *)h - offsetof(conn_t, holder));
	uv_buf_t none = uv_buf_init(NULL, 0);

	if (!h2o_socket_is_reading(conn->sock)) {
		close_soon(conn);
		return;
	}
	/* To h2o it is an error of a read: it closes at once. */
	watch_reads(conn);
	conn->h2o_read((uv_stream_t *)&conn->tcp, UV_ECONNRESET, &none);
}

/* h2o waits for a request: lets go of a large buffer that is empty. */
static void
shrink_input(conn_t *conn)
{
	h2o_buffer_t **input = &conn->sock->input;

	if ((*input)->size == 0 && (*input)->capacity > INPUT_FREE_BYTES) {
		h2o_buffer_dispose(input);
		h2o_buffer_init(input, &h2o_socket_buffer_prototype);
	}
	if (!charge(conn, buffer_takes(*input, (*input)->capacity, 0), 0))
		close_soon(conn);
}

static void
remove_writing(conn_t *conn)
{
	if (conn->writing)
		g_queue_unlink(&conn->server->writing, &conn->writing_link);
	conn->writing = false;
}

/*
 * h2o may read again where it has written.  Each of these is looked at once; charging
 * one may close others and take them out of the queue.
 */
static void
watch_written(server_t *s)
{
	guint count = s->writing.length;

	for (; count > 0 && s->writing.head != NULL; count--) {
		conn_t *conn = s->writing.head->data;

		remove_writing(conn);
		if (h2o_socket_is_writing(conn->sock))
			note_writing(conn);
		else if (h2o_socket_is_reading(conn->sock)) {
			watch_reads(conn);
			shrink_input(conn);
		}
	}
}

/* Before the loop waits for input. */
static void
on_prepare(uv_prepare_t *p)
{
	server_t *s = p->data;
	bool accept_due = s->accept_due && !s->stopped;

	s->accepts = 0;
	s->accept_due = false;
	watch_written(s);
	if (accept_due)
		on_connection((uv_stream_t *)&s->listener, 0);
	if (g_queue_is_empty(&s->writing) && s->accepts == 0)
		uv_prepare_stop(p);
}

/* Whether one more connection may be accepted in this turn of the loop. */
static bool
accept_now(server_t *s)
{
	if (s->opts.budget == NULL)
		return true;
	uv_prepare_start(&s->prepare, on_prepare);
	/* Until it is accepted, libuv takes no other one. */
	s->accept_due = s->accepts >= ACCEPTS_PER_TURN;
	s->accepts += !s->accept_due;
	return !s->accept_due;
}

/* A whole request is about to be answered. */
static void
conn_answer(conn_t *conn, size_t answer_bytes)
{
	const h2o_buffer_t *input;

	if (!conn->holder.open)
		return;
	input = conn->sock->input;
	note_writing(conn);
	budget_unfinished(&conn->holder);
	if (!charge(
		conn, buffer_takes(input, input->capacity, 0), answer_bytes))
		close_soon(conn);
}

static conn_t *
conn_of(const h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	return sock->on_close.data;
}

/* h2o frees a request: it was answered, or the caller has disconnected. */
static void
on_h2o_dispose(void *p)
{
	anchor_t *a = p;

	/* The next request is waited for, unless the connection is closing. */
	budget_unfinished(&a->conn->holder);
	if (a->impl == NULL)
		return;
	a->impl->req = NULL;
	a->impl->anchor = NULL;
	a->impl->pub.body = "";
	a->impl->pub.body_bytes = 0;
}

/*
 * The value of a content-length header line, or NULL if the line is another.
 * end is the end of the line.
 */
static const char *
content_length_value(const char *line, const char *end)
{
	static const char name[] = "content-length:";

	if ((size_t)(end - line) < sizeof(name) - 1 ||
	    g_ascii_strncasecmp(line, name, sizeof(name) - 1) != 0)
		return NULL;
	line += sizeof(name) - 1;
	while (line < end && (*line == ' ' || *line == '\t'))
		line++;
	return line;
}

/*
 * Whether the head of a request has two content-length headers that differ.
 * h2o uses the first and leaves both out of the headers that it passes on, so
 * they are read from its input buffer, which holds the head until the request
 * has ended.
 */
static bool
has_conflicting_lengths(const h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	const char *line = sock->input->bytes, *end, *value, *first = NULL;
	const char *input_end = line + sock->input->size;
	size_t first_len = 0, len;

	while (line < input_end &&
	    (end = memchr(line, '\r', (size_t)(input_end - line))) != NULL &&
	    end != line) {
		value = content_length_value(line, end);
		len = value == NULL ? 0 : (size_t)(end - value);
		if (value != NULL && first != NULL &&
		    (len != first_len || memcmp(first, value, len) != 0))
			return true;
		if (value != NULL) {
			first = value;
			first_len = len;
		}
		line = end + 2;
	}
	return false;
}

/*
 * The status with which to refuse a request, or 0 to accept it: 400 if its
 * length is given in two ways that may differ, 431 if its headers are too long.
 */
static int
refusal_status(const h2o_req_t *req)
{
	bool has_length = false, is_chunked = false;
	size_t header_bytes = 0;

	if (has_conflicting_lengths(req))
		return 400;
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *f = &req->headers.entries[i];

		header_bytes += f->name->len + f->value.len;
		is_chunked = is_chunked ||
		    h2o_memis(f->name->base, f->name->len,
			H2O_STRLIT("transfer-encoding"));
		has_length = has_length ||
		    h2o_memis(f->name->base, f->name->len,
			H2O_STRLIT("content-length"));
	}
	if (has_length && is_chunked)
		return 400;
	return header_bytes > HEADERS_MAX_BYTES ? 431 : 0;
}

/* Answers a request with a status and no body, and closes the connection. */
static int
refuse(server_t *s, h2o_req_t *req, int status)
{
	s->refused++;
	req->res.status = status;
	req->res.reason = "-";
	req->res.content_length = 0;
	req->http1_is_persistent = 0;
	h2o_send_inline(req, H2O_STRLIT(""));
	return 0;
}

static int
on_h2o_request(h2o_handler_t *h, h2o_req_t *req)
{
	server_t *s = ((handler_t *)h)->server;
	int status = refusal_status(req);
	conn_t *conn = conn_of(req);
	req_impl_t *r;

	if (status != 0)
		return refuse(s, req, status);
	budget_whole(&conn->holder);
	r = g_new0(req_impl_t, 1);
	r->server = s;
	r->req = req;
	r->anchor =
	    h2o_mem_alloc_shared(&req->pool, sizeof(anchor_t), on_h2o_dispose);
	r->anchor->impl = r;
	r->anchor->conn = conn;
	r->method = g_strndup(req->method.base, req->method.len);
	r->path = g_strndup(req->path.base, req->path.len);
	r->host = g_strndup(req->authority.base, req->authority.len);
	r->pub.host = r->host;
	r->pub.method = r->method;
	r->pub.path = r->path;
	r->pub.body = req->entity.base == NULL ? "" : req->entity.base;
	r->pub.body_bytes = req->entity.len;
	r->pub.impl = r;
	s->opts.on_request(s->opts.ctx, &r->pub);
	return 0;
}

char *
server_header(const server_req_t *pub, const char *name)
{
	const req_impl_t *r = pub->impl;
	ssize_t i;

	if (r->req == NULL)
		return NULL;
	i = h2o_find_header_by_str(&r->req->headers, name, strlen(name), -1);
	if (i < 0)
		return NULL;
	return g_strndup(r->req->headers.entries[i].value.base,
	    r->req->headers.entries[i].value.len);
}

/*
 * Whether a header concerns only one connection, or only the entry, and is not
 * passed on between callers and backend servers.
 */
static bool
is_local_header(const char *name, size_t n)
{
	static const char *const names[] = { "connection", "keep-alive",
		"transfer-encoding", "te", "trailer", "upgrade", "host",
		"content-length", "proxy-connection", "authorization", "expect",
		"server", "date", "x-deadline-ms" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (strlen(names[i]) == n &&
		    g_ascii_strncasecmp(names[i], name, n) == 0)
			return true;
	return false;
}

char *
server_forward_headers(const server_req_t *pub)
{
	const req_impl_t *r = pub->impl;
	GString *s = g_string_new(NULL);

	for (size_t i = 0; r->req != NULL && i < r->req->headers.size; i++) {
		h2o_header_t *h = &r->req->headers.entries[i];

		if (is_local_header(h->name->base, h->name->len))
			continue;
		g_string_append_len(s, h->name->base, (gssize)h->name->len);
		g_string_append(s, ": ");
		g_string_append_len(s, h->value.base, (gssize)h->value.len);
		g_string_append(s, "\r\n");
	}
	return g_string_free(s, FALSE);
}

/* Adds headers, given as lines that end in CR LF, to the answer. */
static void
add_answer_headers(h2o_req_t *req, const char *text)
{
	while (text != NULL && *text != '\0') {
		const char *end = strstr(text, "\r\n");
		const char *colon = strchr(text, ':');
		h2o_iovec_t name, value;

		if (end == NULL || colon == NULL || colon > end)
			return;
		if (!is_local_header(text, (size_t)(colon - text))) {
			name = h2o_strdup(
			    &req->pool, text, (size_t)(colon - text));
			h2o_strtolower(name.base, name.len);
			colon += strspn(colon + 1, " ") + 1;
			value = h2o_strdup(
			    &req->pool, colon, (size_t)(end - colon));
			h2o_add_header_by_str(&req->pool, &req->res.headers,
			    name.base, name.len, 1, NULL, value.base,
			    value.len);
		}
		text = end + 2;
	}
}

bool
server_wait(server_req_t *pub, size_t bytes)
{
	req_impl_t *r = pub->impl;
	budget_t *b = r->server->opts.budget;

	if (b == NULL)
		return true;
	if (r->waits)
		budget_wait_ended(b, r->held_bytes);
	r->held_bytes = (int64_t)(bytes - MIN(bytes, WAIT_FREE_BYTES));
	r->waits = budget_wait(b, r->held_bytes);
	return r->waits;
}

void
server_reply(server_req_t *pub, int32_t status, const char *headers,
    const void *body, size_t n)
{
	req_impl_t *r = pub->impl;
	h2o_req_t *req = r->req;

	if (r->waits)
		budget_wait_ended(r->server->opts.budget, r->held_bytes);
	if (req != NULL) {
		r->anchor->impl = NULL;
		conn_answer(r->anchor->conn, n);
		req->res.status = status;
		req->res.reason = "-";
		req->res.content_length = n;
		add_answer_headers(req, headers);
		if (r->server->stopped)
			req->http1_is_persistent = 0;
		h2o_send_inline(req, body, n);
	}
	g_free(r->method);
	g_free(r->path);
	g_free(r->host);
	g_free(r);
}

static void
on_connection_closed(uv_handle_t *h)
{
	conn_t *conn = (conn_t *)h;

	budget_leave(&conn->holder);
	conn->server->connections--;
	g_free(conn);
}

/* h2o has freed what it held for a connection. */
static void
on_h2o_close(void *p)
{
	conn_t *conn = p;

	remove_writing(conn);
	budget_leave(&conn->holder);
}

/* Whether the account has room for a connection more, or there is none. */
static bool
enter(conn_t *conn)
{
	budget_t *b = conn->server->opts.budget;

	conn->writing_link.data = conn;
	conn->holder.close = on_holder_close;
	return b == NULL || budget_enter(b, &conn->holder);
}

static void
on_connection(uv_stream_t *l, int status)
{
	server_t *s = l->data;
	conn_t *conn;
	bool admitted;

	if (status != 0 || !accept_now(s))
		return;
	conn = g_new0(conn_t, 1);
	conn->server = s;
	uv_tcp_init(s->opts.loop, &conn->tcp);
	s->connections++;
	admitted = enter(conn);
	if (uv_accept(l, (uv_stream_t *)&conn->tcp) != 0 || !admitted) {
		uv_close((uv_handle_t *)&conn->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->sock = h2o_uv_socket_create(
	    (uv_stream_t *)&conn->tcp, on_connection_closed);
	conn->sock->on_close.cb = on_h2o_close;
	conn->sock->on_close.data = conn;
	h2o_accept(&s->accept, conn->sock);
	if (conn->holder.open)
		watch_reads(conn);
}

/* What the kernel keeps for a connection is bounded, too. */
static void
init_account(server_t *s)
{
	int bytes = BUDGET_RECEIVE_BYTES;

	g_queue_init(&s->writing);
	uv_prepare_init(s->opts.loop, &s->prepare);
	uv_unref((uv_handle_t *)&s->prepare);
	s->prepare.data = s;
	/* Accepted connections take it from the listener; where it can't be
	 * set, they have the system's. */
	if (s->opts.budget != NULL)
		uv_recv_buffer_size((uv_handle_t *)&s->listener, &bytes);
}

server_t *
server_new(const server_opts_t *o, GError **err)
{
	server_t *s = g_new0(server_t, 1);
	struct sockaddr_in a;
	h2o_hostconf_t *host;
	handler_t *h;
	int e;

	s->opts = *o;
	h2o_config_init(&s->conf);
	s->conf.max_request_entity_size = o->body_max_bytes;
	s->conf.http1.req_timeout = REQUEST_TIMEOUT_MS;
	/* Callers speak HTTP/1.1; what HTTP/2 keeps isn't accounted for. */
	s->conf.http1.upgrade_to_http2 = 0;
	s->conf.server_name = h2o_iovec_init(H2O_STRLIT(""));
	host = h2o_config_register_host(
	    &s->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	h = (handler_t *)h2o_create_handler(
	    h2o_config_register_path(host, "/", 0), sizeof(*h));
	h->super.on_req = on_h2o_request;
	h->server = s;
	h2o_context_init(&s->ctx, o->loop, &s->conf);
	s->accept.ctx = &s->ctx;
	s->accept.hosts = s->conf.hosts;
	uv_tcp_init(o->loop, &s->listener);
	s->listener.data = s;
	e = uv_ip4_addr(o->ip, o->port, &a);
	if (e == 0)
		e = uv_tcp_bind(&s->listener, (struct sockaddr *)&a, 0);
	init_account(s);
	if (e == 0)
		e = uv_listen(
		    (uv_stream_t *)&s->listener, BACKLOG, on_connection);
	if (e != 0) {
		g_set_error(err, TRANS_ERROR, TRANS_ERROR_LISTEN,
		    "cannot listen on %s port %d: %s", o->ip, o->port,
		    uv_strerror(e));
		return NULL;
	}
	return s;
}

void
server_stop(server_t *s)
{
	if (s->stopped)
		return;
	s->stopped = true;
	uv_close((uv_handle_t *)&s->listener, NULL);
	h2o_context_request_shutdown(&s->ctx);
}

int
server_connections(const server_t *s)
{
	return s->connections;
}

uint64_t
server_bad_requests(const server_t *s)
{
	uint64_t n = s->refused;

	for (size_t i = 0; i < H2O_STATUS_ERROR_MAX; i++)
		n += s->ctx.emitted_error_status[i];
	return n;
}
