/*
 * What differs between a configuration and the one in force.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "config_check.h"

/* A list of the two configurations whose elements begin with their name. */
typedef struct {
	const char *title;
	const GArray *now, *before;
	/* Describes what differs in a pair of elements; "" if nothing does. */
	void (*describe)(
	    GString *what, gconstpointer now, gconstpointer before);
} list_t;

static const char *
element_name(const GArray *list, guint i)
{
	size_t size = g_array_get_element_size((GArray *)list);

	return *(const char *const *)(list->data + size * i);
}

/* The index of the first element with a name, or -1. */
static int64_t
find_name(const GArray *list, const char *name)
{
	for (guint i = 0; list != NULL && i < list->len; i++)
		if (strcmp(element_name(list, i), name) == 0)
			return i;
	return -1;
}

static char *
place_of(const list_t *l, const GArray *list, guint i)
{
	return g_strdup_printf(
	    "%s[%u] \"%s\"", l->title, i, element_name(list, i));
}

static void
compare_element(const list_t *l, guint i, GArray *findings)
{
	g_autofree char *place = place_of(l, l->now, i);
	int64_t old = find_name(l->before, element_name(l->now, i));
	size_t size = g_array_get_element_size((GArray *)l->now);
	GString *what;

	if (old < 0) {
		findings_add(findings, FINDING_CHANGE, place, "added");
		return;
	}
	what = g_string_new(NULL);
	l->describe(what, l->now->data + size * i,
	    l->before->data + size * (size_t)old);
	if (what->len > 0)
		findings_add(
		    findings, FINDING_CHANGE, place, "changed:%s", what->str);
	g_string_free(what, TRUE);
}

static void
compare_lists(const list_t *l, GArray *findings)
{
	for (guint i = 0; l->now != NULL && i < l->now->len; i++)
		compare_element(l, i, findings);
	for (guint i = 0; l->before != NULL && i < l->before->len; i++) {
		g_autofree char *place = place_of(l, l->before, i);

		if (find_name(l->now, element_name(l->before, i)) < 0)
			findings_add(
			    findings, FINDING_CHANGE, place, "removed");
	}
}

static void
text_field(GString *s, const char *field, const char *now, const char *before)
{
	if (strcmp(now, before) != 0)
		g_string_append_printf(
		    s, " %s '%s' to '%s'", field, before, now);
}

static void
number_field(GString *s, const char *field, double now, double before)
{
	if (now != before)
		g_string_append_printf(
		    s, " %s %.15g to %.15g", field, before, now);
}

static void
describe_route(GString *s, gconstpointer now, gconstpointer before)
{
	const platform_queue_t *n = now, *b = before;

	text_field(s, "host", n->host, b->host);
	text_field(s, "prefix", n->prefix, b->prefix);
	text_field(s, "service", n->service, b->service);
	number_field(s, "priority", n->priority, b->priority);
	number_field(s, "attempts", n->max_attempts, b->max_attempts);
	number_field(s, "stretch", n->stretch, b->stretch);
	number_field(
	    s, "target ms", (double)n->target_ms, (double)b->target_ms);
	number_field(s, "timeout ms", n->timeout_ms, b->timeout_ms);
	text_field(s, "approval", n->needs_approval ? "yes" : "no",
	    b->needs_approval ? "yes" : "no");
	number_field(s, "decision ms", n->approval_cost.decision_ms,
	    b->approval_cost.decision_ms);
	number_field(s, "decision ms a worker", n->approval_cost.per_worker_ms,
	    b->approval_cost.per_worker_ms);
	number_field(s, "approval valid ms", n->approval_cost.valid_ms,
	    b->approval_cost.valid_ms);
	text_field(s, "public", n->is_public ? "yes" : "no",
	    b->is_public ? "yes" : "no");
}

static void
describe_service(GString *s, gconstpointer now, gconstpointer before)
{
	const platform_service_t *n = now, *b = before;

	if (n->digest != b->digest)
		g_string_append(s, " its description");
}

static void
describe_customer(GString *s, gconstpointer now, gconstpointer before)
{
	const sched_customer_t *n = now, *b = before;

	number_field(s, "weight", n->weight, b->weight);
	number_field(s, "cap of cpu", (double)n->quota_cpu_milli,
	    (double)b->quota_cpu_milli);
	number_field(s, "cap of memory", (double)n->quota_mem_mb,
	    (double)b->quota_mem_mb);
	number_field(s, "cap of gpu", n->quota_gpu, b->quota_gpu);
}

/* Reports the numbers of keys only, never a key or its digest. */
static void
compare_keys(const platform_config_t *cfg, const platform_config_t *in_force,
    GArray *findings)
{
	for (guint i = 0; i < cfg->customers->len; i++) {
		const char *name = element_name(cfg->customers, i);
		int64_t old = find_name(in_force->customers, name);
		g_autofree char *place =
		    g_strdup_printf("customers[%u] \"%s\"", i, name);
		guint added, removed = 0;

		added = platform_count_keys(
		    cfg, i, old < 0 ? NULL : in_force, (guint)MAX(old, 0));
		if (old >= 0)
			removed =
			    platform_count_keys(in_force, (guint)old, cfg, i);
		if (added + removed > 0)
			findings_add(findings, FINDING_CHANGE, place,
			    "keys: %u added, %u removed", added, removed);
	}
}

void
config_compare(const platform_config_t *cfg, const platform_config_t *in_force,
    GArray *findings)
{
	const list_t lists[] = {
		{ "routes", cfg->queues, in_force->queues, describe_route },
		{ "services", cfg->services, in_force->services,
		    describe_service },
		{ "customers", cfg->customers, in_force->customers,
		    describe_customer },
	};

	if (cfg->version <= in_force->version)
		findings_add(findings, FINDING_ERROR, "version",
		    "%" PRId64 " is not above %" PRId64
		    ", which is in force: it would be ignored",
		    cfg->version, in_force->version);
	if (cfg->customers->len == 0 && in_force->customers->len > 0)
		findings_add(findings, FINDING_WARNING, "customers",
		    "all are removed: no call needs a key any more");
	if (cfg->customers->len > 0 && in_force->customers->len == 0)
		findings_add(findings, FINDING_CHANGE, "customers",
		    "the first ones: calls of routes that are not public need "
		    "a key");
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		compare_lists(&lists[i], findings);
	compare_keys(cfg, in_force, findings);
}
