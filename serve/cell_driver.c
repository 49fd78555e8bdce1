/*
 * Connects the scheduler of the cell to the store, the workers and the approval
 * service: makes the calls that its callbacks ask for, hands it their results,
 * and passes it the rows of the watched tables.
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
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"

/* Intervals between polls of the owner's row. */
#define OWNER_POLL_MS	   500
#define OWNER_POLL_LATE_MS 150 /* after a poll that found it not renewed */
/* For the owner itself, whose writes also fail if the row was changed. */
#define OWNER_POLL_SELF_MS    2000
#define OWNER_POLL_TIMEOUT_MS 900
#define WRITE_TIMEOUT_MS      1500 /* the store may be slow */
#define JOB_POLL_GAP_MS	      20
#define WORKER_POLL_GAP_MS    150
/* No task is started on older lists of jobs, workers and settings, at most. */
#define FEED_LIMIT_MS 2000

struct cell_driver {
	node_t *node;
	sched_t *sched;
	/* Rows that owners wrote; read once after each claim. */
	table_watch_t *progress_watch;
	table_watch_t *job_watch; /* rows that callers wrote */
	table_watch_t *worker_watch;
	bool polling_owner;	 /* a read of the owner's row is in progress */
	bool owned_at_last_tick; /* this entry owned the cell */
	bool watching;		 /* since a load; until the cell is lost */
	int64_t next_owner_poll_ms;
	int64_t owner_row_version; /* as last read */
	GHashTable *odd_workers;   /* key -> why, of odd entries; as logged */
};

sched_t *
cell_driver_sched(cell_driver_t *c)
{
	return c->sched;
}

/* A refused write counts as in doubt, like one without an answer. */
static sched_write_result_t
write_result(store_result_t r)
{
	switch (r) {
	case STORE_OK:
		return SCHED_WRITE_OK;
	case STORE_CONFLICT:
		return SCHED_WRITE_CONFLICT;
	case STORE_REJECTED:
		return SCHED_WRITE_REJECTED;
	default:
		return SCHED_WRITE_IN_DOUBT;
	}
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

/*
 * Hands the scheduler the owner's row of an answer; without one, a row of
 * version 0.
 */
static void
deliver_owner_row(cell_driver_t *c, const store_answer_t *a)
{
	sched_row_t row = { .key = SCHED_KEY_OWNER };
	int64_t old_version = c->owner_row_version;

	for (size_t i = 0; i < a->nrows; i++)
		if (strcmp(a->rows[i].key, SCHED_KEY_OWNER) == 0)
			row = sched_row_of(&a->rows[i]);
	c->owner_row_version = row.version;
	/* Not renewed since the last read: the owner may be dead. */
	if (row.version == old_version && !sched_is_owner(c->sched))
		c->next_owner_poll_ms =
		    node_now_ms(c->node) + OWNER_POLL_LATE_MS;
	sched_owner_row_read(c->sched, &row, node_now_ms(c->node));
}

static void
on_owner_polled(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_driver_t *c = ctx;

	c->polling_owner = false;
	node_record_store_answer(c->node, r, a);
	if (r == STORE_OK)
		deliver_owner_row(c, a);
	node_schedule_tick(c->node);
}

static void
poll_owner(cell_driver_t *c)
{
	store_scan_t scan = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.from = SCHED_KEY_OWNER,
		.to = SCHED_KEY_OWNER "0",
		.limit = 1,
		.timeout_ms = OWNER_POLL_TIMEOUT_MS };

	c->polling_owner = true;
	c->next_owner_poll_ms = node_now_ms(c->node) +
	    (sched_is_owner(c->sched) ? OWNER_POLL_SELF_MS : OWNER_POLL_MS);
	store_scan(c->node->platform, &scan, on_owner_polled, c);
}

int32_t
job_partition(const char *id, char *partition)
{
	int32_t n = (int32_t)(g_str_hash(id) % JOB_PARTITIONS);

	snprintf(partition, STORE_NAME_BYTES, "%s%d", JOB_PARTITION_PREFIX, n);
	return n;
}

/*
 * Callbacks of the scheduler, and the results of the calls they make.
 */
static void
on_claimed(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_driver_t *c = ctx;

	node_record_store_answer(c->node, r, a);
	sched_claim_done(
	    c->sched, write_result(r), a->version, node_now_ms(c->node));
	if (r == STORE_CONFLICT)
		deliver_owner_row(c, a);
	node_schedule_tick(c->node);
}

static void
do_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	cell_driver_t *c = ctx;
	store_put_t put = { SCHED_KEY_OWNER, owner->data, owner->len };
	store_condition_t unchanged = { SCHED_KEY_OWNER, version };
	store_tx_t tx = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.conditions = &unchanged,
		.nconditions = 1,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = WRITE_TIMEOUT_MS };

	store_tx(c->node->platform, &tx, on_claimed, c);
}

