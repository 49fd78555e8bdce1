/*
 * Rows that grow with the queues of the operators or with what callers send: the store
 * must take the longest of them.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
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

/* The scheduler of another entry, which has read the owner row of the store. */
static sched_t *
new_follower(const cell_store_t *c)
{
	const GByteArray *b = g_hash_table_lookup(c->rows, SCHED_KEY_OWNER);
	sched_t *s = new_sched();
	sched_row_t row = { .key = SCHED_KEY_OWNER,
		.version = c->version,
		.bytes = b->data,
		.nbytes = b->len };

	s->opts.name = "f";
	sched_owner_row_read(s, &row, 1100);
	return s;
}

/*
 * Guards against LOST: with thousands of queues that have waiting jobs, or that refuse
 * some, the row that renews the claim was longer than the store takes.
 */
Test(row_limits, owner_row)
{
	static const struct {
		int32_t queues, refusals;
		bool
		    all; /* each queue's number is known to the other entries */
	} cases[] = { { 10, 0, true }, { 700, 100, true }, { 6000, 0, false },
		{ 6000, 6000, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Step st = step_def("", 500, false, 0);
		Sched__Step *steps[] = { &st };
		int32_t known = 0;
		sched_t *follower;
		cell_store_t c;

		cell_store_init(&c);
		for (int32_t k = 0; k < cases[i].queues; k++) {
			char id[SCHED_JOB_ID_BYTES + 1], queue[40];
			Sched__Job d = job_def(steps, 1, 0);

			g_snprintf(id, sizeof(id), "%016x", k);
			g_snprintf(queue, sizeof(queue),
			    "queue-with-a-usual-name-%d", k);
			d.queue = queue;
			add_job_def(c.sched, id, &d);
		}
		for (int32_t k = 0; k < cases[i].refusals; k++) {
			Sched__Refusal *r = g_new(Sched__Refusal, 1);

			sched__refusal__init(r);
			r->queue = (char *)g_intern_static_string(
			    "queue-with-a-usual-name");
			r->retry_after_ms = r->delay_ms = 100000;
			g_ptr_array_add(c.sched->admission.refusals, r);
		}
		c.sched->sorted_ms = 1000; /* the refusals are kept */
		c.sched->feed_read_ms[SCHED_FEED_JOBS] = 1000;
		cell_store_tick(&c, 1000);
		cr_expect_eq(c.refused, 0, "case %zu: a row of %zu bytes", i,
		    c.longest_row);
		cr_assert(g_hash_table_contains(c.rows, SCHED_KEY_OWNER));
		follower = new_follower(&c);
		for (int32_t k = 0; k < cases[i].queues; k++) {
			char queue[40];
			int32_t n;

			g_snprintf(queue, sizeof(queue),
			    "queue-with-a-usual-name-%d", k);
			n = sched_waiting_jobs(follower, queue, 1100);
			cr_expect(n == 1 || (n == -1 && !cases[i].all),
			    "case %zu: %d of %s", i, n, queue);
			known += n == 1;
		}
		cr_expect_geq(
		    known, MIN(cases[i].queues, 700), "case %zu: %d", i, known);
		cr_expect_eq(sched_waiting_jobs(follower, "none", 1100),
		    cases[i].all ? 0 : -1);
		sched_free(follower);
		cell_store_clear(&c);
	}
}

/* Guards against a submission that the store never takes, tried until its deadline. */
Test(row_limits, job_row)
{
	static const struct {
		const char *what;
		size_t steps, after;
		gsize label_bytes;
		bool valid;
	} cases[] = {
		{ "a usual one", 3, 2, 10, true },
		{ "all steps, usual texts", 200, 3, 30, true },
		{ "long texts", 200, 0, 4000, false },
		{ "one text", 1, 0, 70000, false },
		{ "lists of steps", 200, 400, 10, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *spec = g_strnfill(4000, 's');
		g_autofree char *label = g_strnfill(cases[i].label_bytes, 'l');
		g_autofree int32_t *after = g_new0(int32_t, 400);
		Sched__Step st[200], *steps[200];
		const char *why = "";
		Sched__Job d;

		for (size_t k = 0; k < cases[i].steps; k++) {
			st[k] = step_def("image", 500, false, 0);
			st[k].label = label;
			st[k].after = after;
			st[k].n_after = k == 0 ? 0 : cases[i].after;
			steps[k] = &st[k];
		}
		d = job_def(steps, cases[i].steps, 0);
		d.spec = spec;
		cr_expect_eq(sched_job_valid(&d, &why), cases[i].valid,
		    "%s: %s", cases[i].what, why);
	}
}
