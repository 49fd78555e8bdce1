/*
 * Batch runs that are stopped to make room for a lasting task on its nominated worker:
 * fillers where memory or accelerators are short, others where processors are, too; those
 * that began last first, as least is lost with them.  Gangs are not stopped.
 */
#include <inttypes.h>
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
#include "down.h"

/* Whether a run can be stopped to make room for a lasting task. */
static bool
can_preempt(const run_t *r)
{
	return room_ends_soon(r, true) && r->state == RUN_RUNNING &&
	    !r->unwanted && !r->task->step->def->gang;
}

/* Sorts runs by what is lost if they are stopped, the least first. */
static gint
compare_ages(gconstpointer pa, gconstpointer pb)
{
	const run_t *a = *(run_t *const *)pa, *b = *(run_t *const *)pb;

	if (a->state_since_ms != b->state_since_ms)
		return a->state_since_ms > b->state_since_ms ? -1 : 1;
	return g_strcmp0(a->name, b->name);
}

/* The runs on a worker that can be stopped; to be freed. */
static GPtrArray *
find_victims(const worker_t *w)
{
	GPtrArray *all = g_ptr_array_new();
	run_t *r;

	FOREACH_VALUE (r, w->runs)
		if (can_preempt(r))
			g_ptr_array_add(all, r);
	g_ptr_array_sort(all, compare_ages);
	return all;
}

/* Amounts that are missing on a worker; at most 0: none. */
typedef struct {
	int64_t cpu_milli, mem_mb, gpu;
} missing_t;

static missing_t
missing(const worker_t *w)
{
	return (missing_t){ .cpu_milli = w->used_cpu_milli - w->cpu_milli,
		.mem_mb = w->used_mem_mb - w->mem_mb,
		.gpu = w->used_gpu - w->gpu };
}

static bool
is_missing(const missing_t *m)
{
	return m->cpu_milli > 0 || m->mem_mb > 0 || m->gpu > 0;
}

bool
preempt_is_short(const worker_t *w)
{
	missing_t m = missing(w);

	return is_missing(&m);
}

/* Takes what a run holds from what is missing. */
static void
take_run(const run_t *r, missing_t *m)
{
	const Sched__Step *d = r->task->step->def;

	m->cpu_milli -= d->filler ? 0 : d->cpu_milli;
	m->mem_mb -= d->mem_mb;
	m->gpu -= d->gpu;
}

/*
 * Whether a run leaves what it holds in time: it is stopped, or will be able to be, if it
 * does not end.
 */
static bool
gives_way(const run_t *r)
{
	return r->holds_resources &&
	    (r->state == RUN_STOPPING ||
		(room_ends_soon(r, true) && !r->task->step->def->gang));
}

/* Stops batch runs until nothing is missing on their worker. */
static void
stop_until_enough(sched_t *s, const worker_t *w, missing_t m)
{
	g_autoptr(GPtrArray) victims = find_victims(w);
	const run_t *r;

	FOREACH_VALUE (r, w->runs)
		if (r->state == RUN_STOPPING && r->holds_resources)
			take_run(r, &m);
	for (guint i = 0; i < victims->len; i++) {
		run_t *v = g_ptr_array_index(victims, i);
		const Sched__Step *d = v->task->step->def;

		if (!((m.cpu_milli > 0 && !d->filler && d->cpu_milli > 0) ||
			(m.mem_mb > 0 && d->mem_mb > 0) ||
			(m.gpu > 0 && d->gpu > 0)))
			continue;
		take_run(v, &m);
		run_stop(s, v, "makes room for a lasting task");
	}
}

bool
preempt_make_room(sched_t *s, const worker_t *w)
{
	missing_t left = missing(w);
	const run_t *r;

	FOREACH_VALUE (r, w->runs)
		if (gives_way(r))
			take_run(r, &left);
	if (is_missing(&left))
		return false;
	stop_until_enough(s, w, missing(w));
	return true;
}
