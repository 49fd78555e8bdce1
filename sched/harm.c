/*
 * Learning how much each image of filler tasks harms each image of serving
 * tasks.
 *
 * A tail, in percent of its target, is taken as a base plus, for each filler
 * image beside it, harm times the share of the worker's processors that the
 * image uses.  The harms of one serving image are found by least squares over
 * its recent reports, none below zero.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "part.h"

#define BASE_PCT     40	   /* of the target, until learned */
#define HARM_PRIOR   200   /* percent of the target per whole worker */
#define PRIOR_WEIGHT 0.01  /* as much as two reports with a tenth in use */
#define BASE_WEIGHT  4	   /* reports that the prior of the base counts as */
#define TAIL_MAX_PCT 250   /* what is above teaches no more */
#define FORGET	     0.985 /* of the weight of reports, each solution */
#define SWEEPS	     12	   /* of coordinate descent, a solution */

#define BASE_COL IMAGES_MAX /* the column of the base */
#define COLS	 (IMAGES_MAX + 1)

/* The sums of one serving image, and its solution. */
struct harm {
	double xx[COLS][COLS];
	double xy[COLS];
	double h[COLS];
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
	m->h[BASE_COL] = BASE_PCT;
	return m;
}

double
harm_of(const sched_t *s, int32_t serving, int32_t filler)
{
	return s->harm[serving] == NULL ? HARM_PRIOR :
					  s->harm[serving]->h[filler];
}

double
harm_base(const sched_t *s, int32_t serving)
{
	return s->harm[serving] == NULL ? BASE_PCT :
					  s->harm[serving]->h[BASE_COL];
}

/* Takes in one tail, seen while the filler images used these shares. */
void
harm_learn(sched_t *s, int32_t serving, double pct, const double *use)
{
	harm_t *m = harm_get(s, serving);
	int32_t col[COLS], n = 0;
	double x[COLS];

	pct = MIN(pct, TAIL_MAX_PCT);
	for (int32_t f = 0; f < IMAGES_MAX; f++)
		if (use[f] > 0) {
			col[n] = f;
			x[n++] = use[f];
		}
	col[n] = BASE_COL;
	x[n++] = 1;
	for (int32_t i = 0; i < n; i++) {
		m->xy[col[i]] += x[i] * pct;
		for (int32_t k = 0; k < n; k++)
			m->xx[col[i]][col[k]] += x[i] * x[k];
	}
	m->changed = true;
}

/* One pass over the columns; each takes what the others leave unexplained. */
static void
sweep(harm_t *m)
{
	for (int32_t i = 0; i < COLS; i++) {
		double prior = i == BASE_COL ? BASE_PCT : HARM_PRIOR;
		double weight = i == BASE_COL ? BASE_WEIGHT : PRIOR_WEIGHT;
		double left;

		if (m->xx[i][i] <= 0)
			continue;
		left = m->xy[i] + weight * prior;
		for (int32_t k = 0; k < COLS; k++)
			if (k != i)
				left -= m->xx[i][k] * m->h[k];
		m->h[i] = MAX(0, left / (m->xx[i][i] + weight));
	}
}

/* Solves anew for all images with new reports. */
void
harm_solve(sched_t *s)
{
	for (int32_t g = 0; g < IMAGES_MAX; g++) {
		harm_t *m = s->harm[g];

		if (m == NULL || !m->changed)
			continue;
		m->changed = false;
		for (int32_t i = 0; i < SWEEPS; i++)
			sweep(m);
		for (int32_t i = 0; i < COLS; i++) {
			m->xy[i] *= FORGET;
			for (int32_t k = 0; k < COLS; k++)
				m->xx[i][k] *= FORGET;
		}
	}
}
