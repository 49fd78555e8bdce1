/*
 * Entries in the table of workers that another writer left: which of them name
 * a worker to use.
 */
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"

#define ROW_BYTES   65536 /* of a row's value, the most that the store takes */
#define KEY_BYTES   200	  /* of a row's key, likewise */
#define DEEP	    2000  /* levels that the JSON library still reads */
#define STACK_BYTES (256 * 1024)

static const char good[] =
    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"
    "\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],\"born\":1700000000000,"
    "\"sequence\":4}";

/* An entry as the workers write them, in which one field is another. */
static json_t *
entry_with(const char *field, const char *value)
{
	json_t *j = json_loads(good, 0, NULL);
	json_t *capacity = json_object_get(j, "capacity");
	json_t *in = json_object_get(capacity, field) != NULL ? capacity : j;
	json_t *v =
	    value == NULL ? NULL : json_loads(value, JSON_DECODE_ANY, NULL);

	if (value == NULL)
		json_object_del(in, field);
	else
		json_object_set_new(in, field, v);
	return j;
}

static bool
parse(const char *id, const char *text, size_t n, platform_worker_t *w)
{
	g_autoptr(GError) err = NULL;
	bool ok = platform_worker_parse(id, (const uint8_t *)text, n, w, &err);

	cr_expect_eq(err == NULL, ok);
	return ok;
}

static bool
names_worker(const char *id, const char *text)
{
	platform_worker_t w;
	bool ok = parse(id, text, strlen(text), &w);

	if (ok)
		platform_worker_clear(&w);
	return ok;
}

