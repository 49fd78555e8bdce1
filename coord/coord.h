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

#define JOB_PREFIX	 "job/" /* of a batch task's row key */
#define GONE_REFUSALS	 3	/* in a row that prove a process gone */
#define GONE_SPAN_MS	 600	/* that these must span */
#define GONE_ABSENT_MS	 60000	/* claim this old, VM not in the list */
#define HELD_FAILS	 3	/* distinct workers before a hold */
#define QUARANTINE_FAILS 3	/* distinct jobs before quarantine */
#define QUARANTINE_MS	 60000
#define EVICTIONS_MAX	 2 /* per task, for a neighbour's sake */
#define SHARE_MIN_PCT	 5
#define TXNS_MAX	 4 /* in flight */

typedef struct group group_t;
typedef struct worker worker_t;

typedef struct {
	const char *name;
	int64_t incarnation; /* last that answered */
	bool up;
	bool draining;
	int32_t refused;    /* in a row */
	int64_t refused_ms; /* first of these */
	int64_t refused_last_ms;
	int64_t heard_ms;
	int64_t conf_version;
	GHashTable *free;  /* pool -> slots, as int */
	GArray *groups;	   /* of ts_capacity_t */
	GHashTable *teams; /* team -> processor in use, as int */
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
	int64_t version;     /* of the row */
	int64_t row_seen_ms; /* first sight of this version */
	group_state_t state;
	int64_t owned_ms; /* since when */
	bool loaded;	  /* jobs read since the claim */
	bool reading;
	int64_t read_next_ms;
	int64_t jobs_seen; /* highest job row version read */
	int32_t pending;   /* transactions that concern it */
	int32_t running;   /* requests in progress */
	GPtrArray *workers;
	GHashTable *jobs; /* id -> job_t */
	GSequence *queue; /* of job_t, most urgent first */
	GSequence *late;  /* whose deadline is past help */
	uint32_t passes;
	int64_t sweep_next_ms;
	int64_t queued_cpu_milli;
};

typedef struct {
	const char *pool;
	int32_t used;	    /* requests that we sent */
	int32_t stray;	    /* others still running there */
	int64_t stray_seq;  /* only a later sync lowers stray */
	int64_t latency_us; /* moving average */
	int32_t samples;    /* since it was last looked at */
	int32_t index;	    /* of the pool, in harm; or -1 */
} slot_t;

/* What has been learned of a class of jobs. */
typedef struct {
	const char *name;
	int64_t run_pct;	    /* of the declared run time; 0: not yet */
	int64_t harm[TS_POOLS_MAX]; /* to pools, 1/16 percent */
} class_t;

typedef struct job job_t;

struct worker {
	ts_vm_t vm;
	bool listed;
	group_t *group;
	bool known;  /* answered in this epoch */
	bool strays; /* runs tasks we know nothing of */
	int64_t seq; /* last sync sent */
	int64_t answered_seq;
	int64_t sync_ms; /* when it was sent */
	int64_t sync_next_ms;
	bool syncing;
	bool hurried;	  /* in the core's list */
	int64_t vm_now;	  /* newest incarnation heard of */
	int64_t clock_ms; /* worker's clock at its last answer */
	int64_t heard_ms; /* ours then */
	slot_t slots[TS_POOLS_MAX];
	int32_t nslots;
	ts_res_t batch;	       /* held by batch tasks */
	ts_res_t reserve;      /* kept free for service slots */
	bool zone_out;	       /* by the tables in force */
	GPtrArray *tasks;      /* of job_t */
	GArray *forget;	       /* of ts_task_order_t: stop or forget */
	int64_t suspect_ms;    /* no requests until then */
	int32_t suspects;      /* in a row */
	int64_t quarantine_ms; /* no tasks until then */
	GPtrArray *failed;     /* distinct jobs, interned ids */
	bool quiet;	       /* services do not suffer there */
	bool calmed;	       /* harmful tasks are throttled */
	int64_t harm_pct;      /* expected of its tasks, unthrottled */
	int64_t seen_pct;      /* latency seen, of the base; 0: none */
	int64_t seen_ms;
	int64_t slow_ms; /* since when it is not quiet, or 0 */
	int64_t step_ms; /* no further halving before this */
};

struct job {
	ts_job_t j; /* as in the row */
	int64_t version;
	group_t *group;
	class_t *class;
	worker_t *worker;  /* where resources are held */
	GSequenceIter *it; /* in the queue */
	bool txn;	   /* a write of the row is under way */
	bool reread;
	bool seen;	      /* reported running by the worker */
	bool evict;	      /* checkpoint wanted */
	int64_t order_seq;    /* first sync that had its order */
	int64_t latest_ms;    /* start by then to meet the deadline */
	int64_t start_by_ms;  /* our clock; 0 when adopted */
	int64_t renew_ms;     /* its lease is not renewed before this */
	int64_t wait_ms;      /* not before this */
	int64_t here_ms;      /* known to this owner since */
	int64_t evict_ms;     /* no eviction for it before this */
	int64_t lease_end_ms; /* our clock, if never answered */
	int32_t share_pct;    /* of its processors */
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
	const char *from; /* peer, or NULL for a caller */
	uint64_t from_req;
	int64_t arrived_ms;
	int64_t deadline_ms;
	int64_t sent_ms;
	bool idempotent;
	int32_t hops;	   /* peers that refused it */
	bool may_have_run; /* an attempt ended not known */
	int32_t attempt;
	worker_t *worker;
	const char *peer; /* forwarded to */
	char *idem_key;	  /* row key, or NULL */
	int64_t idem_version;
} req_t;

