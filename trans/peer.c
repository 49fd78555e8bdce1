/*
 * Connections between entries.  Each entry connects to every other, so that a
 * pair of entries normally has two connections.  Messages are accepted on a
 * connection only after both ends have proved by an HMAC that they have the
 * shared key.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <openssl/rand.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../proto/proto.h"
#include "budget.h"
#include "trans.h"

#define REDIAL_DELAY_MS	     200
#define HANDSHAKE_TIMEOUT_MS 1500 /* to connect and authenticate */
#define READ_BUF_BYTES	     (64 * 1024)
#define HELLO_MAX_BYTES	     4096 /* more is not received before the proof */
#define SEND_QUEUE_MAX_BYTES (32 * 1024 * 1024)
#define BACKLOG		     128

typedef struct link link_t;

/* Another entry, as added by peers_add(). */
typedef struct {
	peers_t *peers;
	char *name;
	char *ip;
	int32_t port;
	link_t *dialled_link;  /* or NULL */
	link_t *accepted_link; /* authenticated, or NULL */
	uv_timer_t redial_timer;
	bool up;     /* dialled_link is authenticated */
	bool listed; /* added since the last peers_sweep() */
	bool removed;
} peer_t;

/* A connection, dialled by this entry or accepted from another. */
struct link {
	uv_tcp_t tcp;
	uv_timer_t timer; /* of the handshake */
	uv_connect_t connect;
	peers_t *peers;
	peer_t *peer; /* NULL: accepted, and not (yet) from an added peer */
	bool dialled;
	bool authenticated;
	bool closing;
	int open_handles; /* that still have to close before link is freed */
	char *name;	  /* claimed by the other end */
	int64_t incarnation;
	uint8_t own_nonce[NONCE_BYTES];
	uint8_t peer_nonce[NONCE_BYTES];
	GByteArray *recv_buf;	/* bytes received and not yet unpacked */
	budget_holder_t holder; /* until the proof, if it was accepted */
};

struct peers {
	peers_opts_t opts;
	uv_tcp_t listener;
	GHashTable *by_name; /* name -> peer_t */
	/* Of all links: what is read is used at once. */
	char read_buf[READ_BUF_BYTES];
};

/* A write in progress. */
typedef struct {
	uv_write_t req;
	GByteArray *bytes;
} write_t;

static void dial(peer_t *peer);

static void
on_written(uv_write_t *req, int status)
{
	write_t *w = (write_t *)req;

	(void)status; /* on_read() notices a broken connection */
	g_byte_array_free(w->bytes, TRUE);
	g_free(w);
}

/* Sends bytes and frees them once they are written. */
static void
link_write(link_t *l, GByteArray *bytes)
{
	write_t *w = g_new0(write_t, 1);
	uv_buf_t buf = uv_buf_init((char *)bytes->data, bytes->len);

	w->bytes = bytes;
	if (uv_write(&w->req, (uv_stream_t *)&l->tcp, &buf, 1, on_written) != 0)
		on_written(&w->req, UV_ECANCELED);
}

static void
on_link_closed(uv_handle_t *h)
{
	link_t *l = h->data;

	if (--l->open_handles > 0)
		return;
	g_byte_array_free(l->recv_buf, TRUE);
	g_free(l->name);
	g_free(l);
}

static void
on_peer_closed(uv_handle_t *h)
{
	peer_t *peer = h->data;

	g_free(peer->name);
	g_free(peer->ip);
	g_free(peer);
}

static void
on_redial(uv_timer_t *t)
{
	dial(t->data);
}

static void
link_close(link_t *l)
{
	if (l->closing)
		return;
	l->closing = true;
	budget_leave(&l->holder);
	l->open_handles = 2;
	uv_close((uv_handle_t *)&l->tcp, on_link_closed);
	uv_close((uv_handle_t *)&l->timer, on_link_closed);
}

/*
 * Closes a link.  If it was the dialled link of its peer, the peer's new state
 * is reported and the peer is dialled again.
 */
static void
link_end(link_t *l, ts_peer_state_t state)
{
	peer_t *peer = l->peer;

	if (l->closing)
		return;
	link_close(l);
	if (peer == NULL)
		return;
	if (peer->accepted_link == l)
		peer->accepted_link = NULL;
	if (peer->dialled_link != l)
		return;
	peer->dialled_link = NULL;
	peer->up = false;
	if (peer->removed)
		return;
	uv_timer_start(&peer->redial_timer, on_redial, REDIAL_DELAY_MS, 0);
	l->peers->opts.on_state(l->peers->opts.ctx, peer->name, state, 0);
}

/* Reports a violation of the protocol and closes the link. */
static void
link_reject(link_t *l, const char *why)
{
	l->peers->opts.on_protocol_error(l->peers->opts.ctx, why);
	link_end(l, TS_PEER_DOWN);
}

/*
 * Sends a hello with this entry's nonce.  With prove set, it also carries the
 * proof of the key, for which the peer's nonce must have been received.
 */
