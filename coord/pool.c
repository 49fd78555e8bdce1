/*
 * Service pools: which of our workers serve them, how many slots are free,
 * which worker or peer gets the next request, and the budget for retries.
 * Serves request.c.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define SCAN_ALL_MAX	  16   /* a pool up to this size is not sampled */
#define SAMPLE_SIZE	  4    /* workers compared in a larger pool */
#define RETRY_BUDGET_MAX  20.0 /* retries a pool may save up */
#define COUNT_INTERVAL_MS 50   /* between counts of a pool's free slots */

/*
 * The state of a pool, created at first use; the pool need not be configured.
 */
pool_t *
pool_get(ts_core_t *c, const char *name)
{
	pool_t *p = g_hash_table_lookup(c->pools, name);

	if (p != NULL)
		return p;
	p = g_new0(pool_t, 1);
	p->name = g_intern_string(name);
	p->interference_index = c->next_interference_index < TS_POOLS_MAX ?
	    c->next_interference_index++ :
	    -1;
	p->retry_budget = RETRY_BUDGET_MAX / 2;
	p->mean_service_us = 10000; /* initial estimate */
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

/*
 * Makes the next tick call pool_rebuild_workers().  Called when the
 * configuration, the list of VMs or the ownership of a group has changed.
 */
void
pool_invalidate(ts_core_t *c)
{
	c->pool_workers_stale = true;
}

/*
 * Applies the configuration to a worker: whether its zone is out of service,
 * what it keeps free for services, and the pools whose requests it takes.
 */
static void
configure_worker(ts_core_t *c, worker_t *w)
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
 * Rebuilds the list of workers of each pool and the reserve of each worker, if
 * pool_invalidate() was called.  Done at ticks only, because changes come in
 * bursts.
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
		configure_worker(c, v);
}

/* Whether a request of the pool may be sent to the worker now. */
static bool
has_free_slot(ts_core_t *c, worker_t *w, const ts_pool_t *cfg)
{
	ts_res_t available;
	slot_use_t *s;

	if (!worker_accepts_work(c, w) || c->now_ms < w->suspect_until_ms)
		return false;
	s = worker_slot_use(c, w, cfg->name);
	if (s == NULL || s->in_progress + s->orphans >= cfg->slots)
		return false;
	available = worker_available(c, w);
	return ts_res_fits(&cfg->slot_size, &available);
}

static int64_t
count_free_slots(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *cfg =
	    c->conf == NULL ? NULL : ts_conf_find_pool(c->conf, p->name);
	int64_t n = 0;

	for (guint i = 0; cfg != NULL && i < p->workers->len; i++) {
		worker_t *w = p->workers->pdata[i];
		slot_use_t *s;

		if (!has_free_slot(c, w, cfg))
			continue;
		s = worker_slot_use(c, w, cfg->name);
		n += cfg->slots - s->in_progress - s->orphans;
	}
	return n;
}

/*
 * Free slots of a pool less the requests queued for them: the number
 * advertised to peers.  The slots are counted anew every COUNT_INTERVAL_MS,
 * because that visits every worker of the pool; in between, free_slots is
 * adjusted.
 */
int64_t
pool_advertised_slots(ts_core_t *c, pool_t *p)
{
	if (c->now_ms >= p->next_count_ms) {
		p->next_count_ms = c->now_ms + COUNT_INTERVAL_MS;
		p->free_slots = count_free_slots(c, p);
	}
	return p->free_slots - g_queue_get_length(&p->queue);
}

/*
 * Load of a worker as seen by a pool, for comparison: its outstanding requests,
 * by default times their average latency there.
 */
static int64_t
load_score(ts_core_t *c, worker_t *w, const char *pool)
{
	slot_use_t *s = worker_slot_use(c, w, pool);

	if (c->opts.balance != TS_BALANCE_LATENCY)
		return s->in_progress + s->orphans;
	return (s->in_progress + s->orphans + 1) * MAX(s->latency_us, 100);
}

/*
 * The worker to be preferred of best, which may be NULL, and w.  A worker
 * without a free slot never is; by default an undisturbed worker is preferred
 * to one that batch tasks slow down.
 */
static worker_t *
preferred_worker(
    ts_core_t *c, worker_t *best, worker_t *w, const ts_pool_t *cfg)
{
	if (!has_free_slot(c, w, cfg))
		return best;
	if (best != NULL && c->opts.balance == TS_BALANCE_LATENCY &&
	    best->undisturbed != w->undisturbed)
		return best->undisturbed ? best : w;
	if (best == NULL ||
	    load_score(c, w, cfg->name) < load_score(c, best, cfg->name))
		return w;
	return best;
}

/*
 * The worker that gets the pool's next request, by the load-balancing policy,
 * or NULL if none has a free slot.  In a large pool a random sample is
 * compared; if no worker of the sample is free (and, by default, undisturbed),
 * all are.
 */
worker_t *
pool_choose_worker(ts_core_t *c, const pool_t *p, const ts_pool_t *cfg)
{
	guint n = p->workers->len;
	worker_t *best = NULL;
	int sample = SAMPLE_SIZE;
	guint start;

	if (n == 0)
		return NULL;
	if (c->opts.balance >= TS_BALANCE_TWO_CHOICES)
		sample = c->opts.balance == TS_BALANCE_TWO_CHOICES ? 2 : 1;
	for (int i = 0;
	     (n > SCAN_ALL_MAX || sample < SAMPLE_SIZE) && i < sample; i++)
		best = preferred_worker(c, best,
		    p->workers->pdata[g_rand_int_range(c->rand, 0, (gint32)n)],
		    cfg);
	if (best != NULL &&
	    (best->undisturbed || c->opts.balance != TS_BALANCE_LATENCY))
		return best;
	/* Start at a random worker, so that not always the first wins ties. */
	start = (guint)g_rand_int_range(c->rand, 0, (gint32)n);
	for (guint i = 0; i < n; i++)
		best = preferred_worker(
		    c, best, p->workers->pdata[(start + i) % n], cfg);
	return best;
}

/*
 * The connected peer with most free slots of the pool, by its last digest less
 * the requests forwarded since, or NULL.
 */
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

/* Takes one retry from the pool's budget; false if none is left. */
bool
pool_spend_retry(ts_core_t *c, const char *pool)
{
	pool_t *p = pool_get(c, pool);

	if (p->retry_budget < 1.0)
		return false;
	p->retry_budget -= 1.0;
	return true;
}

/*
 * Adds retry_pct hundredths of a retry to the pool's budget, for a new request.
 */
void
pool_earn_retry(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *cfg = ts_conf_find_pool(c->conf, p->name);

	if (cfg != NULL)
		p->retry_budget = MIN(
		    p->retry_budget + cfg->retry_pct / 100.0, RETRY_BUDGET_MAX);
}
