/*
 * Feeds the scheduler of a cell with rows of the store, reports of workers and
 * answers that hold any value of their types, damaged ones among them, in any
 * order.  Run under the sanitizers: a crash, a hang or a leak fails.
 * usage: fuzz_cell SEED COUNT
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"

#define CALLS	      1500 /* of the scheduler, a seed */
#define JOBS	      6
#define WORKERS	      4
#define TEXT_BYTES    24
#define GARBAGE_TEXTS 300
#define LIST_MAX      4
#define MAX_LEASE_MS  6000

/* Text that lives until the next seed. */
static GStringChunk *texts;
static GRand *rnd;

/* What the scheduler has asked for; strings as text() returns them. */
typedef struct {
	uint64_t id;
	const char *worker;
	const char *task;
	int64_t run;
} call_t;

typedef struct {
	sched_t *s;
	GArray *orders; /* call_t, unanswered */
	GArray *polls;
	GArray *approvals;
	GArray *starts; /* call_t, all start orders */
	bool claiming, loading, writing;
	int64_t now_ms;
	int64_t version;   /* of the owner row */
	GByteArray *owner; /* the row as last written */
} cell_t;

static bool
chance(int32_t pct)
{
	return g_rand_int_range(rnd, 0, 100) < pct;
}

static int32_t
below(int32_t n)
{
	return g_rand_int_range(rnd, 0, n);
}

/* A number that is usual, or at an edge of its type. */
static int64_t
number(void)
{
	static const int64_t edges[] = { 0, -1, 1, 64, 65, 100, 101, 201, 1000,
		1000000, INT32_MAX, INT32_MIN, (int64_t)INT32_MAX + 1,
		INT64_MAX, INT64_MIN, INT64_MAX / 2 };

	if (chance(97))
		return 1 + below(5);
	return edges[below(G_N_ELEMENTS(edges))];
}

/* A number as the adapter decodes it. */
static int64_t
decoded(void)
{
	int64_t n = number();

	return CLAMP(n, -SCHED_NUMBER_MAX, SCHED_NUMBER_MAX);
}

static int64_t
amount(void)
{
	int64_t n = number();

	return CLAMP(n, 0, SCHED_AMOUNT_MAX);
}

static int32_t
percent(void)
{
	int64_t n = number();

	return (int32_t)CLAMP(n, 0, 100);
}

static double
fraction(void)
{
	static const double edges[] = { 0, -1, 1, 2, 1e9, 1e300, -1e300,
		__builtin_inf(), -__builtin_inf(), __builtin_nan("") };

	return edges[below(G_N_ELEMENTS(edges))];
}

/*
 * A usual text, or any bytes: one of a few hundred texts, as GLib keeps the
 * texts that are interned for ever.
 */
static char *
text(const char *format, int64_t n)
{
	uint32_t garbage = (uint32_t)below(GARBAGE_TEXTS);
	char b[TEXT_BYTES];
	size_t len = garbage % TEXT_BYTES;

	if (chance(98)) {
		g_snprintf(b, sizeof(b), format, n);
		return g_string_chunk_insert(texts, b);
	}
	for (size_t i = 0; i < len; i++) {
		garbage = garbage * 1664525 + 1013904223;
		b[i] = (char)(1 + (garbage >> 16) % 255);
	}
	b[len] = '\0';
	return g_string_chunk_insert(texts, b);
}

static char *
image(void)
{
	return text(chance(20) ? "" : "image%d", below(80));
}

static const char *
job_id(void)
{
	char b[TEXT_BYTES];

	g_snprintf(b, sizeof(b), "%016d", below(JOBS));
	return g_string_chunk_insert(texts, b);
}

static char *
worker_id(void)
{
	return text("w%d", below(WORKERS));
}

static char *
task_name(void)
{
	char b[64];

	if (chance(10))
		return text("%d.0.0", below(9));
	g_snprintf(b, sizeof(b), "%s.%" PRId64 ".%" PRId64 ".%" PRId64,
	    job_id(), number(), number(), number());
	return g_string_chunk_insert(texts, b);
}

/* Overwrites, cuts off or adds some bytes, more often none. */
static void
damage(GByteArray *b)
{
	while (b->len > 0 && chance(10)) {
		if (chance(20))
			g_byte_array_set_size(b, (guint)below((gint32)b->len));
		else
			b->data[below((gint32)b->len)] = (uint8_t)below(256);
	}
}

