/*
 * libtanagerspool: the scheduling and load-balancing logic of one entry (a
 * front VM's process), without sockets, threads or clock reads.  The program
 * around it passes events to ts_core_input(); the core calls the emit callback
 * with the actions that the program must carry out.  All times are
 * milliseconds of one clock that the program chooses; names passed in are
 * copied or interned.
 *
 * Terms: the store is the table service of the platform.  Workers form groups
 * (racks); one entry owns a group and sends requests and batch tasks to its
 * workers.  An incarnation is the number of a start of a VM or process: a
 * later one has a higher number.  A digest is the message in which an entry
 * regularly reports to its peers what it has free.
 *
 * Include <stdbool.h>, <stdint.h> and <glib.h> first.
 */
#ifndef TANAGERSPOOL_H
#define TANAGERSPOOL_H

#define TS_VERSION	"0.1.0"
#define TS_ID_SIZE	96  /* bytes of a job id or writer id, with the NUL */
#define TS_GROUP_MAX	40  /* bytes of a group name, the prefix of job ids */
#define TS_KEY_SIZE	256 /* bytes of any row key, with the NUL */
#define TS_TASKS_MAX	64  /* tasks one worker may run */
#define TS_POOLS_MAX	16  /* service pools one worker may serve */
#define TS_TXN_ROWS_MAX 64  /* rows grouped into one transaction */

/* GError domain of the configuration functions. */
#define TS_STATE_ERROR ts_state_error_quark()
GQuark ts_state_error_quark(void);
typedef enum {
	TS_STATE_SYNTAX, /* not a key file, or not UTF-8 */
	TS_STATE_FIELD	 /* a section or field is missing or not valid */
} ts_state_error_t;

/* A clock in milliseconds, for code that is tested with a simulated one. */
typedef struct {
	int64_t (*now_ms)(void *ctx);
	void *ctx;
} ts_clock_t;

/* Resources: the demand of a task or slot, or the capacity of a worker. */
typedef struct {
	int64_t cpu_milli; /* thousandths of a processor */
	int64_t mem_bytes;
	int32_t accel; /* whole accelerators */
} ts_res_t;

/* Whether the demand is within what is available, in every dimension. */
bool ts_res_fits(const ts_res_t *demand, const ts_res_t *available);
void ts_res_add(ts_res_t *sum, const ts_res_t *part);
void ts_res_sub(ts_res_t *sum, const ts_res_t *part);

/* Adds n times a part; an amount too large for its type is its largest value. */
void ts_res_add_times(ts_res_t *sum, const ts_res_t *part, int64_t n);

/*
 * A quota of resources, and what is held of it.  A limit of 0 means that there is
 * none.  unseen may be held besides, as far as is known.
 */
typedef struct {
	ts_res_t limit;
	ts_res_t used;
	ts_res_t unseen;
} ts_quota_t;

/* Whether all that is held stays within the limit with the demand added. */
bool ts_quota_fits(const ts_quota_t *q, const ts_res_t *demand);
/* Whether less than half of each limit is held. */
bool ts_quota_below_half(const ts_quota_t *q);
/*
 * Whether the demand of one task may be added: it fits, or less than half of each
 * limit is held, so that a task larger than the rest has its turn.
 */
bool ts_quota_allows(const ts_quota_t *q, const ts_res_t *demand);

/*
 * Configuration.  It consists of two GLib key files, kept as texts in one row
 * of the store: routes (how requests are mapped to pools) and pools (pools,
 * zones and teams).
 */
typedef enum {
	TS_POOL_SERVICE, /* takes requests of callers */
	TS_POOL_BATCH	 /* runs batch jobs */
} ts_pool_kind_t;

/* Sends the requests of one caller for a path to a pool. */
typedef struct {
	const char *name;
	const char *caller;
	const char *path; /* prefix of the request paths it matches */
	const char *pool;
	const char *token_sha256; /* SHA-256 of the caller's token, in hex */
	bool idempotent;	  /* a request may be run more than once */
	int32_t deadline_ms;	  /* longest time a request may take */
} ts_route_t;

