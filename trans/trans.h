/*
 * The transport layer: an HTTP server; an HTTP client for the platform and
 * the worker agents; persistent HTTP connections to backend servers; UDP
 * datagrams; and authenticated, framed TCP connections between entries.  It is
 * used by cmd/, platform/ and serve/.
 *
 * All functions run on one libuv loop and none blocks.  A callback is never
 * called before the function that requested the operation has returned, with
 * one exception: peers_sweep() calls on_state for connected peers that it
 * removes.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, <uv.h> and what proto.h needs
 * first.
 */
#ifndef TRANS_H
#define TRANS_H

#define TRANS_ERROR trans_error_quark()
GQuark trans_error_quark(void);
typedef enum {
	TRANS_ERROR_LISTEN /* cannot bind to, or listen on, an address */
} trans_error_t;

/*
 * A clock in milliseconds since 1970 that never goes back while the process
 * runs: it follows the monotonic clock, not later steps of the wall clock.
 */
ts_clock_t clock_system(void);
int64_t clock_now(const ts_clock_t *clock);

/*
 * Addresses.  Text is checked once, where it comes in.
 */
#define NET_PORT_MIN 1
#define NET_PORT_MAX 65535

typedef struct {
	char ip[INET_ADDRSTRLEN]; /* dotted decimal; "" if there is none */
	int32_t port;
} net_addr_t;

/* False, and a without an address, if ip is not IPv4 or port out of range. */
bool net_addr_set(net_addr_t *a, const char *ip, int64_t port);
/* The same for "ip:port", with decimal digits only after the colon. */
bool net_addr_parse(const char *text, net_addr_t *a);

/*
 * HTTP server.
 */
typedef struct server server_t;
typedef struct server_req server_req_t;
typedef struct budget budget_t; /* what callers hold; see budget.h */

typedef struct {
	uv_loop_t *loop;
	const char *ip;
	int32_t port;
	size_t body_max_bytes; /* requests with longer bodies are refused */
	void (*on_request)(void *ctx, server_req_t *r);
	void *ctx;
	budget_t *budget; /* NULL: callers are not bounded */
} server_opts_t;

/*
 * A request, from on_request until server_reply().  If the caller closes its
 * connection before then, body becomes empty and the reply is discarded.
 */
struct server_req {
	const char *method; /* all strings are owned by the request */
	const char *path;   /* with the query */
	const char *host;   /* value of the Host header */
	const char *body;
	size_t body_bytes;
	void *impl; /* private to server.c */
};

server_t *server_new(const server_opts_t *o, GError **err);
/* Stops listening, and closes persistent connections after their next answer. */
void server_stop(server_t *s);
/* The number of open connections. */
int server_connections(const server_t *s);
/* The number of malformed or oversized requests refused before on_request. */
uint64_t server_bad_requests(const server_t *s);
/*
 * The value of a header; free with g_free().  NULL if the request does not have
 * it, or if the caller has closed its connection.
 */
char *server_header(const server_req_t *r, const char *name);
/*
 * The headers to pass on to a backend server, as lines that end in CR LF,
 * without those that concern only this connection or the entry; free with
 * g_free().
 */
char *server_forward_headers(const server_req_t *r);
/*
 * A request isn't answered at once, and so many bytes are kept for it beside its own,
 * until server_reply().  False: there is no room, and it is to be refused now.
 */
bool server_wait(server_req_t *r, size_t bytes);
/* Answers a request and frees it.  headers: lines that end in CR LF. */
void server_reply(server_req_t *r, int32_t status, const char *headers,
    const void *body, size_t body_bytes);

/*
 * HTTP client, for small JSON calls.
 */
typedef struct client client_t;
/* status: the HTTP status, or 0 if no complete answer came. */
typedef void (*client_fn)(
    void *ctx, int32_t status, const char *body, size_t body_bytes);

client_t *client_new(uv_loop_t *loop);
/* The fn of a call that is still in progress is never called. */
void client_free(client_t *c);
/* token: sent as a bearer token, or NULL.  body: JSON text, or NULL. */
void
client_call(client_t *c, const char *method, const char *url, const char *token,
    const char *body, int32_t timeout_ms, client_fn fn, void *ctx);

