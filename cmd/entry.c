/*
 * The entry daemon: carries events from the sockets to the core and its
 * actions back.  No decision is taken here.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../proto/proto.h"
#include "../trans/trans.h"
#include "cmd.h"
#include "entry.h"

#define TICK_MS	       20
#define BODY_MAX_BYTES (4 * 1024 * 1024)

void
entry_input(entry_t *e, const ts_ev_t *ev)
{
	ts_core_input(e->core, ev, clock_now(&e->clock));
}

void
entry_bad_input(entry_t *e, int event, const char *from, const char *why)
{
	ts_core_counter_inc(e->core, TS_C_BAD_INPUT);
	log_event(event, "from=%s why=\"%s\"", from, why);
}

/*
 * Requests.  A call keeps the caller's request, or a peer's, with its answer
 * until the core has ended it.
 */
static void
call_free(void *p)
{
	call_t *call = p;

	g_free(call->method);
	g_free(call->path);
	g_free(call->headers);
	g_free(call->answer_headers);
	g_byte_array_unref(call->body);
	if (call->answer != NULL)
		g_byte_array_unref(call->answer);
	g_free(call);
}

static call_t *
call_new(entry_t *e)
{
	call_t *call = g_new0(call_t, 1);

	call->id = ++e->next_req;
	g_hash_table_insert(e->calls, &call->id, call);
	return call;
}

static call_t *
call_find(entry_t *e, uint64_t id)
{
	return g_hash_table_lookup(e->calls, &id);
}

static int32_t
header_int(const server_req_t *r, const char *name)
{
	g_autofree char *s = server_header(r, name);
	int64_t n = 0;

	if (s != NULL)
		g_ascii_string_to_signed(s, 10, 1, 600000, &n, NULL);
	return (int32_t)n;
}

/* The caller's bearer token, hashed; "" when there is none. */
static void
bearer_hash(const server_req_t *r, char *hex65)
{
	g_autofree char *s = server_header(r, "authorization");

	hex65[0] = '\0';
	if (s != NULL && g_ascii_strncasecmp(s, "bearer ", 7) == 0)
		token_hash(s + 7, hex65);
}

static void
on_request(void *ctx, server_req_t *r)
{
	entry_t *e = ctx;
	call_t *call = call_new(e);
	g_autofree char *key = server_header(r, "idempotency-key");
	ts_ev_t ev = { .kind = TS_EV_REQUEST };
	char token[65];

	call->caller = r;
	call->method = g_strdup(r->method);
	call->path = g_strdup(r->path);
	call->headers = server_forward_headers(r);
	call->body = g_byte_array_new();
	g_byte_array_append(
	    call->body, (const uint8_t *)r->body, (guint)r->body_bytes);
	bearer_hash(r, token);
	ev.u.request.id = call->id;
	ev.u.request.token_sha256 = token;
	ev.u.request.path = call->path;
	ev.u.request.idem_key = key;
	ev.u.request.left_ms = header_int(r, "x-deadline-ms");
	entry_input(e, &ev);
}

static void
keep_answer(call_t *call, int32_t status, const char *headers,
    const uint8_t *body, size_t n)
{
	call->status = status;
	g_free(call->answer_headers);
	call->answer_headers = g_strdup(headers);
	if (call->answer != NULL)
		g_byte_array_unref(call->answer);
	call->answer = g_byte_array_new();
	g_byte_array_append(call->answer, body, (guint)n);
}

static void
on_backend(void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a)
{
	entry_t *e = ctx;
	call_t *call = call_find(e, req);
	ts_ev_t ev = { .kind = TS_EV_ATTEMPT_END };

	if (call != NULL && a->outcome == TS_OUTCOME_ANSWERED)
		keep_answer(
		    call, a->status, a->headers, a->body, a->body_bytes);
	ev.u.attempt_end.req = req;
	ev.u.attempt_end.attempt = attempt;
	ev.u.attempt_end.outcome = a->outcome;
	ev.u.attempt_end.status = a->status;
	entry_input(e, &ev);
}

static void
act_answer(entry_t *e, const ts_act_t *a)
{
	call_t *call = call_find(e, a->u.answer.req);

	if (call == NULL)
		return;
	server_reply(call->caller, call->status, call->answer_headers,
	    call->answer->data, call->answer->len);
	g_hash_table_remove(e->calls, &call->id);
}

