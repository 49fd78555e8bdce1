/*
 * Calls of entries to simulated workers, orders and polls, on their way there and back:
 * some get no answer, and are carried out seconds later.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"
#include "digest.h"
#include "worker_internal.h"

#define TICKET_BYTES	 96
#define ORDER_TIMEOUT_MS 700
#define KNOWN_PROCESS_MS 300  /* an owner has sent it what it must know */
#define POLL_SLACK_MS	 800  /* a poll's timeout beyond its wait */
#define LATE_POLL_MAX_MS 6000 /* a poll without an answer */
#define POLL_CHECK_MS	 20   /* while a poll waits for an end */
#define ENDED_LISTED	 2    /* most ended runs in a report */

/* A call of an entry to a worker: an order or a poll. */
typedef struct {
	sim_entry_t *entry;
	uint64_t generation;
	sim_worker_t *worker;
	int64_t started_ms; /* of the worker process that is called */
	bool to_former;	    /* it names an earlier process */
	sched_order_t order;
	int64_t sent_ms; /* of order */
	char task[64];	 /* of order, whose own strings are the caller's */
	char ticket[TICKET_BYTES];
	sched_poll_t poll;
	sched_order_result_t result;
	int64_t clock_ms;
	int64_t wait_until_ms; /* of a poll */
	bool is_poll;
	bool answers_late; /* once the entry has given it up */
	GArray *running;   /* of sched_running_t */
	GArray *ended;	   /* of sched_ended_t */
	bool ended_cut;
	int64_t reported_started_ms;
} worker_call_t;

static void
call_free(worker_call_t *c)
{
	if (c->running != NULL)
		g_array_unref(c->running);
	if (c->ended != NULL)
		g_array_unref(c->ended);
	g_free(c);
}

/*
 * An answer, or its timeout, reaches the entry; a paused process gets it
 * later.
 */
static void
on_order_answer(world_t *w, void *arg)
{
	worker_call_t *c = arg;

	if (c->order.kind == SCHED_START && c->result == SCHED_ORDER_IN_DOUBT) {
		world_ground_truth(w, c->task)->start_unanswered = true;
		quotas_run_in_doubt(w, worker_job_of(w, c->task));
	}
	if (entry_is_alive(c->entry, c->generation) && c->entry->paused) {
		world_schedule(w, PAUSED_RETRY_MS, on_order_answer, c);
		return;
	}
	if (entry_is_alive(c->entry, c->generation))
		sched_order_done(c->entry->sched, c->order.id, c->result,
		    c->clock_ms, w->now_ms);
	call_free(c);
}

/*
 * Whether an order that is carried out late takes effect: at the process that it was
 * sent to, or at a later one with that id, of which its owner knows for a while.
 */
static bool
has_effect_late(const world_t *w, const worker_call_t *c)
{
	const sim_worker_t *wk = c->worker;

	if (!wk->up || wk->started_ms == c->started_ms)
		return wk->up;
	return !wk->new_ids && wk->read_token == c->order.token &&
	    w->now_ms - wk->read_since_ms >= KNOWN_PROCESS_MS;
}

/* An order without an answer arrives at last. */
static void
on_order_late(world_t *w, void *arg)
{
	worker_call_t *c = arg;

	if (has_effect_late(w, c)) {
		worker_advance(w, c->worker);
		worker_execute_order(w, c->worker, &c->order, c->sent_ms);
	}
	call_free(c);
}

/* Crashes the worker if the order has started a task that does so at once. */
static bool
crashes_at_once(world_t *w, sim_worker_t *wk, const sched_order_t *o)
{
	const sim_job_t *job = worker_job_of(w, o->task);
	const sim_run_t *run = worker_find_run(wk, o->task);

	if (o->kind != SCHED_START || run == NULL || run->run != o->run ||
	    !worker_task_is_deadly(job, o->task) || job->deadly_after_ms > 0)
		return false;
	worker_crash_and_reboot(w, wk);
	return true;
}

/* Whether the answer to a call that arrives now does not reach its entry. */
static bool
answer_is_cut(const worker_call_t *c)
{
	return c->worker->polls.answers_cut[c->entry->index];
}

static int32_t
answer_delay_ms(world_t *w, const sim_worker_t *wk)
{
	return NETWORK_DELAY_MS +
	    handover_random_int(w, 0, wk->polls.answer_delay_ms);
}

