/*
 * Headroom of the tasks of a serving step: their latency target divided by
 * their tail latency.  See headroom.c.
 *
 * Include <stdbool.h> and <stdint.h> first.
 */
#ifndef HEADROOM_H
#define HEADROOM_H

#define HEADROOM_MAX 10 /* higher measurements are cut to this */

/* What is known of a step: its headroom without fillers. */
typedef struct {
	double level, slope; /* at updated_ms; slope per second */
	double var_level, var_slope, cov;
	int64_t updated_ms;
} headroom_t;

/* A measurement of one of its tasks. */
typedef struct {
	double measured;
	double previous; /* the measurement of the same task before this one */
	int64_t age_ms;	 /* between the two */
	/* What fillers beside the task are expected to take, and how well that
	 * is known. */
	double loss, loss_variance;
} headroom_sample_t;

/* How a measurement differed from what was expected. */
typedef struct {
	double error;
	double variance; /* that was expected of it */
	double weight;	 /* share of the present in the measurement */
} headroom_error_t;

/* Starts with a first measurement. */
void headroom_start(headroom_t *h, double level, int64_t now_ms);
/*
 * Share of the present in a measurement so long after the one before.  One with
 * less than HEADROOM_MIN_WEIGHT tells nothing, and is not to be used as the
 * previous one either.
 */
double headroom_weight(int64_t age_ms);
#define HEADROOM_MIN_WEIGHT 0.05
/* Updates the filter with a measurement. */
void headroom_update(headroom_t *h, const headroom_sample_t *x, int64_t now_ms,
    headroom_error_t *err);
/* The headroom expected at a time, which may lie ahead. */
double headroom_expected(const headroom_t *h, int64_t at_ms);
/* Standard deviation of the level. */
double headroom_deviation(const headroom_t *h);

#endif
