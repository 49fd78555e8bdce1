/*
 * Placement of queued batch jobs: which job starts next and on which worker,
 * which moves to another group, and which task is evicted for an urgent job.
 * Called by batch.c.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define PASS_JOBS_MAX  32 /* jobs of a queue tried in one pass */
#define PASS_MOVES_MAX 8  /* jobs of a queue moved in one pass */
/* A job that can't start may move to another group after this time. */
#define MOVE_WAIT_MS	    1500
#define MOVE_WAIT_URGENT_MS 300
#define MOVE_WAIT_QUOTA_MS  20000 /* while its team's quota is used up */
#define LATE_FIRST_PASSES   8	  /* the late queue goes first in 1 of these */
#define EVICT_INTERVAL_MS   1000  /* between evictions for one urgent job */

/* Whether the job may be started on the worker now. */
static bool
can_run(ts_core_t *c, worker_t *w, const job_t *job, const ts_pool_t *pool)
{
	ts_res_t available;

	if (!worker_accepts_work(c, w) || w->has_orphan_tasks ||
	    c->now_ms < w->quarantined_until_ms ||
	    !ts_conf_pool_in_zone(pool, w->vm.zone))
		return false;
	for (int i = 0; i < HOLD_FAILED_WORKERS; i++)
		if (job->row.failed_on[i] == w->vm.name)
			return false;
	if (w->tasks->len >= TS_TASKS_MAX)
		return false;
	available = worker_available_for_batch(w);
	return ts_res_fits(&job->row.size, &available);
}

/*
 * The worker of the job's group that can run it with the lowest score, or NULL.
 * The score, in processor thousandths, is the cost of interference with
 * services plus what is free for batch, to prefer a tight fit.  Jobs that need
 * no accelerator avoid workers that have some.
 */
static worker_t *
choose_worker(ts_core_t *c, const job_t *job, const ts_pool_t *pool)
{
	worker_t *best = NULL;
	int64_t best_score = 0;

	for (guint i = 0; i < job->group->workers->len; i++) {
		worker_t *w = job->group->workers->pdata[i];
		int64_t score;

		if (!can_run(c, w, job, pool))
			continue;
		if (c->opts.no_learning)
			return w;
		score = coloc_placement_cost(w, job->class) +
		    worker_available_for_batch(w).cpu_milli;
		if (w->vm.capacity.accel > 0 && job->row.size.accel == 0)
			score += w->vm.capacity.cpu_milli;
		if (best == NULL || score < best_score) {
			best = w;
			best_score = score;
		}
	}
	return best;
}

/*
 * The quota of a team, which limits processor time only, and what its tasks hold
 * of it in the whole system: here, and unseen at the peers by their last digests.
 */
static ts_quota_t
team_quota(const ts_core_t *c, const ts_team_t *t, const char *team)
{
	const int64_t *here = g_hash_table_lookup(c->team_cpu_milli, team);
	ts_quota_t q = { .limit = { .cpu_milli = t->quota_cpu_milli },
		.used = { .cpu_milli = here == NULL ? 0 : *here } };
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		q.unseen.cpu_milli += GPOINTER_TO_INT(
		    g_hash_table_lookup(((peer_t *)v)->team_cpu_milli, team));
	return q;
}

/* Whether starting the job keeps its team within its quota. */
static bool
within_quota(ts_core_t *c, const job_t *job)
{
	const ts_team_t *t = ts_conf_find_team(c->conf, job->row.team);
	ts_res_t demand = { .cpu_milli = job->row.size.cpu_milli };
	ts_quota_t q;

	if (t == NULL)
		return true;
	q = team_quota(c, t, job->row.team);
	/* A team may be given nothing, where ts_quota_t has no limit. */
	if (t->quota_cpu_milli == 0)
		return q.used.cpu_milli + q.unseen.cpu_milli +
		    demand.cpu_milli <=
		    0;
	return ts_quota_fits(&q, &demand);
}

/*
 * Reserves the worker's resources and writes that the job runs there; the order
 * goes out once the write has succeeded.
 */
static void
start_on_worker(ts_core_t *c, job_t *job, worker_t *w)
{
	ts_job_t next = job->row;

	next.state = TS_JOB_RUNNING;
	next.attempt++;
	next.worker = w->vm.name;
	next.worker_incarnation = w->newest_incarnation;
	batch_reserve(c, job, w);
	job->share_pct = coloc_initial_share(c, w, job->class);
	/* Later the zone may be out of service without our knowing. */
	job->start_by_ms = c->conf_confirmed_ms + c->opts.conf_stale_ms;
	job->first_order_seq = 0;
	job->reported_running = false;
	batch_write_job(c, job, &next);
}

/*
 * Moves a queued job to another group: in one transaction, marks its row as
 * moved and writes a new row with a new id.
 */
static void
move_job(ts_core_t *c, job_t *job, const char *to_group)
{
	ts_job_t old = job->row, next = job->row;
	g_autofree char *key = NULL;
	update_t *u;

	snprintf(next.id, sizeof(next.id), "%s/%.24s-%" PRIx64 "-%" PRIx64,
	    to_group, c->opts.name, c->opts.incarnation, ++c->last_id);
	old.state = TS_JOB_MOVED;
	g_strlcpy(old.moved_to, next.id, sizeof(old.moved_to));
	key = g_strconcat(JOB_PREFIX, next.id, NULL);
	u = batch_job_update(job, &old);
	update_add_row(u, TS_ROW_JOB, key, 0, true)->u.job = next;
	update_submit(c, u);
}

