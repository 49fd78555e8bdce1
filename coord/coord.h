/*
 * What the files of the coordination layer share: the state of one entry and
 * the calls between its parts.  Nothing here is public.
 */
#ifndef COORD_H
#define COORD_H

#define COORD_ERROR coord_error_quark()
GQuark coord_error_quark(void);
typedef enum {
	COORD_NEVER_RUNS,  /* no worker can hold the job */
	COORD_UNKNOWN_NAME /* no such pool, team or job */
} coord_error_t;

#define JOB_PREFIX	       "job/" /* of a batch task's row key */
#define GONE_MIN_REFUSALS      3      /* in a row that prove a process gone */
#define GONE_MIN_SPAN_MS       600    /* that these must span */
#define GONE_UNLISTED_MS       60000  /* claim this old, VM not in the list */
#define HOLD_FAILED_WORKERS    3      /* distinct workers before a hold */
#define QUARANTINE_FAILED_JOBS 3      /* distinct jobs before quarantine */
#define QUARANTINE_MS	       60000
#define EVICTIONS_MAX_PER_JOB  2 /* per task, for a neighbour's sake */
#define SHARE_MIN_PCT	       5
#define TXNS_IN_FLIGHT_MAX     4 /* in flight */

typedef struct group group_t;
typedef struct worker worker_t;

typedef struct {
	const char *name;
	int64_t incarnation; /* last that answered */
	bool up;
	bool draining;
	int32_t refusals;	  /* in a row */
	int64_t first_refusal_ms; /* first of these */
	int64_t last_refusal_ms;
	int64_t heard_ms;
	int64_t conf_version;
	GHashTable *free_slots;	    /* pool -> slots, as int */
	GArray *groups;		    /* of ts_capacity_t */
	GHashTable *team_cpu_milli; /* team -> processor in use, as int */
} peer_t;

typedef enum {
	GROUP_IDLE, /* not ours */
	GROUP_CLAIMING,
	GROUP_OWNED,
	GROUP_DRAINING, /* ours; no new work until released */
	GROUP_RELEASING /* the release is being written */
} group_state_t;

struct group {
	const char *name;
	const char *zone;
	ts_group_row_t row;
	int64_t row_version; /* of the row */
	int64_t row_seen_ms; /* first sight of this version */
	group_state_t state;
	int64_t owned_since_ms; /* since when */
	bool jobs_loaded;	/* jobs read since the claim */
	bool read_pending;
	int64_t next_read_ms;
	int64_t jobs_version;	      /* highest job row version read */
	int32_t pending_writes;	      /* transactions that concern it */
	int32_t requests_in_progress; /* requests in progress */
	GPtrArray *workers;
	GHashTable *jobs;      /* id -> job_t */
	GSequence *queue;      /* of job_t, most urgent first */
	GSequence *late_queue; /* whose deadline is past help */
	uint32_t queue_passes;
	int64_t next_sweep_ms;
	int64_t queued_cpu_milli;
};

typedef struct {
	const char *pool;
	int32_t in_progress; /* requests that we sent */
	int32_t orphans;     /* others still running there */
	int64_t orphans_seq; /* only a later sync lowers stray */
	int64_t latency_us;  /* moving average */
	int32_t samples;     /* since it was last looked at */
	int32_t pool_index;  /* of the pool, in harm; or -1 */
} slot_use_t;

/* What has been learned of a class of jobs. */
typedef struct {
	const char *name;
	int64_t run_pct; /* of the declared run time; 0: not yet */
	int64_t interference[TS_POOLS_MAX]; /* to pools, 1/16 percent */
} job_class_t;

typedef struct job job_t;

