/*
 * Measures how the cost of one owner scales with its workers and tasks: memory
 * per worker and task, time per placement, start and request, and bytes sent.
 * "core %" is the processor time of the decisions of one second in which every
 * worker is synced once, in percent, without the time for JSON; that for the
 * JSON of a sync is "sync us".
 * usage: scaling
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <jansson.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../proto/proto.h"

#define TOKEN		 "00000000000000000000000000000000000000000000000000000000000000aa"
#define WORKERS_PER_RACK 8
#define TEAMS		 250

/* An action that waits for its answer. */
typedef struct {
	ts_act_kind_t kind;
	uint64_t id;
	char prefix[TS_KEY_SIZE];
	const char *worker;
	int64_t epoch, seq;
	int attempt;
	GArray *tasks; /* ts_task_report_t, that the worker runs */
} pending_t;

/* A core, the deployment that it sees, and totals of what it did. */
typedef struct {
	ts_core_t *core;
	GArray *pending; /* of pending_t */
	int64_t now;
	int64_t version;
	GArray *vms;
	char *routes, *pools;
	uint64_t txns, txn_rows, txn_bytes, syncs, sync_bytes;
	int64_t sync_json_ns, txn_json_ns; /* time spent on JSON */
	int64_t core_ns;		   /* spent in the core, without JSON */
	uint64_t refused;
	GHashTable *running; /* worker -> GArray of ts_task_report_t */
	GArray *jobs;	     /* ts_row_t written, to be read back */
} rig_t;

static int64_t
clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

/* Bytes that malloc has given out. */
static size_t
heap_bytes(void)
{
	return mallinfo2().uordblks + mallinfo2().hblkhd;
}

/* Hands an event to the core; returns and counts its time without JSON. */
static int64_t
input_event(rig_t *r, const ts_ev_t *ev)
{
	int64_t json = r->txn_json_ns + r->sync_json_ns, at = clock_ns();

	ts_core_input(r->core, ev, r->now);
	at = clock_ns() - at - (r->txn_json_ns + r->sync_json_ns - json);
	r->core_ns += at;
	return at;
}

static GArray *
tasks_on(rig_t *r, const char *worker)
{
	GArray *a = g_hash_table_lookup(r->running, worker);

	if (a == NULL) {
		a = g_array_new(FALSE, TRUE, sizeof(ts_task_report_t));
		g_hash_table_insert(r->running, (void *)worker, a);
	}
	return a;
}

static void
add_running_task(GArray *tasks, const ts_task_order_t *o)
{
	ts_task_report_t t = { 0 };

	for (guint i = 0; i < tasks->len; i++)
		if (strcmp(g_array_index(tasks, ts_task_report_t, i).id,
			o->id) == 0)
			return;
	g_strlcpy(t.id, o->id, sizeof(t.id));
	t.attempt = o->attempt;
	g_array_append_val(tasks, t);
}

/* Keeps the core's actions; answer_pending() answers them later. */
static void
emit(void *ctx, const ts_act_t *a)
{
	rig_t *r = ctx;
	pending_t k = { .kind = a->kind };
	char *s;

	switch (a->kind) {
	case TS_ACT_READ:
		k.id = a->u.read.id;
		g_strlcpy(k.prefix, a->u.read.prefix, sizeof(k.prefix));
		break;
	case TS_ACT_TXN:
		k.id = a->u.txn.id;
		r->txns++;
		r->txn_rows += a->u.txn.n;
		for (size_t i = 0; i < a->u.txn.n; i++)
			if (a->u.txn.rows[i].row.kind == TS_ROW_JOB) {
				ts_row_t row = a->u.txn.rows[i].row;

				row.version = r->version + 1;
				g_array_append_val(r->jobs, row);
			}
		r->txn_json_ns -= clock_ns();
		s = txn_to_json(a->u.txn.rows, a->u.txn.n);
		r->txn_bytes += strlen(s);
		free(s);
		r->txn_json_ns += clock_ns();
		break;
	case TS_ACT_SYNC:
		k.worker = g_intern_string(a->u.sync.worker);
		k.epoch = a->u.sync.epoch;
		k.seq = a->u.sync.seq;
		k.tasks = tasks_on(r, k.worker);
		for (size_t i = 0; i < a->u.sync.norders; i++)
			add_running_task(k.tasks, &a->u.sync.orders[i]);
		r->syncs++;
		r->sync_json_ns -= clock_ns();
		s = sync_to_json(&a->u.sync);
		r->sync_bytes += strlen(s);
		free(s);
		r->sync_json_ns += clock_ns();
		break;
	case TS_ACT_SEND_REQUEST:
		k.id = a->u.send.req;
		k.attempt = a->u.send.attempt;
		break;
	case TS_ACT_REFUSE:
		r->refused++;
		return;
	default:
		return;
	}
	g_array_append_val(r->pending, k);
}

