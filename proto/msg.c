/*
 * Messages between entries to and from protobuf.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "peer.pb-c.h"
#include "tanagerspool.h"
#include "proto.h"

static Ts__Room **
pack_rooms(const ts_capacity_t *rooms, size_t n)
{
	Ts__Room **v = g_new(Ts__Room *, n + 1);

	for (size_t i = 0; i < n; i++) {
		v[i] = g_new(Ts__Room, 1);
		ts__room__init(v[i]);
		v[i]->name = (char *)rooms[i].name;
		v[i]->zone = (char *)rooms[i].zone;
		v[i]->free = rooms[i].free;
		v[i]->queued = rooms[i].queued;
	}
	return v;
}

static void
free_rooms(Ts__Room **v, size_t n)
{
	for (size_t i = 0; i < n; i++)
		g_free(v[i]);
	g_free(v);
}

static GByteArray *
pack_digest(const ts_msg_t *m)
{
	Ts__Envelope env = TS__ENVELOPE__INIT;
	Ts__Digest d = TS__DIGEST__INIT;
	GByteArray *b;

	d.conf_version = m->conf_version;
	d.draining = m->draining;
	d.n_pools = m->npools;
	d.pools = pack_rooms(m->pools, m->npools);
	d.n_groups = m->ngroups;
	d.groups = pack_rooms(m->groups, m->ngroups);
	d.n_teams = m->nteams;
	d.teams = pack_rooms(m->teams, m->nteams);
	env.kind_case = TS__ENVELOPE__KIND_DIGEST;
	env.digest = &d;
	b = frame_pack(&env);
	free_rooms(d.pools, m->npools);
	free_rooms(d.groups, m->ngroups);
	free_rooms(d.teams, m->nteams);
	return b;
}

static GByteArray *
pack_forward(const ts_msg_t *m, const msg_payload_t *p)
{
	Ts__Envelope env = TS__ENVELOPE__INIT;
	Ts__Forward f = TS__FORWARD__INIT;

	f.req = m->req;
	f.pool = (char *)m->pool;
	f.left_ms = m->left_ms;
	f.idempotent = m->idempotent;
	f.method = (char *)p->method;
	f.path = (char *)p->path;
	f.headers = (char *)p->headers;
	f.body.data = (uint8_t *)p->body;
	f.body.len = p->body_bytes;
	env.kind_case = TS__ENVELOPE__KIND_FORWARD;
	env.forward = &f;
	return frame_pack(&env);
}

static GByteArray *
pack_reply(const ts_msg_t *m, const msg_payload_t *p)
{
	Ts__Envelope env = TS__ENVELOPE__INIT;
	Ts__Reply r = TS__REPLY__INIT;

	r.req = m->req;
	r.outcome = (int32_t)m->outcome;
	r.free = m->free;
	if (p != NULL) {
		r.status = p->status;
		r.headers = (char *)p->headers;
		r.body.data = (uint8_t *)p->body;
		r.body.len = p->body_bytes;
	}
	env.kind_case = TS__ENVELOPE__KIND_REPLY;
	env.reply = &r;
	return frame_pack(&env);
}

static GByteArray *
pack_key(const ts_msg_t *m)
{
	Ts__Envelope env = TS__ENVELOPE__INIT;
	Ts__Key k = TS__KEY__INIT;

	k.key = (char *)m->key;
	if (m->kind == TS_MSG_JOB_CHANGED) {
		env.kind_case = TS__ENVELOPE__KIND_JOB;
		env.job = &k;
	} else {
		env.kind_case = TS__ENVELOPE__KIND_RELEASED;
		env.released = &k;
	}
	return frame_pack(&env);
}

static GByteArray *
pack_conf(const ts_msg_t *m)
{
	Ts__Envelope env = TS__ENVELOPE__INIT;
	Ts__Conf f = TS__CONF__INIT;

	f.version = m->conf_version;
	f.routes = (char *)m->routes;
	f.pools = (char *)m->pools_text;
	env.kind_case = TS__ENVELOPE__KIND_CONF;
	env.conf = &f;
	return frame_pack(&env);
}

GByteArray *
msg_pack(const ts_msg_t *m, const msg_payload_t *p)
{
	switch (m->kind) {
	case TS_MSG_DIGEST:
		return pack_digest(m);
	case TS_MSG_FORWARD:
		return pack_forward(m, p);
	case TS_MSG_REPLY:
		return pack_reply(m, p);
	case TS_MSG_JOB_CHANGED:
	case TS_MSG_GROUP_RELEASED:
		return pack_key(m);
	case TS_MSG_CONF:
		return pack_conf(m);
	}
	return NULL;
}

static void
take_rooms(GArray *into, Ts__Room **v, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		ts_capacity_t r = { v[i]->name, v[i]->zone, v[i]->free,
			v[i]->queued };

		g_array_append_val(into, r);
	}
}

static void
unpack_digest(const Ts__Digest *d, ts_msg_t *m, GArray *rooms)
{
	m->kind = TS_MSG_DIGEST;
	m->conf_version = d->conf_version;
	m->draining = d->draining;
	take_rooms(rooms, d->pools, d->n_pools);
	take_rooms(rooms, d->groups, d->n_groups);
	take_rooms(rooms, d->teams, d->n_teams);
	m->pools = (ts_capacity_t *)rooms->data;
	m->npools = d->n_pools;
	m->groups = m->pools + d->n_pools;
	m->ngroups = d->n_groups;
	m->teams = m->groups + d->n_groups;
	m->nteams = d->n_teams;
}

static bool
unpack_forward(
    const Ts__Forward *f, ts_msg_t *m, msg_payload_t *p, GError **err)
{
	if (f->left_ms <= 0 || f->path[0] != '/' || f->method[0] == '\0' ||
	    strpbrk(f->method, " \r\n") || strpbrk(f->path, " \r\n")) {
		g_set_error(err, PROTO_ERROR, PROTO_ERROR_FRAME, "bad forward");
		return false;
	}
	m->kind = TS_MSG_FORWARD;
	m->req = f->req;
	m->pool = f->pool;
	m->left_ms = f->left_ms;
	m->idempotent = f->idempotent;
	p->method = f->method;
	p->path = f->path;
	p->headers = f->headers;
	p->body = f->body.data;
	p->body_bytes = f->body.len;
	return true;
}

static bool
unpack_reply(const Ts__Reply *r, ts_msg_t *m, msg_payload_t *p, GError **err)
{
	if (r->outcome < TS_OUTCOME_ANSWERED ||
	    r->outcome > TS_OUTCOME_UNKNOWN ||
	    (r->outcome == TS_OUTCOME_ANSWERED &&
		(r->status < 200 || r->status > 599))) {
		g_set_error(err, PROTO_ERROR, PROTO_ERROR_FRAME, "bad reply");
		return false;
	}
	m->kind = TS_MSG_REPLY;
	m->req = r->req;
	m->outcome = (ts_outcome_t)r->outcome;
	m->free = r->free;
	p->status = r->status;
	p->headers = r->headers;
	p->body = r->body.data;
	p->body_bytes = r->body.len;
	return true;
}

bool
msg_unpack(const Ts__Envelope *env, ts_msg_t *m, msg_payload_t *p,
    GArray *rooms, GError **err)
{
	memset(m, 0, sizeof(*m));
	memset(p, 0, sizeof(*p));
	switch (env->kind_case) {
	case TS__ENVELOPE__KIND_DIGEST:
		unpack_digest(env->digest, m, rooms);
		return true;
	case TS__ENVELOPE__KIND_FORWARD:
		return unpack_forward(env->forward, m, p, err);
	case TS__ENVELOPE__KIND_REPLY:
		return unpack_reply(env->reply, m, p, err);
	case TS__ENVELOPE__KIND_JOB:
		m->kind = TS_MSG_JOB_CHANGED;
		m->key = env->job->key;
		return true;
	case TS__ENVELOPE__KIND_RELEASED:
		m->kind = TS_MSG_GROUP_RELEASED;
		m->key = env->released->key;
		return true;
	case TS__ENVELOPE__KIND_CONF:
		m->kind = TS_MSG_CONF;
		m->conf_version = env->conf->version;
		m->routes = env->conf->routes;
		m->pools_text = env->conf->pools;
		return true;
	default:
		g_set_error(err, PROTO_ERROR, PROTO_ERROR_FRAME,
		    "message of an unknown kind");
		return false;
	}
}