struct worker {
	ts_vm_t vm;
	bool listed;
	group_t *group;
	bool synced;	       /* answered in this epoch */
	bool has_orphan_tasks; /* runs tasks we know nothing of */
	int64_t sent_seq;      /* last sync sent */
	int64_t answered_seq;
	int64_t sync_sent_ms; /* when it was sent */
	int64_t next_sync_ms;
	bool sync_pending;
	bool sync_requested;	    /* in the core's list */
	int64_t newest_incarnation; /* newest incarnation heard of */
	int64_t worker_clock_ms;    /* worker's clock at its last answer */
	int64_t answered_ms;	    /* ours then */
	slot_use_t slot_use[TS_POOLS_MAX];
	int32_t nslot_use;
	ts_res_t batch_used;	      /* held by batch tasks */
	ts_res_t service_reserve;     /* kept free for service slots */
	bool zone_is_out;	      /* by the tables in force */
	GPtrArray *tasks;	      /* of job_t */
	GArray *cleanup_orders;	      /* of ts_task_order_t: stop or forget */
	int64_t suspect_until_ms;     /* no requests until then */
	int32_t connect_failures;     /* in a row */
	int64_t quarantined_until_ms; /* no tasks until then */
	GPtrArray *failed_jobs;	      /* distinct jobs, interned ids */
	bool undisturbed;	      /* services do not suffer there */
	bool throttled;		      /* harmful tasks are throttled */
	int64_t interference_pct;     /* expected of its tasks, unthrottled */
	int64_t latency_pct;	      /* latency seen, of the base; 0: none */
	int64_t latency_pct_ms;
	int64_t disturbed_since_ms; /* since when it is not quiet, or 0 */
	int64_t next_halving_ms;    /* no further halving before this */
};

struct job {
	ts_job_t row; /* as in the row */
	int64_t row_version;
	group_t *group;
	job_class_t *class;
	worker_t *worker;	  /* where resources are held */
	GSequenceIter *queue_pos; /* in the queue */
	bool write_pending;	  /* a write of the row is under way */
	bool reread_after_write;
	bool reported_running;	 /* reported running by the worker */
	bool evict_requested;	 /* checkpoint wanted */
	int64_t first_order_seq; /* first sync that had its order */
	int64_t latest_start_ms; /* start by then to meet the deadline */
	int64_t start_by_ms;	 /* our clock; 0 when adopted */
	int64_t renew_after_ms;	 /* its lease is not renewed before this */
	int64_t not_before_ms;	 /* not before this */
	int64_t first_seen_ms;	 /* known to this owner since */
	int64_t next_evict_ms;	 /* no eviction for it before this */
	int64_t lease_end_ms;	 /* our clock, if never answered */
	int32_t share_pct;	 /* of its processors */
	int64_t used_cpu_milli;
};

typedef enum {
	REQ_IDEM, /* its key is being recorded */
	REQ_QUEUED,
	REQ_SENT,
	REQ_FORWARDED
} req_state_t;

typedef struct {
	uint64_t id;
	req_state_t state;
	const char *pool;
	const char *from_peer; /* peer, or NULL for a caller */
	uint64_t peer_req_id;
	int64_t arrived_ms;
	int64_t deadline_ms;
	int64_t sent_ms;
	bool idempotent;
	int32_t forwards_refused; /* peers that refused it */
	bool may_have_run;	  /* an attempt ended not known */
	int32_t attempt;
	worker_t *worker;
	const char *forwarded_to; /* forwarded to */
	char *idem_key;		  /* row key, or NULL */
	int64_t idem_row_version;
} req_t;

/* What one pool sees at this entry. */
typedef struct {
	const char *name;
	int32_t interference_index; /* in harm, or -1 beyond the most */
	GQueue queue;		    /* of req_t */
	double retry_budget;	    /* retries left */
	int64_t mean_service_us;    /* moving average */
	int64_t baseline_us;	    /* the same beside no batch */
	int64_t lowest_us;	    /* of the least disturbed worker */
	int64_t peak_in_use;	    /* slots, decaying peak, 1/16 */
	int64_t free_slots;	    /* free slots, as last counted and since */
	int64_t next_count_ms;	    /* to be counted again */
	int64_t undisturbed_needed; /* workers that must be quiet */
	int64_t undisturbed;	    /* workers that are */
	GPtrArray *workers;	    /* owned and in its zones */
} pool_t;

