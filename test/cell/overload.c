/*
 * An overload of a simulated cell: serving tasks on its workers, whose tail
 * latency grows with what the fillers beside them use, and more filler jobs than
 * that lets run at full speed.  Late faults go on after the last new job.  Their
 * random numbers are their own, so that schedules without them stay as they are.
 */
#include <inttypes.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define RAND_SALT	  0x6f766572
#define SERVING_IMAGES	  3
#define FILLER_IMAGES	  4
#define SERVING_FROM_MS	  1500 /* before the others */
#define JOBS_FROM_MS	  3000
#define SERVING_END_MS	  25000 /* from the last new job: they are cancelled */
#define LATE_FAULTS_MS	  4000	/* the same: faults begin so long */
#define LATE_FAULT_MIN_MS 300	/* that they last */
#define LATE_FAULT_MAX_MS 3000
/* Serving tasks use this share of the processor time reserved for them. */
#define SERVING_USE	   0.5
#define HEADROOM_MIN	   0.05 /* the tail latency has a limit */
#define HARMFUL_SHARE	   0.25 /* of the pairs of images */
#define LARGE_SHARE	   0.3	/* of filler tasks */
#define LONG_TARGET_SHARE  0.25 /* of jobs: due long after the last new job */
#define SHORT_JOBS_SHARE   0.2	/* of jobs: they are no fillers */
#define SLOW_WORKERS_SHARE 0.1
#define MEAN_JOB_CORE_MS   5000 /* about the work of a filler job */

typedef enum {
	OWNER_KILLED,
	OWNER_PAUSED,
	OWNER_LEAVES,
	ALL_KILLED,
	WORKER_DIES,
	WORKER_RESTARTS,
	WORKER_LEAVES,
	WORKER_FAILS_TASKS,
	WORKER_STALLS,
	QUEUE_CHANGES,
	NFAULTS
} late_fault_t;

struct overload {
	GRand *rand;
	int64_t end_ms; /* no new jobs */
	int64_t job_gap_ms;
	/* Headroom that a serving image loses to a filler image that uses a
	 * whole worker, and that it has without fillers. */
	double harm[SERVING_IMAGES][FILLER_IMAGES];
	double headroom[SERVING_IMAGES];
	double swing[SERVING_IMAGES]; /* of the headroom, as the load changes */
	double period_ms[SERVING_IMAGES];
	bool slow[WORKERS_MAX];
};

static double
draw(world_t *w)
{
	return g_rand_double(w->overload->rand);
}

static int32_t
draw_int(world_t *w, int32_t from, int32_t to)
{
	return g_rand_int_range(w->overload->rand, from, to + 1);
}

static bool
is_serving(const Sched__Step *st)
{
	return st->tail_target_ms > 0;
}

/* The number of an image, whose name is a letter and that number. */
static int32_t
image_number(const Sched__Step *st)
{
	return st->image[1] - '0';
}

/* Processor time, in milli, that fillers on a worker want and can have. */
static void
filler_time(const sim_worker_t *wk, double *wanted, double *available)
{
	*wanted = 0;
	*available = (double)wk->cpu_milli;
	for (guint i = 0; i < wk->runs->len; i++) {
		const sim_run_t *run = g_ptr_array_index(wk->runs, i);
		double cpu = (double)run->step->cpu_milli;

		if (run->step->filler)
			*wanted += cpu * run->pace_pct / 100;
		else
			*available -=
			    cpu * (is_serving(run->step) ? SERVING_USE : 1);
	}
}

double
sim_overload_speed(
    const world_t *w, const sim_worker_t *wk, const sim_run_t *run)
{
	double wanted, available, speed = 1;

	if (w->overload == NULL)
		return 1;
	if (run->step->filler) {
		filler_time(wk, &wanted, &available);
		speed = run->pace_pct / 100.0 *
		    MIN(1, MAX(0, available) / MAX(1, wanted));
	}
	return w->overload->slow[wk->index] ? speed / 4 : speed;
}

/* The headroom of a serving image on a worker at present. */
static double
headroom(const world_t *w, const sim_worker_t *wk, int32_t image)
{
	const overload_t *o = w->overload;
	double h = o->headroom[image] +
	    o->swing[image] *
		sin(2 * G_PI * (double)w->now_ms / o->period_ms[image]);

	for (guint i = 0; i < wk->runs->len; i++) {
		const sim_run_t *run = g_ptr_array_index(wk->runs, i);

		if (run->step->filler)
			h -= o->harm[image][image_number(run->step)] *
			    sim_overload_speed(w, wk, run) *
			    (double)run->step->cpu_milli /
			    (double)wk->cpu_milli;
	}
	return MAX(HEADROOM_MIN, h);
}

