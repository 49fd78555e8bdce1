/*
 * The text that the status command prints: the state of this entry, and of the
 * groups, workers, peers and zones as this entry sees them.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

static const char *const group_state_names[] = { "-", "claiming", "owned",
	"draining", "releasing" };

static int
compare_names(const void *a, const void *b)
{
	/* The name is the first member of groups, peers and workers (vm). */
	return g_strcmp0(**(const char ***)a, **(const char ***)b);
}

/* The groups, peers or workers of a table, sorted by name. */
static GPtrArray *
values_by_name(GHashTable *h)
{
	GPtrArray *a = hash_values(h);

	g_ptr_array_sort(a, compare_names);
	return a;
}

static void
append_groups(const ts_core_t *c, GString *s)
{
	g_autoptr(GPtrArray) a = values_by_name(c->groups);

	g_string_append_printf(s, "%-20s %-12s %-16s %6s %-10s %5s %6s\n",
	    "GROUP", "ZONE", "OWNER", "EPOCH", "HERE", "JOBS", "QUEUED");
	for (guint i = 0; i < a->len; i++) {
		const group_t *g = a->pdata[i];

		g_string_append_printf(s,
		    "%-20s %-12s %-16s %6" PRId64 " %-10s %5u %6d\n", g->name,
		    g->zone ? g->zone : "?",
		    g->row.owner ? g->row.owner : "none", g->row.epoch,
		    group_state_names[g->state], g_hash_table_size(g->jobs),
		    g_sequence_get_length(g->queue) +
			g_sequence_get_length(g->late_queue));
	}
}

/* Appends a line for each worker whose group is ours. */
static void
append_workers(const ts_core_t *c, GString *s)
{
	g_autoptr(GPtrArray) a = values_by_name(c->workers);

	g_string_append_printf(s, "%-16s %-20s %-9s %5s %8s %6s\n", "WORKER",
	    "GROUP", "STATE", "TASKS", "REQUESTS", "HARM%");
	for (guint i = 0; i < a->len; i++) {
		const worker_t *w = a->pdata[i];
		const char *state = "ok";
		int32_t requests = 0;

		if (!owner_holds_group(w->group))
			continue;
		for (int32_t k = 0; k < w->nslot_use; k++)
			requests +=
			    w->slot_use[k].in_progress + w->slot_use[k].orphans;
		if (!w->synced)
			state = "unheard";
		else if (w->vm.leaving)
			state = "leaving";
		else if (w->zone_is_out)
			state = "zone out";
		else if (c->now_ms < w->quarantined_until_ms)
			state = "held";
		else if (c->now_ms < w->suspect_until_ms)
			state = "suspect";
		g_string_append_printf(s,
		    "%-16s %-20s %-9s %5u %8d %6" PRId64 "\n", w->vm.name,
		    w->group->name, state, w->tasks->len, requests,
		    w->interference_pct);
	}
}

static void
append_peers(const ts_core_t *c, GString *s)
{
	g_autoptr(GPtrArray) a = values_by_name(c->peers);

	g_string_append_printf(s, "%-16s %-8s %8s %s\n", "PEER", "STATE",
	    "CONFIG", "HEARD_MS_AGO");
	for (guint i = 0; i < a->len; i++) {
		const peer_t *p = a->pdata[i];

		g_string_append_printf(s,
		    "%-16s %-8s %8" PRId64 " %" PRId64 "\n", p->name,
		    !p->up	    ? "down" :
			p->draining ? "draining" :
				      "up",
		    p->conf_version, c->now_ms - p->heard_ms);
	}
}

static void
append_zones(const ts_core_t *c, GString *s)
{
	g_string_append(s, "zones");
	for (guint i = 0; c->conf != NULL && i < c->conf->zones->len; i++) {
		const ts_zone_t *z = c->conf->zones->pdata[i];

		g_string_append_printf(
		    s, " %s=%s", z->name, z->out_of_service ? "out" : "in");
	}
	g_string_append_c(s, '\n');
}

char *
ts_core_status(const ts_core_t *c)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "entry %s incarnation %" PRId64 " %s\n",
	    c->opts.name, c->opts.incarnation,
	    c->draining		 ? "draining" :
		ts_core_ready(c) ? "ready" :
				   "not ready");
	g_string_append_printf(s,
	    "config version %" PRId64 " confirmed %" PRId64 " ms ago\n",
	    c->conf ? c->conf->version : 0, c->now_ms - c->conf_confirmed_ms);
	g_string_append_printf(s, "table service %s\n",
	    c->store_failing_since_ms ? "does not answer" : "ok");
	append_zones(c, s);
	append_groups(c, s);
	append_workers(c, s);
	append_peers(c, s);
	g_string_append(s, "refusals");
	for (int i = TS_C_REFUSE_NOT_READY; i <= TS_C_FAIL_BUDGET; i++)
		if (c->counters[i] != 0)
			g_string_append_printf(s, " %s=%" PRIu64,
			    ts_counter_name((ts_counter_t)i), c->counters[i]);
	g_string_append_c(s, '\n');
	return g_string_free(s, FALSE);
}
