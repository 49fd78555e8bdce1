/*
 * Attempts of a request at a store that is slow, loses answers, refuses calls
 * or is down: when they are sent, and how and when the request ends.
 */
#include <stdbool.h>
#include <stdint.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../serve/attempts.h"

#define BEGIN_MS    10000
#define DEADLINE_MS 2850
#define ALWAYS	    INT64_MAX
#define STEP_MS	    10
#define SENT_MAX    16

/* A store that answers every call in the same way until a time. */
typedef struct {
	const char *name;
	bool is_write;
	int32_t answer_ms; /* 0: no answer, and no error either */
	bool loses;	   /* it closes the connection instead */
	int64_t refuses_until_ms;
	bool silent; /* to all calls, since BEGIN_MS - 1000 */
	/* What is expected, in ms after BEGIN_MS. */
	int64_t done_ms;    /* 0: never */
	int64_t gave_up_ms; /* 0: it did not */
	bool unsettled;	    /* when it gave up */
	int32_t sent;
} case_t;

/* Plays a case; true when an attempt was answered. */
static bool
play(const case_t *c, attempts_t *a, int64_t *end_ms)
{
	int64_t due[SENT_MAX], next_ms = 0;
	int32_t wait_ms;

	for (int64_t ms = 0; ms <= 2 * DEADLINE_MS; ms += STEP_MS) {
		attempts_now_t t = { .now_ms = BEGIN_MS + ms,
			.deadline_ms = BEGIN_MS + DEADLINE_MS,
			.store_silent_ms = c->silent ? 1000 + ms : 0 };

		*end_ms = ms;
		for (int32_t i = 0; i < a->sent; i++) {
			if (due[i] != ms)
				continue;
			if (!c->loses && due[i] > c->refuses_until_ms)
				return true;
			attempts_failed(a,
			    c->loses ? ATTEMPT_UNANSWERED : ATTEMPT_REFUSED,
			    t.now_ms);
			next_ms = ms;
		}
		if (ms < next_ms)
			continue;
		switch (attempts_next(a, &t, &wait_ms)) {
		case ATTEMPTS_GIVE_UP:
			return false;
		case ATTEMPTS_SEND:
			cr_assert_leq(a->sent, SENT_MAX);
			due[a->sent - 1] =
			    c->answer_ms == 0 ? ALWAYS : ms + c->answer_ms;
			/* fallthrough */
		case ATTEMPTS_WAIT:
			cr_assert_gt(wait_ms, 0);
			next_ms = ms + wait_ms;
		}
	}
	return false;
}

Test(attempts, stores)
{
	static const case_t cases[] = {
		{ "quick", true, 10, .done_ms = 10, .sent = 1 },
		{ "slower than an earlier time limit", true, 730,
		    .done_ms = 730, .sent = 1 },
		{ "very slow", true, 2000, .done_ms = 2000, .sent = 3 },
		{ "slow read", false, 1500, .done_ms = 1500, .sent = 2 },
		{ "too slow for the caller", true, 4000, .gave_up_ms = 2850,
		    .unsettled = true, .sent = 3 },
		{ "refuses for a moment", true, 10, .refuses_until_ms = 300,
		    .done_ms = 390, .sent = 3 },
		{ "refuses all", true, 10, .refuses_until_ms = ALWAYS,
		    .gave_up_ms = 390, .sent = 3 },
		{ "loses all answers", true, 10, .loses = true,
		    .gave_up_ms = 2850, .unsettled = true, .sent = 9 },
		{ "down for long, write", true, 0, .silent = true,
		    .gave_up_ms = 2850, .unsettled = true, .sent = 3 },
		{ "down for long, read", false, 0, .silent = true,
		    .gave_up_ms = 400, .sent = 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *c = &cases[i];
		attempts_t a = { .is_write = c->is_write };
		int64_t end_ms;
		bool done = play(c, &a, &end_ms);

		cr_expect_eq(done, c->done_ms != 0, "%s", c->name);
		cr_expect_leq(ABS(end_ms - (done ? c->done_ms : c->gave_up_ms)),
		    3 * STEP_MS, "%s ends after %d ms", c->name, (int)end_ms);
		cr_expect_eq(a.sent, c->sent, "%s: %d sent", c->name, a.sent);
		if (!done)
			cr_expect_eq(attempts_unsettled(&a), c->unsettled, "%s",
			    c->name);
	}
}

/* A store that is known to be down is not called at all. */
Test(attempts, known_outage)
{
	attempts_t a = { .is_write = true };
	attempts_now_t t = { .now_ms = BEGIN_MS,
		.deadline_ms = BEGIN_MS + DEADLINE_MS,
		.store_silent_ms = 5000 };
	int32_t wait_ms;

	cr_expect_eq(attempts_next(&a, &t, &wait_ms), ATTEMPTS_GIVE_UP);
	cr_expect_eq(a.sent, 0);
	cr_expect_not(attempts_unsettled(&a));
}
