/*
 * The scheduler of a cell: its inputs, and what is due.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define SORT_MS	     250  /* between orderings of the queue */
#define LOAD_MS	     1000 /* between lines on the load */
#define TICK_MS	     50	  /* longest time between two ticks */
#define TICK_SOON_MS 5	  /* while tasks can be started */

static void
job_gone(sched_t *s, job_t *j)
{
	g_hash_table_remove(s->dirty, j);
	g_ptr_array_remove(s->timed, j);
	job_free(j);
}

static void
on_job_free(void *p)
{
	job_t *j = p;

	job_gone(j->sched, j);
}

static void
free_progress(void *p)
{
	sched__progress__free_unpacked(p, NULL);
}

sched_t *
sched_new(const sched_opts_t *o)
{
	sched_t *s = g_new0(sched_t, 1);

	s->o = *o;
	s->ready = g_sequence_new(NULL);
	s->dirty = g_hash_table_new(NULL, NULL);
	s->timed = g_ptr_array_new();
	s->flushing = g_ptr_array_new();
	s->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, on_job_free);
	s->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	s->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_free);
	s->worker_list = g_ptr_array_new();
	s->runs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, run_free);
	s->images = g_hash_table_new(g_str_hash, g_str_equal);
	s->progress = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_progress);
	s->ended = purge_new();
	s->advising = advice_calls_new();
	s->zones = g_hash_table_new(g_direct_hash, g_direct_equal);
	return s;
}

void
sched_free(sched_t *s)
{
	g_hash_table_unref(s->runs);
	g_hash_table_unref(s->jobs);
	g_hash_table_unref(s->workers);
	g_ptr_array_unref(s->worker_list);
	g_hash_table_unref(s->queues);
	for (int32_t i = 0; i < IMAGES_MAX; i++)
		g_free(s->harm[i]);
	g_hash_table_unref(s->images);
	g_hash_table_unref(s->progress);
	g_hash_table_unref(s->ended);
	g_hash_table_unref(s->advising);
	g_hash_table_unref(s->zones);
	g_hash_table_unref(s->dirty);
	g_ptr_array_unref(s->timed);
	g_ptr_array_unref(s->flushing);
	g_sequence_free(s->ready);
	if (s->cell.row != NULL)
		sched__owner__free_unpacked(s->cell.row, NULL);
	g_free(s);
}

void
sched_owner_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms)
{
	s->now = now_ms;
	cell_row(s, row);
}

void
sched_claim_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms)
{
	s->now = now_ms;
	cell_claimed(s, r, version);
}

/*
 * Jobs.
 */
static void
add_job(sched_t *s, const char *id, const sched_row_t *row)
{
	Sched__Job *def = sched__job__unpack(NULL, row->nbytes, row->bytes);
	const char *why = "does not unpack";
	const Sched__Progress *p;
	job_t *j;

	if (def == NULL || !sched_job_valid(def, &why)) {
		LOG(s, SCHED_EVT_JOB_BAD, id, "why=\"%s\" version=%" PRId64,
		    why, row->version);
		if (def != NULL)
			sched__job__free_unpacked(def, NULL);
		return;
	}
	j = job_new(s, id, def);
	j->after_claim = row->version > s->cell.token;
	g_hash_table_insert(s->jobs, j->id, j);
	if (def->repeats > 0)
		g_ptr_array_add(s->timed, j);
	p = g_hash_table_lookup(s->progress, id);
	if (p != NULL)
		job_progress(j, p);
	LOG(s, SCHED_EVT_JOB_SEEN, id,
	    "queue=%s steps=%zu version=%" PRId64 " age=%" PRId64, j->queue,
	    def->n_steps, row->version, s->wall - def->accepted_ms);
	if (s->cell.state == CELL_OWNED && def->repeats == 0)
		run_step_ready(s, g_ptr_array_index(j->occs, 0));
}

static void
cancel_job(sched_t *s, job_t *j)
{
	if (j->cancelled)
		return;
	j->cancelled = true;
	LOG(s, SCHED_EVT_JOB_CANCEL, j->id, "runs=%d", j->runs);
	if (s->cell.state == CELL_OWNED)
		run_job_end(s, j, SCHED__STATE__CANCELLED);
}

