/*
 * The rows of a cell as they are read: jobs, their progress and cancels, the
 * workers in use, and what was learned of interference.
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

/*
 * Adds a job from its row, with the progress loaded for it.  A row that is not
 * valid is logged and ignored.
 */
static void
add_job(sched_t *s, const char *id, const sched_row_t *row)
{
	Sched__Job *def = sched__job__unpack(NULL, row->nbytes, row->bytes);
	const char *why = "does not unpack";
	void *p = NULL;
	bool has_progress =
	    g_hash_table_lookup_extended(s->loaded_progress, id, NULL, &p);
	bool valid = def != NULL && sched_job_valid(def, &why);
	job_t *j;

	if (valid && has_progress && p == NULL)
		why = "its progress is not known";
	if (!valid || (has_progress && p == NULL)) {
		LOG_EVENT(s, SCHED_EVT_ROW_BAD, id,
		    "why=\"%s\" version=%" PRId64, why, row->version);
		if (def != NULL)
			sched__job__free_unpacked(def, NULL);
		return;
	}
	j = job_new(s, id, def);
	g_hash_table_insert(s->jobs, j->id, j);
	sched_tombstone_has_job(s, id);
	if (def->repeats > 0)
		g_ptr_array_add(s->recurring_jobs, j);
	if (p != NULL)
		progress_apply(j, p);
	j->row_stored = p != NULL;
	j->maybe_started_before = row->version <= s->cell.token &&
	    (j->row_stored || !s->cell.rows_before_starts);
	customer_job_loaded(s, j);
	LOG_EVENT(s, SCHED_EVT_JOB_SEEN, id,
	    "queue=%s steps=%zu version=%" PRId64 " age=%" PRId64
	    " tasks=%d largest_cpu=%" PRId64 " work=%.1f",
	    j->queue->name, def->n_steps, row->version,
	    s->wall_ms - def->accepted_ms, job_tasks(j),
	    job_largest_task_cpu(j), j->work_milli_ms / 1e6);
	if (s->cell.state == CELL_OWNED && def->repeats == 0)
		run_add_ready_steps(s, g_ptr_array_index(j->occs, 0));
}

/* Handles a cancel request.  While the cell is loaded it is only recorded. */
static void
cancel_job(sched_t *s, job_t *j)
{
	if (j->cancelled)
		return;
	j->cancelled = true;
	LOG_EVENT(s, SCHED_EVT_JOB_CANCEL, j->id, "runs=%d", j->nruns);
	if (s->cell.state == CELL_OWNED)
		run_end_job(s, j, SCHED__STATE__CANCELLED);
}

/*
 * Keeps the loaded progress of a job until the job's own row is read.  Of an
 * ended job only its end is recorded, so that add_job is not called for it.
 */
static void
load_progress(sched_t *s, const char *id, const sched_row_t *row)
{
	Sched__Progress *p;

	p = sched_progress_unpack(row->bytes, row->nbytes);
	if (p == NULL) {
		LOG_EVENT(s, SCHED_EVT_ROW_BAD, row->key,
		    "why=\"does not unpack\" version=%" PRId64, row->version);
		g_hash_table_insert(s->loaded_progress, g_strdup(id), NULL);
		return;
	}
	if (p->state == SCHED__STATE__RUNNING) {
		g_hash_table_insert(s->loaded_progress, g_strdup(id), p);
		return;
	}
	purge_add_ended(s, id, p->ended_ms);
	customer_ended_job_loaded(s, id, p);
	sched__progress__free_unpacked(p, NULL);
}

/* Processes a row of the footprint. */
static void
load_footprint(sched_t *s, const sched_row_t *row)
{
	Sched__Footprint *f;

	f = sched__footprint__unpack(NULL, row->nbytes, row->bytes);
	if (f == NULL || !footprint_row_read(s, f)) {
		LOG_EVENT(s, SCHED_EVT_ROW_BAD, row->key,
		    "why=\"not the workers in use\" version=%" PRId64,
		    row->version);
		s->cell.footprint_bad = true;
	}
	sched__footprint__free_unpacked(f, NULL);
}

