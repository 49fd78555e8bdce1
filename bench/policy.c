/*
 * The four measures in virtual time, each against its baseline in the same
 * run, with bounds from the stated targets.
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

#define SLOTS	8 /* of the first pool, per worker */
#define WARM_MS 5000

static int passed, failed;

static void
    G_GNUC_PRINTF(3, 4) verdict(const char *name, bool ok, const char *fmt, ...)
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

/* A deployment: Ebro's or the co-op's, and its load. */
typedef struct {
	const char *name;
	int entries, workers, zones;
	int64_t cores;
	int32_t service_ms;
} site_t;

static const site_t ebro = { "ebro", 7, 65, 4, 64, 50 };
static const site_t coop = { "coop", 9, 50, 3, 16, 50 };
static const site_t ebro_one = { "ebro, one owner", 1, 65, 4, 64, 50 };
static const site_t coop_one = { "coop, one owner", 1, 50, 3, 16, 50 };

static sim_opts_t
site_opts(const site_t *t, uint32_t seed)
{
	sim_opts_t o = { 0 };

	o.entries = t->entries;
	o.workers = t->workers;
	o.zones = t->zones;
	o.worker_cpus = t->cores;
	o.workers_per_rack = 8;
	o.seed = seed;
	o.service_ms = t->service_ms;
	o.vm_list_lag_ms = 30000;
	o.tick_ms = 20;
	o.lease_ms = 90000;
	return o;
}

/* Requests a second that every slot together can serve. */
static double
capacity(const sim_t *s)
{
	return (double)s->opts.workers * SLOTS * 1000 /
	    (s->opts.service_ms + 2);
}

/*
 * Load: requests of the first pool at an even rate, a millisecond's worth at
 * a time, through the balancer.
 */
typedef struct {
	double per_ms;
	double owed;
	int64_t until_ms;
	uint64_t sent;
} rate_t;

static void
on_rate(sim_t *s, void *arg)
{
	rate_t *r = arg;

	if (s->now >= r->until_ms)
		return;
	sim_schedule(s, 1, on_rate, r);
	for (r->owed += r->per_ms; r->owed >= 1; r->owed -= 1) {
		int e = sim_pick_entry(s);

		if (e < 0)
			continue;
		sim_request(s, e, 0, NULL);
		r->sent++;
	}
}

static void
load(sim_t *s, rate_t *r, double share, int64_t ms)
{
	r->per_ms = share * capacity(s) / 1000;
	r->until_ms = s->now + ms;
	sim_schedule(s, 0, on_rate, r);
}

static void
submit(sim_t *s, const char *class, int64_t cpu, int64_t run_ms,
    int64_t deadline_ms, bool urgent)
{
	ts_job_t j = { 0 };

	j.team = "t";
	j.pool = "sweeps";
	j.class = class;
	j.size.cpu_milli = cpu;
	j.size.mem_bytes = 1000000;
	j.run_ms = run_ms;
	j.deadline_ms = s->now + deadline_ms;
	j.urgent = urgent;
	sim_submit(s, sim_pick_entry(s), &j, 1);
}

static int64_t
worked(const sim_t *s)
{
	int64_t ms = 0;

	for (int i = 0; i < s->opts.workers; i++)
		ms += s->worker[i].fake.work_done_ms;
	return ms;
}

/*
 * A noisy wave beside a service.
 */
typedef struct {
	int64_t p50, p99, p999;
	int64_t work_ms;
	int evictions;
	uint64_t bad;
} noise_t;

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

