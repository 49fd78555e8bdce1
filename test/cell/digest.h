/*
 * A hash of a state of the simulation that does not depend on when it was reached:
 * times count from now, and numbers of which only the order matters by their rank.
 *
 * A state is put twice: first all ranked numbers are collected, then it is hashed.
 * Include <stdbool.h>, <stdint.h>, <glib.h>, sched.pb-c.h, sched.h and cell.h first.
 */
#ifndef TEST_CELL_DIGEST_H
#define TEST_CELL_DIGEST_H

/* Of a kind; further numbers would be taken for the highest. */
#define DIGEST_RANKED_MAX 256

typedef enum {
	RANK_VERSION, /* of the store; tokens */
	RANK_EPOCH,
	RANK_RUN,
	RANK_START, /* of a process */
	NRANKS
} digest_rank_t;

typedef struct {
	uint64_t hash;
	int64_t now_ms;
	bool collecting;
	int32_t nvalues[NRANKS];
	int64_t values[NRANKS][DIGEST_RANKED_MAX];
} digest_t;

/* Begins a hash without ranks. */
void digest_begin_plain(digest_t *d);
/* Begins to collect; then, by a call of digest_rank_values, to hash. */
void digest_begin(digest_t *d, int64_t now_ms);
void digest_rank_values(digest_t *d);
void digest_put(digest_t *d, int64_t v);
void digest_put_bytes(digest_t *d, const void *bytes, size_t n);
/* "" for NULL. */
void digest_put_string(digest_t *d, const char *s);
/* A time, by how far from now it is; those long ago are alike. */
void digest_put_time(digest_t *d, int64_t ms);
/* A time of which only matters how much of it is left. */
void digest_put_end(digest_t *d, int64_t ms);
void digest_put_rank(digest_t *d, digest_rank_t kind, int64_t v);

/* Events of the simulation: false when they are not of this file, or say nothing,
 * as their process has ended. */
bool entry_digest_event(digest_t *d, const event_t *e);
bool store_digest_event(digest_t *d, const event_t *e);
bool worker_digest_event(digest_t *d, world_t *w, const event_t *e);
/* Of a worker: which process an id names; by how many processes before this one. */
int32_t worker_former_index(const sim_worker_t *wk, const char *id);

#endif
