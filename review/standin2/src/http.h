/*
 * A small blocking HTTP/1.1 server and client for the stand-ins of this review.
 * One thread serves each connection.
 */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PATH_BYTES 2048

typedef struct {
	char method[16];
	char path[PATH_BYTES]; /* with the query */
	char instance[256];    /* Tanagerspool-Expect-Instance, or "" */
	char role[32];	       /* X-Role, or "" */
	char *body;
	size_t body_bytes;
} request_t;

typedef struct {
	int status; /* 0: the connection is closed without an answer */
	char *body; /* freed by the server; may be NULL */
} reply_t;

typedef reply_t (*handler_t)(const request_t *r);

/* Milliseconds of the steady clock, and since 1970. */
int64_t steady_ms(void);
int64_t wall_ms(void);
void sleep_ms(int64_t ms);

/* Serves at "ip:port" for good; exits the process if it can't listen. */
void http_serve(const char *address, handler_t handler);

/*
 * Calls a server.  Returns the status, 0 if there was none in time; sets *body to the
 * answer's body, which the caller frees (may be NULL).  headers: lines that end in
 * CR LF, or "".
 */
int http_call(const char *address, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms, char **answer);

/* The decoded value of a field of the query; the caller frees it. */
char *query_field(const char *path, const char *name);

#endif
