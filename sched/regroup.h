/*
 * Which serving tasks to move so that fillers find room.  No I/O.
 *
 * Beside serving tasks of an image only so much of a worker can be used by
 * fillers of another image; for some pairs nothing.  As serving tasks last, those
 * of different images that end up together leave less room to fillers than each
 * of them alone.  The choice here takes a task away from a worker: to one with
 * free resources, or in exchange for one of its tasks.
 *
 * The price of a filler image is the processor amount that its tasks ask for
 * divided by what they get if each worker's room goes to those that get least.  A
 * worker's room is worth what it gives to the image with the highest price.
 *
 * Images are given by index; sets of images are bit masks.  Processor amounts
 * are thousandths of a core.
 *
 * Include <stdbool.h>, <stddef.h> and <stdint.h> and "image_set.h"
 * first.
 */
#ifndef REGROUP_H
#define REGROUP_H

/* A serving task that runs. */
typedef struct {
	int32_t image;
	int64_t cpu_milli, mem_mb;
	int32_t gpu;
	bool movable; /* it may be stopped now */
	void *run;    /* the caller's */
} regroup_task_t;

typedef struct {
	int64_t cpu_milli;		     /* all its processors */
	int64_t free_cpu_milli, free_mem_mb; /* not reserved */
	int32_t free_gpu;
	int64_t filler_milli; /* processor amount that fillers can use */
	const regroup_task_t *tasks;
	size_t ntasks;
	bool usable;  /* tasks may be started on it now */
	void *worker; /* the caller's */
} regroup_worker_t;

/* What is known of the images. */
typedef struct {
	uint64_t fillers; /* filler images of which tasks run or wait */
	/* By serving and filler image: share of a worker's processors that the
	 * fillers may use beside the serving tasks. */
	double share[IMAGES_MAX][IMAGES_MAX];
	/* By filler image: the processor amount that its tasks ask for, and its
	 * price. */
	double wanted_milli[IMAGES_MAX], price[IMAGES_MAX];
} regroup_images_t;

typedef struct {
	const regroup_worker_t *workers;
	size_t nworkers;
	const regroup_images_t *images;
	/* Whether a task may run on a worker, apart from its resources. */
	bool (*may_run)(
	    void *ctx, const regroup_task_t *t, const regroup_worker_t *w);
	void *ctx;
} regroup_state_t;

/* A move of a task, or an exchange of two. */
typedef struct {
	const regroup_worker_t *from, *to;
	const regroup_task_t *task;
	const regroup_task_t *exchanged; /* goes the other way; or NULL */
} regroup_move_t;

/*
 * Worth of a worker's room for fillers beside serving tasks of a set of images.
 */
double regroup_room(const regroup_images_t *g, int64_t cpu_milli,
    int64_t filler_milli, uint64_t serving);
/* Sets the prices of the filler images, by wanted_milli. */
void regroup_set_prices(
    regroup_images_t *g, const regroup_worker_t *workers, size_t n);
/*
 * Chooses the move that gains the most room for each task that has to leave a
 * worker; false if none pays.
 */
bool regroup_choose(const regroup_state_t *r, regroup_move_t *move);

#endif