/* Packs a message and damages it. */
static GByteArray *
pack(const ProtobufCMessage *m)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_set_size(b, (guint)protobuf_c_message_get_packed_size(m));
	protobuf_c_message_pack(m, b->data);
	damage(b);
	return b;
}

static void
pass_row(cell_t *c, const char *key, const ProtobufCMessage *m)
{
	g_autoptr(GByteArray) b = pack(m);
	sched_row_t row = { .key = key,
		.version = number(),
		.bytes = chance(5) ? NULL : b->data,
		.nbytes = b->len };

	sched_row_read(c->s, &row, c->now_ms);
}

static void
fill_step(Sched__Step *st, int32_t *after, int32_t place)
{
	sched__step__init(st);
	st->count = chance(80) ? 1 + below(3) : (int32_t)number();
	st->cpu_milli = number();
	st->mem_mb = number();
	st->gpu = (int32_t)number();
	st->estimate_ms = number();
	st->n_after = place == 0 && chance(95) ? 0 : (size_t)below(3);
	st->after = after;
	for (size_t i = 0; i < st->n_after; i++)
		after[i] =
		    chance(80) && place > 0 ? below(place) : (int32_t)number();
	st->checkpoints = chance(50);
	st->gang = chance(20);
	st->same_rack = chance(20);
	st->label = text("", 0);
	st->near_rack = text("r%d", below(2));
	st->per_worker = (int32_t)number();
	st->duplicates = chance(20);
	st->lasting = chance(20);
	st->image = image();
	st->tail_target_ms = number();
	st->filler = chance(30);
	st->has_miss_limit = chance(50);
	st->may_miss = (int32_t)number();
}

static void
pass_job(cell_t *c)
{
	Sched__Job j = SCHED__JOB__INIT;
	Sched__Step steps[LIST_MAX], *list[LIST_MAX];
	int32_t after[LIST_MAX][LIST_MAX];

	j.queue = text("q%d", below(3));
	j.service = text("s", 0);
	j.spec = text("spec", 0);
	j.n_steps = (size_t)below(LIST_MAX);
	j.steps = list;
	for (size_t i = 0; i < j.n_steps; i++) {
		fill_step(&steps[i], after[i], (int32_t)i);
		list[i] = &steps[i];
	}
	j.accepted_ms = number();
	j.repeats = chance(80) ? below(3) : (int32_t)number();
	j.first_ms = number();
	j.interval_ms = number();
	j.priority = (int32_t)number();
	j.max_attempts = (int32_t)number();
	j.stretch = fraction();
	j.target_ms = number();
	pass_row(c, job_id(), &j.base);
}

static void
pass_progress(cell_t *c)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	Sched__StepProgress steps[LIST_MAX], *list[LIST_MAX];
	Sched__TaskProgress task = SCHED__TASK_PROGRESS__INIT, *tasks = &task;
	int64_t runs[LIST_MAX];
	int32_t like[LIST_MAX], bounds[LIST_MAX];
	uint8_t done[LIST_MAX];
	g_autofree char *key = g_strconcat(job_id(), SCHED_KEY_PROGRESS, NULL);

	for (int i = 0; i < LIST_MAX; i++) {
		runs[i] = number();
		done[i] = (uint8_t)below(256);
		like[i] = chance(70) ? below(3) : (int32_t)number();
	}
	task.n_like = (size_t)below(LIST_MAX);
	task.like = like;
	task.index = (int32_t)number();
	task.n_failed_runs = (size_t)below(LIST_MAX);
	task.failed_runs = runs;
	task.checkpoint = text("c%d", 1);
	p.n_steps = (size_t)below(LIST_MAX);
	p.steps = list;
	for (size_t i = 0; i < p.n_steps; i++) {
		sched__step_progress__init(&steps[i]);
		steps[i].occurrence = (int32_t)number();
		steps[i].step = (int32_t)number();
		steps[i].done.data = done;
		steps[i].done.len = (size_t)below(LIST_MAX);
		steps[i].n_tasks = (size_t)below(2);
		steps[i].tasks = &tasks;
		list[i] = &steps[i];
	}
	p.state = chance(80) ? SCHED__STATE__RUNNING : (int)number();
	p.ended_ms = number();
	p.not_started = chance(50);
	for (int i = 0; i < LIST_MAX; i++)
		bounds[i] = chance(95) ? i + 1 : (int32_t)number();
	p.done_occurrences = bounds;
	p.n_done_occurrences =
	    chance(80) ? 2 * (size_t)below(2) : (size_t)below(LIST_MAX);
	pass_row(c, key, &p.base);
}

