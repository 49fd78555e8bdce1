/*
 * Ownership of worker groups: claims, releases, and an even spread over the
 * entries.  The owner of a group is kept in the group's row.  A claim does not
 * expire: it lasts until its owner releases the group or is proved to have
 * ended (see member_is_gone()) and another entry claims it with a higher epoch.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define GROUP_PREFIX	   "group/"
#define GROUPS_POLL_MS	   1000
#define ASSIGN_INTERVAL_MS 250
/* A group owned this long may be released to even out the shares. */
#define REBALANCE_MIN_OWNED_MS 1500

/*
 * The state of a group, created when it is first seen in the store or the list
 * of VMs.  The zone may be NULL if it is not known.
 */
group_t *
owner_get_group(ts_core_t *c, const char *name, const char *zone)
{
	group_t *g;

	name = g_intern_string(name);
	g = g_hash_table_lookup(c->groups, name);
	if (g == NULL) {
		g = g_new0(group_t, 1);
		g->name = name;
		g->workers = g_ptr_array_new();
		g->jobs = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, batch_free_job);
		g->queue = g_sequence_new(NULL);
		g->late_queue = g_sequence_new(NULL);
		g->row_seen_ms = c->now_ms;
		g_hash_table_insert(c->groups, (void *)name, g);
		g_ptr_array_add(c->group_list, g);
	}
	if (zone != NULL)
		g->zone = g_intern_string(zone);
	return g;
}

/* Whether this entry may start requests and tasks in the group. */
bool
owner_accepts_work(const group_t *g)
{
	return g->state == GROUP_OWNED;
}

/*
 * Whether this entry owns the group, and so looks after its workers, even if it
 * starts nothing new there: until the release has been written.
 */
bool
owner_holds_group(const group_t *g)
{
	return g->state == GROUP_OWNED || g->state == GROUP_DRAINING ||
	    g->state == GROUP_RELEASING;
}

/* Groups that this entry owns, claims or releases. */
int32_t
owner_count_groups(const ts_core_t *c)
{
	GHashTableIter it;
	int32_t n = 0;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((group_t *)v)->state != GROUP_NOT_OWNED;
	return n;
}

/* The row key of a group; the caller frees it. */
static char *
group_key(const group_t *g)
{
	return g_strconcat(GROUP_PREFIX, g->name, NULL);
}

/*
 * Leaves the group to others: drops its jobs and what is known of its workers.
 */
static void
forget_group_work(ts_core_t *c, group_t *g)
{
	g->state = GROUP_NOT_OWNED;
	batch_drop_jobs(c, g);
	for (guint i = 0; i < g->workers->len; i++) {
		worker_t *w = g->workers->pdata[i];

		w->synced = false;
		w->sync_pending = false;
		w->worker_clock_ms = 0;
		g_array_set_size(w->cleanup_orders, 0);
	}
	pool_invalidate(c);
}

/*
 * Another entry has claimed a group that we held, or a write has failed the
 * check that the group is ours: stops all work for it.
 */
void
owner_handle_loss(ts_core_t *c, group_t *g)
{
	if (!owner_holds_group(g))
		return;
	COUNT(c, TS_C_FENCED);
	emit_log(c, TS_LOG_GROUP_LOST, g->name,
	    g->row.owner == NULL ? "" : g->row.owner, g->row.epoch);
	forget_group_work(c, g);
}

/* Whether the group's row names this very process as the owner. */
static bool
row_is_ours(const ts_core_t *c, const group_t *g)
{
	return g->row.owner != NULL &&
	    strcmp(g->row.owner, c->opts.name) == 0 &&
	    g->row.incarnation == c->opts.incarnation;
}

