/*
 * Jobs: their steps and tasks, and their rows.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define TASKS_MAX  10000      /* of a step: bounds what one job may take */
#define STEPS_MAX  200	      /* of a job */
#define MEAN_JOBS  32	      /* in the moving average of the work of jobs */
#define TIME_PCT   100	      /* of the declared run time, until learned */
#define AMOUNT_MAX 1000000000 /* of processor, memory or time a task names */

static bool
step_valid(const Sched__Job *def, size_t n, const char **why)
{
	const Sched__Step *st = def->steps[n];

	*why = "a step's count is out of range";
	if (st->count < 1 || st->count > TASKS_MAX)
		return false;
	*why = "a step's size or time is out of range";
	if (st->cpu_milli < 0 || st->mem_mb < 0 || st->gpu < 0 ||
	    st->estimate_ms < 0 || st->cpu_milli > AMOUNT_MAX ||
	    st->mem_mb > AMOUNT_MAX || st->estimate_ms > AMOUNT_MAX)
		return false;
	*why = "a step comes after one that is not before it";
	for (size_t i = 0; i < st->n_after; i++)
		if (st->after[i] < 0 || (size_t)st->after[i] >= n)
			return false;
	return true;
}

bool
sched_job_valid(const Sched__Job *def, const char **why)
{
	*why = "a job needs one step or more";
	if (def->n_steps == 0 || def->n_steps > STEPS_MAX)
		return false;
	for (size_t i = 0; i < def->n_steps; i++)
		if (!step_valid(def, i, why))
			return false;
	*why = "";
	return true;
}

/* Fills the declared time from each step to the end of the job. */
static void
fill_tails(occ_t *o, const Sched__Job *def)
{
	for (size_t i = def->n_steps; i-- > 0;) {
		step_t *st = &o->steps[i];

		st->tail_ms += def->steps[i]->estimate_ms;
		for (size_t k = 0; k < st->def->n_after; k++) {
			step_t *p = &o->steps[st->def->after[k]];

			p->tail_ms = MAX(p->tail_ms, st->tail_ms);
		}
	}
}

static occ_t *
occ_new(sched_t *s, job_t *j, int32_t number)
{
	occ_t *o = g_new0(occ_t, 1);
	const Sched__Job *def = j->def;

	o->job = j;
	o->number = number;
	o->due_ms = def->repeats > 0 ?
	    def->first_ms + number * def->interval_ms :
	    def->accepted_ms;
	o->steps = g_new0(step_t, def->n_steps);
	for (size_t i = 0; i < def->n_steps; i++) {
		step_t *st = &o->steps[i];

		st->occ = o;
		st->number = (int32_t)i;
		st->def = def->steps[i];
		st->image = harm_image(s, st->def->image);
		if (st->image >= 0 && st->def->filler)
			s->filler_image[st->image] = true;
		st->ntasks = st->waiting = st->def->count;
		st->tasks = g_new0(task_t, st->ntasks);
		for (int32_t k = 0; k < st->ntasks; k++) {
			st->tasks[k].step = st;
			st->tasks[k].index = k;
		}
	}
	fill_tails(o, def);
	return o;
}

static void
occ_free(void *p)
{
	occ_t *o = p;

	for (size_t i = 0; i < o->job->def->n_steps; i++) {
		step_t *st = &o->steps[i];

		for (int32_t k = 0; k < st->ntasks; k++) {
			g_free(st->tasks[k].checkpoint);
			if (st->tasks[k].failed_runs != NULL)
				g_array_unref(st->tasks[k].failed_runs);
		}
		queue_drop(st);
		advice_step_free(st);
		g_free(st->checkpoint);
		g_free(st->tasks);
	}
	g_free(o->steps);
	g_free(o);
}

queue_t *
queue_get(sched_t *s, const char *name)
{
	queue_t *q = g_hash_table_lookup(s->queues, name);

	if (q == NULL) {
		q = g_new0(queue_t, 1);
		q->name = g_intern_string(name);
		q->time_pct = TIME_PCT;
		g_hash_table_insert(s->queues, (void *)q->name, q);
	}
	return q;
}

