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
#include "headroom.h"
#include "internal.h"

/* Received work counts for about so long: a burst is remembered for some tasks
 * of usual length, and an earlier one does not delay a customer for ever. */
#define RECEIVED_DECAY_MS 5000.0
/* Customers whose received work differs by less of the mean are about even. */
#define RANK_STEP 0.2
#define RANK_MAX  1000

/* What a bucket holds: so long at the customer's rate, but at least so many
 * jobs, as a bucket of less than one would never have room. */
#define BURST_MS       4000.0
#define BURST_MIN_JOBS 2
/* A refused customer is admitted again when so much of its bucket is free, so
 * that the refusal does not end and begin with each update. */
#define SPARE_BURST 0.5
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
 * Brings the bucket to a wall time: at most empty, also if the clock was set
 * back, and with the same number of jobs in it if the weight has changed.
 */
static void
bucket_bring_to(customer_t *c, double wall_ms)
{
	customer_share_t *h = &c->share;
	double weight = weight_of(c), left = h->bucket_full_wall_ms - wall_ms;

	if (h->bucket_weight > 0)
		left *= h->bucket_weight / weight;
	h->bucket_weight = weight;
	h->bucket_full_wall_ms = wall_ms + CLAMP(left, 0, burst_ms(c));
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
	bucket_bring_to(c, (double)at);
	j->over_rate = h->bucket_full_wall_ms + interval_ms(c) - (double)at >
	    burst_ms(c) + ROUNDING_MS;
	if (!j->over_rate)
		h->bucket_full_wall_ms += interval_ms(c);
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
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((job_t *)v)->customer != NULL)
			g_ptr_array_add(jobs, v);
	g_ptr_array_sort(jobs, compare_accepted);
	for (guint i = 0; i < jobs->len; i++)
		count_acceptance(s, g_ptr_array_index(jobs, i));
}

/* Discards what customers received and sent, as all jobs are discarded. */
void
share_forget(sched_t *s)
{
	GHashTableIter it;
	void *v;

	memset(&s->unowned, 0, sizeof(s->unowned));
	g_hash_table_iter_init(&it, s->customers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		memset(&((customer_t *)v)->share, 0, sizeof(customer_share_t));
}

/* Time until the bucket has room for a job; 0 or less: it has. */
double
share_time_to_room(const sched_t *s, customer_t *c)
{
	bucket_bring_to(c, (double)s->wall_ms);
	return c->share.bucket_full_wall_ms + interval_ms(c) -
	    (double)s->wall_ms - burst_ms(c) - ROUNDING_MS;
}

/* Time until a good part of the bucket is free; 0 or less: it is. */
double
share_time_to_spare(const sched_t *s, customer_t *c)
{
	double spare_ms = MAX(interval_ms(c), SPARE_BURST * burst_ms(c));

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

/* Sets for all customers whether they have a step that waits for room. */
static void
find_waiting(sched_t *s)
{
	GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);

	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);
		customer_share_t *h = share_of(s, st->occ->job);

		/* One that its quota holds does not compete for room. */
		if (!h->waiting)
			h->waiting = st->def->gang ? customer_allows_gang(st) :
						     customer_allows_start(st);
	}
}

/* Sums over the active customers. */
typedef struct {
	double received, weight, least_level;
	int32_t n;
} totals_t;

static bool
is_active(const customer_share_t *h)
{
	return h->waiting || h->used_milli > 0;
}

/* Adds a customer's part to the sums if it is active. */
static void
add_to_totals(totals_t *t, const customer_share_t *h, double weight)
{
	if (!is_active(h))
		return;
	t->received += h->received;
	t->weight += weight;
	t->n++;
	if (h->waiting && h->active)
		t->least_level = MIN(t->least_level, h->received / weight);
}

/*
 * Sets the rank of a customer.  One that was idle is put one step before those
 * that waited and received least: it goes first, but has no claim for the time
 * in which it asked for nothing.
 */
static void
set_rank(customer_share_t *h, double weight, double mean, double least_level)
{
	double step = mean * RANK_STEP;

	if (!h->active && least_level < INFINITY)
		h->received = MAX(h->received, weight * (least_level - step));
	h->rank = 0;
	if (step > 0)
		h->rank =
		    (int32_t)MIN(RANK_MAX, round(h->received / weight / step));
	h->active = is_active(h);
}

/*
 * Updates what each customer received and the order of customers, which then
 * stays the same until the next update, as the queue is sorted by it.
 */
void
share_update(sched_t *s)
{
	totals_t t = { .least_level = INFINITY };
	double unowned_weight;
	GHashTableIter it;
	void *v;

	if (g_hash_table_size(s->customers) == 0)
		return;
	g_hash_table_iter_init(&it, s->customers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		add_work_done(&((customer_t *)v)->share, s->now_ms);
		((customer_t *)v)->share.waiting = false;
	}
	add_work_done(&s->unowned, s->now_ms);
	s->unowned.waiting = false;
	find_waiting(s);
	g_hash_table_iter_init(&it, s->customers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		add_to_totals(&t, &((customer_t *)v)->share, weight_of(v));
	/* Jobs without a customer share the room as one of mean weight. */
	unowned_weight = t.n == 0 ? 1 : t.weight / t.n;
	add_to_totals(&t, &s->unowned, unowned_weight);
	if (t.n == 0)
		t.weight = 1;
	g_hash_table_iter_init(&it, s->customers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		set_rank(&((customer_t *)v)->share, weight_of(v),
		    t.received / t.weight, t.least_level);
	set_rank(
	    &s->unowned, unowned_weight, t.received / t.weight, t.least_level);
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
	if (a->customer == b->customer)
		return 0;
	rank_a = share_of(a->sched, a)->rank;
	rank_b = share_of(b->sched, b)->rank;
	if (rank_a != rank_b)
		return rank_a < rank_b ? -1 : 1;
	return 0;
}
