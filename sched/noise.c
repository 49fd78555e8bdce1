/*
 * Interference: how much each image of filler tasks slows each image of
 * serving tasks is learned from the tails that workers report, and used to
 * place tasks apart and to slow or move the fillers that do the harm.
 *
 * A tail is modelled, in percent of its target, as a base plus, for each
 * image of fillers beside it, harm times the share of the worker's
 * processors that the image uses.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "part.h"

#define BASE_PCT      45   /* of the target, until learned */
#define HARM_UNKNOWN  120  /* percent of the target per whole worker */
#define HARM_MAX      4000
#define TAIL_MAX_PCT  500  /* what is above teaches no more */
#define RATE	      0.3  /* of the error, normalised least mean squares */
#define RATE_BASE     0.03
#define NORM	      0.004 /* keeps small shares from large steps */
#define LIMIT_PCT     85   /* a tail expected above this is avoided */
#define AIM_PCT	      75   /* slowed fillers are to leave this */
#define STEP_MS	      450  /* between changes: the tail covers half a second */
#define CALM_MS	      1000 /* within targets before shares grow again */
#define GROW_PCT      25
#define PACE_MIN_PCT  10   /* a lower share becomes 0 */
#define MOVE_PACE_PCT 60   /* a filler slowed below this moves if it can */
#define MOVE_GAP_MS   300  /* between two moves from one worker */

/* The index of an image; -1 for none, or beyond the most. */
int32_t
noise_image(sched_t *s, const char *image)
{
	void *v;
	int32_t n;

	if (image[0] == '\0')
		return -1;
	if (g_hash_table_lookup_extended(s->images, image, NULL, &v))
		return GPOINTER_TO_INT(v);
	n = (int32_t)g_hash_table_size(s->images);
	if (n >= IMAGES_MAX)
		return -1;
	g_hash_table_insert(
	    s->images, (void *)g_intern_string(image), GINT_TO_POINTER(n));
	s->noise.base[n] = BASE_PCT;
	for (int32_t i = 0; i < IMAGES_MAX; i++)
		s->noise.harm[n][i] = HARM_UNKNOWN;
	return n;
}

/* The tail of a serving image expected on a worker, with more of a filler. */
static double
expected(const sched_t *s, const vm_t *w, int32_t serving, int32_t filler,
    int64_t cpu)
{
	double pct = s->noise.base[serving];

	for (int32_t f = 0; f < IMAGES_MAX; f++) {
		int64_t c = w->image_filler_cpu[f] + (f == filler ? cpu : 0);

		if (c > 0)
			pct += s->noise.harm[serving][f] * (double)c /
			    (double)w->cpu_milli;
	}
	return pct;
}

/* Whether a task of a step may go to a worker without too much harm. */
bool
noise_allows(const sched_t *s, const vm_t *w, const step_t *st)
{
	const Sched__Step *d = st->def;

	if (st->image < 0 || w->cpu_milli == 0)
		return true;
	if (!d->filler)
		return true;
	for (int32_t i = 0; i < IMAGES_MAX && w->serving > 0; i++)
		if (w->image_serving[i] > 0 &&
		    expected(s, w, i, st->image, d->cpu_milli) > LIMIT_PCT)
			return false;
	return true;
}

/*
 * What a serving task would suffer there, in percent of its target, and how
 * many other images it would meet.
 */
double
noise_serving_cost(const sched_t *s, const vm_t *w, const step_t *st,
    int32_t *images)
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
	return MIN(TAIL_MAX_PCT, (double)r->measure * 100 / (double)target);
}

/* Shares of the worker's processors that filler images use now. */
static double
shares(const vm_t *w, double *use)
{
	GHashTableIter it;
	void *v;
	double norm = 0;

	memset(use, 0, IMAGES_MAX * sizeof(*use));
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;

		if (is_filler(r))
			use[r->task->step->image] +=
			    (double)r->measure / (double)w->cpu_milli;
	}
	for (int32_t i = 0; i < IMAGES_MAX; i++)
		norm += use[i] * use[i];
	return norm;
}

