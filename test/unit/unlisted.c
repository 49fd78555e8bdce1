/*
 * A worker that is no longer listed, or whose entry is odd or says what is not true:
 * no task is started there, and what runs there stays.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../sched/sched.h"
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "sched_fixture.h"

#define JOB	   "0000000000000001"
#define BEGUN_MS   1000
#define TICK_MS	   50
#define CLOCK_MS   500000 /* of the worker at BEGUN_MS */
#define PLAY_MS	   20000  /* several of the longest leases */
#define LEASE_MS   6000
#define LEASE_LEFT 2000 /* at least, after each poll */

static sched_poll_t last_poll;

static void
take_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	last_poll = *p;
}

static void
ignore_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	(void)puts;
}

static void
ignore_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	(void)o;
}

static sched_t *
new_polling_owner(void)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = LEASE_MS,
		.port = { .event = ignore_event,
		    .order = ignore_order,
		    .write = ignore_write,
		    .poll = take_poll } };
	sched_t *s = sched_new(&o);

	s->cell.state = CELL_OWNED;
	s->cell.workers_accounted = true;
	s->now_ms = BEGUN_MS;
	return s;
}

/* Answers the poll in flight, as the process that started at 1: the run goes on. */
static void
answer(sched_t *s)
{
	sched_running_t run = {
		.task = JOB ".0.0.0", .run = 1, .checkpoint = "", .percent = 50
	};
	sched_report_t report = { .clock_ms = CLOCK_MS + s->now_ms - BEGUN_MS,
		.started_ms = 1,
		.running = &run,
		.nrunning = 1 };

	sched_poll_done(
	    s, last_poll.id, "w", SCHED_ORDER_OK, &report, s->now_ms);
}

/*
 * The worker's runs were started elsewhere, or given up, after an odd entry had
 * taken the place of its own.
 */
Test(unlisted, keeps_its_runs)
{
	sched_t *s = new_polling_owner();
	worker_t *w = add_worker(s, "w");
	Sched__Step d = step_def("", 1000, false, 0);
	job_t *j = add_job(s, JOB, &d, 0);
	run_t *r = add_running(s, first_step(j), 0, w);

	cr_expect(cell_worker_usable(s, w));
	sched_worker_left(s, "w", s->now_ms);
	for (; s->now_ms < BEGUN_MS + PLAY_MS; s->now_ms += TICK_MS) {
		s->cell.confirmed_ms = s->now_ms;
		last_poll.id = 0;
		poll_tick(s);
		cr_expect_not(cell_worker_usable(s, w));
		if (last_poll.id == 0)
			continue;
		/* The second poll knows the worker's clock. */
		if (w->answered_ms != NEVER_MS)
			cr_expect_geq(last_poll.deadline_ms,
			    w->lease.clock_ms +
				(s->now_ms - w->answered_ms) * 98 / 100 +
				LEASE_LEFT);
		answer(s);
	}
	cr_expect_eq(first_step(j)->tasks[0].run, r);
	cr_expect_eq(first_step(j)->tasks[0].state, TASK_RUNNING);
	cr_expect_geq(w->reported_ms, BEGUN_MS + PLAY_MS - LEASE_LEFT);
	cr_expect_eq(g_hash_table_size(s->runs), 1);
	sched_free(s);
}

/* Listed again by a sound entry, it is used again. */
Test(unlisted, is_used_again)
{
	sched_t *s = new_polling_owner();
	worker_t *w = add_worker(s, "w");

	sched_worker_left(s, "w", s->now_ms);
	cr_expect_not(cell_worker_usable(s, w));
	add_worker(s, "w");
	cr_expect(cell_worker_usable(s, w));
	/* One that was never listed. */
	sched_worker_left(s, "unknown", s->now_ms);
	cr_expect_eq(s->worker_list->len, 1);
	sched_free(s);
}

/* An entry of the worker w that says when it started, and where it is. */
static void
list_as(sched_t *s, int64_t started_ms, const char *address)
{
	sched_worker_info_t i = worker_info("w", started_ms);

	i.address = address;
	sched_worker_listed(s, &i, s->now_ms);
}