/* Answers to calls of these watches that come later are dropped. */
static void
stop_watches(cell_driver_t *c)
{
	table_watch_stop(c->progress_watch);
	table_watch_stop(c->job_watch);
	table_watch_stop(c->worker_watch);
	g_hash_table_remove_all(c->odd_workers);
	c->watching = false;
}

static void
do_load(void *ctx)
{
	cell_driver_t *c = ctx;

	stop_watches(c);
	c->watching = true;
	table_watch_start(c->worker_watch);
	table_watch_start(c->progress_watch);
}

static void
on_written(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_driver_t *c = ctx;

	node_record_store_answer(c->node, r, a);
	if (r == STORE_CONFLICT)
		deliver_owner_row(c, a);
	sched_write_done(
	    c->sched, write_result(r), a->version, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

static void
do_write(void *ctx, int64_t version, const GArray *puts)
{
	cell_driver_t *c = ctx;
	g_autofree store_put_t *rows = g_new0(store_put_t, puts->len);
	store_condition_t unchanged = { SCHED_KEY_OWNER, version };
	store_tx_t tx = { .table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.conditions = &unchanged,
		.nconditions = 1,
		.puts = rows,
		.nputs = puts->len,
		.timeout_ms = WRITE_TIMEOUT_MS };

	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);

		rows[i].key = p->key;
		rows[i].bytes = p->bytes == NULL ? NULL : p->bytes->data;
		rows[i].nbytes = p->bytes == NULL ? 0 : p->bytes->len;
	}
	store_tx(c->node->platform, &tx, on_written, c);
}

static void
on_order_done(void *ctx, uint64_t id, sched_order_result_t r, int64_t clock_ms)
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

	platform_send_order(c->node->platform, o, on_order_done, c);
}

