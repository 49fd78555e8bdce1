/*
 * Settings of queues, as the scheduler has them after each configuration.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
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
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "../../platform/platform.h"
#include "../../serve/store_clock.h"
#include "../../serve/auth.h"
#include "../../serve/rate_limit.h"
#include "../../serve/serve.h"

#define Q(SERVICE, PRIORITY, ATTEMPTS, MORE) \
	"{\"name\":\"q\",\"service\":\"" SERVICE "\",\"priority\":" #PRIORITY \
	",\"max_attempts\":" #ATTEMPTS MORE "}"

#define COST "\"per_item_ms\":40,\"valid_ms\":3000"

/*
 * Guards against CONFIG, a queue that runs by an older version: settings that did
 * not change are not given to the scheduler again.
 */
Test(queue_versions, those_of_the_newest)
{
	static const struct {
		const char *queues;
		const char *service;
		int32_t priority, max_attempts;
		bool needs_approval;
		sched_approval_cost_t cost;
	} cases[] = {
		{ Q("a", 0, 1, ""), "a", 0, 1, false },
		{ Q("b", 0, 1, ""), "b", 0, 1, false },
		{ Q("a", 0, 1, ""), "a", 0, 1, false },
		{ Q("a", 2, 1, ""), "a", 2, 1, false },
		{ Q("a", 2, 4, ""), "a", 2, 4, false },
		{ Q("a", 2, 4, ",\"advice\":{}"), "a", 2, 4, true },
		{ Q("a", 2, 4, ",\"advice\":{\"decision_ms\":300," COST "}"),
		    "a", 2, 4, true, { 300, 40, 3000 } },
		{ Q("a", 2, 4, ",\"advice\":{\"decision_ms\":200," COST "}"),
		    "a", 2, 4, true, { 200, 40, 3000 } },
		/* Out of range, or no numbers. */
		{ Q("a", 2, 4, ",\"advice\":{\"decision_ms\":600001," COST "}"),
		    "a", 2, 4, true, { 600000, 40, 3000 } },
		{ Q("a", 2, 4, ",\"advice\":{\"decision_ms\":-1," COST "}"),
		    "a", 2, 4, true, { 0, 40, 3000 } },
		{ Q("a", 2, 4, ",\"advice\":{\"decision_ms\":\"x\"}"), "a", 2,
		    4, true },
		{ Q("a", 2, 4, ""), "a", 2, 4, false },
		/* Removed, and back with others. */
		{ "", "a", 2, 4, false },
		{ Q("c", 1, 3, ""), "c", 1, 3, false },
		/* Of two with one name, the last. */
		{ Q("d", 1, 3, "") "," Q("e", 1, 3, ""), "e", 1, 3, false },
		{ Q("d", 1, 3, "") "," Q("e", 1, 3, ""), "e", 1, 3, false },
		{ Q("e", 1, 3, "") "," Q("d", 1, 3, ""), "d", 1, 3, false },
	};
	node_t n = {
		.opts = { .name = "e", .drain_ms = 2000, .max_lease_ms = 6000 }
	};
	uv_loop_t loop;

	uv_loop_init(&loop);
	n.loop = &loop;
	n.watches = g_ptr_array_new();
	uv_timer_init(&loop, &n.tick_timer);
	n.cell_driver = cell_driver_new(&n);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
		    g_strdup_printf("{\"version\":%zu,\"routes\":[%s]}", i + 1,
			cases[i].queues);
		platform_config_t *cfg = platform_config_parse(
		    (const uint8_t *)text, strlen(text), NULL);
		const queue_t *q;

		cr_assert_not_null(cfg);
		cell_driver_set_queues(n.cell_driver, cfg);
		q = queue_get(cell_driver_sched(n.cell_driver), "q");
		cr_expect(strcmp(q->service, cases[i].service) == 0 &&
			q->priority == cases[i].priority &&
			q->max_attempts == cases[i].max_attempts &&
			q->needs_approval == cases[i].needs_approval &&
			memcmp(&q->approval_cost, &cases[i].cost,
			    sizeof(q->approval_cost)) == 0,
		    "case %zu", i);
		platform_config_free(cfg);
	}
}
