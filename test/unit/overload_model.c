/*
 * A small model of a cell; see overload_model.h.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "../../sched/overload.h"
#include "overload_model.h"

#define STEP_MS	      50
#define PLAN_MS	      250
#define END_MS	      400000 /* after which all jobs must have ended */
#define CPU_MILLI     1000
#define LATE_TIMES    3	   /* as in queue.c, like the next four */
#define LATE_WORTH    0.15 /* docs/design/requirements.md, part 4 */
#define FIXED_VALUE   0.3
#define ADVANCE_MS    1500
#define PCT_JOBS      8 /* tasks in the average run time of a kind */
#define ORACLE_RUNS   4
#define ORACLE_STARTS 6 /* three orders, with and without true run times */

typedef struct {
	int32_t nsteps, tasks, estimate_ms;
	int64_t target_ms;
	double stretch;
} kind_t;

/* A short request, a job of two steps and a wide one of three. */
static const kind_t kinds[MODEL_KINDS] = {
	{ 1, 2, 400, 1000, 2 },
	{ 2, 4, 800, 2000, 2 },
	{ 3, 12, 1500, 6000, 2 },
};

typedef struct {
	bool started, done;
	bool slow;	 /* its slot is */
	int32_t true_ms; /* at full speed */
	double left_ms;	 /* of true_ms */
} mtask_t;

typedef struct {
	int32_t kind, step, ndone;
	int32_t estimate_ms; /* of each task */
	int64_t arrival_ms, allowed_ms, end_ms;
	double value;
	int32_t deferrals;
	bool deferred, given_up; /* given_up: the oracle does it last */
	mtask_t tasks[MODEL_STEPS_MAX][MODEL_TASKS_MAX];
	int tier;
	int64_t key_ms;
} mjob_t;

typedef struct {
	model_order_t order;
	bool knows; /* true run times */
	uint32_t seed;
	const model_load_t *load;
	GArray *jobs;		 /* mjob_t by arrival */
	double pct[MODEL_KINDS]; /* learned run time / declared */
	overload_rate_t rate;
	double done_work; /* since the last plan */
	bool waits;	  /* at the last plan */
	int64_t now_ms;
	int32_t busy, busy_slow;
	model_result_t *res;
} model_t;

static uint32_t
next_random(uint32_t *x)
{
	*x = *x * 1664525u + 1013904223u;
	return *x >> 8;
}

/* A factor around 1 that spreads like run times do. */
static double
spread(uint32_t *x)
{
	return 0.7 + 0.6 * (double)(next_random(x) % 1000) / 1000;
}

static void
add_job(model_t *m, int32_t kind, int64_t at_ms, uint32_t *x)
{
	const kind_t *k = &kinds[kind];
	int32_t pct =
	    m->load->true_pct[kind] > 0 ? m->load->true_pct[kind] : 100;
	mjob_t j = { .kind = kind, .arrival_ms = at_ms };
	double mean = k->nsteps * k->tasks * (double)k->estimate_ms;

	j.estimate_ms = (int32_t)(k->estimate_ms * spread(x) * spread(x));
	j.allowed_ms =
	    k->target_ms + (int64_t)(k->stretch * k->nsteps * j.estimate_ms);
	j.value =
	    (FIXED_VALUE * mean +
		(1 - FIXED_VALUE) * k->nsteps * k->tasks * j.estimate_ms) *
	    CPU_MILLI;
	for (int32_t i = 0; i < k->nsteps; i++)
		for (int32_t t = 0; t < k->tasks; t++) {
			mtask_t *task = &j.tasks[i][t];

			task->true_ms =
			    (int32_t)(j.estimate_ms * spread(x)) * pct / 100;
			task->left_ms = task->true_ms;
		}
	g_array_append_val(m->jobs, j);
}

static const model_phase_t *
phase_at(const model_load_t *l, int64_t now_ms)
{
	const model_phase_t *p = l->phases;

	while (p->until_ms <= now_ms && p->until_ms > 0)
		p++;
	return p->until_ms > 0 ? p : p - 1;
}

