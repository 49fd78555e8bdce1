/*
 * Where and when tasks are tried that may crash their workers.
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

#define BEGIN_MS 100000
#define STEP_MS	 50
#define ROUND_MS 250
/* A job that can run has a run within this time; a bound of the users. */
#define RUN_MS	 3000
#define JOBS_MAX 64
/* The users call a lasting task lost that is down for so long beside room for it. */
#define DOWN_MAX_MS 6000
#define CALM_MS	    4000 /* they count a job that has no run only after that */
#define BACK_MS	    1500 /* after a crash another process answers */
#define LOST_MS	    4300 /* after its last answer a worker is known to be lost */

/* An owner with n workers, the last silent of which do not answer. */
static sched_t *
owner_of(int n, int silent)
{
	sched_t *s = new_owner();

	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("w%d", i);
		worker_t *w = add_worker(s, id);

		w->silent = i >= n - silent;
		w->missed_polls = w->silent ? 3 : 0;
	}
	s->now_ms = s->wall_ms = BEGIN_MS;
	s->cell.confirmed_ms = BEGIN_MS;
	return s;
}

static worker_t *
worker(sched_t *s, int i)
{
	return g_ptr_array_index(s->worker_list, (guint)i);
}

/* Queues a job of one task; suspect: after a crash soon after its start. */
static task_t *
queue_step(sched_t *s, int number, const Sched__Step *d, bool suspect)
{
	g_autofree char *id = g_strdup_printf("%016d", number);
	step_t *st = first_step(add_job(s, id, d, s->wall_ms));

	if (suspect)
		crash_add(&st->tasks[0], 1, true);
	st->ready = true;
	queue_add_step(s, st);
	return &st->tasks[0];
}

static task_t *
queue_job(sched_t *s, int number, int64_t cpu_milli, bool suspect)
{
	Sched__Step d = step_def("", cpu_milli, false, 0);

	return queue_step(s, number, &d, suspect);
}

/* Some run on a worker. */
static run_t *
first_run(const worker_t *w)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	return all->data;
}

/* Puts a task of its own in quarantine on a worker. */
static void
quarantine_on(sched_t *s, worker_t *w, int number)
{
	task_t *t = queue_job(s, number, 1000, true);

	run_start(s, t, w, start_run_number(s, t));
	w->quarantined_run = t->run;
}

static void
pass(sched_t *s)
{
	queue_resort(s);
	scan_begin_round(s);
	start_waiting_tasks(s);
}

/*
 * Guards against suspect tasks that wait while workers are free, and that take all
 * of the few that are left.
 */
Test(quarantine, takes_a_share_of_the_usable_workers)
{
	static const struct {
		const char *what;
		int workers, silent;
		int in_use;	    /* answering workers in quarantine */
		int silent_in_use;  /* silent ones in quarantine */
		bool other_waits;   /* for the workers in quarantine */
		bool takes_another; /* worker for a suspect task */
	} cases[] = {
		{ "none in use", 6, 0, 0, 0, false, true },
		{ "a third in use", 6, 0, 2, 0, true, false },
		{ "below a third in use", 6, 0, 1, 0, true, true },
		{ "a third of the usable ones in use", 6, 3, 1, 0, true,
		    false },
		{ "a third in use, nothing else waits", 6, 0, 2, 0, false,
		    true },
		{ "all but one in use, nothing else waits", 6, 0, 5, 0, false,
		    false },
		{ "in use where none answers", 6, 3, 0, 2, true, true },
		{ "one usable worker", 6, 5, 0, 0, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(cases[i].workers, cases[i].silent);
		int usable = cases[i].workers - cases[i].silent, number = 1;
		task_t *t;

		for (int k = 0; k < cases[i].in_use; k++)
			quarantine_on(s, worker(s, k), number++);
		for (int k = 0; k < cases[i].silent_in_use; k++)
			quarantine_on(s, worker(s, usable + k), number++);
		/* Others have runs that leave less than the other task needs. */
		for (int k = cases[i].in_use;
		     cases[i].other_waits && k < usable; k++) {
			t = queue_job(s, number++, WORKER_CPU_MILLI / 2, false);
			run_start(s, t, worker(s, k), 1);
		}
		if (cases[i].other_waits)
			queue_job(s, number++, WORKER_CPU_MILLI * 3 / 4, false);
		pass(s);
		t = queue_job(s, number, 1000, true);
		pass(s);
		cr_expect_eq(t->crashes->reserved != NULL,
		    cases[i].takes_another, "%s", cases[i].what);
		sched_free(s);
	}
}

/* All orders and polls of usable workers are answered, all rows stored. */
static void
answer_all(sched_t *s)
{
	g_autoptr(GList) runs = g_hash_table_get_values(s->runs);
	g_autoptr(GList) jobs = g_hash_table_get_values(s->jobs);

	for (GList *i = runs; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->order_pending)
			run_order_done(s, r, SCHED_ORDER_OK, 0);
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->silent)
			continue;
		w->answered_ms = w->reported_ms = s->now_ms;
		quarantine_report(s, w);
	}
	for (GList *i = jobs; i != NULL; i = i->next) {
		job_t *j = i->data;

		if (j->dirty)
			j->rows_stored = ++j->rows_packed;
		j->dirty = false;
	}
}

