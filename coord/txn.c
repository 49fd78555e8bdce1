/*
 * Writes and reads of the platform's table.  Items that wait are grouped into
 * one transaction while earlier ones are under way.  A transaction whose
 * answer is lost is sent again with the same writer token until an answer or
 * a read of its rows settles whether it was applied.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 2000

item_t *
item_new(void (*done)(ts_core_t *, item_t *, item_result_t), void *arg)
{
	item_t *it = g_new0(item_t, 1);

	it->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
	it->done = done;
	it->arg = arg;
	return it;
}

/* Adds a row; the result is good until the next call. */
ts_row_t *
item_add(item_t *it, ts_row_kind_t kind, const char *key, int64_t version,
    bool write)
{
	ts_txn_row_t *t;

	g_array_set_size(it->rows, it->rows->len + 1);
	t = &g_array_index(it->rows, ts_txn_row_t, it->rows->len - 1);
	t->write = write;
	t->row.kind = kind;
	t->row.version = version;
	g_strlcpy(t->row.key, key, sizeof(t->row.key));
	return &t->row;
}

void
item_submit(ts_core_t *c, item_t *it)
{
	g_queue_push_tail(&c->items, it);
}

static void
item_free(item_t *it)
{
	g_array_free(it->rows, TRUE);
	g_free(it);
}

static void
txn_end(ts_core_t *c, txn_t *t)
{
	g_ptr_array_remove_fast(c->txns, t);
	g_ptr_array_unref(t->items);
	g_array_free(t->rows, TRUE);
	g_free(t);
}

static void
txn_send(ts_core_t *c, txn_t *t)
{
	ts_act_t a = { .kind = TS_ACT_TXN };

	t->flying = true;
	a.u.txn.id = t->id;
	a.u.txn.rows = (ts_txn_row_t *)t->rows->data;
	a.u.txn.n = t->rows->len;
	c->o.emit(c->o.ctx, &a);
}

static bool
rows_have(const GArray *rows, const ts_txn_row_t *x)
{
	for (guint i = 0; i < rows->len; i++) {
		const ts_txn_row_t *t = &g_array_index(rows, ts_txn_row_t, i);

		if (!t->write && !x->write &&
		    t->row.version == x->row.version &&
		    strcmp(t->row.key, x->row.key) == 0)
			return true;
	}
	return false;
}

/* Whether the item touches a row that the transaction writes, or writes one
 * that it touches: only one of them may then succeed. */
static bool
clashes(const txn_t *t, const item_t *it)
{
	for (guint i = 0; i < it->rows->len; i++) {
		const ts_txn_row_t *x =
		    &g_array_index(it->rows, ts_txn_row_t, i);

		for (guint k = 0; k < t->rows->len; k++) {
			const ts_txn_row_t *y =
			    &g_array_index(t->rows, ts_txn_row_t, k);

			if ((x->write || y->write) &&
			    strcmp(x->row.key, y->row.key) == 0)
				return true;
		}
	}
	return false;
}

/* Takes the item's rows into the transaction; equal checks go in once. */
static void
txn_take(txn_t *t, item_t *it)
{
	g_ptr_array_add(t->items, it);
	for (guint i = 0; i < it->rows->len; i++) {
		ts_txn_row_t *x = &g_array_index(it->rows, ts_txn_row_t, i);

		g_strlcpy(x->row.writer, t->writer, sizeof(x->row.writer));
		if (!rows_have(t->rows, x))
			g_array_append_val(t->rows, *x);
	}
}

void
txn_flush(ts_core_t *c)
{
	while (!g_queue_is_empty(&c->items) && c->txns->len < TXNS_MAX) {
		txn_t *t = g_new0(txn_t, 1);
		item_t *it;

		t->id = ++c->next_id;
		t->items = g_ptr_array_new();
		t->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
		snprintf(t->writer, sizeof(t->writer),
		    "%.40s.%" PRIx64 ".%" PRIx64, c->o.name, c->o.incarnation,
		    t->id);
		do {
			it = g_queue_pop_head(&c->items);
			txn_take(t, it);
			it = g_queue_peek_head(&c->items);
		} while (it != NULL && !clashes(t, it) &&
		    t->rows->len + it->rows->len <= TS_TXN_ROWS_MAX);
		g_ptr_array_add(c->txns, t);
		txn_send(c, t);
	}
}

static void
txn_ok(ts_core_t *c, txn_t *t, int64_t version)
{
	g_autoptr(GPtrArray) items = g_ptr_array_ref(t->items);

	COUNT(c, TS_C_TXN_OK);
	c->store_bad_ms = 0;
	txn_end(c, t);
	for (guint i = 0; i < items->len; i++) {
		item_t *it = items->pdata[i];

		it->version = version;
		it->done(c, it, ITEM_OK);
		item_free(it);
	}
}

static int
item_index(const item_t *it, const char *key)
{
	for (guint i = 0; i < it->rows->len; i++)
		if (strcmp(g_array_index(it->rows, ts_txn_row_t, i).row.key,
			key) == 0)
			return (int)i;
	return -1;
}

