/*
 * Shares and rates of customers: the order of the queue, token buckets, and the
 * refusals that the owner publishes.  share_load.c runs loads through them.
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
#include "share_fixture.h"

/* Accepts jobs of a customer at a time; returns how many are within its rate. */
static int
accept_jobs(sched_t *s, const char *customer, int n, int64_t accepted_ms)
{
	static int number = 1000000; /* apart from those of other jobs */
	int within = 0;

	for (int i = 0; i < n; i++)
		within += !shares_add_job(s, customer, ++number, accepted_ms)
			       ->over_rate;
	return within;
}

/*
 * A customer that had the room goes after one of the same urgency that had none,
 * for some seconds after its last run and not longer.
 */
Test(share, a_burst_is_remembered_for_a_while)
{
	static const struct {
		int64_t held_ms, since_ms;
		bool a_first; /* a is the more urgent one */
	} cases[] = { { 0, 1000, true }, { 10000, 0, false },
		{ 10000, 3000, false }, { 10000, 60000, true } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(1, 1, 1);
		worker_t *w = shares_add_worker(s, "w");
		int64_t later_ms;
		run_t *r;

		/* b has a small use all the time. */
		shares_add_run(s, shares_add_job(s, "b", 2, START_MS), w);
		if (cases[i].held_ms > 0) {
			r = shares_add_run(
			    s, shares_add_job(s, "a", 1, START_MS), w);
			shares_of(s, "a")->used_milli *= 20;
			shares_pass(s, cases[i].held_ms);
			shares_of(s, "a")->used_milli /= 20;
			shares_end_run(s, r);
		}
		shares_pass(s, cases[i].since_ms);
		later_ms = s->now_ms;
		shares_enqueue(s, shares_add_job(s, "a", 3, later_ms - 1500));
		shares_enqueue(s, shares_add_job(s, "c", 4, later_ms));
		shares_enqueue(s, shares_add_job(s, "b", 5, later_ms));
		shares_of(s, "b")->active = shares_of(s, "c")->active = true;
		shares_update(s);
		cr_expect_eq(strcmp(shares_first(s), "a") == 0,
		    cases[i].a_first, "case %zu: %s first", i, shares_first(s));
		sched_free(s);
	}
}

