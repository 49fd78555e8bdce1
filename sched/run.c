/*
 * Runs of tasks on workers: starts, stops, reports and ends.
 *
 * A task has one current run.  Another may start only when the worker has
 * listed the end of the last, has been seen without it after it acknowledged
 * a stop, is known to be another process, or its lease has lapsed.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "part.h"

#define STOP_RETRY_MS  500  /* before a stop is ordered again */
#define NO_ROOM_MS     300  /* a worker that rejected a start for its room */
#define UNHEALTHY_MS   1000 /* ... or for its health */
#define UNANSWERED_MS  700  /* ... or that left one unanswered */
#define INVALID_MS     2000 /* a task that a worker called invalid */
#define RUN_STRIDE     1000 /* run numbers each owner of a cell has */
#define FAIL_BASE_MS   100  /* wait after a failed run, doubled each time */
#define FAIL_MAX_MS    800
#define SUSPECT_FAILS  3 /* distinct jobs in a row before a worker rests */
#define SUSPECT_MS     3000
#define TIME_WEIGHT    16 /* runs in the moving average of run times */
#define TIME_MIN_PCT   10
#define TIME_MAX_PCT   1000
#define STARTS_AT_ONCE 64  /* in one pass, so that other events get a turn */
#define MISFITS_MAX    200 /* steps without room before a pass ends */

void
run_free(void *p)
{
	g_free(p);
}

static run_t *
run_new(sched_t *s, const char *name, vm_t *w, int64_t number)
{
	run_t *r = g_new0(run_t, 1);

	r->id = ++s->next_id;
	g_strlcpy(r->name, name, sizeof(r->name));
	r->worker = w;
	r->number = number;
	r->since_ms = s->now;
	r->pace = r->pace_want = 100;
	g_hash_table_insert(s->runs, &r->id, r);
	g_hash_table_insert(w->runs, r->name, r);
	return r;
}

static void
run_hold_room(run_t *r, task_t *t)
{
	r->task = t;
	r->job = t->step->occ->job;
	r->job->runs++;
	r->holds = true;
	vm_take(r->worker, t->step, 1);
}

static void
set_state(sched_t *s, run_t *r, run_state_t state)
{
	r->state = state;
	r->since_ms = s->now;
}

static void
send_order(sched_t *s, run_t *r, sched_order_kind_t kind)
{
	vm_t *w = r->worker;
	sched_order_t o = { .id = r->id,
		.kind = kind,
		.worker = w->id,
		.address = w->address,
		.task = r->name,
		.run = r->number,
		.token = s->cell.token,
		.checkpoint = "",
		.spec = "" };

	if (kind == SCHED_START) {
		const step_t *st = r->task->step;

		o.spec = r->job->def->spec;
		o.deadline_ms = vm_deadline(s, w);
		if (st->def->gang && st->checkpoint != NULL)
			o.checkpoint = st->checkpoint;
		else if (!st->def->gang && r->task->checkpoint != NULL)
			o.checkpoint = r->task->checkpoint;
		s->stats.starts++;
	} else if (kind == SCHED_STOP)
		s->stats.stops++;
	else {
		o.percent = r->pace_want;
		r->paced = true;
		s->stats.paces++;
	}
	r->order_out = true;
	r->order = kind;
	s->o.port.order(s->o.ctx, &o);
}

/* Puts a task that has no run left back among those to be started. */
static void
task_waits(sched_t *s, task_t *t)
{
	if (t->run != NULL || t->state != TASK_RUNNING)
		return;
	t->state = TASK_WAITING;
	t->step->waiting++;
	if (t->away_ms == 0)
		t->away_ms = s->now;
	if (t->step->occ->job->stage == JOB_OPEN)
		queue_add(s, t->step);
}

static void
job_maybe_free(sched_t *s, job_t *j)
{
	if (j->stage == JOB_ENDED && j->runs == 0)
		g_hash_table_remove(s->jobs, j->id);
}

/* The run is over or never was: its room is free. */
static void
run_gone(sched_t *s, run_t *r)
{
	task_t *t = r->task;
	job_t *j = r->job;

	if (r->holds) {
		vm_take(r->worker, t->step, -1);
		j->runs--;
	}
	if (t != NULL && t->copy == r)
		t->copy = NULL;
	if (t != NULL && t->run == r) {
		t->run = t->copy;
		t->copy = NULL;
		task_waits(s, t);
	}
	g_hash_table_remove(r->worker->runs, r->name);
	g_hash_table_remove(s->runs, &r->id);
	if (j != NULL)
		job_maybe_free(s, j);
	s->pump = true;
}

void
run_start(sched_t *s, task_t *t, vm_t *w, int64_t number)
{
	char name[64];
	run_t *r;

	job_task_name(t, name, sizeof(name));
	r = run_new(s, name, w, number);
	run_hold_room(r, t);
	t->last_run = number;
	if (t->state == TASK_WAITING) {
		t->state = TASK_RUNNING;
		t->step->waiting--;
	}
	if (t->run == NULL)
		t->run = r;
	else
		t->copy = r;
	set_state(s, r, RUN_SENT);
	LOG(s, SCHED_EVT_START, name,
	    "run=%" PRId64 " worker=%s token=%" PRId64 " latest=%" PRId64
	    " list_age=%" PRId64,
	    number, w->id, s->cell.token, t->step->latest_ms - s->wall,
	    s->now - w->lease.heard_ms);
	send_order(s, r, SCHED_START);
}

