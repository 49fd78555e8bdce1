/*
 * Scripted failures that random schedules (check.c) seldom meet, run in the
 * same simulation with the same invariants, and with expectations of their own.
 * usage: scenarios [NAME ...]
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "../fake/fake.h"
#include "../sim/sim.h"

#define STARTUP_MS 8000 /* for groups to be claimed and workers polled */

static int passed, failed;

static void
    G_GNUC_PRINTF(3, 4) expect(const char *name, bool ok, const char *fmt, ...)
{
	va_list ap;

	printf("%s scenario: %s: ", ok ? "ok  " : "FAIL", name);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	putchar('\n');
	if (ok)
		passed++;
	else
		failed++;
}

/* A deployment of five entries and 16 workers in two zones, started up. */
static sim_t *
new_sim(uint32_t seed)
{
	sim_opts_t o = { .entries = 5,
		.workers = 16,
		.zones = 2,
		.workers_per_rack = 2,
		.worker_cpus = 24,
		.service_ms = 20,
		.seed = seed,
		.tick_ms = 50,
		.vm_list_lag_ms = 30000,
		.lease_ms = 90000 };
	sim_t *s = sim_new(&o);

	sim_run_until(s, s->now + STARTUP_MS);
	return s;
}

static void
on_callers(sim_t *s, void *arg)
{
	int e = sim_pick_entry(s);

	if (s->in_recovery)
		return;
	sim_schedule(s, 20, on_callers, arg);
	if (e >= 0)
		sim_request(s, e, 0, NULL);
}

/* Submits n jobs of one task each. */
static void
submit(sim_t *s, const char *class, int64_t run_ms, int n)
{
	for (int i = 0; i < n; i++) {
		ts_job_t j = { .team = "t",
			.pool = "sweeps",
			.class = class,
			.run_ms = run_ms,
			.size = { 2000, 1000000, 0 } };

		j.deadline_ms = s->now + 3600000;
		sim_submit(s, sim_pick_entry(s), &j, 1);
	}
}

/* Counts the accepted jobs in a state. */
static int
count_jobs(sim_t *s, ts_job_state_t state)
{
	GHashTableIter it;
	int n = 0;
	void *k;

	g_hash_table_iter_init(&it, s->accepted_jobs);
	while (g_hash_table_iter_next(&it, &k, NULL))
		n += sim_find_job(s, k) != NULL &&
		    sim_find_job(s, k)->state == state;
	return n;
}

/* Sums a counter over the running entries. */
static uint64_t
sum_counter(sim_t *s, ts_counter_t c)
{
	uint64_t n = 0;

	for (int i = 0; i < s->opts.entries; i++)
		if (s->entry[i].core != NULL)
			n += ts_core_counter(s->entry[i].core, c);
	return n;
}

static void
recover_and_check(sim_t *s, const char *name)
{
	s->in_recovery = true;
	sim_recover(s);
	expect(name, s->violation == NULL, "%s",
	    s->violation == NULL ? "no violation, all requests and jobs ended" :
				   s->violation);
	sim_free(s);
}

/*
 * The store is down: requests are still answered and running tasks go on;
 * after it no task is started a second time.
 */
static void
outage(const char *name, int64_t ms)
{
	sim_t *s = new_sim(1);
	uint64_t starts, requests, answered;

	submit(s, "plain", ms + 60000, 10);
	sim_schedule(s, 0, on_callers, NULL);
	sim_run_until(s, s->now + 5000);
	s->store_down = true;
	starts = s->attempts_started;
	requests = s->next_request_id;
	answered = s->answered;
	sim_run_until(s, s->now + ms);
	expect(name,
	    s->attempts_started == starts &&
		g_hash_table_size(s->running) == 10,
	    "%u of 10 tasks still run", g_hash_table_size(s->running));
	expect(name,
	    s->answered - answered + 5 >= s->next_request_id - requests,
	    "%" PRIu64 " of %" PRIu64 " requests answered",
	    s->answered - answered, s->next_request_id - requests);
	s->store_down = false;
	sim_run_until(s, s->now + 90000);
	expect(name,
	    count_jobs(s, TS_JOB_DONE) == 10 && s->attempts_started == starts,
	    "%d of 10 done, %" PRIu64 " started again",
	    count_jobs(s, TS_JOB_DONE), s->attempts_started - starts);
	recover_and_check(s, name);
}

static void
outage_1s(void)
{
	outage("outage 1 s", 1000);
}

static void
outage_60s(void)
{
	outage("outage 60 s", 60000);
}

static void
outage_10min(void)
{
	outage("outage 10 min", 600000);
}

/* A rolling restart: each entry in turn is stopped and started, in 60 s. */
static void
rolling(void)
{
	sim_t *s = new_sim(2);
	uint64_t starts;

	submit(s, "plain", 100000, 10);
	sim_schedule(s, 0, on_callers, NULL);
	sim_run_until(s, s->now + 4000);
	starts = s->attempts_started;
	for (int i = 0; i < s->opts.entries; i++) {
		sim_stop_entry(s, i);
		sim_run_until(s, s->now + 8000);
		sim_start_entry(s, i);
		sim_run_until(s, s->now + 4000);
	}
	expect("rolling", s->unknown == 0 && s->refused == 0,
	    "%" PRIu64 " requests of unknown outcome, %" PRIu64
	    " refused of %" PRIu64,
	    s->unknown, s->refused, s->next_request_id);
	expect("rolling", s->attempts_started == starts,
	    "%" PRIu64 " tasks started again", s->attempts_started - starts);
	recover_and_check(s, "rolling");
}

