/*
 * Watches a table of the store for the other modules of the daemon: reads the
 * table whole, all partitions concurrently, and then its change feed by long
 * polls.
 *
 * What was missed is learned by reading the table whole again where its rows are
 * rewritten (opts.rewritten), as this costs the same however much was missed, and
 * from the feed where rows are added.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
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
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"

#define PAGE_ROWS 500 /* the most that the store returns */
/*
 * Until an answer begins to arrive: doubled after each failure, as the store may
 * be slow or lose answers, and at least twice the time of the last answer.
 */
#define READ_TIMEOUT_MS	    500
#define READ_TIMEOUT_MAX_MS 2000
#define READ_DOUBLINGS	    2
#define STALL_MS	    1000 /* between parts of an answer */
#define LONG_POLL_MS	    1000 /* the default of long_poll_ms */
#define FEED_DOUBLINGS	    1	 /* a longer wait would hide lost answers */
#define RETRY_GAP_MS	    120	 /* after a failed call */
#define BEHIND_MS	    500	 /* what is older when handed over is late */
/* A row that takes longer is read anew, as the feed would send each version. */
#define SLOW_ROW_MS 100

typedef enum { WATCH_OFF, WATCH_READING, WATCH_FEEDING } watch_state_t;

struct table_watch {
	table_watch_opts_t opts;
	watch_state_t state;
	/*
	 * Grows with each start, stop and retry; answers to calls of an older
	 * generation are dropped.
	 */
	uint64_t generation;
	int64_t version; /* up to which changes were handed over */
	/* The lowest version of the pages read; the feed starts from it. */
	int64_t read_version;
	int64_t read_as_of_ms;	   /* the oldest of the pages read */
	int64_t read_took_ms;	   /* all answers of the whole read so far */
	int64_t known_version;	   /* the newest of rows before it */
	int64_t row_version;	   /* the newest of rows handed over */
	int32_t rows_read;	   /* by the whole read so far */
	int32_t unread_partitions; /* partitions that are not read whole yet */
	int32_t failures;	   /* of calls, since the last answer */
	bool answering;		   /* an answer to a call of it is handled */
	int32_t took_ms; /* of the last answer, beyond a wait for a change */
	bool behind;	 /* the next answer of the feed would be late */
	bool compacted;	 /* the store had not the history that was asked for */
	int32_t resets;	 /* times that it had not, since it last had */
	uv_timer_t feed_timer;
	/* If opts.rewritten: the keys handed over, not removed since. */
	GHashTable *keys;
	GHashTable *unread_keys; /* of these, not met by the read in progress */
};

/* A call to the store that has not been answered. */
typedef struct {
	table_watch_t *tw;
	uint64_t generation;
	char partition[STORE_NAME_BYTES];
	char *next; /* first key of the next page */
	int64_t sent_ms;
	uv_timer_t retry;
} watch_call_t;

static void read_page(watch_call_t *c);
static void read_changes(table_watch_t *tw);

static watch_call_t *
call_new(table_watch_t *tw, const char *partition)
{
	watch_call_t *c = g_new0(watch_call_t, 1);

	c->tw = tw;
	c->generation = tw->generation;
	g_strlcpy(c->partition, partition, sizeof(c->partition));
	c->next = g_strdup("");
	uv_timer_init(tw->opts.node->loop, &c->retry);
	c->retry.data = c;
	return c;
}

static void
on_retry_closed(uv_handle_t *h)
{
	watch_call_t *c = h->data;

	g_free(c->next);
	g_free(c);
}

static void
call_free(watch_call_t *c)
{
	uv_close((uv_handle_t *)&c->retry, on_retry_closed);
}

static void
on_feed_timer(uv_timer_t *t)
{
	table_watch_t *tw = t->data;

	if (tw->state == WATCH_FEEDING)
		read_changes(tw);
}

static void
read_changes_later(table_watch_t *tw, int32_t ms)
{
	uv_timer_start(&tw->feed_timer, on_feed_timer, (uint64_t)ms, 0);
}

static void
on_retry(uv_timer_t *t)
{
	watch_call_t *c = t->data;

	if (c->generation == c->tw->generation)
		read_page(c);
	else
		call_free(c);
}

static GHashTable *
key_set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
add_key(gpointer key, gpointer value, gpointer set)
{
	(void)value;
	g_hash_table_add(set, g_strdup(key));
}

/* The time until an answer begins to arrive, at most so often doubled. */
static int32_t
answer_timeout_ms(const table_watch_t *tw, int32_t doublings)
{
	int32_t ms = READ_TIMEOUT_MS << CLAMP(tw->failures, 0, doublings);

	return MIN(READ_TIMEOUT_MAX_MS, MAX(ms, 2 * tw->took_ms));
}

static void
note_answer(table_watch_t *tw, int64_t took_ms)
{
	tw->failures = 0;
	tw->took_ms = (int32_t)CLAMP(took_ms, 0, READ_TIMEOUT_MAX_MS);
}

