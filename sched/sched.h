/*
 * Scheduler of the jobs of one cell, without sockets, threads or clock reads.
 *
 * A cell is a set of workers and a set of jobs with at most one owner at a
 * time: the entry (a process of this system on a front VM) whose name is in the
 * cell's owner row in the store.  The version of that row at the claim is the
 * fencing token of all orders.  Every entry of the cell runs a scheduler: that
 * of the owner starts and stops tasks, the others only watch the owner row in
 * order to take over.
 *
 * The embedding program (serve/cell_driver.c, test/cell) passes in the rows and
 * lists that it reads and the answers to calls, and carries out what the
 * callbacks of sched_port_t ask for.
 *
 * Times are in milliseconds: now_ms of a steady clock, wall_ms since 1970.
 * Processor amounts in _milli are thousandths of a core.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h> and "../proto/sched.pb-c.h" first.
 */
#ifndef SCHED_H
#define SCHED_H

#define SCHED_JOB_ID_BYTES 16 /* hexadecimal digits of a job's id */
/* Numbers that are passed in are at most this, or its negative. */
#define SCHED_NUMBER_MAX  ((int64_t)1 << 53)
#define SCHED_SPAN_MAX_MS 1000000000000 /* of an interval or allowed time */
#define SCHED_STRETCH_MAX 1000000
/* Of milli-cores, MB, accelerators or ms of a task or worker. */
#define SCHED_AMOUNT_MAX 1000000000
/* Of a row: the store refuses a transaction that puts a longer one. */
#define SCHED_ROW_MAX_BYTES 65536

/*
 * Row keys within a cell.  The row of a job has the job's id as its key; its
 * other rows append a suffix to the id.
 */
#define SCHED_KEY_OWNER	       "!owner"
#define SCHED_KEY_FOOTPRINT    "!workers" /* prefix; a row number follows */
#define SCHED_KEY_INTERFERENCE "!harm"
#define SCHED_KEY_CANCEL       ".c"
#define SCHED_KEY_REFUSAL      ".r"
#define SCHED_KEY_PROGRESS     ".p"

typedef struct sched sched_t;

/* How a run ended. */
typedef enum {
	SCHED_RUN_DONE,
	SCHED_RUN_FAILED,
	SCHED_RUN_STOPPED
} sched_outcome_t;

/* A row as read; bytes is NULL for a row that does not exist. */
typedef struct {
	const char *key;
	int64_t version;
	const uint8_t *bytes;
	size_t nbytes;
} sched_row_t;

/* A row to be written; bytes is NULL to remove it. */
typedef struct {
	char *key;
	GByteArray *bytes;
} sched_put_t;

/* A worker as the platform lists it. */
typedef struct {
	const char *id;
	const char *service;
	const char *address; /* ip:port */
	const char *zone;
	const char *rack; /* "" when unknown */
	const char *const *labels;
	int64_t cpu_milli;
	int64_t mem_mb;
	int32_t gpu;
	int64_t started_ms; /* start of the worker process, since 1970 */
	bool draining;
} sched_worker_info_t;

/* A run under way, in a worker's report. */
typedef struct {
	const char *task;	/* JOB.OCCURRENCE.STEP.INDEX */
	int64_t run;		/* number of the run */
	const char *checkpoint; /* "" when there is none */
	/* Share of its work that is done; 100 for a lasting task that is up. */
	int32_t percent;
	/* Tail latency in ms if it serves, else processor use in milli. */
	int64_t metric;
} sched_running_t;

/* A run that has ended, in a worker's report. */
typedef struct {
	int64_t seq; /* ascending number of ended runs of a worker process */
	const char *task;
	int64_t run;
	sched_outcome_t outcome;
	const char *checkpoint;
} sched_ended_t;

/* The answer to a poll of a worker. */
typedef struct {
	int64_t clock_ms;   /* the worker's clock */
	int64_t started_ms; /* 0 when the worker did not report it */
	const sched_running_t *running;
	size_t nrunning;
	const sched_ended_t *ended;
	size_t nended;
	bool ended_cut; /* more runs have ended than are listed */
	bool late;	/* the poll had ended without an answer before */
} sched_report_t;

