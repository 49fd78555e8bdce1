/*
 * Requests of callers: admission, dispatch to a worker or a peer, retries and
 * refusals.  Each request ends exactly once, with one of three outcomes:
 * answered, not run, or unknown.  Uses pool.c to choose workers and peers.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define IDEM_PREFIX	      "idem/"
#define SUSPECT_MS	      500 /* after a failed connection; doubles */
#define SUSPECT_MAX_DOUBLINGS 6
#define RETRY_AFTER_MIN_MS    100 /* advised to callers, before jitter */
#define RETRY_AFTER_MAX_MS    10000
#define STORE_RETRY_AFTER_MS  2000
#define DEADLINE_CHECK_MS     100  /* between checks for overdue requests */
#define FORWARDS_MAX	      2	   /* peers tried; none forwards it further */
#define ANSWER_GRACE_MS	      200  /* wait for an answer past the deadline */
#define DRAIN_IDLE_MS	      1000 /* without new requests, before the exit */

/* Frees a request; for the hash table of requests. */
void
request_free(void *p)
{
	req_t *r = p;

	g_free(r->idem_key);
	g_free(r);
}

/* Forgets a request that has ended and frees it. */
static void
end_request(ts_core_t *c, req_t *r)
{
	pool_t *p = pool_get(c, r->pool);

	if (r->state == REQ_QUEUED)
		g_queue_remove(&p->queue, r);
	if (r->idem_key != NULL)
		g_hash_table_remove(c->open_idem_keys, r->idem_key);
	g_hash_table_remove(c->reqs, &r->id);
}

/*
 * The outcome of a request has been written.  A conflict means that a later
 * request with the key has written the row, so nothing is left to write.
 */
static void
idem_outcome_written(ts_core_t *c, update_t *u, update_result_t r)
{
	(void)c;
	(void)u;
	(void)r;
}

/*
 * Writes the outcome of a request to the row of its idempotency key: status is
 * an HTTP status or TS_IDEM_NOT_RUN.
 */
static void
record_idem_outcome(
    ts_core_t *c, const char *key, int64_t version, int32_t status)
{
	update_t *u = update_new(idem_outcome_written, NULL);
	ts_row_t *row = update_add_row(u, TS_ROW_IDEM, key, version, true);

	row->u.idem.status = status;
	row->u.idem.at_ms = c->now_ms;
	update_submit(c, u);
}

/* Sends the outcome of a forwarded request to the peer that it came from. */
static void
reply_to_peer(ts_core_t *c, const req_t *r, ts_outcome_t outcome)
{
	ts_msg_t m = { .kind = TS_MSG_REPLY };

	m.req = r->peer_req_id;
	m.outcome = outcome;
	m.free = pool_advertised_slots(c, pool_get(c, r->pool));
	member_send(c, r->from_peer, &m, r->id);
}

/*
 * Ends a request without an answer from a backend server, and sends the outcome
 * to its caller or to the peer that forwarded it; status is the HTTP
 * status.  The outcome becomes unknown if an earlier attempt may have run.
 */
static void
refuse(ts_core_t *c, req_t *r, ts_counter_t reason, ts_outcome_t outcome,
    int32_t status, int32_t retry_after_ms)
{
	ts_act_t a = { .kind = TS_ACT_REFUSE };

	COUNT(c, reason);
	if (outcome == TS_OUTCOME_NOT_RUN && r->may_have_run) {
		outcome = TS_OUTCOME_UNKNOWN;
		status = 504;
	}
	if (r->idem_key != NULL && r->idem_row_version > 0 &&
	    outcome == TS_OUTCOME_NOT_RUN)
		record_idem_outcome(
		    c, r->idem_key, r->idem_row_version, TS_IDEM_NOT_RUN);
	if (r->from_peer != NULL)
		reply_to_peer(c, r, outcome);
	/* If a peer forwarded it, this makes the program free its body. */
	a.u.refuse.req = r->id;
	a.u.refuse.reason = reason;
	a.u.refuse.outcome = outcome;
	a.u.refuse.status = status;
	a.u.refuse.retry_after_ms = retry_after_ms;
	c->opts.emit(c->opts.ctx, &a);
	end_request(c, r);
}

