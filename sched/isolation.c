/*
 * Performance isolation of serving tasks from filler tasks, by the model of
 * interference.c: placement keeps fillers away from serving tasks that they
 * would slow down too much, and fillers that do so are slowed or moved away.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define MIN_HEADROOM   1.15 /* left to serving tasks by placement of fillers */
#define PACED_HEADROOM 1.4  /* left to serving tasks by slowing of fillers */
/* Up to this known loss, a measurement also updates the minimum headroom. */
#define UNDISTURBED_LOSS    0.3
#define HEADROOM_FALL_PER_S 0.6 /* the load of a serving task grows no faster */
#define MAX_HEADROOM	    10	/* higher measurements are cut to this */
#define TYPICAL_FILLER_USE  0.08 /* share of a worker that a filler task uses */
#define PACE_MIN_PCT	    15	 /* a lower pace becomes 0 */
#define PACE_STEP_PCT	    15	 /* smaller changes of a pace are not sent */
#define MOVE_PACE_PCT	    60	/* a filler with a lower pace moves if it can */
#define MOVE_GAP_MS	    150 /* between two moves away from one worker */
#define REPORT_WINDOW_MS    500 /* period that the metrics of a report cover */
/*
 * A tail latency above its target for so long stops all fillers on the worker,
 * whatever the model says.
 */
#define OVER_TARGET_MS	800
#define HOLD_FILLERS_MS 900 /* fillers stand still so long after that */

/*
 * Share of the processors that the fillers of an image on a worker use at full
 * speed, as declared.
 */
static double
filler_use(const worker_t *w, int32_t image)
{
	return (double)w->filler_cpu_by_image[image] / (double)w->cpu_milli;
}

/*
 * Headroom that tasks of a serving image on a worker lose to the fillers there
 * when these run at full speed.
 */
static double
headroom_loss(const sched_t *s, const worker_t *w, int32_t serving)
{
	double sum = 0;
	int32_t f;

	FOREACH_IMAGE(f, w->filler_mask)
	sum += interference_coefficient(s, serving, f) * filler_use(w, f);
	return sum;
}

/*
 * Whether tasks of a serving image on a worker keep enough headroom when a
 * further filler uses the given share of the processors.  True for a filler
 * that does not interfere with them, even if others leave too little headroom.
 */
static bool
tolerates(const sched_t *s, const worker_t *w, int32_t serving, int32_t filler,
    double share)
{
	double more = interference_coefficient(s, serving, filler) * share;

	return more == 0 ||
	    interference_min_headroom(s, serving) -
		headroom_loss(s, w, serving) - more >=
	    MIN_HEADROOM;
}

/*
 * Whether the serving tasks on a worker tolerate a task of the step there: true
 * for all tasks but fillers.
 */
bool
isolation_allows(const sched_t *s, const worker_t *w, const step_t *st)
{
	const Sched__Step *d = st->def;
	int32_t i;

	if (st->image < 0 || w->cpu_milli == 0 || !d->filler)
		return true;
	FOREACH_IMAGE(i, w->serving_mask)
	if (!tolerates(s, w, i, st->image,
		(double)d->cpu_milli / (double)w->cpu_milli))
		return false;
	return true;
}

/*
 * Whether one typical task of a filler image may run beside a serving image
 * that has no other fillers beside it.
 */
static bool
compatible(const sched_t *s, int32_t serving, int32_t filler)
{
	return interference_min_headroom(s, serving) -
	    interference_coefficient(s, serving, filler) * TYPICAL_FILLER_USE >=
	    MIN_HEADROOM;
}

/*
 * Updates for each worker the share of the filler images that are compatible
 * with all its serving tasks; 100 when there are no filler images.
 */
void
isolation_update_compatibility(sched_t *s)
{
	int32_t images = (int32_t)g_hash_table_size(s->images), f, serving;
	int32_t all = __builtin_popcountll(s->filler_images);

	for (serving = 0; serving < images; serving++) {
		s->compatible_fillers[serving] = 0;
		FOREACH_IMAGE(f, s->filler_images)
		if (compatible(s, serving, f))
			s->compatible_fillers[serving] |= IMAGE_BIT(f);
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		uint64_t may = s->filler_images;

		FOREACH_IMAGE(serving, w->serving_mask)
		may &= s->compatible_fillers[serving];
		w->compatible_filler_pct =
		    all == 0 ? 100 : 100 * __builtin_popcountll(may) / all;
	}
}

/*
 * Cost of placing a serving task on a worker: returns how much headroom the
 * task would lack there at its image's highest load, that is, by how much the
 * present fillers would push it below MIN_HEADROOM (0: not at all).  Counts in
 * *other_images the serving images there that are compatible with other fillers
 * than its own image (or whose compatibility is not known).
 */
