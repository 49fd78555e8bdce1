/*
 * Waiting work that is passed over for the sake of other work, and must not be for
 * ever.
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
#include "sched_fixture.h"

#define NOW_MS	 100000
#define LATE_MS	 60000 /* a job accepted so long ago is past its late limit */
#define IDLE_MS	 20000 /* that a job has had no run */
#define QUIET_MS 2000  /* not below NEW_JOB_GAP_MS of starvation.c */

/* The last request for approval. */
static struct {
	uint64_t id;
	size_t nworkers;
} asked;

static void
record_approval_request(void *ctx, const sched_approval_request_t *a)
{
	(void)ctx;
	asked.id = a->id;
	asked.nworkers = a->nworkers;
}

/* An owner that may start tasks, with n workers. */
static sched_t *
owner_of(int n)
{
	sched_t *s = new_owner();

	memset(&asked, 0, sizeof(asked));
	s->opts.port.request_approval = record_approval_request;
	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("w%d", i);

		add_worker(s, id);
	}
	s->now_ms = s->wall_ms = NOW_MS;
	return s;
}

static worker_t *
worker(sched_t *s, guint i)
{
	return g_ptr_array_index(s->worker_list, i);
}

/* Queues the step of a job; late: past its limit, without a run for long. */
static step_t *
queue_job(sched_t *s, int number, const Sched__Step *d, bool late)
{
	g_autofree char *id = g_strdup_printf("%016d", number);
	job_t *j = add_job(s, id, d, s->wall_ms - (late ? LATE_MS : 0));
	step_t *st = first_step(j);

	st->ready = true;
	queue_add_step(s, st);
	j->idle_since_ms = s->now_ms - (late ? IDLE_MS : 0);
	return st;
}

/*
 * Gives a worker a serving task; headroom that it loses to a filler of an image
 * that uses the whole worker: harm.
 */
static void
serve(sched_t *s, worker_t *w, int number, const char *filler, double harm)
{
	g_autofree char *id = g_strdup_printf("%016d", number);
	g_autofree char *image = g_strdup_printf("serve%d", number);
	Sched__Step d = step_def(image, 20000, false, 10);
	step_t *st = first_step(add_job(s, id, &d, s->wall_ms));

	interference_restore(
	    s, st->image, interference_image(s, filler), harm, 2);
	add_running(s, st, 0, w);
}

/* A pass after no filler job has come for a while. */
static void
quiet_pass(sched_t *s)
{
	s->now_ms += QUIET_MS;
	s->wall_ms += QUIET_MS;
	queue_resort(s);
	scan_begin_round(s);
	start_waiting_tasks(s);
}

/*
 * Guards against a late filler that waits for good, as it needs approval, and none is
 * asked for where it could only run slowed.
 */
Test(passed_over, a_late_filler_that_needs_approval_starts_slowed)
{
	static const struct {
		const char *what;
		bool late, suspect;
		size_t nworkers; /* that approval is asked for */
		int32_t starts;
	} cases[] = {
		{ "late", true, false, 1, 1 },
		{ "in time", false, false, 0, 0 },
		{ "on a suspect worker", true, true, 0, 0 },
	};
	static const sched_ticket_t approved[] = { { "w0", "t" } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(1);
		Sched__Step d = step_def("fill", 30000, true, 0);
		sched_approval_t a = { approved, 1, 3000 };
		step_t *st;

		serve(s, worker(s, 0), 100, "fill", 20);
		worker(s, 0)->suspect = cases[i].suspect;
		st = queue_job(s, 1, &d, cases[i].late);
		st->occ->job->needs_approval = true;
		quiet_pass(s);
		cr_expect_eq(
		    asked.nworkers, cases[i].nworkers, "%s", cases[i].what);
		if (asked.nworkers > 0)
			sched_approval_done(s, asked.id, &a, s->now_ms + 40);
		start_waiting_tasks(s);
		cr_expect_eq(st->ntasks - st->nwaiting, cases[i].starts,
		    "%s: %d starts", cases[i].what, st->ntasks - st->nwaiting);
		sched_free(s);
	}
}

/*
 * Guards against late filler jobs without a run after an overload, as the others
 * have taken twice the processors of each worker.
 */
