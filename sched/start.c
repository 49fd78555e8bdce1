/*
 * Starting what waits: which tasks, in which order, until room or time ends.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define RUN_STRIDE     1000 /* run numbers each owner of a cell has */
#define STARTS_AT_ONCE 64   /* in one pass, so that other events get a turn */
#define MISFITS_MAX    200  /* steps without room before a pass ends */

int64_t
run_next_number(sched_t *s, const task_t *t)
{
	return MAX(t->last_run, (s->cell.epoch - 1) * RUN_STRIDE) + 1;
}

static void
start_gang(sched_t *s, step_t *st)
{
	vm_t **at;
	int64_t number = 0;

	if (st->waiting < st->ntasks)
		return;
	for (int32_t i = 0; i < st->ntasks; i++) {
		if (st->tasks[i].not_before_ms > s->now)
			return;
		number = MAX(number, run_next_number(s, &st->tasks[i]));
	}
	at = g_new0(vm_t *, st->ntasks);
	if (place_gang(s, st, at))
		for (int32_t i = 0; i < st->ntasks; i++)
			run_start(s, &st->tasks[i], at[i], number);
	g_free(at);
}

/* Starts what fits of a step; returns how many tasks were started. */
static int32_t
start_step(sched_t *s, step_t *st)
{
	int32_t n = 0;

	if (st->def->gang) {
		start_gang(s, st);
		return st->waiting == 0 ? st->ntasks : 0;
	}
	for (int32_t i = 0; i < st->ntasks && st->waiting > 0; i++) {
		task_t *t = &st->tasks[i];
		vm_t *w;

		if (t->state != TASK_WAITING || t->not_before_ms > s->now)
			continue;
		w = place_task(s, st, t, NULL);
		if (w == NULL)
			break;
		run_start(s, t, w, run_next_number(s, t));
		n++;
	}
	return n;
}

/* Starts waiting tasks, in the order of the queue, while there is room. */
void
run_waiting(sched_t *s)
{
	GSequenceIter *i = g_sequence_get_begin_iter(s->ready), *next;
	int32_t started = 0, misfits = 0;

	while (!g_sequence_iter_is_end(i) && started < STARTS_AT_ONCE &&
	    misfits < MISFITS_MAX) {
		step_t *st = g_sequence_get(i);
		int32_t n = 0;

		next = g_sequence_iter_next(i);
		if (cell_may_start(s, st->occ->job)) {
			n = start_step(s, st);
			if (st->waiting > 0)
				advice_want(s, st);
		}
		started += n;
		if (st->waiting == 0)
			queue_drop(st);
		else
			misfits++;
		i = next;
	}
	s->pump = started >= STARTS_AT_ONCE;
}