/*
 * After how long a refused caller should retry: two to four times the time that
 * the queue needs to drain, at random so that refused callers do not all come
 * back at once.
 */
static int32_t
advise_retry_ms(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *cfg = ts_conf_find_pool(c->conf, p->name);
	int64_t slots =
	    cfg == NULL ? 1 : MAX(1, (int64_t)p->workers->len * cfg->slots);
	int64_t ms = (g_queue_get_length(&p->queue) + slots) *
	    p->mean_service_us / slots / 1000;

	ms = CLAMP(2 * ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
	return (int32_t)ms + g_rand_int_range(c->rand, 0, (gint32)ms);
}

/* Refuses a request for which no slot is free in time. */
static void
refuse_full(ts_core_t *c, req_t *r)
{
	refuse(c, r, TS_C_REFUSE_FULL, TS_OUTCOME_NOT_RUN, 503,
	    advise_retry_ms(c, pool_get(c, r->pool)));
}

/* Sends a request to the pool's backend server on a worker with a free slot. */
static void
send_to_worker(ts_core_t *c, req_t *r, worker_t *w, const ts_pool_t *cfg)
{
	slot_use_t *s = worker_slot_use(c, w, r->pool);
	ts_act_t a = { .kind = TS_ACT_SEND_REQUEST };

	s->in_progress++;
	pool_get(c, r->pool)->free_slots--;
	w->group->requests_in_progress++;
	r->worker = w;
	r->state = REQ_SENT;
	r->attempt++;
	r->sent_ms = c->now_ms;
	a.u.send.req = r->id;
	a.u.send.attempt = r->attempt;
	a.u.send.worker = w->vm.name;
	a.u.send.ip = w->vm.ip;
	a.u.send.port = cfg->port;
	a.u.send.conns = cfg->conns;
	a.u.send.left_ms = (int32_t)MAX(r->deadline_ms - c->now_ms, 1);
	c->opts.emit(c->opts.ctx, &a);
}

/*
 * Forwards a request to a peer that advertised free slots, and counts one slot
 * there as taken until the peer's next digest.
 */
static void
forward_to_peer(ts_core_t *c, req_t *r, peer_t *p)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(p->free_slots, r->pool));
	ts_msg_t m = { .kind = TS_MSG_FORWARD };

	COUNT(c, TS_C_FORWARDED);
	g_hash_table_insert(
	    p->free_slots, (void *)r->pool, GINT_TO_POINTER(n - 1));
	r->state = REQ_FORWARDED;
	r->forwarded_to = p->name;
	m.req = r->id;
	m.pool = r->pool;
	m.left_ms = (int32_t)MAX(r->deadline_ms - c->now_ms, 1);
	m.idempotent = r->idempotent;
	member_send(c, p->name, &m, r->id);
}

/*
 * Whether a request that waits here is likely to get a slot within the pool's
 * queue_ms and to be answered before its deadline.
 */
static bool
worth_queueing(ts_core_t *c, const req_t *r, pool_t *p, const ts_pool_t *cfg)
{
	int64_t usable = 0, wait_ms;

	for (guint i = 0; i < p->workers->len; i++)
		usable += worker_accepts_work(c, p->workers->pdata[i]);
	if (usable == 0)
		return false;
	wait_ms = (g_queue_get_length(&p->queue) + 1) * p->mean_service_us /
	    (usable * cfg->slots) / 1000;
	return wait_ms <= cfg->queue_ms &&
	    wait_ms + 2 * p->mean_service_us / 1000 <
	    r->deadline_ms - c->now_ms;
}

/*
 * Finds a slot for a request: on a worker of ours, else at a peer, else in the
 * queue if the expected wait is short; otherwise refuses it.  A request that a
 * peer forwarded is only tried on workers of ours.  Called for new requests and
 * for retries.
 */
