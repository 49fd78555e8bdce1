/*
 * Schedules in which the network is split for a while, with the store, one entry and
 * half of the workers on one side.  Entries that the simulation does not run are on
 * the other: the owner there takes the outage of the store for one for all, as they
 * report it, and the entry beside the store claims the cell.  When the split ends,
 * that entry is known to the others before the owner looks again.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define OTHER_ENTRIES 8	  /* not run: reports of the store */
#define SEEN_AFTER_MS 900 /* an owner sees the outage after so long */
#define LATE_MS	      650 /* an owner sees its end so late */
#define FIRST_MS      3000
#define GAP_MAX_MS    4000
#define SPLIT_MIN_MS  4000
#define SPLIT_MAX_MS  14000

struct split {
	GRand *rand;
	bool on;
	int32_t beside_store; /* index of the entry */
	int64_t began_ms, known_ms;
	int64_t last_begin_ms;
};

static void
on_end(world_t *w, void *arg)
{
	split_t *sp = arg;

	(void)w;
	sp->on = false;
}

static void
on_begin(world_t *w, void *arg)
{
	split_t *sp = arg;
	int32_t ms = g_rand_int_range(sp->rand, SPLIT_MIN_MS, SPLIT_MAX_MS);

	if (w->now_ms >= sp->last_begin_ms)
		return;
	sp->on = true;
	sp->beside_store = g_rand_int_range(sp->rand, 0, w->nentries);
	sp->began_ms = w->now_ms;
	sp->known_ms = w->now_ms + ms - LATE_MS;
	world_schedule(w, ms, on_end, sp);
	world_schedule(
	    w, ms + g_rand_int_range(sp->rand, 100, GAP_MAX_MS), on_begin, sp);
}

void
split_begin(world_t *w, int64_t end_ms)
{
	split_t *sp = g_new0(split_t, 1);

	sp->last_begin_ms = end_ms;
	sp->rand = g_rand_new_with_seed((guint32)w->seed ^ 0x1f83d9ab);
	w->split = sp;
	for (int32_t i = 0; i < w->nentries; i++)
		split_entry_booted(w, &w->entries[i]);
	world_schedule(w, FIRST_MS, on_begin, sp);
}

void
split_free(world_t *w)
{
	if (w->split != NULL)
		g_rand_free(w->split->rand);
	g_free(w->split);
}

void
split_entry_booted(world_t *w, sim_entry_t *en)
{
	uint32_t ids[ENTRIES_MAX + OTHER_ENTRIES];

	for (uint32_t i = 0; i < ENTRIES_MAX + OTHER_ENTRIES; i++)
		ids[i] = i + 1;
	if (w->split != NULL)
		sched_set_entries(en->sched, ids, G_N_ELEMENTS(ids));
}

bool
split_cuts_store(const world_t *w, const sim_entry_t *en)
{
	return w->split != NULL && w->split->on &&
	    en->index != w->split->beside_store;
}

bool
split_cuts_worker(
    const world_t *w, const sim_entry_t *en, const sim_worker_t *wk)
{
	return w->split != NULL && w->split->on &&
	    (en->index == w->split->beside_store) != (wk->index % 2 == 0);
}

/* Whether an entry hears the reports of another. */
static bool
hears(const world_t *w, const sim_entry_t *en, const sim_entry_t *other)
{
	return other->up && !other->paused &&
	    split_cuts_store(w, en) == split_cuts_store(w, other);
}

bool
split_sees_outage(world_t *w, sim_entry_t *en, int64_t *last_ms)
{
	const split_t *sp = w->split;
	bool beyond = split_cuts_store(w, en), all = !sp->on, later = false;

	for (int32_t i = 0; i < w->nentries; i++) {
		const sim_entry_t *other = &w->entries[i];
		int64_t epoch;

		if (!hears(w, en, other)) {
			all = false;
			continue;
		}
		epoch = sched_newest_epoch(other->sched);
		all = all && epoch >= 0;
		later = later || epoch > sched_newest_epoch(en->sched);
	}
	if (beyond && !w->store_down)
		*last_ms = sp->began_ms;
	sched_set_all_silent(en->sched, w->store_down && all && !later);
	return !later &&
	    (w->store_down ||
		(beyond && w->now_ms - sp->began_ms >= SEEN_AFTER_MS));
}

void
split_tick(world_t *w, sim_entry_t *en)
{
	const split_t *sp = w->split;
	size_t n;

	if (sp == NULL || (sp->on && w->now_ms < sp->known_ms) ||
	    sched_earlier_electorate(en->sched, &n) == NULL)
		return;
	sched_earlier_owners_end(en->sched, w->now_ms);
}
