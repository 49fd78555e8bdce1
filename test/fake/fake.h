/*
 * In-memory models of the platform's store and of a worker, without I/O.  The
 * simulation (test/sim) drives them in virtual time, and the stand-in
 * processes (test/standin) serve them over HTTP.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h> and "tanagerspool.h" first.
 */
#ifndef FAKE_H
#define FAKE_H

/* The store: a transactional table of versioned rows. */
typedef struct {
	GHashTable *rows; /* key -> ts_row_t */
	int64_t version;  /* of the last commit */
	uint64_t txns;	  /* transactions tried, for statistics */
	uint64_t reads;
} fake_table_t;

void fake_table_init(fake_table_t *t);
void fake_table_clear(fake_table_t *t);
/*
 * Commits the rows if each has the expected version; those without write are
 * only checked.  On success sets version, else conflict, the index of the first
 * row that differs.
 */
ts_txn_result_t fake_table_txn(fake_table_t *t, const ts_txn_row_t *rows,
    size_t n, int64_t *version, size_t *conflict);
/*
 * Copies of the rows under a prefix whose version is above newer, sorted by
 * key; free with fake_rows_free().
 */
GArray *fake_table_read(fake_table_t *t, const char *prefix, int64_t newer);
void fake_rows_free(GArray *rows);

/* One attempt of a task on a fake worker. */
typedef struct {
	ts_task_order_t order;
	ts_task_state_t state;
	int64_t progress_ms;
	int64_t last_tick_ms;
	int64_t checkpoint_done_ms; /* 0: no checkpoint in progress */
} fake_task_t;

typedef struct fake_worker fake_worker_t;
struct fake_worker {
	const char *name;
	int64_t agent_incarnation; /* changes when the agent restarts */
	int64_t vm_incarnation;	   /* changes when the VM is replaced */
	int64_t clock_skew_ms;	   /* worker's clock less the caller's now_ms */
	int64_t epoch;		   /* of the last accepted sync */
	int64_t seq;		   /* of the last accepted sync */
	bool fails_all_tasks;	   /* at their first tick */
	GArray *tasks;		   /* of fake_task_t */
	GArray *slots;		   /* of ts_slot_report_t */
	/* Called at the start (true) and the end of each attempt. */
	void (*on_attempt)(
	    void *ctx, fake_worker_t *w, const fake_task_t *t, bool start);
	void *ctx;
	int64_t work_done_ms; /* run time of all tasks, weighted by share */
};

/*
 * The run time that a task really needs: ten times the declared one for
 * classes that begin with "long", a tenth for "short".
 */
int64_t fake_true_run_ms(const ts_task_order_t *o);

void fake_worker_init(fake_worker_t *w, const char *name,
    int64_t agent_incarnation, int64_t vm_incarnation);
void fake_worker_clear(fake_worker_t *w);
/* Advances tasks to now_ms, and ends those done or with an expired lease. */
void fake_worker_tick(fake_worker_t *w, int64_t now_ms);
/*
 * Applies the orders of a sync.  Returns false, without effect, if the sync is
 * of an earlier epoch or not newer than the last accepted one.
 */
bool fake_worker_sync(fake_worker_t *w, const ts_sync_t *s, int64_t now_ms);
/*
 * Fills an answer.  Its tasks are appended to the array, of ts_task_report_t;
 * its slots are the worker's own.
 */
void fake_worker_answer(
    fake_worker_t *w, int64_t now_ms, GArray *tasks, ts_sync_answer_t *a);
/* Loses all tasks and requests, as when the agent crashes and restarts. */
void fake_worker_crash(fake_worker_t *w, int64_t agent_incarnation);
/* The count of a pool's requests in progress, for the caller to update. */
int32_t *fake_worker_running(fake_worker_t *w, const char *pool);

#endif
