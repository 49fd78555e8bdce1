/*
 * Batch tasks of owned groups: queue, start, end, eviction and moves.  Each
 * step is first a write of the job's row, made with a check that the group is
 * still ours.  An attempt is followed by another only when it is proved to
 * have ended.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define POLL_MS	      2000 /* between reads of a group's new rows */
#define POLL_GROUP_MS 3 /* and this for each group known, to spare the table */
#define FAIL_WAIT_MS  1000 /* after a first failure; doubles */
#define FAILS_MAX     6	   /* failures before a hold, on any workers */
#define RUN_SPAN      8	   /* tasks over which run times are learned */
#define SWEEP_MS      250  /* between looks at every task */

void
batch_free(void *p)
{
	g_free(p);
}

job_t *
batch_find(const ts_core_t *c, const char *id)
{
	const char *slash = strchr(id, '/');
	g_autofree char *name = NULL;
	group_t *g;

	if (slash == NULL)
		return NULL;
	name = g_strndup(id, (gsize)(slash - id));
	g = g_hash_table_lookup(c->groups, name);
	return g == NULL ? NULL : g_hash_table_lookup(g->jobs, id);
}

const ts_job_t *
ts_core_find_job(const ts_core_t *c, const char *id)
{
	job_t *b = batch_find(c, id);

	return b == NULL ? NULL : &b->j;
}

void
ts_core_foreach_job(
    const ts_core_t *c, void (*fn)(void *, const ts_job_t *), void *ctx)
{
	GHashTableIter it, jt;
	void *g, *b;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &g)) {
		g_hash_table_iter_init(&jt, ((group_t *)g)->jobs);
		while (g_hash_table_iter_next(&jt, NULL, &b))
			fn(ctx, &((job_t *)b)->j);
	}
}

/* Keeps what a class's tasks really run, in percent of what they declared. */
static void
learn_run(job_t *b, int64_t ran_ms)
{
	int64_t now = CLAMP(ran_ms * 100 / MAX(b->j.run_ms, 1), 1, 100000);

	if (b->class->run_pct == 0)
		b->class->run_pct = now;
	else
		b->class->run_pct += (now - b->class->run_pct) / RUN_SPAN;
}

/* Latest time at which it can start and meet its deadline; urgent first. */
static int64_t
latest_start(const ts_core_t *c, const job_t *b)
{
	const ts_job_t *j = &b->j;
	int64_t pct = c->o.no_learning || b->class->run_pct == 0 ?
	    100 :
	    b->class->run_pct;

	if (j->urgent)
		return j->submitted_ms - (INT64_C(1) << 50);
	return j->deadline_ms - MAX(j->run_ms * pct / 100 - j->progress_ms, 0);
}

static int
by_latest_start(const void *a, const void *b, void *ctx)
{
	const job_t *x = a, *y = b;

	(void)ctx;
	if (x->latest_ms != y->latest_ms)
		return x->latest_ms < y->latest_ms ? -1 : 1;
	return strcmp(x->j.id, y->j.id);
}

/* What a team's tasks hold on workers of ours. */
static void
team_add(ts_core_t *c, const char *team, int64_t cpu_milli)
{
	int64_t *used = g_hash_table_lookup(c->teams, team);

	if (used == NULL) {
		used = g_new0(int64_t, 1);
		g_hash_table_insert(c->teams, (void *)team, used);
	}
	*used += cpu_milli;
}

void
batch_attach(ts_core_t *c, job_t *b, worker_t *w)
{
	b->worker = w;
	b->share_pct = 100;
	ts_res_add(&w->batch, &b->j.size);
	g_ptr_array_add(w->tasks, b);
	team_add(c, b->j.team, b->j.size.cpu_milli);
}

static void
detach(ts_core_t *c, job_t *b)
{
	if (b->worker == NULL)
		return;
	ts_res_sub(&b->worker->batch, &b->j.size);
	g_ptr_array_remove_fast(b->worker->tasks, b);
	team_add(c, b->j.team, -b->j.size.cpu_milli);
	b->worker = NULL;
}

