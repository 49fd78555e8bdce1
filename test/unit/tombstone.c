/*
 * Cancels and refusals of jobs that never came, as the owner reads and removes them.
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

#define JOB_ID	     "00000000000000a1"
#define RETENTION_MS 180000
#define NOW_MS	     1000000
#define WALL_MS	     5000000

static size_t purged;

static void
record_purge(void *ctx, const char *const *ids, size_t n)
{
	(void)ctx;
	cr_expect_str_eq(ids[0], JOB_ID);
	purged += n;
}

static sched_t *
new_purging_owner(void)
{
	sched_t *s = new_owner();

	purged = 0;
	s->opts.ended_retention_ms = RETENTION_MS;
	s->opts.port.purge_tombstones = record_purge;
	s->now_ms = s->cell.confirmed_ms = NOW_MS;
	s->wall_ms = WALL_MS;
	for (int f = 0; f < SCHED_NFEEDS; f++)
		s->feed_read_ms[f] = s->now_ms;
	return s;
}

/* Reads a tombstone of the job that was written then; 0: an older build's. */
static void
read_tombstone(sched_t *s, const char *suffix, int64_t written_ms)
{
	g_autofree char *key = g_strconcat(JOB_ID, suffix, NULL);
	Sched__Tombstone t = SCHED__TOMBSTONE__INIT;
	uint8_t b[64] = "c";
	sched_row_t row = { key, 7, b, 1 };

	t.written_ms = written_ms;
	if (written_ms != 0)
		row.nbytes = sched__tombstone__pack(&t, b);
	sched_row_read(s, &row, NOW_MS);
}

/*
 * Guards against a store that fills up with the cancels of jobs that never came, and
 * against a removal while a write of the job may still be on its way.
 */
Test(tombstone, it_is_removed_once_no_write_can_be_late)
{
	static const struct {
		const char *what, *suffix;
		int64_t written_ms, later_ms;
		bool job, ended, removed;
		size_t purged;
	} cases[] = {
		{ "old", SCHED_KEY_CANCEL, WALL_MS - 200000, 0, false, false,
		    false, 1 },
		{ "a refusal", SCHED_KEY_REFUSAL, WALL_MS - 200000, 0, false,
		    false, false, 1 },
		{ "young", SCHED_KEY_CANCEL, WALL_MS - 100000, 0, false, false,
		    false, 0 },
		{ "young at first", SCHED_KEY_CANCEL, WALL_MS - 100000, 90000,
		    false, false, false, 1 },
		{ "its time isn't known", SCHED_KEY_CANCEL, 0, 0, false, false,
		    false, 0 },
		{ "nor later", SCHED_KEY_CANCEL, 0, 190000, false, false, false,
		    1 },
		{ "by a clock that is ahead", SCHED_KEY_CANCEL,
		    WALL_MS + 900000, 190000, false, false, false, 1 },
		{ "its job is open", SCHED_KEY_CANCEL, WALL_MS - 200000, 0,
		    true, false, false, 0 },
		{ "its job has ended", SCHED_KEY_CANCEL, WALL_MS - 200000, 0,
		    false, true, false, 0 },
		{ "removed by another owner", SCHED_KEY_CANCEL,
		    WALL_MS - 200000, 0, false, false, true, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *key =
		    g_strconcat(JOB_ID, cases[i].suffix, NULL);
		sched_row_t gone = { key, 8, NULL, 0 };
		sched_t *s = new_purging_owner();
		Sched__Step st = step_def("", 500, false, 0);

		if (cases[i].job)
			add_job(s, JOB_ID, &st, 0);
		if (cases[i].ended)
			purge_add_ended(s, JOB_ID, WALL_MS);
		read_tombstone(s, cases[i].suffix, cases[i].written_ms);
		if (cases[i].removed)
			sched_row_read(s, &gone, NOW_MS);
		s->wall_ms += cases[i].later_ms;
		tombstone_tick(s);
		tombstone_tick(s);
		cr_expect_eq(
		    purged, cases[i].purged, "%s: %zu", cases[i].what, purged);
		sched_free(s);
	}
}

/* After a refusal the job may come: then its rows go with it. */
Test(tombstone, the_job_comes_after_all)
{
	Sched__Step st = step_def("", 500, false, 0), *steps[] = { &st };
	Sched__Job d = job_def(steps, 1, 0);
	sched_t *s = new_purging_owner();
	uint8_t b[200];
	sched_row_t row = { JOB_ID, 9, b, sched__job__pack(&d, b) };

	read_tombstone(s, SCHED_KEY_REFUSAL, WALL_MS - 200000);
	sched_row_read(s, &row, NOW_MS);
	cr_expect_not_null(g_hash_table_lookup(s->jobs, JOB_ID));
	tombstone_tick(s);
	cr_expect_eq(purged, 0);
	cr_expect_not(
	    ((job_t *)g_hash_table_lookup(s->jobs, JOB_ID))->cancelled);
	sched_free(s);
}