static void
dispatch(ts_core_t *c, req_t *r)
{
	const ts_pool_t *cfg = ts_conf_find_pool(c->conf, r->pool);
	pool_t *p = pool_get(c, r->pool);
	worker_t *w;
	peer_t *peer;

	if (cfg == NULL || cfg->kind != TS_POOL_SERVICE) {
		refuse(c, r, TS_C_REFUSE_ROUTE, TS_OUTCOME_NOT_RUN, 404, 0);
		return;
	}
	if (c->now_ms >= r->deadline_ms) {
		refuse(c, r, TS_C_REFUSE_DEADLINE, TS_OUTCOME_NOT_RUN, 503,
		    advise_retry_ms(c, p));
		return;
	}
	/* A retry may overtake queued requests, a new request may not. */
	w = g_queue_is_empty(&p->queue) || r->attempt > 0 ?
	    pool_choose_worker(c, p, cfg) :
	    NULL;
	if (w != NULL) {
		send_to_worker(c, r, w, cfg);
		return;
	}
	if (r->from_peer != NULL) {
		refuse_full(c, r);
		return;
	}
	if (r->forwards_refused < FORWARDS_MAX &&
	    (peer = pool_choose_peer(c, r->pool)) != NULL) {
		forward_to_peer(c, r, peer);
		return;
	}
	if (!worth_queueing(c, r, p, cfg)) {
		refuse_full(c, r);
		return;
	}
	r->state = REQ_QUEUED;
	g_queue_push_tail(&p->queue, r);
}

/*
 * Sends queued requests of all pools to workers with free slots, in order of
 * the pools' priority.  Called at each tick.
 */
static void
serve_queues(ts_core_t *c)
{
	for (int32_t prio = 0; prio <= 9; prio++) {
		for (guint i = 0; i < c->conf->pools->len; i++) {
			const ts_pool_t *cfg = c->conf->pools->pdata[i];
			pool_t *p;
			worker_t *w;

			if (cfg->priority != prio ||
			    cfg->kind != TS_POOL_SERVICE)
				continue;
			p = pool_get(c, cfg->name);
			while (!g_queue_is_empty(&p->queue) &&
			    (w = pool_choose_worker(c, p, cfg)) != NULL)
				send_to_worker(
				    c, g_queue_pop_head(&p->queue), w, cfg);
		}
	}
}

/*
 * Sends queued requests of one pool; called when one of its slots became free.
 */
static void
serve_queue(ts_core_t *c, const char *pool)
{
	const ts_pool_t *cfg = ts_conf_find_pool(c->conf, pool);
	pool_t *p = pool_get(c, pool);
	worker_t *w;

	while (cfg != NULL && !g_queue_is_empty(&p->queue) &&
	    (w = pool_choose_worker(c, p, cfg)) != NULL)
		send_to_worker(c, g_queue_pop_head(&p->queue), w, cfg);
}

/* Registers a request that must end within left_ms. */
static req_t *
req_new(ts_core_t *c, uint64_t id, const char *pool, int32_t left_ms)
{
	req_t *r = g_new0(req_t, 1);

	r->id = id;
	r->pool = g_intern_string(pool);
	r->deadline_ms = c->now_ms + left_ms;
	g_hash_table_insert(c->reqs, &r->id, r);
	return r;
}

/*
 * The row of an idempotency key has been written as pending, or another entry
 * has written it first.
 */
static void
idem_key_written(ts_core_t *c, update_t *u, update_result_t res)
{
	const char *key = g_array_index(u->rows, ts_txn_row_t, 0).row.key;
	req_t *r = g_hash_table_lookup(c->reqs, &u->tag);

	if (r == NULL) { /* refused meanwhile as not run: record that */
		if (res == UPDATE_OK)
			record_idem_outcome(
			    c, key, u->version, TS_IDEM_NOT_RUN);
		return;
	}
	if (res == UPDATE_CONFLICT) {
		refuse(c, r, TS_C_REFUSE_DUPLICATE, TS_OUTCOME_UNKNOWN, 409,
		    RETRY_AFTER_MIN_MS);
		return;
	}
	r->idem_row_version = u->version;
	dispatch(c, r);
}

