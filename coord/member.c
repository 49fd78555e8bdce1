/*
 * Membership: the other entries (peers) and the list of VMs.  Keeps which peers
 * are connected and which are proved to have ended, and exchanges digests with
 * them: what each entry has free and in use.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define DIGEST_GROUPS_MAX 16 /* in a digest: the groups with most free */

/* The state of a peer, created at first use. */
peer_t *
member_get_peer(ts_core_t *c, const char *name)
{
	peer_t *p;

	name = g_intern_string(name);
	p = g_hash_table_lookup(c->peers, name);
	if (p != NULL)
		return p;
	p = g_new0(peer_t, 1);
	p->name = name;
	p->free_slots = g_hash_table_new(g_str_hash, g_str_equal);
	p->team_cpu_milli = g_hash_table_new(g_str_hash, g_str_equal);
	p->groups = g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	g_hash_table_insert(c->peers, (void *)name, p);
	return p;
}

/* A copy of v on the heap, as a value for a hash table. */
static int64_t *
new_int64(int64_t v)
{
	int64_t *p = g_new(int64_t, 1);

	*p = v;
	return p;
}

/* The incarnation of an entry in the list of VMs, or -1 if it is not listed. */
static int64_t
listed_incarnation(const ts_core_t *c, const char *name)
{
	int64_t *p = g_hash_table_lookup(c->listed_entries, name);

	return p == NULL ? -1 : *p;
}

/* Updates a worker, or adds a new one, from the list of VMs. */
static void
update_listed_worker(ts_core_t *c, const ts_vm_t *vm)
{
	worker_t *w = g_hash_table_lookup(c->workers, vm->name);

	if (w == NULL)
		w = worker_new(c, vm);
	worker_note_incarnation(c, w, vm->incarnation);
	w->vm.incarnation = vm->incarnation;
	w->listed = true;
	w->vm.leaving = vm->leaving;
	w->vm.capacity = vm->capacity;
	w->vm.port = vm->port;
	w->vm.ip = g_intern_string(vm->ip);
}

/*
 * Whether the list has removed this worker.  It has not if a newer incarnation
 * of the VM is known from elsewhere, which the list may not contain yet.
 */
static bool
was_unlisted(const worker_t *w)
{
	return !w->listed && w->vm.incarnation >= w->newest_incarnation;
}

/*
 * A new list of VMs has arrived: updates entries and workers, and removes the
 * workers that are no longer listed.  The jobs that ran there are queued again.
 */
