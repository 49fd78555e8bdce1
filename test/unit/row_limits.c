/*
 * Rows that grow with the queues of the operators or with what callers send: the store
 * must take the longest of them.
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

/* Guards against a submission that the store never takes, tried until its deadline. */
Test(row_limits, job_row)
{
	static const struct {
		const char *what;
		size_t steps, after;
		gsize label_bytes;
		bool valid;
	} cases[] = {
		{ "a usual one", 3, 2, 10, true },
		{ "all steps, usual texts", 200, 3, 30, true },
		{ "long texts", 200, 0, 4000, false },
		{ "one text", 1, 0, 70000, false },
		{ "lists of steps", 200, 400, 10, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *spec = g_strnfill(4000, 's');
		g_autofree char *label = g_strnfill(cases[i].label_bytes, 'l');
		g_autofree int32_t *after = g_new0(int32_t, 400);
		Sched__Step st[200], *steps[200];
		const char *why = "";
		Sched__Job d;

		for (size_t k = 0; k < cases[i].steps; k++) {
			st[k] = step_def("image", 500, false, 0);
			st[k].label = label;
			st[k].after = after;
			st[k].n_after = k == 0 ? 0 : cases[i].after;
			steps[k] = &st[k];
		}
		d = job_def(steps, cases[i].steps, 0);
		d.spec = spec;
		cr_expect_eq(sched_job_valid(&d, &why), cases[i].valid,
		    "%s: %s", cases[i].what, why);
	}
}
