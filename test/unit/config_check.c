/*
 * The check of a configuration before it is sent: which mistakes of operators
 * it finds, that it is silent about a sound one, and that no key gets out.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <uv.h>

#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"
#include "../../cmd/config_check.h"

/* The parts of a sound configuration, with room for more fields or elements. */
#define SETTINGS \
	"\"service\":\"s\",\"priority\":1,\"max_attempts\":3,\"stretch\":2," \
	"\"target_duration_ms\":900,\"timeout_ms\":50"
#define ROUTE(name, host, prefix) \
	"{\"name\":\"" name "\",\"host\":\"" host "\",\"prefix\":\"" prefix \
	"\"," SETTINGS "}"
#define ROUTE_A	 ROUTE("a", "h", "/a/")
#define SERVICES "[{\"name\":\"s\",\"size\":1}]"
#define LIMITS \
	"{\"max_header_bytes\":4096,\"max_body_bytes\":65536," \
	"\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000}"
#define CUSTOMER(name, keys, more) \
	"{\"name\":\"" name "\",\"api_keys\":[" keys "]" more "}"
#define ALICE CUSTOMER("alice", "\"secret-1\"", "")
#define CONFIG_V(version, routes, services, customers, limits) \
	"{\"version\":" version ",\"routes\":[" routes \
	"],\"services\":" services ",\"tenants\":[" customers \
	"],\"limits\":" limits "}"
#define CONFIG(routes, services, customers) \
	CONFIG_V("7", routes, services, customers, LIMITS)
#define ROUTES(routes)	     CONFIG(routes, SERVICES, ALICE)
#define CUSTOMERS(customers) CONFIG(ROUTE_A, SERVICES, customers)
#define SOUND		     CUSTOMERS(ALICE)
/* In force, where a case has one; its version is lower. */
#define IN_FORCE(routes, services, customers) \
	CONFIG_V("5", routes, services, customers, LIMITS)
#define OLD IN_FORCE(ROUTE_A, SERVICES, ALICE)

typedef struct {
	const char *mistake; /* that the case guards against */
	const char *config;
	const char *in_force; /* NULL: not given */
	/* The only finding as "kind place: text"; NULL: there is none. */
	const char *want;
} case_t;

static const char *const kinds[FINDING_KINDS] = { "error", "warning",
	"change" };

