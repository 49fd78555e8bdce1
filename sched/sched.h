/*
 * The job scheduler of one cell, without sockets, threads or clock reads.  A
 * cell is a set of workers and a set of jobs with one owner at a time; the
 * owner is whoever holds the cell's row in the store.  The embedding program
 * hands in what it reads and the answers to its calls, and carries out what
 * the callbacks of sched_port_t ask for.  All times are milliseconds: `now_ms`
 * of a steady clock, `wall_ms` since 1970.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h> and "../proto/sched.pb-c.h" first.
 */
#ifndef SCHED_H
#define SCHED_H

#define SCHED_JOB_ID_BYTES 16 /* hexadecimal digits of a job's id */

/* Keys of rows in a cell; a job's rows begin with its id. */
#define SCHED_KEY_OWNER	       "!owner"
#define SCHED_KEY_FOOTPRINT    "!workers" /* and a number */
#define SCHED_KEY_INTERFERENCE "!harm"
#define SCHED_KEY_CANCEL       ".c"
#define SCHED_KEY_PROGRESS     ".p"

typedef struct sched sched_t;

typedef enum {
	SCHED_RUN_DONE,
	SCHED_RUN_FAILED,
	SCHED_RUN_STOPPED
} sched_outcome_t;

/* A row as read; bytes is NULL when it was removed. */
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

/* What the platform's list says of a worker. */
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
	int64_t born_ms; /* start of this process, since 1970 */
	bool draining;
} sched_worker_info_t;

/* One run as a worker reports it. */
typedef struct {
	const char *task; /* JOB.OCCURRENCE.STEP.INDEX */
	int64_t run;
	const char *checkpoint; /* "" when there is none */
	int32_t percent; /* of its work; 100 for a lasting task at work */
	int64_t metric;	 /* tail in ms if it serves, else cpu milli */
} sched_running_t;

typedef struct {
	int64_t seq;
	const char *task;
	int64_t run;
	sched_outcome_t outcome;
	const char *checkpoint;
} sched_ended_t;

/* The answer to a look at a worker. */
typedef struct {
	int64_t clock_ms; /* the worker's clock */
	int64_t born_ms;  /* 0 when not told */
	const sched_running_t *running;
	size_t nrunning;
	const sched_ended_t *ended;
	size_t nended;
} sched_report_t;

/* How an order to a worker ended. */
typedef enum {
	SCHED_ORDER_OK,
	SCHED_ORDER_IN_DOUBT,  /* no answer: may be carried out, also later */
	SCHED_ORDER_NOT_SENT,  /* no connection: was not carried out */
	SCHED_ORDER_FENCED,    /* a newer owner has spoken */
	SCHED_ORDER_STALE_RUN, /* a run as new was stopped or ended there */
	SCHED_ORDER_EXPIRED,   /* its deadline had passed */
	SCHED_ORDER_NO_ROOM,
	SCHED_ORDER_NO_TICKET, /* not approved, or no longer */
	SCHED_ORDER_UNHEALTHY, /* the worker takes nothing now */
	SCHED_ORDER_RESTARTED, /* another process answers there */
	SCHED_ORDER_INVALID
} sched_order_result_t;

typedef enum { SCHED_START, SCHED_STOP, SCHED_PACE } sched_order_kind_t;

typedef struct {
	uint64_t id; /* to be handed to sched_order_done */
	sched_order_kind_t kind;
	const char *worker;
	const char *address;
	const char *task;
	int64_t run;
	int64_t token;
	const char *spec;	/* start */
	const char *checkpoint; /* start; "" for none */
	const char *ticket;	/* start; "" where no approval is needed */
	int64_t deadline_ms;	/* start; the worker's clock */
	int32_t percent;	/* pace */
} sched_order_t;

typedef struct {
	uint64_t id; /* to be handed to sched_poll_done */
	const char *worker;
	const char *address;
	int64_t token;
	int64_t deadline_ms; /* the worker's clock; 0: not known yet */
	int64_t ended_ack_seq;
	int32_t wait_ms;
} sched_poll_t;

/* Asks whether workers may run a step. */
typedef struct {
	uint64_t id;	  /* to be handed to sched_approval_done */
	const char *step; /* JOB.OCCURRENCE.STEP */
	const char *const *workers;
	size_t nworkers;
} sched_approval_request_t;

/* Allows starts of a step's tasks at a worker. */
typedef struct {
	const char *worker;
	const char *ticket;
} sched_ticket_t;

/* The answer: tickets for those that may. */
typedef struct {
	const sched_ticket_t *approved;
	size_t napproved;
	int32_t valid_ms; /* since the call */
} sched_approval_t;

/* Why a line is logged; the numbers are in docs/EVENTS.md. */
typedef enum {
	SCHED_EVT_CLAIM = 601,
	SCHED_EVT_OWNED = 602,
	SCHED_EVT_DEPOSED = 603,
	SCHED_EVT_RELEASED = 604,
	SCHED_EVT_OWNER_SILENT = 605,
	SCHED_EVT_SELF_FENCE = 606,
	SCHED_EVT_JOB_SEEN = 611,
	SCHED_EVT_JOB_ENDED = 612,
	SCHED_EVT_JOB_CANCEL = 613,
	SCHED_EVT_JOB_BAD = 614,
	SCHED_EVT_PURGE = 615,
	SCHED_EVT_START = 621,
	SCHED_EVT_START_FAILED = 622,
	SCHED_EVT_STOP = 623,
	SCHED_EVT_ENDED = 624,
	SCHED_EVT_ADOPTED = 625,
	SCHED_EVT_LOST = 626,
	SCHED_EVT_PACE = 627,
	SCHED_EVT_ADVICE_ASKED = 628,
	SCHED_EVT_ADVICE = 629,
	SCHED_EVT_WORKER = 631,
	SCHED_EVT_WORKER_SILENT = 632,
	SCHED_EVT_WORKER_BACK = 633,
	SCHED_EVT_WORKER_SUSPECT = 634,
	SCHED_EVT_ZONE = 641,
	SCHED_EVT_LOAD = 642
} sched_evt_t;

