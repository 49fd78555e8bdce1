/*
 * The load of the simulation: callers' requests, the backend servers that
 * serve them, and batch jobs; the invariants of all three; and the recovery at
 * the end of a run.
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

/* How long after a change the following may still happen. */
#define START_GRACE_MS	 3000 /* starts in an out zone or of cancelled jobs */
#define LEAVING_GRACE_MS 4000 /* requests to a worker that is leaving */

#define RECOVERY_MIN_MS 20000
#define RECOVERY_MAX_MS 400000

/* As in the pools table that sim.c writes, like slot_size(). */
static const int32_t slots_per_worker[SIM_POOLS] = { 8, 2, 2 };

/* The key of requests_by_local_id; valid until the next call. */
static const char *
local_id_key(int e, int64_t incarnation, uint64_t local_id)
{
	static char k[64];

	g_snprintf(
	    k, sizeof(k), "%d:%" PRId64 ":%" PRIu64, e, incarnation, local_id);
	return k;
}

sim_req_t *
sim_find_request(sim_t *s, int e, uint64_t local_id)
{
	return g_hash_table_lookup(s->requests_by_local_id,
	    local_id_key(e, s->entry[e].incarnation, local_id));
}

void
sim_bind_local_id(sim_t *s, int e, uint64_t local_id, sim_req_t *q)
{
	if (q != NULL)
		g_hash_table_insert(s->requests_by_local_id,
		    g_strdup(
			local_id_key(e, s->entry[e].incarnation, local_id)),
		    q);
}

/*
 * Callers.
 */
sim_req_t *
sim_request(sim_t *s, int i, int pool, const char *idem_key)
{
	sim_req_t *q = g_new0(sim_req_t, 1);
	g_autofree char *path = g_strconcat("/", sim_pools[pool], NULL);
	ts_ev_t ev = { .kind = TS_EV_REQUEST };

	q->id = ++s->next_request_id;
	q->pool = pool;
	q->entry = i;
	q->sent_ms = s->now;
	q->local_id = ++s->entry[i].next_local_id;
	if (idem_key != NULL)
		g_strlcpy(q->idem_key, idem_key, sizeof(q->idem_key));
	g_hash_table_insert(s->requests, &q->id, q);
	sim_bind_local_id(s, i, q->local_id, q);
	ev.u.request.id = q->local_id;
	ev.u.request.token_sha256 = SIM_TOKEN_SHA256;
	ev.u.request.path = path;
	ev.u.request.idem_key = idem_key;
	sim_input(s, &s->entry[i], &ev);
	return q;
}

static void
end_request(sim_t *s, sim_req_t *q, ts_outcome_t outcome)
{
	if (q->ended)
		sim_violation(s, "request %" PRIu64 " answered twice", q->id);
	q->ended = true;
	q->ended_ms = s->now;
	q->outcome = outcome;
}

void
sim_on_answer(sim_t *s, int e, const ts_act_t *a)
{
	sim_req_t *q = sim_find_request(s, e, a->u.answer.req);
	int64_t us;

	if (q == NULL || q->entry != e || q->local_id != a->u.answer.req) {
		sim_violation(s, "an answer to an unknown request");
		return;
	}
	end_request(s, q, TS_OUTCOME_ANSWERED);
	if (q->runs == 0)
		sim_violation(
		    s, "request %" PRIu64 " answered but it never ran", q->id);
	s->answered++;
	us = (s->now - q->sent_ms) * 1000 + q->sub_ms_us;
	if (q->pool == 0)
		g_array_append_val(s->latency_us, us);
}

void
sim_on_refusal(sim_t *s, int e, const ts_act_t *a)
{
	sim_req_t *q = sim_find_request(s, e, a->u.refuse.req);

	/* Not an end yet if a peer refuses a request forwarded to it. */
	if (q == NULL || q->entry != e || q->local_id != a->u.refuse.req)
		return;
	end_request(s, q, a->u.refuse.outcome);
	q->reason = a->u.refuse.reason;
	q->retry_after_ms = a->u.refuse.retry_after_ms;
	if (q->outcome == TS_OUTCOME_NOT_RUN) {
		s->refused++;
		if (q->runs > 0)
			sim_violation(s,
			    "request %" PRIu64 " ended as not run, but it "
			    "ran",
			    q->id);
	} else
		s->unknown++;
	if (q->reason == TS_C_REFUSE_FULL)
		s->slowest_refusal_ms =
		    MAX(s->slowest_refusal_ms, s->now - q->sent_ms);
}

