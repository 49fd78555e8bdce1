/* The cases: what is done, and the check of the rule. */
#define _GNU_SOURCE
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* Bounds of the sites cfe-spool, in ms. */
#define CANCEL_MS  3000
#define STOP_MS	   400
#define CONTACT_MS 3000
#define FINISH_MS  14000
#define STUCK_MS   3000 /* LOST: "for 3 s, a job has nothing running" */

typedef struct {
	const char *name;
	void (*workers)(void);
	int (*play)(bool trouble);
} case_t;

static void
add_workers(int n, int a_rack, int64_t cpu)
{
	char rack[32];

	for (int i = 0; i < n; i++) {
		snprintf(rack, sizeof(rack), "r1-%d", i / a_rack + 1);
		worker_add(rack, "a", cpu);
	}
}

static bool
is_open(const char *state)
{
	return strcmp(state, "completed") != 0 &&
	    strcmp(state, "cancelled") != 0 && strcmp(state, "failed") != 0;
}

/* Whether under half of the workers' capacity is in use; cpu: the most of a task. */
static bool
half_free(int64_t cpu)
{
	int64_t all = 0;

	for (int i = 0; i < nworkers; i++)
		all += workers[i].up ? workers[i].cpu : 0;
	return 2 * cpu * runs_of("") < all;
}

/*
 * Whether a job has nothing running for STUCK_MS on end, while it isn't complete, a task
 * of it whose turn has come has not been done, and under half of the capacity is in use.
 * due: its tasks whose turn has come; cpu: the most that a task of the case needs.
 */
static bool
is_stuck(const char *id, int due, int64_t cpu)
{
	int64_t since = now_ms();

	if (!is_open(state_of(id)))
		return false;
	while (now_ms() - since < STUCK_MS) {
		bool waits;

		lock();
		waits = runs_of(id) == 0 && done_of(id) < due && half_free(cpu);
		unlock();
		if (!waits)
			return false;
		sleep_ms(10);
	}
	return is_open(state_of(id));
}

/*
 * recurring: a job repeats; its occurrences are all served in time at first.
 */
#define REPEAT_STEPS 30
#define REPEAT_MS    150
#define OTHERS	     60
#define STUCK_TRIES  5

static void
recurring_workers(void)
{
	add_workers(6, 8, 64000);
}

static int64_t recurring_start_ms;

static char *
recurring_job(int repeats)
{
	char *job = NULL;
	size_t n = 0;
	FILE *f = open_memstream(&job, &n);

	recurring_start_ms = wall_ms() + 500;
	fprintf(f,
	    "{\"spec\":\"ms 30\",\"repeat_count\":%d,\"start_ms\":%lld,"
	    "\"interval_ms\":%d,\"steps\":[",
	    repeats, (long long)recurring_start_ms, REPEAT_MS);
	for (int i = 0; i < REPEAT_STEPS; i++)
		fprintf(f,
		    "%s{\"count\":1,\"cpu\":200,\"mem_mb\":10,"
		    "\"estimate_ms\":30}",
		    i == 0 ? "" : ",");
	fprintf(f, "]}");
	fclose(f);
	return job;
}

/* Tasks of occurrences that are due. */
static int
recurring_due(int repeats)
{
	int64_t n = (wall_ms() - recurring_start_ms) / REPEAT_MS + 1;

	return (int)(n < repeats ? n : repeats) * REPEAT_STEPS;
}

