/*
 * What is not known of a lease, or of a clock that its end is told by.
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

#define BEGIN_MS     100000
#define CLOCK_MS     500000 /* of the worker then */
#define MAX_LEASE_MS 6000
/* The longest that an owner lets a lease run, on a clock 2 % slow. */
#define LEASE_MS 4082
/* The longest that a worker accepts, on such a clock. */
#define LONGEST_LEASE_MS 6120

static uint64_t poll_id;
static int64_t poll_deadline_ms;
static int64_t written_until_ms; /* in the last row of the footprint */
static int starts, starts_without_deadline;

static void
take_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	poll_id = p->id;
	poll_deadline_ms = p->deadline_ms;
}

static void
take_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);
		Sched__Footprint *f;

		if (!g_str_has_prefix(p->key, SCHED_KEY_FOOTPRINT))
			continue;
		f = sched__footprint__unpack(
		    NULL, p->bytes->len, p->bytes->data);
		cr_assert_not_null(f);
		if (f->n_until_ms > 0)
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

static void
take_start(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	starts += o->kind == SCHED_START;
	starts_without_deadline +=
	    o->kind == SCHED_START && o->deadline_ms == 0;
}

/* Lists the worker w0, in its process of started_ms. */
static void
list_process(sched_t *s, int64_t started_ms)
{
	sched_worker_info_t i = worker_info("w0", started_ms);

	sched_worker_listed(s, &i, s->now_ms);
}

static void
list_worker(sched_t *s)
{
	list_process(s, 1);
}

/* An owner at BEGIN_MS that knows of no earlier runs, with the worker w0. */
static sched_t *
new_owner_of_worker(void)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = MAX_LEASE_MS,
		.port = { .event = ignore_event,
		    .write = take_write,
		    .order = ignore_order,
		    .poll = take_poll } };
	sched_t *s = sched_new(&o);

	poll_id = 0;
	written_until_ms = 0;
	s->now_ms = s->cell.confirmed_ms = BEGIN_MS;
	s->cell.state = CELL_OWNED;
	s->cell.workers_accounted = true;
	list_worker(s);
	return s;
}

/* Goes on by 10 ms; the store confirms each write. */
static void
step(sched_t *s)
{
	if (s->write_pending)
		sched_write_done(
		    s, SCHED_WRITE_OK, s->cell.version + 1, s->now_ms);
	sched_tick(s, s->now_ms + 10, 0);
}

/* The worker's clock, which is 2 % slow. */
static int64_t
worker_clock_ms(const sched_t *s)
{
	return CLOCK_MS + (s->now_ms - BEGIN_MS) * 98 / 100;
}

/* The worker answers the poll in flight, if there is one. */
static void
answer_poll(sched_t *s)
{
	sched_report_t r = { .clock_ms = worker_clock_ms(s), .started_ms = 1 };

	if (cell_worker_get(s, "w0")->poll_id != 0)
		sched_poll_done(
		    s, poll_id, "w0", SCHED_ORDER_OK, &r, s->now_ms);
}

/*
 * Guards against two runs of one task: while a worker is not listed it is not
 * polled, and a deadline by its clock as it was read before may be much too late.
 */
Test(lease, the_clock_of_a_worker_that_was_not_listed)
{
	sched_t *s = new_owner_of_worker();
	int64_t until_ms = BEGIN_MS + 120000;

	for (int i = 0; i < 10; i++) {
		step(s);
		answer_poll(s);
	}
	cr_assert(cell_worker_get(s, "w0")->has_answered);
	sched_worker_left(s, "w0", s->now_ms);
	while (s->now_ms < until_ms) {
		step(s);
		answer_poll(s);
	}
	list_worker(s);
	/* While the first of these polls is in flight, and after it. */
	for (int i = 0; i < 10; i++) {
		poll_deadline_ms = 0;
		step(s);
		cr_expect_leq(poll_deadline_ms, worker_clock_ms(s) + LEASE_MS,
		    "%d ms", (int)(poll_deadline_ms - worker_clock_ms(s)));
		answer_poll(s);
	}
	cr_expect_gt(poll_deadline_ms, worker_clock_ms(s));
	sched_free(s);
}

