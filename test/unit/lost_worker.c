/*
 * How long lasting tasks are down as their worker is lost: no answer, no order is
 * carried out, and what else runs in the cell is in their way.
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
#include "sched_fixture.h"

#define BEGIN_MS      100000
#define SETTLE_MS     10000 /* before the worker is lost */
#define STEP_MS	      10
#define LASTING_MILLI 10000
#define SHORT_MILLI   1000
#define LONG_MS	      60000 /* what the work in the way is expected to take */
#define STOP_MS	      500   /* until a stopped run has ended */
/* Until a call without an answer is given up, and a poll beyond its wait. */
#define ORDER_TIMEOUT_MS 400
#define POLL_SLACK_MS	 350
/* The longest lease that a worker accepts, on a clock 2 % slow. */
#define LONGEST_LEASE_MS 6120
/* The users call a lasting task lost that is down for so long beside room for it. */
#define DOWN_MAX_MS 6000
#define STARTS_MAX  4

/* A worker, and the poll in flight there. */
typedef struct {
	worker_t *w;
	uint64_t poll_id; /* 0: none */
	int64_t poll_sent_ms;
	int32_t wait_ms;
} place_t;

typedef struct {
	sched_t *s;
	place_t lost, other;
	step_t *lasting, *shorts;
	int64_t start_sent_ms[STARTS_MAX]; /* 0: not sent */
} scene_t;

static void
take_poll(void *ctx, const sched_poll_t *p)
{
	scene_t *c = ctx;
	place_t *at = strcmp(p->worker, "lost") == 0 ? &c->lost : &c->other;

	at->poll_id = p->id;
	at->poll_sent_ms = c->s->now_ms;
	at->wait_ms = p->wait_ms;
}

static void
ignore_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	(void)puts;
}

static void
ignore_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	(void)o;
}

static worker_t *
list_worker(sched_t *s, const char *id)
{
	sched_worker_info_t i = worker_info(id, 1);

	sched_worker_listed(s, &i, s->now_ms);
	return cell_worker_get(s, id);
}

static step_t *
add_step(sched_t *s, const char *id, int64_t milli, int32_t count)
{
	Sched__Step d = step_def("", milli, false, 0);
	step_t *st;

	d.count = count;
	d.lasting = milli == LASTING_MILLI;
	d.estimate_ms = LONG_MS;
	st = first_step(add_job(s, id, &d, 0));
	st->ready = true;
	return st;
}

/* A task starts on a worker, which has it at once. */
static void
start_on(sched_t *s, task_t *t, worker_t *w)
{
	run_start(s, t, w, start_run_number(s, t));
	run_order_done(s, t->run, SCHED_ORDER_OK, 0);
}

/* A worker answers its poll with all its runs. */
static void
answer(scene_t *c, place_t *at)
{
	sched_running_t runs[STARTS_MAX];
	sched_report_t report = { .clock_ms = c->s->now_ms + 1000000,
		.started_ms = 1,
		.running = runs };
	const run_t *r;

	FOREACH_VALUE (r, at->w->runs)
		runs[report.nrunning++] = (sched_running_t){ .task = r->name,
			.run = r->number,
			.checkpoint = "",
			.percent = 100 };
	sched_poll_done(c->s, at->poll_id, at->w->id, SCHED_ORDER_OK, &report,
	    c->s->now_ms);
}

/* Ends the poll in flight at a worker if it is time. */
static void
end_poll(scene_t *c, place_t *at, bool answers)
{
	int64_t age_ms = c->s->now_ms - at->poll_sent_ms;

	if (at->w->poll_id == 0 || at->w->poll_id != at->poll_id)
		return;
	if (answers && age_ms >= at->wait_ms)
		answer(c, at);
	else if (!answers && age_ms >= at->wait_ms + POLL_SLACK_MS)
		sched_poll_done(c->s, at->poll_id, at->w->id,
		    SCHED_ORDER_IN_DOUBT, NULL, c->s->now_ms);
}

/* Orders to the other worker are carried out, those to the lost one time out. */
static void
end_orders(scene_t *c, sched_order_result_t lost)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->s->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->worker == c->lost.w) {
			if (r->order_pending &&
			    (lost == SCHED_ORDER_NOT_SENT ||
				c->s->now_ms -
					MAX(r->ordered_ms, r->state_since_ms) >=
				    ORDER_TIMEOUT_MS))
				sched_order_done(
				    c->s, r->id, lost, 0, c->s->now_ms);
		} else if (r->state == RUN_STARTING)
			sched_order_done(
			    c->s, r->id, SCHED_ORDER_OK, 0, c->s->now_ms);
		else if (r->state == RUN_STOPPING &&
		    c->s->now_ms - r->state_since_ms >= STOP_MS)
			run_remove(c->s, r);
	}
}

