/*
 * The entry daemon's HTTP calls to the platform's table and list of VMs, and to
 * the worker agents.  Results are passed to the core as events.
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

#define VMS_POLL_INTERVAL_MS 1000
#define PLATFORM_TIMEOUT_MS  5000 /* of calls to the platform */
#define SYNC_TIMEOUT_MS	     3000 /* of calls to a worker agent */

/*
 * The platform's table and list of VMs.
 */

/* A call in progress to the table or a worker agent. */
typedef struct {
	entry_t *entry;
	uint64_t id;	    /* of the core's read or transaction */
	const char *worker; /* of a sync */
	int64_t seq;	    /* of a sync */
} platform_call_t;

static platform_call_t *
platform_call_new(entry_t *e, uint64_t id)
{
	platform_call_t *call = g_new0(platform_call_t, 1);

	call->entry = e;
	call->id = id;
	return call;
}

static void
on_rows(void *ctx, int32_t status, const char *body, size_t n)
{
	g_autofree platform_call_t *call = ctx;
	g_autoptr(GError) err = NULL;
	ts_ev_t ev = { .kind = TS_EV_READ_END };
	GArray *rows = NULL;

	if (status == 200) {
		rows = rows_from_json(body, n, &err);
		if (rows == NULL)
			entry_bad_input(call->entry, EVT_BAD_PLATFORM, "rows",
			    err->message);
	}
	ev.u.rows.id = call->id;
	ev.u.rows.ok = rows != NULL;
	if (rows != NULL) {
		ev.u.rows.rows = (ts_row_t *)rows->data;
		ev.u.rows.n = rows->len;
	}
	entry_handle_event(call->entry, &ev);
	if (rows != NULL)
		rows_free(rows);
}

void
platform_read(entry_t *e, const ts_act_t *a)
{
	g_autofree char *prefix =
	    g_uri_escape_string(a->u.read.prefix, "/", FALSE);
	g_autofree char *url =
	    g_strdup_printf("%s/v1/rows?prefix=%s&newer=%" PRId64,
		e->platform_url, prefix, a->u.read.newer_than);

	client_call(e->client, "GET", url, e->platform_token, NULL,
	    PLATFORM_TIMEOUT_MS, on_rows, platform_call_new(e, a->u.read.id));
}

/*
 * The outcome of a transaction is known only from a well-formed answer: 200
 * with the version of the rows written, or 409 with the index of the row whose
 * version differed.
 */
static void
on_txn(void *ctx, int32_t status, const char *body, size_t n)
{
	g_autofree platform_call_t *call = ctx;
	ts_ev_t ev = { .kind = TS_EV_TXN_END };
	json_t *j = json_loadb(body, n, 0, NULL);

	ev.u.txn.id = call->id;
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
		entry_bad_input(call->entry, EVT_BAD_PLATFORM, "txn",
		    "answer has neither version nor conflict");
	json_decref(j);
	entry_handle_event(call->entry, &ev);
}

void
platform_txn(entry_t *e, const ts_act_t *a)
{
	g_autofree char *body = txn_to_json(a->u.txn.rows, a->u.txn.n);
	g_autofree char *url = g_strconcat(e->platform_url, "/v1/txn", NULL);

	client_call(e->client, "POST", url, e->platform_token, body,
	    PLATFORM_TIMEOUT_MS, on_txn, platform_call_new(e, a->u.txn.id));
}

/* Updates the URLs of worker agents, and the peers, from the list of VMs. */
static void
update_peers_and_agents(entry_t *e, const GArray *vms)
{
	for (guint i = 0; i < vms->len; i++) {
		const ts_vm_t *vm = &g_array_index(vms, ts_vm_t, i);
		g_autofree char *agent =
		    g_strdup_printf("http://%s:%d", vm->ip, vm->port);

		if (vm->kind == TS_VM_WORKER)
			g_hash_table_replace(e->agent_urls, g_strdup(vm->name),
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

	e->vms_read_pending = false;
	if (status != 200)
		return;
	vms = vms_from_json(body, n, &err);
	if (vms == NULL) {
		entry_bad_input(e, EVT_BAD_PLATFORM, "vms", err->message);
		return;
	}
	update_peers_and_agents(e, vms);
	ev.u.vms.vms = (ts_vm_t *)vms->data;
	ev.u.vms.n = vms->len;
	entry_handle_event(e, &ev);
	g_array_free(vms, TRUE);
}

/*
 * Worker agents.
 */
static void
on_sync(void *ctx, int32_t status, const char *body, size_t n)
{
	g_autofree platform_call_t *call = ctx;
	g_autoptr(GError) err = NULL;
	ts_ev_t ev = { .kind = TS_EV_SYNC_END };
	sync_answer_t r = { 0 };

	ev.u.sync.worker = call->worker;
	ev.u.sync.seq = call->seq;
	if (status == 200) {
		ev.u.sync.ok = sync_from_json(body, n, call->worker, &r, &err);
		if (!ev.u.sync.ok)
			entry_bad_input(call->entry, EVT_BAD_WORKER,
			    call->worker, err->message);
	}
	ev.u.sync.answer = &r.answer;
	entry_handle_event(call->entry, &ev);
	sync_answer_clear(&r);
}

void
platform_sync(entry_t *e, const ts_act_t *a)
{
	/* The call to an unknown worker fails, as its URL has no host. */
	const char *agent_url =
	    g_hash_table_lookup(e->agent_urls, a->u.sync.worker);
	g_autofree char *body = sync_to_json(&a->u.sync);
	g_autofree char *url =
	    g_strconcat(agent_url == NULL ? "" : agent_url, "/v1/sync", NULL);
	platform_call_t *call = platform_call_new(e, 0);

	call->worker = g_intern_string(a->u.sync.worker);
	call->seq = a->u.sync.seq;
	client_call(e->client, "POST", url, e->platform_token, body,
	    SYNC_TIMEOUT_MS, on_sync, call);
}

void
platform_poll_vms(entry_t *e, int64_t now)
{
	g_autofree char *url = NULL;

	if (e->vms_read_pending || now < e->next_vms_read_ms)
		return;
	url = g_strconcat(e->platform_url, "/v1/vms", NULL);
	e->vms_read_pending = true;
	e->next_vms_read_ms = now + VMS_POLL_INTERVAL_MS;
	client_call(e->client, "GET", url, e->platform_token, NULL,
	    PLATFORM_TIMEOUT_MS, on_vms, e);
}
