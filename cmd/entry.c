/*
 * The entry daemon: turns input from callers, peers, signals and the timer into
 * events of the core, and carries out the actions that the core returns.  All
 * decisions are the core's.
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

#define TICK_INTERVAL_MS 20
#define BODY_MAX_BYTES	 (4 * 1024 * 1024)
#define DEADLINE_MAX_MS	 600000
/* Kept for a request: its body, and it in a call to a backend server or a peer. */
#define KEPT_PER_BODY_BYTE 2

void
entry_handle_event(entry_t *e, const ts_ev_t *ev)
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
 * Requests.
 */
static void
request_free(void *p)
{
	request_t *request = p;

	g_free(request->method);
	g_free(request->path);
	g_free(request->headers);
	g_free(request->answer_headers);
	g_byte_array_unref(request->body);
	if (request->answer != NULL)
		g_byte_array_unref(request->answer);
	g_free(request);
}

static request_t *
request_new(entry_t *e)
{
	request_t *request = g_new0(request_t, 1);

	request->id = ++e->last_id;
	g_hash_table_insert(e->requests, &request->id, request);
	return request;
}

static request_t *
request_find(entry_t *e, uint64_t id)
{
	return g_hash_table_lookup(e->requests, &id);
}

/* The milliseconds in a header; 0 if there are none or too many. */
static int32_t
header_ms(const server_req_t *r, const char *name)
{
	g_autofree char *s = server_header(r, name);
	int64_t n = 0;

	if (s != NULL)
		g_ascii_string_to_signed(s, 10, 1, DEADLINE_MAX_MS, &n, NULL);
	return (int32_t)n;
}

/* The hash of the caller's bearer token, or "" if there is none. */
static void
bearer_token_hash(const server_req_t *r, char *hash)
{
	g_autofree char *s = server_header(r, "authorization");

	hash[0] = '\0';
	if (s != NULL && g_ascii_strncasecmp(s, "bearer ", 7) == 0)
		token_hash(s + 7, hash);
}

/* Answers a request that can't wait, as callers hold too much. */
static void
refuse_waiting(server_req_t *r)
{
	static const char body[] = "{\"error\":\"no_room\",\"outcome\":"
				   "\"not-run\",\"retry_after_ms\":1000}\n";

	server_reply(r, 503,
	    "content-type: application/json\r\nx-outcome: not-run\r\n"
	    "retry-after: 1\r\n",
	    body, sizeof(body) - 1);
}

static void
on_request(void *ctx, server_req_t *r)
{
	entry_t *e = ctx;
	request_t *request;
	g_autofree char *key = server_header(r, "idempotency-key");
	ts_ev_t ev = { .kind = TS_EV_REQUEST };
	char hash[TOKEN_HASH_SIZE];

	if (!server_wait(r, KEPT_PER_BODY_BYTE * r->body_bytes)) {
		refuse_waiting(r);
		return;
	}
	request = request_new(e);
	request->caller = r;
	request->method = g_strdup(r->method);
	request->path = g_strdup(r->path);
	request->headers = server_forward_headers(r);
	request->body = g_byte_array_new();
	g_byte_array_append(
	    request->body, (const uint8_t *)r->body, (guint)r->body_bytes);
	bearer_token_hash(r, hash);
	ev.u.request.id = request->id;
	ev.u.request.token_sha256 = hash;
	ev.u.request.path = request->path;
	ev.u.request.idem_key = key;
	ev.u.request.left_ms = header_ms(r, "x-deadline-ms");
	entry_handle_event(e, &ev);
}

static void
set_answer(request_t *request, int32_t status, const char *headers,
    const uint8_t *body, size_t n)
{
	request->status = status;
	g_free(request->answer_headers);
	request->answer_headers = g_strdup(headers);
	if (request->answer != NULL)
		g_byte_array_unref(request->answer);
	request->answer = g_byte_array_new();
	g_byte_array_append(request->answer, body, (guint)n);
}

static void
on_backend_answer(
    void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a)
{
	entry_t *e = ctx;
	request_t *request = request_find(e, req);
	ts_ev_t ev = { .kind = TS_EV_ATTEMPT_END };

	if (request != NULL && a->outcome == TS_OUTCOME_ANSWERED)
		set_answer(
		    request, a->status, a->headers, a->body, a->body_bytes);
	ev.u.attempt_end.req = req;
	ev.u.attempt_end.attempt = attempt;
	ev.u.attempt_end.outcome = a->outcome;
	ev.u.attempt_end.status = a->status;
	entry_handle_event(e, &ev);
}

