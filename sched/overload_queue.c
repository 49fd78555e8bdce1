/*
 * The overload plan of the queue.
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

/* Appends what the plan has refused, each to be freed by g_free. */
void
overload_append_refusals(sched_t *s, GPtrArray *refusals)
{
	(void)s;
	(void)refusals;
}

/* Decides which jobs are delayed. */
void
overload_update(sched_t *s)
{
	(void)s;
}
