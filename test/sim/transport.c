/*
 * Carries out the actions of the entries' cores: calls to the store and to
 * workers, messages to peers and the poll of the VM list, with the delays and
 * losses that the simulation asks for, and hands the replies back as events.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "../fake/fake.h"
#include "sim.h"
#include "internal.h"

#define LATE_WRITE_MAX_MS 3000 /* longest delay of a late write */
#define LATE_SYNC_MAX_MS  6000 /* longest delay of a late sync, one way */
#define CALL_TIMEOUT_MS	  400  /* until a failed call is reported */
#define CUT_RETRY_MS	  200  /* between attempts to send across a cut */

/* A call of an entry to the store or to a worker, and its reply. */
typedef struct {
	int entry;
	int64_t incarnation; /* of the entry's process */
	uint64_t id;
	char *prefix;  /* of the rows to read */
	int64_t newer; /* read only versions above this */
	GArray *rows;  /* ts_row_t read, or ts_txn_row_t to write */
	bool ok;       /* of a read or a sync: it got a reply */
	bool silent;
	ts_txn_result_t result;
	int64_t version;
	size_t conflict; /* index of the row */
	int worker;	 /* of a sync, like all that follows */
	ts_sync_t sync;
	GArray *orders;
	GArray *tasks;
	GArray *slots;
	ts_sync_answer_t answer;
} call_t;

static call_t *
call_new(sim_entry_t *e, uint64_t id)
{
	call_t *call = g_new0(call_t, 1);

	call->entry = (int)(e - e->sim->entry);
	call->incarnation = e->incarnation;
	call->id = id;
	return call;
}

static void
call_free(sim_t *s, void *arg)
{
	call_t *call = arg;

	(void)s;
	g_free(call->prefix);
	if (call->rows != NULL)
		g_array_free(call->rows, TRUE);
	if (call->orders != NULL)
		g_array_free(call->orders, TRUE);
	if (call->tasks != NULL)
		g_array_free(call->tasks, TRUE);
	if (call->slots != NULL)
		g_array_free(call->slots, TRUE);
	g_free(call);
}

static bool
store_unreachable(const sim_t *s, int e)
{
	return s->store_down || s->entry[e].store_cut;
}

/* One way of a call to the store, ms. */
static int32_t
store_half_latency(sim_t *s)
{
	return s->store_latency_ms / 2 + sim_net_delay(s);
}

static void
on_read_reply(sim_t *s, void *arg)
{
	call_t *call = arg;
	ts_ev_t ev = { .kind = TS_EV_READ_END };

	ev.u.rows.id = call->id;
	ev.u.rows.ok = call->ok;
	if (call->ok) {
		ev.u.rows.rows = (ts_row_t *)call->rows->data;
		ev.u.rows.n = call->rows->len;
	}
	sim_input(s, &s->entry[call->entry], &ev);
	if (call->rows != NULL)
		fake_rows_free(call->rows);
	call->rows = NULL;
	call_free(s, call);
}

static void
on_store_read(sim_t *s, void *arg)
{
	call_t *call = arg;

	call->ok = !store_unreachable(s, call->entry) &&
	    !s->entry[call->entry].store_replies_lost &&
	    !sim_chance(s, s->store_loss_pct);
	if (call->ok)
		call->rows =
		    fake_table_read(&s->table, call->prefix, call->newer);
	sim_deliver(s, call->entry, call->incarnation,
	    call->ok ? store_half_latency(s) : CALL_TIMEOUT_MS, on_read_reply,
	    call_free, call);
}

static void
act_read(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	call_t *call = call_new(e, a->u.read.id);

	call->prefix = g_strdup(a->u.read.prefix);
	call->newer = a->u.read.newer_than;
	sim_schedule(s, store_half_latency(s), on_store_read, call);
}

static void
on_txn_reply(sim_t *s, void *arg)
{
	call_t *call = arg;
	ts_ev_t ev = { .kind = TS_EV_TXN_END };

	ev.u.txn.id = call->id;
	ev.u.txn.result = call->result;
	ev.u.txn.version = call->version;
	ev.u.txn.conflict_index = call->conflict;
	sim_input(s, &s->entry[call->entry], &ev);
	call_free(s, call);
}