static noise_t
noise_run(
    const site_t *t, double share, int tasks, ts_balance_t choose, bool naive)
{
	sim_opts_t o = site_opts(t, 7);
	noise_t n = { 0 };
	rate_t r = { 0 };
	sim_t *s;
	int64_t before;
	int worst;

	o.noise_slowdown_pct = 60;
	o.core_opts.balance = choose;
	o.core_opts.no_throttle = o.core_opts.no_learning = naive;
	s = sim_new(&o);
	sim_run_until(s, s->now + WARM_MS);
	load(s, &r, share, 60000);
	sim_run_until(s, s->now + WARM_MS);
	/* Three waves: a third of the tasks is noisy. */
	for (int wave = 0; wave < 3; wave++) {
		for (int i = 0; i < tasks / 3; i++)
			submit(s, i % 3 ? "plain" : "noisy",
			    o.worker_cpus * 100, 60000, 600000, false);
		sim_run_until(s, s->now + 3000);
	}
	g_array_set_size(s->latency_us, 0);
	before = worked(s);
	sim_run_until(s, s->now + 10000);
	n.work_ms = worked(s) - before;
	n.p50 = sim_quantile(s->latency_us, 0.5);
	n.p99 = sim_quantile(s->latency_us, 0.99);
	n.p999 = sim_quantile(s->latency_us, 0.999);
	n.evictions = evictions(s, &worst);
	n.bad = s->refused + s->unknown;
	if (s->violation != NULL)
		verdict("noise", false, "%s", s->violation);
	sim_free(s);
	return n;
}

static void
noise_site(const site_t *t, double share)
{
	int tasks = t->workers * 3;
	noise_t quiet = noise_run(t, share, 0, TS_BALANCE_LATENCY, false);
	noise_t naive =
	    noise_run(t, share, tasks, TS_BALANCE_OUTSTANDING, true);
	noise_t ours = noise_run(t, share, tasks, TS_BALANCE_LATENCY, false);

	printf("     %s at %.1f load, p50/p99/p99.9 us: no batch %" PRId64
	       "/%" PRId64 "/%" PRId64 ", baseline %" PRId64 "/%" PRId64
	       "/%" PRId64 ", ours %" PRId64 "/%" PRId64 "/%" PRId64 "\n",
	    t->name, share, quiet.p50, quiet.p99, quiet.p999, naive.p50,
	    naive.p99, naive.p999, ours.p50, ours.p99, ours.p999);
	verdict("noise-tail", ours.p99 * 100 <= quiet.p99 * 125,
	    "%s at %.1f load: p99 %.2f of that without batch (1.25; baseline "
	    "%.2f)",
	    t->name, share, (double)ours.p99 / (double)quiet.p99,
	    (double)naive.p99 / (double)quiet.p99);
	verdict("noise-work", ours.work_ms * 100 >= naive.work_ms * 85,
	    "%s at %.1f load: batch work %.2f of the baseline's (0.85), %d "
	    "evictions",
	    t->name, share, (double)ours.work_ms / (double)naive.work_ms,
	    ours.evictions);
}

/* Ways to choose a slot, the rest of the policy being the same. */
static void
choice(void)
{
	static const char *const names[] = { "latency", "outstanding",
		"two choices", "random" };

	for (int k = 0; k < 4; k++) {
		noise_t n = noise_run(&ebro_one, 0.6, ebro_one.workers * 3,
		    (ts_balance_t)k, false);

		printf("     choice by %s: p50 %" PRId64 " p99 %" PRId64
		       " p99.9 %" PRId64 " us, work %" PRId64 " s\n",
		    names[k], n.p50, n.p99, n.p999, n.work_ms / 1000);
	}
}

static void
noise(void)
{
	noise_site(&ebro_one, 0.6);
	noise_site(&ebro_one, 0.9);
	noise_site(&coop_one, 0.6);
	noise_site(&coop_one, 0.9);
}

/*
 * Overload: twice what the slots can carry.
 */
