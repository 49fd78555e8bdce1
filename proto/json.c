/*
 * The JSON of the platform's table and list of VMs, and of the syncs with
 * worker agents.  Numbers are checked against a range and strings against a
 * length; one wrong value makes the whole text be rejected.
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
#define MAX_NUMBER     (INT64_C(1) << 52)

static const char *const job_states[TS_JOB_STATES] = { "queued", "running",
	"done", "failed", "cancelled", "held", "moved" };
static const char *const task_commands[] = { "run", "checkpoint", "stop",
	"forget" };
static const char *const task_states[] = { "running", "done", "failed",
	"stopped", "saved" };

const char *
job_state_name(ts_job_state_t s)
{
	return job_states[s];
}

/*
 * Reads the fields of an object by the get_ functions.  These note a wrong
 * field and return a valid value instead, so that one call of reader_ok() after
 * all reads finds any error.
 */
typedef struct {
	const json_t *object;
	const char *wrong_field; /* the last one, or NULL */
} reader_t;

/* A missing integer is 0, which is wrong if min is greater. */
static int64_t
get_int(reader_t *r, const char *key, int64_t min, int64_t max)
{
	const json_t *v = json_object_get(r->object, key);
	int64_t n = v == NULL ? 0 : json_integer_value(v);

	if ((v != NULL && !json_is_integer(v)) || n < min || n > max) {
		r->wrong_field = key;
		return min;
	}
	return n;
}

static bool
get_bool(reader_t *r, const char *key)
{
	const json_t *v = json_object_get(r->object, key);

	if (v != NULL && !json_is_boolean(v))
		r->wrong_field = key;
	return json_is_true(v);
}

/* A missing or null text is "". */
static const char *
get_text(reader_t *r, const char *key, size_t max_bytes)
{
	const json_t *v = json_object_get(r->object, key);

	if (v == NULL || json_is_null(v))
		return "";
	if (!json_is_string(v) || json_string_length(v) > max_bytes ||
	    strlen(json_string_value(v)) != json_string_length(v)) {
		r->wrong_field = key;
		return "";
	}
	return json_string_value(v);
}

static const char *
get_name(reader_t *r, const char *key)
{
	return g_intern_string(get_text(r, key, NAME_MAX_BYTES));
}

/* A missing or empty name is NULL. */
static const char *
get_name_or_null(reader_t *r, const char *key)
{
	const char *s = get_name(r, key);

	return s[0] == '\0' ? NULL : s;
}

/* The index of a text in words. */
static int
get_enum(reader_t *r, const char *key, const char *const *words, int n)
{
	const char *s = get_text(r, key, NAME_MAX_BYTES);

	for (int i = 0; i < n; i++)
		if (strcmp(s, words[i]) == 0)
			return i;
	r->wrong_field = key;
	return 0;
}

/* False, with an error, if any field read so far was wrong. */
static bool
reader_ok(const reader_t *r, GError **err)
{
	if (r->wrong_field == NULL)
		return true;
	g_set_error(err, PROTO_ERROR, PROTO_ERROR_JSON, "field %s is wrong",
	    r->wrong_field);
	return false;
}

static json_t *
parse_json(const char *text, size_t bytes, GError **err)
{
	json_error_t e;
	json_t *j = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &e);

	if (j == NULL)
		g_set_error(err, PROTO_ERROR, PROTO_ERROR_JSON, "line %d: %s",
		    e.line, e.text);
	return j;
}

static void
put_resources(json_t *o, const ts_res_t *r)
{
	json_object_set_new(o, "cpu_milli", json_integer(r->cpu_milli));
	json_object_set_new(o, "mem_bytes", json_integer(r->mem_bytes));
	json_object_set_new(o, "accel", json_integer(r->accel));
}

static ts_res_t
get_resources(reader_t *r)
{
	ts_res_t res;

	res.cpu_milli = get_int(r, "cpu_milli", 0, MAX_NUMBER);
	res.mem_bytes = get_int(r, "mem_bytes", 0, MAX_NUMBER);
	res.accel = (int32_t)get_int(r, "accel", 0, 1 << 20);
	return res;
}

