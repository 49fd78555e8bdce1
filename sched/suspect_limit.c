/*
 * How many workers may be suspect at a time (suspect.c).
 *
 * Pattern: work that fails everywhere makes all workers suspect, and sound work waits though
 * all are free.  Where more than a share of the workers that could run a step are suspect, the
 * work is rather at fault than so many workers: then none of them is kept from it.
 */
#include <stdbool.h>
#include <stdint.h>

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

/* So many of the workers that could run a step may be suspect, but always one. */
#define SUSPECTS_SHARE 3 /* one in */

/* The workers of a service that could run something, when the round began. */
typedef struct {
	const char *service; /* interned */
	guint able, suspect;
	int64_t cpu_milli, mem_mb; /* that each of them has */
} suspects_t;

void
suspect_init(sched_t *s)
{
	s->suspects = g_array_new(FALSE, FALSE, sizeof(suspects_t));
}

void
suspect_free(sched_t *s)
{
	g_array_unref(s->suspects);
}

/* What was counted of a service, or NULL: fewer than two workers are suspect in all. */
static suspects_t *
find_service(const sched_t *s, const char *service)
{
	for (guint i = 0; i < s->suspects->len; i++) {
		suspects_t *e = &g_array_index(s->suspects, suspects_t, i);

		if (e->service == service)
			return e;
	}
	return NULL;
}

static void
add_worker(sched_t *s, const worker_t *w)
{
	suspects_t first = { .service = w->service,
		.cpu_milli = w->cpu_milli,
		.mem_mb = w->mem_mb };
	suspects_t *e = find_service(s, w->service);

	if (e == NULL) {
		g_array_append_val(s->suspects, first);
		e = find_service(s, w->service);
	}
	e->able++;
	e->suspect += w->suspect;
	e->cpu_milli = MIN(e->cpu_milli, w->cpu_milli);
	e->mem_mb = MIN(e->mem_mb, w->mem_mb);
}

/* A round of scan.c begins: counts the suspect workers, if there are any. */
void
suspect_begin_round(sched_t *s)
{
	guint n = 0;

	g_array_set_size(s->suspects, 0);
	for (guint i = 0; i < s->worker_list->len; i++)
		n +=
		    ((worker_t *)g_ptr_array_index(s->worker_list, i))->suspect;
	if (n <= 1)
		return;
	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (cell_worker_refusal(s, w) == SCHED_WAIT_NONE)
			add_worker(s, w);
	}
}

/* Whether so many suspect ones among workers are more than can be believed of. */
static bool
are_too_many(guint suspect, guint able)
{
	return suspect > MAX(1, able / SUSPECTS_SHARE);
}

/* Whether each worker of its service could run a step. */
static bool
fits_all(const suspects_t *e, const Sched__Step *d)
{
	return d->label[0] == '\0' && d->gpu == 0 &&
	    d->cpu_milli <= e->cpu_milli && d->mem_mb <= e->mem_mb;
}

/*
 * Updates, once in a round, whether more of the workers that could run a step are suspect
 * than that can be believed of.
 */
void
suspect_update_step(const sched_t *s, step_t *st)
{
	const suspects_t *e;
	guint able = 0, suspect = 0;

	if (st->suspects_round == s->scan.round)
		return;
	st->suspects_round = s->scan.round;
	st->too_many_suspects = false;
	e = find_service(s, st->occ->job->service);
	if (e == NULL || e->suspect <= 1)
		return;
	if (fits_all(e, st->def)) {
		st->too_many_suspects = are_too_many(e->suspect, e->able);
		return;
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (!place_is_able(s, w, st))
			continue;
		able++;
		suspect += w->suspect;
	}
	st->too_many_suspects = are_too_many(suspect, able);
}
