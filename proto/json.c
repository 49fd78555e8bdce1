/*
 * The JSON of the platform: rows, VM list and worker syncs.  Numbers are
 * checked against ranges, strings against lengths; one wrong value refuses
 * the whole text.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "peer.pb-c.h"
#include "tanagerspool.h"
#include "proto.h"

#define NAME_MAX_BYTES (TS_ID_SIZE - 1)
#define BIG	       (INT64_C(1) << 52)

static const char *const job_states[TS_JOB_STATES] = { "queued", "running",
	"done", "failed", "cancelled", "held", "moved" };
static const char *const wants[] = { "run", "checkpoint", "stop", "forget" };
static const char *const task_states[] = { "running", "done", "failed",
	"stopped", "saved" };

const char *
job_state_name(ts_job_state_t s)
{
	return job_states[s];
}

/* Reads fields and remembers the first that was wrong. */
typedef struct {
	const json_t *o;
	const char *bad;
} get_t;

static int64_t
get_int(get_t *g, const char *key, int64_t min, int64_t max)
{
	const json_t *v = json_object_get(g->o, key);
	int64_t n = v == NULL ? 0 : json_integer_value(v);

	if ((v != NULL && !json_is_integer(v)) || n < min || n > max) {
		g->bad = key;
		return min;
	}
	return n;
}

static bool
get_bool(get_t *g, const char *key)
{
	const json_t *v = json_object_get(g->o, key);

	if (v != NULL && !json_is_boolean(v))
		g->bad = key;
	return json_is_true(v);
}

/* "" where missing. */
static const char *
get_text(get_t *g, const char *key, size_t max)
{
	const json_t *v = json_object_get(g->o, key);

	if (v == NULL || json_is_null(v))
		return "";
	if (!json_is_string(v) || json_string_length(v) > max ||
	    strlen(json_string_value(v)) != json_string_length(v)) {
		g->bad = key;
		return "";
	}
	return json_string_value(v);
}

static const char *
get_name(get_t *g, const char *key)
{
	return g_intern_string(get_text(g, key, NAME_MAX_BYTES));
}

/* NULL where missing or empty. */
static const char *
get_name_or_null(get_t *g, const char *key)
{
	const char *s = get_name(g, key);

	return s[0] == '\0' ? NULL : s;
}

static int
get_word(get_t *g, const char *key, const char *const *words, int n)
{
	const char *s = get_text(g, key, NAME_MAX_BYTES);

	for (int i = 0; i < n; i++)
		if (strcmp(s, words[i]) == 0)
			return i;
	g->bad = key;
	return 0;
}

static bool
get_ok(const get_t *g, GError **err)
{
	if (g->bad == NULL)
		return true;
	g_set_error(
	    err, PROTO_ERROR, PROTO_ERROR_JSON, "field %s is wrong", g->bad);
	return false;
}

static json_t *
load(const char *text, size_t bytes, GError **err)
{
	json_error_t e;
	json_t *j = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &e);

	if (j == NULL)
		g_set_error(err, PROTO_ERROR, PROTO_ERROR_JSON, "line %d: %s",
		    e.line, e.text);
	return j;
}

static void
put_res(json_t *o, const ts_res_t *r)
{
	json_object_set_new(o, "cpu_milli", json_integer(r->cpu_milli));
	json_object_set_new(o, "mem_bytes", json_integer(r->mem_bytes));
	json_object_set_new(o, "accel", json_integer(r->accel));
}

static ts_res_t
get_res(get_t *g)
{
	ts_res_t r;

	r.cpu_milli = get_int(g, "cpu_milli", 0, BIG);
	r.mem_bytes = get_int(g, "mem_bytes", 0, BIG);
	r.accel = (int32_t)get_int(g, "accel", 0, 1 << 20);
	return r;
}

static json_t *
text_or_null(const char *s)
{
	return s == NULL ? json_null() : json_string(s);
}

json_t *
job_to_json(const ts_job_t *j)
{
	json_t *o = json_pack("{s:s s:s s:s s:s s:I s:I s:I s:I s:I}", "id",
	    j->id, "team", j->team, "class", j->class, "pool", j->pool,
	    "submitted_ms", (json_int_t)j->submitted_ms, "deadline_ms",
	    (json_int_t)j->deadline_ms, "run_ms", (json_int_t)j->run_ms,
	    "progress_ms", (json_int_t)j->progress_ms, "attempt",
	    (json_int_t)j->attempt);
	json_t *on = json_array();

	put_res(o, &j->size);
	json_object_set_new(o, "state", json_string(job_states[j->state]));
	json_object_set_new(o, "worker", text_or_null(j->worker));
	json_object_set_new(
	    o, "worker_vm", json_integer(j->worker_incarnation));
	json_object_set_new(o, "moved_to", json_string(j->moved_to));
	json_object_set_new(o, "evictions", json_integer(j->evictions));
	json_object_set_new(o, "fails", json_integer(j->failures));
	json_object_set_new(o, "urgent", json_boolean(j->urgent));
	json_object_set_new(o, "cancel", json_boolean(j->cancel_requested));
	for (int i = 0; i < 3 && j->failed_on[i] != NULL; i++)
		json_array_append_new(on, json_string(j->failed_on[i]));
	json_object_set_new(o, "failed_on", on);
	return o;
}

