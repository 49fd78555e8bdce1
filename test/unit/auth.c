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

Test(auth, gangs)
{
	/* A customer with this quota, and a job with one step. */
	static const struct {
		int64_t quota_cpu_milli, quota_mem_mb;
		int32_t quota_gpu;
		bool gang;
		int32_t count;
		int64_t cpu_milli, mem_mb;
		int32_t gpu;
		bool exceeds;
	} cases[] = {
		{ 0, 0, 0, true, 9, 1000, 10, 1, false },
		{ 8000, 0, 0, true, 8, 1000, 10, 1, false },
		{ 8000, 0, 0, true, 8, 1001, 10, 1, true },
		{ 7999, 0, 0, true, 8, 1000, 10, 1, true },
		{ 0, 80, 0, true, 8, 1000, 10, 1, false },
		{ 0, 79, 0, true, 8, 1000, 10, 1, true },
		{ 0, 0, 7, true, 8, 1000, 10, 1, true },
		{ 0, 0, 8, true, 8, 1000, 10, 1, false },
		/* The products would not fit into 64 bits in bytes. */
		{ SCHED_AMOUNT_MAX, SCHED_AMOUNT_MAX, 0, true, 10000,
		    SCHED_AMOUNT_MAX, SCHED_AMOUNT_MAX, 0, true },
		/* Single tasks run one after another, the largest alone. */
		{ 1000, 0, 0, false, 8, 1000, 10, 1, false },
		{ 1000, 0, 0, false, 1, 5000, 10, 1, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_customer_t c = { .name = "a",
			.quota_cpu_milli = cases[i].quota_cpu_milli,
			.quota_mem_mb = cases[i].quota_mem_mb,
			.quota_gpu = cases[i].quota_gpu };
		Sched__Step step = SCHED__STEP__INIT, *steps = &step;
		Sched__Job job = SCHED__JOB__INIT;

		step.gang = cases[i].gang;
		step.count = cases[i].count;
		step.cpu_milli = cases[i].cpu_milli;
		step.mem_mb = cases[i].mem_mb;
		step.gpu = cases[i].gpu;
		job.steps = &steps;
		job.n_steps = 1;
		cr_expect_eq(auth_gang_exceeds_quota(&job, &c),
		    cases[i].exceeds, "case %zu", i);
		cr_expect_not(
		    auth_gang_exceeds_quota(&job, NULL), "case %zu", i);
	}
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