/* Work that can no longer be in time waits behind all that can. */
void
batch_enqueue(ts_core_t *c, job_t *b)
{
	GSequence *q;

	if (b->it != NULL)
		return;
	b->latest_ms = latest_start(c, b);
	q = b->j.urgent || b->latest_ms >= c->now || c->o.no_learning ?
	    b->group->queue :
	    b->group->late;
	b->it = g_sequence_insert_sorted(q, b, by_latest_start, NULL);
	b->group->queued_cpu_milli += b->j.size.cpu_milli;
}

void
batch_dequeue(job_t *b)
{
	if (b->it == NULL)
		return;
	g_sequence_remove(b->it);
	b->it = NULL;
	b->group->queued_cpu_milli -= b->j.size.cpu_milli;
}

static void
drop(ts_core_t *c, job_t *b)
{
	detach(c, b);
	batch_dequeue(b);
	g_hash_table_remove(b->group->jobs, b->j.id);
}

/* Cancels a queued job, or has the worker stop a running one. */
static void
apply_cancel(ts_core_t *c, job_t *b)
{
	ts_job_t next = b->j;

	if (b->j.state != TS_JOB_QUEUED) {
		if (b->worker != NULL)
			worker_hurry(c, b->worker);
		return;
	}
	next.state = TS_JOB_CANCELLED;
	batch_write_job(c, b, &next);
}

/* Brings queue and ledger in line with the row just read or written. */
static void
apply(ts_core_t *c, job_t *b)
{
	worker_t *w;

	switch (b->j.state) {
	case TS_JOB_QUEUED:
		detach(c, b);
		b->seen = b->evict = false;
		b->order_seq = 0;
		b->start_by_ms = 0;
		batch_enqueue(c, b);
		break;
	case TS_JOB_RUNNING:
		batch_dequeue(b);
		if (b->worker != NULL)
			break;
		w = b->j.worker == NULL ?
		    NULL :
		    g_hash_table_lookup(c->workers, b->j.worker);
		if (w != NULL)
			worker_renewed(c, w, b->j.worker_incarnation);
		if (w != NULL && w->group == b->group &&
		    w->vm_now == b->j.worker_incarnation) {
			batch_attach(c, b, w);
			worker_hurry(c, w);
		} else if (w != NULL && w->vm_now > b->j.worker_incarnation)
			batch_gone(c, b, "worker replaced");
		else
			b->lease_end_ms =
			    c->now + c->o.lease_ms + c->o.lease_margin_ms;
		break;
	default:
		drop(c, b);
		return;
	}
	if (b->j.cancel_requested && !b->txn)
		apply_cancel(c, b);
}

/* The owner of the group it moved to reads the row at once. */
static void
tell_moved(ts_core_t *c, const ts_job_t *j)
{
	g_autofree char *key = g_strconcat(JOB_PREFIX, j->moved_to, NULL);
	g_autofree char *name =
	    g_strndup(j->moved_to, strcspn(j->moved_to, "/"));
	group_t *g = owner_group(c, name, NULL);
	peer_t *p = member_owner(c, g);
	ts_msg_t m = { .kind = TS_MSG_JOB_CHANGED };

	COUNT(c, TS_C_JOB_MOVED);
	emit_event(c, TS_LOG_JOB_MOVED, j->id, j->moved_to, 0);
	m.key = key;
	if (owner_holds(g))
		batch_read_key(c, key);
	else if (p != NULL)
		member_send(c, p->name, &m, 0);
}

