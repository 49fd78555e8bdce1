/*
 * Writing of progress: what has changed goes to the store in one transaction
 * at a time, which also renews the owner's claim.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define ROWS_MAX 90 /* of a transaction: the store takes 100 */
/* Rows of the footprint: with 29,000 workers each stays below 64 KiB. */
#define FOOTPRINT_ROWS	  64
#define FOOTPRINT_AT_ONCE 16  /* in a transaction: the store takes 1 MB */
#define GAP_MS		  25  /* between transactions, to write more in each */
#define RENEW_MS	  400 /* without one the claim is renewed */

static void
put(GArray *puts, char *key, GByteArray *bytes)
{
	sched_put_t p = { key, bytes };

	g_array_append_val(puts, p);
}

static void
put_clear(void *p)
{
	sched_put_t *u = p;

	g_free(u->key);
	if (u->bytes != NULL)
		g_byte_array_unref(u->bytes);
}

void
flush_job(sched_t *s, job_t *j, bool urgent)
{
	j->dirty = true;
	g_hash_table_add(s->dirty, j);
	s->urgent = s->urgent || urgent;
}

/* The ends that a worker listed may be forgotten once they are stored. */
void
flush_worker(sched_t *s, vm_t *w)
{
	if (w->seen == w->noted || w->flush_want != 0)
		return;
	if (g_hash_table_size(s->dirty) == 0 && !s->writing) {
		w->noted = w->seen;
		return;
	}
	w->flush_want = s->flush + 1;
	w->flush_seen = w->seen;
}

static void
put_job(sched_t *s, GArray *puts, job_t *j)
{
	if (j->stage == JOB_OPEN) {
		put(puts, g_strconcat(j->id, SCHED_KEY_PROGRESS, NULL),
		    job_pack_progress(j));
		return;
	}
	put(puts, g_strconcat(j->id, SCHED_KEY_PROGRESS, NULL),
	    job_pack_end(j, s->wall));
}

/* A worker is used from when it is in the footprint, until nothing is there. */
static bool
in_footprint(const sched_t *s, const vm_t *w)
{
	return w->listed || g_hash_table_size(w->runs) > 0 ||
	    (w->stored && (!s->cell.accounted || !vm_lapsed(s, w)));
}

/* When a worker that is not extended any more is free of us; 0: extended. */
static int64_t
ends_ms(const sched_t *s, const vm_t *w)
{
	if (w->misses == 0 || w->lease.sent_ms == 0)
		return 0;
	if (!w->answered)
		return w->ends_ms; /* as an earlier owner told */
	return w->ends_ms != 0 ? w->ends_ms : vm_lease_end(w) + s->store_off_ms;
}

/* The row of the footprint that a worker is told of in. */
static int32_t
footprint_row(const vm_t *w)
{
	return (int32_t)(g_str_hash(w->id) % FOOTPRINT_ROWS);
}

/* Brings a worker's part of the footprint up to date; true when it changes. */
static bool
update_worker(const sched_t *s, vm_t *w)
{
	bool in = in_footprint(s, w);
	int64_t ends = ends_ms(s, w);
	bool changed =
	    in != (w->store_flush != 0) || (in && ends != w->ends_ms);

	/* Extended again: new tasks only once no successor can read that its
	 * leases have ended. */
	if (in && w->ends_ms != 0 && ends == 0) {
		w->stored = false;
		w->store_flush = s->flush;
	}
	w->ends_ms = ends;
	w->store_flush = !in	? 0 :
	    w->store_flush == 0 ? s->flush :
				  w->store_flush;
	w->stored = w->stored && in;
	return changed;
}

static void
put_footprint_row(sched_t *s, GArray *puts, int32_t row)
{
	Sched__Footprint f = SCHED__FOOTPRINT__INIT;
	GByteArray *b = g_byte_array_new();

	f.workers = g_new0(char *, s->worker_list->len + 1);
	f.born_ms = g_new0(int64_t, s->worker_list->len + 1);
	f.until_ms = g_new0(int64_t, s->worker_list->len + 1);
	for (guint i = 0; i < s->worker_list->len; i++) {
		const vm_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->store_flush == 0 || footprint_row(w) != row)
			continue;
		f.workers[f.n_workers++] =
		    g_strconcat(w->id, " ", w->address, NULL);
		f.born_ms[f.n_born_ms++] = w->born_ms;
		f.until_ms[f.n_until_ms++] = w->ends_ms;
	}
	g_byte_array_set_size(b, (guint)sched__footprint__get_packed_size(&f));
	sched__footprint__pack(&f, b->data);
	put(puts, g_strdup_printf(SCHED_KEY_FOOTPRINT ".%02d", row), b);
	for (size_t i = 0; i < f.n_workers; i++)
		g_free(f.workers[i]);
	g_free(f.workers);
	g_free(f.born_ms);
	g_free(f.until_ms);
}

/*
 * Writes the rows of the footprint that have changed, a few in each
 * transaction; the others follow in the next.
 */
static void
put_footprint(sched_t *s, GArray *puts)
{
	bool changed[FOOTPRINT_ROWS] = { false };
	int32_t rows = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		vm_t *w = g_ptr_array_index(s->worker_list, i);
		int32_t row = footprint_row(w);

		if (!changed[row] && rows == FOOTPRINT_AT_ONCE)
			continue;
		if (!update_worker(s, w) || changed[row])
			continue;
		changed[row] = true;
		rows++;
	}
	for (int32_t i = 0; i < FOOTPRINT_ROWS; i++)
		if (changed[i])
			put_footprint_row(s, puts, i);
}

