/*
 * Embeds the decisions in another program: one entry, no sockets.  A real
 * program would carry the actions to its own table and workers.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"

#define TOKEN "00000000000000000000000000000000000000000000000000000000000000aa"

/* Actions come while an event is being dealt with: keep them for later. */
static void
emit(void *ctx, const ts_act_t *a)
{
	GArray *kept = ctx;

	if (a->kind == TS_ACT_REFUSE)
		printf("refused: %s, come back in %d ms\n",
		    ts_counter_name(a->u.refuse.reason),
		    a->u.refuse.retry_after_ms);
	if (a->kind == TS_ACT_READ)
		g_array_append_val(kept, a->u.read.id);
}

/* Answers every read with the tables. */
static void
answer_reads(ts_core_t *core, GArray *kept, int64_t now_ms)
{
	ts_row_t conf = { .kind = TS_ROW_CONF, .key = "conf", .version = 1 };

	conf.u.conf.routes = "[route r]\ncaller=c\npath=/quote\npool=p\n"
			     "token_sha256=" TOKEN "\n";
	conf.u.conf.pools = "[zone z]\nstate=in\n[pool p]\nkind=service\n"
			    "zones=z\n";
	for (guint i = 0; i < kept->len; i++) {
		ts_ev_t ev = { .kind = TS_EV_READ_END };

		ev.u.rows.id = g_array_index(kept, uint64_t, i);
		ev.u.rows.ok = true;
		ev.u.rows.rows = &conf;
		ev.u.rows.n = 1;
		ts_core_input(core, &ev, now_ms);
	}
	g_array_set_size(kept, 0);
}

int
main(void)
{
	GArray *kept = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ts_core_opts_t o = { .name = "e1",
		.zone = "z",
		.incarnation = 1,
		.emit = emit,
		.ctx = kept };
	ts_core_t *core = ts_core_new(&o);
	ts_ev_t tick = { .kind = TS_EV_TICK };
	ts_ev_t ask = { .kind = TS_EV_REQUEST };

	ts_core_input(core, &tick, 1000);
	answer_reads(core, kept, 1001);
	printf("ready: %s\n",
	    ts_core_ready(core) ? "yes" : "no, nothing to serve from");
	ask.u.request.id = 1;
	ask.u.request.token_sha256 = TOKEN;
	ask.u.request.path = "/quote";
	ts_core_input(core, &ask, 1002); /* no workers: refused */
	ts_core_free(core);
	g_array_free(kept, TRUE);
	return 0;
}
