/*
 * Virtual time for the scheduler of a cell: a store, workers and entries with
 * faults, and checks of what must always hold, from what the workers see.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, sched.pb-c.h and sched.h first.
 */
#ifndef TEST_CELL_H
#define TEST_CELL_H

#define NODES_MAX   4
#define WORKERS_MAX 12
#define LATENCY_MS  2
#define MAX_HOLD_MS 6000
#define STOP_MS	    400

typedef struct world world_t;

typedef struct {
	int64_t at_ms;
	uint64_t seq;
	void (*fn)(world_t *w, void *arg);
	void *arg;
} event_t;

/* A row of the store; one part, as the schedules need no more. */
typedef struct {
	char *key;
	GByteArray *bytes;
	int64_t version;
} row_t;

typedef struct {
	char name[64];
	int64_t run;
	int64_t work_ms;  /* left when it began, or was last counted */
	int64_t since_ms; /* when that was */
	bool stopping;
	int64_t gone_ms; /* end of the stop */
	const Sched__Step *def;
} sim_run_t;

typedef struct {
	int64_t seq;
	char name[64];
	int64_t run;
	sched_outcome_t how;
	bool lapsed_since; /* the lease lapsed after this end */
	char checkpoint[24];
} sim_end_t;

typedef struct {
	char id[8];
	char zone[4];
	int32_t index;
	bool up, fails_all, stalls;
	bool cut[NODES_MAX];
	double lose_orders; /* share that gets no answer and is done late */
	int64_t born_ms;
	int64_t clock_off_ms;
	double rate; /* of its clock */
	int64_t token;
	int64_t until_ms; /* lease, its clock */
	GPtrArray *runs;  /* of sim_run_t */
	GPtrArray *ends;  /* of sim_end_t */
	int64_t seq;
	int64_t cpu_milli, mem_mb;
	bool draining, listed;
	int64_t drain_ms;
	GHashTable *refused; /* name -> highest run stopped or ended */
} sim_vm_t;

typedef struct {
	world_t *w;
	int32_t index;
	char name[8];
	sched_t *s;
	bool up, frozen;
	bool store_cut;
	uint64_t life; /* answers to an earlier process are dropped */
	int64_t incarnation;
	int64_t feed_version;
	bool feeding;
	int64_t tick_ms;
	int64_t calm_ms; /* no fault of its own since */
} sim_node_t;

/* What is true of a task, whoever knows it. */
typedef struct {
	int32_t running;      /* runs on workers that are up */
	bool done;	      /* an end done was taken note of */
	int32_t failed;	      /* ends failed taken note of */
	bool ended_done;      /* an end done was listed */
	int32_t ended_failed; /* ends failed listed */
} truth_t;

typedef struct {
	char id[SCHED_JOB_ID_BYTES + 1];
	Sched__Job *def;
	bool cancelled;
	int64_t cancel_ms;
	bool poison;
	bool begun; /* a task has started */
	int64_t accepted_ms;
} sim_job_t;

struct world {
	uint64_t seed;
	GRand *rand;
	int64_t now_ms;
	uint64_t seq;
	GSequence *events;
	/* store */
	GHashTable *rows;
	int64_t version;
	bool store_down;
	int64_t down_ms;  /* when that began, or last ended */
	int32_t store_ms; /* an answer takes */
	double store_lost;
	bool store_late;
	/* the rest */
	sim_node_t nodes[NODES_MAX];
	int32_t nnodes;
	sim_vm_t vms[WORKERS_MAX];
	int32_t nvms;
	GHashTable *jobs;   /* id -> sim_job_t */
	GHashTable *truth;  /* task -> truth_t */
	GHashTable *out;    /* evacuated zone -> since, as int64 pointer */
	const char *failed; /* the check that failed, and where */
	char detail[256];
	int64_t starts, done;
	bool verbose;
};

/* world.c */
world_t *world_new(uint64_t seed, int32_t nodes, int32_t vms);
void world_free(world_t *w);
void
world_after(world_t *w, int64_t ms, void (*fn)(world_t *, void *), void *arg);
void world_run(world_t *w, int64_t until_ms);
void world_fail(world_t *w, const char *check, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
bool world_chance(world_t *w, double p);
int32_t world_int(world_t *w, int32_t from, int32_t to);
truth_t *world_truth(world_t *w, const char *task);
const char *world_submit(world_t *w, const Sched__Job *def, bool poison);
void world_cancel(world_t *w, const char *id);
void world_tell_zones(world_t *w, sim_node_t *n);
void world_evacuate(world_t *w, const char *zone, bool out);

/* store.c */
void store_claim(sim_node_t *n, int64_t version, const GByteArray *owner);
void store_write(sim_node_t *n, int64_t version, const GArray *puts);
void store_load(sim_node_t *n);
void store_poll_owner(sim_node_t *n);
void store_feed(sim_node_t *n);
row_t *store_row(world_t *w, const char *key);
void store_put(world_t *w, const char *key, const void *bytes, size_t n);

/* vm.c */
void vm_boot(world_t *w, sim_vm_t *v);
void vm_crash(world_t *w, sim_vm_t *v);
void vm_order(sim_node_t *n, const sched_order_t *o);
void vm_look(sim_node_t *n, const sched_poll_t *l);
void vm_list(sim_node_t *n);
void vm_update(world_t *w, sim_vm_t *v);

/* node.c */
void node_boot(world_t *w, sim_node_t *n);
void node_kill(sim_node_t *n);
/* False: the process that asked is gone. */
bool node_hears(const sim_node_t *n, uint64_t life);
#define FROZEN_MS 50 /* until an answer to a frozen process is tried again */

#endif
