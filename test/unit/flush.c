/*
 * Writes of an owner: within the limits of the store, and what one that is rejected
 * all the same keeps from being stored.
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
#include "sched_fixture.h"
#include "cell_store.h"

#define JOBS	     60
#define TICK_MS	     25
#define USUAL_MS     1000 /* within that the rows of jobs are stored */
#define RENEWAL_LATE 1200 /* ms; the other entries suspect the owner then */

static const char *
job_id(int32_t i)
{
	static char id[SCHED_JOB_ID_BYTES + 1];

	g_snprintf(id, sizeof(id), "%016x", 0xa0000 + i);
	return id;
}

/* Adds jobs of ten tasks, one of them done. */
static void
add_jobs(sched_t *s, int32_t n)
{
	Sched__Step st = step_def("", 500, false, 0);

	st.count = 10;
	for (int32_t i = 0; i < n; i++) {
		job_t *j = add_job(s, job_id(i), &st, 0);

		job_mark_task_done(&first_step(j)->tasks[0]);
		flush_mark_job(s, j);
	}
}

/* Adds a worker that is to be stored; returns the key of its row, to be freed. */
static char *
add_new_worker(sched_t *s)
{
	worker_t *w = add_worker(s, "w");

	w->footprint_stored = false;
	return g_strdup_printf(SCHED_KEY_FOOTPRINT ".%02d", w->footprint_row);
}

static int32_t
stored_jobs(const cell_store_t *c, int32_t n)
{
	int32_t stored = 0;

	for (int32_t i = 0; i < n; i++) {
		g_autofree char *key =
		    g_strconcat(job_id(i), SCHED_KEY_PROGRESS, NULL);

		stored += g_hash_table_contains(c->rows, key);
	}
	return stored;
}

/*
 * Guards against LOST (review/1): a row that the store rejects kept the renewal of
 * the claim and the rows of all other jobs from being stored, for ever.
 */
