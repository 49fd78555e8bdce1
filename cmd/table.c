/*
 * The commands 'tanagerspool table' and 'tanagerspool zone', by which operators
 * read and change the two tables, routes and pools.  The platform keeps both in
 * one row, which is written only if its version is still the one that was
 * edited.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../proto/proto.h"
#include "../trans/trans.h"
#include "cmd.h"

#define CONF_KEY     "conf"
#define VERSION_LINE "# version " /* first line of a file from 'table get' */
#define MAX_ATTEMPTS 5

/* Settings of both commands. */
typedef struct {
	char *platform; /* base URL */
	char *platform_token;
	char *version; /* that was edited; NULL: as in the files */
	bool json;
} table_opts_t;

/* The row of the platform that has both tables. */
typedef struct {
	ts_row_t row;
	bool found; /* false: none was written yet */
} tables_t;

static bool
read_file(const char *path, char **text)
{
	g_autoptr(GError) err = NULL;

	if (g_file_get_contents(path, text, NULL, &err))
		return true;
	fprintf(stderr, "tanagerspool: %s\n", err->message);
	return false;
}

/* Checks both tables, prints all errors and returns whether there are none. */
static bool
check_tables(const char *routes, const char *pools)
{
	g_autoptr(GPtrArray) errs = g_ptr_array_new_with_free_func(g_free);
	ts_conf_t *c = ts_conf_parse(routes, pools, 1, errs);

	ts_conf_free(c);
	for (guint i = 0; i < errs->len; i++)
		fprintf(stderr, "%s\n", (char *)errs->pdata[i]);
	return errs->len == 0;
}

/* Reads both tables.  Returns an exit code. */
static int
fetch_tables(const table_opts_t *o, tables_t *t)
{
	g_autofree char *url = g_strconcat(
	    o->platform, "/v1/rows?prefix=" CONF_KEY "&newer=0", NULL);
	g_autoptr(GError) err = NULL;
	GString *answer;
	int32_t status =
	    call_blocking("GET", url, o->platform_token, NULL, &answer);
	GArray *rows;

	memset(t, 0, sizeof(*t));
	if (status != 200)
		return call_report_error("platform", status, answer);
	rows = rows_from_json(answer->str, answer->len, &err);
	g_string_free(answer, TRUE);
	if (rows == NULL) {
		fprintf(stderr, "tanagerspool: platform: %s\n", err->message);
		return EXIT_FAILED;
	}
	for (guint i = 0; i < rows->len; i++) {
		ts_row_t *r = &g_array_index(rows, ts_row_t, i);

		if (strcmp(r->key, CONF_KEY) != 0)
			continue;
		t->row = *r;
		t->found = true;
		r->u.conf.routes = r->u.conf.pools = NULL;
	}
	rows_free(rows);
	return EXIT_OK;
}

/* Prints which version has replaced base_version; returns an exit code. */
static int
report_conflict(const table_opts_t *o, int64_t base_version)
{
	tables_t current;

	if (fetch_tables(o, &current) != EXIT_OK)
		return EXIT_CONFLICT;
	fprintf(stderr,
	    "tanagerspool: not written: you edited version %" PRId64
	    ", but version %" PRId64 " is current; get it with 'table get', "
	    "merge your edit ('table diff' shows it) and put again\n",
	    base_version, current.row.version);
	row_clear(&current.row);
	return EXIT_CONFLICT;
}

static void
print_version(const table_opts_t *o, int64_t version)
{
	if (o->json)
		printf("{\"version\":%" PRId64 "}\n", version);
	else
		printf("version %" PRId64 "\n", version);
}

/*
 * Writes both tables if their version is still base_version.  If no answer
 * comes, the same write is sent again.  A conflict may then be with an earlier
 * attempt whose answer was lost; in that case the row has this call's writer
 * token, and the write has succeeded.
 */
static int
put_tables(const table_opts_t *o, const char *routes, const char *pools,
    int64_t base_version)
{
	ts_txn_row_t txn_row = { .write = true };
	g_autofree char *url = g_strconcat(o->platform, "/v1/txn", NULL);
	g_autofree char *body = NULL;
	int32_t status = 0;
	GString *answer = NULL;
	tables_t current;

	txn_row.row.kind = TS_ROW_CONF;
	txn_row.row.version = base_version;
	g_strlcpy(txn_row.row.key, CONF_KEY, sizeof(txn_row.row.key));
	snprintf(txn_row.row.writer, sizeof(txn_row.row.writer),
	    "operator.%d.%" PRIx64, (int)getpid(), uv_hrtime());
	txn_row.row.u.conf.routes = (char *)routes;
	txn_row.row.u.conf.pools = (char *)pools;
	body = txn_to_json(&txn_row, 1);
	for (int i = 0; i < MAX_ATTEMPTS; i++) {
		status = call_blocking(
		    "POST", url, o->platform_token, body, &answer);
		if (status == 200 || status == 409)
			break;
	}
	if (status != 200 && status != 409) {
		fprintf(stderr,
		    "tanagerspool: the tables may or may not have been "
		    "written; check with 'table get'\n");
		return call_report_error("platform", status, answer);
	}
	if (fetch_tables(o, &current) != EXIT_OK)
		return EXIT_NO_ANSWER;
	if (status == 409 &&
	    strcmp(current.row.writer, txn_row.row.writer) != 0)
		return report_conflict(o, base_version);
	if (status == 200) {
		json_t *j = json_loadb(answer->str, answer->len, 0, NULL);

		print_version(
		    o, json_integer_value(json_object_get(j, "version")));
		json_decref(j);
	} else
		print_version(o, current.row.version);
	row_clear(&current.row);
	return EXIT_OK;
}