/* Polls fail until the owner has written when the lease ends, or for a while. */
static void
miss_polls(sched_t *s)
{
	int64_t until_ms = s->now_ms + 2000;

	while (written_until_ms == 0 && s->now_ms < until_ms) {
		if (cell_worker_get(s, "w0")->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_NOT_SENT,
			    NULL, s->now_ms);
		step(s);
	}
}

/*
 * Guards against two runs of one task: an owner that has not read the store's clock
 * stored a lease end by its own, which for its successors may have passed long ago.
 */
Test(lease, an_end_by_a_store_clock_that_was_not_read)
{
	static const struct {
		const char *name;
		bool known;
		int64_t store_ms; /* the store's clock at BEGIN_MS */
	} cases[] = {
		{ "it is ahead of ours", true, BEGIN_MS + 900000 },
		{ "it is behind ours", true, 5000 },
		{ "it is not known", false, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_worker();
		int64_t end_ms;

		if (cases[i].known)
			sched_store_clock_read(s, cases[i].store_ms, BEGIN_MS);
		for (int k = 0; k < 10; k++) {
			step(s);
			answer_poll(s);
		}
		end_ms = s->now_ms + LEASE_MS - BEGIN_MS;
		miss_polls(s);
		if (cases[i].known)
			cr_expect_geq(written_until_ms,
			    cases[i].store_ms + end_ms, "%s", cases[i].name);
		else
			cr_expect_eq(written_until_ms, 0, "%s: %d",
			    cases[i].name, (int)written_until_ms);
		sched_free(s);
	}
}

/* Reads the worker w0 of the footprint, whose lease ends at until_ms. */
static void
read_footprint(sched_t *s, int64_t until_ms)
{
	Sched__Footprint f = SCHED__FOOTPRINT__INIT;
	char *worker = (char *)"w0 a:1";
	int64_t started_ms = 1;
	uint8_t bytes[64];
	sched_row_t row = {
		.key = SCHED_KEY_FOOTPRINT ".00", .version = 1, .bytes = bytes
	};

	f.n_workers = f.n_born_ms = f.n_until_ms = 1;
	f.workers = &worker;
	f.born_ms = &started_ms;
	f.until_ms = &until_ms;
	row.nbytes = sched__footprint__pack(&f, bytes);
	s->cell.state = CELL_LOADING;
	sched_row_read(s, &row, s->now_ms);
	s->cell.state = CELL_OWNED;
}

/*
 * Guards against two runs of one task: an owner that has not read the store's clock
 * compared its own with a stored lease end.
 */
Test(lease, a_stored_end_without_the_store_clock)
{
	static const struct {
		const char *name;
		bool known, ended;
	} cases[] = {
		{ "the store's clock is read", true, true },
		{ "it is not known", false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_worker();

		s->cell.workers_accounted = false;
		s->cell.old_leases = ENDS_AT(BEGIN_MS + 5300);
		/* The store's clock is far behind ours. */
		read_footprint(s, 10000);
		if (cases[i].known)
			sched_store_clock_read(s, 11000, BEGIN_MS);
		step(s);
		cr_expect_eq(s->cell.workers_accounted, cases[i].ended, "%s",
		    cases[i].name);
		sched_free(s);
	}
}

/* Starts the only run on the worker, and orders another pace of it. */
static run_t *
start_run(sched_t *s)
{
	Sched__Step d = step_def("", 1000, true, 0);
	step_t *st = first_step(add_job(s, "0000000000000001", &d, 0));
	run_t *r;

	cr_assert(run_start(s, &st->tasks[0], cell_worker_get(s, "w0"), 1));
	r = st->tasks[0].run;
	sched_order_done(
	    s, r->id, SCHED_ORDER_OK, worker_clock_ms(s), s->now_ms);
	run_set_pace(s, r, 50);
	cr_assert(r->order_pending);
	return r;
}

/*
 * Guards against two runs of one task: a worker starts again, and the answer of its
 * former process to an order is read after that is known.  By the clock in it
 * deadlines are far too late, and it is never turned back.
 */
Test(lease, an_order_answered_by_a_former_process)
{
	static const struct {
		const char *name;
		bool
		    reported; /* the new process has, before the answer is read */
	} cases[] = {
		{ "before its next report", false },
		{ "after its next report", true },
	};
	int64_t new_clock_ms = 2000;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_worker();
		sched_report_t report = { .clock_ms = new_clock_ms,
			.started_ms = 2 };
		int64_t clock_ms;
		run_t *r;

		for (int k = 0; k < 10; k++) {
			step(s);
			answer_poll(s);
		}
		r = start_run(s);
		clock_ms = worker_clock_ms(s);
		list_process(s, 2);
		step(s);
		if (cases[i].reported)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_OK,
			    &report, s->now_ms);
		sched_order_done(s, r->id, SCHED_ORDER_OK, clock_ms, s->now_ms);
		for (int k = 0; k < 3; k++) {
			step(s);
			report.clock_ms = new_clock_ms;
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_OK,
			    &report, s->now_ms);
		}
		poll_deadline_ms = 0;
		step(s);
		cr_expect_gt(poll_deadline_ms, 0, "%s", cases[i].name);
		cr_expect_leq(poll_deadline_ms, new_clock_ms + 100 + LEASE_MS,
		    "%s: %d ms", cases[i].name,
		    (int)(poll_deadline_ms - new_clock_ms));
		sched_free(s);
	}
}

