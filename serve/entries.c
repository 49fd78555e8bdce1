/*
 * The other entries: who they are, and what entries tell one another.
 *
 * They find one another by rows of the store.  One that the store does not
 * answer says so to all others, over and over; who hears that from nearly all
 * of them knows that the store is away for all, so that nobody can claim what
 * it owns.  One that leaves names its heir among them, and tells them when
 * the cell is free.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "../cmd/cmd.h"
#include "serve.h"

#define ENTRY_TABLE  "entry"
#define ENTRY_PART   "e"
#define SILENT_MS    700 /* without an answer of the store */
#define SAY_MS	     150 /* between two datagrams to each */
#define HEARD_MS     600 /* a datagram counts so long; three may be lost */
#define SHARE_PCT    75	 /* of the others must miss the store */
#define WRITE_MS     1500
#define RETRY_MS     300
#define CPU_UNITS    4000  /* strength of a core */
#define LINK_UNITS   20	   /* strength of a Mbit/s: 50 go with a quarter core */
#define STRONGER_PCT 130   /* of this entry's strength, to be much stronger */
#define STRONGER_MAX 4	   /* that count */
#define HANDICAP_MS  150   /* for each: they look at the cell so often */
#define WAIT_MS	     20000 /* entries change seldom */

typedef struct {
	char *ip;
	int32_t port;
	int64_t heard_ms; /* last datagram */
	int64_t store_ms; /* when the store last answered it */
	int32_t strength;
	int64_t incarnation;
} entry_row_t;

struct entries {
	node_t *node;
	dgram_t *dgram;
	table_watch_t *follow;
	GHashTable *others; /* name -> entry_row_t; without this one */
	uv_timer_t timer;
	uv_timer_t retry;
	bool for_all;
};

static void
row_free(void *p)
{
	entry_row_t *e = p;

	g_free(e->ip);
	g_free(e);
}

/*
 * What this entry can bear: processor share, or link where that is less.
 */
static int32_t
strength(const node_t *n)
{
	double cpu = g_ascii_strtod(n->opts.cpu_share, NULL) * CPU_UNITS;
	double link = g_ascii_strtod(n->opts.link_mbps, NULL) * LINK_UNITS;

	return (int32_t)MIN(cpu, link);
}

/* An entry leaves the cell for a while to each that is much stronger. */
static void
set_handicap(entries_t *o)
{
	int32_t own = strength(o->node), stronger = 0;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, o->others);
	while (g_hash_table_iter_next(&it, NULL, &v))
		stronger +=
		    ((entry_row_t *)v)->strength * 100 > own * STRONGER_PCT;
	sched_set_claim_delay(cell_driver_sched(o->node->cell_driver),
	    MIN(stronger, STRONGER_MAX) * HANDICAP_MS);
}

static void
on_row(void *ctx, const store_row_t *row)
{
	entries_t *o = ctx;
	Sched__Entry *e = NULL;
	entry_row_t *r;

	if (strcmp(row->key, o->node->opts.name) == 0)
		return;
	if (row->bytes != NULL)
		e = sched__entry__unpack(NULL, row->nbytes, row->bytes);
	if (e == NULL) {
		g_hash_table_remove(o->others, row->key);
		set_handicap(o);
		return;
	}
	r = g_new0(entry_row_t, 1);
	r->ip = g_strdup(e->ip);
	r->port = e->port;
	r->strength = e->strength;
	r->incarnation = e->incarnation;
	g_hash_table_replace(o->others, g_strdup(row->key), r);
	sched__entry__free_unpacked(e, NULL);
	set_handicap(o);
}

static void
on_data(void *ctx, const uint8_t *data, size_t n)
{
	entries_t *o = ctx;
	Sched__Notice *s = sched__notice__unpack(NULL, n, data);
	entry_row_t *r;

	if (s == NULL) {
		o->node->stats.bad_input++;
		log_event(EVT_BAD_PEER, "why=\"datagram does not unpack\"");
		return;
	}
	r = g_hash_table_lookup(o->others, s->name);
	if (s->released)
		cell_driver_poll_owner(o->node->cell_driver);
	else if (r != NULL) {
		r->heard_ms = node_now_ms(o->node);
		r->store_ms = r->heard_ms - s->silent_ms;
	}
	sched__notice__free_unpacked(s, NULL);
}

static void
say(entries_t *o, int64_t silent_ms, bool released)
{
	Sched__Notice s = SCHED__NOTICE__INIT;
	g_autofree uint8_t *b = NULL;
	GHashTableIter it;
	size_t n;
	void *v;

	s.name = o->node->opts.name;
	s.incarnation = o->node->incarnation;
	s.silent_ms = (int32_t)silent_ms;
	s.released = released;
	n = sched__notice__get_packed_size(&s);
	b = g_malloc(n);
	sched__notice__pack(&s, b);
	g_hash_table_iter_init(&it, o->others);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const entry_row_t *r = v;

		dgram_send(o->dgram, r->ip, r->port, b, n);
	}
}

