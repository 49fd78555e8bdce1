/*
 * Flushes: writes of changed rows to the store, one transaction at a time.
 * Each transaction also writes the owner row, which renews the claim of the
 * cell.
 *
 * The footprint is the set of workers on which tasks of the cell may run.  A
 * worker is in a stored footprint row before the first task is started on it,
 * so that a successor can find all workers where runs may exist.
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

#define MAX_ROWS_PER_FLUSH	 90 /* in a transaction; the store accepts 100 */
#define FOOTPRINT_ROWS_PER_WRITE 16  /* a transaction has at most 1 MB */
#define FLUSH_GAP_MS		 25  /* shortest, so that each writes more */
#define RENEWAL_MS		 400 /* longest time without a flush */

/*
 * Adds a row to those of a transaction, which takes ownership of key and bytes.
 */
static void
add_put(GArray *puts, char *key, GByteArray *bytes)
{
	sched_put_t p = { key, bytes };

	g_array_append_val(puts, p);
}

/* Frees the contents of a row to be written; for arrays. */
static void
clear_put(void *p)
{
	sched_put_t *u = p;

	g_free(u->key);
	if (u->bytes != NULL)
		g_byte_array_unref(u->bytes);
}

/* Marks a job's progress row as to be written. */
void
flush_mark_job(sched_t *s, job_t *j)
{
	j->dirty = true;
	g_hash_table_insert(s->dirty_jobs, j->id, j);
}

/*
 * Lets polls acknowledge the ended runs of a worker: at once if there is
 * nothing to store, else only when the next flush has stored their results.
 * Called after each report of the worker.
 */
void
flush_acknowledge_ended(sched_t *s, worker_t *w)
{
	if (w->ended_seq == w->ended_stored_seq || w->ended_flush != 0)
		return;
	if (g_hash_table_size(s->dirty_jobs) == 0 && !s->write_pending) {
		w->ended_stored_seq = w->ended_seq;
		return;
	}
	w->ended_flush = s->flush_number + 1;
	w->ended_flush_seq = w->ended_seq;
}

/* Adds the progress row of an open or ending job. */
static void
add_job_row(sched_t *s, GArray *puts, job_t *j)
{
	j->rows_packed++;
	if (j->stage == JOB_OPEN) {
		add_put(puts, g_strconcat(j->id, SCHED_KEY_PROGRESS, NULL),
		    progress_pack(j));
		return;
	}
	add_put(puts, g_strconcat(j->id, SCHED_KEY_PROGRESS, NULL),
	    progress_pack_ended(j, s->wall_ms));
}

/*
 * Whether a worker belongs in the footprint: it is listed, has runs, or may
 * have runs of earlier owners or of former leases.
 */
static bool
in_footprint(const sched_t *s, const worker_t *w)
{
	return w->listed || g_hash_table_size(w->runs) > 0 ||
	    ((w->footprint_stored || w->used_before) &&
		(!s->cell.workers_accounted || !lease_has_ended(s, w)));
}

/*
 * Updates what the footprint says about a worker for the flush that begins;
 * true when its row must be written.
 */
static bool
update_footprint_entry(const sched_t *s, worker_t *w)
{
	bool in = in_footprint(s, w);
	bool had_end = lease_end_is_stored(w);
	bool changed = (lease_update_stored(s, w) && in) ||
	    in != (w->footprint_flush != 0);

	/* Its lease is extended again.  It gets new tasks once the row is
	 * stored, as until then a successor reads that the lease has ended. */
	if (in && had_end && !lease_end_is_stored(w)) {
		w->footprint_stored = false;
		w->footprint_flush = s->flush_number;
	}
	w->footprint_flush = !in    ? 0 :
	    w->footprint_flush == 0 ? s->flush_number :
				      w->footprint_flush;
	w->footprint_stored = w->footprint_stored && in;
	w->used_before = w->used_before && in;
	return changed;
}

