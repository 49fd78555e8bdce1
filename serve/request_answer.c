/*
 * Answers to requests of callers for jobs; see request.h.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
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
#include "../cmd/cmd.h"
#include "store_clock.h"
#include "auth.h"
#include "rate_limit.h"
#include "serve.h"
#include "attempts.h"
#include "job_rows.h"
#include "request.h"

#define NO_SUCH_JOB	 "{\"error\":\"no such job\"}"
#define CANCELLED_BEFORE "{\"error\":\"the job was cancelled\"}"

void
request_answer_accepted(request_t *rq, bool resubmitted)
{
	node_t *n = rq->node;

	if (resubmitted)
		n->stats.resubmitted++;
	else
		n->stats.accepted++;
	log_event(EVT_ACCEPTED,
	    "id=%s queue=%s resubmitted=%d tries=%d latency_ms=%" PRId64,
	    rq->id, rq->queue, resubmitted, rq->attempts.sent,
	    node_now_ms(n) - rq->began_ms);
	request_finish(rq, 200, "{}");
}

void
request_answer_rejected(request_t *rq)
{
	bool over_rate = rq->rejection.reason == SCHED_OVER_RATE;
	const char *why = over_rate ?
	    "more jobs than the rate of the customer" :
	    "it would end too late";

	log_event(EVT_REFUSED, "id=%s queue=%s retry_after_ms=%d why=\"%s\"",
	    rq->id, rq->queue, rq->rejection.retry_after_ms, why);
	request_finish(rq, over_rate ? 429 : 503, why);
}

void
request_answer_refused(request_t *rq)
{
	static const char why[] = "refused at another entry";

	log_event(EVT_REFUSED, "id=%s queue=%s retry_after_ms=%d why=\"%s\"",
	    rq->id, rq->queue, rq->rejection.retry_after_ms, why);
	request_finish(rq, 503, why);
}

void
request_answer_gone(request_t *rq)
{
	rq->node->stats.state_unknown_job++;
	request_finish(rq, 410, NO_SUCH_JOB);
}

void
request_answer_foreign(request_t *rq)
{
	bool submitted =
	    rq->kind == REQUEST_SUBMIT || rq->kind == REQUEST_REJECT;

	rq->node->stats.foreign++;
	log_rejected_call(
	    rq->node, rq->queue, rq->id, "a job of another customer");
	/* To a read or a cancel the job must look like one that isn't there. */
	request_finish(rq, submitted ? 409 : 410,
	    submitted ? "{\"error\":\"the id is in use\"}" : NO_SUCH_JOB);
}

void
request_answer_damaged(request_t *rq, const char *key, const char *why)
{
	log_event(EVT_BAD_ROW, "table=jobs key=%s why=\"%s\"", key, why);
	request_finish(
	    rq, 500, "{\"error\":\"the job's stored state is damaged\"}");
}

bool
request_check_access(request_t *rq, const store_row_t *row)
{
	Sched__Job *job = sched__job__unpack(NULL, row->nbytes, row->bytes);
	bool allowed =
	    job != NULL && auth_may_access(rq->customer, job->customer);

	if (job == NULL)
		request_answer_damaged(rq, row->key, "not a job");
	else if (!allowed)
		request_answer_foreign(rq);
	if (job != NULL)
		sched__job__free_unpacked(job, NULL);
	return allowed;
}

void
request_answer_cancelled(request_t *rq, const store_row_t *cancel)
{
	if (!job_rows_cancelled_by(cancel, rq->customer)) {
		request_answer_foreign(rq);
		return;
	}
	rq->node->stats.cancelled_before++;
	log_event(EVT_REFUSED, "id=%s queue=%s why=\"cancelled before\"",
	    rq->id, rq->queue);
	request_finish(rq, 410, CANCELLED_BEFORE);
}

void
request_answer_state(request_t *rq, Sched__State st)
{
	g_autofree char *body = platform_job_state_body(st);

	rq->node->stats.state_reads++;
	request_finish(rq, 200, body);
}