/* How an order to a worker ended. */
typedef enum {
	SCHED_ORDER_OK,
	SCHED_ORDER_IN_DOUBT,  /* no answer: it may still be carried out */
	SCHED_ORDER_NOT_SENT,  /* no connection: it is not carried out */
	SCHED_ORDER_FENCED,    /* the worker has seen a newer token */
	SCHED_ORDER_STALE_RUN, /* this run or a later one stopped or ended */
	SCHED_ORDER_EXPIRED,   /* arrived after its deadline */
	SCHED_ORDER_NO_ROOM,   /* the worker's free resources do not suffice */
	SCHED_ORDER_NO_TICKET, /* the ticket is missing or not valid */
	SCHED_ORDER_UNHEALTHY, /* the worker accepts no orders now */
	SCHED_ORDER_RESTARTED, /* another process runs at the address */
	SCHED_ORDER_INVALID    /* the worker rejects the task as malformed */
} sched_order_result_t;

/*
 * SCHED_PACE sets the share of its normal processor time that a filler task may
 * use.
 */
typedef enum { SCHED_START, SCHED_STOP, SCHED_PACE } sched_order_kind_t;

/* An order to a worker; strings are valid during the callback. */
typedef struct {
	uint64_t id; /* for sched_order_done */
	sched_order_kind_t kind;
	const char *worker;
	const char *address;
	const char *task;
	int64_t run;
	int64_t token;		/* fencing token */
	const char *spec;	/* start: opaque to the scheduler */
	const char *checkpoint; /* start: to resume from; "" for none */
	const char *ticket;	/* start: "" if no approval is needed */
	/* Start: end of the lease by the worker's clock; 0: clock unknown. */
	int64_t deadline_ms;
	int32_t percent; /* pace: 100 is full speed, 0 stops its progress */
} sched_order_t;

/*
 * A poll of a worker asks for a report and extends the lease of all runs there;
 * when the lease ends, the worker stops them.
 */
typedef struct {
	uint64_t id; /* for sched_poll_done */
	const char *worker;
	const char *address;
	int64_t token;
	/* End of the lease by the worker's clock; 0: it is not extended. */
	int64_t deadline_ms;
	/* The worker may forget ended runs up to this sequence number. */
	int64_t ended_ack_seq;
	/* The worker answers when a run ends, at the latest after this time. */
	int32_t wait_ms;
} sched_poll_t;

/* Asks the approval service which workers may run tasks of a step. */
typedef struct {
	uint64_t id;	  /* for sched_approval_done */
	const char *step; /* JOB.OCCURRENCE.STEP */
	const char *const *workers;
	size_t nworkers;
	int32_t
	    timeout_ms; /* without an answer after this time it has failed */
} sched_approval_request_t;

/* Permits starts of a step's tasks on a worker. */
typedef struct {
	const char *worker;
	const char *ticket;
} sched_ticket_t;

/* The answer: a ticket for each worker that may run the step. */
typedef struct {
	const sched_ticket_t *approved;
	size_t napproved;
	int32_t valid_ms; /* validity of the tickets */
} sched_approval_t;