/* Adds a row of the footprint with all its workers. */
static void
add_footprint_row(sched_t *s, GArray *puts, int32_t row)
{
	Sched__Footprint f = SCHED__FOOTPRINT__INIT;
	GByteArray *b = g_byte_array_new();

	f.workers = g_new0(char *, s->worker_list->len + 1);
	f.born_ms = g_new0(int64_t, s->worker_list->len + 1);
	f.until_ms = g_new0(int64_t, s->worker_list->len + 1);
	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->footprint_flush == 0 || w->footprint_row != row)
			continue;
		f.workers[f.n_workers++] =
		    g_strconcat(w->id, " ", w->address, NULL);
		f.born_ms[f.n_born_ms++] = w->started_ms;
		f.until_ms[f.n_until_ms++] = lease_stored_ms(w);
	}
	g_byte_array_set_size(b, (guint)sched__footprint__get_packed_size(&f));
	sched__footprint__pack(&f, b->data);
	add_put(puts, g_strdup_printf(SCHED_KEY_FOOTPRINT ".%02d", row), b);
	for (size_t i = 0; i < f.n_workers; i++)
		g_free(f.workers[i]);
	g_free(f.workers);
	g_free(f.born_ms);
	g_free(f.until_ms);
}

/*
 * Adds the rows of the footprint that have changed, up to a limit; further ones
 * follow in the next flush.
 */
static void
add_footprint_rows(sched_t *s, GArray *puts)
{
	bool changed[FOOTPRINT_ROWS] = { false };
	int32_t rows = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		int32_t row = w->footprint_row;

		if (!changed[row] && rows == FOOTPRINT_ROWS_PER_WRITE)
			continue;
		if (!update_footprint_entry(s, w) || changed[row])
			continue;
		changed[row] = true;
		rows++;
	}
	for (int32_t i = 0; i < FOOTPRINT_ROWS; i++)
		if (changed[i])
			add_footprint_row(s, puts, i);
}

/*
 * Processes a footprint row while the cell is loaded: earlier owners may have
 * left runs on these workers.  False: it doesn't name all of them.
 */
bool
flush_footprint_read(sched_t *s, const Sched__Footprint *f)
{
	bool complete = f->n_workers == f->n_born_ms;

	for (size_t i = 0; i < f->n_workers && i < f->n_born_ms; i++) {
		g_auto(GStrv) part = g_strsplit(f->workers[i], " ", 2);
		worker_t *w;

		if (part[0] == NULL || part[1] == NULL) {
			complete = false;
			continue;
		}
		w = cell_worker_get(s, part[0]);
		if (w->address[0] == '\0') {
			g_free(w->address);
			w->address = g_strdup(part[1]);
		}
		w->started_ms = MAX(w->started_ms, f->born_ms[i]);
		w->used_before = true;
		/* What the row says of leases is not of a newer process. */
		if (w->started_ms == f->born_ms[i] || f->born_ms[i] == 0) {
			w->footprint_stored = true;
			w->footprint_flush = 1;
			complete =
			    lease_read_stored(
				w, i < f->n_until_ms ? f->until_ms[i] : 0) &&
			    complete;
		}
	}
	return complete;
}

/*
 * Begins a flush: sends a transaction with the owner row, changed footprint
 * rows, the interference row if due, removals of progress rows, and progress
 * rows of as many dirty jobs as fit.
 */
static void
begin_flush(sched_t *s)
{
	g_autoptr(GArray) puts = g_array_new(FALSE, FALSE, sizeof(sched_put_t));
	g_autoptr(GPtrArray) purged = NULL;
	GByteArray *interference;
	GHashTableIter it;
	void *v;

	g_array_set_clear_func(puts, clear_put);
	s->flush_number++;
	s->write_pending = true;
	s->flush_begun_ms = s->cell.write_sent_ms = s->now_ms;
	s->cell.renewals++;
	if (s->cell.releasing)
		quarantine_release(s);
	/* In a graceful stop, releases the cell once all dirty jobs fit in. */
	add_put(puts, g_strdup(SCHED_KEY_OWNER),
	    ownership_pack_row(s,
		s->cell.releasing &&
		    g_hash_table_size(s->dirty_jobs) <=
			MAX_ROWS_PER_FLUSH / 3));
	add_footprint_rows(s, puts);
	interference = interference_row_pack(s);
	if (interference != NULL)
		add_put(puts, g_strdup(SCHED_KEY_INTERFERENCE), interference);
	purged = purge_take_rows(s);
	for (guint i = 0; i < purged->len; i++)
		add_put(puts, g_strdup(g_ptr_array_index(purged, i)), NULL);
	s->write_removes_rows = purged->len > 0;
	g_hash_table_iter_init(&it, s->dirty_jobs);
	while (puts->len < MAX_ROWS_PER_FLUSH &&
	    g_hash_table_iter_next(&it, NULL, &v)) {
		job_t *j = v;

		add_job_row(s, puts, j);
		j->dirty = false;
		g_hash_table_iter_remove(&it);
		g_ptr_array_add(s->flushing_jobs, j);
	}
	/* Workers forget ended runs only after a flush with all dirty jobs. */
	s->flush_partial = g_hash_table_size(s->dirty_jobs) > 0;
	s->stats.writes++;
	s->opts.port.write(s->opts.ctx, s->cell.version, puts);
}

