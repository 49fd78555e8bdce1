/*
 * Workers that are slow or stand still, seen by how far their tasks come, and
 * what is done about the tasks there: a copy where the job allows it, or a
 * stop and another start where that is quicker than waiting.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define WARM_MS	      300 /* a task works after so long; its time is rough */
#define PRIOR_PCT     80  /* of progress at full speed, before it is known */
#define KNOWN_PCT     120 /* of progress due, before a worker is judged */
#define HISTORY_PCT   70  /* of what is known is kept at each report */
#define SLOW	      0.4 /* of the speed expected: a slow worker */
#define SPEED_MIN     0.04
#define MOVE_GAIN     1.3  /* waiting must take so much longer */
#define MOVE_MS	      600  /* a stop, another start and a restore */
#define COPY_TIMES    1.7  /* the time expected, before a copy */
#define LEAVE_MS      1500 /* a shorter rest is done before the worker leaves */
#define MOVES_AT_ONCE 4	   /* at one report */

/* Expected time of a whole task of a step. */
static int64_t
expected_ms(const sched_t *s, const step_t *st)
{
	const queue_t *q = g_hash_table_lookup(s->queues, st->occ->job->queue);

	return MAX(
	    100, st->def->estimate_ms * (q == NULL ? 100 : q->time_pct) / 100);
}

/* A run whose progress tells of the worker's speed. */
static bool
tells(const run_t *r)
{
	return r->task != NULL && r->state == RUN_ON && r->first_ms != 0 &&
	    !r->task->step->def->lasting && !r->task->step->def->gang &&
	    r->pace == 100 && r->pace_want == 100 && !r->paced;
}

/* Progress due and made since the run was first seen, in percent. */
static void
progress(const sched_t *s, const run_t *r, double *due, double *made)
{
	int64_t ms = s->now - r->first_ms - WARM_MS;

	*due = ms <= 0 ?
	    0 :
	    MIN(100 - r->first_percent,
		100.0 * (double)ms / (double)expected_ms(s, r->task->step));
	*made = MIN(*due, MAX(0, r->percent - r->first_percent));
}

/* The share of its expected speed that a worker shows. */
static void
judge(sched_t *s, vm_t *w)
{
	GHashTableIter it;
	double due = 0, made = 0;
	bool slow;
	void *v;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		double d, m;

		if (!tells(v))
			continue;
		progress(s, v, &d, &m);
		due += d;
		made += m;
	}
	w->speed = (made + w->made + PRIOR_PCT) / (due + w->due + PRIOR_PCT);
	slow = due + w->due >= KNOWN_PCT && w->speed < SLOW;
	if (slow != w->slow)
		LOG(s, SCHED_EVT_WORKER_SUSPECT, w->id,
		    "slow=%d speed_pct=%d due=%d made=%d", slow,
		    (int)(w->speed * 100), (int)(due + w->due),
		    (int)(made + w->made));
	w->slow = slow;
}

/* A run ended as done: what it showed is kept for a while. */
void
health_done(sched_t *s, const run_t *r)
{
	vm_t *w = r->worker;
	double due, made;

	if (!tells(r))
		return;
	progress(s, r, &due, &made);
	w->due = w->due * HISTORY_PCT / 100 + MAX(100 - r->first_percent, due);
	w->made = w->made * HISTORY_PCT / 100 + (100 - r->first_percent);
}

/* Time until the run is done here, and with another start elsewhere. */
static bool
better_elsewhere(const sched_t *s, const vm_t *w, const run_t *r)
{
	double whole = (double)expected_ms(s, r->task->step);
	double here =
	    whole * (100 - r->percent) / 100 / MAX(SPEED_MIN, w->speed);
	double there = whole + MOVE_MS;

	if (r->task->checkpoint != NULL)
		there = whole * (100 - r->percent) / 100 + MOVE_MS;
	return here > there * MOVE_GAIN;
}

static bool
has_place(sched_t *s, const run_t *r)
{
	return place_task(s, r->task->step, r->task, NULL) != NULL;
}

static void
copy(sched_t *s, run_t *r)
{
	vm_t *w = place_task(s, r->task->step, r->task, NULL);

	if (w == NULL)
		return;
	run_start(s, r->task, w, run_next_number(s, r->task));
}

/* Does something about a run that is late on a worker. */
static bool
rescue(sched_t *s, vm_t *w, run_t *r)
{
	const Sched__Step *d = r->task->step->def;
	int64_t ms = s->now - r->first_ms;

	if (r->task->run != r || r->drop || r->job->stage != JOB_OPEN)
		return false;
	if (d->duplicates) {
		if (r->task->copy == NULL &&
		    (double)ms >
			COPY_TIMES * (double)expected_ms(s, r->task->step) +
			    WARM_MS) {
			copy(s, r);
			return true;
		}
		return false;
	}
	if (!w->slow || !better_elsewhere(s, w, r) || !has_place(s, r))
		return false;
	r->task->avoid = w->id;
	run_stop(s, r, "the worker is slow");
	return true;
}

/* What would end with a leaving worker goes elsewhere while there is room. */
static bool
leave(sched_t *s, run_t *r)
{
	const Sched__Step *d = r->task == NULL ? NULL : r->task->step->def;

	if (d == NULL || r->state != RUN_ON || r->task->run != r || r->drop ||
	    r->job->stage != JOB_OPEN || d->gang ||
	    (!d->lasting && !d->checkpoints))
		return false;
	if (!d->lasting &&
	    (100 - r->percent) * expected_ms(s, r->task->step) / 100 < LEAVE_MS)
		return false;
	if (!has_place(s, r))
		return false;
	run_stop(s, r, "the worker is leaving");
	return true;
}

/* Takes in a report on a worker. */
void
health_report(sched_t *s, vm_t *w)
{
	g_autoptr(GList) all = NULL;
	int32_t n = 0;

	judge(s, w);
	if (!cell_acts(s))
		return;
	all = g_hash_table_get_values(w->runs);
	for (GList *i = all; i != NULL && n < MOVES_AT_ONCE; i = i->next)
		if (w->draining)
			n += leave(s, i->data);
		else if (tells(i->data))
			n += rescue(s, w, i->data);
}