/* Applies a group's row that has been read, if it is newer. */
static void
apply_group_row(ts_core_t *c, group_t *g, const ts_row_t *row)
{
	if (row->version <= g->row_version)
		return;
	g->row_version = row->version;
	g->row = row->u.group;
	if (g->row.owner != NULL)
		g->row.owner = g_intern_string(g->row.owner);
	g->row_seen_ms = c->now_ms;
	if (owner_holds_group(g) && !row_is_ours(c, g))
		owner_handle_loss(c, g);
}

/* The rows of groups that changed since the last read have arrived. */
static void
group_rows_read(
    ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	(void)r;
	c->groups_read_pending = false;
	if (!ok)
		return;
	c->groups_read = true;
	for (size_t i = 0; i < n; i++) {
		const ts_row_t *row = &rows[i];
		const char *name = row->key + strlen(GROUP_PREFIX);

		if (row->kind != TS_ROW_GROUP)
			continue;
		c->groups_version = MAX(c->groups_version, row->version);
		apply_group_row(c, owner_get_group(c, name, NULL), row);
	}
}

/* Reads the rows of groups that changed since the last read. */
static void
poll_group_rows(ts_core_t *c)
{
	if (c->groups_read_pending)
		return;
	c->groups_read_pending = true;
	c->next_groups_read_ms = c->now_ms + GROUPS_POLL_MS;
	read_start(c, GROUP_PREFIX, c->groups_version, group_rows_read, NULL);
}

/* The write of our claim has ended: on success begins work in the group. */
static void
claim_written(ts_core_t *c, update_t *u, update_result_t r)
{
	group_t *g = u->arg;
	const ts_row_t *row = &g_array_index(u->rows, ts_txn_row_t, 0).row;

	g->pending_writes--;
	if (r == UPDATE_CONFLICT) {
		g->state = GROUP_NOT_OWNED;
		c->next_groups_read_ms = 0;
		return;
	}
	/* A newer row has been read meanwhile. */
	if (u->version < g->row_version) {
		g->state = GROUP_NOT_OWNED;
		return;
	}
	g->row_version = u->version;
	g->row = row->u.group;
	g->row_seen_ms = c->now_ms;
	g->state = GROUP_OWNED;
	g->owned_since_ms = c->now_ms;
	g->jobs_loaded = false;
	g->jobs_version = 0;
	for (guint i = 0; i < g->workers->len; i++) {
		worker_t *w = g->workers->pdata[i];

		w->synced = false;
		w->sync_pending = false;
		w->worker_clock_ms = 0;
		w->next_sync_ms = 0;
	}
	batch_read_jobs(c, g);
	pool_invalidate(c);
	emit_log(c, TS_LOG_GROUP_OWNED, g->name, c->opts.name, g->row.epoch);
	if (c->draining)
		owner_release_all(c);
}

/* Writes this entry as the owner of a group, with the next epoch. */
static void
claim_group(ts_core_t *c, group_t *g)
{
	g_autofree char *key = group_key(g);
	update_t *u = update_new(claim_written, g);
	ts_row_t *row =
	    update_add_row(u, TS_ROW_GROUP, key, g->row_version, true);

	COUNT(c, TS_C_CLAIMS);
	if (g->row.owner != NULL)
		COUNT(c, TS_C_TAKEOVERS);
	emit_log(c, TS_LOG_GROUP_CLAIM, g->name,
	    g->row.owner == NULL ? "free" : g->row.owner, g->row.epoch + 1);
	row->u.group.owner = c->opts.name;
	row->u.group.incarnation = c->opts.incarnation;
	row->u.group.epoch = g->row.epoch + 1;
	g->state = GROUP_CLAIMING;
	g->pending_writes++;
	update_submit(c, u);
}

/*
 * The write of our release has ended: notifies the peers that the group is
 * free.
 */
