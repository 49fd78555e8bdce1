/*
 * The adapter's decoders of job bodies and of rows of operators and workers,
 * with malformed input, and the match of routes.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"
#include "../../serve/store_clock.h"
#include "../../serve/auth.h"
#include "../../serve/rate_limit.h"
#include "../../serve/serve.h"

Test(platform, jobs)
{
	static const struct {
		const char *body;
		bool decodes; /* well-formed */
		bool valid;   /* the scheduler accepts it */
	} cases[] = {
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":5}]}", true,
		    true },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":2},"
		  "{\"count\":1,\"after\":[0]}],\"unknown\":7}",
		    true, true },
		{ "{\"spec\":\"x\",\"steps\":[]}", true, false },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":0}]}", true, false },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":99999999}]}", true,
		    false },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":-1}]}", true,
		    false },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":9e18}]}",
		    true, false },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
		    true, false },
		{ "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[-1]}]}",
		    true, false },
		{ "{\"spec\":\"x\",\"steps\":[7]}", true, false },
		{ "{\"spec\":7,\"steps\":[{\"count\":1}]}", false, false },
		{ "{\"steps\":[{\"count\":1}]}", false, false },
		{ "{\"spec\":\"x\"}", false, false },
		{ "[1,2", false, false },
		{ "", false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) err = NULL;
		const char *why;
		Sched__Job *j = platform_job_parse(
		    cases[i].body, strlen(cases[i].body), &err);

		cr_expect_eq(j != NULL, cases[i].decodes, "case %zu", i);
		cr_expect_eq(err == NULL, cases[i].decodes, "case %zu", i);
		if (j == NULL)
			continue;
		cr_expect_eq(sched_job_valid(j, &why), cases[i].valid,
		    "case %zu: %s", i, why);
		sched__job__free_unpacked(j, NULL);
	}
}

Test(platform, decodes_all_job_fields)
{
	static const char body[] =
	    "{\"spec\":\"s\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":9,"
	    "\"gpu\":1,\"estimate_ms\":70,\"checkpointing\":true,\"gang\":true,"
	    "\"same_rack\":true,\"requirements\":\"l\",\"affinity\":\"r1\","
	    "\"anti_affinity\":2,\"allow_duplicates\":true,"
	    "\"long_running\":true,\"image\":\"i\",\"target_ms\":40,"
	    "\"fills\":true,\"may_miss\":1}],\"repeat_count\":4,"
	    "\"start_ms\":5,\"interval_ms\":6}";
	Sched__Job *j = platform_job_parse(body, strlen(body), NULL);
	const Sched__Step *s;

	cr_assert_not_null(j);
	s = j->steps[0];
	cr_expect(s->count == 3 && s->cpu_milli == 500 && s->mem_mb == 9);
	cr_expect(s->gpu == 1 && s->estimate_ms == 70 && s->checkpoints);
	cr_expect(s->gang && s->same_rack && s->per_worker == 2);
	cr_expect(s->duplicates && s->lasting && s->filler);
	cr_expect(s->tail_target_ms == 40);
	cr_expect(s->has_miss_limit && s->may_miss == 1);
	cr_expect_str_eq(s->label, "l");
	cr_expect_str_eq(s->near_rack, "r1");
	cr_expect_str_eq(s->image, "i");
	cr_expect(j->repeats == 4 && j->first_ms == 5 && j->interval_ms == 6);
	sched__job__free_unpacked(j, NULL);
}

Test(platform, workers)
{
	static const struct {
		const char *row;
		bool ok;
	} cases[] = {
		{ "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		  "\"version\":\"v1\",\"slots\":8,\"state\":\"draining\","
		  "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":1,"
		  "\"mem_mb\":2,\"gpu\":3},\"labels\":[\"a\",\"r1-3\"],"
		  "\"born\":17,\"sequence\":4}",
		    true },
		{ "{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
		  "\"state\":\"draining\",\"capacity\":{}}",
		    false },
		{ "{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
		  "\"state\":\"odd\",\"capacity\":{}}",
		    false },
		{ "{\"service\":\"s\",\"address\":\"nowhere\","
		  "\"state\":\"ready\",\"capacity\":{}}",
		    false },
		{ "{\"service\":7,\"address\":\"1.2.3.4:5\","
		  "\"state\":\"ready\",\"capacity\":{}}",
		    false },
		{ "{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
		  "\"state\":\"ready\",\"capacity\":9,\"labels\":3}",
		    false },
		{ "\xff\xfe", false },
		{ "", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) err = NULL;
		platform_worker_t w;
		bool ok =
		    platform_worker_parse("i-1", (const uint8_t *)cases[i].row,
			strlen(cases[i].row), &w, &err);

		cr_expect_eq(ok, cases[i].ok, "case %zu", i);
		cr_expect_eq(err == NULL, ok, "case %zu", i);
		if (i == 0) {
			cr_expect_str_eq(w.info.rack, "r1-3");
			cr_expect(w.info.started_ms == 17 && w.info.gpu == 3);
			cr_expect(w.info.draining);
			cr_expect_str_eq(w.info.address, "1.2.3.4:5");
		}
		if (ok)
			platform_worker_clear(&w);
	}
}