static const case_t cases[] = {
	{ "a sound configuration is reported", SOUND, NULL, NULL },
	{ "a sound new version is reported", SOUND, OLD, NULL },
	{ "a comma was forgotten", "{\"version\":1 \"routes\":[]}", NULL,
	    "error configuration: configuration is not JSON: line 1, column "
	    "21" },
	{ "the version was left out", "{\"routes\":[]}", NULL,
	    "error configuration: configuration lacks routes or version" },
	{ "one key was given to two customers",
	    CUSTOMERS(ALICE "," CUSTOMER("bob", "\"secret-1\"", "")), NULL,
	    "error configuration: customer 'bob': another customer has the "
	    "same key" },
	{ "a weight of 0 to stop a customer",
	    CUSTOMERS(CUSTOMER("bob", "\"k\"", ",\"weight\":0")), NULL,
	    "error configuration: customer 'bob': its weight is not above 0" },
	{ "a cap of -1 for no limit",
	    CUSTOMERS(CUSTOMER("bob", "\"k\"", ",\"cap\":{\"cpu\":-1}")), NULL,
	    "error configuration: customer 'bob': its cap is negative or no "
	    "number" },
	{ "a route was copied and its name left empty",
	    ROUTES(ROUTE("", "h", "/a/")), NULL,
	    "error routes[0] \"\": has no name" },
	{ "a route's host was left empty", ROUTES(ROUTE("a", "", "/a/")), NULL,
	    "error routes[0] \"a\": has no host" },
	{ "a route's prefix was left empty", ROUTES(ROUTE("a", "h", "")), NULL,
	    "error routes[0] \"a\": has no prefix" },
	{ "a route was copied and its name kept",
	    ROUTES(ROUTE_A "," ROUTE("a", "h", "/b/")), NULL,
	    "error routes[1] \"a\": routes[0] has the same name" },
	{ "a route was copied and its prefix kept; hosts ignore case",
	    ROUTES(ROUTE_A "," ROUTE("b", "H", "/a/")), NULL,
	    "warning routes[1] \"b\": never matches: routes[0] has the same "
	    "host and prefix" },
	{ "a longer prefix is taken for a repeated one",
	    ROUTES(ROUTE_A "," ROUTE("b", "h", "/a/b/")), NULL, NULL },
	{ "the first '/' was forgotten", ROUTES(ROUTE("a", "h", "a/")), NULL,
	    "warning routes[0] \"a\": never matches: its prefix does not begin "
	    "with '/'" },
	{ "a port was given with the host", ROUTES(ROUTE("a", "h:80", "/a/")),
	    NULL,
	    "warning routes[0] \"a\": never matches: its host contains ':'" },
	{ "a service was renamed in one place",
	    CONFIG(ROUTE_A, "[{\"name\":\"t\"}]", ALICE), NULL,
	    "warning routes[0] \"a\": its service 's' is not among the "
	    "services" },
	{ "without a list of services each route is reported",
	    CONFIG(ROUTE_A, "null", ALICE), NULL, NULL },
	{ "services listed as texts are not understood",
	    CONFIG(ROUTE_A, "[\"s\"]", ALICE), NULL, NULL },
	{ "a service without a name",
	    CONFIG(ROUTE_A, "[{\"name\":\"s\"},{}]", ALICE), NULL,
	    "error services[1]: has no name" },
	{ "all routes were removed", ROUTES(""), NULL,
	    "warning routes: there are none: each call gets 404" },
	{ "0 attempts for no limit",
	    ROUTES("{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
		   "\"service\":\"s\",\"max_attempts\":0,\"stretch\":2,"
		   "\"timeout_ms\":50}"),
	    NULL,
	    "warning routes[0] \"a\": attempts, stretch or target out of "
	    "range: 1, 2 and 0 ms are used" },
	{ "a negative stretch",
	    ROUTES("{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
		   "\"service\":\"s\",\"max_attempts\":1,\"stretch\":-1,"
		   "\"target_duration_ms\":9,\"timeout_ms\":50}"),
	    NULL,
	    "warning routes[0] \"a\": attempts, stretch or target out of "
	    "range: 1, 0 and 9 ms are used" },
	{ "a negative target",
	    ROUTES("{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
		   "\"service\":\"s\",\"max_attempts\":1,\"stretch\":1,"
		   "\"target_duration_ms\":-9,\"timeout_ms\":50}"),
	    NULL,
	    "warning routes[0] \"a\": attempts, stretch or target out of "
	    "range: 1, 1 and 0 ms are used" },
	{ "neither target nor stretch was given",
	    ROUTES("{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
		   "\"service\":\"s\",\"max_attempts\":1,\"timeout_ms\":50}"),
	    NULL,
	    "warning routes[0] \"a\": target and stretch are 0: each of its "
	    "jobs is late" },
	{ "a timeout of 0 for none",
	    ROUTES("{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
		   "\"service\":\"s\",\"max_attempts\":1,\"stretch\":1,"
		   "\"timeout_ms\":0}"),
	    NULL, "warning routes[0] \"a\": its timeout is 0 or absent" },
	{ "a body limit of 0 for none",
	    CONFIG_V("7", ROUTE_A, SERVICES, ALICE,
		"{\"max_header_bytes\":1,\"max_body_bytes\":0,"
		"\"header_timeout_ms\":1,\"idle_timeout_ms\":1}"),
	    NULL, "warning limits: the size of bodies is 0 or absent" },
	{ "a header limit was forgotten",
	    CONFIG_V("7", ROUTE_A, SERVICES, ALICE,
		"{\"max_body_bytes\":1,\"header_timeout_ms\":1,"
		"\"idle_timeout_ms\":1}"),
	    NULL, "warning limits: the size of headers is 0 or absent" },
	{ "a customer was added without keys",
	    CUSTOMERS(CUSTOMER("bob", "", "")), NULL,
	    "warning customers[0] \"bob\": has no keys: no call can be made as "
	    "this customer" },
	{ "a cap of 0 to forbid one resource",
	    CUSTOMERS(CUSTOMER(
		"bob", "\"k\"", ",\"cap\":{\"cpu\":1,\"mem_mb\":1,\"gpu\":0}")),
	    NULL,
	    "warning customers[0] \"bob\": its cap of gpu is 0 or absent, "
	    "which is no limit" },
	{ "caps that are all 0 are taken for a contradiction",
	    CUSTOMERS(CUSTOMER("bob", "\"k\"", ",\"cap\":{\"cpu\":0}")), NULL,
	    NULL },
	{ "weights far apart are taken for a contradiction",
	    CUSTOMERS(
		CUSTOMER("bob", "\"k\"", ",\"weight\":0.001") "," CUSTOMER(
		    "eve", "\"l\"", ",\"weight\":1000")),
	    NULL, NULL },
	{ "the version was not raised", SOUND, SOUND,
	    "error version: 7 is not above 7, which is in force: it would be "
	    "ignored" },
	{ "a version from before is sent again", OLD, SOUND,
	    "error version: 5 is not above 7, which is in force: it would be "
	    "ignored" },
	{ "a route was added by mistake",
	    ROUTES(ROUTE_A "," ROUTE("b", "h", "/b/")), OLD,
	    "change routes[1] \"b\": added" },
	{ "a route was lost in an edit", SOUND,
	    IN_FORCE(ROUTE_A "," ROUTE("b", "h", "/b/"), SERVICES, ALICE),
	    "change routes[1] \"b\": removed" },
	{ "a route was edited in the wrong place",
	    ROUTES(ROUTE("a", "i", "/z/")), OLD,
	    "change routes[0] \"a\": changed: host 'h' to 'i' prefix '/a/' to "
	    "'/z/'" },
	{ "a route was made public",
	    ROUTES("{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
		   "\"public\":true," SETTINGS "}"),
	    OLD, "change routes[0] \"a\": changed: public 'no' to 'yes'" },
	{ "a service was added by mistake",
	    CONFIG(ROUTE_A, "[{\"name\":\"s\",\"size\":1},{\"name\":\"t\"}]",
		ALICE),
	    OLD, "change services[1] \"t\": added" },
	{ "a service was edited by mistake",
	    CONFIG(ROUTE_A, "[{\"name\":\"s\",\"size\":2}]", ALICE), OLD,
	    "change services[0] \"s\": changed: its description" },
	{ "the fields of a service in another order count as a change",
	    CONFIG(ROUTE_A, "[{\"size\":1,\"name\":\"s\"}]", ALICE), OLD,
	    NULL },
	{ "a customer was lost in an edit", SOUND,
	    IN_FORCE(ROUTE_A, SERVICES,
		ALICE "," CUSTOMER("bob", "\"secret-2\"", "")),
	    "change customers[1] \"bob\": removed" },
	{ "a customer's weight was changed by mistake",
	    CUSTOMERS(CUSTOMER("alice", "\"secret-1\"",
		",\"weight\":2.5,\"cap\":{\"cpu\":1,\"mem_mb\":2,\"gpu\":3}")),
	    OLD,
	    "change customers[0] \"alice\": changed: weight 1 to 2.5 cap of "
	    "cpu 0 to 1 cap of memory 0 to 2 cap of gpu 0 to 3" },
	{ "a key was replaced and the old one not kept",
	    CUSTOMERS(CUSTOMER("alice", "\"secret-2\",\"secret-3\"", "")), OLD,
	    "change customers[0] \"alice\": keys: 2 added, 1 removed" },
	{ "a name with a line break spoils the lines of the output",
	    ROUTES(ROUTE("a\\nb", "h", "a/")), NULL,
	    "warning routes[0] \"a?b\": never matches: its prefix does not "
	    "begin with '/'" },
};

