/*
 * The search; see search.h.  What it holds lies outside of the arena, in static
 * memory and in arena_outside(), as the arena goes back with the state.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../cell/cell.h"
#include "arena.h"
#include "state.h"
#include "fault.h"
#include "search.h"

#define SNAPSHOT_BYTES ((size_t)64 << 20) /* the arena can't be larger */
#define REPORT_S       5
#define PROBES_MAX     64 /* of the table of states */

/* A state, and for how long a search went on from it. */
typedef struct {
	uint64_t hash; /* 0: the place is free */
	int64_t left_ms;
} seen_t;

typedef struct {
	world_t *w;
	const state_tasks_t *tasks;
	const fault_menu_t *menu;
	const search_opts_t *o;
	search_result_t *r;
	int64_t start_ms; /* of the search; virtual time */
	schedule_t path;
	uint64_t first_faults; /* tried by all parts */
	seen_t *seen;
	void *snapshots[SCHEDULE_MAX + 1];
	time_t began_s, reported_s;
} search_t;

static search_t search;
static volatile sig_atomic_t interrupted;

void
search_interrupt(void)
{
	interrupted = 1;
}

/*
 * Whether the search went on for as long from this state before, with as many
 * faults left; remembers that it does so now.
 */
static bool
was_seen(search_t *s, int32_t faults_left, int64_t left_ms)
{
	uint64_t h = state_hash(s->w, s->tasks) * 31 + (uint64_t)faults_left;
	size_t mask = s->o->states_max - 1;

	h += h == 0;
	for (size_t i = 0; i < PROBES_MAX; i++) {
		seen_t *e = &s->seen[(h + i) & mask];

		if (e->hash == h) {
			if (e->left_ms >= left_ms)
				return true;
			e->left_ms = left_ms;
			return false;
		}
		if (e->hash == 0) {
			*e = (seen_t){ h, left_ms };
			s->r->states++;
			return false;
		}
	}
	s->r->full = true;
	return false;
}

static void
report(search_t *s)
{
	time_t now_s = time(NULL);

	if (s->r->steps % 1024 != 0 || now_s - s->reported_s < REPORT_S)
		return;
	s->reported_s = now_s;
	fprintf(stderr,
	    "model: faults=%d first=%" PRIu64 " steps=%" PRIu64
	    " states=%" PRIu64 " states_per_s=%" PRIu64
	    " table_mb=%zu arena_kb=%zu\n",
	    s->r->depth, s->first_faults, s->r->steps, s->r->states,
	    s->r->states / (uint64_t)MAX(1, now_s - s->began_s),
	    s->r->states * sizeof(seen_t) >> 20, arena_size() >> 10);
}

/*
 * Simulates up to the next time at which a fault may begin: a multiple of the step
 * from the start, or a millisecond in which a scheduler learns or begins something.
 */
static void
advance(world_t *w, int64_t start_ms, int32_t step_ms)
{
	int64_t end_ms = w->now_ms + step_ms - (w->now_ms - start_ms) % step_ms;
	uint64_t facts = state_facts(w);

	while (w->now_ms < end_ms && w->violated_check == NULL) {
		world_run_until(w, MIN(end_ms, world_next_event_ms(w)));
		if (state_facts(w) != facts)
			break;
	}
	for (int32_t i = 0; i < w->nworkers; i++)
		worker_advance(w, &w->workers[i]);
}

/* Simulates a step; false: a check failed, or the search was interrupted. */
static bool
step(search_t *s)
{
	world_t *w = s->w;

	advance(w, s->start_ms, s->o->step_ms);
	s->r->steps++;
	report(s);
	if (w->violated_check != NULL) {
		s->r->violated = true;
		s->r->found = s->path;
	}
	s->r->interrupted = interrupted != 0;
	return !s->r->violated && !s->r->interrupted;
}

/* At a fair end a lasting task runs once, and other jobs have ended. */
static void
check_end(world_t *w, const state_tasks_t *tasks)
{
	for (int32_t i = 0; i < tasks->n; i++) {
		const sim_job_t *job = tasks->jobs[i];
		const ground_truth_t *t =
		    world_ground_truth(w, tasks->names[i]);

		if (!job->def->steps[0]->lasting && job->ended_ms == 0)
			world_fail(w, "not ended", "job %s", job->id);
		if (job->def->steps[0]->lasting && t->running != 1)
			world_fail(w, "lasting", "task %s has %d runs",
			    tasks->names[i], t->running);
	}
}