/*
 * Starts the job if its team's quota and a worker allow; returns whether it
 * does.
 */
static bool
try_start(ts_core_t *c, job_t *job)
{
	const ts_pool_t *pool = ts_conf_find_pool(c->conf, job->row.pool);
	worker_t *w;

	if (pool == NULL)
		return false;
	if (!within_quota(c, job)) {
		COUNT(c, TS_C_START_WAIT_QUOTA);
		return false;
	}
	w = choose_worker(c, job, pool);
	if (w == NULL) {
		COUNT(c, TS_C_START_WAIT_ROOM);
		return false;
	}
	start_on_worker(c, job, w);
	return true;
}

/*
 * Requests the eviction of one task for an urgent job: of the tasks whose
 * eviction lets the job fit on their worker, the one with the latest deadline.
 * Urgent tasks, and those evicted too often, are spared.
 */
static void
evict_for_urgent(ts_core_t *c, job_t *job, const ts_pool_t *pool)
{
	job_t *best = NULL;

	for (guint i = 0; i < job->group->workers->len; i++) {
		worker_t *w = job->group->workers->pdata[i];

		if (!worker_accepts_work(c, w) ||
		    !ts_conf_pool_in_zone(pool, w->vm.zone))
			continue;
		for (guint k = 0; k < w->tasks->len; k++) {
			job_t *task = w->tasks->pdata[k];
			ts_res_t available = worker_available_for_batch(w);

			ts_res_add(&available, &task->row.size);
			if (task->evict_requested || task->row.urgent ||
			    !task->reported_running ||
			    task->row.evictions >= EVICTIONS_MAX_PER_JOB ||
			    !ts_res_fits(&job->row.size, &available))
				continue;
			if (best == NULL ||
			    task->row.deadline_ms > best->row.deadline_ms)
				best = task;
		}
	}
	if (best == NULL)
		return;
	job->next_evict_ms = c->now_ms + EVICT_INTERVAL_MS;
	batch_request_eviction(c, best);
}

/*
 * Handles a queued job that could not be started: moves it to another group
 * with free resources once it has waited long enough, or evicts a task for it
 * if it is urgent.  Returns whether it is being moved.
 */
static bool
move_or_evict(ts_core_t *c, group_t *g, job_t *job)
{
	const ts_pool_t *pool = ts_conf_find_pool(c->conf, job->row.pool);
	int64_t wait_ms = job->row.urgent ? MOVE_WAIT_URGENT_MS : MOVE_WAIT_MS;
	const char *to_group;

	/*
	 * The quota holds in all groups, so a move gains none, and a job can't
	 * start while it is being moved: it waits here at first.  But quota is
	 * available first at the entry whose workers free it, before its peers
	 * get its next digest, and the workers here may be the slowest to free
	 * any; so the wait is limited.
	 */
	if (!within_quota(c, job) &&
	    c->now_ms - job->first_seen_ms < MOVE_WAIT_QUOTA_MS)
		return false;
	if (c->now_ms - MAX(job->row.submitted_ms, g->owned_since_ms) >=
		wait_ms &&
	    (to_group = submit_choose_group(c, &job->row, g->name)) != NULL) {
		move_job(c, job, to_group);
		return true;
	}
	if (job->row.urgent && c->now_ms >= job->next_evict_ms &&
	    pool != NULL && within_quota(c, job))
		evict_for_urgent(c, job, pool);
	return false;
}

/*
 * Tries to start the first jobs of a queue; returns how many it tried.  Jobs of
 * the main queue that can no longer meet their deadline go to the late queue.
 */
static int
process_queue(ts_core_t *c, group_t *g, GSequence *q)
{
	GSequenceIter *it = g_sequence_get_begin_iter(q);
	int tried = 0, moved = 0;

	while (!g_sequence_iter_is_end(it) && tried < PASS_JOBS_MAX &&
	    moved < PASS_MOVES_MAX) {
		job_t *job = g_sequence_get(it);

		it = g_sequence_iter_next(it);
		if (job->write_pending || c->now_ms < job->not_before_ms)
			continue;
		tried++;
		if (q == g->queue && !job->row.urgent &&
		    job->latest_start_ms < c->now_ms && !c->opts.no_learning) {
			batch_dequeue(job);
			batch_enqueue(c, job); /* in the late queue */
		} else if (!try_start(c, job))
			moved += move_or_evict(c, g, job);
	}
	return tried;
}

/*
 * Starts what can be started of a group's queues.  Called at each tick while
 * the configuration is fresh and the store answers.  In one of
 * LATE_FIRST_PASSES passes the late queue goes first, so that it is not
 * starved.
 */
void
start_queued_jobs(ts_core_t *c, group_t *g)
{
	bool late_first = ++g->queue_passes % LATE_FIRST_PASSES == 0;

	if (late_first)
		process_queue(c, g, g->late_queue);
	process_queue(c, g, g->queue);
	if (!late_first)
		process_queue(c, g, g->late_queue);
}