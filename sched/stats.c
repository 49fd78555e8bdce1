/*
 * Counters of a cell: waiting jobs by queue, the periodic load event, metrics.
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

/* Older numbers of waiting jobs are not given. */
#define WAITING_LIMIT_MS 3500

/* Counts the open jobs of each queue that have not started. */
void
stats_count_waiting_jobs(sched_t *s)
{
	queue_t *q;
	const job_t *j;

	FOREACH_VALUE (q, s->queues)
		q->waiting_jobs = 0;
	FOREACH_VALUE (j, s->jobs) {
		if (!j->started && j->stage == JOB_OPEN)
			j->queue->waiting_jobs++;
	}
}

/* What the load event says of waiting tasks. */
typedef struct {
	int64_t waiting, past_target, isolated, quota_blocked;
	downtime_t down;
} waiting_t;

/* Counts the waiting tasks; those by reason and the longest wait into s->stats. */
static waiting_t
count_waiting(sched_t *s)
{
	waiting_t c = { 0 };

	memset(s->stats.waiting_tasks, 0, sizeof(s->stats.waiting_tasks));
	s->stats.longest_idle_ms = 0;
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		c.waiting += st->nwaiting;
		c.past_target += st->misses_target ? st->nwaiting : 0;
		c.isolated += st->isolated ? st->nwaiting : 0;
		c.quota_blocked += st->quota_held ? st->nwaiting : 0;
		s->stats.waiting_tasks[wait_reason_of(s, st)] += st->nwaiting;
		downtime_count(s, st, &c.down);
		if (st->occ->job->nruns == 0)
			s->stats.longest_idle_ms = MAX(s->stats.longest_idle_ms,
			    s->now_ms - st->occ->job->idle_since_ms);
	}
	s->stats.lasting_down = c.down.tasks;
	s->stats.longest_down_ms = c.down.longest_ms;
	return c;
}

/* Logs the load of the cell; called once a second by its owner. */
void
stats_log(sched_t *s)
{
	waiting_t c = count_waiting(s);
	g_autofree char *reasons = wait_reason_text(s->stats.waiting_tasks);
	int64_t cpu = 0, used = 0, filler = 0;
	int32_t usable = 0, slowed = 0;
	run_t *r;

	s->stats.suspect_workers = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		usable += cell_worker_usable(s, w);
		s->stats.suspect_workers += w->suspect;
		cpu += w->cpu_milli;
		used += w->used_cpu_milli;
		filler += w->filler_cpu_milli;
	}
	FOREACH_VALUE (r, s->runs)
		slowed += r->wanted_pace_pct < 100;
	LOG_EVENT(s, SCHED_EVT_LOAD, "cell",
	    "jobs=%u runs=%u waiting=%d past_target=%d isolated=%d "
	    "longest_idle=%" PRId64 " workers=%u usable=%d suspects=%" PRId64
	    " cpu=%d used=%d filler=%d slowed=%d workers_accounted=%d "
	    "quota_blocked=%d rounds=%" PRIu64 " passes=%" PRIu64
	    " resume_at=%d lasting_down=%" PRId64 " longest_down=%" PRId64
	    " reasons=%s",
	    g_hash_table_size(s->jobs), g_hash_table_size(s->runs),
	    (int)c.waiting, (int)c.past_target, (int)c.isolated,
	    s->stats.longest_idle_ms, s->worker_list->len, usable,
	    s->stats.suspect_workers, (int)(cpu / 1000), (int)(used / 1000),
	    (int)(filler / 1000), slowed, s->cell.workers_accounted,
	    (int)c.quota_blocked, s->scan.round, s->scan.pass,
	    s->scan.resume_at, c.down.tasks, c.down.longest_ms, reasons);
	room_use_log(s);
	wait_reason_log(s);
	customer_log_held(s);
}

int32_t
sched_waiting_jobs(const sched_t *s, const char *queue, int64_t now_ms)
{
	const Sched__Owner *o = s->cell.row;

	if (sched_is_owner(s)) {
		const queue_t *q = g_hash_table_lookup(s->queues, queue);

		if (now_ms - s->feed_read_ms[SCHED_FEED_JOBS] >
		    WAITING_LIMIT_MS)
			return -1;
		return q == NULL ? 0 : q->waiting_jobs;
	}
	if (o == NULL || o->waiting_stale ||
	    now_ms - s->cell.row_written_ms > WAITING_LIMIT_MS)
		return -1;
	/* The write may have been applied late. */
	if (o->counted_ms != 0 &&
	    now_ms + s->store_clock_offset_ms - o->counted_ms >
		WAITING_LIMIT_MS)
		return -1;
	for (size_t i = 0; i < o->n_waiting; i++)
		if (strcmp(o->waiting[i]->queue, queue) == 0)
			return o->waiting[i]->jobs;
	return o->waiting_cut ? -1 : 0;
}

sched_stats_t
sched_stats(const sched_t *s)
{
	sched_stats_t st = s->stats;

	st.jobs = g_hash_table_size(s->jobs);
	st.running = g_hash_table_size(s->runs);
	st.workers = s->worker_list->len;
	st.queued = g_sequence_get_length(s->ready_steps);
	st.deferred_jobs = overload_deferred_jobs(s);
	if (!sched_is_owner(s)) {
		memset(st.waiting_tasks, 0, sizeof(st.waiting_tasks));
		st.longest_idle_ms = 0;
		st.lasting_down = st.longest_down_ms = 0;
		st.suspect_workers = 0;
	}
	return st;
}