void
sim_abandon_requests(sim_t *s, int e)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		sim_req_t *q = v;

		if (q->entry == e && !q->ended)
			q->entry_died = true;
	}
}

/*
 * Backend servers.
 */

/* One attempt to run a request on a worker. */
typedef struct {
	int entry;
	int64_t incarnation; /* of the entry's process that sent it */
	uint64_t local_id;
	int32_t attempt;
	int32_t left_ms; /* until the entry's timeout, from sent_ms */
	int64_t sent_ms;
	int worker;
	int64_t agent_incarnation; /* of the worker, when it began */
	int pool;
	sim_req_t *request;
	ts_outcome_t outcome;
} backend_run_t;

static void
on_backend_reply(sim_t *s, void *arg)
{
	backend_run_t *r = arg;
	ts_ev_t ev = { .kind = TS_EV_ATTEMPT_END };

	ev.u.attempt_end.req = r->local_id;
	ev.u.attempt_end.attempt = r->attempt;
	ev.u.attempt_end.outcome = r->outcome;
	ev.u.attempt_end.status = 200;
	sim_input(s, &s->entry[r->entry], &ev);
	g_free(r);
}

static void
free_run(sim_t *s, void *arg)
{
	(void)s;
	g_free(arg);
}

/* Reports the attempt's outcome to its entry after a delay. */
static void
schedule_reply(
    sim_t *s, const backend_run_t *r, ts_outcome_t outcome, int32_t after_ms)
{
	backend_run_t *copy = g_new(backend_run_t, 1);

	*copy = *r;
	copy->outcome = outcome;
	sim_deliver(s, r->entry, r->incarnation, after_ms, on_backend_reply,
	    free_run, copy);
}

static ts_res_t
slot_size(const sim_t *s)
{
	return (ts_res_t){ s->opts.worker_cpus >= 16 ? 1000 : 250, 1000000, 0 };
}

/* Tasks and slots in use must not exceed the capacity of a worker. */
static void
check_capacity(sim_t *s, sim_worker_t *w)
{
	ts_res_t used = { 0, 0, 0 }, slot = slot_size(s);

	for (guint i = 0; i < w->fake.tasks->len; i++) {
		fake_task_t *t = &g_array_index(w->fake.tasks, fake_task_t, i);

		if (t->state == TS_TASK_RUNNING)
			ts_res_add(&used, &t->order.size);
	}
	for (int p = 0; p < SIM_POOLS; p++) {
		if (w->slots_used[p] > slots_per_worker[p])
			sim_violation(s, "%s serves %d requests of %s", w->name,
			    w->slots_used[p], sim_pools[p]);
		for (int k = 0; k < w->slots_used[p]; k++)
			ts_res_add(&used, &slot);
	}
	if (!ts_res_fits(&used, &w->capacity))
		sim_violation(s,
		    "%s holds %" PRId64 " of %" PRId64
		    " thousandths of a processor",
		    w->name, used.cpu_milli, w->capacity.cpu_milli);
}

/* Checks what must hold when a backend server begins a request. */
static void
check_request_start(sim_t *s, sim_worker_t *w, sim_req_t *q)
{
	int times;

	if (q->ended && q->outcome == TS_OUTCOME_NOT_RUN)
		sim_violation(s,
		    "request %" PRIu64 " runs after it ended as not "
		    "run",
		    q->id);
	if (q->pool == 1 && q->runs > 1)
		sim_violation(s, "booking %" PRIu64 " runs twice", q->id);
	if (w->leaving &&
	    s->now - w->leaving_since_ms >
		LEAVING_GRACE_MS + s->opts.vm_list_lag_ms)
		sim_violation(s, "%s is leaving and gets a request", w->name);
	if (q->idem_key[0] == '\0')
		return;
	times = 1 +
	    GPOINTER_TO_INT(
		g_hash_table_lookup(s->executions_by_key, q->idem_key));
	g_hash_table_replace(s->executions_by_key, g_strdup(q->idem_key),
	    GINT_TO_POINTER(times));
	if (times > 1)
		sim_violation(
		    s, "key %s takes effect %d times", q->idem_key, times);
}

/*
 * Draws a service time.  Tasks of the class "noisy" slow requests down in
 * proportion to their processor shares.
 */