/* Passes the backend server's answer on to the caller. */
static void
act_answer(entry_t *e, const ts_act_t *a)
{
	request_t *request = request_find(e, a->u.answer.req);

	if (request == NULL)
		return;
	server_reply(request->caller, request->status, request->answer_headers,
	    request->answer->data, request->answer->len);
	g_hash_table_remove(e->requests, &request->id);
}

static const char *
outcome_name(ts_outcome_t o)
{
	static const char *const names[] = { "answered", "not-run", "unknown" };

	return names[o];
}

/*
 * Ends a request without a backend server's answer.  To a peer that forwarded
 * the request, the core sends the outcome by a separate action, a message.
 */
static void
act_refuse(entry_t *e, const ts_act_t *a)
{
	request_t *request = request_find(e, a->u.refuse.req);
	g_autofree char *headers = NULL;
	g_autofree char *body = NULL;
	g_autofree char *retry = a->u.refuse.retry_after_ms == 0 ?
	    g_strdup("") :
	    g_strdup_printf("retry-after: %d\r\n",
		(a->u.refuse.retry_after_ms + 999) / 1000);

	if (request == NULL)
		return;
	if (request->caller != NULL) {
		headers = g_strdup_printf("content-type: application/json\r\n"
					  "x-outcome: %s\r\n%s",
		    outcome_name(a->u.refuse.outcome), retry);
		body = g_strdup_printf("{\"error\":\"%s\",\"outcome\":\"%s\","
				       "\"retry_after_ms\":%d}\n",
		    ts_counter_name(a->u.refuse.reason),
		    outcome_name(a->u.refuse.outcome),
		    a->u.refuse.retry_after_ms);
		server_reply(request->caller, a->u.refuse.status, headers, body,
		    strlen(body));
	}
	g_hash_table_remove(e->requests, &request->id);
}

static void
act_send_request(entry_t *e, const ts_act_t *a)
{
	request_t *request = request_find(e, a->u.send.req);
	backend_call_t call = { 0 };

	if (request == NULL)
		return;
	call.ip = a->u.send.ip;
	call.port = a->u.send.port;
	call.max_conns = a->u.send.conns;
	call.method = request->method;
	call.path = request->path;
	call.headers = request->headers;
	call.body = request->body->data;
	call.body_bytes = request->body->len;
	call.timeout_ms = a->u.send.left_ms;
	backends_send(e->backends, a->u.send.req, a->u.send.attempt, &call);
}

/*
 * Messages to and from peers.
 */
static void
on_peer_state(
    void *ctx, const char *peer, ts_peer_state_t state, int64_t incarnation)
{
	ts_ev_t ev = { .kind = TS_EV_PEER };

	ev.u.peer.name = peer;
	ev.u.peer.state = state;
	ev.u.peer.incarnation = incarnation;
	entry_handle_event(ctx, &ev);
}

static void
on_peer_message(void *ctx, const char *peer, const Ts__Envelope *env)
{
	entry_t *e = ctx;
	g_autoptr(GArray) capacities =
	    g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	g_autoptr(GError) err = NULL;
	ts_ev_t ev = { .kind = TS_EV_MSG };
	request_t *request;
	ts_msg_t m;
	msg_payload_t p;

	if (!msg_unpack(env, &m, &p, capacities, &err)) {
		entry_bad_input(e, EVT_BAD_PEER, peer, err->message);
		return;
	}
	ev.u.msg.from = peer;
	ev.u.msg.msg = &m;
	if (m.kind == TS_MSG_FORWARD) {
		request = request_new(e);
		request->method = g_strdup(p.method);
		request->path = g_strdup(p.path);
		request->headers = g_strdup(p.headers);
		request->body = g_byte_array_new();
		g_byte_array_append(request->body, p.body, (guint)p.body_bytes);
		ev.u.msg.req = request->id;
	} else if (m.kind == TS_MSG_REPLY && m.outcome == TS_OUTCOME_ANSWERED) {
		request = request_find(e, m.req);
		if (request != NULL)
			set_answer(
			    request, p.status, p.headers, p.body, p.body_bytes);
	}
	entry_handle_event(e, &ev);
}

static void
on_peer_protocol_error(void *ctx, const char *why)
{
	entry_bad_input(ctx, EVT_BAD_PEER, "peer", why);
}

