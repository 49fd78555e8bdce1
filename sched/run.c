/*
 * Runs of tasks on workers: the resources that they hold, the orders sent for
 * them, and their removal.
 *
 * A task has at most one current run.  Another one may start only after the run
 * is proved to be over: the worker has reported its end, or has acknowledged a
 * stop and then sent a report without it, or is known to be another process, or
 * the worker's lease has expired.  The exception is a speculative run, which
 * straggler.c starts beside the current one.
 */
#include <inttypes.h>
#include <stdbool.h>
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
#include "internal.h"
#include "down.h"

#define STOP_RETRY_MS 500 /* between stop orders for a run */
#define PACE_RETRY_MS 500 /* after a pace order that may not have had effect */
/* An order without an answer is carried out within this time or not at all. */
#define PACE_DOUBT_MS 10000
/* No task is started on a worker for so long after a failed start there. */
#define NO_ROOM_BACKOFF_MS   300  /* it has not enough free resources */
#define UNHEALTHY_BACKOFF_MS 1000 /* it is unhealthy or unreachable */
#define NO_ANSWER_BACKOFF_MS 700  /* it did not answer */
/* Time until a task is tried again that a worker rejected as invalid, or as its ticket
 * was missing or not accepted. */
#define INVALID_TASK_DELAY_MS 2000
#define NO_TICKET_DELAY_MS    200

/* Frees a run; for the table of runs. */
void
run_free(void *p)
{
	g_free(p);
}

/*
 * Adds a run to the tables of all runs and of its worker; name is the task's.
 */
run_t *
run_new(sched_t *s, const char *name, worker_t *w, int64_t number)
{
	run_t *r = g_new0(run_t, 1);

	r->id = ++s->last_id;
	g_strlcpy(r->name, name, sizeof(r->name));
	r->worker = w;
	r->number = number;
	r->state_since_ms = s->now_ms;
	r->pace_pct = r->wanted_pace_pct = 100;
	g_hash_table_insert(s->runs, &r->id, r);
	g_hash_table_insert(w->runs, r->name, r);
	return r;
}

/*
 * Connects a run with its task and counts its resources as used at the worker,
 * also while it is stopping, until run_remove.
 */
void
run_reserve_resources(run_t *r, task_t *t)
{
	r->task = t;
	r->job = t->step->occ->job;
	r->job->nruns++;
	t->step->occ->nruns++;
	r->holds_resources = true;
	cell_worker_count_task(r->worker, t->step, 1);
	isolation_run_placed(r->worker, t->step);
	customer_count_run(r, 1);
	share_count_run(r, 1);
}

/* Sets the state of a run and the time since which it is in it. */
void
run_set_state(sched_t *s, run_t *r, run_state_t state)
{
	r->state = state;
	r->state_since_ms = s->now_ms;
}

/* Sends an order for a run; sched_order_done brings the answer. */
static void
send_order(sched_t *s, run_t *r, sched_order_kind_t kind)
{
	worker_t *w = r->worker;
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
		o.deadline_ms = lease_for_start(s, w);
		lease_start_sent(s, w);
		if (r->job->needs_approval &&
		    approval_ticket(s, st, w) != NULL) {
			o.ticket = approval_ticket(s, st, w);
			approval_ticket_used(st, w);
		}
		if (st->def->gang && st->gang_checkpoint != NULL)
			o.checkpoint = st->gang_checkpoint;
		else if (!st->def->gang && r->task->checkpoint != NULL)
			o.checkpoint = r->task->checkpoint;
		s->stats.starts++;
	} else if (kind == SCHED_STOP)
		s->stats.stops++;
	else {
		o.percent = r->sent_pace_pct = r->wanted_pace_pct;
		r->was_paced = true;
		s->stats.paces++;
	}
	r->order_pending = true;
	r->last_order = kind;
	s->opts.port.order(s->opts.ctx, &o);
}

