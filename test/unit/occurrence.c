/*
 * Jobs that repeat: what finished occurrences cost, and how many are open.
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
#include "../../sched/number_set.h"
#include "../../sched/internal.h"
#include "sched_fixture.h"
#include "cell_store.h"

#define JOB_ID	  "00000000000000a1"
#define STEPS_MAX 200
#define TICK_MS	  50
/* Of a row with two numbers, the longer they are. */
#define GROWTH_BYTES 4

typedef struct {
	size_t steps;
	int32_t tasks; /* of each step */
	int32_t repeats;
	int64_t interval_ms;
} shape_t;

/* Adds a job of this shape whose first occurrence is due at once. */
static job_t *
add_repeating(sched_t *s, const shape_t *shape)
{
	Sched__Step st = step_def("", 500, false, 0);
	Sched__Step *steps[STEPS_MAX];
	Sched__Job d;
	const char *why;
	job_t *j;

	st.count = shape->tasks;
	for (size_t i = 0; i < shape->steps; i++)
		steps[i] = &st;
	d = job_def(steps, shape->steps, 0);
	d.repeats = shape->repeats;
	d.interval_ms = shape->interval_ms;
	cr_assert(sched_job_valid(&d, &why), "%s", why);
	j = add_job_def(s, JOB_ID, &d);
	g_ptr_array_add(s->recurring_jobs, j);
	return j;
}

/* Ends all tasks of an occurrence but one of each step, or with all also that. */
static void
end_tasks(occurrence_t *o, bool all)
{
	for (size_t i = 0; i < o->job->def->n_steps; i++)
		for (int32_t k = all ? 0 : 1; k < o->steps[i].ntasks; k++)
			job_mark_task_done(&o->steps[i].tasks[k]);
}

/* Ends all tasks of the occurrences that are due; false if the job has ended. */
static bool
end_due(sched_t *s)
{
	job_t *j = g_hash_table_lookup(s->jobs, JOB_ID);
	bool any = false;

	if (j == NULL || j->stage != JOB_OPEN)
		return false;
	for (guint i = 0; i < j->occs->len; i++) {
		occurrence_t *o = g_ptr_array_index(j->occs, i);

		if (o->due_wall_ms > s->wall_ms)
			continue;
		end_tasks(o, true);
		any = true;
	}
	if (any && j->occs_done >= j->def->repeats)
		run_end_job(s, j, SCHED__STATE__COMPLETED);
	else if (any)
		flush_mark_job(s, j);
	return true;
}

/* The length of the job's progress row; 0 without one. */
static guint
row_bytes(const cell_store_t *c)
{
	const GByteArray *row =
	    g_hash_table_lookup(c->rows, JOB_ID SCHED_KEY_PROGRESS);

	return row == NULL ? 0 : row->len;
}

/*
 * Guards against LOST (review/1): each occurrence that had ended made the row of its
 * job longer, until the store refused it and all that was written with it.
 */
