/*
 * How many tasks of a lasting step may be away at a time when the scheduler takes
 * one away from a worker, as the step's caller allows.
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

/* A task that started later may not be at work yet. */
#define SETTLED_MS 3000

/* Whether a task is at work, and has been for a while. */
static bool
is_settled(const sched_t *s, const task_t *t)
{
	return t->run != NULL && t->run->state == RUN_RUNNING &&
	    !t->run->unwanted && t->run->percent >= 100 &&
	    s->now_ms - t->run->first_seen_ms >= SETTLED_MS;
}

/* Tasks of the step, but for one, that are away or were a moment ago. */
static int32_t
others_away(const sched_t *s, const task_t *t)
{
	const step_t *st = t->step;
	int32_t n = 0;

	for (int32_t i = 0; i < st->ntasks; i++)
		n += &st->tasks[i] != t && !is_settled(s, &st->tasks[i]);
	return n;
}

/*
 * Whether the run of a lasting task may be stopped so that the task starts
 * elsewhere.  Other tasks have no such limit.
 */
bool
may_miss_allows(const sched_t *s, const task_t *t)
{
	const Sched__Step *d = t->step->def;

	if (!d->lasting || (!d->has_miss_limit && d->may_miss == 0))
		return true;
	return others_away(s, t) < d->may_miss;
}

/*
 * The same for a move that the task itself does not need: besides, the task and
 * all others of its step are at work.
 */
bool
may_miss_allows_any(const sched_t *s, const task_t *t)
{
	return may_miss_allows(s, t) && is_settled(s, t) &&
	    others_away(s, t) == 0;
}
