/*
 * Services beside batch.  Each service's latency on a worker, which is seen
 * without lag, is compared with its latency where nothing disturbs it.  From
 * the excess and from what runs there, the harm of each class of job to each
 * service is learned.  Harmful tasks are placed together, requests prefer
 * workers that are quiet, and only when too few are quiet for the load are
 * harmful tasks throttled, on the workers where the least is lost by it.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define EWMA	    16 /* samples a moving average spans */
#define BASE_EWMA   128
#define TICK_MS	    250
#define SAMPLES_MIN 4	 /* requests in a tick that make it count */
#define QUIET_PCT   15	 /* harm up to which a worker is quiet */
#define HURT_PCT    125	 /* of the base: a worker is not quiet */
#define SPARE_PCT   92	 /* of quiet slots that may be in use */
#define EASE	    1	 /* quiet workers to spare before easing off */
#define LEARN_MS    2000 /* hurt this long before unknown harm is calmed */
#define EVICT_MS    6000 /* hurt at the lowest share before one leaves */
#define LEARN_SPAN  8	 /* observations over which harm is learned */
#define HARM_UNIT   16	 /* harm is kept in 1/16 percent */

static int64_t
average(int64_t old, int64_t sample, int64_t span)
{
	return old == 0 ? sample : old + (sample - old) / span;
}

void
coloc_add_latency(ts_core_t *c, worker_t *w, slot_use_t *s, int64_t us)
{
	pool_t *p = pool_get(c, s->pool);

	us = MAX(us, 500); /* the clock counts milliseconds */
	s->samples++;
	s->latency_us = average(s->latency_us, us, EWMA);
	p->mean_service_us = average(p->mean_service_us, us, BASE_EWMA);
	if (w->tasks->len == 0)
		p->baseline_us = average(p->baseline_us, us, BASE_EWMA);
}

job_class_t *
coloc_get_class(ts_core_t *c, const char *name)
{
	job_class_t *k = g_hash_table_lookup(c->classes, name);

	if (k == NULL) {
		k = g_new0(job_class_t, 1);
		k->name = name;
		g_hash_table_insert(c->classes, (void *)name, k);
	}
	return k;
}

/* Worst harm of a class to any service of the worker, in percent. */
static int64_t
class_harm(const worker_t *w, const job_class_t *k)
{
	int64_t worst = 0;

	for (int32_t i = 0; i < w->nslot_use; i++)
		if (w->slot_use[i].interference_index >= 0)
			worst = MAX(worst,
			    k->interference[w->slot_use[i].interference_index]);
	return worst / HARM_UNIT;
}

/* What its tasks are expected to do to a worker's services, in percent. */
static int64_t
expected(const worker_t *w, bool at_full_share)
{
	int64_t sum = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *job = w->tasks->pdata[i];

		sum += class_harm(w, job->class) *
		    (at_full_share ? 100 : job->share_pct) / 100;
	}
	return sum;
}

/*
 * Splits the error of what was expected evenly over the tasks: the least mean
 * squares rule of Widrow and Hoff, with each task's share as its input.
 */
static void
learn(worker_t *w, int32_t index, int64_t pct)
{
	int64_t excess = CLAMP(pct - 100, 0, 1000) * HARM_UNIT;
	int64_t sum = 0, step;

	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *job = w->tasks->pdata[i];

		sum += job->class->interference[index] * job->share_pct / 100;
	}
	step = (excess - sum) / (int64_t)(w->tasks->len * LEARN_SPAN);
	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *job = w->tasks->pdata[i];
		int64_t *h = &job->class->interference[index];

		*h = MAX(*h + step * job->share_pct / 100, 0);
	}
}

/* Latency of a pool where nothing disturbs it; 0 while not known. */
static int64_t
base_of(const pool_t *p)
{
	/* Never seen without batch: the least disturbed worker must do. */
	return p->baseline_us != 0 ? p->baseline_us : p->lowest_us;
}

static void
find_least(ts_core_t *c, pool_t *p)
{
	p->lowest_us = 0;
	for (guint i = 0; i < p->workers->len; i++) {
		slot_use_t *s =
		    worker_slot_use(c, p->workers->pdata[i], p->name);

		if (s != NULL && s->latency_us != 0 &&
		    (p->lowest_us == 0 || s->latency_us < p->lowest_us))
			p->lowest_us = s->latency_us;
	}
}

