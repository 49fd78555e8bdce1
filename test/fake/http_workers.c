/*
 * Stand-ins for the workers of the users' platform, as HTTP servers on
 * loopback: they run tasks under leases, reject stale fencing tokens, and
 * report how runs ended until the reports are acknowledged.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "http_workers.h"

#define BODY_MAX       (256 * 1024)
#define CPU_MILLI      16000
#define MEM_MB	       64000
#define LEASE_MAX_MS   6000 /* as in the platform's settings */
#define CLOCK_RATE_PCT 98   /* rate of the slowest clock a worker may have */

/* A run in progress. */
typedef struct {
	char *task;
	int64_t run, ends_at_ms;
} run_t;

/* An ended run whose report is not acknowledged yet. */
typedef struct {
	int64_t seq, run;
	char *task;
	const char *outcome; /* "done", "stopped" or "lapsed" */
} end_t;

/* A poll (/-/hold), answered when a run has ended or at reply_by_ms. */
typedef struct {
	server_req_t *req;
	int64_t reply_by_ms;
} waiter_t;

typedef struct {
	http_workers_t *set;
	int index;
	GPtrArray *runs, *ends, *waiters;
	GHashTable *highest_run; /* task -> int64_t *, stopped or ended */
	int64_t seq;		 /* of the newest end */
	int64_t fencing_token;	 /* highest that a request has carried */
	int64_t started_ms;	 /* real time, the row's "born" */
	int64_t clock_start_ms;	 /* now_ms() at the start of the process */
	int64_t lease_until_ms;	 /* by clock_ms(); 0: none */
} worker_t;

struct http_workers {
	http_workers_opts_t opts;
	worker_t *workers;
	GHashTable *done_tasks;		/* names of tasks that were done */
	GHashTable *acknowledged_tasks; /* those whose end was acknowledged */
};

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / 1000000);
}

/* The worker's own clock, which begins at 1 and runs slow. */
static int64_t
clock_ms(const worker_t *w)
{
	return (now_ms() - w->clock_start_ms) * CLOCK_RATE_PCT / 100 + 1;
}

static void
    G_GNUC_PRINTF(2, 3) emit_line(const http_workers_t *c, const char *fmt, ...)
{
	g_autofree char *line = NULL;
	va_list ap;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	c->opts.on_line(c->opts.ctx, line);
}

static void
free_run(void *p)
{
	run_t *r = p;

	g_free(r->task);
	g_free(r);
}

static void
free_end(void *p)
{
	end_t *e = p;

	g_free(e->task);
	g_free(e);
}

void
http_reply_json(server_req_t *r, int32_t status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	server_reply(r, status, "content-type: application/json\r\n", text,
	    strlen(text));
	free(text);
	json_decref(j);
}

/*
 * Refuses an order; the reason is "old" (run number), "late" (past its deadline)
 * or "fence" (stale fencing token).
 */
static void
refuse(server_req_t *r, const worker_t *w, const char *reason)
{
	http_reply_json(r, 409,
	    json_pack("{s:I,s:s}", "clock_ms", (json_int_t)clock_ms(w),
		"reason", reason));
}

static void
record_highest_run(worker_t *w, const char *task, int64_t run)
{
	int64_t *have = g_hash_table_lookup(w->highest_run, task);

	if (have == NULL) {
		have = g_new0(int64_t, 1);
		g_hash_table_insert(w->highest_run, g_strdup(task), have);
	}
	*have = MAX(*have, run);
}

