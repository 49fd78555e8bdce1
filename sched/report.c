/*
 * What workers report: runs under way, and how others ended.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define FAIL_BASE_MS  100 /* wait after a failed run, doubled each time */
#define FAIL_MAX_MS   800
#define SUSPECT_FAILS 3 /* distinct jobs in a row before a worker rests */
#define SUSPECT_MS    3000
#define TIME_WEIGHT   16 /* runs in the moving average of run times */
#define TIME_MIN_PCT  10
#define TIME_MAX_PCT  1000

/* Corrects the declared run times of a queue by one that was seen. */
static void
learn_time(sched_t *s, const run_t *r)
{
	queue_t *q = g_hash_table_lookup(s->queues, r->job->queue);
	int64_t est = r->task->step->def->estimate_ms, pct;

	if (q == NULL || est <= 0 || r->first_ms == 0 || r->first_percent > 0 ||
	    r->worker->slow || r->paced)
		return;
	pct = (s->now - r->first_ms) * 100 / est;
	pct = CLAMP(pct, TIME_MIN_PCT, TIME_MAX_PCT);
	q->time_pct += (pct - q->time_pct) / TIME_WEIGHT;
}

static void
keep_checkpoint(task_t *t, const char *cp)
{
	char **to = t->step->def->gang ? &t->step->checkpoint : &t->checkpoint;

	if (!t->step->def->checkpoints || cp == NULL || cp[0] == '\0' ||
	    t->state == TASK_DONE)
		return;
	if (*to != NULL && strcmp(*to, cp) == 0)
		return;
	g_free(*to);
	*to = g_strdup(cp);
}

static void
step_all_done(step_t *st)
{
	for (int32_t i = 0; i < st->ntasks; i++)
		job_task_done(&st->tasks[i]);
}

/* Stops other runs of a task that is done. */
static void
stop_others(sched_t *s, task_t *t, const run_t *but)
{
	run_t *runs[] = { t->run, t->copy };

	for (size_t i = 0; i < G_N_ELEMENTS(runs); i++) {
		if (runs[i] == NULL || runs[i] == but)
			continue;
		runs[i]->drop = true;
		if (runs[i]->state == RUN_ON)
			run_stop(s, runs[i], "another run is done");
	}
}

static void
task_done(sched_t *s, task_t *t, run_t *r)
{
	occ_t *o = t->step->occ;
	job_t *j = o->job;
	bool step_was = t->step->done == t->step->ntasks;

	if (r != NULL) {
		learn_time(s, r);
		health_done(s, r);
	}
	stop_others(s, t, r);
	if (t->step->def->gang)
		step_all_done(t->step);
	else
		job_task_done(t);
	s->stats.done++;
	if (j->stage != JOB_OPEN)
		return;
	if (!step_was && t->step->done == t->step->ntasks) {
		queue_drop(t->step);
		run_step_ready(s, o);
	}
	if (j->occs_ended >= MAX(1, j->def->repeats))
		run_job_end(s, j, SCHED__STATE__COMPLETED);
	else
		flush_job(s, j, t->step->done == t->step->ntasks);
}

static int32_t
gang_fails(const step_t *st)
{
	int32_t n = 0;

	for (int32_t i = 0; i < st->ntasks; i++)
		n += task_fails(&st->tasks[i]);
	return n;
}

/* Counts a failure against the worker too; several jobs in a row rest it. */
static void
blame_worker(sched_t *s, vm_t *w, const job_t *j)
{
	const char *id = g_intern_string(j->id);

	if (w->fail_job == id)
		return;
	w->fail_job = id;
	if (++w->fails < SUSPECT_FAILS)
		return;
	w->hold_off_ms = MAX(w->hold_off_ms, s->now + SUSPECT_MS);
	LOG(s, SCHED_EVT_WORKER_SUSPECT, w->id, "fails=%d hold_off=%d",
	    w->fails, SUSPECT_MS);
}

static void
task_failed(sched_t *s, task_t *t, vm_t *w, int64_t run)
{
	job_t *j = t->step->occ->job;
	int32_t fails;

	s->stats.failed++;
	blame_worker(s, w, j);
	t->avoid = w->id;
	if (t->step->def->lasting || !task_add_fail(t, run))
		return;
	fails = t->step->def->gang ? gang_fails(t->step) : task_fails(t);
	t->not_before_ms =
	    s->now + MIN(FAIL_MAX_MS, FAIL_BASE_MS << CLAMP(fails - 1, 0, 4));
	if (j->stage != JOB_OPEN)
		return;
	if (fails >= j->max_attempts)
		run_job_end(s, j, SCHED__STATE__FAILED);
	else
		flush_job(s, j, false);
}

static task_t *
find_task(sched_t *s, const char *name)
{
	char id[SCHED_JOB_ID_BYTES + 1];
	job_t *j;

	if (strlen(name) <= SCHED_JOB_ID_BYTES)
		return NULL;
	g_strlcpy(id, name, sizeof(id));
	j = g_hash_table_lookup(s->jobs, id);
	return j == NULL ? NULL : job_task(j, name);
}

