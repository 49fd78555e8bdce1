/*
 * Decides whether a call of a caller is allowed, and as which customer.  No
 * I/O.
 *
 * Include what platform.h needs, then platform.h, first.
 */
#ifndef AUTH_H
#define AUTH_H

/*
 * An older operators' table decides nothing, as it may lack a new key or still
 * have a revoked one.  The feed answers once a second, and a revoked key must
 * not work 3,000 ms after the write.
 */
#define AUTH_TABLE_AGE_MAX_MS 2000

typedef struct {
	const platform_config_t *config;
	const platform_queue_t *queue;
	const char *key; /* NULL: the call has none */
	/*
	 * How long ago the operators' table was known to be current, by a clock
	 * that goes on while the process is paused.
	 */
	int64_t table_age_ms;
} auth_call_t;

typedef enum {
	AUTH_ALLOWED,
	AUTH_UNAUTHORIZED, /* no customer has the key */
	AUTH_STALE	   /* the operators' table is too old to tell */
} auth_result_t;
/* If the call is allowed, sets its customer, or NULL if it has none. */
auth_result_t
auth_check(const auth_call_t *call, const sched_customer_t **customer);

/*
 * Whether callers of one customer may see and cancel jobs of another; "" stands
 * for none.  A job without a customer is open to all callers.
 */
bool auth_may_access(const char *caller, const char *job_customer);

/* Whether a gang of the job is larger than the customer's quota. */
bool auth_gang_exceeds_quota(const Sched__Job *job, const sched_customer_t *c);

/* Limits how often rejected calls are logged; starts with zeroes. */
typedef struct {
	int64_t logged_ms;
	int64_t skipped; /* calls since then that were not logged */
} auth_log_limit_t;
/*
 * Whether to log a call that was rejected now.  If so, sets the number of those
 * that were not logged before it.
 */
bool auth_log_due(auth_log_limit_t *l, int64_t now_ms, int64_t *skipped);

#endif
