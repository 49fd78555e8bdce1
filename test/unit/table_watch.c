/*
 * What a watch of a table hands over after it was cut off from the store, and
 * what that costs.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"
#include "../../serve/store_clock.h"
#include "../../serve/auth.h"
#include "../../serve/rate_limit.h"
#include "../../serve/serve.h"
#include "store_fixture.h"

#define CHANGES	       40   /* while the watch is cut off */
#define STEP_MS	       3000 /* the most that a step of a test may take */
#define AWAY_MS	       2000 /* longer than calls wait, so that some fail */
#define FORGETS_GAP_MS 110  /* of reads where the history is always gone */
#define AGE_FAST_MS    1000 /* after the store is back the tables are newer */
/* A row that takes longer than the time between two changes of it. */
#define SLOW_ROW_MS  200
#define SLOW_GAP_MS  50
#define SLOW_CHANGES 90
#define SLOW_UNUSED  4 /* rows on their way, or of a call that was given up */

typedef struct {
	uv_loop_t loop;
	node_t node;
	store_fixture_t store;
	table_watch_t *watch;
	GHashTable *rows; /* as handed over: key -> text */
	int handed;	  /* rows, removals included */
	int64_t as_of_ms;
} fixture_t;

static void
on_row(void *ctx, const store_row_t *row)
{
	fixture_t *f = ctx;

	f->handed++;
	if (row->bytes == NULL)
		g_hash_table_remove(f->rows, row->key);
	else
		g_hash_table_replace(f->rows, g_strdup(row->key),
		    g_strndup((const char *)row->bytes, row->nbytes));
}

static void
on_synced(void *ctx, int64_t as_of_ms)
{
	fixture_t *f = ctx;

	f->as_of_ms = as_of_ms;
}

static const char *
handed_value(const fixture_t *f, const char *key)
{
	const char *s = g_hash_table_lookup(f->rows, key);

	return s == NULL ? "" : s;
}

static void
fixture_init(fixture_t *f)
{
	platform_opts_t o = { .loop = &f->loop, .approval_addr = "" };
	table_watch_opts_t w = { .node = &f->node,
		.table = platform_operator_table,
		.partition = "",
		.poll_gap_ms = 5,
		.rewritten = true,
		.on_row = on_row,
		.on_synced = on_synced,
		.ctx = f };

	uv_loop_init(&f->loop);
	store_fixture_init(&f->store, &f->loop);
	f->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o.store_addr = f->store.address;
	f->node.loop = &f->loop;
	f->node.opts.name = "e";
	f->node.opts.drain_ms = 2000;
	f->node.opts.max_lease_ms = 6000;
	f->node.opts.store_addr = f->store.address;
	f->node.platform = platform_new(&o);
	f->node.watches = g_ptr_array_new();
	f->node.store_answered_ms = node_now_ms(&f->node);
	uv_timer_init(&f->loop, &f->node.tick_timer);
	f->node.cell_driver = cell_driver_new(&f->node);
	f->watch = table_watch_new(&w);
	f->node.operator_watch = f->watch;
	uv_timer_init(&f->loop, &f->node.retry_timer);
	f->node.retry_timer.data = &f->node;
}

static void
on_time(uv_timer_t *t)
{
	*(bool *)t->data = true;
}

static void
run_for(fixture_t *f, int32_t ms)
{
	bool over = false;
	uv_timer_t t;

	uv_timer_init(&f->loop, &t);
	t.data = &over;
	uv_timer_start(&t, on_time, (uint64_t)ms, 0);
	while (!over)
		uv_run(&f->loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&t, NULL);
	uv_run(&f->loop, UV_RUN_NOWAIT);
}

/* Runs for a time in which other calls to the store are answered. */
static void
run_beside_answers(fixture_t *f, int32_t ms)
{
	int64_t began_ms = node_now_ms(&f->node);

	while (node_now_ms(&f->node) - began_ms < ms) {
		run_for(f, 10);
		f->node.store_answered_ms = node_now_ms(&f->node);
	}
}