/* An order arrives at its worker. */
static void
on_order_arrived(world_t *w, void *arg)
{
	worker_call_t *c = arg, *late;
	sim_worker_t *wk = c->worker;

	if (!wk->up || wk->cut_from[c->entry->index]) {
		c->result = SCHED_ORDER_IN_DOUBT;
		world_schedule(w, ORDER_TIMEOUT_MS, on_order_answer, c);
		return;
	}
	worker_advance(w, wk);
	if (c->to_former) {
		c->result = SCHED_ORDER_RESTARTED;
		world_schedule(w, NETWORK_DELAY_MS, on_order_answer, c);
		return;
	}
	if (world_chance(w, wk->lost_order_share)) {
		late = g_new0(worker_call_t, 1);
		*late = *c;
		late->order.task = late->task;
		late->order.ticket = late->ticket;
		world_schedule(
		    w, world_random_int(w, 500, 8000), on_order_late, late);
		c->result = SCHED_ORDER_IN_DOUBT;
		world_schedule(w, ORDER_TIMEOUT_MS, on_order_answer, c);
		return;
	}
	c->result = worker_execute_order(w, wk, &c->order, c->sent_ms);
	c->clock_ms = worker_clock_ms(w, wk);
	if (crashes_at_once(w, wk, &c->order) || answer_is_cut(c)) {
		c->result = SCHED_ORDER_IN_DOUBT;
		c->clock_ms = 0;
		world_schedule(w, ORDER_TIMEOUT_MS, on_order_answer, c);
		return;
	}
	world_schedule(w, answer_delay_ms(w, wk), on_order_answer, c);
}

void
worker_order(sim_entry_t *en, const sched_order_t *o)
{
	worker_call_t *c = g_new0(worker_call_t, 1);

	c->entry = en;
	c->generation = en->generation;
	c->worker = worker_by_id(en->world, o->worker);
	c->started_ms = c->worker->started_ms;
	c->to_former = strcmp(c->worker->id, o->worker) != 0;
	c->order = *o;
	c->sent_ms = en->world->now_ms;
	g_strlcpy(c->task, o->task, sizeof(c->task));
	c->order.task = c->task;
	g_strlcpy(c->ticket, o->ticket, sizeof(c->ticket));
	c->order.ticket = c->ticket;
	c->order.spec = c->order.checkpoint = "";
	world_schedule(en->world, NETWORK_DELAY_MS, on_order_arrived, c);
}

/* Notes which tasks an owner reads to be done, from a process that it knows. */
static void
note_ends_read(world_t *w, const worker_call_t *c, const sched_report_t *report)
{
	sim_worker_t *wk = c->worker;

	if (!sched_is_owner(c->entry->sched) ||
	    report->started_ms != wk->started_ms)
		return;
	if (!c->answers_late && wk->read_token != c->poll.token) {
		wk->read_token = c->poll.token;
		wk->read_since_ms = w->now_ms;
	}
	for (size_t i = 0; i < report->nended; i++) {
		ground_truth_t *truth =
		    world_ground_truth(w, report->ended[i].task);

		if (report->ended[i].outcome != SCHED_RUN_DONE ||
		    wk->read_token != c->poll.token)
			continue;
		truth->done_read_token = c->poll.token;
		truth->done_read_ms = w->now_ms;
	}
}

/* Like on_order_answer; without a report when the call failed. */
static void
on_poll_answer(world_t *w, void *arg)
{
	worker_call_t *c = arg;
	sched_report_t report = { .clock_ms = c->clock_ms,
		.started_ms = c->reported_started_ms };

	if (entry_is_alive(c->entry, c->generation) && c->entry->paused) {
		world_schedule(w, PAUSED_RETRY_MS, on_poll_answer, c);
		return;
	}
	if (entry_is_alive(c->entry, c->generation)) {
		if (c->running != NULL) {
			report.running = (void *)c->running->data;
			report.nrunning = c->running->len;
			report.ended = (void *)c->ended->data;
			report.nended = c->ended->len;
			report.ended_cut = c->ended_cut;
			report.late = c->answers_late;
			note_ends_read(w, c, &report);
		}
		sched_poll_done(c->entry->sched, c->poll.id, c->poll.worker,
		    c->result, c->running == NULL ? NULL : &report, w->now_ms);
	}
	call_free(c);
}

/* Drops ended runs up to ack_seq, which the owner has acknowledged. */
static void
acknowledge_ends(world_t *w, sim_worker_t *wk, int64_t ack_seq)
{
	for (guint i = wk->ended->len; i-- > 0;) {
		sim_ended_t *ended = g_ptr_array_index(wk->ended, i);
		ground_truth_t *truth = world_ground_truth(w, ended->task);

		if (ended->seq > ack_seq)
			continue;
		if (ended->outcome == SCHED_RUN_DONE &&
		    !ended->lease_expired_since) {
			if (!truth->done_acked)
				truth->done_acked_ms = w->now_ms;
			truth->done_acked = true;
			w->tasks_done++;
		} else if (ended->outcome == SCHED_RUN_FAILED)
			truth->failures_acked++;
		g_ptr_array_remove_index(wk->ended, i);
	}
}

