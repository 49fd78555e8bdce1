/*
 * What callers hold of a process: who has to go when it is too much.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../trans/budget.h"

#define KB 1024
#define MB (1024 * KB)

/* Callers get 8 connections, of which 6 may wait, and 1 MB. */
static const budget_limits_t limits = { .memory_mb = 4, .max_fds = 232 };

#define HOLDERS 16

/* Connections of callers; those that the account closes leave at once, or later. */
typedef struct {
	budget_t *budget;
	budget_holder_t holders[HOLDERS];
	char closed[4 * HOLDERS]; /* their numbers, in turn */
	bool later;
} fixture_t;

static fixture_t f;

static void
on_close(budget_holder_t *h)
{
	size_t n = strlen(f.closed);

	g_snprintf(
	    f.closed + n, sizeof(f.closed) - n, "%d ", (int)(h - f.holders));
	if (!f.later)
		budget_leave(h);
}

static bool
enter(int i)
{
	f.holders[i] = (budget_holder_t){ .close = on_close };
	return budget_enter(f.budget, &f.holders[i]);
}

static void
setup(int entered)
{
	f = (fixture_t){ .budget = budget_new(&limits) };
	for (int i = 0; i < entered; i++)
		cr_assert(enter(i));
}

static void
teardown(void)
{
	budget_free(f.budget);
}

