/*
 * A small model of a cell: slots that run one task each, and jobs of steps in
 * sequence, to compare the orders in which their tasks are started.
 *
 * Include <stdbool.h> and <stdint.h> first.
 */
#ifndef OVERLOAD_MODEL_H
#define OVERLOAD_MODEL_H

#define MODEL_KINDS	3
#define MODEL_STEPS_MAX 3
#define MODEL_TASKS_MAX 16

typedef enum {
	MODEL_FCFS,
	MODEL_EDF,
	MODEL_QUEUE, /* queue.c without a plan */
	MODEL_PLAN,
	MODEL_ORACLE, /* knows all jobs and true run times in advance */
	MODEL_ORDERS
} model_order_t;

/* Arrivals and slots during a part of a load. */
typedef struct {
	int64_t until_ms;
	double jobs_per_s[MODEL_KINDS];
	int32_t slots, slow_slots;  /* slow: half as fast */
	int32_t burst[MODEL_KINDS]; /* jobs that come at its start */
} model_phase_t;

typedef struct {
	const char *name;
	model_phase_t phases[4];
	int32_t true_pct[MODEL_KINDS]; /* real run time / declared; 0: 100 */
	bool priorities;	       /* kind 0 goes before the others */
} model_load_t;

typedef struct {
	double worth, most; /* of the jobs; most: if all were on time */
	int32_t jobs, on_time, late, too_late, not_ended;
	int32_t on_time_of[MODEL_KINDS], jobs_of[MODEL_KINDS];
	int32_t unstable; /* jobs deferred more than twice */
	int32_t changes;  /* of marks between on time and deferred */
} model_result_t;

model_result_t
model_run(const model_load_t *l, model_order_t order, uint32_t seed);

#endif
