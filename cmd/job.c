/*
 * tanagerspool job and status.
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

#define MOVES_MAX 64 /* rows followed from a first id */

typedef struct {
	char *entry;
	char *operator_token;
	char *platform;
	char *platform_token;
	char *team;
	char *pool;
	char *class;
	int32_t cpu_milli;
	int32_t mem_mb;
	int32_t accel;
	int32_t run_ms;
	int32_t deadline_s;
	int32_t tasks;
	bool urgent;
	bool json;
} job_opts_t;

static int
run_submit(const job_opts_t *o, const char *arg)
{
	g_autofree char *url = g_strconcat(o->entry, "/v1/jobs", NULL);
	int64_t deadline_ms =
	    g_get_real_time() / 1000 + (int64_t)o->deadline_s * 1000;
	json_t *j;
	char *body;
	GString *answer;
	int32_t status;

	(void)arg;
	if (o->team == NULL || o->pool == NULL) {
		fprintf(stderr,
		    "tanagerspool: job submit needs --team and "
		    "--pool\n");
		return EXIT_USAGE;
	}
	j = json_pack("{s:s s:s s:s s:i s:I s:i s:i s:I s:i s:b}", "team",
	    o->team, "pool", o->pool, "class", o->class, "cpu_milli",
	    o->cpu_milli, "mem_bytes", (json_int_t)o->mem_mb << 20, "accel",
	    o->accel, "run_ms", o->run_ms, "deadline_ms",
	    (json_int_t)deadline_ms, "tasks", o->tasks, "urgent", o->urgent);
	body = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	status = call_blocking("POST", url, o->operator_token, body, &answer);
	free(body);
	if (status != 200)
		return call_report_error("entry", status, answer);
	j = json_loadb(answer->str, answer->len, 0, NULL);
	printf(o->json ? "{\"id\":\"%s\"}\n" : "%s\n",
	    json_string_value(json_object_get(j, "id")));
	json_decref(j);
	return EXIT_OK;
}

static int
run_cancel(const job_opts_t *o, const char *id)
{
	g_autofree char *esc = g_uri_escape_string(id, "", FALSE);
	g_autofree char *url = g_strconcat(o->entry, "/v1/jobs/", esc, NULL);
	GString *answer;
	int32_t status =
	    call_blocking("DELETE", url, o->operator_token, NULL, &answer);

	if (status != 200)
		return call_report_error("entry", status, answer);
	printf("cancelled\n");
	return EXIT_OK;
}

static GArray *
fetch(const job_opts_t *o, const char *id, int *code)
{
	g_autofree char *esc = g_uri_escape_string(id, "/", FALSE);
	g_autofree char *url =
	    g_strconcat(o->platform, "/v1/rows?newer=0&prefix=job/", esc, NULL);
	g_autoptr(GError) err = NULL;
	GString *answer;
	int32_t status =
	    call_blocking("GET", url, o->platform_token, NULL, &answer);
	GArray *rows = NULL;

	if (status != 200) {
		*code = call_report_error("platform", status, answer);
		return NULL;
	}
	rows = rows_from_json(answer->str, answer->len, &err);
	if (rows == NULL) {
		fprintf(stderr, "tanagerspool: platform: %s\n", err->message);
		*code = EXIT_FAILED;
	}
	g_string_free(answer, TRUE);
	return rows;
}

static void
print_job(const job_opts_t *o, const ts_job_t *j)
{
	json_t *v;
	char *s;

	if (o->json) {
		v = job_to_json(j);
		s = json_dumps(v, JSON_COMPACT);
		printf("%s\n", s);
		free(s);
		json_decref(v);
		return;
	}
	printf("%-40s %-9s %-10s %-10s attempt %d %s%s\n", j->id,
	    job_state_name(j->state), j->team, j->pool, j->attempt,
	    j->worker == NULL ? "" : "on ", j->worker == NULL ? "" : j->worker);
}

/* Shows a job, following it from group to group. */
static int
run_status(const job_opts_t *o, const char *first)
{
	g_autofree char *id = g_strdup(first);
	int code = EXIT_OK;

	for (int i = 0; i < MOVES_MAX; i++) {
		GArray *rows = fetch(o, id, &code);
		const ts_job_t *j = NULL;

		if (rows == NULL)
			return code;
		for (guint k = 0; k < rows->len && j == NULL; k++) {
			j = &g_array_index(rows, ts_row_t, k).u.job;
			if (strcmp(j->id, id) != 0)
				j = NULL;
		}
		if (j == NULL) {
			fprintf(stderr, "tanagerspool: no job %s\n", id);
			return EXIT_FAILED;
		}
		if (j->state != TS_JOB_MOVED) {
			print_job(o, j);
			return EXIT_OK;
		}
		g_free(id);
		id = g_strdup(j->moved_to);
		rows_free(rows);
	}
	return EXIT_FAILED;
}