/* The worker w, which has a run. */
static worker_t *
add_running_worker(sched_t *s)
{
	worker_t *w = add_worker(s, "w");
	Sched__Step d = step_def("", 1000, false, 0);

	add_running(s, first_step(add_job(s, JOB, &d, 0)), 0, w);
	return w;
}

/*
 * Polls for a while, each poll answered with a result; returns when the run was
 * taken for ended, or 0.  Notes the latest deadline that was sent.
 */
static int64_t
play(sched_t *s, const worker_t *w, int64_t for_ms, sched_order_result_t result,
    int64_t *deadline_ms)
{
	int64_t lost_ms = 0;

	for (int64_t end_ms = s->now_ms + for_ms; s->now_ms < end_ms;
	     s->now_ms += TICK_MS) {
		s->cell.confirmed_ms = s->now_ms;
		last_poll.id = 0;
		poll_tick(s);
		flush_if_due(s);
		if (s->write_pending)
			sched_write_done(
			    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
		if (lost_ms == 0 && g_hash_table_size(w->runs) == 0)
			lost_ms = s->now_ms;
		if (last_poll.id == 0)
			continue;
		*deadline_ms = MAX(*deadline_ms, last_poll.deadline_ms);
		if (result == SCHED_ORDER_OK)
			answer(s);
		else
			sched_poll_done(
			    s, last_poll.id, "w", result, NULL, s->now_ms);
	}
	return lost_ms;
}

/*
 * Guards against two runs of one task: an entry of another writer in the place of a
 * worker's own says another start or address.  The run's lease has not ended.
 */
Test(unlisted, an_entry_that_is_not_true)
{
	static const struct {
		const char *name;
		int64_t started_ms;
		const char *address;
		sched_order_result_t result; /* of calls there */
		bool stopped;
	} cases[] = {
		{ "a later start", 1000000, "a:1", SCHED_ORDER_OK },
		{ "nothing answers there", 1, "b:1", SCHED_ORDER_NOT_SENT },
		{ "another worker is there", 1, "b:1", SCHED_ORDER_RESTARTED },
		{ "another worker, and a stop", 1, "b:1", SCHED_ORDER_RESTARTED,
		    true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_polling_owner();
		worker_t *w = add_running_worker(s);
		run_t *r = g_hash_table_lookup(w->runs, JOB ".0.0.0");
		int64_t deadline_ms = 0, lost_ms;

		lost_ms = play(s, w, PLAY_MS, SCHED_ORDER_OK, &deadline_ms);
		cr_assert_eq(lost_ms, 0, "%s", cases[i].name);
		list_as(s, cases[i].started_ms, cases[i].address);
		if (cases[i].stopped) {
			run_stop(s, r, "test");
			run_order_done(s, r, cases[i].result, 0);
		}
		lost_ms = play(s, w, PLAY_MS, cases[i].result, &deadline_ms);
		cr_expect_not(cell_worker_usable(s, w), "%s", cases[i].name);
		cr_expect(
		    lost_ms == 0 || lost_ms - BEGUN_MS + CLOCK_MS > deadline_ms,
		    "%s: taken for ended %d ms before its lease", cases[i].name,
		    (int)(deadline_ms - (lost_ms - BEGUN_MS + CLOCK_MS)));
		sched_free(s);
	}
}

/* A worker whose own entry is back after one that was not true is used again.
 */
Test(unlisted, its_own_entry_is_back)
{
	static const struct {
		const char *name;
		int64_t started_ms;
		const char *address;
		sched_order_result_t result; /* of polls there */
	} cases[] = {
		{ "a later start", 1000000, "a:1", SCHED_ORDER_OK },
		{ "an earlier start", -1, "a:1", SCHED_ORDER_OK },
		{ "another address", 1, "b:1", SCHED_ORDER_NOT_SENT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_polling_owner();
		worker_t *w = add_running_worker(s);
		int64_t deadline_ms = 0;

		list_as(s, cases[i].started_ms, cases[i].address);
		play(s, w, PLAY_MS, cases[i].result, &deadline_ms);
		list_as(s, 1, "a:1");
		play(s, w, PLAY_MS, SCHED_ORDER_OK, &deadline_ms);
		cr_expect(cell_worker_usable(s, w), "%s: %d", cases[i].name,
		    (int)cell_worker_refusal(s, w));
		sched_free(s);
	}
}
