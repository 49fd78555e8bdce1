/*
 * Services and batch tasks on the same workers (co-location).
 *
 * Each service's latency on a worker, which is measured here and so known
 * without delay, is compared with its baseline, the latency on workers without
 * batch tasks.  From the excess and the tasks that run there, the interference
 * of each class of jobs with each service pool is learned: how much a task of
 * the class slows the pool's requests down on the same worker.
 *
 * Tasks that interfere are placed together on few workers, and requests prefer
 * the undisturbed ones.  Only when too few workers are undisturbed for the load
 * are interfering tasks throttled, beginning with the workers where the least
 * interference is expected.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define EVALUATE_INTERVAL_MS 250
/* Samples that the moving averages of latencies span. */
#define SLOT_LATENCY_SPAN 16
#define POOL_LATENCY_SPAN 128
/* New samples that a pool's latency on a worker must have to be evaluated. */
#define SAMPLES_MIN 4
/* Observations that the average of an interference spans. */
#define INTERFERENCE_SPAN 8
/* Interference (percent) and peak_in_use (slots) are fixed-point numbers. */
#define FIXED_POINT_ONE 16
/*
 * A worker is undisturbed while the interference expected there, and its
 * latency in percent of the baseline, are at most these.
 */
#define UNDISTURBED_MAX_PCT 15
#define LATENCY_MAX_PCT	    125
/* Classes with more than this are throttled to reduce interference. */
#define INTERFERING_MIN_PCT (UNDISTURBED_MAX_PCT / 3)
/* Share of the slots of undisturbed workers that may be in use. */
#define SLOT_USE_MAX_PCT 92
/* Undisturbed workers beyond the need before one is unthrottled. */
#define UNTHROTTLE_SURPLUS 1
/*
 * If a worker is disturbed this long although little interference is expected
 * there, all of its tasks are throttled.
 */
#define UNEXPLAINED_MS 2000
/* If latency stays too high this long after throttling, a task is evicted. */
#define EVICT_AFTER_MS 6000

/*
 * Exponential moving average over about span samples; an old value of 0 stands
 * for none.
 */
static int64_t
moving_average(int64_t old, int64_t sample, int64_t span)
{
	return old == 0 ? sample : old + (sample - old) / span;
}

/*
 * Adds the latency of an answered request to the averages of the worker's slots
 * and of the pool.
 */
void
coloc_add_latency(ts_core_t *c, worker_t *w, slot_use_t *s, int64_t us)
{
	pool_t *p = pool_get(c, s->pool);

	us = MAX(us, 500); /* the clock has a resolution of 1 ms */
	s->samples++;
	s->latency_us = moving_average(s->latency_us, us, SLOT_LATENCY_SPAN);
	p->mean_service_us =
	    moving_average(p->mean_service_us, us, POOL_LATENCY_SPAN);
	if (w->tasks->len == 0)
		p->baseline_us =
		    moving_average(p->baseline_us, us, POOL_LATENCY_SPAN);
}

/* What has been learned of a class of jobs; created at first use. */
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

/*
 * The interference of a task of the class at full share with the service that
 * it slows down most on the worker, in percent.
 */
static int64_t
class_interference(const worker_t *w, const job_class_t *k)
{
	int64_t worst = 0;

	for (int32_t i = 0; i < w->nslot_use; i++)
		if (w->slot_use[i].interference_index >= 0)
			worst = MAX(worst,
			    k->interference[w->slot_use[i].interference_index]);
	return worst / FIXED_POINT_ONE;
}

/*
 * The interference expected of all tasks on a worker, in percent: at full share
 * or at their present shares.
 */
static int64_t
expected_interference(const worker_t *w, bool at_full_share)
{
	int64_t sum = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *job = w->tasks->pdata[i];

		sum += class_interference(w, job->class) *
		    (at_full_share ? 100 : job->share_pct) / 100;
	}
	return sum;
}

