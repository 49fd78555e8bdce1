/*
 * Answers that a job isn't there, or won't run, while a write of its submission may be
 * on its way: two entries, and a store that performs a write late.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"
#include "../../serve/store_clock.h"
#include "../../serve/auth.h"
#include "../../serve/rate_limit.h"
#include "../../serve/serve.h"
#include "../../serve/job_rows.h"
#include "entry_fixture.h"
#include "late_store.h"

#define FIRST_PORT 18910
#define CALL_MS	   5000
#define CONFIG_MS  600000
#define STEPS_MAX  10
#define NONE	   0 /* instead of a status: no answer is waited for */

typedef struct fixture fixture_t;

typedef struct {
	fixture_t *fixture;
	node_t node;
	int port;
} entry_t;

struct fixture {
	uv_loop_t loop;
	late_store_t store;
	entry_t *entries[2];
	bool refuses; /* the entries refuse submissions as over the rate */
	client_t *client;
	int32_t status;	     /* of the last call that was waited for */
	int32_t lost_status; /* of the submission whose write was lost */
	bool lost_answered;
};

static void
on_request(void *ctx, server_req_t *r)
{
	entry_t *e = ctx;
	incoming_t in = { .req = r, .came_ms = node_now_ms(&e->node) };
	route_match_t m = { 0 };
	rejection_t why = { SCHED_OVER_RATE, RETRY_AFTER_MS };

	if (!e->fixture->refuses || strcmp(r->method, "POST") != 0) {
		ingress_request(&e->node, r);
		return;
	}
	cr_assert_eq(
	    route_find(e->node.config, r->host, r->path, &m), ROUTE_FOUND);
	request_reject(&e->node, &in, &m, "", &why);
}

/* An entry that knows nothing but the tables, as after its start. */
static entry_t *
entry_new(fixture_t *f)
{
	entry_t *e = g_new0(entry_t, 1);

	e->fixture = f;
	e->port = entry_fixture_init(&e->node,
	    &(entry_opts_t){ .loop = &f->loop,
		.store_addr = f->store.address,
		.config_ms = CONFIG_MS,
		.first_port = FIRST_PORT,
		.on_request = on_request,
		.ctx = e });
	e->node.operator_watch =
	    table_watch_new(&(table_watch_opts_t){ .node = &e->node });
	e->node.operators_as_of_ms = node_now_ms(&e->node);
	e->node.tombstones = e->node.refusals = (rate_limit_t){ 10, 20 };
	uv_timer_init(&f->loop, &e->node.retry_timer);
	e->node.retry_timer.data = &e->node;
	return e;
}

static void
fixture_init(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	uv_loop_init(&f->loop);
	late_store_init(&f->store, &f->loop);
	f->client = client_new(&f->loop);
	f->entries[0] = entry_new(f);
	f->entries[1] = entry_new(f);
}

static void
on_answer(void *ctx, int32_t status, const char *body, size_t n)
{
	fixture_t *f = ctx;

	(void)body;
	(void)n;
	f->status = status;
}

static void
on_lost_answer(void *ctx, int32_t status, const char *body, size_t n)
{
	fixture_t *f = ctx;

	(void)body;
	(void)n;
	f->lost_status = status;
	f->lost_answered = true;
}

static void
send_call(
    fixture_t *f, int entry, const char *method, const char *id, client_fn fn)
{
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d/q/%s", f->entries[entry]->port, id);

	client_call(f->client, method, url, NULL,
	    strcmp(method, "POST") == 0 ? entry_job : NULL, CALL_MS, fn, f);
}

/* Calls an entry, and waits for the status of its answer. */
static int32_t
call(fixture_t *f, int entry, const char *method, const char *id)
{
	f->status = -1;
	send_call(f, entry, method, id, on_answer);
	while (f->status == -1)
		uv_run(&f->loop, UV_RUN_ONCE);
	return f->status;
}

/* Submits the job by a write that is lost; doesn't wait for the answer. */
static void
lose_submission(fixture_t *f, int entry)
{
	f->store.lost_key = ENTRY_JOB_ID;
	send_call(f, entry, "POST", ENTRY_JOB_ID, on_lost_answer);
	while (f->store.lost_key != NULL)
		uv_run(&f->loop, UV_RUN_ONCE);
}

typedef enum {
	END,
	SUBMIT,
	LOSE,	/* the write of a submission is lost */
	REFUSE, /* the submission is refused as over the rate */
	CANCEL,
	STATE,
	PERFORM, /* the lost writes are performed; want: how many */
	RESTART	 /* of all entries */
} op_t;

typedef struct {
	op_t op;
	int entry;
	int32_t want; /* status */
} step_t;

