/*
 * Lasting tasks that are down at the same time and are held by something else than
 * room: quarantine, approval, a quota, workers that refuse them.
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

#define WORKERS	      30
#define BEGIN_MS      100000
#define LASTING_MILLI 24000 /* of the 64000 of a worker, which has one */
/* Of lasting tasks, and as much again for short work. */
#define QUOTA_MILLI (2 * WORKERS * LASTING_MILLI)
/* Of three lasting tasks, and short work of one. */
#define TIGHT_MILLI (4 * LASTING_MILLI)
#define SHORT_MILLI 2000 /* so that what one leaves is not enough */
#define SHORT_MS    700	 /* the shortest; others take up to twice that */
#define SHORT_WIDTH 20	 /* tasks of a job */
#define STEP_MS	    50
#define SUSPECT_MS  20000 /* a suspect task takes */
#define STOP_MS	    500	  /* until a stopped run has ended */
#define ROUND_MS    250
#define STORE_MS    200	  /* until a row is stored */
#define APPROVAL_MS 300	  /* until a request for approval is answered */
#define TICKETS_MS  5000  /* they are valid for so long */
#define SETTLE_MS   4000  /* before tasks go down */
#define WATCHED_MS  30000 /* after that */
/* The users call a lasting task lost that is down for so long beside room for it. */
#define DOWN_MAX_MS 6000

/* What happens to some workers at one moment. */
typedef enum {
	THEIR_RUNS_FAIL,
	THEY_LEAVE,
	THEY_CRASH,	  /* soon after their lasting runs have begun */
	THEY_CRASH_AGAIN, /* as other workers of these tasks did */
	HALF_CRASH	  /* the others leave */
} event_t;

/* How a scene differs from one with nothing but lasting tasks. */
typedef struct {
	int width;     /* of a lasting job; it divides the number of tasks */
	bool full;     /* short work takes all that is free */
	bool gang;     /* the lasting jobs are gangs */
	bool approval; /* the lasting jobs need approval */
	int64_t
	    quota_milli; /* of the one customer of all jobs; 0: it has none */
	bool tight; /* only the first lasting job and some short ones have it */
	bool earlier_owner; /* it may have started tasks of the jobs */
	guint refusing;	    /* workers that refuse to start lasting tasks */
} scene_opts_t;

/* A request for approval. */
typedef struct {
	uint64_t id;
	int64_t sent_ms;
	GPtrArray *workers;
} request_t;

typedef struct {
	scene_opts_t o;
	sched_t *s;
	GPtrArray *lasting; /* of step_t */
	int next_job;
	int64_t longest_ms; /* that a lasting task was down */
	int down;	    /* lasting tasks, when last looked at */
	int64_t since_ms[WORKERS];
	GPtrArray *requests; /* for approval, in flight: of request_t */
} scene_t;

static worker_t *
worker(const scene_t *c, guint i)
{
	return g_ptr_array_index(c->s->worker_list, i);
}

static step_t *
add_step(scene_t *c, const Sched__Step *d)
{
	g_autofree char *id = g_strdup_printf("%016d", ++c->next_job);
	step_t *st = first_step(add_job(c->s, id, d, c->s->wall_ms));

	if (c->o.quota_milli != 0 && !c->o.tight)
		st->occ->job->customer = customer_get(c->s, "c");
	st->ready = true;
	return st;
}

/* Lasting jobs of some tasks each, spread over all workers. */
static void
add_lasting(scene_t *c)
{
	Sched__Step d = step_def("", LASTING_MILLI, false, 0);
	int left = 0;
	step_t *st = NULL;

	d.lasting = true;
	d.gang = c->o.gang;
	d.count = c->o.width;
	for (int i = 0; i < WORKERS; i++) {
		run_t *r;

		if (left == 0) {
			st = add_step(c, &d);
			st->occ->job->needs_approval = c->o.approval;
			st->occ->job->maybe_started_before = c->o.earlier_owner;
			g_ptr_array_add(c->lasting, st);
			left = c->o.width;
			if (c->o.tight && i == 0)
				st->occ->job->customer =
				    customer_get(c->s, "c");
		}
		r = add_running(
		    c->s, st, c->o.width - left--, worker(c, (guint)i));
		r->first_seen_ms = BEGIN_MS;
	}
}

