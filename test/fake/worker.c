/*
 * A fake worker: runs tasks under leases by its own clock, accepts syncs only
 * of the newest owner, and reports how an attempt ended until the owner orders
 * it to forget the attempt.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "fake.h"

#define CHECKPOINT_MS 100 /* duration of a checkpoint */

static fake_task_t *
task_at(const fake_worker_t *w, guint i)
{
	return &g_array_index(w->tasks, fake_task_t, i);
}

void
fake_worker_init(fake_worker_t *w, const char *name, int64_t agent_incarnation,
    int64_t vm_incarnation)
{
	memset(w, 0, sizeof(*w));
	w->name = name;
	w->agent_incarnation = agent_incarnation;
	w->vm_incarnation = vm_incarnation;
	w->tasks = g_array_new(FALSE, TRUE, sizeof(fake_task_t));
	w->slots = g_array_new(FALSE, TRUE, sizeof(ts_slot_report_t));
}

void
fake_worker_clear(fake_worker_t *w)
{
	g_array_free(w->tasks, TRUE);
	g_array_free(w->slots, TRUE);
}

static void
end_task(fake_worker_t *w, fake_task_t *t, ts_task_state_t state)
{
	if (t->state != TS_TASK_RUNNING)
		return;
	t->state = state;
	if (w->on_attempt != NULL)
		w->on_attempt(w->ctx, w, t, false);
}

int64_t
fake_true_run_ms(const ts_task_order_t *o)
{
	if (g_str_has_prefix(o->class, "long"))
		return o->run_ms * 10;
	if (g_str_has_prefix(o->class, "short"))
		return o->run_ms / 10;
	return o->run_ms;
}

/* Lets an attempt progress up to now, and ends it when its time has come. */
static void
advance_task(fake_worker_t *w, fake_task_t *t, int64_t now)
{
	int64_t dt = now - t->last_tick_ms;

	if (t->state != TS_TASK_RUNNING)
		return;
	/* Only what ran before the end of the lease is progress. */
	if (now + w->clock_skew_ms >= t->order.lease_until_ms)
		dt = MIN(dt,
		    MAX(t->order.lease_until_ms - w->clock_skew_ms -
			    t->last_tick_ms,
			0));
	t->last_tick_ms = now;
	if (t->checkpoint_done_ms != 0) {
		if (now >= t->checkpoint_done_ms)
			end_task(w, t, TS_TASK_CHECKPOINTED);
		return;
	}
	t->progress_ms += dt * t->order.share_pct / 100;
	w->work_done_ms += dt * t->order.share_pct / 100;
	if (w->fails_all_tasks || strcmp(t->order.class, "broken") == 0)
		end_task(w, t, TS_TASK_FAILED);
	else if (t->progress_ms >= fake_true_run_ms(&t->order))
		end_task(w, t, TS_TASK_DONE);
	else if (now + w->clock_skew_ms >= t->order.lease_until_ms)
		end_task(w, t, TS_TASK_STOPPED);
}

void
fake_worker_tick(fake_worker_t *w, int64_t now)
{
	for (guint i = 0; i < w->tasks->len; i++)
		advance_task(w, task_at(w, i), now);
}

/* The index of the ordered attempt, or -1. */
static int
find_task(const fake_worker_t *w, const ts_task_order_t *o)
{
	for (guint i = 0; i < w->tasks->len; i++)
		if (task_at(w, i)->order.attempt == o->attempt &&
		    strcmp(task_at(w, i)->order.id, o->id) == 0)
			return (int)i;
	return -1;
}

/* Renews the lease of a running attempt, or starts it while it may start. */
static void
start_or_renew(
    fake_worker_t *w, const ts_task_order_t *o, int index, int64_t now)
{
	fake_task_t t = { 0 };

	if (index >= 0) {
		fake_task_t *task = task_at(w, (guint)index);

		task->order.lease_until_ms =
		    MAX(task->order.lease_until_ms, o->lease_until_ms);
		task->order.share_pct = o->share_pct;
		return;
	}
	if (now + w->clock_skew_ms >= o->start_by_ms ||
	    now + w->clock_skew_ms >= o->lease_until_ms)
		return;
	t.order = *o;
	t.order.class = g_intern_string(o->class);
	t.progress_ms = o->progress_ms;
	t.last_tick_ms = now;
	g_array_append_val(w->tasks, t);
	if (w->on_attempt != NULL)
		w->on_attempt(w->ctx, w, task_at(w, w->tasks->len - 1), true);
}

