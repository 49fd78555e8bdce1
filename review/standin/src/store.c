/* Stand-in of the platform's store: rows, transactions and the change feed. */
#define _GNU_SOURCE
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define ROW_BYTES     65536   /* row_bytes of the settings */
#define CALL_BYTES    1048576 /* "at most 1 MB" */
#define CALL_ENTRIES  100
#define GET_ROWS      500
#define HISTORY_START 100

typedef struct {
	char *table, *part, *key, *value; /* value: base64, NULL if removed */
	int64_t version;
} row_t;

typedef struct feed {
	struct feed *next;
	later_t to;
	char table[64];
	int64_t after, until_ms;
} feed_t;

typedef struct late {
	struct late *next;
	json_t *tx;
	int64_t due_ms;
} late_t;

tx_fate_t (*store_fate)(json_t *tx, int *late_ms);
int store_tx_ms = 5, store_read_ms = 4;
int64_t store_refused;
size_t store_max_row, store_max_call;

static row_t *rows;
static size_t nrows, arows;
static int64_t version = HISTORY_START;
static feed_t *feeds;
static late_t *lates;

static const char *
text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s == NULL ? "" : s;
}

static row_t *
find(const char *table, const char *part, const char *key)
{
	for (size_t i = 0; i < nrows; i++)
		if (strcmp(rows[i].key, key) == 0 &&
		    strcmp(rows[i].table, table) == 0 &&
		    strcmp(rows[i].part, part) == 0)
			return &rows[i];
	return NULL;
}

static void
put(const char *table, const char *part, const char *key, const char *value)
{
	row_t *r = find(table, part, key);

	if (r == NULL) {
		if (nrows == arows)
			rows = realloc(
			    rows, (arows = arows * 2 + 64) * sizeof(*rows));
		r = &rows[nrows++];
		*r = (row_t){ strdup(table), strdup(part), strdup(key), NULL,
			0 };
	}
	free(r->value);
	r->value = value == NULL ? NULL : strdup(value);
	r->version = version;
}

static char *
base64(const char *s)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
				  "qrstuvwxyz0123456789+/";
	size_t n = strlen(s);
	char *out = malloc(n * 4 / 3 + 8), *o = out;

	for (size_t i = 0; i < n; i += 3) {
		unsigned a = (unsigned char)s[i],
			 b = i + 1 < n ? (unsigned char)s[i + 1] : 0,
			 c = i + 2 < n ? (unsigned char)s[i + 2] : 0,
			 v = a << 16 | b << 8 | c;

		*o++ = set[v >> 18];
		*o++ = set[v >> 12 & 63];
		*o++ = i + 1 < n ? set[v >> 6 & 63] : '=';
		*o++ = i + 2 < n ? set[v & 63] : '=';
	}
	*o = '\0';
	return out;
}

void
store_put_text(const char *table, const char *key, const char *value)
{
	char *b = base64(value);

	version++;
	put(table, "", key, b);
	free(b);
}

void
store_remove(const char *table, const char *key)
{
	row_t *r = find(table, "", key);

	if (r == NULL || r->value == NULL)
		return;
	version++;
	put(table, "", key, NULL);
}

static json_t *
row_json(const row_t *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "schema_version", (json_int_t)r->version);

	if (r->value == NULL)
		json_object_set_new(j, "removed", json_true());
	else
		json_object_set_new(j, "value", json_string(r->value));
	return j;
}

static char *
answer(json_t *list, bool more, int64_t v)
{
	json_t *j = json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has_more",
	    more, "schema_version", (json_int_t)v, "now_ms",
	    (json_int_t)now_ms());
	char *s = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return s;
}

