/*
 * Private declarations of the scheduler.  Its files:
 *
 * - sched.c: entry points of sched.h and the periodic tick;
 * - ownership.c: claiming, renewing and losing the cell;
 * - rows.c: rows read from the store;
 * - job.c, progress.c, queue.c: jobs, steps and tasks, their rows, and the order
 *   of waiting steps;
 * - run_time.c: how long tasks are expected to take;
 * - cell_worker.c: workers, their free resources, clocks and leases;
 * - place.c, scan.c, approval.c: choice of a worker for a task;
 * - start.c, run.c: starting and stopping runs of tasks;
 * - poll.c, report.c: polling workers and processing their reports;
 * - headroom.c, interference.c: how much filler tasks slow down serving tasks;
 * - isolation.c, pacing.c: keeping them from doing so;
 * - straggler.c, suspect.c: slow workers and late runs; workers that fail tasks;
 * - starvation.c: late work that is passed over;
 * - customer.c, unseen.c, share.c: customers, their quotas and their shares of
 *   the room;
 * - overload.c, overload_queue.c, overload_refusal.c, admission.c: what is
 *   delayed and what is refused when there is too little room;
 * - crash.c, quarantine.c: tasks that crash their workers;
 * - flush.c, interference_row.c, purge.c: rows written to and removed from the
 *   store;
 * - stats.c: counters and the periodic load event.
 *
 * Terms: a serving task answers requests and has a target for its tail
 * latency.  A filler task is batch work that uses the processor time which
 * serving tasks leave idle.  Headroom is the target of a serving task divided
 * by its measured tail latency: 1 at the target, more when it is faster.
 *
 * Times in _ms are by the scheduler's steady clock unless the name or comment
 * says otherwise; processor amounts in _milli are thousandths of a core.
 */
#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

typedef struct job job_t;
typedef struct step step_t;
typedef struct run run_t;
typedef struct worker worker_t;
typedef struct interference interference_t;
typedef struct customer customer_t;
typedef struct overload overload_t;

#define IMAGES_MAX	      64   /* images whose interference is learned */
#define RUN_NUMBERS_PER_OWNER 1000 /* for the runs of a task by one owner */

/* A slowed start may bring what a worker's fillers declare to so many times its
 * processors. */
#define PLACE_FILLER_CPU_TIMES 2

#define MB_BYTES ((int64_t)1024 * 1024)

/* Rows of the footprint; each is below 64 KiB with 29,000 workers. */
#define FOOTPRINT_ROWS 64

/* A job counts as late up to so many times the time allowed for it. */
#define LATE_LIMIT_TIMES 3

/* Runs the statement that follows for each image i of a set. */
#define FOREACH_IMAGE(i, set) \
	for (uint64_t left_ = (set); \
	     left_ != 0 && ((i) = __builtin_ctzll(left_), true); \
	     left_ &= left_ - 1)
/* The set with only this image. */
#define IMAGE_BIT(i) ((uint64_t)1 << (i))

/* What is known of the load of a serving step; see interference.c. */
typedef struct {
	headroom_t headroom; /* without fillers; updated_ms 0: not known yet */
	/* Mean share of a worker that filler images use beside its tasks. */
	double mean_use[IMAGES_MAX];
	uint64_t fillers; /* set of images with a mean use */
	int64_t sampled_ms;
} serving_load_t;

typedef enum { TASK_WAITING, TASK_RUNNING, TASK_DONE } task_state_t;

/* So shortly after its start a crash may be a task's doing. */
#define CRASH_SOON_MS 1500

/* Crashes of workers that ran a task; see crash.c. */
typedef struct {
	/* int64_t run numbers, no duplicates; may be empty. */
	GArray *runs;
	/* Of the last crash that was counted: it came soon after the start, and
	 * the start was acknowledged. */
	bool soon, start_acked;
	guint unproved; /* how many are not proved: the worker may be cut off */
	worker_t *reserved; /* for its next run, if reserved_for says so */
	/* The run in quarantine, stored by that write of the job's row; 0: none.
	 * It is among runs. */
	int64_t trial_run;
	uint64_t trial_write;
} crashes_t;

