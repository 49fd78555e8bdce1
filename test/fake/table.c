/*
 * The fake store: versioned rows, and transactions that check the versions.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "fake.h"

static void
row_free(void *p)
{
	ts_row_t *r = p;

	if (r->kind == TS_ROW_CONF) {
		g_free(r->u.conf.routes);
		g_free(r->u.conf.pools);
	}
	g_free(r);
}

static void
row_copy(ts_row_t *to, const ts_row_t *from)
{
	*to = *from;
	if (from->kind == TS_ROW_CONF) {
		to->u.conf.routes = g_strdup(from->u.conf.routes);
		to->u.conf.pools = g_strdup(from->u.conf.pools);
	}
}

void
fake_table_init(fake_table_t *t)
{
	memset(t, 0, sizeof(*t));
	t->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
}

void
fake_table_clear(fake_table_t *t)
{
	g_hash_table_destroy(t->rows);
}

ts_txn_result_t
fake_table_txn(fake_table_t *t, const ts_txn_row_t *rows, size_t n,
    int64_t *version, size_t *conflict)
{
	t->txns++;
	for (size_t i = 0; i < n; i++) {
		ts_row_t *current =
		    g_hash_table_lookup(t->rows, rows[i].row.key);

		if ((current == NULL ? 0 : current->version) !=
		    rows[i].row.version) {
			*conflict = i;
			return TS_TXN_CONFLICT;
		}
	}
	t->version++;
	for (size_t i = 0; i < n; i++) {
		ts_row_t *r;

		if (!rows[i].write)
			continue;
		r = g_new0(ts_row_t, 1);
		row_copy(r, &rows[i].row);
		r->version = t->version;
		g_hash_table_replace(t->rows, r->key, r);
	}
	*version = t->version;
	return TS_TXN_OK;
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp(((const ts_row_t *)a)->key, ((const ts_row_t *)b)->key);
}

GArray *
fake_table_read(fake_table_t *t, const char *prefix, int64_t newer)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(ts_row_t));
	GHashTableIter it;
	void *v;

	t->reads++;
	g_hash_table_iter_init(&it, t->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		ts_row_t *r = v, copy;

		if (r->version <= newer || !g_str_has_prefix(r->key, prefix))
			continue;
		row_copy(&copy, r);
		g_array_append_val(out, copy);
	}
	g_array_sort(out, compare_keys);
	return out;
}

void
fake_rows_free(GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		ts_row_t *r = &g_array_index(rows, ts_row_t, i);

		if (r->kind == TS_ROW_CONF) {
			g_free(r->u.conf.routes);
			g_free(r->u.conf.pools);
		}
	}
	g_array_free(rows, TRUE);
}
