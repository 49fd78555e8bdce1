/*
 * A cell that is full of short work; see full_cell.h.
 */
#include <inttypes.h>
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
#include "full_cell.h"

#define BEGIN_MS   100000
#define STEP_MS	   50
#define ROUND_MS   250
#define STOP_MS	   500	/* until a stopped run has ended */
#define BAD_MS	   200	/* until a run has failed on a bad worker */
#define TICKETS_MS 5000 /* are valid for so long */
/* Short steps that wait in the queue, of each kind. */
#define QUEUED 10
/* Runs of short work take one of so many times, STEP_MS apart. */
#define LENGTHS 8

/* A worker takes a start with a ticket that holds yet, if its job needs one. */
static void
take_order(void *ctx, const sched_order_t *o)
{
	full_cell_t *c = ctx;
	const run_t *r = g_hash_table_lookup(c->s->runs, &o->id);

	if (o->kind == SCHED_START && r->job->needs_approval &&
	    g_ascii_strtoll(o->ticket, NULL, 10) <= c->s->now_ms)
		g_hash_table_add(c->rejected, g_strdup(r->name));
}

static void
ignore_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	(void)puts;
}

/* A request for approval. */
typedef struct {
	uint64_t id;
	int64_t sent_ms;
	GPtrArray *workers; /* interned */
} request_t;

static void
request_free(void *p)
{
	request_t *r = p;

	g_ptr_array_unref(r->workers);
	g_free(r);
}

static void
take_request(void *ctx, const sched_approval_request_t *a)
{
	full_cell_t *c = ctx;
	request_t *r = g_new0(request_t, 1);

	r->id = a->id;
	r->sent_ms = c->s->now_ms;
	r->workers = g_ptr_array_new();
	for (size_t i = 0; i < a->nworkers; i++)
		g_ptr_array_add(r->workers, (void *)a->workers[i]);
	g_ptr_array_add(c->requests, r);
}

void
full_cell_init(full_cell_t *c, int workers)
{
	*c = (full_cell_t){ .s = new_owner(),
		.lasting = g_ptr_array_new(),
		.down = g_hash_table_new_full(NULL, NULL, NULL, g_free),
		.failing = g_hash_table_new(NULL, NULL),
		.faults = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free),
		.requests = g_ptr_array_new_with_free_func(request_free),
		.rejected = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL),
		.returns = g_string_new(""),
		.tickets_ms = TICKETS_MS };
	c->s->opts.ctx = c;
	c->s->opts.port.order = take_order;
	c->s->opts.port.write = ignore_write;
	c->s->opts.port.request_approval = take_request;
	for (int i = 0; i < workers; i++) {
		g_autofree char *id = g_strdup_printf("w%02d", i);

		add_worker(c->s, id);
	}
	set_fresh_time(c->s, BEGIN_MS);
}

void
full_cell_free(full_cell_t *c)
{
	sched_free(c->s);
	g_ptr_array_free(c->lasting, TRUE);
	g_hash_table_unref(c->down);
	g_hash_table_unref(c->failing);
	g_hash_table_unref(c->faults);
	g_ptr_array_free(c->requests, TRUE);
	g_hash_table_unref(c->rejected);
	g_string_free(c->returns, TRUE);
}

worker_t *
full_cell_worker(const full_cell_t *c, int i)
{
	return g_ptr_array_index(c->s->worker_list, (guint)i);
}

step_t *
full_cell_add_step(full_cell_t *c, const Sched__Step *d, const char *service)
{
	g_autofree char *id = g_strdup_printf("%016" PRId64, ++c->last_job);
	step_t *st = first_step(add_job(c->s, id, d, c->s->wall_ms));

	if (service != NULL)
		st->occ->job->service = g_intern_string(service);
	st->ready = true;
	return st;
}

step_t *
full_cell_add_lasting(full_cell_t *c, const Sched__Step *d)
{
	step_t *st = full_cell_add_step(c, d, NULL);

	g_ptr_array_add(c->lasting, st);
	return st;
}

void
full_cell_run(full_cell_t *c, step_t *st, int32_t index, worker_t *w)
{
	run_t *r = add_running(c->s, st, index, w);

	r->first_seen_ms = r->state_since_ms = 1;
	st->occ->job->started = true;
}

void
full_cell_fail(full_cell_t *c, task_t *t)
{
	g_hash_table_add(c->failing, t);
}

