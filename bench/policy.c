/*
 * Measures the scheduling policies in virtual time (test/sim) against the
 * stated targets: interference, balancing, overload, deadlines, the loss of a
 * zone or of an entry, and changes of the configuration.  Baselines run under
 * the same load.  The bound of each check is printed in parentheses.
 * usage: policy [NAME ...]
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
#include "../test/fake/fake.h"
#include "../test/sim/sim.h"

#define SLOTS_PER_WORKER 8 /* of the first pool */
#define STARTUP_MS	 5000

static int passed, failed;

static void
    G_GNUC_PRINTF(3, 4) expect(const char *name, bool ok, const char *fmt, ...)
{
	va_list ap;

	printf("%s %s: ", ok ? "ok  " : "FAIL", name);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	putchar('\n');
	fflush(stdout);
	if (ok)
		passed++;
	else
		failed++;
}

/* The size of a customer's deployment: Ebro's or the co-op's. */
typedef struct {
	const char *name;
	int entries, workers, zones;
	int64_t worker_cpus;
	int32_t service_ms;
} deployment_t;

static const deployment_t ebro = { "ebro", 7, 65, 4, 64, 50 };
static const deployment_t coop = { "coop", 9, 50, 3, 16, 50 };
/* The same with one entry, which owns all workers. */
static const deployment_t ebro_one = { "ebro, one owner", 1, 65, 4, 64, 50 };
static const deployment_t coop_one = { "coop, one owner", 1, 50, 3, 16, 50 };

static sim_opts_t
sim_opts_for(const deployment_t *dep, uint32_t seed)
{
	sim_opts_t o = { 0 };

	o.entries = dep->entries;
	o.workers = dep->workers;
	o.zones = dep->zones;
	o.worker_cpus = dep->worker_cpus;
	o.workers_per_rack = 8;
	o.seed = seed;
	o.service_ms = dep->service_ms;
	o.vm_list_lag_ms = 30000;
	o.tick_ms = 20;
	o.lease_ms = 90000;
	return o;
}

/* Requests a second that all slots of the first pool can serve. */
static double
slot_capacity(const sim_t *s)
{
	return (double)s->opts.workers * SLOTS_PER_WORKER * 1000 /
	    (s->opts.service_ms + 2);
}

/*
 * Load: requests of the first pool at an even rate, sent every millisecond
 * through the load balancer.
 */
typedef struct {
	double per_ms;
	double backlog; /* requests due, below 1 between ticks */
	int64_t until_ms;
	uint64_t sent;
} load_t;

static void
on_send_requests(sim_t *s, void *arg)
{
	load_t *r = arg;

	if (s->now >= r->until_ms)
		return;
	sim_schedule(s, 1, on_send_requests, r);
	for (r->backlog += r->per_ms; r->backlog >= 1; r->backlog -= 1) {
		int e = sim_pick_entry(s);

		if (e < 0)
			continue;
		sim_request(s, e, 0, NULL);
		r->sent++;
	}
}

/* Starts a load of share times the slot capacity, for ms from now. */
static void
start_load(sim_t *s, load_t *r, double share, int64_t ms)
{
	r->per_ms = share * slot_capacity(s) / 1000;
	r->until_ms = s->now + ms;
	sim_schedule(s, 0, on_send_requests, r);
}

static void
submit(sim_t *s, const char *class, int64_t cpu_milli, int64_t run_ms,
    int64_t deadline_in_ms, bool urgent)
{
	ts_job_t j = { 0 };

	j.team = "t";
	j.pool = "sweeps";
	j.class = class;
	j.size.cpu_milli = cpu_milli;
	j.size.mem_bytes = 1000000;
	j.run_ms = run_ms;
	j.deadline_ms = s->now + deadline_in_ms;
	j.urgent = urgent;
	sim_submit(s, sim_pick_entry(s), &j, 1);
}

/* The work that all tasks have done so far, weighted by their shares. */
static int64_t
total_work_ms(const sim_t *s)
{
	int64_t ms = 0;

	for (int i = 0; i < s->opts.workers; i++)
		ms += s->worker[i].fake.work_done_ms;
	return ms;
}

