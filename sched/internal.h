/*
 * What the files of the scheduler share.  job, vm, harm and queue keep state;
 * place, noise and advice decide on it; run, start, report, look and health act
 * on workers; flush, recall, purge and cell deal with the store; load tells
 * figures; sched is the outside.
 */
#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

typedef struct job job_t;
typedef struct step step_t;
typedef struct run run_t;
typedef struct worker worker_t;
typedef struct interference interference_t;

#define IMAGES_MAX 64 /* whose harm is learned */

typedef enum { TASK_WAITING, TASK_RUNNING, TASK_DONE } task_state_t;

typedef struct {
	step_t *step;
	int32_t index;
	task_state_t state;
	GArray *failed_runs;	  /* int64_t, each counted once; or NULL */
	int64_t last_run_number;  /* highest number given out */
	char *checkpoint;	  /* or NULL */
	run_t *run;		  /* current, or NULL */
	run_t *speculative_run;	  /* a duplicate, or NULL */
	const char *avoid_worker; /* worker it failed on last, interned */
	int64_t not_before_ms;	  /* no start before this */
} task_t;

/* One occurrence of a job's steps. */
typedef struct {
	job_t *job;
	int32_t number;
	int64_t due_wall_ms; /* wall clock */
	int32_t steps_done;
	bool done;
	step_t *steps;
} occurrence_t;

struct step {
	occurrence_t *occ;
	int32_t number;
	const Sched__Step *def;
	task_t *tasks;
	int32_t ntasks;
	int32_t nwaiting; /* tasks to be started */
	int32_t ndone;
	bool ready;    /* all steps before it are done */
	int32_t image; /* index, or -1 */
	int64_t
	    critical_path_ms; /* declared time of the longest chain from here */
	GSequenceIter *queue_iter; /* in the queue */
	int64_t latest_start_ms;   /* wall clock: start by then to be in time */
	bool misses_target;	   /* can't be in time any more */
	bool past_late_limit;	   /* nor in the time that counts as late */
	int64_t sort_key_ms;	   /* among those alike, the lowest first */
	int64_t gang_run;	   /* run number of the current gang */
	char *gang_checkpoint;	   /* of the gang */
	GHashTable *approvals; /* worker id -> what was told of it; or NULL */
	uint64_t approval_call_id; /* call under way about it; 0: none */
	int64_t approval_retry_ms; /* no call before */
	/* Serving: target over tail of its tasks, undisturbed by fillers. */
	double headroom;
	int64_t headroom_updated_ms; /* when that was last taken in; 0: never */
};

typedef enum {
	JOB_OPEN,
	JOB_ENDING, /* its end is decided; runs are being stopped */
	JOB_ENDED   /* its end is stored */
} job_stage_t;

struct job {
	sched_t *sched;
	char id[SCHED_JOB_ID_BYTES + 1];
	Sched__Job *def;
	const char *queue;   /* interned */
	const char *service; /* interned; where the tables send it now */
	int32_t priority;
	int32_t max_attempts;
	GPtrArray *occs; /* of occurrence_t */
	job_stage_t stage;
	Sched__State end_state; /* when ending */
	bool needs_approval;	/* its queue needs approval of placements */
	bool cancelled;
	bool started;		   /* a task has started */
	bool dirty;		   /* progress to be written */
	uint64_t flush_number;	   /* the last that wrote it */
	bool accepted_after_claim; /* accepted after this owner's claim */
	int32_t nruns;		   /* on workers now */
	int64_t deadline_ms;	   /* from when it was due */
	double
	    work_milli_ms; /* thousandths of a core x ms, all tasks, as declared */
	int32_t occs_done;
	int32_t occs_made_ready; /* made ready so far */
};

typedef enum {
	RUN_STARTING, /* the order to start is under way */
	RUN_RUNNING,  /* the worker runs it */
	RUN_STOPPING  /* a stop has been ordered */
} run_state_t;

struct run {
	uint64_t id;
	char name[64];
	task_t *task;
	job_t *job;
	worker_t *worker;
	int64_t number;
	run_state_t state;
	bool holds_room;	       /* counted in the worker's room */
	bool order_pending;	       /* an order is under way */
	sched_order_kind_t last_order; /* the last one */
	bool unwanted;		       /* free of it once it is proved absent */
	int64_t state_since_ms;	       /* in this state */
	int64_t stop_acked_ms; /* the worker acknowledged a stop; 0: not yet */
	int64_t stop_retry_ms; /* next stop order */
	int32_t percent;
	int64_t first_seen_ms; /* when the start was acknowledged */
	int32_t first_seen_percent;
	int64_t metric;
	int64_t
	    over_target_since_ms; /* its tail is over the target since; 0: it is not */
	uint64_t last_report; /* the last report that listed it */
	int32_t pace_pct;     /* percent in force */
	int32_t wanted_pace_pct;
	bool was_paced; /* it has been slowed */
};

