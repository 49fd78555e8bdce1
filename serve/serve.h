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
	SERVE_JOB /* a job that could never run */
} serve_error_t;

typedef struct node node_t;

/*
 * Follows a table: reads it whole, then its changes, and reads it again when
 * the store no longer has the changes.
 */
typedef struct follow follow_t;
typedef struct {
	node_t *node;
	const char *table;
	const char *part; /* its name, or the front of the names of many */
	int32_t parts;	  /* how many, numbered from 0; 0: just one */
	bool once;	  /* read it whole and no more */
	int32_t gap_ms;	  /* between two reads of changes */
	int32_t wait_ms;  /* a read of changes waits so long; 0: a second */
	void (*on_row)(void *ctx, const store_row_t *row);
	/* The table has been read whole; rows not told of are not there. */
	void (*on_whole)(void *ctx);
	void (*on_fresh)(void *ctx); /* all changes so far have been told */
	void *ctx;
} follow_opts_t;

follow_t *follow_new(const follow_opts_t *o);
void follow_start(follow_t *f);
void follow_stop(follow_t *f);
/* Asks anew at once, as the store answers again. */
void follow_kick(follow_t *f);

/*
 * Routes: which queue a request belongs to.
 */
typedef struct {
	const platform_queue_t *queue;
	char id[SCHED_JOB_ID_BYTES + 1]; /* "": the queue itself is meant */
} route_match_t;
typedef enum { ROUTE_FOUND, ROUTE_UNKNOWN, ROUTE_BAD_ID } route_result_t;
route_result_t route_find(const platform_tables_t *t, const char *host,
    const char *path, route_match_t *m);

/*
 * The cell and its rows.
 */
typedef struct cell_port cell_port_t;
cell_port_t *cell_port_new(node_t *n);
sched_t *cell_port_sched(cell_port_t *c);
void cell_port_tick(cell_port_t *c);
/* Reads the owner's row at once. */
void cell_port_look(cell_port_t *c);
/* Applies tables and evacuations to the scheduler. */
void cell_port_tables(cell_port_t *c, const platform_tables_t *t);
void cell_port_fresh(cell_port_t *c); /* the operators' table */
void cell_port_zone(cell_port_t *c, const char *zone, bool evacuated);

/* Removes what callers wrote of jobs, and tells the scheduler how it went. */
void removal_send(node_t *n, const char *const *ids, size_t count);

/*
 * The other entries: whether the store is away for all, and who is the heir.
 */
typedef struct entries entries_t;
entries_t *entries_new(node_t *n, GError **err);
void entries_leave(entries_t *o);
/* Who is to own the cell after this entry, by name; "" for anyone. */
const char *entries_heir(const entries_t *o);
/* Tells the other entries that the cell has been released. */
void entries_released(entries_t *o);

/*
 * Requests of callers.
 */
void ingress_request(void *ctx, server_req_t *r);

/*
 * Where rows lie.  An owner's rows share a part, as one transaction writes
 * them; the store does a part's transactions one after another, so hand-ins
 * are spread over many.
 */
#define CELL_TABLE "run0"
#define CELL_PART  "c0"
#define JOB_TABLE  "job0"
#define JOB_PART   "j"
#define JOB_PARTS  32 /* enough for 30 hand-ins/s in a store 60 times slower */
/* The part that a job's row lies in, and its number; part has
 * STORE_NAME_BYTES. */
int32_t job_part(const char *id, char *part);

typedef struct {
	char *name, *zone, *ip;
	char *front, *ready; /* ip:port */
	char *store;	     /* ip:port */
	char *advice;	     /* ip:port, or "" */
	int32_t metrics_port, peer_port;
	int32_t max_hold_ms;
	int32_t keep_ended_ms, repeat_s;
	int32_t grace_ms;
	char *cpu_share, *link_mbps;
	char *log_level;
} node_opts_t;

/* Counters of requests, by how they ended. */
typedef struct {
	uint64_t accepted, repeated, refused_store, refused_tables,
	    refused_format, unsettled, no_route, states, state_gone,
	    state_unreadable, cancels, counts, bad_input;
	uint64_t latency[16]; /* of hand-ins, by powers of two of ms */
} node_stats_t;

struct node {
	node_opts_t o;
	int64_t incarnation;
	uv_loop_t *loop;
	platform_t *platform;
	cell_port_t *cell;
	follow_t *operators;
	entries_t *entries;
	GPtrArray *follows; /* all, of follow_t */
	platform_tables_t *tables;
	GHashTable *zones; /* evacuated; interned */
	server_t *front, *ready, *metrics;
	uv_timer_t tick;
	uv_signal_t term, intr, hup;
	bool stopping;
	int64_t stop_ms;
	int64_t store_ok_ms; /* last answer of the store */
	bool store_lost;
	int64_t ticked_ms, ticked_boot_ms;
	int32_t requests; /* under way */
	node_stats_t stats;
};

int64_t node_now(const node_t *n);
int64_t node_wall(const node_t *n);
/* When the process ends at the latest; INT64_MAX while it is not stopping. */
int64_t node_stop_by(const node_t *n);
/* Each answer of the store is told, so that its loss is noticed. */
void node_store_answer(node_t *n, store_result_t r);
/* Runs the scheduler soon, as something has changed. */
void node_soon(node_t *n);
char *node_metrics(node_t *n);

int serve_main(int argc, char **argv);

#endif