/*
 * Interference: waves of batch tasks, some of them noisy, beside a service.
 */
typedef struct {
	int64_t p50, p99, p999; /* latency, us */
	int64_t work_ms;
	int evictions;
} noise_result_t;

/* Sums the evictions of all jobs; worst is the highest of one job. */
static int
evictions(sim_t *s, int *worst)
{
	GHashTableIter it;
	int n = 0;
	void *v;

	*worst = 0;
	g_hash_table_iter_init(&it, s->table.rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		ts_row_t *r = v;

		if (r->kind != TS_ROW_JOB || r->u.job.state == TS_JOB_MOVED)
			continue;
		n += r->u.job.evictions;
		*worst = MAX(*worst, r->u.job.evictions);
	}
	return n;
}

/*
 * Runs a load beside the given number of batch tasks.  no_mitigation switches
 * throttling and learning off, for the baseline: tasks are placed first fit.
 */
static noise_result_t
noise_run(const deployment_t *dep, double share, int tasks,
    ts_balance_t balance, bool no_mitigation)
{
	sim_opts_t o = sim_opts_for(dep, 7);
	noise_result_t n = { 0 };
	load_t r = { 0 };
	sim_t *s;
	int64_t before;
	int worst;

	o.noise_slowdown_pct = 60;
	o.core_opts.balance = balance;
	o.core_opts.no_throttle = o.core_opts.no_learning = no_mitigation;
	s = sim_new(&o);
	sim_run_until(s, s->now + STARTUP_MS);
	start_load(s, &r, share, 60000);
	sim_run_until(s, s->now + STARTUP_MS);
	/* Three waves: a third of the tasks is noisy. */
	for (int wave = 0; wave < 3; wave++) {
		for (int i = 0; i < tasks / 3; i++)
			submit(s, i % 3 ? "plain" : "noisy",
			    o.worker_cpus * 100, 60000, 600000, false);
		sim_run_until(s, s->now + 3000);
	}
	g_array_set_size(s->latency_us, 0);
	before = total_work_ms(s);
	sim_run_until(s, s->now + 10000);
	n.work_ms = total_work_ms(s) - before;
	n.p50 = sim_quantile(s->latency_us, 0.5);
	n.p99 = sim_quantile(s->latency_us, 0.99);
	n.p999 = sim_quantile(s->latency_us, 0.999);
	n.evictions = evictions(s, &worst);
	if (s->violation != NULL)
		expect("noise", false, "%s", s->violation);
	sim_free(s);
	return n;
}

static void
measure_noise(const deployment_t *dep, double share)
{
	int tasks = dep->workers * 3;
	noise_result_t no_batch =
	    noise_run(dep, share, 0, TS_BALANCE_LATENCY, false);
	noise_result_t baseline =
	    noise_run(dep, share, tasks, TS_BALANCE_OUTSTANDING, true);
	noise_result_t ours =
	    noise_run(dep, share, tasks, TS_BALANCE_LATENCY, false);

	printf("     %s at %.1f load, p50/p99/p99.9 us: no batch %" PRId64
	       "/%" PRId64 "/%" PRId64 ", baseline %" PRId64 "/%" PRId64
	       "/%" PRId64 ", ours %" PRId64 "/%" PRId64 "/%" PRId64 "\n",
	    dep->name, share, no_batch.p50, no_batch.p99, no_batch.p999,
	    baseline.p50, baseline.p99, baseline.p999, ours.p50, ours.p99,
	    ours.p999);
	expect("noise-tail", ours.p99 * 100 <= no_batch.p99 * 125,
	    "%s at %.1f load: p99 %.2f of that without batch (1.25; baseline "
	    "%.2f)",
	    dep->name, share, (double)ours.p99 / (double)no_batch.p99,
	    (double)baseline.p99 / (double)no_batch.p99);
	expect("noise-work", ours.work_ms * 100 >= baseline.work_ms * 85,
	    "%s at %.1f load: batch work %.2f of the baseline's (0.85), %d "
	    "evictions",
	    dep->name, share, (double)ours.work_ms / (double)baseline.work_ms,
	    ours.evictions);
}

