/*
 * Customers: their settings, and the quotas that their runs hold.
 *
 * A run counts from its order until it is proved to be over, so also one that is
 * stopping or in doubt.  Runs of earlier owners that are not seen yet are counted
 * by unseen.c.
 *
 * What is reserved of a quota for a step that has been passed over (reservation.c) is
 * left to it by the customer's other steps; and so is what its lasting tasks need that
 * are down, whatever else they wait for.
 */
#include <inttypes.h>
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
#include "down.h"

#define WEIGHT_UNKNOWN 1.0 /* of a customer without settings */
/* Counted of one run: the sum of 200,000 of them fits into an int32_t. */
#define COUNTED_GPUS_MAX 10000
/* A customer counts as held for so long after a step was held: the interval
 * at which that is logged. */
#define HELD_MS 1000

/* What a task of the step holds while it runs. */
ts_res_t
customer_task_demand(const Sched__Step *d)
{
	ts_res_t r = { .cpu_milli = d->cpu_milli,
		.mem_bytes = d->mem_mb * MB_BYTES,
		.accel = d->gpu };

	return r;
}

/* What all tasks of a step hold. */
static ts_res_t
gang_demand(const Sched__Step *d)
{
	ts_res_t one = customer_task_demand(d);
	ts_res_t sum = { 0 };

	ts_res_add_times(&sum, &one, d->count);
	return sum;
}

/* A limit from a row or the configuration, within the range of amounts. */
static int64_t
limit_of(int64_t amount)
{
	return CLAMP(amount, 0, SCHED_AMOUNT_MAX);
}

static void
set_limits(ts_quota_t *q, int64_t cpu_milli, int64_t mem_mb, int64_t gpu)
{
	q->limit.cpu_milli = limit_of(cpu_milli);
	q->limit.mem_bytes = limit_of(mem_mb) * MB_BYTES;
	q->limit.accel = limit_of(gpu);
}

bool
sched_gangs_fit_quota(const Sched__Job *def, const char **why)
{
	ts_quota_t q = { 0 };

	set_limits(&q, def->quota_cpu_milli, def->quota_mem_mb, def->quota_gpu);
	*why = "a gang is larger than the customer's quota";
	for (size_t i = 0; i < def->n_steps; i++) {
		ts_res_t demand = gang_demand(def->steps[i]);

		if (def->steps[i]->gang && !ts_quota_fits(&q, &demand))
			return false;
	}
	*why = "";
	return true;
}

/* Returns the customer with this name; creates it if there is none. */
customer_t *
customer_get(sched_t *s, const char *name)
{
	customer_t *c = g_hash_table_lookup(s->customers, name);

	if (c == NULL) {
		c = g_new0(customer_t, 1);
		c->name = g_intern_string(name);
		c->weight = WEIGHT_UNKNOWN;
		g_hash_table_insert(s->customers, (void *)c->name, c);
	}
	return c;
}

/*
 * Takes the settings of a customer that is not in the configuration from a job's
 * row, if it was accepted after the others.
 */
static void
adopt_settings(customer_t *c, const Sched__Job *def)
{
	if (def->accepted_ms < c->settings_ms)
		return;
	c->settings_ms = def->accepted_ms;
	c->weight = def->weight > 0 ? def->weight : WEIGHT_UNKNOWN;
	set_limits(
	    &c->quota, def->quota_cpu_milli, def->quota_mem_mb, def->quota_gpu);
}

/*
 * Sets the customer of a new job.  Settings of one that is not in the
 * configuration are those of its last accepted job's row: rows are read in no
 * order.
 */
void
customer_job_added(sched_t *s, job_t *j)
{
	const Sched__Job *def = j->def;
	customer_t *c;

	if (def->customer[0] == '\0')
		return;
	c = j->customer = customer_get(s, def->customer);
	if (!c->configured)
		adopt_settings(c, def);
}

/*
 * Whether what is reserved of the quota for others is left beside a demand: for another
 * step, and for tasks that are down; q: the quota, with what would be used.  A step with
 * such a task goes first.
 */
