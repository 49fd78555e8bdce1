/*
 * Connections between entries.  Each entry dials every other; a connection
 * carries messages only after both ends have proved the shared key.
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
#include "trans.h"

#define REDIAL_MS  200
#define DIAL_MS	   1500 /* to connect and prove the key */
#define READ_BYTES (64 * 1024)
#define UNSENT_MAX (32 * 1024 * 1024)
#define BACKLOG	   128

typedef struct link link_t;

/* A peer that is dialled. */
typedef struct {
	peers_t *all;
	char *name;
	char *ip;
	int32_t port;
	link_t *link;	  /* dialled by us */
	link_t *accepted; /* dialled by the peer */
	uv_timer_t redial;
	bool up;
	bool wanted;
	bool gone;
} remote_t;

struct link {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	peers_t *all;
	remote_t *remote; /* NULL: not yet known */
	bool dialled;
	bool proved;
	bool closing;
	int closes;
	char *name; /* claimed by the other end */
	int64_t incarnation;
	uint8_t mine[NONCE_BYTES];
	uint8_t theirs[NONCE_BYTES];
	GByteArray *in;
	char buf[READ_BYTES];
};

struct peers {
	peers_opts_t o;
	uv_tcp_t listener;
	GHashTable *remotes; /* name -> remote_t */
};

typedef struct {
	uv_write_t w;
	GByteArray *bytes;
} out_t;

static void dial(remote_t *r);

static void
on_written(uv_write_t *w, int status)
{
	out_t *o = (out_t *)w;

	(void)status; /* a broken connection shows when reading */
	g_byte_array_free(o->bytes, TRUE);
	g_free(o);
}

/* Takes the bytes. */
static void
link_write(link_t *l, GByteArray *bytes)
{
	out_t *o = g_new0(out_t, 1);
	uv_buf_t buf = uv_buf_init((char *)bytes->data, bytes->len);

	o->bytes = bytes;
	if (uv_write(&o->w, (uv_stream_t *)&l->tcp, &buf, 1, on_written) != 0)
		on_written(&o->w, UV_ECANCELED);
}

static void
on_link_closed(uv_handle_t *h)
{
	link_t *l = h->data;

	if (--l->closes > 0)
		return;
	g_byte_array_free(l->in, TRUE);
	g_free(l->name);
	g_free(l);
}

static void
on_remote_closed(uv_handle_t *h)
{
	remote_t *r = h->data;

	g_free(r->name);
	g_free(r->ip);
	g_free(r);
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
	l->closes = 2;
	uv_close((uv_handle_t *)&l->tcp, on_link_closed);
	uv_close((uv_handle_t *)&l->timer, on_link_closed);
}

/* Ends a link; the peer's state follows from a dialled one. */
static void
link_end(link_t *l, ts_peer_state_t state)
{
	remote_t *r = l->remote;

	if (l->closing)
		return;
	link_close(l);
	if (r == NULL)
		return;
	if (r->accepted == l)
		r->accepted = NULL;
	if (r->link != l)
		return;
	r->link = NULL;
	r->up = false;
	if (r->gone)
		return;
	uv_timer_start(&r->redial, on_redial, REDIAL_MS, 0);
	l->all->o.on_state(l->all->o.ctx, r->name, state, 0);
}

static void
bad(link_t *l, const char *why)
{
	l->all->o.on_protocol_error(l->all->o.ctx, why);
	link_end(l, TS_PEER_DOWN);
}

static void
send_hello(link_t *l, char role, bool prove)
{
	Ts__Envelope env = TS__ENVELOPE__INIT;
	Ts__Hello h = TS__HELLO__INIT;
	uint8_t mac[MAC_BYTES];

	h.name = (char *)l->all->o.name;
	h.incarnation = l->all->o.incarnation;
	h.nonce.data = l->mine;
	h.nonce.len = NONCE_BYTES;
	if (prove) {
		hello_mac(l->all->o.key, role, l->theirs, l->mine,
		    l->all->o.name, l->all->o.incarnation, mac);
		h.mac.data = mac;
		h.mac.len = MAC_BYTES;
	}
	env.kind_case = TS__ENVELOPE__KIND_HELLO;
	env.hello = &h;
	link_write(l, frame_pack(&env));
}

static void
proved(link_t *l)
{
	remote_t *r;

	l->proved = true;
	uv_timer_stop(&l->timer);
	if (l->dialled) {
		r = l->remote;
		r->up = true;
		l->all->o.on_state(
		    l->all->o.ctx, r->name, TS_PEER_UP, l->incarnation);
		return;
	}
	r = g_hash_table_lookup(l->all->remotes, l->name);
	if (r == NULL)
		return;
	if (r->accepted != NULL)
		link_end(r->accepted, TS_PEER_DOWN);
	r->accepted = l;
	l->remote = r;
}

/*
 * The accepting end says hello first, the dialling end answers with its
 * proof, the accepting end with its own.
 */
