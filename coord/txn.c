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

update_t *
update_new(void (*done)(ts_core_t *, update_t *, update_result_t), void *arg)
{
	update_t *u = g_new0(update_t, 1);

	u->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
	u->done = done;
	u->arg = arg;
	return u;
}

/* Adds a row; the result is good until the next call. */
ts_row_t *
update_add_row(update_t *u, ts_row_kind_t kind, const char *key,
    int64_t version, bool write)
{
	ts_txn_row_t *t;

	g_array_set_size(u->rows, u->rows->len + 1);
	t = &g_array_index(u->rows, ts_txn_row_t, u->rows->len - 1);
	t->write = write;
	t->row.kind = kind;
	t->row.version = version;
	g_strlcpy(t->row.key, key, sizeof(t->row.key));
	return &t->row;
}

void
update_submit(ts_core_t *c, update_t *u)
{
	g_queue_push_tail(&c->updates, u);
}

static void
update_free(update_t *u)
{
	g_array_free(u->rows, TRUE);
	g_free(u);
}

static void
txn_end(ts_core_t *c, txn_t *t)
{
	g_ptr_array_remove_fast(c->txns, t);
	g_ptr_array_unref(t->updates);
	g_array_free(t->rows, TRUE);
	g_free(t);
}

static void
txn_send(ts_core_t *c, txn_t *t)
{
	ts_act_t a = { .kind = TS_ACT_TXN };

	t->in_flight = true;
	a.u.txn.id = t->id;
	a.u.txn.rows = (ts_txn_row_t *)t->rows->data;
	a.u.txn.n = t->rows->len;
	c->opts.emit(c->opts.ctx, &a);
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
clashes(const txn_t *t, const update_t *u)
{
	for (guint i = 0; i < u->rows->len; i++) {
		const ts_txn_row_t *x =
		    &g_array_index(u->rows, ts_txn_row_t, i);

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
txn_take(txn_t *t, update_t *u)
{
	g_ptr_array_add(t->updates, u);
	for (guint i = 0; i < u->rows->len; i++) {
		ts_txn_row_t *x = &g_array_index(u->rows, ts_txn_row_t, i);

		g_strlcpy(x->row.writer, t->writer, sizeof(x->row.writer));
		if (!rows_have(t->rows, x))
			g_array_append_val(t->rows, *x);
	}
}

void
txn_send_updates(ts_core_t *c)
{
	while (!g_queue_is_empty(&c->updates) &&
	    c->txns->len < TXNS_IN_FLIGHT_MAX) {
		txn_t *t = g_new0(txn_t, 1);
		update_t *u;

		t->id = ++c->next_id;
		t->updates = g_ptr_array_new();
		t->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
		snprintf(t->writer, sizeof(t->writer),
		    "%.40s.%" PRIx64 ".%" PRIx64, c->opts.name,
		    c->opts.incarnation, t->id);
		do {
			u = g_queue_pop_head(&c->updates);
			txn_take(t, u);
			u = g_queue_peek_head(&c->updates);
		} while (u != NULL && !clashes(t, u) &&
		    t->rows->len + u->rows->len <= TS_TXN_ROWS_MAX);
		g_ptr_array_add(c->txns, t);
		txn_send(c, t);
	}
}

static void
txn_ok(ts_core_t *c, txn_t *t, int64_t version)
{
	g_autoptr(GPtrArray) updates = g_ptr_array_ref(t->updates);

	COUNT(c, TS_C_TXN_OK);
	c->store_failing_since_ms = 0;
	txn_end(c, t);
	for (guint i = 0; i < updates->len; i++) {
		update_t *u = updates->pdata[i];

		u->version = version;
		u->done(c, u, UPDATE_OK);
		update_free(u);
	}
}

static int
update_row_index(const update_t *u, const char *key)
{
	for (guint i = 0; i < u->rows->len; i++)
		if (strcmp(g_array_index(u->rows, ts_txn_row_t, i).row.key,
			key) == 0)
			return (int)i;
	return -1;
}

/* Items with the row in conflict fail; the others are tried again. */
static void
txn_conflict(ts_core_t *c, txn_t *t, const char *key)
{
	g_autofree char *k = g_strdup(key);
	g_autoptr(GPtrArray) updates = g_ptr_array_ref(t->updates);

	COUNT(c, TS_C_TXN_CONFLICT);
	c->store_failing_since_ms = 0;
	txn_end(c, t);
	for (guint i = 0; i < updates->len; i++) {
		update_t *u = updates->pdata[i];
		int at = update_row_index(u, k);

		if (at < 0) {
			update_submit(c, u);
			continue;
		}
		u->conflict_index = (guint)at;
		u->done(c, u, UPDATE_CONFLICT);
		update_free(u);
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
	int32_t wait = MIN(RETRY_MIN_MS << MIN(t->retries, 8), RETRY_MAX_MS);

	t->retries++;
	t->in_flight = false;
	t->next_retry_ms =
	    c->now_ms + wait + g_rand_int_range(c->rand, 0, wait);
}

/* Our token on the row in conflict says that an earlier try was applied. */
static void
settled(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	txn_t *t = txn_find(c, r->tag);

	if (t == NULL)
		return;
	if (!ok) {
		txn_later(c, t);
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (strcmp(rows[i].key, r->prefix) == 0 &&
		    strcmp(rows[i].writer, t->writer) == 0) {
			txn_ok(c, t, rows[i].version);
			return;
		}
	txn_conflict(c, t,
	    r->arg == NULL ? r->prefix :
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
txn_handle_end(ts_core_t *c, const ts_ev_t *ev)
{
	txn_t *t = txn_find(c, ev->u.txn.id);
	const char *key;
	read_t *r;

	if (t == NULL || !t->in_flight)
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
		if (!t->answer_lost) {
			txn_conflict(c, t, key);
			break;
		}
		/* Any row we wrote tells; checks carry no token of ours. */
		r = read_start(c, first_written(t), 0, settled,
		    GUINT_TO_POINTER(ev->u.txn.conflict_index + 1));
		r->tag = t->id;
		break;
	case TS_TXN_UNKNOWN:
		COUNT(c, TS_C_TXN_UNKNOWN);
		if (c->store_failing_since_ms == 0)
			c->store_failing_since_ms = c->now_ms;
		t->answer_lost = true;
		txn_later(c, t);
		break;
	}
}

void
txn_retry_due(ts_core_t *c)
{
	for (guint i = 0; i < c->txns->len; i++) {
		txn_t *t = c->txns->pdata[i];

		if (t->in_flight || c->now_ms < t->next_retry_ms)
			continue;
		COUNT(c, TS_C_TXN_RETRY);
		txn_send(c, t);
	}
}

void
txn_free_all(ts_core_t *c)
{
	update_t *u;

	while ((u = g_queue_pop_head(&c->updates)) != NULL)
		update_free(u);
	while (c->txns->len > 0) {
		txn_t *t = c->txns->pdata[0];

		for (guint i = 0; i < t->updates->len; i++)
			update_free(t->updates->pdata[i]);
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
	r->issued_ms = c->now_ms;
	g_strlcpy(r->prefix, prefix, sizeof(r->prefix));
	g_hash_table_insert(c->reads, &r->id, r);
	a.u.read.id = r->id;
	a.u.read.prefix = r->prefix;
	a.u.read.newer_than = newer;
	c->opts.emit(c->opts.ctx, &a);
	return r;
}

void
read_handle_end(ts_core_t *c, const ts_ev_t *ev)
{
	read_t *r = g_hash_table_lookup(c->reads, &ev->u.rows.id);

	if (r == NULL)
		return;
	g_hash_table_steal(c->reads, &r->id);
	if (ev->u.rows.ok)
		c->store_failing_since_ms = 0;
	else {
		COUNT(c, TS_C_READ_FAILED);
		if (c->store_failing_since_ms == 0)
			c->store_failing_since_ms = c->now_ms;
	}
	r->done(c, r, ev->u.rows.ok, ev->u.rows.rows, ev->u.rows.n);
	g_free(r);
}
