/*
 * The check that work which can run does run.  From END_MS after the last new job
 * on no job may, for SPAN_MS on end, have nothing running while the turn of a task
 * has come, there is capacity for it twice over, and under half of the workers'
 * capacity is in use.  For each lasting task that holds at any time, from LASTING_MS
 * after its last run, however much is in use.  The span and CALM_MS before it are free
 * of faults; a worker that drains or has left is none, nor is a planned restart of an
 * entry (restarts.c); beside these the span of a lasting task begins after its
 * LASTING_MS, as the rule reads, as a change of the owner takes a while to see what runs.
 *
 * Jobs of customers may wait for their quota; quota_check.c has the check for them.
 * Capacity is what workers reject starts by: fillers reserve only memory.
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

#define END_MS	   14000
#define SPAN_MS	   3000
#define LASTING_MS 6000
#define CALM_MS	   4000
#define LOOK_MS	   50 /* between two looks */

typedef struct {
	int64_t ran_ms; /* when it last ran, or came */
	int64_t
	    could_ms; /* since when it could run and does not; 0: it can't */
} idle_t;

struct idle_check {
	GHashTable *idle;    /* job or lasting task -> idle_t */
	int64_t last_job_ms; /* of new jobs */
	int64_t last_fault_ms;
};

static bool
worker_is_well(const world_t *w, const sim_worker_t *wk)
{
	const poll_faults_t *f = &wk->polls;

	for (int32_t i = 0; i < w->nentries; i++)
		if (wk->cut_from[i] || f->answers_cut[i])
			return false;
	/* One that is down and has left the list is no fault any more. */
	return wk->up ? !wk->fails_all_tasks && !wk->tasks_stall &&
		wk->lost_order_share == 0 && f->unanswered_share == 0 &&
		f->late_share == 0 && f->failed_share == 0 &&
		f->answer_delay_ms == 0 :
			!wk->listed;
}

/* A worker that fails what it starts is an ordinary event beside lasting jobs, and jobs
 * that fail. */
static bool
is_unplanned(const world_t *w, const sim_worker_t *wk)
{
	return !worker_is_well(w, wk) &&
	    ((w->lasting == NULL && w->failing == NULL) ||
		!wk->fails_all_tasks);
}

static bool
has_fault(const world_t *w)
{
	bool fault = sim_approval_has_fault(w) || w->store_down ||
	    w->lost_write_share > 0 || w->late_read_share > 0 ||
	    w->store_latency_ms > STORE_LATENCY_MS;

	for (int32_t i = 0; i < w->nentries; i++) {
		const sim_entry_t *en = &w->entries[i];

		fault = fault || en->paused || en->store_cut ||
		    en->list_lag_ms > 0 ||
		    (w->restarts == NULL && (!en->up || en->leaving));
	}
	for (int32_t i = 0; i < w->nworkers; i++)
		fault = fault || is_unplanned(w, &w->workers[i]);
	return fault;
}

int64_t
idle_check_calm_since_ms(const world_t *w)
{
	return w->idle_check->last_fault_ms + CALM_MS;
}

void
idle_check_count_used(const sim_worker_t *wk, bool only_lasting,
    int64_t *cpu_milli, int64_t *mem_mb)
{
	*cpu_milli = *mem_mb = 0;
	for (guint i = 0; i < wk->runs->len; i++) {
		const Sched__Step *st =
		    ((sim_run_t *)g_ptr_array_index(wk->runs, i))->step;

		if (only_lasting && !st->lasting)
			continue;
		*cpu_milli += st->filler ? 0 : st->cpu_milli;
		*mem_mb += st->mem_mb;
	}
}

bool
idle_check_takes_starts(const world_t *w, const sim_worker_t *wk)
{
	return wk->up && wk->listed && !wk->draining &&
	    w->now_ms - wk->unwell_ms >= CALM_MS &&
	    !g_hash_table_contains(w->evacuated_since, wk->zone);
}

