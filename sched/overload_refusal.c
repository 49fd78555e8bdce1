/*
 * Whether a submission is refused as it would end too late; used by entries,
 * which have only the job and what the owner published.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "sched.h"
#include "headroom.h"
#include "internal.h"

/* Declared time of the longest chain of steps of a valid job. */
static int64_t
longest_chain_ms(const Sched__Job *job)
{
	g_autofree int64_t *ends = g_new0(int64_t, MAX(1, job->n_steps));
	int64_t longest = 0;

	for (size_t i = 0; i < job->n_steps; i++) {
		const Sched__Step *st = job->steps[i];

		for (size_t k = 0; k < st->n_after; k++)
			ends[i] = MAX(ends[i], ends[st->after[k]]);
		ends[i] += st->estimate_ms;
		longest = MAX(longest, ends[i]);
	}
	return longest;
}

/*
 * Whether a valid job would end after its late limit under a refusal of its
 * queue.  A job that repeats is due later.
 */
bool
overload_is_hopeless(const Sched__Refusal *r, const Sched__Job *job)
{
	int64_t chain = longest_chain_ms(job);
	double allowed = (double)job->target_ms + job->stretch * (double)chain;

	if (r->delay_ms <= 0 || job->repeats > 0 ||
	    (r->queue[0] != '\0' && strcmp(r->queue, job->queue) != 0))
		return false;
	return (double)r->delay_ms + (double)chain > LATE_LIMIT_TIMES * allowed;
}
