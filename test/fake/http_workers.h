/*
 * Stand-ins for the workers of the users' platform in process tests, as HTTP
 * servers on loopback with leases, fencing tokens and numbered ends of runs.
 * They check that the scheduler's starts keep its guarantees.
 *
 * Include <glib.h>, <jansson.h>, <uv.h>, tanagerspool.h and trans.h first.
 */
#ifndef HTTP_WORKERS_H
#define HTTP_WORKERS_H

typedef struct http_workers http_workers_t;

typedef struct {
	uv_loop_t *loop;
	const char *ip;
	int port;	     /* of the first worker; the others follow */
	int advertised_port; /* of the first, in its row; may be a proxy's */
	int workers;
	int32_t task_ms;	  /* how long each task runs */
	int32_t task_cpu_milli;	  /* of each task, to check the capacity */
	int32_t first_step_tasks; /* that step 1 has to wait for */
	/*
	 * Gets a line for each start and end of a run, and "BROKEN why" for
	 * each start that must not have happened.
	 */
	void (*on_line)(void *ctx, const char *line);
	void *ctx;
} http_workers_opts_t;

/* NULL, with a message on stderr, if a port cannot be bound. */
http_workers_t *http_workers_new(const http_workers_opts_t *o);
/* The key of a worker's row, and its value as JSON text; free both. */
char *http_workers_id(const http_workers_t *c, int worker);
char *http_workers_row(const http_workers_t *c, int worker);
/* A new process takes the worker's place: its runs and its state are lost. */
void http_workers_restart(http_workers_t *c, int worker);
/* Ends runs that are done or whose lease has expired, and answers polls. */
void http_workers_tick(http_workers_t *c);

/* Answers a request with a JSON body, and drops the reference to it. */
void http_reply_json(server_req_t *r, int32_t status, json_t *j);

#endif
