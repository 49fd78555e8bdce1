/*
 * Parts of a scheduler with customers, for unit tests.
 *
 * Include what sched_fixture.h needs first.
 */
#ifndef SHARE_FIXTURE_H
#define SHARE_FIXTURE_H

#define START_MS 1000000000 /* wall clock and steady clock of the first event */
#define STEP_MS	 250	    /* between updates */

/* Refusals that began and ended, by the events since the last shares_owner_of. */
typedef struct {
	int begun, ended;
} refusal_events_t;
extern refusal_events_t refusal_events;

/* Sets the time, at which all feeds are current. */
void shares_set_now(sched_t *s, int64_t now_ms);
/* An owner with these customers. */
sched_t *shares_owner_of(const sched_customer_t *list, size_t n);
/* An owner with customers a, b and c of these weights. */
sched_t *shares_owner(double a, double b, double c);
/* Adds a job of a customer with one task; its row is in the store. */
job_t *shares_add_job_of(sched_t *s, const char *customer, int number,
    const Sched__Step *step, int64_t accepted_ms);
/* The same with a task of one core and a second. */
job_t *shares_add_job(
    sched_t *s, const char *customer, int number, int64_t accepted_ms);
/* Queues the step of a job. */
step_t *shares_enqueue(sched_t *s, job_t *j);
/* Gives a job's customer a run of its task on a worker. */
run_t *shares_add_run(sched_t *s, job_t *j, worker_t *w);
/* Ends a run whose task is done. */
void shares_end_run(sched_t *s, run_t *r);
/* Does what the scheduler does every STEP_MS. */
void shares_update(sched_t *s);
/* Lets time pass, with updates. */
void shares_pass(sched_t *s, int64_t ms);
/* A worker that is added at the present time. */
worker_t *shares_add_worker(sched_t *s, const char *id);
customer_share_t *shares_of(sched_t *s, const char *name);
/* The customer whose step is first in the queue. */
const char *shares_first(const sched_t *s);

#endif
