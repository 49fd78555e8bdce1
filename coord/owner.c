/*
 * Ownership of worker groups.  A group has one owner, kept in its row; the
 * claim does not run out by time.  It ends when the owner releases it or is
 * proved gone (see member_is_gone()).
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define GROUP_PREFIX   "group/"
#define GROUPS_POLL_MS 1000
#define ASSIGN_MS      250
#define SETTLE_MS      1500 /* entries alive this long count in a share */
#define SILENT_PEER_MS 3000

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

/* Takes new work. */
bool
owner_accepts_work(const group_t *g)
{
	return g->state == GROUP_OWNED;
}

/* Looks after its workers, whether or not it takes new work. */
bool
owner_holds_group(const group_t *g)
{
	return g->state == GROUP_OWNED || g->state == GROUP_DRAINING ||
	    g->state == GROUP_RELEASING;
}

int32_t
owner_count_groups(const ts_core_t *c)
{
	GHashTableIter it;
	int32_t n = 0;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((group_t *)v)->state != GROUP_IDLE;
	return n;
}

static char *
group_key(const group_t *g)
{
	return g_strconcat(GROUP_PREFIX, g->name, NULL);
}

static void
stop_work(ts_core_t *c, group_t *g)
{
	g->state = GROUP_IDLE;
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

/* Somebody else owns it, or will: nothing more is done for it here. */
void
owner_handle_loss(ts_core_t *c, group_t *g)
{
	if (!owner_holds_group(g))
		return;
	COUNT(c, TS_C_FENCED);
	emit_log(c, TS_LOG_GROUP_LOST, g->name,
	    g->row.owner == NULL ? "" : g->row.owner, g->row.epoch);
	stop_work(c, g);
}

static bool
is_mine(const ts_core_t *c, const group_t *g)
{
	return g->row.owner != NULL &&
	    strcmp(g->row.owner, c->opts.name) == 0 &&
	    g->row.incarnation == c->opts.incarnation;
}

static void
take_row(ts_core_t *c, group_t *g, const ts_row_t *row)
{
	if (row->version <= g->row_version)
		return;
	g->row_version = row->version;
	g->row = row->u.group;
	if (g->row.owner != NULL)
		g->row.owner = g_intern_string(g->row.owner);
	g->row_seen_ms = c->now_ms;
	if (owner_holds_group(g) && !is_mine(c, g))
		owner_handle_loss(c, g);
}

static void
groups_read(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
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
		take_row(c, owner_get_group(c, name, NULL), row);
	}
}

static void
read_groups(ts_core_t *c)
{
	if (c->groups_read_pending)
		return;
	c->groups_read_pending = true;
	c->next_groups_read_ms = c->now_ms + GROUPS_POLL_MS;
	read_start(c, GROUP_PREFIX, c->groups_version, groups_read, NULL);
}

static void
claimed(ts_core_t *c, update_t *u, update_result_t r)
{
	group_t *g = u->arg;
	const ts_row_t *row = &g_array_index(u->rows, ts_txn_row_t, 0).row;

	g->pending_writes--;
	if (r == UPDATE_CONFLICT) {
		g->state = GROUP_IDLE;
		c->next_groups_read_ms = 0;
		return;
	}
	if (u->version < g->row_version) { /* overtaken while settling */
		g->state = GROUP_IDLE;
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

static void
claim(ts_core_t *c, group_t *g)
{
	g_autofree char *key = group_key(g);
	update_t *u = update_new(claimed, g);
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

static void
released(ts_core_t *c, update_t *u, update_result_t r)
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
	stop_work(c, g);
	m.key = g->name;
	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &v))
		if (((peer_t *)v)->up)
			member_send(c, ((peer_t *)v)->name, &m, 0);
}

/* Releases a draining group once nothing of ours is in progress there. */
static void
release_if_idle(ts_core_t *c, group_t *g)
{
	g_autofree char *key = NULL;
	update_t *u;
	ts_row_t *row;

	if (g->state != GROUP_DRAINING || g->requests_in_progress > 0 ||
	    g->pending_writes > 0)
		return;
	key = group_key(g);
	u = update_new(released, g);
	row = update_add_row(u, TS_ROW_GROUP, key, g->row_version, true);
	row->u.group.epoch = g->row.epoch;
	g->state = GROUP_RELEASING;
	g->pending_writes++;
	update_submit(c, u);
}

/* A peer released a group: read its row now rather than at the next poll. */
void
owner_handle_release(ts_core_t *c, const char *group)
{
	(void)group;
	c->next_groups_read_ms = 0;
	c->next_assign_ms = 0;
}

