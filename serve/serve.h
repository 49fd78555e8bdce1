/*
 * The daemon on the users' platform (`tanagerspool serve`).  Each process, an
 * entry, watches the store's tables, serves requests of callers and runs the
 * scheduler of sched/; the entry that owns the cell schedules its jobs.  All
 * durable state is in the store, so a restarted entry reads everything again.
 *
 * Include what platform.h needs, then trans.h, platform.h, store_clock.h, auth.h
 * and rate_limit.h, first.
 */
#ifndef SERVE_H
#define SERVE_H

/* Numbers of log events; see docs/EVENTS.md. */
#define EVT_STORE_LOST	     651
#define EVT_STORE_BACK	     652
#define EVT_BAD_ROW	     653
#define EVT_FEED_RESET	     654
#define EVT_TABLE_BEHIND     655
#define EVT_ACCEPTED	     661
#define EVT_REFUSED	     662
#define EVT_UNSETTLED	     663
#define EVT_CANCEL_STORED    664
#define EVT_STATE_UNREADABLE 665
#define EVT_CALL_REJECTED    666
#define EVT_QUEUE_UNKNOWN    667
#define EVT_RELOAD	     671
#define EVT_PAUSE	     672

#define SERVE_ERROR serve_error_quark()
GQuark serve_error_quark(void);
typedef enum {
	SERVE_INVALID_JOB, /* well-formed, but no worker could ever run it */
	SERVE_OVER_QUOTA   /* its customer's quota never lets it run */
} serve_error_t;

typedef struct node node_t;

/*
 * Watches a table of the store: reads it whole, then follows its change feed.
 * The table is read whole again when the store no longer keeps the changes
 * since the last version read, and, if its rows are rewritten, when a call has
 * failed or changes come faster than they are handed over.  Failed calls are
 * retried until they succeed.
 */
typedef struct table_watch table_watch_t;
typedef struct {
	node_t *node;
	const char *table;
	/* The partition's name, or a prefix that a number follows. */
	const char *partition;
	int32_t partitions; /* numbered from 0; 0: one, without a number */
	bool read_once;	    /* stop after the first whole read */
	/*
	 * Its rows are few, and rewritten rather than added: what was missed is
	 * learned by reading them anew.
	 */
	bool rewritten;
	int32_t poll_gap_ms;  /* from an answer of the feed to the next call */
	int32_t long_poll_ms; /* the feed waits for a change; 0: 1000 ms */
	/* A row was read, or was changed or removed (bytes NULL). */
	void (*on_row)(void *ctx, const store_row_t *row);
	/*
	 * The table was read whole.  If rewritten, rows that were handed over before
	 * and no longer exist have been handed over as removed.
	 */
	void (*on_loaded)(void *ctx);
	/*
	 * Called after a whole read and after each answer of the feed: all
	 * changes up to this time (our clock) were handed over.
	 */
	void (*on_synced)(void *ctx, int64_t as_of_ms);
	void *ctx;
} table_watch_opts_t;

table_watch_t *table_watch_new(const table_watch_opts_t *o);
/* Reads the table whole, also when the watch was running. */
void table_watch_start(table_watch_t *tw);
void table_watch_stop(table_watch_t *tw);
/* Whether the table is being read or followed. */
bool table_watch_is_on(const table_watch_t *tw);
/*
 * Drops the calls in progress, whose answers may never come, and calls again.
 * Used when the store answers after a gap.
 */
void table_watch_retry_now(table_watch_t *tw);

/*
 * Routes: finds the queue that a request belongs to by its host and the
 * longest prefix of its path.  What follows the prefix is a job's id.
 */
typedef struct {
	const platform_queue_t *queue;
	char id[SCHED_JOB_ID_BYTES + 1]; /* "": the request is for the queue */
} route_match_t;
typedef enum { ROUTE_FOUND, ROUTE_NOT_FOUND, ROUTE_BAD_ID } route_result_t;
route_result_t route_find(const platform_config_t *cfg, const char *host,
    const char *path, route_match_t *m);

/*
 * The cell driver owns the scheduler of the cell: it makes the calls to the
 * store, the workers and the approval service that the scheduler asks for,
 * and hands it the rows of the watched tables.
 */
typedef struct cell_driver cell_driver_t;
cell_driver_t *cell_driver_new(node_t *n);
sched_t *cell_driver_sched(cell_driver_t *c);
/*
 * Runs the scheduler and, when one is due, starts a read of the owner's row.
 * Called every 50 ms, and earlier after node_schedule_tick.
 */
