/*
 * Why a waiting task waits: the log must tell an operator each reason, and must
 * not grow with the queue.
 */
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

#define NOW_MS	    100000
#define LATE_MS	    60000 /* a job accepted so long ago is past its late limit */
#define QUIET_MS    2000  /* not below NEW_JOB_GAP_MS of starvation.c */
#define LINES_MAX   3	  /* of event 644 in a second */
#define JOB_ID	    "0000000000000001"
#define SERVING_ID  "00000000000000aa"
#define LARGE_MILLI 30000 /* of a filler that isolation keeps from workers */

/* The last load event and the events of jobs that wait. */
static struct {
	char load[2048];
	char job[LINES_MAX + 1][2048]; /* subject and fields */
	int jobs;
} logged;

static void
keep_event(void *ctx, sched_evt_t n, const char *subject, char *fields)
{
	(void)ctx;
	if (n == SCHED_EVT_LOAD)
		g_strlcpy(logged.load, fields, sizeof(logged.load));
	if (n == SCHED_EVT_JOB_WAITS) {
		int i = MIN(logged.jobs, LINES_MAX);

		g_snprintf(logged.job[i], sizeof(logged.job[i]), "%s %s",
		    subject, fields);
		logged.jobs++;
	}
	g_free(fields);
}

static void
ignore_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	(void)p;
}

/* One worker, and one step that waits. */
typedef struct {
	sched_t *s;
	worker_t *w;
	Sched__Step d;	/* of the step */
	int64_t age_ms; /* of its job */
	step_t *st;
	task_t *t; /* its first task */
} scene_t;

static worker_t *
add_worker_now(sched_t *s, const char *id)
{
	worker_t *w = add_worker(s, id);

	s->now_ms = NOW_MS;
	w->answered_ms = NOW_MS;
	return w;
}

/* An owner that may start tasks, with a worker. */
static scene_t
new_scene(void)
{
	scene_t c = { .s = new_owner(), .d = step_def("fill", 1000, false, 0) };
	cell_t *cell = &c.s->cell;

	memset(&logged, 0, sizeof(logged));
	c.s->opts.port.event = keep_event;
	c.s->now_ms = c.s->wall_ms = cell->confirmed_ms = NOW_MS;
	for (int i = 0; i < SCHED_NFEEDS; i++)
		c.s->feed_read_ms[i] = NOW_MS;
	c.w = add_worker_now(c.s, "a");
	return c;
}

/* Queues the step of a job that has had no run for so long. */
static step_t *
queue_job(sched_t *s, const char *id, const Sched__Step *d, int64_t age_ms,
    int64_t idle_ms)
{
	job_t *j = add_job(s, id, d, s->wall_ms - age_ms);
	step_t *st = first_step(j);

	st->ready = true;
	queue_add_step(s, st);
	j->idle_since_ms = s->now_ms - idle_ms;
	return st;
}

static void
queue_scene_job(scene_t *c, int64_t idle_ms)
{
	c->st = queue_job(c->s, JOB_ID, &c->d, c->age_ms, idle_ms);
	c->t = &c->st->tasks[0];
}

/* The last filler job came so long ago. */
static void
fillers_came(scene_t *c, int64_t ago_ms)
{
	c->s->filler_job_ms = c->s->now_ms - ago_ms;
}

/* Makes the job a late filler beside a serving task that bears none. */
static void
late_filler(scene_t *c)
{
	Sched__Step serve = step_def("serve", 20000, false, 10);
	step_t *st =
	    first_step(add_job(c->s, SERVING_ID, &serve, c->s->wall_ms));

	interference_restore(
	    c->s, st->image, interference_image(c->s, "fill"), 20, 1);
	add_running(c->s, st, 0, c->w);
	c->d = step_def("fill", LARGE_MILLI, true, 0);
	c->age_ms = LATE_MS;
}

static void
paused(scene_t *c)
{
	c->s->cell.paused = true;
}

static void
unseen(scene_t *c)
{
	c->s->cell.workers_accounted = false;
	c->st->occ->job->maybe_started_before = true;
}

static void
at_quota(scene_t *c)
{
	customer_t *u = customer_get(c->s, "c");

	c->st->occ->job->customer = u;
	u->quota.limit.cpu_milli = u->quota.used.cpu_milli = 1000;
}

static void
without_row(scene_t *c)
{
	c->st->occ->job->row_stored = false;
}

static void
backed_off(scene_t *c)
{
	c->t->not_before_ms = NOW_MS + 500;
}

static void
gang_of_two(scene_t *c)
{
	c->d.gang = true;
	c->d.count = 2;
}

