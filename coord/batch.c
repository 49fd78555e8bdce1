/*
 * Batch jobs of the groups that this entry owns: reading their rows, queueing,
 * results, eviction, cancellation and lease expiry; start.c places them.  Each
 * change of state is first written to the job's row, in a transaction that
 * checks that the group is still ours.  An attempt is followed by another only
 * when it is proved to have ended.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

/*
 * Interval between reads of a group's changed rows: the larger of a constant
 * and an amount for each group of the system, which limits the store's load.
 */
#define JOBS_POLL_MS	       2000
#define JOBS_POLL_PER_GROUP_MS 3
#define FIRST_READ_RETRY_MS    200  /* if the first read after a claim failed */
#define FAILURE_BACKOFF_MS     1000 /* doubled by each failure: 2 s, 4 s, ... */
#define HOLD_FAILURES	       6    /* failures before a hold, on any workers */
#define RUN_TIME_SPAN	       8 /* tasks that the average of run times spans */
#define SWEEP_INTERVAL_MS      250 /* between checks of all tasks of a group */

/* Frees a job; for the hash table of a group's jobs. */
void
batch_free_job(void *p)
{
	g_free(p);
}

/*
 * The job with this id, if its group is ours and its jobs have been read, or
 * NULL.
 */
job_t *
batch_find_job(const ts_core_t *c, const char *id)
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
	job_t *job = batch_find_job(c, id);

	return job == NULL ? NULL : &job->row;
}

void
ts_core_foreach_job(
    const ts_core_t *c, void (*fn)(void *, const ts_job_t *), void *ctx)
{
	GHashTableIter it, jt;
	void *g, *job;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &g)) {
		g_hash_table_iter_init(&jt, ((group_t *)g)->jobs);
		while (g_hash_table_iter_next(&jt, NULL, &job))
			fn(ctx, &((job_t *)job)->row);
	}
}

/*
 * Averages into the job's class how long its tasks really run, in percent of
 * the declared run time.
 */
static void
learn_run_time(job_t *job, int64_t ran_ms)
{
	int64_t pct = CLAMP(ran_ms * 100 / MAX(job->row.run_ms, 1), 1, 100000);

	if (job->class->run_pct == 0)
		job->class->run_pct = pct;
	else
		job->class->run_pct +=
		    (pct - job->class->run_pct) / RUN_TIME_SPAN;
}

/*
 * The latest time at which the job can start and still meet its deadline, by
 * the run time learned for its class.  Urgent jobs sort before all others, by
 * submission.
 */
static int64_t
latest_start(const ts_core_t *c, const job_t *job)
{
	const ts_job_t *j = &job->row;
	int64_t pct = c->opts.no_learning || job->class->run_pct == 0 ?
	    100 :
	    job->class->run_pct;

	if (j->urgent)
		return j->submitted_ms - (INT64_C(1) << 50);
	return j->deadline_ms - MAX(j->run_ms * pct / 100 - j->progress_ms, 0);
}

static int
compare_latest_start(const void *a, const void *b, void *ctx)
{
	const job_t *x = a, *y = b;

	(void)ctx;
	if (x->latest_start_ms != y->latest_start_ms)
		return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
	return strcmp(x->row.id, y->row.id);
}

/* Adds to the processor thousandths that a team's tasks hold on our workers. */
static void
add_team_usage(ts_core_t *c, const char *team, int64_t cpu_milli)
{
	int64_t *used = g_hash_table_lookup(c->team_cpu_milli, team);

	if (used == NULL) {
		used = g_new0(int64_t, 1);
		g_hash_table_insert(c->team_cpu_milli, (void *)team, used);
	}
	*used += cpu_milli;
}

/*
 * Reserves the job's resources on a worker: just before its start is written,
 * or when a running job is taken over.
 */
void
batch_reserve(ts_core_t *c, job_t *job, worker_t *w)
{
	job->worker = w;
	job->share_pct = 100;
	ts_res_add(&w->batch_used, &job->row.size);
	g_ptr_array_add(w->tasks, job);
	add_team_usage(c, job->row.team, job->row.size.cpu_milli);
}

