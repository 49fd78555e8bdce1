/*
 * Submission and cancellation of batch jobs at this entry.  It writes the rows
 * of the jobs, whichever entry owns their groups, and notifies the owners.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define SUBMIT_TASKS_MAX     60 /* of one submit, written in one transaction */
#define STORE_RETRY_AFTER_MS 2000
#define CANCEL_TRIES_MAX     5
#define GROUPS_SCAN_ALL_MAX  64 /* up to this many groups are not sampled */
#define GROUPS_SAMPLE_SIZE   16 /* groups compared among more */

/* Answers a submit or cancel; error is NULL on success. */
static void
reply_to_submitter(ts_core_t *c, uint64_t id, const char *error,
    const char *job, int32_t retry_after_ms)
{
	ts_act_t a = { .kind = TS_ACT_JOB_REPLY };

	if (error != NULL)
		COUNT(c, TS_C_JOB_REFUSED);
	a.u.job.id = id;
	a.u.job.error = error;
	a.u.job.job = job;
	a.u.job.retry_after_ms = retry_after_ms;
	c->opts.emit(c->opts.ctx, &a);
}

/*
 * Whether the job fits on the worker when no other batch task runs there,
 * beside the slots kept free for services.
 */
static bool
fits_when_idle(const worker_t *w, const ts_res_t *size)
{
	ts_res_t available = w->vm.capacity;

	ts_res_sub(&available, &w->service_reserve);
	return ts_res_fits(size, &available);
}

/* Whether some worker of the group could run the job when idle. */
static bool
group_could_run(const group_t *g, const ts_job_t *j)
{
	for (guint i = 0; i < g->workers->len; i++) {
		const worker_t *w = g->workers->pdata[i];

		if (!w->vm.leaving && fits_when_idle(w, &j->size))
			return true;
	}
	return false;
}

/*
 * Processor thousandths free for batch in a group, less those that queued jobs
 * wait for; at a peer, by its last digest.  A large negative number if not
 * known.
 */
static int64_t
group_free_cpu(ts_core_t *c, const group_t *g)
{
	int64_t free = 0;
	peer_t *p;

	if (owner_accepts_work(g)) {
		for (guint i = 0; i < g->workers->len; i++)
			if (worker_accepts_work(c, g->workers->pdata[i]))
				free += MAX(worker_available_for_batch(
						g->workers->pdata[i])
						.cpu_milli,
				    0);
		return free - g->queued_cpu_milli;
	}
	p = member_owner_peer(c, g);
	for (guint i = 0; p != NULL && i < p->groups->len; i++) {
		ts_capacity_t *r = &g_array_index(p->groups, ts_capacity_t, i);

		if (r->name == g->name)
			return r->free - r->queued;
	}
	return INT64_MIN / 2;
}

/*
 * Counts a job as queued at the peer that owns the group, until that peer's
 * next digest.
 */
static void
add_queued_at_peer(ts_core_t *c, const group_t *g, int64_t cpu_milli)
{
	peer_t *p = member_owner_peer(c, g);

	for (guint i = 0; p != NULL && i < p->groups->len; i++) {
		ts_capacity_t *r = &g_array_index(p->groups, ts_capacity_t, i);

		if (r->name == g->name)
			r->queued += cpu_milli;
	}
}

/*
 * Whether the job may be sent to the group.  Sets free_cpu to what is free
 * there; with need_free, that must suffice.
 */
static bool
is_candidate(ts_core_t *c, const group_t *g, const ts_job_t *j,
    const ts_pool_t *pool, bool need_free, int64_t *free_cpu)
{
	if (g->zone == NULL || !ts_conf_pool_in_zone(pool, g->zone) ||
	    ts_conf_zone_is_out(c->conf, g->zone) || !group_could_run(g, j))
		return false;
	*free_cpu = group_free_cpu(c, g);
	return !need_free || *free_cpu >= j->size.cpu_milli;
}

/*
 * The candidate with most free processor among n groups: every step-th of the
 * list, beginning at index from.  The group current_group is left out; it may
 * be NULL.
 */