static void
apply_order(fake_worker_t *w, const ts_task_order_t *o, int64_t now)
{
	int index = find_task(w, o);
	fake_task_t *t = index < 0 ? NULL : task_at(w, (guint)index);

	switch (o->command) {
	case TS_TASK_RUN:
		start_or_renew(w, o, index, now);
		break;
	case TS_TASK_CHECKPOINT:
		if (t != NULL && t->checkpoint_done_ms == 0)
			t->checkpoint_done_ms = now + CHECKPOINT_MS;
		break;
	case TS_TASK_STOP:
		if (t != NULL)
			end_task(w, t, TS_TASK_STOPPED);
		break;
	case TS_TASK_FORGET:
		if (t != NULL && t->state != TS_TASK_RUNNING)
			g_array_remove_index(w->tasks, (guint)index);
		break;
	}
}

bool
fake_worker_sync(fake_worker_t *w, const ts_sync_t *s, int64_t now)
{
	fake_worker_tick(w, now);
	if (s->epoch < w->epoch || (s->epoch == w->epoch && s->seq <= w->seq))
		return false;
	w->epoch = s->epoch;
	w->seq = s->seq;
	/* Ignore orders for an earlier VM of the same name. */
	if (s->incarnation != w->vm_incarnation)
		return true;
	for (size_t i = 0; i < s->norders; i++)
		apply_order(w, &s->orders[i], now);
	return true;
}

void
fake_worker_answer(
    fake_worker_t *w, int64_t now, GArray *tasks, ts_sync_answer_t *a)
{
	memset(a, 0, sizeof(*a));
	for (guint i = 0; i < w->tasks->len; i++) {
		fake_task_t *t = task_at(w, i);
		ts_task_report_t r = { 0 };

		g_strlcpy(r.id, t->order.id, sizeof(r.id));
		r.attempt = t->order.attempt;
		r.state = t->state;
		r.progress_ms = t->progress_ms;
		r.used_cpu_milli =
		    t->order.size.cpu_milli * t->order.share_pct / 100;
		r.used_mem_bytes = t->order.size.mem_bytes;
		g_array_append_val(tasks, r);
	}
	a->worker = w->name;
	a->incarnation = w->vm_incarnation;
	a->clock_ms = now + w->clock_skew_ms;
	a->epoch = w->epoch;
	/* Of the last accepted sync, which may not be the one answered here. */
	a->seq = w->seq;
	a->tasks = (ts_task_report_t *)tasks->data;
	a->ntasks = tasks->len;
	a->slots = (ts_slot_report_t *)w->slots->data;
	a->nslots = w->slots->len;
}

void
fake_worker_crash(fake_worker_t *w, int64_t agent_incarnation)
{
	for (guint i = 0; i < w->tasks->len; i++)
		end_task(w, task_at(w, i), TS_TASK_STOPPED);
	g_array_set_size(w->tasks, 0);
	g_array_set_size(w->slots, 0);
	w->agent_incarnation = agent_incarnation;
	w->epoch = w->seq = 0;
}

int32_t *
fake_worker_running(fake_worker_t *w, const char *pool)
{
	ts_slot_report_t s = { g_intern_string(pool), 0 };

	for (guint i = 0; i < w->slots->len; i++)
		if (g_array_index(w->slots, ts_slot_report_t, i).pool == s.pool)
			return &g_array_index(w->slots, ts_slot_report_t, i)
				    .running;
	g_array_append_val(w->slots, s);
	return &g_array_index(w->slots, ts_slot_report_t, w->slots->len - 1)
		    .running;
}
