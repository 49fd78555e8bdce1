/*
 * Moore and Hodgson's rule for the fewest late jobs, with values: jobs are added
 * to a plan by due time; when one would end too late, those of the lowest
 * priority and, among them, of the least value for their work are taken out.
 * As that may take out more than is needed, jobs that fit after all are put back
 * afterwards, the best first.
 *
 * If jobs must be taken out, those that were not begun and have little slack left
 * are first: most of them would end late after all, and the work done for them be
 * lost to others.
 */
#include <math.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <glib.h>

#include "overload.h"

/* A plan may exceed the throughput by this, as both are estimates. */
#define TOLERANCE 0.05
/* Deferred jobs come back below this share of it, so that they don't alternate. */
#define RETURN_SHARE 0.8
/*
 * Once jobs are deferred, the overload lasts until all that are present need less
 * than this share of it, since others come before they end.
 */
#define END_SHARE 0.6
/* So many times as good must a job be to take the place of one planned before. */
#define KEEP_GAIN 2
/* Pauses and bursts shorter than this change the mean rate little. */
#define RATE_TIME_CONSTANT_MS 5000.0
/* Before this the mean is of too few tasks, and the backlog may be a burst. */
#define RATE_MIN_MS 2000
/*
 * Slack that a job needs to be begun, as a share of the time that its steps take,
 * since they wait for room and for the slowest of their tasks.
 */
#define MIN_SLACK 0.5
/* No job needs more than this share of the slack that it had at first. */
#define MAX_SLACK_NEEDED 0.5
/* After a longer time without a backlog, the rate is learned anew. */
#define RATE_FORGET_MS 20000

/* An item in the plan. */
typedef struct {
	overload_item_t *item;
	double worth; /* value per unit of work that has not been started */
	double limit; /* work that can be done by its due time */
	size_t pos;   /* by due time */
	bool planned;
} entry_t;

/* Slack by position: minima over the planned ones of each subtree. */
typedef struct {
	size_t size; /* of the leaves; a power of two */
	double *min, *add;
} slack_t;

static double
work_waiting(const overload_item_t *it)
{
	return it->work_left - it->work_running;
}

static int
compare_due(gconstpointer pa, gconstpointer pb)
{
	const entry_t *a = pa, *b = pb;

	if (a->item->due_ms != b->item->due_ms)
		return a->item->due_ms < b->item->due_ms ? -1 : 1;
	return a->item < b->item ? -1 : a->item > b->item;
}

/* Whether a is taken out of the plan before b. */
static bool
is_worse(const entry_t *a, const entry_t *b)
{
	if (a->item->priority != b->item->priority)
		return a->item->priority > b->item->priority;
	if (a->worth != b->worth)
		return a->worth < b->worth;
	return a->pos > b->pos;
}

/* Sorts pointers to entries, the best first. */
static int
compare_best(gconstpointer pa, gconstpointer pb)
{
	const entry_t *a = *(entry_t *const *)pa, *b = *(entry_t *const *)pb;

	return is_worse(b, a) ? -1 : is_worse(a, b);
}

/* Sorts pointers to deferred entries by the order in which they are done. */
static int
compare_deferred(gconstpointer pa, gconstpointer pb)
{
	const overload_item_t *a = (*(entry_t *const *)pa)->item;
	const overload_item_t *b = (*(entry_t *const *)pb)->item;

	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->shortest_ms != b->shortest_ms)
		return a->shortest_ms < b->shortest_ms ? -1 : 1;
	return a < b ? -1 : a > b;
}

/* Adds to a heap with the worst entry on top. */
static void
heap_push(entry_t **heap, size_t *n, entry_t *e)
{
	size_t i = (*n)++;

	for (; i > 0 && is_worse(e, heap[(i - 1) / 2]); i = (i - 1) / 2)
		heap[i] = heap[(i - 1) / 2];
	heap[i] = e;
}

static entry_t *
heap_pop(entry_t **heap, size_t *n)
{
	entry_t *top = heap[0], *last = heap[--*n];
	size_t i = 0, k;

	while ((k = 2 * i + 1) < *n) {
		if (k + 1 < *n && is_worse(heap[k + 1], heap[k]))
			k++;
		if (!is_worse(heap[k], last))
			break;
		heap[i] = heap[k];
		i = k;
	}
	heap[i] = last;
	return top;
}

static void
slack_apply(slack_t *t, size_t node, double x)
{
	t->min[node] += x;
	t->add[node] += x;
}

