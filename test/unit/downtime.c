/*
 * How long a lasting task is without a run: the log must tell an operator, also of one
 * whose job has other runs.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../sched/sched.h"
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "sched_fixture.h"

#define JOB_ID	"0000000000000001"
#define DOWN_MS 4000

static char last_back[256], last_waits[1024];

static void
keep_event(void *ctx, sched_evt_t n, const char *subject, char *fields)
{
	(void)ctx;
	if (n == SCHED_EVT_LASTING_BACK)
		g_snprintf(
		    last_back, sizeof(last_back), "%s %s", subject, fields);
	if (n == SCHED_EVT_JOB_WAITS)
		g_strlcpy(last_waits, fields, sizeof(last_waits));
	g_free(fields);
}

/* Guards against a task that is down for long and that no log line tells of. */
Test(downtime, a_task_that_is_down_is_logged)
{
	static const struct {
		const char *what;
		bool lasting, up_before, stopped;
		const char *back; /* "": nothing is logged */
	} cases[] = {
		{ "it had failed", true, true, false, "down=4000 by_stop=0" },
		{ "it was stopped", true, true, true, "down=4000 by_stop=1" },
		{ "it had not run", true, false, false, "" },
		{ "it does not last", false, true, false, "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_owner();
		worker_t *w = add_worker(s, "w");
		Sched__Step d = step_def("", 1000, false, 0);
		step_t *st;
		run_t *r;

		s->opts.port.event = keep_event;
		last_back[0] = last_waits[0] = '\0';
		s->now_ms = s->wall_ms = 100000;
		d.lasting = cases[i].lasting;
		d.count = 2;
		st = first_step(add_job(s, JOB_ID, &d, s->wall_ms));
		st->ready = true;
		add_running(s, st, 0, w);
		r = add_running(s, st, 1, w);
		r->first_seen_ms = cases[i].up_before ? 1 : 0;
		if (cases[i].stopped)
			run_set_state(s, r, RUN_STOPPING);
		run_remove(s, r);
		s->now_ms += DOWN_MS;
		stats_log(s);
		cr_expect_eq(sched_stats(s).longest_down_ms,
		    cases[i].back[0] == '\0' ? 0 : DOWN_MS, "%s",
		    cases[i].what);
		cr_expect_eq(strstr(last_waits,
				 "task=" JOB_ID ".0.0.1 idle=4000") != NULL,
		    cases[i].back[0] != '\0', "%s: %s", cases[i].what,
		    last_waits);
		cr_assert(run_start(s, &st->tasks[1], w, 2));
		run_order_done(s, st->tasks[1].run, SCHED_ORDER_OK, 0);
		cr_expect_eq(strstr(last_back, cases[i].back) != NULL &&
			last_back[0] != '\0',
		    cases[i].back[0] != '\0', "%s: %s", cases[i].what,
		    last_back);
		sched_free(s);
	}
}
