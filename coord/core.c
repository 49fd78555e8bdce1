/*
 * Entry point of the library: creates the state of an entry, passes each event
 * to the file that handles it, and runs the periodic work.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define PAUSE_MIN_MS   1500 /* without an event: the process was paused */
#define READY_AFTER_MS 5000 /* after the start: ready even without workers */
#define DEFAULT_IF_ZERO(x, d) \
	do { \
		if ((x) == 0) \
			(x) = (d); \
	} while (0)

static const char *const counter_names[TS_C_MAX] = {
	[TS_C_REQUESTS] = "requests",
	[TS_C_ANSWERED] = "answered",
	[TS_C_FORWARDED] = "forwarded",
	[TS_C_REFUSE_NOT_READY] = "refuse_not_ready",
	[TS_C_REFUSE_CALLER] = "refuse_caller",
	[TS_C_REFUSE_ROUTE] = "refuse_route",
	[TS_C_REFUSE_FULL] = "refuse_full",
	[TS_C_REFUSE_DEADLINE] = "refuse_deadline",
	[TS_C_REFUSE_STORE] = "refuse_store",
	[TS_C_REFUSE_DUPLICATE] = "refuse_duplicate",
	[TS_C_FAIL_NOT_RUN] = "fail_not_run",
	[TS_C_FAIL_UNKNOWN] = "fail_unknown",
	[TS_C_FAIL_BUDGET] = "fail_budget",
	[TS_C_RETRY_NOT_RUN] = "retry_not_run",
	[TS_C_RETRY_IDEMPOTENT] = "retry_idempotent",
	[TS_C_RETRY_PEER_FULL] = "retry_peer_full",
	[TS_C_TXN_OK] = "txn_ok",
	[TS_C_TXN_CONFLICT] = "txn_conflict",
	[TS_C_TXN_UNKNOWN] = "txn_unknown",
	[TS_C_TXN_RETRY] = "txn_retry",
	[TS_C_READ_FAILED] = "read_failed",
	[TS_C_CLAIMS] = "claims",
	[TS_C_RELEASES] = "releases",
	[TS_C_TAKEOVERS] = "takeovers",
	[TS_C_FENCED] = "fenced",
	[TS_C_CONF_ADOPTED] = "conf_adopted",
	[TS_C_CONF_INVALID] = "conf_invalid",
	[TS_C_JOB_SUBMITTED] = "job_submitted",
	[TS_C_JOB_REFUSED] = "job_refused",
	[TS_C_JOB_MOVED] = "job_moved",
	[TS_C_JOB_HELD] = "job_held",
	[TS_C_TASK_STARTED] = "task_started",
	[TS_C_TASK_DONE] = "task_done",
	[TS_C_TASK_FAILED] = "task_failed",
	[TS_C_TASK_EVICTED] = "task_evicted",
	[TS_C_TASK_LOST] = "task_lost",
	[TS_C_THROTTLE] = "throttle",
	[TS_C_START_WAIT_CONF] = "start_wait_conf",
	[TS_C_START_WAIT_QUOTA] = "start_wait_quota",
	[TS_C_START_WAIT_ROOM] = "start_wait_room",
	[TS_C_QUARANTINE] = "quarantine",
	[TS_C_BAD_INPUT] = "bad_input",
};

G_DEFINE_QUARK(coord_error, coord_error)

const char *
ts_counter_name(ts_counter_t n)
{
	return counter_names[n];
}

uint64_t
ts_core_counter(const ts_core_t *c, ts_counter_t n)
{
	return c->counters[n];
}

void
ts_core_counter_inc(ts_core_t *c, ts_counter_t n)
{
	COUNT(c, n);
}

/* Emits a numbered log event about subject, the name or id of an object. */
void
emit_log(ts_core_t *c, ts_log_event_t number, const char *subject,
    const char *detail, int64_t value)
{
	ts_act_t a = { .kind = TS_ACT_LOG };

	a.u.log.number = number;
	a.u.log.subject = subject;
	a.u.log.detail = detail;
	a.u.log.value = value;
	c->opts.emit(c->opts.ctx, &a);
}

