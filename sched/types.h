/*
 * Private types of the scheduler: jobs, steps, tasks, runs, workers and the state
 * of the cell.  internal.h explains the terms.
 *
 * Include what sched.h needs, "tanagerspool.h", "sched.h", "image_set.h",
 * "headroom.h" and "run_time.h" first.
 */
#ifndef SCHED_TYPES_H
#define SCHED_TYPES_H

typedef struct number_set number_set_t;
typedef struct row_batch row_batch_t;
typedef struct job job_t;
typedef struct step step_t;
typedef struct run run_t;
typedef struct worker worker_t;
typedef struct interference interference_t;
typedef struct customer customer_t;
typedef struct overload overload_t;

#define JOB_MAX_STEPS	      200 /* of one job */
#define JOB_MAX_REPEATS	      1000000
#define RUN_NUMBERS_PER_OWNER 1000 /* for the runs of a task by one owner */

/* Slowed starts may bring what a worker's fillers declare to so many times its
 * processors, the most that starvation_cpu_times returns. */
#define PLACE_FILLER_CPU_TIMES 8

#define MB_BYTES ((int64_t)1024 * 1024)

/* Rows of the footprint; each has room for 200 workers or more. */
#define FOOTPRINT_ROWS 64

/* A job counts as late up to so many times the time allowed for it. */
#define LATE_LIMIT_TIMES 3

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
#define CRASH_SOON_MS	 1500
#define CRASH_AT_ONCE_MS 250 /* most come so shortly after it */

/* Crashes of workers that ran a task; see crash.c. */
typedef struct {
	/* int64_t run numbers, no duplicates; may be empty. */
	GArray *runs;
	/* Of the last crash that was counted: it came soon after the start, and
	 * the start was acknowledged. */
	bool soon, start_acked;
	guint unproved;	    /* the first ones: the worker may be cut off */
	worker_t *reserved; /* for its next run, if reserved_for says so */
	/* The run in quarantine, stored by that write of the job's row; 0: none.
	 * It is among runs. */
	int64_t trial_run;
	uint64_t trial_write;
} crashes_t;

/* Failures of a task or job since it was sound; see blame.c. */
typedef struct {
	GPtrArray *workers; /* interned ids, no duplicates; or NULL */
	int32_t failures;
} blame_t;

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
	/* Of a lasting task: of the last workers on which it failed soon, the latest at
	 * the end; or NULL.  See avoid.c. */
	GPtrArray *fails_on;
	worker_t *nominated;	/* for its next run, or NULL; see nominate.c */
	int64_t nominated_ms;	/* since then */
	uint64_t searched_turn; /* a worker to nominate was searched for */
	int64_t not_before_ms;	/* not started before this time */
	/* A lasting task: when its last run ended; 0: it has one, or had none. */
	int64_t down_since_ms;
	bool down_by_stop; /* this owner had stopped that run */
	/* This owner has seen a run of it at work, so that earlier owners left no other. */
	bool seen_at_work;
	crashes_t *crashes; /* or NULL */
	blame_t blame;
} task_t;