/* The version of the tables in a file's first line; -1 if there is none. */
static int64_t
file_version(const char *text)
{
	if (!g_str_has_prefix(text, VERSION_LINE))
		return -1;
	return g_ascii_strtoll(text + strlen(VERSION_LINE), NULL, 10);
}

static const char *
skip_version_line(const char *text)
{
	const char *end;

	if (file_version(text) < 0)
		return text;
	end = strchr(text, '\n');
	return end == NULL ? "" : end + 1;
}

static bool
write_file(const char *path, int64_t version, const char *text)
{
	g_autofree char *all =
	    g_strdup_printf(VERSION_LINE "%" PRId64 "\n%s", version, text);
	g_autoptr(GError) err = NULL;

	if (g_file_set_contents(path, all, -1, &err))
		return true;
	fprintf(stderr, "tanagerspool: %s\n", err->message);
	return false;
}

static int
run_get(const table_opts_t *o, GStrv files)
{
	tables_t t;
	int e = fetch_tables(o, &t);

	if (e != EXIT_OK)
		return e;
	if (!t.found) {
		t.row.u.conf.routes = g_strdup("");
		t.row.u.conf.pools = g_strdup("");
	}
	if (!write_file(files[0], t.row.version, t.row.u.conf.routes) ||
	    !write_file(files[1], t.row.version, t.row.u.conf.pools))
		return EXIT_FAILED;
	print_version(o, t.row.version);
	return EXIT_OK;
}

static int
run_check(const table_opts_t *o, GStrv files)
{
	g_autofree char *routes = NULL;
	g_autofree char *pools = NULL;

	(void)o;
	if (!read_file(files[0], &routes) || !read_file(files[1], &pools) ||
	    !check_tables(routes, pools))
		return EXIT_USAGE;
	printf("ok\n");
	return EXIT_OK;
}

static int
run_put(const table_opts_t *o, GStrv files)
{
	g_autofree char *routes = NULL;
	g_autofree char *pools = NULL;
	int64_t base_version;

	if (!read_file(files[0], &routes) || !read_file(files[1], &pools) ||
	    !check_tables(routes, pools))
		return EXIT_USAGE;
	base_version = MAX(file_version(routes), file_version(pools));
	if (o->version != NULL &&
	    !g_ascii_string_to_signed(
		o->version, 10, 0, INT64_MAX, &base_version, NULL)) {
		fprintf(stderr,
		    "tanagerspool: --version: '%s' is not a whole "
		    "number from 0\n",
		    o->version);
		return EXIT_USAGE;
	}
	if (base_version < 0) {
		fprintf(stderr,
		    "tanagerspool: give --version, or edit files that "
		    "'table get' wrote\n");
		return EXIT_USAGE;
	}
	return put_tables(o, skip_version_line(routes),
	    skip_version_line(pools), base_version);
}

/*
 * Prints the lines that are only in old or only in new, in order, and returns
 * whether there are none.  Its time is quadratic: the tables are short.
 */
static bool
diff_text(const char *file, const char *old, const char *new)
{
	g_auto(GStrv) old_lines = g_strsplit(old, "\n", -1);
	g_auto(GStrv) new_lines = g_strsplit(new, "\n", -1);
	guint i = 0, j = 0, ahead;
	bool same = true;

	while (old_lines[i] != NULL || new_lines[j] != NULL) {
		if (old_lines[i] != NULL && new_lines[j] != NULL &&
		    strcmp(old_lines[i], new_lines[j]) == 0) {
			i++;
			j++;
			continue;
		}
		same = false;
		/* Looks for the old line further on in new. */
		for (ahead = j;
		     old_lines[i] != NULL && new_lines[ahead] != NULL &&
		     strcmp(old_lines[i], new_lines[ahead]) != 0;
		     ahead++)
			continue;
		if (old_lines[i] != NULL && new_lines[ahead] == NULL)
			printf("%s:%u: -%s\n", file, i + 1, old_lines[i]), i++;
		else
			while (j < ahead ||
			    (old_lines[i] == NULL && new_lines[j] != NULL)) {
				printf(
				    "%s:%u: +%s\n", file, j + 1, new_lines[j]);
				j++;
			}
	}
	return same;
}

