/*
 * Removes the rows that callers wrote: of jobs which ended long ago, and cancels and
 * refusals of jobs that never came.
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
#include "rate_limit.h"
#include "serve.h"

/* Jobs of a transaction: three entries each, and the store takes 100. */
#define JOBS_MAX	 32
#define WRITE_TIMEOUT_MS 1500 /* the store may be slow */

/* One transaction: jobs of one partition whose rows are removed. */
typedef struct {
	node_t *node;
	char partition[STORE_NAME_BYTES];
	bool tombstones; /* without a job, which must not come meanwhile */
	GPtrArray *ids;	 /* of the jobs */
	GPtrArray *keys; /* of their rows */
} removal_t;

/* Reports the result for each of the transaction's jobs. */
static void
report(const removal_t *rm, bool ok)
{
	for (guint i = 0; i < rm->ids->len; i++)
		sched_purge_done(cell_driver_sched(rm->node->cell_driver),
		    g_ptr_array_index(rm->ids, i), ok, node_now_ms(rm->node));
}

static void
on_removed(void *ctx, store_result_t r, const store_answer_t *a)
{
	removal_t *rm = ctx;

	node_record_store_answer(rm->node, r, a);
	if (!rm->tombstones)
		report(rm, r == STORE_OK);
	/* The rows of a conflict are jobs, whose keys are their ids. */
	for (size_t i = 0; r == STORE_CONFLICT && i < a->nrows; i++)
		if (a->rows[i].bytes != NULL)
			sched_tombstone_has_job(
			    cell_driver_sched(rm->node->cell_driver),
			    a->rows[i].key);
	g_ptr_array_unref(rm->ids);
	g_ptr_array_unref(rm->keys);
	g_free(rm);
}

static void
removal_send(removal_t *rm)
{
	g_autofree store_put_t *rows = g_new0(store_put_t, rm->keys->len);
	g_autofree store_condition_t *absent =
	    g_new0(store_condition_t, rm->ids->len);
	store_tx_t tx = { .table = JOB_TABLE,
		.partition = rm->partition,
		.conditions = absent,
		.nconditions = rm->tombstones ? rm->ids->len : 0,
		.puts = rows,
		.nputs = rm->keys->len,
		.timeout_ms = WRITE_TIMEOUT_MS };

	for (guint i = 0; i < rm->keys->len; i++)
		rows[i].key = g_ptr_array_index(rm->keys, i);
	for (guint i = 0; i < rm->ids->len; i++)
		absent[i].key = g_ptr_array_index(rm->ids, i);
	store_tx(rm->node->platform, &tx, on_removed, rm);
}

static removal_t *
removal_new(node_t *n, const char *partition, bool tombstones)
{
	removal_t *rm = g_new0(removal_t, 1);

	rm->node = n;
	rm->tombstones = tombstones;
	g_strlcpy(rm->partition, partition, sizeof(rm->partition));
	rm->ids = g_ptr_array_new_with_free_func(g_free);
	rm->keys = g_ptr_array_new_with_free_func(g_free);
	return rm;
}

/* Adds the rows of a job that are to be removed. */
static void
add_job(removal_t *rm, const char *id)
{
	g_ptr_array_add(rm->ids, g_strdup(id));
	if (!rm->tombstones)
		g_ptr_array_add(rm->keys, g_strdup(id));
	g_ptr_array_add(rm->keys, g_strconcat(id, SCHED_KEY_CANCEL, NULL));
	g_ptr_array_add(rm->keys, g_strconcat(id, SCHED_KEY_REFUSAL, NULL));
}

/* A transaction has one partition, so jobs are grouped by theirs. */
static void
remove_rows(node_t *n, const char *const *ids, size_t count, bool tombstones)
{
	removal_t *pending[JOB_PARTITIONS] = { NULL };

	for (size_t i = 0; i < count; i++) {
		char partition[STORE_NAME_BYTES];
		int32_t p = job_partition(ids[i], partition);

		if (pending[p] == NULL)
			pending[p] = removal_new(n, partition, tombstones);
		add_job(pending[p], ids[i]);
		if (pending[p]->ids->len < JOBS_MAX)
			continue;
		removal_send(pending[p]);
		pending[p] = NULL;
	}
	for (int32_t i = 0; i < JOB_PARTITIONS; i++)
		if (pending[i] != NULL)
			removal_send(pending[i]);
}

void
job_rows_remove(node_t *n, const char *const *ids, size_t count)
{
	remove_rows(n, ids, count, false);
}

void
job_tombstones_remove(node_t *n, const char *const *ids, size_t count)
{
	remove_rows(n, ids, count, true);
}