/* Gives back the resources reserved for the job, if any. */
static void
unreserve(ts_core_t *c, job_t *job)
{
	if (job->worker == NULL)
		return;
	ts_res_sub(&job->worker->batch_used, &job->row.size);
	g_ptr_array_remove_fast(job->worker->tasks, job);
	add_team_usage(c, job->row.team, -job->row.size.cpu_milli);
	job->worker = NULL;
}

/*
 * Queues a job by its latest start.  Jobs that can no longer meet their
 * deadline wait in a queue of their own, behind all others.
 */
void
batch_enqueue(ts_core_t *c, job_t *job)
{
	GSequence *q;

	if (job->queue_pos != NULL)
		return;
	job->latest_start_ms = latest_start(c, job);
	q = job->row.urgent || job->latest_start_ms >= c->now_ms ||
		c->opts.no_learning ?
	    job->group->queue :
	    job->group->late_queue;
	job->queue_pos =
	    g_sequence_insert_sorted(q, job, compare_latest_start, NULL);
	job->group->queued_cpu_milli += job->row.size.cpu_milli;
}

/* Removes the job from its queue, if it is in one. */
void
batch_dequeue(job_t *job)
{
	if (job->queue_pos == NULL)
		return;
	g_sequence_remove(job->queue_pos);
	job->queue_pos = NULL;
	job->group->queued_cpu_milli -= job->row.size.cpu_milli;
}

/* Forgets a job that has ended or moved, and frees it. */
static void
drop_job(ts_core_t *c, job_t *job)
{
	unreserve(c, job);
	batch_dequeue(job);
	g_hash_table_remove(job->group->jobs, job->row.id);
}

/*
 * Carries out a requested cancel: ends a job that is queued, or makes the next
 * sync stop the task of one that runs.
 */
static void
cancel_job(ts_core_t *c, job_t *job)
{
	ts_job_t next = job->row;

	if (job->row.state != TS_JOB_QUEUED) {
		if (job->worker != NULL)
			worker_request_sync(c, job->worker);
		return;
	}
	next.state = TS_JOB_CANCELLED;
	batch_write_job(c, job, &next);
}

/*
 * Brings queue and reservations in line with a job's row, which has just been
 * read or written.  Frees the job if it has ended or moved.
 */
static void
apply_job_row(ts_core_t *c, job_t *job)
{
	worker_t *w;

	switch (job->row.state) {
	case TS_JOB_QUEUED:
		unreserve(c, job);
		job->reported_running = job->evict_requested = false;
		job->first_order_seq = 0;
		job->start_by_ms = 0;
		batch_enqueue(c, job);
		break;
	case TS_JOB_RUNNING:
		batch_dequeue(job);
		if (job->worker != NULL)
			break;
		w = job->row.worker == NULL ?
		    NULL :
		    g_hash_table_lookup(c->workers, job->row.worker);
		if (w != NULL)
			worker_note_incarnation(
			    c, w, job->row.worker_incarnation);
		if (w != NULL && w->group == job->group &&
		    w->newest_incarnation == job->row.worker_incarnation) {
			batch_reserve(c, job, w);
			worker_request_sync(c, w);
		} else if (w != NULL &&
		    w->newest_incarnation > job->row.worker_incarnation)
			batch_lose_attempt(c, job, "worker VM was replaced");
		else
			job->lease_end_ms = c->now_ms + c->opts.lease_ms +
			    c->opts.lease_margin_ms;
		break;
	default:
		drop_job(c, job);
		return;
	}
	if (job->row.cancel_requested && !job->write_pending)
		cancel_job(c, job);
}

/*
 * Counts a job as moved to another group and makes the owner of that group,
 * which may be us, read the new row at once.
 */