static platform_config_t *
parse(const char *text, GArray *findings)
{
	g_autoptr(GError) err = NULL;
	platform_config_t *cfg =
	    platform_config_parse((const uint8_t *)text, strlen(text), &err);

	if (cfg == NULL)
		findings_add(findings, FINDING_ERROR, "configuration", "%s",
		    err->message);
	return cfg;
}

static GArray *
check(const char *text, const char *in_force_text)
{
	GArray *findings = findings_new();
	platform_config_t *cfg = parse(text, findings);
	platform_config_t *in_force =
	    in_force_text == NULL ? NULL : parse(in_force_text, findings);

	if (cfg != NULL)
		config_check(cfg, findings);
	if (cfg != NULL && in_force != NULL)
		config_compare(cfg, in_force, findings);
	platform_config_free(cfg);
	platform_config_free(in_force);
	return findings;
}

static char *
line_of(const GArray *findings, guint i)
{
	const finding_t *f = &g_array_index(findings, finding_t, i);

	return g_strdup_printf("%s %s: %s", kinds[f->kind], f->place, f->text);
}

Test(config_check, mistakes)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *k = &cases[i];
		g_autoptr(GArray) findings = check(k->config, k->in_force);
		g_autofree char *line =
		    findings->len > 0 ? line_of(findings, 0) : NULL;

		cr_expect_eq(findings->len, k->want == NULL ? 0 : 1,
		    "%s: %u findings, first '%s'", k->mistake, findings->len,
		    line);
		cr_expect(g_strcmp0(line, k->want) == 0, "%s: '%s'", k->mistake,
		    line);
	}
}

