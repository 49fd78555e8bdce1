/*
 * The command 'tanagerspool config-check': reads the files and prints what
 * config_check.h finds.
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
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "cmd.h"
#include "config_check.h"

/*
 * Exit codes of this command.  EXIT_USAGE of the others is that of an error in
 * the configuration here.
 */
#define CHECK_WARNINGS 1
#define CHECK_ERRORS   2
#define CHECK_USAGE    64 /* also if a file can't be read */

static const char *const kind_names[FINDING_KINDS] = { "error", "warning",
	"change" };

/* Adds an error if the file does not decode; false if it can't be read. */
static bool
read_config(const char *path, const char *place, platform_config_t **cfg,
    GArray *findings)
{
	g_autoptr(GError) err = NULL;
	g_autofree char *text = NULL;
	gsize n;

	if (!g_file_get_contents(path, &text, &n, &err)) {
		fprintf(stderr, "tanagerspool: %s\n", err->message);
		return false;
	}
	*cfg = platform_config_parse((const uint8_t *)text, n, &err);
	if (*cfg == NULL)
		findings_add(
		    findings, FINDING_ERROR, place, "%s", err->message);
	return true;
}

static void
print_plain(const GArray *findings)
{
	for (guint i = 0; i < findings->len; i++) {
		const finding_t *f = &g_array_index(findings, finding_t, i);

		printf("%s: %s: %s\n", kind_names[f->kind], f->place, f->text);
	}
}

static void
print_json(const GArray *findings)
{
	json_t *list = json_array();
	json_t *all = json_object();
	char *text;

	for (guint i = 0; i < findings->len; i++) {
		const finding_t *f = &g_array_index(findings, finding_t, i);

		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s}", "kind", kind_names[f->kind],
			"place", f->place, "text", f->text));
	}
	json_object_set_new(all, "findings", list);
	json_object_set_new(all, "errors",
	    json_integer(findings_count(findings, FINDING_ERROR)));
	json_object_set_new(all, "warnings",
	    json_integer(findings_count(findings, FINDING_WARNING)));
	json_object_set_new(all, "changes",
	    json_integer(findings_count(findings, FINDING_CHANGE)));
	text = json_dumps(all, JSON_COMPACT);
	printf("%s\n", text);
	free(text);
	json_decref(all);
}

static int
exit_code(const GArray *findings)
{
	if (findings_count(findings, FINDING_ERROR) > 0)
		return CHECK_ERRORS;
	if (findings_count(findings, FINDING_WARNING) > 0)
		return CHECK_WARNINGS;
	return EXIT_OK;
}

static int
check_files(const char *path, const char *in_force_path, bool json)
{
	g_autoptr(GArray) findings = findings_new();
	platform_config_t *cfg = NULL, *in_force = NULL;
	int e = CHECK_USAGE;

	if (read_config(path, "configuration", &cfg, findings) &&
	    (in_force_path == NULL ||
		read_config(in_force_path, "in force", &in_force, findings))) {
		if (cfg != NULL)
			config_check(cfg, findings);
		if (cfg != NULL && in_force != NULL)
			config_compare(cfg, in_force, findings);
		if (json)
			print_json(findings);
		else
			print_plain(findings);
		e = exit_code(findings);
	}
	platform_config_free(cfg);
	platform_config_free(in_force);
	return e;
}

/* Flags are not read by settings_parse(), whose help has other exit codes. */
int
config_check_main(int argc, char **argv)
{
	g_autofree char *in_force = NULL;
	g_autoptr(GError) err = NULL;
	gboolean json = FALSE;
	const GOptionEntry options[] = {
		{ "in-force", 0, 0, G_OPTION_ARG_FILENAME, &in_force,
		    "compare with the configuration in force", "FILE" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
		{ NULL },
	};
	g_autoptr(GOptionContext) oc = g_option_context_new("FILE");

	g_option_context_set_summary(oc,
	    "Checks a configuration of the users' platform before it is sent.");
	g_option_context_set_description(oc,
	    "Exit codes: 0 nothing wrong, 1 warnings only, 2 errors, 64 wrong "
	    "usage or a file can't be read.");
	g_option_context_add_main_entries(oc, options, NULL);
	if (!g_option_context_parse(oc, &argc, &argv, &err)) {
		fprintf(stderr, "tanagerspool: %s; see --help\n", err->message);
		return CHECK_USAGE;
	}
	if (argc != 2) {
		fprintf(stderr,
		    "usage: tanagerspool config-check FILE [--in-force FILE] "
		    "[--json]\n");
		return CHECK_USAGE;
	}
	return check_files(argv[1], in_force, json);
}