bool
job_from_json(const json_t *o, ts_job_t *j, GError **err)
{
	get_t g = { o, NULL };
	const json_t *on = json_object_get(o, "failed_on");

	memset(j, 0, sizeof(*j));
	if (!json_is_object(o)) {
		g_set_error(
		    err, PROTO_ERROR, PROTO_ERROR_JSON, "not an object");
		return false;
	}
	g_strlcpy(j->id, get_text(&g, "id", TS_ID_SIZE - 1), sizeof(j->id));
	g_strlcpy(j->moved_to, get_text(&g, "moved_to", TS_ID_SIZE - 1),
	    sizeof(j->moved_to));
	j->team = get_name(&g, "team");
	j->class = get_name(&g, "class");
	j->pool = get_name(&g, "pool");
	j->worker = get_name_or_null(&g, "worker");
	j->worker_incarnation = get_int(&g, "worker_vm", 0, BIG);
	j->submitted_ms = get_int(&g, "submitted_ms", 0, BIG);
	j->deadline_ms = get_int(&g, "deadline_ms", 0, BIG);
	j->run_ms = get_int(&g, "run_ms", 0, BIG);
	j->progress_ms = get_int(&g, "progress_ms", 0, BIG);
	j->size = get_res(&g);
	j->attempt = (int32_t)get_int(&g, "attempt", 0, INT32_MAX);
	j->evictions = (int32_t)get_int(&g, "evictions", 0, INT32_MAX);
	j->failures = (int32_t)get_int(&g, "fails", 0, INT32_MAX);
	j->urgent = get_bool(&g, "urgent");
	j->cancel_requested = get_bool(&g, "cancel");
	if (json_object_get(o, "state") != NULL)
		j->state = (ts_job_state_t)get_word(
		    &g, "state", job_states, TS_JOB_STATES);
	for (size_t i = 0; i < 3 && i < json_array_size(on); i++)
		if (json_is_string(json_array_get(on, i)))
			j->failed_on[i] = g_intern_string(
			    json_string_value(json_array_get(on, i)));
	return get_ok(&g, err);
}

static json_t *
value_to_json(const ts_row_t *r)
{
	switch (r->kind) {
	case TS_ROW_CONF:
		return json_pack("{s:s s:s}", "routes", r->u.conf.routes,
		    "pools", r->u.conf.pools);
	case TS_ROW_GROUP:
		return json_pack("{s:s? s:I s:I}", "owner", r->u.group.owner,
		    "incarnation", (json_int_t)r->u.group.incarnation, "epoch",
		    (json_int_t)r->u.group.epoch);
	case TS_ROW_JOB:
		return job_to_json(&r->u.job);
	case TS_ROW_IDEM:
		return json_pack("{s:i s:I}", "status", r->u.idem.status,
		    "at_ms", (json_int_t)r->u.idem.at_ms);
	}
	return NULL;
}

json_t *
row_to_json(const ts_row_t *r)
{
	return json_pack("{s:s s:I s:s s:o}", "key", r->key, "version",
	    (json_int_t)r->version, "writer", r->writer, "value",
	    value_to_json(r));
}

static bool
value_from_json(const json_t *v, ts_row_t *r, GError **err)
{
	get_t g = { v, NULL };

	switch (r->kind) {
	case TS_ROW_CONF:
		r->u.conf.routes =
		    g_strdup(get_text(&g, "routes", FRAME_MAX_BYTES));
		r->u.conf.pools =
		    g_strdup(get_text(&g, "pools", FRAME_MAX_BYTES));
		break;
	case TS_ROW_GROUP:
		r->u.group.owner = get_name_or_null(&g, "owner");
		r->u.group.incarnation = get_int(&g, "incarnation", 0, BIG);
		r->u.group.epoch = get_int(&g, "epoch", 0, BIG);
		break;
	case TS_ROW_JOB:
		return job_from_json(v, &r->u.job, err);
	case TS_ROW_IDEM:
		r->u.idem.status = (int32_t)get_int(&g, "status", -1, 999);
		r->u.idem.at_ms = get_int(&g, "at_ms", 0, BIG);
		break;
	}
	return get_ok(&g, err);
}

