/*
 * Policies of the scheduler.  The comment on each test names the situation or
 * the fault that it guards against.
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

#define JOB_A "0000000000000001"
#define JOB_B "0000000000000002"

/* A gang with a limit per worker, on few workers with enough resources. */
Test(sched, a_gang_respects_per_worker)
{
	static const struct {
		int32_t per_worker;
		bool placed;
		int32_t most; /* tasks on one worker */
	} cases[] = { { 0, true, 4 }, { 2, true, 2 }, { 1, false, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w[2] = { add_worker(s, "a"), add_worker(s, "b") },
			 *at[4];
		int32_t on[2] = { 0, 0 };
		step_t *st;

		d.count = 4;
		d.gang = true;
		d.per_worker = cases[i].per_worker;
		st = first_step(add_job(s, "0000000000000001", &d, 0));
		cr_expect_eq(place_gang(s, st, at), cases[i].placed,
		    "%d a worker", d.per_worker);
		for (int k = 0; k < 4 && cases[i].placed; k++)
			on[at[k] == w[1]]++;
		cr_expect_leq(MAX(on[0], on[1]), cases[i].most,
		    "%d a worker: %d and %d", d.per_worker, on[0], on[1]);
		sched_free(s);
	}
}

/*
 * Guards against LOST (review/4): a gang whose tasks are best in one rack never started
 * where no rack could take all of them.
 */
Test(sched, a_gang_waits_for_a_rack_only_where_one_can_take_it)
{
	static const struct {
		const char *what;
		int32_t tasks;
		int32_t busy; /* workers of each rack, taken by others */
		int64_t waited_ms;
		bool placed, one_rack;
	} cases[] = {
		{ "a rack has room", 3, 0, 0, true, true },
		{ "it is wider than a rack", 4, 0, 0, true, false },
		{ "it is wider than all racks", 7, 0, 5000, false, false },
		{ "the racks are in use", 3, 1, 0, false, false },
		{ "and have been for long", 3, 1, 2000, true, false },
		{ "there is no room at all", 3, 3, 2000, false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", 40000, false, 0);
		sched_t *s = new_owner();
		worker_t *at[8] = { NULL };
		bool one_rack = true;
		step_t *st;

		d.count = cases[i].tasks;
		d.gang = d.same_rack = true;
		s->now_ms = 10000;
		for (int32_t k = 0; k < 6; k++) {
			char id[8];
			worker_t *w;

			g_snprintf(id, sizeof(id), "w%d", k);
			w = add_worker(s, id);
			w->rack = g_intern_string(k < 3 ? "r1" : "r2");
			if (k % 3 < cases[i].busy)
				w->used_cpu_milli = 60000;
		}
		st = first_step(add_job(s, JOB_A, &d, 0));
		st->passed_over_since_ms = s->now_ms - cases[i].waited_ms;
		cr_expect_eq(place_gang(s, st, at), cases[i].placed, "%s",
		    cases[i].what);
		for (int32_t k = 1; k < d.count && cases[i].placed; k++)
			one_rack = one_rack && at[k]->rack == at[0]->rack;
		cr_expect(!cases[i].placed || one_rack == cases[i].one_rack,
		    "%s", cases[i].what);
		sched_free(s);
	}
}

/* Work of different kinds competes for the same resources. */
Test(sched, queue_orders_steps_by_tier)
{
	static const struct {
		const char *what;
		bool filler, lasting;
		int64_t accepted_ms;
	} cases[] = {
		/* In the order in which they must come. */
		{ "a short request in time", false, false, 10000 },
		{ "a task that lasts", false, true, 0 },
		{ "batch work in time", true, false, 10000 },
		{ "batch work that is late", true, false, 6500 },
		{ "batch work past the late limit", true, false, 0 },
	};
	sched_t *s = new_sched();
	step_t *st[G_N_ELEMENTS(cases)];
	GSequenceIter *it;

	s->wall_ms = 10000;
	for (size_t i = G_N_ELEMENTS(cases); i-- > 0;) {
		Sched__Step d = step_def("", 1000, cases[i].filler, 0);
		g_autofree char *id = g_strdup_printf("%016zu", i);

		d.lasting = cases[i].lasting;
		st[i] = first_step(add_job(s, id, &d, cases[i].accepted_ms));
		st[i]->ready = true;
		queue_add_step(s, st[i]);
	}
	it = g_sequence_get_begin_iter(s->ready_steps);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cr_expect_eq(g_sequence_get(it), st[i], "%s", cases[i].what);
		it = g_sequence_iter_next(it);
	}
	sched_free(s);
}

/* A worker turns slow, although its tasks still complete. */
Test(sched, a_slow_worker_is_detected_by_progress)
{
	static const struct {
		int32_t percent; /* of each of four 1 s tasks after 4 s */
		bool slow;
	} cases[] = { { 5, true }, { 25, true }, { 60, false }, { 99, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		worker_t *w = add_worker(s, "w");
		Sched__Step d = step_def("", 1000, false, 0);
		sched_running_t run[4];
		char names[4][64];
		sched_report_t report = { .clock_ms = 1,
			.started_ms = 1,
			.running = run,
			.nrunning = 4 };

		s->cell.state = CELL_OWNED;
		for (int k = 0; k < 4; k++) {
			g_autofree char *id = g_strdup_printf("%016d", k);

			add_job(s, id, &d, 0);
			g_snprintf(names[k], sizeof(names[k]), "%s.0.0.0", id);
			run[k] = (sched_running_t){
				.task = names[k], .run = 1, .checkpoint = ""
			};
		}
		s->now_ms = 1000;
		report_apply(s, w, &report, 900);
		s->now_ms = 5000;
		for (int k = 0; k < 4; k++)
			run[k].percent = cases[i].percent;
		report_apply(s, w, &report, 4900);
		straggler_report(s, w);
		cr_expect_eq(
		    w->slow, cases[i].slow, "%d percent", cases[i].percent);
		sched_free(s);
	}
}

/*
 * A worker has a run of a job that is not known any more, and whose needs are
 * not either: nothing is started there until the run is gone.
 */
Test(sched, no_start_beside_a_run_whose_needs_are_unknown)
{
	sched_t *s = new_owner();
	worker_t *w = add_worker(s, "w");
	sched_running_t run = {
		.task = "0000000000000009.0.0.0", .run = 1, .checkpoint = ""
	};
	sched_report_t report = {
		.clock_ms = 1, .started_ms = 1, .running = &run, .nrunning = 1
	};
	Sched__Step d = step_def("", 1000, false, 0);
	step_t *st;
	run_t *r;

	s->now_ms = 1000;
	report_apply(s, w, &report, 900);
	st = first_step(add_job(s, "0000000000000001", &d, 0));
	st->ready = true;
	queue_add_step(s, st);
	start_waiting_tasks(s);
	cr_expect_eq(s->stats.starts, 0);
	cr_expect_eq(s->stats.stops, 1);
	r = g_hash_table_lookup(w->runs, run.task);
	cr_assert_not_null(r);
	r->order_pending = false;
	r->stop_acked_ms = s->now_ms = 1100;
	report.nrunning = 0;
	report_apply(s, w, &report, 1200);
	start_waiting_tasks(s);
	cr_expect_eq(s->stats.starts, 1);
	sched_free(s);
}

/*
 * A worker reports a run whose job's row has not been read yet, then the row
 * is read, then the run ends: the task is done.
 */
Test(sched, a_run_that_is_known_before_its_job_ends)
{
	sched_t *s = new_owner();
	worker_t *w = add_worker(s, "w");
	sched_running_t run = {
		.task = "0000000000000001.0.0.0", .run = 1, .checkpoint = ""
	};
	sched_ended_t end = { .seq = 1,
		.task = run.task,
		.run = 1,
		.outcome = SCHED_RUN_DONE,
		.checkpoint = "" };
	sched_report_t report = {
		.clock_ms = 1, .started_ms = 1, .running = &run, .nrunning = 1
	};
	Sched__Step d = step_def("", 1000, false, 0);
	job_t *j;

	s->now_ms = 1000;
	report_apply(s, w, &report, 900);
	j = add_job(s, "0000000000000001", &d, 0);
	report.nrunning = 0;
	report.ended = &end;
	report.nended = 1;
	report_apply(s, w, &report, 950);
	cr_expect_eq(j->end_state, SCHED__STATE__COMPLETED);
	cr_expect_neq(j->stage, JOB_OPEN);
	cr_expect_eq(g_hash_table_size(w->runs), 0);
	sched_free(s);
}

/*
 * A new owner learns that a task of the first of three steps still runs: no
 * earlier owner can have started the later ones, unless two runs of the task
 * may exist, of which it may know the other as done.
 */
Test(sched, a_running_task_shows_that_later_steps_have_not_started)
{
	static const struct {
		const char *name;
		bool duplicates, may_start;
	} cases[] = {
		{ "one run of a task", false, true },
		{ "two runs may exist", true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		int32_t after[] = { 0, 1 };
		Sched__Step d[3], *steps[] = { &d[0], &d[1], &d[2] };
		sched_running_t run = { .task = "0000000000000001.0.0.0",
			.run = 1,
			.checkpoint = "" };
		sched_report_t report = { .clock_ms = 1,
			.started_ms = 1,
			.running = &run,
			.nrunning = 1 };
		step_t *st;
		job_t *j;

		for (size_t k = 0; k < 3; k++) {
			d[k] = step_def("", 1000, false, 0);
			d[k].n_after = k == 0 ? 0 : 1;
			d[k].after = k == 0 ? NULL : &after[k - 1];
		}
		d[0].duplicates = cases[i].duplicates;
		j = add_job_of(s, "0000000000000001", steps, 3, 0);
		j->maybe_started_before = true;
		s->cell.workers_accounted = false;
		st = first_step(j);
		for (int k = 1; k < 3; k++)
			cr_expect_eq(ownership_may_start_step(s, &st[k]), false,
			    "%s, before, step %d", cases[i].name, k);
		s->now_ms = 1000;
		report_apply(s, w, &report, 900);
		for (int k = 1; k < 3; k++)
			cr_expect_eq(ownership_may_start_step(s, &st[k]),
			    cases[i].may_start, "%s, step %d", cases[i].name,
			    k);
		sched_free(s);
	}
}

/*
 * Guards against two runs of a task of a later step: the end of a task of the first step
 * has been lost after later steps were started, so that it runs again.  It then shows
 * nothing of these.
 */
Test(sched, a_task_that_runs_again_shows_nothing_of_later_steps)
{
	static const struct {
		const char *name;
		int32_t done;	      /* of the two tasks of the second step */
		const char *reported; /* a run of a later step, or NULL */
		int32_t step;	      /* of which tasks may run unseen */
	} cases[] = {
		{ "the second step is done", 2, NULL, 2 },
		{ "a task of it is done", 1, NULL, 1 },
		{ "a task of it runs", 0, "0000000000000001.0.1.0", 1 },
		{ "a task of the third step runs", 0, "0000000000000001.0.2.0",
		    2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int32_t after[] = { 0, 1 };
		Sched__Step d[3], *steps[] = { &d[0], &d[1], &d[2] };
		/* In either order. */
		sched_running_t runs[][2] = {
			{ { .task = "0000000000000001.0.0.0",
			      .run = 1,
			      .checkpoint = "" },
			    { .task = cases[i].reported,
				.run = 1,
				.checkpoint = "" } },
			{ { .task = cases[i].reported,
			      .run = 1,
			      .checkpoint = "" },
			    { .task = "0000000000000001.0.0.0",
				.run = 1,
				.checkpoint = "" } }
		};

		for (size_t k = 0; k < 3; k++) {
			d[k] = step_def("", 1000, false, 0);
			d[k].count = 2;
			d[k].n_after = k == 0 ? 0 : 1;
			d[k].after = k == 0 ? NULL : &after[k - 1];
		}
		for (size_t order = 0; order < 2; order++) {
			sched_t *s = new_owner();
			worker_t *w = add_worker(s, "w");
			sched_report_t report = { .clock_ms = 1,
				.started_ms = 1,
				.running = runs[order],
				.nrunning = 2 };
			step_t *st;
			job_t *j;

			if (cases[i].reported == NULL) {
				report.running = runs[0];
				report.nrunning = 1;
			}
			j = add_job_of(s, "0000000000000001", steps, 3, 0);
			j->maybe_started_before = true;
			s->cell.workers_accounted = false;
			st = first_step(j);
			for (int32_t n = 0; n < cases[i].done; n++)
				job_mark_task_done(&st[1].tasks[n]);
			s->now_ms = 1000;
			report_apply(s, w, &report, 900);
			cr_expect_not(
			    ownership_may_start_step(s, &st[cases[i].step]),
			    "%s, order %d", cases[i].name, (int)order);
			sched_free(s);
		}
	}
}

/*
 * A worker fails all that it is given: after a few failures that tasks do not
 * explain it is tried with one task at a time.  Each letter is a run that ends:
 * the job's letter if it failed, '.' if it was done.
 */
Test(sched, a_worker_that_fails_tasks_is_tried_with_one)
{
	static const struct {
		const char *ends;
		bool suspect;
	} cases[] = { { "a", false }, { "aaaaaaa", false }, { "ab", false },
		{ "abc", true }, { "aba", true }, { "ab.c", false },
		{ "abc.", false }, { "abcd", true }, { "aaab", false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		worker_t *w = add_worker(s, "w");
		Sched__Step d = step_def("", 1000, false, 0);
		job_t *jobs[4];

		for (int k = 0; k < 4; k++) {
			g_autofree char *id = g_strdup_printf("%016d", k);

			jobs[k] = add_job(s, id, &d, 0);
		}
		s->cell.state = CELL_OWNED;
		s->now_ms = 1000;
		for (const char *e = cases[i].ends; *e != '\0'; e++)
			if (*e == '.')
				suspect_run_done(s, w);
			else
				suspect_run_failed(s, w,
				    &first_step(jobs[*e - 'a'])->tasks[0]);
		cr_expect_eq(
		    w->suspect, cases[i].suspect, "ends %s", cases[i].ends);
		cr_expect_eq(cell_worker_usable(s, w), !cases[i].suspect,
		    "ends %s", cases[i].ends);
		/* After the back-off: one task, and no second one. */
		s->now_ms += 10000;
		cr_expect(cell_worker_usable(s, w), "ends %s", cases[i].ends);
		run_new(s, "0000000000000000.0.0.0", w, 1);
		suspect_run_started(
		    s, g_hash_table_lookup(w->runs, "0000000000000000.0.0.0"));
		cr_expect_eq(cell_worker_usable(s, w), !cases[i].suspect,
		    "ends %s", cases[i].ends);
		sched_free(s);
	}
}

static int claims;

static void
count_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	(void)ctx;
	(void)version;
	(void)owner;
	claims++;
}

/* Number of claims by an entry that sees this owner row unchanged for ms. */
static int
count_claims(Sched__Owner *owner, int32_t claim_delay_ms, int64_t ms)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore_event, .claim = count_claim } };
	sched_t *s = sched_new(&o);
	uint8_t b[64];
	sched_row_t row = { .key = SCHED_KEY_OWNER, .version = 5, .bytes = b };

	row.nbytes = sched__owner__pack(owner, b);
	claims = 0;
	sched_set_claim_delay(s, claim_delay_ms);
	for (int64_t t = 0; t <= ms; t += 50) {
		sched_owner_row_read(s, &row, 1000 + t);
		sched_tick(s, 1000 + t, 0);
	}
	sched_free(s);
	return claims;
}

/*
 * The owner dies: an entry with little capacity, which has a claim delay, must
 * leave the cell to others.
 */
Test(sched, an_entry_with_a_claim_delay_claims_later)
{
	static const struct {
		int32_t claim_delay_ms;
		int64_t ms; /* since the row was first seen */
		int claims;
	} cases[] = { { 0, 1100, 0 }, { 0, 1300, 1 }, { 600, 1300, 0 },
		{ 600, 1900, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Owner owner = SCHED__OWNER__INIT;

		owner.name = (char *)"other";
		cr_expect_eq(
		    count_claims(&owner, cases[i].claim_delay_ms, cases[i].ms),
		    cases[i].claims, "case %zu", i);
	}
}

/* A rolling restart: the owner names the entry that is to claim the cell. */
Test(sched, a_released_cell_goes_to_its_successor)
{
	static const struct {
		const char *heir;
		int64_t ms; /* since the row was first seen */
		int claims;
	} cases[] = { { "", 50, 1 }, { "e", 50, 1 }, { "other", 600, 0 },
		{ "other", 800, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Owner owner = SCHED__OWNER__INIT;

		owner.name = (char *)"old";
		owner.released = true;
		owner.heir = (char *)cases[i].heir;
		cr_expect_eq(count_claims(&owner, 0, cases[i].ms),
		    cases[i].claims, "case %zu", i);
	}
}

/*
 * Guards against a weak entry that claims a released cell as early as stronger ones,
 * when the named successor does not (issue 36).
 */
Test(sched, a_released_cell_without_its_successor_goes_to_a_strong_entry)
{
	static const struct {
		int32_t claim_delay_ms;
		int64_t ms; /* since the row was first seen */
		int claims;
	} cases[] = { { 0, 800, 1 }, { 600, 1200, 0 }, { 600, 1400, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Owner owner = SCHED__OWNER__INIT;

		owner.name = (char *)"old";
		owner.released = true;
		owner.heir = (char *)"other";
		cr_expect_eq(
		    count_claims(&owner, cases[i].claim_delay_ms, cases[i].ms),
		    cases[i].claims, "case %zu", i);
	}
}

/*
 * Guards against a weak entry that claims the cell of its own earlier process at
 * once, ahead of stronger ones (issue 36).
 */
Test(sched, a_weak_entry_leaves_the_cell_of_its_earlier_process_to_others)
{
	static const struct {
		int32_t claim_delay_ms;
		int64_t ms; /* since the row was first seen */
		int claims;
	} cases[] = { { 0, 50, 1 }, { 600, 1700, 0 }, { 600, 1900, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Owner owner = SCHED__OWNER__INIT;

		owner.name = (char *)"e";
		owner.incarnation = 1;
		cr_expect_eq(
		    count_claims(&owner, cases[i].claim_delay_ms, cases[i].ms),
		    cases[i].claims, "case %zu", i);
	}
}

static struct {
	uint64_t id;
	size_t nworkers;
	int calls, orders;
	char ticket[16];
} approval;

static void
record_approval_request(void *ctx, const sched_approval_request_t *a)
{
	(void)ctx;
	approval.id = a->id;
	approval.nworkers = a->nworkers;
	approval.calls++;
}

static void
record_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	approval.orders++;
	g_strlcpy(approval.ticket, o->ticket, sizeof(approval.ticket));
}

/* All workers are full, or nothing runs there. */
static void
set_full(sched_t *s, bool full)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		w->used_cpu_milli = full ? w->cpu_milli : 0;
		scan_worker_changed(s, w);
	}
}

/* A queue whose tasks run only on workers that the approval service permits. */
Test(sched, a_task_waits_for_approval_of_its_worker)
{
	static const sched_ticket_t approved[] = { { "b", "t1" } };
	static const struct {
		const char *what;
		bool answered;
		size_t napproved;
		bool full;	  /* the workers, when the answer comes */
		int64_t later_ms; /* from the first pass to the second */
		int orders, calls;
	} cases[] = {
		{ "no answer yet", false, 0, false, 0, 0, 1 },
		{ "one worker approved", true, 1, false, 0, 1, 1 },
		{ "no worker approved", true, 0, false, 0, 0, 1 },
		{ "the ticket holds", true, 1, true, 2500, 1, 1 },
		{ "the ticket has expired", true, 1, true, 2900, 0, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		Sched__Step d = step_def("", 1000, false, 0);
		sched_approval_t a = { approved, cases[i].napproved, 3000 };
		sched_queue_t q = { "q", "s", 0, 2, true };
		job_t *j;

		memset(&approval, 0, sizeof(approval));
		s->opts.port.request_approval = record_approval_request;
		s->opts.port.order = record_order;
		s->cell.state = CELL_OWNED;
		s->cell.workers_accounted = true;
		s->now_ms = 1000;
		add_worker(s, "a");
		add_worker(s, "b");
		sched_set_queues(s, &q, 1, s->now_ms);
		j = add_job(s, "0000000000000001", &d, 0);
		j->needs_approval = true;
		first_step(j)->ready = true;
		queue_add_step(s, first_step(j));
		start_waiting_tasks(s);
		cr_expect_eq(approval.nworkers, 2, "%s", cases[i].what);
		set_full(s, cases[i].full);
		if (cases[i].answered)
			sched_approval_done(s, approval.id, &a, s->now_ms + 40);
		s->now_ms += cases[i].later_ms;
		set_full(s, false);
		scan_begin_round(s);
		start_waiting_tasks(s);
		cr_expect_eq(approval.orders, cases[i].orders, "%s: %d orders",
		    cases[i].what, approval.orders);
		cr_expect_eq(approval.calls, cases[i].calls, "%s: %d calls",
		    cases[i].what, approval.calls);
		if (cases[i].orders > 0)
			cr_expect_str_eq(approval.ticket, "t1");
		sched_free(s);
	}
}

static struct {
	size_t rows, largest_bytes, footprint_rows;
} written;

static void
record_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	written.rows = MAX(written.rows, puts->len);
	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);

		written.largest_bytes =
		    MAX(written.largest_bytes, p->bytes->len);
		written.footprint_rows +=
		    g_str_has_prefix(p->key, SCHED_KEY_FOOTPRINT);
	}
}