/* Makes a task wait for a start again if it has no run left and is not done. */
static void
requeue_task(sched_t *s, task_t *t)
{
	step_t *st = t->step;

	if (t->run != NULL || t->state != TASK_RUNNING)
		return;
	t->state = TASK_WAITING;
	st->nwaiting++;
	st->ndown += downtime_is_down(t);
	/* With the first one that is down, the step goes to the head. */
	if (st->ndown == 1 && downtime_is_down(t))
		queue_move_step(s, st);
	queue_add_step(s, st);
}

/* A task that waited has a run. */
void
run_task_taken(task_t *t)
{
	t->step->ndown -= downtime_is_down(t);
	t->step->nwaiting--;
	t->state = TASK_RUNNING;
}

/* Frees a job if its end is stored and it has no runs left. */
static void
free_ended_job(sched_t *s, job_t *j)
{
	if (j->stage == JOB_ENDED && j->nruns == 0)
		g_hash_table_remove(s->jobs, j->id);
}

/*
 * Removes a run that is over or was never started and frees its resources.  Its
 * task waits for a start again unless it is done or has another run.
 */
void
run_remove(sched_t *s, run_t *r)
{
	task_t *t = r->task;
	job_t *j = r->job;

	if (r->order_pending && r->last_order == SCHED_START)
		lease_start_done(s, r->worker);
	suspect_run_removed(r);
	crash_run_removed(s, r);
	held_up_run_removed(s, r);
	starvation_run_removed(s, r);
	if (r->holds_resources) {
		overload_run_removed(s, r);
		pacing_run_removed(s, r);
		cell_worker_count_task(r->worker, t->step, -1);
		customer_count_run(r, -1);
		share_count_run(r, -1);
		t->step->occ->nruns--;
		if (--j->nruns == 0 && r->first_seen_ms != 0) {
			j->idle_since_ms = s->now_ms;
			starvation_job_idle(j);
		}
	} else {
		r->worker->nunknown--;
		s->nunknown--;
	}
	if (t != NULL && t->speculative_run == r)
		t->speculative_run = NULL;
	if (t != NULL && t->run == r) {
		t->run = t->speculative_run;
		t->speculative_run = NULL;
		downtime_run_removed(s, r);
		requeue_task(s, t);
	}
	scan_worker_changed(s, r->worker);
	g_hash_table_remove(r->worker->runs, r->name);
	g_hash_table_remove(s->runs, &r->id);
	if (j != NULL)
		free_ended_job(s, j);
}

/*
 * Creates a run of a waiting task, or a speculative run of one that has a run,
 * and orders the worker to start it.  False: the customer's quota forbids it.
 */
bool
run_start(sched_t *s, task_t *t, worker_t *w, int64_t number)
{
	char name[64];
	run_t *r;

	if (!customer_allows_start(t->step))
		return false;
	job_task_name(t, name, sizeof(name));
	r = run_new(s, name, w, number);
	run_reserve_resources(r, t);
	t->last_run_number = number;
	if (t->state == TASK_WAITING)
		run_task_taken(t);
	if (t->run == NULL)
		t->run = r;
	else
		t->speculative_run = r;
	run_set_state(s, r, RUN_STARTING);
	r->ordered_ms = s->now_ms;
	t->step->passed_over_since_ms = s->now_ms;
	suspect_run_started(s, r);
	LOG_EVENT(s, SCHED_EVT_START, name,
	    "run=%" PRId64 " worker=%s token=%" PRId64
	    " latest_start_in=%" PRId64 " answer_age=%" PRId64,
	    number, w->id, s->cell.token, t->step->latest_start_ms - s->wall_ms,
	    s->now_ms - w->answered_ms);
	send_order(s, r, SCHED_START);
	return true;
}

/*
 * Marks a run as stopping and orders the worker to stop it, unless an order is
 * in flight: then the handler of its answer or run_resend_orders sends the
 * stop.  Called again for a run that is already stopping, sends the order again
 * when that is due.  why: for the log event.
 */
