/*
 * Workers: leases by their own clock, runs, the lists of ends, and orders
 * that get no answer and are carried out seconds later.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define ORDER_CALL_MS 700
#define LOOK_CALL_MS  800
#define DRAIN_MS      2000
#define EVACUATE_MS   5000
#define CANCEL_MS     3000
#define TOUCH_MS      3000

static int64_t
clock_of(const world_t *w, const sim_vm_t *v)
{
	return v->clock_off_ms +
	    (int64_t)((double)(w->now_ms - v->born_ms) * v->rate);
}

void
vm_boot(world_t *w, sim_vm_t *v)
{
	if (v->runs == NULL) {
		v->runs = g_ptr_array_new_with_free_func(g_free);
		v->ends = g_ptr_array_new_with_free_func(g_free);
		v->refused = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
	}
	v->up = v->listed = true;
	v->draining = v->fails_all = v->stalls = false;
	v->born_ms = w->now_ms;
	v->clock_off_ms = world_int(w, 100, 900000);
	v->token = v->until_ms = v->seq = 0;
}

void
vm_crash(world_t *w, sim_vm_t *v)
{
	if (!v->up)
		return;
	vm_update(w, v);
	for (guint i = 0; i < v->runs->len; i++) {
		sim_run_t *r = g_ptr_array_index(v->runs, i);

		world_truth(w, r->name)->running--;
	}
	g_ptr_array_set_size(v->runs, 0);
	g_ptr_array_set_size(v->ends, 0);
	g_hash_table_remove_all(v->refused);
	v->up = false;
}

static void
refuse_up_to(sim_vm_t *v, const char *name, int64_t run)
{
	int64_t *h = g_hash_table_lookup(v->refused, name);

	if (h == NULL) {
		h = g_new0(int64_t, 1);
		g_hash_table_insert(v->refused, g_strdup(name), h);
	}
	*h = MAX(*h, run);
}

static void
end_run(world_t *w, sim_vm_t *v, sim_run_t *r, sched_outcome_t how)
{
	sim_end_t *e = g_new0(sim_end_t, 1);
	truth_t *t = world_truth(w, r->name);

	e->seq = ++v->seq;
	g_strlcpy(e->name, r->name, sizeof(e->name));
	e->run = r->run;
	e->how = how;
	if (how == SCHED_RUN_DONE)
		t->ended_done = true;
	if (how == SCHED_RUN_FAILED)
		t->ended_failed++;
	t->running--;
	refuse_up_to(v, r->name, r->run);
	g_ptr_array_add(v->ends, e);
	g_ptr_array_remove(v->runs, r);
}

static void
lapse(world_t *w, sim_vm_t *v)
{
	for (guint i = 0; i < v->ends->len; i++)
		((sim_end_t *)g_ptr_array_index(v->ends, i))->lapsed_since =
		    true;
	while (v->runs->len > 0)
		end_run(w, v, g_ptr_array_index(v->runs, 0), SCHED_RUN_STOPPED);
}

/* Brings runs and lease up to the time now. */
void
vm_update(world_t *w, sim_vm_t *v)
{
	if (!v->up)
		return;
	/* A lease lapses whether anything runs under it or not. */
	if (clock_of(w, v) > v->until_ms)
		lapse(w, v);
	for (guint i = v->runs->len; i-- > 0;) {
		sim_run_t *r = g_ptr_array_index(v->runs, i);

		if (r->stopping) {
			if (w->now_ms >= r->gone_ms)
				end_run(w, v, r, SCHED_RUN_STOPPED);
			continue;
		}
		if (!v->stalls)
			r->work_ms -= w->now_ms - r->since_ms;
		r->since_ms = w->now_ms;
		if (r->work_ms > 0 || r->def->lasting)
			continue;
		end_run(w, v, r,
		    v->fails_all || r->work_ms <= -1000000 ? SCHED_RUN_FAILED :
							     SCHED_RUN_DONE);
	}
}

/*
 * Checks of a start.
 */
static sim_job_t *
job_of(world_t *w, const char *task)
{
	char id[SCHED_JOB_ID_BYTES + 1];

	g_strlcpy(id, task, sizeof(id));
	return g_hash_table_lookup(w->jobs, id);
}

static void
check_order(world_t *w, const sim_job_t *j, const char *task, int32_t step)
{
	const Sched__Step *st = j->def->steps[step];

	for (size_t i = 0; i < st->n_after; i++)
		for (int32_t k = 0; k < j->def->steps[st->after[i]]->count;
		     k++) {
			g_autofree char *t = g_strdup_printf(
			    "%s.0.%d.%d", j->id, st->after[i], k);

			if (!world_truth(w, t)->ended_done)
				world_fail(w, "order", "%s before %s", task, t);
		}
}