static void
on_worker_polled(void *ctx, uint64_t id, const char *worker,
    sched_order_result_t r, const sched_report_t *report)
{
	cell_driver_t *c = ctx;

	sched_poll_done(c->sched, id, worker, r, report, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

static void
do_poll(void *ctx, const sched_poll_t *poll)
{
	cell_driver_t *c = ctx;

	platform_poll_worker(c->node->platform, poll, on_worker_polled, c);
}

static void
do_purge(void *ctx, const char *const *ids, size_t n)
{
	cell_driver_t *c = ctx;

	job_rows_remove(c->node, ids, n);
}

static void
do_purge_tombstones(void *ctx, const char *const *ids, size_t n)
{
	cell_driver_t *c = ctx;

	job_tombstones_remove(c->node, ids, n);
}

static void
on_approval(void *ctx, uint64_t id, const sched_approval_t *a)
{
	cell_driver_t *c = ctx;

	sched_approval_done(c->sched, id, a, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

static void
do_request_approval(void *ctx, const sched_approval_request_t *a)
{
	cell_driver_t *c = ctx;

	platform_request_approval(c->node->platform, a, on_approval, c);
}

static void
do_event(void *ctx, sched_evt_t number, const char *subject, char *fields)
{
	(void)ctx;
	log_event((int)number, "id=%s %s", subject, fields);
	g_free(fields);
}

/*
 * Rows of the watched tables.
 */
static void
on_row(void *ctx, const store_row_t *row)
{
	cell_driver_t *c = ctx;
	sched_row_t r = sched_row_of(row);

	sched_row_read(c->sched, &r, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

/* The scheduler needs the progress of jobs before the jobs themselves. */
static void
on_progress_loaded(void *ctx)
{
	cell_driver_t *c = ctx;

	table_watch_start(c->job_watch);
}

static void
on_jobs_loaded(void *ctx)
{
	cell_driver_t *c = ctx;

	sched_load_done(c->sched, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

/*
 * An entry that names no worker to use counts as removed, and what runs there is
 * still polled.  It is logged again only when another of its fields is odd.
 */
static void
on_odd_worker(cell_driver_t *c, const char *key, const char *why)
{
	const char *before = g_hash_table_lookup(c->odd_workers, key);

	c->node->stats.bad_input++;
	sched_worker_left(c->sched, key, node_now_ms(c->node));
	if (g_strcmp0(before, why) == 0)
		return;
	log_event(EVT_BAD_ROW, "table=workers key=%s why=\"%s\"", key, why);
	g_hash_table_replace(c->odd_workers, g_strdup(key), g_strdup(why));
}

static void
on_worker(void *ctx, const store_row_t *row)
{
	cell_driver_t *c = ctx;
	g_autoptr(GError) err = NULL;
	platform_worker_t w;

	node_schedule_tick(c->node);
	if (row->bytes != NULL &&
	    !platform_worker_parse(
		row->key, row->bytes, row->nbytes, &w, &err)) {
		on_odd_worker(c, row->key, err->message);
		return;
	}
	g_hash_table_remove(c->odd_workers, row->key);
	if (row->bytes == NULL) {
		sched_worker_left(c->sched, row->key, node_now_ms(c->node));
		return;
	}
	sched_worker_listed(c->sched, &w.info, node_now_ms(c->node));
	platform_worker_clear(&w);
}

static void
on_jobs_synced(void *ctx, int64_t as_of_ms)
{
	cell_driver_t *c = ctx;

	sched_feed_read(c->sched, SCHED_FEED_JOBS, as_of_ms);
}

static void
on_workers_synced(void *ctx, int64_t as_of_ms)
{
	cell_driver_t *c = ctx;

	sched_feed_read(c->sched, SCHED_FEED_WORKERS, as_of_ms);
}

void
cell_driver_operators_synced(cell_driver_t *c, int64_t as_of_ms)
{
	sched_feed_read(c->sched, SCHED_FEED_OPERATORS, as_of_ms);
}

cell_driver_t *
cell_driver_new(node_t *n)
{
	cell_driver_t *c = g_new0(cell_driver_t, 1);
	table_watch_opts_t progress = { .node = n,
		.table = CELL_TABLE,
		.partition = CELL_PARTITION,
		.read_once = true,
		.on_row = on_row,
		.on_loaded = on_progress_loaded,
		.ctx = c };
	table_watch_opts_t jobs = { .node = n,
		.table = JOB_TABLE,
		.partition = JOB_PARTITION_PREFIX,
		.partitions = JOB_PARTITIONS,
		.poll_gap_ms = JOB_POLL_GAP_MS,
		.on_row = on_row,
		.on_loaded = on_jobs_loaded,
		.on_synced = on_jobs_synced,
		.ctx = c };
	table_watch_opts_t workers = { .node = n,
		.table = platform_worker_table,
		.partition = "",
		.poll_gap_ms = WORKER_POLL_GAP_MS,
		.rewritten = true,
		.on_row = on_worker,
		.on_synced = on_workers_synced,
		.ctx = c };
	/* Rows of an ended job stay while its submission may be repeated. */
	sched_opts_t o = { .feed_limit_ms = MIN(FEED_LIMIT_MS,
			       MIN(n->opts.drain_ms, n->opts.config_ms) -
				   PLATFORM_ORDER_TIMEOUT_MS),
		.name = n->opts.name,
		.incarnation = n->incarnation,
		.max_lease_ms = n->opts.max_lease_ms,
		.ended_retention_ms = n->opts.keep_ended_ms +
		    n->opts.resubmit_window_s * (int64_t)1000,
		.port = { do_claim, do_load, do_write, do_order, do_poll,
		    do_purge, do_purge_tombstones, do_request_approval,
		    do_event },
		.ctx = c };

	c->node = n;
	/* Without the callback no placement needs an approval. */
	if (n->opts.approval_addr == NULL || n->opts.approval_addr[0] == '\0')
		o.port.request_approval = NULL;
	c->sched = sched_new(&o);
	c->odd_workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->progress_watch = table_watch_new(&progress);
	c->job_watch = table_watch_new(&jobs);
	c->worker_watch = table_watch_new(&workers);
	return c;
}

void
cell_driver_set_queues(cell_driver_t *c, const platform_config_t *cfg)
{
	g_autoptr(GArray) queues =
	    g_array_new(FALSE, FALSE, sizeof(sched_queue_t));

	for (guint i = 0; i < cfg->queues->len; i++) {
		const platform_queue_t *q =
		    &g_array_index(cfg->queues, platform_queue_t, i);
		sched_queue_t settings = { q->name, q->service, q->priority,
			q->max_attempts, q->needs_approval, q->approval_cost };

		g_array_append_val(queues, settings);
	}
	sched_set_queues(c->sched, (const sched_queue_t *)queues->data,
	    queues->len, node_now_ms(c->node));
	sched_set_customers(c->sched,
	    (const sched_customer_t *)cfg->customers->data, cfg->customers->len,
	    node_now_ms(c->node));
	node_schedule_tick(c->node);
}

void
cell_driver_set_zone_evacuated(
    cell_driver_t *c, const char *zone, bool evacuated)
{
	sched_set_zone_evacuated(
	    c->sched, zone, evacuated, node_now_ms(c->node));
	node_schedule_tick(c->node);
}

void
cell_driver_store_clock_read(cell_driver_t *c, int64_t store_ms)
{
	sched_store_clock_read(c->sched, store_ms, node_now_ms(c->node));
}

void
cell_driver_poll_owner(cell_driver_t *c)
{
	c->next_owner_poll_ms = 0;
	node_schedule_tick(c->node);
}

void
cell_driver_tick(cell_driver_t *c)
{
	int64_t now = node_now_ms(c->node);

	if (!c->polling_owner && now >= c->next_owner_poll_ms)
		poll_owner(c);
	sched_tick(c->sched, now, node_wall_ms(c->node));
	if (c->owned_at_last_tick && sched_has_released(c->sched))
		entries_announce_release(c->node->entries);
	/* The cell was lost or released. */
	if (c->watching && !sched_is_owner(c->sched) &&
	    !sched_is_loading(c->sched))
		stop_watches(c);
	c->owned_at_last_tick = sched_is_owner(c->sched);
}