static void
slack_update_parents(slack_t *t, size_t node)
{
	while (node > 1) {
		node /= 2;
		t->min[node] =
		    t->add[node] + MIN(t->min[2 * node], t->min[2 * node + 1]);
	}
}

/* Adds to the slack of all positions from one on. */
static void
slack_add(slack_t *t, size_t pos, double x)
{
	size_t node = t->size + pos;

	slack_apply(t, node, x);
	for (size_t k = node; k > 1; k /= 2)
		if (k % 2 == 0)
			slack_apply(t, k + 1, x);
	slack_update_parents(t, node);
}

/* The least slack of the planned positions from one on. */
static double
slack_min(const slack_t *t, size_t pos)
{
	size_t node = t->size + pos;
	double m = t->min[node];

	for (; node > 1; node /= 2) {
		if (node % 2 == 0)
			m = MIN(m, t->min[node + 1]);
		m += t->add[node / 2];
	}
	return m;
}

/* Sets whether a position counts; its slack is what was added to it. */
static void
slack_set_planned(slack_t *t, size_t pos, bool planned)
{
	size_t node = t->size + pos;

	t->min[node] = planned ? t->add[node] : INFINITY;
	slack_update_parents(t, node);
}

/*
 * Takes entries out until the others end on time; returns whether it took any.
 */
static bool
take_out(entry_t *all, size_t n, double base)
{
	entry_t **heap = g_new(entry_t *, MAX(n, 1));
	size_t nheap = 0;
	double sum = base;
	bool any = false;

	for (size_t i = 0; i < n; i++) {
		all[i].planned = true;
		sum += all[i].item->work_left;
		if (work_waiting(all[i].item) > 0)
			heap_push(heap, &nheap, &all[i]);
		while (sum > all[i].limit && nheap > 0) {
			entry_t *worst = heap_pop(heap, &nheap);

			worst->planned = false;
			any = true;
			sum -= work_waiting(worst->item);
		}
	}
	g_free(heap);
	return any;
}

/* Sets the slack of all positions by the entries that are planned. */
static void
slack_init(slack_t *t, const entry_t *all, size_t n, double base)
{
	double sum = base;

	t->size = 1;
	while (t->size < n)
		t->size *= 2;
	t->min = g_new(double, 2 * t->size);
	t->add = g_new0(double, 2 * t->size);
	for (size_t i = 0; i < 2 * t->size; i++)
		t->min[i] = INFINITY;
	for (size_t i = 0; i < n; i++) {
		sum += all[i].planned ? all[i].item->work_left :
					all[i].item->work_running;
		t->add[t->size + i] = all[i].limit - sum;
		if (all[i].planned)
			t->min[t->size + i] = t->add[t->size + i];
	}
	for (size_t i = t->size; i-- > 1;)
		t->min[i] = MIN(t->min[2 * i], t->min[2 * i + 1]);
}

/* Puts back entries that fit after all, the best first. */
static void
put_back(entry_t *all, size_t n, double base)
{
	g_autoptr(GPtrArray) out = g_ptr_array_new();
	slack_t t;

	slack_init(&t, all, n, base);
	for (size_t i = 0; i < n; i++)
		if (!all[i].planned)
			g_ptr_array_add(out, &all[i]);
	g_ptr_array_sort(out, compare_best);
	for (guint i = 0; i < out->len; i++) {
		entry_t *e = g_ptr_array_index(out, i);
		double work = work_waiting(e->item);

		slack_set_planned(&t, e->pos, true);
		e->planned = slack_min(&t, e->pos) >= work;
		if (e->planned)
			slack_add(&t, e->pos, -work);
		else
			slack_set_planned(&t, e->pos, false);
	}
	g_free(t.min);
	g_free(t.add);
}