/* Applies a transaction; returns the status and sets the answer. */
static int
apply(json_t *tx, char **body)
{
	json_t *conflicts = json_array(), *e;
	bool refused = false;
	size_t i;

	json_array_foreach(json_object_get(tx, "precondition"), i, e)
	{
		row_t *r =
		    find(text(e, "table"), text(e, "part"), text(e, "key"));
		int64_t have = r == NULL || r->value == NULL ? 0 : r->version;

		if (have ==
		    json_integer_value(json_object_get(e, "schema_version")))
			continue;
		refused = true;
		if (r != NULL && r->value != NULL)
			json_array_append_new(conflicts, row_json(r));
	}
	if (refused) {
		*body = answer(conflicts, false, version);
		return 412;
	}
	json_decref(conflicts);
	version++;
	json_array_foreach(json_object_get(tx, "puts"), i, e)
	    put(text(e, "table"), text(e, "part"), text(e, "key"),
		text(e, "value"));
	json_array_foreach(json_object_get(tx, "remove"), i, e)
	    put(text(e, "table"), text(e, "part"), text(e, "key"), NULL);
	*body = answer(json_array(), false, version);
	return 200;
}

/* Whether a transaction is within the limits of the store. */
static int
limit_status(const json_t *tx, size_t nbody)
{
	static const char *const lists[] = { "precondition", "puts", "remove" };
	const char *part = NULL;
	size_t i, n = 0;
	json_t *e;

	store_max_call = nbody > store_max_call ? nbody : store_max_call;
	for (int k = 0; k < 3; k++)
		json_array_foreach(json_object_get(tx, lists[k]), i, e)
		{
			size_t bytes = strlen(text(e, "value")) / 4 * 3;

			n++;
			store_max_row =
			    bytes > store_max_row ? bytes : store_max_row;
			if (bytes > ROW_BYTES + 2)
				return 400;
			if (part != NULL && strcmp(part, text(e, "part")) != 0)
				return 400;
			part = text(e, "part");
			if (k > 0 &&
			    (strcmp(text(e, "table"), "op") == 0 ||
				strcmp(text(e, "table"), "servers") == 0))
				return 403;
		}
	return n > CALL_ENTRIES || nbody > CALL_BYTES ? 400 : 200;
}

static void
serve_tx(const request_t *r)
{
	json_t *tx = json_loadb(r->body, r->nbody, 0, NULL);
	int late_ms = 0, status = tx == NULL ? 400 : limit_status(tx, r->nbody);
	tx_fate_t fate = TX_SERVE;
	char *body = NULL;

	if (status != 200) {
		store_refused++;
		if (store_refused == 1)
			note("store refuses a transaction of %zu bytes "
			     "(largest row so far %zu): %d",
			    r->nbody, store_max_row, status);
		server_reply_after(
		    r->conn, store_tx_ms, status, "{\"error\":\"limits\"}");
		json_decref(tx);
		return;
	}
	if (store_fate != NULL)
		fate = store_fate(tx, &late_ms);
	if (fate == TX_LATE) {
		late_t *l = calloc(1, sizeof(*l));

		l->tx = tx;
		l->due_ms = now_ms() + late_ms;
		l->next = lates;
		lates = l;
		return; /* never answered */
	}
	status = apply(tx, &body);
	if (fate == TX_SERVE)
		server_reply_after(r->conn, store_tx_ms, status, body);
	free(body);
	json_decref(tx);
}

static void
query(const char *path, const char *name, char *to, size_t n)
{
	const char *p = strchr(path, '?');
	size_t len = strlen(name), i = 0;

	to[0] = '\0';
	for (; p != NULL; p = strchr(p, '&')) {
		p++;
		if (strncmp(p, name, len) != 0 || p[len] != '=')
			continue;
		for (p += len + 1; *p != '\0' && *p != '&' && i + 1 < n; p++) {
			unsigned v;

			if (*p == '%' && sscanf(p + 1, "%2x", &v) == 1) {
				to[i++] = (char)v;
				p += 2;
			} else
				to[i++] = *p;
		}
		to[i] = '\0';
		return;
	}
}

