/*
 * Random schedules of faults against the scheduler of a cell, in virtual
 * time.  cells FROM TO [-v]: seeds; exits with 1 when any failed.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../cell/cell.h"

#define TROUBLE_MS  25000 /* faults and jobs */
#define QUIET_MS    60000 /* after which all jobs must have ended */
#define WAITING_MS  5000  /* a job that waits longer must be counted */
#define TOUCH_MS    3000  /* bounds count so long after a fault */
#define JOBS_GAP_MS 400

static void
make_step(world_t *w, Sched__Step *st)
{
	sched__step__init(st);
	st->count = world_int(w, 1, 5);
	st->cpu_milli = world_int(w, 500, 4000);
	st->mem_mb = world_int(w, 100, 6000);
	st->estimate_ms = world_int(w, 100, 2500);
	st->filler = world_chance(w, 0.4);
	/* All of a step must fit on the fewest workers there may be. */
	st->per_worker = st->count <= 2 && world_chance(w, 0.4) ? 1 : 0;
	st->checkpoints = world_chance(w, 0.5);
	/* Few, as what lasts keeps its room for good. */
	st->lasting = g_hash_table_size(w->jobs) < 12 && world_chance(w, 0.03);
}

static void
submit(world_t *w, void *arg)
{
	Sched__Job d = SCHED__JOB__INIT;
	Sched__Step steps[3], *list[3];
	int32_t after[3][1];
	bool lasting = false;

	(void)arg;
	if (w->now_ms < TROUBLE_MS)
		world_after(w, world_int(w, 10, 2 * JOBS_GAP_MS), submit, NULL);
	/* Nothing is accepted while the store is down. */
	if (w->store_down)
		return;
	d.queue = "q";
	d.service = "s";
	d.spec = "x";
	d.accepted_ms = w->now_ms;
	d.max_attempts = 2;
	d.stretch = 2;
	d.target_ms = 1000;
	d.n_steps = (size_t)world_int(w, 1, 3);
	d.steps = list;
	for (size_t i = 0; i < d.n_steps; i++) {
		make_step(w, &steps[i]);
		list[i] = &steps[i];
		lasting = lasting || steps[i].lasting;
		if (i > 0 && world_chance(w, 0.7)) {
			after[i][0] = (int32_t)i - 1;
			steps[i].after = after[i];
			steps[i].n_after = 1;
		}
	}
	if (lasting) {
		d.n_steps = 1;
		steps[0].lasting = true;
	}
	world_submit(w, &d, !lasting && world_chance(w, 0.03));
}

static const char *
any_job(world_t *w, bool lasting_only)
{
	g_autoptr(GList) all = g_hash_table_get_values(w->jobs);
	guint n = g_list_length(all);
	sim_job_t *j;

	if (n == 0)
		return NULL;
	j = g_list_nth_data(all, (guint)world_int(w, 0, (int32_t)n - 1));
	return lasting_only && !j->def->steps[0]->lasting ? NULL : j->id;
}

/*
 * Faults, each with its end.
 */
static void
node_back(world_t *w, void *arg)
{
	sim_node_t *n = arg;

	node_boot(w, n);
	n->frozen = n->store_cut = false;
	world_tell_zones(w, n);
}

static void
vm_back(world_t *w, void *arg)
{
	sim_vm_t *v = arg;

	if (!v->up)
		vm_boot(w, v);
	v->fails_all = v->stalls = v->draining = false;
	v->lose_orders = 0;
	memset(v->cut, 0, sizeof(v->cut));
}

static void
vm_unlisted(world_t *w, void *arg)
{
	sim_vm_t *v = arg;

	(void)w;
	if (!v->up)
		v->listed = false;
}

static void
store_back(world_t *w, void *arg)
{
	(void)arg;
	w->down_ms = w->now_ms;
	w->store_down = false;
	w->store_ms = 4;
	w->store_lost = 0;
}

static void
zone_back(world_t *w, void *arg)
{
	world_evacuate(w, arg, false);
}

