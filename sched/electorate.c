/*
 * Which entries judge whether an outage of the store is one for all, and when a new
 * owner knows that no earlier owner takes it for one.
 *
 * An owner goes on without renewals while three quarters of the others that it knows
 * say that the store is silent, and that they know of no later owner (serve/outage.c).
 * A new owner tells all entries of itself.  Once more than a quarter of those by which
 * an earlier owner judges know of it, that one has too few left.  Both must count the
 * same entries: the owner row names them before the owner may use an outage.
 *
 * A new owner that reaches fewer waits for as long as any owner may use an outage: then
 * for the end of leases, as after any takeover.
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

#define CLOCKS_PCT 4 /* two clocks may differ so much, each off by 2 % */
/* Owners look every 150 ms; a process that is late at that must look first. */
#define JUDGED_VALID_MS 300
/*
 * After an entry knows of a later owner, its last report of the store counts for
 * 600 ms (serve/outage.c), what is seen by that for JUDGED_VALID_MS; the rest is for
 * the report's way.
 */
#define REPORTS_END_MS 1000

void
electorate_init(electorate_t *e)
{
	e->entries = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	e->earlier = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
electorate_clear(electorate_t *e)
{
	g_array_unref(e->entries);
	g_array_unref(e->earlier);
}

static void
set_list(GArray *list, const uint32_t *entries, size_t n)
{
	g_array_set_size(list, 0);
	if (n > 0)
		g_array_append_vals(list, entries, (guint)n);
}

static bool
same_list(const GArray *a, const GArray *b)
{
	return a->len == b->len &&
	    (a->len == 0 ||
		memcmp(a->data, b->data, a->len * sizeof(uint32_t)) == 0);
}

void
sched_set_entries(sched_t *s, const uint32_t *entries, size_t n)
{
	electorate_t *e = &s->electorate;
	g_autoptr(GArray) before = g_array_copy(e->entries);

	set_list(e->entries, entries, n);
	if (!same_list(before, e->entries))
		e->named_sent = e->named_stored = false;
}

void
sched_set_all_silent(sched_t *s, bool all_silent)
{
	s->electorate.all_silent = all_silent;
}

int64_t
sched_newest_epoch(const sched_t *s)
{
	const cell_t *c = &s->cell;

	if (c->state == CELL_LOADING || c->state == CELL_OWNED)
		return c->epoch;
	if (!c->row_read)
		return -1;
	if (c->row == NULL)
		return 0;
	/* Of a row that can't be read the epoch is not known. */
	return c->row->name[0] == '\0' ? -1 : c->row->epoch;
}

/* The cell is being claimed from the owner of the row that was read last. */
void
electorate_claim(sched_t *s)
{
	electorate_t *e = &s->electorate;
	const cell_t *c = &s->cell;

	e->earlier_left =
	    e->entries->len > 0 && c->had_predecessor && !c->leases_released;
	e->named_sent = e->named_stored = false;
	if (c->row != NULL)
		set_list(e->earlier, c->row->entries, c->row->n_entries);
}

/* Whether an owner before this one may be in an outage for all. */
static bool
earlier_may_extend(const sched_t *s)
{
	return s->electorate.earlier_left && !s->cell.workers_accounted;
}

/* Names the electorate in the owner row, which borrows it. */
void
electorate_pack(sched_t *s, Sched__Owner *o)
{
	electorate_t *e = &s->electorate;
	const GArray *list = earlier_may_extend(s) ? e->earlier : e->entries;

	e->named_sent = same_list(list, e->entries);
	o->entries = (uint32_t *)list->data;
	o->n_entries = list->len;
}

/* The owner row that was sent last is stored. */
void
electorate_stored(sched_t *s)
{
	s->electorate.named_stored = s->electorate.named_sent;
}

const uint32_t *
sched_earlier_electorate(const sched_t *s, size_t *n)
{
	const electorate_t *e = &s->electorate;
	bool claimed =
	    s->cell.state == CELL_LOADING || s->cell.state == CELL_OWNED;
	/* The row of an older build names none: it judges by all. */
	const GArray *list = e->earlier->len > 0 ? e->earlier : e->entries;

	if (!claimed || !earlier_may_extend(s))
		return NULL;
	*n = list->len;
	return (const uint32_t *)list->data;
}

/*
 * The cell is loaded.  Without an outage, earlier owners extend leases until
 * extended_ms from now at the latest.  Returns how long these may last.
 */
int64_t
electorate_loaded(sched_t *s, int64_t extended_ms)
{
	electorate_t *e = &s->electorate;

	e->extended_until_ms = s->now_ms + extended_ms;
	if (e->earlier_left)
		extended_ms = OUTAGE_LIMIT_MS +
		    (int64_t)OUTAGE_LIMIT_MS * CLOCKS_PCT / 100;
	return lease_taken_over(s, s->cell.had_predecessor, extended_ms);
}

void
sched_earlier_owners_end(sched_t *s, int64_t now_ms)
{
	electorate_t *e = &s->electorate;

	s->now_ms = now_ms;
	e->earlier_left = false;
	if (s->cell.state != CELL_OWNED)
		return;
	lease_earlier_owners_end(
	    s, MAX(e->extended_until_ms - now_ms, REPORTS_END_MS));
	LOG_EVENT(s, SCHED_EVT_EARLIER_OWNERS_END, "cell",
	    "token=%" PRId64 " old_leases_end_in=%" PRId64, s->cell.token,
	    s->cell.old_leases.ms - now_ms);
}

/*
 * Whether the owner may go on without renewals in an outage for all that was seen at
 * judged_ms: successors know by which entries, and wait for as long as this may be.
 */
bool
electorate_allows_outage(const sched_t *s, int64_t judged_ms)
{
	const electorate_t *e = &s->electorate;

	return s->now_ms - s->cell.confirmed_ms < OUTAGE_LIMIT_MS &&
	    (e->entries->len == 0 ||
		(e->named_stored && s->now_ms - judged_ms < JUDGED_VALID_MS));
}

/* Whether each worker that this cell's owners have used answers this one. */
static bool
all_workers_answer(const sched_t *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		if ((w->footprint_stored || w->used_before) &&
		    (!w->has_answered || w->missed_polls > 0))
			return false;
	}
	return true;
}

/*
 * Whether it may also start tasks then.  Beyond a split a later owner may cancel them,
 * or keep them running on workers that this one takes for lost; but with no worker
 * there it has no runs.
 */
bool
electorate_allows_starts(const sched_t *s)
{
	const electorate_t *e = &s->electorate;

	return e->entries->len == 0 || e->all_silent || all_workers_answer(s);
}