static int
run_list(const job_opts_t *o, const char *arg)
{
	int code = EXIT_OK;
	GArray *rows = fetch(o, "", &code);

	(void)arg;
	if (rows == NULL)
		return code;
	for (guint i = 0; i < rows->len; i++) {
		const ts_job_t *j = &g_array_index(rows, ts_row_t, i).u.job;

		if (j->state != TS_JOB_MOVED &&
		    (o->team == NULL || strcmp(o->team, j->team) == 0))
			print_job(o, j);
	}
	rows_free(rows);
	return EXIT_OK;
}

typedef struct {
	const char *name;
	int (*run)(const job_opts_t *o, const char *arg);
	bool id;    /* takes a job's id */
	bool entry; /* asks an entry, else the platform */
} verb_t;

static const verb_t verbs[] = {
	{ "submit", run_submit, false, true },
	{ "cancel", run_cancel, true, true },
	{ "status", run_status, true, false },
	{ "list", run_list, false, false },
};

static bool
have(const char *what, const char *value)
{
	if (value != NULL)
		return true;
	fprintf(stderr, "tanagerspool: --%s must be given\n", what);
	return false;
}

int
job_main(int argc, char **argv)
{
	job_opts_t o = { 0 };
	const setting_t set[] = { { "entry", SET_TEXT, &o.entry, NULL, 0, 0,
				      "URL", "operators' port of an entry",
				      true },
		{ "operator-token", SET_TEXT, &o.operator_token, NULL, 0, 0,
		    "TOKEN", "token operators must show", true },
		{ "platform", SET_TEXT, &o.platform, NULL, 0, 0, "URL",
		    "address of the platform", true },
		{ "platform-token", SET_TEXT, &o.platform_token, NULL, 0, 0,
		    "TOKEN", "token for the platform", true },
		{ "team", SET_TEXT, &o.team, NULL, 0, 0, "TEAM",
		    "whose quota it counts against", true },
		{ "pool", SET_TEXT, &o.pool, NULL, 0, 0, "POOL",
		    "batch pool to run in", true },
		{ "class", SET_TEXT, &o.class, "", 0, 0, "CLASS",
		    "jobs alike in size and behaviour", true },
		{ "cpu-milli", SET_INT, &o.cpu_milli, "1000", 1, 1 << 30, "N",
		    "thousandths of a processor", false },
		{ "mem-mb", SET_INT, &o.mem_mb, "256", 0, 1 << 30, "N",
		    "memory in MiB", false },
		{ "accel", SET_INT, &o.accel, "0", 0, 1024, "N", "accelerators",
		    false },
		{ "run-ms", SET_INT, &o.run_ms, "60000", 1, INT32_MAX, "MS",
		    "run time to expect", false },
		{ "deadline-s", SET_INT, &o.deadline_s, "3600", 1, 1 << 30, "S",
		    "to be done within", false },
		{ "tasks", SET_INT, &o.tasks, "1", 1, 60, "N",
		    "tasks of that size", false },
		{ "urgent", SET_FLAG, &o.urgent, NULL, 0, 0, NULL,
		    "start before all else", true },
		{ "json", SET_FLAG, &o.json, NULL, 0, 0, NULL, "print JSON",
		    true },
		{ NULL, 0, NULL, NULL, 0, 0, NULL, NULL, false } };
	GStrv rest;

	if (!settings_parse(set, "submit | status ID | cancel ID | list",
		"Submits, shows, cancels or lists batch jobs.", &argc, &argv,
		&rest))
		return EXIT_USAGE;
	for (size_t i = 0; rest[0] != NULL && i < G_N_ELEMENTS(verbs); i++) {
		const verb_t *v = &verbs[i];

		if (strcmp(v->name, rest[0]) != 0)
			continue;
		if (g_strv_length(rest) != (v->id ? 2U : 1U))
			break;
		if (!(v->entry ? have("entry", o.entry) &&
				have("operator-token", o.operator_token) :
				 have("platform", o.platform)))
			return EXIT_USAGE;
		return v->run(&o, rest[1]);
	}
	fprintf(stderr,
	    "usage: tanagerspool job submit | status ID | "
	    "cancel ID | list\n");
	return EXIT_USAGE;
}

int
status_main(int argc, char **argv)
{
	char *entry = NULL, *token = NULL;
	const setting_t set[] = { { "entry", SET_TEXT, &entry, NULL, 0, 0,
				      "URL", "operators' port of an entry",
				      false },
		{ "operator-token", SET_TEXT, &token, NULL, 0, 0, "TOKEN",
		    "token operators must show", false },
		{ NULL, 0, NULL, NULL, 0, 0, NULL, NULL, false } };
	g_autofree char *url = NULL;
	GString *answer;
	int32_t status;
	GStrv rest;

	if (!settings_parse(set, "",
		"Shows owners, workers, peers, versions "
		"and refusals as one entry sees them.",
		&argc, &argv, &rest))
		return EXIT_USAGE;
	url = g_strconcat(entry, "/status", NULL);
	status = call_blocking("GET", url, token, NULL, &answer);
	if (status != 200)
		return call_report_error("entry", status, answer);
	fputs(answer->str, stdout);
	return EXIT_OK;
}
