/*
 * Jobs handed in and cancelled at this entry, whoever owns their group.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define TASKS_MAX      60 /* rows of one submit: one transaction */
#define STORE_RETRY_MS 2000
#define CANCEL_TRIES   5
#define GROUPS_ALL     64 /* groups up to which all are looked at */
#define GROUPS_SAMPLE  16 /* looked at beyond that */

static void
reply(ts_core_t *c, uint64_t id, const char *error, const char *job,
    int32_t retry_ms)
{
	ts_act_t a = { .kind = TS_ACT_JOB_REPLY };

	if (error != NULL)
		COUNT(c, TS_C_JOB_REFUSED);
	a.u.job.id = id;
	a.u.job.error = error;
	a.u.job.job = job;
	a.u.job.retry_after_ms = retry_ms;
	c->opts.emit(c->opts.ctx, &a);
}

/* What batch may ever hold of a worker: all but the slots of services. */
static bool
could_hold(const worker_t *w, const ts_res_t *size)
{
	ts_res_t room = w->vm.capacity;

	ts_res_sub(&room, &w->service_reserve);
	return ts_res_fits(size, &room);
}

static bool
group_could_run(const group_t *g, const ts_job_t *j)
{
	for (guint i = 0; i < g->workers->len; i++) {
		const worker_t *w = g->workers->pdata[i];

		if (!w->vm.leaving && could_hold(w, &j->size))
			return true;
	}
	return false;
}

/* Room for batch in a group less what waits there; lowest when not known. */
static int64_t
group_room(ts_core_t *c, const group_t *g)
{
	int64_t free = 0;
	peer_t *p;

	if (owner_accepts_work(g)) {
		for (guint i = 0; i < g->workers->len; i++)
			if (worker_accepts_work(c, g->workers->pdata[i]))
				free += MAX(
				    worker_free_for_batch(g->workers->pdata[i])
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

/* Takes a job off a peer's told room until its next digest. */
static void
note_queued(ts_core_t *c, const group_t *g, int64_t cpu_milli)
{
	peer_t *p = member_owner_peer(c, g);

	for (guint i = 0; p != NULL && i < p->groups->len; i++) {
		ts_capacity_t *r = &g_array_index(p->groups, ts_capacity_t, i);

		if (r->name == g->name)
			r->queued += cpu_milli;
	}
}

/* Whether a group may take the job, and with how much room. */
static bool
candidate(ts_core_t *c, const group_t *g, const ts_job_t *j,
    const ts_pool_t *pool, bool need_room, int64_t *room)
{
	if (g->zone == NULL || !ts_conf_pool_in_zone(pool, g->zone) ||
	    ts_conf_zone_is_out(c->conf, g->zone) || !group_could_run(g, j))
		return false;
	*room = group_room(c, g);
	return !need_room || *room >= j->size.cpu_milli;
}

/* The best of n groups from a place in the list on. */
static group_t *
best_of(ts_core_t *c, guint from, guint n, guint step, const ts_job_t *j,
    const ts_pool_t *pool, const char *avoid, bool need_room)
{
	group_t *best = NULL;
	int64_t most = 0, room;

	for (guint i = 0; i < n; i++) {
		group_t *g =
		    c->group_list
			->pdata[(from + i * step) % c->group_list->len];

		if (g->name == avoid ||
		    !candidate(c, g, j, pool, need_room, &room))
			continue;
		if (best == NULL || room > most) {
			best = g;
			most = room;
		}
	}
	return best;
}

/*
 * The group with the most room that could run the job; of many groups, a
 * sample.  With a group to avoid, only one that has room now, unless that
 * group could never run it.
 */
const char *
submit_choose_group(ts_core_t *c, const ts_job_t *j, const char *avoid)
{
	const ts_pool_t *pool = ts_conf_find_pool(c->conf, j->pool);
	guint n = c->group_list->len;
	bool need_room = false;
	group_t *best = NULL;

	if (pool == NULL || n == 0)
		return NULL;
	if (avoid != NULL) {
		group_t *g = g_hash_table_lookup(c->groups, avoid);

		need_room = g != NULL && group_could_run(g, j) &&
		    !ts_conf_zone_is_out(c->conf, g->zone) &&
		    ts_conf_pool_in_zone(pool, g->zone);
	}
	if (n > GROUPS_ALL)
		best =
		    best_of(c, (guint)g_rand_int_range(c->rand, 0, (gint32)n),
			GROUPS_SAMPLE, n / GROUPS_SAMPLE, j, pool, avoid,
			need_room);
	/* A job that waits may look again; one just handed in may not. */
	if (best == NULL && (n <= GROUPS_ALL || !need_room))
		best = best_of(c, 0, n, 1, j, pool, avoid, need_room);
	if (best == NULL)
		return NULL;
	if (!owner_accepts_work(best))
		note_queued(c, best, j->size.cpu_milli);
	return best->name;
}

static bool
any_group_could(const ts_core_t *c, const ts_job_t *j, const ts_pool_t *pool)
{
	/* Zones that are out come back, so they count. */
	for (guint i = 0; i < c->group_list->len; i++) {
		const group_t *g = c->group_list->pdata[i];

		if (g->zone != NULL && ts_conf_pool_in_zone(pool, g->zone) &&
		    group_could_run(g, j))
			return true;
	}
	return false;
}

/* Whether the job could ever run; the error says why it could not. */
static bool
may_run(ts_core_t *c, const ts_job_t *j, int32_t tasks, GError **err)
{
	const ts_pool_t *pool = ts_conf_find_pool(c->conf, j->pool);
	const ts_team_t *team = ts_conf_find_team(c->conf, j->team);

	if (pool == NULL || pool->kind != TS_POOL_BATCH)
		g_set_error(err, COORD_ERROR, COORD_UNKNOWN_NAME,
		    "no batch pool named %s", j->pool);
	else if (team == NULL)
		g_set_error(err, COORD_ERROR, COORD_UNKNOWN_NAME,
		    "no team named %s", j->team);
	else if (tasks < 1 || tasks > TASKS_MAX)
		g_set_error(err, COORD_ERROR, COORD_NEVER_RUNS,
		    "tasks must be 1 to %d", TASKS_MAX);
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
	else if (!any_group_could(c, j, pool))
		g_set_error(err, COORD_ERROR, COORD_NEVER_RUNS,
		    "no worker of the pool can hold it");
	else
		return true;
	return false;
}

/* Some group that could run the job were its zone in. */
static const char *
any_group(ts_core_t *c, const ts_job_t *j)
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
	g_assert_not_reached(); /* may_run() found one */
}

/* Tells the owners of the rows just written. */
static void
tell_owners(ts_core_t *c, const update_t *u)
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
			batch_read_key(c, row->key);
		else if (p != NULL)
			member_send(c, p->name, &m, 0);
	}
}

