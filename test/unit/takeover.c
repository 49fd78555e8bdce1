/*
 * What a new owner takes for the end of leases that earlier owners granted.
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

#define JOB	     "0000000000000001"
#define TASK	     JOB ".0.0.0"
#define TOKEN	     41
#define CLAIMED_MS   100000
#define CLOCK_MS     500000 /* of the worker at the claim */
#define MAX_LEASE_MS 6000
/* The longest that an owner lets a lease run, on a clock 2 % slow. */
#define LEASE_MS 4082
/* The longest that a worker accepts, on such a clock. */
#define LONGEST_LEASE_MS 6120
#define EXPIRY_MARGIN_MS 200 /* for an order that arrives as a lease ends */
#define START_CALL_MS	 400 /* from a start to its arrival, at most */
/* An owner extends leases for so long after its cell was claimed. */
#define EXTENDS_MS 1000

static uint64_t poll_id;
static int64_t poll_deadline_ms;
static bool claimed_accounted;
static int64_t written_until_ms; /* of the worker; 0: none was written */
static GByteArray *released_row; /* of the owner, as last written; or NULL */

static void
take_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	poll_id = p->id;
	poll_deadline_ms = p->deadline_ms;
}

/* Notes whether the claim says that no run of earlier owners is unknown. */
static void
take_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	Sched__Owner *o = sched__owner__unpack(NULL, owner->len, owner->data);

	(void)ctx;
	(void)version;
	cr_assert_not_null(o);
	claimed_accounted = o->workers_accounted || o->rows_before_starts;
	sched__owner__free_unpacked(o, NULL);
}

static void
ignore_load(void *ctx)
{
	(void)ctx;
}

/* Notes an owner row that releases the cell. */
static void
take_owner_row(GByteArray *b)
{
	Sched__Owner *o = sched__owner__unpack(NULL, b->len, b->data);

	cr_assert_not_null(o);
	if (o->released && released_row == NULL)
		released_row = g_byte_array_ref(b);
	sched__owner__free_unpacked(o, NULL);
}

/* Notes the end of the worker's lease in a row of the footprint. */
static void
take_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);
		Sched__Footprint *f;

		if (strcmp(p->key, SCHED_KEY_OWNER) == 0)
			take_owner_row(p->bytes);
		if (!g_str_has_prefix(p->key, SCHED_KEY_FOOTPRINT))
			continue;
		f = sched__footprint__unpack(
		    NULL, p->bytes->len, p->bytes->data);
		cr_assert_not_null(f);
		if (f->n_until_ms > 0 && f->until_ms[0] != 0)
			written_until_ms = f->until_ms[0];
		sched__footprint__free_unpacked(f, NULL);
	}
}

static void
ignore_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	(void)o;
}

static sched_t *
new_entry(void)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = MAX_LEASE_MS,
		.port = { .event = ignore_event,
		    .claim = take_claim,
		    .load = ignore_load,
		    .write = take_write,
		    .order = ignore_order,
		    .poll = take_poll } };
	sched_t *s = sched_new(&o);

	/* The store's clock is ours. */
	sched_store_clock_read(s, 1, 1);
	return s;
}

static void
read_row(sched_t *s, const char *key, int64_t version, const uint8_t *bytes,
    size_t n)
{
	sched_row_t row = {
		.key = key, .version = version, .bytes = bytes, .nbytes = n
	};

	if (strcmp(key, SCHED_KEY_OWNER) == 0)
		sched_owner_row_read(s, &row, s->now_ms);
	else
		sched_row_read(s, &row, s->now_ms);
}

/* Sends a claim at a time, as the owner that a row names is silent. */
static void
claim_sent(sched_t *s, const Sched__Owner *o, int64_t token, int64_t at_ms)
{
	uint8_t row[128];
	size_t n = sched__owner__pack(o, row);

	poll_id = 0;
	written_until_ms = 0;
	for (s->now_ms = at_ms - 3000; s->cell.state == CELL_FOLLOWING;
	     s->now_ms += 50) {
		read_row(s, SCHED_KEY_OWNER, token - 1, row, n);
		sched_tick(s, s->now_ms, 0);
	}
	s->now_ms = s->cell.write_sent_ms = at_ms;
}

/* Claims the cell at a time from the owner that a row names. */
static void
claim_at(sched_t *s, const Sched__Owner *o, int64_t token, int64_t at_ms)
{
	claim_sent(s, o, token, at_ms);
	sched_claim_done(s, SCHED_WRITE_OK, token, at_ms);
}

static void
claim(sched_t *s, const Sched__Owner *o)
{
	claim_at(s, o, TOKEN, CLAIMED_MS);
}

/*
 * Reads the worker w0 of the footprint, in its process of started_ms, whose lease
 * ends at until_ms or later.
 */