typedef struct {
	const char *name;
	ts_pool_kind_t kind;
	GPtrArray *zones;  /* of interned names */
	int32_t slots;	   /* most concurrent requests per worker */
	int32_t conns;	   /* most connections per worker */
	int32_t priority;  /* 0 to 9; queued requests of 0 are served first */
	int32_t retry_pct; /* retries allowed per hundred requests */
	int32_t queue_ms;  /* longest expected wait for a slot */
	int32_t port;	   /* of the pool's backend servers */
	/*
	 * What a slot of a service takes; of a batch pool, the largest task
	 * that it takes, without limit if cpu_milli is 0.
	 */
	ts_res_t slot_size;
} ts_pool_t;

typedef struct {
	const char *name;
	bool out_of_service; /* gets no new work; its tasks are evicted */
} ts_zone_t;

/* A team that submits batch jobs. */
typedef struct {
	const char *name;
	int64_t quota_cpu_milli; /* most that its running tasks may hold */
} ts_team_t;

/* A configuration that has been parsed and checked. */
typedef struct {
	int64_t version;	 /* of its row in the store */
	GPtrArray *routes;	 /* of ts_route_t */
	GPtrArray *pools;	 /* of ts_pool_t */
	GPtrArray *zones;	 /* of ts_zone_t */
	GPtrArray *teams;	 /* of ts_team_t */
	GHashTable *team_index;	 /* name -> ts_team_t, of teams */
	GHashTable *token_index; /* token_sha256 -> GPtrArray of ts_route_t */
} ts_conf_t;

/*
 * Parses and checks both texts.  Returns NULL if anything is wrong and appends
 * a message for each error to errs ("file:line: [section] field: message").
 */
ts_conf_t *ts_conf_parse(
    const char *routes, const char *pools, int64_t version, GPtrArray *errs);
void ts_conf_free(ts_conf_t *conf);
/* The route of this caller whose path is the longest prefix, or NULL. */
const ts_route_t *ts_conf_find_route(
    const ts_conf_t *conf, const char *token_sha256, const char *path);
const ts_pool_t *ts_conf_find_pool(const ts_conf_t *conf, const char *name);
const ts_team_t *ts_conf_find_team(const ts_conf_t *conf, const char *name);
/* Whether the zone is out of service; a zone not configured is. */
bool ts_conf_zone_is_out(const ts_conf_t *conf, const char *zone);
/* Whether the pool may use workers of the zone. */
bool ts_conf_pool_in_zone(const ts_pool_t *pool, const char *zone);
/*
 * Returns a copy of the pools text in which the zone is out of service or in
 * service; NULL and err if the text has a syntax error or lacks the zone.
 */
char *
ts_conf_set_zone(const char *pools, const char *zone, bool out, GError **err);

/*
 * Rows kept in the store.
 */
typedef enum {
	TS_ROW_CONF,  /* the configuration */
	TS_ROW_GROUP, /* the owner of a worker group */
	TS_ROW_JOB,   /* a batch job, which is one task */
	TS_ROW_IDEM   /* the outcome of a request with an idempotency key */
} ts_row_kind_t;

typedef enum {
	TS_JOB_QUEUED,
	TS_JOB_RUNNING,
	TS_JOB_DONE,
	TS_JOB_FAILED,
	TS_JOB_CANCELLED,
	TS_JOB_HELD, /* failed too often; is not started again */
	TS_JOB_MOVED /* moved to another group, where it has a new id */
} ts_job_state_t;
#define TS_JOB_STATES 7

typedef struct {
	char id[TS_ID_SIZE];	   /* group name, "/" and a unique name */
	char moved_to[TS_ID_SIZE]; /* new id, if moved */
	const char *team;
	const char *class; /* name shared by jobs that behave alike */
	const char *pool;
	const char *worker;	    /* of the current attempt, or NULL */
	int64_t worker_incarnation; /* of the worker's VM */
	int64_t submitted_ms;
	int64_t deadline_ms; /* absolute */
	int64_t run_ms;	     /* run time as submitted */
	int64_t progress_ms; /* run time saved by the last checkpoint */
	ts_res_t size;	     /* resources as submitted */
	ts_job_state_t state;
	int32_t attempt;
	int32_t evictions;
	int32_t failures;
	bool urgent; /* is started first; tasks may be evicted for it */
	bool cancel_requested;
	const char *failed_on[3]; /* distinct workers it failed on */
} ts_job_t;

typedef struct {
	const char *owner;   /* entry name, or NULL when released */
	int64_t incarnation; /* of the owner */
	int64_t epoch;	     /* fencing token: grows with each claim */
} ts_group_row_t;