/* Keeps what a job has done until its own row is read, or that it has ended. */
static void
add_progress(sched_t *s, const char *id, const sched_row_t *row)
{
	Sched__Progress *p;

	p = sched__progress__unpack(NULL, row->nbytes, row->bytes);
	if (p == NULL) {
		LOG(s, SCHED_EVT_JOB_BAD, id,
		    "why=\"progress does not unpack\"");
		return;
	}
	if (p->state == SCHED__STATE__RUNNING) {
		g_hash_table_insert(s->progress, g_strdup(id), p);
		return;
	}
	purge_add(s, id, p->ended_ms);
	sched__progress__free_unpacked(p, NULL);
}

static void
add_footprint(sched_t *s, const sched_row_t *row)
{
	Sched__Footprint *f;

	f = sched__footprint__unpack(NULL, row->nbytes, row->bytes);
	if (f == NULL)
		return;
	flush_footprint(s, f);
	sched__footprint__free_unpacked(f, NULL);
}

void
sched_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms)
{
	char id[SCHED_JOB_ID_BYTES + 1];
	bool loading = s->cell.state == CELL_LOADING;
	const char *kind;
	job_t *j;

	s->now = now_ms;
	if (!loading && s->cell.state != CELL_OWNED)
		return;
	if (g_str_has_prefix(row->key, SCHED_KEY_FOOTPRINT)) {
		if (loading && row->bytes != NULL)
			add_footprint(s, row);
		return;
	}
	if (strcmp(row->key, SCHED_KEY_INTERFERENCE) == 0) {
		if (loading && row->bytes != NULL)
			recall_row(s, row);
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
			add_progress(s, id, row);
	} else if (kind[0] == '\0' && j == NULL &&
	    !g_hash_table_contains(s->ended, id))
		add_job(s, id, row);
	else if (j != NULL && strcmp(kind, SCHED_KEY_CANCEL) == 0)
		cancel_job(s, j);
}

static void
begin_job(sched_t *s, job_t *j)
{
	if (j->cancelled) {
		run_job_end(s, j, SCHED__STATE__CANCELLED);
		return;
	}
	for (guint i = 0; i < j->occs->len; i++) {
		occ_t *o = g_ptr_array_index(j->occs, i);

		if (j->def->repeats == 0 || o->due_ms <= s->wall)
			run_step_ready(s, o);
	}
	if (j->occs_ended >= MAX(1, j->def->repeats))
		run_job_end(s, j, SCHED__STATE__COMPLETED);
}

void
sched_load_done(sched_t *s, int64_t now_ms)
{
	g_autoptr(GList) all = g_hash_table_get_values(s->jobs);

	s->now = now_ms;
	cell_loaded(s);
	g_hash_table_remove_all(s->progress);
	if (s->cell.state != CELL_OWNED)
		return;
	for (GList *i = all; i != NULL; i = i->next)
		begin_job(s, i->data);
	load_count_waiting(s);
	for (guint i = 0; i < s->worker_list->len; i++)
		((vm_t *)g_ptr_array_index(s->worker_list, i))->look_next_ms =
		    now_ms;
}

void
sched_write_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms)
{
	s->now = now_ms;
	flush_done(s, r, version);
	if (r == SCHED_WRITE_OK && s->cell.release_sent &&
	    s->cell.state == CELL_OWNED) {
		LOG(s, SCHED_EVT_RELEASED, "cell", "token=%" PRId64,
		    s->cell.token);
		cell_lost(s, "released");
	}
}

/*
 * Workers.
 */
void
sched_worker_listed(sched_t *s, const sched_worker_info_t *i, int64_t now_ms)
{
	vm_t *w = vm_get(s, i->id);

	s->now = now_ms;
	if (!w->listed || w->draining != i->draining ||
	    w->born_ms != i->born_ms)
		LOG(s, SCHED_EVT_WORKER, i->id,
		    "zone=%s draining=%d born=%" PRId64 " was=%" PRId64,
		    i->zone, i->draining, i->born_ms, w->born_ms);
	if (i->born_ms != 0 && i->born_ms > w->born_ms) {
		vm_reborn(s, w, i->born_ms);
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
	w->listed = w->swept = true;
	s->pump = true;
}

void
sched_worker_left(sched_t *s, const char *id, int64_t now_ms)
{
	vm_t *w = g_hash_table_lookup(s->workers, id);

	s->now = now_ms;
	if (w == NULL || !w->listed)
		return;
	w->listed = false;
	LOG(s, SCHED_EVT_WORKER, id, "left runs=%u",
	    g_hash_table_size(w->runs));
}

void
sched_worker_list_read(sched_t *s, int64_t now_ms)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		vm_t *w = g_ptr_array_index(s->worker_list, i);

		if (!w->swept)
			sched_worker_left(s, w->id, now_ms);
		w->swept = false;
	}
}

