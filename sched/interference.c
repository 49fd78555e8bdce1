/*
 * Model of the interference between images: how much the tasks of each filler
 * image slow down the tasks of each serving image on the same worker.
 *
 * The model is linear in headroom, the latency target divided by the measured
 * tail latency.  By the usual law of queues a tail latency grows as
 * 1 / (1 - load), so headroom falls in proportion to load: the load of the
 * serving task itself, which changes over seconds, and the load that fillers
 * add.  A filler image adds its coefficient for the serving image times the
 * share of the worker's processors that it uses.
 *
 * The coefficients of a serving image are found by least squares over its
 * recent reports, none below zero, together with a base loss that occurs
 * without fillers too: measurements are rough, and the highest one is the
 * reference for the loss.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

/*
 * Headroom lost to a filler image that uses a whole worker, until learned.  As
 * it is below NEGLIGIBLE, interference_coefficient is 0 for an unknown pair.
 */
#define PRIOR_COEFFICIENT 1.9
#define PRIOR_WEIGHT	  0.005 /* one report with 1/14 of the worker in use */
#define NEGLIGIBLE	  2    /* coefficients below keep all tasks on target */
#define MIN_WEIGHT	  0.05 /* of reports that outweigh the prior */
#define BASE_LOSS_WEIGHT  1    /* in reports, of the prior: no base loss */
#define DECAY		  0.998 /* of the weight of old reports per solution */
#define SWEEPS		  12	/* of coordinate descent per solution */
/* The headroom of a serving image at its highest load, without fillers. */
#define HEADROOM_START 1.6 /* until learned */
/*
 * Lower values count as this, so that an image that is never on target still
 * tolerates fillers that interfere little.
 */
#define HEADROOM_FLOOR 1.2
/*
 * Share of the difference by which the estimate follows a lower and a higher
 * measurement: about 2% of the measurements stay below it.
 */
#define HEADROOM_FALL_RATE 0.1
#define HEADROOM_RISE_RATE 0.002

#define BASE_LOSS_COL IMAGES_MAX /* column of the base loss */
#define COLS	      (IMAGES_MAX + 1)

/*
 * Model of one serving image: the sums of the normal equations (x: shares used
 * by filler images and 1 for the base loss; y: headroom lost) and their
 * solution.
 */
struct interference {
	double sum_xx[COLS][COLS];
	double sum_xy[COLS];
	double coefficient[COLS];
	double min_headroom; /* at the highest load, without fillers */
	bool changed;	     /* reports were added since the last solution */
};

/*
 * Returns the index of an image, which is assigned at its first use; -1 for the
 * empty name or when IMAGES_MAX others have one.
 */
int32_t
interference_image(sched_t *s, const char *image)
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

/* Returns the model of a serving image, which is created at its first use. */
static interference_t *
model_of(sched_t *s, int32_t serving)
{
	interference_t *m = s->interference[serving];

	if (m != NULL)
		return m;
	m = s->interference[serving] = g_new0(interference_t, 1);
	for (int32_t f = 0; f < IMAGES_MAX; f++)
		m->coefficient[f] = PRIOR_COEFFICIENT;
	m->min_headroom = HEADROOM_START;
	return m;
}

/*
 * Estimated coefficient of a pair of images, however small: the headroom that
 * the serving image loses when the filler image uses a whole worker.  Until
 * something is learned of the pair it is PRIOR_COEFFICIENT.
 */
double
interference_raw_coefficient(const sched_t *s, int32_t serving, int32_t filler)
{
	return s->interference[serving] == NULL ?
	    PRIOR_COEFFICIENT :
	    s->interference[serving]->coefficient[filler];
}

/*
 * Like interference_raw_coefficient, but 0 if it is negligible.  All decisions
 * use this one.
 */
double
interference_coefficient(const sched_t *s, int32_t serving, int32_t filler)
{
	double c = interference_raw_coefficient(s, serving, filler);

	return c < NEGLIGIBLE ? 0 : c;
}

/*
 * Whether the estimate for a pair of images rests on reports, not on the prior.
 */
bool
interference_known(const sched_t *s, int32_t serving, int32_t filler)
{
	return s->interference[serving] != NULL &&
	    s->interference[serving]->sum_xx[filler][filler] >= MIN_WEIGHT;
}

