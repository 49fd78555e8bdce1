#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "strength.h"

#define PER_CORE 4000
#define PER_MBPS 20 /* 50 Mbit/s count as a quarter of a core */
/* An entry above this share of another's strength is much stronger. */
#define MUCH_STRONGER_PCT   130
#define CLAIM_DELAY_MS	    150 /* per stronger entry: OWNER_POLL_LATE_MS */
#define CLAIM_DELAY_ENTRIES 4	/* at most so many stronger entries count */
/* Below a quarter of a core or 50 Mbit/s stronger entries are likely. */
#define WEAK 1000
/* Entries that start together have read of each other by then. */
#define OTHERS_KNOWN_MS 1000

int32_t
strength_of(double cores, double link_mbps)
{
	return (int32_t)MIN(cores * PER_CORE, link_mbps * PER_MBPS);
}

/* Whether a is the strength of a much stronger entry than b. */
static bool
is_much_stronger(int32_t a, int32_t b)
{
	return (int64_t)a * 100 > (int64_t)b * MUCH_STRONGER_PCT;
}

int32_t
strength_claim_delay_ms(
    int32_t own, const strength_entry_t *others, size_t n, int64_t up_ms)
{
	int32_t stronger = 0;

	if (own < WEAK && up_ms < OTHERS_KNOWN_MS)
		return CLAIM_DELAY_ENTRIES * CLAIM_DELAY_MS;
	for (size_t i = 0; i < n; i++)
		stronger += is_much_stronger(others[i].strength, own);
	return MIN(stronger, CLAIM_DELAY_ENTRIES) * CLAIM_DELAY_MS;
}

/*
 * The entry that started last, among those about as strong as the strongest known
 * one: when entries are restarted in turn, it will be the last to restart again.
 */
const strength_entry_t *
strength_successor(int32_t own, const strength_entry_t *others, size_t n)
{
	const strength_entry_t *last = NULL;
	int32_t strongest = own;

	for (size_t i = 0; i < n; i++)
		strongest = MAX(strongest, others[i].strength);
	for (size_t i = 0; i < n; i++)
		if (!is_much_stronger(strongest, others[i].strength) &&
		    others[i].incarnation >
			(last == NULL ? 0 : last->incarnation))
			last = &others[i];
	return last;
}
