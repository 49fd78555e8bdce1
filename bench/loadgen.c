/*
 * HTTP load generator over persistent connections: open loop at a rate, or
 * closed loop if the rate is 0.  Latency counts from when a request was due.
 * usage: loadgen IP PORT PATH TOKEN CONNECTIONS RATE SECONDS
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"

#define TIMEOUT_MS  5000
#define RATE_MAX    200000
#define SECONDS_MAX 120

typedef struct {
	uv_loop_t *loop;
	backends_t *backends;
	backend_call_t call;
	int conns;
	int in_flight;
	int rate; /* requests a second; 0: closed loop */
	uint64_t begin_ns;
	uint64_t end_ns;
	uint64_t sent;
	uint64_t ok;
	uint64_t refused;   /* answered with a status other than 200 */
	uint64_t failed;    /* not answered */
	GArray *due_ns;	    /* by request number */
	GArray *latency_us; /* of the requests with status 200 */
} loadgen_t;

static void
send_one(loadgen_t *l, uint64_t due_ns)
{
	g_array_append_val(l->due_ns, due_ns);
	l->in_flight++;
	backends_send(l->backends, l->sent++, 1, &l->call);
}

/* Counts an answer; in closed loop, sends the next request. */
static void
on_answer(void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a)
{
	loadgen_t *l = ctx;
	uint64_t now = uv_hrtime();
	int64_t us =
	    (int64_t)(now - g_array_index(l->due_ns, uint64_t, req)) / 1000;

	(void)attempt;
	l->in_flight--;
	if (a->outcome != TS_OUTCOME_ANSWERED)
		l->failed++;
	else if (a->status != 200)
		l->refused++;
	else {
		l->ok++;
		g_array_append_val(l->latency_us, us);
	}
	if (l->rate == 0 && now < l->end_ns)
		send_one(l, now);
	else if (now >= l->end_ns && l->in_flight == 0)
		uv_stop(l->loop);
}

/* Sends what is due, as long as connections are free; the rest is late. */
static void
on_timer(uv_timer_t *t)
{
	loadgen_t *l = t->data;
	uint64_t now = uv_hrtime();

	if (now >= l->end_ns) {
		uv_timer_stop(t);
		if (l->in_flight == 0)
			uv_stop(l->loop);
		return;
	}
	while (l->in_flight < l->conns) {
		uint64_t due = l->begin_ns +
		    l->sent * UINT64_C(1000000000) / (uint64_t)l->rate;

		if (due > now)
			break;
		send_one(l, due);
	}
}

static int
compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* The values must be sorted. */
static int64_t
quantile(GArray *a, double q)
{
	return a->len == 0 ?
	    0 :
	    g_array_index(a, int64_t, (guint)(q * (a->len - 1)));
}

int
main(int argc, char **argv)
{
	loadgen_t l = { 0 };
	g_autofree char *headers = NULL;
	uv_timer_t timer;
	int secs;

	if (argc != 8) {
		fprintf(stderr,
		    "usage: loadgen IP PORT PATH TOKEN CONNECTIONS "
		    "RATE SECONDS\n");
		return 2;
	}
	if (!g_str_has_prefix(argv[1], "127.")) {
		fprintf(
		    stderr, "loadgen: only loopback addresses are allowed\n");
		return 2;
	}
	headers = g_strdup_printf("Authorization: Bearer %s\r\n", argv[4]);
	l.conns = atoi(argv[5]);
	l.rate = MIN(atoi(argv[6]), RATE_MAX);
	secs = MIN(atoi(argv[7]), SECONDS_MAX);
	l.call = (backend_call_t){ argv[1], atoi(argv[2]), l.conns, "GET",
		argv[3], headers, NULL, 0, TIMEOUT_MS };
	l.due_ns = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	l.latency_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
	l.loop = uv_default_loop();
	l.backends = backends_new(l.loop, on_answer, &l);
	l.begin_ns = uv_hrtime();
	l.end_ns = l.begin_ns + (uint64_t)secs * UINT64_C(1000000000);
	uv_timer_init(l.loop, &timer);
	timer.data = &l;
	if (l.rate == 0)
		for (int i = 0; i < l.conns; i++)
			send_one(&l, uv_hrtime());
	else
		uv_timer_start(&timer, on_timer, 0, 1);
	uv_run(l.loop, UV_RUN_DEFAULT);
	g_array_sort(l.latency_us, compare_int64);
	printf("sent %" PRIu64 " ok %" PRIu64 " refused %" PRIu64
	       " failed %" PRIu64 " per_s %.0f p50_us %" PRId64
	       " p99_us %" PRId64 " p999_us %" PRId64 "\n",
	    l.sent, l.ok, l.refused, l.failed,
	    (double)l.ok * 1e9 / (double)(uv_hrtime() - l.begin_ns),
	    quantile(l.latency_us, 0.5), quantile(l.latency_us, 0.99),
	    quantile(l.latency_us, 0.999));
	return 0;
}