/* Short jobs, so that some always wait; of the customer, if it has few. */
static void
add_short(scene_t *c)
{
	Sched__Step d = step_def("", SHORT_MILLI, false, 0);
	int32_t most = c->o.full ? 120 : c->o.tight ? 3 : 0;

	d.count = SHORT_WIDTH;
	d.estimate_ms = SHORT_MS;
	while (g_sequence_get_length(c->s->ready_steps) < most) {
		step_t *st = add_step(c, &d);

		if (c->o.tight)
			st->occ->job->customer = customer_get(c->s, "c");
		queue_add_step(c->s, st);
	}
}

/* How long a run takes that does not last. */
static int64_t
run_ms(const run_t *r)
{
	return r->task->step->def->estimate_ms +
	    (int64_t)(r->id % 15) * STEP_MS;
}

/* Answers a start, or ends a run whose time has come. */
static void
update_run(scene_t *c, run_t *r)
{
	int64_t age_ms = c->s->now_ms - r->state_since_ms;
	bool lasting = r->task->step->def->lasting;

	if (r->state == RUN_STARTING)
		run_order_done(c->s, r,
		    lasting && r->worker->id[0] == 'x' ? SCHED_ORDER_NO_ROOM :
							 SCHED_ORDER_OK,
		    0);
	else if (r->state == RUN_STOPPING && age_ms >= STOP_MS)
		run_remove(c->s, r);
	else if (r->state == RUN_RUNNING && !lasting) {
		r->percent = (int32_t)(age_ms * 100 / run_ms(r));
		if (r->percent < 100)
			return;
		job_mark_task_done(r->task);
		run_remove(c->s, r);
	}
}

/* All orders and polls are answered. */
static void
answer_all(scene_t *c)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->s->runs);

	for (GList *i = all; i != NULL; i = i->next)
		update_run(c, i->data);
	for (guint i = 0; i < c->s->worker_list->len; i++) {
		worker_t *w = worker(c, i);

		if (!w->listed)
			continue;
		w->answered_ms = w->reported_ms = c->s->now_ms;
		quarantine_report(c->s, w);
		straggler_report(c->s, w);
	}
}

/* Rows that were written before are stored, and others written. */
static void
store(scene_t *c)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->s->jobs);

	for (GList *i = all; i != NULL; i = i->next) {
		job_t *j = i->data;

		j->rows_stored = j->rows_packed;
		j->rows_packed += j->dirty;
		j->dirty = false;
	}
}

static void
request_free(void *p)
{
	request_t *r = p;

	g_ptr_array_unref(r->workers);
	g_free(r);
}

static void
take_request(void *ctx, const sched_approval_request_t *a)
{
	scene_t *c = ctx;
	request_t *r = g_new0(request_t, 1);

	r->id = a->id;
	r->sent_ms = c->s->now_ms;
	r->workers = g_ptr_array_new();
	for (size_t i = 0; i < a->nworkers; i++)
		g_ptr_array_add(r->workers, (void *)a->workers[i]);
	g_ptr_array_add(c->requests, r);
}

/* The service approves of all workers. */
static void
approve(scene_t *c, const request_t *r)
{
	g_autofree sched_ticket_t *t = g_new0(sched_ticket_t, r->workers->len);
	sched_approval_t a = { .approved = t,
		.napproved = r->workers->len,
		.valid_ms = TICKETS_MS };

	for (guint i = 0; i < r->workers->len; i++)
		t[i] =
		    (sched_ticket_t){ g_ptr_array_index(r->workers, i), "t" };
	sched_approval_done(c->s, r->id, &a, c->s->now_ms);
}

/* Answers the requests for approval that have waited for long enough. */
static void
answer_requests(scene_t *c)
{
	while (c->requests->len > 0) {
		const request_t *r = g_ptr_array_index(c->requests, 0);

		if (c->s->now_ms - r->sent_ms < APPROVAL_MS)
			break;
		approve(c, r);
		g_ptr_array_remove_index(c->requests, 0);
	}
}

/* Notes how long each lasting task has been down. */
static void
look(scene_t *c)
{
	int n = 0;

	c->down = 0;
	for (guint i = 0; i < c->lasting->len; i++) {
		const step_t *st = g_ptr_array_index(c->lasting, i);

		for (int32_t k = 0; k < st->ntasks; k++, n++) {
			if (st->tasks[k].run != NULL &&
			    st->tasks[k].run->state == RUN_RUNNING) {
				c->since_ms[n] = 0;
				continue;
			}
			c->down++;
			if (c->since_ms[n] == 0)
				c->since_ms[n] = c->s->now_ms;
			c->longest_ms =
			    MAX(c->longest_ms, c->s->now_ms - c->since_ms[n]);
		}
	}
}

