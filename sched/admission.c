/*
 * Submissions that are refused while there is too little room: what the owner
 * publishes, and how entries apply it.
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

/* Returns the refusals to publish, an array of *n; the caller frees both. */
Sched__Refusal **
admission_pack(sched_t *s, size_t *n)
{
	(void)s;
	*n = 0;
	return NULL;
}

sched_admission_t
sched_admit(const sched_t *s, const char *id, const Sched__Job *job,
    int64_t now_ms, int32_t *retry_after_ms)
{
	(void)s;
	(void)id;
	(void)job;
	(void)now_ms;
	*retry_after_ms = 0;
	return SCHED_ADMITTED;
}
