/*
 * The progress rows of jobs: what is done, and what is known of the runs of tasks
 * that are not.
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
#include "number_set.h"
#include "internal.h"

/*
 * Longest history of a task that is stored for several tasks at once.  It bounds
 * the work for a row that another writer has made.
 */
#define SHARED_RUNS_MAX 64

/* What a progress row leaves out so that the store takes it. */
typedef enum {
	ROW_WHOLE,
	ROW_SHARED, /* nothing; like histories of tasks are stored once */
	ROW_NO_CHECKPOINTS,
	ROW_NO_HISTORIES, /* failed runs and crashes */
	ROW_DETAILS
} row_detail_t;

/* Tasks of a step with the same history. */
typedef struct {
	Sched__TaskProgress *tp;
	int32_t last; /* index of the last one so far */
} history_t;

/* Applies what is stored of a task that is not done. */
static void
apply_task_progress(task_t *t, const Sched__TaskProgress *tp)
{
	for (size_t k = 0; k < tp->n_failed_runs; k++) {
		task_add_failed_run(t, tp->failed_runs[k]);
		t->last_run_number =
		    MAX(t->last_run_number, tp->failed_runs[k]);
	}
	for (size_t k = 0; k < tp->n_crashed_runs; k++) {
		crash_add(t, tp->crashed_runs[k], tp->crashed_soon);
		t->last_run_number =
		    MAX(t->last_run_number, tp->crashed_runs[k]);
	}
	if (t->crashes != NULL) {
		t->crashes->start_acked = tp->start_acked;
		t->crashes->unproved = MIN(
		    t->crashes->runs->len, (guint)MAX(0, tp->crashes_unproved));
	}
	if (tp->checkpoint[0] != '\0') {
		g_free(t->checkpoint);
		t->checkpoint = g_strdup(tp->checkpoint);
	}
}

/* Whether a history is short enough to be that of several tasks. */
static bool
may_share(const Sched__TaskProgress *tp)
{
	return tp->checkpoint[0] == '\0' &&
	    tp->n_failed_runs + tp->n_crashed_runs <= SHARED_RUNS_MAX;
}

/* Applies an entry of a row to its task and to those that are like it. */
static void
apply_entry(step_t *st, const Sched__TaskProgress *tp)
{
	int64_t i = tp->index;

	if (i < 0 || i >= st->ntasks)
		return;
	apply_task_progress(&st->tasks[i], tp);
	for (size_t k = 0; k < tp->n_like && may_share(tp); k++) {
		i += tp->like[k];
		if (tp->like[k] <= 0 || i >= st->ntasks)
			return;
		apply_task_progress(&st->tasks[i], tp);
	}
}

/* Applies the stored progress of one step; ignores one that does not exist. */
static void
apply_step_progress(job_t *j, const Sched__StepProgress *p)
{
	step_t *st;

	if (p->step < 0 || (size_t)p->step >= j->def->n_steps ||
	    p->occurrence < 0 || p->occurrence >= MAX(1, j->def->repeats) ||
	    number_set_contains(j->released_occs, p->occurrence))
		return;
	st = &job_occurrence(j, p->occurrence)->steps[p->step];
	for (int32_t i = 0; i < st->ntasks; i++)
		if ((size_t)i / 8 < p->done.len &&
		    (p->done.data[i / 8] >> (i % 8) & 1) != 0)
			job_mark_task_done(&st->tasks[i]);
	for (size_t i = 0; i < p->n_tasks; i++)
		apply_entry(st, p->tasks[i]);
}

/* Whether the fields of a progress row have values that they may have. */
static bool
progress_valid(const Sched__Progress *p)
{
	number_set_t *done = number_set_new();
	bool valid = protobuf_c_enum_descriptor_get_value(
			 &sched__state__descriptor, (int)p->state) != NULL &&
	    number_set_read(done, p->done_occurrences, p->n_done_occurrences,
		JOB_MAX_REPEATS);

	number_set_free(done);
	return valid;
}

