/*
 * Submissions that are refused while there is too little room: when there is,
 * what the owner publishes, and how entries apply it.
 *
 * Pattern: a customer sends far more than its rate while the cell is full.  What
 * is beyond the rate would wait behind all else until it is worthless.  It is
 * refused at once, with the time after which to try again.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

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

/* Room is short once jobs have been late for so long, and until none has been
 * for so long, as with a full cell some are late in some updates only. */
#define SHORT_AFTER_MS	   1000
#define NOT_SHORT_AFTER_MS 2000
/* A customer that sends too much is refused again and again; that is logged as
 * one refusal unless it was not refused for so long. */
#define REFUSAL_GAP_MS 5000
/* Steps of which it is looked up whether any worker could run them. */
#define FIT_CHECKS_MAX 16

/* The owner writes its row twice a second; an older one is not used. */
#define ROW_LIMIT_MS  3500
#define RETRY_UNIT_MS 1000 /* Retry-After is in seconds */

/* Whether a task of the step could be started now if a worker had room. */
static bool
has_startable_task(const sched_t *s, const step_t *st)
{
	for (int32_t i = 0; i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];

		if (t->state == TASK_WAITING)
			return t->not_before_ms <= s->now_ms &&
			    !crash_is_suspect(t);
	}
	return false;
}

/*
 * Whether a step within its customer's rate waits past its latest start for
 * nothing but room: not for its row, an approval, a quota, a retry, or a worker
 * that may run it unseen.
 */
static bool
is_late_for_room(const sched_t *s, const step_t *st)
{
	const job_t *j = st->occ->job;

	if (st->latest_start_ms >= s->wall_ms || j->over_rate ||
	    !j->row_stored || j->needs_approval)
		return false;
	if (!ownership_may_start_step(s, st))
		return false;
	return customer_allows_step(st) && has_startable_task(s, st);
}

/* Whether some worker could run a task of the step if it ran nothing else. */
static bool
fits_somewhere(const sched_t *s, const step_t *st)
{
	for (guint i = 0; i < s->worker_list->len; i++)
		if (place_fits_empty(
			s, g_ptr_array_index(s->worker_list, i), st))
			return true;
	return false;
}

static bool
some_job_is_late(const sched_t *s)
{
	GSequenceIter *i = g_sequence_get_begin_iter(s->ready_steps);
	int checks = 0;

	for (; !g_sequence_iter_is_end(i) && checks < FIT_CHECKS_MAX;
	     i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		if (!is_late_for_room(s, st))
			continue;
		if (fits_somewhere(s, st))
			return true;
		checks++;
	}
	return false;
}

/* Updates whether room is short.  While nothing may start, that is not known. */
static void
update_shortage(sched_t *s)
{
	admission_t *a = &s->admission;

	if (!ownership_may_start_tasks(s))
		return;
	if (overload_deferred_jobs(s) == 0 && !some_job_is_late(s)) {
		if (s->now_ms - a->late_seen_ms < NOT_SHORT_AFTER_MS)
			return;
		a->late_since_ms = 0;
		a->room_short = false;
		return;
	}
	a->late_seen_ms = s->now_ms;
	if (a->late_since_ms == 0)
		a->late_since_ms = s->now_ms;
	if (s->now_ms - a->late_since_ms >= SHORT_AFTER_MS)
		a->room_short = true;
}

/* Logs that submissions of a customer are refused no longer. */
static void
log_end(sched_t *s, customer_t *c, const char *why)
{
	if (!c->share.refusal_logged)
		return;
	c->share.refusal_logged = false;
	LOG_EVENT(s, SCHED_EVT_REFUSAL_ENDED, c->name, "why=\"%s\"", why);
}

/* Decides whether submissions of a customer are refused. */
static void
update_refused(sched_t *s, customer_t *c)
{
	customer_share_t *h = &c->share;

	if (!s->admission.room_short || share_time_to_spare(s, c) <= 0)
		h->refused = false;
	else if (share_time_to_room(s, c) > 0)
		h->refused = true;
	if (!h->refused) {
		if (s->now_ms - h->refused_ms >= REFUSAL_GAP_MS)
			log_end(s, c,
			    s->admission.room_short ? "within its rate" :
						      "room is not short");
		return;
	}
	h->refused_ms = s->now_ms;
	if (h->refusal_logged)
		return;
	h->refusal_logged = true;
	LOG_EVENT(s, SCHED_EVT_REFUSAL_BEGUN, c->name,
	    "weight=%g retry_after_ms=%" PRId64, c->weight,
	    (int64_t)share_time_to_spare(s, c));
}

/* Appends the refusal of a customer until its bucket has room. */
static void
append_customer(sched_t *s, customer_t *c)
{
	Sched__Refusal *r = g_new(Sched__Refusal, 1);
	double wait_ms = MAX(1, share_time_to_spare(s, c));

	sched__refusal__init(r);
	r->customer = (char *)c->name;
	r->retry_after_ms = (int32_t)MIN(wait_ms, INT32_MAX);
	g_ptr_array_add(s->admission.refusals, r);
}