/*
 * Calls to backend servers over persistent connections.
 */
typedef struct backends backends_t;
typedef struct {
	const char *ip;
	int32_t port;
	/* To this server; the call has none while so many are in use. */
	int32_t max_conns;
	const char *method;
	const char *path;
	const char *headers; /* lines that end in CR LF */
	const void *body;
	size_t body_bytes;
	int32_t timeout_ms; /* also sent to the server, as X-Deadline-Ms */
	/* In turn for a connection, up to timeout_ms; else it fails at once. */
	bool waits;
	/* For so long after timeout_ms a late answer is waited for; or 0. */
	int32_t late_ms;
	/*
	 * An answer that arrives may take longer than timeout_ms, as long as
	 * parts of it are at most so far apart; or 0.
	 */
	int32_t stall_ms;
} backend_call_t;
/* At most so many calls to a server are open after timeout_ms. */
#define BACKEND_LATE_CALLS 2
typedef struct {
	ts_outcome_t outcome;
	/* The time for the call is over, and a late answer is waited for. */
	bool open;
	/* The rest is set only if outcome is TS_OUTCOME_ANSWERED. */
	int32_t status;
	const char *headers; /* lines that end in CR LF */
	const uint8_t *body;
	size_t body_bytes;
} backend_answer_t;
/* req and attempt are those given to backends_send(). */
typedef void (*backend_fn)(
    void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a);

backends_t *backends_new(uv_loop_t *loop, backend_fn fn, void *ctx);
/*
 * Starts a call; fn is called exactly once when the call has ended, and before that
 * once with open set if late_ms of it begins.  If it got no connection, the outcome is
 * TS_OUTCOME_NOT_RUN.
 */
void backends_send(
    backends_t *b, uint64_t req, int32_t attempt, const backend_call_t *call);
void backends_close_idle(backends_t *b);

/*
 * UDP datagrams, for state that is sent repeatedly and may be lost.
 */
typedef struct dgram dgram_t;
typedef struct {
	uv_loop_t *loop;
	const char *ip;
	int32_t port;
	void (*on_data)(void *ctx, const uint8_t *data, size_t n);
	void *ctx;
} dgram_opts_t;
dgram_t *dgram_new(const dgram_opts_t *o, GError **err);
/*
 * A datagram that cannot be sent at once is dropped.  Receivers ignore those of
 * more than 1400 bytes.
 */
void dgram_send(
    dgram_t *d, const char *ip, int32_t port, const uint8_t *data, size_t n);

/*
 * Connections to the other entries (peers), which share a key.
 */
typedef struct peers peers_t;
typedef struct {
	uv_loop_t *loop;
	const char *name; /* of this entry */
	const char *ip;
	int32_t port;
	int64_t incarnation;
	const char *key;
	/*
	 * The connection that this entry made to a peer is up, has ended or
	 * could not be made.  incarnation is 0 unless it is up.
	 */
	void (*on_state)(void *ctx, const char *peer, ts_peer_state_t state,
	    int64_t incarnation);
	void (*on_message)(
	    void *ctx, const char *peer, const Ts__Envelope *env);
	/* A peer violated the protocol; its connection is being closed. */
	void (*on_protocol_error)(void *ctx, const char *why);
	void *ctx;
	budget_t *budget; /* of those that have not proved the key; or NULL */
} peers_opts_t;

/* Listens for peers. */
peers_t *peers_new(const peers_opts_t *o, GError **err);
/*
 * Connects to a peer, and reconnects when the connection ends.  For a peer
 * that has been added before, a changed address is used from the next
 * connection on.
 */
void peers_add(peers_t *p, const char *name, const char *ip, int32_t port);
/*
 * Sends frames and frees bytes.  False if nothing was sent: no connection is
 * up or its send queue is full.
 */
bool peers_send(peers_t *p, const char *name, GByteArray *bytes);
/* Removes the peers that were not added since the last call. */
void peers_sweep(peers_t *p);

#endif