void
full_cell_fail_always(full_cell_t *c, const job_t *j, int64_t after_ms)
{
	g_hash_table_insert(
	    c->faults, g_strdup(j->id), g_memdup2(&after_ms, sizeof(after_ms)));
}

void
full_cell_lose(full_cell_t *c, worker_t *w)
{
	w->listed = false;
	run_worker_lost(c->s, w, "it is gone");
}

/* Adds jobs of short work, so that some always wait. */
static void
add_work(full_cell_t *c, const short_work_t *k)
{
	Sched__Step d = step_def("", k->cpu_milli, k->filler, 0);
	int waiting = 0;

	d.count = (uint32_t)k->width;
	d.estimate_ms = k->ms;
	for (GSequenceIter *i = g_sequence_get_begin_iter(c->s->ready_steps);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const step_t *st = g_sequence_get(i);

		waiting += !st->def->lasting && st->def->filler == k->filler &&
		    strcmp(st->occ->job->service, k->service) == 0;
	}
	for (; waiting < QUEUED; waiting++)
		queue_add_step(c->s, full_cell_add_step(c, &d, k->service));
}

/* How long a run of short work takes. */
static int64_t
work_ms(const run_t *r)
{
	return r->task->step->def->estimate_ms +
	    (int64_t)(r->id % LENGTHS) * STEP_MS;
}

/* Whether a worker fails what it runs. */
static bool
is_bad(const full_cell_t *c, const worker_t *w)
{
	for (int i = 0; i < c->bad_workers; i++)
		if (full_cell_worker(c, i) == w)
			return c->s->now_ms < c->bad_until_ms;
	return false;
}

/* Whether a run has ended on its worker, and how. */
static bool
has_ended(full_cell_t *c, const run_t *r, sched_outcome_t *how)
{
	int64_t age_ms = c->s->now_ms - r->state_since_ms;
	const int64_t *fault_ms = g_hash_table_lookup(c->faults, r->job->id);

	*how = SCHED_RUN_FAILED;
	if (g_hash_table_remove(c->failing, r->task) ||
	    (fault_ms != NULL && age_ms >= *fault_ms) ||
	    (age_ms >= BAD_MS && is_bad(c, r->worker)))
		return true;
	*how = SCHED_RUN_STOPPED;
	if (r->state == RUN_STOPPING) {
		c->stopped += age_ms >= STOP_MS && !r->task->step->def->lasting;
		return age_ms >= STOP_MS;
	}
	*how = SCHED_RUN_DONE;
	return !r->task->step->def->lasting && age_ms >= work_ms(r);
}

/* The worker answers the orders sent to it. */
static void
answer_orders(full_cell_t *c, worker_t *w)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->runs);

	for (GList *i = all; i != NULL; i = i->next) {
		run_t *r = i->data;

		if (r->order_pending)
			run_order_done(c->s, r,
			    g_hash_table_remove(c->rejected, r->name) ?
				SCHED_ORDER_NO_TICKET :
				SCHED_ORDER_OK,
			    0);
	}
}

/* The worker answers a poll. */
static void
report(full_cell_t *c, worker_t *w)
{
	g_autoptr(GArray) running =
	    g_array_new(FALSE, FALSE, sizeof(sched_running_t));
	g_autoptr(GArray) ended =
	    g_array_new(FALSE, FALSE, sizeof(sched_ended_t));
	GStringChunk *names = g_string_chunk_new(1024);
	sched_report_t rep = { .clock_ms = c->s->now_ms,
		.started_ms = w->started_ms };
	const run_t *r;

	FOREACH_VALUE (r, w->runs) {
		const char *name = g_string_chunk_insert(names, r->name);
		sched_running_t on = { .task = name,
			.run = r->number,
			.checkpoint = "",
			.percent = 100 };
		sched_ended_t end = { .seq = w->ended_seq + ended->len + 1,
			.task = name,
			.run = r->number,
			.checkpoint = "" };

		if (!r->task->step->def->lasting)
			on.percent = (int32_t)MIN(99,
			    (c->s->now_ms - r->state_since_ms) * 100 /
				work_ms(r));
		if (!has_ended(c, r, &end.outcome)) {
			g_array_append_val(running, on);
			continue;
		}
		c->failed += end.outcome == SCHED_RUN_FAILED &&
		    r->task->step->def->lasting;
		g_array_append_val(ended, end);
	}
	rep.running = (const sched_running_t *)(void *)running->data;
	rep.nrunning = running->len;
	rep.ended = (const sched_ended_t *)(void *)ended->data;
	rep.nended = ended->len;
	w->poll_id = ++c->s->last_id;
	w->poll_sent_ms = c->s->now_ms - 1;
	w->answered_ms = c->s->now_ms;
	sched_poll_done(
	    c->s, w->poll_id, w->id, SCHED_ORDER_OK, &rep, c->s->now_ms);
	g_string_chunk_free(names);
}