static void
make_report(world_t *w, worker_call_t *c)
{
	sim_worker_t *wk = c->worker;

	c->running = g_array_new(FALSE, TRUE, sizeof(sched_running_t));
	c->ended = g_array_new(FALSE, TRUE, sizeof(sched_ended_t));
	for (guint i = 0; i < wk->runs->len; i++) {
		const sim_run_t *run = g_ptr_array_index(wk->runs, i);
		sched_running_t s = { .task = g_intern_string(run->task),
			.run = run->run,
			.checkpoint = "",
			.percent = 100 };

		sim_overload_report(w, wk, run, &s);
		g_array_append_val(c->running, s);
	}
	c->ended_cut = wk->ended->len > ENDED_LISTED;
	for (guint i = 0; i < MIN(ENDED_LISTED, wk->ended->len); i++) {
		const sim_ended_t *ended = g_ptr_array_index(wk->ended, i);
		sched_ended_t s = { .seq = ended->seq,
			.task = g_intern_string(ended->task),
			.run = ended->run,
			.outcome = ended->outcome,
			.checkpoint = "" };

		g_array_append_val(c->ended, s);
	}
	c->clock_ms = worker_clock_ms(w, wk);
	c->reported_started_ms = wk->started_ms;
}

/* What a poll does at its worker besides asking for a report. */
static void
execute_poll(world_t *w, sim_worker_t *wk, const sched_poll_t *p)
{
	wk->token = p->token;
	if (p->deadline_ms > worker_clock_ms(w, wk))
		wk->lease_until_ms = MAX(wk->lease_until_ms,
		    MIN(p->deadline_ms, worker_clock_ms(w, wk) + MAX_LEASE_MS));
	acknowledge_ends(w, wk, p->ended_ack_seq);
}

/* Like on_order_late; the answer may come after the entry has given the poll up. */
static void
on_poll_late(world_t *w, void *arg)
{
	worker_call_t *c = arg;
	sim_worker_t *wk = c->worker;

	if (!wk->up || wk->started_ms != c->started_ms) {
		call_free(c);
		return;
	}
	worker_advance(w, wk);
	if (c->poll.token >= wk->token)
		execute_poll(w, wk, &c->poll);
	if (!c->answers_late || c->poll.token < wk->token) {
		call_free(c);
		return;
	}
	make_report(w, c);
	c->result = SCHED_ORDER_OK;
	world_schedule(w,
	    c->poll.wait_ms + POLL_SLACK_MS + weak_entry_late_ms(w),
	    on_poll_answer, c);
}

/* Lets a poll fail that has just arrived; false: it does not. */
static bool
lose_poll(world_t *w, worker_call_t *c)
{
	const poll_faults_t *f = &c->worker->polls;
	bool late = handover_chance(w, f->late_share);
	bool weak = false;
	worker_call_t *copy;

	if (!late && !handover_chance(w, f->unanswered_share) &&
	    !answer_is_cut(c)) {
		weak = weak_entry_loses_poll(w, c->entry);
		if (!weak)
			return false;
	}
	copy = g_new0(worker_call_t, 1);
	*copy = *c;
	copy->answers_late = weak;
	world_schedule(w,
	    late ? handover_random_int(w, 100, LATE_POLL_MAX_MS) : 0,
	    on_poll_late, copy);
	c->result = SCHED_ORDER_IN_DOUBT;
	world_schedule(w, c->poll.wait_ms + POLL_SLACK_MS, on_poll_answer, c);
	return true;
}

/*
 * A poll arrives at its worker, or is checked again while it waits for a run to
 * end.
 */
static void
on_poll_arrived(world_t *w, void *arg)
{
	worker_call_t *c = arg;
	sim_worker_t *wk = c->worker;
	bool arrives = c->started_ms == 0;

	/* The poll fails if the worker restarts while it waits. */
	if (arrives)
		c->started_ms = wk->started_ms;
	if (!wk->up || wk->cut_from[c->entry->index] ||
	    wk->started_ms != c->started_ms) {
		c->result = SCHED_ORDER_IN_DOUBT;
		world_schedule(
		    w, c->poll.wait_ms + POLL_SLACK_MS, on_poll_answer, c);
		return;
	}
	worker_advance(w, wk);
	if (c->to_former) {
		c->result = SCHED_ORDER_RESTARTED;
		world_schedule(w, NETWORK_DELAY_MS, on_poll_answer, c);
		return;
	}
	if (c->poll.token < wk->token) {
		c->result = SCHED_ORDER_FENCED;
		world_schedule(w, NETWORK_DELAY_MS, on_poll_answer, c);
		return;
	}
	if (arrives && lose_poll(w, c))
		return;
	execute_poll(w, wk, &c->poll);
	/* A poll that waits extends the lease and acknowledges ends only once,
	 * when it arrives. */
	c->poll.deadline_ms = 0;
	c->poll.ended_ack_seq = 0;
	if (wk->ended->len == 0 && w->now_ms < c->wait_until_ms) {
		world_schedule(w, POLL_CHECK_MS, on_poll_arrived, c);
		return;
	}
	make_report(w, c);
	c->result = SCHED_ORDER_OK;
	if (answer_is_cut(c)) {
		c->result = SCHED_ORDER_IN_DOUBT;
		g_array_unref(g_steal_pointer(&c->running));
		world_schedule(w, POLL_SLACK_MS, on_poll_answer, c);
		return;
	}
	world_schedule(w, answer_delay_ms(w, wk), on_poll_answer, c);
}

