/*
 * Reads and writes of the store.  Updates that are queued while transactions
 * are in flight are grouped into the next one.  A transaction whose answer is
 * lost is sent again with the same writer id, until an answer or a read of its
 * rows shows whether it was applied.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

/* Back-off of transactions without an answer, before jitter. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 2000

/* A new update without rows; done is called with its result. */
update_t *
update_new(void (*done)(ts_core_t *, update_t *, update_result_t), void *arg)
{
	update_t *u = g_new0(update_t, 1);

	u->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
	u->done = done;
	u->arg = arg;
	return u;
}

/*
 * Adds a row with the version that it must have in the store (0: absent), to be
 * written or only checked.  The caller fills in the contents of a row to be
 * written; the result is valid until the next call.
 */
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

/*
 * Queues the update.  It is sent with the next transaction, and freed after
 * done has been called.
 */
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

/* Frees a transaction, but not its updates. */
static void
txn_free(ts_core_t *c, txn_t *t)
{
	g_ptr_array_remove_fast(c->txns, t);
	g_ptr_array_unref(t->updates);
	g_array_free(t->rows, TRUE);
	g_free(t);
}

/* Sends a transaction to the store, for the first time or again. */
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

/* Whether the rows already contain the same check of a row's version. */
static bool
has_same_check(const GArray *rows, const ts_txn_row_t *x)
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

/*
 * Whether the update and the transaction have a row in common that one of them
 * writes: then only one of them may succeed.
 */
static bool
overlaps(const txn_t *t, const update_t *u)
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

/*
 * Adds the update's rows to the transaction; a check of the same version of a
 * row is added once.
 */
static void
txn_add_update(txn_t *t, update_t *u)
{
	g_ptr_array_add(t->updates, u);
	for (guint i = 0; i < u->rows->len; i++) {
		ts_txn_row_t *x = &g_array_index(u->rows, ts_txn_row_t, i);

		g_strlcpy(x->row.writer, t->writer, sizeof(x->row.writer));
		if (!has_same_check(t->rows, x))
			g_array_append_val(t->rows, *x);
	}
}

/*
 * Groups queued updates into transactions and sends them, up to
 * TXNS_IN_FLIGHT_MAX at a time.  Called after each event.
 */
void
txn_send_updates(ts_core_t *c)
{
	while (!g_queue_is_empty(&c->updates) &&
	    c->txns->len < TXNS_IN_FLIGHT_MAX) {
		txn_t *t = g_new0(txn_t, 1);
		update_t *u;

		t->id = ++c->last_id;
		t->updates = g_ptr_array_new();
		t->rows = g_array_new(FALSE, TRUE, sizeof(ts_txn_row_t));
		snprintf(t->writer, sizeof(t->writer),
		    "%.40s.%" PRIx64 ".%" PRIx64, c->opts.name,
		    c->opts.incarnation, t->id);
		do {
			u = g_queue_pop_head(&c->updates);
			txn_add_update(t, u);
			u = g_queue_peek_head(&c->updates);
		} while (u != NULL && !overlaps(t, u) &&
		    t->rows->len + u->rows->len <= TS_TXN_ROWS_MAX);
		g_ptr_array_add(c->txns, t);
		txn_send(c, t);
	}
}

/*
 * The transaction was applied: its updates have succeeded, and the rows written
 * have this version.
 */
static void
txn_applied(ts_core_t *c, txn_t *t, int64_t version)
{
	g_autoptr(GPtrArray) updates = g_ptr_array_ref(t->updates);

	COUNT(c, TS_C_TXN_OK);
	c->store_failing_since_ms = 0;
	txn_free(c, t);
	for (guint i = 0; i < updates->len; i++) {
		update_t *u = updates->pdata[i];

		u->version = version;
		u->done(c, u, UPDATE_OK);
		update_free(u);
	}
}

/* The index of the row with this key in the update, or -1. */
static int
update_row_index(const update_t *u, const char *key)
{
	for (guint i = 0; i < u->rows->len; i++)
		if (strcmp(g_array_index(u->rows, ts_txn_row_t, i).row.key,
			key) == 0)
			return (int)i;
	return -1;
}

/*
 * The transaction was not applied, because the row with this key has another
 * version: updates with that row fail, the others are queued again.
 */
