/*
 * A store whose writes can be late; see late_store.h.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "late_store.h"

#define FIRST_PORT 18700
#define LAST_PORT  18900

typedef struct {
	char *value; /* base64 */
	int64_t version;
} late_row_t;

static void
row_free(void *p)
{
	late_row_t *r = p;

	g_free(r->value);
	g_free(r);
}

static const char *
text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s == NULL ? "" : s;
}

static json_t *
row_json(const late_store_t *s, const char *key)
{
	const late_row_t *r = g_hash_table_lookup(s->rows, key);

	return json_pack("{s:s,s:s,s:I}", "key", key, "value", r->value,
	    "schema_version", (json_int_t)r->version);
}

static void
reply(late_store_t *s, server_req_t *r, int32_t status, json_t *rows)
{
	json_t *j = json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has_more", 0,
	    "schema_version", (json_int_t)s->version, "now_ms", (json_int_t)1);
	char *body = json_dumps(j, JSON_COMPACT);

	server_reply(r, status, "", body, strlen(body));
	free(body);
	json_decref(j);
}

/* The rows of a write's preconditions that don't hold. */
static json_t *
conflicts(const late_store_t *s, const json_t *tx, bool *conflict)
{
	json_t *rows = json_array(), *e;
	size_t i;

	*conflict = false;
	json_array_foreach(json_object_get(tx, "precondition"), i, e)
	{
		const char *key = text(e, "key");
		const late_row_t *r = g_hash_table_lookup(s->rows, key);
		int64_t have = r == NULL ? 0 : r->version;

		if (have ==
		    json_integer_value(json_object_get(e, "schema_version")))
			continue;
		*conflict = true;
		if (r != NULL)
			json_array_append_new(rows, row_json(s, key));
	}
	return rows;
}

static void
apply(late_store_t *s, const json_t *tx)
{
	json_t *e;
	size_t i;

	s->version++;
	json_array_foreach(json_object_get(tx, "puts"), i, e)
	{
		late_row_t *r = g_new0(late_row_t, 1);

		r->value = g_strdup(text(e, "value"));
		r->version = s->version;
		g_hash_table_replace(s->rows, g_strdup(text(e, "key")), r);
	}
	json_array_foreach(json_object_get(tx, "remove"), i, e)
	    g_hash_table_remove(s->rows, text(e, "key"));
}

static bool
is_lost(const late_store_t *s, const json_t *tx)
{
	const json_t *put = json_array_get(json_object_get(tx, "puts"), 0);

	return s->lost_key != NULL &&
	    strcmp(text(put, "key"), s->lost_key) == 0;
}

static void
on_write(late_store_t *s, server_req_t *r)
{
	json_t *tx = json_loadb(r->body, r->body_bytes, 0, NULL), *rows;
	bool conflict;

	s->writes++;
	if (s->refuses) {
		server_reply(r, 503, "", "", 0);
		json_decref(tx);
		return;
	}
	if (is_lost(s, tx)) {
		s->lost_key = NULL;
		g_ptr_array_add(s->lost, tx);
		g_ptr_array_add(s->waiting, r);
		return;
	}
	rows = conflicts(s, tx, &conflict);
	if (!conflict)
		apply(s, tx);
	reply(s, r, conflict ? 412 : 200, rows);
	json_decref(tx);
}

/* The value of a field of the path's query; free it. */
static char *
query(const char *path, const char *name)
{
	g_auto(GStrv) fields = g_strsplit(strchr(path, '?') + 1, "&", -1);
	size_t n = strlen(name);

	for (char **f = fields; *f != NULL; f++)
		if (strncmp(*f, name, n) == 0 && (*f)[n] == '=')
			return g_uri_unescape_string(*f + n + 1, NULL);
	return g_strdup("");
}

static int
by_key(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
on_read(late_store_t *s, server_req_t *r)
{
	g_autofree char *from = query(r->path, "from");
	g_autofree char *to = query(r->path, "to");
	guint n;
	g_autofree char **keys =
	    (char **)g_hash_table_get_keys_as_array(s->rows, &n);
	json_t *rows = json_array();

	qsort(keys, n, sizeof(*keys), by_key);
	for (guint i = 0; i < n; i++)
		if (strcmp(keys[i], from) >= 0 && strcmp(keys[i], to) < 0)
			json_array_append_new(rows, row_json(s, keys[i]));
	reply(s, r, 200, rows);
}

static void
on_request(void *ctx, server_req_t *r)
{
	late_store_t *s = ctx;

	if (g_str_has_prefix(r->path, "/-/rows-tx"))
		on_write(s, r);
	else if (g_str_has_prefix(r->path, "/-/rows-get") &&
	    strstr(r->path, "from=%21") == NULL)
		on_read(s, r);
	else
		server_reply(r, 503, "", "", 0);
}

void
late_store_init(late_store_t *s, uv_loop_t *loop)
{
	server_opts_t o = { .loop = loop,
		.ip = "127.0.0.1",
		.body_max_bytes = 1 << 20,
		.on_request = on_request,
		.ctx = s };

	memset(s, 0, sizeof(*s));
	s->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
	s->lost = g_ptr_array_new();
	s->waiting = g_ptr_array_new();
	for (o.port = FIRST_PORT; s->server == NULL; o.port++) {
		cr_assert_lt(o.port, LAST_PORT);
		s->server = server_new(&o, NULL);
	}
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%d", o.port - 1);
}

int32_t
late_store_perform(late_store_t *s)
{
	int32_t performed = 0;

	for (guint i = 0; i < s->lost->len; i++) {
		json_t *tx = g_ptr_array_index(s->lost, i);
		bool conflict;

		json_decref(conflicts(s, tx, &conflict));
		if (!conflict) {
			apply(s, tx);
			performed++;
		}
		json_decref(tx);
	}
	g_ptr_array_set_size(s->lost, 0);
	return performed;
}

bool
late_store_has(const late_store_t *s, const char *key)
{
	return g_hash_table_contains(s->rows, key);
}