static void
notify_new_group(ts_core_t *c, const ts_job_t *j)
{
	g_autofree char *key = g_strconcat(JOB_PREFIX, j->moved_to, NULL);
	g_autofree char *name =
	    g_strndup(j->moved_to, strcspn(j->moved_to, "/"));
	group_t *g = owner_get_group(c, name, NULL);
	peer_t *p = member_owner_peer(c, g);
	ts_msg_t m = { .kind = TS_MSG_JOB_CHANGED };

	COUNT(c, TS_C_JOB_MOVED);
	emit_log(c, TS_LOG_JOB_MOVED, j->id, j->moved_to, 0);
	m.key = key;
	if (owner_holds_group(g))
		batch_read_job_row(c, key);
	else if (p != NULL)
		member_send(c, p->name, &m, 0);
}

/*
 * The write of a job's row has ended.  A conflict on the first row means that
 * the group is no longer ours; one on another row that the job's row has
 * changed, so it is read again.
 */
static void
job_written(ts_core_t *c, update_t *u, update_result_t r)
{
	group_t *g = u->arg;
	const ts_row_t *row = &g_array_index(u->rows, ts_txn_row_t, 1).row;
	job_t *job = g_hash_table_lookup(g->jobs, row->u.job.id);

	g->pending_writes--;
	if (r == UPDATE_CONFLICT && u->conflict_index == 0) {
		owner_handle_loss(c, g);
		c->next_groups_read_ms = 0;
		return;
	}
	/* The group may have been lost, and even claimed again, meanwhile. */
	if (job == NULL || !job->write_pending ||
	    job->row_version != row->version)
		return;
	job->write_pending = false;
	if (job->reread_after_write || r == UPDATE_CONFLICT)
		batch_read_job_row(c, row->key);
	job->reread_after_write = false;
	if (r == UPDATE_CONFLICT) {
		if (job->row.state == TS_JOB_QUEUED)
			unreserve(c, job);
		return;
	}
	job->row_version = u->version;
	if (row->u.job.state == TS_JOB_MOVED)
		notify_new_group(c, &row->u.job);
	if (job->row.state == TS_JOB_QUEUED &&
	    row->u.job.state == TS_JOB_RUNNING) {
		COUNT(c, TS_C_TASK_STARTED);
		emit_log(c, TS_LOG_JOB_STARTED, row->u.job.id,
		    row->u.job.worker, row->u.job.attempt);
		job->row = row->u.job;
		batch_dequeue(job);
		if (job->worker == NULL) /* was removed meanwhile */
			batch_lose_attempt(c, job, "worker VM is gone");
		else
			worker_request_sync(c, job->worker);
	} else {
		job->row = row->u.job;
		apply_job_row(c, job);
		return;
	}
	if (job->row.cancel_requested && !job->write_pending)
		cancel_job(c, job);
}

/*
 * An update that writes next to the job's row, provided that the group is still
 * ours.  The caller may add rows and must submit it.
 */
update_t *
batch_job_update(job_t *job, const ts_job_t *next)
{
	group_t *g = job->group;
	g_autofree char *gkey = g_strconcat("group/", g->name, NULL);
	g_autofree char *jkey = g_strconcat(JOB_PREFIX, job->row.id, NULL);
	update_t *u = update_new(job_written, g);

	update_add_row(u, TS_ROW_GROUP, gkey, g->row_version, false);
	update_add_row(u, TS_ROW_JOB, jkey, job->row_version, true)->u.job =
	    *next;
	job->write_pending = true;
	g->pending_writes++;
	return u;
}

/* Writes next to the job's row. */
void
batch_write_job(ts_core_t *c, job_t *job, const ts_job_t *next)
{
	update_submit(c, batch_job_update(job, next));
}

/*
 * Writes that the attempt has ended: the job is queued again, or cancelled if
 * that was requested.
 */
static void
requeue(ts_core_t *c, job_t *job, const ts_job_t *next)
{
	ts_job_t n = *next;

	n.state = n.cancel_requested ? TS_JOB_CANCELLED : TS_JOB_QUEUED;
	n.worker = NULL;
	n.worker_incarnation = 0;
	batch_write_job(c, job, &n);
}

