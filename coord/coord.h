/*
 * Private header of coord/, the logic of one entry: its state, and the
 * functions that the files of this directory call in each other.
 *
 * core.c passes each event to the function *_handle_* of the file concerned,
 * and calls the functions *_tick at each tick for their periodic work.  The
 * files are listed with their functions below.  Functions named *_read and
 * *_written are called back when a read or write of the store has ended.
 * "Ours" means owned by this entry, "here" at this entry.
 */
#ifndef COORD_H
#define COORD_H

#define COORD_ERROR coord_error_quark()
GQuark coord_error_quark(void);
typedef enum {
	COORD_NEVER_RUNS,  /* the job is not valid or fits no worker */
	COORD_UNKNOWN_NAME /* no such pool or team */
} coord_error_t;

#define JOB_PREFIX "job/" /* a job's row key is this and its id */
/*
 * A process is gone, that is, proved to have ended, if its port refuses this
 * many connections in a row, over at least this span.
 */
#define GONE_MIN_REFUSALS 3
#define GONE_MIN_SPAN_MS  600
/*
 * A peer not heard from for this long gets no forwards, counts as absent in
 * assignments, and its connection no longer proves that it is running.
 */
#define SILENT_PEER_MS 3000
/* An owner missing from the VM list is gone if its claim is this old. */
#define GONE_UNLISTED_MS       60000
#define HOLD_FAILED_WORKERS    3 /* workers a job fails on before it is held */
#define QUARANTINE_FAILED_JOBS 3 /* jobs that fail before a quarantine */
#define QUARANTINE_MS	       60000
/* A job evicted so often is evicted no more for urgent jobs or services. */
#define EVICTIONS_MAX_PER_JOB 2
#define SHARE_MIN_PCT	      5 /* lowest processor share of a task */
#define TXNS_IN_FLIGHT_MAX    4 /* including those to be retried */

typedef struct group group_t;
typedef struct worker worker_t;

/* Another entry. */
typedef struct {
	const char *name;
	int64_t incarnation; /* highest that has connected */
	bool up;	     /* connected */
	bool draining;
	int32_t refusals; /* connections refused in a row */
	int64_t first_refusal_ms;
	int64_t last_refusal_ms;
	int64_t heard_ms;     /* last digest, or connection made */
	int64_t conf_version; /* of its configuration */
	/*
	 * Contents of its last digest.  Requests and jobs sent there since are
	 * deducted from free_slots and added to what is queued in groups.
	 */
	GHashTable *free_slots;	    /* pool -> slots, as int */
	GArray *groups;		    /* of ts_capacity_t */
	GHashTable *team_cpu_milli; /* team -> thousandths in use, int */
} peer_t;

typedef enum {
	GROUP_NOT_OWNED, /* by this entry */
	GROUP_CLAIMING,
	GROUP_OWNED,
	GROUP_DRAINING, /* ours, gets no new work, to be released */
	GROUP_RELEASING /* the release is being written */
} group_state_t;

/* A worker group (rack).  Only its owner sends work to its workers. */
struct group {
	const char *name;
	const char *zone;    /* NULL until a worker is listed */
	ts_group_row_t row;  /* as last read or written */
	int64_t row_version; /* 0: no such row */
	int64_t row_seen_ms; /* when this version was first read */
	group_state_t state;
	int64_t owned_since_ms;
	bool jobs_loaded;  /* its jobs have been read since the claim */
	bool read_pending; /* a read of its jobs awaits its answer */
	int64_t next_read_ms;
	int64_t jobs_version;	      /* highest version of a job row read */
	int32_t pending_writes;	      /* of its row or its jobs' rows */
	int32_t requests_in_progress; /* on its workers, sent from here */
	GPtrArray *workers;
	GHashTable *jobs;	  /* id -> job_t */
	GSequence *queue;	  /* queued jobs, by latest start */
	GSequence *late_queue;	  /* those that can't meet their deadline */
	uint32_t queue_passes;	  /* calls of start_queued_jobs() */
	int64_t next_sweep_ms;	  /* check of evictions and leases */
	int64_t queued_cpu_milli; /* declared, of all queued jobs */
};

