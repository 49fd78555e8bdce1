/*
 * The ports of an entry: its actions, carried to the table, the workers and
 * the other entries with delays and losses, and what comes back.
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

#define LATE_MS	 3000 /* a write may be applied this late */
#define STALL_MS 6000 /* longest that a late sync takes */
#define FAIL_MS	 400  /* until a call that fails is known to */
#define HOLD_MS	 200  /* between looks whether a cut has healed */

/* A call to the table or to a worker, and its answer. */
typedef struct {
	int e;
	int64_t incarnation;
	uint64_t id;
	char *prefix;
	int64_t newer;
	GArray *rows; /* of a read, or ts_txn_row_t */
	bool ok;
	bool silent; /* its answer is lost */
	ts_txn_result_t result;
	int64_t version;
	size_t conflict;
	int w;
	ts_sync_t sync;
	GArray *orders;
	GArray *tasks;
	GArray *slots;
	ts_sync_answer_t answer;
} call_t;

static call_t *
call_new(sim_entry_t *e, uint64_t id)
{
	call_t *k = g_new0(call_t, 1);

	k->e = (int)(e - e->sim->entry);
	k->incarnation = e->incarnation;
	k->id = id;
	return k;
}

static void
call_free(sim_t *s, void *arg)
{
	call_t *k = arg;

	(void)s;
	g_free(k->prefix);
	if (k->rows != NULL)
		g_array_free(k->rows, TRUE);
	if (k->orders != NULL)
		g_array_free(k->orders, TRUE);
	if (k->tasks != NULL)
		g_array_free(k->tasks, TRUE);
	if (k->slots != NULL)
		g_array_free(k->slots, TRUE);
	g_free(k);
}

static bool
store_away(const sim_t *s, int e)
{
	return s->store_down || s->entry[e].store_cut;
}

static int32_t
half_store(sim_t *s)
{
	return s->store_latency_ms / 2 + sim_net_delay(s);
}

static void
on_rows(sim_t *s, void *arg)
{
	call_t *k = arg;
	ts_ev_t ev = { .kind = TS_EV_READ_END };

	ev.u.rows.id = k->id;
	ev.u.rows.ok = k->ok;
	if (k->ok) {
		ev.u.rows.rows = (ts_row_t *)k->rows->data;
		ev.u.rows.n = k->rows->len;
	}
	sim_input(s, &s->entry[k->e], &ev);
	if (k->rows != NULL)
		fake_rows_free(k->rows);
	k->rows = NULL;
	call_free(s, k);
}

static void
at_store_read(sim_t *s, void *arg)
{
	call_t *k = arg;

	k->ok = !store_away(s, k->e) && !s->entry[k->e].store_replies_lost &&
	    !sim_chance(s, s->store_loss_pct);
	if (k->ok)
		k->rows = fake_table_read(&s->table, k->prefix, k->newer);
	sim_deliver(s, k->e, k->incarnation, k->ok ? half_store(s) : FAIL_MS,
	    on_rows, call_free, k);
}

static void
act_read(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	call_t *k = call_new(e, a->u.read.id);

	k->prefix = g_strdup(a->u.read.prefix);
	k->newer = a->u.read.newer_than;
	sim_schedule(s, half_store(s), at_store_read, k);
}

static void
on_txn(sim_t *s, void *arg)
{
	call_t *k = arg;
	ts_ev_t ev = { .kind = TS_EV_TXN_END };

	ev.u.txn.id = k->id;
	ev.u.txn.result = k->result;
	ev.u.txn.version = k->version;
	ev.u.txn.conflict_index = k->conflict;
	sim_input(s, &s->entry[k->e], &ev);
	call_free(s, k);
}

static void
apply(sim_t *s, call_t *k)
{
	ts_txn_row_t *rows = (ts_txn_row_t *)k->rows->data;

	k->result = fake_table_txn(
	    &s->table, rows, k->rows->len, &k->version, &k->conflict);
	if (k->result == TS_TXN_OK)
		sim_record_job_writes(s, rows, k->rows->len);
}

static void
at_store_late(sim_t *s, void *arg)
{
	apply(s, arg);
	call_free(s, arg);
}

