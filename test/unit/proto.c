/*
 * Codecs: what goes out comes back the same, and what is wrong is refused.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../proto/proto.h"

Test(proto, rows_round)
{
	ts_row_t rows[3] = { { .kind = TS_ROW_GROUP, .version = 3 },
		{ .kind = TS_ROW_IDEM, .version = 4 },
		{ .kind = TS_ROW_JOB, .version = 5 } };
	ts_job_t *j = &rows[2].u.job;
	ts_row_t back;

	strcpy(rows[0].key, "group/z.r1");
	rows[0].u.group = (ts_group_row_t){ "e1", 17, 4 };
	strcpy(rows[1].key, "idem/c/k");
	rows[1].u.idem = (ts_idem_row_t){ TS_IDEM_NOT_RUN, 99 };
	strcpy(rows[2].key, "job/z.r1/x");
	strcpy(j->id, "z.r1/x");
	j->team = "t";
	j->class = "c";
	j->pool = "p";
	j->worker = "w";
	j->attempt = 3;
	j->state = TS_JOB_HELD;
	j->size = (ts_res_t){ 1, 2, 3 };
	j->failed_on[0] = "w9";
	for (int i = 0; i < 3; i++) {
		json_t *o = row_to_json(&rows[i]);

		cr_assert(row_from_json(o, &back, NULL), "row %d", i);
		cr_expect_str_eq(back.key, rows[i].key);
		cr_expect_eq(back.version, rows[i].version);
		json_decref(o);
	}
	cr_expect_str_eq(back.u.job.failed_on[0], "w9");
	cr_expect_eq(back.u.job.state, TS_JOB_HELD);
	cr_expect_eq(back.u.job.size.accel, 3);
}

typedef struct {
	const char *text;
	bool ok;
} case_t;

static const case_t rows_cases[] = {
	{ "{\"rows\":[]}", true },
	{ "", false },
	{ "[", false },
	{ "{}", false },
	{ "{\"rows\":[{}]}", false },
	{ "{\"rows\":[{\"key\":\"x/y\",\"version\":1,\"value\":{}}]}", false },
	{ "{\"rows\":[{\"key\":\"idem/a\",\"version\":-1,\"value\":{}}]}",
	    false },
	{ "{\"rows\":[{\"key\":\"idem/a\",\"version\":1,\"value\":"
	  "{\"status\":5000}}]}",
	    false },
	{ "{\"rows\":[{\"key\":\"idem/a\",\"version\":1,\"value\":"
	  "{\"status\":\"5\"}}]}",
	    false },
	{ "{\"rows\":[{\"key\":\"job/a/b\",\"version\":1,\"value\":"
	  "{\"state\":\"asleep\"}}]}",
	    false },
	{ "{\"rows\":[],\"rows\":[]}", false },
};

Test(proto, rows_refused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows_cases); i++) {
		const char *t = rows_cases[i].text;
		GArray *a = rows_from_json(t, strlen(t), NULL);

		cr_expect_eq(a != NULL, rows_cases[i].ok, "case %zu", i);
	}
}

static const case_t vms_cases[] = {
	{ "{\"vms\":[]}", true },
	{ "{}", false },
	{ "{\"vms\":[{\"name\":\"w\",\"kind\":\"worker\",\"port\":1,"
	  "\"rack\":\"r\"}]}",
	    true },
	{ "{\"vms\":[{\"name\":\"\",\"kind\":\"worker\",\"port\":1}]}", false },
	{ "{\"vms\":[{\"name\":\"w\",\"kind\":\"pump\",\"port\":1}]}", false },
	{ "{\"vms\":[{\"name\":\"w\",\"kind\":\"worker\",\"port\":0}]}",
	    false },
	{ "{\"vms\":[{\"name\":\"w\",\"kind\":\"worker\",\"port\":1,"
	  "\"rack\":\"a/b\"}]}",
	    false },
	{ "{\"vms\":[{\"name\":\"w\",\"kind\":\"worker\",\"port\":1,"
	  "\"rack\":\"a2345678901234567890123456789012345678901\"}]}",
	    false },
};

Test(proto, vms)
{
	for (size_t i = 0; i < G_N_ELEMENTS(vms_cases); i++) {
		const char *t = vms_cases[i].text;
		GArray *a = vms_from_json(t, strlen(t), NULL);

		cr_expect_eq(a != NULL, vms_cases[i].ok, "case %zu", i);
	}
}

/* Messages survive the wire, cut anywhere. */
Test(proto, frames)
{
	ts_capacity_t rooms[3] = { { "p", "", 4, 0 }, { "g", "z", -5, 6 },
		{ "t", "", 9, 0 } };
	ts_msg_t m = { .kind = TS_MSG_DIGEST, .conf_version = 8 }, back;
	GArray *got = g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));
	GByteArray *in = g_byte_array_new();
	Ts__Envelope *env = NULL;
	GByteArray *b;
	msg_payload_t p;

	m.pools = &rooms[0];
	m.groups = &rooms[1];
	m.teams = &rooms[2];
	m.npools = m.ngroups = m.nteams = 1;
	b = msg_pack(&m, NULL);
	for (guint i = 0; i < b->len; i++) {
		cr_assert_null(env);
		g_byte_array_append(in, b->data + i, 1);
		env = frame_unpack(in, NULL);
	}
	cr_assert_not_null(env);
	cr_assert(msg_unpack(env, &back, &p, got, NULL));
	cr_expect_eq(back.conf_version, 8);
	cr_expect_str_eq(back.pools[0].name, "p");
	cr_expect_eq(back.groups[0].free, -5);
	cr_expect_eq(back.teams[0].free, 9);
	cr_expect_eq(in->len, 0);
}