/* Starts to read all partitions of the table from their first row. */
static void
read_table(table_watch_t *tw)
{
	tw->generation++;
	tw->state = WATCH_READING;
	tw->behind = tw->compacted = false;
	uv_timer_stop(&tw->feed_timer);
	g_hash_table_remove_all(tw->unread_keys);
	g_hash_table_foreach(tw->keys, add_key, tw->unread_keys);
	tw->read_version = INT64_MAX;
	tw->read_as_of_ms = INT64_MAX;
	tw->read_took_ms = 0;
	tw->known_version = tw->row_version;
	tw->rows_read = 0;
	tw->unread_partitions = MAX(1, tw->opts.partitions);
	for (int32_t i = 0; i < tw->unread_partitions; i++) {
		char partition[STORE_NAME_BYTES];

		if (tw->opts.partitions == 0)
			g_strlcpy(
			    partition, tw->opts.partition, sizeof(partition));
		else
			snprintf(partition, sizeof(partition), "%s%d",
			    tw->opts.partition, i);
		read_page(call_new(tw, partition));
	}
}

static void
deliver_rows(table_watch_t *tw, const store_answer_t *a)
{
	for (size_t i = 0; i < a->nrows; i++) {
		const store_row_t *row = &a->rows[i];

		tw->row_version = MAX(tw->row_version, row->version);
		if (tw->opts.rewritten) {
			g_hash_table_remove(tw->unread_keys, row->key);
			if (row->bytes == NULL)
				g_hash_table_remove(tw->keys, row->key);
			else
				g_hash_table_add(tw->keys, g_strdup(row->key));
		}
		tw->opts.on_row(tw->opts.ctx, row);
	}
}

/*
 * Hands over the removal of the rows that a whole read has not met.  A callback may
 * restart the watch.
 */
static void
deliver_removals(table_watch_t *tw)
{
	g_autoptr(GHashTable) gone = tw->unread_keys;
	GHashTableIter it;
	void *key;

	tw->unread_keys = key_set_new();
	g_hash_table_iter_init(&it, gone);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		store_row_t row = { .key = key, .version = tw->read_version };

		g_hash_table_remove(tw->keys, key);
		tw->opts.on_row(tw->opts.ctx, &row);
	}
}

/*
 * Logs rows that are old once they have been handed over, and notes whether the
 * feed has become a backlog.
 */
static void
note_behind(table_watch_t *tw, const store_answer_t *a, int64_t as_of_ms,
    int64_t arrived_ms)
{
	int64_t now = node_now_ms(tw->opts.node);

	tw->behind = false;
	if (a->nrows == 0 || now - as_of_ms <= BEHIND_MS)
		return;
	tw->behind = a->superseded > 0 || a->has_more;
	log_event(EVT_TABLE_BEHIND,
	    "table=%s behind_ms=%" PRId64 " took_ms=%" PRId64
	    " rows=%zu superseded=%zu",
	    tw->opts.table, now - as_of_ms, now - arrived_ms, a->nrows,
	    a->superseded);
}

/*
 * Whether rows change faster than the feed can tell, as far as a whole read shows:
 * it brought news, and each row took long.
 */
static bool
outruns_feed(const table_watch_t *tw)
{
	return tw->row_version > tw->known_version &&
	    tw->read_took_ms > (int64_t)SLOW_ROW_MS * tw->rows_read;
}

/* Starts the change feed once the last partition was read. */
static void
on_partition_read(table_watch_t *tw)
{
	if (--tw->unread_partitions > 0)
		return;
	tw->version = tw->read_version;
	tw->state = tw->opts.read_once ? WATCH_OFF : WATCH_FEEDING;
	deliver_removals(tw);
	tw->behind = outruns_feed(tw);
	if (tw->opts.on_synced != NULL)
		tw->opts.on_synced(tw->opts.ctx, tw->read_as_of_ms);
	if (tw->opts.on_loaded != NULL)
		tw->opts.on_loaded(tw->opts.ctx);
	/* The callbacks may have stopped or restarted the watch. */
	if (tw->state == WATCH_FEEDING)
		read_changes(tw);
}

/*
 * Records an answer.  If it is the first one after a gap, the other watches call
 * again, but not this one, which has just been answered.
 */
static void
record_answer(const watch_call_t *c, store_result_t r, const store_answer_t *a)
{
	table_watch_t *tw = c->tw;

	tw->answering = r == STORE_OK && c->generation == tw->generation;
	node_record_store_answer(tw->opts.node, r, a);
	tw->answering = false;
}

static void
on_page(void *ctx, store_result_t r, const store_answer_t *a)
{
	watch_call_t *c = ctx;
	table_watch_t *tw = c->tw;
	int64_t as_of_ms, took_ms;

	record_answer(c, r, a);
	if (c->generation != tw->generation) {
		call_free(c);
		return;
	}
	if (r != STORE_OK) {
		tw->failures++;
		uv_timer_start(&c->retry, on_retry, RETRY_GAP_MS, 0);
		return;
	}
	took_ms = node_now_ms(tw->opts.node) - c->sent_ms;
	note_answer(tw, took_ms);
	tw->read_took_ms += took_ms;
	tw->read_version = MIN(tw->read_version, a->version);
	as_of_ms = store_clock_local(&tw->opts.node->store_clock, a->clock_ms,
	    c->sent_ms, node_now_ms(tw->opts.node));
	tw->read_as_of_ms = MIN(tw->read_as_of_ms, as_of_ms);
	tw->rows_read += (int32_t)a->nrows;
	deliver_rows(tw, a);
	if (a->has_more && a->nrows > 0) {
		/* The next page starts just after the last key. */
		g_free(c->next);
		c->next = g_strconcat(a->rows[a->nrows - 1].key, "\x01", NULL);
		read_page(c);
		return;
	}
	call_free(c);
	on_partition_read(tw);
}

