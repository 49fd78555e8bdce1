/*
 * Ownership of the cell.  The owner's row in the store decides: it is claimed
 * by a conditional write once it has been seen unchanged for a while, and the
 * row's version is the fencing token of every order.
 *
 * An owner that the store has not confirmed for a while orders no new starts,
 * as a successor may know nothing of them, and a little later extends no
 * leases; a successor leaves alone what could still run on a worker that it
 * cannot ask.  While the store is away for all entries the owner goes on.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define SILENT_MS	1200 /* three renewals missed */
#define HEIR_MS		700  /* an heir has read the row by then, if it lives */
#define READ_GAP_MS	1500 /* reads further apart say nothing of silence */
#define START_MS	1150 /* no starts this long after the last confirmation */
#define FRESH_MS	2000 /* cancels and leaving workers count within 2 s */
#define EXTEND_MS	2200 /* nor leases, unless all entries miss the store */
#define CLOCK_MARGIN_MS 600  /* the store may answer so late */
#define LEASE_MAX_MS	4300 /* a lease, its drift and its margin */

static bool
row_is_ours(const sched_t *s, const Sched__Owner *o)
{
	return o != NULL && strcmp(o->name, s->o.name) == 0 &&
	    o->incarnation == s->o.incarnation && !o->released;
}

/* How many jobs wait, by queue. */
static Sched__Waiting **
pack_waiting(const sched_t *s, size_t *n)
{
	Sched__Waiting **list =
	    g_new0(Sched__Waiting *, g_hash_table_size(s->queues) + 1);
	GHashTableIter it;
	void *v;

	*n = 0;
	g_hash_table_iter_init(&it, s->queues);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const queue_t *q = v;

		if (q->waiting == 0)
			continue;
		list[*n] = g_new(Sched__Waiting, 1);
		sched__waiting__init(list[*n]);
		list[*n]->queue = (char *)q->name;
		list[(*n)++]->jobs = q->waiting;
	}
	return list;
}

GByteArray *
cell_pack_owner(sched_t *s, bool released)
{
	Sched__Owner o = SCHED__OWNER__INIT;
	GByteArray *b = g_byte_array_new();
	g_autofree Sched__Waiting **waiting = NULL;

	s->cell.release_sent = released;
	o.name = (char *)s->o.name;
	o.incarnation = s->o.incarnation;
	o.epoch = s->cell.epoch;
	o.beat = s->cell.beat;
	o.released = released;
	if (released && s->cell.heir != NULL)
		o.heir = (char *)s->cell.heir;
	/* Before the jobs are read, what the last owner told still holds. */
	if (s->cell.state != CELL_OWNED && s->cell.row != NULL) {
		o.waiting = s->cell.row->waiting;
		o.n_waiting = s->cell.row->n_waiting;
	} else
		waiting = o.waiting = pack_waiting(s, &o.n_waiting);
	g_byte_array_set_size(b, (guint)sched__owner__get_packed_size(&o));
	sched__owner__pack(&o, b->data);
	for (size_t i = 0; waiting != NULL && i < o.n_waiting; i++)
		g_free(waiting[i]);
	return b;
}

/* Forgets what only the owner knows. */
static void
forget(sched_t *s)
{
	g_ptr_array_set_size(s->flushing, 0);
	g_hash_table_remove_all(s->dirty);
	for (guint i = 0; i < s->worker_list->len; i++) {
		vm_t *w = g_ptr_array_index(s->worker_list, i);

		g_hash_table_remove_all(w->runs);
		w->used_cpu = w->used_mem = w->filler_cpu = w->serving_cpu = 0;
		w->used_gpu = w->serving = 0;
		memset(w->image_serving, 0, sizeof(w->image_serving));
		memset(w->image_filler_cpu, 0, sizeof(w->image_filler_cpu));
		w->stored = w->answered = w->silent = false;
		w->store_flush = w->flush_want = 0;
		w->seen = w->noted = 0;
		w->ends_ms = 0;
		w->misses = 0;
		w->look_id = 0;
		w->pace = 100;
		w->fails = 0;
		/* Earlier owners may have granted leases up to now. */
		w->lease.sent_ms = s->now;
		w->lease.until_ms = 0;
		vm_lease_unknown(s, w);
	}
	g_hash_table_remove_all(s->runs);
	g_hash_table_remove_all(s->jobs);
	g_hash_table_remove_all(s->progress);
	g_hash_table_remove_all(s->ended);
}

