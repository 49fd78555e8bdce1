/*
 * A simulation of one cell in virtual time: entries that run the scheduler of
 * sched/, workers and a store, with faults.  It checks the safety properties
 * against what the workers do, not against what the scheduler believes.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, sched.pb-c.h and sched.h first.
 */
#ifndef TEST_CELL_H
#define TEST_CELL_H

#define ENTRIES_MAX	      4
#define WORKERS_MAX	      24
#define NETWORK_DELAY_MS      2 /* one way */
#define STORE_LATENCY_MS      4 /* without a fault */
#define MAX_LEASE_MS	      6000
#define STORE_CLOCK_OFFSET_MS 777000 /* from the clock of the entries */
#define MAX_STOP_MS	      400    /* that a run takes to stop */
#define CUSTOMERS_MAX	      4
#define CUSTOMER_SEEDS	      5 /* every so many seeds have customers */
/* A worker that crashed leaves the list after so long, unless it is back. */
#define UNLISTED_AFTER_MS 3300

typedef struct world world_t;
typedef struct overload overload_t;
typedef struct idle_check idle_check_t;
typedef struct lasting lasting_t;
typedef struct restarts restarts_t;
typedef struct failing failing_t;
typedef struct approval approval_t;
typedef struct down_check down_check_t;

/* A callback that is due at a time; seq orders those due at the same time. */
typedef struct {
	int64_t at_ms;
	uint64_t seq;
	void (*fn)(world_t *w, void *arg);
	void *arg;
} event_t;

/* A row of the store.  There are no tables and partitions. */
typedef struct {
	char *key;
	GByteArray *bytes;
	int64_t version;
} row_t;

/* A run at a worker. */
typedef struct {
	char task[64];
	int64_t run;
	double work_ms;	     /* at full speed, in all */
	double work_left_ms; /* at counted_at_ms */
	int64_t counted_at_ms;
	int32_t pace_pct;
	int64_t fails_at_ms; /* 0: it does not, by its job's fault */
	bool stopping;
	int64_t stops_at_ms; /* if stopping */
	const Sched__Step *step;
	const struct sim_job *job;
} sim_run_t;

/* The end of a run, as its worker reports it until it is acknowledged. */
typedef struct {
	int64_t seq;
	char task[64];
	int64_t run;
	sched_outcome_t outcome;
	/*
	 * The lease expired after this end, so the owner may start the task
	 * again even if it acknowledges the end later.
	 */
	bool lease_expired_since;
	char checkpoint[24];
} sim_ended_t;

/* Faults of the calls to a worker besides cuts; see handover.c. */
typedef struct {
	/* Shares of polls: carried out but not answered; carried out late and
	 * not answered; failed at once. */
	double unanswered_share, late_share, failed_share;
	int32_t answer_delay_ms; /* of any call, at most */
	/* Calls of the entry arrive, the answers do not. */
	bool answers_cut[ENTRIES_MAX];
} poll_faults_t;

typedef struct {
	char id[16];	 /* of the present process */
	char address[8]; /* of all its processes */
	char zone[4];
	int32_t index;
	bool new_ids;	       /* each process has another id */
	GPtrArray *former_ids; /* of earlier processes */
	bool up;
	bool guards_capacity; /* it rejects starts that do not fit */
	bool fails_all_tasks; /* each run ends as failed */
	bool tasks_stall;     /* runs make no progress */
	bool cut_from[ENTRIES_MAX];
	/* Share of orders that get no answer and are carried out late. */
	double lost_order_share;
	poll_faults_t polls;
	int64_t started_ms;
	int64_t clock_offset_ms; /* of its clock when it started */
	double clock_rate;	 /* of its clock; 1: that of the simulation */
	int64_t token;		 /* highest fencing token seen */
	int64_t lease_until_ms;	 /* by its clock */
	/* Of its process, the last owner that read an answer in time, and since
	 * when it does. */
	int64_t read_token, read_since_ms;
	GPtrArray *runs;  /* of sim_run_t */
	GPtrArray *ended; /* of sim_ended_t, not acknowledged */
	int64_t last_end_seq;
	int64_t cpu_milli, mem_mb;
	bool draining, listed;
	const char *label; /* NULL: it has none */
	int64_t unwell_ms; /* when idle_check.c last saw a fault of it */
	int64_t drain_began_ms;
	/* task -> highest run that was stopped or ended; int64_t */
	GHashTable *highest_rejected_run;
} sim_worker_t;

