/*
 * The HTTP server, on the h2o library.  It refuses requests whose length is
 * ambiguous, which could be used for request smuggling, before they reach
 * on_request.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>
#include <h2o.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "trans.h"

#define BACKLOG		   1024
#define REQUEST_TIMEOUT_MS 10000 /* until a request is complete */
#define HEADERS_MAX_BYTES  16384 /* the most that callers of the platform send */

struct server {
	server_opts_t opts;
	uv_tcp_t listener;
	h2o_globalconf_t conf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	int connections;
	bool stopped;
	uint64_t refused; /* by refuse(); h2o counts its own refusals */
};

/*
 * A connection.  h2o uses the handle's data pointer for itself, so the server
 * is found through the struct around the handle.
 */
typedef struct {
	uv_tcp_t tcp;
	server_t *server;
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
	h2o_req_t *req;	       /* NULL: the caller has disconnected */
	struct anchor *anchor; /* valid while req is */
	char *method;
	char *path;
	char *host;
} req_impl_t;

typedef struct anchor {
	req_impl_t *impl; /* NULL: answered */
} anchor_t;

G_DEFINE_QUARK(trans_error, trans_error)

/* h2o frees a request: it was answered, or the caller has disconnected. */
static void
on_h2o_dispose(void *p)
{
	anchor_t *a = p;

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
	req_impl_t *r;

	if (status != 0)
		return refuse(s, req, status);
	r = g_new0(req_impl_t, 1);
	r->server = s;
	r->req = req;
	r->anchor =
	    h2o_mem_alloc_shared(&req->pool, sizeof(anchor_t), on_h2o_dispose);
	r->anchor->impl = r;
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

void
server_reply(server_req_t *pub, int32_t status, const char *headers,
    const void *body, size_t n)
{
	req_impl_t *r = pub->impl;
	h2o_req_t *req = r->req;

	if (req != NULL) {
		r->anchor->impl = NULL;
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

	conn->server->connections--;
	g_free(conn);
}

static void
on_connection(uv_stream_t *l, int status)
{
	server_t *s = l->data;
	conn_t *conn;

	if (status != 0)
		return;
	conn = g_new0(conn_t, 1);
	conn->server = s;
	uv_tcp_init(s->opts.loop, &conn->tcp);
	s->connections++;
	if (uv_accept(l, (uv_stream_t *)&conn->tcp) != 0) {
		uv_close((uv_handle_t *)&conn->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	h2o_accept(&s->accept,
	    h2o_uv_socket_create(
		(uv_stream_t *)&conn->tcp, on_connection_closed));
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
	/* Callers speak HTTP/1.1. */
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
