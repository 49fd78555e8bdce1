/*
 * Workers nominated for lasting tasks: what counts as used, and when a nomination
 * has to end.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../sched/sched.h"
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "../../sched/down.h"
#include "sched_fixture.h"

#define LASTING_MILLI 10000 /* of the 64000 of a worker */
#define ROUND_MS      250
#define STOP_MS	      500 /* until a stopped run has ended */
/* The users call a lasting task lost that is down for so long beside room for it. */
#define DOWN_MAX_MS 6000

static sched_t *
new_scene(void)
{
	sched_t *s = new_owner();

	set_fresh_time(s, 100000);
	return s;
}

/* Adds a worker at the present time. */
static worker_t *
new_worker(sched_t *s, const char *id)
{
	int64_t now_ms = s->now_ms;
	worker_t *w = add_worker(s, id);

	set_fresh_time(s, now_ms);
	return w;
}

static step_t *
add_step(sched_t *s, const Sched__Step *d)
{
	g_autofree char *id = g_strdup_printf("%016" PRIx64, ++s->last_id);
	step_t *st = first_step(add_job(s, id, d, s->wall_ms));

	st->ready = true;
	return st;
}

/* A step of lasting tasks that need so much. */
static step_t *
add_lasting(sched_t *s, int32_t count, int64_t cpu_milli)
{
	Sched__Step d = step_def("", cpu_milli, false, 0);

	d.lasting = true;
	d.count = count;
	return add_step(s, &d);
}

/* A task of such a step runs on a worker, and has been seen there. */
static run_t *
run_lasting(sched_t *s, step_t *st, int32_t index, worker_t *w)
{
	run_t *r = add_running(s, st, index, w);

	r->first_seen_ms = 1;
	return r;
}

/* A run of short work is on a worker, which ends after a time by its estimate. */
static run_t *
run_short(sched_t *s, worker_t *w, int64_t cpu_milli, int64_t ms, bool gang)
{
	Sched__Step d = step_def("", cpu_milli, false, 0);

	d.estimate_ms = ms;
	d.gang = gang;
	return add_running(s, add_step(s, &d), 0, w);
}

/* The runs that were stopped end, and those that were ordered begin. */
static void
end_stopped(sched_t *s)
{
	g_autoptr(GList) all = g_hash_table_get_values(s->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->state == RUN_STARTING)
			run_order_done(s, r, SCHED_ORDER_OK, 0);
		else if (r->state == RUN_STOPPING &&
		    s->now_ms - r->state_since_ms >= STOP_MS)
			run_remove(s, r);
	}
}

/* A round and a pass, after so long. */
static void
go_on(sched_t *s, int64_t ms)
{
	set_fresh_time(s, s->now_ms + ms);
	end_stopped(s);
	scan_begin_round(s);
	start_waiting_tasks(s);
}

/* Goes on until a task runs; returns how long it was down, at most DOWN_MAX_MS. */
static int64_t
wait_for(sched_t *s, const task_t *t)
{
	int64_t from_ms = s->now_ms;

	while (t->run == NULL && s->now_ms - from_ms < DOWN_MAX_MS)
		go_on(s, ROUND_MS);
	return s->now_ms - from_ms;
}

/* A worker is listed with so many processors. */
static void
list_again(sched_t *s, const worker_t *w, int64_t cpu_milli, int64_t started_ms)
{
	sched_worker_info_t i = worker_info(w->id, started_ms);

	i.cpu_milli = cpu_milli;
	sched_worker_listed(s, &i, s->now_ms);
}

#define WORKERS	  6
#define STEPS	  14
#define WIDTH	  8
#define EVENTS	  600
#define SEQUENCES 60

/* What counts as used on a worker. */
typedef struct {
	int64_t cpu_milli, mem_mb, serving_milli, filler_milli;
	int32_t gpu, nserving, nominated;
} used_t;

static void
add_used(used_t *u, const Sched__Step *d)
{
	u->mem_mb += d->mem_mb;
	u->gpu += d->gpu;
	if (d->filler) {
		u->filler_milli += d->cpu_milli;
		return;
	}
	u->cpu_milli += d->cpu_milli;
	if (d->tail_target_ms > 0) {
		u->serving_milli += d->cpu_milli;
		u->nserving++;
	}
}