/* A worker's clock and leases as this owner knows them. */
typedef struct {
	int64_t worker_clock_ms; /* of the worker, at its last answer */
	int64_t answered_ms;	 /* our clock then; 0: never */
	int64_t deadline_ms;	 /* highest deadline sent; the worker's clock */
	int64_t deadline_sent_ms;   /* when the last was sent; our clock */
	int64_t no_lapse_before_ms; /* nothing lapses before; our clock */
} lease_t;

struct worker {
	const char *id; /* interned */
	char *address;
	const char *service, *zone, *rack; /* interned */
	GPtrArray *labels;		   /* interned */
	int64_t born_ms;
	int64_t cpu_milli, mem_mb;
	int32_t gpu;
	bool listed, seen_in_list, draining;
	bool footprint_stored; /* in the footprint row */
	int64_t
	    lease_end_store_ms; /* lease by the store's clock, as stored; 0: extended */
	bool has_answered; /* under our token */
	bool silent;
	int32_t missed_polls; /* looks in a row without an answer */
	lease_t lease;
	/* room taken */
	int64_t used_cpu_milli, used_mem_mb, filler_cpu_milli,
	    serving_cpu_milli;
	int32_t used_gpu;
	GHashTable *runs; /* name -> run_t */
	/* looks */
	uint64_t poll_id;     /* of the look under way; 0: none */
	int64_t poll_sent_ms; /* when the one under way, or the last, began */
	int64_t next_poll_ms;
	bool poll_without_wait;	  /* the next one does not wait for an end */
	int64_t ended_seq;	  /* ends taken in */
	int64_t ended_stored_seq; /* ends whose record is stored */
	uint64_t ended_flush;	  /* flush that stores ends up to flush_seen */
	int64_t ended_flush_seq;
	uint64_t footprint_flush; /* flush that puts it into the footprint */
	/* health */
	double past_due_pct,
	    past_made_pct;     /* progress of runs that ended, fading */
	double relative_speed; /* share of that expected */
	bool slow;
	int64_t backoff_until_ms; /* no start before this */
	int32_t failed_jobs;	  /* failed runs of distinct jobs, in a row */
	const char *last_failed_job;
	int32_t nserving;	  /* serving tasks there */
	int32_t fillers_pace_pct; /* 100: none of its fillers is slowed */
	int64_t pace_changed_ms;  /* last change */
	int64_t filler_moved_ms;  /* a filler was sent away */
	int32_t
	    compatible_filler_pct; /* of the filler images, those that may run there */
	int64_t
	    target_exceeded_ms; /* a tail was last over its target for long; 0: never */
	int64_t filler_cpu_by_image[IMAGES_MAX];
	/* Processor milli of fillers that ended, at the time of the last. */
	double ended_filler_cpu_by_image[IMAGES_MAX];
	int64_t filler_ended_ms;
	int32_t serving_by_image[IMAGES_MAX];
};

/* What has been learned of the run times of a queue's jobs. */
typedef struct {
	const char *name;
	const char *service;
	int32_t priority;
	int32_t max_attempts;
	bool configured;     /* in the tables in force */
	bool needs_approval; /* placements need approval */
	int64_t
	    run_time_pct; /* real run time, of the declared; moving average */
	double mean_work_milli_ms; /* of its jobs; moving average */
	int32_t waiting_jobs;	   /* jobs not begun */
} queue_t;

typedef enum {
	CELL_FOLLOWING,
	CELL_CLAIMING,
	CELL_LOADING,
	CELL_OWNED
} cell_state_t;

typedef struct {
	cell_state_t state;
	int64_t version; /* of the owner's row last known */
	Sched__Owner *row;
	int64_t row_changed_ms; /* our clock when that version was first seen */
	int64_t row_read_ms;	/* last read that confirmed it */
	int64_t write_sent_ms;	/* when the write under way was sent */
	int64_t token;
	int64_t epoch;
	int64_t renewals;
	int64_t owned_ms;
	int64_t confirmed_ms; /* last write or read that showed we own it */
	int64_t
	    old_leases_end_ms; /* from then on nothing of earlier owners runs */
	bool
	    workers_accounted; /* every worker of earlier owners has answered */
	bool paused;
	bool releasing;
	bool row_read;		   /* the row, at least once */
	bool had_predecessor;	   /* another process may have given orders */
	bool predecessor_released; /* ... but it gave the cell up in order */
	bool forget_pending;	   /* what the owner knew is to be forgotten */
	bool release_sent;
	const char *successor;	/* interned; NULL or "" for anyone */
	int32_t claim_delay_ms; /* left to stronger entries */
	bool store_outage;	/* the store is away for all entries */
} cell_t;

