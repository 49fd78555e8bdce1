/*
 * Workers: the ledger of what each holds, and the syncs by which its agent is
 * told what to run and tells what runs.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define RENEW_PART   6	  /* of a lease, between its renewals */
#define SYNC_LOST_MS 4000 /* a sync without an answer for this is lost */

worker_t *
worker_get(ts_core_t *c, const ts_vm_t *vm)
{
	worker_t *w = g_new0(worker_t, 1);

	w->vm = *vm;
	w->vm.name = g_intern_string(vm->name);
	w->vm.zone = g_intern_string(vm->zone);
	w->vm.group = g_intern_string(vm->group);
	w->vm.ip = g_intern_string(vm->ip);
	w->vm_now = vm->incarnation;
	w->tasks = g_ptr_array_new();
	w->failed = g_ptr_array_new();
	w->forget = g_array_new(FALSE, TRUE, sizeof(ts_task_order_t));
	w->quiet = true;
	w->group = owner_group(c, w->vm.group, w->vm.zone);
	g_ptr_array_add(w->group->workers, w);
	g_hash_table_insert(c->workers, (void *)w->vm.name, w);
	return w;
}

void
worker_free(void *p)
{
	worker_t *w = p;

	g_ptr_array_free(w->tasks, TRUE);
	g_ptr_array_free(w->failed, TRUE);
	g_array_free(w->forget, TRUE);
	g_free(w);
}

/* Drops a worker; requests under way there lose their place only. */
void
worker_forget(ts_core_t *c, worker_t *w)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->reqs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		req_t *r = v;

		if (r->worker == w) {
			r->worker = NULL;
			w->group->running--;
		}
	}
	g_ptr_array_remove(w->group->workers, w);
	g_ptr_array_remove(c->hurried, w);
	g_hash_table_remove(c->workers, w->vm.name);
	pool_rebuild(c);
}

/* The VM, or its incarnation, is proved gone: so is all that it ran. */
void
worker_gone(ts_core_t *c, worker_t *w)
{
	while (w->tasks->len > 0)
		batch_gone(
		    c, w->tasks->pdata[w->tasks->len - 1], "worker gone");
}

/*
 * A newer incarnation of the VM is known, by the list, a row or its answer:
 * what ran on an older one is gone.
 */
void
worker_renewed(ts_core_t *c, worker_t *w, int64_t incarnation)
{
	if (incarnation <= w->vm_now)
		return;
	w->vm_now = incarnation;
	w->known = false;
	worker_gone(c, w);
}

slot_t *
worker_slot(ts_core_t *c, worker_t *w, const char *pool)
{
	for (int32_t i = 0; i < w->nslots; i++)
		if (w->slots[i].pool == pool)
			return &w->slots[i];
	if (w->nslots == TS_POOLS_MAX)
		return NULL;
	w->slots[w->nslots].pool = pool;
	w->slots[w->nslots].index = pool_get(c, pool)->index;
	return &w->slots[w->nslots++];
}

/* What neither requests in progress nor batch tasks hold. */
ts_res_t
worker_room(const ts_core_t *c, worker_t *w)
{
	ts_res_t room = w->vm.capacity;

	ts_res_sub(&room, &w->batch);
	for (int32_t i = 0; i < w->nslots; i++) {
		const slot_t *s = &w->slots[i];
		const ts_pool_t *p = ts_conf_find_pool(c->conf, s->pool);
		int32_t n = s->used + s->stray;

		if (p == NULL)
			continue;
		room.cpu_milli -= n * p->slot_size.cpu_milli;
		room.mem_bytes -= n * p->slot_size.mem_bytes;
		room.accel -= n * p->slot_size.accel;
	}
	return room;
}

/* What batch may still take: slots of services are kept free for them. */
ts_res_t
worker_batch_room(const worker_t *w)
{
	ts_res_t room = w->vm.capacity;

	ts_res_sub(&room, &w->batch);
	ts_res_sub(&room, &w->reserve);
	return room;
}

