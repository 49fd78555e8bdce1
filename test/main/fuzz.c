/*
 * Fuzzes the parsers of all external input: frames of peers, JSON of the
 * platform and of workers, and configuration tables.  Each input is a valid
 * one with random damage.  Run under the sanitizers: a crash or a leak fails.
 * usage: fuzz SEED COUNT
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../proto/proto.h"
#include "../fake/damage.h"

static const char rows_seed[] =
    "{\"rows\":[{\"key\":\"job/g/1\","
    "\"version\":3,\"writer\":\"e\",\"value\":{\"id\":\"g/1\",\"team\":\"t\","
    "\"state\":\"queued\",\"failed_on\":[\"w\"],\"cpu_milli\":1}},"
    "{\"key\":\"conf\",\"version\":1,\"value\":{\"routes\":\"[a]\","
    "\"pools\":\"b\"}},{\"key\":\"group/z\",\"version\":2,\"value\":"
    "{\"owner\":\"e1\",\"epoch\":4}}]}";
static const char vms_seed[] =
    "{\"vms\":[{\"name\":\"w1\",\"kind\":"
    "\"worker\",\"zone\":\"z\",\"rack\":\"r\",\"ip\":\"127.0.0.1\","
    "\"port\":80,\"incarnation\":1,\"leaving\":true,\"cpu_milli\":5}]}";
static const char sync_seed[] =
    "{\"incarnation\":1,\"clock_ms\":5,"
    "\"epoch\":1,\"seq\":2,\"tasks\":[{\"id\":\"a\",\"state\":\"saved\","
    "\"attempt\":1}],\"slots\":[{\"pool\":\"p\",\"running\":3}]}";
static const char pools_seed[] =
    "[zone z]\nstate=in\n[pool p]\n"
    "kind=service\nzones=z\nslots=8\n[team t]\nquota_cpu_milli=5\n";
static const char routes_seed[] =
    "[route r]\ncaller=c\npath=/q\npool=p\n"
    "token_sha256=abababababababababababababababababababababababababababababab"
    "abab\n";

static void
parse_rows(const char *s, size_t n)
{
	GArray *a = rows_from_json(s, n, NULL);

	if (a != NULL)
		rows_free(a);
}

static void
parse_vms(const char *s, size_t n)
{
	GArray *a = vms_from_json(s, n, NULL);

	if (a != NULL)
		g_array_free(a, TRUE);
}

static void
parse_sync(const char *s, size_t n)
{
	sync_answer_t r;

	if (sync_from_json(s, n, "w", &r, NULL))
		sync_answer_clear(&r);
}

static void
parse_tables(const char *s, size_t n)
{
	g_autofree char *text = g_strndup(s, n);
	g_autoptr(GPtrArray) errs = g_ptr_array_new_with_free_func(g_free);
	ts_conf_t *c;

	/* The input as each of the tables; the other table is valid. */
	c = ts_conf_parse(text, pools_seed, 1, errs);
	ts_conf_free(c);
	c = ts_conf_parse(routes_seed, text, 1, errs);
	ts_conf_free(c);
	g_free(ts_conf_set_zone(text, "z", true, NULL));
}

static void
parse_frame(const char *s, size_t n)
{
	g_autoptr(GByteArray) in = g_byte_array_new();
	g_autoptr(GArray) capacities =
	    g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	Ts__Envelope *env;
	ts_msg_t m;
	msg_payload_t p;

	g_byte_array_append(in, (const uint8_t *)s, (guint)n);
	while ((env = frame_unpack(in, NULL)) != NULL) {
		msg_unpack(env, &m, &p, capacities, NULL);
		ts__envelope__free_unpacked(env, NULL);
	}
}

/* Two valid frames, a digest and a forwarded request. */
static GByteArray *
frame_seed(void)
{
	ts_capacity_t capacities[2] = { { "p", "", 4, 0 }, { "g", "z", 5, 6 } };
	ts_msg_t m = { .kind = TS_MSG_DIGEST,
		.conf_version = 1,
		.pools = capacities,
		.npools = 2 };
	ts_msg_t f = {
		.kind = TS_MSG_FORWARD, .req = 1, .left_ms = 5, .pool = "p"
	};
	msg_payload_t p = { "GET", "/x", "a: b\r\n", NULL, 0, 0 };
	GByteArray *b = msg_pack(&m, NULL);
	GByteArray *forward = msg_pack(&f, &p);

	g_byte_array_append(b, forward->data, forward->len);
	g_byte_array_free(forward, TRUE);
	return b;
}

int
main(int argc, char **argv)
{
	uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;
	uint32_t n = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 100000;
	GByteArray *frames = frame_seed();
	const struct {
		const char *seed;
		size_t len;
		void (*parse)(const char *, size_t);
	} parsers[] = {
		{ rows_seed, sizeof(rows_seed) - 1, parse_rows },
		{ vms_seed, sizeof(vms_seed) - 1, parse_vms },
		{ sync_seed, sizeof(sync_seed) - 1, parse_sync },
		{ pools_seed, sizeof(pools_seed) - 1, parse_tables },
		{ routes_seed, sizeof(routes_seed) - 1, parse_tables },
		{ (char *)frames->data, frames->len, parse_frame },
	};
	GRand *r = g_rand_new_with_seed(seed);

	for (uint32_t i = 0; i < n; i++) {
		size_t k = i % G_N_ELEMENTS(parsers);
		GByteArray *b = g_byte_array_new();

		g_byte_array_append(
		    b, (const uint8_t *)parsers[k].seed, (guint)parsers[k].len);
		damage_bytes(r, b);
		parsers[k].parse((char *)b->data, b->len);
		g_byte_array_free(b, TRUE);
	}
	g_rand_free(r);
	g_byte_array_free(frames, TRUE);
	printf("fuzz: %u inputs of seed %u, none crashed\n", n, seed);
	return 0;
}