static int
by_key(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static int
by_version(const void *a, const void *b)
{
	int64_t x = (*(row_t *const *)a)->version,
		y = (*(row_t *const *)b)->version;

	return x < y ? -1 : x > y;
}

static void
serve_get(const request_t *r)
{
	char table[64], part[256], from[512], to[512], limit[16];
	row_t **found = calloc(nrows + 1, sizeof(*found));
	size_t n = 0, max, bytes = 0, i;
	json_t *list = json_array();
	char *body;

	query(r->path, "table", table, sizeof(table));
	query(r->path, "part", part, sizeof(part));
	query(r->path, "from", from, sizeof(from));
	query(r->path, "to", to, sizeof(to));
	query(r->path, "limit", limit, sizeof(limit));
	max = limit[0] == '\0' || atoi(limit) > GET_ROWS ? GET_ROWS :
							   (size_t)atoi(limit);
	for (i = 0; i < nrows; i++)
		if (rows[i].value != NULL &&
		    strcmp(rows[i].table, table) == 0 &&
		    strcmp(rows[i].part, part) == 0 &&
		    strcmp(rows[i].key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(rows[i].key, to) < 0))
			found[n++] = &rows[i];
	qsort(found, n, sizeof(*found), by_key);
	for (i = 0; i < n && i < max; i++) {
		bytes += strlen(found[i]->value) + 200;
		if (i > 0 && bytes > CALL_BYTES)
			break;
		json_array_append_new(list, row_json(found[i]));
	}
	body = answer(list, i < n, version);
	server_reply_after(r->conn, store_read_ms, 200, body);
	free(body);
	free(found);
}

/* The changes of a table after a version; NULL: none. */
static char *
changes(const char *table, int64_t after)
{
	row_t **found = calloc(nrows + 1, sizeof(*found));
	size_t n = 0, bytes = 0, i;
	int64_t v = version;
	json_t *list;
	char *body;

	for (i = 0; i < nrows; i++)
		if (rows[i].version > after &&
		    strcmp(rows[i].table, table) == 0)
			found[n++] = &rows[i];
	if (n == 0) {
		free(found);
		return NULL;
	}
	qsort(found, n, sizeof(*found), by_version);
	list = json_array();
	for (i = 0; i < n; i++) {
		if (i > 0 && found[i]->version != found[i - 1]->version &&
		    (i >= GET_ROWS || bytes > CALL_BYTES / 2)) {
			v = found[i - 1]->version;
			break;
		}
		bytes += found[i]->value == NULL ? 0 : strlen(found[i]->value);
		json_array_append_new(list, row_json(found[i]));
	}
	body = answer(list, i < n, v);
	free(found);
	return body;
}

static void
serve_feed(const request_t *r)
{
	feed_t *f = calloc(1, sizeof(*f));
	char after[32], wait[32];

	query(r->path, "table", f->table, sizeof(f->table));
	query(r->path, "after", after, sizeof(after));
	query(r->path, "wait_ms", wait, sizeof(wait));
	f->to = server_later(r);
	f->after = atoll(after);
	f->until_ms = now_ms() + atoi(wait);
	f->next = feeds;
	feeds = f;
}

void
store_tick(void)
{
	int64_t now = now_ms();

	for (late_t **p = &lates; *p != NULL;) {
		late_t *l = *p;
		char *body = NULL;

		if (l->due_ms > now) {
			p = &l->next;
			continue;
		}
		*p = l->next;
		note("store carries out a transaction late: %d",
		    apply(l->tx, &body));
		free(body);
		json_decref(l->tx);
		free(l);
	}
	for (feed_t **p = &feeds; *p != NULL;) {
		feed_t *f = *p;
		char *body;

		if (!server_waits(f->to)) {
			*p = f->next;
			free(f);
			continue;
		}
		body = changes(f->table, f->after);
		if (body == NULL && now < f->until_ms) {
			p = &f->next;
			continue;
		}
		if (body == NULL)
			body = answer(json_array(), false, version);
		server_reply_after(f->to.conn, store_read_ms, 200, body);
		free(body);
		*p = f->next;
		free(f);
	}
}

void
store_serve(int owner, const request_t *r)
{
	(void)owner;
	if (strncmp(r->path, "/-/rows-tx", 10) == 0)
		serve_tx(r);
	else if (strncmp(r->path, "/-/rows-get", 11) == 0)
		serve_get(r);
	else if (strncmp(r->path, "/-/rows-feed", 12) == 0)
		serve_feed(r);
	else
		server_reply(r->conn, 404, "{}");
}