#define TS_IDEM_PENDING 0    /* may have been sent to a backend server */
#define TS_IDEM_NOT_RUN (-1) /* did not run; the key may be used again */

typedef struct {
	int32_t status; /* TS_IDEM_* or the HTTP status of the answer */
	int64_t at_ms;	/* when it was recorded */
} ts_idem_row_t;

typedef struct {
	char *routes; /* key file text */
	char *pools;
} ts_conf_row_t;

typedef struct {
	ts_row_kind_t kind;
	char key[TS_KEY_SIZE];
	char writer[TS_ID_SIZE]; /* unique id of the last write */
	int64_t version;	 /* grows with each write; 0: no such row */
	union {
		ts_conf_row_t conf;
		ts_group_row_t group;
		ts_job_t job;
		ts_idem_row_t idem;
	} u;
} ts_row_t;

/* One row of a transaction, which fails if any row has another version. */
typedef struct {
	ts_row_t row; /* expected version, and the contents to write */
	bool write;   /* false: only check the version */
} ts_txn_row_t;

/*
 * The platform's list of VMs.
 */
typedef enum { TS_VM_ENTRY, TS_VM_WORKER } ts_vm_kind_t;

typedef struct {
	const char *name;
	const char *zone;
	const char *group; /* of a worker: its rack */
	const char *ip;
	ts_vm_kind_t kind;
	int64_t incarnation;
	int32_t port; /* peer port of an entry, agent port of a worker */
	bool leaving; /* about to be removed: gets no new work */
	ts_res_t capacity;
} ts_vm_t;

/*
 * Worker agents.  The owner of a group sends each worker a sync with orders
 * for its tasks; the answer reports the state of every task and slot there.
 * Reports are complete and orders are repeated, so the next sync makes up for
 * one that is lost or late.
 */
typedef enum {
	TS_TASK_RUN,	    /* start it, or renew its lease */
	TS_TASK_CHECKPOINT, /* checkpoint it, then stop it */
	TS_TASK_STOP,
	TS_TASK_FORGET /* its end is recorded: report it no more */
} ts_task_command_t;

typedef enum {
	TS_TASK_RUNNING,
	TS_TASK_DONE,
	TS_TASK_FAILED,
	TS_TASK_STOPPED,     /* by order, or because its lease expired */
	TS_TASK_CHECKPOINTED /* checkpointed, then stopped */
} ts_task_state_t;

typedef struct {
	char id[TS_ID_SIZE];
	ts_task_command_t command;
	int32_t attempt;
	int32_t share_pct;	/* processor share; 100 is unthrottled */
	int64_t lease_until_ms; /* worker's clock: stops itself then */
	int64_t start_by_ms; /* worker's clock; 0: renew only, do not start */
	int64_t run_ms;
	int64_t progress_ms; /* where the last checkpoint continues */
	const char *class;
	ts_res_t size;
} ts_task_order_t;

typedef struct {
	char id[TS_ID_SIZE];
	ts_task_state_t state;
	int32_t attempt;
	int64_t progress_ms;
	int64_t used_cpu_milli; /* measured some time ago */
	int64_t used_mem_bytes; /* measured some time ago */
} ts_task_report_t;

typedef struct {
	const char *pool;
	int32_t running; /* requests in progress */
} ts_slot_report_t;

typedef struct {
	const char *worker;
	int64_t incarnation; /* of the VM that is addressed */
	int64_t epoch;	     /* of the group's owner */
	int64_t seq;	     /* grows with each sync of the worker */
	const ts_task_order_t *orders;
	size_t norders;
} ts_sync_t;

typedef struct {
	const char *worker;
	int64_t incarnation; /* of the VM that answers */
	int64_t clock_ms;    /* the worker's own clock */
	int64_t epoch;	     /* highest that the worker has received */
	int64_t seq;	     /* newest sync carried out in that epoch */
	const ts_task_report_t *tasks;
	size_t ntasks;
	const ts_slot_report_t *slots;
	size_t nslots;
} ts_sync_answer_t;

/*
 * Messages between entries.
 */
