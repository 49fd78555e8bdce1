/*
 * Jobs, their steps and tasks.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
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

#define MAX_STEP_TASKS	     10000  /* bounds what one job may take */
#define MEAN_WORK_JOBS	     32	    /* jobs in the average work of a queue */
#define INITIAL_RUN_TIME_PCT 100    /* of the declared time, until learned */
#define MAX_JOB_TASKS	     200000 /* of an occurrence of a job */

/* Checks step n of a job; sets why to the fault if false is returned. */
static bool
step_valid(const Sched__Job *def, size_t n, const char **why)
{
	const Sched__Step *st = def->steps[n];

	*why = "a step's count is out of range";
	if (st->count < 1 || st->count > MAX_STEP_TASKS)
		return false;
	*why = "a step's size or time is out of range";
	if (st->cpu_milli < 0 || st->mem_mb < 0 || st->gpu < 0 ||
	    st->estimate_ms < 0 || st->tail_target_ms < 0 ||
	    st->cpu_milli > SCHED_AMOUNT_MAX || st->mem_mb > SCHED_AMOUNT_MAX ||
	    st->gpu > SCHED_AMOUNT_MAX || st->estimate_ms > SCHED_AMOUNT_MAX ||
	    st->tail_target_ms > SCHED_AMOUNT_MAX)
		return false;
	*why = "a step comes after one that is not before it";
	for (size_t i = 0; i < st->n_after; i++)
		if (st->after[i] < 0 || (size_t)st->after[i] >= n)
			return false;
	return true;
}

/* Checks the times of a job, so that sums of them don't overflow. */
static bool
times_valid(const Sched__Job *def)
{
	return def->accepted_ms >= 0 && def->accepted_ms <= SCHED_NUMBER_MAX &&
	    def->first_ms >= 0 && def->first_ms <= SCHED_NUMBER_MAX &&
	    def->interval_ms >= 0 && def->interval_ms <= SCHED_SPAN_MAX_MS &&
	    def->target_ms >= 0 && def->target_ms <= SCHED_SPAN_MAX_MS &&
	    def->stretch >= 0 && def->stretch <= SCHED_STRETCH_MAX;
}

/* Checks how often a job repeats; sets why to the fault if false is returned. */
static bool
repeats_valid(const Sched__Job *def, const char **why)
{
	bool lasting = false;

	*why = "a job repeats more often than is allowed";
	if (def->repeats > JOB_MAX_REPEATS)
		return false;
	/* Its occurrences don't end, so that all of them are open at a time. */
	*why = "a lasting job repeats more often than is allowed";
	for (size_t i = 0; i < def->n_steps; i++)
		lasting = lasting || def->steps[i]->lasting;
	return !lasting || def->repeats <= occurrence_max_open(def);
}

bool
sched_job_valid(const Sched__Job *def, const char **why)
{
	int64_t ntasks = 0;

	*why = "a job is longer than the store takes";
	if (sched__job__get_packed_size(def) > SCHED_ROW_MAX_BYTES)
		return false;

	*why = "a job needs one step or more";
	if (def->n_steps == 0)
		return false;
	*why = "a job has more steps than are allowed";
	if (def->n_steps > JOB_MAX_STEPS)
		return false;
	for (size_t i = 0; i < def->n_steps; i++) {
		if (!step_valid(def, i, why))
			return false;
		ntasks += def->steps[i]->count;
	}
	*why = "a job has more tasks than are allowed";
	if (ntasks > MAX_JOB_TASKS)
		return false;
	if (!repeats_valid(def, why))
		return false;
	*why = "a job's time is out of range";
	if (!times_valid(def))
		return false;
	*why = "";
	return true;
}

/*
 * Expected run time of a task of a step at full speed.  Tasks of a step are alike,
 * so that its completed runs count more than what is expected of its queue.
 */
int64_t
job_task_ms(const step_t *st)
{
	int64_t prior_ms = run_time_expected(
	    &st->occ->job->queue->run_time, st->def->estimate_ms);

	return (prior_ms + st->done_runs_ms) / (1 + st->done_runs);
}

/*
 * Updates the expected time of the longest chain of steps that starts at each step
 * of an occurrence, and the time allowed for it.  A step depends on steps with
 * lower numbers only.
 */
void
job_update_paths(occurrence_t *o)
{
	const Sched__Job *def = o->job->def;
	int64_t longest_ms = 0;

	for (size_t i = 0; i < def->n_steps; i++)
		o->steps[i].path_ms = 0;
	for (size_t i = def->n_steps; i-- > 0;) {
		step_t *st = &o->steps[i];

		st->path_ms += job_task_ms(st);
		longest_ms = MAX(longest_ms, st->path_ms);
		for (size_t k = 0; k < st->def->n_after; k++) {
			step_t *p = &o->steps[st->def->after[k]];

			p->path_ms = MAX(p->path_ms, st->path_ms);
		}
	}
	o->job->allowed_ms =
	    def->target_ms + (int64_t)(def->stretch * (double)longest_ms);
}

/* Returns the queue with this name; creates it if there is none. */
queue_t *
queue_get(sched_t *s, const char *name)
{
	queue_t *q = g_hash_table_lookup(s->queues, name);

	if (q == NULL) {
		q = g_new0(queue_t, 1);
		q->name = g_intern_string(name);
		q->run_time_pct = INITIAL_RUN_TIME_PCT;
		g_hash_table_insert(s->queues, (void *)q->name, q);
	}
	return q;
}

/* When a job came, by our clock: those that a new owner loads came before. */
static int64_t
came_ms(const sched_t *s, const Sched__Job *def)
{
	return s->cell.state != CELL_LOADING ?
	    s->now_ms :
	    s->now_ms - MAX(0, s->wall_ms - def->accepted_ms);
}

