/*
 * A stand-in of one worker for the scripts of the review (PROTOCOL, "Running
 * tasks" and "Service discovery").
 *
 * usage: worker3 ID IP PORT STORE-IP STORE-PORT LABEL RACK CPU MEM-MB RECORD
 *
 * A task takes as many ms as the number after "t=" in its spec; one whose spec
 * has "ticket" starts only with a valid ticket for its step and this worker.  It
 * rejects what does not fit (rejects_overload).  Each start and end is a line of
 * RECORD.  It pings the store every 1,100 ms; a kill ends it as a crash would.  Tasks of
 * a gang work from their own start on: what becomes of one that waits isn't looked at.
 */
#define _GNU_SOURCE
#include <inttypes.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../../trans/trans.h"
#include "http3.h"

#define PING_MS	    1100
#define TICK_MS	    5
#define MAX_HOLD_MS 6000
#define STOP_MS	    100 /* the platform's bound is 400 */
#define ENDS_LISTED 500

typedef struct {
	char *task;
	int64_t run, began_ms, ends_at_ms;
	int64_t stop_at_ms; /* 0: it is not being stopped */
	int64_t cpu, mem;
} run_t;

typedef struct {
	int64_t seq, run;
	char *task;
	const char *how;
} end_t;

typedef struct {
	server_req_t *req;
	int64_t until_ms, seq;
} hold_t;

static const char *id, *ip, *store_ip, *label, *rack;
static int port, store_port;
static int64_t cpu_milli, mem_mb, born_ms, began_ms, token, seq, lease_ms;
static int64_t last_seen, sequence;
static GPtrArray *runs, *ends, *holds;
static GHashTable *highest; /* task -> run that was stopped or ended */
static FILE *record;

static int64_t
clock_ms(void)
{
	return mono_ms() - began_ms + 1;
}

static void
note(const char *what, const char *task, int64_t run)
{
	fprintf(record, "%" PRId64 " %s %s run=%" PRId64 " worker=%s\n",
	    wall_ms(), what, task, run, id);
	fflush(record);
}

static void
reply(server_req_t *r, int status, json_t *j)
{
	char *s = json_dumps(j, JSON_COMPACT);

	server_reply(
	    r, status, "content-type: application/json\r\n", s, strlen(s));
	free(s);
	json_decref(j);
}

static void
refuse(server_req_t *r, const char *why)
{
	reply(r, 409,
	    json_pack("{s:I,s:I,s:s}", "clock_ms", (json_int_t)clock_ms(),
		"born", (json_int_t)born_ms, "reason", why));
}

static void
accept_call(server_req_t *r)
{
	reply(r, 200,
	    json_pack("{s:I,s:I}", "clock_ms", (json_int_t)clock_ms(), "born",
		(json_int_t)born_ms));
}

