/*
 * The entries of a simulated cell: each runs the scheduler, whose callbacks
 * call the simulated store and workers.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"
#include "digest.h"

#define TICK_MS		 20
#define OWNER_POLL_MS	 500
#define PAUSE_MS	 700  /* as in serve/node.c */
#define LIST_GAP_MS	 800  /* so the list of workers lags */
#define LIST_FIRST_SHARE 0.5  /* of loads */
#define GRACE_MS	 8000 /* a process that leaves ends by then */
#define FEED_LIMIT_MS	 1800 /* as serve/ has it for a drain bound of 2 s */

bool
entry_is_alive(const sim_entry_t *en, uint64_t generation)
{
	return en->up && en->generation == generation;
}

static void
do_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	store_claim(ctx, version, owner);
}

static void
do_load(void *ctx)
{
	sim_entry_t *en = ctx;

	/* The list may be read before the rows or after them. */
	if (handover_chance(en->world, LIST_FIRST_SHARE))
		workers_send_list(en);
	store_load(en);
}

static void
do_write(void *ctx, int64_t version, const GArray *puts)
{
	store_write(ctx, version, puts);
}

static void
do_order(void *ctx, const sched_order_t *o)
{
	worker_order(ctx, o);
}

static void
do_poll(void *ctx, const sched_poll_t *p)
{
	worker_poll(ctx, p);
}

static void
do_event(void *ctx, sched_evt_t number, const char *subject, char *fields)
{
	sim_entry_t *en = ctx;

	if (en->world->verbose)
		printf("%7.3f %s %d %s %s\n", (double)en->world->now_ms / 1000,
		    en->name, number, subject, fields);
	g_free(fields);
}

static void
do_request_approval(void *ctx, const sched_approval_request_t *a)
{
	sim_approval_request(ctx, a);
}

/* Argument of a periodic event of an entry, which ends with its process. */
typedef struct {
	sim_entry_t *entry;
	uint64_t generation;
} entry_timer_t;

/* As continue_stop of serve/node.c; false: the process has ended. */
static bool
continue_stop(world_t *w, sim_entry_t *en)
{
	int64_t over_ms = w->now_ms - en->leaves_after_ms;
	int64_t deadline_ms = en->leave_deadline_ms != 0 ?
	    en->leave_deadline_ms :
	    en->leaves_after_ms + GRACE_MS;
	bool released;

	restarts_set_successor(w, en);
	released = sched_begin_release(en->sched, w->now_ms);
	if (over_ms < 0 || (!released && w->now_ms < deadline_ms))
		return true;
	if (!restarts_entry_left(w, en))
		handover_entry_left(w, en);
	return false;
}

/* Has the other entries read that an entry has released the cell, as serve/ does. */
static void
announce_release(world_t *w, sim_entry_t *en)
{
	if (w->restarts != NULL && en->was_owner &&
	    sched_has_released(en->sched))
		for (int32_t i = 0; i < w->nentries; i++)
			if (w->entries[i].up && !w->entries[i].leaving)
				store_poll_owner(&w->entries[i]);
	en->was_owner = sched_is_owner(en->sched);
}

static void
on_tick(world_t *w, void *arg)
{
	entry_timer_t *timer = arg;
	sim_entry_t *en = timer->entry;
	int32_t next_ms = TICK_MS;

	if (!en->up || en->generation != timer->generation) {
		g_free(timer);
		return;
	}
	if (!en->paused) {
		if (en->last_tick_ms != 0 &&
		    w->now_ms - en->last_tick_ms > PAUSE_MS)
			sched_process_paused(en->sched, w->now_ms);
		en->last_tick_ms = w->now_ms;
		next_ms =
		    MIN(next_ms, sched_tick(en->sched, w->now_ms, w->now_ms));
		announce_release(w, en);
		/* Zones come directly, not through the store, so never lag;
		 * customers do. */
		if (w->ncustomers == 0)
			sched_feed_read(
			    en->sched, SCHED_FEED_OPERATORS, w->now_ms);
		sched_set_store_outage(
		    en->sched, w->store_down, w->outage_changed_ms, w->now_ms);
		if (sched_is_owner(en->sched))
			store_read_changes(en);
		if (en->leaving && !continue_stop(w, en)) {
			g_free(timer);
			return;
		}
	}
	world_schedule(w, next_ms, on_tick, timer);
}

static void
on_owner_poll(world_t *w, void *arg)
{
	entry_timer_t *timer = arg;

	if (!timer->entry->up ||
	    timer->entry->generation != timer->generation) {
		g_free(timer);
		return;
	}
	if (!timer->entry->paused)
		store_poll_owner(timer->entry);
	world_schedule(w, OWNER_POLL_MS, on_owner_poll, timer);
}

static void
on_list(world_t *w, void *arg)
{
	entry_timer_t *timer = arg;

	if (!timer->entry->up ||
	    timer->entry->generation != timer->generation) {
		g_free(timer);
		return;
	}
	/* In serve/ only an owner watches the list. */
	if (!timer->entry->paused &&
	    (w->handover_rand == NULL || sched_is_owner(timer->entry->sched)))
		workers_send_list(timer->entry);
	world_schedule(w, LIST_GAP_MS, on_list, timer);
}

static entry_timer_t *
entry_timer_new(sim_entry_t *en)
{
	entry_timer_t *timer = g_new0(entry_timer_t, 1);

	timer->entry = en;
	timer->generation = en->generation;
	return timer;
}

void
entry_boot(world_t *w, sim_entry_t *en)
{
	sched_opts_t o = { .feed_limit_ms = FEED_LIMIT_MS,
		.name = en->name,
		.max_lease_ms = MAX_LEASE_MS,
		.port = { do_claim, do_load, do_write, do_order, do_poll, NULL,
		    NULL, do_request_approval, do_event },
		.ctx = en };
	sched_queue_t q = { "q", "s", 0, 2, false };

	if (en->up)
		return;
	en->up = true;
	en->paused = en->leaving = en->was_owner = false;
	en->generation++;
	en->incarnation = o.incarnation = w->now_ms + en->index;
	en->feed_in_progress = false;
	en->last_tick_ms = en->list_as_of_ms = en->leave_deadline_ms = 0;
	en->sched = sched_new(&o);
	sched_set_queues(en->sched, &q, 1, w->now_ms);
	if (w->approval != NULL)
		sim_approval_set_queues(w, en);
	world_send_zones(w, en);
	world_schedule(w, en->index, on_tick, entry_timer_new(en));
	world_schedule(w, en->index, on_owner_poll, entry_timer_new(en));
	world_schedule(w, en->index, on_list, entry_timer_new(en));
	customers_entry_booted(w, en);
	weak_entry_booted(w, en);
}

void
entry_kill(sim_entry_t *en)
{
	if (!en->up)
		return;
	en->up = false;
	sched_free(en->sched);
	en->sched = NULL;
}

bool
entry_digest_event(digest_t *d, const event_t *e)
{
	const entry_timer_t *timer = e->arg;

	if ((e->fn != on_tick && e->fn != on_owner_poll && e->fn != on_list) ||
	    !entry_is_alive(timer->entry, timer->generation))
		return false;
	digest_put(d, timer->entry->index);
	return true;
}
