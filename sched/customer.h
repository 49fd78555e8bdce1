/*
 * Customers: their types, and what customer.c, unseen.c, share.c and admission.c
 * do for the other files of the scheduler.
 *
 * Include "types.h" and what it needs first.
 */
#ifndef SCHED_CUSTOMER_H
#define SCHED_CUSTOMER_H

/* What a customer received and sent; see share.c. */
typedef struct {
	double received;    /* decaying work of its runs, in milli x ms */
	int64_t updated_ms; /* as of then */
	int64_t used_milli; /* by its runs now */
	/* As of the last update: its weight, the work of its waiting tasks, and
	 * its place in the queue, the lowest first. */
	double weight, queued;
	int32_t rank;
	bool waiting; /* it has a step that waits for room */
	bool active;  /* it had runs or such a step at the last update */
	/* When its token bucket is full again, since 1970, and the weight for
	 * which that holds. */
	double bucket_full_wall_ms, bucket_weight;
	int64_t accepted_wall_ms; /* the latest acceptance in the bucket */
	bool refused;		  /* its submissions are refused */
	/* When they were at last, and whether that was logged to begin. */
	int64_t refused_ms;
	bool refusal_logged;
} customer_share_t;

/* Sums over the customers with runs or steps that wait for room. */
typedef struct {
	double received, weight; /* received: as expected at the horizon */
	/* The least of received by weight, of those that waited before. */
	double least_level;
	int32_t n;
} share_totals_t;

/* Whether room is short, and what is refused because of it; see admission.c. */
typedef struct {
	bool room_short;
	/* When a job was last seen to wait past its latest start, and since
	 * when that has been so without a long gap; 0: it has not. */
	int64_t late_seen_ms, late_since_ms;
	GPtrArray *refusals; /* of Sched__Refusal, as of decided_ms */
	int64_t decided_ms;
} admission_t;

/* What tasks hold if they run; the processor time of fillers apart. */
typedef struct {
	ts_res_t res;
	int64_t filler_cpu_milli;
} task_sum_t;

/* A customer's settings, what its runs hold and what it received lately. */
struct customer {
	const char *name;     /* interned */
	bool configured;      /* in the configuration now in force */
	int64_t settings_ms;  /* if not: when the job was accepted whose row
			       * they come from, since 1970 */
	double weight;	      /* more than 0 */
	ts_quota_t quota;     /* of its runs in any state */
	ts_res_t lasting;     /* held by its lasting tasks */
	task_sum_t may_run;   /* tasks that may run unseen; see unseen.c */
	task_sum_t may_ended; /* the same, of jobs that are removed */
	int64_t held_ms;      /* when the quota last held a step; 0: never */
	bool held;	      /* as last logged */
	/* What its lasting tasks need that are down, as of the round of scan.c. */
	ts_res_t down;
	/* The step that a part of the quota is reserved for in that round of
	 * scan.c, and what it needs; see reservation.c.  Never dereferenced. */
	const step_t *reserved_for;
	uint64_t reserved_round;
	ts_res_t reserved;
	customer_share_t share;
};

/* customer.c */
customer_t *customer_get(sched_t *s, const char *name);
void customer_job_added(sched_t *s, job_t *j);
ts_res_t customer_task_demand(const Sched__Step *d);
bool customer_allows_start(const step_t *st);
bool customer_allows_gang(const step_t *st);
bool customer_allows_step(const step_t *st);
bool customer_allows_move(const run_t *r);
bool customer_holds(sched_t *s, step_t *st);
void customer_begin_round(sched_t *s);
bool customer_may_reserve(const sched_t *s, const step_t *st);
bool customer_reserve(sched_t *s, const step_t *st);
void customer_count_run(const run_t *r, int sign);
void customer_forget_runs(sched_t *s);
void customer_log_held(sched_t *s);

/* unseen.c */
void customer_count_unseen(sched_t *s);
void customer_job_loaded(sched_t *s, job_t *j);
void customer_job_removed(sched_t *s, const job_t *j);
void
customer_ended_job_loaded(sched_t *s, const char *id, const Sched__Progress *p);
void
customer_ended_job_read(sched_t *s, const char *id, const sched_row_t *row);

/* share.c */
void share_job_accepted(sched_t *s, job_t *j);
void share_load_done(sched_t *s);
void share_forget(sched_t *s);
void share_count_run(const run_t *r, int sign);
void share_update(sched_t *s);
int share_compare(const job_t *a, const job_t *b);
double share_time_to_room(const sched_t *s, customer_t *c);
double share_time_to_spare(const sched_t *s, customer_t *c);

/* admission.c */
void admission_update(sched_t *s);
void admission_forget(sched_t *s);
Sched__Refusal **admission_pack(sched_t *s, int64_t as_of_ms, size_t *n);

#endif
