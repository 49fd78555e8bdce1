/*
 * Random entries of the table of workers; see odd_entry.h.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "odd_entry.h"

#define LONG_MAX_BYTES 60000 /* of a text */
#define LEVELS_MAX     3000  /* more than the JSON library reads */
#define WORKERS	       4

typedef struct {
	const char *name;
	const char *value; /* JSON; NULL: a choice of this file */
} field_t;

static int32_t
below(GRand *r, int32_t n)
{
	return g_rand_int_range(r, 0, n);
}

static char *
nested(GRand *r)
{
	bool lists = below(r, 2) == 0;
	int32_t n = below(r, LEVELS_MAX);
	GString *s = g_string_new(NULL);

	for (int32_t i = 0; i < n; i++)
		g_string_append(s, lists ? "[" : "{\"a\":");
	g_string_append(s, "1");
	/* Some are not closed. */
	for (int32_t i = below(r, 9) == 0; i < n; i++)
		g_string_append_c(s, lists ? ']' : '}');
	return g_string_free(s, FALSE);
}

/* An address that is none; cut, some of them would be this one. */
static char *
odd_address(GRand *r, const char *address)
{
	const char *colon = strchr(address, ':');
	int64_t port = g_ascii_strtoll(colon + 1, NULL, 10);
	int ip_bytes = (int)(colon - address);

	switch (below(r, 6)) {
	case 0: /* the same port when cut to 16 bits */
		port += (below(r, 2) == 0 ? 65536 : -65536) *
		    ((int64_t)1 << below(r, 46));
		return g_strdup_printf(
		    "\"%.*s:%" G_GINT64_FORMAT "\"", ip_bytes, address, port);
	case 1:
		return g_strdup_printf(
		    "\"%s%s\"", address, below(r, 2) == 0 ? "x" : "\\r\\nX: y");
	case 2:
		return g_strdup_printf("\"%.*s\"", ip_bytes, address);
	case 3:
		return g_strdup_printf("\"[::1]%s\"", colon);
	case 4:
		return g_strdup_printf("\"localhost%s\"", colon);
	default:
		return g_strdup_printf("\" %s\"", address);
	}
}

static char *
odd_value(GRand *r, const char *address)
{
	static const char *const values[] = { "null", "true", "\"\"", "\"x y\"",
		"\"\\u0001\"", "\"\\u0000\"", "[]", "[7]", "{}", "0", "-1",
		"0.5", "1e300", "1e999", "9007199254740993",
		"9223372036854775807", "-9223372036854775808",
		"18446744073709551616", "NaN" };
	g_autofree char *fill = NULL;

	switch (below(r, 6)) {
	case 0:
		return nested(r);
	case 1:
		fill = g_strnfill((gsize)below(r, LONG_MAX_BYTES), '1');
		return g_strdup_printf(
		    "\"%s%s\"", below(r, 2) == 0 ? address : "", fill);
	case 2:
		return odd_address(r, address);
	default:
		return g_strdup(
		    values[below(r, (int32_t)G_N_ELEMENTS(values))]);
	}
}

char *
odd_entry_text(GRand *r, const char *address)
{
	static const field_t fields[] = { { "service", "\"s\"" },
		{ "address", NULL }, { "zone", "\"z\"" },
		{ "version", "\"v1\"" }, { "slots", "8" },
		{ "state", "\"ready\"" }, { "cold_remaining_ms", "0" },
		{ "capacity", NULL }, { "labels", "[\"a\",\"r1-3\"]" },
		{ "born", "1700000000000" }, { "sequence", "4" } };
	static const field_t amounts[] = { { "cpu", "16000" },
		{ "mem_mb", "32768" }, { "gpu", "0" } };
	int32_t nfields = G_N_ELEMENTS(fields), n = nfields + 3;
	GString *s = g_string_new("{"), *capacity = g_string_new("{");
	bool odd[G_N_ELEMENTS(fields) + 3] = { false };

	for (int32_t i = below(r, 4); i > 0; i--)
		odd[below(r, n)] = true;
	for (int32_t i = 0; i < n; i++) {
		int32_t k = (i + nfields) % n; /* the amounts first */
		bool is_amount = k >= nfields;
		const field_t *f =
		    is_amount ? &amounts[k - nfields] : &fields[k];
		g_autofree char *value = NULL;
		GString *to = is_amount ? capacity : s;

		if (odd[k] && below(r, 4) == 0)
			continue;
		if (odd[k])
			value = strcmp(f->name, "address") == 0 ?
			    odd_address(r, address) :
			    odd_value(r, address);
		else if (f->value != NULL)
			value = g_strdup(f->value);
		else if (strcmp(f->name, "address") == 0)
			value = g_strdup_printf("\"%s\"", address);
		else
			value = g_strconcat(capacity->str, "}", NULL);
		g_string_append_printf(
		    to, "%s\"%s\":%s", to->len == 1 ? "" : ",", f->name, value);
	}
	g_string_append_c(s, '}');
	g_string_free(capacity, TRUE);
	return g_string_free(s, FALSE);
}

char *
odd_entry_key(GRand *r)
{
	switch (below(r, 20)) {
	case 0:
		return g_strdup("");
	case 1:
		return g_strdup_printf("w%d x", below(r, WORKERS));
	case 2:
		return g_strdup_printf("w%d\r\nX: y", below(r, WORKERS));
	case 3:
		return g_strnfill(200, 'w');
	default:
		return g_strdup_printf("w%d", below(r, WORKERS));
	}
}