static void
add_arrivals(model_t *m)
{
	double due[MODEL_KINDS] = { 0 };
	const model_phase_t *last = NULL;
	uint32_t x = m->seed;

	for (int64_t t = 0; t < END_MS; t += STEP_MS) {
		const model_phase_t *p = phase_at(m->load, t);

		if (p->until_ms <= t)
			break;
		for (int32_t k = 0; k < MODEL_KINDS; k++) {
			due[k] += p->jobs_per_s[k] * STEP_MS / 1000 *
			    (0.5 + (double)(next_random(&x) % 1000) / 1000);
			due[k] += p != last ? p->burst[k] : 0;
			for (; due[k] >= 1; due[k]--)
				add_job(m, k, t, &x);
		}
		last = p;
	}
}

/* Expected time of a task as the order sees it. */
static double
task_ms(const model_t *m, const mjob_t *j, const mtask_t *t)
{
	if (m->knows)
		return t->true_ms;
	return j->estimate_ms * m->pct[j->kind];
}

/* Work that a job still needs, and the part of it that runs. */
static double
work_left(const model_t *m, const mjob_t *j, double *running)
{
	double sum = 0;

	*running = 0;
	for (int32_t i = 0; i < kinds[j->kind].nsteps; i++)
		for (int32_t k = 0; k < kinds[j->kind].tasks; k++) {
			const mtask_t *t = &j->tasks[i][k];
			double w = t->done ? 0 :
					     task_ms(m, j, t) * t->left_ms /
				MAX(1, t->true_ms) * CPU_MILLI;

			sum += w;
			*running += t->started ? w : 0;
		}
	return MAX(1, sum);
}

static int64_t
path_ms(const model_t *m, const mjob_t *j)
{
	double sum = 0;

	for (int32_t i = j->step; i < kinds[j->kind].nsteps; i++) {
		double longest = 0;

		for (int32_t k = 0; k < kinds[j->kind].tasks; k++)
			longest = MAX(longest, task_ms(m, j, &j->tasks[i][k]));
		sum += longest;
	}
	return (int64_t)sum;
}

static bool
has_waiting(const mjob_t *j)
{
	if (j->end_ms != 0)
		return false;
	for (int32_t k = 0; k < kinds[j->kind].tasks; k++)
		if (!j->tasks[j->step][k].started)
			return true;
	return false;
}

static int32_t
priority(const model_t *m, const mjob_t *j)
{
	return m->load->priorities && j->kind != 0 ? 2 : 1;
}

/* Sets the sort key of a job, as queue.c does for MODEL_QUEUE and _PLAN. */
static void
update_key(const model_t *m, mjob_t *j)
{
	int64_t due = j->arrival_ms + j->allowed_ms, path = path_ms(m, j);
	double running, gain;

	j->tier = j->given_up ? 6 : 0;
	j->key_ms = m->order == MODEL_FCFS ? j->arrival_ms : due;
	if (j->given_up || m->order == MODEL_FCFS || m->order == MODEL_EDF)
		return;
	if (due - path < m->now_ms) {
		j->tier =
		    due + (LATE_TIMES - 1) * j->allowed_ms - path < m->now_ms ?
		    5 :
		    3;
		j->key_ms = path;
		return;
	}
	j->tier = j->deferred ? 2 : 0;
	gain = j->value / work_left(m, j, &running) - 1;
	j->key_ms = due - path - (int64_t)(CLAMP(gain, -1, 2) * ADVANCE_MS);
}

static bool
is_begun(const mjob_t *j)
{
	for (int32_t k = 0; k < kinds[j->kind].tasks; k++)
		if (j->tasks[0][k].started)
			return true;
	return false;
}

