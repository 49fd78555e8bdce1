/*
 * A search of all schedules of faults up to a bound: which fault begins at which
 * step, for each number of faults from one on, so that the first violation found has
 * the fewest.
 *
 * Include what test/cell/cell.h needs, that, state.h and fault.h first.
 */
#ifndef TEST_MODEL_SEARCH_H
#define TEST_MODEL_SEARCH_H

#define SCHEDULE_MAX 8

typedef struct {
	int32_t faults_max; /* of a schedule */
	int32_t step_ms;    /* faults begin at multiples of it */
	int32_t window_ms;  /* the first begins within */
	int32_t gap_ms;	    /* each other one within, after the one before */
	int32_t settle_ms;  /* that the last is watched for */
	int32_t fair_ms; /* after that all work must have run; 0: not checked */
	gboolean one_follower; /* see is_like_another() */
	int32_t part, parts; /* of the first faults, every parts-th is tried */
	size_t states_max;   /* remembered */
} search_opts_t;

/* A fault of a schedule, and when it begins, from the start of the search. */
typedef struct {
	int32_t at_ms;
	fault_t fault;
} scheduled_t;

typedef struct {
	scheduled_t items[SCHEDULE_MAX];
	int32_t n;
} schedule_t;

typedef struct {
	uint64_t steps, states; /* simulated; distinct ones */
	uint64_t schedules;	/* that were simulated up to their end */
	int32_t depth;		/* faults of the schedules that are tried now */
	bool full;		/* some states were not remembered */
	bool violated, interrupted;
	schedule_t found; /* the schedule of the violation */
} search_result_t;

/* Searches from the present state of a world; progress goes to standard error. */
void search_run(world_t *w, const state_tasks_t *tasks,
    const fault_menu_t *menu, const search_opts_t *o, search_result_t *r);
/* Plays one schedule from the present state. */
void search_replay(world_t *w, const state_tasks_t *tasks,
    const schedule_t *schedule, const search_opts_t *o);
/* Ends a search soon; for a signal handler. */
void search_interrupt(void);

#endif
