/*
 * The scheduler as a process on the users' platform: it follows the store's
 * tables, takes requests of callers, and runs the scheduler of the cell when
 * it owns it.  Nothing is kept but what can be read again.
 *
 * Include what platform.h needs, then platform.h and trans.h, first.
 */
#ifndef SERVE_H
#define SERVE_H

/* Logs: a numbered line; see docs/EVENTS.md. */
#define EVT_STORE_LOST	     651
#define EVT_STORE_BACK	     652
#define EVT_BAD_ROW	     653
#define EVT_FEED_RESET	     654
#define EVT_ACCEPTED	     661
#define EVT_REFUSED	     662
#define EVT_UNSETTLED	     663
#define EVT_CANCEL_STORED    664
#define EVT_STATE_UNREADABLE 665
#define EVT_RELOAD	     671
#define EVT_PAUSE	     672

#define SERVE_ERROR serve_error_quark()
GQuark serve_error_quark(void);
typedef enum {
	SERVE_INVALID_JOB /* a job that could never run */
} serve_error_t;

typedef struct node node_t;

/*
 * Follows a table: reads it whole, then its changes, and reads it again when
 * the store no longer has the changes.
 */
typedef struct table_watch table_watch_t;
typedef struct {
	node_t *node;
	const char *table;
	const char *partition; /* its name, or the front of the names of many */
	int32_t partitions;    /* how many, numbered from 0; 0: just one */
	bool read_once;	       /* read it whole and no more */
	int32_t poll_gap_ms;   /* between two reads of changes */
	int32_t long_poll_ms; /* a read of changes waits so long; 0: a second */
	void (*on_row)(void *ctx, const store_row_t *row);
	/* The table has been read whole; rows not told of are not there. */
	void (*on_loaded)(void *ctx);
	void (*on_synced)(void *ctx); /* all changes so far have been told */
	void *ctx;
} table_watch_opts_t;

table_watch_t *table_watch_new(const table_watch_opts_t *o);
void table_watch_start(table_watch_t *f);
void table_watch_stop(table_watch_t *f);
/* Asks anew at once, as the store answers again. */
void table_watch_retry_now(table_watch_t *f);

/*
 * Routes: which queue a request belongs to.
 */
typedef struct {
	const platform_queue_t *queue;
	char id[SCHED_JOB_ID_BYTES + 1]; /* "": the queue itself is meant */
} route_match_t;
typedef enum { ROUTE_FOUND, ROUTE_NOT_FOUND, ROUTE_BAD_ID } route_result_t;
route_result_t route_find(const platform_config_t *t, const char *host,
    const char *path, route_match_t *m);

/*
 * The cell and its rows.
 */
typedef struct cell_driver cell_driver_t;
cell_driver_t *cell_driver_new(node_t *n);
sched_t *cell_driver_sched(cell_driver_t *c);
void cell_driver_tick(cell_driver_t *c);
/* Reads the owner's row at once. */
void cell_driver_poll_owner(cell_driver_t *c);
/* Applies tables and evacuations to the scheduler. */
void cell_driver_set_queues(cell_driver_t *c, const platform_config_t *t);
void cell_driver_operators_synced(cell_driver_t *c); /* the operators' table */
void cell_driver_set_zone(cell_driver_t *c, const char *zone, bool evacuated);

/* Removes what callers wrote of jobs, and tells the scheduler how it went. */
void job_rows_remove(node_t *n, const char *const *ids, size_t count);

/*
 * The other entries: whether the store is away for all, and who is the heir.
 */
typedef struct entries entries_t;
entries_t *entries_new(node_t *n, GError **err);
void entries_deregister(entries_t *o);
/* Who is to own the cell after this entry, by name; "" for anyone. */
const char *entries_successor(const entries_t *o);
/* Tells the other entries that the cell has been released. */
void entries_announce_release(entries_t *o);

/*
 * Requests of callers.
 */
void ingress_request(void *ctx, server_req_t *r);

/*
 * Where rows lie.  An owner's rows share a part, as one transaction writes
 * them; the store does a part's transactions one after another, so hand-ins
 * are spread over many.
 */
#define CELL_TABLE	     "run0"
#define CELL_PARTITION	     "c0"
#define JOB_TABLE	     "job0"
#define JOB_PARTITION_PREFIX "j"
#define JOB_PARTITIONS \
	32 /* enough for 30 hand-ins/s in a store 60 times slower */
/* The part that a job's row lies in, and its number; part has
 * STORE_NAME_BYTES. */
int32_t job_partition(const char *id, char *part);

typedef struct {
	char *name, *zone, *ip;
	char *front_addr, *ready_addr; /* ip:port */
	char *store_addr;	       /* ip:port */
	char *approval_addr;	       /* ip:port, or "" */
	int32_t metrics_port, peer_port;
	int32_t max_lease_ms;
	int32_t keep_ended_ms, resubmit_window_s;
	int32_t stop_grace_ms;
	char *cpu_share, *link_mbps;
	char *log_level;
} node_opts_t;

/* Counters of requests, by how they ended. */
typedef struct {
	uint64_t accepted, resubmitted, refused_store, refused_no_config,
	    refused_malformed, in_doubt, no_route, state_reads,
	    state_unknown_job, state_unreadable, cancels, queue_counts,
	    bad_input;
	uint64_t accept_latency[16]; /* of hand-ins, by powers of two of ms */
} node_stats_t;

struct node {
	node_opts_t opts;
	int64_t incarnation;
	uv_loop_t *loop;
	platform_t *platform;
	cell_driver_t *cell_driver;
	table_watch_t *operator_watch;
	entries_t *entries;
	GPtrArray *watches; /* all, of table_watch_t */
	platform_config_t *config;
	GHashTable *zones; /* evacuated; interned */
	server_t *front, *ready, *metrics;
	uv_timer_t tick_timer;
	uv_signal_t term, intr, hup;
	bool stopping;
	int64_t stop_began_ms;
	int64_t store_answered_ms; /* last answer of the store */
	bool store_lost;
	int64_t last_tick_ms, last_tick_boot_ms;
	int32_t open_requests; /* under way */
	node_stats_t stats;
};

int64_t node_now_ms(const node_t *n);
int64_t node_wall_ms(const node_t *n);
/* When the process ends at the latest; INT64_MAX while it is not stopping. */
int64_t node_stop_deadline_ms(const node_t *n);
/* Each answer of the store is told, so that its loss is noticed. */
void node_record_store_answer(node_t *n, store_result_t r);
/* Runs the scheduler soon, as something has changed. */
void node_schedule_tick(node_t *n);
char *node_metrics_text(node_t *n);

int serve_main(int argc, char **argv);

#endif