typedef struct {
	step_t *step;
	int32_t index;
	task_state_t state;
	GArray *failed_runs; /* int64_t run numbers, no duplicates; or NULL */
	int64_t last_run_number; /* highest run number used so far */
	char *checkpoint;	 /* latest one reported, or NULL */
	run_t *run;		 /* current run, or NULL */
	run_t *speculative_run;	 /* second run of a straggling task, or NULL */
	/* Interned id of the worker that the task last failed on, crashed or was moved
	 * away from, which placement avoids; or NULL. */
	const char *avoid_worker;
	int64_t not_before_ms; /* not started before this time */
	crashes_t *crashes;    /* or NULL */
} task_t;

/* One occurrence of a job; a job that does not repeat has exactly one. */
typedef struct {
	job_t *job;
	int32_t number;
	int64_t due_wall_ms; /* when its steps may start */
	int32_t steps_done;
	step_t *steps;
	/* Late for the sake of others, by the last plan; see overload_queue.c. */
	bool deferred;
	double running_work; /* of its runs, at the last plan */
} occurrence_t;

/* A step of one occurrence: a set of like tasks. */
struct step {
	occurrence_t *occ;
	int32_t number;
	const Sched__Step *def;
	task_t *tasks;
	int32_t ntasks;
	int32_t nwaiting; /* tasks in TASK_WAITING */
	int32_t ndone;	  /* tasks in TASK_DONE */
	/* Completed runs that show how long a task takes, and their time. */
	int32_t done_runs;
	int64_t done_runs_ms;
	bool ready; /* all steps that it depends on are done */
	/* A task of a step that it depends on was still running when this owner
	 * took over, so that no earlier owner has started tasks of it. */
	bool not_started_before;
	int32_t image; /* index of its image, or -1 */
	/* Expected time of the longest chain of steps that starts here. */
	int64_t path_ms;
	GSequenceIter *queue_iter; /* position in ready_steps, or NULL */
	uint64_t unplaced_round;   /* round of scan.c without a worker for it */
	uint64_t unmovable_round;  /* the same for a task that runs */
	/* In unplaced_round, only isolation.c kept it from some worker. */
	bool isolated;
	bool quota_held; /* in the last pass, by its customer's quota */
	/* Wall clock: the latest start that can still meet the job's target. */
	int64_t latest_start_ms;
	bool misses_target;    /* latest_start_ms has passed */
	bool starved;	       /* starvation_is_starved() at the last sort */
	bool past_late_limit;  /* too late even to count as a late job */
	int64_t sort_key_ms;   /* lower goes first within a tier and priority */
	char *gang_checkpoint; /* latest one that a task of a gang reported */
	GHashTable *approvals; /* worker id -> approval_t; or NULL */
	uint64_t approval_request_id; /* approval request in flight; 0: none */
	int64_t approval_retry_ms;    /* no approval request before this time */
	serving_load_t *load; /* of a serving step of a known image; or NULL */
};

typedef enum {
	JOB_OPEN,
	JOB_ENDING, /* end state decided; its runs are being stopped */
	JOB_ENDED   /* end state stored */
} job_stage_t;

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

/* What the last plan says of the jobs of a queue; see overload_queue.c. */
typedef struct {
	int32_t planned, deferred, hopeless; /* jobs */
	int32_t fresh;	      /* deferred ones that have just come */
	int32_t fillers;      /* those of filler work */
	double deferred_work; /* in milli x ms */
	int32_t priority;     /* of its jobs */
	/* Since when none of its jobs was planned to be on time; 0: some was. */
	int64_t none_planned_since_ms;
	bool logged; /* the last load event said that jobs are deferred */
} queue_plan_t;

/* A queue's settings and what has been learned of its jobs. */
typedef struct {
	const char *name;
	const char *service;
	int32_t priority;
	int32_t max_attempts;
	bool configured;      /* in the configuration now in force */
	bool needs_approval;  /* approval service must allow placements */
	int64_t run_time_pct; /* average real run time / declared run time */
	run_time_t run_time;
	double mean_work_milli_ms; /* of its jobs; moving average */
	int32_t waiting_jobs;	   /* open jobs that have not started */
	queue_plan_t plan;
} queue_t;

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
	/* Steps held by the quota; see customer.c. */
	const step_t *first_held; /* in the last pass.  Never dereferenced. */
	int64_t first_held_ms;	  /* since when it is the first */
	uint64_t held_pass;	  /* last pass that held a step */
	int64_t held_ms;	  /* when that was; 0: never */
	bool drains;		  /* its other steps wait for first_held */
	bool held;		  /* as last logged */
	customer_share_t share;
};