static void
check_start(world_t *w, sim_vm_t *v, const sched_order_t *o, sim_job_t *j,
    int32_t step, bool late)
{
	truth_t *t = world_truth(w, o->task);
	const int64_t *out = g_hash_table_lookup(w->out, v->zone);
	int64_t used = 0;

	if (t->running > 0 && !j->def->steps[step]->duplicates)
		world_fail(w, "twice", "%s run %" PRId64 " on %s", o->task,
		    o->run, v->id);
	if (t->done)
		world_fail(w, "twice", "%s run %" PRId64 " after its end",
		    o->task, o->run);
	if (t->failed >= j->def->max_attempts && !j->def->steps[step]->lasting)
		world_fail(w, "budget", "%s run %" PRId64, o->task, o->run);
	check_order(w, j, o->task, step);
	for (guint i = 0; i < v->runs->len; i++) {
		const sim_run_t *r = g_ptr_array_index(v->runs, i);

		used += r->def->filler ? 0 : r->def->cpu_milli;
	}
	if (used > v->cpu_milli)
		world_fail(w, "limit", "%s on %s", o->task, v->id);
	if (late)
		return;
	/* The bounds count while the store answers, and 3 s after. */
	if (w->store_down || w->now_ms < w->down_ms + TOUCH_MS)
		return;
	if (j->cancelled && w->now_ms > j->cancel_ms + CANCEL_MS)
		world_fail(w, "cancel", "%s started after it", o->task);
	if (v->draining && w->now_ms > v->drain_ms + DRAIN_MS)
		world_fail(w, "drain", "%s on %s", o->task, v->id);
	if (out != NULL && w->now_ms > *out + EVACUATE_MS)
		world_fail(w, "evacuated", "%s on %s", o->task, v->id);
}

static sim_run_t *
find_run(sim_vm_t *v, const char *name)
{
	for (guint i = 0; i < v->runs->len; i++) {
		sim_run_t *r = g_ptr_array_index(v->runs, i);

		if (strcmp(r->name, name) == 0)
			return r;
	}
	return NULL;
}

static bool
has_room(const sim_vm_t *v, const Sched__Step *d)
{
	int64_t cpu = d->filler ? 0 : d->cpu_milli, mem = d->mem_mb;

	for (guint i = 0; i < v->runs->len; i++) {
		const sim_run_t *r = g_ptr_array_index(v->runs, i);

		cpu += r->def->filler ? 0 : r->def->cpu_milli;
		mem += r->def->mem_mb;
	}
	return cpu <= v->cpu_milli && mem <= v->mem_mb;
}

static sched_order_result_t
do_start(world_t *w, sim_vm_t *v, const sched_order_t *o, bool late)
{
	sim_job_t *j = job_of(w, o->task);
	const int64_t *refused = g_hash_table_lookup(v->refused, o->task);
	sim_run_t *r = find_run(v, o->task);
	int32_t step = 0;
	double factor;

	if (o->deadline_ms <= clock_of(w, v))
		return SCHED_ORDER_EXPIRED;
	v->until_ms =
	    MAX(v->until_ms, MIN(o->deadline_ms, clock_of(w, v) + MAX_HOLD_MS));
	if (r != NULL && r->run == o->run)
		return SCHED_ORDER_OK;
	if ((refused != NULL && o->run <= *refused) ||
	    (r != NULL && o->run < r->run))
		return SCHED_ORDER_STALE_RUN;
	if (j == NULL) {
		world_fail(w, "unasked", "%s", o->task);
		return SCHED_ORDER_INVALID;
	}
	sscanf(o->task + SCHED_JOB_ID_BYTES, ".%*d.%d", &step);
	if (!has_room(v, j->def->steps[step]))
		return SCHED_ORDER_NO_ROOM;
	/* Those that nobody asks have gone on by their own clocks. */
	for (int32_t i = 0; i < w->nvms; i++)
		vm_update(w, &w->vms[i]);
	check_start(w, v, o, j, step, late);
	r = g_new0(sim_run_t, 1);
	g_strlcpy(r->name, o->task, sizeof(r->name));
	r->run = o->run;
	r->def = j->def->steps[step];
	factor = 0.5 + (double)(g_str_hash(o->task) % 100) / 100;
	r->work_ms = (int64_t)((double)r->def->estimate_ms * factor);
	if (j->poison)
		r->work_ms = -1000000;
	r->since_ms = w->now_ms;
	g_ptr_array_add(v->runs, r);
	world_truth(w, o->task)->running++;
	j->begun = true;
	w->starts++;
	return SCHED_ORDER_OK;
}