/* One occurrence of a job; a job that does not repeat has exactly one. */
typedef struct {
	job_t *job;
	int32_t number;
	int64_t due_wall_ms; /* when its steps may start */
	int32_t steps_done;
	step_t *steps;
	int32_t nruns; /* runs of its tasks that hold resources */
	/* All its tasks are done: as that write of the job's row tells. */
	uint64_t done_write;
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
	int32_t ndown;	  /* of these: lasting ones that had a run */
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
	uint64_t unnominated_turn; /* no worker will have room for it */
	uint64_t kept_round;	   /* round in which workers were kept for it */
	uint64_t reserved_round;   /* the same, by reservation.c */
	int64_t reserve_after_ms;  /* which tries it again then */
	int64_t
	    reserve_retry_ms; /* the time until that; 0: not tried in vain */
	/* Since when it is in the queue and no task of it has started. */
	int64_t passed_over_since_ms;
	/* Since when a task of it has waited for a worker; 0: not. */
	int64_t unplaced_since_ms;
	/* Workers with room for a task that are kept for others, when it was last
	 * offered all of them in vain; less those taken since. */
	int32_t kept_with_room;
	/* In unplaced_round, only isolation.c kept it from some worker. */
	bool isolated;
	bool quota_held; /* in the last pass, by its customer's quota */
	/* As of that round, see suspect_limit.c. */
	bool too_many_suspects;
	uint64_t suspects_round;
	/* Why its next task did not start when the step was last offered workers,
	 * and when that was (0: never); see wait_reason.c. */
	sched_wait_reason_t wait_reason;
	int64_t offered_ms;
	/* Wall clock: the latest start that can still meet the job's target. */
	int64_t latest_start_ms;
	bool misses_target;    /* latest_start_ms has passed */
	bool starved;	       /* starvation_is_starved() at the last sort */
	bool late_begun;       /* see queue.c */
	bool past_late_limit;  /* too late even to count as a late job */
	int64_t sort_key_ms;   /* lower goes first within a tier and priority */
	char *gang_checkpoint; /* latest one that a task of a gang reported */
	GHashTable *approvals; /* worker id -> approval_t; or NULL */
	bool wants_approval;   /* among those that wait for a call */
	uint64_t approval_round; /* in which there was nothing to ask for */
	serving_load_t *load; /* of a serving step of a known image; or NULL */
};

typedef struct approval_call approval_call_t;

/* Calls to the approval service; see approval_call.c. */
typedef struct {
	GPtrArray *waiting; /* of step_t, the longest wait first */
	GPtrArray *calls;   /* of approval_call_t, in flight */
	step_t *gathering; /* a gang that goes on with its next call; or NULL */
	int32_t gather_calls; /* that it has had in a row */
	bool longest_next;    /* the next turn is for the longest wait */
	int64_t answered_ms;  /* the last call */
	int64_t retry_ms;     /* no call before this time */
	int64_t latency_ms;   /* of the last answer */
	guint timeouts;	      /* calls that had none since */
} approval_calls_t;

typedef enum {
	JOB_OPEN,
	JOB_ENDING, /* end state decided; its runs are being stopped */
	JOB_ENDED   /* end state stored */
} job_stage_t;

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
	bool configured;     /* in the configuration now in force */
	bool needs_approval; /* approval service must allow placements */
	sched_approval_cost_t approval_cost;
	int64_t run_time_pct; /* average real run time / declared run time */
	run_time_t run_time;
	double mean_work_milli_ms; /* of its jobs; moving average */
	int32_t waiting_jobs;	   /* open jobs that have not started */
	queue_plan_t plan;
} queue_t;

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
	/* Occurrences that have begun or may begin, in the order of their numbers
	 * (of occurrence_t); see occurrence.c. */
	GPtrArray *occs;
	number_set_t *released_occs; /* done, stored as such, and freed */
	job_stage_t stage;
	Sched__State end_state; /* valid unless the job is open */
	bool needs_approval;	/* its queue requires approval of placements */
	bool cancelled;
	/* Among jobs of its tier and priority, as of that update; see share.c. */
	int32_t rank;
	uint64_t ranked_update;
	bool over_rate; /* accepted beyond its customer's rate */
	bool started;	/* a task runs or has run */
	bool was_sound; /* see blame.c */
	blame_t blame;
	bool dirty;	 /* has progress that is not written yet */
	bool row_stored; /* it has a progress row */
	/* Writes of that row so far, and the last one that was stored. */
	uint64_t rows_packed, rows_stored;
	/* No task is started before that write is stored; see report.c. */
	uint64_t starts_after_write;
	int32_t row_detail; /* row_detail_t of progress.c, as last packed */
	/* Its row was rejected by itself, so often in a row, and is not written
	 * before that time; 0: it is written with others.  See rejected.c. */
	int32_t rejections;
	int64_t held_until_ms;
	/* An earlier owner may have started tasks of it. */
	bool maybe_started_before;
	int32_t nruns; /* runs that hold resources on workers */
	/* When its last run that was seen ended or, without one, its first step
	 * became ready. */
	int64_t idle_since_ms;
	int64_t allowed_ms; /* time allowed from when an occurrence is due */
	/* Declared work: the sum of cpu_milli x estimate_ms over all tasks. */
	double work_milli_ms;
	int32_t occs_done; /* in all; of them in occs: */
	int32_t occs_unreleased;
	int32_t occs_made_ready; /* of all that were due, the next one */
};