static int
run_diff(const table_opts_t *o, GStrv files)
{
	g_autofree char *routes = NULL;
	g_autofree char *pools = NULL;
	tables_t t;
	bool same;
	int e;

	if (!read_file(files[0], &routes) || !read_file(files[1], &pools))
		return EXIT_USAGE;
	if ((e = fetch_tables(o, &t)) != EXIT_OK)
		return e;
	same = diff_text(files[0], t.found ? t.row.u.conf.routes : "",
	    skip_version_line(routes));
	same = diff_text(files[1], t.found ? t.row.u.conf.pools : "",
		   skip_version_line(pools)) &&
	    same;
	row_clear(&t.row);
	return same ? EXIT_OK : EXIT_FAILED;
}

typedef struct {
	const char *name;
	int (*run)(const table_opts_t *o, GStrv files);
	bool needs_platform; /* the platform's URL must be given */
} subcommand_t;

static const subcommand_t subcommands[] = {
	{ "check", run_check, false },
	{ "get", run_get, true },
	{ "put", run_put, true },
	{ "diff", run_diff, true },
};

static bool
parse_settings(table_opts_t *o, const char *usage, const char *summary,
    int argc, char **argv, GStrv *args)
{
	const setting_t settings[] = { { "platform", SET_TEXT, &o->platform,
					   NULL, 0, 0, "URL",
					   "base URL of the platform", true },
		{ "platform-token", SET_TEXT, &o->platform_token, NULL, 0, 0,
		    "TOKEN", "token for the platform", true },
		{ "version", SET_TEXT, &o->version, NULL, 0, 0, "N",
		    "version that was edited, if the files do not begin with "
		    "it; 0 if there are no tables yet",
		    true },
		{ "json", SET_FLAG, &o->json, NULL, 0, 0, NULL, "print JSON",
		    true },
		{ NULL, 0, NULL, NULL, 0, 0, NULL, NULL, false } };

	return settings_parse(settings, usage, summary, &argc, &argv, args);
}

static int
require_platform(const table_opts_t *o)
{
	if (o->platform != NULL)
		return EXIT_OK;
	fprintf(stderr,
	    "tanagerspool: --platform or TANAGERSPOOL_PLATFORM "
	    "must be given\n");
	return EXIT_USAGE;
}

int
table_main(int argc, char **argv)
{
	table_opts_t o = { 0 };
	GStrv args;

	if (!parse_settings(&o, "check|get|put|diff ROUTES POOLS",
		"Checks, reads, writes or compares the two tables.", argc, argv,
		&args))
		return EXIT_USAGE;
	for (size_t i = 0; args[0] != NULL && i < G_N_ELEMENTS(subcommands);
	     i++) {
		if (strcmp(subcommands[i].name, args[0]) != 0)
			continue;
		if (g_strv_length(args) != 3)
			break;
		if (subcommands[i].needs_platform &&
		    require_platform(&o) != EXIT_OK)
			return EXIT_USAGE;
		return subcommands[i].run(&o, args + 1);
	}
	fprintf(stderr,
	    "usage: tanagerspool table check|get|put|diff "
	    "ROUTES POOLS\n");
	return EXIT_USAGE;
}

int
zone_main(int argc, char **argv)
{
	table_opts_t o = { 0 };
	g_autofree char *pools = NULL;
	g_autoptr(GError) err = NULL;
	GStrv args;
	tables_t t;
	bool take_out;
	int e;

	if (!parse_settings(&o, "out|in ZONE",
		"Takes a data centre out of service, or "
		"brings it back.",
		argc, argv, &args))
		return EXIT_USAGE;
	if (g_strv_length(args) != 2 ||
	    (strcmp(args[0], "out") != 0 && strcmp(args[0], "in") != 0)) {
		fprintf(stderr, "usage: tanagerspool zone out|in ZONE\n");
		return EXIT_USAGE;
	}
	take_out = strcmp(args[0], "out") == 0;
	if (require_platform(&o) != EXIT_OK)
		return EXIT_USAGE;
	/* Only one field changes, so the edit can be repeated on conflict. */
	for (int i = 0; i < MAX_ATTEMPTS; i++) {
		if ((e = fetch_tables(&o, &t)) != EXIT_OK)
			return e;
		pools = ts_conf_set_zone(
		    t.found ? t.row.u.conf.pools : "", args[1], take_out, &err);
		if (pools == NULL) {
			fprintf(stderr, "tanagerspool: %s\n", err->message);
			return EXIT_USAGE;
		}
		if (!check_tables(t.row.u.conf.routes, pools))
			return EXIT_USAGE;
		e = put_tables(&o, t.row.u.conf.routes, pools, t.row.version);
		if (e != EXIT_CONFLICT)
			return e;
		g_clear_pointer(&pools, g_free);
		row_clear(&t.row);
	}
	return EXIT_CONFLICT;
}
