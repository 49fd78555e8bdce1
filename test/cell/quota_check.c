/*
 * Checks of quotas in a simulated cell: what the runs of a customer hold at the
 * workers, and that a customer with room and quota gets its turn.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define IN_FORCE_MS	   3000 /* a version still counts after the next */
#define QUOTA_EXCESS	   1.1	/* share of a limit that may be in use */
#define PASSED_OVER_MS	   3000
#define PASSED_OVER_GAP_MS 200 /* between two checks */
/* A lease by a slow clock, and the polls that show its end. */
#define DOUBT_MS (MAX_LEASE_MS + 1000)

/* The customer of a job; -1: none. */
static int32_t
customer_of(const sim_job_t *job)
{
	const char *name = job->def->customer;

	return name[0] == '\0' ? -1 : name[1] - '0';
}

static int64_t
higher(int64_t a, int64_t b)
{
	return a == 0 || b == 0 ? 0 : MAX(a, b);
}

static int64_t
lower(int64_t a, int64_t b)
{
	return a == 0 || b == 0 ? MAX(a, b) : MIN(a, b);
}

/* Widens a range of limits by a quota. */
static void
add_quota(sim_quota_t *high, sim_quota_t *low, int64_t cpu, int64_t mem)
{
	high->cpu_milli = higher(high->cpu_milli, cpu);
	high->mem_mb = higher(high->mem_mb, mem);
	low->cpu_milli = lower(low->cpu_milli, cpu);
	low->mem_mb = lower(low->mem_mb, mem);
}

/*
 * Widens a range by the limits of a customer that a version doesn't list: its
 * last settings, or those in a row of its jobs.
 */
static void
add_removed(const world_t *w, int32_t c, guint version, sim_quota_t *high,
    sim_quota_t *low)
{
	GHashTableIter it;
	void *v;
	guint i = version;

	while (i > 0 && !customers_config(w, i)->listed[c])
		i--;
	add_quota(high, low, customers_config(w, i)->quota[c].cpu_milli,
	    customers_config(w, i)->quota[c].mem_mb);
	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const sim_job_t *job = v;

		if (customer_of(job) == c)
			add_quota(high, low, job->def->quota_cpu_milli,
			    job->def->quota_mem_mb);
	}
}

/* Sets the highest and lowest limits that were in force since a time. */
static void
limits_since(const world_t *w, int32_t c, int64_t since_ms, sim_quota_t *high,
    sim_quota_t *low)
{
	guint i = w->configs->len;

	*high = (sim_quota_t){ 1, 1 }; /* below any limit */
	*low = (sim_quota_t){ 0, 0 };
	do {
		const sim_config_t *cfg = customers_config(w, --i);

		if (cfg->listed[c])
			add_quota(high, low, cfg->quota[c].cpu_milli,
			    cfg->quota[c].mem_mb);
		else
			add_removed(w, c, i, high, low);
	} while (i > 0 && customers_config(w, i)->from_ms >= since_ms);
}

/* What the runs of a customer hold on all workers that are up. */
static sim_quota_t
held_by(const world_t *w, int32_t c)
{
	sim_quota_t sum = { 0, 0 };

	for (int32_t i = 0; i < w->nworkers; i++) {
		const sim_worker_t *wk = &w->workers[i];

		for (guint k = 0; wk->up && k < wk->runs->len; k++) {
			const sim_run_t *run = g_ptr_array_index(wk->runs, k);

			if (customer_of(run->job) != c)
				continue;
			sum.cpu_milli += run->step->cpu_milli;
			sum.mem_mb += run->step->mem_mb;
		}
	}
	return sum;
}

static void
owe_no_start_until(world_t *w, int32_t c, int64_t ms)
{
	w->customer_owed_ms[c] = MAX(w->customer_owed_ms[c], ms);
}

void
quotas_run_in_doubt(world_t *w, const sim_job_t *job)
{
	int32_t c = job == NULL ? -1 : customer_of(job);

	if (c >= 0)
		owe_no_start_until(w, c, w->now_ms + DOUBT_MS);
}

static bool
exceeds(int64_t held, int64_t limit)
{
	return limit != 0 && (double)held > QUOTA_EXCESS * (double)limit;
}

/*
 * The limits that count go back from when the order was sent or, if the store
 * was down then or shortly before, from when that began, as no entry could read
 * the table.
 */
void
quotas_check_start(
    world_t *w, const sim_job_t *job, const char *task, int64_t sent_ms)
{
	int32_t c = customer_of(job);
	int64_t since_ms = sent_ms;
	sim_quota_t held, high, low;

	if (c < 0)
		return;
	owe_no_start_until(w, c, w->now_ms);
	if (w->store_down || sent_ms < w->outage_changed_ms + IN_FORCE_MS)
		since_ms = MIN(since_ms, w->outage_began_ms);
	held = held_by(w, c);
	limits_since(w, c, since_ms - IN_FORCE_MS, &high, &low);
	if (exceeds(held.cpu_milli, high.cpu_milli) ||
	    exceeds(held.mem_mb, high.mem_mb))
		world_fail(w, "quota",
		    "task %s started though customer %s holds %" PRId64
		    " of %" PRId64 " milli-cores, %" PRId64 " of %" PRId64
		    " MB",
		    task, customers_name(c), held.cpu_milli, high.cpu_milli,
		    held.mem_mb, high.mem_mb);
}

