/*
 * Answers to callers by tables that may be old.
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
#include "../../serve/store_clock.h"
#include "../../serve/auth.h"
#include "../../serve/rate_limit.h"
#include "../../serve/serve.h"
#include "entry_fixture.h"
#include "store_fixture.h"

#define FIRST_PORT 18580
#define CALL_MS	   5000
#define CONFIG_MS  3000
#define READ_MS	   200 /* after the call the tables are read */

typedef struct {
	uv_loop_t loop;
	node_t node;
	int port;
	client_t *client;
	int32_t status; /* of the last answer */
	bool answered;
} fixture_t;

static void
fixture_init(fixture_t *f)
{
	uv_loop_init(&f->loop);
	f->port = entry_fixture_init(&f->node,
	    &(entry_opts_t){ .loop = &f->loop,
		.store_addr = "127.0.0.1:1",
		.config_ms = CONFIG_MS,
		.first_port = FIRST_PORT,
		.on_request = ingress_request,
		.ctx = &f->node });
	request_init_limits(&f->node);
	f->client = client_new(&f->loop);
}

static void
on_answer(void *ctx, int32_t status, const char *body, size_t n)
{
	fixture_t *f = ctx;

	(void)body;
	(void)n;
	f->status = status;
	f->answered = true;
}

/* Calls the entry, and waits for the status of its answer. */
static int32_t
call(fixture_t *f, const char *method, const char *path, const char *body)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%d%s", f->port, path);

	f->answered = false;
	client_call(f->client, method, url, NULL, body, CALL_MS, on_answer, f);
	while (!f->answered)
		uv_run(&f->loop, UV_RUN_ONCE);
	return f->status;
}

static int32_t
get(fixture_t *f, const char *path)
{
	return call(f, "GET", path, NULL);
}

/*
 * Guards against CONFIG: an entry that knows its tables to be old answered 404 for
 * a queue that they don't have, which operators had added seconds before.
 */
