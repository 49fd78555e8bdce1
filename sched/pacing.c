/*
 * Slowing of fillers beside serving tasks that would miss their target: learns
 * from the reports of a worker what its fillers take (interference.c), and sets
 * their paces so that no slack of isolation.c is below zero, or moves them.
 */
#include <math.h>
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

#define YOUNG_MS	 1000 /* the metric of a task tells little so long */
#define PACE_MIN_PCT	 15   /* a lower pace becomes 0 */
#define PACE_STEP_PCT	 15   /* smaller changes of a pace are not sent */
#define MOVE_PACE_PCT	 60   /* a filler with a lower pace moves if it can */
#define MOVE_GAP_MS	 150  /* between two moves away from one worker */
#define REPORT_WINDOW_MS 500  /* period that the metrics of a report cover */
/*
 * A tail latency above its target for so long stops all fillers on the worker,
 * whatever the model says.
 */
#define OVER_TARGET_MS	800
#define HOLD_FILLERS_MS 900 /* fillers stand still so long after that */

/* Whether the run is a running filler task of a known image. */
static bool
is_filler(const run_t *r)
{
	return r->task != NULL && r->state == RUN_RUNNING &&
	    r->task->step->def->filler && r->task->step->image >= 0;
}

/*
 * Headroom of a running serving task, its target divided by its reported tail
 * latency; 0 when it is not known.
 */
static double
headroom(const run_t *r)
{
	int64_t target;

	if (!isolation_is_serving(r) || r->percent < 100 || r->metric <= 0)
		return 0;
	target = r->task->step->def->tail_target_ms;
	return MIN(HEADROOM_MAX, (double)target / (double)r->metric);
}

/*
 * How much of the use of fillers that have ended is still in the metrics of a
 * report that arrives now, from 1 just after the end to 0.
 */
static double
ended_filler_weight(const sched_t *s, const worker_t *w)
{
	return MAX(
	    0, 1 - (double)(s->now_ms - w->filler_ended_ms) / REPORT_WINDOW_MS);
}

/*
 * Records the last processor use of a filler that is removed from its worker,
 * as the next report still covers a part of it.
 */
void
pacing_run_removed(const sched_t *s, const run_t *r)
{
	const step_t *st = r->task->step;
	worker_t *w = r->worker;
	double weight = ended_filler_weight(s, w);

	if (!st->def->filler || st->image < 0)
		return;
	for (int32_t f = 0; f < IMAGES_MAX; f++)
		w->ended_filler_cpu_by_image[f] *= weight;
	w->ended_filler_cpu_by_image[st->image] += (double)r->metric;
	w->filler_ended_ms = s->now_ms;
}

/*
 * Fills use with the share of the worker's processors that each filler image
 * used in the period of the last report; returns the set of these images.
 */
static uint64_t
filler_shares(const sched_t *s, const worker_t *w, double *use)
{
	uint64_t fillers = 0;
	double share = ended_filler_weight(s, w) / (double)w->cpu_milli;
	const run_t *r;

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		use[f] = w->ended_filler_cpu_by_image[f] * share;
	FOREACH_VALUE (r, w->runs) {
		if (r->task != NULL && r->last_report == s->report_number &&
		    r->task->step->def->filler && r->task->step->image >= 0)
			use[r->task->step->image] +=
			    (double)r->metric / (double)w->cpu_milli;
	}
	for (int32_t f = 0; f < IMAGES_MAX; f++)
		if (use[f] > 0)
			fillers |= IMAGE_BIT(f);
	return fillers;
}

/*
 * Learns from the measured headroom of a serving run, beside which the filler
 * images of a set used these shares of the worker.
 */
static void
learn_from_run(
    sched_t *s, run_t *r, double measured, uint64_t fillers, const double *use)
{
	step_t *st = r->task->step;
	headroom_sample_t x = { .measured = measured,
		.previous = r->measured,
		.age_ms = s->now_ms - r->measured_ms };

	if (r->first_measured_ms == 0)
		r->first_measured_ms = s->now_ms;
	/* Runs that an earlier owner started are not young. */
	if (s->now_ms - r->first_measured_ms < YOUNG_MS &&
	    (r->first_seen_percent == 0 || r->measured_ms == 0)) {
		r->measured = measured;
		r->measured_ms = s->now_ms;
		return;
	}
	if (st->load->headroom.updated_ms == 0)
		headroom_start(&st->load->headroom, measured, s->now_ms);
	if (!interference_learn(s, st->image, st->load, &x, fillers, use))
		return;
	r->measured = measured;
	r->measured_ms = s->now_ms;
}

/*
 * Updates the model from the tail latencies of a worker's last report.  Returns
 * true when a serving task has been over its target for so long that the model
 * must be wrong.
 */