/*
 * Writes the request's idempotency key as pending, before its first attempt.
 * The version is that of the row, 0 if there is none.
 */
static void
claim_idem_key(ts_core_t *c, req_t *r, int64_t version)
{
	update_t *u = update_new(idem_key_written, NULL);
	ts_row_t *row =
	    update_add_row(u, TS_ROW_IDEM, r->idem_key, version, true);

	u->tag = r->id;
	row->u.idem.status = TS_IDEM_PENDING;
	row->u.idem.at_ms = c->now_ms;
	update_submit(c, u);
}

/*
 * The row of a request's idempotency key has been read: claims the key if it is
 * new or its request did not run, else refuses the duplicate.
 */
static void
idem_row_read(ts_core_t *c, read_t *rd, bool ok, const ts_row_t *rows, size_t n)
{
	req_t *r = g_hash_table_lookup(c->reqs, &rd->tag);

	if (r == NULL)
		return;
	if (!ok) {
		refuse(c, r, TS_C_REFUSE_STORE, TS_OUTCOME_NOT_RUN, 503,
		    STORE_RETRY_AFTER_MS);
		return;
	}
	for (size_t i = 0; i < n; i++) {
		if (strcmp(rows[i].key, r->idem_key) != 0)
			continue;
		if (rows[i].u.idem.status == TS_IDEM_NOT_RUN)
			claim_idem_key(c, r, rows[i].version);
		else
			refuse(c, r, TS_C_REFUSE_DUPLICATE,
			    rows[i].u.idem.status > 0 ? TS_OUTCOME_ANSWERED :
							TS_OUTCOME_UNKNOWN,
			    409, 0);
		return;
	}
	claim_idem_key(c, r, 0);
}

/*
 * Begins a request with an idempotency key: refuses a duplicate of one that is
 * in progress here, else reads the key's row.
 */
static void
check_idem_key(ts_core_t *c, req_t *r, const char *caller, const char *key)
{
	g_autofree char *full =
	    g_strconcat(IDEM_PREFIX, caller, "/", key, NULL);

	if (strlen(full) >= TS_KEY_SIZE) {
		refuse(c, r, TS_C_BAD_INPUT, TS_OUTCOME_NOT_RUN, 400, 0);
		return;
	}
	if (g_hash_table_contains(c->open_idem_keys, full)) {
		refuse(c, r, TS_C_REFUSE_DUPLICATE, TS_OUTCOME_UNKNOWN, 409,
		    RETRY_AFTER_MIN_MS);
		return;
	}
	if (c->store_failing_since_ms != 0) {
		refuse(c, r, TS_C_REFUSE_STORE, TS_OUTCOME_NOT_RUN, 503,
		    STORE_RETRY_AFTER_MS);
		return;
	}
	r->state = REQ_CLAIMING_KEY;
	r->idem_key = g_strdup(full);
	g_hash_table_add(c->open_idem_keys, g_strdup(full));
	read_start(c, full, 0, idem_row_read, NULL)->tag = r->id;
}