/* Whether new work of any kind may go there. */
bool
worker_usable(const ts_core_t *c, const worker_t *w)
{
	return owner_active(w->group) && c->vms_read && w->known &&
	    w->group->loaded && !w->vm.leaving && c->conf != NULL &&
	    !w->zone_out;
}

/* A sync is due at once: it goes out when the event has been dealt with. */
void
worker_hurry(ts_core_t *c, worker_t *w)
{
	w->sync_next_ms = 0;
	if (w->hurried)
		return;
	w->hurried = true;
	g_ptr_array_add(c->hurried, w);
}

/* An adopted or running job's order: run on, checkpoint or stop. */
static void
order_for(ts_core_t *c, worker_t *w, job_t *b, GArray *orders)
{
	ts_task_order_t o = { .command = TS_TASK_RUN };

	/* A running task is ordered again when its lease is to be renewed. */
	if (b->seen && !b->j.cancel_requested && !b->evict &&
	    c->now < b->renew_ms)
		return;
	b->renew_ms = c->now + c->o.lease_ms / RENEW_PART;
	g_strlcpy(o.id, b->j.id, sizeof(o.id));
	o.attempt = b->j.attempt;
	o.share_pct = b->share_pct;
	o.run_ms = b->j.run_ms;
	o.progress_ms = b->j.progress_ms;
	o.class = b->j.class;
	o.size = b->j.size;
	if (b->j.cancel_requested)
		o.command = TS_TASK_STOP;
	else if (b->evict)
		o.command = TS_TASK_CHECKPOINT;
	/* Both in the worker's clock, counted from its last answer. */
	o.lease_until_ms = w->clock_ms + c->o.lease_ms;
	if (b->start_by_ms != 0)
		o.start_by_ms = w->clock_ms + (b->start_by_ms - w->heard_ms);
	if (b->order_seq == 0)
		b->order_seq = w->seq;
	g_array_append_val(orders, o);
}

static void
send_sync(ts_core_t *c, worker_t *w)
{
	g_autoptr(GArray) orders =
	    g_array_new(FALSE, TRUE, sizeof(ts_task_order_t));
	ts_act_t a = { .kind = TS_ACT_SYNC };

	w->seq++;
	w->syncing = true;
	w->sync_ms = c->now;
	w->sync_next_ms = c->now + c->o.sync_ms;
	/* Before its first answer the worker's clock is not known. */
	for (guint i = 0; w->known && i < w->tasks->len; i++) {
		job_t *b = w->tasks->pdata[i];

		if (b->j.state == TS_JOB_RUNNING)
			order_for(c, w, b, orders);
	}
	g_array_append_vals(orders, w->forget->data, w->forget->len);
	g_array_set_size(w->forget, 0);
	a.u.sync.worker = w->vm.name;
	a.u.sync.incarnation = w->vm_now;
	a.u.sync.epoch = w->group->row.epoch;
	a.u.sync.seq = w->seq;
	a.u.sync.orders = (ts_task_order_t *)orders->data;
	a.u.sync.norders = orders->len;
	c->o.emit(c->o.ctx, &a);
}

static void
sync_if_due(ts_core_t *c, worker_t *w)
{
	if (!owner_holds(w->group))
		return;
	if (w->syncing && c->now - w->sync_ms > SYNC_LOST_MS)
		w->syncing = false;
	if (!w->syncing && c->now >= w->sync_next_ms)
		send_sync(c, w);
}

/* Syncs with the workers that were hurried by the event now dealt with. */
void
worker_flush(ts_core_t *c)
{
	for (guint i = 0; i < c->hurried->len; i++) {
		worker_t *w = c->hurried->pdata[i];

		w->hurried = false;
		sync_if_due(c, w);
	}
	g_ptr_array_set_size(c->hurried, 0);
}

void
worker_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		sync_if_due(c, v);
}

static void
take_slots(worker_t *w, const ts_sync_answer_t *a)
{
	for (int32_t i = 0; i < w->nslots; i++) {
		slot_t *s = &w->slots[i];
		int32_t running = 0;

		for (size_t k = 0; k < a->nslots; k++)
			if (strcmp(a->slots[k].pool, s->pool) == 0)
				running = a->slots[k].running;
		if (a->seq > s->stray_seq)
			s->stray = MIN(s->stray, running);
	}
}

