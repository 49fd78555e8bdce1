/*
 * The simulation's event loop in virtual time, the processes of the entries,
 * the connections between them, and the configuration in the store.
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
#include "sim.h"
#include "internal.h"

#define REDIAL_MS      200     /* between attempts to connect to a peer */
#define START_MS       1000000 /* virtual start time: no time is near 0 */
#define WORKER_TICK_MS 50

const char *const sim_zones[SIM_ZONES_MAX] = { "z0", "z1", "z2", "z3" };
const char *const sim_pools[SIM_POOLS] = { "quotes", "bookings", "balance" };

typedef struct {
	int64_t due_ms;
	uint64_t seq;
	sim_callback_t fn;
	void *arg;
} event_t;

static int
compare_events(const void *a, const void *b, void *ctx)
{
	const event_t *x = a, *y = b;

	(void)ctx;
	if (x->due_ms != y->due_ms)
		return x->due_ms < y->due_ms ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
}

void
sim_schedule(sim_t *s, int64_t after_ms, sim_callback_t fn, void *arg)
{
	event_t *e = g_new(event_t, 1);

	e->due_ms = s->now + after_ms;
	e->seq = s->next_event_seq++;
	e->fn = fn;
	e->arg = arg;
	g_sequence_insert_sorted(s->events, e, compare_events, NULL);
}

void
sim_trace(sim_t *s, const char *fmt, ...)
{
	va_list ap;

	if (!s->opts.trace)
		return;
	printf("%9.3f ", (double)(s->now - START_MS) / 1000);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	putchar('\n');
}

void
sim_violation(sim_t *s, const char *fmt, ...)
{
	va_list ap;

	if (s->violation != NULL)
		return;
	va_start(ap, fmt);
	s->violation = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	sim_trace(s, "VIOLATION %s", s->violation);
}

void
sim_run_until(sim_t *s, int64_t until_ms)
{
	while (s->violation == NULL && g_sequence_get_length(s->events) > 0) {
		GSequenceIter *it = g_sequence_get_begin_iter(s->events);
		event_t *e = g_sequence_get(it);

		if (e->due_ms > until_ms)
			break;
		g_sequence_remove(it);
		s->now = e->due_ms;
		e->fn(s, e->arg);
		g_free(e);
	}
	if (s->violation == NULL)
		s->now = until_ms;
}

int32_t
sim_net_delay(sim_t *s)
{
	return 1 + g_rand_int_range(s->rand, 0, 2 + s->jitter_ms);
}

bool
sim_chance(sim_t *s, int32_t pct)
{
	return g_rand_int_range(s->rand, 0, 100) < pct;
}

bool
sim_entry_running(const sim_entry_t *e)
{
	return e->core != NULL && !e->paused;
}

void
sim_input(sim_t *s, sim_entry_t *e, const ts_ev_t *ev)
{
	ts_core_input(e->core, ev, s->now);
}

/* A message or reply under way to the process of an entry. */
typedef struct {
	sim_callback_t on_delivered;
	void *arg;
	sim_callback_t on_lost;
	int to;
	int64_t incarnation; /* of the receiving process */
} delivery_t;

/* Delivers; holds back while the process is paused; loses if it has ended. */
static void
on_delivery(sim_t *s, void *arg)
{
	delivery_t *d = arg;
	sim_entry_t *e = &s->entry[d->to];

	if (e->core == NULL || e->incarnation != d->incarnation) {
		if (d->on_lost != NULL)
			d->on_lost(s, d->arg);
		g_free(d);
		return;
	}
	if (e->paused) {
		g_ptr_array_add(e->undelivered, d);
		return;
	}
	d->on_delivered(s, d->arg);
	g_free(d);
}

void
sim_deliver(sim_t *s, int e, int64_t incarnation, int32_t after_ms,
    sim_callback_t fn, sim_callback_t on_lost, void *arg)
{
	delivery_t *d = g_new0(delivery_t, 1);

	d->on_delivered = fn;
	d->on_lost = on_lost;
	d->arg = arg;
	d->to = e;
	d->incarnation = incarnation;
	sim_schedule(s, after_ms, on_delivery, d);
}

/*
 * Connections between entries.
 */
static void
set_peer_state(sim_t *s, int from, int to, ts_peer_state_t state)
{
	ts_ev_t ev = { .kind = TS_EV_PEER };

	s->entry[from].connected[to] = state == TS_PEER_UP;
	s->entry[from].peer_incarnation[to] = s->entry[to].incarnation;
	ev.u.peer.name = s->entry[to].name;
	ev.u.peer.state = state;
	ev.u.peer.incarnation = s->entry[to].incarnation;
	sim_input(s, &s->entry[from], &ev);
}

