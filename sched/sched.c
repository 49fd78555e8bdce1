/*
 * Entry points of the scheduler: creation, inputs from the embedding program,
 * and the periodic tick.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "headroom.h"
#include "internal.h"

#define UPDATE_MS    250 /* between updates of the queue order and the models */
#define STATS_LOG_MS 1000 /* between load events */
#define TICK_MS	     50	  /* longest time between two ticks */
#define TICK_BUSY_MS 5	  /* while there is work to do */

/* Removes a job from the sets besides the table of jobs, and frees it. */
static void
remove_job(sched_t *s, job_t *j)
{
	g_hash_table_remove(s->dirty_jobs, j);
	g_ptr_array_remove(s->recurring_jobs, j);
	job_free(j);
}

/* Called when a job is removed from the table of jobs: frees the job. */
static void
on_job_removed(void *p)
{
	job_t *j = p;

	remove_job(j->sched, j);
}

/* Frees a progress row; for the table of loaded ones. */
static void
progress_free(void *p)
{
	sched__progress__free_unpacked(p, NULL);
}

sched_t *
sched_new(const sched_opts_t *o)
{
	sched_t *s = g_new0(sched_t, 1);

	s->opts = *o;
	s->ready_steps = g_sequence_new(NULL);
	s->dirty_jobs = g_hash_table_new(NULL, NULL);
	s->recurring_jobs = g_ptr_array_new();
	s->flushing_jobs = g_ptr_array_new();
	s->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, on_job_removed);
	s->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	s->workers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, cell_worker_free);
	s->worker_list = g_ptr_array_new();
	s->scan.changed = g_ptr_array_new();
	s->scan.round = 1;
	s->polls_soon = g_ptr_array_new();
	s->runs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, run_free);
	s->images = g_hash_table_new(g_str_hash, g_str_equal);
	s->loaded_progress = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, progress_free);
	s->ended_jobs = purge_table_new();
	s->approval_requests = approval_requests_new();
	s->evacuated_zones = g_hash_table_new(g_direct_hash, g_direct_equal);
	return s;
}

void
sched_free(sched_t *s)
{
	g_hash_table_unref(s->runs);
	g_hash_table_unref(s->jobs);
	g_hash_table_unref(s->workers);
	g_ptr_array_unref(s->worker_list);
	g_ptr_array_unref(s->scan.changed);
	g_ptr_array_unref(s->polls_soon);
	g_hash_table_unref(s->queues);
	for (int32_t i = 0; i < IMAGES_MAX; i++)
		g_free(s->interference[i]);
	g_hash_table_unref(s->images);
	g_hash_table_unref(s->loaded_progress);
	g_hash_table_unref(s->ended_jobs);
	g_hash_table_unref(s->approval_requests);
	g_hash_table_unref(s->evacuated_zones);
	g_hash_table_unref(s->dirty_jobs);
	g_ptr_array_unref(s->recurring_jobs);
	g_ptr_array_unref(s->flushing_jobs);
	g_sequence_free(s->ready_steps);
	if (s->cell.row != NULL)
		sched__owner__free_unpacked(s->cell.row, NULL);
	g_free(s);
}

void
sched_owner_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms)
{
	s->now_ms = now_ms;
	ownership_row_read(s, row);
}

void
sched_claim_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms)
{
	s->now_ms = now_ms;
	ownership_claim_done(s, r, version);
}

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
	if (def->repeats > 0)
		g_ptr_array_add(s->recurring_jobs, j);
	if (p != NULL)
		job_apply_progress(j, p);
	j->row_stored = p != NULL;
	j->maybe_started_before = row->version <= s->cell.token &&
	    (j->row_stored || !s->cell.rows_before_starts);
	LOG_EVENT(s, SCHED_EVT_JOB_SEEN, id,
	    "queue=%s steps=%zu version=%" PRId64 " age=%" PRId64, j->queue,
	    def->n_steps, row->version, s->wall_ms - def->accepted_ms);
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
	sched__progress__free_unpacked(p, NULL);
}