Test(platform, finds_routes_of_a_configuration)
{
	static const char row[] =
	    "{\"version\":7,\"routes\":["
	    "{\"name\":\"a\",\"host\":\"h.example\",\"prefix\":\"/p/\","
	    "\"service\":\"s\",\"priority\":2,\"max_attempts\":3,"
	    "\"stretch\":1.5,\"target_duration_ms\":250},"
	    "{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/p/q/\","
	    "\"service\":\"s\"}],\"limits\":{\"max_body_bytes\":9}}";
	static const struct {
		const char *host, *path;
		route_result_t want;
		const char *queue, *id;
	} cases[] = {
		{ "h.example", "/p/0123456789abcdef", ROUTE_FOUND, "a",
		    "0123456789abcdef" },
		{ "H.EXAMPLE:80", "/p/q/0123456789abcdef", ROUTE_FOUND, "b",
		    "0123456789abcdef" },
		{ "h.example", "/p/", ROUTE_FOUND, "a", "" },
		{ "h.example", "/p/?x", ROUTE_FOUND, "a", "" },
		{ "h.example", "/p/0123456789abcde", ROUTE_BAD_ID, "a", "" },
		{ "h.example", "/p/0123456789abcdeg", ROUTE_BAD_ID, "a", "" },
		{ "h.example", "/x/", ROUTE_NOT_FOUND, NULL, "" },
		{ "h.exampl", "/p/", ROUTE_NOT_FOUND, NULL, "" },
		{ "", "", ROUTE_NOT_FOUND, NULL, "" },
	};
	platform_config_t *cfg =
	    platform_config_parse((const uint8_t *)row, strlen(row), NULL);

	cr_assert_not_null(cfg);
	cr_expect(cfg->version == 7 && cfg->body_max_bytes == 9);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		route_match_t m = { 0 };

		cr_expect_eq(route_find(cfg, cases[i].host, cases[i].path, &m),
		    cases[i].want, "case %zu", i);
		if (cases[i].want != ROUTE_FOUND)
			continue;
		cr_expect_str_eq(m.queue->name, cases[i].queue, "case %zu", i);
		cr_expect_str_eq(m.id, cases[i].id, "case %zu", i);
	}
	for (guint i = 0; i < cfg->queues->len; i++)
		cr_expect_not(
		    g_array_index(cfg->queues, platform_queue_t, i).is_public);
	cr_expect_eq(cfg->customers->len, 0);
	cr_expect_null(platform_find_customer(cfg, "k"));
	platform_config_free(cfg);
	cr_expect_null(platform_config_parse((const uint8_t *)"{}", 2, NULL));
	cr_expect_null(platform_config_parse((const uint8_t *)"\xff", 1, NULL));
}

static platform_config_t *
parse_customers(const char *list, GError **err)
{
	g_autofree char *row = g_strdup_printf(
	    "{\"version\":1,\"routes\":[],\"tenants\":%s}", list);

	return platform_config_parse((const uint8_t *)row, strlen(row), err);
}

Test(platform, customers)
{
	/* Names of the customers that must be found; NULL: none. */
	static const struct {
		const char *key, *customer;
	} cases[] = { { "k1", "a" }, { "k2", "a" }, { "k3", "b" },
		{ "k4", NULL }, { "K1", NULL }, { "k1 ", NULL }, { "k", NULL },
		{ "", NULL }, { "a", NULL }, { NULL, NULL } };
	static const char row[] =
	    "{\"version\":7,\"routes\":[{\"name\":\"p\",\"public\":true},"
	    "{\"name\":\"q\",\"public\":false},{\"name\":\"r\"}],"
	    "\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\",\"k1\"],"
	    "\"priority\":3,\"weight\":2.5,"
	    "\"cap\":{\"cpu\":4000,\"mem_mb\":0.2,\"gpu\":2}},"
	    "{\"name\":\"b\",\"api_keys\":[\"k3\"],\"weight\":1,"
	    "\"cap\":{\"cpu\":9e18}},{\"name\":\"c\"}]}";
	platform_config_t *cfg =
	    platform_config_parse((const uint8_t *)row, strlen(row), NULL);
	const sched_customer_t *c;

	cr_assert_not_null(cfg);
	cr_expect_eq(cfg->customers->len, 3);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		c = platform_find_customer(cfg, cases[i].key);
		cr_expect_str_eq(c == NULL ? "" : c->name,
		    cases[i].customer == NULL ? "" : cases[i].customer,
		    "case %zu", i);
	}
	for (guint i = 0; i < 3; i++)
		cr_expect_eq(
		    g_array_index(cfg->queues, platform_queue_t, i).is_public,
		    i == 0, "route %u", i);
	c = platform_find_customer(cfg, "k1");
	cr_expect(c->weight == 2.5 && c->quota_cpu_milli == 4000);
	/* Rounded down, it would be no limit. */
	cr_expect(c->quota_mem_mb == 1 && c->quota_gpu == 2);
	c = platform_find_customer(cfg, "k3");
	cr_expect(c->weight == 1 && c->quota_cpu_milli == SCHED_AMOUNT_MAX);
	cr_expect(c->quota_mem_mb == 0 && c->quota_gpu == 0);
	c = &g_array_index(cfg->customers, sched_customer_t, 2);
	cr_expect(c->weight > 0 && c->quota_cpu_milli == 0);
	platform_config_free(cfg);
}

