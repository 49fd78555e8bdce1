/*
 * libtanagerspool: the decisions of one entry, without sockets, threads or
 * clock reads.  Feed events in with ts_core_input(); the core answers by
 * calling the emit callback with actions.  All times are milliseconds of one
 * clock chosen by the caller; all names handed in are copied or interned.
 *
 * Include <stdbool.h>, <stdint.h> and <glib.h> first.
 */
#ifndef TANAGERSPOOL_H
#define TANAGERSPOOL_H

#define TS_VERSION	"0.1.0"
#define TS_ID_SIZE	96  /* bytes of a job or row key, with the NUL */
#define TS_GROUP_MAX	40  /* bytes of a group's name, which begins job ids */
#define TS_KEY_SIZE	256 /* bytes of a table row key, with the NUL */
#define TS_TASKS_MAX	64  /* tasks one worker may run */
#define TS_POOLS_MAX	16  /* service pools one worker may serve */
#define TS_TXN_ROWS_MAX 64  /* rows grouped into one transaction */

/* Errors of the state layer. */
#define TS_STATE_ERROR ts_state_error_quark()
GQuark ts_state_error_quark(void);
typedef enum {
	TS_STATE_SYNTAX, /* not a key file, or not UTF-8 */
	TS_STATE_FIELD	 /* a field is missing, unknown or out of range */
} ts_state_error_t;

/* Milliseconds now; the library's users hand in their own clock. */
typedef struct {
	int64_t (*now_ms)(void *ctx);
	void *ctx;
} ts_clock_t;

/* What a task or slot takes, or a worker holds. */
typedef struct {
	int64_t cpu_milli; /* thousandths of a processor */
	int64_t mem_bytes;
	int32_t accel; /* whole accelerators */
} ts_res_t;

bool ts_res_fits(const ts_res_t *want, const ts_res_t *room);
void ts_res_add(ts_res_t *sum, const ts_res_t *part);
void ts_res_sub(ts_res_t *sum, const ts_res_t *part);

/*
 * Tables.  A configuration is both tables, checked and joined.
 */
typedef enum { TS_POOL_SERVICE, TS_POOL_BATCH } ts_pool_kind_t;

typedef struct {
	const char *name;
	const char *caller;
	const char *path; /* prefix of the request path */
	const char *pool;
	const char *token_sha256; /* hex, of the caller's token */
	bool idempotent;	  /* may be sent more than once */
	int32_t deadline_ms;	  /* longest a request may take */
} ts_route_t;

typedef struct {
	const char *name;
	ts_pool_kind_t kind;
	GPtrArray *zones;   /* of interned names */
	int32_t slots;	    /* requests in progress per worker */
	int32_t conns;	    /* connections per worker */
	int32_t priority;   /* 0 is shed last */
	int32_t retry_pct;  /* retries per hundred requests */
	int32_t queue_ms;   /* longest wait for a slot */
	int32_t port;	    /* of the backend server */
	ts_res_t slot_size; /* what a slot, or a task at most, takes */
} ts_pool_t;

typedef struct {
	const char *name;
	bool out_of_service; /* taken out of service */
} ts_zone_t;

typedef struct {
	const char *name;
	int64_t quota_cpu_milli;
} ts_team_t;

typedef struct {
	int64_t version;
	GPtrArray *routes;	 /* of ts_route_t */
	GPtrArray *pools;	 /* of ts_pool_t */
	GPtrArray *zones;	 /* of ts_zone_t */
	GPtrArray *teams;	 /* of ts_team_t */
	GHashTable *team_index;	 /* name -> ts_team_t */
	GHashTable *token_index; /* token -> GPtrArray of ts_route_t */
} ts_conf_t;

/* Parses and checks both tables; NULL and messages in errs when wrong. */
ts_conf_t *ts_conf_parse(
    const char *routes, const char *pools, int64_t version, GPtrArray *errs);
void ts_conf_free(ts_conf_t *conf);
const ts_route_t *ts_conf_find_route(
    const ts_conf_t *conf, const char *token_sha256, const char *path);
