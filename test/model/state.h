/*
 * The hash of a state of the simulated cell, schedulers included.
 *
 * Include what test/cell/cell.h needs, and that, first.
 */
#ifndef TEST_MODEL_STATE_H
#define TEST_MODEL_STATE_H

#define TASKS_MAX 8

/* The tasks of a world, in which nothing else is to be done. */
typedef struct {
	const char *names[TASKS_MAX]; /* interned */
	const sim_job_t *jobs[TASKS_MAX];
	int32_t n;
} state_tasks_t;

/*
 * What can make a difference to later events.  Left out are counters, learned speeds
 * and what only fillers, serving tasks and customers use: states that differ in
 * these only are taken for one.
 */
uint64_t state_hash(world_t *w, const state_tasks_t *tasks);
/* Whether an entry runs and has not claimed the cell since it started. */
bool state_never_owned(const sim_entry_t *en);
/*
 * A hash of what each scheduler has just learned or begun: a claim, a load, a first
 * answer, a missed one, an order, a release.  When it changes a fault may begin,
 * besides at fixed steps.
 */
uint64_t state_facts(const world_t *w);

#endif