typedef enum {
	TS_MSG_DIGEST,	       /* what the sender has free and in use */
	TS_MSG_FORWARD,	       /* a request that the receiver is to serve */
	TS_MSG_REPLY,	       /* the outcome of a forwarded request */
	TS_MSG_JOB_CHANGED,    /* a job row of the receiver's group changed */
	TS_MSG_GROUP_RELEASED, /* a group has no owner any more */
	TS_MSG_CONF	       /* a newer configuration than the receiver's */
} ts_msg_kind_t;

/* What a digest reports of a pool, a group or a team. */
typedef struct {
	const char *name; /* of the pool, group or team */
	const char *zone; /* of a group */
	/*
	 * pool: free slots; group: processor thousandths free for batch;
	 * team: processor thousandths in use
	 */
	int64_t free;
	int64_t queued; /* group: processor thousandths that jobs wait for */
} ts_capacity_t;

typedef enum {
	TS_OUTCOME_ANSWERED, /* a backend server answered */
	TS_OUTCOME_NOT_RUN,  /* certainly not run: safe to retry */
	TS_OUTCOME_UNKNOWN   /* may have run */
} ts_outcome_t;

typedef struct {
	ts_msg_kind_t kind;
	/* digest; conf has conf_version too */
	int64_t conf_version;
	bool draining;
	const ts_capacity_t *pools;
	size_t npools;
	const ts_capacity_t *groups;
	size_t ngroups;
	const ts_capacity_t *teams;
	size_t nteams;
	/* forward and reply */
	uint64_t req; /* request id at the entry that forwarded it */
	const char *pool;
	int32_t left_ms; /* until the deadline */
	bool idempotent;
	ts_outcome_t outcome;
	int64_t free; /* reply: free slots of the pool at the sender */
	/* job changed: row key; group released: group name */
	const char *key;
	/* conf */
	const char *routes;
	const char *pools_text;
} ts_msg_t;

/*
 * Counters of the core, shown as metrics under the names that
 * ts_counter_name() returns.  TS_C_REFUSE_* and TS_C_FAIL_* are also the
 * reasons for which a request is refused.
 */
typedef enum {
	TS_C_REQUESTS,
	TS_C_ANSWERED,
	TS_C_FORWARDED,
	TS_C_REFUSE_NOT_READY, /* no configuration has been read yet */
	TS_C_REFUSE_CALLER,    /* the token is not known */
	TS_C_REFUSE_ROUTE,     /* no route to a service pool */
	TS_C_REFUSE_FULL,      /* no slot is free in time */
	TS_C_REFUSE_DEADLINE,  /* the deadline passed in the queue */
	TS_C_REFUSE_STORE,     /* the idempotency key can't be checked */
	TS_C_REFUSE_DUPLICATE, /* the idempotency key is used already */
	TS_C_FAIL_NOT_RUN,     /* the attempts did not run */
	TS_C_FAIL_UNKNOWN,     /* an attempt may have run */
	TS_C_FAIL_BUDGET,      /* the pool's retry budget is used up */
	TS_C_RETRY_NOT_RUN,    /* retries of requests that did not run */
	TS_C_RETRY_IDEMPOTENT, /* retries of requests that may have run */
	TS_C_RETRY_PEER_FULL,  /* forwards that a peer did not run */
	TS_C_TXN_OK,
	TS_C_TXN_CONFLICT,
	TS_C_TXN_UNKNOWN, /* transactions without an answer */
	TS_C_TXN_RETRY,
	TS_C_READ_FAILED,
	TS_C_CLAIMS,
	TS_C_RELEASES,
	TS_C_TAKEOVERS, /* claims of groups whose owner is gone */
	TS_C_FENCED,	/* groups lost to another owner */
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
	TS_C_TASK_LOST,	       /* attempts that ended without a result */
	TS_C_THROTTLE,	       /* reductions of a task's processor share */
	TS_C_START_WAIT_CONF,  /* no start: configuration not confirmed */
	TS_C_START_WAIT_QUOTA, /* no start: the team's quota is used up */
	TS_C_START_WAIT_ROOM,  /* no start: no worker has enough free */
	TS_C_QUARANTINE,       /* workers put into quarantine */
	TS_C_BAD_INPUT,	       /* malformed messages and keys */
	TS_C_MAX
} ts_counter_t;

const char *ts_counter_name(ts_counter_t c);

/*
 * Events, the input of the core.  What they point to is read during the call
 * only.
 */