const ts_pool_t *ts_conf_find_pool(const ts_conf_t *conf, const char *name);
const ts_team_t *ts_conf_find_team(const ts_conf_t *conf, const char *name);
bool ts_conf_zone_is_out(const ts_conf_t *conf, const char *zone);
bool ts_conf_pool_in_zone(const ts_pool_t *pool, const char *zone);
/* Rewrites the pools text with a zone out or in. */
char *
ts_conf_set_zone(const char *pools, const char *zone, bool out, GError **err);

/*
 * Rows kept in the platform's table.
 */
typedef enum {
	TS_ROW_CONF,  /* both tables */
	TS_ROW_GROUP, /* the owner of a worker group */
	TS_ROW_JOB,   /* a batch task */
	TS_ROW_IDEM   /* an idempotency key */
} ts_row_kind_t;

typedef enum {
	TS_JOB_QUEUED,
	TS_JOB_RUNNING,
	TS_JOB_DONE,
	TS_JOB_FAILED,
	TS_JOB_CANCELLED,
	TS_JOB_HELD, /* failed on too many workers */
	TS_JOB_MOVED /* queued in another group under a new key */
} ts_job_state_t;
#define TS_JOB_STATES 7

typedef struct {
	char id[TS_ID_SIZE]; /* "group/unique" */
	char moved_to[TS_ID_SIZE];
	const char *team;
	const char *class; /* jobs alike in size and behaviour */
	const char *pool;
	const char *worker;	    /* of the current attempt, or NULL */
	int64_t worker_incarnation; /* incarnation of that VM */
	int64_t submitted_ms;
	int64_t deadline_ms; /* absolute */
	int64_t run_ms;	     /* declared run time */
	int64_t progress_ms; /* kept by the last checkpoint */
	ts_res_t size;	     /* declared */
	ts_job_state_t state;
	int32_t attempt;
	int32_t evictions;
	int32_t failures;
	bool urgent;
	bool cancel_requested;
	const char *failed_on[3]; /* distinct workers */
} ts_job_t;

typedef struct {
	const char *owner;   /* entry name, or NULL when released */
	int64_t incarnation; /* of the owner */
	int64_t epoch;	     /* grows with each claim */
} ts_group_row_t;

#define TS_IDEM_PENDING 0    /* may have been sent */
#define TS_IDEM_NOT_RUN (-1) /* was not run */

typedef struct {
	int32_t status; /* TS_IDEM_* or that of the answer */
	int64_t at_ms;
} ts_idem_row_t;

typedef struct {
	char *routes; /* key file text */
	char *pools;
} ts_conf_row_t;

typedef struct {
	ts_row_kind_t kind;
	char key[TS_KEY_SIZE];
	char writer[TS_ID_SIZE]; /* token of the last write */
	int64_t version;	 /* of the row; 0 is absent */
	union {
		ts_conf_row_t conf;
		ts_group_row_t group;
		ts_job_t job;
		ts_idem_row_t idem;
	} u;
} ts_row_t;

/* One row of a transaction: the version it must have, and what to write. */
typedef struct {
	ts_row_t row; /* version is the expected one */
	bool write;   /* false: only check the version */
} ts_txn_row_t;

/*
 * The platform's list of VMs.
 */
typedef enum { TS_VM_ENTRY, TS_VM_WORKER } ts_vm_kind_t;

typedef struct {
	const char *name;
	const char *zone;
	const char *group; /* rack, for a worker */
	const char *ip;
	ts_vm_kind_t kind;
	int64_t incarnation;
	int32_t port; /* peer port, or the agent's */
	bool leaving;
	ts_res_t capacity;
} ts_vm_t;

/*
 * Worker agents.  A sync carries everything the owner wants of a worker and
 * its answer everything the worker does, so that a lost or late one is made
 * good by the next.
 */
typedef enum {
	TS_TASK_RUN,	    /* start it, or renew its lease */
	TS_TASK_CHECKPOINT, /* checkpoint it, then stop it */
	TS_TASK_STOP,
	TS_TASK_FORGET /* the end is recorded */
} ts_task_command_t;

typedef enum {
	TS_TASK_RUNNING,
	TS_TASK_DONE,
	TS_TASK_FAILED,
	TS_TASK_STOPPED,     /* by wish or by the end of its lease */
	TS_TASK_CHECKPOINTED /* checkpointed, then stopped */
} ts_task_state_t;