/* Numbers of log events; docs/EVENTS.md describes them. */
typedef enum {
	SCHED_EVT_CLAIM = 601,
	SCHED_EVT_OWNED = 602,
	SCHED_EVT_OWNERSHIP_LOST = 603,
	SCHED_EVT_RELEASED = 604,
	SCHED_EVT_OWNER_SILENT = 605,
	SCHED_EVT_STORE_OUTAGE = 606,
	SCHED_EVT_HANDOVER = 607,
	SCHED_EVT_ACCOUNTED = 608,
	SCHED_EVT_JOB_SEEN = 611,
	SCHED_EVT_JOB_ENDED = 612,
	SCHED_EVT_JOB_CANCEL = 613,
	SCHED_EVT_ROW_BAD = 614,
	SCHED_EVT_PURGE = 615,
	SCHED_EVT_ROW_SHORTENED = 616,
	SCHED_EVT_WRITE_REJECTED = 617,
	SCHED_EVT_JOB_ROW_REJECTED = 618,
	SCHED_EVT_TOMBSTONES = 619,
	SCHED_EVT_START = 621,
	SCHED_EVT_START_FAILED = 622,
	SCHED_EVT_STOP = 623,
	SCHED_EVT_ENDED = 624,
	SCHED_EVT_ADOPTED = 625,
	SCHED_EVT_LOST = 626,
	SCHED_EVT_PACE = 627,
	SCHED_EVT_APPROVAL_REQUESTED = 628,
	SCHED_EVT_APPROVAL = 629,
	SCHED_EVT_TICKETS_UNUSED = 630,
	SCHED_EVT_WORKER = 631,
	SCHED_EVT_WORKER_SILENT = 632,
	SCHED_EVT_WORKER_BACK = 633,
	SCHED_EVT_WORKER_SUSPECT = 634,
	SCHED_EVT_TASK_SUSPECT = 635,
	SCHED_EVT_TASK_GIVEN_UP = 636,
	SCHED_EVT_WORKER_TRIED = 637,
	SCHED_EVT_JOB_FAILING = 638,
	SCHED_EVT_ROOM_USE = 640,
	SCHED_EVT_ZONE = 641,
	SCHED_EVT_LOAD = 642,
	SCHED_EVT_OVERLOAD = 643,
	SCHED_EVT_JOB_WAITS = 644,
	SCHED_EVT_QUOTA = 645,
	SCHED_EVT_REFUSAL_BEGUN = 646,
	SCHED_EVT_REFUSAL_ENDED = 647,
	SCHED_EVT_RESERVATION = 648,
	SCHED_EVT_LASTING_BACK = 649,
	SCHED_EVT_NOMINATED = 650
} sched_evt_t;

/* Calls from the scheduler to the embedding program. */
typedef struct {
	/* Claims the cell: writes the owner row if its version is still this
	 * one.  Answered by sched_claim_done. */
	void (*claim)(void *ctx, int64_t version, const GByteArray *owner);
	/* Reads all rows of the cell (sched_row_read for each, then
	 * sched_load_done) and afterwards watches them for changes.  Passes in
	 * the progress rows first, and the row of a job before its cancel row,
	 * which is ignored otherwise.  Called again, it voids the reads of the
	 * last call: none of their rows, and not their end, is passed in. */
	void (*load)(void *ctx);
	/* Writes an array of sched_put_t in one transaction if the owner row
	 * still has this version.  Answered by sched_write_done. */
	void (*write)(void *ctx, int64_t version, const GArray *puts);
	/* Sends an order; answered by sched_order_done. */
	void (*order)(void *ctx, const sched_order_t *o);
	/* Polls a worker; answered by sched_poll_done. */
	void (*poll)(void *ctx, const sched_poll_t *p);
	/* Removes the rows that callers wrote for these jobs; answered by
	 * sched_purge_done for each.  NULL: no rows are ever removed. */
	void (*purge)(void *ctx, const char *const *ids, size_t n);
	/* Removes the cancels and refusals of jobs that never came; whether that
	 * worked is read from the rows.  NULL: none is ever removed. */
	void (*purge_tombstones)(void *ctx, const char *const *ids, size_t n);
	/* Answered by sched_approval_done.  NULL: no approval service. */
	void (*request_approval)(void *ctx, const sched_approval_request_t *a);
	/* Logs an event; takes ownership of fields. */
	void (*event)(
	    void *ctx, sched_evt_t number, const char *subject, char *fields);
} sched_port_t;

typedef struct {
	/* No task is started on older data of a feed. */
	int32_t feed_limit_ms;
	const char *name;     /* of this entry */
	int64_t incarnation;  /* identifies this process of the entry */
	int32_t max_lease_ms; /* longest lease that a worker accepts */
	/* How long rows of ended jobs and tombstones of others are kept. */
	int64_t ended_retention_ms;
	sched_port_t port;
	void *ctx;
} sched_opts_t;

/* Decodes a progress row; NULL when it does not unpack or has no known state. */
Sched__Progress *sched_progress_unpack(const uint8_t *bytes, size_t n);
/* Checks a job's definition; sets why to the fault if false is returned. */
bool sched_job_valid(const Sched__Job *def, const char **why);

