/*
 * Rows of the store that don't unpack: nothing may be concluded from them that
 * would let a task run twice.  And what a claim takes over of the owner's row.
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

#define JOB "0000000000000001"

/* No message: field 1, 127 bytes long, of which none follow. */
static const uint8_t bad[] = { 0x0a, 0x7f };

static int claims;
static Sched__Owner *claimed;

static void
take_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	(void)ctx;
	(void)version;
	claims++;
	claimed = sched__owner__unpack(NULL, owner->len, owner->data);
}

static void
ignore_load(void *ctx)
{
	(void)ctx;
}

static sched_t *
new_entry(void)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore_event,
		    .claim = take_claim,
		    .load = ignore_load } };

	claims = 0;
	claimed = NULL;
	return sched_new(&o);
}

static void
read_row(sched_t *s, const char *key, int64_t version, const uint8_t *bytes,
    size_t n)
{
	sched_row_t row = {
		.key = key, .version = version, .bytes = bytes, .nbytes = n
	};

	if (strcmp(key, SCHED_KEY_OWNER) == 0)
		sched_owner_row_read(s, &row, s->now_ms);
	else
		sched_row_read(s, &row, s->now_ms);
}

/* Reads the owner row as it is until the entry claims, or for 3 s. */
static int64_t
claim(sched_t *s, int64_t version, const uint8_t *bytes, size_t n)
{
	int64_t begun_ms = s->now_ms = 1000;

	for (; claims == 0 && s->now_ms < begun_ms + 3000; s->now_ms += 50) {
		read_row(s, SCHED_KEY_OWNER, version, bytes, n);
		sched_tick(s, s->now_ms, 0);
	}
	return s->now_ms - begun_ms;
}

/*
 * An owner row that can't be read says that there was an owner: the entry waits
 * until it is silent, numbers its runs after all others, and waits for leases.
 */
Test(bad_rows, the_owner_row)
{
	sched_t *s = new_entry();
	int64_t waited_ms = claim(s, 40, bad, sizeof(bad));

	cr_assert_eq(claims, 1);
	cr_expect_geq(waited_ms, 1200);
	cr_expect_gt(claimed->epoch, 40);
	cr_expect_not(claimed->rows_before_starts);
	sched_claim_done(s, SCHED_WRITE_OK, 41, s->now_ms);
	sched_load_done(s, s->now_ms);
	cr_expect_gt(s->cell.old_leases.ms, s->now_ms);
	sched__owner__free_unpacked(claimed, NULL);
	sched_free(s);
}

/* Without a row there was no owner. */
Test(bad_rows, no_owner_row)
{
	sched_t *s = new_entry();

	cr_expect_leq(claim(s, 0, NULL, 0), 50);
	cr_assert_eq(claims, 1);
	cr_expect_eq(claimed->epoch, 1);
	sched__owner__free_unpacked(claimed, NULL);
	sched_free(s);
}

/* While the jobs are loaded, others read the last owner's number of them. */
Test(bad_rows, a_claim_keeps_the_counts)
{
	Sched__Waiting w = SCHED__WAITING__INIT, *list[] = { &w };
	Sched__Owner o = SCHED__OWNER__INIT;
	sched_t *s = new_entry();
	uint8_t row[64];

	w.queue = (char *)"q";
	w.jobs = 7;
	o.name = (char *)"other";
	o.waiting = list;
	o.n_waiting = 1;
	claim(s, 40, row, sched__owner__pack(&o, row));
	cr_assert_eq(claims, 1);
	cr_assert_eq(claimed->n_waiting, 1);
	cr_expect_eq(claimed->waiting[0]->jobs, 7);
	sched__owner__free_unpacked(claimed, NULL);
	sched_free(s);
}

