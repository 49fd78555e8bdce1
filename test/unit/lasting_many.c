/*
 * Many lasting tasks of different needs that are down at one moment, on a cell that is
 * full of short work.
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
#include "../../sched/down.h"
#include "sched_fixture.h"
#include "full_cell.h"

#define SETTLE_MS  4000 /* before tasks go down */
#define WATCHED_MS 30000
#define LEAVES_MS  4000 /* after a worker begins to drain */
#define LABEL	   "label"

static void
add_label(worker_t *w)
{
	g_ptr_array_add(w->labels, (void *)g_intern_string(LABEL));
}

/* A lasting job of one task, which runs on a worker, and the job's step. */
static step_t *
add_one(full_cell_t *c, Sched__Step d, worker_t *w)
{
	step_t *st;

	d.lasting = true;
	st = full_cell_add_lasting(c, &d);
	st->occ->job->service = w->service;
	full_cell_run(c, st, 0, w);
	return st;
}

#define WORKERS	   60
#define LOST	   20 /* of the workers */
#define PER_WORKER 6  /* lasting tasks */

/* What tasks that go down at one moment need besides room. */
typedef enum {
	NOTHING = 0,
	A_LABEL = 1,
	A_WORKER_EACH = 2,
	APPROVAL = 4,
	TWO_SERVICES = 8,
	ALL = 15
} needs_also_t;

/* Lasting jobs of one task each; no two need as much. */
static void
add_different(full_cell_t *c, needs_also_t also)
{
	for (int n = 0; n < WORKERS * PER_WORKER; n++) {
		worker_t *w = full_cell_worker(c, n / PER_WORKER);
		int kind = 1 << (n % 4);
		Sched__Step d = step_def("", 4000 + n * 5, false, 0);
		step_t *st;

		if ((also & kind & A_LABEL) != 0 && w->labels->len > 0)
			d.label = (char *)LABEL;
		d.per_worker = (also & kind & A_WORKER_EACH) != 0;
		st = add_one(c, d, w);
		st->occ->job->needs_approval = (also & kind & APPROVAL) != 0;
	}
}

/*
 * Guards against lasting tasks that stay down as the owner looks for workers for others
 * of theirs, of which there are many with different needs.
 */
