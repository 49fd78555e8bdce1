/*
 * Which workers placement looks at, so that its cost does not grow with workers
 * x waiting steps.
 *
 * Pattern: thousands of workers, most of them full, and a long queue.  A round
 * lasts a fraction of a second.  A step for which no worker was found in a
 * round is offered only workers that have changed since: on which a run has
 * ended, or that can be used again.  In the next round it is offered all of
 * them again, as learned values and times have changed too.
 *
 * The steps at the head of the queue are offered workers in each pass.  How many
 * looks at workers the others get is limited; the next round goes on with the first
 * step that was not offered, so that each gets its turn.
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

#define HEAD_STEPS 200 /* of the queue */
/* Looks for the other steps, so that a round is over before the next is due. */
#define LOOKS_PER_PASS	10000  /* at changed workers */
#define LOOKS_PER_ROUND 300000 /* at all workers, those of the head included */
/* The others have so many left, however many workers the head looks at. */
#define OTHER_LOOKS_MIN 60000

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
	s->scan.round_looks = s->stats.places;
	s->scan.head_looks = 0;
	s->scan.kept_workers = s->scan.keeping_steps = 0;
	/* A round without a pass leaves the next one where it was to begin. */
	if (s->scan.pass != s->scan.begun_after_pass) {
		s->scan.resume_at = s->scan.stopped_at;
		s->scan.stopped_at = 0;
	}
	s->scan.begun_after_pass = s->scan.pass;
	s->start_pass_due = true;
	suspect_begin_round(s);
	nominate_update(s);
	customer_begin_round(s);
	reservation_begin_round(s);
}

/* A pass over the queue begins. */
void
scan_begin_pass(sched_t *s)
{
	s->scan.pass++;
	s->scan.nominate_searches = s->scan.rooms_sought = 0;
	s->scan.unplaced_down = 0;
	s->scan.pass_looks = s->stats.places;
	s->scan.head_offered = false;
	s->scan.stopped_at = 0;
}

/* The pass has offered the head of the queue, or as much as it could. */
static void
end_head(sched_t *s)
{
	scan_t *c = &s->scan;

	if (!c->head_offered)
		c->head_looks += s->stats.places - c->pass_looks;
	c->head_offered = true;
}

/* Whether the round may look at all workers for a step behind the head. */
static bool
has_looks_left(const sched_t *s)
{
	const scan_t *c = &s->scan;

	return s->stats.places - c->round_looks <
	    MAX(LOOKS_PER_ROUND, c->head_looks + OTHER_LOOKS_MIN);
}

/*
 * Whether the step at a position among those that still wait is offered workers
 * in this pass.
 */
bool
scan_offers(sched_t *s, const step_t *st, int32_t pos)
{
	scan_t *c = &s->scan;

	if (pos < HEAD_STEPS || st->ndown > 0 || reservation_has(s, st))
		return true;
	end_head(s);
	if (scan_has_searched(s, st))
		return c->changed->len > 0 &&
		    s->stats.places - c->pass_looks < LOOKS_PER_PASS;
	if (pos < c->resume_at)
		return false;
	if (has_looks_left(s))
		return true;
	if (c->stopped_at == 0)
		c->stopped_at = pos;
	return false;
}

/* No worker was found for a step that has been offered all of them. */
void
scan_set_searched(const sched_t *s, step_t *st)
{
	st->unplaced_round = s->scan.round;
}

/* Whether that was in this round. */
bool
scan_has_searched(const sched_t *s, const step_t *st)
{
	return st->unplaced_round == s->scan.round;
}

/*
 * A pass ends, at a position of the queue if it is not complete: else it has
 * offered the changed workers to all steps, as far as LOOKS_PER_PASS goes; the rest
 * wait for the next round.
 */
void
scan_end_pass(sched_t *s, int32_t pos, bool complete)
{
	s->start_pass_due = !complete;
	end_head(s);
	if (!complete) {
		s->scan.stopped_at = pos;
		return;
	}
	for (guint i = 0; i < s->scan.changed->len; i++)
		((worker_t *)g_ptr_array_index(s->scan.changed, i))->changed =
		    false;
	g_ptr_array_set_size(s->scan.changed, 0);
}

/* The workers that a step is to be offered now. */
const GPtrArray *
scan_workers(const sched_t *s, const step_t *st)
{
	return scan_has_searched(s, st) ? s->scan.changed : s->worker_list;
}