/* The use of one worker's slots by one service pool. */
typedef struct {
	const char *pool;
	int32_t in_progress; /* requests sent from here */
	/*
	 * Requests that may still run, though not in progress here: sent by an
	 * earlier owner, or ended here with an unknown outcome.
	 */
	int32_t orphans;
	int64_t orphans_seq; /* only answers to later syncs lower orphans */
	int64_t latency_us;  /* moving average */
	int32_t samples;     /* latencies since they were last evaluated */
	int32_t interference_index; /* of the pool, see pool_t */
} slot_use_t;

/* What has been learned of a class of jobs. */
typedef struct {
	const char *name;
	int64_t run_pct; /* real run time, of the declared one; 0: unknown */
	/*
	 * By interference_index: latency that a task at full share adds to a
	 * pool's requests on the same worker, in 1/16 percent of the baseline.
	 */
	int64_t interference[TS_POOLS_MAX];
} job_class_t;

typedef struct job job_t;

/* A worker VM, ours or not. */
struct worker {
	ts_vm_t vm;  /* as last listed */
	bool listed; /* in the current list of VMs */
	group_t *group;
	bool synced;	       /* has answered a sync in this epoch */
	bool has_orphan_tasks; /* runs tasks without a job here */
	int64_t sent_seq;      /* of the last sync sent */
	int64_t answered_seq;  /* of the last sync answered */
	int64_t sync_sent_ms;
	int64_t next_sync_ms;
	bool sync_pending;	    /* a sync awaits its answer */
	bool sync_requested;	    /* is in sync_requests of the core */
	int64_t newest_incarnation; /* of the VM, from any source */
	int64_t worker_clock_ms;    /* its clock, in its last answer */
	int64_t answered_ms;	    /* our clock at its last answer */
	slot_use_t slot_use[TS_POOLS_MAX];
	int32_t nslot_use;
	ts_res_t batch_used;	      /* by batch tasks */
	ts_res_t service_reserve;     /* kept free for service slots */
	bool zone_is_out;	      /* its zone is out of service */
	GPtrArray *tasks;	      /* of job_t, placed here */
	GArray *cleanup_orders;	      /* of ts_task_order_t: stop or forget */
	int64_t suspect_until_ms;     /* no requests before this */
	int32_t connect_failures;     /* in a row */
	int64_t quarantined_until_ms; /* no tasks before this */
	GPtrArray *failed_jobs;	      /* ids of distinct jobs, interned */
	bool undisturbed;	      /* batch does not slow services down */
	bool throttled;		      /* tasks there are throttled */
	int64_t interference_pct;     /* expected of its tasks at full share */
	int64_t latency_pct;	/* worst pool's, of its baseline; 0: unknown */
	int64_t latency_pct_ms; /* when latency_pct was computed */
	/*
	 * When throttle_worker() first found it disturbed, or last looked for a
	 * task to evict there; 0 once it is undisturbed or unthrottled.
	 */
	int64_t disturbed_since_ms;
	int64_t next_halving_ms; /* no halving of shares before this */
};

/* A queued or running job in a group of ours. */
struct job {
	ts_job_t row; /* as last read or written */
	int64_t row_version;
	group_t *group;
	job_class_t *class;
	worker_t *worker;	  /* where its resources are reserved */
	GSequenceIter *queue_pos; /* in a queue of the group, or NULL */
	bool write_pending;	  /* of its row */
	bool reread_after_write;  /* the row has changed meanwhile */
	bool reported_running;	  /* by the worker, in this attempt */
	bool evict_requested;
	int64_t first_order_seq; /* first sync with its order; 0: none yet */
	int64_t latest_start_ms; /* start by then to meet the deadline */
	int64_t start_by_ms;	 /* our clock; 0: not started by this owner */
	int64_t renew_after_ms;	 /* its lease is not renewed before this */
	int64_t not_before_ms;	 /* back-off after a failure */
	int64_t first_seen_ms;	 /* when its row was first read here */
	int64_t next_evict_ms;	 /* no other task is evicted for it before */
	int64_t lease_end_ms;	 /* our clock; if its worker is not listed */
	int32_t share_pct;	 /* processor share; 100 is unthrottled */
	int64_t used_cpu_milli;
};