void cell_driver_tick(cell_driver_t *c);
/* Makes the next read of the owner's row due now. */
void cell_driver_poll_owner(cell_driver_t *c);
/* Hands the settings of all queues and customers to the scheduler. */
/* The store's clock, as of now, by all of its answers so far. */
void cell_driver_store_clock_read(cell_driver_t *c, int64_t store_ms);
void cell_driver_set_queues(cell_driver_t *c, const platform_config_t *cfg);
/* All changes of the operators' table up to a time were handed over. */
void cell_driver_operators_synced(cell_driver_t *c, int64_t as_of_ms);
void cell_driver_set_zone_evacuated(
    cell_driver_t *c, const char *zone, bool evacuated);

/*
 * Removes the rows that callers wrote for these jobs, and reports the result
 * for each to the scheduler.
 */
void job_rows_remove(node_t *n, const char *const *ids, size_t count);
/* Removes the cancels and refusals of these jobs, as long as there is no job. */
void job_tombstones_remove(node_t *n, const char *const *ids, size_t count);

/*
 * The other entries of the cell.  Reports an outage of the store that all
 * entries see to the scheduler, and chooses the successor when this one leaves.
 */
typedef struct entries entries_t;
entries_t *entries_new(node_t *n, GError **err);
/* Removes this entry's row, so that the others no longer count on it. */
void entries_deregister(entries_t *es);
/* Name of the entry that should own the cell next; "" for any. */
const char *entries_successor(const entries_t *es);
/* Notifies the other entries that this one has released the cell. */
void entries_announce_release(entries_t *es);

/* A request of a caller. */
typedef struct {
	server_req_t *req;
	int64_t came_ms;
	bool held; /* it has waited for newer tables */
} incoming_t;

/*
 * Requests that wait for newer tables of the operators: each goes on, by fn, as
 * soon as these have come, the store is down, or its time is over.
 */
typedef struct held_calls held_calls_t;
typedef void (*held_calls_fn)(node_t *n, const incoming_t *in);
held_calls_t *held_calls_new(node_t *n, held_calls_fn fn);
void held_calls_add(held_calls_t *h, const incoming_t *in, int64_t until_ms);
/* Lets those go on that need wait no longer. */
void held_calls_release(held_calls_t *h);

/* Serves a request of a caller; ctx is the node. */
void ingress_request(void *ctx, server_req_t *r);
/* Serves a request, or lets it wait.  For held_calls_new(). */
void ingress_serve(node_t *n, const incoming_t *in);
/*
 * Answer with JSON.  The first takes header lines that end in CR LF; the second
 * adds a Retry-After to 429 and 503, in whole seconds rounded up.
 */
void reply_text(
    server_req_t *r, int32_t status, const char *headers, const char *body);
void reply_error(
    server_req_t *r, int32_t status, const char *why, int32_t retry_after_ms);
#define RETRY_AFTER_MS 1000 /* when nothing tells more */
/* Logs a call that was rejected because of its key, unless there are many. */
void log_rejected_call(
    node_t *n, const char *queue, const char *id, const char *why);

/* How long the caller waits for its answer. */
int32_t request_timeout_ms(const server_req_t *r);
/* By when it is to be answered, so that the answer comes in time. */
int64_t request_deadline_ms(const incoming_t *in);

typedef enum {
	REQUEST_SUBMIT,
	REQUEST_REJECT, /* a submission that is to be rejected */
	REQUEST_CANCEL,
	REQUEST_STATE
} request_kind_t;
/*
 * Begins a request that needs calls to the store, and answers it in the end.  A
 * submission is accepted once its row, which it takes over, is stored; row is
 * NULL for other requests.  customer is the caller's, interned; "": none.
 */
void request_begin(node_t *n, const incoming_t *in, request_kind_t kind,
    const route_match_t *m, const char *customer, GByteArray *row);
/* Sets how many rows without a job callers may have an entry write. */
void request_init_limits(node_t *n);
/* Why and until when a submission is rejected. */
typedef struct {
	sched_admission_t reason;
	int32_t retry_after_ms;
} rejection_t;
/*
 * Begins to reject a submission: it is accepted all the same if its row is stored,
 * as it may repeat one that was accepted and whose answer was lost.
 */
void request_reject(node_t *n, const incoming_t *in, const route_match_t *m,
    const char *customer, const rejection_t *why);

/*
 * Tables and partitions of the store.  An owner writes its rows in one
 * transaction, and a transaction has one partition, so these share one.  The
 * store runs the transactions of a partition one after another, so the rows of
 * submitted jobs are spread over many.
 */
#define CELL_TABLE	     "run0"
#define CELL_PARTITION	     "c0"
#define JOB_TABLE	     "job0"
#define JOB_PARTITION_PREFIX "j"
/* Enough for 30 submissions/s when the store is 60 times slower than usual. */
#define JOB_PARTITIONS 32
/*
 * Returns the number of the partition of a job's rows and writes its name to
 * partition, which has STORE_NAME_BYTES.
 */
int32_t job_partition(const char *id, char *partition);