static int
recurring_play(bool trouble)
{
	static const char small[] =
	    "{\"spec\":\"ms 200\",\"steps\":[{\"count\":2,\"cpu\":1000,"
	    "\"mem_mb\":10,\"estimate_ms\":200}]}";
	int repeats = trouble ? 1000 : 150, stuck = 0, open = 0;
	const char *id = "5c0e7a21d94b0001";
	bool job_stuck, accepted[OTHERS] = { false };
	char *job = recurring_job(repeats), other[20];

	if (submit(0, id, job) != 200)
		return 2;
	/* Other clients, whose jobs have nothing to do with it. */
	for (int i = 0; i < OTHERS; i++) {
		snprintf(other, sizeof(other), "aaaaaaaaaaaa%04x", i);
		accepted[i] = submit(i % ENTRIES, other, small) == 200;
		sleep_ms(1000);
	}
	sleep_ms(FINISH_MS);
	note("%s: %d of %d tasks done; store refused %lld transactions; "
	     "largest row %zu bytes",
	    id, done_of(id), repeats * REPEAT_STEPS, (long long)store_refused,
	    store_max_row);
	for (int i = 0; i < OTHERS; i++) {
		snprintf(other, sizeof(other), "aaaaaaaaaaaa%04x", i);
		if (!accepted[i] || !is_open(state_of(other)))
			continue;
		open++;
		if (stuck == 0 && open <= STUCK_TRIES)
			stuck += is_stuck(other, 2, 1000);
	}
	note("%d jobs of others are accepted and not completed; one has "
	     "nothing running for 3 s: %d",
	    open, stuck);
	free(job);
	job_stuck = is_stuck(id, recurring_due(repeats), 1000);
	if (stuck > 0 || job_stuck)
		note("BROKEN LOST: accepted jobs have had nothing running for "
		     "3 s; the workers are idle");
	return stuck > 0 || job_stuck ? 1 : 0;
}

/*
 * cancel: a submission gets no answer, the caller cancels it.
 */
#define CHAIN_MS 4000
#define LATE_MS	 4000 /* 1 to 6 s */

static const char *cancel_id = "5c0e7a21d94b0002";
static int64_t cancel_acked_ms, last_late_ms;
static int late_starts, lost_writes, writes;
static bool losing;

/* Writes of the job's own row are not answered, and done late. */
static tx_fate_t
lose_submission(json_t *tx, int *late_ms)
{
	const json_t *put = json_array_get(json_object_get(tx, "puts"), 0);
	const char *key = json_string_value(json_object_get(put, "key"));

	writes += losing;
	if (!losing || key == NULL || strcmp(key, cancel_id) != 0)
		return TX_SERVE;
	lost_writes++;
	*late_ms = LATE_MS;
	last_late_ms = now_ms() + LATE_MS;
	note("store does not answer write %d of %s", lost_writes, key);
	return TX_LATE;
}

static void
check_cancelled(worker_t *w, const run_t *r)
{
	int64_t calm_ms = last_late_ms + CONTACT_MS;

	if (strncmp(r->task, cancel_id, 16) != 0 || cancel_acked_ms == 0 ||
	    r->began_ms <= cancel_acked_ms + CANCEL_MS ||
	    r->began_ms <= calm_ms)
		return;
	late_starts++;
	note("BROKEN UNASKED: %s starts on %s %lld ms after its cancelling "
	     "was acknowledged",
	    r->task, w->id, (long long)(r->began_ms - cancel_acked_ms));
}

static void
cancel_workers(void)
{
	add_workers(6, 8, 64000);
}

static int
cancel_play(bool trouble)
{
	static const char chain[] =
	    "{\"spec\":\"ms 4000\",\"steps\":["
	    "{\"count\":2,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":4000},"
	    "{\"count\":2,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":4000,"
	    "\"after\":[0]},"
	    "{\"count\":2,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":4000,"
	    "\"after\":[1]},"
	    "{\"count\":2,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":4000,"
	    "\"after\":[2]}]}";
	static const char small[] =
	    "{\"spec\":\"ms 20\",\"steps\":[{\"count\":1,\"cpu\":1000,"
	    "\"mem_mb\":10,\"estimate_ms\":20}]}";
	char other[20];
	int status;

	lock();
	store_fate = lose_submission;
	on_start = check_cancelled;
	losing = trouble;
	unlock();
	/* Other jobs keep the store's writes going. */
	for (int i = 0; i < 4; i++) {
		snprintf(other, sizeof(other), "aaaaaaaaaaaa%04x", i);
		submit(i % ENTRIES, other, small);
	}
	status = submit(0, cancel_id, chain);
	lock();
	losing = false;
	unlock();
	note("%d of %d writes were lost meanwhile", lost_writes, writes);
	status = cancel(1, cancel_id);
	if (status != 200 && status != 410)
		return 2;
	lock();
	cancel_acked_ms = now_ms();
	unlock();
	sleep_ms(LATE_MS + CONTACT_MS + CANCEL_MS + STOP_MS + 4 * CHAIN_MS);
	state_of(cancel_id);
	return late_starts > 0 ? 1 : 0;
}

