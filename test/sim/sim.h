/*
 * Simulation of a deployment in virtual time: several entries, each of them a
 * ts_core_t, around one fake store and fake workers, with injected faults.
 * Invariants are checked as events happen; the first violation ends the run.
 *
 * Used by test/main/check.c (random schedules), test/main/scenarios.c and
 * bench/policy.c.  sim.c holds the event loop, the entries' processes and the
 * configuration; transport.c the network, the store and the VM list;
 * workload.c callers, backend servers, jobs and most invariants.
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

/* An entry's VM, its process and the faults that it suffers now. */
typedef struct {
	char name[8]; /* "e" and the index in sim->entry */
	const char *zone;
	sim_t *sim;
	ts_core_t *core;	  /* NULL while no process runs */
	int64_t incarnation;	  /* start time of the process */
	int64_t timer_generation; /* timers of earlier processes are stale */
	bool vm_off;   /* powered off: connections time out, not refused */
	bool paused;   /* the process is stopped, as by SIGSTOP */
	bool stopping; /* a graceful stop was requested */
	bool store_cut;
	bool workers_cut;
	bool peers_cut;
	bool store_replies_lost;	/* requests to the store still arrive */
	bool sync_replies_lost;		/* syncs still reach the workers */
	bool peer_cut[SIM_ENTRIES_MAX]; /* cut from this peer, both ways */
	bool connected[SIM_ENTRIES_MAX]; /* a connection it dialled is up */
	int64_t peer_incarnation[SIM_ENTRIES_MAX]; /* at its last dial */
	int64_t conf_version;	 /* of the configuration in force here */
	int64_t conf_adopted_ms; /* when that came into force */
	int64_t last_fault_ms;	 /* last fault that may delay adoption */
	uint64_t next_local_id;	 /* numbers the requests it receives */
	GPtrArray *undelivered;	 /* delivery_t that arrived while paused */
} sim_entry_t;

typedef struct {
	char name[8]; /* "w" and the index in sim->worker */
	const char *zone;
	char group[16]; /* zone and rack */
	fake_worker_t fake;
	bool dead;	  /* does not answer, and is not in the VM list */
	bool unreachable; /* from all entries; it runs on */
	bool leaving;	  /* the VM list says that it will be removed */
	int64_t leaving_since_ms;
	ts_res_t capacity;
	int32_t slots_used[8]; /* requests in progress, by pool */
	int64_t busy_until_ms;
} sim_worker_t;

/* A caller's request. */
typedef struct {
	uint64_t id;	   /* unique in the simulation */
	uint64_t local_id; /* as the entry that received it numbers it */
	int pool;	   /* index in sim_pools */
	int entry;	   /* index of the one that received it */
	int64_t sent_ms;
	int64_t ended_ms;
	int32_t runs;  /* times that a backend server began it */
	int32_t sends; /* times that an entry sent it to a backend server */
	bool ended;
	bool entry_died; /* so that no answer can come */
	ts_outcome_t outcome;
	int32_t retry_after_ms;
	ts_counter_t reason; /* of a refusal */
	int64_t sub_ms_us;   /* service time beyond whole milliseconds */
	char idem_key[24];
} sim_req_t;

typedef struct {
	int entries;
	int workers;
	int zones;
	int workers_per_rack;
	int64_t worker_cpus; /* processors of each worker */
	int32_t service_ms;  /* mean service time of the first pool; 0: 4 ms */
	uint32_t seed;
	int32_t tick_ms;	    /* interval of the entries' tick; 0: 50 */
	int32_t vm_list_lag_ms;	    /* age of the VM list that entries read */
	bool trace;		    /* print what happens */
	int32_t noise_slowdown_pct; /* by a noisy task at a full share */
	int32_t lease_ms;	    /* of tasks, for every entry */
	ts_core_opts_t core_opts;   /* policies, for every entry */
} sim_opts_t;

