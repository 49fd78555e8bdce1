/*
 * What is reserved for work that has been passed over, and what may start beside it.
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

#define NOW_MS	       100000
#define LATE_MS	       60000 /* a job accepted so long ago is past its late limit */
#define PASSED_OVER_MS 10000 /* as in reservation.c */
#define LASTING_MS     3500  /* the same of lasting steps */
#define LARGE_MILLI    40000 /* of the 64000 of a worker */
#define RUNNING_MILLI  30000

static sched_t *
owner_of(int n)
{
	sched_t *s = new_owner();

	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("w%d", i);

		add_worker(s, id);
	}
	s->now_ms = s->wall_ms = NOW_MS;
	return s;
}

static worker_t *
worker(sched_t *s, guint i)
{
	return g_ptr_array_index(s->worker_list, i);
}

static step_t *
queue_job(sched_t *s, int number, const Sched__Step *d, int64_t age_ms)
{
	g_autofree char *id = g_strdup_printf("%016d", number);
	step_t *st = first_step(add_job(s, id, d, s->wall_ms - age_ms));

	st->ready = true;
	queue_add_step(s, st);
	return st;
}

/* A run that ends by itself, on a worker. */
static run_t *
run_on(sched_t *s, worker_t *w, int number, int64_t milli)
{
	Sched__Step d = step_def("", milli, false, 0);
	step_t *st = queue_job(s, number, &d, 0);

	queue_remove_step(st);
	return add_running(s, st, 0, w);
}

/* A pass in a new round, after a while. */
static void
next_round(sched_t *s, int64_t after_ms)
{
	s->now_ms += after_ms;
	s->wall_ms += after_ms;
	queue_resort(s);
	scan_begin_round(s);
	start_waiting_tasks(s);
}

/* Whether something on a worker is reserved for a step. */
static bool
has_on(const sched_t *s, const worker_t *w, const step_t *st)
{
	return reservation_on(s, w) && w->kept_for == st;
}