struct sched {
	sched_opts_t opts;
	int64_t now_ms, wall_ms;
	uint64_t last_id;
	uint64_t report_number;
	cell_t cell;
	GHashTable *jobs;    /* id -> job_t */
	GHashTable *queues;  /* name -> queue_t */
	GHashTable *workers; /* id -> worker_t */
	GPtrArray *worker_list;
	GHashTable *runs;			  /* id -> run_t */
	GHashTable *images;			  /* image -> index */
	interference_t *interference[IMAGES_MAX]; /* of each serving image */
	bool is_filler_image[IMAGES_MAX];
	GHashTable *approval_calls;  /* calls under way, by id */
	GHashTable *evacuated_zones; /* evacuated, interned */
	GHashTable *loaded_progress; /* while loading: id -> Sched__Progress */
	GHashTable *ended_jobs; /* jobs whose end is stored, by id: purge.c */
	GSequence *ready_steps; /* of step_t */
	GHashTable *dirty_jobs; /* of job_t */
	GPtrArray *recurring_jobs; /* jobs with occurrences to come */
	/* the write under way */
	bool write_pending;
	uint64_t flush_number,
	    flushed_number;	  /* numbers of the last begun and stored */
	int64_t flush_begun_ms;	  /* when the last one began */
	bool urgent;		  /* an end is to be shown */
	bool flush_partial;	  /* not all that was dirty fitted */
	GPtrArray *flushing_jobs; /* jobs in the write under way */
	bool start_pass_due;	  /* something may be startable */
	int64_t sorted_ms, stats_logged_ms;
	int64_t purged_ms;		/* last round of removals */
	bool write_removes_rows;	/* the write under way removes rows */
	int64_t interference_packed_ms; /* when learned harm was last written */
	int64_t store_clock_offset_ms;	/* its clock less ours */
	int64_t
	    feed_read_ms[SCHED_NFEEDS]; /* a table was last read up to then */
	sched_stats_t stats;
};

#define LOG_EVENT(s, n, subject, ...) \
	(s)->opts.port.event( \
	    (s)->opts.ctx, (n), (subject), g_strdup_printf(__VA_ARGS__))

/* job.c */
job_t *job_new(sched_t *s, const char *id, Sched__Job *def);
void job_free(void *j);
void job_apply_progress(job_t *j, const Sched__Progress *p);
GByteArray *job_pack_progress(const job_t *j);
GByteArray *job_pack_ended(const job_t *j, int64_t wall_ms);
occurrence_t *job_occurrence(job_t *j, int32_t number);
task_t *job_find_task(job_t *j, const char *name);
void job_task_name(const task_t *t, char *name, size_t n);
void job_mark_task_done(task_t *t);
int32_t task_failed_runs(const task_t *t);
/* False when that run's failure has been counted before. */
bool task_add_failed_run(task_t *t, int64_t run);
int64_t job_critical_path_ms(const sched_t *s, const step_t *st);
queue_t *queue_get(sched_t *s, const char *name);

/* vm.c */
worker_t *cell_worker_get(sched_t *s, const char *id);
void cell_worker_free(void *w);
void cell_worker_count_task(worker_t *w, const step_t *st, int sign);
bool cell_worker_usable(const sched_t *s, const worker_t *w);
int64_t cell_worker_min_clock(const worker_t *w, int64_t now_ms);
int64_t cell_worker_extend_lease(sched_t *s, worker_t *w);
bool cell_worker_lease_lapsed(const sched_t *s, const worker_t *w);
int64_t cell_worker_lease_end(const worker_t *w);
void cell_worker_assume_longest_lease(const sched_t *s, worker_t *w);
void cell_worker_restarted(sched_t *s, worker_t *w, int64_t born_ms);
void cell_worker_clock_read(sched_t *s, worker_t *w, int64_t clock_ms);

/* place.c */
worker_t *
place_task(sched_t *s, const step_t *st, const task_t *t, const char *rack);
/* Whether a worker could run a task of the step now, were it approved. */
bool place_possible(const sched_t *s, const worker_t *w, const step_t *st);
bool place_gang(sched_t *s, const step_t *st, worker_t **at);

