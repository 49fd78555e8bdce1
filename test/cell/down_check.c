/*
 * The check that lasting tasks get a place in time: none that had a run may be down for
 * DOWN_MAX_MS on end while all is calm and the workers could hold all that are down
 * twice over beside the lasting runs that they have.  That is more than the users ask
 * for, who count only what is free (idle_check.c): short work ends soon, and fillers
 * can be stopped, so that what they hold can be had in that time.  Beside planned
 * restarts of entries they are only counted, and idle_check.c has the check.
 *
 * And the check that no order ends a run on a worker that is to stay while as many
 * others of its step are away as may be: ended by such an order, or for NOTICE_MS.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define DOWN_MAX_MS 6000
#define NOTICE_MS   4000
#define LOOK_MS	    50 /* between two looks */

/* A lasting task that had a run. */
typedef struct {
	int64_t ran_ms; /* when it last ran */
	bool too_long;	/* it has been down for DOWN_MAX_MS */
	/* An order has ended its run on a worker that was to stay. */
	bool stopped;
} up_t;

/* Tasks of a step that are down. */
typedef struct {
	const Sched__Step *step;
	int32_t ntasks;
} down_t;

struct down_check {
	GHashTable *tasks; /* task -> up_t */
	/* Since when all that are down could be held; -1: they can't. */
	int64_t holdable_ms;
	down_totals_t totals;
};

/* What is reserved on the workers in a trial. */
typedef struct {
	int64_t cpu_milli[WORKERS_MAX], mem_mb[WORKERS_MAX];
} trial_t;

/* Puts one more task on a worker, of which some of its step are there in the trial. */
static bool
put_on(const world_t *w, trial_t *t, int32_t i, const Sched__Step *st,
    int32_t there)
{
	const sim_worker_t *wk = &w->workers[i];
	int64_t places =
	    idle_check_places(wk, st, t->cpu_milli[i], t->mem_mb[i]);

	if (!idle_check_takes_starts(w, wk) ||
	    places <= (st->per_worker > 0 ? there : 0))
		return false;
	t->cpu_milli[i] += st->cpu_milli;
	t->mem_mb[i] += st->mem_mb;
	return true;
}

/* Puts tasks of a step on the first workers that have room; false: not all fit. */
static bool
put_all(const world_t *w, trial_t *t, const Sched__Step *st, int32_t n)
{
	for (int32_t i = 0; i < w->nworkers && n > 0; i++)
		for (int32_t there = 0; n > 0 && put_on(w, t, i, st, there);
		     there++)
			n--;
	return n == 0;
}

static gint
by_size(gconstpointer pa, gconstpointer pb)
{
	const down_t *a = pa, *b = pb;

	return a->step->cpu_milli > b->step->cpu_milli ? -1 :
	    a->step->cpu_milli < b->step->cpu_milli    ? 1 :
							 0;
}

/* Whether all tasks that are down fit twice over beside the lasting runs. */
static bool
can_hold(const world_t *w, GArray *down)
{
	trial_t t;
	bool fit = true;

	for (int32_t i = 0; i < w->nworkers; i++)
		idle_check_count_used(
		    &w->workers[i], true, &t.cpu_milli[i], &t.mem_mb[i]);
	g_array_sort(down, by_size);
	for (guint i = 0; i < down->len; i++) {
		const down_t *d = &g_array_index(down, down_t, i);

		fit = fit && put_all(w, &t, d->step, 2 * d->ntasks);
	}
	return fit;
}

static up_t *
find(const world_t *w, const sim_job_t *job, int32_t index, char *key, size_t n)
{
	g_snprintf(key, (gulong)n, "%s.0.0.%d", job->id, index);
	return g_hash_table_lookup(w->down_check->tasks, key);
}

void
down_check_stop(world_t *w, const sim_worker_t *wk, const sim_run_t *run)
{
	const Sched__Step *st = run->step;
	int32_t away = 0;
	char key[64];

	if (w->down_check == NULL)
		return;
	w->down_check->totals.stops++;
	if (wk->draining || wk->fails_all_tasks)
		return;
	for (int32_t i = 0; i < st->count; i++) {
		up_t *u = find(w, run->job, i, key, sizeof(key));

		if (u == NULL)
			continue;
		if (strcmp(key, run->task) == 0)
			u->stopped = true;
		else
			away +=
			    u->stopped || w->now_ms - u->ran_ms >= NOTICE_MS;
	}
	if (st->has_miss_limit && away >= st->may_miss)
		world_fail(w, "avail",
		    "task %s is stopped on %s while %d are away", run->task,
		    wk->id, away);
}