void
sim_overload_report(const world_t *w, const sim_worker_t *wk,
    const sim_run_t *run, sched_running_t *s)
{
	const Sched__Step *st = run->step;

	if (w->overload == NULL)
		return;
	if (is_serving(st))
		s->metric = (int64_t)((double)st->tail_target_ms /
		    headroom(w, wk, image_number(st)));
	else
		s->metric = (int64_t)((double)st->cpu_milli *
		    sim_overload_speed(w, wk, run));
	if (!st->lasting && run->work_ms > 0)
		s->percent = (int32_t)CLAMP(
		    100 * (1 - run->work_left_ms / run->work_ms), 0, 99);
}

/* Submits a job of some steps, one after the other or side by side. */
static void
submit(world_t *w, Sched__Step *steps, size_t n, int32_t target_ms)
{
	Sched__Job d = SCHED__JOB__INIT;
	Sched__Step *list[2];
	int32_t first = 0;

	d.queue = draw(w) < 0.8 ? "q" : "other";
	d.service = "s";
	d.spec = "x";
	d.accepted_ms = w->now_ms;
	d.max_attempts = 2;
	d.stretch = 2;
	d.target_ms = target_ms;
	d.steps = list;
	d.n_steps = n;
	for (size_t i = 0; i < n; i++)
		list[i] = &steps[i];
	if (n > 1 && draw(w) < 0.7) {
		steps[1].after = &first;
		steps[1].n_after = 1;
	}
	world_submit(w, &d, false);
}

static void
make_filler(world_t *w, Sched__Step *st)
{
	static const char *const images[] = { "f0", "f1", "f2", "f3" };
	bool large = draw(w) < LARGE_SHARE;

	st->filler = true;
	st->image = (char *)images[draw_int(w, 0, FILLER_IMAGES - 1)];
	st->count = draw_int(w, 1, large ? 2 : 4);
	st->cpu_milli =
	    large ? draw_int(w, 3000, 6000) : draw_int(w, 200, 1500);
	st->mem_mb = draw_int(w, 50, large ? 1500 : 500);
	st->checkpoints = draw(w) < 0.5;
}

/* A short task of the kind that reserves processor time, sometimes much. */
static void
make_short(world_t *w, Sched__Step *st)
{
	st->count = draw_int(w, 1, 3);
	st->cpu_milli =
	    draw(w) < 0.2 ? draw_int(w, 6000, 10000) : draw_int(w, 300, 3000);
	st->mem_mb = draw_int(w, 50, 2000);
}

static void
on_job(world_t *w, void *arg)
{
	bool shorts = draw(w) < SHORT_JOBS_SHARE;
	Sched__Step steps[2];
	size_t n = draw(w) < 0.3 ? 2 : 1;

	(void)arg;
	if (w->now_ms >= w->overload->end_ms)
		return;
	world_schedule(w, draw_int(w, 1, (int32_t)w->overload->job_gap_ms * 2),
	    on_job, NULL);
	if (w->store_down)
		return;
	for (size_t i = 0; i < n; i++) {
		sched__step__init(&steps[i]);
		steps[i].estimate_ms = draw_int(w, 100, 2500);
		if (shorts)
			make_short(w, &steps[i]);
		else
			make_filler(w, &steps[i]);
	}
	submit(w, steps, n,
	    draw(w) < LONG_TARGET_SHARE ? draw_int(w, 10000, 60000) : 1000);
}

/* Submits serving jobs that reserve a share of the workers. */
static void
on_serving(world_t *w, void *arg)
{
	static const char *const images[] = { "s0", "s1", "s2" };
	double left = (0.15 + 0.25 * draw(w)) * 16000 * w->nworkers;

	(void)arg;
	while (left > 0) {
		Sched__Step st;

		sched__step__init(&st);
		st.lasting = true;
		st.tail_target_ms = draw_int(w, 40, 200);
		st.image = (char *)images[draw_int(w, 0, SERVING_IMAGES - 1)];
		st.count = draw_int(w, 1, 4);
		st.cpu_milli = draw_int(w, 1000, 4000);
		st.mem_mb = draw_int(w, 100, 2000);
		st.estimate_ms = 1000;
		left -= (double)(st.count * st.cpu_milli);
		submit(w, &st, 1, 1000);
	}
}

/* Ends all serving jobs, so that the fillers get what they need. */
static void
on_serving_end(world_t *w, void *arg)
{
	GHashTableIter it;
	void *v;

	(void)arg;
	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (is_serving(((sim_job_t *)v)->def->steps[0]))
			world_cancel(w, ((sim_job_t *)v)->id);
}

