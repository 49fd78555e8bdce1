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

/* An owner of WORKERS workers, each with so much of its processors in use. */
static sched_t *
owner_of_workers(int64_t used_milli)
{
	sched_t *s = new_owner();

	for (int i = 0; i < WORKERS; i++) {
		g_autofree char *id = g_strdup_printf("w%d", i);

		add_worker(s, id)->used_cpu_milli = used_milli;
	}
	return s;
}

static void
queue_steps(sched_t *s)
{
	Sched__Step d = step_def("", 1000, false, 0);

	d.count = STEP_TASKS;
	for (int i = 0; i < STEPS; i++) {
		g_autofree char *id = g_strdup_printf("%016d", i);
		step_t *st = first_step(add_job(s, id, &d, 0));

		st->ready = true;
		queue_add_step(s, st);
	}
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