/* Processes a row of the footprint. */
static void
load_footprint(sched_t *s, const sched_row_t *row)
{
	Sched__Footprint *f;

	f = sched__footprint__unpack(NULL, row->nbytes, row->bytes);
	if (f == NULL || !flush_footprint_read(s, f)) {
		LOG_EVENT(s, SCHED_EVT_ROW_BAD, row->key,
		    "why=\"not the workers in use\" version=%" PRId64,
		    row->version);
		s->cell.footprint_bad = true;
	}
	sched__footprint__free_unpacked(f, NULL);
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
	if (row->key[0] == '!' || strlen(row->key) < SCHED_JOB_ID_BYTES ||
	    row->bytes == NULL)
		return;
	g_strlcpy(id, row->key, sizeof(id));
	kind = row->key + SCHED_JOB_ID_BYTES;
	j = g_hash_table_lookup(s->jobs, id);
	if (strcmp(kind, SCHED_KEY_PROGRESS) == 0) {
		if (loading)
			load_progress(s, id, row);
	} else if (kind[0] == '\0' && j == NULL &&
	    !g_hash_table_contains(s->ended_jobs, id))
		add_job(s, id, row);
	else if (j != NULL && strcmp(kind, SCHED_KEY_CANCEL) == 0)
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
	all = g_hash_table_get_values(s->jobs);
	for (GList *i = all; i != NULL; i = i->next)
		open_loaded_job(s, i->data);
	stats_count_waiting_jobs(s);
	for (guint i = 0; i < s->worker_list->len; i++)
		poll_soon(s, g_ptr_array_index(s->worker_list, i));
}

void
sched_write_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms)
{
	s->now_ms = now_ms;
	flush_done(s, r, version);
	if (r == SCHED_WRITE_OK && s->cell.release_sent &&
	    s->cell.state == CELL_OWNED) {
		LOG_EVENT(s, SCHED_EVT_RELEASED, "cell", "token=%" PRId64,
		    s->cell.token);
		ownership_lost(s, "released");
	}
}

/* Whether the data centre of a worker is evacuated. */
static bool
is_evacuated(const sched_t *s, const worker_t *w)
{
	return g_hash_table_contains(s->evacuated_zones, w->zone);
}

void
sched_worker_listed(sched_t *s, const sched_worker_info_t *i, int64_t now_ms)
{
	worker_t *w = cell_worker_get(s, i->id);

	s->now_ms = now_ms;
	if (!w->listed || w->draining != i->draining ||
	    w->started_ms != i->started_ms)
		LOG_EVENT(s, SCHED_EVT_WORKER, i->id,
		    "zone=%s draining=%d born=%" PRId64 " was=%" PRId64,
		    i->zone, i->draining, i->started_ms, w->started_ms);
	if (i->started_ms != 0 && i->started_ms > w->started_ms) {
		cell_worker_restarted(s, w, i->started_ms);
	}
	if (strcmp(w->address, i->address) != 0) {
		g_free(w->address);
		w->address = g_strdup(i->address);
	}
	w->service = g_intern_string(i->service);
	w->zone = g_intern_string(i->zone);
	w->rack = g_intern_string(i->rack);
	g_ptr_array_set_size(w->labels, 0);
	for (const char *const *l = i->labels; l != NULL && *l != NULL; l++)
		g_ptr_array_add(w->labels, (void *)g_intern_string(*l));
	w->cpu_milli = i->cpu_milli;
	w->mem_mb = i->mem_mb;
	w->gpu = i->gpu;
	w->draining = i->draining;
	w->listed = w->seen_in_list = true;
	w->zone_evacuated = is_evacuated(s, w);
	scan_worker_changed(s, w);
}

void
sched_worker_left(sched_t *s, const char *id, int64_t now_ms)
{
	worker_t *w = g_hash_table_lookup(s->workers, id);

	s->now_ms = now_ms;
	if (w == NULL || !w->listed)
		return;
	w->listed = false;
	LOG_EVENT(s, SCHED_EVT_WORKER, id, "no longer listed: runs=%u",
	    g_hash_table_size(w->runs));
}

void
sched_worker_list_read(sched_t *s, int64_t now_ms)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (!w->seen_in_list)
			sched_worker_left(s, w->id, now_ms);
		w->seen_in_list = false;
	}
}

void
sched_set_zone_evacuated(
    sched_t *s, const char *zone, bool evacuated, int64_t now_ms)
{
	void *z = (void *)g_intern_string(zone);

	s->now_ms = now_ms;
	if (g_hash_table_contains(s->evacuated_zones, z) == evacuated)
		return;
	LOG_EVENT(s, SCHED_EVT_ZONE, zone, "evacuated=%d", evacuated);
	if (evacuated)
		g_hash_table_add(s->evacuated_zones, z);
	else
		g_hash_table_remove(s->evacuated_zones, z);
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		w->zone_evacuated = is_evacuated(s, w);
	}
	scan_begin_round(s);
}