static const char *
outcome_name(ts_outcome_t o)
{
	static const char *const names[] = { "answered", "not-run", "unknown" };

	return names[o];
}

static void
act_refuse(entry_t *e, const ts_act_t *a)
{
	call_t *call = call_find(e, a->u.refuse.req);
	g_autofree char *headers = NULL;
	g_autofree char *body = NULL;
	g_autofree char *retry = a->u.refuse.retry_after_ms == 0 ?
	    g_strdup("") :
	    g_strdup_printf("retry-after: %d\r\n",
		(a->u.refuse.retry_after_ms + 999) / 1000);

	if (call == NULL)
		return;
	if (call->caller != NULL) {
		headers = g_strdup_printf("content-type: application/json\r\n"
					  "x-outcome: %s\r\n%s",
		    outcome_name(a->u.refuse.outcome), retry);
		body = g_strdup_printf("{\"error\":\"%s\",\"outcome\":\"%s\","
				       "\"retry_after_ms\":%d}\n",
		    ts_counter_name(a->u.refuse.reason),
		    outcome_name(a->u.refuse.outcome),
		    a->u.refuse.retry_after_ms);
		server_reply(call->caller, a->u.refuse.status, headers, body,
		    strlen(body));
	}
	g_hash_table_remove(e->calls, &call->id);
}

static void
act_send(entry_t *e, const ts_act_t *a)
{
	call_t *call = call_find(e, a->u.send.req);
	backend_call_t b;

	if (call == NULL)
		return;
	b.ip = a->u.send.ip;
	b.port = a->u.send.port;
	b.max_conns = a->u.send.conns;
	b.method = call->method;
	b.path = call->path;
	b.headers = call->headers;
	b.body = call->body->data;
	b.body_bytes = call->body->len;
	b.timeout_ms = a->u.send.left_ms;
	backends_send(e->backends, a->u.send.req, a->u.send.attempt, &b);
}

/*
 * Peers.
 */
static void
on_peer_state(
    void *ctx, const char *peer, ts_peer_state_t state, int64_t incarnation)
{
	ts_ev_t ev = { .kind = TS_EV_PEER };

	ev.u.peer.name = peer;
	ev.u.peer.state = state;
	ev.u.peer.incarnation = incarnation;
	entry_input(ctx, &ev);
}

static void
on_peer_message(void *ctx, const char *peer, const Ts__Envelope *env)
{
	entry_t *e = ctx;
	g_autoptr(GArray) rooms =
	    g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	g_autoptr(GError) err = NULL;
	ts_ev_t ev = { .kind = TS_EV_MSG };
	call_t *call;
	ts_msg_t m;
	msg_payload_t p;

	if (!msg_unpack(env, &m, &p, rooms, &err)) {
		entry_bad_input(e, EVT_BAD_PEER, peer, err->message);
		return;
	}
	ev.u.msg.from = peer;
	ev.u.msg.msg = &m;
	if (m.kind == TS_MSG_FORWARD) {
		call = call_new(e);
		call->method = g_strdup(p.method);
		call->path = g_strdup(p.path);
		call->headers = g_strdup(p.headers);
		call->body = g_byte_array_new();
		g_byte_array_append(call->body, p.body, (guint)p.body_bytes);
		ev.u.msg.req = call->id;
	} else if (m.kind == TS_MSG_REPLY && m.outcome == TS_OUTCOME_ANSWERED) {
		call = call_find(e, m.req);
		if (call != NULL)
			keep_answer(
			    call, p.status, p.headers, p.body, p.body_bytes);
	}
	entry_input(e, &ev);
}

static void
on_peer_bad(void *ctx, const char *why)
{
	entry_bad_input(ctx, EVT_BAD_PEER, "peer", why);
}