static void
release_written(ts_core_t *c, update_t *u, update_result_t r)
{
	group_t *g = u->arg;
	ts_msg_t m = { .kind = TS_MSG_GROUP_RELEASED };
	GHashTableIter iter;
	void *v;

	g->pending_writes--;
	if (r == UPDATE_CONFLICT) {
		owner_handle_loss(c, g);
		c->next_groups_read_ms = 0;
		return;
	}
	COUNT(c, TS_C_RELEASES);
	emit_log(c, TS_LOG_GROUP_RELEASED, g->name, "", g->row.epoch);
	if (u->version > g->row_version) {
		g->row_version = u->version;
		g->row.owner = NULL;
		g->row.incarnation = 0;
		g->row_seen_ms = c->now_ms;
	}
	forget_group_work(c, g);
	m.key = g->name;
	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &v))
		if (((peer_t *)v)->up)
			member_send(c, ((peer_t *)v)->name, &m, 0);
}

/*
 * Releases a draining group once no request of ours runs there and no write of
 * its rows is pending.
 */
static void
release_if_drained(ts_core_t *c, group_t *g)
{
	g_autofree char *key = NULL;
	update_t *u;
	ts_row_t *row;

	if (g->state != GROUP_DRAINING || g->requests_in_progress > 0 ||
	    g->pending_writes > 0)
		return;
	key = group_key(g);
	u = update_new(release_written, g);
	row = update_add_row(u, TS_ROW_GROUP, key, g->row_version, true);
	row->u.group.epoch = g->row.epoch;
	g->state = GROUP_RELEASING;
	g->pending_writes++;
	update_submit(c, u);
}

/*
 * A peer has released a group: makes the next tick read the rows and assign the
 * groups rather than wait for the next poll.
 */
void
owner_handle_release(ts_core_t *c, const char *group)
{
	(void)group;
	c->next_groups_read_ms = 0;
	c->next_assign_ms = 0;
}

/* Begins the release of a group: nothing new is started there. */
static void
drain_group(ts_core_t *c, group_t *g)
{
	if (g->state != GROUP_OWNED)
		return;
	g->state = GROUP_DRAINING;
	pool_invalidate(c);
}

/*
 * Begins the release of all groups that we own.  Called when a graceful stop
 * begins, and when a claim succeeds after that.
 */
void
owner_release_all(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		drain_group(c, v);
}

/*
 * Score of an entry for a group in rendezvous hashing (32-bit FNV-1a of both
 * names, then the finalizer of MurmurHash3); the highest score wins.
 */
static uint32_t
rendezvous_score(const char *group, const char *entry)
{
	uint32_t h = 2166136261U;

	for (const char *s = group; *s != '\0'; s++)
		h = (h ^ (uint8_t)*s) * 16777619U;
	h = (h ^ '@') * 16777619U;
	for (const char *s = entry; *s != '\0'; s++)
		h = (h ^ (uint8_t)*s) * 16777619U;
	h ^= h >> 16;
	h *= 0x85ebca6bU;
	h ^= h >> 13;
	h *= 0xc2b2ae35U;
	return h ^ (h >> 16);
}

/* An entry and the groups that count as its own in an assignment. */
typedef struct {
	const char *name;
	int32_t ngroups;
} entry_share_t;

static int
compare_names(const void *a, const void *b)
{
	return strcmp(
	    ((const entry_share_t *)a)->name, ((const entry_share_t *)b)->name);
}

static int
compare_group_names(const void *a, const void *b)
{
	return strcmp(
	    (*(group_t *const *)a)->name, (*(group_t *const *)b)->name);
}

/*
 * Entries that may own groups, as this one sees them, sorted by name: itself
 * unless it is draining, and connected peers that are neither draining nor
 * silent.
 */
static GArray *
live_entries(ts_core_t *c)
{
	GArray *live = g_array_new(FALSE, TRUE, sizeof(entry_share_t));
	GHashTableIter it;
	entry_share_t me = { c->opts.name, 0 };
	void *v;

	if (!c->draining)
		g_array_append_val(live, me);
	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_t *p = v;
		entry_share_t s = { p->name, 0 };

		if (p->up && !p->draining &&
		    c->now_ms - p->heard_ms <= SILENT_PEER_MS)
			g_array_append_val(live, s);
	}
	g_array_sort(live, compare_names);
	return live;
}