static void
run_ended(sched_t *s, vm_t *w, const sched_ended_t *e)
{
	run_t *r = g_hash_table_lookup(w->runs, e->task);
	task_t *t = find_task(s, e->task);

	if (r != NULL && r->number != e->run)
		r = NULL;
	LOG(s, SCHED_EVT_ENDED, e->task,
	    "run=%" PRId64 " worker=%s how=%d known=%d seq=%" PRId64, e->run,
	    w->id, e->outcome, r != NULL, e->seq);
	if (t != NULL && t->state != TASK_DONE) {
		t->last_run = MAX(t->last_run, e->run);
		run_job_begun(s, t->step->occ->job);
		keep_checkpoint(t, e->checkpoint);
		if (e->outcome == SCHED_RUN_DONE && !t->step->def->lasting) {
			w->fails = 0;
			w->fail_job = NULL;
			task_done(s, t, r);
		} else if (e->outcome == SCHED_RUN_FAILED)
			task_failed(s, t, w, e->run);
		else if (e->checkpoint[0] != '\0' &&
		    t->step->occ->job->stage == JOB_OPEN)
			flush_job(s, t->step->occ->job, false);
	}
	if (r != NULL)
		run_gone(s, r);
}

/* A run that this owner did not start: taken over, or stopped. */
static run_t *
run_found(sched_t *s, vm_t *w, const sched_running_t *f)
{
	task_t *t = find_task(s, f->task);
	job_t *j = t == NULL ? NULL : t->step->occ->job;
	run_t *r;

	if (g_hash_table_contains(w->runs, f->task))
		return NULL; /* another run of it is being dealt with */
	r = run_new(s, f->task, w, f->run);
	run_set_state(s, r, RUN_ON);
	r->first_ms = s->now;
	r->first_percent = MAX(1, f->percent);
	r->percent = f->percent;
	if (t != NULL) {
		run_hold_room(r, t);
		t->last_run = MAX(t->last_run, f->run);
	}
	if (j != NULL && j->stage == JOB_OPEN && t->state == TASK_WAITING &&
	    t->run == NULL) {
		t->run = r;
		t->state = TASK_RUNNING;
		t->step->waiting--;
		run_job_begun(s, j);
		s->stats.adopted++;
		LOG(s, SCHED_EVT_ADOPTED, f->task, "run=%" PRId64 " worker=%s",
		    f->run, w->id);
		return r;
	}
	s->stats.strays++;
	r->drop = true;
	run_stop(s, r, "not wanted");
	return r;
}

static void
run_seen(sched_t *s, run_t *r, const sched_running_t *f)
{
	r->report = s->reports;
	if (r->state == RUN_STOPPING && r->stopped_ms == 0)
		run_stop(s, r, "again");
	r->percent = MAX(r->percent, f->percent);
	r->measure = f->metric;
	if (r->task == NULL)
		return;
	run_job_begun(s, r->job);
	if (r->task->run == r)
		keep_checkpoint(r->task, f->checkpoint);
}

/* True when a report asked for at asked_ms proves that a run is not there. */
static bool
run_absent(const run_t *r, int64_t asked_ms)
{
	if (r->order_out)
		return false;
	if (r->state == RUN_ON)
		return asked_ms > r->since_ms;
	return r->state == RUN_STOPPING && r->stopped_ms != 0 &&
	    asked_ms > r->stopped_ms;
}

static void
worker_answered(sched_t *s, vm_t *w)
{
	w->misses = 0;
	if (!w->answered || w->silent) {
		LOG(s, SCHED_EVT_WORKER_BACK, w->id, "silent=%d", w->silent);
		s->pump = true;
	}
	w->answered = true;
	w->silent = false;
}

void
run_report(sched_t *s, vm_t *w, const sched_report_t *rep, int64_t asked_ms)
{
	g_autoptr(GList) all = NULL;

	if (rep->born_ms != 0 && w->born_ms != 0 &&
	    rep->born_ms != w->born_ms) {
		LOG(s, SCHED_EVT_WORKER, w->id,
		    "answers as another process: born=%" PRId64 " was=%" PRId64,
		    rep->born_ms, w->born_ms);
		vm_reborn(s, w, rep->born_ms);
	}
	s->reports++;
	vm_heard(s, w, rep->clock_ms);
	worker_answered(s, w);
	for (size_t i = 0; i < rep->nended; i++) {
		if (rep->ended[i].seq <= w->seen)
			continue;
		w->seen = rep->ended[i].seq;
		run_ended(s, w, &rep->ended[i]);
	}
	for (size_t i = 0; i < rep->nrunning; i++) {
		const sched_running_t *f = &rep->running[i];
		run_t *r = g_hash_table_lookup(w->runs, f->task);

		if (r == NULL)
			r = run_found(s, w, f);
		if (r != NULL && r->number == f->run)
			run_seen(s, r, f);
	}
	all = g_hash_table_get_values(w->runs);
	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->report == s->reports || !run_absent(r, asked_ms))
			continue;
		if (r->state == RUN_ON) {
			s->stats.lost++;
			LOG(s, SCHED_EVT_LOST, r->name,
			    "run=%" PRId64 " worker=%s why=not listed",
			    r->number, w->id);
		}
		run_gone(s, r);
	}
}