sched_t *sched_new(const sched_opts_t *o);
void sched_free(sched_t *s);

/* Results of claims and writes to the store. */
typedef enum {
	SCHED_WRITE_OK,
	SCHED_WRITE_CONFLICT, /* refused: the owner row has another version */
	SCHED_WRITE_IN_DOUBT, /* no answer: it may have been carried out */
	SCHED_WRITE_REJECTED /* not carried out, nor will it be if sent again */
} sched_write_result_t;

/* The owner row was read; version 0 and bytes NULL when it does not exist. */
void sched_owner_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms);
/* sched_port_t.claim has ended; version is the owner row's new one. */
void sched_claim_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms);
/* A row of the cell was read, while loading or because it changed. */
void sched_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms);
/* All rows that sched_port_t.load asked for have been passed in. */
void sched_load_done(sched_t *s, int64_t now_ms);
/* sched_port_t.write has ended; version is the owner row's new one. */
void sched_write_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms);
/* A job that sched_port_t.purge_tombstones was to find absent is there. */
void sched_tombstone_has_job(sched_t *s, const char *id);
/* The removal of a job's rows by sched_port_t.purge has ended. */
void sched_purge_done(sched_t *s, const char *id, bool ok, int64_t now_ms);

/* The platform lists a worker, whether it is new, changed or unchanged. */
void
sched_worker_listed(sched_t *s, const sched_worker_info_t *w, int64_t now_ms);
/* A worker is no longer listed. */
void sched_worker_left(sched_t *s, const char *id, int64_t now_ms);
/* No tasks are started on the workers of an evacuated zone. */
void sched_set_zone_evacuated(
    sched_t *s, const char *zone, bool evacuated, int64_t now_ms);

/* Change feeds of the store; no task starts while one of them lags. */
typedef enum {
	SCHED_FEED_JOBS,
	SCHED_FEED_WORKERS,
	SCHED_FEED_OPERATORS
} sched_feed_t;
#define SCHED_NFEEDS 3
/*
 * All changes of a feed up to a time have been passed in.  When this is called
 * says nothing: the process may have been delayed since it was read.
 */
void sched_feed_read(sched_t *s, sched_feed_t feed, int64_t as_of_ms);
/* The store's steady clock, at most 900 ms less than it is. */
void sched_store_clock_read(sched_t *s, int64_t store_ms, int64_t now_ms);
/* What the approval service takes for a call, and for how long a ticket holds; 0: not
 * known. */
typedef struct {
	int32_t decision_ms, per_worker_ms, valid_ms;
} sched_approval_cost_t;

/* The settings of a queue. */
typedef struct {
	const char *name;
	const char *service;
	int32_t priority, max_attempts;
	bool needs_approval; /* the approval service must permit placements */
	sched_approval_cost_t approval_cost; /* if so */
} sched_queue_t;
/*
 * The settings of queues, which also apply to their present jobs.  Others keep
 * those that they had.
 */
void sched_set_queues(
    sched_t *s, const sched_queue_t *list, size_t n, int64_t now_ms);

/* The settings of a customer. */
typedef struct {
	const char *name;
	/* Its share of the capacity when that is short, and its rate in jobs a
	 * second: jobs beyond it go after those of others. */
	double weight;
	/* The most that its running tasks may hold together; 0: no limit. */
	int64_t quota_cpu_milli, quota_mem_mb;
	int32_t quota_gpu;
} sched_customer_t;
/* Replaces the settings of all customers, which also apply to present jobs. */
void sched_set_customers(
    sched_t *s, const sched_customer_t *list, size_t n, int64_t now_ms);

/*
 * Checks that each gang of a job is within its customer's quota, as given in the
 * job: a larger one can never start.  Sets why if false is returned.
 */
bool sched_gangs_fit_quota(const Sched__Job *def, const char **why);

/* Whether a submission is accepted, as far as room goes. */
typedef enum {
	SCHED_ADMITTED,
	SCHED_OVER_RATE, /* its customer sends more than its rate */
	SCHED_HOPELESS	 /* it would end too late to be of any worth */
} sched_admission_t;
/*
 * Decides by what the owner published last.  If the job is not admitted, counts
 * that and sets when its caller may come back, in whole seconds.
 */