static void
act_msg(entry_t *e, const ts_act_t *a)
{
	const ts_msg_t *m = a->u.msg.msg;
	call_t *call = call_find(e, a->u.msg.req);
	msg_payload_t p = { 0 };

	if (m->kind == TS_MSG_FORWARD) {
		if (call == NULL)
			return;
		p.method = call->method;
		p.path = call->path;
		p.headers = call->headers;
		p.body = call->body->data;
		p.body_bytes = call->body->len;
	} else if (m->kind == TS_MSG_REPLY && call != NULL &&
	    call->answer != NULL) {
		p.status = call->status;
		p.headers = call->answer_headers;
		p.body = call->answer->data;
		p.body_bytes = call->answer->len;
	}
	peers_send(e->peers, a->u.msg.to, msg_pack(m, &p));
	/* The answer of a forwarded request is its end here. */
	if (m->kind == TS_MSG_REPLY && m->outcome == TS_OUTCOME_ANSWERED)
		g_hash_table_remove(e->calls, &a->u.msg.req);
}

static void
act_event(const ts_act_t *a)
{
	log_event(a->u.log.number, "subject=%s detail=\"%s\" value=%" PRId64,
	    a->u.log.subject, a->u.log.detail, a->u.log.value);
}

static void
emit(void *ctx, const ts_act_t *a)
{
	entry_t *e = ctx;

	switch (a->kind) {
	case TS_ACT_ANSWER:
		act_answer(e, a);
		break;
	case TS_ACT_REFUSE:
		act_refuse(e, a);
		break;
	case TS_ACT_SEND_REQUEST:
		act_send(e, a);
		break;
	case TS_ACT_SEND_MSG:
		act_msg(e, a);
		break;
	case TS_ACT_READ:
		platform_read(e, a);
		break;
	case TS_ACT_TXN:
		platform_txn(e, a);
		break;
	case TS_ACT_SYNC:
		platform_sync(e, a);
		break;
	case TS_ACT_JOB_REPLY:
		operator_job_reply(e, a);
		break;
	case TS_ACT_LOG:
		act_event(a);
		break;
	case TS_ACT_EXIT:
		e->leaving = true;
		break;
	}
}

static void
on_tick(uv_timer_t *t)
{
	entry_t *e = t->data;
	ts_ev_t ev = { .kind = TS_EV_TICK };
	int64_t now = clock_now(&e->clock);

	platform_list(e, now);
	entry_input(e, &ev);
	/* Answers already handed over are flushed before the end. */
	if (e->leaving && e->left_ms == 0) {
		server_stop(e->callers);
		e->left_ms = now;
	}
	/* A request on a kept connection may still have come in between. */
	if (e->left_ms != 0 && g_hash_table_size(e->calls) == 0 &&
	    (now - e->left_ms > 1000 || server_connections(e->callers) == 0))
		uv_stop(e->loop);
}

static void
on_signal(uv_signal_t *s, int number)
{
	ts_ev_t ev = { .kind = TS_EV_STOP };

	(void)number;
	entry_input(s->data, &ev);
}

static bool
listen_all(entry_t *e, const char *ip, int32_t port, int32_t operator_port,
    int32_t peer_port, const char *key)
{
	server_opts_t so = { e->loop, ip, port, BODY_MAX_BYTES, on_request, e };
	server_opts_t oo = { e->loop, ip, operator_port, BODY_MAX_BYTES,
		operator_request, e };
	peers_opts_t po = { 0 };
	g_autoptr(GError) err = NULL;

	po.loop = e->loop;
	po.name = e->name;
	po.ip = ip;
	po.port = peer_port;
	po.incarnation = e->incarnation;
	po.key = key;
	po.on_state = on_peer_state;
	po.on_message = on_peer_message;
	po.on_protocol_error = on_peer_bad;
	po.ctx = e;
	if ((e->callers = server_new(&so, &err)) == NULL ||
	    (e->operators = server_new(&oo, &err)) == NULL ||
	    (e->peers = peers_new(&po, &err)) == NULL) {
		fprintf(stderr, "tanagerspool: %s\n", err->message);
		return false;
	}
	return true;
}

static void
open_entry(entry_t *e)
{
	signal(SIGPIPE, SIG_IGN);
	e->loop = uv_default_loop();
	e->clock = clock_system(e->loop);
	e->incarnation = clock_now(&e->clock);
	e->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_free);
	e->agents =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	e->client = client_new(e->loop);
	e->backends = backends_new(e->loop, on_backend, e);
}