/* All entries are killed at once and started 2 s later. */
static void
all_at_once(void)
{
	sim_t *s = new_sim(3);
	uint64_t starts, answered;

	submit(s, "plain", 60000, 10);
	sim_schedule(s, 0, on_callers, NULL);
	sim_run_until(s, s->now + 4000);
	starts = s->attempts_started;
	for (int i = 0; i < s->opts.entries; i++)
		sim_kill_entry(s, i, false);
	sim_run_until(s, s->now + 2000);
	for (int i = 0; i < s->opts.entries; i++)
		sim_start_entry(s, i);
	sim_run_until(s, s->now + 5000);
	answered = s->answered;
	sim_run_until(s, s->now + 2000);
	expect("all at once", s->answered - answered >= 95,
	    "%" PRIu64 " of 100 requests answered 5 s later",
	    s->answered - answered);
	expect("all at once", s->attempts_started == starts,
	    "%" PRIu64 " tasks started again", s->attempts_started - starts);
	recover_and_check(s, "all at once");
}

/*
 * A worker fails every task: it is quarantined, and no job is held because of
 * it.
 */
static void
bad_worker(void)
{
	sim_t *s = new_sim(4);

	s->worker[3].fake.fails_all_tasks = true;
	for (int i = 0; i < 20; i++) {
		submit(s, "plain", 4000, 25);
		sim_run_until(s, s->now + 1500);
	}
	sim_run_until(s, s->now + 60000);
	expect("bad worker", sum_counter(s, TS_C_QUARANTINE) >= 1,
	    "%" PRIu64 " quarantines", sum_counter(s, TS_C_QUARANTINE));
	expect("bad worker", count_jobs(s, TS_JOB_DONE) == 500,
	    "%d of 500 jobs done, %d held", count_jobs(s, TS_JOB_DONE),
	    count_jobs(s, TS_JOB_HELD));
	recover_and_check(s, "bad worker");
}

/* A job that fails on every worker is held; no worker is quarantined. */
static void
bad_job(void)
{
	sim_t *s = new_sim(5);

	submit(s, "broken", 1000, 1);
	for (int i = 0; i < 20; i++) {
		submit(s, "plain", 1000, 4);
		sim_run_until(s, s->now + 2000);
	}
	sim_run_until(s, s->now + 60000);
	expect("bad job", count_jobs(s, TS_JOB_HELD) == 1, "%d held",
	    count_jobs(s, TS_JOB_HELD));
	expect("bad job", sum_counter(s, TS_C_QUARANTINE) == 0,
	    "%" PRIu64 " workers in quarantine",
	    sum_counter(s, TS_C_QUARANTINE));
	expect("bad job", count_jobs(s, TS_JOB_DONE) == 80, "%d of 80 done",
	    count_jobs(s, TS_JOB_DONE));
	recover_and_check(s, "bad job");
}

/* Many queued and running tasks are cancelled at once. */
static void
cancels(void)
{
	sim_t *s = new_sim(6);
	g_autoptr(GList) ids = NULL;
	uint64_t starts;

	submit(s, "plain", 30000, 150);
	sim_run_until(s, s->now + 5000);
	ids = g_hash_table_get_keys(s->accepted_jobs);
	for (GList *i = ids; i != NULL; i = i->next)
		sim_cancel(s, sim_pick_entry(s), i->data);
	sim_run_until(s, s->now + 5000);
	starts = s->attempts_started;
	sim_run_until(s, s->now + 20000);
	expect("cancels", count_jobs(s, TS_JOB_CANCELLED) == 150,
	    "%d of 150 cancelled", count_jobs(s, TS_JOB_CANCELLED));
	expect("cancels",
	    g_hash_table_size(s->running) == 0 && s->attempts_started == starts,
	    "%u still run, %" PRIu64 " started", g_hash_table_size(s->running),
	    s->attempts_started - starts);
	recover_and_check(s, "cancels");
}

/*
 * An owner is paused for 200 s, and resumes with a stale VM list, expired task
 * leases and an old claim.  As its VM stays listed, nobody may take over.
 */
static void
long_pause(void)
{
	sim_t *s = new_sim(7);

	submit(s, "plain", 400000, 20);
	sim_schedule(s, 0, on_callers, NULL);
	sim_run_until(s, s->now + 4000);
	sim_pause_entry(s, 1, true);
	sim_run_until(s, s->now + 200000);
	expect("long pause", sum_counter(s, TS_C_TAKEOVERS) == 0,
	    "%" PRIu64 " takeovers while its VM is listed",
	    sum_counter(s, TS_C_TAKEOVERS));
	sim_pause_entry(s, 1, false);
	sim_run_until(s, s->now + 10000);
	recover_and_check(s, "long pause");
}

static const struct {
	const char *name;
	void (*run)(void);
} scenarios[] = {
	{ "outage-1s", outage_1s },
	{ "outage-60s", outage_60s },
	{ "outage-10min", outage_10min },
	{ "rolling", rolling },
	{ "all-at-once", all_at_once },
	{ "bad-worker", bad_worker },
	{ "bad-job", bad_job },
	{ "cancels", cancels },
	{ "long-pause", long_pause },
};

int
main(int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		bool want = argc == 1;

		for (int k = 1; k < argc; k++)
			want = want || strcmp(argv[k], scenarios[i].name) == 0;
		if (want)
			scenarios[i].run();
	}
	printf("scenarios: %d passed, %d failed\n", passed, failed);
	return failed != 0;
}
