/*
 * Parts of a scheduler with customers; see share_fixture.h.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../sched/sched.h"
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "sched_fixture.h"
#include "share_fixture.h"

refusal_events_t refusal_events;

static void
record_event(void *ctx, sched_evt_t n, const char *subject, char *fields)
{
	(void)ctx;
	(void)subject;
	refusal_events.begun += n == SCHED_EVT_REFUSAL_BEGUN;
	refusal_events.ended += n == SCHED_EVT_REFUSAL_ENDED;
	g_free(fields);
}

void
shares_set_now(sched_t *s, int64_t now_ms)
{
	s->now_ms = s->wall_ms = s->cell.confirmed_ms = now_ms;
	for (int i = 0; i < SCHED_NFEEDS; i++)
		sched_feed_read(s, i, now_ms);
}

sched_t *
shares_owner_of(const sched_customer_t *list, size_t n)
{
	sched_t *s = new_owner();

	memset(&refusal_events, 0, sizeof(refusal_events));
	s->opts.port.event = record_event;
	sched_set_customers(s, list, n, 0);
	shares_set_now(s, START_MS);
	return s;
}

sched_t *
shares_owner(double a, double b, double c)
{
	sched_customer_t list[] = { { .name = "a", .weight = a },
		{ .name = "b", .weight = b }, { .name = "c", .weight = c } };

	return shares_owner_of(list, G_N_ELEMENTS(list));
}

job_t *
shares_add_job_of(sched_t *s, const char *customer, int number,
    const Sched__Step *step, int64_t accepted_ms)
{
	Sched__Step *steps[1] = { (Sched__Step *)step };
	Sched__Job d = job_def(steps, 1, accepted_ms);
	g_autofree char *id = g_strdup_printf("%016x", number);

	d.customer = (char *)customer;
	d.weight = 1;
	return add_job_def(s, id, &d);
}

job_t *
shares_add_job(
    sched_t *s, const char *customer, int number, int64_t accepted_ms)
{
	Sched__Step step = step_def("", 1000, false, 0);

	return shares_add_job_of(s, customer, number, &step, accepted_ms);
}

step_t *
shares_enqueue(sched_t *s, job_t *j)
{
	step_t *st = first_step(j);

	st->ready = true;
	queue_add_step(s, st);
	return st;
}

run_t *
shares_add_run(sched_t *s, job_t *j, worker_t *w)
{
	return add_run(s, first_step(j), 0, w);
}

void
shares_end_run(sched_t *s, run_t *r)
{
	job_mark_task_done(r->task);
	run_remove(s, r);
}

void
shares_update(sched_t *s)
{
	share_update(s);
	overload_update(s);
	admission_update(s);
	queue_resort(s);
}

void
shares_pass(sched_t *s, int64_t ms)
{
	for (int64_t until_ms = s->now_ms + ms; s->now_ms < until_ms;) {
		shares_set_now(s, MIN(until_ms, s->now_ms + STEP_MS));
		shares_update(s);
	}
}

worker_t *
shares_add_worker(sched_t *s, const char *id)
{
	int64_t now_ms = s->now_ms;
	worker_t *w = add_worker(s, id);

	shares_set_now(s, now_ms);
	return w;
}

customer_share_t *
shares_of(sched_t *s, const char *name)
{
	return &customer_get(s, name)->share;
}

const char *
shares_first(const sched_t *s)
{
	const step_t *st =
	    g_sequence_get(g_sequence_get_begin_iter(s->ready_steps));

	return st->occ->job->def->customer;
}
