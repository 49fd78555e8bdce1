/*
 * Private declarations of the scheduler.  Its files:
 *
 * - sched.c: entry points of sched.h and the periodic tick;
 * - ownership.c: claiming, renewing and losing the cell;
 * - handover.c: an owner too weak for its cell; stop.c: one whose entry stops;
 * - rows.c: rows read from the store;
 * - job.c, progress.c, queue.c: jobs, steps and tasks, their rows, and the order
 *   of waiting steps;
 * - run_time.c: how long tasks are expected to take;
 * - cell_worker.c: workers and their free resources;
 * - lease.c: clocks and leases of workers;
 * - place.c, place_gang.c, scan.c: choice of a worker for a task, or of workers for a
 *   gang;
 * - approval.c, approval_call.c, approval_choice.c: which workers the approval service
 *   allows, the calls to it, and what they ask for;
 * - room.c: room that is kept for large tasks; reservation.c: room and quota that
 *   are reserved for the work that has been passed over longest;
 * - nominate.c, preempt.c, downtime.c (down.h): workers for lasting tasks that are down
 *   or have to move, and how long they are down; lasting_admission.c: when new ones may
 *   start; avoid.c: workers that a task leaves;
 * - start.c, run.c: starting and stopping runs of tasks;
 * - poll.c, report.c: polling workers and processing their reports;
 * - headroom.c, interference.c: how much filler tasks slow down serving tasks;
 * - isolation.c, pacing.c: keeping them from doing so;
 * - regroup.c, serving_move.c, may_miss.c: moves of serving tasks that give
 *   fillers room;
 * - straggler.c, suspect.c, suspect_limit.c, blame.c: slow workers and late runs;
 *   workers that fail tasks, and how many may be taken for such; tasks that fail by
 *   their own fault;
 * - starvation.c: late work that is passed over;
 * - customer.c, unseen.c, share.c: customers, their quotas and their shares of
 *   the room;
 * - overload.c, overload_queue.c, overload_refusal.c, admission.c: what is
 *   delayed and what is refused when there is too little room;
 * - crash.c, quarantine.c: tasks that crash their workers;
 * - held_up.c: start orders that may be carried out late;
 * - flush.c, interference_row.c, purge.c: rows written to and removed from the
 *   store;
 * - stats.c: counters and the periodic load event; room_use.c: what processors are
 *   used for;
 * - wait_reason.c: why waiting tasks wait.
 *
 * Terms: a serving task answers requests and has a target for its tail
 * latency.  A filler task is batch work that uses the processor time which
 * serving tasks leave idle.  Headroom is the target of a serving task divided
 * by its measured tail latency: 1 at the target, more when it is faster.
 *
 * Times in _ms are by the scheduler's steady clock unless the name or comment
 * says otherwise; processor amounts in _milli are thousandths of a core.
 */
#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