bool
sim_peers_cut(const sim_t *s, int a, int b)
{
	return s->entry[a].peers_cut || s->entry[b].peers_cut ||
	    s->entry[a].peer_cut[b] || s->entry[b].peer_cut[a];
}

/* Connects to a peer unless connected, and finds connections that are dead. */
static void
dial_peer(sim_t *s, int from, int to)
{
	sim_entry_t *a = &s->entry[from], *b = &s->entry[to];

	/* A new process resets the connection of the earlier one. */
	if (a->connected[to] && sim_entry_running(b) &&
	    !sim_peers_cut(s, from, to) &&
	    a->peer_incarnation[to] != b->incarnation)
		set_peer_state(s, from, to, TS_PEER_DOWN);
	if (a->connected[to])
		return;
	if (sim_peers_cut(s, from, to) || b->paused || b->vm_off)
		set_peer_state(s, from, to, TS_PEER_DOWN);
	else
		set_peer_state(s, from, to,
		    b->core == NULL ? TS_PEER_REFUSED : TS_PEER_UP);
}

static void
on_redial(sim_t *s, void *arg)
{
	int from = GPOINTER_TO_INT(arg);

	sim_schedule(s, REDIAL_MS, on_redial, arg);
	if (!sim_entry_running(&s->entry[from]))
		return;
	for (int to = 0; to < s->opts.entries; to++)
		if (to != from)
			dial_peer(s, from, to);
}

/*
 * Closes the connections of an entry whose process has ended.  Its peers get
 * no notice of that if its VM has been powered off.
 */
static void
close_connections(sim_t *s, int ended, bool vm_off)
{
	for (int i = 0; i < s->opts.entries; i++) {
		s->entry[ended].connected[i] = false;
		if (vm_off || i == ended || !s->entry[i].connected[ended])
			continue;
		if (sim_entry_running(&s->entry[i]))
			set_peer_state(s, i, ended, TS_PEER_DOWN);
		else
			s->entry[i].connected[ended] = false;
	}
}

/*
 * Processes of entries.
 */

/* The tick of one process; arg encodes the timer's generation and the entry. */
static void
on_tick(sim_t *s, void *arg)
{
	int64_t id = GPOINTER_TO_SIZE(arg);
	sim_entry_t *e = &s->entry[id % SIM_ENTRIES_MAX];
	ts_ev_t ev = { .kind = TS_EV_TICK };

	if (e->core == NULL || e->timer_generation != id / SIM_ENTRIES_MAX)
		return;
	sim_schedule(s, s->opts.tick_ms, on_tick, arg);
	if (e->paused)
		return;
	sim_poll_vm_list(s, (int)(e - s->entry));
	sim_input(s, e, &ev);
}

void
sim_start_entry(sim_t *s, int i)
{
	sim_entry_t *e = &s->entry[i];
	ts_core_opts_t o = s->opts.core_opts;

	if (e->core != NULL)
		return;
	e->incarnation = s->now;
	e->vm_off = e->paused = e->stopping = false;
	e->conf_version = 0;
	e->last_fault_ms = s->now;
	e->timer_generation++;
	o.name = e->name;
	o.zone = e->zone;
	o.incarnation = e->incarnation;
	o.seed = g_rand_int(s->rand);
	o.emit = sim_emit;
	o.ctx = e;
	o.lease_ms = s->opts.lease_ms;
	e->core = ts_core_new(&o);
	sim_trace(s, "%s starts", e->name);
	sim_schedule(s, 0, on_tick,
	    GSIZE_TO_POINTER(
		(gsize)(e->timer_generation * SIM_ENTRIES_MAX + i)));
}

void
sim_kill_entry(sim_t *s, int i, bool vm_off)
{
	sim_entry_t *e = &s->entry[i];

	if (e->core == NULL)
		return;
	sim_trace(s, "%s %s", e->name, vm_off ? "loses its VM" : "is killed");
	ts_core_free(e->core);
	e->core = NULL;
	e->vm_off = vm_off;
	sim_abandon_requests(s, i);
	close_connections(s, i, vm_off);
	if (vm_off)
		sim_publish_vm_list(s);
}

