/*
 * The store: conditional writes, whole reads and changes, with answers that
 * are late, lost, or lost and applied seconds later.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"

#define STORE_CLOCK_MS 777000 /* its clock less that of the entries */
#define CALL_MS	       1500   /* until a call without an answer is given up */

typedef enum {
	CALL_CLAIM,
	CALL_WRITE,
	CALL_LOAD,
	CALL_POLL,
	CALL_FEED
} call_kind_t;

typedef struct {
	sim_node_t *n;
	uint64_t life;
	call_kind_t kind;
	int64_t if_version;
	GArray *puts; /* of sched_put_t */
	sched_write_result_t result;
	int64_t version;
	GPtrArray *rows; /* copies, of row_t */
	int64_t after;
	bool late;
} call_t;

static void
put_clear(void *p)
{
	sched_put_t *u = p;

	g_free(u->key);
	if (u->bytes != NULL)
		g_byte_array_unref(u->bytes);
}

static void
row_free(void *p)
{
	row_t *r = p;

	g_free(r->key);
	g_byte_array_unref(r->bytes);
	g_free(r);
}

static call_t *
call_new(sim_node_t *n, call_kind_t kind)
{
	call_t *c = g_new0(call_t, 1);

	c->n = n;
	c->life = n->life;
	c->kind = kind;
	c->puts = g_array_new(FALSE, FALSE, sizeof(sched_put_t));
	g_array_set_clear_func(c->puts, put_clear);
	c->rows = g_ptr_array_new_with_free_func(row_free);
	return c;
}

static void
call_free(call_t *c)
{
	g_array_unref(c->puts);
	g_ptr_array_unref(c->rows);
	g_free(c);
}

row_t *
store_row(world_t *w, const char *key)
{
	return g_hash_table_lookup(w->rows, key);
}

static void
put(world_t *w, const char *key, const void *bytes, size_t n, int64_t version)
{
	row_t *r = g_new0(row_t, 1);

	r->key = g_strdup(key);
	r->bytes = g_byte_array_new();
	g_byte_array_append(r->bytes, bytes, (guint)n);
	r->version = version;
	g_hash_table_remove(w->rows, key);
	g_hash_table_insert(w->rows, r->key, r);
}

void
store_put(world_t *w, const char *key, const void *bytes, size_t n)
{
	put(w, key, bytes, n, ++w->version);
}

/* A job shown as completed must have all its tasks done. */
static void
check_end(world_t *w, const char *key, const GByteArray *bytes)
{
	Sched__Progress *p =
	    sched__progress__unpack(NULL, bytes->len, bytes->data);
	char id[SCHED_JOB_ID_BYTES + 1];
	sim_job_t *j;

	g_strlcpy(id, key, sizeof(id));
	j = g_hash_table_lookup(w->jobs, id);
	for (size_t i = 0; j != NULL && p != NULL && i < j->def->n_steps &&
	     p->state == SCHED__STATE__COMPLETED;
	     i++)
		for (int32_t k = 0; k < j->def->steps[i]->count; k++) {
			g_autofree char *t =
			    g_strdup_printf("%s.0.%zu.%d", id, i, k);

			if (!world_truth(w, t)->ended_done)
				world_fail(w, "completed", "%s not done", t);
		}
	if (j != NULL && p != NULL && p->state == SCHED__STATE__CANCELLED &&
	    !j->cancelled)
		world_fail(w, "cancelled", "%s without a cancel", id);
	if (j != NULL && p != NULL && p->state == SCHED__STATE__FAILED) {
		bool cause = false;

		for (size_t i = 0; i < j->def->n_steps; i++)
			for (int32_t k = 0; k < j->def->steps[i]->count; k++) {
				g_autofree char *t =
				    g_strdup_printf("%s.0.%zu.%d", id, i, k);

				cause = cause ||
				    world_truth(w, t)->ended_failed >=
					j->def->max_attempts;
			}
		if (!cause)
			world_fail(w, "failed", "%s without a cause", id);
	}
	if (p != NULL)
		sched__progress__free_unpacked(p, NULL);
}