static void
one_of_gang_runs(scene_t *c)
{
	c->t->state = TASK_RUNNING;
	c->st->nwaiting--;
}

static void
nominated(scene_t *c)
{
	nominate(c->s, c->t, c->w);
	c->w->used_mem_mb += c->w->mem_mb;
}

static void
suspect_task(scene_t *c)
{
	crash_add(c->t, 7, true);
}

static void
other_service(scene_t *c)
{
	c->w->service = g_intern_static_string("other");
}

static void
unlisted(scene_t *c)
{
	c->w->listed = false;
}

static void
drained(scene_t *c)
{
	c->w->draining = true;
}

static void
evacuated(scene_t *c)
{
	c->w->zone_evacuated = true;
}

static void
silent(scene_t *c)
{
	c->w->missed_polls = 1;
}

static void
new_worker(scene_t *c)
{
	c->w->has_answered = false;
}

static void
unknown_runs(scene_t *c)
{
	c->w->nunknown = 1;
}

static void
suspect_worker(scene_t *c)
{
	c->w->suspect = true;
	c->w->probe_after_ms = NOW_MS + 1000;
}

static void
worker_backs_off(scene_t *c)
{
	c->w->backoff_until_ms = NOW_MS + 1000;
}

static void
too_large(scene_t *c)
{
	c->d.cpu_milli = WORKER_CPU_MILLI + 1;
}

static void
too_much_memory(scene_t *c)
{
	c->d.mem_mb = c->w->mem_mb + 1;
}

static void
label(scene_t *c)
{
	c->d.label = (char *)"ssd";
}

static void
no_memory(scene_t *c)
{
	c->w->used_mem_mb = c->w->mem_mb;
}

static void
no_gpu(scene_t *c)
{
	c->d.gpu = c->w->gpu = c->w->used_gpu = 1;
}

static void
no_cpu(scene_t *c)
{
	c->w->used_cpu_milli = c->w->cpu_milli;
}

static void
one_per_worker(scene_t *c)
{
	c->d.per_worker = 1;
	c->d.count = 2;
}

static void
first_runs(scene_t *c)
{
	add_running(c->s, c->st, 0, c->w);
}

static void
unapproved(scene_t *c)
{
	c->st->occ->job->needs_approval = true;
}

static void
reserved(scene_t *c)
{
	static const task_t other;

	c->w->reserved_for = &other;
	c->w->reserved_until_ms = NOW_MS + 1000;
}

static void
kept(scene_t *c)
{
	static const step_t other;

	scan_begin_round(c->s);
	c->w->kept_round = c->s->scan.round;
	c->w->kept_for = &other;
}

static void
earlier_run(scene_t *c)
{
	char name[64];

	job_task_name(c->t, name, sizeof(name));
	run_reserve_resources(run_new(c->s, name, c->w, 1), c->t);
}

static void
suspect_and_quiet(scene_t *c)
{
	c->w->suspect = true;
	fillers_came(c, QUIET_MS);
}

static void
full_and_quiet(scene_t *c)
{
	c->w->filler_cpu_milli = PLACE_FILLER_CPU_TIMES * c->w->cpu_milli;
	fillers_came(c, QUIET_MS);
}

static void
fillers_keep_coming(scene_t *c)
{
	fillers_came(c, 300);
	/* Other late fillers have the share of starvation.c. */
	c->s->starved_runs = 1;
}

static void
two_large(scene_t *c)
{
	gang_of_two(c);
	c->d.cpu_milli = 40000;
}

