/*
 * What the files of the simulated workers share.
 *
 * Include "cell.h" and what it needs first.
 */
#ifndef CELL_WORKER_INTERNAL_H
#define CELL_WORKER_INTERNAL_H

/* The work_left_ms that marks a failure. */
#define ALWAYS_FAILS_WORK_MS (-1000000)

/* worker.c */
sim_job_t *worker_job_of(world_t *w, const char *task);
/* The run of a task on a worker, or NULL. */
sim_run_t *worker_find_run(sim_worker_t *wk, const char *task);
/* From now on the worker starts no run of the task up to this one. */
void worker_reject_runs_up_to(sim_worker_t *wk, const char *task, int64_t run);
void worker_crash_and_reboot(world_t *w, sim_worker_t *wk);
/* Schedules the crash by a deadly run that starts. */
void worker_arm_deadly_run(
    world_t *w, sim_worker_t *wk, const sim_job_t *job, const sched_order_t *o);

/* worker_start.c */
/* Carries out an order that was sent at a time. */
sched_order_result_t worker_execute_order(
    world_t *w, sim_worker_t *wk, const sched_order_t *o, int64_t sent_ms);

#endif