void
run_stop(sched_t *s, run_t *r, const char *why)
{
	r->in_doubt_ms = 0;
	if (r->state != RUN_STOPPING) {
		run_set_state(s, r, RUN_STOPPING);
		LOG_EVENT(s, SCHED_EVT_STOP, r->name,
		    "run=%" PRId64 " worker=%s why=\"%s\"", r->number,
		    r->worker->id, why);
	}
	if (r->order_pending || r->stop_acked_ms != 0 ||
	    r->stop_retry_ms > s->now_ms)
		return;
	r->stop_retry_ms = s->now_ms + STOP_RETRY_MS;
	send_order(s, r, SCHED_STOP);
}

/*
 * Stops a run that is no longer needed.  One whose start order is in flight is
 * stopped when that has ended.
 */
void
run_discard(sched_t *s, run_t *r, const char *why)
{
	r->unwanted = true;
	if (r->state == RUN_RUNNING || r->in_doubt_ms != 0)
		run_stop(s, r, why);
}

/*
 * Sets the pace that a run shall have, and orders it from the worker if the run
 * has another pace and no order is in flight.
 */
void
run_set_pace(sched_t *s, run_t *r, int32_t percent)
{
	r->wanted_pace_pct = percent;
	if (r->state == RUN_RUNNING && !r->order_pending &&
	    r->pace_pct != percent && s->now_ms >= r->pace_retry_ms)
		send_order(s, r, SCHED_PACE);
}

/*
 * Sends stop and pace orders that are due for the runs on a worker.  Called
 * after each report.
 */
void
run_resend_orders(sched_t *s, worker_t *w)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->state == RUN_STOPPING)
			run_stop(s, r, "again");
		else
			run_set_pace(s, r, r->wanted_pace_pct);
	}
}

/*
 * Handles a start that was not carried out: removes the run and delays further
 * attempts as the reason requires.
 */
static void
on_start_rejected(sched_t *s, run_t *r, sched_order_result_t res)
{
	task_t *t = r->task;
	worker_t *w = r->worker;
	int64_t backoff = 0;

	s->stats.start_rejects++;
	if (res == SCHED_ORDER_NO_ROOM)
		backoff = NO_ROOM_BACKOFF_MS;
	else if (res == SCHED_ORDER_UNHEALTHY || res == SCHED_ORDER_RESTARTED ||
	    res == SCHED_ORDER_NOT_SENT)
		backoff = UNHEALTHY_BACKOFF_MS;
	else if (res == SCHED_ORDER_NO_TICKET) {
		approval_ticket_rejected(t->step, w);
		t->not_before_ms = s->now_ms + NO_TICKET_DELAY_MS;
	} else if (res == SCHED_ORDER_STALE_RUN)
		t->last_run_number += RUN_NUMBERS_PER_OWNER;
	else if (res == SCHED_ORDER_INVALID)
		t->not_before_ms = s->now_ms + INVALID_TASK_DELAY_MS;
	w->backoff_until_ms = MAX(w->backoff_until_ms, s->now_ms + backoff);
	LOG_EVENT(s, SCHED_EVT_START_FAILED, r->name,
	    "run=%" PRId64 " worker=%s result=%d backoff=%" PRId64, r->number,
	    w->id, res, backoff);
	run_remove(s, r);
}

/*
 * Marks a job as started once a task of it runs or has run; its progress row
 * shows that to callers.
 */
void
run_mark_job_started(sched_t *s, job_t *j)
{
	if (j->started)
		return;
	j->started = true;
	if (j->stage == JOB_OPEN)
		flush_mark_job(s, j);
}

/* The worker has acknowledged a start, or its report lists the run. */
static void
on_started(sched_t *s, run_t *r)
{
	if (r->state == RUN_STARTING)
		run_set_state(s, r, RUN_RUNNING);
	r->in_doubt_ms = 0;
	r->held_up = false;
	r->first_seen_ms = s->now_ms;
	downtime_run_up(s, r);
	run_mark_job_started(s, r->job);
	if (r->unwanted)
		run_stop(s, r, "no longer needed");
	else /* starvation.c may want it slowed from its start */
		run_set_pace(s, r, r->wanted_pace_pct);
}

/* A report of its worker lists the run: a start in doubt was carried out. */
void
run_listed(sched_t *s, run_t *r)
{
	if (r->in_doubt_ms == 0 || r->state != RUN_STARTING)
		return;
	/* It is not known how long it has run. */
	r->first_seen_percent = MAX(1, r->percent);
	on_started(s, r);
}

