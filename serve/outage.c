/*
 * Outages of the store; see outage.h.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "outage.h"

#define REPORT_VALID_MS 600 /* four are sent in it, so three may be lost */
/* Of the others: one may be down, or cut off from this entry. */
#define QUORUM_PCT 75
/*
 * An entry claims the cell after 1,200 ms of reads, at most 1,500 ms apart, that
 * show its owner silent.
 */
#define CLAIM_SPAN_MS 1000
#define READ_GAP_MS   1500

/* Another entry was answered by the store. */
static void
note_served(outage_t *o, int64_t answered_ms)
{
	if (answered_ms - o->served_to_ms > READ_GAP_MS)
		o->served_from_ms = answered_ms;
	o->served_to_ms = MAX(o->served_to_ms, answered_ms);
}

bool
outage_update(outage_t *o, const outage_report_t *reports, size_t n,
    int64_t now_ms, int64_t *last_ms)
{
	size_t silent = 0;
	bool served = false;

	*last_ms = 0;
	for (size_t i = 0; i < n; i++) {
		const outage_report_t *r = &reports[i];

		if (r->heard_ms == 0 || now_ms - r->heard_ms >= REPORT_VALID_MS)
			continue;
		*last_ms = MAX(*last_ms, r->answered_ms);
		/* A process that the store has told of no owner may have
		 * known of a later one before it was started again. */
		silent += !r->served && r->epoch >= 0;
		served = served || r->served;
		if (r->served)
			note_served(o, r->answered_ms);
	}
	/* A single answer during an outage does not end it. */
	served = o->on ? o->served_to_ms - o->served_from_ms >= CLAIM_SPAN_MS :
			 served;
	o->on = o->asked && n > 0 && silent * 100 >= n * QUORUM_PCT &&
	    !served && !o->deposed;
	o->all_silent = o->on && silent == n;
	o->asked = true;
	return o->on;
}

/*
 * One of the followers may be the owner itself: then it knows of a later one.  Else
 * all of them are others by which it judges.
 */
bool
outage_excluded(const uint32_t *entries, size_t n, const uint32_t *followers,
    size_t nfollowers)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		for (size_t k = 0; k < nfollowers; k++)
			if (entries[i] == followers[k]) {
				count++;
				break;
			}
	return count + 1 >= n || (n - 1 - count) * 100 < (n - 1) * QUORUM_PCT;
}