static run_t *
find(const char *task)
{
	for (guint i = 0; i < runs->len; i++) {
		run_t *r = g_ptr_array_index(runs, i);

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static int64_t
highest_of(const char *task)
{
	int64_t *n = g_hash_table_lookup(highest, task);

	return n == NULL ? 0 : *n;
}

static void
raise_highest(const char *task, int64_t run)
{
	int64_t n = MAX(run, highest_of(task));

	g_hash_table_replace(highest, g_strdup(task), g_memdup2(&n, sizeof(n)));
}

static void
end_run(run_t *r, const char *how)
{
	end_t *e = g_new0(end_t, 1);

	e->seq = ++seq;
	e->task = r->task;
	e->run = r->run;
	e->how = how;
	g_ptr_array_add(ends, e);
	raise_highest(r->task, r->run);
	note(how, r->task, r->run);
	g_ptr_array_remove(runs, r);
	g_free(r);
}

static void
extend(int64_t deadline_ms)
{
	lease_ms = MAX(lease_ms, MIN(deadline_ms, clock_ms() + MAX_HOLD_MS));
}

static int64_t
number(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/* Whether a ticket is one for this worker and the task's step, and not over. */
static bool
ticket_valid(const char *ticket, const char *task)
{
	g_auto(GStrv) v = g_strsplit(ticket == NULL ? "" : ticket, ":", 3);
	g_autofree char *step = g_strdup(task);
	char *dot = strrchr(step, '.');

	if (dot != NULL)
		*dot = '\0';
	return g_strv_length(v) == 3 && strcmp(v[0], id) == 0 &&
	    strcmp(v[1], step) == 0 &&
	    g_ascii_strtoll(v[2], NULL, 10) >= mono_ms();
}

static bool
has_room(int64_t cpu, int64_t mem)
{
	for (guint i = 0; i < runs->len; i++) {
		run_t *r = g_ptr_array_index(runs, i);

		cpu += r->cpu;
		mem += r->mem;
	}
	return cpu <= cpu_milli && mem <= mem_mb;
}

/* A number in a spec, after a name and '='. */
static int64_t
spec_number(const char *spec, const char *name, int64_t otherwise)
{
	const char *p = strstr(spec, name);

	return p == NULL ? otherwise :
			   g_ascii_strtoll(p + strlen(name), NULL, 10);
}

static void
start(server_req_t *r, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	const char *spec = json_string_value(json_object_get(j, "spec"));
	const char *ticket = json_string_value(json_object_get(j, "ticket"));
	int64_t run = number(j, "run"), deadline = number(j, "deadline_ms");
	int64_t cpu, mem;
	run_t *o;

	if (task == NULL || spec == NULL) {
		server_reply(r, 400, "", "", 0);
		return;
	}
	o = find(task);
	cpu = spec_number(spec, "cpu=", 500);
	mem = spec_number(spec, "mem=", 10);
	if (o != NULL && o->run == run) {
		extend(deadline);
		accept_call(r);
	} else if (o != NULL || run <= highest_of(task)) {
		extend(deadline);
		refuse(r, "old");
	} else if (deadline <= clock_ms())
		refuse(r, "late");
	else if (strstr(spec, "ticket") != NULL && !ticket_valid(ticket, task))
		refuse(r, "ticket");
	else if (!has_room(cpu, mem)) {
		extend(deadline);
		refuse(r, "room");
	} else {
		extend(deadline);
		o = g_new0(run_t, 1);
		o->task = g_strdup(task);
		o->run = run;
		o->cpu = cpu;
		o->mem = mem;
		o->began_ms = mono_ms();
		o->ends_at_ms = o->began_ms + spec_number(spec, "t=", 1000);
		g_ptr_array_add(runs, o);
		note("start", task, run);
		accept_call(r);
	}
}

static void
stop(server_req_t *r, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	int64_t run = number(j, "run");
	run_t *o = task == NULL ? NULL : find(task);

	if (task != NULL)
		raise_highest(task, run);
	if (o != NULL && o->run <= run && o->stop_at_ms == 0)
		o->stop_at_ms = mono_ms() + STOP_MS;
	accept_call(r);
}

static void
hold(server_req_t *r, const json_t *j)
{
	hold_t *h = g_new0(hold_t, 1);

	last_seen = number(j, "last_seen");
	for (guint i = ends->len; i-- > 0;) {
		end_t *e = g_ptr_array_index(ends, i);

		if (e->seq > last_seen)
			continue;
		note("noted", e->task, e->run);
		g_ptr_array_remove_index(ends, i);
	}
	if (json_object_get(j, "deadline_ms") != NULL)
		extend(number(j, "deadline_ms"));
	h->req = r;
	h->seq = seq;
	h->until_ms = mono_ms() + MIN(2000, number(j, "wait_ms"));
	g_ptr_array_add(holds, h);
}

static json_t *
report(void)
{
	json_t *running = json_array(), *ended = json_array();

	for (guint i = 0; i < runs->len; i++) {
		run_t *r = g_ptr_array_index(runs, i);
		int64_t all = MAX(1, r->ends_at_ms - r->began_ms);

		json_array_append_new(running,
		    json_pack("[s,I,s,i,I]", r->task, (json_int_t)r->run, "",
			(int)MIN(99, (mono_ms() - r->began_ms) * 100 / all),
			(json_int_t)r->cpu));
	}
	for (guint i = 0; i < ends->len && i < ENDS_LISTED; i++) {
		end_t *e = g_ptr_array_index(ends, i);

		json_array_append_new(ended,
		    json_pack("[I,s,I,s,s]", (json_int_t)e->seq, e->task,
			(json_int_t)e->run, e->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
	    (json_int_t)clock_ms(), "born", (json_int_t)born_ms, "running",
	    running, "ended_runs", ended);
}

static void
on_request(void *ctx, server_req_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	g_autofree char *want =
	    server_header(r, "tanagerspool-expect-instance");
	int64_t t = number(j, "fencing_token");

	(void)ctx;
	if (strcmp(r->path, "/health") == 0)
		server_reply(r, 200, "", "", 0);
	else if (want != NULL && strcmp(want, id) != 0)
		server_reply(r, 421, "", "", 0);
	else if (t < token)
		refuse(r, "fence");
	else {
		token = t;
		if (strcmp(r->path, "/-/hold") == 0)
			hold(r, j);
		else if (strcmp(r->path, "/-/run-start") == 0)
			start(r, j);
		else if (strcmp(r->path, "/-/run-stop") == 0)
			stop(r, j);
		else
			accept_call(r); /* a pace: no task fills here */
	}
	json_decref(j);
}

static void
ping(uv_timer_t *t)
{
	char path[256], row[1024], out[64];

	(void)t;
	snprintf(path, sizeof(path), "/x/put?table=servers&key=%s", id);
	snprintf(row, sizeof(row),
	    "{\"service\":\"s\",\"address\":\"%s:%d\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%" PRId64
	    ",\"mem_mb\":%" PRId64 ",\"gpu\":0},\"labels\":[\"%s\",\"%s\"],"
	    "\"clock_ms\":%" PRId64 ",\"born\":%" PRId64
	    ",\"sequence\":%" PRId64 "}",
	    ip, port, cpu_milli, mem_mb, label, rack, clock_ms(), born_ms,
	    ++sequence);
	http3_call(store_ip, store_port, "POST", path, "Host: store\r\n", row,
	    300, out, sizeof(out));
}

static void
on_tick(uv_timer_t *t)
{
	int64_t now = mono_ms();

	(void)t;
	for (guint i = runs->len; i-- > 0;) {
		run_t *r = g_ptr_array_index(runs, i);

		if (clock_ms() > lease_ms)
			end_run(r, "lapsed");
		else if (r->stop_at_ms != 0 && now >= r->stop_at_ms)
			end_run(r, "stopped");
		else if (r->stop_at_ms == 0 && now >= r->ends_at_ms)
			end_run(r, "done");
	}
	for (guint i = holds->len; i-- > 0;) {
		hold_t *h = g_ptr_array_index(holds, i);

		if (now < h->until_ms && ends->len == 0)
			continue;
		reply(h->req, 200, report());
		g_free(h);
		g_ptr_array_remove_index_fast(holds, i);
	}
}

int
main(int argc, char **argv)
{
	g_autoptr(GError) err = NULL;
	server_opts_t o = { .loop = uv_default_loop(),
		.body_max_bytes = 256 * 1024,
		.on_request = on_request };
	uv_timer_t tick, pings;

	if (argc != 11)
		return 2;
	id = argv[1];
	o.ip = ip = argv[2];
	o.port = port = atoi(argv[3]);
	store_ip = argv[4];
	store_port = atoi(argv[5]);
	label = argv[6];
	rack = argv[7];
	cpu_milli = atoi(argv[8]);
	mem_mb = atoi(argv[9]);
	record = fopen(argv[10], "a");
	born_ms = wall_ms();
	began_ms = mono_ms();
	runs = g_ptr_array_new();
	ends = g_ptr_array_new();
	holds = g_ptr_array_new();
	highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (record == NULL || server_new(&o, &err) == NULL) {
		fprintf(stderr, "worker3: %s\n",
		    err == NULL ? "no record" : err->message);
		return 1;
	}
	uv_timer_init(o.loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	uv_timer_init(o.loop, &pings);
	uv_timer_start(&pings, ping, 0, PING_MS);
	return uv_run(o.loop, UV_RUN_DEFAULT);
}
