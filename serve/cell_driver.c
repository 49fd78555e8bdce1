/*
 * The scheduler's way to the store and the workers.
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

#include "../proto/peer.pb-c.h"
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "../cmd/cmd.h"
#include "serve.h"

#define POLL_MS	      500  /* between reads of the owner's row */
#define POLL_LATE_MS  150  /* ... while it is not renewed */
#define POLL_OWNER_MS 2000 /* ... by the owner, whose writes tell as much */
#define POLL_CALL_MS  900  /* for the answer to such a read */
#define WRITE_MS      1500 /* for the answer to a write; the store may be slow */
#define JOB_GAP_MS    20   /* between reads of new jobs */
#define WORKER_GAP_MS 150  /* between reads of changes of workers */

struct cell_driver {
	node_t *node;
	sched_t *sched;
	table_watch_t *runs; /* what an owner wrote; read once */
	table_watch_t *jobs;
	table_watch_t *workers;
	bool polling;
	bool owned; /* at the last tick */
	int64_t poll_next_ms;
	int64_t row_version; /* of the owner's row, as last read */
};

sched_t *
cell_driver_sched(cell_driver_t *c)
{
	return c->sched;
}

static sched_write_result_t
write_result(store_result_t r)
{
	if (r == STORE_OK)
		return SCHED_WRITE_OK;
	return r == STORE_CONFLICT ? SCHED_WRITE_CONFLICT :
				     SCHED_WRITE_IN_DOUBT;
}

static sched_row_t
sched_row_of(const store_row_t *r)
{
	sched_row_t s = { .key = r->key,
		.version = r->version,
		.bytes = r->bytes,
		.nbytes = r->nbytes };

	return s;
}

/* The owner's row among the rows of an answer. */
static void
give_owner_row(cell_driver_t *c, const store_answer_t *a)
{
	sched_row_t none = { .key = SCHED_KEY_OWNER };
	int64_t before = c->row_version;

	for (size_t i = 0; i < a->nrows; i++)
		if (strcmp(a->rows[i].key, SCHED_KEY_OWNER) == 0)
			none = sched_row_of(&a->rows[i]);
	c->row_version = none.version;
	/* Not renewed since the last read: its owner may be gone. */
	if (none.version == before && !sched_is_owner(c->sched))
		c->poll_next_ms = node_now_ms(c->node) + POLL_LATE_MS;
	sched_owner_row_read(c->sched, &none, node_now_ms(c->node));
}

static void
on_poll(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_driver_t *c = ctx;

	c->polling = false;
	node_record_store_answer(c->node, r);
	if (a->clock_ms != 0)
		sched_store_clock_read(
		    c->sched, a->clock_ms, node_now_ms(c->node));
	if (r == STORE_OK)
		give_owner_row(c, a);
	node_schedule_tick(c->node);
}

static void
poll_owner(cell_driver_t *c)
{
	store_scan_t g = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.from = SCHED_KEY_OWNER,
		.to = SCHED_KEY_OWNER "0",
		.limit = 1,
		.timeout_ms = POLL_CALL_MS };

	c->polling = true;
	c->poll_next_ms = node_now_ms(c->node) +
	    (sched_is_owner(c->sched) ? POLL_OWNER_MS : POLL_MS);
	store_scan(c->node->platform, &g, on_poll, c);
}

int32_t
job_partition(const char *id, char *part)
{
	int32_t n = (int32_t)(g_str_hash(id) % JOB_PARTITIONS);

	snprintf(part, STORE_NAME_BYTES, "%s%d", JOB_PARTITION_PREFIX, n);
	return n;
}

/*
 * What the scheduler asks for.
 */
static void
on_claimed(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_driver_t *c = ctx;

	node_record_store_answer(c->node, r);
	sched_claim_done(
	    c->sched, write_result(r), a->version, node_now_ms(c->node));
	if (r == STORE_CONFLICT)
		give_owner_row(c, a);
	node_schedule_tick(c->node);
}

