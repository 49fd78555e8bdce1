/*
 * Example of a program that embeds libtanagerspool: one entry without sockets.
 * A real program would carry out all actions, with its own store and workers;
 * this one answers reads of the store and prints refusals.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"

#define TOKEN "00000000000000000000000000000000000000000000000000000000000000aa"

/*
 * Called by the core for each action, while it processes an event.  A new event
 * must not be passed in before that is done, so reads are answered later.
 */
static void
emit(void *ctx, const ts_act_t *act)
{
	GArray *pending_reads = ctx;

	if (act->kind == TS_ACT_REFUSE)
		printf("refused: %s, retry after %d ms\n",
		    ts_counter_name(act->u.refuse.reason),
		    act->u.refuse.retry_after_ms);
	if (act->kind == TS_ACT_READ)
		g_array_append_val(pending_reads, act->u.read.id);
}

/* Answers every pending read with a configuration row. */
static void
answer_reads(ts_core_t *core, GArray *pending_reads, int64_t now_ms)
{
	ts_row_t conf = { .kind = TS_ROW_CONF, .key = "conf", .version = 1 };

	conf.u.conf.routes = "[route r]\ncaller=c\npath=/quote\npool=p\n"
			     "token_sha256=" TOKEN "\n";
	conf.u.conf.pools = "[zone z]\nstate=in\n[pool p]\nkind=service\n"
			    "zones=z\n";
	for (guint i = 0; i < pending_reads->len; i++) {
		ts_ev_t ev = { .kind = TS_EV_READ_END };

		ev.u.rows.id = g_array_index(pending_reads, uint64_t, i);
		ev.u.rows.ok = true;
		ev.u.rows.rows = &conf;
		ev.u.rows.n = 1;
		ts_core_input(core, &ev, now_ms);
	}
	g_array_set_size(pending_reads, 0);
}

int
main(void)
{
	GArray *pending_reads = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ts_core_opts_t opts = { .name = "e1",
		.zone = "z",
		.incarnation = 1,
		.emit = emit,
		.ctx = pending_reads };
	ts_core_t *core = ts_core_new(&opts);
	ts_ev_t tick = { .kind = TS_EV_TICK };
	ts_ev_t request = { .kind = TS_EV_REQUEST };

	ts_core_input(core, &tick, 1000);
	answer_reads(core, pending_reads, 1001);
	printf("ready: %s\n",
	    ts_core_ready(core) ? "yes" : "no, no workers known");
	request.u.request.id = 1;
	request.u.request.token_sha256 = TOKEN;
	request.u.request.path = "/quote";
	ts_core_input(core, &request, 1002); /* refused: no workers */
	ts_core_free(core);
	g_array_free(pending_reads, TRUE);
	return 0;
}
