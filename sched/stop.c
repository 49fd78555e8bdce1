/*
 * The cell in a graceful stop of its entry.
 *
 * An owner that is told to stop leaves the cell at once, if another entry is there to
 * take it and would have nothing to wait for.  Else it keeps the cell for as long as
 * its stop may take: a new owner has to hear all workers, and to wait for the leases of
 * those that are gone, before it starts a task of an earlier job again.  So where entries
 * are stopped in turn, no owner may get so far.  For the same reason an entry that stops
 * claims a cell that no other claims.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "sched.h"
#include "image_set.h"
#include "headroom.h"
#include "run_time.h"
#include "types.h"
#include "customer.h"
#include "internal.h"

/* By so much an entry that stops claims later: after the weakest of the others, and
 * a read of the owner row. */
#define CLAIM_DELAY_MS 800
#define TERM_MIN_MS \
	1500 /* for a claim, a load and a first answer of all workers */

/*
 * Whether a lasting task is on its way to a worker, or one may have left with its runs: a
 * successor would wait for its lease.
 */
static bool
is_changing(const worker_t *w)
{
	return w->nnominated > 0 ||
	    (w->missed_polls > 0 && g_hash_table_size(w->runs) > 0);
}

/* Whether no lasting task is down, and none is about to be. */
static bool
all_are_up(const sched_t *s)
{
	/* Those that are down are at the head of the queue. */
	GSequenceIter *head = g_sequence_get_begin_iter(s->ready_steps);

	if (!g_sequence_iter_is_end(head) &&
	    ((const step_t *)g_sequence_get(head))->ndown > 0)
		return false;
	for (guint i = 0; i < s->worker_list->len; i++)
		if (is_changing(g_ptr_array_index(s->worker_list, i)))
			return false;
	return true;
}

/* Whether an owner that stops is to release the cell now. */
static bool
must_release(const sched_t *s)
{
	const cell_t *c = &s->cell;

	if (s->now_ms >= c->release_by_ms)
		return true;
	return c->state == CELL_OWNED && c->successor != NULL &&
	    c->successor[0] != '\0' && c->workers_accounted && all_are_up(s);
}

bool
sched_begin_release(sched_t *s, int64_t now_ms)
{
	cell_t *c = &s->cell;

	s->now_ms = now_ms;
	c->stopping = true;
	if (c->state != CELL_FOLLOWING && !c->releasing)
		c->releasing = must_release(s);
	return c->state == CELL_FOLLOWING;
}

void
sched_set_release_by(sched_t *s, int64_t ms)
{
	s->cell.release_by_ms = ms;
}

/* Whether this entry may claim the cell: its stop, if one has begun, leaves it time. */
bool
stop_may_claim(const sched_t *s)
{
	const cell_t *c = &s->cell;

	return !c->stopping || s->now_ms + TERM_MIN_MS <= c->release_by_ms;
}

/* How much later than the strongest entry this one claims the cell. */
int64_t
stop_claim_delay_ms(const sched_t *s)
{
	return s->cell.claim_delay_ms + (s->cell.stopping ? CLAIM_DELAY_MS : 0);
}
