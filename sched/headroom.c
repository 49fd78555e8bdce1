/*
 * Filter for the headroom that the tasks of a serving step would have without
 * fillers.  It follows the load of the step, which rises and falls over
 * seconds: a Kalman filter with a level and a slope.
 *
 * A reported tail latency is a mean over the recent past.  So a measurement
 * lies between the last one and the present value, which it approaches with a
 * time constant; the longer the time between the two, the more it tells.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "headroom.h"

#define METRIC_TIME_CONSTANT_MS 500
#define MEASUREMENT_NOISE	0.03 /* of the measured value */
#define MEASUREMENT_NOISE_MIN	0.1  /* the metric is in whole milliseconds */
/* How much the slope may change in a second, squared. */
#define SLOPE_NOISE 0.0225
#define LEVEL_NOISE 0.01 /* what the level may change besides, squared */
#define SLOPE_MAX   0.6	 /* per second; no load changes faster */
/* Variances of a step of which little is known. */
#define LEVEL_VARIANCE_START 1.0
#define SLOPE_VARIANCE_START 0.1
/* Errors above so many standard deviations count as this. */
#define OUTLIER_DEVIATIONS 3

void
headroom_start(headroom_t *h, double level, int64_t now_ms)
{
	h->level = level;
	h->slope = 0;
	h->var_level = LEVEL_VARIANCE_START;
	h->var_slope = SLOPE_VARIANCE_START;
	h->cov = 0;
	h->updated_ms = now_ms;
}

/* Moves the filter on to the present. */
static void
advance(headroom_t *h, int64_t now_ms)
{
	double dt = (double)MAX(0, now_ms - h->updated_ms) / 1000, most;

	h->updated_ms = MAX(h->updated_ms, now_ms);
	h->level += h->slope * dt;
	h->var_level += 2 * h->cov * dt + h->var_slope * dt * dt +
	    SLOPE_NOISE * dt * dt * dt / 3 + LEVEL_NOISE * dt;
	h->cov += h->var_slope * dt + SLOPE_NOISE * dt * dt / 2;
	h->var_slope += SLOPE_NOISE * dt;
	h->var_level = MIN(h->var_level, LEVEL_VARIANCE_START);
	h->var_slope = MIN(h->var_slope, SLOPE_VARIANCE_START);
	most = sqrt(h->var_level * h->var_slope);
	h->cov = CLAMP(h->cov, -most, most);
}

double
headroom_weight(int64_t age_ms)
{
	return 1 - exp(-(double)age_ms / METRIC_TIME_CONSTANT_MS);
}

void
headroom_update(headroom_t *h, const headroom_sample_t *x, int64_t now_ms,
    headroom_error_t *err)
{
	double weight = headroom_weight(x->age_ms);
	double expected, noise, limit, gain_level, gain_slope;

	advance(h, now_ms);
	expected = (1 - weight) * x->previous + weight * (h->level - x->loss);
	noise = MEASUREMENT_NOISE * x->measured;
	err->variance = weight * weight * (h->var_level + x->loss_variance) +
	    noise * noise + MEASUREMENT_NOISE_MIN * MEASUREMENT_NOISE_MIN;
	err->weight = weight;
	limit = OUTLIER_DEVIATIONS * sqrt(err->variance);
	err->error = CLAMP(x->measured - expected, -limit, limit);
	gain_level = weight * h->var_level / err->variance;
	gain_slope = weight * h->cov / err->variance;
	h->level += gain_level * err->error;
	h->slope =
	    CLAMP(h->slope + gain_slope * err->error, -SLOPE_MAX, SLOPE_MAX);
	h->var_slope -= gain_slope * weight * h->cov;
	h->cov -= gain_level * weight * h->cov;
	h->var_level -= gain_level * weight * h->var_level;
}

double
headroom_expected(const headroom_t *h, int64_t at_ms)
{
	return h->level + h->slope * (double)(at_ms - h->updated_ms) / 1000;
}

double
headroom_deviation(const headroom_t *h)
{
	return sqrt(h->var_level);
}