static void
txn_conflicted(ts_core_t *c, txn_t *t, const char *key)
{
	g_autofree char *k = g_strdup(key);
	g_autoptr(GPtrArray) updates = g_ptr_array_ref(t->updates);

	COUNT(c, TS_C_TXN_CONFLICT);
	c->store_failing_since_ms = 0;
	txn_free(c, t);
	for (guint i = 0; i < updates->len; i++) {
		update_t *u = updates->pdata[i];
		int index = update_row_index(u, k);

		if (index < 0) {
			update_submit(c, u);
			continue;
		}
		u->conflict_index = (guint)index;
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

/*
 * Schedules the transaction to be sent again, with exponential back-off and
 * jitter.
 */
static void
txn_schedule_retry(ts_core_t *c, txn_t *t)
{
	int32_t wait = MIN(RETRY_MIN_MS << MIN(t->retries, 8), RETRY_MAX_MS);

	t->retries++;
	t->in_flight = false;
	t->next_retry_ms =
	    c->now_ms + wait + g_rand_int_range(c->rand, 0, wait);
}

/*
 * A row of a transaction in doubt has been read.  If its last writer is this
 * transaction, an earlier try was applied; otherwise the transaction counts as
 * not applied.  The arg is the index of the row in conflict plus 1, or NULL.
 */
static void
in_doubt_row_read(
    ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	txn_t *t = txn_find(c, r->tag);

	if (t == NULL)
		return;
	if (!ok) {
		txn_schedule_retry(c, t);
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (strcmp(rows[i].key, r->prefix) == 0 &&
		    strcmp(rows[i].writer, t->writer) == 0) {
			txn_applied(c, t, rows[i].version);
			return;
		}
	txn_conflicted(c, t,
	    r->arg == NULL ? r->prefix :
			     g_array_index(t->rows, ts_txn_row_t,
				 GPOINTER_TO_UINT(r->arg) - 1)
				 .row.key);
}

/* The key of the first row that the transaction writes, or NULL. */
static const char *
first_written_key(const txn_t *t)
{
	for (guint i = 0; i < t->rows->len; i++) {
		ts_txn_row_t *x = &g_array_index(t->rows, ts_txn_row_t, i);

		if (x->write)
			return x->row.key;
	}
	return NULL;
}

/*
 * A transaction has ended.  After a lost answer a conflict may be one with an
 * earlier try that was applied, so a row is read to find out.
 */
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
		txn_applied(c, t, ev->u.txn.version);
		break;
	case TS_TXN_CONFLICT:
		if (ev->u.txn.conflict_index >= t->rows->len) {
			COUNT(c, TS_C_BAD_INPUT);
			txn_schedule_retry(c, t);
			break;
		}
		key = g_array_index(
		    t->rows, ts_txn_row_t, ev->u.txn.conflict_index)
			  .row.key;
		if (!t->answer_lost) {
			txn_conflicted(c, t, key);
			break;
		}
		/* Any row that it writes will do; checks leave no writer id. */
		r = read_start(c, first_written_key(t), 0, in_doubt_row_read,
		    GUINT_TO_POINTER(ev->u.txn.conflict_index + 1));
		r->tag = t->id;
		break;
	case TS_TXN_UNKNOWN:
		COUNT(c, TS_C_TXN_UNKNOWN);
		if (c->store_failing_since_ms == 0)
			c->store_failing_since_ms = c->now_ms;
		t->answer_lost = true;
		txn_schedule_retry(c, t);
		break;
	}
}

/*
 * Sends transactions whose time to be retried has come.  Called at each tick.
 */
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

/* Frees all updates and transactions, without calling done. */
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
		txn_free(c, t);
	}
	g_ptr_array_free(c->txns, TRUE);
}

/*
 * Reads the rows whose keys begin with prefix and that have a version above
 * newer_than; done is called with them.  The caller may set the tag of the
 * result.
 */
read_t *
read_start(ts_core_t *c, const char *prefix, int64_t newer_than,
    void (*done)(ts_core_t *, read_t *, bool, const ts_row_t *, size_t),
    void *arg)
{
	read_t *r = g_new0(read_t, 1);
	ts_act_t a = { .kind = TS_ACT_READ };

	r->id = ++c->last_id;
	r->done = done;
	r->arg = arg;
	r->issued_ms = c->now_ms;
	g_strlcpy(r->prefix, prefix, sizeof(r->prefix));
	g_hash_table_insert(c->reads, &r->id, r);
	a.u.read.id = r->id;
	a.u.read.prefix = r->prefix;
	a.u.read.newer_than = newer_than;
	c->opts.emit(c->opts.ctx, &a);
	return r;
}

/* A read has ended. */
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
