/*
 * Start orders that a worker may carry out seconds late: by a process that has started
 * again under its id since, and knows nothing of the stop of that run.
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

#define TASK	   "0000000000000001.0.0.0"
#define BEGUN_MS   100000
#define CLOCK_MS   500000 /* of each process then */
#define RETURNS_MS 500	  /* of a call */

static sched_order_t last_stop;
static int32_t stops;

static void
take_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	if (o->kind != SCHED_STOP)
		return;
	stops++;
	last_stop = *o;
}

/* The process that started at started_ms reports, without a run or with this one. */
static void
report(sched_t *s, worker_t *w, int64_t started_ms, int64_t run)
{
	sched_running_t running = {
		.task = TASK, .run = run, .checkpoint = ""
	};
	sched_report_t r = { .clock_ms = CLOCK_MS + s->now_ms - BEGUN_MS,
		.started_ms = started_ms,
		.running = &running,
		.nrunning = run != 0 };

	s->now_ms += RETURNS_MS;
	report_apply(s, w, &r, s->now_ms - 1);
}

/* The last stop order has been carried out. */
static void
stop_acked(sched_t *s)
{
	s->now_ms += 1;
	sched_order_done(s, last_stop.id, SCHED_ORDER_OK, 0, s->now_ms);
}

/* Orders a run of the task, which gets no answer, and sends a stop of it. */
static void
order_in_doubt(sched_t *s, step_t *st, worker_t *w, int64_t number)
{
	run_t *r = add_run(s, st, 0, w);

	stops = 0;
	r->number = number;
	run_set_state(s, r, RUN_STARTING);
	r->ordered_ms = s->now_ms;
	r->last_order = SCHED_START;
	r->order_pending = true;
	report(s, w, 1, 0);
	sched_order_done(s, r->id, SCHED_ORDER_IN_DOUBT, 0, s->now_ms);
	report(s, w, 1, 0);
	cr_assert_eq(stops, 1);
}

/* The same, and has it stopped there. */
static void
give_up_start(sched_t *s, step_t *st, worker_t *w, int64_t number)
{
	order_in_doubt(s, st, w, number);
	stop_acked(s);
	report(s, w, 1, 0);
	cr_assert_eq(g_hash_table_size(w->runs), 0);
}

/*
 * Guards against a second run of a task, by an order that is carried out late.
 */