/* Decides which submissions are refused; called after the plan's update. */
void
admission_update(sched_t *s)
{
	customer_t *c;

	g_ptr_array_set_size(s->admission.refusals, 0);
	s->admission.decided_ms = s->now_ms;
	if (g_hash_table_size(s->customers) > 0)
		update_shortage(s);
	s->stats.refused_customers = 0;
	FOREACH_VALUE (c, s->customers) {
		update_refused(s, c);
		if (!c->share.refused)
			continue;
		s->stats.refused_customers++;
		append_customer(s, c);
	}
	overload_add_refusals(s, s->admission.refusals);
}

/* Discards all decisions, as the cell was lost or is loaded anew. */
void
admission_forget(sched_t *s)
{
	GPtrArray *refusals = s->admission.refusals;
	customer_t *c;

	FOREACH_VALUE (c, s->customers)
		log_end(s, c, "ownership changes");
	g_ptr_array_set_size(refusals, 0);
	memset(&s->admission, 0, sizeof(s->admission));
	s->admission.refusals = refusals;
	s->stats.refused_customers = 0;
}

/*
 * Returns the refusals to publish in a row as of a time, an array of *n; the caller
 * frees both.
 */
Sched__Refusal **
admission_pack(sched_t *s, int64_t as_of_ms, size_t *n)
{
	const admission_t *a = &s->admission;
	Sched__Refusal **list;

	*n = a->refusals->len;
	if (*n == 0)
		return NULL;
	list = g_new(Sched__Refusal *, *n);
	for (size_t i = 0; i < *n; i++) {
		list[i] = g_memdup2(
		    g_ptr_array_index(a->refusals, i), sizeof(*list[i]));
		list[i]->retry_after_ms = (int32_t)CLAMP(
		    list[i]->retry_after_ms - (as_of_ms - a->decided_ms), 1,
		    INT32_MAX);
	}
	return list;
}

/* What this entry applies: refusals and their age; none if it is too old. */
typedef struct {
	Sched__Refusal **list;
	size_t n;
	int64_t age_ms;
} decision_t;

/* The owner's own decision. */
static decision_t
own_decision(const sched_t *s, int64_t now_ms)
{
	decision_t d = { .list =
			     (Sched__Refusal **)s->admission.refusals->pdata,
		.n = s->admission.refusals->len,
		.age_ms = now_ms - s->admission.decided_ms };

	if (now_ms - s->feed_read_ms[SCHED_FEED_JOBS] > ROW_LIMIT_MS)
		d.n = 0;
	return d;
}

/* The decision in the owner row that was read last. */
static decision_t
row_decision(const sched_t *s, int64_t now_ms)
{
	const Sched__Owner *o = s->cell.row;
	decision_t d = { .age_ms = now_ms - s->cell.row_written_ms };

	if (o == NULL || o->waiting_stale)
		return d;
	/* The write may have been applied late. */
	if (o->counted_ms != 0)
		d.age_ms = MAX(d.age_ms,
		    now_ms + s->store_clock_offset_ms - o->counted_ms);
	d.list = o->refusals;
	d.n = o->n_refusals;
	return d;
}

/* Whether a refusal is of this job. */
static bool
refuses(const Sched__Refusal *r, const Sched__Job *job, int64_t age_ms)
{
	if (r->queue[0] != '\0' && strcmp(r->queue, job->queue) != 0)
		return false;
	if (r->customer[0] != '\0' && strcmp(r->customer, job->customer) != 0)
		return false;
	/* The customer's bucket has room again. */
	if (r->customer[0] != '\0' && r->retry_after_ms <= age_ms)
		return false;
	return r->delay_ms == 0 || overload_is_hopeless(r, job);
}

int32_t
sched_retry_after_ms(const char *id, int64_t wait_ms)
{
	int64_t units = (MAX(1, wait_ms) + RETRY_UNIT_MS - 1) / RETRY_UNIT_MS;
	/* The low bits of the hash depend on few characters. */
	uint32_t hash = (g_str_hash(id) * 2654435761U) >> 8;

	units += hash % (units + 1);
	return (int32_t)MIN(units * RETRY_UNIT_MS, INT32_MAX);
}

sched_admission_t
sched_admit(sched_t *s, const char *id, const Sched__Job *job, int64_t now_ms,
    int32_t *retry_after_ms)
{
	decision_t d = sched_is_owner(s) ? own_decision(s, now_ms) :
					   row_decision(s, now_ms);

	*retry_after_ms = 0;
	/* A job that was accepted before may run, and is not refused. */
	if (d.age_ms > ROW_LIMIT_MS || g_hash_table_contains(s->jobs, id) ||
	    g_hash_table_contains(s->ended_jobs, id))
		return SCHED_ADMITTED;
	for (size_t i = 0; i < d.n; i++) {
		const Sched__Refusal *r = d.list[i];

		if (!refuses(r, job, d.age_ms))
			continue;
		*retry_after_ms =
		    sched_retry_after_ms(id, r->retry_after_ms - d.age_ms);
		if (r->customer[0] == '\0' || r->delay_ms > 0) {
			s->stats.refused_hopeless++;
			return SCHED_HOPELESS;
		}
		s->stats.refused_over_rate++;
		return SCHED_OVER_RATE;
	}
	return SCHED_ADMITTED;
}
