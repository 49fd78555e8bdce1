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
#include "internal.h"

#define LEAST 1.15 /* headroom that placement leaves */
#define AIM   1.4  /* headroom that slowed fillers are to leave */
/* Loss of headroom up to which a report tells of the task's own load. */
#define CLEAN	      0.3
#define HEADROOM_FALL 0.6 /* a second: no serving task's load grows faster */
#define HEADROOM_MAX  10
#define TYPICAL_USE   0.08 /* of a worker, by a filler task */
#define PACE_MIN_PCT  15   /* a lower share becomes 0 */
#define PACE_STEP_PCT 15   /* smaller changes are not sent */
#define MOVE_PACE_PCT 60   /* a filler slowed below this moves if it can */
#define MOVE_GAP_MS   150  /* between two moves from one worker */
#define WINDOW_MS     500  /* that the figures of a report tell of */
#define OVER_MS	      800  /* over for so long, whatever the model */
#define CALM_MS	      900  /* within its target so long: fillers work again */

/* Processor share that a filler image would use there unslowed. */
static double
would_use(const vm_t *w, int32_t image, int64_t more)
{
	return (double)(w->image_filler_cpu[image] + more) /
	    (double)w->cpu_milli;
}

/* Headroom that a serving image loses there to fillers at full speed. */
static double
lost(const sched_t *s, const vm_t *w, int32_t serving)
{
	double sum = 0;

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		if (w->image_filler_cpu[f] > 0)
			sum += harm_of(s, serving, f) * would_use(w, f, 0);
	return sum;
}

/* Whether a filler image may use a share of a worker that serves an image. */
static bool
bears(const sched_t *s, const vm_t *w, int32_t serving, int32_t filler,
    double share)
{
	double more = harm_of(s, serving, filler) * share;

	return more == 0 ||
	    harm_low(s, serving) - lost(s, w, serving) - more >= LEAST;
}

/* Whether a task of a step may go to a worker without too much harm. */
bool
noise_allows(const sched_t *s, const vm_t *w, const step_t *st)
{
	const Sched__Step *d = st->def;

	if (st->image < 0 || w->cpu_milli == 0 || !d->filler)
		return true;
	for (int32_t i = 0; i < IMAGES_MAX && w->serving > 0; i++)
		if (w->image_serving[i] > 0 &&
		    !bears(s, w, i, st->image,
			(double)d->cpu_milli / (double)w->cpu_milli))
			return false;
	return true;
}

/* Whether a task of a filler image may run beside a serving image at all. */
static bool
compatible(const sched_t *s, int32_t serving, int32_t filler)
{
	return harm_low(s, serving) -
	    harm_of(s, serving, filler) * TYPICAL_USE >=
	    LEAST;
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
				    compatible(s, g, f);
			all++;
			may += ok;
		}
		w->open_pct = all == 0 ? 100 : 100 * may / all;
	}
}

/* Filler images that may run beside one of two serving images only. */
static int32_t
differences(const sched_t *s, int32_t a, int32_t b)
{
	int32_t n = 0;

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		n += s->filler_image[f] &&
		    compatible(s, a, f) != compatible(s, b, f);
	return n;
}

/*
 * What speaks against a serving task there: the headroom that it would lack
 * beside the fillers of now, and how many of the serving images that it would
 * meet keep other fillers away than its own does.
 */
