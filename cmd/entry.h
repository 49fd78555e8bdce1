/*
 * Shared by the files of the entry daemon: entry.c (requests, peers and the
 * loop), platform.c (calls to the platform and the worker agents) and
 * operator.c (the operators' port).
 *
 * Include what cmd.h needs first.
 */
#ifndef ENTRY_H
#define ENTRY_H

/*
 * A request in progress, received from a caller or forwarded by a peer.  The
 * core refers to it by id and decides what to do with it; its text and, once
 * there is one, its answer stay here until it has ended.
 */
typedef struct {
	uint64_t id;
	server_req_t *caller; /* NULL: forwarded by a peer */
	char *method;
	char *path;
	char *headers; /* lines that end in CR LF */
	GByteArray *body;
	int32_t status; /* of the answer */
	char *answer_headers;
	GByteArray *answer; /* body; NULL until there is an answer */
} request_t;

typedef struct {
	char *name;
	char *platform_url;
	char *platform_token;
	char *operator_token;
	int64_t incarnation;
	uv_loop_t *loop;
	ts_clock_t clock;
	ts_core_t *core;
	server_t *caller_server;
	server_t *operator_server;
	peers_t *peers;
	callers_t *callers; /* what they hold, of all three listeners */
	client_t *client;
	backends_t *backends;
	GHashTable *requests;	  /* id -> request_t */
	GHashTable *agent_urls;	  /* worker -> url */
	GHashTable *job_requests; /* id -> job_request_t */
	uint64_t last_id;	  /* of a request or job request */
	bool vms_read_pending;
	int64_t next_vms_read_ms;
	uv_timer_t tick_timer;
	uv_signal_t sigterm, sigint;
	bool exiting; /* the core has ended the graceful stop */
	int64_t exiting_since_ms;
} entry_t;

/* Passes an event to the core, which acts on it before this returns. */
void entry_handle_event(entry_t *e, const ts_ev_t *ev);
/*
 * Counts and logs malformed input that was rejected.  event is the number of
 * the log event, from names the sender.
 */
void entry_bad_input(entry_t *e, int event, const char *from, const char *why);

/*
 * Start the call that an action asks for; its result reaches the core as an
 * event.
 */
void platform_read(entry_t *e, const ts_act_t *a);
void platform_txn(entry_t *e, const ts_act_t *a);
void platform_sync(entry_t *e, const ts_act_t *a);
/* Reads the list of VMs if the next read is due; called at every tick. */
void platform_poll_vms(entry_t *e, int64_t now);

/* Handles a request on the operators' port; ctx is the entry_t. */
void operator_request(void *ctx, server_req_t *r);
/* Answers a submit or cancel with the core's decision. */
void operator_job_reply(entry_t *e, const ts_act_t *a);

#endif
