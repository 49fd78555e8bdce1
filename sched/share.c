/*
 * Shares of customers in the room of the cell, and their rates.
 *
 * Pattern: one of twenty customers sends eight times its usual load.  Without
 * shares its jobs, each as urgent as any other, take most of the room.  Steps of
 * a tier and priority are therefore sorted by what their customers have received
 * for their weight, and jobs beyond a customer's rate go after all others.
 *
 * Received work is the use of processors by all runs of a customer, with an
 * exponential decay.  It is compared in coarse steps of the mean of the active
 * customers, so that deadlines order the jobs of those that are about even.
 * docs/design/shares.md has the reasons.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

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

/* Received work counts for about so long: a burst is remembered for some tasks
 * of usual length, and an earlier one does not delay a customer for ever. */
#define RECEIVED_DECAY_MS 5000.0
/* Ranks are by received work at this time ahead if the present runs go on: else a
 * start would show only slowly, and that of a long task too late. */
#define HORIZON_MS 1000.0
/* Customers whose received work differs by less of the mean are about even. */
#define RANK_STEP 0.2
#define RANK_MAX  1000

/* Queued work ranks a customer's later jobs up to this part of all that was
 * received: more is not started before the next update, and work that fits on no
 * worker must not hold back what is behind it. */
#define QUEUED_MAX 0.25

/* What a bucket holds: so long at the customer's rate, but at least so many
 * jobs, as a bucket of less than one would never have room. */
#define BURST_MS       4000.0
#define BURST_MIN_JOBS 2
/* A refused customer is admitted again once its bucket has room for the jobs of
 * so long, and for so many: the refusal does not end and begin with each job, and
 * costs one that is beyond its rate for a moment few of them. */
#define SPARE_MS   1000.0
#define SPARE_JOBS 2
/* Rounding of wall times with fractions of a millisecond. */
#define ROUNDING_MS 0.01

/* Weights that rows may hold are bounded so that quotients stay finite. */
#define WEIGHT_MIN 1e-6
#define WEIGHT_MAX 1e9

static double
weight_of(const customer_t *c)
{
	return CLAMP(c->weight, WEIGHT_MIN, WEIGHT_MAX);
}

/* Time in which the bucket gains room for one job. */
static double
interval_ms(const customer_t *c)
{
	return 1000 / weight_of(c);
}

static double
burst_ms(const customer_t *c)
{
	return MAX(BURST_MS, BURST_MIN_JOBS * interval_ms(c));
}

/*
 * Corrects the bucket at a wall time if the weight has changed, which leaves it
 * as many jobs, or the clock was set back: it is at most empty.
 */
static void
bucket_correct(customer_t *c, double wall_ms)
{
	customer_share_t *h = &c->share;
	double weight = weight_of(c), left = h->bucket_full_wall_ms - wall_ms;

	if (left > 0 && h->bucket_weight > 0)
		left *= h->bucket_weight / weight;
	h->bucket_weight = weight;
	h->bucket_full_wall_ms = wall_ms + MIN(left, burst_ms(c));
}

/* Time from wall_ms until the bucket has room for a job; 0 or less: it has. */
static double
time_to_room(const customer_t *c, double wall_ms)
{
	return MAX(c->share.bucket_full_wall_ms, wall_ms) + interval_ms(c) -
	    wall_ms - burst_ms(c) - ROUNDING_MS;
}

/*
 * Takes a job from its customer's bucket, or marks it as beyond the rate.  Jobs
 * beyond it take nothing, so that a customer that keeps sending too much still
 * has its rate.  Acceptance times are by the clocks of different entries: an
 * earlier one than the last counts as the last, a later one than now as now.
 */
static void
count_acceptance(sched_t *s, job_t *j)
{
	customer_t *c = j->customer;
	customer_share_t *h = &c->share;
	int64_t at = MAX(j->def->accepted_ms, h->accepted_wall_ms);

	at = h->accepted_wall_ms = MIN(at, s->wall_ms);
	bucket_correct(c, (double)at);
	j->over_rate = time_to_room(c, (double)at) > 0;
	if (!j->over_rate)
		h->bucket_full_wall_ms =
		    MAX(h->bucket_full_wall_ms, (double)at) + interval_ms(c);
}

/*
 * A job was accepted, or is read again by a new owner, which counts the loaded
 * jobs at the end of the load, as rows are read in any order.
 */