Test(passed_over, each_late_filler_has_a_run_once_no_jobs_come)
{
	sched_t *s = owner_of(1);
	Sched__Step d = step_def("", 1000, true, 0);
	step_t *st = queue_job(s, 1, &d, true);

	worker(s, 0)->filler_cpu_milli = 2 * WORKER_CPU_MILLI;
	start_waiting_tasks(s);
	cr_expect_eq(st->nwaiting, 1, "while jobs come");
	quiet_pass(s);
	cr_expect_eq(st->nwaiting, 0);
	sched_free(s);
}

/*
 * Guards against late fillers that wait anew after each change of the owner, which
 * took all jobs that it loaded for ones that had just come.
 */
Test(passed_over, a_new_owner_knows_that_no_filler_jobs_come)
{
	static const struct {
		const char *what;
		int64_t age_ms;
		int32_t starts;
	} cases[] = {
		{ "all came long ago", LATE_MS, 1 },
		{ "one has just come", 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(1);
		Sched__Step d = step_def("fill", 30000, true, 0);
		step_t *st;

		serve(s, worker(s, 0), 100, "fill", 20);
		s->cell.state = CELL_LOADING;
		add_job(
		    s, "00000000000000ff", &d, s->wall_ms - cases[i].age_ms);
		st = queue_job(s, 1, &d, true);
		s->cell.state = CELL_OWNED;
		/* Others have the share of late fillers while jobs come. */
		s->starved_runs = 1;
		queue_resort(s);
		scan_begin_round(s);
		start_waiting_tasks(s);
		cr_expect_eq(st->ntasks - st->nwaiting, cases[i].starts, "%s",
		    cases[i].what);
		sched_free(s);
	}
}

#define STEP_MS	   50
#define ROUND_MS   250
#define SMALL_MS   800 /* that a task of the stream runs */
#define ARRIVAL_MS 200 /* between two of its jobs */
#define WAIT_MS	   60000

/* Makes a pass, after a while. */
static void
advance_rounds(sched_t *s)
{
	s->now_ms += STEP_MS;
	s->wall_ms += STEP_MS;
	if (s->now_ms % ROUND_MS == 0) {
		queue_resort(s);
		scan_begin_round(s);
	}
	start_waiting_tasks(s);
}

/* Ends the runs of the stream that are due to, and makes a pass. */
static void
advance(sched_t *s, const step_t *large)
{
	g_autoptr(GList) all = g_hash_table_get_values(s->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->task->step == large ||
		    s->now_ms - r->state_since_ms < SMALL_MS)
			continue;
		job_mark_task_done(r->task);
		run_remove(s, r);
	}
	advance_rounds(s);
}

/* Small tasks, each a quarter of a worker, keep two workers full. */
typedef struct {
	bool filler; /* all tasks are */
	bool late, gang, lasting;
	int64_t cpu_milli, mem_mb; /* of a large task */
	int64_t small_cpu_milli, small_mem_mb;
} stream_t;

/* Whether large work starts within a time while small tasks keep coming. */
static bool
starts_beside(const stream_t *c, int64_t wait_ms)
{
	sched_t *s = owner_of(2);
	Sched__Step small = step_def("", c->small_cpu_milli, c->filler, 0);
	Sched__Step large = step_def("", c->cpu_milli, c->filler, 0);
	step_t *st = NULL;
	bool started;

	small.mem_mb = c->small_mem_mb;
	large.mem_mb = c->mem_mb;
	large.gang = c->gang;
	large.lasting = c->lasting;
	large.count = large.gang ? 2 : 1;
	for (int n = 1; s->now_ms < NOW_MS + SMALL_MS + wait_ms &&
	     (st == NULL || st->nwaiting > 0);) {
		for (int k = 0; s->now_ms % ARRIVAL_MS == 0 && k < 2; k++)
			queue_job(s, n++, &small, false);
		/* Small ones run everywhere when it comes. */
		if (st == NULL && s->now_ms == NOW_MS + SMALL_MS)
			st = queue_job(s, 0, &large, c->late);
		advance(s, st);
	}
	started = st->nwaiting == 0;
	sched_free(s);
	return started;
}

