/*
 * Datagrams over UDP.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "trans.h"

#define DGRAM_BYTES 1400 /* what fits into one packet */

struct dgram {
	dgram_opts_t o;
	uv_udp_t udp;
	char in[DGRAM_BYTES];
};

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	dgram_t *d = h->data;

	(void)want;
	*buf = uv_buf_init(d->in, sizeof(d->in));
}

static void
on_recv(uv_udp_t *h, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned flags)
{
	dgram_t *d = h->data;

	if (n > 0 && from != NULL && (flags & UV_UDP_PARTIAL) == 0)
		d->o.on_data(d->o.ctx, (const uint8_t *)buf->base, (size_t)n);
}

dgram_t *
dgram_new(const dgram_opts_t *o, GError **err)
{
	dgram_t *d = g_new0(dgram_t, 1);
	struct sockaddr_in a;
	int e;

	d->o = *o;
	uv_udp_init(o->loop, &d->udp);
	d->udp.data = d;
	e = uv_ip4_addr(o->ip, o->port, &a);
	if (e == 0)
		e = uv_udp_bind(&d->udp, (struct sockaddr *)&a, 0);
	if (e == 0)
		e = uv_udp_recv_start(&d->udp, on_alloc, on_recv);
	if (e != 0) {
		g_set_error(err, TRANS_ERROR, TRANS_ERROR_LISTEN,
		    "cannot receive at %s port %d: %s", o->ip, o->port,
		    uv_strerror(e));
		return NULL;
	}
	return d;
}

/* What can't be sent at once is lost, like any datagram. */
void
dgram_send(
    dgram_t *d, const char *ip, int32_t port, const uint8_t *data, size_t n)
{
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned)n);
	struct sockaddr_in a;

	if (uv_ip4_addr(ip, port, &a) == 0)
		uv_udp_try_send(&d->udp, &buf, 1, (struct sockaddr *)&a);
}
