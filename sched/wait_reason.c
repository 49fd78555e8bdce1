/*
 * Why waiting tasks wait, for the log and the metrics.
 *
 * Passes over the queue note with each step why its next task did not start
 * (start.c, place.c).  For a task that workers refuse this is the check that was
 * failed last, of all workers: the one that the nearest worker failed.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "sched.h"
#include "image_set.h"
#include "headroom.h"
#include "run_time.h"
#include "types.h"
#include "customer.h"
#include "internal.h"

/* A noted reason is not used for longer: several rounds of scan.c. */
#define NOTED_MS 2000

static const char *const names[SCHED_WAIT_REASONS] = {
	[SCHED_WAIT_NONE] = "could_start",
	[SCHED_WAIT_NOT_OFFERED] = "not_offered",
	[SCHED_WAIT_OWNER] = "owner",
	[SCHED_WAIT_UNSEEN_RUNS] = "unseen_runs",
	[SCHED_WAIT_QUOTA] = "quota",
	[SCHED_WAIT_ROW] = "row",
	[SCHED_WAIT_BACKOFF] = "backoff",
	[SCHED_WAIT_GANG_RUNS] = "gang_runs",
	[SCHED_WAIT_MOVE] = "move",
	[SCHED_WAIT_QUARANTINE] = "quarantine",
	[SCHED_WAIT_NO_WORKER] = "no_worker",
	[SCHED_WAIT_LEAVING] = "leaving",
	[SCHED_WAIT_SILENT] = "silent",
	[SCHED_WAIT_NEW_WORKER] = "new_worker",
	[SCHED_WAIT_UNKNOWN_RUNS] = "unknown_runs",
	[SCHED_WAIT_SUSPECT] = "suspect",
	[SCHED_WAIT_TOO_LARGE] = "too_large",
	[SCHED_WAIT_LABEL] = "label",
	[SCHED_WAIT_MEM] = "mem",
	[SCHED_WAIT_GPU] = "gpu",
	[SCHED_WAIT_CPU] = "cpu",
	[SCHED_WAIT_PER_WORKER] = "per_worker",
	[SCHED_WAIT_APPROVAL] = "approval",
	[SCHED_WAIT_RESERVED] = "reserved",
	[SCHED_WAIT_KEPT] = "kept",
	[SCHED_WAIT_CANNOT_SLOW] = "cannot_slow",
	[SCHED_WAIT_ISOLATED] = "isolated",
	[SCHED_WAIT_EARLIER_RUN] = "earlier_run",
	[SCHED_WAIT_GANG_ROOM] = "gang_room",
};

const char *
sched_wait_reason_name(sched_wait_reason_t why)
{
	return names[why];
}

/*
 * Notes why the next task of a step did not start.  What was noted when no worker
 * was found stays for the rest of the round, as later searches do not look at
 * all of them.
 */
void
wait_reason_note(const sched_t *s, step_t *st, sched_wait_reason_t why)
{
	if (!scan_has_searched(s, st))
		st->wait_reason = why;
}

/* Why the next task of a queued step does not start, by the last pass. */
sched_wait_reason_t
wait_reason_of(const sched_t *s, const step_t *st)
{
	if (!ownership_may_start_tasks(s))
		return SCHED_WAIT_OWNER;
	if (!ownership_may_start_step(s, st))
		return SCHED_WAIT_UNSEEN_RUNS;
	if (st->quota_held)
		return SCHED_WAIT_QUOTA;
	if (st->offered_ms == 0 || s->now_ms - st->offered_ms > NOTED_MS)
		return SCHED_WAIT_NOT_OFFERED;
	return st->wait_reason;
}

/* Counts by reason as text: those that are not 0, "-" if all are; to be freed. */
char *
wait_reason_text(const int32_t *counts)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < SCHED_WAIT_REASONS; i++)
		if (counts[i] != 0)
			g_string_append_printf(text, "%s%s:%d",
			    text->len > 0 ? "," : "", names[i], counts[i]);
	return g_string_free(
	    text->len > 0 ? text : g_string_assign(text, "-"), FALSE);
}