/* At the first answer of an epoch all that runs there is somebody else's. */
static void
take_strays(ts_core_t *c, worker_t *w, const ts_sync_answer_t *a)
{
	for (size_t k = 0; k < a->nslots; k++) {
		slot_t *s =
		    worker_slot(c, w, g_intern_string(a->slots[k].pool));

		if (s != NULL)
			s->stray = MAX(a->slots[k].running - s->used, 0);
	}
}

static job_t *
task_of(const worker_t *w, const ts_task_report_t *r)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *b = w->tasks->pdata[i];

		if (b->j.state == TS_JOB_RUNNING &&
		    b->j.attempt == r->attempt && strcmp(b->j.id, r->id) == 0)
			return b;
	}
	return NULL;
}

/* A task that no row places there: stop it, or forget that it ended. */
static void
disown(worker_t *w, const ts_task_report_t *r)
{
	ts_task_order_t o = { .command = TS_TASK_STOP };

	if (r->state != TS_TASK_RUNNING)
		o.command = TS_TASK_FORGET;
	else
		w->strays = true;
	g_strlcpy(o.id, r->id, sizeof(o.id));
	o.attempt = r->attempt;
	g_array_append_val(w->forget, o);
}

static bool
reported(const ts_sync_answer_t *a, const job_t *b)
{
	for (size_t i = 0; i < a->ntasks; i++)
		if (a->tasks[i].attempt == b->j.attempt &&
		    strcmp(a->tasks[i].id, b->j.id) == 0)
			return true;
	return false;
}

static void
take_tasks(ts_core_t *c, worker_t *w, const ts_sync_answer_t *a)
{
	w->strays = false;
	for (size_t i = 0; i < a->ntasks; i++) {
		job_t *b = task_of(w, &a->tasks[i]);

		if (b != NULL)
			batch_report(c, b, &a->tasks[i]);
		else
			disown(w, &a->tasks[i]);
	}
	/* Ordered by the sync answered, yet not there: it has ended. */
	for (guint i = w->tasks->len; i-- > 0;) {
		job_t *b = w->tasks->pdata[i];

		if (b->j.state == TS_JOB_RUNNING && !b->txn &&
		    b->order_seq != 0 && a->seq >= b->order_seq &&
		    !reported(a, b))
			batch_gone(
			    c, b, b->seen ? "lost by worker" : "not started");
	}
}

static void
answered(ts_core_t *c, worker_t *w, const ts_sync_answer_t *a)
{
	w->clock_ms = a->clock_ms;
	w->heard_ms = c->now;
	w->answered_seq = a->seq;
	if (!w->known) {
		take_strays(c, w, a);
		w->known = true;
		w->sync_next_ms = 0;
	}
	take_slots(w, a);
	if (w->group->loaded && w->group->state != GROUP_RELEASING)
		take_tasks(c, w, a);
}

void
worker_event(ts_core_t *c, const ts_ev_t *ev)
{
	worker_t *w = g_hash_table_lookup(c->workers, ev->u.sync.worker);
	const ts_sync_answer_t *a = ev->u.sync.answer;

	if (w == NULL || !owner_holds(w->group))
		return;
	if (ev->u.sync.seq == w->seq)
		w->syncing = false;
	if (!ev->u.sync.ok)
		return;
	if (a->epoch > w->group->row.epoch) {
		owner_lost(c, w->group);
		c->groups_next_ms = 0;
		return;
	}
	/* Late answers, and those to an earlier epoch, tell nothing. */
	if (a->epoch != w->group->row.epoch || a->seq <= w->answered_seq)
		return;
	/* An old VM may answer for a while after it has been replaced. */
	if (a->incarnation < w->vm_now)
		return;
	worker_renewed(c, w, a->incarnation);
	answered(c, w, a);
	if (w->sync_next_ms <= c->now) /* hurried while this one was out */
		worker_hurry(c, w);
}