static run_t *
find_run(const worker_t *w, const char *task)
{
	for (guint i = 0; i < w->runs->len; i++) {
		run_t *r = g_ptr_array_index(w->runs, i);

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static void
end_run(worker_t *w, run_t *r, const char *outcome)
{
	end_t *e = g_new0(end_t, 1);

	e->seq = ++w->seq;
	e->task = g_strdup(r->task);
	e->run = r->run;
	e->outcome = outcome;
	g_ptr_array_add(w->ends, e);
	record_highest_run(w, r->task, r->run);
	if (strcmp(outcome, "done") == 0)
		g_hash_table_add(w->set->done_tasks, g_strdup(r->task));
	emit_line(w->set, "%s %s run %" PRId64 " on %d", outcome, r->task,
	    r->run, w->index);
	g_ptr_array_remove(w->runs, r);
}

/* The reply to a poll: the clock, the runs in progress and the ended ones. */
static json_t *
build_report(const worker_t *w)
{
	json_t *running = json_array(), *ended = json_array();

	/* [task, run, checkpoint, progress percent, metric] */
	for (guint i = 0; i < w->runs->len; i++) {
		const run_t *r = g_ptr_array_index(w->runs, i);

		json_array_append_new(running,
		    json_pack(
			"[s,I,s,i,i]", r->task, (json_int_t)r->run, "", 50, 0));
	}
	/* [seq, task, run, outcome, checkpoint] */
	for (guint i = 0; i < w->ends->len; i++) {
		const end_t *e = g_ptr_array_index(w->ends, i);

		json_array_append_new(ended,
		    json_pack("[I,s,I,s,s]", (json_int_t)e->seq, e->task,
			(json_int_t)e->run, e->outcome, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
	    (json_int_t)clock_ms(w), "born", (json_int_t)w->started_ms,
	    "running", running, "ended_runs", ended);
}

/* Counts the tasks of step 0 of this task's job that are done. */
static int
count_done_of_step0(const http_workers_t *c, const char *task)
{
	int n = 0;

	for (int i = 0; i < c->opts.first_step_tasks; i++) {
		g_autofree char *name =
		    g_strdup_printf("%.16s.0.0.%d", task, i);

		n += g_hash_table_contains(c->done_tasks, name);
	}
	return n;
}

/*
 * Checks what must hold when a worker accepts a start, and prints BROKEN if it
 * doesn't.  A task is named JOB.OCCURRENCE.STEP.INDEX; JOB has 16 digits.
 */
static void
check_accepted_start(const worker_t *w, const char *task)
{
	const http_workers_t *c = w->set;

	for (int i = 0; i < c->opts.workers; i++)
		if (find_run(&c->workers[i], task) != NULL)
			emit_line(c,
			    "BROKEN %s starts on worker %d while it runs on "
			    "worker %d",
			    task, w->index, i);
	if (g_hash_table_contains(c->acknowledged_tasks, task))
		emit_line(
		    c, "BROKEN %s starts after its end was acknowledged", task);
	if (strlen(task) > 20 && task[19] == '1' &&
	    count_done_of_step0(c, task) < c->opts.first_step_tasks)
		emit_line(c, "BROKEN %s starts before step 0 is done", task);
	if ((int32_t)(w->runs->len + 1) * c->opts.task_cpu_milli > CPU_MILLI)
		emit_line(c,
		    "BROKEN worker %d runs %u tasks, more than it has room for",
		    w->index, w->runs->len + 1);
}

/* Extends the lease of all runs, at most by LEASE_MAX_MS from now. */
static void
extend_lease(worker_t *w, int64_t deadline_ms)
{
	int64_t limit_ms = clock_ms(w) + LEASE_MAX_MS;

	w->lease_until_ms = MAX(w->lease_until_ms, MIN(deadline_ms, limit_ms));
}

static int64_t
json_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static void
handle_run_start(worker_t *w, server_req_t *r, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	const char *ticket = json_string_value(json_object_get(j, "ticket"));
	int64_t run = json_int(j, "run"), *highest;
	int64_t deadline = json_int(j, "deadline_ms");
	run_t *current = task == NULL ? NULL : find_run(w, task);

	if (task == NULL) {
		server_reply(r, 400, "", "", 0);
		return;
	}
	if (current != NULL && current->run == run) {
		extend_lease(w, deadline);
		http_reply_json(r, 200,
		    json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
		return;
	}
	highest = g_hash_table_lookup(w->highest_run, task);
	if (current != NULL || (highest != NULL && run <= *highest)) {
		extend_lease(w, deadline);
		refuse(r, w, "old");
		return;
	}
	if (deadline <= clock_ms(w)) {
		refuse(r, w, "late");
		return;
	}
	check_accepted_start(w, task);
	extend_lease(w, deadline);
	current = g_new0(run_t, 1);
	current->task = g_strdup(task);
	current->run = run;
	current->ends_at_ms = now_ms() + w->set->opts.task_ms;
	g_ptr_array_add(w->runs, current);
	emit_line(w->set, "start %s run %" PRId64 " on %d ticket %s", task, run,
	    w->index, ticket == NULL ? "-" : ticket);
	http_reply_json(
	    r, 200, json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
}

static void
handle_run_stop(worker_t *w, server_req_t *r, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	run_t *current = task == NULL ? NULL : find_run(w, task);
	int64_t run = json_int(j, "run");

	if (task != NULL)
		record_highest_run(w, task, run);
	if (current != NULL && current->run <= run)
		end_run(w, current, "stopped");
	http_reply_json(
	    r, 200, json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
}

/* Drops the ends up to a number that the scheduler has recorded. */
static void
acknowledge_ends(worker_t *w, int64_t last_seen)
{
	for (guint i = w->ends->len; i-- > 0;) {
		const end_t *e = g_ptr_array_index(w->ends, i);

		if (e->seq > last_seen)
			continue;
		if (strcmp(e->outcome, "done") == 0)
			g_hash_table_add(
			    w->set->acknowledged_tasks, g_strdup(e->task));
		g_ptr_array_remove_index(w->ends, i);
	}
}

static void
handle_hold(worker_t *w, server_req_t *r, const json_t *j)
{
	waiter_t *x = g_new0(waiter_t, 1);

	acknowledge_ends(w, json_int(j, "last_seen"));
	if (json_object_get(j, "deadline_ms") != NULL)
		extend_lease(w, json_int(j, "deadline_ms"));
	x->req = r;
	x->reply_by_ms = now_ms() + json_int(j, "wait_ms");
	g_ptr_array_add(w->waiters, x);
}

static void
on_request(void *ctx, server_req_t *r)
{
	worker_t *w = ctx;
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	int64_t token = json_int(j, "fencing_token");
	g_autofree char *expected_id =
	    server_header(r, "tanagerspool-expect-instance");
	g_autofree char *id = http_workers_id(w->set, w->index);

	if (expected_id != NULL && strcmp(expected_id, id) != 0)
		server_reply(r, 421, "", "", 0);
	else if (token < w->fencing_token)
		refuse(r, w, "fence");
	else {
		w->fencing_token = token;
		if (strstr(r->path, "/-/hold") != NULL)
			handle_hold(w, r, j);
		else if (strstr(r->path, "/-/run-start") != NULL)
			handle_run_start(w, r, j);
		else
			handle_run_stop(w, r, j);
	}
	json_decref(j);
}

/* A new process: no runs, no lease, no fencing token, a new clock. */
static void
restart_worker(worker_t *w)
{
	w->started_ms = MAX(w->started_ms + 1, g_get_real_time() / 1000);
	w->clock_start_ms = now_ms();
	w->seq = w->fencing_token = w->lease_until_ms = 0;
	g_ptr_array_set_size(w->runs, 0);
	g_ptr_array_set_size(w->ends, 0);
	g_hash_table_remove_all(w->highest_run);
}

http_workers_t *
http_workers_new(const http_workers_opts_t *o)
{
	http_workers_t *c = g_new0(http_workers_t, 1);

	c->opts = *o;
	c->workers = g_new0(worker_t, o->workers);
	c->done_tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->acknowledged_tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < o->workers; i++) {
		worker_t *w = &c->workers[i];
		g_autoptr(GError) err = NULL;
		server_opts_t so = { .loop = o->loop,
			.ip = o->ip,
			.port = o->port + i,
			.body_max_bytes = BODY_MAX,
			.on_request = on_request,
			.ctx = w };

		w->set = c;
		w->index = i;
		w->runs = g_ptr_array_new_with_free_func(free_run);
		w->ends = g_ptr_array_new_with_free_func(free_end);
		w->waiters = g_ptr_array_new_with_free_func(g_free);
		w->highest_run = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		restart_worker(w);
		if (server_new(&so, &err) == NULL) {
			fprintf(stderr, "worker %d: %s\n", i, err->message);
			return NULL;
		}
	}
	return c;
}

char *
http_workers_id(const http_workers_t *c, int worker)
{
	(void)c;
	return g_strdup_printf("i-%d", worker + 1);
}

char *
http_workers_row(const http_workers_t *c, int worker)
{
	return g_strdup_printf(
	    "{\"service\":\"s\",\"address\":\"%s:%d\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%d,"
	    "\"mem_mb\":%d,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
	    "\"born\":%" PRId64 ",\"sequence\":1}",
	    c->opts.ip, c->opts.advertised_port + worker, CPU_MILLI, MEM_MB,
	    c->workers[worker].started_ms);
}

void
http_workers_restart(http_workers_t *c, int worker)
{
	worker_t *w = &c->workers[worker];

	for (guint i = 0; i < w->runs->len; i++) {
		const run_t *r = g_ptr_array_index(w->runs, i);

		emit_line(c, "lost %s run %" PRId64 " on %d", r->task, r->run,
		    worker);
	}
	restart_worker(w);
}

static void
tick_worker(worker_t *w, int64_t now)
{
	bool expired = clock_ms(w) >= w->lease_until_ms;

	for (guint i = w->runs->len; i-- > 0;) {
		run_t *r = g_ptr_array_index(w->runs, i);

		if (expired)
			end_run(w, r, "lapsed");
		else if (now >= r->ends_at_ms)
			end_run(w, r, "done");
	}
	for (guint i = w->waiters->len; i-- > 0;) {
		waiter_t *x = g_ptr_array_index(w->waiters, i);

		if (now < x->reply_by_ms && w->ends->len == 0)
			continue;
		http_reply_json(x->req, 200, build_report(w));
		g_ptr_array_remove_index_fast(w->waiters, i);
	}
}

void
http_workers_tick(http_workers_t *c)
{
	for (int i = 0; i < c->opts.workers; i++)
		tick_worker(&c->workers[i], now_ms());
}
