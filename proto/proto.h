/*
 * The protocol layer: frames and messages between entries, and the JSON of
 * the platform's table, VM list and worker agents.  No sockets.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, <jansson.h>, "peer.pb-c.h" and
 * "tanagerspool.h" first.
 */
#ifndef PROTO_H
#define PROTO_H

#define PROTO_ERROR proto_error_quark()
GQuark proto_error_quark(void);
typedef enum {
	PROTO_ERROR_FRAME, /* too long, or does not unpack */
	PROTO_ERROR_JSON,  /* not JSON, or not of the form expected */
	PROTO_ERROR_AUTH   /* a wrong proof of the shared key */
} proto_error_t;

#define FRAME_MAX_BYTES (16 * 1024 * 1024)
#define NONCE_BYTES	32
#define MAC_BYTES	32

/* Packs an envelope behind its length, four bytes, highest first. */
GByteArray *frame_pack(const Ts__Envelope *env);
/*
 * Takes one whole frame off the front of buf.  NULL with no error: more bytes
 * are needed.  Free with ts__envelope__free_unpacked(env, NULL).
 */
Ts__Envelope *frame_unpack(GByteArray *buf, GError **err);

/* HMAC-SHA256 over role, both nonces and who speaks. */
void hello_mac(const char *key, char role, const uint8_t *first,
    const uint8_t *second, const char *name, int64_t incarnation, uint8_t *mac);
bool hello_mac_equal(const ProtobufCBinaryData *mac, const uint8_t *want);
/* Lower-case hex SHA-256 of a token. */
void token_hash(const char *token, char *hex65);

/* A message, but for forward's and reply's payload, which goes beside it. */
typedef struct {
	const char *method;
	const char *path;
	const char *headers; /* lines that end in CR LF */
	const uint8_t *body;
	size_t body_bytes;
	int32_t status;
} msg_payload_t;

GByteArray *msg_pack(const ts_msg_t *m, const msg_payload_t *p);
/*
 * Turns an envelope into a message that points into it; rooms, of three
 * arrays, must stay until the message has been used.
 */
bool msg_unpack(const Ts__Envelope *env, ts_msg_t *m, msg_payload_t *p,
    GArray *rooms, GError **err);

/* Rows of the platform's table. */
json_t *row_to_json(const ts_row_t *row);
bool row_from_json(const json_t *j, ts_row_t *row, GError **err);
void row_clear(ts_row_t *row);
char *txn_to_json(const ts_txn_row_t *rows, size_t n);
/* An array of ts_row_t; NULL when any row is wrong. */
GArray *rows_from_json(const char *text, size_t bytes, GError **err);
void rows_free(GArray *rows);

/* An array of ts_vm_t. */
GArray *vms_from_json(const char *text, size_t bytes, GError **err);

/* Syncs with worker agents. */
char *sync_to_json(const ts_sync_t *s);
typedef struct {
	ts_sync_answer_t answer; /* points into the arrays */
	GArray *tasks;
	GArray *slots;
} sync_answer_t;
bool sync_from_json(const char *text, size_t bytes, const char *worker,
    sync_answer_t *r, GError **err);
void sync_answer_clear(sync_answer_t *r);

/* Jobs as operators and callers see them. */
json_t *job_to_json(const ts_job_t *j);
bool job_from_json(const json_t *o, ts_job_t *j, GError **err);
const char *job_state_name(ts_job_state_t s);

#endif