/* Compares the balancing policies, all else being equal.  No checks. */
static void
compare_balancing(void)
{
	static const char *const names[] = { "latency", "outstanding",
		"two choices", "random" };

	for (int k = 0; k < 4; k++) {
		noise_result_t n = noise_run(&ebro_one, 0.6,
		    ebro_one.workers * 3, (ts_balance_t)k, false);

		printf("     balance by %s: p50 %" PRId64 " p99 %" PRId64
		       " p99.9 %" PRId64 " us, work %" PRId64 " s\n",
		    names[k], n.p50, n.p99, n.p999, n.work_ms / 1000);
	}
}

static void
noise(void)
{
	measure_noise(&ebro_one, 0.6);
	measure_noise(&ebro_one, 0.9);
	measure_noise(&coop_one, 0.6);
	measure_noise(&coop_one, 0.9);
}

/*
 * Overload: twice the requests that the slots can serve.
 */
static void
measure_overload(const deployment_t *dep)
{
	sim_opts_t o = sim_opts_for(dep, 3);
	load_t r = { 0 };
	sim_t *s = sim_new(&o);
	uint64_t answered, sends, requests;
	double goodput, cap;

	sim_run_until(s, s->now + STARTUP_MS);
	start_load(s, &r, 2.0, 20000);
	sim_run_until(s, s->now + 3000);
	answered = s->answered;
	sends = s->backend_runs;
	requests = r.sent;
	sim_run_until(s, s->now + 10000);
	cap = slot_capacity(s);
	goodput = (double)(s->answered - answered) / 10;
	expect("overload-goodput", goodput >= 0.95 * cap,
	    "%s: %.0f/s of %.0f/s capacity (0.95)", dep->name, goodput, cap);
	expect("overload-refusal", s->slowest_refusal_ms < 10,
	    "%s: slowest refusal %" PRId64 " ms of %" PRIu64 " (10)", dep->name,
	    s->slowest_refusal_ms, s->refused);
	expect("overload-sends",
	    (double)(s->backend_runs - sends) <=
		1.1 * (double)(r.sent - requests),
	    "%s: %" PRIu64 " sends for %" PRIu64 " requests (1.1)", dep->name,
	    s->backend_runs - sends, r.sent - requests);
	if (s->violation != NULL)
		expect("overload", false, "%s", s->violation);
	sim_free(s);
}

static void
overload(void)
{
	measure_overload(&ebro);
	measure_overload(&coop);
}

/*
 * Deadlines, when a third of the tasks declares a tenth of its run time and
 * another third ten times of it.
 */
typedef struct {
	int met, all;
	int max_evictions;		 /* of one task */
	int64_t slowest_urgent_start_ms; /* after its submission */
} deadline_result_t;

/* The jobs that a deadline run submits. */
typedef struct {
	int remaining;	     /* jobs to submit */
	bool true_estimates; /* declare the true run times */
	int parallel_tasks;  /* that the workers have capacity for */
} submissions_t;

static void
on_submit_job(sim_t *s, void *arg)
{
	submissions_t *x = arg;
	static const char *const classes[] = { "plain", "long", "short" };
	int k = g_rand_int_range(s->rand, 0, 3);
	int64_t true_ms = 1000 + g_rand_int_range(s->rand, 0, 19000);
	int64_t deadline_in_ms =
	    true_ms * g_rand_int_range(s->rand, 2, 8) + 3000;
	int64_t declared_ms = k == 1 ? true_ms / 10 :
	    k == 2		     ? true_ms * 10 :
				       true_ms;

	if (x->remaining == 0)
		return;
	/* On average nine tenths of the batch capacity at 10.5 s a task: twice
	 * that for 20 s, then nothing for 20 s. */
	sim_schedule(s, 10500 * 10 / 18 / x->parallel_tasks, on_submit_job, x);
	if (s->now / 20000 % 2)
		return;
	x->remaining--;
	submit(s, x->true_estimates ? "plain" : classes[k],
	    s->opts.worker_cpus * 250,
	    x->true_estimates ? true_ms : declared_ms, deadline_in_ms,
	    x->remaining % 25 == 0);
}