struct sched {
	sched_opts_t opts;
	int64_t now_ms, wall_ms; /* as handed to the current call */
	uint64_t last_id;	 /* of a run, poll or approval request */
	uint64_t report_number;	 /* reports processed so far */
	cell_t cell;
	handover_t handover;
	GHashTable *jobs;      /* id -> job_t */
	GHashTable *queues;    /* name -> queue_t */
	GHashTable *customers; /* name -> customer_t */
	bool unseen_stale;     /* unseen.c is to count before the next pass */
	bool unseen_counted;   /* some customer may have unseen runs */
	guint nunknown;	       /* runs whose job is not known */
	customer_share_t unowned; /* of all jobs without a customer */
	share_totals_t share_totals;
	double mean_weight; /* of the active customers; 0: none was yet */
	uint64_t share_updates;
	admission_t admission;
	GHashTable *workers; /* id -> worker_t */
	GPtrArray *worker_list;
	GHashTable *runs;   /* id -> run_t */
	GHashTable *images; /* name -> index */
	/* By serving image; NULL until something is learned of it. */
	interference_t *interference[IMAGES_MAX];
	uint64_t filler_images; /* set of images of filler tasks */
	int64_t filler_job_ms;	/* when a job with filler tasks last came */
	guint starved_runs;	/* runs that starvation.c has started slowed */
	bool turn_wanted;	/* a step waits for one of them to end */
	GArray *
	    suspects; /* by service, when the round began; see suspect_limit.c */
	/* When a suspect task last found no worker. */
	int64_t suspect_waited_ms;
	int64_t idle_suspect_waited_ms; /* the same, of a job without a run */
	/* When other work was last kept from workers that are reserved. */
	int64_t quarantine_other_ms;
	/* By serving image: the filler images that may run beside it. */
	uint64_t compatible_fillers[IMAGES_MAX];
	/* By filler image: mean processor milli that its tasks ask for, and the
	 * service of those that waited last (interned). */
	double wanted_fillers[IMAGES_MAX];
	const char *filler_service[IMAGES_MAX];
	approval_calls_t approval;
	GHashTable *evacuated_zones; /* set of interned names */
	/* While loading: id -> Sched__Progress; NULL for a row that can't be
	 * read, which stays until the cell is lost. */
	GHashTable *loaded_progress;
	GHashTable *ended_jobs; /* id -> ended_job_t of purge.c */
	/* id -> when a cancel or refusal without a job was written (int64_t). */
	GHashTable *tombstones;
	/* While loading: ids of jobs whose runs may be being stopped. */
	GHashTable *stopped_jobs;
	GSequence *ready_steps;	   /* step_t with waiting tasks, sorted */
	GPtrArray *nominations;	   /* of task_t with a nominated worker */
	GArray *contended;	   /* services; see lasting_admission.c */
	GHashTable *dirty_jobs;	   /* id -> job_t */
	GPtrArray *recurring_jobs; /* jobs that repeat */
	/* The flush in flight. */
	bool write_pending;
	uint64_t flush_number, flushed_number; /* last begun, last stored */
	int64_t flush_begun_ms;
	bool flush_partial;	  /* some dirty jobs did not fit */
	GPtrArray *flushing_jobs; /* jobs that it writes */
	rejected_t rejected;
	/* Since the last pass over waiting steps, something has changed that
	 * may let a task start. */
	bool start_pass_due;
	scan_t scan;
	GPtrArray *polls_soon; /* of worker_t, whose polls are due */
	int64_t all_polled_ms; /* when all workers were last looked at */
	/* When ready_steps was last sorted and the load event last logged. */
	int64_t sorted_ms, stats_logged_ms;
	int64_t purged_ms; /* when the last round of removals began */
	int64_t tombstones_purged_ms; /* the same, of tombstones */
	bool write_removes_rows; /* the flush in flight removes progress rows */
	int64_t interference_packed_ms; /* last write of the interference row */
	bool store_clock_known;		/* it was read */
	int64_t store_clock_offset_ms;	/* then: store's clock less ours */
	/* Up to when all changes of a feed are known. */
	int64_t feed_read_ms[SCHED_NFEEDS];
	overload_t *overload;
	sched_stats_t stats;
};

/* Reports an event; the arguments after subject are a printf format. */
#define LOG_EVENT(s, n, subject, ...) \
	(s)->opts.port.event( \
	    (s)->opts.ctx, (n), (subject), g_strdup_printf(__VA_ARGS__))

static inline GHashTableIter
values_of(GHashTable *t)
{
	GHashTableIter it;

	g_hash_table_iter_init(&it, t);
	return it;
}

/* Runs the statement that follows for each value v, a pointer, of a table. */
#define FOREACH_VALUE(v, table) \
	for (GHashTableIter it_ = values_of(table); \
	     g_hash_table_iter_next(&it_, NULL, (void **)&(v));)

/* job.c */
job_t *job_new(sched_t *s, const char *id, Sched__Job *def);
void job_free(void *j);
task_t *job_find_task(job_t *j, const char *name);
task_t *job_lookup_task(sched_t *s, const char *name);
task_t *job_open_task(const sched_t *s, const char *name);
void job_task_name(const task_t *t, char *name, size_t n);
int32_t task_failed_runs(const task_t *t);
bool task_add_failed_run(task_t *t, int64_t run);
int64_t job_task_ms(const step_t *st);
int32_t job_tasks(const job_t *j);
int64_t job_largest_task_cpu(const job_t *j);
void job_update_paths(occurrence_t *o);
queue_t *queue_get(sched_t *s, const char *name);