/* The settings; their help texts are in node.c. */
typedef struct {
	char *name, *zone, *ip;
	char *front_addr, *ready_addr, *store_addr; /* ip:port */
	char *approval_addr;  /* ip:port of the approval service, or "" */
	int32_t metrics_port; /* 0: no metrics page */
	int32_t peer_port;
	int32_t max_lease_ms; /* the longest that a worker grants */
	int32_t keep_ended_ms;
	int32_t resubmit_window_s;
	int32_t stop_grace_ms;
	int32_t drain_ms;  /* after which a leaving worker gets no tasks */
	int32_t config_ms; /* after which a change of the tables is in force */
	char *cpu_share;   /* cores, as a decimal number */
	char *link_mbps;
	int32_t memory_mb, max_fds; /* of this process */
	char *log_level;
} node_opts_t;

/*
 * Counters of requests of callers, by their result.  refused_store and
 * state_unknown_job also count cancels.  unauthorized and auth_stale count all
 * calls answered 401, and 503 as the operators' table was too old; foreign,
 * those for a job of another customer.  bad_input counts malformed input from
 * the platform and from other entries, none of callers.  tombstones counts cancels
 * of jobs that weren't there, tombstones_refused those beyond the limit, and
 * cancelled_before the submissions after one.  no_room counts those that could not
 * wait as callers hold too much.
 */
typedef struct {
	uint64_t accepted, resubmitted, refused_store, refused_no_config,
	    refused_malformed, in_doubt, no_route, state_reads,
	    state_unknown_job, state_unreadable, cancels, queue_counts,
	    unauthorized, auth_stale, foreign, bad_input, tables_old,
	    tombstones, tombstones_refused, cancelled_before, no_room;
	/*
	 * Submissions by the time to their answer: element i counts those below
	 * 1 << i ms that no lower element counts, and the last all slower ones.
	 */
	uint64_t accept_latency[16];
} node_stats_t;

struct node {
	node_opts_t opts;
	int64_t incarnation;
	uv_loop_t *loop;
	platform_t *platform;
	cell_driver_t *cell_driver;
	table_watch_t *operator_watch;
	entries_t *entries;
	held_calls_t *held_calls;
	GPtrArray *watches;	   /* of table_watch_t; all of this process */
	platform_config_t *config; /* NULL until it was read */
	/* All changes of the operators' table up to this time were read. */
	int64_t operators_as_of_ms;
	/* The store answers after a gap; watches are to call again (retry_watches). */
	bool retry_due;
	uv_timer_t retry_timer;
	auth_log_limit_t rejected_log, unknown_log;
	/* Rows without a job that callers have this entry write; see job_rows.h. */
	rate_limit_t tombstones, refusals;

	server_t *front;	 /* requests of callers */
	server_t *ready;	 /* probes of the balancer */
	server_t *metrics;	 /* NULL: no metrics page */
	struct callers *callers; /* what they hold, of all three; see cmd.h */
	uv_timer_t tick_timer;
	uv_signal_t term, intr, hup; /* SIGTERM, SIGINT, SIGHUP */
	bool stopping;		     /* a graceful stop has begun */
	int64_t stop_began_ms;
	int64_t store_answered_ms; /* when the store last answered */
	store_clock_t store_clock;
	bool store_lost; /* it has not answered for STORE_LOST_MS */
	int64_t last_tick_ms;
	int32_t open_requests; /* of callers, waiting for the store */
	node_stats_t stats;
};

/* A steady clock, which goes on while the VM is suspended. */
int64_t node_now_ms(const node_t *n);
int64_t node_wall_ms(const node_t *n); /* since 1970 */
/*
 * Time from which a graceful stop waits no longer for the release of the cell
 * and for connections; INT64_MAX while the process is not stopping.
 */
int64_t node_stop_deadline_ms(const node_t *n);
/*
 * Whether a change of the operators' tables may be in force that this entry has not
 * read.  Then no call of a caller is decided by them.
 */
bool node_tables_old(const node_t *n);
/* All changes of the operators' tables up to this time were read. */
void node_tables_read(node_t *n, int64_t as_of_ms);
/* Whether callers should be sent here. */
bool node_is_ready(const node_t *n);
/*
 * Must be called with the result of each call to the store.  Keeps the time of
 * the last answer, and retries the change feeds when one comes after a gap.
 * Only STORE_OK, STORE_CONFLICT and STORE_COMPACTED count as answers.
 */
void
node_record_store_answer(node_t *n, store_result_t r, const store_answer_t *a);
/* Makes the next tick due within 2 ms, as the scheduler has new input. */
void node_schedule_tick(node_t *n);
/* Counts a submission that is answered, by the time since it came. */
void node_record_accept_latency(node_t *n, int64_t ms);
/* The metrics page; free it. */
char *node_metrics_text(node_t *n);

/* The subcommand `serve`. */
int serve_main(int argc, char **argv);

#endif
