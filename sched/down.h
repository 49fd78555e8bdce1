/*
 * Lasting tasks that are down, or have to leave their worker: what nominate.c and
 * downtime.c do for the other files of the scheduler.
 *
 * Include "internal.h" and what it needs first.
 */
#ifndef SCHED_DOWN_H
#define SCHED_DOWN_H

/* nominate.c */
void nominate(sched_t *s, task_t *t, worker_t *w);
void nominate_withdraw(sched_t *s, task_t *t);
void nominate_forget(sched_t *s);
int32_t nominate_count(const worker_t *w, const step_t *st);
worker_t *nominate_place(sched_t *s, task_t *t);
bool nominate_elsewhere(sched_t *s, const run_t *r);
void nominate_update(sched_t *s);

/* preempt.c */
/* Whether more counts as used on a worker than it has. */
bool preempt_is_short(const worker_t *w);
/*
 * Stops batch runs on such a worker.  False: the others leave too little room for what
 * counts as used; then none is stopped.
 */
bool preempt_make_room(sched_t *s, const worker_t *w);

/* lasting_admission.c */
void lasting_admission_init(sched_t *s);
void lasting_admission_free(sched_t *s);
void lasting_admission_note(sched_t *s, const step_t *st);
bool lasting_admission_waits(const sched_t *s, const step_t *st);

/* downtime.c */
/* Whether a task lasts and has had no run. */
bool downtime_is_new(const task_t *t);
/* Lasting tasks that had a run and wait for the next one. */
typedef struct {
	int64_t tasks, longest_ms;
} downtime_t;

void downtime_taken_over(sched_t *s);
void downtime_run_lost(const sched_t *s, const run_t *r);
void downtime_run_removed(const sched_t *s, const run_t *r);
bool downtime_is_down(const task_t *t);
void downtime_run_up(sched_t *s, const run_t *r);
/* How long a waiting task is down; 0: it has had no run. */
int64_t downtime_ms(const sched_t *s, const task_t *t);
/* The task of a step that is down longest; NULL: none is. */
const task_t *downtime_longest(const step_t *st);
void downtime_count(const sched_t *s, const step_t *st, downtime_t *d);

#endif