/* What the scheduler asks of the embedding program. */
typedef struct {
	/* Claims the cell: writes the owner's row if it has this version. */
	void (*claim)(void *ctx, int64_t version, const GByteArray *owner);
	/* Reads the cell's rows and then follows their changes. */
	void (*load)(void *ctx);
	/* Writes rows in one transaction, if the owner's row has version. */
	void (*write)(void *ctx, int64_t version, const GArray *puts);
	void (*order)(void *ctx, const sched_order_t *o);
	void (*poll)(void *ctx, const sched_poll_t *l);
	/* Removes what callers wrote of jobs; NULL: all is kept. */
	void (*purge)(void *ctx, const char *const *ids, size_t n);
	/* NULL: no service approves placements. */
	void (*request_approval)(void *ctx, const sched_approval_request_t *a);
	void (*event)(
	    void *ctx, sched_evt_t number, const char *subject, char *fields);
} sched_port_t;

typedef struct {
	const char *name; /* of this process */
	int64_t incarnation;
	int32_t max_lease_ms;	    /* the longest a worker grants */
	int64_t ended_retention_ms; /* rows of a job that has ended */
	sched_port_t port;
	void *ctx;
} sched_opts_t;

/* False, and why, for a job that no worker could be asked to run. */
bool sched_job_valid(const Sched__Job *def, const char **why);

sched_t *sched_new(const sched_opts_t *o);
void sched_free(sched_t *s);

/* The owner's row was read; version 0 and NULL when there is none. */
void sched_owner_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms);
/* The claim ended: ok, or refused (the row changed), or neither is known. */
typedef enum {
	SCHED_WRITE_OK,
	SCHED_WRITE_CONFLICT,
	SCHED_WRITE_IN_DOUBT
} sched_write_result_t;
void sched_claim_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms);
/* All rows of the cell were handed in by sched_row_read. */
void sched_load_done(sched_t *s, int64_t now_ms);
void sched_row_read(sched_t *s, const sched_row_t *row, int64_t now_ms);
void sched_write_done(
    sched_t *s, sched_write_result_t r, int64_t version, int64_t now_ms);

/* The removal of a job's rows has ended. */
void sched_purge_done(sched_t *s, const char *id, bool ok, int64_t now_ms);

/* The platform's list: one entry, or an id that left it. */
void
sched_worker_listed(sched_t *s, const sched_worker_info_t *w, int64_t now_ms);
void sched_worker_left(sched_t *s, const char *id, int64_t now_ms);
/* After a whole read of the list: forgets those not seen since the last. */
void sched_worker_list_read(sched_t *s, int64_t now_ms);
void sched_set_zone_evacuated(
    sched_t *s, const char *zone, bool evacuated, int64_t now_ms);
/* A table's changes have been read up to now; starts wait when they lag. */
typedef enum {
	SCHED_FEED_JOBS,
	SCHED_FEED_WORKERS,
	SCHED_FEED_OPERATORS
} sched_feed_t;
#define SCHED_NFEEDS 3
/* The store's steady clock, as told by an answer just now. */
void sched_store_clock_read(sched_t *s, int64_t store_ms, int64_t now_ms);
void sched_feed_read(sched_t *s, sched_feed_t feed, int64_t now_ms);
/* The queue's settings in force; jobs that name it follow them. */
void sched_set_queue(sched_t *s, const char *queue, const char *service,
    int32_t priority, int32_t max_attempts, bool advised, int64_t now_ms);

void sched_order_done(sched_t *s, uint64_t id, sched_order_result_t r,
    int64_t clock_ms, int64_t now_ms);
/* a is NULL when no whole answer came. */
void sched_approval_done(
    sched_t *s, uint64_t id, const sched_approval_t *a, int64_t now_ms);
/* report is NULL when no whole answer came. */
void sched_poll_done(sched_t *s, uint64_t id, const char *worker,
    sched_order_result_t r, const sched_report_t *report, int64_t now_ms);

/* Does what is due; returns the milliseconds until the next call. */
int32_t sched_tick(sched_t *s, int64_t now_ms, int64_t wall_ms);
/* A graceful stop begins; true once the cell is given up. */
bool sched_begin_release(sched_t *s, int64_t now_ms);
/*
 * Whether the store is away for all entries, so that none can claim the cell:
 * the owner then goes on without it.  last_ms is when it last answered any of
 * the others.
 */
void sched_set_store_outage(
    sched_t *s, bool for_all, int64_t last_ms, int64_t now_ms);
/* This entry leaves a free cell so long to those that can bear more. */
void sched_set_claim_delay(sched_t *s, int32_t ms);
/* Who is to claim the cell when it is released; "" for anyone. */
void sched_set_successor(sched_t *s, const char *name);
/* The process stood still: nothing is ordered before the row is read. */
void sched_process_paused(sched_t *s, int64_t now_ms);

bool sched_is_owner(const sched_t *s);
/* Jobs of a queue that have not begun, by the owner's row last read. */
int32_t sched_waiting_jobs(const sched_t *s, const char *queue);

/* Counters, for the metrics page. */
typedef struct {
	uint64_t starts, start_rejects, start_unknown, stops, done, failed,
	    lost, adopted, strays, claims, deposed, writes, polls, paces;
	int64_t jobs, queued, running, workers;
} sched_stats_t;
sched_stats_t sched_stats(const sched_t *s);

#endif