/*
 * Stops a run whose start is in doubt and which a later report does not list, so
 * that the task can be started elsewhere: the worker may yet carry the order out,
 * but none for a run that it was told to stop.
 */
void
run_stop_in_doubt(sched_t *s, run_t *r)
{
	if (r->in_doubt_ms == 0 || r->state != RUN_STARTING)
		return;
	run_stop(s, r, "start order unanswered");
}

/*
 * Handles the result of a start order.  After one in doubt a poll tells if the
 * run exists: a worker may have carried out the order and lost the answer, and a
 * stop would throw that work away.
 */
static void
on_start_done(sched_t *s, run_t *r, sched_order_result_t res)
{
	if (res == SCHED_ORDER_OK) {
		on_started(s, r);
		return;
	}
	if (res != SCHED_ORDER_IN_DOUBT) {
		on_start_rejected(s, r, res);
		return;
	}
	r->held_up = true;
	s->stats.start_unknown++;
	r->worker->backoff_until_ms =
	    MAX(r->worker->backoff_until_ms, s->now_ms + NO_ANSWER_BACKOFF_MS);
	LOG_EVENT(s, SCHED_EVT_START_FAILED, r->name,
	    "run=%" PRId64 " worker=%s result=in_doubt", r->number,
	    r->worker->id);
	if (r->unwanted) {
		run_stop(s, r, "start order unanswered");
		return;
	}
	r->in_doubt_ms = s->now_ms;
	if (r->last_report != 0) {
		run_listed(s, r);
		return;
	}
	poll_abandon(s, r->worker);
	r->worker->poll_without_wait = true;
}

/*
 * Handles the result of a stop order.  Any answer of the worker process counts
 * as an acknowledgement, unless it is that the worker is unhealthy, or another process
 * runs by now, which the stop of a start that is held up has to be sent to as well.  Another
 * process at the address where the worker has answered does not have the run.
 */
static void
on_stop_done(sched_t *s, run_t *r, sched_order_result_t res)
{
	bool to_former = r->order_to_former;

	r->order_to_former = false;
	if (to_former ||
	    (res == SCHED_ORDER_RESTARTED && !r->worker->has_answered))
		return;
	if (res == SCHED_ORDER_RESTARTED) {
		crash_run_replaced(s, r);
		run_remove(s, r);
	} else if (res != SCHED_ORDER_IN_DOUBT && res != SCHED_ORDER_NOT_SENT &&
	    res != SCHED_ORDER_UNHEALTHY) {
		r->stop_acked_ms = s->now_ms;
		/* The start was in doubt: a poll sent now shows whether the
		 * run exists. */
		if (r->first_seen_ms == 0) {
			poll_abandon(s, r->worker);
			r->worker->poll_without_wait = true;
		}
	}
}

/*
 * Handles the result of a pace order, and sends the order that has become due
 * meanwhile.  One without an answer may be carried out after later ones: they
 * are repeated for a while.
 */
static void
on_pace_done(sched_t *s, run_t *r, sched_order_result_t res)
{
	if (res == SCHED_ORDER_IN_DOUBT)
		r->pace_doubt_until_ms = s->now_ms + PACE_DOUBT_MS;
	if (res == SCHED_ORDER_OK && s->now_ms >= r->pace_doubt_until_ms)
		r->pace_pct = r->sent_pace_pct;
	else {
		r->pace_pct = PACE_UNKNOWN;
		r->pace_retry_ms = s->now_ms + PACE_RETRY_MS;
	}
	if (r->state == RUN_STOPPING)
		run_stop(s, r, "again");
	else
		run_set_pace(s, r, r->wanted_pace_pct);
}

/*
 * Handles the result of the last order for a run; clock_ms is the worker's
 * clock, or 0.
 */
