/*
 * Removing the rows that callers wrote of jobs which ended long ago.
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
#include "../cmd/cmd.h"
#include "serve.h"

#define JOBS_MAX 45   /* in a transaction: two rows each, of 100 */
#define WRITE_MS 1500 /* for its answer; the store may be slow */

/* Jobs of one part whose rows are being removed. */
typedef struct {
	node_t *node;
	char part[STORE_NAME_BYTES];
	GPtrArray *ids, *keys;
} removal_t;

static void
on_removed(void *ctx, store_result_t r, const store_answer_t *a)
{
	removal_t *x = ctx;

	(void)a;
	node_record_store_answer(x->node, r);
	for (guint i = 0; i < x->ids->len; i++)
		sched_purge_done(cell_driver_sched(x->node->cell_driver),
		    g_ptr_array_index(x->ids, i), r == STORE_OK,
		    node_now_ms(x->node));
	g_ptr_array_unref(x->ids);
	g_ptr_array_unref(x->keys);
	g_free(x);
}

static void
send_removal(removal_t *x)
{
	g_autofree store_put_t *rows = g_new0(store_put_t, x->keys->len);
	store_tx_t tx = { .table = JOB_TABLE,
		.partition = x->part,
		.puts = rows,
		.nputs = x->keys->len,
		.timeout_ms = WRITE_MS };

	for (guint i = 0; i < x->keys->len; i++)
		rows[i].key = g_ptr_array_index(x->keys, i);
	store_tx(x->node->platform, &tx, on_removed, x);
}

static removal_t *
removal_new(node_t *n, const char *part)
{
	removal_t *x = g_new0(removal_t, 1);

	x->node = n;
	g_strlcpy(x->part, part, sizeof(x->part));
	x->ids = g_ptr_array_new_with_free_func(g_free);
	x->keys = g_ptr_array_new_with_free_func(g_free);
	return x;
}

/* Rows of callers lie in many parts; a transaction has one. */
void
job_rows_remove(node_t *n, const char *const *ids, size_t count)
{
	removal_t *open[JOB_PARTITIONS] = { NULL };

	for (size_t i = 0; i < count; i++) {
		char part[STORE_NAME_BYTES];
		int32_t at = job_partition(ids[i], part);

		if (open[at] == NULL)
			open[at] = removal_new(n, part);
		g_ptr_array_add(open[at]->ids, g_strdup(ids[i]));
		g_ptr_array_add(open[at]->keys, g_strdup(ids[i]));
		g_ptr_array_add(open[at]->keys,
		    g_strconcat(ids[i], SCHED_KEY_CANCEL, NULL));
		if (open[at]->ids->len < JOBS_MAX)
			continue;
		send_removal(open[at]);
		open[at] = NULL;
	}
	for (int32_t i = 0; i < JOB_PARTITIONS; i++)
		if (open[i] != NULL)
			send_removal(open[i]);
}
