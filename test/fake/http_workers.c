/*
 * Workers for process tests.
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

#define BODY_MAX      (256 * 1024)
#define CPU_MILLI     16000
#define MEM_MB	      64000
#define LEASE_MAX_MS  6000 /* as in the platform's settings */
#define CLOCK_PERCENT 98   /* the slowest that a worker's clock may run */

typedef struct {
	char *task;
	int64_t run, until_ms;
} run_t;

typedef struct {
	int64_t seq, run;
	char *task;
	const char *how;
} end_t;

typedef struct {
	server_req_t *req;
	int64_t until_ms;
} waiter_t;

typedef struct {
	http_workers_t *crew;
	int index;
	GPtrArray *runs, *ends, *waiters;
	GHashTable *highest; /* task -> int64_t *, run stopped or ended */
	int64_t seq, token, born_ms, booted_ms;
	int64_t lease_ms; /* this worker's clock; 0: none */
} worker_t;

struct http_workers {
	http_workers_opts_t o;
	worker_t *workers;
	GHashTable *done;  /* tasks that have ended as done */
	GHashTable *noted; /* ... whose end was noted */
};

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / 1000000);
}

static int64_t
clock_ms(const worker_t *w)
{
	return (now_ms() - w->booted_ms) * CLOCK_PERCENT / 100 + 1;
}