void
worker_poll(sim_entry_t *en, const sched_poll_t *p)
{
	worker_call_t *c = g_new0(worker_call_t, 1);

	c->entry = en;
	c->generation = en->generation;
	c->is_poll = true;
	c->worker = worker_by_id(en->world, p->worker);
	c->to_former = strcmp(c->worker->id, p->worker) != 0;
	c->poll = *p;
	c->poll.worker = g_intern_string(p->worker);
	c->wait_until_ms = en->world->now_ms + p->wait_ms;
	if (en->world->verbose)
		printf("%7.3f %s poll %s ack_seq=%" PRId64 " wait_ms=%d\n",
		    (double)en->world->now_ms / 1000, en->name, p->worker,
		    p->ended_ack_seq, p->wait_ms);
	if (handover_chance(en->world, c->worker->polls.failed_share)) {
		c->result = handover_chance(en->world, 0.5) ?
		    SCHED_ORDER_NOT_SENT :
		    SCHED_ORDER_UNHEALTHY;
		world_schedule(en->world, NETWORK_DELAY_MS, on_poll_answer, c);
		return;
	}
	world_schedule(en->world, NETWORK_DELAY_MS, on_poll_arrived, c);
}

/* The call of an event as its worker will see it. */
static void
digest_call(digest_t *d, world_t *w, const worker_call_t *c)
{
	int64_t clock_ms = worker_clock_ms(w, c->worker);

	digest_put(d, c->worker->index);
	digest_put(d, c->to_former << 1 | c->is_poll);
	digest_put_rank(d, RANK_START, c->started_ms);
	if (!c->is_poll) {
		digest_put(d, c->order.kind);
		digest_put_string(d, c->task);
		digest_put_rank(d, RANK_RUN, c->order.run);
		digest_put_rank(d, RANK_VERSION, c->order.token);
		digest_put(d, c->order.deadline_ms - clock_ms);
		return;
	}
	digest_put_rank(d, RANK_VERSION, c->poll.token);
	digest_put(
	    d, c->poll.deadline_ms == 0 ? 0 : c->poll.deadline_ms - clock_ms);
	digest_put(d,
	    c->poll.ended_ack_seq == 0 ?
		0 :
		c->worker->last_end_seq - c->poll.ended_ack_seq + 1);
	digest_put_end(d, c->wait_until_ms);
}

/* Its answer. */
static void
digest_answer(digest_t *d, world_t *w, const worker_call_t *c)
{
	digest_put(d, c->result);
	digest_put(d,
	    c->clock_ms == 0 ? 0 : c->clock_ms - worker_clock_ms(w, c->worker));
	digest_put_rank(d, RANK_START, c->reported_started_ms);
	if (c->running == NULL)
		return;
	digest_put(d, c->ended_cut);
	for (guint i = 0; i < c->running->len; i++) {
		const sched_running_t *s =
		    &g_array_index(c->running, sched_running_t, i);

		digest_put_string(d, s->task);
		digest_put_rank(d, RANK_RUN, s->run);
	}
	for (guint i = 0; i < c->ended->len; i++) {
		const sched_ended_t *s =
		    &g_array_index(c->ended, sched_ended_t, i);

		digest_put_string(d, s->task);
		digest_put_rank(d, RANK_RUN, s->run);
		digest_put(d, s->outcome);
		digest_put(d, c->worker->last_end_seq - s->seq);
	}
}

bool
worker_digest_event(digest_t *d, world_t *w, const event_t *e)
{
	const worker_call_t *c = e->arg;
	bool late = e->fn == on_poll_late || e->fn == on_order_late, alive;

	if (!late && e->fn != on_order_arrived && e->fn != on_poll_arrived &&
	    e->fn != on_order_answer && e->fn != on_poll_answer)
		return false;
	alive = entry_is_alive(c->entry, c->generation);
	if (!alive && e->fn == on_poll_answer)
		return false;
	digest_put(d, c->entry->index << 1 | alive);
	digest_call(d, w, c);
	digest_answer(d, w, c);
	return true;
}