static void
overload_site(const site_t *t)
{
	sim_opts_t o = site_opts(t, 3);
	rate_t r = { 0 };
	sim_t *s = sim_new(&o);
	uint64_t answered, sends, asked;
	double goodput, cap;

	sim_run_until(s, s->now + WARM_MS);
	load(s, &r, 2.0, 20000);
	sim_run_until(s, s->now + 3000);
	answered = s->answered;
	sends = s->sends;
	asked = r.sent;
	sim_run_until(s, s->now + 10000);
	cap = capacity(s);
	goodput = (double)(s->answered - answered) / 10;
	verdict("overload-goodput", goodput >= 0.95 * cap,
	    "%s: %.0f/s of %.0f/s capacity (0.95)", t->name, goodput, cap);
	verdict("overload-refusal", s->slowest_refusal_ms < 10,
	    "%s: slowest refusal %" PRId64 " ms of %" PRIu64 " (10)", t->name,
	    s->slowest_refusal_ms, s->refused);
	verdict("overload-sends",
	    (double)(s->sends - sends) <= 1.1 * (double)(r.sent - asked),
	    "%s: %" PRIu64 " sends for %" PRIu64 " requests (1.1)", t->name,
	    s->sends - sends, r.sent - asked);
	if (s->violation != NULL)
		verdict("overload", false, "%s", s->violation);
	sim_free(s);
}

static void
overload(void)
{
	overload_site(&ebro);
	overload_site(&coop);
}

/*
 * Deadlines, with declared run times wrong ten times either way.
 */
typedef struct {
	int met, all;
	int worst;	   /* evictions of one task */
	int64_t urgent_ms; /* slowest start of urgent work */
} deadline_t;

typedef struct {
	int n;
	bool truth; /* declare what is true */
	int room;   /* tasks that run at a time */
} jobs_t;

static void
on_jobs(sim_t *s, void *arg)
{
	jobs_t *x = arg;
	static const char *const classes[] = { "plain", "long", "short" };
	int k = g_rand_int_range(s->rand, 0, 3);
	int64_t need = 1000 + g_rand_int_range(s->rand, 0, 19000);
	int64_t slack = need * g_rand_int_range(s->rand, 2, 8) + 3000;
	int64_t said = k == 1 ? need / 10 : k == 2 ? need * 10 : need;

	if (x->n == 0)
		return;
	/* Nine tenths of what the batch room can carry at 10.5 s a task, in
	 * waves: twice that for 20 s, then nothing for 20 s. */
	sim_schedule(s, 10500 * 10 / 18 / x->room, on_jobs, x);
	if (s->now / 20000 % 2)
		return;
	x->n--;
	submit(s, x->truth ? "plain" : classes[k], s->opts.worker_cpus * 250,
	    x->truth ? need : said, slack, x->n % 25 == 0);
}

static deadline_t
deadline_run(const site_t *t, bool truth, bool no_learning)
{
	sim_opts_t o = site_opts(t, 11);
	/* A worker keeps 12 slots of one processor for its services. */
	jobs_t x = { 1200, truth,
		(int)((t->cores - 12) * 4 / t->cores) * t->workers };
	deadline_t d = { 0 };
	GHashTableIter it;
	sim_t *s;
	void *k;

	o.core_opts.no_learning = no_learning;
	o.tick_ms = 50;
	s = sim_new(&o);
	sim_run_until(s, s->now + WARM_MS);
	sim_schedule(s, 0, on_jobs, &x);
	sim_run_until(s, s->now + 1200 * 10500 * 10 / 9 / x.room + 100000);
	g_hash_table_iter_init(&it, s->accepted_jobs);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		const ts_job_t *j = sim_find_job(s, k);
		int64_t *ended = g_hash_table_lookup(s->first_done_ms, k);
		int64_t *begun = g_hash_table_lookup(s->first_start_ms, k);

		d.all++;
		d.met += ended != NULL && *ended <= j->deadline_ms;
		d.worst = MAX(d.worst, j->evictions);
		if (j->urgent)
			d.urgent_ms = MAX(d.urgent_ms,
			    begun == NULL ? 999999 : *begun - j->submitted_ms);
	}
	if (s->violation != NULL)
		verdict("deadline", false, "%s", s->violation);
	sim_free(s);
	return d;
}

