/*
 * Which workers placement looks at, so that its cost does not grow with workers
 * x waiting steps.
 *
 * Pattern: thousands of workers, most of them full, and a long queue.  A round
 * lasts a fraction of a second.  A step for which no worker was found in a
 * round is offered only workers that have changed since: on which a run has
 * ended, or that can be used again.  In the next round it is offered all of
 * them again, as learned values and times have changed too.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "headroom.h"
#include "internal.h"

/* Tasks may fit on a worker on which they did not fit before. */
void
scan_worker_changed(sched_t *s, worker_t *w)
{
	s->start_pass_due = true;
	if (w->changed)
		return;
	w->changed = true;
	g_ptr_array_add(s->scan.changed, w);
}

/* All steps are offered all workers again. */
void
scan_begin_round(sched_t *s)
{
	s->scan.round++;
	s->start_pass_due = true;
}

/* A pass has offered the changed workers to all steps that it is to try. */
void
scan_end_pass(sched_t *s)
{
	for (guint i = 0; i < s->scan.changed->len; i++)
		((worker_t *)g_ptr_array_index(s->scan.changed, i))->changed =
		    false;
	g_ptr_array_set_size(s->scan.changed, 0);
}

/* The workers that a step is to be offered now. */
const GPtrArray *
scan_workers(const sched_t *s, const step_t *st)
{
	return st->unplaced_round == s->scan.round ? s->scan.changed :
						     s->worker_list;
}
