/*
 * Calls to a worker that takes connections and answers nothing.
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

#define ORDERS 100 /* more than there are connections */
#define POLLS  4   /* one after another */

typedef struct {
	uv_loop_t loop;
	uv_tcp_t listener, conns[ORDERS];
	int accepted;
	int polled; /* reports of polls, of which the last: */
	sched_order_result_t result;
	bool late;
	size_t ended; /* runs listed as ended */
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
	f->polled++;
	f->result = r;
	f->late = report != NULL && report->late;
	f->ended = report == NULL ? 0 : report->nended;
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
 * it, so that a poll was not sent and counted as one that the worker had missed.  The
 * same with those on which earlier polls wait for late answers.
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
		for (int n = 1; n <= POLLS; n++) {
			platform_poll_worker(p, &poll, on_polled, &f);
			while (f.polled < n)
				uv_run(&f.loop, UV_RUN_ONCE);
			/* It was sent; the worker gives no answer. */
			cr_expect_eq(f.result, SCHED_ORDER_IN_DOUBT,
			    "%d orders, poll %d: result %d", orders[i], n,
			    (int)f.result);
		}
	}
}

/*
 * Guards against a task that is started again though its worker has listed its end: in
 * an answer that comes after the time for the poll.
 */
Test(worker_calls, a_poll_answered_late, .timeout = 10)
{
	static const char body[] =
	    "{\"clock_ms\":9,\"born\":1,\"running\":[],\"ended_runs\":[[1,"
	    "\"0000000000000001.0.0.0\",1,\"done\",\"\"]]}";
	g_autofree char *answer =
	    g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	uv_buf_t out = uv_buf_init(answer, (unsigned)strlen(answer));
	fixture_t f = { 0 };
	int port = fixture_init(&f);
	g_autofree char *address = g_strdup_printf("127.0.0.1:%d", port);
	platform_opts_t opts = { .loop = &f.loop,
		.store_addr = "127.0.0.1:1",
		.approval_addr = "" };
	platform_t *p = platform_new(&opts);
	sched_poll_t poll = { .worker = "w", .address = address };

	platform_poll_worker(p, &poll, on_polled, &f);
	while (f.polled < 1)
		uv_run(&f.loop, UV_RUN_ONCE);
	cr_expect_eq(f.result, SCHED_ORDER_IN_DOUBT);
	cr_assert_eq(f.accepted, 1);
	uv_try_write((uv_stream_t *)&f.conns[0], &out, 1);
	while (f.polled < 2)
		uv_run(&f.loop, UV_RUN_ONCE);
	cr_expect_eq(f.result, SCHED_ORDER_OK);
	cr_expect(f.late);
	cr_expect_eq(f.ended, 1);
}
