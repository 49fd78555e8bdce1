/*
 * Placement: chooses the worker with the highest score for a task among those that
 * have the resources and may run it.  place_gang.c does so for all tasks of a gang.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

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
#include "down.h"
#include "place_query.h"

/*
 * Serving tasks use at most this share of the processor time reserved for them;
 * the rest is available to filler tasks.
 */
#define SERVING_PEAK_USE_PCT 50
/* So many workers that can take a task are compared, if there are more. */
#define ENOUGH_WORKERS 64
/*
 * Deductions from a worker's score, and additions to it.  It counts thousandths
 * of a core that are free for fillers.
 */
#define COST_OTHER_RACK	 1000000 /* not in the rack of the step's data */
#define COST_FAILURE	 400000	 /* per failure in a row there */
#define COST_COMPATIBLE	 600	 /* per percent of filler images that may run */
#define VALUE_SLACK	 60000	 /* per unit of headroom left, up to 1 */
#define COST_OTHER_IMAGE 200000	 /* per image compatible with other fillers */
#define COST_NO_SERVING	 100000	 /* a serving task where there is none yet */
#define COST_HEADROOM	 400000	 /* per unit of headroom that is missing */
#define COST_SLOW_WORKER 2000000 /* tasks there make progress slowly */
#define COST_AVOIDED	 4000000 /* the task failed, crashed it or was moved away */
#define COST_COMPANION	 1000000 /* per run there, which a crash would end */

/* Whether a worker has the label; all workers have the empty one. */
static bool
has_label(const worker_t *w, const char *label)
{
	if (label[0] == '\0')
		return true;
	for (guint i = 0; i < w->labels->len; i++)
		if (strcmp(g_ptr_array_index(w->labels, i), label) == 0)
			return true;
	return false;
}

/* Number of the step's tasks that run on a worker or are to start there. */
static int32_t
step_tasks_on(const worker_t *w, const step_t *st)
{
	GHashTableIter it;
	void *v;
	int32_t n = 0;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((run_t *)v)->task != NULL &&
		    ((run_t *)v)->holds_resources &&
		    ((run_t *)v)->task->step == st;
	return n + nominate_count(w, st);
}

/* Processor amount on a worker that all its filler tasks together may use. */
int64_t
place_filler_capacity(const worker_t *w)
{
	return w->cpu_milli - w->used_cpu_milli +
	    w->serving_cpu_milli * (100 - SERVING_PEAK_USE_PCT) / 100;
}

/* Whether a worker that runs nothing has the resources for a task. */
static bool
has_amounts(const worker_t *w, const Sched__Step *d)
{
	return d->cpu_milli <= w->cpu_milli && d->mem_mb <= w->mem_mb &&
	    d->gpu <= w->gpu;
}

/*
 * Whether the free processors of a worker are enough for a task.  Slowed fillers
 * may share them with more of them than could run at full speed.
 */
static bool
cpu_fits(const sched_t *s, const worker_t *w, const Sched__Step *d, bool slowed)
{
	if (d->filler)
		return w->filler_cpu_milli + d->cpu_milli <=
		    (slowed ? starvation_cpu_times(s) * w->cpu_milli :
			      place_filler_capacity(w));
	return w->used_cpu_milli + d->cpu_milli <= w->cpu_milli;
}

/* Suitability of a worker for a task that fits there; higher is better. */
static int64_t
score(const sched_t *s, worker_t *w, const step_t *st, const task_t *t)
{
	const Sched__Step *d = st->def;
	int32_t other_images;
	int64_t sc = place_filler_capacity(w) - w->filler_cpu_milli;

	if (d->near_rack[0] != '\0' && strcmp(d->near_rack, w->rack) != 0)
		sc -= COST_OTHER_RACK;
	sc -= w->failures_in_row * COST_FAILURE;
	sc -= w->slow ? COST_SLOW_WORKER : 0;
	if (avoid_has(t, w))
		sc -= COST_AVOIDED;
	/* Workers on which many filler images may run are kept for fillers that
	 * few other workers can take. */
	if (d->tail_target_ms == 0)
		sc -= w->compatible_filler_pct * COST_COMPATIBLE;
	else if (d->tail_target_ms > 0) {
		/* Serving tasks with the same interfering fillers share few
		 * workers, so that these fillers find other workers. */
		double missing =
		    isolation_serving_cost(s, w, st, &other_images);

		sc -= other_images * COST_OTHER_IMAGE +
		    (int64_t)(missing * COST_HEADROOM);
		sc -= w->nserving == 0 ? COST_NO_SERVING : 0;
		/* Reverses the score: the less capacity there is for fillers,
		 * the better. */
		sc -= 2 * place_filler_capacity(w);
	}
	/* Beside serving tasks with slack, a filler is not soon slowed. */
	if (d->filler && w->nserving > 0)
		sc += (int64_t)(CLAMP(isolation_margin(s, w, st), 0, 1) *
		    VALUE_SLACK);
	return sc;
}