typedef enum { UPDATE_OK, UPDATE_CONFLICT } update_result_t;

/* Rows that must be written together, and whom to tell. */
typedef struct update update_t;
struct update {
	GArray *rows; /* of ts_txn_row_t */
	void (*done)(ts_core_t *c, update_t *u, update_result_t r);
	void *arg;
	uint64_t tag;	      /* for done */
	int64_t version;      /* when ok */
	guint conflict_index; /* index in rows otherwise */
	int32_t tries;	      /* conflicts over another's rows */
};

typedef struct {
	uint64_t id;
	GPtrArray *updates;
	GArray *rows; /* of ts_txn_row_t */
	char writer[TS_ID_SIZE];
	bool answer_lost; /* an answer was lost */
	bool in_flight;
	int32_t retries;
	int64_t next_retry_ms;
} txn_t;

typedef struct read {
	uint64_t id;
	void (*done)(ts_core_t *c, struct read *r, bool ok,
	    const ts_row_t *rows, size_t n);
	void *arg;
	uint64_t tag;
	int64_t issued_ms;
	char prefix[TS_KEY_SIZE];
} read_t;

struct ts_core {
	ts_core_opts_t opts;
	GRand *rand;
	int64_t now_ms;
	uint64_t next_id;
	int64_t first_tick_ms; /* first tick */
	uint64_t counters[TS_C_MAX];
	/* configuration */
	ts_conf_t *conf;
	char *routes_text;
	char *pools_text;
	int64_t conf_invalid_version; /* version that failed its checks */
	int64_t conf_confirmed_ms;    /* a read begun then confirmed it */
	int64_t next_conf_read_ms;
	bool conf_read_pending;
	/* members */
	GHashTable *peers;	    /* name -> peer_t */
	GHashTable *listed_entries; /* entries in the list now */
	bool vm_list_read;
	int64_t next_digest_ms;
	/* ownership */
	GHashTable *groups;    /* name -> group_t */
	GPtrArray *group_list; /* the same */
	int64_t groups_version;
	bool groups_read;
	bool groups_read_pending;
	int64_t next_groups_read_ms;
	int64_t next_assign_ms;
	/* workers and work */
	GHashTable *workers;	    /* name -> worker_t */
	GPtrArray *sync_requests;   /* workers to sync with at once */
	GHashTable *pools;	    /* name -> pool_t */
	bool pool_workers_stale;    /* to be worked out anew */
	GHashTable *reqs;	    /* id -> req_t */
	GHashTable *open_idem_keys; /* idempotency keys in progress here */
	GHashTable *team_cpu_milli; /* team -> processor held, int64 */
	GHashTable *classes;	    /* name -> job_class_t */
	int32_t npools;		    /* numbered so far */
	int64_t next_coloc_ms;
	int64_t next_deadline_check_ms;
	/* store */
	GQueue updates;			/* waiting */
	GPtrArray *txns;		/* in flight or to be retried */
	GHashTable *reads;		/* id -> read_t */
	int64_t store_failing_since_ms; /* since when, or 0 */
	bool draining;
	int64_t drain_since_ms;
	int64_t last_req_ms;
	bool exit_emitted;
};

/* core.c */
void emit_log(ts_core_t *c, ts_log_event_t number, const char *subject,
    const char *detail, int64_t value);
#define COUNT(c, x) ((c)->counters[x]++)
GPtrArray *hash_values(GHashTable *h);

/* txn.c */
update_t *
update_new(void (*done)(ts_core_t *, update_t *, update_result_t), void *arg);
ts_row_t *update_add_row(update_t *u, ts_row_kind_t kind, const char *key,
    int64_t version, bool write);
void update_submit(ts_core_t *c, update_t *u);
void txn_send_updates(ts_core_t *c);
void txn_retry_due(ts_core_t *c);
void txn_handle_end(ts_core_t *c, const ts_ev_t *ev);
void txn_free_all(ts_core_t *c);
read_t *read_start(ts_core_t *c, const char *prefix, int64_t newer,
    void (*done)(ts_core_t *, read_t *, bool, const ts_row_t *, size_t),
    void *arg);