/* Simulates what follows the last fault; false as step(). */
static bool
settle(search_t *s)
{
	int64_t end_ms = s->w->now_ms + s->o->settle_ms + s->o->fair_ms;

	while (s->w->now_ms < end_ms) {
		if (was_seen(s, 0, end_ms - s->w->now_ms))
			return true;
		if (!step(s))
			return false;
	}
	s->r->schedules++;
	if (s->o->fair_ms > 0)
		check_end(s->w, s->tasks);
	if (s->w->violated_check == NULL)
		return true;
	s->r->violated = true;
	s->r->found = s->path;
	return false;
}

/* Whether no fault has named an entry yet, and it has not owned the cell. */
static bool
is_untouched(const search_t *s, int32_t entry)
{
	for (int32_t i = 0; i < s->path.n; i++)
		if (fault_names_entry(&s->path.items[i].fault, entry))
			return false;
	return state_never_owned(&s->w->entries[entry]);
}

/*
 * Whether a fault names an untouched entry in place of a former one: these differ
 * only by when they read the store.
 */
static bool
is_like_another(const search_t *s, const fault_t *f)
{
	bool untouched_before = false;

	for (int32_t i = 0; i < s->w->nentries; i++) {
		if (!is_untouched(s, i))
			continue;
		if (untouched_before && fault_names_entry(f, i))
			return true;
		untouched_before = !fault_names_entry(f, i);
	}
	return false;
}

static bool explore(search_t *s, int32_t faults_left);

/* Tries each fault as the next one, from the present state; false as step(). */
static bool
try_faults(search_t *s, int32_t faults_left)
{
	void *snapshot = s->snapshots[faults_left];
	size_t size = arena_size();
	scheduled_t *item = &s->path.items[s->path.n];
	bool first = s->path.n == 0, ok = true;

	arena_save(snapshot);
	for (int32_t i = 0; ok && i < s->menu->n; i++) {
		if (first &&
		    s->first_faults++ % (uint64_t)s->o->parts !=
			(uint64_t)s->o->part)
			continue;
		if (s->o->one_follower &&
		    is_like_another(s, &s->menu->faults[i]))
			continue;
		if (!fault_begin(s->w, &s->menu->faults[i]))
			continue;
		*item = (scheduled_t){ (int32_t)(s->w->now_ms - s->start_ms),
			s->menu->faults[i] };
		s->path.n++;
		ok = explore(s, faults_left - 1);
		s->path.n--;
		if (ok)
			arena_restore(snapshot, size);
	}
	return ok;
}

/* Searches from the present state, with so many faults to come; false as step(). */
static bool
explore(search_t *s, int32_t faults_left)
{
	int64_t end_ms;

	if (faults_left == 0)
		return settle(s);
	end_ms =
	    s->w->now_ms + (s->path.n == 0 ? s->o->window_ms : s->o->gap_ms);
	while (s->w->now_ms <= end_ms) {
		if (was_seen(s, faults_left, end_ms - s->w->now_ms))
			return true;
		if (!try_faults(s, faults_left) || !step(s))
			return false;
	}
	return true;
}

void
search_run(world_t *w, const state_tasks_t *tasks, const fault_menu_t *menu,
    const search_opts_t *o, search_result_t *r)
{
	search_t *s = &search;
	size_t size;

	*r = (search_result_t){ 0 };
	*s = (search_t){ .w = w,
		.tasks = tasks,
		.menu = menu,
		.o = o,
		.r = r,
		.start_ms = w->now_ms,
		.seen = arena_outside(o->states_max * sizeof(seen_t)),
		.began_s = time(NULL) };
	s->reported_s = s->began_s;
	for (int32_t i = 0; i <= o->faults_max; i++)
		s->snapshots[i] = arena_outside(SNAPSHOT_BYTES);
	size = arena_size();
	arena_save(s->snapshots[0]);
	for (r->depth = 1; r->depth <= o->faults_max; r->depth++) {
		s->first_faults = 0;
		if (!explore(s, r->depth))
			return;
		arena_restore(s->snapshots[0], size);
	}
	r->depth = o->faults_max;
}

void
search_replay(world_t *w, const state_tasks_t *tasks,
    const schedule_t *schedule, const search_opts_t *o)
{
	int64_t start_ms = w->now_ms, end_ms = start_ms;
	int32_t next = 0;

	while (w->violated_check == NULL &&
	    (next < schedule->n || w->now_ms < end_ms)) {
		for (; next < schedule->n &&
		     start_ms + schedule->items[next].at_ms <= w->now_ms;
		     next++) {
			if (!fault_begin(w, &schedule->items[next].fault))
				world_fail(w, "replay", "fault %d can't begin",
				    next + 1);
			end_ms = w->now_ms + o->settle_ms + o->fair_ms;
		}
		advance(w, start_ms, o->step_ms);
	}
	if (w->violated_check == NULL && o->fair_ms > 0)
		check_end(w, tasks);
}
