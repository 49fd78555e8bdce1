/*
 * When lasting tasks that had no run yet may start.
 *
 * Pattern: a service is nearly full, and more short work comes than it has room for, for
 * some seconds: workers are lost, or many callers come.  What a short task leaves on its
 * worker goes to a new lasting one, which keeps it for good, so that the short work is late
 * for long after that.
 *
 * So while short work that still counts waits for room, no lasting task of the service
 * that had no run starts, unless it has a reservation, or has waited for WAIT_MAX_MS.  Those
 * that had a run, and are down, start before all other work.  A service with room to
 * spare has some for both: what waits there needs something else.
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

/* A service is nearly full if so much of its processors is in use. */
#define NEARLY_FULL_PCT 75
/* Longest wait for short work: callers count a lasting task as lost that is not there 6 s
 * after it came, beside room for it; a second is left to find a worker. */
#define WAIT_MAX_MS 5000

/* A service of which short work waits for room. */
typedef struct {
	const char *service; /* interned */
	uint64_t pass;	     /* of scan.c in which some was seen last */
	uint64_t round;	     /* in which it was looked whether it is full */
	bool full;
} contended_t;

void
lasting_admission_init(sched_t *s)
{
	s->contended = g_array_new(FALSE, FALSE, sizeof(contended_t));
}

void
lasting_admission_free(sched_t *s)
{
	g_array_free(s->contended, TRUE);
}

/* What is known of a service, or NULL. */
static contended_t *
find_service(const sched_t *s, const char *service)
{
	for (guint i = 0; i < s->contended->len; i++) {
		contended_t *c = &g_array_index(s->contended, contended_t, i);

		if (c->service == service)
			return c;
	}
	return NULL;
}

static bool
is_nearly_full(const sched_t *s, const char *service)
{
	int64_t used_milli = 0, cpu_milli = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->service != service ||
		    cell_worker_refusal(s, w) != SCHED_WAIT_NONE)
			continue;
		used_milli += w->used_cpu_milli;
		cpu_milli += w->cpu_milli;
	}
	return used_milli * 100 >= cpu_milli * NEARLY_FULL_PCT;
}

/* Notes that a step that was offered workers in this pass has tasks that wait yet. */
void
lasting_admission_note(sched_t *s, const step_t *st)
{
	contended_t none = { .service = st->occ->job->service }, *c;

	if (st->def->lasting || st->def->filler || st->past_late_limit ||
	    st->occ->deferred || !wait_reason_is_room(st->wait_reason))
		return;
	c = find_service(s, none.service);
	if (c == NULL) {
		g_array_append_val(s->contended, none);
		c = find_service(s, none.service);
	}
	c->pass = s->scan.pass;
	if (c->round != s->scan.round)
		c->full = is_nearly_full(s, c->service);
	c->round = s->scan.round;
}

/* Whether the tasks of a step that had no run wait for short work, as was seen in this
 * pass or the last one. */
bool
lasting_admission_waits(const sched_t *s, const step_t *st)
{
	const contended_t *c;

	if (!st->def->lasting || reservation_has(s, st) ||
	    s->wall_ms - st->occ->due_wall_ms >= WAIT_MAX_MS)
		return false;
	c = find_service(s, st->occ->job->service);
	return c != NULL && c->full && c->pass + 1 >= s->scan.pass;
}