/*
 * Runs 1200 jobs, and counts the deadlines met.  no_learning places first fit,
 * by the declared run times.
 */
static deadline_result_t
deadline_run(const deployment_t *dep, bool true_estimates, bool no_learning)
{
	sim_opts_t o = sim_opts_for(dep, 11);
	/* Each worker reserves 12 slots of one processor for its services. */
	submissions_t x = { 1200, true_estimates,
		(int)((dep->worker_cpus - 12) * 4 / dep->worker_cpus) *
		    dep->workers };
	deadline_result_t d = { 0 };
	GHashTableIter it;
	sim_t *s;
	void *k;

	o.core_opts.no_learning = no_learning;
	o.tick_ms = 50;
	s = sim_new(&o);
	sim_run_until(s, s->now + STARTUP_MS);
	sim_schedule(s, 0, on_submit_job, &x);
	sim_run_until(
	    s, s->now + 1200 * 10500 * 10 / 9 / x.parallel_tasks + 100000);
	g_hash_table_iter_init(&it, s->accepted_jobs);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		const ts_job_t *j = sim_find_job(s, k);
		int64_t *ended = g_hash_table_lookup(s->first_done_ms, k);
		int64_t *begun = g_hash_table_lookup(s->first_start_ms, k);

		d.all++;
		d.met += ended != NULL && *ended <= j->deadline_ms;
		d.max_evictions = MAX(d.max_evictions, j->evictions);
		if (j->urgent)
			d.slowest_urgent_start_ms = MAX(
			    d.slowest_urgent_start_ms,
			    begun == NULL ? 999999 : *begun - j->submitted_ms);
	}
	if (s->violation != NULL)
		expect("deadline", false, "%s", s->violation);
	sim_free(s);
	return d;
}

/*
 * Compares with an oracle, to which the true run times are declared, and with a
 * baseline that doesn't learn.
 */
static void
measure_deadlines(const deployment_t *dep)
{
	deadline_result_t oracle = deadline_run(dep, true, false);
	deadline_result_t baseline = deadline_run(dep, false, true);
	deadline_result_t ours = deadline_run(dep, false, false);

	printf("     %s: of %d deadlines the oracle meets %d, the baseline %d, "
	       "ours %d\n",
	    dep->name, oracle.all, oracle.met, baseline.met, ours.met);
	expect("deadline-met", ours.met * 100 >= oracle.met * 99,
	    "%s: %.3f of the oracle's (0.99; baseline %.3f)", dep->name,
	    (double)ours.met / oracle.met, (double)baseline.met / oracle.met);
	expect("deadline-urgent", ours.slowest_urgent_start_ms <= 2800,
	    "%s: slowest urgent start %" PRId64 " ms (2800)", dep->name,
	    ours.slowest_urgent_start_ms);
	expect("deadline-evictions", ours.max_evictions <= 2,
	    "%s: most evictions of one task %d (2)", dep->name,
	    ours.max_evictions);
}

static void
deadline(void)
{
	measure_deadlines(&ebro_one);
	measure_deadlines(&coop_one);
}

/*
 * A zone is taken out of service and put in again, under batch work and
 * requests.
 */

/* The work done in the next ms. */
static int64_t
work_done_in(sim_t *s, int64_t ms)
{
	int64_t before = total_work_ms(s);

	sim_run_until(s, s->now + ms);
	return total_work_ms(s) - before;
}

static void
on_submit_more(sim_t *s, void *arg)
{
	sim_schedule(s, 100, on_submit_more, arg);
	/* Keeps more work queued than fits. */
	for (int i = 0; i < 3 && s->now % 200 == 0; i++)
		submit(s, "plain", s->opts.worker_cpus * 250,
		    4000 + g_rand_int_range(s->rand, 0, 4000), 6000000, false);
}

