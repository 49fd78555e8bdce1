/*
 * The core of the simulation: events in virtual time, random numbers, jobs and
 * the ground truth of their tasks.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

static gint
by_time(gconstpointer pa, gconstpointer pb, gpointer ctx)
{
	const event_t *a = pa, *b = pb;

	(void)ctx;
	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms ? -1 : 1;
	return a->seq < b->seq ? -1 : 1;
}

void
world_schedule(world_t *w, int64_t ms, void (*fn)(world_t *, void *), void *arg)
{
	event_t *e = g_new0(event_t, 1);

	e->at_ms = w->now_ms + MAX(0, ms);
	e->seq = ++w->last_event_seq;
	e->fn = fn;
	e->arg = arg;
	g_sequence_insert_sorted(w->events, e, by_time, NULL);
}

int64_t
world_next_event_ms(const world_t *w)
{
	GSequenceIter *i = g_sequence_get_begin_iter(w->events);

	return g_sequence_iter_is_end(i) ?
	    INT64_MAX :
	    ((const event_t *)g_sequence_get(i))->at_ms;
}

void
world_run_until(world_t *w, int64_t until_ms)
{
	while (w->violated_check == NULL) {
		GSequenceIter *i = g_sequence_get_begin_iter(w->events);
		event_t *e, copy;

		if (g_sequence_iter_is_end(i))
			break;
		e = g_sequence_get(i);
		if (e->at_ms > until_ms)
			break;
		copy = *e;
		g_sequence_remove(i);
		w->now_ms = copy.at_ms;
		copy.fn(w, copy.arg);
	}
	if (w->violated_check == NULL)
		w->now_ms = MAX(w->now_ms, until_ms);
}

void
world_fail(world_t *w, const char *check, const char *fmt, ...)
{
	va_list ap;

	if (w->violated_check != NULL)
		return;
	w->violated_check = check;
	va_start(ap, fmt);
	vsnprintf(w->violation_detail, sizeof(w->violation_detail), fmt, ap);
	va_end(ap);
}

int32_t
world_fixed_choice(const world_t *w, int32_t from, int32_t to)
{
	return from + (int32_t)((int64_t)(to - from) * w->choice_pct / 100);
}

bool
world_chance(world_t *w, double p)
{
	if (w->fixed_choices)
		return p >= 1;
	return g_rand_double(w->rand) < p;
}

int32_t
world_random_int(world_t *w, int32_t from, int32_t to)
{
	if (w->fixed_choices)
		return world_fixed_choice(w, from, to);
	return g_rand_int_range(w->rand, from, to + 1);
}

ground_truth_t *
world_ground_truth(world_t *w, const char *task)
{
	ground_truth_t *truth = g_hash_table_lookup(w->ground_truth, task);

	if (truth == NULL) {
		truth = g_new0(ground_truth_t, 1);
		g_hash_table_insert(w->ground_truth, g_strdup(task), truth);
	}
	return truth;
}

static void
job_free(void *p)
{
	sim_job_t *job = p;

	sched__job__free_unpacked(job->def, NULL);
	g_free(job);
}

static void
row_free(void *p)
{
	row_t *r = p;

	g_free(r->key);
	g_byte_array_unref(r->bytes);
	g_free(r);
}

world_t *
world_new(uint64_t seed, int32_t nentries, int32_t nworkers)
{
	world_t *w = g_new0(world_t, 1);

	w->seed = seed;
	w->rand = g_rand_new_with_seed((guint32)seed);
	w->now_ms = 1000;
	w->events = g_sequence_new(g_free);
	w->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	w->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	w->ground_truth =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->evacuated_since =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	w->store_latency_ms = STORE_LATENCY_MS;
	w->nentries = nentries;
	w->nworkers = nworkers;
	customers_init(w);
	for (int32_t i = 0; i < nworkers; i++) {
		sim_worker_t *wk = &w->workers[i];

		wk->index = i;
		g_snprintf(wk->id, sizeof(wk->id), "w%d", i);
		g_strlcpy(wk->address, wk->id, sizeof(wk->address));
		wk->new_ids = seed % 4 < 2;
		g_snprintf(wk->zone, sizeof(wk->zone), "z%d", i % 3);
		wk->cpu_milli = 16000;
		wk->mem_mb = 64000;
		wk->guards_capacity = seed % 2 == 0;
		wk->clock_rate = 1 - g_rand_double(w->rand) * 0.02;
		worker_boot(w, wk);
	}
	for (int32_t i = 0; i < nentries; i++) {
		sim_entry_t *en = &w->entries[i];

		en->world = w;
		en->index = i;
		g_snprintf(en->name, sizeof(en->name), "e%d", i);
		entry_boot(w, en);
	}
	return w;
}

void
world_free(world_t *w)
{
	for (int32_t i = 0; i < w->nentries; i++)
		if (w->entries[i].up)
			sched_free(w->entries[i].sched);
	for (int32_t i = 0; i < w->nworkers; i++) {
		g_ptr_array_unref(w->workers[i].runs);
		g_ptr_array_unref(w->workers[i].ended);
		g_ptr_array_unref(w->workers[i].former_ids);
		g_hash_table_unref(w->workers[i].highest_rejected_run);
	}
	g_sequence_free(w->events);
	g_hash_table_unref(w->rows);
	g_hash_table_unref(w->jobs);
	g_hash_table_unref(w->ground_truth);
	g_hash_table_unref(w->evacuated_since);
	g_rand_free(w->rand);
	customers_free(w);
	handover_free(w);
	sim_overload_free(w);
	idle_check_free(w);
	down_check_free(w);
	sim_lasting_free(w);
	sim_failing_free(w);
	sim_approval_free(w);
	restarts_free(w);
	weak_entries_free(w);
	g_free(w);
}

Sched__Job
world_job_def(
    const world_t *w, const char *queue, Sched__Step **steps, size_t nsteps)
{
	Sched__Job d = SCHED__JOB__INIT;

	d.queue = (char *)queue;
	d.service = "s";
	d.spec = "x";
	d.accepted_ms = w->now_ms;
	d.max_attempts = 2; /* as entry.c sets it for the queue */
	d.stretch = 2;
	d.target_ms = 1000;
	d.steps = steps;
	d.n_steps = nsteps;
	return d;
}