/*
 * gang: a gang whose tasks are best in one rack; of each rack a worker is lost.
 */
static void
gang_workers(void)
{
	add_workers(24, 8, 64000);
}

static int
gang_play(bool trouble)
{
	static const char job[] =
	    "{\"spec\":\"gang 8 500\",\"steps\":[{\"count\":8,\"cpu\":40000,"
	    "\"mem_mb\":1000,\"estimate_ms\":500,\"gang\":true,"
	    "\"same_rack\":true}]}";
	const char *id = "5c0e7a21d94b0003";

	if (trouble) {
		lock();
		for (int i = 0; i < 24; i += 8) {
			note("%s in %s is lost for good", workers[i].id,
			    workers[i].rack);
			worker_crash(&workers[i]);
		}
		unlock();
	}
	/* Well after the loss: the entries of the lost are gone, too. */
	sleep_ms(10000);
	if (submit(0, id, job) != 200)
		return 2;
	sleep_ms(FINISH_MS);
	if (!is_stuck(id, 8, 40000))
		return 0;
	note(
	    "BROKEN LOST: %s has had nothing running for 3 s; 21 of 24 workers "
	    "are idle",
	    id);
	return 1;
}

/*
 * crash: two workers crash; a job has a task on both.
 */
static void
crash_workers(void)
{
	add_workers(8, 8, 64000);
}

static worker_t *
wait_for_run(const char *id, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	worker_t *w = NULL;

	while (w == NULL && now_ms() < until) {
		lock();
		w = worker_of(id);
		unlock();
		sleep_ms(10);
	}
	return w;
}

static int
crash_play(bool trouble)
{
	static const char job[] =
	    "{\"spec\":\"last\",\"steps\":[{\"count\":1,\"cpu\":13000,"
	    "\"mem_mb\":26000,\"estimate_ms\":320,\"long_running\":true}]}";
	const char *id = "5c0e7a21d94b0004", *state;

	if (submit(0, id, job) != 200)
		return 2;
	for (int i = 0; i < 2; i++) {
		worker_t *w = wait_for_run(id, 20000);

		if (w == NULL)
			break;
		sleep_ms(700);
		if (!trouble)
			continue;
		lock();
		note("%s crashes", w->id);
		worker_crash(w);
		unlock();
		sleep_ms(1500);
		lock();
		note("%s starts again", w->id);
		if (!worker_restart(w))
			return 2;
		unlock();
	}
	sleep_ms(FINISH_MS);
	state = state_of(id);
	note("failed ends of its task: %d; at work: %d", failed_of(id),
	    runs_of(id));
	if (strcmp(state, "failed") != 0)
		return is_stuck(id, 1, 13000) ? 1 : 0;
	note("BROKEN LOST: %s is shown as failed, none of its runs ended so",
	    id);
	return 1;
}

/*
 * kind: a worker crashes behind a cut from the store, and starts again as another
 * kind under its id.
 */
static int foreign_starts;

static void
kind_workers(void)
{
	for (int i = 0; i < 8; i++)
		worker_add("r1-1", i % 4 == 0 ? "a" : "b", 64000);
}

static void
check_kind(worker_t *w, const run_t *r)
{
	if (strncmp(r->task, "bbbb", 4) != 0 || strcmp(w->kind, "a") == 0)
		return;
	foreign_starts++;
	note("BROKEN ROUTE: %s needs \"a\" and starts on %s of kind \"%s\"",
	    r->task, w->id, w->kind);
}

static int
kind_play(bool trouble)
{
	static const char job[] =
	    "{\"spec\":\"ms 300\",\"steps\":[{\"count\":3,\"cpu\":20000,"
	    "\"mem_mb\":10,\"estimate_ms\":300,\"requirements\":\"a\"}]}";
	worker_t *w = &workers[0];
	char id[20];

	lock();
	on_start = check_kind;
	unlock();
	for (int i = 0; i < 60; i++) {
		snprintf(id, sizeof(id), "bbbbbbbbbbbb%04x", i);
		submit(i % ENTRIES, id, job);
		sleep_ms(150);
		lock();
		if (i == 20) {
			note("%s %scrashes", w->id,
			    trouble ? "is cut off from the store and " : "");
			w->in_touch = !trouble;
			worker_crash(w);
		}
		if (i == 22) {
			snprintf(w->kind, sizeof(w->kind), "b");
			note("%s starts again, of kind b", w->id);
			if (!worker_restart(w))
				return 2;
		}
		if (i == 50) {
			note("%s reaches the store again", w->id);
			w->in_touch = true;
		}
		unlock();
	}
	sleep_ms(5000);
	return foreign_starts > 0 ? 1 : 0;
}