void
sched_set_zone_evacuated(
    sched_t *s, const char *zone, bool evacuated, int64_t now_ms)
{
	void *z = (void *)g_intern_string(zone);

	s->now = now_ms;
	if (g_hash_table_contains(s->zones, z) == evacuated)
		return;
	LOG(s, SCHED_EVT_ZONE, zone, "evacuated=%d", evacuated);
	if (evacuated)
		g_hash_table_add(s->zones, z);
	else
		g_hash_table_remove(s->zones, z);
	s->pump = true;
}

void
sched_store_clock_read(sched_t *s, int64_t store_ms, int64_t now_ms)
{
	s->now = now_ms;
	s->store_off_ms = store_ms - now_ms;
}

void
sched_feed_read(sched_t *s, sched_feed_t feed, int64_t now_ms)
{
	s->now = now_ms;
	s->fed_ms[feed] = now_ms;
}

void
sched_set_queue(sched_t *s, const char *queue, const char *service,
    int32_t priority, int32_t max_attempts, bool advised, int64_t now_ms)
{
	queue_t *q = queue_get(s, queue);
	GHashTableIter it;
	void *v;

	s->now = now_ms;
	q->known = true;
	q->service = g_intern_string(service);
	q->priority = priority;
	q->max_attempts = max_attempts;
	q->advised = advised;
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		job_t *j = v;

		if (j->queue != q->name)
			continue;
		j->service = q->service;
		j->priority = priority;
		j->max_attempts = max_attempts;
		j->advised = advised;
	}
	s->pump = true;
}

void
sched_order_done(sched_t *s, uint64_t id, sched_order_result_t r,
    int64_t clock_ms, int64_t now_ms)
{
	run_t *run = g_hash_table_lookup(s->runs, &id);

	s->now = now_ms;
	if (run != NULL && s->cell.state == CELL_OWNED)
		run_order_done(s, run, r, clock_ms);
}

/* Occurrences whose time has come. */
static void
tick_timed(sched_t *s)
{
	for (guint i = 0; i < s->timed->len; i++) {
		job_t *j = g_ptr_array_index(s->timed, i);

		if (j->stage != JOB_OPEN)
			continue;
		while (j->occs_due < j->def->repeats &&
		    j->def->first_ms + j->occs_due * j->def->interval_ms <=
			s->wall)
			run_step_ready(s, job_occ(j, j->occs_due++));
	}
}

int32_t
sched_tick(sched_t *s, int64_t now_ms, int64_t wall_ms)
{
	s->now = now_ms;
	s->wall = wall_ms;
	cell_tick(s);
	if (s->cell.state != CELL_OWNED)
		return TICK_MS;
	if (now_ms - s->sort_ms >= SORT_MS) {
		s->sort_ms = now_ms;
		queue_sort(s);
		harm_solve(s);
		noise_openness(s);
		load_count_waiting(s);
		advice_tick(s);
		s->pump = true;
	}
	if (now_ms - s->load_ms >= LOAD_MS) {
		s->load_ms = now_ms;
		load_log(s);
	}
	tick_timed(s);
	if (s->pump && cell_acts(s))
		run_waiting(s);
	for (guint i = 0; i < s->worker_list->len; i++)
		look_tick(s, g_ptr_array_index(s->worker_list, i));
	purge_tick(s);
	flush_due(s);
	return s->pump || g_hash_table_size(s->dirty) > 0 ? TICK_SOON_MS :
							    TICK_MS;
}

bool
sched_begin_release(sched_t *s, int64_t now_ms)
{
	s->now = now_ms;
	s->cell.releasing = true;
	return s->cell.state == CELL_FOLLOWING;
}

void
sched_set_store_outage(
    sched_t *s, bool for_all, int64_t last_ms, int64_t now_ms)
{
	s->now = now_ms;
	cell_outage(s, for_all, last_ms);
}

void
sched_set_claim_delay(sched_t *s, int32_t ms)
{
	s->cell.handicap_ms = ms;
}

void
sched_set_successor(sched_t *s, const char *name)
{
	s->cell.heir = g_intern_string(name);
}

void
sched_process_paused(sched_t *s, int64_t now_ms)
{
	s->now = now_ms;
	if (s->cell.state == CELL_OWNED)
		s->cell.paused = true;
}

bool
sched_is_owner(const sched_t *s)
{
	return s->cell.state == CELL_OWNED;
}
