/*
 * Stand-ins of the platform for the review's scripts: the store, the workers and
 * the clients, on loopback.  One thread serves the store and the workers
 * (server.c, store.c, worker.c); the thread of main() plays a case (cases.c,
 * client.c).  All state is guarded by one lock.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#define WORKERS_MAX 64
#define ENTRIES	    3

/* server.c */
typedef struct conn conn_t;
typedef struct {
	conn_t *conn;
	char method[8];
	char path[2048];
	char expect[256]; /* Tanagerspool-Expect-Instance, or "" */
	const char *body;
	size_t nbody;
} request_t;

/* A call that is answered later: n is the number of its request. */
typedef struct {
	conn_t *conn;
	uint64_t n;
} later_t;

typedef void (*serve_fn)(int owner, const request_t *r);

void lock(void);
void unlock(void);
int64_t now_ms(void);
int64_t wall_ms(void);
/* Listens at ip:port; owner is passed to fn.  False: the port is taken. */
bool server_listen(const char *ip, int port, int owner, serve_fn fn);
/* Closes the listener and resets the connections of an owner. */
void server_close(int owner);
/* All open connections carry nothing any more and stay open; new ones work. */
void server_silence(void);
void server_reply(conn_t *c, int status, const char *body);
/* Replies after a delay, unless the connection has ended by then. */
void server_reply_after(conn_t *c, int ms, int status, const char *body);
later_t server_later(const request_t *r);
bool server_waits(later_t l);
/* Called each few milliseconds under the lock. */
void server_add_tick(void (*fn)(void));
void server_start(void);

/* store.c */
typedef enum { TX_SERVE, TX_LOSE, TX_LATE } tx_fate_t;
/* Decides about a transaction: late_ms is set for TX_LATE. */
extern tx_fate_t (*store_fate)(json_t *tx, int *late_ms);
extern int store_tx_ms, store_read_ms;
extern int64_t store_refused; /* transactions beyond the limits */
extern size_t store_max_row, store_max_call;
void store_serve(int owner, const request_t *r);
void store_put_text(const char *table, const char *key, const char *text);
void store_remove(const char *table, const char *key);
void store_tick(void);

/* worker.c */
typedef struct run {
	struct run *next;
	char task[80];
	int64_t run, began_ms, ends_ms; /* ends_ms 0: it lasts */
	int gang;			/* tasks of its gang, or 0 */
	int gang_work_ms;
	int64_t gang_began_ms;
} run_t;
typedef struct end {
	struct end *next;
	int64_t seq, run;
	char task[80];
	const char *how;
} end_t;
typedef struct high {
	struct high *next;
	char task[80];
	int64_t run;
} high_t;
typedef struct {
	int index;
	char id[40], ip[32], zone[32], rack[32], kind[32];
	int port;
	int64_t cpu, mem;
	bool up, in_touch; /* in_touch: it reaches the store */
	int64_t born_ms, beat_ms, clock0_ms, sequence;
	int64_t token, lease_ms, seq;
	run_t *runs;
	end_t *ends;
	high_t *highs;
	int nstarts;
} worker_t;
/* What is seen of starts; set by a case.  Called under the lock. */
extern void (*on_start)(worker_t *w, const run_t *r);
extern worker_t workers[WORKERS_MAX];
extern int nworkers;
void worker_add(const char *rack, const char *kind, int64_t cpu);
/* The process ends at once: its connections are reset, its runs are gone. */
void worker_crash(worker_t *w);
/* Another process under the same id, at the same address. */
bool worker_restart(worker_t *w);
void worker_tick(void);
/* Runs of a job that are at work; prefix: of the task's name. */
int runs_of(const char *prefix);
worker_t *worker_of(const char *prefix);
/* Tasks with this prefix that have ended "done", each counted once. */
int done_of(const char *prefix);
/* Ends "failed" of tasks with this prefix. */
int failed_of(const char *prefix);

/* client.c */
extern char entry_ip[ENTRIES][32];
extern int front_port, ready_port;
/* Calls an entry; 0: no answer in time.  body: of the answer, or NULL. */
int call(int entry, const char *method, const char *path, const char *data,
    int timeout_ms, char *body, size_t nbody);
int submit(int entry, const char *id, const char *job);
/* Sends a submission and closes the connection after wait_ms. */
int submit_and_leave(int entry, const char *id, const char *job, int wait_ms);
int cancel(int entry, const char *id);
/* "" without an answer; "gone" after 410. */
const char *state_of(const char *id);
bool entries_ready(int timeout_ms);
bool cell_serves(int timeout_ms);

/* record */
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void sleep_ms(int ms);

#define HOST	"desk.example"
#define PREFIX	"/desk/"
#define SERVICE "berth"

/* cases.c: 0 held, 1 broken, 2 could not run. */
int case_play(const char *name, bool trouble);
void case_workers(const char *name);

#endif
