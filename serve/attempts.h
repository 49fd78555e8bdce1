/*
 * Decides when a request of a caller calls the store, again or not at all, and
 * when it gives up.  No I/O.
 *
 * For a store that is slow, loses answers or refuses some calls for a while: an
 * attempt that is late is not abandoned, as its answer may be the next to
 * arrive.  Another one is sent beside it, and the first useful answer to any of
 * them ends the request.  A refused attempt is repeated after a back-off.
 *
 * Times are in milliseconds by one steady clock.  Include <stdbool.h> and
 * <stdint.h> first.
 */
#ifndef ATTEMPTS_H
#define ATTEMPTS_H

typedef struct {
	/* A write without an answer may still be applied; a read can't. */
	bool is_write;
	bool in_doubt; /* a write ended without an answer */
	int32_t sent;
	int32_t in_flight;
	int64_t last_sent_ms;
	int64_t first_failure_ms; /* 0: none has failed */
	int64_t retry_ms;	  /* no attempt before */
} attempts_t;

typedef enum {
	ATTEMPTS_WAIT,
	ATTEMPTS_SEND, /* send one now; counted as sent already */
	ATTEMPTS_GIVE_UP
} attempts_step_t;

/* How an attempt failed. */
typedef enum {
	ATTEMPT_REFUSED,   /* nothing was done */
	ATTEMPT_UNANSWERED /* a write may still be applied */
} attempt_failure_t;

/* What is known when a decision is due. */
typedef struct {
	int64_t now_ms;
	int64_t deadline_ms;	 /* the caller must have the answer then */
	int64_t store_silent_ms; /* since the store's last answer to any call */
} attempts_now_t;

/* An attempt has failed.  Followed by attempts_next(). */
void attempts_failed(attempts_t *a, attempt_failure_t f, int64_t now_ms);
/* The step that is due; sets *wait_ms, until the next call, unless giving up. */
attempts_step_t
attempts_next(attempts_t *a, const attempts_now_t *t, int32_t *wait_ms);
/* Whether a write may have been applied, or may still be. */
bool attempts_unsettled(const attempts_t *a);

#endif