typedef struct {
	char id[TS_ID_SIZE];
	ts_task_command_t command;
	int32_t attempt;
	int32_t share_pct;	/* processor share; 100 is unthrottled */
	int64_t lease_until_ms; /* worker's clock */
	int64_t start_by_ms;	/* worker's clock; 0: do not start */
	int64_t run_ms;
	int64_t progress_ms;
	const char *class;
	ts_res_t size;
} ts_task_order_t;

typedef struct {
	char id[TS_ID_SIZE];
	ts_task_state_t state;
	int32_t attempt;
	int64_t progress_ms;
	int64_t used_cpu_milli; /* lags */
	int64_t used_mem_bytes; /* lags */
} ts_task_report_t;

typedef struct {
	const char *pool;
	int32_t running; /* requests in progress */
} ts_slot_report_t;

typedef struct {
	const char *worker;
	int64_t incarnation; /* of the VM that is meant */
	int64_t epoch;	     /* of the group */
	int64_t seq;
	const ts_task_order_t *orders;
	size_t norders;
} ts_sync_t;

typedef struct {
	const char *worker;
	int64_t incarnation; /* of the VM that answers */
	int64_t clock_ms;    /* the worker's own clock */
	int64_t epoch;	     /* highest seen */
	int64_t seq;	     /* newest obeyed in that epoch */
	const ts_task_report_t *tasks;
	size_t ntasks;
	const ts_slot_report_t *slots;
	size_t nslots;
} ts_sync_answer_t;

/*
 * Messages between entries.
 */
typedef enum {
	TS_MSG_DIGEST,
	TS_MSG_FORWARD,
	TS_MSG_REPLY,
	TS_MSG_JOB_CHANGED,    /* a job row of your group changed */
	TS_MSG_GROUP_RELEASED, /* a group waits for its next owner */
	TS_MSG_CONF	       /* a newer configuration */
} ts_msg_kind_t;

typedef struct {
	const char *name; /* pool, or group for batch room */
	const char *zone; /* for a group */
	int64_t free;	  /* slots, or processor thousandths */
	int64_t queued;	  /* processor thousandths waiting */
} ts_capacity_t;

typedef enum {
	TS_OUTCOME_ANSWERED,
	TS_OUTCOME_NOT_RUN,
	TS_OUTCOME_UNKNOWN
} ts_outcome_t;

typedef struct {
	ts_msg_kind_t kind;
	/* digest */
	int64_t conf_version;
	bool draining;
	const ts_capacity_t *pools;
	size_t npools;
	const ts_capacity_t *groups;
	size_t ngroups;
	const ts_capacity_t *teams; /* free: processor in use */
	size_t nteams;
	/* forward and reply */
	uint64_t req; /* the sender's number */
	const char *pool;
	int32_t left_ms; /* until the deadline */
	bool idempotent;
	ts_outcome_t outcome;
	int64_t free; /* slots of the pool left there */
	/* job and released */
	const char *key;
	/* conf; the version is conf_version */
	const char *routes;
	const char *pools_text;
} ts_msg_t;

/*
 * Why a request was refused, a start put off or something tried again.  Each
 * has a counter; the names are ts_counter_name()'s.
 */
typedef enum {
	TS_C_REQUESTS,
	TS_C_ANSWERED,
	TS_C_FORWARDED,
	TS_C_REFUSE_NOT_READY,
	TS_C_REFUSE_CALLER,
	TS_C_REFUSE_ROUTE,
	TS_C_REFUSE_FULL,
	TS_C_REFUSE_DEADLINE,
	TS_C_REFUSE_STORE,
	TS_C_REFUSE_DUPLICATE,
	TS_C_FAIL_NOT_RUN,
	TS_C_FAIL_UNKNOWN,
	TS_C_FAIL_BUDGET,
	TS_C_RETRY_NOT_RUN,
	TS_C_RETRY_IDEMPOTENT,
	TS_C_RETRY_PEER_FULL,
	TS_C_TXN_OK,
	TS_C_TXN_CONFLICT,
	TS_C_TXN_UNKNOWN,
	TS_C_TXN_RETRY,
	TS_C_READ_FAILED,
	TS_C_CLAIMS,
	TS_C_RELEASES,
	TS_C_TAKEOVERS,
	TS_C_FENCED,
	TS_C_CONF_ADOPTED,
	TS_C_CONF_INVALID,
	TS_C_JOB_SUBMITTED,
	TS_C_JOB_REFUSED,
	TS_C_JOB_MOVED,
	TS_C_JOB_HELD,
	TS_C_TASK_STARTED,
	TS_C_TASK_DONE,
	TS_C_TASK_FAILED,
	TS_C_TASK_EVICTED,
	TS_C_TASK_LOST,
	TS_C_THROTTLE,
	TS_C_START_WAIT_CONF,
	TS_C_START_WAIT_QUOTA,
	TS_C_START_WAIT_ROOM,
	TS_C_QUARANTINE,
	TS_C_BAD_INPUT,
	TS_C_MAX
} ts_counter_t;

