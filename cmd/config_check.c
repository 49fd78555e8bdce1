/*
 * Errors and warnings of a configuration by itself.
 */
#include <inttypes.h>
#include <stdarg.h>
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

static void
finding_clear(gpointer finding)
{
	finding_t *f = finding;

	g_free(f->place);
	g_free(f->text);
}

GArray *
findings_new(void)
{
	GArray *findings = g_array_new(FALSE, TRUE, sizeof(finding_t));

	g_array_set_clear_func(findings, finding_clear);
	return findings;
}

static char *
replace_controls(char *text)
{
	for (char *c = text; *c != '\0'; c++)
		if (g_ascii_iscntrl(*c))
			*c = '?';
	return text;
}

void
findings_add(GArray *findings, finding_kind_t kind, const char *place,
    const char *fmt, ...)
{
	finding_t f = { .kind = kind };
	va_list ap;

	va_start(ap, fmt);
	f.text = replace_controls(g_strdup_vprintf(fmt, ap));
	va_end(ap);
	f.place = replace_controls(g_strdup(place));
	g_array_append_val(findings, f);
}

guint
findings_count(const GArray *findings, finding_kind_t kind)
{
	guint n = 0;

	for (guint i = 0; i < findings->len; i++)
		if (g_array_index(findings, finding_t, i).kind == kind)
			n++;
	return n;
}

static bool
has_service(const platform_config_t *cfg, const char *name)
{
	for (guint i = 0; i < cfg->services->len; i++)
		if (strcmp(g_array_index(cfg->services, platform_service_t, i)
			       .name,
			name) == 0)
			return true;
	return false;
}

static void
check_names(const platform_queue_t *q, const char *place, GArray *findings)
{
	if (q->name[0] == '\0')
		findings_add(findings, FINDING_ERROR, place, "has no name");
	if (q->host[0] == '\0')
		findings_add(findings, FINDING_ERROR, place, "has no host");
	if (q->prefix[0] == '\0')
		findings_add(findings, FINDING_ERROR, place, "has no prefix");
}

/* Compares a route with those before it. */
static void
check_earlier(const platform_config_t *cfg, guint route, const char *place,
    GArray *findings)
{
	const platform_queue_t *all = (const void *)cfg->queues->data;
	const platform_queue_t *q = &all[route];
	bool same_name = false, same_match = false;

	for (guint i = 0; i < route; i++) {
		if (!same_name && q->name[0] != '\0' &&
		    strcmp(all[i].name, q->name) == 0) {
			same_name = true;
			findings_add(findings, FINDING_ERROR, place,
			    "routes[%u] has the same name", i);
		}
		/* Of routes with equal prefixes the first is chosen. */
		if (!same_match &&
		    g_ascii_strcasecmp(all[i].host, q->host) == 0 &&
		    strcmp(all[i].prefix, q->prefix) == 0) {
			same_match = true;
			findings_add(findings, FINDING_WARNING, place,
			    "never matches: routes[%u] has the same host and "
			    "prefix",
			    i);
		}
	}
}

static void
check_match(const platform_config_t *cfg, const platform_queue_t *q,
    const char *place, GArray *findings)
{
	if (q->prefix[0] != '\0' && q->prefix[0] != '/')
		findings_add(findings, FINDING_WARNING, place,
		    "never matches: its prefix does not begin with '/'");
	/* The port in a request's host is not compared. */
	if (strchr(q->host, ':') != NULL)
		findings_add(findings, FINDING_WARNING, place,
		    "never matches: its host contains ':'");
	if (cfg->services != NULL && !has_service(cfg, q->service))
		findings_add(findings, FINDING_WARNING, place,
		    "its service '%s' is not among the services", q->service);
}

static void
check_times(const platform_queue_t *q, const char *place, GArray *findings)
{
	if (q->is_cut)
		findings_add(findings, FINDING_WARNING, place,
		    "attempts, stretch or target out of range: %d, %g and "
		    "%" PRId64 " ms are used",
		    q->max_attempts, q->stretch, q->target_ms);
	if (q->stretch == 0 && q->target_ms == 0)
		findings_add(findings, FINDING_WARNING, place,
		    "target and stretch are 0: each of its jobs is late");
	if (q->timeout_ms <= 0)
		findings_add(findings, FINDING_WARNING, place,
		    "its timeout is 0 or absent");
}

static void
check_routes(const platform_config_t *cfg, GArray *findings)
{
	if (cfg->queues->len == 0)
		findings_add(findings, FINDING_WARNING, "routes",
		    "there are none: each call gets 404");
	for (guint i = 0; i < cfg->queues->len; i++) {
		const platform_queue_t *q =
		    &g_array_index(cfg->queues, platform_queue_t, i);
		g_autofree char *place =
		    g_strdup_printf("routes[%u] \"%s\"", i, q->name);

		check_names(q, place, findings);
		check_earlier(cfg, i, place, findings);
		check_match(cfg, q, place, findings);
		check_times(q, place, findings);
	}
}

static void
check_cap(const sched_customer_t *c, const char *place, GArray *findings)
{
	const struct {
		const char *name;
		bool is_limited;
	} amounts[] = {
		{ "cpu", c->quota_cpu_milli != 0 },
		{ "memory", c->quota_mem_mb != 0 },
		{ "gpu", c->quota_gpu != 0 },
	};
	bool any = false;

	for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++)
		any = any || amounts[i].is_limited;
	for (size_t i = 0; any && i < G_N_ELEMENTS(amounts); i++)
		if (!amounts[i].is_limited)
			findings_add(findings, FINDING_WARNING, place,
			    "its cap of %s is 0 or absent, which is no limit",
			    amounts[i].name);
}

static void
check_customers(const platform_config_t *cfg, GArray *findings)
{
	for (guint i = 0; i < cfg->customers->len; i++) {
		const sched_customer_t *c =
		    &g_array_index(cfg->customers, sched_customer_t, i);
		g_autofree char *place =
		    g_strdup_printf("customers[%u] \"%s\"", i, c->name);

		if (platform_count_keys(cfg, i, NULL, 0) == 0)
			findings_add(findings, FINDING_WARNING, place,
			    "has no keys: no call can be made as this "
			    "customer");
		check_cap(c, place, findings);
	}
}

static void
check_services(const platform_config_t *cfg, GArray *findings)
{
	for (guint i = 0; cfg->services != NULL && i < cfg->services->len;
	     i++) {
		g_autofree char *place = g_strdup_printf("services[%u]", i);

		if (g_array_index(cfg->services, platform_service_t, i)
			.name[0] == '\0')
			findings_add(
			    findings, FINDING_ERROR, place, "has no name");
	}
}

static void
check_limits(const platform_config_t *cfg, GArray *findings)
{
	const struct {
		const char *name;
		int32_t value;
	} limits[] = {
		{ "size of headers", cfg->header_max_bytes },
		{ "size of bodies", cfg->body_max_bytes },
		{ "timeout of headers", cfg->header_timeout_ms },
		{ "timeout of idle connections", cfg->idle_timeout_ms },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++)
		if (limits[i].value <= 0)
			findings_add(findings, FINDING_WARNING, "limits",
			    "the %s is 0 or absent", limits[i].name);
}

void
config_check(const platform_config_t *cfg, GArray *findings)
{
	check_routes(cfg, findings);
	check_services(cfg, findings);
	check_customers(cfg, findings);
	check_limits(cfg, findings);
}
