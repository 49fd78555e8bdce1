/*
 * Unit tests of approval on a full cell: what holds room for work that has been passed
 * over, is down or has to move holds it until approval is had, which takes a while and is
 * soon over again.
 */
#include <inttypes.h>
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
#include "sched_fixture.h"
#include "full_cell.h"

#define STEP_MS	   50
#define SETTLE_MS  4000
#define WATCHED_MS 30000
#define WAIT_MAX_MS \
	30000 /* the target for work that is passed over, docs/design */
#define LARGE_MILLI   40000
#define LASTING_MILLI 24000
#define QUOTA_MILLI   20000
#define SMALL_MILLI   3000

/* The service for approval. */
typedef struct {
	int64_t decision_ms, per_worker_ms, valid_ms;
	int refused_each, approved_each;
} service_t;

static void
set_service(full_cell_t *c, const service_t *v)
{
	c->decision_ms = v->decision_ms;
	c->per_worker_ms = v->per_worker_ms;
	c->tickets_ms = v->valid_ms;
	c->refused_each = v->refused_each;
	c->approved_each = v->approved_each;
}

/* A cell that is full of short work. */
static void
init(full_cell_t *c, const service_t *v)
{
	full_cell_init(c, 12);
	set_service(c, v);
	c->work[0] = (short_work_t){ "s", SMALL_MILLI, 1000, 20, false };
	full_cell_pass(c, SETTLE_MS);
}

/* Passes until a step has started; returns after which time, at most the target. */
static int64_t
wait_for_start(full_cell_t *c, const step_t *st)
{
	int64_t ms = 0;

	for (; st->nwaiting > 0 && ms < WAIT_MAX_MS; ms += STEP_MS)
		full_cell_pass(c, STEP_MS);
	return ms;
}

/*
 * Guards against a large task that never starts, as its room is reserved only where it is
 * approved, and approval asked for only where there is room.
 */
