/*
 * The list of workers as entries of a simulated cell read it, some of them late.
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

/* A list of workers as it was read at a time. */
typedef struct {
	sim_entry_t *entry;
	uint64_t generation;
	int64_t as_of_ms;
	sched_worker_info_t info[WORKERS_MAX];
	const char *labels[WORKERS_MAX][2]; /* each list ends with NULL */
	bool listed[WORKERS_MAX];
	guint former[WORKERS_MAX]; /* former processes of each worker */
} worker_list_t;

/* An entry that was delayed gets to a list that it has read. */
static void
on_list_read(world_t *w, void *arg)
{
	worker_list_t *l = arg;
	sim_entry_t *en = l->entry;

	if (entry_is_alive(en, l->generation) && en->paused) {
		world_schedule(w, PAUSED_RETRY_MS, on_list_read, l);
		return;
	}
	/* A newer list may have overtaken it when the delay ended. */
	if (entry_is_alive(en, l->generation) &&
	    l->as_of_ms >= en->list_as_of_ms) {
		en->list_as_of_ms = l->as_of_ms;
		for (int32_t i = 0; i < w->nworkers; i++) {
			for (guint k = 0; k < l->former[i]; k++)
				sched_worker_left(en->sched,
				    g_ptr_array_index(
					w->workers[i].former_ids, k),
				    w->now_ms);
			if (l->listed[i])
				sched_worker_listed(
				    en->sched, &l->info[i], w->now_ms);
			else
				sched_worker_left(
				    en->sched, l->info[i].id, w->now_ms);
		}
		sched_feed_read(en->sched, SCHED_FEED_WORKERS, l->as_of_ms);
	}
	g_free(l);
}

void
workers_send_list(sim_entry_t *en)
{
	world_t *w = en->world;
	worker_list_t *l = g_new0(worker_list_t, 1);

	l->entry = en;
	l->generation = en->generation;
	l->as_of_ms = w->now_ms;
	for (int32_t i = 0; i < w->nworkers; i++) {
		const sim_worker_t *wk = &w->workers[i];

		l->labels[i][0] = wk->label;
		l->listed[i] = wk->listed;
		l->former[i] = wk->former_ids->len;
		l->info[i] =
		    (sched_worker_info_t){ .id = g_intern_string(wk->id),
			    .service = "s",
			    .address = wk->address,
			    .zone = wk->zone,
			    .rack = "r1",
			    .labels = l->labels[i],
			    .cpu_milli = wk->cpu_milli,
			    .mem_mb = wk->mem_mb,
			    .started_ms = wk->started_ms,
			    .draining = wk->draining };
	}
	if (en->list_lag_ms == 0)
		on_list_read(w, l);
	else
		world_schedule(w, en->list_lag_ms, on_list_read, l);
}