/* occurrence.c */
/* How many occurrences of a job may be open at a time. */
int32_t occurrence_max_open(const Sched__Job *def);
void occurrence_init_job(job_t *j);
void occurrence_clear_job(job_t *j);
occurrence_t *job_occurrence(job_t *j, int32_t number);
occurrence_t *occurrence_find_open(const job_t *j, int32_t number);
bool occurrence_is_done(const occurrence_t *o);
void job_mark_task_done(task_t *t);
number_set_t *occurrence_done_set(const job_t *j);
bool occurrence_read_done(job_t *j, const int32_t *bounds, size_t n);
void occurrence_add_due(sched_t *s, job_t *j);

/* progress.c */
void progress_apply(job_t *j, const Sched__Progress *p);
GByteArray *progress_pack(job_t *j);
GByteArray *progress_pack_ended(const job_t *j, int64_t wall_ms);

/* overload_queue.c */
overload_t *overload_new(void);
void overload_free(overload_t *o);
void overload_update(sched_t *s);
void overload_run_removed(sched_t *s, const run_t *r);
void overload_log(sched_t *s);
int64_t overload_deferred_jobs(const sched_t *s);

/* overload_refusal.c */
void overload_add_refusals(sched_t *s, GPtrArray *refusals);
bool overload_is_hopeless(const Sched__Refusal *r, const Sched__Job *job);

/* cell_worker.c */
worker_t *cell_worker_get(sched_t *s, const char *id);
void cell_worker_free(void *w);
void cell_worker_count_task(worker_t *w, const step_t *st, int sign);
sched_wait_reason_t cell_worker_refusal(const sched_t *s, const worker_t *w);
bool cell_worker_usable(const sched_t *s, const worker_t *w);
void cell_worker_restarted(sched_t *s, worker_t *w, int64_t started_ms);

/* lease.c */
void lease_forget(worker_t *w);
void lease_restarted(worker_t *w);
void lease_first_answer(const sched_t *s, worker_t *w);
bool lease_clock_known(const sched_t *s, const worker_t *w);
bool lease_clock_is_old(const sched_t *s, const worker_t *w);
bool
lease_clock_went_back(const sched_t *s, const worker_t *w, int64_t clock_ms);
void lease_clock_read(const sched_t *s, worker_t *w, int64_t clock_ms);
int64_t lease_extend(const sched_t *s, worker_t *w);
int64_t lease_for_start(const sched_t *s, worker_t *w);
void lease_start_sent(const sched_t *s, worker_t *w);
void lease_start_done(const sched_t *s, worker_t *w);
void lease_poll_answered(worker_t *w, int64_t sent_ms);
bool lease_may_extend(const sched_t *s, const worker_t *w);
bool lease_of_known_ended(const sched_t *s, const worker_t *w);
bool lease_has_ended(const sched_t *s, const worker_t *w);
int64_t lease_left_ms(const sched_t *s, const worker_t *w);
bool lease_end_is_stored(const worker_t *w);
int64_t lease_stored_ms(const worker_t *w);
bool lease_read_stored(worker_t *w, int64_t ms);
bool lease_update_stored(const sched_t *s, worker_t *w);
int64_t lease_released_until_ms(const sched_t *s);
int64_t lease_taken_over(sched_t *s, bool any_owner, int64_t claimed_ms,
    int64_t extended_ms, int64_t released_until_ms);
bool lease_old_ones_ended(const sched_t *s);
bool lease_stored_has_ended(const sched_t *s, const worker_t *w);
bool lease_may_hide_runs(const sched_t *s, const worker_t *w);

/* scan.c */
void scan_worker_changed(sched_t *s, worker_t *w);
void scan_begin_round(sched_t *s);
void scan_begin_pass(sched_t *s);
bool scan_offers(sched_t *s, const step_t *st, int32_t pos);
void scan_set_searched(const sched_t *s, step_t *st);
bool scan_has_searched(const sched_t *s, const step_t *st);
void scan_end_pass(sched_t *s, int32_t pos, bool complete);
const GPtrArray *scan_workers(const sched_t *s, const step_t *st);