Test(stale_tables, no_queue_is_unknown_by_old_tables, .timeout = 20)
{
	static const struct {
		int64_t age_ms;
		int32_t want;
	} cases[] = { { 0, 404 }, { 1000, 404 }, { 10000, 503 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f = { 0 };

		fixture_init(&f);
		f.node.operators_as_of_ms =
		    node_now_ms(&f.node) - cases[i].age_ms;
		cr_expect_eq(get(&f, "/other/"), cases[i].want, "age %d: %d",
		    (int)cases[i].age_ms, (int)f.status);
	}
}

static void
on_read(uv_timer_t *t)
{
	node_t *n = t->data;

	node_tables_read(n, node_now_ms(n));
}

/*
 * Guards against callers that are refused, or told what old tables say, when new ones
 * come in time: the call waits for them.
 */
Test(stale_tables, a_call_waits_for_new_tables, .timeout = 20)
{
	static const struct {
		const char *path;
		bool read; /* the tables are read, READ_MS after the call */
		bool store_lost;
		int32_t want;
		int64_t least_ms, most_ms;
	} cases[] = {
		{ "/other/", true, false, 404, READ_MS - 50, 1500 },
		{ "/other/", false, true, 503, 0, 150 },
		/* The count is not known, whatever the tables say. */
		{ "/q/", true, false, 503, READ_MS - 50, 450 },
		{ "/q/", false, false, 503, 450, 1500 },
		{ "/q/", false, true, 503, 0, 150 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f = { 0 };
		uv_timer_t t;
		int64_t began_ms, took_ms;
		int32_t status;

		fixture_init(&f);
		began_ms = node_now_ms(&f.node);
		f.node.operators_as_of_ms = began_ms - 10000;
		f.node.store_lost = cases[i].store_lost;
		uv_timer_init(&f.loop, &t);
		t.data = &f.node;
		/* Setting up may have taken longer than the timer. */
		uv_update_time(&f.loop);
		if (cases[i].read)
			uv_timer_start(&t, on_read, READ_MS, 0);
		status = get(&f, cases[i].path);
		took_ms = node_now_ms(&f.node) - began_ms;
		cr_expect_eq(status, cases[i].want, "case %zu: %d", i, status);
		cr_expect(
		    took_ms >= cases[i].least_ms && took_ms <= cases[i].most_ms,
		    "case %zu: %d ms", i, (int)took_ms);
		cr_expect_eq(f.node.open_requests, 0);
	}
}

/*
 * Guards against CONFIG, and calls that nobody may make any more: an entry that knows
 * its tables to be old accepted jobs, and told and cancelled them, for a queue that
 * operators may have removed, given to another service or closed to the public.
 */
Test(stale_tables, nothing_is_decided_by_old_tables, .timeout = 30)
{
	static const struct {
		const char *method, *path, *body;
		int64_t age_ms;
		bool read; /* the tables are read, READ_MS after the call */
		int32_t want;
	} cases[] = {
		{ "POST", "/q/" ENTRY_JOB_ID, entry_job, 0, false, 200 },
		{ "POST", "/q/" ENTRY_JOB_ID, entry_job, 2000, false, 200 },
		{ "POST", "/q/" ENTRY_JOB_ID, entry_job, 2700, false, 503 },
		{ "POST", "/q/" ENTRY_JOB_ID, entry_job, 10000, false, 503 },
		{ "POST", "/q/" ENTRY_JOB_ID, entry_job, 10000, true, 200 },
		{ "GET", "/q/" ENTRY_JOB_ID, NULL, 0, false, 410 },
		{ "GET", "/q/" ENTRY_JOB_ID, NULL, 10000, false, 503 },
		{ "GET", "/q/" ENTRY_JOB_ID, NULL, 10000, true, 410 },
		{ "DELETE", "/q/" ENTRY_JOB_ID, NULL, 0, false, 410 },
		{ "DELETE", "/q/" ENTRY_JOB_ID, NULL, 10000, false, 503 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f = { 0 };
		store_fixture_t store = { 0 };
		platform_opts_t o = { .loop = &f.loop, .approval_addr = "" };
		uv_timer_t t;

		fixture_init(&f);
		store_fixture_init(&store, &f.loop);
		o.store_addr = store.address;
		f.node.platform = platform_new(&o);
		uv_timer_init(&f.loop, &f.node.retry_timer);
		f.node.retry_timer.data = &f.node;
		f.node.operators_as_of_ms =
		    node_now_ms(&f.node) - cases[i].age_ms;
		uv_timer_init(&f.loop, &t);
		t.data = &f.node;
		/* Setting up may have taken longer than the timer. */
		uv_update_time(&f.loop);
		if (cases[i].read)
			uv_timer_start(&t, on_read, READ_MS, 0);
		cr_expect_eq(
		    call(&f, cases[i].method, cases[i].path, cases[i].body),
		    cases[i].want, "case %zu: %d", i, (int)f.status);
	}
}

/*
 * Guards against an entry that callers are sent to as soon as the store answers it,
 * seconds before it has the tables.
 */
Test(stale_tables, an_entry_with_old_tables_is_not_ready)
{
	static const struct {
		int64_t age_ms;
		bool config, store_lost, stopping, ready;
	} cases[] = {
		{ 0, true, false, false, true },
		{ 1500, true, false, false, true },
		{ CONFIG_MS, true, false, false, false },
		{ 0, false, false, false, false },
		{ 0, true, true, false, false },
		{ 0, true, false, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		platform_config_t cfg = { .customers = g_array_new(FALSE, FALSE,
					      sizeof(sched_customer_t)) };
		node_t n = { .config = cases[i].config ? &cfg : NULL,
			.store_lost = cases[i].store_lost,
			.stopping = cases[i].stopping };

		n.opts.config_ms = CONFIG_MS;
		n.operators_as_of_ms = node_now_ms(&n) - cases[i].age_ms;
		cr_expect_eq(node_is_ready(&n), cases[i].ready, "case %zu", i);
	}
}

/*
 * Guards against callers with valid keys that are refused although they could wait:
 * tables that are too old to check a key did not count as old.
 */
Test(stale_tables, tables_too_old_for_keys_are_old)
{
	static const int64_t configs_ms[] = { 2000, 3000, 4000, 60000 };
	platform_config_t cfg = { .customers = g_array_new(
				      FALSE, TRUE, sizeof(sched_customer_t)) };

	g_array_set_size(cfg.customers, 1);

	for (size_t i = 0; i < G_N_ELEMENTS(configs_ms); i++) {
		node_t n = { .config = &cfg };

		n.opts.config_ms = (int32_t)configs_ms[i];
		n.operators_as_of_ms =
		    node_now_ms(&n) - AUTH_TABLE_AGE_MAX_MS - 100;
		cr_expect(
		    node_tables_old(&n), "config-ms %d", (int)configs_ms[i]);
		cr_expect(!node_is_ready(&n));
	}
}

/*
 * Guards against a caller with a new key that is refused for good (401) by tables
 * that may lack it.
 */
Test(stale_tables, no_key_is_unknown_by_old_tables, .timeout = 20)
{
	static const char keyed[] =
	    "{\"version\":2,\"routes\":[{\"name\":\"q\",\"host\":"
	    "\"127.0.0.1\",\"prefix\":\"/q/\",\"service\":\"s\"}],"
	    "\"tenants\":[{\"name\":\"c\",\"api_keys\":[\"k\"]}]}";
	static const struct {
		int64_t age_ms;
		int32_t want;
	} cases[] = { { 0, 401 }, { 1000, 401 }, { 1700, 503 }, { 2500, 503 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f = { 0 };

		fixture_init(&f);
		f.node.opts.config_ms = 2000;
		f.node.config = platform_config_parse(
		    (const uint8_t *)keyed, strlen(keyed), NULL);
		cr_assert_not_null(f.node.config);
		f.node.store_lost = true;
		f.node.operators_as_of_ms =
		    node_now_ms(&f.node) - cases[i].age_ms;
		cr_expect_eq(get(&f, "/q/"), cases[i].want, "age %d: %d",
		    (int)cases[i].age_ms, (int)f.status);
	}
}