static void
send_hello(link_t *l, char role, bool prove)
{
	Ts__Envelope env = TS__ENVELOPE__INIT;
	Ts__Hello h = TS__HELLO__INIT;
	uint8_t mac[MAC_BYTES];

	h.name = (char *)l->peers->opts.name;
	h.incarnation = l->peers->opts.incarnation;
	h.nonce.data = l->own_nonce;
	h.nonce.len = NONCE_BYTES;
	if (prove) {
		hello_mac(l->peers->opts.key, role, l->peer_nonce, l->own_nonce,
		    l->peers->opts.name, l->peers->opts.incarnation, mac);
		h.mac.data = mac;
		h.mac.len = MAC_BYTES;
	}
	env.kind_case = TS__ENVELOPE__KIND_HELLO;
	env.hello = &h;
	link_write(l, frame_pack(&env));
}

/*
 * Called when the other end has proved the key.  If the link was dialled, its
 * peer is reported up; an accepted link replaces an earlier one from the same
 * peer.  Messages are also received from an entry that was not added as a peer,
 * but none can be sent to it.
 */
static void
link_authenticated(link_t *l)
{
	peer_t *peer;

	l->authenticated = true;
	budget_leave(&l->holder);
	uv_timer_stop(&l->timer);
	if (l->dialled) {
		peer = l->peer;
		peer->up = true;
		l->peers->opts.on_state(
		    l->peers->opts.ctx, peer->name, TS_PEER_UP, l->incarnation);
		return;
	}
	peer = g_hash_table_lookup(l->peers->by_name, l->name);
	if (peer == NULL)
		return;
	if (peer->accepted_link != NULL)
		link_end(peer->accepted_link, TS_PEER_DOWN);
	peer->accepted_link = l;
	l->peer = peer;
}

/*
 * The handshake takes three hellos: the accepting end sends its nonce, the
 * dialling end sends its own nonce with its proof of the key, and the accepting
 * end sends its proof.
 */
static void
on_hello(link_t *l, const Ts__Hello *h)
{
	uint8_t expected[MAC_BYTES];

	if (l->authenticated || h->nonce.len != NONCE_BYTES ||
	    h->name[0] == '\0') {
		link_reject(l, "malformed or unexpected hello");
		return;
	}
	if (l->name != NULL && strcmp(l->name, h->name) != 0) {
		link_reject(l, "name differs from that in the first hello");
		return;
	}
	if (l->name == NULL)
		l->name = g_strdup(h->name);
	l->incarnation = h->incarnation;
	memcpy(l->peer_nonce, h->nonce.data, NONCE_BYTES);
	if (l->dialled && h->mac.len == 0) {
		send_hello(l, HELLO_DIALLER, true);
		return;
	}
	hello_mac(l->peers->opts.key,
	    l->dialled ? HELLO_ACCEPTOR : HELLO_DIALLER, l->own_nonce,
	    l->peer_nonce, h->name, h->incarnation, expected);
	if (!hello_mac_equal(&h->mac, expected)) {
		link_reject(l, "no valid proof of the shared key");
		return;
	}
	if (l->dialled && strcmp(l->name, l->peer->name) != 0) {
		link_reject(l, "another entry than the expected one answered");
		return;
	}
	if (!l->dialled)
		send_hello(l, HELLO_ACCEPTOR, true);
	link_authenticated(l);
}

static void
on_envelope(link_t *l, const Ts__Envelope *env)
{
	if (env->kind_case == TS__ENVELOPE__KIND_HELLO)
		on_hello(l, env->hello);
	else if (!l->authenticated)
		link_reject(l, "message before authentication");
	else
		l->peers->opts.on_message(l->peers->opts.ctx, l->name, env);
}

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	link_t *l = h->data;

	(void)want;
	*buf = uv_buf_init(l->peers->read_buf, READ_BUF_BYTES);
}

static void
on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	link_t *l = st->data;
	g_autoptr(GError) err = NULL;
	Ts__Envelope *env;

	if (n < 0) {
		link_end(l, TS_PEER_DOWN);
		return;
	}
	g_byte_array_append(l->recv_buf, (const uint8_t *)buf->base, (guint)n);
	while (!l->closing && (env = frame_unpack(l->recv_buf, &err)) != NULL) {
		on_envelope(l, env);
		ts__envelope__free_unpacked(env, NULL);
	}
	if (err != NULL && !l->closing)
		link_reject(l, err->message);
	else if (!l->closing && !l->dialled && !l->authenticated &&
	    l->recv_buf->len > HELLO_MAX_BYTES)
		link_reject(l, "no hello at the beginning");
}

static void
on_link_timeout(uv_timer_t *t)
{
	link_end(t->data, TS_PEER_DOWN);
}

static link_t *
link_new(peers_t *p, bool dialled)
{
	link_t *l = g_new0(link_t, 1);

	l->peers = p;
	l->dialled = dialled;
	l->recv_buf = g_byte_array_new();
	RAND_bytes(l->own_nonce, NONCE_BYTES);
	uv_tcp_init(p->opts.loop, &l->tcp);
	uv_timer_init(p->opts.loop, &l->timer);
	l->tcp.data = l->timer.data = l;
	uv_timer_start(&l->timer, on_link_timeout, HANDSHAKE_TIMEOUT_MS, 0);
	return l;
}

