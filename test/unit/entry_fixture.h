/*
 * An entry in the process of a test: a node that has the tables and nothing else, with a
 * front on a free port.  Its tables have one queue, "q", of the host 127.0.0.1.
 *
 * Include serve.h and what it needs first.
 */
#ifndef ENTRY_FIXTURE_H
#define ENTRY_FIXTURE_H

#define ENTRY_JOB_ID "5c0e7a21d94b36f8"

/* A submission of one task. */
extern const char entry_job[];

typedef struct {
	uv_loop_t *loop;
	const char *store_addr; /* ip:port */
	int64_t config_ms;
	int first_port; /* tried for the front, and at most ENTRY_PORTS after it */
	void (*on_request)(void *ctx, server_req_t *r);
	void *ctx;
} entry_opts_t;

/* Returns the port of the front. */
int entry_fixture_init(node_t *n, const entry_opts_t *o);

#endif
