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
typedef struct vm vm_t;
typedef struct harm harm_t;

#define IMAGES_MAX 64 /* whose harm is learned */

typedef enum { TASK_WAITING, TASK_RUNNING, TASK_DONE } task_state_t;

typedef struct {
	step_t *step;
	int32_t index;
	task_state_t state;
	GArray *failed_runs;   /* int64_t, each counted once; or NULL */
	int64_t last_run;      /* highest number given out */
	char *checkpoint;      /* or NULL */
	run_t *run;	       /* current, or NULL */
	run_t *copy;	       /* a duplicate, or NULL */
	const char *avoid;     /* worker it failed on last, interned */
	int64_t not_before_ms; /* no start before this */
} task_t;

/* One occurrence of a job's steps. */
typedef struct {
	job_t *job;
	int32_t number;
	int64_t due_ms; /* wall clock */
	int32_t steps_done;
	bool done;
	step_t *steps;
} occ_t;

struct step {
	occ_t *occ;
	int32_t number;
	const Sched__Step *def;
	task_t *tasks;
	int32_t ntasks;
	int32_t waiting; /* tasks to be started */
	int32_t done;
	bool ready;	    /* all steps before it are done */
	int32_t image;	    /* index, or -1 */
	int64_t tail_ms;    /* declared time of the longest chain from here */
	GSequenceIter *it;  /* in the queue */
	int64_t latest_ms;  /* wall clock: start by then to be in time */
	bool hopeless;	    /* can't be in time any more */
	bool given_up;	    /* nor in the time that counts as late */
	int64_t order_ms;   /* among those alike, the lowest first */
	int64_t gang_run;   /* run number of the current gang */
	char *checkpoint;   /* of the gang */
	GHashTable *advice; /* worker id -> what was told of it; or NULL */
	uint64_t advice_id; /* call under way about it; 0: none */
	int64_t advice_next_ms; /* no call before */
	/* Serving: target over tail of its tasks, undisturbed by fillers. */
	double headroom;
	int64_t headroom_ms; /* when that was last taken in; 0: never */
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
	GPtrArray *occs; /* of occ_t */
	job_stage_t stage;
	Sched__State end; /* when ending */
	bool advised;	  /* its queue needs approval of placements */
	bool cancelled;
	bool begun;	     /* a task has started */
	bool dirty;	     /* progress to be written */
	uint64_t flush;	     /* the last that wrote it */
	bool after_claim;    /* accepted after this owner's claim */
	int32_t runs;	     /* on workers now */
	int64_t deadline_ms; /* from when it was due */
	double work; /* thousandths of a core x ms, all tasks, as declared */
	int32_t occs_ended;
	int32_t occs_due; /* made ready so far */
};

typedef enum {
	RUN_SENT,    /* the order to start is under way */
	RUN_ON,	     /* the worker runs it */
	RUN_STOPPING /* a stop has been ordered */
} run_state_t;

struct run {
	uint64_t id;
	char name[64];
	task_t *task;
	job_t *job;
	vm_t *worker;
	int64_t number;
	run_state_t state;
	bool holds;		  /* counted in the worker's room */
	bool order_out;		  /* an order is under way */
	sched_order_kind_t order; /* the last one */
	bool drop;		  /* free of it once it is proved absent */
	int64_t since_ms;	  /* in this state */
	int64_t stopped_ms; /* the worker acknowledged a stop; 0: not yet */
	int64_t retry_ms;   /* next stop order */
	int32_t percent;
	int64_t first_ms; /* when the start was acknowledged */
	int32_t first_percent;
	int64_t measure;
	int64_t over_ms; /* its tail is over the target since; 0: it is not */
	uint64_t report; /* the last report that listed it */
	int32_t pace;	 /* percent in force */
	int32_t pace_want;
	bool paced; /* it has been slowed */
};

