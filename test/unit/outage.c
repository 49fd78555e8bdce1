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

#define TOKEN	41
#define TICK_MS 50
/* The longest outage by both clocks, and several of the longest leases. */
#define SPLIT_MS     (OUTAGE_LIMIT_MS + OUTAGE_LIMIT_MS / 20 + 20000)
#define MAX_LEASE_MS 6000

/* The entries of the cell, the owner among them; another set after a change. */
static const uint32_t entries[ENTRIES + 1] = { 1, 2, 3, 4, 5, 6 };
static const uint32_t other_entries[ENTRIES + 1] = { 1, 2, 3, 4, 5, 7 };

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

/* The owner of a cell with these entries; the store has its row. */
static sched_t *
new_owner_of(const uint32_t *ids, size_t n)
{
	sched_t *s = new_owner();

	s->opts.port.write = ignore_write;
	s->now_ms = LAST_ANSWER_MS - 100;
	sched_set_entries(s, ids, n);
	sched_tick(s, s->now_ms, 0);
	sched_write_done(s, SCHED_WRITE_OK, 2, s->now_ms);
	cr_assert_eq(s->cell.confirmed_ms, LAST_ANSWER_MS - 100);
	return s;
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
 * has not changed since LAST_ANSWER_MS.  That had the worker w in use, and names
 * the entries unless it is of an older build.
 */
static sched_t *
new_successor_of(bool older_build)
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

	sched_set_entries(s, entries, G_N_ELEMENTS(entries));
	o.name = (char *)"owner";
	o.epoch = 1;
	o.entries = (uint32_t *)entries;
	o.n_entries = older_build ? 0 : G_N_ELEMENTS(entries);
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

static sched_t *
new_successor(void)
{
	return new_successor_of(false);
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
	sched_t *owner = new_owner_of(entries, G_N_ELEMENTS(entries));
	sched_t *successor = new_successor();
	outage_t o = { 0 };
	int64_t until_ms = LAST_ANSWER_MS + SPLIT_MS;

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

#define MOST_ENTRIES 40

/* Whether an owner sees an outage that `silent` of its others report. */
static bool
sees_outage(size_t others, size_t silent)
{
	outage_report_t r[MOST_ENTRIES] = { 0 };
	outage_t o = { 0 };
	int64_t last_ms;

	for (size_t i = 0; i < silent; i++)
		r[i].heard_ms = NOW_MS;
	outage_update(&o, r, others, NOW_MS, &last_ms);
	return outage_update(&o, r, others, NOW_MS, &last_ms);
}

/*
 * A new owner that enough entries know of excludes an outage for all on the former
 * one's side, and just as many as are needed do, in cells of any size.
 */
Test(outage, who_knows_of_a_new_owner)
{
	uint32_t ids[MOST_ENTRIES];

	for (uint32_t i = 0; i < MOST_ENTRIES; i++)
		ids[i] = 2 * i;
	for (size_t n = 1; n <= MOST_ENTRIES; n++)
		for (size_t know = 0; know < n; know++)
			cr_expect_eq(outage_excluded(ids, n, ids + 1, know),
			    !sees_outage(n - 1, n - 1 - know),
			    "%zu of %zu know", know, n);
	/* Entries that the former owner did not know don't count. */
	ids[1] = 1;
	cr_expect_not(outage_excluded(entries, 6, ids, 2));
	ids[0] = 2;
	cr_expect(outage_excluded(entries, 6, ids, 2));
}

/*
 * Reports that don't count: those of a process that may have known of a later owner
 * before its start; and all of them once a later owner is known of.
 */
Test(outage, reports_beside_a_later_owner)
{
	static const struct {
		const char *name;
		int64_t epoch[4];
		bool deposed, on, all_silent;
	} cases[] = {
		{ "all know the owner", { 3, 3, 3, 3 }, false, true, true },
		{ "of older builds", { 0, 0, 0, 0 }, false, true, true },
		{ "two were started again", { 3, 3, -1, -1 }, false, false,
		    false },
		{ "one was", { 3, 3, 3, -1 }, false, true, false },
		{ "one knows of another", { 3, 3, 3, 4 }, true, false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		outage_report_t r[4] = { 0 };
		outage_t o = { .deposed = cases[i].deposed };
		int64_t last_ms;

		for (size_t k = 0; k < 4; k++)
			r[k] = (outage_report_t){ .heard_ms = NOW_MS,
				.epoch = cases[i].epoch[k] };
		outage_update(&o, r, 4, NOW_MS, &last_ms);
		cr_expect_eq(outage_update(&o, r, 4, NOW_MS, &last_ms),
		    cases[i].on, "%s", cases[i].name);
		cr_expect_eq(
		    o.all_silent, cases[i].all_silent, "%s", cases[i].name);
	}
}

/*
 * A new owner that the others know of waits for the leases of workers that don't
 * answer as after any takeover, and by a limit otherwise.
 */
Test(outage, a_new_owner_and_the_leases_left)
{
	static const struct {
		const char *name;
		bool older_build;
		int64_t known_ms; /* after the load; -1: not to the others */
		int64_t from_ms, to_ms; /* when it has accounted for w */
	} cases[] = {
		{ "known at once", false, 0, 5300, 5400 },
		{ "known soon", false, 200, 5500, 5600 },
		{ "known after the longest lease", false, 8000, 13300, 13400 },
		{ "not known", false, -1, 304300, SPLIT_MS },
		{ "known, after an older build", true, 0, 5300, 5400 },
		{ "not known, after an older build", true, -1, 304300,
		    SPLIT_MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_successor_of(cases[i].older_build);
		int64_t loaded_ms = s->now_ms, ms;
		const uint32_t *judge;
		size_t n = 0;

		judge = sched_earlier_electorate(s, &n);
		cr_assert_not_null(judge, "%s", cases[i].name);
		cr_expect_arr_eq(judge, entries, sizeof(entries));
		for (ms = 0; ms < SPLIT_MS && !s->cell.workers_accounted;
		     ms += TICK_MS) {
			if (ms == cases[i].known_ms)
				sched_earlier_owners_end(s, loaded_ms + ms);
			sched_tick(s, loaded_ms + ms, 0);
		}
		cr_expect_geq(
		    ms, cases[i].from_ms, "%s: %d ms", cases[i].name, (int)ms);
		cr_expect_leq(
		    ms, cases[i].to_ms, "%s: %d ms", cases[i].name, (int)ms);
		cr_expect_null(sched_earlier_electorate(s, &n));
		sched_free(s);
	}
}

/* An owner uses an outage only as its successors expect. */
Test(outage, when_an_owner_uses_it)
{
	static const struct {
		const char *name;
		int64_t after_ms; /* of the confirmation */
		int64_t late_ms;  /* of the last look */
		bool other_entries, all_silent, extends, starts;
	} cases[] = {
		{ "all others report it", 4000, 0, false, true, true, true },
		{ "one is not heard", 4000, 0, false, false, true, false },
		{ "it has looked lately", 4000, 150, false, true, true, true },
		{ "it is late to look", 4000, 300, false, true, false, false },
		{ "its row names others", 4000, 0, true, true, false, false },
		{ "for long", OUTAGE_LIMIT_MS - 1, 0, false, true, true, true },
		{ "for too long", OUTAGE_LIMIT_MS, 0, false, true, false,
		    false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner_of(entries, G_N_ELEMENTS(entries));
		int64_t ms = s->cell.confirmed_ms + cases[i].after_ms;

		for (int32_t f = 0; f < SCHED_NFEEDS; f++)
			sched_feed_read(s, (sched_feed_t)f, LAST_ANSWER_MS);
		if (cases[i].other_entries)
			sched_set_entries(
			    s, other_entries, G_N_ELEMENTS(other_entries));
		sched_set_all_silent(s, cases[i].all_silent);
		sched_set_store_outage(
		    s, true, LAST_ANSWER_MS, ms - cases[i].late_ms);
		s->now_ms = ms;
		cr_expect_eq(ownership_may_extend_leases(s), cases[i].extends,
		    "%s", cases[i].name);
		cr_expect_eq(ownership_may_start_tasks(s), cases[i].starts,
		    "%s", cases[i].name);
		sched_free(s);
	}
}

/* The entries that the next row of an owner names. */
static Sched__Owner *
next_row(sched_t *s)
{
	g_autoptr(GByteArray) b = ownership_pack_row(s, false);

	return sched__owner__unpack(NULL, b->len, b->data);
}

/*
 * An owner may be followed by another before it knows that an earlier one is in no
 * outage: its row passes on by which entries that one judges.
 */
Test(outage, the_next_but_one_owner)
{
	sched_t *s = new_successor();
	Sched__Owner *o;

	sched_set_entries(s, other_entries, G_N_ELEMENTS(other_entries));
	o = next_row(s);
	cr_assert_eq(o->n_entries, G_N_ELEMENTS(entries));
	cr_expect_arr_eq(o->entries, entries, sizeof(entries));
	sched__owner__free_unpacked(o, NULL);
	sched_write_done(s, SCHED_WRITE_OK, TOKEN + 1, s->now_ms);
	cr_expect_not(s->electorate.named_stored);

	sched_earlier_owners_end(s, s->now_ms);
	o = next_row(s);
	cr_assert_eq(o->n_entries, G_N_ELEMENTS(other_entries));
	cr_expect_arr_eq(o->entries, other_entries, sizeof(other_entries));
	sched__owner__free_unpacked(o, NULL);
	sched_free(s);
}
