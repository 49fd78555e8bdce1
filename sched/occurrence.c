/*
 * Occurrences of jobs: those that are open, and what is left of the others.
 *
 * An occurrence that is done is released, as soon as a stored row of its job says
 * so and no run of it is left: of it only its number is kept, in a set that takes
 * little room (number_set.h).  So a job that has repeated for long costs no more
 * than one that has just begun.  How many occurrences may be open at a time is
 * bounded by what the row of the job has room for; the next one that is due waits
 * for the release of another.
 */
#include <stdbool.h>
#include <stddef.h>
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
#include "number_set.h"
#include "internal.h"
#include "down.h"

/* Of the progress row of a job: what its open occurrences may take at most.  The
 * rest is for checkpoints and histories of tasks. */
#define OPEN_ROW_BYTES 49152
/* In that row: of a step besides the bits of its tasks, and of the gap between
 * occurrences that are done. */
#define STEP_ROW_BYTES 14
#define GAP_ROW_BYTES  8

int32_t
occurrence_max_open(const Sched__Job *def)
{
	int64_t bytes = GAP_ROW_BYTES;

	for (size_t i = 0; i < def->n_steps; i++)
		bytes +=
		    STEP_ROW_BYTES + ((int64_t)def->steps[i]->count + 7) / 8;
	return (int32_t)MAX(1, OPEN_ROW_BYTES / bytes);
}

/* When the steps of an occurrence may start, in ms since 1970. */
static int64_t
due_wall_ms(const Sched__Job *def, int32_t number)
{
	return def->repeats > 0 ? def->first_ms + number * def->interval_ms :
				  def->accepted_ms;
}

/* Creates an occurrence whose tasks are all waiting. */
static occurrence_t *
occurrence_new(job_t *j, int32_t number)
{
	occurrence_t *o = g_new0(occurrence_t, 1);
	const Sched__Job *def = j->def;
	sched_t *s = j->sched;

	o->job = j;
	o->number = number;
	o->due_wall_ms = due_wall_ms(def, number);
	o->steps = g_new0(step_t, def->n_steps);
	for (size_t i = 0; i < def->n_steps; i++) {
		step_t *st = &o->steps[i];

		st->occ = o;
		st->number = (int32_t)i;
		st->def = def->steps[i];
		st->image = interference_image(s, st->def->image);
		if (st->image >= 0 && st->def->filler)
			s->filler_images |= IMAGE_BIT(st->image);
		if (st->image >= 0 && st->def->tail_target_ms > 0 &&
		    !st->def->filler)
			st->load = g_new0(serving_load_t, 1);
		st->ntasks = st->nwaiting = st->def->count;
		st->tasks = g_new0(task_t, st->ntasks);
		for (int32_t k = 0; k < st->ntasks; k++) {
			st->tasks[k].step = st;
			st->tasks[k].index = k;
		}
	}
	return o;
}

/* Workers that are kept or reserved for a step are not any more, as it is freed. */
static void
forget_step(sched_t *s, const step_t *st)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->kept_for == st)
			w->kept_for = NULL;
		if (w->reserved_for >= st->tasks &&
		    w->reserved_for < st->tasks + st->ntasks)
			w->reserved_for = NULL;
	}
}

/* Frees an occurrence with its steps and tasks; for the job's array. */
static void
occurrence_free(void *p)
{
	occurrence_t *o = p;

	for (size_t i = 0; i < o->job->def->n_steps; i++) {
		step_t *st = &o->steps[i];

		for (int32_t k = 0; k < st->ntasks; k++) {
			g_free(st->tasks[k].checkpoint);
			if (st->tasks[k].failed_runs != NULL)
				g_array_unref(st->tasks[k].failed_runs);
			crash_forget(&st->tasks[k]);
			avoid_forget(&st->tasks[k]);
			blame_forget(&st->tasks[k].blame);
			nominate_withdraw(o->job->sched, &st->tasks[k]);
		}
		forget_step(o->job->sched, st);
		queue_remove_step(st);
		approval_step_free(st);
		g_free(st->gang_checkpoint);
		g_free(st->load);
		g_free(st->tasks);
	}
	g_free(o->steps);
	g_free(o);
}