void
run_stop(sched_t *s, run_t *r, const char *why)
{
	if (r->state != RUN_STOPPING) {
		set_state(s, r, RUN_STOPPING);
		LOG(s, SCHED_EVT_STOP, r->name,
		    "run=%" PRId64 " worker=%s why=%s", r->number,
		    r->worker->id, why);
	}
	if (r->order_out || r->stopped_ms != 0 || r->retry_ms > s->now)
		return;
	r->retry_ms = s->now + STOP_RETRY_MS;
	send_order(s, r, SCHED_STOP);
}

void
run_pace(sched_t *s, run_t *r, int32_t percent)
{
	r->pace_want = percent;
	if (r->state == RUN_ON && !r->order_out && r->pace != percent)
		send_order(s, r, SCHED_PACE);
}

/* Sends what could not be sent while another order was under way. */
void
run_retry(sched_t *s, vm_t *w)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->state == RUN_STOPPING)
			run_stop(s, r, "again");
		else
			run_pace(s, r, r->pace_want);
	}
}

static void
start_failed(sched_t *s, run_t *r, sched_result_t res)
{
	task_t *t = r->task;
	vm_t *w = r->worker;
	int64_t off = 0;

	s->stats.start_rejects++;
	if (res == SCHED_ORDER_NO_ROOM)
		off = NO_ROOM_MS;
	else if (res == SCHED_ORDER_UNHEALTHY || res == SCHED_ORDER_REBORN ||
	    res == SCHED_ORDER_NOT_SENT)
		off = UNHEALTHY_MS;
	else if (res == SCHED_ORDER_OLD)
		t->last_run += RUN_STRIDE;
	else if (res == SCHED_ORDER_INVALID)
		t->not_before_ms = s->now + INVALID_MS;
	w->hold_off_ms = MAX(w->hold_off_ms, s->now + off);
	LOG(s, SCHED_EVT_START_FAILED, r->name,
	    "run=%" PRId64 " worker=%s result=%d hold_off=%" PRId64, r->number,
	    w->id, res, off);
	run_gone(s, r);
}

/* A task of the job runs or has run; callers are told so from now on. */
static void
job_begun(sched_t *s, job_t *j)
{
	if (j->begun)
		return;
	j->begun = true;
	if (j->stage == JOB_OPEN)
		flush_job(s, j, false);
}

static void
start_done(sched_t *s, run_t *r, sched_result_t res)
{
	if (res == SCHED_ORDER_OK) {
		if (r->state == RUN_SENT)
			set_state(s, r, RUN_ON);
		r->first_ms = r->percent_ms = s->now;
		job_begun(s, r->job);
		if (r->drop)
			run_stop(s, r, "not wanted any more");
		return;
	}
	if (res != SCHED_ORDER_UNKNOWN) {
		start_failed(s, r, res);
		return;
	}
	s->stats.start_unknown++;
	r->worker->hold_off_ms =
	    MAX(r->worker->hold_off_ms, s->now + UNANSWERED_MS);
	LOG(s, SCHED_EVT_START_FAILED, r->name,
	    "run=%" PRId64 " worker=%s result=unknown", r->number,
	    r->worker->id);
	run_stop(s, r, "start unanswered");
}

static void
stop_done(sched_t *s, run_t *r, sched_result_t res)
{
	if (res == SCHED_ORDER_REBORN)
		run_gone(s, r);
	else if (res != SCHED_ORDER_UNKNOWN && res != SCHED_ORDER_NOT_SENT &&
	    res != SCHED_ORDER_UNHEALTHY) {
		r->stopped_ms = s->now;
		/* Whether it ever ran shows in a look that begins now. */
		if (r->first_ms == 0) {
			r->worker->look_id = 0;
			r->worker->look_next_ms = s->now;
			r->worker->look_now = true;
		}
	}
}

void
run_order_done(sched_t *s, run_t *r, sched_result_t res, int64_t clock_ms)
{
	r->order_out = false;
	if (clock_ms > 0 && res != SCHED_ORDER_REBORN)
		vm_heard(s, r->worker, clock_ms);
	if (res == SCHED_ORDER_FENCED)
		cell_lost(s, "a worker has seen a newer token");
	else if (r->order == SCHED_START)
		start_done(s, r, res);
	else if (r->order == SCHED_STOP)
		stop_done(s, r, res);
	else if (res == SCHED_ORDER_OK)
		r->pace = r->pace_want;
	else if (r->state == RUN_STOPPING)
		run_stop(s, r, "again");
}

