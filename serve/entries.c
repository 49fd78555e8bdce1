/*
 * The other entries of the cell: who they are, and the notices they exchange.
 *
 * Each entry registers itself in a table of the store and watches that table.
 * An entry that the store has stopped answering sends a notice to all others
 * every SEND_GAP_MS.  One that receives such notices from nearly all others
 * concludes that there is an outage of the store for all, so that nobody can
 * claim the cell it owns; an entry that the store does answer tells such an owner
 * so, also one that does not know it.  An entry that leaves names its successor
 * among the others, and sends a notice once it has released the cell.
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
#include "store_clock.h"
#include "outage.h"
#include "strength.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"

#define ENTRY_TABLE	 "entry"
#define ENTRY_PARTITION	 "e"
#define NOTICE_AFTER_MS	 700 /* without an answer of the store */
#define SEND_GAP_MS	 150 /* between two notices to each entry */
#define UNLISTED_MS	 600 /* so long counts what an unknown entry says */
#define WRITE_TIMEOUT_MS 1500
#define RETRY_GAP_MS	 300
#define LONG_POLL_MS	 20000 /* entries change seldom */

typedef struct {
	net_addr_t at;
	outage_report_t report; /* by our clock */
	int32_t strength;
	int64_t incarnation;
} peer_entry_t;

struct entries {
	node_t *node;
	dgram_t *dgram;
	table_watch_t *watch;
	GHashTable *others; /* name -> peer_entry_t; without this one */
	/* Of an entry that is not among them yet, and that the store answers. */
	outage_report_t unlisted;
	uv_timer_t send_timer;
	uv_timer_t retry_timer;
	outage_t outage; /* as of the last run of send_timer */
	bool leaving;	 /* its row has been or is being removed */
	int64_t started_ms;
};

/* The strength of this entry. */
static int32_t
own_strength(const entries_t *es)
{
	const node_opts_t *o = &es->node->opts;

	return strength_of(g_ascii_strtod(o->cpu_share, NULL),
	    g_ascii_strtod(o->link_mbps, NULL));
}

/*
 * Returns the other entries with their strengths, of strength_entry_t; valid until
 * one of them changes.
 */
static GArray *
list_others(const entries_t *es)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(strength_entry_t));
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, es->others);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		const peer_entry_t *peer = v;
		strength_entry_t e = { k, peer->strength, peer->incarnation };

		g_array_append_val(list, e);
	}
	return list;
}

/*
 * Tells the scheduler how much later than others this entry claims the cell, and
 * which of them is the strongest.
 */
static void
update_strengths(entries_t *es)
{
	sched_t *s = cell_driver_sched(es->node->cell_driver);
	g_autoptr(GArray) others = list_others(es);
	const strength_entry_t *list = (const strength_entry_t *)others->data;
	int32_t own = own_strength(es);
	const strength_entry_t *e = strength_successor(own, list, others->len);

	sched_set_claim_delay(s,
	    strength_claim_delay_ms(own, list, others->len,
		node_now_ms(es->node) - es->started_ms));
	sched_set_strongest_entry(
	    s, own, e == NULL ? "" : e->name, e == NULL ? 0 : e->strength);
}

static void write_row(entries_t *es);

/* False: a row that doesn't unpack, or holds no address or strength. */
static bool
decode_row(const store_row_t *row, peer_entry_t *peer)
{
	Sched__Entry *e = sched__entry__unpack(NULL, row->nbytes, row->bytes);
	bool ok = e != NULL && net_addr_set(&peer->at, e->ip, e->port) &&
	    e->strength >= 0 && e->strength <= SCHED_AMOUNT_MAX;

	if (ok) {
		peer->strength = e->strength;
		peer->incarnation = e->incarnation;
	}
	sched__entry__free_unpacked(e, NULL);
	return ok;
}

/*
 * Registers this entry again if its row is not the one that it wrote (own; NULL:
 * none): the store may carry out a write of its former process late.
 */
static void
check_own_row(entries_t *es, const peer_entry_t *own)
{
	if (!es->leaving &&
	    (own == NULL || own->incarnation != es->node->incarnation))
		write_row(es);
}

/* Adds or replaces another entry; a row that was removed or is odd removes it. */
static void
on_row(void *ctx, const store_row_t *row)
{
	entries_t *es = ctx;
	peer_entry_t peer = { 0 };
	bool ok = row->bytes != NULL && decode_row(row, &peer);

	if (strcmp(row->key, es->node->opts.name) == 0) {
		check_own_row(es, ok ? &peer : NULL);
		return;
	}
	if (ok)
		g_hash_table_replace(es->others, g_strdup(row->key),
		    g_memdup2(&peer, sizeof(peer)));
	else
		g_hash_table_remove(es->others, row->key);
	if (row->bytes != NULL && !ok) {
		es->node->stats.bad_input++;
		log_event(EVT_BAD_ROW, "table=entries key=%s why=\"%s\"",
		    row->key, "no address or strength of an entry");
	}
	update_strengths(es);
}

