/*
 * A load of the cell that follows one which was cut short.
 */
#include <stdbool.h>
#include <stdint.h>
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
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "../../platform/platform.h"
#include "../../serve/store_clock.h"
#include "../../serve/auth.h"
#include "../../serve/rate_limit.h"
#include "../../serve/serve.h"
#include "sched_fixture.h"

#define JOB   "0000000000000001"
#define TOKEN 41
/* The store's clock less ours, and how late its first answer is read. */
#define STORE_AHEAD_MS 500000
#define PAUSE_MS       3000
#define JOB_ROWS       1 /* the watch of the jobs among those of a driver */

/* The owner row of another entry is read. */
static void
read_owner(sched_t *s, int64_t version, bool released, int64_t now_ms)
{
	Sched__Owner o = SCHED__OWNER__INIT;
	uint8_t bytes[64];
	sched_row_t row = {
		.key = SCHED_KEY_OWNER, .version = version, .bytes = bytes
	};

	o.name = (char *)"other";
	o.epoch = 1;
	o.released = released;
	row.nbytes = sched__owner__pack(&o, bytes);
	sched_owner_row_read(s, &row, now_ms);
}

/* A driver whose loop never runs, so that no call of it is answered. */
static cell_driver_t *
new_driver(node_t *n, uv_loop_t *loop)
{
	platform_opts_t o = {
		.loop = loop, .store_addr = "127.0.0.1:1", .approval_addr = ""
	};

	uv_loop_init(loop);
	n->loop = loop;
	n->opts.name = "e";
	if (n->opts.drain_ms == 0)
		n->opts.drain_ms = n->opts.config_ms = 2000;
	n->opts.max_lease_ms = 6000;
	n->platform = platform_new(&o);
	n->watches = g_ptr_array_new();
	uv_timer_init(loop, &n->tick_timer);
	n->cell_driver = cell_driver_new(n);
	return n->cell_driver;
}

static int32_t
watches_on(const node_t *n)
{
	int32_t sum = 0;

	for (guint i = 0; i < n->watches->len; i++)
		sum += table_watch_is_on(g_ptr_array_index(n->watches, i));
	return sum;
}

/*
 * Guards against a load that ends before its progress rows are read, so that jobs
 * count as never started: a claim is lost while the job rows are being read, and
 * the answers come during the next load.
 */
Test(load, a_lost_claim_stops_its_reads)
{
	node_t n = { 0 };
	uv_loop_t loop;
	cell_driver_t *c = new_driver(&n, &loop);
	sched_t *s = cell_driver_sched(c);

	read_owner(s, TOKEN - 1, true, node_now_ms(&n));
	cell_driver_tick(c);
	sched_claim_done(s, SCHED_WRITE_OK, TOKEN, node_now_ms(&n));
	cr_expect_eq(watches_on(&n), 2, "workers and progress are read");
	/* The progress rows have been read. */
	table_watch_start(g_ptr_array_index(n.watches, JOB_ROWS));
	read_owner(s, TOKEN + 1, true, node_now_ms(&n));
	cell_driver_tick(c);
	cr_expect_eq(watches_on(&n), 0, "%d watches", watches_on(&n));
	/* The answer to the last progress row comes only now. */
	table_watch_start(g_ptr_array_index(n.watches, JOB_ROWS));
	sched_claim_done(s, SCHED_WRITE_OK, TOKEN + 2, node_now_ms(&n));
	cr_expect_eq(watches_on(&n), 2, "the next load begins anew");
}

static void
read_row(sched_t *s, const char *key, const uint8_t *bytes, size_t n)
{
	sched_row_t row = {
		.key = key, .version = TOKEN - 2, .bytes = bytes, .nbytes = n
	};

	sched_row_read(s, &row, s->now_ms);
}

/*
 * Guards against a task that is started after its end: the row of its job comes
 * from a read that an earlier load began, before the job's progress.
 */
Test(load, a_job_before_its_progress)
{
	static const struct {
		Sched__State state;
		guint njobs;
	} cases[] = { { SCHED__STATE__RUNNING, 1 },
		{ SCHED__STATE__COMPLETED, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		Sched__Progress p = SCHED__PROGRESS__INIT;
		Sched__Step step = step_def("i", 1000, false, 0);
		Sched__Step *steps[] = { &step };
		Sched__Job d = job_def(steps, 1, 0);
		uint8_t job[256], progress[64];
		size_t njob = sched__job__pack(&d, job);

		s->cell.state = CELL_LOADING;
		s->cell.token = TOKEN;
		s->cell.rows_before_starts = true;
		p.state = cases[i].state;
		read_row(s, JOB, job, njob);
		read_row(s, JOB SCHED_KEY_PROGRESS, progress,
		    sched__progress__pack(&p, progress));
		read_row(s, JOB, job, njob);
		sched_load_done(s, s->now_ms);
		cr_expect_eq(g_hash_table_size(s->jobs), cases[i].njobs,
		    "state %d: %u jobs", cases[i].state,
		    g_hash_table_size(s->jobs));
		if (cases[i].njobs > 0) {
			const job_t *j = g_hash_table_lookup(s->jobs, JOB);

			cr_expect(j->row_stored && j->maybe_started_before,
			    "taken for not started");
		}
		sched_free(s);
	}
}

/*
 * Guards against a task that is started on a worker after it has drained, or on one
 * of a service that its queue was taken from (CONFIG): an order may wait for a
 * connection, while the list of workers and the operators' table grow older.
 */
Test(load, lists_are_fresh_until_an_order_arrives)
{
	static const struct {
		int32_t drain_ms, config_ms;
	} cases[] = { { 2000, 2000 }, { 3000, 3000 }, { 3000, 2000 },
		{ 2000, 3000 }, { 60000, 2000 }, { 60000, 1500 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		node_t n = { .opts = { .drain_ms = cases[i].drain_ms,
				 .config_ms = cases[i].config_ms } };
		uv_loop_t loop;
		const sched_t *s = cell_driver_sched(new_driver(&n, &loop));
		int32_t most_ms =
		    s->opts.feed_limit_ms + PLATFORM_ORDER_TIMEOUT_MS;

		cr_expect_leq(most_ms, cases[i].drain_ms, "case %zu", i);
		cr_expect_leq(most_ms, cases[i].config_ms, "case %zu", i);
	}
}

/*
 * Guards against two runs of one task: a process that was paused before it read the
 * first answer of the store wrote lease ends by that, too early for its successors,
 * until it polled its own row seconds later.
 */
Test(load, the_store_clock_is_that_of_the_best_answer)
{
	node_t n = { 0 };
	uv_loop_t loop;
	const sched_t *s = cell_driver_sched(new_driver(&n, &loop));
	store_answer_t late = { 0 }, prompt = { 0 };

	n.store_answered_ms = node_now_ms(&n);
	late.clock_ms = n.store_answered_ms + STORE_AHEAD_MS - PAUSE_MS;
	node_record_store_answer(&n, STORE_OK, &late);
	prompt.clock_ms = node_now_ms(&n) + STORE_AHEAD_MS;
	node_record_store_answer(&n, STORE_OK, &prompt);
	cr_assert(s->store_clock_known);
	cr_expect_geq(s->store_clock_offset_ms, STORE_AHEAD_MS - 100,
	    "%d ms behind", (int)(STORE_AHEAD_MS - s->store_clock_offset_ms));
}