Test(occurrence, a_job_that_repeats_keeps_its_row_short)
{
	static const shape_t cases[] = {
		{ 30, 1, 1000, 150 },
		{ 4, 1, 5000, 60000 },
		{ 200, 1, 150, 1000 },
		{ 1, 1, 20000, 10 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cell_store_t c;
		Sched__Progress *p;
		int64_t now = 1000;
		/* Up to the first tenth of the occurrences, and after it. */
		guint kept[2] = { 0 }, bytes[2] = { 0 };

		cell_store_init(&c);
		add_repeating(c.sched, &cases[i]);
		for (bool goes_on = true; goes_on && c.refused == 0;) {
			job_t *j = g_hash_table_lookup(c.sched->jobs, JOB_ID);

			bool late =
			    j == NULL || j->occs_done > cases[i].repeats / 10;

			kept[late] =
			    MAX(kept[late], j == NULL ? 0 : j->occs->len);
			now += MAX(TICK_MS, cases[i].interval_ms);
			cell_store_tick(&c, now);
			bytes[late] = MAX(bytes[late], row_bytes(&c));
			goes_on = end_due(c.sched);
		}
		cell_store_tick(&c, now + 2 * TICK_MS);
		cr_expect_eq(c.refused, 0, "case %zu: a row of %zu bytes", i,
		    c.longest_row);
		cr_expect_leq(bytes[1], bytes[0] + GROWTH_BYTES,
		    "case %zu: %u bytes, %u later", i, bytes[0], bytes[1]);
		cr_expect_leq(kept[1], kept[0],
		    "case %zu: %u occurrences kept, %u later", i, kept[0],
		    kept[1]);
		p = cell_store_progress(&c, JOB_ID);
		cr_expect(p != NULL && p->state == SCHED__STATE__COMPLETED,
		    "case %zu: completed", i);
		sched__progress__free_unpacked(p, NULL);
		cell_store_clear(&c);
	}
}

/* The next owner of a job reads its row, and knows what is done and what is open. */
Test(occurrence, a_new_owner_knows_what_is_done)
{
	static const shape_t shape = { 3, 2, 1000, 100 };
	cell_store_t c;
	sched_t *next = new_owner();
	Sched__Progress *p;
	job_t *j, *loaded;

	cell_store_init(&c);
	j = add_repeating(c.sched, &shape);
	for (int64_t now = 1000; now < 21000; now += TICK_MS) {
		cell_store_tick(&c, now);
		end_due(c.sched);
	}
	/* One that is open, with some of its tasks done. */
	c.sched->wall_ms = 21000;
	occurrence_add_due(c.sched, j);
	end_tasks(g_ptr_array_index(j->occs, j->occs->len - 1), false);
	flush_mark_job(c.sched, j);
	cell_store_tick(&c, 21000);

	loaded = add_repeating(next, &shape);
	p = cell_store_progress(&c, JOB_ID);
	cr_assert_not_null(p);
	progress_apply(loaded, p);
	sched__progress__free_unpacked(p, NULL);
	cr_expect_eq(loaded->occs_done, j->occs_done, "%d and %d done",
	    loaded->occs_done, j->occs_done);
	next->wall_ms = 21000;
	occurrence_add_due(next, loaded);
	cr_expect_eq(loaded->occs_made_ready, j->occs_made_ready);
	for (guint i = 0; i < loaded->occs->len; i++) {
		const occurrence_t *o = g_ptr_array_index(loaded->occs, i);

		cr_expect(!occurrence_is_done(o));
		cr_expect_geq(o->number, loaded->occs_done);
	}
	cr_expect_eq(loaded->occs->len, 1);
	cr_expect_eq(
	    job_find_task(loaded, JOB_ID ".210.2.1")->state, TASK_DONE);
	cr_expect_eq(
	    job_find_task(loaded, JOB_ID ".210.2.0")->state, TASK_WAITING);
	/* A run of a task that is done is known as such. */
	cr_expect_eq(job_find_task(loaded, JOB_ID ".7.1.1")->state, TASK_DONE);
	occurrence_add_due(next, loaded);
	cr_expect_eq(loaded->occs->len, 1);
	sched_free(next);
	cell_store_clear(&c);
}

/* An occurrence is released only after its end is stored and its runs are over. */
Test(occurrence, it_is_kept_while_it_is_needed)
{
	static const shape_t shape = { 1, 1, 10, 100 };
	cell_store_t c;
	occurrence_t *o;
	run_t *r;
	job_t *j;

	cell_store_init(&c);
	j = add_repeating(c.sched, &shape);
	cell_store_tick(&c, 50);
	o = job_occurrence(j, 0);
	r = add_running(c.sched, o->steps, 0, add_worker(c.sched, "w"));
	end_tasks(o, true);
	occurrence_add_due(c.sched, j);
	cr_expect_eq(j->occs->len, 1, "not stored");
	flush_mark_job(c.sched, j);
	cell_store_tick(&c, 500);
	cr_expect_eq(job_occurrence(j, 0), o, "a run is left");
	run_remove(c.sched, r);
	occurrence_add_due(c.sched, j);
	cr_expect(number_set_contains(j->released_occs, 0));
	cell_store_clear(&c);
}

/*
 * Guards against LOST: the largest jobs that are accepted, with all the occurrences
 * open that may be, each partly done, and gaps between those that are done.
 */
Test(occurrence, the_longest_row_is_short_enough)
{
	static const shape_t cases[] = {
		{ 1, 1, JOB_MAX_REPEATS, 0 },
		{ 1, 2, JOB_MAX_REPEATS, 0 },
		{ 30, 3, JOB_MAX_REPEATS, 0 },
		{ 200, 1, JOB_MAX_REPEATS, 0 },
		{ 200, 2, JOB_MAX_REPEATS, 0 },
		{ 200, 1000, JOB_MAX_REPEATS, 0 },
		{ 20, 10000, JOB_MAX_REPEATS, 0 },
		{ 1, 10000, JOB_MAX_REPEATS, 0 },
		{ 200, 1000, 0, 0 },
		{ 20, 10000, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cell_store_t c;
		job_t *j;
		int32_t done[] = { 0, 3 * JOB_MAX_REPEATS / 4 };

		cell_store_init(&c);
		j = add_repeating(c.sched, &cases[i]);
		if (cases[i].repeats > 0)
			occurrence_read_done(j, done, 2);
		for (int32_t k = 0; k < 4; k++) {
			cell_store_tick(&c, 1000 + k * 2 * TICK_MS);
			for (guint n = 0; n < j->occs->len; n++)
				end_tasks(g_ptr_array_index(j->occs, n),
				    n % 2 == 1 && k < 3);
			flush_mark_job(c.sched, j);
		}
		cell_store_tick(&c, 2000);
		cr_expect_eq(c.refused, 0, "case %zu: a row of %zu bytes", i,
		    c.longest_row);
		cr_expect_leq((int32_t)j->occs->len,
		    occurrence_max_open(j->def), "case %zu: %u open", i,
		    j->occs->len);
		cell_store_clear(&c);
	}
}

/* What would need more occurrences open at a time than a row has room for. */
Test(occurrence, jobs_that_repeat_too_often_are_refused)
{
	static const struct {
		size_t steps;
		int32_t repeats;
		bool lasting, valid;
	} cases[] = { { 1, JOB_MAX_REPEATS, false, true },
		{ 1, JOB_MAX_REPEATS + 1, false, false },
		{ 200, 2, true, true }, { 200, 1000, true, false },
		{ 1, 1000, true, true }, { 1, JOB_MAX_REPEATS, true, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step st = step_def("", 500, false, 0);
		Sched__Step *steps[STEPS_MAX];
		const char *why;
		Sched__Job d;

		st.lasting = cases[i].lasting;
		for (size_t k = 0; k < cases[i].steps; k++)
			steps[k] = &st;
		d = job_def(steps, cases[i].steps, 0);
		d.repeats = cases[i].repeats;
		cr_expect_eq(sched_job_valid(&d, &why), cases[i].valid,
		    "case %zu: %s", i, why);
	}
}

Test(occurrence, sets_of_numbers)
{
	static const struct {
		int32_t add[6];
		size_t n, bounds;
		int32_t absent; /* the lowest */
	} cases[] = {
		{ { 0 }, 0, 0, 0 },
		{ { 0 }, 1, 2, 1 },
		{ { 5 }, 1, 2, 0 },
		{ { 0, 1, 2 }, 3, 2, 3 },
		{ { 2, 1, 0 }, 3, 2, 3 },
		{ { 0, 2 }, 2, 4, 1 },
		{ { 0, 2, 1 }, 3, 2, 3 },
		{ { 4, 2, 0, 4, 3, 1 }, 6, 2, 5 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		number_set_t *set = number_set_new(), *copy = number_set_new();
		const int32_t *bounds;
		size_t n;

		for (size_t k = 0; k < cases[i].n; k++)
			number_set_add(set, cases[i].add[k]);
		bounds = number_set_bounds(set, &n);
		cr_expect_eq(n, cases[i].bounds, "case %zu: %zu bounds", i, n);
		cr_expect_eq(
		    number_set_next_absent(set, 0), cases[i].absent, "%zu", i);
		cr_expect(number_set_read(copy, bounds, n, 6));
		for (int32_t k = 0; k < 8; k++)
			cr_expect_eq(number_set_contains(copy, k),
			    number_set_contains(set, k));
		cr_expect_eq(number_set_count(copy), number_set_count(set));
		number_set_free(set);
		number_set_free(copy);
	}
}

/* Damaged rows, which another writer may have made. */
Test(occurrence, bounds_that_are_not_valid)
{
	static const struct {
		int32_t bounds[4];
		size_t n;
		bool valid;
	} cases[] = { { { 0 }, 0, true }, { { 0, 10 }, 2, true },
		{ { 0, 2, 3, 4 }, 4, true }, { { 1 }, 1, false },
		{ { 2, 1 }, 2, false }, { { 1, 1 }, 2, false },
		{ { -1, 3 }, 2, false }, { { 0, 11 }, 2, false },
		{ { 0, 4, 3, 5 }, 4, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		number_set_t *set = number_set_new();

		cr_expect_eq(
		    number_set_read(set, cases[i].bounds, cases[i].n, 10),
		    cases[i].valid, "case %zu", i);
		cr_expect(cases[i].valid || number_set_count(set) == 0);
		number_set_free(set);
	}
}
