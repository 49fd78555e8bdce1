/*
 * Removes the cancels and refusals of jobs that never came, which keep submissions
 * that are still on their way from being stored (serve/job_rows.h): once no write can
 * be that late any more.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "sched.h"
#include "image_set.h"
#include "headroom.h"
#include "run_time.h"
#include "types.h"
#include "customer.h"
#include "internal.h"

#define ROUND_GAP_MS	     10000 /* between rounds; one handles many */
#define TOMBSTONES_PER_ROUND 2000

/* Creates the table of tombstones. */
GHashTable *
tombstone_table_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* When a row was written, in ms since 1970; now, if it doesn't tell. */
static int64_t
written_ms(const sched_t *s, const sched_row_t *row)
{
	Sched__Tombstone *t =
	    sched__tombstone__unpack(NULL, row->nbytes, row->bytes);
	int64_t ms = s->wall_ms;

	if (t != NULL && t->written_ms > 0)
		ms = MIN(ms, t->written_ms);
	if (t != NULL)
		sched__tombstone__free_unpacked(t, NULL);
	return ms;
}

/* Processes a cancel or refusal of a job that isn't there, or its removal. */
void
tombstone_read(sched_t *s, const char *id, const sched_row_t *row)
{
	int64_t ms;

	if (row->bytes == NULL) {
		g_hash_table_remove(s->tombstones, id);
		return;
	}
	ms = written_ms(s, row);
	g_hash_table_replace(
	    s->tombstones, g_strdup(id), g_memdup2(&ms, sizeof(ms)));
}

/* The job is there after all: its rows are removed with it. */
void
sched_tombstone_has_job(sched_t *s, const char *id)
{
	g_hash_table_remove(s->tombstones, id);
}

/*
 * Begins a round when one is due: asks for the removal of those that are old enough.
 * Those that are not removed are tried again.  Called at each tick of the owner.
 */
void
tombstone_tick(sched_t *s)
{
	g_autoptr(GPtrArray) ids = NULL;
	GHashTableIter it;
	void *k, *v;

	if (s->opts.port.purge_tombstones == NULL ||
	    s->now_ms - s->tombstones_purged_ms < ROUND_GAP_MS ||
	    !ownership_may_start_tasks(s))
		return;
	s->tombstones_purged_ms = s->now_ms;
	ids = g_ptr_array_new();
	g_hash_table_iter_init(&it, s->tombstones);
	while (ids->len < TOMBSTONES_PER_ROUND &&
	    g_hash_table_iter_next(&it, &k, &v))
		if (s->wall_ms - *(int64_t *)v >= s->opts.ended_retention_ms)
			g_ptr_array_add(ids, k);
	if (ids->len == 0)
		return;
	LOG_EVENT(s, SCHED_EVT_TOMBSTONES, "cell", "removed=%u kept=%u",
	    ids->len, g_hash_table_size(s->tombstones));
	s->opts.port.purge_tombstones(
	    s->opts.ctx, (const char *const *)ids->pdata, ids->len);
}