void
sim_pause_entry(sim_t *s, int i, bool paused)
{
	sim_entry_t *e = &s->entry[i];
	g_autoptr(GPtrArray) waiting = NULL;

	if (e->core == NULL || e->paused == paused)
		return;
	sim_trace(s, "%s %s", e->name, paused ? "is paused" : "resumes");
	e->paused = paused;
	if (paused)
		return;
	waiting = e->undelivered;
	e->undelivered = g_ptr_array_new();
	/* What waited in the kernel comes in a burst, before any tick. */
	for (guint k = 0; k < waiting->len; k++)
		on_delivery(s, waiting->pdata[k]);
}

void
sim_stop_entry(sim_t *s, int i)
{
	ts_ev_t ev = { .kind = TS_EV_STOP };

	if (!sim_entry_running(&s->entry[i]) || s->entry[i].stopping)
		return;
	sim_trace(s, "%s is asked to stop", s->entry[i].name);
	s->entry[i].stopping = true;
	sim_input(s, &s->entry[i], &ev);
}

int
sim_pick_entry(sim_t *s)
{
	int first = g_rand_int_range(s->rand, 0, s->opts.entries);

	for (int k = 0; k < s->opts.entries; k++) {
		int i = (first + k) % s->opts.entries;

		if (sim_entry_running(&s->entry[i]) &&
		    ts_core_ready(s->entry[i].core))
			return i;
	}
	return -1;
}

/*
 * The configuration: the texts of the routes and pools tables, in one row.
 */
static char *
routes_text(void)
{
	return g_strdup(
	    "[route q]\ncaller=a\npath=/quotes\npool=quotes\n"
	    "token_sha256=" SIM_TOKEN_SHA256 "\nidempotent=true\n"
	    "deadline_ms=2000\n[route b]\ncaller=a\npath=/bookings\n"
	    "pool=bookings\ntoken_sha256=" SIM_TOKEN_SHA256
	    "\ndeadline_ms=3000\n"
	    "[route c]\ncaller=a\npath=/balance\npool=balance\n"
	    "token_sha256=" SIM_TOKEN_SHA256 "\nidempotent=true\n"
	    "deadline_ms=3000\n");
}

static char *
pools_text(const sim_t *s, const bool *zone_out)
{
	GString *t = g_string_new(NULL);
	g_autoptr(GString) zones = g_string_new(NULL);

	for (int z = 0; z < s->opts.zones; z++) {
		g_string_append_printf(t, "[zone %s]\nstate=%s\n", sim_zones[z],
		    zone_out[z] ? "out" : "in");
		g_string_append_printf(
		    zones, "%s%s", z ? "," : "", sim_zones[z]);
	}
	for (int p = 0; p < SIM_POOLS; p++)
		g_string_append_printf(t,
		    "[pool %s]\nkind=service\nzones=%s\n"
		    "slots=%d\nconns=64\ncpu_milli=%d\nmem_bytes=1000000\n"
		    "priority=%d\nport=%d\n",
		    sim_pools[p], zones->str, p == 0 ? 8 : 2,
		    s->opts.worker_cpus >= 16 ? 1000 : 250, p, 9000 + p);
	g_string_append_printf(t,
	    "[pool sweeps]\nkind=batch\nzones=%s\n"
	    "[team t]\nquota_cpu_milli=%" PRId64 "\n[team small]\n"
	    "quota_cpu_milli=4000\n",
	    zones->str, (int64_t)s->opts.workers * s->opts.worker_cpus * 1000);
	return g_string_free(t, FALSE);
}

/* A negative zone writes the configuration as it is. */
bool
sim_try_set_zone(sim_t *s, int zone, bool out, int64_t base)
{
	ts_txn_row_t change = { .write = true };
	bool zone_out[SIM_ZONES_MAX];
	g_autofree char *routes = routes_text();
	g_autofree char *pools = NULL;
	size_t conflict;
	int64_t version;

	memcpy(zone_out, s->zone_out, sizeof(zone_out));
	if (zone >= 0)
		zone_out[zone] = out;
	pools = pools_text(s, zone_out);
	change.row.kind = TS_ROW_CONF;
	change.row.version = base;
	g_strlcpy(change.row.key, "conf", sizeof(change.row.key));
	change.row.u.conf.routes = routes;
	change.row.u.conf.pools = pools;
	if (fake_table_txn(&s->table, &change, 1, &version, &conflict) !=
	    TS_TXN_OK)
		return false;
	s->conf_version = version;
	s->conf_changed_ms = s->now;
	if (zone >= 0 && s->zone_out[zone] != out) {
		s->zone_out[zone] = out;
		s->zone_changed_ms[zone] = s->now;
	}
	sim_trace(s, "configuration version %" PRId64 ": zone %d %s", version,
	    zone, out ? "out" : "in");
	return true;
}