/*
 * The attempt is proved to have ended without a result; why goes to the log.
 * Gives back its resources and queues the job again.  While a write of the row
 * is pending, only gives them back: job_written() handles the rest.
 */
void
batch_lose_attempt(ts_core_t *c, job_t *job, const char *why)
{
	unreserve(c, job);
	if (job->write_pending || job->row.state != TS_JOB_RUNNING)
		return;
	COUNT(c, TS_C_TASK_LOST);
	emit_log(c, TS_LOG_JOB_LOST, job->row.id, why, job->row.attempt);
	requeue(c, job, &job->row);
}

/* Makes the next sync order the worker to checkpoint and stop the task. */
void
batch_request_eviction(ts_core_t *c, job_t *job)
{
	(void)c;
	if (job->evict_requested || job->row.state != TS_JOB_RUNNING ||
	    job->worker == NULL)
		return;
	job->evict_requested = true;
	worker_request_sync(c, job->worker);
}

/*
 * Counts a failed job against the worker, and quarantines the worker when
 * several distinct jobs have failed there.
 */
static void
count_worker_failure(ts_core_t *c, worker_t *w, const char *id)
{
	const char *job_id = g_intern_string(id);

	if (!g_ptr_array_find(w->failed_jobs, job_id, NULL))
		g_ptr_array_add(w->failed_jobs, (void *)job_id);
	if (w->failed_jobs->len < QUARANTINE_FAILED_JOBS)
		return;
	/*
	 * The first task after the quarantine is a probe: if its job fails,
	 * the next quarantine begins.
	 */
	g_ptr_array_set_size(w->failed_jobs, QUARANTINE_FAILED_JOBS - 1);
	w->quarantined_until_ms = c->now_ms + QUARANTINE_MS;
	COUNT(c, TS_C_QUARANTINE);
	emit_log(c, TS_LOG_WORKER_QUARANTINED, w->vm.name, "", QUARANTINE_MS);
}

/*
 * Adds a worker to the list of those on which the job has failed; returns how
 * many distinct workers that are.
 */
static int
add_failed_worker(ts_job_t *j, const char *worker)
{
	int n = 0;

	while (n < HOLD_FAILED_WORKERS && j->failed_on[n] != NULL &&
	    j->failed_on[n] != worker)
		n++;
	if (n < HOLD_FAILED_WORKERS)
		j->failed_on[n] = worker;
	for (n = 0; n < HOLD_FAILED_WORKERS && j->failed_on[n] != NULL; n++)
		continue;
	return n;
}

/*
 * A task has failed: queues the job again, with a back-off, or holds it if it
 * has failed on HOLD_FAILED_WORKERS workers or HOLD_FAILURES times.
 */
static void
task_failed(ts_core_t *c, job_t *job)
{
	ts_job_t next = job->row;
	int distinct = add_failed_worker(&next, job->worker->vm.name);

	COUNT(c, TS_C_TASK_FAILED);
	count_worker_failure(c, job->worker, job->row.id);
	next.failures++;
	job->not_before_ms =
	    c->now_ms + ((int64_t)FAILURE_BACKOFF_MS << MIN(next.failures, 6));
	if (distinct < HOLD_FAILED_WORKERS && next.failures < HOLD_FAILURES) {
		requeue(c, job, &next);
		return;
	}
	COUNT(c, TS_C_JOB_HELD);
	emit_log(c, TS_LOG_JOB_HELD, job->row.id, "", next.failures);
	next.state = TS_JOB_HELD;
	batch_write_job(c, job, &next);
}

/* A task has completed. */
static void
task_done(ts_core_t *c, job_t *job, const ts_task_report_t *r)
{
	ts_job_t next = job->row;

	COUNT(c, TS_C_TASK_DONE);
	learn_run_time(job, r->progress_ms);
	emit_log(c, TS_LOG_JOB_ENDED, job->row.id, "done", job->row.attempt);
	g_ptr_array_set_size(job->worker->failed_jobs, 0);
	next.state = TS_JOB_DONE;
	batch_write_job(c, job, &next);
}

