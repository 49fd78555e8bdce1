/*
 * A token bucket.  Include <stdbool.h> and <stdint.h> first.
 */
#ifndef RATE_LIMIT_H
#define RATE_LIMIT_H

typedef struct {
	int32_t per_s, burst; /* tokens */
	/* Tokens taken and not filled in again, in thousandths, as of then. */
	int64_t used_milli, as_of_ms;
} rate_limit_t;

/* Takes a token; false if there is none.  now_ms never goes back. */
bool rate_limit_take(rate_limit_t *l, int64_t now_ms);

#endif