/* Work counts as it is done, not when a run ends, and as of the present weight. */
Test(share, long_runs_and_changed_weights_count)
{
	static const struct {
		double weight_a, later_a;
		int64_t cpu_a, cpu_b; /* held for long, no run ends */
		int order;	      /* of a against b */
	} cases[] = {
		{ 1, 1, 4000, 1000, 1 },
		{ 1, 1, 1000, 4000, -1 },
		{ 1, 1, 2000, 2000, 0 },
		{ 2, 2, 2000, 1000, 0 },
		{ 1, 4, 2000, 1000, -1 },
		{ 4, 1, 4000, 2000, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(cases[i].weight_a, 1, 1);
		worker_t *w = shares_add_worker(s, "w");
		job_t *a = shares_add_job(s, "a", 1, START_MS);
		job_t *b = shares_add_job(s, "b", 2, START_MS);

		shares_add_run(s, a, w);
		shares_add_run(s, b, w);
		shares_of(s, "a")->used_milli = cases[i].cpu_a;
		shares_of(s, "b")->used_milli = cases[i].cpu_b;
		shares_pass(s, 20000);
		customer_get(s, "a")->weight = cases[i].later_a;
		shares_pass(s, STEP_MS);
		cr_expect_eq(
		    share_compare(a, b), cases[i].order, "case %zu", i);
		cr_expect_eq(
		    share_compare(b, a), -cases[i].order, "case %zu", i);
		sched_free(s);
	}
}

/* Runs shorter than the time between two updates are not missed. */
Test(share, short_runs_count)
{
	sched_t *s = shares_owner(1, 1, 1);
	worker_t *w = shares_add_worker(s, "w");

	for (int i = 0; i < 100; i++) {
		run_t *r;

		shares_update(s);
		shares_set_now(s, s->now_ms + 50);
		r = shares_add_run(s, shares_add_job(s, "a", i, s->now_ms), w);
		shares_set_now(s, s->now_ms + 100);
		shares_end_run(s, r);
		shares_set_now(s, s->now_ms + 100);
	}
	shares_update(s);
	/* 1000 milli for 0.4 of the time. */
	cr_expect_float_eq(shares_of(s, "a")->received, 0.4 * 1000 * 5000,
	    50000, "%g", shares_of(s, "a")->received);
	cr_expect_eq(shares_of(s, "a")->used_milli, 0);
	sched_free(s);
}

/* GSequence needs a strict weak order, also with jobs that have no customer. */
Test(share, the_order_is_a_strict_weak_order)
{
	static const char *const names[] = { "a", "b", "c", "" };
	sched_t *s = shares_owner(1, 2, 3);
	g_autoptr(GRand) rand = g_rand_new_with_seed(3);
	job_t *j[24];

	for (int i = 0; i < 24; i++)
		j[i] = shares_add_job(s, names[i % 4], i + 1, START_MS);
	cr_assert(j[20]->over_rate);
	/* Some are ranked in the queue, the others by their customer. */
	for (int i = 0; i < 24; i += 3)
		shares_enqueue(s, j[i]);
	for (int round = 0; round < 50; round++) {
		for (int i = 0; i < 3; i++)
			shares_of(s, names[i])->used_milli =
			    g_rand_int_range(rand, 0, 3) * 1000;
		s->unowned.used_milli = g_rand_int_range(rand, 0, 3) * 1000;
		shares_pass(s, 1000);
		for (int n = 0; n < 24 * 24 * 24; n++) {
			const job_t *x = j[n % 24], *y = j[n / 24 % 24],
				    *z = j[n / 576];
			int xy = share_compare(x, y), yz = share_compare(y, z),
			    xz = share_compare(x, z);

			cr_assert_eq(xy, -share_compare(y, x));
			if (xy <= 0 && yz <= 0)
				cr_assert_eq(xz, xy < 0 || yz < 0 ? -1 : 0);
		}
	}
	sched_free(s);
}

/* Without customers nothing is counted and the order is as before. */
Test(share, nothing_changes_without_customers)
{
	sched_t *s = new_owner();
	worker_t *w = shares_add_worker(s, "w");
	job_t *a = shares_add_job(s, "", 1, START_MS);
	job_t *b = shares_add_job(s, "", 2, START_MS);
	int32_t retry_ms;
	size_t n;

	shares_set_now(s, START_MS);
	shares_add_run(s, a, w);
	shares_enqueue(s, b);
	shares_pass(s, 30000);
	cr_expect_eq(share_compare(a, b), 0);
	cr_expect_eq(s->unowned.received, 0);
	cr_expect_null(admission_pack(s, s->now_ms, &n));
	cr_expect_eq(n, 0);
	cr_expect_eq(
	    sched_admit(s, "x", b->def, s->now_ms, &retry_ms), SCHED_ADMITTED);
	sched_free(s);
}

/* How many jobs of a burst are within the rate, and how many after a time. */
Test(share, jobs_beyond_the_rate)
{
	static const struct {
		double weight;
		int burst, within; /* at once */
		int64_t after_ms;  /* then, as many again */
		int within_after;
	} cases[] = {
		{ 5, 20, 20, 0, 0 },
		{ 5, 40, 20, 1000, 5 },
		{ 5, 40, 20, 60000, 20 }, /* no more than one burst */
		{ 7, 40, 28, 2000, 14 },
		{ 0.1, 5, 2, 10000, 1 }, /* less than a job in a burst */
		{ 1e-300, 5, 2, 60000, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(cases[i].weight, 1, 1);

		cr_expect_eq(accept_jobs(s, "a", cases[i].burst, START_MS),
		    cases[i].within, "case %zu", i);
		shares_set_now(s, START_MS + cases[i].after_ms);
		cr_expect_eq(accept_jobs(s, "a", cases[i].burst, s->wall_ms),
		    cases[i].within_after, "case %zu, later", i);
		sched_free(s);
	}
}

/* A customer that always sends too much still has its rate, and no more. */
Test(share, a_flood_leaves_the_rate)
{
	sched_t *s = shares_owner(4, 1, 1);
	int within = 0;

	for (int i = 0; i < 600; i++) {
		shares_set_now(s, s->now_ms + 100);
		within += accept_jobs(s, "a", 3, s->wall_ms);
	}
	/* A burst of 16 at first, then 4 a second for 59.9 s. */
	cr_expect_eq(within, 16 + 239, "%d jobs in a minute", within);
	sched_free(s);
}

/* A job beyond the rate goes after those of all others that are within theirs. */
Test(share, jobs_beyond_the_rate_go_last)
{
	sched_t *s = shares_owner(1, 1, 1);
	job_t *last = NULL, *other;

	for (int i = 0; i < 5; i++)
		last = shares_add_job(s, "a", i + 1, START_MS);
	cr_assert(last->over_rate);
	shares_enqueue(s, last);
	other = shares_add_job(s, "b", 10, START_MS);
	shares_add_run(
	    s, shares_add_job(s, "b", 11, START_MS), shares_add_worker(s, "w"));
	shares_enqueue(s, other);
	shares_pass(s, 1000);
	cr_assert_gt(shares_of(s, "b")->rank, shares_of(s, "a")->rank);
	cr_expect_str_eq(shares_first(s), "b");
	cr_expect_eq(share_compare(other, last), -1);
	sched_free(s);
}

/* Entries' clocks differ and are set: the error is at most of one burst. */
Test(share, acceptance_times_of_other_clocks)
{
	static const struct {
		const char *what;
		int64_t
		    error_ms;	 /* of the entry that accepts each second job */
		int64_t step_ms; /* the owner's clock is set by, half-way */
		int least, most;
	} cases[] = {
		{ "exact", 0, 0, 120, 120 },
		{ "behind", -3600000, 0, 120, 120 },
		{ "ahead", 3600000, 0, 120, 120 },
		{ "owner's clock set back", 0, -3600000, 100, 120 },
		{ "owner's clock set forward", 0, 3600000, 120, 120 },
		{ "a little behind", -900, 0, 120, 120 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(4, 1, 1);
		int64_t start_ms = START_MS;
		int within = 0;

		/* Four jobs a second, as many as are owed. */
		for (int n = 0; n < 120; n++) {
			if (n == 60)
				start_ms += cases[i].step_ms;
			shares_set_now(s, start_ms + n * 250);
			within += accept_jobs(s, "a", 1,
			    s->wall_ms + (n % 2) * cases[i].error_ms);
		}
		cr_expect(within >= cases[i].least && within <= cases[i].most,
		    "%s: %d within", cases[i].what, within);
		sched_free(s);
	}
}

/* A weight that changes keeps the jobs that are in the bucket. */
Test(share, the_bucket_follows_the_weight)
{
	static const struct {
		double before, after;
		int64_t after_ms;
		int within;
	} cases[] = {
		{ 4, 8, 0, 16 }, /* 16 of 32 are taken */
		{ 8, 4, 0, 0 },	 /* 32 of 16 */
		{ 4, 8, 1000, 24 },
		{ 8, 4, 1000, 4 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(cases[i].before, 1, 1);

		accept_jobs(s, "a", 100, START_MS);
		customer_get(s, "a")->weight = cases[i].after;
		share_update(s);
		shares_set_now(s, START_MS + cases[i].after_ms);
		cr_expect_eq(accept_jobs(s, "a", 100, s->wall_ms),
		    cases[i].within, "case %zu", i);
		sched_free(s);
	}
}

/* A new owner reads rows in any order and marks the same jobs. */
Test(share, the_order_of_rows_does_not_matter)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(5);

	for (int round = 0; round < 20; round++) {
		sched_t *s = shares_owner(2, 1, 1);
		int order[60], over = 0;
		job_t *j;

		s->cell.state = CELL_LOADING;
		for (int i = 0; i < 60; i++)
			order[i] = i;
		for (int i = 59; i > 0; i--) {
			int k = g_rand_int_range(rand, 0, i + 1);
			int other = order[k];

			order[k] = order[i];
			order[i] = other;
		}
		/* Ten a second. */
		for (int i = 0; i < 60; i++)
			shares_add_job(s, "a", order[i] + 1,
			    START_MS - 6000 + order[i] * 100);
		share_load_done(s);
		for (int i = 0; i < 60; i++) {
			g_autofree char *id = g_strdup_printf("%016x", i + 1);

			j = g_hash_table_lookup(s->jobs, id);
			over += j->over_rate;
			if (i < 8)
				cr_expect_not(j->over_rate, "job %d", i);
		}
		/* 8 at once and 2 a second for 5.9 s. */
		cr_expect_eq(60 - over, 19, "%d within", 60 - over);
		sched_free(s);
	}
}

/* One that asked for nothing is a step ahead of the others, however long. */
Test(share, an_idle_customer_gains_no_credit)
{
	static const int64_t idle_ms[] = { 1000, 20000, 600000 };

	for (size_t i = 0; i < G_N_ELEMENTS(idle_ms); i++) {
		sched_t *s = shares_owner(1, 1, 1);
		worker_t *w = shares_add_worker(s, "w");
		double least;

		shares_add_run(s, shares_add_job(s, "a", 1, START_MS), w);
		shares_enqueue(s, shares_add_job(s, "a", 2, START_MS));
		shares_add_run(s, shares_add_job(s, "b", 3, START_MS), w);
		shares_enqueue(s, shares_add_job(s, "b", 4, START_MS));
		shares_pass(s, 20000 + idle_ms[i]);
		least = shares_of(s, "a")->received;
		shares_enqueue(s, shares_add_job(s, "c", 5, s->wall_ms));
		shares_pass(s, STEP_MS);
		cr_expect_str_eq(shares_first(s), "c");
		cr_expect_eq(shares_of(s, "c")->rank,
		    shares_of(s, "a")->rank - 1, "idle for %d ms",
		    (int)idle_ms[i]);
		cr_expect_geq(shares_of(s, "c")->received, 0.7 * least);
		/* Once it is active, only what it receives counts. */
		shares_pass(s, 60000);
		cr_expect_leq(shares_of(s, "c")->received, 0.01 * least);
		sched_free(s);
	}
}

/*
 * A customer seen for the first time has no credit either, also if another has
 * received nothing, as its quota holds it.
 */
Test(share, a_new_customer_gains_no_credit)
{
	for (int held = 0; held < 2; held++) {
		sched_t *s = shares_owner(1, 1, 1);
		worker_t *w = shares_add_worker(s, "w");
		ts_quota_t *q = &customer_get(s, "b")->quota;

		q->limit.cpu_milli = q->unseen.cpu_milli = 1000;
		shares_add_run(s, shares_add_job(s, "a", 1, START_MS), w);
		shares_enqueue(s, shares_add_job(s, "a", 2, START_MS));
		if (held)
			shares_enqueue(s, shares_add_job(s, "b", 4, START_MS));
		shares_pass(s, 20000);
		shares_enqueue(s, shares_add_job(s, "new", 3, s->wall_ms));
		shares_pass(s, STEP_MS);
		cr_expect_eq(shares_of(s, "new")->rank,
		    shares_of(s, "a")->rank - 1, "held %d", held);
		sched_free(s);
	}
}

/* Jobs without a customer share the room with those of customers. */
Test(share, jobs_without_a_customer_are_counted)
{
	static const struct {
		int64_t cpu_unowned, cpu_a;
		int order; /* of a against a job without a customer */
	} cases[] = { { 20000, 1000, -1 }, { 1000, 20000, 1 },
		{ 5000, 5000, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = shares_owner(3, 3, 3);
		worker_t *w = shares_add_worker(s, "w");
		job_t *a = shares_add_job(s, "a", 1, START_MS);
		job_t *none = shares_add_job(s, "", 2, START_MS);

		shares_add_run(s, a, w);
		shares_add_run(s, none, w);
		shares_of(s, "a")->used_milli = cases[i].cpu_a;
		s->unowned.used_milli = cases[i].cpu_unowned;
		shares_pass(s, 20000);
		cr_expect_eq(
		    share_compare(a, none), cases[i].order, "case %zu", i);
		sched_free(s);
	}
}

/* Work that fits nowhere does not put what is behind it after all others. */
Test(share, unplaced_work_holds_back_a_customer_little)
{
	sched_t *s = shares_owner(100, 100, 1);
	worker_t *w = shares_add_worker(s, "w");
	job_t *last = NULL, *other = shares_add_job(s, "b", 1, START_MS);

	shares_add_run(s, shares_add_job(s, "b", 2, START_MS), w);
	shares_enqueue(s, other);
	for (int i = 0; i < 200; i++) {
		last = shares_add_job(s, "a", 10 + i, START_MS + i);
		shares_enqueue(s, last);
	}
	shares_pass(s, 20000);
	cr_assert_not(last->over_rate);
	cr_expect_eq(share_compare(last, other), -1);
	sched_free(s);
}

/* A successor begins from zero, also if the same process owned the cell. */
Test(share, nothing_is_left_of_an_earlier_ownership)
{
	sched_t *s = shares_owner(1, 1, 1);
	worker_t *w = shares_add_worker(s, "w");

	shares_add_run(s, shares_add_job(s, "a", 1, START_MS), w);
	accept_jobs(s, "a", 100, START_MS);
	shares_pass(s, 5000);
	ownership_lost(s, "test");
	ownership_tick(s);
	cr_expect_eq(shares_of(s, "a")->received, 0);
	cr_expect_eq(shares_of(s, "a")->used_milli, 0);
	cr_expect_leq(share_time_to_room(s, customer_get(s, "a")), 0);
	sched_free(s);
}
