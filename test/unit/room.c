/*
 * Room for large tasks that are neither lasting nor filler, on full workers.
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

#define SMALL_MILLI 16000 /* a quarter of a worker */
#define SMALL_MS    800	  /* that a small task runs */
#define ARRIVAL_MS  200	  /* between two small jobs */
#define ROUND_MS    250
#define STEP_MS	    50
#define BEGIN_MS    1000 /* the large job comes */
#define LONG_MS	    6000

/* Ends the runs of small tasks that are due to end. */
static void
end_small_runs(sched_t *s)
{
	g_autoptr(GList) all = g_hash_table_get_values(s->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->task->step->def->cpu_milli != SMALL_MILLI ||
		    r->task->step->def->lasting ||
		    s->now_ms - r->state_since_ms < SMALL_MS)
			continue;
		job_mark_task_done(r->task);
		run_remove(s, r);
	}
}

static step_t *
queue_job(sched_t *s, int number, const Sched__Step *d)
{
	g_autofree char *id = g_strdup_printf("%016d", number);
	step_t *st = first_step(add_job(s, id, d, s->wall_ms));

	st->ready = true;
	queue_add_step(s, st);
	return st;
}

static void
advance(sched_t *s)
{
	s->now_ms += STEP_MS;
	s->wall_ms = s->now_ms;
	end_small_runs(s);
	if (s->now_ms % ROUND_MS == 0) {
		queue_resort(s);
		scan_begin_round(s);
	}
	start_waiting_tasks(s);
}

/*
 * Guards against large tasks that are never served, as smaller ones that come
 * later take what gets free on each worker.
 */
