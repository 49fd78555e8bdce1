/*
 * Attempts of a request at the store; see attempts.h.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "attempts.h"

#define BESIDE_MS      800 /* without an answer, another attempt is sent */
#define IN_FLIGHT_MAX  3
#define BACKOFF_MS     60 /* doubled once per attempt so far */
#define BACKOFF_MAX_MS 400
#define GIVE_UP_MS     500 /* of refusals, while nothing is in doubt */
/*
 * A store that has been silent for longer is taken as down.  Each entry calls
 * it twice a second, so at least two calls have gone unanswered then.
 */
#define STORE_DOWN_MS 1300
#define CHECK_MS      100 /* longest wait, as a deadline may come closer */

bool
attempts_unsettled(const attempts_t *a)
{
	return a->is_write && (a->in_doubt || a->in_flight > 0);
}

void
attempts_failed(attempts_t *a, attempt_failure_t f, int64_t now_ms)
{
	int32_t backoff_ms =
	    MIN(BACKOFF_MAX_MS, BACKOFF_MS << CLAMP(a->sent, 0, 4));

	a->in_flight--;
	if (f == ATTEMPT_UNANSWERED && a->is_write)
		a->in_doubt = true;
	if (a->first_failure_ms == 0)
		a->first_failure_ms = now_ms;
	a->retry_ms = now_ms + backoff_ms;
}

/* Whether to go on is useless, although the deadline has not come yet. */
static bool
is_hopeless(const attempts_t *a, const attempts_now_t *t)
{
	if (attempts_unsettled(a))
		return false;
	if (t->store_silent_ms > STORE_DOWN_MS)
		return true;
	return a->in_flight == 0 && a->first_failure_ms != 0 &&
	    MAX(t->now_ms, a->retry_ms) - a->first_failure_ms >= GIVE_UP_MS;
}

/* When the next attempt is due; INT64_MAX while enough are in flight. */
static int64_t
next_send_ms(const attempts_t *a)
{
	if (a->in_flight == 0)
		return a->retry_ms;
	if (a->in_flight >= IN_FLIGHT_MAX)
		return INT64_MAX;
	return MAX(a->retry_ms, a->last_sent_ms + BESIDE_MS);
}

attempts_step_t
attempts_next(attempts_t *a, const attempts_now_t *t, int32_t *wait_ms)
{
	int64_t send_ms = next_send_ms(a);
	bool send = send_ms <= t->now_ms;

	if (t->now_ms >= t->deadline_ms || is_hopeless(a, t))
		return ATTEMPTS_GIVE_UP;
	/* The next attempt would come too late, and none can be answered. */
	if (a->in_flight == 0 && send_ms >= t->deadline_ms)
		return ATTEMPTS_GIVE_UP;
	if (send) {
		a->sent++;
		a->in_flight++;
		a->last_sent_ms = t->now_ms;
		send_ms = next_send_ms(a);
	}
	*wait_ms = (int32_t)CLAMP(
	    MIN(send_ms, t->deadline_ms) - t->now_ms, 1, CHECK_MS);
	return send ? ATTEMPTS_SEND : ATTEMPTS_WAIT;
}