void
member_handle_vm_list(ts_core_t *c, const ts_ev_t *ev)
{
	GHashTableIter it;
	void *v;

	g_hash_table_remove_all(c->listed_entries);
	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((worker_t *)v)->listed = false;
	for (size_t i = 0; i < ev->u.vms.n; i++) {
		const ts_vm_t *vm = &ev->u.vms.vms[i];

		if (vm->kind == TS_VM_ENTRY)
			g_hash_table_replace(c->listed_entries,
			    (void *)g_intern_string(vm->name),
			    new_int64(vm->incarnation));
		else
			update_listed_worker(c, vm);
	}
	g_autoptr(GPtrArray) unlisted = g_ptr_array_new();
	g_hash_table_iter_init(&it, c->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (was_unlisted(v))
			g_ptr_array_add(unlisted, v);
	for (guint i = 0; i < unlisted->len; i++) {
		worker_lose_tasks(c, unlisted->pdata[i]);
		worker_remove(c, unlisted->pdata[i]);
	}
	c->vm_list_read = true;
	pool_invalidate(c);
}

/* A connection to a peer was made, lost or refused. */
void
member_handle_connection(ts_core_t *c, const ts_ev_t *ev)
{
	peer_t *p = member_get_peer(c, ev->u.peer.name);
	bool was_up = p->up;

	switch (ev->u.peer.state) {
	case TS_PEER_UP:
		p->up = true;
		p->refusals = 0;
		p->draining = false;
		p->heard_ms = c->now_ms;
		if (ev->u.peer.incarnation > p->incarnation)
			p->incarnation = ev->u.peer.incarnation;
		emit_log(
		    c, TS_LOG_PEER_UP, p->name, "", ev->u.peer.incarnation);
		c->next_digest_ms = 0;
		return;
	case TS_PEER_REFUSED:
		if (p->refusals++ == 0)
			p->first_refusal_ms = c->now_ms;
		p->last_refusal_ms = c->now_ms;
		break;
	case TS_PEER_DOWN:
		p->refusals = 0;
		break;
	}
	p->up = false;
	g_hash_table_remove_all(p->free_slots);
	if (was_up) {
		emit_log(c, TS_LOG_PEER_DOWN, p->name, "", p->incarnation);
		request_handle_peer_down(c, p->name);
	}
}

/*
 * Whether the process that claimed a group with this incarnation is gone, that
 * is, proved to have ended: its port has refused several connections in a row
 * over a span of time, a newer incarnation answers or is listed, or it is not
 * in the list of VMs although the claim was seen long ago, at since_ms.
 * Silence alone proves nothing.
 */
bool
member_is_gone(
    const ts_core_t *c, const char *name, int64_t incarnation, int64_t since_ms)
{
	const peer_t *p = g_hash_table_lookup(c->peers, name);
	int64_t listed;

	if (strcmp(name, c->opts.name) == 0)
		return incarnation < c->opts.incarnation;
	/*
	 * A connected peer is running, but a connection may outlive its VM: it
	 * counts only while the peer is heard from.
	 */
	if (p != NULL && p->up && c->now_ms - p->heard_ms <= SILENT_PEER_MS)
		return p->incarnation > incarnation;
	if (p != NULL && p->incarnation > incarnation)
		return true;
	if (p != NULL && p->refusals >= GONE_MIN_REFUSALS &&
	    p->last_refusal_ms - p->first_refusal_ms >= GONE_MIN_SPAN_MS)
		return true;
	if (!c->vm_list_read)
		return false;
	listed = listed_incarnation(c, name);
	if (listed > incarnation)
		return true;
	if (listed >= 0)
		return false;
	/* A new VM may claim a group before the list contains it. */
	return c->now_ms - since_ms >= GONE_UNLISTED_MS;
}

/*
 * Sends a message to a peer.  With a forward or reply goes the body of the
 * request or answer, which the program around the core keeps under req.
 */
void
member_send(ts_core_t *c, const char *to, const ts_msg_t *m, uint64_t req)
{
	ts_act_t a = { .kind = TS_ACT_SEND_MSG };

	a.u.msg.to = to;
	a.u.msg.msg = m;
	a.u.msg.req = req;
	c->opts.emit(c->opts.ctx, &a);
}

/* The peer that owns the group, or NULL if none does or it is not connected. */
peer_t *
member_owner_peer(const ts_core_t *c, const group_t *g)
{
	peer_t *p;

	if (g->row.owner == NULL)
		return NULL;
	p = g_hash_table_lookup(c->peers, g->row.owner);
	return p != NULL && p->up ? p : NULL;
}

/* Replaces the contents of a table, name -> int, by a digest's free values. */
static void
replace_counts(GHashTable *into, const ts_capacity_t *capacities, size_t n)
{
	g_hash_table_remove_all(into);
	for (size_t i = 0; i < n; i++)
		g_hash_table_insert(into,
		    (void *)g_intern_string(capacities[i].name),
		    GINT_TO_POINTER(
			(int)CLAMP(capacities[i].free, 0, G_MAXINT)));
}

/*
 * A peer's digest has arrived: stores what it has free and in use.  If its
 * configuration is older than ours, sends it ours; if it is newer, makes the
 * next tick read it from the store.
 */
void
member_handle_digest(ts_core_t *c, const char *from, const ts_msg_t *m)
{
	peer_t *p = member_get_peer(c, from);

	p->heard_ms = c->now_ms;
	p->draining = m->draining;
	p->conf_version = m->conf_version;
	replace_counts(p->free_slots, m->pools, m->npools);
	replace_counts(p->team_cpu_milli, m->teams, m->nteams);
	g_array_set_size(p->groups, 0);
	for (size_t i = 0; i < m->ngroups; i++) {
		ts_capacity_t r = m->groups[i];

		r.name = g_intern_string(r.name);
		r.zone = g_intern_string(r.zone);
		g_array_append_val(p->groups, r);
	}
	if (c->conf != NULL && m->conf_version < c->conf->version) {
		ts_msg_t out = { .kind = TS_MSG_CONF };

		out.conf_version = c->conf->version;
		out.routes = c->routes_text;
		out.pools_text = c->pools_text;
		member_send(c, p->name, &out, 0);
	} else if (c->conf == NULL || m->conf_version > c->conf->version)
		c->next_conf_read_ms = 0;
}

/* Orders groups by what they have free less what is queued, highest first. */
static int
compare_capacity(const void *a, const void *b)
{
	int64_t x = ((const ts_capacity_t *)a)->free -
	    ((const ts_capacity_t *)a)->queued;
	int64_t y = ((const ts_capacity_t *)b)->free -
	    ((const ts_capacity_t *)b)->queued;

	return (x < y) - (x > y);
}

/*
 * Adds the groups that we own to a digest, or the DIGEST_GROUPS_MAX of them
 * with most free.
 */
static void
add_group_capacities(ts_core_t *c, GArray *groups)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->groups);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		group_t *g = v;
		ts_capacity_t r = { g->name, g->zone, 0, g->queued_cpu_milli };

		if (!owner_accepts_work(g))
			continue;
		for (guint i = 0; i < g->workers->len; i++) {
			ts_res_t available =
			    worker_available_for_batch(g->workers->pdata[i]);

			r.free += MAX(available.cpu_milli, 0);
		}
		g_array_append_val(groups, r);
	}
	g_array_sort(groups, compare_capacity);
	if (groups->len > DIGEST_GROUPS_MAX)
		g_array_set_size(groups, DIGEST_GROUPS_MAX);
}

