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

struct cell_port {
	node_t *node;
	sched_t *sched;
	follow_t *runs; /* what an owner wrote; read once */
	follow_t *jobs;
	follow_t *workers;
	bool polling;
	bool owned; /* at the last tick */
	int64_t poll_next_ms;
	int64_t row_version; /* of the owner's row, as last read */
};

sched_t *
cell_port_sched(cell_port_t *c)
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
give_owner_row(cell_port_t *c, const store_answer_t *a)
{
	sched_row_t none = { .key = SCHED_KEY_OWNER };
	int64_t before = c->row_version;

	for (size_t i = 0; i < a->n; i++)
		if (strcmp(a->rows[i].key, SCHED_KEY_OWNER) == 0)
			none = sched_row_of(&a->rows[i]);
	c->row_version = none.version;
	/* Not renewed since the last read: its owner may be gone. */
	if (none.version == before && !sched_is_owner(c->sched))
		c->poll_next_ms = node_now(c->node) + POLL_LATE_MS;
	sched_owner_row_read(c->sched, &none, node_now(c->node));
}

static void
on_poll(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_port_t *c = ctx;

	c->polling = false;
	node_store_answer(c->node, r);
	if (a->clock_ms != 0)
		sched_store_clock_read(
		    c->sched, a->clock_ms, node_now(c->node));
	if (r == STORE_OK)
		give_owner_row(c, a);
	node_soon(c->node);
}

static void
poll_owner(cell_port_t *c)
{
	store_get_t g = { .table = CELL_TABLE,
		.part = CELL_PART,
		.from = SCHED_KEY_OWNER,
		.to = SCHED_KEY_OWNER "0",
		.limit = 1,
		.timeout_ms = POLL_CALL_MS };

	c->polling = true;
	c->poll_next_ms = node_now(c->node) +
	    (sched_is_owner(c->sched) ? POLL_OWNER_MS : POLL_MS);
	store_get(c->node->platform, &g, on_poll, c);
}

int32_t
job_part(const char *id, char *part)
{
	int32_t n = (int32_t)(g_str_hash(id) % JOB_PARTS);

	snprintf(part, STORE_NAME_BYTES, "%s%d", JOB_PART, n);
	return n;
}

/*
 * What the scheduler asks for.
 */
static void
on_claimed(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_port_t *c = ctx;

	node_store_answer(c->node, r);
	sched_claim_done(
	    c->sched, write_result(r), a->version, node_now(c->node));
	if (r == STORE_CONFLICT)
		give_owner_row(c, a);
	node_soon(c->node);
}

static void
do_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	cell_port_t *c = ctx;
	store_put_t put = { SCHED_KEY_OWNER, owner->data, owner->len };
	store_tx_t tx = { .table = CELL_TABLE,
		.part = CELL_PART,
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
	cell_port_t *c = ctx;

	follow_start(c->workers);
	follow_start(c->runs);
}

static void
on_wrote(void *ctx, store_result_t r, const store_answer_t *a)
{
	cell_port_t *c = ctx;

	node_store_answer(c->node, r);
	if (r == STORE_CONFLICT)
		give_owner_row(c, a);
	sched_write_done(
	    c->sched, write_result(r), a->version, node_now(c->node));
	node_soon(c->node);
}