/* A request of a caller has arrived: finds its route and dispatches it. */
void
request_handle_new(ts_core_t *c, const ts_ev_t *ev)
{
	const ts_route_t *rt;
	req_t *r = req_new(c, ev->u.request.id, "", 1);

	COUNT(c, TS_C_REQUESTS);
	c->last_req_ms = c->now_ms;
	if (c->conf == NULL) {
		refuse(c, r, TS_C_REFUSE_NOT_READY, TS_OUTCOME_NOT_RUN, 503,
		    STORE_RETRY_AFTER_MS);
		return;
	}
	rt = ts_conf_find_route(
	    c->conf, ev->u.request.token_sha256, ev->u.request.path);
	if (rt == NULL) {
		if (g_hash_table_contains(
			c->conf->token_index, ev->u.request.token_sha256))
			refuse(c, r, TS_C_REFUSE_ROUTE, TS_OUTCOME_NOT_RUN, 404,
			    0);
		else
			refuse(c, r, TS_C_REFUSE_CALLER, TS_OUTCOME_NOT_RUN,
			    401, 0);
		return;
	}
	r->pool = rt->pool;
	r->idempotent = rt->idempotent;
	r->deadline_ms = c->now_ms + rt->deadline_ms;
	if (ev->u.request.left_ms > 0 &&
	    ev->u.request.left_ms < rt->deadline_ms)
		r->deadline_ms = c->now_ms + ev->u.request.left_ms;
	pool_earn_retry(c, pool_get(c, r->pool));
	if (!r->idempotent && ev->u.request.idem_key != NULL)
		check_idem_key(c, r, rt->caller, ev->u.request.idem_key);
	else
		dispatch(c, r);
}

/* A peer that had no free slot has forwarded a request to us. */
void
request_handle_forward(ts_core_t *c, const ts_ev_t *ev)
{
	const ts_msg_t *m = ev->u.msg.msg;
	req_t *r = req_new(c, ev->u.msg.req, m->pool, m->left_ms);

	r->from_peer = g_intern_string(ev->u.msg.from);
	r->peer_req_id = m->req;
	r->idempotent = m->idempotent;
	if (c->conf == NULL)
		refuse(c, r, TS_C_REFUSE_NOT_READY, TS_OUTCOME_NOT_RUN, 503, 0);
	else
		dispatch(c, r);
}

/*
 * An attempt has ended without an answer.  Retries the request if it did not
 * run or is idempotent, its deadline has not passed and the pool's retry budget
 * allows; otherwise refuses it.  A forwarded request is retried by the peer it
 * came from.
 */
static void
retry_or_refuse(ts_core_t *c, req_t *r, ts_outcome_t outcome)
{
	bool may_retry = outcome == TS_OUTCOME_NOT_RUN || r->idempotent;
	ts_counter_t reason = outcome == TS_OUTCOME_NOT_RUN ?
	    TS_C_FAIL_NOT_RUN :
	    TS_C_FAIL_UNKNOWN;

	if (outcome == TS_OUTCOME_UNKNOWN)
		r->may_have_run = true;
	if (may_retry && r->from_peer == NULL && c->now_ms < r->deadline_ms) {
		if (pool_spend_retry(c, r->pool)) {
			COUNT(c,
			    outcome == TS_OUTCOME_NOT_RUN ?
				TS_C_RETRY_NOT_RUN :
				TS_C_RETRY_IDEMPOTENT);
			dispatch(c, r);
			return;
		}
		reason = TS_C_FAIL_BUDGET;
	}
	refuse(c, r, reason, outcome, outcome == TS_OUTCOME_NOT_RUN ? 503 : 504,
	    advise_retry_ms(c, pool_get(c, r->pool)));
}

/* Ends a request that a backend server has answered. */
static void
finish_answered(ts_core_t *c, req_t *r, int32_t attempt, int32_t status)
{
	ts_act_t a = { .kind = TS_ACT_ANSWER };

	COUNT(c, TS_C_ANSWERED);
	if (r->idem_key != NULL && r->idem_row_version > 0)
		record_idem_outcome(
		    c, r->idem_key, r->idem_row_version, MAX(status, 1));
	if (r->from_peer != NULL)
		reply_to_peer(c, r, TS_OUTCOME_ANSWERED);
	else {
		a.u.answer.req = r->id;
		a.u.answer.attempt = attempt;
		c->opts.emit(c->opts.ctx, &a);
	}
	end_request(c, r);
}

/*
 * Sends no requests to a worker for a while after a failed connection, longer
 * after each failure in a row.
 */
static void
suspect_worker(ts_core_t *c, worker_t *w)
{
	w->suspect_until_ms =
	    c->now_ms + ((int64_t)SUSPECT_MS << w->connect_failures);
	if (w->connect_failures < SUSPECT_MAX_DOUBLINGS)
		w->connect_failures++;
}

