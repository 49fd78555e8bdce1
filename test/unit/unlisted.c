/*
 * A worker that is no longer listed, or whose entry is odd: no task is started
 * there, and what runs there stays.
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

/* Answers the poll in flight: the run goes on. */
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