/* What counts as used on each worker is what its runs hold and its nominations. */
static void
check_workers(sched_t *s, unsigned seed, int n)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		used_t u = { 0 };
		run_t *r;

		FOREACH_VALUE (r, w->runs)
			if (r->holds_resources)
				add_used(&u, r->task->step->def);
		for (guint k = 0; k < s->nominations->len; k++) {
			const task_t *t = g_ptr_array_index(s->nominations, k);

			if (t->nominated != w)
				continue;
			add_used(&u, t->step->def);
			u.nominated++;
		}
		cr_assert(w->used_cpu_milli == u.cpu_milli &&
			w->used_mem_mb == u.mem_mb && w->used_gpu == u.gpu &&
			w->serving_cpu_milli == u.serving_milli &&
			w->filler_cpu_milli == u.filler_milli &&
			w->nserving == u.nserving &&
			w->nnominated == u.nominated,
		    "seed %u, event %d: %s: cpu %" PRId64 "/%" PRId64
		    ", nominated %d/%d",
		    seed, n, w->id, w->used_cpu_milli, u.cpu_milli,
		    w->nnominated, u.nominated);
	}
}

/* The counts of the steps are those of their tasks; returns the nominated ones. */
static guint
check_steps(sched_t *s, unsigned seed, int n)
{
	guint nominated = 0;
	job_t *j;

	FOREACH_VALUE (j, s->jobs) {
		const step_t *st = first_step(j);
		int32_t waiting = 0, down = 0;

		for (int32_t i = 0; i < st->ntasks; i++) {
			const task_t *t = &st->tasks[i];

			waiting += t->state == TASK_WAITING;
			down += downtime_is_down(t);
			nominated += t->nominated != NULL;
			cr_assert(j->stage == JOB_OPEN || t->nominated == NULL,
			    "seed %u, event %d: the job has ended", seed, n);
		}
		cr_assert(st->nwaiting == waiting && st->ndown == down,
		    "seed %u, event %d: waiting %d/%d, down %d/%d", seed, n,
		    st->nwaiting, waiting, st->ndown, down);
	}
	return nominated;
}

static void
add_jobs(sched_t *s, GRand *g)
{
	while (g_hash_table_size(s->jobs) < STEPS) {
		bool lasting = g_rand_int_range(g, 0, 3) > 0;
		int64_t cpu_milli = 1000 * g_rand_int_range(g, 1, 30);
		int32_t target_ms =
		    lasting ? g_rand_int_range(g, 0, 2) * 50 : 0;
		Sched__Step d = step_def("", cpu_milli, false, target_ms);

		d.lasting = lasting;
		d.count = g_rand_int_range(g, 1, WIDTH);
		d.mem_mb = 1000 * g_rand_int_range(g, 1, 60);
		d.per_worker = (uint32_t)g_rand_int_range(g, 0, 3);
		d.filler = lasting ? g_rand_int_range(g, 0, 4) == 0 :
				     g_rand_boolean(g);
		queue_add_step(s, add_step(s, &d));
	}
}

static void *
pick(GHashTable *t, GRand *g)
{
	g_autoptr(GList) all = g_hash_table_get_values(t);

	return all == NULL ?
	    NULL :
	    g_list_nth_data(
		all, (guint)g_rand_int_range(g, 0, (gint)g_list_length(all)));
}

/* Something happens to a run. */
static void
run_event(sched_t *s, run_t *r, GRand *g)
{
	static const sched_order_result_t results[] = { SCHED_ORDER_OK,
		SCHED_ORDER_OK, SCHED_ORDER_NO_ROOM, SCHED_ORDER_UNHEALTHY };

	if (r->state == RUN_STARTING)
		run_order_done(s, r, results[g_rand_int_range(g, 0, 4)], 0);
	else if (r->state == RUN_RUNNING && !r->task->step->def->lasting)
		job_mark_task_done(r->task), run_remove(s, r);
	else if (r->state == RUN_RUNNING && g_rand_int_range(g, 0, 3) == 0) {
		worker_t *to = pick(s->workers, g);

		/* As serving_move.c begins a move. */
		if (r->job->stage != JOB_OPEN || to == r->worker)
			return;
		nominate_withdraw(s, r->task);
		nominate(s, r->task, to);
		run_stop(s, r, "moved");
	} else
		run_remove(s, r);
}

/* Whether workers also fall silent, and leave the list with their runs, for a while. */
static bool workers_fall_silent;

