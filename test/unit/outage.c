/*
 * When the store counts as answering no entry, and starts of tasks meanwhile.
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
#include "../../serve/outage.h"

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

/*
 * Guards against starts by settings that were old when an outage began: the others
 * were not answered for longer, so that their last answer says nothing of that.
 */
Test(outage, feeds_where_the_others_were_silent_before)
{
	static const int64_t others_ms[] = { LAST_ANSWER_MS,
		LAST_ANSWER_MS - 8000, 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(others_ms); i++) {
		sched_t *s = new_owner();

		for (int32_t f = 0; f < SCHED_NFEEDS; f++)
			sched_feed_read(
			    s, (sched_feed_t)f, LAST_ANSWER_MS - 6000);
		s->cell.confirmed_ms = LAST_ANSWER_MS - 100;
		sched_set_store_outage(s, true, others_ms[i], NOW_MS);
		cr_expect_not(
		    ownership_may_start_tasks(s), "%d", (int)others_ms[i]);
		cr_expect(ownership_may_extend_leases(s));
		sched_free(s);
	}
}

#define ENTRIES	   5 /* beside the owner */
#define PERIODS	   4
#define PERIOD_MS  600
#define UPDATES_MS 150

/*
 * An owner that the store did not answer took an outage to be one for all when
 * three quarters of the others reported it: beside an entry that the store
 * answered, which claims the cell, it went on (TWICE).
 */
Test(outage, an_entry_that_is_served)
{
	/* By period: how many others report that the store is silent, how many
	 * that it answers them, and whether the owner goes on at its end. */
	static const struct {
		const char *name;
		struct {
			size_t silent, served;
			bool on;
		} at[PERIODS];
	} cases[] = {
		{ "all silent",
		    { { 5, 0, true }, { 5, 0, true }, { 5, 0, true },
			{ 5, 0, true } } },
		{ "one is down",
		    { { 4, 0, true }, { 4, 0, true }, { 4, 0, true },
			{ 4, 0, true } } },
		{ "two are down",
		    { { 3, 0, false }, { 3, 0, false }, { 3, 0, false },
			{ 3, 0, false } } },
		{ "one is served",
		    { { 4, 1, false }, { 4, 1, false }, { 4, 1, false },
			{ 4, 1, false } } },
		{ "one is served until then",
		    { { 4, 1, false }, { 5, 0, true }, { 5, 0, true },
			{ 5, 0, true } } },
		{ "one is served again",
		    { { 5, 0, true }, { 4, 1, true }, { 4, 1, false },
			{ 4, 1, false } } },
		{ "one answer to one",
		    { { 5, 0, true }, { 4, 1, true }, { 5, 0, true },
			{ 5, 0, true } } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		outage_report_t r[ENTRIES] = { 0 };
		outage_t o = { 0 };
		int64_t now_ms = LAST_ANSWER_MS, last_ms;

		for (size_t p = 0; p < PERIODS * PERIOD_MS / UPDATES_MS; p++) {
			size_t at = p / (PERIOD_MS / UPDATES_MS);
			size_t silent = cases[i].at[at].silent;
			size_t heard = silent + cases[i].at[at].served;

			now_ms += UPDATES_MS;
			for (size_t k = 0; k < heard; k++)
				r[k] = (outage_report_t){ .heard_ms = now_ms,
					.answered_ms = k < silent ?
					    LAST_ANSWER_MS :
					    now_ms,
					.served = k >= silent };
			outage_update(&o, r, ENTRIES, now_ms, &last_ms);
			/* No answer to its first notice has arrived yet. */
			cr_expect(p > 0 || !o.on, "%s", cases[i].name);
			if ((p + 1) % (PERIOD_MS / UPDATES_MS) == 0)
				cr_expect_eq(o.on, cases[i].at[at].on,
				    "%s, period %zu", cases[i].name, at);
		}
	}
}