static void
pass_footprint(cell_t *c)
{
	Sched__Footprint f = SCHED__FOOTPRINT__INIT;
	char *workers[LIST_MAX];
	int64_t born[LIST_MAX], until[LIST_MAX];
	g_autofree char *key =
	    g_strdup_printf(SCHED_KEY_FOOTPRINT "%d", below(3));

	for (int i = 0; i < LIST_MAX; i++) {
		workers[i] = text("w%d 127.0.0.1:80", below(WORKERS));
		born[i] = number();
		until[i] = number();
	}
	f.n_workers = (size_t)below(LIST_MAX);
	f.workers = workers;
	f.n_born_ms = (size_t)below(LIST_MAX);
	f.born_ms = born;
	f.n_until_ms = (size_t)below(LIST_MAX);
	f.until_ms = until;
	pass_row(c, key, &f.base);
}

static void
pass_interference(cell_t *c)
{
	Sched__Harms h = SCHED__HARMS__INIT;
	Sched__ImageHarm images[LIST_MAX], *list[LIST_MAX];
	char *fillers[LIST_MAX];
	double harms[LIST_MAX];

	h.n_images = (size_t)below(LIST_MAX);
	h.images = list;
	for (int i = 0; i < LIST_MAX; i++) {
		fillers[i] = image();
		harms[i] = fraction();
	}
	for (size_t i = 0; i < h.n_images; i++) {
		sched__image_harm__init(&images[i]);
		images[i].serving = image();
		images[i].low = fraction();
		images[i].n_fillers = (size_t)below(LIST_MAX);
		images[i].fillers = fillers;
		images[i].n_harms = (size_t)below(LIST_MAX);
		images[i].harms = harms;
		list[i] = &images[i];
	}
	pass_row(c, SCHED_KEY_INTERFERENCE, &h.base);
}

static void
pass_cancel(cell_t *c)
{
	g_autofree char *key = g_strconcat(
	    job_id(), chance(70) ? SCHED_KEY_CANCEL : SCHED_KEY_REFUSAL, NULL);
	Sched__Tombstone t = SCHED__TOMBSTONE__INIT;

	t.written_ms = number();
	pass_row(c, key, &t.base);
}

static void
pass_owner(cell_t *c)
{
	sched_row_t row = { SCHED_KEY_OWNER, c->version, c->owner->data,
		c->owner->len };

	sched_owner_row_read(c->s, &row, c->now_ms);
}

static void
pass_any_owner(cell_t *c)
{
	Sched__Owner o = SCHED__OWNER__INIT;
	Sched__Waiting w = SCHED__WAITING__INIT, *list[1] = { &w };
	sched_row_t row = { .key = SCHED_KEY_OWNER, .version = c->version };
	g_autoptr(GByteArray) b = NULL;

	w.queue = text("q%d", below(3));
	w.jobs = (int32_t)number();
	o.name = text(chance(30) ? "e" : "other", 0);
	o.incarnation = number();
	o.epoch = number();
	o.beat = number();
	o.released = chance(50);
	o.n_waiting = (size_t)below(2);
	o.waiting = list;
	o.heir = text("e", 0);
	o.waiting_stale = chance(20);
	o.rows_before_starts = chance(50);
	b = pack(&o.base);
	row.bytes = c->version == 0 ? NULL : b->data;
	row.nbytes = b->len;
	sched_owner_row_read(c->s, &row, c->now_ms);
}

static void
pass_worker(cell_t *c)
{
	const char *labels[] = { text("r%d", below(2)), NULL };
	sched_worker_info_t w = { .id = worker_id(),
		.service = "s",
		.address = text("127.0.0.1:%d", below(9)),
		.zone = text("z%d", below(2)),
		.rack = labels[0],
		.labels = labels,
		.cpu_milli = chance(80) ? 64000 : amount(),
		.mem_mb = chance(80) ? 1000 : amount(),
		.gpu = (int32_t)amount(),
		.started_ms = chance(95) ? 1 : decoded(),
		.draining = chance(3) };

	if (chance(5))
		sched_worker_left(c->s, w.id, c->now_ms);
	else
		sched_worker_listed(c->s, &w, c->now_ms);
}