static bool
learn_from_report(sched_t *s, worker_t *w)
{
	double use[IMAGES_MAX];
	uint64_t fillers = filler_shares(s, w, use);
	bool over = false;
	run_t *r;

	FOREACH_VALUE (r, w->runs) {
		double measured = headroom(r);

		if (measured <= 0)
			continue;
		learn_from_run(s, r, measured, fillers, use);
		if (measured >= 1)
			r->over_target_since_ms = 0;
		else if (r->over_target_since_ms == 0)
			r->over_target_since_ms = s->now_ms;
		over = over ||
		    (r->over_target_since_ms != 0 &&
			s->now_ms - r->over_target_since_ms >= OVER_TARGET_MS);
	}
	return over;
}

/* The image of a set with the highest coefficient for a serving image, or -1. */
static int32_t
most_interfering(const sched_t *s, int32_t serving, uint64_t fillers)
{
	double most = 0;
	int32_t f, found = -1;

	FOREACH_IMAGE (f, fillers) {
		double c = interference_cautious(s, serving, f);

		if (found >= 0 && c <= most)
			continue;
		most = c;
		found = f;
	}
	return found;
}

/*
 * Fills pace with the pace, 0 to 1, of each filler image on a worker at which no
 * serving image there lacks slack.  Those that interfere most are slowed first,
 * as that costs the least work.
 */
static void
allowed_paces(const sched_t *s, worker_t *w, double *pace)
{
	int32_t i, f;

	isolation_update_slack(s, w);
	/* Also of a filler that declares no processor time. */
	for (f = 0; f < IMAGES_MAX; f++)
		pace[f] = 1;
	FOREACH_IMAGE (i, w->serving_mask) {
		uint64_t left = w->filler_mask;
		double lack = -w->slack[i];

		/* What others need has been taken off already. */
		FOREACH_IMAGE (f, w->filler_mask)
			lack -= (1 - pace[f]) * isolation_filler_use(w, f) *
			    interference_cautious(s, i, f);
		while (lack > 0 && (f = most_interfering(s, i, left)) >= 0) {
			double loss;

			left &= ~IMAGE_BIT(f);
			loss = pace[f] * isolation_filler_use(w, f) *
			    interference_cautious(s, i, f);
			if (loss <= 0)
				continue;
			pace[f] *= MAX(0, 1 - lack / loss);
			lack -= loss;
		}
	}
}

/*
 * Whether a filler may be stopped here because another worker could take it.  A
 * task without checkpoints would lose its work, so it moves only once it stands
 * still.
 */
static bool
can_move(sched_t *s, const worker_t *w, const run_t *r)
{
	const task_t *t = r->task;

	if (t->run != r || s->now_ms - w->filler_moved_ms < MOVE_GAP_MS ||
	    (!t->step->def->checkpoints && r->wanted_pace_pct > 0))
		return false;
	return customer_allows_move(r) && place_elsewhere(s, r) != NULL;
}

/* Sets the wanted pace of a filler run; run_resend_orders sends it. */
static void
set_pace(sched_t *s, worker_t *w, run_t *r, int32_t pct)
{
	if (pct < PACE_MIN_PCT)
		pct = 0;
	if (pct != 0 && pct != 100 &&
	    ABS(pct - r->wanted_pace_pct) < PACE_STEP_PCT)
		return;
	if (pct != r->wanted_pace_pct)
		LOG_EVENT(s, SCHED_EVT_PACE, r->name,
		    "worker=%s percent=%d was=%d", w->id, pct,
		    r->wanted_pace_pct);
	r->wanted_pace_pct = pct;
}

/*
 * Stops a filler whose pace pct is below MOVE_PACE_PCT, so that it starts
 * elsewhere, if another worker can take it now.
 */
static void
move_if_slowed(sched_t *s, worker_t *w, run_t *r, int32_t pct)
{
	if (pct >= MOVE_PACE_PCT || !ownership_may_start_tasks(s) ||
	    !can_move(s, w, r))
		return;
	w->filler_moved_ms = s->now_ms;
	r->task->avoid_worker = w->id;
	run_stop(s, r, "slows down a serving task");
}

/*
 * Called after each report of a worker: updates the model and then the pace of
 * the fillers there, or moves them.
 */
void
pacing_report(sched_t *s, worker_t *w)
{
	double pace[IMAGES_MAX];
	g_autoptr(GList) all = NULL;
	bool slowed = false;

	if (w->cpu_milli == 0 ||
	    (w->nserving == 0 && w->fillers_pace_pct == 100))
		return;
	if (learn_from_report(s, w))
		w->target_exceeded_ms = s->now_ms;
	allowed_paces(s, w, pace);
	all = g_hash_table_get_values(w->runs);
	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;
		int32_t pct;

		/* One that starts slowed counts before its start is answered,
		 * or its pace would not be raised. */
		slowed = slowed || r->wanted_pace_pct < 100;
		if (!is_filler(r))
			continue;
		pct = (int32_t)(100 * pace[r->task->step->image]);
		move_if_slowed(s, w, r, pct);
		/* A target has been missed for long: the model is wrong. */
		if (w->target_exceeded_ms != 0 &&
		    s->now_ms - w->target_exceeded_ms < HOLD_FILLERS_MS)
			pct = 0;
		slowed = slowed || pct < 100;
		set_pace(s, w, r, pct);
	}
	w->fillers_pace_pct = slowed ? 0 : 100;
}