/* Items with the row in conflict fail; the others are tried again. */
static void
txn_conflict(ts_core_t *c, txn_t *t, const char *key)
{
	g_autofree char *k = g_strdup(key);
	g_autoptr(GPtrArray) items = g_ptr_array_ref(t->items);

	COUNT(c, TS_C_TXN_CONFLICT);
	c->store_bad_ms = 0;
	txn_end(c, t);
	for (guint i = 0; i < items->len; i++) {
		item_t *it = items->pdata[i];
		int at = item_index(it, k);

		if (at < 0) {
			item_submit(c, it);
			continue;
		}
		it->conflict = (guint)at;
		it->done(c, it, ITEM_CONFLICT);
		item_free(it);
	}
}

static txn_t *
txn_find(ts_core_t *c, uint64_t id)
{
	for (guint i = 0; i < c->txns->len; i++) {
		txn_t *t = c->txns->pdata[i];

		if (t->id == id)
			return t;
	}
	return NULL;
}

static void
txn_later(ts_core_t *c, txn_t *t)
{
	int32_t wait = MIN(RETRY_MIN_MS << MIN(t->tries, 8), RETRY_MAX_MS);

	t->tries++;
	t->flying = false;
	t->retry_ms = c->now + wait + g_rand_int_range(c->rand, 0, wait);
}

/* Our token on the row in conflict says that an earlier try was applied. */
static void
settled(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	txn_t *t = txn_find(c, r->num);

	if (t == NULL)
		return;
	if (!ok) {
		txn_later(c, t);
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (strcmp(rows[i].key, r->key) == 0 &&
		    strcmp(rows[i].writer, t->writer) == 0) {
			txn_ok(c, t, rows[i].version);
			return;
		}
	txn_conflict(c, t,
	    r->arg == NULL ? r->key :
			     g_array_index(t->rows, ts_txn_row_t,
				 GPOINTER_TO_UINT(r->arg) - 1)
				 .row.key);
}

static const char *
first_written(const txn_t *t)
{
	for (guint i = 0; i < t->rows->len; i++) {
		ts_txn_row_t *x = &g_array_index(t->rows, ts_txn_row_t, i);

		if (x->write)
			return x->row.key;
	}
	return NULL;
}

void
txn_event(ts_core_t *c, const ts_ev_t *ev)
{
	txn_t *t = txn_find(c, ev->u.txn.id);
	const char *key;
	read_t *r;

	if (t == NULL || !t->flying)
		return;
	switch (ev->u.txn.result) {
	case TS_TXN_OK:
		txn_ok(c, t, ev->u.txn.version);
		break;
	case TS_TXN_CONFLICT:
		if (ev->u.txn.conflict_index >= t->rows->len) {
			COUNT(c, TS_C_BAD_INPUT);
			txn_later(c, t);
			break;
		}
		key = g_array_index(
		    t->rows, ts_txn_row_t, ev->u.txn.conflict_index)
			  .row.key;
		if (!t->uncertain) {
			txn_conflict(c, t, key);
			break;
		}
		/* Any row we wrote tells; checks carry no token of ours. */
		r = read_start(c, first_written(t), 0, settled,
		    GUINT_TO_POINTER(ev->u.txn.conflict_index + 1));
		r->num = t->id;
		break;
	case TS_TXN_UNKNOWN:
		COUNT(c, TS_C_TXN_UNKNOWN);
		if (c->store_bad_ms == 0)
			c->store_bad_ms = c->now;
		t->uncertain = true;
		txn_later(c, t);
		break;
	}
}

void
txn_tick(ts_core_t *c)
{
	for (guint i = 0; i < c->txns->len; i++) {
		txn_t *t = c->txns->pdata[i];

		if (t->flying || c->now < t->retry_ms)
			continue;
		COUNT(c, TS_C_TXN_RETRY);
		txn_send(c, t);
	}
}

void
txn_free(ts_core_t *c)
{
	item_t *it;

	while ((it = g_queue_pop_head(&c->items)) != NULL)
		item_free(it);
	while (c->txns->len > 0) {
		txn_t *t = c->txns->pdata[0];

		for (guint i = 0; i < t->items->len; i++)
			item_free(t->items->pdata[i]);
		txn_end(c, t);
	}
	g_ptr_array_free(c->txns, TRUE);
}

read_t *
read_start(ts_core_t *c, const char *prefix, int64_t newer,
    void (*done)(ts_core_t *, read_t *, bool, const ts_row_t *, size_t),
    void *arg)
{
	read_t *r = g_new0(read_t, 1);
	ts_act_t a = { .kind = TS_ACT_READ };

	r->id = ++c->next_id;
	r->done = done;
	r->arg = arg;
	r->issued_ms = c->now;
	g_strlcpy(r->key, prefix, sizeof(r->key));
	g_hash_table_insert(c->reads, &r->id, r);
	a.u.read.id = r->id;
	a.u.read.prefix = r->key;
	a.u.read.newer_than = newer;
	c->o.emit(c->o.ctx, &a);
	return r;
}

void
read_event(ts_core_t *c, const ts_ev_t *ev)
{
	read_t *r = g_hash_table_lookup(c->reads, &ev->u.rows.id);

	if (r == NULL)
		return;
	g_hash_table_steal(c->reads, &r->id);
	if (ev->u.rows.ok)
		c->store_bad_ms = 0;
	else {
		COUNT(c, TS_C_READ_FAILED);
		if (c->store_bad_ms == 0)
			c->store_bad_ms = c->now;
	}
	r->done(c, r, ev->u.rows.ok, ev->u.rows.rows, ev->u.rows.n);
	g_free(r);
}