/*
 * The values of a hash table as an array, so that the table may change while
 * they are visited.  The caller frees the array.
 */
GPtrArray *
hash_values(GHashTable *h)
{
	GPtrArray *a = g_ptr_array_sized_new(g_hash_table_size(h));
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, h);
	while (g_hash_table_iter_next(&it, NULL, &v))
		g_ptr_array_add(a, v);
	return a;
}

static void
free_peer(void *p)
{
	peer_t *peer = p;

	g_hash_table_destroy(peer->free_slots);
	g_hash_table_destroy(peer->team_cpu_milli);
	g_array_free(peer->groups, TRUE);
	g_free(peer);
}

static void
free_group(void *p)
{
	group_t *g = p;

	g_sequence_free(g->queue);
	g_sequence_free(g->late_queue);
	g_hash_table_destroy(g->jobs);
	g_ptr_array_free(g->workers, TRUE);
	g_free(g);
}

ts_core_t *
ts_core_new(const ts_core_opts_t *o)
{
	ts_core_t *c = g_new0(ts_core_t, 1);

	c->opts = *o;
	c->opts.name = g_intern_string(o->name);
	c->opts.zone = g_intern_string(o->zone);
	DEFAULT_IF_ZERO(c->opts.conf_poll_ms, 500);
	DEFAULT_IF_ZERO(c->opts.conf_stale_ms, 2500);
	DEFAULT_IF_ZERO(c->opts.sync_ms, 1000);
	DEFAULT_IF_ZERO(c->opts.digest_ms, 200);
	DEFAULT_IF_ZERO(c->opts.lease_ms, 90000);
	DEFAULT_IF_ZERO(c->opts.lease_margin_ms, 5000);
	DEFAULT_IF_ZERO(c->opts.drain_ms, 20000);
	c->rand = g_rand_new_with_seed(o->seed);
	c->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	c->listed_entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	c->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_group);
	c->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, worker_free);
	c->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	c->reqs = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, request_free);
	c->open_idem_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->team_cpu_milli =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	c->classes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	c->reads =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->txns = g_ptr_array_new();
	c->group_list = g_ptr_array_new();
	c->sync_requests = g_ptr_array_new();
	g_queue_init(&c->updates);
	return c;
}

void
ts_core_free(ts_core_t *c)
{
	txn_free_all(c);
	g_hash_table_destroy(c->reads);
	g_ptr_array_free(c->sync_requests, TRUE);
	g_ptr_array_free(c->group_list, TRUE);
	g_hash_table_destroy(c->reqs);
	g_hash_table_destroy(c->open_idem_keys);
	g_hash_table_destroy(c->team_cpu_milli);
	g_hash_table_destroy(c->classes);
	g_hash_table_destroy(c->groups);
	g_hash_table_destroy(c->workers);
	g_hash_table_destroy(c->pools);
	g_hash_table_destroy(c->peers);
	g_hash_table_destroy(c->listed_entries);
	ts_conf_free(c->conf);
	g_free(c->routes_text);
	g_free(c->pools_text);
	g_rand_free(c->rand);
	g_free(c);
}

/* Runs the periodic work of all parts, at each tick. */
static void
run_periodic_work(ts_core_t *c)
{
	pool_rebuild_workers(c);
	if (c->first_tick_ms == 0)
		c->first_tick_ms = c->now_ms;
	conf_poll(c);
	member_tick(c);
	owner_tick(c);
	worker_tick(c);
	coloc_tick(c);
	batch_tick(c);
	request_tick(c);
	txn_retry_due(c);
}