/* Sends all connected peers what is free and in use here. */
static void
send_digest(ts_core_t *c)
{
	g_autoptr(GArray) pools =
	    g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	g_autoptr(GArray) groups =
	    g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	g_autoptr(GArray) teams =
	    g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	ts_msg_t m = { .kind = TS_MSG_DIGEST };
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		pool_t *p = v;
		ts_capacity_t r = { p->name, "", pool_advertised_slots(c, p),
			0 };

		g_array_append_val(pools, r);
	}
	add_group_capacities(c, groups);
	g_hash_table_iter_init(&it, c->team_cpu_milli);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		ts_capacity_t r = { k, "", *(int64_t *)v, 0 };

		if (r.free == 0)
			continue;
		g_array_append_val(teams, r);
	}
	m.conf_version = c->conf == NULL ? 0 : c->conf->version;
	m.draining = c->draining;
	m.pools = (ts_capacity_t *)pools->data;
	m.npools = pools->len;
	m.groups = (ts_capacity_t *)groups->data;
	m.ngroups = groups->len;
	m.teams = (ts_capacity_t *)teams->data;
	m.nteams = teams->len;
	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((peer_t *)v)->up)
			member_send(c, ((peer_t *)v)->name, &m, 0);
}

/*
 * Drops the free slots that silent peers had advertised, and sends digests
 * every digest_ms.
 */
void
member_tick(ts_core_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_t *p = v;

		/* What a silent peer has free is no longer known. */
		if (p->up && c->now_ms - p->heard_ms > SILENT_PEER_MS)
			g_hash_table_remove_all(p->free_slots);
	}
	if (c->now_ms >= c->next_digest_ms) {
		c->next_digest_ms = c->now_ms + c->opts.digest_ms;
		send_digest(c);
	}
}