/*
 * Ends the use of a slot by a request whose attempt has ended.  If the outcome
 * is unknown the request may still run, so it counts as an orphan until the
 * worker reports otherwise.  If it did not run, the connection has failed.
 */
static void
release_slot(ts_core_t *c, req_t *r, ts_outcome_t outcome)
{
	worker_t *w = r->worker;
	slot_use_t *s;

	r->worker = NULL;
	if (w == NULL)
		return;
	w->group->requests_in_progress--;
	s = worker_slot_use(c, w, r->pool);
	s->in_progress--;
	if (outcome == TS_OUTCOME_ANSWERED)
		pool_get(c, r->pool)->free_slots++;
	switch (outcome) {
	case TS_OUTCOME_ANSWERED:
		w->connect_failures = 0;
		coloc_add_latency(c, w, s, (c->now_ms - r->sent_ms) * 1000);
		break;
	case TS_OUTCOME_UNKNOWN:
		s->orphans++;
		s->orphans_seq = w->sent_seq;
		break;
	case TS_OUTCOME_NOT_RUN:
		suspect_worker(c, w);
		break;
	}
}

/*
 * An attempt at a backend server has ended; a result of an earlier attempt is
 * ignored.
 */
void
request_handle_attempt_end(ts_core_t *c, const ts_ev_t *ev)
{
	req_t *r = g_hash_table_lookup(c->reqs, &ev->u.attempt_end.req);
	const char *pool;

	if (r == NULL || r->state != REQ_SENT ||
	    r->attempt != ev->u.attempt_end.attempt)
		return;
	pool = r->pool;
	release_slot(c, r, ev->u.attempt_end.outcome);
	if (ev->u.attempt_end.outcome == TS_OUTCOME_ANSWERED)
		finish_answered(
		    c, r, ev->u.attempt_end.attempt, ev->u.attempt_end.status);
	else
		retry_or_refuse(c, r, ev->u.attempt_end.outcome);
	serve_queue(c, pool);
}

/* A peer has reported the outcome of a request that we forwarded to it. */
void
request_handle_reply(ts_core_t *c, const ts_ev_t *ev)
{
	const ts_msg_t *m = ev->u.msg.msg;
	req_t *r = g_hash_table_lookup(c->reqs, &m->req);
	peer_t *p;

	if (r == NULL || r->state != REQ_FORWARDED ||
	    g_strcmp0(r->forwarded_to, ev->u.msg.from) != 0)
		return;
	p = member_get_peer(c, ev->u.msg.from);
	r->forwarded_to = NULL;
	/* The reply is newer than the peer's last digest. */
	g_hash_table_insert(p->free_slots, (void *)r->pool,
	    GINT_TO_POINTER((int)CLAMP(m->free, 0, G_MAXINT)));
	switch (m->outcome) {
	case TS_OUTCOME_ANSWERED:
		/* The reply lacks the status; 200 stands for any answer. */
		finish_answered(c, r, r->attempt, 200);
		break;
	case TS_OUTCOME_NOT_RUN:
		COUNT(c, TS_C_RETRY_PEER_FULL);
		r->forwards_refused++;
		dispatch(c, r);
		break;
	case TS_OUTCOME_UNKNOWN:
		retry_or_refuse(c, r, TS_OUTCOME_UNKNOWN);
		break;
	}
}

/* Calls end for each request that matches; end may remove it from the table. */
static void
end_matching(ts_core_t *c,
    bool (*match)(const ts_core_t *, const req_t *, const void *),
    const void *arg, void (*end)(ts_core_t *, req_t *))
{
	g_autoptr(GPtrArray) matching = g_ptr_array_new();
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->reqs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (match(c, v, arg))
			g_ptr_array_add(matching, v);
	for (guint i = 0; i < matching->len; i++)
		end(c, matching->pdata[i]);
}