/* Passes a message from a peer to the part that handles it. */
static void
handle_message(ts_core_t *c, const ts_ev_t *ev)
{
	const ts_msg_t *m = ev->u.msg.msg;

	switch (m->kind) {
	case TS_MSG_DIGEST:
		member_handle_digest(c, ev->u.msg.from, m);
		break;
	case TS_MSG_FORWARD:
		request_handle_forward(c, ev);
		break;
	case TS_MSG_REPLY:
		request_handle_reply(c, ev);
		break;
	case TS_MSG_JOB_CHANGED:
		batch_read_job_row(c, m->key);
		break;
	case TS_MSG_GROUP_RELEASED:
		owner_handle_release(c, m->key);
		break;
	case TS_MSG_CONF:
		conf_adopt_if_newer(
		    c, m->conf_version, m->routes, m->pools_text);
		break;
	}
}

/*
 * Begins a graceful stop: takes no new jobs and releases the groups.  The
 * program exits when exit_when_drained() requests it.
 */
static void
begin_drain(ts_core_t *c)
{
	if (c->draining)
		return;
	c->draining = true;
	c->drain_since_ms = c->now_ms;
	c->last_req_ms = c->now_ms;
	c->next_digest_ms = 0;
	emit_log(
	    c, TS_LOG_DRAIN_BEGUN, c->opts.name, "", owner_count_groups(c));
	owner_release_all(c);
}

/*
 * Called when no event has come for PAUSE_MIN_MS, so the process has been
 * paused.  The configuration, the list of VMs and the state of the workers may
 * be out of date, so no work is sent before each is confirmed.
 */
static void
resume_after_pause(ts_core_t *c)
{
	g_autoptr(GPtrArray) workers = hash_values(c->workers);

	c->vm_list_read = false;
	c->conf_confirmed_ms = 0;
	c->next_conf_read_ms = c->next_groups_read_ms = 0;
	c->conf_read_pending = c->groups_read_pending = false;
	for (guint i = 0; i < workers->len; i++) {
		worker_t *w = workers->pdata[i];

		w->synced = false;
		w->sync_pending = false;
		w->next_sync_ms = 0;
	}
}

void
ts_core_input(ts_core_t *c, const ts_ev_t *ev, int64_t now_ms)
{
	if (c->now_ms != 0 && now_ms - c->now_ms > PAUSE_MIN_MS)
		resume_after_pause(c);
	if (now_ms > c->now_ms)
		c->now_ms = now_ms;
	switch (ev->kind) {
	case TS_EV_TICK:
		run_periodic_work(c);
		break;
	case TS_EV_STOP:
		begin_drain(c);
		break;
	case TS_EV_REQUEST:
		request_handle_new(c, ev);
		break;
	case TS_EV_ATTEMPT_END:
		request_handle_attempt_end(c, ev);
		break;
	case TS_EV_PEER:
		member_handle_connection(c, ev);
		break;
	case TS_EV_MSG:
		handle_message(c, ev);
		break;
	case TS_EV_VMS:
		member_handle_vm_list(c, ev);
		break;
	case TS_EV_READ_END:
		read_handle_end(c, ev);
		break;
	case TS_EV_TXN_END:
		txn_handle_end(c, ev);
		break;
	case TS_EV_SYNC_END:
		worker_handle_sync_end(c, ev);
		break;
	case TS_EV_SUBMIT:
		submit_handle_job(c, ev);
		break;
	case TS_EV_CANCEL:
		submit_handle_cancel(c, ev);
		break;
	}
	worker_send_requested_syncs(c);
	txn_send_updates(c);
}

/* Whether a request could be served, here or by a peer. */
static bool
can_serve(const ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (owner_accepts_work(v) && ((group_t *)v)->jobs_loaded)
			return true;
	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((peer_t *)v)->up &&
		    g_hash_table_size(((peer_t *)v)->free_slots) > 0)
			return true;
	return false;
}

bool
ts_core_ready(const ts_core_t *c)
{
	if (c->conf == NULL || c->draining)
		return false;
	/* A new entry waits to own workers, or to learn what peers have. */
	return c->now_ms - c->first_tick_ms > READY_AFTER_MS || can_serve(c);
}
