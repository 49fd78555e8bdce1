/*
 * The rows of a write, within what the store takes in a call.
 *
 * Include <stdbool.h>, <stddef.h>, <glib.h>, "../proto/sched.pb-c.h" and "sched.h"
 * first.
 */
#ifndef ROW_BATCH_H
#define ROW_BATCH_H

#define ROW_BATCH_ROWS 90 /* the store takes 100, the precondition among them */
/* As encoded; the store takes 1 MB. */
#define ROW_BATCH_BYTES 900000

typedef struct row_batch row_batch_t;
struct row_batch {
	GArray *puts; /* of sched_put_t */
	size_t bytes; /* as encoded */
};

void row_batch_init(row_batch_t *b);
void row_batch_clear(row_batch_t *b);
/* What a row takes in a call, for one of n bytes. */
size_t row_batch_encoded_bytes(const char *key, size_t n);
/* Whether a batch has room for a row of n bytes. */
bool row_batch_fits(const row_batch_t *b, const char *key, size_t n);
/* Replaces the bytes of the first row by others of about their length; takes
 * ownership. */
void row_batch_replace_first(row_batch_t *b, GByteArray *bytes);
/* Adds a row, or its removal if bytes is NULL; takes ownership of both. */
void row_batch_add(row_batch_t *b, char *key, GByteArray *bytes);

#endif