/* Each reason, brought about: by the step or worker, and once it is queued. */
static const struct {
	const char *what;
	void (*before)(scene_t *), (*after)(scene_t *);
	sched_wait_reason_t want;
} cases[] = {
	{ "the owner is paused", NULL, paused, SCHED_WAIT_OWNER },
	{ "earlier runs may be unseen", NULL, unseen, SCHED_WAIT_UNSEEN_RUNS },
	{ "at its quota", NULL, at_quota, SCHED_WAIT_QUOTA },
	{ "no row yet", NULL, without_row, SCHED_WAIT_ROW },
	{ "backs off", NULL, backed_off, SCHED_WAIT_BACKOFF },
	{ "a task of the gang runs", gang_of_two, one_of_gang_runs,
	    SCHED_WAIT_GANG_RUNS },
	{ "a worker is nominated", NULL, nominated, SCHED_WAIT_NOMINATED },
	{ "suspect task", NULL, suspect_task, SCHED_WAIT_QUARANTINE },
	{ "other service", other_service, NULL, SCHED_WAIT_NO_WORKER },
	{ "unlisted", unlisted, NULL, SCHED_WAIT_LEAVING },
	{ "drained", drained, NULL, SCHED_WAIT_LEAVING },
	{ "evacuated", evacuated, NULL, SCHED_WAIT_LEAVING },
	{ "silent", silent, NULL, SCHED_WAIT_SILENT },
	{ "has not answered yet", new_worker, NULL, SCHED_WAIT_NEW_WORKER },
	{ "unknown runs", unknown_runs, NULL, SCHED_WAIT_UNKNOWN_RUNS },
	{ "suspect worker", suspect_worker, NULL, SCHED_WAIT_SUSPECT },
	{ "rejected an order", worker_backs_off, NULL, SCHED_WAIT_SUSPECT },
	{ "larger than the worker", too_large, NULL, SCHED_WAIT_TOO_LARGE },
	{ "more memory than it has", too_much_memory, NULL,
	    SCHED_WAIT_TOO_LARGE },
	{ "label", label, NULL, SCHED_WAIT_LABEL },
	{ "memory in use", no_memory, NULL, SCHED_WAIT_MEM },
	{ "accelerator in use", no_gpu, NULL, SCHED_WAIT_GPU },
	{ "processors in use", no_cpu, NULL, SCHED_WAIT_CPU },
	{ "one per worker", one_per_worker, first_runs, SCHED_WAIT_PER_WORKER },
	{ "not approved", NULL, unapproved, SCHED_WAIT_APPROVAL },
	{ "reserved", reserved, NULL, SCHED_WAIT_RESERVED },
	{ "kept", kept, NULL, SCHED_WAIT_KEPT },
	{ "can't be slowed there", late_filler, suspect_and_quiet,
	    SCHED_WAIT_CANNOT_SLOW },
	{ "no room even slowed", late_filler, full_and_quiet, SCHED_WAIT_CPU },
	{ "isolated", late_filler, fillers_keep_coming, SCHED_WAIT_ISOLATED },
	{ "an earlier run is there", NULL, earlier_run,
	    SCHED_WAIT_EARLIER_RUN },
	{ "a gang without room", two_large, NULL, SCHED_WAIT_GANG_ROOM },
};

/* Each reason is told, after any number of passes, and none is left out. */
Test(wait_reason, each_reason)
{
	bool seen[SCHED_WAIT_REASONS] = {
		[SCHED_WAIT_NONE] = true, [SCHED_WAIT_NOT_OFFERED] = true
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		scene_t c = new_scene();
		sched_wait_reason_t why;

		if (cases[i].before != NULL)
			cases[i].before(&c);
		queue_scene_job(&c, 0);
		if (cases[i].after != NULL)
			cases[i].after(&c);
		queue_resort(c.s);
		for (int k = 0; k < 3; k++) {
			start_waiting_tasks(c.s);
			why = wait_reason_of(c.s, c.st);
			cr_expect_eq(why, cases[i].want, "%s: pass %d: %s",
			    cases[i].what, k, sched_wait_reason_name(why));
		}
		seen[cases[i].want] = true;
		sched_free(c.s);
	}
	for (int i = 0; i < SCHED_WAIT_REASONS; i++)
		cr_expect(seen[i], "%s",
		    sched_wait_reason_name((sched_wait_reason_t)i));
}

/* What no pass has come to is not told an old reason. */
Test(wait_reason, old_reasons_are_not_told)
{
	scene_t c = new_scene();

	c.w->used_cpu_milli = c.w->cpu_milli;
	queue_scene_job(&c, 0);
	cr_expect_eq(wait_reason_of(c.s, c.st), SCHED_WAIT_NOT_OFFERED);
	start_waiting_tasks(c.s);
	cr_expect_eq(wait_reason_of(c.s, c.st), SCHED_WAIT_CPU);
	c.s->now_ms += 3000;
	c.s->cell.confirmed_ms = c.s->now_ms;
	for (int i = 0; i < SCHED_NFEEDS; i++)
		c.s->feed_read_ms[i] = c.s->now_ms;
	cr_expect_eq(wait_reason_of(c.s, c.st), SCHED_WAIT_NOT_OFFERED);
	sched_free(c.s);
}