static void
step(scene_t *c, bool answers, sched_order_result_t lost)
{
	sched_t *s = c->s;

	if (s->write_pending)
		sched_write_done(
		    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
	for (int i = 0; i < SCHED_NFEEDS; i++)
		s->feed_read_ms[i] = s->now_ms + STEP_MS;
	s->start_pass_due = true;
	sched_tick(s, s->now_ms + STEP_MS, 0);
	end_poll(c, &c->lost, answers);
	end_poll(c, &c->other, true);
	end_orders(c, lost);
}

/* A lasting task runs on one worker; the other is full of work that takes long. */
static void
set_up(scene_t *c)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.ctx = c,
		.port = { .event = ignore_event,
		    .write = ignore_write,
		    .order = ignore_order,
		    .poll = take_poll } };
	sched_t *s = c->s = sched_new(&o);
	step_t *in_the_way;

	s->now_ms = s->cell.confirmed_ms = BEGIN_MS;
	s->cell.state = CELL_OWNED;
	s->cell.workers_accounted = true;
	c->lost.w = list_worker(s, "lost");
	c->other.w = list_worker(s, "other");
	c->lasting = add_step(s, "0000000000000001", LASTING_MILLI, 1);
	in_the_way = add_step(s, "0000000000000002", WORKER_CPU_MILLI, 1);
	c->shorts = add_step(s, "0000000000000003", SHORT_MILLI, STARTS_MAX);
	while (s->now_ms < BEGIN_MS + SETTLE_MS) {
		if (s->now_ms == BEGIN_MS + 1000) {
			start_on(s, &c->lasting->tasks[0], c->lost.w);
			start_on(s, &in_the_way->tasks[0], c->other.w);
		}
		step(c, true, SCHED_ORDER_OK);
	}
	/* Its last answer has just been read. */
	while (s->now_ms - c->lost.w->answered_ms >= STEP_MS)
		step(c, true, SCHED_ORDER_OK);
	cr_assert(c->lasting->tasks[0].run->worker == c->lost.w);
}

/*
 * Guards against lasting tasks that are down for over 6 s with their worker, as starts were
 * sent there after its last answer: these may be at a process that is not known, the
 * tasks that it has listed may not.
 */
Test(lost_worker, its_lasting_tasks_are_back_in_time)
{
	static const struct {
		const char *what;
		int64_t starts_ms[STARTS_MAX]; /* after the last answer */
		sched_order_result_t result;
	} cases[] = {
		{ "no start", { 0 }, SCHED_ORDER_IN_DOUBT },
		{ "a start", { 300 }, SCHED_ORDER_IN_DOUBT },
		{ "a start just before a poll is missed", { 1300 },
		    SCHED_ORDER_IN_DOUBT },
		{ "several", { 100, 200, 300, 400 }, SCHED_ORDER_IN_DOUBT },
		{ "a start that is refused", { 1300 }, SCHED_ORDER_NOT_SENT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		scene_t c = { 0 };
		const task_t *t;
		int64_t lost_ms, down_ms = 0;

		set_up(&c);
		t = &c.lasting->tasks[0];
		lost_ms = c.lost.w->answered_ms;
		while (down_ms < 2 * DOWN_MAX_MS &&
		    (t->run == NULL || t->run->worker == c.lost.w)) {
			for (int32_t k = 0; k < STARTS_MAX; k++)
				if (cases[i].starts_ms[k] != 0 &&
				    down_ms == cases[i].starts_ms[k] &&
				    cell_worker_usable(c.s, c.lost.w)) {
					run_start(c.s, &c.shorts->tasks[k],
					    c.lost.w, 1);
					c.start_sent_ms[k] = c.s->now_ms;
				}
			step(&c, false, cases[i].result);
			down_ms = c.s->now_ms - lost_ms;
		}
		for (int32_t k = 0; k < STARTS_MAX; k++)
			cr_assert_eq(c.start_sent_ms[k] != 0,
			    cases[i].starts_ms[k] != 0, "%s: start %d",
			    cases[i].what, k);
		cr_expect_lt(down_ms, DOWN_MAX_MS, "%s: down for %d ms",
		    cases[i].what, (int)down_ms);
		/* What may be at another process is not started again yet. */
		for (int32_t k = 0; k < STARTS_MAX; k++)
			if (c.start_sent_ms[k] != 0 &&
			    cases[i].result == SCHED_ORDER_IN_DOUBT &&
			    c.s->now_ms < c.start_sent_ms[k] + LONGEST_LEASE_MS)
				cr_expect(c.shorts->tasks[k].run != NULL &&
					c.shorts->tasks[k].run->worker ==
					    c.lost.w,
				    "%s: start %d", cases[i].what, k);
		sched_free(c.s);
	}
}