void
cell_lost(sched_t *s, const char *why)
{
	if (s->cell.state == CELL_FOLLOWING)
		return;
	if (s->cell.state == CELL_OWNED)
		s->stats.deposed++;
	LOG(s, SCHED_EVT_DEPOSED, "cell",
	    "why=\"%s\" token=%" PRId64 " confirmed_age=%" PRId64, why,
	    s->cell.token, s->now - s->cell.confirmed_ms);
	s->cell.state = CELL_FOLLOWING;
	s->cell.changed_ms = s->now;
	s->cell.lost = true;
}

static void
adopt_claim(sched_t *s, int64_t version)
{
	s->cell.state = CELL_LOADING;
	s->cell.version = s->cell.token = version;
	s->cell.confirmed_ms = s->cell.sent_ms;
	LOG(s, SCHED_EVT_CLAIM, "cell", "token=%" PRId64 " epoch=%" PRId64,
	    version, s->cell.epoch);
	forget(s);
	s->o.port.load(s->o.ctx);
}

/* Takes in the owner's row as read. */
void
cell_row(sched_t *s, const sched_row_t *row)
{
	cell_t *c = &s->cell;
	Sched__Owner *o = NULL;

	if (row->bytes != NULL)
		o = sched__owner__unpack(NULL, row->nbytes, row->bytes);
	if (!c->read || s->now - c->read_ms > READ_GAP_MS ||
	    row->version != c->version)
		c->changed_ms = s->now;
	c->read = true;
	c->read_ms = s->now;
	if (row->version < c->version) {
		/* An answer that was overtaken. */
		sched__owner__free_unpacked(o, NULL);
		return;
	}
	if (c->row != NULL)
		sched__owner__free_unpacked(c->row, NULL);
	c->row = o;
	c->version = row->version;
	if (c->state == CELL_OWNED || c->state == CELL_LOADING) {
		if (!row_is_ours(s, o))
			cell_lost(s, "another owner's row was read");
		else
			c->paused = false;
		return;
	}
	if (c->state == CELL_FOLLOWING && !c->lost && row_is_ours(s, o)) {
		/* Our claim went through, though its answer was lost. */
		c->epoch = o->epoch;
		adopt_claim(s, row->version);
	}
}

void
cell_claimed(sched_t *s, sched_write_result_t r, int64_t version)
{
	if (s->cell.state != CELL_CLAIMING)
		return;
	s->cell.state = CELL_FOLLOWING;
	s->cell.changed_ms = s->now;
	if (r != SCHED_WRITE_OK)
		return;
	s->stats.claims++;
	adopt_claim(s, version);
}

void
cell_loaded(sched_t *s)
{
	cell_t *c = &s->cell;

	if (c->state != CELL_LOADING)
		return;
	c->state = CELL_OWNED;
	c->owned_ms = s->now;
	c->accounted = false;
	c->settled_ms = s->now;
	if (c->had_owner)
		c->settled_ms +=
		    LEASE_MAX_MS + (c->clean ? 0 : EXTEND_MS - SILENT_MS);
	LOG(s, SCHED_EVT_OWNED, "cell",
	    "token=%" PRId64 " jobs=%u workers=%u settled_in=%" PRId64,
	    c->token, g_hash_table_size(s->jobs), s->worker_list->len,
	    c->settled_ms - s->now);
}

