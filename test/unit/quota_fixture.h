/*
 * Parts of a scheduler for unit tests of quotas; the customer's name is "c".
 *
 * Include sched_fixture.h's includes first.
 */
#ifndef QUOTA_FIXTURE_H
#define QUOTA_FIXTURE_H

/* How many orders were sent since quota_owner, and the last quota and load event. */
typedef struct {
	int starts, stops, quota_events;
	char quota_event[200], load_event[400];
} quota_sent_t;
extern quota_sent_t sent;

/* An owner whose orders and events are counted. */
sched_t *quota_owner(void);
/* Sets the settings of the customer c; the name and weight need not be set. */
void set_customer(sched_t *s, const sched_customer_t *c);
/* Adds a worker; the fixture sets the time back when it does so. */
worker_t *add_worker_now(sched_t *s, const char *id);
/* Queues the step of a new job of a customer. */
step_t *queue_step(
    sched_t *s, const char *id, const char *customer, const Sched__Step *d);
/* Sorts the queue and begins a round, then makes a pass. */
void quota_pass(sched_t *s);
/* Ends a task's run, which is done. */
void end_run(sched_t *s, task_t *t);
/* Some run on a worker. */
run_t *first_run(sched_t *s, const worker_t *w);
/* Makes the owner's claim and feeds current. */
void let_start(sched_t *s);
/* Reads the row of a job of the customer c, with its settings. */
job_t *read_job(sched_t *s, const char *id, const Sched__Step *d,
    const sched_customer_t *c, int64_t version);
/* Reads the progress row of a job that has ended. */
void read_end(sched_t *s, const char *id, Sched__State state, int64_t ended_ms);
/* Begins to load the cell after an earlier owner; ends with sched_load_done. */
sched_t *quota_successor(void);

#endif
