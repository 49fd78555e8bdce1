/*
 * Whether a run that failed did so by its own fault or by its worker's.
 *
 * Each failure has two sides: a task that fails everywhere, and a worker on which everything
 * fails.  The side is at fault that has failed with more of the other: a task or job that
 * has failed on more workers than jobs have failed on a worker excuses that (suspect.c), if
 * they are more than it would meet by chance.  What
 * counts is what was seen since the last time that it was sound: a run was done or, of a
 * lasting task, has been up for a while.
 */
#include <inttypes.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

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

/* That are kept of a task or job; enough for 1,000 in all. */
#define WORKERS_MAX 32
/* A task or job that has failed so often in a row, wherever, may well do so again. */
#define FAILING_MIN 3
/* Before a lasting task that fails again and again is started, doubled each time.  It is
 * to run again within 6 s, also where room has to be made for it. */
#define LASTING_DELAY_MIN_MS 100
#define LASTING_DELAY_MAX_MS 3200

/* Notes a failure on a worker; returns whether it is the first one there. */
static bool
count_failure(blame_t *b, const worker_t *w)
{
	b->failures++;
	if (b->workers == NULL)
		b->workers = g_ptr_array_new();
	if (b->workers->len == WORKERS_MAX ||
	    g_ptr_array_find(b->workers, w->id, NULL))
		return false;
	g_ptr_array_add(b->workers, (gpointer)w->id);
	return true;
}

/* On how many workers a task or job has failed. */
static guint
failed_on(const blame_t *b)
{
	return b->workers == NULL ? 0 : b->workers->len;
}

/*
 * On so many workers a sound job may fail before it is done on one: a bad worker is always
 * free, so that most of what waits goes to those that are bad.
 */
static guint
by_chance(const sched_t *s)
{
	return (guint)sqrt((double)MAX(1, s->worker_list->len) - 1);
}

/* The workers on which a task or job failed count their failures anew. */
static void
recount_workers(sched_t *s, const GPtrArray *ids)
{
	for (guint i = 0; ids != NULL && i < ids->len; i++) {
		worker_t *w =
		    g_hash_table_lookup(s->workers, g_ptr_array_index(ids, i));

		if (w != NULL)
			suspect_recount(s, w);
	}
}

/* A run of a task, which was not up, has failed on a worker. */
void
blame_run_failed(sched_t *s, task_t *t, const worker_t *w)
{
	job_t *j = t->step->occ->job;

	count_failure(&t->blame, w);
	if (count_failure(&j->blame, w) && failed_on(&j->blame) > by_chance(s))
		recount_workers(s, j->blame.workers);
	if (j->blame.failures == FAILING_MIN)
		LOG_EVENT(s, SCHED_EVT_JOB_FAILING, j->id,
		    "failures=%d workers=%u now_on=%s", j->blame.failures,
		    failed_on(&j->blame), w->id);
}

/* Forgets the failures of a task or job. */
void
blame_forget(blame_t *b)
{
	if (b->workers != NULL)
		g_ptr_array_unref(b->workers);
	*b = (blame_t){ 0 };
}

/* A run of a task is done or has been up for a while. */
void
blame_run_sound(sched_t *s, task_t *t)
{
	job_t *j = t->step->occ->job;
	blame_t job = j->blame;

	j->was_sound = true;
	if (t->blame.failures == 0 && job.failures == 0)
		return;
	blame_forget(&t->blame);
	j->blame = (blame_t){ 0 };
	if (failed_on(&job) > by_chance(s))
		recount_workers(s, job.workers);
	blame_forget(&job);
}

/* Whether a task or its job has failed on more than so many workers, and than by chance. */
bool
blame_exceeds(const task_t *t, guint n)
{
	const job_t *j = t->step->occ->job;

	n = MAX(n, by_chance(j->sched));
	return failed_on(&t->blame) > n || failed_on(&j->blame) > n;
}

bool
blame_is_failing(const task_t *t)
{
	return t->blame.failures >= FAILING_MIN ||
	    t->step->occ->job->blame.failures >= FAILING_MIN;
}

/* How long a lasting task that has failed waits before it is started again. */
int64_t
blame_delay_ms(const task_t *t)
{
	int32_t n = t->blame.failures - FAILING_MIN;

	if (n < 0)
		return 0;
	return MIN(LASTING_DELAY_MAX_MS, LASTING_DELAY_MIN_MS << MIN(n, 8));
}
