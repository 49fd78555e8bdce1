/*
 * Calls to a worker that takes connections and answers nothing.
 */
#include <stdbool.h>
#include <stdint.h>

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

#define ORDERS 100 /* more than there are connections */

typedef struct {
	uv_loop_t loop;
	uv_tcp_t listener, conns[ORDERS];
	int accepted;
	bool polled; /* the poll has ended */
	sched_order_result_t result;
} fixture_t;

static void
on_connect(uv_stream_t *l, int status)
{
	fixture_t *f = l->data;
	uv_tcp_t *c = &f->conns[f->accepted++];

	cr_assert_eq(status, 0);
	cr_assert_lt(f->accepted, ORDERS);
	uv_tcp_init(&f->loop, c);
	uv_accept(l, (uv_stream_t *)c);
}

static void
on_polled(void *ctx, uint64_t id, const char *worker, sched_order_result_t r,
    const sched_report_t *report)
{
	fixture_t *f = ctx;

	(void)id;
	(void)worker;
	(void)report;
	f->polled = true;
	f->result = r;
}

static void
on_order_done(void *ctx, uint64_t id, sched_order_result_t r, int64_t clock_ms)
{
	(void)ctx;
	(void)id;
	(void)r;
	(void)clock_ms;
}

/* Listens; returns the port. */
static int
fixture_init(fixture_t *f)
{
	struct sockaddr_in a;
	int n = sizeof(a);

	uv_loop_init(&f->loop);
	uv_tcp_init(&f->loop, &f->listener);
	f->listener.data = f;
	uv_ip4_addr("127.0.0.1", 0, &a);
	cr_assert_eq(uv_tcp_bind(&f->listener, (struct sockaddr *)&a, 0), 0);
	cr_assert_eq(
	    uv_listen((uv_stream_t *)&f->listener, 128, on_connect), 0);
	cr_assert_eq(
	    uv_tcp_getsockname(&f->listener, (struct sockaddr *)&a, &n), 0);
	return ntohs(a.sin_port);
}

/*
 * Guards against two runs of one task: orders to a worker took all connections to
 * it, so that a poll was not sent and counted as one that the worker had missed.
 */
Test(worker_calls, a_poll_beside_many_orders)
{
	static const int orders[] = { 0, 1, 11, 12, ORDERS };

	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		fixture_t f = { 0 };
		int port = fixture_init(&f);
		g_autofree char *address =
		    g_strdup_printf("127.0.0.1:%d", port);
		platform_opts_t opts = { .loop = &f.loop,
			.store_addr = "127.0.0.1:1",
			.approval_addr = "" };
		platform_t *p = platform_new(&opts);
		sched_poll_t poll = { .worker = "w", .address = address };

		for (int k = 0; k < orders[i]; k++) {
			sched_order_t o = { .kind = SCHED_PACE,
				.worker = "w",
				.address = address,
				.task = "0000000000000001.0.0.0",
				.percent = 50 };

			platform_send_order(p, &o, on_order_done, &f);
		}
		platform_poll_worker(p, &poll, on_polled, &f);
		while (!f.polled)
			uv_run(&f.loop, UV_RUN_ONCE);
		/* It was sent; the worker gives no answer. */
		cr_expect_eq(f.result, SCHED_ORDER_IN_DOUBT,
		    "%d orders: result %d", orders[i], (int)f.result);
	}
}
