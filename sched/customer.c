/*
 * Customers: their settings, and the quotas that their runs hold.
 *
 * A run counts from its order until it is proved to be over, so also one that is
 * stopping or in doubt.  After a change of owner, runs of earlier owners may be
 * unseen until all workers are accounted for; as much as there may be of them
 * counts as held.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "sched.h"
#include "headroom.h"
#include "internal.h"

#define MB_BYTES       ((int64_t)1024 * 1024)
#define WEIGHT_UNKNOWN 1.0 /* of a customer without settings */

/* What a task of the step holds while it runs. */
static ts_res_t
demand_of(const step_t *st)
{
	ts_res_t r = { .cpu_milli = st->def->cpu_milli,
		.mem_bytes = st->def->mem_mb * MB_BYTES,
		.accel = st->def->gpu };

	return r;
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
 * Sets the customer of a new job.  Settings of one that is not in the
 * configuration are those of its jobs' rows.
 */
void
customer_job_added(sched_t *s, job_t *j)
{
	const Sched__Job *def = j->def;
	customer_t *c;

	if (def->customer[0] == '\0')
		return;
	c = j->customer = customer_get(s, def->customer);
	if (c->configured)
		return;
	c->weight = def->weight > 0 ? def->weight : WEIGHT_UNKNOWN;
	c->quota.limit.cpu_milli = def->quota_cpu_milli;
	c->quota.limit.mem_bytes = def->quota_mem_mb * MB_BYTES;
	c->quota.limit.accel = def->quota_gpu;
}

/* Whether the quota of its customer lets a task of the step start. */
bool
customer_allows_start(const step_t *st)
{
	const customer_t *c = st->occ->job->customer;
	ts_res_t demand = demand_of(st);

	return c == NULL || ts_quota_allows(&c->quota, &demand);
}

/* Whether the quota of its customer lets all tasks of a gang start. */
bool
customer_allows_gang(const step_t *st)
{
	const customer_t *c = st->occ->job->customer;
	ts_res_t demand = demand_of(st);

	demand.cpu_milli *= st->ntasks;
	demand.mem_bytes *= st->ntasks;
	demand.accel *= st->ntasks;
	return c == NULL || ts_quota_fits(&c->quota, &demand);
}

/* Counts what a run holds at its customer (sign 1), or no longer (-1). */
void
customer_count_run(const run_t *r, int sign)
{
	customer_t *c = r->job->customer;
	ts_res_t demand = demand_of(r->task->step);

	if (c == NULL)
		return;
	if (sign > 0)
		ts_res_add(&c->quota.used, &demand);
	else
		ts_res_sub(&c->quota.used, &demand);
}

/* Updates what runs of earlier owners that were not seen yet may hold. */
void
customer_count_unseen(sched_t *s)
{
	(void)s;
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
	while (g_hash_table_iter_next(&it, NULL, &v))
		((customer_t *)v)->configured = false;
	for (size_t i = 0; i < n; i++) {
		customer_t *c = customer_get(s, list[i].name);

		c->configured = true;
		c->weight = list[i].weight;
		c->quota.limit.cpu_milli = list[i].quota_cpu_milli;
		c->quota.limit.mem_bytes = list[i].quota_mem_mb * MB_BYTES;
		c->quota.limit.accel = list[i].quota_gpu;
	}
	if (n > 0)
		scan_begin_round(s);
}
