/*
 * The cell in a graceful stop: how long its owner keeps it, and who claims it then.
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
#include "../../sched/down.h"
#include "sched_fixture.h"

#define NOW_MS	   100000
#define RELEASE_MS 4300 /* from the stop on, as serve/node.c has it */
#define STEP_MS	   50
#define JOB	   "0000000000000001"

static int32_t claims;

static void
take_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	(void)ctx;
	(void)version;
	(void)owner;
	claims++;
}

/* A step of a lasting task. */
static step_t *
add_lasting(sched_t *s, bool gang)
{
	Sched__Step d = step_def("", 1000, false, 0);
	step_t *st;

	d.lasting = true;
	d.gang = gang;
	st = first_step(add_job(s, JOB, &d, 0));
	st->ready = true;
	return st;
}

/*
 * Guards against lasting tasks that are down for long (LOST) as entries are restarted in
 * turn: each owner that is told to stop leaves the cell at once, and the next one counts
 * the workers anew, or nobody is left to take it.
 */
Test(stop, the_owner_keeps_a_cell_that_is_not_settled)
{
	enum { CALM, DOWN, MISSED, MISSED_EMPTY, NOMINATED };
	static const struct {
		const char *name, *successor;
		bool accounted;
		int what;
		int32_t after_ms;
		bool released;
	} cases[] = {
		{ "nothing is left to do", "a", true, CALM, 0, true },
		{ "some workers are not heard yet", "a", false, CALM, 0,
		    false },
		{ "nobody is there to take it", "", true, CALM, 0, false },
		{ "a lasting task is down", "a", true, DOWN, 0, false },
		{ "a worker with a run is silent", "a", true, MISSED, 0,
		    false },
		{ "a silent worker has no run", "a", true, MISSED_EMPTY, 0,
		    true },
		{ "a task is on its way", "a", true, NOMINATED, 0, false },
		{ "just before its time is over", "", false, DOWN,
		    RELEASE_MS - 1, false },
		{ "its time is over", "", false, DOWN, RELEASE_MS, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		step_t *st = add_lasting(s, false);

		set_fresh_time(s, NOW_MS);
		s->cell.workers_accounted = cases[i].accounted;
		if (cases[i].what == MISSED_EMPTY)
			w->missed_polls = 1;
		else if (cases[i].what != CALM) {
			run_t *r = add_running(s, st, 0, w);

			r->first_seen_ms = 1;
			if (cases[i].what == DOWN)
				run_remove(s, r);
			else if (cases[i].what == MISSED)
				w->missed_polls = 1;
			else
				nominate(s, &st->tasks[0], w);
		}
		sched_set_release_by(s, NOW_MS + RELEASE_MS);
		sched_set_successor(s, cases[i].successor);
		sched_begin_release(s, NOW_MS + cases[i].after_ms);
		cr_expect_eq(
		    s->cell.releasing, cases[i].released, "%s", cases[i].name);
		sched_free(s);
	}
}

/* Claims of an entry in ms after it was told to stop, of a cell that was released. */
static int32_t
claims_in(int32_t delay_ms, int32_t stop_ms, const char *heir, int64_t ms)
{
	sched_opts_t opts = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore_event, .claim = take_claim } };
	sched_t *s = sched_new(&opts);
	Sched__Owner o = SCHED__OWNER__INIT;
	uint8_t b[64];
	sched_row_t row = { .key = SCHED_KEY_OWNER, .version = 7, .bytes = b };

	claims = 0;
	o.name = (char *)"other";
	o.released = true;
	o.heir = (char *)heir;
	row.nbytes = sched__owner__pack(&o, b);
	sched_set_claim_delay(s, delay_ms);
	sched_set_release_by(s, NOW_MS + stop_ms);
	for (int64_t t = NOW_MS; t < NOW_MS + ms; t += STEP_MS) {
		sched_begin_release(s, t);
		sched_owner_row_read(s, &row, t);
		sched_tick(s, t, 0);
	}
	sched_free(s);
	return claims;
}

/*
 * Guards against a cell that nobody owns for seconds (LOST): all entries are in a graceful
 * stop, and the one that was named as the successor too.
 */
Test(stop, an_entry_claims_a_cell_that_no_other_claims)
{
	static const struct {
		const char *name, *heir;
		int32_t delay_ms, stop_ms;
		int64_t ms;
		int32_t claims;
	} cases[] = {
		{ "left to any", "", 0, RELEASE_MS, 1000, 1 },
		{ "left to another one", "a", 0, RELEASE_MS, 2000, 1 },
		{ "it is the successor", "e", 0, RELEASE_MS, 1000, 1 },
		{ "others may claim it yet", "", 0, RELEASE_MS, 800, 0 },
		{ "the successor and then others may", "a", 0, RELEASE_MS, 1500,
		    0 },
		{ "a weak one comes later", "", 600, RELEASE_MS, 1400, 0 },
		{ "its own stop is nearly over", "", 0, 1500, 3000, 0 },
		{ "it is to release at once", "", 0, 0, 3000, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		cr_expect_eq(claims_in(cases[i].delay_ms, cases[i].stop_ms,
				 cases[i].heir, cases[i].ms),
		    cases[i].claims, "%s: %d", cases[i].name, claims);
}
