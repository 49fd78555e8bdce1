/*
 * Orders as a simulated worker carries them out.  Each start is checked against the
 * safety properties.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"
#include "worker_internal.h"

/*
 * Starts are allowed for so long after a drain, an evacuation or a cancel, and
 * for any time during an outage of the store and shortly after it.
 */
#define DRAIN_BOUND_MS	    2000
#define EVACUATION_BOUND_MS 5000
#define CANCEL_BOUND_MS	    3000
#define AFTER_OUTAGE_MS	    3000
/* The same after a noted end, where two runs may exist. */
#define DUPLICATE_BOUND_MS 1000
/* A task that crashes its workers is not started so often by one owner after so
 * many crashes. */
#define CRASHES_BEFORE	     3
#define STARTS_AFTER_CRASHES 3
/* An order that was sent before an end was stored may arrive so much later. */
#define IN_FLIGHT_MS (2 * NETWORK_DELAY_MS)

/* All tasks of the steps that this one comes after must be done. */
static void
check_dependencies(
    world_t *w, const sim_job_t *job, const char *task, int32_t step)
{
	const Sched__Step *st = job->def->steps[step];

	for (size_t i = 0; i < st->n_after; i++)
		for (int32_t k = 0; k < job->def->steps[st->after[i]]->count;
		     k++) {
			g_autofree char *t = g_strdup_printf(
			    "%s.0.%d.%d", job->id, st->after[i], k);

			if (!world_ground_truth(w, t)->done)
				world_fail(w, "order",
				    "task %s started before the end of %s",
				    task, t);
		}
}

static bool
fits(const sim_worker_t *wk, const Sched__Step *st)
{
	int64_t cpu = st->filler ? 0 : st->cpu_milli, mem = st->mem_mb;

	for (guint i = 0; i < wk->runs->len; i++) {
		const sim_run_t *run = g_ptr_array_index(wk->runs, i);

		cpu += run->step->filler ? 0 : run->step->cpu_milli;
		mem += run->step->mem_mb;
	}
	return cpu <= wk->cpu_milli && mem <= wk->mem_mb;
}

/*
 * Checks a start just before it takes effect.  The time bounds do not apply to
 * an order that was delayed.
 */
static void
check_start(world_t *w, sim_worker_t *wk, const sched_order_t *o,
    sim_job_t *job, int32_t step, int64_t sent_ms)
{
	bool late = w->now_ms - sent_ms > NETWORK_DELAY_MS;
	ground_truth_t *truth = world_ground_truth(w, o->task);
	const int64_t *since_ms =
	    g_hash_table_lookup(w->evacuated_since, wk->zone);

	if (truth->running > 0 && !job->def->steps[step]->duplicates)
		world_fail(w, "twice",
		    "task %s: run %" PRId64 " started on %s beside another",
		    o->task, o->run, wk->id);
	if (truth->done_acked &&
	    (!job->def->steps[step]->duplicates ||
		(!late &&
		    w->now_ms > truth->done_acked_ms + DUPLICATE_BOUND_MS)))
		world_fail(w, "twice",
		    "task %s: run %" PRId64 " started after its end", o->task,
		    o->run);
	/* While the worker that listed the end is up. */
	if (truth->done_read_token == o->token &&
	    sent_ms > truth->done_read_ms && !job->def->steps[step]->duplicates)
		world_fail(w, "twice",
		    "task %s: run %" PRId64 " started after its end was read",
		    o->task, o->run);
	if (truth->failures_acked >= job->def->max_attempts &&
	    !job->def->steps[step]->lasting)
		world_fail(w, "budget",
		    "task %s: run %" PRId64 " exceeds its attempts", o->task,
		    o->run);
	/* A crash that no owner lived to learn of can't be counted by the next;
	 * nor is one before the answer known to follow from the start. */
	if (truth->starts_token != o->token)
		truth->starts_after_crashes = 0;
	truth->starts_token = o->token;
	if (truth->crashes >= CRASHES_BEFORE &&
	    worker_task_is_deadly(job, o->task) &&
	    ++truth->starts_after_crashes >=
		STARTS_AFTER_CRASHES + (job->deadly_after_ms == 0))
		world_fail(w, "crashes",
		    "task %s: run %" PRId64 " started after %d crashes",
		    o->task, o->run, truth->crashes);
	check_dependencies(w, job, o->task, step);
	if (!fits(wk, job->def->steps[step]))
		world_fail(w, "limit",
		    "task %s started on %s, which has no room", o->task,
		    wk->id);
	if (late)
		return;
	if (job->ended_ms != 0 && w->now_ms > job->ended_ms + IN_FLIGHT_MS)
		world_fail(w, "ended",
		    "task %s started after the end of its job", o->task);
	/* The bounds below apply only while the store answers. */
	if (w->store_down || w->now_ms < w->outage_changed_ms + AFTER_OUTAGE_MS)
		return;
	if (job->cancelled && w->now_ms > job->cancelled_ms + CANCEL_BOUND_MS)
		world_fail(w, "cancel",
		    "task %s started too long after the cancel", o->task);
	if (wk->draining && w->now_ms > wk->drain_began_ms + DRAIN_BOUND_MS)
		world_fail(w, "drain",
		    "task %s started on %s too long after its drain began",
		    o->task, wk->id);
	if (since_ms != NULL && w->now_ms > *since_ms + EVACUATION_BOUND_MS)
		world_fail(w, "evacuated",
		    "task %s started on %s too long after the evacuation of "
		    "its zone",
		    o->task, wk->id);
}

