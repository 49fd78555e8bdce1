/*
 * The daemon's process: settings, listening sockets, the main loop, the watch
 * on the operators' table, readiness and the graceful stop.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "../cmd/cmd.h"
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"

#define TICK_MS		     50
#define TICK_SOON_MS	     2 /* so that one tick handles several changes */
#define OPERATOR_POLL_GAP_MS 5
#define SECONDS_MIN	     1 /* of a setting in seconds */
#define SECONDS_MAX	     86400
#define BODY_MAX_BYTES	     262144
/*
 * A longer gap between ticks counts as a pause of the process; another entry
 * needs more than this to claim the cell.
 */
#define PAUSE_MS 700
/* When the store has not answered for so long, the entry is not ready. */
#define STORE_LOST_MS 1500
/* When it answers after a longer gap, calls in progress count as lost. */
#define STORE_GAP_MS 900
/* After such a gap the operators' table is read first, for so long. */
#define OPERATORS_FIRST_MS 500
/*
 * A call that came just in time for a change to be in force is decided by tables
 * that are younger than the bound by this: for its way and its queues.
 */
#define TABLES_MARGIN_MS 500
/* Of the operators' feed, so that tables become old only after several calls. */
#define OPERATORS_LONG_POLL_MAX_MS 1000
/*
 * A graceful stop serves on for so long before it closes connections: two
 * failed probes, after which the balancer sends no more requests, and a margin.
 */
#define UNREADY_MS	2600
#define EXIT_RESERVE_MS 700 /* of the grace period, for the exit itself */
/* An owner releases the cell so long before that, for the write and a second try. */
#define RELEASE_RESERVE_MS 1000

G_DEFINE_QUARK(serve_error, serve_error)

