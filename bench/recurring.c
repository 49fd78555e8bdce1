/*
 * What a job that repeats costs a new owner, by how many of its occurrences have
 * finished and how many are due: the bytes of its rows, the time of the takeover up to
 * the end of the first tick, and the memory that is taken then.
 *
 * usage: recurring
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "../sched/sched.h"

#define JOB_ID	    "5c0e7a21d94b36f8"
#define NOW_MS	    1000
#define WALL_MS	    ((int64_t)1700000000000)
#define STEPS_MAX   200
#define INTERVAL_MS 60000

/* A job, of which some occurrences have finished and others are due. */
typedef struct {
	size_t steps;
	int32_t tasks; /* of each step */
	int32_t repeats, finished, due;
} case_t;

/* What the new owner writes. */
typedef struct {
	bool claimed, loads;
	size_t progress_bytes;
} store_t;

static void
on_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	(void)version;
	(void)owner;
	((store_t *)ctx)->claimed = true;
}

static void
on_load(void *ctx)
{
	((store_t *)ctx)->loads = true;
}

static void
on_write(void *ctx, int64_t version, const GArray *puts)
{
	store_t *st = ctx;

	(void)version;
	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);

		if (g_str_has_prefix(p->key, JOB_ID))
			st->progress_bytes = p->bytes->len;
	}
}

static void
on_event(void *ctx, sched_evt_t number, const char *subject, char *fields)
{
	(void)ctx;
	(void)number;
	(void)subject;
	g_free(fields);
}

static GByteArray *
pack(const ProtobufCMessage *m)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_set_size(b, (guint)protobuf_c_message_get_packed_size(m));
	protobuf_c_message_pack(m, b->data);
	return b;
}

static GByteArray *
job_row(const case_t *c)
{
	Sched__Job d = SCHED__JOB__INIT;
	Sched__Step st = SCHED__STEP__INIT, *steps[STEPS_MAX];

	st.count = c->tasks;
	st.cpu_milli = 500;
	st.estimate_ms = 300;
	for (size_t i = 0; i < c->steps; i++)
		steps[i] = &st;
	d.queue = "q";
	d.service = "s";
	d.spec = "x";
	d.max_attempts = 3;
	d.n_steps = c->steps;
	d.steps = steps;
	d.repeats = c->repeats;
	d.interval_ms = INTERVAL_MS;
	d.first_ms = WALL_MS - (int64_t)INTERVAL_MS * (c->due - 1);
	return pack(&d.base);
}

static GByteArray *
progress_row(const case_t *c)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	int32_t done[] = { 0, c->finished };

	p.state = SCHED__STATE__RUNNING;
	p.done_occurrences = done;
	p.n_done_occurrences = c->finished > 0 ? 2 : 0;
	return pack(&p.base);
}

/* Passes a row of the store to the scheduler. */
static void
pass_row(sched_t *s, const char *key, int64_t version, const GByteArray *b)
{
	sched_row_t row = { key, version, b->data, b->len };

	sched_row_read(s, &row, NOW_MS);
}

/* A scheduler that has claimed the cell and is to read its rows. */
static sched_t *
new_loading(store_t *store)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .claim = on_claim,
		    .load = on_load,
		    .write = on_write,
		    .event = on_event },
		.ctx = store };
	sched_row_t none = { "!owner", 0, NULL, 0 };
	sched_t *s = sched_new(&o);

	sched_owner_row_read(s, &none, NOW_MS);
	sched_tick(s, NOW_MS, WALL_MS);
	sched_claim_done(s, SCHED_WRITE_OK, 1, NOW_MS);
	return s;
}

static size_t
heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static void
play(const case_t *c)
{
	g_autoptr(GByteArray) job = job_row(c);
	g_autoptr(GByteArray) progress = progress_row(c);
	store_t store = { 0 };
	sched_t *s = new_loading(&store);
	size_t before = heap_bytes();
	int64_t began_us = g_get_monotonic_time();
	double took_ms;

	pass_row(s, JOB_ID ".p", 2, progress);
	pass_row(s, JOB_ID, 3, job);
	sched_load_done(s, NOW_MS);
	sched_tick(s, NOW_MS + 500, WALL_MS);
	took_ms = (double)(g_get_monotonic_time() - began_us) / 1000;
	printf("%5zu %5d %9d %9d %9d %9u %9zu %9.1f %9zu\n", c->steps, c->tasks,
	    c->repeats, c->finished, c->due, job->len,
	    store.progress_bytes > 0 ? store.progress_bytes : progress->len,
	    took_ms, (heap_bytes() - before) / 1024);
	sched_free(s);
}

int
main(void)
{
	static const case_t cases[] = {
		{ 200, 1, 1000000, 0, 1 },
		{ 200, 1, 1000000, 1000, 1001 },
		{ 200, 1, 1000000, 100000, 100001 },
		{ 200, 1, 1000000, 999990, 999991 },
		{ 200, 1, 1000000, 0, 1000000 },
		{ 30, 1, 1000000, 0, 1000000 },
		{ 1, 1, 1000000, 0, 1000000 },
		{ 200, 1000, 1000000, 0, 1000000 },
	};

	printf("%5s %5s %9s %9s %9s %9s %9s %9s %9s\n", "steps", "tasks",
	    "repeats", "finished", "due", "job B", "row B", "takeover",
	    "heap KB");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		play(&cases[i]);
	return 0;
}
