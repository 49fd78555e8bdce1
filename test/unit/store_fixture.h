/*
 * A store of one table on loopback, for tests of what watches it.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, <uv.h>, trans.h and platform.h
 * first.
 */
#ifndef STORE_FIXTURE_H
#define STORE_FIXTURE_H

typedef struct {
	uv_loop_t *loop;
	server_t *server;
	char *address;	    /* ip:port */
	GPtrArray *history; /* of changes, oldest first */
	int64_t version;    /* of the last change */
	int64_t kept_from;  /* changes of lower versions are forgotten */
	bool away;	    /* it answers no call */
	bool forgets;	    /* it never has the history that is asked for */
	int32_t slow_ms;    /* each call is handled so much later */
	int32_t row_ms;	    /* an answer takes so long for each row in it */
	GPtrArray *held;    /* of server_req_t, not answered */
	int reads, feeds;   /* calls so far */
	size_t rows_sent;   /* in all answers so far */
} store_fixture_t;

void store_fixture_init(store_fixture_t *f, uv_loop_t *loop);
/* Writes a row; text NULL removes it. */
void store_fixture_put(store_fixture_t *f, const char *key, const char *text);
/* Forgets all changes so far, as a store does after a time. */
void store_fixture_compact(store_fixture_t *f);

#endif