void read_handle_end(ts_core_t *c, const ts_ev_t *ev);

/* conf.c */
void conf_poll(ts_core_t *c);
void conf_adopt_if_newer(
    ts_core_t *c, int64_t version, const char *routes, const char *pools);
bool conf_is_fresh(const ts_core_t *c);

/* member.c */
void member_handle_vm_list(ts_core_t *c, const ts_ev_t *ev);
void member_handle_connection(ts_core_t *c, const ts_ev_t *ev);
void member_handle_digest(ts_core_t *c, const char *from, const ts_msg_t *m);
void member_tick(ts_core_t *c);
bool member_is_gone(const ts_core_t *c, const char *name, int64_t incarnation,
    int64_t since_ms);
peer_t *member_get_peer(ts_core_t *c, const char *name);
void member_send(ts_core_t *c, const char *to, const ts_msg_t *m, uint64_t req);
peer_t *member_owner_peer(const ts_core_t *c, const group_t *g);

/* owner.c */
group_t *owner_get_group(ts_core_t *c, const char *name, const char *zone);
void owner_tick(ts_core_t *c);
void owner_handle_release(ts_core_t *c, const char *group);
void owner_handle_loss(ts_core_t *c, group_t *g);
void owner_release_all(ts_core_t *c);
bool owner_accepts_work(const group_t *g);
bool owner_holds_group(const group_t *g);
int32_t owner_count_groups(const ts_core_t *c);

/* worker.c */
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
ts_res_t worker_free_res(const ts_core_t *c, worker_t *w);
ts_res_t worker_free_for_batch(const worker_t *w);
bool worker_accepts_work(const ts_core_t *c, const worker_t *w);

/* batch.c */
void batch_read_jobs(ts_core_t *c, group_t *g);
void batch_drop_jobs(ts_core_t *c, group_t *g);
void batch_tick(ts_core_t *c);
void batch_handle_report(ts_core_t *c, job_t *job, const ts_task_report_t *r);
void batch_lose_attempt(ts_core_t *c, job_t *job, const char *why);
void batch_request_eviction(ts_core_t *c, job_t *job);
void batch_read_key(ts_core_t *c, const char *key);
void batch_free_job(void *b);
job_t *batch_find_job(const ts_core_t *c, const char *id);

void batch_reserve(ts_core_t *c, job_t *job, worker_t *w);
void batch_enqueue(ts_core_t *c, job_t *job);
void batch_dequeue(job_t *job);
update_t *batch_job_update(job_t *job, const ts_job_t *next);
void batch_write_job(ts_core_t *c, job_t *job, const ts_job_t *next);

/* start.c */
void start_queue(ts_core_t *c, group_t *g);

/* submit.c */
void submit_handle(ts_core_t *c, const ts_ev_t *ev);
void cancel_handle(ts_core_t *c, const ts_ev_t *ev);
const char *
submit_choose_group(ts_core_t *c, const ts_job_t *j, const char * not );

/* request.c */
void request_handle_new(ts_core_t *c, const ts_ev_t *ev);
void request_handle_attempt_end(ts_core_t *c, const ts_ev_t *ev);
void request_handle_forward(ts_core_t *c, const ts_ev_t *ev);
void request_handle_reply(ts_core_t *c, const ts_ev_t *ev);
void request_handle_peer_down(ts_core_t *c, const char *peer);
void request_tick(ts_core_t *c);
void request_free(void *r);

/* pool.c */
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

/* coloc.c */
void coloc_add_latency(ts_core_t *c, worker_t *w, slot_use_t *s, int64_t us);
void coloc_tick(ts_core_t *c);
int64_t coloc_placement_cost(const worker_t *w, const job_class_t *class);
int32_t coloc_initial_share(ts_core_t *c, worker_t *w, const job_class_t *k);
job_class_t *coloc_get_class(ts_core_t *c, const char *name);

#endif
