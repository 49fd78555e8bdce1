/*
 * Who may call a queue, by its route and the caller's key, and who may access a
 * job.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/sched.pb-c.h"
#include "../sched/sched.h"
#include "../platform/platform.h"
#include "auth.h"

#define LOG_INTERVAL_MS 1000

auth_result_t
auth_check(const auth_call_t *call, const sched_customer_t **customer)
{
	bool stale = call->table_age_ms > AUTH_TABLE_AGE_MAX_MS;

	*customer = NULL;
	if (call->config->customers->len == 0)
		return AUTH_ALLOWED;
	if (stale && !call->queue->is_public)
		return AUTH_STALE;
	*customer = platform_find_customer(call->config, call->key);
	if (*customer == NULL && !call->queue->is_public)
		return AUTH_UNAUTHORIZED;
	return AUTH_ALLOWED;
}

bool
auth_may_access(const char *caller, const char *job_customer)
{
	return job_customer[0] == '\0' || strcmp(caller, job_customer) == 0;
}

static bool
exceeds(int64_t amount, int32_t tasks, int64_t limit)
{
	return limit > 0 && amount > limit / tasks;
}

bool
auth_gang_exceeds_quota(const Sched__Job *job, const sched_customer_t *c)
{
	for (size_t i = 0; c != NULL && i < job->n_steps; i++) {
		const Sched__Step *st = job->steps[i];

		if (st->gang &&
		    (exceeds(st->cpu_milli, st->count, c->quota_cpu_milli) ||
			exceeds(st->mem_mb, st->count, c->quota_mem_mb) ||
			exceeds(st->gpu, st->count, c->quota_gpu)))
			return true;
	}
	return false;
}

bool
auth_log_due(auth_log_limit_t *l, int64_t now_ms, int64_t *skipped)
{
	if (l->logged_ms != 0 && now_ms - l->logged_ms < LOG_INTERVAL_MS) {
		l->skipped++;
		return false;
	}
	*skipped = l->skipped;
	l->logged_ms = now_ms;
	l->skipped = 0;
	return true;
}