/* Starts a run, unless the worker must reject it; extends the lease. */
static sched_order_result_t
start_run(world_t *w, sim_worker_t *wk, const sched_order_t *o, int64_t sent_ms)
{
	sim_job_t *job = worker_job_of(w, o->task);
	const int64_t *rejected =
	    g_hash_table_lookup(wk->highest_rejected_run, o->task);
	sim_run_t *run = worker_find_run(wk, o->task);
	int32_t step = 0;
	double factor;

	if (o->deadline_ms <= worker_clock_ms(w, wk))
		return SCHED_ORDER_EXPIRED;
	wk->lease_until_ms = MAX(wk->lease_until_ms,
	    MIN(o->deadline_ms, worker_clock_ms(w, wk) + MAX_LEASE_MS));
	if (run != NULL && run->run == o->run)
		return SCHED_ORDER_OK;
	if ((rejected != NULL && o->run <= *rejected) ||
	    (run != NULL && o->run < run->run))
		return SCHED_ORDER_STALE_RUN;
	if (job == NULL) {
		world_fail(w, "unasked", "task %s has no job", o->task);
		return SCHED_ORDER_INVALID;
	}
	sscanf(o->task + SCHED_JOB_ID_BYTES, ".%*d.%d", &step);
	if (!sim_approval_accepts(w, job, o->task, o->ticket))
		return SCHED_ORDER_NO_TICKET;
	if (wk->guards_capacity && !fits(wk, job->def->steps[step]))
		return SCHED_ORDER_NO_ROOM;
	/* Runs may have ended on workers that got no call lately. */
	for (int32_t i = 0; i < w->nworkers; i++)
		worker_advance(w, &w->workers[i]);
	check_start(w, wk, o, job, step, sent_ms);
	quotas_check_start(w, job, o->task, sent_ms);
	run = g_new0(sim_run_t, 1);
	g_strlcpy(run->task, o->task, sizeof(run->task));
	run->run = o->run;
	run->step = job->def->steps[step];
	run->job = job;
	/* A run takes 0.5 to 1.5 times the estimate of its step. */
	factor = 0.5 + (double)(g_str_hash(o->task) % 100) / 100;
	run->work_ms = run->work_left_ms =
	    (double)(int64_t)((double)run->step->estimate_ms * factor);
	run->pace_pct = 100;
	if (job->always_fails)
		run->work_left_ms = ALWAYS_FAILS_WORK_MS;
	run->counted_at_ms = w->now_ms;
	if (job->fails_after_ms > 0)
		run->fails_at_ms = w->now_ms + job->fails_after_ms;
	g_ptr_array_add(wk->runs, run);
	if (worker_task_is_deadly(job, o->task))
		worker_arm_deadly_run(w, wk, job, o);
	world_ground_truth(w, o->task)->running++;
	world_ground_truth(w, o->task)->started_ms = w->now_ms;
	down_check_start(w, o->task);
	job->begun = true;
	job->start_ms = w->now_ms;
	w->starts++;
	return SCHED_ORDER_OK;
}

sched_order_result_t
worker_execute_order(
    world_t *w, sim_worker_t *wk, const sched_order_t *o, int64_t sent_ms)
{
	sim_run_t *run = worker_find_run(wk, o->task);

	if (o->token < wk->token)
		return SCHED_ORDER_FENCED;
	wk->token = o->token;
	if (o->kind == SCHED_START)
		return start_run(w, wk, o, sent_ms);
	if (o->kind == SCHED_PACE) {
		if (run != NULL)
			run->pace_pct = o->percent;
		return run == NULL ? SCHED_ORDER_INVALID : SCHED_ORDER_OK;
	}
	worker_reject_runs_up_to(wk, o->task, o->run);
	if (run != NULL && run->run == o->run && !run->stopping) {
		if (run->step->lasting && !run->job->cancelled)
			down_check_stop(w, wk, run);
		run->stopping = true;
		run->stops_at_ms =
		    w->now_ms + world_random_int(w, 0, MAX_STOP_MS);
	}
	return SCHED_ORDER_OK;
}