/*
 * Learns from the latency of a pool on a worker, in percent of the baseline.
 * Splits the error of the prediction evenly over the tasks there: the least
 * mean squares rule of Widrow and Hoff, with each task's share as its input.
 */
static void
learn_interference(worker_t *w, int32_t index, int64_t pct)
{
	int64_t excess = CLAMP(pct - 100, 0, 1000) * FIXED_POINT_ONE;
	int64_t sum = 0, step;

	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *job = w->tasks->pdata[i];

		sum += job->class->interference[index] * job->share_pct / 100;
	}
	step = (excess - sum) / (int64_t)(w->tasks->len * INTERFERENCE_SPAN);
	for (guint i = 0; i < w->tasks->len; i++) {
		const job_t *job = w->tasks->pdata[i];
		int64_t *h = &job->class->interference[index];

		*h = MAX(*h + step * job->share_pct / 100, 0);
	}
}

/*
 * The latency of a pool on workers without batch tasks, in microseconds; if
 * none has been seen, the lowest of any worker.  Returns 0 while it is not
 * known.
 */
static int64_t
pool_baseline(const pool_t *p)
{
	return p->baseline_us != 0 ? p->baseline_us : p->lowest_us;
}

/* Sets lowest_us, the stand-in for a baseline that is not known. */
static void
find_lowest_latency(ts_core_t *c, pool_t *p)
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

/*
 * Evaluates the latencies on a worker since the last evaluation: learns
 * interference from them and decides whether the worker is undisturbed.
 */
static void
evaluate_worker(ts_core_t *c, worker_t *w)
{
	int64_t worst = 0;

	for (int32_t i = 0; i < w->nslot_use; i++) {
		slot_use_t *s = &w->slot_use[i];
		int64_t base, pct;

		if (s->samples < SAMPLES_MIN)
			continue;
		base = pool_baseline(pool_get(c, s->pool));
		if (base == 0)
			continue;
		s->samples = 0;
		pct = s->latency_us * 100 / base;
		worst = MAX(worst, pct);
		if (w->tasks->len > 0 && s->interference_index >= 0)
			learn_interference(w, s->interference_index, pct);
	}
	if (worst != 0) {
		w->latency_pct = worst;
		w->latency_pct_ms = c->now_ms;
	} else if (c->now_ms - w->latency_pct_ms > 8 * EVALUATE_INTERVAL_MS)
		w->latency_pct = 0; /* too long ago */
	w->interference_pct = expected_interference(w, true);
	w->undisturbed =
	    expected_interference(w, false) <= UNDISTURBED_MAX_PCT + 1 &&
	    w->latency_pct <= LATENCY_MAX_PCT;
	if (w->undisturbed)
		w->disturbed_since_ms = 0;
}

/* Sets a task's processor share; a change is sent to the worker at once. */
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

/*
 * The interfering task with the latest deadline that may still be evicted, or
 * NULL.
 */
static job_t *
choose_eviction(const worker_t *w)
{
	job_t *best = NULL;

	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		if (job->row.evictions >= EVICTIONS_MAX_PER_JOB ||
		    job->row.urgent || job->evict_requested ||
		    job->row.state != TS_JOB_RUNNING ||
		    class_interference(w, job->class) <= INTERFERING_MIN_PCT)
			continue;
		if (best == NULL ||
		    job->row.deadline_ms > best->row.deadline_ms)
			best = job;
	}
	return best;
}

/*
 * Throttles a worker that is disturbed although little interference is expected
 * there: halves the shares of all tasks, again and again while the worker stays
 * disturbed.
 */
static void
halve_all_shares(ts_core_t *c, worker_t *w)
{
	if (c->now_ms - w->disturbed_since_ms < UNEXPLAINED_MS ||
	    c->now_ms < w->next_halving_ms)
		return;
	w->next_halving_ms = c->now_ms + UNEXPLAINED_MS / 2;
	w->throttled = true;
	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		set_share(c, job, job->share_pct / 2);
	}
}