static void
deadline_site(const site_t *t)
{
	deadline_t oracle = deadline_run(t, true, false);
	deadline_t naive = deadline_run(t, false, true);
	deadline_t ours = deadline_run(t, false, false);

	printf("     %s: of %d deadlines the oracle meets %d, the baseline %d, "
	       "ours %d\n",
	    t->name, oracle.all, oracle.met, naive.met, ours.met);
	verdict("deadline-met", ours.met * 100 >= oracle.met * 99,
	    "%s: %.3f of the oracle's (0.99; baseline %.3f)", t->name,
	    (double)ours.met / oracle.met, (double)naive.met / oracle.met);
	verdict("deadline-urgent", ours.urgent_ms <= 2800,
	    "%s: slowest urgent start %" PRId64 " ms (2800)", t->name,
	    ours.urgent_ms);
	verdict("deadline-evictions", ours.worst <= 2,
	    "%s: most evictions of one task %d (2)", t->name, ours.worst);
}

static void
deadline(void)
{
	deadline_site(&ebro_one);
	deadline_site(&coop_one);
}

/*
 * A data centre leaves and returns.
 */
static int64_t
work_in(sim_t *s, int64_t ms)
{
	int64_t before = worked(s);

	sim_run_until(s, s->now + ms);
	return worked(s) - before;
}

static void
on_supply(sim_t *s, void *arg)
{
	sim_schedule(s, 100, on_supply, arg);
	/* Always more work than room. */
	for (int i = 0; i < 3 && s->now % 200 == 0; i++)
		submit(s, "plain", s->opts.worker_cpus * 250,
		    4000 + g_rand_int_range(s->rand, 0, 4000), 6000000, false);
}

static void
zone_site(const site_t *t)
{
	sim_opts_t o = site_opts(t, 5);
	rate_t r = { 0 };
	int64_t full, during, back;
	double left;
	sim_t *s;

	o.tick_ms = 50;
	s = sim_new(&o);
	sim_run_until(s, s->now + WARM_MS);
	load(s, &r, 0.3, 200000);
	for (int i = 0; i < o.workers * 3; i++)
		submit(s, "plain", o.worker_cpus * 250, 6000, 6000000, false);
	for (int i = 0; i < 5; i++)
		sim_schedule(s, 20 * i, on_supply, NULL);
	sim_run_until(s, s->now + 15000);
	full = work_in(s, 20000);
	sim_set_zone(s, 1, true);
	sim_run_until(s, s->now + 5000);
	during = work_in(s, 20000);
	sim_set_zone(s, 1, false);
	sim_run_until(s, s->now + 10000);
	back = work_in(s, 20000);
	left = 0;
	for (int i = 0; i < o.workers; i++)
		left += strcmp(s->worker[i].zone, sim_zones[1]) != 0;
	left /= o.workers;
	verdict("zone-during", (double)during >= 0.95 * left * (double)full,
	    "%s: work %.2f of the remaining capacity's (0.95)", t->name,
	    (double)during / (left * (double)full));
	verdict("zone-back", (double)back >= 0.95 * (double)full,
	    "%s: work %.2f of before, 10 s after its return (0.95)", t->name,
	    (double)back / (double)full);
	verdict("zone-requests", s->unknown == 0 && s->refused == 0,
	    "%s: %" PRIu64 " requests cut, %" PRIu64 " refused of %" PRIu64
	    " (0)",
	    t->name, s->unknown, s->refused, r.sent);
	verdict("zone-start", s->violation == NULL, "%s: %s", t->name,
	    s->violation == NULL ? "no start there after 3 s" : s->violation);
	sim_free(s);
}

static void
zone(void)
{
	zone_site(&ebro);
	zone_site(&coop);
}

/*
 * One entry of several is killed, frozen, vanishes or is replaced.
 */
