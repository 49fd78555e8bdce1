/*
 * What a cell has and does, as figures.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

/* Counts the jobs of each queue that have not begun. */
void
load_count_waiting(sched_t *s)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->queues);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((queue_t *)v)->waiting = 0;
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const job_t *j = v;

		if (!j->begun && j->stage == JOB_OPEN)
			queue_get(s, j->queue)->waiting++;
	}
}

/* A line a second on what the cell has and does. */
void
load_log(sched_t *s)
{
	int64_t waiting = 0, hopeless = 0, cpu = 0, used = 0, filler = 0;
	int32_t usable = 0, slowed = 0;
	GHashTableIter it;
	void *v;

	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		waiting += st->waiting;
		hopeless += st->hopeless ? st->waiting : 0;
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		const vm_t *w = g_ptr_array_index(s->worker_list, i);

		usable += vm_usable(s, w);
		cpu += w->cpu_milli;
		used += w->used_cpu;
		filler += w->filler_cpu;
	}
	g_hash_table_iter_init(&it, s->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		slowed += ((run_t *)v)->pace_want < 100;
	LOG(s, SCHED_EVT_LOAD, "cell",
	    "jobs=%u runs=%u waiting=%d hopeless=%d workers=%u usable=%d "
	    "cpu=%d used=%d filler=%d slowed=%d accounted=%d",
	    g_hash_table_size(s->jobs), g_hash_table_size(s->runs),
	    (int)waiting, (int)hopeless, s->worker_list->len, usable,
	    (int)(cpu / 1000), (int)(used / 1000), (int)(filler / 1000), slowed,
	    s->cell.accounted);
}

int32_t
sched_waiting_jobs(const sched_t *s, const char *queue)
{
	const Sched__Owner *o = s->cell.row;

	if (sched_is_owner(s)) {
		const queue_t *q = g_hash_table_lookup(s->queues, queue);

		return q == NULL ? 0 : q->waiting;
	}
	for (size_t i = 0; o != NULL && i < o->n_waiting; i++)
		if (strcmp(o->waiting[i]->queue, queue) == 0)
			return o->waiting[i]->jobs;
	return 0;
}

sched_stats_t
sched_stats(const sched_t *s)
{
	sched_stats_t st = s->stats;

	st.jobs = g_hash_table_size(s->jobs);
	st.running = g_hash_table_size(s->runs);
	st.workers = s->worker_list->len;
	st.queued = g_sequence_get_length(s->ready);
	return st;
}
