/*
 * The configuration: what its parser rejects, and that each error message
 * names the file, line and field; look-up of routes; zones out of service.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "tanagerspool.h"

#define HASH  "abababababababababababababababababababababababababababababababab"
#define ZONE  "[zone z]\nstate=in\n"
#define POOL  ZONE "[pool p]\nkind=service\nzones=z\n"
#define ROUTE "[route r]\ncaller=c\npath=/q\npool=p\ntoken_sha256=" HASH "\n"

typedef struct {
	const char *routes;
	const char *pools;
	const char *error; /* prefix of the message; NULL: both are valid */
} case_t;

static const case_t cases[] = {
	{ ROUTE, POOL, NULL },
	{ "", "", NULL },
	{ ROUTE "deadline_ms=0\n", POOL,
	    "routes:6: [route r] deadline_ms: must be a whole number" },
	{ ROUTE "deadline_ms=1e9\n", POOL, "routes:6: [route r] deadline_ms" },
	{ ROUTE "idempotent=maybe\n", POOL,
	    "routes:6: [route r] idempotent: must be false or true" },
	{ ROUTE "colour=red\n", POOL,
	    "routes:6: [route r] colour: unknown field" },
	{ ROUTE "path=/r\n", POOL,
	    "routes:6: [route r] path: given twice, first on line 3" },
	{ ROUTE ROUTE, POOL, "routes:6: [route r] given twice" },
	{ ROUTE "\n[route s]\ncaller=d\npath=/q\npool=p\ntoken_sha256=" HASH
		"\n",
	    POOL, "routes:9: [route s] path: same caller token" },
	{ "[route r]\ncaller=c\npath=q\npool=p\ntoken_sha256=" HASH "\n", POOL,
	    "routes:3: [route r] path: must begin with /" },
	{ "[route r]\ncaller=c\npath=/q\npool=x\ntoken_sha256=" HASH "\n", POOL,
	    "routes:4: [route r] pool: no pool named x" },
	{ "[route r]\ncaller=c\npath=/q\npool=p\ntoken_sha256=12\n", POOL,
	    "routes:5: [route r] token_sha256: must be 64" },
	{ "[route r]\ncaller=c\n", POOL, "routes:1: [route r] path: missing" },
	{ "[road r]\na=b\n", POOL, "routes:1: [road r] unknown kind" },
	{ ROUTE, ZONE "[pool p]\nkind=batch\nzones=z\n",
	    "routes:4: [route r] pool: pool p is for batch" },
	{ ROUTE, ZONE "[pool p]\nkind=service\nzones=z,y\n",
	    "pools:5: [pool p] zones: no zone named y" },
	{ ROUTE, POOL "slots=9\nconns=8\n", "pools:7: [pool p] conns" },
	{ ROUTE, POOL "cpu_milli=99999999999999999999\n",
	    "pools:6: [pool p] cpu_milli: must be a whole number" },
	{ ROUTE, "[zone z]\nstate=shut\n[pool p]\nkind=service\nzones=z\n",
	    "pools:2: [zone z] state: must be in or out" },
	{ ROUTE, "[zone a b]\n" POOL, "pools:1: [zone a b] 'a b' is not" },
	{ ROUTE, "[team t]\nquota_cpu_milli=-1\n" POOL,
	    "pools:2: [team t] quota_cpu_milli" },
	{ "\xff\xfe", POOL, "routes:1: not utf-8" },
	{ "no section\n", POOL, "routes:1:" },
};

Test(config, parse_errors)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *k = &cases[i];
		GPtrArray *errs = g_ptr_array_new_with_free_func(g_free);
		ts_conf_t *c = ts_conf_parse(k->routes, k->pools, 7, errs);
		bool found = false;

		for (guint e = 0; e < errs->len; e++)
			found = found ||
			    (k->error != NULL &&
				g_str_has_prefix(errs->pdata[e], k->error));
		cr_expect_eq(c != NULL, k->error == NULL, "case %zu", i);
		cr_expect(k->error == NULL || found, "case %zu: %s", i,
		    errs->len ? (char *)errs->pdata[0] : "no error");
		ts_conf_free(c);
		g_ptr_array_free(errs, TRUE);
	}
}

Test(config, longest_path_wins)
{
	GPtrArray *errs = g_ptr_array_new();
	ts_conf_t *c = ts_conf_parse(ROUTE "[route s]\ncaller=c\npath=/q/x\n"
					   "pool=p\ntoken_sha256=" HASH "\n",
	    POOL, 1, errs);

	cr_assert_not_null(c);
	cr_expect_str_eq(ts_conf_find_route(c, HASH, "/q/y")->name, "r");
	cr_expect_str_eq(ts_conf_find_route(c, HASH, "/q/xy")->name, "s");
	cr_expect_null(ts_conf_find_route(c, HASH, "/p"));
	cr_expect_null(ts_conf_find_route(c, "00", "/q"));
}

Test(config, set_zone_out)
{
	char *out = ts_conf_set_zone(POOL, "z", true, NULL);
	GPtrArray *errs = g_ptr_array_new();
	ts_conf_t *c = ts_conf_parse(ROUTE, out, 1, errs);

	cr_assert_not_null(c);
	cr_expect(ts_conf_zone_is_out(c, "z"));
	cr_expect(ts_conf_zone_is_out(c, "unknown"));
	cr_expect_null(ts_conf_set_zone(POOL, "y", true, NULL));
}
