/*
 * Workers: the resources that each has in use, and the syncs with its agent,
 * which carry orders for tasks there and reports back.  The syncs of a worker
 * are sent by the owner of its group, one at a time.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define RENEWALS_PER_LEASE 6	/* renewals sent in the time of a lease */
#define SYNC_TIMEOUT_MS	   4000 /* a sync without an answer is then lost */

/* Adds a worker that the list of VMs contains for the first time. */
worker_t *
worker_new(ts_core_t *c, const ts_vm_t *vm)
{
	worker_t *w = g_new0(worker_t, 1);

	w->vm = *vm;
	w->vm.name = g_intern_string(vm->name);
	w->vm.zone = g_intern_string(vm->zone);
	w->vm.group = g_intern_string(vm->group);
	w->vm.ip = g_intern_string(vm->ip);
	w->newest_incarnation = vm->incarnation;
	w->tasks = g_ptr_array_new();
	w->failed_jobs = g_ptr_array_new();
	w->cleanup_orders = g_array_new(FALSE, TRUE, sizeof(ts_task_order_t));
	w->undisturbed = true;
	w->group = owner_get_group(c, w->vm.group, w->vm.zone);
	g_ptr_array_add(w->group->workers, w);
	g_hash_table_insert(c->workers, (void *)w->vm.name, w);
	return w;
}

void
worker_free(void *p)
{
	worker_t *w = p;

	g_ptr_array_free(w->tasks, TRUE);
	g_ptr_array_free(w->failed_jobs, TRUE);
	g_array_free(w->cleanup_orders, TRUE);
	g_free(w);
}

/*
 * Removes a worker that the list of VMs no longer contains.  Requests in
 * progress there continue, but no longer hold a slot.
 */
void
worker_remove(ts_core_t *c, worker_t *w)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->reqs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		req_t *r = v;

		if (r->worker == w) {
			r->worker = NULL;
			w->group->requests_in_progress--;
		}
	}
	g_ptr_array_remove(w->group->workers, w);
	g_ptr_array_remove(c->sync_requests, w);
	g_hash_table_remove(c->workers, w->vm.name);
	pool_invalidate(c);
}

/*
 * Ends the attempts of all tasks on the worker: its VM, or the incarnation that
 * ran them, is proved to have ended.
 */
void
worker_lose_tasks(ts_core_t *c, worker_t *w)
{
	while (w->tasks->len > 0)
		batch_lose_attempt(
		    c, w->tasks->pdata[w->tasks->len - 1], "worker VM is gone");
}

/*
 * Takes note of an incarnation of the VM, from the list of VMs, a job's row or
 * a sync answer.  If it is a newer one, ends the attempts of all tasks that
 * older ones ran.
 */
void
worker_note_incarnation(ts_core_t *c, worker_t *w, int64_t incarnation)
{
	if (incarnation <= w->newest_incarnation)
		return;
	w->newest_incarnation = incarnation;
	w->synced = false;
	worker_lose_tasks(c, w);
}

/*
 * The use of the worker by a pool, created at first use; NULL beyond
 * TS_POOLS_MAX pools.  The pool's name must be interned.
 */
slot_use_t *
worker_slot_use(ts_core_t *c, worker_t *w, const char *pool)
{
	for (int32_t i = 0; i < w->nslot_use; i++)
		if (w->slot_use[i].pool == pool)
			return &w->slot_use[i];
	if (w->nslot_use == TS_POOLS_MAX)
		return NULL;
	w->slot_use[w->nslot_use].pool = pool;
	w->slot_use[w->nslot_use].interference_index =
	    pool_get(c, pool)->interference_index;
	return &w->slot_use[w->nslot_use++];
}

/* The resources of a worker that neither requests nor batch tasks use. */
ts_res_t
worker_available(const ts_core_t *c, worker_t *w)
{
	ts_res_t available = w->vm.capacity;

	ts_res_sub(&available, &w->batch_used);
	for (int32_t i = 0; i < w->nslot_use; i++) {
		const slot_use_t *s = &w->slot_use[i];
		const ts_pool_t *p = ts_conf_find_pool(c->conf, s->pool);
		int32_t n = s->in_progress + s->orphans;

		if (p == NULL)
			continue;
		available.cpu_milli -= n * p->slot_size.cpu_milli;
		available.mem_bytes -= n * p->slot_size.mem_bytes;
		available.accel -= n * p->slot_size.accel;
	}
	return available;
}

/*
 * The resources of a worker that batch tasks may still take; the slots of
 * services are kept free, whether in use or not.
 */
ts_res_t
worker_available_for_batch(const worker_t *w)
{
	ts_res_t available = w->vm.capacity;

	ts_res_sub(&available, &w->batch_used);
	ts_res_sub(&available, &w->service_reserve);
	return available;
}

