/*
 * Model of the interference between images: how much the tasks of each filler
 * image slow down the tasks of each serving image on the same worker.
 *
 * The model is linear in headroom, the latency target divided by the measured
 * tail latency.  By the usual law of queues a tail latency grows as
 * 1 / (1 - load), so headroom falls in proportion to load: the load of the
 * serving task itself, which headroom.c follows for each step, and the load that
 * fillers add.  A filler image adds its coefficient for the serving image times
 * the share of the worker's processors that it uses.
 *
 * The coefficients are Gaussian estimates.  Each measurement that differs from
 * what is expected corrects the step's headroom, and the coefficients of those
 * fillers that the task has beside it more or less of than the other tasks of
 * its step, which bear the same load; each in proportion to its uncertainty.
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

/*
 * Headroom lost to a filler image that uses a whole worker, until learned: most
 * images take about 1, some 12.
 */
#define PRIOR_COEFFICIENT 3.0
#define PRIOR_VARIANCE	  25.0
#define KNOWN_VARIANCE	  4.0 /* smaller: the pair is known */
#define RESTORED_VARIANCE 1.0
/* How an image changes in a second: added to the variance. */
#define DRIFT_PER_S	  0.002
#define DRIFT_SHARE_PER_S 0.003 /* of the squared coefficient */
#define MAX_COEFFICIENT	  25	/* a tenth of a worker takes all headroom */
#define MEAN_USE_TIME_MS  1000	/* time constant of a step's mean use */
#define MIN_USE		  1e-4	/* lower mean use counts as none */
#define TRY_GAP_MS	  1200	/* between two tasks that try an unknown pair */
/* Decisions assume a coefficient this many standard deviations above. */
#define CAUTION 1.0
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

/* Model of one serving image; by filler image. */
struct interference {
	double coefficient[IMAGES_MAX];
	double variance[IMAGES_MAX];
	/* When a filler task was last placed beside the image while the pair
	 * was not known; 0: never. */
	int64_t tried_ms[IMAGES_MAX];
	double min_headroom; /* at the highest load, without fillers */
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
	for (int32_t f = 0; f < IMAGES_MAX; f++) {
		m->coefficient[f] = PRIOR_COEFFICIENT;
		m->variance[f] = PRIOR_VARIANCE;
	}
	m->min_headroom = HEADROOM_START;
	return m;
}

/*
 * Estimated coefficient of a pair of images: the headroom that the serving image
 * loses when the filler image uses a whole worker.  PRIOR_COEFFICIENT until
 * something is learned of the pair.
 */
double
interference_coefficient(const sched_t *s, int32_t serving, int32_t filler)
{
	return s->interference[serving] == NULL ?
	    PRIOR_COEFFICIENT :
	    s->interference[serving]->coefficient[filler];
}

static double
variance_of(const sched_t *s, int32_t serving, int32_t filler)
{
	return s->interference[serving] == NULL ?
	    PRIOR_VARIANCE :
	    s->interference[serving]->variance[filler];
}

/* The coefficient that decisions assume: higher, the less is known. */
double
interference_cautious(const sched_t *s, int32_t serving, int32_t filler)
{
	return interference_coefficient(s, serving, filler) +
	    CAUTION * sqrt(variance_of(s, serving, filler));
}

/* Whether the coefficient of a pair of images has been learned. */
bool
interference_known(const sched_t *s, int32_t serving, int32_t filler)
{
	return variance_of(s, serving, filler) < KNOWN_VARIANCE;
}

/*
 * Whether a filler task may be placed beside a serving image as far as the pair
 * is known: as long as it is not, one task at a time tries it, whose effect the
 * next reports show.
 */
bool
interference_may_try(const sched_t *s, int32_t serving, int32_t filler)
{
	const interference_t *m = s->interference[serving];

	return interference_known(s, serving, filler) || m == NULL ||
	    s->now_ms - m->tried_ms[filler] >= TRY_GAP_MS;
}