void
share_job_accepted(sched_t *s, job_t *j)
{
	if (j->customer == NULL || s->cell.state == CELL_LOADING)
		return;
	count_acceptance(s, j);
	s->stats.over_rate += j->over_rate;
}

/* Compares two jobs by time of acceptance; for g_ptr_array_sort. */
static gint
compare_accepted(gconstpointer pa, gconstpointer pb)
{
	const job_t *a = *(job_t *const *)pa, *b = *(job_t *const *)pb;

	if (a->def->accepted_ms != b->def->accepted_ms)
		return a->def->accepted_ms < b->def->accepted_ms ? -1 : 1;
	return strcmp(a->id, b->id);
}

/* Fills the buckets with the loaded jobs, by time of acceptance. */
void
share_load_done(sched_t *s)
{
	g_autoptr(GPtrArray) jobs = g_ptr_array_new();
	job_t *j;

	FOREACH_VALUE (j, s->jobs)
		if (j->customer != NULL)
			g_ptr_array_add(jobs, j);
	g_ptr_array_sort(jobs, compare_accepted);
	for (guint i = 0; i < jobs->len; i++)
		count_acceptance(s, g_ptr_array_index(jobs, i));
}

/* Discards what customers received and sent, as all jobs are discarded. */
void
share_forget(sched_t *s)
{
	customer_t *c;

	memset(&s->unowned, 0, sizeof(s->unowned));
	FOREACH_VALUE (c, s->customers)
		memset(&c->share, 0, sizeof(customer_share_t));
}

/* Time until the bucket has room for a job; 0 or less: it has. */
double
share_time_to_room(const sched_t *s, customer_t *c)
{
	bucket_correct(c, (double)s->wall_ms);
	return time_to_room(c, (double)s->wall_ms);
}

/* Time until the bucket has room for more than one; 0 or less: it has. */
double
share_time_to_spare(const sched_t *s, customer_t *c)
{
	double spare_ms = MAX(SPARE_JOBS * interval_ms(c), SPARE_MS);

	return share_time_to_room(s, c) + spare_ms - interval_ms(c);
}

static customer_share_t *
share_of(sched_t *s, const job_t *j)
{
	return j->customer == NULL ? &s->unowned : &j->customer->share;
}

/* Adds the work done since the last call, and lets the earlier decay. */
static void
add_work_done(customer_share_t *h, int64_t now_ms)
{
	double kept =
	    exp((double)MIN(0, h->updated_ms - now_ms) / RECEIVED_DECAY_MS);

	h->received = h->received * kept +
	    (double)h->used_milli * RECEIVED_DECAY_MS * (1 - kept);
	h->updated_ms = now_ms;
}

/* Counts the use of processors by a run (sign 1), or no longer (-1). */
void
share_count_run(const run_t *r, int sign)
{
	sched_t *s = r->job->sched;
	customer_share_t *h = share_of(s, r->job);

	if (g_hash_table_size(s->customers) > 0)
		add_work_done(h, s->now_ms);
	/* A task that declares no processor is not free. */
	h->used_milli += sign * MAX(1, r->task->step->def->cpu_milli);
}

/* Applies the present weights to the shares and the buckets. */
static void
update_weights(sched_t *s)
{
	customer_t *c;

	FOREACH_VALUE (c, s->customers) {
		bucket_correct(c, (double)s->wall_ms);
		c->share.weight = weight_of(c);
	}
}

/* Calls fn for the share of each customer and that of jobs without one. */
static void
for_each_share(sched_t *s, void (*fn)(sched_t *, customer_share_t *))
{
	customer_t *c;

	FOREACH_VALUE (c, s->customers)
		fn(s, &c->share);
	fn(s, &s->unowned);
}

/* Begins an update of a customer. */
static void
begin_update(sched_t *s, customer_share_t *h)
{
	add_work_done(h, s->now_ms);
	h->waiting = false;
	h->queued = 0;
	h->rank = 0;
}

/* Sets for all customers whether they have a step that waits for room. */
static void
find_waiting(sched_t *s)
{
	GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);

	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);
		customer_share_t *h = share_of(s, st->occ->job);

		if (!h->waiting)
			h->waiting = customer_allows_step(st);
	}
}

static bool
is_active(const customer_share_t *h)
{
	return h->waiting || h->used_milli > 0;
}

/* Part of the received work that is left of it at the horizon. */
static double
kept_at_horizon(void)
{
	return exp(-HORIZON_MS / RECEIVED_DECAY_MS);
}

