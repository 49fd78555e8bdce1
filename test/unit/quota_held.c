/*
 * Steps held by their customer's quota: what they cost, and when they go on.  The
 * comment on each test names the failure that it guards against.
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
#include "quota_fixture.h"
#include "sched_fixture.h"

#define JOB_A "f000000000000001"
#define JOB_B "f000000000000002"
#define JOB_C "f000000000000003"
#define JOB_D "f000000000000004"

/*
 * Thousands of held steps at the head of the queue: searches for workers, rows
 * stored in advance, and a pass that does not get to the work behind them.
 */
Test(quota_held, thousands_of_held_steps_cost_nothing)
{
	static const int counts[] = { 1, 199, 1000, 5000 };

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli = 1000 };
		Sched__Step d = step_def("", 1000, false, 0);
		step_t *first, *other = NULL;

		add_worker_now(s, "w");
		set_customer(s, &c);
		first = queue_step(s, JOB_A, "c", &d);
		quota_pass(s);
		cr_expect_eq(first->nwaiting, 0);
		for (int k = 0; k < counts[i]; k++) {
			g_autofree char *id = g_strdup_printf("%016d", k);
			step_t *st = queue_step(s, id, "c", &d);

			st->occ->job->row_stored = false;
		}
		other = queue_step(s, JOB_B, NULL, &d);
		other->occ->job->priority = 1; /* behind all */
		s->stats.places = 0;
		quota_pass(s);
		cr_expect_eq(other->nwaiting, 0, "behind %d", counts[i]);
		cr_expect_leq(
		    s->stats.places, 1, "%d places", (int)s->stats.places);
		cr_expect_eq(g_hash_table_size(s->dirty_jobs), 0);
		cr_expect_not(s->start_pass_due, "the pass is complete");
		cr_expect_eq(s->stats.quota_waits, (uint64_t)counts[i]);
		quota_pass(s);
		cr_expect_eq(s->stats.quota_waits, (uint64_t)counts[i],
		    "each counts once");
		sched_free(s);
	}
}

/*
 * A step finds no worker, is held while one becomes free, and then is not held
 * any more: it must be offered that worker in the same round.
 */
Test(quota_held, a_held_step_is_offered_all_workers_afterwards)
{
	sched_t *s = quota_owner();
	sched_customer_t c = { .quota_cpu_milli = 2000 };
	Sched__Step d = step_def("", 1000, false, 0);
	worker_t *full = add_worker_now(s, "full"), *w;
	step_t *first, *st;
	task_t *t;

	set_customer(s, &c);
	first = queue_step(s, JOB_A, "c", &d);
	quota_pass(s);
	t = &first->tasks[0];
	full->cpu_milli = 1000;
	st = queue_step(s, JOB_B, "c", &d);
	quota_pass(s);
	cr_expect(scan_has_searched(s, st), "no worker had room");
	c.quota_cpu_milli = 1000;
	customer_get(s, "c")->quota.limit.cpu_milli = 1000;
	w = add_worker_now(s, "free");
	start_waiting_tasks(s);
	cr_expect_eq(st->nwaiting, 1);
	cr_expect(st->quota_held);
	cr_expect_not(scan_has_searched(s, st));
	full->cpu_milli = 0;
	end_run(s, t);
	cr_expect(s->start_pass_due);
	start_waiting_tasks(s);
	cr_expect_eq(st->nwaiting, 0);
	cr_expect_eq(st->tasks[0].run->worker, w);
	sched_free(s);
}

/*
 * Small tasks of a customer at its quota come without end.  A larger one ahead of
 * them, that fits only while less than half is held, must not wait for ever; and
 * lasting tasks that hold half for good must not block the small ones for it.
 */
Test(quota_held, a_large_task_has_its_turn_beside_small_ones)
{
	static const struct {
		const char *what;
		int64_t large_milli;
		int32_t lasting;
		bool starts;
	} cases[] = {
		{ "larger than the rest", 3000, 0, true },
		{ "larger than the quota", 9000, 0, true },
		{ "beside lasting tasks of half", 3000, 2, false },
		{ "beside a lasting task", 3000, 1, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli = 4000 };
		Sched__Step small = step_def("", 1000, false, 0);
		Sched__Step large =
		    step_def("", cases[i].large_milli, false, 0);
		step_t *st, *rest;
		int32_t before, oldest = 0;

		add_worker_now(s, "w");
		set_customer(s, &c);
		if (cases[i].lasting > 0) {
			Sched__Step lasting = small;

			lasting.lasting = true;
			lasting.count = cases[i].lasting;
			queue_step(s, JOB_A, "c", &lasting);
			quota_pass(s);
		}
		small.count = 200;
		rest = queue_step(s, JOB_B, "c", &small);
		rest->occ->job->priority = 1;
		quota_pass(s);
		st = queue_step(s, JOB_C, "c", &large);
		for (int k = 0; k < 100 && st->nwaiting > 0; k++) {
			s->now_ms += 100;
			/* The oldest small run ends. */
			while (rest->tasks[oldest].state == TASK_DONE)
				oldest++;
			if (rest->tasks[oldest].run != NULL)
				end_run(s, &rest->tasks[oldest]);
			quota_pass(s);
		}
		cr_expect_eq(
		    st->nwaiting == 0, cases[i].starts, "%s", cases[i].what);
		before = rest->nwaiting;
		cr_expect_leq(before, cases[i].starts ? 199 : 150,
		    "%s: small ones wait: %d", cases[i].what, before);
		sched_free(s);
	}
}