/* Guards against a short task past its late limit for which no room is kept. */
Test(passed_over, a_large_late_task_starts_while_small_ones_come)
{
	static const stream_t c = { .late = true,
		.cpu_milli = 40000,
		.mem_mb = 1000,
		.small_cpu_milli = 16000,
		.small_mem_mb = 1000 };

	cr_expect(starts_beside(&c, WAIT_MS));
}

/* Callers see a lasting task down for good if it is for so long beside free room. */
#define LASTING_DOWN_MS 6000

/* Guards against a lasting task that smaller work keeps down, as it takes each gap. */
Test(passed_over, a_large_lasting_task_starts_while_small_ones_come)
{
	static const stream_t c = { .lasting = true,
		.cpu_milli = 40000,
		.mem_mb = 1000,
		.small_cpu_milli = 16000,
		.small_mem_mb = 1000 };

	cr_expect(starts_beside(&c, LASTING_DOWN_MS));
}

/* Guards against a gang in time for which no room is kept. */
Test(passed_over, a_gang_starts_while_small_tasks_come)
{
	static const stream_t c = { .gang = true,
		.cpu_milli = 40000,
		.mem_mb = 1000,
		.small_cpu_milli = 16000,
		.small_mem_mb = 1000 };

	cr_expect(starts_beside(&c, WAIT_MS));
}

/* Guards against a late filler that never finds the memory, though slowed. */
Test(passed_over, a_late_filler_of_much_memory_starts_while_small_ones_come)
{
	static const stream_t c = { .filler = true,
		.late = true,
		.cpu_milli = 1000,
		.mem_mb = 160000,
		.small_cpu_milli = 1000,
		.small_mem_mb = 64000 };

	cr_expect(starts_beside(&c, WAIT_MS));
}

/* Callers of lasting tasks need them back within this time if there is room. */
#define LASTING_BACK_MS 4000
#define LONG_RUN_MS	20000 /* that the run beside the gap takes */

#define GAPS	     2	/* workers with room for the lasting task */
#define MANY_WORKERS 16 /* so many that GAPS of them may be held */

/*
 * Guards against a lasting task that stays down beside room for it twice over that is
 * held for larger tasks, as its worker has crashed and it starts in quarantine.
 */
Test(passed_over, a_suspect_lasting_task_is_not_kept_waiting_by_held_room)
{
	static const bool suspect[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(suspect); i++) {
		sched_t *s = owner_of(MANY_WORKERS);
		Sched__Step lasting = step_def("", 16000, false, 0);
		Sched__Step beside = step_def("", 48000, false, 0);
		Sched__Step large = step_def("", WORKER_CPU_MILLI, false, 0);
		step_t *st;

		lasting.lasting = true;
		large.count = beside.count = GAPS;
		large.estimate_ms = beside.estimate_ms = LONG_RUN_MS;
		st = queue_job(s, 1, &beside, false);
		queue_remove_step(st);
		for (int k = 0; k < MANY_WORKERS; k++)
			if (k >= GAPS)
				worker(s, k)->used_cpu_milli = WORKER_CPU_MILLI;
			else
				add_running(s, st, k, worker(s, k))
				    ->first_seen_percent = 1;
		queue_job(s, 2, &large, false);
		scan_begin_round(s);
		start_waiting_tasks(s);
		for (int k = 0; k < GAPS; k++)
			cr_assert_eq(worker(s, k)->kept_round, s->scan.round);
		st = queue_job(s, 3, &lasting, false);
		if (suspect[i])
			crash_add(&st->tasks[0], 7, true);
		while (s->now_ms < NOW_MS + LASTING_BACK_MS) {
			for (int k = 0; k < GAPS; k++)
				worker(s, k)->answered_ms = s->now_ms + STEP_MS;
			st->occ->job->rows_stored = st->occ->job->rows_packed;
			if (st->occ->job->dirty)
				st->occ->job->rows_stored =
				    ++st->occ->job->rows_packed;
			advance_rounds(s);
		}
		cr_expect_eq(st->nwaiting, 0, "suspect: %d", suspect[i]);
		sched_free(s);
	}
}

#define QUOTA_MILLI 20000

/*
 * Guards against a large late task that its customer's smaller ones in time keep from
 * the quota for as long as they come.
 */