int64_t
node_now_ms(const node_t *n)
{
	struct timespec t;

	(void)n;
	clock_gettime(CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
node_wall_ms(const node_t *n)
{
	(void)n;
	return g_get_real_time() / 1000;
}

int64_t
node_stop_deadline_ms(const node_t *n)
{
	return n->stopping ?
	    n->stop_began_ms + n->opts.stop_grace_ms - EXIT_RESERVE_MS :
	    INT64_MAX;
}

/* Tables that are older count as old. */
static int32_t
tables_age_max_ms(const node_t *n)
{
	int32_t ms = n->opts.config_ms - TABLES_MARGIN_MS;
	bool has_keys = n->config != NULL && n->config->customers->len > 0;

	/* By older ones no key is checked. */
	return has_keys ? MIN(ms, AUTH_TABLE_AGE_MAX_MS) : ms;
}

bool
node_tables_old(const node_t *n)
{
	return n->config == NULL ||
	    node_now_ms(n) - n->operators_as_of_ms > tables_age_max_ms(n);
}

bool
node_is_ready(const node_t *n)
{
	return !n->stopping && !n->store_lost && !node_tables_old(n);
}

/* Lets all watches but that of the operators' table call again, if it is due. */
static void
retry_other_watches(node_t *n)
{
	if (!n->retry_due)
		return;
	n->retry_due = false;
	uv_timer_stop(&n->retry_timer);
	for (guint i = 0; i < n->watches->len; i++) {
		table_watch_t *tw = g_ptr_array_index(n->watches, i);

		if (tw != n->operator_watch)
			table_watch_retry_now(tw);
	}
}

static void
on_retry_timer(uv_timer_t *t)
{
	retry_other_watches(t->data);
}

/*
 * Lets the watches call again after a gap: that of the operators' table at once,
 * as callers are answered by it, the others once it has been read.
 */
static void
retry_watches(node_t *n)
{
	table_watch_retry_now(n->operator_watch);
	n->retry_due = true;
	uv_timer_start(&n->retry_timer, on_retry_timer, OPERATORS_FIRST_MS, 0);
}

void
node_tables_read(node_t *n, int64_t as_of_ms)
{
	n->operators_as_of_ms = MAX(n->operators_as_of_ms, as_of_ms);
	cell_driver_operators_synced(n->cell_driver, as_of_ms);
	retry_other_watches(n);
	held_calls_release(n->held_calls);
}

void
node_record_store_answer(node_t *n, store_result_t r, const store_answer_t *a)
{
	int64_t now = node_now_ms(n);
	int64_t silent_ms = now - n->store_answered_ms;

	if (r == STORE_REFUSED || r == STORE_REJECTED || r == STORE_IN_DOUBT)
		return;
	if (a->clock_ms != 0) {
		store_clock_read(&n->store_clock, a->clock_ms, now);
		cell_driver_store_clock_read(
		    n->cell_driver, store_clock_now(&n->store_clock, now));
	}
	n->store_answered_ms = now;
	if (silent_ms > STORE_GAP_MS)
		retry_watches(n);
	if (n->store_lost)
		log_event(EVT_STORE_BACK, "store=%s", n->opts.store_addr);
	n->store_lost = false;
}

/*
 * Detects that the store has become silent; its return is detected by
 * node_record_store_answer.
 */
static void
detect_store_loss(node_t *n)
{
	if (n->store_lost ||
	    node_now_ms(n) - n->store_answered_ms < STORE_LOST_MS)
		return;
	n->store_lost = true;
	log_event(EVT_STORE_LOST, "store=%s silent_ms=%" PRId64,
	    n->opts.store_addr, node_now_ms(n) - n->store_answered_ms);
}

static void
exit_now(node_t *n, const char *why)
{
	log_event(EVT_EXIT, "why=\"%s\" requests=%d", why, n->open_requests);
	log_flush();
	exit(EXIT_OK);
}

/*
 * Continues a graceful stop: releases the cell, serves requests until the
 * balancer has noticed that the entry is not ready, then closes connections.
 * Exits when nothing is left to do, or after node_stop_deadline_ms as soon as
 * no request is open.
 */
static void
continue_stop(node_t *n, int64_t now)
{
	sched_t *s = cell_driver_sched(n->cell_driver);
	int64_t stopping_for_ms = now - n->stop_began_ms;
	bool released;

	/* The one that was to follow may stop meanwhile. */
	sched_set_successor(s, entries_successor(n->entries));
	released = sched_begin_release(s, now);
	if (stopping_for_ms < UNREADY_MS)
		return;
	server_stop(n->front);
	if (released && n->open_requests == 0 &&
	    server_connections(n->front) == 0)
		exit_now(n, "stopped");
	if (now >= node_stop_deadline_ms(n) && n->open_requests == 0)
		exit_now(n, "grace period is over");
}

static void
on_tick(uv_timer_t *t)
{
	node_t *n = t->data;
	int64_t now = node_now_ms(n);
	int64_t gap_ms = now - n->last_tick_ms;

	if (n->last_tick_ms != 0 && gap_ms > PAUSE_MS) {
		log_event(EVT_PAUSE, "gap_ms=%" PRId64, gap_ms);
		sched_process_paused(cell_driver_sched(n->cell_driver), now);
	}
	n->last_tick_ms = now;

	cell_driver_tick(n->cell_driver);
	detect_store_loss(n);
	callers_tick(n->callers, now);
	if (n->stopping)
		continue_stop(n, now);
	uv_timer_start(&n->tick_timer, on_tick, TICK_MS, 0);
}

void
node_schedule_tick(node_t *n)
{
	if (uv_timer_get_due_in(&n->tick_timer) > TICK_SOON_MS)
		uv_timer_start(&n->tick_timer, on_tick, TICK_SOON_MS, 0);
}

/*
 * Rows of the operators' table: the configuration and evacuated zones.  Adopts
 * a configuration unless it is malformed or not newer; one that was removed
 * stays in force.
 */
static void
on_operator_row(void *ctx, const store_row_t *row)
{
	node_t *n = ctx;
	g_autoptr(GError) err = NULL;
	const char *zone;
	operator_row_kind_t kind = platform_operator_row_kind(row->key, &zone);
	platform_config_t *cfg;

	if (kind == OPERATOR_EVACUATION) {
		cell_driver_set_zone_evacuated(
		    n->cell_driver, zone, row->bytes != NULL);
		return;
	}
	if (kind != OPERATOR_CONFIG || row->bytes == NULL)
		return;
	cfg = platform_config_parse_after(
	    n->config, row->bytes, row->nbytes, &err);
	if (cfg == NULL) {
		n->stats.bad_input++;
		log_event(EVT_BAD_ROW, "table=operators key=%s why=\"%s\"",
		    row->key, err->message);
		return;
	}
	if (n->config != NULL && cfg->version <= n->config->version) {
		platform_config_free(cfg);
		return;
	}
	log_event(TS_LOG_CONF_ADOPTED,
	    "version=%" PRId64 " queues=%u decoded=%u bytes=%zu customers=%u"
	    " row_version=%" PRId64,
	    cfg->version, cfg->queues->len, cfg->decoded, row->nbytes,
	    cfg->customers->len, row->version);
	platform_config_free(n->config);
	n->config = cfg;
	cell_driver_set_queues(n->cell_driver, cfg);
}

static void
on_operators_synced(void *ctx, int64_t as_of_ms)
{
	node_tables_read(ctx, as_of_ms);
}

/* The balancer's probe. */
static void
on_ready(void *ctx, server_req_t *r)
{
	if (!platform_is_readiness_path(r->path))
		server_reply(r, 404, "", "", 0);
	else
		server_reply(r, node_is_ready(ctx) ? 200 : 503, "", "", 0);
}

static void
on_metrics(void *ctx, server_req_t *r)
{
	g_autofree char *text = node_metrics_text(ctx);

	server_reply(
	    r, 200, "content-type: text/plain\r\n", text, strlen(text));
}

/* SIGTERM and SIGINT begin a graceful stop. */
static void
on_signal(uv_signal_t *sig, int number)
{
	node_t *n = sig->data;

	if (number == SIGHUP) {
		/* Nothing to do: settings are read at the start only, and the
		 * configuration follows the store. */
		log_event(EVT_RELOAD, "signal=%d", number);
		return;
	}
	if (n->stopping)
		return;
	n->stopping = true;
	n->stop_began_ms = node_now_ms(n);
	sched_set_release_by(cell_driver_sched(n->cell_driver),
	    node_stop_deadline_ms(n) - RELEASE_RESERVE_MS);
	entries_deregister(n->entries);
	log_event(TS_LOG_DRAIN_BEGUN, "signal=%d requests=%d", number,
	    n->open_requests);
	node_schedule_tick(n);
}

/*
 * Starts an HTTP server at ip:port; prints an error and returns NULL when it
 * cannot listen.
 */
static server_t *
listen_on(node_t *n, const char *addr, void (*fn)(void *, server_req_t *))
{
	g_autoptr(GError) err = NULL;
	server_opts_t o = { .loop = n->loop,
		.body_max_bytes = BODY_MAX_BYTES,
		.on_request = fn,
		.ctx = n,
		.budget = callers_budget(n->callers) };
	net_addr_t at;
	server_t *s;

	if (!net_addr_parse(addr, &at)) {
		fprintf(stderr,
		    "tanagerspool: cannot listen at %s: not ip:port\n", addr);
		return NULL;
	}
	o.ip = at.ip;
	o.port = at.port;
	s = server_new(&o, &err);
	if (s == NULL)
		fprintf(stderr, "tanagerspool: %s\n", err->message);
	return s;
}

static bool
listen_all(node_t *n)
{
	g_autofree char *metrics =
	    g_strdup_printf("%s:%d", n->opts.ip, n->opts.metrics_port);

	n->front = listen_on(n, n->opts.front_addr, ingress_request);
	n->ready = listen_on(n, n->opts.ready_addr, on_ready);
	if (n->opts.metrics_port != 0)
		n->metrics = listen_on(n, metrics, on_metrics);
	return n->front != NULL && n->ready != NULL &&
	    (n->metrics != NULL || n->opts.metrics_port == 0);
}

static void
on_bad_input(void *ctx, const char *from, const char *why)
{
	node_t *n = ctx;

	n->stats.bad_input++;
	log_event(EVT_BAD_PLATFORM, "from=%s why=\"%s\"", from, why);
}

static void
watch_signals(node_t *n)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
	uv_signal_t *sigs[] = { &n->term, &n->intr, &n->hup };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		uv_signal_init(n->loop, sigs[i]);
		sigs[i]->data = n;
		uv_signal_start(sigs[i], on_signal, numbers[i]);
	}
}