/* Operators can't see that a customer waits for its quota, or see it each pass. */
Test(quota_held, held_customers_are_reported)
{
	sched_t *s = quota_owner();
	sched_customer_t c = { .quota_cpu_milli = 2000 };
	Sched__Step d = step_def("", 1000, false, 0);
	step_t *st;

	add_worker_now(s, "w");
	set_customer(s, &c);
	d.count = 5;
	st = queue_step(s, JOB_A, "c", &d);
	for (int k = 0; k < 3; k++) {
		quota_pass(s);
		stats_log(s);
	}
	cr_expect_eq(sent.quota_events, 1);
	cr_expect_str_eq(sent.quota_event,
	    "c held=1 cpu=2000/2000 mem_mb=2000/0 gpu=0/0 unseen_cpu=0");
	cr_expect_not_null(strstr(sent.load_event, " quota_blocked=3"));
	cr_expect_eq(s->stats.quota_waits, 1);
	c.quota_cpu_milli = 0;
	set_customer(s, &c);
	quota_pass(s);
	cr_expect_eq(st->nwaiting, 0);
	s->now_ms += 1000;
	stats_log(s);
	cr_expect_eq(sent.quota_events, 2);
	cr_expect_not_null(strstr(sent.quota_event, "held=0"));
	cr_expect_not_null(strstr(sent.load_event, " quota_blocked=0"));
	sched_free(s);
}

/*
 * Guards against short work that waits for good beside a lasting task which is down
 * and can't run: its quota is left to it only if a worker and the quota allow that.
 */
Test(quota_held, the_quota_is_left_only_to_what_can_run)
{
	static const struct {
		const char *what;
		int64_t needs_milli, quota_milli;
		int64_t
		    held_milli; /* by another lasting task of the customer */
		bool down;	/* it had a run */
		bool suspect;
		bool other_starts; /* short work of the customer */
	} cases[] = {
		{ "it waits for room", 40000, 41000, 0, true, false, false },
		{ "a suspect waits for room", 40000, 41000, 0, true, true,
		    false },
		{ "room in the quota for both", 40000, 42000, 0, true, false,
		    true },
		{ "no worker is large enough", 70000, 71000, 0, true, false,
		    true },
		{ "others hold the quota", 40000, 41000, 30000, true, false,
		    true },
		{ "it has not run yet", 40000, 41000, 0, false, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = quota_owner();
		sched_customer_t c = { .quota_cpu_milli =
					   cases[i].quota_milli };
		Sched__Step d = step_def("", cases[i].needs_milli, false, 0);
		Sched__Step held_def =
		    step_def("", cases[i].held_milli, false, 0);
		Sched__Step full_def = step_def("", 60000, false, 0);
		Sched__Step other_def = step_def("", 2000, false, 0);
		worker_t *small;
		step_t *full, *held, *st, *other;

		add_worker_now(s, "w");
		set_customer(s, &c);
		full = queue_step(s, JOB_A, NULL, &full_def);
		quota_pass(s);
		cr_assert_eq(full->nwaiting, 0, "%s", cases[i].what);
		/* It has room for the others, and none for the lasting one. */
		small = add_worker_now(s, "small");
		small->cpu_milli = 35000;
		d.lasting = held_def.lasting = true;
		if (cases[i].held_milli > 0) {
			held = queue_step(s, JOB_D, "c", &held_def);
			quota_pass(s);
			cr_assert_eq(held->nwaiting, 0, "%s", cases[i].what);
		}
		st = queue_step(s, JOB_B, "c", &d);
		st->tasks[0].down_since_ms = cases[i].down ? s->now_ms : 0;
		st->ndown = cases[i].down;
		if (cases[i].suspect)
			crash_add(&st->tasks[0], 1, true);
		other = queue_step(s, JOB_C, "c", &other_def);
		quota_pass(s);
		cr_expect_eq(other->nwaiting == 0, cases[i].other_starts, "%s",
		    cases[i].what);
		sched_free(s);
	}
}