/* What a use of processors from now on adds to received work by the horizon. */
static double
added_at_horizon(double milli)
{
	return milli * RECEIVED_DECAY_MS * (1 - kept_at_horizon());
}

/* Received work at the horizon if the present runs go on. */
static double
expected(const customer_share_t *h)
{
	return h->received * kept_at_horizon() +
	    added_at_horizon((double)h->used_milli);
}

/* What customers are ranked by: expected received work for their weight. */
static double
level(const customer_share_t *h)
{
	return expected(h) / h->weight;
}

/* Adds a customer's part to the sums over the active customers. */
static void
add_to_totals(sched_t *s, customer_share_t *h)
{
	share_totals_t *t = &s->share_totals;

	if (!is_active(h))
		return;
	t->received += expected(h);
	t->weight += h->weight;
	t->n++;
	if (h->waiting && h->active)
		t->least_level = MIN(t->least_level, level(h));
}

/* The difference of levels that makes a rank. */
static double
rank_step(const sched_t *s)
{
	const share_totals_t *t = &s->share_totals;

	return t->weight > 0 ? t->received / t->weight * RANK_STEP : 0;
}

/* The rank of a customer's job that goes after queued work of the customer. */
static int32_t
rank_after(const sched_t *s, const customer_share_t *h, double queued)
{
	double step = rank_step(s);

	if (step <= 0)
		return 0;
	return (int32_t)MIN(
	    RANK_MAX, round((level(h) + queued / h->weight) / step));
}

/*
 * Sets the rank of a customer.  One that was idle is put one step before those
 * that waited and received least: it goes first, but has no claim for the time
 * in which it asked for nothing.
 */
static void
set_rank(sched_t *s, customer_share_t *h)
{
	double least = s->share_totals.least_level;

	if (!h->active && least < INFINITY)
		h->received = MAX(h->received,
		    h->weight * (least - rank_step(s)) / kept_at_horizon());
	h->rank = rank_after(s, h, 0);
	h->active = is_active(h);
}

/*
 * Ranks the queued jobs, which are in the order in which each customer's are
 * started: each counts as received for those behind it, so that a pass starts
 * jobs of all customers by their weights.
 */
static void
rank_jobs(sched_t *s)
{
	GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	double limit = s->share_totals.received * QUEUED_MAX;

	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);
		job_t *j = st->occ->job;
		customer_share_t *h = share_of(s, j);
		double work;

		if (!customer_allows_step(st))
			continue;
		if (j->ranked_update != s->share_updates)
			j->rank = rank_after(s, h, MIN(h->queued, limit));
		j->ranked_update = s->share_updates;
		work = (double)(st->def->cpu_milli * st->def->estimate_ms);
		h->queued += (double)st->nwaiting *
		    MIN(work, added_at_horizon((double)st->def->cpu_milli));
	}
}

/*
 * Updates what each customer received and the ranks, which then stay the same
 * until the next update, as the queue is sorted by them.  The caller sorts it.
 */
void
share_update(sched_t *s)
{
	share_totals_t *t = &s->share_totals;

	if (g_hash_table_size(s->customers) == 0)
		return;
	/* Forgets the ranks of jobs: without any, the queue has the jobs of
	 * each customer in their order. */
	s->share_updates++;
	update_weights(s);
	for_each_share(s, begin_update);
	queue_resort(s);
	find_waiting(s);
	memset(t, 0, sizeof(*t));
	t->least_level = INFINITY;
	/* Jobs without a customer share the room as one of mean weight. */
	s->unowned.weight = s->mean_weight > 0 ? s->mean_weight : 1;
	for_each_share(s, add_to_totals);
	if (t->n > 0)
		s->mean_weight = t->weight / t->n;
	for_each_share(s, set_rank);
	rank_jobs(s);
}

/* The rank of a job; one that came after the update has its customer's. */
static int32_t
rank_of(const job_t *j)
{
	return j->ranked_update == j->sched->share_updates ?
	    j->rank :
	    share_of(j->sched, j)->rank;
}

/*
 * Compares the claims of the customers of two jobs: -1 if a goes first.  Jobs
 * beyond their rate go last; then the least rank goes first.
 */
int
share_compare(const job_t *a, const job_t *b)
{
	int32_t rank_a, rank_b;

	if (a->over_rate != b->over_rate)
		return a->over_rate ? 1 : -1;
	rank_a = rank_of(a);
	rank_b = rank_of(b);
	if (rank_a != rank_b)
		return rank_a < rank_b ? -1 : 1;
	return 0;
}
