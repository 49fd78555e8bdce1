/*
 * Faults around a change of the owner: entries that leave gracefully, alone or
 * one after another; polls of workers that get no answer, are carried out late or
 * fail at once; workers whose answers don't arrive or overtake each other; claims
 * in doubt, several in a row; and late answers to reads of the store.  Their
 * random numbers are their own, so that schedules without them stay as they are.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define FAULT_GAP_MIN_MS 100 /* between two faults */
#define FAULT_GAP_MAX_MS 2500
#define FAULT_MIN_MS	 100 /* that a fault lasts */
#define FAULT_MAX_MS	 6000
#define SERIES_GAP_MS	 500 /* between two entries that leave, at most */
/* After a share of the faults the owner leaves, within this time. */
#define OWNER_LEAVES_SHARE 0.5
#define OWNER_LEAVES_MS	   1500
/* An owner is cut from the store for so long that another claims the cell. */
#define RETURN_MIN_MS 1300
#define RETURN_MAX_MS 3000
#define AWAY_MAX_MS   2500 /* from the end of a process to the next */
/* A process serves on after its release, while it leaves the balancer. */
#define LINGER_MAX_MS	   2600
#define ANSWER_MAX_MS	   600	/* delay of a worker's answer */
#define LATE_READ_MS	   1400 /* of the store: below the timeout */
#define LATE_OWNER_READ_MS 850	/* the same, of the owner row */
#define SERIES_OF_LOSSES   4	/* every so many seeds: claims lost in a row */

typedef enum {
	ENTRY_LEAVES,
	ENTRIES_LEAVE_IN_SERIES,
	POLLS_UNANSWERED,
	POLLS_LATE,
	POLLS_FAIL,
	ANSWERS_CUT,
	ANSWERS_OVERTAKE,
	READS_LATE, /* from here on: of the store */
	CLAIMS_IN_DOUBT,
	OWNER_RETURNS,
	NFAULTS
} handover_fault_t;

bool
handover_chance(world_t *w, double p)
{
	if (w->fixed_choices)
		return p >= 1;
	return p > 0 && w->handover_rand != NULL &&
	    g_rand_double(w->handover_rand) < p;
}

int32_t
handover_random_int(world_t *w, int32_t from, int32_t to)
{
	if (w->fixed_choices)
		return world_fixed_choice(w, from, to);
	return from >= to ? from :
			    g_rand_int_range(w->handover_rand, from, to + 1);
}

static void
on_boot(world_t *w, void *arg)
{
	entry_boot(w, arg);
}

/* As on SIGTERM; the entry's ticks continue it. */
void
handover_leave(
    world_t *w, sim_entry_t *en, const sim_entry_t *heir, int32_t linger_ms)
{
	en->leaving = true;
	en->leaves_after_ms = w->now_ms + linger_ms;
	if (heir != NULL && heir->up && heir != en && !heir->leaving)
		sched_set_successor(en->sched, heir->name);
}

static void
leave_to(world_t *w, sim_entry_t *en, const sim_entry_t *heir)
{
	if (!en->up || en->leaving)
		return;
	handover_leave(w, en, heir,
	    handover_chance(w, 0.5) ? 0 :
				      handover_random_int(w, 0, LINGER_MAX_MS));
}

static void
on_leave(world_t *w, void *arg)
{
	leave_to(
	    w, arg, &w->entries[handover_random_int(w, 0, w->nentries - 1)]);
}

void
handover_entry_left(world_t *w, sim_entry_t *en)
{
	entry_kill(en);
	world_schedule(w, handover_random_int(w, 50, AWAY_MAX_MS), on_boot, en);
}

static sim_entry_t *
find_owner(world_t *w)
{
	for (int32_t i = 0; i < w->nentries; i++)
		if (w->entries[i].up && sched_is_owner(w->entries[i].sched))
			return &w->entries[i];
	return NULL;
}

static void
on_owner_leaves(world_t *w, void *arg)
{
	sim_entry_t *owner = find_owner(w);

	(void)arg;
	if (owner != NULL)
		on_leave(w, owner);
}

/* The entry reaches the store again; an owner of that time leaves the cell to it. */
static void
on_owner_returns(world_t *w, void *arg)
{
	sim_entry_t *en = arg, *owner = find_owner(w);

	en->store_cut = false;
	if (owner != NULL && owner != en)
		leave_to(w, owner, en);
}

/* The owner loses the cell, as it is cut from the store, and is to get it back. */
static void
owner_returns(world_t *w)
{
	sim_entry_t *owner = find_owner(w);

	if (owner == NULL)
		return;
	owner->store_cut = true;
	w->late_read_share = 0.5;
	world_schedule(w, handover_random_int(w, RETURN_MIN_MS, RETURN_MAX_MS),
	    on_owner_returns, owner);
}