static void
at_store_txn(sim_t *s, void *arg)
{
	call_t *k = arg;
	call_t *late;

	k->result = TS_TXN_UNKNOWN;
	if (store_away(s, k->e)) {
		sim_deliver(
		    s, k->e, k->incarnation, FAIL_MS, on_txn, call_free, k);
		return;
	}
	if (s->entry[k->e].store_replies_lost) {
		apply(s, k);
		k->result = TS_TXN_UNKNOWN;
		sim_deliver(
		    s, k->e, k->incarnation, FAIL_MS, on_txn, call_free, k);
		return;
	}
	if (!sim_chance(s, s->store_loss_pct)) {
		apply(s, k);
		sim_deliver(s, k->e, k->incarnation, half_store(s), on_txn,
		    call_free, k);
		return;
	}
	switch (g_rand_int_range(s->rand, 0, 3)) {
	case 0: /* applied, the answer is lost */
		apply(s, k);
		k->result = TS_TXN_UNKNOWN;
		break;
	case 1: /* applied after the caller has given up waiting */
		late = g_new0(call_t, 1);
		late->rows = k->rows;
		k->rows = NULL;
		sim_schedule(s, g_rand_int_range(s->rand, 0, LATE_MS),
		    at_store_late, late);
		break;
	default: /* never applied */
		break;
	}
	sim_deliver(s, k->e, k->incarnation, FAIL_MS, on_txn, call_free, k);
}

static void
act_txn(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	call_t *k = call_new(e, a->u.txn.id);

	k->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
	g_array_append_vals(k->rows, a->u.txn.rows, (guint)a->u.txn.n);
	sim_schedule(s, half_store(s), at_store_txn, k);
}

/*
 * Worker agents.
 */
static void
on_sync(sim_t *s, void *arg)
{
	call_t *k = arg;
	ts_ev_t ev = { .kind = TS_EV_SYNC_END };

	ev.u.sync.worker = s->worker[k->w].name;
	ev.u.sync.seq = k->sync.seq;
	ev.u.sync.ok = k->ok;
	ev.u.sync.answer = &k->answer;
	sim_input(s, &s->entry[k->e], &ev);
	call_free(s, k);
}

static int32_t
sync_delay(sim_t *s)
{
	if (sim_chance(s, s->late_sync_pct))
		return g_rand_int_range(s->rand, 0, STALL_MS);
	return sim_net_delay(s);
}

static void
at_worker(sim_t *s, void *arg)
{
	call_t *k = arg;
	sim_worker_t *w = &s->worker[k->w];

	k->ok = !w->dead && !w->unreachable && !s->entry[k->e].workers_cut &&
	    !sim_chance(s, s->worker_loss_pct);
	if (!k->ok) {
		sim_deliver(
		    s, k->e, k->incarnation, FAIL_MS, on_sync, call_free, k);
		return;
	}
	fake_worker_sync(&w->fake, &k->sync, s->now);
	k->tasks = g_array_new(FALSE, TRUE, sizeof(ts_task_report_t));
	fake_worker_answer(&w->fake, s->now, k->tasks, &k->answer);
	k->slots = g_array_new(FALSE, TRUE, sizeof(ts_slot_report_t));
	g_array_append_vals(k->slots, k->answer.slots, (guint)k->answer.nslots);
	k->answer.slots = (ts_slot_report_t *)k->slots->data;
	k->ok = !s->entry[k->e].sync_replies_lost &&
	    !sim_chance(s, s->worker_loss_pct);
	sim_deliver(s, k->e, k->incarnation, k->ok ? sync_delay(s) : FAIL_MS,
	    on_sync, call_free, k);
}

static void
act_sync(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	call_t *k = call_new(e, 0);

	k->w = atoi(a->u.sync.worker + 1);
	k->sync = a->u.sync;
	k->orders = g_array_new(FALSE, TRUE, sizeof(ts_task_order_t));
	g_array_append_vals(
	    k->orders, a->u.sync.orders, (guint)a->u.sync.norders);
	k->sync.orders = (ts_task_order_t *)k->orders->data;
	sim_schedule(s, sync_delay(s), at_worker, k);
}

/*
 * Messages to peers.
 */
typedef struct {
	int from, to;
	int64_t incarnation; /* of the receiver when sent */
	int64_t sender;
	ts_msg_t m;
	uint64_t local; /* of a forward, at the receiver */
	GArray *rooms;
} mail_t;

static void
mail_free(sim_t *s, void *arg)
{
	mail_t *x = arg;

	(void)s;
	g_array_free(x->rooms, TRUE);
	g_free((char *)x->m.key);
	g_free((char *)x->m.routes);
	g_free((char *)x->m.pools_text);
	g_free(x);
}

