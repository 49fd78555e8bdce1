/*
 * A cell that is full of short work, with lasting tasks, whose workers answer polls and
 * orders.  Ends of runs come in as workers list them.
 *
 * Include what sched_fixture.h needs first.
 */
#ifndef FULL_CELL_H
#define FULL_CELL_H

/* The users call a lasting task lost that is down for so long beside room for it. */
#define DOWN_MAX_MS 6000

/* Short work of a service; some of it always waits. */
typedef struct {
	const char *service; /* NULL: none */
	int64_t cpu_milli, ms;
	int32_t width; /* tasks of a job */
	bool filler;
} short_work_t;

typedef struct {
	sched_t *s;
	short_work_t work[2];
	GPtrArray *lasting; /* steps, of which the times down are noted */
	GHashTable *down; /* of their tasks that are down: since when, in ms */
	GHashTable *failing; /* tasks whose runs fail by the next report */
	GHashTable *faults; /* ids of jobs whose runs fail: after how many ms */
	GPtrArray *requests; /* workers for which approval was asked last */
	GString *returns;    /* times down of the tasks that came back, in s */
	int64_t longest_ms;  /* that one of these tasks was down */
	int64_t request_id;  /* for approval, to be answered; 0: none */
	int bad_workers;     /* the first ones fail what they run */
	int64_t bad_until_ms;
	int64_t tickets_ms;  /* are valid for so long */
	int64_t approval_ms; /* until a request for approval is answered */
	/* Else the service handles one request after the other, in this time and so much
	 * more for each worker. */
	int64_t decision_ms, per_worker_ms;
	int64_t handled_ms; /* when the last one was */
	/* Of so many workers the first is refused, or all but the first; 0: none. */
	int refused_each, approved_each;
	int lost_answers;     /* of the next requests for approval */
	GHashTable *rejected; /* ids of runs that came without a valid ticket */
	bool weak;	      /* the owner has time for one pass a round */
	int32_t failed;	      /* runs of lasting tasks */
	int32_t stopped;      /* runs of short work, before their end */
	int64_t last_job, version;
} full_cell_t;

/* A cell of workers w00, w01 and so on of service "s". */
void full_cell_init(full_cell_t *c, int workers);
void full_cell_free(full_cell_t *c);
worker_t *full_cell_worker(const full_cell_t *c, int i);
/* A new job with one step; service: or NULL for "s". */
step_t *
full_cell_add_step(full_cell_t *c, const Sched__Step *d, const char *service);
/* A new job of lasting tasks, whose times down are noted. */
step_t *full_cell_add_lasting(full_cell_t *c, const Sched__Step *d);
/* A task of it has run on a worker for long. */
void full_cell_run(full_cell_t *c, step_t *st, int32_t index, worker_t *w);
/* The run of a task is listed as failed by the next report. */
void full_cell_fail(full_cell_t *c, task_t *t);
/* Each run of a job fails after some time at work. */
void full_cell_fail_always(full_cell_t *c, const job_t *j, int64_t after_ms);
/* A worker is gone, with what it runs. */
void full_cell_lose(full_cell_t *c, worker_t *w);
void full_cell_pass(full_cell_t *c, int64_t ms);
/* No lasting task has been down for DOWN_MAX_MS so far. */
void full_cell_expect_back(const full_cell_t *c, const char *what);

#endif