/* Takes in what the last tick's requests have shown. */
static void
observe(ts_core_t *c, worker_t *w)
{
	int64_t worst = 0;

	for (int32_t i = 0; i < w->nslot_use; i++) {
		slot_use_t *s = &w->slot_use[i];
		int64_t base, pct;

		if (s->samples < SAMPLES_MIN)
			continue;
		base = base_of(pool_get(c, s->pool));
		if (base == 0)
			continue;
		s->samples = 0;
		pct = s->latency_us * 100 / base;
		worst = MAX(worst, pct);
		if (w->tasks->len > 0 && s->interference_index >= 0)
			learn(w, s->interference_index, pct);
	}
	if (worst != 0) {
		w->latency_pct = worst;
		w->latency_pct_ms = c->now_ms;
	} else if (c->now_ms - w->latency_pct_ms > 8 * TICK_MS)
		w->latency_pct = 0; /* too old to tell */
	w->interference_pct = expected(w, true);
	w->undisturbed =
	    expected(w, false) <= QUIET_PCT + 1 && w->latency_pct <= HURT_PCT;
	if (w->undisturbed)
		w->disturbed_since_ms = 0;
}

static void
set_share(ts_core_t *c, job_t *job, int32_t pct)
{
	pct = CLAMP(pct, SHARE_MIN_PCT, 100);
	if (pct == job->share_pct)
		return;
	if (pct < job->share_pct)
		COUNT(c, TS_C_THROTTLE);
	job->share_pct = pct;
	job->renew_after_ms = 0;
	worker_request_sync(c, job->worker);
}

/* The harmful task furthest from its deadline that may still be evicted. */
static job_t *
most_slack(const worker_t *w)
{
	job_t *best = NULL;

	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		if (job->row.evictions >= EVICTIONS_MAX_PER_JOB ||
		    job->row.urgent || job->evict_requested ||
		    job->row.state != TS_JOB_RUNNING ||
		    class_harm(w, job->class) <= QUIET_PCT / 3)
			continue;
		if (best == NULL ||
		    job->row.deadline_ms > best->row.deadline_ms)
			best = job;
	}
	return best;
}

/* Services suffer from tasks not known to harm them: halve them all. */
static void
calm_unknown(ts_core_t *c, worker_t *w)
{
	if (c->now_ms - w->disturbed_since_ms < LEARN_MS ||
	    c->now_ms < w->next_halving_ms)
		return;
	w->next_halving_ms = c->now_ms + LEARN_MS / 2;
	w->throttled = true;
	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		set_share(c, job, job->share_pct / 2);
	}
}

/* Throttles the harmful tasks just enough, and no others. */
static void
share_out(ts_core_t *c, worker_t *w)
{
	int32_t pct = (int32_t)(QUIET_PCT * 100 / MAX(w->interference_pct, 1));

	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		set_share(c, job,
		    class_harm(w, job->class) > QUIET_PCT / 3 ? pct : 100);
	}
}

/*
 * Brings the harm expected on a worker down to what counts as quiet; classes
 * that do none are left alone.  False while it is not known what to calm.
 */
static bool
calm(ts_core_t *c, worker_t *w)
{
	job_t *job;

	if (w->disturbed_since_ms == 0)
		w->disturbed_since_ms = c->now_ms;
	if (w->interference_pct <= QUIET_PCT) {
		calm_unknown(c, w);
		return false;
	}
	w->throttled = true;
	share_out(c, w);
	if (w->latency_pct > HURT_PCT &&
	    c->now_ms - w->disturbed_since_ms >= EVICT_MS) {
		job = most_slack(w);
		if (job != NULL)
			batch_request_eviction(c, job);
		w->disturbed_since_ms = c->now_ms;
	}
	return true;
}

static void
ease(ts_core_t *c, worker_t *w)
{
	w->throttled = false;
	w->disturbed_since_ms = 0;
	for (guint i = 0; i < w->tasks->len; i++)
		set_share(c, w->tasks->pdata[i], 100);
}

