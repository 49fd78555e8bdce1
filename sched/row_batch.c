/*
 * The rows of a write; see row_batch.h.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "row_batch.h"

/* Of a row in a call: names of its fields, its table and its partition. */
#define ROW_FIELDS_BYTES 160

/* Frees the contents of a row to be written; for arrays. */
static void
clear_put(void *p)
{
	sched_put_t *u = p;

	g_free(u->key);
	if (u->bytes != NULL)
		g_byte_array_unref(u->bytes);
}

void
row_batch_init(row_batch_t *b)
{
	b->puts = g_array_new(FALSE, FALSE, sizeof(sched_put_t));
	g_array_set_clear_func(b->puts, clear_put);
	b->bytes = 0;
}

void
row_batch_clear(row_batch_t *b)
{
	g_array_unref(b->puts);
}

size_t
row_batch_encoded_bytes(const char *key, size_t n)
{
	return ROW_FIELDS_BYTES + strlen(key) + (n + 2) / 3 * 4;
}

bool
row_batch_fits(const row_batch_t *b, const char *key, size_t n)
{
	return b->puts->len < ROW_BATCH_ROWS && n <= SCHED_ROW_MAX_BYTES &&
	    b->bytes + row_batch_encoded_bytes(key, n) <= ROW_BATCH_BYTES;
}

void
row_batch_add(row_batch_t *b, char *key, GByteArray *bytes)
{
	sched_put_t p = { key, bytes };

	b->bytes +=
	    row_batch_encoded_bytes(key, bytes == NULL ? 0 : bytes->len);
	g_array_append_val(b->puts, p);
}

void
row_batch_replace_first(row_batch_t *b, GByteArray *bytes)
{
	sched_put_t *first = &g_array_index(b->puts, sched_put_t, 0);

	g_byte_array_unref(first->bytes);
	first->bytes = bytes;
}
