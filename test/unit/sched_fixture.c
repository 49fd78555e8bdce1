/*
 * Parts of a scheduler for unit tests; see sched_fixture.h.
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

void
ignore_event(void *ctx, sched_evt_t n, const char *subject, char *fields)
{
	(void)ctx;
	(void)n;
	(void)subject;
	g_free(fields);
}

sched_t *
new_sched(void)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore_event } };

	return sched_new(&o);
}

static void
ignore_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	(void)o;
}

sched_t *
new_owner(void)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore_event, .order = ignore_order } };
	sched_t *s = sched_new(&o);

	s->cell.state = CELL_OWNED;
	s->cell.workers_accounted = true;
	s->cell.old_leases = ENDS_AT(0);
	return s;
}

void
set_fresh_time(sched_t *s, int64_t now_ms)
{
	s->now_ms = s->wall_ms = s->cell.confirmed_ms = now_ms;
	for (int i = 0; i < SCHED_NFEEDS; i++)
		s->feed_read_ms[i] = now_ms;
}

Sched__Job
job_def(Sched__Step **steps, size_t nsteps, int64_t accepted_ms)
{
	Sched__Job d = SCHED__JOB__INIT;

	d.queue = "q";
	d.service = "s";
	d.accepted_ms = accepted_ms;
	d.max_attempts = 2;
	d.stretch = 2;
	d.target_ms = 1000;
	d.n_steps = nsteps;
	d.steps = steps;
	return d;
}

job_t *
add_job_def(sched_t *s, const char *id, const Sched__Job *d)
{
	size_t n = sched__job__get_packed_size(d);
	g_autofree uint8_t *b = g_malloc(n);
	job_t *j;

	sched__job__pack(d, b);
	j = job_new(s, id, sched__job__unpack(NULL, n, b));
	g_hash_table_insert(s->jobs, j->id, j);
	j->row_stored = true;
	return j;
}

job_t *
add_job_of(sched_t *s, const char *id, Sched__Step **steps, size_t nsteps,
    int64_t accepted_ms)
{
	Sched__Job d = job_def(steps, nsteps, accepted_ms);

	return add_job_def(s, id, &d);
}

job_t *
add_job(
    sched_t *s, const char *id, const Sched__Step *step, int64_t accepted_ms)
{
	Sched__Step *list[1] = { (Sched__Step *)step };

	return add_job_of(s, id, list, 1, accepted_ms);
}

step_t *
first_step(job_t *j)
{
	return &((occurrence_t *)g_ptr_array_index(j->occs, 0))->steps[0];
}

sched_worker_info_t
worker_info(const char *id, int64_t started_ms)
{
	return (sched_worker_info_t){ .id = id,
		.service = "s",
		.address = "a:1",
		.zone = "z",
		.rack = "r",
		.cpu_milli = WORKER_CPU_MILLI,
		.mem_mb = 256000,
		.started_ms = started_ms };
}

worker_t *
add_worker(sched_t *s, const char *id)
{
	sched_worker_info_t i = worker_info(id, 1);
	worker_t *w;

	sched_worker_listed(s, &i, 0);
	w = cell_worker_get(s, id);
	w->footprint_stored = w->has_answered = true;
	w->lease.earlier = ENDS_AT(0);
	w->compatible_filler_pct = 100;
	return w;
}

run_t *
add_run(sched_t *s, step_t *st, int32_t index, worker_t *w)
{
	task_t *t = &st->tasks[index];
	char name[64];
	run_t *r;

	job_task_name(t, name, sizeof(name));
	r = run_new(s, name, w, 1);
	run_reserve_resources(r, t);
	t->state = TASK_RUNNING;
	t->run = r;
	st->nwaiting--;
	return r;
}

run_t *
add_running(sched_t *s, step_t *st, int32_t index, worker_t *w)
{
	run_t *r = add_run(s, st, index, w);

	run_set_state(s, r, RUN_RUNNING);
	r->percent = 100;
	return r;
}

Sched__Step
step_def(const char *image, int64_t cpu, bool filler, int64_t target)
{
	Sched__Step st = SCHED__STEP__INIT;

	st.count = 1;
	st.cpu_milli = cpu;
	st.mem_mb = 1000;
	st.estimate_ms = 1000;
	st.image = (char *)image;
	st.filler = filler;
	st.tail_target_ms = target;
	st.lasting = target > 0;
	return st;
}