void
sched_store_clock_read(sched_t *s, int64_t store_ms, int64_t now_ms)
{
	s->now_ms = now_ms;
	s->store_clock_offset_ms = store_ms - now_ms;
}

void
sched_feed_read(sched_t *s, sched_feed_t feed, int64_t as_of_ms)
{
	s->feed_read_ms[feed] = MAX(s->feed_read_ms[feed], as_of_ms);
}

void
sched_set_queue(sched_t *s, const char *queue, const char *service,
    int32_t priority, int32_t max_attempts, bool needs_approval, int64_t now_ms)
{
	queue_t *q = queue_get(s, queue);
	GHashTableIter it;
	void *v;

	s->now_ms = now_ms;
	q->configured = true;
	q->service = g_intern_string(service);
	q->priority = priority;
	q->max_attempts = max_attempts;
	q->needs_approval = needs_approval;
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		job_t *j = v;

		if (j->queue != q->name)
			continue;
		j->service = q->service;
		j->priority = priority;
		j->max_attempts = max_attempts;
		j->needs_approval = needs_approval;
	}
	scan_begin_round(s);
}

void
sched_order_done(sched_t *s, uint64_t id, sched_order_result_t r,
    int64_t clock_ms, int64_t now_ms)
{
	run_t *run = g_hash_table_lookup(s->runs, &id);

	s->now_ms = now_ms;
	if (run != NULL && s->cell.state == CELL_OWNED)
		run_order_done(s, run, r, clock_ms);
}

/*
 * Queues the first steps of occurrences of recurring jobs whose time has come.
 */
static void
add_due_occurrences(sched_t *s)
{
	for (guint i = 0; i < s->recurring_jobs->len; i++) {
		job_t *j = g_ptr_array_index(s->recurring_jobs, i);

		if (j->stage != JOB_OPEN)
			continue;
		while (j->occs_made_ready < j->def->repeats &&
		    j->def->first_ms +
			    j->occs_made_ready * j->def->interval_ms <=
			s->wall_ms)
			run_add_ready_steps(
			    s, job_occurrence(j, j->occs_made_ready++));
	}
}

int32_t
sched_tick(sched_t *s, int64_t now_ms, int64_t wall_ms)
{
	s->now_ms = now_ms;
	s->wall_ms = wall_ms;
	ownership_tick(s);
	if (s->cell.state != CELL_OWNED)
		return TICK_MS;
	if (now_ms - s->sorted_ms >= UPDATE_MS) {
		s->sorted_ms = now_ms;
		queue_resort(s);
		isolation_refresh(s);
		isolation_update_compatibility(s);
		stats_count_waiting_jobs(s);
		approval_expire_requests(s);
		scan_begin_round(s);
	}
	if (now_ms - s->stats_logged_ms >= STATS_LOG_MS) {
		s->stats_logged_ms = now_ms;
		stats_log(s);
	}
	add_due_occurrences(s);
	if (s->start_pass_due && ownership_may_start_tasks(s))
		start_waiting_tasks(s);
	poll_tick(s);
	purge_tick(s);
	flush_if_due(s);
	return s->start_pass_due || g_hash_table_size(s->dirty_jobs) > 0 ?
	    TICK_BUSY_MS :
	    TICK_MS;
}

bool
sched_begin_release(sched_t *s, int64_t now_ms)
{
	s->now_ms = now_ms;
	s->cell.releasing = true;
	return s->cell.state == CELL_FOLLOWING;
}

void
sched_set_store_outage(
    sched_t *s, bool for_all, int64_t last_ms, int64_t now_ms)
{
	s->now_ms = now_ms;
	ownership_set_store_outage(s, for_all, last_ms);
}

void
sched_set_claim_delay(sched_t *s, int32_t ms)
{
	s->cell.claim_delay_ms = ms;
}

void
sched_set_successor(sched_t *s, const char *name)
{
	s->cell.successor = g_intern_string(name);
}

void
sched_process_paused(sched_t *s, int64_t now_ms)
{
	s->now_ms = now_ms;
	if (s->cell.state == CELL_OWNED)
		s->cell.paused = true;
}

bool
sched_is_owner(const sched_t *s)
{
	return s->cell.state == CELL_OWNED;
}