static void
measure_zone(const deployment_t *dep)
{
	sim_opts_t o = sim_opts_for(dep, 5);
	load_t r = { 0 };
	int64_t work_before, work_during, work_after;
	double share_left; /* of the workers, without zone 1 */
	sim_t *s;

	o.tick_ms = 50;
	s = sim_new(&o);
	sim_run_until(s, s->now + STARTUP_MS);
	start_load(s, &r, 0.3, 200000);
	for (int i = 0; i < o.workers * 3; i++)
		submit(s, "plain", o.worker_cpus * 250, 6000, 6000000, false);
	for (int i = 0; i < 5; i++)
		sim_schedule(s, 20 * i, on_submit_more, NULL);
	sim_run_until(s, s->now + 15000);
	work_before = work_done_in(s, 20000);
	sim_set_zone(s, 1, true);
	sim_run_until(s, s->now + 5000);
	work_during = work_done_in(s, 20000);
	sim_set_zone(s, 1, false);
	sim_run_until(s, s->now + 10000);
	work_after = work_done_in(s, 20000);
	share_left = 0;
	for (int i = 0; i < o.workers; i++)
		share_left += strcmp(s->worker[i].zone, sim_zones[1]) != 0;
	share_left /= o.workers;
	expect("zone-during",
	    (double)work_during >= 0.95 * share_left * (double)work_before,
	    "%s: work %.2f of the remaining capacity's (0.95)", dep->name,
	    (double)work_during / (share_left * (double)work_before));
	expect("zone-back", (double)work_after >= 0.95 * (double)work_before,
	    "%s: work %.2f of before, 10 s after its return (0.95)", dep->name,
	    (double)work_after / (double)work_before);
	expect("zone-requests", s->unknown == 0 && s->refused == 0,
	    "%s: %" PRIu64 " requests of unknown outcome, %" PRIu64
	    " refused of %" PRIu64 " (0)",
	    dep->name, s->unknown, s->refused, r.sent);
	expect("zone-start", s->violation == NULL, "%s: %s", dep->name,
	    s->violation == NULL ? "no start there after 3 s" : s->violation);
	sim_free(s);
}

static void
zone(void)
{
	measure_zone(&ebro);
	measure_zone(&coop);
}

/*
 * One entry of several is killed, paused or stopped, or its VM is powered off.
 */

/* The requests answered in the next ms. */
static double
answered_in(sim_t *s, int64_t ms)
{
	uint64_t before = s->answered;

	sim_run_until(s, s->now + ms);
	return (double)(s->answered - before);
}

/* The share of all workers whose group the entry owns, by the store. */
static double
owned_share(sim_t *s, int e)
{
	int n = 0;

	for (int i = 0; i < s->opts.workers; i++) {
		g_autofree char *key =
		    g_strconcat("group/", s->worker[i].group, NULL);
		ts_row_t *r = g_hash_table_lookup(s->table.rows, key);

		n += r != NULL &&
		    g_strcmp0(r->u.group.owner, s->entry[e].name) == 0;
	}
	return (double)n / s->opts.workers;
}

