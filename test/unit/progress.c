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