/* Guards against reservations that are taken, or that keep off what does no harm. */
Test(reservation, what_leaves_room_starts_beside)
{
	static const struct {
		const char *what;
		int64_t cpu_milli, mem_mb;
		bool filler;
		int32_t tasks, starts;
	} cases[] = {
		{ "fits beside", 24000, 1000, false, 1, 1 },
		{ "does not", 24001, 1000, false, 1, 0 },
		{ "two do not", 13000, 1000, false, 2, 1 },
		{ "a filler takes only memory", 30000, 1000, true, 1, 1 },
		{ "which is reserved too", 1000, 100000, true, 1, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(1);
		Sched__Step large = step_def("", LARGE_MILLI, false, 0);
		Sched__Step other =
		    step_def("", cases[i].cpu_milli, cases[i].filler, 0);
		step_t *st;

		large.mem_mb = 200000;
		run_on(s, worker(s, 0), 1, RUNNING_MILLI);
		queue_job(s, 2, &large, LATE_MS);
		next_round(s, 0);
		next_round(s, PASSED_OVER_MS);
		other.count = cases[i].tasks;
		other.mem_mb = cases[i].mem_mb;
		st = queue_job(s, 3, &other, 0);
		next_round(s, 1);
		cr_expect_eq(other.count - st->nwaiting, cases[i].starts,
		    "%s: %d", cases[i].what, other.count - st->nwaiting);
		sched_free(s);
	}
}

/* Guards against reservations for what could not start, or in another order. */
Test(reservation, the_longest_wait_has_it)
{
	static const struct {
		const char *what;
		int64_t first_ms, second_ms; /* that the steps have waited */
		bool lasting;		     /* the second is */
		int has;		     /* 0: none, 1 or 2 */
	} cases[] = {
		{ "the first came first", 12000, 11000, false, 1 },
		{ "the second", 11000, 12000, false, 2 },
		{ "a lasting one goes first", 12000, 4000, true, 2 },
		{ "not after a short wait", 9000, 3000, true, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(1);
		Sched__Step d = step_def("", LARGE_MILLI, false, 0);
		step_t *first, *second;

		run_on(s, worker(s, 0), 1, RUNNING_MILLI);
		first = queue_job(s, 2, &d, LATE_MS);
		d.lasting = cases[i].lasting;
		second = queue_job(s, 3, &d, LATE_MS);
		next_round(s, 0);
		first->passed_over_since_ms = s->now_ms - cases[i].first_ms;
		second->passed_over_since_ms = s->now_ms - cases[i].second_ms;
		scan_begin_round(s);
		cr_expect_eq(has_on(s, worker(s, 0), first), cases[i].has == 1,
		    "%s: first", cases[i].what);
		cr_expect_eq(has_on(s, worker(s, 0), second), cases[i].has == 2,
		    "%s: second", cases[i].what);
		sched_free(s);
	}
}

/* Guards against a reservation that moves on whenever another worker looks better. */
Test(reservation, it_stays_on_its_worker)
{
	sched_t *s = owner_of(2);
	Sched__Step large = step_def("", LARGE_MILLI, false, 0);
	step_t *st;
	run_t *r = run_on(s, worker(s, 0), 1, RUNNING_MILLI);

	s->now_ms += PASSED_OVER_MS / 2;
	run_on(s, worker(s, 1), 2, RUNNING_MILLI)->state_since_ms =
	    s->now_ms + PASSED_OVER_MS;
	st = queue_job(s, 3, &large, LATE_MS);
	next_round(s, 0);
	next_round(s, PASSED_OVER_MS);
	cr_expect(has_on(s, worker(s, 0), st));
	r->state_since_ms = s->now_ms + PASSED_OVER_MS;
	next_round(s, 1);
	cr_expect(has_on(s, worker(s, 0), st));
	run_remove(s, r);
	next_round(s, 1);
	cr_expect_eq(st->nwaiting, 0);
	next_round(s, 1);
	cr_expect_not(reservation_on(s, worker(s, 0)));
	sched_free(s);
}

/* Guards against a gang that has workers reserved in several racks, or too few. */
Test(reservation, a_gang_has_all_its_workers_in_one_rack)
{
	sched_t *s = owner_of(4);
	static const int64_t ends_in_ms[] = { 0, 0, 15000, 30000 };
	Sched__Step gang = step_def("", LARGE_MILLI, false, 0);
	step_t *st;

	gang.gang = gang.same_rack = true;
	gang.count = 2;
	for (guint i = 0; i < 4; i++) {
		worker(s, i)->rack = g_intern_string(i % 2 == 0 ? "a" : "b");
		run_on(s, worker(s, i), (int)i + 1, RUNNING_MILLI)
		    ->state_since_ms = s->now_ms + ends_in_ms[i];
	}
	run_remove(s,
	    g_hash_table_lookup(worker(s, 1)->runs, "0000000000000002.0.0.0"));
	st = queue_job(s, 9, &gang, LATE_MS);
	next_round(s, 0);
	next_round(s, PASSED_OVER_MS);
	for (guint i = 0; i < 4; i++)
		cr_expect_eq(
		    has_on(s, worker(s, i), st), i % 2 == 0, "worker %u", i);
	sched_free(s);
}

/* A large lasting step that waits for a run that soon ends, beside one that doesn't. */
static step_t *
wait_beside_long_run(sched_t *s, int64_t long_left_ms)
{
	Sched__Step d = step_def("", LARGE_MILLI, false, 0);
	Sched__Step beside = step_def("", 20000, false, 0);
	step_t *st;

	beside.estimate_ms = long_left_ms;
	st = queue_job(s, 1, &beside, 0);
	queue_remove_step(st);
	add_running(s, st, 0, worker(s, 0));
	run_on(s, worker(s, 0), 2, 20000)->state_since_ms = s->now_ms + 5000;
	d.lasting = true;
	return queue_job(s, 3, &d, 0);
}

/*
 * Guards against starts in place of a run that is waited for, as a longer one beside
 * it that is not counted as gone too.
 */
Test(reservation, a_long_run_beside_leaves_no_room)
{
	static const int64_t left_ms[] = { 20000, 600000 };

	for (size_t i = 0; i < G_N_ELEMENTS(left_ms); i++) {
		sched_t *s = owner_of(1);
		Sched__Step small = step_def("", 20000, false, 0);
		step_t *st = wait_beside_long_run(s, left_ms[i]);

		next_round(s, 0);
		next_round(s, LASTING_MS);
		cr_assert(has_on(s, worker(s, 0), st));
		st = queue_job(s, 4, &small, 0);
		next_round(s, 1);
		cr_expect_eq(st->nwaiting, 1, "%d", (int)left_ms[i]);
		sched_free(s);
	}
}

/* Guards against a reservation that waits for a run for good that never ends. */
Test(reservation, it_leaves_a_worker_whose_run_does_not_end)
{
	sched_t *s = owner_of(2);
	Sched__Step large = step_def("", LARGE_MILLI, false, 0);
	Sched__Step small = step_def("", RUNNING_MILLI, false, 0);
	step_t *st;
	int n = 10;

	run_on(s, worker(s, 0), 1, RUNNING_MILLI)->state_since_ms =
	    s->now_ms - 60000;
	small.estimate_ms = 2000;
	st = queue_job(s, 3, &large, LATE_MS);
	/* The other worker is kept full by short runs. */
	while (s->now_ms < NOW_MS + 60000 && st->nwaiting > 0) {
		g_autoptr(GList) all =
		    g_hash_table_get_values(worker(s, 1)->runs);

		for (GList *k = all; k != NULL; k = k->next) {
			run_t *r = k->data;

			if (s->now_ms - r->state_since_ms < 2000)
				continue;
			job_mark_task_done(r->task);
			run_remove(s, r);
		}
		if (s->now_ms % 1000 == 0)
			queue_job(s, n++, &small, 0);
		next_round(s, 250);
	}
	cr_expect_eq(st->nwaiting, 0);
	sched_free(s);
}

/* Guards against smaller lasting tasks that take what is reserved for a larger one. */
Test(reservation, lasting_tasks_that_have_waited_leave_it)
{
	sched_t *s = owner_of(1);
	Sched__Step d = step_def("", LARGE_MILLI, false, 0);
	step_t *st;

	d.lasting = true;
	run_on(s, worker(s, 0), 1, RUNNING_MILLI);
	queue_job(s, 2, &d, 0);
	next_round(s, 0);
	next_round(s, LASTING_MS);
	d.cpu_milli = 30000;
	st = queue_job(s, 3, &d, 0);
	next_round(s, 1);
	/* Others are kept with room for it, too. */
	st->kept_with_room = 2;
	st->unplaced_since_ms = s->now_ms - 1500;
	st->tasks[0].last_run_number = 1;
	cr_expect_not(room_allows_start(s, worker(s, 0), &st->tasks[0]));
	sched_free(s);
}

#define HOPELESS 100

/* Guards against steps for which no worker ever has room, and that use up all tries. */
Test(reservation, those_that_cannot_have_one_leave_tries)
{
	sched_t *s = owner_of(2);
	Sched__Step d = step_def("", LARGE_MILLI, false, 0);
	Sched__Step beside = step_def("", RUNNING_MILLI, false, 0);
	step_t *st;

	/* Only lasting tasks run on the worker of the older ones. */
	beside.lasting = true;
	g_ptr_array_add(worker(s, 1)->labels, (void *)"w1");
	st = queue_job(s, 1, &beside, 0);
	queue_remove_step(st);
	add_running(s, st, 0, worker(s, 1));
	run_on(s, worker(s, 0), 2, RUNNING_MILLI);
	d.label = (char *)"w1";
	for (int i = 0; i < HOPELESS; i++)
		queue_job(s, 10 + i, &d, LATE_MS);
	next_round(s, 250);
	d.label = (char *)"";
	st = queue_job(s, 10 + HOPELESS, &d, LATE_MS);
	for (int i = 0; i < 100 && !has_on(s, worker(s, 0), st); i++)
		next_round(s, 250);
	cr_expect(has_on(s, worker(s, 0), st));
	sched_free(s);
}

/*
 * Guards against a task that is stopped to be moved, and then is held as its quota is
 * reserved for another step.
 */
Test(reservation, a_task_moves_only_if_it_may_start_again)
{
	static const bool reserved[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(reserved); i++) {
		sched_t *s = owner_of(1);
		customer_t *c = customer_get(s, "c");
		Sched__Step d = step_def("", LARGE_MILLI, false, 0);
		run_t *r = run_on(s, worker(s, 0), 1, RUNNING_MILLI);
		step_t *st = queue_job(s, 2, &d, 0);

		r->job->customer = st->occ->job->customer = c;
		c->quota.limit.cpu_milli = LARGE_MILLI + RUNNING_MILLI - 1;
		customer_count_run(r, 1);
		scan_begin_round(s);
		if (reserved[i])
			cr_assert(customer_reserve(s, st));
		cr_expect_eq(customer_allows_move(r), !reserved[i]);
		sched_free(s);
	}
}

/* Guards against a step that is passed over by all that come after a try in vain. */
Test(reservation, the_longest_wait_has_it_after_a_try_in_vain)
{
	sched_t *s = owner_of(1);
	Sched__Step d = step_def("", LARGE_MILLI, false, 0);
	run_t *r = run_on(s, worker(s, 0), 1, RUNNING_MILLI);
	step_t *first, *second;

	/* It takes longer than reservations wait. */
	r->state_since_ms = s->now_ms + 1000000;
	first = queue_job(s, 2, &d, LATE_MS);
	next_round(s, 0);
	next_round(s, PASSED_OVER_MS);
	cr_assert_not(has_on(s, worker(s, 0), first));
	r->state_since_ms = s->now_ms - PASSED_OVER_MS;
	second = queue_job(s, 3, &d, LATE_MS);
	next_round(s, 0);
	next_round(s, PASSED_OVER_MS);
	cr_expect(has_on(s, worker(s, 0), first));
	cr_expect_not(has_on(s, worker(s, 0), second));
	sched_free(s);
}
