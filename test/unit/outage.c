/*
 * Starts of tasks while the store answers no entry.
 */
#include <stdbool.h>
#include <stdint.h>

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

#define LAST_ANSWER_MS 10000
#define NOW_MS	       11500

/*
 * An owner that knew old settings only when the outage began must not start tasks
 * by them during it, but keeps its leases.
 */
Test(outage, feeds_at_its_beginning)
{
	static const struct {
		const char *name;
		int64_t feeds_ms[SCHED_NFEEDS];
		bool may_start;
	} cases[] = {
		{ "current", { 9500, 9000, 8500 }, true },
		{ "old settings", { 9500, 9000, 7500 }, false },
		{ "old jobs", { 7500, 9000, 9000 }, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();

		for (int32_t f = 0; f < SCHED_NFEEDS; f++)
			sched_feed_read(
			    s, (sched_feed_t)f, cases[i].feeds_ms[f]);
		s->cell.confirmed_ms = LAST_ANSWER_MS - 100;
		sched_set_store_outage(s, true, LAST_ANSWER_MS, NOW_MS);
		cr_expect_eq(ownership_may_start_tasks(s), cases[i].may_start,
		    "%s", cases[i].name);
		cr_expect(ownership_may_extend_leases(s), "%s", cases[i].name);
		sched_set_store_outage(s, false, NOW_MS, NOW_MS);
		cr_expect_not(
		    ownership_may_start_tasks(s), "%s", cases[i].name);
		sched_free(s);
	}
}