/*
 * Starts all but the HTTP servers.  False: the peer port is taken, err says
 * more.
 */
static bool
start_node(node_t *n, GError **err)
{
	platform_opts_t platform = { .loop = n->loop,
		.store_addr = n->opts.store_addr,
		.approval_addr = n->opts.approval_addr,
		.on_bad_input = on_bad_input,
		.ctx = n };
	table_watch_opts_t watch = { .node = n,
		.table = platform_operator_table,
		.partition = "",
		.poll_gap_ms = OPERATOR_POLL_GAP_MS,
		.long_poll_ms =
		    MIN(OPERATORS_LONG_POLL_MAX_MS, tables_age_max_ms(n) / 2),
		.rewritten = true,
		.on_row = on_operator_row,
		.on_synced = on_operators_synced,
		.ctx = n };

	request_init_limits(n);
	n->incarnation = node_wall_ms(n);
	n->store_answered_ms = node_now_ms(n);
	n->watches = g_ptr_array_new();
	uv_timer_init(n->loop, &n->retry_timer);
	n->retry_timer.data = n;
	n->held_calls = held_calls_new(n, ingress_serve);
	n->platform = platform_new(&platform);
	n->cell_driver = cell_driver_new(n);
	n->operator_watch = table_watch_new(&watch);
	table_watch_start(n->operator_watch);
	n->entries = entries_new(n, err);
	uv_timer_init(n->loop, &n->tick_timer);
	n->tick_timer.data = n;
	uv_timer_start(&n->tick_timer, on_tick, 0, 0);
	return n->entries != NULL;
}