typedef enum {
	REQ_CLAIMING_KEY, /* its idempotency key is read or written */
	REQ_QUEUED,	  /* waits for a slot */
	REQ_SENT,	  /* to a backend server */
	REQ_FORWARDED	  /* to a peer */
} req_state_t;

/* A request that has not ended. */
typedef struct {
	uint64_t id;
	req_state_t state;
	const char *pool;
	const char *from_peer; /* that forwarded it; NULL: from a caller */
	uint64_t peer_req_id;  /* its id at that peer */
	int64_t deadline_ms;
	int64_t sent_ms;
	bool idempotent;
	int32_t forwards_refused; /* forwards that peers did not run */
	bool may_have_run;	  /* the outcome of an attempt is not known */
	int32_t attempt;
	worker_t *worker;	  /* while sent */
	const char *forwarded_to; /* peer, while forwarded */
	char *idem_key;		  /* row key, or NULL */
	int64_t idem_row_version; /* 0: not written yet */
} req_t;

/* State of a pool at this entry.  ts_pool_t is its configuration. */
typedef struct {
	const char *name;
	/* index in job_class_t.interference, or -1 beyond TS_POOLS_MAX pools */
	int32_t interference_index;
	GQueue queue;		 /* of req_t that wait for a slot */
	double retry_budget;	 /* retries that may be spent */
	int64_t mean_service_us; /* moving average of latencies */
	int64_t baseline_us;	 /* the same, on workers without batch tasks */
	int64_t lowest_us;	 /* lowest average of any worker */
	/* Decaying peak of slots in use and requests queued, in 1/16. */
	int64_t peak_in_use;
	int64_t free_slots; /* last count, less requests sent since */
	int64_t next_count_ms;
	int64_t undisturbed_needed; /* workers that should be undisturbed */
	int64_t undisturbed;	    /* workers that are */
	GPtrArray *workers;	    /* ours in its zones */
} pool_t;

typedef enum { UPDATE_OK, UPDATE_CONFLICT } update_result_t;

/*
 * Rows to be checked and written atomically.  Updates are grouped into
 * transactions; done is called once, with the result of this update.
 */
typedef struct update update_t;
struct update {
	GArray *rows; /* of ts_txn_row_t */
	void (*done)(ts_core_t *c, update_t *u, update_result_t r);
	void *arg;	      /* for done */
	uint64_t tag;	      /* for done */
	int64_t version;      /* UPDATE_OK: of the rows written */
	guint conflict_index; /* UPDATE_CONFLICT: index in rows */
};

/* A transaction of the store. */
typedef struct {
	uint64_t id;
	GPtrArray *updates;
	GArray *rows;		 /* of ts_txn_row_t, of all updates */
	char writer[TS_ID_SIZE]; /* unique id, to recognise its writes */
	bool answer_lost;	 /* an earlier try may have been applied */
	bool in_flight;
	int32_t retries;
	int64_t next_retry_ms;
} txn_t;

/* A read of the store; done is called once, with the rows or ok false. */
typedef struct read {
	uint64_t id;
	void (*done)(ts_core_t *c, struct read *r, bool ok,
	    const ts_row_t *rows, size_t n);
	void *arg;    /* for done */
	uint64_t tag; /* for done */
	int64_t issued_ms;
	char prefix[TS_KEY_SIZE]; /* of the row keys */
} read_t;

