/*
 * Run times of a queue's tasks; see run_time.h.
 */
#include <math.h>
#include <stdint.h>

#include <glib.h>

#include "run_time.h"

#define MEMORY_RUNS 512 /* the mean is over about so many */
/* So many runs count as much as the declared time itself. */
#define PRIOR_RUNS 30
#define MIN_MS	   50 /* shorter times count as this, so that logarithms exist */
#define MAX_FACTOR 10 /* between the declared and the expected time */

static double
log_ms(int64_t ms)
{
	return log((double)MAX(MIN_MS, ms));
}

void
run_time_learn(run_time_t *t, int64_t declared_ms, int64_t real_ms)
{
	double w, dx, dy;

	t->n++;
	w = MAX(1 / t->n, 1.0 / MEMORY_RUNS);
	dx = log_ms(declared_ms) - t->declared;
	dy = log_ms(real_ms) - t->real;
	t->declared += w * dx;
	t->real += w * dy;
	t->declared_var = (1 - w) * (t->declared_var + w * dx * dx);
	t->real_var = (1 - w) * (t->real_var + w * dy * dy);
	t->covariance = (1 - w) * (t->covariance + w * dx * dy);
}

int64_t
run_time_expected(const run_time_t *t, int64_t declared_ms)
{
	double x = log_ms(declared_ms), slope = 0, residual_var, y, trust;

	if (t->n == 0)
		return declared_ms;
	if (t->declared_var > 0)
		slope = CLAMP(t->covariance / t->declared_var, 0, 1);
	residual_var = MAX(0, t->real_var - slope * t->covariance);
	/* The mean of a log-normal distribution is above its median. */
	y = t->real + slope * (x - t->declared) + residual_var / 2;
	trust = t->n / (t->n + PRIOR_RUNS);
	y = x +
	    trust *
		CLAMP(y - x, -log((double)MAX_FACTOR), log((double)MAX_FACTOR));
	return (int64_t)exp(y);
}