static void
step(scene_t *c)
{
	sched_t *s = c->s;

	set_fresh_time(s, s->now_ms + STEP_MS);
	answer_all(c);
	add_short(c);
	if (s->now_ms % STORE_MS == 0)
		store(c);
	answer_requests(c);
	if (s->now_ms % ROUND_MS == 0) {
		queue_resort(s);
		scan_begin_round(s);
	}
	start_waiting_tasks(s);
	look(c);
}

static void
run_for(scene_t *c, int64_t ms)
{
	int64_t until_ms = c->s->now_ms + ms;

	while (c->s->now_ms < until_ms)
		step(c);
}

/* A scene that has settled, in which all lasting tasks run. */
static void
begin_scene(scene_t *c, const scene_opts_t *o)
{
	sched_customer_t q = { .name = "c",
		.weight = 1,
		.quota_cpu_milli = o->quota_milli,
		.quota_mem_mb = SCHED_AMOUNT_MAX };

	*c = (scene_t){ .o = *o,
		.s = new_owner(),
		.lasting = g_ptr_array_new(),
		.requests = g_ptr_array_new_with_free_func(request_free) };
	c->s->opts.ctx = c;
	c->s->opts.port.request_approval = take_request;
	for (guint i = 0; i < WORKERS; i++) {
		/* The last ones, which nothing happens to. */
		bool refuses = i >= WORKERS - o->refusing;
		g_autofree char *id =
		    g_strdup_printf("%c%02u", refuses ? 'x' : 'w', i);

		add_worker(c->s, id);
	}
	set_fresh_time(c->s, BEGIN_MS);
	if (o->quota_milli != 0)
		sched_set_customers(c->s, &q, 1, c->s->now_ms);
	add_lasting(c);
	run_for(c, SETTLE_MS);
	cr_assert_eq(c->longest_ms, 0, "before");
}

static void
end_scene(scene_t *c)
{
	g_ptr_array_free(c->lasting, TRUE);
	g_ptr_array_free(c->requests, TRUE);
	sched_free(c->s);
}

/* The runs of lasting tasks on a worker fail. */
static void
fail_on(scene_t *c, worker_t *w)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (GList *i = all; i != NULL; i = i->next)
		if (((run_t *)i->data)->task->step->def->lasting)
			run_remove(c->s, i->data);
}

/* A worker leaves, and what ran there has ended. */
static void
leave(scene_t *c, worker_t *w)
{
	w->listed = false;
	run_worker_lost(c->s, w, "it left");
}

/* A worker crashes and is gone. */
static void
crash(scene_t *c, worker_t *w, bool soon)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		run_t *r = v;

		if (!r->task->step->def->lasting)
			continue;
		if (soon)
			r->first_seen_ms = c->s->now_ms - CRASH_SOON_MS / 2;
		else
			crash_add(r->task, r->number - 1, false);
	}
	w->listed = false;
	crash_worker_replaced(c->s, w);
	run_worker_lost(c->s, w, "it crashed");
}

static void
begin_event(scene_t *c, event_t e, guint i)
{
	worker_t *w = worker(c, i);

	if (e == THEIR_RUNS_FAIL)
		fail_on(c, w);
	else if (e == THEY_LEAVE || (e == HALF_CRASH && i % 2 == 0))
		leave(c, w);
	else
		crash(c, w, e != THEY_CRASH_AGAIN);
}

typedef struct {
	const char *what;
	event_t event;
	guint workers; /* that it happens to */
	scene_opts_t o;
} case_t;

static void
check(const case_t *cases, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		scene_t c;

		begin_scene(&c, &cases[i].o);
		for (guint k = 0; k < cases[i].workers; k++)
			begin_event(&c, cases[i].event, k);
		look(&c);
		cr_expect_eq(c.down, (int)cases[i].workers, "%s: %d down",
		    cases[i].what, c.down);
		run_for(&c, WATCHED_MS);
		cr_expect_lt(c.longest_ms, DOWN_MAX_MS, "%s: down for %d ms",
		    cases[i].what, (int)c.longest_ms);
		end_scene(&c);
	}
}