/*
 * Guards against leases that end although the worker answers each poll: its answers
 * have begun to take longer, so that the clock in them is behind the expected one.
 */
Test(lease, the_clock_of_a_worker_whose_answers_take_longer)
{
	static const int64_t latency_ms[] = { 0, 60, 200, 300 };

	for (size_t i = 0; i < G_N_ELEMENTS(latency_ms); i++) {
		sched_t *s = new_owner_of_worker();
		worker_t *w = cell_worker_get(s, "w0");
		int64_t until_ms = BEGIN_MS + 30000;

		for (int k = 0; k < 10; k++) {
			step(s);
			answer_poll(s);
		}
		while (s->now_ms < until_ms) {
			sched_report_t r = { .started_ms = 1 };

			step(s);
			if (w->poll_id == 0 ||
			    s->now_ms - w->poll_sent_ms < latency_ms[i])
				continue;
			r.clock_ms = worker_clock_ms(s) - latency_ms[i];
			poll_deadline_ms = 0;
			sched_poll_done(
			    s, poll_id, "w0", SCHED_ORDER_OK, &r, s->now_ms);
			step(s);
			cr_assert_gt(poll_deadline_ms,
			    worker_clock_ms(s) + 3000, "%d ms, at %d",
			    (int)latency_ms[i], (int)(s->now_ms - BEGIN_MS));
			cr_assert_leq(
			    poll_deadline_ms, worker_clock_ms(s) + LEASE_MS);
		}
		sched_free(s);
	}
}

/* Goes on by 10 ms with all feeds current, and a pass over what waits. */
static void
step_with_pass(sched_t *s)
{
	for (int i = 0; i < SCHED_NFEEDS; i++)
		s->feed_read_ms[i] = s->now_ms + 10;
	s->start_pass_due = true;
	step(s);
}

/*
 * Guards against starts that are rejected as late, again and again: a worker that was
 * not listed for a while is listed again, and its clock is not known yet.
 */