static void
    G_GNUC_PRINTF(2, 3) tell(const http_workers_t *c, const char *fmt, ...)
{
	g_autofree char *line = NULL;
	va_list ap;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	c->o.on_line(c->o.ctx, line);
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

static void
refuse(server_req_t *r, const worker_t *w, const char *reason)
{
	http_reply_json(r, 409,
	    json_pack("{s:I,s:s}", "clock_ms", (json_int_t)clock_ms(w),
		"reason", reason));
}

static void
set_highest(worker_t *w, const char *task, int64_t run)
{
	int64_t *have = g_hash_table_lookup(w->highest, task);

	if (have == NULL) {
		have = g_new0(int64_t, 1);
		g_hash_table_insert(w->highest, g_strdup(task), have);
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
end_run(worker_t *w, run_t *r, const char *how)
{
	end_t *e = g_new0(end_t, 1);

	e->seq = ++w->seq;
	e->task = g_strdup(r->task);
	e->run = r->run;
	e->how = how;
	g_ptr_array_add(w->ends, e);
	set_highest(w, r->task, r->run);
	if (strcmp(how, "done") == 0)
		g_hash_table_add(w->crew->done, g_strdup(r->task));
	tell(w->crew, "%s %s run %" PRId64 " on %d", how, r->task, r->run,
	    w->index);
	g_ptr_array_remove(w->runs, r);
}

static json_t *
report(const worker_t *w)
{
	json_t *running = json_array(), *ended = json_array();

	for (guint i = 0; i < w->runs->len; i++) {
		const run_t *r = g_ptr_array_index(w->runs, i);

		json_array_append_new(running,
		    json_pack(
			"[s,I,s,i,i]", r->task, (json_int_t)r->run, "", 50, 0));
	}
	for (guint i = 0; i < w->ends->len; i++) {
		const end_t *e = g_ptr_array_index(w->ends, i);

		json_array_append_new(ended,
		    json_pack("[I,s,I,s,s]", (json_int_t)e->seq, e->task,
			(json_int_t)e->run, e->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
	    (json_int_t)clock_ms(w), "born", (json_int_t)w->born_ms, "running",
	    running, "ended_runs", ended);
}

/* Counts tasks of a job's first step that have ended as done. */
static int
first_done(const http_workers_t *c, const char *task)
{
	int n = 0;

	for (int i = 0; i < c->o.first_step_tasks; i++) {
		g_autofree char *name =
		    g_strdup_printf("%.16s.0.0.%d", task, i);

		n += g_hash_table_contains(c->done, name);
	}
	return n;
}

/* What must hold of a start that the worker accepts. */
static void
check_start(const worker_t *w, const char *task)
{
	const http_workers_t *c = w->crew;

	for (int i = 0; i < c->o.workers; i++)
		if (find_run(&c->workers[i], task) != NULL)
			tell(c, "BROKEN %s starts on %d, runs on %d", task,
			    w->index, i);
	if (g_hash_table_contains(c->noted, task))
		tell(c, "BROKEN %s starts after its end was noted", task);
	if (strlen(task) > 20 && task[19] == '1' &&
	    first_done(c, task) < c->o.first_step_tasks)
		tell(c, "BROKEN %s starts before its first step is done", task);
	if ((int32_t)(w->runs->len + 1) * c->o.task_cpu_milli > CPU_MILLI)
		tell(c, "BROKEN worker %d holds %u tasks", w->index,
		    w->runs->len + 1);
}

static void
extend(worker_t *w, int64_t deadline_ms)
{
	int64_t most = clock_ms(w) + LEASE_MAX_MS;

	w->lease_ms = MAX(w->lease_ms, MIN(deadline_ms, most));
}

static int64_t
integer(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static void
do_start(worker_t *w, server_req_t *r, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	const char *ticket = json_string_value(json_object_get(j, "ticket"));
	int64_t run = integer(j, "run"), *highest;
	int64_t deadline = integer(j, "deadline_ms");
	run_t *have = task == NULL ? NULL : find_run(w, task);

	if (task == NULL) {
		server_reply(r, 400, "", "", 0);
		return;
	}
	if (have != NULL && have->run == run) {
		extend(w, deadline);
		http_reply_json(r, 200,
		    json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
		return;
	}
	highest = g_hash_table_lookup(w->highest, task);
	if (have != NULL || (highest != NULL && run <= *highest)) {
		extend(w, deadline);
		refuse(r, w, "old");
		return;
	}
	if (deadline <= clock_ms(w)) {
		refuse(r, w, "late");
		return;
	}
	check_start(w, task);
	extend(w, deadline);
	have = g_new0(run_t, 1);
	have->task = g_strdup(task);
	have->run = run;
	have->until_ms = now_ms() + w->crew->o.task_ms;
	g_ptr_array_add(w->runs, have);
	tell(w->crew, "start %s run %" PRId64 " on %d ticket %s", task, run,
	    w->index, ticket == NULL ? "-" : ticket);
	http_reply_json(
	    r, 200, json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
}

static void
do_stop(worker_t *w, server_req_t *r, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	run_t *have = task == NULL ? NULL : find_run(w, task);
	int64_t run = integer(j, "run");

	if (task != NULL)
		set_highest(w, task, run);
	if (have != NULL && have->run <= run)
		end_run(w, have, "stopped");
	http_reply_json(
	    r, 200, json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
}

static void
note(worker_t *w, int64_t seen)
{
	for (guint i = w->ends->len; i-- > 0;) {
		const end_t *e = g_ptr_array_index(w->ends, i);

		if (e->seq > seen)
			continue;
		if (strcmp(e->how, "done") == 0)
			g_hash_table_add(w->crew->noted, g_strdup(e->task));
		g_ptr_array_remove_index(w->ends, i);
	}
}

static void
do_hold(worker_t *w, server_req_t *r, const json_t *j)
{
	waiter_t *x = g_new0(waiter_t, 1);

	note(w, integer(j, "last_seen"));
	if (json_object_get(j, "deadline_ms") != NULL)
		extend(w, integer(j, "deadline_ms"));
	x->req = r;
	x->until_ms = now_ms() + integer(j, "wait_ms");
	g_ptr_array_add(w->waiters, x);
}

static void
on_request(void *ctx, server_req_t *r)
{
	worker_t *w = ctx;
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	int64_t token = integer(j, "fencing_token");
	g_autofree char *want =
	    server_header(r, "tanagerspool-expect-instance");
	g_autofree char *id = http_workers_id(w->crew, w->index);

	if (want != NULL && strcmp(want, id) != 0)
		server_reply(r, 421, "", "", 0);
	else if (token < w->token)
		refuse(r, w, "fence");
	else {
		w->token = token;
		if (strstr(r->path, "/-/hold") != NULL)
			do_hold(w, r, j);
		else if (strstr(r->path, "/-/run-start") != NULL)
			do_start(w, r, j);
		else
			do_stop(w, r, j);
	}
	json_decref(j);
}

static void
boot(worker_t *w)
{
	w->born_ms = MAX(w->born_ms + 1, g_get_real_time() / 1000);
	w->booted_ms = now_ms();
	w->seq = w->token = w->lease_ms = 0;
	g_ptr_array_set_size(w->runs, 0);
	g_ptr_array_set_size(w->ends, 0);
	g_hash_table_remove_all(w->highest);
}

http_workers_t *
http_workers_new(const http_workers_opts_t *o)
{
	http_workers_t *c = g_new0(http_workers_t, 1);

	c->o = *o;
	c->workers = g_new0(worker_t, o->workers);
	c->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->noted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < o->workers; i++) {
		worker_t *w = &c->workers[i];
		g_autoptr(GError) err = NULL;
		server_opts_t so = { .loop = o->loop,
			.ip = o->ip,
			.port = o->port + i,
			.body_max_bytes = BODY_MAX,
			.on_request = on_request,
			.ctx = w };

		w->crew = c;
		w->index = i;
		w->runs = g_ptr_array_new_with_free_func(free_run);
		w->ends = g_ptr_array_new_with_free_func(free_end);
		w->waiters = g_ptr_array_new_with_free_func(g_free);
		w->highest = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		boot(w);
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
	    "\"state\":\"ready\",\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,"
	    "\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"born\":%" PRId64 "}",
	    c->o.ip, c->o.advertised_port + worker, CPU_MILLI, MEM_MB,
	    c->workers[worker].born_ms);
}

void
http_workers_restart(http_workers_t *c, int worker)
{
	worker_t *w = &c->workers[worker];

	for (guint i = 0; i < w->runs->len; i++) {
		const run_t *r = g_ptr_array_index(w->runs, i);

		tell(c, "lost %s run %" PRId64 " on %d", r->task, r->run,
		    worker);
	}
	boot(w);
}

static void
tick(worker_t *w, int64_t now)
{
	bool lapsed = clock_ms(w) >= w->lease_ms;

	for (guint i = w->runs->len; i-- > 0;) {
		run_t *r = g_ptr_array_index(w->runs, i);

		if (lapsed)
			end_run(w, r, "lapsed");
		else if (now >= r->until_ms)
			end_run(w, r, "done");
	}
	for (guint i = w->waiters->len; i-- > 0;) {
		waiter_t *x = g_ptr_array_index(w->waiters, i);

		if (now < x->until_ms && w->ends->len == 0)
			continue;
		http_reply_json(x->req, 200, report(w));
		g_ptr_array_remove_index_fast(w->waiters, i);
	}
}

void
http_workers_tick(http_workers_t *c)
{
	for (int i = 0; i < c->o.workers; i++)
		tick(&c->workers[i], now_ms());
}