struct ts_core {
	ts_core_opts_t opts;
	GRand *rand;
	int64_t now_ms;	  /* of the latest event */
	uint64_t last_id; /* last number given to a read, txn or job */
	int64_t first_tick_ms;
	uint64_t counters[TS_C_MAX];
	/* configuration */
	ts_conf_t *conf; /* in force, or NULL */
	char *routes_text;
	char *pools_text;
	int64_t conf_invalid_version; /* newest that was not valid */
	/* The configuration in force was the newest at this time. */
	int64_t conf_confirmed_ms;
	int64_t next_conf_read_ms;
	bool conf_read_pending;
	/* membership */
	GHashTable *peers;	    /* name -> peer_t */
	GHashTable *listed_entries; /* name -> incarnation, int64 */
	bool vm_list_read;	    /* since the start or the last pause */
	int64_t next_digest_ms;
	/* ownership of groups */
	GHashTable *groups;	/* name -> group_t */
	GPtrArray *group_list;	/* the same groups */
	int64_t groups_version; /* highest version of a group row read */
	bool groups_read;	/* the group rows have been read */
	bool groups_read_pending;
	int64_t next_groups_read_ms;
	int64_t next_assign_ms;
	/* workers, requests and jobs */
	GHashTable *workers;		 /* name -> worker_t */
	GPtrArray *sync_requests;	 /* workers to sync after this event */
	GHashTable *pools;		 /* name -> pool_t */
	bool pool_workers_stale;	 /* pool_rebuild_workers() is due */
	GHashTable *reqs;		 /* id -> req_t */
	GHashTable *open_idem_keys;	 /* of requests in progress here */
	GHashTable *team_cpu_milli;	 /* team -> reserved here, int64 */
	GHashTable *classes;		 /* name -> job_class_t */
	int32_t next_interference_index; /* for the next pool */
	int64_t next_coloc_ms;
	int64_t next_deadline_check_ms;
	/* store */
	GQueue updates;			/* not in a transaction yet */
	GPtrArray *txns;		/* in flight or to be retried */
	GHashTable *reads;		/* id -> read_t */
	int64_t store_failing_since_ms; /* 0: the last call succeeded */
	/* graceful stop */
	bool draining;
	int64_t drain_since_ms;
	int64_t last_req_ms; /* last request of a caller */
	bool exit_emitted;
};

/* core.c: dispatch of events, periodic work */
void emit_log(ts_core_t *c, ts_log_event_t number, const char *subject,
    const char *detail, int64_t value);
#define COUNT(c, x) ((c)->counters[x]++)
GPtrArray *hash_values(GHashTable *h);

/* txn.c: reads and transactions of the store */
update_t *
update_new(void (*done)(ts_core_t *, update_t *, update_result_t), void *arg);
ts_row_t *update_add_row(update_t *u, ts_row_kind_t kind, const char *key,
    int64_t version, bool write);
void update_submit(ts_core_t *c, update_t *u);
void txn_send_updates(ts_core_t *c);
void txn_retry_due(ts_core_t *c);
void txn_handle_end(ts_core_t *c, const ts_ev_t *ev);
void txn_free_all(ts_core_t *c);
read_t *read_start(ts_core_t *c, const char *prefix, int64_t newer_than,
    void (*done)(ts_core_t *, read_t *, bool, const ts_row_t *, size_t),
    void *arg);
void read_handle_end(ts_core_t *c, const ts_ev_t *ev);

/* conf.c: the configuration in force */
void conf_poll(ts_core_t *c);
void conf_adopt_if_newer(
    ts_core_t *c, int64_t version, const char *routes, const char *pools);
bool conf_is_fresh(const ts_core_t *c);

/* member.c: peers and the list of VMs */
void member_handle_vm_list(ts_core_t *c, const ts_ev_t *ev);
void member_handle_connection(ts_core_t *c, const ts_ev_t *ev);
void member_handle_digest(ts_core_t *c, const char *from, const ts_msg_t *m);
void member_tick(ts_core_t *c);
bool member_is_gone(const ts_core_t *c, const char *name, int64_t incarnation,
    int64_t since_ms);
peer_t *member_get_peer(ts_core_t *c, const char *name);
void member_send(ts_core_t *c, const char *to, const ts_msg_t *m, uint64_t req);
peer_t *member_owner_peer(const ts_core_t *c, const group_t *g);

/* owner.c: ownership of worker groups */
group_t *owner_get_group(ts_core_t *c, const char *name, const char *zone);
void owner_tick(ts_core_t *c);
void owner_handle_release(ts_core_t *c, const char *group);
void owner_handle_loss(ts_core_t *c, group_t *g);
void owner_release_all(ts_core_t *c);
bool owner_accepts_work(const group_t *g);
bool owner_holds_group(const group_t *g);
int32_t owner_count_groups(const ts_core_t *c);

