/*
 * Parts of a scheduler for unit tests of its policies.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, sched.pb-c.h, sched.h and
 * internal.h first.
 */
#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#define WORKER_CPU_MILLI 64000

/* Ignores an event; for sched_port_t. */
void ignore_event(void *ctx, sched_evt_t n, const char *subject, char *fields);
/* A scheduler that ignores events and can do nothing else. */
sched_t *new_sched(void);
/* A scheduler that owns the cell and ignores what it orders. */
sched_t *new_owner(void);
/* It is that time, at which the owner's claim and its tables are fresh. */
void set_fresh_time(sched_t *s, int64_t now_ms);
/* A job of queue "q" and service "s" without a customer. */
Sched__Job job_def(Sched__Step **steps, size_t nsteps, int64_t accepted_ms);
/* Adds a job whose progress row is in the store. */
job_t *add_job_def(sched_t *s, const char *id, const Sched__Job *d);
/* The same with the steps of a job_def. */
job_t *add_job_of(sched_t *s, const char *id, Sched__Step **steps,
    size_t nsteps, int64_t accepted_ms);
/* The same with one step. */
job_t *add_job(
    sched_t *s, const char *id, const Sched__Step *step, int64_t accepted_ms);
/* The first step of a job that does not repeat. */
step_t *first_step(job_t *j);
/* The entry of a worker of service "s", whose process started at that time. */
sched_worker_info_t worker_info(const char *id, int64_t started_ms);
/* Adds a worker on which tasks may be started at once. */
worker_t *add_worker(sched_t *s, const char *id);
/* A run of a waiting task that is being started on a worker, without orders. */
run_t *add_run(sched_t *s, step_t *st, int32_t index, worker_t *w);
/* A run of a waiting task that is at work on a worker, without orders. */
run_t *add_running(sched_t *s, step_t *st, int32_t index, worker_t *w);
/* A step with one task; target: of its tail latency in ms, or 0. */
Sched__Step
step_def(const char *image, int64_t cpu, bool filler, int64_t target);

#endif
