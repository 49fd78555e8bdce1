/*
 * The overload plan: what it marks, and what it is worth under loads above the
 * throughput, in the model of overload_model.h.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../sched/overload.h"
#include "overload_model.h"

#define SEEDS	    30
#define TABLE_SEEDS 8 /* the oracle takes long */

/* Loads of 16 slots; kinds: short, of two steps, wide. */
static const model_load_t loads[] = {
	{ "all on time",
	    { { 40000, { 4, 0.6, 0.1 }, 16, 0, { 0 } },
		{ 60000, { 4, 0.6, 0.1 }, 16, 0, { 0 } } },
	    { 0 }, false },
	{ "load step",
	    { { 20000, { 4, 0.7, 0.1 }, 16, 0, { 0 } },
		{ 40000, { 9, 1.5, 0.22 }, 16, 0, { 0 } },
		{ 60000, { 4, 0.7, 0.1 }, 16, 0, { 0 } } },
	    { 0 }, false },
	{ "wave of half",
	    { { 20000, { 5, 0.8, 0.12 }, 16, 0, { 0 } },
		{ 40000, { 5, 0.8, 0.12 }, 8, 0, { 0 } },
		{ 60000, { 5, 0.8, 0.12 }, 16, 0, { 0 } } },
	    { 0 }, false },
	{ "burst of bulk before urgent",
	    { { 10000, { 2, 0.2, 0.02 }, 16, 0, { 0 } },
		{ 12000, { 2, 0.2, 0.02 }, 16, 0, { 0, 0, 20 } },
		{ 40000, { 8, 0.9, 0.05 }, 16, 0, { 40, 0, 0 } },
		{ 60000, { 2, 0.2, 0.02 }, 16, 0, { 0 } } },
	    { 0 }, false },
	{ "slow workers",
	    { { 20000, { 5, 0.8, 0.12 }, 16, 0, { 0 } },
		{ 40000, { 5, 0.8, 0.12 }, 16, 12, { 0 } },
		{ 60000, { 5, 0.8, 0.12 }, 16, 0, { 0 } } },
	    { 0 }, false },
	{ "one kind at four times",
	    { { 20000, { 4, 0.7, 0.1 }, 16, 0, { 0 } },
		{ 40000, { 4, 2.8, 0.1 }, 16, 0, { 0 } },
		{ 60000, { 4, 0.7, 0.1 }, 16, 0, { 0 } } },
	    { 0 }, false },
	{ "long overload then recovery",
	    { { 10000, { 4, 0.7, 0.1 }, 16, 0, { 0 } },
		{ 90000, { 8, 1.4, 0.2 }, 16, 0, { 0 } },
		{ 120000, { 2, 0.3, 0.04 }, 16, 0, { 0 } } },
	    { 0 }, false },
	{ "run times declared too low",
	    { { 20000, { 3, 0.5, 0.08 }, 16, 0, { 0 } },
		{ 40000, { 6, 1, 0.15 }, 16, 0, { 0 } },
		{ 60000, { 3, 0.5, 0.08 }, 16, 0, { 0 } } },
	    { 150, 180, 140 }, false },
	{ "two priorities",
	    { { 20000, { 4, 0.7, 0.1 }, 16, 0, { 0 } },
		{ 40000, { 9, 1.5, 0.22 }, 16, 0, { 0 } },
		{ 60000, { 4, 0.7, 0.1 }, 16, 0, { 0 } } },
	    { 0 }, true },
};

/* An item of a table; times and work in units of a second at rate 1. */
typedef struct {
	double due, work, running, shortest, value;
	int32_t priority;
	bool was_deferred;
	overload_mark_t mark;
	double slack; /* at first; 0: ten times the due time */
	bool begun;
} case_item_t;

#define ON  OVERLOAD_ON_TIME
#define DEF OVERLOAD_DEFERRED
#define HOP OVERLOAD_HOPELESS