typedef struct {
	world_t *world;
	int32_t index;
	char name[8];
	sched_t *sched;
	bool up;
	bool paused;		 /* the process is stopped, as by SIGSTOP */
	bool leaving;		 /* gracefully, as on SIGTERM */
	bool was_owner;		 /* at its last tick */
	int64_t leaves_after_ms; /* if leaving: it ends no sooner */
	/* Then it ends, though it has not released the cell; 0: as others do. */
	int64_t leave_deadline_ms;
	bool store_cut;
	bool store_mute;     /* what the store does for it is not answered */
	bool no_store_clock; /* the store's answers do not tell their time */
	int32_t slow_store_read_ms; /* how much later its reads are answered */
	/* Grows with each boot; answers to an earlier process are dropped. */
	uint64_t generation;
	int64_t incarnation;
	uint64_t load; /* of the last load; answers to others are dropped */
	int64_t feed_version;
	bool feed_in_progress;
	int32_t list_lag_ms; /* from a read of the list of workers to its use */
	int64_t list_as_of_ms;	     /* of the newest list in use */
	guint config_version;	     /* of the customers in use; 0: none yet */
	int64_t slow_reads_until_ms; /* of the operators' table */
	int32_t slow_read_ms;	     /* how long they take */
	int64_t last_tick_ms;
	int64_t not_owner_ms;  /* when it last was not */
	int64_t last_fault_ms; /* when check_waiting_count last saw a fault */
} sim_entry_t;

/* The state of a task at all workers. */
typedef struct {
	int32_t running;	/* runs on workers that are up */
	int64_t started_ms;	/* the last one */
	bool done_acked;	/* a successful end was acknowledged */
	int64_t done_acked_ms;	/* when the first was */
	int32_t failures_acked; /* failed ends that were acknowledged */
	bool done;		/* a run ended successfully */
	int32_t failures;	/* runs that failed */
	int32_t crashes;	/* of workers on which it was running */
	bool start_unanswered;	/* an order to start it had no answer */
	/* The owner with this token has read then that a run is done. */
	int64_t done_read_token, done_read_ms;
	/* After CRASHES_MAX of them, by the owner with this token. */
	int32_t starts_after_crashes;
	int64_t starts_token;
} ground_truth_t;

/* What a customer's tasks may hold; 0: no limit. */
typedef struct {
	int64_t cpu_milli, mem_mb;
} sim_quota_t;

/* A version of the operators' table. */
typedef struct {
	int64_t from_ms; /* in force since */
	bool listed[CUSTOMERS_MAX];
	sim_quota_t quota[CUSTOMERS_MAX];
} sim_config_t;

typedef struct sim_job {
	char id[SCHED_JOB_ID_BYTES + 1];
	Sched__Job *def;
	bool cancelled;
	int64_t cancelled_ms;
	bool always_fails;
	int32_t
	    fails_after_ms; /* each run fails after so long; 0: it need not */
	/* A task whose index this is crashes its worker after so long. */
	int32_t deadly_index; /* -1: none */
	int32_t deadly_after_ms;
	bool begun;	  /* one of its tasks was started */
	int64_t start_ms; /* when one last was */
	int64_t ended_ms; /* when its end was stored; 0: it was not */
	int64_t accepted_ms;
} sim_job_t;