static bool
leaves_reserved(const customer_t *c, const ts_quota_t *q, const step_t *st,
    const ts_res_t *demand)
{
	bool for_other = c->reserved_round == st->occ->job->sched->scan.round &&
	    c->reserved_for != st;
	bool for_down =
	    c->down.cpu_milli > 0 || c->down.mem_bytes > 0 || c->down.accel > 0;
	ts_res_t sum = *demand;

	if (st->ndown > 0 || (!for_other && !for_down))
		return true;
	if (for_other)
		ts_res_add_times(&sum, &c->reserved, 1);
	if (for_down)
		ts_res_add_times(&sum, &c->down, 1);
	return ts_quota_fits(q, &sum);
}

/* Adds what the tasks of a step need that are down, as far as the quota allows them. */
static void
add_down(customer_t *c, const step_t *st)
{
	ts_res_t one = customer_task_demand(st->def);
	ts_quota_t q = c->quota;

	q.used = c->lasting;
	for (int32_t i = 0; i < st->ntasks; i++) {
		ts_res_t sum = c->down;

		if (!downtime_is_down(&st->tasks[i]))
			continue;
		ts_res_add_times(&sum, &one, 1);
		if (!ts_quota_fits(&q, &sum))
			return;
		c->down = sum;
	}
}

/* Finds what lasting tasks need that are down, for the round that begins. */
void
customer_begin_round(sched_t *s)
{
	customer_t *c;

	if (g_hash_table_size(s->customers) == 0)
		return;
	FOREACH_VALUE (c, s->customers)
		memset(&c->down, 0, sizeof(c->down));
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		c = st->occ->job->customer;
		if (c != NULL && st->ndown > 0 && place_has_worker(s, st))
			add_down(c, st);
	}
}

/* Whether the quota of its customer lets a task of the step start. */
bool
customer_allows_start(const step_t *st)
{
	const customer_t *c = st->occ->job->customer;
	ts_res_t demand = customer_task_demand(st->def);

	return c == NULL ||
	    (leaves_reserved(c, &c->quota, st, &demand) &&
		ts_quota_allows(&c->quota, &demand));
}

/* Whether the quota of its customer lets all tasks of a gang start. */
bool
customer_allows_gang(const step_t *st)
{
	const customer_t *c = st->occ->job->customer;
	ts_res_t demand = gang_demand(st->def);

	return c == NULL ||
	    (leaves_reserved(c, &c->quota, st, &demand) &&
		ts_quota_fits(&c->quota, &demand));
}

/* Whether the quota lets a task of the step start, or its gang as a whole. */
bool
customer_allows_step(const step_t *st)
{
	return st->def->gang ? customer_allows_gang(st) :
			       customer_allows_start(st);
}

/*
 * Whether the task of a run could start again once the run has been stopped:
 * after its quota was lowered, it could not.
 */
bool
customer_allows_move(const run_t *r)
{
	const customer_t *c = r->job->customer;
	ts_res_t demand = customer_task_demand(r->task->step->def);
	ts_quota_t after;

	if (c == NULL)
		return true;
	after = c->quota;
	ts_res_sub(&after.used, &demand);
	return leaves_reserved(c, &after, r->task->step, &demand) &&
	    ts_quota_allows(&after, &demand);
}

/*
 * Whether a held step can start once the customer's other tasks have ended,
 * except those that last.
 */
static bool
drain_helps(const customer_t *c, const step_t *st)
{
	ts_quota_t after = c->quota;
	ts_res_t demand = st->def->gang ? gang_demand(st->def) :
					  customer_task_demand(st->def);

	after.used = c->lasting;
	return st->def->gang ? ts_quota_fits(&after, &demand) :
			       ts_quota_allows(&after, &demand);
}

/*
 * Whether a part of its customer's quota may be reserved for a step.  Not if there is
 * no quota, another step has it reserved, or lasting tasks hold too much of it.
 */
bool
customer_may_reserve(const sched_t *s, const step_t *st)
{
	const customer_t *c = st->occ->job->customer;

	return c != NULL && c->reserved_round != s->scan.round &&
	    drain_helps(c, st);
}

/*
 * Reserves what the next task of a step needs of its customer's quota, or its gang,
 * until the next round of scan.c, if that may be.
 */
bool
customer_reserve(sched_t *s, const step_t *st)
{
	customer_t *c = st->occ->job->customer;

	if (!customer_may_reserve(s, st))
		return false;
	c->reserved_for = st;
	c->reserved_round = s->scan.round;
	c->reserved = st->def->gang ? gang_demand(st->def) :
				      customer_task_demand(st->def);
	return true;
}

