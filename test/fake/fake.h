/*
 * Small models of the platform's table and of a worker, used by the tests in
 * virtual time and by the stand-in processes alike.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h> and "tanagerspool.h" first.
 */
#ifndef FAKE_H
#define FAKE_H

/* The transactional table. */
typedef struct {
	GHashTable *rows; /* key -> ts_row_t */
	int64_t version;  /* of the last commit */
	uint64_t txns;
	uint64_t reads;
} fake_table_t;

void fake_table_init(fake_table_t *t);
void fake_table_clear(fake_table_t *t);
ts_txn_result_t fake_table_txn(fake_table_t *t, const ts_txn_row_t *rows,
    size_t n, int64_t *version, size_t *conflict);
/* Copies of the rows; free with fake_rows_free(). */
GArray *fake_table_read(fake_table_t *t, const char *prefix, int64_t newer);
void fake_rows_free(GArray *rows);

/* A worker: agent, tasks and slots. */
typedef struct {
	ts_task_order_t order;
	ts_task_state_t state;
	int64_t progress_ms;
	int64_t last_tick_ms;
	int64_t checkpoint_done_ms; /* checkpoint done then; 0: none */
} fake_task_t;

typedef struct fake_worker fake_worker_t;
struct fake_worker {
	const char *name;
	int64_t agent_incarnation; /* of the agent's process */
	int64_t vm_incarnation;	   /* incarnation of the VM */
	int64_t clock_skew_ms;	   /* its clock less the world's */
	int64_t epoch;
	int64_t seq;
	bool fails_all_tasks; /* every task fails at once */
	GArray *tasks;	      /* of fake_task_t */
	GArray *slots;	      /* of ts_slot_report_t */
	/* Told of every start (true) and end of an attempt. */
	void (*on_attempt)(
	    void *ctx, fake_worker_t *w, const fake_task_t *t, bool start);
	void *ctx;
	int64_t work_done_ms; /* by all tasks, at their shares */
};

/* What a task really needs: ten times or a tenth, by its class's name. */
int64_t fake_true_run_ms(const ts_task_order_t *o);

void
fake_worker_init(fake_worker_t *w, const char *name, int64_t boot, int64_t vm);
void fake_worker_clear(fake_worker_t *w);
/* Lets time pass: progress, ends, leases. */
void fake_worker_tick(fake_worker_t *w, int64_t now_ms);
/* False if the sync is older than one already obeyed. */
bool fake_worker_sync(fake_worker_t *w, const ts_sync_t *s, int64_t now_ms);
/* Fills an answer that points to tasks, an array of ts_task_report_t. */
void fake_worker_answer(
    fake_worker_t *w, int64_t now_ms, GArray *tasks, ts_sync_answer_t *a);
/* All that ran is gone, as after a crash. */
void fake_worker_crash(fake_worker_t *w, int64_t boot);
int32_t *fake_worker_running(fake_worker_t *w, const char *pool);

#endif
