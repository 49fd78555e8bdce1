/*
 * Shares of customers in the room of the cell.
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

/* A job was accepted, or is read again by a new owner. */
void
share_job_accepted(sched_t *s, job_t *j)
{
	(void)s;
	(void)j;
}

/* Updates what each customer received. */
void
share_update(sched_t *s)
{
	(void)s;
}

/* Compares the claims of the customers of two jobs: -1 if a goes first. */
int
share_compare(const job_t *a, const job_t *b)
{
	(void)a;
	(void)b;
	return 0;
}