Sched__Progress *
sched_progress_unpack(const uint8_t *bytes, size_t n)
{
	Sched__Progress *p = sched__progress__unpack(NULL, n, bytes);

	if (p == NULL || progress_valid(p))
		return p;
	sched__progress__free_unpacked(p, NULL);
	return NULL;
}

/* Applies a job's stored progress, after the job has been created. */
void
progress_apply(job_t *j, const Sched__Progress *p)
{
	j->started = !p->not_started;
	if (!occurrence_read_done(
		j, p->done_occurrences, p->n_done_occurrences))
		LOG_EVENT(j->sched, SCHED_EVT_ROW_BAD, j->id,
		    "why=\"its done occurrences are not valid\"");
	for (size_t i = 0; i < p->n_steps; i++)
		apply_step_progress(j, p->steps[i]);
}

/*
 * Fills in what is known of a task that is not done, without copying; false when
 * that is nothing.
 */
static bool
fill_task_progress(
    Sched__TaskProgress *tp, const task_t *t, row_detail_t detail)
{
	sched__task_progress__init(tp);
	tp->index = t->index;
	if (t->checkpoint != NULL && detail < ROW_NO_CHECKPOINTS)
		tp->checkpoint = t->checkpoint;
	if (t->failed_runs != NULL && detail < ROW_NO_HISTORIES) {
		tp->failed_runs = (int64_t *)t->failed_runs->data;
		tp->n_failed_runs = t->failed_runs->len;
	}
	if (t->crashes != NULL && detail < ROW_NO_HISTORIES) {
		tp->crashed_runs = (int64_t *)t->crashes->runs->data;
		tp->n_crashed_runs = t->crashes->runs->len;
		tp->crashed_soon = t->crashes->soon;
		tp->start_acked = t->crashes->start_acked;
		tp->crashes_unproved = t->crashes->unproved;
	}
	return tp->checkpoint[0] != '\0' || tp->n_failed_runs > 0 ||
	    tp->n_crashed_runs > 0;
}

/* The history in an entry as bytes, to compare histories by. */
static GBytes *
history_key(const Sched__TaskProgress *tp)
{
	Sched__TaskProgress history = *tp;
	size_t n;
	uint8_t *b;

	history.index = 0;
	n = sched__task_progress__get_packed_size(&history);
	b = g_malloc(n);
	sched__task_progress__pack(&history, b);
	return g_bytes_new_take(b, n);
}

/* Adds a task to those with a history; the array grows by doubling. */
static void
add_like(history_t *h, int32_t index)
{
	Sched__TaskProgress *tp = h->tp;

	if ((tp->n_like & (tp->n_like - 1)) == 0)
		tp->like = g_renew(int32_t, tp->like, MAX(1, 2 * tp->n_like));
	tp->like[tp->n_like++] = index - h->last;
	h->last = index;
}

/*
 * Adds the entry of a task to those of its step, if shared (key -> history_t) is
 * not NULL to an entry with the same history.
 */
static void
add_entry(
    Sched__StepProgress *p, GHashTable *shared, const Sched__TaskProgress *tp)
{
	history_t *h;
	GBytes *key;

	if (shared == NULL || !may_share(tp)) {
		p->tasks[p->n_tasks++] = g_memdup2(tp, sizeof(*tp));
		return;
	}
	key = history_key(tp);
	h = g_hash_table_lookup(shared, key);
	if (h != NULL) {
		add_like(h, tp->index);
		g_bytes_unref(key);
		return;
	}
	h = g_new(history_t, 1);
	h->tp = p->tasks[p->n_tasks++] = g_memdup2(tp, sizeof(*tp));
	h->last = tp->index;
	g_hash_table_insert(shared, key, h);
}