sim_job_t *
world_submit(world_t *w, const Sched__Job *def, bool always_fails)
{
	sim_job_t *job = g_new0(sim_job_t, 1);
	size_t n = sched__job__get_packed_size(def);
	uint8_t *b = g_malloc(n);

	snprintf(job->id, sizeof(job->id), "%016" PRIx64,
	    (uint64_t)(g_hash_table_size(w->jobs) + 1) * 7919);
	sched__job__pack(def, b);
	job->def = sched__job__unpack(NULL, n, b);
	job->always_fails = always_fails;
	job->deadly_index = -1;
	job->accepted_ms = w->now_ms;
	g_hash_table_insert(w->jobs, job->id, job);
	store_put_row(w, job->id, b, n);
	g_free(b);
	return job;
}

void
world_cancel(world_t *w, const char *id)
{
	sim_job_t *job = g_hash_table_lookup(w->jobs, id);
	g_autofree char *key = g_strconcat(id, SCHED_KEY_CANCEL, NULL);

	if (job == NULL || job->cancelled)
		return;
	job->cancelled = true;
	job->cancelled_ms = w->now_ms;
	store_put_row(w, key, "c", 1);
}

void
world_set_evacuated(world_t *w, const char *zone, bool evacuated)
{
	int64_t *since;

	if (!evacuated) {
		g_hash_table_remove(w->evacuated_since, zone);
	} else if (!g_hash_table_contains(w->evacuated_since, zone)) {
		since = g_new(int64_t, 1);
		*since = w->now_ms;
		g_hash_table_insert(
		    w->evacuated_since, (void *)g_intern_string(zone), since);
	}
	for (int32_t i = 0; i < w->nentries; i++)
		world_send_zones(w, &w->entries[i]);
}

void
world_send_zones(world_t *w, sim_entry_t *en)
{
	static const char *const zones[] = { "z0", "z1", "z2" };

	for (size_t i = 0; en->up && !en->paused && i < G_N_ELEMENTS(zones);
	     i++)
		sched_set_zone_evacuated(en->sched, zones[i],
		    g_hash_table_contains(w->evacuated_since, zones[i]),
		    w->now_ms);
}