double
noise_serving_cost(
    const sched_t *s, const vm_t *w, const step_t *st, int32_t *images)
{
	*images = 0;
	if (st->image < 0 || w->cpu_milli == 0)
		return 0;
	for (int32_t i = 0; i < IMAGES_MAX; i++)
		if (w->image_serving[i] > 0 && i != st->image)
			*images += s->harm[i] == NULL ||
			    s->harm[st->image] == NULL ||
			    differences(s, i, st->image) > 0;
	return MAX(0, LEAST + lost(s, w, st->image) - harm_low(s, st->image));
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

/* Headroom of a serving run at work, target over tail; 0 when not known. */
static double
headroom(const run_t *r)
{
	int64_t target;

	if (r->task == NULL || r->state != RUN_ON || r->percent < 100 ||
	    r->task->step->image < 0 || r->measure <= 0)
		return 0;
	target = r->task->step->def->tail_target_ms;
	return MIN(HEADROOM_MAX, (double)target / (double)r->measure);
}

/*
 * Follows the headroom that the tasks of a step have without fillers.  All
 * bear the same load, and a filler can only lower what is seen: the highest
 * counts, and falls as fast as a load can grow.
 */
static void
follow_step(sched_t *s, step_t *st, double seen, double known_loss)
{
	double low = harm_low(s, st->image);
	double fall = HEADROOM_FALL * (double)(s->now - st->headroom_ms) / 1000;

	st->headroom = MAX(low, st->headroom - fall);
	st->headroom = MAX(st->headroom, seen);
	st->headroom_ms = s->now;
	if (known_loss <= CLEAN)
		harm_undisturbed(s, st->image, seen + known_loss);
}

/* What ended fillers still have to do with the figures of now, 0 to 1. */
static double
gone_share(const sched_t *s, const vm_t *w)
{
	return MAX(0, 1 - (double)(s->now - w->gone_ms) / WINDOW_MS);
}

/* Keeps in mind what a filler used that is there no more. */
void
noise_gone(const sched_t *s, const run_t *r)
{
	const step_t *st = r->task->step;
	vm_t *w = r->worker;
	double share = gone_share(s, w);

	if (!st->def->filler || st->image < 0)
		return;
	for (int32_t f = 0; f < IMAGES_MAX; f++)
		w->image_gone_cpu[f] *= share;
	w->image_gone_cpu[st->image] += (double)r->measure;
	w->gone_ms = s->now;
}

/* The shares of the worker's processors that filler images use. */
static void
shares_used(const sched_t *s, const vm_t *w, double *use)
{
	double share = gone_share(s, w) / (double)w->cpu_milli;
	GHashTableIter it;
	void *v;

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		use[f] = w->image_gone_cpu[f] * share;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;

		if (r->task != NULL && r->report == s->reports &&
		    r->task->step->def->filler && r->task->step->image >= 0)
			use[r->task->step->image] +=
			    (double)r->measure / (double)w->cpu_milli;
	}
}

/*
 * Learns from the tails of a report; true when one has been over its target
 * in all reports for so long that the model must be wrong.
 */
static bool
learn_report(sched_t *s, vm_t *w)
{
	double use[IMAGES_MAX];
	GHashTableIter it;
	bool over = false;
	void *v;

	shares_used(s, w, use);
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		double seen = headroom(v), known = 0;
		run_t *r = v;
		step_t *st;

		if (seen <= 0)
			continue;
		st = r->task->step;
		for (int32_t f = 0; f < IMAGES_MAX; f++)
			if (use[f] > 0)
				known += harm_of(s, st->image, f) * use[f];
		follow_step(s, st, seen, known);
		harm_learn(s, st->image, st->headroom - seen, use);
		if (seen >= 1)
			r->over_ms = 0;
		else if (r->over_ms == 0)
			r->over_ms = s->now;
		over =
		    over || (r->over_ms != 0 && s->now - r->over_ms >= OVER_MS);
	}
	return over;
}

/* The share of each filler image, 0 to 1, that leaves all tasks headroom. */
static void
shares_allowed(const sched_t *s, const vm_t *w, double *share)
{
	GHashTableIter it;
	void *v;

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		share[f] = 1;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const step_t *st;
		double all, keep;

		if (headroom(v) <= 0)
			continue;
		st = ((run_t *)v)->task->step;
		all = lost(s, w, st->image);
		if (all <= 0 || st->headroom - all >= AIM)
			continue;
		keep = CLAMP((st->headroom - AIM) / all, 0, 1);
		for (int32_t f = 0; f < IMAGES_MAX; f++)
			if (harm_of(s, st->image, f) > 0)
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
}

/* Sends a filler away that must be slowed much, if it has another place. */
static void
move(sched_t *s, vm_t *w, run_t *r, int32_t pct)
{
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
	if (learn_report(s, w))
		w->over_ms = s->now;
	shares_allowed(s, w, share);
	all = g_hash_table_get_values(w->runs);
	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;
		int32_t pct;

		if (!is_filler(r))
			continue;
		pct = (int32_t)(100 * share[r->task->step->image]);
		move(s, w, r, pct);
		/* The model says that all is well and it is not. */
		if (w->over_ms != 0 && s->now - w->over_ms < CALM_MS)
			pct = 0;
		slowed = slowed || pct < 100;
		set_share(s, w, r, pct);
	}
	w->pace = slowed ? 0 : 100;
}
