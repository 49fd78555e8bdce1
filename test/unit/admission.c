/*
 * Refusals while room is short: when the owner decides them, and how entries
 * apply what it published.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

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
#include "share_fixture.h"

#define LATE_MS	 2500 /* a job accepted so long ago is past its latest start */
#define LIMIT_MS 3500 /* an older owner row is not used */

/* Customer a sends far more than its rate; c has a job that waits. */
static step_t *
overload(sched_t *s, int64_t c_age_ms)
{
	for (int i = 0; i < 20; i++)
		shares_add_job(s, "a", 100 + i, s->wall_ms);
	return shares_enqueue(
	    s, shares_add_job(s, "c", 1, s->wall_ms - c_age_ms));
}

/* Lets time pass while customer a sends on. */
static void
send_on(sched_t *s, int64_t ms)
{
	static int number = 1000;

	for (int64_t t = 0; t < ms; t += STEP_MS) {
		shares_pass(s, STEP_MS);
		shares_add_job(s, "a", number++, s->wall_ms);
	}
}

/* What makes a late job wait says whether room is short. */
Test(admission, only_a_lack_of_room_makes_it_short)
{
	static const struct {
		const char *what;
		int64_t age_ms, cpu_milli;
		bool over_rate, no_row, approval, quota, unaccounted, retry,
		    none, paused;
		bool refused;
	} cases[] = {
		{ "late for room", LATE_MS, 1000, .refused = true },
		{ "in time", -60000, 1000 },
		{ "beyond its rate", LATE_MS, 1000, .over_rate = true },
		{ "without a row", LATE_MS, 1000, .no_row = true },
		{ "for an approval", LATE_MS, 1000, .approval = true },
		{ "for its quota", LATE_MS, 1000, .quota = true },
		{ "may run unseen", LATE_MS, 1000, .unaccounted = true },
		{ "to be tried again", LATE_MS, 1000, .retry = true },
		{ "for a larger worker", LATE_MS, 100000 },
		{ "no worker", LATE_MS, 1000, .none = true },
		{ "nothing may start", LATE_MS, 1000, .paused = true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(1, 1, 1);
		step_t *st;

		if (!cases[i].none)
			shares_add_worker(s, "w");
		st = overload(s, cases[i].age_ms);
		((Sched__Step *)st->def)->cpu_milli = cases[i].cpu_milli;
		st->occ->job->over_rate = cases[i].over_rate;
		st->occ->job->row_stored = !cases[i].no_row;
		st->occ->job->needs_approval = cases[i].approval;
		if (cases[i].quota) {
			ts_quota_t *q = &customer_get(s, "c")->quota;

			q->limit.cpu_milli = 1000;
			q->used.cpu_milli = 1000;
		}
		if (cases[i].unaccounted) {
			s->cell.workers_accounted = false;
			st->occ->job->maybe_started_before = true;
		}
		if (cases[i].retry)
			st->tasks[0].not_before_ms = s->now_ms + 60000;
		s->cell.paused = cases[i].paused;
		send_on(s, 5000);
		cr_expect_eq(shares_of(s, "a")->refused, cases[i].refused, "%s",
		    cases[i].what);
		cr_expect_not(shares_of(s, "b")->refused);
		cr_expect_not(shares_of(s, "c")->refused);
		cr_expect_eq(refusal_events.begun, cases[i].refused, "%s",
		    cases[i].what);
		cr_expect_eq(
		    sched_stats(s).refused_customers, cases[i].refused);
		sched_free(s);
	}
}

/* Jobs that are late in some updates only: the refusal does not flicker. */
Test(admission, the_shortage_has_hysteresis)
{
	static const struct {
		int late_ms, in_time_ms; /* again and again */
		int begun;		 /* in 30 s */
		bool refused;		 /* at their end */
	} cases[] = { { 250, 250, 1, true }, { 250, 1500, 1, true },
		{ 500, 4000, 0, false }, { 250, 60000, 0, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(1, 1, 1);
		int period_ms = cases[i].late_ms + cases[i].in_time_ms;
		step_t *st;

		shares_add_worker(s, "w");
		st = overload(s, LATE_MS);
		for (int t = 0; t < 30000; t += STEP_MS) {
			st->occ->job->row_stored =
			    t % period_ms < cases[i].late_ms;
			send_on(s, STEP_MS);
		}
		cr_expect_eq(refusal_events.begun, cases[i].begun,
		    "case %zu: %d begun", i, refusal_events.begun);
		cr_expect_eq(shares_of(s, "a")->refused, cases[i].refused,
		    "case %zu", i);
		sched_free(s);
	}
}

/* A customer that sends in bursts is refused again and again: logged once. */
Test(admission, a_refusal_that_comes_again_is_logged_once)
{
	sched_t *s = shares_owner(1, 1, 1);
	bool was = false;
	int times = 0;

	shares_add_worker(s, "w");
	overload(s, LATE_MS);
	for (int t = 0; t < 30000; t += STEP_MS) {
		bool now;

		if (t % 3000 == 0)
			for (int i = 0; i < 10; i++)
				shares_add_job(
				    s, "a", 2000 + t + i, s->wall_ms);
		shares_pass(s, STEP_MS);
		now = shares_of(s, "a")->refused;
		times += now && !was;
		was = now;
	}
	cr_expect_gt(times, 5, "%d times", times);
	cr_expect_eq(refusal_events.begun, 1);
	cr_expect_eq(refusal_events.ended, 0);
	sched_free(s);
}

/* A refusal ends when the bucket has room, room is there, or the cell is lost. */
Test(admission, a_refusal_ends)
{
	static const struct {
		const char *what;
		bool stops, room, lost;
		int ended;
	} cases[] = { { "sends on", false, false, false, 0 },
		{ "stops sending", true, false, false, 1 },
		{ "room", false, true, false, 1 },
		{ "the cell is lost", false, false, true, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(1, 1, 1);
		step_t *st;

		shares_add_worker(s, "w");
		st = overload(s, LATE_MS);
		send_on(s, 2000);
		cr_assert_eq(refusal_events.begun, 1, "%s", cases[i].what);
		if (cases[i].room)
			queue_remove_step(st);
		if (cases[i].lost) {
			ownership_lost(s, "test");
			ownership_tick(s);
		} else if (cases[i].stops)
			shares_pass(s, 10000);
		else
			send_on(s, 10000);
		cr_expect_eq(
		    refusal_events.ended, cases[i].ended, "%s", cases[i].what);
		sched_free(s);
	}
}

/* A submission of a customer to a queue. */
static Sched__Job
submission(const char *customer, const char *queue)
{
	Sched__Job d = SCHED__JOB__INIT;

	d.customer = (char *)customer;
	d.queue = (char *)queue;
	return d;
}

/* An owner row with these refusals, decided at a time of the store's clock. */
static void
read_row(sched_t *s, Sched__Refusal *r, size_t n, int64_t counted_ms,
    bool stale, int64_t version)
{
	Sched__Owner o = SCHED__OWNER__INIT;
	Sched__Refusal *list[8];
	g_autofree uint8_t *b = NULL;
	sched_row_t row = { .key = SCHED_KEY_OWNER, .version = version };

	for (size_t i = 0; i < n; i++)
		list[i] = &r[i];
	o.name = "other";
	o.epoch = 1;
	o.counted_ms = counted_ms;
	o.waiting_stale = stale;
	o.refusals = list;
	o.n_refusals = n;
	row.nbytes = sched__owner__get_packed_size(&o);
	row.bytes = b = g_malloc(row.nbytes);
	sched__owner__pack(&o, b);
	sched_owner_row_read(s, &row, s->now_ms);
}

/* An entry that owns nothing applies the row as long as it is new. */
Test(admission, entries_apply_the_row)
{
	static const struct {
		const char *what, *of, *to; /* of the refusal */
		int32_t retry_ms;
		int64_t after_ms;   /* the row was read, until the submission */
		int64_t counted_ms; /* before it was read; -1: unknown */
		bool stale;
		sched_admission_t result;
		int32_t least_ms, most_ms;
	} cases[] = {
		{ "its customer", "a", "", 5000, 0, 0, false, SCHED_OVER_RATE,
		    5000, 10000 },
		{ "less than a second", "a", "", 10, 0, 0, false,
		    SCHED_OVER_RATE, 1000, 2000 },
		{ "time has passed", "a", "", 5000, 2000, 0, false,
		    SCHED_OVER_RATE, 3000, 6000 },
		{ "applied late", "a", "", 5000, 0, 2000, false,
		    SCHED_OVER_RATE, 3000, 6000 },
		{ "until its bucket has room", "a", "", 1500, 1500, 0, false,
		    SCHED_ADMITTED, 0, 0 },
		{ "another customer", "b", "", 5000, 0, 0, false,
		    SCHED_ADMITTED, 0, 0 },
		{ "another queue", "a", "r", 5000, 0, 0, false, SCHED_ADMITTED,
		    0, 0 },
		{ "a queue of all customers", "", "q", 5000, 0, 0, false,
		    SCHED_HOPELESS, 5000, 10000 },
		{ "the row is at its limit", "a", "", 9000, LIMIT_MS, 0, false,
		    SCHED_OVER_RATE, 6000, 12000 },
		{ "the row is too old", "a", "", 9000, LIMIT_MS + 1, 0, false,
		    SCHED_ADMITTED, 0, 0 },
		{ "it was decided too long ago", "a", "", 9000, 1000, 2600,
		    false, SCHED_ADMITTED, 0, 0 },
		{ "of an older build", "a", "", 9000, 1000, -1, false,
		    SCHED_OVER_RATE, 8000, 16000 },
		{ "its owner has not read the jobs", "a", "", 9000, 0, 0, true,
		    SCHED_ADMITTED, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		Sched__Refusal r = SCHED__REFUSAL__INIT;
		Sched__Job d = submission("a", "q");
		int32_t retry_ms = -1;

		shares_set_now(s, START_MS);
		s->store_clock_offset_ms = 77000;
		r.customer = (char *)cases[i].of;
		r.queue = (char *)cases[i].to;
		r.retry_after_ms = cases[i].retry_ms;
		read_row(s, &r, 1,
		    cases[i].counted_ms < 0 ?
			0 :
			START_MS + 77000 - cases[i].counted_ms,
		    cases[i].stale, 5);
		cr_expect_eq(sched_admit(s, "00000000000000ab", &d,
				 START_MS + cases[i].after_ms, &retry_ms),
		    cases[i].result, "%s", cases[i].what);
		cr_expect(retry_ms >= cases[i].least_ms &&
			retry_ms <= cases[i].most_ms && retry_ms % 1000 == 0,
		    "%s: %d", cases[i].what, retry_ms);
		cr_expect_eq(sched_stats(s).refused_over_rate,
		    cases[i].result == SCHED_OVER_RATE, "%s", cases[i].what);
		sched_free(s);
	}
}

/* Only jobs that would be worthless by the expected delay are hopeless. */
Test(admission, hopeless_by_the_delay)
{
	static const struct {
		int64_t target_ms, estimate_ms;
		double stretch;
		int32_t delay_ms;
		bool hopeless;
	} cases[] = {
		/* 3 x (1000 + 2 x 2000), of which 2000 are its own work. */
		{ 1000, 1000, 2, 13000, false }, { 1000, 1000, 2, 13001, true },
		{ 0, 1000, 0, 1, true },
		{ 1000, 1000, 2, 0, true }, /* all jobs */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_sched();
		Sched__Refusal r = SCHED__REFUSAL__INIT;
		Sched__Job d = submission("a", "q");
		Sched__Step first = step_def("", 1, false, 0), last = first;
		Sched__Step *steps[] = { &first, &last };
		int32_t after = 0, retry_ms;

		first.estimate_ms = last.estimate_ms = cases[i].estimate_ms;
		last.n_after = 1;
		last.after = &after;
		d.n_steps = 2;
		d.steps = steps;
		d.target_ms = cases[i].target_ms;
		d.stretch = cases[i].stretch;
		shares_set_now(s, START_MS);
		r.retry_after_ms = 2000;
		r.delay_ms = cases[i].delay_ms;
		read_row(s, &r, 1, 0, false, 5);
		cr_expect_eq(sched_admit(s, "x", &d, START_MS, &retry_ms) ==
			SCHED_HOPELESS,
		    cases[i].hopeless, "case %zu", i);
		sched_free(s);
	}
}

/* What an owner writes reaches an entry, and a successor that loads keeps it. */
Test(admission, the_row_carries_the_decision)
{
	sched_t *s = shares_owner(1, 1, 1), *entry = new_sched(),
		*third = new_sched();
	Sched__Job d = submission("a", "q"), other = submission("b", "q");
	int32_t own_ms, retry_ms;
	GByteArray *b;
	sched_row_t row = { .key = SCHED_KEY_OWNER, .version = 9 };

	entry->opts.name = "f";
	third->opts.name = "g";
	shares_add_worker(s, "w");
	overload(s, LATE_MS);
	send_on(s, 3000);
	cr_assert(shares_of(s, "a")->refused);
	b = ownership_pack_row(s, false);
	row.bytes = b->data;
	row.nbytes = b->len;
	entry->wall_ms = s->wall_ms;
	sched_owner_row_read(entry, &row, s->now_ms);
	cr_expect_eq(sched_admit(entry, "new", &d, s->now_ms, &retry_ms),
	    SCHED_OVER_RATE);
	cr_expect_eq(
	    sched_admit(s, "new", &d, s->now_ms, &own_ms), SCHED_OVER_RATE);
	cr_expect_eq(own_ms, retry_ms);
	cr_expect_eq(sched_admit(entry, "new", &other, s->now_ms, &retry_ms),
	    SCHED_ADMITTED);
	/* A job that was accepted before may run. */
	cr_expect_eq(sched_admit(s, "0000000000000064", &d, s->now_ms, &own_ms),
	    SCHED_ADMITTED);
	g_byte_array_unref(b);
	entry->cell.state = CELL_CLAIMING;
	entry->now_ms = s->now_ms + 100;
	b = ownership_pack_row(entry, false);
	row.bytes = b->data;
	row.nbytes = b->len;
	row.version = 10;
	sched_owner_row_read(third, &row, s->now_ms + 200);
	cr_expect_eq(sched_admit(third, "new", &d, s->now_ms + 200, &retry_ms),
	    SCHED_OVER_RATE);
	cr_expect_eq(
	    sched_admit(third, "new", &d, s->now_ms + LIMIT_MS + 1, &retry_ms),
	    SCHED_ADMITTED);
	g_byte_array_unref(b);
	sched_free(third);
	sched_free(entry);
	sched_free(s);
}

/* The row says what is left of the time when it is written. */
Test(admission, the_row_counts_from_its_write)
{
	static const int32_t later_ms[] = { 0, 200, 60000 };
	sched_t *s = shares_owner(1, 1, 1);

	shares_add_worker(s, "w");
	overload(s, LATE_MS);
	send_on(s, 3000);
	shares_update(s);
	cr_assert_eq(s->admission.refusals->len, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(later_ms); i++) {
		const Sched__Refusal *r =
		    g_ptr_array_index(s->admission.refusals, 0);
		g_autofree Sched__Refusal **list = NULL;
		size_t n;

		s->now_ms = s->admission.decided_ms + later_ms[i];
		list = admission_pack(s, s->now_ms, &n);
		cr_assert_eq(n, 1);
		cr_expect_eq(list[0]->retry_after_ms,
		    MAX(1, r->retry_after_ms - later_ms[i]), "case %zu", i);
		g_free(list[0]);
	}
	sched_free(s);
}

/* Callers that were refused together do not come back together. */
Test(admission, callers_come_back_spread)
{
	static const int32_t retries_s[] = { 1, 4, 20 };

	for (size_t i = 0; i < G_N_ELEMENTS(retries_s); i++) {
		sched_t *s = new_sched();
		Sched__Refusal r = SCHED__REFUSAL__INIT;
		Sched__Job d = submission("a", "q");
		int32_t n = retries_s[i], counts[64] = { 0 }, again_ms;

		shares_set_now(s, START_MS);
		r.customer = "a";
		r.retry_after_ms = n * 1000;
		read_row(s, &r, 1, 0, false, 5);
		for (int k = 0; k < 4000; k++) {
			g_autofree char *id = g_strdup_printf("%016x", k);
			int32_t retry_ms;

			sched_admit(s, id, &d, START_MS, &retry_ms);
			sched_admit(s, id, &d, START_MS, &again_ms);
			cr_assert_eq(retry_ms, again_ms);
			cr_assert(
			    retry_ms >= n * 1000 && retry_ms <= 2 * n * 1000);
			counts[retry_ms / 1000]++;
		}
		/* Each second has about its part of them. */
		for (int k = n; k <= 2 * n; k++)
			cr_expect(counts[k] > 4000 / (n + 1) * 0.6 &&
				counts[k] < 4000 / (n + 1) * 1.4,
			    "%d s: %d of 4000", k, counts[k]);
		sched_free(s);
	}
}
