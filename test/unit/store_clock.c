/*
 * The store's clock seen through answers that take longer or shorter.
 */
#include <stdbool.h>
#include <stdint.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../serve/store_clock.h"

#define OFFSET_MS 500000 /* store's clock less ours */

Test(store_clock, time_of_an_answer)
{
	/* Answers, one after another: when they were called for, given and
	 * read, by our clock. */
	static const struct {
		int64_t called_ms, given_ms, read_ms;
		int64_t earliest_ms, latest_ms; /* what may come out */
	} cases[] = {
		/* The first tells nothing better than when it was read. */
		{ 1000, 1005, 1008, 1000, 1008 },
		{ 2000, 2004, 2006, 2000, 2006 },
		/* A long poll, answered at its end. */
		{ 3000, 4000, 4002, 3998, 4002 },
		/* Read seconds after it was given: the process was delayed. */
		{ 5000, 5010, 9000, 5000, 5015 },
		{ 9000, 9900, 12000, 9890, 9905 },
		/* No clock in the answer. */
		{ 13000, 0, 14000, 13000, 13000 },
	};
	store_clock_t c = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t store_ms =
		    cases[i].given_ms == 0 ? 0 : cases[i].given_ms + OFFSET_MS;
		int64_t local_ms;

		if (store_ms != 0)
			store_clock_read(&c, store_ms, cases[i].read_ms);
		local_ms = store_clock_local(
		    &c, store_ms, cases[i].called_ms, cases[i].read_ms);
		cr_expect_geq(local_ms, cases[i].earliest_ms, "case %zu: %d", i,
		    (int)local_ms);
		cr_expect_leq(local_ms, cases[i].latest_ms, "case %zu: %d", i,
		    (int)local_ms);
	}
}

/* Our clock is fast by 100 ppm: the estimate follows. */
Test(store_clock, drift)
{
	store_clock_t c = { 0 };

	for (int64_t ms = 0; ms < 600000; ms += 500) {
		int64_t now_ms = 1000 + ms,
			store_ms = OFFSET_MS + ms - ms / 10000;
		int64_t local_ms;

		store_clock_read(&c, store_ms, now_ms);
		local_ms =
		    store_clock_local(&c, store_ms, now_ms - 1000, now_ms);
		cr_assert_geq(
		    local_ms, now_ms - 20, "after %d s", (int)(ms / 1000));
	}
}

/*
 * Guards against a lease that is stored as ended before it is: an answer that was
 * on its way for long does not set the store's clock back.
 */
Test(store_clock, a_slow_answer)
{
	store_clock_t c = { 0 };

	store_clock_read(&c, 1000 + OFFSET_MS, 1002);
	store_clock_read(&c, 2000 + OFFSET_MS, 2900);
	cr_expect_eq(store_clock_now(&c, 3000), 2998 + OFFSET_MS);
}