static sim_node_t *
some_node(world_t *w)
{
	sim_node_t *n = &w->nodes[world_int(w, 0, w->nnodes - 1)];

	/* Half of the time it is the owner that suffers. */
	for (int32_t i = 0; world_chance(w, 0.5) && i < w->nnodes; i++)
		if (w->nodes[i].up && !w->nodes[i].frozen &&
		    sched_is_owner(w->nodes[i].s))
			n = &w->nodes[i];
	return n;
}

static void
fault_node(world_t *w, int32_t kind, int64_t ms)
{
	sim_node_t *n = some_node(w);

	if (kind == 0) {
		node_kill(n);
	} else if (kind == 1) {
		n->frozen = n->up;
	} else if (kind == 2) {
		n->store_cut = true;
	} else {
		for (int32_t i = 0; i < w->nnodes; i++) {
			node_kill(&w->nodes[i]);
			world_after(w, ms, node_back, &w->nodes[i]);
		}
	}
	world_after(w, ms, node_back, n);
}

static void
fault_vm(world_t *w, int32_t kind, int64_t ms)
{
	sim_vm_t *v = &w->vms[world_int(w, 0, w->nvms - 1)];

	switch (kind) {
	case 0:
		vm_crash(w, v);
		world_after(w, 3300, vm_unlisted, v);
		break;
	case 1:
		for (int32_t i = 0; i < w->nnodes; i++)
			v->cut[i] = true;
		break;
	case 2:
		v->cut[world_int(w, 0, w->nnodes - 1)] = true;
		break;
	case 3:
		v->fails_all = true;
		break;
	case 4:
		v->lose_orders = 0.3;
		break;
	default:
		v->draining = true;
		v->drain_ms = w->now_ms;
	}
	world_after(w, ms, vm_back, v);
}

static void
fault_store(world_t *w, int32_t kind, int64_t ms)
{
	if (kind == 0) {
		w->store_down = true;
		w->down_ms = w->now_ms;
	}
	if (kind == 1)
		w->store_ms = world_int(w, 50, 450);
	if (kind == 2) {
		w->store_lost = 0.35;
		w->store_late = world_chance(w, 0.5);
	}
	world_after(w, ms, store_back, NULL);
}

/* A data centre is cut off: its entries from the store, its workers from
 * the entries of the others. */
static void
fault_zone(world_t *w, int64_t ms)
{
	int32_t zone = world_int(w, 0, 2);

	for (int32_t i = 0; i < w->nnodes; i++) {
		bool in = i % 3 == zone;

		if (in) {
			w->nodes[i].store_cut = true;
			world_after(w, ms, node_back, &w->nodes[i]);
		}
		for (int32_t k = 0; k < w->nvms; k++)
			if ((k % 3 == zone) != in)
				w->vms[k].cut[i] = true;
	}
	for (int32_t k = 0; k < w->nvms; k++)
		world_after(w, ms, vm_back, &w->vms[k]);
}

static void
fault(world_t *w, void *arg)
{
	int64_t ms = world_int(w, 300, 9000);
	static const char *const zones[] = { "z0", "z1", "z2" };
	const char *id;
	int32_t z;

	(void)arg;
	if (w->now_ms >= TROUBLE_MS)
		return;
	switch (world_int(w, 0, 9)) {
	case 0:
	case 1:
	case 2:
		fault_node(w, world_int(w, 0, 3), ms);
		break;
	case 3:
	case 4:
	case 5:
		fault_vm(w, world_int(w, 0, 5), ms);
		break;
	case 6:
		fault_store(w, world_int(w, 0, 2), ms);
		break;
	case 7:
		z = world_int(w, 0, 2);
		world_evacuate(w, zones[z], true);
		world_after(w, ms, zone_back, (void *)zones[z]);
		break;
	case 8:
		fault_zone(w, ms);
		break;
	default:
		id = any_job(w, false);
		/* The store takes no cancel while it is down. */
		if (id != NULL && !w->store_down)
			world_cancel(w, id);
	}
	world_after(w, world_int(w, 200, 4000), fault, NULL);
}

