/*
 * The world: events in virtual time, jobs, and what is true of their tasks.
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
world_after(world_t *w, int64_t ms, void (*fn)(world_t *, void *), void *arg)
{
	event_t *e = g_new0(event_t, 1);

	e->at_ms = w->now_ms + MAX(0, ms);
	e->seq = ++w->seq;
	e->fn = fn;
	e->arg = arg;
	g_sequence_insert_sorted(w->events, e, by_time, NULL);
}

void
world_run(world_t *w, int64_t until_ms)
{
	while (w->failed == NULL) {
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
	if (w->failed == NULL)
		w->now_ms = MAX(w->now_ms, until_ms);
}

void
world_fail(world_t *w, const char *check, const char *fmt, ...)
{
	va_list ap;

	if (w->failed != NULL)
		return;
	w->failed = check;
	va_start(ap, fmt);
	vsnprintf(w->detail, sizeof(w->detail), fmt, ap);
	va_end(ap);
}

bool
world_chance(world_t *w, double p)
{
	return g_rand_double(w->rand) < p;
}

int32_t
world_int(world_t *w, int32_t from, int32_t to)
{
	return g_rand_int_range(w->rand, from, to + 1);
}

truth_t *
world_truth(world_t *w, const char *task)
{
	truth_t *t = g_hash_table_lookup(w->truth, task);

	if (t == NULL) {
		t = g_new0(truth_t, 1);
		g_hash_table_insert(w->truth, g_strdup(task), t);
	}
	return t;
}

static void
free_job(void *p)
{
	sim_job_t *j = p;

	sched__job__free_unpacked(j->def, NULL);
	g_free(j);
}

static void
free_row(void *p)
{
	row_t *r = p;

	g_free(r->key);
	g_byte_array_unref(r->bytes);
	g_free(r);
}

world_t *
world_new(uint64_t seed, int32_t nodes, int32_t vms)
{
	world_t *w = g_new0(world_t, 1);

	w->seed = seed;
	w->rand = g_rand_new_with_seed((guint32)seed);
	w->now_ms = 1000;
	w->events = g_sequence_new(g_free);
	w->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	w->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
	w->truth =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->out = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	w->store_ms = 4;
	w->nnodes = nodes;
	w->nvms = vms;
	for (int32_t i = 0; i < vms; i++) {
		sim_vm_t *v = &w->vms[i];

		v->index = i;
		g_snprintf(v->id, sizeof(v->id), "w%d", i);
		g_snprintf(v->zone, sizeof(v->zone), "z%d", i % 3);
		v->cpu_milli = 16000;
		v->mem_mb = 64000;
		v->rate = 1 - g_rand_double(w->rand) * 0.02;
		vm_boot(w, v);
	}
	for (int32_t i = 0; i < nodes; i++) {
		sim_node_t *n = &w->nodes[i];

		n->w = w;
		n->index = i;
		g_snprintf(n->name, sizeof(n->name), "e%d", i);
		node_boot(w, n);
	}
	return w;
}

void
world_free(world_t *w)
{
	for (int32_t i = 0; i < w->nnodes; i++)
		if (w->nodes[i].up)
			sched_free(w->nodes[i].s);
	for (int32_t i = 0; i < w->nvms; i++) {
		g_ptr_array_unref(w->vms[i].runs);
		g_ptr_array_unref(w->vms[i].ends);
		g_hash_table_unref(w->vms[i].refused);
	}
	g_sequence_free(w->events);
	g_hash_table_unref(w->rows);
	g_hash_table_unref(w->jobs);
	g_hash_table_unref(w->truth);
	g_hash_table_unref(w->out);
	g_rand_free(w->rand);
	g_free(w);
}

/* Stores a job's row, as an entry does before it accepts. */
const char *
world_submit(world_t *w, const Sched__Job *def, bool poison)
{
	sim_job_t *j = g_new0(sim_job_t, 1);
	size_t n = sched__job__get_packed_size(def);
	uint8_t *b = g_malloc(n);

	snprintf(j->id, sizeof(j->id), "%016" PRIx64,
	    (uint64_t)(g_hash_table_size(w->jobs) + 1) * 7919);
	sched__job__pack(def, b);
	j->def = sched__job__unpack(NULL, n, b);
	j->poison = poison;
	j->accepted_ms = w->now_ms;
	g_hash_table_insert(w->jobs, j->id, j);
	store_put(w, j->id, b, n);
	g_free(b);
	return j->id;
}

void
world_cancel(world_t *w, const char *id)
{
	sim_job_t *j = g_hash_table_lookup(w->jobs, id);
	g_autofree char *key = g_strconcat(id, SCHED_KEY_CANCEL, NULL);

	if (j == NULL || j->cancelled)
		return;
	j->cancelled = true;
	j->cancel_ms = w->now_ms;
	store_put(w, key, "c", 1);
}

void
world_evacuate(world_t *w, const char *zone, bool out)
{
	int64_t *since;

	if (!out) {
		g_hash_table_remove(w->out, zone);
	} else if (!g_hash_table_contains(w->out, zone)) {
		since = g_new(int64_t, 1);
		*since = w->now_ms;
		g_hash_table_insert(
		    w->out, (void *)g_intern_string(zone), since);
	}
	for (int32_t i = 0; i < w->nnodes; i++)
		world_tell_zones(w, &w->nodes[i]);
}

/* An entry follows the operators' table, but for while it is frozen. */
void
world_tell_zones(world_t *w, sim_node_t *n)
{
	static const char *const zones[] = { "z0", "z1", "z2" };

	for (size_t i = 0; n->up && !n->frozen && i < G_N_ELEMENTS(zones); i++)
		sched_set_zone_evacuated(n->s, zones[i],
		    g_hash_table_contains(w->out, zones[i]), w->now_ms);
}
