/*
 * Rows of a body from which long texts were taken out are those of the body.
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
#include "../../platform/internal.h"

#define LONG 600 /* bytes: taken out */

/* Writes LONG times a letter for each upper-case letter of a pattern. */
static char *
expand(const char *pattern)
{
	GString *s = g_string_new("");

	for (; *pattern != '\0'; pattern++)
		for (int i = 0; i < (g_ascii_isupper(*pattern) ? LONG : 1); i++)
			g_string_append_c(s, *pattern);
	return g_string_free(s, FALSE);
}

/* Whether a value is the same once its marks are replaced. */
static bool
same(const json_t *plain, const json_t *j, const GArray *texts)
{
	const char *want = json_string_value(plain);
	const char *got = json_string_value(j);
	long_text_t t;

	if (want == NULL || got == NULL)
		return json_equal(plain, j);
	t = long_texts_get(texts, got);
	return strlen(want) == t.bytes && memcmp(want, t.text, t.bytes) == 0;
}

/*
 * Guards against CONFIG by a row that gets the value of another, or none: long
 * texts do not go through the JSON decoder.
 */
Test(long_text, values_are_those_of_the_body)
{
	/* Of each upper-case letter there are LONG. */
	static const struct {
		const char *body;
		guint taken;
		bool invalid;
	} cases[] = {
		{ "[\"A\"]", 1 },
		{ "[\"a\",\"B\",\"c\",\"D\",\"\",7,null]", 2 },
		{ "[\"A\",\"B\"] and more", 2 },
		{ "[\"A\\n\",\"B\"]", 1 },
		{ "[\"A\\\"\",\"B\\\\\",\"C\"]", 1 },
		{ "[\"\\\"A\",\"\\\\\",\"B\"]", 1 },
		{ "[\"A\xc3\xa4\",\"B\"]", 1 },
		/* A text that looks like a mark. */
		{ "[\"#0\",\"A\"]", 0 },
		{ "[\"A\",\"#0\"]", 0 },
		{ "[\"#0\"]", 0 },
		{ "[\"A\",\"x#0\"]", 1 },
		{ "[\"A", 0, true },
		{ "[\"A\\", 0, true },
		{ "[\"A\\\"", 0, true },
		{ "[\"A\n\"]", 0, true },
		{ "[\"A\xff\"]", 0, true },
		{ "[\"A\"\"B\"]", 0, true },
		{ "", 0, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *body = expand(cases[i].body);
		g_autoptr(GArray) texts =
		    g_array_new(FALSE, FALSE, sizeof(long_text_t));
		backend_answer_t a = { .body = (const uint8_t *)body,
			.body_bytes = strlen(body) };
		json_t *plain = json_body(&a), *j = long_texts_body(&a, texts);

		cr_expect_eq(plain == NULL, cases[i].invalid, "case %zu", i);
		cr_expect_eq(j == NULL, cases[i].invalid, "case %zu", i);
		cr_expect_eq(json_array_size(j), json_array_size(plain));
		if (j != NULL)
			cr_expect_eq(texts->len, cases[i].taken,
			    "case %zu: %u taken out", i, texts->len);
		for (size_t k = 0; k < json_array_size(plain); k++)
			cr_expect(same(json_array_get(plain, k),
				      json_array_get(j, k), texts),
			    "case %zu, value %zu", i, k);
		json_decref(plain);
		json_decref(j);
	}
}
