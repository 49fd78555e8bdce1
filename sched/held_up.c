/*
 * Start orders without an answer, of runs that their owner has given up since.
 *
 * A worker may yet carry out such an order, seconds later.  The process that the order
 * was sent to does not, as it was told to stop the run.  One that has started again
 * under the worker's id knows nothing of that, nor does the order's deadline, by its
 * former clock, tell it that the order is late.  So it is told as soon as it has
 * answered its owner.
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

/* An order without an answer is carried out within this time or not at all. */
#define HELD_UP_MS 12000

/* A run whose start may yet be carried out. */
typedef struct {
	char task[64];
	int64_t run;
	int64_t until_ms;
	bool refused; /* by the process that answers now */
} held_up_t;

/* Notes a run that is removed while its start may yet be carried out. */
void
held_up_run_removed(sched_t *s, const run_t *r)
{
	GArray *a = r->worker->held_up;
	held_up_t h = { .run = r->number,
		.until_ms = r->ordered_ms + HELD_UP_MS,
		.refused = true };

	if (!r->held_up)
		return;
	if (a == NULL)
		a = r->worker->held_up =
		    g_array_new(FALSE, TRUE, sizeof(held_up_t));
	while (
	    a->len > 0 && g_array_index(a, held_up_t, 0).until_ms < s->now_ms)
		g_array_remove_index(a, 0);
	g_strlcpy(h.task, r->name, sizeof(h.task));
	g_array_append_val(a, h);
}

/*
 * Has a worker refuse a run that it does not list, whose start it may yet carry out.
 * Until it does, the run counts as being there, and its task is not started if it
 * waits.
 */
static void
refuse_run(sched_t *s, worker_t *w, const held_up_t *h)
{
	task_t *t = job_lookup_task(s, h->task);
	run_t *r = run_new(s, h->task, w, h->run);

	if (t == NULL) {
		w->nunknown++;
		s->nunknown++;
	} else {
		run_reserve_resources(r, t);
		if (t->state == TASK_WAITING && t->run == NULL) {
			t->run = r;
			run_task_taken(t);
		}
	}
	r->unwanted = true;
	run_stop(s, r, "its start order may yet arrive");
}

/* A process of a worker has answered for the first time: it has refused none yet. */
void
held_up_first_answer(worker_t *w)
{
	for (guint i = 0; w->held_up != NULL && i < w->held_up->len; i++)
		g_array_index(w->held_up, held_up_t, i).refused = false;
}

/*
 * Has the process that answers refuse such runs, but where a later run of the task is
 * there, which excludes it.  One of a former process does not: it is about to be
 * removed, and then the earlier one is refused.
 */
void
held_up_stop_runs(sched_t *s, worker_t *w)
{
	for (guint i = w->held_up == NULL ? 0 : w->held_up->len; i-- > 0;) {
		held_up_t *h = &g_array_index(w->held_up, held_up_t, i);
		const run_t *r = g_hash_table_lookup(w->runs, h->task);

		if (h->refused || h->until_ms < s->now_ms ||
		    (r != NULL && r->worker_restarted))
			continue;
		h->refused = true;
		if (r == NULL)
			refuse_run(s, w, h);
	}
}

/*
 * Another process of a worker runs now: a stop that the one before has acknowledged does
 * not keep this one from carrying out a start, and is sent again.
 */
void
held_up_worker_restarted(worker_t *w)
{
	run_t *r;

	FOREACH_VALUE (r, w->runs)
		if (r->held_up) {
			r->stop_acked_ms = r->stop_retry_ms = 0;
			r->order_to_former = r->order_pending;
		}
}

/* Forgets such runs. */
void
held_up_forget(worker_t *w)
{
	if (w->held_up != NULL)
		g_array_unref(w->held_up);
	w->held_up = NULL;
}
