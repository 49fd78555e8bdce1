/*
 * A configuration that is decoded by what has changed since an older one is the
 * same as one that is decoded whole.
 */
#include <stdbool.h>
#include <stdint.h>
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

#define SERIES 200 /* of configurations, each after the one before */
#define STEPS  60
#define QUEUES 40

#define HEAD "{\"version\":1,\"routes\":["
#define A    "{\"name\":\"a\",\"priority\":1}"
#define B    "{\"name\":\"b]}\\\"\",\"advice\":{\"x\":[1]}}"
#define C    "{\"name\":\"c\",\"host\":\"h\"}"

static platform_config_t *
parse_after(const platform_config_t *before, const char *text)
{
	return platform_config_parse_after(
	    before, (const uint8_t *)text, strlen(text), NULL);
}

static bool
queues_equal(const platform_queue_t *a, const platform_queue_t *b)
{
	return a->name == b->name && a->host == b->host &&
	    a->prefix == b->prefix && a->service == b->service &&
	    a->priority == b->priority && a->max_attempts == b->max_attempts &&
	    a->stretch == b->stretch && a->target_ms == b->target_ms &&
	    a->timeout_ms == b->timeout_ms &&
	    a->needs_approval == b->needs_approval &&
	    memcmp(&a->approval_cost, &b->approval_cost,
		sizeof(a->approval_cost)) == 0 &&
	    a->is_public == b->is_public && a->is_cut == b->is_cut;
}

static bool
configs_equal(const platform_config_t *a, const platform_config_t *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	if (a->version != b->version || a->queues->len != b->queues->len ||
	    a->customers->len != b->customers->len ||
	    a->body_max_bytes != b->body_max_bytes ||
	    (a->services == NULL) != (b->services == NULL))
		return false;
	for (guint i = 0; i < a->queues->len; i++)
		if (!queues_equal(
			&g_array_index(a->queues, platform_queue_t, i),
			&g_array_index(b->queues, platform_queue_t, i)))
			return false;
	return true;
}

/*
 * Guards against CONFIG by a table that is put together from two: what is not
 * decoded again has to be as it was, and what is not valid has to be refused.
 */
Test(config_text, as_if_decoded_whole)
{
	static const struct {
		const char *before, *text;
		int decoded; /* -1: it is not valid */
	} cases[] = {
		{ HEAD A "," B "]}", HEAD A "," B "]}", 0 },
		{ HEAD A "," B "]}", HEAD A "," B "," C "]}", 1 },
		{ HEAD A "," B "]}", HEAD C "," A "," B "]}", 1 },
		{ HEAD A "," B "," C "]}", HEAD A "," C "]}", 0 },
		{ HEAD A "," B "," C "]}", HEAD "]}", 0 },
		{ HEAD "]}", HEAD A "]}", 1 },
		{ HEAD A "," B "]}", HEAD " " A "\n,\t" B " ] } ", 0 },
		/* In another order some are decoded again. */
		{ HEAD A "," B "]}", HEAD B "," A "]}", 1 },
		{ HEAD A "," A "]}", HEAD A "," A "," A "]}", 1 },
		/* Without a space between them, two can look like one. */
		{ HEAD A "]}", HEAD A A "]}", -1 },
		{ HEAD A "]}", HEAD A ",]}", -1 },
		{ HEAD A "]}", HEAD "," A "]}", -1 },
		{ HEAD A "]}", HEAD A "]", -1 },
		{ HEAD A "]}", HEAD A "]}}", -1 },
		{ HEAD A "]}", HEAD A "]},", -1 },
		{ HEAD A "]}", HEAD A ",{\"name\":}]}", -1 },
		{ HEAD A "]}", HEAD A ",{\"name\":[}]}", -1 },
		{ HEAD A "]}", HEAD A "],\"x\":\"\xff\"}", -1 },
		{ HEAD A "]}", "", -1 },
		{ HEAD A "]}", "{\"version\":1}", -1 },
		/* The last of two lists counts. */
		{ HEAD A "]}", HEAD A "],\"routes\":[" B "," C "]}", 2 },
		{ HEAD A "]}", HEAD A "],\"r\\u006futes\":[" C "]}", 1 },
		/* A list within another member. */
		{ HEAD A "]}",
		    "{\"x\":{\"routes\":[" A "]},\"version\":1,"
		    "\"routes\":[" B "," A "]}",
		    1 },
		{ HEAD A "]}", HEAD A ",7]}", 2 },
		{ HEAD A "]}", HEAD "[" A "]]}", 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		platform_config_t *before = parse_after(NULL, cases[i].before);
		platform_config_t *whole = parse_after(NULL, cases[i].text);
		platform_config_t *got = parse_after(before, cases[i].text);

		cr_assert_not_null(before);
		cr_expect(configs_equal(whole, got), "case %zu", i);
		cr_expect_eq(got == NULL ? -1 : (int)got->decoded,
		    cases[i].decoded, "case %zu: %d decoded", i,
		    got == NULL ? -1 : (int)got->decoded);
		platform_config_free(before);
		platform_config_free(whole);
		platform_config_free(got);
	}
}

/* A configuration of queues by their numbers; 0: none. */
static char *
encode(const int *numbers, int version, GRand *rand)
{
	GString *s = g_string_new("");
	const char *comma = "";

	g_string_printf(s, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < QUEUES; i++) {
		if (numbers[i] == 0)
			continue;
		g_string_append_printf(s,
		    "%s{\"name\":\"q%d\",\"prefix\":\"/%d{[\\\"/\","
		    "\"priority\":%d}",
		    comma, i, i, numbers[i]);
		comma = ",";
	}
	g_string_append(s, "],\"services\":[\"s\"]}");
	/* Now and then a byte is not what it was. */
	if (g_rand_int_range(rand, 0, 4) == 0)
		s->str[g_rand_int_range(rand, 0, (gint32)s->len)] =
		    (char)g_rand_int_range(rand, 1, 256);
	return g_string_free(s, FALSE);
}

/* Guards against the same, by configurations that change by chance. */
Test(config_text, series_of_changes)
{
	for (guint32 seed = 1; seed <= SERIES; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		platform_config_t *before = NULL;
		int numbers[QUEUES] = { 0 };

		for (int step = 1; step <= STEPS; step++) {
			g_autofree char *text = NULL;
			platform_config_t *whole, *got;

			for (int i = g_rand_int_range(rand, 0, 4); i > 0; i--)
				numbers[g_rand_int_range(rand, 0, QUEUES)] =
				    g_rand_int_range(rand, 0, 3);
			text = encode(numbers, step, rand);
			whole = parse_after(NULL, text);
			got = parse_after(before, text);
			cr_assert(configs_equal(whole, got),
			    "seed %u, step %d: %s", seed, step, text);
			platform_config_free(whole);
			if (got == NULL)
				continue;
			platform_config_free(before);
			before = got;
		}
		platform_config_free(before);
		g_rand_free(rand);
	}
}