/*
 * A task has been checkpointed and stopped by an eviction: queues the job again
 * with the progress saved.
 */
static void
task_evicted(ts_core_t *c, job_t *job, const ts_task_report_t *r)
{
	ts_job_t next = job->row;

	COUNT(c, TS_C_TASK_EVICTED);
	emit_log(c, TS_LOG_JOB_EVICTED, job->row.id, job->worker->vm.name,
	    r->progress_ms);
	next.progress_ms = r->progress_ms;
	next.evictions++;
	requeue(c, job, &next);
}

/*
 * A worker reports the state of a job's task.  While a write of the job's row
 * is pending the report is ignored; the worker repeats it.
 */
void
batch_handle_report(ts_core_t *c, job_t *job, const ts_task_report_t *r)
{
	if (job->write_pending)
		return;
	switch (r->state) {
	case TS_TASK_RUNNING:
		job->reported_running = true;
		job->used_cpu_milli = r->used_cpu_milli;
		break;
	case TS_TASK_DONE:
		task_done(c, job, r);
		break;
	case TS_TASK_FAILED:
		task_failed(c, job);
		break;
	case TS_TASK_STOPPED:
		if (!job->row.cancel_requested) {
			COUNT(c, TS_C_TASK_LOST);
			emit_log(c, TS_LOG_JOB_LOST, job->row.id,
			    "lease expired, worker stopped it",
			    job->row.attempt);
		}
		requeue(c, job, &job->row);
		break;
	case TS_TASK_CHECKPOINTED:
		task_evicted(c, job, r);
		break;
	}
}

/*
 * Applies a job's row that has been read, if it is newer than the one known.
 * While a write of the row is pending, the row is left, and read again once the
 * result of the write is known.
 */
static void
merge_job_row(ts_core_t *c, group_t *g, const ts_row_t *row)
{
	job_t *job = g_hash_table_lookup(g->jobs, row->u.job.id);

	if (row->kind != TS_ROW_JOB)
		return;
	if (job == NULL) {
		if (row->u.job.state != TS_JOB_QUEUED &&
		    row->u.job.state != TS_JOB_RUNNING)
			return;
		job = g_new0(job_t, 1);
		job->group = g;
		job->row = row->u.job;
		job->class = coloc_get_class(c, job->row.class);
		job->row_version = row->version;
		job->first_seen_ms = c->now_ms;
		g_hash_table_insert(g->jobs, job->row.id, job);
		apply_job_row(c, job);
		return;
	}
	if (job->write_pending)
		job->reread_after_write = true;
	if (job->write_pending || row->version <= job->row_version)
		return;
	/* Give back what was reserved before the size may change. */
	unreserve(c, job);
	batch_dequeue(job);
	job->row = row->u.job;
	job->row_version = row->version;
	apply_job_row(c, job);
}

/* The rows of a group's jobs that changed since the last read have arrived. */
static void
job_rows_read(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	group_t *g = r->arg;
	bool first = !g->jobs_loaded;

	g->read_pending = false;
	/* A read that was sent before the last claim may be out of date. */
	if (!ok || !owner_holds_group(g) || r->tag != (uint64_t)g->row.epoch) {
		g->next_read_ms =
		    c->now_ms + (first ? FIRST_READ_RETRY_MS : JOBS_POLL_MS);
		return;
	}
	g->jobs_loaded = true;
	for (size_t i = 0; i < n; i++) {
		g->jobs_version = MAX(g->jobs_version, rows[i].version);
		merge_job_row(c, g, &rows[i]);
	}
	for (guint i = 0; first && i < g->workers->len; i++)
		worker_request_sync(c, g->workers->pdata[i]);
}

/*
 * Reads the rows of a group's jobs that changed since the last read; the first
 * read after a claim returns all.  The read's tag is the epoch, to recognise
 * late answers.
 */