Test(passed_over, a_late_task_of_much_of_its_quota_starts_while_small_ones_come)
{
	sched_t *s = owner_of(2);
	Sched__Step small = step_def("", QUOTA_MILLI / 4, false, 0);
	Sched__Step large = step_def("", QUOTA_MILLI * 3 / 4, false, 0);
	customer_t *c = customer_get(s, "c");
	step_t *st = NULL;

	c->quota.limit = (ts_res_t){ .cpu_milli = QUOTA_MILLI };
	for (int n = 1; s->now_ms < NOW_MS + WAIT_MS &&
	     (st == NULL || st->nwaiting > 0);) {
		if (s->now_ms % ARRIVAL_MS == 0)
			queue_job(s, n++, &small, false)->occ->job->customer =
			    c;
		if (st == NULL && s->now_ms == NOW_MS + SMALL_MS) {
			st = queue_job(s, 0, &large, true);
			st->occ->job->customer = c;
		}
		advance(s, st);
	}
	cr_expect_eq(st->nwaiting, 0, "used %d", (int)c->quota.used.cpu_milli);
	sched_free(s);
}

/*
 * Guards against a step that can't start anywhere and has the quota reserved again and
 * again, so that another one of its customer never does.
 */
Test(passed_over, a_step_without_a_worker_does_not_keep_the_quota)
{
	static const struct {
		const char *what;
		const char *label;
		int64_t milli;
	} cases[] = {
		{ "no worker has its label", "none", QUOTA_MILLI / 10 },
		{ "the same, large", "none", QUOTA_MILLI / 2 },
		{ "all its workers are taken", "w1", QUOTA_MILLI / 10 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_of(2);
		Sched__Step small = step_def("", QUOTA_MILLI / 4, false, 0);
		Sched__Step large = step_def("", QUOTA_MILLI * 3 / 4, false, 0);
		Sched__Step other = step_def("", cases[i].milli, false, 0);
		customer_t *c = customer_get(s, "c");
		step_t *st = NULL;

		c->quota.limit = (ts_res_t){ .cpu_milli = QUOTA_MILLI };
		other.label = (char *)cases[i].label;
		g_ptr_array_add(worker(s, 1)->labels, (void *)"w1");
		worker(s, 1)->used_cpu_milli = WORKER_CPU_MILLI;
		queue_job(s, 999999, &other, true)->occ->job->customer = c;
		for (int n = 1; s->now_ms < NOW_MS + WAIT_MS &&
		     (st == NULL || st->nwaiting > 0);) {
			if (s->now_ms % ARRIVAL_MS == 0)
				queue_job(s, n++, &small, false)
				    ->occ->job->customer = c;
			if (st == NULL && s->now_ms == NOW_MS + SMALL_MS) {
				st = queue_job(s, 0, &large, true);
				st->occ->job->customer = c;
			}
			advance(s, st);
		}
		cr_expect_eq(st->nwaiting, 0, "%s", cases[i].what);
		sched_free(s);
	}
}

/*
 * Guards against a filler in time that waits for its quota until it is late, as
 * its customer's smaller ones behind it in the queue keep the quota full.
 */
Test(passed_over, a_filler_of_much_of_its_quota_starts_in_time)
{
	sched_t *s = owner_of(2);
	Sched__Step small = step_def("", QUOTA_MILLI / 4, true, 0);
	Sched__Step large = step_def("", QUOTA_MILLI * 3 / 4, true, 0);
	customer_t *c = customer_get(s, "c");
	step_t *st = NULL;

	large.estimate_ms = 10000;
	small.estimate_ms = 30000; /* the large one is before them */
	c->quota.limit = (ts_res_t){ .cpu_milli = QUOTA_MILLI };
	for (int n = 1; s->now_ms < NOW_MS + WAIT_MS &&
	     (st == NULL || st->nwaiting > 0);) {
		if (s->now_ms % ARRIVAL_MS == 0)
			queue_job(s, n++, &small, false)->occ->job->customer =
			    c;
		if (st == NULL && s->now_ms == NOW_MS + SMALL_MS) {
			st = queue_job(s, 0, &large, false);
			st->occ->job->customer = c;
		}
		advance(s, st);
		if (st != NULL && st->misses_target)
			break;
	}
	cr_expect_eq(st->nwaiting, 0, "after %d ms",
	    (int)(s->now_ms - NOW_MS - SMALL_MS));
	sched_free(s);
}