Test(budget, share_of_the_limits)
{
	static const struct {
		const char *what;
		budget_limits_t limits;
		budget_share_t share;
	} cases[] = {
		{ "smallest machine", { 160, 4100 }, { 780, 585, 40 * MB } },
		{ "usual machine", { 260, 4100 }, { 780, 585, 65 * MB } },
		{ "memory decides", { 64, 8192 }, { 512, 384, 16 * MB } },
		{ "few descriptors", { 64, 256 }, { 11, 8, 16 * MB } },
		{ "hardly any", { 64, 200 }, { 8, 6, 16 * MB } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		budget_share_t s = budget_share(&cases[i].limits);

		cr_expect_eq(s.connections, cases[i].share.connections,
		    "%s: %d", cases[i].what, s.connections);
		cr_expect_eq(s.waiting, cases[i].share.waiting, "%s: %d",
		    cases[i].what, s.waiting);
		cr_expect_eq(
		    s.bytes, cases[i].share.bytes, "%s", cases[i].what);
	}
}

/* A step: holder i does something, or a request of some holder waits (WAIT, DONE). */
typedef enum { END, ENTER, LEAVE, WHOLE, UNFINISHED, CHARGE, WAIT, DONE } act_t;
typedef struct {
	act_t act;
	int i;
	int64_t bytes;
	bool refused;
} step_t;

static bool
take(const step_t *s)
{
	budget_holder_t *h = &f.holders[s->i];

	switch (s->act) {
	case ENTER:
		return enter(s->i);
	case LEAVE:
		budget_leave(h);
		return true;
	case WHOLE:
		budget_whole(h);
		return true;
	case UNFINISHED:
		budget_unfinished(h);
		return true;
	case CHARGE:
		return budget_charge(h, s->bytes);
	case WAIT:
		return budget_wait(f.budget, s->bytes);
	case DONE:
		budget_wait_ended(f.budget, s->bytes);
		return true;
	case END:
		break;
	}
	return false;
}

/*
 * Guards against a crowd of requests that never end using up the memory, or the
 * descriptors, of an entry (issue 56).
 */
Test(budget, who_has_to_go)
{
	static const struct {
		const char *what;
		int entered;
		step_t steps[12];
		const char *closed;
		bool later;
	} cases[] = {
		{ "there is room", 7, { { ENTER, 7 } }, "" },
		{ "too many: the oldest goes", 8,
		    { { ENTER, 8 }, { ENTER, 9 } }, "0 1 " },
		{ "one that is answered is younger", 8,
		    { { WHOLE, 0 }, { UNFINISHED, 0 }, { ENTER, 8 } }, "1 " },
		{ "a whole one stays", 8, { { WHOLE, 0 }, { ENTER, 8 } },
		    "1 " },
		{ "all are whole", 8,
		    { { WHOLE, 0 }, { WHOLE, 1 }, { WHOLE, 2 }, { WHOLE, 3 },
			{ WHOLE, 4 }, { WHOLE, 5 }, { WHOLE, 6 }, { WHOLE, 7 },
			{ ENTER, 8, .refused = true }, { LEAVE, 3 },
			{ ENTER, 8 } },
		    "" },
		{ "one that closes later makes room for one only", 8,
		    { { ENTER, 8 }, { ENTER, 9, .refused = true }, { LEAVE, 0 },
			{ ENTER, 9 } },
		    "0 1 ", .later = true },
		{ "too much: the oldest that holds some goes", 3,
		    { { CHARGE, 1, 600 * KB }, { CHARGE, 2, 600 * KB } },
		    "1 " },
		{ "more is too much: it is not the one that grows", 3,
		    { { CHARGE, 1, 600 * KB }, { CHARGE, 2, 100 * KB },
			{ CHARGE, 1, 1000 * KB } },
		    "2 " },
		{ "nobody else to close", 3,
		    { { CHARGE, 1, 600 * KB }, { WHOLE, 1 },
			{ CHARGE, 2, 600 * KB, .refused = true },
			{ CHARGE, 2, 400 * KB } },
		    "" },
		{ "what is let go of is there again", 3,
		    { { CHARGE, 1, 900 * KB }, { CHARGE, 1, 0 },
			{ CHARGE, 2, 900 * KB } },
		    "" },
		{ "what waits has room made for it", 3,
		    { { CHARGE, 1, 600 * KB }, { WHOLE, 2 },
			{ WAIT, 0, 600 * KB }, { DONE, 0, 600 * KB },
			{ CHARGE, 0, 1000 * KB } },
		    "1 " },
		{ "what waits finds no room", 3,
		    { { CHARGE, 1, 600 * KB }, { WHOLE, 1 },
			{ WAIT, 0, 600 * KB, .refused = true },
			{ CHARGE, 0, 400 * KB } },
		    "" },
		{ "too many wait", 1,
		    { { WAIT, 0 }, { WAIT, 0 }, { WAIT, 0 }, { WAIT, 0 },
			{ WAIT, 0 }, { WAIT, 0 }, { WAIT, 0, .refused = true },
			{ DONE, 0 }, { WAIT, 0 } },
		    "" },
		{ "leaving twice", 8,
		    { { LEAVE, 0 }, { LEAVE, 0 }, { ENTER, 8 }, { ENTER, 9 } },
		    "1 " },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup(cases[i].entered);
		f.later = cases[i].later;
		for (const step_t *s = cases[i].steps; s->act != END; s++)
			cr_expect_eq(take(s), !s->refused, "%s: step %d",
			    cases[i].what, (int)(s - cases[i].steps));
		cr_expect_str_eq(f.closed, cases[i].closed, "%s: closed %s",
		    cases[i].what, f.closed);
		teardown();
	}
}

/* Memory is given back once after much was held, not all the time. */
Test(budget, gives_back_once)
{
	static const budget_limits_t large = { .memory_mb = 64,
		.max_fds = 232 };

	f = (fixture_t){ .budget = budget_new(&large) };
	cr_assert(enter(0));
	budget_charge(&f.holders[0], 1 * MB);
	budget_charge(&f.holders[0], 0);
	cr_expect_not(budget_trim_due(f.budget), "little was held");
	budget_charge(&f.holders[0], 8 * MB);
	cr_expect_not(budget_trim_due(f.budget), "it is held still");
	budget_charge(&f.holders[0], 0);
	cr_expect(budget_trim_due(f.budget), "much was let go of");
	cr_expect_not(budget_trim_due(f.budget), "once");
	teardown();
}
