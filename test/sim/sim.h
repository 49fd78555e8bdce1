/*
 * Several cores in virtual time around one fake table and fake workers, with
 * faults, and the checks of what must always hold after every event.
 *
 * Include <stdbool.h>, <stdint.h>, <stdio.h>, <glib.h>, "tanagerspool.h" and
 * "fake.h" first.
 */
#ifndef SIM_H
#define SIM_H

#define SIM_ENTRIES_MAX 16
#define SIM_WORKERS_MAX 720
#define SIM_ZONES_MAX	4

typedef struct sim sim_t;
typedef void (*sim_callback_t)(sim_t *s, void *arg);

typedef struct {
	char name[8];
	const char *zone;
	sim_t *sim;
	ts_core_t *core; /* NULL: no process */
	int64_t incarnation;
	int64_t timer_generation; /* generation of its timer */
	bool vm_off;		  /* its VM is off: nothing refuses */
	bool paused;
	bool stopping;
	bool store_cut;
	bool workers_cut;
	bool peers_cut;
	bool store_replies_lost;	 /* it is heard, its answers are lost */
	bool sync_replies_lost;		 /* the same of syncs */
	bool peer_cut[SIM_ENTRIES_MAX];	 /* this peer alone */
	bool connected[SIM_ENTRIES_MAX]; /* dialled by this one, up */
	int64_t peer_incarnation[SIM_ENTRIES_MAX]; /* incarnation */
	int64_t conf_version;			   /* version last logged */
	int64_t conf_adopted_ms;		   /* when it was */
	int64_t last_fault_ms; /* last time a fault touched it */
	uint64_t next_local_id;
	GPtrArray *undelivered; /* deliveries while frozen */
} sim_entry_t;

typedef struct {
	char name[8];
	const char *zone;
	char group[16];
	fake_worker_t fake;
	bool dead;
	bool unreachable;
	bool leaving;
	int64_t leaving_since_ms;
	ts_res_t capacity;
	int32_t slots_used[8];
	int64_t busy_until_ms;
} sim_worker_t;

/* A request as its caller knows it. */
typedef struct {
	uint64_t id;	   /* as the caller counts */
	uint64_t local_id; /* as the entry counts */
	int pool;
	int entry;
	int64_t sent_ms;
	int64_t ended_ms;
	int32_t runs; /* times a backend began it */
	int32_t sends;
	bool ended;
	bool entry_died; /* its entry died */
	ts_outcome_t outcome;
	int32_t retry_after_ms;
	ts_counter_t reason;
	int64_t sub_ms_us; /* latency */
	char idem_key[24];
} sim_req_t;

typedef struct {
	int entries;
	int workers;
	int zones;
	int workers_per_rack; /* workers to a rack */
	int64_t worker_cpus;  /* a worker's processors */
	int32_t service_ms;   /* of the first pool */
	uint32_t seed;
	int32_t tick_ms;
	int32_t vm_list_lag_ms;
	bool trace;
	int32_t noise_slowdown_pct; /* slow-down by a noisy task, percent */
	int32_t lease_ms;
	ts_core_opts_t core_opts; /* policies, for every entry */
} sim_opts_t;

struct sim {
	sim_opts_t opts;
	GRand *rand;
	int64_t now;
	uint64_t next_event_seq;
	GSequence *events;
	fake_table_t table;
	sim_entry_t entry[SIM_ENTRIES_MAX];
	sim_worker_t worker[SIM_WORKERS_MAX];
	bool zone_out[SIM_ZONES_MAX];
	int64_t zone_changed_ms[SIM_ZONES_MAX]; /* of the last change */
	bool in_recovery;			/* no more load or faults */
	/* faults of the store */
	bool store_down;
	int32_t store_latency_ms;
	int32_t store_loss_pct;	 /* answers lost, applied or not, late */
	int32_t worker_loss_pct; /* syncs and their answers lost */
	int32_t jitter_ms;
	int32_t late_sync_pct; /* syncs seconds late, either way */
	GQueue vm_lists;       /* old VM lists, newest first */
	int64_t list_at;
	/* what was asked */
	GHashTable *requests;		  /* id -> sim_req_t */
	GHashTable *requests_by_local_id; /* "entry:local" -> sim_req_t */
	GHashTable *executions_by_key;	  /* key -> runs */
	uint64_t next_req;
	GHashTable *original_ids;	/* job id -> first id */
	GHashTable *running;		/* first id -> worker name */
	GHashTable *accepted_jobs;	/* accepted first ids */
	GHashTable *first_start_ms;	/* first id -> first start */
	GHashTable *first_done_ms;	/* first id -> done */
	GHashTable *cancel_accepted_ms; /* accepted cancels: id -> ms */
	uint64_t next_job;
	GHashTable *pending_cancels; /* submit id -> what */
	/* counts */
	uint64_t starts;
	uint64_t answered;
	uint64_t refused;
	uint64_t unknown;
	uint64_t sends;
	int64_t slowest_refusal_ms;
	int64_t conf_version;
	int64_t conf_changed_ms;
	GArray *latency_us; /* of answers, int64_t */
	char *violation;    /* first broken invariant */
};

sim_t *sim_new(const sim_opts_t *o);
void sim_free(sim_t *s);
void sim_schedule(sim_t *s, int64_t after_ms, sim_callback_t fn, void *arg);
/* Runs until a time, or until an invariant breaks. */
void sim_run_until(sim_t *s, int64_t until_ms);
void sim_violation(sim_t *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
void sim_trace(sim_t *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* Faults and operators. */
void sim_start_entry(sim_t *s, int e); /* a new process */
void sim_kill_entry(sim_t *s, int e, bool vanish);
void sim_pause_entry(sim_t *s, int e, bool frozen);
void sim_stop_entry(sim_t *s, int e); /* graceful */
void sim_publish_vm_list(sim_t *s);   /* the list has changed */
void sim_set_zone(sim_t *s, int zone, bool out);
bool sim_try_set_zone(sim_t *s, int zone, bool out, int64_t base);
void sim_crash_worker(sim_t *s, int w, bool replace);
/* Callers and jobs. */
sim_req_t *sim_request(sim_t *s, int e, int pool, const char *key);
void sim_submit(sim_t *s, int e, const ts_job_t *job, int tasks);
void sim_cancel(sim_t *s, int e, const char *id);
int sim_pick_entry(sim_t *s); /* that the balancer uses */
/* The row a first id has come to, or NULL. */
const ts_job_t *sim_find_job(sim_t *s, const char *id);
/* Faults end, time passes, and what must come to an end must have. */
void sim_recover(sim_t *s);
int64_t sim_quantile(GArray *values, double q);

extern const char *const sim_zones[SIM_ZONES_MAX];
#define SIM_POOLS 3
extern const char *const sim_pools[SIM_POOLS];

#endif