/* Reads the rows of a partition from c->next on. */
static void
read_page(watch_call_t *c)
{
	table_watch_t *tw = c->tw;
	store_scan_t scan = { .table = tw->opts.table,
		.partition = c->partition,
		.from = c->next,
		.limit = PAGE_ROWS,
		.timeout_ms = answer_timeout_ms(tw, READ_DOUBLINGS),
		.stall_ms = STALL_MS };

	c->sent_ms = node_now_ms(tw->opts.node);
	store_scan(tw->opts.node->platform, &scan, on_page, c);
}

static int32_t
long_poll_ms(const table_watch_t *tw)
{
	return tw->opts.long_poll_ms == 0 ? LONG_POLL_MS :
					    tw->opts.long_poll_ms;
}

static void
on_changes(void *ctx, store_result_t r, const store_answer_t *a)
{
	watch_call_t *c = ctx;
	table_watch_t *tw = c->tw;
	node_t *n = tw->opts.node;
	bool stale = c->generation != tw->generation;
	int64_t sent_ms = c->sent_ms, now = node_now_ms(n), as_of_ms;

	record_answer(c, r, a);
	call_free(c);
	if (stale)
		return;
	if (r == STORE_COMPACTED) {
		log_event(EVT_FEED_RESET, "table=%s version=%" PRId64,
		    tw->opts.table, tw->version);
		/* A store that forgets at once is not called without a pause. */
		read_changes_later(tw, tw->resets++ > 0 ? RETRY_GAP_MS : 0);
		tw->compacted = true;
		return;
	}
	if (r != STORE_OK) {
		tw->failures++;
		read_changes_later(tw, RETRY_GAP_MS);
		return;
	}
	/* An answer with rows has waited for a change, who knows how long. */
	note_answer(
	    tw, a->nrows > 0 ? tw->took_ms : now - sent_ms - long_poll_ms(tw));
	tw->resets = 0;
	tw->version = MAX(tw->version, a->version);
	as_of_ms =
	    store_clock_local(&n->store_clock, a->clock_ms, sent_ms, now);
	deliver_rows(tw, a);
	note_behind(tw, a, as_of_ms, now);
	if (tw->opts.on_synced != NULL && !a->has_more)
		tw->opts.on_synced(tw->opts.ctx, as_of_ms);
	if (tw->state == WATCH_FEEDING)
		read_changes_later(tw, a->has_more ? 0 : tw->opts.poll_gap_ms);
}

/*
 * Asks the change feed for what is newer than tw->version, or reads the table
 * whole if that may be much.
 */
static void
read_changes(table_watch_t *tw)
{
	int32_t wait_ms = long_poll_ms(tw);
	store_feed_t feed = { .table = tw->opts.table,
		.after_version = tw->version,
		.wait_ms = wait_ms,
		.timeout_ms = wait_ms + answer_timeout_ms(tw, FEED_DOUBLINGS),
		.stall_ms = STALL_MS };
	watch_call_t *c;

	if (tw->compacted ||
	    (tw->opts.rewritten && (tw->behind || tw->failures > 0))) {
		read_table(tw);
		return;
	}
	c = call_new(tw, "");
	c->sent_ms = node_now_ms(tw->opts.node);
	store_feed(tw->opts.node->platform, &feed, on_changes, c);
}

table_watch_t *
table_watch_new(const table_watch_opts_t *o)
{
	table_watch_t *tw = g_new0(table_watch_t, 1);

	tw->opts = *o;
	tw->keys = key_set_new();
	tw->unread_keys = key_set_new();
	uv_timer_init(o->node->loop, &tw->feed_timer);
	tw->feed_timer.data = tw;
	g_ptr_array_add(o->node->watches, tw);
	return tw;
}

void
table_watch_start(table_watch_t *tw)
{
	uv_timer_stop(&tw->feed_timer);
	read_table(tw);
}

void
table_watch_stop(table_watch_t *tw)
{
	tw->generation++;
	tw->state = WATCH_OFF;
	uv_timer_stop(&tw->feed_timer);
}

bool
table_watch_is_on(const table_watch_t *tw)
{
	return tw->state != WATCH_OFF;
}

void
table_watch_retry_now(table_watch_t *tw)
{
	if (tw->state == WATCH_OFF || tw->answering ||
	    (tw->state == WATCH_READING && !tw->opts.rewritten))
		return;
	if (tw->opts.rewritten) {
		read_table(tw);
		return;
	}
	tw->generation++;
	uv_timer_stop(&tw->feed_timer);
	read_changes(tw);
}