/*
 * Whether a worker could run a task of the step if it ran nothing else and had not failed
 * any.
 */
bool
place_is_able(const sched_t *s, const worker_t *w, const step_t *st)
{
	return w->service == st->occ->job->service &&
	    cell_worker_refusal(s, w) == SCHED_WAIT_NONE &&
	    has_amounts(w, st->def) && has_label(w, st->def->label);
}

/*
 * Why a worker could not run a task of the step if it ran nothing else;
 * SCHED_WAIT_NONE: it could.
 */
static sched_wait_reason_t
empty_refusal(const sched_t *s, const worker_t *w, const step_t *st)
{
	sched_wait_reason_t why;

	if (w->service != st->occ->job->service)
		return SCHED_WAIT_NO_WORKER;
	why = cell_worker_refusal(s, w);
	if (why != SCHED_WAIT_NONE)
		return why;
	if (!suspect_allows_step(s, w, st))
		return SCHED_WAIT_SUSPECT;
	if (!has_amounts(w, st->def))
		return SCHED_WAIT_TOO_LARGE;
	return has_label(w, st->def->label) ? SCHED_WAIT_NONE :
					      SCHED_WAIT_LABEL;
}

/* Why the free resources of a worker are too few for a task; SCHED_WAIT_NONE: not so. */
static sched_wait_reason_t
free_refusal(
    const sched_t *s, const worker_t *w, const Sched__Step *d, bool slowed)
{
	if (w->used_mem_mb + d->mem_mb > w->mem_mb)
		return SCHED_WAIT_MEM;
	if (w->used_gpu + d->gpu > w->gpu)
		return SCHED_WAIT_GPU;
	return cpu_fits(s, w, d, slowed) ? SCHED_WAIT_NONE : SCHED_WAIT_CPU;
}

/*
 * Why a worker lacks the resources for a task of the step or may not run it;
 * SCHED_WAIT_NONE: it has them and may.
 */
static sched_wait_reason_t
room_refusal(const sched_t *s, const worker_t *w, const step_t *st, bool slowed)
{
	const Sched__Step *d = st->def;
	sched_wait_reason_t why = empty_refusal(s, w, st);

	if (why != SCHED_WAIT_NONE)
		return why;
	return free_refusal(s, w, d, slowed);
}

/* Whether a worker could run a task of the step if it ran nothing else. */
bool
place_fits_empty(const sched_t *s, const worker_t *w, const step_t *st)
{
	return empty_refusal(s, w, st) == SCHED_WAIT_NONE;
}

/* Whether some worker could run a task of a step if it ran nothing else. */
bool
place_has_worker(const sched_t *s, const step_t *st)
{
	for (guint i = 0; i < s->worker_list->len; i++)
		if (place_fits_empty(
			s, g_ptr_array_index(s->worker_list, i), st))
			return true;
	return false;
}

/* Whether one more task of a step may be on a worker beside those that are. */
bool
place_spread_allows(const step_t *st, const worker_t *w)
{
	return st->def->per_worker == 0 ||
	    step_tasks_on(w, st) < st->def->per_worker;
}

/*
 * Whether a worker may run one more task of the step, regardless of its free
 * resources and of the other images there, as far as is known: approval of it, which
 * expires, is had once there is room.
 */
bool
place_allowed(const sched_t *s, const step_t *st, const worker_t *w)
{
	return place_fits_empty(s, w, st) && !approval_is_refused(st, w) &&
	    place_spread_allows(st, w);
}

/* Number of tasks of the gang for which this worker was chosen. */
static int32_t
gang_tasks_on(const gang_placement_t *p, const worker_t *w)
{
	int32_t n = 0;

	for (int32_t i = 0; i < p->n; i++)
		n += p->at[i] == w;
	return n;
}

/*
 * Whether a task of a filler step may run slowed on a worker: only fillers of a
 * known image can be slowed for serving tasks, and a task that stands still says
 * nothing of a suspect worker.
 */
static bool
can_slow(const worker_t *w, const step_t *st)
{
	return (!w->suspect || st->too_many_suspects) &&
	    st->def->cpu_milli <= w->cpu_milli &&
	    (st->image >= 0 || w->nserving == 0);
}

/*
 * Whether a worker could run a task of the step now, regardless of what the
 * approval service allows; may_slow: also slowed.
 */
