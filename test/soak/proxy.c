/*
 * The loopback proxy of the soak.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "proxy.h"

#define BACKLOG	   256
#define READ_BYTES (64 * 1024)

typedef struct pair pair_t;

/* One end of a pair; what it reads goes to the other. */
typedef struct {
	uv_tcp_t tcp;
	pair_t *pair;
	bool client;
} side_t;

struct pair {
	proxy_t *proxy;
	side_t client, server;
	uv_connect_t connect;
	int open; /* handles */
	bool closing;
	int pieces; /* held or being written */
};

/* Bytes on their way. */
typedef struct {
	uv_timer_t timer;
	uv_write_t write;
	side_t *to;
	uv_buf_t buf;
} piece_t;

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct sockaddr_in to;
	proxy_mode_t mode;
	int32_t delay_ms;
	GPtrArray *pairs;
};

static void
maybe_free(pair_t *p)
{
	if (p->open == 0 && p->pieces == 0)
		g_free(p);
}

static void
on_closed(uv_handle_t *h)
{
	pair_t *p = ((side_t *)h)->pair;

	p->open--;
	maybe_free(p);
}

static void
end_pair(pair_t *p, bool reset)
{
	if (p->closing)
		return;
	p->closing = true;
	g_ptr_array_remove_fast(p->proxy->pairs, p);
	if (!reset || uv_tcp_close_reset(&p->client.tcp, on_closed) != 0)
		uv_close((uv_handle_t *)&p->client.tcp, on_closed);
	if (!reset || uv_tcp_close_reset(&p->server.tcp, on_closed) != 0)
		uv_close((uv_handle_t *)&p->server.tcp, on_closed);
}

static void
on_piece_closed(uv_handle_t *h)
{
	piece_t *x = (piece_t *)h;
	pair_t *p = x->to->pair;

	p->pieces--;
	g_free(x->buf.base);
	g_free(x);
	maybe_free(p);
}

static void
on_written(uv_write_t *w, int status)
{
	piece_t *x = w->data;

	if (status != 0)
		end_pair(x->to->pair, false);
	uv_close((uv_handle_t *)&x->timer, on_piece_closed);
}

static void
on_due(uv_timer_t *t)
{
	piece_t *x = (piece_t *)t;

	x->write.data = x;
	if (x->to->pair->closing ||
	    uv_write(&x->write, (uv_stream_t *)&x->to->tcp, &x->buf, 1,
		on_written) != 0)
		uv_close((uv_handle_t *)&x->timer, on_piece_closed);
}

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	(void)h;
	(void)want;
	*buf = uv_buf_init(g_malloc(READ_BYTES), READ_BYTES);
}

static bool
dropped(const proxy_t *p, const side_t *from)
{
	return p->mode == PROXY_BLACKHOLE ||
	    (p->mode == PROXY_DROP_UPSTREAM && from->client) ||
	    (p->mode == PROXY_DROP_DOWNSTREAM && !from->client);
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	side_t *from = (side_t *)st;
	pair_t *p = from->pair;
	piece_t *x;

	if (n <= 0 || dropped(p->proxy, from)) {
		g_free(buf->base);
		/* A connection that is silenced tells nothing of its end. */
		if (n < 0 && p->proxy->mode != PROXY_BLACKHOLE)
			end_pair(p, false);
		else if (n < 0)
			uv_read_stop(st);
		return;
	}
	x = g_new0(piece_t, 1);
	x->to = from->client ? &p->server : &p->client;
	x->buf = uv_buf_init(buf->base, (unsigned)n);
	p->pieces++;
	uv_timer_init(p->proxy->loop, &x->timer);
	uv_timer_start(&x->timer, on_due,
	    p->proxy->mode == PROXY_DELAY ? (uint64_t)p->proxy->delay_ms : 0,
	    0);
}

static void
on_connected(uv_connect_t *c, int status)
{
	pair_t *p = c->data;

	if (p->closing)
		return;
	if (status != 0) {
		end_pair(p, true);
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
	pair_t *p;

	if (status != 0)
		return;
	p = g_new0(pair_t, 1);
	p->proxy = proxy;
	p->client.pair = p->server.pair = p;
	p->client.client = true;
	p->open = 2;
	uv_tcp_init(proxy->loop, &p->client.tcp);
	uv_tcp_init(proxy->loop, &p->server.tcp);
	g_ptr_array_add(proxy->pairs, p);
	if (uv_accept(l, (uv_stream_t *)&p->client.tcp) != 0) {
		end_pair(p, false);
		return;
	}
	uv_tcp_nodelay(&p->client.tcp, 1);
	p->connect.data = p;
	if (uv_tcp_connect(&p->connect, &p->server.tcp,
		(const struct sockaddr *)&proxy->to, on_connected) != 0)
		end_pair(p, true);
}

proxy_t *
proxy_new(uv_loop_t *loop, const char *ip, int port, int to_port)
{
	proxy_t *p = g_new0(proxy_t, 1);
	struct sockaddr_in at;

	p->loop = loop;
	p->pairs = g_ptr_array_new();
	uv_ip4_addr(ip, to_port, &p->to);
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
	bool silent = p->mode != PROXY_PASS && p->mode != PROXY_DELAY;

	p->mode = mode;
	p->delay_ms = delay_ms;
	/* What was dropped is lost: those connections can't go on. */
	if (silent)
		proxy_reset(p);
}

void
proxy_reset(proxy_t *p)
{
	while (p->pairs->len > 0)
		end_pair(g_ptr_array_index(p->pairs, 0), true);
}
