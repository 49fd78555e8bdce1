/*
 * Pace orders of a filler run: what the worker has in the end must be the pace
 * that is wanted, whatever happens to the orders on their way.
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

#define TASK "0000000000000001.0.0.0"

/* The last order, and how many there were. */
static sched_order_t last;
static int orders;

static void
take_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	last = *o;
	orders++;
}

/* An owner with a filler run that it has just found on a worker. */
static run_t *
new_run(sched_t **owner, worker_t **w)
{
	Sched__Step fill = step_def("fill", 7000, true, 0);
	sched_running_t entry = {
		.task = TASK, .run = 1, .checkpoint = "", .percent = 10
	};
	sched_report_t report = {
		.clock_ms = 1, .started_ms = 1, .running = &entry, .nrunning = 1
	};
	sched_t *s = *owner = new_owner();

	s->opts.port.order = take_order;
	s->now_ms = 1000;
	*w = add_worker(s, "w");
	add_job(s, "0000000000000001", &fill, 0);
	report_apply(s, *w, &report, 990);
	return g_hash_table_lookup((*w)->runs, TASK);
}

/* The run was slowed by an earlier owner: the new one sends what it wants. */
Test(pace, of_an_adopted_run_is_sent)
{
	sched_t *s;
	worker_t *w;
	const run_t *r = new_run(&s, &w);

	orders = 0;
	run_resend_orders(s, w);
	cr_assert_eq(orders, 1);
	cr_expect_eq(last.kind, SCHED_PACE);
	cr_expect_eq(last.percent, 100);
	sched_order_done(s, r->id, SCHED_ORDER_OK, 10, 1100);
	run_resend_orders(s, w);
	cr_expect_eq(orders, 1);
	sched_free(s);
}

/* The pace changes while an order is on its way: the change is sent after it. */
Test(pace, that_changes_in_flight_is_sent)
{
	sched_t *s;
	worker_t *w;
	run_t *r = new_run(&s, &w);

	run_set_pace(s, r, 50);
	run_set_pace(s, r, 0);
	cr_assert_eq(last.percent, 50);
	sched_order_done(s, r->id, SCHED_ORDER_OK, 10, 1100);
	cr_expect_eq(last.percent, 0);
	sched_free(s);
}

/* A stop that waits for a pace order goes out when that has ended. */
Test(pace, order_does_not_delay_a_stop)
{
	static const sched_order_result_t results[] = { SCHED_ORDER_OK,
		SCHED_ORDER_IN_DOUBT, SCHED_ORDER_NOT_SENT };

	for (size_t i = 0; i < G_N_ELEMENTS(results); i++) {
		sched_t *s;
		worker_t *w;
		run_t *r = new_run(&s, &w);

		run_set_pace(s, r, 50);
		run_stop(s, r, "test");
		cr_assert_eq(last.kind, SCHED_PACE);
		sched_order_done(s, r->id, results[i], 10, 1100);
		cr_expect_eq(last.kind, SCHED_STOP, "case %zu", i);
		sched_free(s);
	}
}

/*
 * An order is not answered and may be carried out seconds later, after the next
 * one: that is repeated until it is certain to be the last.
 */
Test(pace, in_doubt_is_repeated)
{
	sched_t *s;
	worker_t *w;
	run_t *r = new_run(&s, &w);

	run_set_pace(s, r, 50);
	sched_order_done(s, r->id, SCHED_ORDER_IN_DOUBT, 0, 1400);
	orders = 0;
	run_set_pace(s, r, 0);
	for (int i = 0; i < 30; i++) {
		s->now_ms += 500;
		run_resend_orders(s, w);
		cr_expect_eq(last.percent, 0);
		if (r->order_pending)
			sched_order_done(
			    s, r->id, SCHED_ORDER_OK, 10, s->now_ms);
	}
	cr_expect_gt(orders, 10);
	cr_expect_eq(r->pace_pct, 0);
	orders = 0;
	s->now_ms += 1000;
	run_resend_orders(s, w);
	cr_expect_eq(orders, 0);
	sched_free(s);
}
