/*
 * A cell of lasting tasks and short work, on which workers are lost, drain or fail, for
 * unit tests.  Time goes on in steps; runs end by themselves.
 *
 * Include sched_fixture.h and what it needs first.
 */
#ifndef LASTING_SCENE_H
#define LASTING_SCENE_H

#define WORKERS	      30
#define LASTING_MILLI 10000 /* of the 64000 of a worker */
#define SHORT_MS      1000
#define STEP_MS	      50
#define ROUND_MS      250

/* What happens to the workers of the first third. */
typedef enum {
	THEY_DRAIN,
	THEIR_RUNS_FAIL,
	THEY_ARE_LOST,
	THEY_DRAIN_IN_TURN
} scene_event_t;

typedef struct {
	int per_worker; /* lasting tasks */
	int width;	/* of a lasting job; it divides the number of tasks */
	int64_t short_milli;	/* of a task of short work */
	int short_width;	/* tasks of a short job */
	int64_t short_every_ms; /* a short job comes; 0: some always wait */
} scene_opts_t;

typedef struct {
	scene_opts_t opts;
	sched_t *s;
	GPtrArray *lasting; /* of step_t, those that were up at the beginning */
	GPtrArray
	    *waiting; /* of step_t, short ones with tasks that had no run */
	int next_job;
	int64_t longest_ms; /* that a lasting task was down */
	int ended;	    /* runs of lasting tasks */
	int64_t *since_ms;
	/* Short jobs whose tasks have all started, and their waits until then. */
	int started;
	int64_t waits_ms;
} scene_t;

scene_t scene_new(const scene_opts_t *o);
void scene_free(scene_t *c);
worker_t *scene_worker(const scene_t *c, guint i);
/* Adds a job of one step that is ready, but not in the queue. */
step_t *scene_add_step(scene_t *c, const Sched__Step *d);
/* Adds a lasting job of one task that has had no run, to the queue. */
step_t *scene_add_new_lasting(scene_t *c);
/* What happens to a worker, and that it has left, which drained. */
void scene_begin_event(scene_t *c, scene_event_t e, guint i);
void scene_leave(scene_t *c, guint i);
/* Ends the runs whose time has come. */
void scene_end_runs(scene_t *c);
/* STEP_MS pass. */
void scene_step(scene_t *c);
/* Number of lasting tasks of the beginning without a run. */
int scene_count_down(const scene_t *c);
/* Measures the waits of the short jobs that wait from now on. */
void scene_watch_waits(scene_t *c);
/* The mean of these waits so far. */
int64_t scene_mean_wait_ms(const scene_t *c);

#endif
