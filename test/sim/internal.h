/*
 * Declarations shared by the files of the simulation only.
 */
#ifndef SIM_INTERNAL_H
#define SIM_INTERNAL_H

/* SHA-256 that stands for the token of every caller. */
#define SIM_TOKEN_SHA256 \
	"00000000000000000000000000000000000000000000000000000000000000aa"

/* sim.c */
int32_t sim_net_delay(sim_t *s); /* of one message, ms, with jitter */
/* True with a probability of pct percent. */
bool sim_chance(sim_t *s, int32_t pct);
/* True if the network between two entries is cut. */
bool sim_peers_cut(const sim_t *s, int a, int b);
/* True if the entry's process runs and is not paused. */
bool sim_entry_running(const sim_entry_t *e);
/* Hands an event to the entry's core, which must exist. */
void sim_input(sim_t *s, sim_entry_t *e, const ts_ev_t *ev);
/*
 * Calls fn with arg after a delay if that incarnation of the entry's process
 * still lives then, else on_lost (or nothing if NULL).  While the process is
 * paused the delivery waits, as in the kernel's socket buffers.
 */
void sim_deliver(sim_t *s, int e, int64_t incarnation, int32_t after_ms,
    sim_callback_t fn, sim_callback_t on_lost, void *arg);

/* transport.c */
/* The emit callback of the cores: carries out an action. */
void sim_emit(void *ctx, const ts_act_t *a);
/* Hands the VM list to the entry, if its poll is due in this tick. */
void sim_poll_vm_list(sim_t *s, int e);

/* workload.c */
/* The actions of requests and jobs that sim_emit() passes on. */
void sim_send_to_backend(sim_t *s, int e, const ts_act_t *a);
void sim_on_answer(sim_t *s, int e, const ts_act_t *a);
void sim_on_refusal(sim_t *s, int e, const ts_act_t *a);
void sim_on_job_reply(sim_t *s, int e, const ts_act_t *a);
/*
 * Traces the job rows that a committed transaction wrote, and records the new
 * ids of jobs that moved to another group.
 */
void sim_record_job_writes(sim_t *s, const ts_txn_row_t *rows, size_t n);
/* Marks the open requests of an entry whose process has died. */
void sim_abandon_requests(sim_t *s, int e);
/* The on_attempt callback of the fake workers. */
void
sim_on_attempt(void *ctx, fake_worker_t *w, const fake_task_t *t, bool start);
/* The request with this id at the entry's current process, or NULL. */
sim_req_t *sim_find_request(sim_t *s, int e, uint64_t local_id);
/* Records the id that the entry's current process uses for a request. */
void sim_bind_local_id(sim_t *s, int e, uint64_t local_id, sim_req_t *q);

#endif
