/*
 * The footprint: the set of workers on which tasks of the cell may run.  A worker
 * is in a stored footprint row before the first task is started on it, so that a
 * successor can find all workers where runs may exist.
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
#include "row_batch.h"
#include "internal.h"

#define ROWS_PER_WRITE 16
/* Of these rows, as encoded; the rest of a call is for rows of jobs. */
#define BYTES_PER_WRITE 500000
/* Of a worker in a row, besides its id and address. */
#define ENTRY_FIELDS_BYTES 26

/* A row, while it is decided which ones are written. */
typedef struct {
	size_t bytes;	   /* at most, with the workers that are in it */
	size_t most_bytes; /* with all that may join them */
	bool changed;	   /* it is to be written */
} footprint_row_t;

/*
 * Whether a worker belongs in the footprint: it is listed, has runs, or may
 * have runs of earlier owners or of former leases.
 */
static bool
in_footprint(const sched_t *s, const worker_t *w)
{
	return w->listed || g_hash_table_size(w->runs) > 0 ||
	    ((w->footprint_stored || w->used_before) &&
		(!s->cell.workers_accounted || !lease_has_ended(s, w)));
}

/*
 * Updates what the footprint says about a worker for the flush that begins;
 * true when its row must be written.
 */
static bool
update_footprint_entry(const sched_t *s, worker_t *w)
{
	bool in = in_footprint(s, w);
	bool had_end = lease_end_is_stored(w);
	bool changed = (lease_update_stored(s, w) && in) ||
	    in != (w->footprint_flush != 0);

	/* Its lease is extended again.  It gets new tasks once the row is
	 * stored, as until then a successor reads that the lease has ended. */
	if (in && had_end && !lease_end_is_stored(w)) {
		w->footprint_stored = false;
		w->footprint_flush = s->flush_number;
	}
	w->footprint_flush = !in    ? 0 :
	    w->footprint_flush == 0 ? s->flush_number :
				      w->footprint_flush;
	w->footprint_stored = w->footprint_stored && in;
	w->used_before = w->used_before && in;
	return changed;
}

/* Adds a row of the footprint with all its workers. */
static void
add_row(sched_t *s, row_batch_t *batch, int32_t row)
{
	Sched__Footprint f = SCHED__FOOTPRINT__INIT;
	GByteArray *b = g_byte_array_new();

	f.workers = g_new0(char *, s->worker_list->len + 1);
	f.born_ms = g_new0(int64_t, s->worker_list->len + 1);
	f.until_ms = g_new0(int64_t, s->worker_list->len + 1);
	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);

		if (w->footprint_flush == 0 || w->footprint_row != row)
			continue;
		f.workers[f.n_workers++] =
		    g_strconcat(w->id, " ", w->address, NULL);
		f.born_ms[f.n_born_ms++] = w->started_ms;
		f.until_ms[f.n_until_ms++] = lease_stored_ms(w);
	}
	g_byte_array_set_size(b, (guint)sched__footprint__get_packed_size(&f));
	sched__footprint__pack(&f, b->data);
	row_batch_add(
	    batch, g_strdup_printf(SCHED_KEY_FOOTPRINT ".%02d", row), b);
	for (size_t i = 0; i < f.n_workers; i++)
		g_free(f.workers[i]);
	g_free(f.workers);
	g_free(f.born_ms);
	g_free(f.until_ms);
}

static size_t
entry_bytes(const worker_t *w)
{
	return ENTRY_FIELDS_BYTES + strlen(w->id) + strlen(w->address);
}

/* Whether a worker that is not in its row finds no room there: it is not used. */
static bool
row_is_full(const footprint_row_t *row, const worker_t *w)
{
	return w->footprint_flush == 0 &&
	    row->bytes + entry_bytes(w) > SCHED_ROW_MAX_BYTES;
}

/*
 * Marks the rows that have changed, up to a limit; further ones follow in the next
 * flush.
 */
static void
mark_changed_rows(sched_t *s, footprint_row_t *rows)
{
	size_t bytes = 0;
	int32_t n = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		worker_t *w = g_ptr_array_index(s->worker_list, i);
		footprint_row_t *row = &rows[w->footprint_row];
		size_t encoded = row_batch_encoded_bytes(SCHED_KEY_FOOTPRINT,
		    MIN(row->most_bytes, SCHED_ROW_MAX_BYTES));

		if (!row->changed &&
		    (n == ROWS_PER_WRITE || bytes + encoded > BYTES_PER_WRITE))
			continue;
		if (row_is_full(row, w))
			continue;
		if (w->footprint_flush == 0)
			row->bytes += entry_bytes(w);
		if (!update_footprint_entry(s, w) || row->changed)
			continue;
		row->changed = true;
		bytes += encoded;
		n++;
	}
}

/* Adds the rows of the footprint that have changed to a write. */
void
footprint_add_rows(sched_t *s, row_batch_t *batch)
{
	footprint_row_t rows[FOOTPRINT_ROWS] = { 0 };

	for (guint i = 0; i < s->worker_list->len; i++) {
		const worker_t *w = g_ptr_array_index(s->worker_list, i);
		footprint_row_t *row = &rows[w->footprint_row];

		if (w->footprint_flush != 0)
			row->bytes += entry_bytes(w);
		if (w->footprint_flush != 0 || in_footprint(s, w))
			row->most_bytes += entry_bytes(w);
	}
	mark_changed_rows(s, rows);
	for (int32_t i = 0; i < FOOTPRINT_ROWS; i++)
		if (rows[i].changed)
			add_row(s, batch, i);
}

/*
 * Processes a footprint row while the cell is loaded: earlier owners may have
 * left runs on these workers.  False: it doesn't name all of them.
 */
bool
footprint_row_read(sched_t *s, const Sched__Footprint *f)
{
	bool complete = f->n_workers == f->n_born_ms;

	for (size_t i = 0; i < f->n_workers && i < f->n_born_ms; i++) {
		g_auto(GStrv) part = g_strsplit(f->workers[i], " ", 2);
		worker_t *w;

		if (part[0] == NULL || part[1] == NULL) {
			complete = false;
			continue;
		}
		w = cell_worker_get(s, part[0]);
		if (w->address[0] == '\0') {
			g_free(w->address);
			w->address = g_strdup(part[1]);
		}
		w->started_ms = MAX(w->started_ms, f->born_ms[i]);
		w->used_before = true;
		/* What the row says of leases is not of a newer process. */
		if (w->started_ms == f->born_ms[i] || f->born_ms[i] == 0) {
			w->footprint_stored = true;
			w->footprint_flush = 1;
			complete =
			    lease_read_stored(
				w, i < f->n_until_ms ? f->until_ms[i] : 0) &&
			    complete;
		}
	}
	return complete;
}