static void
written(ts_core_t *c, item_t *it, item_result_t r)
{
	group_t *g = it->arg;
	const ts_row_t *row = &g_array_index(it->rows, ts_txn_row_t, 1).row;
	job_t *b = g_hash_table_lookup(g->jobs, row->u.job.id);

	g->pending--;
	if (r == ITEM_CONFLICT && it->conflict == 0) {
		owner_lost(c, g);
		c->groups_next_ms = 0;
		return;
	}
	/* The group may have been lost, and even regained, meanwhile. */
	if (b == NULL || !b->txn || b->version != row->version)
		return;
	b->txn = false;
	if (b->reread || r == ITEM_CONFLICT)
		batch_read_key(c, row->key);
	b->reread = false;
	if (r == ITEM_CONFLICT) {
		if (b->j.state == TS_JOB_QUEUED)
			detach(c, b);
		return;
	}
	b->version = it->version;
	if (row->u.job.state == TS_JOB_MOVED)
		tell_moved(c, &row->u.job);
	if (b->j.state == TS_JOB_QUEUED && row->u.job.state == TS_JOB_RUNNING) {
		COUNT(c, TS_C_TASK_STARTED);
		emit_event(c, TS_LOG_JOB_STARTED, row->u.job.id,
		    row->u.job.worker, row->u.job.attempt);
		b->j = row->u.job;
		batch_dequeue(b);
		if (b->worker == NULL) /* it went meanwhile */
			batch_gone(c, b, "worker gone");
		else
			worker_hurry(c, b->worker);
	} else {
		b->j = row->u.job;
		apply(c, b);
		return;
	}
	if (b->j.cancel_requested && !b->txn)
		apply_cancel(c, b);
}

item_t *
batch_job_item(job_t *b, const ts_job_t *next)
{
	group_t *g = b->group;
	g_autofree char *gkey = g_strconcat("group/", g->name, NULL);
	g_autofree char *jkey = g_strconcat(JOB_PREFIX, b->j.id, NULL);
	item_t *it = item_new(written, g);

	item_add(it, TS_ROW_GROUP, gkey, g->version, false);
	item_add(it, TS_ROW_JOB, jkey, b->version, true)->u.job = *next;
	b->txn = true;
	g->pending++;
	return it;
}

void
batch_write_job(ts_core_t *c, job_t *b, const ts_job_t *next)
{
	item_submit(c, batch_job_item(b, next));
}

/* Writes that the attempt ended and the job waits again. */
static void
requeue(ts_core_t *c, job_t *b, const ts_job_t *next)
{
	ts_job_t n = *next;

	n.state = n.cancel_requested ? TS_JOB_CANCELLED : TS_JOB_QUEUED;
	n.worker = NULL;
	n.worker_incarnation = 0;
	batch_write_job(c, b, &n);
}

void
batch_gone(ts_core_t *c, job_t *b, const char *why)
{
	detach(c, b);
	if (b->txn || b->j.state != TS_JOB_RUNNING)
		return;
	COUNT(c, TS_C_TASK_LOST);
	emit_event(c, TS_LOG_JOB_LOST, b->j.id, why, b->j.attempt);
	requeue(c, b, &b->j);
}

void
batch_evict(ts_core_t *c, job_t *b)
{
	(void)c;
	if (b->evict || b->j.state != TS_JOB_RUNNING || b->worker == NULL)
		return;
	b->evict = true;
	worker_hurry(c, b->worker);
}

static void
blame_worker(ts_core_t *c, worker_t *w, const char *id)
{
	const char *job = g_intern_string(id);

	if (!g_ptr_array_find(w->failed, job, NULL))
		g_ptr_array_add(w->failed, (void *)job);
	if (w->failed->len < QUARANTINE_FAILS)
		return;
	/* Afterwards one more failure suffices: the next task is a probe. */
	g_ptr_array_set_size(w->failed, QUARANTINE_FAILS - 1);
	w->quarantine_ms = c->now + QUARANTINE_MS;
	COUNT(c, TS_C_QUARANTINE);
	emit_event(c, TS_LOG_WORKER_QUARANTINED, w->vm.name, "", QUARANTINE_MS);
}

/* Distinct workers that failed the job, this one included. */
static int
blame_job(ts_job_t *j, const char *worker)
{
	int n = 0;

	while (n < HELD_FAILS && j->failed_on[n] != NULL &&
	    j->failed_on[n] != worker)
		n++;
	if (n < HELD_FAILS)
		j->failed_on[n] = worker;
	for (n = 0; n < HELD_FAILS && j->failed_on[n] != NULL; n++)
		continue;
	return n;
}