typedef enum {
	TS_EV_TICK,	   /* time has passed; about every 20 ms */
	TS_EV_STOP,	   /* begin a graceful stop */
	TS_EV_REQUEST,	   /* a caller's request arrived */
	TS_EV_ATTEMPT_END, /* a request sent to a backend server ended */
	TS_EV_PEER,	   /* a connection to a peer came, went or failed */
	TS_EV_MSG,	   /* a message from a peer */
	TS_EV_VMS,	   /* the platform's list of VMs */
	TS_EV_READ_END,	   /* a read of the store ended */
	TS_EV_TXN_END,	   /* a transaction of the store ended */
	TS_EV_SYNC_END,	   /* a worker answered a sync, or did not in time */
	TS_EV_SUBMIT,	   /* a batch job was submitted */
	TS_EV_CANCEL	   /* a batch job is to be cancelled */
} ts_ev_kind_t;

typedef enum {
	TS_PEER_UP,
	TS_PEER_DOWN,	/* the connection was lost or could not be made */
	TS_PEER_REFUSED /* connection refused: nothing listens there */
} ts_peer_state_t;

typedef enum {
	TS_TXN_OK,
	TS_TXN_CONFLICT, /* a row has another version: nothing written */
	TS_TXN_UNKNOWN	 /* no answer: it may have been applied */
} ts_txn_result_t;

typedef struct {
	ts_ev_kind_t kind;
	union {
		struct {
			uint64_t id;
			const char *token_sha256;
			const char *path;
			const char *idem_key; /* or NULL */
			int32_t left_ms;      /* 0: the route's deadline */
		} request;
		struct {
			uint64_t req;
			int32_t attempt;
			ts_outcome_t outcome;
			int32_t status; /* HTTP status, if answered */
		} attempt_end;
		struct {
			const char *name;
			int64_t incarnation; /* if up */
			ts_peer_state_t state;
		} peer;
		struct {
			const char *from;
			const ts_msg_t *msg;
			uint64_t req; /* a forward: its request id here */
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
			size_t conflict_index; /* of the row in conflict */
			int64_t version;       /* of the rows written, if ok */
		} txn;
		struct {
			const char *worker;
			int64_t seq;
			bool ok;
			const ts_sync_answer_t *answer;
		} sync;
		struct {
			uint64_t id;
			const ts_job_t *job; /* its id is ignored */
			int32_t tasks;	     /* number of such jobs to create */
		} submit;
		struct {
			uint64_t id;
			const char *job;
		} cancel;
	} u;
} ts_ev_t;

/*
 * Actions, the output of the core.  What they point to is valid during the
 * call only.
 */
typedef enum {
	TS_ACT_ANSWER,	     /* pass the backend server's answer on */
	TS_ACT_REFUSE,	     /* end a request; its caller gets an error */
	TS_ACT_SEND_REQUEST, /* send a request to a backend server */
	TS_ACT_SEND_MSG,     /* send a message to a peer */
	TS_ACT_READ,	     /* read rows from the store */
	TS_ACT_TXN,	     /* run a transaction in the store */
	TS_ACT_SYNC,	     /* send a sync to a worker agent */
	TS_ACT_JOB_REPLY,    /* answer a submit or cancel */
	TS_ACT_LOG,	     /* write a numbered event to the log */
	TS_ACT_EXIT	     /* the graceful stop is complete: exit */
} ts_act_kind_t;

/*
 * Numbers of log events, by which operators find them.  The comments list the
 * subject, the detail, if any, and the value of each.
 */