/* A key that moves to another customer is a change of both. */
Test(config_check, key_moved)
{
	g_autoptr(GArray) findings =
	    check(CUSTOMERS(CUSTOMER("alice", "\"k1\"", "") "," CUSTOMER(
		      "bob", "\"k2\",\"secret-1\"", "")),
		IN_FORCE(ROUTE_A, SERVICES,
		    CUSTOMER("alice", "\"k1\",\"secret-1\"", "") "," CUSTOMER(
			"bob", "\"k2\"", "")));
	g_autofree char *alice = NULL;
	g_autofree char *bob = NULL;

	cr_assert_eq(findings->len, 2);
	alice = line_of(findings, 0);
	bob = line_of(findings, 1);
	cr_expect_str_eq(
	    alice, "change customers[0] \"alice\": keys: 0 added, 1 removed");
	cr_expect_str_eq(
	    bob, "change customers[1] \"bob\": keys: 1 added, 0 removed");
}

/* With the last customer the need for keys ends, which opens all routes. */
Test(config_check, all_customers_removed)
{
	g_autoptr(GArray) findings = check(CUSTOMERS(""), OLD);
	g_autofree char *line = NULL;

	cr_assert_eq(findings->len, 2);
	line = line_of(findings, 0);
	cr_expect_str_eq(line,
	    "warning customers: all are removed: no call needs a key any "
	    "more");
	cr_expect_eq(findings_count(findings, FINDING_CHANGE), 1);
}

/* The first customers close the routes that are not public. */
Test(config_check, first_customer)
{
	g_autoptr(GArray) findings =
	    check(SOUND, IN_FORCE(ROUTE_A, SERVICES, ""));

	cr_assert_eq(findings->len, 3);
	cr_expect_eq(findings_count(findings, FINDING_CHANGE), 3);
}

/* No finding quotes a key, whatever is wrong. */
Test(config_check, keys_stay_secret)
{
	static const char *const broken[] = {
		"{\"tenants\":[{\"api_keys\":[\"secret-1\" \"secret-2\"",
		"{\"version\":1,\"routes\":[],\"tenants\":{\"secret-1\":1}}",
		"{\"version\":1,\"routes\":[],\"tenants\":[\"secret-1\"]}",
		CUSTOMERS(CUSTOMER("bob", "\"secret-1\",\"\"", "")),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases) + G_N_ELEMENTS(broken);
	     i++) {
		bool is_case = i < G_N_ELEMENTS(cases);
		const char *config =
		    is_case ? cases[i].config : broken[i - G_N_ELEMENTS(cases)];
		g_autoptr(GArray) findings =
		    check(config, is_case ? cases[i].in_force : OLD);

		for (guint f = 0; f < findings->len; f++) {
			g_autofree char *line = line_of(findings, f);

			cr_expect_null(strstr(line, "secret"), "'%s'", line);
		}
	}
}