/* Fills in the progress of a step; false when there is none to store. */
static bool
fill_step_progress(
    Sched__StepProgress *p, const step_t *st, row_detail_t detail)
{
	g_autoptr(GHashTable) shared = NULL;
	bool any = st->ndone > 0;

	if (detail >= ROW_SHARED)
		shared = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
		    (GDestroyNotify)g_bytes_unref, g_free);
	sched__step_progress__init(p);
	p->occurrence = st->occ->number;
	p->step = st->number;
	p->done.len = (size_t)(st->ntasks + 7) / 8;
	p->done.data = g_malloc0(p->done.len);
	p->tasks = g_new0(Sched__TaskProgress *, st->ntasks);
	for (int32_t i = 0; i < st->ntasks; i++) {
		const task_t *t = &st->tasks[i];
		Sched__TaskProgress tp;

		if (t->state == TASK_DONE) {
			p->done.data[i / 8] |= (uint8_t)(1 << (i % 8));
			continue;
		}
		if (!fill_task_progress(&tp, t, detail))
			continue;
		add_entry(p, shared, &tp);
		any = true;
	}
	return any;
}

static void
free_step_progress(Sched__StepProgress *p)
{
	for (size_t i = 0; i < p->n_tasks && p->tasks[i] != NULL; i++) {
		g_free(p->tasks[i]->like);
		g_free(p->tasks[i]);
	}
	g_free(p->tasks);
	g_free(p->done.data);
	g_free(p);
}

/* Adds the steps of an occurrence with progress to a row with room for them. */
static void
add_steps(Sched__Progress *p, const occurrence_t *o, row_detail_t detail)
{
	for (size_t k = 0; k < o->job->def->n_steps; k++) {
		Sched__StepProgress *sp = g_new(Sched__StepProgress, 1);

		if (fill_step_progress(sp, &o->steps[k], detail))
			p->steps[p->n_steps++] = sp;
		else
			free_step_progress(sp);
	}
}

static GByteArray *
pack_open(const job_t *j, row_detail_t detail)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	GByteArray *b = g_byte_array_new();
	size_t n = j->occs->len * j->def->n_steps;
	number_set_t *done = occurrence_done_set(j);

	p.steps = g_new0(Sched__StepProgress *, n);
	p.state = SCHED__STATE__RUNNING;
	p.not_started = !j->started;
	p.customer = j->def->customer;
	p.done_occurrences =
	    (int32_t *)number_set_bounds(done, &p.n_done_occurrences);
	for (guint i = 0; i < j->occs->len; i++) {
		const occurrence_t *o = g_ptr_array_index(j->occs, i);

		if (!occurrence_is_done(o))
			add_steps(&p, o, detail);
	}
	g_byte_array_set_size(b, (guint)sched__progress__get_packed_size(&p));
	sched__progress__pack(&p, b->data);
	for (size_t i = 0; i < p.n_steps; i++)
		free_step_progress(p.steps[i]);
	g_free(p.steps);
	number_set_free(done);
	return b;
}

/* Logs what the row of a job leaves out, when that has changed. */
static void
log_detail(job_t *j, row_detail_t detail)
{
	static const char *const left_out[ROW_DETAILS] = { "nothing", "nothing",
		"checkpoints", "checkpoints, failed runs and crashes" };

	if (j->row_detail != (int32_t)detail)
		LOG_EVENT(j->sched, SCHED_EVT_ROW_SHORTENED, j->id,
		    "left_out=\"%s\"", left_out[detail]);
	j->row_detail = (int32_t)detail;
}

/*
 * Returns the packed progress row of an open job.  What would make it longer than
 * the store takes is left out, as a row that is refused would keep the cell from
 * being renewed.  After a change of the owner tasks may then begin anew, or fail
 * more often than they may.
 */
GByteArray *
progress_pack(job_t *j)
{
	row_detail_t detail = ROW_WHOLE;
	GByteArray *b = pack_open(j, detail);

	while (b->len > SCHED_ROW_MAX_BYTES && detail + 1 < ROW_DETAILS) {
		g_byte_array_unref(b);
		b = pack_open(j, ++detail);
	}
	log_detail(j, detail);
	return b;
}

/* Returns the packed progress row of a job that has ended. */
GByteArray *
progress_pack_ended(const job_t *j, int64_t wall_ms)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	GByteArray *b = g_byte_array_new();

	p.state = j->end_state;
	p.ended_ms = wall_ms;
	p.customer = j->def->customer;
	g_byte_array_set_size(b, (guint)sched__progress__get_packed_size(&p));
	sched__progress__pack(&p, b->data);
	return b;
}