/* Sends a message to a peer, with the request or answer that belongs to it. */
static void
act_send_msg(entry_t *e, const ts_act_t *a)
{
	const ts_msg_t *m = a->u.msg.msg;
	request_t *request = request_find(e, a->u.msg.req);
	msg_payload_t p = { 0 };

	if (m->kind == TS_MSG_FORWARD) {
		if (request == NULL)
			return;
		p.method = request->method;
		p.path = request->path;
		p.headers = request->headers;
		p.body = request->body->data;
		p.body_bytes = request->body->len;
	} else if (m->kind == TS_MSG_REPLY && request != NULL &&
	    request->answer != NULL) {
		p.status = request->status;
		p.headers = request->answer_headers;
		p.body = request->answer->data;
		p.body_bytes = request->answer->len;
	}
	peers_send(e->peers, a->u.msg.to, msg_pack(m, &p));
	/* A forwarded request ends here once its answer is sent back. */
	if (m->kind == TS_MSG_REPLY && m->outcome == TS_OUTCOME_ANSWERED)
		g_hash_table_remove(e->requests, &a->u.msg.req);
}

static void
act_log(const ts_act_t *a)
{
	log_event(a->u.log.number, "subject=%s detail=\"%s\" value=%" PRId64,
	    a->u.log.subject, a->u.log.detail, a->u.log.value);
}

/* Carries out an action of the core. */
static void
on_action(void *ctx, const ts_act_t *a)
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
		act_send_request(e, a);
		break;
	case TS_ACT_SEND_MSG:
		act_send_msg(e, a);
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
		act_log(a);
		break;
	case TS_ACT_EXIT:
		e->exiting = true;
		break;
	}
}

static void
on_tick(uv_timer_t *t)
{
	entry_t *e = t->data;
	ts_ev_t ev = { .kind = TS_EV_TICK };
	int64_t now = clock_now(&e->clock);

	platform_poll_vms(e, now);
	callers_tick(e->callers, now);
	entry_handle_event(e, &ev);
	/*
	 * Before the loop stops, callers get up to a second to read their
	 * answers and close their connections.
	 */
	if (e->exiting && e->exiting_since_ms == 0) {
		server_stop(e->caller_server);
		e->exiting_since_ms = now;
	}
	/* A request may still have arrived on a persistent connection. */
	if (e->exiting_since_ms != 0 && g_hash_table_size(e->requests) == 0 &&
	    (now - e->exiting_since_ms > 1000 ||
		server_connections(e->caller_server) == 0))
		uv_stop(e->loop);
}

static void
on_signal(uv_signal_t *s, int number)
{
	ts_ev_t ev = { .kind = TS_EV_STOP };

	(void)number;
	entry_handle_event(s->data, &ev);
}

static bool
listen_all(entry_t *e, const char *ip, int32_t port, int32_t operator_port,
    int32_t peer_port, const char *key)
{
	budget_t *budget = callers_budget(e->callers);
	server_opts_t caller_opts = { e->loop, ip, port, BODY_MAX_BYTES,
		on_request, e, budget };
	server_opts_t operator_opts = { e->loop, ip, operator_port,
		BODY_MAX_BYTES, operator_request, e, budget };
	peers_opts_t peer_opts = { 0 };
	g_autoptr(GError) err = NULL;

	peer_opts.loop = e->loop;
	peer_opts.name = e->name;
	peer_opts.ip = ip;
	peer_opts.port = peer_port;
	peer_opts.incarnation = e->incarnation;
	peer_opts.key = key;
	peer_opts.on_state = on_peer_state;
	peer_opts.on_message = on_peer_message;
	peer_opts.on_protocol_error = on_peer_protocol_error;
	peer_opts.ctx = e;
	peer_opts.budget = budget;
	if ((e->caller_server = server_new(&caller_opts, &err)) == NULL ||
	    (e->operator_server = server_new(&operator_opts, &err)) == NULL ||
	    (e->peers = peers_new(&peer_opts, &err)) == NULL) {
		fprintf(stderr, "tanagerspool: %s\n", err->message);
		return false;
	}
	return true;
}

static void
entry_init(entry_t *e)
{
	signal(SIGPIPE, SIG_IGN);
	e->loop = uv_default_loop();
	e->clock = clock_system();
	e->incarnation = clock_now(&e->clock);
	e->requests = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, request_free);
	e->agent_urls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->job_requests =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	e->client = client_new(e->loop);
	e->backends = backends_new(e->loop, on_backend_answer, e);
}

