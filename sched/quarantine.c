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
 * follows at once on a worker where one has been tried: nothing new runs there.  If
 * there are more than workers, so that a job has had no run for JOIN_MS, a task that
 * has crashed once joins others of that kind.  A crash then counts under all as one that
 * was not in quarantine.
 *
 * Lasting tasks are to be back soon, however many are suspect.  Those that one crash
 * soon after a start made suspect are nearly all innocent, and so are those whose last
 * one came later; so if no worker is left for one, it joins the group on a worker at
 * once.  If that crashes, those of the group are tried alone.
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
#include "down.h"

#define RESERVED_MS 3000 /* a worker, while its newest runs grow old enough */
#define ANSWERED_MS 250	 /* oldest last answer of the worker at the start */
#define RETRY_MS    100	 /* after no worker was found for a suspect task */
#define NEXT_MS	    300	 /* a worker is kept for the next one; above RETRY_MS */
#define LONGEST_MS  10000 /* as other work can't start beside it */
#define OTHER_MS    500	  /* other work has waited so lately; above a round */
/* A job has had no run for so long when a task of it joins others in quarantine. */
#define JOIN_MS 1000
/* The same of a job that an earlier owner had, which may have been lost before it knew
 * of a crash: the task may not have many more then. */
#define LATE_JOIN_MS 2000
/* Tried together on a worker: one starts after the other. */
#define TRIALS_MAX (CRASH_SOON_MS / CRASH_AT_ONCE_MS)
/* Lasting tasks in a group: one deadly task stops so many others once more. */
#define GROUP_MAX 16
/* A lasting task is down for so long when it, or with it, one of a job that an earlier
 * owner had is tried in a group; that may have been lost before it knew of a crash. */
#define LATE_GROUP_MS 4000

/* Ends the quarantine on a worker, which is kept for the next task that waits. */
static void
end(sched_t *s, worker_t *w)
{
	w->quarantined_run = NULL;
	w->tried_together = false;
	if (s->now_ms >= w->reserved_until_ms && s->suspect_waited_ms != 0 &&
	    s->now_ms - s->suspect_waited_ms < NEXT_MS) {
		w->reserved_for = NULL;
		w->reserved_until_ms = s->now_ms + NEXT_MS;
	}
	scan_worker_changed(s, w);
}

/* Whether a run is one of a suspect task that was started in quarantine. */
static bool
is_trial(const run_t *r)
{
	return r->task != NULL && r->task->crashes != NULL &&
	    r->task->crashes->trial_run == r->number;
}

/* A run is removed, which may be in quarantine: another may be there yet. */
void
quarantine_run_removed(sched_t *s, const run_t *r)
{
	worker_t *w = r->worker;
	GHashTableIter it;
	void *v;

	if (w->quarantined_run != r)
		return;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		run_t *other = v;

		if (other != r && is_trial(other) &&
		    crash_known_up_ms(other) < CRASH_SOON_MS) {
			w->quarantined_run = other;
			return;
		}
	}
	end(s, w);
}

/* Number of crashes under a task but for that of its run in quarantine. */
static guint
earlier_crashes(const task_t *t)
{
	return t->crashes->runs->len - (t->crashes->trial_run != 0);
}

/*
 * Whether a run has been up for long enough.  After several crashes, later ones
 * than CRASH_SOON_MS are watched for; but a lasting task would keep the worker for
 * good.
 */
static bool
is_up(const run_t *r)
{
	int64_t up_ms = crash_known_up_ms(r);

	if (up_ms < CRASH_SOON_MS)
		return false;
	return r->task->crashes == NULL || earlier_crashes(r->task) <= 1 ||
	    r->task->step->def->lasting || up_ms >= LONGEST_MS;
}

/* Ends the quarantine on a worker whose task has been up for long enough. */
void
quarantine_report(sched_t *s, worker_t *w)
{
	const run_t *r = w->quarantined_run;
	GHashTableIter it;
	void *v;

	if (r == NULL || !is_up(r))
		return;
	crash_trial_passed(s, r);
	g_hash_table_iter_init(&it, w->runs);
	while (w->tried_together && g_hash_table_iter_next(&it, NULL, &v))
		if (is_trial(v) && is_up(v))
			crash_trial_passed(s, v);
	end(s, w);
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
	if (s->now_ms >= w->reserved_until_ms)
		return w->quarantined_run == NULL;
	if (w->quarantined_run != NULL)
		return t != NULL && w->reserved_for == t;
	return t != NULL &&
	    (w->reserved_for == NULL ? crash_is_suspect(t) :
				       w->reserved_for == t);
}

/* Whether a lasting task may be tried in a group. */
static bool
may_group(const task_t *t)
{
	guint n = earlier_crashes(t);

	return t->step->def->lasting &&
	    (n <= 1 || (n == 2 && !t->crashes->soon));
}

