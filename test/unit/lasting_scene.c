/*
 * A cell of lasting tasks and short work; see lasting_scene.h.
 */
#include <stdbool.h>
#include <stdint.h>

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
#include "sched_fixture.h"
#include "lasting_scene.h"

#define STOP_MS 500 /* until a stopped run has ended */

worker_t *
scene_worker(const scene_t *c, guint i)
{
	return g_ptr_array_index(c->s->worker_list, i);
}

step_t *
scene_add_step(scene_t *c, const Sched__Step *d)
{
	g_autofree char *id = g_strdup_printf("%016d", ++c->next_job);
	step_t *st = first_step(add_job(c->s, id, d, c->s->wall_ms));

	st->ready = true;
	return st;
}

/* Lasting jobs of some tasks each, spread over all workers. */
static void
add_lasting(scene_t *c)
{
	Sched__Step d = step_def("", LASTING_MILLI, false, 0);
	int width = c->opts.width, left = 0;
	step_t *st = NULL;

	d.lasting = true;
	d.count = width;
	for (int i = 0; i < WORKERS * c->opts.per_worker; i++) {
		if (left == 0) {
			st = scene_add_step(c, &d);
			g_ptr_array_add(c->lasting, st);
			left = width;
		}
		add_running(c->s, st, width - left--,
		    scene_worker(c, (guint)(i % WORKERS)))
		    ->first_seen_ms = 1;
	}
}

static void
add_short_job(scene_t *c)
{
	Sched__Step d = step_def("", c->opts.short_milli, false, 0);
	step_t *st;

	d.count = c->opts.short_width;
	d.estimate_ms = SHORT_MS;
	st = scene_add_step(c, &d);
	queue_add_step(c->s, st);
	g_ptr_array_add(c->waiting, st);
}

/* Short jobs, so that some always wait, or one after each interval. */
static void
add_short(scene_t *c)
{
	if (c->opts.short_every_ms > 0) {
		if (c->s->now_ms % c->opts.short_every_ms == 0)
			add_short_job(c);
		return;
	}
	while (g_sequence_get_length(c->s->ready_steps) < 20)
		add_short_job(c);
}

static void
end_run(scene_t *c, run_t *r)
{
	c->ended += r->task->step->def->lasting;
	run_remove(c->s, r);
}

void
scene_end_runs(scene_t *c)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->s->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;
		int64_t age = c->s->now_ms - r->state_since_ms;

		if (r->state == RUN_STARTING)
			run_order_done(c->s, r, SCHED_ORDER_OK, 0);
		else if (r->state == RUN_STOPPING && age >= STOP_MS)
			end_run(c, r);
		else if (r->state == RUN_RUNNING &&
		    !r->task->step->def->lasting && age >= SHORT_MS) {
			job_mark_task_done(r->task);
			run_remove(c->s, r);
		}
	}
}

/* Ends all runs on a worker, of short work too if the worker is lost. */
static void
end_all_on(scene_t *c, worker_t *w, bool lost)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (GList *i = all; i != NULL; i = i->next)
		if (lost || ((run_t *)i->data)->task->step->def->lasting)
			end_run(c, i->data);
}

void
scene_begin_event(scene_t *c, scene_event_t e, guint i)
{
	worker_t *w = scene_worker(c, i);

	if (e == THEIR_RUNS_FAIL)
		end_all_on(c, w, false);
	else if (e == THEY_ARE_LOST) {
		w->listed = false;
		end_all_on(c, w, true);
	} else
		w->draining = true;
}

void
scene_leave(scene_t *c, guint i)
{
	if (!scene_worker(c, i)->draining)
		return;
	scene_worker(c, i)->listed = false;
	end_all_on(c, scene_worker(c, i), true);
}

/* Notes how long each lasting task has been down. */
static void
look(scene_t *c)
{
	int n = 0;

	for (guint i = 0; i < c->lasting->len; i++) {
		const step_t *st = g_ptr_array_index(c->lasting, i);

		for (int32_t k = 0; k < st->ntasks; k++, n++) {
			if (st->tasks[k].run != NULL) {
				c->since_ms[n] = 0;
				continue;
			}
			if (c->since_ms[n] == 0)
				c->since_ms[n] = c->s->now_ms;
			c->longest_ms =
			    MAX(c->longest_ms, c->s->now_ms - c->since_ms[n]);
		}
	}
}

/* Notes the waits of the short jobs whose tasks have all started. */
static void
note_waits(scene_t *c)
{
	for (guint i = c->waiting->len; i-- > 0;) {
		const step_t *st = g_ptr_array_index(c->waiting, i);

		if (st->nwaiting > 0)
			continue;
		c->started++;
		c->waits_ms += c->s->wall_ms - st->occ->due_wall_ms;
		g_ptr_array_remove_index_fast(c->waiting, i);
	}
}

void
scene_step(scene_t *c)
{
	sched_t *s = c->s;

	set_fresh_time(s, s->now_ms + STEP_MS);
	scene_end_runs(c);
	add_short(c);
	for (guint i = 0; i < WORKERS; i++)
		if (scene_worker(c, i)->listed)
			straggler_report(s, scene_worker(c, i));
	if (s->now_ms % ROUND_MS == 0) {
		queue_resort(s);
		scan_begin_round(s);
	}
	start_waiting_tasks(s);
	look(c);
	note_waits(c);
}

int
scene_count_down(const scene_t *c)
{
	int n = 0;

	for (guint i = 0; i < c->lasting->len; i++)
		n += ((step_t *)g_ptr_array_index(c->lasting, i))->nwaiting;
	return n;
}

step_t *
scene_add_new_lasting(scene_t *c)
{
	Sched__Step d = step_def("", LASTING_MILLI, false, 0);
	step_t *st;

	d.lasting = true;
	st = scene_add_step(c, &d);
	queue_add_step(c->s, st);
	return st;
}

void
scene_watch_waits(scene_t *c)
{
	c->started = 0;
	c->waits_ms = 0;
}

/* Those that wait yet count with the time until now. */
int64_t
scene_mean_wait_ms(const scene_t *c)
{
	int64_t sum = c->waits_ms;
	int n = c->started + (int)c->waiting->len;

	for (guint i = 0; i < c->waiting->len; i++) {
		const step_t *st = g_ptr_array_index(c->waiting, i);

		sum += c->s->wall_ms - st->occ->due_wall_ms;
	}
	return n == 0 ? 0 : sum / n;
}

scene_t
scene_new(const scene_opts_t *o)
{
	scene_t c = { .opts = *o,
		.s = new_owner(),
		.lasting = g_ptr_array_new(),
		.waiting = g_ptr_array_new(),
		.since_ms = g_new0(int64_t, WORKERS * o->per_worker) };

	set_fresh_time(c.s, 100000);
	for (int i = 0; i < WORKERS; i++) {
		g_autofree char *id = g_strdup_printf("w%02d", i);

		add_worker(c.s, id);
	}
	add_lasting(&c);
	return c;
}

void
scene_free(scene_t *c)
{
	g_ptr_array_free(c->lasting, TRUE);
	g_ptr_array_free(c->waiting, TRUE);
	g_free(c->since_ms);
	sched_free(c->s);
}
