/*
 * The overload plan applied to the queue: what is learned, deferred and refused.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
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

#define UPDATE_MS 250 /* as in sched.c */
#define START_MS  100000
#define LEARN	  19 /* updates, after which the rate is known */
#define RUNS	  11
#define PERCENT	  5 /* progress of each run in an update */
/*
 * Tasks take 1 core x 1 s.  The runs do RUNS * PERCENT / 100 of one in an update,
 * 6.6 in the 3 s that a job of the fixture has; after LEARN updates they are near
 * their end, but count as running.
 */

static Sched__Step
task_def(bool filler)
{
	return step_def("", 1000, filler, 0);
}

/* Starts a task without orders. */
static run_t *
start_task(sched_t *s, worker_t *w, step_t *st)
{
	char name[64];
	run_t *r;

	job_task_name(&st->tasks[0], name, sizeof(name));
	r = run_new(s, name, w, 1);
	run_reserve_resources(r, &st->tasks[0]);
	run_set_state(s, r, RUN_RUNNING);
	st->tasks[0].run = r;
	st->tasks[0].state = TASK_RUNNING;
	st->nwaiting--;
	return r;
}

/* An owner with RUNS runs of filler tasks, or of short ones. */
static sched_t *
owner_with_runs(bool filler)
{
	sched_t *s = new_owner();
	Sched__Step d = task_def(filler);
	worker_t *w = add_worker(s, "w");

	s->now_ms = s->wall_ms = START_MS;
	/* Starts need no renewals. */
	s->cell.store_outage = s->cell.outage_may_start = true;
	for (int i = 0; i < RUNS; i++) {
		g_autofree char *id = g_strdup_printf("%016x", 0xa000 + i);

		start_task(s, w, first_step(add_job(s, id, &d, START_MS)));
	}
	overload_update(s);
	return s;
}

/* Queues n jobs that have just come. */
static void
queue_jobs(sched_t *s, int n, const Sched__Step *d, int32_t priority)
{
	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("%012x%04d", priority, i);
		job_t *j = add_job(s, id, d, s->wall_ms);

		j->priority = priority;
		first_step(j)->ready = true;
		queue_add_step(s, first_step(j));
	}
}

/* Lets time pass: the runs make progress, and the queue is updated. */
static void
pass_updates(sched_t *s, int n, int32_t percent)
{
	for (int i = 0; i < n; i++) {
		GHashTableIter it;
		void *v;

		s->now_ms += UPDATE_MS;
		s->wall_ms += UPDATE_MS;
		g_hash_table_iter_init(&it, s->runs);
		while (g_hash_table_iter_next(&it, NULL, &v))
			((run_t *)v)->percent += percent;
		overload_update(s);
		queue_resort(s);
	}
}

/* Makes the jobs in the queue come now, but not those of priority 2 if old. */
static void
renew_jobs(sched_t *s, bool old)
{
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		occurrence_t *o = ((step_t *)g_sequence_get(i))->occ;

		if (old && o->job->priority == 2)
			continue;
		o->due_wall_ms = s->wall_ms;
		o->deferred = false;
	}
	overload_update(s);
	queue_resort(s);
}

static int
count_deferred(const sched_t *s)
{
	int n = 0;

	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		n += ((step_t *)g_sequence_get(i))->occ->deferred;
	return n;
}

/* The identifiers of the jobs in the queue, in its order. */
static char *
queue_order(const sched_t *s)
{
	GString *ids = g_string_new("");

	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		g_string_append_printf(
		    ids, "%s ", ((step_t *)g_sequence_get(i))->occ->job->id);
	return g_string_free(ids, FALSE);
}

