/*
 * Planned restarts of all entries of a simulated cell, in turn and over again, so that
 * often all are about to stop at the same time, and none owns the cell for long.  An
 * entry that stops serves its callers on for a while, as in serve/node.c.  Their random
 * numbers are their own.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define RAND_SALT	 0x726f6c6c
#define FROM_MS		 6000 /* the first stop */
#define ROUNDS_MIN	 2    /* restarts of each entry */
#define ROUNDS_MAX	 4
#define GAP_MAX_MS	 2000 /* between the first stops of two entries */
#define UP_MIN_MS	 300  /* from a start to the next stop */
#define UP_MAX_MS	 2500
#define UNREADY_MS	 2600 /* these as in serve/node.c */
#define STOP_DEADLINE_MS 5300
#define RELEASE_MS	 4300
#define GRACE_MS	 5900 /* from a stop to the next start */

struct restarts {
	GRand *rand;
	int32_t left[ENTRIES_MAX]; /* restarts of each entry */
};

static void on_stop(world_t *w, void *arg);

static int32_t
draw_int(world_t *w, int32_t from, int32_t to)
{
	return g_rand_int_range(w->restarts->rand, from, to + 1);
}

/* The entry that an entry which stops names: the one that started last and stays. */
static const sim_entry_t *
find_successor(const world_t *w, const sim_entry_t *own)
{
	const sim_entry_t *last = NULL;

	for (int32_t i = 0; i < w->nentries; i++) {
		const sim_entry_t *en = &w->entries[i];

		if (en != own && en->up && !en->leaving &&
		    (last == NULL || en->incarnation > last->incarnation))
			last = en;
	}
	return last;
}

void
restarts_set_successor(world_t *w, sim_entry_t *en)
{
	const sim_entry_t *next = find_successor(w, en);

	if (w->restarts != NULL)
		sched_set_successor(en->sched, next == NULL ? "" : next->name);
}

static void
on_start(world_t *w, void *arg)
{
	sim_entry_t *en = arg;

	/* The grace period is over. */
	entry_kill(en);
	entry_boot(w, en);
	if (--w->restarts->left[en->index] > 0)
		world_schedule(
		    w, draw_int(w, UP_MIN_MS, UP_MAX_MS), on_stop, en);
}

static void
on_stop(world_t *w, void *arg)
{
	sim_entry_t *en = arg;

	handover_leave(w, en, NULL, UNREADY_MS);
	en->leave_deadline_ms = w->now_ms + STOP_DEADLINE_MS;
	restarts_set_successor(w, en);
	sched_set_release_by(en->sched, w->now_ms + RELEASE_MS);
	world_schedule(w, GRACE_MS, on_start, en);
}

bool
restarts_entry_left(world_t *w, sim_entry_t *en)
{
	if (w->restarts == NULL)
		return false;
	entry_kill(en);
	return true;
}

void
restarts_begin(world_t *w)
{
	int32_t ms = FROM_MS - (int32_t)w->now_ms;

	w->restarts = g_new0(restarts_t, 1);
	w->restarts->rand = g_rand_new_with_seed((guint32)w->seed ^ RAND_SALT);
	for (int32_t i = 0; i < w->nentries; i++) {
		w->restarts->left[i] = draw_int(w, ROUNDS_MIN, ROUNDS_MAX);
		world_schedule(w, ms, on_stop, &w->entries[i]);
		ms += draw_int(w, 0, GAP_MAX_MS);
	}
}

void
restarts_free(world_t *w)
{
	if (w->restarts == NULL)
		return;
	g_rand_free(w->restarts->rand);
	g_free(w->restarts);
}
