/*
 * A loopback TCP proxy with injected network faults, for the soak test.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "proxy.h"

#define BACKLOG	   256
#define READ_BYTES (64 * 1024)

typedef struct connection connection_t;

/* One side of a proxied connection; what it reads goes to the other side. */
typedef struct {
	uv_tcp_t tcp;
	connection_t *connection;
	bool is_client;
	uint64_t last_due_ms; /* when the last chunk that it sent is due */
} endpoint_t;

struct connection {
	proxy_t *proxy;
	endpoint_t client, server;
	uv_connect_t connect;
	int open_handles; /* of client and server */
	bool closing;
	int chunks_in_flight; /* delayed or being written */
};

/* Bytes on their way to dest. */
typedef struct {
	uv_timer_t timer;
	uv_write_t write;
	endpoint_t *dest;
	uv_buf_t buf;
} chunk_t;

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct sockaddr_in server_addr;
	proxy_mode_t mode;
	int32_t delay_ms;
	GPtrArray *connections;
};

static void
free_if_unused(connection_t *p)
{
	if (p->open_handles == 0 && p->chunks_in_flight == 0)
		g_free(p);
}

static void
on_closed(uv_handle_t *h)
{
	connection_t *p = ((endpoint_t *)h)->connection;

	p->open_handles--;
	free_if_unused(p);
}

static void
close_connection(connection_t *p, bool reset)
{
	if (p->closing)
		return;
	p->closing = true;
	g_ptr_array_remove_fast(p->proxy->connections, p);
	if (!reset || uv_tcp_close_reset(&p->client.tcp, on_closed) != 0)
		uv_close((uv_handle_t *)&p->client.tcp, on_closed);
	if (!reset || uv_tcp_close_reset(&p->server.tcp, on_closed) != 0)
		uv_close((uv_handle_t *)&p->server.tcp, on_closed);
}

static void
on_chunk_closed(uv_handle_t *h)
{
	chunk_t *chunk = (chunk_t *)h;
	connection_t *p = chunk->dest->connection;

	p->chunks_in_flight--;
	g_free(chunk->buf.base);
	g_free(chunk);
	free_if_unused(p);
}

static void
on_written(uv_write_t *w, int status)
{
	chunk_t *chunk = w->data;

	if (status != 0)
		close_connection(chunk->dest->connection, false);
	uv_close((uv_handle_t *)&chunk->timer, on_chunk_closed);
}

static void
write_chunk(uv_timer_t *t)
{
	chunk_t *chunk = (chunk_t *)t;

	chunk->write.data = chunk;
	if (chunk->dest->connection->closing ||
	    uv_write(&chunk->write, (uv_stream_t *)&chunk->dest->tcp,
		&chunk->buf, 1, on_written) != 0)
		uv_close((uv_handle_t *)&chunk->timer, on_chunk_closed);
}

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	(void)h;
	(void)want;
	*buf = uv_buf_init(g_malloc(READ_BYTES), READ_BYTES);
}

static bool
is_dropped(const proxy_t *p, const endpoint_t *from)
{
	return p->mode == PROXY_BLACKHOLE ||
	    (p->mode == PROXY_DROP_UPSTREAM && from->is_client) ||
	    (p->mode == PROXY_DROP_DOWNSTREAM && !from->is_client);
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	endpoint_t *from = (endpoint_t *)st;
	connection_t *p = from->connection;
	uint64_t now = uv_now(p->proxy->loop), due = now;
	chunk_t *chunk;

	if (n <= 0 || is_dropped(p->proxy, from)) {
		g_free(buf->base);
		/* A black hole passes no close on either. */
		if (n < 0 && p->proxy->mode != PROXY_BLACKHOLE)
			close_connection(p, false);
		else if (n < 0)
			uv_read_stop(st);
		return;
	}
	chunk = g_new0(chunk_t, 1);
	chunk->dest = from->is_client ? &p->server : &p->client;
	chunk->buf = uv_buf_init(buf->base, (unsigned)n);
	p->chunks_in_flight++;
	/* No chunk overtakes an earlier one, also when a delay has ended. */
	if (p->proxy->mode == PROXY_DELAY)
		due += (uint64_t)p->proxy->delay_ms;
	due = from->last_due_ms = MAX(due, from->last_due_ms);
	uv_timer_init(p->proxy->loop, &chunk->timer);
	uv_timer_start(&chunk->timer, write_chunk, due - now, 0);
}

static void
on_connected(uv_connect_t *c, int status)
{
	connection_t *p = c->data;

	if (p->closing)
		return;
	if (status != 0) {
		close_connection(p, true);
		return;
	}
	uv_tcp_nodelay(&p->server.tcp, 1);
	uv_read_start((uv_stream_t *)&p->client.tcp, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&p->server.tcp, on_alloc, on_read);
}

static void
on_client(uv_stream_t *l, int status)
{
	proxy_t *proxy = l->data;
	connection_t *p;

	if (status != 0)
		return;
	p = g_new0(connection_t, 1);
	p->proxy = proxy;
	p->client.connection = p->server.connection = p;
	p->client.is_client = true;
	p->open_handles = 2;
	uv_tcp_init(proxy->loop, &p->client.tcp);
	uv_tcp_init(proxy->loop, &p->server.tcp);
	g_ptr_array_add(proxy->connections, p);
	if (uv_accept(l, (uv_stream_t *)&p->client.tcp) != 0) {
		close_connection(p, false);
		return;
	}
	uv_tcp_nodelay(&p->client.tcp, 1);
	p->connect.data = p;
	if (uv_tcp_connect(&p->connect, &p->server.tcp,
		(const struct sockaddr *)&proxy->server_addr,
		on_connected) != 0)
		close_connection(p, true);
}

proxy_t *
proxy_new(uv_loop_t *loop, const char *ip, int port, int to_port)
{
	proxy_t *p = g_new0(proxy_t, 1);
	struct sockaddr_in at;

	p->loop = loop;
	p->connections = g_ptr_array_new();
	uv_ip4_addr(ip, to_port, &p->server_addr);
	uv_ip4_addr(ip, port, &at);
	uv_tcp_init(loop, &p->listener);
	p->listener.data = p;
	if (uv_tcp_bind(&p->listener, (struct sockaddr *)&at, 0) != 0 ||
	    uv_listen((uv_stream_t *)&p->listener, BACKLOG, on_client) != 0)
		return NULL;
	return p;
}

void
proxy_set_mode(proxy_t *p, proxy_mode_t mode, int32_t delay_ms)
{
	bool was_dropping = p->mode != PROXY_PASS && p->mode != PROXY_DELAY;

	p->mode = mode;
	p->delay_ms = delay_ms;
	/* Streams with dropped bytes can't go on. */
	if (was_dropping)
		proxy_reset(p);
}

void
proxy_reset(proxy_t *p)
{
	while (p->connections->len > 0)
		close_connection(g_ptr_array_index(p->connections, 0), true);
}