Test(flush, a_rejected_row_keeps_no_other_from_being_stored)
{
	static const struct {
		const char *what;
		int32_t job; /* whose row is rejected; -1: that of a worker */
		int32_t jobs, stored;
	} cases[] = {
		{ "the first job", 0, JOBS, JOBS - 1 },
		{ "one of them", 23, JOBS, JOBS - 1 },
		{ "the last job", JOBS - 1, JOBS, JOBS - 1 },
		{ "the only job", 0, 1, 0 },
		{ "that of a worker", -1, JOBS, JOBS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *key = NULL;
		int64_t renewed = 1000, longest = 0, now;
		int64_t version = 0;
		cell_store_t c;

		cell_store_init(&c);
		key = cases[i].job < 0 ?
		    add_new_worker(c.sched) :
		    g_strconcat(job_id(cases[i].job), SCHED_KEY_PROGRESS, NULL);
		c.refused_key = key;
		c.refused_above = 8;
		add_jobs(c.sched, cases[i].jobs);
		for (now = 1000; now <= 1000 + USUAL_MS; now += TICK_MS) {
			cell_store_tick(&c, now);
			if (c.version != version)
				renewed = now;
			version = c.version;
			longest = MAX(longest, now - renewed);
		}
		cr_expect_gt(c.refused, 0, "%s", cases[i].what);
		cr_expect_eq(stored_jobs(&c, cases[i].jobs), cases[i].stored,
		    "%s: %d jobs stored of %d", cases[i].what,
		    stored_jobs(&c, cases[i].jobs), cases[i].jobs);
		cr_expect_lt(longest, RENEWAL_LATE,
		    "%s: not renewed for %" PRId64 " ms", cases[i].what,
		    longest);
		cell_store_clear(&c);
	}
}

/* A job whose row is rejected again and again fails, so that its end is stored. */
Test(flush, a_job_that_can_not_be_stored_fails)
{
	g_autofree char *key = g_strconcat(job_id(1), SCHED_KEY_PROGRESS, NULL);
	Sched__Progress *p;
	cell_store_t c;
	worker_t *w;

	cell_store_init(&c);
	c.refused_key = key;
	c.refused_above = 8;
	add_jobs(c.sched, 3);
	w = add_worker(c.sched, "w");
	w->ended_seq = 7;
	for (int64_t now = 1000; now < 2000; now += TICK_MS)
		cell_store_tick(&c, now);
	flush_acknowledge_ended(c.sched, w);
	cell_store_tick(&c, 2000);
	cr_expect_eq(w->ended_stored_seq, 0, "an end may be of that job");
	for (int64_t now = 2000; now < 6000; now += TICK_MS)
		cell_store_tick(&c, now);
	p = cell_store_progress(&c, job_id(1));
	cr_assert_not_null(p);
	cr_expect_eq(p->state, SCHED__STATE__FAILED);
	sched__progress__free_unpacked(p, NULL);
	cr_expect_eq(w->ended_stored_seq, 7);
	/* All three jobs, two, one; and that one twice more. */
	cr_expect_leq(c.sched->stats.rejected_writes, 5, "%" PRIu64,
	    c.sched->stats.rejected_writes);
	cell_store_clear(&c);
}

/* A store that rejects for a while does no harm to the job. */
Test(flush, a_job_is_stored_once_the_store_takes_it)
{
	g_autofree char *key = g_strconcat(job_id(1), SCHED_KEY_PROGRESS, NULL);
	Sched__Progress *p;
	cell_store_t c;

	cell_store_init(&c);
	c.refused_key = key;
	c.refused_above = 8;
	add_jobs(c.sched, 3);
	for (int64_t now = 1000; now < 2000; now += TICK_MS)
		cell_store_tick(&c, now);
	c.refused_key = NULL;
	for (int32_t k = 1; k < 3; k++) {
		job_t *j = g_hash_table_lookup(c.sched->jobs, job_id(1));

		job_mark_task_done(&first_step(j)->tasks[k]);
		flush_mark_job(c.sched, j);
		for (int64_t now = 2000; now < 3500; now += TICK_MS)
			cell_store_tick(&c, now);
	}
	p = cell_store_progress(&c, job_id(1));
	cr_assert_not_null(p);
	cr_expect_eq(p->state, SCHED__STATE__RUNNING);
	cr_expect_eq(p->steps[0]->done.data[0], 7);
	sched__progress__free_unpacked(p, NULL);
	cell_store_clear(&c);
}

/*
 * Guards against LOST: many rows of jobs or of workers made a call longer than the
 * store takes.
 */
Test(flush, a_call_is_short_enough)
{
	static const struct {
		int32_t jobs, tasks, workers;
		gsize checkpoint_bytes, id_bytes;
	} cases[] = { { 92, 640, 0, 90, 0 }, { 92, 10, 0, 6000, 0 },
		{ 200, 10, 0, 10, 0 }, { 1, 1, 3000, 10, 10 },
		{ 10, 10, 20000, 6000, 180 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
		    g_strnfill(cases[i].checkpoint_bytes, 'c');
		Sched__Step st = step_def("", 500, false, 0);
		guint used = 0;
		cell_store_t c;

		cell_store_init(&c);
		st.count = cases[i].tasks;
		st.checkpoints = true;
		for (int32_t k = 0; k < cases[i].jobs; k++) {
			job_t *j = add_job(c.sched, job_id(k), &st, 0);

			for (int32_t t = 0; t < st.count; t++)
				first_step(j)->tasks[t].checkpoint =
				    g_strdup(text);
			flush_mark_job(c.sched, j);
		}
		for (int32_t k = 0; k < cases[i].workers; k++) {
			char id[200];

			g_snprintf(
			    id, sizeof(id), "%0*d", (int)cases[i].id_bytes, k);
			add_worker(c.sched, id)->footprint_stored = false;
		}
		for (int64_t now = 1000; now < 11000; now += 4 * TICK_MS)
			cell_store_tick(&c, now);
		cr_expect_eq(c.refused, 0,
		    "case %zu: a row of %zu bytes, a call of %zu", i,
		    c.longest_row, c.longest_call);
		cr_expect_eq(stored_jobs(&c, cases[i].jobs), cases[i].jobs,
		    "case %zu: %d jobs stored", i,
		    stored_jobs(&c, cases[i].jobs));
		for (guint k = 0; k < c.sched->worker_list->len; k++) {
			const worker_t *w =
			    g_ptr_array_index(c.sched->worker_list, k);

			used += w->footprint_stored;
		}
		cr_expect_geq(used, MIN(cases[i].workers, 12800),
		    "case %zu: %u workers in use", i, used);
		cell_store_clear(&c);
	}
}