typedef enum {
	RUN_STARTING, /* the start order is not acknowledged yet */
	RUN_RUNNING,
	RUN_STOPPING /* a stop is to be ordered or has been ordered */
} run_state_t;

#define PACE_UNKNOWN (-1)

/*
 * Room on a worker that is reserved in a round of scan.c, and since when; see
 * reservation.c.  Amounts of all tasks that it is reserved for.
 */
typedef struct {
	uint64_t round;
	int64_t since_ms;
	int64_t
	    until_ms; /* it waits for runs that are expected to end by then */
	/* One did not lead to a start: others before this worker until then. */
	int64_t avoid_until_ms;
	bool filler;
	int64_t cpu_milli, mem_mb;
	int32_t gpu;
} reservation_t;

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
	bool started_slowed; /* by starvation.c */
	int64_t paced_ms;    /* if so: when it last had a pace above 0 */
	bool unwanted;	     /* to be stopped and removed once proved absent */
	int64_t state_since_ms;
	int64_t ordered_ms; /* its start, by this owner; 0: by another */
	/* Its start order got no answer; 0: it did, or a report has told since. */
	int64_t in_doubt_ms;
	/* It got none, and no report has listed the run. */
	bool held_up;
	int64_t stop_acked_ms; /* the worker acknowledged a stop; 0: not yet */
	/* Another process runs there since the order in flight was sent. */
	bool order_to_former;
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
	bool shown_up;	  /* it lasts, and was once up for long; suspect.c */
	int32_t pace_pct; /* at the worker, or PACE_UNKNOWN */
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

/*
 * When something ends: that is not known, it is being extended, or ends at a time.
 * Only lease.c looks inside.
 */
typedef struct {
	enum { BOUND_UNKNOWN, BOUND_EXTENDING, BOUND_ENDS_AT } state;
	int64_t ms; /* only of BOUND_ENDS_AT */
} bound_t;

#define ENDS_AT(t_ms) ((bound_t){ BOUND_ENDS_AT, (t_ms) })

#define NEVER_MS (INT64_MIN / 2) /* a time long before any other */

/* This owner's view of a worker's clock and of its leases; see lease.c. */
typedef struct {
	int64_t clock_ms;    /* the worker's clock at read_ms, or less */
	int64_t read_ms;     /* when it was read from an answer, or NEVER_MS */
	int64_t deadline_ms; /* latest one sent to its process; its clock */
	int64_t sent_ms;     /* when this owner last sent one; our clock */
	/* Until when a start was under way, and when the last poll was sent that
	 * its process has answered; our clock, or NEVER_MS. */
	int64_t start_sent_ms, answered_poll_ms;
	int32_t starts_pending; /* that are under way */
	/* Leases granted before its process first answered us; our clock. */
	bound_t earlier;
	/* When all end, as last put in the footprint; the store's clock. */
	bound_t stored;
} lease_t;

