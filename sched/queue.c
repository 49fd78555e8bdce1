/*
 * The order in which ready steps get room.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "part.h"

static int
by_order(gconstpointer pa, gconstpointer pb, gpointer ctx)
{
	const step_t *a = pa, *b = pb;
	int32_t pri_a = a->occ->job->priority, pri_b = b->occ->job->priority;

	(void)ctx;
	if (a->def->lasting != b->def->lasting)
		return a->def->lasting ? -1 : 1;
	if (a->hopeless != b->hopeless)
		return a->hopeless ? 1 : -1;
	if (pri_a != pri_b)
		return pri_a < pri_b ? -1 : 1;
	if (a->latest_ms != b->latest_ms)
		return a->latest_ms < b->latest_ms ? -1 : 1;
	return a < b ? -1 : a > b;
}

/* Works out by when a step must start for its job to be in time. */
static void
set_latest(sched_t *s, step_t *st)
{
	const occ_t *o = st->occ;
	int64_t tail = job_tail_ms(s, st);

	st->latest_ms = o->due_ms + o->job->deadline_ms - tail;
	st->hopeless = st->latest_ms < s->wall;
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

/* Time until the waiting filler work of a service has been done. */
int64_t
queue_backlog_ms(const sched_t *s, const char *service)
{
	double work = 0, room = 0;

	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready);
	    !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		if (st->occ->job->service == service && !st->def->lasting)
			work += (double)st->waiting * st->def->cpu_milli *
			    st->def->estimate_ms;
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		const vm_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->service == service && w->listed && !w->silent)
			room += w->cpu_milli;
	}
	return room > 0 ? (int64_t)(work / room) : 0;
}