static void
leave_in_series(world_t *w)
{
	int32_t first = handover_random_int(w, 0, w->nentries - 1), ms = 0;

	for (int32_t i = 0; i < w->nentries; i++) {
		world_schedule(
		    w, ms, on_leave, &w->entries[(first + i) % w->nentries]);
		ms += handover_random_int(w, 20, SERIES_GAP_MS);
	}
}

static void
on_worker_recovers(world_t *w, void *arg)
{
	sim_worker_t *wk = arg;

	(void)w;
	wk->polls = (poll_faults_t){ 0 };
}

static void
on_store_recovers(world_t *w, void *arg)
{
	(void)arg;
	w->late_read_share = 0;
	w->lost_write_share = 0;
}

static void
worker_fault(world_t *w, sim_worker_t *wk, handover_fault_t kind)
{
	poll_faults_t *f = &wk->polls;
	bool all = handover_chance(w, 0.5);
	int32_t one = handover_random_int(w, 0, w->nentries - 1);

	if (kind == POLLS_UNANSWERED)
		f->unanswered_share = 0.5;
	else if (kind == POLLS_LATE)
		f->late_share = 0.5;
	else if (kind == POLLS_FAIL)
		f->failed_share = handover_chance(w, 0.5) ? 1 : 0.5;
	else if (kind == ANSWERS_OVERTAKE)
		f->answer_delay_ms = ANSWER_MAX_MS;
	else /* ANSWERS_CUT */
		for (int32_t i = 0; i < w->nentries; i++)
			f->answers_cut[i] = all || i == one;
}

/* Some workers have the same fault at the same time. */
static void
worker_faults(world_t *w, handover_fault_t kind, int32_t ms)
{
	double share = handover_chance(w, 0.5) ? 0.2 : 0.7;

	for (int32_t i = 0; i < w->nworkers; i++) {
		if (!handover_chance(w, share))
			continue;
		worker_fault(w, &w->workers[i], kind);
		world_schedule(w, ms, on_worker_recovers, &w->workers[i]);
	}
}

static void
store_fault(world_t *w, handover_fault_t kind, int32_t ms)
{
	if (kind == READS_LATE)
		w->late_read_share = 0.5;
	else if (kind == CLAIMS_IN_DOUBT)
		w->lost_write_share =
		    w->seed % SERIES_OF_LOSSES == 0 ? 0.7 : 0.35;
	else /* OWNER_RETURNS */
		owner_returns(w);
	w->lost_writes_apply_late = handover_chance(w, 0.5);
	world_schedule(w, ms, on_store_recovers, NULL);
}

static void
on_fault(world_t *w, void *arg)
{
	handover_fault_t kind =
	    (handover_fault_t)handover_random_int(w, ENTRY_LEAVES, NFAULTS - 1);
	int32_t ms = handover_random_int(w, FAULT_MIN_MS, FAULT_MAX_MS);

	(void)arg;
	if (w->now_ms >= w->handover_end_ms)
		return;
	if (kind == ENTRY_LEAVES)
		on_leave(
		    w, &w->entries[handover_random_int(w, 0, w->nentries - 1)]);
	else if (kind == ENTRIES_LEAVE_IN_SERIES)
		leave_in_series(w);
	else if (kind >= READS_LATE)
		store_fault(w, kind, ms);
	else
		worker_faults(w, kind, ms);
	if (handover_chance(w, OWNER_LEAVES_SHARE))
		world_schedule(w, handover_random_int(w, 0, OWNER_LEAVES_MS),
		    on_owner_leaves, NULL);
	world_schedule(w,
	    handover_random_int(w, FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS),
	    on_fault, NULL);
}

void
handover_owner_leaves(world_t *w)
{
	on_owner_leaves(w, NULL);
}

void
handover_init(world_t *w)
{
	w->handover_rand = g_rand_new_with_seed((guint32)w->seed ^ 0x5bd1e995);
}

void
handover_begin(world_t *w, int64_t end_ms)
{
	handover_init(w);
	w->handover_end_ms = end_ms;
	world_schedule(w, handover_random_int(w, 2000, 3000), on_fault, NULL);
}

void
handover_free(world_t *w)
{
	if (w->handover_rand != NULL)
		g_rand_free(w->handover_rand);
}

int32_t
handover_read_delay_ms(world_t *w, bool owner_row)
{
	return handover_chance(w, w->late_read_share) ?
	    handover_random_int(
		w, 0, owner_row ? LATE_OWNER_READ_MS : LATE_READ_MS) :
	    0;
}
