/*
 * Placement: which worker a task goes to.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

/*
 * Share of the processors held by serving tasks that they use at their
 * busiest; the rest is left to filler tasks.
 */
#define SERVING_USE_PCT 50
/* Score units are thousandths of a processor. */
#define COST_FAR    1000000 /* away from the data */
#define COST_FAILED 400000  /* each recent failure there */
#define COST_OPEN   600	    /* each percent of filler images allowed there */
#define COST_IMAGE  200000  /* a serving task beside another image */
#define COST_EMPTY  100000  /* ... on a worker that had none */
#define COST_HARM   400000  /* each unit of headroom it would lack */
#define COST_SLOW   2000000 /* its tasks come slowly */
#define COST_AVOID  4000000 /* the task failed there before */

static bool
has_label(const vm_t *w, const char *label)
{
	if (label[0] == '\0')
		return true;
	for (guint i = 0; i < w->labels->len; i++)
		if (strcmp(g_ptr_array_index(w->labels, i), label) == 0)
			return true;
	return false;
}

/* Tasks of the same step and occurrence on a worker. */
static int32_t
siblings(const vm_t *w, const step_t *st)
{
	GHashTableIter it;
	void *v;
	int32_t n = 0;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((run_t *)v)->task != NULL && ((run_t *)v)->holds &&
		    ((run_t *)v)->task->step == st;
	return n;
}

/* Processor time that filler tasks find on a worker. */
static int64_t
left_over(const vm_t *w)
{
	return w->cpu_milli - w->used_cpu +
	    w->serving_cpu * (100 - SERVING_USE_PCT) / 100;
}

static bool
has_room(const vm_t *w, const Sched__Step *d)
{
	if (w->used_mem + d->mem_mb > w->mem_mb ||
	    w->used_gpu + d->gpu > w->gpu)
		return false;
	if (d->filler)
		return w->filler_cpu + d->cpu_milli <= left_over(w);
	return w->used_cpu + d->cpu_milli <= w->cpu_milli;
}

static int64_t
score(const sched_t *s, const vm_t *w, const step_t *st, const task_t *t)
{
	const Sched__Step *d = st->def;
	int32_t images;
	int64_t sc = left_over(w) - w->filler_cpu;

	if (d->near_rack[0] != '\0' && strcmp(d->near_rack, w->rack) != 0)
		sc -= COST_FAR;
	sc -= w->fails * COST_FAILED;
	sc -= w->slow ? COST_SLOW : 0;
	if (w->id == t->avoid)
		sc -= COST_AVOID;
	/* Room where any filler may run is left to those that need it. */
	if (d->tail_target_ms == 0)
		sc -= w->open_pct * COST_OPEN;
	else if (d->tail_target_ms > 0) {
		/* Serving tasks of one image share few workers, so that the
		 * fillers which harm them find others. */
		double lacks = noise_serving_cost(s, w, st, &images);

		sc -= images * COST_IMAGE + (int64_t)(lacks * COST_HARM);
		sc -= w->serving == 0 ? COST_EMPTY : 0;
		sc -= 2 * left_over(w);
	}
	return sc;
}

bool
place_could(const sched_t *s, const vm_t *w, const step_t *st)
{
	return w->service == st->occ->job->service && vm_usable(s, w) &&
	    has_room(w, st->def) && has_label(w, st->def->label) &&
	    noise_allows(s, w, st);
}

/* The first tasks of a gang, for which workers have been found. */
typedef struct {
	vm_t **at;
	int32_t n;
} placed_t;

static int32_t
placed_on(const placed_t *p, const vm_t *w)
{
	int32_t n = 0;

	for (int32_t i = 0; i < p->n; i++)
		n += p->at[i] == w;
	return n;
}

/* The best worker for a task beside those of its gang; or NULL. */
static vm_t *
place_beside(sched_t *s, const step_t *st, const task_t *t, const char *rack,
    const placed_t *gang)
{
	vm_t *best = NULL;
	int64_t best_score = 0;
	char name[64];

	job_task_name(t, name, sizeof(name));
	for (guint i = 0; i < s->worker_list->len; i++) {
		vm_t *w = g_ptr_array_index(s->worker_list, i);
		int64_t sc;

		if (!place_could(s, w, st) || !advice_allows(s, st, w) ||
		    (rack != NULL && w->rack != rack))
			continue;
		sc = score(s, w, st, t);
		if (best != NULL && sc <= best_score)
			continue;
		if (st->def->per_worker > 0 &&
		    siblings(w, st) + placed_on(gang, w) >= st->def->per_worker)
			continue;
		/* An older run of the task is still being dealt with. */
		if (g_hash_table_contains(w->runs, name))
			continue;
		best = w;
		best_score = sc;
	}
	return best;
}

/* The best worker with room for a task, in a rack if one is named; or NULL. */
vm_t *
place_task(sched_t *s, const step_t *st, const task_t *t, const char *rack)
{
	placed_t none = { NULL, 0 };

	return place_beside(s, st, t, rack, &none);
}

/* Places all tasks of a gang; fills at and returns true when all fit. */
static bool
place_all(sched_t *s, const step_t *st, const char *rack, vm_t **at)
{
	placed_t p = { at, 0 };

	while (p.n < st->ntasks) {
		at[p.n] = place_beside(s, st, &st->tasks[p.n], rack, &p);
		if (at[p.n] == NULL)
			break;
		vm_take(at[p.n++], st, 1);
	}
	for (int32_t i = 0; i < p.n; i++)
		vm_take(at[i], st, -1);
	return p.n == st->ntasks;
}

bool
place_gang(sched_t *s, const step_t *st, vm_t **at)
{
	g_autoptr(GHashTable) racks = NULL;

	if (!st->def->same_rack)
		return place_all(s, st, NULL, at);
	racks = g_hash_table_new(g_direct_hash, g_direct_equal);
	if (st->def->near_rack[0] != '\0' &&
	    place_all(s, st, g_intern_string(st->def->near_rack), at))
		return true;
	for (guint i = 0; i < s->worker_list->len; i++) {
		vm_t *w = g_ptr_array_index(s->worker_list, i);

		if (g_hash_table_add(racks, (void *)w->rack) &&
		    place_all(s, st, w->rack, at))
			return true;
	}
	return false;
}