/*
 * Creates a job with its first occurrence from a valid definition, which it
 * then owns.
 */
job_t *
job_new(sched_t *s, const char *id, Sched__Job *def)
{
	job_t *j = g_new0(job_t, 1);
	queue_t *q = queue_get(s, def->queue);
	occurrence_t *o;

	g_strlcpy(j->id, id, sizeof(j->id));
	j->sched = s;
	j->def = def;
	j->queue = q;
	j->service = q->configured ? q->service : g_intern_string(def->service);
	j->priority = q->configured ? q->priority : def->priority;
	j->max_attempts = q->configured ? q->max_attempts : def->max_attempts;
	j->needs_approval =
	    q->configured ? q->needs_approval : def->needs_approval;
	customer_job_added(s, j);
	occurrence_init_job(j);
	o = job_occurrence(j, 0);
	for (size_t i = 0; i < def->n_steps; i++) {
		if (def->steps[i]->filler)
			s->filler_job_ms =
			    MAX(s->filler_job_ms, came_ms(s, def));
		j->work_milli_ms += (double)def->steps[i]->count *
		    (double)def->steps[i]->cpu_milli *
		    (double)def->steps[i]->estimate_ms;
	}
	q->mean_work_milli_ms += q->mean_work_milli_ms <= 0 ?
	    j->work_milli_ms :
	    (j->work_milli_ms - q->mean_work_milli_ms) / MEAN_WORK_JOBS;
	job_update_paths(o);
	share_job_accepted(s, j);
	return j;
}

/* Frees a job with its definition and occurrences. */
void
job_free(void *p)
{
	job_t *j = p;

	occurrence_clear_job(j);
	blame_forget(&j->blame);
	sched__job__free_unpacked(j->def, NULL);
	g_free(j);
}

/* The tasks of an occurrence of a job. */
int32_t
job_tasks(const job_t *j)
{
	int32_t n = 0;

	for (size_t i = 0; i < j->def->n_steps; i++)
		n += j->def->steps[i]->count;
	return n;
}

/* The processor amount of its largest task. */
int64_t
job_largest_task_cpu(const job_t *j)
{
	int64_t most = 0;

	for (size_t i = 0; i < j->def->n_steps; i++)
		most = MAX(most, j->def->steps[i]->cpu_milli);
	return most;
}

/*
 * Writes the name of a task, JOB.OCCURRENCE.STEP.INDEX, into a buffer of n
 * bytes.
 */
void
job_task_name(const task_t *t, char *name, size_t n)
{
	snprintf(name, n, "%s.%d.%d.%d", t->step->occ->job->id,
	    t->step->occ->number, t->step->number, t->index);
}

/* The numbers in a task's name, JOB.OCCURRENCE.STEP.INDEX. */
typedef struct {
	int32_t occ, step, index;
} task_numbers_t;

/* Reads them from a name; false: the job has no such step or occurrence. */
static bool
read_task_name(const job_t *j, const char *name, task_numbers_t *n)
{
	return sscanf(name + SCHED_JOB_ID_BYTES, ".%d.%d.%d", &n->occ, &n->step,
		   &n->index) == 3 &&
	    n->step >= 0 && (size_t)n->step < j->def->n_steps &&
	    n->index >= 0 && n->occ >= 0 && n->occ < MAX(1, j->def->repeats);
}

static task_t *
task_of(const occurrence_t *o, const task_numbers_t *n)
{
	const step_t *st = &o->steps[n->step];

	return n->index < st->ntasks ? &st->tasks[n->index] : NULL;
}

/*
 * Returns the task with a name like JOB.OCCURRENCE.STEP.INDEX in the job, or
 * NULL if its definition has no such task.  Creates the occurrence if there is
 * none yet.
 */
task_t *
job_find_task(job_t *j, const char *name)
{
	task_numbers_t n;

	return read_task_name(j, name, &n) ?
	    task_of(job_occurrence(j, n.occ), &n) :
	    NULL;
}

/* The job of the task with a name, or NULL. */
static job_t *
job_of_task(const sched_t *s, const char *name)
{
	char id[SCHED_JOB_ID_BYTES + 1];

	if (strlen(name) <= SCHED_JOB_ID_BYTES)
		return NULL;
	g_strlcpy(id, name, sizeof(id));
	return g_hash_table_lookup(s->jobs, id);
}

/* Returns the task with a name like JOB.OCCURRENCE.STEP.INDEX, or NULL. */
task_t *
job_lookup_task(sched_t *s, const char *name)
{
	job_t *j = job_of_task(s, name);

	return j == NULL ? NULL : job_find_task(j, name);
}

/* The same, but NULL also where its occurrence has been released or is none yet. */
task_t *
job_open_task(const sched_t *s, const char *name)
{
	job_t *j = job_of_task(s, name);
	const occurrence_t *o;
	task_numbers_t n;

	if (j == NULL || !read_task_name(j, name, &n))
		return NULL;
	o = occurrence_find_open(j, n.occ);
	return o == NULL ? NULL : task_of(o, &n);
}

/* Number of failed runs that are counted for a task. */
int32_t
task_failed_runs(const task_t *t)
{
	return t->failed_runs == NULL ? 0 : (int32_t)t->failed_runs->len;
}

/* Counts a failed run; false when it has been counted before. */
bool
task_add_failed_run(task_t *t, int64_t run)
{
	if (t->failed_runs == NULL)
		t->failed_runs = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (guint i = 0; i < t->failed_runs->len; i++)
		if (g_array_index(t->failed_runs, int64_t, i) == run)
			return false;
	g_array_append_val(t->failed_runs, run);
	return true;
}