static sched_order_result_t
do_order(world_t *w, sim_vm_t *v, const sched_order_t *o, bool late)
{
	sim_run_t *r = find_run(v, o->task);

	if (o->token < v->token)
		return SCHED_ORDER_FENCED;
	v->token = o->token;
	if (o->kind == SCHED_START)
		return do_start(w, v, o, late);
	if (o->kind == SCHED_PACE)
		return r == NULL ? SCHED_ORDER_INVALID : SCHED_ORDER_OK;
	refuse_up_to(v, o->task, o->run);
	if (r != NULL && r->run == o->run && !r->stopping) {
		r->stopping = true;
		r->gone_ms = w->now_ms + world_int(w, 0, STOP_MS);
	}
	return SCHED_ORDER_OK;
}

/*
 * Calls.
 */
typedef struct {
	sim_node_t *n;
	uint64_t life;
	sim_vm_t *v;
	int64_t born_ms;
	sched_order_t o;
	char task[64];
	sched_poll_t l;
	sched_order_result_t result;
	int64_t clock_ms;
	int64_t give_up_ms;
	bool look;
	GArray *running; /* of sched_running_t */
	GArray *ended;	 /* of sched_ended_t */
	int64_t born_seen_ms;
} vm_call_t;

static void
call_free(vm_call_t *c)
{
	if (c->running != NULL)
		g_array_unref(c->running);
	if (c->ended != NULL)
		g_array_unref(c->ended);
	g_free(c);
}

static void
on_order_answer(world_t *w, void *arg)
{
	vm_call_t *c = arg;

	if (node_hears(c->n, c->life) && c->n->frozen) {
		world_after(w, FROZEN_MS, on_order_answer, c);
		return;
	}
	if (node_hears(c->n, c->life))
		sched_order_done(
		    c->n->s, c->o.id, c->result, c->clock_ms, w->now_ms);
	call_free(c);
}

static void
on_order_late(world_t *w, void *arg)
{
	vm_call_t *c = arg;

	if (c->v->up && c->v->born_ms == c->born_ms) {
		vm_update(w, c->v);
		do_order(w, c->v, &c->o, true);
	}
	call_free(c);
}

static void
on_order(world_t *w, void *arg)
{
	vm_call_t *c = arg, *late;
	sim_vm_t *v = c->v;

	if (!v->up || v->cut[c->n->index]) {
		c->result = SCHED_ORDER_IN_DOUBT;
		world_after(w, ORDER_CALL_MS, on_order_answer, c);
		return;
	}
	vm_update(w, v);
	if (world_chance(w, v->lose_orders)) {
		late = g_new0(vm_call_t, 1);
		*late = *c;
		late->o.task = late->task;
		world_after(w, world_int(w, 500, 8000), on_order_late, late);
		c->result = SCHED_ORDER_IN_DOUBT;
		world_after(w, ORDER_CALL_MS, on_order_answer, c);
		return;
	}
	c->result = do_order(w, v, &c->o, false);
	c->clock_ms = clock_of(w, v);
	world_after(w, LATENCY_MS, on_order_answer, c);
}

static sim_vm_t *
vm_named(world_t *w, const char *id)
{
	for (int32_t i = 0; i < w->nvms; i++)
		if (strcmp(w->vms[i].id, id) == 0)
			return &w->vms[i];
	return NULL;
}

void
vm_order(sim_node_t *n, const sched_order_t *o)
{
	vm_call_t *c = g_new0(vm_call_t, 1);

	c->n = n;
	c->life = n->life;
	c->v = vm_named(n->w, o->worker);
	c->born_ms = c->v->born_ms;
	c->o = *o;
	g_strlcpy(c->task, o->task, sizeof(c->task));
	c->o.task = c->task;
	c->o.spec = c->o.checkpoint = "";
	world_after(n->w, LATENCY_MS, on_order, c);
}

static void
on_look_answer(world_t *w, void *arg)
{
	vm_call_t *c = arg;
	sched_report_t rep = { .clock_ms = c->clock_ms,
		.born_ms = c->born_seen_ms };

	if (node_hears(c->n, c->life) && c->n->frozen) {
		world_after(w, FROZEN_MS, on_look_answer, c);
		return;
	}
	if (node_hears(c->n, c->life)) {
		if (c->running != NULL) {
			rep.running = (void *)c->running->data;
			rep.nrunning = c->running->len;
			rep.ended = (void *)c->ended->data;
			rep.nended = c->ended->len;
		}
		sched_poll_done(c->n->s, c->l.id, c->v->id, c->result,
		    c->running == NULL ? NULL : &rep, w->now_ms);
	}
	call_free(c);
}