/* Whether the service approves of a worker. */
static bool
is_approved(const full_cell_t *c, const char *id)
{
	int n = atoi(id + 1);

	return (c->refused_each == 0 || n % c->refused_each != 0) &&
	    (c->approved_each == 0 || n % c->approved_each == 0);
}

/* The service approves of the workers that it was asked for, but for those refused. */
static void
approve(full_cell_t *c, const request_t *r)
{
	g_autofree sched_ticket_t *t = g_new0(sched_ticket_t, r->workers->len);
	g_autofree char *ticket =
	    g_strdup_printf("%" PRId64, c->s->now_ms + c->tickets_ms);
	sched_approval_t a = { .approved = t, .valid_ms = c->tickets_ms };

	for (guint i = 0; i < r->workers->len; i++) {
		const char *id = g_ptr_array_index(r->workers, i);

		if (is_approved(c, id))
			t[a.napproved++] = (sched_ticket_t){ id, ticket };
	}
	sched_approval_done(c->s, r->id, &a, c->s->now_ms);
}

/* When the service answers the first request that waits. */
static int64_t
answer_due_ms(const full_cell_t *c)
{
	const request_t *r = g_ptr_array_index(c->requests, 0);

	if (c->decision_ms == 0)
		return r->sent_ms + c->approval_ms;
	return MAX(r->sent_ms, c->handled_ms) + c->decision_ms +
	    c->per_worker_ms * r->workers->len;
}

/* Answers the requests for approval whose time has come. */
static void
answer_requests(full_cell_t *c)
{
	while (c->requests->len > 0 && answer_due_ms(c) <= c->s->now_ms) {
		request_t *r = g_ptr_array_steal_index(c->requests, 0);

		c->handled_ms = c->s->now_ms;
		if (c->lost_answers-- <= 0)
			approve(c, r);
		request_free(r);
	}
}

/* Notes how long a task has been down. */
static void
look_at(full_cell_t *c, const task_t *t)
{
	int64_t *since = g_hash_table_lookup(c->down, t), now = c->s->now_ms;
	bool up = t->run != NULL && t->run->state != RUN_STARTING;

	if (since != NULL)
		c->longest_ms = MAX(c->longest_ms, now - *since);
	if (up && since != NULL) {
		g_string_append_printf(c->returns, " %d.%d=%.2f",
		    t->step->occ->job->id[15] - '0', t->index,
		    (double)(now - *since) / 1000);
		g_hash_table_remove(c->down, t);
	} else if (!up && since == NULL)
		g_hash_table_insert(
		    c->down, (void *)t, g_memdup2(&now, sizeof(now)));
}

static void
look(full_cell_t *c)
{
	for (guint i = 0; i < c->lasting->len; i++) {
		const step_t *st = g_ptr_array_index(c->lasting, i);

		for (int32_t k = 0; k < st->ntasks; k++)
			look_at(c, &st->tasks[k]);
	}
}

static void
step(full_cell_t *c)
{
	sched_t *s = c->s;

	set_fresh_time(s, s->now_ms + STEP_MS);
	flush_done(s, SCHED_WRITE_OK, ++c->version);
	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);

		answer_orders(c, w);
		if (w->listed)
			report(c, w);
	}
	answer_requests(c);
	for (size_t i = 0; i < G_N_ELEMENTS(c->work); i++)
		if (c->work[i].service != NULL)
			add_work(c, &c->work[i]);
	if (s->now_ms % ROUND_MS == 0) {
		queue_resort(s);
		scan_begin_round(s);
	}
	if (!c->weak || s->now_ms % ROUND_MS == 0)
		start_waiting_tasks(s);
	look(c);
}

void
full_cell_pass(full_cell_t *c, int64_t ms)
{
	for (int64_t end_ms = c->s->now_ms + ms; c->s->now_ms < end_ms;)
		step(c);
}

void
full_cell_expect_back(const full_cell_t *c, const char *what)
{
	cr_expect_lt(c->longest_ms, DOWN_MAX_MS,
	    "%s: down for %d ms; task=s down:%s", what, (int)c->longest_ms,
	    c->returns->str);
}