/* Guards against deferring without a shortage, or by the rate of other work. */
Test(overload_queue, only_what_does_not_fit_is_deferred)
{
	static const struct {
		const char *what;
		bool filler, runs_filler;
		int jobs, updates;
		int min_deferred, max_deferred;
	} cases[] = {
		{ "all fit", true, true, 5, LEARN, 0, 0 },
		{ "some do not", true, true, 40, LEARN, 32, 35 },
		{ "short work", false, false, 40, LEARN, 32, 35 },
		{ "the rate is not known yet", true, true, 40, 4, 0, 0 },
		{ "other work waits than runs", false, true, 40, LEARN, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_with_runs(cases[i].runs_filler);
		Sched__Step d = task_def(cases[i].filler);
		int n;

		queue_jobs(s, cases[i].jobs, &d, 1);
		pass_updates(s, cases[i].updates, PERCENT);
		renew_jobs(s, false);
		n = count_deferred(s);
		cr_expect(
		    n >= cases[i].min_deferred && n <= cases[i].max_deferred,
		    "%s: %d deferred", cases[i].what, n);
		cr_expect_eq(sched_stats(s).deferred_jobs, n);
		sched_free(s);
	}
}

/* Guards against a change of the order of a queue that can all be on time. */
Test(overload_queue, a_queue_that_fits_keeps_its_order)
{
	sched_t *s = owner_with_runs(true);
	g_autofree char *with = NULL, *without = NULL;

	for (int i = 0; i < 5; i++) {
		Sched__Step d = task_def(true);

		d.estimate_ms = 1000 - 100 * i;
		queue_jobs(s, 1, &d, 5 - i);
	}
	pass_updates(s, LEARN, PERCENT);
	renew_jobs(s, false);
	with = queue_order(s);
	overload_free(s->overload);
	s->overload = overload_new();
	queue_resort(s);
	without = queue_order(s);
	cr_expect_str_eq(with, without);
	sched_free(s);
}

/* Deferred jobs go after those on time, whatever they are, and before late ones. */
Test(overload_queue, deferred_jobs_go_between_those_on_time_and_late_ones)
{
	sched_t *s = owner_with_runs(true);
	Sched__Step d = task_def(true);
	int last = 0;

	queue_jobs(s, 30, &d, 1);
	pass_updates(s, LEARN, PERCENT);
	renew_jobs(s, false);
	queue_jobs(s, 5, &d, 0);
	first_step(g_hash_table_lookup(s->jobs, "0000000000010000"))
	    ->occ->due_wall_ms = s->wall_ms - 3500;
	overload_update(s);
	queue_resort(s);
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);
		int group = st->misses_target ? 2 : st->occ->deferred;

		cr_expect_geq(group, last);
		if (st->occ->job->priority == 0)
			cr_expect_not(st->occ->deferred);
		last = group;
	}
	cr_expect_eq(last, 2);
	sched_free(s);
}

/* Guards against marks that outlast the shortage. */
Test(overload_queue, marks_end_with_the_shortage)
{
	sched_t *s = owner_with_runs(true);
	Sched__Step d = task_def(true);

	queue_jobs(s, 40, &d, 1);
	pass_updates(s, LEARN, PERCENT);
	renew_jobs(s, false);
	cr_expect_gt(count_deferred(s), 0);
	while (g_sequence_get_length(s->ready_steps) > 1)
		queue_remove_step(
		    g_sequence_get(g_sequence_get_begin_iter(s->ready_steps)));
	g_hash_table_remove_all(s->runs);
	for (int i = 0; i < 8; i++) {
		s->now_ms += UPDATE_MS;
		/* One waiting task: another worker takes it each time. */
		((step_t *)g_sequence_get(
		     g_sequence_get_begin_iter(s->ready_steps)))
		    ->nwaiting = i % 2;
		overload_update(s);
	}
	cr_expect_eq(sched_stats(s).deferred_jobs, 0);
	sched_free(s);
}

/* Guards against work that a quota holds taking the place of other work. */
Test(overload_queue, work_held_by_a_quota_is_not_planned)
{
	sched_t *s = owner_with_runs(true);
	Sched__Step d = task_def(true);
	customer_t *c = customer_get(s, "c");

	c->quota.limit.cpu_milli = 1000;
	c->quota.used.cpu_milli = 1000;
	queue_jobs(s, 5, &d, 1);
	queue_jobs(s, 40, &d, 2);
	for (int i = 0; i < 40; i++) {
		g_autofree char *id = g_strdup_printf("%012x%04d", 2, i);

		((job_t *)g_hash_table_lookup(s->jobs, id))->customer = c;
	}
	pass_updates(s, LEARN, PERCENT);
	renew_jobs(s, false);
	cr_expect_eq(count_deferred(s), 0);
	sched_free(s);
}

/* Guards against a rate that is too low, as learned while no task may start. */
Test(overload_queue, nothing_is_learned_while_no_task_may_start)
{
	sched_t *s = owner_with_runs(true);
	Sched__Step d = task_def(true);

	queue_jobs(s, 40, &d, 1);
	s->cell.paused = true;
	pass_updates(s, LEARN, 0);
	s->cell.paused = false;
	pass_updates(s, LEARN, PERCENT);
	renew_jobs(s, false);
	cr_expect_leq(count_deferred(s), 35, "%d", count_deferred(s));
	sched_free(s);
}

/* Guards against a rate without the work of runs that end between two reports. */
Test(overload_queue, the_end_of_a_run_counts_as_progress)
{
	sched_t *s = owner_with_runs(true);
	Sched__Step d = task_def(true);

	queue_jobs(s, 40, &d, 1);
	for (int i = 0; i < RUNS - 1; i++) {
		g_autofree char *id = g_strdup_printf("%016x", 0xa000 + i);
		job_t *j = g_hash_table_lookup(s->jobs, id);
		task_t *t = &first_step(j)->tasks[0];
		run_t *r = t->run;

		job_mark_task_done(t);
		run_remove(s, r);
		pass_updates(s, 1, 0);
	}
	renew_jobs(s, false);
	/* 4 tasks a second end: 12 of 40 in 3 s, with the one that runs. */
	cr_expect_geq(count_deferred(s), 28, "%d", count_deferred(s));
	cr_expect_leq(count_deferred(s), 30, "%d", count_deferred(s));
	sched_free(s);
}