/* Nearly all others have said of late that they miss the store too. */
static bool
all_miss_it(const entries_t *o, int64_t now, int64_t *last_ms)
{
	guint n = g_hash_table_size(o->others), silent = 0;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, o->others);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const entry_row_t *r = v;

		if (r->heard_ms == 0 || now - r->heard_ms >= HEARD_MS)
			continue;
		silent++;
		*last_ms = MAX(*last_ms, r->store_ms);
	}
	return n > 0 && silent * 100 >= n * SHARE_PCT;
}

static void
on_timer(uv_timer_t *t)
{
	entries_t *o = t->data;
	node_t *n = o->node;
	int64_t now = node_now_ms(n), silent = now - n->store_answered_ms;
	int64_t last_ms = 0;
	bool for_all = false;

	if (silent >= SILENT_MS) {
		say(o, silent, false);
		for_all = all_miss_it(o, now, &last_ms);
	}
	if (for_all || o->for_all)
		sched_set_store_outage(
		    cell_driver_sched(n->cell_driver), for_all, last_ms, now);
	o->for_all = for_all;
}

static void write_row(entries_t *o);

static void
on_retry(uv_timer_t *t)
{
	write_row(t->data);
}

static void
on_written(void *ctx, store_result_t r, const store_answer_t *a)
{
	entries_t *o = ctx;

	(void)a;
	node_record_store_answer(o->node, r);
	if (r != STORE_OK)
		uv_timer_start(&o->retry, on_retry, RETRY_MS, 0);
}

static void
write_row(entries_t *o)
{
	node_t *n = o->node;
	Sched__Entry e = SCHED__ENTRY__INIT;
	g_autofree uint8_t *b = NULL;
	store_put_t put = { .key = n->opts.name };
	store_tx_t tx = { .table = ENTRY_TABLE,
		.partition = ENTRY_PART,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = WRITE_MS };

	e.ip = n->opts.ip;
	e.port = n->opts.peer_port;
	e.incarnation = n->incarnation;
	e.strength = strength(n);
	put.nbytes = sched__entry__get_packed_size(&e);
	put.bytes = b = g_malloc(put.nbytes);
	sched__entry__pack(&e, b);
	store_tx(n->platform, &tx, on_written, o);
}

entries_t *
entries_new(node_t *n, GError **err)
{
	entries_t *o = g_new0(entries_t, 1);
	dgram_opts_t d = { .loop = n->loop,
		.ip = n->opts.ip,
		.port = n->opts.peer_port,
		.on_data = on_data,
		.ctx = o };
	table_watch_opts_t f = { .node = n,
		.table = ENTRY_TABLE,
		.partition = ENTRY_PART,
		.long_poll_ms = WAIT_MS,
		.poll_gap_ms = RETRY_MS,
		.on_row = on_row,
		.ctx = o };

	o->node = n;
	o->others =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
	o->dgram = dgram_new(&d, err);
	if (o->dgram == NULL)
		return NULL;
	o->follow = table_watch_new(&f);
	table_watch_start(o->follow);
	uv_timer_init(n->loop, &o->retry);
	uv_timer_init(n->loop, &o->timer);
	o->retry.data = o->timer.data = o;
	uv_timer_start(&o->timer, on_timer, SAY_MS, SAY_MS);
	write_row(o);
	return o;
}

/*
 * Who is to own the cell after this entry, which leaves: of those that can
 * bear as much, the one that started last, as restarts go round.
 */
const char *
entries_successor(const entries_t *o)
{
	int32_t own = strength(o->node);
	const char *heir = "";
	int64_t started = 0;
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, o->others);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		const entry_row_t *r = v;

		if (r->strength * STRONGER_PCT < own * 100 ||
		    r->incarnation <= started)
			continue;
		started = r->incarnation;
		heir = k;
	}
	return heir;
}

void
entries_announce_release(entries_t *o)
{
	say(o, 0, true);
}

/* The entry leaves in order: the others need not count on it. */
static void
on_removed(void *ctx, store_result_t r, const store_answer_t *a)
{
	(void)a;
	node_record_store_answer(ctx, r);
}

void
entries_deregister(entries_t *o)
{
	store_put_t put = { .key = o->node->opts.name };
	store_tx_t tx = { .table = ENTRY_TABLE,
		.partition = ENTRY_PART,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = WRITE_MS };

	store_tx(o->node->platform, &tx, on_removed, o->node);
}