Test(approval_full, what_is_passed_over_has_room_reserved)
{
	static const struct {
		const char *what;
		service_t service;
		int32_t tasks;
		bool gang;
	} cases[] = {
		{ "quick", { 100, 5, 3000, 0 }, 1, false },
		{ "slow", { 1000, 20, 1800, 0 }, 1, false },
		{ "a third is refused", { 300, 40, 3000, 3 }, 1, false },
		{ "a gang", { 300, 40, 3000, 0 }, 2, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", LARGE_MILLI, false, 0);
		full_cell_t c;
		step_t *st;
		int64_t ms;

		init(&c, &cases[i].service);
		d.count = cases[i].tasks;
		d.gang = cases[i].gang;
		d.estimate_ms = WATCHED_MS;
		st = full_cell_add_step(&c, &d, NULL);
		st->occ->job->needs_approval = true;
		queue_add_step(c.s, st);
		ms = wait_for_start(&c, st);
		cr_expect_lt(ms, WAIT_MAX_MS,
		    "%s: not started in %" PRId64 " ms, wait reason %s",
		    cases[i].what, ms, sched_wait_reason_name(st->wait_reason));
		full_cell_free(&c);
	}
}

/* Guards against lasting tasks that stay down, as the tickets of their nominated workers are
 * over before there is room. */
Test(approval_full, a_nominated_worker_is_kept_until_its_ticket_comes)
{
	static const struct {
		const char *what;
		service_t service;
		int workers, lost;
		int64_t work_ms; /* of each short task; 0: 1 s */
		int each, width; /* tasks on a worker, and of a job */
	} cases[] = {
		{ "quick", { 100, 5, 3000, 0 }, 12, 2, 0, 4, 1 },
		{ "short tickets", { 300, 10, 600, 0 }, 12, 1, 0, 4, 1 },
		{ "short tickets, wide", { 300, 10, 600, 0 }, 12, 5, 0, 4, 48 },
		{ "slow", { 1000, 10, 1800, 0 }, 12, 1, 0, 4, 1 },
		{ "slow, wide", { 1000, 10, 1800, 0 }, 12, 5, 0, 4, 48 },
		{ "long work", { 100, 5, 3000, 0 }, 12, 1, 60000, 4, 4 },
		{ "long work, short tickets", { 100, 5, 250, 0 }, 12, 1, 60000,
		    4, 4 },
		{ "half are refused", { 300, 5, 1800, 2 }, 12, 1, 0, 4, 1 },
		{ "slow, most are refused", { 1000, 10, 1800, 0, 4 }, 12, 1, 0,
		    2, 1 },
		{ "slow, most of many are refused", { 1000, 10, 1800, 0, 6 },
		    60, 1, 0, 4, 4 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d =
		    step_def("", LASTING_MILLI / cases[i].each, false, 0);
		step_t *st = NULL;
		full_cell_t c;

		full_cell_init(&c, cases[i].workers);
		set_service(&c, &cases[i].service);
		c.work[0] = (short_work_t){ "s", SMALL_MILLI,
			cases[i].work_ms == 0 ? 1000 : cases[i].work_ms, 20,
			false };
		d.lasting = true;
		d.count = cases[i].width;
		for (int n = 0; n < cases[i].workers * cases[i].each; n++) {
			if (n % cases[i].width == 0) {
				st = full_cell_add_lasting(&c, &d);
				st->occ->job->needs_approval = true;
			}
			full_cell_run(&c, st, n % cases[i].width,
			    full_cell_worker(&c, n / cases[i].each));
		}
		full_cell_pass(&c, SETTLE_MS);
		for (int n = 0; n < cases[i].lost; n++)
			full_cell_lose(&c, full_cell_worker(&c, n));
		full_cell_pass(&c, WATCHED_MS);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

/* Guards against lasting tasks that stay on a worker that drains until that is gone, as
 * approval was asked for only for tasks that wait. */
Test(approval_full, runs_that_have_to_move_want_approval)
{
	static const struct {
		const char *what;
		service_t service;
		bool full;
	} cases[] = {
		{ "room", { 300, 40, 3000, 0 }, false },
		{ "room, slow", { 1000, 20, 1800, 0 }, false },
		{ "full", { 300, 5, 3000, 0 }, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", LASTING_MILLI, false, 0);
		full_cell_t c;
		step_t *st;

		full_cell_init(&c, 12);
		set_service(&c, &cases[i].service);
		if (cases[i].full)
			c.work[0] =
			    (short_work_t){ "s", SMALL_MILLI, 1000, 20, false };
		d.lasting = true;
		st = full_cell_add_lasting(&c, &d);
		st->occ->job->needs_approval = true;
		full_cell_run(&c, st, 0, full_cell_worker(&c, 0));
		full_cell_pass(&c, SETTLE_MS);
		full_cell_worker(&c, 0)->draining = true;
		full_cell_pass(&c, DOWN_MAX_MS);
		cr_expect(st->tasks[0].run != NULL &&
			st->tasks[0].run->worker != full_cell_worker(&c, 0),
		    "%s: still there", cases[i].what);
		full_cell_expect_back(&c, cases[i].what);
		full_cell_free(&c);
	}
}

/* Keeps small jobs of a customer in the queue. */
static void
add_small(full_cell_t *c)
{
	Sched__Step d = step_def("", SMALL_MILLI, false, 0);

	d.estimate_ms = 1000;
	while (g_sequence_get_length(c->s->ready_steps) < 20) {
		step_t *st = full_cell_add_step(c, &d, NULL);

		st->occ->job->customer = customer_get(c->s, "c");
		queue_add_step(c->s, st);
	}
}

/*
 * Guards against a task that never starts, as the quota reserved for it goes to others of
 * its customer while it waits for approval.
 */
Test(approval_full, reserved_quota_is_kept_until_approval_comes)
{
	static const struct {
		const char *what;
		service_t service;
	} cases[] = {
		{ "quick", { 100, 5, 3000, 0 } },
		{ "slow", { 1000, 20, 1800, 0 } },
	};
	static const sched_customer_t customer = { .name = "c",
		.weight = 1,
		.quota_cpu_milli = QUOTA_MILLI,
		.quota_mem_mb = SCHED_AMOUNT_MAX };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step d = step_def("", QUOTA_MILLI - 1000, false, 0);
		int64_t ms = 0;
		full_cell_t c;
		step_t *st;

		full_cell_init(&c, 12);
		set_service(&c, &cases[i].service);
		sched_set_customers(c.s, &customer, 1, c.s->now_ms);
		for (; ms < SETTLE_MS; ms += STEP_MS) {
			add_small(&c);
			full_cell_pass(&c, STEP_MS);
		}
		d.estimate_ms = WATCHED_MS;
		st = full_cell_add_step(&c, &d, NULL);
		st->occ->job->customer = customer_get(c.s, "c");
		st->occ->job->needs_approval = true;
		queue_add_step(c.s, st);
		for (ms = 0; st->nwaiting > 0 && ms < WAIT_MAX_MS;
		     ms += STEP_MS) {
			add_small(&c);
			full_cell_pass(&c, STEP_MS);
		}
		cr_expect_lt(ms, WAIT_MAX_MS, "%s: not started, wait reason %s",
		    cases[i].what, sched_wait_reason_name(st->wait_reason));
		full_cell_free(&c);
	}
}
