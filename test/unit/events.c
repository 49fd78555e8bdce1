/*
 * docs/EVENTS.md must list exactly the log events that the code has, and all of
 * its counters.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "../../cmd/cmd.h"

Test(events, catalogue)
{
	g_autofree char *text = NULL;
	int listed = 0;

	cr_assert(g_file_get_contents("docs/EVENTS.md", &text, NULL, NULL));
	for (int n = 0; n < 1000; n++) {
		g_autofree char *row =
		    g_strdup_printf("| %d | %s |", n, log_event_name(n));
		g_autofree char *number = g_strdup_printf("| %d | ", n);

		if (log_event_name(n) == NULL) {
			cr_expect_null(strstr(text, number), "event %d", n);
			continue;
		}
		listed++;
		cr_expect_not_null(strstr(text, row), "event %d", n);
	}
	cr_expect_gt(listed, 10);
}

Test(events, counters)
{
	g_autofree char *text = NULL;

	cr_assert(g_file_get_contents("docs/EVENTS.md", &text, NULL, NULL));
	for (int i = 0; i < TS_C_MAX; i++) {
		g_autofree char *row = g_strdup_printf(
		    "| `%s` |", ts_counter_name((ts_counter_t)i));

		cr_expect_not_null(strstr(text, row), "counter %s", row);
	}
}