/* Runs until the value of a key is this one; returns how long it took. */
static int64_t
run_until_value(fixture_t *f, const char *key, const char *text)
{
	int64_t began_ms = node_now_ms(&f->node);

	while (strcmp(handed_value(f, key), text) != 0 &&
	    node_now_ms(&f->node) - began_ms < STEP_MS)
		run_for(f, 10);
	return node_now_ms(&f->node) - began_ms;
}

static void
put_numbered(fixture_t *f, int n)
{
	char text[16];

	snprintf(text, sizeof(text), "v%d", n);
	store_fixture_put(&f->store, "config", text);
}

/* Starts the watch; the store goes away; the row changes CHANGES times. */
static void
fall_behind(fixture_t *f)
{
	put_numbered(f, 0);
	store_fixture_put(&f->store, "evacuate/z", "{}");
	table_watch_start(f->watch);
	run_until_value(f, "config", "v0");
	cr_assert_str_eq(handed_value(f, "evacuate/z"), "{}");
	run_for(f, 100);
	f->store.away = true;
	store_fixture_put(&f->store, "evacuate/z", NULL);
	for (int i = 1; i <= CHANGES; i++)
		put_numbered(f, i);
	run_for(f, AWAY_MS);
	f->handed = 0;
	f->store.rows_sent = 0;
	f->store.reads = 0;
	f->store.away = false;
}

/*
 * Guards against CONFIG, a 404 by tables that were replaced seconds before: after
 * the store was away for an entry, what it costs to have the newest tables grew
 * with each version that it had missed.
 */
Test(table_watch, catching_up_costs_one_value_a_key, .timeout = 20)
{
	fixture_t f = { 0 };
	int64_t took_ms;

	fixture_init(&f);
	fall_behind(&f);
	took_ms = run_until_value(&f, "config", "v40");
	cr_expect_str_eq(handed_value(&f, "config"), "v40");
	cr_expect_lt(took_ms, AGE_FAST_MS);
	cr_expect_leq(
	    f.store.rows_sent, 2, "the store sent %zu rows", f.store.rows_sent);
	cr_expect_leq(f.handed, 2, "%d rows were handed over", f.handed);
	cr_expect_eq(f.store.reads, 1, "read %d times", f.store.reads);
	cr_expect_str_eq(handed_value(&f, "evacuate/z"), "", "still out");
}

/*
 * Guards against CONFIG as above: the answer that showed that the store was back was
 * thrown away, though it was the table, and the table read again.
 */
Test(table_watch, the_answer_that_ends_a_gap_is_used, .timeout = 20)
{
	fixture_t f = { 0 };

	fixture_init(&f);
	fall_behind(&f);
	run_until_value(&f, "config", "v40");
	run_for(&f, 200);
	cr_expect_str_eq(handed_value(&f, "config"), "v40");
	cr_expect_eq(
	    f.store.rows_sent, 1, "the store sent %zu rows", f.store.rows_sent);
}

/*
 * Guards against a data centre that stays out of use for ever: its evacuation was
 * taken back while the store forgot its history, so that the table is read whole.
 */
Test(table_watch, a_removal_that_was_forgotten, .timeout = 20)
{
	fixture_t f = { 0 };

	fixture_init(&f);
	fall_behind(&f);
	store_fixture_compact(&f.store);
	run_until_value(&f, "config", "v40");
	cr_expect_str_eq(handed_value(&f, "config"), "v40");
	cr_expect_str_eq(handed_value(&f, "evacuate/z"), "", "still out");
}

/*
 * Guards against CONFIG as above: of several versions in one answer each was
 * decoded and put in force, so that the newest came last.
 */
Test(table_watch, superseded_values_are_not_handed_over, .timeout = 20)
{
	fixture_t f = { 0 };

	fixture_init(&f);
	put_numbered(&f, 0);
	table_watch_start(f.watch);
	run_until_value(&f, "config", "v0");
	run_for(&f, 100);
	f.handed = 0;
	/* No call of the feed is held for the moment. */
	f.store.away = true;
	for (int i = 1; i <= 5; i++)
		put_numbered(&f, i);
	f.store.away = false;
	put_numbered(&f, 6);
	run_until_value(&f, "config", "v6");
	cr_expect_str_eq(handed_value(&f, "config"), "v6");
	cr_expect_eq(f.handed, 1, "%d rows were handed over", f.handed);
}

