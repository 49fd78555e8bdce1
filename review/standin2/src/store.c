/*
 * A stand-in of the platform's store, after PROTOCOL.md: rows in tables, transactions
 * with preconditions, range reads and the change feed.  Entries of workers that have
 * not been written for three pings go.  One process.
 *
 * usage: review2-store IP:PORT
 *
 * Writes to the tables op and servers need the header X-Role: platform, as the system
 * may not write there.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "http.h"

#define TX_MS	    4
#define ROWS_MAX    500
#define ENTRIES_MAX 100
#define CALL_BYTES  1000000
#define ROW_TEXT    87384 /* 65,536 bytes as base64 */
#define SILENT_MS   3300  /* three pings of 1,100 ms */
#define WAIT_MAX_MS 30000

typedef struct {
	char *table, *part, *key;
	char *value; /* base64; NULL once removed */
	int64_t version, written_ms;
} row_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static row_t **rows;
static size_t nrows;
static int64_t version;

static const char *
text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s == NULL ? "" : s;
}

static row_t *
find(const char *table, const char *part, const char *key)
{
	for (size_t i = 0; i < nrows; i++)
		if (strcmp(rows[i]->key, key) == 0 &&
		    strcmp(rows[i]->table, table) == 0 &&
		    strcmp(rows[i]->part, part) == 0)
			return rows[i];
	return NULL;
}

/* value NULL removes the row. */
static void
put(const char *table, const char *part, const char *key, const char *value)
{
	row_t *r = find(table, part, key);

	if (r == NULL && value == NULL)
		return;
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		r->table = strdup(table);
		r->part = strdup(part);
		r->key = strdup(key);
		rows = realloc(rows, (nrows + 1) * sizeof(*rows));
		rows[nrows++] = r;
	}
	free(r->value);
	r->value = value == NULL ? NULL : strdup(value);
	r->version = version;
	r->written_ms = steady_ms();
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

static reply_t
reply_rows(int status, json_t *list, bool has_more, int64_t at)
{
	json_t *j = json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has_more",
	    has_more, "schema_version", (json_int_t)at, "now_ms",
	    (json_int_t)steady_ms());
	reply_t r = { status, json_dumps(j, JSON_COMPACT) };

	json_decref(j);
	return r;
}

/* 0, or the status with which a transaction is refused. */
static int
refusal(const request_t *r, const json_t *tx)
{
	static const char *const lists[] = { "precondition", "puts", "remove" };
	const char *part = NULL;
	size_t n = 0, i;

	if (!json_is_object(tx))
		return 400;
	for (int k = 0; k < 3; k++) {
		const json_t *e;

		json_array_foreach(json_object_get(tx, lists[k]), i, e)
		{
			const char *t = text(e, "table");

			n++;
			if (part != NULL && strcmp(part, text(e, "part")) != 0)
				return 400;
			part = text(e, "part");
			if (strlen(text(e, "value")) > ROW_TEXT)
				return 400;
			if (k > 0 && strcmp(r->role, "platform") != 0 &&
			    (strcmp(t, "op") == 0 || strcmp(t, "servers") == 0))
				return 403;
		}
	}
	return n > ENTRIES_MAX || r->body_bytes > CALL_BYTES ? 400 : 0;
}

/* The rows whose preconditions don't hold. */
static json_t *
conflicts(const json_t *tx, bool *any)
{
	json_t *list = json_array();
	const json_t *e;
	size_t i;

	*any = false;
	json_array_foreach(json_object_get(tx, "precondition"), i, e)
	{
		const row_t *r =
		    find(text(e, "table"), text(e, "part"), text(e, "key"));
		int64_t have = r == NULL || r->value == NULL ? 0 : r->version;

		*any = *any ||
		    have !=
			json_integer_value(
			    json_object_get(e, "schema_version"));
		if (have != 0)
			json_array_append_new(list, row_json(r));
	}
	return list;
}

static reply_t
transact(const request_t *r)
{
	json_t *tx = json_loadb(r->body, r->body_bytes, 0, NULL), *list;
	reply_t reply = { refusal(r, tx), NULL };
	const json_t *e;
	bool conflict;
	size_t i;

	if (reply.status != 0) {
		json_decref(tx);
		return reply;
	}
	sleep_ms(TX_MS);
	pthread_mutex_lock(&lock);
	list = conflicts(tx, &conflict);
	if (!conflict) {
		version++;
		json_array_foreach(json_object_get(tx, "puts"), i, e)
		{
			put(text(e, "table"), text(e, "part"), text(e, "key"),
			    text(e, "value"));
		}
		json_array_foreach(json_object_get(tx, "remove"), i, e)
		{
			put(text(e, "table"), text(e, "part"), text(e, "key"),
			    NULL);
		}
		json_array_clear(list);
		pthread_cond_broadcast(&changed);
	}
	reply = reply_rows(conflict ? 412 : 200, list, false, version);
	pthread_mutex_unlock(&lock);
	json_decref(tx);
	return reply;
}

