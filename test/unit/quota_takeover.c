/*
 * Quotas of customers across a change of owner, and with changing or missing
 * settings.  The comment on each test names the failure that it guards against.
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

#define JOB_A	    "0000000000000001"
#define JOB_B	    "0000000000000002"
#define JOB_C	    "0000000000000003"
#define OLD_VERSION 5  /* of a row that an earlier owner knew */
#define NEW_VERSION 20 /* of one written since */

/* Adds a worker that an earlier owner used and that has not answered. */
static worker_t *
add_silent_worker(sched_t *s, const char *id, int64_t cpu_milli)
{
	worker_t *w = add_worker_now(s, id);

	w->cpu_milli = cpu_milli;
	w->has_answered = false;
	return w;
}

/* What a customer may hold unseen, in milli. */
static int64_t
unseen_cpu(sched_t *s)
{
	return customer_get(s, "c")->quota.unseen.cpu_milli;
}

/*
 * A worker does not answer the new owner: runs there that are not counted, or
 * more than there can be, right after the takeover and before the first update.
 */
Test(quota_takeover, unseen_runs_count_from_the_takeover)
{
	static const struct {
		const char *what;
		int32_t count;
		bool filler, duplicates;
		int64_t version, worker_cpu_milli;
		bool footprint_bad;
		int64_t unseen_cpu_milli;
	} cases[] = {
		{ "few tasks", 3, false, false, OLD_VERSION, 8000, false,
		    3000 },
		{ "many tasks", 100, false, false, OLD_VERSION, 8000, false,
		    8000 },
		{ "slowed fillers", 100, true, false, OLD_VERSION, 8000, false,
		    64000 },
		{ "two runs of a task", 3, false, true, OLD_VERSION, 8000,
		    false, 6000 },
		{ "a job since the takeover", 100, false, false, NEW_VERSION,
		    8000, false, 0 },
		{ "a worker of unknown size", 100, false, false, OLD_VERSION, 0,
		    false, 100000 },
		{ "unknown workers", 100, false, false, OLD_VERSION, 8000, true,
		    100000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_successor();
		sched_customer_t c = { .quota_cpu_milli = 5000 };
		Sched__Step d = step_def("", 1000, cases[i].filler, 0);

		add_silent_worker(s, "a", cases[i].worker_cpu_milli);
		add_worker_now(s, "b");
		s->cell.footprint_bad = cases[i].footprint_bad;
		d.count = cases[i].count;
		d.duplicates = cases[i].duplicates;
		read_job(s, JOB_A, &d, &c, cases[i].version);
		sched_load_done(s, s->now_ms);
		cr_expect_eq(unseen_cpu(s), cases[i].unseen_cpu_milli, "%s: %d",
		    cases[i].what, (int)unseen_cpu(s));
		s->now_ms = s->cell.old_leases.ms;
		ownership_tick(s);
		customer_count_unseen(s);
		cr_expect_eq(unseen_cpu(s), 0, "%s, at last", cases[i].what);
		sched_free(s);
	}
}

/*
 * Workers answer one after the other: runs counted twice for long, as seen and
 * unseen, hold back new work; or not at all, and the quota is exceeded.
 */
Test(quota_takeover, usage_is_right_as_workers_answer)
{
	sched_t *s = quota_successor();
	sched_customer_t c = { .quota_cpu_milli = 8000 };
	Sched__Step d = step_def("", 1000, false, 0);
	sched_running_t run[3] = {
		{ .task = JOB_A ".0.0.0", .run = 1, .checkpoint = "" },
		{ .task = JOB_A ".0.0.1", .run = 1, .checkpoint = "" },
		{ .task = JOB_A ".0.0.2", .run = 1, .checkpoint = "" },
	};
	sched_report_t r = { .clock_ms = 1, .started_ms = 1, .running = run };
	worker_t *a = add_silent_worker(s, "a", 3000);
	worker_t *b = add_silent_worker(s, "b", 4000);
	customer_t *cu;
	step_t *st;

	add_worker_now(s, "free");
	d.count = 6;
	read_job(s, JOB_A, &d, &c, OLD_VERSION);
	sched_load_done(s, s->now_ms);
	cu = customer_get(s, "c");
	cr_expect_eq(cu->quota.unseen.cpu_milli, 6000);
	d.count = 8;
	read_job(s, JOB_B, &d, &c, NEW_VERSION);
	st = first_step(g_hash_table_lookup(s->jobs, JOB_B));
	st->occ->job->row_stored = true;
	start_waiting_tasks(s);
	cr_expect_eq(8 - st->nwaiting, 2, "%d started", 8 - st->nwaiting);
	/* a has two of the runs: four tasks may run on b. */
	r.nrunning = 2;
	report_apply(s, a, &r, s->now_ms);
	start_waiting_tasks(s);
	cr_expect_eq(cu->quota.used.cpu_milli, 4000);
	cr_expect_eq(cu->quota.unseen.cpu_milli, 4000);
	/* b has one: nothing else can be unseen. */
	r.running = &run[2];
	r.nrunning = 1;
	report_apply(s, b, &r, s->now_ms);
	ownership_tick(s);
	start_waiting_tasks(s);
	cr_expect_eq(cu->quota.unseen.cpu_milli, 0);
	cr_expect_eq(cu->quota.used.cpu_milli, 8000);
	sched_free(s);
}

/*
 * A job is cancelled and its end stored while runs of it may be unseen: they
 * hold its customer's quota until they are proved to be over.
 */
Test(quota_takeover, unseen_runs_of_a_removed_job_count)
{
	sched_t *s = quota_successor();
	sched_customer_t c = { .quota_cpu_milli = 5000 };
	Sched__Step d = step_def("", 1000, false, 0);

	add_silent_worker(s, "a", 8000);
	d.count = 4;
	read_job(s, JOB_A, &d, &c, OLD_VERSION);
	sched_load_done(s, s->now_ms);
	g_hash_table_remove(s->jobs, JOB_A);
	customer_count_unseen(s);
	cr_expect_eq(unseen_cpu(s), 4000);
	s->now_ms = s->cell.old_leases.ms;
	ownership_tick(s);
	customer_count_unseen(s);
	cr_expect_eq(unseen_cpu(s), 0);
	sched_free(s);
}

/*
 * A job is cancelled, its end stored and its owner lost while a worker still has
 * to stop its runs; a job that completed has none.
 */
Test(quota_takeover, runs_of_a_stopped_job_count)
{
	static const struct {
		const char *what;
		Sched__State state;
		int64_t ended_ago_ms;
		int64_t unseen_cpu_milli;
	} cases[] = {
		{ "cancelled", SCHED__STATE__CANCELLED, 1000, 4000 },
		{ "failed", SCHED__STATE__FAILED, 12000, 4000 },
		{ "long ago", SCHED__STATE__CANCELLED, 60000, 0 },
		{ "completed", SCHED__STATE__COMPLETED, 1000, 0 },
		{ "a time out of range", SCHED__STATE__CANCELLED, -1, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_successor();
		sched_customer_t c = { .quota_cpu_milli = 5000 };
		Sched__Step d = step_def("", 1000, false, 0);

		add_silent_worker(s, "a", 8000);
		read_end(s, JOB_A, cases[i].state,
		    cases[i].ended_ago_ms < 0 ?
			INT64_MIN :
			s->wall_ms - cases[i].ended_ago_ms);
		d.count = 4;
		cr_expect_null(read_job(s, JOB_A, &d, &c, OLD_VERSION));
		sched_load_done(s, s->now_ms);
		cr_expect_eq(unseen_cpu(s), cases[i].unseen_cpu_milli, "%s",
		    cases[i].what);
		s->now_ms = s->cell.old_leases.ms;
		ownership_tick(s);
		customer_count_unseen(s);
		cr_expect_eq(unseen_cpu(s), 0, "%s, at last", cases[i].what);
		sched_free(s);
	}
}

/* The row of an old job is read only after the takeover. */
Test(quota_takeover, an_old_job_read_late_counts)
{
	sched_t *s = quota_successor();
	sched_customer_t c = { .quota_cpu_milli = 5000 };
	Sched__Step d = step_def("", 1000, false, 0);

	add_silent_worker(s, "a", 8000);
	sched_load_done(s, s->now_ms);
	d.count = 4;
	read_job(s, JOB_A, &d, &c, OLD_VERSION);
	cr_expect_eq(unseen_cpu(s), 4000);
	sched_free(s);
}

/* Usage of a lost ownership that is kept would hold the customer for good. */
Test(quota_takeover, usage_begins_anew_with_each_ownership)
{
	sched_t *s = quota_successor();
	sched_customer_t c = { .quota_cpu_milli = 5000 };
	Sched__Step d = step_def("", 1000, false, 0);
	customer_t *cu;

	add_silent_worker(s, "a", 8000);
	add_worker_now(s, "b");
	read_job(s, JOB_A, &d, &c, OLD_VERSION);
	sched_load_done(s, s->now_ms);
	queue_step(s, JOB_B, "c", &d);
	start_waiting_tasks(s);
	cu = customer_get(s, "c");
	cr_expect_eq(cu->quota.used.cpu_milli, 1000);
	cr_expect_eq(cu->quota.unseen.cpu_milli, 1000);
	ownership_lost(s, "test");
	ownership_tick(s);
	cr_expect_eq(cu->quota.used.cpu_milli, 0);
	cr_expect_eq(cu->quota.unseen.cpu_milli, 0);
	cr_expect_eq(cu->may_ended.res.cpu_milli, 0);
	sched_free(s);
}

/*
 * The cell is lost while a worker has a run of an unknown job, and claimed again
 * later: the worker must not stay out of use for a run that is forgotten.
 */
Test(quota_takeover, unknown_runs_are_forgotten_with_the_others)
{
	sched_t *s = quota_owner();
	worker_t *w = add_worker_now(s, "w");
	sched_running_t run = {
		.task = JOB_A ".0.0.0", .run = 1, .checkpoint = ""
	};
	sched_report_t report = {
		.clock_ms = 1, .started_ms = 1, .running = &run, .nrunning = 1
	};

	report_apply(s, w, &report, s->now_ms);
	cr_expect_eq(w->nunknown, 1);
	ownership_lost(s, "test");
	ownership_tick(s);
	cr_expect_eq(w->nunknown, 0);
	cr_expect_eq(s->nunknown, 0);
	sched_free(s);
}

/*
 * A customer that is not in the configuration: its jobs must run on, within the
 * limits of its newest job in whatever order rows are read, and those of the
 * configuration once it is there.
 */
Test(quota_takeover, a_customer_not_configured_has_its_rows_limits)
{
	sched_t *s = quota_owner();
	sched_customer_t old = { .quota_cpu_milli = 1000 },
			 newer = { .quota_cpu_milli = 3000 },
			 conf = { .quota_cpu_milli = 5000 };
	Sched__Step d = step_def("", 1000, false, 0);
	step_t *st;
	job_t *j;

	add_worker_now(s, "w");
	s->wall_ms += 1000;
	d.count = 10;
	j = read_job(s, JOB_A, &d, &newer, 1);
	j->row_stored = true;
	s->wall_ms -= 1000;
	read_job(s, JOB_B, &d, &old, 1);
	st = first_step(j);
	quota_pass(s);
	cr_expect_eq(j->nruns, 3, "by its newest row: %d", j->nruns);
	set_customer(s, &conf);
	quota_pass(s);
	cr_expect_eq(j->nruns, 5, "by the configuration: %d", j->nruns);
	sched_set_customers(s, NULL, 0, s->now_ms);
	end_run(s, &st->tasks[0]);
	end_run(s, &st->tasks[1]);
	quota_pass(s);
	cr_expect_eq(j->nruns, 3, "removed: by its newest row: %d", j->nruns);
	end_run(s, &st->tasks[2]);
	quota_pass(s);
	cr_expect_eq(j->nruns, 3, "its work goes on: %d", j->nruns);
	sched_free(s);
}

/* Limits out of range in a row would overflow, or hold the job for ever. */
Test(quota_takeover, limits_of_rows_are_bounded)
{
	static const struct {
		sched_customer_t c;
		int64_t cpu_milli, mem_mb;
		int32_t gpu;
	} cases[] = {
		{ { .quota_cpu_milli = -1,
		      .quota_mem_mb = -1,
		      .quota_gpu = -1 },
		    0, 0, 0 },
		{ { .quota_cpu_milli = INT64_MAX,
		      .quota_mem_mb = INT64_MAX,
		      .quota_gpu = INT32_MAX },
		    SCHED_AMOUNT_MAX, SCHED_AMOUNT_MAX, SCHED_AMOUNT_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		Sched__Step d = step_def("", 1000, false, 0);
		const ts_res_t *l;

		read_job(s, JOB_A, &d, &cases[i].c, 1);
		l = &customer_get(s, "c")->quota.limit;
		cr_expect_eq(l->cpu_milli, cases[i].cpu_milli);
		cr_expect_eq(l->mem_bytes, cases[i].mem_mb << 20);
		cr_expect_eq(l->accel, cases[i].gpu);
		sched_free(s);
	}
}