static void
read_footprint_of(sched_t *s, int64_t started_ms, int64_t until_ms)
{
	Sched__Footprint f = SCHED__FOOTPRINT__INIT;
	char *worker = (char *)"w0 a:1";
	uint8_t row[64];

	f.n_workers = f.n_born_ms = f.n_until_ms = 1;
	f.workers = &worker;
	f.born_ms = &started_ms;
	f.until_ms = &until_ms;
	read_row(s, SCHED_KEY_FOOTPRINT ".00", TOKEN - 1, row,
	    sched__footprint__pack(&f, row));
}

static void
read_footprint(sched_t *s, int64_t until_ms)
{
	read_footprint_of(s, 1, until_ms);
}

/* Reads a job of one task that an earlier owner has started. */
static void
read_job(sched_t *s)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	Sched__Step step = step_def("i", 1000, false, 0), *steps[] = { &step };
	Sched__Job d = job_def(steps, 1, 0);
	uint8_t row[256];

	p.state = SCHED__STATE__RUNNING;
	read_row(s, JOB SCHED_KEY_PROGRESS, TOKEN - 2, row,
	    sched__progress__pack(&p, row));
	read_row(s, JOB, TOKEN - 3, row, sched__job__pack(&d, row));
}

static void
list_worker(sched_t *s, int64_t started_ms)
{
	sched_worker_info_t i = worker_info("w0", started_ms);

	sched_worker_listed(s, &i, s->now_ms);
}

/* The worker answers the poll in flight: it has the run of the task. */
static void
answer_poll(sched_t *s)
{
	sched_running_t run = { .task = TASK, .run = 1, .checkpoint = "" };
	sched_report_t r = { .clock_ms = CLOCK_MS + s->now_ms - CLAIMED_MS,
		.started_ms = cell_worker_get(s, "w0")->started_ms,
		.running = &run,
		.nrunning = 1 };

	cr_assert_neq(poll_id, 0, "no poll is in flight");
	sched_poll_done(s, poll_id, "w0", SCHED_ORDER_OK, &r, s->now_ms);
}

/* Fails polls from now until the owner takes the run for ended; returns when. */
static int64_t
miss_polls(sched_t *s)
{
	const worker_t *w = cell_worker_get(s, "w0");

	while (g_hash_table_size(w->runs) > 0 &&
	    s->now_ms < CLAIMED_MS + 3 * MAX_LEASE_MS) {
		if (w->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_NOT_SENT,
			    NULL, s->now_ms);
		sched_tick(s, s->now_ms + 10, 0);
	}
	return s->now_ms;
}

/* The row of an owner that has not released the cell. */
static Sched__Owner
other_owner(void)
{
	Sched__Owner o = SCHED__OWNER__INIT;

	o.name = (char *)"other";
	o.epoch = 1;
	return o;
}

/* A new owner whose first poll of w0, which has a run of others, is in flight. */
static sched_t *
new_owner_of_used_worker(void)
{
	sched_t *s = new_entry();
	Sched__Owner o = other_owner();

	claim(s, &o);
	read_footprint(s, 0);
	read_job(s);
	list_worker(s, 1);
	sched_load_done(s, CLAIMED_MS);
	sched_tick(s, CLAIMED_MS, 0);
	return s;
}

/*
 * Guards against two runs of one task: a worker that answered the first poll of
 * a new owner and missed the next has the leases of earlier owners yet.
 */