/*
 * silent: all open channels to the store and the workers go silent, new ones work.
 */
#define CLIENTS	    60	 /* the site has 41; its bursts are 2.6 times as many */
#define CALLING_MS  1500 /* for so long they ask for states of jobs */
#define CALM_MS	    4000 /* "the 3 s and the 4 s before them are calm" */
#define OBSERVED_MS 40000

static void
silent_workers(void)
{
	add_workers(6, 8, 64000);
}

static void *
client(void *number)
{
	int n = (int)(intptr_t)number;
	int64_t began = now_ms();
	char path[128];

	snprintf(path, sizeof(path), PREFIX "aaaaaaaaaaaa%04x", n % 12);
	while (now_ms() - began < CALLING_MS)
		call(n % ENTRIES, "GET", path, NULL, 3000, NULL, 0);
	return NULL;
}

static void
play_clients(void)
{
	pthread_t t[CLIENTS];

	note("%d clients ask for states of jobs", CLIENTS);
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&t[i], NULL, client, (void *)(intptr_t)i);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(t[i], NULL);
}

static int
silent_play(bool trouble)
{
	static const char small[] =
	    "{\"spec\":\"ms 300\",\"steps\":[{\"count\":200,\"cpu\":500,"
	    "\"mem_mb\":10,\"estimate_ms\":300}]}";
	static const char job[] =
	    "{\"spec\":\"ms 20000\",\"steps\":[{\"count\":6,\"cpu\":2000,"
	    "\"mem_mb\":10,\"estimate_ms\":20000}]}";
	const char *id = "5c0e7a21d94b0006";
	int64_t calm, idle_since = 0, longest = 0;
	char other[20];

	for (int i = 0; i < 12; i++) {
		snprintf(other, sizeof(other), "aaaaaaaaaaaa%04x", i);
		submit(i % ENTRIES, other, small);
		sleep_ms(300);
	}
	if (submit(0, id, job) != 200)
		return 2;
	sleep_ms(2000);
	play_clients();
	lock();
	if (trouble)
		server_silence();
	unlock();
	calm = now_ms() + CONTACT_MS + CALM_MS;
	sleep_ms(CONTACT_MS + CALM_MS);
	while (now_ms() - calm < OBSERVED_MS) {
		int64_t now = now_ms();
		bool idle;

		lock();
		idle = runs_of(id) == 0 && done_of(id) < 6 && half_free(2000);
		unlock();
		if (!idle)
			idle_since = 0;
		else if (idle_since == 0)
			idle_since = now;
		if (idle && now - idle_since > longest)
			longest = now - idle_since;
		sleep_ms(20);
	}
	state_of(id);
	note("longest time of %s with nothing running, in calm: %lld ms", id,
	    (long long)longest);
	if (longest < STUCK_MS)
		return 0;
	note("BROKEN LOST: nothing ran for 3 s, the 4 s before were calm");
	return 1;
}

static const case_t cases[] = { { "recurring", recurring_workers,
				    recurring_play },
	{ "cancel", cancel_workers, cancel_play },
	{ "gang", gang_workers, gang_play },
	{ "crash", crash_workers, crash_play },
	{ "kind", kind_workers, kind_play },
	{ "silent", silent_workers, silent_play } };

#define NCASES (sizeof(cases) / sizeof(cases[0]))

void
case_workers(const char *name)
{
	for (size_t i = 0; i < NCASES; i++)
		if (strcmp(cases[i].name, name) == 0)
			cases[i].workers();
}

int
case_play(const char *name, bool trouble)
{
	for (size_t i = 0; i < NCASES; i++)
		if (strcmp(cases[i].name, name) == 0)
			return cases[i].play(trouble);
	return 2;
}