static void
answer_read(rig_t *r, const pending_t *k)
{
	ts_row_t conf = { .kind = TS_ROW_CONF, .key = "conf", .version = 1 };
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(ts_row_t));
	ts_ev_t ev = { .kind = TS_EV_READ_END };

	conf.u.conf.routes = r->routes;
	conf.u.conf.pools = r->pools;
	if (strcmp(k->prefix, "conf") == 0)
		g_array_append_val(rows, conf);
	for (guint i = r->jobs->len; g_str_has_prefix(k->prefix, "job/") &&
	     i-- > 0 && rows->len == 0;) {
		ts_row_t *row = &g_array_index(r->jobs, ts_row_t, i);

		if (strcmp(row->key, k->prefix) == 0)
			g_array_append_val(rows, *row);
	}
	ev.u.rows.id = k->id;
	ev.u.rows.ok = true;
	ev.u.rows.rows = (ts_row_t *)rows->data;
	ev.u.rows.n = rows->len;
	input_event(r, &ev);
	g_array_free(rows, TRUE);
}

static void
answer_action(rig_t *r, const pending_t *k)
{
	ts_sync_answer_t a = { 0 };
	ts_ev_t ev = { 0 };

	switch (k->kind) {
	case TS_ACT_READ:
		answer_read(r, k);
		return;
	case TS_ACT_TXN:
		ev.kind = TS_EV_TXN_END;
		ev.u.txn.id = k->id;
		ev.u.txn.result = TS_TXN_OK;
		ev.u.txn.version = ++r->version;
		break;
	case TS_ACT_SYNC:
		a.tasks = (ts_task_report_t *)k->tasks->data;
		a.ntasks = k->tasks->len;
		a.worker = k->worker;
		a.incarnation = 1;
		a.clock_ms = r->now;
		a.epoch = k->epoch;
		a.seq = k->seq;
		ev.kind = TS_EV_SYNC_END;
		ev.u.sync.worker = k->worker;
		ev.u.sync.seq = k->seq;
		ev.u.sync.ok = true;
		ev.u.sync.answer = &a;
		break;
	default:
		ev.kind = TS_EV_ATTEMPT_END;
		ev.u.attempt_end.req = k->id;
		ev.u.attempt_end.attempt = k->attempt;
		ev.u.attempt_end.outcome = TS_OUTCOME_ANSWERED;
		ev.u.attempt_end.status = 200;
		break;
	}
	input_event(r, &ev);
}

/* Answers all pending actions, but drops syncs unless syncs is true. */
static void
answer_pending(rig_t *r, bool syncs)
{
	GArray *pending = r->pending;

	r->pending = g_array_new(FALSE, TRUE, sizeof(pending_t));
	for (guint i = 0; i < pending->len; i++) {
		pending_t *k = &g_array_index(pending, pending_t, i);

		if (syncs || k->kind != TS_ACT_SYNC)
			answer_action(r, k);
	}
	g_array_free(pending, TRUE);
}

/* Advances the time by ms, ticks, and answers the actions. */
static void
tick(rig_t *r, int32_t ms, bool syncs)
{
	ts_ev_t ev = { .kind = TS_EV_TICK };

	r->now += ms;
	input_event(r, &ev);
	answer_pending(r, syncs);
}

/* Sets up the configuration and the VM list. */
static void
build_deployment(rig_t *r, int workers)
{
	GString *p = g_string_new(
	    "[zone z]\nstate=in\n[pool q]\nkind=service"
	    "\nzones=z\nslots=4\ncpu_milli=1000\n[pool b]\nkind=batch\n"
	    "zones=z\n");

	for (int i = 0; i < TEAMS; i++)
		g_string_append_printf(p,
		    "[team t%d]\nquota_cpu_milli="
		    "1000000000\n",
		    i);
	r->pools = g_string_free(p, FALSE);
	r->routes = g_strdup("[route r]\ncaller=c\npath=/\npool=q\n"
			     "token_sha256=" TOKEN "\nidempotent=true\n");
	r->vms = g_array_new(FALSE, TRUE, sizeof(ts_vm_t));
	for (int i = 0; i < workers; i++) {
		g_autofree char *name = g_strdup_printf("w%d", i);
		g_autofree char *rack =
		    g_strdup_printf("z.r%d", i / WORKERS_PER_RACK);
		ts_vm_t vm = { g_intern_string(name), "z",
			g_intern_string(rack), "127.0.0.1", TS_VM_WORKER, 1,
			8200, false, { 64000, INT64_C(256) << 30, 2 } };

		g_array_append_val(r->vms, vm);
	}
}

static void
send_vm_list(rig_t *r)
{
	ts_ev_t ev = { .kind = TS_EV_VMS };

	ev.u.vms.vms = (ts_vm_t *)r->vms->data;
	ev.u.vms.n = r->vms->len;
	input_event(r, &ev);
}

static int
compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t
median(GArray *a)
{
	g_array_sort(a, compare_int64);
	return a->len == 0 ? 0 : g_array_index(a, int64_t, a->len / 2);
}

/*
 * The median time, ns, to accept a submission: choosing a group and, as its
 * owner, a worker.  bytes_each is the memory that a task takes.
 */