void
batch_read_jobs(ts_core_t *c, group_t *g)
{
	g_autofree char *prefix = g_strconcat(JOB_PREFIX, g->name, "/", NULL);

	g->read_pending = true;
	g->next_read_ms = c->now_ms +
	    MAX(JOBS_POLL_MS,
		(int64_t)c->group_list->len * JOBS_POLL_PER_GROUP_MS);
	read_start(c, prefix, g->jobs_version, job_rows_read, g)->tag =
	    (uint64_t)g->row.epoch;
}

/* A single job's row has been read. */
static void
job_row_read(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	group_t *g = r->arg;

	if (!ok || !owner_holds_group(g) || !g->jobs_loaded) {
		g->jobs_version = 0; /* makes the next poll read all rows */
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (strcmp(rows[i].key, r->prefix) == 0)
			merge_job_row(c, g, &rows[i]);
}

/*
 * Reads a job's row, if its group is ours: a peer has changed it, or a write of
 * ours has met a conflict.
 */
void
batch_read_job_row(ts_core_t *c, const char *key)
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
	if (g != NULL && owner_holds_group(g))
		read_start(c, key, 0, job_row_read, g);
}

/* Forgets the jobs of a group that is no longer ours; the rows stay. */
void
batch_drop_jobs(ts_core_t *c, group_t *g)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, g->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		unreserve(c, v);
		batch_dequeue(v);
	}
	g_hash_table_remove_all(g->jobs);
	g->jobs_loaded = false;
	g->read_pending = false;
	g->jobs_version = 0;
}

/*
 * Evicts all tasks from workers that are leaving or whose zone is out of
 * service.
 */
static void
evict_from_unavailable(ts_core_t *c, group_t *g)
{
	for (guint i = 0; i < g->workers->len; i++) {
		worker_t *w = g->workers->pdata[i];

		if (c->conf == NULL || (!w->vm.leaving && !w->zone_is_out))
			continue;
		for (guint k = 0; k < w->tasks->len; k++)
			batch_request_eviction(c, w->tasks->pdata[k]);
	}
}

/*
 * Our clock when the worker's agent must have stopped the task if it hears from
 * us no more: a lease and a margin after its last answer, or after our claim if
 * that is later.
 */
static int64_t
lease_end(const ts_core_t *c, const job_t *job)
{
	int64_t from;

	if (job->worker == NULL)
		return job->lease_end_ms;
	from = MAX(job->worker->answered_ms, job->group->owned_since_ms);
	return from + c->opts.lease_ms + c->opts.lease_margin_ms;
}

/* Ends the attempts of running jobs whose lease has expired. */
static void
expire_leases(ts_core_t *c, group_t *g)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, g->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		job_t *job = v;

		if (job->row.state == TS_JOB_RUNNING && !job->write_pending &&
		    c->now_ms > lease_end(c, job))
			batch_lose_attempt(
			    c, job, "lease expired, worker silent");
	}
}

/*
 * For each group of ours: polls the job rows, evicts and expires tasks where
 * needed, and starts queued jobs.
 */
void
batch_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		group_t *g = v;

		if (!owner_holds_group(g))
			continue;
		if (!g->read_pending && c->now_ms >= g->next_read_ms)
			batch_read_jobs(c, g);
		if (!g->jobs_loaded || g->state == GROUP_RELEASING)
			continue;
		if (c->now_ms >= g->next_sweep_ms) {
			g->next_sweep_ms = c->now_ms + SWEEP_INTERVAL_MS;
			evict_from_unavailable(c, g);
			expire_leases(c, g);
		}
		if (!owner_accepts_work(g) ||
		    (g_sequence_is_empty(g->queue) &&
			g_sequence_is_empty(g->late_queue)))
			continue;
		if (!conf_is_fresh(c)) {
			COUNT(c, TS_C_START_WAIT_CONF);
			continue;
		}
		if (c->store_failing_since_ms == 0)
			start_queued_jobs(c, g);
	}
}