/* A worker's clock and leases as this owner knows them. */
typedef struct {
	int64_t clock_ms; /* of the worker, at its last answer */
	int64_t heard_ms; /* our clock then; 0: never */
	int64_t until_ms; /* highest deadline sent; the worker's clock */
	int64_t sent_ms;  /* when the last was sent; our clock */
	int64_t hard_ms;  /* nothing lapses before; our clock */
} lease_t;

struct vm {
	const char *id; /* interned */
	char *address;
	const char *service, *zone, *rack; /* interned */
	GPtrArray *labels;		   /* interned */
	int64_t born_ms;
	int64_t cpu_milli, mem_mb;
	int32_t gpu;
	bool listed, swept, draining;
	bool stored; /* in the footprint row */
	int64_t
	    ends_ms;   /* lease by the store's clock, as stored; 0: extended */
	bool answered; /* under our token */
	bool silent;
	int32_t misses; /* looks in a row without an answer */
	lease_t lease;
	/* room taken */
	int64_t used_cpu, used_mem, filler_cpu, serving_cpu;
	int32_t used_gpu;
	GHashTable *runs; /* name -> run_t */
	/* looks */
	uint64_t look_id; /* of the look under way; 0: none */
	int64_t look_ms;  /* when the one under way, or the last, began */
	int64_t look_next_ms;
	bool look_now;	     /* the next one does not wait for an end */
	int64_t seen;	     /* ends taken in */
	int64_t noted;	     /* ends whose record is stored */
	uint64_t flush_want; /* flush that stores ends up to flush_seen */
	int64_t flush_seen;
	uint64_t store_flush; /* flush that puts it into the footprint */
	/* health */
	double due, made; /* progress of runs that ended, fading */
	double speed;	  /* share of that expected */
	bool slow;
	int64_t hold_off_ms; /* no start before this */
	int32_t fails;	     /* failed runs of distinct jobs, in a row */
	const char *fail_job;
	int32_t serving;  /* serving tasks there */
	int32_t pace;	  /* 100: none of its fillers is slowed */
	int64_t pace_ms;  /* last change */
	int64_t moved_ms; /* a filler was sent away */
	int32_t open_pct; /* of the filler images, those that may run there */
	int64_t
	    over_ms; /* a tail was last over its target for long; 0: never */
	int64_t image_filler_cpu[IMAGES_MAX];
	/* Processor milli of fillers that ended, at the time of the last. */
	double image_gone_cpu[IMAGES_MAX];
	int64_t gone_ms;
	int32_t image_serving[IMAGES_MAX];
};

/* What has been learned of the run times of a queue's jobs. */
typedef struct {
	const char *name;
	const char *service;
	int32_t priority;
	int32_t max_attempts;
	bool known;	  /* in the tables in force */
	bool advised;	  /* placements need approval */
	int64_t time_pct; /* real run time, of the declared; moving average */
	double mean_work; /* of its jobs; moving average */
	int32_t waiting;  /* jobs not begun */
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
	int64_t changed_ms; /* our clock when that version was first seen */
	int64_t read_ms;    /* last read that confirmed it */
	int64_t sent_ms;    /* when the write under way was sent */
	int64_t token;
	int64_t epoch;
	int64_t beat;
	int64_t owned_ms;
	int64_t confirmed_ms; /* last write or read that showed we own it */
	int64_t settled_ms;   /* from then on nothing of earlier owners runs */
	bool accounted;	      /* every worker of earlier owners has answered */
	bool paused;
	bool releasing;
	bool read;	/* the row, at least once */
	bool had_owner; /* another process may have given orders */
	bool clean;	/* ... but it gave the cell up in order */
	bool lost;	/* what the owner knew is to be forgotten */
	bool release_sent;
	const char *heir;    /* interned; NULL or "" for anyone */
	int32_t handicap_ms; /* left to stronger entries */
	bool outage;	     /* the store is away for all entries */
} cell_t;