static void
start_timer_and_signals(entry_t *e)
{
	uv_timer_init(e->loop, &e->tick_timer);
	e->tick_timer.data = e;
	uv_timer_start(&e->tick_timer, on_tick, 0, TICK_INTERVAL_MS);
	uv_signal_init(e->loop, &e->sigterm);
	uv_signal_init(e->loop, &e->sigint);
	e->sigterm.data = e->sigint.data = e;
	uv_signal_start(&e->sigterm, on_signal, SIGTERM);
	uv_signal_start(&e->sigint, on_signal, SIGINT);
}

int
entry_main(int argc, char **argv)
{
	entry_t e = { 0 };
	ts_core_opts_t core_opts = { 0 };
	char *zone, *ip, *key, *level;
	int32_t port, operator_port, peer_port, memory_mb, max_fds;
	const setting_t settings[] = {
		{ "name", SET_TEXT, &e.name, NULL, 0, 0, "NAME",
		    "name of this VM in the platform's list of VMs", false },
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
		{ "platform", SET_TEXT, &e.platform_url, NULL, 0, 0, "URL",
		    "base URL of the platform", false },
		{ "platform-token", SET_TEXT, &e.platform_token, NULL, 0, 0,
		    "TOKEN", "token for the platform and the worker agents",
		    true },
		{ "peer-key", SET_TEXT, &key, NULL, 0, 0, "KEY",
		    "key shared by all entries", false },
		{ "operator-token", SET_TEXT, &e.operator_token, NULL, 0, 0,
		    "TOKEN", "token that operators must send", false },
		{ "log-level", SET_TEXT, &level, "INFO", 0, 0, "LEVEL",
		    "least severe level to log: DEBUG, INFO, WARN or ERROR",
		    false },
		{ "conf-poll-ms", SET_INT, &core_opts.conf_poll_ms, "500", 50,
		    60000, "MS", "interval between reads of the tables",
		    false },
		{ "conf-stale-ms", SET_INT, &core_opts.conf_stale_ms, "2500",
		    200, 60000, "MS",
		    "time since the last read of the tables after which no "
		    "task starts",
		    false },
		{ "sync-ms", SET_INT, &core_opts.sync_ms, "1000", 50, 60000,
		    "MS", "interval between syncs with each worker", false },
		{ "digest-ms", SET_INT, &core_opts.digest_ms, "200", 20, 60000,
		    "MS", "interval between digests sent to each peer", false },
		{ "lease-ms", SET_INT, &core_opts.lease_ms, "90000", 1000,
		    3600000, "MS", "length of the lease of a batch task",
		    false },
		{ "drain-ms", SET_INT, &core_opts.drain_ms, "20000", 100,
		    600000, "MS", "longest time that a graceful stop may take",
		    false },
		CALLER_MEMORY_SETTING(&memory_mb), CALLER_FDS_SETTING(&max_fds),
		{ NULL, 0, NULL, NULL, 0, 0, NULL, NULL, false }
	};
	GStrv args;

	if (!settings_parse(settings, "",
		"Serves as an entry until SIGTERM or SIGINT, "
		"which stop it gracefully.",
		&argc, &argv, &args))
		return EXIT_USAGE;
	if (!log_open(level)) {
		fprintf(stderr,
		    "tanagerspool: --log-level: '%s' is not one "
		    "of DEBUG, INFO, WARN, ERROR\n",
		    level);
		return EXIT_USAGE;
	}
	e.callers = callers_new(e.name, memory_mb, max_fds);
	entry_init(&e);
	log_attach_loop(e.loop);
	core_opts.name = e.name;
	core_opts.zone = zone;
	core_opts.incarnation = e.incarnation;
	core_opts.seed = (uint32_t)uv_hrtime();
	core_opts.emit = on_action;
	core_opts.ctx = &e;
	e.core = ts_core_new(&core_opts);
	if (!listen_all(&e, ip, port, operator_port, peer_port, key))
		return EXIT_FAILED;
	start_timer_and_signals(&e);
	log_event(EVT_START,
	    "name=%s zone=%s incarnation=%" PRId64 " version=%s", e.name, zone,
	    e.incarnation, TS_VERSION);
	uv_run(e.loop, UV_RUN_DEFAULT);
	log_event(EVT_EXIT, "name=%s", e.name);
	log_flush();
	return EXIT_OK;
}
