/*
 * Settings: flags by GLib's options, and environment variables.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "cmd.h"

#define ENV_PREFIX "TANAGERSPOOL_"

static char *
env_name(const char *flag)
{
	g_autofree char *up = g_ascii_strup(flag, -1);

	return g_strconcat(ENV_PREFIX, g_strdelimit(up, "-", '_'), NULL);
}

/* The flag's value, or the variable's, or the default. */
static const char *
chosen(const setting_t *s, const char *flag, const char **from)
{
	g_autofree char *env = env_name(s->name);

	*from = "--";
	if (flag != NULL)
		return flag;
	if (g_getenv(env) != NULL) {
		*from = ENV_PREFIX;
		return g_getenv(env);
	}
	return s->default_value;
}

static bool
store(const setting_t *s, const char *v, const char *from)
{
	g_autofree char *env = env_name(s->name);
	const char *name = from[0] == '-' ? s->name : env + strlen(ENV_PREFIX);
	int64_t n;

	if (v == NULL) {
		if (s->optional)
			return true;
		fprintf(stderr, "tanagerspool: --%s or %s must be given: %s\n",
		    s->name, env, s->help);
		return false;
	}
	if (s->type == SET_TEXT) {
		if (!g_utf8_validate(v, -1, NULL) ||
		    (v[0] == '\0' && !s->optional)) {
			fprintf(stderr, "tanagerspool: %s%s: must be text\n",
			    from, name);
			return false;
		}
		*(char **)s->dest = g_strdup(v);
		return true;
	}
	if (!g_ascii_string_to_signed(v, 10, s->min, s->max, &n, NULL)) {
		fprintf(stderr,
		    "tanagerspool: %s%s: '%s' is not a whole "
		    "number from %" PRId64 " to %" PRId64 "\n",
		    from, name, v, s->min, s->max);
		return false;
	}
	*(int32_t *)s->dest = (int32_t)n;
	return true;
}

/* The help with range and default; kept until the process ends. */
static const char *
described(const setting_t *s)
{
	if (s->type == SET_FLAG)
		return s->help;
	if (s->type == SET_INT)
		return g_strdup_printf("%s (%" PRId64 " to %" PRId64
				       ", default %s)",
		    s->help, s->min, s->max, s->default_value);
	if (s->default_value != NULL && s->default_value[0] != '\0')
		return g_strdup_printf(
		    "%s (default %s)", s->help, s->default_value);
	return s->optional ? s->help :
			     g_strdup_printf("%s (must be given)", s->help);
}

static GOptionContext *
options(const setting_t *set, char **flags, gboolean *bools, GOptionEntry *e,
    const char *usage, const char *summary)
{
	GOptionContext *oc = g_option_context_new(usage);
	int n = 0;

	for (; set[n].name != NULL; n++) {
		e[n].long_name = set[n].name;
		e[n].arg = set[n].type == SET_FLAG ? G_OPTION_ARG_NONE :
						     G_OPTION_ARG_STRING;
		e[n].arg_data = set[n].type == SET_FLAG ? (void *)&bools[n] :
							  (void *)&flags[n];
		e[n].description = described(&set[n]);
		e[n].arg_description = set[n].arg_name;
	}
	g_option_context_set_summary(oc, summary);
	g_option_context_set_description(oc,
	    "Each setting may also be given in the environment, as " ENV_PREFIX
	    "NAME with - as _; the flag wins.\n"
	    "Exit codes: 0 done, 1 failed, 2 wrong usage or table, 3 lost a "
	    "race, 4 no answer.");
	g_option_context_add_main_entries(oc, e, NULL);
	return oc;
}

bool
settings_parse(const setting_t *set, const char *usage, const char *summary,
    int *argc, char ***argv, GStrv *rest)
{
	int n = 0;
	g_autoptr(GError) err = NULL;
	bool ok = true;

	while (set[n].name != NULL)
		n++;

	gboolean *bools = g_new0(gboolean, n + 1);
	char **flags = g_new0(char *, n + 1);
	GOptionEntry *e = g_new0(GOptionEntry, n + 1);
	GOptionContext *oc = options(set, flags, bools, e, usage, summary);

	if (!g_option_context_parse(oc, argc, argv, &err)) {
		fprintf(stderr, "tanagerspool: %s; see --help\n", err->message);
		ok = false;
	}
	g_option_context_free(oc);
	for (int i = 0; i < n && ok; i++) {
		const char *from, *v;

		if (set[i].type == SET_FLAG) {
			*(bool *)set[i].dest = bools[i];
			continue;
		}
		v = chosen(&set[i], flags[i], &from);
		ok = store(&set[i], v, from);
	}
	for (int i = 0; i < n; i++)
		g_free(flags[i]);
	g_free(flags);
	g_free(bools);
	g_free(e);
	*rest = *argv + 1;
	return ok;
}