Test(takeover, a_missed_poll_after_the_first_answer)
{
	static const struct {
		const char *name;
		bool listed_first;
		int64_t until_ms; /* in the footprint */
		int64_t started_ms;
		int64_t lease_end_ms; /* from the claim */
	} cases[] = {
		{ "in the footprint", false, 0, 1, LEASE_MS },
		{ "listed before the footprint is read", true, 0, 1, LEASE_MS },
		{ "with the end of its lease stored", false, CLAIMED_MS + 3500,
		    1, 3500 },
		/* It has cut a deadline that was meant for the one before. */
		{ "another process", false, 0, 2, MAX_LEASE_MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_entry();
		Sched__Owner o = other_owner();

		claim(s, &o);
		if (cases[i].listed_first)
			list_worker(s, 1);
		read_footprint(s, cases[i].until_ms);
		read_job(s);
		list_worker(s, cases[i].started_ms);
		sched_load_done(s, CLAIMED_MS);
		sched_tick(s, CLAIMED_MS, 0);
		answer_poll(s);
		cr_assert_eq(
		    g_hash_table_size(cell_worker_get(s, "w0")->runs), 1);
		/* Until then an earlier owner could extend the lease. */
		cr_expect_geq(miss_polls(s), CLAIMED_MS + cases[i].lease_end_ms,
		    "%s: %d ms", cases[i].name, (int)(s->now_ms - CLAIMED_MS));
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: the end of a lease that the owner stores
 * for its successors covers what its predecessor granted until the first answer.
 */
Test(takeover, the_stored_end_of_a_lease)
{
	sched_t *s = new_owner_of_used_worker();
	int64_t answered_ms = CLAIMED_MS + 800;

	s->now_ms = answered_ms;
	/* Until it has read the owner's row again, it extends no lease. */
	sched_process_paused(s, answered_ms);
	answer_poll(s);
	for (s->now_ms = answered_ms;
	     written_until_ms == 0 && s->now_ms < answered_ms + 2000;) {
		if (cell_worker_get(s, "w0")->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_NOT_SENT,
			    NULL, s->now_ms);
		if (s->write_pending)
			sched_write_done(
			    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
		sched_tick(s, s->now_ms + 10, 0);
	}
	cr_expect_geq(written_until_ms, answered_ms + LEASE_MS, "%d ms",
	    (int)(written_until_ms - answered_ms));
	sched_free(s);
}

/*
 * Guards against two runs of one task: an owner that released the cell at once may
 * have left workers unseen whose leases the owner before it still extended.
 */
Test(takeover, a_release_before_all_workers_are_seen)
{
	static const struct {
		const char *name;
		bool released, accounted;
		int64_t leases_end_ms;
	} cases[] = {
		{ "silent", false, true, EXTENDS_MS + LEASE_MS },
		{ "released", true, true, LEASE_MS },
		{ "released, workers unseen", true, false,
		    EXTENDS_MS + LEASE_MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_entry();
		Sched__Owner o = other_owner();

		o.released = cases[i].released;
		o.workers_accounted = cases[i].accounted;
		claim(s, &o);
		sched_load_done(s, CLAIMED_MS);
		cr_expect_geq(s->cell.old_leases.ms,
		    CLAIMED_MS + cases[i].leases_end_ms, "%s", cases[i].name);
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: a worker that starts again under its id takes
 * the deadline that its owner sends by the former process's clock for one far ahead,
 * and holds the run for its longest lease, which the next owner does not see.
 */
Test(takeover, a_worker_that_restarted_before_a_change_of_owner)
{
	static const struct {
		const char *name;
		bool released;
	} cases[] = { { "silent", false }, { "released", true } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_entry();
		Sched__Owner o = other_owner();

		o.released = o.workers_accounted = cases[i].released;
		claim(s, &o);
		read_footprint(s, 0);
		sched_load_done(s, CLAIMED_MS);
		sched_tick(
		    s, CLAIMED_MS + START_CALL_MS + LONGEST_LEASE_MS - 1, 0);
		cr_expect_not(s->cell.workers_accounted, "%s", cases[i].name);
		sched_free(s);
	}
}

/* The same is waited for from the claim on, however long the load takes. */
Test(takeover, a_load_that_takes_long)
{
	static const int32_t load_ms[] = { 0, 500, 1200 };

	for (size_t i = 0; i < G_N_ELEMENTS(load_ms); i++) {
		sched_t *s = new_entry();
		Sched__Owner o = other_owner();

		claim(s, &o);
		s->now_ms += load_ms[i];
		sched_load_done(s, s->now_ms);
		cr_expect_eq(s->cell.old_leases.ms,
		    CLAIMED_MS + START_CALL_MS + LONGEST_LEASE_MS, "%d ms",
		    load_ms[i]);
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: a worker's clock that was read in an earlier
 * ownership has drifted since, so that a deadline by it would be too late.
 */
Test(takeover, the_clock_of_an_earlier_ownership)
{
	sched_t *s = new_entry();
	Sched__Owner o = other_owner();
	/* Its clock is 2 % slow. */
	int64_t later_ms = CLAIMED_MS + 60000, clock_ms = CLOCK_MS + 58800;

	claim(s, &o);
	list_worker(s, 1);
	sched_load_done(s, CLAIMED_MS);
	sched_tick(s, CLAIMED_MS, 0);
	answer_poll(s);
	ownership_lost(s, "another owner's row was read");
	claim_at(s, &o, TOKEN + 2, later_ms);
	list_worker(s, 1);
	sched_load_done(s, later_ms);
	poll_id = 0;
	sched_tick(s, later_ms, 0);
	cr_assert_neq(poll_id, 0);
	cr_expect_leq(poll_deadline_ms, clock_ms + LEASE_MS, "%d ms",
	    (int)(poll_deadline_ms - clock_ms));
	sched_free(s);
}

/*
 * Guards against two runs of one task: a process that has owned the cell before
 * says nothing of unknown runs in its next claim, of which it knows nothing yet.
 */
Test(takeover, a_claim_after_an_earlier_ownership)
{
	sched_t *s = new_entry();
	Sched__Owner o = other_owner();

	claim(s, &o);
	sched_load_done(s, CLAIMED_MS);
	sched_tick(s, CLAIMED_MS + MAX_LEASE_MS, 0);
	cr_assert(s->cell.workers_accounted);
	ownership_lost(s, "another owner's row was read");
	claim_at(s, &o, TOKEN + 2, CLAIMED_MS + 2 * MAX_LEASE_MS);
	cr_expect_not(claimed_accounted);
	sched_free(s);
}

/*
 * Guards against two runs of one task: once a release may be in the store, a
 * successor counts leases from it, even if its writer gets no answer.
 */
Test(takeover, no_lease_is_extended_after_a_release)
{
	sched_t *s = new_owner_of_used_worker();

	answer_poll(s);
	cr_expect(ownership_may_extend_leases(s));
	sched_write_done(s, SCHED_WRITE_OK, TOKEN + 1, CLAIMED_MS + 10);
	sched_begin_release(s, CLAIMED_MS + 50);
	sched_tick(s, CLAIMED_MS + 50, 0);
	cr_assert(s->cell.release_sent);
	cr_expect_not(ownership_may_extend_leases(s));
	sched_free(s);
}

/*
 * Guards against two runs of one task: an owner may take the store's clock to be
 * behind by as long as an answer of the store may take, and stores lease ends by it.
 */
Test(takeover, the_writer_of_a_lease_end_has_a_slow_clock)
{
	sched_t *s = new_entry();
	Sched__Owner o = other_owner();
	/* An answer of the store that took longer is not used. */
	int64_t answer_ms = 900, stored_ms = CLAIMED_MS + 3000;

	claim(s, &o);
	read_footprint(s, stored_ms);
	list_worker(s, 1);
	sched_load_done(s, CLAIMED_MS);
	s->now_ms = stored_ms + answer_ms;
	cr_expect(lease_may_hide_runs(s, cell_worker_get(s, "w0")));
	sched_free(s);
}

/*
 * Guards against two runs of one task: what this process knows of a worker may be
 * older than the footprint, which names the process that has the runs.
 */
Test(takeover, a_worker_of_which_an_older_process_is_known)
{
	static const struct {
		const char *name;
		bool owned_before, list_is_behind, listed_after;
	} cases[] = {
		{ "its list is behind", false, true, false },
		{ "known from an earlier ownership", true, false, false },
		{ "the same, then listed", true, false, true },
	};
	const sched_report_t older = { .clock_ms = CLOCK_MS, .started_ms = 1 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_entry();
		Sched__Owner o = other_owner();
		int64_t later_ms = CLAIMED_MS + 60000;

		if (cases[i].owned_before) {
			claim(s, &o);
			list_worker(s, 1);
			sched_load_done(s, CLAIMED_MS);
			sched_tick(s, CLAIMED_MS, 0);
			ownership_lost(s, "another owner's row was read");
		}
		claim_at(s, &o, TOKEN + 2, later_ms);
		if (cases[i].list_is_behind)
			list_worker(s, 1);
		read_footprint_of(s, 2, 0);
		if (cases[i].listed_after)
			list_worker(s, 2);
		read_job(s);
		sched_load_done(s, later_ms);
		sched_tick(s, later_ms, 0);
		cr_expect_not(s->cell.workers_accounted, "%s", cases[i].name);
		/* Nor does an answer of the older process prove anything. */
		sched_poll_done(
		    s, poll_id, "w0", SCHED_ORDER_OK, &older, later_ms);
		sched_tick(s, later_ms + 10, 0);
		cr_expect_not(s->cell.workers_accounted, "%s: after an answer",
		    cases[i].name);
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: a worker that started again under its id
 * may have carried out a start meant for the process before, until it answers.
 */
Test(takeover, a_worker_that_started_again_has_not_answered)
{
	sched_t *s = new_entry();
	Sched__Owner o = other_owner();

	claim(s, &o);
	list_worker(s, 2);
	read_footprint_of(s, 1, 0);
	read_job(s);
	sched_load_done(s, CLAIMED_MS);
	sched_tick(s, CLAIMED_MS, 0);
	cr_expect_not(s->cell.workers_accounted);
	sched_free(s);
}

/*
 * Guards against two runs of one task: the answer to an order that a paused process
 * reads late looks like another clock, and forgets the leases that were granted.
 */
Test(takeover, an_order_answered_late)
{
	sched_t *s = new_owner_of_used_worker();
	int64_t extended_ms, clock_ms;
	GHashTableIter it;
	worker_t *w;
	void *r;

	w = cell_worker_get(s, "w0");
	/* Polls that are answered for longer than the first answer counts. */
	while (s->now_ms < CLAIMED_MS + 2 * MAX_LEASE_MS) {
		sched_tick(s, s->now_ms + 100, 0);
		if (w->poll_id != 0)
			answer_poll(s);
		if (s->write_pending)
			sched_write_done(
			    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
	}
	sched_tick(s, s->now_ms + 10, 0);
	extended_ms = w->lease.sent_ms;
	cr_assert_eq(extended_ms, s->now_ms);
	cr_assert_eq(g_hash_table_size(w->runs), 1);
	g_hash_table_iter_init(&it, w->runs);
	g_hash_table_iter_next(&it, NULL, &r);
	run_set_pace(s, r, 50);
	clock_ms = CLOCK_MS + s->now_ms - CLAIMED_MS;
	sched_order_done(
	    s, ((run_t *)r)->id, SCHED_ORDER_OK, clock_ms, extended_ms + 1700);
	sched_tick(s, s->now_ms + 10, 0);
	cr_expect_geq(miss_polls(s), extended_ms + LEASE_MS - 82, "%d ms",
	    (int)(s->now_ms - extended_ms));
	sched_free(s);
}

/*
 * Guards against a task that is started again after its end: a worker whose ended
 * runs were not all listed may have more of them until its lease has lapsed.
 */
Test(takeover, a_silent_worker_with_ends_that_were_not_listed)
{
	sched_t *s = new_owner_of_used_worker();
	sched_report_t r = {
		.clock_ms = CLOCK_MS, .started_ms = 1, .ended_cut = true
	};
	const worker_t *w;

	sched_poll_done(s, poll_id, "w0", SCHED_ORDER_OK, &r, s->now_ms);
	cr_assert_not(s->cell.workers_accounted);
	w = cell_worker_get(s, "w0");
	while (!s->cell.workers_accounted &&
	    s->now_ms < CLAIMED_MS + 3 * MAX_LEASE_MS) {
		if (w->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_IN_DOUBT,
			    NULL, s->now_ms);
		sched_tick(s, s->now_ms + 10, 0);
	}
	cr_expect_geq(s->now_ms, CLAIMED_MS + LEASE_MS, "%d ms",
	    (int)(s->now_ms - CLAIMED_MS));
	sched_free(s);
}

/*
 * Guards against a task that is started again after its end: a run that a worker
 * does not list may be among the ends that it has not listed yet.
 */
Test(takeover, a_run_beside_ends_that_were_not_listed)
{
	static const struct {
		const char *name;
		bool cut;
		guint runs;
	} cases[] = { { "all ends are listed", false, 0 },
		{ "some are not", true, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_used_worker();
		sched_report_t r = { .clock_ms = CLOCK_MS + 100,
			.started_ms = 1,
			.ended_cut = cases[i].cut };
		const worker_t *w = cell_worker_get(s, "w0");

		answer_poll(s);
		poll_id = 0;
		for (int k = 0; k < 100 && poll_id == 0; k++)
			sched_tick(s, s->now_ms + 10, 0);
		cr_assert_neq(poll_id, 0);
		cr_assert_eq(g_hash_table_size(w->runs), 1);
		sched_poll_done(
		    s, poll_id, "w0", SCHED_ORDER_OK, &r, s->now_ms);
		cr_expect_eq(g_hash_table_size(w->runs), cases[i].runs, "%s",
		    cases[i].name);
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: a write that releases nothing does not take
 * back a release before it that got no answer.
 */
Test(takeover, a_write_after_a_release_without_an_answer)
{
	sched_t *s = new_owner_of_used_worker();
	Sched__Step step = step_def("i", 1000, false, 0);

	answer_poll(s);
	sched_write_done(s, SCHED_WRITE_OK, TOKEN + 1, CLAIMED_MS + 10);
	sched_begin_release(s, CLAIMED_MS + 50);
	sched_tick(s, CLAIMED_MS + 50, 0);
	cr_assert(s->cell.release_sent);
	for (int i = 0; i < 40; i++) {
		char id[17];

		g_snprintf(id, sizeof(id), "%016x", 100 + i);
		flush_mark_job(s, add_job(s, id, &step, 0));
	}
	sched_write_done(s, SCHED_WRITE_IN_DOUBT, 0, CLAIMED_MS + 1550);
	sched_tick(s, CLAIMED_MS + 1560, 0);
	cr_assert(s->write_pending);
	cr_expect_not(ownership_may_extend_leases(s));
	sched_free(s);
}

/*
 * Guards against two runs of one task: where the answers to two claims are lost, the
 * first one may be the one that is stored, and others count the leases from then.
 */
Test(takeover, a_claim_found_in_the_store)
{
	sched_t *s = new_entry();
	Sched__Owner o = other_owner();
	uint8_t row[64];

	claim_sent(s, &o, TOKEN, CLAIMED_MS);
	sched_claim_done(s, SCHED_WRITE_IN_DOUBT, 0, CLAIMED_MS + 1500);
	claim_sent(s, &o, TOKEN, CLAIMED_MS + 3000);
	sched_claim_done(s, SCHED_WRITE_IN_DOUBT, 0, CLAIMED_MS + 4500);
	o.name = (char *)"e";
	o.epoch = 2;
	s->now_ms = CLAIMED_MS + 4600;
	read_row(s, SCHED_KEY_OWNER, TOKEN, row, sched__owner__pack(&o, row));
	cr_assert_eq(s->cell.state, CELL_LOADING);
	sched_load_done(s, s->now_ms);
	cr_expect_not(ownership_may_extend_leases(s));
	sched_tick(s, s->now_ms + 10, 0);
	cr_assert(s->write_pending);
	sched_write_done(s, SCHED_WRITE_OK, TOKEN + 1, s->now_ms + 10);
	cr_expect(ownership_may_extend_leases(s));
	sched_free(s);
}

/*
 * A worker of the footprint that never answers, as one whose entry names an address
 * where nothing does: it holds up a new owner until the leases of earlier ones have
 * ended, and no longer.
 */
Test(takeover, a_worker_that_never_answers)
{
	sched_t *s = new_owner_of_used_worker();
	int64_t accounted_ms = 0;

	while (accounted_ms == 0 && s->now_ms < CLAIMED_MS + 3 * MAX_LEASE_MS) {
		if (cell_worker_get(s, "w0")->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_NOT_SENT,
			    NULL, s->now_ms);
		sched_tick(s, s->now_ms + 10, 0);
		if (s->cell.workers_accounted)
			accounted_ms = s->now_ms;
	}
	cr_expect_geq(
	    accounted_ms, CLAIMED_MS + START_CALL_MS + LONGEST_LEASE_MS);
	cr_expect_leq(accounted_ms,
	    CLAIMED_MS + START_CALL_MS + LONGEST_LEASE_MS + 100, "%d ms",
	    (int)(accounted_ms - CLAIMED_MS));
	cr_expect_not(cell_worker_usable(s, cell_worker_get(s, "w0")));
	sched_free(s);
}

/* By so much a reader of the footprint may take the store's clock to be behind. */
#define STORE_CLOCK_MS 900

/*
 * Has an owner that got no answer from w0 end its time at end_ms; returns what the next
 * one reads of the worker's lease.  The owner before it has stored until_ms.
 */
static int64_t
owner_without_answer(int64_t claimed_ms, int64_t end_ms, int64_t until_ms,
    bool listed, bool in_order)
{
	sched_t *s = new_entry();
	Sched__Owner o = other_owner();

	claim_at(s, &o, TOKEN, claimed_ms);
	read_footprint(s, until_ms);
	read_job(s);
	if (listed)
		list_worker(s, 1);
	sched_feed_read(s, SCHED_FEED_WORKERS, claimed_ms);
	sched_load_done(s, claimed_ms);
	for (sched_tick(s, claimed_ms, 0); s->cell.state == CELL_OWNED;) {
		if (s->now_ms >= end_ms) {
			if (!in_order)
				break;
			sched_begin_release(s, s->now_ms);
		}
		/* No answer comes in the time for a poll. */
		if (cell_worker_get(s, "w0")->poll_id != 0 &&
		    s->now_ms - cell_worker_get(s, "w0")->poll_sent_ms >= 400)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_IN_DOUBT,
			    NULL, s->now_ms);
		if (s->write_pending)
			sched_write_done(
			    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
		sched_tick(s, s->now_ms + 10, 0);
	}
	sched_free(s);
	return written_until_ms != 0 ? written_until_ms : until_ms;
}

/*
 * Guards against lasting tasks that are down for too long (LOST), as each owner of a
 * chain waits anew for the leases of a worker that is gone: the wait counts from the
 * first claim after its last answer, whoever owns the cell when it is over.
 */
Test(takeover, owners_in_turn_wait_once_for_a_worker_that_is_gone)
{
	static const struct {
		const char *name;
		bool listed, in_order;
		int32_t owners, each_ms; /* before the last one */
	} cases[] = {
		{ "one, stopped in order", true, true, 1, 1000 },
		{ "one, killed", true, false, 1, 2000 },
		{ "four, stopped in order", true, true, 4, 1100 },
		{ "four, killed", true, false, 4, 1500 },
		{ "three, stopped at once", true, true, 3, 300 },
		{ "three, killed, the worker has left the list", false, false,
		    3, 300 },
		{ "one, stopped after the wait", true, true, 1, 8000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t ms = CLAIMED_MS, until_ms = 0, first_ms, wait_ms;
		sched_t *s;
		Sched__Owner o = other_owner();

		for (int32_t k = 0; k < cases[i].owners; k++) {
			until_ms =
			    owner_without_answer(ms, ms + cases[i].each_ms,
				until_ms, cases[i].listed, cases[i].in_order);
			ms += cases[i].each_ms + 100;
		}
		s = new_entry();
		claim_at(s, &o, TOKEN, ms);
		read_footprint(s, until_ms);
		read_job(s);
		sched_load_done(s, ms);
		while (!s->cell.workers_accounted &&
		    s->now_ms < ms + 3 * MAX_LEASE_MS)
			sched_tick(s, s->now_ms + 10, 0);
		first_ms = CLAIMED_MS + START_CALL_MS + LONGEST_LEASE_MS;
		wait_ms = s->now_ms - CLAIMED_MS;
		cr_expect_geq(s->now_ms, first_ms, "%s: %d ms", cases[i].name,
		    (int)wait_ms);
		cr_expect_leq(s->now_ms,
		    MAX(ms, first_ms + STORE_CLOCK_MS) + 100, "%s: %d ms",
		    cases[i].name, (int)wait_ms);
		sched_free(s);
	}
}
/*
 * Guards against two runs of one task: the end that is stored for a worker which has
 * not answered yet does not cover what this owner grants after its answer.
 */
Test(takeover, no_lease_is_extended_before_a_stored_end_is_withdrawn)
{
	sched_t *s = new_owner_of_used_worker();
	worker_t *w = cell_worker_get(s, "w0");

	while (written_until_ms == 0 && s->now_ms < CLAIMED_MS + 3000) {
		if (w->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_IN_DOUBT,
			    NULL, s->now_ms);
		if (s->write_pending)
			sched_write_done(
			    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
		sched_tick(s, s->now_ms + 10, 0);
	}
	cr_assert_neq(written_until_ms, 0, "no end was stored");
	while (w->poll_id == 0)
		sched_tick(s, s->now_ms + 10, 0);
	if (s->write_pending)
		sched_write_done(
		    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
	answer_poll(s);
	poll_deadline_ms = 0;
	for (int32_t i = 0; i < 100; i++) {
		sched_tick(s, s->now_ms + 10, 0);
		if (w->poll_id != 0)
			answer_poll(s);
		cr_expect_not(cell_worker_usable(s, w));
		cr_expect_eq(poll_deadline_ms, 0);
	}
	/* The write that withdraws it has been under way since. */
	cr_assert(s->write_pending);
	sched_write_done(s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
	s->cell.confirmed_ms = s->now_ms;
	while (w->poll_id == 0)
		sched_tick(s, s->now_ms + 10, 0);
	cr_expect_neq(poll_deadline_ms, 0);
	sched_free(s);
}

/*
 * Guards against two runs of one task: that end is not stored for a worker that has
 * answered before its present process was listed, as this owner may have started tasks.
 */
Test(takeover, no_old_end_is_stored_for_a_worker_that_has_answered)
{
	sched_t *s = new_owner_of_used_worker();
	const worker_t *w = cell_worker_get(s, "w0");
	int64_t end_ms = s->now_ms + 4000;

	answer_poll(s);
	list_worker(s, 2);
	while (s->now_ms < end_ms) {
		if (w->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_IN_DOUBT,
			    NULL, s->now_ms);
		if (s->write_pending)
			sched_write_done(
			    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
		sched_tick(s, s->now_ms + 10, 0);
	}
	cr_expect(w->silent);
	cr_expect_eq(written_until_ms, 0);
	sched_free(s);
}

/* An owner that w0 has answered releases the cell at a time; returns its row. */
static Sched__Owner *
release_at(int64_t at_ms, int32_t clock_behind_ms, bool clock_known)
{
	sched_t *s = new_owner_of_used_worker();
	Sched__Owner *o;

	s->store_clock_known = clock_known;
	s->store_clock_offset_ms = -clock_behind_ms;
	answer_poll(s);
	sched_write_done(s, SCHED_WRITE_OK, TOKEN + 1, CLAIMED_MS + 10);
	sched_begin_release(s, at_ms);
	sched_tick(s, at_ms, 0);
	cr_assert_not_null(released_row);
	o = sched__owner__unpack(NULL, released_row->len, released_row->data);
	g_byte_array_unref(released_row);
	released_row = NULL;
	sched_free(s);
	return o;
}

/*
 * Guards against lasting tasks that are down for too long (LOST): nobody claims a cell
 * that was released for a while, and then the next owner waits from its claim on for a
 * worker that has left since.  Its leases end by when its owner released the cell.
 */
Test(takeover, leases_of_a_released_cell_count_from_the_release)
{
	static const struct {
		const char *name;
		int32_t claimed_after_ms; /* after the release */
		int32_t clock_behind_ms;  /* that of the one who releases */
		bool clock_known, next_clock_known;
		bool from_release;
	} cases[] = {
		{ "claimed at once", 100, 0, true, true, true },
		{ "claimed later", 4500, 0, true, true, true },
		{ "claimed after the leases", 8000, 0, true, true, true },
		{ "its clock is behind", 4500, STORE_CLOCK_MS, true, true,
		    true },
		{ "it does not know the store's clock", 4500, 0, false, true,
		    false },
		{ "the next one does not", 4500, 0, true, false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t released_ms = CLAIMED_MS + 300;
		int64_t claimed_ms = released_ms + cases[i].claimed_after_ms;
		int64_t end_ms = released_ms + START_CALL_MS +
		    LONGEST_LEASE_MS + EXPIRY_MARGIN_MS;
		int64_t latest_ms =
		    claimed_ms + START_CALL_MS + LONGEST_LEASE_MS;
		Sched__Owner *o = release_at(released_ms,
		    cases[i].clock_behind_ms, cases[i].clock_known);
		sched_t *s = new_entry();

		claim_at(s, o, TOKEN + 3, claimed_ms);
		s->store_clock_known = cases[i].next_clock_known;
		read_footprint(s, 0);
		read_job(s);
		sched_load_done(s, claimed_ms);
		while (!s->cell.workers_accounted &&
		    s->now_ms < claimed_ms + 3 * MAX_LEASE_MS)
			sched_tick(s, s->now_ms + 10, 0);
		if (cases[i].from_release)
			latest_ms = MIN(latest_ms,
			    MAX(claimed_ms, end_ms + STORE_CLOCK_MS));
		end_ms =
		    MIN(end_ms, claimed_ms + START_CALL_MS + LONGEST_LEASE_MS);
		cr_expect_geq(s->now_ms, MAX(claimed_ms, end_ms), "%s: %d ms",
		    cases[i].name, (int)(s->now_ms - claimed_ms));
		cr_expect_leq(s->now_ms, latest_ms + 100, "%s: %d ms",
		    cases[i].name, (int)(s->now_ms - claimed_ms));
		sched__owner__free_unpacked(o, NULL);
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: the row that releases a cell says that all leases
 * end before they do by what the owner itself goes by for one of its workers, which it
 * may have sent a start that a new process carries out.
 */
Test(takeover, a_release_covers_a_start_that_is_under_way)
{
	static const struct {
		const char *name;
		int32_t starts_pending;
	} cases[] = {
		{ "no start", 0 },
		{ "a start without an answer yet", 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_used_worker();
		worker_t *w = cell_worker_get(s, "w0");
		int64_t until_ms, end_ms = s->now_ms;

		s->store_clock_known = true;
		s->store_clock_offset_ms = 0;
		answer_poll(s);
		for (int32_t k = 0; k < cases[i].starts_pending; k++)
			lease_start_sent(s, w);
		until_ms = lease_released_until_ms(s);
		/* The worker says nothing any more, and the owner waits. */
		while (!lease_has_ended(s, w)) {
			s->now_ms += 10;
			if (cases[i].starts_pending > 0 &&
			    w->lease.starts_pending > 0 &&
			    s->now_ms - end_ms >= START_CALL_MS)
				lease_start_done(s, w);
		}
		cr_expect_geq(until_ms, s->now_ms - 10, "%s: %d ms too early",
		    cases[i].name, (int)(s->now_ms - 10 - until_ms));
		sched_free(s);
	}
}

/* Reads a job of one task that an earlier owner has started. */
static void
read_job_of(sched_t *s, bool lasting, bool gang)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	Sched__Step step = step_def("i", 1000, false, 0), *steps[] = { &step };
	Sched__Job d;
	uint8_t row[256];

	step.lasting = lasting;
	step.gang = gang;
	step.checkpoints = !lasting;
	d = job_def(steps, 1, 0);
	p.state = SCHED__STATE__RUNNING;
	read_row(s, JOB SCHED_KEY_PROGRESS, TOKEN - 2, row,
	    sched__progress__pack(&p, row));
	read_row(s, JOB, TOKEN - 3, row, sched__job__pack(&d, row));
}

/*
 * Guards against lasting tasks that are down for long (LOST): one whose run this owner has
 * seen, and seen to end, waits for workers that have not answered, where it can't run.
 * And against two runs of one task, and failed runs that are not listed yet (BUDGET).
 */
Test(takeover, a_lasting_task_that_was_seen_need_not_wait_for_other_workers)
{
	static const struct {
		const char *name;
		bool lasting, gang, seen, suspect;
		bool starts;
	} cases[] = {
		{ "it was seen", true, false, true, false, true },
		{ "it was not: it may run elsewhere", true, false, false, false,
		    false },
		{ "failed runs of it may be unknown", false, false, true, false,
		    false },
		{ "a gang starts as a whole", true, true, true, false, false },
		{ "crashes under it may be unknown", true, false, true, true,
		    false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_entry();
		Sched__Owner o = other_owner();
		Sched__Footprint f = SCHED__FOOTPRINT__INIT;
		char *workers[] = { (char *)"w0 a:1", (char *)"w1 a:2" };
		int64_t born_ms[] = { 1, 1 }, until_ms[] = { 0, 0 };
		sched_report_t ended = { .clock_ms = CLOCK_MS + 100,
			.started_ms = 1 };
		uint8_t row[128];
		step_t *st;
		job_t *j;

		claim(s, &o);
		f.n_workers = f.n_born_ms = f.n_until_ms = 2;
		f.workers = workers;
		f.born_ms = born_ms;
		f.until_ms = until_ms;
		read_row(s, SCHED_KEY_FOOTPRINT ".00", TOKEN - 1, row,
		    sched__footprint__pack(&f, row));
		read_job_of(s, cases[i].lasting, cases[i].gang);
		list_worker(s, 1);
		sched_load_done(s, CLAIMED_MS);
		poll_id = 0;
		sched_tick(s, CLAIMED_MS, 0);
		poll_id = cell_worker_get(s, "w0")->poll_id;
		if (cases[i].seen) {
			answer_poll(s);
			for (int k = 0;
			     k < 100 && cell_worker_get(s, "w0")->poll_id == 0;
			     k++)
				sched_tick(s, s->now_ms + 10, 0);
			poll_id = cell_worker_get(s, "w0")->poll_id;
		}
		sched_poll_done(
		    s, poll_id, "w0", SCHED_ORDER_OK, &ended, s->now_ms);
		cr_assert_eq(
		    g_hash_table_size(cell_worker_get(s, "w0")->runs), 0);
		j = g_hash_table_lookup(s->jobs, JOB);
		st = first_step(j);
		if (cases[i].suspect)
			crash_add(&st->tasks[0], 1, true);
		cr_assert_not(s->cell.workers_accounted);
		cr_expect_eq(ownership_may_start_step(s, st), cases[i].starts,
		    "%s", cases[i].name);
		sched_free(s);
	}
}
