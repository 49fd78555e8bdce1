/*
 * When the store counts as answering no entry, and starts of tasks meanwhile.
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
#include "../../serve/outage.h"

#define LAST_ANSWER_MS 10000
#define NOW_MS	       11500

/*
 * An owner that knew old settings only when the outage began must not start tasks
 * by them during it, but keeps its leases.
 */
Test(outage, feeds_at_its_beginning)
{
	static const struct {
		const char *name;
		int64_t feeds_ms[SCHED_NFEEDS];
		bool may_start;
	} cases[] = {
		{ "current", { 9500, 9000, 8500 }, true },
		{ "old settings", { 9500, 9000, 7500 }, false },
		{ "old jobs", { 7500, 9000, 9000 }, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();

		for (int32_t f = 0; f < SCHED_NFEEDS; f++)
			sched_feed_read(
			    s, (sched_feed_t)f, cases[i].feeds_ms[f]);
		s->cell.confirmed_ms = LAST_ANSWER_MS - 100;
		sched_set_store_outage(s, true, LAST_ANSWER_MS, NOW_MS);
		cr_expect_eq(ownership_may_start_tasks(s), cases[i].may_start,
		    "%s", cases[i].name);
		cr_expect(ownership_may_extend_leases(s), "%s", cases[i].name);
		sched_set_store_outage(s, false, NOW_MS, NOW_MS);
		cr_expect_not(
		    ownership_may_start_tasks(s), "%s", cases[i].name);
		sched_free(s);
	}
}

/*
 * Guards against starts by settings that were old when an outage began: the others
 * were not answered for longer, so that their last answer says nothing of that.
 */
Test(outage, feeds_where_the_others_were_silent_before)
{
	static const int64_t others_ms[] = { LAST_ANSWER_MS,
		LAST_ANSWER_MS - 8000, 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(others_ms); i++) {
		sched_t *s = new_owner();

		for (int32_t f = 0; f < SCHED_NFEEDS; f++)
			sched_feed_read(
			    s, (sched_feed_t)f, LAST_ANSWER_MS - 6000);
		s->cell.confirmed_ms = LAST_ANSWER_MS - 100;
		sched_set_store_outage(s, true, others_ms[i], NOW_MS);
		cr_expect_not(
		    ownership_may_start_tasks(s), "%d", (int)others_ms[i]);
		cr_expect(ownership_may_extend_leases(s));
		sched_free(s);
	}
}

#define ENTRIES	   5 /* beside the owner */
#define PERIODS	   4
#define PERIOD_MS  600
#define UPDATES_MS 150

/*
 * An owner that the store did not answer took an outage to be one for all when
 * three quarters of the others reported it: beside an entry that the store
 * answered, which claims the cell, it went on (TWICE).
 */
Test(outage, an_entry_that_is_served)
{
	/* By period: how many others report that the store is silent, how many
	 * that it answers them, and whether the owner goes on at its end. */
	static const struct {
		const char *name;
		struct {
			size_t silent, served;
			bool on;
		} at[PERIODS];
	} cases[] = {
		{ "all silent",
		    { { 5, 0, true }, { 5, 0, true }, { 5, 0, true },
			{ 5, 0, true } } },
		{ "one is down",
		    { { 4, 0, true }, { 4, 0, true }, { 4, 0, true },
			{ 4, 0, true } } },
		{ "two are down",
		    { { 3, 0, false }, { 3, 0, false }, { 3, 0, false },
			{ 3, 0, false } } },
		{ "one is served",
		    { { 4, 1, false }, { 4, 1, false }, { 4, 1, false },
			{ 4, 1, false } } },
		{ "one is served until then",
		    { { 4, 1, false }, { 5, 0, true }, { 5, 0, true },
			{ 5, 0, true } } },
		{ "one is served again",
		    { { 5, 0, true }, { 4, 1, true }, { 4, 1, false },
			{ 4, 1, false } } },
		{ "one answer to one",
		    { { 5, 0, true }, { 4, 1, true }, { 5, 0, true },
			{ 5, 0, true } } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		outage_report_t r[ENTRIES] = { 0 };
		outage_t o = { 0 };
		int64_t now_ms = LAST_ANSWER_MS, last_ms;

		for (size_t p = 0; p < PERIODS * PERIOD_MS / UPDATES_MS; p++) {
			size_t at = p / (PERIOD_MS / UPDATES_MS);
			size_t silent = cases[i].at[at].silent;
			size_t heard = silent + cases[i].at[at].served;

			now_ms += UPDATES_MS;
			for (size_t k = 0; k < heard; k++)
				r[k] = (outage_report_t){ .heard_ms = now_ms,
					.answered_ms = k < silent ?
					    LAST_ANSWER_MS :
					    now_ms,
					.served = k >= silent };
			outage_update(&o, r, ENTRIES, now_ms, &last_ms);
			/* No answer to its first notice has arrived yet. */
			cr_expect(p > 0 || !o.on, "%s", cases[i].name);
			if ((p + 1) % (PERIOD_MS / UPDATES_MS) == 0)
				cr_expect_eq(o.on, cases[i].at[at].on,
				    "%s, period %zu", cases[i].name, at);
		}
	}
}

#define TOKEN	     41
#define TICK_MS	     50
#define SPLIT_MS     20000 /* several of the longest leases */
#define MAX_LEASE_MS 6000

static void
ignore_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	(void)ctx;
	(void)version;
	(void)owner;
}

static void
ignore_load(void *ctx)
{
	(void)ctx;
}

static void
ignore_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	(void)puts;
}

