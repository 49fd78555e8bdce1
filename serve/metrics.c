/*
 * The metrics page: counters and present numbers as text, one line each.
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
#include "../trans/budget.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "../cmd/cmd.h"
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"

static void
put_metric(GString *page, const char *name, int64_t value)
{
	g_string_append_printf(
	    page, "tanagerspool_%s %" PRId64 "\n", name, value);
}

void
node_record_accept_latency(node_t *n, int64_t ms)
{
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(n->stats.accept_latency) && ms >= (1 << i))
		i++;
	n->stats.accept_latency[i]++;
}

static void
put_requests(GString *page, const node_stats_t *stats)
{
	int64_t total = 0;

	put_metric(page, "jobs_accepted", (int64_t)stats->accepted);
	put_metric(page, "jobs_repeated", (int64_t)stats->resubmitted);
	put_metric(page, "jobs_refused_store", (int64_t)stats->refused_store);
	put_metric(
	    page, "jobs_refused_tables", (int64_t)stats->refused_no_config);
	put_metric(
	    page, "jobs_refused_format", (int64_t)stats->refused_malformed);
	put_metric(page, "jobs_unsettled", (int64_t)stats->in_doubt);
	put_metric(page, "requests_no_route", (int64_t)stats->no_route);
	put_metric(page, "states", (int64_t)stats->state_reads);
	put_metric(page, "states_gone", (int64_t)stats->state_unknown_job);
	put_metric(page, "states_unreadable", (int64_t)stats->state_unreadable);
	put_metric(page, "cancels", (int64_t)stats->cancels);
	put_metric(page, "tombstones", (int64_t)stats->tombstones);
	put_metric(
	    page, "tombstones_refused", (int64_t)stats->tombstones_refused);
	put_metric(page, "cancelled_before", (int64_t)stats->cancelled_before);
	put_metric(page, "counts", (int64_t)stats->queue_counts);
	put_metric(page, "unauthorized", (int64_t)stats->unauthorized);
	put_metric(page, "auth_stale", (int64_t)stats->auth_stale);
	put_metric(page, "foreign", (int64_t)stats->foreign);
	put_metric(page, "bad_input", (int64_t)stats->bad_input);
	put_metric(page, "tables_old", (int64_t)stats->tables_old);
	put_metric(page, "refused_no_room", (int64_t)stats->no_room);
	for (size_t i = 0; i < G_N_ELEMENTS(stats->accept_latency); i++) {
		total += (int64_t)stats->accept_latency[i];
		g_string_append_printf(page,
		    "tanagerspool_accept_ms_bucket{le=\"%d\"} %" PRId64 "\n",
		    1 << i, total);
	}
}

/* What callers hold. */
static void
put_callers(GString *page, const budget_stats_t *stats)
{
	put_metric(page, "caller_connections", stats->connections);
	put_metric(page, "caller_waiting", stats->waiting);
	put_metric(page, "caller_bytes", stats->bytes);
	put_metric(page, "callers_closed", (int64_t)stats->closed);
	put_metric(page, "callers_not_accepted", (int64_t)stats->not_accepted);
}

static void
put_sched(GString *page, const sched_stats_t *stats)
{
	put_metric(page, "starts", (int64_t)stats->starts);
	put_metric(page, "start_rejects", (int64_t)stats->start_rejects);
	put_metric(page, "tickets_unused", (int64_t)stats->tickets_unused);
	put_metric(page, "quota_waits", (int64_t)stats->quota_waits);
	put_metric(page, "start_unknown", (int64_t)stats->start_unknown);
	put_metric(page, "stops", (int64_t)stats->stops);
	put_metric(page, "paces", (int64_t)stats->paces);
	put_metric(page, "runs_done", (int64_t)stats->done);
	put_metric(page, "runs_failed", (int64_t)stats->failed);
	put_metric(page, "runs_lost", (int64_t)stats->lost);
	put_metric(page, "runs_adopted", (int64_t)stats->adopted);
	put_metric(page, "runs_stray", (int64_t)stats->orphans);
	put_metric(page, "claims", (int64_t)stats->claims);
	put_metric(page, "deposed", (int64_t)stats->deposed);
	put_metric(page, "handovers", (int64_t)stats->handovers);
	put_metric(page, "progress_writes", (int64_t)stats->writes);
	put_metric(page, "writes_rejected", (int64_t)stats->rejected_writes);
	put_metric(page, "looks", (int64_t)stats->polls);
	put_metric(page, "jobs_over_rate", (int64_t)stats->over_rate);
	put_metric(
	    page, "refused_over_rate", (int64_t)stats->refused_over_rate);
	put_metric(page, "refused_hopeless", (int64_t)stats->refused_hopeless);
	put_metric(page, "refused_customers", stats->refused_customers);
	put_metric(page, "jobs_open", stats->jobs);
	put_metric(page, "steps_queued", stats->queued);
	put_metric(page, "runs", stats->running);
	put_metric(page, "jobs_deferred", stats->deferred_jobs);
	put_metric(page, "workers", stats->workers);
	put_metric(page, "longest_idle_ms", stats->longest_idle_ms);
	put_metric(page, "lasting_down", stats->lasting_down);
	put_metric(page, "longest_down_ms", stats->longest_down_ms);
	put_metric(page, "suspect_workers", stats->suspect_workers);
	for (size_t i = 0; i < G_N_ELEMENTS(stats->waiting_tasks); i++)
		g_string_append_printf(page,
		    "tanagerspool_tasks_waiting{reason=\"%s\"} %d\n",
		    sched_wait_reason_name((sched_wait_reason_t)i),
		    stats->waiting_tasks[i]);
}

char *
node_metrics_text(node_t *n)
{
	GString *page = g_string_new(NULL);
	sched_stats_t ss = sched_stats(cell_driver_sched(n->cell_driver));
	platform_stats_t ps = platform_stats(n->platform);
	budget_stats_t callers = budget_stats(callers_budget(n->callers));

	put_requests(page, &n->stats);
	put_sched(page, &ss);
	put_callers(page, &callers);
	put_metric(page, "store_reads", (int64_t)ps.store_reads);
	put_metric(page, "store_writes", (int64_t)ps.store_writes);
	put_metric(page, "store_failed", (int64_t)ps.store_failed);
	put_metric(page, "worker_calls", (int64_t)ps.worker_calls);
	put_metric(page, "worker_failed", (int64_t)ps.worker_failed);
	put_metric(page, "log_dropped", (int64_t)log_dropped_lines());
	put_metric(page, "requests_open", n->open_requests);
	put_metric(page, "tables_age_ms",
	    n->config == NULL ? -1 : node_now_ms(n) - n->operators_as_of_ms);
	return g_string_free(page, FALSE);
}
