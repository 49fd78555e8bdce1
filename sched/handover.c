/*
 * Hand-over of the cell to a stronger entry.
 *
 * Pattern: an entry with a slow link or little processor time gets a cell that is
 * too large for it, as the claims of stronger ones failed.  The reports of the
 * workers come later than their polls time out, and the polls that are sent again
 * take more of the link.  So workers become silent and come back in turn, and few of
 * them can be used at any time.  Workers that are down, or in a data centre that is
 * lost, don't come back like that: they are away for longer, and then stay.  Then
 * another owner could do no better.
 *
 * An owner that has seen this for SHORT_MS releases the cell to the strongest entry
 * that it knows, if that is clearly stronger.  So a cell whose entries are all weak
 * stays where it is, and each hand-over goes to a stronger entry.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

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

#define CHECK_MS 250
/* Of too few answers; a new owner has polled all workers by then. */
#define SHORT_MS      3000
#define ANSWERING_PCT 50 /* of the workers or fewer are too few */
/* Of the workers or more came back meanwhile: they are up. */
#define RETURNS_PCT 10
/* After a longer time a worker that comes back, or the way to it, was down; unless
 * it is lost again so soon. */
#define RETURN_MS	 5000
#define STRONGER_PCT	 200
#define STORE_ANSWERS_MS 700 /* a renewal was confirmed so lately */
/* Between two hand-overs by a process, as the stronger entry did not keep it; and
 * after one by any entry whose successor did not claim the cell. */
#define AGAIN_MS 10000

/* Listed workers, and those of them that answer. */
typedef struct {
	int32_t workers, answering;
} count_t;

/*
 * Whether a worker answers: its last poll and order, and for so long that the store
 * no longer says when its lease ends.
 */
static bool
answers(const sched_t *s, const worker_t *w)
{
	return w->has_answered && w->missed_polls == 0 && w->footprint_stored &&
	    !lease_end_is_stored(w) && w->backoff_until_ms <= s->now_ms;
}

static count_t
count_workers(const sched_t *s)
{
	count_t n = { 0 };

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		n.workers += w->listed;
		n.answering += w->listed && answers(s, w);
	}
	return n;
}

/* Whether another entry is known that is clearly stronger. */
static bool
knows_stronger_entry(const handover_t *h)
{
	return h->strongest != NULL && h->strength > h->own_strength &&
	    (int64_t)h->strength * 100 >=
	    (int64_t)h->own_strength * STRONGER_PCT;
}

/* Whether a release would be stored at once, and is not under way. */
static bool
may_release(const sched_t *s)
{
	const cell_t *c = &s->cell;

	return !c->releasing && !c->paused && !c->store_outage &&
	    s->now_ms - c->confirmed_ms < STORE_ANSWERS_MS &&
	    s->now_ms >= s->handover.next_ms;
}

/* Begins the count of a shortage anew. */
static void
reset_count(sched_t *s)
{
	s->handover.short_ms = s->handover.returns = 0;
	s->handover.short_since_ms = s->now_ms;
}

static void
begin(sched_t *s, const count_t *n)
{
	handover_t *h = &s->handover;

	LOG_EVENT(s, SCHED_EVT_HANDOVER, "cell",
	    "successor=%s answering=%d workers=%d returns=%d strength=%d "
	    "successor_strength=%d workers_accounted=%d",
	    h->strongest, n->answering, n->workers, h->returns, h->own_strength,
	    h->strength, s->cell.workers_accounted);
	s->stats.handovers++;
	s->cell.successor = h->strongest;
	s->cell.releasing = true;
	h->next_ms = s->now_ms + AGAIN_MS;
	reset_count(s);
}

/*
 * Counts for how long too few workers have answered, and begins a hand-over if it
 * is due.  Time in which enough of them answer counts against it.
 */
void
handover_update(sched_t *s)
{
	handover_t *h = &s->handover;
	int32_t past_ms = (int32_t)MIN(s->now_ms - h->checked_ms, 2 * CHECK_MS);
	count_t n;

	if (past_ms < CHECK_MS)
		return;
	h->checked_ms = s->now_ms;
	if (h->epoch != s->cell.epoch || !knows_stronger_entry(h))
		reset_count(s);
	h->epoch = s->cell.epoch;
	if (!knows_stronger_entry(h))
		return;
	n = count_workers(s);
	if (n.answering * 100 > n.workers * ANSWERING_PCT)
		past_ms = -past_ms;
	h->short_ms = CLAMP(h->short_ms + past_ms, 0, SHORT_MS);
	if (h->short_ms == 0)
		reset_count(s);
	if (h->short_ms == SHORT_MS && n.workers > 0 &&
	    h->returns * 100 >= n.workers * RETURNS_PCT && may_release(s))
		begin(s, &n);
}

/* A row that releases the cell is stored: notes it like one that was read. */
void
handover_released(sched_t *s)
{
	g_autoptr(GByteArray) b = ownership_pack_row(s, true);

	if (s->cell.row != NULL)
		sched__owner__free_unpacked(s->cell.row, NULL);
	s->cell.row = sched__owner__unpack(NULL, b->len, b->data);
}

/*
 * A row was read after the one before; NULL: none.  If another entry had to claim the
 * cell than its successor, that may be down, though it is listed.
 */
void
handover_row_read(
    sched_t *s, const Sched__Owner *before, const Sched__Owner *row)
{
	if (before == NULL || !before->released || before->heir[0] == '\0' ||
	    row == NULL || row->released ||
	    strcmp(before->heir, row->name) == 0)
		return;
	s->handover.next_ms = MAX(s->handover.next_ms, s->now_ms + AGAIN_MS);
}

/* The process of a worker answers, which has missed polls since its last report. */
void
handover_worker_back(sched_t *s, worker_t *w)
{
	bool at_once = s->now_ms - w->reported_ms < RETURN_MS;

	s->handover.returns += at_once;
	w->back_ms = at_once ? 0 : s->now_ms;
}

/* A worker that answered its last poll has not answered the next one. */
void
handover_worker_missed(sched_t *s, worker_t *w)
{
	s->handover.returns += w->back_ms > s->handover.short_since_ms &&
	    s->now_ms - w->back_ms < RETURN_MS;
	w->back_ms = 0;
}

void
sched_set_strongest_entry(
    sched_t *s, int32_t own_strength, const char *name, int32_t strength)
{
	handover_t *h = &s->handover;

	h->own_strength = own_strength;
	h->strongest = name[0] == '\0' ? NULL : g_intern_string(name);
	h->strength = strength;
}