Test(lease, no_start_before_the_clock_is_known)
{
	static const int32_t unlisted_ms[] = { 100, 3900, 4200, 5000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(unlisted_ms); i++) {
		sched_t *s = new_owner_of_worker();
		Sched__Step d = step_def("", 1000, false, 0);
		worker_t *w = cell_worker_get(s, "w0");
		step_t *st = first_step(add_job(s, "0000000000000001", &d, 0));

		s->opts.port.order = take_start;
		starts = starts_without_deadline = 0;
		for (int k = 0; k < 100; k++) {
			step(s);
			answer_poll(s);
		}
		cr_assert(cell_worker_usable(s, w));
		sched_worker_left(s, "w0", s->now_ms);
		for (int k = 0; k < unlisted_ms[i] / 10; k++) {
			step(s);
			answer_poll(s);
		}
		st->ready = true;
		queue_add_step(s, st);
		list_worker(s);
		/* Its first answer takes longer than the write of its row. */
		for (int k = 0; k < 30; k++)
			step_with_pass(s);
		for (int k = 0; k < 100 && starts == 0; k++) {
			answer_poll(s);
			step_with_pass(s);
		}
		cr_expect_eq(starts, 1, "%d ms", unlisted_ms[i]);
		cr_expect_eq(
		    starts_without_deadline, 0, "%d ms", unlisted_ms[i]);
		sched_free(s);
	}
}

/*
 * Guards against crashes that count as long after a start: an answer that was read
 * late does not show that its worker was up until then.
 */
Test(lease, an_answer_read_late_is_no_sign_of_life)
{
	static const int64_t late_ms[] = { 0, 300, 1500, 3000 };

	for (size_t i = 0; i < G_N_ELEMENTS(late_ms); i++) {
		sched_t *s = new_owner_of_worker();
		sched_running_t run = { .task = "0000000000000001.0.0.0",
			.run = 1,
			.checkpoint = "" };
		sched_report_t report = {
			.started_ms = 1, .running = &run, .nrunning = 1
		};
		run_t *r;

		for (int k = 0; k < 10; k++) {
			step(s);
			answer_poll(s);
		}
		r = start_run(s);
		for (int k = 0; k < 10; k++)
			step(s);
		report.clock_ms = worker_clock_ms(s);
		s->now_ms += late_ms[i];
		sched_poll_done(
		    s, poll_id, "w0", SCHED_ORDER_OK, &report, s->now_ms);
		cr_expect_geq(crash_known_up_ms(r), 90, "%d ms late: %d",
		    (int)late_ms[i], (int)crash_known_up_ms(r));
		/* By a clock that may be 2 % slow. */
		cr_expect_leq(crash_known_up_ms(r), 100 + late_ms[i] / 40,
		    "%d ms late: %d", (int)late_ms[i],
		    (int)crash_known_up_ms(r));
		sched_free(s);
	}
}

/* Fails polls until the owner takes the run on the worker for ended. */
static void
miss_polls_until_lost(sched_t *s)
{
	const worker_t *w = cell_worker_get(s, "w0");
	int64_t until_ms = s->now_ms + 20000;

	while (g_hash_table_size(w->runs) > 0 && s->now_ms < until_ms) {
		if (w->poll_id != 0)
			sched_poll_done(s, poll_id, "w0", SCHED_ORDER_NOT_SENT,
			    NULL, s->now_ms);
		step(s);
	}
}

/*
 * Guards against two runs of one task: a worker starts again under its id, and its
 * new process takes a start whose deadline is by the clock of the former one, for
 * one far ahead.  Then it is cut off, before the owner knows.
 */