struct sim {
	sim_opts_t opts;
	GRand *rand;
	int64_t now;		 /* virtual time, ms */
	uint64_t next_event_seq; /* orders events of the same time */
	GSequence *events;	 /* event_t by time */
	fake_table_t table;
	sim_entry_t entry[SIM_ENTRIES_MAX];
	sim_worker_t worker[SIM_WORKERS_MAX];
	bool zone_out[SIM_ZONES_MAX]; /* in the newest configuration */
	int64_t zone_changed_ms[SIM_ZONES_MAX];
	bool in_recovery; /* no new load, no new faults */
	/* Faults of the store and of the network. */
	bool store_down;
	int32_t store_latency_ms;
	/* Calls without a reply; writes are applied, applied late, or lost. */
	int32_t store_loss_pct;
	/* Lost syncs, sync replies and answers, and requests that hang. */
	int32_t worker_loss_pct;
	int32_t jitter_ms;
	int32_t late_sync_pct; /* syncs or replies that take seconds */
	GQueue vm_lists;       /* vm_list_t, newest first */
	int64_t list_at;
	/* Requests and jobs.  A job that moves to another group gets a new
	 * id; here it is known by its original id. */
	GHashTable *requests;		  /* id -> sim_req_t */
	GHashTable *requests_by_local_id; /* "entry:incarnation:id" -> same */
	GHashTable *executions_by_key;	  /* idempotency key -> count */
	uint64_t next_request_id;
	GHashTable *original_ids;	/* id after a move -> original id */
	GHashTable *running;		/* original id -> worker name */
	GHashTable *accepted_jobs;	/* set of original ids */
	GHashTable *first_start_ms;	/* original id -> int64_t */
	GHashTable *first_done_ms;	/* original id -> int64_t */
	GHashTable *cancel_accepted_ms; /* original id -> int64_t */
	uint64_t next_submit_id;	/* numbers submissions and cancels */
	GHashTable *cancel_requests;	/* number -> original id */
	/* Totals. */
	uint64_t attempts_started; /* of tasks, on workers */
	uint64_t answered;
	uint64_t refused;      /* requests that ended as not run */
	uint64_t unknown;      /* requests that ended with an unknown outcome */
	uint64_t backend_runs; /* requests that backend servers began */
	int64_t slowest_refusal_ms; /* of those refused as pool full */
	int64_t conf_version;	    /* newest in the store */
	int64_t conf_changed_ms;
	GArray *latency_us; /* int64_t, of answers of the first pool */
	char *violation;    /* first violated invariant, or NULL */
};

sim_t *sim_new(const sim_opts_t *o);
void sim_free(sim_t *s);
void sim_schedule(sim_t *s, int64_t after_ms, sim_callback_t fn, void *arg);
/* Runs until a time, or until an invariant is violated. */
void sim_run_until(sim_t *s, int64_t until_ms);
/* Records a violated invariant, which ends the run; only the first counts. */
void sim_violation(sim_t *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
void sim_trace(sim_t *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* Processes, VMs and operators. */
void sim_start_entry(sim_t *s, int e); /* unless its process runs */
/* Ends the process at once; with vm_off, its VM is powered off as well. */
void sim_kill_entry(sim_t *s, int e, bool vm_off);
void sim_pause_entry(sim_t *s, int e, bool paused);
void sim_stop_entry(sim_t *s, int e); /* gracefully, as by SIGTERM */
/* Publishes a new VM list; called after each change that it shows. */
void sim_publish_vm_list(sim_t *s);
/* Writes a configuration with the zone out of service, or in again. */
void sim_set_zone(sim_t *s, int zone, bool out);
/* The same as a compare-and-set; false if base is not the newest version. */
bool sim_try_set_zone(sim_t *s, int zone, bool out, int64_t base);
/* Restarts a worker's agent; with replace, in a new VM of the same name. */
void sim_crash_worker(sim_t *s, int w, bool replace);

/* Callers and jobs. */

/* Sends a request of a pool to an entry; idem_key may be NULL. */
sim_req_t *sim_request(sim_t *s, int e, int pool, const char *idem_key);
/* Submits a number of jobs that are all like the given one. */
void sim_submit(sim_t *s, int e, const ts_job_t *job, int tasks);
void sim_cancel(sim_t *s, int e, const char *id);
/* A random entry that is ready, as the load balancer picks it; -1: none. */
int sim_pick_entry(sim_t *s);
/* The newest row of a job, following its moves to other groups, or NULL. */
const ts_job_t *sim_find_job(sim_t *s, const char *id);

/*
 * Ends all faults, lets time pass, and checks that every accepted job has
 * ended, every request was answered, every worker group has a live owner and
 * every entry has the newest configuration.
 */
void sim_recover(sim_t *s);
/* Sorts the int64_t values and returns their quantile q, 0 <= q <= 1. */
int64_t sim_quantile(GArray *values, double q);

extern const char *const sim_zones[SIM_ZONES_MAX];
#define SIM_POOLS 3
extern const char *const sim_pools[SIM_POOLS];

#endif
