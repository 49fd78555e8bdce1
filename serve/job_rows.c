/*
 * The rows that entries write for callers; see job_rows.h.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"
#include "job_rows.h"

#define JOB_ROWS_MAX 3 /* of a job: its own, of a cancel, of a refusal */

/* The row of a job with this key suffix, or NULL. */
static const store_row_t *
find_row(const store_answer_t *a, const char *id, const char *suffix)
{
	g_autofree char *key = g_strconcat(id, suffix, NULL);

	for (size_t i = 0; i < a->nrows; i++)
		if (strcmp(a->rows[i].key, key) == 0 &&
		    a->rows[i].bytes != NULL)
			return &a->rows[i];
	return NULL;
}

void
job_rows_find(const store_answer_t *a, const char *id, job_rows_t *rows)
{
	const store_row_t *refusal = find_row(a, id, SCHED_KEY_REFUSAL);

	rows->job = find_row(a, id, "");
	rows->cancel = find_row(a, id, SCHED_KEY_CANCEL);
	rows->refusal = refusal == NULL ? 0 : refusal->version;
}

static GByteArray *
pack_tombstone(const node_t *n, const char *customer)
{
	Sched__Tombstone t = SCHED__TOMBSTONE__INIT;
	GByteArray *b = g_byte_array_new();

	t.written_ms = node_wall_ms(n);
	t.customer = (char *)customer;
	g_byte_array_set_size(b, (guint)sched__tombstone__get_packed_size(&t));
	sched__tombstone__pack(&t, b->data);
	return b;
}

void
job_rows_write(
    node_t *n, const job_row_write_t *w, store_answer_fn fn, void *ctx)
{
	bool submits = w->kind == JOB_ROW_SUBMITTED;
	g_autofree char *cancel = g_strconcat(w->id, SCHED_KEY_CANCEL, NULL);
	g_autofree char *refusal = g_strconcat(w->id, SCHED_KEY_REFUSAL, NULL);
	g_autoptr(GByteArray) tombstone =
	    submits ? NULL : pack_tombstone(n, w->customer);
	const GByteArray *row = submits ? w->job : tombstone;
	store_condition_t conditions[JOB_ROWS_MAX] = { { cancel, 0 },
		{ w->id, 0 }, { refusal, w->refusal } };
	const char *keys[] = { [JOB_ROW_SUBMITTED] = w->id,
		[JOB_ROW_CANCELLED] = cancel,
		[JOB_ROW_TOMBSTONE] = cancel,
		[JOB_ROW_REFUSED] = refusal };
	static const size_t nconditions[] = { [JOB_ROW_SUBMITTED] = 3,
		[JOB_ROW_CANCELLED] = 1,
		[JOB_ROW_TOMBSTONE] = 2,
		[JOB_ROW_REFUSED] = 3 };
	char partition[STORE_NAME_BYTES];
	store_put_t put = { keys[w->kind], row->data, row->len };
	store_tx_t tx = { .table = JOB_TABLE,
		.partition = partition,
		.conditions = conditions,
		.nconditions = nconditions[w->kind],
		.puts = &put,
		.nputs = 1,
		.timeout_ms = w->timeout_ms };

	job_partition(w->id, partition);
	store_tx(n->platform, &tx, fn, ctx);
}

void
job_rows_read(node_t *n, const char *id, int32_t timeout_ms, store_answer_fn fn,
    void *ctx)
{
	/* Keys are the id, and the id, '.' and a letter; '/' follows '.'. */
	g_autofree char *to = g_strconcat(id, "/", NULL);
	char partition[STORE_NAME_BYTES];
	store_scan_t scan = { .table = JOB_TABLE,
		.partition = partition,
		.from = id,
		.to = to,
		.limit = JOB_ROWS_MAX,
		.timeout_ms = timeout_ms };

	job_partition(id, partition);
	store_scan(n->platform, &scan, fn, ctx);
}

bool
job_rows_cancelled_by(const store_row_t *cancel, const char *customer)
{
	Sched__Tombstone *t =
	    sched__tombstone__unpack(NULL, cancel->nbytes, cancel->bytes);
	bool by = t == NULL || auth_may_access(customer, t->customer);

	if (t != NULL)
		sched__tombstone__free_unpacked(t, NULL);
	return by;
}
