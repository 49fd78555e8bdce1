/*
 * What overload_queue.c keeps between plans, for overload_refusal.c.
 *
 * Include internal.h and overload.h first.
 */
#ifndef OVERLOAD_QUEUE_H
#define OVERLOAD_QUEUE_H

/* A job that came less long ago is fresh. */
#define FRESH_MS 3000

typedef enum { POOL_SHORT, POOL_FILLER, NPOOLS } pool_t;

/* The work of one pool. */
typedef struct {
	overload_rate_t rate;
	double done; /* work since the last update */
	double waiting, running;
	bool had_backlog; /* at the last update */
	GArray *items;	  /* overload_item_t; ctx: occurrence_t */
} pool_state_t;

struct overload {
	pool_state_t pools[NPOOLS];
	int64_t updated_ms;
	int64_t deferred_jobs;
};

/* The pool and the expected work of one task of a step. */
pool_t overload_pool(const step_t *st);
double overload_task_work(const step_t *st);
/* Expected delay of a new job of a queue that is deferred; 0: not known. */
double overload_delay_ms(const sched_t *s, const queue_plan_t *q);

#endif