static void
on_hello(link_t *l, const Ts__Hello *h)
{
	uint8_t want[MAC_BYTES];

	if (l->proved || h->nonce.len != NONCE_BYTES || h->name[0] == '\0') {
		bad(l, "bad hello");
		return;
	}
	if (l->name != NULL && strcmp(l->name, h->name) != 0) {
		bad(l, "hello changed its name");
		return;
	}
	if (l->name == NULL)
		l->name = g_strdup(h->name);
	l->incarnation = h->incarnation;
	memcpy(l->theirs, h->nonce.data, NONCE_BYTES);
	if (l->dialled && h->mac.len == 0) {
		send_hello(l, 'd', true);
		return;
	}
	hello_mac(l->all->o.key, l->dialled ? 'a' : 'd', l->mine, l->theirs,
	    h->name, h->incarnation, want);
	if (!hello_mac_equal(&h->mac, want)) {
		bad(l, "wrong key");
		return;
	}
	if (l->dialled && strcmp(l->name, l->remote->name) != 0) {
		bad(l, "another entry answers there");
		return;
	}
	if (!l->dialled)
		send_hello(l, 'a', true);
	proved(l);
}

static void
on_frame(link_t *l, const Ts__Envelope *env)
{
	if (env->kind_case == TS__ENVELOPE__KIND_HELLO)
		on_hello(l, env->hello);
	else if (!l->proved)
		bad(l, "message before the key was proved");
	else
		l->all->o.on_message(l->all->o.ctx, l->name, env);
}

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	link_t *l = h->data;

	(void)want;
	*buf = uv_buf_init(l->buf, READ_BYTES);
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
	g_byte_array_append(l->in, (const uint8_t *)buf->base, (guint)n);
	while (!l->closing && (env = frame_unpack(l->in, &err)) != NULL) {
		on_frame(l, env);
		ts__envelope__free_unpacked(env, NULL);
	}
	if (err != NULL && !l->closing)
		bad(l, err->message);
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

	l->all = p;
	l->dialled = dialled;
	l->in = g_byte_array_new();
	RAND_bytes(l->mine, NONCE_BYTES);
	uv_tcp_init(p->o.loop, &l->tcp);
	uv_timer_init(p->o.loop, &l->timer);
	l->tcp.data = l->timer.data = l;
	uv_timer_start(&l->timer, on_link_timeout, DIAL_MS, 0);
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
dial(remote_t *r)
{
	link_t *l = link_new(r->all, true);
	struct sockaddr_in a;

	l->remote = r;
	r->link = l;
	l->connect.data = l;
	if (uv_ip4_addr(r->ip, r->port, &a) != 0 ||
	    uv_tcp_connect(
		&l->connect, &l->tcp, (struct sockaddr *)&a, on_dialled) != 0)
		link_end(l, TS_PEER_DOWN);
}

static void
on_accept(uv_stream_t *s, int status)
{
	peers_t *p = s->data;
	link_t *l;

	if (status != 0)
		return;
	l = link_new(p, false);
	if (uv_accept(s, (uv_stream_t *)&l->tcp) != 0) {
		link_close(l);
		return;
	}
	uv_tcp_nodelay(&l->tcp, 1);
	uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
	send_hello(l, 'a', false);
}

peers_t *
peers_new(const peers_opts_t *o, GError **err)
{
	peers_t *p = g_new0(peers_t, 1);
	struct sockaddr_in a;
	int e;

	p->o = *o;
	p->remotes = g_hash_table_new(g_str_hash, g_str_equal);
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
	remote_t *r = g_hash_table_lookup(p->remotes, name);

	if (r != NULL) {
		r->wanted = true;
		if (strcmp(r->ip, ip) != 0 || r->port != port) {
			g_free(r->ip);
			r->ip = g_strdup(ip);
			r->port = port;
		}
		return;
	}
	r = g_new0(remote_t, 1);
	r->all = p;
	r->name = g_strdup(name);
	r->ip = g_strdup(ip);
	r->port = port;
	r->wanted = true;
	uv_timer_init(p->o.loop, &r->redial);
	r->redial.data = r;
	g_hash_table_insert(p->remotes, r->name, r);
	uv_timer_start(&r->redial, on_redial, 0, 0);
}

bool
peers_send(peers_t *p, const char *name, GByteArray *bytes)
{
	remote_t *r = g_hash_table_lookup(p->remotes, name);
	link_t *l = NULL;

	if (r != NULL && r->up)
		l = r->link;
	else if (r != NULL && r->accepted != NULL)
		l = r->accepted;
	if (l == NULL ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&l->tcp) >
		UNSENT_MAX) {
		g_byte_array_free(bytes, TRUE);
		return false;
	}
	link_write(l, bytes);
	return true;
}

static void
drop(peers_t *p, remote_t *r)
{
	bool was = r->up;

	r->gone = true;
	g_hash_table_remove(p->remotes, r->name);
	if (r->accepted != NULL) {
		r->accepted->remote = NULL;
		link_close(r->accepted);
	}
	if (r->link != NULL) {
		r->link->remote = NULL;
		link_close(r->link);
	}
	if (was)
		p->o.on_state(p->o.ctx, r->name, TS_PEER_DOWN, 0);
	uv_close((uv_handle_t *)&r->redial, on_remote_closed);
}

void
peers_sweep(peers_t *p)
{
	g_autoptr(GList) all = g_hash_table_get_values(p->remotes);

	for (GList *i = all; i != NULL; i = i->next) {
		remote_t *r = i->data;

		if (!r->wanted)
			drop(p, r);
		else
			r->wanted = false;
	}
}
