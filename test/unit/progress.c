/*
 * The progress rows of jobs name the customer, so that an entry can tell whose
 * job it is without the job's row.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
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

static void
expect_customer(GByteArray *row, const char *customer)
{
	Sched__Progress *p = sched_progress_unpack(row->data, row->len);

	cr_assert_not_null(p);
	cr_expect_str_eq(p->customer, customer);
	sched__progress__free_unpacked(p, NULL);
	g_byte_array_unref(row);
}

Test(progress, customer)
{
	static const char *const customers[] = { "", "a" };
	Sched__Step st = step_def("i", 500, false, 0);

	for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
		sched_t *s = new_owner();
		job_t *j = add_job(s, "00000000000000a1", &st, 0);

		if (customers[i][0] != '\0')
			j->def->customer = strdup(customers[i]);
		expect_customer(progress_pack(j), customers[i]);
		j->end_state = SCHED__STATE__COMPLETED;
		expect_customer(progress_pack_ended(j, 5), customers[i]);
		sched_free(s);
	}
}

/*
 * A row longer than the store takes: each write of each owner was refused, so
 * that no job ended any more.
 */
Test(progress, fits_a_row)
{
	static const struct {
		int32_t tasks;
		gsize checkpoint_bytes;
		bool kept;
	} cases[] = { { 1, 16, true }, { 2000, 16, true }, { 10000, 16, false },
		{ 2, 60000, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step st = step_def("i", 500, false, 0);
		g_autofree char *text =
		    g_strnfill(cases[i].checkpoint_bytes, 'c');
		g_autoptr(GByteArray) row = NULL;
		sched_t *s = new_owner();
		Sched__Progress *p;
		job_t *j;

		st.count = cases[i].tasks + 1;
		st.checkpoints = true;
		j = add_job(s, "00000000000000a1", &st, 0);
		for (int32_t k = 0; k < cases[i].tasks; k++)
			first_step(j)->tasks[k].checkpoint = g_strdup(text);
		job_mark_task_done(&first_step(j)->tasks[cases[i].tasks]);
		row = progress_pack(j);
		cr_expect_leq(row->len, SCHED_ROW_MAX_BYTES, "case %zu", i);
		p = sched_progress_unpack(row->data, row->len);
		cr_assert_not_null(p);
		cr_assert_eq(p->n_steps, 1);
		cr_expect_eq(p->steps[0]->n_tasks,
		    cases[i].kept ? (size_t)cases[i].tasks : 0, "case %zu", i);
		cr_expect_neq(p->steps[0]->done.data[cases[i].tasks / 8], 0);
		sched__progress__free_unpacked(p, NULL);
		sched_free(s);
	}
}

/*
 * Gives the first tasks of each step of a job a history: failed runs, crashes, or
 * both, with numbers of one of several owners.
 */
static void
add_histories(job_t *j, int32_t tasks, int32_t failed, int32_t crashed)
{
	for (size_t k = 0; k < j->def->n_steps; k++)
		for (int32_t i = 0; i < tasks; i++) {
			task_t *t = &first_step(j)[k].tasks[i];
			int64_t run = i % 7 * RUN_NUMBERS_PER_OWNER;

			for (int32_t n = 0; n < failed; n++)
				task_add_failed_run(t, ++run);
			for (int32_t n = 0; n < crashed; n++)
				crash_add(t, ++run, true);
			t->last_run_number = run;
		}
}

static bool
same_runs(const GArray *a, const GArray *b)
{
	guint na = a == NULL ? 0 : a->len, nb = b == NULL ? 0 : b->len;

	return na == nb &&
	    (na == 0 || memcmp(a->data, b->data, na * sizeof(int64_t)) == 0);
}

/* How many tasks of two jobs have the same history and state. */
static int32_t
count_same(job_t *a, job_t *b)
{
	int32_t n = 0;

	for (size_t k = 0; k < a->def->n_steps; k++)
		for (int32_t i = 0; i < first_step(a)[k].ntasks; i++) {
			const task_t *t = &first_step(a)[k].tasks[i];
			const task_t *u = &first_step(b)[k].tasks[i];

			n += t->state == u->state &&
			    t->last_run_number == u->last_run_number &&
			    same_runs(t->failed_runs, u->failed_runs) &&
			    crash_is_suspect(t) == crash_is_suspect(u) &&
			    same_runs(
				t->crashes == NULL ? NULL : t->crashes->runs,
				u->crashes == NULL ? NULL : u->crashes->runs);
		}
	return n;
}

/* A job whose first tasks of each step have failed runs and crashes. */
typedef struct {
	size_t steps; /* 20 at most */
	int32_t tasks, failed, crashed;
	bool kept;
} history_case_t;

/*
 * Packs the progress row of such a job, which must be short enough, and reads it:
 * how many tasks have the same history then.  *all: of how many.
 */
static int32_t
pack_and_read(const history_case_t *c, int32_t *all)
{
	Sched__Step st = step_def("i", 500, false, 0);
	Sched__Step *steps[20];
	g_autoptr(GByteArray) row = NULL;
	sched_t *s = new_owner();
	job_t *j, *loaded;
	Sched__Progress *p;
	int32_t same;

	st.count = c->tasks + 1;
	for (size_t k = 0; k < c->steps; k++)
		steps[k] = &st;
	j = add_job_of(s, "00000000000000a1", steps, c->steps, 0);
	loaded = add_job_of(s, "00000000000000a2", steps, c->steps, 0);
	add_histories(j, c->tasks, c->failed, c->crashed);
	for (size_t k = 0; k < c->steps; k++)
		job_mark_task_done(&first_step(j)[k].tasks[c->tasks]);
	row = progress_pack(j);
	cr_expect_leq(row->len, SCHED_ROW_MAX_BYTES, "%zu steps: %u bytes",
	    c->steps, row->len);
	p = sched_progress_unpack(row->data, row->len);
	cr_assert_not_null(p);
	progress_apply(loaded, p);
	same = count_same(j, loaded);
	*all = (int32_t)c->steps * st.count;
	sched__progress__free_unpacked(p, NULL);
	sched_free(s);
	return same;
}

/*
 * Failed runs or crashes of thousands of tasks made a row longer than the store
 * takes: each write of each owner was refused, so that no job ended any more.
 */
Test(progress, histories_fit_a_row)
{
	static const history_case_t cases[] = {
		{ 1, 3, 2, 1, true },
		{ 1, 2000, 2, 0, true },
		{ 1, 9999, 2, 0, true },
		{ 1, 9999, 0, 1, true },
		{ 1, 9999, 30, 4, true },
		{ 4, 9999, 2, 1, true },
		{ 1, 9999, 100, 0, false },
		{ 20, 9999, 1, 0, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int32_t all, same = pack_and_read(&cases[i], &all);

		cr_expect_eq(same,
		    cases[i].kept ? all : (int32_t)cases[i].steps,
		    "case %zu: %d of %d tasks as before", i, same, all);
	}
}

/*
 * Guards against starts beyond the attempts of a queue: what the row of a job leaves
 * out, the next owner does not count.
 */
Test(progress, long_histories_are_kept)
{
	static const history_case_t cases[] = {
		{ 1, 9999, 100, 0, true },
		{ 20, 9999, 1, 0, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int32_t all, same = pack_and_read(&cases[i], &all);

		cr_expect_eq(same, all, "case %zu: %d of %d tasks as before", i,
		    same, all);
	}
}