/* Workers that must be quiet for the requests now in progress. */
static int64_t
needed(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *cfg = ts_conf_find_pool(c->conf, p->name);
	int64_t used = g_queue_get_length(&p->queue);

	for (guint i = 0; i < p->workers->len; i++) {
		slot_use_t *s =
		    worker_slot_use(c, p->workers->pdata[i], p->name);

		if (s != NULL)
			used += s->in_progress + s->orphans;
	}
	/* Falls slowly, so that a short lull changes nothing. */
	p->peak_in_use =
	    MAX(used * HARM_UNIT, p->peak_in_use - p->peak_in_use / 32);
	return cfg == NULL ?
	    0 :
	    (p->peak_in_use * 100 / (cfg->slots * SPARE_PCT) + HARM_UNIT - 1) /
		HARM_UNIT;
}

static int
by_harm(const void *a, const void *b)
{
	const worker_t *x = *(worker_t *const *)a, *y = *(worker_t *const *)b;

	return (x->interference_pct > y->interference_pct) -
	    (x->interference_pct < y->interference_pct);
}

/* Calms workers of a pool until as many are quiet as it needs. */
static void
calm_pool(ts_core_t *c, pool_t *p)
{
	g_autoptr(GPtrArray) loud = g_ptr_array_new();

	p->undisturbed_needed = needed(c, p);
	p->undisturbed = 0;
	for (guint i = 0; i < p->workers->len; i++) {
		worker_t *w = p->workers->pdata[i];

		if (!worker_accepts_work(c, w))
			continue;
		if (w->undisturbed)
			p->undisturbed++;
		else
			g_ptr_array_add(loud, w);
	}
	g_ptr_array_sort(loud, by_harm);
	for (guint i = 0;
	     i < loud->len && p->undisturbed < p->undisturbed_needed; i++) {
		if (calm(c, loud->pdata[i]))
			p->undisturbed++;
	}
}

/* Whether each pool that the worker serves has so many more quiet ones. */
static bool
spared(ts_core_t *c, worker_t *w, int64_t more)
{
	for (int32_t i = 0; i < w->nslot_use; i++) {
		pool_t *p = pool_get(c, w->slot_use[i].pool);

		if (p->undisturbed <= p->undisturbed_needed + more)
			return false;
	}
	return true;
}

/*
 * Share with which a task of the class begins on the worker: where no worker
 * can be spared, what harms is throttled from its start.
 */
int32_t
coloc_initial_share(ts_core_t *c, worker_t *w, const job_class_t *k)
{
	int64_t harm = class_harm(w, k);

	if (c->opts.no_throttle || harm <= QUIET_PCT / 3 || spared(c, w, 0))
		return 100;
	w->throttled = true;
	return (int32_t)CLAMP(
	    QUIET_PCT * 100 / (w->interference_pct + harm), SHARE_MIN_PCT, 100);
}

/* Eases the most harmful of the calmed workers that can be spared. */
static void
ease_some(ts_core_t *c)
{
	g_autoptr(GPtrArray) all = hash_values(c->workers);

	g_ptr_array_sort(all, by_harm);
	for (guint i = all->len; i-- > 0;) {
		worker_t *w = all->pdata[i];

		if (!w->throttled)
			continue;
		/* What runs there, and what is known of it, has changed. */
		if (w->interference_pct > QUIET_PCT)
			share_out(c, w);
		if (w->interference_pct > QUIET_PCT ? !spared(c, w, EASE) :
						      !w->undisturbed)
			continue;
		ease(c, w);
		for (int32_t k = 0; k < w->nslot_use; k++)
			pool_get(c, w->slot_use[k].pool)->undisturbed--;
	}
}

void
coloc_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	if (c->opts.no_throttle || c->now_ms < c->next_coloc_ms ||
	    c->conf == NULL)
		return;
	c->next_coloc_ms = c->now_ms + TICK_MS;
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((pool_t *)v)->baseline_us == 0)
			find_least(c, v);
	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (owner_accepts_work(((worker_t *)v)->group))
			observe(c, v);
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v))
		calm_pool(c, v);
	ease_some(c);
}

/*
 * Placement cost of the class on the worker, in processor thousandths: a
 * harmful class goes where harm is done already, others stay away from there.
 */
int64_t
coloc_placement_cost(const worker_t *w, const job_class_t *class)
{
	int64_t harm = class_harm(w, class);
	int64_t there =
	    MIN(w->interference_pct, 1000) * w->vm.capacity.cpu_milli / 100;

	if (harm > QUIET_PCT / 2)
		return -there;
	return there;
}
