/*
 * Approval of placements.  The tasks of some queues run only where an outside
 * service allows it: it is asked about a step and some workers at a time, and
 * gives a ticket for each that may run the step.  What it allows for a step
 * does not change; a ticket ends after a while, or with the worker's process.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define ASK_MAX	     30	  /* workers in a call: it takes time for each */
#define ASK_MIN	     6	  /* as some will not do */
#define ASK_TIMES    2	  /* workers asked about for each waiting task */
#define CALLS_MAX    2	  /* under way: the service takes one at a time */
#define RETRY_MS     200  /* after a call that failed */
#define SPARE_MS     300  /* of a ticket's life, for the order to arrive */
#define CALL_LOST_MS 8000 /* a call without any answer is given up */

/* What is known of a worker for a step. */
typedef struct {
	char *ticket;	  /* NULL: it may not run the step */
	int64_t until_ms; /* end of the ticket */
	int64_t born_ms;  /* of the worker's process */
} advice_t;

typedef struct {
	uint64_t id;
	char job[SCHED_JOB_ID_BYTES + 1];
	int32_t occ, step;
	int64_t sent_ms;
	GPtrArray *workers; /* interned ids */
} call_t;

static void
advice_free(void *p)
{
	advice_t *a = p;

	g_free(a->ticket);
	g_free(a);
}

static void
call_free(void *p)
{
	call_t *c = p;

	g_ptr_array_unref(c->workers);
	g_free(c);
}

GHashTable *
advice_calls_new(void)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, call_free);
}

void
advice_step_free(step_t *st)
{
	if (st->advice != NULL)
		g_hash_table_unref(st->advice);
}

static advice_t *
known(const step_t *st, const vm_t *w)
{
	advice_t *a;

	if (st->advice == NULL)
		return NULL;
	a = g_hash_table_lookup(st->advice, w->id);
	return a == NULL || a->born_ms != w->born_ms ? NULL : a;
}

/* The ticket to start a task of the step there with; NULL for none. */
const char *
advice_ticket(const sched_t *s, const step_t *st, const vm_t *w)
{
	const advice_t *a = known(st, w);

	return a == NULL || a->until_ms - SPARE_MS <= s->now ? NULL : a->ticket;
}

bool
advice_allows(const sched_t *s, const step_t *st, const vm_t *w)
{
	return !st->occ->job->advised || advice_ticket(s, st, w) != NULL;
}

/* The worker did not take the ticket: the service is asked again. */
void
advice_rejected(step_t *st, const vm_t *w)
{
	advice_t *a = known(st, w);

	if (a != NULL)
		a->until_ms = 0;
}

static void
ask(sched_t *s, step_t *st, GPtrArray *workers)
{
	call_t *c = g_new0(call_t, 1);
	g_autofree char *name = g_strdup_printf(
	    "%s.%d.%d", st->occ->job->id, st->occ->number, st->number);
	sched_approval_request_t o = { .step = name,
		.workers = (const char *const *)workers->pdata,
		.nworkers = workers->len };

	o.id = c->id = ++s->next_id;
	g_strlcpy(c->job, st->occ->job->id, sizeof(c->job));
	c->occ = st->occ->number;
	c->step = st->number;
	c->sent_ms = s->now;
	c->workers = g_ptr_array_ref(workers);
	g_hash_table_insert(s->advising, &c->id, c);
	st->advice_id = c->id;
	LOG(s, SCHED_EVT_ADVICE_ASKED, name, "workers=%u waiting=%d",
	    workers->len, st->waiting);
	s->o.port.request_approval(s->o.ctx, &o);
}

/* Asks about workers that could run waiting tasks of a step. */
void
advice_want(sched_t *s, step_t *st)
{
	g_autoptr(GPtrArray) workers = NULL;
	guint most = (guint)CLAMP(st->waiting * ASK_TIMES, ASK_MIN, ASK_MAX);

	if (!st->occ->job->advised || st->advice_id != 0 ||
	    s->now < st->advice_next_ms || s->o.port.request_approval == NULL ||
	    g_hash_table_size(s->advising) >= CALLS_MAX)
		return;
	workers = g_ptr_array_new();
	for (guint i = 0; i < s->worker_list->len && workers->len < most; i++) {
		/* Another first worker each time, so that load is spread. */
		vm_t *w = g_ptr_array_index(s->worker_list,
		    (i + (guint)s->next_id) % s->worker_list->len);
		const advice_t *a = known(st, w);

		if (a != NULL && a->ticket == NULL)
			continue;
		if (advice_ticket(s, st, w) == NULL && place_could(s, w, st))
			g_ptr_array_add(workers, (void *)w->id);
	}
	if (workers->len > 0)
		ask(s, st, workers);
}

static step_t *
step_of(sched_t *s, const call_t *c)
{
	job_t *j = g_hash_table_lookup(s->jobs, c->job);

	if (j == NULL || (size_t)c->step >= j->def->n_steps)
		return NULL;
	return &job_occ(j, c->occ)->steps[c->step];
}

static void
learn(sched_t *s, step_t *st, const char *worker, const char *ticket,
    int64_t until_ms)
{
	vm_t *w = g_hash_table_lookup(s->workers, worker);
	advice_t *a;

	if (w == NULL)
		return;
	a = g_new0(advice_t, 1);
	a->ticket = g_strdup(ticket);
	a->until_ms = until_ms;
	a->born_ms = w->born_ms;
	if (st->advice == NULL)
		st->advice =
		    g_hash_table_new_full(NULL, NULL, NULL, advice_free);
	g_hash_table_replace(st->advice, (void *)w->id, a);
}

void
sched_approval_done(
    sched_t *s, uint64_t id, const sched_approval_t *a, int64_t now_ms)
{
	call_t *c = g_hash_table_lookup(s->advising, &id);
	step_t *st = c == NULL ? NULL : step_of(s, c);

	s->now = now_ms;
	if (st != NULL) {
		st->advice_id = 0;
		LOG(s, SCHED_EVT_ADVICE, c->job,
		    "step=%d asked=%u good=%zu ms=%" PRId64, c->step,
		    c->workers->len, a == NULL ? 0 : a->napproved,
		    now_ms - c->sent_ms);
	}
	if (st != NULL && a == NULL)
		st->advice_next_ms = now_ms + RETRY_MS;
	for (guint i = 0; st != NULL && a != NULL && i < c->workers->len; i++)
		learn(s, st, g_ptr_array_index(c->workers, i), NULL, 0);
	for (size_t i = 0; st != NULL && a != NULL && i < a->napproved; i++)
		learn(s, st, a->approved[i].worker, a->approved[i].ticket,
		    c->sent_ms + a->valid_ms);
	g_hash_table_remove(s->advising, &id);
	s->pump = true;
}

/* Gives up calls that were never answered. */
void
advice_tick(sched_t *s)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->advising);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		call_t *c = v;
		step_t *st = step_of(s, c);

		if (s->now - c->sent_ms < CALL_LOST_MS)
			continue;
		if (st != NULL)
			st->advice_id = 0;
		g_hash_table_iter_remove(&it);
	}
}