Test(lasting_many, steps_that_differ_are_back_in_time)
{
	static const struct {
		const char *what;
		needs_also_t also;
		bool drain, weak;
		int64_t approval_ms;
	} cases[] = {
		{ "only room", NOTHING, false, false },
		{ "a label", A_LABEL, false, false },
		{ "a worker each", A_WORKER_EACH, false, false },
		{ "approval", APPROVAL, false, false },
		{ "approval, a weak owner", APPROVAL, false, true },
		{ "approval after 300 ms", APPROVAL, false, false, 300 },
		{ "two services", TWO_SERVICES, false, false },
		{ "all", ALL, false, false },
		{ "all, drained", ALL, true, false },
		{ "only room, a weak owner", NOTHING, false, true },
		{ "all, a weak owner", ALL, false, true },
		{ "all, drained, a weak owner", ALL, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		full_cell_t c;

		full_cell_init(&c, WORKERS);
		c.weak = cases[i].weak;
		c.approval_ms = cases[i].approval_ms;
		c.work[0] = (short_work_t){ "s", 3000, 1000, 20, false };
		for (int k = 0; k < WORKERS; k++) {
			worker_t *w = full_cell_worker(&c, k);

			if (k % 2 == 0)
				add_label(w);
			if ((cases[i].also & TWO_SERVICES) != 0 && k % 3 == 2)
				w->service = g_intern_string("t");
		}
		if ((cases[i].also & TWO_SERVICES) != 0)
			c.work[1] =
			    (short_work_t){ "t", 3000, 1000, 20, false };
		add_different(&c, cases[i].also);
		full_cell_pass(&c, SETTLE_MS);
		for (int k = 0; k < LOST; k++)
			if (cases[i].drain)
				full_cell_worker(&c, k)->draining = true;
			else
				full_cell_lose(&c, full_cell_worker(&c, k));
		if (cases[i].drain) {
			full_cell_pass(&c, LEAVES_MS);
			for (int k = 0; k < LOST; k++)
				full_cell_lose(&c, full_cell_worker(&c, k));
		}
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

#define LASTING_MILLI 24000

/*
 * Guards against lasting tasks that stay down, or on a worker that drains, as others
 * are before them for which there is no worker at all.
 */
Test(lasting_many, tasks_without_a_worker_are_in_nobodys_way)
{
	static const struct {
		const char *what;
		int without; /* tasks that no worker can take */
		bool drain, weak;
	} cases[] = {
		{ "one", 1, false, false },
		{ "16", 16, false, false },
		{ "17", 17, false, false },
		{ "120", 120, false, false },
		{ "16, a weak owner", 16, false, true },
		{ "17, a weak owner", 17, false, true },
		{ "120, a weak owner", 120, false, true },
		{ "16, drained", 16, true, false },
		{ "17, drained", 17, true, false },
		{ "120, drained", 120, true, false },
		{ "17, drained, a weak owner", 17, true, true },
		{ "120, drained, a weak owner", 120, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", 100, false, 0);
		full_cell_t c;

		full_cell_init(&c, 12);
		c.weak = cases[i].weak;
		c.work[0] = (short_work_t){ "s", 3000, 1000, 20, false };
		add_label(full_cell_worker(&c, 0));
		d.label = (char *)LABEL;
		for (int n = 0; n < cases[i].without; n++)
			add_one(&c, d, full_cell_worker(&c, 0));
		/* These are down for good, and rightly. */
		g_ptr_array_set_size(c.lasting, 0);
		for (int n = 1; n < 12; n++)
			add_one(&c, step_def("", LASTING_MILLI + n, false, 0),
			    full_cell_worker(&c, n));
		full_cell_pass(&c, SETTLE_MS);
		full_cell_lose(&c, full_cell_worker(&c, 0));
		full_cell_pass(&c, SETTLE_MS);
		for (int k = 1; k < 5; k++)
			if (cases[i].drain)
				full_cell_worker(&c, k)->draining = true;
			else
				full_cell_lose(&c, full_cell_worker(&c, k));
		full_cell_pass(&c, LEAVES_MS);
		for (int k = 1; k < 5 && cases[i].drain; k++) {
			cr_expect_eq(
			    g_hash_table_size(full_cell_worker(&c, k)->runs), 0,
			    "%s: %s has not been left", cases[i].what,
			    full_cell_worker(&c, k)->id);
			full_cell_lose(&c, full_cell_worker(&c, k));
		}
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

/*
 * Guards against a lasting task that stays down as one that uses what others leave, and
 * needs less, finds no worker: their needs can't be compared.
 */
Test(lasting_many, a_filler_without_a_worker_says_nothing_of_others)
{
	Sched__Step filler = step_def("", 60000, true, 0);
	full_cell_t c;

	full_cell_init(&c, 4);
	c.work[0] = (short_work_t){ "s", 3000, 1000, 20, false };
	/* Fillers may declare eight times a worker's processors. */
	for (int n = 0; n < 27; n++)
		add_one(&c, filler, full_cell_worker(&c, n % 3));
	filler.cpu_milli = LASTING_MILLI / 2;
	add_one(&c, filler, full_cell_worker(&c, 3));
	g_ptr_array_set_size(c.lasting, 0);
	add_one(&c, step_def("", 60000, false, 0), full_cell_worker(&c, 3));
	full_cell_pass(&c, SETTLE_MS);
	full_cell_lose(&c, full_cell_worker(&c, 3));
	full_cell_pass(&c, WATCHED_MS);
	full_cell_expect_back(&c, "beside a filler");
	full_cell_free(&c);
}

/*
 * Guards against lasting tasks that use what others leave, and stay down for as long as
 * other work uses all processors, though these do not count as taken by them.
 */
Test(lasting_many, fillers_that_last_are_back_in_time)
{
	static const struct {
		const char *what;
		int failing; /* of 12 tasks, one on each worker */
		int64_t cpu_milli, mem_mb;
		bool lost, full; /* else they fail */
	} cases[] = {
		{ "some fail, room", 4, 8000, 1000, false, false },
		{ "some fail, full", 4, 8000, 1000, false, true },
		{ "all fail, full", 12, 8000, 1000, false, true },
		{ "wide ones fail, full", 4, 30000, 1000, false, true },
		{ "some are lost, room", 4, 8000, 1000, true, false },
		{ "some are lost, full", 4, 8000, 1000, true, true },
		{ "some are lost, much memory", 4, 1000, 120000, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", cases[i].cpu_milli, true, 0);
		full_cell_t c;
		step_t *st;

		full_cell_init(&c, 12);
		if (cases[i].full)
			c.work[0] =
			    (short_work_t){ "s", 3000, 1000, 20, false };
		d.lasting = true;
		d.count = 12;
		d.mem_mb = cases[i].mem_mb;
		st = full_cell_add_lasting(&c, &d);
		for (int n = 0; n < 12; n++)
			full_cell_run(&c, st, n, full_cell_worker(&c, n));
		full_cell_pass(&c, SETTLE_MS);
		for (int n = 0; n < cases[i].failing; n++)
			if (cases[i].lost)
				full_cell_lose(&c, full_cell_worker(&c, n));
			else
				full_cell_fail(&c, &st->tasks[n]);
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

/*
 * Guards against a suspect task that stays on a worker that drains, as no worker stays
 * nominated for it, or that is down for long after its stop, as it waits for a trial.
 */
Test(lasting_many, suspects_leave_workers_that_drain)
{
	static const struct {
		const char *what;
		int32_t crashes;
		bool full, weak;
	} cases[] = {
		{ "room", 1, false, false },
		{ "full", 1, true, false },
		{ "full, after three crashes", 3, true, false },
		{ "full, a weak owner", 1, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", LASTING_MILLI, false, 0);
		full_cell_t c;

		full_cell_init(&c, 12);
		c.weak = cases[i].weak;
		if (cases[i].full)
			c.work[0] =
			    (short_work_t){ "s", 3000, 1000, 20, false };
		for (int n = 0; n < 12; n++) {
			step_t *st = add_one(&c, d, full_cell_worker(&c, n));

			for (int32_t k = 0; n < 4 && k < cases[i].crashes; k++)
				crash_add(&st->tasks[0], -k - 1, k == 0);
		}
		full_cell_pass(&c, SETTLE_MS);
		for (int n = 0; n < 4; n++)
			full_cell_worker(&c, n)->draining = true;
		full_cell_pass(&c, LEAVES_MS);
		for (int n = 0; n < 4; n++) {
			worker_t *w = full_cell_worker(&c, n);

			cr_expect_eq(g_hash_table_size(w->runs), 0,
			    "%s: %s has not been left", cases[i].what, w->id);
			full_cell_lose(&c, w);
		}
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

/*
 * Guards against a suspect task that keeps a worker reserved on which it never starts: a
 * filler that may start slowed, but not on a worker that has failed tasks.
 */
Test(lasting_many, a_suspect_filler_is_tried_on_a_suspect_worker)
{
	static const struct {
		const char *what;
		bool sibling; /* its job has a run */
	} cases[] = {
		{ "its job has no run", false },
		{ "its job has a run", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", LASTING_MILLI, true, 0);
		full_cell_t c;
		step_t *st;

		full_cell_init(&c, 3);
		d.lasting = true;
		d.label = (char *)LABEL;
		d.count = cases[i].sibling ? 2 : 1;
		st = full_cell_add_lasting(&c, &d);
		full_cell_run(&c, st, 0, full_cell_worker(&c, 0));
		if (cases[i].sibling)
			full_cell_run(&c, st, 1, full_cell_worker(&c, 2));
		add_label(full_cell_worker(&c, 0));
		add_label(full_cell_worker(&c, 1));
		full_cell_worker(&c, 1)->suspect = true;
		full_cell_worker(&c, 1)->failures_in_row = 3;
		full_cell_pass(&c, SETTLE_MS);
		crash_add(&st->tasks[0], -1, true);
		full_cell_lose(&c, full_cell_worker(&c, 0));
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

/*
 * Guards against lasting tasks that stay down after a crash as few workers suit them, on
 * which suspect tasks are tried one after the other, alone.
 */
Test(lasting_many, suspects_of_few_workers_are_back_in_time)
{
	static const struct {
		const char *what;
		int suspects, others; /* tasks that go down */
		int workers;	      /* with their label, that are left */
		bool full, weak;
	} cases[] = {
		{ "9 on one", 9, 0, 1, false, false },
		{ "9 on one, full", 9, 0, 1, true, false },
		{ "9 on one, a weak owner", 9, 0, 1, false, true },
		{ "18 on one", 18, 0, 1, false, false },
		{ "3 on three beside 9 others", 3, 9, 3, false, false },
		{ "9 on three beside 9 others", 9, 9, 3, false, false },
		{ "18 on three beside 9 others", 18, 9, 3, false, false },
		{ "18 on three beside 9 others, weak", 18, 9, 3, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int n = cases[i].suspects + cases[i].others;
		Sched__Step d = step_def("", 2000, false, 0);
		full_cell_t c;

		full_cell_init(&c, 18);
		c.weak = cases[i].weak;
		if (cases[i].full)
			c.work[0] =
			    (short_work_t){ "s", 3000, 1000, 20, false };
		for (int k = 0; k <= cases[i].workers; k++)
			add_label(full_cell_worker(&c, k));
		d.label = (char *)LABEL;
		for (int k = 0; k < n; k++) {
			step_t *st = add_one(&c, d, full_cell_worker(&c, 0));

			if (k < cases[i].suspects)
				crash_add(&st->tasks[0], -1, true);
		}
		full_cell_pass(&c, SETTLE_MS);
		full_cell_lose(&c, full_cell_worker(&c, 0));
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

/*
 * Guards against a task that stays down while approval is valid of workers that may take
 * no more tasks of its step, so that no others are asked for.
 */
Test(lasting_many, approval_of_workers_that_are_taken_is_not_enough)
{
	static const struct {
		const char *what;
		int tasks, lost; /* of 12 workers, one task on each */
	} cases[] = {
		{ "one is lost", 8, 1 },
		{ "two are lost", 8, 2 },
		{ "three are lost", 8, 3 },
		{ "one of ten is lost", 10, 1 },
		{ "two of ten are lost", 10, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", LASTING_MILLI, false, 0);
		full_cell_t c;
		step_t *st;

		full_cell_init(&c, 12);
		c.tickets_ms = WATCHED_MS;
		c.work[0] = (short_work_t){ "s", 3000, 1000, 20, false };
		d.lasting = true;
		d.count = (uint32_t)cases[i].tasks;
		d.per_worker = 1;
		st = full_cell_add_lasting(&c, &d);
		st->occ->job->needs_approval = true;
		for (int n = 0; n < cases[i].tasks; n++)
			full_cell_run(&c, st, n, full_cell_worker(&c, n));
		full_cell_pass(&c, SETTLE_MS);
		for (int n = 0; n < cases[i].lost; n++)
			full_cell_lose(&c, full_cell_worker(&c, n));
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}
