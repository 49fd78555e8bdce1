/*
 * The rows that entries write for callers: of a job, of its cancel, and of a refusal.
 *
 * A write without an answer may be performed seconds later, so that no row of a job
 * doesn't mean that there will be none.  What is answered as gone or refused is
 * therefore written, too: a cancel of a job that isn't there (a tombstone), and a
 * refusal.  A submission is conditional on both, so that one that is still on its way
 * finds its condition broken.  After a cancel the id is used up; after a refusal a
 * submission begins anew, on the condition of the refusal that it has read.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, <uv.h>, "../proto/sched.pb-c.h",
 * "../sched/sched.h", "../platform/platform.h" and serve.h first.
 */
#ifndef JOB_ROWS_H
#define JOB_ROWS_H

/* The rows of a job in an answer of the store. */
typedef struct {
	const store_row_t *job, *cancel; /* NULL: not there */
	int64_t refusal; /* version of the refusal's row; 0: not there */
} job_rows_t;

/* What is written, and on which condition. */
typedef enum {
	JOB_ROW_SUBMITTED, /* no job, no cancel, the refusal as read */
	JOB_ROW_CANCELLED, /* no cancel */
	JOB_ROW_TOMBSTONE, /* no job, no cancel */
	JOB_ROW_REFUSED	   /* no job, no cancel, the refusal as read */
} job_row_kind_t;

typedef struct {
	job_row_kind_t kind;
	const char *id;
	const char *customer;  /* of the caller; not of a submission */
	const GByteArray *job; /* of a submission */
	int64_t refusal;       /* version of the refusal's row, as last read */
	int32_t timeout_ms;
} job_row_write_t;

void job_rows_find(const store_answer_t *a, const char *id, job_rows_t *rows);
void job_rows_write(
    node_t *n, const job_row_write_t *w, store_answer_fn fn, void *ctx);
/* Reads all these rows of a job. */
void job_rows_read(node_t *n, const char *id, int32_t timeout_ms,
    store_answer_fn fn, void *ctx);
/* Whether a cancel was written for a caller of this customer; "": for any. */
bool job_rows_cancelled_by(const store_row_t *cancel, const char *customer);

#endif