void
sim_set_zone(sim_t *s, int zone, bool out)
{
	sim_try_set_zone(s, zone, out, s->conf_version);
}

static void
add_workers(sim_t *s)
{
	for (int i = 0; i < s->opts.workers; i++) {
		sim_worker_t *w = &s->worker[i];
		int z = (i / s->opts.workers_per_rack) % s->opts.zones;

		g_snprintf(w->name, sizeof(w->name), "w%d", i);
		w->zone = sim_zones[z];
		g_snprintf(w->group, sizeof(w->group), "%s.r%d", w->zone,
		    i / s->opts.workers_per_rack);
		w->capacity.cpu_milli = s->opts.worker_cpus * 1000;
		w->capacity.mem_bytes =
		    s->opts.worker_cpus * INT64_C(4000000000);
		fake_worker_init(&w->fake, w->name, s->now, 1);
		w->fake.clock_skew_ms =
		    g_rand_int_range(s->rand, -50000, 50000);
		w->fake.on_attempt = sim_on_attempt;
		w->fake.ctx = s;
	}
}

static void
on_worker_tick(sim_t *s, void *arg)
{
	for (int i = 0; i < s->opts.workers; i++)
		fake_worker_tick(&s->worker[i].fake, s->now);
	sim_schedule(s, WORKER_TICK_MS, on_worker_tick, arg);
}

sim_t *
sim_new(const sim_opts_t *o)
{
	sim_t *s = g_new0(sim_t, 1);

	s->opts = *o;
	if (s->opts.tick_ms == 0)
		s->opts.tick_ms = 50;
	s->rand = g_rand_new_with_seed(o->seed);
	s->now = START_MS;
	s->store_latency_ms = 4;
	s->events = g_sequence_new(NULL);
	fake_table_init(&s->table);
	g_queue_init(&s->vm_lists);
	s->requests =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	s->requests_by_local_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->executions_by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->original_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->accepted_jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->cancel_accepted_ms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->first_start_ms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->first_done_ms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->cancel_requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->latency_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
	add_workers(s);
	for (int i = 0; i < s->opts.entries; i++) {
		sim_entry_t *e = &s->entry[i];

		g_snprintf(e->name, sizeof(e->name), "e%d", i);
		e->zone = sim_zones[i % s->opts.zones];
		e->sim = s;
		e->undelivered = g_ptr_array_new();
		sim_schedule(s, i * 7, on_redial, GINT_TO_POINTER(i));
	}
	sim_try_set_zone(s, -1, false, 0);
	sim_publish_vm_list(s);
	for (int i = 0; i < s->opts.entries; i++)
		sim_start_entry(s, i);
	sim_schedule(s, WORKER_TICK_MS, on_worker_tick, NULL);
	return s;
}

void
sim_free(sim_t *s)
{
	/* Events that have not run, and their arguments, are not freed. */
	for (int i = 0; i < s->opts.entries; i++) {
		if (s->entry[i].core != NULL)
			ts_core_free(s->entry[i].core);
		g_ptr_array_free(s->entry[i].undelivered, TRUE);
	}
	for (int i = 0; i < s->opts.workers; i++)
		fake_worker_clear(&s->worker[i].fake);
	g_sequence_free(s->events);
	fake_table_clear(&s->table);
	g_hash_table_destroy(s->requests_by_local_id);
	g_hash_table_destroy(s->requests);
	g_hash_table_destroy(s->executions_by_key);
	g_hash_table_destroy(s->original_ids);
	g_hash_table_destroy(s->running);
	g_hash_table_destroy(s->accepted_jobs);
	g_hash_table_destroy(s->cancel_accepted_ms);
	g_hash_table_destroy(s->first_start_ms);
	g_hash_table_destroy(s->first_done_ms);
	g_hash_table_destroy(s->cancel_requests);
	g_array_free(s->latency_us, TRUE);
	g_rand_free(s->rand);
	g_free(s->violation);
	g_free(s);
}

static int
compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t
sim_quantile(GArray *a, double q)
{
	if (a->len == 0)
		return 0;
	g_array_sort(a, compare_int64);
	return g_array_index(a, int64_t, (guint)(q * (a->len - 1)));
}