static void
begin_release(ts_core_t *c, group_t *g)
{
	if (g->state != GROUP_OWNED)
		return;
	g->state = GROUP_DRAINING;
	pool_invalidate(c);
}

void
owner_release_all(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		begin_release(c, v);
}

/* Rendezvous score of a group at an entry. */
static uint32_t
score(const char *group, const char *entry)
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

typedef struct {
	const char *name;
	int32_t count;
} share_t;

static int
by_name(const void *a, const void *b)
{
	return strcmp(((const share_t *)a)->name, ((const share_t *)b)->name);
}

static int
by_group(const void *a, const void *b)
{
	return strcmp(
	    (*(group_t *const *)a)->name, (*(group_t *const *)b)->name);
}

/* Entries that may own groups, as this one sees them. */
static GArray *
live_entries(ts_core_t *c)
{
	GArray *live = g_array_new(FALSE, TRUE, sizeof(share_t));
	GHashTableIter it;
	share_t me = { c->opts.name, 0 };
	void *v;

	if (!c->draining)
		g_array_append_val(live, me);
	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_t *p = v;
		share_t s = { p->name, 0 };

		if (p->up && !p->draining &&
		    c->now_ms - p->heard_ms <= SILENT_PEER_MS)
			g_array_append_val(live, s);
	}
	g_array_sort(live, by_name);
	return live;
}

static share_t *
share_of(GArray *live, const char *name)
{
	for (guint i = 0; name != NULL && i < live->len; i++) {
		share_t *s = &g_array_index(live, share_t, i);

		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

/* Whether a group may be claimed at all now. */
static bool
claimable(const ts_core_t *c, const group_t *g)
{
	if (g->row.owner == NULL)
		return true;
	return !is_mine(c, g) &&
	    member_is_gone(c, g->row.owner, g->row.incarnation, g->row_seen_ms);
}

/* The entry with room under the cap that scores highest for the group. */
static share_t *
best_share(GArray *live, const group_t *g, int32_t cap)
{
	share_t *best = NULL;

	for (guint i = 0; i < live->len; i++) {
		share_t *s = &g_array_index(live, share_t, i);

		if (s->count < cap &&
		    (best == NULL ||
			score(g->name, s->name) > score(g->name, best->name)))
			best = s;
	}
	return best;
}

/*
 * Every entry works out the same shares from the same rows: owners keep what
 * they have up to an even share, the rest goes by rendezvous.
 */
static void
assign(ts_core_t *c)
{
	g_autoptr(GArray) live = live_entries(c);
	g_autoptr(GPtrArray) all = hash_values(c->groups);
	int32_t cap, n = 0;
	share_t *s;

	if (live->len == 0)
		return;
	g_ptr_array_sort(all, by_group);
	for (guint i = 0; i < all->len; i++)
		n += ((group_t *)all->pdata[i])->workers->len > 0;
	cap = (n + (int32_t)live->len - 1) / (int32_t)live->len;
	for (guint i = 0; i < all->len; i++) {
		group_t *g = all->pdata[i];

		s = share_of(live, g->row.owner);
		if (s == NULL || g->workers->len == 0)
			continue;
		if (s->count++ >= cap && strcmp(s->name, c->opts.name) == 0 &&
		    c->now_ms - g->owned_since_ms > SETTLE_MS)
			begin_release(c, g);
	}
	for (guint i = 0; i < all->len; i++) {
		group_t *g = all->pdata[i];

		/* Ours by the row though we let go of it: nobody else may. */
		if (is_mine(c, g) && g->state == GROUP_IDLE)
			claim(c, g);
		if (g->workers->len == 0 || !claimable(c, g))
			continue;
		if (g->row.owner != NULL && share_of(live, g->row.owner))
			share_of(live, g->row.owner)->count--;
		s = best_share(live, g, cap);
		if (s == NULL)
			continue;
		s->count++;
		if (strcmp(s->name, c->opts.name) == 0 &&
		    g->state == GROUP_IDLE)
			claim(c, g);
	}
}

void
owner_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	if (c->now_ms >= c->next_groups_read_ms)
		read_groups(c);
	if (c->groups_read && c->vm_list_read &&
	    c->now_ms >= c->next_assign_ms && !c->draining) {
		/* The work grows with the groups, so its pace falls. */
		c->next_assign_ms =
		    c->now_ms + MAX(ASSIGN_MS, (int64_t)c->group_list->len / 2);
		assign(c);
	}
	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v))
		release_if_idle(c, v);
}
