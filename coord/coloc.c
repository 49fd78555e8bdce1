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
coloc_sample(ts_core_t *c, worker_t *w, slot_t *s, int64_t us)
{
	pool_t *p = pool_get(c, s->pool);

	us = MAX(us, 500); /* the clock counts milliseconds */
	s->samples++;
	s->latency_us = average(s->latency_us, us, EWMA);
	p->service_us = average(p->service_us, us, BASE_EWMA);
	if (w->tasks->len == 0)
		p->base_us = average(p->base_us, us, BASE_EWMA);
}

class_t *
coloc_class(ts_core_t *c, const char *name)
{
	class_t *k = g_hash_table_lookup(c->classes, name);

	if (k == NULL) {
		k = g_new0(class_t, 1);
		k->name = name;
		g_hash_table_insert(c->classes, (void *)name, k);
	}
	return k;
}

/* Worst harm of a class to any service of the worker, in percent. */
static int64_t
class_harm(const worker_t *w, const class_t *k)
{
	int64_t worst = 0;

	for (int32_t i = 0; i < w->nslots; i++)
		if (w->slots[i].index >= 0)
			worst = MAX(worst, k->harm[w->slots[i].index]);
	return worst / HARM_UNIT;
}

/* What its tasks are expected to do to a worker's services, in percent. */
static int64_t
expected(const worker_t *w, bool at_full_share)
{
	int64_t sum = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *b = w->tasks->pdata[i];

		sum += class_harm(w, b->class) *
		    (at_full_share ? 100 : b->share_pct) / 100;
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
		const job_t *b = w->tasks->pdata[i];

		sum += b->class->harm[index] * b->share_pct / 100;
	}
	step = (excess - sum) / (int64_t)(w->tasks->len * LEARN_SPAN);
	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *b = w->tasks->pdata[i];
		int64_t *h = &b->class->harm[index];

		*h = MAX(*h + step * b->share_pct / 100, 0);
	}
}

/* Latency of a pool where nothing disturbs it; 0 while not known. */
static int64_t
base_of(const pool_t *p)
{
	/* Never seen without batch: the least disturbed worker must do. */
	return p->base_us != 0 ? p->base_us : p->least_us;
}

static void
find_least(ts_core_t *c, pool_t *p)
{
	p->least_us = 0;
	for (guint i = 0; i < p->workers->len; i++) {
		slot_t *s = worker_slot(c, p->workers->pdata[i], p->name);

		if (s != NULL && s->latency_us != 0 &&
		    (p->least_us == 0 || s->latency_us < p->least_us))
			p->least_us = s->latency_us;
	}
}

/* Takes in what the last tick's requests have shown. */
static void
observe(ts_core_t *c, worker_t *w)
{
	int64_t worst = 0;

	for (int32_t i = 0; i < w->nslots; i++) {
		slot_t *s = &w->slots[i];
		int64_t base, pct;

		if (s->samples < SAMPLES_MIN)
			continue;
		base = base_of(pool_get(c, s->pool));
		if (base == 0)
			continue;
		s->samples = 0;
		pct = s->latency_us * 100 / base;
		worst = MAX(worst, pct);
		if (w->tasks->len > 0 && s->index >= 0)
			learn(w, s->index, pct);
	}
	if (worst != 0) {
		w->seen_pct = worst;
		w->seen_ms = c->now;
	} else if (c->now - w->seen_ms > 8 * TICK_MS)
		w->seen_pct = 0; /* too old to tell */
	w->harm_pct = expected(w, true);
	w->quiet =
	    expected(w, false) <= QUIET_PCT + 1 && w->seen_pct <= HURT_PCT;
	if (w->quiet)
		w->slow_ms = 0;
}

static void
set_share(ts_core_t *c, job_t *b, int32_t pct)
{
	pct = CLAMP(pct, SHARE_MIN_PCT, 100);
	if (pct == b->share_pct)
		return;
	if (pct < b->share_pct)
		COUNT(c, TS_C_THROTTLE);
	b->share_pct = pct;
	b->renew_ms = 0;
	worker_hurry(c, b->worker);
}

/* The harmful task furthest from its deadline that may still be evicted. */
static job_t *
most_slack(const worker_t *w)
{
	job_t *best = NULL;

	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *b = w->tasks->pdata[i];

		if (b->j.evictions >= EVICTIONS_MAX || b->j.urgent ||
		    b->evict || b->j.state != TS_JOB_RUNNING ||
		    class_harm(w, b->class) <= QUIET_PCT / 3)
			continue;
		if (best == NULL || b->j.deadline_ms > best->j.deadline_ms)
			best = b;
	}
	return best;
}

/* Services suffer from tasks not known to harm them: halve them all. */
static void
calm_unknown(ts_core_t *c, worker_t *w)
{
	if (c->now - w->slow_ms < LEARN_MS || c->now < w->step_ms)
		return;
	w->step_ms = c->now + LEARN_MS / 2;
	w->calmed = true;
	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *b = w->tasks->pdata[i];

		set_share(c, b, b->share_pct / 2);
	}
}