/*
 * As many workers as a cell must support appear at once: the footprint has to
 * fit into the rows and transactions of the store.
 */
Test(sched, the_footprint_fits_into_store_rows)
{
	static const struct {
		int workers, writes; /* until all are usable */
	} cases[] = { { 60, 4 }, { 3000, 4 }, { 29000, 4 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		int usable = 0;

		memset(&written, 0, sizeof(written));
		s->opts.port.write = record_write;
		s->cell.state = CELL_OWNED;
		for (int k = 0; k < cases[i].workers; k++) {
			g_autofree char *id = g_strdup_printf("i-%010x", k);

			add_worker(s, id)->footprint_stored = false;
		}
		for (int k = 0; k < cases[i].writes; k++) {
			s->now_ms += 500;
			flush_if_due(s);
			sched_write_done(
			    s, SCHED_WRITE_OK, k + 1, s->now_ms + 5);
		}
		for (guint k = 0; k < s->worker_list->len; k++)
			usable += cell_worker_usable(
			    s, g_ptr_array_index(s->worker_list, k));
		cr_expect_eq(usable, cases[i].workers, "%d of %d are usable",
		    usable, cases[i].workers);
		cr_expect_leq(written.largest_bytes, 65536 * 3 / 4,
		    "%d workers: a row of %zu bytes", cases[i].workers,
		    written.largest_bytes);
		cr_expect_leq(written.rows, 100);
		/* A renewal without changes writes no footprint row again. */
		written.footprint_rows = 0;
		s->now_ms += 500;
		flush_if_due(s);
		cr_expect_eq(written.footprint_rows, 0);
		sched_free(s);
	}
}

static struct {
	int calls;
	size_t jobs, removed;
} purged;

static void
record_purge(void *ctx, const char *const *ids, size_t n)
{
	(void)ctx;
	(void)ids;
	purged.calls++;
	purged.jobs += n;
}

static void
record_removed_rows(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	for (guint i = 0; i < puts->len; i++)
		purged.removed +=
		    g_array_index(puts, sched_put_t, i).bytes == NULL;
}

/*
 * Jobs end all the time, and the store must not fill up.  The progress row is
 * removed last, or the job would count as not started.
 */
Test(sched, rows_of_ended_jobs_are_removed_in_order)
{
	static const struct {
		const char *what;
		int64_t age_ms;
		bool callers_removed, stored;
		size_t asked, removed, kept;
	} cases[] = {
		{ "retention not over", 100000, true, true, 0, 0, 1 },
		{ "retention over", 200000, true, true, 1, 1, 0 },
		{ "removal of callers' rows failed", 200000, false, true, 1, 0,
		    1 },
		{ "the write is in doubt", 200000, true, false, 1, 1, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();

		memset(&purged, 0, sizeof(purged));
		s->opts.ended_retention_ms = 180000;
		s->opts.port.purge = record_purge;
		s->opts.port.write = record_removed_rows;
		s->cell.state = CELL_OWNED;
		s->now_ms = s->cell.confirmed_ms = 1000000;
		for (int f = 0; f < SCHED_NFEEDS; f++)
			s->feed_read_ms[f] = s->now_ms;
		s->wall_ms = 5000000;
		purge_add_ended(
		    s, "0000000000000001", s->wall_ms - cases[i].age_ms);
		purge_tick(s);
		purge_tick(s);
		cr_expect_eq(purged.jobs, cases[i].asked, "%s", cases[i].what);
		sched_purge_done(
		    s, "0000000000000001", cases[i].callers_removed, s->now_ms);
		flush_if_due(s);
		cr_expect_eq(
		    purged.removed, cases[i].removed, "%s", cases[i].what);
		sched_write_done(s,
		    cases[i].stored ? SCHED_WRITE_OK : SCHED_WRITE_IN_DOUBT, 2,
		    s->now_ms);
		cr_expect_eq(g_hash_table_size(s->ended_jobs), cases[i].kept,
		    "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * A worker is unreachable for a while, and its owner dies just after it answers
 * again: the successor must not read in the footprint that no run can exist
 * there.  So no task starts until the row without a lease end is stored.
 */
Test(sched, a_worker_that_answers_again_waits_for_its_row)
{
	static const struct {
		bool answers_again, row_written;
		sched_write_result_t result;
		bool usable;
	} cases[] = {
		{ false, false, SCHED_WRITE_OK, false },
		{ true, false, SCHED_WRITE_OK, false },
		{ true, true, SCHED_WRITE_IN_DOUBT, false },
		{ true, true, SCHED_WRITE_OK, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		worker_t *w = add_worker(s, "w");

		s->opts.port.write = record_write;
		s->cell.state = CELL_OWNED;
		s->cell.workers_accounted = true;
		s->now_ms = 10000;
		sched_store_clock_read(s, s->now_ms, s->now_ms);
		w->lease.sent_ms = 9000;
		w->footprint_stored = false;
		flush_if_due(s);
		sched_write_done(s, SCHED_WRITE_OK, 2, s->now_ms += 5);
		cr_expect(cell_worker_usable(s, w));
		w->missed_polls = 2;
		s->now_ms += 500;
		flush_if_due(s);
		sched_write_done(s, SCHED_WRITE_OK, 3, s->now_ms += 5);
		cr_expect(lease_end_is_stored(w));
		if (cases[i].answers_again)
			w->missed_polls = 0;
		s->now_ms += 500;
		if (cases[i].row_written) {
			flush_if_due(s);
			sched_write_done(s, cases[i].result, 4, s->now_ms += 5);
		}
		cr_expect_eq(
		    cell_worker_usable(s, w), cases[i].usable, "case %zu", i);
		sched_free(s);
	}
}

static int64_t ack_seq; /* of the last poll */

static void
record_ack(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	ack_seq = p->ended_ack_seq;
}

/*
 * A poll is given up because a start beside it had no answer.  The worker may
 * have restarted under the same id, numbering its ended runs anew: the next poll
 * must not make it forget any.
 */
Test(sched, a_poll_after_one_given_up_acknowledges_nothing)
{
	static const struct {
		bool in_flight, answered;
		int64_t ack_seq;
	} cases[] = { { false, false, 8 }, { true, false, 0 },
		{ true, true, 8 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		sched_report_t report = { .clock_ms = 1, .started_ms = 1 };

		s->opts.port.poll = record_ack;
		s->write_pending = true;
		s->now_ms = 10000;
		w->started_ms = 1;
		w->ended_seq = w->ended_stored_seq = 8;
		w->poll_id = cases[i].in_flight ? 7 : 0;
		poll_abandon(s, w);
		poll_tick(s);
		if (cases[i].answered) {
			sched_poll_done(s, w->poll_id, "w", SCHED_ORDER_OK,
			    &report, s->now_ms);
			poll_tick(s);
		}
		cr_expect_eq(ack_seq, cases[i].ack_seq, "case %zu", i);
		sched_free(s);
	}
}

/*
 * A worker that the last owner could not reach has not answered the new one
 * either: the first flush must not make it count as accounted for before its
 * lease has ended, as a run may be there.
 */
Test(sched, a_flush_does_not_account_for_an_unreachable_worker)
{
	static const struct {
		const char *what;
		int64_t lease_end_in_ms; /* as stored; 0: it is extended */
		bool answers, accounted;
	} cases[] = {
		{ "its lease is extended", 0, false, false },
		{ "its lease ends later", 3000, false, false },
		{ "its lease has ended", -3000, false, true },
		{ "it answers", 3000, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");

		s->opts.port.write = record_write;
		s->now_ms = s->cell.row_read_ms = 10000;
		sched_store_clock_read(s, s->now_ms, s->now_ms);
		s->cell.row_read = true;
		s->cell.workers_accounted = false;
		s->cell.old_leases = ENDS_AT(15000);
		w->has_answered = cases[i].answers;
		w->footprint_flush = 1;
		cr_assert(lease_read_stored(w,
		    cases[i].lease_end_in_ms == 0 ?
			0 :
			s->now_ms + cases[i].lease_end_in_ms));
		w->lease.sent_ms = 9990;
		flush_if_due(s);
		sched_write_done(s, SCHED_WRITE_OK, 2, s->now_ms + 5);
		ownership_tick(s);
		cr_expect_eq(s->cell.workers_accounted, cases[i].accounted,
		    "%s", cases[i].what);
		sched_free(s);
	}
}

/* A worker's capacity shrinks below what runs there, and grows again. */
Test(sched, no_start_over_a_capacity_that_shrank)
{
	static const struct {
		const char *what;
		int64_t cpu_milli, mem_mb;
		bool filler;
		int starts;
	} cases[] = {
		{ "room for it", 64000, 256000, false, 1 },
		{ "processors", 20000, 256000, false, 0 },
		{ "processors, for a filler", 20000, 256000, true, 0 },
		{ "memory", 64000, 1500, false, 0 },
		{ "memory, for a filler", 64000, 1500, true, 0 },
		{ "nothing is left", 0, 0, true, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		sched_worker_info_t info = { .id = "w",
			.service = "s",
			.address = "a:1",
			.zone = "z",
			.rack = "r",
			.cpu_milli = cases[i].cpu_milli,
			.mem_mb = cases[i].mem_mb,
			.started_ms = 1 };
		Sched__Step d = step_def("", 20000, false, 0);
		step_t *first = first_step(add_job(s, JOB_A, &d, 0)), *st;

		run_start(s, &first->tasks[0], w, 1);
		sched_worker_listed(s, &info, 1000);
		d.filler = cases[i].filler;
		st = first_step(add_job(s, JOB_B, &d, 0));
		st->ready = true;
		queue_add_step(s, st);
		start_waiting_tasks(s);
		cr_expect_eq(
		    st->nwaiting, 1 - cases[i].starts, "%s", cases[i].what);
		info.cpu_milli = 64000;
		info.mem_mb = 256000;
		sched_worker_listed(s, &info, 2000);
		scan_begin_round(s);
		start_waiting_tasks(s);
		cr_expect_eq(st->nwaiting, 0, "%s: grown", cases[i].what);
		sched_free(s);
	}
}

/*
 * The owner's row was last written long ago, and this entry's claim has failed:
 * the number of waiting jobs in the row is as old as before.
 */
Test(sched, a_failed_claim_does_not_renew_the_count_of_waiting_jobs)
{
	static const struct {
		const char *what;
		int64_t age_ms; /* of the row, when the claim fails */
		bool claims;
		/* When its jobs were counted, before it was seen; 0: unknown. */
		int64_t counted_ms;
		int32_t count;
	} cases[] = {
		{ "a new row", 500, false, 0, 3 },
		{ "an old row", 5000, false, 0, -1 },
		{ "an old row and a claim", 5000, true, 0, -1 },
		{ "a new row that tells when", 500, false, 100, 3 },
		{ "a row that was written late", 500, false, 5000, -1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		Sched__Waiting waiting = SCHED__WAITING__INIT,
			       *list[] = { &waiting };
		Sched__Owner o = SCHED__OWNER__INIT;
		uint8_t bytes[256];
		sched_row_t row = {
			.key = SCHED_KEY_OWNER, .version = 5, .bytes = bytes
		};

		waiting.queue = "q";
		waiting.jobs = 3;
		o.name = "other";
		o.epoch = 1;
		o.waiting = list;
		o.n_waiting = 1;
		s->store_clock_offset_ms = 70000;
		if (cases[i].counted_ms != 0)
			o.counted_ms = 80000 - cases[i].counted_ms;
		row.nbytes = sched__owner__pack(&o, bytes);
		for (int64_t ms = 0; ms <= cases[i].age_ms; ms += 500)
			sched_owner_row_read(s, &row, 10000 + ms);
		if (cases[i].claims) {
			s->cell.state = CELL_CLAIMING;
			sched_claim_done(s, SCHED_WRITE_IN_DOUBT, 0,
			    10000 + cases[i].age_ms);
		}
		cr_expect_eq(
		    sched_waiting_jobs(s, "q", 10000 + cases[i].age_ms + 100),
		    cases[i].count, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against a count of waiting jobs that is older than the other entries take it
 * for (MIXED): the owner had counted them in a list of jobs that was old itself.
 */
Test(sched, the_count_of_waiting_jobs_is_as_old_as_the_list_of_jobs)
{
	static const struct {
		int64_t list_age_ms; /* when the owner writes its row */
		int64_t row_age_ms;
		int32_t count;
	} cases[] = {
		{ 0, 100, 1 },
		{ 0, 3000, 1 },
		{ 1500, 1500, 1 },
		{ 1500, 2500, -1 },
		{ 1900, 3400, -1 },
		{ 2100, 100, -1 },
	};
	static const int64_t written_ms = 10000, offset_ms = 70000;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *owner = new_owner(), *other = new_sched();
		Sched__Step d = step_def("a", 1000, false, 0);
		sched_row_t row = { .key = SCHED_KEY_OWNER, .version = 5 };
		GByteArray *b;

		owner->opts.name = "owner";
		owner->now_ms = written_ms;
		owner->store_clock_offset_ms = other->store_clock_offset_ms =
		    offset_ms;
		sched_feed_read(
		    owner, SCHED_FEED_JOBS, written_ms - cases[i].list_age_ms);
		add_job(owner, JOB_A, &d, 0);
		b = ownership_pack_row(owner, false);
		row.bytes = b->data;
		row.nbytes = b->len;
		for (int64_t ms = 0; ms <= cases[i].row_age_ms; ms += 100)
			sched_owner_row_read(other, &row, written_ms + ms);
		cr_expect_eq(sched_waiting_jobs(
				 other, "q", written_ms + cases[i].row_age_ms),
		    cases[i].count, "case %zu", i);
		g_byte_array_unref(b);
		sched_free(owner);
		sched_free(other);
	}
}

static int64_t poll_deadline_ms; /* of the last poll */

static void
record_deadline(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	poll_deadline_ms = p->deadline_ms;
}

/*
 * A worker with a run answers again after its owner has stored when its lease
 * ends, and the owner may be cut off from the store by now: its successor goes by
 * the stored time, so the lease is not extended before that is withdrawn.
 */
Test(sched, a_lease_whose_end_is_stored_is_not_extended)
{
	static const struct {
		const char *what;
		bool missed; /* a poll, so that the end is stored */
		bool stored; /* a flush after it answered again */
		bool extended;
	} cases[] = {
		{ "it answers all the time", false, false, true },
		{ "the end of its lease is stored", true, false, false },
		{ "that is withdrawn", true, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		Sched__Step d = step_def("", 1000, false, 0);
		step_t *st = first_step(add_job(s, JOB_A, &d, 0));
		sched_running_t run = {
			.task = JOB_A ".0.0.0", .run = 1, .checkpoint = ""
		};
		sched_report_t report = { .clock_ms = 1000,
			.started_ms = 1,
			.running = &run,
			.nrunning = 1 };

		s->opts.port.poll = record_deadline;
		s->opts.port.write = record_write;
		s->now_ms = s->cell.confirmed_ms = 10000;
		sched_store_clock_read(s, s->now_ms, s->now_ms);
		report_apply(s, w, &report, 9990);
		run_start(s, &st->tasks[0], w, 1);
		flush_if_due(s);
		sched_write_done(s, SCHED_WRITE_OK, 2, s->now_ms += 5);
		w->missed_polls = cases[i].missed;
		s->now_ms += 500;
		flush_if_due(s);
		sched_write_done(s, SCHED_WRITE_OK, 3, s->now_ms += 5);
		report.clock_ms = 1500;
		report_apply(s, w, &report, s->now_ms - 5);
		flush_if_due(s);
		if (cases[i].stored)
			sched_write_done(s, SCHED_WRITE_OK, 4, s->now_ms += 5);
		w->next_poll_ms = 0;
		poll_soon(s, w);
		poll_tick(s);
		cr_expect_eq(poll_deadline_ms > 0, cases[i].extended, "%s",
		    cases[i].what);
		sched_free(s);
	}
}