static void
apply_write(world_t *w, call_t *c)
{
	const row_t *owner = store_row(w, SCHED_KEY_OWNER);

	if ((owner == NULL ? 0 : owner->version) != c->if_version) {
		c->result = SCHED_WRITE_CONFLICT;
		return;
	}
	c->result = SCHED_WRITE_OK;
	c->version = ++w->version;
	for (guint i = 0; i < c->puts->len; i++) {
		const sched_put_t *p = &g_array_index(c->puts, sched_put_t, i);

		if (p->bytes == NULL) {
			g_hash_table_remove(w->rows, p->key);
			continue;
		}
		put(w, p->key, p->bytes->data, p->bytes->len, c->version);
		if (g_str_has_suffix(p->key, SCHED_KEY_PROGRESS))
			check_end(w, p->key, p->bytes);
	}
}

static int
by_key(gconstpointer a, gconstpointer b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

/* Copies the rows that a read returns. */
static void
take_rows(world_t *w, call_t *c)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, w->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const row_t *r = v;
		row_t *copy;

		if (c->kind == CALL_POLL &&
		    strcmp(r->key, SCHED_KEY_OWNER) != 0)
			continue;
		if (c->kind == CALL_FEED &&
		    (r->version <= c->after ||
			g_str_has_suffix(r->key, SCHED_KEY_PROGRESS)))
			continue;
		copy = g_new0(row_t, 1);
		copy->key = g_strdup(r->key);
		copy->bytes = g_byte_array_new();
		g_byte_array_append(copy->bytes, r->bytes->data, r->bytes->len);
		copy->version = r->version;
		g_ptr_array_add(c->rows, copy);
	}
	g_ptr_array_sort(c->rows, by_key);
	c->version = w->version;
}

static sched_row_t
row_of(const row_t *r)
{
	sched_row_t s = { .key = r->key,
		.version = r->version,
		.bytes = r->bytes->data,
		.nbytes = r->bytes->len };

	return s;
}

static void
give_owner(sim_node_t *n, const row_t *r)
{
	sched_row_t s = { .key = SCHED_KEY_OWNER };

	if (r != NULL)
		s = row_of(r);
	sched_owner_row_read(n->s, &s, n->w->now_ms);
}

/* Progress rows first, as a job is taken in with what it has done. */
static void
give_rows(sim_node_t *n, const call_t *c, bool progress)
{
	for (guint i = 0; i < c->rows->len; i++) {
		const row_t *r = g_ptr_array_index(c->rows, i);
		sched_row_t s = row_of(r);

		if (g_str_has_suffix(r->key, SCHED_KEY_PROGRESS) == progress)
			sched_row_read(n->s, &s, n->w->now_ms);
	}
}

static void
feed_again(world_t *w, void *arg)
{
	sim_node_t *n = arg;

	(void)w;
	n->feeding = false;
}

static void
on_read(call_t *c)
{
	sim_node_t *n = c->n;
	world_t *w = n->w;

	if (c->kind == CALL_POLL) {
		sched_store_clock_read(
		    n->s, w->now_ms + STORE_CLOCK_MS, w->now_ms);
		give_owner(n,
		    c->rows->len == 0 ? NULL : g_ptr_array_index(c->rows, 0));
		return;
	}
	give_rows(n, c, true);
	give_rows(n, c, false);
	n->feed_version = c->version;
	sched_feed_read(n->s, SCHED_FEED_JOBS, w->now_ms);
	if (c->kind == CALL_LOAD) {
		vm_list(n);
		sched_load_done(n->s, w->now_ms);
	}
}

