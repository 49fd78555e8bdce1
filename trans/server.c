/*
 * The HTTP server, by h2o.
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

#define BACKLOG		  1024
#define IDLE_MS		  10000 /* before a request is complete */
#define HEADERS_MAX_BYTES 16384 /* the most that callers of the platform send */

struct server {
	server_opts_t o;
	uv_tcp_t listener;
	h2o_globalconf_t conf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	int open;
	bool stopped;
	uint64_t refused;
};

/* h2o keeps its own pointer in the handle's data. */
typedef struct {
	uv_tcp_t tcp;
	server_t *server;
} conn_t;

typedef struct {
	h2o_handler_t super;
	server_t *server;
} handler_t;

/* Outlives neither side: whichever goes first clears the other's pointer. */
typedef struct {
	server_req_t pub;
	server_t *server;
	h2o_req_t *req;
	struct anchor *anchor;
	char *method;
	char *path;
	char *host;
} sreq_t;

typedef struct anchor {
	sreq_t *sr;
} anchor_t;

G_DEFINE_QUARK(trans_error, trans_error)

/* h2o drops the request, as the caller is gone. */
static void
on_dispose(void *p)
{
	anchor_t *a = p;

	if (a->sr == NULL)
		return;
	a->sr->req = NULL;
	a->sr->anchor = NULL;
	a->sr->pub.body = "";
	a->sr->pub.body_bytes = 0;
}

/* The value of a header line that tells the length, or NULL; end is its end. */
static const char *
length_value(const char *line, const char *end)
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
 * Whether the head of a request, as received, tells two different lengths.
 * h2o keeps the first and drops both from the headers that it hands on, so
 * only its buffer shows it; the head stays there until the request is done.
 */
static bool
two_lengths(const h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	const char *line = sock->input->bytes, *end, *value, *first = NULL;
	const char *all = line + sock->input->size;
	size_t first_len = 0, len;

	while (line < all &&
	    (end = memchr(line, '\r', (size_t)(all - line))) != NULL &&
	    end != line) {
		value = length_value(line, end);
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
 * The status to refuse a request with: its length is told in two ways that
 * may differ, or its headers are too long; 0 when neither.
 */
static int
refusal(const h2o_req_t *req)
{
	bool length = two_lengths(req), chunked = false;
	size_t bytes = 0;

	if (length)
		return 400;
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *f = &req->headers.entries[i];

		bytes += f->name->len + f->value.len;
		chunked = chunked ||
		    h2o_memis(f->name->base, f->name->len,
			H2O_STRLIT("transfer-encoding"));
		length = length ||
		    h2o_memis(f->name->base, f->name->len,
			H2O_STRLIT("content-length"));
	}
	if (length && chunked)
		return 400;
	return bytes > HEADERS_MAX_BYTES ? 431 : 0;
}

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
on_req(h2o_handler_t *h, h2o_req_t *req)
{
	server_t *s = ((handler_t *)h)->server;
	int bad = refusal(req);
	sreq_t *r;

	if (bad != 0)
		return refuse(s, req, bad);
	r = g_new0(sreq_t, 1);
	r->server = s;
	r->req = req;
	r->anchor =
	    h2o_mem_alloc_shared(&req->pool, sizeof(anchor_t), on_dispose);
	r->anchor->sr = r;
	r->method = g_strndup(req->method.base, req->method.len);
	r->path = g_strndup(req->path.base, req->path.len);
	r->host = g_strndup(req->authority.base, req->authority.len);
	r->pub.host = r->host;
	r->pub.method = r->method;
	r->pub.path = r->path;
	r->pub.body = req->entity.base == NULL ? "" : req->entity.base;
	r->pub.body_bytes = req->entity.len;
	r->pub.impl = r;
	s->o.on_request(s->o.ctx, &r->pub);
	return 0;
}

char *
server_header(const server_req_t *pub, const char *name)
{
	const sreq_t *r = pub->impl;
	ssize_t i;

	if (r->req == NULL)
		return NULL;
	i = h2o_find_header_by_str(&r->req->headers, name, strlen(name), -1);
	if (i < 0)
		return NULL;
	return g_strndup(r->req->headers.entries[i].value.base,
	    r->req->headers.entries[i].value.len);
}

/* Headers that concern one connection, or only the entry. */
static bool
private_header(const char *name, size_t n)
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
	const sreq_t *r = pub->impl;
	GString *s = g_string_new(NULL);

	for (size_t i = 0; r->req != NULL && i < r->req->headers.size; i++) {
		h2o_header_t *h = &r->req->headers.entries[i];

		if (private_header(h->name->base, h->name->len))
			continue;
		g_string_append_len(s, h->name->base, (gssize)h->name->len);
		g_string_append(s, ": ");
		g_string_append_len(s, h->value.base, (gssize)h->value.len);
		g_string_append(s, "\r\n");
	}
	return g_string_free(s, FALSE);
}

static void
add_headers(h2o_req_t *req, const char *text)
{
	while (text != NULL && *text != '\0') {
		const char *end = strstr(text, "\r\n");
		const char *colon = strchr(text, ':');
		h2o_iovec_t name, value;

		if (end == NULL || colon == NULL || colon > end)
			return;
		if (!private_header(text, (size_t)(colon - text))) {
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
	sreq_t *r = pub->impl;
	h2o_req_t *req = r->req;

	if (req != NULL) {
		r->anchor->sr = NULL;
		req->res.status = status;
		req->res.reason = "-";
		req->res.content_length = n;
		add_headers(req, headers);
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
on_conn_close(uv_handle_t *h)
{
	conn_t *k = (conn_t *)h;

	k->server->open--;
	g_free(k);
}

static void
on_connect(uv_stream_t *l, int status)
{
	server_t *s = l->data;
	conn_t *k;

	if (status != 0)
		return;
	k = g_new0(conn_t, 1);
	k->server = s;
	uv_tcp_init(s->o.loop, &k->tcp);
	s->open++;
	if (uv_accept(l, (uv_stream_t *)&k->tcp) != 0) {
		uv_close((uv_handle_t *)&k->tcp, on_conn_close);
		return;
	}
	uv_tcp_nodelay(&k->tcp, 1);
	h2o_accept(&s->accept,
	    h2o_uv_socket_create((uv_stream_t *)&k->tcp, on_conn_close));
}

server_t *
server_new(const server_opts_t *o, GError **err)
{
	server_t *s = g_new0(server_t, 1);
	struct sockaddr_in a;
	h2o_hostconf_t *host;
	handler_t *h;
	int e;

	s->o = *o;
	h2o_config_init(&s->conf);
	s->conf.max_request_entity_size = o->body_max_bytes;
	s->conf.http1.req_timeout = IDLE_MS;
	s->conf.server_name = h2o_iovec_init(H2O_STRLIT(""));
	host = h2o_config_register_host(
	    &s->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	h = (handler_t *)h2o_create_handler(
	    h2o_config_register_path(host, "/", 0), sizeof(*h));
	h->super.on_req = on_req;
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
		e = uv_listen((uv_stream_t *)&s->listener, BACKLOG, on_connect);
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
	return s->open;
}

uint64_t
server_bad_requests(const server_t *s)
{
	uint64_t n = s->refused;

	for (size_t i = 0; i < H2O_STATUS_ERROR_MAX; i++)
		n += s->ctx.emitted_error_status[i];
	return n;
}
