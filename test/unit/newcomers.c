/*
 * What entries tell each other while the store answers some of them, of which one
 * may be new to the others.
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
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "../../platform/platform.h"
#include "../../serve/store_clock.h"
#include "../../serve/auth.h"
#include "../../serve/rate_limit.h"
#include "../../serve/serve.h"
#include "store_fixture.h"

#define FIRST_PORT 18700
#define LAST_PORT  18800
#define STEP_MS	   100

typedef struct {
	uv_loop_t loop;
	node_t node;
	store_fixture_t store;
	entries_t *entries;
	sched_t *sched;
	dgram_t *peer; /* another entry */
	int peer_port;
	int served; /* notices that it got, by which the store answers */
} fixture_t;

static void
on_peer_data(void *ctx, const uint8_t *data, size_t n)
{
	fixture_t *f = ctx;
	Sched__Notice *notice = sched__notice__unpack(NULL, n, data);

	cr_assert_not_null(notice);
	f->served += notice->served;
	sched__notice__free_unpacked(notice, NULL);
}

/* Lists the other entry in the store. */
static void
list_peer(fixture_t *f, const char *name)
{
	Sched__Entry e = SCHED__ENTRY__INIT;
	g_autofree uint8_t *b = NULL;
	g_autofree char *text = NULL;
	size_t n;

	e.ip = (char *)"127.0.0.1";
	e.port = f->peer_port;
	e.incarnation = 1;
	e.strength = 1000;
	n = sched__entry__get_packed_size(&e);
	b = g_malloc(n);
	sched__entry__pack(&e, b);
	text = g_strndup((const char *)b, n);
	cr_assert_eq(strlen(text), n);
	store_fixture_put(&f->store, name, text);
}

static void
on_time(uv_timer_t *t)
{
	*(bool *)t->data = true;
}

static void
run_step(fixture_t *f)
{
	bool over = false;
	uv_timer_t t;

	uv_timer_init(&f->loop, &t);
	t.data = &over;
	uv_timer_start(&t, on_time, STEP_MS, 0);
	while (!over)
		uv_run(&f->loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&t, NULL);
	uv_run(&f->loop, UV_RUN_NOWAIT);
}

/* An entry that knows one other, which is listed by this name. */
static void
fixture_init(fixture_t *f, const char *peer)
{
	platform_opts_t o = { .loop = &f->loop, .approval_addr = "" };
	dgram_opts_t d = { .loop = &f->loop,
		.ip = "127.0.0.1",
		.on_data = on_peer_data,
		.ctx = f };
	node_opts_t *opts = &f->node.opts;
	int port = FIRST_PORT;

	uv_loop_init(&f->loop);
	store_fixture_init(&f->store, &f->loop);
	o.store_addr = opts->store_addr = f->store.address;
	f->node.loop = &f->loop;
	opts->name = (char *)"e";
	opts->ip = (char *)"127.0.0.1";
	opts->cpu_share = (char *)"1";
	opts->link_mbps = (char *)"1000";
	opts->drain_ms = opts->config_ms = 2000;
	opts->max_lease_ms = 6000;
	f->node.incarnation = 2;
	f->node.platform = platform_new(&o);
	f->node.watches = g_ptr_array_new();
	f->node.store_answered_ms = node_now_ms(&f->node);
	uv_timer_init(&f->loop, &f->node.tick_timer);
	uv_timer_init(&f->loop, &f->node.retry_timer);
	f->node.cell_driver = cell_driver_new(&f->node);
	f->sched = cell_driver_sched(f->node.cell_driver);
	for (; f->peer == NULL; port++) {
		cr_assert_lt(port, LAST_PORT);
		d.port = f->peer_port = port;
		f->peer = dgram_new(&d, NULL);
	}
	list_peer(f, peer);
	for (; f->entries == NULL; port++) {
		cr_assert_lt(port, LAST_PORT);
		opts->peer_port = port;
		f->entries = entries_new(&f->node, NULL);
	}
	f->node.entries = f->entries;
	run_step(f);
	run_step(f);
}

/* Sends the entry a notice, as from the entry of this name. */
static void
notify(fixture_t *f, const char *name, int64_t silent_ms, bool served)
{
	Sched__Notice notice = SCHED__NOTICE__INIT;
	uint8_t b[128];
	size_t n;

	notice.name = (char *)name;
	notice.incarnation = 1;
	notice.silent_ms = (int32_t)silent_ms;
	notice.released = notice.served = served;
	n = sched__notice__pack(&notice, b);
	dgram_send(f->peer, f->node.opts.ip, f->node.opts.peer_port, b, n);
}

/*
 * Guards against two runs of one task: the store turned all entries away that an
 * owner knew, so that it went on without renewals, but answered a new one, which
 * claimed the cell.
 */
Test(newcomers, the_store_answers_an_entry_that_is_not_known, .timeout = 20)
{
	static const struct {
		const char *name;
		bool
		    outage; /* 2 s after it is heard that the store answers it */
	} cases[] = { { "a", false }, { "new", false }, { "", true } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f = { 0 };
		int64_t away_ms;

		fixture_init(&f, "a");
		f.sched->cell.state = CELL_OWNED;
		f.store.away = true;
		away_ms = f.sched->cell.confirmed_ms = node_now_ms(&f.node);
		for (int ms = 0; ms < 1200; ms += STEP_MS) {
			notify(&f, "a", node_now_ms(&f.node) - away_ms, false);
			run_step(&f);
		}
		cr_assert(f.sched->cell.store_outage, "case %zu", i);
		for (int ms = 0; ms < 2000; ms += STEP_MS) {
			if (strcmp(cases[i].name, "a") != 0)
				notify(&f, "a", node_now_ms(&f.node) - away_ms,
				    false);
			if (cases[i].name[0] != '\0')
				notify(&f, cases[i].name, 0, true);
			run_step(&f);
		}
		cr_expect_eq(
		    f.sched->cell.store_outage, cases[i].outage, "case %zu", i);
	}
}

/*
 * Guards against the same: the owner doesn't know the new entry, so that this one has
 * to tell it, unasked, before it claims the cell.
 */
Test(newcomers, an_owner_is_told_that_the_store_answers, .timeout = 20)
{
	static const struct {
		bool renewed, released, served;
	} cases[] = {
		{ false, false, true },
		{ true, false, false },
		{ false, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f = { 0 };
		Sched__Owner o = SCHED__OWNER__INIT;
		uint8_t b[64];
		sched_row_t row = {
			.key = SCHED_KEY_OWNER, .version = 5, .bytes = b
		};

		fixture_init(&f, "o");
		o.name = (char *)"o";
		o.epoch = 1;
		o.released = cases[i].released;
		row.nbytes = sched__owner__pack(&o, b);
		for (int ms = 0; ms < 1200; ms += STEP_MS) {
			f.node.store_answered_ms = node_now_ms(&f.node);
			row.version += cases[i].renewed;
			sched_owner_row_read(
			    f.sched, &row, node_now_ms(&f.node));
			run_step(&f);
		}
		cr_expect_eq(f.served >= 2, cases[i].served,
		    "case %zu: %d notices", i, f.served);
	}
}
