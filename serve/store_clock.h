/*
 * Maps times of the store's steady clock to ours.  No I/O.
 *
 * An answer that arrives now was given at most a moment ago, so that its time
 * less now is never above the offset between the two clocks; the answers that
 * took the shortest way come closest.
 *
 * Times are in milliseconds.  Include <stdbool.h> and <stdint.h> first.
 */
#ifndef STORE_CLOCK_H
#define STORE_CLOCK_H

typedef struct {
	bool known;
	/* Highest of (store's clock - ours) at arrivals, in this period of our
	 * clock and in the one before: clocks drift apart. */
	int64_t highest_ms, former_ms;
	int64_t period; /* number of the present one */
} store_clock_t;

/* An answer of the store with this time has arrived. */
void store_clock_read(store_clock_t *c, int64_t store_ms, int64_t now_ms);
/* The store's time, rather too early than too late; after the first answer. */
int64_t store_clock_now(const store_clock_t *c, int64_t now_ms);
/*
 * When an answer with this time was given, by our clock: between the call and
 * its arrival, and rather too early than too late.
 */
int64_t store_clock_local(const store_clock_t *c, int64_t store_ms,
    int64_t called_ms, int64_t now_ms);

#endif