static void
fall_silent_or_return(worker_t *w, GRand *g)
{
	if (w->missed_polls > 0 || !w->listed) {
		w->missed_polls = 0;
		w->listed = true;
	} else if (g_rand_int_range(g, 0, 10) == 0)
		w->missed_polls = 1;
	else if (g_rand_int_range(g, 0, 10) == 0)
		w->listed = false;
}

/* Something happens to a worker. */
static void
worker_event(sched_t *s, worker_t *w, GRand *g)
{
	run_t *r;

	switch (g_rand_int_range(g, 0, 6)) {
	case 0:
		w->draining = !w->draining;
		break;
	case 1:
		sched_worker_left(s, w->id, s->now_ms);
		while ((r = pick(w->runs, g)) != NULL)
			run_remove(s, r);
		break;
	case 2:
		list_again(
		    s, w, 1000 * g_rand_int_range(g, 40, 80), w->started_ms);
		break;
	case 3:
		list_again(s, w, w->cpu_milli, w->started_ms + 1);
		while ((r = pick(w->runs, g)) != NULL)
			run_remove(s, r);
		w->has_answered = w->footprint_stored = true;
		w->lease.earlier = ENDS_AT(0);
		break;
	default:
		if (workers_fall_silent)
			fall_silent_or_return(w, g);
		straggler_report(s, w);
	}
}

static void
lose_cell(sched_t *s, GRand *g)
{
	ownership_lost(s, "test");
	if (g_rand_boolean(g))
		scan_begin_round(s);
	ownership_tick(s);
	s->cell.state = CELL_OWNED;
	s->cell.workers_accounted = true;
	s->cell.old_leases = ENDS_AT(0);
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		w->footprint_stored = w->has_answered = true;
		w->lease.earlier = ENDS_AT(0);
	}
}

static void
any_event(sched_t *s, GRand *g)
{
	int32_t n = g_rand_int_range(g, 0, 100);
	run_t *r = pick(s->runs, g);
	job_t *j = pick(s->jobs, g);

	if (n < 45 && r != NULL)
		run_event(s, r, g);
	else if (n < 65)
		worker_event(s, pick(s->workers, g), g);
	else if (n < 69 && j != NULL)
		run_end_job(s, j, SCHED__STATE__CANCELLED);
	else if (n < 70)
		lose_cell(s, g);
	else {
		set_fresh_time(
		    s, s->now_ms + ROUND_MS * g_rand_int_range(g, 0, 4));
		/* Ends of jobs are stored. */
		FOREACH_VALUE (j, s->jobs)
			if (j->stage == JOB_ENDING)
				j->stage = JOB_ENDED;
		scan_begin_round(s);
		start_waiting_tasks(s);
	}
	add_jobs(s, g);
}

static void
check_sequences(void)
{
	guint most = 0;

	for (unsigned seed = 1; seed <= SEQUENCES; seed++) {
		GRand *g = g_rand_new_with_seed(seed);
		sched_t *s = new_scene();

		for (int i = 0; i < WORKERS; i++) {
			g_autofree char *id = g_strdup_printf("w%d", i);

			new_worker(s, id);
		}
		add_jobs(s, g);
		for (int n = 0; n < EVENTS; n++) {
			any_event(s, g);
			check_workers(s, seed, n);
			cr_assert_eq(
			    check_steps(s, seed, n), s->nominations->len);
			most = MAX(most, s->nominations->len);
		}
		sched_free(s);
		g_rand_free(g);
	}
	cr_expect_geq(most, WORKERS, "%u nominations at most", most);
}

/*
 * Guards against room that stays withheld, or is given twice, as a nomination is not
 * withdrawn with what it was for.
 */
Test(nominate, what_counts_as_used_is_held_by_runs_and_nominations)
{
	check_sequences();
}

/* The same where tasks that are down take the room of those that have to wait. */
Test(nominate, what_counts_as_used_beside_workers_that_fall_silent)
{
	workers_fall_silent = true;
	check_sequences();
}

/*
 * Guards against two tasks that wait for ever for the room that each keeps from the
 * other, though either fits alone.
 */
