/*
 * What the files of the simulation share.
 */
#ifndef SIM_INTERNAL_H
#define SIM_INTERNAL_H

#define SIM_TOKEN_SHA256 \
	"00000000000000000000000000000000000000000000000000000000000000aa"

int32_t sim_net_delay(sim_t *s);
bool sim_chance(sim_t *s, int32_t pct);
bool sim_peers_cut(const sim_t *s, int a, int b);
bool sim_entry_running(const sim_entry_t *e);
void sim_input(sim_t *s, sim_entry_t *e, const ts_ev_t *ev);
void sim_deliver(sim_t *s, int e, int64_t incarnation, int32_t after_ms,
    sim_callback_t fn, sim_callback_t lose, void *arg);
void sim_emit(void *ctx, const ts_act_t *a);
void sim_poll_vm_list(sim_t *s, int e);
void sim_abandon_requests(sim_t *s, int e);
void
sim_on_attempt(void *ctx, fake_worker_t *w, const fake_task_t *t, bool start);

/* ports.c hands these to world.c and back. */
void sim_send_to_backend(sim_t *s, int e, const ts_act_t *a);
void sim_on_answer(sim_t *s, int e, const ts_act_t *a);
void sim_on_refusal(sim_t *s, int e, const ts_act_t *a);
void sim_on_job_reply(sim_t *s, int e, const ts_act_t *a);
void sim_record_job_writes(sim_t *s, const ts_txn_row_t *rows, size_t n);
sim_req_t *sim_find_request(sim_t *s, int e, uint64_t local);
void sim_bind_local_id(sim_t *s, int e, uint64_t local, sim_req_t *q);

#endif
