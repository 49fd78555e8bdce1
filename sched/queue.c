/*
 * The order in which ready steps get room.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define LATE_TIMES  3	 /* a job counts as late up to so many objectives */
#define DENSITY_MS  1500 /* a job worth twice as much a second goes before */
#define DENSITY_MIN (-1.0)
#define DENSITY_MAX 2.0
#define FIXED_SHARE 0.3 /* of a job's worth, whatever its work */

/*
 * What comes first: short work that can be in time, then what lasts, as it
 * keeps its room for good; then other work in time; then work that is late
 * already, the shortest first; last what nobody waits for any more.
 */
static int
tier(const step_t *st)
{
	if (st->def->lasting)
		return 1;
	if (st->hopeless)
		return st->given_up ? 4 : 3;
	return st->def->filler ? 2 : 0;
}

static int
by_order(gconstpointer pa, gconstpointer pb, gpointer ctx)
{
	const step_t *a = pa, *b = pb;
	int32_t pri_a = a->occ->job->priority, pri_b = b->occ->job->priority;

	(void)ctx;
	if (tier(a) != tier(b))
		return tier(a) < tier(b) ? -1 : 1;
	if (pri_a != pri_b)
		return pri_a < pri_b ? -1 : 1;
	if (a->order_ms != b->order_ms)
		return a->order_ms < b->order_ms ? -1 : 1;
	return a < b ? -1 : a > b;
}

/* Processor time that a job still needs, in thousandths of a core x ms. */
static double
work_left(const occ_t *o)
{
	const Sched__Job *d = o->job->def;
	double sum = 0;

	for (size_t i = 0; i < d->n_steps; i++)
		sum += (double)(o->steps[i].ntasks - o->steps[i].done) *
		    (double)d->steps[i]->cpu_milli *
		    (double)d->steps[i]->estimate_ms;
	return MAX(1, sum);
}

/*
 * Worth of a job for each unit of the work it still needs, against that of a
 * mean job of its queue that has not begun.
 */
static double
density(const sched_t *s, const occ_t *o)
{
	const queue_t *q = g_hash_table_lookup(s->queues, o->job->queue);
	double mean =
	    q == NULL || q->mean_work <= 0 ? o->job->work : q->mean_work;

	return (FIXED_SHARE * mean + (1 - FIXED_SHARE) * o->job->work) /
	    work_left(o);
}

/* Works out by when a step must start for its job to be in time. */
static void
set_latest(sched_t *s, step_t *st)
{
	const occ_t *o = st->occ;
	int64_t tail = job_tail_ms(s, st);
	double more;

	st->latest_ms = o->due_ms + o->job->deadline_ms - tail;
	st->hopeless = st->latest_ms < s->wall;
	st->given_up =
	    o->due_ms + LATE_TIMES * o->job->deadline_ms - tail < s->wall;
	if (st->hopeless) {
		st->order_ms = tail;
		return;
	}
	more = CLAMP(density(s, o) - 1, DENSITY_MIN, DENSITY_MAX);
	st->order_ms = st->latest_ms - (int64_t)(more * DENSITY_MS);
}

void
queue_add(sched_t *s, step_t *st)
{
	if (st->it != NULL || st->waiting == 0 || !st->ready)
		return;
	set_latest(s, st);
	st->it = g_sequence_insert_sorted(s->ready, st, by_order, NULL);
	s->pump = true;
}

void
queue_drop(step_t *st)
{
	if (st->it != NULL)
		g_sequence_remove(st->it);
	st->it = NULL;
}

/* Orders anew, as time has passed and run times have been learned. */
void
queue_sort(sched_t *s)
{
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		set_latest(s, g_sequence_get(i));
	g_sequence_sort(s->ready, by_order, NULL);
}
