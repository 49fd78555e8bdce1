/*
 * Rows of jobs that ended long ago are removed: first those that callers
 * wrote, then the owner's, without which a job would count as not begun.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define GAP_MS	 30000 /* between two rounds: many rows go in one call */
#define JOBS_MAX 1500  /* in a round */
#define ROWS_MAX 30    /* of the owner's, in one of its transactions */

typedef enum {
	PURGE_KEPT,
	PURGE_CALLERS, /* the rows that callers wrote are being removed */
	PURGE_OWNER,   /* the owner's row is to be removed */
	PURGE_WRITING  /* ... in the transaction under way */
} stage_t;

typedef struct {
	int64_t ended_ms; /* wall clock */
	stage_t stage;
} ended_t;

GHashTable *
purge_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* A job's end is stored; its rows are kept for a while from then on. */
void
purge_add(sched_t *s, const char *id, int64_t ended_ms)
{
	ended_t *e = g_new0(ended_t, 1);

	e->ended_ms = ended_ms;
	g_hash_table_replace(s->ended, g_strdup(id), e);
}

/* Asks for the removal of what callers wrote of jobs whose time has come. */
void
purge_tick(sched_t *s)
{
	g_autoptr(GPtrArray) ids = NULL;
	GHashTableIter it;
	void *k, *v;

	if (s->o.port.purge == NULL || s->now - s->purge_ms < GAP_MS ||
	    !cell_acts(s))
		return;
	s->purge_ms = s->now;
	ids = g_ptr_array_new();
	g_hash_table_iter_init(&it, s->ended);
	while (ids->len < JOBS_MAX && g_hash_table_iter_next(&it, &k, &v)) {
		ended_t *e = v;

		if (e->stage != PURGE_KEPT ||
		    s->wall - e->ended_ms < s->o.ended_retention_ms ||
		    g_hash_table_contains(s->jobs, k))
			continue;
		e->stage = PURGE_CALLERS;
		g_ptr_array_add(ids, k);
	}
	if (ids->len == 0)
		return;
	LOG(s, SCHED_EVT_PURGE, "cell", "jobs=%u kept=%u", ids->len,
	    g_hash_table_size(s->ended));
	s->o.port.purge(s->o.ctx, (const char *const *)ids->pdata, ids->len);
}

void
sched_purge_done(sched_t *s, const char *id, bool ok, int64_t now_ms)
{
	ended_t *e = g_hash_table_lookup(s->ended, id);

	s->now = now_ms;
	if (e != NULL && e->stage == PURGE_CALLERS)
		e->stage = ok ? PURGE_OWNER : PURGE_KEPT;
}

/* The next own row to be removed in the transaction that begins, or NULL. */
GPtrArray *
purge_rows(sched_t *s)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, s->ended);
	while (keys->len < ROWS_MAX && g_hash_table_iter_next(&it, &k, &v)) {
		ended_t *e = v;

		if (e->stage != PURGE_OWNER)
			continue;
		e->stage = PURGE_WRITING;
		g_ptr_array_add(keys, g_strconcat(k, SCHED_KEY_PROGRESS, NULL));
	}
	return keys;
}

/* The transaction has ended. */
void
purge_wrote(sched_t *s, bool ok)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, s->ended);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		ended_t *e = v;

		if (e->stage != PURGE_WRITING)
			continue;
		if (ok)
			g_hash_table_iter_remove(&it);
		else
			e->stage = PURGE_OWNER;
	}
}