struct job {
	sched_t *sched;
	char id[SCHED_JOB_ID_BYTES + 1];
	Sched__Job *def;
	queue_t *queue;	      /* lives as long as the scheduler */
	customer_t *customer; /* the same; NULL: it has none */
	/* Interned: service whose workers run the job, by the queue's current
	 * settings. */
	const char *service;
	int32_t priority; /* lower goes first */
	int32_t max_attempts;
	GPtrArray *occs; /* of occurrence_t */
	job_stage_t stage;
	Sched__State end_state; /* valid unless the job is open */
	bool needs_approval;	/* its queue requires approval of placements */
	bool cancelled;
	/* Among jobs of its tier and priority, as of that update; see share.c. */
	int32_t rank;
	uint64_t ranked_update;
	bool over_rate;	 /* accepted beyond its customer's rate */
	bool started;	 /* a task runs or has run */
	bool dirty;	 /* has progress that is not written yet */
	bool row_stored; /* it has a progress row */
	/* Writes of that row so far, and the last one that was stored. */
	uint64_t rows_packed, rows_stored;
	/* An earlier owner may have started tasks of it. */
	bool maybe_started_before;
	int32_t nruns; /* runs that hold resources on workers */
	/* When its last run that was seen ended or, without one, its first step
	 * became ready. */
	int64_t idle_since_ms;
	int64_t allowed_ms; /* time allowed from when an occurrence is due */
	/* Declared work: the sum of cpu_milli x estimate_ms over all tasks. */
	double work_milli_ms;
	int32_t occs_done;
	int32_t occs_made_ready; /* occurrences whose due time has come */
};

typedef enum {
	RUN_STARTING, /* the start order is not acknowledged yet */
	RUN_RUNNING,
	RUN_STOPPING /* a stop is to be ordered or has been ordered */
} run_state_t;

#define PACE_UNKNOWN (-1)

/* A run of a task on a worker. */
struct run {
	uint64_t id;
	char name[64]; /* of the task: JOB.OCCURRENCE.STEP.INDEX */
	task_t *task;  /* NULL when the job is not known */
	job_t *job;
	worker_t *worker;
	int64_t number; /* increases with each run of the task */
	run_state_t state;
	bool holds_resources; /* they are counted as used at the worker */
	bool order_pending;   /* an order has been sent and not been answered */
	sched_order_kind_t last_order;
	bool unwanted; /* to be stopped and removed once proved absent */
	int64_t state_since_ms;
	int64_t ordered_ms; /* its start, by this owner; 0: by another */
	/* Its start order got no answer; 0: it did, or a report has told since. */
	int64_t in_doubt_ms;
	int64_t stop_acked_ms; /* the worker acknowledged a stop; 0: not yet */
	int64_t stop_retry_ms; /* no stop order is sent before this time */
	int32_t percent;       /* progress as last reported */
	/* When the start was acknowledged or, for a run that this owner did not
	 * start, first reported (0: neither), and its progress then: 0, or at
	 * least 1 for a run first seen in a report, which may be older. */
	int64_t first_seen_ms;
	int32_t first_seen_percent;
	int64_t metric; /* as last reported; see sched_running_t */
	/* A serving task: its first measured headroom, and the last one that
	 * the model has learned from. */
	int64_t first_measured_ms, measured_ms;
	double measured;
	/* When its tail latency rose above the target; 0: it is within. */
	int64_t over_target_since_ms;
	uint64_t last_report; /* number of the last report that listed it */
	int32_t pace_pct;     /* at the worker, or PACE_UNKNOWN */
	int32_t wanted_pace_pct;
	int32_t sent_pace_pct; /* of the last pace order */
	int64_t pace_retry_ms; /* no pace order is sent before */
	/* Until then, an earlier pace order may yet be carried out. */
	int64_t pace_doubt_until_ms;
	bool was_paced;		 /* a pace order has been sent */
	int32_t counted_percent; /* progress that the throughput includes */
	/* Another process with the same id answers for its worker, of which the
	 * one before is known to have been up with the run for up_ms. */
	bool worker_restarted;
	int64_t up_ms;
};

/* This owner's view of a worker's clock and of the leases granted to it. */
typedef struct {
	int64_t worker_clock_ms; /* the worker's clock at its last answer */
	int64_t answered_ms; /* our clock at that answer; 0: clock not known */
	int64_t deadline_ms; /* latest deadline sent; worker's clock */
	/* When one was last sent, perhaps by another owner; our clock. */
	int64_t deadline_sent_ms;
	/* No lease counts as expired before then; our clock. */
	int64_t no_expiry_before_ms;
} lease_t;

