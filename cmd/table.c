/*
 * tanagerspool table and zone: operators' edits of the two tables.
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
#define VERSION_LINE "# version "
#define TRIES	     5

typedef struct {
	char *platform;
	char *token;
	char *version;
	bool json;
} table_opts_t;

/* The tables as the platform keeps them. */
typedef struct {
	ts_row_t row;
	bool found;
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

/* Prints every error, and returns whether there was none. */
static bool
check(const char *routes, const char *pools)
{
	g_autoptr(GPtrArray) errs = g_ptr_array_new_with_free_func(g_free);
	ts_conf_t *c = ts_conf_parse(routes, pools, 1, errs);

	ts_conf_free(c);
	for (guint i = 0; i < errs->len; i++)
		fprintf(stderr, "%s\n", (char *)errs->pdata[i]);
	return errs->len == 0;
}

static int
fetch(const table_opts_t *o, tables_t *t)
{
	g_autofree char *url = g_strconcat(
	    o->platform, "/v1/rows?prefix=" CONF_KEY "&newer=0", NULL);
	g_autoptr(GError) err = NULL;
	GString *answer;
	int32_t status = call_blocking("GET", url, o->token, NULL, &answer);
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

static int
lost_race(const table_opts_t *o, int64_t base)
{
	tables_t now;

	if (fetch(o, &now) != EXIT_OK)
		return EXIT_CONFLICT;
	fprintf(stderr,
	    "tanagerspool: not put: you edited version %" PRId64
	    ", version %" PRId64 " has won; run 'table get' for it, merge "
	    "your edit ('table diff' shows it) and put again\n",
	    base, now.row.version);
	row_clear(&now.row);
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
 * Writes both tables if their version is still base.  When no answer comes,
 * the same write is sent again, and the writer's token on the row tells
 * whether an earlier one was applied.
 */
static int
put(const table_opts_t *o, const char *routes, const char *pools, int64_t base)
{
	ts_txn_row_t x = { .write = true };
	g_autofree char *url = g_strconcat(o->platform, "/v1/txn", NULL);
	g_autofree char *body = NULL;
	int32_t status = 0;
	GString *answer = NULL;
	tables_t now;

	x.row.kind = TS_ROW_CONF;
	x.row.version = base;
	g_strlcpy(x.row.key, CONF_KEY, sizeof(x.row.key));
	snprintf(x.row.writer, sizeof(x.row.writer), "operator.%d.%" PRIx64,
	    (int)getpid(), uv_hrtime());
	x.row.u.conf.routes = (char *)routes;
	x.row.u.conf.pools = (char *)pools;
	body = txn_to_json(&x, 1);
	for (int i = 0; i < TRIES; i++) {
		status = call_blocking("POST", url, o->token, body, &answer);
		if (status == 200 || status == 409)
			break;
	}
	if (status != 200 && status != 409) {
		fprintf(stderr,
		    "tanagerspool: whether the tables were put is "
		    "not known; look with 'table get'\n");
		return call_report_error("platform", status, answer);
	}
	if (fetch(o, &now) != EXIT_OK)
		return EXIT_NO_ANSWER;
	if (status == 409 && strcmp(now.row.writer, x.row.writer) != 0)
		return lost_race(o, base);
	if (status == 200) {
		json_t *j = json_loadb(answer->str, answer->len, 0, NULL);

		print_version(
		    o, json_integer_value(json_object_get(j, "version")));
		json_decref(j);
	} else
		print_version(o, now.row.version);
	row_clear(&now.row);
	return EXIT_OK;
}

/* The version a file was got at, from its first line; -1 if it has none. */
static int64_t
version_of(const char *text)
{
	if (!g_str_has_prefix(text, VERSION_LINE))
		return -1;
	return g_ascii_strtoll(text + strlen(VERSION_LINE), NULL, 10);
}

static const char *
without_version(const char *text)
{
	const char *end;

	if (version_of(text) < 0)
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
	int e = fetch(o, &t);

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
	    !check(routes, pools))
		return EXIT_USAGE;
	printf("ok\n");
	return EXIT_OK;
}

static int
run_put(const table_opts_t *o, GStrv files)
{
	g_autofree char *routes = NULL;
	g_autofree char *pools = NULL;
	int64_t base;

	if (!read_file(files[0], &routes) || !read_file(files[1], &pools) ||
	    !check(routes, pools))
		return EXIT_USAGE;
	base = MAX(version_of(routes), version_of(pools));
	if (o->version != NULL &&
	    !g_ascii_string_to_signed(
		o->version, 10, 0, INT64_MAX, &base, NULL)) {
		fprintf(stderr,
		    "tanagerspool: --version: '%s' is not a whole "
		    "number from 0\n",
		    o->version);
		return EXIT_USAGE;
	}
	if (base < 0) {
		fprintf(stderr,
		    "tanagerspool: give --version, or edit files "
		    "written by 'table get'\n");
		return EXIT_USAGE;
	}
	return put(o, without_version(routes), without_version(pools), base);
}

/* Lines only on one side, in order; the tables are short. */
static bool
diff_text(const char *file, const char *old, const char *new)
{
	g_auto(GStrv) a = g_strsplit(old, "\n", -1);
	g_auto(GStrv) b = g_strsplit(new, "\n", -1);
	guint i = 0, j = 0, ahead;
	bool same = true;

	while (a[i] != NULL || b[j] != NULL) {
		if (a[i] != NULL && b[j] != NULL && strcmp(a[i], b[j]) == 0) {
			i++;
			j++;
			continue;
		}
		same = false;
		/* Does the old line come back further on? */
		for (ahead = j; a[i] != NULL && b[ahead] != NULL &&
		     strcmp(a[i], b[ahead]) != 0;
		     ahead++)
			continue;
		if (a[i] != NULL && b[ahead] == NULL)
			printf("%s:%u: -%s\n", file, i + 1, a[i]), i++;
		else
			while (j < ahead || (a[i] == NULL && b[j] != NULL)) {
				printf("%s:%u: +%s\n", file, j + 1, b[j]);
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
	if ((e = fetch(o, &t)) != EXIT_OK)
		return e;
	same = diff_text(files[0], t.found ? t.row.u.conf.routes : "",
	    without_version(routes));
	same = diff_text(files[1], t.found ? t.row.u.conf.pools : "",
		   without_version(pools)) &&
	    same;
	row_clear(&t.row);
	return same ? EXIT_OK : EXIT_FAILED;
}

typedef struct {
	const char *name;
	int (*run)(const table_opts_t *o, GStrv files);
	bool platform; /* needs it */
} verb_t;

static const verb_t verbs[] = {
	{ "check", run_check, false },
	{ "get", run_get, true },
	{ "put", run_put, true },
	{ "diff", run_diff, true },
};

static bool
parse(table_opts_t *o, const char *usage, const char *summary, int argc,
    char **argv, GStrv *rest)
{
	const setting_t set[] = { { "platform", SET_TEXT, &o->platform, NULL, 0,
				      0, "URL", "address of the platform",
				      true },
		{ "platform-token", SET_TEXT, &o->token, NULL, 0, 0, "TOKEN",
		    "token for the platform", true },
		{ "version", SET_TEXT, &o->version, NULL, 0, 0, "N",
		    "version that was edited, if the files do not say", true },
		{ "json", SET_FLAG, &o->json, NULL, 0, 0, NULL, "print JSON",
		    true },
		{ NULL, 0, NULL, NULL, 0, 0, NULL, NULL, false } };

	return settings_parse(set, usage, summary, &argc, &argv, rest);
}

static int
need_platform(const table_opts_t *o)
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
	GStrv rest;

	if (!parse(&o, "check|get|put|diff ROUTES POOLS",
		"Checks, reads, writes or compares the two tables.", argc, argv,
		&rest))
		return EXIT_USAGE;
	for (size_t i = 0; rest[0] != NULL && i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(verbs[i].name, rest[0]) != 0)
			continue;
		if (g_strv_length(rest) != 3)
			break;
		if (verbs[i].platform && need_platform(&o) != EXIT_OK)
			return EXIT_USAGE;
		return verbs[i].run(&o, rest + 1);
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
	GStrv rest;
	tables_t t;
	bool out;
	int e;

	if (!parse(&o, "out|in ZONE",
		"Takes a data centre out of service, or "
		"brings it back.",
		argc, argv, &rest))
		return EXIT_USAGE;
	if (g_strv_length(rest) != 2 ||
	    (strcmp(rest[0], "out") != 0 && strcmp(rest[0], "in") != 0)) {
		fprintf(stderr, "usage: tanagerspool zone out|in ZONE\n");
		return EXIT_USAGE;
	}
	out = strcmp(rest[0], "out") == 0;
	if (need_platform(&o) != EXIT_OK)
		return EXIT_USAGE;
	/* One field is edited, so a lost race is simply run again. */
	for (int i = 0; i < TRIES; i++) {
		if ((e = fetch(&o, &t)) != EXIT_OK)
			return e;
		pools = ts_conf_set_zone(
		    t.found ? t.row.u.conf.pools : "", rest[1], out, &err);
		if (pools == NULL) {
			fprintf(stderr, "tanagerspool: %s\n", err->message);
			return EXIT_USAGE;
		}
		if (!check(t.row.u.conf.routes, pools))
			return EXIT_USAGE;
		e = put(&o, t.row.u.conf.routes, pools, t.row.version);
		if (e != EXIT_CONFLICT)
			return e;
		g_clear_pointer(&pools, g_free);
		row_clear(&t.row);
	}
	return EXIT_CONFLICT;
}
