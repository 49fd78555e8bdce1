/*
 * Interference: filler tasks are kept away from the serving tasks that they
 * harm, and are slowed or moved where they do.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "part.h"

#define LIMIT_PCT     68   /* no filler where a tail above this is expected */
#define LIMIT_LOW_PCT 55   /* ... while its job can still wait */
#define WAIT_MS	      1500 /* it can, with so much time to spare */
#define TYPICAL_USE   0.08 /* of a worker, by a filler task */
#define AIM_PCT	      70   /* slowed fillers are to leave this */
#define PART_MIN      0.2 /* of the harm: fillers that do less are left alone */
#define PACE_MIN_PCT  15  /* a lower share becomes 0 */
#define PACE_STEP_PCT 15  /* smaller changes are not sent */
#define MOVE_PACE_PCT 60  /* a filler slowed below this moves if it can */
#define MOVE_GAP_MS   150 /* between two moves from one worker */
#define OVER_PCT      88  /* taken as over: the figure is rough */
#define OVER_MS	      1200 /* over for so long, whatever the model */
#define CALM_MS	      900  /* within its target so long: fillers work again */

/* Processor share that a filler image would use there unslowed. */
static double
would_use(const vm_t *w, int32_t image, int64_t more)
{
	return (double)(w->image_filler_cpu[image] + more) /
	    (double)w->cpu_milli;
}

/* The tail expected of a serving image with more of a filler image. */
static double
expected(const sched_t *s, const vm_t *w, int32_t serving, int32_t filler,
    int64_t more)
{
	double pct = harm_base(s, serving);

	for (int32_t f = 0; f < IMAGES_MAX; f++) {
		double use = would_use(w, f, f == filler ? more : 0);

		if (use > 0)
			pct += harm_of(s, serving, f) * use;
	}
	return pct;
}

/* Whether a task of a step may go to a worker without too much harm. */
bool
noise_allows(const sched_t *s, const vm_t *w, const step_t *st)
{
	const Sched__Step *d = st->def;
	double limit =
	    st->latest_ms - s->wall > WAIT_MS ? LIMIT_LOW_PCT : LIMIT_PCT;

	if (st->image < 0 || w->cpu_milli == 0 || !d->filler)
		return true;
	for (int32_t i = 0; i < IMAGES_MAX && w->serving > 0; i++)
		if (w->image_serving[i] > 0 &&
		    expected(s, w, i, st->image, d->cpu_milli) > limit)
			return false;
	return true;
}

/*
 * Works out for each worker how many of the filler images may run there, in
 * percent; with none to be told apart all are alike.
 */
void
noise_openness(sched_t *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		vm_t *w = g_ptr_array_index(s->worker_list, i);
		int32_t all = 0, may = 0;

		for (int32_t f = 0; f < IMAGES_MAX; f++) {
			bool ok = true;

			if (!s->filler_image[f])
				continue;
			for (int32_t g = 0; g < IMAGES_MAX && ok; g++)
				ok = w->image_serving[g] <= 0 ||
				    harm_base(s, g) +
					    harm_of(s, g, f) * TYPICAL_USE <=
					LIMIT_PCT;
			all++;
			may += ok;
		}
		w->open_pct = all == 0 ? 100 : 100 * may / all;
	}
}

/*
 * What a serving task would suffer there, in percent of its target, and how
 * many other images it would meet.
 */
double
noise_serving_cost(
    const sched_t *s, const vm_t *w, const step_t *st, int32_t *images)
{
	*images = 0;
	for (int32_t i = 0; i < IMAGES_MAX; i++)
		if (w->image_serving[i] > 0 && i != st->image)
			(*images)++;
	if (st->image < 0 || w->cpu_milli == 0)
		return 0;
	return expected(s, w, st->image, -1, 0);
}

void
noise_take(vm_t *w, const step_t *st, int sign)
{
	if (st->image < 0)
		return;
	if (st->def->filler)
		w->image_filler_cpu[st->image] += sign * st->def->cpu_milli;
	else if (st->def->tail_target_ms > 0)
		w->image_serving[st->image] += sign;
}

static bool
is_filler(const run_t *r)
{
	return r->task != NULL && r->state == RUN_ON &&
	    r->task->step->def->filler && r->task->step->image >= 0;
}