struct worker {
	const char *id; /* interned */
	/* What placement looks at. */
	const char *service, *zone, *rack; /* interned */
	GPtrArray *labels;		   /* interned */
	/* listed: in the platform's list; seen_in_list: since the last whole
	 * read of the list. */
	bool listed, seen_in_list, draining;
	bool zone_evacuated;
	bool footprint_stored; /* a footprint row with this worker is stored */
	bool has_answered;     /* a poll with this owner's token */
	bool ended_cut;	       /* its last report did not list all ended runs */
	bool silent;	       /* several polls in a row got no answer */
	bool slow;	       /* its tasks make little progress */
	bool suspect;	       /* it is tried with one task at a time */
	bool changed;	       /* it is in s->scan.changed */
	bool slack_stale;      /* slack must be updated before it is used */
	int32_t missed_polls;  /* without an answer, in a row */
	int32_t gpu, used_gpu;
	int64_t cpu_milli, mem_mb;
	/* Resources used.  used_cpu_milli excludes fillers; serving_cpu_milli
	 * is the part of it held by serving tasks. */
	int64_t used_cpu_milli, used_mem_mb, filler_cpu_milli,
	    serving_cpu_milli;
	int64_t backoff_until_ms; /* no task is started there before */
	/* When its leases end by the store's clock, as last put in the
	 * footprint; 0: they are being extended. */
	int64_t lease_end_store_ms;
	uint64_t serving_mask, filler_mask; /* images that have tasks there */
	int32_t nserving;		    /* serving tasks on it */
	int32_t nunknown;		    /* runs whose needs are not known */
	/* Share of the filler images that may run beside its serving tasks. */
	int32_t compatible_filler_pct;
	int32_t failures_in_row; /* that the jobs do not explain; suspect.c */
	run_t *probe;		/* if suspect: the run that tries it, or NULL */
	int64_t probe_after_ms; /* if suspect: no run starts before */
	/* The run in quarantine, beside which nothing is started; or NULL. */
	run_t *quarantined_run;
	bool
	    zone_down; /* most of its data centre, as it last seemed to crash */
	/* Nothing but this task is started until then.  Never dereferenced. */
	const task_t *reserved_for;
	int64_t reserved_until_ms;
	GHashTable *runs; /* task name -> run_t */
	/* The rest. */
	/* Runs that were lost with its lease at lost_ms (lost_run_t of crash.c),
	 * while it is open if it has crashed; or NULL. */
	GArray *lost_runs;
	int64_t lost_ms;
	char *address;	    /* "" until known */
	int64_t started_ms; /* start of its process, since 1970 */
	lease_t lease;
	/* Polls. */
	uint64_t poll_id;     /* poll in flight; 0: none */
	int64_t poll_sent_ms; /* when the last poll was sent */
	int64_t next_poll_ms;
	int64_t reported_ms;	  /* when its process last sent a report */
	bool poll_soon;		  /* it is in s->polls_soon */
	bool poll_without_wait;	  /* next poll returns at once */
	bool poll_unanswered;	  /* one was given up since the last answer */
	int64_t ended_seq;	  /* highest sequence number processed */
	int64_t ended_stored_seq; /* up to here the results are stored */
	/* The flush after which ended_flush_seq is stored too; 0: none. */
	uint64_t ended_flush;
	int64_t ended_flush_seq;
	/* The flush that adds the worker to the footprint; 0: it is not in. */
	uint64_t footprint_flush;
	int32_t footprint_row; /* that has the worker */
	/* Speed and failures. */
	/* Decaying sums over completed runs: progress due and made. */
	double history_due_pct, history_made_pct;
	double relative_speed; /* progress made, as a share of that due */
	char last_failed_job[SCHED_JOB_ID_BYTES + 1]; /* "": none */
	int32_t fillers_pace_pct; /* 100: no filler is slowed; else 0 */
	int64_t filler_moved_ms;  /* a filler was last moved away */
	/* When a tail latency had last been over its target for so long that
	 * the fillers were stopped (pacing.c); 0: never. */
	int64_t target_exceeded_ms;
	int64_t filler_cpu_by_image[IMAGES_MAX]; /* declared, in milli */
	/* Processor milli of fillers removed lately, as of filler_ended_ms. */
	double ended_filler_cpu_by_image[IMAGES_MAX];
	int64_t filler_ended_ms;
	int32_t serving_by_image[IMAGES_MAX]; /* serving tasks */
	/* By serving image on it: headroom that its tasks can lose yet. */
	double slack[IMAGES_MAX];
};