sched_admission_t sched_admit(sched_t *s, const char *id, const Sched__Job *job,
    int64_t now_ms, int32_t *retry_after_ms);

/*
 * When a caller is to come back that is expected to be served after wait_ms: in
 * whole seconds, and by a hash of the job's ID up to as much again, so that not
 * all come back together.
 */
int32_t sched_retry_after_ms(const char *id, int64_t wait_ms);

/* An order has ended; clock_ms is the worker's clock, or 0. */
void sched_order_done(sched_t *s, uint64_t id, sched_order_result_t r,
    int64_t clock_ms, int64_t now_ms);
/* An approval request has ended; a is NULL without a complete answer. */
void sched_approval_done(
    sched_t *s, uint64_t id, const sched_approval_t *a, int64_t now_ms);
/*
 * A poll has ended; report is NULL without a complete answer.  Called once more for a
 * poll that has ended without one if its answer comes late.
 */
void sched_poll_done(sched_t *s, uint64_t id, const char *worker,
    sched_order_result_t r, const sched_report_t *report, int64_t now_ms);

/* Does what is due; returns the milliseconds until the next call. */
int32_t sched_tick(sched_t *s, int64_t now_ms, int64_t wall_ms);
/*
 * Gives up the cell in a graceful stop, at the latest by the time of
 * sched_set_release_by().  To be called again until the process ends.  True: this
 * entry neither owns the cell nor claims it.
 */
bool sched_begin_release(sched_t *s, int64_t now_ms);
/*
 * Sets until when an entry in a graceful stop may keep the cell, or claim it if no other
 * does (by the clock of now_ms); 0: it releases the cell at once, and claims none.
 */
void sched_set_release_by(sched_t *s, int64_t ms);
/*
 * Sets whether the store answers none of the entries (for_all), so that no
 * other entry can claim the cell; its owner then goes on without renewals.
 * last_ms: when the store last answered any of the others.
 */
void sched_set_store_outage(
    sched_t *s, bool for_all, int64_t last_ms, int64_t now_ms);
/*
 * Sets how much longer this entry waits before it claims a cell whose owner has
 * failed, so that entries with more capacity claim it first.
 */
void sched_set_claim_delay(sched_t *s, int32_t ms);
/*
 * Tells the strongest of the other entries ("": none is known), which the owner may
 * hand the cell over to, and this entry's own strength in the same unit.
 */
void sched_set_strongest_entry(
    sched_t *s, int32_t own_strength, const char *name, int32_t strength);
/* Names the entry that is to claim the cell after a release; "" for any. */
void sched_set_successor(sched_t *s, const char *name);
/*
 * The process was paused for a while and may have lost the cell: no task is
 * started and no lease extended until the owner row has been read again.
 */
void sched_process_paused(sched_t *s, int64_t now_ms);

bool sched_is_owner(const sched_t *s);
/* Name of the owner by the row that was last read; "" without one. */
const char *sched_owner_name(const sched_t *s);
/*
 * Whether that is another entry which has not renewed its claim for a while, or which
 * this one has taken over from.
 */
bool sched_owner_is_silent(const sched_t *s);
/* Whether the last row that it wrote, as the owner, releases the cell. */
bool sched_has_released(const sched_t *s);
/* Whether it has claimed the cell and waits for sched_load_done. */
bool sched_is_loading(const sched_t *s);
/*
 * Number of jobs of a queue that have not started: counted by the owner; other
 * entries return the number in the owner row that they last read.  -1 when that
 * number is too old, as after a long pause of the owner, or had no room in the row.
 */
int32_t sched_waiting_jobs(const sched_t *s, const char *queue, int64_t now_ms);

/*
 * Why a waiting task does not start.  The reasons from SCHED_WAIT_NO_WORKER on are
 * those of workers, in the order in which placement checks them.
 */