static json_t *
json_string_or_null(const char *s)
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
	json_t *failed_on = json_array();

	put_resources(o, &j->size);
	json_object_set_new(o, "state", json_string(job_states[j->state]));
	json_object_set_new(o, "worker", json_string_or_null(j->worker));
	json_object_set_new(
	    o, "worker_vm", json_integer(j->worker_incarnation));
	json_object_set_new(o, "moved_to", json_string(j->moved_to));
	json_object_set_new(o, "evictions", json_integer(j->evictions));
	json_object_set_new(o, "fails", json_integer(j->failures));
	json_object_set_new(o, "urgent", json_boolean(j->urgent));
	json_object_set_new(o, "cancel", json_boolean(j->cancel_requested));
	for (int i = 0; i < 3 && j->failed_on[i] != NULL; i++)
		json_array_append_new(failed_on, json_string(j->failed_on[i]));
	json_object_set_new(o, "failed_on", failed_on);
	return o;
}

bool
job_from_json(const json_t *o, ts_job_t *j, GError **err)
{
	reader_t reader = { o, NULL };
	const json_t *failed_on = json_object_get(o, "failed_on");

	memset(j, 0, sizeof(*j));
	if (!json_is_object(o)) {
		g_set_error(
		    err, PROTO_ERROR, PROTO_ERROR_JSON, "not an object");
		return false;
	}
	g_strlcpy(
	    j->id, get_text(&reader, "id", TS_ID_SIZE - 1), sizeof(j->id));
	g_strlcpy(j->moved_to, get_text(&reader, "moved_to", TS_ID_SIZE - 1),
	    sizeof(j->moved_to));
	j->team = get_name(&reader, "team");
	j->class = get_name(&reader, "class");
	j->pool = get_name(&reader, "pool");
	j->worker = get_name_or_null(&reader, "worker");
	j->worker_incarnation = get_int(&reader, "worker_vm", 0, MAX_NUMBER);
	j->submitted_ms = get_int(&reader, "submitted_ms", 0, MAX_NUMBER);
	j->deadline_ms = get_int(&reader, "deadline_ms", 0, MAX_NUMBER);
	j->run_ms = get_int(&reader, "run_ms", 0, MAX_NUMBER);
	j->progress_ms = get_int(&reader, "progress_ms", 0, MAX_NUMBER);
	j->size = get_resources(&reader);
	j->attempt = (int32_t)get_int(&reader, "attempt", 0, INT32_MAX);
	j->evictions = (int32_t)get_int(&reader, "evictions", 0, INT32_MAX);
	j->failures = (int32_t)get_int(&reader, "fails", 0, INT32_MAX);
	j->urgent = get_bool(&reader, "urgent");
	j->cancel_requested = get_bool(&reader, "cancel");
	if (json_object_get(o, "state") != NULL)
		j->state = (ts_job_state_t)get_enum(
		    &reader, "state", job_states, TS_JOB_STATES);
	for (size_t i = 0; i < 3 && i < json_array_size(failed_on); i++)
		if (json_is_string(json_array_get(failed_on, i)))
			j->failed_on[i] = g_intern_string(
			    json_string_value(json_array_get(failed_on, i)));
	return reader_ok(&reader, err);
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
	reader_t reader = { v, NULL };

	switch (r->kind) {
	case TS_ROW_CONF:
		r->u.conf.routes =
		    g_strdup(get_text(&reader, "routes", FRAME_MAX_BYTES));
		r->u.conf.pools =
		    g_strdup(get_text(&reader, "pools", FRAME_MAX_BYTES));
		break;
	case TS_ROW_GROUP:
		r->u.group.owner = get_name_or_null(&reader, "owner");
		r->u.group.incarnation =
		    get_int(&reader, "incarnation", 0, MAX_NUMBER);
		r->u.group.epoch = get_int(&reader, "epoch", 0, MAX_NUMBER);
		break;
	case TS_ROW_JOB:
		return job_from_json(v, &r->u.job, err);
	case TS_ROW_IDEM:
		r->u.idem.status = (int32_t)get_int(&reader, "status", -1, 999);
		r->u.idem.at_ms = get_int(&reader, "at_ms", 0, MAX_NUMBER);
		break;
	}
	return reader_ok(&reader, err);
}