Test(lease, a_start_at_a_process_that_is_not_known)
{
	static const struct {
		const char *name;
		bool shown; /* a poll after the start is answered */
		int64_t least_ms, most_ms; /* from the start */
	} cases[] = {
		{ "no answer since the start", false, LONGEST_LEASE_MS, 7000 },
		{ "its process has the run", true, LEASE_MS, 5600 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_worker();
		int64_t store_ms = s->now_ms + 1000000, began_ms;
		sched_running_t run = { .task = "0000000000000001.0.0.0",
			.run = 1,
			.checkpoint = "" };
		sched_report_t report = {
			.started_ms = 1, .running = &run, .nrunning = 1
		};

		sched_store_clock_read(s, store_ms, s->now_ms);
		store_ms -= s->now_ms;
		/* Until no lease is left from before the first answer. */
		for (int k = 0; k < 1000; k++) {
			step(s);
			answer_poll(s);
		}
		cr_assert(cell_worker_get(s, "w0")->has_answered);
		start_run(s);
		began_ms = s->now_ms;
		if (cases[i].shown) {
			/* The one in flight, and one after the start. */
			for (int k = 0; k < 20; k++) {
				report.clock_ms = worker_clock_ms(s);
				if (cell_worker_get(s, "w0")->poll_id != 0)
					sched_poll_done(s, poll_id, "w0",
					    SCHED_ORDER_OK, &report, s->now_ms);
				step(s);
			}
		}
		miss_polls_until_lost(s);
		cr_expect_geq(s->now_ms, began_ms + cases[i].least_ms,
		    "%s: %d ms", cases[i].name, (int)(s->now_ms - began_ms));
		cr_expect_leq(s->now_ms, began_ms + cases[i].most_ms,
		    "%s: %d ms", cases[i].name, (int)(s->now_ms - began_ms));
		cr_expect_geq(written_until_ms,
		    store_ms + began_ms + cases[i].least_ms, "%s: %d ms",
		    cases[i].name,
		    (int)(written_until_ms - store_ms - began_ms));
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: an owner that has a successor already extends
 * the longest lease of a process that it does not know.
 */
Test(lease, no_extension_for_a_process_that_is_not_known)
{
	static const struct {
		const char *name;
		bool shown; /* a poll after the start is answered */
		int64_t confirmed_age_ms;
		bool extended;
	} cases[] = {
		{ "confirmed", false, 1000, true },
		{ "not confirmed", false, 1300, false },
		{ "its process has the run", true, 1300, true },
		{ "the same, for too long", true, 2300, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_worker();
		worker_t *w = cell_worker_get(s, "w0");

		for (int k = 0; k < 10; k++) {
			step(s);
			answer_poll(s);
		}
		start_run(s);
		for (int k = 0; k < 10 && cases[i].shown; k++) {
			step(s);
			answer_poll(s);
		}
		w->footprint_stored = true;
		s->cell.confirmed_ms = s->now_ms - cases[i].confirmed_age_ms;
		cr_expect_eq(lease_may_extend(s, w), cases[i].extended, "%s",
		    cases[i].name);
		sched_free(s);
	}
}

/*
 * Guards against two runs of one task: a start waits for a connection to its worker,
 * which answers a poll that was sent after it and then starts again.  The new process
 * gets the start, and is cut off before the owner knows of it.
 */
Test(lease, a_start_that_a_later_poll_has_overtaken)
{
	static const struct {
		const char *name;
		sched_order_result_t result;
	} cases[] = {
		{ "answered by the new process", SCHED_ORDER_OK },
		{ "not answered", SCHED_ORDER_IN_DOUBT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of_worker();
		Sched__Step d = step_def("", 1000, true, 0);
		step_t *st = first_step(add_job(s, "0000000000000001", &d, 0));
		int64_t store_ms = 1000000, got_ms;
		run_t *r;

		sched_store_clock_read(s, s->now_ms + store_ms, s->now_ms);
		/* Until no lease is left from before the first answer. */
		for (int k = 0; k < 1000; k++) {
			step(s);
			answer_poll(s);
		}
		cr_assert(
		    run_start(s, &st->tasks[0], cell_worker_get(s, "w0"), 1));
		r = st->tasks[0].run;
		/* The poll in flight, and one sent after the start. */
		for (int k = 0; k < 10; k++) {
			step(s);
			answer_poll(s);
		}
		got_ms = s->now_ms;
		step(s);
		sched_order_done(s, r->id, cases[i].result,
		    cases[i].result == SCHED_ORDER_OK ? 2000 : 0, s->now_ms);
		miss_polls_until_lost(s);
		cr_expect_geq(s->now_ms, got_ms + LONGEST_LEASE_MS, "%s: %d ms",
		    cases[i].name, (int)(s->now_ms - got_ms));
		cr_expect_geq(written_until_ms,
		    store_ms + got_ms + LONGEST_LEASE_MS, "%s: %d ms",
		    cases[i].name, (int)(written_until_ms - store_ms - got_ms));
		sched_free(s);
	}
}