static void
submitted(ts_core_t *c, update_t *u, update_result_t r)
{
	const ts_row_t *row = &g_array_index(u->rows, ts_txn_row_t, 0).row;

	if (r == UPDATE_CONFLICT) {
		reply(c, u->tag, "job id in use", NULL, 0);
		return;
	}
	c->counters[TS_C_JOB_SUBMITTED] += u->rows->len;
	reply(c, u->tag, NULL, row->u.job.id, 0);
	tell_owners(c, u);
}

/* What a submitter may say of a job, and no more. */
static ts_job_t
declared(const ts_job_t *said)
{
	ts_job_t j = { .state = TS_JOB_QUEUED };

	j.team = g_intern_string(said->team);
	j.pool = g_intern_string(said->pool);
	j.class =
	    said->class[0] == '\0' ? j.pool : g_intern_string(said->class);
	j.deadline_ms = said->deadline_ms;
	j.run_ms = said->run_ms;
	j.size = said->size;
	j.urgent = said->urgent;
	return j;
}

void
submit_handle(ts_core_t *c, const ts_ev_t *ev)
{
	ts_job_t j = declared(ev->u.submit.job);
	int32_t tasks = ev->u.submit.tasks;
	g_autoptr(GError) err = NULL;
	update_t *u;

	if (c->conf == NULL || !c->groups_read || !c->vm_list_read ||
	    c->draining) {
		reply(c, ev->u.submit.id, "not ready", NULL, STORE_RETRY_MS);
		return;
	}
	if (c->store_failing_since_ms != 0) {
		reply(c, ev->u.submit.id, "table service does not answer", NULL,
		    STORE_RETRY_MS);
		return;
	}
	j.submitted_ms = c->now_ms;
	if (!may_run(c, &j, tasks, &err)) {
		reply(c, ev->u.submit.id, err->message, NULL, 0);
		return;
	}
	u = update_new(submitted, NULL);
	u->tag = ev->u.submit.id;
	for (int32_t i = 0; i < tasks; i++) {
		const char *g = submit_choose_group(c, &j, NULL);
		g_autofree char *key = NULL;

		if (g == NULL) /* all its zones are out: it waits in one */
			g = any_group(c, &j);
		snprintf(j.id, sizeof(j.id), "%s/%.24s-%" PRIx64 "-%" PRIx64, g,
		    c->opts.name, c->opts.incarnation, ++c->next_id);
		key = g_strconcat("job/", j.id, NULL);
		update_add_row(u, TS_ROW_JOB, key, 0, true)->u.job = j;
	}
	update_submit(c, u);
}

/* A cancel under way. */
typedef struct {
	uint64_t id;
	char key[TS_KEY_SIZE];
	int tries;
} cancel_t;

static void cancel_read(ts_core_t *c, cancel_t *x);

static void
cancel_end(ts_core_t *c, cancel_t *x, const char *error)
{
	reply(
	    c, x->id, error, error == NULL ? x->key + strlen("job/") : NULL, 0);
	g_free(x);
}

static void
cancel_written(ts_core_t *c, update_t *u, update_result_t r)
{
	cancel_t *x = u->arg;

	if (r == UPDATE_CONFLICT) {
		if (++x->tries < CANCEL_TRIES)
			cancel_read(c, x);
		else
			cancel_end(c, x, "job changes too fast; try again");
		return;
	}
	tell_owners(c, u);
	cancel_end(c, x, NULL);
}

static void
cancel_row(ts_core_t *c, cancel_t *x, const ts_row_t *row)
{
	ts_row_t *w;
	update_t *u;

	switch (row->u.job.state) {
	case TS_JOB_MOVED:
		snprintf(x->key, sizeof(x->key), "job/%s", row->u.job.moved_to);
		cancel_read(c, x);
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

static void
cancel_rows(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	cancel_t *x = r->arg;

	if (!ok) {
		cancel_end(c, x, "table service does not answer");
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (rows[i].kind == TS_ROW_JOB &&
		    strcmp(rows[i].key, x->key) == 0) {
			cancel_row(c, x, &rows[i]);
			return;
		}
	cancel_end(c, x, "no such job");
}

static void
cancel_read(ts_core_t *c, cancel_t *x)
{
	read_start(c, x->key, 0, cancel_rows, x);
}

void
cancel_handle(ts_core_t *c, const ts_ev_t *ev)
{
	cancel_t *x = g_new0(cancel_t, 1);

	x->id = ev->u.cancel.id;
	snprintf(
	    x->key, sizeof(x->key), "job/%.*s", TS_ID_SIZE, ev->u.cancel.job);
	cancel_read(c, x);
}