static void
on_dialled(uv_connect_t *req, int status)
{
	link_t *l = req->data;

	if (l->closing)
		return;
	if (status != 0) {
		link_end(l,
		    status == UV_ECONNREFUSED ? TS_PEER_REFUSED : TS_PEER_DOWN);
		return;
	}
	uv_tcp_nodelay(&l->tcp, 1);
	uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
}

static void
dial(peer_t *peer)
{
	link_t *l = link_new(peer->peers, true);
	struct sockaddr_in a;

	l->peer = peer;
	peer->dialled_link = l;
	l->connect.data = l;
	if (uv_ip4_addr(peer->ip, peer->port, &a) != 0 ||
	    uv_tcp_connect(
		&l->connect, &l->tcp, (struct sockaddr *)&a, on_dialled) != 0)
		link_end(l, TS_PEER_DOWN);
}

/* The account closes a link whose other end has not proved the key. */
static void
on_holder_close(budget_holder_t *h)
{
	link_end(
	    (link_t *)((char *)h - offsetof(link_t, holder)), TS_PEER_DOWN);
}

static void
on_accept(uv_stream_t *s, int status)
{
	peers_t *p = s->data;
	bool admitted;
	link_t *l;

	if (status != 0)
		return;
	l = link_new(p, false);
	l->holder.close = on_holder_close;
	admitted =
	    p->opts.budget == NULL || budget_enter(p->opts.budget, &l->holder);
	if (uv_accept(s, (uv_stream_t *)&l->tcp) != 0 || !admitted) {
		link_close(l);
		return;
	}
	uv_tcp_nodelay(&l->tcp, 1);
	uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
	send_hello(l, HELLO_ACCEPTOR, false);
}

peers_t *
peers_new(const peers_opts_t *o, GError **err)
{
	peers_t *p = g_new0(peers_t, 1);
	struct sockaddr_in a;
	int e;

	p->opts = *o;
	p->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	uv_tcp_init(o->loop, &p->listener);
	p->listener.data = p;
	e = uv_ip4_addr(o->ip, o->port, &a);
	if (e == 0)
		e = uv_tcp_bind(&p->listener, (struct sockaddr *)&a, 0);
	if (e == 0)
		e = uv_listen((uv_stream_t *)&p->listener, BACKLOG, on_accept);
	if (e != 0) {
		g_set_error(err, TRANS_ERROR, TRANS_ERROR_LISTEN,
		    "cannot listen on %s port %d: %s", o->ip, o->port,
		    uv_strerror(e));
		return NULL;
	}
	return p;
}

void
peers_add(peers_t *p, const char *name, const char *ip, int32_t port)
{
	peer_t *peer = g_hash_table_lookup(p->by_name, name);

	if (peer != NULL) {
		peer->listed = true;
		if (strcmp(peer->ip, ip) != 0 || peer->port != port) {
			g_free(peer->ip);
			peer->ip = g_strdup(ip);
			peer->port = port;
		}
		return;
	}
	peer = g_new0(peer_t, 1);
	peer->peers = p;
	peer->name = g_strdup(name);
	peer->ip = g_strdup(ip);
	peer->port = port;
	peer->listed = true;
	uv_timer_init(p->opts.loop, &peer->redial_timer);
	peer->redial_timer.data = peer;
	g_hash_table_insert(p->by_name, peer->name, peer);
	uv_timer_start(&peer->redial_timer, on_redial, 0, 0);
}

bool
peers_send(peers_t *p, const char *name, GByteArray *bytes)
{
	peer_t *peer = g_hash_table_lookup(p->by_name, name);
	link_t *l = NULL;

	if (peer != NULL && peer->up)
		l = peer->dialled_link;
	else if (peer != NULL && peer->accepted_link != NULL)
		l = peer->accepted_link;
	if (l == NULL ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&l->tcp) >
		SEND_QUEUE_MAX_BYTES) {
		g_byte_array_free(bytes, TRUE);
		return false;
	}
	link_write(l, bytes);
	return true;
}

static void
peer_remove(peers_t *p, peer_t *peer)
{
	bool was_up = peer->up;

	peer->removed = true;
	g_hash_table_remove(p->by_name, peer->name);
	if (peer->accepted_link != NULL) {
		peer->accepted_link->peer = NULL;
		link_close(peer->accepted_link);
	}
	if (peer->dialled_link != NULL) {
		peer->dialled_link->peer = NULL;
		link_close(peer->dialled_link);
	}
	if (was_up)
		p->opts.on_state(p->opts.ctx, peer->name, TS_PEER_DOWN, 0);
	uv_close((uv_handle_t *)&peer->redial_timer, on_peer_closed);
}

void
peers_sweep(peers_t *p)
{
	g_autoptr(GList) list = g_hash_table_get_values(p->by_name);

	for (GList *i = list; i != NULL; i = i->next) {
		peer_t *peer = i->data;

		if (!peer->listed)
			peer_remove(p, peer);
		else
			peer->listed = false;
	}
}
