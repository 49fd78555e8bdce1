/*
 * Quotas of customers: which starts they hold, and what counts against them.  The
 * comment on each test names the failure that it guards against.
 */
#include <stdbool.h>
#include <stdint.h>

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
#include "quota_fixture.h"
#include "sched_fixture.h"

#define JOB_A "0000000000000001"
#define JOB_B "0000000000000002"
#define JOB_C "0000000000000003"
#define JOB_D "0000000000000004"

/* Limits at the edge, limits of 0, and sums larger than an integer. */
Test(quota, fits_and_allows)
{
	static const ts_res_t big = { INT64_MAX, INT64_MAX, INT32_MAX };
	static const struct {
		const char *what;
		ts_quota_t q; /* limit, used, unseen */
		ts_res_t demand;
		bool fits, allows;
	} cases[] = {
		{ "no limit", { .used = { 9, 9, 9 } }, { 9, 9, 9 }, true,
		    true },
		{ "up to the limit", { { 4, 4, 4 }, { 3, 3, 3 }, { 0 } },
		    { 1, 1, 1 }, true, true },
		{ "one more", { { 4, 4, 4 }, { 3, 3, 3 }, { 0 } }, { 1, 2, 1 },
		    false, false },
		{ "unseen counts", { { 4, 0, 0 }, { 1, 0, 0 }, { 2, 0, 0 } },
		    { 2, 0, 0 }, false, false },
		{ "larger than the limit", { { 4, 0, 0 }, { 0 }, { 0 } },
		    { 9, 0, 0 }, false, true },
		{ "below half", { { 4, 0, 0 }, { 1, 0, 0 }, { 0 } },
		    { 9, 0, 0 }, false, true },
		{ "half", { { 4, 0, 0 }, { 2, 0, 0 }, { 0 } }, { 9, 0, 0 },
		    false, false },
		{ "below half of an odd limit",
		    { { 5, 0, 0 }, { 2, 0, 0 }, { 0 } }, { 9, 0, 0 }, false,
		    true },
		{ "below half with unseen",
		    { { 4, 0, 0 }, { 1, 0, 0 }, { 1, 0, 0 } }, { 9, 0, 0 },
		    false, false },
		{ "below half of one resource only",
		    { { 4, 4, 0 }, { 1, 2, 0 }, { 0 } }, { 9, 0, 0 }, false,
		    false },
		{ "over a limit that the demand does not touch",
		    { { 4, 0, 2 }, { 0, 0, 3 }, { 0 } }, { 1, 0, 0 }, false,
		    false },
		{ "a sum too large", { { 4, 0, 0 }, { 1, 0, 0 }, big }, big,
		    false, false },
		{ "used and demand too large",
		    { { INT64_MAX - 1, 1, 1 }, big, { 0 } }, big, false,
		    false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cr_expect_eq(ts_quota_fits(&cases[i].q, &cases[i].demand),
		    cases[i].fits, "fits: %s", cases[i].what);
		cr_expect_eq(ts_quota_allows(&cases[i].q, &cases[i].demand),
		    cases[i].allows, "allows: %s", cases[i].what);
	}
}

/* A product of a gang's tasks that wraps would let it through. */
Test(quota, a_multiple_that_is_too_large_is_the_largest)
{
	ts_res_t one = { 1000000000, (int64_t)1000000000 << 20, 1000000000 };
	ts_res_t sum = { 5, 5, 5 };

	ts_res_add_times(&sum, &one, 200000);
	cr_expect_eq(sum.cpu_milli, 5 + 200000 * (int64_t)1000000000);
	cr_expect_eq(sum.mem_bytes, INT64_MAX);
	cr_expect_eq(sum.accel, INT32_MAX);
}

/*
 * A submitted gang that can never run must be refused, and nothing else: an
 * accepted job is never dropped.
 */
Test(quota, gangs_larger_than_the_quota_are_refused)
{
	static const struct {
		const char *what;
		bool gang;
		int32_t count;
		int64_t mem_mb, quota_cpu_milli, quota_mem_mb;
		int32_t quota_gpu;
		bool ok;
	} cases[] = {
		{ "no quota", true, 100, 1000, 0, 0, 0, true },
		{ "just fits", true, 4, 1000, 4000, 4000, 4, true },
		{ "too many processors", true, 4, 1000, 3999, 0, 0, false },
		{ "too much memory", true, 4, 1000, 0, 3999, 0, false },
		{ "too many accelerators", true, 4, 1000, 0, 0, 3, false },
		{ "memory beyond an integer", true, 10000, 1000000000, 0,
		    1000000000, 0, false },
		{ "not a gang", false, 100, 1000, 4000, 4000, 4, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Job d = SCHED__JOB__INIT;
		Sched__Step st = step_def("", 1000, false, 0), *list = &st;
		const char *why;

		st.gang = cases[i].gang;
		st.count = cases[i].count;
		st.mem_mb = cases[i].mem_mb;
		d.steps = &list;
		d.n_steps = 1;
		d.quota_cpu_milli = cases[i].quota_cpu_milli;
		d.quota_mem_mb = cases[i].quota_mem_mb;
		d.quota_gpu = cases[i].quota_gpu;
		st.gpu = 1;
		cr_expect_eq(sched_gangs_fit_quota(&d, &why), cases[i].ok, "%s",
		    cases[i].what);
		cr_expect_eq(why[0] == '\0', cases[i].ok, "%s", cases[i].what);
	}
}

/* Starts that go over the limit in one of the resources; unused quota. */
Test(quota, starts_are_held_at_the_limit)
{
	static const struct {
		const char *what;
		sched_customer_t c;
		int64_t cpu_milli;
		int32_t gpu;
		int running;
	} cases[] = {
		{ "processors", { .quota_cpu_milli = 4000 }, 1000, 0, 4 },
		{ "memory", { .quota_mem_mb = 3500 }, 1000, 0, 3 },
		{ "accelerators", { .quota_gpu = 2 }, 1000, 1, 2 },
		{ "no accelerator asked for", { .quota_gpu = 2 }, 1000, 0, 8 },
		{ "no quota", { 0 }, 1000, 0, 8 },
		{ "larger than the limit", { .quota_cpu_milli = 4000 }, 6000, 0,
		    1 },
		{ "larger than the rest", { .quota_cpu_milli = 4000 }, 3000, 0,
		    1 },
		{ "below half", { .quota_cpu_milli = 4000 }, 1900, 0, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		Sched__Step d = step_def("", cases[i].cpu_milli, false, 0);
		step_t *st;

		add_worker_now(s, "w")->gpu = 8;
		set_customer(s, &cases[i].c);
		d.count = 8;
		d.gpu = cases[i].gpu;
		st = queue_step(s, JOB_A, "c", &d);
		start_waiting_tasks(s);
		cr_expect_eq(8 - st->nwaiting, cases[i].running,
		    "%s: %d started", cases[i].what, 8 - st->nwaiting);
		sched_free(s);
	}
}

/*
 * A gang that starts in part, or over the limit; one that never fits, after the
 * quota was lowered, and blocks the customer's other work.
 */
Test(quota, a_gang_starts_whole_within_the_limit)
{
	static const struct {
		const char *what;
		int64_t quota_cpu_milli;
		int running_before;
		bool starts;
	} cases[] = {
		{ "fits", 4000, 0, true },
		{ "fits beside another", 5000, 1, true },
		{ "fits but for another", 4000, 1, false },
		{ "larger than the limit", 3999, 0, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli =
					   cases[i].quota_cpu_milli };
		Sched__Step one = step_def("", 1000, false, 0), gang = one;
		step_t *st, *other;

		add_worker_now(s, "w");
		set_customer(s, &c);
		one.count = cases[i].running_before;
		if (one.count > 0)
			queue_step(s, JOB_A, "c", &one);
		start_waiting_tasks(s);
		gang.count = 4;
		gang.gang = true;
		st = queue_step(s, JOB_B, "c", &gang);
		one.count = 1;
		other = queue_step(s, JOB_C, "c", &one);
		other->occ->job->priority = 1; /* behind the gang */
		s->now_ms += 10000;
		for (int k = 0; k < 3; k++)
			quota_pass(s);
		cr_expect_eq(
		    st->nwaiting, cases[i].starts ? 0 : 4, "%s", cases[i].what);
		if (!cases[i].starts)
			cr_expect_eq(other->nwaiting, 0, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * The limit is lowered below what runs: runs that are stopped, also by a move
 * after which they could not start again; starts before enough runs have ended.
 */
Test(quota, a_lowered_limit_stops_nothing)
{
	sched_t *s = quota_owner();
	sched_customer_t c = { .quota_cpu_milli = 6000 };
	Sched__Step d = step_def("", 1000, false, 0);
	step_t *st;

	add_worker_now(s, "w");
	set_customer(s, &c);
	d.count = 10;
	st = queue_step(s, JOB_A, "c", &d);
	quota_pass(s);
	cr_expect_eq(st->nwaiting, 4);
	cr_expect(customer_allows_move(st->tasks[0].run));
	c.quota_cpu_milli = 3000;
	set_customer(s, &c);
	cr_expect_not(customer_allows_move(st->tasks[0].run));
	for (int k = 0; k < 3; k++) {
		quota_pass(s);
		cr_expect_eq(st->nwaiting, 4, "%d ended", k);
		end_run(s, &st->tasks[k]);
	}
	quota_pass(s);
	cr_expect_eq(st->nwaiting, 4, "the limit is held");
	cr_expect_eq(sent.stops, 0);
	end_run(s, &st->tasks[3]);
	quota_pass(s);
	cr_expect_eq(st->nwaiting, 3, "one ended");
	c.quota_cpu_milli = 0;
	set_customer(s, &c);
	quota_pass(s);
	cr_expect_eq(st->nwaiting, 0, "no limit");
	sched_free(s);
}

/* A second run of a task, over the limit or not counted. */
Test(quota, second_runs_ask_and_count)
{
	static const struct {
		int64_t quota_cpu_milli;
		int runs;
	} cases[] = { { 1000, 1 }, { 1999, 1 }, { 2000, 2 }, { 2001, 2 },
		{ 0, 2 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli =
					   cases[i].quota_cpu_milli };
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w = add_worker_now(s, "a");
		task_t *t;

		add_worker_now(s, "b");
		set_customer(s, &c);
		d.duplicates = true;
		t = &queue_step(s, JOB_A, "c", &d)->tasks[0];
		quota_pass(s);
		cr_assert_not_null(t->run);
		w = t->run->worker;
		run_order_done(s, t->run, SCHED_ORDER_OK, 0);
		s->now_ms += 20000;
		let_start(s);
		straggler_report(s, w);
		cr_expect_eq(sent.starts, cases[i].runs, "limit %d: %d",
		    (int)cases[i].quota_cpu_milli, sent.starts);
		cr_expect_eq(t->step->occ->job->customer->quota.used.cpu_milli,
		    cases[i].runs * 1000);
		sched_free(s);
	}
}

/* A way to start a run that does not ask by itself. */
Test(quota, run_start_asks)
{
	sched_t *s = quota_owner();
	sched_customer_t c = { .quota_cpu_milli = 1000 };
	Sched__Step d = step_def("", 1000, false, 0);
	worker_t *w = add_worker_now(s, "w");
	step_t *st;

	set_customer(s, &c);
	d.count = 2;
	st = queue_step(s, JOB_A, "c", &d);
	cr_expect(run_start(s, &st->tasks[0], w, 1));
	cr_expect_not(run_start(s, &st->tasks[1], w, 1));
	cr_expect_eq(sent.starts, 1);
	cr_expect_eq(st->nwaiting, 1);
	cr_expect_eq(g_hash_table_size(s->runs), 1);
	sched_free(s);
}

/*
 * Late work starts slowed, and a task that may crash its worker in quarantine:
 * neither goes over the limit, reserves a worker or has a run stored meanwhile.
 */
Test(quota, slowed_starts_and_quarantine_ask)
{
	static const struct {
		const char *what;
		bool suspect;
		int64_t quota_cpu_milli;
		int starts;
	} cases[] = {
		{ "slowed, held", false, 1000, 0 },
		{ "slowed", false, 2000, 1 },
		{ "in quarantine, held", true, 1000, 0 },
		{ "in quarantine", true, 2000, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli =
					   cases[i].quota_cpu_milli };
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w = add_worker_now(s, "w");
		task_t *t;
		bool started;

		set_customer(s, &c);
		queue_step(s, JOB_A, "c", &d);
		quota_pass(s);
		s->now_ms += 10000;
		d.filler = true;
		t = &queue_step(s, JOB_B, "c", &d)->tasks[0];
		t->step->misses_target = true;
		s->filler_job_ms = 0; /* no such jobs come */
		w->answered_ms = s->now_ms;
		first_run(s, w)->first_seen_ms = 1;
		if (cases[i].suspect) {
			crash_add(t, 1, false);
			quarantine_start(s, t->step, t);
			t->step->occ->job->rows_stored = 1000;
			started = quarantine_start(s, t->step, t);
		} else
			started = starvation_start(s, t->step);
		cr_expect_eq(started, cases[i].starts, "%s", cases[i].what);
		cr_expect_eq(
		    sent.starts - 1, cases[i].starts, "%s", cases[i].what);
		if (cases[i].suspect && !started)
			cr_expect_eq(w->reserved_until_ms, 0, "%s: reserved",
			    cases[i].what);
		sched_free(s);
	}
}

/*
 * A run whose start was left in doubt or that is being stopped is still a run:
 * its room in the quota is given away only once it is proved absent.
 */
Test(quota, runs_count_until_proved_absent)
{
	static const struct {
		const char *what;
		sched_order_result_t start;
		bool stop;
	} cases[] = {
		{ "start in doubt", SCHED_ORDER_IN_DOUBT, false },
		{ "stopped", SCHED_ORDER_OK, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli = 1000 };
		Sched__Step d = step_def("", 1000, false, 0);
		sched_report_t none = { .clock_ms = 1, .started_ms = 1 };
		worker_t *w = add_worker_now(s, "w");
		step_t *st;
		run_t *r;

		set_customer(s, &c);
		queue_step(s, JOB_A, "c", &d);
		quota_pass(s);
		r = first_run(s, w);
		st = queue_step(s, JOB_B, "c", &d);
		run_order_done(s, r, cases[i].start, 0);
		if (cases[i].stop)
			run_stop(s, r, "test");
		run_end_job(s, r->job, SCHED__STATE__CANCELLED);
		s->now_ms += 1000;
		quota_pass(s);
		cr_expect_eq(st->nwaiting, 1, "%s", cases[i].what);
		/* A poll sent before the stop was acknowledged proves nothing. */
		run_order_done(s, r, SCHED_ORDER_OK, 0);
		report_apply(s, w, &none, s->now_ms - 10);
		quota_pass(s);
		cr_expect_eq(st->nwaiting, 1, "%s, old poll", cases[i].what);
		s->now_ms += 1000;
		report_apply(s, w, &none, s->now_ms - 10);
		quota_pass(s);
		cr_expect_eq(st->nwaiting, 0, "%s, absent", cases[i].what);
		sched_free(s);
	}
}

/*
 * A worker reports a run before the job's row is read: the run is being stopped,
 * and counts as soon as its customer is known.
 */
Test(quota, a_run_known_before_its_job_counts)
{
	sched_t *s = quota_owner();
	sched_customer_t c = { .quota_cpu_milli = 1000 };
	worker_t *w = add_worker_now(s, "w");
	sched_running_t run = {
		.task = JOB_A ".0.0.0", .run = 1, .checkpoint = ""
	};
	sched_report_t report = {
		.clock_ms = 1, .started_ms = 1, .running = &run, .nrunning = 1
	};
	Sched__Step d = step_def("", 1000, false, 0);
	customer_t *cu;
	step_t *st;

	set_customer(s, &c);
	cu = customer_get(s, "c");
	report_apply(s, w, &report, s->now_ms);
	cr_expect_eq(cu->quota.used.cpu_milli, 0);
	cr_expect_eq(w->nunknown, 1);
	read_job(s, JOB_A, &d, &c, 1);
	cr_expect_eq(cu->quota.used.cpu_milli, 1000);
	cr_expect_eq(w->nunknown, 0);
	cr_expect_eq(w->used_cpu_milli, 1000);
	st = queue_step(s, JOB_B, "c", &d);
	quota_pass(s);
	cr_expect_eq(st->nwaiting, 1);
	run_remove(s, first_run(s, w));
	cr_expect_eq(cu->quota.used.cpu_milli, 0);
	cr_expect_eq(s->nunknown, 0);
	quota_pass(s);
	cr_expect_eq(st->nwaiting, 0);
	sched_free(s);
}

/*
 * A customer that is removed after a version that was not read has the settings
 * of its jobs' rows, not those of the last version that was read.
 */
Test(quota, removed_customer)
{
	static const struct {
		const char *what;
		int64_t row_quota, want;
	} cases[] = {
		{ "lower in the row", 1000, 1000 },
		{ "none in the row", 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli = 4000 };
		Sched__Step d = step_def("", 1000, false, 0);
		step_t *st;

		set_customer(s, &c);
		st = queue_step(s, JOB_A, "c", &d);
		st->occ->job->def->quota_cpu_milli = cases[i].row_quota;
		sched_set_customers(s, NULL, 0, s->now_ms);
		cr_expect_eq(customer_get(s, "c")->quota.limit.cpu_milli,
		    cases[i].want, "%s", cases[i].what);
		sched_free(s);
	}
}
