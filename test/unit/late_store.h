/*
 * A store on loopback whose writes can be lost and performed late: without an answer,
 * and later if their conditions still hold.  It serves rows of callers, and nothing of
 * the cell.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, <jansson.h>, <uv.h> and trans.h first.
 */
#ifndef LATE_STORE_H
#define LATE_STORE_H

typedef struct {
	GHashTable *rows; /* key -> late_row_t */
	int64_t version;
	const char *lost_key; /* the next write of this row is lost; or NULL */
	GPtrArray *lost;      /* of json_t, writes that were lost */
	GPtrArray *waiting;   /* of server_req_t, never answered */
	int32_t writes;
	bool refuses; /* it answers 503 to all writes */
	server_t *server;
	char address[32]; /* ip:port */
} late_store_t;

void late_store_init(late_store_t *s, uv_loop_t *loop);
/* Performs the writes that were lost so far; returns how many had an effect. */
int32_t late_store_perform(late_store_t *s);
bool late_store_has(const late_store_t *s, const char *key);

#endif