/* Parses seconds, which may have a fraction, to milliseconds. */
static bool
parse_seconds(const char *name, const char *text, int32_t *ms)
{
	char *end;
	double s = g_ascii_strtod(text, &end);

	if (end != text && *end == '\0' && s >= SECONDS_MIN &&
	    s <= SECONDS_MAX) {
		*ms = (int32_t)(s * 1000);
		return true;
	}
	fprintf(stderr, "tanagerspool: --%s: must be seconds from %d to %d\n",
	    name, SECONDS_MIN, SECONDS_MAX);
	return false;
}

int
serve_main(int argc, char **argv)
{
	static node_t n;
	node_opts_t *o = &n.opts;
	g_autoptr(GError) err = NULL;
	g_autofree char *keep_ended = NULL, *grace = NULL;
	GStrv rest;
	const setting_t set[] = {
		{ "name", SET_TEXT, &o->name, NULL, 0, 0, "NAME",
		    "this VM's name" },
		{ "zone", SET_TEXT, &o->zone, NULL, 0, 0, "NAME",
		    "its data centre" },
		{ "ip", SET_TEXT, &o->ip, NULL, 0, 0, "IP", "its address" },
		{ "front", SET_TEXT, &o->front_addr, NULL, 0, 0, "IP:PORT",
		    "for requests of callers" },
		{ "ready", SET_TEXT, &o->ready_addr, NULL, 0, 0, "IP:PORT",
		    "for the balancer's probe" },
		{ "store", SET_TEXT, &o->store_addr, NULL, 0, 0, "IP:PORT",
		    "the platform's store" },
		{ "advice", SET_TEXT, &o->approval_addr, "", 0, 0, "IP:PORT",
		    "service that approves placements, if any",
		    .optional = true },
		{ "metrics-port", SET_INT, &o->metrics_port, "9464", 0, 65535,
		    "PORT", "for the metrics page; 0 for none" },
		{ "peer-port", SET_INT, &o->peer_port, "8002", 1, 65535, "PORT",
		    "for datagrams of other entries" },
		{ "max-hold-ms", SET_INT, &o->max_lease_ms, "6000", 1000,
		    600000, "MS", "longest lease a worker grants" },
		{ "keep-ended-s", SET_TEXT, &keep_ended, "120", 0, 0, "S",
		    "how long callers may read the state of an ended job" },
		{ "repeat-s", SET_INT, &o->resubmit_window_s, "60", 1, 86400,
		    "S", "how much later a submission may be repeated" },
		{ "grace-s", SET_TEXT, &grace, "6", 0, 0, "S",
		    "longest graceful stop" },
		{ "drain-ms", SET_INT, &o->drain_ms, "2000", 1000, 60000, "MS",
		    "after which a worker that leaves gets no more tasks" },
		{ "config-ms", SET_INT, &o->config_ms, "2000", 2000, 60000,
		    "MS", "after which a change of the tables is in force" },
		{ "cpu-share", SET_TEXT, &o->cpu_share, "1", 0, 0, "CORES",
		    "processor cores this VM may use" },
		{ "link-mbps", SET_TEXT, &o->link_mbps, "1000", 0, 0, "MBPS",
		    "capacity of its network link" },
		CALLER_MEMORY_SETTING(&o->memory_mb),
		CALLER_FDS_SETTING(&o->max_fds),
		{ "log-level", SET_TEXT, &o->log_level, "INFO", 0, 0, "LEVEL",
		    "DEBUG, INFO, WARN or ERROR" },
		{ 0 },
	};

	if (!settings_parse(set, "", "Run an entry on the users' platform.",
		&argc, &argv, &rest))
		return EXIT_USAGE;
	if (!log_open(o->log_level)) {
		fprintf(stderr, "tanagerspool: --log-level: no such level\n");
		return EXIT_USAGE;
	}
	if (!parse_seconds("keep-ended-s", keep_ended, &o->keep_ended_ms) ||
	    !parse_seconds("grace-s", grace, &o->stop_grace_ms))
		return EXIT_USAGE;
	n.callers = callers_new(o->name, o->memory_mb, o->max_fds);
	n.loop = uv_default_loop();
	log_attach_loop(n.loop);
	watch_signals(&n);
	if (!start_node(&n, &err)) {
		fprintf(stderr, "tanagerspool: %s\n", err->message);
		return EXIT_FAILED;
	}
	if (!listen_all(&n))
		return EXIT_FAILED;
	log_event(EVT_START,
	    "name=%s zone=%s incarnation=%" PRId64 " store=%s version=%s",
	    o->name, o->zone, n.incarnation, o->store_addr, TS_VERSION);
	return uv_run(n.loop, UV_RUN_DEFAULT);
}