/*
 * Guards against lasting tasks that stay down after crashes of their workers, as
 * suspects wait for each other or for room that goes to others.
 */
Test(lasting_held, suspects_are_back_in_time)
{
	static const case_t cases[] = {
		{ "one, room", THEY_CRASH, 1, { .width = 15 } },
		{ "a third, room", THEY_CRASH, 10, { .width = 15 } },
		{ "a third, room, narrow", THEY_CRASH, 10, { .width = 1 } },
		{ "a third, room, again", THEY_CRASH_AGAIN, 10,
		    { .width = 15 } },
		{ "a third, room, an earlier owner", THEY_CRASH, 10,
		    { .width = 15, .earlier_owner = true } },
		{ "one, full", THEY_CRASH, 1, { .width = 15, .full = true } },
		{ "three, full", THEY_CRASH, 3, { .width = 15, .full = true } },
		{ "a third, full", THEY_CRASH, 10,
		    { .width = 15, .full = true } },
		{ "a third, full, narrow", THEY_CRASH, 10,
		    { .width = 1, .full = true } },
		{ "a third, full, again", THEY_CRASH_AGAIN, 10,
		    { .width = 15, .full = true } },
		{ "a third, full, an earlier owner", THEY_CRASH, 10,
		    { .width = 15, .full = true, .earlier_owner = true } },
		{ "half of a third, full", HALF_CRASH, 10,
		    { .width = 15, .full = true } },
	};

	check(cases, G_N_ELEMENTS(cases));
}

/*
 * Guards against lasting tasks that stay down as workers are asked approval for only
 * while they have room, which others take before the answer.
 */
Test(lasting_held, approval_is_there_before_the_room)
{
	static const case_t cases[] = {
		{ "room", THEY_LEAVE, 10, { .width = 15, .approval = true } },
		{ "full, their runs fail", THEIR_RUNS_FAIL, 10,
		    { .width = 15, .approval = true, .full = true } },
		{ "full, one", THEY_LEAVE, 1,
		    { .width = 15, .approval = true, .full = true } },
		{ "full", THEY_LEAVE, 10,
		    { .width = 15, .approval = true, .full = true } },
		{ "full, narrow", THEY_LEAVE, 10,
		    { .width = 1, .approval = true, .full = true } },
	};

	check(cases, G_N_ELEMENTS(cases));
}

/*
 * Guards against lasting tasks that stay down as what becomes free of their customer's
 * quota goes to its other tasks.
 */
Test(lasting_held, the_quota_is_left_to_them)
{
	static const case_t cases[] = {
		{ "one", THEIR_RUNS_FAIL, 1,
		    { .width = 15, .quota_milli = QUOTA_MILLI, .full = true } },
		{ "wide", THEIR_RUNS_FAIL, 10,
		    { .width = 15, .quota_milli = QUOTA_MILLI, .full = true } },
		{ "narrow", THEIR_RUNS_FAIL, 10,
		    { .width = 1, .quota_milli = QUOTA_MILLI, .full = true } },
		{ "wide, they leave", THEY_LEAVE, 10,
		    { .width = 15, .quota_milli = QUOTA_MILLI, .full = true } },
		{ "narrow, they leave", THEY_LEAVE, 10,
		    { .width = 1, .quota_milli = QUOTA_MILLI, .full = true } },
		{ "suspects", THEY_CRASH, 10,
		    { .width = 15, .quota_milli = QUOTA_MILLI, .full = true } },
	};

	check(cases, G_N_ELEMENTS(cases));
}

/*
 * Guards against lasting tasks that stay down as other work of a customer with little
 * quota takes theirs while something else holds them.
 */
Test(lasting_held, a_tight_quota_is_left_to_them)
{
	static const case_t cases[] = {
		{ "one fails", THEIR_RUNS_FAIL, 1,
		    { .width = 3, .quota_milli = TIGHT_MILLI, .tight = true } },
		{ "three fail", THEIR_RUNS_FAIL, 3,
		    { .width = 3, .quota_milli = TIGHT_MILLI, .tight = true } },
		{ "three leave", THEY_LEAVE, 3,
		    { .width = 3, .quota_milli = TIGHT_MILLI, .tight = true } },
		{ "one suspect", THEY_CRASH, 1,
		    { .width = 3, .quota_milli = TIGHT_MILLI, .tight = true } },
		{ "three suspects", THEY_CRASH, 3,
		    { .width = 3, .quota_milli = TIGHT_MILLI, .tight = true } },
		{ "one, approval", THEIR_RUNS_FAIL, 1,
		    { .width = 3,
			.quota_milli = TIGHT_MILLI,
			.tight = true,
			.approval = true } },
		{ "three, approval", THEIR_RUNS_FAIL, 3,
		    { .width = 3,
			.quota_milli = TIGHT_MILLI,
			.tight = true,
			.approval = true } },
	};

	check(cases, G_N_ELEMENTS(cases));
}

