/*
 * What passes over the queue cost on thousands of workers, counted in workers
 * that placement looks at.
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

#define WORKERS	   3000
#define STEPS	   150
#define STEP_TASKS 10
#define COMPARED   64 /* workers, for a task that many could take */
#define CHANGED	   5  /* workers on which a run ends between two passes */
#define PASSES_MAX 1000

/* An owner of n workers, each with so much of its processors in use. */
static sched_t *
owner_of(int n, int64_t used_milli)
{
	sched_t *s = new_owner();

	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("w%d", i);

		add_worker(s, id)->used_cpu_milli = used_milli;
	}
	return s;
}

static sched_t *
owner_of_workers(int64_t used_milli)
{
	return owner_of(WORKERS, used_milli);
}

/* Queues the step of a job that was accepted at a time. */
static step_t *
queue_step(sched_t *s, int number, const Sched__Step *d, int64_t accepted_ms)
{
	g_autofree char *id = g_strdup_printf("%016d", number);
	step_t *st = first_step(add_job(s, id, d, accepted_ms));

	st->ready = true;
	queue_add_step(s, st);
	return st;
}

static void
queue_steps(sched_t *s)
{
	Sched__Step d = step_def("", 1000, false, 0);

	d.count = STEP_TASKS;
	for (int i = 0; i < STEPS; i++)
		queue_step(s, i, &d, 0);
}

/* All tasks find room: some workers are compared for each of them. */
Test(scan, room_everywhere)
{
	sched_t *s = owner_of_workers(0);
	int passes = 0;

	queue_steps(s);
	while (s->start_pass_due && passes++ < PASSES_MAX)
		start_waiting_tasks(s);
	cr_expect_eq(s->stats.starts, STEPS * STEP_TASKS);
	cr_expect_leq(s->stats.places, (uint64_t)STEPS * STEP_TASKS * COMPARED);
	sched_free(s);
}

/* All workers are full: a pass looks only at those on which a run has ended. */
Test(scan, long_queue_on_full_workers)
{
	sched_t *s = owner_of_workers(WORKER_CPU_MILLI);
	uint64_t before;

	queue_steps(s);
	start_waiting_tasks(s);
	cr_expect_eq(s->stats.starts, 0);
	before = s->stats.places;
	for (int i = 0; i < CHANGED; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i * 7);

		w->used_cpu_milli -= 1000;
		scan_worker_changed(s, w);
	}
	start_waiting_tasks(s);
	cr_expect_eq(s->stats.starts, CHANGED);
	cr_expect_leq(s->stats.places - before, (STEPS + CHANGED) * CHANGED);
	/* A worker changes without notice: the next round finds it. */
	((worker_t *)g_ptr_array_index(s->worker_list, 99))->used_cpu_milli -=
	    1000;
	scan_begin_round(s);
	start_waiting_tasks(s);
	cr_expect_eq(s->stats.starts, CHANGED + 1);
	sched_free(s);
}

#define HEAD_STEPS 200	 /* not below that of scan.c */
#define ROUNDS_MAX 40	 /* ten seconds of them */
#define LATER_MS   10000 /* more than what value density advances a step by */

/*
 * Guards against steps that are never offered a worker, as on many workers the
 * steps at the head of the queue, which fit on none, use up the looks of a round.
 */
Test(scan, steps_behind_an_unplaced_head_are_offered_on_many_workers)
{
	static const int workers[] = { 100, 1400, WORKERS };

	for (size_t i = 0; i < G_N_ELEMENTS(workers); i++) {
		sched_t *s = owner_of(workers[i], WORKER_CPU_MILLI);
		Sched__Step large = step_def("", WORKER_CPU_MILLI, false, 0);
		Sched__Step small = step_def("", 1000, false, 0);
		worker_t *w = g_ptr_array_index(s->worker_list, 0);
		step_t *last;
		int rounds = 0;

		w->used_cpu_milli -= small.cpu_milli;
		for (int k = 0; k < HEAD_STEPS; k++)
			queue_step(s, k, &large, 0);
		/* It is due after them. */
		last = queue_step(s, HEAD_STEPS, &small, LATER_MS);
		for (; rounds < ROUNDS_MAX && last->nwaiting > 0; rounds++) {
			scan_begin_round(s);
			for (int k = 0; k < 10 && s->start_pass_due; k++)
				start_waiting_tasks(s);
		}
		cr_expect_eq(last->nwaiting, 0, "%d workers: not in %d rounds",
		    workers[i], rounds);
		sched_free(s);
	}
}

#define FAR_BEHIND 1000 /* steps */

/*
 * Guards against steps that are never offered a worker, though one has room, as the
 * owner has processor time for one pass a round only and that ends at the head.
 */
Test(scan, steps_behind_an_unplaced_head_are_offered_with_one_pass_a_round)
{
	static const int behind[] = { HEAD_STEPS, HEAD_STEPS + 1, FAR_BEHIND };

	for (size_t i = 0; i < G_N_ELEMENTS(behind); i++) {
		sched_t *s = owner_of(500, WORKER_CPU_MILLI);
		Sched__Step large = step_def("", WORKER_CPU_MILLI, false, 0);
		Sched__Step small = step_def("", 1000, false, 0);
		worker_t *w = g_ptr_array_index(s->worker_list, 0);
		step_t *last;
		int rounds = 0;

		w->used_cpu_milli -= small.cpu_milli;
		for (int k = 0; k < behind[i]; k++)
			queue_step(s, k, &large, 0);
		/* It is due after them. */
		last = queue_step(s, behind[i], &small, LATER_MS);
		for (; rounds < ROUNDS_MAX && last->nwaiting > 0; rounds++) {
			scan_begin_round(s);
			start_waiting_tasks(s);
		}
		cr_expect_eq(last->nwaiting, 0,
		    "behind %d steps: not in %d rounds", behind[i], rounds);
		sched_free(s);
	}
}
