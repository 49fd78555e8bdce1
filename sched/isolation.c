/*
 * Performance isolation of serving tasks from filler tasks, by the model of
 * interference.c: placement keeps fillers away from serving tasks that they
 * would slow down too much.  pacing.c slows those that do so nevertheless.
 *
 * Each worker has a slack for each serving image on it: how much more headroom
 * its tasks can lose within the next HORIZON_MS and still meet their target,
 * with all fillers there at full speed.
 */
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

#define HORIZON_MS	   1500
#define MARGIN		   1.1	/* headroom that is left to serving tasks */
#define TYPICAL_FILLER_USE 0.08 /* share of a worker that a filler task uses */
#define TYPICAL_LOSS_MAX   0.4	/* to a typical filler that is compatible */

/*
 * Share of the processors that the fillers of an image on a worker use at full
 * speed, as declared.
 */
double
isolation_filler_use(const worker_t *w, int32_t image)
{
	return (double)w->filler_cpu_by_image[image] / (double)w->cpu_milli;
}

/*
 * Headroom that tasks of a serving image on a worker lose to the fillers there
 * when these run at full speed, as decisions assume it.
 */
static double
headroom_loss(const sched_t *s, const worker_t *w, int32_t serving)
{
	double sum = 0;
	int32_t f;

	FOREACH_IMAGE (f, w->filler_mask)
		sum += interference_cautious(s, serving, f) *
		    isolation_filler_use(w, f);
	return sum;
}

/* The least headroom of a step's tasks within HORIZON_MS, without fillers. */
static double
lowest_headroom(const sched_t *s, const step_t *st)
{
	const headroom_t *h = &st->load->headroom;
	double low = interference_min_headroom(s, st->image), now, ahead;

	if (h->updated_ms == 0)
		return low;
	now = headroom_expected(h, s->now_ms);
	ahead = headroom_expected(h, s->now_ms + HORIZON_MS);
	return MAX(low, MIN(now, ahead) - headroom_deviation(h));
}

/* Whether the run is a running serving task of a known image. */
bool
isolation_is_serving(const run_t *r)
{
	return r->task != NULL && r->state == RUN_RUNNING &&
	    r->task->step->load != NULL;
}

/* Updates the slack of a worker. */
void
isolation_update_slack(const sched_t *s, worker_t *w)
{
	const run_t *r;
	int32_t i;

	w->slack_stale = false;
	FOREACH_IMAGE (i, w->serving_mask)
		w->slack[i] = HEADROOM_MAX;
	FOREACH_VALUE (r, w->runs) {
		const step_t *st;

		if (!isolation_is_serving(r))
			continue;
		st = r->task->step;
		w->slack[st->image] =
		    MIN(w->slack[st->image], lowest_headroom(s, st));
	}
	FOREACH_IMAGE (i, w->serving_mask) {
		/* Its tasks there have only just been started. */
		if (w->slack[i] == HEADROOM_MAX)
			w->slack[i] = interference_min_headroom(s, i);
		w->slack[i] -= headroom_loss(s, w, i) + MARGIN;
	}
}

/* The slack of all workers is to be updated before it is used again. */
void
isolation_refresh(sched_t *s)
{
	for (guint i = 0; i < s->worker_list->len; i++)
		((worker_t *)g_ptr_array_index(s->worker_list, i))
		    ->slack_stale = true;
}

/* Whether a typical task of a filler image does little to a serving image. */
static bool
compatible(const sched_t *s, int32_t serving, int32_t filler)
{
	return interference_coefficient(s, serving, filler) *
	    TYPICAL_FILLER_USE <=
	    TYPICAL_LOSS_MAX;
}

/*
 * Share of a worker that fillers of an image can use beside serving tasks of
 * another image at their highest load; 0 if that is less than a typical task.
 */
double
isolation_share(const sched_t *s, int32_t serving, int32_t filler)
{
	double loss = interference_coefficient(s, serving, filler);
	double spare = interference_min_headroom(s, serving) - MARGIN;

	if (loss * TYPICAL_FILLER_USE > spare)
		return 0;
	return loss <= spare ? 1 : spare / loss;
}

/*
 * Whether the serving tasks on a worker tolerate a task of the step there: true
 * for all tasks but fillers.
 */
bool
isolation_allows(const sched_t *s, worker_t *w, const step_t *st)
{
	const Sched__Step *d = st->def;
	double share;
	int32_t i;

	if (st->image < 0 || w->cpu_milli == 0 || !d->filler ||
	    w->serving_mask == 0)
		return true;
	if (w->slack_stale)
		isolation_update_slack(s, w);
	share = (double)d->cpu_milli / (double)w->cpu_milli;
	FOREACH_IMAGE (i, w->serving_mask) {
		double slack = w->slack[i];

		/* It would have to be slowed when the load rises. */
		if (!compatible(s, i, st->image))
			slack = interference_min_headroom(s, i) -
			    headroom_loss(s, w, i) - MARGIN;
		if (interference_cautious(s, i, st->image) * share > slack ||
		    !interference_may_try(s, i, st->image))
			return false;
	}
	return true;
}

/*
 * Least slack that the serving tasks on a worker have left beside a task of a
 * filler step that runs at full speed: below 0, it must be slowed.
 */
double
isolation_margin(const sched_t *s, worker_t *w, const step_t *st)
{
	double least = HEADROOM_MAX, share;
	int32_t i;

	if (st->image < 0 || w->cpu_milli == 0)
		return least;
	if (w->slack_stale)
		isolation_update_slack(s, w);
	share = (double)st->def->cpu_milli / (double)w->cpu_milli;
	FOREACH_IMAGE (i, w->serving_mask)
		least = MIN(least,
		    w->slack[i] -
			interference_cautious(s, i, st->image) * share);
	return least;
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
		FOREACH_IMAGE (f, s->filler_images)
			if (compatible(s, serving, f))
				s->compatible_fillers[serving] |= IMAGE_BIT(f);
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		uint64_t may = s->filler_images;

		FOREACH_IMAGE (serving, w->serving_mask)
			may &= s->compatible_fillers[serving];
		w->compatible_filler_pct =
		    all == 0 ? 100 : 100 * __builtin_popcountll(may) / all;
	}
}

/*
 * Cost of placing a serving task on a worker: returns how much headroom the
 * task would lack there at its image's highest load, that is, by how much the
 * present fillers would push it below MARGIN (0: not at all).  Counts in
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
	FOREACH_IMAGE (i, w->serving_mask & ~IMAGE_BIT(st->image))
		*other_images += s->interference[i] == NULL ||
		    s->interference[st->image] == NULL ||
		    s->compatible_fillers[i] !=
			s->compatible_fillers[st->image];
	return MAX(0,
	    MARGIN + headroom_loss(s, w, st->image) -
		interference_min_headroom(s, st->image));
}

/* A run of a step is on a worker: the images there are tried with its own. */
void
isolation_run_placed(worker_t *w, const step_t *st)
{
	int32_t i;

	if (st->image < 0 || !st->def->filler)
		return;
	FOREACH_IMAGE (i, w->serving_mask)
		interference_tried(st->occ->job->sched, i, st->image);
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
	w->slack_stale = true;
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
