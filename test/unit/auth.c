/*
 * Who may call a queue, by its route, the key and the age of the operators'
 * table, and who may access a job.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"
#include "../../serve/auth.h"

static const char with_customers[] =
    "{\"version\":1,\"routes\":[{\"name\":\"public\",\"public\":true},"
    "{\"name\":\"keyed\"}],\"tenants\":["
    "{\"name\":\"a\",\"api_keys\":[\"ka\"]},"
    "{\"name\":\"b\",\"api_keys\":[\"kb\"]}]}";
static const char without_customers[] =
    "{\"version\":1,\"routes\":[{\"name\":\"public\",\"public\":true},"
    "{\"name\":\"keyed\"}]}";

static platform_config_t *
parse(const char *row)
{
	return platform_config_parse((const uint8_t *)row, strlen(row), NULL);
}

Test(auth, calls)
{
	enum { PUBLIC, KEYED };
	static const struct {
		const char *config;
		guint queue;
		const char *key;
		int64_t age_ms;
		auth_result_t want;
		const char *customer; /* "": none */
	} cases[] = {
		/* Without customers nothing is asked for. */
		{ without_customers, KEYED, NULL, 0, AUTH_ALLOWED, "" },
		{ without_customers, KEYED, "ka", 0, AUTH_ALLOWED, "" },
		{ without_customers, KEYED, NULL, INT64_MAX, AUTH_ALLOWED, "" },
		{ without_customers, PUBLIC, NULL, 0, AUTH_ALLOWED, "" },
		/* A public route: a key only tells the customer. */
		{ with_customers, PUBLIC, NULL, 0, AUTH_ALLOWED, "" },
		{ with_customers, PUBLIC, "no", 0, AUTH_ALLOWED, "" },
		{ with_customers, PUBLIC, "", 0, AUTH_ALLOWED, "" },
		{ with_customers, PUBLIC, "ka", 0, AUTH_ALLOWED, "a" },
		{ with_customers, PUBLIC, "kb", 9000, AUTH_ALLOWED, "b" },
		{ with_customers, PUBLIC, NULL, 9000, AUTH_ALLOWED, "" },
		/* Others need a key that the present table has. */
		{ with_customers, KEYED, "ka", 0, AUTH_ALLOWED, "a" },
		{ with_customers, KEYED, "kb", 1000, AUTH_ALLOWED, "b" },
		{ with_customers, KEYED, "ka", 2000, AUTH_ALLOWED, "a" },
		{ with_customers, KEYED, NULL, 0, AUTH_UNAUTHORIZED, "" },
		{ with_customers, KEYED, "", 0, AUTH_UNAUTHORIZED, "" },
		{ with_customers, KEYED, "no", 0, AUTH_UNAUTHORIZED, "" },
		{ with_customers, KEYED, "KA", 0, AUTH_UNAUTHORIZED, "" },
		{ with_customers, KEYED, "a", 0, AUTH_UNAUTHORIZED, "" },
		{ with_customers, KEYED, "no", 2000, AUTH_UNAUTHORIZED, "" },
		/* An older table may lack a new key, or have a revoked one. */
		{ with_customers, KEYED, "ka", 2001, AUTH_STALE, "" },
		{ with_customers, KEYED, "no", 2001, AUTH_STALE, "" },
		{ with_customers, KEYED, NULL, 2001, AUTH_STALE, "" },
		{ with_customers, KEYED, "ka", INT64_MAX, AUTH_STALE, "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		platform_config_t *cfg = parse(cases[i].config);
		auth_call_t call = { .config = cfg,
			.queue = &g_array_index(
			    cfg->queues, platform_queue_t, cases[i].queue),
			.key = cases[i].key,
			.table_age_ms = cases[i].age_ms };
		const sched_customer_t *c;

		cr_expect_eq(
		    auth_check(&call, &c), cases[i].want, "case %zu", i);
		cr_expect_str_eq(
		    c == NULL ? "" : c->name, cases[i].customer, "case %zu", i);
		platform_config_free(cfg);
	}
}

Test(auth, jobs)
{
	static const struct {
		const char *caller, *job;
		bool want;
	} cases[] = {
		{ "a", "a", true },
		{ "a", "b", false },
		{ "a", "ab", false },
		{ "", "a", false },
		/* From a public route, or stored by an older build. */
		{ "a", "", true },
		{ "", "", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		cr_expect_eq(auth_may_access(cases[i].caller, cases[i].job),
		    cases[i].want, "case %zu", i);
}

/* Callers with a wrong key must not be able to fill the log. */
Test(auth, log_limit)
{
	static const struct {
		int64_t now_ms;
		bool due;
		int64_t skipped;
	} cases[] = {
		{ 5000, true, 0 },
		{ 5000, false, 0 },
		{ 5999, false, 0 },
		{ 6000, true, 2 },
		{ 7500, true, 0 },
	};
	auth_log_limit_t l = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t skipped = 0;

		cr_expect_eq(auth_log_due(&l, cases[i].now_ms, &skipped),
		    cases[i].due, "case %zu", i);
		cr_expect_eq(skipped, cases[i].skipped, "case %zu", i);
	}
}
