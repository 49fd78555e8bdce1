/*
 * Settings: read from flags, which GLib parses, and from environment variables.
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
	g_autofree char *upper = g_ascii_strup(flag, -1);

	return g_strconcat(ENV_PREFIX, g_strdelimit(upper, "-", '_'), NULL);
}

/*
 * The value of a setting: that of the flag, else of the environment variable,
 * else the default.  *origin is what precedes the name of the setting in error
 * messages: "--", or the prefix of the variable.
 */
static const char *
setting_value(const setting_t *s, const char *flag, const char **origin)
{
	g_autofree char *variable = env_name(s->name);

	*origin = "--";
	if (flag != NULL)
		return flag;
	if (g_getenv(variable) != NULL) {
		*origin = ENV_PREFIX;
		return g_getenv(variable);
	}
	return s->default_value;
}

/* Checks a value, stores it, and prints an error if it is wrong or missing. */
static bool
setting_store(const setting_t *s, const char *v, const char *origin)
{
	g_autofree char *variable = env_name(s->name);
	const char *name =
	    origin[0] == '-' ? s->name : variable + strlen(ENV_PREFIX);
	int64_t n;

	if (v == NULL) {
		if (s->optional)
			return true;
		fprintf(stderr, "tanagerspool: --%s or %s must be given: %s\n",
		    s->name, variable, s->help);
		return false;
	}
	if (s->type == SET_TEXT) {
		if (!g_utf8_validate(v, -1, NULL) ||
		    (v[0] == '\0' && !s->optional)) {
			fprintf(stderr,
			    "tanagerspool: %s%s: must be UTF-8 text and not "
			    "empty\n",
			    origin, name);
			return false;
		}
		*(char **)s->dest = g_strdup(v);
		return true;
	}
	if (!g_ascii_string_to_signed(v, 10, s->min, s->max, &n, NULL)) {
		fprintf(stderr,
		    "tanagerspool: %s%s: '%s' is not a whole "
		    "number from %" PRId64 " to %" PRId64 "\n",
		    origin, name, v, s->min, s->max);
		return false;
	}
	*(int32_t *)s->dest = (int32_t)n;
	return true;
}

/* The help with the range and the default, in memory that is never freed. */
static const char *
setting_help(const setting_t *s)
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

/*
 * Describes the settings to GLib's parser, which stores the values of flags in
 * texts and bools by the index of the setting.  options is zeroed and has one
 * element more than there are settings.
 */
static GOptionContext *
option_context_new(const setting_t *settings, char **texts, gboolean *bools,
    GOptionEntry *options, const char *usage, const char *summary)
{
	GOptionContext *oc = g_option_context_new(usage);
	int n = 0;

	for (; settings[n].name != NULL; n++) {
		options[n].long_name = settings[n].name;
		options[n].arg = settings[n].type == SET_FLAG ?
		    G_OPTION_ARG_NONE :
		    G_OPTION_ARG_STRING;
		options[n].arg_data = settings[n].type == SET_FLAG ?
		    (void *)&bools[n] :
		    (void *)&texts[n];
		options[n].description = setting_help(&settings[n]);
		options[n].arg_description = settings[n].arg_name;
	}
	g_option_context_set_summary(oc, summary);
	g_option_context_set_description(oc,
	    "Settings with a value can also be given in the environment, "
	    "as " ENV_PREFIX
	    "NAME in capitals with _ for -; the flag takes precedence.\n"
	    "Exit codes: 0 done, 1 failed, 2 wrong usage or table, 3 the "
	    "tables were changed by someone else first, 4 no answer.");
	g_option_context_add_main_entries(oc, options, NULL);
	return oc;
}

bool
settings_parse(const setting_t *settings, const char *usage,
    const char *summary, int *argc, char ***argv, GStrv *args)
{
	int n = 0;
	g_autoptr(GError) err = NULL;
	bool ok = true;

	while (settings[n].name != NULL)
		n++;

	gboolean *bools = g_new0(gboolean, n + 1);
	char **texts = g_new0(char *, n + 1);
	GOptionEntry *options = g_new0(GOptionEntry, n + 1);
	GOptionContext *oc =
	    option_context_new(settings, texts, bools, options, usage, summary);

	if (!g_option_context_parse(oc, argc, argv, &err)) {
		fprintf(stderr, "tanagerspool: %s; see --help\n", err->message);
		ok = false;
	}
	g_option_context_free(oc);
	for (int i = 0; i < n && ok; i++) {
		const char *origin, *v;

		if (settings[i].type == SET_FLAG) {
			*(bool *)settings[i].dest = bools[i];
			continue;
		}
		v = setting_value(&settings[i], texts[i], &origin);
		ok = setting_store(&settings[i], v, origin);
	}
	for (int i = 0; i < n; i++)
		g_free(texts[i]);
	g_free(texts);
	g_free(bools);
	g_free(options);
	*args = *argv + 1;
	return ok;
}