static void
failed(ts_core_t *c, job_t *b)
{
	ts_job_t next = b->j;
	int distinct = blame_job(&next, b->worker->vm.name);

	COUNT(c, TS_C_TASK_FAILED);
	blame_worker(c, b->worker, b->j.id);
	next.failures++;
	b->wait_ms = c->now + ((int64_t)FAIL_WAIT_MS << MIN(next.failures, 6));
	if (distinct < HELD_FAILS && next.failures < FAILS_MAX) {
		requeue(c, b, &next);
		return;
	}
	COUNT(c, TS_C_JOB_HELD);
	emit_event(c, TS_LOG_JOB_HELD, b->j.id, "", next.failures);
	next.state = TS_JOB_HELD;
	batch_write_job(c, b, &next);
}

static void
done(ts_core_t *c, job_t *b, const ts_task_report_t *r)
{
	ts_job_t next = b->j;

	COUNT(c, TS_C_TASK_DONE);
	learn_run(b, r->progress_ms);
	emit_event(c, TS_LOG_JOB_ENDED, b->j.id, "done", b->j.attempt);
	g_ptr_array_set_size(b->worker->failed, 0);
	next.state = TS_JOB_DONE;
	batch_write_job(c, b, &next);
}

static void
saved(ts_core_t *c, job_t *b, const ts_task_report_t *r)
{
	ts_job_t next = b->j;

	COUNT(c, TS_C_TASK_EVICTED);
	emit_event(
	    c, TS_LOG_JOB_EVICTED, b->j.id, b->worker->vm.name, r->progress_ms);
	next.progress_ms = r->progress_ms;
	next.evictions++;
	requeue(c, b, &next);
}

void
batch_report(ts_core_t *c, job_t *b, const ts_task_report_t *r)
{
	if (b->txn)
		return;
	switch (r->state) {
	case TS_TASK_RUNNING:
		b->seen = true;
		b->used_cpu_milli = r->used_cpu_milli;
		break;
	case TS_TASK_DONE:
		done(c, b, r);
		break;
	case TS_TASK_FAILED:
		failed(c, b);
		break;
	case TS_TASK_STOPPED:
		if (!b->j.cancel_requested) {
			COUNT(c, TS_C_TASK_LOST);
			emit_event(c, TS_LOG_JOB_LOST, b->j.id, "lease lapsed",
			    b->j.attempt);
		}
		requeue(c, b, &b->j);
		break;
	case TS_TASK_CHECKPOINTED:
		saved(c, b, r);
		break;
	}
}

static void
take_row(ts_core_t *c, group_t *g, const ts_row_t *row)
{
	job_t *b = g_hash_table_lookup(g->jobs, row->u.job.id);

	if (row->kind != TS_ROW_JOB)
		return;
	if (b == NULL) {
		if (row->u.job.state != TS_JOB_QUEUED &&
		    row->u.job.state != TS_JOB_RUNNING)
			return;
		b = g_new0(job_t, 1);
		b->group = g;
		b->j = row->u.job;
		b->class = coloc_class(c, b->j.class);
		b->version = row->version;
		b->here_ms = c->now;
		g_hash_table_insert(g->jobs, b->j.id, b);
		apply(c, b);
		return;
	}
	if (b->txn)
		b->reread = true; /* its write's outcome comes first */
	if (b->txn || row->version <= b->version)
		return;
	/* The ledger goes by the size that was attached. */
	detach(c, b);
	batch_dequeue(b);
	b->j = row->u.job;
	b->version = row->version;
	apply(c, b);
}

