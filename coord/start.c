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
can_take(ts_core_t *c, worker_t *w, const job_t *b, const ts_pool_t *p)
{
	ts_res_t room;

	if (!worker_usable(c, w) || w->strays || c->now < w->quarantine_ms ||
	    !ts_conf_pool_in_zone(p, w->vm.zone))
		return false;
	for (int i = 0; i < HELD_FAILS; i++)
		if (b->j.failed_on[i] == w->vm.name)
			return false;
	if (w->tasks->len >= TS_TASKS_MAX)
		return false;
	room = worker_batch_room(w);
	return ts_res_fits(&b->j.size, &room);
}

/* Least harm to services first, then the tightest fit. */
static worker_t *
choose_worker(ts_core_t *c, const job_t *b, const ts_pool_t *p)
{
	worker_t *best = NULL;
	int64_t best_score = 0;

	for (guint i = 0; i < b->group->workers->len; i++) {
		worker_t *w = b->group->workers->pdata[i];
		int64_t score;

		if (!can_take(c, w, b, p))
			continue;
		if (c->o.no_learning)
			return w;
		score =
		    coloc_cost(w, b->class) + worker_batch_room(w).cpu_milli;
		if (w->vm.capacity.accel > 0 && b->j.size.accel == 0)
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
	int64_t *ours = g_hash_table_lookup(c->teams, team);
	int64_t used = ours == NULL ? 0 : *ours;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		used += GPOINTER_TO_INT(
		    g_hash_table_lookup(((peer_t *)v)->teams, team));
	return used;
}

static bool
within_quota(ts_core_t *c, const job_t *b)
{
	const ts_team_t *t = ts_conf_find_team(c->conf, b->j.team);

	return t == NULL ||
	    team_used(c, b->j.team) + b->j.size.cpu_milli <= t->quota_cpu_milli;
}

static void
start(ts_core_t *c, job_t *b, worker_t *w)
{
	ts_job_t next = b->j;

	next.state = TS_JOB_RUNNING;
	next.attempt++;
	next.worker = w->vm.name;
	next.worker_incarnation = w->vm_now;
	batch_attach(c, b, w);
	b->share_pct = coloc_first_share(c, w, b->class);
	/* Beyond this the zone may be out without our knowing. */
	b->start_by_ms = c->conf_fresh_ms + c->o.conf_stale_ms;
	b->order_seq = 0;
	b->seen = false;
	batch_write_job(c, b, &next);
}

static void
move(ts_core_t *c, job_t *b, const char *to)
{
	ts_job_t old = b->j, next = b->j;
	g_autofree char *key = NULL;
	item_t *it;

	snprintf(next.id, sizeof(next.id), "%s/%.24s-%" PRIx64 "-%" PRIx64, to,
	    c->o.name, c->o.incarnation, ++c->next_id);
	old.state = TS_JOB_MOVED;
	g_strlcpy(old.moved_to, next.id, sizeof(old.moved_to));
	key = g_strconcat(JOB_PREFIX, next.id, NULL);
	it = batch_job_item(b, &old);
	item_add(it, TS_ROW_JOB, key, 0, true)->u.job = next;
	item_submit(c, it);
}

static bool
try_start(ts_core_t *c, job_t *b)
{
	const ts_pool_t *p = ts_conf_find_pool(c->conf, b->j.pool);
	worker_t *w;

	if (p == NULL)
		return false;
	if (!within_quota(c, b)) {
		COUNT(c, TS_C_START_WAIT_QUOTA);
		return false;
	}
	w = choose_worker(c, b, p);
	if (w == NULL) {
		COUNT(c, TS_C_START_WAIT_ROOM);
		return false;
	}
	start(c, b, w);
	return true;
}

/*
 * Urgent work that finds no room has a task evicted for it: on the worker
 * where one eviction makes room, the task furthest from its deadline.
 */
static void
evict_for(ts_core_t *c, job_t *b, const ts_pool_t *p)
{
	job_t *best = NULL;

	for (guint i = 0; i < b->group->workers->len; i++) {
		worker_t *w = b->group->workers->pdata[i];

		if (!worker_usable(c, w) ||
		    !ts_conf_pool_in_zone(p, w->vm.zone))
			continue;
		for (guint k = 0; k < w->tasks->len; k++) {
			job_t *x = w->tasks->pdata[k];
			ts_res_t room = worker_batch_room(w);

			ts_res_add(&room, &x->j.size);
			if (x->evict || x->j.urgent || !x->seen ||
			    x->j.evictions >= EVICTIONS_MAX ||
			    !ts_res_fits(&b->j.size, &room))
				continue;
			if (best == NULL ||
			    x->j.deadline_ms > best->j.deadline_ms)
				best = x;
		}
	}
	if (best == NULL)
		return;
	b->evict_ms = c->now + EVICT_WAIT_MS;
	batch_evict(c, best);
}

/* What becomes of a queued job that could not start. */
static bool
put_off(ts_core_t *c, group_t *g, job_t *b)
{
	const ts_pool_t *p = ts_conf_find_pool(c->conf, b->j.pool);
	int64_t patience = b->j.urgent ? MOVE_URGENT_MS : MOVE_WAIT_MS;
	const char *to;

	/* A quota holds everywhere, and a job on the way can't use it; but the
	 * workers here may be the slowest to free it. */
	if (!within_quota(c, b) && c->now - b->here_ms < MOVE_QUOTA_MS)
		return false;
	if (c->now - MAX(b->j.submitted_ms, g->owned_ms) >= patience &&
	    (to = submit_group(c, &b->j, g->name)) != NULL) {
		move(c, b, to);
		return true;
	}
	if (b->j.urgent && c->now >= b->evict_ms && p != NULL &&
	    within_quota(c, b))
		evict_for(c, b, p);
	return false;
}

static int
run_sequence(ts_core_t *c, group_t *g, GSequence *q)
{
	GSequenceIter *it = g_sequence_get_begin_iter(q);
	int looked = 0, moved = 0;

	while (!g_sequence_iter_is_end(it) && looked < LOOK_MAX &&
	    moved < MOVES_MAX) {
		job_t *b = g_sequence_get(it);

		it = g_sequence_iter_next(it);
		if (b->txn || c->now < b->wait_ms)
			continue;
		looked++;
		if (q == g->queue && !b->j.urgent && b->latest_ms < c->now &&
		    !c->o.no_learning) {
			batch_dequeue(b);
			batch_enqueue(c, b); /* among the late */
		} else if (!try_start(c, b))
			moved += put_off(c, g, b);
	}
	return looked;
}

/* Starts what can start of a group's queue. */
void
start_queue(ts_core_t *c, group_t *g)
{
	bool late_first = ++g->passes % LATE_TURN == 0;

	if (late_first)
		run_sequence(c, g, g->late);
	run_sequence(c, g, g->queue);
	if (!late_first)
		run_sequence(c, g, g->late);
}