/* place.c */
worker_t *place_task(sched_t *s, step_t *st, const task_t *t);
bool place_could_start(sched_t *s, step_t *st, const task_t *t);
bool place_could_take(sched_t *s, worker_t *w, const task_t *t, bool slowed);
worker_t *place_elsewhere(sched_t *s, const run_t *r);
worker_t *place_slowed(sched_t *s, step_t *st, const task_t *t);
worker_t *
place_alone(sched_t *s, step_t *st, const task_t *t, worker_t *reserved);
bool
place_possible(const sched_t *s, worker_t *w, const step_t *st, bool may_slow);
bool place_fits(sched_t *s, task_t *t, worker_t *w);
bool place_is_able(const sched_t *s, const worker_t *w, const step_t *st);
bool place_fits_empty(const sched_t *s, const worker_t *w, const step_t *st);
bool place_has_worker(const sched_t *s, const step_t *st);
int64_t place_filler_capacity(const worker_t *w);
bool place_spread_allows(const step_t *st, const worker_t *w);
bool place_allowed(const sched_t *s, const step_t *st, const worker_t *w);
bool place_gang_may_spread(const sched_t *s, const step_t *st);
bool place_gang(sched_t *s, step_t *st, worker_t **at);
void place_count_refusals(
    const sched_t *s, const step_t *st, const task_t *t, int32_t *counts);

/* wait_reason.c */
void wait_reason_note(const sched_t *s, step_t *st, sched_wait_reason_t why);
sched_wait_reason_t wait_reason_of(const sched_t *s, const step_t *st);
/* Whether a task waits for what workers lack or keep for others. */
bool wait_reason_is_room(sched_wait_reason_t why);
char *wait_reason_text(const int32_t *counts);
void wait_reason_log(sched_t *s);

/* room.c */
/* A worker on which tasks of a step will fit: how many, and after which time. */
typedef struct {
	worker_t *worker;
	int64_t wait_ms;
	int32_t tasks;
} room_option_t;

/* Whether a run holds resources and ends by itself before long. */
bool room_ends_soon(const run_t *r, bool fillers_too);
/* Expected time until such a run has ended. */
int64_t room_time_left_ms(const sched_t *s, const run_t *r);
/*
 * Whether tasks of a step will fit on a worker that is not kept, within a time;
 * fillers_too: the end of fillers is waited for as well.  Sets *o if so.
 */
bool room_find_option(const sched_t *s, const step_t *st, worker_t *w,
    int64_t limit_ms, bool fillers_too, room_option_t *o);
/* The same of all workers: room_option_t, the soonest first; to be freed. */
GArray *room_find_options(
    const sched_t *s, const step_t *st, int64_t limit_ms, bool fillers_too);
/*
 * The worker on which a lasting task will fit soonest once the runs there have ended
 * that end by themselves, whatever else is kept or reserved there; or NULL.
 */
worker_t *room_find_soonest(const sched_t *s, const task_t *t);
/* How many tasks of a step fit into what is free on a worker. */
int32_t room_tasks_now(const sched_t *s, const worker_t *w, const step_t *st);
bool room_is_kept(const sched_t *s, const worker_t *w);
void room_mark_kept(sched_t *s, worker_t *w, const step_t *st);
void room_keep(sched_t *s, step_t *st);
bool room_allows_start(const sched_t *s, const worker_t *w, const task_t *t);
void room_not_found(const sched_t *s, step_t *st, int32_t kept);
void room_started(const sched_t *s, const worker_t *w, step_t *st);

/* reservation.c */
void reservation_begin_round(sched_t *s);
bool reservation_has(const sched_t *s, const step_t *st);
bool reservation_on(const sched_t *s, const worker_t *w);
bool
reservation_leaves_room(const sched_t *s, const worker_t *w, const step_t *st);

/* approval.c */
void approval_step_free(step_t *st);
const char *
approval_ticket(const sched_t *s, const step_t *st, const worker_t *w);
/* When the ticket of a worker expires; 0: there is no valid one. */
int64_t
approval_until_ms(const sched_t *s, const step_t *st, const worker_t *w);
bool approval_allows(const sched_t *s, const step_t *st, const worker_t *w);
bool approval_is_granted(const step_t *st, const worker_t *w);
bool approval_is_refused(const step_t *st, const worker_t *w);
void approval_ticket_used(const step_t *st, const worker_t *w);
void approval_ticket_rejected(step_t *st, const worker_t *w);
void approval_store(step_t *st, const worker_t *w, const char *ticket,
    int64_t until_ms, int64_t latency_ms);
