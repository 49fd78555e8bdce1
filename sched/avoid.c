/*
 * Workers that a task avoids.
 *
 * Pattern: a lasting task fails soon after each start on some workers, which run other
 * work well, so that they are not suspect (suspect.c).  As it avoids the last one, it
 * is started on two of them in turn, while others have room.
 *
 * So a lasting task remembers the last workers on which it failed soon.  It is started
 * there only where no other worker has room.
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

#define FAILS_ON_MAX 8
/* A run that failed later says little of its worker: any may fail at some time. */
#define FAILS_SOON_MS 5000

/* A run of a task has failed on a worker; r is NULL if it is not known. */
void
avoid_run_failed(const sched_t *s, task_t *t, const worker_t *w, const run_t *r)
{
	t->avoid_worker = w->id;
	if (!t->step->def->lasting || r == NULL || r->first_seen_percent > 0 ||
	    s->now_ms - r->first_seen_ms >= FAILS_SOON_MS)
		return;
	if (t->fails_on == NULL)
		t->fails_on = g_ptr_array_new();
	g_ptr_array_remove(t->fails_on, (gpointer)w->id);
	if (t->fails_on->len == FAILS_ON_MAX)
		g_ptr_array_remove_index(t->fails_on, 0);
	g_ptr_array_add(t->fails_on, (gpointer)w->id);
}

/* Whether a task is to start on another worker than this one, if it can. */
bool
avoid_has(const task_t *t, const worker_t *w)
{
	return w->id == t->avoid_worker ||
	    (t->fails_on != NULL && g_ptr_array_find(t->fails_on, w->id, NULL));
}

/* Forgets the workers on which a task failed. */
void
avoid_forget(task_t *t)
{
	if (t->fails_on != NULL)
		g_ptr_array_unref(t->fails_on);
	t->fails_on = NULL;
}