const char *ts_counter_name(ts_counter_t c);

/*
 * Events.  Everything pointed to is only read during the call.
 */
typedef enum {
	TS_EV_TICK,
	TS_EV_STOP, /* begin a graceful stop */
	TS_EV_REQUEST,
	TS_EV_ATTEMPT_END, /* an attempt ended */
	TS_EV_PEER,	   /* a connection came or went */
	TS_EV_MSG,
	TS_EV_VMS,
	TS_EV_READ_END, /* a read ended */
	TS_EV_TXN_END,	/* a transaction ended */
	TS_EV_SYNC_END, /* a worker answered, or did not */
	TS_EV_SUBMIT,
	TS_EV_CANCEL
} ts_ev_kind_t;

typedef enum { TS_PEER_UP, TS_PEER_DOWN, TS_PEER_REFUSED } ts_peer_state_t;
typedef enum { TS_TXN_OK, TS_TXN_CONFLICT, TS_TXN_UNKNOWN } ts_txn_result_t;

typedef struct {
	ts_ev_kind_t kind;
	union {
		struct {
			uint64_t id;
			const char *token_sha256;
			const char *path;
			const char *idem_key; /* or NULL */
			int32_t left_ms;      /* 0: the route's */
		} request;
		struct {
			uint64_t req;
			int32_t attempt;
			ts_outcome_t outcome;
			int32_t status; /* HTTP, if answered */
		} attempt_end;
		struct {
			const char *name;
			int64_t incarnation; /* if up */
			ts_peer_state_t state;
		} peer;
		struct {
			const char *from;
			const ts_msg_t *msg;
			uint64_t req; /* local, for a forward */
		} msg;
		struct {
			const ts_vm_t *vms;
			size_t n;
		} vms;
		struct {
			uint64_t id;
			bool ok;
			const ts_row_t *rows;
			size_t n;
		} rows;
		struct {
			uint64_t id;
			ts_txn_result_t result;
			size_t conflict_index; /* index of the row */
			int64_t version;       /* of the rows, if ok */
		} txn;
		struct {
			const char *worker;
			int64_t seq;
			bool ok;
			const ts_sync_answer_t *answer;
		} sync;
		struct {
			uint64_t id;
			const ts_job_t *job; /* id ignored */
			int32_t tasks;
		} submit;
		struct {
			uint64_t id;
			const char *job;
		} cancel;
	} u;
} ts_ev_t;

/*
 * Actions.  Everything pointed to is only valid during the call.
 */
typedef enum {
	TS_ACT_ANSWER,	     /* pass the backend's answer on */
	TS_ACT_REFUSE,	     /* answer the caller: no answer will come */
	TS_ACT_SEND_REQUEST, /* send to a backend server */
	TS_ACT_SEND_MSG,
	TS_ACT_READ,
	TS_ACT_TXN,
	TS_ACT_SYNC,
	TS_ACT_JOB_REPLY, /* the answer to a submit or cancel */
	TS_ACT_LOG,	  /* a numbered event for the log */
	TS_ACT_EXIT
} ts_act_kind_t;

