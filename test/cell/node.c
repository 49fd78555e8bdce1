/*
 * Entries: each runs the scheduler on the ports of the world.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define POLL_MS 500
#define LIST_MS 800 /* the list lags */

bool
node_hears(const sim_node_t *n, uint64_t life)
{
	return n->up && n->life == life;
}

static void
do_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	store_claim(ctx, version, owner);
}

static void
do_load(void *ctx)
{
	store_load(ctx);
}

static void
do_write(void *ctx, int64_t version, const GArray *puts)
{
	store_write(ctx, version, puts);
}

static void
do_order(void *ctx, const sched_order_t *o)
{
	vm_order(ctx, o);
}

static void
do_look(void *ctx, const sched_poll_t *l)
{
	vm_look(ctx, l);
}

static void
do_event(void *ctx, sched_evt_t number, const char *subject, char *fields)
{
	sim_node_t *n = ctx;

	if (n->w->verbose)
		printf("%7.3f %s %d %s %s\n", (double)n->w->now_ms / 1000,
		    n->name, number, subject, fields);
	g_free(fields);
}

typedef struct {
	sim_node_t *n;
	uint64_t life;
} beat_t;

static void
on_tick(world_t *w, void *arg)
{
	beat_t *b = arg;
	sim_node_t *n = b->n;
	int32_t ms = 20;

	if (!n->up || n->life != b->life) {
		g_free(b);
		return;
	}
	if (!n->frozen) {
		if (n->tick_ms != 0 && w->now_ms - n->tick_ms > 700)
			sched_process_paused(n->s, w->now_ms);
		n->tick_ms = w->now_ms;
		ms = MIN(ms, sched_tick(n->s, w->now_ms, w->now_ms));
		/* Zones are told at once, without a store. */
		sched_feed_read(n->s, SCHED_FEED_OPERATORS, w->now_ms);
		sched_set_store_outage(
		    n->s, w->store_down, w->down_ms, w->now_ms);
		if (sched_is_owner(n->s))
			store_feed(n);
	}
	world_after(w, ms, on_tick, b);
}

static void
on_poll(world_t *w, void *arg)
{
	beat_t *b = arg;

	if (!b->n->up || b->n->life != b->life) {
		g_free(b);
		return;
	}
	if (!b->n->frozen)
		store_poll_owner(b->n);
	world_after(w, POLL_MS, on_poll, b);
}

static void
on_list(world_t *w, void *arg)
{
	beat_t *b = arg;

	if (!b->n->up || b->n->life != b->life) {
		g_free(b);
		return;
	}
	if (!b->n->frozen)
		vm_list(b->n);
	world_after(w, LIST_MS, on_list, b);
}

static beat_t *
beat(sim_node_t *n)
{
	beat_t *b = g_new0(beat_t, 1);

	b->n = n;
	b->life = n->life;
	return b;
}

void
node_boot(world_t *w, sim_node_t *n)
{
	sched_opts_t o = { .name = n->name,
		.max_lease_ms = MAX_HOLD_MS,
		.port = { do_claim, do_load, do_write, do_order, do_look, NULL,
		    NULL, do_event },
		.ctx = n };

	if (n->up)
		return;
	n->up = true;
	n->frozen = false;
	n->life++;
	n->incarnation = o.incarnation = w->now_ms + n->index;
	n->feeding = false;
	n->tick_ms = 0;
	n->s = sched_new(&o);
	sched_set_queue(n->s, "q", "s", 0, 2, false, w->now_ms);
	world_tell_zones(w, n);
	world_after(w, n->index, on_tick, beat(n));
	world_after(w, n->index, on_poll, beat(n));
	world_after(w, n->index, on_list, beat(n));
}

void
node_kill(sim_node_t *n)
{
	if (!n->up)
		return;
	n->up = false;
	sched_free(n->s);
	n->s = NULL;
}