static void
change_settings(cell_t *c)
{
	g_autofree char *zone = g_strdup_printf("z%d", below(2));
	sched_queue_t q = { "q1", "s", 0, 0, false };

	switch (below(4)) {
	case 0:
		sched_set_zone_evacuated(c->s, zone, chance(10), c->now_ms);
		break;
	case 1:
		q.priority = (int32_t)decoded();
		q.max_attempts = (int32_t)decoded();
		q.needs_approval = chance(50);
		sched_set_queues(c->s, &q, 1, c->now_ms);
		break;
	case 2:
		sched_set_store_outage(c->s, chance(30), decoded(), c->now_ms);
		break;
	default:
		sched_store_clock_read(c->s, decoded(), c->now_ms);
	}
}

/* Takes a random call off a list; sometimes one that was never made. */
static call_t
take(GArray *calls)
{
	call_t c = { (uint64_t)decoded(), worker_id(), "", 0 };
	guint i;

	if (calls->len == 0 || chance(3))
		return c;
	i = (guint)below((gint32)calls->len);
	c = g_array_index(calls, call_t, i);
	g_array_remove_index_fast(calls, i);
	return c;
}

static sched_order_result_t
order_result(void)
{
	return chance(70) ?
	    SCHED_ORDER_OK :
	    (sched_order_result_t)below(SCHED_ORDER_INVALID + 1);
}

static void
answer_order(cell_t *c)
{
	sched_order_done(
	    c->s, take(c->orders).id, order_result(), decoded(), c->now_ms);
}

/* A run that was ordered, or any. */
static call_t
some_run(cell_t *c)
{
	if (c->starts->len > 0 && chance(80))
		return g_array_index(
		    c->starts, call_t, (guint)below((gint32)c->starts->len));
	return (call_t){ 0, "", task_name(), decoded() };
}

static void
answer_poll(cell_t *c)
{
	sched_running_t running[LIST_MAX];
	sched_ended_t ended[LIST_MAX];
	sched_report_t r = { .clock_ms = decoded(),
		.started_ms = decoded(),
		.running = running,
		.nrunning = (size_t)below(LIST_MAX),
		.ended = ended,
		.nended = (size_t)below(LIST_MAX) };
	sched_order_result_t result = order_result();
	call_t poll = take(c->polls);

	for (int i = 0; i < LIST_MAX; i++) {
		call_t a = some_run(c), b = some_run(c);

		running[i] = (sched_running_t){ a.task, a.run, text("c", 0),
			percent(), decoded() };
		ended[i] = (sched_ended_t){ decoded(), b.task, b.run,
			(sched_outcome_t)below(3), text("c", 0) };
	}
	sched_poll_done(c->s, poll.id, poll.worker, result,
	    result == SCHED_ORDER_OK ? &r : NULL, c->now_ms);
}

static void
answer_approval(cell_t *c)
{
	sched_ticket_t t[LIST_MAX];
	sched_approval_t a = { .approved = t,
		.napproved = (size_t)below(LIST_MAX),
		.valid_ms = (int32_t)decoded() };

	for (int i = 0; i < LIST_MAX; i++)
		t[i] = (sched_ticket_t){ worker_id(), text("t", 0) };
	sched_approval_done(
	    c->s, take(c->approvals).id, chance(20) ? NULL : &a, c->now_ms);
}

/* Answers what the scheduler has asked of the store. */
static void
answer_store(cell_t *c)
{
	sched_write_result_t r =
	    chance(80) ? SCHED_WRITE_OK : (sched_write_result_t)below(3);

	if (r == SCHED_WRITE_OK && (c->claiming || c->writing))
		c->version++;
	if (c->claiming) {
		c->claiming = false;
		sched_claim_done(c->s, r, c->version, c->now_ms);
	} else if (c->writing) {
		c->writing = false;
		sched_write_done(c->s, r, c->version, c->now_ms);
	} else if (c->loading && chance(30)) {
		c->loading = false;
		sched_load_done(c->s, c->now_ms);
	}
}

