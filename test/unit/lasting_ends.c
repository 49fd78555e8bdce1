/*
 * Lasting tasks that end by themselves, many at nearly one moment, on a cell that is
 * full of short work.
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
#include "full_cell.h"

#define JOBS	       2
#define WIDTH	       16 /* lasting tasks of a job */
#define PER_WORKER     2
#define WORKERS	       (JOBS * WIDTH / PER_WORKER)
#define LASTING_MILLI  24000 /* of the 64000 of a worker: two fit */
#define NARROWER_MILLI 20000 /* a third one fits beside short work */
#define SETTLE_MS      4000  /* before tasks end */
#define WATCHED_MS     30000

typedef struct {
	const char *what;
	int32_t failing;   /* tasks of each job, those of the highest numbers */
	int64_t apart_ms;  /* between the jobs' ends */
	int64_t again_ms;  /* after which they fail again; 0: never */
	int64_t cpu_milli; /* of a short task */
	bool filler;	   /* there are fillers too */
	int64_t bad_ms;	   /* a third of the workers fail all for so long */
} case_t;

/* Wide jobs that run, the tasks of each on workers of its own, and short work. */
static void
begin(full_cell_t *c, const case_t *k, step_t **st)
{
	Sched__Step d = step_def("", LASTING_MILLI, false, 0);

	full_cell_init(c, WORKERS);
	d.cpu_milli = k->bad_ms > 0 ? NARROWER_MILLI : LASTING_MILLI;
	d.lasting = true;
	d.count = WIDTH;
	c->work[0] = (short_work_t){ "s", k->cpu_milli, 1000, 20, false };
	if (k->filler)
		c->work[1] = (short_work_t){ "s", 8000, 3000, 20, true };
	for (int i = 0; i < JOBS; i++) {
		st[i] = full_cell_add_lasting(c, &d);
		for (int32_t n = 0; n < WIDTH; n++)
			full_cell_run(c, st[i], n,
			    full_cell_worker(c, (i * WIDTH + n) / PER_WORKER));
	}
	full_cell_pass(c, SETTLE_MS);
	cr_assert_eq(c->longest_ms, 0, "%s: before", k->what);
}

/* Tasks of all jobs fail. */
static void
fail(full_cell_t *c, const case_t *k, step_t **st)
{
	for (int i = 0; i < JOBS; i++) {
		for (int32_t n = WIDTH - k->failing; n < WIDTH; n++)
			full_cell_fail(c, &st[i]->tasks[n]);
		full_cell_pass(c, k->apart_ms);
	}
}

/*
 * Guards against the tasks of a wide job that come back one at a time, each after a
 * wait of its own, when several have failed at one moment.
 */
Test(lasting_ends, those_that_fail_together_are_back_together)
{
	static const case_t cases[] = {
		{ "six of each job", 6, 100, 0, 6000, false, 0 },
		{ "two of each job", 2, 100, 0, 6000, false, 0 },
		{ "all", WIDTH, 0, 0, 6000, false, 0 },
		{ "six, narrow short tasks", 6, 100, 0, 1000, false, 0 },
		{ "six, wide short tasks", 6, 100, 0, 16000, false, 0 },
		{ "six, twice", 6, 100, 3000, 6000, false, 0 },
		{ "six, beside fillers", 6, 100, 0, 6000, true, 0 },
		{ "what a third of the workers run", 0, 0, 0, 6000, false,
		    6500 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *k = &cases[i];
		step_t *st[JOBS];
		full_cell_t c;

		begin(&c, k, st);
		c.bad_workers = WORKERS / 3;
		c.bad_until_ms = c.s->now_ms + k->bad_ms;
		fail(&c, k, st);
		if (k->again_ms > 0) {
			full_cell_pass(&c, k->again_ms);
			fail(&c, k, st);
		}
		full_cell_pass(&c, WATCHED_MS);
		cr_expect_geq(c.failed, JOBS * k->failing, "%s: %d failed",
		    k->what, c.failed);
		full_cell_expect_back(&c, k->what);
		full_cell_free(&c);
	}
}