typedef enum {
	CELL_FOLLOWING, /* another entry owns the cell, or none does */
	CELL_CLAIMING,	/* our conditional write is in flight */
	CELL_LOADING,	/* claimed; its rows are being read */
	CELL_OWNED
} cell_state_t;

/* This entry's view of the cell's ownership. */
typedef struct {
	cell_state_t state;
	int64_t version; /* highest known version of the owner's row */
	Sched__Owner *row;
	/* Since when reads have shown the row unchanged.  Starts anew after a
	 * pause between reads, a claim by this entry or a loss of the cell. */
	int64_t row_changed_ms;
	int64_t row_read_ms;	   /* when the row was last read */
	int64_t row_written_ms;	   /* when a read first showed its version */
	int64_t write_sent_ms;	   /* when the last claim or flush was sent */
	int64_t token;		   /* fencing token: version of our claim */
	int64_t epoch;		   /* claims of the cell so far */
	int64_t renewals;	   /* writes of the row since our claim */
	int64_t confirmed_ms;	   /* when the last successful write was sent */
	int64_t old_leases_end_ms; /* leases of earlier owners end before */
	bool footprint_bad;	   /* earlier owners may have used any worker */
	/* No run of an earlier owner can be unknown to this owner. */
	bool workers_accounted;
	bool paused;	      /* see sched_process_paused */
	bool releasing;	      /* a graceful stop has begun */
	bool row_read;	      /* at least once */
	bool had_predecessor; /* an earlier owner may have started runs */
	/* Earlier owners stored a job's row before they started tasks of it. */
	bool rows_before_starts;
	bool predecessor_released; /* that owner released the cell */
	bool forget_pending;   /* next tick discards what only an owner needs */
	bool release_sent;     /* the last row sent releases the cell */
	const char *successor; /* interned; NULL or "": any entry */
	int32_t claim_delay_ms; /* see sched_set_claim_delay */
	/* The owner goes on without renewals, as the store answers no entry. */
	bool store_outage;
	/* All feeds were current when the outage began. */
	bool outage_may_start;
} cell_t;

/* Which workers a pass over the queue looks at; see scan.c. */
typedef struct {
	uint64_t round;	    /* the number of the present round */
	uint64_t pass;	    /* the number of the present or last pass */
	GPtrArray *changed; /* of worker_t */
	guint next;	    /* index of the first worker to look at */
	/* Values of stats.places when the round and the pass began. */
	uint64_t round_looks, pass_looks;
	int32_t resume_at; /* the steps before were offered in the last round */
	int32_t stopped_at; /* position of the first that was not; 0: none */
} scan_t;

struct sched {
	sched_opts_t opts;
	int64_t now_ms, wall_ms; /* as handed to the current call */
	uint64_t last_id;	 /* of a run, poll or approval request */
	uint64_t report_number;	 /* reports processed so far */
	cell_t cell;
	GHashTable *jobs;      /* id -> job_t */
	GHashTable *queues;    /* name -> queue_t */
	GHashTable *customers; /* name -> customer_t */
	bool unseen_stale;     /* unseen.c is to count before the next pass */
	bool unseen_counted;   /* some customer may have unseen runs */
	guint nunknown;	       /* runs whose job is not known */
	customer_share_t unowned; /* of all jobs without a customer */
	share_totals_t share_totals;
	double mean_weight; /* of the active customers; 0: none was yet */
	uint64_t share_updates;
	admission_t admission;
	GHashTable *workers; /* id -> worker_t */
	GPtrArray *worker_list;
	GHashTable *runs;   /* id -> run_t */
	GHashTable *images; /* name -> index */
	/* By serving image; NULL until something is learned of it. */
	interference_t *interference[IMAGES_MAX];
	uint64_t filler_images; /* set of images of filler tasks */
	int64_t filler_job_ms;	/* when a job with filler tasks last came */
	/* By serving image: the filler images that may run beside it. */
	uint64_t compatible_fillers[IMAGES_MAX];
	GHashTable *approval_requests; /* in flight, by id */
	GHashTable *evacuated_zones;   /* set of interned names */
	/* While loading: id -> Sched__Progress; NULL for a row that can't be
	 * read, which stays until the cell is lost. */
	GHashTable *loaded_progress;
	GHashTable *ended_jobs; /* id -> ended_job_t of purge.c */
	/* While loading: ids of jobs whose runs may be being stopped. */
	GHashTable *stopped_jobs;
	GSequence *ready_steps;	   /* step_t with waiting tasks, sorted */
	GHashTable *dirty_jobs;	   /* set of job_t */
	GPtrArray *recurring_jobs; /* jobs that repeat */
	/* The flush in flight. */
	bool write_pending;
	uint64_t flush_number, flushed_number; /* last begun, last stored */
	int64_t flush_begun_ms;
	bool flush_partial;	  /* some dirty jobs did not fit */
	GPtrArray *flushing_jobs; /* jobs that it writes */
	/* Since the last pass over waiting steps, something has changed that
	 * may let a task start. */
	bool start_pass_due;
	scan_t scan;
	GPtrArray *polls_soon; /* of worker_t, whose polls are due */
	int64_t all_polled_ms; /* when all workers were last looked at */
	/* When ready_steps was last sorted and the load event last logged. */
	int64_t sorted_ms, stats_logged_ms;
	int64_t purged_ms;	 /* when the last round of removals began */
	bool write_removes_rows; /* the flush in flight removes progress rows */
	int64_t interference_packed_ms; /* last write of the interference row */
	int64_t store_clock_offset_ms;	/* store's clock less ours */
	/* Up to when all changes of a feed are known. */
	int64_t feed_read_ms[SCHED_NFEEDS];
	overload_t *overload;
	sched_stats_t stats;
};