static void
measure_entry_loss(const deployment_t *dep, const char *how)
{
	sim_opts_t o = sim_opts_for(dep, 9);
	load_t r = { 0 };
	double full_rate, lowest_rate = 1e9, share;
	int victim = 0;
	int64_t fault_ms, recovered_ms = -1;
	sim_t *s = sim_new(&o);

	sim_run_until(s, s->now + 8000);
	start_load(s, &r, 0.95, 200000);
	sim_run_until(s, s->now + 3000);
	full_rate = answered_in(s, 4000) / 4;
	while (victim < o.entries - 1 && owned_share(s, victim) == 0)
		victim++;
	share = owned_share(s, victim);
	fault_ms = s->now;
	if (strcmp(how, "paused") == 0)
		sim_pause_entry(s, victim, true);
	else if (strcmp(how, "stopped") == 0)
		sim_stop_entry(s, victim);
	else
		sim_kill_entry(s, victim, strcmp(how, "powered off") == 0);
	for (int i = 0; i < 100; i++) {
		double rate = answered_in(s, 1000);

		if (i > 0) /* requests were in progress in the first second */
			lowest_rate = MIN(lowest_rate, rate);
		if (rate >= 0.98 * full_rate && recovered_ms < 0 && i > 0)
			recovered_ms = s->now - fault_ms;
		if (rate < 0.98 * full_rate)
			recovered_ms = -1;
		if (strcmp(how, "paused") == 0 && s->now - fault_ms >= 10000)
			sim_pause_entry(s, victim, false);
		if (recovered_ms > 0 && i > 20 &&
		    s->now - fault_ms - recovered_ms > 5000)
			break;
	}
	expect("entry-missing", lowest_rate >= (1 - share) * full_rate * 0.98,
	    "%s, %s: lowest throughput %.2f of full, share owned %.2f",
	    dep->name, how, lowest_rate / full_rate, share);
	printf("     %s, %s: full throughput again after %" PRId64
	       " ms (VM list lags %d ms); before, %.4f of requests answered\n",
	    dep->name, how, recovered_ms, o.vm_list_lag_ms,
	    full_rate / (0.95 * slot_capacity(s)));
	if (s->violation != NULL)
		expect("entry", false, "%s", s->violation);
	sim_free(s);
}

static void
entry(void)
{
	static const char *const how[] = { "killed", "paused", "stopped",
		"powered off" };

	for (size_t i = 0; i < G_N_ELEMENTS(how); i++) {
		measure_entry_loss(&ebro, how[i]);
		measure_entry_loss(&coop, how[i]);
	}
}

/*
 * How long a change of the configuration takes to be in force at all entries.
 */
static void
measure_conf(const char *name, int32_t latency_ms, int32_t loss_pct)
{
	GArray *ms = g_array_new(FALSE, TRUE, sizeof(int64_t));

	for (uint32_t seed = 1; seed <= 4; seed++) {
		sim_opts_t o = sim_opts_for(&coop, seed);
		sim_t *s;

		o.workers = 9;
		o.tick_ms = 50;
		s = sim_new(&o);
		sim_run_until(s, s->now + STARTUP_MS);
		s->store_latency_ms = latency_ms;
		s->store_loss_pct = loss_pct;
		for (int i = 0; i < 60; i++) {
			int64_t at = s->now;

			sim_set_zone(s, i % 3, i % 2);
			sim_run_until(s,
			    s->now + 7000 + g_rand_int_range(s->rand, 0, 500));
			for (int e = 0; e < o.entries; e++) {
				int64_t took = s->entry[e].conf_version ==
					s->conf_version ?
				    s->entry[e].conf_adopted_ms - at :
				    999999;

				g_array_append_val(ms, took);
			}
		}
		sim_free(s);
	}
	expect("conf", sim_quantile(ms, 0.999) <= 4000,
	    "%s: p50 %" PRId64 " p99 %" PRId64 " p99.9 %" PRId64
	    " ms of %u (4000)",
	    name, sim_quantile(ms, 0.5), sim_quantile(ms, 0.99),
	    sim_quantile(ms, 0.999), ms->len);
	g_array_free(ms, TRUE);
}

static void
conf(void)
{
	measure_conf("healthy", 4, 0);
	measure_conf("store takes 2 s", 2000, 0);
	measure_conf("store loses 20%", 4, 20);
	measure_conf("store takes 2 s, loses 10%", 2000, 10);
}

static const struct {
	const char *name;
	void (*run)(void);
} measures[] = {
	{ "noise", noise },
	{ "balance", compare_balancing },
	{ "overload", overload },
	{ "deadline", deadline },
	{ "zone", zone },
	{ "entry", entry },
	{ "conf", conf },
};

int
main(int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(measures); i++) {
		bool want = argc == 1;

		for (int k = 1; k < argc; k++)
			want = want || strcmp(argv[k], measures[i].name) == 0;
		if (want)
			measures[i].run();
	}
	printf("policy: %d passed, %d failed\n", passed, failed);
	return failed != 0;
}