/*
 * Throttles the interfering tasks of a worker just enough to be undisturbed,
 * and gives the others their full share.
 */
static void
throttle_interfering(ts_core_t *c, worker_t *w)
{
	int32_t pct =
	    (int32_t)(UNDISTURBED_MAX_PCT * 100 / MAX(w->interference_pct, 1));

	for (guint i = 0; i < w->tasks->len; i++) {
		job_t *job = w->tasks->pdata[i];

		set_share(c, job,
		    class_interference(w, job->class) > INTERFERING_MIN_PCT ?
			pct :
			100);
	}
}

/*
 * Throttles a disturbed worker until its expected interference is that of an
 * undisturbed one, and evicts a task if the latency stays high.  Returns false
 * if the expected interference does not explain the latency, because then the
 * worker may stay disturbed.
 */
static bool
throttle_worker(ts_core_t *c, worker_t *w)
{
	job_t *job;

	if (w->disturbed_since_ms == 0)
		w->disturbed_since_ms = c->now_ms;
	if (w->interference_pct <= UNDISTURBED_MAX_PCT) {
		halve_all_shares(c, w);
		return false;
	}
	w->throttled = true;
	throttle_interfering(c, w);
	if (w->latency_pct > LATENCY_MAX_PCT &&
	    c->now_ms - w->disturbed_since_ms >= EVICT_AFTER_MS) {
		job = choose_eviction(w);
		if (job != NULL)
			batch_request_eviction(c, job);
		w->disturbed_since_ms = c->now_ms;
	}
	return true;
}

/* Gives all tasks of the worker their full share. */
static void
unthrottle_worker(ts_core_t *c, worker_t *w)
{
	w->throttled = false;
	w->disturbed_since_ms = 0;
	for (guint i = 0; i < w->tasks->len; i++)
		set_share(c, w->tasks->pdata[i], 100);
}

/*
 * Workers of a pool that should be undisturbed, for the slots now in use and
 * the requests queued.  The number falls slowly, so that a short lull changes
 * nothing.
 */
static int64_t
needed_undisturbed(ts_core_t *c, pool_t *p)
{
	const ts_pool_t *cfg = ts_conf_find_pool(c->conf, p->name);
	int64_t used = g_queue_get_length(&p->queue);

	for (guint i = 0; i < p->workers->len; i++) {
		slot_use_t *s =
		    worker_slot_use(c, p->workers->pdata[i], p->name);

		if (s != NULL)
			used += s->in_progress + s->orphans;
	}
	p->peak_in_use =
	    MAX(used * FIXED_POINT_ONE, p->peak_in_use - p->peak_in_use / 32);
	return cfg == NULL ?
	    0 :
	    (p->peak_in_use * 100 / (cfg->slots * SLOT_USE_MAX_PCT) +
		FIXED_POINT_ONE - 1) /
		FIXED_POINT_ONE;
}

/* Orders workers by interference_pct, lowest first. */
static int
compare_interference(const void *a, const void *b)
{
	const worker_t *x = *(worker_t *const *)a, *y = *(worker_t *const *)b;

	return (x->interference_pct > y->interference_pct) -
	    (x->interference_pct < y->interference_pct);
}

/*
 * Throttles disturbed workers of a pool, those with least interference first,
 * until as many are undisturbed as the pool needs.
 */
static void
throttle_for_pool(ts_core_t *c, pool_t *p)
{
	g_autoptr(GPtrArray) disturbed = g_ptr_array_new();

	p->undisturbed_needed = needed_undisturbed(c, p);
	p->undisturbed = 0;
	for (guint i = 0; i < p->workers->len; i++) {
		worker_t *w = p->workers->pdata[i];

		if (!worker_accepts_work(c, w))
			continue;
		if (w->undisturbed)
			p->undisturbed++;
		else
			g_ptr_array_add(disturbed, w);
	}
	g_ptr_array_sort(disturbed, compare_interference);
	for (guint i = 0;
	     i < disturbed->len && p->undisturbed < p->undisturbed_needed;
	     i++) {
		if (throttle_worker(c, disturbed->pdata[i]))
			p->undisturbed++;
	}
}