struct worker {
	const char *id; /* interned */
	/* What placement looks at. */
	const char *service, *zone, *rack; /* interned */
	GPtrArray *labels;		   /* interned */
	bool listed;			   /* in the platform's list */
	bool draining;
	bool zone_evacuated;
	bool footprint_stored; /* a footprint row with this worker is stored */
	/* A process of it was in use by earlier owners, perhaps another one. */
	bool used_before;
	bool has_answered;    /* a poll of this owner, at its present address */
	bool ended_cut;	      /* its last report did not list all ended runs */
	bool silent;	      /* several polls in a row got no answer */
	bool slow;	      /* its tasks make little progress */
	bool suspect;	      /* it is tried with one task at a time */
	bool changed;	      /* it is in s->scan.changed */
	bool slack_stale;     /* slack must be updated before it is used */
	int32_t missed_polls; /* without an answer, in a row */
	int32_t gpu, used_gpu;
	int64_t cpu_milli, mem_mb;
	/* Resources used.  used_cpu_milli excludes fillers; serving_cpu_milli
	 * is the part of it held by serving tasks. */
	int64_t used_cpu_milli, used_mem_mb, filler_cpu_milli,
	    serving_cpu_milli;
	int64_t backoff_until_ms; /* no task is started there before */
	uint64_t serving_mask, filler_mask; /* images that have tasks there */
	int32_t nserving;		    /* serving tasks on it */
	int32_t nunknown;		    /* runs whose needs are not known */
	/* Share of the filler images that may run beside its serving tasks. */
	int32_t compatible_filler_pct;
	/* Failures there since it last did work well; see suspect.c. */
	GArray *failures;	 /* failure_t; or NULL */
	int32_t failures_in_row; /* how many */
	int32_t own_failures;	 /* of these, that no task is at fault for */
	int64_t failed_ms;	 /* the last one */
	run_t *probe;		/* if suspect: the run that tries it, or NULL */
	int64_t probe_after_ms; /* if suspect: no run starts before */
	/* If suspect: a task that does not fail last waited then; 0: none. */
	int64_t wanted_ms;
	/* The run in quarantine that started last; or NULL. */
	run_t *quarantined_run;
	bool tried_together; /* it joined another one */
	bool
	    zone_down; /* most of its data centre, as it last seemed to crash */
	/* Nothing but this task is started until then.  Never dereferenced. */
	const task_t *reserved_for;
	int64_t reserved_until_ms;
	/* In that round of scan.c nothing but fillers and this step is started;
	 * see room.c.  Never dereferenced. */
	const step_t *kept_for;
	uint64_t kept_round;
	reservation_t reservation; /* for kept_for, if it is of that round */
	int32_t nnominated;	   /* tasks that it is nominated for */
	GHashTable *runs;	   /* task name -> run_t */
	/* The rest. */
	/* Runs that were lost with its lease at lost_ms (lost_run_t of crash.c),
	 * while it is open if it has crashed; or NULL. */
	GArray *lost_runs;
	int64_t lost_ms;
	/* Runs whose start it may yet carry out (held_up_t of held_up.c); or
	 * NULL. */
	GArray *held_up;
	char *address;	    /* "" until known */
	int64_t started_ms; /* start of its process, since 1970 */
	int64_t
	    listed_started_ms; /* the same by its entry; 0: that does not say */
	lease_t lease;
	/* Polls. */
	uint64_t poll_id;     /* poll in flight; 0: none */
	int64_t poll_sent_ms; /* when the last poll was sent */
	int64_t next_poll_ms;
	int64_t reported_ms;	   /* when its process last sent a report */
	int64_t first_reported_ms; /* when it first did, to this owner */
	/* When the process before it last did, or NEVER_MS. */
	int64_t former_reported_ms;
	int64_t back_ms; /* it came back then, see handover.c; or 0 */
	/* When it was up to answer a poll or order of this owner, or NEVER_MS. */
	int64_t answered_ms;
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

/* What a flush consists of, besides the row that renews the claim. */
typedef enum {
	FLUSH_CHANGED, /* all that has changed */
	FLUSH_RENEWAL, /* nothing */
	FLUSH_TRIED    /* jobs of a write that the store has rejected */
} flush_kind_t;

/* What is known of writes that the store rejects; see rejected.c. */
typedef struct {
	bool renew_alone; /* the next flush is nothing but the renewal */
	GPtrArray
	    *suspects;	 /* job_t of a rejected write, one may be at fault */
	GPtrArray *held; /* job_t whose rows were rejected alone */
	/* Of the flush in flight. */
	flush_kind_t flush_kind;
	guint flush_rows;
	size_t flush_bytes;
} rejected_t;

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
	int64_t row_read_ms;	/* when the row was last read */
	int64_t row_written_ms; /* when a read first showed its version */
	int64_t write_sent_ms;	/* when the last claim or flush was sent */
	int64_t token;		/* fencing token: version of our claim */
	int64_t epoch;		/* claims of the cell so far */
	int64_t renewals;	/* writes of the row since our claim */
	int64_t confirmed_ms;	/* when the last successful write was sent */
	int64_t claimed_ms;	/* the claim was sent then, or later */
	bound_t old_leases;	/* of earlier owners; our clock */
	bool footprint_bad;	/* earlier owners may have used any worker */
	/* No run of an earlier owner can be unknown to this owner. */
	bool workers_accounted;
	bool paused;	/* see sched_process_paused */
	bool releasing; /* it gives the cell up */
	bool stopping;	/* as a graceful stop has begun */
	/* In that stop it gives the cell up by then; 0: at once. */
	int64_t release_by_ms;
	bool row_read;	      /* at least once */
	bool had_predecessor; /* an earlier owner may have started runs */
	/* Earlier owners stored a job's row before they started tasks of it. */
	bool rows_before_starts;
	bool leases_released; /* no earlier owner extends leases any more */
	/* All their leases end by then, by the store's clock; 0: not known. */
	int64_t released_until_ms;
	bool forget_pending; /* next tick discards what only an owner needs */
	bool release_sent;   /* the last row sent releases the cell */
	/* A row that releases the cell was sent, and no later one is stored. */
	bool release_in_doubt;
	const char *successor;	/* interned; NULL or "": any entry */
	int32_t claim_delay_ms; /* see sched_set_claim_delay */
	/* The owner goes on without renewals, as the store answers no entry. */
	bool store_outage;
	/* All feeds were current when the outage began. */
	bool outage_may_start;
} cell_t;

