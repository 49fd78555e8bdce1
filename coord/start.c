/*
 * Placement of queued batch tasks: which starts next and where, what moves to
 * another group, and what is evicted for urgent work.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define LOOK_MAX       32   /* queued jobs looked at in one pass */
#define MOVE_WAIT_MS   1500 /* queued this long, a job may move */
#define MOVE_URGENT_MS 300
#define MOVE_QUOTA_MS  20000 /* ... while its team has used its quota up */
#define MOVES_MAX      8     /* in one pass */
#define LATE_TURN      8     /* every so many passes late work goes first */
#define EVICT_WAIT_MS  1000  /* between evictions for one urgent task */

/* Whether the worker could take the job now. */
static bool
can_take(ts_core_t *c, worker_t *w, const job_t *job, const ts_pool_t *p)
{
	ts_res_t room;

	if (!worker_accepts_work(c, w) || w->has_orphan_tasks ||
	    c->now_ms < w->quarantined_until_ms ||
	    !ts_conf_pool_in_zone(p, w->vm.zone))
		return false;
	for (int i = 0; i < HOLD_FAILED_WORKERS; i++)
		if (job->row.failed_on[i] == w->vm.name)
			return false;
	if (w->tasks->len >= TS_TASKS_MAX)
		return false;
	room = worker_free_for_batch(w);
	return ts_res_fits(&job->row.size, &room);
}

/* Least harm to services first, then the tightest fit. */
static worker_t *
choose_worker(ts_core_t *c, const job_t *job, const ts_pool_t *p)
{
	worker_t *best = NULL;
	int64_t best_score = 0;

	for (guint i = 0; i < job->group->workers->len; i++) {
		worker_t *w = job->group->workers->pdata[i];
		int64_t score;

		if (!can_take(c, w, job, p))
			continue;
		if (c->opts.no_learning)
			return w;
		score = coloc_placement_cost(w, job->class) +
		    worker_free_for_batch(w).cpu_milli;
		if (w->vm.capacity.accel > 0 && job->row.size.accel == 0)
			score += w->vm.capacity.cpu_milli;
		if (best == NULL || score < best_score) {
			best = w;
			best_score = score;
		}
	}
	return best;
}

static int64_t
team_used(const ts_core_t *c, const char *team)
{
	int64_t *ours = g_hash_table_lookup(c->team_cpu_milli, team);
	int64_t used = ours == NULL ? 0 : *ours;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		used += GPOINTER_TO_INT(
		    g_hash_table_lookup(((peer_t *)v)->team_cpu_milli, team));
	return used;
}

static bool
within_quota(ts_core_t *c, const job_t *job)
{
	const ts_team_t *t = ts_conf_find_team(c->conf, job->row.team);

	return t == NULL ||
	    team_used(c, job->row.team) + job->row.size.cpu_milli <=
	    t->quota_cpu_milli;
}

static void
start(ts_core_t *c, job_t *job, worker_t *w)
{
	ts_job_t next = job->row;

	next.state = TS_JOB_RUNNING;
	next.attempt++;
	next.worker = w->vm.name;
	next.worker_incarnation = w->newest_incarnation;
	batch_reserve(c, job, w);
	job->share_pct = coloc_initial_share(c, w, job->class);
	/* Beyond this the zone may be out without our knowing. */
	job->start_by_ms = c->conf_confirmed_ms + c->opts.conf_stale_ms;
	job->first_order_seq = 0;
	job->reported_running = false;
	batch_write_job(c, job, &next);
}

static void
move(ts_core_t *c, job_t *job, const char *to)
{
	ts_job_t old = job->row, next = job->row;
	g_autofree char *key = NULL;
	update_t *u;

	snprintf(next.id, sizeof(next.id), "%s/%.24s-%" PRIx64 "-%" PRIx64, to,
	    c->opts.name, c->opts.incarnation, ++c->next_id);
	old.state = TS_JOB_MOVED;
	g_strlcpy(old.moved_to, next.id, sizeof(old.moved_to));
	key = g_strconcat(JOB_PREFIX, next.id, NULL);
	u = batch_job_update(job, &old);
	update_add_row(u, TS_ROW_JOB, key, 0, true)->u.job = next;
	update_submit(c, u);
}

