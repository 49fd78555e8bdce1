/*
 * Which entry claims a free cell first, and to which its owner leaves it.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../serve/strength.h"

#define STRONG	   2000	 /* half a core, 200 Mbit/s */
#define WEAK	   200	 /* 0.12 cores, 10 Mbit/s */
#define WEAKEST	   40	 /* 0.12 cores, 2 Mbit/s */
#define LONG_UP_MS 60000 /* of a process that knows all others */

Test(strength, lower_of_processor_and_link)
{
	cr_expect_eq(strength_of(0.5, 200), STRONG);
	cr_expect_eq(strength_of(0.12, 10), WEAK);
	cr_expect_eq(strength_of(0.25, 1000), 1000);
}

/*
 * Guards against a weak entry that claims a new cell, as it has not read yet that
 * stronger ones are there (LOST, issue 36).
 */
Test(strength, claim_delay)
{
	static const strength_entry_t others[] = { { "a", STRONG, 1 },
		{ "b", STRONG, 2 }, { "c", WEAK, 3 }, { "d", STRONG, 4 },
		{ "e", STRONG, 5 }, { "f", STRONG, 6 } };
	static const struct {
		const char *name;
		int32_t own;
		size_t known;
		int64_t up_ms;
		int32_t delay_ms;
	} cases[] = {
		{ "strong, just started", STRONG, 0, 0, 0 },
		{ "strong", STRONG, 6, LONG_UP_MS, 0 },
		{ "weak, knows nobody yet", WEAK, 0, 0, 600 },
		{ "weak, knows one stronger entry yet", WEAK, 1, 100, 600 },
		{ "weakest, knows nobody yet", WEAKEST, 0, 0, 600 },
		{ "weak, knows all", WEAK, 6, LONG_UP_MS, 600 },
		{ "weak, one is stronger", WEAK, 1, LONG_UP_MS, 150 },
		{ "weak, all alone", WEAK, 0, LONG_UP_MS, 0 },
		{ "a quarter core, just started", 1000, 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		cr_expect_eq(strength_claim_delay_ms(cases[i].own, others,
				 cases[i].known, cases[i].up_ms),
		    cases[i].delay_ms, "%s", cases[i].name);
}

/*
 * Guards against a weak owner that leaves and passes the cell to another weak entry
 * (LOST, issue 36).
 */
Test(strength, successor)
{
	static const strength_entry_t others[] = { { "strong", STRONG, 1 },
		{ "weak", WEAK, 2 }, { "about as strong", 1900, 3 },
		{ "started last", WEAK, 4 } };
	static const struct {
		const char *name;
		int32_t own;
		size_t first, known;
		const char *successor;
	} cases[] = {
		{ "nobody is known", WEAK, 0, 0, NULL },
		{ "strong, the others are weaker", STRONG, 3, 1, NULL },
		{ "strong", STRONG, 0, 4, "about as strong" },
		{ "weak", WEAK, 0, 4, "about as strong" },
		{ "weak, a strong one started first", WEAK, 0, 2, "strong" },
		{ "weak, like all others", WEAK, 3, 1, "started last" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const strength_entry_t *e = strength_successor(
		    cases[i].own, &others[cases[i].first], cases[i].known);

		cr_expect_str_eq(e == NULL ? "" : e->name,
		    cases[i].successor == NULL ? "" : cases[i].successor, "%s",
		    cases[i].name);
	}
}