static void
plan(model_t *m, guint from, guint to)
{
	g_autoptr(GArray) items =
	    g_array_new(FALSE, TRUE, sizeof(overload_item_t));
	bool waits = false;
	overload_sums_t sums;
	double rate;

	for (guint i = from; i < to; i++) {
		mjob_t *j = &g_array_index(m->jobs, mjob_t, i);
		int64_t due = j->arrival_ms + j->allowed_ms - m->now_ms;
		overload_item_t it = { .ctx = j,
			.due_ms = due,
			.late_ms = due + (LATE_TIMES - 1) * j->allowed_ms,
			.shortest_ms = path_ms(m, j),
			.slack_ms = j->allowed_ms -
			    (int64_t)(kinds[j->kind].nsteps * j->estimate_ms *
				m->pct[j->kind]),
			.begun = is_begun(j),
			.value = j->value,
			.priority = priority(m, j),
			.was_deferred = j->deferred };

		if (j->end_ms != 0)
			continue;
		it.work_left = work_left(m, j, &it.work_running);
		g_array_append_val(items, it);
		waits |= has_waiting(j);
	}
	overload_rate_add(&m->rate, m->done_work, PLAN_MS, waits && m->waits);
	m->done_work = 0;
	m->waits = waits;
	rate = overload_rate(&m->rate);
	if (rate > 0)
		overload_plan((overload_item_t *)(void *)items->data,
		    items->len, rate, &sums);
	for (guint i = 0; i < items->len; i++) {
		overload_item_t *it = &g_array_index(items, overload_item_t, i);
		mjob_t *j = it->ctx;
		bool deferred = rate > 0 && it->mark != OVERLOAD_ON_TIME;

		/* A job that is late anyway is no change of the plan. */
		if (it->shortest_ms <= it->due_ms) {
			m->res->changes += deferred != j->deferred;
			j->deferrals += deferred && !j->deferred;
		}
		j->deferred = deferred;
	}
}

static int
compare_jobs(gconstpointer pa, gconstpointer pb, gpointer ctx)
{
	const mjob_t *a = *(mjob_t *const *)pa, *b = *(mjob_t *const *)pb;
	const model_t *m = ctx;

	if (a->tier != b->tier)
		return a->tier < b->tier ? -1 : 1;
	if (m->order != MODEL_FCFS && m->order != MODEL_EDF &&
	    priority(m, a) != priority(m, b))
		return priority(m, a) < priority(m, b) ? -1 : 1;
	if (a->key_ms != b->key_ms)
		return a->key_ms < b->key_ms ? -1 : 1;
	return a < b ? -1 : a > b;
}

static void
start_tasks(model_t *m, guint from, guint to)
{
	const model_phase_t *p = phase_at(m->load, m->now_ms);
	g_autoptr(GPtrArray) ready = g_ptr_array_new();

	for (guint i = from; i < to; i++) {
		mjob_t *j = &g_array_index(m->jobs, mjob_t, i);

		if (!has_waiting(j))
			continue;
		update_key(m, j);
		g_ptr_array_add(ready, j);
	}
	g_ptr_array_sort_with_data(ready, compare_jobs, m);
	for (guint i = 0; i < ready->len; i++) {
		mjob_t *j = g_ptr_array_index(ready, i);

		for (int32_t k = 0; k < kinds[j->kind].tasks; k++) {
			mtask_t *t = &j->tasks[j->step][k];

			if (m->busy >= p->slots)
				return;
			if (t->started)
				continue;
			t->started = true;
			t->slow = m->busy_slow < p->slow_slots;
			m->busy_slow += t->slow;
			m->busy++;
		}
	}
}

/* A task of a job is done. */
static void
task_done(model_t *m, mjob_t *j, mtask_t *t)
{
	const kind_t *k = &kinds[j->kind];
	double real = (double)t->true_ms / j->estimate_ms * (t->slow ? 2 : 1);

	t->done = true;
	m->busy--;
	m->busy_slow -= t->slow;
	m->pct[j->kind] += (real - m->pct[j->kind]) / PCT_JOBS;
	if (++j->ndone < k->tasks)
		return;
	j->ndone = 0;
	if (++j->step < k->nsteps)
		return;
	j->end_ms = m->now_ms;
}

/* Lets STEP_MS pass for the tasks of a job that run. */
static void
run_job(model_t *m, mjob_t *j)
{
	int32_t step = j->step;

	for (int32_t k = 0; j->end_ms == 0 && k < kinds[j->kind].tasks; k++) {
		mtask_t *t = &j->tasks[step][k];
		double ms = MIN(t->left_ms, t->slow ? STEP_MS / 2 : STEP_MS);

		if (!t->started || t->done)
			continue;
		t->left_ms -= ms;
		m->done_work +=
		    task_ms(m, j, t) * ms / MAX(1, t->true_ms) * CPU_MILLI;
		if (t->left_ms <= 0)
			task_done(m, j, t);
	}
}