/* The late limit of an item is three times its due time. */
Test(overload, marks)
{
	static const struct {
		const char *what;
		case_item_t items[5];
	} cases[] = {
		{ "all fit",
		    { { 1, 1, 0, 0, 1, 1, false, ON },
			{ 2, 1, 0, 0, 1, 1, false, ON },
			{ 3, 1, 0, 0, 1, 1, false, ON } } },
		{ "exactly full is no reason to defer",
		    { { 10, 10, 0, 10, 1, 1, false, ON } } },
		{ "the least value for its work goes",
		    { { 2, 1, 0, 0, 3, 1, false, ON },
			{ 2, 1, 0, 0, 2, 1, false, ON },
			{ 2, 1, 0, 0, 1, 1, false, DEF } } },
		{ "also when it is due first",
		    { { 1, 1, 0, 0, 1, 1, false, DEF },
			{ 2, 1, 0, 0, 2, 1, false, ON },
			{ 2, 1, 0, 0, 2, 1, false, ON } } },
		{ "a lower priority goes, of whatever value",
		    { { 2, 1, 0, 0, 9, 2, false, DEF },
			{ 2, 1, 0, 0, 1, 1, false, ON },
			{ 2, 1, 0, 0, 1, 1, false, ON } } },
		{ "what was begun needs less: its value for that is higher",
		    { { 2, 2, 1.5, 0, 2, 1, false, ON },
			{ 2, 2, 0, 0, 2.4, 1, false, DEF } } },
		{ "what runs is not taken out, but its work counts",
		    { { 2, 2, 2, 0, 0.1, 1, false, ON },
			{ 2.2, 1, 0, 0, 9, 1, false, DEF } } },
		{ "a small job that fits after all comes back",
		    { { 4, 1, 0, 0, 1, 1, false, ON },
			{ 4, 4, 0, 0, 3.6, 1, false, DEF },
			{ 4, 2, 0, 0, 4, 1, false, ON },
			{ 4, 1, 0, 0, 2, 1, false, ON } } },
		{ "a job that is too long for its target is late anyway",
		    { { 1, 1, 0, 2, 9, 1, false, DEF },
			{ 2, 2, 0, 0, 1, 1, false, ON } } },
		{ "a job that is too long for its late limit",
		    { { 1, 1, 0, 4, 9, 1, false, HOP },
			{ 2, 2, 0, 0, 1, 1, false, ON } } },
		{ "deferred behind more than its late limit",
		    { { 1, 1, 0, 0, 1, 2, false, HOP },
			{ 8, 8, 0, 0, 9, 1, false, ON } } },
		{ "little better than what was planned is not enough",
		    { { 1, 1, 0, 0, 1.2, 1, true, DEF },
			{ 1, 1, 0, 0, 1, 1, false, ON } } },
		{ "much better is",
		    { { 1.4, 1, 0, 0, 2.5, 1, true, ON },
			{ 1.4, 1, 0, 0, 1, 1, false, DEF } } },
		{ "slightly too much is within the error of the estimates",
		    { { 1, 1, 0, 0, 1, 1, false, ON },
			{ 2, 1.08, 0, 0, 1, 1, false, ON } } },
		{ "but does not bring a deferred job back",
		    { { 1, 1, 0, 0, 1, 1, false, ON },
			{ 2, 1.08, 0, 0, 1, 1, true, DEF } } },
		{ "little slack is enough if all fit",
		    { { 1.1, 1, 0, 1, 1, 1, false, ON },
			{ 2, 0.9, 0, 0, 1, 1, false, ON } } },
		{ "but is lost if they do not",
		    { { 1.1, 1, 0, 1, 9, 1, false, DEF },
			{ 2, 1.8, 0, 0, 1, 1, false, ON } } },
		{ "not if the job never had more",
		    { { 1.1, 1, 0, 1, 9, 1, false, ON, 0.15 },
			{ 2, 1.8, 0, 0, 1, 1, false, DEF } } },
		{ "an overload lasts while there is little room",
		    { { 4, 1, 0, 3.9, 1, 1, true, DEF },
			{ 4, 2, 0, 0, 1, 1, false, ON } } },
		{ "and ends",
		    { { 4, 0.5, 0, 3.9, 1, 1, true, ON },
			{ 4, 1, 0, 0, 1, 1, false, ON } } },
		{ "not if it was begun",
		    { { 1.1, 1, 0, 1, 9, 1, false, ON, 0, true },
			{ 2, 1.8, 0, 0, 1, 1, false, DEF } } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		overload_item_t items[5] = { 0 };
		overload_sums_t sums;
		size_t n = 0;

		for (; n < 5 && cases[i].items[n].due > 0; n++) {
			const case_item_t *c = &cases[i].items[n];

			items[n].due_ms = (int64_t)(c->due * 1000);
			items[n].late_ms = (int64_t)(c->due * 3000);
			items[n].shortest_ms = (int64_t)(c->shortest * 1000);
			items[n].slack_ms = (int64_t)(1000 *
			    (c->slack > 0 ? c->slack : 10 * c->due));
			items[n].begun = c->begun;
			items[n].work_left = c->work * 1000;
			items[n].work_running = c->running * 1000;
			items[n].value = c->value;
			items[n].priority = c->priority;
			items[n].was_deferred = c->was_deferred;
		}
		overload_plan(items, n, 1, &sums);
		for (size_t k = 0; k < n; k++)
			cr_expect_eq(items[k].mark, cases[i].items[k].mark,
			    "%s: item %zu is %d", cases[i].what, k,
			    items[k].mark);
	}
}

/*
 * The plan must hold: in order of due time, the jobs on time end by it, with the
 * tolerance of the plan, and no deferred one would fit besides.
 */
Test(overload, a_plan_is_feasible_and_full)
{
	for (uint32_t seed = 1; seed <= 300; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		overload_item_t items[200] = { 0 };
		size_t n = (size_t)g_rand_int_range(rand, 1, 200);
		double rate = g_rand_double_range(rand, 1, 30);
		overload_sums_t sums;

		for (size_t i = 0; i < n; i++) {
			overload_item_t *it = &items[i];

			it->due_ms = g_rand_int_range(rand, 1, 20000);
			it->late_ms = 3 * it->due_ms;
			it->work_left = g_rand_double_range(rand, 1, 4000);
			it->value =
			    it->work_left * g_rand_double_range(rand, 0.5, 2);
			it->priority = g_rand_int_range(rand, 1, 3);
		}
		overload_plan(items, n, rate, &sums);
		for (size_t extra = 0; extra <= n; extra++) {
			bool fits = true;

			if (extra < n && items[extra].mark == ON)
				continue;
			for (size_t i = 0; i < n; i++) {
				double sum = 0;

				if (items[i].mark != ON && i != extra)
					continue;
				for (size_t k = 0; k < n; k++)
					if ((items[k].mark == ON ||
						k == extra) &&
					    items[k].due_ms <= items[i].due_ms)
						sum += items[k].work_left;
				fits &= sum <=
				    rate * (double)items[i].due_ms * 1.05;
			}
			cr_expect_eq(
			    fits, extra == n, "seed %u item %zu", seed, extra);
		}
	}
}

/* Processor time of this process, which other load does not lengthen. */
static int64_t
processor_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

/* A plan of many jobs is made four times a second beside all else. */
Test(overload, many_jobs_take_little_time)
{
	size_t n = 20000;
	g_autofree overload_item_t *items = g_new0(overload_item_t, n);
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	overload_sums_t sums;
	int64_t used_us;

	for (size_t i = 0; i < n; i++) {
		items[i].due_ms = g_rand_int_range(rand, 1, 20000);
		items[i].late_ms = 3 * items[i].due_ms;
		items[i].work_left = g_rand_double_range(rand, 1, 4000);
		items[i].value = g_rand_double_range(rand, 1, 4000);
	}
	used_us = processor_us();
	overload_plan(items, n, 1000, &sums);
	used_us = processor_us() - used_us;
	printf("%zu jobs: %d us\n", n, (int)used_us);
	cr_expect_gt(sums.ndeferred, 0);
	cr_expect_lt(used_us, 250000, "%d us", (int)used_us);
}

/* The throughput counts only while work waits, and is not known at once. */
Test(overload, rate)
{
	static const struct {
		const char *what;
		int idle,
		    shortage; /* updates of 250 ms without, with a queue */
		double idle_work, work; /* in each */
		double rate;
	} cases[] = {
		{ "not known yet", 0, 7, 0, 500, 0 },
		{ "known", 0, 8, 0, 500, 2 },
		{ "little work before does not count", 40, 8, 5, 500, 2 },
		{ "no queue, no shortage", 40, 0, 500, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		overload_rate_t r = { 0 };

		for (int k = 0; k < cases[i].idle; k++)
			overload_rate_add(&r, cases[i].idle_work, 250, false);
		for (int k = 0; k < cases[i].shortage; k++)
			overload_rate_add(&r, cases[i].work, 250, true);
		cr_expect_float_eq(overload_rate(&r), cases[i].rate, 1e-9,
		    "%s: %g", cases[i].what, overload_rate(&r));
	}
}

/* A throughput that halves is noticed within seconds. */
Test(overload, rate_follows)
{
	overload_rate_t r = { 0 };

	for (int i = 0; i < 100; i++)
		overload_rate_add(&r, 500, 250, true);
	for (int i = 0; i < 40; i++)
		overload_rate_add(&r, 250, 250, true);
	cr_expect_lt(overload_rate(&r), 1.2);
	cr_expect_geq(overload_rate(&r), 1);
}

/* Adds the results of one play to those of others. */
static void
add_result(model_result_t *to, const model_result_t *r)
{
	to->worth += r->worth;
	to->most += r->most;
	to->jobs += r->jobs;
	to->on_time += r->on_time;
	to->late += r->late;
	to->too_late += r->too_late;
	to->not_ended += r->not_ended;
	to->changes += r->changes;
	to->unstable += r->unstable;
	for (int k = 0; k < MODEL_KINDS; k++) {
		to->jobs_of[k] += r->jobs_of[k];
		to->on_time_of[k] += r->on_time_of[k];
	}
}

/* Plays a load with several seeds. */
static model_result_t
run_load(const model_load_t *l, model_order_t order, uint32_t seeds)
{
	model_result_t sum = { 0 };

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		model_result_t r = model_run(l, order, seed);

		add_result(&sum, &r);
	}
	return sum;
}

/* Prints worth and regret as shares of the oracle's worth. */
static void
print_result(const char *load, const char *order, const model_result_t *r,
    const model_result_t *oracle)
{
	printf("%-28s %-6s worth %.3f regret %.3f on time %d "
	       "(%d/%d %d/%d %d/%d) late %d too late %d changes %d\n",
	    load, order, r->worth / r->most, 1 - r->worth / oracle->worth,
	    r->on_time, r->on_time_of[0], r->jobs_of[0], r->on_time_of[1],
	    r->jobs_of[1], r->on_time_of[2], r->jobs_of[2], r->late,
	    r->too_late, r->changes);
}

/*
 * No job is dropped, the plan is worth no less than the order of the queue alone,
 * few jobs are deferred again and again, and without an overload none is.
 */
Test(overload, loads)
{
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		model_result_t q = run_load(&loads[i], MODEL_QUEUE, SEEDS);
		model_result_t p = run_load(&loads[i], MODEL_PLAN, SEEDS);

		cr_expect_eq(p.not_ended, 0, "%s", loads[i].name);
		cr_expect_geq(p.worth, q.worth, "%s: %g, queue %g",
		    loads[i].name, p.worth / p.most, q.worth / q.most);
		cr_expect_leq(p.unstable, p.jobs / 100, "%s: %d of %d jobs",
		    loads[i].name, p.unstable, p.jobs);
		if (i == 0)
			cr_expect_eq(p.changes, 0, "%d", p.changes);
	}
}

/* Prints the regrets; the plan's is below that of an order without a plan. */
Test(overload, regrets)
{
	static const char *const names[MODEL_ORDERS] = { "fcfs", "edf", "queue",
		"plan", "oracle" };

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		model_result_t r[MODEL_ORDERS];

		for (int o = 0; o < MODEL_ORDERS; o++)
			r[o] =
			    run_load(&loads[i], (model_order_t)o, TABLE_SEEDS);
		for (int o = 0; o < MODEL_ORDERS; o++)
			print_result(
			    loads[i].name, names[o], &r[o], &r[MODEL_ORACLE]);
		cr_expect_geq(r[MODEL_PLAN].worth, r[MODEL_FCFS].worth);
		cr_expect_geq(r[MODEL_PLAN].worth, r[MODEL_EDF].worth);
	}
}
