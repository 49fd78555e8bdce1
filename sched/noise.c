/*
 * Interference: filler tasks are slowed while a serving task beside them
 * misses its target.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "part.h"

#define STEP_MS	     450 /* between changes: the tail covers half a second */
#define CALM_MS	     1500 /* within targets before the share grows again */
#define CALM_PCT     75 /* of the target; above it the share does not grow */
#define GROW_PCT     25
#define SHARE_MIN_PCT 10 /* below this the share becomes 0 */

static bool
is_filler(const run_t *r)
{
	return r->task != NULL && r->task->step->def->filler;
}

/* The worst tail of the serving tasks, in percent of its target. */
static int64_t
worst_pct(const vm_t *w)
{
	GHashTableIter it;
	void *v;
	int64_t worst = 0;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const run_t *r = v;
		int64_t target;

		if (r->task == NULL || r->state != RUN_ON)
			continue;
		target = r->task->step->def->tail_target_ms;
		if (target > 0)
			worst = MAX(worst, r->measure * 100 / target);
	}
	return worst;
}

static void
set_pace(sched_t *s, vm_t *w, int32_t percent, int64_t worst)
{
	GHashTableIter it;
	void *v;

	if (w->pace != percent)
		LOG(s, SCHED_EVT_PACE, w->id, "percent=%d worst_tail=%d",
		    percent, (int)worst);
	w->pace = percent;
	w->pace_ms = s->now;
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (is_filler(v))
			((run_t *)v)->pace_want = percent;
}

/* Adjusts the share of the fillers of a worker after a look at it. */
void
noise_report(sched_t *s, vm_t *w)
{
	int64_t worst;

	if (w->serving == 0 && w->pace == 100)
		return;
	worst = worst_pct(w);
	if (worst > CALM_PCT)
		w->calm_ms = s->now;
	if (s->now - w->pace_ms < STEP_MS)
		return;
	if (worst > 100 && w->filler_cpu > 0)
		set_pace(s, w, w->pace / 2 < SHARE_MIN_PCT ? 0 : w->pace / 2,
		    worst);
	else if (w->pace < 100 && s->now - w->calm_ms >= CALM_MS)
		set_pace(s, w, MIN(100, w->pace + GROW_PCT), worst);
}
