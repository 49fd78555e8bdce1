/*
 * Workers as the users' platform describes them, for process tests: leases,
 * fencing tokens and numbered ends.  They check what is ordered of them.
 *
 * Include <glib.h>, <jansson.h>, <uv.h>, tanagerspool.h and trans.h first.
 */
#ifndef HTTP_WORKERS_H
#define HTTP_WORKERS_H

typedef struct http_workers http_workers_t;

typedef struct {
	uv_loop_t *loop;
	const char *ip;
	int port;	     /* of the first; the others follow */
	int advertised_port; /* port that the first one's row names */
	int workers;
	int32_t task_ms;
	int32_t task_cpu_milli; /* of every task, to check the room */
	int32_t
	    first_step_tasks; /* tasks of step 0, which step 1 comes after */
	/* A line for each start and end, and "BROKEN why". */
	void (*on_line)(void *ctx, const char *line);
	void *ctx;
} http_workers_opts_t;

http_workers_t *http_workers_new(const http_workers_opts_t *o);
/* The row of a worker: its key, and the value as JSON text. */
char *http_workers_id(const http_workers_t *c, int worker);
char *http_workers_row(const http_workers_t *c, int worker);
/* Another process takes the worker's place: nothing runs, nothing is known. */
void http_workers_restart(http_workers_t *c, int worker);
/* Ends tasks and leases whose time has come, and answers who waits. */
void http_workers_tick(http_workers_t *c);

/* Answers a request with a JSON body, which it takes. */
void http_reply_json(server_req_t *r, int32_t status, json_t *j);

#endif