Test(room, a_large_task_starts_in_time_while_smaller_ones_keep_coming)
{
	static const struct {
		const char *what;
		int64_t large_milli;
		int64_t reserved_milli; /* on each worker, for good */
		int64_t mem_mb;
		bool lasting; /* what comes later */
		bool starts;
	} cases[] = {
		{ "small tasks come", 40000, 0, 1000, false, true },
		{ "a whole worker is needed", 64000, 0, 1000, false, true },
		{ "lasting tasks come", 40000, 0, 1000, true, true },
		{ "no worker will have the room", 40000, 32000, 1000, false,
		    false },
		{ "nor the memory", 40000, 0, 300000, false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		Sched__Step small = step_def("", SMALL_MILLI, false, 0);
		Sched__Step large =
		    step_def("", cases[i].large_milli, false, 0);
		step_t *st = NULL;
		int n = 0;

		for (int k = 0; k < 2; k++)
			add_worker(s, k == 0 ? "a" : "b")->used_cpu_milli =
			    cases[i].reserved_milli;
		large.mem_mb = cases[i].mem_mb;
		for (s->now_ms = 0; s->now_ms < LONG_MS;) {
			if (s->now_ms == BEGIN_MS)
				st = queue_job(s, n++, &large);
			if (s->now_ms % ARRIVAL_MS == 0) {
				small.lasting = cases[i].lasting && st != NULL;
				queue_job(s, n++, &small);
				queue_job(s, n++, &small);
			}
			advance(s);
			if (st != NULL && s->now_ms >= st->latest_start_ms)
				break;
		}
		cr_expect_eq(
		    st->nwaiting == 0, cases[i].starts, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against large urgent jobs of which the last tasks never start, as lasting
 * tasks, which come all the time, take what gets free and keep it.
 */
Test(room, the_rest_of_a_late_job_goes_before_lasting_tasks)
{
	static const struct {
		const char *what;
		int64_t age_ms;
		bool begun, filler, before;
	} cases[] = {
		{ "on time", 0, false, false, true },
		{ "late, begun", 5000, true, false, true },
		{ "late, not begun", 5000, false, false, false },
		{ "past its late limit", 20000, true, false, false },
		{ "filler, on time", 0, true, true, false },
		{ "filler, late", 5000, true, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		Sched__Step lasting = step_def("", SMALL_MILLI, false, 0);
		Sched__Step d = step_def("", SMALL_MILLI, cases[i].filler, 0);
		step_t *st;

		s->now_ms = s->wall_ms = 100000;
		lasting.lasting = true;
		d.count = 2;
		queue_job(s, 1, &lasting);
		s->wall_ms -= cases[i].age_ms;
		st = queue_job(s, 2, &d);
		s->wall_ms += cases[i].age_ms;
		if (cases[i].begun)
			add_running(s, st, 0, add_worker(s, "w"));
		queue_resort(s);
		cr_expect_eq(g_sequence_get(g_sequence_get_begin_iter(
				 s->ready_steps)) == st,
		    cases[i].before, "%s", cases[i].what);
		sched_free(s);
	}
}

/* Callers of lasting tasks need them back within this time if there is room. */
#define LASTING_BACK_MS 3000
#define LONG_RUN_MS	20000 /* that the runs beside the gaps take */
#define WORKERS		24    /* so many that three may be kept */

/*
 * Guards against lasting tasks that stay down beside room for them twice over, as it
 * is held for larger tasks that will not fit there for a long time; and against new ones that
 * take it as soon, and then keep it.
 */
Test(room, a_lasting_task_is_not_kept_waiting_by_held_room)
{
	static const struct {
		const char *what;
		int gaps; /* workers with room for one task */
		int32_t tasks, starts;
		bool is_new; /* they had no run */
	} cases[] = {
		{ "two gaps", 2, 1, 1, false },
		{ "three gaps", 3, 1, 1, false },
		{ "one is left to the larger task", 3, 3, 2, false },
		{ "the only one is", 1, 1, 0, false },
		{ "two gaps, a new one", 2, 1, 0, true },
		{ "three gaps, new ones", 3, 3, 0, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		Sched__Step lasting = step_def("", SMALL_MILLI, false, 0);
		Sched__Step running =
		    step_def("", WORKER_CPU_MILLI - SMALL_MILLI, false, 0);
		Sched__Step large = step_def("", WORKER_CPU_MILLI, false, 0);
		int kept = 0;
		step_t *st;

		lasting.lasting = true;
		lasting.count = cases[i].tasks;
		large.count = cases[i].gaps;
		large.estimate_ms = running.estimate_ms = LONG_RUN_MS;
		for (int k = 0; k < WORKERS; k++) {
			g_autofree char *id = g_strdup_printf("w%d", k);
			worker_t *w = add_worker(s, id);

			if (k >= cases[i].gaps)
				w->used_cpu_milli = WORKER_CPU_MILLI;
			else
				run_set_state(s,
				    add_run(s, queue_job(s, 10 + k, &running),
					0, w),
				    RUN_RUNNING);
		}
		queue_job(s, 2, &large);
		advance(s);
		for (guint k = 0; k < s->worker_list->len; k++)
			kept +=
			    ((worker_t *)g_ptr_array_index(s->worker_list, k))
				->kept_round == s->scan.round;
		cr_assert_eq(
		    kept, cases[i].gaps, "%s: %d kept", cases[i].what, kept);
		st = queue_job(s, 3, &lasting);
		for (int k = 0; k < cases[i].tasks; k++)
			st->tasks[k].last_run_number = !cases[i].is_new;
		for (int64_t end_ms = s->now_ms + LASTING_BACK_MS;
		     s->now_ms < end_ms;)
			advance(s);
		cr_expect_eq(lasting.count - st->nwaiting, cases[i].starts,
		    "%s: %d of %d started", cases[i].what,
		    lasting.count - st->nwaiting, cases[i].starts);
		for (int64_t end_ms = s->now_ms + LASTING_BACK_MS;
		     cases[i].is_new && s->now_ms < end_ms;)
			advance(s);
		cr_expect(!cases[i].is_new || st->nwaiting < lasting.count,
		    "%s: none started", cases[i].what);
		sched_free(s);
	}
}
