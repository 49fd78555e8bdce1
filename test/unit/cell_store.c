/*
 * The store of a cell with the limits of the users' platform; see cell_store.h.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../sched/sched.h"
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "sched_fixture.h"
#include "cell_store.h"

#define ENTRY_BYTES 100 /* of a row in a call, besides its key and value */

/* Whether the store takes a call; notes its size. */
static bool
within_limits(cell_store_t *c, const GArray *puts)
{
	size_t entries = puts->len + 1, bytes = ENTRY_BYTES;
	bool ok = true;

	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);
		size_t n = p->bytes == NULL ? 0 : p->bytes->len;

		bytes += ENTRY_BYTES + strlen(p->key) + (n + 2) / 3 * 4;
		c->longest_row = MAX(c->longest_row, n);
		ok = ok && n <= STORE_ROW_BYTES &&
		    (n <= c->refused_above ||
			g_strcmp0(p->key, c->refused_key) != 0);
	}
	c->longest_call = MAX(c->longest_call, bytes);
	return ok && entries <= STORE_CALL_ENTRIES && bytes <= STORE_CALL_BYTES;
}

static void
on_write(void *ctx, int64_t version, const GArray *puts)
{
	cell_store_t *c = ctx;

	(void)version;
	c->calls++;
	c->waits = true;
	if (!within_limits(c, puts)) {
		c->refused++;
		c->result = SCHED_WRITE_REJECTED;
		return;
	}
	c->result = SCHED_WRITE_OK;
	c->version++;
	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);

		if (p->bytes == NULL)
			g_hash_table_remove(c->rows, p->key);
		else
			g_hash_table_replace(c->rows, g_strdup(p->key),
			    g_byte_array_ref(p->bytes));
	}
}

static void
ignore_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	(void)o;
}

static void
ignore_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	(void)p;
}

void
cell_store_init(cell_store_t *c)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore_event,
		    .order = ignore_order,
		    .poll = ignore_poll,
		    .write = on_write },
		.ctx = c };

	memset(c, 0, sizeof(*c));
	c->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    (GDestroyNotify)g_byte_array_unref);
	c->sched = sched_new(&o);
	c->sched->cell.state = CELL_OWNED;
	c->sched->cell.workers_accounted = true;
	c->sched->cell.old_leases = ENDS_AT(0);
}

void
cell_store_clear(cell_store_t *c)
{
	sched_free(c->sched);
	g_hash_table_unref(c->rows);
}

bool
cell_store_answer(cell_store_t *c, int64_t now_ms)
{
	bool waits = c->waits;

	c->waits = false;
	if (waits)
		sched_write_done(c->sched, c->result, c->version, now_ms);
	return waits;
}

void
cell_store_tick(cell_store_t *c, int64_t now_ms)
{
	sched_tick(c->sched, now_ms, now_ms);
	cell_store_answer(c, now_ms);
}

Sched__Progress *
cell_store_progress(const cell_store_t *c, const char *id)
{
	g_autofree char *key = g_strconcat(id, SCHED_KEY_PROGRESS, NULL);
	const GByteArray *row = g_hash_table_lookup(c->rows, key);

	return row == NULL ? NULL : sched_progress_unpack(row->data, row->len);
}