static int
by_key(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static int
by_version(const void *a, const void *b)
{
	int64_t va = (*(row_t *const *)a)->version;
	int64_t vb = (*(row_t *const *)b)->version;

	return (va > vb) - (va < vb);
}

static reply_t
range(const request_t *r)
{
	char *table = query_field(r->path, "table");
	char *part = query_field(r->path, "part");
	char *from = query_field(r->path, "from");
	char *to = query_field(r->path, "to");
	char *limit = query_field(r->path, "limit");
	size_t most = limit[0] == '\0' ? ROWS_MAX : strtoul(limit, NULL, 10);
	json_t *list = json_array();
	row_t **match;
	size_t n = 0;
	reply_t reply;

	if (most > ROWS_MAX)
		most = ROWS_MAX;
	pthread_mutex_lock(&lock);
	match = malloc((nrows + 1) * sizeof(*match));
	for (size_t i = 0; i < nrows; i++)
		if (rows[i]->value != NULL &&
		    strcmp(rows[i]->table, table) == 0 &&
		    strcmp(rows[i]->part, part) == 0 &&
		    strcmp(rows[i]->key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(rows[i]->key, to) < 0))
			match[n++] = rows[i];
	qsort(match, n, sizeof(*match), by_key);
	for (size_t i = 0; i < n && i < most; i++)
		json_array_append_new(list, row_json(match[i]));
	reply = reply_rows(200, list, n > most, version);
	pthread_mutex_unlock(&lock);
	free(match);
	free(table);
	free(part);
	free(from);
	free(to);
	free(limit);
	return reply;
}

/* The rows of a table that changed after a version, as an answer; false: none did. */
static bool
changes(const char *table, int64_t after, reply_t *reply)
{
	row_t **match = malloc((nrows + 1) * sizeof(*match));
	json_t *list = json_array();
	int64_t at = version;
	size_t n = 0, k;

	for (size_t i = 0; i < nrows; i++)
		if (rows[i]->version > after &&
		    strcmp(rows[i]->table, table) == 0)
			match[n++] = rows[i];
	qsort(match, n, sizeof(*match), by_version);
	for (k = 0; k < n; k++) {
		if (k >= ROWS_MAX - ENTRIES_MAX &&
		    match[k]->version != match[k - 1]->version)
			break;
		json_array_append_new(list, row_json(match[k]));
	}
	if (k < n)
		at = match[k - 1]->version;
	*reply = reply_rows(200, list, k < n, at);
	free(match);
	return n > 0;
}

static reply_t
feed(const request_t *r)
{
	char *table = query_field(r->path, "table");
	char *after = query_field(r->path, "after");
	char *wait = query_field(r->path, "wait_ms");
	int64_t ms = strtoll(wait, NULL, 10);
	int64_t until = steady_ms() + (ms > WAIT_MAX_MS ? WAIT_MAX_MS : ms);
	reply_t reply = { 0 };

	pthread_mutex_lock(&lock);
	while (!changes(table, strtoll(after, NULL, 10), &reply) &&
	    steady_ms() < until) {
		int64_t at = wall_ms() + 20;
		struct timespec t = { at / 1000, at % 1000 * 1000000 };

		free(reply.body);
		pthread_cond_timedwait(&changed, &lock, &t);
	}
	pthread_mutex_unlock(&lock);
	free(table);
	free(after);
	free(wait);
	return reply;
}

static reply_t
handle(const request_t *r)
{
	reply_t none = { 404, NULL };

	if (strncmp(r->path, "/-/rows-tx", 10) == 0)
		return transact(r);
	if (strncmp(r->path, "/-/rows-get", 11) == 0)
		return range(r);
	if (strncmp(r->path, "/-/rows-feed", 12) == 0)
		return feed(r);
	return none;
}

/* Removes the entries of workers that have been silent. */
static void *
expire(void *arg)
{
	for (;;) {
		sleep_ms(100);
		pthread_mutex_lock(&lock);
		for (size_t i = 0; i < nrows; i++) {
			row_t *r = rows[i];

			if (r->value == NULL ||
			    strcmp(r->table, "servers") != 0 ||
			    steady_ms() - r->written_ms < SILENT_MS)
				continue;
			version++;
			put("servers", r->part, r->key, NULL);
			pthread_cond_broadcast(&changed);
		}
		pthread_mutex_unlock(&lock);
	}
	return arg;
}

int
main(int argc, char **argv)
{
	pthread_t t;

	if (argc != 2) {
		fprintf(stderr, "usage: review2-store IP:PORT\n");
		return 2;
	}
	pthread_create(&t, NULL, expire, NULL);
	http_serve(argv[1], handle);
	return 0;
}