typedef enum {
	TS_LOG_CONF_ADOPTED = 101, /* "conf"; version */
	TS_LOG_CONF_INVALID = 102, /* "conf"; first error; version */
	TS_LOG_GROUP_CLAIM = 201,  /* group; last owner or "free"; new epoch */
	TS_LOG_GROUP_OWNED = 202,  /* group; this entry; epoch */
	TS_LOG_GROUP_RELEASED = 203, /* group; epoch */
	TS_LOG_GROUP_LOST = 204,     /* group; owner last read; epoch */
	TS_LOG_PEER_UP = 211,	     /* peer; incarnation */
	TS_LOG_PEER_DOWN = 212,	     /* peer; incarnation */
	TS_LOG_JOB_STARTED = 301,    /* job id; worker; attempt */
	TS_LOG_JOB_ENDED = 302,	     /* job id; "done"; attempt */
	TS_LOG_JOB_EVICTED = 303,    /* job id; worker; saved run time in ms */
	TS_LOG_JOB_LOST = 304,	     /* job id; reason; attempt */
	TS_LOG_JOB_HELD = 305,	     /* job id; failures */
	TS_LOG_JOB_MOVED = 306,	     /* job id; new id; 0 */
	TS_LOG_WORKER_QUARANTINED = 311, /* worker; duration in ms */
	TS_LOG_DRAIN_BEGUN = 401,	 /* this entry; groups owned */
	TS_LOG_DRAINED = 402 /* this entry; "idle" or "timeout"; ms taken */
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
			int32_t status;		/* HTTP status */
			int32_t retry_after_ms; /* 0: none is advised */
		} refuse;
		struct {
			uint64_t req;
			int32_t attempt;
			const char *worker;
			const char *ip;
			int32_t port;
			int32_t conns;	 /* most to open to this server */
			int32_t left_ms; /* until the deadline */
		} send;
		struct {
			const char *to;
			const ts_msg_t *msg;
			/*
			 * A request: its body goes along with a forward, its
			 * answer with a reply.
			 */
			uint64_t req;
		} msg;
		struct {
			uint64_t id;
			const char *prefix;
			int64_t newer_than; /* only rows of later version */
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
			const char *job;   /* id, if accepted */
			int32_t retry_after_ms;
		} job;
		struct {
			ts_log_event_t number;
			const char *subject; /* name or id concerned */
			const char *detail;
			int64_t value; /* by event, see ts_log_event_t */
		} log;
	} u;
} ts_act_t;

/*
 * The core of one entry.
 */
typedef struct ts_core ts_core_t;

/* Load-balancing policy: how a worker with a free slot is chosen. */
typedef enum {
	TS_BALANCE_LATENCY,	/* least outstanding requests x latency */
	TS_BALANCE_OUTSTANDING, /* least outstanding requests */
	TS_BALANCE_TWO_CHOICES, /* the less loaded of two random workers */
	TS_BALANCE_RANDOM
} ts_balance_t;

typedef struct {
	const char *name;
	const char *zone;
	int64_t incarnation;
	uint32_t seed;
	/* Policies: 0 in production, others as baselines for comparison. */
	ts_balance_t balance;
	bool no_throttle; /* neither learn interference nor throttle for it */
	/* Place first fit, trust declared run times, keep no late queue. */
	bool no_learning;
	void (*emit)(void *ctx, const ts_act_t *act);
	void *ctx;
	/* Times in milliseconds; 0 selects the default in brackets. */
	int32_t conf_poll_ms;	 /* [500] between reads of the configuration */
	int32_t conf_stale_ms;	 /* [2500] no starts if confirmed longer ago */
	int32_t sync_ms;	 /* [1000] between syncs of a worker */
	int32_t digest_ms;	 /* [200] between digests to peers */
	int32_t lease_ms;	 /* [90000] of a batch task */
	int32_t lease_margin_ms; /* [5000] added for clock drift */
	int32_t drain_ms;	 /* [20000] longest graceful stop */
} ts_core_opts_t;

ts_core_t *ts_core_new(const ts_core_opts_t *opts);
void ts_core_free(ts_core_t *core);
/* Processes one event; the emit callback is called before it returns. */
void ts_core_input(ts_core_t *core, const ts_ev_t *ev, int64_t now_ms);
/*
 * Whether callers may send requests here: the configuration has been read, no
 * stop has begun, and there is a worker or peer to serve from or the first
 * seconds after the start have passed.
 */
bool ts_core_ready(const ts_core_t *core);
uint64_t ts_core_counter(const ts_core_t *core, ts_counter_t c);
/* Counts what only the program around the core sees. */
void ts_core_counter_inc(ts_core_t *core, ts_counter_t c);
/* Text for the status command; the caller frees it. */
char *ts_core_status(const ts_core_t *core);
/* A job in a group that this entry owns, or NULL. */
const ts_job_t *ts_core_find_job(const ts_core_t *core, const char *id);
/* Calls fn for each job in the groups that this entry owns. */
void ts_core_foreach_job(const ts_core_t *core,
    void (*fn)(void *ctx, const ts_job_t *job), void *ctx);

#endif
