/*
 * The entry's calls to the platform: table, list of VMs, worker agents.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../proto/proto.h"
#include "../trans/trans.h"
#include "cmd.h"
#include "entry.h"

#define VMS_POLL_MS 1000
#define STORE_MS    5000 /* longest wait for the table service */
#define SYNC_MS	    3000 /* and for a worker agent */

/*
 * The platform's table and list.
 */
typedef struct {
	entry_t *e;
	uint64_t id;
	const char *worker;
	int64_t seq;
} wait_t;

static wait_t *
wait_new(entry_t *e, uint64_t id)
{
	wait_t *w = g_new0(wait_t, 1);

	w->e = e;
	w->id = id;
	return w;
}

static void
on_rows(void *ctx, int32_t status, const char *body, size_t n)
{
	g_autofree wait_t *w = ctx;
	g_autoptr(GError) err = NULL;
	ts_ev_t ev = { .kind = TS_EV_READ_END };
	GArray *rows = NULL;

	if (status == 200) {
		rows = rows_from_json(body, n, &err);
		if (rows == NULL)
			entry_bad_input(
			    w->e, EVT_BAD_PLATFORM, "rows", err->message);
	}
	ev.u.rows.id = w->id;
	ev.u.rows.ok = rows != NULL;
	if (rows != NULL) {
		ev.u.rows.rows = (ts_row_t *)rows->data;
		ev.u.rows.n = rows->len;
	}
	entry_input(w->e, &ev);
	if (rows != NULL)
		rows_free(rows);
}

void
platform_read(entry_t *e, const ts_act_t *a)
{
	g_autofree char *prefix =
	    g_uri_escape_string(a->u.read.prefix, "/", FALSE);
	g_autofree char *url =
	    g_strdup_printf("%s/v1/rows?prefix=%s&newer=%" PRId64, e->platform,
		prefix, a->u.read.newer_than);

	client_call(e->client, "GET", url, e->platform_token, NULL, STORE_MS,
	    on_rows, wait_new(e, a->u.read.id));
}

static void
on_txn(void *ctx, int32_t status, const char *body, size_t n)
{
	g_autofree wait_t *w = ctx;
	ts_ev_t ev = { .kind = TS_EV_TXN_END };
	json_t *j = json_loadb(body, n, 0, NULL);

	ev.u.txn.id = w->id;
	ev.u.txn.result = TS_TXN_UNKNOWN;
	if (status == 200 && json_is_integer(json_object_get(j, "version"))) {
		ev.u.txn.result = TS_TXN_OK;
		ev.u.txn.version =
		    json_integer_value(json_object_get(j, "version"));
	} else if (status == 409 &&
	    json_is_integer(json_object_get(j, "conflict"))) {
		ev.u.txn.result = TS_TXN_CONFLICT;
		ev.u.txn.conflict_index =
		    (size_t)json_integer_value(json_object_get(j, "conflict"));
	} else if (status == 200 || status == 409)
		entry_bad_input(
		    w->e, EVT_BAD_PLATFORM, "txn", "no outcome told");
	json_decref(j);
	entry_input(w->e, &ev);
}

void
platform_txn(entry_t *e, const ts_act_t *a)
{
	g_autofree char *body = txn_to_json(a->u.txn.rows, a->u.txn.n);
	g_autofree char *url = g_strconcat(e->platform, "/v1/txn", NULL);

	client_call(e->client, "POST", url, e->platform_token, body, STORE_MS,
	    on_txn, wait_new(e, a->u.txn.id));
}

static void
take_vms(entry_t *e, const GArray *vms)
{
	for (guint i = 0; i < vms->len; i++) {
		const ts_vm_t *vm = &g_array_index(vms, ts_vm_t, i);
		g_autofree char *agent =
		    g_strdup_printf("http://%s:%d", vm->ip, vm->port);

		if (vm->kind == TS_VM_WORKER)
			g_hash_table_replace(e->agents, g_strdup(vm->name),
			    g_steal_pointer(&agent));
		else if (strcmp(vm->name, e->name) != 0)
			peers_add(e->peers, vm->name, vm->ip, vm->port);
	}
	peers_sweep(e->peers);
}

static void
on_vms(void *ctx, int32_t status, const char *body, size_t n)
{
	entry_t *e = ctx;
	g_autoptr(GError) err = NULL;
	ts_ev_t ev = { .kind = TS_EV_VMS };
	GArray *vms;

	e->vms_reading = false;
	if (status != 200)
		return;
	vms = vms_from_json(body, n, &err);
	if (vms == NULL) {
		entry_bad_input(e, EVT_BAD_PLATFORM, "vms", err->message);
		return;
	}
	take_vms(e, vms);
	ev.u.vms.vms = (ts_vm_t *)vms->data;
	ev.u.vms.n = vms->len;
	entry_input(e, &ev);
	g_array_free(vms, TRUE);
}

/*
 * Worker agents.
 */
static void
on_sync(void *ctx, int32_t status, const char *body, size_t n)
{
	g_autofree wait_t *w = ctx;
	g_autoptr(GError) err = NULL;
	ts_ev_t ev = { .kind = TS_EV_SYNC_END };
	sync_answer_t r = { 0 };

	ev.u.sync.worker = w->worker;
	ev.u.sync.seq = w->seq;
	if (status == 200) {
		ev.u.sync.ok = sync_from_json(body, n, w->worker, &r, &err);
		if (!ev.u.sync.ok)
			entry_bad_input(
			    w->e, EVT_BAD_WORKER, w->worker, err->message);
	}
	ev.u.sync.answer = &r.answer;
	entry_input(w->e, &ev);
	sync_answer_clear(&r);
}

void
platform_sync(entry_t *e, const ts_act_t *a)
{
	const char *base = g_hash_table_lookup(e->agents, a->u.sync.worker);
	g_autofree char *body = sync_to_json(&a->u.sync);
	g_autofree char *url =
	    g_strconcat(base == NULL ? "" : base, "/v1/sync", NULL);
	wait_t *w = wait_new(e, 0);

	w->worker = g_intern_string(a->u.sync.worker);
	w->seq = a->u.sync.seq;
	client_call(e->client, "POST", url, e->platform_token, body, SYNC_MS,
	    on_sync, w);
}

/* Reads the list of VMs when it is time. */
void
platform_list(entry_t *e, int64_t now)
{
	g_autofree char *url = NULL;

	if (e->vms_reading || now < e->vms_next_ms)
		return;
	url = g_strconcat(e->platform, "/v1/vms", NULL);
	e->vms_reading = true;
	e->vms_next_ms = now + VMS_POLL_MS;
	client_call(e->client, "GET", url, e->platform_token, NULL, STORE_MS,
	    on_vms, e);
}