static int64_t
service_us(sim_t *s, const sim_worker_t *w, int pool)
{
	int64_t us = s->opts.service_ms * 1000 * (pool + 1);
	int64_t slowdown_pct = 100;

	if (us == 0)
		us = 4000;
	for (guint i = 0; i < w->fake.tasks->len; i++) {
		fake_task_t *t = &g_array_index(w->fake.tasks, fake_task_t, i);

		if (t->state == TS_TASK_RUNNING &&
		    strcmp(t->order.class, "noisy") == 0)
			slowdown_pct += s->opts.noise_slowdown_pct *
			    t->order.share_pct / 100;
	}
	us = us * slowdown_pct / 100;
	return us * g_rand_int_range(s->rand, 80, 121) / 100;
}

static void
on_served(sim_t *s, void *arg)
{
	backend_run_t *r = arg;
	sim_worker_t *w = &s->worker[r->worker];

	/* A restart since then ended the request without an answer. */
	if (w->fake.agent_incarnation == r->agent_incarnation) {
		w->slots_used[r->pool]--;
		--*fake_worker_running(&w->fake, sim_pools[r->pool]);
		/* An answer after the timeout finds its connection closed. */
		if (s->now - r->sent_ms < r->left_ms &&
		    !sim_chance(s, s->worker_loss_pct))
			schedule_reply(
			    s, r, TS_OUTCOME_ANSWERED, sim_net_delay(s));
		else if (s->now - r->sent_ms < r->left_ms)
			schedule_reply(
			    s, r, TS_OUTCOME_UNKNOWN, sim_net_delay(s));
	}
	g_free(r);
}

/*
 * The entry's own timeout of an attempt, reported in any case: the core ignores
 * it if the attempt has ended before.
 */
static void
on_timeout(sim_t *s, void *arg)
{
	schedule_reply(s, arg, TS_OUTCOME_UNKNOWN, 0);
	g_free(arg);
}

/* The request reaches the worker and runs, unless the connection fails. */
static void
on_backend_request(sim_t *s, void *arg)
{
	backend_run_t *r = arg;
	sim_worker_t *w = &s->worker[r->worker];
	backend_run_t *timeout;
	int64_t us;

	if (w->dead || w->unreachable || s->entry[r->entry].workers_cut ||
	    s->entry[r->entry].incarnation != r->incarnation) {
		schedule_reply(s, r, TS_OUTCOME_NOT_RUN, sim_net_delay(s));
		g_free(r);
		return;
	}
	s->backend_runs++;
	r->request->runs++;
	r->agent_incarnation = w->fake.agent_incarnation;
	w->slots_used[r->pool]++;
	++*fake_worker_running(&w->fake, sim_pools[r->pool]);
	check_request_start(s, w, r->request);
	check_capacity(s, w);
	us = service_us(s, w, r->pool);
	if (sim_chance(s, s->worker_loss_pct))
		us += 4000000; /* hangs past the deadline of every route */
	r->request->sub_ms_us = us % 1000;
	timeout = g_new(backend_run_t, 1);
	*timeout = *r;
	sim_schedule(s, r->left_ms, on_timeout, timeout);
	sim_schedule(s, us / 1000, on_served, r);
}

void
sim_send_to_backend(sim_t *s, int e, const ts_act_t *a)
{
	backend_run_t *r = g_new0(backend_run_t, 1);

	r->entry = e;
	r->incarnation = s->entry[e].incarnation;
	r->local_id = a->u.send.req;
	r->attempt = a->u.send.attempt;
	r->left_ms = a->u.send.left_ms;
	r->sent_ms = s->now;
	r->worker = atoi(a->u.send.worker + 1);
	r->request = sim_find_request(s, e, r->local_id);
	r->pool = r->request->pool;
	r->request->sends++;
	sim_schedule(s, sim_net_delay(s) / 2, on_backend_request, r);
}

/*
 * Jobs.
 */

/* The id that a job had before any move to another group. */
static const char *
original_id(sim_t *s, const char *id)
{
	const char *original = g_hash_table_lookup(s->original_ids, id);

	return original == NULL ? id : original;
}

void
sim_record_job_writes(sim_t *s, const ts_txn_row_t *rows, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const ts_job_t *j = &rows[i].row.u.job;

		if (rows[i].write && rows[i].row.kind == TS_ROW_JOB)
			sim_trace(s,
			    "%s writes %s over version %" PRId64
			    " state %d attempt %d cancel %d",
			    rows[i].row.writer, j->id, rows[i].row.version,
			    j->state, j->attempt, j->cancel_requested);
		if (rows[i].write && rows[i].row.kind == TS_ROW_JOB &&
		    j->state == TS_JOB_MOVED)
			g_hash_table_replace(s->original_ids,
			    g_strdup(j->moved_to),
			    g_strdup(original_id(s, j->id)));
	}
}

