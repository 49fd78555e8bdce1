/*
 * The transport layer: an HTTP server, an HTTP client for the platform and
 * the worker agents, kept connections to backend servers, and framed
 * connections between entries.  Everything runs on one libuv loop; no call
 * here calls back before it has returned.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, <uv.h> and what proto.h needs
 * first.
 */
#ifndef TRANS_H
#define TRANS_H

#define TRANS_ERROR trans_error_quark()
GQuark trans_error_quark(void);
typedef enum {
	TRANS_ERROR_LISTEN /* cannot listen on an address */
} trans_error_t;

/* Milliseconds since 1970 that never step back while the process runs. */
ts_clock_t clock_system(uv_loop_t *loop);
int64_t clock_now(const ts_clock_t *clock);

/*
 * HTTP server.
 */
typedef struct server server_t;
typedef struct server_req server_req_t;

typedef struct {
	uv_loop_t *loop;
	const char *ip;
	int32_t port;
	size_t body_max_bytes;
	void (*on_request)(void *ctx, server_req_t *r);
	void *ctx;
} server_opts_t;

struct server_req {
	const char *method; /* all owned by the request */
	const char *path;   /* with the query */
	const char *host;   /* as the caller named it */
	const char *body;
	size_t body_bytes;
	void *impl;
};

server_t *server_new(const server_opts_t *o, GError **err);
/* Stops listening and tells kept connections to go. */
void server_stop(server_t *s);
int server_connections(const server_t *s); /* connections */
/* Refusals that never reached on_request: malformed or oversized. */
uint64_t server_bad_requests(const server_t *s);
/* The value of a header, or NULL; free it. */
char *server_header(const server_req_t *r, const char *name);
/* All headers meant for the other end, as lines; free it. */
char *server_forward_headers(const server_req_t *r);
/* Answers, once; the request is gone afterwards. */
void server_reply(server_req_t *r, int32_t status, const char *headers,
    const void *body, size_t body_bytes);

/*
 * HTTP client, for small JSON calls.
 */
typedef struct client client_t;
typedef void (*client_fn)(void *ctx, int32_t status, const char *body,
    size_t body_bytes); /* status 0: no whole answer came */

client_t *client_new(uv_loop_t *loop);
void client_free(client_t *c);
void
client_call(client_t *c, const char *method, const char *url, const char *token,
    const char *body, int32_t timeout_ms, client_fn fn, void *ctx);

/*
 * Backend servers.
 */
typedef struct backends backends_t;
typedef struct {
	const char *ip;
	int32_t port;
	int32_t max_conns; /* at most, to this server */
	const char *method;
	const char *path;
	const char *headers; /* lines that end in CR LF */
	const void *body;
	size_t body_bytes;
	int32_t timeout_ms;
} backend_call_t;
typedef struct {
	ts_outcome_t outcome;
	int32_t status;
	const char *headers;
	const uint8_t *body;
	size_t body_bytes;
} backend_answer_t;
typedef void (*backend_fn)(
    void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a);

backends_t *backends_new(uv_loop_t *loop, backend_fn fn, void *ctx);
void backends_send(
    backends_t *b, uint64_t req, int32_t attempt, const backend_call_t *call);
void backends_close_idle(backends_t *b); /* idle connections go */

/*
 * Datagrams, for what is said over and over and may be lost.
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
void dgram_send(
    dgram_t *d, const char *ip, int32_t port, const uint8_t *data, size_t n);

/*
 * Peers.
 */
typedef struct peers peers_t;
typedef struct {
	uv_loop_t *loop;
	const char *name;
	const char *ip;
	int32_t port;
	int64_t incarnation;
	const char *key;
	void (*on_state)(void *ctx, const char *peer, ts_peer_state_t state,
	    int64_t incarnation);
	void (*on_message)(
	    void *ctx, const char *peer, const Ts__Envelope *env);
	void (*on_protocol_error)(void *ctx, const char *why);
	void *ctx;
} peers_opts_t;

peers_t *peers_new(const peers_opts_t *o, GError **err);
/* Dials a peer, and again whenever the connection ends. */
void peers_add(peers_t *p, const char *name, const char *ip, int32_t port);
/* Takes bytes.  False: no connection, nothing was sent. */
bool peers_send(peers_t *p, const char *name, GByteArray *bytes);
/* Forgets peers that have not been added since the last call. */
void peers_sweep(peers_t *p);

#endif