static void
do_write(void *ctx, int64_t version, const GArray *puts)
{
	cell_port_t *c = ctx;
	g_autofree store_put_t *rows = g_new0(store_put_t, puts->len);
	store_tx_t tx = { .table = CELL_TABLE,
		.part = CELL_PART,
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
	cell_port_t *c = ctx;

	sched_order_done(c->sched, id, r, clock_ms, node_now(c->node));
	if (r != SCHED_ORDER_OK)
		node_soon(c->node);
}

static void
do_order(void *ctx, const sched_order_t *o)
{
	cell_port_t *c = ctx;

	platform_order(c->node->platform, o, on_ordered, c);
}

static void
on_looked(void *ctx, uint64_t id, const char *worker, sched_order_result_t r,
    const sched_report_t *report)
{
	cell_port_t *c = ctx;

	sched_poll_done(c->sched, id, worker, r, report, node_now(c->node));
	node_soon(c->node);
}

static void
do_look(void *ctx, const sched_poll_t *l)
{
	cell_port_t *c = ctx;

	platform_look(c->node->platform, l, on_looked, c);
}

static void
do_purge(void *ctx, const char *const *ids, size_t n)
{
	cell_port_t *c = ctx;

	removal_send(c->node, ids, n);
}

static void
on_advised(void *ctx, uint64_t id, const sched_approval_t *a)
{
	cell_port_t *c = ctx;

	sched_approval_done(c->sched, id, a, node_now(c->node));
	node_soon(c->node);
}

static void
do_advise(void *ctx, const sched_approval_request_t *a)
{
	cell_port_t *c = ctx;

	platform_advise(c->node->platform, a, on_advised, c);
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
	cell_port_t *c = ctx;
	sched_row_t r = sched_row_of(row);

	sched_row_read(c->sched, &r, node_now(c->node));
	node_soon(c->node);
}

/* Jobs are read after what has become of them. */
static void
on_runs(void *ctx)
{
	cell_port_t *c = ctx;

	follow_start(c->jobs);
}

static void
on_jobs(void *ctx)
{
	cell_port_t *c = ctx;

	sched_load_done(c->sched, node_now(c->node));
	node_soon(c->node);
}

static void
on_worker(void *ctx, const store_row_t *row)
{
	cell_port_t *c = ctx;
	g_autoptr(GError) err = NULL;
	platform_worker_t w;

	node_soon(c->node);
	if (row->bytes == NULL) {
		sched_worker_left(c->sched, row->key, node_now(c->node));
		return;
	}
	if (!platform_worker(row->key, row->bytes, row->nbytes, &w, &err)) {
		c->node->stats.bad_input++;
		log_event(EVT_BAD_ROW, "table=workers id=%s why=\"%s\"",
		    row->key, err->message);
		return;
	}
	sched_worker_listed(c->sched, &w.info, node_now(c->node));
	platform_worker_clear(&w);
}

static void
on_workers(void *ctx)
{
	cell_port_t *c = ctx;

	sched_worker_list_read(c->sched, node_now(c->node));
}

static void
on_jobs_fresh(void *ctx)
{
	cell_port_t *c = ctx;

	sched_feed_read(c->sched, SCHED_FEED_JOBS, node_now(c->node));
}

static void
on_workers_fresh(void *ctx)
{
	cell_port_t *c = ctx;

	sched_feed_read(c->sched, SCHED_FEED_WORKERS, node_now(c->node));
}

void
cell_port_fresh(cell_port_t *c)
{
	sched_feed_read(c->sched, SCHED_FEED_OPERATORS, node_now(c->node));
}

cell_port_t *
cell_port_new(node_t *n)
{
	cell_port_t *c = g_new0(cell_port_t, 1);
	follow_opts_t runs = { .node = n,
		.table = CELL_TABLE,
		.part = CELL_PART,
		.once = true,
		.on_row = on_row,
		.on_whole = on_runs,
		.ctx = c };
	follow_opts_t jobs = { .node = n,
		.table = JOB_TABLE,
		.part = JOB_PART,
		.parts = JOB_PARTS,
		.gap_ms = JOB_GAP_MS,
		.on_row = on_row,
		.on_whole = on_jobs,
		.on_fresh = on_jobs_fresh,
		.ctx = c };
	follow_opts_t workers = { .node = n,
		.table = platform_worker_table,
		.part = "",
		.gap_ms = WORKER_GAP_MS,
		.on_row = on_worker,
		.on_whole = on_workers,
		.on_fresh = on_workers_fresh,
		.ctx = c };
	sched_opts_t o = { .name = n->o.name,
		.incarnation = n->incarnation,
		.max_lease_ms = n->o.max_hold_ms,
		.ended_retention_ms =
		    n->o.keep_ended_ms + n->o.repeat_s * (int64_t)1000,
		.port = { do_claim, do_load, do_write, do_order, do_look,
		    do_purge, do_advise, do_event },
		.ctx = c };

	c->node = n;
	if (n->o.advice == NULL || n->o.advice[0] == '\0')
		o.port.request_approval = NULL;
	c->sched = sched_new(&o);
	c->runs = follow_new(&runs);
	c->jobs = follow_new(&jobs);
	c->workers = follow_new(&workers);
	return c;
}

void
cell_port_tables(cell_port_t *c, const platform_tables_t *t)
{
	for (guint i = 0; i < t->queues->len; i++) {
		const platform_queue_t *q =
		    &g_array_index(t->queues, platform_queue_t, i);

		sched_set_queue(c->sched, q->name, q->service, q->priority,
		    q->max_attempts, q->advised, node_now(c->node));
	}
	node_soon(c->node);
}

void
cell_port_zone(cell_port_t *c, const char *zone, bool evacuated)
{
	sched_set_zone_evacuated(c->sched, zone, evacuated, node_now(c->node));
	node_soon(c->node);
}

void
cell_port_look(cell_port_t *c)
{
	c->poll_next_ms = 0;
	node_soon(c->node);
}

void
cell_port_tick(cell_port_t *c)
{
	int64_t now = node_now(c->node);

	if (!c->polling && now >= c->poll_next_ms)
		poll_owner(c);
	sched_tick(c->sched, now, node_wall(c->node));
	if (c->owned && !sched_is_owner(c->sched)) {
		if (c->node->stopping)
			entries_released(c->node->entries);
		follow_stop(c->runs);
		follow_stop(c->jobs);
		follow_stop(c->workers);
	}
	c->owned = sched_is_owner(c->sched);
}