/* Reports an event; the arguments after subject are a printf format. */
#define LOG_EVENT(s, n, subject, ...) \
	(s)->opts.port.event( \
	    (s)->opts.ctx, (n), (subject), g_strdup_printf(__VA_ARGS__))

/* job.c */
job_t *job_new(sched_t *s, const char *id, Sched__Job *def);
void job_free(void *j);
occurrence_t *job_occurrence(job_t *j, int32_t number);
task_t *job_find_task(job_t *j, const char *name);
task_t *job_lookup_task(sched_t *s, const char *name);
void job_task_name(const task_t *t, char *name, size_t n);
void job_mark_task_done(task_t *t);
int32_t task_failed_runs(const task_t *t);
bool task_add_failed_run(task_t *t, int64_t run);
int64_t job_task_ms(const step_t *st);
void job_update_paths(occurrence_t *o);
queue_t *queue_get(sched_t *s, const char *name);

/* progress.c */
void progress_apply(job_t *j, const Sched__Progress *p);
GByteArray *progress_pack(const job_t *j);
GByteArray *progress_pack_ended(const job_t *j, int64_t wall_ms);

/* customer.c */
customer_t *customer_get(sched_t *s, const char *name);
void customer_job_added(sched_t *s, job_t *j);
ts_res_t customer_task_demand(const Sched__Step *d);
bool customer_allows_start(const step_t *st);
bool customer_allows_gang(const step_t *st);
bool customer_allows_step(const step_t *st);
bool customer_allows_move(const run_t *r);
bool customer_holds(sched_t *s, step_t *st);
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

/* overload_queue.c */
overload_t *overload_new(void);
void overload_free(overload_t *o);
void overload_update(sched_t *s);
void overload_run_removed(sched_t *s, const run_t *r);
void overload_log(sched_t *s);
int64_t overload_deferred_jobs(const sched_t *s);

/* overload_refusal.c */
void overload_add_refusals(sched_t *s, GPtrArray *refusals);
bool overload_is_hopeless(const Sched__Refusal *r, const Sched__Job *job);

/* admission.c */
void admission_update(sched_t *s);
void admission_forget(sched_t *s);
Sched__Refusal **admission_pack(sched_t *s, size_t *n);

/* cell_worker.c */
worker_t *cell_worker_get(sched_t *s, const char *id);
void cell_worker_free(void *w);
void cell_worker_count_task(worker_t *w, const step_t *st, int sign);
bool cell_worker_usable(const sched_t *s, const worker_t *w);
int64_t cell_worker_min_clock(const worker_t *w, int64_t now_ms);
int64_t cell_worker_extend_lease(sched_t *s, worker_t *w);
bool cell_worker_lease_expired(const sched_t *s, const worker_t *w);
int64_t cell_worker_lease_end(const worker_t *w);
void cell_worker_assume_longest_lease(const sched_t *s, worker_t *w);
void cell_worker_restarted(sched_t *s, worker_t *w, int64_t started_ms);
void cell_worker_clock_read(sched_t *s, worker_t *w, int64_t clock_ms);