static void
do_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	cell_driver_t *c = ctx;
	store_put_t put = { SCHED_KEY_OWNER, owner->data, owner->len };
	store_tx_t tx = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.if_key = SCHED_KEY_OWNER,
		.if_version = version,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = WRITE_MS };

	store_tx(c->node->platform, &tx, on_claimed, c);
}

static void
do_load(void *ctx)
{
	cell_driver_t *c = ctx;

	table_watch_start(c->workers);
	table_watch_start(c->runs);
}

static void
on_wrote(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_driver_t *c = ctx;

	node_record_store_answer(c->node, r);
	if (r == STORE_CONFLICT)
		give_owner_row(c, a);
	sched_write_done(
	    c->sched, write_result(r), a->version, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

static void
do_write(void *ctx, int64_t version, const GArray *puts)
{
	cell_driver_t *c = ctx;
	g_autofree store_put_t *rows = g_new0(store_put_t, puts->len);
	store_tx_t tx = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.if_key = SCHED_KEY_OWNER,
		.if_version = version,
		.puts = rows,
		.nputs = puts->len,
		.timeout_ms = WRITE_MS };

	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);

		rows[i].key = p->key;
		rows[i].bytes = p->bytes == NULL ? NULL : p->bytes->data;
		rows[i].nbytes = p->bytes == NULL ? 0 : p->bytes->len;
	}
	store_tx(c->node->platform, &tx, on_wrote, c);
}

static void
on_ordered(void *ctx, uint64_t id, sched_order_result_t r, int64_t clock_ms)
{
	cell_driver_t *c = ctx;

	sched_order_done(c->sched, id, r, clock_ms, node_now_ms(c->node));
	if (r != SCHED_ORDER_OK)
		node_schedule_tick(c->node);
}

static void
do_order(void *ctx, const sched_order_t *o)
{
	cell_driver_t *c = ctx;

	platform_send_order(c->node->platform, o, on_ordered, c);
}