static void
rows_read(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	group_t *g = r->arg;
	bool first = !g->loaded;

	g->reading = false;
	/* An answer to a read from before the claim may be too old. */
	if (!ok || !owner_holds(g) || r->num != (uint64_t)g->row.epoch) {
		g->read_next_ms = c->now + (first ? 200 : POLL_MS);
		return;
	}
	g->loaded = true;
	for (size_t i = 0; i < n; i++) {
		g->jobs_seen = MAX(g->jobs_seen, rows[i].version);
		take_row(c, g, &rows[i]);
	}
	for (guint i = 0; first && i < g->workers->len; i++)
		worker_hurry(c, g->workers->pdata[i]);
}

void
batch_load(ts_core_t *c, group_t *g)
{
	g_autofree char *prefix = g_strconcat(JOB_PREFIX, g->name, "/", NULL);

	g->reading = true;
	g->read_next_ms =
	    c->now + MAX(POLL_MS, (int64_t)c->group_list->len * POLL_GROUP_MS);
	read_start(c, prefix, g->jobs_seen, rows_read, g)->num =
	    (uint64_t)g->row.epoch;
}

static void
key_read(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	group_t *g = r->arg;

	if (!ok || !owner_holds(g) || !g->loaded) {
		g->jobs_seen = 0; /* the next poll reads all again */
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (strcmp(rows[i].key, r->key) == 0)
			take_row(c, g, &rows[i]);
}

void
batch_read_key(ts_core_t *c, const char *key)
{
	g_autofree char *name = NULL;
	const char *slash;
	group_t *g;

	if (!g_str_has_prefix(key, JOB_PREFIX) ||
	    (slash = strchr(key + strlen(JOB_PREFIX), '/')) == NULL) {
		COUNT(c, TS_C_BAD_INPUT);
		return;
	}
	name = g_strndup(key + strlen(JOB_PREFIX),
	    (gsize)(slash - key) - strlen(JOB_PREFIX));
	g = g_hash_table_lookup(c->groups, name);
	if (g != NULL && owner_holds(g))
		read_start(c, key, 0, key_read, g);
}

void
batch_forget(ts_core_t *c, group_t *g)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, g->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		detach(c, v);
		batch_dequeue(v);
	}
	g_hash_table_remove_all(g->jobs);
	g->loaded = false;
	g->reading = false;
	g->jobs_seen = 0;
}

/* Clears workers that are leaving or whose zone is out. */
static void
clear_out(ts_core_t *c, group_t *g)
{
	for (guint i = 0; i < g->workers->len; i++) {
		worker_t *w = g->workers->pdata[i];

		if (c->conf == NULL || (!w->vm.leaving && !w->zone_out))
			continue;
		for (guint k = 0; k < w->tasks->len; k++)
			batch_evict(c, w->tasks->pdata[k]);
	}
}

/* Our clock when the worker must have stopped what it was last ordered. */
static int64_t
lease_end(const ts_core_t *c, const job_t *b)
{
	int64_t from;

	if (b->worker == NULL)
		return b->lease_end_ms;
	from = MAX(b->worker->heard_ms, b->group->owned_ms);
	return from + c->o.lease_ms + c->o.lease_margin_ms;
}

static void
lapse(ts_core_t *c, group_t *g)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, g->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		job_t *b = v;

		if (b->j.state == TS_JOB_RUNNING && !b->txn &&
		    c->now > lease_end(c, b))
			batch_gone(c, b, "lease lapsed unheard");
	}
}

void
batch_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		group_t *g = v;

		if (!owner_holds(g))
			continue;
		if (!g->reading && c->now >= g->read_next_ms)
			batch_load(c, g);
		if (!g->loaded || g->state == GROUP_RELEASING)
			continue;
		if (c->now >= g->sweep_next_ms) {
			g->sweep_next_ms = c->now + SWEEP_MS;
			clear_out(c, g);
			lapse(c, g);
		}
		if (!owner_active(g) ||
		    (g_sequence_is_empty(g->queue) &&
			g_sequence_is_empty(g->late)))
			continue;
		if (!conf_fresh(c)) {
			COUNT(c, TS_C_START_WAIT_CONF);
			continue;
		}
		if (c->store_bad_ms == 0)
			start_queue(c, g);
	}
}
