/*
 * Workers as the users' platform describes them, for process tests: leases,
 * fencing tokens and numbered ends.  They check what is ordered of them.
 *
 * Include <glib.h>, <jansson.h>, <uv.h>, tanagerspool.h and trans.h first.
 */
#ifndef CREW_H
#define CREW_H

typedef struct crew crew_t;

typedef struct {
	uv_loop_t *loop;
	const char *ip;
	int port;	/* of the first; the others follow */
	int advertised; /* port that the first one's row names */
	int workers;
	int32_t task_ms;
	int32_t task_cpu_milli; /* of every task, to check the room */
	int32_t first_step;	/* tasks of step 0, which step 1 comes after */
	/* A line for each start and end, and "BROKEN why". */
	void (*tell)(void *ctx, const char *line);
	void *ctx;
} crew_opts_t;

crew_t *crew_new(const crew_opts_t *o);
/* The row of a worker: its key, and the value as JSON text. */
char *crew_id(const crew_t *c, int worker);
char *crew_row(const crew_t *c, int worker);
/* Another process takes the worker's place: nothing runs, nothing is known. */
void crew_restart(crew_t *c, int worker);
/* Ends tasks and leases whose time has come, and answers who waits. */
void crew_tick(crew_t *c);

/* Answers a request with a JSON body, which it takes. */
void crew_reply(server_req_t *r, int32_t status, json_t *j);

#endif