/* What is forgotten counts as taken note of. */
static void
note_ends(world_t *w, sim_vm_t *v, int64_t last_seen)
{
	for (guint i = v->ends->len; i-- > 0;) {
		sim_end_t *e = g_ptr_array_index(v->ends, i);
		truth_t *t = world_truth(w, e->name);

		if (e->seq > last_seen)
			continue;
		if (e->how == SCHED_RUN_DONE && !e->lapsed_since) {
			t->done = true;
			w->done++;
		} else if (e->how == SCHED_RUN_FAILED)
			t->failed++;
		g_ptr_array_remove_index(v->ends, i);
	}
}

static void
fill_report(world_t *w, vm_call_t *c)
{
	sim_vm_t *v = c->v;

	c->running = g_array_new(FALSE, TRUE, sizeof(sched_running_t));
	c->ended = g_array_new(FALSE, TRUE, sizeof(sched_ended_t));
	for (guint i = 0; i < v->runs->len; i++) {
		const sim_run_t *r = g_ptr_array_index(v->runs, i);
		sched_running_t s = { .task = g_intern_string(r->name),
			.run = r->run,
			.checkpoint = "",
			.percent = 100 };

		g_array_append_val(c->running, s);
	}
	for (guint i = 0; i < v->ends->len; i++) {
		const sim_end_t *e = g_ptr_array_index(v->ends, i);
		sched_ended_t s = { .seq = e->seq,
			.task = g_intern_string(e->name),
			.run = e->run,
			.outcome = e->how,
			.checkpoint = "" };

		g_array_append_val(c->ended, s);
	}
	c->clock_ms = clock_of(w, v);
	c->born_seen_ms = v->born_ms;
}

static void
on_look(world_t *w, void *arg)
{
	vm_call_t *c = arg;
	sim_vm_t *v = c->v;

	/* A process that ends takes its connections with it. */
	if (c->born_ms == 0)
		c->born_ms = v->born_ms;
	if (!v->up || v->cut[c->n->index] || v->born_ms != c->born_ms) {
		c->result = SCHED_ORDER_IN_DOUBT;
		world_after(w, c->l.wait_ms + LOOK_CALL_MS, on_look_answer, c);
		return;
	}
	vm_update(w, v);
	if (c->l.token < v->token) {
		c->result = SCHED_ORDER_FENCED;
		world_after(w, LATENCY_MS, on_look_answer, c);
		return;
	}
	v->token = c->l.token;
	if (c->l.deadline_ms > clock_of(w, v))
		v->until_ms = MAX(v->until_ms,
		    MIN(c->l.deadline_ms, clock_of(w, v) + MAX_HOLD_MS));
	c->l.deadline_ms = 0;
	note_ends(w, v, c->l.ended_ack_seq);
	c->l.ended_ack_seq = 0; /* done once, as the call arrives */
	if (v->ends->len == 0 && w->now_ms < c->give_up_ms) {
		world_after(w, 20, on_look, c);
		return;
	}
	fill_report(w, c);
	c->result = SCHED_ORDER_OK;
	world_after(w, LATENCY_MS, on_look_answer, c);
}

void
vm_look(sim_node_t *n, const sched_poll_t *l)
{
	vm_call_t *c = g_new0(vm_call_t, 1);

	c->n = n;
	c->life = n->life;
	c->look = true;
	c->v = vm_named(n->w, l->worker);
	c->l = *l;
	c->give_up_ms = n->w->now_ms + l->wait_ms;
	if (n->w->verbose)
		printf("%7.3f %s look %s last_seen=%" PRId64 " wait=%d\n",
		    (double)n->w->now_ms / 1000, n->name, l->worker,
		    l->ended_ack_seq, l->wait_ms);
	world_after(n->w, LATENCY_MS, on_look, c);
}

/* Tells an entry of the workers in the list. */
void
vm_list(sim_node_t *n)
{
	world_t *w = n->w;

	for (int32_t i = 0; i < w->nvms; i++) {
		sim_vm_t *v = &w->vms[i];
		sched_worker_info_t info = { .id = v->id,
			.service = "s",
			.address = v->id,
			.zone = v->zone,
			.rack = "r1",
			.cpu_milli = v->cpu_milli,
			.mem_mb = v->mem_mb,
			.born_ms = v->born_ms,
			.draining = v->draining };

		if (v->listed)
			sched_worker_listed(n->s, &info, w->now_ms);
		else
			sched_worker_left(n->s, v->id, w->now_ms);
	}
	sched_feed_read(n->s, SCHED_FEED_WORKERS, w->now_ms);
}