/* advice.c */
GHashTable *approval_calls_new(void);
void approval_step_free(step_t *st);
const char *
approval_ticket(const sched_t *s, const step_t *st, const worker_t *w);
bool approval_allows(const sched_t *s, const step_t *st, const worker_t *w);
void approval_ticket_rejected(step_t *st, const worker_t *w);
void approval_request(sched_t *s, step_t *st);
void approval_expire_calls(sched_t *s);

/* queue.c */
void queue_add_step(sched_t *s, step_t *st);
void queue_remove_step(step_t *st);
void queue_resort(sched_t *s);

/* run.c, start.c, report.c */
run_t *run_new(sched_t *s, const char *name, worker_t *w, int64_t number);
void run_reserve_room(run_t *r, task_t *t);
void run_set_state(sched_t *s, run_t *r, run_state_t state);
void run_remove(sched_t *s, run_t *r);
void run_mark_job_started(sched_t *s, job_t *j);
void run_start(sched_t *s, task_t *t, worker_t *w, int64_t number);
void start_waiting_tasks(sched_t *s);
int64_t start_run_number(sched_t *s, const task_t *t);
void run_stop(sched_t *s, run_t *r, const char *why);
void run_set_pace(sched_t *s, run_t *r, int32_t percent);
void run_order_done(
    sched_t *s, run_t *r, sched_order_result_t res, int64_t clock_ms);
void report_apply(
    sched_t *s, worker_t *w, const sched_report_t *rep, int64_t asked_ms);
void run_worker_lost(sched_t *s, worker_t *w, const char *why);
void run_resend_orders(sched_t *s, worker_t *w);
void run_free(void *r);
void run_end_job(sched_t *s, job_t *j, Sched__State end);
void run_add_ready_steps(sched_t *s, occurrence_t *o);

/* harm.c */
int32_t interference_image(sched_t *s, const char *image);
double interference_estimate(const sched_t *s, int32_t serving, int32_t filler);
bool interference_known(const sched_t *s, int32_t serving, int32_t filler);
void interference_restore(
    sched_t *s, int32_t serving, int32_t filler, double h, double low);
double interference_of(const sched_t *s, int32_t serving, int32_t filler);
double interference_min_headroom(const sched_t *s, int32_t serving);
void interference_learn_headroom(sched_t *s, int32_t serving, double headroom);
void
interference_learn(sched_t *s, int32_t serving, double lost, const double *use);
void interference_solve(sched_t *s);

/* purge.c */
GHashTable *purge_table_new(void);
void purge_add_ended(sched_t *s, const char *id, int64_t ended_ms);
void purge_tick(sched_t *s);
GPtrArray *purge_take_rows(sched_t *s);
void purge_write_done(sched_t *s, bool ok);

/* load.c */
void stats_count_waiting_jobs(sched_t *s);
void stats_log(sched_t *s);

/* recall.c */
GByteArray *interference_row_pack(sched_t *s);
void interference_row_read(sched_t *s, const sched_row_t *row);

/* look.c */
void poll_tick(sched_t *s, worker_t *w);

/* noise.c */
bool isolation_allows(const sched_t *s, const worker_t *w, const step_t *st);
double isolation_serving_cost(
    const sched_t *s, const worker_t *w, const step_t *st, int32_t *images);
void isolation_update_compatibility(sched_t *s);
void isolation_count_task(worker_t *w, const step_t *st, int sign);
void isolation_report(sched_t *s, worker_t *w);
void isolation_run_removed(const sched_t *s, const run_t *r);

/* health.c */
void straggler_run_done(sched_t *s, const run_t *r);
void straggler_report(sched_t *s, worker_t *w);

/* flush.c */
void flush_mark_job(sched_t *s, job_t *j, bool urgent);
void flush_ended_runs(sched_t *s, worker_t *w);
void flush_footprint_read(sched_t *s, const Sched__Footprint *f);
void flush_if_due(sched_t *s);
void flush_done(sched_t *s, sched_write_result_t r, int64_t version);

/* cell.c */
void ownership_tick(sched_t *s);
void ownership_lost(sched_t *s, const char *why);
void ownership_row_read(sched_t *s, const sched_row_t *row);
void ownership_claim_done(sched_t *s, sched_write_result_t r, int64_t version);
void ownership_load_done(sched_t *s);
bool ownership_may_extend_leases(const sched_t *s);
void ownership_set_store_outage(sched_t *s, bool for_all, int64_t last_ms);
bool ownership_may_order(const sched_t *s);
GByteArray *ownership_pack_row(sched_t *s, bool released);
bool ownership_may_start_job(sched_t *s, const job_t *j);

#endif