/* The kind of a row stands at the front of its key. */
static bool
kind_of(const char *key, ts_row_kind_t *kind)
{
	if (strcmp(key, "conf") == 0)
		*kind = TS_ROW_CONF;
	else if (g_str_has_prefix(key, "group/"))
		*kind = TS_ROW_GROUP;
	else if (g_str_has_prefix(key, "job/"))
		*kind = TS_ROW_JOB;
	else if (g_str_has_prefix(key, "idem/"))
		*kind = TS_ROW_IDEM;
	else
		return false;
	return true;
}

bool
row_from_json(const json_t *j, ts_row_t *r, GError **err)
{
	get_t g = { j, NULL };

	memset(r, 0, sizeof(*r));
	g_strlcpy(r->key, get_text(&g, "key", TS_KEY_SIZE - 1), sizeof(r->key));
	g_strlcpy(r->writer, get_text(&g, "writer", TS_ID_SIZE - 1),
	    sizeof(r->writer));
	r->version = get_int(&g, "version", 0, BIG);
	if (!kind_of(r->key, &r->kind))
		g.bad = "key";
	if (!get_ok(&g, err))
		return false;
	if (value_from_json(json_object_get(j, "value"), r, err))
		return true;
	row_clear(r);
	return false;
}

void
row_clear(ts_row_t *r)
{
	if (r->kind != TS_ROW_CONF)
		return;
	g_free(r->u.conf.routes);
	g_free(r->u.conf.pools);
	r->u.conf.routes = r->u.conf.pools = NULL;
}

char *
txn_to_json(const ts_txn_row_t *rows, size_t n)
{
	json_t *checks = json_array();
	json_t *writes = json_array();
	json_t *o;
	char *s;

	for (size_t i = 0; i < n; i++) {
		json_array_append_new(checks,
		    json_pack("{s:s s:I}", "key", rows[i].row.key, "version",
			(json_int_t)rows[i].row.version));
		if (rows[i].write)
			json_array_append_new(
			    writes, row_to_json(&rows[i].row));
	}
	o = json_pack("{s:o s:o}", "checks", checks, "writes", writes);
	s = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return s;
}

GArray *
rows_from_json(const char *text, size_t bytes, GError **err)
{
	json_t *j = load(text, bytes, err);
	const json_t *a = json_object_get(j, "rows");
	GArray *rows;

	if (j == NULL)
		return NULL;
	if (!json_is_array(a)) {
		g_set_error(
		    err, PROTO_ERROR, PROTO_ERROR_JSON, "rows is missing");
		json_decref(j);
		return NULL;
	}
	rows = g_array_new(FALSE, TRUE, sizeof(ts_row_t));
	for (size_t i = 0; i < json_array_size(a); i++) {
		ts_row_t r;

		if (!row_from_json(json_array_get(a, i), &r, err)) {
			rows_free(rows);
			json_decref(j);
			return NULL;
		}
		g_array_append_val(rows, r);
	}
	json_decref(j);
	return rows;
}

void
rows_free(GArray *rows)
{
	for (guint i = 0; i < rows->len; i++)
		row_clear(&g_array_index(rows, ts_row_t, i));
	g_array_free(rows, TRUE);
}

static bool
vm_from_json(const json_t *j, ts_vm_t *vm, GError **err)
{
	static const char *const kinds[] = { "entry", "worker" };
	get_t g = { j, NULL };

	memset(vm, 0, sizeof(*vm));
	vm->name = get_name(&g, "name");
	vm->zone = get_name(&g, "zone");
	vm->group = get_name(&g, "rack");
	vm->ip = get_name(&g, "ip");
	vm->kind = (ts_vm_kind_t)get_word(&g, "kind", kinds, 2);
	vm->incarnation = get_int(&g, "incarnation", 0, BIG);
	vm->port = (int32_t)get_int(&g, "port", 1, 65535);
	vm->leaving = get_bool(&g, "leaving");
	vm->capacity = get_res(&g);
	if (vm->name[0] == '\0')
		g.bad = "name";
	if (strchr(vm->group, '/') != NULL || strlen(vm->group) > TS_GROUP_MAX)
		g.bad = "rack";
	return get_ok(&g, err);
}

