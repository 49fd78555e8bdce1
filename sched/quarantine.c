/*
 * Quarantine of tasks that may crash their workers (crash.c): such a task starts
 * on a worker with few runs, which have all run for a while, and on which nothing
 * else is started meanwhile.  So a crash there tells that the task did it, and
 * ends few other runs.
 *
 * The worker is first reserved.  Just before the start the run is stored as one
 * whose worker crashed, which is taken back unless that happens: so it counts
 * also if this owner is lost together with the worker.
 *
 * A worker that crashes with many runs makes all of them suspect.  So the next one
 * follows at once on a worker where one has been tried: nothing new runs there.
 */
#include <stdbool.h>
#include <stdint.h>

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

#define RESERVED_MS 3000 /* a worker, while its newest runs grow old enough */
#define ANSWERED_MS 250	 /* oldest last answer of the worker at the start */
#define RETRY_MS    100	 /* after no worker was found for a suspect task */
#define NEXT_MS	    300	 /* a worker is kept for the next one; above RETRY_MS */
#define LONGEST_MS  10000 /* as other work can't start beside it */
/* At most one worker in this many is reserved or in quarantine. */
#define WORKERS_PER_SUSPECT 3

/* Ends the quarantine on a worker, which is kept for the next task that waits. */
void
quarantine_end(sched_t *s, worker_t *w)
{
	w->quarantined_run = NULL;
	if (s->suspect_waited_ms != 0 &&
	    s->now_ms - s->suspect_waited_ms < NEXT_MS) {
		w->reserved_for = NULL;
		w->reserved_until_ms = s->now_ms + NEXT_MS;
	}
	scan_worker_changed(s, w);
}

/* Ends the quarantine on a worker whose task has been up for long enough. */
void
quarantine_report(sched_t *s, worker_t *w)
{
	const run_t *r = w->quarantined_run;
	crashes_t *c;

	if (r == NULL || crash_known_up_ms(r) < CRASH_SOON_MS)
		return;
	c = r->task->crashes;
	/* After several crashes, later ones than CRASH_SOON_MS are watched for;
	 * but a lasting task would keep the worker for good. */
	if (c != NULL && c->runs->len - (c->trial_run != 0) > 1 &&
	    !r->task->step->def->lasting && crash_known_up_ms(r) < LONGEST_MS)
		return;
	if (c != NULL && c->soon) {
		c->soon = false;
		flush_mark_job(s, r->job);
	}
	quarantine_end(s, w);
}

/* Whether the worker is to be polled often, to learn how long it is up. */
bool
quarantine_polls_often(const sched_t *s, const worker_t *w)
{
	return s->now_ms < w->reserved_until_ms ||
	    (w->quarantined_run != NULL &&
		crash_known_up_ms(w->quarantined_run) < CRASH_SOON_MS);
}

/* Whether a task may be started on a worker, as far as quarantine goes. */
bool
quarantine_allows_start(const sched_t *s, const worker_t *w, const task_t *t)
{
	if (w->quarantined_run != NULL)
		return false;
	if (s->now_ms >= w->reserved_until_ms)
		return true;
	return t != NULL &&
	    (w->reserved_for == NULL ? crash_is_suspect(t) :
				       w->reserved_for == t);
}

/* Whether a run on a worker may yet turn out to crash it. */
static bool
has_new_runs(const worker_t *w)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (crash_known_up_ms(v) < CRASH_SOON_MS)
			return true;
	return false;
}

/* The worker that is reserved for a task, or NULL. */
static worker_t *
reserved_worker(const sched_t *s, const task_t *t)
{
	worker_t *w = t->crashes->reserved;

	return w != NULL && w->reserved_for == t &&
		s->now_ms < w->reserved_until_ms ?
	    w :
	    NULL;
}

/*
 * Has the next run of a suspect task stored as one whose worker crashed; returns
 * whether it is.
 */
static bool
trial_stored(sched_t *s, task_t *t)
{
	job_t *j = t->step->occ->job;
	crashes_t *c = t->crashes;
	int64_t run = start_run_number(s, t);

	if (c->trial_run != run) {
		crash_take_back(s, t, c->trial_run);
		g_array_append_val(c->runs, run);
		c->trial_run = run;
		c->trial_write = j->rows_packed + 1;
		flush_mark_job(s, j);
	}
	return j->rows_stored >= c->trial_write;
}

/* Whether another worker may be reserved. */
static bool
may_reserve(const sched_t *s)
{
	guint n = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		n += w->quarantined_run != NULL ||
		    (s->now_ms < w->reserved_until_ms &&
			w->reserved_for != NULL);
	}
	return n * WORKERS_PER_SUSPECT < s->worker_list->len;
}

/*
 * Starts a suspect task in quarantine, or reserves a worker for that.  Returns
 * whether it was started.
 */
bool
quarantine_start(sched_t *s, step_t *st, task_t *t)
{
	worker_t *reserved = reserved_worker(s, t), *w = NULL;
	bool started;

	/* No worker is reserved, nor a run stored, for a start that must wait. */
	if (!customer_allows_start(st))
		return false;
	/* A row can't be stored during an outage of the store. */
	if (!s->cell.store_outage && (reserved != NULL || may_reserve(s)))
		w = place_alone(s, st, t, reserved);
	if (w == NULL) {
		t->not_before_ms = s->now_ms + RETRY_MS;
		s->suspect_waited_ms = s->now_ms;
		return false;
	}
	if (reserved == NULL) {
		t->crashes->reserved = w;
		w->reserved_for = t;
		w->reserved_until_ms = s->now_ms + RESERVED_MS;
	}
	/* Stored last, as a run that is stored counts even if not started. */
	if (has_new_runs(w) || !trial_stored(s, t) ||
	    s->now_ms - w->answered_ms > ANSWERED_MS)
		return false;
	started = starvation_may_slow(s, st) ?
	    starvation_run_start(s, st, t, w, t->crashes->trial_run) :
	    run_start(s, t, w, t->crashes->trial_run);
	if (!started)
		return false;
	w->quarantined_run = t->run;
	w->reserved_until_ms = 0;
	return true;
}
