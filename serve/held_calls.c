/*
 * Calls of callers that wait for newer tables; see serve.h.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"

#define CHECK_MS 50

typedef struct {
	incoming_t in;
	int64_t until_ms;
} held_call_t;

struct held_calls {
	node_t *node;
	held_calls_fn fn;
	GQueue calls; /* of held_call_t, in the order in which they came */
	uv_timer_t timer;
};

void
held_calls_release(held_calls_t *h)
{
	node_t *n = h->node;
	int64_t now = node_now_ms(n);
	guint count = g_queue_get_length(&h->calls);

	while (count-- > 0) {
		held_call_t *c = g_queue_pop_head(&h->calls);

		if (!node_tables_old(n) || n->store_lost || n->stopping ||
		    now >= c->until_ms) {
			n->open_requests--;
			h->fn(n, &c->in);
			g_free(c);
		} else
			g_queue_push_tail(&h->calls, c);
	}
	if (g_queue_is_empty(&h->calls))
		uv_timer_stop(&h->timer);
}

static void
on_timer(uv_timer_t *t)
{
	held_calls_release(t->data);
}

held_calls_t *
held_calls_new(node_t *n, held_calls_fn fn)
{
	held_calls_t *h = g_new0(held_calls_t, 1);

	h->node = n;
	h->fn = fn;
	g_queue_init(&h->calls);
	uv_timer_init(n->loop, &h->timer);
	h->timer.data = h;
	return h;
}

void
held_calls_add(held_calls_t *h, const incoming_t *in, int64_t until_ms)
{
	held_call_t *c = g_new0(held_call_t, 1);

	c->in = *in;
	c->in.held = true;
	c->until_ms = until_ms;
	h->node->open_requests++;
	g_queue_push_tail(&h->calls, c);
	if (!uv_is_active((uv_handle_t *)&h->timer))
		uv_timer_start(&h->timer, on_timer, CHECK_MS, CHECK_MS);
}
