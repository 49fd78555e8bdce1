/*
 * The store of a cell with the limits of the users' platform, for unit tests of
 * what an owner writes.  It takes one write at a time and answers when told to.
 *
 * Include <stdbool.h>, <stdint.h>, <glib.h>, sched.pb-c.h and sched.h first.
 */
#ifndef CELL_STORE_H
#define CELL_STORE_H

/* "At most row_bytes", "at most 100 entries and at most 1 MB" a call. */
#define STORE_ROW_BYTES	   65536
#define STORE_CALL_ENTRIES 100
#define STORE_CALL_BYTES   1000000

typedef struct {
	sched_t *sched;
	GHashTable *rows; /* key -> GByteArray */
	int64_t version;  /* of the owner's row */
	int32_t calls, refused;
	size_t longest_row, longest_call; /* bytes, so far */
	/* The row with this key is refused if it is longer; or NULL. */
	const char *refused_key;
	size_t refused_above;	     /* bytes */
	bool waits;		     /* a write waits for its answer */
	sched_write_result_t result; /* of that */
} cell_store_t;

/* Initialises a store, and a scheduler that owns the cell and writes to it. */
void cell_store_init(cell_store_t *c);
void cell_store_clear(cell_store_t *c);
/* Answers the write that waits; false if there is none. */
bool cell_store_answer(cell_store_t *c, int64_t now_ms);
/* A tick of the scheduler, and the answer to what it writes. */
void cell_store_tick(cell_store_t *c, int64_t now_ms);
/* The progress row of a job, decoded; NULL if there is none. */
Sched__Progress *cell_store_progress(const cell_store_t *c, const char *id);

#endif