static void
apply_txn(sim_t *s, call_t *call)
{
	ts_txn_row_t *rows = (ts_txn_row_t *)call->rows->data;

	call->result = fake_table_txn(
	    &s->table, rows, call->rows->len, &call->version, &call->conflict);
	if (call->result == TS_TXN_OK)
		sim_record_job_writes(s, rows, call->rows->len);
}

/* A write that the store applies late, mostly after its caller's timeout. */
static void
on_late_write(sim_t *s, void *arg)
{
	apply_txn(s, arg);
	call_free(s, arg);
}

static void
on_store_txn(sim_t *s, void *arg)
{
	call_t *call = arg;
	call_t *late;

	call->result = TS_TXN_UNKNOWN;
	if (store_unreachable(s, call->entry)) {
		sim_deliver(s, call->entry, call->incarnation, CALL_TIMEOUT_MS,
		    on_txn_reply, call_free, call);
		return;
	}
	if (s->entry[call->entry].store_replies_lost) {
		apply_txn(s, call);
		call->result = TS_TXN_UNKNOWN;
		sim_deliver(s, call->entry, call->incarnation, CALL_TIMEOUT_MS,
		    on_txn_reply, call_free, call);
		return;
	}
	if (!sim_chance(s, s->store_loss_pct)) {
		apply_txn(s, call);
		sim_deliver(s, call->entry, call->incarnation,
		    store_half_latency(s), on_txn_reply, call_free, call);
		return;
	}
	switch (g_rand_int_range(s->rand, 0, 3)) {
	case 0: /* applied, the reply is lost */
		apply_txn(s, call);
		call->result = TS_TXN_UNKNOWN;
		break;
	case 1: /* applied late, mostly after the entry's timeout */
		late = g_new0(call_t, 1);
		late->rows = call->rows;
		call->rows = NULL;
		sim_schedule(s, g_rand_int_range(s->rand, 0, LATE_WRITE_MAX_MS),
		    on_late_write, late);
		break;
	default: /* never applied */
		break;
	}
	sim_deliver(s, call->entry, call->incarnation, CALL_TIMEOUT_MS,
	    on_txn_reply, call_free, call);
}

static void
act_txn(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	call_t *call = call_new(e, a->u.txn.id);

	call->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
	g_array_append_vals(call->rows, a->u.txn.rows, (guint)a->u.txn.n);
	sim_schedule(s, store_half_latency(s), on_store_txn, call);
}

/*
 * Syncs with the agents of workers.
 */
static void
on_sync_reply(sim_t *s, void *arg)
{
	call_t *call = arg;
	ts_ev_t ev = { .kind = TS_EV_SYNC_END };

	ev.u.sync.worker = s->worker[call->worker].name;
	ev.u.sync.seq = call->sync.seq;
	ev.u.sync.ok = call->ok;
	ev.u.sync.answer = &call->answer;
	sim_input(s, &s->entry[call->entry], &ev);
	call_free(s, call);
}

static int32_t
sync_delay(sim_t *s)
{
	if (sim_chance(s, s->late_sync_pct))
		return g_rand_int_range(s->rand, 0, LATE_SYNC_MAX_MS);
	return sim_net_delay(s);
}

static void
on_worker_sync(sim_t *s, void *arg)
{
	call_t *call = arg;
	sim_worker_t *w = &s->worker[call->worker];

	call->ok = !w->dead && !w->unreachable &&
	    !s->entry[call->entry].workers_cut &&
	    !sim_chance(s, s->worker_loss_pct);
	if (!call->ok) {
		sim_deliver(s, call->entry, call->incarnation, CALL_TIMEOUT_MS,
		    on_sync_reply, call_free, call);
		return;
	}
	fake_worker_sync(&w->fake, &call->sync, s->now);
	call->tasks = g_array_new(FALSE, TRUE, sizeof(ts_task_report_t));
	fake_worker_answer(&w->fake, s->now, call->tasks, &call->answer);
	call->slots = g_array_new(FALSE, TRUE, sizeof(ts_slot_report_t));
	g_array_append_vals(
	    call->slots, call->answer.slots, (guint)call->answer.nslots);
	call->answer.slots = (ts_slot_report_t *)call->slots->data;
	call->ok = !s->entry[call->entry].sync_replies_lost &&
	    !sim_chance(s, s->worker_loss_pct);
	sim_deliver(s, call->entry, call->incarnation,
	    call->ok ? sync_delay(s) : CALL_TIMEOUT_MS, on_sync_reply,
	    call_free, call);
}