/* Every entry in touch tells at least half of the jobs that wait. */
static void
check_waiting(world_t *w, void *arg)
{
	GHashTableIter it;
	int32_t n = 0;
	void *v;

	(void)arg;
	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const sim_job_t *j = v;

		n += !j->begun && !j->cancelled &&
		    w->now_ms - j->accepted_ms > WAITING_MS;
	}
	for (int32_t i = 0; i < w->nnodes; i++) {
		sim_node_t *e = &w->nodes[i];

		if (!e->up || e->frozen || e->store_cut || w->store_ms > 10 ||
		    w->store_lost > 0)
			e->calm_ms = w->now_ms;
		if (w->now_ms - MAX(e->calm_ms, w->down_ms) < TOUCH_MS ||
		    w->store_down || e->calm_ms == w->now_ms)
			continue;
		if (sched_waiting_jobs(e->s, "q") * 2 < n)
			world_fail(w, "waiting", "%s tells %d of %d", e->name,
			    sched_waiting_jobs(e->s, "q"), n);
	}
	world_after(w, 100, check_waiting, NULL);
}

/*
 * What must be so at the end.
 */
static void
check_job(world_t *w, const sim_job_t *j)
{
	g_autofree char *key = g_strconcat(j->id, SCHED_KEY_PROGRESS, NULL);
	const row_t *r = store_row(w, key);
	Sched__Progress *p = NULL;
	Sched__State st = SCHED__STATE__PENDING;

	if (r != NULL)
		p = sched__progress__unpack(
		    NULL, r->bytes->len, r->bytes->data);
	if (p != NULL) {
		st = p->state;
		sched__progress__free_unpacked(p, NULL);
	}
	if (j->def->steps[0]->lasting && !j->cancelled) {
		for (int32_t i = 0; i < j->def->steps[0]->count; i++) {
			g_autofree char *t =
			    g_strdup_printf("%s.0.0.%d", j->id, i);

			if (world_truth(w, t)->running != 1)
				world_fail(w, "lasting", "%s runs %d times", t,
				    world_truth(w, t)->running);
		}
		return;
	}
	if (st == SCHED__STATE__PENDING || st == SCHED__STATE__RUNNING)
		world_fail(w, "not ended", "%s state %d", j->id, st);
}

static bool
run_seed(uint64_t seed, bool verbose)
{
	world_t *w =
	    world_new(seed, 2 + (int32_t)(seed % 3), 4 + (int32_t)(seed % 9));
	GHashTableIter it;
	void *v;
	bool ok;

	w->verbose = verbose;
	world_after(w, 1500, submit, NULL);
	world_after(w, 3000, fault, NULL);
	world_after(w, 3000, check_waiting, NULL);
	world_run(w, TROUBLE_MS);
	world_run(w, TROUBLE_MS + QUIET_MS);
	g_hash_table_iter_init(&it, w->jobs);
	for (int32_t i = 0; i < w->nvms; i++)
		vm_update(w, &w->vms[i]);
	while (w->failed == NULL && g_hash_table_iter_next(&it, NULL, &v))
		check_job(w, v);
	ok = w->failed == NULL;
	if (!ok)
		printf("seed %" PRIu64 ": %s: %s at %.3f\n", seed, w->failed,
		    w->detail, (double)w->now_ms / 1000);
	else if (verbose)
		printf("seed %" PRIu64 ": %u jobs, %" PRId64 " starts\n", seed,
		    g_hash_table_size(w->jobs), w->starts);
	world_free(w);
	return ok;
}

int
main(int argc, char **argv)
{
	uint64_t from = argc > 1 ? g_ascii_strtoull(argv[1], NULL, 10) : 1;
	uint64_t to = argc > 2 ? g_ascii_strtoull(argv[2], NULL, 10) : from;
	bool verbose = argc > 3 && strcmp(argv[3], "-v") == 0;
	uint64_t failed = 0;

	for (uint64_t s = from; s <= to; s++)
		failed += !run_seed(s, verbose);
	printf("cells: %" PRIu64 " passed, %" PRIu64 " failed\n",
	    to - from + 1 - failed, failed);
	return failed > 0;
}