/* Runs of a step's tasks on a worker. */
static int32_t
runs_of(const sim_worker_t *wk, const Sched__Step *st)
{
	int32_t n = 0;

	for (guint i = 0; i < wk->runs->len; i++)
		n += ((sim_run_t *)g_ptr_array_index(wk->runs, i))->step == st;
	return n;
}

int64_t
idle_check_places(const sim_worker_t *wk, const Sched__Step *st,
    int64_t cpu_milli, int64_t mem_mb)
{
	int64_t fit = MIN((wk->cpu_milli - cpu_milli) / MAX(1, st->cpu_milli),
	    (wk->mem_mb - mem_mb) / MAX(1, st->mem_mb));

	if (st->label[0] != '\0' && g_strcmp0(st->label, wk->label) != 0)
		return 0;
	if (st->per_worker > 0)
		fit = MIN(fit, st->per_worker - runs_of(wk, st));
	return MAX(0, fit);
}

/* Whether there is capacity for two tasks of a step, and, unless they are to last,
 * half of all is free. */
static bool
has_capacity(const world_t *w, const Sched__Step *st)
{
	int64_t all_cpu = 0, all_mem = 0, cpu_used = 0, mem_used = 0, n = 0;

	for (int32_t i = 0; i < w->nworkers; i++) {
		const sim_worker_t *wk = &w->workers[i];
		int64_t cpu, mem;

		if (!idle_check_takes_starts(w, wk))
			continue;
		idle_check_count_used(wk, false, &cpu, &mem);
		all_cpu += wk->cpu_milli;
		all_mem += wk->mem_mb;
		cpu_used += cpu;
		mem_used += mem;
		n += idle_check_places(wk, st, cpu, mem);
	}
	return n >= 2 &&
	    (st->lasting || (cpu_used * 2 < all_cpu && mem_used * 2 < all_mem));
}

static const ground_truth_t *
truth_of(world_t *w, const sim_job_t *job, size_t step, int32_t index)
{
	char task[64];

	g_snprintf(task, sizeof(task), "%s.0.%d.%d", job->id, (int)step, index);
	return world_ground_truth(w, task);
}

/* Whether all tasks that a step comes after are noted as done. */
static bool
is_ready(world_t *w, const sim_job_t *job, const Sched__Step *st)
{
	for (size_t i = 0; i < st->n_after; i++)
		for (int32_t k = 0; k < job->def->steps[st->after[i]]->count;
		     k++)
			if (!truth_of(w, job, (size_t)st->after[i], k)
				 ->done_acked)
				return false;
	return true;
}

/* Prints what is free where a step's tasks could start. */
static void
print_places(const world_t *w, const Sched__Step *st)
{
	for (int32_t i = 0; w->verbose && i < w->nworkers; i++) {
		const sim_worker_t *wk = &w->workers[i];
		int64_t cpu, mem;

		if (!idle_check_takes_starts(w, wk))
			continue;
		idle_check_count_used(wk, false, &cpu, &mem);
		printf("%7.3f %s cpu=%" PRId64 " mem_mb=%" PRId64
		       " places=%" PRId64 "\n",
		    (double)w->now_ms / 1000, wk->id, wk->cpu_milli - cpu,
		    wk->mem_mb - mem, idle_check_places(wk, st, cpu, mem));
	}
}