/* The load event and the metrics count waiting tasks by reason. */
Test(wait_reason, load_event)
{
	scene_t c = new_scene();
	sched_stats_t stats;

	c.d.count = 3;
	c.w->used_cpu_milli = c.w->cpu_milli;
	queue_scene_job(&c, 700);
	backed_off(&c);
	queue_job(c.s, "0000000000000002", &c.d, 0, 0);
	c.d.label = (char *)"ssd";
	queue_job(c.s, "0000000000000003", &c.d, 0, 0);
	start_waiting_tasks(c.s);
	stats_log(c.s);
	stats = sched_stats(c.s);
	cr_expect_not_null(
	    strstr(logged.load, " reasons=label:3,cpu:6"), "%s", logged.load);
	cr_expect_not_null(strstr(logged.load, " longest_idle=700 "));
	cr_expect_eq(stats.waiting_tasks[SCHED_WAIT_CPU], 6);
	cr_expect_eq(stats.longest_idle_ms, 700);
	c.s->cell.state = CELL_FOLLOWING;
	stats = sched_stats(c.s);
	cr_expect_eq(stats.waiting_tasks[SCHED_WAIT_CPU], 0);
	cr_expect_eq(stats.longest_idle_ms, 0);
	sched_free(c.s);
}

/* Which jobs are logged: those that wait for long, also lasting ones. */
Test(wait_reason, jobs_that_wait_for_long)
{
	static const struct {
		const char *what;
		int64_t age_ms, idle_ms;
		bool lasting, runs, logged;
	} waits[] = {
		{ "has just come", 0, 0, false, false, false },
		{ "on time, 9.9 s", 0, 9900, false, false, false },
		{ "on time, 10 s", 0, 10000, false, false, true },
		{ "lasting, 10 s", 0, 10000, true, false, true },
		{ "past its late limit, 2.9 s", LATE_MS, 2900, false, false,
		    false },
		{ "past its late limit, 3 s", LATE_MS, 3000, false, false,
		    true },
		{ "a task of it runs", LATE_MS, 60000, false, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(waits); i++) {
		scene_t c = new_scene();

		c.w->used_mem_mb = c.w->mem_mb - 1000;
		c.d.count = 2;
		c.d.lasting = waits[i].lasting;
		c.age_ms = waits[i].age_ms;
		queue_scene_job(&c, waits[i].idle_ms);
		if (waits[i].runs)
			add_running(c.s, c.st, 0, c.w);
		c.w->used_mem_mb = c.w->mem_mb;
		queue_resort(c.s);
		start_waiting_tasks(c.s);
		stats_log(c.s);
		cr_expect_eq(logged.jobs, waits[i].logged, "%s", waits[i].what);
		sched_free(c.s);
	}
}

/* Thousands of jobs that wait, for many reasons: three lines, the longest first. */
Test(wait_reason, at_most_three_lines)
{
	static const char *const labels[] = { "", "ssd" };
	scene_t c = new_scene();

	c.w->used_cpu_milli = c.w->cpu_milli;
	for (int i = 0; i < 2000; i++) {
		g_autofree char *id = g_strdup_printf("%016d", i);
		Sched__Step d = c.d;
		step_t *st;

		d.label = (char *)labels[i % 2];
		if (i % 5 == 0)
			d.mem_mb = c.w->mem_mb + 1;
		st = queue_job(c.s, id, &d, 0, 10000 + i);
		if (i % 7 == 0)
			st->tasks[0].not_before_ms = NOW_MS + 500;
	}
	for (int k = 0; k < 40; k++)
		start_waiting_tasks(c.s);
	stats_log(c.s);
	cr_expect_eq(logged.jobs, LINES_MAX);
	cr_expect(g_str_has_prefix(logged.job[0], "0000000000001999 "), "%s",
	    logged.job[0]);
	sched_free(c.s);
}

/* Time goes on for an owner whose claim and tables are confirmed all the time. */
static void
tick_for(sched_t *s, int64_t ms)
{
	for (int64_t end_ms = s->now_ms + ms; s->now_ms < end_ms;) {
		int64_t now_ms = s->now_ms + 50;

		s->cell.confirmed_ms = now_ms;
		for (int i = 0; i < SCHED_NFEEDS; i++)
			s->feed_read_ms[i] = now_ms;
		sched_tick(s, now_ms, now_ms);
	}
}

/* A job is logged once a second, from when it is past its late limit to its start. */
Test(wait_reason, a_line_a_second_until_it_starts)
{
	scene_t c = new_scene();

	c.s->write_pending = true; /* nothing is written meanwhile */
	c.s->opts.port.poll = ignore_poll;
	c.w->poll_id = 1; /* and nothing asked */
	c.w->poll_sent_ms = c.s->now_ms;
	c.w->used_cpu_milli = c.w->cpu_milli;
	queue_scene_job(&c, 0);
	c.w->answered_ms = c.s->now_ms;
	/* It is past its late limit, 3 x 3 s less its run time, after 8 s. */
	tick_for(c.s, 7900);
	cr_expect_eq(logged.jobs, 0);
	tick_for(c.s, 7000);
	cr_expect_eq(logged.jobs, 7);
	logged.jobs = 0;
	c.w->used_cpu_milli = 0;
	tick_for(c.s, 2000);
	cr_expect_eq(c.st->nwaiting, 0);
	cr_expect_eq(logged.jobs, 0);
	cr_expect_eq(sched_stats(c.s).longest_idle_ms, 0);
	sched_free(c.s);
}

/* A job that could start and does not is told from one that can't. */
Test(wait_reason, a_task_that_could_start)
{
	scene_t c = new_scene();

	add_worker_now(c.s, "b")->draining = true;
	c.w->used_cpu_milli = c.w->cpu_milli;
	queue_scene_job(&c, 20000);
	start_waiting_tasks(c.s);
	stats_log(c.s);
	cr_expect_not_null(strstr(logged.job[0], " reason=cpu "));
	cr_expect_not_null(strstr(logged.job[0], " workers=leaving:1,cpu:1"),
	    "%s", logged.job[0]);
	c.w->used_cpu_milli = 0;
	stats_log(c.s);
	cr_expect_not_null(strstr(logged.job[1], " reason=could_start "));
	cr_expect_not_null(
	    strstr(logged.job[1], " workers=could_start:1,leaving:1"), "%s",
	    logged.job[1]);
	sched_free(c.s);
}

/*
 * A late filler job has had no run for long: the event tells which of the causes
 * that docs/incidents/starved-fillers.md considers it is.
 */
Test(wait_reason, causes_of_starved_fillers)
{
	static const struct {
		const char *what;
		void (*after)(scene_t *);
		const char *want[3];
	} causes[] = {
		{ "1: passed over while fillers keep coming",
		    fillers_keep_coming,
		    { " reason=isolated ", " may_slow=0 last_filler_job=300 ",
			" workers=isolated:1" } },
		{ "2: no pass comes to it", NULL,
		    { " reason=not_offered ", " may_slow=1 ",
			" workers=could_start:1" } },
		{ "2: its row is not stored", without_row,
		    { " reason=row ", " may_slow=1 ",
			" workers=could_start:1" } },
		{ "2: after a failed start", backed_off,
		    { " reason=backoff ", " may_slow=1 ",
			" workers=could_start:1" } },
		{ "2: suspect task", suspect_task,
		    { " reason=quarantine ", " may_slow=1 ",
			" workers=could_start:1" } },
		{ "2: suspect worker", suspect_and_quiet,
		    { " reason=cannot_slow ", " may_slow=1 ",
			" workers=cannot_slow:1" } },
		{ "2: too many slowed fillers", full_and_quiet,
		    { " reason=cpu ", " may_slow=1 ", " workers=cpu:1" } },
		{ "3: a new owner waits for workers", unseen,
		    { " reason=unseen_runs ", " may_slow=1 ",
			" workers=could_start:1" } },
		{ "3: the owner does not reach its workers", silent,
		    { " reason=silent ", " may_slow=1 ",
			" workers=silent:1" } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		scene_t c = new_scene();

		late_filler(&c);
		queue_scene_job(&c, 105000);
		fillers_came(&c, QUIET_MS);
		if (causes[i].after != NULL)
			causes[i].after(&c);
		queue_resort(c.s);
		if (causes[i].after != NULL)
			start_waiting_tasks(c.s);
		stats_log(c.s);
		cr_assert_eq(logged.jobs, 1, "%s", causes[i].what);
		for (size_t k = 0; k < G_N_ELEMENTS(causes[i].want); k++)
			cr_expect_not_null(
			    strstr(logged.job[0], causes[i].want[k]), "%s: %s",
			    causes[i].what, logged.job[0]);
		sched_free(c.s);
	}
}

/* docs/EVENTS.md has each reason. */
Test(wait_reason, page)
{
	g_autofree char *text = NULL;

	cr_assert(g_file_get_contents("docs/EVENTS.md", &text, NULL, NULL));
	for (int i = 0; i < SCHED_WAIT_REASONS; i++) {
		const char *name =
		    sched_wait_reason_name((sched_wait_reason_t)i);
		g_autofree char *row = g_strdup_printf("`%s`", name);

		cr_assert_not_null(name);
		cr_expect_not_null(strstr(text, row), "%s", name);
	}
}