/* Workers that earlier owners may have left something on. */
void
flush_footprint(sched_t *s, const Sched__Footprint *f)
{
	for (size_t i = 0; i < f->n_workers && i < f->n_born_ms; i++) {
		g_auto(GStrv) part = g_strsplit(f->workers[i], " ", 2);
		vm_t *w;

		if (part[0] == NULL || part[1] == NULL)
			continue;
		w = vm_get(s, part[0]);
		if (w->address[0] == '\0') {
			g_free(w->address);
			w->address = g_strdup(part[1]);
		}
		if (w->born_ms == 0)
			w->born_ms = f->born_ms[i];
		/* A newer process there runs nothing of earlier owners. */
		if (w->born_ms == f->born_ms[i] || f->born_ms[i] == 0) {
			w->stored = true;
			w->store_flush = 1;
			w->ends_ms = i < f->n_until_ms ? f->until_ms[i] : 0;
		}
	}
}

static void
begin(sched_t *s)
{
	g_autoptr(GArray) puts = g_array_new(FALSE, FALSE, sizeof(sched_put_t));
	g_autoptr(GPtrArray) old = NULL;
	GByteArray *harm;
	GHashTableIter it;
	void *v;

	g_array_set_clear_func(puts, put_clear);
	s->flush++;
	s->writing = true;
	s->flush_ms = s->cell.sent_ms = s->now;
	s->cell.beat++;
	put(puts, g_strdup(SCHED_KEY_OWNER),
	    cell_pack_owner(s,
		s->cell.releasing &&
		    g_hash_table_size(s->dirty) <= ROWS_MAX / 3));
	put_footprint(s, puts);
	harm = recall_pack(s);
	if (harm != NULL)
		put(puts, g_strdup(SCHED_KEY_INTERFERENCE), harm);
	old = purge_rows(s);
	for (guint i = 0; i < old->len; i++)
		put(puts, g_strdup(g_ptr_array_index(old, i)), NULL);
	s->purging = old->len > 0;
	g_hash_table_iter_init(&it, s->dirty);
	while (puts->len < ROWS_MAX && g_hash_table_iter_next(&it, &v, NULL)) {
		job_t *j = v;

		put_job(s, puts, j);
		j->dirty = false;
		j->flush = s->flush;
		g_hash_table_iter_remove(&it);
		g_ptr_array_add(s->flushing, j);
	}
	/* Ends whose jobs did not fit wait for the next. */
	s->partial = g_hash_table_size(s->dirty) > 0;
	s->urgent = s->partial;
	s->stats.writes++;
	s->o.port.write(s->o.ctx, s->cell.version, puts);
}

/* Begins a transaction when one is due. */
void
flush_due(sched_t *s)
{
	int64_t age = s->now - s->flush_ms;

	if (s->writing || s->cell.state != CELL_OWNED)
		return;
	if (age >= RENEW_MS ||
	    (age >= GAP_MS &&
		(g_hash_table_size(s->dirty) > 0 || s->cell.releasing)))
		begin(s);
}

static void
stored_jobs(sched_t *s, bool ok)
{
	for (guint i = 0; i < s->flushing->len; i++) {
		job_t *j = g_ptr_array_index(s->flushing, i);

		if (!ok) {
			flush_job(s, j, true);
			continue;
		}
		if (j->stage == JOB_ENDING && !j->dirty) {
			j->stage = JOB_ENDED;
			purge_add(s, j->id, s->wall);
			if (j->runs == 0)
				g_hash_table_remove(s->jobs, j->id);
		}
	}
	g_ptr_array_set_size(s->flushing, 0);
}

static void
stored_workers(sched_t *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		vm_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->store_flush != 0 && w->store_flush <= s->flushed &&
		    !w->stored) {
			w->stored = true;
			s->pump = true;
		}
		if (w->flush_want == 0 || w->flush_want > s->flushed)
			continue;
		if (s->partial) {
			w->flush_want = s->flushed + 1;
			continue;
		}
		w->flush_want = 0;
		w->noted = w->flush_seen;
		w->look_next_ms = s->now;
	}
}

void
flush_done(sched_t *s, sched_write_result_t r, int64_t version)
{
	if (!s->writing)
		return;
	s->writing = false;
	if (s->purging)
		purge_wrote(s, r == SCHED_WRITE_OK);
	s->purging = false;
	if (s->cell.state != CELL_OWNED) {
		g_ptr_array_set_size(s->flushing, 0);
		return;
	}
	stored_jobs(s, r == SCHED_WRITE_OK);
	if (r != SCHED_WRITE_OK) {
		for (guint i = 0; i < s->worker_list->len; i++) {
			vm_t *w = g_ptr_array_index(s->worker_list, i);

			w->flush_want = w->flush_want == 0 ? 0 : s->flush + 1;
			if (!w->stored && w->store_flush == s->flush)
				w->store_flush = 0;
		}
		return;
	}
	s->cell.version = version;
	s->cell.confirmed_ms = s->cell.sent_ms;
	s->flushed = s->flush;
	stored_workers(s);
}