/* Whether all tasks of the steps that come before are done. */
static bool
is_ready(world_t *w, const sim_job_t *job, const Sched__Step *st)
{
	for (size_t i = 0; i < st->n_after; i++)
		for (int32_t k = 0; k < job->def->steps[st->after[i]]->count;
		     k++) {
			char task[64];

			snprintf(task, sizeof(task), "%s.0.%d.%d", job->id,
			    st->after[i], k);
			if (!world_ground_truth(w, task)->done)
				return false;
		}
	return true;
}

/* Whether a task waits that can't be suspected of crashing workers. */
static bool
has_waiting_task(world_t *w, const sim_job_t *job, size_t step)
{
	for (int32_t k = 0; k < job->def->steps[step]->count; k++) {
		char task[64];
		const ground_truth_t *truth;

		snprintf(task, sizeof(task), "%s.0.%zu.%d", job->id, step, k);
		truth = world_ground_truth(w, task);
		if (!truth->done && truth->running == 0 &&
		    truth->failures == 0 && truth->crashes == 0 &&
		    !truth->start_unanswered)
			return true;
	}
	return false;
}

/* Whether a worker has room for a task twice over. */
static bool
has_room_twice(
    const sim_worker_t *wk, const sim_job_t *job, const Sched__Step *st)
{
	int64_t cpu = 0, mem = 0;

	if (!wk->up || !wk->listed)
		return false;
	for (guint i = 0; i < wk->runs->len; i++) {
		const sim_run_t *run = g_ptr_array_index(wk->runs, i);

		cpu += run->step->cpu_milli;
		mem += run->step->mem_mb;
		if (run->job == job)
			return false;
	}
	return cpu + 2 * st->cpu_milli <= wk->cpu_milli &&
	    mem + 2 * st->mem_mb <= wk->mem_mb;
}

/* Whether two workers have that room, and half of the cell is free. */
static bool
has_room(const world_t *w, const sim_job_t *job, const Sched__Step *st)
{
	int32_t n = 0;
	int64_t cpu = 0, used = 0;

	for (int32_t i = 0; i < w->nworkers; i++) {
		const sim_worker_t *wk = &w->workers[i];

		n += has_room_twice(wk, job, st);
		cpu += wk->cpu_milli;
		for (guint k = 0; k < wk->runs->len; k++)
			used += ((sim_run_t *)g_ptr_array_index(wk->runs, k))
				    ->step->cpu_milli;
	}
	return n >= 2 && used * 2 < cpu;
}

/* Whether a task of the customer waits for which there is room. */
static const sim_job_t *
job_with_room(world_t *w, int32_t c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const sim_job_t *job = v;

		if (customer_of(job) != c || job->ended_ms != 0 ||
		    job->cancelled || job->always_fails ||
		    job->deadly_index >= 0)
			continue;
		for (size_t i = 0; i < job->def->n_steps; i++)
			if (has_waiting_task(w, job, i) &&
			    is_ready(w, job, job->def->steps[i]) &&
			    has_room(w, job, job->def->steps[i]))
				return job;
	}
	return NULL;
}

static bool
below_half(int64_t held, int64_t limit)
{
	return limit == 0 || held * 2 < limit;
}

/*
 * Without faults, a customer that holds less than half of its quota and has a
 * task to run for which there is room gets a start in time.
 */
static void
check_passed_over(world_t *w, void *arg)
{
	(void)arg;
	for (int32_t i = 0; i < w->nworkers; i++)
		worker_advance(w, &w->workers[i]);
	for (int32_t c = 0; c < w->ncustomers; c++) {
		sim_quota_t held = held_by(w, c), high, low;
		const sim_job_t *job;

		limits_since(w, c, w->now_ms - IN_FORCE_MS, &high, &low);
		job = below_half(held.cpu_milli, low.cpu_milli) &&
			below_half(held.mem_mb, low.mem_mb) ?
		    job_with_room(w, c) :
		    NULL;
		if (job == NULL)
			owe_no_start_until(w, c, w->now_ms);
		if (w->now_ms - w->customer_owed_ms[c] > PASSED_OVER_MS)
			world_fail(w, "passed over",
			    "job %s of customer %s waits since %.3f with room "
			    "and quota",
			    job->id, customers_name(c),
			    (double)w->customer_owed_ms[c] / 1000);
	}
	world_schedule(w, PASSED_OVER_GAP_MS, check_passed_over, NULL);
}

void
quotas_begin_checks(world_t *w, void *arg)
{
	for (int32_t c = 0; c < w->ncustomers; c++)
		owe_no_start_until(w, c, w->now_ms);
	check_passed_over(w, arg);
}