struct sched {
	sched_opts_t o;
	int64_t now, wall;
	uint64_t next_id;
	uint64_t reports;
	cell_t cell;
	GHashTable *jobs;    /* id -> job_t */
	GHashTable *queues;  /* name -> queue_t */
	GHashTable *workers; /* id -> vm_t */
	GPtrArray *worker_list;
	GHashTable *runs;	  /* id -> run_t */
	GHashTable *images;	  /* image -> index */
	harm_t *harm[IMAGES_MAX]; /* of each serving image */
	bool filler_image[IMAGES_MAX];
	GHashTable *advising; /* calls under way, by id */
	GHashTable *zones;    /* evacuated, interned */
	GHashTable *progress; /* while loading: id -> Sched__Progress */
	GHashTable *ended;    /* jobs whose end is stored, by id: purge.c */
	GSequence *ready;     /* of step_t */
	GHashTable *dirty;    /* of job_t */
	GPtrArray *timed;     /* jobs with occurrences to come */
	/* the write under way */
	bool writing;
	uint64_t flush, flushed; /* numbers of the last begun and stored */
	int64_t flush_ms;	 /* when the last one began */
	bool urgent;		 /* an end is to be shown */
	bool partial;		 /* not all that was dirty fitted */
	GPtrArray *flushing;	 /* jobs in the write under way */
	bool pump;		 /* something may be startable */
	int64_t sort_ms, load_ms;
	int64_t purge_ms;	      /* last round of removals */
	bool purging;		      /* the write under way removes rows */
	int64_t recall_ms;	      /* when learned harm was last written */
	int64_t store_off_ms;	      /* its clock less ours */
	int64_t fed_ms[SCHED_NFEEDS]; /* a table was last read up to then */
	sched_stats_t stats;
};

#define LOG(s, n, subject, ...) \
	(s)->o.port.event( \
	    (s)->o.ctx, (n), (subject), g_strdup_printf(__VA_ARGS__))

/* job.c */
job_t *job_new(sched_t *s, const char *id, Sched__Job *def);
void job_free(void *j);
void job_progress(job_t *j, const Sched__Progress *p);
GByteArray *job_pack_progress(const job_t *j);
GByteArray *job_pack_end(const job_t *j, int64_t wall_ms);
occ_t *job_occ(job_t *j, int32_t number);
task_t *job_task(job_t *j, const char *name);
void job_task_name(const task_t *t, char *name, size_t n);
void job_task_done(task_t *t);
int32_t task_fails(const task_t *t);
/* False when that run's failure has been counted before. */
bool task_add_fail(task_t *t, int64_t run);
int64_t job_tail_ms(const sched_t *s, const step_t *st);
queue_t *queue_get(sched_t *s, const char *name);

/* vm.c */
vm_t *vm_get(sched_t *s, const char *id);
void vm_free(void *w);
void vm_take(vm_t *w, const step_t *st, int sign);
bool vm_usable(const sched_t *s, const vm_t *w);
int64_t vm_clock(const vm_t *w, int64_t now_ms);
int64_t vm_deadline(sched_t *s, vm_t *w);
bool vm_lapsed(const sched_t *s, const vm_t *w);
int64_t vm_lease_end(const vm_t *w);
void vm_lease_unknown(const sched_t *s, vm_t *w);
void vm_reborn(sched_t *s, vm_t *w, int64_t born_ms);
void vm_heard(sched_t *s, vm_t *w, int64_t clock_ms);

/* place.c */
vm_t *
place_task(sched_t *s, const step_t *st, const task_t *t, const char *rack);
/* Whether a worker could run a task of the step now, were it approved. */
bool place_could(const sched_t *s, const vm_t *w, const step_t *st);
bool place_gang(sched_t *s, const step_t *st, vm_t **at);

/* advice.c */
GHashTable *advice_calls_new(void);
void advice_step_free(step_t *st);
const char *advice_ticket(const sched_t *s, const step_t *st, const vm_t *w);
bool advice_allows(const sched_t *s, const step_t *st, const vm_t *w);
void advice_rejected(step_t *st, const vm_t *w);
void advice_want(sched_t *s, step_t *st);
void advice_tick(sched_t *s);

