/*
 * Pools of services: which owned workers serve them, how many slots are free,
 * and which worker or peer gets the next request.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define SAMPLE_MIN 16	/* workers up to which all are looked at */
#define SAMPLE	   4	/* looked at beyond that */
#define BUDGET_MAX 20.0 /* retries saved up per pool */
#define ROOM_MS	   50	/* between counts of free slots */

pool_t *
pool_get(ts_core_t *c, const char *name)
{
	pool_t *p = g_hash_table_lookup(c->pools, name);

	if (p != NULL)
		return p;
	p = g_new0(pool_t, 1);
	p->name = g_intern_string(name);
	p->interference_index = c->npools < TS_POOLS_MAX ? c->npools++ : -1;
	p->retry_budget = BUDGET_MAX / 2;
	p->mean_service_us = 10000;
	p->workers = g_ptr_array_new();
	g_queue_init(&p->queue);
	g_hash_table_insert(c->pools, (void *)p->name, p);
	return p;
}

void
pool_free(void *v)
{
	pool_t *p = v;

	g_ptr_array_free(p->workers, TRUE);
	g_queue_clear(&p->queue);
	g_free(p);
}

/* Tables, list or ownership have changed: see pool_rebuild_workers(). */
void
pool_invalidate(ts_core_t *c)
{
	c->pool_workers_stale = true;
}

/* What the tables in force mean for a worker. */
static void
join_worker(ts_core_t *c, worker_t *w)
{
	w->zone_is_out = ts_conf_zone_is_out(c->conf, w->vm.zone);
	w->service_reserve = (ts_res_t){ 0, 0, 0 };
	for (guint i = 0; i < c->conf->pools->len; i++) {
		const ts_pool_t *cfg = c->conf->pools->pdata[i];

		if (cfg->kind != TS_POOL_SERVICE ||
		    !ts_conf_pool_in_zone(cfg, w->vm.zone))
			continue;
		w->service_reserve.cpu_milli +=
		    cfg->slots * cfg->slot_size.cpu_milli;
		w->service_reserve.mem_bytes +=
		    cfg->slots * cfg->slot_size.mem_bytes;
		w->service_reserve.accel += cfg->slots * cfg->slot_size.accel;
		if (owner_accepts_work(w->group))
			g_ptr_array_add(pool_get(c, cfg->name)->workers, w);
	}
}

/*
 * Works out anew which owned workers serve which pool, and what each keeps
 * for it.  Changes come in bursts, so this is done at the next tick.
 */
void
pool_rebuild_workers(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	if (!c->pool_workers_stale)
		return;
	c->pool_workers_stale = false;
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		g_ptr_array_set_size(((pool_t *)v)->workers, 0);
		((pool_t *)v)->next_count_ms = 0;
	}
	if (c->conf == NULL)
		return;
	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		join_worker(c, v);
}

/* Whether a request of the pool may be sent to the worker now. */
static bool
slot_free(ts_core_t *c, worker_t *w, const ts_pool_t *cfg)
{
	ts_res_t room;
	slot_use_t *s;

	if (!worker_accepts_work(c, w) || c->now_ms < w->suspect_until_ms)
		return false;
	s = worker_slot_use(c, w, cfg->name);
	if (s == NULL || s->in_progress + s->orphans >= cfg->slots)
		return false;
	room = worker_free_res(c, w);
	return ts_res_fits(&cfg->slot_size, &room);
}

static int64_t
pool_free_slots(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *cfg =
	    c->conf == NULL ? NULL : ts_conf_find_pool(c->conf, p->name);
	int64_t n = 0;

	for (guint i = 0; cfg != NULL && i < p->workers->len; i++) {
		worker_t *w = p->workers->pdata[i];
		slot_use_t *s;

		if (!slot_free(c, w, cfg))
			continue;
		s = worker_slot_use(c, w, cfg->name);
		n += cfg->slots - s->in_progress - s->orphans;
	}
	return n;
}

/* Room that peers are told of: free slots that nobody here waits for. */
int64_t
pool_advertised_slots(ts_core_t *c, pool_t *p)
{
	/* Counting looks at every worker; between counts it is kept up. */
	if (c->now_ms >= p->next_count_ms) {
		p->next_count_ms = c->now_ms + ROOM_MS;
		p->free_slots = pool_free_slots(c, p);
	}
	return p->free_slots - g_queue_get_length(&p->queue);
}

/* Outstanding requests weighed by the latency seen there; lower is better. */
static int64_t
load_of(ts_core_t *c, worker_t *w, const char *pool)
{
	slot_use_t *s = worker_slot_use(c, w, pool);

	if (c->opts.balance != TS_BALANCE_LATENCY)
		return s->in_progress + s->orphans;
	return (s->in_progress + s->orphans + 1) * MAX(s->latency_us, 100);
}

static worker_t *
better(ts_core_t *c, worker_t *best, worker_t *w, const ts_pool_t *cfg)
{
	if (!slot_free(c, w, cfg))
		return best;
	if (best != NULL && c->opts.balance == TS_BALANCE_LATENCY &&
	    best->undisturbed != w->undisturbed)
		return best->undisturbed ? best : w;
	if (best == NULL ||
	    load_of(c, w, cfg->name) < load_of(c, best, cfg->name))
		return w;
	return best;
}

worker_t *
pool_choose_worker(ts_core_t *c, const pool_t *p, const ts_pool_t *cfg)
{
	guint n = p->workers->len;
	worker_t *best = NULL;
	int sample = SAMPLE;
	guint from;

	if (n == 0)
		return NULL;
	if (c->opts.balance >= TS_BALANCE_TWO_CHOICES)
		sample = c->opts.balance == TS_BALANCE_TWO_CHOICES ? 2 : 1;
	for (int i = 0; (n > SAMPLE_MIN || sample < SAMPLE) && i < sample; i++)
		best = better(c, best,
		    p->workers->pdata[g_rand_int_range(c->rand, 0, (gint32)n)],
		    cfg);
	if (best != NULL &&
	    (best->undisturbed || c->opts.balance != TS_BALANCE_LATENCY))
		return best;
	/* From a random place, so that ties do not gather on the first. */
	from = (guint)g_rand_int_range(c->rand, 0, (gint32)n);
	for (guint i = 0; i < n; i++)
		best = better(c, best, p->workers->pdata[(from + i) % n], cfg);
	return best;
}

/* The peer that last told of most free slots, less what went there since. */
peer_t *
pool_choose_peer(ts_core_t *c, const char *pool)
{
	peer_t *best = NULL;
	int most = 0;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_t *p = v;
		int n =
		    GPOINTER_TO_INT(g_hash_table_lookup(p->free_slots, pool));

		if (p->up && n > most) {
			most = n;
			best = p;
		}
	}
	return best;
}

/* Takes a retry off the budget, if one is left. */
bool
pool_spend_retry(ts_core_t *c, const char *pool)
{
	pool_t *p = pool_get(c, pool);

	if (p->retry_budget < 1.0)
		return false;
	p->retry_budget -= 1.0;
	return true;
}

/* Each request earns the pool a part of a retry. */
void
pool_earn_retry(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *cfg = ts_conf_find_pool(c->conf, p->name);

	if (cfg != NULL)
		p->retry_budget =
		    MIN(p->retry_budget + cfg->retry_pct / 100.0, BUDGET_MAX);
}