static void
act_sync(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	call_t *call = call_new(e, 0);

	call->worker = atoi(a->u.sync.worker + 1);
	call->sync = a->u.sync;
	call->orders = g_array_new(FALSE, TRUE, sizeof(ts_task_order_t));
	g_array_append_vals(
	    call->orders, a->u.sync.orders, (guint)a->u.sync.norders);
	call->sync.orders = (ts_task_order_t *)call->orders->data;
	sim_schedule(s, sync_delay(s), on_worker_sync, call);
}

/*
 * Messages to peers.
 */

/* A message under way from one entry to another, by their indices. */
typedef struct {
	int from, to;
	int64_t receiver_incarnation; /* when it was sent */
	int64_t sender_incarnation;
	ts_msg_t msg;
	uint64_t local_id;  /* of a forwarded request, at the receiver */
	GArray *capacities; /* ts_capacity_t of a digest, copied */
} peer_msg_t;

static void
peer_msg_free(sim_t *s, void *arg)
{
	peer_msg_t *pm = arg;

	(void)s;
	g_array_free(pm->capacities, TRUE);
	g_free((char *)pm->msg.key);
	g_free((char *)pm->msg.routes);
	g_free((char *)pm->msg.pools_text);
	g_free(pm);
}

static void
on_peer_msg(sim_t *s, void *arg)
{
	peer_msg_t *pm = arg;
	ts_ev_t ev = { .kind = TS_EV_MSG };

	ev.u.msg.from = s->entry[pm->from].name;
	ev.u.msg.msg = &pm->msg;
	ev.u.msg.req = pm->local_id;
	sim_input(s, &s->entry[pm->to], &ev);
	peer_msg_free(s, pm);
}

static bool
peers_connected(const sim_t *s, int a, int b)
{
	return s->entry[a].connected[b] || s->entry[b].connected[a];
}

/* A cut delays a message, as TCP does; the death of either end loses it. */
static void
on_peer_msg_arrival(sim_t *s, void *arg)
{
	peer_msg_t *pm = arg;

	if (s->entry[pm->to].core == NULL ||
	    s->entry[pm->to].incarnation != pm->receiver_incarnation ||
	    s->entry[pm->from].incarnation != pm->sender_incarnation) {
		peer_msg_free(s, pm);
		return;
	}
	if (sim_peers_cut(s, pm->from, pm->to)) {
		sim_schedule(s, CUT_RETRY_MS, on_peer_msg_arrival, pm);
		return;
	}
	sim_deliver(s, pm->to, pm->receiver_incarnation, 0, on_peer_msg,
	    peer_msg_free, pm);
}

static void
copy_capacities(peer_msg_t *pm, const ts_msg_t *m)
{
	pm->capacities = g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	g_array_append_vals(pm->capacities, m->pools, (guint)m->npools);
	g_array_append_vals(pm->capacities, m->groups, (guint)m->ngroups);
	g_array_append_vals(pm->capacities, m->teams, (guint)m->nteams);
	pm->msg.pools = (ts_capacity_t *)pm->capacities->data;
	pm->msg.groups = pm->msg.pools + m->npools;
	pm->msg.teams = pm->msg.groups + m->ngroups;
}

static void
act_msg(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	peer_msg_t *pm = g_new0(peer_msg_t, 1);
	const ts_msg_t *m = a->u.msg.msg;

	pm->from = (int)(e - s->entry);
	pm->to = atoi(a->u.msg.to + 1);
	pm->receiver_incarnation = s->entry[pm->to].incarnation;
	pm->sender_incarnation = e->incarnation;
	pm->msg = *m;
	copy_capacities(pm, m);
	pm->msg.key = g_strdup(m->key);
	pm->msg.routes = g_strdup(m->routes);
	pm->msg.pools_text = g_strdup(m->pools_text);
	if (!peers_connected(s, pm->from, pm->to)) {
		peer_msg_free(s, pm);
		return;
	}
	if (m->kind == TS_MSG_FORWARD) {
		pm->local_id = ++s->entry[pm->to].next_local_id;
		sim_bind_local_id(s, pm->to, pm->local_id,
		    sim_find_request(s, pm->from, m->req));
	}
	sim_schedule(s, sim_net_delay(s), on_peer_msg_arrival, pm);
}

/*
 * The platform's list of VMs.
 */
