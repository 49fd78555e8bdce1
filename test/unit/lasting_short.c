/*
 * Short work beside lasting tasks, once those that were down are up again.
 */
#include <stdbool.h>
#include <stdint.h>

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
#include "sched_fixture.h"
#include "lasting_scene.h"

#define PER_WORKER   5 /* lasting tasks */
#define SHORT_MILLI  4000
#define SHORT_WIDTH  6	  /* tasks of a job */
#define SETTLE_MS    4000 /* before workers are lost */
#define AWAY_MS	     4000 /* until they are back */
#define BACK_MAX_MS  10000
#define NEW_EVERY_MS 200 /* a new lasting job comes */
/* The wait of short jobs is to be as before after this time, and is measured for that. */
#define RECOVERY_MS 3000
#define WATCHED_MS  3000

/*
 * Workers are lost and come back; time goes on until all lasting tasks are up.  New
 * lasting jobs come meanwhile.
 */
static void
lose_workers(scene_t *c, int new_lasting)
{
	int64_t from_ms = c->s->now_ms;

	for (guint i = 0; i < WORKERS / 3; i++)
		scene_begin_event(c, THEY_ARE_LOST, i);
	while (c->s->now_ms < from_ms + AWAY_MS || scene_count_down(c) > 0) {
		cr_assert_lt(c->s->now_ms, from_ms + BACK_MAX_MS);
		if (c->s->now_ms == from_ms + AWAY_MS)
			for (guint i = 0; i < WORKERS / 3; i++)
				scene_worker(c, i)->listed = true;
		if (new_lasting > 0 && c->s->now_ms % NEW_EVERY_MS == 0) {
			scene_add_new_lasting(c);
			new_lasting--;
		}
		scene_step(c);
	}
}

/* The same time passes without that. */
static void
lose_none(scene_t *c, int new_lasting, int64_t time_ms)
{
	for (int64_t ms = 0; ms < time_ms; ms += STEP_MS) {
		if (new_lasting > 0 && c->s->now_ms % NEW_EVERY_MS == 0) {
			scene_add_new_lasting(c);
			new_lasting--;
		}
		scene_step(c);
	}
}

static void
pass(scene_t *c, int64_t time_ms)
{
	lose_none(c, 0, time_ms);
}

/* The mean wait of the short jobs that wait RECOVERY_MS later. */
static int64_t
wait_later(scene_t *c)
{
	pass(c, RECOVERY_MS);
	scene_watch_waits(c);
	pass(c, WATCHED_MS);
	return scene_mean_wait_ms(c);
}

/*
 * Guards against short work that waits for long after lasting tasks were down, as new ones
 * took the room that it needs for its backlog.
 */
Test(lasting_short, its_wait_is_back_in_time)
{
	static const struct {
		const char *what;
		int new_lasting; /* jobs that come from the event on */
		int64_t every_ms;
	} cases[] = {
		{ "no new lasting jobs", 0, 150 },
		{ "some", 12, 150 },
		{ "more", 16, 150 },
		{ "many", 20, 150 },
		{ "less short work, many", 20, 180 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		scene_opts_t o = { .per_worker = PER_WORKER,
			.width = 15,
			.short_milli = SHORT_MILLI,
			.short_width = SHORT_WIDTH,
			.short_every_ms = cases[i].every_ms };
		scene_t c = scene_new(&o), control = scene_new(&o);
		int64_t from_ms = c.s->now_ms + SETTLE_MS, after, before;

		pass(&c, SETTLE_MS);
		lose_workers(&c, cases[i].new_lasting);
		pass(&control, SETTLE_MS);
		lose_none(
		    &control, cases[i].new_lasting, c.s->now_ms - from_ms);
		after = wait_later(&c);
		before = wait_later(&control);
		cr_expect_leq(after, before + ROUND_MS, "%s: %d ms, not %d",
		    cases[i].what, (int)after, (int)before);
		scene_free(&c);
		scene_free(&control);
	}
}

/*
 * Guards against new lasting tasks that pass all short work, as another of their step is
 * down, which has to wait for something else than room.
 */
Test(lasting_short, a_new_task_does_not_pass_it_with_one_that_is_down)
{
	static const struct {
		const char *what;
		int64_t age_ms; /* of the lasting job */
		bool passes;
	} cases[] = {
		{ "it waits", 0, false },
		{ "not for long", 5000, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		scene_t c = { .s = s };
		Sched__Step d = step_def("", LASTING_MILLI, false, 0);
		worker_t *w = add_worker(s, "w");
		step_t *lasting, *other;

		set_fresh_time(s, 100000);
		w->used_cpu_milli = WORKER_CPU_MILLI;
		other = scene_add_step(&c, &d);
		d.lasting = true;
		d.count = 2;
		s->wall_ms -= cases[i].age_ms;
		lasting = scene_add_step(&c, &d);
		s->wall_ms += cases[i].age_ms;
		lasting->tasks[0].down_since_ms = s->now_ms;
		lasting->tasks[0].not_before_ms = s->now_ms + 10000;
		lasting->ndown = 1;
		queue_add_step(s, lasting);
		queue_add_step(s, other);
		scan_begin_round(s);
		start_waiting_tasks(s);
		w->used_cpu_milli -= LASTING_MILLI;
		set_fresh_time(s, s->now_ms + ROUND_MS);
		scan_begin_round(s);
		start_waiting_tasks(s);
		cr_expect_eq(other->nwaiting, cases[i].passes, "%s: short",
		    cases[i].what);
		cr_expect_eq(lasting->nwaiting, 2 - cases[i].passes,
		    "%s: lasting", cases[i].what);
		sched_free(s);
	}
}