double
isolation_serving_cost(const sched_t *s, const worker_t *w, const step_t *st,
    int32_t *other_images)
{
	int32_t i;

	*other_images = 0;
	if (st->image < 0 || w->cpu_milli == 0)
		return 0;
	FOREACH_IMAGE(i, w->serving_mask & ~IMAGE_BIT(st->image))
	*other_images += s->interference[i] == NULL ||
	    s->interference[st->image] == NULL ||
	    s->compatible_fillers[i] != s->compatible_fillers[st->image];
	return MAX(0,
	    MIN_HEADROOM + headroom_loss(s, w, st->image) -
		interference_min_headroom(s, st->image));
}

/*
 * Adds a task to a worker's counters by image (sign 1) or removes it (sign -1).
 */
void
isolation_count_task(worker_t *w, const step_t *st, int sign)
{
	uint64_t bit;

	if (st->image < 0)
		return;
	bit = IMAGE_BIT(st->image);
	if (st->def->filler) {
		w->filler_cpu_by_image[st->image] += sign * st->def->cpu_milli;
		w->filler_mask &= ~bit;
		if (w->filler_cpu_by_image[st->image] > 0)
			w->filler_mask |= bit;
	} else if (st->def->tail_target_ms > 0) {
		w->serving_by_image[st->image] += sign;
		w->serving_mask &= ~bit;
		if (w->serving_by_image[st->image] > 0)
			w->serving_mask |= bit;
	}
}

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

	if (r->task == NULL || r->state != RUN_RUNNING || r->percent < 100 ||
	    r->task->step->image < 0 || r->metric <= 0)
		return 0;
	target = r->task->step->def->tail_target_ms;
	return MIN(MAX_HEADROOM, (double)target / (double)r->metric);
}

/*
 * Updates the headroom that the tasks of a step have without fillers with the
 * measured one of one task, which by the model has lost known_loss to fillers.
 * All tasks of a step share its load evenly, and fillers can only lower a
 * measurement: the highest one counts, and the estimate falls as fast as a load
 * can grow.  A task that has lost little also updates the minimum headroom of
 * its image.
 */
static void
update_step_headroom(sched_t *s, step_t *st, double measured, double known_loss)
{
	double low = interference_min_headroom(s, st->image);
	double fall = HEADROOM_FALL_PER_S *
	    (double)(s->now_ms - st->headroom_updated_ms) / 1000;

	st->headroom = MAX(low, st->headroom - fall);
	st->headroom = MAX(st->headroom, measured);
	st->headroom_updated_ms = s->now_ms;
	if (known_loss <= UNDISTURBED_LOSS)
		interference_learn_headroom(
		    s, st->image, measured + known_loss);
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
isolation_run_removed(const sched_t *s, const run_t *r)
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
 * used in the period of the last report.
 */
static void
filler_shares(const sched_t *s, const worker_t *w, double *use)
{
	double share = ended_filler_weight(s, w) / (double)w->cpu_milli;
	GHashTableIter it;
	void *v;

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		use[f] = w->ended_filler_cpu_by_image[f] * share;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;

		if (r->task != NULL && r->last_report == s->report_number &&
		    r->task->step->def->filler && r->task->step->image >= 0)
			use[r->task->step->image] +=
			    (double)r->metric / (double)w->cpu_milli;
	}
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
	GHashTableIter it;
	bool over = false;
	void *v;

	filler_shares(s, w, use);
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		double measured = headroom(v), loss = 0;
		run_t *r = v;
		step_t *st;

		if (measured <= 0)
			continue;
		st = r->task->step;
		for (int32_t f = 0; f < IMAGES_MAX; f++)
			if (use[f] > 0)
				loss +=
				    interference_coefficient(s, st->image, f) *
				    use[f];
		update_step_headroom(s, st, measured, loss);
		interference_learn(s, st->image, st->headroom - measured, use);
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

/*
 * Fills pace with the pace, 0 to 1, of each filler image at which all serving
 * tasks on the worker keep PACED_HEADROOM.
 */
static void
allowed_paces(const sched_t *s, const worker_t *w, double *pace)
{
	GHashTableIter it;
	void *v;

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		pace[f] = 1;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const step_t *st;
		double loss, keep;

		if (headroom(v) <= 0)
			continue;
		st = ((run_t *)v)->task->step;
		loss = headroom_loss(s, w, st->image);
		if (loss <= 0 || st->headroom - loss >= PACED_HEADROOM)
			continue;
		keep = CLAMP((st->headroom - PACED_HEADROOM) / loss, 0, 1);
		for (int32_t f = 0; f < IMAGES_MAX; f++)
			if (interference_coefficient(s, st->image, f) > 0)
				pace[f] = MIN(pace[f], keep);
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
	return place_elsewhere(s, r) != NULL;
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
isolation_report(sched_t *s, worker_t *w)
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