/* The tail of a serving run at work in percent of its target, or 0. */
static double
tail_pct(const run_t *r)
{
	int64_t target;

	if (r->task == NULL || r->state != RUN_ON || r->percent < 100 ||
	    r->task->step->image < 0)
		return 0;
	target = r->task->step->def->tail_target_ms;
	if (target <= 0)
		return 0;
	return (double)r->measure * 100 / (double)target;
}

/* Learns from the tails of a report; true when one is over its target. */
static bool
learn_report(sched_t *s, vm_t *w)
{
	double use[IMAGES_MAX] = { 0 };
	GHashTableIter it;
	bool over = false;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;

		if (is_filler(r))
			use[r->task->step->image] +=
			    (double)r->measure / (double)w->cpu_milli;
	}
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		double pct = tail_pct(v);

		if (pct <= 0)
			continue;
		harm_learn(s, ((run_t *)v)->task->step->image, pct, use);
		over = over || pct > OVER_PCT;
	}
	return over;
}

/* The share of each filler image, 0 to 1, that keeps all tails at the aim. */
static void
shares_allowed(const sched_t *s, const vm_t *w, double *share)
{
	for (int32_t f = 0; f < IMAGES_MAX; f++)
		share[f] = 1;
	for (int32_t i = 0; i < IMAGES_MAX; i++) {
		double base = harm_base(s, i), all, keep;

		if (w->image_serving[i] <= 0)
			continue;
		all = expected(s, w, i, -1, 0) - base;
		if (all <= 0 || base + all <= AIM_PCT)
			continue;
		keep = CLAMP((AIM_PCT - base) / all, 0, 1);
		for (int32_t f = 0; f < IMAGES_MAX; f++)
			if (harm_of(s, i, f) * would_use(w, f, 0) >
			    PART_MIN * all)
				share[f] = MIN(share[f], keep);
	}
}

/* Another worker could take the task, so that it may leave this one. */
static bool
can_move(sched_t *s, vm_t *w, const run_t *r)
{
	const task_t *t = r->task;
	int64_t off = w->hold_off_ms;
	vm_t *to;

	if (t->run != r || s->now - w->moved_ms < MOVE_GAP_MS ||
	    (!t->step->def->checkpoints && r->pace_want > 0))
		return false;
	w->hold_off_ms = INT64_MAX;
	to = place_task(s, t->step, t, NULL);
	w->hold_off_ms = off;
	return to != NULL;
}

static void
set_share(sched_t *s, vm_t *w, run_t *r, int32_t pct)
{
	if (pct < PACE_MIN_PCT)
		pct = 0;
	if (pct != 0 && pct != 100 && ABS(pct - r->pace_want) < PACE_STEP_PCT)
		return;
	if (pct != r->pace_want)
		LOG(s, SCHED_EVT_PACE, r->name, "worker=%s percent=%d was=%d",
		    w->id, pct, r->pace_want);
	r->pace_want = pct;
	if (pct >= MOVE_PACE_PCT || !cell_acts(s) || !can_move(s, w, r))
		return;
	w->moved_ms = s->now;
	r->task->avoid = w->id;
	run_stop(s, r, "harms a serving task");
}

/* Takes in the tails of a report and acts on them. */
void
noise_report(sched_t *s, vm_t *w)
{
	double share[IMAGES_MAX];
	g_autoptr(GList) all = NULL;
	bool slowed = false;

	if (w->cpu_milli == 0 || (w->serving == 0 && w->pace == 100))
		return;
	if (learn_report(s, w)) {
		w->over_ms = w->over_ms == 0 ? s->now : w->over_ms;
		w->calm_ms = s->now;
	} else if (s->now - w->calm_ms >= CALM_MS)
		w->over_ms = 0;
	shares_allowed(s, w, share);
	all = g_hash_table_get_values(w->runs);
	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;
		int32_t pct;

		if (!is_filler(r))
			continue;
		pct = (int32_t)(100 * share[r->task->step->image]);
		/* The model says that all is well and it is not. */
		if (w->over_ms != 0 && s->now - w->over_ms >= OVER_MS)
			pct = 0;
		slowed = slowed || pct < 100;
		set_share(s, w, r, pct);
	}
	w->pace = slowed ? 0 : 100;
}