/* Throttles the harmful tasks just enough, and no others. */
static void
share_out(ts_core_t *c, worker_t *w)
{
	int32_t pct = (int32_t)(QUIET_PCT * 100 / MAX(w->harm_pct, 1));

	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *b = w->tasks->pdata[i];

		set_share(
		    c, b, class_harm(w, b->class) > QUIET_PCT / 3 ? pct : 100);
	}
}

/*
 * Brings the harm expected on a worker down to what counts as quiet; classes
 * that do none are left alone.  False while it is not known what to calm.
 */
static bool
calm(ts_core_t *c, worker_t *w)
{
	job_t *b;

	if (w->slow_ms == 0)
		w->slow_ms = c->now;
	if (w->harm_pct <= QUIET_PCT) {
		calm_unknown(c, w);
		return false;
	}
	w->calmed = true;
	share_out(c, w);
	if (w->seen_pct > HURT_PCT && c->now - w->slow_ms >= EVICT_MS) {
		b = most_slack(w);
		if (b != NULL)
			batch_evict(c, b);
		w->slow_ms = c->now;
	}
	return true;
}

static void
ease(ts_core_t *c, worker_t *w)
{
	w->calmed = false;
	w->slow_ms = 0;
	for (guint i = 0; i < w->tasks->len; i++)
		set_share(c, w->tasks->pdata[i], 100);
}

/* Workers that must be quiet for the requests now in progress. */
static int64_t
needed(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *tp = ts_conf_find_pool(c->conf, p->name);
	int64_t used = g_queue_get_length(&p->queue);

	for (guint i = 0; i < p->workers->len; i++) {
		slot_t *s = worker_slot(c, p->workers->pdata[i], p->name);

		if (s != NULL)
			used += s->used + s->stray;
	}
	/* Falls slowly, so that a short lull changes nothing. */
	p->in_use = MAX(used * HARM_UNIT, p->in_use - p->in_use / 32);
	return tp == NULL ?
	    0 :
	    (p->in_use * 100 / (tp->slots * SPARE_PCT) + HARM_UNIT - 1) /
		HARM_UNIT;
}

static int
by_harm(const void *a, const void *b)
{
	const worker_t *x = *(worker_t *const *)a, *y = *(worker_t *const *)b;

	return (x->harm_pct > y->harm_pct) - (x->harm_pct < y->harm_pct);
}

/* Calms workers of a pool until as many are quiet as it needs. */
static void
calm_pool(ts_core_t *c, pool_t *p)
{
	g_autoptr(GPtrArray) loud = g_ptr_array_new();

	p->need = needed(c, p);
	p->quiet = 0;
	for (guint i = 0; i < p->workers->len; i++) {
		worker_t *w = p->workers->pdata[i];

		if (!worker_usable(c, w))
			continue;
		if (w->quiet)
			p->quiet++;
		else
			g_ptr_array_add(loud, w);
	}
	g_ptr_array_sort(loud, by_harm);
	for (guint i = 0; i < loud->len && p->quiet < p->need; i++) {
		if (calm(c, loud->pdata[i]))
			p->quiet++;
	}
}

/* Whether each pool that the worker serves has so many more quiet ones. */
static bool
spared(ts_core_t *c, worker_t *w, int64_t more)
{
	for (int32_t i = 0; i < w->nslots; i++) {
		pool_t *p = pool_get(c, w->slots[i].pool);

		if (p->quiet <= p->need + more)
			return false;
	}
	return true;
}

/*
 * Share with which a task of the class begins on the worker: where no worker
 * can be spared, what harms is throttled from its start.
 */
int32_t
coloc_first_share(ts_core_t *c, worker_t *w, const class_t *k)
{
	int64_t harm = class_harm(w, k);

	if (c->o.no_throttle || harm <= QUIET_PCT / 3 || spared(c, w, 0))
		return 100;
	w->calmed = true;
	return (int32_t)CLAMP(
	    QUIET_PCT * 100 / (w->harm_pct + harm), SHARE_MIN_PCT, 100);
}

/* Eases the most harmful of the calmed workers that can be spared. */
static void
ease_some(ts_core_t *c)
{
	g_autoptr(GPtrArray) all = table_values(c->workers);

	g_ptr_array_sort(all, by_harm);
	for (guint i = all->len; i-- > 0;) {
		worker_t *w = all->pdata[i];

		if (!w->calmed)
			continue;
		/* What runs there, and what is known of it, has changed. */
		if (w->harm_pct > QUIET_PCT)
			share_out(c, w);
		if (w->harm_pct > QUIET_PCT ? !spared(c, w, EASE) : !w->quiet)
			continue;
		ease(c, w);
		for (int32_t k = 0; k < w->nslots; k++)
			pool_get(c, w->slots[k].pool)->quiet--;
	}
}

void
coloc_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	if (c->o.no_throttle || c->now < c->coloc_next_ms || c->conf == NULL)
		return;
	c->coloc_next_ms = c->now + TICK_MS;
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((pool_t *)v)->base_us == 0)
			find_least(c, v);
	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (owner_active(((worker_t *)v)->group))
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
coloc_cost(const worker_t *w, const class_t *class)
{
	int64_t harm = class_harm(w, class);
	int64_t there = MIN(w->harm_pct, 1000) * w->vm.capacity.cpu_milli / 100;

	if (harm > QUIET_PCT / 2)
		return -there;
	return there;
}
