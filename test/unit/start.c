/*
 * Starts whose order gets no answer.
 *
 * Pattern: workers carry orders out and their answers are lost.  A stop of such a
 * run throws its work away, and the task begins anew seconds later.
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

#define STARTED_MS   1000
#define TIMED_OUT_MS 1400
#define POLLED_MS    1410
#define ANSWERED_MS  1420

static int32_t orders[3]; /* by sched_order_kind_t */

static void
count_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	orders[o->kind]++;
}

static void
ignore_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	(void)p;
}

/* The worker's report to a poll sent at a time; its run is listed, or not. */
static void
report(sched_t *s, worker_t *w, const run_t *r, bool listed, int64_t sent_ms)
{
	sched_running_t running = { .task = r->name,
		.run = r->number,
		.checkpoint = "",
		.percent = 30 };
	sched_report_t rep = { .clock_ms = s->now_ms,
		.started_ms = 1,
		.running = &running,
		.nrunning = listed };

	report_apply(s, w, &rep, sent_ms);
}

/* A start that the worker has carried out is not stopped. */
Test(start, in_doubt)
{
	static const struct {
		const char *name;
		bool listed_before; /* in a report before the order timed out */
		bool job_ended;	    /* before that as well */
		bool missed;	    /* the poll gets no answer */
		bool listed;	    /* in the report to the poll */
		run_state_t want;
		int32_t stops;
	} cases[] = {
		{ "carried out", false, false, false, true, RUN_RUNNING, 0 },
		{ "known before the timeout", true, false, false, true,
		    RUN_RUNNING, 0 },
		{ "not carried out yet", false, false, false, false,
		    RUN_STOPPING, 1 },
		{ "worker does not answer", false, false, true, false,
		    RUN_STOPPING, 1 },
		{ "no longer needed", false, true, false, true, RUN_STOPPING,
		    1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		Sched__Step def = step_def("", 1000, false, 0);
		job_t *j = add_job(s, "0000000000000001", &def, 0);
		task_t *t = &first_step(j)->tasks[0];
		run_t *r;

		memset(orders, 0, sizeof(orders));
		s->opts.port.order = count_order;
		s->opts.port.poll = ignore_poll;
		s->now_ms = STARTED_MS;
		run_start(s, t, w, 1);
		r = t->run;
		if (cases[i].listed_before)
			report(s, w, r, true, STARTED_MS);
		if (cases[i].job_ended)
			run_end_job(s, j, SCHED__STATE__CANCELLED);
		sched_order_done(
		    s, r->id, SCHED_ORDER_IN_DOUBT, 0, TIMED_OUT_MS);
		s->now_ms = POLLED_MS;
		poll_tick(s);
		s->now_ms = ANSWERED_MS;
		if (cases[i].missed)
			sched_poll_done(s, w->poll_id, "w",
			    SCHED_ORDER_IN_DOUBT, NULL, ANSWERED_MS);
		else
			report(s, w, r, cases[i].listed, POLLED_MS);
		cr_expect_eq(r->state, cases[i].want, "%s: state %d",
		    cases[i].name, r->state);
		cr_expect_eq(orders[SCHED_STOP], cases[i].stops, "%s: %d stops",
		    cases[i].name, orders[SCHED_STOP]);
		cr_expect_eq(orders[SCHED_START], 1, "%s", cases[i].name);
		sched_free(s);
	}
}

/* A report to a poll from before the timeout does not prove the run absent. */
Test(start, in_doubt_older_poll)
{
	sched_t *s = new_owner();
	worker_t *w = add_worker(s, "w");
	Sched__Step def = step_def("", 1000, false, 0);
	job_t *j = add_job(s, "0000000000000001", &def, 0);
	task_t *t = &first_step(j)->tasks[0];

	s->now_ms = STARTED_MS;
	run_start(s, t, w, 1);
	sched_order_done(s, t->run->id, SCHED_ORDER_IN_DOUBT, 0, TIMED_OUT_MS);
	report(s, w, t->run, false, STARTED_MS);
	cr_expect_eq(t->run->state, RUN_STARTING);
	report(s, w, t->run, true, POLLED_MS);
	cr_expect_eq(t->run->state, RUN_RUNNING);
	sched_free(s);
}