struct world {
	uint64_t seed;
	GRand *rand;
	/* No random numbers are drawn: what is not certain does not happen, and of
	 * a range the number that is so far in it is taken. */
	bool fixed_choices;
	int32_t choice_pct;
	int64_t now_ms;
	uint64_t last_event_seq;
	GSequence *events;
	/* The store. */
	GHashTable *rows;
	int64_t version;
	bool store_down;
	int64_t outage_changed_ms; /* when the last outage began or ended */
	int64_t outage_began_ms;   /* when the last one did */
	int32_t store_latency_ms;  /* of a call, without the network */
	double lost_write_share;   /* of writes that get no answer */
	bool lost_writes_apply_late;
	int64_t history_from; /* the feed keeps no changes up to this version */
	/* Entries, workers, jobs. */
	sim_entry_t entries[ENTRIES_MAX];
	int32_t nentries;
	sim_worker_t workers[WORKERS_MAX];
	int32_t nworkers;
	GHashTable *jobs;	     /* id -> sim_job_t */
	GHashTable *ground_truth;    /* task -> ground_truth_t */
	GHashTable *evacuated_since; /* zone -> int64_t, in ms */
	/* Faults around a change of the owner; NULL: there are none. */
	GRand *handover_rand;
	int64_t handover_end_ms;
	double late_read_share; /* of the store */
	GRand *weak_rand;	/* NULL: no entry is too weak */
	/* Customers. */
	GRand *customer_rand;
	int32_t ncustomers;
	GArray *configs; /* of sim_config_t; the last is the newest */
	int64_t faults_end_ms, config_changes_end_ms;
	/* Of a customer: since when it has been owed a start; may be later. */
	int64_t customer_owed_ms[CUSTOMERS_MAX];
	overload_t *overload;	  /* NULL: there is none */
	idle_check_t *idle_check; /* NULL: not checked */
	lasting_t *lasting;	  /* NULL: no such jobs and events */
	restarts_t *restarts;	  /* NULL: there are none */
	failing_t *failing;	  /* NULL: no such jobs */
	approval_t *approval;	  /* NULL: no job needs it */
	down_check_t *down_check; /* NULL: not checked */
	bool only_counts_down; /* lasting tasks without a run fail no check */
	/* The first check that failed, or NULL. */
	const char *violated_check;
	char violation_detail[256];
	int64_t starts, tasks_done;
	bool verbose;
};

/* world.c */
world_t *world_new(uint64_t seed, int32_t nentries, int32_t nworkers);
void world_free(world_t *w);
/* Calls fn after ms of virtual time. */
void world_schedule(
    world_t *w, int64_t ms, void (*fn)(world_t *, void *), void *arg);