GArray *
vms_from_json(const char *text, size_t bytes, GError **err)
{
	json_t *j = load(text, bytes, err);
	const json_t *a = json_object_get(j, "vms");
	GArray *vms;

	if (j == NULL)
		return NULL;
	vms = g_array_new(FALSE, TRUE, sizeof(ts_vm_t));
	if (!json_is_array(a))
		g_set_error(
		    err, PROTO_ERROR, PROTO_ERROR_JSON, "vms is missing");
	for (size_t i = 0; i < json_array_size(a); i++) {
		ts_vm_t vm;

		if (!vm_from_json(json_array_get(a, i), &vm, err)) {
			a = NULL;
			break;
		}
		g_array_append_val(vms, vm);
	}
	if (!json_is_array(a)) {
		g_array_free(vms, TRUE);
		vms = NULL;
	}
	json_decref(j);
	return vms;
}

char *
sync_to_json(const ts_sync_t *s)
{
	json_t *orders = json_array();
	json_t *o;
	char *text;

	for (size_t i = 0; i < s->norders; i++) {
		const ts_task_order_t *t = &s->orders[i];

		o = json_pack("{s:s s:s s:i s:i s:I s:I s:I s:I s:s?}", "id",
		    t->id, "want", wants[t->command], "attempt", t->attempt,
		    "share_pct", t->share_pct, "lease_until_ms",
		    (json_int_t)t->lease_until_ms, "start_by_ms",
		    (json_int_t)t->start_by_ms, "run_ms", (json_int_t)t->run_ms,
		    "progress_ms", (json_int_t)t->progress_ms, "class",
		    t->class);
		put_res(o, &t->size);
		json_array_append_new(orders, o);
	}
	o = json_pack("{s:s s:I s:I s:I s:o}", "worker", s->worker,
	    "incarnation", (json_int_t)s->incarnation, "epoch",
	    (json_int_t)s->epoch, "seq", (json_int_t)s->seq, "orders", orders);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static bool
report_from_json(const json_t *j, ts_task_report_t *r, GError **err)
{
	get_t g = { j, NULL };

	memset(r, 0, sizeof(*r));
	g_strlcpy(r->id, get_text(&g, "id", TS_ID_SIZE - 1), sizeof(r->id));
	r->state = (ts_task_state_t)get_word(&g, "state", task_states, 5);
	r->attempt = (int32_t)get_int(&g, "attempt", 0, INT32_MAX);
	r->progress_ms = get_int(&g, "progress_ms", 0, BIG);
	r->used_cpu_milli = get_int(&g, "used_cpu_milli", 0, BIG);
	r->used_mem_bytes = get_int(&g, "used_mem_bytes", 0, BIG);
	return get_ok(&g, err);
}

static bool
answer_from_json(const json_t *j, sync_answer_t *r, GError **err)
{
	const json_t *tasks = json_object_get(j, "tasks");
	const json_t *slots = json_object_get(j, "slots");
	get_t g = { j, NULL };

	r->answer.incarnation = get_int(&g, "incarnation", 0, BIG);
	r->answer.clock_ms = get_int(&g, "clock_ms", 0, BIG);
	r->answer.epoch = get_int(&g, "epoch", 0, BIG);
	r->answer.seq = get_int(&g, "seq", 0, BIG);
	for (size_t i = 0; i < json_array_size(tasks); i++) {
		ts_task_report_t t;

		if (!report_from_json(json_array_get(tasks, i), &t, err))
			return false;
		g_array_append_val(r->tasks, t);
	}
	for (size_t i = 0; i < json_array_size(slots); i++) {
		get_t sg = { json_array_get(slots, i), NULL };
		ts_slot_report_t s = { get_name(&sg, "pool"),
			(int32_t)get_int(&sg, "running", 0, 1 << 20) };

		if (!get_ok(&sg, err))
			return false;
		g_array_append_val(r->slots, s);
	}
	return get_ok(&g, err);
}

bool
sync_from_json(const char *text, size_t bytes, const char *worker,
    sync_answer_t *r, GError **err)
{
	json_t *j = load(text, bytes, err);
	bool ok;

	memset(r, 0, sizeof(*r));
	if (j == NULL)
		return false;
	r->tasks = g_array_new(FALSE, TRUE, sizeof(ts_task_report_t));
	r->slots = g_array_new(FALSE, TRUE, sizeof(ts_slot_report_t));
	ok = answer_from_json(j, r, err);
	json_decref(j);
	if (!ok) {
		sync_answer_clear(r);
		return false;
	}
	r->answer.worker = worker;
	r->answer.tasks = (ts_task_report_t *)r->tasks->data;
	r->answer.ntasks = r->tasks->len;
	r->answer.slots = (ts_slot_report_t *)r->slots->data;
	r->answer.nslots = r->slots->len;
	return true;
}

void
sync_answer_clear(sync_answer_t *r)
{
	if (r->tasks != NULL)
		g_array_free(r->tasks, TRUE);
	if (r->slots != NULL)
		g_array_free(r->slots, TRUE);
	r->tasks = r->slots = NULL;
}