/* Takes the definition, which must be valid. */
job_t *
job_new(sched_t *s, const char *id, Sched__Job *def)
{
	job_t *j = g_new0(job_t, 1);
	queue_t *q = queue_get(s, def->queue);
	int64_t longest = 0;
	occ_t *o;

	g_strlcpy(j->id, id, sizeof(j->id));
	j->sched = s;
	j->def = def;
	j->queue = q->name;
	j->service = q->known ? q->service : g_intern_string(def->service);
	j->priority = q->known ? q->priority : def->priority;
	j->max_attempts = q->known ? q->max_attempts : def->max_attempts;
	j->advised = q->known && q->advised;
	j->occs = g_ptr_array_new_with_free_func(occ_free);
	o = job_occ(j, 0);
	for (size_t i = 0; i < def->n_steps; i++) {
		longest = MAX(longest, o->steps[i].tail_ms);
		j->work += (double)def->steps[i]->count *
		    (double)def->steps[i]->cpu_milli *
		    (double)def->steps[i]->estimate_ms;
	}
	q->mean_work +=
	    q->mean_work <= 0 ? j->work : (j->work - q->mean_work) / MEAN_JOBS;
	j->deadline_ms = def->target_ms + (int64_t)(def->stretch * longest);
	return j;
}

void
job_free(void *p)
{
	job_t *j = p;

	g_ptr_array_unref(j->occs);
	sched__job__free_unpacked(j->def, NULL);
	g_free(j);
}

/* The occurrence with this number, which is made when there is none. */
occ_t *
job_occ(job_t *j, int32_t number)
{
	occ_t *o;

	for (guint i = 0; i < j->occs->len; i++) {
		o = g_ptr_array_index(j->occs, i);
		if (o->number == number)
			return o;
	}
	o = occ_new(j->sched, j, number);
	g_ptr_array_add(j->occs, o);
	return o;
}

void
job_task_name(const task_t *t, char *name, size_t n)
{
	snprintf(name, n, "%s.%d.%d.%d", t->step->occ->job->id,
	    t->step->occ->number, t->step->number, t->index);
}

/* The task of a job that a name ends with, or NULL. */
task_t *
job_task(job_t *j, const char *name)
{
	int32_t k, step, index;
	occ_t *o = NULL;

	if (sscanf(name + SCHED_JOB_ID_BYTES, ".%d.%d.%d", &k, &step, &index) !=
	    3)
		return NULL;
	if (step < 0 || (size_t)step >= j->def->n_steps || index < 0)
		return NULL;
	if (k < 0 || k >= MAX(1, j->def->repeats))
		return NULL;
	o = job_occ(j, k);
	if (index >= o->steps[step].ntasks)
		return NULL;
	return &o->steps[step].tasks[index];
}

int32_t
task_fails(const task_t *t)
{
	return t->failed_runs == NULL ? 0 : (int32_t)t->failed_runs->len;
}

bool
task_add_fail(task_t *t, int64_t run)
{
	if (t->failed_runs == NULL)
		t->failed_runs = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (guint i = 0; i < t->failed_runs->len; i++)
		if (g_array_index(t->failed_runs, int64_t, i) == run)
			return false;
	g_array_append_val(t->failed_runs, run);
	return true;
}

/* Marks a task done, and its step and occurrence with it. */
void
job_task_done(task_t *t)
{
	step_t *st = t->step;
	occ_t *o = st->occ;

	if (t->state == TASK_DONE)
		return;
	if (t->state == TASK_WAITING)
		st->waiting--;
	t->state = TASK_DONE;
	g_clear_pointer(&t->checkpoint, g_free);
	st->done++;
	if (st->done < st->ntasks)
		return;
	o->steps_done++;
	if ((size_t)o->steps_done == o->job->def->n_steps) {
		o->done = true;
		o->job->occs_ended++;
	}
}