Test(platform, rejects_bad_customers)
{
	static const struct {
		const char *list;
		const char *named; /* the customer that the error names */
	} cases[] = {
		{ "[{\"name\":\"a\",\"api_keys\":[\"sesame\"]},"
		  "{\"name\":\"b\",\"api_keys\":[\"x\",\"sesame\"]}]",
		    "'b'" },
		{ "[{\"name\":\"a\"},{\"name\":\"a\"}]", "'a'" },
		{ "[{\"name\":\"\",\"api_keys\":[\"sesame\"]}]", "''" },
		{ "[{\"api_keys\":[\"sesame\"]}]", "''" },
		{ "[7]", "''" },
		{ "[{\"name\":\"a\",\"api_keys\":[\"sesame\",\"\"]}]", "'a'" },
		{ "[{\"name\":\"a\",\"api_keys\":[\"sesame\",7]}]", "'a'" },
		{ "[{\"name\":\"a\",\"api_keys\":\"sesame\"}]", "'a'" },
		{ "[{\"name\":\"a\",\"weight\":0}]", "'a'" },
		{ "[{\"name\":\"a\",\"weight\":-1}]", "'a'" },
		{ "[{\"name\":\"a\",\"weight\":\"1\"}]", "'a'" },
		{ "[{\"name\":\"a\",\"cap\":{\"cpu\":-1}}]", "'a'" },
		{ "[{\"name\":\"a\",\"cap\":{\"mem_mb\":-0.5}}]", "'a'" },
		{ "[{\"name\":\"a\",\"cap\":{\"gpu\":-9e18}}]", "'a'" },
		{ "[{\"name\":\"a\",\"cap\":{\"gpu\":\"1\"}}]", "'a'" },
		{ "[{\"name\":\"a\",\"cap\":5}]", "'a'" },
		{ "{\"name\":\"a\"}", "not a list" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) err = NULL;
		platform_config_t *cfg = parse_customers(cases[i].list, &err);

		cr_expect_null(cfg, "case %zu", i);
		platform_config_free(cfg);
		if (err == NULL) {
			cr_expect_not_null(err, "case %zu", i);
			continue;
		}
		cr_expect_not_null(strstr(err->message, cases[i].named),
		    "case %zu: %s", i, err->message);
		/* A log line with the error must not tell a key. */
		cr_expect_null(strstr(err->message, "sesame"), "case %zu", i);
	}
}

/* Keys must be found by their digests alone, also among thousands. */
Test(platform, many_keys)
{
	enum { CUSTOMERS = 20, KEYS = 500 };
	GString *list = g_string_new("[");
	platform_config_t *cfg;

	for (int c = 0; c < CUSTOMERS; c++) {
		g_string_append_printf(list,
		    "%s{\"name\":\"c%d\",\"api_keys\":[\"first%d\"",
		    c == 0 ? "" : ",", c, c);
		for (int k = 0; k < KEYS; k++)
			g_string_append_printf(list, ",\"key-%d-%d\"", c, k);
		g_string_append(list, "]}");
	}
	g_string_append(list, "]");
	cfg = parse_customers(list->str, NULL);
	cr_assert_not_null(cfg);
	cr_expect_eq(g_hash_table_size(cfg->keys), CUSTOMERS * (KEYS + 1));
	for (int c = 0; c < CUSTOMERS; c++) {
		g_autofree char *name = g_strdup_printf("c%d", c);
		g_autofree char *key =
		    g_strdup_printf("key-%d-%d", c, KEYS - 1);
		g_autofree char *none = g_strdup_printf("key-%d-%d", c, KEYS);
		const sched_customer_t *found =
		    platform_find_customer(cfg, key);

		cr_assert_not_null(found);
		cr_expect_str_eq(found->name, name);
		cr_expect_null(platform_find_customer(cfg, none));
	}
	platform_config_free(cfg);
	g_string_free(list, TRUE);
}