Test(proto, frame_refused)
{
	static const uint8_t bad[][8] = { { 0xff, 0xff, 0xff, 0xff },
		{ 0, 0, 0, 2, 0xff, 0xff }, { 0, 0, 0, 1, 0x0a } };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GByteArray *in = g_byte_array_new();
		GError *err = NULL;

		g_byte_array_append(in, bad[i], sizeof(bad[i]));
		cr_expect_null(frame_unpack(in, &err));
		cr_expect_not_null(err, "case %zu", i);
	}
}

Test(proto, forward_refused)
{
	ts_msg_t m = { .kind = TS_MSG_FORWARD, .left_ms = 5, .pool = "p" };
	static const char *const paths[] = { "/ok", "no", "/a b", "/a\r\nx" };
	GArray *rooms = g_array_new(FALSE, TRUE, sizeof(ts_capacity_t));

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		msg_payload_t p = { "GET", paths[i], "", NULL, 0, 0 }, back;
		GByteArray *b = msg_pack(&m, &p);
		Ts__Envelope *env = frame_unpack(b, NULL);
		ts_msg_t got;

		cr_expect_eq(msg_unpack(env, &got, &back, rooms, NULL), i == 0,
		    "case %zu", i);
	}
}

Test(proto, mac)
{
	uint8_t a[NONCE_BYTES] = { 1 }, b[NONCE_BYTES] = { 2 };
	uint8_t x[MAC_BYTES], y[MAC_BYTES];
	ProtobufCBinaryData d = { MAC_BYTES, x };

	hello_mac("key", 'd', a, b, "e1", 5, x);
	hello_mac("key", 'd', a, b, "e1", 5, y);
	cr_expect(hello_mac_equal(&d, y));
	hello_mac("key", 'a', a, b, "e1", 5, y);
	cr_expect_not(hello_mac_equal(&d, y));
	hello_mac("kex", 'd', a, b, "e1", 5, y);
	cr_expect_not(hello_mac_equal(&d, y));
	hello_mac("key", 'd', a, b, "e2", 5, y);
	cr_expect_not(hello_mac_equal(&d, y));
	d.len = 0;
	cr_expect_not(hello_mac_equal(&d, x));
}