/* A filler task has been placed beside a serving image. */
void
interference_tried(sched_t *s, int32_t serving, int32_t filler)
{
	model_of(s, serving)->tried_ms[filler] = s->now_ms;
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

	/* What is not a number fails the comparisons. */
	if (!(coefficient >= 0 && coefficient <= MAX_COEFFICIENT) ||
	    !(min_headroom >= 0) || filler < 0 ||
	    interference_known(s, serving, filler))
		return;
	m = model_of(s, serving);
	m->min_headroom = MIN(min_headroom, HEADROOM_MAX);
	m->coefficient[filler] = coefficient;
	m->variance[filler] = RESTORED_VARIANCE;
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
 * its steps has now without fillers.
 */
static void
learn_min_headroom(interference_t *m, double headroom)
{
	m->min_headroom += (headroom - m->min_headroom) *
	    (headroom < m->min_headroom ? HEADROOM_FALL_RATE :
					  HEADROOM_RISE_RATE);
}

/* What is added to the variance of a coefficient in a time. */
static double
drift(double coefficient, int64_t ms)
{
	return (DRIFT_PER_S + DRIFT_SHARE_PER_S * coefficient * coefficient) *
	    (double)MIN(ms, 1000) / 1000;
}

/*
 * Fills in how far each filler image's use beside a task differs from the mean
 * beside the tasks of its step lately, and updates the mean.  Only such
 * differences tell what a filler takes: what all tasks have beside them can't be
 * told from the load.  Returns the set of images used here or there.
 */
static uint64_t
differences(serving_load_t *l, uint64_t fillers, const double *use,
    int64_t now_ms, double *differs)
{
	uint64_t all = fillers | l->fillers;
	double rate =
	    1 - exp(-(double)(now_ms - l->sampled_ms) / MEAN_USE_TIME_MS);
	int32_t f;

	l->sampled_ms = now_ms;
	FOREACH_IMAGE (f, all) {
		differs[f] = use[f] - l->mean_use[f];
		l->mean_use[f] += rate * differs[f];
		if (l->mean_use[f] < MIN_USE)
			l->mean_use[f] = 0;
	}
	l->fillers = 0;
	FOREACH_IMAGE (f, all)
		if (l->mean_use[f] > 0)
			l->fillers |= IMAGE_BIT(f);
	return all;
}

/*
 * Learns from a measurement of a task of a serving image with this load, beside
 * which filler images used these shares of the worker's processors (0 unless in
 * the set).  Fills in the expected loss of the sample.  False if it tells
 * nothing.
 */
bool
interference_learn(sched_t *s, int32_t serving, serving_load_t *l,
    headroom_sample_t *x, uint64_t fillers, const double *use)
{
	interference_t *m = model_of(s, serving);
	double differs[IMAGES_MAX];
	headroom_error_t err;
	uint64_t all;
	int32_t f;

	if (headroom_weight(x->age_ms) < HEADROOM_MIN_WEIGHT)
		return false;
	all = differences(l, fillers, use, s->now_ms, differs);
	x->loss = x->loss_variance = 0;
	FOREACH_IMAGE (f, all) {
		x->loss += m->coefficient[f] * use[f];
		x->loss_variance += m->variance[f] * differs[f] * differs[f];
	}
	headroom_update(&l->headroom, x, s->now_ms, &err);
	FOREACH_IMAGE (f, all) {
		double seen = err.weight * differs[f];
		double gain = m->variance[f] * seen / err.variance;

		m->coefficient[f] = CLAMP(
		    m->coefficient[f] - gain * err.error, 0, MAX_COEFFICIENT);
		m->variance[f] = MIN(PRIOR_VARIANCE,
		    m->variance[f] * (1 - gain * seen) +
			drift(m->coefficient[f], x->age_ms));
	}
	learn_min_headroom(m, l->headroom.level);
	return true;
}