/* Notes whether a job or lasting task could run now; fails if so for too long. */
static void
note(world_t *w, const char *key, bool running, bool could,
    const sim_job_t *job, const Sched__Step *st)
{
	idle_check_t *c = w->idle_check;
	idle_t *i = g_hash_table_lookup(c->idle, key);
	int64_t from_ms;

	if (i == NULL) {
		i = g_new0(idle_t, 1);
		i->ran_ms = w->now_ms;
		g_hash_table_insert(c->idle, g_strdup(key), i);
	}
	if (running)
		i->ran_ms = w->now_ms;
	if (running || !could)
		i->could_ms = 0;
	else if (i->could_ms == 0)
		i->could_ms = w->now_ms;
	from_ms = MAX(i->could_ms, c->last_fault_ms + CALM_MS);
	if (w->restarts != NULL && st->lasting)
		from_ms = MAX(from_ms, i->ran_ms + LASTING_MS);
	if (i->could_ms == 0 || w->now_ms - from_ms < SPAN_MS ||
	    (st->lasting &&
		(w->now_ms - i->ran_ms < LASTING_MS || w->only_counts_down)))
		return;
	print_places(w, st);
	world_fail(w, "idle",
	    "%s %s, %s, %" PRId64 " milli, %" PRId64
	    " MB, target %d ms, accepted %.3f, could run since %.3f, last "
	    "start at %.3f",
	    st->lasting ? "task" : "job", key, st->filler ? "filler" : "other",
	    st->cpu_milli, st->mem_mb, (int)job->def->target_ms,
	    (double)job->accepted_ms / 1000, (double)i->could_ms / 1000,
	    (double)job->start_ms / 1000);
}

/* Whether a task runs, or did since the last look. */
static bool
has_run(const world_t *w, const ground_truth_t *t)
{
	return t->running > 0 || t->started_ms >= w->now_ms - LOOK_MS;
}

static void
look_at_lasting(world_t *w, const sim_job_t *job)
{
	const Sched__Step *st = job->def->steps[0];
	bool capacity = has_capacity(w, st);
	char key[64];

	for (int32_t i = 0; i < st->count; i++) {
		g_snprintf(key, sizeof(key), "%s.0.0.%d", job->id, i);
		note(w, key, has_run(w, truth_of(w, job, 0, i)), capacity, job,
		    st);
	}
}

static void
look_at_job(world_t *w, const sim_job_t *job)
{
	const Sched__Step *could = NULL;
	bool running = false;

	for (size_t s = 0; s < job->def->n_steps; s++) {
		const Sched__Step *st = job->def->steps[s];
		bool ready = is_ready(w, job, st);

		for (int32_t i = 0; i < st->count; i++) {
			const ground_truth_t *t = truth_of(w, job, s, i);

			running = running || has_run(w, t);
			if (ready && !t->done && could == NULL &&
			    has_capacity(w, st))
				could = st;
		}
	}
	note(w, job->id, running, could != NULL, job,
	    could == NULL ? job->def->steps[0] : could);
}

static void
on_look(world_t *w, void *arg)
{
	idle_check_t *c = w->idle_check;
	GHashTableIter it;
	void *v;

	(void)arg;
	if (has_fault(w))
		c->last_fault_ms = w->now_ms;
	for (int32_t i = 0; i < w->nworkers; i++)
		if (!worker_is_well(w, &w->workers[i]))
			w->workers[i].unwell_ms = w->now_ms;
	/* Runs may have ended on workers that got no call lately. */
	for (int32_t i = 0; i < w->nworkers; i++)
		worker_advance(w, &w->workers[i]);
	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const sim_job_t *job = v;

		/* approval.c looks at the others: they also wait for its calls. */
		if (job->cancelled || job->ended_ms != 0 ||
		    job->def->needs_approval)
			continue;
		if (job->def->steps[0]->lasting)
			look_at_lasting(w, job);
		else if (job->def->customer[0] == '\0' &&
		    (w->failing != NULL ||
			w->now_ms >= c->last_job_ms + END_MS - SPAN_MS))
			look_at_job(w, job);
	}
	world_schedule(w, LOOK_MS, on_look, NULL);
}

void
idle_check_begin(world_t *w, int64_t last_job_ms)
{
	w->idle_check = g_new0(idle_check_t, 1);
	w->idle_check->last_job_ms = last_job_ms;
	w->idle_check->idle =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world_schedule(w, LOOK_MS, on_look, NULL);
}

void
idle_check_free(world_t *w)
{
	if (w->idle_check == NULL)
		return;
	g_hash_table_unref(w->idle_check->idle);
	g_free(w->idle_check);
}
