/*
 * Unit tests of approval: whatever waits beside it, however long the service takes and
 * however short its tickets hold, what is accepted starts where there is room.
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

#define STEP_MS	  50
#define SLACK_MS  1000	 /* for rows, rounds and orders */
#define LONG_MS	  600000 /* no task ends meanwhile */
#define SETTLE_MS 1000

/* The service for approval. */
typedef struct {
	int64_t decision_ms, per_worker_ms, valid_ms;
	int refused_each;
	bool is_published; /* the queue's settings tell its times */
	int lost_answers;  /* the first ones */
} service_t;

/* Jobs that need approval, one after the other. */
typedef struct {
	int jobs, tasks;
	int64_t gap_ms, cpu_milli;
	bool gang, lasting, alone; /* alone: one task on a worker */
} burst_t;

/* Lasting jobs of one task, ahead of the others, that no worker can take. */
typedef struct {
	int jobs;
	bool need_approval;
} ahead_t;

typedef struct {
	const char *what;
	int workers;
	service_t service;
	burst_t burst;
	ahead_t ahead;
	int32_t
	    calls; /* that it takes until all have started, of call_workers */
	int32_t call_workers;
} case_t;

static void
set_service(full_cell_t *c, const service_t *v)
{
	sched_queue_t q = { .name = "q",
		.service = "s",
		.max_attempts = 2,
		.needs_approval = true };

	c->decision_ms = v->decision_ms;
	c->per_worker_ms = v->per_worker_ms;
	c->tickets_ms = v->valid_ms;
	c->refused_each = v->refused_each;
	c->lost_answers = v->lost_answers;
	if (v->is_published)
		q.approval_cost =
		    (sched_approval_cost_t){ (int32_t)v->decision_ms,
			    (int32_t)v->per_worker_ms, (int32_t)v->valid_ms };
	sched_set_queues(c->s, &q, 1, c->s->now_ms);
}

/* A new job has no row in the store. */
static step_t *
submit(full_cell_t *c, const Sched__Step *d, bool needs_approval)
{
	step_t *st = full_cell_add_step(c, d, NULL);
	job_t *j = st->occ->job;

	j->needs_approval = needs_approval;
	j->row_stored = false;
	queue_add_step(c->s, st);
	return st;
}

/* Lasting tasks are down, and no worker has the label that they need. */
static void
add_ahead(full_cell_t *c, const ahead_t *a)
{
	Sched__Step d = step_def("", 800, false, 0);

	d.lasting = true;
	d.label = (char *)"b";
	for (int i = 0; i < a->jobs; i++) {
		step_t *st = full_cell_add_step(c, &d, NULL);

		st->occ->job->needs_approval = a->need_approval;
		st->occ->job->started = true;
		st->tasks[0].down_since_ms = c->s->now_ms;
		st->tasks[0].last_run_number = 1;
		st->ndown = 1;
		queue_add_step(c->s, st);
	}
}

/* Rows that were marked a while ago are stored. */
static void
store_rows(full_cell_t *c)
{
	job_t *j;

	FOREACH_VALUE (j, c->s->jobs) {
		j->row_stored = j->row_stored || j->dirty;
		j->dirty = false;
	}
}

static void
pass(full_cell_t *c, int64_t ms)
{
	for (int64_t end_ms = c->s->now_ms + ms; c->s->now_ms < end_ms;) {
		store_rows(c);
		full_cell_pass(c, STEP_MS);
		approval_expire_calls(c->s);
	}
}

static Sched__Step
burst_step(const burst_t *b)
{
	Sched__Step d = step_def("", b->cpu_milli, false, 0);

	d.count = b->tasks;
	d.gang = b->gang;
	d.lasting = b->lasting;
	d.per_worker = b->alone;
	d.estimate_ms = LONG_MS;
	return d;
}

static int32_t
count_waiting(const GPtrArray *steps)
{
	int32_t n = 0;

	for (guint i = 0; i < steps->len; i++)
		n += ((const step_t *)g_ptr_array_index(steps, i))->nwaiting;
	return n;
}

/* Hands in the jobs, and expects all tasks to start within the time of the calls. */
static void
expect_starts(const case_t *k)
{
	g_autoptr(GPtrArray) steps = g_ptr_array_new();
	Sched__Step d = burst_step(&k->burst);
	int64_t limit_ms = SLACK_MS +
	    k->calls *
		(k->service.decision_ms +
		    k->call_workers * k->service.per_worker_ms);
	int64_t began_ms;
	full_cell_t c;

	full_cell_init(&c, k->workers);
	set_service(&c, &k->service);
	add_ahead(&c, &k->ahead);
	pass(&c, SETTLE_MS);
	began_ms = c.s->now_ms;
	for (int i = 0; i < k->burst.jobs; i++) {
		g_ptr_array_add(steps, submit(&c, &d, true));
		pass(&c, k->burst.gap_ms);
	}
	while (count_waiting(steps) > 0 && c.s->now_ms - began_ms < limit_ms)
		pass(&c, STEP_MS);
	cr_expect_eq(count_waiting(steps), 0,
	    "%s: %d tasks have not started after %" PRId64 " ms", k->what,
	    count_waiting(steps), limit_ms);
	full_cell_free(&c);
}

static void
expect_all(const case_t *cases, size_t n)
{
	for (size_t i = 0; i < n; i++)
		expect_starts(&cases[i]);
}

/*
 * Guards against LOST as of review/13: steps that wait for approval keep each other from
 * it, as each answer takes the time of two calls, and its tickets count as over.
 */