/* Notes that a step is held in this pass. */
static void
note_held(sched_t *s, customer_t *c, step_t *st)
{
	c->held_ms = s->now_ms;
	s->stats.quota_waits += !st->quota_held;
	/* Workers may change while it is held. */
	st->unplaced_round = 0;
	st->isolated = false;
}

/*
 * Whether the quota of its customer holds a waiting step in this pass; then it
 * counts as not offered any worker.
 */
bool
customer_holds(sched_t *s, step_t *st)
{
	customer_t *c = st->occ->job->customer;
	bool held = !customer_allows_step(st);

	if (held)
		note_held(s, c, st);
	st->quota_held = held;
	return held;
}

/*
 * Counts what a run holds at its customer (sign 1), or no longer (-1).  The sum
 * of memory does not overflow with fewer than 8,000 runs of the largest size.
 */
void
customer_count_run(const run_t *r, int sign)
{
	const step_t *st = r->task->step;
	customer_t *c = r->job->customer;
	ts_res_t demand = customer_task_demand(st->def);

	if (c == NULL)
		return;
	demand.accel = MIN(demand.accel, COUNTED_GPUS_MAX);
	if (sign > 0) {
		ts_res_add(&c->quota.used, &demand);
		if (st->def->lasting)
			ts_res_add(&c->lasting, &demand);
	} else {
		ts_res_sub(&c->quota.used, &demand);
		if (st->def->lasting)
			ts_res_sub(&c->lasting, &demand);
	}
}

/* Forgets what runs hold, as all runs are discarded. */
void
customer_forget_runs(sched_t *s)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->customers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		customer_t *c = v;

		memset(&c->quota.used, 0, sizeof(c->quota.used));
		memset(&c->quota.unseen, 0, sizeof(c->quota.unseen));
		memset(&c->lasting, 0, sizeof(c->lasting));
		memset(&c->down, 0, sizeof(c->down));
		memset(&c->may_ended, 0, sizeof(c->may_ended));
		c->held = false;
		c->held_ms = 0;
	}
	s->unseen_counted = false;
}

/* Logs which customers have begun or ceased to be held.  Called once a second. */
void
customer_log_held(sched_t *s)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->customers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		customer_t *c = v;
		const ts_quota_t *q = &c->quota;
		bool held = c->held_ms != 0 && s->now_ms - c->held_ms < HELD_MS;

		if (held == c->held)
			continue;
		c->held = held;
		LOG_EVENT(s, SCHED_EVT_QUOTA, c->name,
		    "held=%d cpu=%" PRId64 "/%" PRId64 " mem_mb=%" PRId64
		    "/%" PRId64 " gpu=%d/%d"
		    " unseen_cpu=%" PRId64,
		    held, q->used.cpu_milli, q->limit.cpu_milli,
		    q->used.mem_bytes / MB_BYTES, q->limit.mem_bytes / MB_BYTES,
		    q->used.accel, q->limit.accel, q->unseen.cpu_milli);
	}
}

/*
 * Gives customers that are no longer in the configuration the settings of their
 * jobs' rows: versions between may have lowered them, and a new owner would know
 * no others.
 */
static void
adopt_settings_of_removed(sched_t *s)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const job_t *j = v;

		if (j->customer != NULL && !j->customer->configured)
			adopt_settings(j->customer, j->def);
	}
}

void
sched_set_customers(
    sched_t *s, const sched_customer_t *list, size_t n, int64_t now_ms)
{
	GHashTableIter it;
	void *v;

	s->now_ms = now_ms;
	g_hash_table_iter_init(&it, s->customers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		customer_t *c = v;

		if (c->configured)
			c->settings_ms = 0;
		c->configured = false;
	}
	for (size_t i = 0; i < n; i++) {
		customer_t *c = customer_get(s, list[i].name);

		c->configured = true;
		c->weight = list[i].weight;
		set_limits(&c->quota, list[i].quota_cpu_milli,
		    list[i].quota_mem_mb, list[i].quota_gpu);
	}
	adopt_settings_of_removed(s);
	if (n > 0)
		scan_begin_round(s);
}
