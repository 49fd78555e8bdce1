/*
 * Runs the simulation under random load and random faults, one run for each
 * seed, and reports the seeds whose run violates an invariant.
 * usage: check FIRST-SEED COUNT [trace]
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "../fake/fake.h"
#include "../sim/sim.h"

#define FAULT_PHASE_MS	    60000
#define CONF_PROPAGATION_MS 4000 /* for a change to be in force */

/* A random number below n. */
static int
rand_below(sim_t *s, int n)
{
	return g_rand_int_range(s->rand, 0, n);
}

static void
on_caller(sim_t *s, void *arg)
{
	int e = sim_pick_entry(s);
	char key[24];

	if (s->in_recovery)
		return;
	sim_schedule(s, 1 + rand_below(s, 120), on_caller, arg);
	if (e < 0)
		return;
	if (rand_below(s, 60) == 0) /* a burst that fills every slot */
		for (int i = rand_below(s, 150); i > 0; i--)
			sim_request(s, e, rand_below(s, 3), NULL);
	/* Few keys, so that they are repeated, often at another entry. */
	g_snprintf(key, sizeof(key), "k%d", rand_below(s, 40));
	switch (rand_below(s, 4)) {
	case 0:
		sim_request(s, e, 1, key);
		break;
	case 1:
		sim_request(s, e, 1, NULL);
		break;
	default:
		sim_request(s, e, rand_below(s, 2) * 2, NULL);
	}
}

static void
on_submitter(sim_t *s, void *arg)
{
	ts_job_t j = { 0 };
	int e = sim_pick_entry(s);

	if (s->in_recovery)
		return;
	sim_schedule(s, 100 + rand_below(s, 1500), on_submitter, arg);
	if (e < 0)
		return;
	j.team = rand_below(s, 4) ? "t" : "small";
	j.pool = "sweeps";
	j.class = rand_below(s, 3) ? "plain" : "noisy";
	j.size.cpu_milli = 500 + rand_below(s, 3500);
	j.size.mem_bytes = 1000000;
	j.run_ms = 200 + rand_below(s, 8000);
	j.deadline_ms = s->now + 60000;
	j.urgent = rand_below(s, 5) == 0;
	sim_submit(s, e, &j, 1);
}

static void
on_canceller(sim_t *s, void *arg)
{
	g_autoptr(GList) ids = g_hash_table_get_keys(s->accepted_jobs);
	int e = sim_pick_entry(s);

	if (s->in_recovery)
		return;
	sim_schedule(s, 500 + rand_below(s, 8000), on_canceller, arg);
	ids = g_list_sort(ids, (GCompareFunc)strcmp);
	if (e >= 0 && ids != NULL)
		sim_cancel(s, e,
		    g_list_nth_data(
			ids, (guint)rand_below(s, (int)g_list_length(ids))));
}

/*
 * Faults.  Most of them are toggles, which end when drawn again for the same
 * entry, worker or zone.
 */
static void
fault_kill(sim_t *s)
{
	int i = rand_below(s, s->opts.entries);

	if (s->entry[i].core != NULL)
		sim_kill_entry(s, i, rand_below(s, 4) == 0);
	else
		sim_start_entry(s, i);
}

static void
fault_pause(sim_t *s)
{
	int i = rand_below(s, s->opts.entries);

	sim_pause_entry(s, i, !s->entry[i].paused);
}

static void
fault_graceful_stop(sim_t *s)
{
	sim_stop_entry(s, rand_below(s, s->opts.entries));
}

static void
fault_start_all(sim_t *s)
{
	for (int i = 0; i < s->opts.entries; i++)
		sim_start_entry(s, i);
	sim_publish_vm_list(s);
}

static void
fault_cut(sim_t *s)
{
	sim_entry_t *e = &s->entry[rand_below(s, s->opts.entries)];
	int peer = rand_below(s, s->opts.entries);
	bool *cuts[] = { &e->store_cut, &e->peers_cut, &e->workers_cut,
		&e->store_replies_lost, &e->sync_replies_lost,
		&e->peer_cut[peer] };
	bool *cut = cuts[rand_below(s, G_N_ELEMENTS(cuts))];

	*cut = !*cut;
	sim_trace(s,
	    "%s cut from store %d peers %d workers %d e%d %d, loses replies "
	    "of store %d workers %d",
	    e->name, e->store_cut, e->peers_cut, e->workers_cut, peer,
	    e->peer_cut[peer], e->store_replies_lost, e->sync_replies_lost);
}

static void
fault_store(sim_t *s)
{
	static const int32_t ms[] = { 4, 4, 50, 2000 };

	s->store_down = rand_below(s, 3) == 0;
	s->store_latency_ms = ms[rand_below(s, 4)];
	s->store_loss_pct = rand_below(s, 2) ? 0 : rand_below(s, 40);
	sim_trace(s, "store down %d, %d ms, loses %d%%", s->store_down,
	    s->store_latency_ms, s->store_loss_pct);
}

static void
fault_net(sim_t *s)
{
	s->worker_loss_pct = rand_below(s, 2) ? 0 : rand_below(s, 30);
	s->jitter_ms = rand_below(s, 2) ? 0 : rand_below(s, 300);
	s->late_sync_pct = rand_below(s, 2) ? 0 : rand_below(s, 30);
	sim_trace(s, "drops %d%%, jitter %d ms, late syncs %d%%",
	    s->worker_loss_pct, s->jitter_ms, s->late_sync_pct);
}

