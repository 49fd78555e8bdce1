/*
 * What runs of earlier owners may hold of a customer's quota while this owner has
 * not seen them all.
 *
 * A worker that has answered a poll has shown all its runs.  The others that
 * earlier owners used may run, together, any task that is not known to be over:
 * each customer's unseen usage is at most that of such tasks, and at most what
 * these workers have room for.
 */
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

/* No run of a job that was stopped earlier is left: a start is carried out 12 s
 * late at most, and leases are shorter. */
#define STOPPED_MS 15000

/*
 * Number of runs of a step's tasks that an earlier owner may have started, and
 * that are neither known nor known to be over.  Where two runs of a task may
 * exist, one that is known does not exclude others; and when a task is done, its
 * other run may still have to be stopped.
 */
static int64_t
max_unseen_runs(const step_t *st)
{
	if (!st->occ->job->maybe_started_before || st->not_started_before)
		return 0;
	if (!st->def->duplicates)
		return st->nwaiting;
	return (int64_t)2 * (st->ntasks - st->ndone) + st->ndone;
}

/* Adds n runs of a step's tasks. */
static void
add_runs(task_sum_t *sum, const Sched__Step *def, int64_t n)
{
	ts_res_t d = customer_task_demand(def);

	if (def->filler) {
		ts_res_t cpu = { sum->filler_cpu_milli, 0, 0 };

		ts_res_add_times(&cpu, &d, n);
		sum->filler_cpu_milli = cpu.cpu_milli;
		d.cpu_milli = 0;
	}
	ts_res_add_times(&sum->res, &d, n);
}

/* Adds the unseen runs that a job may have. */
static void
add_job(task_sum_t *sum, const job_t *j)
{
	for (guint i = 0; i < j->occs->len; i++) {
		const occurrence_t *o = g_ptr_array_index(j->occs, i);

		for (size_t k = 0; k < j->def->n_steps; k++) {
			const step_t *st = &o->steps[k];

			add_runs(sum, st->def, max_unseen_runs(st));
		}
	}
}

/*
 * Sums what the workers have that may have unseen runs.  No limit is known if the
 * set of these workers is not, or the resources of one.
 */
static task_sum_t
unseen_capacity(const sched_t *s)
{
	static const task_sum_t unlimited = {
		{ INT64_MAX, INT64_MAX, INT32_MAX }, INT64_MAX
	};
	task_sum_t sum = { 0 };
	ts_res_t fillers = { 0 };

	if (s->cell.footprint_bad && !lease_old_ones_ended(s))
		return unlimited;
	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);
		ts_res_t has = { w->cpu_milli, w->mem_mb * MB_BYTES, w->gpu };

		if (!lease_may_hide_runs(s, w))
			continue;
		if (w->cpu_milli == 0)
			return unlimited;
		ts_res_add_times(&sum.res, &has, 1);
		ts_res_add_times(&fillers, &has, PLACE_FILLER_CPU_TIMES);
	}
	sum.filler_cpu_milli = fillers.cpu_milli;
	return sum;
}

/* Sets the unseen usage of a customer; capacity: of the workers not seen. */
static void
set_unseen(customer_t *c, const task_sum_t *capacity)
{
	const task_sum_t *m = &c->may_run;
	ts_res_t fillers = {
		MIN(m->filler_cpu_milli, capacity->filler_cpu_milli), 0, 0
	};
	ts_res_t *u = &c->quota.unseen;

	u->cpu_milli = MIN(m->res.cpu_milli, capacity->res.cpu_milli);
	u->mem_bytes = MIN(m->res.mem_bytes, capacity->res.mem_bytes);
	u->accel = MIN(m->res.accel, capacity->res.accel);
	ts_res_add_times(u, &fillers, 1);
}

/* Updates the unseen usage of all customers from the jobs. */
static void
count_all(sched_t *s)
{
	task_sum_t capacity = unseen_capacity(s);
	customer_t *c;
	const job_t *j;

	FOREACH_VALUE (c, s->customers)
		c->may_run = c->may_ended;
	FOREACH_VALUE (j, s->jobs) {
		if (j->customer != NULL && j->maybe_started_before)
			add_job(&j->customer->may_run, j);
	}
	FOREACH_VALUE (c, s->customers)
		set_unseen(c, &capacity);
}

/* Nothing of earlier owners can be unseen any more. */
static void
clear_all(sched_t *s)
{
	customer_t *c;

	FOREACH_VALUE (c, s->customers) {
		memset(&c->quota.unseen, 0, sizeof(c->quota.unseen));
		memset(&c->may_ended, 0, sizeof(c->may_ended));
	}
}

/*
 * Updates what runs of earlier owners that were not seen yet may hold.  Called a
 * few times a second, and before a pass if a worker has answered for the first
 * time since.
 */
void
customer_count_unseen(sched_t *s)
{
	s->unseen_stale = false;
	if (s->cell.workers_accounted) {
		if (s->unseen_counted)
			clear_all(s);
		s->unseen_counted = false;
		return;
	}
	if (g_hash_table_size(s->customers) == 0)
		return;
	s->unseen_counted = true;
	s->start_pass_due = true;
	count_all(s);
}

/* The row of a job was read, perhaps after its runs or after the takeover. */
void
customer_job_loaded(sched_t *s, job_t *j)
{
	report_job_known(s, j);
	if (s->cell.state == CELL_OWNED && j->customer != NULL &&
	    j->maybe_started_before)
		customer_count_unseen(s);
}

/* Unseen runs of a job count also when the job itself is no longer kept. */
void
customer_job_removed(sched_t *s, const job_t *j)
{
	if (s->cell.state == CELL_OWNED && !s->cell.workers_accounted &&
	    j->customer != NULL)
		add_job(&j->customer->may_ended, j);
}

/*
 * The end of a job was read while loading.  One that did not complete may have
 * runs that are still being stopped: its row is to be read for what they hold.
 */
void
customer_ended_job_loaded(sched_t *s, const char *id, const Sched__Progress *p)
{
	if (p->state != SCHED__STATE__COMPLETED &&
	    p->ended_ms > s->wall_ms - STOPPED_MS)
		g_hash_table_add(s->stopped_jobs, g_strdup(id));
}

/* The row of an ended job was read: counts the runs that it may have. */
void
customer_ended_job_read(sched_t *s, const char *id, const sched_row_t *row)
{
	Sched__Job *def;
	const char *why;

	if (!g_hash_table_remove(s->stopped_jobs, id))
		return;
	def = sched__job__unpack(NULL, row->nbytes, row->bytes);
	if (def != NULL && def->customer[0] != '\0' &&
	    sched_job_valid(def, &why)) {
		customer_t *c = customer_get(s, def->customer);

		for (size_t i = 0; i < def->n_steps; i++) {
			int64_t runs = def->steps[i]->duplicates ? 2 : 1;

			add_runs(&c->may_ended, def->steps[i],
			    runs * def->steps[i]->count *
				CLAMP(
				    def->repeats, 1, occurrence_max_open(def)));
		}
	}
	sched__job__free_unpacked(def, NULL);
}