/*
 * Begins a flush if none is in flight and there is something to write or the
 * claim must be renewed.
 */
void
flush_if_due(sched_t *s)
{
	int64_t age = s->now_ms - s->flush_begun_ms;

	if (s->write_pending || s->cell.state != CELL_OWNED)
		return;
	if (age >= RENEWAL_MS ||
	    (age >= FLUSH_GAP_MS &&
		(g_hash_table_size(s->dirty_jobs) > 0 || s->cell.releasing)))
		begin_flush(s);
}

/*
 * Completes the jobs that the last flush wrote: a job that is ending has ended.
 * If the flush failed, they become dirty again.
 */
static void
on_jobs_stored(sched_t *s, bool ok)
{
	for (guint i = 0; i < s->flushing_jobs->len; i++) {
		job_t *j = g_ptr_array_index(s->flushing_jobs, i);

		if (!ok) {
			flush_mark_job(s, j);
			continue;
		}
		if (!j->row_stored || j->rows_stored < j->starts_after_write)
			s->start_pass_due = true;
		j->row_stored = true;
		j->rows_stored = j->rows_packed;
		if (j->stage == JOB_ENDING && !j->dirty) {
			j->stage = JOB_ENDED;
			purge_add_ended(s, j->id, s->wall_ms);
			if (j->nruns == 0)
				g_hash_table_remove(s->jobs, j->id);
		}
	}
	g_ptr_array_set_size(s->flushing_jobs, 0);
}

/*
 * Handles a successful flush for each worker: those new in the footprint can be
 * used, and a poll acknowledges at once the ended runs that are stored.
 */
static void
on_workers_stored(sched_t *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->footprint_flush != 0 &&
		    w->footprint_flush <= s->flushed_number &&
		    !w->footprint_stored) {
			w->footprint_stored = true;
			scan_worker_changed(s, w);
		}
		if (w->ended_flush == 0 || w->ended_flush > s->flushed_number)
			continue;
		if (s->flush_partial) {
			w->ended_flush = s->flushed_number + 1;
			continue;
		}
		w->ended_flush = 0;
		w->ended_stored_seq = w->ended_flush_seq;
		poll_soon(s, w);
	}
}

/*
 * Handles the result of the flush in flight; version is the new one of the
 * owner row.
 */
void
flush_done(sched_t *s, sched_write_result_t r, int64_t version)
{
	if (!s->write_pending)
		return;
	s->write_pending = false;
	if (s->write_removes_rows)
		purge_write_done(s, r == SCHED_WRITE_OK);
	s->write_removes_rows = false;
	if (s->cell.state != CELL_OWNED) {
		g_ptr_array_set_size(s->flushing_jobs, 0);
		return;
	}
	on_jobs_stored(s, r == SCHED_WRITE_OK);
	if (r != SCHED_WRITE_OK) {
		/* Ended runs wait for the next flush, which also adds the new
		 * workers to the footprint again. */
		for (guint i = 0; i < s->worker_list->len; i++) {
			worker_t *w = g_ptr_array_index(s->worker_list, i);

			w->ended_flush =
			    w->ended_flush == 0 ? 0 : s->flush_number + 1;
			if (!w->footprint_stored &&
			    w->footprint_flush == s->flush_number)
				w->footprint_flush = 0;
		}
		return;
	}
	s->cell.version = version;
	s->cell.confirmed_ms = s->cell.write_sent_ms;
	s->cell.release_in_doubt = s->cell.release_sent;
	s->flushed_number = s->flush_number;
	on_workers_stored(s);
}
