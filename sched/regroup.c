/*
 * Choice of serving tasks to move; see regroup.h.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "image_set.h"
#include "regroup.h"

/* So many workers from which tasks could be moved are tried in one choice. */
#define CANDIDATES   12
#define PRICE_ROUNDS 12 /* until the prices have settled */
/* What gets half of what it asks for, or less, counts as lacking room in full:
 * to shift room among such images gains nothing. */
#define PRICE_MAX 2

/* A worker that gains room if its tasks of an image leave it. */
typedef struct {
	const regroup_worker_t *worker;
	int32_t leaving; /* image */
	uint64_t others; /* other serving images there */
	size_t ntasks;	 /* tasks that have to leave */
	double room;	 /* worth of its room when they have */
	double gain;	 /* for each of them */
} candidate_t;

/* The images of the tasks on a worker. */
static uint64_t
serving_images(const regroup_worker_t *w)
{
	uint64_t set = 0;

	for (size_t i = 0; i < w->ntasks; i++)
		set |= IMAGE_BIT(w->tasks[i].image);
	return set;
}

/* Processor amount for a filler image beside a set of serving images. */
static double
room_for(const regroup_images_t *g, int64_t cpu_milli, int64_t filler_milli,
    uint64_t serving, int32_t filler)
{
	double share = 1;
	int32_t i;

	FOREACH_IMAGE (i, serving)
		share = MIN(share, g->share[i][filler]);
	return MIN((double)filler_milli, share * (double)cpu_milli);
}

double
regroup_room(const regroup_images_t *g, int64_t cpu_milli, int64_t filler_milli,
    uint64_t serving)
{
	double most = 0;
	int32_t f;

	FOREACH_IMAGE (f, g->fillers) {
		double room = MIN(g->wanted_milli[f],
		    room_for(g, cpu_milli, filler_milli, serving, f));

		/* What gets all that it asks for gains nothing from more. */
		most = MAX(most, (g->price[f] - 1) * room);
	}
	return most;
}

/* The room of a worker with serving tasks of other images than its own. */
static double
room_with(const regroup_state_t *r, const regroup_worker_t *w, uint64_t serving)
{
	return regroup_room(r->images, w->cpu_milli, w->filler_milli, serving);
}

/*
 * Adds to got what each filler image gets of a worker's room, which is shared
 * in proportion to what the room is worth to each.
 */
static void
share_room(const regroup_images_t *g, const regroup_worker_t *w, double *got)
{
	uint64_t serving = serving_images(w);
	double worth[IMAGES_MAX], room[IMAGES_MAX], sum = 0;
	int32_t f;

	FOREACH_IMAGE (f, g->fillers) {
		room[f] =
		    room_for(g, w->cpu_milli, w->filler_milli, serving, f);
		/* Squared: most of it goes to the highest price. */
		worth[f] = g->price[f] * g->price[f] * room[f];
		sum += worth[f];
	}
	if (sum <= 0)
		return;
	FOREACH_IMAGE (f, g->fillers)
		got[f] += room[f] * worth[f] / sum;
}

void
regroup_set_prices(
    regroup_images_t *g, const regroup_worker_t *workers, size_t n)
{
	int32_t f;

	g->fillers = 0;
	for (f = 0; f < IMAGES_MAX; f++) {
		g->price[f] = 1;
		if (g->wanted_milli[f] > 0)
			g->fillers |= IMAGE_BIT(f);
	}
	for (int32_t k = 0; k < PRICE_ROUNDS; k++) {
		double got[IMAGES_MAX] = { 0 };

		for (size_t i = 0; i < n; i++)
			share_room(g, &workers[i], got);
		FOREACH_IMAGE (f, g->fillers) {
			double wanted = g->wanted_milli[f];
			double price = got[f] * PRICE_MAX <= wanted ?
			    PRICE_MAX :
			    wanted / got[f];

			g->price[f] = (g->price[f] + price) / 2;
		}
	}
}

/*
 * Fills in what a worker gains if all its tasks of an image leave.  False if
 * that is nothing, or if one of them can't be moved.
 */
static bool
fill_candidate(const regroup_state_t *r, const regroup_worker_t *w,
    int32_t leaving, candidate_t *c)
{
	uint64_t all = serving_images(w);

	*c = (candidate_t){ .worker = w,
		.leaving = leaving,
		.others = all & ~IMAGE_BIT(leaving) };
	for (size_t i = 0; i < w->ntasks; i++)
		if (w->tasks[i].image == leaving) {
			if (!w->tasks[i].movable)
				return false;
			c->ntasks++;
		}
	c->room = room_with(r, w, c->others);
	c->gain = (c->room - room_with(r, w, all)) / (double)c->ntasks;
	return c->gain > 0;
}