static int32_t
take_step(fixture_t *f, const step_t *st)
{
	f->refuses = st->op == REFUSE;
	switch (st->op) {
	case SUBMIT:
	case REFUSE:
		return call(f, st->entry, "POST", ENTRY_JOB_ID);
	case CANCEL:
		return call(f, st->entry, "DELETE", ENTRY_JOB_ID);
	case STATE:
		return call(f, st->entry, "GET", ENTRY_JOB_ID);
	case PERFORM:
		return late_store_perform(&f->store);
	case LOSE:
		lose_submission(f, st->entry);
		return st->want;
	default:
		f->entries[0] = entry_new(f);
		f->entries[1] = entry_new(f);
		return st->want;
	}
}

typedef struct {
	const char *what;
	step_t steps[STEPS_MAX];
	bool job; /* it is there at the end */
} case_t;

/* Plays a case; a submission whose write was lost is answered so if no job is there. */
static void
play(const case_t *c, int32_t without_job)
{
	fixture_t f;
	bool lost = false;

	fixture_init(&f);
	for (const step_t *st = c->steps; st->op != END; st++) {
		int32_t got = take_step(&f, st);

		lost = lost || st->op == LOSE;
		cr_expect_eq(got, st->want, "%s, step %td: %d", c->what,
		    st - c->steps, got);
	}
	/* The submission is tried again beside the write. */
	while (lost && !f.lost_answered)
		uv_run(&f.loop, UV_RUN_ONCE);
	cr_expect_eq(
	    late_store_has(&f.store, ENTRY_JOB_ID), c->job, "%s", c->what);
	cr_expect(!lost || f.lost_status == (c->job ? 200 : without_job),
	    "%s: the submission is answered %d", c->what, f.lost_status);
}

/*
 * Guards against UNASKED (review/3): a cancel was answered 410, as there was no row of
 * the job, while a write of its submission was on its way.  The job ran.
 */