static int
zone_index(const sim_t *s, const char *zone)
{
	for (int z = 0; z < s->opts.zones; z++)
		if (strcmp(sim_zones[z], zone) == 0)
			return z;
	return 0;
}

/*
 * Checks, when an attempt starts, that its job doesn't run elsewhere and hasn't
 * been cancelled, and that its zone is in service.
 */
static void
check_task_start(
    sim_t *s, sim_worker_t *w, const fake_task_t *t, const char *original)
{
	int z = zone_index(s, w->zone);
	int64_t *cancelled_ms =
	    g_hash_table_lookup(s->cancel_accepted_ms, original);

	if (g_hash_table_contains(s->running, original))
		sim_violation(s,
		    "job %s attempt %d starts on %s while it runs on %s",
		    original, t->order.attempt, w->name,
		    (char *)g_hash_table_lookup(s->running, original));
	if (s->zone_out[z] && s->now - s->zone_changed_ms[z] > START_GRACE_MS)
		sim_violation(s,
		    "job %s starts in zone %s, which is out for %" PRId64 " ms",
		    original, w->zone, s->now - s->zone_changed_ms[z]);
	if (cancelled_ms != NULL && s->now - *cancelled_ms > START_GRACE_MS)
		sim_violation(s, "job %s starts though cancelled", original);
}

/* Sets the time of an original id unless it has one. */
static void
record_first_time(sim_t *s, GHashTable *into, const char *original)
{
	int64_t *at;

	if (g_hash_table_contains(into, original))
		return;
	at = g_new(int64_t, 1);
	*at = s->now;
	g_hash_table_insert(into, g_strdup(original), at);
}

void
sim_on_attempt(void *ctx, fake_worker_t *f, const fake_task_t *t, bool start)
{
	sim_t *s = ctx;
	sim_worker_t *w = &s->worker[atoi(f->name + 1)];
	const char *original = original_id(s, t->order.id);

	sim_trace(s, "%s %s %s attempt %d state %d", f->name,
	    start ? "starts" : "ends", original, t->order.attempt, t->state);
	if (!start) {
		g_hash_table_remove(s->running, original);
		if (t->state == TS_TASK_DONE)
			record_first_time(s, s->first_done_ms, original);
		return;
	}
	record_first_time(s, s->first_start_ms, original);
	s->attempts_started++;
	check_task_start(s, w, t, original);
	g_hash_table_insert(s->running, g_strdup(original), w->name);
	check_capacity(s, w);
}

void
sim_submit(sim_t *s, int e, const ts_job_t *job, int tasks)
{
	ts_ev_t ev = { .kind = TS_EV_SUBMIT };

	ev.u.submit.id = ++s->next_submit_id;
	ev.u.submit.job = job;
	ev.u.submit.tasks = tasks;
	sim_input(s, &s->entry[e], &ev);
}

void
sim_cancel(sim_t *s, int e, const char *id)
{
	ts_ev_t ev = { .kind = TS_EV_CANCEL };
	g_autofree char *n = g_strdup_printf("%" PRIu64, ++s->next_submit_id);

	g_hash_table_insert(
	    s->cancel_requests, g_strdup(n), g_strdup(original_id(s, id)));
	ev.u.cancel.id = s->next_submit_id;
	ev.u.cancel.job = id;
	sim_input(s, &s->entry[e], &ev);
}

void
sim_on_job_reply(sim_t *s, int e, const ts_act_t *a)
{
	g_autofree char *n = g_strdup_printf("%" PRIu64, a->u.job.id);
	const char *cancel = g_hash_table_lookup(s->cancel_requests, n);
	int64_t *at;

	(void)e;
	if (a->u.job.error != NULL)
		return;
	if (cancel == NULL) {
		g_hash_table_add(s->accepted_jobs, g_strdup(a->u.job.job));
		return;
	}
	sim_trace(s, "cancel of %s is accepted", cancel);
	at = g_new(int64_t, 1);
	*at = s->now;
	g_hash_table_replace(s->cancel_accepted_ms, g_strdup(cancel), at);
}

const ts_job_t *
sim_find_job(sim_t *s, const char *id)
{
	for (;;) {
		g_autofree char *key = g_strconcat("job/", id, NULL);
		ts_row_t *r = g_hash_table_lookup(s->table.rows, key);

		if (r == NULL || r->u.job.state != TS_JOB_MOVED)
			return r == NULL ? NULL : &r->u.job;
		id = r->u.job.moved_to;
	}
}