/* The index of the first open occurrence of a job with at least this number. */
static guint
index_from(const job_t *j, int32_t number)
{
	guint low = 0, high = j->occs->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		const occurrence_t *o = g_ptr_array_index(j->occs, mid);

		if (o->number < number)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Returns the occurrence with this number if there is one, or NULL. */
occurrence_t *
occurrence_find_open(const job_t *j, int32_t number)
{
	guint at = index_from(j, number);
	occurrence_t *o = NULL;

	if (at < j->occs->len)
		o = g_ptr_array_index(j->occs, at);
	return o != NULL && o->number == number ? o : NULL;
}

/* Marks all tasks as done of an occurrence that was released, and is made anew for a
 * run of it that was not known. */
static void
mark_all_done(occurrence_t *o)
{
	for (size_t i = 0; i < o->job->def->n_steps; i++) {
		step_t *st = &o->steps[i];

		for (int32_t k = 0; k < st->ntasks; k++)
			st->tasks[k].state = TASK_DONE;
		st->nwaiting = 0;
		st->ndone = st->ntasks;
	}
	o->steps_done = (int32_t)o->job->def->n_steps;
	o->job->occs_unreleased++;
}

/*
 * Returns the occurrence with this number; creates it if there is none, with all
 * tasks done if it has been released.
 */
occurrence_t *
job_occurrence(job_t *j, int32_t number)
{
	occurrence_t *o = occurrence_find_open(j, number);

	if (o != NULL)
		return o;
	o = occurrence_new(j, number);
	if (number_set_contains(j->released_occs, number))
		mark_all_done(o);
	g_ptr_array_insert(j->occs, (gint)index_from(j, number), o);
	return o;
}

/* Whether all tasks of an occurrence are done. */
bool
occurrence_is_done(const occurrence_t *o)
{
	return (size_t)o->steps_done == o->job->def->n_steps;
}

/* Initialises the occurrences of a new job: it has none. */
void
occurrence_init_job(job_t *j)
{
	j->occs = g_ptr_array_new_with_free_func(occurrence_free);
	j->released_occs = number_set_new();
}

/* Frees the occurrences of a job. */
void
occurrence_clear_job(job_t *j)
{
	g_ptr_array_unref(j->occs);
	number_set_free(j->released_occs);
}

/* Marks a task done, and its step and occurrence if it was their last. */
void
job_mark_task_done(task_t *t)
{
	step_t *st = t->step;
	occurrence_t *o = st->occ;

	if (t->state == TASK_DONE)
		return;
	if (t->state == TASK_WAITING)
		st->nwaiting--;
	t->state = TASK_DONE;
	g_clear_pointer(&t->checkpoint, g_free);
	st->ndone++;
	if (st->ndone < st->ntasks)
		return;
	o->steps_done++;
	if (!occurrence_is_done(o))
		return;
	o->done_write = o->job->rows_packed + 1;
	o->job->occs_done++;
	o->job->occs_unreleased++;
}

/* The numbers of all occurrences of a job that are done; free it. */
number_set_t *
occurrence_done_set(const job_t *j)
{
	number_set_t *set = number_set_copy(j->released_occs);

	for (guint i = 0; i < j->occs->len; i++) {
		const occurrence_t *o = g_ptr_array_index(j->occs, i);

		if (occurrence_is_done(o))
			number_set_add(set, o->number);
	}
	return set;
}

/*
 * Takes over which occurrences of a job that was just created are done, as its
 * stored row says: n bounds as in number_set_read.  False: they are not valid.
 */
bool
occurrence_read_done(job_t *j, const int32_t *bounds, size_t n)
{
	bool valid = number_set_read(
	    j->released_occs, bounds, n, MAX(1, j->def->repeats));

	for (guint i = j->occs->len; i-- > 0;) {
		const occurrence_t *o = g_ptr_array_index(j->occs, i);

		if (number_set_contains(j->released_occs, o->number))
			g_ptr_array_remove_index(j->occs, i);
	}
	j->occs_done = number_set_count(j->released_occs);
	return valid;
}

/* Whether an occurrence is known to be done by all that may ask. */
static bool
may_release(const occurrence_t *o)
{
	return occurrence_is_done(o) && o->nruns == 0 &&
	    o->job->rows_stored >= o->done_write;
}

/* Releases the occurrences of a job that are done, as far as that is stored. */
static void
release_done(job_t *j)
{
	for (guint i = j->occs_unreleased == 0 ? 0 : j->occs->len; i-- > 0;) {
		const occurrence_t *o = g_ptr_array_index(j->occs, i);

		if (!may_release(o))
			continue;
		number_set_add(j->released_occs, o->number);
		j->occs_unreleased--;
		g_ptr_array_remove_index(j->occs, i);
	}
}

/* Whether an occurrence is open, or there is room for one more. */
static bool
may_open(const job_t *j, int32_t number)
{
	return (int32_t)j->occs->len < occurrence_max_open(j->def) ||
	    occurrence_find_open(j, number) != NULL;
}

/*
 * Queues the first steps of the occurrences of a job whose time has come, as far as
 * they may be open at a time.  Called at each tick for a job that repeats.
 */
void
occurrence_add_due(sched_t *s, job_t *j)
{
	release_done(j);
	for (;;) {
		int32_t n = number_set_next_absent(
		    j->released_occs, j->occs_made_ready);

		if (n >= j->def->repeats ||
		    due_wall_ms(j->def, n) > s->wall_ms || !may_open(j, n))
			return;
		j->occs_made_ready = n + 1;
		run_add_ready_steps(s, job_occurrence(j, n));
	}
}
