/*
 * What the processors of the workers are used for, and why some are idle, for the log.
 */
#include <inttypes.h>
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

/* Why processors of a worker are idle, in the order in which it is asked. */
typedef enum {
	IDLE_UNUSABLE,	 /* the worker takes no starts */
	IDLE_QUARANTINE, /* it has a task in quarantine, or is reserved for one */
	IDLE_RESERVED,
	IDLE_KEPT,
	IDLE_OPEN, /* for what fits there */
	IDLE_REASONS
} idle_reason_t;

/* Thousandths of a core, but for the numbers of tasks. */
typedef struct {
	int64_t lasting, serving, batch, stopping, nominated;
	int64_t idle[IDLE_REASONS];
	int64_t lasting_new; /* waiting tasks that last and had no run */
	int64_t lasting_new_cpu;
} room_use_t;

static idle_reason_t
idle_reason(const sched_t *s, const worker_t *w)
{
	if (!cell_worker_usable(s, w))
		return IDLE_UNUSABLE;
	if (!quarantine_allows_start(s, w, NULL))
		return IDLE_QUARANTINE;
	if (reservation_on(s, w))
		return IDLE_RESERVED;
	return room_is_kept(s, w) ? IDLE_KEPT : IDLE_OPEN;
}

static void
add_run(const run_t *r, room_use_t *u)
{
	const Sched__Step *d;

	if (r->task == NULL || !r->holds_resources)
		return;
	d = r->task->step->def;
	if (d->filler)
		return;
	if (r->state == RUN_STOPPING)
		u->stopping += d->cpu_milli;
	else if (d->lasting)
		u->lasting += d->cpu_milli;
	else if (d->tail_target_ms > 0)
		u->serving += d->cpu_milli;
	else
		u->batch += d->cpu_milli;
}

static void
add_queued(const sched_t *s, room_use_t *u)
{
	for (GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		if (!st->def->lasting)
			continue;
		u->lasting_new += st->nwaiting - st->ndown;
		u->lasting_new_cpu +=
		    (st->nwaiting - st->ndown) * st->def->cpu_milli;
	}
}

static room_use_t
count(const sched_t *s)
{
	room_use_t u = { 0 };
	const run_t *r;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->listed)
			u.idle[idle_reason(s, w)] +=
			    MAX(0, w->cpu_milli - w->used_cpu_milli);
	}
	FOREACH_VALUE (r, s->runs)
		add_run(r, &u);
	for (guint i = 0; i < s->nominations->len; i++) {
		const task_t *t = g_ptr_array_index(s->nominations, i);

		u.nominated += t->step->def->cpu_milli;
	}
	add_queued(s, &u);
	return u;
}

/* Logs what the processors are used for; called once a second by the owner. */
void
room_use_log(sched_t *s)
{
	room_use_t u = count(s);

	LOG_EVENT(s, SCHED_EVT_ROOM_USE, "cell",
	    "lasting=%" PRId64 " serving=%" PRId64 " batch=%" PRId64
	    " stopping=%" PRId64 " nominated=%" PRId64 " idle_unusable=%" PRId64
	    " idle_quarantine=%" PRId64 " idle_reserved=%" PRId64
	    " idle_kept=%" PRId64 " idle_open=%" PRId64 " lasting_new=%" PRId64
	    " lasting_new_cpu=%" PRId64,
	    u.lasting / 1000, u.serving / 1000, u.batch / 1000,
	    u.stopping / 1000, u.nominated / 1000, u.idle[IDLE_UNUSABLE] / 1000,
	    u.idle[IDLE_QUARANTINE] / 1000, u.idle[IDLE_RESERVED] / 1000,
	    u.idle[IDLE_KEPT] / 1000, u.idle[IDLE_OPEN] / 1000, u.lasting_new,
	    u.lasting_new_cpu / 1000);
}
