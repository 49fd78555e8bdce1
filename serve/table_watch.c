/*
 * Following a table of the store.
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
#include "serve.h"

#define PAGE_ROWS 500  /* the store's most */
#define READ_MS	  1500 /* for a page; the store may be slow */
#define WAIT_MS	  1000 /* a feed waits so long for a change */
#define FEED_MS	  700  /* for the answer to a feed, beyond its wait */
#define RETRY_MS  120  /* after a failed call */

typedef enum { FOLLOW_OFF, FOLLOW_READING, FOLLOW_FEEDING } follow_state_t;

struct table_watch {
	table_watch_opts_t o;
	follow_state_t state;
	uint64_t round; /* answers to calls of earlier rounds are dropped */
	int64_t version;
	int64_t read_version; /* to feed from, once the table is read */
	int32_t reading;      /* parts that are not read whole */
	uv_timer_t timer;
};

/* A call under way; one of an earlier round is told by its number. */
typedef struct {
	table_watch_t *f;
	uint64_t round;
	char part[STORE_NAME_BYTES];
	char *next; /* key to read on from */
	uv_timer_t retry;
} ask_t;

static void read_page(ask_t *a);
static void feed(table_watch_t *f);

static ask_t *
ask_new(table_watch_t *f, const char *part)
{
	ask_t *a = g_new0(ask_t, 1);

	a->f = f;
	a->round = f->round;
	g_strlcpy(a->part, part, sizeof(a->part));
	a->next = g_strdup("");
	uv_timer_init(f->o.node->loop, &a->retry);
	a->retry.data = a;
	return a;
}

static void
on_ask_closed(uv_handle_t *h)
{
	ask_t *a = h->data;

	g_free(a->next);
	g_free(a);
}

static void
ask_free(ask_t *a)
{
	uv_close((uv_handle_t *)&a->retry, on_ask_closed);
}

static void
on_timer(uv_timer_t *t)
{
	table_watch_t *f = t->data;

	if (f->state == FOLLOW_FEEDING)
		feed(f);
}

static void
after(table_watch_t *f, int32_t ms)
{
	uv_timer_start(&f->timer, on_timer, (uint64_t)ms, 0);
}

static void
on_retry(uv_timer_t *t)
{
	ask_t *a = t->data;

	if (a->round == a->f->round)
		read_page(a);
	else
		ask_free(a);
}

/* Reads all parts at once. */
static void
restart(table_watch_t *f)
{
	f->round++;
	f->state = FOLLOW_READING;
	f->read_version = INT64_MAX;
	f->reading = MAX(1, f->o.partitions);
	for (int32_t i = 0; i < f->reading; i++) {
		char part[STORE_NAME_BYTES];

		if (f->o.partitions == 0)
			g_strlcpy(part, f->o.partition, sizeof(part));
		else
			snprintf(part, sizeof(part), "%s%d", f->o.partition, i);
		read_page(ask_new(f, part));
	}
}

static void
give_rows(table_watch_t *f, const store_answer_t *a)
{
	for (size_t i = 0; i < a->nrows; i++)
		f->o.on_row(f->o.ctx, &a->rows[i]);
}

static void
part_read(table_watch_t *f)
{
	if (--f->reading > 0)
		return;
	f->version = f->read_version;
	f->state = f->o.read_once ? FOLLOW_OFF : FOLLOW_FEEDING;
	if (f->o.on_synced != NULL)
		f->o.on_synced(f->o.ctx);
	if (f->o.on_loaded != NULL)
		f->o.on_loaded(f->o.ctx);
	/* The callback may have stopped or restarted this. */
	if (f->state == FOLLOW_FEEDING)
		feed(f);
}

static void
on_page(void *ctx, store_result_t r, const store_answer_t *a)
{
	ask_t *ask = ctx;
	table_watch_t *f = ask->f;

	node_record_store_answer(f->o.node, r);
	if (ask->round != f->round) {
		ask_free(ask);
		return;
	}
	if (r != STORE_OK) {
		uv_timer_start(&ask->retry, on_retry, RETRY_MS, 0);
		return;
	}
	f->read_version = MIN(f->read_version, a->version);
	give_rows(f, a);
	if (a->has_more && a->nrows > 0) {
		g_free(ask->next);
		ask->next =
		    g_strconcat(a->rows[a->nrows - 1].key, "\x01", NULL);
		read_page(ask);
		return;
	}
	ask_free(ask);
	part_read(f);
}

static void
read_page(ask_t *a)
{
	table_watch_t *f = a->f;
	store_scan_t g = { .table = f->o.table,
		.partition = a->part,
		.from = a->next,
		.limit = PAGE_ROWS,
		.timeout_ms = READ_MS };

	store_scan(f->o.node->platform, &g, on_page, a);
}

static void
on_feed(void *ctx, store_result_t r, const store_answer_t *a)
{
	ask_t *ask = ctx;
	table_watch_t *f = ask->f;
	bool stale = ask->round != f->round;

	ask_free(ask);
	node_record_store_answer(f->o.node, r);
	if (stale)
		return;
	if (r == STORE_COMPACTED) {
		log_event(EVT_FEED_RESET, "table=%s version=%" PRId64,
		    f->o.table, f->version);
		restart(f);
		return;
	}
	if (r != STORE_OK) {
		after(f, RETRY_MS);
		return;
	}
	f->version = MAX(f->version, a->version);
	give_rows(f, a);
	if (f->o.on_synced != NULL)
		f->o.on_synced(f->o.ctx);
	if (f->state == FOLLOW_FEEDING)
		after(f, f->o.poll_gap_ms);
}

static void
feed(table_watch_t *f)
{
	int32_t wait = f->o.long_poll_ms == 0 ? WAIT_MS : f->o.long_poll_ms;
	store_feed_t q = { .table = f->o.table,
		.after_version = f->version,
		.wait_ms = wait,
		.timeout_ms = wait + FEED_MS };

	store_feed(f->o.node->platform, &q, on_feed, ask_new(f, ""));
}

table_watch_t *
table_watch_new(const table_watch_opts_t *o)
{
	table_watch_t *f = g_new0(table_watch_t, 1);

	f->o = *o;
	uv_timer_init(o->node->loop, &f->timer);
	f->timer.data = f;
	g_ptr_array_add(o->node->watches, f);
	return f;
}

void
table_watch_start(table_watch_t *f)
{
	uv_timer_stop(&f->timer);
	restart(f);
}

void
table_watch_stop(table_watch_t *f)
{
	f->round++;
	f->state = FOLLOW_OFF;
	uv_timer_stop(&f->timer);
}

void
table_watch_retry_now(table_watch_t *f)
{
	if (f->state != FOLLOW_FEEDING)
		return;
	f->round++;
	uv_timer_stop(&f->timer);
	feed(f);
}
