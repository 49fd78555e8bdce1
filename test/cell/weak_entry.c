/*
 * Schedules in which all entries but the first are too weak for the cell: they get
 * most answers of the workers late.  They are late to claim it, and know of the first,
 * whether it is up or not.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define STRENGTH	2000
#define WEAK_STRENGTH	200
#define CLAIM_DELAY_MS	150
#define LOST_POLL_SHARE 0.8 /* of the polls of a weak entry */
#define LATE_MAX_MS	3000

void
weak_entries_begin(world_t *w)
{
	w->weak_rand = g_rand_new_with_seed((guint32)w->seed ^ 0x3c6ef372);
	for (int32_t i = 0; i < w->nentries; i++)
		weak_entry_booted(w, &w->entries[i]);
}

void
weak_entries_free(world_t *w)
{
	if (w->weak_rand != NULL)
		g_rand_free(w->weak_rand);
}

void
weak_entry_booted(world_t *w, sim_entry_t *en)
{
	bool strong = en->index == 0;

	if (w->weak_rand == NULL)
		return;
	sched_set_claim_delay(en->sched, strong ? 0 : CLAIM_DELAY_MS);
	sched_set_strongest_entry(en->sched, strong ? STRENGTH : WEAK_STRENGTH,
	    w->entries[!strong ? 0 : 1].name,
	    strong ? WEAK_STRENGTH : STRENGTH);
}

bool
weak_entry_loses_poll(world_t *w, const sim_entry_t *en)
{
	return w->weak_rand != NULL && en->index > 0 &&
	    g_rand_double(w->weak_rand) < LOST_POLL_SHARE;
}

int32_t
weak_entry_late_ms(world_t *w)
{
	return 1 + g_rand_int_range(w->weak_rand, 0, LATE_MAX_MS);
}