typedef enum {
	TS_LOG_CONF_ADOPTED = 101,
	TS_LOG_CONF_INVALID = 102,
	TS_LOG_GROUP_CLAIM = 201,
	TS_LOG_GROUP_OWNED = 202,
	TS_LOG_GROUP_RELEASED = 203,
	TS_LOG_GROUP_LOST = 204,
	TS_LOG_PEER_UP = 211,
	TS_LOG_PEER_DOWN = 212,
	TS_LOG_JOB_STARTED = 301,
	TS_LOG_JOB_ENDED = 302,
	TS_LOG_JOB_EVICTED = 303,
	TS_LOG_JOB_LOST = 304,
	TS_LOG_JOB_HELD = 305,
	TS_LOG_JOB_MOVED = 306,
	TS_LOG_WORKER_QUARANTINED = 311,
	TS_LOG_DRAIN_BEGUN = 401,
	TS_LOG_DRAINED = 402
} ts_log_event_t;

typedef struct {
	ts_act_kind_t kind;
	union {
		struct {
			uint64_t req;
			int32_t attempt;
		} answer;
		struct {
			uint64_t req;
			ts_counter_t reason;
			ts_outcome_t outcome;
			int32_t status;		/* HTTP */
			int32_t retry_after_ms; /* come back after */
		} refuse;
		struct {
			uint64_t req;
			int32_t attempt;
			const char *worker;
			const char *ip;
			int32_t port;
			int32_t conns; /* at most */
			int32_t left_ms;
		} send;
		struct {
			const char *to;
			const ts_msg_t *msg;
			uint64_t req; /* whose body goes along */
		} msg;
		struct {
			uint64_t id;
			const char *prefix;
			int64_t newer_than; /* only rows above this */
		} read;
		struct {
			uint64_t id;
			const ts_txn_row_t *rows;
			size_t n;
		} txn;
		ts_sync_t sync;
		struct {
			uint64_t id;
			const char *error; /* NULL: accepted */
			const char *job;
			int32_t retry_after_ms;
		} job;
		struct {
			ts_log_event_t number;
			const char *subject;
			const char *detail;
			int64_t value;
		} log;
	} u;
} ts_act_t;

/*
 * The core of one entry.
 */
typedef struct ts_core ts_core_t;

/* How requests choose among free slots. */
typedef enum {
	TS_BALANCE_LATENCY,	/* least outstanding, weighed by latency */
	TS_BALANCE_OUTSTANDING, /* least outstanding */
	TS_BALANCE_TWO_CHOICES, /* the better of two at random */
	TS_BALANCE_RANDOM
} ts_balance_t;

typedef struct {
	const char *name;
	const char *zone;
	int64_t incarnation;
	uint32_t seed;
	/* Policies; zero is what is advised, the others are baselines. */
	ts_balance_t balance;
	bool no_throttle; /* leave batch alone beside services */
	bool no_learning; /* place first fit, trust sizes */
	void (*emit)(void *ctx, const ts_act_t *act);
	void *ctx;
	/* Times in milliseconds; 0 takes the default in brackets. */
	int32_t conf_poll_ms;	 /* [500] between reads */
	int32_t conf_stale_ms;	 /* [2500] no start beyond this age */
	int32_t sync_ms;	 /* [1000] between worker syncs */
	int32_t digest_ms;	 /* [200] between digests */
	int32_t lease_ms;	 /* [90000] of a batch task */
	int32_t lease_margin_ms; /* [5000] for clock drift */
	int32_t drain_ms;	 /* [20000] longest graceful stop */
} ts_core_opts_t;

ts_core_t *ts_core_new(const ts_core_opts_t *opts);
void ts_core_free(ts_core_t *core);
void ts_core_input(ts_core_t *core, const ts_ev_t *ev, int64_t now_ms);
/* True when requests may be sent here: tables read, and not stopping. */
bool ts_core_ready(const ts_core_t *core);
uint64_t ts_core_counter(const ts_core_t *core, ts_counter_t c);
void ts_core_counter_inc(ts_core_t *core, ts_counter_t c);
/* Plain text, a line a fact, for the status command. */
char *ts_core_status(const ts_core_t *core);
/* A job this entry owns, or NULL. */
const ts_job_t *ts_core_find_job(const ts_core_t *core, const char *id);
/* Calls fn for every job this entry owns. */
void ts_core_foreach_job(const ts_core_t *core,
    void (*fn)(void *ctx, const ts_job_t *job), void *ctx);

#endif