static double
answered_in(sim_t *s, int64_t ms)
{
	uint64_t before = s->answered;

	sim_run_until(s, s->now + ms);
	return (double)(s->answered - before);
}

/* The share of all workers that an entry owned when it was last seen to. */
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
entry_site(const site_t *t, const char *how)
{
	sim_opts_t o = site_opts(t, 9);
	rate_t r = { 0 };
	double full, worst = 1e9, share;
	int victim = 0;
	int64_t since, back = -1;
	sim_t *s = sim_new(&o);

	sim_run_until(s, s->now + 8000);
	load(s, &r, 0.95, 200000);
	sim_run_until(s, s->now + 3000);
	full = answered_in(s, 4000) / 4;
	while (victim < o.entries - 1 && owned_share(s, victim) == 0)
		victim++;
	share = owned_share(s, victim);
	since = s->now;
	if (strcmp(how, "frozen") == 0)
		sim_pause_entry(s, victim, true);
	else if (strcmp(how, "stopped") == 0)
		sim_stop_entry(s, victim);
	else
		sim_kill_entry(s, victim, strcmp(how, "vanished") == 0);
	for (int i = 0; i < 100; i++) {
		double a = answered_in(s, 1000);

		if (i > 0) /* in the first second some were in progress */
			worst = MIN(worst, a);
		if (a >= 0.98 * full && back < 0 && i > 0)
			back = s->now - since;
		if (a < 0.98 * full)
			back = -1;
		if (strcmp(how, "frozen") == 0 && s->now - since >= 10000)
			sim_pause_entry(s, victim, false);
		if (back > 0 && i > 20 && s->now - since - back > 5000)
			break;
	}
	verdict("entry-missing", worst >= (1 - share) * full * 0.98,
	    "%s, %s: least %.2f of full, its share was %.2f", t->name, how,
	    worst / full, share);
	printf("     %s, %s: full use again after %" PRId64 " ms (list lags %d "
	       "ms); %.4f answered of what was asked before it\n",
	    t->name, how, back, o.vm_list_lag_ms, full / (0.95 * capacity(s)));
	if (s->violation != NULL)
		verdict("entry", false, "%s", s->violation);
	sim_free(s);
}

static void
entry(void)
{
	static const char *const how[] = { "killed", "frozen", "stopped",
		"vanished" };

	for (size_t i = 0; i < G_N_ELEMENTS(how); i++) {
		entry_site(&ebro, how[i]);
		entry_site(&coop, how[i]);
	}
}

/*
 * Changes of the tables, in force everywhere.
 */
static void
conf_case(const char *name, int32_t store_ms, int32_t lose_pct)
{
	GArray *ms = g_array_new(FALSE, TRUE, sizeof(int64_t));

	for (uint32_t seed = 1; seed <= 4; seed++) {
		sim_opts_t o = site_opts(&coop, seed);
		sim_t *s;

		o.workers = 9;
		o.tick_ms = 50;
		s = sim_new(&o);
		sim_run_until(s, s->now + WARM_MS);
		s->store_latency_ms = store_ms;
		s->store_loss_pct = lose_pct;
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
	verdict("conf", sim_quantile(ms, 0.999) <= 4000,
	    "%s: p50 %" PRId64 " p99 %" PRId64 " p99.9 %" PRId64
	    " ms of %u (4000)",
	    name, sim_quantile(ms, 0.5), sim_quantile(ms, 0.99),
	    sim_quantile(ms, 0.999), ms->len);
	g_array_free(ms, TRUE);
}

static void
conf(void)
{
	conf_case("healthy", 4, 0);
	conf_case("store takes 2 s", 2000, 0);
	conf_case("store loses 20%", 4, 20);
	conf_case("store takes 2 s, loses 10%", 2000, 10);
}

static const struct {
	const char *name;
	void (*run)(void);
} measures[] = {
	{ "noise", noise },
	{ "choice", choice },
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
