/*
 * Approval of placements.  The tasks of some queues run only on workers that
 * the approval service allows; a start there carries a ticket.  The decision about
 * a step and a worker process is final; a ticket expires after a while, or when
 * the worker is restarted, and is had again.  approval_call.c asks for them.
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

/* The decision of the service about a worker and a step. */
typedef struct {
	char *ticket;	  /* NULL: the worker may not run the step */
	int64_t until_ms; /* expiry of the ticket; 0: rejected by the worker */
	int64_t started_ms; /* of the worker process that it is about */
	int64_t latency_ms; /* of the call that brought it */
	bool used;	    /* by a start, or counted as unused */
} approval_t;

static void
approval_free_one(void *p)
{
	approval_t *a = p;

	g_free(a->ticket);
	g_free(a);
}

/*
 * Returns the decision about a step and the present process of a worker, or
 * NULL.
 */
static approval_t *
find_approval(const step_t *st, const worker_t *w)
{
	approval_t *a;

	if (st->approvals == NULL)
		return NULL;
	a = g_hash_table_lookup(st->approvals, w->id);
	return a == NULL || a->started_ms != w->started_ms ? NULL : a;
}

int64_t
approval_until_ms(const sched_t *s, const step_t *st, const worker_t *w)
{
	const approval_t *a = find_approval(st, w);

	return a == NULL || a->ticket == NULL || a->until_ms <= s->now_ms ?
	    0 :
	    a->until_ms;
}

/*
 * Returns the ticket with which a task of the step can be started on the worker
 * now, or NULL.
 */
const char *
approval_ticket(const sched_t *s, const step_t *st, const worker_t *w)
{
	return approval_until_ms(s, st, w) == 0 ? NULL :
						  find_approval(st, w)->ticket;
}

/*
 * Whether a task of the step may be started on the worker: its job needs no
 * approval, or there is a valid ticket.
 */
bool
approval_allows(const sched_t *s, const step_t *st, const worker_t *w)
{
	return !st->occ->job->needs_approval ||
	    approval_ticket(s, st, w) != NULL;
}

/* Whether the worker may run the step: a ticket, if one is needed, can be had again. */
bool
approval_is_granted(const step_t *st, const worker_t *w)
{
	const approval_t *a = find_approval(st, w);

	return !st->occ->job->needs_approval ||
	    (a != NULL && a->ticket != NULL);
}

/* Whether the service has decided that the worker may not run the step. */
bool
approval_is_refused(const step_t *st, const worker_t *w)
{
	const approval_t *a = find_approval(st, w);

	return st->occ->job->needs_approval && a != NULL && a->ticket == NULL;
}

/* A start carries the ticket of the worker. */
void
approval_ticket_used(const step_t *st, const worker_t *w)
{
	find_approval(st, w)->used = true;
}

/*
 * A worker asked for a ticket or did not accept the one it got: that counts as expired, and
 * the service is asked again.  The job needs approval, whatever the queue's settings of the
 * moment or the job's row, which may be of an older build, say.
 */
void
approval_ticket_rejected(step_t *st, const worker_t *w)
{
	approval_t *a = find_approval(st, w);

	st->occ->job->needs_approval = true;
	if (a != NULL)
		a->until_ms = 0;
}

/* Stores the decision about a worker and a step; ticket is NULL for a refusal. */
void
approval_store(step_t *st, const worker_t *w, const char *ticket,
    int64_t until_ms, int64_t latency_ms)
{
	approval_t *a = g_new0(approval_t, 1);

	a->ticket = g_strdup(ticket);
	a->until_ms = until_ms;
	a->started_ms = w->started_ms;
	a->latency_ms = latency_ms;
	if (st->approvals == NULL)
		st->approvals =
		    g_hash_table_new_full(NULL, NULL, NULL, approval_free_one);
	g_hash_table_replace(st->approvals, (void *)w->id, a);
}

/* Counts the tickets of a step that have expired since and that no start has used. */
void
approval_count_unused(sched_t *s, const step_t *st)
{
	int64_t latency_ms = 0;
	approval_t *a;
	int32_t n = 0;

	if (st->approvals == NULL)
		return;
	FOREACH_VALUE (a, st->approvals) {
		if (a->ticket == NULL || a->used || a->until_ms > s->now_ms)
			continue;
		a->used = true;
		latency_ms = MAX(latency_ms, a->latency_ms);
		n++;
	}
	if (n == 0)
		return;
	s->stats.tickets_unused += (uint64_t)n;
	LOG_EVENT(s, SCHED_EVT_TICKETS_UNUSED, st->occ->job->id,
	    "step=%d tickets=%d latency_ms=%" PRId64 " waiting=%d", st->number,
	    n, latency_ms, st->nwaiting);
}

/* Frees the decisions about a step that is being freed. */
void
approval_step_free(step_t *st)
{
	sched_t *s = st->occ->job->sched;

	approval_forget(s, st);
	approval_count_unused(s, st);
	if (st->approvals != NULL)
		g_hash_table_unref(st->approvals);
}
