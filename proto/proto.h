/*
 * The protocol layer: frames and messages between entries, and the JSON of the
 * platform's table, its list of VMs and the worker agents.  It only encodes and
 * decodes; trans/ has the sockets.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, <jansson.h>, "peer.pb-c.h" and
 * "tanagerspool.h" first.
 */
#ifndef PROTO_H
#define PROTO_H

#define PROTO_ERROR proto_error_quark()
GQuark proto_error_quark(void);
typedef enum {
	PROTO_ERROR_FRAME, /* frame too long, or malformed message */
	PROTO_ERROR_JSON,  /* not JSON, or a field is missing or wrong */
	PROTO_ERROR_AUTH   /* wrong proof of the shared key; not used */
} proto_error_t;

#define FRAME_MAX_BYTES (16 * 1024 * 1024)
#define NONCE_BYTES	32
#define MAC_BYTES	32

/* Packs a frame: the envelope's length in 4 bytes, big-endian, and itself. */
GByteArray *frame_pack(const Ts__Envelope *env);
/*
 * Removes one complete frame from the front of buf and unpacks it.  NULL
 * without an error: more bytes are needed.  Free with
 * ts__envelope__free_unpacked(env, NULL).
 */
Ts__Envelope *frame_unpack(GByteArray *buf, GError **err);

/* The role of the sender of a hello. */
#define HELLO_DIALLER  'd'
#define HELLO_ACCEPTOR 'a'
/*
 * Computes the proof of the shared key that a hello carries: an HMAC-SHA256
 * over the sender's role, both nonces, and the sender's incarnation and name.
 * mac has MAC_BYTES.
 */
void hello_mac(const char *key, char role, const uint8_t *receiver_nonce,
    const uint8_t *sender_nonce, const char *name, int64_t incarnation,
    uint8_t *mac);
/* Compares in constant time. */
bool hello_mac_equal(const ProtobufCBinaryData *mac, const uint8_t *expected);
/* The SHA-256 of a token, as lower-case hex digits and a NUL. */
#define TOKEN_HASH_SIZE 65
void token_hash(const char *token, char *hash);

/*
 * The HTTP request that a forward carries, or the HTTP answer that a reply
 * carries, beside the ts_msg_t.  A forward has no status; a reply has no method
 * and path.
 */
typedef struct {
	const char *method;
	const char *path;
	const char *headers; /* lines that end in CR LF */
	const uint8_t *body;
	size_t body_bytes;
	int32_t status;
} msg_payload_t;

/* Packs a message into a frame.  p is used by forwards and replies only. */
GByteArray *msg_pack(const ts_msg_t *m, const msg_payload_t *p);
/*
 * Turns an envelope into a message and its payload, which point into it.
 * capacities, an empty array of ts_capacity_t, receives those of a digest and
 * must live as long as the message.
 */
bool msg_unpack(const Ts__Envelope *env, ts_msg_t *m, msg_payload_t *p,
    GArray *capacities, GError **err);

/*
 * Rows of the platform's table.  Only rows of kind TS_ROW_CONF own memory,
 * which row_clear() frees.
 */
json_t *row_to_json(const ts_row_t *row);
bool row_from_json(const json_t *j, ts_row_t *row, GError **err);
void row_clear(ts_row_t *row);
char *txn_to_json(const ts_txn_row_t *rows, size_t n);
/* An array of ts_row_t; NULL if any row is malformed. */
GArray *rows_from_json(const char *text, size_t bytes, GError **err);
void rows_free(GArray *rows);

/* An array of ts_vm_t; NULL if any VM is malformed. */
GArray *vms_from_json(const char *text, size_t bytes, GError **err);

/* Formats the orders of an owner for a worker. */
char *sync_to_json(const ts_sync_t *s);
/* A worker's answer, read by sync_from_json(); free by sync_answer_clear(). */
typedef struct {
	ts_sync_answer_t answer; /* points into the arrays */
	GArray *tasks;
	GArray *slots;
} sync_answer_t;
bool sync_from_json(const char *text, size_t bytes, const char *worker,
    sync_answer_t *r, GError **err);
void sync_answer_clear(sync_answer_t *r);

/* Jobs, in rows of the table and in operators' requests. */
json_t *job_to_json(const ts_job_t *j);
bool job_from_json(const json_t *o, ts_job_t *j, GError **err);
const char *job_state_name(ts_job_state_t s);

#endif