static void
start_loop(entry_t *e)
{
	uv_timer_init(e->loop, &e->tick);
	e->tick.data = e;
	uv_timer_start(&e->tick, on_tick, 0, TICK_MS);
	uv_signal_init(e->loop, &e->term);
	uv_signal_init(e->loop, &e->intr);
	e->term.data = e->intr.data = e;
	uv_signal_start(&e->term, on_signal, SIGTERM);
	uv_signal_start(&e->intr, on_signal, SIGINT);
}

int
entry_main(int argc, char **argv)
{
	entry_t e = { 0 };
	ts_core_opts_t o = { 0 };
	char *zone, *ip, *key, *level;
	int32_t port, operator_port, peer_port;
	const setting_t set[] = {
		{ "name", SET_TEXT, &e.name, NULL, 0, 0, "NAME",
		    "name of this VM, as in the platform's list", false },
		{ "zone", SET_TEXT, &zone, NULL, 0, 0, "ZONE",
		    "data centre of this VM", false },
		{ "ip", SET_TEXT, &ip, NULL, 0, 0, "IP", "address to listen on",
		    false },
		{ "port", SET_INT, &port, "8000", 1, 65535, "N",
		    "port for callers", false },
		{ "operator-port", SET_INT, &operator_port, "8001", 1, 65535,
		    "N", "port for operators, health and metrics", false },
		{ "peer-port", SET_INT, &peer_port, "8002", 1, 65535, "N",
		    "port for other entries", false },
		{ "platform", SET_TEXT, &e.platform, NULL, 0, 0, "URL",
		    "address of the platform", false },
		{ "platform-token", SET_TEXT, &e.platform_token, NULL, 0, 0,
		    "TOKEN", "token for the platform and its workers", true },
		{ "peer-key", SET_TEXT, &key, NULL, 0, 0, "KEY",
		    "key shared by all entries", false },
		{ "operator-token", SET_TEXT, &e.operator_token, NULL, 0, 0,
		    "TOKEN", "token operators must show", false },
		{ "log-level", SET_TEXT, &level, "INFO", 0, 0, "LEVEL",
		    "DEBUG, INFO, WARN or ERROR", false },
		{ "conf-poll-ms", SET_INT, &o.conf_poll_ms, "500", 50, 60000,
		    "MS", "between reads of the tables", false },
		{ "conf-stale-ms", SET_INT, &o.conf_stale_ms, "2500", 200,
		    60000, "MS",
		    "age of the tables beyond which no task "
		    "starts",
		    false },
		{ "sync-ms", SET_INT, &o.sync_ms, "1000", 50, 60000, "MS",
		    "between syncs with each worker", false },
		{ "digest-ms", SET_INT, &o.digest_ms, "200", 20, 60000, "MS",
		    "between digests to each peer", false },
		{ "lease-ms", SET_INT, &o.lease_ms, "90000", 1000, 3600000,
		    "MS", "lease of a batch task", false },
		{ "drain-ms", SET_INT, &o.drain_ms, "20000", 100, 600000, "MS",
		    "longest graceful stop", false },
		{ NULL, 0, NULL, NULL, 0, 0, NULL, NULL, false }
	};
	GStrv rest;

	if (!settings_parse(set, "",
		"Serves as one entry until SIGTERM, "
		"which stops it gracefully.",
		&argc, &argv, &rest))
		return EXIT_USAGE;
	if (!log_open(level)) {
		fprintf(stderr,
		    "tanagerspool: --log-level: '%s' is not one "
		    "of DEBUG, INFO, WARN, ERROR\n",
		    level);
		return EXIT_USAGE;
	}
	open_entry(&e);
	o.name = e.name;
	o.zone = zone;
	o.incarnation = e.incarnation;
	o.seed = (uint32_t)uv_hrtime();
	o.emit = emit;
	o.ctx = &e;
	e.core = ts_core_new(&o);
	if (!listen_all(&e, ip, port, operator_port, peer_port, key))
		return EXIT_FAILED;
	start_loop(&e);
	log_event(EVT_START,
	    "name=%s zone=%s incarnation=%" PRId64 " version=%s", e.name, zone,
	    e.incarnation, TS_VERSION);
	uv_run(e.loop, UV_RUN_DEFAULT);
	log_event(EVT_EXIT, "name=%s", e.name);
	return EXIT_OK;
}
