/*
 * Runs of tasks on workers: their room, orders and ends.
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
#include "internal.h"

#define STOP_RETRY_MS 500  /* before a stop is ordered again */
#define NO_ROOM_MS    300  /* a worker that rejected a start for its room */
#define UNHEALTHY_MS  1000 /* ... or for its health */
#define UNANSWERED_MS 700  /* ... or that left one unanswered */
#define INVALID_MS    2000 /* a task that a worker called invalid */
#define RUN_STRIDE    1000 /* run numbers each owner of a cell has */

void
run_free(void *p)
{
	g_free(p);
}

run_t *
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

void
run_hold_room(run_t *r, task_t *t)
{
	r->task = t;
	r->job = t->step->occ->job;
	r->job->runs++;
	r->holds = true;
	vm_take(r->worker, t->step, 1);
}

void
run_set_state(sched_t *s, run_t *r, run_state_t state)
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
		.ticket = "",
		.spec = "" };

	if (kind == SCHED_START) {
		const step_t *st = r->task->step;

		o.spec = r->job->def->spec;
		o.deadline_ms = vm_deadline(s, w);
		if (r->job->advised && advice_ticket(s, st, w) != NULL)
			o.ticket = advice_ticket(s, st, w);
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
void
run_gone(sched_t *s, run_t *r)
{
	task_t *t = r->task;
	job_t *j = r->job;

	if (r->holds) {
		noise_gone(s, r);
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
	run_set_state(s, r, RUN_SENT);
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
		run_set_state(s, r, RUN_STOPPING);
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
start_failed(sched_t *s, run_t *r, sched_order_result_t res)
{
	task_t *t = r->task;
	vm_t *w = r->worker;
	int64_t off = 0;

	s->stats.start_rejects++;
	if (res == SCHED_ORDER_NO_ROOM)
		off = NO_ROOM_MS;
	else if (res == SCHED_ORDER_UNHEALTHY || res == SCHED_ORDER_RESTARTED ||
	    res == SCHED_ORDER_NOT_SENT)
		off = UNHEALTHY_MS;
	else if (res == SCHED_ORDER_NO_TICKET)
		advice_rejected(t->step, w);
	else if (res == SCHED_ORDER_STALE_RUN)
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
void
run_job_begun(sched_t *s, job_t *j)
{
	if (j->begun)
		return;
	j->begun = true;
	if (j->stage == JOB_OPEN)
		flush_job(s, j, false);
}

static void
start_done(sched_t *s, run_t *r, sched_order_result_t res)
{
	if (res == SCHED_ORDER_OK) {
		if (r->state == RUN_SENT)
			run_set_state(s, r, RUN_ON);
		r->first_ms = s->now;
		run_job_begun(s, r->job);
		if (r->drop)
			run_stop(s, r, "not wanted any more");
		return;
	}
	if (res != SCHED_ORDER_IN_DOUBT) {
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
stop_done(sched_t *s, run_t *r, sched_order_result_t res)
{
	if (res == SCHED_ORDER_RESTARTED)
		run_gone(s, r);
	else if (res != SCHED_ORDER_IN_DOUBT && res != SCHED_ORDER_NOT_SENT &&
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
run_order_done(sched_t *s, run_t *r, sched_order_result_t res, int64_t clock_ms)
{
	r->order_out = false;
	if (clock_ms > 0 && res != SCHED_ORDER_RESTARTED)
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