Test(held_up, by_a_process_that_has_started_again)
{
	static const struct {
		const char *name;
		int64_t later_ms; /* that process answers */
		bool elsewhere;	  /* the task runs again by then */
		int64_t listed;	  /* run that the process lists; 0: none */
		int64_t started_ms;
		int32_t stops; /* of run 1, that it is sent */
	} cases[] = {
		{ "the task waits", 1000, false, 0, 2, 1 },
		{ "the task runs elsewhere", 1000, true, 0, 2, 1 },
		{ "just before the latest", 9000, true, 0, 2, 1 },
		{ "longer than an order is held up", 12000, true, 0, 2, 0 },
		{ "it has been carried out", 1000, true, 1, 2, 1 },
		{ "the process that was told", 1000, false, 0, 1, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w = add_worker(s, "w"), *other = add_worker(s, "o");
		job_t *j = add_job(s, "0000000000000001", &d, 0);
		task_t *t = &first_step(j)->tasks[0];

		s->opts.port.order = take_order;
		s->now_ms = BEGUN_MS;
		give_up_start(s, first_step(j), w, 1);
		cr_assert_eq(t->state, TASK_WAITING, "%s", cases[i].name);
		stops = 0;
		if (cases[i].elsewhere)
			add_run(s, first_step(j), 0, other)->number = 2;
		s->now_ms += cases[i].later_ms;
		report(s, w, cases[i].started_ms, cases[i].listed);
		cr_expect_eq(stops, cases[i].stops, "%s: %d stops",
		    cases[i].name, stops);
		if (stops == 1) {
			cr_expect_eq(last_stop.run, 1, "%s", cases[i].name);
			cr_expect_eq(t->state, TASK_RUNNING,
			    "%s: may start elsewhere", cases[i].name);
			stop_acked(s);
			report(s, w, 2, 0);
			report(s, w, 2, 0);
		}
		cr_expect_eq(stops, cases[i].stops, "%s", cases[i].name);
		cr_expect_eq(
		    g_hash_table_size(w->runs), 0, "%s", cases[i].name);
		cr_expect_eq(t->state,
		    cases[i].elsewhere ? TASK_RUNNING : TASK_WAITING, "%s",
		    cases[i].name);
		cr_expect_eq(w->used_cpu_milli, 0, "%s", cases[i].name);
		sched_free(s);
	}
}

/*
 * Guards against a second run of a task, by an order that is carried out late: the process
 * that was told to refuse the run is gone before it has reported again, and the next one
 * was not told (cells 51087 -weak).
 */
Test(held_up, the_process_that_was_told_is_gone_before_it_reports)
{
	static const struct {
		const char *name;
		/* The list of workers tells of the next one. */
		bool listed_first;
		bool acked_late; /* the answer is read after that */
	} cases[] = {
		{ "its report tells", false, false },
		{ "the list of workers tells", true, false },
		{ "the answer is read late", true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w = add_worker(s, "w");
		job_t *j = add_job(s, "0000000000000001", &d, 0);
		const task_t *t = &first_step(j)->tasks[0];

		s->opts.port.order = take_order;
		s->now_ms = BEGUN_MS;
		order_in_doubt(s, first_step(j), w, 1);
		stops = 0;
		if (!cases[i].acked_late)
			stop_acked(s);
		if (cases[i].listed_first)
			cell_worker_restarted(s, w, 2);
		if (cases[i].acked_late)
			stop_acked(s);
		report(s, w, 2, 0);
		run_resend_orders(s, w);
		cr_expect_eq(stops, 1, "%s: %d stops", cases[i].name, stops);
		cr_expect_eq(t->state, TASK_RUNNING, "%s: may start elsewhere",
		    cases[i].name);
		if (stops == 1) {
			cr_expect_eq(last_stop.run, 1, "%s", cases[i].name);
			stop_acked(s);
		}
		report(s, w, 2, 0);
		cr_expect_eq(t->state, TASK_WAITING, "%s", cases[i].name);
		cr_expect_eq(
		    g_hash_table_size(w->runs), 0, "%s", cases[i].name);
		sched_free(s);
	}
}

/*
 * Guards against a second run of a task (TWICE): its worker crashes under a later run of it,
 * and the next process carries out the start of an earlier one that was held up.
 */
Test(held_up, a_later_run_of_a_former_process_excludes_none)
{
	static const struct {
		const char *name;
		int64_t started_ms, listed; /* by the next report */
		int32_t stops;		    /* of run 1 */
	} cases[] = {
		{ "it has started again", 2, 0, 1 },
		{ "it goes on, with the later run", 1, 3, 0 },
		{ "it goes on, without", 1, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w = add_worker(s, "w");
		job_t *j = add_job(s, "0000000000000001", &d, 0);
		run_t *r;

		s->opts.port.order = take_order;
		s->now_ms = BEGUN_MS;
		give_up_start(s, first_step(j), w, 1);
		r = add_running(s, first_step(j), 0, w);
		r->number = 3;
		report(s, w, 1, 3);
		stops = 0;
		report(s, w, cases[i].started_ms, cases[i].listed);
		cr_expect_eq(stops, cases[i].stops, "%s: %d stops",
		    cases[i].name, stops);
		if (stops == 1)
			cr_expect_eq(last_stop.run, 1, "%s", cases[i].name);
		sched_free(s);
	}
}

/* Of two runs of a task it is told of the later one, which excludes the other. */
Test(held_up, two_runs_of_a_task)
{
	sched_t *s = new_owner();
	Sched__Step d = step_def("", 1000, false, 0);
	worker_t *w = add_worker(s, "w");
	job_t *j = add_job(s, "0000000000000001", &d, 0);

	s->opts.port.order = take_order;
	s->now_ms = BEGUN_MS;
	give_up_start(s, first_step(j), w, 1);
	give_up_start(s, first_step(j), w, 3);
	stops = 0;
	report(s, w, 2, 0);
	cr_expect_eq(stops, 1);
	cr_expect_eq(last_stop.run, 3);
	sched_free(s);
}
