/*
 * Writes that the store rejects as such, and would reject again: which job's row is
 * at fault.
 *
 * After a rejected write the claim is renewed by itself.  Then the jobs of that write
 * are tried in halves, with a renewal of its own after each that is rejected too.  A
 * job whose row is rejected alone is held back, tried by itself after a while, and
 * failed in the end, so that all others are stored and the ends of their runs are
 * acknowledged.
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

#define HELD_MS	       1000 /* between tries of a row that was rejected alone */
#define REJECTIONS_MAX 3    /* of it; the job fails then */

void
rejected_init(rejected_t *r)
{
	r->suspects = g_ptr_array_new();
	r->held = g_ptr_array_new();
}

void
rejected_clear(rejected_t *r)
{
	g_ptr_array_unref(r->suspects);
	g_ptr_array_unref(r->held);
}

/* The cell is lost: the next owner finds out for itself. */
void
rejected_forget(sched_t *s)
{
	g_ptr_array_set_size(s->rejected.suspects, 0);
	g_ptr_array_set_size(s->rejected.held, 0);
	s->rejected.renew_alone = false;
}

/* A job is removed. */
void
rejected_job_removed(sched_t *s, job_t *j)
{
	g_ptr_array_remove(s->rejected.suspects, j);
	g_ptr_array_remove(s->rejected.held, j);
}

/* Whether a job is held back: it is written only when it is tried again. */
bool
rejected_holds(const job_t *j)
{
	return j->held_until_ms != 0;
}

/* The first job whose next try is due, or NULL. */
static job_t *
due_job(const sched_t *s)
{
	for (guint i = 0; i < s->rejected.held->len; i++) {
		job_t *j = g_ptr_array_index(s->rejected.held, i);

		if (j->held_until_ms <= s->now_ms)
			return j;
	}
	return NULL;
}

/* Whether a flush is due after a write that was rejected. */
bool
rejected_due(const sched_t *s)
{
	return s->rejected.renew_alone || s->rejected.suspects->len > 0 ||
	    due_job(s) != NULL;
}

/* What the flush that begins now consists of. */
flush_kind_t
rejected_flush_kind(sched_t *s)
{
	rejected_t *r = &s->rejected;
	job_t *due = due_job(s);

	if (!r->renew_alone && r->suspects->len == 0 && due != NULL)
		g_ptr_array_add(r->suspects, due);
	r->flush_kind = r->renew_alone ? FLUSH_RENEWAL :
	    r->suspects->len > 0       ? FLUSH_TRIED :
					 FLUSH_CHANGED;
	return r->flush_kind;
}

/* The jobs to be tried next, half of those that may be at fault; to be freed. */
GPtrArray *
rejected_next(const sched_t *s)
{
	GPtrArray *jobs = g_ptr_array_new();

	for (guint i = 0; i < (s->rejected.suspects->len + 1) / 2; i++)
		g_ptr_array_add(
		    jobs, g_ptr_array_index(s->rejected.suspects, i));
	return jobs;
}

/*
 * Holds back a job whose row the store does not take; the caller takes it from the
 * dirty ones.
 */
void
rejected_hold(sched_t *s, job_t *j)
{
	if (j->held_until_ms == 0)
		g_ptr_array_add(s->rejected.held, j);
	g_ptr_array_remove(s->rejected.suspects, j);
	j->held_until_ms = s->now_ms + HELD_MS;
	j->rejections++;
	LOG_EVENT(s, SCHED_EVT_JOB_ROW_REJECTED, j->id,
	    "rejections=%d stage=%d occurrences=%u steps=%zu", j->rejections,
	    (int)j->stage, j->occs->len, j->def->n_steps);
	if (j->rejections >= REJECTIONS_MAX)
		run_end_job(s, j, SCHED__STATE__FAILED);
}

/* The jobs that a write had are stored, and not at fault. */
static void
on_stored(sched_t *s)
{
	rejected_t *r = &s->rejected;

	if (r->flush_kind == FLUSH_RENEWAL)
		r->renew_alone = false;
	for (guint i = 0;
	     r->flush_kind == FLUSH_TRIED && i < s->flushing_jobs->len; i++) {
		job_t *j = g_ptr_array_index(s->flushing_jobs, i);

		g_ptr_array_remove(r->suspects, j);
		g_ptr_array_remove(r->held, j);
		j->held_until_ms = 0;
		j->rejections = 0;
		/* It has changed since, while it was held back. */
		if (j->dirty)
			flush_mark_job(s, j);
	}
}

/* One of the jobs that a write had is at fault, or its other rows are. */
static void
on_rejected(sched_t *s)
{
	rejected_t *r = &s->rejected;

	s->stats.rejected_writes++;
	LOG_EVENT(s, SCHED_EVT_WRITE_REJECTED, "cell",
	    "rows=%u bytes=%zu jobs=%u alone=%d", r->flush_rows, r->flush_bytes,
	    s->flushing_jobs->len, r->flush_kind == FLUSH_RENEWAL);
	r->renew_alone = true;
	if (r->flush_kind == FLUSH_RENEWAL)
		return;
	if (r->flush_kind == FLUSH_TRIED && s->flushing_jobs->len == 1) {
		rejected_hold(s, g_ptr_array_index(s->flushing_jobs, 0));
		return;
	}
	g_ptr_array_set_size(r->suspects, 0);
	g_ptr_array_extend(r->suspects, s->flushing_jobs, NULL, NULL);
}

/* Handles the result of the flush in flight, before its jobs are. */
void
rejected_write_done(sched_t *s, sched_write_result_t result)
{
	if (result == SCHED_WRITE_OK)
		on_stored(s);
	else if (result == SCHED_WRITE_REJECTED)
		on_rejected(s);
}
