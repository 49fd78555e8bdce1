/*
 * Workers whose entry tells of another process than the one that answers.
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

#define NOW_MS	  100000
#define BORN_MS	  1	/* of add_worker */
#define LATER_MS  50000 /* born */
#define UNKNOWN	  0
#define CLOCK_MS  70000
#define POLL_MS	  10
#define NO_ENTRY  (-1)
#define NO_ANSWER (-1)

static void
list_born(sched_t *s, int64_t started_ms)
{
	sched_worker_info_t i = worker_info("w0", started_ms);

	sched_worker_listed(s, &i, s->now_ms);
}

static void
answer_born(sched_t *s, worker_t *w, int64_t started_ms)
{
	sched_report_t r = { .started_ms = started_ms, .clock_ms = CLOCK_MS };

	report_apply(s, w, &r, s->now_ms - POLL_MS);
	w->footprint_stored = true;
}

/*
 * Guards against ROUTE: a worker starts again as another kind under its id while it is
 * cut off from the store, and gets tasks that need a label of the entry of before.
 */
Test(worker_entry, no_start_by_the_entry_of_another_process)
{
	static const struct {
		const char *what;
		int64_t answer, entry; /* then born, in this order */
		bool usable;
	} cases[] = {
		{ "it goes on", BORN_MS, NO_ENTRY, true },
		{ "another process answers", LATER_MS, NO_ENTRY, false },
		{ "and has its entry", LATER_MS, LATER_MS, true },
		{ "and the old entry is read again", LATER_MS, BORN_MS, false },
		{ "the entry comes first", NO_ANSWER, LATER_MS, false },
		{ "an entry that does not say", LATER_MS, UNKNOWN, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w0");

		set_fresh_time(s, NOW_MS);
		answer_born(s, w, BORN_MS);
		cr_assert(cell_worker_usable(s, w), "%s", cases[i].what);
		if (cases[i].answer != NO_ANSWER)
			answer_born(s, w, cases[i].answer);
		if (cases[i].entry != NO_ENTRY)
			list_born(s, cases[i].entry);
		cr_expect_eq(cell_worker_usable(s, w), cases[i].usable, "%s",
		    cases[i].what);
		sched_free(s);
	}
}