/* Sends a notice to another entry or, to NULL, to all of them. */
static void
send_notice(entries_t *es, const peer_entry_t *to, Sched__Notice *notice)
{
	g_autofree uint8_t *b = NULL;
	GHashTableIter it;
	size_t n;
	void *v;

	notice->name = es->node->opts.name;
	notice->incarnation = es->node->incarnation;
	n = sched__notice__get_packed_size(notice);
	b = g_malloc(n);
	sched__notice__pack(notice, b);
	g_hash_table_iter_init(&it, es->others);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const peer_entry_t *peer = v;

		if (to == NULL || to == peer)
			dgram_send(es->dgram, peer->at.ip, peer->at.port, b, n);
	}
}

/* How long the store has not answered this entry. */
static int64_t
store_silent_ms(const entries_t *es)
{
	return node_now_ms(es->node) - es->node->store_answered_ms;
}

/*
 * Tells an owner that the store does not answer that it answers this entry, which
 * may claim the cell, or has done so.
 */
static void
answer_silent(entries_t *es, const char *name, const peer_entry_t *peer)
{
	Sched__Notice notice = SCHED__NOTICE__INIT;
	const sched_t *s = cell_driver_sched(es->node->cell_driver);
	int64_t silent_ms = store_silent_ms(es);

	if (silent_ms >= NOTICE_AFTER_MS)
		return;
	if (!sched_is_owner(s) && !sched_is_loading(s) &&
	    strcmp(sched_owner_name(s), name) != 0)
		return;
	notice.silent_ms = (int32_t)silent_ms;
	notice.released = notice.served = true;
	send_notice(es, peer, &notice);
}

/*
 * Tells an owner that has not renewed its claim for a while that the store answers
 * this entry.  The owner may not know of it, and so not ask.
 */
static void
tell_silent_owner(entries_t *es)
{
	Sched__Notice notice = SCHED__NOTICE__INIT;
	const sched_t *s = cell_driver_sched(es->node->cell_driver);
	const peer_entry_t *owner;

	if (!sched_owner_is_silent(s))
		return;
	owner = g_hash_table_lookup(es->others, sched_owner_name(s));
	if (owner == NULL)
		return;
	notice.silent_ms = (int32_t)store_silent_ms(es);
	notice.released = notice.served = true;
	send_notice(es, owner, &notice);
}

/* Notes what another entry says of the store. */
static void
note_report(
    const entries_t *es, outage_report_t *report, const Sched__Notice *notice)
{
	report->heard_ms = node_now_ms(es->node);
	report->answered_ms = report->heard_ms - notice->silent_ms;
	report->served = notice->served;
}

/* A notice of a release makes a read of the owner's row due at once. */
static void
on_notice(void *ctx, const uint8_t *data, size_t n)
{
	entries_t *es = ctx;
	Sched__Notice *notice = sched__notice__unpack(NULL, n, data);
	peer_entry_t *peer;

	if (notice == NULL) {
		es->node->stats.bad_input++;
		log_event(EVT_BAD_PEER, "why=\"datagram does not unpack\"");
		return;
	}
	peer = g_hash_table_lookup(es->others, notice->name);
	if (notice->released)
		cell_driver_poll_owner(es->node->cell_driver);
	if (peer != NULL && (notice->served || !notice->released))
		note_report(es, &peer->report, notice);
	else if (peer == NULL && notice->served)
		note_report(es, &es->unlisted, notice);
	if (peer != NULL && !notice->released)
		answer_silent(es, notice->name, peer);
	sched__notice__free_unpacked(notice, NULL);
}

/* Updates whether the store answers no entry; see outage_update(). */
static void
update_outage(entries_t *es, int64_t *last_ms)
{
	guint n = g_hash_table_size(es->others), i = 0;
	outage_report_t *reports = g_new(outage_report_t, n + 1);
	int64_t now = node_now_ms(es->node);
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, es->others);
	while (g_hash_table_iter_next(&it, NULL, &v))
		reports[i++] = ((peer_entry_t *)v)->report;
	if (now - es->unlisted.heard_ms < UNLISTED_MS)
		reports[n++] = es->unlisted;
	/* An entry that leaves is not known to the others, which so can't tell it
	 * that the store answers them: it takes no outage for one for all. */
	outage_update(&es->outage, reports, es->leaving ? 0 : n, now, last_ms);
	g_free(reports);
}