static void
ignore_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	(void)p;
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

/*
 * An entry that the store answers, and that claims the cell of an owner whose row
 * has not changed since LAST_ANSWER_MS.  That had the worker w in use.
 */
static sched_t *
new_successor(void)
{
	sched_opts_t opts = { .feed_limit_ms = 2000,
		.name = "successor",
		.max_lease_ms = MAX_LEASE_MS,
		.port = { .event = ignore_event,
		    .claim = ignore_claim,
		    .load = ignore_load,
		    .write = ignore_write,
		    .poll = ignore_poll } };
	sched_t *s = sched_new(&opts);
	Sched__Owner o = SCHED__OWNER__INIT;
	Sched__Footprint f = SCHED__FOOTPRINT__INIT;
	char *worker = (char *)"w a:1";
	int64_t started_ms = 1, until_ms = 0;
	uint8_t row[128];
	size_t n;

	o.name = (char *)"owner";
	o.epoch = 1;
	n = sched__owner__pack(&o, row);
	for (s->now_ms = LAST_ANSWER_MS; s->cell.state == CELL_FOLLOWING;
	     s->now_ms += TICK_MS) {
		read_row(s, SCHED_KEY_OWNER, TOKEN - 1, row, n);
		sched_tick(s, s->now_ms, 0);
	}
	sched_claim_done(s, SCHED_WRITE_OK, TOKEN, s->now_ms);
	f.n_workers = f.n_born_ms = f.n_until_ms = 1;
	f.workers = &worker;
	f.born_ms = &started_ms;
	f.until_ms = &until_ms;
	read_row(s, SCHED_KEY_FOOTPRINT ".00", TOKEN - 1, row,
	    sched__footprint__pack(&f, row));
	sched_load_done(s, s->now_ms);
	return s;
}

/* All others but one, which is not heard, report that the store is silent. */
static bool
one_is_not_heard(outage_t *o, int64_t now_ms)
{
	outage_report_t r[ENTRIES] = { 0 };
	int64_t last_ms;

	for (size_t i = 1; i < ENTRIES; i++)
		r[i] = (outage_report_t){ .heard_ms = now_ms,
			.answered_ms = LAST_ANSWER_MS };
	return outage_update(o, r, ENTRIES, now_ms, &last_ms);
}

/*
 * Guards against two runs of one task where the network is split: the store answers
 * an entry that neither the owner nor any worker in its reach can hear.  The owner
 * must not extend leases any more once that one takes them for ended.
 */
Test(outage, the_store_is_beyond_a_split)
{
	sched_t *owner = new_owner();
	sched_t *successor = new_successor();
	outage_t o = { 0 };
	int64_t until_ms = LAST_ANSWER_MS + SPLIT_MS;

	owner->cell.confirmed_ms = LAST_ANSWER_MS - 100;
	for (int64_t ms = successor->now_ms; ms < until_ms; ms += TICK_MS) {
		bool outage = one_is_not_heard(&o, ms);

		sched_set_store_outage(owner, outage, LAST_ANSWER_MS, ms);
		sched_tick(successor, ms, 0);
		if (!successor->cell.workers_accounted)
			continue;
		cr_assert_not(ownership_may_extend_leases(owner),
		    "both act %d ms after the last answer",
		    (int)(ms - LAST_ANSWER_MS));
	}
	cr_expect(successor->cell.workers_accounted);
	sched_free(owner);
	sched_free(successor);
}