/* queue.c */
void queue_add(sched_t *s, step_t *st);
void queue_drop(step_t *st);
void queue_sort(sched_t *s);

/* run.c, start.c, report.c */
run_t *run_new(sched_t *s, const char *name, vm_t *w, int64_t number);
void run_hold_room(run_t *r, task_t *t);
void run_set_state(sched_t *s, run_t *r, run_state_t state);
void run_gone(sched_t *s, run_t *r);
void run_job_begun(sched_t *s, job_t *j);
void run_start(sched_t *s, task_t *t, vm_t *w, int64_t number);
void run_waiting(sched_t *s);
int64_t run_next_number(sched_t *s, const task_t *t);
void run_stop(sched_t *s, run_t *r, const char *why);
void run_pace(sched_t *s, run_t *r, int32_t percent);
void run_order_done(
    sched_t *s, run_t *r, sched_order_result_t res, int64_t clock_ms);
void
run_report(sched_t *s, vm_t *w, const sched_report_t *rep, int64_t asked_ms);
void run_worker_lost(sched_t *s, vm_t *w, const char *why);
void run_retry(sched_t *s, vm_t *w);
void run_free(void *r);
void run_job_end(sched_t *s, job_t *j, Sched__State end);
void run_step_ready(sched_t *s, occ_t *o);

/* harm.c */
int32_t harm_image(sched_t *s, const char *image);
double harm_estimate(const sched_t *s, int32_t serving, int32_t filler);
bool harm_known(const sched_t *s, int32_t serving, int32_t filler);
void
harm_recall(sched_t *s, int32_t serving, int32_t filler, double h, double low);
double harm_of(const sched_t *s, int32_t serving, int32_t filler);
double harm_low(const sched_t *s, int32_t serving);
void harm_undisturbed(sched_t *s, int32_t serving, double headroom);
void harm_learn(sched_t *s, int32_t serving, double lost, const double *use);
void harm_solve(sched_t *s);

/* purge.c */
GHashTable *purge_new(void);
void purge_add(sched_t *s, const char *id, int64_t ended_ms);
void purge_tick(sched_t *s);
GPtrArray *purge_rows(sched_t *s);
void purge_wrote(sched_t *s, bool ok);

/* load.c */
void load_count_waiting(sched_t *s);
void load_log(sched_t *s);

/* recall.c */
GByteArray *recall_pack(sched_t *s);
void recall_row(sched_t *s, const sched_row_t *row);

/* look.c */
void look_tick(sched_t *s, vm_t *w);

/* noise.c */
bool noise_allows(const sched_t *s, const vm_t *w, const step_t *st);
double noise_serving_cost(
    const sched_t *s, const vm_t *w, const step_t *st, int32_t *images);
void noise_openness(sched_t *s);
void noise_take(vm_t *w, const step_t *st, int sign);
void noise_report(sched_t *s, vm_t *w);
void noise_gone(const sched_t *s, const run_t *r);

/* health.c */
void health_done(sched_t *s, const run_t *r);
void health_report(sched_t *s, vm_t *w);

/* flush.c */
void flush_job(sched_t *s, job_t *j, bool urgent);
void flush_worker(sched_t *s, vm_t *w);
void flush_footprint(sched_t *s, const Sched__Footprint *f);
void flush_due(sched_t *s);
void flush_done(sched_t *s, sched_write_result_t r, int64_t version);

/* cell.c */
void cell_tick(sched_t *s);
void cell_lost(sched_t *s, const char *why);
void cell_row(sched_t *s, const sched_row_t *row);
void cell_claimed(sched_t *s, sched_write_result_t r, int64_t version);
void cell_loaded(sched_t *s);
bool cell_extends(const sched_t *s);
void cell_outage(sched_t *s, bool for_all, int64_t last_ms);
bool cell_acts(const sched_t *s);
GByteArray *cell_pack_owner(sched_t *s, bool released);
bool cell_may_start(sched_t *s, const job_t *j);

#endif