/*
 * Whether a run on a worker may yet turn out to crash it, before a task starts there;
 * one that is tried there only until it is no longer likely to, and none of a group
 * that the task joins.
 */
static bool
has_new_runs(const worker_t *w, const task_t *t)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;

		if (is_trial(r) && may_group(t) && may_group(r->task))
			continue;
		if (crash_known_up_ms(r) <
		    (is_trial(r) && w->quarantined_run != NULL ?
			    CRASH_AT_ONCE_MS :
			    CRASH_SOON_MS))
			return true;
	}
	return false;
}

/* The worker that is reserved for a task, or NULL. */
static worker_t *
reserved_worker(const sched_t *s, const task_t *t)
{
	worker_t *w = t->crashes->reserved;

	return w != NULL && w->reserved_for == t &&
		s->now_ms < w->reserved_until_ms &&
		place_fits_empty(s, w, t->step) ?
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

/* Takes back the next run of a task, stored as one whose worker crashed, if it waits. */
static void
take_back_trial(sched_t *s, task_t *t)
{
	int64_t run = t->crashes == NULL ? 0 : t->crashes->trial_run;

	if (run != 0 && (t->run == NULL || t->run->number != run))
		crash_take_back(s, t, run);
}

/* The cell is being released: no run is started any more. */
void
quarantine_release(sched_t *s)
{
	job_t *j;

	FOREACH_VALUE (j, s->jobs)
		for (guint i = 0; i < j->occs->len; i++) {
			occurrence_t *o = g_ptr_array_index(j->occs, i);

			for (size_t k = 0; k < j->def->n_steps; k++)
				for (int32_t n = 0; n < o->steps[k].ntasks; n++)
					take_back_trial(
					    s, &o->steps[k].tasks[n]);
		}
}

/* A task that is not suspect found room only on workers that are kept from it. */
void
quarantine_note_other(sched_t *s)
{
	s->quarantine_other_ms = s->now_ms;
}

/*
 * Whether another worker may be reserved: up to a third of the usable ones are in
 * use while other work waits for one of them, and all but one while none does.
 */
static bool
may_reserve(const sched_t *s)
{
	bool other_waits = s->quarantine_other_ms != 0 &&
	    s->now_ms - s->quarantine_other_ms < OTHER_MS;
	guint used = 0, usable = 0, most;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		/* Suspect ones are among them: place.c tells which to take. */
		if (cell_worker_refusal(s, w) != SCHED_WAIT_NONE)
			continue;
		usable++;
		used += w->quarantined_run != NULL ||
		    (s->now_ms < w->reserved_until_ms &&
			w->reserved_for != NULL);
	}
	most = (usable + 2) / 3;
	if (!other_waits && usable > 0)
		most = MAX(most, usable - 1);
	return used < most;
}

/* How many tasks are tried on a worker. */
static int32_t
count_trials(const worker_t *w)
{
	GHashTableIter it;
	int32_t n = 0;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += is_trial(v) && crash_known_up_ms(v) < CRASH_SOON_MS;
	return n;
}

static void
reserve(sched_t *s, worker_t *w, task_t *t)
{
	t->crashes->reserved = w;
	w->reserved_for = t;
	w->reserved_until_ms = s->now_ms + RESERVED_MS;
}

/*
 * Reserves the worker on which a lasting task will fit soonest, if that is soon; returns
 * it, or NULL.  Nothing else takes what becomes free there.
 */
static worker_t *
reserve_soonest(sched_t *s, step_t *st, task_t *t)
{
	g_autoptr(GArray) options = room_find_options(s, st, RESERVED_MS, true);

	for (guint i = 0; i < options->len; i++) {
		const room_option_t *o =
		    &g_array_index(options, room_option_t, i);

		if (o->worker->id == t->avoid_worker ||
		    o->worker->nnominated > 0)
			continue;
		reserve(s, o->worker, t);
		o->worker->reserved_until_ms += o->wait_ms;
		return o->worker;
	}
	return NULL;
}

/* Whether a task may be tried together with others; find_group() has lasting tasks of
 * jobs that an earlier owner had. */
static bool
may_be_together(const task_t *t)
{
	return earlier_crashes(t) <= 1 &&
	    !(t->step->def->lasting && t->step->occ->job->maybe_started_before);
}

/* Whether the job of a task has a run, or the task itself if it lasts. */
static bool
has_run(const task_t *t)
{
	return !t->step->def->lasting && t->step->occ->job->nruns > 0;
}

/*
 * Reserves a place beside tasks that are tried on a worker, of the workers that can
 * take the task one with the fewest; returns it, or NULL.
 */
