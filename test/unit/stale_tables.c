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
#include "../../serve/serve.h"

#define FIRST_PORT 18580
#define LAST_PORT  18680
#define CALL_MS	   5000

static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\","
    "\"prefix\":\"/q/\",\"service\":\"s\"}]}";

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
	platform_opts_t o = { .loop = &f->loop,
		.store_addr = "127.0.0.1:1",
		.approval_addr = "" };
	server_opts_t s = { .loop = &f->loop,
		.ip = "127.0.0.1",
		.body_max_bytes = 4096,
		.on_request = ingress_request,
		.ctx = &f->node };

	uv_loop_init(&f->loop);
	f->node.loop = &f->loop;
	f->node.opts.name = "e";
	f->node.opts.drain_ms = 2000;
	f->node.opts.max_lease_ms = 6000;
	f->node.platform = platform_new(&o);
	f->node.watches = g_ptr_array_new();
	f->node.store_answered_ms = node_now_ms(&f->node);
	uv_timer_init(&f->loop, &f->node.tick_timer);
	f->node.cell_driver = cell_driver_new(&f->node);
	f->node.config = platform_config_parse(
	    (const uint8_t *)config, strlen(config), NULL);
	for (s.port = FIRST_PORT; f->node.front == NULL; s.port++) {
		cr_assert_lt(s.port, LAST_PORT);
		f->node.front = server_new(&s, NULL);
	}
	f->port = s.port - 1;
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
get(fixture_t *f, const char *path)
{
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%d%s", f->port, path);

	f->answered = false;
	client_call(f->client, "GET", url, NULL, NULL, CALL_MS, on_answer, f);
	while (!f->answered)
		uv_run(&f->loop, UV_RUN_ONCE);
	return f->status;
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