/* Sets the expected ends and the marks. */
static void
mark(entry_t *all, size_t n, size_t ncandidates, double base, double rate,
    overload_sums_t *sums)
{
	g_autoptr(GPtrArray) out = g_ptr_array_new();
	double sum = base;

	for (size_t i = 0; i < n; i++) {
		overload_item_t *it = all[i].item;

		if (i >= ncandidates || !all[i].planned) {
			g_ptr_array_add(out, &all[i]);
			sum += i < ncandidates ? it->work_running : 0;
			continue;
		}
		sum += it->work_left;
		it->mark = OVERLOAD_ON_TIME;
		it->end_ms = MAX(it->shortest_ms, (int64_t)(sum / rate));
	}
	g_ptr_array_sort(out, compare_deferred);
	for (guint i = 0; i < out->len; i++) {
		overload_item_t *it =
		    ((entry_t *)g_ptr_array_index(out, i))->item;

		sum += work_waiting(it);
		it->end_ms = MAX(it->shortest_ms, (int64_t)(sum / rate));
		it->mark = it->end_ms > it->late_ms ? OVERLOAD_HOPELESS :
						      OVERLOAD_DEFERRED;
		sums->ndeferred++;
	}
}

/* Whether a job would be on time if it waited no more. */
static bool
can_be_on_time(const overload_item_t *it)
{
	return it->shortest_ms <= it->due_ms;
}

/*
 * Whether a job would probably be on time if it waited little.  One that was begun
 * is worth finishing if it can be.
 */
static bool
has_slack(const overload_item_t *it)
{
	double need = MIN((double)it->shortest_ms * MIN_SLACK,
	    (double)it->slack_ms * MAX_SLACK_NEEDED);

	if (it->begun)
		need = 0;
	return (double)(it->due_ms - it->shortest_ms) >= MAX(0, need);
}

/*
 * Fills in the entries: first the candidates, by due time, then the others.
 * Returns how many are candidates; sets the work that runs of the others.
 */
static size_t
fill(entry_t *all, overload_item_t *items, size_t n, double rate,
    bool (*is_candidate)(const overload_item_t *), double *base)
{
	size_t nfirst = 0, nlast = n;

	*base = 0;
	for (size_t i = 0; i < n; i++) {
		bool candidate = is_candidate(&items[i]);
		entry_t *e = &all[candidate ? nfirst++ : --nlast];

		e->item = &items[i];
		e->planned = false;
		e->worth = items[i].value / MAX(1, work_waiting(&items[i])) *
		    (items[i].was_deferred ? 1 : KEEP_GAIN);
		e->limit = rate * (double)items[i].due_ms *
		    (items[i].was_deferred ? RETURN_SHARE : 1 + TOLERANCE);
		if (!candidate)
			*base += items[i].work_running;
	}
	qsort(all, nfirst, sizeof(*all), compare_due);
	for (size_t i = 0; i < nfirst; i++)
		all[i].pos = i;
	return nfirst;
}

/* Whether the plan before deferred jobs that could be on time. */
static bool
was_overloaded(const overload_item_t *items, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (items[i].was_deferred && can_be_on_time(&items[i]))
			return true;
	return false;
}

/* Whether not all jobs can be on time. */
static bool
is_overloaded(entry_t *all, overload_item_t *items, size_t n, double rate)
{
	double share = was_overloaded(items, n) ? END_SHARE : 1, base;
	size_t ncandidates =
	    fill(all, items, n, rate * share, can_be_on_time, &base);

	return take_out(all, ncandidates, base);
}

void
overload_plan(
    overload_item_t *items, size_t n, double rate, overload_sums_t *sums)
{
	g_autofree entry_t *all = g_new0(entry_t, MAX(n, 1));
	size_t ncandidates;
	double base;

	*sums = (overload_sums_t){ 0 };
	if (is_overloaded(all, items, n, rate)) {
		ncandidates = fill(all, items, n, rate, has_slack, &base);
		take_out(all, ncandidates, base);
		put_back(all, ncandidates, base);
	} else {
		ncandidates = fill(all, items, n, rate, can_be_on_time, &base);
		for (size_t i = 0; i < ncandidates; i++)
			all[i].planned = true;
	}
	mark(all, n, ncandidates, base, rate, sums);
}

void
overload_rate_add(overload_rate_t *r, double work, int64_t ms, bool is_short)
{
	double keep = exp(-(double)ms / RATE_TIME_CONSTANT_MS);

	r->idle_ms = is_short ? 0 : r->idle_ms + ms;
	r->short_ms = is_short ? r->short_ms + ms : 0;
	if (r->idle_ms >= RATE_FORGET_MS)
		r->work = r->ms = 0;
	if (!is_short)
		return;
	r->work = r->work * keep + work;
	r->ms = r->ms * keep + (double)ms;
}

double
overload_rate(const overload_rate_t *r)
{
	if (r->short_ms < RATE_MIN_MS || r->ms <= 0)
		return 0;
	return r->work / r->ms;
}