Test(late_writes, what_is_gone_stays_gone, .timeout = 60)
{
	static const case_t cases[] = {
		{ "cancelled at another entry",
		    { { LOSE, 0, NONE }, { CANCEL, 1, 410 }, { PERFORM, 0, 0 },
			{ STATE, 0, 410 }, { STATE, 1, 410 } },
		    false },
		{ "cancelled at the same entry",
		    { { LOSE, 0, NONE }, { CANCEL, 0, 410 }, { PERFORM, 0, 0 },
			{ STATE, 0, 410 } },
		    false },
		{ "two lost writes",
		    { { LOSE, 0, NONE }, { LOSE, 1, NONE }, { CANCEL, 1, 410 },
			{ PERFORM, 0, 0 }, { CANCEL, 0, 410 } },
		    false },
		{ "all entries are restarted",
		    { { LOSE, 0, NONE }, { CANCEL, 1, 410 }, { RESTART, 0, 0 },
			{ PERFORM, 0, 0 }, { STATE, 0, 410 },
			{ SUBMIT, 1, 410 } },
		    false },
		{ "cancelled before it is submitted",
		    { { CANCEL, 0, 410 }, { SUBMIT, 1, 410 },
			{ STATE, 0, 410 } },
		    false },
		{ "the write was performed before",
		    { { LOSE, 0, NONE }, { PERFORM, 0, 1 }, { CANCEL, 1, 200 },
			{ STATE, 0, 200 }, { CANCEL, 0, 200 } },
		    true },
		{ "cancelled after it was accepted",
		    { { SUBMIT, 0, 200 }, { CANCEL, 1, 200 },
			{ SUBMIT, 1, 200 }, { CANCEL, 0, 200 } },
		    true },
		{ "not cancelled",
		    { { LOSE, 0, NONE }, { STATE, 1, 410 }, { PERFORM, 0, 1 },
			{ STATE, 1, 200 }, { SUBMIT, 1, 200 } },
		    true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		play(&cases[i], 410);
}

/*
 * Guards against a job that runs after its submission was refused: by 429 or 503 it
 * "was not accepted and never runs", also where it repeats one in doubt.
 */
Test(late_writes, what_is_refused_never_runs, .timeout = 60)
{
	static const case_t cases[] = {
		{ "after one in doubt",
		    { { LOSE, 0, NONE }, { REFUSE, 1, 429 }, { PERFORM, 0, 0 },
			{ STATE, 0, 410 } },
		    false },
		{ "all entries are restarted",
		    { { LOSE, 0, NONE }, { REFUSE, 1, 429 }, { RESTART, 0, 0 },
			{ PERFORM, 0, 0 }, { STATE, 0, 410 } },
		    false },
		{ "twice, and accepted then",
		    { { REFUSE, 0, 429 }, { REFUSE, 1, 429 },
			{ SUBMIT, 0, 200 }, { STATE, 1, 200 } },
		    true },
		{ "cancelled then",
		    { { REFUSE, 0, 429 }, { CANCEL, 1, 410 },
			{ SUBMIT, 0, 410 }, { REFUSE, 0, 410 } },
		    false },
		{ "after it was accepted",
		    { { SUBMIT, 0, 200 }, { REFUSE, 1, 200 } }, true },
		{ "after the write was performed",
		    { { LOSE, 0, NONE }, { PERFORM, 0, 1 },
			{ REFUSE, 1, 200 } },
		    true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		play(&cases[i], 503);
}

/* A submission that follows a refusal is in doubt itself, and refused again. */
Test(late_writes, a_later_refusal_counts, .timeout = 20)
{
	fixture_t f;

	fixture_init(&f);
	f.refuses = true;
	cr_expect_eq(call(&f, 0, "POST", ENTRY_JOB_ID), 429);
	f.refuses = false;
	/* The first write meets the refusal, the second one is lost. */
	send_call(&f, 0, "POST", ENTRY_JOB_ID, on_lost_answer);
	while (f.store.writes < 2)
		uv_run(&f.loop, UV_RUN_ONCE);
	f.store.lost_key = ENTRY_JOB_ID;
	while (f.store.lost_key != NULL)
		uv_run(&f.loop, UV_RUN_ONCE);
	f.refuses = true;
	cr_expect_eq(call(&f, 1, "POST", ENTRY_JOB_ID), 429);
	cr_expect_eq(late_store_perform(&f.store), 0);
	cr_expect(!late_store_has(&f.store, ENTRY_JOB_ID));
}

/*
 * Guards against a job that runs after 503, "never runs": an entry that the store refuses
 * can't know that another one has left a write of the same job in doubt.
 */
Test(late_writes, what_the_store_refuses_never_runs, .timeout = 20)
{
	fixture_t f;
	int32_t status;

	fixture_init(&f);
	lose_submission(&f, 0);
	f.store.refuses = true;
	status = call(&f, 1, "POST", ENTRY_JOB_ID);
	f.store.refuses = false;
	cr_expect(status == 503 || status == 504, "%d", status);
	cr_expect(late_store_perform(&f.store) == 0 || status == 504,
	    "answered %d, and the job is there", status);
}

/* Cancels of jobs that aren't there don't fill the store. */
Test(late_writes, tombstones_are_limited, .timeout = 20)
{
	fixture_t f;
	int32_t gone = 0, refused = 0;

	fixture_init(&f);
	for (int i = 0; i < 40; i++) {
		char id[SCHED_JOB_ID_BYTES + 1];
		int32_t status;

		g_snprintf(id, sizeof(id), "%016x", i);
		status = call(&f, 0, "DELETE", id);
		gone += status == 410;
		refused += status == 503;
	}
	cr_expect_eq(gone + refused, 40);
	cr_expect_geq(gone, 20);
	cr_expect_leq(gone, 30);
	cr_expect_eq(f.store.writes, gone);
	/* One that is known to be gone needs no row. */
	cr_expect_eq(call(&f, 0, "DELETE", "0000000000000000"), 410);
}

/* Once a tombstone is removed the id may be used; with a job it stays. */
Test(late_writes, tombstones_are_removed, .timeout = 20)
{
	static const char *const id[] = { ENTRY_JOB_ID };
	fixture_t f;

	fixture_init(&f);
	cr_expect_eq(call(&f, 0, "DELETE", ENTRY_JOB_ID), 410);
	cr_expect(late_store_has(&f.store, ENTRY_JOB_ID ".c"));
	job_tombstones_remove(&f.entries[0]->node, id, 1);
	while (f.store.writes < 2)
		uv_run(&f.loop, UV_RUN_ONCE);
	cr_expect(!late_store_has(&f.store, ENTRY_JOB_ID ".c"));
	cr_expect_eq(call(&f, 1, "POST", ENTRY_JOB_ID), 200);
	cr_expect_eq(call(&f, 0, "DELETE", ENTRY_JOB_ID), 200);
	job_tombstones_remove(&f.entries[0]->node, id, 1);
	while (f.store.writes < 5)
		uv_run(&f.loop, UV_RUN_ONCE);
	cr_expect(
	    late_store_has(&f.store, ENTRY_JOB_ID ".c"), "a job is there");
}

Test(late_writes, rate_limit)
{
	static const struct {
		int64_t at_ms;
		bool want;
	} calls[] = { { 1000, true }, { 1000, true }, { 1000, false },
		{ 1050, false }, { 1100, true }, { 1100, false },
		{ 9000, true }, { 9000, true }, { 9000, false } };
	rate_limit_t l = { 10, 2 };

	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		cr_expect_eq(rate_limit_take(&l, calls[i].at_ms), calls[i].want,
		    "call %zu", i);
}