typedef enum {
	SCHED_WAIT_NONE, /* a worker can take it: the next pass starts it */
	SCHED_WAIT_NOT_OFFERED,	 /* no pass has come to it lately */
	SCHED_WAIT_OWNER,	 /* the owner may start no task now */
	SCHED_WAIT_UNSEEN_RUNS,	 /* a run of an earlier owner may be left */
	SCHED_WAIT_QUOTA,	 /* of its customer */
	SCHED_WAIT_ROW,		 /* its job's progress row is not stored yet */
	SCHED_WAIT_BACKOFF,	 /* it is started again after a while */
	SCHED_WAIT_GANG_RUNS,	 /* of its gang have not ended yet */
	SCHED_WAIT_NOMINATED,	 /* for room on the worker nominated for it */
	SCHED_WAIT_QUARANTINE,	 /* it may crash its worker */
	SCHED_WAIT_NO_WORKER,	 /* none of its service, or in its rack */
	SCHED_WAIT_LEAVING,	 /* unlisted, drained or evacuated */
	SCHED_WAIT_SILENT,	 /* it does not answer */
	SCHED_WAIT_NEW_WORKER,	 /* not stored as in use, or has not answered */
	SCHED_WAIT_UNKNOWN_RUNS, /* what its runs need is not known */
	SCHED_WAIT_SUSPECT,	 /* it failed tasks or rejected an order */
	SCHED_WAIT_TOO_LARGE,	 /* for the worker if that were empty */
	SCHED_WAIT_LABEL,	 /* the worker lacks it */
	SCHED_WAIT_MEM,
	SCHED_WAIT_GPU,
	SCHED_WAIT_CPU,
	SCHED_WAIT_PER_WORKER,
	SCHED_WAIT_APPROVAL,
	SCHED_WAIT_RESERVED,	/* for a task that may crash it, or is moved */
	SCHED_WAIT_KEPT,	/* for a larger task */
	SCHED_WAIT_CANNOT_SLOW, /* it may not start slowed there */
	SCHED_WAIT_ISOLATED,	/* from the serving tasks there */
	SCHED_WAIT_EARLIER_RUN, /* of the same task is still there */
	SCHED_WAIT_GANG_ROOM,	/* not for all tasks of a gang at once */
	SCHED_WAIT_REASONS	/* number of reasons */
} sched_wait_reason_t;
/* The name of a reason in events and metrics. */
const char *sched_wait_reason_name(sched_wait_reason_t why);

/*
 * Counters since the start and present numbers, for the metrics page.
 * start_rejects counts starts that were not carried out; tickets_unused, tickets of the
 * approval service that expired before a start used them; start_unknown, starts
 * left in doubt; done, failed, runs reported as such; lost, runs that a worker
 * no longer reports or whose lease has expired; adopted, runs taken over from
 * an earlier owner; orphans, runs found on a worker that no task needs, which
 * are stopped; deposed, ends of this entry's ownership, also by a release;
 * handovers, releases to a stronger entry;
 * over_rate, jobs accepted beyond their customer's rate, and refused_*,
 * submissions that sched_admit refused; refused_customers, those of whom the
 * owner has them refused; writes, flushes; rejected_writes, those that the store
 * would reject again; paces, pace orders; places, workers
 * that placement looked at; quota_waits, times that a step began to wait for its
 * customer's quota; queued, steps with tasks to be started; running, runs in any
 * state; deferred_jobs, jobs that the plan for an overload defers; waiting_tasks,
 * by sched_wait_reason_t, longest_idle_ms, that a job with a waiting task has had no
 * run, lasting_down, lasting tasks that had a run and wait for the next one,
 * longest_down_ms, the longest of these waits, and suspect_workers, that failed several
 * tasks: those of the last load event, 0 where this entry is not the owner.
 */
typedef struct {
	uint64_t starts, start_rejects, start_unknown, stops, done, failed,
	    lost, adopted, orphans, claims, deposed, writes, polls, paces,
	    places, quota_waits, over_rate, refused_over_rate, refused_hopeless,
	    handovers, rejected_writes, tickets_unused;
	int64_t jobs, queued, running, workers, refused_customers,
	    deferred_jobs, longest_idle_ms, lasting_down, longest_down_ms,
	    suspect_workers;
	int32_t waiting_tasks[SCHED_WAIT_REASONS];
} sched_stats_t;
sched_stats_t sched_stats(const sched_t *s);

#endif