static void
on_answer(world_t *w, void *arg)
{
	call_t *c = arg;
	sim_node_t *n = c->n;

	if (!node_hears(n, c->life)) {
		call_free(c);
		return;
	}
	if (n->frozen) {
		world_after(w, FROZEN_MS, on_answer, c);
		return;
	}
	if (c->kind == CALL_CLAIM || c->kind == CALL_WRITE) {
		if (c->result == SCHED_WRITE_CONFLICT)
			give_owner(n, store_row(w, SCHED_KEY_OWNER));
		if (c->kind == CALL_CLAIM)
			sched_claim_done(
			    n->s, c->result, c->version, w->now_ms);
		else
			sched_write_done(
			    n->s, c->result, c->version, w->now_ms);
	} else if (c->result == SCHED_WRITE_OK)
		on_read(c);
	else if (c->kind == CALL_LOAD)
		store_load(n);
	if (c->kind == CALL_FEED)
		world_after(w, 20, feed_again, n);
	call_free(c);
}

static void
on_lost(world_t *w, void *arg)
{
	call_t *c = arg;

	c->result = SCHED_WRITE_IN_DOUBT;
	on_answer(w, c);
}

/* Applies a write whose answer was given up long ago. */
static void
on_late(world_t *w, void *arg)
{
	call_t *c = arg;

	apply_write(w, c);
	call_free(c);
}

static call_t *
copy_for_late(const call_t *c)
{
	call_t *l = call_new(c->n, c->kind);

	l->if_version = c->if_version;
	for (guint i = 0; i < c->puts->len; i++) {
		const sched_put_t *p = &g_array_index(c->puts, sched_put_t, i);
		sched_put_t copy = { g_strdup(p->key),
			p->bytes == NULL ? NULL : g_byte_array_ref(p->bytes) };

		g_array_append_val(l->puts, copy);
	}
	return l;
}

static void
on_arrive(world_t *w, void *arg)
{
	call_t *c = arg;
	bool write = c->kind == CALL_CLAIM || c->kind == CALL_WRITE;

	if (w->store_down || c->n->store_cut) {
		world_after(w, CALL_MS, on_lost, c);
		return;
	}
	if (write && world_chance(w, w->store_lost)) {
		if (w->store_late)
			world_after(w, world_int(w, 1000, 6000), on_late,
			    copy_for_late(c));
		else
			apply_write(w, c);
		world_after(w, CALL_MS, on_lost, c);
		return;
	}
	if (write)
		apply_write(w, c);
	else {
		c->result = SCHED_WRITE_OK;
		take_rows(w, c);
	}
	world_after(w, w->store_ms / 2 + LATENCY_MS, on_answer, c);
}

static void
send_call(call_t *c)
{
	world_t *w = c->n->w;

	world_after(w, LATENCY_MS + w->store_ms / 2, on_arrive, c);
}

static void
add_put(call_t *c, const char *key, const GByteArray *bytes)
{
	sched_put_t p = { g_strdup(key), NULL };

	if (bytes != NULL) {
		p.bytes = g_byte_array_new();
		g_byte_array_append(p.bytes, bytes->data, bytes->len);
	}
	g_array_append_val(c->puts, p);
}

void
store_claim(sim_node_t *n, int64_t version, const GByteArray *owner)
{
	call_t *c = call_new(n, CALL_CLAIM);

	c->if_version = version;
	add_put(c, SCHED_KEY_OWNER, owner);
	send_call(c);
}

void
store_write(sim_node_t *n, int64_t version, const GArray *puts)
{
	call_t *c = call_new(n, CALL_WRITE);

	c->if_version = version;
	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);

		add_put(c, p->key, p->bytes);
	}
	send_call(c);
}

void
store_load(sim_node_t *n)
{
	send_call(call_new(n, CALL_LOAD));
}

void
store_poll_owner(sim_node_t *n)
{
	send_call(call_new(n, CALL_POLL));
}

void
store_feed(sim_node_t *n)
{
	call_t *c;

	if (n->feeding)
		return;
	n->feeding = true;
	c = call_new(n, CALL_FEED);
	c->after = n->feed_version;
	send_call(c);
}