/*
 * Whether the worker may get new requests and tasks: its group, VM and zone
 * allow it, and their state and the worker's own have been read.  Free
 * resources, failed connections and quarantine are checked by has_free_slot()
 * for requests and by can_run() for tasks.
 */
bool
worker_accepts_work(const ts_core_t *c, const worker_t *w)
{
	return owner_accepts_work(w->group) && c->vm_list_read && w->synced &&
	    w->group->jobs_loaded && !w->vm.leaving && c->conf != NULL &&
	    !w->zone_is_out;
}

/*
 * Makes a sync with the worker due at once: it is sent after the current event
 * has been processed.
 */
void
worker_request_sync(ts_core_t *c, worker_t *w)
{
	w->next_sync_ms = 0;
	if (w->sync_requested)
		return;
	w->sync_requested = true;
	g_ptr_array_add(c->sync_requests, w);
}

/*
 * Adds the order for a running job's task to a sync: run and renew the lease,
 * checkpoint or stop.  None is added while the task runs as wanted and its
 * lease needs no renewal.
 */
static void
add_order(ts_core_t *c, worker_t *w, job_t *job, GArray *orders)
{
	ts_task_order_t o = { .command = TS_TASK_RUN };

	if (job->reported_running && !job->row.cancel_requested &&
	    !job->evict_requested && c->now_ms < job->renew_after_ms)
		return;
	job->renew_after_ms = c->now_ms + c->opts.lease_ms / RENEWALS_PER_LEASE;
	g_strlcpy(o.id, job->row.id, sizeof(o.id));
	o.attempt = job->row.attempt;
	o.share_pct = job->share_pct;
	o.run_ms = job->row.run_ms;
	o.progress_ms = job->row.progress_ms;
	o.class = job->row.class;
	o.size = job->row.size;
	if (job->row.cancel_requested)
		o.command = TS_TASK_STOP;
	else if (job->evict_requested)
		o.command = TS_TASK_CHECKPOINT;
	/* Both times are on the worker's clock, as of its last answer. */
	o.lease_until_ms = w->worker_clock_ms + c->opts.lease_ms;
	if (job->start_by_ms != 0)
		o.start_by_ms =
		    w->worker_clock_ms + (job->start_by_ms - w->answered_ms);
	if (job->first_order_seq == 0)
		job->first_order_seq = w->sent_seq;
	g_array_append_val(orders, o);
}

/* Sends the worker the orders for its tasks. */
static void
send_sync(ts_core_t *c, worker_t *w)
{
	g_autoptr(GArray) orders =
	    g_array_new(FALSE, TRUE, sizeof(ts_task_order_t));
	ts_act_t a = { .kind = TS_ACT_SYNC };

	w->sent_seq++;
	w->sync_pending = true;
	w->sync_sent_ms = c->now_ms;
	w->next_sync_ms = c->now_ms + c->opts.sync_ms;
	/*
	 * No orders before the first answer: leases end by the worker's clock,
	 * which comes with its answers.
	 */
	for (guint i = 0; w->synced && i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		if (job->row.state == TS_JOB_RUNNING)
			add_order(c, w, job, orders);
	}
	g_array_append_vals(
	    orders, w->cleanup_orders->data, w->cleanup_orders->len);
	g_array_set_size(w->cleanup_orders, 0);
	a.u.sync.worker = w->vm.name;
	a.u.sync.incarnation = w->newest_incarnation;
	a.u.sync.epoch = w->group->row.epoch;
	a.u.sync.seq = w->sent_seq;
	a.u.sync.orders = (ts_task_order_t *)orders->data;
	a.u.sync.norders = orders->len;
	c->opts.emit(c->opts.ctx, &a);
}

/* Sends a sync if one is due and none awaits its answer. */
static void
sync_if_due(ts_core_t *c, worker_t *w)
{
	if (!owner_holds_group(w->group))
		return;
	if (w->sync_pending && c->now_ms - w->sync_sent_ms > SYNC_TIMEOUT_MS)
		w->sync_pending = false;
	if (!w->sync_pending && c->now_ms >= w->next_sync_ms)
		send_sync(c, w);
}

/* Sends the syncs that worker_request_sync() asked for during this event. */
void
worker_send_requested_syncs(ts_core_t *c)
{
	for (guint i = 0; i < c->sync_requests->len; i++) {
		worker_t *w = c->sync_requests->pdata[i];

		w->sync_requested = false;
		sync_if_due(c, w);
	}
	g_ptr_array_set_size(c->sync_requests, 0);
}

/* Sends the syncs that are due. */
void
worker_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		sync_if_due(c, v);
}

/*
 * Lowers the count of orphaned requests to what the worker reports as running,
 * if it answers a sync sent after they became orphans.
 */
static void
lower_orphans(worker_t *w, const ts_sync_answer_t *a)
{
	for (int32_t i = 0; i < w->nslot_use; i++) {
		slot_use_t *s = &w->slot_use[i];
		int32_t running = 0;

		for (size_t k = 0; k < a->nslots; k++)
			if (strcmp(a->slots[k].pool, s->pool) == 0)
				running = a->slots[k].running;
		if (a->seq > s->orphans_seq)
			s->orphans = MIN(s->orphans, running);
	}
}