typedef struct {
	int64_t published_ms;
	GArray *vms;
} vm_list_t;

void
sim_publish_vm_list(sim_t *s)
{
	vm_list_t *l = g_new0(vm_list_t, 1);

	l->published_ms = s->now;
	l->vms = g_array_new(FALSE, TRUE, sizeof(ts_vm_t));
	for (int i = 0; i < s->opts.entries; i++) {
		sim_entry_t *e = &s->entry[i];
		ts_vm_t vm = { e->name, e->zone, "", "10.0.0.1", TS_VM_ENTRY, 0,
			8002, false, { 0, 0, 0 } };

		if (!e->vm_off)
			g_array_append_val(l->vms, vm);
	}
	for (int i = 0; i < s->opts.workers; i++) {
		sim_worker_t *w = &s->worker[i];
		ts_vm_t vm = { w->name, w->zone, w->group, "10.0.1.1",
			TS_VM_WORKER, w->fake.vm_incarnation, 8200, w->leaving,
			w->capacity };

		if (!w->dead)
			g_array_append_val(l->vms, vm);
	}
	g_queue_push_head(&s->vm_lists, l);
}

/*
 * An entry polls the list once a second, each at another time, and gets the
 * newest list that is at least vm_list_lag_ms old, else the oldest.
 */
void
sim_poll_vm_list(sim_t *s, int i)
{
	ts_ev_t ev = { .kind = TS_EV_VMS };
	vm_list_t *l = NULL;

	if ((s->now + i * 100) % 1000 >= s->opts.tick_ms)
		return;
	for (GList *x = s->vm_lists.head; x != NULL; x = x->next) {
		l = x->data;
		if (l->published_ms <= s->now - s->opts.vm_list_lag_ms)
			break;
	}
	ev.u.vms.vms = (ts_vm_t *)l->vms->data;
	ev.u.vms.n = l->vms->len;
	sim_input(s, &s->entry[i], &ev);
}

/* Traces a log event and checks that configurations are adopted in order. */
static void
act_event(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	sim_trace(s, "%s %d %s %s %" PRId64, e->name, a->u.log.number,
	    a->u.log.subject, a->u.log.detail, a->u.log.value);
	if (a->u.log.number != TS_LOG_CONF_ADOPTED)
		return;
	if (a->u.log.value <= e->conf_version)
		sim_violation(s,
		    "%s went from configuration version %" PRId64
		    " to %" PRId64,
		    e->name, e->conf_version, a->u.log.value);
	e->conf_version = a->u.log.value;
	e->conf_adopted_ms = s->now;
}

/*
 * The core has asked for its process to exit, as a graceful stop is complete.
 * None of its requests may be unanswered then.
 */
static void
on_core_exit(sim_t *s, void *arg)
{
	sim_entry_t *e = arg;
	GHashTableIter it;
	void *v;

	if (e->core == NULL || !e->stopping)
		return;
	g_hash_table_iter_init(&it, s->requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		sim_req_t *q = v;

		if (!q->ended && !q->entry_died && q->entry == e - s->entry)
			sim_violation(s,
			    "%s stopped with request %" PRIu64 " in progress",
			    e->name, q->id);
	}
	sim_kill_entry(s, (int)(e - s->entry), false);
}

void
sim_emit(void *ctx, const ts_act_t *a)
{
	sim_entry_t *e = ctx;
	sim_t *s = e->sim;
	int i = (int)(e - s->entry);

	switch (a->kind) {
	case TS_ACT_ANSWER:
		sim_on_answer(s, i, a);
		break;
	case TS_ACT_REFUSE:
		sim_on_refusal(s, i, a);
		break;
	case TS_ACT_SEND_REQUEST:
		sim_send_to_backend(s, i, a);
		break;
	case TS_ACT_SEND_MSG:
		act_msg(s, e, a);
		break;
	case TS_ACT_READ:
		act_read(s, e, a);
		break;
	case TS_ACT_TXN:
		act_txn(s, e, a);
		break;
	case TS_ACT_SYNC:
		act_sync(s, e, a);
		break;
	case TS_ACT_JOB_REPLY:
		sim_on_job_reply(s, i, a);
		break;
	case TS_ACT_LOG:
		act_event(s, e, a);
		break;
	case TS_ACT_EXIT:
		sim_schedule(s, 0, on_core_exit, e);
		break;
	}
}