/*
 * While the store is silent, sends notices and checks for an outage.  Reports
 * an outage to the scheduler at each run while it lasts, and once when it has
 * ended.
 */
static void
on_send_timer(uv_timer_t *t)
{
	entries_t *es = t->data;
	Sched__Notice notice = SCHED__NOTICE__INIT;
	int64_t silent_ms = store_silent_ms(es), last_ms = 0;
	bool was_on = es->outage.on;

	/* It also depends on how long the process has run. */
	update_strengths(es);
	if (silent_ms >= NOTICE_AFTER_MS) {
		notice.silent_ms = (int32_t)silent_ms;
		send_notice(es, NULL, &notice);
		update_outage(es, &last_ms);
	} else {
		memset(&es->outage, 0, sizeof(es->outage));
		tell_silent_owner(es);
	}
	if (es->outage.on || was_on)
		sched_set_store_outage(cell_driver_sched(es->node->cell_driver),
		    es->outage.on, last_ms, node_now_ms(es->node));
}

static void
on_retry(uv_timer_t *t)
{
	entries_t *es = t->data;

	if (!es->leaving)
		write_row(es);
}

static void
on_written(void *ctx, store_result_t r, const store_answer_t *a)
{
	entries_t *es = ctx;

	node_record_store_answer(es->node, r, a);
	if (r != STORE_OK)
		uv_timer_start(&es->retry_timer, on_retry, RETRY_GAP_MS, 0);
}

/* Registers this entry; repeats until the store has written the row. */
static void
write_row(entries_t *es)
{
	node_t *n = es->node;
	Sched__Entry e = SCHED__ENTRY__INIT;
	g_autofree uint8_t *b = NULL;
	store_put_t put = { .key = n->opts.name };
	store_tx_t tx = { .table = ENTRY_TABLE,
		.partition = ENTRY_PARTITION,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = WRITE_TIMEOUT_MS };

	e.ip = n->opts.ip;
	e.port = n->opts.peer_port;
	e.incarnation = n->incarnation;
	e.strength = own_strength(es);
	put.nbytes = sched__entry__get_packed_size(&e);
	put.bytes = b = g_malloc(put.nbytes);
	sched__entry__pack(&e, b);
	store_tx(n->platform, &tx, on_written, es);
}

entries_t *
entries_new(node_t *n, GError **err)
{
	entries_t *es = g_new0(entries_t, 1);
	dgram_opts_t d = { .loop = n->loop,
		.ip = n->opts.ip,
		.port = n->opts.peer_port,
		.on_data = on_notice,
		.ctx = es };
	table_watch_opts_t watch = { .node = n,
		.table = ENTRY_TABLE,
		.partition = ENTRY_PARTITION,
		.long_poll_ms = LONG_POLL_MS,
		.poll_gap_ms = RETRY_GAP_MS,
		.rewritten = true,
		.on_row = on_row,
		.ctx = es };

	es->node = n;
	es->started_ms = node_now_ms(n);
	es->others =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	es->dgram = dgram_new(&d, err);
	if (es->dgram == NULL)
		return NULL;
	es->watch = table_watch_new(&watch);
	table_watch_start(es->watch);
	uv_timer_init(n->loop, &es->retry_timer);
	uv_timer_init(n->loop, &es->send_timer);
	es->retry_timer.data = es->send_timer.data = es;
	uv_timer_start(
	    &es->send_timer, on_send_timer, SEND_GAP_MS, SEND_GAP_MS);
	update_strengths(es);
	write_row(es);
	return es;
}

const char *
entries_successor(const entries_t *es)
{
	g_autoptr(GArray) others = list_others(es);
	const strength_entry_t *e = strength_successor(
	    own_strength(es), (strength_entry_t *)others->data, others->len);

	return e == NULL ? "" : e->name;
}

void
entries_announce_release(entries_t *es)
{
	Sched__Notice notice = SCHED__NOTICE__INIT;

	notice.released = true;
	send_notice(es, NULL, &notice);
}

static void
on_deregistered(void *ctx, store_result_t r, const store_answer_t *a)
{
	node_record_store_answer(ctx, r, a);
}

void
entries_deregister(entries_t *es)
{
	store_put_t put = { .key = es->node->opts.name };
	store_tx_t tx = { .table = ENTRY_TABLE,
		.partition = ENTRY_PARTITION,
		.puts = &put,
		.nputs = 1,
		.timeout_ms = WRITE_TIMEOUT_MS };

	es->leaving = true;
	store_tx(es->node->platform, &tx, on_deregistered, es->node);
}