/* The share of the named entry, or NULL if it is not live. */
static entry_share_t *
find_share(GArray *live, const char *name)
{
	for (guint i = 0; name != NULL && i < live->len; i++) {
		entry_share_t *s = &g_array_index(live, entry_share_t, i);

		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

/* Whether the group has no owner, or one that is proved to have ended. */
static bool
may_be_claimed(const ts_core_t *c, const group_t *g)
{
	if (g->row.owner == NULL)
		return true;
	return !row_is_ours(c, g) &&
	    member_is_gone(c, g->row.owner, g->row.incarnation, g->row_seen_ms);
}

/*
 * The entry with the highest score for the group among those that have fewer
 * than max_groups, or NULL.
 */
static entry_share_t *
best_entry(GArray *live, const group_t *g, int32_t max_groups)
{
	entry_share_t *best = NULL;

	for (guint i = 0; i < live->len; i++) {
		entry_share_t *s = &g_array_index(live, entry_share_t, i);

		if (s->ngroups < max_groups &&
		    (best == NULL ||
			rendezvous_score(g->name, s->name) >
			    rendezvous_score(g->name, best->name)))
			best = s;
	}
	return best;
}

/*
 * Claims and releases groups so that they are spread evenly.  Every entry
 * computes the same assignment from the same rows: owners keep their groups up
 * to an even share; the others go by rendezvous hashing.
 */
static void
assign_groups(ts_core_t *c)
{
	g_autoptr(GArray) live = live_entries(c);
	g_autoptr(GPtrArray) all = hash_values(c->groups);
	int32_t max_groups, n = 0;
	entry_share_t *s;

	if (live->len == 0)
		return;
	g_ptr_array_sort(all, compare_group_names);
	for (guint i = 0; i < all->len; i++)
		n += ((group_t *)all->pdata[i])->workers->len > 0;
	max_groups = (n + (int32_t)live->len - 1) / (int32_t)live->len;
	for (guint i = 0; i < all->len; i++) {
		group_t *g = all->pdata[i];

		s = find_share(live, g->row.owner);
		if (s == NULL || g->workers->len == 0)
			continue;
		if (s->ngroups++ >= max_groups &&
		    strcmp(s->name, c->opts.name) == 0 &&
		    c->now_ms - g->owned_since_ms > REBALANCE_MIN_OWNED_MS)
			drain_group(c, g);
	}
	for (guint i = 0; i < all->len; i++) {
		group_t *g = all->pdata[i];

		/* The row still names us, so no other entry may claim it. */
		if (row_is_ours(c, g) && g->state == GROUP_NOT_OWNED)
			claim_group(c, g);
		if (g->workers->len == 0 || !may_be_claimed(c, g))
			continue;
		if (g->row.owner != NULL && find_share(live, g->row.owner))
			find_share(live, g->row.owner)->ngroups--;
		s = best_entry(live, g, max_groups);
		if (s == NULL)
			continue;
		s->ngroups++;
		if (strcmp(s->name, c->opts.name) == 0 &&
		    g->state == GROUP_NOT_OWNED)
			claim_group(c, g);
	}
}

/*
 * Polls the group rows, assigns groups at intervals, and releases drained
 * groups.
 */
void
owner_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	if (c->now_ms >= c->next_groups_read_ms)
		poll_group_rows(c);
	if (c->groups_read && c->vm_list_read &&
	    c->now_ms >= c->next_assign_ms && !c->draining) {
		/* An assignment costs more with more groups: do fewer. */
		c->next_assign_ms = c->now_ms +
		    MAX(ASSIGN_INTERVAL_MS, (int64_t)c->group_list->len / 2);
		assign_groups(c);
	}
	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		release_if_drained(c, v);
}
