/*
 * Entry points of the scheduler: creation, inputs from the embedding program
 * other than rows, and the periodic tick.
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
#include "down.h"

#define UPDATE_MS    250 /* between updates of the queue order and the models */
#define STATS_LOG_MS 1000 /* between load events */
#define TICK_MS	     50	  /* longest time between two ticks */
#define TICK_BUSY_MS 5	  /* while there is work to do */

/* Removes a job from the sets besides the table of jobs, and frees it. */
static void
remove_job(sched_t *s, job_t *j)
{
	customer_job_removed(s, j);
	g_hash_table_remove(s->dirty_jobs, j->id);
	g_ptr_array_remove(s->recurring_jobs, j);
	rejected_job_removed(s, j);
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
	s->nominations = g_ptr_array_new();
	lasting_admission_init(s);
	suspect_init(s);
	s->dirty_jobs = g_hash_table_new(g_str_hash, g_str_equal);
	s->recurring_jobs = g_ptr_array_new();
	s->flushing_jobs = g_ptr_array_new();
	rejected_init(&s->rejected);
	s->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, on_job_removed);
	s->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	s->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	s->admission.refusals = g_ptr_array_new_with_free_func(g_free);
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
	s->tombstones = tombstone_table_new();
	s->stopped_jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	approval_init(s);
	s->evacuated_zones = g_hash_table_new(g_direct_hash, g_direct_equal);
	s->overload = overload_new();
	return s;
}

void
sched_free(sched_t *s)
{
	nominate_forget(s);
	g_ptr_array_unref(s->nominations);
	lasting_admission_free(s);
	suspect_free(s);
	g_hash_table_unref(s->runs);
	g_hash_table_unref(s->jobs);
	g_hash_table_unref(s->workers);
	g_ptr_array_unref(s->worker_list);
	g_ptr_array_unref(s->scan.changed);
	g_ptr_array_unref(s->polls_soon);
	g_hash_table_unref(s->queues);
	g_hash_table_unref(s->customers);
	g_ptr_array_unref(s->admission.refusals);
	for (int32_t i = 0; i < IMAGES_MAX; i++)
		g_free(s->interference[i]);
	g_hash_table_unref(s->images);
	g_hash_table_unref(s->loaded_progress);
	g_hash_table_unref(s->ended_jobs);
	g_hash_table_unref(s->tombstones);
	g_hash_table_unref(s->stopped_jobs);
	approval_free(s);
	g_hash_table_unref(s->evacuated_zones);
	g_hash_table_unref(s->dirty_jobs);
	g_ptr_array_unref(s->recurring_jobs);
	g_ptr_array_unref(s->flushing_jobs);
	rejected_clear(&s->rejected);
	g_sequence_free(s->ready_steps);
	overload_free(s->overload);
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
		handover_released(s);
		ownership_lost(s, "released");
	}
}

/* Whether the data centre of a worker is evacuated. */
static bool
is_evacuated(const sched_t *s, const worker_t *w)
{
	return g_hash_table_contains(s->evacuated_zones, w->zone);
}

/*
 * Whether an entry names another process of a worker than the one that is known:
 * a later one or, while that has not answered, any, as the entry that told of it
 * may not have been the worker's own.
 */
static bool
names_other_process(const worker_t *w, int64_t started_ms)
{
	if (started_ms == 0 || started_ms == w->started_ms)
		return false;
	return started_ms > w->started_ms || !w->has_answered;
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
	if (names_other_process(w, i->started_ms))
		cell_worker_restarted(s, w, i->started_ms);
	if (strcmp(w->address, i->address) != 0) {
		/* An answer from the old address says nothing of the new one. */
		poll_abandon(s, w);
		w->has_answered = false;
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
	w->listed_started_ms = i->started_ms;
	w->listed = true;
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
	s->store_clock_known = true;
	s->store_clock_offset_ms = store_ms - now_ms;
}

void
sched_feed_read(sched_t *s, sched_feed_t feed, int64_t as_of_ms)
{
	s->feed_read_ms[feed] = MAX(s->feed_read_ms[feed], as_of_ms);
}

/* Whether that changes the settings of a queue. */
static bool
set_queue(sched_t *s, const sched_queue_t *settings)
{
	queue_t *q = queue_get(s, settings->name);
	const char *service = g_intern_string(settings->service);

	if (q->configured && q->service == service &&
	    q->priority == settings->priority &&
	    q->max_attempts == settings->max_attempts &&
	    q->needs_approval == settings->needs_approval &&
	    memcmp(&q->approval_cost, &settings->approval_cost,
		sizeof(q->approval_cost)) == 0)
		return false;
	q->configured = true;
	q->service = service;
	q->priority = settings->priority;
	q->max_attempts = settings->max_attempts;
	q->needs_approval = settings->needs_approval;
	q->approval_cost = settings->approval_cost;
	return true;
}

void
sched_set_queues(
    sched_t *s, const sched_queue_t *list, size_t n, int64_t now_ms)
{
	bool changed = false;
	job_t *j;

	s->now_ms = now_ms;
	for (size_t i = 0; i < n; i++)
		changed |= set_queue(s, &list[i]);
	if (!changed)
		return;
	FOREACH_VALUE (j, s->jobs) {
		if (!j->queue->configured)
			continue;
		j->service = j->queue->service;
		j->priority = j->queue->priority;
		j->max_attempts = j->queue->max_attempts;
		j->needs_approval = j->queue->needs_approval;
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

		if (j->stage == JOB_OPEN)
			occurrence_add_due(s, j);
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
		customer_count_unseen(s);
		share_update(s);
		overload_update(s);
		admission_update(s);
		queue_resort(s);
		isolation_refresh(s);
		isolation_update_compatibility(s);
		stats_count_waiting_jobs(s);
		approval_expire_calls(s);
		serving_move_update(s, UPDATE_MS);
		starvation_update(s);
		scan_begin_round(s);
	}
	add_due_occurrences(s);
	if (s->start_pass_due && ownership_may_start_tasks(s))
		start_waiting_tasks(s);
	/* After a pass, so that what waits is not what has just become possible. */
	if (now_ms - s->stats_logged_ms >= STATS_LOG_MS) {
		s->stats_logged_ms = now_ms;
		stats_log(s);
		overload_log(s);
	}
	handover_update(s);
	poll_tick(s);
	purge_tick(s);
	tombstone_tick(s);
	flush_if_due(s);
	return s->start_pass_due || g_hash_table_size(s->dirty_jobs) > 0 ?
	    TICK_BUSY_MS :
	    TICK_MS;
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

const char *
sched_owner_name(const sched_t *s)
{
	return s->cell.row == NULL ? "" : s->cell.row->name;
}

bool
sched_has_released(const sched_t *s)
{
	return s->cell.state != CELL_OWNED && s->cell.release_sent;
}

bool
sched_is_loading(const sched_t *s)
{
	return s->cell.state == CELL_LOADING;
}