/* What one pool sees at this entry. */
typedef struct {
	const char *name;
	int32_t index;	      /* in harm, or -1 beyond the most */
	GQueue queue;	      /* of req_t */
	double budget;	      /* retries left */
	int64_t service_us;   /* moving average */
	int64_t base_us;      /* the same beside no batch */
	int64_t least_us;     /* of the least disturbed worker */
	int64_t in_use;	      /* slots, decaying peak, 1/16 */
	int64_t room;	      /* free slots, as last counted and since */
	int64_t room_next_ms; /* to be counted again */
	int64_t need;	      /* workers that must be quiet */
	int64_t quiet;	      /* workers that are */
	GPtrArray *workers;   /* owned and in its zones */
} pool_t;

typedef enum { ITEM_OK, ITEM_CONFLICT } item_result_t;

/* Rows that must be written together, and whom to tell. */
typedef struct item item_t;
struct item {
	GArray *rows; /* of ts_txn_row_t */
	void (*done)(ts_core_t *c, item_t *it, item_result_t r);
	void *arg;
	uint64_t num;	 /* for done */
	int64_t version; /* when ok */
	guint conflict;	 /* index in rows otherwise */
	int32_t tries;	 /* conflicts over another's rows */
};

typedef struct {
	uint64_t id;
	GPtrArray *items;
	GArray *rows; /* of ts_txn_row_t */
	char writer[TS_ID_SIZE];
	bool uncertain; /* an answer was lost */
	bool flying;
	int32_t tries;
	int64_t retry_ms;
} txn_t;

typedef struct read {
	uint64_t id;
	void (*done)(ts_core_t *c, struct read *r, bool ok,
	    const ts_row_t *rows, size_t n);
	void *arg;
	uint64_t num;
	int64_t issued_ms;
	char key[TS_KEY_SIZE];
} read_t;

struct ts_core {
	ts_core_opts_t o;
	GRand *rand;
	int64_t now;
	uint64_t next_id;
	int64_t begun_ms; /* first tick */
	uint64_t counters[TS_C_MAX];
	/* configuration */
	ts_conf_t *conf;
	char *routes_text;
	char *pools_text;
	int64_t conf_bad;      /* version that failed its checks */
	int64_t conf_fresh_ms; /* a read begun then confirmed it */
	int64_t conf_next_ms;
	bool conf_reading;
	/* members */
	GHashTable *peers;  /* name -> peer_t */
	GHashTable *listed; /* entries in the list now */
	bool vms_read;
	int64_t digest_next_ms;
	/* ownership */
	GHashTable *groups;    /* name -> group_t */
	GPtrArray *group_list; /* the same */
	int64_t groups_seen;
	bool groups_read;
	bool groups_reading;
	int64_t groups_next_ms;
	int64_t assign_next_ms;
	/* workers and work */
	GHashTable *workers;   /* name -> worker_t */
	GPtrArray *hurried;    /* workers to sync with at once */
	GHashTable *pools;     /* name -> pool_t */
	bool pools_stale;      /* to be worked out anew */
	GHashTable *reqs;      /* id -> req_t */
	GHashTable *open_keys; /* idempotency keys in progress here */
	GHashTable *teams;     /* team -> processor held, int64 */
	GHashTable *classes;   /* name -> class_t */
	int32_t npools;	       /* numbered so far */
	int64_t coloc_next_ms;
	int64_t reqs_next_ms;
	/* store */
	GQueue items;	      /* waiting */
	GPtrArray *txns;      /* in flight or to be retried */
	GHashTable *reads;    /* id -> read_t */
	int64_t store_bad_ms; /* since when, or 0 */
	bool draining;
	int64_t drain_since_ms;
	int64_t last_req_ms;
	bool exited;
};

/* core.c */
void emit_event(ts_core_t *c, ts_log_event_t number, const char *subject,
    const char *detail, int64_t value);
#define COUNT(c, x) ((c)->counters[x]++)
GPtrArray *table_values(GHashTable *h);

/* txn.c */
item_t *item_new(void (*done)(ts_core_t *, item_t *, item_result_t), void *arg);
ts_row_t *item_add(item_t *it, ts_row_kind_t kind, const char *key,
    int64_t version, bool write);