/* scan.c */
void scan_worker_changed(sched_t *s, worker_t *w);
void scan_begin_round(sched_t *s);
void scan_begin_pass(sched_t *s);
bool scan_offers(sched_t *s, const step_t *st, int32_t pos);
void scan_set_searched(const sched_t *s, step_t *st);
bool scan_has_searched(const sched_t *s, const step_t *st);
void scan_end_pass(sched_t *s, int32_t pos, bool complete);
const GPtrArray *scan_workers(const sched_t *s, const step_t *st);

/* place.c */
worker_t *place_task(sched_t *s, step_t *st, const task_t *t);
worker_t *place_elsewhere(sched_t *s, const run_t *r);
worker_t *place_slowed(sched_t *s, step_t *st, const task_t *t);
worker_t *
place_alone(sched_t *s, step_t *st, const task_t *t, worker_t *reserved);
bool place_possible(const sched_t *s, worker_t *w, const step_t *st);
bool place_fits_empty(const sched_t *s, const worker_t *w, const step_t *st);
bool place_gang(sched_t *s, const step_t *st, worker_t **at);

/* approval.c */
GHashTable *approval_requests_new(void);
void approval_step_free(step_t *st);
const char *
approval_ticket(const sched_t *s, const step_t *st, const worker_t *w);
bool approval_allows(const sched_t *s, const step_t *st, const worker_t *w);
void approval_ticket_rejected(step_t *st, const worker_t *w);
void approval_request_if_needed(sched_t *s, step_t *st);
void approval_expire_requests(sched_t *s);

/* queue.c */
void queue_add_step(sched_t *s, step_t *st);
void queue_remove_step(step_t *st);
void queue_resort(sched_t *s);
double queue_job_value(const job_t *j);

/* run.c, start.c, report.c */
run_t *run_new(sched_t *s, const char *name, worker_t *w, int64_t number);
void run_reserve_resources(run_t *r, task_t *t);
void run_set_state(sched_t *s, run_t *r, run_state_t state);
void run_remove(sched_t *s, run_t *r);
void run_mark_job_started(sched_t *s, job_t *j);
bool run_start(sched_t *s, task_t *t, worker_t *w, int64_t number);
void start_waiting_tasks(sched_t *s);
int64_t start_run_number(sched_t *s, const task_t *t);
void run_stop(sched_t *s, run_t *r, const char *why);
void run_discard(sched_t *s, run_t *r, const char *why);
void run_set_pace(sched_t *s, run_t *r, int32_t percent);
void run_order_done(
    sched_t *s, run_t *r, sched_order_result_t res, int64_t clock_ms);
void run_listed(sched_t *s, run_t *r);
void run_stop_in_doubt(sched_t *s, run_t *r);
void report_job_known(sched_t *s, job_t *j);
void report_apply(sched_t *s, worker_t *w, const sched_report_t *report,
    int64_t poll_sent_ms);
void run_worker_lost(sched_t *s, worker_t *w, const char *why);
void run_resend_orders(sched_t *s, worker_t *w);
void run_free(void *r);
void run_end_job(sched_t *s, job_t *j, Sched__State end);
void run_add_ready_steps(sched_t *s, occurrence_t *o);

/* interference.c */
int32_t interference_image(sched_t *s, const char *image);
bool interference_known(const sched_t *s, int32_t serving, int32_t filler);
void interference_restore(sched_t *s, int32_t serving, int32_t filler,
    double coefficient, double min_headroom);
double
interference_coefficient(const sched_t *s, int32_t serving, int32_t filler);
double interference_cautious(const sched_t *s, int32_t serving, int32_t filler);
bool interference_may_try(const sched_t *s, int32_t serving, int32_t filler);
void interference_tried(sched_t *s, int32_t serving, int32_t filler);
double interference_min_headroom(const sched_t *s, int32_t serving);
bool interference_learn(sched_t *s, int32_t serving, serving_load_t *l,
    headroom_sample_t *x, uint64_t fillers, const double *use);

/* purge.c */
GHashTable *purge_table_new(void);
void purge_add_ended(sched_t *s, const char *id, int64_t ended_wall_ms);
void purge_tick(sched_t *s);
GPtrArray *purge_take_rows(sched_t *s);
void purge_write_done(sched_t *s, bool ok);

