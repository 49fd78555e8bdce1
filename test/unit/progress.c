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