static void
step_progress(job_t *j, const Sched__StepProgress *p)
{
	step_t *st;

	if (p->step < 0 || (size_t)p->step >= j->def->n_steps ||
	    p->occurrence < 0 || p->occurrence >= MAX(1, j->def->repeats))
		return;
	st = &job_occ(j, p->occurrence)->steps[p->step];
	for (int32_t i = 0; i < st->ntasks; i++)
		if ((size_t)i / 8 < p->done.len &&
		    (p->done.data[i / 8] >> (i % 8) & 1) != 0)
			job_task_done(&st->tasks[i]);
	for (size_t i = 0; i < p->n_tasks; i++) {
		const Sched__TaskProgress *tp = p->tasks[i];
		task_t *t;

		if (tp->index < 0 || tp->index >= st->ntasks)
			continue;
		t = &st->tasks[tp->index];
		for (size_t k = 0; k < tp->n_failed_runs; k++) {
			task_add_fail(t, tp->failed_runs[k]);
			t->last_run = MAX(t->last_run, tp->failed_runs[k]);
		}
		if (tp->checkpoint[0] != '\0') {
			g_free(t->checkpoint);
			t->checkpoint = g_strdup(tp->checkpoint);
		}
	}
}

void
job_progress(job_t *j, const Sched__Progress *p)
{
	j->begun = true;
	for (size_t i = 0; i < p->n_steps; i++)
		step_progress(j, p->steps[i]);
}

/* What is kept of a step; false when nothing needs to be. */
static bool
fill_step(Sched__StepProgress *p, const step_t *st)
{
	bool any = st->done > 0;

	sched__step_progress__init(p);
	p->occurrence = st->occ->number;
	p->step = st->number;
	p->done.len = (size_t)(st->ntasks + 7) / 8;
	p->done.data = g_malloc0(p->done.len);
	p->tasks = g_new0(Sched__TaskProgress *, st->ntasks);
	for (int32_t i = 0; i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];
		Sched__TaskProgress *tp;

		if (t->state == TASK_DONE) {
			p->done.data[i / 8] |= (uint8_t)(1 << (i % 8));
			continue;
		}
		if (t->failed_runs == NULL && t->checkpoint == NULL)
			continue;
		tp = g_new(Sched__TaskProgress, 1);
		sched__task_progress__init(tp);
		tp->index = i;
		if (t->failed_runs != NULL) {
			tp->failed_runs = (int64_t *)t->failed_runs->data;
			tp->n_failed_runs = t->failed_runs->len;
		}
		if (t->checkpoint != NULL)
			tp->checkpoint = t->checkpoint;
		p->tasks[p->n_tasks++] = tp;
		any = true;
	}
	return any;
}

static void
clear_step(Sched__StepProgress *p)
{
	for (size_t i = 0; i < p->n_tasks; i++)
		g_free(p->tasks[i]);
	g_free(p->tasks);
	g_free(p->done.data);
	g_free(p);
}

GByteArray *
job_pack_progress(const job_t *j)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	GByteArray *b = g_byte_array_new();
	size_t n = j->occs->len * j->def->n_steps;

	p.steps = g_new0(Sched__StepProgress *, n);
	p.state = SCHED__STATE__RUNNING;
	for (guint i = 0; i < j->occs->len; i++) {
		occ_t *o = g_ptr_array_index(j->occs, i);

		for (size_t k = 0; k < j->def->n_steps; k++) {
			Sched__StepProgress *sp = g_new(Sched__StepProgress, 1);

			if (fill_step(sp, &o->steps[k]))
				p.steps[p.n_steps++] = sp;
			else
				clear_step(sp);
		}
	}
	g_byte_array_set_size(b, (guint)sched__progress__get_packed_size(&p));
	sched__progress__pack(&p, b->data);
	for (size_t i = 0; i < p.n_steps; i++)
		clear_step(p.steps[i]);
	g_free(p.steps);
	return b;
}

/* The row of a job that has ended. */
GByteArray *
job_pack_end(const job_t *j, int64_t wall_ms)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	GByteArray *b = g_byte_array_new();

	p.state = j->end;
	p.ended_ms = wall_ms;
	g_byte_array_set_size(b, (guint)sched__progress__get_packed_size(&p));
	sched__progress__pack(&p, b->data);
	return b;
}

/* Expected time from the start of a step to the end of its job. */
int64_t
job_tail_ms(const sched_t *s, const step_t *st)
{
	const queue_t *q = g_hash_table_lookup(s->queues, st->occ->job->queue);

	return st->tail_ms * (q == NULL ? TIME_PCT : q->time_pct) / 100;
}
