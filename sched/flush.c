/*
 * Flushes: writes of changed rows to the store, one transaction at a time.
 * Each transaction also writes the owner row, which renews the claim of the
 * cell.
 *
 * What the store rejects as such it would reject again, and with it the renewal and
 * the rows of all other jobs.  So the claim is renewed alone then, and the jobs of
 * that write are tried in halves, until the one at fault is known; see rejected.c.
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
#include "row_batch.h"
#include "internal.h"

#define FLUSH_GAP_MS 25	 /* shortest, so that each writes more */
#define RENEWAL_MS   400 /* longest time without a flush */
/* A graceful stop releases the cell with a write of at most so many jobs. */
#define RELEASE_JOBS_MAX 30

/* Marks a job's progress row as to be written. */
void
flush_mark_job(sched_t *s, job_t *j)
{
	j->dirty = true;
	if (!rejected_holds(j))
		g_hash_table_insert(s->dirty_jobs, j->id, j);
}

/* Whether some job has progress that no write so far has. */
static bool
unstored_jobs(const sched_t *s)
{
	return g_hash_table_size(s->dirty_jobs) > 0 ||
	    s->rejected.held->len > 0;
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
	if (!unstored_jobs(s) && !s->write_pending) {
		w->ended_stored_seq = w->ended_seq;
		return;
	}
	w->ended_flush = s->flush_number + 1;
	w->ended_flush_seq = w->ended_seq;
}

/*
 * Adds the row of a job to a write; false if it has no room.  One that the store
 * would reject is held back.
 */
static bool
add_job_row(sched_t *s, row_batch_t *batch, job_t *j)
{
	char *key = g_strconcat(j->id, SCHED_KEY_PROGRESS, NULL);
	GByteArray *row = j->stage == JOB_OPEN ?
	    progress_pack(j) :
	    progress_pack_ended(j, s->wall_ms);
	bool too_long = row->len > SCHED_ROW_MAX_BYTES;

	if (!row_batch_fits(batch, key, row->len)) {
		if (too_long)
			rejected_hold(s, j);
		g_free(key);
		g_byte_array_unref(row);
		return too_long;
	}
	j->rows_packed++;
	j->dirty = false;
	row_batch_add(batch, key, row);
	g_ptr_array_add(s->flushing_jobs, j);
	return true;
}

/* Adds the rows of dirty jobs, as far as they have room. */
static void
add_dirty_jobs(sched_t *s, row_batch_t *batch)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->dirty_jobs);
	while (
	    g_hash_table_iter_next(&it, NULL, &v) && add_job_row(s, batch, v))
		g_hash_table_iter_remove(&it);
}

/* Adds the rows of the jobs that are tried after a write was rejected. */
static void
add_tried_jobs(sched_t *s, row_batch_t *batch)
{
	g_autoptr(GPtrArray) jobs = rejected_next(s);

	for (guint i = 0; i < jobs->len; i++) {
		job_t *j = g_ptr_array_index(jobs, i);

		if (!add_job_row(s, batch, j))
			return;
		g_hash_table_remove(s->dirty_jobs, j->id);
	}
}

/*
 * Adds the rows of a usual flush: changed footprint rows, the interference row if due,
 * removals of progress rows, and progress rows of as many dirty jobs as fit.
 */
static void
add_changed_rows(sched_t *s, row_batch_t *batch)
{
	g_autoptr(GPtrArray) purged = NULL;
	GByteArray *interference;

	footprint_add_rows(s, batch);
	interference = interference_row_pack(s);
	if (interference != NULL)
		row_batch_add(
		    batch, g_strdup(SCHED_KEY_INTERFERENCE), interference);
	purged = purge_take_rows(s);
	for (guint i = 0; i < purged->len; i++)
		row_batch_add(
		    batch, g_strdup(g_ptr_array_index(purged, i)), NULL);
	s->write_removes_rows = purged->len > 0;
	add_dirty_jobs(s, batch);
}

/* Begins a flush: sends a transaction with the owner row and what else is due. */
static void
begin_flush(sched_t *s)
{
	flush_kind_t kind = rejected_flush_kind(s);
	bool may_release = s->cell.releasing && kind == FLUSH_CHANGED &&
	    g_hash_table_size(s->dirty_jobs) <= RELEASE_JOBS_MAX;
	row_batch_t batch;

	row_batch_init(&batch);
	s->flush_number++;
	s->write_pending = true;
	s->flush_begun_ms = s->cell.write_sent_ms = s->now_ms;
	s->cell.renewals++;
	if (s->cell.releasing)
		quarantine_release(s);
	row_batch_add(&batch, g_strdup(SCHED_KEY_OWNER),
	    kind == FLUSH_RENEWAL ? ownership_pack_renewal(s) :
				    ownership_pack_row(s, false));
	if (kind == FLUSH_CHANGED)
		add_changed_rows(s, &batch);
	else if (kind == FLUSH_TRIED)
		add_tried_jobs(s, &batch);
	/* Workers forget ended runs only after a flush with all dirty jobs. */
	s->flush_partial = unstored_jobs(s);
	/* In a graceful stop, releases the cell once all dirty jobs fit in. */
	if (may_release && !s->flush_partial)
		row_batch_replace_first(&batch, ownership_pack_row(s, true));
	s->stats.writes++;
	s->rejected.flush_bytes = batch.bytes;
	s->rejected.flush_rows = batch.puts->len;
	s->opts.port.write(s->opts.ctx, s->cell.version, batch.puts);
	row_batch_clear(&batch);
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
		(g_hash_table_size(s->dirty_jobs) > 0 || s->cell.releasing ||
		    rejected_due(s))))
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
	rejected_write_done(s, r);
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