/* The kind of a row is given by the first part of its key. */
static bool
row_kind_from_key(const char *key, ts_row_kind_t *kind)
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
	reader_t reader = { j, NULL };

	memset(r, 0, sizeof(*r));
	g_strlcpy(
	    r->key, get_text(&reader, "key", TS_KEY_SIZE - 1), sizeof(r->key));
	g_strlcpy(r->writer, get_text(&reader, "writer", TS_ID_SIZE - 1),
	    sizeof(r->writer));
	r->version = get_int(&reader, "version", 0, MAX_NUMBER);
	if (!row_kind_from_key(r->key, &r->kind))
		reader.wrong_field = "key";
	if (!reader_ok(&reader, err))
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
	json_t *j = parse_json(text, bytes, err);
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
	reader_t reader = { j, NULL };

	memset(vm, 0, sizeof(*vm));
	vm->name = get_name(&reader, "name");
	vm->zone = get_name(&reader, "zone");
	vm->group = get_name(&reader, "rack");
	vm->ip = get_name(&reader, "ip");
	vm->kind = (ts_vm_kind_t)get_enum(&reader, "kind", kinds, 2);
	vm->incarnation = get_int(&reader, "incarnation", 0, MAX_NUMBER);
	vm->port = (int32_t)get_int(&reader, "port", 1, 65535);
	vm->leaving = get_bool(&reader, "leaving");
	vm->capacity = get_resources(&reader);
	if (vm->name[0] == '\0')
		reader.wrong_field = "name";
	if (strchr(vm->group, '/') != NULL || strlen(vm->group) > TS_GROUP_MAX)
		reader.wrong_field = "rack";
	return reader_ok(&reader, err);
}

GArray *
vms_from_json(const char *text, size_t bytes, GError **err)
{
	json_t *j = parse_json(text, bytes, err);
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
		    t->id, "want", task_commands[t->command], "attempt",
		    t->attempt, "share_pct", t->share_pct, "lease_until_ms",
		    (json_int_t)t->lease_until_ms, "start_by_ms",
		    (json_int_t)t->start_by_ms, "run_ms", (json_int_t)t->run_ms,
		    "progress_ms", (json_int_t)t->progress_ms, "class",
		    t->class);
		put_resources(o, &t->size);
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
	reader_t reader = { j, NULL };

	memset(r, 0, sizeof(*r));
	g_strlcpy(
	    r->id, get_text(&reader, "id", TS_ID_SIZE - 1), sizeof(r->id));
	r->state = (ts_task_state_t)get_enum(&reader, "state", task_states, 5);
	r->attempt = (int32_t)get_int(&reader, "attempt", 0, INT32_MAX);
	r->progress_ms = get_int(&reader, "progress_ms", 0, MAX_NUMBER);
	r->used_cpu_milli = get_int(&reader, "used_cpu_milli", 0, MAX_NUMBER);
	r->used_mem_bytes = get_int(&reader, "used_mem_bytes", 0, MAX_NUMBER);
	return reader_ok(&reader, err);
}

static bool
answer_from_json(const json_t *j, sync_answer_t *r, GError **err)
{
	const json_t *tasks = json_object_get(j, "tasks");
	const json_t *slots = json_object_get(j, "slots");
	reader_t reader = { j, NULL };

	r->answer.incarnation = get_int(&reader, "incarnation", 0, MAX_NUMBER);
	r->answer.clock_ms = get_int(&reader, "clock_ms", 0, MAX_NUMBER);
	r->answer.epoch = get_int(&reader, "epoch", 0, MAX_NUMBER);
	r->answer.seq = get_int(&reader, "seq", 0, MAX_NUMBER);
	for (size_t i = 0; i < json_array_size(tasks); i++) {
		ts_task_report_t t;

		if (!report_from_json(json_array_get(tasks, i), &t, err))
			return false;
		g_array_append_val(r->tasks, t);
	}
	for (size_t i = 0; i < json_array_size(slots); i++) {
		reader_t slot_reader = { json_array_get(slots, i), NULL };
		ts_slot_report_t s = { get_name(&slot_reader, "pool"),
			(int32_t)get_int(&slot_reader, "running", 0, 1 << 20) };

		if (!reader_ok(&slot_reader, err))
			return false;
		g_array_append_val(r->slots, s);
	}
	return reader_ok(&reader, err);
}

bool
sync_from_json(const char *text, size_t bytes, const char *worker,
    sync_answer_t *r, GError **err)
{
	json_t *j = parse_json(text, bytes, err);
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