void
sim_crash_worker(sim_t *s, int i, bool replace)
{
	sim_worker_t *w = &s->worker[i];

	sim_trace(s, "%s %s", w->name, replace ? "is replaced" : "restarts");
	fake_worker_crash(&w->fake, w->fake.agent_incarnation + 1);
	memset(w->slots_used, 0, sizeof(w->slots_used));
	if (replace) {
		w->fake.vm_incarnation++;
		w->leaving = false;
		sim_publish_vm_list(s);
	}
}

/*
 * Recovery: once faults have ended, all jobs and requests must end.
 */
static bool
job_has_ended(const ts_job_t *j)
{
	return j->state != TS_JOB_QUEUED && j->state != TS_JOB_RUNNING;
}

static const char *
unfinished_job(sim_t *s)
{
	GHashTableIter it;
	void *k;

	g_hash_table_iter_init(&it, s->accepted_jobs);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		const ts_job_t *j = sim_find_job(s, k);

		if (j == NULL || !job_has_ended(j))
			return k;
	}
	return NULL;
}

static sim_req_t *
unanswered_request(sim_t *s)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		sim_req_t *q = v;

		if (!q->ended && !q->entry_died)
			return q;
	}
	return NULL;
}

/* A worker group whose owner isn't the current process of an entry, or NULL. */
static const char *
unowned_group(sim_t *s)
{
	for (int i = 0; i < s->opts.workers; i++) {
		g_autofree char *key =
		    g_strconcat("group/", s->worker[i].group, NULL);
		ts_row_t *r = g_hash_table_lookup(s->table.rows, key);
		sim_entry_t *e;

		if (r == NULL || r->u.group.owner == NULL)
			return s->worker[i].group;
		e = &s->entry[atoi(r->u.group.owner + 1)];
		if (e->core == NULL || e->incarnation != r->u.group.incarnation)
			return s->worker[i].group;
	}
	return NULL;
}

/* Heals the network and the store, and starts every process and worker. */
static void
end_faults(sim_t *s)
{
	s->store_down = false;
	s->store_latency_ms = 4;
	s->store_loss_pct = s->worker_loss_pct = s->late_sync_pct = 0;
	for (int i = 0; i < s->opts.entries; i++) {
		sim_entry_t *e = &s->entry[i];

		e->store_cut = e->peers_cut = e->workers_cut = false;
		e->store_replies_lost = e->sync_replies_lost = false;
		memset(e->peer_cut, 0, sizeof(e->peer_cut));
		sim_pause_entry(s, i, false);
		if (e->core == NULL)
			sim_start_entry(s, i);
	}
	for (int i = 0; i < s->opts.workers; i++) {
		s->worker[i].unreachable = s->worker[i].leaving = false;
		s->worker[i].fake.fails_all_tasks = false;
		if (s->worker[i].dead) {
			s->worker[i].dead = false;
			sim_crash_worker(s, i, true);
		}
	}
	for (int z = 0; z < s->opts.zones; z++)
		if (s->zone_out[z])
			sim_set_zone(s, z, false);
	sim_publish_vm_list(s);
}

void
sim_recover(sim_t *s)
{
	int64_t end = s->now + RECOVERY_MAX_MS;
	sim_req_t *q;

	if (s->violation != NULL)
		return;
	end_faults(s);
	while (s->now < end && s->violation == NULL &&
	    (s->now < end - RECOVERY_MAX_MS + RECOVERY_MIN_MS ||
		unfinished_job(s) != NULL || unowned_group(s) != NULL)) {
		sim_run_until(s, s->now + 1000);
		/* Replaces processes that were stopping as the faults ended. */
		for (int i = 0; i < s->opts.entries; i++)
			sim_start_entry(s, i);
	}
	if (unowned_group(s) != NULL)
		sim_violation(
		    s, "group %s has no living owner", unowned_group(s));
	if (unfinished_job(s) != NULL)
		sim_violation(s, "job %s has not ended: %s", unfinished_job(s),
		    sim_find_job(s, unfinished_job(s)) == NULL ? "lost" :
			sim_find_job(s, unfinished_job(s))->state ==
			    TS_JOB_QUEUED ?
								 "queued" :
								 "running");
	q = unanswered_request(s);
	if (q != NULL)
		sim_violation(
		    s, "request %" PRIu64 " was never answered", q->id);
	for (int i = 0; i < s->opts.entries && s->violation == NULL; i++)
		if (s->entry[i].conf_version != s->conf_version)
			sim_violation(s,
			    "%s ends with configuration version %" PRId64,
			    s->entry[i].name, s->entry[i].conf_version);
}