bool
place_possible(const sched_t *s, worker_t *w, const step_t *st, bool may_slow)
{
	if (room_refusal(s, w, st, false) == SCHED_WAIT_NONE &&
	    isolation_allows(s, w, st))
		return true;
	return may_slow && can_slow(w, st) &&
	    room_refusal(s, w, st, true) == SCHED_WAIT_NONE;
}

/*
 * Why a worker can't take a task of the step now, by the first check that it
 * fails, in the order of sched_wait_reason_t; SCHED_WAIT_NONE: it can.
 */
static sched_wait_reason_t
refusal(const sched_t *s, worker_t *w, const place_query_t *q)
{
	const step_t *st = q->step;
	sched_wait_reason_t why;

	if (q->rack != NULL && w->rack != q->rack)
		return SCHED_WAIT_NO_WORKER;
	why = room_refusal(s, w, st, q->slowed);
	if (why != SCHED_WAIT_NONE)
		return why;
	if (!suspect_has_turn(s, w, q->task))
		return SCHED_WAIT_SUSPECT;
	if (st->def->per_worker != 0 &&
	    step_tasks_on(w, st) + gang_tasks_on(&q->gang, w) >=
		st->def->per_worker)
		return SCHED_WAIT_PER_WORKER;
	if (q->unasked ? approval_is_refused(st, w) :
			 !approval_allows(s, st, w))
		return SCHED_WAIT_APPROVAL;
	if (!quarantine_allows_start(s, w, q->task))
		return SCHED_WAIT_RESERVED;
	/* The nominated task could not start while a suspect is tried there. */
	if (q->alone && w->nnominated > 0)
		return SCHED_WAIT_RESERVED;
	if (!downtime_is_down(q->task) && !room_allows_start(s, w, q->task))
		return SCHED_WAIT_KEPT;
	if (q->slowed)
		return can_slow(w, st) ? SCHED_WAIT_NONE :
					 SCHED_WAIT_CANNOT_SLOW;
	return isolation_allows(s, w, st) ? SCHED_WAIT_NONE :
					    SCHED_WAIT_ISOLATED;
}

/* Whether a worker can take a task of the step now; if not, q tells why. */
static bool
can_take(const sched_t *s, worker_t *w, place_query_t *q)
{
	sched_wait_reason_t why = refusal(s, w, q);

	if (why == SCHED_WAIT_SUSPECT && w->suspect &&
	    !blame_is_failing(q->task) && place_is_able(s, w, q->step) &&
	    free_refusal(s, w, q->step->def, q->slowed) == SCHED_WAIT_NONE)
		suspect_note_wanted(s, w);
	q->refusal = MAX(q->refusal, why);
	q->isolated = q->isolated || why == SCHED_WAIT_ISOLATED;
	q->kept += why == SCHED_WAIT_KEPT;
	return why == SCHED_WAIT_NONE;
}

worker_t *
place_best_worker(sched_t *s, place_query_t *q)
{
	guint n = q->workers->len, found = 0;
	guint first = q->enough < n ? s->scan.next % n : 0;
	worker_t *best = NULL;
	int64_t best_score = 0;
	char name[64] = "";

	for (guint i = 0; i < n && found < q->enough; i++) {
		worker_t *w = g_ptr_array_index(q->workers, (first + i) % n);
		int64_t sc;

		s->stats.places++;
		if (!can_take(s, w, q))
			continue;
		found++;
		s->scan.next = first + i + 1;
		sc = score(s, w, q->step, q->task);
		if (q->slowed)
			sc +=
			    (int64_t)(MIN(0, isolation_margin(s, w, q->step)) *
				COST_HEADROOM);
		if (q->alone)
			sc -= g_hash_table_size(w->runs) * COST_COMPANION;
		if (best != NULL && sc <= best_score)
			continue;
		/* An earlier run of the task may not have been removed yet. */
		if (name[0] == '\0')
			job_task_name(q->task, name, sizeof(name));
		if (g_hash_table_contains(w->runs, name)) {
			q->refusal = MAX(q->refusal, SCHED_WAIT_EARLIER_RUN);
			continue;
		}
		best = w;
		best_score = sc;
	}
	return best;
}

/*
 * Number of workers to compare for a task of the step.  All of them where a few
 * suit much better than the others: near its data, or beside other serving
 * tasks.
 */
static guint
enough_workers(const step_t *st)
{
	return st->def->near_rack[0] != '\0' || st->def->tail_target_ms > 0 ?
	    G_MAXUINT :
	    ENOUGH_WORKERS;
}

/*
 * Returns a worker for a waiting task, or NULL.  When none is found, the rest
 * of the round looks only at workers that change.
 */