static void
add_results(model_t *m)
{
	model_result_t *r = m->res;

	for (guint i = 0; i < m->jobs->len; i++) {
		const mjob_t *j = &g_array_index(m->jobs, mjob_t, i);
		int64_t took = j->end_ms - j->arrival_ms;
		bool on_time = j->end_ms != 0 && took <= j->allowed_ms;
		bool late = j->end_ms != 0 && !on_time &&
		    took <= LATE_TIMES * j->allowed_ms;

		r->jobs++;
		r->jobs_of[j->kind]++;
		r->on_time += on_time;
		r->on_time_of[j->kind] += on_time;
		r->late += late;
		r->too_late += j->end_ms != 0 && !on_time && !late;
		r->not_ended += j->end_ms == 0;
		r->unstable += j->deferrals > 2;
		r->most += j->value;
		r->worth += on_time ? j->value :
		    late	    ? LATE_WORTH * j->value :
				      0;
	}
}

/* Adds the jobs that were late to those that are given up. */
static void
add_late(const model_t *m, GArray *given_up)
{
	g_array_set_size(given_up, m->jobs->len);
	for (guint i = 0; i < m->jobs->len; i++) {
		const mjob_t *j = &g_array_index(m->jobs, mjob_t, i);

		g_array_index(given_up, bool, i) |=
		    j->end_ms == 0 || j->end_ms - j->arrival_ms > j->allowed_ms;
	}
}

/*
 * Plays all jobs.  If knows is set, the true run times are known; given_up: of
 * each job, whether it is done last, or NULL.
 */
static model_result_t
play(const model_load_t *l, model_order_t order, uint32_t seed, bool knows,
    GArray *given_up)
{
	model_result_t res = { 0 };
	model_t m = { .order = order,
		.knows = knows,
		.seed = seed,
		.load = l,
		.res = &res };
	guint from = 0, to = 0;

	m.jobs = g_array_new(FALSE, TRUE, sizeof(mjob_t));
	for (int32_t k = 0; k < MODEL_KINDS; k++)
		m.pct[k] = 1;
	add_arrivals(&m);
	for (guint i = 0; given_up != NULL && i < given_up->len; i++)
		g_array_index(m.jobs, mjob_t, i).given_up =
		    g_array_index(given_up, bool, i);
	for (; m.now_ms < END_MS && from < m.jobs->len; m.now_ms += STEP_MS) {
		while (to < m.jobs->len &&
		    g_array_index(m.jobs, mjob_t, to).arrival_ms <= m.now_ms)
			to++;
		if (order == MODEL_PLAN && m.now_ms % PLAN_MS == 0)
			plan(&m, from, to);
		for (guint i = from; i < to; i++)
			run_job(&m, &g_array_index(m.jobs, mjob_t, i));
		start_tasks(&m, from, to);
		while (from < to &&
		    g_array_index(m.jobs, mjob_t, from).end_ms != 0)
			from++;
	}
	add_results(&m);
	if (given_up != NULL)
		add_late(&m, given_up);
	g_array_unref(m.jobs);
	return res;
}

/*
 * What can be had with full knowledge: the best of plays with true run times, in
 * each of which the jobs that were late in the one before are done last from the
 * start.
 */
static model_result_t
play_oracle(const model_load_t *l, uint32_t seed)
{
	model_result_t best = { 0 };

	for (int k = 0; k < ORACLE_STARTS; k++) {
		model_order_t order = (model_order_t)(MODEL_EDF + k % 3);
		bool knows = k >= 3;
		g_autoptr(GArray) given_up =
		    g_array_new(FALSE, TRUE, sizeof(bool));

		for (int i = 0; i < ORACLE_RUNS; i++) {
			model_result_t r =
			    play(l, order, seed, knows, given_up);

			if (r.worth > best.worth)
				best = r;
			knows = true;
		}
	}
	return best;
}

model_result_t
model_run(const model_load_t *l, model_order_t order, uint32_t seed)
{
	return order == MODEL_ORACLE ? play_oracle(l, seed) :
				       play(l, order, seed, false, NULL);
}