/* worker.c: resources of workers and syncs with their agents */
worker_t *worker_new(ts_core_t *c, const ts_vm_t *vm);
void worker_remove(ts_core_t *c, worker_t *w);
void worker_lose_tasks(ts_core_t *c, worker_t *w);
void worker_note_incarnation(ts_core_t *c, worker_t *w, int64_t incarnation);
void worker_free(void *w);
void worker_tick(ts_core_t *c);
void worker_handle_sync_end(ts_core_t *c, const ts_ev_t *ev);
void worker_request_sync(ts_core_t *c, worker_t *w);
void worker_send_requested_syncs(ts_core_t *c);
slot_use_t *worker_slot_use(ts_core_t *c, worker_t *w, const char *pool);
ts_res_t worker_available(const ts_core_t *c, worker_t *w);
ts_res_t worker_available_for_batch(const worker_t *w);
bool worker_accepts_work(const ts_core_t *c, const worker_t *w);

/* batch.c: jobs of owned groups */
void batch_read_jobs(ts_core_t *c, group_t *g);
void batch_drop_jobs(ts_core_t *c, group_t *g);
void batch_tick(ts_core_t *c);
void batch_handle_report(ts_core_t *c, job_t *job, const ts_task_report_t *r);
void batch_lose_attempt(ts_core_t *c, job_t *job, const char *why);
void batch_request_eviction(ts_core_t *c, job_t *job);
void batch_read_job_row(ts_core_t *c, const char *key);
void batch_free_job(void *job);
job_t *batch_find_job(const ts_core_t *c, const char *id);
void batch_reserve(ts_core_t *c, job_t *job, worker_t *w);
void batch_enqueue(ts_core_t *c, job_t *job);
void batch_dequeue(job_t *job);
update_t *batch_job_update(job_t *job, const ts_job_t *next);
void batch_write_job(ts_core_t *c, job_t *job, const ts_job_t *next);

/* start.c: placement of queued jobs */
void start_queued_jobs(ts_core_t *c, group_t *g);

/* submit.c: submission and cancellation of jobs */
void submit_handle_job(ts_core_t *c, const ts_ev_t *ev);
void submit_handle_cancel(ts_core_t *c, const ts_ev_t *ev);
const char *
submit_choose_group(ts_core_t *c, const ts_job_t *j, const char *current_group);

/* request.c: requests of callers */
void request_handle_new(ts_core_t *c, const ts_ev_t *ev);
void request_handle_attempt_end(ts_core_t *c, const ts_ev_t *ev);
void request_handle_forward(ts_core_t *c, const ts_ev_t *ev);
void request_handle_reply(ts_core_t *c, const ts_ev_t *ev);
void request_handle_peer_down(ts_core_t *c, const char *peer);
void request_tick(ts_core_t *c);
void request_free(void *r);

/* pool.c: slots of service pools, load balancing */
pool_t *pool_get(ts_core_t *c, const char *name);
void pool_free(void *p);
void pool_invalidate(ts_core_t *c);
void pool_rebuild_workers(ts_core_t *c);
int64_t pool_advertised_slots(ts_core_t *c, pool_t *p);
worker_t *
pool_choose_worker(ts_core_t *c, const pool_t *p, const ts_pool_t *cfg);
peer_t *pool_choose_peer(ts_core_t *c, const char *pool);
bool pool_spend_retry(ts_core_t *c, const char *pool);
void pool_earn_retry(ts_core_t *c, pool_t *p);

/* coloc.c: services and batch tasks on the same workers */
void coloc_add_latency(ts_core_t *c, worker_t *w, slot_use_t *s, int64_t us);
void coloc_tick(ts_core_t *c);
int64_t coloc_placement_cost(const worker_t *w, const job_class_t *class);
int32_t coloc_initial_share(ts_core_t *c, worker_t *w, const job_class_t *k);
job_class_t *coloc_get_class(ts_core_t *c, const char *name);

#endif