static worker_t *
find_for_task(sched_t *s, step_t *st, const task_t *t, bool unasked)
{
	place_query_t q = { .step = st,
		.task = t,
		.workers = scan_workers(s, st),
		.enough = enough_workers(st),
		.unasked = unasked };
	worker_t *w = place_best_worker(s, &q);

	/* Later searches in a round look at changed workers only. */
	if (!scan_has_searched(s, st)) {
		st->isolated = w == NULL && q.isolated;
		if (w == NULL)
			room_not_found(s, st, q.kept);
	}
	if (w == NULL) {
		wait_reason_note(s, st, q.refusal);
		scan_set_searched(s, st);
	}
	return w;
}

/* Returns a worker on which a waiting task can start now, or NULL. */
worker_t *
place_task(sched_t *s, step_t *st, const task_t *t)
{
	return find_for_task(s, st, t, false);
}

/* Whether a waiting task could start now if approval were had. */
bool
place_could_start(sched_t *s, step_t *st, const task_t *t)
{
	return find_for_task(s, st, t, true) != NULL;
}

/*
 * Returns a worker for a waiting filler task that need not run at full speed, or
 * NULL.  How much its serving tasks would lack counts against a worker.
 */
worker_t *
place_slowed(sched_t *s, step_t *st, const task_t *t)
{
	place_query_t q = { .step = st,
		.task = t,
		.workers = s->worker_list,
		.enough = G_MAXUINT,
		.slowed = true };
	worker_t *w = place_best_worker(s, &q);

	if (w == NULL)
		st->wait_reason = q.refusal;
	return w;
}

/*
 * Whether a lasting task could start on a worker now, which has no earlier run of it;
 * a filler also slowed.
 */
bool
place_fits(sched_t *s, task_t *t, worker_t *w)
{
	place_query_t q = { .step = t->step, .task = t };
	bool ok = can_take(s, w, &q);
	char name[64];

	if (!ok && starvation_is_lasting_filler(t->step)) {
		q.slowed = true;
		ok = can_take(s, w, &q);
	}
	job_task_name(t, name, sizeof(name));
	return ok && !g_hash_table_contains(w->runs, name);
}

/* Whether a task could start on a worker now, slowed or not, if approval were had. */
bool
place_could_take(sched_t *s, worker_t *w, const task_t *t, bool slowed)
{
	place_query_t q = { .step = t->step, .task = t, .unasked = true };

	if (refusal(s, w, &q) == SCHED_WAIT_NONE)
		return true;
	q.slowed = true;
	return slowed && refusal(s, w, &q) == SCHED_WAIT_NONE;
}

/* Returns a worker for the task of a query; reserved: the only one, unless NULL. */
static worker_t *
find_alone(sched_t *s, place_query_t *q, worker_t *reserved)
{
	if (reserved != NULL)
		return can_take(s, reserved, q) ? reserved : NULL;
	return place_best_worker(s, q);
}

/*
 * Returns a worker for a task that may crash it, or NULL; reserved: the only one
 * to consider, unless NULL.  A suspect worker can't take it slowed.
 */
worker_t *
place_alone(sched_t *s, step_t *st, const task_t *t, worker_t *reserved)
{
	place_query_t q = { .step = st,
		.task = t,
		.workers = s->worker_list,
		.enough = G_MAXUINT,
		.alone = true };
	worker_t *w = find_alone(s, &q, reserved);

	if (w == NULL && starvation_may_slow(s, st)) {
		q.slowed = true;
		q.kept = 0;
		w = find_alone(s, &q, reserved);
	}
	if (w == NULL && reserved == NULL)
		room_not_found(s, st, q.kept);
	return w;
}

/*
 * Returns a worker other than its own that could take the task of a run now, or
 * NULL.  When there is none, none is looked for in the rest of the round.
 */
worker_t *
place_elsewhere(sched_t *s, const run_t *r)
{
	step_t *st = r->task->step;
	place_query_t q = { .step = st,
		.task = r->task,
		.workers = s->worker_list,
		.enough = enough_workers(st) };
	worker_t *w;

	if (st->unmovable_round == s->scan.round)
		return NULL;
	w = place_best_worker(s, &q);
	if (w == NULL)
		st->unmovable_round = s->scan.round;
	return w;
}

/*
 * Counts the workers of a step's service by why they can't take the task now.  A
 * task that may start slowed is refused by those that can't take it even so.
 */
void
place_count_refusals(
    const sched_t *s, const step_t *st, const task_t *t, int32_t *counts)
{
	place_query_t q = {
		.step = st, .task = t, .slowed = starvation_may_slow(s, st)
	};

	memset(counts, 0, SCHED_WAIT_REASONS * sizeof(*counts));
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->service == st->occ->job->service)
			counts[refusal(s, w, &q)]++;
	}
}
