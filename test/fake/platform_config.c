/*
 * The operators' configuration that the stand-in of the users' platform serves.
 */
#include <glib.h>

#include "platform_config.h"

#define QUEUES		10
#define APPROVAL_QUEUE	9    /* its placements need approval */
#define QUOTA_CPU_MILLI 4000 /* of customer "two" */
#define CONFIG_VERSION	3
#define CONFIG_STEP	7 /* versions need not be consecutive */

char *
platform_config_text(int key_changes)
{
	GString *config = g_string_new(NULL);

	for (int i = 0; i < QUEUES; i++)
		g_string_append_printf(config,
		    "{\"name\":\"q%d\",\"host\":\"%s%d\","
		    "\"prefix\":\"/q/\",\"service\":\"s\",\"priority\":0,"
		    "\"max_attempts\":2,\"stretch\":2.0,\"public\":true,"
		    "\"target_duration_ms\":500%s},",
		    i, i == 0 ? "h.example" : "127.0.0.5", i,
		    i == APPROVAL_QUEUE ? ",\"advice\":{\"decision_ms\":1}" :
					  "");
	g_string_replace(config, "h.example0", "h.example", 1);
	for (int i = 1; i < QUEUES; i++)
		g_string_append_printf(config,
		    "{\"name\":\"k%d\",\"host\":\"127.0.0.5%d\","
		    "\"prefix\":\"/k/\",\"service\":\"s\",\"priority\":0,"
		    "\"max_attempts\":2,\"stretch\":2.0,"
		    "\"target_duration_ms\":500},",
		    i, i);
	g_string_append(config,
	    "{\"name\":\"keyed\",\"host\":\"k.example\",\"prefix\":\"/q/\","
	    "\"service\":\"s\",\"priority\":0,\"max_attempts\":2,"
	    "\"stretch\":2.0,\"target_duration_ms\":500}");
	g_string_prepend(config, "\"routes\":[");
	g_string_append_printf(config,
	    "],\"services\":[],\"limits\":{},\"tenants\":["
	    "{\"name\":\"one\",\"api_keys\":[\"secret-one\",\"secret-%d\"],"
	    "\"priority\":0,\"weight\":2,\"cap\":{\"cpu\":0}},"
	    "{\"name\":\"two\",\"api_keys\":[\"secret-two\"],\"priority\":0,"
	    "\"weight\":1,\"cap\":{\"cpu\":%d}}]",
	    key_changes, QUOTA_CPU_MILLI);
	g_string_append_printf(config, ",\"version\":%d}",
	    CONFIG_VERSION + key_changes * CONFIG_STEP);
	g_string_prepend_c(config, '{');
	return g_string_free(config, FALSE);
}