static int64_t
measure_placements(rig_t *r, int n, int64_t *bytes_each)
{
	GArray *ns = g_array_new(FALSE, TRUE, sizeof(int64_t));
	size_t before = heap_bytes();
	int64_t took_ns, mid;

	for (int i = 0; i < n; i++) {
		g_autofree char *team = g_strdup_printf("t%d", i % TEAMS);
		ts_job_t j = { .team = team,
			.pool = "b",
			.class = "c",
			.run_ms = 60000,
			.size = { 3000, 1 << 30, 0 } };
		ts_ev_t ev = { .kind = TS_EV_SUBMIT };

		j.deadline_ms = r->now + 3600000;
		ev.u.submit.id = (uint64_t)i;
		ev.u.submit.tasks = 1;
		ev.u.submit.job = &j;
		took_ns = input_event(r, &ev);
		g_array_append_val(ns, took_ns);
		/* Answers the write, then the owner's read, which starts it. */
		answer_pending(r, false);
		answer_pending(r, false);
	}
	*bytes_each =
	    (int64_t)(heap_bytes() - before - r->jobs->len * sizeof(ts_row_t)) /
	    n;
	mid = median(ns);
	g_array_free(ns, TRUE);
	return mid;
}

/* The median time, ns, to route a request. */
static int64_t
measure_requests(rig_t *r, int n)
{
	GArray *ns = g_array_new(FALSE, TRUE, sizeof(int64_t));
	int64_t took_ns, mid;

	for (int i = 0; i < n; i++) {
		ts_ev_t ev = { .kind = TS_EV_REQUEST };

		ev.u.request.id = UINT64_C(1000000000) + (uint64_t)i;
		ev.u.request.token_sha256 = TOKEN;
		ev.u.request.path = "/quote";
		took_ns = input_event(r, &ev);
		g_array_append_val(ns, took_ns);
		answer_pending(r, false);
	}
	mid = median(ns);
	g_array_free(ns, TRUE);
	return mid;
}

/* Prints a row of the table for that many workers and jobs. */
static void
measure_size(int workers, int jobs)
{
	rig_t r = { 0 };
	ts_core_opts_t o = { .name = "e1",
		.zone = "z",
		.incarnation = 1,
		.seed = 1,
		.emit = emit,
		.ctx = &r };
	size_t before;
	int64_t worker_bytes, task_bytes, place_ns, req_ns, start_ns;
	double core_pct;
	uint64_t started;

	r.now = 1000000;
	r.pending = g_array_new(FALSE, TRUE, sizeof(pending_t));
	r.jobs = g_array_new(FALSE, TRUE, sizeof(ts_row_t));
	r.running = g_hash_table_new(g_str_hash, g_str_equal);
	build_deployment(&r, workers);
	before = heap_bytes();
	r.core = ts_core_new(&o);
	send_vm_list(&r);
	for (int i = 0; i < 40; i++) {
		tick(&r, 100, true);
		if (i % 10 == 0)
			send_vm_list(&r);
	}
	worker_bytes = (int64_t)(heap_bytes() - before) / workers;
	req_ns = measure_requests(&r, 2000);
	r.txns = r.txn_rows = r.txn_bytes = 0;
	place_ns = measure_placements(&r, jobs, &task_bytes);
	started = ts_core_counter(r.core, TS_C_TASK_STARTED);
	r.core_ns = 0;
	for (int i = 0; i < 20; i++)
		tick(&r, 20, false);
	start_ns = r.core_ns /
	    (int64_t)MAX(
		1, ts_core_counter(r.core, TS_C_TASK_STARTED) - started);
	for (int i = 0; i < 10; i++)
		tick(&r, 500, true);
	r.syncs = r.sync_bytes = r.sync_json_ns = r.core_ns = 0;
	for (int i = 0; i < 50; i++)
		tick(&r, 20, true);
	core_pct = (double)r.core_ns / 1e9 * 100;
	printf("%7d %7d %8" PRId64 " %7" PRId64 " %8.1f %8.1f %8.1f %8.1f "
	       "%6.0f %6.0f %7.1f\n",
	    workers, jobs, worker_bytes, task_bytes, (double)place_ns / 1000,
	    (double)start_ns / 1000, (double)req_ns / 1000, core_pct,
	    (double)r.txn_bytes / (double)MAX(r.txn_rows, 1),
	    (double)r.sync_bytes / (double)MAX(r.syncs, 1),
	    (double)r.sync_json_ns / 1000 / (double)MAX(r.syncs, 1));
	fflush(stdout);
	ts_core_free(r.core);
	g_array_free(r.jobs, TRUE);
}

int
main(void)
{
	printf("%7s %7s %8s %7s %8s %8s %8s %8s %6s %6s %7s\n", "workers",
	    "tasks", "B/worker", "B/task", "place us", "start us", "req us",
	    "core %", "B/row", "B/sync", "sync us");
	measure_size(290, 2000);
	measure_size(2900, 2000);
	measure_size(3223, 5000); /* a ninth of the target of 29,000 */
	measure_size(29000, 2000);
	return 0;
}