static void
learn(sched_t *s, int32_t image, double pct, const double *use, double norm)
{
	double *harm = s->noise.harm[image];
	double err = pct - s->noise.base[image];

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		err -= harm[f] * use[f];
	for (int32_t f = 0; f < IMAGES_MAX; f++) {
		if (use[f] <= 0)
			continue;
		harm[f] += RATE * err * use[f] / (NORM + norm);
		harm[f] = CLAMP(harm[f], 0, HARM_MAX);
	}
	s->noise.base[image] += RATE_BASE * err * NORM / (NORM + norm);
}

/* Learns from a report; returns the worst tail and whose it is. */
static double
learn_report(sched_t *s, vm_t *w, const double *use, double norm,
    int32_t *image)
{
	GHashTableIter it;
	void *v;
	double worst = 0;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;
		double pct = tail_pct(r);

		if (pct <= 0)
			continue;
		learn(s, r->task->step->image, pct, use, norm);
		if (pct > worst) {
			worst = pct;
			*image = r->task->step->image;
		}
	}
	return worst;
}

/* Another worker could take the task, so that it may leave this one. */
static bool
can_move(sched_t *s, vm_t *w, const run_t *r)
{
	const task_t *t = r->task;
	int64_t off = w->hold_off_ms;
	vm_t *to;

	if (!t->step->def->checkpoints || t->run != r ||
	    s->now - w->moved_ms < MOVE_GAP_MS)
		return false;
	w->hold_off_ms = INT64_MAX;
	to = place_task(s, t->step, t, NULL);
	w->hold_off_ms = off;
	return to != NULL;
}

/*
 * Slows the fillers that harm an image so that its tail comes to the aim, by
 * the worst first; what can go elsewhere is stopped and moves.
 */
static void
slow(sched_t *s, vm_t *w, int32_t image, double worst, const double *use)
{
	const double *harm = s->noise.harm[image];
	double known = 0, excess = worst - AIM_PCT;
	double pace;
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (int32_t f = 0; f < IMAGES_MAX; f++)
		known += harm[f] * use[f];
	if (known <= 0)
		return;
	/* What the model does not explain is laid on all in proportion. */
	pace = known > excess ? 100 * (1 - excess / known) : 0;
	pace = pace < PACE_MIN_PCT ? 0 : pace;
	LOG(s, SCHED_EVT_PACE, w->id, "percent=%d worst_tail=%d explained=%d",
	    (int)pace, (int)worst, (int)known);
	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;
		double part;

		if (!is_filler(r) || !cell_extends(s))
			continue;
		part = harm[r->task->step->image] *
		    use[r->task->step->image] / known;
		if (part < 0.1) /* not one that does the harm */
			continue;
		if (pace < MOVE_PACE_PCT && can_move(s, w, r)) {
			w->moved_ms = s->now;
			r->task->avoid = w->id;
			run_stop(s, r, "harms a serving task");
			continue;
		}
		r->pace_want = (int32_t)(r->pace_want * pace / 100);
		if (r->pace_want < PACE_MIN_PCT)
			r->pace_want = 0;
	}
	w->pace = 0;
}

/* Gives slowed fillers more again. */
static void
ease(sched_t *s, vm_t *w)
{
	GHashTableIter it;
	void *v;
	bool all = true;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		run_t *r = v;

		if (!is_filler(r) || r->pace_want >= 100)
			continue;
		r->pace_want = MIN(100, r->pace_want + GROW_PCT);
		all = all && r->pace_want >= 100;
	}
	if (all)
		w->pace = 100;
	(void)s;
}

/* Takes in the tails of a report and acts on them. */
void
noise_report(sched_t *s, vm_t *w)
{
	double use[IMAGES_MAX], norm, worst;
	int32_t image = 0;

	if (w->cpu_milli == 0 || (w->serving == 0 && w->pace == 100))
		return;
	norm = shares(w, use);
	worst = learn_report(s, w, use, norm, &image);
	if (worst > AIM_PCT)
		w->calm_ms = s->now;
	if (s->now - w->pace_ms < STEP_MS)
		return;
	if (worst > 100 && w->filler_cpu > 0) {
		w->pace_ms = s->now;
		slow(s, w, image, worst, use);
	} else if (w->pace < 100 && s->now - w->calm_ms >= CALM_MS) {
		w->pace_ms = s->now;
		ease(s, w);
	}
}