/* Owns the cell after another owner, having read one more row. */
static sched_t *
owner_after(const char *key, const uint8_t *bytes, size_t n)
{
	Sched__Owner o = SCHED__OWNER__INIT;
	Sched__Job d = SCHED__JOB__INIT;
	Sched__Step step = step_def("", 1000, false, 0), *steps[] = { &step };
	uint8_t row[64], job[128];
	sched_t *s = new_entry();

	o.name = (char *)"other";
	o.epoch = 3;
	o.rows_before_starts = true;
	claim(s, 40, row, sched__owner__pack(&o, row));
	sched_claim_done(s, SCHED_WRITE_OK, 41, s->now_ms);
	if (key != NULL)
		read_row(s, key, 39, bytes, n);
	d.queue = d.service = (char *)"q";
	d.steps = steps;
	d.n_steps = 1;
	read_row(s, JOB, 38, job, sched__job__pack(&d, job));
	sched_load_done(s, s->now_ms);
	sched__owner__free_unpacked(claimed, NULL);
	return s;
}

/* Of a footprint that can't be read, any worker may have runs. */
Test(bad_rows, the_footprint)
{
	static const struct {
		const char *name;
		const char *worker; /* "": the row doesn't unpack */
		size_t nborn;
		bool accounted;
	} cases[] = {
		{ "none", NULL, 0, true },
		{ "does not unpack", "", 0, false },
		{ "worker without its address", "w", 1, false },
		{ "worker without its time of birth", "w 127.0.0.1:1", 0,
		    false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Footprint f = SCHED__FOOTPRINT__INIT;
		char *workers[] = { (char *)cases[i].worker };
		int64_t born[] = { 5 };
		const char *key =
		    cases[i].worker == NULL ? NULL : SCHED_KEY_FOOTPRINT "1";
		uint8_t b[64];
		size_t n;
		sched_t *s;

		f.n_workers = 1;
		f.workers = workers;
		f.n_born_ms = cases[i].nborn;
		f.born_ms = born;
		if (key == NULL || cases[i].worker[0] == '\0')
			memcpy(b, bad, n = sizeof(bad));
		else
			n = sched__footprint__pack(&f, b);
		s = owner_after(key, b, n);
		ownership_tick(s);
		cr_expect_eq(s->cell.workers_accounted, cases[i].accounted,
		    "%s", cases[i].name);
		s->now_ms = s->cell.old_leases.ms;
		ownership_tick(s);
		cr_expect(s->cell.workers_accounted, "%s", cases[i].name);
		sched_free(s);
	}
}

/* A job of which it isn't known what is done is left alone. */
Test(bad_rows, the_progress_of_a_job)
{
	Sched__Progress running = SCHED__PROGRESS__INIT;
	Sched__Progress unknown = SCHED__PROGRESS__INIT;
	uint8_t good[64], state[64];
	struct {
		const char *name;
		const uint8_t *bytes;
		size_t n;
		bool known;
	} cases[] = {
		{ "running", good, 0, true },
		{ "unknown state", state, 0, false },
		{ "does not unpack", bad, sizeof(bad), false },
	};

	running.state = SCHED__STATE__RUNNING;
	unknown.state = (Sched__State)77;
	cases[0].n = sched__progress__pack(&running, good);
	cases[1].n = sched__progress__pack(&unknown, state);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = owner_after(
		    JOB SCHED_KEY_PROGRESS, cases[i].bytes, cases[i].n);
		Sched__Job d = SCHED__JOB__INIT;
		Sched__Step step = step_def("", 1000, false, 0),
			    *steps[] = { &step };
		uint8_t job[128];

		cr_expect_eq(g_hash_table_contains(s->jobs, JOB),
		    cases[i].known, "%s", cases[i].name);
		/* All rows are read again after a gap of the feed. */
		d.steps = steps;
		d.n_steps = 1;
		read_row(s, JOB, 38, job, sched__job__pack(&d, job));
		cr_expect_eq(g_hash_table_contains(s->jobs, JOB),
		    cases[i].known, "%s, read again", cases[i].name);
		sched_free(s);
	}
}