static void
on_entry_returns(world_t *w, void *arg)
{
	sim_entry_t *en = arg;

	entry_boot(w, en);
	en->paused = false;
	world_send_zones(w, en);
}

static void
on_worker_recovers(world_t *w, void *arg)
{
	sim_worker_t *wk = arg;

	if (!wk->up)
		worker_boot(w, wk);
	wk->fails_all_tasks = wk->tasks_stall = false;
}

/* A worker that was drained goes for good. */
static void
on_worker_leaves(world_t *w, void *arg)
{
	worker_crash(w, arg);
}

static void
worker_fault(world_t *w, late_fault_t kind, int32_t ms)
{
	sim_worker_t *wk = &w->workers[draw_int(w, 0, w->nworkers - 1)];

	if (kind == WORKER_FAILS_TASKS) {
		wk->fails_all_tasks = true;
	} else if (kind == WORKER_STALLS) {
		wk->tasks_stall = true;
	} else if (kind == WORKER_LEAVES) {
		wk->draining = true;
		wk->drain_began_ms = w->now_ms;
		world_schedule(w, ms, on_worker_leaves, wk);
		return;
	} else {
		worker_crash(w, wk);
		if (kind == WORKER_DIES)
			return;
	}
	world_schedule(w, ms, on_worker_recovers, wk);
}

static void
entry_fault(world_t *w, late_fault_t kind, int32_t ms)
{
	for (int32_t i = 0; i < w->nentries; i++) {
		sim_entry_t *en = &w->entries[i];

		if (!en->up || en->paused ||
		    (kind != ALL_KILLED && !sched_is_owner(en->sched)))
			continue;
		if (kind == OWNER_PAUSED)
			en->paused = true;
		else
			entry_kill(en);
		world_schedule(w, ms, on_entry_returns, en);
	}
}

static void
change_queue(world_t *w)
{
	sched_queue_t q = { "q", "s", draw_int(w, 0, 5), 2, false };

	for (int32_t i = 0; i < w->nentries; i++)
		if (w->entries[i].up && !w->entries[i].paused)
			sched_set_queues(w->entries[i].sched, &q, 1, w->now_ms);
}

static void
on_late_fault(world_t *w, void *arg)
{
	late_fault_t kind = (late_fault_t)draw_int(w, 0, NFAULTS - 1);
	int32_t ms = draw_int(w, LATE_FAULT_MIN_MS, LATE_FAULT_MAX_MS);

	(void)arg;
	if (kind == OWNER_LEAVES)
		handover_owner_leaves(w);
	else if (kind <= ALL_KILLED)
		entry_fault(w, kind, ms);
	else if (kind == QUEUE_CHANGES)
		change_queue(w);
	else
		worker_fault(w, kind, ms);
}

static void
draw_images(world_t *w)
{
	overload_t *o = w->overload;

	for (int32_t i = 0; i < SERVING_IMAGES; i++) {
		o->headroom[i] = 1.5 + 1.5 * draw(w);
		o->swing[i] = 0.6 * draw(w);
		o->period_ms[i] = draw_int(w, 5000, 30000);
		for (int32_t f = 0; f < FILLER_IMAGES; f++)
			o->harm[i][f] = draw(w) < HARMFUL_SHARE ?
			    4 + 10 * draw(w) :
			    1.5 * draw(w);
	}
}

void
sim_overload_init(world_t *w)
{
	w->overload = g_new0(overload_t, 1);
	w->overload->rand = g_rand_new_with_seed((guint32)w->seed ^ RAND_SALT);
	draw_images(w);
}

void
sim_overload_begin(world_t *w, int64_t end_ms)
{
	overload_t *o;

	sim_overload_init(w);
	o = w->overload;
	o->end_ms = end_ms;
	for (int32_t i = 0; i < w->nworkers; i++)
		o->slow[i] = draw(w) < SLOW_WORKERS_SHARE;
	o->job_gap_ms = (int64_t)(MEAN_JOB_CORE_MS /
	    (16.0 * w->nworkers * (0.15 + 0.4 * draw(w))));
	world_schedule(w, SERVING_FROM_MS - w->now_ms, on_serving, NULL);
	world_schedule(w, JOBS_FROM_MS - w->now_ms, on_job, NULL);
	world_schedule(
	    w, end_ms + SERVING_END_MS - w->now_ms, on_serving_end, NULL);
	for (int32_t n = draw_int(w, 0, 3); n > 0; n--)
		world_schedule(w,
		    end_ms - w->now_ms + draw_int(w, 0, LATE_FAULTS_MS),
		    on_late_fault, NULL);
}

void
sim_overload_free(world_t *w)
{
	if (w->overload == NULL)
		return;
	g_rand_free(w->overload->rand);
	g_free(w->overload);
}