/* Whether the row of a job that isn't there is one that keeps it from coming. */
static bool
is_tombstone(const sched_t *s, const char *id, const char *kind)
{
	return !g_hash_table_contains(s->ended_jobs, id) &&
	    (strcmp(kind, SCHED_KEY_CANCEL) == 0 ||
		strcmp(kind, SCHED_KEY_REFUSAL) == 0);
}

void
sched_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms)
{
	char id[SCHED_JOB_ID_BYTES + 1];
	bool loading = s->cell.state == CELL_LOADING;
	const char *kind;
	job_t *j;

	s->now_ms = now_ms;
	if (!loading && s->cell.state != CELL_OWNED)
		return;
	if (g_str_has_prefix(row->key, SCHED_KEY_FOOTPRINT)) {
		if (loading && row->bytes != NULL)
			load_footprint(s, row);
		return;
	}
	if (strcmp(row->key, SCHED_KEY_INTERFERENCE) == 0) {
		if (loading && row->bytes != NULL)
			interference_row_read(s, row);
		return;
	}
	if (row->key[0] == '!' || strlen(row->key) < SCHED_JOB_ID_BYTES)
		return;
	g_strlcpy(id, row->key, sizeof(id));
	kind = row->key + SCHED_JOB_ID_BYTES;
	j = g_hash_table_lookup(s->jobs, id);
	if (j == NULL && is_tombstone(s, id, kind))
		tombstone_read(s, id, row);
	if (row->bytes == NULL)
		return;
	if (strcmp(kind, SCHED_KEY_PROGRESS) == 0) {
		if (!loading)
			return;
		/* Its row came too early, from a read that an earlier load
		 * began: it is read again after this. */
		if (j != NULL)
			g_hash_table_remove(s->jobs, id);
		load_progress(s, id, row);
	} else if (kind[0] == '\0' && j == NULL) {
		if (g_hash_table_contains(s->ended_jobs, id))
			customer_ended_job_read(s, id, row);
		else
			add_job(s, id, row);
	} else if (j != NULL && strcmp(kind, SCHED_KEY_CANCEL) == 0)
		cancel_job(s, j);
}

/*
 * Queues the steps of a loaded job that are ready, or ends the job if it is
 * cancelled or complete.
 */
static void
open_loaded_job(sched_t *s, job_t *j)
{
	if (j->cancelled) {
		run_end_job(s, j, SCHED__STATE__CANCELLED);
		return;
	}
	for (guint i = 0; i < j->occs->len; i++) {
		occurrence_t *o = g_ptr_array_index(j->occs, i);

		if (j->def->repeats == 0 || o->due_wall_ms <= s->wall_ms)
			run_add_ready_steps(s, o);
	}
	if (j->occs_done >= MAX(1, j->def->repeats))
		run_end_job(s, j, SCHED__STATE__COMPLETED);
	crash_job_loaded(s, j);
}

/* Whether a progress row could be read; for a hash table. */
static gboolean
was_read(void *id, void *progress, void *ctx)
{
	(void)id;
	(void)ctx;
	return progress != NULL;
}

void
sched_load_done(sched_t *s, int64_t now_ms)
{
	g_autoptr(GList) all = NULL;

	s->now_ms = now_ms;
	/* Rows that were read whole again during ownership change nothing. */
	if (s->cell.state != CELL_LOADING)
		return;
	ownership_load_done(s);
	g_hash_table_foreach_remove(s->loaded_progress, was_read, NULL);
	g_hash_table_remove_all(s->stopped_jobs);
	share_load_done(s);
	all = g_hash_table_get_values(s->jobs);
	for (GList *i = all; i != NULL; i = i->next)
		open_loaded_job(s, i->data);
	customer_count_unseen(s);
	stats_count_waiting_jobs(s);
	for (guint i = 0; i < s->worker_list->len; i++)
		poll_soon(s, g_ptr_array_index(s->worker_list, i));
}
