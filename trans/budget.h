/*
 * The account of what callers hold of this process: descriptors, and memory for
 * what they have sent and not been answered.  It is one for all listeners, has no
 * sockets, and decides who has to go; see docs/design/caller-memory.md.
 *
 * Include <stdbool.h>, <stdint.h> and <glib.h> first.
 */
#ifndef BUDGET_H
#define BUDGET_H

typedef struct budget budget_t;

/* What a connection takes beside what is charged: its structs, its first buffers
 * and what the kernel keeps for it (BUDGET_RECEIVE_BYTES). */
#define BUDGET_CONNECTION_BYTES (32 * 1024)
/* Of the kernel, for bytes that were received and not yet read. */
#define BUDGET_RECEIVE_BYTES (16 * 1024)

typedef struct {
	int32_t memory_mb; /* that the process may use, all in all */
	int32_t max_fds;   /* that it may have open, all in all */
} budget_limits_t;

/* What callers may hold of these limits; the rest is for the process's own. */
typedef struct {
	int32_t connections;
	int32_t waiting; /* requests that are whole and wait for an answer */
	int64_t bytes;	 /* charged */
} budget_share_t;

typedef struct {
	int32_t connections;
	int32_t waiting;
	int64_t bytes;
	/* Since the start: connections closed to make room, connections not
	 * accepted, requests refused. */
	uint64_t closed, not_accepted, refused;
} budget_stats_t;

/* A connection of a caller; the fields are the account's. */
typedef struct budget_holder budget_holder_t;
struct budget_holder {
	budget_t *budget;
	GList link;	  /* in the queue of unfinished ones */
	GList heavy_link; /* in that of unfinished ones with bytes */
	bool open, unfinished, heavy;
	bool closing; /* close has been called, and it hasn't left yet */
	int64_t bytes;
	/*
	 * Ends the connection at once, with budget_leave(), or soon.  Called for one that
	 * is unfinished, and never for the holder that the call to the account is for.
	 */
	void (*close)(budget_holder_t *h);
};

budget_share_t budget_share(const budget_limits_t *limits);
budget_t *budget_new(const budget_limits_t *limits);
void budget_free(budget_t *b);
/*
 * A connection more, which is unfinished; h is zeroed but for close.  If there are too
 * many, closes the oldest unfinished one.  False: there is no room.
 */
bool budget_enter(budget_t *b, budget_holder_t *h);
/* The connection is closed.  Does nothing if it has left already. */
void budget_leave(budget_holder_t *h);
/* From now on it is waited for the caller: for a whole request, or to read an answer. */
void budget_unfinished(budget_holder_t *h);
/* Its request is whole: the connection isn't closed before it is answered. */
void budget_whole(budget_holder_t *h);
/*
 * A connection holds so many bytes in all, beyond BUDGET_CONNECTION_BYTES.  If that is
 * more than before, closes unfinished ones that hold some, the oldest first, until it
 * fits.  False: it doesn't, its charge is as before, and it is to be closed.
 */
bool budget_charge(budget_holder_t *h, int64_t bytes);
/*
 * A whole request is to wait, for which so many bytes are kept beside those of its
 * connection.  May close unfinished ones, as budget_charge().  False: there is no room.
 */
bool budget_wait(budget_t *b, int64_t bytes);
void budget_wait_ended(budget_t *b, int64_t bytes);
budget_stats_t budget_stats(const budget_t *b);
/*
 * Whether much was let go of since the last time, so that it is worth while to give
 * memory back to the system.
 */
bool budget_trim_due(budget_t *b);

#endif
