/*
 * Learning how much each image of filler tasks harms each image of serving
 * tasks.
 *
 * What is learned on is headroom, a target over the tail that was seen: 1 at
 * the target, more below it.  By the usual law of queues a tail grows as
 * 1 / (1 - load), so headroom falls in proportion to load: to that of the
 * serving task itself, which changes over seconds, and to what filler tasks
 * beside it add, taken as harm times the share of the worker's processors that
 * their image uses.  The harms of one serving image are found by least
 * squares over its recent reports, none below zero, beside what is lost
 * whatever runs there: reports are rough, and the highest is the reference.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define HARM_PRIOR   1.9   /* headroom lost to a whole worker's use */
#define PRIOR_WEIGHT 0.005 /* as much as a report with a 14th in use */
#define HARMLESS     2	   /* less leaves all tasks within their targets */
#define KNOWN_WEIGHT 0.05  /* of reports, before they outweigh the prior */
#define LOST_WEIGHT  1	   /* reports that no loss without fillers counts as */
#define FORGET	     0.998 /* of the weight of reports, each solution */
#define SWEEPS	     12	   /* of coordinate descent, a solution */
#define LOW_START    1.6   /* headroom of an image when busiest, until known */
#define LOW_MIN	     1.2   /* what is never within its target has no say */
#define LOW_FALL     0.1   /* of a difference taken in, at a lower report */
#define LOW_RISE     0.002 /* ... at a higher one: about 2% lie below */

#define LOST_COL IMAGES_MAX /* the column of what is lost in any case */
#define COLS	 (IMAGES_MAX + 1)

/* The sums of one serving image, and its solution. */
struct harm {
	double xx[COLS][COLS];
	double xy[COLS];
	double h[COLS];
	double low;
	bool changed;
};

/* The index of an image; -1 for none, or beyond the most. */
int32_t
harm_image(sched_t *s, const char *image)
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
	return n;
}

static harm_t *
harm_get(sched_t *s, int32_t serving)
{
	harm_t *m = s->harm[serving];

	if (m != NULL)
		return m;
	m = s->harm[serving] = g_new0(harm_t, 1);
	for (int32_t f = 0; f < IMAGES_MAX; f++)
		m->h[f] = HARM_PRIOR;
	m->low = LOW_START;
	return m;
}

/* Headroom lost if the filler image used the whole worker, as estimated. */
double
harm_estimate(const sched_t *s, int32_t serving, int32_t filler)
{
	return s->harm[serving] == NULL ? HARM_PRIOR :
					  s->harm[serving]->h[filler];
}

/* The same, and 0 where it is so little that all targets are kept. */
double
harm_of(const sched_t *s, int32_t serving, int32_t filler)
{
	double h = harm_estimate(s, serving, filler);

	return h < HARMLESS ? 0 : h;
}

/* Whether reports tell of the pair, rather than the prior alone. */
bool
harm_known(const sched_t *s, int32_t serving, int32_t filler)
{
	return s->harm[serving] != NULL &&
	    s->harm[serving]->xx[filler][filler] >= KNOWN_WEIGHT;
}

/* Takes over what an earlier owner had learned of a pair not known here. */
void
harm_recall(sched_t *s, int32_t serving, int32_t filler, double h, double low)
{
	harm_t *m;

	if (filler < 0 || harm_known(s, serving, filler))
		return;
	m = harm_get(s, serving);
	m->low = low;
	m->h[filler] = h;
	m->xx[filler][filler] += KNOWN_WEIGHT;
	m->xy[filler] += KNOWN_WEIGHT * h;
}

/* Headroom of a serving image when it is busiest, without fillers. */
double
harm_low(const sched_t *s, int32_t serving)
{
	return s->harm[serving] == NULL ? LOW_START :
					  MAX(LOW_MIN, s->harm[serving]->low);
}

/* Takes in a headroom that no harmful filler had a part in. */
void
harm_undisturbed(sched_t *s, int32_t serving, double headroom)
{
	harm_t *m = harm_get(s, serving);

	m->low +=
	    (headroom - m->low) * (headroom < m->low ? LOW_FALL : LOW_RISE);
}

/* Takes in a loss of headroom while the filler images used these shares. */
void
harm_learn(sched_t *s, int32_t serving, double lost, const double *use)
{
	harm_t *m = harm_get(s, serving);
	int32_t col[COLS], n = 0;
	double x[COLS];

	for (int32_t f = 0; f < IMAGES_MAX; f++) {
		if (use[f] <= 0)
			continue;
		col[n] = f;
		x[n++] = use[f];
	}
	col[n] = LOST_COL;
	x[n++] = 1;
	for (int32_t i = 0; i < n; i++) {
		m->xy[col[i]] += x[i] * lost;
		for (int32_t k = 0; k < n; k++)
			m->xx[col[i]][col[k]] += x[i] * x[k];
	}
	m->changed = true;
}

/* What a column explains of the losses that the others leave. */
static void
solve_column(
    harm_t *m, int32_t images, int32_t col, double weight, double prior)
{
	double left = m->xy[col] + weight * prior;

	if (m->xx[col][col] <= 0)
		return;
	for (int32_t k = 0; k < images; k++)
		if (k != col)
			left -= m->xx[col][k] * m->h[k];
	if (col != LOST_COL)
		left -= m->xx[col][LOST_COL] * m->h[LOST_COL];
	m->h[col] = MAX(0, left / (m->xx[col][col] + weight));
}

static void
forget(harm_t *m)
{
	for (int32_t i = 0; i < COLS; i++) {
		m->xy[i] *= FORGET;
		for (int32_t k = 0; k < COLS; k++)
			m->xx[i][k] *= FORGET;
	}
}

/* Solves anew for all images with new reports. */
void
harm_solve(sched_t *s)
{
	int32_t images = (int32_t)g_hash_table_size(s->images);

	for (int32_t g = 0; g < images; g++) {
		harm_t *m = s->harm[g];

		if (m == NULL || !m->changed)
			continue;
		m->changed = false;
		for (int32_t i = 0; i < SWEEPS; i++) {
			for (int32_t f = 0; f < images; f++)
				solve_column(
				    m, images, f, PRIOR_WEIGHT, HARM_PRIOR);
			solve_column(m, images, LOST_COL, LOST_WEIGHT, 0);
		}
		forget(m);
	}
}