void item_submit(ts_core_t *c, item_t *it);
void txn_flush(ts_core_t *c);
void txn_tick(ts_core_t *c);
void txn_event(ts_core_t *c, const ts_ev_t *ev);
void txn_free(ts_core_t *c);
read_t *read_start(ts_core_t *c, const char *prefix, int64_t newer,
    void (*done)(ts_core_t *, read_t *, bool, const ts_row_t *, size_t),
    void *arg);
void read_event(ts_core_t *c, const ts_ev_t *ev);

/* conf.c */
void conf_tick(ts_core_t *c);
void conf_adopt(
    ts_core_t *c, int64_t version, const char *routes, const char *pools);
bool conf_fresh(const ts_core_t *c);

/* member.c */
void member_vms(ts_core_t *c, const ts_ev_t *ev);
void member_peer(ts_core_t *c, const ts_ev_t *ev);
void member_digest(ts_core_t *c, const char *from, const ts_msg_t *m);
void member_tick(ts_core_t *c);
bool member_gone(const ts_core_t *c, const char *name, int64_t incarnation,
    int64_t since_ms);
peer_t *member_peer_get(ts_core_t *c, const char *name);
void member_send(ts_core_t *c, const char *to, const ts_msg_t *m, uint64_t req);
peer_t *member_owner(const ts_core_t *c, const group_t *g);

/* owner.c */
group_t *owner_group(ts_core_t *c, const char *name, const char *zone);
void owner_tick(ts_core_t *c);
void owner_released(ts_core_t *c, const char *group);
void owner_lost(ts_core_t *c, group_t *g);
void owner_drain(ts_core_t *c);
bool owner_active(const group_t *g);
bool owner_holds(const group_t *g);
int32_t owner_count(const ts_core_t *c);

/* worker.c */
worker_t *worker_get(ts_core_t *c, const ts_vm_t *vm);
void worker_forget(ts_core_t *c, worker_t *w);
void worker_gone(ts_core_t *c, worker_t *w);
void worker_renewed(ts_core_t *c, worker_t *w, int64_t incarnation);
void worker_free(void *w);
void worker_tick(ts_core_t *c);
void worker_event(ts_core_t *c, const ts_ev_t *ev);
void worker_hurry(ts_core_t *c, worker_t *w);
void worker_flush(ts_core_t *c);
slot_t *worker_slot(ts_core_t *c, worker_t *w, const char *pool);
ts_res_t worker_room(const ts_core_t *c, worker_t *w);
ts_res_t worker_batch_room(const worker_t *w);
bool worker_usable(const ts_core_t *c, const worker_t *w);

/* batch.c */
void batch_load(ts_core_t *c, group_t *g);
void batch_forget(ts_core_t *c, group_t *g);
void batch_tick(ts_core_t *c);
void batch_report(ts_core_t *c, job_t *b, const ts_task_report_t *r);
void batch_gone(ts_core_t *c, job_t *b, const char *why);
void batch_evict(ts_core_t *c, job_t *b);
void batch_read_key(ts_core_t *c, const char *key);
void batch_free(void *b);
job_t *batch_find(const ts_core_t *c, const char *id);

void batch_attach(ts_core_t *c, job_t *b, worker_t *w);
void batch_enqueue(ts_core_t *c, job_t *b);
void batch_dequeue(job_t *b);
item_t *batch_job_item(job_t *b, const ts_job_t *next);
void batch_write_job(ts_core_t *c, job_t *b, const ts_job_t *next);

/* start.c */
void start_queue(ts_core_t *c, group_t *g);

/* submit.c */
void submit_event(ts_core_t *c, const ts_ev_t *ev);
void cancel_event(ts_core_t *c, const ts_ev_t *ev);
const char *submit_group(ts_core_t *c, const ts_job_t *j, const char * not );

/* request.c */
void request_event(ts_core_t *c, const ts_ev_t *ev);
void request_backend(ts_core_t *c, const ts_ev_t *ev);
void request_forward(ts_core_t *c, const ts_ev_t *ev);
void request_reply(ts_core_t *c, const ts_ev_t *ev);
void request_peer_down(ts_core_t *c, const char *peer);
void request_tick(ts_core_t *c);
void request_free(void *r);

/* pool.c */
pool_t *pool_get(ts_core_t *c, const char *name);
void pool_free(void *p);
void pool_rebuild(ts_core_t *c);
void pool_refresh(ts_core_t *c);
int64_t told_room(ts_core_t *c, pool_t *p);
worker_t *pool_worker(ts_core_t *c, const pool_t *p, const ts_pool_t *tp);
peer_t *pool_peer(ts_core_t *c, const char *pool);
bool pool_spend_retry(ts_core_t *c, const char *pool);
void pool_earn_retry(ts_core_t *c, pool_t *p);

/* coloc.c */
void coloc_sample(ts_core_t *c, worker_t *w, slot_t *s, int64_t us);
void coloc_tick(ts_core_t *c);
int64_t coloc_cost(const worker_t *w, const class_t *class);
int32_t coloc_first_share(ts_core_t *c, worker_t *w, const class_t *k);
class_t *coloc_class(ts_core_t *c, const char *name);

#endif