/* An odd entry was used as a worker, at a port or with amounts of its own. */
Test(odd_entries, fields)
{
	static const struct {
		const char *field, *value; /* NULL: missing */
		bool ok;
	} cases[] = {
		{ "service", "\"s\"", true },
		{ "service", "\"\"", false },
		{ "service", "7", false },
		{ "service", NULL, false },
		{ "address", "\"127.0.0.1:1\"", true },
		{ "address", "\"127.0.0.1:65535\"", true },
		{ "address", "\"127.0.0.1:0\"", false },
		{ "address", "\"127.0.0.1:65536\"", false },
		{ "address", "\"127.0.0.1:65616\"", false },
		{ "address", "\"127.0.0.1:-1\"", false },
		{ "address", "\"127.0.0.1:+80\"", false },
		{ "address", "\"127.0.0.1: 80\"", false },
		{ "address", "\"127.0.0.1:80x\"", false },
		{ "address", "\"127.0.0.1:0x50\"", false },
		{ "address", "\"127.0.0.1:\"", false },
		{ "address", "\"127.0.0.1:99999999999\"", false },
		{ "address", "\"127.0.0.1:18446744073709551696\"", false },
		{ "address", "\"127.0.0.1:80:80\"", false },
		{ "address", "\"127.0.0.1\"", false },
		{ "address", "\"127.0.0:80\"", false },
		{ "address", "\"127.0.0.256:80\"", false },
		{ "address", "\"127.0.0.1 :80\"", false },
		{ "address", "\"127.0.0.1\\r\\n:80\"", false },
		{ "address", "\":80\"", false },
		{ "address", "\"[::1]:80\"", false },
		{ "address", "\"::1\"", false },
		{ "address", "\"localhost:80\"", false },
		{ "address", "\"\"", false },
		{ "address", "80", false },
		{ "address", NULL, false },
		{ "zone", "\"other\"", true },
		{ "zone", "\"\"", false },
		{ "zone", "\"z\\ny\"", false },
		{ "zone", "null", false },
		{ "zone", "7", false },
		{ "zone", NULL, false },
		{ "state", "\"draining\"", true },
		{ "state", "\"READY\"", false },
		{ "state", "true", false },
		{ "state", NULL, false },
		{ "capacity", "[]", false },
		{ "capacity", "9", false },
		{ "capacity", "{}", false },
		{ "capacity", NULL, false },
		{ "cpu", "1000000000", true },
		{ "cpu", "1000000001", false },
		{ "cpu", "9223372036854775807", false },
		{ "cpu", "-1", false },
		{ "cpu", "16000.5", false },
		{ "cpu", "1e300", false },
		{ "cpu", "\"16000\"", false },
		{ "cpu", NULL, false },
		{ "mem_mb", "0", true },
		{ "mem_mb", "-9223372036854775808", false },
		{ "mem_mb", "[1]", false },
		{ "mem_mb", NULL, false },
		{ "gpu", "8", true },
		{ "gpu", "4294967296", false },
		{ "gpu", "false", false },
		{ "labels", "[]", true },
		{ "labels", "{}", false },
		{ "labels", "\"r1-3\"", false },
		{ "labels", "[\"a\",3]", false },
		{ "labels", NULL, false },
		{ "born", "1", true },
		{ "born", "0", false },
		{ "born", "-1", false },
		{ "born", "9007199254740993", false },
		{ "born", "9223372036854775807", false },
		{ "born", "1.7e12", false },
		{ "born", "\"1700000000000\"", false },
		{ "born", NULL, false },
		{ "gpu", NULL, false },
		{ "version", NULL, false },
		{ "slots", NULL, false },
		{ "cold_remaining_ms", NULL, false },
		{ "sequence", NULL, false },
		{ "slots", "-1", false },
		{ "slots", "8.5", false },
		{ "slots", "{}", false },
		{ "version", "7", false },
		{ "cold_remaining_ms", "-1", false },
		{ "cold_remaining_ms", "9223372036854775807", false },
		{ "cold_remaining_ms", "\"0\"", false },
		{ "sequence", "1e18", false },
		{ "sequence", "null", false },
		{ "unknown", "{\"a\":[1e300]}", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *j = entry_with(cases[i].field, cases[i].value);
		char *text = json_dumps(j, JSON_COMPACT);

		cr_expect_eq(names_worker("i-1", text), cases[i].ok, "%s: %s",
		    cases[i].field,
		    cases[i].value == NULL ? "missing" : cases[i].value);
		free(text);
		json_decref(j);
	}
}

/* Bytes that are no object, or numbers that the JSON library can't hold. */
Test(odd_entries, bytes)
{
	static const struct {
		const char *bytes;
		size_t n; /* 0: up to the first NUL */
	} cases[] = {
		{ "", 0 },
		{ "7", 0 },
		{ "[]", 0 },
		{ "null", 0 },
		{ "\"s\"", 0 },
		{ "{", 0 },
		{ "\xff\xfe{}", 0 },
		{ "{\"service\":\"\\u0000\"}", 0 },
		{ "{\"service\":\"\\ud800\"}", 0 },
		{ "{\"capacity\":{\"cpu\":18446744073709551616}}", 0 },
		{ "{\"capacity\":{\"cpu\":-1e999}}", 0 },
		{ "{\"capacity\":{\"cpu\":NaN}}", 0 },
		{ "\0{}", 3 },
	};
	char more[sizeof(good)];
	platform_worker_t w;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		cr_expect_not(
		    parse("i-1", cases[i].bytes,
			cases[i].n == 0 ? strlen(cases[i].bytes) : cases[i].n,
			&w),
		    "case %zu", i);
	cr_expect(names_worker("i-1", good));
	/* With a NUL behind it. */
	memcpy(more, good, sizeof(more));
	cr_expect_not(parse("i-1", more, sizeof(more), &w));
}

/*
 * An id goes into a header of each call, and with a space after it into the list
 * of workers in use.
 */
Test(odd_entries, ids)
{
	g_autofree char *longest = g_strnfill(KEY_BYTES, 'i');
	struct {
		const char *id;
		bool ok;
	} cases[] = {
		{ "i-1", true },
		{ longest, true },
		{ "", false },
		{ "i 1", false },
		{ "i-1\r\nHost: x", false },
		{ "i-1\n", false },
		{ "i-1\x7f", false },
		{ "\xc3\xa9", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		cr_expect_eq(names_worker(cases[i].id, good), cases[i].ok,
		    "case %zu", i);
}

/*
 * The owner writes ids and addresses into rows of its own: with one as long as
 * a row may be, the store refused each of its writes.
 */
Test(odd_entries, long_texts)
{
	static const char *const fields[] = { "service", "address", "zone",
		"state", "version", "labels" };

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		g_autofree char *fill = g_strnfill(ROW_BYTES - 400, '1');
		bool is_list = strcmp(fields[i], "labels") == 0;
		g_autofree char *value = g_strdup_printf("%s\"127.0.0.1:%s\"%s",
		    is_list ? "[" : "", fill, is_list ? "]" : "");
		json_t *j = entry_with(fields[i], value);
		char *text = json_dumps(j, JSON_COMPACT);

		cr_expect_leq(strlen(text), ROW_BYTES);
		cr_expect_not(names_worker("i-1", text), "%s", fields[i]);
		free(text);
		json_decref(j);
	}
}

/* Levels of a list in a field of an entry; free it. */
static char *
nested(size_t levels)
{
	g_autofree char *open = g_strnfill(levels, '[');
	g_autofree char *close = g_strnfill(levels, ']');

	return g_strdup_printf("{\"unknown\":%s%s,%s", open, close, good + 1);
}

static void *
parse_nested(void *ctx)
{
	static const size_t levels[] = { 1, 100, DEEP, DEEP + 100,
		ROW_BYTES / 2 - sizeof(good) };
	bool *ok = ctx;

	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		g_autofree char *text = nested(levels[i]);

		ok[i] = names_worker("i-1", text);
	}
	return NULL;
}

/* A deeply nested entry took the process down, on a small stack at least. */
Test(odd_entries, nesting)
{
	bool ok[5] = { false };
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	cr_assert_eq(pthread_create(&thread, &attr, parse_nested, ok), 0);
	pthread_join(thread, NULL);
	cr_expect(ok[0] && ok[1]);
	cr_expect_not(ok[3] || ok[4]);
}
