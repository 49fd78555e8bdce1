/*
 * The progress rows of jobs: what is done, and what is known of the runs of tasks
 * that are not.
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

/* Applies the stored progress of one step; ignores one that does not exist. */
static void
apply_step_progress(job_t *j, const Sched__StepProgress *p)
{
	step_t *st;

	if (p->step < 0 || (size_t)p->step >= j->def->n_steps ||
	    p->occurrence < 0 || p->occurrence >= MAX(1, j->def->repeats))
		return;
	st = &job_occurrence(j, p->occurrence)->steps[p->step];
	for (int32_t i = 0; i < st->ntasks; i++)
		if ((size_t)i / 8 < p->done.len &&
		    (p->done.data[i / 8] >> (i % 8) & 1) != 0)
			job_mark_task_done(&st->tasks[i]);
	for (size_t i = 0; i < p->n_tasks; i++) {
		const Sched__TaskProgress *tp = p->tasks[i];
		task_t *t;

		if (tp->index < 0 || tp->index >= st->ntasks)
			continue;
		t = &st->tasks[tp->index];
		for (size_t k = 0; k < tp->n_failed_runs; k++) {
			task_add_failed_run(t, tp->failed_runs[k]);
			t->last_run_number =
			    MAX(t->last_run_number, tp->failed_runs[k]);
		}
		for (size_t k = 0; k < tp->n_crashed_runs; k++) {
			crash_add(t, tp->crashed_runs[k], tp->crashed_soon);
			t->last_run_number =
			    MAX(t->last_run_number, tp->crashed_runs[k]);
		}
		if (t->crashes != NULL) {
			t->crashes->start_acked = tp->start_acked;
			t->crashes->unproved = MIN(t->crashes->runs->len,
			    (guint)MAX(0, tp->crashes_unproved));
		}
		if (tp->checkpoint[0] != '\0') {
			g_free(t->checkpoint);
			t->checkpoint = g_strdup(tp->checkpoint);
		}
	}
}

Sched__Progress *
sched_progress_unpack(const uint8_t *bytes, size_t n)
{
	Sched__Progress *p = sched__progress__unpack(NULL, n, bytes);

	if (p == NULL ||
	    protobuf_c_enum_descriptor_get_value(
		&sched__state__descriptor, (int)p->state) != NULL)
		return p;
	sched__progress__free_unpacked(p, NULL);
	return NULL;
}

/* Applies a job's stored progress, after the job has been created. */
void
progress_apply(job_t *j, const Sched__Progress *p)
{
	j->started = !p->not_started;
	for (size_t i = 0; i < p->n_steps; i++)
		apply_step_progress(j, p->steps[i]);
}

/* Fills in the progress of a step; false when there is none to store. */
static bool
fill_step_progress(
    Sched__StepProgress *p, const step_t *st, bool with_checkpoints)
{
	bool any = st->ndone > 0;

	sched__step_progress__init(p);
	p->occurrence = st->occ->number;
	p->step = st->number;
	p->done.len = (size_t)(st->ntasks + 7) / 8;
	p->done.data = g_malloc0(p->done.len);
	p->tasks = g_new0(Sched__TaskProgress *, st->ntasks);
	for (int32_t i = 0; i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];
		const char *checkpoint =
		    with_checkpoints ? t->checkpoint : NULL;
		Sched__TaskProgress *tp;

		if (t->state == TASK_DONE) {
			p->done.data[i / 8] |= (uint8_t)(1 << (i % 8));
			continue;
		}
		if (t->failed_runs == NULL && checkpoint == NULL &&
		    t->crashes == NULL)
			continue;
		tp = g_new(Sched__TaskProgress, 1);
		sched__task_progress__init(tp);
		tp->index = i;
		if (t->failed_runs != NULL) {
			tp->failed_runs = (int64_t *)t->failed_runs->data;
			tp->n_failed_runs = t->failed_runs->len;
		}
		if (t->crashes != NULL) {
			tp->crashed_runs = (int64_t *)t->crashes->runs->data;
			tp->n_crashed_runs = t->crashes->runs->len;
			tp->crashed_soon = t->crashes->soon;
			tp->start_acked = t->crashes->start_acked;
			tp->crashes_unproved = t->crashes->unproved;
		}
		if (checkpoint != NULL)
			tp->checkpoint = (char *)checkpoint;
		p->tasks[p->n_tasks++] = tp;
		any = true;
	}
	return any;
}

static void
free_step_progress(Sched__StepProgress *p)
{
	for (size_t i = 0; i < p->n_tasks; i++)
		g_free(p->tasks[i]);
	g_free(p->tasks);
	g_free(p->done.data);
	g_free(p);
}

static GByteArray *
pack_open(const job_t *j, bool with_checkpoints)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	GByteArray *b = g_byte_array_new();
	size_t n = j->occs->len * j->def->n_steps;

	p.steps = g_new0(Sched__StepProgress *, n);
	p.state = SCHED__STATE__RUNNING;
	p.not_started = !j->started;
	p.customer = j->def->customer;
	for (guint i = 0; i < j->occs->len; i++) {
		occurrence_t *o = g_ptr_array_index(j->occs, i);

		for (size_t k = 0; k < j->def->n_steps; k++) {
			Sched__StepProgress *sp = g_new(Sched__StepProgress, 1);

			if (fill_step_progress(
				sp, &o->steps[k], with_checkpoints))
				p.steps[p.n_steps++] = sp;
			else
				free_step_progress(sp);
		}
	}
	g_byte_array_set_size(b, (guint)sched__progress__get_packed_size(&p));
	sched__progress__pack(&p, b->data);
	for (size_t i = 0; i < p.n_steps; i++)
		free_step_progress(p.steps[i]);
	g_free(p.steps);
	return b;
}

/*
 * Returns the packed progress row of an open job.  Without checkpoints if it would
 * be too long: its tasks may then begin anew after a change of the owner.
 */
GByteArray *
progress_pack(const job_t *j)
{
	GByteArray *b = pack_open(j, true);

	if (b->len <= SCHED_ROW_MAX_BYTES)
		return b;
	g_byte_array_unref(b);
	return pack_open(j, false);
}

/* Returns the packed progress row of a job that has ended. */
GByteArray *
progress_pack_ended(const job_t *j, int64_t wall_ms)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	GByteArray *b = g_byte_array_new();

	p.state = j->end_state;
	p.ended_ms = wall_ms;
	p.customer = j->def->customer;
	g_byte_array_set_size(b, (guint)sched__progress__get_packed_size(&p));
	sched__progress__pack(&p, b->data);
	return b;
}