void
run_order_done(sched_t *s, run_t *r, sched_order_result_t res, int64_t clock_ms)
{
	r->order_pending = false;
	if (r->last_order == SCHED_START)
		lease_start_done(s, r->worker);
	/* Another process may have answered than the one that answers now. */
	if (clock_ms > 0 && res != SCHED_ORDER_RESTARTED &&
	    !r->worker_restarted)
		lease_clock_read(s, r->worker, clock_ms);
	if (res == SCHED_ORDER_FENCED)
		ownership_lost(s, "a worker has seen a newer token");
	else if (r->last_order == SCHED_START)
		on_start_done(s, r, res);
	else if (r->last_order == SCHED_STOP)
		on_stop_done(s, r, res);
	else
		on_pace_done(s, r, res);
}

/* Withdraws the nominations for the tasks of a step. */
static void
withdraw_all(sched_t *s, step_t *st)
{
	for (int32_t i = 0; st->def->lasting && i < st->ntasks; i++)
		nominate_withdraw(s, &st->tasks[i]);
}

/*
 * Ends an open job in the given state: takes its steps from the queue, stops
 * its runs and has its end stored.
 */
void
run_end_job(sched_t *s, job_t *j, Sched__State end)
{
	run_t *r;

	if (j->stage != JOB_OPEN)
		return;
	j->stage = JOB_ENDING;
	j->end_state = end;
	for (guint i = 0; i < j->occs->len; i++) {
		occurrence_t *o = g_ptr_array_index(j->occs, i);

		for (size_t k = 0; k < j->def->n_steps; k++) {
			queue_remove_step(&o->steps[k]);
			withdraw_all(s, &o->steps[k]);
		}
	}
	if (j->nruns > 0)
		FOREACH_VALUE (r, s->runs)
			if (r->job == j)
				run_discard(s, r, "the job has ended");
	LOG_EVENT(s, SCHED_EVT_JOB_ENDED, j->id,
	    "state=%d late=%" PRId64 " runs=%d allowed=%" PRId64, end,
	    s->wall_ms - j->def->accepted_ms - j->allowed_ms, j->nruns,
	    j->allowed_ms);
	flush_mark_job(s, j);
}

/*
 * Updates which steps of an occurrence are ready, as all steps that they depend
 * on are done, and queues them.
 */
void
run_add_ready_steps(sched_t *s, occurrence_t *o)
{
	for (size_t i = 0; i < o->job->def->n_steps; i++) {
		step_t *st = &o->steps[i];
		bool ready = true;

		for (size_t k = 0; k < st->def->n_after; k++) {
			const step_t *p = &o->steps[st->def->after[k]];

			ready = ready && p->ndone == p->ntasks;
		}
		st->ready = ready;
		queue_add_step(s, st);
	}
}

/* Removes a run that was lost with its worker. */
static void
lose_run(sched_t *s, run_t *r, const char *why)
{
	s->stats.lost++;
	downtime_run_lost(s, r);
	LOG_EVENT(s, SCHED_EVT_LOST, r->name,
	    "run=%" PRId64 " worker=%s why=\"%s\"", r->number, r->worker->id,
	    why);
	run_remove(s, r);
}

/* Removes all runs on a worker, as none of them can run any more. */
void
run_worker_lost(sched_t *s, worker_t *w, const char *why)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	LOG_EVENT(s, SCHED_EVT_WORKER, w->id, "lost=%u why=\"%s\"",
	    g_hash_table_size(w->runs), why);
	for (GList *i = all; i != NULL; i = i->next)
		lose_run(s, i->data, why);
}

/*
 * Whether the process that its worker is known by has listed a run: no other process
 * can have it.
 */
bool
run_is_listed(const run_t *r)
{
	return r->last_report != 0 && !r->worker_restarted;
}

/* Removes the runs on a worker that it has listed, as none of them can run any more. */
void
run_listed_lost(sched_t *s, worker_t *w, const char *why)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);
	guint before = g_hash_table_size(w->runs);

	for (GList *i = all; i != NULL; i = i->next)
		if (run_is_listed(i->data))
			lose_run(s, i->data, why);
	LOG_EVENT(s, SCHED_EVT_WORKER, w->id, "lost=%u of=%u why=\"%s\"",
	    before - g_hash_table_size(w->runs), before, why);
}