/* Ends a job: its runs are stopped and its end is stored. */
void
run_job_end(sched_t *s, job_t *j, Sched__State end)
{
	GHashTableIter it;
	void *v;

	if (j->stage != JOB_OPEN)
		return;
	j->stage = JOB_ENDING;
	j->end = end;
	for (guint i = 0; i < j->occs->len; i++) {
		occ_t *o = g_ptr_array_index(j->occs, i);

		for (size_t k = 0; k < j->def->n_steps; k++)
			queue_drop(&o->steps[k]);
	}
	g_hash_table_iter_init(&it, s->runs);
	while (j->runs > 0 && g_hash_table_iter_next(&it, NULL, &v)) {
		run_t *r = v;

		if (r->job != j)
			continue;
		r->drop = true;
		if (r->state == RUN_ON)
			run_stop(s, r, "the job has ended");
	}
	LOG(s, SCHED_EVT_JOB_ENDED, j->id, "state=%d late=%" PRId64 " runs=%d",
	    end, s->wall - j->def->accepted_ms - j->deadline_ms, j->runs);
	flush_job(s, j, true);
}

/* Makes the steps ready whose predecessors are done. */
void
run_step_ready(sched_t *s, occ_t *o)
{
	for (size_t i = 0; i < o->job->def->n_steps; i++) {
		step_t *st = &o->steps[i];
		bool ready = true;

		for (size_t k = 0; k < st->def->n_after; k++) {
			const step_t *p = &o->steps[st->def->after[k]];

			ready = ready && p->done == p->ntasks;
		}
		st->ready = ready;
		queue_add(s, st);
	}
}

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
	    w->id, e->how, r != NULL, e->seq);
	if (t != NULL && t->state != TASK_DONE) {
		t->last_run = MAX(t->last_run, e->run);
		job_begun(s, t->step->occ->job);
		keep_checkpoint(t, e->checkpoint);
		if (e->how == SCHED_DONE && !t->step->def->lasting) {
			w->fails = 0;
			w->fail_job = NULL;
			task_done(s, t, r);
		} else if (e->how == SCHED_TASK_FAILED)
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
	set_state(s, r, RUN_ON);
	r->first_ms = r->percent_ms = s->now;
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
		t->away_ms = 0;
		job_begun(s, j);
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
	if (f->percent > r->percent || r->percent_ms == 0) {
		r->percent = f->percent;
		r->percent_ms = s->now;
	}
	r->measure = f->measure;
	if (r->task == NULL)
		return;
	job_begun(s, r->job);
	if (f->percent >= 100)
		r->task->away_ms = 0;
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

/* Nothing that was ordered there runs any more, nor will. */
void
run_worker_lost(sched_t *s, vm_t *w, const char *why)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	LOG(s, SCHED_EVT_WORKER, w->id, "lost=%u why=%s",
	    g_hash_table_size(w->runs), why);
	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		s->stats.lost++;
		LOG(s, SCHED_EVT_LOST, r->name,
		    "run=%" PRId64 " worker=%s why=%s", r->number, w->id, why);
		run_gone(s, r);
	}
}

int64_t
run_next_number(sched_t *s, const task_t *t)
{
	return MAX(t->last_run, (s->cell.epoch - 1) * RUN_STRIDE) + 1;
}

static void
start_gang(sched_t *s, step_t *st)
{
	vm_t **at;
	int64_t number = 0;

	if (st->waiting < st->ntasks)
		return;
	for (int32_t i = 0; i < st->ntasks; i++) {
		if (st->tasks[i].not_before_ms > s->now)
			return;
		number = MAX(number, run_next_number(s, &st->tasks[i]));
	}
	at = g_new0(vm_t *, st->ntasks);
	if (place_gang(s, st, at))
		for (int32_t i = 0; i < st->ntasks; i++)
			run_start(s, &st->tasks[i], at[i], number);
	g_free(at);
}

/* Starts what fits of a step; returns how many tasks were started. */
static int32_t
start_step(sched_t *s, step_t *st)
{
	int32_t n = 0;

	if (st->def->gang) {
		start_gang(s, st);
		return st->waiting == 0 ? st->ntasks : 0;
	}
	for (int32_t i = 0; i < st->ntasks && st->waiting > 0; i++) {
		task_t *t = &st->tasks[i];
		vm_t *w;

		if (t->state != TASK_WAITING || t->not_before_ms > s->now)
			continue;
		w = place_task(s, st, t, NULL);
		if (w == NULL)
			break;
		run_start(s, t, w, run_next_number(s, t));
		n++;
	}
	return n;
}

/* Starts waiting tasks, in the order of the queue, while there is room. */
void
run_waiting(sched_t *s)
{
	GSequenceIter *i = g_sequence_get_begin_iter(s->ready), *next;
	int32_t started = 0, misfits = 0;

	while (!g_sequence_iter_is_end(i) && started < STARTS_AT_ONCE &&
	    misfits < MISFITS_MAX) {
		step_t *st = g_sequence_get(i);
		int32_t n = 0;

		next = g_sequence_iter_next(i);
		if (cell_may_start(s, st->occ->job))
			n = start_step(s, st);
		started += n;
		if (st->waiting == 0)
			queue_drop(st);
		else
			misfits++;
		i = next;
	}
	s->pump = started >= STARTS_AT_ONCE;
}
