/*
 * Counters as text, a line each.
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
put(GString *s, const char *name, int64_t value)
{
	g_string_append_printf(s, "tanagerspool_%s %" PRId64 "\n", name, value);
}

static void
put_requests(GString *s, const node_stats_t *st)
{
	int64_t sum = 0;

	put(s, "jobs_accepted", (int64_t)st->accepted);
	put(s, "jobs_repeated", (int64_t)st->resubmitted);
	put(s, "jobs_refused_store", (int64_t)st->refused_store);
	put(s, "jobs_refused_tables", (int64_t)st->refused_no_config);
	put(s, "jobs_refused_format", (int64_t)st->refused_malformed);
	put(s, "jobs_unsettled", (int64_t)st->in_doubt);
	put(s, "requests_no_route", (int64_t)st->no_route);
	put(s, "states", (int64_t)st->state_reads);
	put(s, "states_gone", (int64_t)st->state_unknown_job);
	put(s, "states_unreadable", (int64_t)st->state_unreadable);
	put(s, "cancels", (int64_t)st->cancels);
	put(s, "counts", (int64_t)st->queue_counts);
	put(s, "bad_input", (int64_t)st->bad_input);
	for (size_t i = 0; i < G_N_ELEMENTS(st->accept_latency); i++) {
		sum += (int64_t)st->accept_latency[i];
		g_string_append_printf(s,
		    "tanagerspool_accept_ms_bucket{le=\"%d\"} %" PRId64 "\n",
		    1 << i, sum);
	}
}

static void
put_sched(GString *s, const sched_stats_t *st)
{
	put(s, "starts", (int64_t)st->starts);
	put(s, "start_rejects", (int64_t)st->start_rejects);
	put(s, "start_unknown", (int64_t)st->start_unknown);
	put(s, "stops", (int64_t)st->stops);
	put(s, "paces", (int64_t)st->paces);
	put(s, "runs_done", (int64_t)st->done);
	put(s, "runs_failed", (int64_t)st->failed);
	put(s, "runs_lost", (int64_t)st->lost);
	put(s, "runs_adopted", (int64_t)st->adopted);
	put(s, "runs_stray", (int64_t)st->strays);
	put(s, "claims", (int64_t)st->claims);
	put(s, "deposed", (int64_t)st->deposed);
	put(s, "progress_writes", (int64_t)st->writes);
	put(s, "looks", (int64_t)st->polls);
	put(s, "jobs_open", st->jobs);
	put(s, "steps_queued", st->queued);
	put(s, "runs", st->running);
	put(s, "workers", st->workers);
}

char *
node_metrics_text(node_t *n)
{
	GString *s = g_string_new(NULL);
	sched_stats_t ss = sched_stats(cell_driver_sched(n->cell_driver));
	platform_stats_t ps = platform_stats(n->platform);

	put_requests(s, &n->stats);
	put_sched(s, &ss);
	put(s, "store_reads", (int64_t)ps.store_reads);
	put(s, "store_writes", (int64_t)ps.store_writes);
	put(s, "store_failed", (int64_t)ps.store_failed);
	put(s, "worker_calls", (int64_t)ps.worker_calls);
	put(s, "worker_failed", (int64_t)ps.worker_failed);
	put(s, "log_dropped", (int64_t)log_dropped_lines());
	put(s, "requests_open", n->open_requests);
	return g_string_free(s, FALSE);
}