/* What handover.c decides by. */
typedef struct {
	int32_t own_strength;
	const char *strongest; /* of the other entries, interned; NULL: none */
	int32_t strength;      /* its */
	int64_t checked_ms;
	int64_t epoch;	  /* of the ownership that the counts below are of */
	int32_t short_ms; /* for so long too few workers have answered */
	int64_t short_since_ms; /* when it was last 0 */
	/* How often meanwhile workers came back at once, or did not stay. */
	int32_t returns;
	int64_t next_ms; /* no hand-over before */
} handover_t;

/* What a task needs, and of which service (interned). */
typedef struct {
	const char *service;
	int64_t cpu_milli, mem_mb, gpu;
	bool filler; /* it needs processors of those that others leave */
} needs_t;

/* Which workers a pass over the queue looks at; see scan.c. */
typedef struct {
	uint64_t round;		   /* the number of the present round */
	uint64_t pass;		   /* the number of the present or last pass */
	uint64_t begun_after_pass; /* the last one before the present round */
	GPtrArray *changed;	   /* of worker_t */
	guint next;		   /* index of the first worker to look at */
	/* Values of stats.places when the round and the pass began. */
	uint64_t round_looks, pass_looks;
	uint64_t head_looks; /* of the round, for the head of the queue */
	bool head_offered;   /* by this pass */
	/* Of this round: workers that are kept, and the steps they are kept for. */
	guint kept_workers, keeping_steps;
	int32_t nominate_searches,
	    rooms_sought;	/* of this pass, by nominate.c */
	uint64_t nominate_turn; /* one search a task; see nominate.c */
	/* That found no worker in this turn, as would none that needs as much. */
	needs_t unnominated;
	uint64_t unnominated_turn;
	/* When a run that has to leave its worker was last refused a search. */
	int64_t search_refused_ms;
	/* Tasks that are down, for which the last pass had no search left. */
	int32_t unplaced_down;
	int32_t resume_at; /* the steps before were offered in the last round */
	int32_t stopped_at; /* position of the first that was not; 0: none */
} scan_t;

#endif