static group_t *
best_of_sample(ts_core_t *c, guint from, guint n, guint step, const ts_job_t *j,
    const ts_pool_t *pool, const char *current_group, bool need_free)
{
	group_t *best = NULL;
	int64_t most_free = 0, free_cpu;

	for (guint i = 0; i < n; i++) {
		group_t *g =
		    c->group_list
			->pdata[(from + i * step) % c->group_list->len];

		if (g->name == current_group ||
		    !is_candidate(c, g, j, pool, need_free, &free_cpu))
			continue;
		if (best == NULL || free_cpu > most_free) {
			best = g;
			most_free = free_cpu;
		}
	}
	return best;
}

/*
 * The name of the group to queue a job in, or NULL if there is none: among the
 * groups that could run the job, the one with most free processor; of many
 * groups a sample is compared.  Counts the job as queued there if a peer owns
 * the group, so the caller must queue it.
 *
 * For a job that is already queued, current_group is its group, which is left
 * out.  Then the other group must have enough free at this time, unless
 * current_group can't run the job.
 */
const char *
submit_choose_group(ts_core_t *c, const ts_job_t *j, const char *current_group)
{
	const ts_pool_t *pool = ts_conf_find_pool(c->conf, j->pool);
	guint n = c->group_list->len;
	bool need_free = false;
	group_t *best = NULL;

	if (pool == NULL || n == 0)
		return NULL;
	if (current_group != NULL) {
		group_t *g = g_hash_table_lookup(c->groups, current_group);

		need_free = g != NULL && group_could_run(g, j) &&
		    !ts_conf_zone_is_out(c->conf, g->zone) &&
		    ts_conf_pool_in_zone(pool, g->zone);
	}
	if (n > GROUPS_SCAN_ALL_MAX)
		best = best_of_sample(c,
		    (guint)g_rand_int_range(c->rand, 0, (gint32)n),
		    GROUPS_SAMPLE_SIZE, n / GROUPS_SAMPLE_SIZE, j, pool,
		    current_group, need_free);
	/* A queued job can be tried again later; a new one needs a group. */
	if (best == NULL && (n <= GROUPS_SCAN_ALL_MAX || !need_free))
		best = best_of_sample(
		    c, 0, n, 1, j, pool, current_group, need_free);
	if (best == NULL)
		return NULL;
	if (!owner_accepts_work(best))
		add_queued_at_peer(c, best, j->size.cpu_milli);
	return best->name;
}

/*
 * Whether some worker of the pool could run the job when idle.  Zones that are
 * out of service count, because they come back.
 */
static bool
any_group_could_run(
    const ts_core_t *c, const ts_job_t *j, const ts_pool_t *pool)
{
	for (guint i = 0; i < c->group_list->len; i++) {
		const group_t *g = c->group_list->pdata[i];

		if (g->zone != NULL && ts_conf_pool_in_zone(pool, g->zone) &&
		    group_could_run(g, j))
			return true;
	}
	return false;
}

/* Whether a submitted job may ever run; if not, err says why. */
static bool
check_job(ts_core_t *c, const ts_job_t *j, int32_t tasks, GError **err)
{
	const ts_pool_t *pool = ts_conf_find_pool(c->conf, j->pool);
	const ts_team_t *team = ts_conf_find_team(c->conf, j->team);

	if (pool == NULL || pool->kind != TS_POOL_BATCH)
		g_set_error(err, COORD_ERROR, COORD_UNKNOWN_NAME,
		    "no batch pool named %s", j->pool);
	else if (team == NULL)
		g_set_error(err, COORD_ERROR, COORD_UNKNOWN_NAME,
		    "no team named %s", j->team);
	else if (tasks < 1 || tasks > SUBMIT_TASKS_MAX)
		g_set_error(err, COORD_ERROR, COORD_NEVER_RUNS,
		    "tasks must be 1 to %d", SUBMIT_TASKS_MAX);
	else if (j->size.cpu_milli <= 0 || j->run_ms <= 0)
		g_set_error(err, COORD_ERROR, COORD_NEVER_RUNS,
		    "cpu_milli and run_ms must be above 0");
	else if (j->size.cpu_milli > team->quota_cpu_milli)
		g_set_error(err, COORD_ERROR, COORD_NEVER_RUNS,
		    "larger than the quota of team %s", j->team);
	else if (pool->slot_size.cpu_milli > 0 &&
	    !ts_res_fits(&j->size, &pool->slot_size))
		g_set_error(err, COORD_ERROR, COORD_NEVER_RUNS,
		    "larger than pool %s takes", j->pool);
	else if (j->deadline_ms <= c->now_ms)
		g_set_error(
		    err, COORD_ERROR, COORD_NEVER_RUNS, "deadline has passed");
	else if (!any_group_could_run(c, j, pool))
		g_set_error(err, COORD_ERROR, COORD_NEVER_RUNS,
		    "no worker of the pool can hold it");
	else
		return true;
	return false;
}