/* stats.c */
void stats_count_waiting_jobs(sched_t *s);
void stats_log(sched_t *s);

/* interference_row.c */
GByteArray *interference_row_pack(sched_t *s);
void interference_row_read(sched_t *s, const sched_row_t *row);

/* poll.c */
void poll_soon(sched_t *s, worker_t *w);
void poll_abandon(sched_t *s, worker_t *w);
void poll_tick(sched_t *s);

/* isolation.c */
bool isolation_allows(const sched_t *s, worker_t *w, const step_t *st);
double isolation_margin(const sched_t *s, worker_t *w, const step_t *st);
void isolation_refresh(sched_t *s);
double isolation_serving_cost(const sched_t *s, const worker_t *w,
    const step_t *st, int32_t *other_images);
void isolation_update_compatibility(sched_t *s);
void isolation_count_task(worker_t *w, const step_t *st, int sign);
double isolation_filler_use(const worker_t *w, int32_t image);
bool isolation_is_serving(const run_t *r);
void isolation_update_slack(const sched_t *s, worker_t *w);

/* pacing.c */
void pacing_report(sched_t *s, worker_t *w);
void pacing_run_removed(const sched_t *s, const run_t *r);

/* suspect.c */
void suspect_run_failed(sched_t *s, worker_t *w, const task_t *t);
void suspect_run_done(sched_t *s, worker_t *w);
void suspect_forget(worker_t *w);
void suspect_run_started(run_t *r);
void suspect_run_removed(const run_t *r);
bool suspect_allows_start(const sched_t *s, const worker_t *w);

/* starvation.c */
bool starvation_is_starved(const sched_t *s, const step_t *st);
bool starvation_may_slow(const sched_t *s, const step_t *st);
void starvation_job_idle(job_t *j);
bool starvation_run_start(
    sched_t *s, const step_t *st, task_t *t, worker_t *w, int64_t number);
bool starvation_start(sched_t *s, step_t *st);

/* crash.c */
void crash_add(task_t *t, int64_t run, bool soon);
void crash_forget(task_t *t);
int64_t crash_known_up_ms(const run_t *r);
void crash_take_back(sched_t *s, task_t *t, int64_t run);
void crash_worker_lost(sched_t *s, worker_t *w);
void crash_worker_replaced(sched_t *s, worker_t *w);
void crash_worker_restarted(sched_t *s, worker_t *w);
void crash_run_absent(sched_t *s, run_t *r);
void crash_run_replaced(sched_t *s, run_t *r);
void crash_job_loaded(sched_t *s, job_t *j);
void crash_worker_answered(sched_t *s, worker_t *w);
bool crash_proof_wanted(const sched_t *s, const worker_t *w);
void crash_forget_worker(worker_t *w);
void crash_run_removed(sched_t *s, const run_t *r);
void crash_run_listed(sched_t *s, task_t *t, int64_t run);
bool crash_is_suspect(const task_t *t);

/* quarantine.c */
void quarantine_report(sched_t *s, worker_t *w);
bool quarantine_polls_often(const sched_t *s, const worker_t *w);
bool
quarantine_allows_start(const sched_t *s, const worker_t *w, const task_t *t);
bool quarantine_start(sched_t *s, step_t *st, task_t *t);

/* straggler.c */
void straggler_run_done(sched_t *s, const run_t *r);
void straggler_report(sched_t *s, worker_t *w);

/* flush.c */
void flush_mark_job(sched_t *s, job_t *j);
void flush_acknowledge_ended(sched_t *s, worker_t *w);
bool flush_footprint_read(sched_t *s, const Sched__Footprint *f);
void flush_if_due(sched_t *s);
void flush_done(sched_t *s, sched_write_result_t r, int64_t version);

/* ownership.c */
void ownership_tick(sched_t *s);
void ownership_lost(sched_t *s, const char *why);
void ownership_row_read(sched_t *s, const sched_row_t *row);
void ownership_claim_done(sched_t *s, sched_write_result_t r, int64_t version);
void ownership_load_done(sched_t *s);
bool ownership_may_extend_leases(const sched_t *s);
void ownership_set_store_outage(sched_t *s, bool for_all, int64_t last_ms);
bool ownership_may_start_tasks(const sched_t *s);
GByteArray *ownership_pack_row(sched_t *s, bool released);
bool ownership_worker_unseen(const sched_t *s, const worker_t *w);
bool ownership_may_start_step(const sched_t *s, const step_t *st);

#endif
