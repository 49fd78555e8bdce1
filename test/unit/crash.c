/*
 * Tasks that crash the workers that start them, and tasks that merely ran there.
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

#define JOB "0000000000000001"

static int polls; /* sent */

static void
count_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	(void)p;
	polls++;
}

/* An owner with a worker and a job of one task of a step. */
static sched_t *
owner_with_step(worker_t **w, task_t **t, const Sched__Step *d, int64_t now_ms)
{
	sched_t *s = new_owner();

	s->opts.port.poll = count_poll;
	*w = add_worker(s, "w");
	s->now_ms = s->wall_ms = now_ms;
	*t = &first_step(add_job(s, JOB, d, now_ms))->tasks[0];
	return s;
}

static sched_t *
owner_with_job(worker_t **w, task_t **t, int64_t now_ms)
{
	Sched__Step d = step_def("", 1000, false, 0);

	return owner_with_step(w, t, &d, now_ms);
}

/* Starts a run that its worker acknowledges, and is then up for up_ms. */
static run_t *
run_for(sched_t *s, worker_t *w, task_t *t, bool alone, int64_t up_ms)
{
	run_t *r;

	run_start(s, t, w, start_run_number(s, t));
	r = t->run;
	if (alone)
		w->quarantined_run = r;
	run_order_done(s, r, SCHED_ORDER_OK, 0);
	w->answered_ms = s->now_ms + up_ms;
	s->now_ms += up_ms;
	return r;
}

/*
 * Each letter is a run whose worker crashes: a or A soon after the start, l or L
 * later, h after so long that the run did no harm; capitals in quarantine.
 */
Test(crash, a_task_is_given_up_after_crashes_in_quarantine)
{
	static const struct {
		const char *runs;
		bool given_up;
	} cases[] = { { "a", false }, { "aa", false }, { "aA", true },
		{ "lA", false }, { "aL", false }, { "lL", false },
		{ "llL", true }, { "aaA", true }, { "aaaa", false },
		{ "aaaaa", true }, { "ah", false }, { "ahA", false },
		{ "hhhhhh", false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);

		for (const char *c = cases[i].runs; *c != '\0'; c++) {
			bool soon = *c == 'a' || *c == 'A';

			run_for(s, w, t, *c == 'A' || *c == 'L',
			    soon	  ? 10 :
				*c == 'h' ? 40000 :
					    5000);
			crash_worker_replaced(s, w);
			run_worker_lost(s, w, "test");
		}
		cr_expect_eq(
		    t->step->occ->job->end_state == SCHED__STATE__FAILED &&
			t->step->occ->job->stage != JOB_OPEN,
		    cases[i].given_up, "%s", cases[i].runs);
		sched_free(s);
	}
}

/*
 * Guards against a lasting job that is shown as failed though workers crashed for reasons
 * of their own (LOST): it is given up only after two crashes soon after starts in
 * quarantine, one after the other, that are not the first.  Letters as above; p is a run in
 * quarantine that is up and then stopped.
 */
