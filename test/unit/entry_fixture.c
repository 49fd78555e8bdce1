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

#define ENTRY_PORTS 100

const char entry_job[] =
    "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,"
    "\"estimate_ms\":900}]}";
static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\","
    "\"prefix\":\"/q/\",\"service\":\"s\"}]}";

/* Opens the front on the first port that is free. */
static int
open_front(node_t *n, const entry_opts_t *o)
{
	server_opts_t s = { .loop = o->loop,
		.ip = "127.0.0.1",
		.port = o->first_port,
		.body_max_bytes = 4096,
		.on_request = o->on_request,
		.ctx = o->ctx };

	while ((n->front = server_new(&s, NULL)) == NULL) {
		s.port++;
		cr_assert_lt(s.port, o->first_port + ENTRY_PORTS);
	}
	return s.port;
}

int
entry_fixture_init(node_t *n, const entry_opts_t *o)
{
	platform_opts_t p = { .loop = o->loop,
		.store_addr = o->store_addr,
		.approval_addr = "" };

	n->loop = o->loop;
	n->opts.name = "e";
	n->opts.drain_ms = 2000;
	n->opts.max_lease_ms = 6000;
	n->opts.config_ms = o->config_ms;
	n->platform = platform_new(&p);
	n->watches = g_ptr_array_new();
	n->held_calls = held_calls_new(n, ingress_serve);
	n->store_answered_ms = node_now_ms(n);
	uv_timer_init(o->loop, &n->tick_timer);
	n->cell_driver = cell_driver_new(n);
	n->config = platform_config_parse(
	    (const uint8_t *)config, strlen(config), NULL);
	return open_front(n, o);
}