/* Looks at a task; true: it had a run, and is down. */
static bool
look_at(world_t *w, const sim_job_t *job, int32_t index)
{
	down_check_t *c = w->down_check;
	char key[64];
	bool running;
	up_t *u;

	u = find(w, job, index, key, sizeof(key));
	running = world_ground_truth(w, key)->running > 0;
	if (u == NULL && !running)
		return false;
	if (u == NULL) {
		u = g_new0(up_t, 1);
		g_hash_table_insert(c->tasks, g_strdup(key), u);
	}
	if (running) {
		u->ran_ms = w->now_ms;
		u->too_long = false;
		return false;
	}
	c->totals.longest_ms = MAX(c->totals.longest_ms, w->now_ms - u->ran_ms);
	if (!u->too_long && w->now_ms - u->ran_ms >= DOWN_MAX_MS) {
		u->too_long = true;
		c->totals.too_long++;
	}
	return true;
}

/* Fails if a task of the job that is down has had time to get a place. */
static void
check_job(world_t *w, const sim_job_t *job, int64_t since_ms)
{
	for (int32_t i = 0; i < job->def->steps[0]->count; i++) {
		const Sched__Step *st = job->def->steps[0];
		char key[64];
		const up_t *u;

		u = find(w, job, i, key, sizeof(key));
		if (u == NULL ||
		    w->now_ms - MAX(u->ran_ms, since_ms) < DOWN_MAX_MS)
			continue;
		world_fail(w, "down",
		    "task %s, %" PRId64 " milli, %" PRId64
		    " MB%s%s, last ran at %.3f, could be held since %.3f",
		    key, st->cpu_milli, st->mem_mb,
		    st->per_worker > 0 ? ", apart" : "",
		    st->label[0] != '\0' ? ", labelled" : "",
		    (double)u->ran_ms / 1000, (double)since_ms / 1000);
	}
}

static bool
is_looked_at(const sim_job_t *job)
{
	return job->def->steps[0]->lasting && !job->cancelled &&
	    job->ended_ms == 0;
}

static void
on_look(world_t *w, void *arg)
{
	down_check_t *c = w->down_check;
	g_autoptr(GArray) down = g_array_new(FALSE, FALSE, sizeof(down_t));
	GHashTableIter it;
	int32_t all = 0;
	void *v;

	(void)arg;
	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const sim_job_t *job = v;
		down_t d = { job->def->steps[0], 0 };

		for (int32_t i = 0; is_looked_at(job) && i < d.step->count; i++)
			d.ntasks += look_at(w, job, i);
		if (d.ntasks > 0)
			g_array_append_val(down, d);
		all += d.ntasks;
	}
	c->totals.most = MAX(c->totals.most, all);
	if (!can_hold(w, down))
		c->holdable_ms = -1;
	else if (c->holdable_ms < 0)
		c->holdable_ms = w->now_ms;
	world_schedule(w, LOOK_MS, on_look, NULL);
	if (c->holdable_ms < 0 || all == 0 || w->only_counts_down ||
	    w->restarts != NULL)
		return;
	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (is_looked_at(v))
			check_job(w, v,
			    MAX(c->holdable_ms, idle_check_calm_since_ms(w)));
}

/* A run of a task has begun. */
void
down_check_start(world_t *w, const char *task)
{
	up_t *u = w->down_check == NULL ?
	    NULL :
	    g_hash_table_lookup(w->down_check->tasks, task);

	if (u != NULL)
		u->stopped = false;
}

void
down_check_begin(world_t *w)
{
	down_check_t *c = w->down_check = g_new0(down_check_t, 1);

	c->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world_schedule(w, LOOK_MS, on_look, NULL);
}

down_totals_t
down_check_totals(const world_t *w)
{
	return w->down_check->totals;
}

void
down_check_free(world_t *w)
{
	if (w->down_check == NULL)
		return;
	g_hash_table_unref(w->down_check->tasks);
	g_free(w->down_check);
}