/*
 * Whether, in each pool on the worker, the number of undisturbed workers
 * exceeds the number needed by more than surplus.
 */
static bool
surplus_exceeds(ts_core_t *c, worker_t *w, int64_t surplus)
{
	for (int32_t i = 0; i < w->nslot_use; i++) {
		pool_t *p = pool_get(c, w->slot_use[i].pool);

		if (p->undisturbed <= p->undisturbed_needed + surplus)
			return false;
	}
	return true;
}

/*
 * The processor share with which a task of the class starts on the worker: an
 * interfering task starts throttled, unless each pool on the worker has more
 * undisturbed workers than it needs.
 */
int32_t
coloc_initial_share(ts_core_t *c, worker_t *w, const job_class_t *k)
{
	int64_t interference = class_interference(w, k);

	if (c->opts.no_throttle || interference <= INTERFERING_MIN_PCT ||
	    surplus_exceeds(c, w, 0))
		return 100;
	w->throttled = true;
	return (int32_t)CLAMP(
	    UNDISTURBED_MAX_PCT * 100 / (w->interference_pct + interference),
	    SHARE_MIN_PCT, 100);
}

/*
 * Gives the tasks of throttled workers their full share where each pool has a
 * surplus of undisturbed workers, or the worker is undisturbed and expected to
 * stay so at full share; most interference first.  Adapts the shares on the
 * other throttled workers.
 */
static void
remove_unneeded_throttles(ts_core_t *c)
{
	g_autoptr(GPtrArray) all = hash_values(c->workers);

	g_ptr_array_sort(all, compare_interference);
	for (guint i = all->len; i-- > 0;) {
		worker_t *w = all->pdata[i];

		if (!w->throttled)
			continue;
		/* The tasks and what is known of them may have changed. */
		if (w->interference_pct > UNDISTURBED_MAX_PCT)
			throttle_interfering(c, w);
		if (w->interference_pct > UNDISTURBED_MAX_PCT ?
			!surplus_exceeds(c, w, UNTHROTTLE_SURPLUS) :
			!w->undisturbed)
			continue;
		unthrottle_worker(c, w);
		for (int32_t k = 0; k < w->nslot_use; k++)
			pool_get(c, w->slot_use[k].pool)->undisturbed--;
	}
}

/*
 * Evaluates all workers of ours, throttles where pools need it and unthrottles
 * where they do not.  Called at each tick; acts every EVALUATE_INTERVAL_MS, and
 * never with the option no_throttle.
 */
void
coloc_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	if (c->opts.no_throttle || c->now_ms < c->next_coloc_ms ||
	    c->conf == NULL)
		return;
	c->next_coloc_ms = c->now_ms + EVALUATE_INTERVAL_MS;
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((pool_t *)v)->baseline_us == 0)
			find_lowest_latency(c, v);
	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (owner_accepts_work(((worker_t *)v)->group))
			evaluate_worker(c, v);
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v))
		throttle_for_pool(c, v);
	remove_unneeded_throttles(c);
}

/*
 * Cost of placing a task of the class on the worker, in processor thousandths.
 * It draws interfering classes to workers that are disturbed already, and keeps
 * other classes away from these.
 */
int64_t
coloc_placement_cost(const worker_t *w, const job_class_t *class)
{
	int64_t interference = class_interference(w, class);
	int64_t present =
	    MIN(w->interference_pct, 1000) * w->vm.capacity.cpu_milli / 100;

	if (interference > UNDISTURBED_MAX_PCT / 2)
		return -present;
	return present;
}
