/*
 * Removes the rows that callers wrote for jobs which ended long ago: the job's
 * own row and that of its cancel request.
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
#include "store_clock.h"
#include "auth.h"
#include "serve.h"

/* Jobs of a transaction: two rows each, and the store takes 100 rows. */
#define JOBS_MAX	 45
#define WRITE_TIMEOUT_MS 1500 /* the store may be slow */

/* One transaction: jobs of one partition whose rows are removed. */
typedef struct {
	node_t *node;
	char partition[STORE_NAME_BYTES];
	GPtrArray *ids;	 /* of the jobs */
	GPtrArray *keys; /* of their rows */
} removal_t;

/* Reports the result for each of the transaction's jobs. */
static void
on_removed(void *ctx, store_result_t r, const store_answer_t *a)
{
	removal_t *rm = ctx;

	node_record_store_answer(rm->node, r, a);
	for (guint i = 0; i < rm->ids->len; i++)
		sched_purge_done(cell_driver_sched(rm->node->cell_driver),
		    g_ptr_array_index(rm->ids, i), r == STORE_OK,
		    node_now_ms(rm->node));
	g_ptr_array_unref(rm->ids);
	g_ptr_array_unref(rm->keys);
	g_free(rm);
}

static void
removal_send(removal_t *rm)
{
	g_autofree store_put_t *rows = g_new0(store_put_t, rm->keys->len);
	store_tx_t tx = { .table = JOB_TABLE,
		.partition = rm->partition,
		.puts = rows,
		.nputs = rm->keys->len,
		.timeout_ms = WRITE_TIMEOUT_MS };

	for (guint i = 0; i < rm->keys->len; i++)
		rows[i].key = g_ptr_array_index(rm->keys, i);
	store_tx(rm->node->platform, &tx, on_removed, rm);
}

static removal_t *
removal_new(node_t *n, const char *partition)
{
	removal_t *rm = g_new0(removal_t, 1);

	rm->node = n;
	g_strlcpy(rm->partition, partition, sizeof(rm->partition));
	rm->ids = g_ptr_array_new_with_free_func(g_free);
	rm->keys = g_ptr_array_new_with_free_func(g_free);
	return rm;
}

void
job_rows_remove(node_t *n, const char *const *ids, size_t count)
{
	/* A transaction has one partition, so jobs are grouped by theirs. */
	removal_t *pending[JOB_PARTITIONS] = { NULL };

	for (size_t i = 0; i < count; i++) {
		char partition[STORE_NAME_BYTES];
		int32_t p = job_partition(ids[i], partition);

		if (pending[p] == NULL)
			pending[p] = removal_new(n, partition);
		g_ptr_array_add(pending[p]->ids, g_strdup(ids[i]));
		g_ptr_array_add(pending[p]->keys, g_strdup(ids[i]));
		g_ptr_array_add(pending[p]->keys,
		    g_strconcat(ids[i], SCHED_KEY_CANCEL, NULL));
		if (pending[p]->ids->len < JOBS_MAX)
			continue;
		removal_send(pending[p]);
		pending[p] = NULL;
	}
	for (int32_t i = 0; i < JOB_PARTITIONS; i++)
		if (pending[i] != NULL)
			removal_send(pending[i]);
}