/*
 * At a worker's first answer in an epoch: all requests that run there, but are
 * not ours, are orphans of an earlier owner.
 */
static void
count_orphans(ts_core_t *c, worker_t *w, const ts_sync_answer_t *a)
{
	for (size_t k = 0; k < a->nslots; k++) {
		slot_use_t *s =
		    worker_slot_use(c, w, g_intern_string(a->slots[k].pool));

		if (s != NULL)
			s->orphans =
			    MAX(a->slots[k].running - s->in_progress, 0);
	}
}

/* The job whose current attempt this report is about, or NULL. */
static job_t *
find_task(const worker_t *w, const ts_task_report_t *r)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		if (job->row.state == TS_JOB_RUNNING &&
		    job->row.attempt == r->attempt &&
		    strcmp(job->row.id, r->id) == 0)
			return job;
	}
	return NULL;
}

/*
 * Orders the worker to stop a task that no job's row places there, or to forget
 * it if it has ended.
 */
static void
clean_up_task(worker_t *w, const ts_task_report_t *r)
{
	ts_task_order_t o = { .command = TS_TASK_STOP };

	if (r->state != TS_TASK_RUNNING)
		o.command = TS_TASK_FORGET;
	else
		w->has_orphan_tasks = true;
	g_strlcpy(o.id, r->id, sizeof(o.id));
	o.attempt = r->attempt;
	g_array_append_val(w->cleanup_orders, o);
}

/* Whether the answer reports the current attempt of the job. */
static bool
is_reported(const ts_sync_answer_t *a, const job_t *job)
{
	for (size_t i = 0; i < a->ntasks; i++)
		if (a->tasks[i].attempt == job->row.attempt &&
		    strcmp(a->tasks[i].id, job->row.id) == 0)
			return true;
	return false;
}

/*
 * Handles the task reports of an answer, and ends the attempts that the worker
 * was ordered to run but does not report.
 */
static void
handle_task_reports(ts_core_t *c, worker_t *w, const ts_sync_answer_t *a)
{
	w->has_orphan_tasks = false;
	for (size_t i = 0; i < a->ntasks; i++) {
		job_t *job = find_task(w, &a->tasks[i]);

		if (job != NULL)
			batch_handle_report(c, job, &a->tasks[i]);
		else
			clean_up_task(w, &a->tasks[i]);
	}
	/* Backwards, because ending an attempt removes it from tasks. */
	for (guint i = w->tasks->len; i-- > 0;) {
		job_t *job = w->tasks->pdata[i];

		if (job->row.state == TS_JOB_RUNNING && !job->write_pending &&
		    job->first_order_seq != 0 &&
		    a->seq >= job->first_order_seq && !is_reported(a, job))
			batch_lose_attempt(c, job,
			    job->reported_running ?
				"worker no longer reports it" :
				"worker did not start it");
	}
}

/*
 * Handles the contents of a sync answer that is neither late nor of another
 * epoch.
 */
static void
handle_answer(ts_core_t *c, worker_t *w, const ts_sync_answer_t *a)
{
	w->worker_clock_ms = a->clock_ms;
	w->answered_ms = c->now_ms;
	w->answered_seq = a->seq;
	if (!w->synced) {
		count_orphans(c, w, a);
		w->synced = true;
		w->next_sync_ms = 0;
	}
	lower_orphans(w, a);
	if (w->group->jobs_loaded && w->group->state != GROUP_RELEASING)
		handle_task_reports(c, w, a);
}

/*
 * A sync has been answered or has failed.  An answer with a higher epoch shows
 * that another entry has claimed the group.
 */
void
worker_handle_sync_end(ts_core_t *c, const ts_ev_t *ev)
{
	worker_t *w = g_hash_table_lookup(c->workers, ev->u.sync.worker);
	const ts_sync_answer_t *a = ev->u.sync.answer;

	if (w == NULL || !owner_holds_group(w->group))
		return;
	if (ev->u.sync.seq == w->sent_seq)
		w->sync_pending = false;
	if (!ev->u.sync.ok)
		return;
	if (a->epoch > w->group->row.epoch) {
		owner_handle_loss(c, w->group);
		c->next_groups_read_ms = 0;
		return;
	}
	/* Ignore answers that are late or to syncs of an earlier epoch. */
	if (a->epoch != w->group->row.epoch || a->seq <= w->answered_seq)
		return;
	/* A VM may still answer for a while after it has been replaced. */
	if (a->incarnation < w->newest_incarnation)
		return;
	worker_note_incarnation(c, w, a->incarnation);
	handle_answer(c, w, a);
	if (w->next_sync_ms <= c->now_ms) /* requested meanwhile */
		worker_request_sync(c, w);
}