static void
on_mail(sim_t *s, void *arg)
{
	mail_t *x = arg;
	ts_ev_t ev = { .kind = TS_EV_MSG };

	ev.u.msg.from = s->entry[x->from].name;
	ev.u.msg.msg = &x->m;
	ev.u.msg.req = x->local;
	sim_input(s, &s->entry[x->to], &ev);
	mail_free(s, x);
}

static bool
linked(const sim_t *s, int a, int b)
{
	return s->entry[a].connected[b] || s->entry[b].connected[a];
}

/* A cut holds a message up; the death of either end loses it. */
static void
carry(sim_t *s, void *arg)
{
	mail_t *x = arg;

	if (s->entry[x->to].core == NULL ||
	    s->entry[x->to].incarnation != x->incarnation ||
	    s->entry[x->from].incarnation != x->sender) {
		mail_free(s, x);
		return;
	}
	if (sim_peers_cut(s, x->from, x->to)) {
		sim_schedule(s, HOLD_MS, carry, x);
		return;
	}
	sim_deliver(s, x->to, x->incarnation, 0, on_mail, mail_free, x);
}

static void
copy_rooms(mail_t *x, const ts_msg_t *m)
{
	x->rooms = g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	g_array_append_vals(x->rooms, m->pools, (guint)m->npools);
	g_array_append_vals(x->rooms, m->groups, (guint)m->ngroups);
	g_array_append_vals(x->rooms, m->teams, (guint)m->nteams);
	x->m.pools = (ts_capacity_t *)x->rooms->data;
	x->m.groups = x->m.pools + m->npools;
	x->m.teams = x->m.groups + m->ngroups;
}

static void
act_msg(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	mail_t *x = g_new0(mail_t, 1);
	const ts_msg_t *m = a->u.msg.msg;

	x->from = (int)(e - s->entry);
	x->to = atoi(a->u.msg.to + 1);
	x->incarnation = s->entry[x->to].incarnation;
	x->sender = e->incarnation;
	x->m = *m;
	copy_rooms(x, m);
	x->m.key = g_strdup(m->key);
	x->m.routes = g_strdup(m->routes);
	x->m.pools_text = g_strdup(m->pools_text);
	if (!linked(s, x->from, x->to)) {
		mail_free(s, x);
		return;
	}
	if (m->kind == TS_MSG_FORWARD) {
		x->local = ++s->entry[x->to].next_local_id;
		sim_bind_local_id(
		    s, x->to, x->local, sim_find_request(s, x->from, m->req));
	}
	sim_schedule(s, sim_net_delay(s), carry, x);
}

/*
 * The list of VMs.
 */
typedef struct {
	int64_t at;
	GArray *vms;
} list_t;

void
sim_publish_vm_list(sim_t *s)
{
	list_t *l = g_new0(list_t, 1);

	l->at = s->now;
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

/* An entry reads the list once a second, and sees it as it was. */
void
sim_poll_vm_list(sim_t *s, int i)
{
	ts_ev_t ev = { .kind = TS_EV_VMS };
	list_t *l = NULL;

	if ((s->now + i * 100) % 1000 >= s->opts.tick_ms)
		return;
	for (GList *x = s->vm_lists.head; x != NULL; x = x->next) {
		l = x->data;
		if (l->at <= s->now - s->opts.vm_list_lag_ms)
			break;
	}
	ev.u.vms.vms = (ts_vm_t *)l->vms->data;
	ev.u.vms.n = l->vms->len;
	sim_input(s, &s->entry[i], &ev);
}

static void
act_event(sim_t *s, sim_entry_t *e, const ts_act_t *a)
{
	sim_trace(s, "%s %d %s %s %" PRId64, e->name, a->u.log.number,
	    a->u.log.subject, a->u.log.detail, a->u.log.value);
	if (a->u.log.number != TS_LOG_CONF_ADOPTED)
		return;
	if (a->u.log.value <= e->conf_version)
		sim_violation(s,
		    "%s went from tables version %" PRId64 " to %" PRId64,
		    e->name, e->conf_version, a->u.log.value);
	e->conf_version = a->u.log.value;
	e->conf_adopted_ms = s->now;
}

/* A graceful stop has ended: nothing may be cut by it. */
static void
on_drained(sim_t *s, void *arg)
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
		sim_schedule(s, 0, on_drained, e);
		break;
	}
}