/*
 * Guards against jobs that have no run for long, as suspect tasks wait for each
 * other ("not ended", "idle").
 */
Test(quarantine, each_job_with_a_suspect_task_runs_soon)
{
	static const struct {
		const char *what;
		int workers, silent, jobs;
	} cases[] = {
		{ "few", 6, 0, 4 },
		{ "many", 6, 0, 16 },
		{ "half of the workers are gone", 6, 3, 12 },
		{ "few workers", 3, 0, 12 },
		{ "one worker", 1, 0, 4 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(cases[i].workers, cases[i].silent);
		task_t *tasks[JOBS_MAX];
		int waiting = 0;

		for (int k = 0; k < cases[i].jobs; k++)
			tasks[k] = queue_job(s, k + 1, 1000, true);
		while (s->now_ms < BEGIN_MS + RUN_MS) {
			s->now_ms += STEP_MS;
			s->wall_ms += STEP_MS;
			answer_all(s);
			if (s->now_ms % ROUND_MS == 0)
				pass(s);
			else
				start_waiting_tasks(s);
		}
		for (int k = 0; k < cases[i].jobs; k++)
			waiting += tasks[k]->run == NULL;
		cr_expect_eq(waiting, 0, "%s: %d of %d wait", cases[i].what,
		    waiting, cases[i].jobs);
		sched_free(s);
	}
}

/*
 * Guards against a lasting task that is down and suspect and finds no worker with
 * room, as what becomes free is taken by others.
 */
Test(quarantine, a_lasting_task_has_what_becomes_free_soonest)
{
	static const struct {
		const char *what;
		bool lasting;
		int64_t
		    left_ms;   /* until the run in its way ends on one worker */
		bool reserved; /* that worker */
		bool other_starts; /* other work, after that */
	} cases[] = {
		{ "soon", true, 1000, true, false },
		{ "not soon", true, 60000, false, true },
		{ "a task that does not last", false, 1000, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(3, 0);
		Sched__Step d = step_def("", WORKER_CPU_MILLI / 2, false, 0);
		Sched__Step long_def = step_def("", WORKER_CPU_MILLI, false, 0);
		Sched__Step first_def = long_def;
		worker_t *w = worker(s, 1);
		task_t *t, *other;

		d.lasting = cases[i].lasting;
		long_def.estimate_ms = 60000;
		first_def.estimate_ms = cases[i].left_ms;
		for (int k = 0; k < 3; k++) {
			task_t *o = queue_step(
			    s, 2 + k, k == 1 ? &first_def : &long_def, false);

			run_start(s, o, worker(s, k), 1);
			run_order_done(s, o->run, SCHED_ORDER_OK, 0);
		}
		t = queue_step(s, 1, &d, true);
		pass(s);
		cr_expect_eq(
		    w->reserved_for == t && s->now_ms < w->reserved_until_ms,
		    cases[i].reserved, "%s", cases[i].what);
		other = queue_job(s, 5, 1000, false);
		job_mark_task_done(first_run(w)->task);
		run_remove(s, first_run(w));
		pass(s);
		cr_expect_eq(other->run != NULL, cases[i].other_starts,
		    "%s: other work", cases[i].what);
		for (int k = 0; k < 3 && cases[i].reserved; k++) {
			s->now_ms += RUN_MS / 6;
			answer_all(s);
			pass(s);
		}
		cr_expect(!cases[i].reserved ||
			(t->run != NULL && t->run->worker == w),
		    "%s: it does not start", cases[i].what);
		sched_free(s);
	}
}

/* Steps, rounds and passes until a time. */
static void
run_until(sched_t *s, int64_t until_ms)
{
	while (s->now_ms < until_ms) {
		s->now_ms += STEP_MS;
		s->wall_ms += STEP_MS;
		answer_all(s);
		if (s->now_ms % ROUND_MS == 0)
			pass(s);
		else
			start_waiting_tasks(s);
	}
}

/* Queues a lasting task that is down and suspect after so many crashes. */
static task_t *
queue_lasting(sched_t *s, int number, int crashes, int64_t down_ms)
{
	Sched__Step d = step_def("", 1000, false, 0);
	task_t *t;

	d.lasting = true;
	t = queue_step(s, number, &d, false);
	for (int k = 0; k < crashes; k++)
		crash_add(t, k + 1, crashes == 1);
	t->down_since_ms = s->now_ms - down_ms;
	t->step->ndown = 1;
	return t;
}

/*
 * Guards against lasting tasks that stay down (LOST) as those of workers that crashed
 * wait to be tried one after the other, whatever their number.
 */
Test(quarantine, all_lasting_suspects_of_a_crash_are_back_in_time)
{
	static const struct {
		const char *what;
		int workers, tasks, crashes;
		bool earlier_owner, other_waits;
		int64_t known_ms; /* from the end of their runs on */
	} cases[] = {
		{ "all of 3 are back", 3, 24, 1, false, false, BACK_MS },
		{ "all of 3, more tasks", 3, 60, 1, false, false, BACK_MS },
		{ "all of 3, after two crashes", 3, 40, 2, false, false,
		    BACK_MS },
		{ "all of 3, an earlier owner", 3, 40, 1, true, false,
		    BACK_MS },
		{ "all of 3, other work", 3, 40, 1, false, true, BACK_MS },
		{ "one is lost, 3 are left", 3, 24, 1, false, false, LOST_MS },
		{ "10 are left", 10, 60, 1, false, false, LOST_MS },
		{ "10 are left, after two crashes", 10, 60, 2, false, false,
		    LOST_MS },
		{ "10 are left, other work", 10, 60, 1, false, true, LOST_MS },
		{ "30 are left", 30, 60, 1, false, false, LOST_MS },
		{ "30 are left, an earlier owner", 30, 60, 1, true, false,
		    LOST_MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(cases[i].workers, 0);
		task_t *tasks[JOBS_MAX];
		int waiting = 0;

		for (int k = 0; k < cases[i].tasks; k++) {
			tasks[k] = queue_lasting(
			    s, k + 1, cases[i].crashes, cases[i].known_ms);
			tasks[k]->step->occ->job->maybe_started_before =
			    cases[i].earlier_owner;
		}
		/* Nothing that takes all of a worker fits beside them. */
		for (int k = 0; cases[i].other_waits && k < JOBS_MAX; k++)
			queue_job(s, 100 + k, WORKER_CPU_MILLI / 8, false);
		run_until(s, BEGIN_MS + DOWN_MAX_MS - cases[i].known_ms);
		for (int k = 0; k < cases[i].tasks; k++)
			waiting += tasks[k]->run == NULL;
		cr_expect_eq(waiting, 0, "%s: %d of %d are down", cases[i].what,
		    waiting, cases[i].tasks);
		sched_free(s);
	}
}

/*
 * Guards against jobs of an earlier owner that have no run (LOST) as their suspect tasks
 * are tried one by one on few workers.
 */
Test(quarantine, jobs_of_an_earlier_owner_run_in_time)
{
	static const struct {
		const char *what;
		int workers, jobs;
	} cases[] = {
		{ "few", 6, 4 },
		{ "3 workers, 12 jobs", 3, 12 },
		{ "3 workers, 24 jobs", 3, 24 },
		{ "5 workers, 20 jobs", 5, 20 },
		{ "10 workers, 60 jobs", 10, 60 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(cases[i].workers, 0);
		task_t *tasks[JOBS_MAX];
		int waiting = 0;

		for (int k = 0; k < cases[i].jobs; k++) {
			tasks[k] = queue_job(s, k + 1, 1000, true);
			tasks[k]->step->occ->job->maybe_started_before = true;
		}
		run_until(s, BEGIN_MS + CALM_MS + RUN_MS - BACK_MS);
		for (int k = 0; k < cases[i].jobs; k++)
			waiting += tasks[k]->run == NULL;
		cr_expect_eq(waiting, 0, "%s: %d of %d wait", cases[i].what,
		    waiting, cases[i].jobs);
		sched_free(s);
	}
}

/* Crashes the worker of a task that has run for so long; whether it did. */
static bool
crash_deadly(sched_t *s, const task_t *t, int64_t after_ms)
{
	worker_t *w;

	if (t->run == NULL || t->run->first_seen_ms == 0 ||
	    crash_known_up_ms(t->run) < after_ms)
		return false;
	w = t->run->worker;
	crash_worker_replaced(s, w);
	run_worker_lost(s, w, "it crashed");
	return true;
}

/*
 * Guards against a task that crashes its workers and is not found, or others that are
 * given up for it, as it is tried together with many.
 */
Test(quarantine, a_deadly_task_among_many_is_found)
{
	static const struct {
		const char *what;
		bool lasting, earlier_owner;
		int workers, tasks, deadly;
		int64_t after_ms; /* its start */
	} cases[] = {
		{ "at once, 3 workers", true, false, 3, 24, 5, 0 },
		{ "later, 3 workers", true, false, 3, 24, 5, 800 },
		{ "the first", true, false, 3, 24, 0, 800 },
		{ "the last", true, false, 3, 24, 23, 800 },
		{ "at once, 10 workers", true, false, 10, 60, 33, 0 },
		{ "later, 10 workers", true, false, 10, 60, 33, 1200 },
		{ "30 workers", true, false, 30, 60, 33, 800 },
		{ "lasting, an earlier owner", true, true, 3, 24, 5, 800 },
		{ "short work", false, false, 3, 24, 5, 800 },
		{ "short work, an earlier owner", false, true, 3, 24, 5, 800 },
		{ "short work, at once", false, true, 10, 60, 33, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(cases[i].workers, 0);
		task_t *tasks[JOBS_MAX];
		const task_t *deadly;
		int crashes = 0;

		for (int k = 0; k < cases[i].tasks; k++) {
			tasks[k] = cases[i].lasting ?
			    queue_lasting(s, k + 1, 1, BACK_MS) :
			    queue_job(s, k + 1, 1000, true);
			tasks[k]->step->occ->job->maybe_started_before =
			    cases[i].earlier_owner;
		}
		deadly = tasks[cases[i].deadly];
		while (s->now_ms < BEGIN_MS + 10 * DOWN_MAX_MS) {
			run_until(s, s->now_ms + STEP_MS);
			crashes += crash_deadly(s, deadly, cases[i].after_ms);
		}
		cr_expect_leq(
		    crashes, 3, "%s: %d more crashes", cases[i].what, crashes);
		for (int k = 0; k < cases[i].tasks; k++)
			cr_expect_eq(
			    tasks[k]->step->occ->job->stage == JOB_OPEN &&
				tasks[k]->run != NULL,
			    k != cases[i].deadly, "%s: task %d", cases[i].what,
			    k);
		sched_free(s);
	}
}