static void
fault_worker(sim_t *s)
{
	int i = rand_below(s, s->opts.workers);
	sim_worker_t *w = &s->worker[i];

	switch (rand_below(s, 6)) {
	case 0:
		sim_crash_worker(s, i, false);
		break;
	case 1:
		sim_crash_worker(s, i, true);
		break;
	case 2:
		w->unreachable = !w->unreachable;
		break;
	case 3:
		w->fake.fails_all_tasks = !w->fake.fails_all_tasks;
		break;
	case 4:
		w->leaving = !w->leaving;
		w->leaving_since_ms = s->now;
		sim_publish_vm_list(s);
		break;
	default:
		if (!w->dead)
			sim_crash_worker(s, i, false);
		else
			sim_crash_worker(s, i, true);
		w->dead = !w->dead;
		sim_publish_vm_list(s);
	}
	sim_trace(s, "%s dead %d cut %d failing %d leaving %d", w->name,
	    w->dead, w->unreachable, w->fake.fails_all_tasks, w->leaving);
}

static void
fault_zone(sim_t *s)
{
	int z = rand_below(s, s->opts.zones);
	int64_t base = s->conf_version;

	/* Of two edits of the same version, the second must be refused. */
	if (rand_below(s, 3) == 0 &&
	    sim_try_set_zone(s, z, !s->zone_out[z], base) &&
	    sim_try_set_zone(s, rand_below(s, s->opts.zones), true, base))
		sim_violation(s, "two edits of one version were accepted");
	else
		sim_set_zone(s, z, !s->zone_out[z]);
}

static void (*const faults[])(sim_t *) = { fault_kill, fault_kill, fault_pause,
	fault_pause, fault_graceful_stop, fault_start_all, fault_cut, fault_cut,
	fault_store, fault_store, fault_net, fault_worker, fault_worker,
	fault_zone, fault_zone };

static void
on_fault(sim_t *s, void *arg)
{
	int max_gap_ms = GPOINTER_TO_INT(arg);

	if (s->in_recovery)
		return;
	faults[rand_below(s, G_N_ELEMENTS(faults))](s);
	sim_schedule(s, 100 + rand_below(s, max_gap_ms), on_fault, arg);
}

/*
 * Entries that no fault hinders must have the newest configuration in force
 * within CONF_PROPAGATION_MS.
 */
static void
on_conf_check(sim_t *s, void *arg)
{
	sim_schedule(s, 100, on_conf_check, arg);
	for (int i = 0; i < s->opts.entries; i++) {
		sim_entry_t *e = &s->entry[i];

		if (e->core == NULL || e->paused || e->store_cut ||
		    e->store_replies_lost || s->store_down ||
		    s->store_loss_pct > 0 || s->jitter_ms > 100)
			e->last_fault_ms = s->now;
		if (e->conf_version != s->conf_version &&
		    s->now - MAX(e->last_fault_ms, s->conf_changed_ms) >
			CONF_PROPAGATION_MS)
			sim_violation(s,
			    "%s still has configuration version %" PRId64
			    " %" PRId64 " ms after version %" PRId64,
			    e->name, e->conf_version,
			    s->now - s->conf_changed_ms, s->conf_version);
	}
}

/* One run; the seed also chooses the size of the deployment. */
static bool
run_seed(uint32_t seed, bool trace)
{
	sim_opts_t o = { 0 };
	sim_t *s;
	bool ok;

	o.seed = seed;
	o.trace = trace;
	o.entries = 2 + (int)(seed % 4);
	o.zones = 2 + (int)(seed % 2);
	o.workers = 4 + (int)(seed % 5);
	o.workers_per_rack = 2;
	o.worker_cpus = seed % 3 ? 16 : 24;
	o.service_ms = 20;
	o.vm_list_lag_ms = (int32_t)(seed % 7) * 5000;
	o.tick_ms = 100;
	o.lease_ms = 20000;
	o.noise_slowdown_pct = 50;
	s = sim_new(&o);
	sim_schedule(s, 1000, on_caller, NULL);
	sim_schedule(s, 1500, on_submitter, NULL);
	sim_schedule(s, 3000, on_canceller, NULL);
	sim_schedule(
	    s, 2000, on_fault, GINT_TO_POINTER(500 + (int)(seed % 5) * 1500));
	sim_schedule(s, 100, on_conf_check, NULL);
	sim_run_until(s, s->now + FAULT_PHASE_MS);
	s->in_recovery = true;
	sim_recover(s);
	ok = s->violation == NULL;
	for (int i = 0; trace && i < o.entries; i++) {
		g_autofree char *text = s->entry[i].core == NULL ?
		    NULL :
		    ts_core_status(s->entry[i].core);

		puts(text == NULL ? "no process" : text);
	}
	if (!ok || trace)
		printf("seed %u: %s\n", seed, ok ? "ok" : s->violation);
	sim_free(s);
	return ok;
}

int
main(int argc, char **argv)
{
	uint32_t first = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;
	uint32_t n = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 100;
	bool trace = argc > 3 && strcmp(argv[3], "trace") == 0;
	uint32_t failed = 0;

	for (uint32_t i = 0; i < n; i++)
		failed += !run_seed(first + i, trace);
	printf("%u passed, %u failed\n", n - failed, failed);
	return failed != 0;
}