void approval_count_unused(sched_t *s, const step_t *st);

/* approval_call.c */
void approval_init(sched_t *s);
void approval_free(sched_t *s);
void approval_want(sched_t *s, step_t *st);
void approval_forget(sched_t *s, step_t *st);
void approval_call_next(sched_t *s);
void approval_expire_calls(sched_t *s);

/* approval_choice.c */
GPtrArray *approval_choose(sched_t *s, const step_t *st);
/* What a call that names so many workers is said to take; 0: not known. */
int64_t approval_call_ms(const step_t *st, guint nworkers);

/* queue.c */
void queue_add_step(sched_t *s, step_t *st);
void queue_remove_step(step_t *st);
void queue_move_step(sched_t *s, step_t *st);
void queue_resort(sched_t *s);
int queue_compare_identity(const step_t *a, const step_t *b);
double queue_job_value(const job_t *j);

/* run.c, start.c, report.c */
void run_task_taken(task_t *t);
run_t *run_new(sched_t *s, const char *name, worker_t *w, int64_t number);
void run_reserve_resources(run_t *r, task_t *t);
void run_set_state(sched_t *s, run_t *r, run_state_t state);
void run_remove(sched_t *s, run_t *r);
void run_mark_job_started(sched_t *s, job_t *j);
bool run_start(sched_t *s, task_t *t, worker_t *w, int64_t number);
void start_waiting_tasks(sched_t *s);
void start_approved_step(sched_t *s, step_t *st);
int64_t start_run_number(sched_t *s, const task_t *t);
void run_stop(sched_t *s, run_t *r, const char *why);
void run_discard(sched_t *s, run_t *r, const char *why);
void run_set_pace(sched_t *s, run_t *r, int32_t percent);
void run_order_done(
    sched_t *s, run_t *r, sched_order_result_t res, int64_t clock_ms);
void run_listed(sched_t *s, run_t *r);
void run_stop_in_doubt(sched_t *s, run_t *r);
void report_job_known(sched_t *s, job_t *j);
void report_apply_ends(sched_t *s, worker_t *w, const sched_report_t *report);
void report_apply(sched_t *s, worker_t *w, const sched_report_t *report,
    int64_t poll_sent_ms);
void run_worker_lost(sched_t *s, worker_t *w, const char *why);
bool run_is_listed(const run_t *r);
void run_listed_lost(sched_t *s, worker_t *w, const char *why);
void run_resend_orders(sched_t *s, worker_t *w);
void run_free(void *r);
void run_end_job(sched_t *s, job_t *j, Sched__State end);
void run_add_ready_steps(sched_t *s, occurrence_t *o);

/* interference.c */
int32_t interference_image(sched_t *s, const char *image);
bool interference_known(const sched_t *s, int32_t serving, int32_t filler);
void interference_restore(sched_t *s, int32_t serving, int32_t filler,
    double coefficient, double min_headroom);
double
interference_coefficient(const sched_t *s, int32_t serving, int32_t filler);
double interference_cautious(const sched_t *s, int32_t serving, int32_t filler);
bool interference_may_try(const sched_t *s, int32_t serving, int32_t filler);
void interference_tried(sched_t *s, int32_t serving, int32_t filler);
double interference_min_headroom(const sched_t *s, int32_t serving);
bool interference_learn(sched_t *s, int32_t serving, serving_load_t *l,
    headroom_sample_t *x, uint64_t fillers, const double *use);

/* purge.c */
GHashTable *purge_table_new(void);
void purge_add_ended(sched_t *s, const char *id, int64_t ended_wall_ms);
void purge_tick(sched_t *s);
GPtrArray *purge_take_rows(sched_t *s);
void purge_write_done(sched_t *s, bool ok);

/* tombstone.c */
GHashTable *tombstone_table_new(void);
void tombstone_read(sched_t *s, const char *id, const sched_row_t *row);
void tombstone_tick(sched_t *s);

