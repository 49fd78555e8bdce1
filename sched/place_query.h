/*
 * The search of placement, which place.c and place_gang.c share.
 *
 * Include "internal.h" and what it needs first.
 */
#ifndef SCHED_PLACE_QUERY_H
#define SCHED_PLACE_QUERY_H

/* Workers chosen so far for the first n tasks of a gang. */
typedef struct {
	worker_t **at;
	int32_t n;
} gang_placement_t;

/* What place_best_worker looks for, and where. */
typedef struct {
	const step_t *step;
	const task_t *task;
	const GPtrArray *workers; /* to look at */
	const char *rack;	  /* only workers in it (interned); or NULL */
	/* Workers chosen for other tasks of its gang; they count against
	 * per_worker. */
	gang_placement_t gang;
	guint enough;  /* so many workers that can take it are compared */
	bool slowed;   /* it need not run at full speed; see starvation.c */
	bool alone;    /* the fewer runs are there, the better; see crash.c */
	bool unasked;  /* a worker that is not refused counts as approved */
	bool isolated; /* set when only isolation keeps it from a worker */
	int32_t kept;  /* workers that are only kept for another step */
	/* Set to the last check that a worker failed, of all that were looked at. */
	sched_wait_reason_t refusal;
} place_query_t;

/*
 * Returns the worker with the highest score for a task, or NULL.  Each search
 * begins where the last one ended, so that those which end early share the
 * workers evenly.
 */
worker_t *place_best_worker(sched_t *s, place_query_t *q);

#endif