static void
on_looked(void *ctx, uint64_t id, const char *worker, sched_order_result_t r,
    const sched_report_t *report)
{
	cell_driver_t *c = ctx;

	sched_poll_done(c->sched, id, worker, r, report, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

static void
do_look(void *ctx, const sched_poll_t *l)
{
	cell_driver_t *c = ctx;

	platform_poll_worker(c->node->platform, l, on_looked, c);
}

static void
do_purge(void *ctx, const char *const *ids, size_t n)
{
	cell_driver_t *c = ctx;

	job_rows_remove(c->node, ids, n);
}

static void
on_advised(void *ctx, uint64_t id, const sched_approval_t *a)
{
	cell_driver_t *c = ctx;

	sched_approval_done(c->sched, id, a, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

static void
do_advise(void *ctx, const sched_approval_request_t *a)
{
	cell_driver_t *c = ctx;

	platform_request_approval(c->node->platform, a, on_advised, c);
}

static void
do_event(void *ctx, sched_evt_t number, const char *subject, char *fields)
{
	(void)ctx;
	log_event((int)number, "id=%s %s", subject, fields);
	g_free(fields);
}

/*
 * What it is told of.
 */
static void
on_row(void *ctx, const store_row_t *row)
{
	cell_driver_t *c = ctx;
	sched_row_t r = sched_row_of(row);

	sched_row_read(c->sched, &r, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

/* Jobs are read after what has become of them. */
static void
on_runs(void *ctx)
{
	cell_driver_t *c = ctx;

	table_watch_start(c->jobs);
}

static void
on_jobs(void *ctx)
{
	cell_driver_t *c = ctx;

	sched_load_done(c->sched, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

static void
on_worker(void *ctx, const store_row_t *row)
{
	cell_driver_t *c = ctx;
	g_autoptr(GError) err = NULL;
	platform_worker_t w;

	node_schedule_tick(c->node);
	if (row->bytes == NULL) {
		sched_worker_left(c->sched, row->key, node_now_ms(c->node));
		return;
	}
	if (!platform_worker_parse(
		row->key, row->bytes, row->nbytes, &w, &err)) {
		c->node->stats.bad_input++;
		log_event(EVT_BAD_ROW, "table=workers id=%s why=\"%s\"",
		    row->key, err->message);
		return;
	}
	sched_worker_listed(c->sched, &w.info, node_now_ms(c->node));
	platform_worker_clear(&w);
}

static void
on_workers(void *ctx)
{
	cell_driver_t *c = ctx;

	sched_worker_list_read(c->sched, node_now_ms(c->node));
}

static void
on_jobs_fresh(void *ctx)
{
	cell_driver_t *c = ctx;

	sched_feed_read(c->sched, SCHED_FEED_JOBS, node_now_ms(c->node));
}

static void
on_workers_fresh(void *ctx)
{
	cell_driver_t *c = ctx;

	sched_feed_read(c->sched, SCHED_FEED_WORKERS, node_now_ms(c->node));
}

void
cell_driver_operators_synced(cell_driver_t *c)
{
	sched_feed_read(c->sched, SCHED_FEED_OPERATORS, node_now_ms(c->node));
}

cell_driver_t *
cell_driver_new(node_t *n)
{
	cell_driver_t *c = g_new0(cell_driver_t, 1);
	table_watch_opts_t runs = { .node = n,
		.table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.read_once = true,
		.on_row = on_row,
		.on_loaded = on_runs,
		.ctx = c };
	table_watch_opts_t jobs = { .node = n,
		.table = JOB_TABLE,
		.partition = JOB_PARTITION_PREFIX,
		.partitions = JOB_PARTITIONS,
		.poll_gap_ms = JOB_GAP_MS,
		.on_row = on_row,
		.on_loaded = on_jobs,
		.on_synced = on_jobs_fresh,
		.ctx = c };
	table_watch_opts_t workers = { .node = n,
		.table = platform_worker_table,
		.partition = "",
		.poll_gap_ms = WORKER_GAP_MS,
		.on_row = on_worker,
		.on_loaded = on_workers,
		.on_synced = on_workers_fresh,
		.ctx = c };
	sched_opts_t o = { .name = n->opts.name,
		.incarnation = n->incarnation,
		.max_lease_ms = n->opts.max_lease_ms,
		.ended_retention_ms = n->opts.keep_ended_ms +
		    n->opts.resubmit_window_s * (int64_t)1000,
		.port = { do_claim, do_load, do_write, do_order, do_look,
		    do_purge, do_advise, do_event },
		.ctx = c };

	c->node = n;
	if (n->opts.approval_addr == NULL || n->opts.approval_addr[0] == '\0')
		o.port.request_approval = NULL;
	c->sched = sched_new(&o);
	c->runs = table_watch_new(&runs);
	c->jobs = table_watch_new(&jobs);
	c->workers = table_watch_new(&workers);
	return c;
}

void
cell_driver_set_queues(cell_driver_t *c, const platform_config_t *t)
{
	for (guint i = 0; i < t->queues->len; i++) {
		const platform_queue_t *q =
		    &g_array_index(t->queues, platform_queue_t, i);

		sched_set_queue(c->sched, q->name, q->service, q->priority,
		    q->max_attempts, q->needs_approval, node_now_ms(c->node));
	}
	node_schedule_tick(c->node);
}

void
cell_driver_set_zone(cell_driver_t *c, const char *zone, bool evacuated)
{
	sched_set_zone_evacuated(
	    c->sched, zone, evacuated, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

void
cell_driver_poll_owner(cell_driver_t *c)
{
	c->poll_next_ms = 0;
	node_schedule_tick(c->node);
}

void
cell_driver_tick(cell_driver_t *c)
{
	int64_t now = node_now_ms(c->node);

	if (!c->polling && now >= c->poll_next_ms)
		poll_owner(c);
	sched_tick(c->sched, now, node_wall_ms(c->node));
	if (c->owned && !sched_is_owner(c->sched)) {
		if (c->node->stopping)
			entries_announce_release(c->node->entries);
		table_watch_stop(c->runs);
		table_watch_stop(c->jobs);
		table_watch_stop(c->workers);
	}
	c->owned = sched_is_owner(c->sched);
}