/* stats.c */
void stats_count_waiting_jobs(sched_t *s);
void stats_log(sched_t *s);

/* room_use.c */
void room_use_log(sched_t *s);

/* interference_row.c */
GByteArray *interference_row_pack(sched_t *s);
void interference_row_read(sched_t *s, const sched_row_t *row);

/* poll.c */
void poll_soon(sched_t *s, worker_t *w);
void poll_abandon(sched_t *s, worker_t *w);
void poll_tick(sched_t *s);

/* isolation.c */
bool isolation_allows(const sched_t *s, worker_t *w, const step_t *st);
double isolation_margin(const sched_t *s, worker_t *w, const step_t *st);
double isolation_share(const sched_t *s, int32_t serving, int32_t filler);
void isolation_refresh(sched_t *s);
double isolation_serving_cost(const sched_t *s, const worker_t *w,
    const step_t *st, int32_t *other_images);
void isolation_update_compatibility(sched_t *s);
void isolation_run_placed(worker_t *w, const step_t *st);
void isolation_count_task(worker_t *w, const step_t *st, int sign);
double isolation_filler_use(const worker_t *w, int32_t image);
bool isolation_is_serving(const run_t *r);
void isolation_update_slack(const sched_t *s, worker_t *w);

/* may_miss.c */
bool may_miss_allows(const sched_t *s, const task_t *t);
bool may_miss_allows_any(const sched_t *s, const task_t *t);

/* serving_move.c */
void serving_move_update(sched_t *s, int64_t since_ms);

/* pacing.c */
void pacing_report(sched_t *s, worker_t *w);
void pacing_run_removed(const sched_t *s, const run_t *r);

/* blame.c */
void blame_run_failed(sched_t *s, task_t *t, const worker_t *w);
void blame_run_sound(sched_t *s, task_t *t);
void blame_forget(blame_t *b);
bool blame_exceeds(const task_t *t, guint n);
/* Whether a task or its job has failed again and again of late, whoever's fault it is. */
bool blame_is_failing(const task_t *t);
int64_t blame_delay_ms(const task_t *t);

/* suspect.c */
void suspect_run_failed(sched_t *s, worker_t *w, const task_t *t);
void suspect_recount(sched_t *s, worker_t *w);
bool suspect_is_up(const sched_t *s, const run_t *r);
void suspect_run_done(sched_t *s, worker_t *w);
void suspect_run_listed(sched_t *s, run_t *r);
void suspect_forget(worker_t *w);
void suspect_run_started(sched_t *s, run_t *r);
void suspect_run_removed(const run_t *r);
bool suspect_allows_start(const sched_t *s, const worker_t *w);
bool suspect_allows_step(const sched_t *s, const worker_t *w, const step_t *st);
void suspect_note_wanted(const sched_t *s, worker_t *w);
bool suspect_has_turn(const sched_t *s, const worker_t *w, const task_t *t);

/* suspect_limit.c */
void suspect_init(sched_t *s);
void suspect_free(sched_t *s);
void suspect_begin_round(sched_t *s);
void suspect_update_step(const sched_t *s, step_t *st);

/* starvation.c */
bool starvation_is_starved(const sched_t *s, const step_t *st);
bool starvation_is_lasting_filler(const step_t *st);
bool starvation_may_slow(const sched_t *s, const step_t *st);
int32_t starvation_cpu_times(const sched_t *s);
void starvation_job_idle(job_t *j);
bool starvation_run_start(
    sched_t *s, const step_t *st, task_t *t, worker_t *w, int64_t number);
void starvation_update(sched_t *s);
void starvation_run_removed(sched_t *s, const run_t *r);
bool starvation_start(sched_t *s, step_t *st);

/* avoid.c */
void avoid_run_failed(
    const sched_t *s, task_t *t, const worker_t *w, const run_t *r);
bool avoid_has(const task_t *t, const worker_t *w);
void avoid_forget(task_t *t);