/* A group that could run the job if its zone were in service. */
static const char *
first_able_group(ts_core_t *c, const ts_job_t *j)
{
	const ts_pool_t *pool = ts_conf_find_pool(c->conf, j->pool);
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		group_t *g = v;

		if (g->zone != NULL && ts_conf_pool_in_zone(pool, g->zone) &&
		    group_could_run(g, j))
			return g->name;
	}
	g_assert_not_reached(); /* check_job() has found one */
}

/*
 * Makes the owners of the job rows just written, which may be us, read them at
 * once.
 */
static void
notify_owners(ts_core_t *c, const update_t *u)
{
	for (guint i = 0; i < u->rows->len; i++) {
		const ts_row_t *row =
		    &g_array_index(u->rows, ts_txn_row_t, i).row;
		ts_msg_t m = { .kind = TS_MSG_JOB_CHANGED };
		const char *id = row->u.job.id;
		g_autofree char *name = g_strndup(id, strcspn(id, "/"));
		group_t *g = owner_get_group(c, name, NULL);
		peer_t *p = member_owner_peer(c, g);

		m.key = row->key;
		if (owner_holds_group(g))
			batch_read_job_row(c, row->key);
		else if (p != NULL)
			member_send(c, p->name, &m, 0);
	}
}

/* The rows of submitted jobs have been written, or an id was in use. */
static void
submit_written(ts_core_t *c, update_t *u, update_result_t r)
{
	const ts_row_t *row = &g_array_index(u->rows, ts_txn_row_t, 0).row;

	if (r == UPDATE_CONFLICT) {
		reply_to_submitter(c, u->tag, "job id in use", NULL, 0);
		return;
	}
	c->counters[TS_C_JOB_SUBMITTED] += u->rows->len;
	reply_to_submitter(c, u->tag, NULL, row->u.job.id, 0);
	notify_owners(c, u);
}

/* The row of a new job: the fields that a submitter may set, and no others. */
static ts_job_t
job_from_submission(const ts_job_t *submitted)
{
	ts_job_t j = { .state = TS_JOB_QUEUED };

	j.team = g_intern_string(submitted->team);
	j.pool = g_intern_string(submitted->pool);
	j.class = submitted->class[0] == '\0' ?
	    j.pool :
	    g_intern_string(submitted->class);
	j.deadline_ms = submitted->deadline_ms;
	j.run_ms = submitted->run_ms;
	j.size = submitted->size;
	j.urgent = submitted->urgent;
	return j;
}

/*
 * A batch job has been submitted: checks it, and writes a row for each task,
 * each in the group with most free then.
 */