static bool
try_start(ts_core_t *c, job_t *job)
{
	const ts_pool_t *p = ts_conf_find_pool(c->conf, job->row.pool);
	worker_t *w;

	if (p == NULL)
		return false;
	if (!within_quota(c, job)) {
		COUNT(c, TS_C_START_WAIT_QUOTA);
		return false;
	}
	w = choose_worker(c, job, p);
	if (w == NULL) {
		COUNT(c, TS_C_START_WAIT_ROOM);
		return false;
	}
	start(c, job, w);
	return true;
}

/*
 * Urgent work that finds no room has a task evicted for it: on the worker
 * where one eviction makes room, the task furthest from its deadline.
 */
static void
evict_for(ts_core_t *c, job_t *job, const ts_pool_t *p)
{
	job_t *best = NULL;

	for (guint i = 0; i < job->group->workers->len; i++) {
		worker_t *w = job->group->workers->pdata[i];

		if (!worker_accepts_work(c, w) ||
		    !ts_conf_pool_in_zone(p, w->vm.zone))
			continue;
		for (guint k = 0; k < w->tasks->len; k++) {
			job_t *x = w->tasks->pdata[k];
			ts_res_t room = worker_free_for_batch(w);

			ts_res_add(&room, &x->row.size);
			if (x->evict_requested || x->row.urgent ||
			    !x->reported_running ||
			    x->row.evictions >= EVICTIONS_MAX_PER_JOB ||
			    !ts_res_fits(&job->row.size, &room))
				continue;
			if (best == NULL ||
			    x->row.deadline_ms > best->row.deadline_ms)
				best = x;
		}
	}
	if (best == NULL)
		return;
	job->next_evict_ms = c->now_ms + EVICT_WAIT_MS;
	batch_request_eviction(c, best);
}

/* What becomes of a queued job that could not start. */
static bool
put_off(ts_core_t *c, group_t *g, job_t *job)
{
	const ts_pool_t *p = ts_conf_find_pool(c->conf, job->row.pool);
	int64_t patience = job->row.urgent ? MOVE_URGENT_MS : MOVE_WAIT_MS;
	const char *to;

	/* A quota holds everywhere, and a job on the way can't use it; but the
	 * workers here may be the slowest to free it. */
	if (!within_quota(c, job) &&
	    c->now_ms - job->first_seen_ms < MOVE_QUOTA_MS)
		return false;
	if (c->now_ms - MAX(job->row.submitted_ms, g->owned_since_ms) >=
		patience &&
	    (to = submit_choose_group(c, &job->row, g->name)) != NULL) {
		move(c, job, to);
		return true;
	}
	if (job->row.urgent && c->now_ms >= job->next_evict_ms && p != NULL &&
	    within_quota(c, job))
		evict_for(c, job, p);
	return false;
}

static int
run_sequence(ts_core_t *c, group_t *g, GSequence *q)
{
	GSequenceIter *it = g_sequence_get_begin_iter(q);
	int looked = 0, moved = 0;

	while (!g_sequence_iter_is_end(it) && looked < LOOK_MAX &&
	    moved < MOVES_MAX) {
		job_t *job = g_sequence_get(it);

		it = g_sequence_iter_next(it);
		if (job->write_pending || c->now_ms < job->not_before_ms)
			continue;
		looked++;
		if (q == g->queue && !job->row.urgent &&
		    job->latest_start_ms < c->now_ms && !c->opts.no_learning) {
			batch_dequeue(job);
			batch_enqueue(c, job); /* among the late */
		} else if (!try_start(c, job))
			moved += put_off(c, g, job);
	}
	return looked;
}

/* Starts what can start of a group's queue. */
void
start_queued_jobs(ts_core_t *c, group_t *g)
{
	bool late_first = ++g->queue_passes % LATE_TURN == 0;

	if (late_first)
		run_sequence(c, g, g->late_queue);
	run_sequence(c, g, g->queue);
	if (!late_first)
		run_sequence(c, g, g->late_queue);
}