static worker_t *
join_trial(sched_t *s, step_t *st, task_t *t)
{
	const job_t *j = st->occ->job;
	int64_t join_ms = j->maybe_started_before ? LATE_JOIN_MS : JOIN_MS;

	if (has_run(t) || s->now_ms - j->idle_since_ms < join_ms ||
	    !may_be_together(t))
		return NULL;
	for (int32_t n = 1; n < TRIALS_MAX; n++)
		for (guint i = 0; i < s->worker_list->len; i++) {
			worker_t *w = g_ptr_array_index(s->worker_list, i);
			const run_t *r = w->quarantined_run;

			if (r == NULL || s->now_ms < w->reserved_until_ms ||
			    !is_trial(r) || !may_be_together(r->task) ||
			    count_trials(w) != n)
				continue;
			reserve(s, w, t);
			if (place_alone(s, st, t, w) != NULL)
				return w;
			w->reserved_until_ms = 0;
		}
	return NULL;
}

/*
 * Whether a group is tried on a worker that is in quarantine, and may become larger; late:
 * also one with tasks of jobs that an earlier owner had.
 */
static bool
has_group(const worker_t *w, bool late)
{
	GHashTableIter it;
	int32_t n = 0;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;

		if (!is_trial(r) || crash_known_up_ms(r) >= CRASH_SOON_MS)
			continue;
		n++;
		if (!may_group(r->task) ||
		    (r->job->maybe_started_before && !late))
			return false;
	}
	return n > 0 && n < GROUP_MAX;
}

/*
 * Whether a worker with a group can take a task.  The reservation for that is given back,
 * as others may start there before the row of this one is stored.
 */
static bool
group_takes(sched_t *s, step_t *st, task_t *t, worker_t *w, bool late)
{
	const task_t *reserved_for = w->reserved_for;
	int64_t until_ms = w->reserved_until_ms;
	bool takes;

	if (!has_group(w, late))
		return false;
	reserve(s, w, t);
	takes = place_alone(s, st, t, w) != NULL;
	w->reserved_for = reserved_for;
	w->reserved_until_ms = until_ms;
	return takes;
}

/* Of the workers with a group that can take a task the one with the fewest, or NULL. */
static worker_t *
find_group(sched_t *s, step_t *st, task_t *t)
{
	worker_t *best = NULL;
	int32_t least = GROUP_MAX;
	bool late = downtime_ms(s, t) >= LATE_GROUP_MS;

	if (!may_group(t) || (st->occ->job->maybe_started_before && !late))
		return NULL;
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->quarantined_run == NULL || count_trials(w) >= least ||
		    !group_takes(s, st, t, w, late))
			continue;
		best = w;
		least = count_trials(w);
	}
	return best;
}

/*
 * Whether a task leaves the workers to others that wait: its job has a run, and
 * theirs have none.
 */
static bool
gives_way(const sched_t *s, const task_t *t)
{
	return has_run(t) && s->idle_suspect_waited_ms != 0 &&
	    s->now_ms - s->idle_suspect_waited_ms < NEXT_MS;
}

/*
 * Returns the worker that is or can now be reserved for a suspect task, or NULL.
 */
static worker_t *
find_worker(sched_t *s, step_t *st, task_t *t)
{
	worker_t *w = reserved_worker(s, t);

	/* A row can't be stored during an outage of the store. */
	if (s->cell.store_outage)
		return NULL;
	if (w != NULL)
		return place_alone(s, st, t, w);
	if (may_reserve(s) && !gives_way(s, t)) {
		w = place_alone(s, st, t, NULL);
		if (w == NULL && st->def->lasting &&
		    reserve_soonest(s, st, t) != NULL)
			return NULL;
	}
	if (w != NULL) {
		reserve(s, w, t);
		return w;
	}
	w = find_group(s, st, t);
	return w != NULL ? w : join_trial(s, st, t);
}

/*
 * Starts a suspect task in quarantine, or reserves a worker for that.  Returns
 * whether it was started.
 */
bool
quarantine_start(sched_t *s, step_t *st, task_t *t)
{
	worker_t *w;
	bool started;

	/* No worker is reserved, nor a run stored, for a start that must wait. */
	if (!customer_allows_start(st))
		return false;
	/* It has a worker of its own, reserved here. */
	nominate_withdraw(s, t);
	w = find_worker(s, st, t);
	if (w == NULL) {
		t->not_before_ms = s->now_ms + RETRY_MS;
		s->suspect_waited_ms = s->now_ms;
		if (!has_run(t))
			s->idle_suspect_waited_ms = s->now_ms;
		return false;
	}
	/* Stored last, as a run that is stored counts even if not started. */
	if (has_new_runs(w, t) || !trial_stored(s, t) ||
	    s->now_ms - w->answered_ms > ANSWERED_MS)
		return false;
	started = starvation_may_slow(s, st) ?
	    starvation_run_start(s, st, t, w, t->crashes->trial_run) :
	    run_start(s, t, w, t->crashes->trial_run);
	if (!started)
		return false;
	w->tried_together = w->quarantined_run != NULL;
	w->quarantined_run = t->run;
	w->reserved_until_ms = 0;
	return true;
}