void
submit_handle_job(ts_core_t *c, const ts_ev_t *ev)
{
	ts_job_t j = job_from_submission(ev->u.submit.job);
	int32_t tasks = ev->u.submit.tasks;
	g_autoptr(GError) err = NULL;
	update_t *u;

	if (c->conf == NULL || !c->groups_read || !c->vm_list_read ||
	    c->draining) {
		reply_to_submitter(c, ev->u.submit.id, "not ready", NULL,
		    STORE_RETRY_AFTER_MS);
		return;
	}
	if (c->store_failing_since_ms != 0) {
		reply_to_submitter(c, ev->u.submit.id,
		    "table service does not answer", NULL,
		    STORE_RETRY_AFTER_MS);
		return;
	}
	j.submitted_ms = c->now_ms;
	if (!check_job(c, &j, tasks, &err)) {
		reply_to_submitter(c, ev->u.submit.id, err->message, NULL, 0);
		return;
	}
	u = update_new(submit_written, NULL);
	u->tag = ev->u.submit.id;
	for (int32_t i = 0; i < tasks; i++) {
		const char *g = submit_choose_group(c, &j, NULL);
		g_autofree char *key = NULL;

		if (g == NULL) /* all its zones are out: the job waits in one */
			g = first_able_group(c, &j);
		snprintf(j.id, sizeof(j.id), "%s/%.24s-%" PRIx64 "-%" PRIx64, g,
		    c->opts.name, c->opts.incarnation, ++c->last_id);
		key = g_strconcat("job/", j.id, NULL);
		update_add_row(u, TS_ROW_JOB, key, 0, true)->u.job = j;
	}
	update_submit(c, u);
}

/* A cancel in progress. */
typedef struct {
	uint64_t id;
	char key[TS_KEY_SIZE]; /* of the job's row */
	int tries;	       /* writes that met a conflict */
} cancel_t;

static void cancel_start_read(ts_core_t *c, cancel_t *x);

/* Answers the cancel and ends it. */
static void
cancel_end(ts_core_t *c, cancel_t *x, const char *error)
{
	reply_to_submitter(
	    c, x->id, error, error == NULL ? x->key + strlen("job/") : NULL, 0);
	g_free(x);
}

/*
 * The cancel has been written to the job's row; after a conflict the row is
 * read again.
 */
static void
cancel_written(ts_core_t *c, update_t *u, update_result_t r)
{
	cancel_t *x = u->arg;

	if (r == UPDATE_CONFLICT) {
		if (++x->tries < CANCEL_TRIES_MAX)
			cancel_start_read(c, x);
		else
			cancel_end(c, x, "job changes too fast; try again");
		return;
	}
	notify_owners(c, u);
	cancel_end(c, x, NULL);
}

/*
 * Writes the cancel to the job's row.  A job that does not run is cancelled at
 * once; the task of one that runs is stopped by the group's owner.  If the job
 * was moved, follows it to its new row.
 */
static void
cancel_write(ts_core_t *c, cancel_t *x, const ts_row_t *row)
{
	ts_row_t *w;
	update_t *u;

	switch (row->u.job.state) {
	case TS_JOB_MOVED:
		snprintf(x->key, sizeof(x->key), "job/%s", row->u.job.moved_to);
		cancel_start_read(c, x);
		return;
	case TS_JOB_QUEUED:
	case TS_JOB_RUNNING:
	case TS_JOB_HELD:
		break;
	default:
		cancel_end(c, x, "job has already ended");
		return;
	}
	u = update_new(cancel_written, x);
	w = update_add_row(u, TS_ROW_JOB, row->key, row->version, true);
	w->u.job = row->u.job;
	w->u.job.cancel_requested = true;
	if (row->u.job.state != TS_JOB_RUNNING)
		w->u.job.state = TS_JOB_CANCELLED;
	update_submit(c, u);
}

/* The job's row has been read. */
static void
cancel_row_read(
    ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	cancel_t *x = r->arg;

	if (!ok) {
		cancel_end(c, x, "table service does not answer");
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (rows[i].kind == TS_ROW_JOB &&
		    strcmp(rows[i].key, x->key) == 0) {
			cancel_write(c, x, &rows[i]);
			return;
		}
	cancel_end(c, x, "no such job");
}

/* Reads the job's row, at first and after a conflict or a move. */
static void
cancel_start_read(ts_core_t *c, cancel_t *x)
{
	read_start(c, x->key, 0, cancel_row_read, x);
}

/*
 * A job is to be cancelled: reads its row.  Any entry may do so, whoever owns
 * the job's group.
 */
void
submit_handle_cancel(ts_core_t *c, const ts_ev_t *ev)
{
	cancel_t *x = g_new0(cancel_t, 1);

	x->id = ev->u.cancel.id;
	snprintf(
	    x->key, sizeof(x->key), "job/%.*s", TS_ID_SIZE, ev->u.cancel.job);
	cancel_start_read(c, x);
}
