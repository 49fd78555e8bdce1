/*
 * The queue of ready steps, in the order in which their tasks are started.
 */
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

/* A job of twice the mean value density is treated as due earlier by this. */
#define DENSITY_ADVANCE_MS 1500
/* The same while jobs are deferred: density counts for more than urgency, as
 * expected run times are too rough to start each job just in time. */
#define OVERLOAD_ADVANCE_MS 9000
/* Limits of this effect, in multiples of the advance. */
#define MIN_DENSITY_GAIN  (-1.0)
#define MAX_DENSITY_GAIN  2.0
#define FIXED_VALUE_SHARE 0.3 /* of a job's value; the rest follows its work */

/*
 * Main sort key, lower first: lasting tasks that are down; short work, neither
 * lasting nor filler, that can meet its target; such work of jobs that are late, but
 * still count and need only the rest of their work; lasting tasks, which keep their
 * resources for good; filler work that can meet its target; work that could, but is
 * deferred for the sake of others (overload_queue.c); other late work; and work that
 * is too late even to count as late, of which starved jobs go first.
 */
static int
tier(const step_t *st)
{
	if (st->def->lasting)
		return st->ndown > 0 ? -1 : 2;
	if (st->late_begun)
		return 1;
	if (st->misses_target)
		return !st->past_late_limit ? 5 : st->starved ? 6 : 7;
	if (st->occ->deferred)
		return 4;
	return st->def->filler ? 3 : 0;
}

/* Any order that is the same in each process, so that a schedule can be repeated. */
int
queue_compare_identity(const step_t *a, const step_t *b)
{
	int by_job = strcmp(a->occ->job->id, b->occ->job->id);

	if (by_job != 0)
		return by_job;
	if (a->occ->number != b->occ->number)
		return a->occ->number < b->occ->number ? -1 : 1;
	return a->number < b->number ? -1 : a->number > b->number;
}

/* Compares two steps by tier, priority and sort key; for GSequence. */
static int
compare_steps(gconstpointer pa, gconstpointer pb, gpointer ctx)
{
	const step_t *a = pa, *b = pb;
	int32_t priority_a = a->occ->job->priority,
		priority_b = b->occ->job->priority;
	int by_share;

	(void)ctx;
	if (tier(a) != tier(b))
		return tier(a) < tier(b) ? -1 : 1;
	if (priority_a != priority_b)
		return priority_a < priority_b ? -1 : 1;
	by_share = share_compare(a->occ->job, b->occ->job);
	if (by_share != 0)
		return by_share;
	if (a->sort_key_ms != b->sort_key_ms)
		return a->sort_key_ms < b->sort_key_ms ? -1 : 1;
	return queue_compare_identity(a, b);
}

/*
 * Processor time that an occurrence still needs, in thousandths of a core x ms.
 */
static double
work_left(const occurrence_t *o)
{
	const Sched__Job *d = o->job->def;
	double sum = 0;

	for (size_t i = 0; i < d->n_steps; i++)
		sum += (double)(o->steps[i].ntasks - o->steps[i].ndone) *
		    (double)d->steps[i]->cpu_milli *
		    (double)d->steps[i]->estimate_ms;
	return MAX(1, sum);
}

/*
 * Value of a job, as work: a fixed share of the mean of its queue plus the rest
 * in proportion to its own work.
 */
double
queue_job_value(const job_t *j)
{
	double mean = j->queue->mean_work_milli_ms <= 0 ?
	    j->work_milli_ms :
	    j->queue->mean_work_milli_ms;

	return FIXED_VALUE_SHARE * mean +
	    (1 - FIXED_VALUE_SHARE) * j->work_milli_ms;
}

/*
 * Value density of an occurrence: its value per unit of work that is left,
 * relative to that of a mean job of its queue that has not started.
 */
static double
density(const occurrence_t *o)
{
	return queue_job_value(o->job) / work_left(o);
}

/*
 * Whether a step is late short work that still counts, of an occurrence that has
 * been begun.
 */
static bool
is_late_begun(const step_t *st)
{
	const occurrence_t *o = st->occ;

	if (!st->misses_target || st->past_late_limit || st->def->filler)
		return false;
	for (size_t i = 0; i < o->job->def->n_steps; i++)
		if (o->steps[i].nwaiting < o->steps[i].ntasks)
			return true;
	return false;
}

/*
 * Updates the latest start at which a step meets its job's target, whether it
 * is late, and its sort key.  A step that can meet the target is sorted by its
 * latest start, made earlier or later by its value density; a late one by the
 * expected time to the end of its occurrence, the shortest first; a starved one
 * past the late limit by when its job last had a run, so that they take turns.
 */
static void
update_urgency(sched_t *s, step_t *st)
{
	const occurrence_t *o = st->occ;
	int64_t path_ms;
	int64_t advance_ms = overload_deferred_jobs(s) > 0 ?
	    OVERLOAD_ADVANCE_MS :
	    DENSITY_ADVANCE_MS;
	double gain;

	job_update_paths(st->occ);
	path_ms = st->path_ms;
	st->latest_start_ms = o->due_wall_ms + o->job->allowed_ms - path_ms;
	st->misses_target = st->latest_start_ms < s->wall_ms;
	st->past_late_limit =
	    o->due_wall_ms + LATE_LIMIT_TIMES * o->job->allowed_ms - path_ms <
	    s->wall_ms;
	st->late_begun = is_late_begun(st);
	st->starved = starvation_is_starved(s, st);
	if (st->misses_target) {
		st->sort_key_ms = st->past_late_limit && st->starved ?
		    o->job->idle_since_ms :
		    path_ms;
		return;
	}
	gain = CLAMP(density(o) - 1, MIN_DENSITY_GAIN, MAX_DENSITY_GAIN);
	st->sort_key_ms =
	    st->latest_start_ms - (int64_t)(gain * (double)advance_ms);
}

/*
 * Adds a step of an open job to the queue if it is ready, has waiting tasks and
 * is not in it.
 */
void
queue_add_step(sched_t *s, step_t *st)
{
	if (st->occ->job->stage != JOB_OPEN || st->queue_iter != NULL ||
	    st->nwaiting == 0 || !st->ready)
		return;
	if (st->occ->job->idle_since_ms == 0)
		st->occ->job->idle_since_ms = s->now_ms;
	st->unplaced_since_ms = 0;
	st->passed_over_since_ms = s->now_ms;
	st->kept_with_room = 0;
	update_urgency(s, st);
	st->queue_iter =
	    g_sequence_insert_sorted(s->ready_steps, st, compare_steps, NULL);
	s->start_pass_due = true;
}

/* Removes a step from the queue if it is in it. */
void
queue_remove_step(step_t *st)
{
	if (st->queue_iter != NULL)
		g_sequence_remove(st->queue_iter);
	st->queue_iter = NULL;
}

/* Sorts a step that is in the queue again, as its tier has changed. */
void
queue_move_step(sched_t *s, step_t *st)
{
	if (st->queue_iter == NULL)
		return;
	queue_remove_step(st);
	st->queue_iter =
	    g_sequence_insert_sorted(s->ready_steps, st, compare_steps, NULL);
	s->start_pass_due = true;
}

/* Sorts the queue again, as time has passed and run times have been learned. */
void
queue_resort(sched_t *s)
{
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		update_urgency(s, g_sequence_get(i));
	g_sequence_sort(s->ready_steps, compare_steps, NULL);
}
