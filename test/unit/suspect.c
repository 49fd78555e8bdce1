/*
 * Workers that failed several tasks in a row, and when others start there again.
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

#define BEGIN_MS   100000
#define STEP_MS	   250
#define FAILURES   3	 /* that make a worker suspect */
#define TASK_MILLI 10000 /* of the 64000 of a worker */
#define BACK_MS	   6000	 /* a lasting task is to be back within */

static step_t *
queue_step(sched_t *s, int number, bool lasting)
{
	g_autofree char *id = g_strdup_printf("%016d", number);
	Sched__Step d = step_def("", TASK_MILLI, false, 0);
	step_t *st;

	d.lasting = lasting;
	d.estimate_ms = 60000;
	st = first_step(add_job(s, id, &d, s->wall_ms));
	st->ready = true;
	queue_add_step(s, st);
	return st;
}

/* The worker answers a poll: all its runs are at work. */
static void
answer_poll(sched_t *s, worker_t *w)
{
	g_autofree sched_running_t *runs =
	    g_new0(sched_running_t, g_hash_table_size(w->runs) + 1);
	sched_report_t r = { .clock_ms = s->now_ms,
		.started_ms = w->started_ms,
		.running = runs };
	run_t *run;

	FOREACH_VALUE (run, w->runs) {
		if (run->state == RUN_STARTING)
			run_order_done(s, run, SCHED_ORDER_OK, s->now_ms);
		runs[r.nrunning++] = (sched_running_t){ .task = run->name,
			.run = run->number,
			.percent = 100,
			.checkpoint = "" };
	}
	w->poll_id = 1;
	w->poll_sent_ms = s->now_ms;
	sched_poll_done(s, 1, w->id, SCHED_ORDER_OK, &r, s->now_ms);
}

/*
 * Guards against room that nobody gets: a lasting task is never done, so that a suspect
 * worker which it tries would not take another one for good.
 */
Test(suspect, a_worker_that_a_lasting_task_tries)
{
	static const struct {
		const char *what;
		bool lasting; /* the task that tries it */
		bool starts;  /* another one, in time */
	} cases[] = {
		{ "it lasts", true, true },
		{ "it does not, and has not ended", false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		step_t *first, *other;
		int number = 0;

		s->now_ms = s->wall_ms = s->cell.confirmed_ms = BEGIN_MS;
		s->write_pending = true; /* nothing is written here */
		for (int k = 0; k < FAILURES; k++)
			suspect_run_failed(
			    s, w, &queue_step(s, ++number, false)->tasks[0]);
		cr_assert(w->suspect);
		while (g_sequence_get_length(s->ready_steps) > 0)
			queue_remove_step(g_sequence_get(
			    g_sequence_get_begin_iter(s->ready_steps)));
		first = queue_step(s, ++number, cases[i].lasting);
		other = NULL;
		while (s->now_ms < BEGIN_MS + BACK_MS) {
			s->now_ms += STEP_MS;
			s->wall_ms = s->cell.confirmed_ms = s->now_ms;
			answer_poll(s, w);
			scan_begin_round(s);
			start_waiting_tasks(s);
			if (other == NULL && first->tasks[0].run != NULL)
				other = queue_step(s, ++number, true);
		}
		cr_assert_not_null(
		    other, "%s: nothing tries it", cases[i].what);
		cr_expect_eq(other->tasks[0].run != NULL, cases[i].starts, "%s",
		    cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against room that nobody gets: workers whose lasting tasks failed together, as
 * they may at any time, would take no others for seconds.
 */
Test(suspect, lasting_tasks_that_fail_together)
{
	static const struct {
		const char *what;
		bool lasting;
		int64_t up_ms;
		bool suspect;
	} cases[] = {
		{ "up for long", true, 5000, false },
		{ "just started", true, 500, true },
		{ "they don't last", false, 5000, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		char names[FAILURES][64];
		sched_ended_t ended[FAILURES] = { 0 };
		sched_report_t r = { .started_ms = w->started_ms,
			.ended = ended,
			.nended = FAILURES };

		s->now_ms = s->wall_ms = s->cell.confirmed_ms = BEGIN_MS;
		s->write_pending = true; /* nothing is written here */
		for (int k = 0; k < FAILURES; k++) {
			step_t *st = queue_step(s, k + 1, cases[i].lasting);
			run_t *run = add_running(s, st, 0, w);

			run->first_seen_ms = run->state_since_ms =
			    BEGIN_MS - cases[i].up_ms;
			g_strlcpy(names[k], run->name, sizeof(names[k]));
			ended[k] = (sched_ended_t){ .seq = k + 1,
				.task = names[k],
				.run = run->number,
				.outcome = SCHED_RUN_FAILED,
				.checkpoint = "" };
		}
		r.clock_ms = s->now_ms;
		w->poll_id = 1;
		w->poll_sent_ms = s->now_ms;
		sched_poll_done(s, 1, w->id, SCHED_ORDER_OK, &r, s->now_ms);
		cr_assert_eq(g_hash_table_size(w->runs), 0);
		cr_expect_eq(w->suspect, cases[i].suspect, "%s", cases[i].what);
		sched_free(s);
	}
}