Test(crash, a_lasting_task_is_given_up_only_after_crashes_in_a_row)
{
	static const struct {
		const char *runs;
		bool gang, given_up;
	} cases[] = {
		{ "a", false, false },
		{ "aA", false, false },
		{ "aaA", false, false },
		{ "aaaaa", false, false },
		{ "llL", false, false },
		{ "llllllll", false, false },
		{ "LLLLLLLL", false, false },
		{ "AA", false, false },
		{ "aAA", false, true },
		{ "AAA", false, true },
		{ "lllllA", false, false },
		{ "lllllAA", false, true },
		{ "aApA", false, false },
		{ "aALA", false, false },
		{ "aAhA", false, false },
		{ "aApAA", false, true },
		{ "aa", true, false },
		{ "aaa", true, true },
		{ "llllllll", true, false },
		{ "aala", true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w;
		task_t *t;
		sched_t *s;

		d.lasting = true;
		d.gang = cases[i].gang;
		s = owner_with_step(&w, &t, &d, 100000);
		for (const char *c = cases[i].runs; *c != '\0'; c++) {
			bool soon = *c == 'a' || *c == 'A';
			bool alone = g_ascii_isupper(*c) || *c == 'p';
			run_t *r = run_for(s, w, t, alone,
			    soon	  ? 10 :
				*c == 'h' ? 40000 :
					    5000);

			if (*c == 'p') {
				quarantine_report(s, w);
				run_remove(s, r);
				continue;
			}
			crash_worker_replaced(s, w);
			run_worker_lost(s, w, "test");
		}
		cr_expect_eq(t->step->occ->job->stage != JOB_OPEN,
		    cases[i].given_up, "%s", cases[i].runs);
		sched_free(s);
	}
}

/*
 * Guards against a lasting task that waits until it is proved that its silent worker
 * crashed (LOST), and is given up then: it starts again at once.
 */
Test(crash, a_lasting_task_does_not_wait_for_proof)
{
	static const struct {
		const char *before; /* runs whose workers crashed, as above */
		bool alone;
	} cases[] = { { "a", true }, { "aa", true }, { "ll", true },
		{ "aaaa", false }, { "llll", true } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w;
		task_t *t;
		sched_t *s;

		d.lasting = true;
		s = owner_with_step(&w, &t, &d, 100000);
		for (const char *c = cases[i].before; *c != '\0'; c++) {
			run_for(s, w, t, false, *c == 'a' ? 10 : 5000);
			crash_worker_replaced(s, w);
			run_worker_lost(s, w, "test");
		}
		run_for(s, w, t, cases[i].alone, 10);
		crash_worker_lost(s, w);
		run_worker_lost(s, w, "test");
		cr_expect_leq(t->not_before_ms, s->now_ms, "%s: waits %d ms",
		    cases[i].before, (int)(t->not_before_ms - s->now_ms));
		crash_worker_replaced(s, w);
		cr_expect_eq(
		    t->step->occ->job->stage, JOB_OPEN, "%s", cases[i].before);
		sched_free(s);
	}
}

/*
 * A worker is silent until its lease has expired.  Its runs count as crashed
 * only until it answers again, and nothing is given up without a proof.
 */
Test(crash, a_silent_worker_proves_nothing)
{
	static const struct {
		const char *what;
		bool replaced, answers;
		guint crashes; /* in the end */
		bool given_up;
	} cases[] = {
		{ "silent for good", false, false, 2, false },
		{ "another process", true, false, 2, true },
		{ "it was only cut off", false, true, 1, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		sched_report_t report = { .clock_ms = 1, .started_ms = 1 };

		run_for(s, w, t, false, 10);
		crash_worker_replaced(s, w);
		run_worker_lost(s, w, "test");
		run_for(s, w, t, true, 10);
		crash_worker_lost(s, w);
		run_worker_lost(s, w, "test");
		cr_expect_eq(
		    t->step->occ->job->stage, JOB_OPEN, "%s", cases[i].what);
		cr_expect_gt(t->not_before_ms, s->now_ms, "%s", cases[i].what);
		cr_expect(crash_proof_wanted(s, w), "%s", cases[i].what);
		if (cases[i].replaced)
			crash_worker_replaced(s, w);
		if (cases[i].answers)
			report_apply(s, w, &report, s->now_ms - 5);
		cr_expect_eq(t->crashes->runs->len, cases[i].crashes, "%s",
		    cases[i].what);
		cr_expect_eq(t->step->occ->job->stage != JOB_OPEN,
		    cases[i].given_up, "%s", cases[i].what);
		sched_free(s);
	}
}

/* A suspect task waits for its row and for the runs beside it. */
Test(crash, a_suspect_task_starts_in_quarantine)
{
	static const struct {
		const char *what;
		bool stored;
		int64_t neighbour_up_ms;
		bool starts;
	} cases[] = {
		{ "not stored", false, 5000, false },
		{ "beside a new run", true, 10, false },
		{ "beside a run that is up", true, 5000, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		Sched__Step d = step_def("", 1000, false, 0);
		task_t *other =
		    &first_step(add_job(s, "0000000000000002", &d, 0))
			 ->tasks[0];
		task_t *third =
		    &first_step(add_job(s, "0000000000000003", &d, 0))
			 ->tasks[0];

		run_for(s, w, t, false, 10);
		crash_worker_replaced(s, w);
		run_worker_lost(s, w, "test");
		run_for(s, w, other, false, cases[i].neighbour_up_ms);
		cr_expect_not(quarantine_start(s, t->step, t));
		cr_expect(!quarantine_allows_start(s, w, third), "%s: reserved",
		    cases[i].what);
		if (cases[i].stored)
			t->step->occ->job->rows_stored =
			    ++t->step->occ->job->rows_packed;
		cr_expect_eq(quarantine_start(s, t->step, t), cases[i].starts,
		    "%s", cases[i].what);
		cr_expect(
		    !quarantine_allows_start(s, w, third), "%s", cases[i].what);
		if (cases[i].starts) {
			run_order_done(s, t->run, SCHED_ORDER_OK, 0);
			w->answered_ms = s->now_ms + 3000;
			quarantine_report(s, w);
			cr_expect(quarantine_allows_start(s, w, third));
			cr_expect_not(crash_is_suspect(t) && t->crashes->soon);
		}
		sched_free(s);
	}
}

/*
 * Guards against jobs that are given up without cause: the next run of a suspect task
 * is stored as one whose worker crashed, and the cell is released before its start.
 */
Test(crash, a_release_takes_back_a_run_that_was_not_ordered)
{
	static const struct {
		const char *what;
		bool ordered;
		guint crashes; /* that are counted after the release */
	} cases[] = { { "not ordered", false, 1 }, { "ordered", true, 2 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		job_t *j = t->step->occ->job;

		run_for(s, w, t, false, 10);
		crash_worker_replaced(s, w);
		run_worker_lost(s, w, "test");
		cr_expect_not(quarantine_start(s, t->step, t));
		cr_assert_eq(t->crashes->runs->len, 2);
		j->rows_stored = ++j->rows_packed;
		if (cases[i].ordered)
			cr_assert(quarantine_start(s, t->step, t));
		j->dirty = false;
		g_hash_table_remove_all(s->dirty_jobs);
		quarantine_release(s);
		cr_expect_eq(t->crashes->runs->len, cases[i].crashes, "%s: %u",
		    cases[i].what, t->crashes->runs->len);
		cr_expect_eq(j->dirty, !cases[i].ordered, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * A worker crashes with many runs: other work took each worker between two of them
 * that were tried there, so that the last were tried tens of seconds later.
 */
Test(crash, the_next_suspect_task_follows_at_once)
{
	static const struct {
		const char *what;
		bool ends; /* the first one is done, before it counts as up */
		bool waits;
	} cases[] = {
		{ "another waits, the first is up", false, true },
		{ "another waits, the first has ended", true, true },
		{ "no other waits", false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		Sched__Step d = step_def("", 1000, false, 0);
		task_t *other =
		    &first_step(add_job(s, "0000000000000002", &d, 0))
			 ->tasks[0];
		task_t *third =
		    &first_step(add_job(s, "0000000000000003", &d, 0))
			 ->tasks[0];

		crash_add(t, 1, true);
		crash_add(other, 1, true);
		run_for(s, w, t, true, cases[i].ends ? 10 : 5000);
		w->answered_ms = s->now_ms;
		if (cases[i].waits)
			cr_expect_not(quarantine_start(s, other->step, other));
		if (cases[i].ends)
			run_remove(s, t->run);
		else
			quarantine_report(s, w);
		cr_expect_eq(quarantine_allows_start(s, w, third),
		    !cases[i].waits, "%s", cases[i].what);
		cr_expect(
		    quarantine_allows_start(s, w, other), "%s", cases[i].what);
		s->now_ms += 500;
		cr_expect(
		    quarantine_allows_start(s, w, third), "%s", cases[i].what);
		sched_free(s);
	}
}

/* What is known of a task outlives a change of owner. */
Test(crash, crashes_are_in_the_progress_row)
{
	worker_t *w;
	task_t *t;
	sched_t *s = owner_with_job(&w, &t, 100000);
	g_autoptr(GByteArray) row = NULL;
	Sched__Progress *p;
	job_t *j;
	Sched__Step d = step_def("", 1000, false, 0);

	run_for(s, w, t, false, 10);
	crash_worker_replaced(s, w);
	run_worker_lost(s, w, "test");
	row = progress_pack(t->step->occ->job);
	p = sched_progress_unpack(row->data, row->len);
	cr_assert_not_null(p);
	j = add_job(s, "0000000000000002", &d, 0);
	progress_apply(j, p);
	sched__progress__free_unpacked(p, NULL);
	t = &first_step(j)->tasks[0];
	cr_expect(crash_is_suspect(t));
	cr_expect_eq(t->crashes->runs->len, 1);
	cr_expect_eq(t->last_run_number, 1);
	sched_free(s);
}

/*
 * Guards against a job that fails after one crash ("failed"): a weak owner counted
 * crashes as it could not reach workers; they list the runs to the next owner, which
 * took them back but went on to subtract them as unproved.
 */
Test(crash, an_unproved_crash_is_taken_back_by_the_next_owner)
{
	static const struct {
		const char *what;
		int32_t stored, unproved; /* in the row; the first ones */
		int32_t listed;		  /* of the unproved, later */
		guint crashes;		  /* after one more, proved */
		bool given_up;
	} cases[] = {
		{ "both were cut off", 2, 2, 2, 1, false },
		{ "one of two was cut off", 2, 2, 1, 2, false },
		{ "four are proved", 5, 1, 1, 5, true },
		{ "four are proved, one is open", 5, 1, 0, 6, true },
		{ "three are proved", 4, 1, 1, 4, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		job_t *j = t->step->occ->job;
		g_autoptr(GByteArray) row = NULL;
		Sched__Progress *p;

		for (int32_t k = 0; k < cases[i].stored; k++)
			crash_add(t, k + 1, true);
		t->crashes->unproved = (guint)cases[i].unproved;
		row = progress_pack(j);
		crash_forget(t);
		p = sched_progress_unpack(row->data, row->len);
		progress_apply(j, p);
		sched__progress__free_unpacked(p, NULL);
		for (int32_t k = 0; k < cases[i].listed; k++)
			crash_run_listed(s, t, k + 1);
		run_for(s, w, t, false, 10);
		crash_worker_replaced(s, w);
		run_worker_lost(s, w, "test");
		cr_expect_eq(t->crashes->runs->len, cases[i].crashes, "%s: %u",
		    cases[i].what, t->crashes->runs->len);
		cr_expect_eq(j->stage != JOB_OPEN, cases[i].given_up, "%s",
		    cases[i].what);
		sched_free(s);
	}
}

/* That a crash is proved outlives a change of owner. */
Test(crash, a_proof_is_stored)
{
	worker_t *w;
	task_t *t;
	sched_t *s = owner_with_job(&w, &t, 100000);
	job_t *j = t->step->occ->job;

	run_for(s, w, t, false, 10);
	crash_worker_lost(s, w);
	run_worker_lost(s, w, "test");
	cr_expect_eq(t->crashes->unproved, 1);
	j->dirty = false;
	crash_worker_replaced(s, w);
	cr_expect_eq(t->crashes->unproved, 0);
	cr_expect(j->dirty);
	sched_free(s);
}

/*
 * The answer to a start is lost.  How long the worker answered other calls after
 * that tells if the run can have crashed it at once.
 */
Test(crash, a_start_without_an_answer)
{
	static const struct {
		int64_t
		    answered_ms; /* last, after the order; negative: before */
		bool suspect;
	} cases[] = { { -100, true }, { 100, true }, { 3000, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);

		run_start(s, t, w, start_run_number(s, t));
		run_order_done(s, t->run, SCHED_ORDER_IN_DOUBT, 0);
		w->answered_ms = s->now_ms + cases[i].answered_ms;
		s->now_ms += 4000;
		crash_worker_replaced(s, w);
		run_worker_lost(s, w, "test");
		cr_expect_eq(
		    crash_is_suspect(t), cases[i].suspect, "case %zu", i);
		cr_expect_eq(t->crashes->runs->len, 1, "case %zu", i);
		sched_free(s);
	}
}

/*
 * A worker restarts under its id, and the new process answers an order before a
 * report tells of the restart: that is no sign of life of the old one.
 */
Test(crash, an_answer_of_a_new_process_is_no_sign_of_life)
{
	static const struct {
		int64_t reported_ms; /* last, after the start */
		bool suspect;
	} cases[] = { { 0, true }, { 3000, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		sched_report_t report = { .clock_ms = 1, .started_ms = 2 };
		run_t *r = run_for(s, w, t, false, 0);

		w->reported_ms = r->first_seen_ms + cases[i].reported_ms;
		s->now_ms += 4000;
		w->answered_ms = s->now_ms;
		report_apply(s, w, &report, s->now_ms - 5);
		cr_expect_eq(
		    crash_is_suspect(t), cases[i].suspect, "case %zu", i);
		sched_free(s);
	}
}

/*
 * Guards against lasting tasks that wait in quarantine though they ran for long: their
 * worker starts again under its id soon after a change of the owner.
 */
Test(crash, a_run_of_an_earlier_owner_is_no_suspect_by_a_restart)
{
	static const struct {
		const char *what;
		bool adopted, suspect;
	} cases[] = {
		{ "by an earlier owner", true, false },
		{ "by this one, just before", false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		sched_running_t run = { .task = JOB ".0.0.0",
			.run = 1,
			.checkpoint = "",
			.percent = 100 };
		sched_report_t report = { .clock_ms = 500000,
			.started_ms = 1,
			.running = &run,
			.nrunning = 1 };

		if (!cases[i].adopted) {
			run_for(s, w, t, false, 0);
			run.run = t->last_run_number;
		}
		report_apply(s, w, &report, s->now_ms);
		cr_assert_not_null(t->run);
		s->now_ms += 3000;
		report = (sched_report_t){ .clock_ms = 1, .started_ms = 2 };
		report_apply(s, w, &report, s->now_ms - 5);
		cr_assert_null(t->run);
		cr_expect_eq(
		    crash_is_suspect(t), cases[i].suspect, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * A data centre loses power: its workers stop answering, leave the list, and
 * their leases expire one after the other.  The first to expire is no single
 * crash either.
 */
Test(crash, an_outage_makes_nobody_suspect)
{
	static const struct {
		const char *what;
		int down; /* workers besides the first, of 7 */
		bool listed, suspect;
	} cases[] = {
		{ "one of eight", 0, true, true },
		{ "all, still listed", 7, true, false },
		{ "all, listed no more", 7, false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);
		Sched__Step d = step_def("", 1000, false, 0);

		run_for(s, w, t, false, 10);
		for (int k = 0; k < 7; k++) {
			g_autofree char *id = g_strdup_printf("x%d", k);
			g_autofree char *job = g_strdup_printf("%016d", 50 + k);
			int64_t now_ms = s->now_ms;
			worker_t *o = add_worker(s, id);

			s->now_ms = now_ms;
			run_for(s, o,
			    &first_step(add_job(s, job, &d, 0))->tasks[0],
			    false, 10);
			o->missed_polls = k < cases[i].down ? 3 : 0;
			o->listed = k >= cases[i].down || cases[i].listed;
		}
		w->missed_polls = 3;
		w->listed = cases[i].listed;
		crash_worker_lost(s, w);
		cr_expect_eq(
		    crash_is_suspect(t), cases[i].suspect, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against tasks that wait in quarantine (LOST) as their worker was emptied and has
 * left, which ends the runs that are still there.
 */
Test(crash, a_worker_that_drained_and_left_makes_nobody_suspect)
{
	static const struct {
		const char *what;
		bool draining, suspect;
	} cases[] = {
		{ "it had to leave", true, false },
		{ "it had not", false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w;
		task_t *t;
		sched_t *s = owner_with_job(&w, &t, 100000);

		run_for(s, w, t, false, 10);
		w->draining = cases[i].draining;
		w->missed_polls = 3;
		w->listed = false;
		crash_worker_lost(s, w);
		cr_expect_eq(
		    crash_is_suspect(t), cases[i].suspect, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against lasting tasks that wait in quarantine (LOST): all workers of a data
 * centre crash at once, and others answer in their place one after the other.  Those
 * that are back, and those that have been settled, change nothing for the rest.
 */
Test(crash, an_outage_makes_nobody_suspect_as_its_workers_come_back)
{
	static const struct {
		const char *what;
		int32_t workers;
		bool same_id, suspect;
	} cases[] = {
		{ "eight, back with other ids", 8, false, false },
		{ "eight, back with their ids", 8, true, false },
		{ "two of a data centre", 2, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		worker_t *w[8];
		task_t *t[8];
		sched_t *s = owner_with_job(&w[0], &t[0], 100000);
		Sched__Step d = step_def("", 1000, false, 0);
		sched_report_t report = { .clock_ms = 1, .started_ms = 2 };
		int64_t now_ms = s->now_ms;

		for (int32_t k = 1; k < cases[i].workers; k++) {
			g_autofree char *id = g_strdup_printf("x%d", k);
			g_autofree char *job = g_strdup_printf("%016d", 50 + k);

			w[k] = add_worker(s, id);
			s->now_ms = now_ms;
			t[k] = &first_step(add_job(s, job, &d, 0))->tasks[0];
		}
		for (int32_t k = 0; k < cases[i].workers; k++) {
			w[k]->reported_ms = s->now_ms;
			run_for(s, w[k], t[k], false, 10);
		}
		for (int32_t k = 0; k < cases[i].workers; k++)
			w[k]->missed_polls = 3;
		now_ms = s->now_ms += 3500;
		for (int32_t k = 0; k < cases[i].workers; k++) {
			g_autofree char *id = g_strdup_printf("y%d", k);
			worker_t *back =
			    cases[i].same_id ? w[k] : add_worker(s, id);

			s->now_ms = now_ms + k;
			if (!cases[i].same_id) {
				back->has_answered = false;
				w[k]->listed = false;
				crash_worker_replaced(s, w[k]);
				run_worker_lost(s, w[k], "test");
			}
			report_apply(s, back, &report, s->now_ms);
			cr_expect_eq(crash_is_suspect(t[k]), cases[i].suspect,
			    "%s, worker %d", cases[i].what, k);
		}
		sched_free(s);
	}
}
