/*
 * A plan for work that exceeds the throughput: which jobs end on time, and which
 * are deferred.  Knows only amounts of work; overload_queue.c applies it.
 *
 * Work is in thousandths of a core x ms, times are in ms from now.
 *
 * Include <stdbool.h>, <stddef.h> and <stdint.h> first.
 */
#ifndef OVERLOAD_H
#define OVERLOAD_H

typedef enum {
	OVERLOAD_ON_TIME,
	OVERLOAD_DEFERRED, /* late, for the sake of others */
	OVERLOAD_HOPELESS  /* it is expected to end after its late limit */
} overload_mark_t;

/* A job with work left. */
typedef struct {
	void *ctx;
	int64_t due_ms;	     /* when it must have ended for its full value */
	int64_t late_ms;     /* when it must have ended to be worth anything */
	int64_t shortest_ms; /* time that it needs if it waits no more */
	int64_t slack_ms;    /* that it had at first, besides shortest_ms */
	double work_left;
	double work_running; /* part of work_left that has been started */
	double value;
	int32_t priority;  /* lower goes first */
	bool begun;	   /* part of it runs or is done */
	bool was_deferred; /* by the plan before this one */
	/* Results. */
	overload_mark_t mark;
	int64_t end_ms; /* expected */
} overload_item_t;

/* Sums over the items of a plan. */
typedef struct {
	int32_t ndeferred; /* jobs, the hopeless ones among them */
} overload_sums_t;

/*
 * Marks each item, given the work that is done in a ms.  Takes O(n log n).
 */
void overload_plan(
    overload_item_t *items, size_t n, double rate, overload_sums_t *sums);

/* Learns the rate at which work is done while there is enough of it. */
typedef struct {
	double work, ms;  /* decaying sums */
	int64_t short_ms; /* since when work has been waiting without a gap */
	int64_t idle_ms;  /* since when none has */
} overload_rate_t;

/*
 * Adds the work done in the ms since the last call.  is_short: work waited all
 * the time.
 */
void
overload_rate_add(overload_rate_t *r, double work, int64_t ms, bool is_short);
/* Work done in a ms, or 0 if it is not known or no work waits. */
double overload_rate(const overload_rate_t *r);

#endif