/* Runs all events up to a time, or until a check fails. */
void world_run_until(world_t *w, int64_t until_ms);
/* When the next event is due; INT64_MAX: there is none. */
int64_t world_next_event_ms(const world_t *w);
/* Records that a check failed; later ones are ignored. */
void world_fail(world_t *w, const char *check, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
/* The number of a range that fixed choices take. */
int32_t world_fixed_choice(const world_t *w, int32_t from, int32_t to);
bool world_chance(world_t *w, double p);
/* A random number, from and to included. */
int32_t world_random_int(world_t *w, int32_t from, int32_t to);
ground_truth_t *world_ground_truth(world_t *w, const char *task);
/* A job of service "s" that comes now, without a customer. */
Sched__Job world_job_def(
    const world_t *w, const char *queue, Sched__Step **steps, size_t nsteps);
/* Stores a job's row, as an entry does before it accepts. */
sim_job_t *world_submit(world_t *w, const Sched__Job *def, bool always_fails);
void world_cancel(world_t *w, const char *id);
/* Hands all zones to an entry's scheduler, unless it is paused. */
void world_send_zones(world_t *w, sim_entry_t *en);
void world_set_evacuated(world_t *w, const char *zone, bool evacuated);

/* store.c: the calls of an entry's scheduler to the store. */
void store_claim(sim_entry_t *en, int64_t version, const GByteArray *owner);
void store_write(sim_entry_t *en, int64_t version, const GArray *puts);
void store_load(sim_entry_t *en);
void store_poll_owner(sim_entry_t *en);
/* Reads the changes since the last read, unless such a read is in progress. */
void store_read_changes(sim_entry_t *en);
row_t *store_find_row(world_t *w, const char *key);
void store_put_row(world_t *w, const char *key, const void *bytes, size_t n);

/* worker.c: the workers, and the calls of an entry's scheduler to them. */
void worker_boot(world_t *w, sim_worker_t *wk);
void worker_crash(world_t *w, sim_worker_t *wk);
/* A worker fails all that it starts for a while. */
void worker_fail_all(world_t *w, sim_worker_t *wk, int64_t ms);
/* Ends all lasting runs on a worker as failed. */
void worker_fail_lasting(world_t *w, sim_worker_t *wk);
/* Whether a task crashes each worker that starts it. */
bool worker_task_is_deadly(const sim_job_t *job, const char *task);
void worker_order(sim_entry_t *en, const sched_order_t *o);
void worker_poll(sim_entry_t *en, const sched_poll_t *p);
/* Hands the list of workers to an entry's scheduler, after its lag. */
void workers_send_list(sim_entry_t *en);
/* The worker of which this is or was the id; or NULL. */
sim_worker_t *worker_by_id(world_t *w, const char *id);
int64_t worker_clock_ms(const world_t *w, const sim_worker_t *wk);
/* Brings the worker's lease and runs up to the present. */
void worker_advance(world_t *w, sim_worker_t *wk);

/* customer.c */
void customers_init(world_t *w);
void customers_free(world_t *w);
/* Schedules changes of quotas, and the checks of progress from quiet_ms on. */
void customers_run(world_t *w, int64_t faults_end_ms, int64_t quiet_ms,
    int64_t changes_end_ms);
void customers_entry_booted(world_t *w, sim_entry_t *en);
/* Gives some jobs that are not lasting a customer. */
void customers_set_job(world_t *w, Sched__Job *def);
const char *customers_name(int32_t c);
/* A version of the configuration; the first is 0. */
sim_config_t *customers_config(const world_t *w, guint version);

/* quota_check.c */
/* Begins to check that no customer is passed over, as all faults are over. */
void quotas_begin_checks(world_t *w, void *arg);
/* Checks the quota before a run begins. */
void quotas_check_start(
    world_t *w, const sim_job_t *job, const char *task, int64_t sent_ms);

/* A run may or may not be under way, and rightly counts until its lease ends. */
void quotas_run_in_doubt(world_t *w, const sim_job_t *job);

/* handover.c: random choices of a world that has these faults. */
bool handover_chance(world_t *w, double p);
int32_t handover_random_int(world_t *w, int32_t from, int32_t to);
/* Schedules the faults until a time. */
void handover_begin(world_t *w, int64_t end_ms);
void handover_free(world_t *w);
/* Makes these faults possible, without scheduling any. */
void handover_init(world_t *w);
/* An entry begins to leave gracefully, to an heir unless it is NULL; its process
 * ends no sooner than after linger_ms. */
void handover_leave(
    world_t *w, sim_entry_t *en, const sim_entry_t *heir, int32_t linger_ms);
/* The owner begins to leave gracefully, if there is one. */
void handover_owner_leaves(world_t *w);
/* How much later than usual the store answers a read. */
int32_t handover_read_delay_ms(world_t *w, bool owner_row);
/* Ends the process of an entry that has left, which is started again later. */
void handover_entry_left(world_t *w, sim_entry_t *en);

/* overload.c */
/* Gives serving and filler images their effects, without scheduling any. */
void sim_overload_init(world_t *w);
/* Schedules the jobs of an overload until a time, and late faults after it. */
void sim_overload_begin(world_t *w, int64_t end_ms);
void sim_overload_free(world_t *w);
/* The share of its full speed at which a run works. */
double sim_overload_speed(
    const world_t *w, const sim_worker_t *wk, const sim_run_t *run);
/* Fills in the progress and the metric of a run in a report. */
void sim_overload_report(const world_t *w, const sim_worker_t *wk,
    const sim_run_t *run, sched_running_t *s);

/* idle_check.c */
/* Begins to check that what can run does; no jobs come after last_job_ms. */
void idle_check_begin(world_t *w, int64_t last_job_ms);
void idle_check_free(world_t *w);
/* Since when all is calm, as there was no fault for a while before; may be later. */
int64_t idle_check_calm_since_ms(const world_t *w);
/* Whether a worker is up and well, has been for a while, and is not about to leave. */
bool idle_check_takes_starts(const world_t *w, const sim_worker_t *wk);
/* Processor time and memory that runs on a worker reserve; of lasting ones only. */
void idle_check_count_used(const sim_worker_t *wk, bool only_lasting,
    int64_t *cpu_milli, int64_t *mem_mb);
/* How many more tasks of a step fit beside what is reserved on a worker. */
int64_t idle_check_places(const sim_worker_t *wk, const Sched__Step *st,
    int64_t cpu_milli, int64_t mem_mb);

/* lasting.c */
/* Schedules lasting jobs with short work and fillers beside them, and until a time
 * the events that end their runs, many at a time; planned: only workers that leave. */
void sim_lasting_begin(world_t *w, int64_t end_ms, bool planned);
void sim_lasting_free(world_t *w);

/* failing.c */
/* Schedules jobs that fail by their own fault beside sound ones, until a time. */
void sim_failing_begin(world_t *w, int64_t end_ms);
void sim_failing_free(world_t *w);

/* approval.c */
/* Schedules jobs that need approval, until a time, and checks that they start. */
void sim_approval_begin(world_t *w, int64_t end_ms);
void sim_approval_free(world_t *w);
/* Hands the settings of the queues to an entry's scheduler. */
void sim_approval_set_queues(world_t *w, sim_entry_t *en);
/* A call of an entry to the service. */
void sim_approval_request(sim_entry_t *en, const sched_approval_request_t *a);
/* Whether a worker takes a start of a task with that ticket. */
bool sim_approval_accepts(const world_t *w, const sim_job_t *job,
    const char *task, const char *ticket);
/* Whether answers of the service are lost. */
bool sim_approval_has_fault(const world_t *w);

/* restarts.c */
/* Schedules planned restarts of all entries, which count as no fault. */
void restarts_begin(world_t *w);
void restarts_free(world_t *w);
/* Names the successor of an entry that stops, as known now. */
void restarts_set_successor(world_t *w, sim_entry_t *en);
/* Ends the process of an entry that has left; false: there are no such restarts. */
bool restarts_entry_left(world_t *w, sim_entry_t *en);

/* down_check.c */
/* Begins to check that lasting tasks that can have a place get one in time. */
void down_check_begin(world_t *w);
void down_check_free(world_t *w);
/* Of lasting tasks that had a run: how many were down at a time at most, the longest
 * time that one was, and how often one was for longer than it may. */
typedef struct {
	int32_t most, too_long;
	int64_t longest_ms;
	int64_t stops; /* orders that ended lasting runs */
} down_totals_t;
/* A run of a task begins; an order ends a lasting run of a job that goes on. */
void down_check_start(world_t *w, const char *task);
void down_check_stop(world_t *w, const sim_worker_t *wk, const sim_run_t *run);
down_totals_t down_check_totals(const world_t *w);

/* weak_entry.c: entries too weak for the cell. */
void weak_entries_begin(world_t *w);
void weak_entries_free(world_t *w);
void weak_entry_booted(world_t *w, sim_entry_t *en);
/* Whether a poll that has arrived gets no answer in time, as its sender is weak. */
bool weak_entry_loses_poll(world_t *w, const sim_entry_t *en);
/* How long after the time for the poll its answer comes. */
int32_t weak_entry_late_ms(world_t *w);

/* entry.c */
void entry_boot(world_t *w, sim_entry_t *en);
void entry_kill(sim_entry_t *en);
/* False: the process of this generation has ended. */
bool entry_is_alive(const sim_entry_t *en, uint64_t generation);
/* After which an answer to a paused process is delivered again. */
#define PAUSED_RETRY_MS 50

#endif
