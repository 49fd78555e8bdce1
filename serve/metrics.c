/*
 * The metrics page: counters as text, one line each.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

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
#include "serve.h"

static void
put_counter(GString *page, const char *name, int64_t value)
{
	g_string_append_printf(
	    page, "tanagerspool_%s %" PRId64 "\n", name, value);
}

static void
put_requests(GString *page, const node_stats_t *stats)
{
	int64_t total = 0;

	put_counter(page, "jobs_accepted", (int64_t)stats->accepted);
	put_counter(page, "jobs_repeated", (int64_t)stats->resubmitted);
	put_counter(page, "jobs_refused_store", (int64_t)stats->refused_store);
	put_counter(
	    page, "jobs_refused_tables", (int64_t)stats->refused_no_config);
	put_counter(
	    page, "jobs_refused_format", (int64_t)stats->refused_malformed);
	put_counter(page, "jobs_unsettled", (int64_t)stats->in_doubt);
	put_counter(page, "requests_no_route", (int64_t)stats->no_route);
	put_counter(page, "states", (int64_t)stats->state_reads);
	put_counter(page, "states_gone", (int64_t)stats->state_unknown_job);
	put_counter(
	    page, "states_unreadable", (int64_t)stats->state_unreadable);
	put_counter(page, "cancels", (int64_t)stats->cancels);
	put_counter(page, "counts", (int64_t)stats->queue_counts);
	put_counter(page, "bad_input", (int64_t)stats->bad_input);
	for (size_t i = 0; i < G_N_ELEMENTS(stats->accept_latency); i++) {
		total += (int64_t)stats->accept_latency[i];
		g_string_append_printf(page,
		    "tanagerspool_accept_ms_bucket{le=\"%d\"} %" PRId64 "\n",
		    1 << i, total);
	}
}

static void
put_sched(GString *page, const sched_stats_t *stats)
{
	put_counter(page, "starts", (int64_t)stats->starts);
	put_counter(page, "start_rejects", (int64_t)stats->start_rejects);
	put_counter(page, "start_unknown", (int64_t)stats->start_unknown);
	put_counter(page, "stops", (int64_t)stats->stops);
	put_counter(page, "paces", (int64_t)stats->paces);
	put_counter(page, "runs_done", (int64_t)stats->done);
	put_counter(page, "runs_failed", (int64_t)stats->failed);
	put_counter(page, "runs_lost", (int64_t)stats->lost);
	put_counter(page, "runs_adopted", (int64_t)stats->adopted);
	put_counter(page, "runs_stray", (int64_t)stats->strays);
	put_counter(page, "claims", (int64_t)stats->claims);
	put_counter(page, "deposed", (int64_t)stats->deposed);
	put_counter(page, "progress_writes", (int64_t)stats->writes);
	put_counter(page, "looks", (int64_t)stats->polls);
	put_counter(page, "jobs_open", stats->jobs);
	put_counter(page, "steps_queued", stats->queued);
	put_counter(page, "runs", stats->running);
	put_counter(page, "workers", stats->workers);
}

char *
node_metrics_text(node_t *n)
{
	GString *page = g_string_new(NULL);
	sched_stats_t ss = sched_stats(cell_driver_sched(n->cell_driver));
	platform_stats_t ps = platform_stats(n->platform);

	put_requests(page, &n->stats);
	put_sched(page, &ss);
	put_counter(page, "store_reads", (int64_t)ps.store_reads);
	put_counter(page, "store_writes", (int64_t)ps.store_writes);
	put_counter(page, "store_failed", (int64_t)ps.store_failed);
	put_counter(page, "worker_calls", (int64_t)ps.worker_calls);
	put_counter(page, "worker_failed", (int64_t)ps.worker_failed);
	put_counter(page, "log_dropped", (int64_t)log_dropped_lines());
	put_counter(page, "requests_open", n->open_requests);
	return g_string_free(page, FALSE);
}