/*
 * Sets the values that an earlier owner has stored, for a pair of images of
 * which nothing is known here.
 */
void
interference_restore(sched_t *s, int32_t serving, int32_t filler,
    double coefficient, double min_headroom)
{
	interference_t *m;

	if (filler < 0 || interference_known(s, serving, filler))
		return;
	m = model_of(s, serving);
	m->min_headroom = min_headroom;
	m->coefficient[filler] = coefficient;
	m->sum_xx[filler][filler] += MIN_WEIGHT;
	m->sum_xy[filler] += MIN_WEIGHT * coefficient;
}

/*
 * Headroom of a serving image at its highest load, without fillers: the
 * estimate, but at least HEADROOM_FLOOR; HEADROOM_START until one is learned.
 */
double
interference_min_headroom(const sched_t *s, int32_t serving)
{
	return s->interference[serving] == NULL ?
	    HEADROOM_START :
	    MAX(HEADROOM_FLOOR, s->interference[serving]->min_headroom);
}

/*
 * Updates the minimum headroom of a serving image with the headroom that one of
 * its tasks would have now without fillers.
 */
void
interference_learn_headroom(sched_t *s, int32_t serving, double headroom)
{
	interference_t *m = model_of(s, serving);

	m->min_headroom += (headroom - m->min_headroom) *
	    (headroom < m->min_headroom ? HEADROOM_FALL_RATE :
					  HEADROOM_RISE_RATE);
}

/*
 * Adds a measurement: a task of a serving image lost headroom while the filler
 * images used these shares of its worker's processors (indexed by image).
 */
void
interference_learn(sched_t *s, int32_t serving, double loss, const double *use)
{
	interference_t *m = model_of(s, serving);
	int32_t col[COLS], n = 0;
	double x[COLS];

	for (int32_t f = 0; f < IMAGES_MAX; f++) {
		if (use[f] <= 0)
			continue;
		col[n] = f;
		x[n++] = use[f];
	}
	col[n] = BASE_LOSS_COL;
	x[n++] = 1;
	for (int32_t i = 0; i < n; i++) {
		m->sum_xy[col[i]] += x[i] * loss;
		for (int32_t k = 0; k < n; k++)
			m->sum_xx[col[i]][col[k]] += x[i] * x[k];
	}
	m->changed = true;
}

/*
 * Sets one coefficient to what explains best the loss that the other
 * coefficients leave unexplained, with a prior of the given weight.
 */
static void
solve_column(
    interference_t *m, int32_t images, int32_t col, double weight, double prior)
{
	double unexplained = m->sum_xy[col] + weight * prior;

	if (m->sum_xx[col][col] <= 0)
		return;
	for (int32_t k = 0; k < images; k++)
		if (k != col)
			unexplained -= m->sum_xx[col][k] * m->coefficient[k];
	if (col != BASE_LOSS_COL)
		unexplained -= m->sum_xx[col][BASE_LOSS_COL] *
		    m->coefficient[BASE_LOSS_COL];
	m->coefficient[col] =
	    MAX(0, unexplained / (m->sum_xx[col][col] + weight));
}

/* Lowers the weight of the reports so far. */
static void
decay_sums(interference_t *m)
{
	for (int32_t i = 0; i < COLS; i++) {
		m->sum_xy[i] *= DECAY;
		for (int32_t k = 0; k < COLS; k++)
			m->sum_xx[i][k] *= DECAY;
	}
}

/*
 * Solves the equations of all serving images that have new reports, by
 * coordinate descent.  Called a few times a second.
 */
void
interference_solve(sched_t *s)
{
	int32_t images = (int32_t)g_hash_table_size(s->images);

	for (int32_t serving = 0; serving < images; serving++) {
		interference_t *m = s->interference[serving];

		if (m == NULL || !m->changed)
			continue;
		m->changed = false;
		for (int32_t i = 0; i < SWEEPS; i++) {
			for (int32_t f = 0; f < images; f++)
				solve_column(m, images, f, PRIOR_WEIGHT,
				    PRIOR_COEFFICIENT);
			solve_column(
			    m, images, BASE_LOSS_COL, BASE_LOSS_WEIGHT, 0);
		}
		decay_sums(m);
	}
}