/* Guards against a refusal of jobs that may be of worth. */
Test(overload_queue, a_queue_is_refused_only_if_none_of_its_jobs_fits)
{
	static const struct {
		const char *what;
		int first, second; /* jobs of the two queues */
		int updates;	   /* with renewed jobs */
		int32_t run_time_pct;
		bool old;     /* the second came long ago; all have 20 s */
		bool refused; /* the second */
	} cases[] = {
		{ "goes after more than can be done", 40, 20, 16, 100, false,
		    true },
		{ "not for long", 40, 20, 4, 100, false, false },
		{ "some of its jobs fit", 2, 20, 16, 100, false, false },
		{ "few jobs", 40, 4, 16, 100, false, false },
		{ "declares too much", 40, 20, 16, 50, false, false },
		{ "none has come lately", 60, 20, 16, 100, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_with_runs(true);
		g_autoptr(GPtrArray) refusals = g_ptr_array_new();
		Sched__Step d = task_def(true);
		GHashTableIter it;
		bool refused = false;
		void *v;

		queue_jobs(s, cases[i].first, &d, 1);
		queue_jobs(s, cases[i].second, &d, 2);
		g_hash_table_iter_init(&it, s->jobs);
		while (g_hash_table_iter_next(&it, NULL, &v)) {
			job_t *j = v;

			if (j->priority == 2)
				j->queue = queue_get(s, "second");
			if (cases[i].old)
				j->allowed_ms = 20000;
		}
		queue_get(s, "second")->run_time_pct = cases[i].run_time_pct;
		pass_updates(s, LEARN, PERCENT);
		for (int k = 0; k < cases[i].updates; k++) {
			pass_updates(s, 1, PERCENT);
			renew_jobs(s, cases[i].old);
		}
		overload_add_refusals(s, refusals);
		for (guint k = 0; k < refusals->len; k++) {
			Sched__Refusal *r = g_ptr_array_index(refusals, k);

			refused |= strcmp(r->queue, "second") == 0;
			cr_expect_gt(r->delay_ms, 0);
			cr_expect_geq(r->retry_after_ms, 1000);
			g_free(r);
		}
		cr_expect_eq(refused, cases[i].refused, "%s", cases[i].what);
		sched_free(s);
	}
}

/* A job is hopeless past three times the time allowed for it, and not before. */
Test(overload_queue, a_hopeless_submission)
{
	static const struct {
		const char *what, *queue;
		int32_t delay_ms, repeats;
		int64_t target_ms;
		double stretch;
		bool hopeless;
	} cases[] = {
		{ "in time", "q", 2000, 0, 1000, 1, false },
		{ "at its late limit", "q", 7000, 0, 1000, 1, false },
		{ "past it", "q", 7001, 0, 1000, 1, true },
		{ "all queues", "", 7001, 0, 1000, 1, true },
		{ "another queue", "r", 7001, 0, 1000, 1, false },
		{ "due later", "q", 7001, 3, 1000, 1, false },
		{ "a refusal for other reasons", "q", 0, 0, 1000, 0, false },
		{ "no delay matters without a target", "q", 1, 0, 0, 0, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int32_t after[] = { 0 };
		Sched__Step a = task_def(true), b = task_def(true),
			    c = task_def(true);
		Sched__Step *steps[] = { &a, &b, &c };
		Sched__Job job = SCHED__JOB__INIT;
		Sched__Refusal r = SCHED__REFUSAL__INIT;

		/* The longest chain is of the first and the last step. */
		a.estimate_ms = 1500;
		c.estimate_ms = 500;
		c.n_after = 1;
		c.after = after;
		job.queue = (char *)"q";
		job.n_steps = 3;
		job.steps = steps;
		job.target_ms = cases[i].target_ms;
		job.stretch = cases[i].stretch;
		job.repeats = cases[i].repeats;
		r.queue = (char *)cases[i].queue;
		r.delay_ms = cases[i].delay_ms;
		cr_expect_eq(overload_is_hopeless(&r, &job), cases[i].hopeless,
		    "%s", cases[i].what);
	}
}

/* An update over thousands of jobs is made four times a second. */
Test(overload_queue, an_update_takes_little_time)
{
	sched_t *s = owner_with_runs(true);
	Sched__Step d = task_def(true);
	int64_t us;

	queue_jobs(s, 5000, &d, 1);
	pass_updates(s, LEARN, PERCENT);
	us = g_get_monotonic_time();
	overload_update(s);
	us = g_get_monotonic_time() - us;
	printf("5000 jobs: %d us\n", (int)us);
	cr_expect_lt(us, UPDATE_MS * 1000, "%d us", (int)us);
	sched_free(s);
}