/* Adds a candidate to a list that is sorted by gain, the highest first. */
static void
add_candidate(candidate_t *list, size_t *n, const candidate_t *c)
{
	size_t i = *n < CANDIDATES ? (*n)++ : CANDIDATES;

	for (; i > 0 && list[i - 1].gain < c->gain; i--)
		if (i < CANDIDATES)
			list[i] = list[i - 1];
	if (i < CANDIDATES)
		list[i] = *c;
}

/* Fills list with the best candidates; returns how many. */
static size_t
find_candidates(const regroup_state_t *r, candidate_t *list)
{
	size_t n = 0;

	for (size_t i = 0; i < r->nworkers; i++) {
		const regroup_worker_t *w = &r->workers[i];
		uint64_t all = serving_images(w);
		candidate_t c;
		int32_t image;

		if (!w->usable || (all & (all - 1)) == 0)
			continue;
		FOREACH_IMAGE (image, all)
			if (fill_candidate(r, w, image, &c))
				add_candidate(list, &n, &c);
	}
	return n;
}

/* Whether a task has room on a worker that another one, or none, leaves. */
static bool
has_room(const regroup_worker_t *w, const regroup_task_t *t,
    const regroup_task_t *leaving)
{
	int64_t cpu = w->free_cpu_milli, mem = w->free_mem_mb;
	int32_t gpu = w->free_gpu;

	if (leaving != NULL) {
		cpu += leaving->cpu_milli;
		mem += leaving->mem_mb;
		gpu += leaving->gpu;
	}
	return t->cpu_milli <= cpu && t->mem_mb <= mem && t->gpu <= gpu;
}

/* The images on a worker when one of its tasks, or none, is away. */
static uint64_t
images_without(const regroup_worker_t *w, const regroup_task_t *away)
{
	uint64_t set = 0;

	for (size_t i = 0; i < w->ntasks; i++)
		if (&w->tasks[i] != away)
			set |= IMAGE_BIT(w->tasks[i].image);
	return set;
}

/*
 * What a move of a candidate's task gains, for each task moved, beyond what these
 * tasks hold.
 */
static double
net_gain(
    const regroup_state_t *r, const candidate_t *c, const regroup_move_t *m)
{
	const regroup_task_t *x = m->exchanged;
	double gain = c->gain - (double)m->task->cpu_milli;

	gain += room_with(r, m->to,
		    images_without(m->to, x) | IMAGE_BIT(m->task->image)) -
	    room_with(r, m->to, serving_images(m->to));
	if (x == NULL)
		return gain;
	gain += (room_with(r, c->worker, c->others | IMAGE_BIT(x->image)) -
		    c->room) /
	    (double)c->ntasks;
	return (gain - (double)x->cpu_milli) / 2;
}

/* Whether a move is possible, apart from what it gains. */
static bool
is_possible(const regroup_state_t *r, const regroup_move_t *m)
{
	const regroup_task_t *x = m->exchanged;

	if (!has_room(m->to, m->task, x) || !r->may_run(r->ctx, m->task, m->to))
		return false;
	return x == NULL ||
	    (has_room(m->from, x, m->task) && r->may_run(r->ctx, x, m->from));
}

/* Keeps a move in best if it is possible and gains more. */
static void
consider(const regroup_state_t *r, const candidate_t *c,
    const regroup_move_t *m, regroup_move_t *best, double *best_gain)
{
	double gain = net_gain(r, c, m);

	if (gain <= *best_gain || !is_possible(r, m))
		return;
	*best_gain = gain;
	*best = *m;
}

/* Looks for a better place for a task of a candidate than in best. */
static void
find_destination(const regroup_state_t *r, const candidate_t *c,
    const regroup_task_t *t, regroup_move_t *best, double *best_gain)
{
	for (size_t i = 0; i < r->nworkers; i++) {
		const regroup_worker_t *w = &r->workers[i];
		regroup_move_t m = { .from = c->worker, .to = w, .task = t };

		if (w == c->worker || !w->usable)
			continue;
		if (has_room(w, t, NULL)) {
			consider(r, c, &m, best, best_gain);
			continue;
		}
		for (size_t k = 0; k < w->ntasks; k++) {
			m.exchanged = &w->tasks[k];
			if (m.exchanged->movable &&
			    m.exchanged->image != t->image)
				consider(r, c, &m, best, best_gain);
		}
	}
}

bool
regroup_choose(const regroup_state_t *r, regroup_move_t *move)
{
	candidate_t list[CANDIDATES];
	size_t n = find_candidates(r, list);
	double gain = 0;

	/* A candidate with a lower gain than a move found hardly beats it. */
	for (size_t i = 0; i < n && list[i].gain > gain; i++) {
		const regroup_worker_t *w = list[i].worker;

		for (size_t k = 0; k < w->ntasks; k++)
			if (w->tasks[k].image == list[i].leaving)
				find_destination(
				    r, &list[i], &w->tasks[k], move, &gain);
	}
	return gain > 0;
}
