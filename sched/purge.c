/*
 * Removes the rows of jobs that ended long ago: first those that callers wrote,
 * then the progress row, without which a job would count as not started.
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

#define ROUND_GAP_MS	       30000 /* between rounds; one handles many jobs */
#define MAX_JOBS_PER_ROUND     1500
#define REMOVED_ROWS_PER_FLUSH 30

typedef enum {
	PURGE_KEPT,	/* no removal has begun, or the last one failed */
	PURGE_CALLERS,	/* the rows that callers wrote are being removed */
	PURGE_PROGRESS, /* the progress row is to be removed */
	PURGE_WRITING	/* the flush in flight removes the progress row */
} purge_stage_t;

typedef struct {
	int64_t ended_wall_ms;
	purge_stage_t stage;
} ended_job_t;

/* Creates the table of ended jobs. */
GHashTable *
purge_table_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Records a job whose end is stored.  Its rows are kept for the retention time
 * of sched_opts_t after ended_wall_ms.
 */
void
purge_add_ended(sched_t *s, const char *id, int64_t ended_wall_ms)
{
	ended_job_t *e = g_new0(ended_job_t, 1);

	e->ended_wall_ms = ended_wall_ms;
	g_hash_table_replace(s->ended_jobs, g_strdup(id), e);
}

/*
 * Begins a round when one is due: asks for the removal of the rows that callers
 * wrote for jobs that ended long enough ago.  Called at each tick of the owner.
 */
void
purge_tick(sched_t *s)
{
	g_autoptr(GPtrArray) ids = NULL;
	GHashTableIter it;
	void *k, *v;

	if (s->opts.port.purge == NULL ||
	    s->now_ms - s->purged_ms < ROUND_GAP_MS ||
	    !ownership_may_start_tasks(s))
		return;
	s->purged_ms = s->now_ms;
	ids = g_ptr_array_new();
	g_hash_table_iter_init(&it, s->ended_jobs);
	while (ids->len < MAX_JOBS_PER_ROUND &&
	    g_hash_table_iter_next(&it, &k, &v)) {
		ended_job_t *e = v;

		if (e->stage != PURGE_KEPT ||
		    s->wall_ms - e->ended_wall_ms <
			s->opts.ended_retention_ms ||
		    g_hash_table_contains(s->jobs, k))
			continue;
		e->stage = PURGE_CALLERS;
		g_ptr_array_add(ids, k);
	}
	if (ids->len == 0)
		return;
	LOG_EVENT(s, SCHED_EVT_PURGE, "cell", "jobs=%u kept=%u", ids->len,
	    g_hash_table_size(s->ended_jobs));
	s->opts.port.purge(
	    s->opts.ctx, (const char *const *)ids->pdata, ids->len);
}

void
sched_purge_done(sched_t *s, const char *id, bool ok, int64_t now_ms)
{
	ended_job_t *e = g_hash_table_lookup(s->ended_jobs, id);

	s->now_ms = now_ms;
	if (e != NULL && e->stage == PURGE_CALLERS)
		e->stage = ok ? PURGE_PROGRESS : PURGE_KEPT;
}

/*
 * Returns the keys of the progress rows that the flush now beginning is to
 * remove; the array may be empty, and the caller frees it.
 */
GPtrArray *
purge_take_rows(sched_t *s)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, s->ended_jobs);
	while (keys->len < REMOVED_ROWS_PER_FLUSH &&
	    g_hash_table_iter_next(&it, &k, &v)) {
		ended_job_t *e = v;

		if (e->stage != PURGE_PROGRESS)
			continue;
		e->stage = PURGE_WRITING;
		g_ptr_array_add(keys, g_strconcat(k, SCHED_KEY_PROGRESS, NULL));
	}
	return keys;
}

/* Handles the result of a flush that removes progress rows. */
void
purge_write_done(sched_t *s, bool ok)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->ended_jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		ended_job_t *e = v;

		if (e->stage != PURGE_WRITING)
			continue;
		if (ok)
			g_hash_table_iter_remove(&it);
		else
			e->stage = PURGE_PROGRESS;
	}
}