/*
 * Guards against lasting tasks that stay down beside workers that refuse to start them
 * and count as having the most room.
 */
Test(lasting_held, some_workers_refuse_them)
{
	static const case_t cases[] = {
		{ "one", THEY_LEAVE, 1,
		    { .width = 15, .refusing = 3, .full = true } },
		{ "a third", THEY_LEAVE, 10,
		    { .width = 15, .refusing = 3, .full = true } },
		{ "a third, narrow", THEY_LEAVE, 10,
		    { .width = 1, .refusing = 3, .full = true } },
		{ "a third, room", THEY_LEAVE, 10,
		    { .width = 15, .refusing = 3 } },
	};

	check(cases, G_N_ELEMENTS(cases));
}

/* Guards against lasting gangs that stay down, as room for all of one never comes. */
Test(lasting_held, gangs_are_back_in_time)
{
	static const case_t cases[] = {
		{ "one, room", THEY_LEAVE, 3, { .width = 3, .gang = true } },
		{ "three, room", THEY_LEAVE, 9, { .width = 3, .gang = true } },
		{ "one, full", THEY_LEAVE, 3,
		    { .width = 3, .gang = true, .full = true } },
		{ "three, full", THEY_LEAVE, 9,
		    { .width = 3, .gang = true, .full = true } },
		{ "three, full, their runs fail", THEIR_RUNS_FAIL, 9,
		    { .width = 3, .gang = true, .full = true } },
		{ "five, full", THEY_LEAVE, 10,
		    { .width = 2, .gang = true, .full = true } },
		{ "ten of one task, full", THEY_LEAVE, 10,
		    { .width = 1, .gang = true, .full = true } },
	};

	check(cases, G_N_ELEMENTS(cases));
}

/*
 * Guards against a lasting task that is down for as long as a suspect is tried on the
 * worker on which it is to start.
 */
Test(lasting_held, no_suspect_is_tried_in_their_place)
{
	static const struct {
		const char *what;
		int32_t crashes; /* of the suspect: tried for 1.5 or 10 s */
	} cases[] = { { "after one crash", 1 }, { "after three", 3 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		scene_t c = { .s = new_owner(),
			.lasting = g_ptr_array_new(),
			.requests = g_ptr_array_new() };
		Sched__Step d = step_def("", LASTING_MILLI, false, 0);
		Sched__Step suspect_def = step_def("", 1000, false, 0);
		Sched__Step in_way = step_def("", 0, false, 0);
		worker_t *from, *to;
		step_t *st, *suspect;

		from = add_worker(c.s, "from");
		to = add_worker(c.s, "to");
		set_fresh_time(c.s, BEGIN_MS);
		d.lasting = in_way.lasting = true;
		in_way.cpu_milli = WORKER_CPU_MILLI - LASTING_MILLI - 1000;
		st = add_step(&c, &d);
		g_ptr_array_add(c.lasting, st);
		add_running(c.s, st, 0, from)->first_seen_ms = 1;
		add_running(c.s, add_step(&c, &in_way), 0, to)->first_seen_ms =
		    1;
		run_for(&c, ROUND_MS);
		from->draining = true;
		straggler_report(c.s, from);
		suspect_def.estimate_ms = SUSPECT_MS;
		suspect = add_step(&c, &suspect_def);
		for (int32_t k = 0; k < cases[i].crashes; k++)
			crash_add(&suspect->tasks[0], k + 1, k == 0);
		queue_add_step(c.s, suspect);
		run_for(&c, 3 * DOWN_MAX_MS);
		cr_expect_lt(c.longest_ms, DOWN_MAX_MS, "%s: down for %d ms",
		    cases[i].what, (int)c.longest_ms);
		end_scene(&c);
	}
}