/* crash.c */
void crash_add(task_t *t, int64_t run, bool soon);
void crash_forget(task_t *t);
int64_t crash_known_up_ms(const run_t *r);
void crash_take_back(sched_t *s, task_t *t, int64_t run);
void crash_worker_lost(sched_t *s, worker_t *w);
void crash_listed_lost(sched_t *s, worker_t *w);
void crash_worker_replaced(sched_t *s, worker_t *w);
void crash_worker_restarted(sched_t *s, worker_t *w);
void crash_run_absent(sched_t *s, run_t *r);
void crash_run_replaced(sched_t *s, run_t *r);
void crash_job_loaded(sched_t *s, job_t *j);
void crash_worker_answered(sched_t *s, worker_t *w);
bool crash_proof_wanted(const sched_t *s, const worker_t *w);
void crash_forget_worker(worker_t *w);
void crash_run_removed(sched_t *s, const run_t *r);
void crash_run_listed(sched_t *s, task_t *t, int64_t run);
void crash_trial_passed(sched_t *s, const run_t *r);
bool crash_is_suspect(const task_t *t);

/* held_up.c */
void held_up_run_removed(sched_t *s, const run_t *r);
void held_up_first_answer(worker_t *w);
void held_up_stop_runs(sched_t *s, worker_t *w);
void held_up_worker_restarted(worker_t *w);
void held_up_forget(worker_t *w);

/* quarantine.c */
void quarantine_report(sched_t *s, worker_t *w);
/* Ends the quarantine on a worker. */
void quarantine_run_removed(sched_t *s, const run_t *r);
bool quarantine_polls_often(const sched_t *s, const worker_t *w);
bool
quarantine_allows_start(const sched_t *s, const worker_t *w, const task_t *t);
bool quarantine_start(sched_t *s, step_t *st, task_t *t);
void quarantine_note_other(sched_t *s);
void quarantine_release(sched_t *s);

/* straggler.c */
void straggler_run_done(sched_t *s, const run_t *r);
void straggler_report(sched_t *s, worker_t *w);

/* flush.c */
void flush_mark_job(sched_t *s, job_t *j);
void flush_acknowledge_ended(sched_t *s, worker_t *w);
void flush_if_due(sched_t *s);
void flush_done(sched_t *s, sched_write_result_t r, int64_t version);

/* footprint.c */
void footprint_add_rows(sched_t *s, row_batch_t *batch);
bool footprint_row_read(sched_t *s, const Sched__Footprint *f);

/* rejected.c */
void rejected_init(rejected_t *r);
void rejected_clear(rejected_t *r);
void rejected_forget(sched_t *s);
void rejected_job_removed(sched_t *s, job_t *j);
bool rejected_holds(const job_t *j);
bool rejected_due(const sched_t *s);
flush_kind_t rejected_flush_kind(sched_t *s);
GPtrArray *rejected_next(const sched_t *s);
void rejected_hold(sched_t *s, job_t *j);
void rejected_write_done(sched_t *s, sched_write_result_t result);

/* ownership.c */
void ownership_tick(sched_t *s);
void ownership_lost(sched_t *s, const char *why);
void ownership_row_read(sched_t *s, const sched_row_t *row);
void ownership_claim_done(sched_t *s, sched_write_result_t r, int64_t version);
void ownership_load_done(sched_t *s);
bool ownership_is_confirmed(const sched_t *s);
bool ownership_may_extend_leases(const sched_t *s);
void ownership_set_store_outage(sched_t *s, bool for_all, int64_t last_ms);
bool ownership_may_start_tasks(const sched_t *s);
GByteArray *ownership_pack_row(sched_t *s, bool released);
GByteArray *ownership_pack_renewal(sched_t *s);
bool ownership_may_start_all(const sched_t *s, const step_t *st);
bool ownership_may_start_task(const sched_t *s, const task_t *t);
bool ownership_may_start_step(const sched_t *s, const step_t *st);

/* stop.c */
bool stop_may_claim(const sched_t *s);
int64_t stop_claim_delay_ms(const sched_t *s);

/* handover.c */
void handover_update(sched_t *s);
void handover_worker_back(sched_t *s, worker_t *w);
void handover_worker_missed(sched_t *s, worker_t *w);
void handover_released(sched_t *s);
void handover_row_read(
    sched_t *s, const Sched__Owner *before, const Sched__Owner *row);

#endif