static void
pass_feeds(cell_t *c)
{
	for (int i = 0; i < SCHED_NFEEDS; i++)
		sched_feed_read(
		    c->s, (sched_feed_t)i, chance(95) ? c->now_ms : decoded());
}

static void
on_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	cell_t *c = ctx;

	(void)version;
	g_byte_array_set_size(c->owner, 0);
	g_byte_array_append(c->owner, owner->data, owner->len);
	c->claiming = true;
}

static void
on_load(void *ctx)
{
	((cell_t *)ctx)->loading = true;
}

static void
on_write(void *ctx, int64_t version, const GArray *puts)
{
	cell_t *c = ctx;
	const sched_put_t *owner = &g_array_index(puts, sched_put_t, 0);

	(void)version;
	g_byte_array_set_size(c->owner, 0);
	g_byte_array_append(c->owner, owner->bytes->data, owner->bytes->len);
	c->writing = true;
}

static void
on_order(void *ctx, const sched_order_t *o)
{
	cell_t *c = ctx;
	call_t call = { o->id, g_string_chunk_insert(texts, o->worker),
		g_string_chunk_insert(texts, o->task), o->run };

	g_array_append_val(c->orders, call);
	if (o->kind == SCHED_START)
		g_array_append_val(c->starts, call);
}

static void
on_poll(void *ctx, const sched_poll_t *p)
{
	call_t call = { p->id, g_string_chunk_insert(texts, p->worker), "", 0 };

	g_array_append_val(((cell_t *)ctx)->polls, call);
}

static void
on_approval(void *ctx, const sched_approval_request_t *a)
{
	call_t call = { a->id, "", "", 0 };

	g_array_append_val(((cell_t *)ctx)->approvals, call);
}

static void
on_event(void *ctx, sched_evt_t n, const char *subject, char *fields)
{
	(void)ctx;
	(void)n;
	(void)subject;
	g_free(fields);
}

static void
tick(cell_t *c)
{
	c->now_ms += chance(98) ? below(100) : below(9000);
	if (chance(1))
		sched_process_paused(c->s, c->now_ms);
	sched_tick(c->s, c->now_ms, c->now_ms);
}

/* Returns the number of tasks that were started. */
static uint64_t
run(uint32_t seed)
{
	static void (*const calls[])(cell_t *) = { tick, tick, tick, pass_feeds,
		pass_owner, pass_job, pass_progress, pass_footprint,
		pass_interference, pass_cancel, pass_worker, pass_worker,
		change_settings, answer_order, answer_order, answer_poll,
		answer_poll, answer_approval, answer_store, answer_store };
	cell_t c = { .now_ms = 1000,
		.orders = g_array_new(FALSE, FALSE, sizeof(call_t)),
		.polls = g_array_new(FALSE, FALSE, sizeof(call_t)),
		.approvals = g_array_new(FALSE, FALSE, sizeof(call_t)),
		.starts = g_array_new(FALSE, FALSE, sizeof(call_t)),
		.owner = g_byte_array_new() };
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = MAX_LEASE_MS,
		.port = { on_claim, on_load, on_write, on_order, on_poll, NULL,
		    NULL, on_approval, on_event },
		.ctx = &c };
	uint64_t starts;

	rnd = g_rand_new_with_seed(seed);
	texts = g_string_chunk_new(4096);
	c.s = sched_new(&o);
	for (int i = 0; i < CALLS; i++)
		if (chance(1) && chance(30))
			pass_any_owner(&c);
		else
			calls[below(G_N_ELEMENTS(calls))](&c);
	starts = sched_stats(c.s).starts;
	sched_free(c.s);
	g_array_unref(c.orders);
	g_array_unref(c.polls);
	g_array_unref(c.approvals);
	g_array_unref(c.starts);
	g_byte_array_unref(c.owner);
	g_string_chunk_free(texts);
	g_rand_free(rnd);
	return starts;
}

int
main(int argc, char **argv)
{
	uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;
	uint32_t n = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1000;
	uint64_t starts = 0;

	for (uint32_t i = 0; i < n; i++)
		starts += run(seed + i);
	printf("fuzz_cell: seeds %u to %u, %" PRIu64 " starts, none crashed\n",
	    seed, seed + n - 1, starts);
	/* Without any, most of the scheduler was not reached. */
	return starts == 0;
}
