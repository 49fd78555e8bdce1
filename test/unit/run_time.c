/*
 * Expected run times: declared ones may be off by factors, or mean nothing.
 */
#include <math.h>
#include <stdint.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../sched/run_time.h"

#define RUNS 2000

/* A factor whose logarithm is uniform between -spread and spread. */
static double
factor(GRand *r, double spread)
{
	return exp(g_rand_double_range(r, -1, 1) * spread);
}

/*
 * Guards against times that trust declared ones more than they deserve, or less:
 * the error must be below that of the declared time and below that of the mean.
 */
Test(run_time, errors)
{
	static const struct {
		const char *name;
		double real_spread, declared_spread; /* of the logarithms */
		double bias;			     /* real over declared */
	} cases[] = {
		{ "exact", 0.8, 0.01, 1 },
		{ "too low", 0.8, 0.2, 3 },
		{ "far off", 0.8, 1.6, 1 },
		{ "tell nothing", 0.05, 1.6, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GRand *r = g_rand_new_with_seed(7);
		run_time_t t = { 0 };
		double error = 0, declared_error = 0, mean_error = 0;

		for (int32_t k = 0; k < RUNS; k++) {
			double real = 2000 * factor(r, cases[i].real_spread);
			double declared = real / cases[i].bias *
			    factor(r, cases[i].declared_spread);
			double expected =
			    (double)run_time_expected(&t, (int64_t)declared);

			if (k >= RUNS / 2) {
				error += fabs(log(expected / real));
				declared_error += fabs(log(declared / real));
				mean_error += fabs(log(2000 / real));
			}
			run_time_learn(&t, (int64_t)declared, (int64_t)real);
		}
		/* A tenth more than the better of the two, for the decay. */
		cr_expect_leq(error, 1.1 * MIN(declared_error, mean_error) + 5,
		    "%s: %g, declared %g, mean %g", cases[i].name, error / RUNS,
		    declared_error / RUNS, mean_error / RUNS);
		g_rand_free(r);
	}
}

/* Nothing is known before the first run, and one run changes little. */
Test(run_time, first_runs)
{
	run_time_t t = { 0 };

	cr_expect_eq(run_time_expected(&t, 1000), 1000);
	run_time_learn(&t, 1000, 100000);
	cr_expect_lt(run_time_expected(&t, 1000), 1200);
}

/* Values that rows may hold must not give times that overflow or are 0. */
Test(run_time, extremes)
{
	static const int64_t values[] = { 0, 1, 1000000000 };
	run_time_t t = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(values); k++) {
			int64_t ms;

			run_time_learn(&t, values[i], values[k]);
			ms = run_time_expected(&t, values[i]);
			cr_expect(ms >= 0 && ms <= INT64_C(20000000000));
		}
}