/*
 * Guards against tables that are never read: the answer that ended a gap was dropped,
 * and the table read anew, for which a slow store or link took as long again.
 */
Test(table_watch, a_slow_store_is_read, .timeout = 20)
{
	fixture_t f = { 0 };

	fixture_init(&f);
	put_numbered(&f, 0);
	f.store.slow_ms = 950;
	table_watch_start(f.watch);
	run_until_value(&f, "config", "v0");
	cr_expect_str_eq(handed_value(&f, "config"), "v0");
}

/*
 * Guards against tables that count as old though they have just come: their age was
 * counted from the first call of a read, also where the second was answered.
 */
Test(table_watch, tables_are_as_old_as_the_answer, .timeout = 20)
{
	fixture_t f = { 0 };
	int64_t age_ms;

	fixture_init(&f);
	put_numbered(&f, 0);
	f.store.away = true;
	table_watch_start(f.watch);
	while (f.store.reads < 2)
		run_beside_answers(&f, 10);
	f.store.away = false;
	while (f.as_of_ms == 0)
		run_beside_answers(&f, 10);
	age_ms = node_now_ms(&f.node) - f.as_of_ms;
	cr_expect_lt(age_ms, 500, "%d ms old", (int)age_ms);
}

/*
 * Guards against calls at full speed: a store that forgets its history at once was
 * asked for the table and the feed in turn without a pause.
 */
Test(table_watch, a_store_that_forgets_at_once, .timeout = 20)
{
	fixture_t f = { 0 };
	int64_t began_ms;

	fixture_init(&f);
	put_numbered(&f, 0);
	f.store.forgets = true;
	began_ms = node_now_ms(&f.node);
	table_watch_start(f.watch);
	run_beside_answers(&f, 1000);
	cr_expect_leq(f.store.reads,
	    3 + (node_now_ms(&f.node) - began_ms) / FORGETS_GAP_MS,
	    "%d reads in 1 s", f.store.reads);
	cr_expect_geq(f.store.reads, 3);
}

/*
 * Guards against a table that is read whole again and again: a store that takes longer
 * than the slack of a poll failed each call of the feed.
 */
Test(table_watch, the_feed_of_a_slow_store, .timeout = 20)
{
	fixture_t f = { 0 };

	fixture_init(&f);
	put_numbered(&f, 0);
	f.store.slow_ms = 600;
	table_watch_start(f.watch);
	run_beside_answers(&f, 8000);
	cr_expect_leq(f.store.reads, 3, "%d whole reads", f.store.reads);
	cr_expect_geq(f.store.feeds, 3);
}

/*
 * Guards against CONFIG as above: on a weak link a large table takes longer than the
 * time between two changes of it, so that the feed, which sends each version, fell
 * behind by more with each answer.
 */
Test(table_watch, a_row_that_changes_faster_than_it_is_sent, .timeout = 20)
{
	size_t sent, handed, last_sent = 0;
	fixture_t f = { 0 };

	fixture_init(&f);
	put_numbered(&f, 0);
	f.store.row_ms = SLOW_ROW_MS;
	table_watch_start(f.watch);
	run_until_value(&f, "config", "v0");
	for (int i = 1; i <= SLOW_CHANGES; i++) {
		put_numbered(&f, i);
		run_for(&f, SLOW_GAP_MS);
		/* The feed is asked until it has shown that it is late. */
		if (i == SLOW_CHANGES / 3) {
			last_sent = f.store.rows_sent;
			f.handed = 0;
		}
	}
	sent = f.store.rows_sent - last_sent;
	handed = (size_t)f.handed;
	cr_expect_gt(handed, 0);
	cr_expect_leq(sent, handed + SLOW_UNUSED, "%zu of %zu rows were used",
	    handed, sent);
	run_until_value(&f, "config", "v90");
	cr_expect_str_eq(handed_value(&f, "config"), "v90");
}