static bool
is_forwarded_to(const ts_core_t *c, const req_t *r, const void *peer)
{
	(void)c;
	return r->state == REQ_FORWARDED && r->forwarded_to == peer;
}

/* The connection to the peer was lost, so the request may have run there. */
static void
handle_lost_forward(ts_core_t *c, req_t *r)
{
	r->forwarded_to = NULL;
	retry_or_refuse(c, r, TS_OUTCOME_UNKNOWN);
}

/*
 * The connection to a peer was lost: ends or retries the requests that we had
 * forwarded to it.
 */
void
request_handle_peer_down(ts_core_t *c, const char *peer)
{
	end_matching(c, is_forwarded_to, peer, handle_lost_forward);
}

/*
 * Whether a request has to be given up: one that is queued, if its deadline is
 * too near to be answered in time; one whose key is being claimed, at its
 * deadline or if the store does not answer; one sent or forwarded, if no
 * outcome has come some time after its deadline.
 */
static bool
is_overdue(const ts_core_t *c, const req_t *r, const void *arg)
{
	(void)arg;
	switch (r->state) {
	case REQ_QUEUED:
		return c->now_ms >= r->deadline_ms - ANSWER_GRACE_MS / 4;
	case REQ_CLAIMING_KEY:
		return c->now_ms >= r->deadline_ms ||
		    c->store_failing_since_ms != 0;
	case REQ_FORWARDED:
		return c->now_ms >= r->deadline_ms + ANSWER_GRACE_MS;
	case REQ_SENT: /* the transport should have ended it by then */
		return c->now_ms >= r->deadline_ms + 2 * ANSWER_GRACE_MS;
	}
	return false;
}

/* Gives up an overdue request. */
static void
expire(ts_core_t *c, req_t *r)
{
	pool_t *p = pool_get(c, r->pool);

	switch (r->state) {
	case REQ_QUEUED:
		refuse(c, r, TS_C_REFUSE_DEADLINE, TS_OUTCOME_NOT_RUN, 503,
		    advise_retry_ms(c, p));
		break;
	case REQ_CLAIMING_KEY:
		refuse(c, r, TS_C_REFUSE_STORE, TS_OUTCOME_NOT_RUN, 503,
		    STORE_RETRY_AFTER_MS);
		break;
	case REQ_SENT:
		release_slot(c, r, TS_OUTCOME_UNKNOWN);
		/* FALLTHROUGH */
	case REQ_FORWARDED:
		refuse(c, r, TS_C_FAIL_UNKNOWN, TS_OUTCOME_UNKNOWN, 504,
		    advise_retry_ms(c, p));
		break;
	}
}

/*
 * During a graceful stop, asks the program to exit once no request is left, all
 * groups are released and callers have sent nothing for DRAIN_IDLE_MS, or when
 * drain_ms have passed.
 */
static void
exit_when_drained(ts_core_t *c)
{
	ts_act_t a = { .kind = TS_ACT_EXIT };
	bool idle = g_hash_table_size(c->reqs) == 0 &&
	    owner_count_groups(c) == 0 &&
	    c->now_ms - c->last_req_ms >= DRAIN_IDLE_MS;

	if (c->exit_emitted ||
	    (!idle && c->now_ms - c->drain_since_ms < c->opts.drain_ms))
		return;
	c->exit_emitted = true;
	emit_log(c, TS_LOG_DRAINED, c->opts.name, idle ? "idle" : "timeout",
	    c->now_ms - c->drain_since_ms);
	c->opts.emit(c->opts.ctx, &a);
}

/* Ends overdue requests, serves the queues, and completes a graceful stop. */
void
request_tick(ts_core_t *c)
{
	if (c->now_ms >= c->next_deadline_check_ms) {
		c->next_deadline_check_ms = c->now_ms + DEADLINE_CHECK_MS;
		end_matching(c, is_overdue, NULL, expire);
	}
	if (c->conf != NULL)
		serve_queues(c);
	if (c->draining)
		exit_when_drained(c);
}