Test(nominate, tasks_on_a_worker_do_not_wait_for_each_other)
{
	static const struct {
		const char *what;
		int64_t cpu_milli; /* that the worker has in the end */
		int32_t run;	   /* tasks that run then */
	} cases[] = {
		{ "room for both", WORKER_CPU_MILLI, 2 },
		{ "room for one", WORKER_CPU_MILLI - LASTING_MILLI, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		worker_t *w = new_worker(s, "w");
		step_t *a = add_lasting(s, 1, LASTING_MILLI),
		       *b = add_lasting(s, 1, LASTING_MILLI);
		run_t *r;

		run_lasting(s,
		    add_lasting(s, 1, WORKER_CPU_MILLI - 2 * LASTING_MILLI), 0,
		    w);
		r = run_short(s, w, 2 * LASTING_MILLI, 1000, false);
		a->tasks[0].down_since_ms = b->tasks[0].down_since_ms =
		    s->now_ms;
		a->ndown = b->ndown = 1;
		queue_add_step(s, a);
		queue_add_step(s, b);
		go_on(s, 0);
		cr_assert_eq(s->nominations->len, 2, "%s", cases[i].what);
		list_again(s, w, cases[i].cpu_milli, w->started_ms);
		run_remove(s, r);
		for (int64_t ms = 0; ms < DOWN_MAX_MS; ms += ROUND_MS)
			go_on(s, ROUND_MS);
		cr_expect_eq((a->nwaiting == 0) + (b->nwaiting == 0),
		    cases[i].run, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against a task that stays on a worker that drains until this leaves, as the
 * worker nominated for it stays full while another one has room.
 */
Test(nominate, a_worker_with_room_is_taken_before_the_nominated_one)
{
	sched_t *s = new_scene();
	worker_t *from = new_worker(s, "from"), *full = new_worker(s, "full"),
		 *other = new_worker(s, "other");
	step_t *st = add_lasting(s, 1, LASTING_MILLI);
	run_t *r = run_lasting(s, st, 0, from), *ends;

	run_short(s, full, WORKER_CPU_MILLI, 2000, false);
	ends = run_short(s, other, WORKER_CPU_MILLI, 9000, false);
	from->draining = true;
	scan_begin_round(s);
	straggler_report(s, from);
	cr_assert_eq(st->tasks[0].nominated, full);
	run_remove(s, ends);
	scan_begin_round(s);
	straggler_report(s, from);
	cr_expect_eq(r->state, RUN_STOPPING);
	cr_expect_eq(st->tasks[0].nominated, other);
	sched_free(s);
}

/*
 * Guards against one task that no worker can ever take, which ends all nominations for
 * runs on workers that drain, and all moves for fillers.
 */
Test(nominate, a_task_without_any_worker_is_in_nobodys_way)
{
	sched_t *s = new_scene();
	worker_t *from = new_worker(s, "from"), *full = new_worker(s, "full");
	step_t *st = add_lasting(s, 1, LASTING_MILLI);
	step_t *none = add_lasting(s, 1, 2 * WORKER_CPU_MILLI);

	run_lasting(s, st, 0, from);
	run_short(s, full, WORKER_CPU_MILLI, 2000, false);
	none->tasks[0].down_since_ms = s->now_ms;
	none->ndown = 1;
	queue_add_step(s, none);
	from->draining = true;
	go_on(s, 0);
	straggler_report(s, from);
	cr_expect_eq(st->tasks[0].nominated, full);
	cr_expect_eq(s->scan.unplaced_down, 0);
	sched_free(s);
}

/*
 * Guards against lasting tasks that are not started on a free worker, as another one of
 * their step is down and has to wait.
 */
Test(nominate, tasks_do_not_wait_for_one_that_may_not_start)
{
	static const struct {
		const char *what;
		int64_t delay_ms; /* of the task that is down */
		bool suspect;
		bool starts; /* the other task does at once */
	} cases[] = {
		{ "it is delayed", 2 * DOWN_MAX_MS, false, true },
		{ "it is in quarantine", 0, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		step_t *st;
		task_t *down;
		int64_t run = 1;

		new_worker(s, "w");
		st = add_lasting(s, 2, LASTING_MILLI);
		down = &st->tasks[0];
		down->down_since_ms = s->now_ms;
		st->ndown = 1;
		down->not_before_ms = s->now_ms + cases[i].delay_ms;
		if (cases[i].suspect) {
			/* No worker answers well enough for a trial. */
			down->crashes = g_new0(crashes_t, 1);
			down->crashes->runs =
			    g_array_new(FALSE, TRUE, sizeof(int64_t));
			g_array_append_val(down->crashes->runs, run);
			down->crashes->soon = true;
			down->not_before_ms = s->now_ms + 2 * DOWN_MAX_MS;
		}
		queue_add_step(s, st);
		go_on(s, 0);
		cr_expect_eq(st->tasks[1].run != NULL, cases[i].starts, "%s",
		    cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against a suspect task that is not offered quarantine, as one before it in its
 * step that had no run finds no room.
 */
Test(nominate, a_task_that_is_down_is_offered_behind_one_without_room)
{
	sched_t *s = new_scene();
	worker_t *w = new_worker(s, "w");
	step_t *st = add_lasting(s, 2, LASTING_MILLI);
	task_t *down = &st->tasks[1];
	int64_t run = 1;

	run_lasting(s, add_lasting(s, 1, WORKER_CPU_MILLI), 0, w);
	down->down_since_ms = s->now_ms;
	st->ndown = 1;
	down->crashes = g_new0(crashes_t, 1);
	down->crashes->runs = g_array_new(FALSE, TRUE, sizeof(int64_t));
	g_array_append_val(down->crashes->runs, run);
	down->crashes->soon = true;
	queue_add_step(s, st);
	go_on(s, 0);
	/* No worker had room for its trial, which is tried again soon. */
	cr_expect_gt(down->not_before_ms, s->now_ms);
	sched_free(s);
}

/* Guards against work that is stopped for a task that can't start all the same. */
Test(nominate, nothing_is_stopped_for_a_task_that_may_not_start)
{
	static const struct {
		const char *what;
		int64_t delay_ms, claim_age_ms;
		int64_t quota_used_milli; /* of twice what the task needs */
		bool stops;
	} cases[] = {
		{ "it may", 0, 0, 0, true },
		{ "it is delayed", 2 * DOWN_MAX_MS, 0, 0, false },
		{ "the owner may start nothing", 0, 2 * DOWN_MAX_MS, 0, false },
		{ "its customer has no quota left", 0, 0, 2 * LASTING_MILLI,
		    false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		sched_customer_t quota = { .name = "c",
			.weight = 1,
			.quota_cpu_milli = 2 * LASTING_MILLI,
			.quota_mem_mb = 256000 };
		worker_t *w = new_worker(s, "w");
		step_t *st = add_lasting(s, 1, LASTING_MILLI);
		run_t *r = run_short(s, w, WORKER_CPU_MILLI, 60000, false);

		st->occ->job->customer = customer_get(s, "c");
		st->tasks[0].down_since_ms = s->now_ms;
		st->ndown = 1;
		queue_add_step(s, st);
		go_on(s, 0);
		cr_assert_eq(st->tasks[0].nominated, w);
		sched_set_customers(s, &quota, 1, s->now_ms);
		customer_get(s, "c")->quota.used.cpu_milli =
		    cases[i].quota_used_milli;
		st->tasks[0].not_before_ms = s->now_ms + cases[i].delay_ms;
		for (int k = 0; k < 10; k++) {
			set_fresh_time(s, s->now_ms + ROUND_MS);
			s->cell.confirmed_ms -= cases[i].claim_age_ms;
			scan_begin_round(s);
		}
		cr_expect_eq(r->state == RUN_STOPPING, cases[i].stops, "%s",
		    cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against a task that waits for a worker on which what is in its way neither
 * ends in time nor can be stopped, while it can be on another one.
 */
Test(nominate, a_worker_that_never_gets_room_is_given_up)
{
	static const struct {
		const char *what;
		bool gang;
	} cases[] = {
		{ "work that can be stopped", false },
		{ "a gang, past its time", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		worker_t *a = new_worker(s, "a"), *b = new_worker(s, "b");
		step_t *st = add_lasting(s, 1, LASTING_MILLI);
		int64_t ms;

		run_short(s, a, WORKER_CPU_MILLI, 10, cases[i].gang);
		run_short(s, b, WORKER_CPU_MILLI, 60000, false);
		st->tasks[0].down_since_ms = s->now_ms;
		st->ndown = 1;
		queue_add_step(s, st);
		ms = wait_for(s, &st->tasks[0]);
		cr_expect_lt(ms, DOWN_MAX_MS, "%s: down for %d ms",
		    cases[i].what, (int)ms);
		sched_free(s);
	}
}

/*
 * Guards against a nomination for a worker that can't take the task any more, which
 * keeps the room there from others and the task from the next free worker.
 */
Test(nominate, a_worker_that_may_not_take_the_task_is_given_up)
{
	static const struct {
		const char *what;
		bool other_service, no_ticket, too_small, no_quota;
	} cases[] = {
		{ "another service", true, false, false, false },
		{ "no approval", false, true, false, false },
		{ "too small by now", false, false, true, false },
		{ "no quota", false, false, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		worker_t *w = new_worker(s, "w");
		step_t *st = add_lasting(s, 1, LASTING_MILLI);

		run_short(s, w, WORKER_CPU_MILLI, 60000, false);
		st->tasks[0].down_since_ms = s->now_ms;
		st->ndown = 1;
		queue_add_step(s, st);
		go_on(s, 0);
		cr_assert_eq(st->tasks[0].nominated, w);
		if (cases[i].other_service)
			st->occ->job->service = g_intern_string("other");
		st->occ->job->needs_approval = cases[i].no_ticket;
		if (cases[i].too_small)
			list_again(s, w, LASTING_MILLI - 1, w->started_ms);
		if (cases[i].no_quota) {
			st->occ->job->customer = customer_get(s, "c");
			st->occ->job->customer->quota.limit.cpu_milli =
			    LASTING_MILLI;
			st->occ->job->customer->quota.used.cpu_milli =
			    LASTING_MILLI;
		}
		scan_begin_round(s);
		cr_expect_null(st->tasks[0].nominated, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against an owner that spends its processor time on searches in vain while
 * nothing that lasting tasks need gets free.
 */
Test(nominate, needs_that_find_no_worker_are_searched_for_once_a_round)
{
	static const struct {
		const char *what;
		int64_t cpu_milli; /* of the second task, in thousandths */
		const char *label; /* of the first one */
		int32_t searches;
	} cases[] = {
		{ "as much", LASTING_MILLI, "", 1 },
		{ "more", LASTING_MILLI + 1, "", 1 },
		{ "less", LASTING_MILLI - 1, "", 2 },
		{ "as much, the first one needs a label", LASTING_MILLI, "gpu",
		    2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		worker_t *w = new_worker(s, "w");
		Sched__Step d = step_def("", LASTING_MILLI, false, 0);
		step_t *st[2];

		run_lasting(s, add_lasting(s, 1, WORKER_CPU_MILLI), 0, w);
		d.lasting = true;
		d.label = (char *)cases[i].label;
		st[0] = add_step(s, &d);
		st[1] = add_lasting(s, 1, cases[i].cpu_milli);
		for (int k = 0; k < 2; k++) {
			st[k]->tasks[0].down_since_ms = s->now_ms;
			st[k]->ndown = 1;
			queue_add_step(s, st[k]);
		}
		/* The first one is before the other in the queue. */
		st[0]->sort_key_ms = st[1]->sort_key_ms - 1;
		queue_move_step(s, st[0]);
		go_on(s, 0);
		cr_expect_eq(s->scan.nominate_searches, cases[i].searches,
		    "%s: %d searches", cases[i].what,
		    s->scan.nominate_searches);
		sched_free(s);
	}
}

#define FAILS_MS 200 /* after its start */
#define PASS_MS	 100 /* of an owner that has little processor time */
#define FAILING	 400 /* lasting tasks */
#define TRIED_MS 10000

/* All lasting runs that have been up for FAILS_MS fail, short ones end then. */
static void
fail_lasting(sched_t *s)
{
	g_autoptr(GList) all = g_hash_table_get_values(s->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->state != RUN_RUNNING ||
		    s->now_ms - r->state_since_ms < FAILS_MS)
			continue;
		if (!r->task->step->def->lasting)
			job_mark_task_done(r->task);
		run_remove(s, r);
	}
}

/*
 * Guards against short work that never starts, beside free workers, as lasting tasks
 * that fail right after each start are before it in each pass.
 */
Test(nominate, lasting_tasks_that_fail_at_once_leave_starts_to_others)
{
	static const struct {
		const char *what;
		int32_t width; /* of the lasting jobs */
	} cases[] = { { "narrow jobs", 1 }, { "wide jobs", 50 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		Sched__Step d = step_def("", 1000, false, 0);
		step_t *shorts;
		int64_t end_ms = s->now_ms + TRIED_MS;

		for (int k = 0; k < 40; k++) {
			g_autofree char *id = g_strdup_printf("w%d", k);

			new_worker(s, id);
		}
		for (int k = 0; k < FAILING / cases[i].width; k++) {
			step_t *st = add_lasting(s, cases[i].width, 1000);

			st->ndown = cases[i].width;
			for (int32_t n = 0; n < st->ntasks; n++)
				st->tasks[n].down_since_ms = s->now_ms;
			queue_add_step(s, st);
		}
		shorts = add_step(s, &d);
		queue_add_step(s, shorts);
		while (s->now_ms < end_ms && shorts->ndone == 0) {
			set_fresh_time(s, s->now_ms + PASS_MS);
			end_stopped(s);
			fail_lasting(s);
			if (s->now_ms % ROUND_MS == 0)
				scan_begin_round(s);
			start_waiting_tasks(s);
		}
		cr_expect_eq(shorts->ndone, 1, "%s: not done in %d ms",
		    cases[i].what, TRIED_MS);
		sched_free(s);
	}
}

/*
 * Guards against a task that is down and can't start once there is room on its nominated
 * worker, as its customer's quota has gone to other work.
 */
Test(nominate, the_quota_is_left_to_the_task)
{
	static const bool nominated[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(nominated); i++) {
		sched_t *s = new_scene();
		worker_t *full = new_worker(s, "full");
		customer_t *c = customer_get(s, "c");
		step_t *st = add_lasting(s, 1, LASTING_MILLI), *other;
		Sched__Step d = step_def("", LASTING_MILLI, false, 0);
		run_t *r;

		c->quota.limit.cpu_milli = LASTING_MILLI;
		c->quota.limit.mem_bytes = 1000 * 1024 * 1024 * 1024LL;
		st->occ->job->customer = c;
		r = run_lasting(s, st, 0, full);
		run_short(s, full, 54000, 60000, false);
		run_remove(s, r);
		run_short(s, full, LASTING_MILLI, 60000, false);
		if (nominated[i])
			nominate(s, &st->tasks[0], full);
		other = add_step(s, &d);
		other->occ->job->customer = c;
		queue_add_step(s, other);
		new_worker(s, "free")->service = g_intern_string("t");
		other->occ->job->service = g_intern_string("t");
		go_on(s, ROUND_MS);
		cr_expect_eq(other->nwaiting, 1, "nominated: %d", nominated[i]);
		sched_free(s);
	}
}

/*
 * Guards against room that is kept idle for a task whose run can't be stopped, as its
 * worker does not answer, while a task that is down waits for it.
 */
Test(nominate, room_is_not_kept_for_a_run_that_can_not_be_stopped)
{
	static const struct {
		const char *what;
		int32_t missed_polls; /* of the worker that is to be left */
		int32_t leaving;      /* runs there */
		int64_t milli;	      /* of the task that is down */
		bool starts, kept;    /* it, and the nominations */
		bool left;	      /* that worker is not listed any more */
	} cases[] = {
		{ "it does not answer", 1, 1, LASTING_MILLI, true, false },
		{ "two are in the way", 1, 2, 2 * LASTING_MILLI, true, false },
		{ "it has left", 0, 1, LASTING_MILLI, true, false, true },
		{ "it answers", 0, 1, LASTING_MILLI, false, true },
		{ "there is room beside it", 1, 1, WORKER_CPU_MILLI / 2, true,
		    true },
		{ "too large", 1, 1, WORKER_CPU_MILLI + 1, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_scene();
		worker_t *from = new_worker(s, "from"),
			 *to = new_worker(s, "to");
		int32_t n = cases[i].leaving;
		step_t *leaving = add_lasting(s, n, LASTING_MILLI);
		step_t *down = add_lasting(s, 1, cases[i].milli);

		run_short(s, to,
		    cases[i].milli == WORKER_CPU_MILLI / 2 ?
			0 :
			WORKER_CPU_MILLI - n * LASTING_MILLI,
		    60000, true);
		from->draining = true;
		for (int32_t k = 0; k < n; k++) {
			run_lasting(s, leaving, k, from);
			nominate(s, &leaving->tasks[k], to);
		}
		from->missed_polls = cases[i].missed_polls;
		from->listed = !cases[i].left;
		down->tasks[0].down_since_ms = s->now_ms - 1000;
		down->ndown = 1;
		queue_add_step(s, down);
		go_on(s, ROUND_MS);
		cr_expect_eq(down->tasks[0].run != NULL, cases[i].starts, "%s",
		    cases[i].what);
		cr_expect_eq(nominate_count(to, leaving), cases[i].kept ? n : 0,
		    "%s: %d", cases[i].what, nominate_count(to, leaving));
		check_workers(s, 0, (int)i);
		sched_free(s);
	}
}