Test(approval, steps_that_wait_for_it_do_not_keep_each_other_from_it)
{
	static const case_t cases[] = {
		{ "a burst", 32, { 300, 40, 3000, 0, true },
		    { 5, 16, 750, 500 }, { 0 }, 5, 30 },
		{ "its times are not known", 32, { 300, 40, 3000, 0, false },
		    { 5, 16, 750, 500 }, { 0 }, 5, 30 },
		{ "60 ms a worker", 32, { 300, 60, 3000, 0, true },
		    { 5, 16, 750, 500 }, { 0 }, 5, 30 },
		{ "gangs", 32, { 300, 40, 3000, 0, true },
		    { 5, 16, 750, 500, true }, { 0 }, 5, 30 },
		{ "lasting tasks", 32, { 300, 40, 3000, 0, true },
		    { 5, 16, 750, 500, false, true }, { 0 }, 5, 30 },
		{ "a third is refused", 32, { 300, 40, 3000, 3, true },
		    { 5, 16, 750, 500 }, { 0 }, 5, 30 },
		{ "large tasks", 32, { 300, 40, 3000, 0, true },
		    { 5, 4, 750, 60000 }, { 0 }, 5, 30 },
		{ "many jobs at once", 32, { 100, 5, 3000, 0, true },
		    { 40, 2, 0, 500 }, { 0 }, 40, 30 },
	};

	expect_all(cases, G_N_ELEMENTS(cases));
}

/* Guards against a step that never starts as its tickets are over when they arrive, or not
 * gathered before the first of them is. */
Test(approval, tickets_that_hold_hardly_longer_than_a_call_are_used)
{
	static const case_t cases[] = {
		{ "1.5 s of 1.8 s", 32, { 300, 40, 1800, 0, true },
		    { 5, 16, 750, 500 }, { 0 }, 5, 30 },
		{ "longer than they hold", 32, { 2500, 10, 1800, 0, true },
		    { 3, 16, 750, 500 }, { 0 }, 3, 30 },
		{ "the same, a task for each worker", 32,
		    { 2500, 10, 1800, 0, true }, { 1, 16, 0, 60000 }, { 0 }, 1,
		    30 },
		{ "250 ms", 32, { 300, 40, 250, 0, true }, { 3, 16, 750, 500 },
		    { 0 }, 3, 30 },
		{ "longer than a call waited", 32, { 10000, 10, 3000, 0, true },
		    { 2, 4, 0, 500 }, { 0 }, 2, 30 },
		/* The first two calls are given up, but not by the service. */
		{ "the same, not known", 32, { 10000, 10, 3000, 0, false },
		    { 1, 4, 0, 500 }, { 0 }, 4, 30 },
	};

	expect_all(cases, G_N_ELEMENTS(cases));
}

/* Guards against a gang that never starts, as it needs more tickets at one time than a
 * call brings. */
Test(approval, a_gang_has_its_tickets_at_one_time)
{
	static const case_t cases[] = {
		{ "36 on 80 workers", 80, { 300, 40, 3000, 0, true },
		    { 1, 36, 0, 500, true, false, true }, { 0 }, 1, 100 },
		{ "60 ms a worker", 80, { 300, 60, 3000, 0, true },
		    { 1, 36, 0, 500, true, false, true }, { 0 }, 1, 100 },
		{ "half are refused", 80, { 300, 40, 3000, 2, true },
		    { 1, 36, 0, 500, true, false, true }, { 0 }, 3, 100 },
		{ "lasting", 80, { 300, 40, 3000, 0, true },
		    { 1, 36, 0, 500, true, true, true }, { 0 }, 1, 100 },
		{ "two calls", 150, { 300, 20, 3000, 0, true },
		    { 1, 120, 0, 500, true, false, true }, { 0 }, 2, 100 },
		{ "two calls, and others in wait", 150,
		    { 300, 20, 3000, 0, true },
		    { 3, 120, 100, 500, true, false, true }, { 0 }, 7, 100 },
	};

	expect_all(cases, G_N_ELEMENTS(cases));
}

/*
 * Guards against steps that wait for their approval for as long as a call takes to time out,
 * as the answers of others were lost.
 */
Test(approval, a_lost_answer_keeps_nobody_waiting)
{
	static const case_t cases[] = {
		/* Two calls are overdue after 3 s, and two more are sent. */
		{ "two", 32, { 100, 5, 3000, 0, true, 2 }, { 4, 4, 0, 500 },
		    { 0 }, 14, 32 },
		{ "two of slow ones", 32, { 1000, 40, 3000, 0, true, 2 },
		    { 4, 4, 0, 500 }, { 0 }, 10, 32 },
	};

	expect_all(cases, G_N_ELEMENTS(cases));
}

/*
 * Guards against LOST as of review/14: behind 32 steps that wait, a job's row is stored
 * once a task can start, approval asked for once the row is stored.
 */
Test(approval, it_does_not_need_a_row_that_needs_it)
{
	static const case_t cases[] = {
		{ "one task", 13, { 100, 5, 3000, 0, true }, { 1, 1, 0, 500 },
		    { 33, false }, 1, 30 },
		{ "a gang", 13, { 100, 5, 3000, 0, true },
		    { 1, 4, 0, 500, true }, { 33, false }, 1, 30 },
		{ "lasting", 13, { 100, 5, 3000, 0, true },
		    { 1, 4, 0, 500, false, true }, { 33, false }, 1, 30 },
		{ "those ahead need it, too", 13, { 100, 5, 3000, 0, true },
		    { 1, 1, 0, 500 }, { 33, true }, 1, 30 },
		{ "100 of them", 13, { 100, 5, 3000, 0, true },
		    { 1, 1, 0, 500 }, { 100, true }, 2, 30 },
		{ "a short time", 13, { 300, 40, 500, 0, true },
		    { 2, 1, 0, 500 }, { 100, true }, 3, 30 },
	};

	expect_all(cases, G_N_ELEMENTS(cases));
}
