/*
 * Run times of a queue's tasks: what the declared ones tell of the real ones.
 * No I/O.
 *
 * A linear regression in logarithms with a decay, as declared times are off by
 * factors.  Where they tell little, its slope is near 0 and all tasks are
 * expected to take about as long; where they are exact it is 1.
 * docs/design/overload.md has the reasons.
 *
 * Include <stdint.h> first.
 */
#ifndef RUN_TIME_H
#define RUN_TIME_H

typedef struct {
	double n; /* runs so far */
	/* Of the logarithms: decaying means, variances and covariance. */
	double declared, real, declared_var, real_var, covariance;
} run_time_t;

/* A task that was declared to take declared_ms took real_ms. */
void run_time_learn(run_time_t *t, int64_t declared_ms, int64_t real_ms);
/* How long a task is expected to take, in ms. */
int64_t run_time_expected(const run_time_t *t, int64_t declared_ms);

#endif