static void
claim(sched_t *s, const char *why)
{
	cell_t *c = &s->cell;
	GByteArray *b;

	c->had_owner = c->row != NULL;
	c->clean = c->row != NULL && c->row->released;
	c->epoch = c->row == NULL ? 1 : c->row->epoch + 1;
	c->beat = 0;
	c->state = CELL_CLAIMING;
	c->sent_ms = s->now;
	c->lost = false;
	LOG(s, SCHED_EVT_OWNER_SILENT, "cell",
	    "why=\"%s\" version=%" PRId64 " silent=%" PRId64, why, c->version,
	    s->now - c->changed_ms);
	b = cell_pack_owner(s, false);
	s->o.port.claim(s->o.ctx, c->version, b);
	g_byte_array_unref(b);
}

/* Nothing of earlier owners can run on a worker any more. */
static bool
ended(const sched_t *s, const vm_t *w)
{
	return w->ends_ms != 0 &&
	    s->now + s->store_off_ms > w->ends_ms + CLOCK_MARGIN_MS;
}

/*
 * Every worker that earlier owners used has answered, been replaced, or had
 * been given up by them and is free of them now.
 */
static bool
all_answered(const sched_t *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		const vm_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->stored && !w->answered && !ended(s, w))
			return false;
	}
	return true;
}

/* A cell that was released is left to its heir for a while. */
static bool
may_inherit(const sched_t *s)
{
	const char *heir = s->cell.row->heir;

	return heir[0] == '\0' || strcmp(heir, s->o.name) == 0 ||
	    s->now - s->cell.changed_ms >= HEIR_MS;
}

void
cell_tick(sched_t *s)
{
	cell_t *c = &s->cell;

	if (c->lost) {
		c->lost = false;
		forget(s);
	}
	if (c->state == CELL_OWNED && !c->accounted &&
	    (s->now >= c->settled_ms || all_answered(s))) {
		c->accounted = true;
		s->pump = true;
	}
	if (c->state != CELL_FOLLOWING || c->releasing || !c->read ||
	    s->now - c->read_ms > READ_GAP_MS)
		return;
	if (c->row != NULL && !c->row->released &&
	    strcmp(c->row->name, s->o.name) == 0)
		claim(s, "an earlier process of this name owned it");
	if (c->state != CELL_FOLLOWING ||
	    s->now - c->changed_ms < c->handicap_ms)
		return;
	if (c->row == NULL)
		claim(s, "nobody owns it");
	else if (c->row->released) {
		if (may_inherit(s))
			claim(s, "its owner released it");
	} else if (c->read_ms - c->changed_ms >= SILENT_MS + c->handicap_ms)
		claim(s, "its owner is silent");
}

/*
 * The owner may go on without the store if nobody else had it for long enough
 * since to see the claim unrenewed.
 */
void
cell_outage(sched_t *s, bool for_all, int64_t last_ms)
{
	cell_t *c = &s->cell;
	bool on = for_all && c->state == CELL_OWNED &&
	    (c->outage || last_ms - c->confirmed_ms < START_MS);

	if (c->outage != on)
		LOG(s, SCHED_EVT_SELF_FENCE, "cell",
		    "store_away_for_all=%d last_answer=%" PRId64
		    " confirmed_age=%" PRId64,
		    on, s->now - last_ms, s->now - c->confirmed_ms);
	c->outage = on;
}

/* What is decided on is known up to now. */
static bool
fed(const sched_t *s)
{
	for (int32_t i = 0; i < SCHED_NFEEDS; i++)
		if (s->now - s->fed_ms[i] > FRESH_MS)
			return false;
	return true;
}

/*
 * Starts may be ordered.  While the store is away for all, nobody can claim
 * the cell, and nothing can be cancelled or taken out of service either.
 */
bool
cell_acts(const sched_t *s)
{
	const cell_t *c = &s->cell;

	if (c->state != CELL_OWNED || c->paused || c->releasing)
		return false;
	return c->outage || (s->now - c->confirmed_ms < START_MS && fed(s));
}

/* Leases may be extended. */
bool
cell_extends(const sched_t *s)
{
	const cell_t *c = &s->cell;

	return c->state == CELL_OWNED && !c->paused &&
	    (c->outage || s->now - c->confirmed_ms < EXTEND_MS);
}

/* False while a task of the job may still run unseen. */
bool
cell_may_start(sched_t *s, const job_t *j)
{
	return s->cell.accounted || j->after_claim;
}
