/*
 * Stand-ins of workers.  The job's spec tells how its tasks behave: "ms N" ends
 * done after N ms, "last" lasts, "gang G N" works N ms once G tasks are present.
 */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define BEAT_MS	     1100 /* heartbeat_ms */
#define SILENT_BEATS 3	  /* the entry is removed after so many */
#define HOLD_MAX_MS  6000 /* max_hold_ms */
#define GANG_WAIT_MS 3000
#define ENDS_LISTED  500

typedef struct waiter {
	struct waiter *next;
	later_t to;
	worker_t *w;
	int64_t until_ms;
} waiter_t;

typedef struct name {
	struct name *next;
	char task[80];
	bool failed;
} name_t;

void (*on_start)(worker_t *w, const run_t *r);
worker_t workers[WORKERS_MAX];
int nworkers;

static waiter_t *waiters;
static name_t *finished;

static int64_t
clock_ms(const worker_t *w)
{
	return now_ms() - w->clock0_ms + 1;
}

static void
write_entry(worker_t *w)
{
	char *text;

	if (asprintf(&text,
		"{\"service\":\"" SERVICE "\",\"address\":\"%s:%d\","
		"\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"cold_remaining_ms\":0,"
		"\"capacity\":{\"cpu\":%lld,\"mem_mb\":%lld,\"gpu\":0},"
		"\"labels\":[\"%s\",\"%s\"],\"clock_ms\":%lld,\"born\":%lld,"
		"\"sequence\":%lld}",
		w->ip, w->port, w->zone, (long long)w->cpu, (long long)w->mem,
		w->kind, w->rack, (long long)clock_ms(w), (long long)w->born_ms,
		(long long)++w->sequence) < 0)
		abort();
	store_put_text("servers", w->id, text);
	free(text);
	w->beat_ms = now_ms();
}

static void serve(int owner, const request_t *r);

static bool
boot(worker_t *w)
{
	int64_t born = wall_ms();

	if (!server_listen(w->ip, w->port, 1 + w->index, serve))
		return false;
	w->born_ms = born > w->born_ms ? born : w->born_ms + 1;
	w->clock0_ms = now_ms();
	w->token = w->lease_ms = w->seq = w->sequence = 0;
	w->up = true;
	if (w->in_touch)
		write_entry(w);
	return true;
}

void
worker_add(const char *rack, const char *kind, int64_t cpu)
{
	worker_t *w = &workers[nworkers];

	w->index = nworkers++;
	snprintf(w->id, sizeof(w->id), "i-%08x", 0x7f3a9100 + w->index);
	snprintf(w->rack, sizeof(w->rack), "%s", rack);
	snprintf(w->kind, sizeof(w->kind), "%s", kind);
	snprintf(w->zone, sizeof(w->zone), "ebro-%c", "abc"[w->index % 3]);
	w->cpu = cpu;
	w->mem = 256000;
	w->in_touch = true;
}

bool
worker_restart(worker_t *w)
{
	return boot(w);
}

static void
clear(worker_t *w)
{
	while (w->runs != NULL) {
		run_t *r = w->runs;

		w->runs = r->next;
		free(r);
	}
	while (w->ends != NULL) {
		end_t *e = w->ends;

		w->ends = e->next;
		free(e);
	}
	while (w->highs != NULL) {
		high_t *h = w->highs;

		w->highs = h->next;
		free(h);
	}
}

void
worker_crash(worker_t *w)
{
	for (run_t *r = w->runs; r != NULL; r = r->next)
		note("lost %s run %lld with %s", r->task, (long long)r->run,
		    w->id);
	server_close(1 + w->index);
	w->up = false;
	clear(w);
}

static high_t *
high_of(worker_t *w, const char *task)
{
	high_t *h = w->highs;

	while (h != NULL && strcmp(h->task, task) != 0)
		h = h->next;
	if (h == NULL) {
		h = calloc(1, sizeof(*h));
		snprintf(h->task, sizeof(h->task), "%s", task);
		h->next = w->highs;
		w->highs = h;
	}
	return h;
}

static run_t *
find_run(worker_t *w, const char *task)
{
	run_t *r = w->runs;

	while (r != NULL && strcmp(r->task, task) != 0)
		r = r->next;
	return r;
}

static void
end_run(worker_t *w, run_t *r, const char *how)
{
	end_t *e = calloc(1, sizeof(*e)), **to = &w->ends;
	high_t *h = high_of(w, r->task);
	run_t **p = &w->runs;

	e->seq = ++w->seq;
	e->run = r->run;
	e->how = how;
	snprintf(e->task, sizeof(e->task), "%s", r->task);
	while (*to != NULL)
		to = &(*to)->next;
	*to = e;
	if (r->run > h->run)
		h->run = r->run;
	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	note(
	    "end %s run %lld %s on %s", r->task, (long long)r->run, how, w->id);
	if (strcmp(how, "done") == 0 || strcmp(how, "failed") == 0) {
		name_t *n = calloc(1, sizeof(*n));

		snprintf(n->task, sizeof(n->task), "%s", r->task);
		n->failed = how[0] == 'f';
		n->next = finished;
		finished = n;
	}
	free(r);
}

static int
count_finished(const char *prefix, bool failed)
{
	size_t n = strlen(prefix);
	int count = 0;

	for (name_t *d = finished; d != NULL; d = d->next)
		count +=
		    d->failed == failed && strncmp(d->task, prefix, n) == 0;
	return count;
}

int
done_of(const char *prefix)
{
	return count_finished(prefix, false);
}
int
failed_of(const char *prefix)
{
	return count_finished(prefix, true);
}

worker_t *
worker_of(const char *prefix)
{
	size_t n = strlen(prefix);

	for (int i = 0; i < nworkers; i++)
		for (run_t *r = workers[i].runs; r != NULL; r = r->next)
			if (strncmp(r->task, prefix, n) == 0)
				return &workers[i];
	return NULL;
}

int
runs_of(const char *prefix)
{
	size_t n = strlen(prefix);
	int count = 0;

	for (int i = 0; i < nworkers; i++)
		for (run_t *r = workers[i].runs; r != NULL; r = r->next)
			count += strncmp(r->task, prefix, n) == 0;
	return count;
}

static void
reply_clock(worker_t *w, const request_t *r, int status, const char *reason)
{
	char body[128];

	if (reason == NULL)
		snprintf(body, sizeof(body), "{\"clock_ms\":%lld}",
		    (long long)clock_ms(w));
	else
		snprintf(body, sizeof(body),
		    "{\"clock_ms\":%lld,\"reason\":\"%s\"}",
		    (long long)clock_ms(w), reason);
	server_reply(r->conn, status, body);
}

static void
extend_lease(worker_t *w, int64_t deadline_ms)
{
	int64_t most = clock_ms(w) + HOLD_MAX_MS;

	if (deadline_ms > most)
		deadline_ms = most;
	if (deadline_ms > w->lease_ms)
		w->lease_ms = deadline_ms;
}

static void
start(worker_t *w, const request_t *q, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	const char *spec = json_string_value(json_object_get(j, "spec"));
	int64_t run = json_integer_value(json_object_get(j, "run"));
	int64_t deadline =
	    json_integer_value(json_object_get(j, "deadline_ms"));
	run_t *r;
	int ms = 0;

	if (task == NULL || spec == NULL) {
		server_reply(q->conn, 400, "{}");
		return;
	}
	r = find_run(w, task);
	if (r != NULL && r->run == run) {
		extend_lease(w, deadline);
		reply_clock(w, q, 200, NULL);
		return;
	}
	if (r != NULL || run <= high_of(w, task)->run) {
		extend_lease(w, deadline);
		reply_clock(w, q, 409, "old");
		return;
	}
	if (deadline <= clock_ms(w)) {
		reply_clock(w, q, 409, "late");
		return;
	}
	extend_lease(w, deadline);
	r = calloc(1, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->run = run;
	r->began_ms = now_ms();
	if (sscanf(spec, "ms %d", &ms) == 1)
		r->ends_ms = r->began_ms + ms;
	else
		sscanf(spec, "gang %d %d", &r->gang, &r->gang_work_ms);
	r->next = w->runs;
	w->runs = r;
	w->nstarts++;
	note("start %s run %lld on %s (%s, %s) token %lld", task,
	    (long long)run, w->id, w->kind, w->rack, (long long)w->token);
	if (on_start != NULL)
		on_start(w, r);
	reply_clock(w, q, 200, NULL);
}

static void
stop(worker_t *w, const request_t *q, const json_t *j)
{
	const char *task = json_string_value(json_object_get(j, "task"));
	int64_t run = json_integer_value(json_object_get(j, "run"));
	run_t *r = task == NULL ? NULL : find_run(w, task);

	if (task != NULL && run > high_of(w, task)->run)
		high_of(w, task)->run = run;
	if (r != NULL && r->run <= run)
		end_run(w, r, "stopped");
	reply_clock(w, q, 200, NULL);
}

static void
reply_hold(worker_t *w, conn_t *c)
{
	json_t *running = json_array(), *ended = json_array(), *j;
	int64_t now = now_ms();
	char *text;
	int n = 0;

	for (run_t *r = w->runs; r != NULL; r = r->next) {
		int pct = r->ends_ms == 0 ? 100 :
					    (int)((now - r->began_ms) * 100 /
						(r->ends_ms - r->began_ms + 1));

		json_array_append_new(running,
		    json_pack("[s,I,s,i,i]", r->task, (json_int_t)r->run, "",
			pct > 99 && r->ends_ms != 0 ? 99 : pct, 0));
	}
	for (end_t *e = w->ends; e != NULL && n < ENDS_LISTED; e = e->next, n++)
		json_array_append_new(ended,
		    json_pack("[I,s,I,s,s]", (json_int_t)e->seq, e->task,
			(json_int_t)e->run, e->how, ""));
	j = json_pack("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)clock_ms(w),
	    "born", (json_int_t)w->born_ms, "running", running, "ended_runs",
	    ended);
	text = json_dumps(j, JSON_COMPACT);
	server_reply(c, 200, text);
	free(text);
	json_decref(j);
}

static void
hold(worker_t *w, const request_t *q, const json_t *j)
{
	int64_t seen = json_integer_value(json_object_get(j, "last_seen"));
	int64_t wait = json_integer_value(json_object_get(j, "wait_ms"));
	const json_t *deadline = json_object_get(j, "deadline_ms");
	waiter_t *x;

	while (w->ends != NULL && w->ends->seq <= seen) {
		end_t *e = w->ends;

		w->ends = e->next;
		free(e);
	}
	if (deadline != NULL)
		extend_lease(w, json_integer_value(deadline));
	x = calloc(1, sizeof(*x));
	x->to = server_later(q);
	x->w = w;
	x->until_ms = now_ms() + (wait > 2000 ? 2000 : wait);
	x->next = waiters;
	waiters = x;
}

static void
serve(int owner, const request_t *q)
{
	worker_t *w = &workers[owner - 1];
	json_t *j;
	int64_t token;

	if (q->expect[0] != '\0' && strcmp(q->expect, w->id) != 0) {
		server_reply(q->conn, 421, "{}");
		return;
	}
	j = json_loadb(q->body, q->nbody, 0, NULL);
	token = json_integer_value(json_object_get(j, "fencing_token"));
	if (token < w->token)
		reply_clock(w, q, 409, "fence");
	else {
		w->token = token;
		if (strcmp(q->path, "/-/hold") == 0)
			hold(w, q, j);
		else if (strcmp(q->path, "/-/run-start") == 0)
			start(w, q, j);
		else if (strcmp(q->path, "/-/run-stop") == 0)
			stop(w, q, j);
		else
			reply_clock(w, q, 200, NULL); /* pace */
	}
	json_decref(j);
}

/* Ends a gang whose tasks have worked together for long enough. */
static void
tick_gang(run_t *r, worker_t *w, int64_t now)
{
	char step[80];
	int present = 0;

	snprintf(step, sizeof(step), "%s", r->task);
	*strrchr(step, '.') = '\0';
	strcat(step, ".");
	for (int i = 0; i < nworkers; i++)
		for (run_t *o = workers[i].runs; o != NULL; o = o->next)
			present += o->run == r->run &&
			    strncmp(o->task, step, strlen(step)) == 0;
	if (present >= r->gang && r->gang_began_ms == 0)
		r->gang_began_ms = now;
	if (r->gang_began_ms == 0 && now - r->began_ms >= GANG_WAIT_MS)
		end_run(w, r, "alone");
	else if (r->gang_began_ms != 0 &&
	    now - r->gang_began_ms >= r->gang_work_ms)
		end_run(w, r, "done");
}

static void
tick_runs(worker_t *w, int64_t now)
{
	bool lapsed = clock_ms(w) >= w->lease_ms;

	for (run_t *r = w->runs, *next; r != NULL; r = next) {
		next = r->next;
		if (lapsed)
			end_run(w, r, "lapsed");
		else if (r->gang > 0)
			tick_gang(r, w, now);
		else if (r->ends_ms != 0 && now >= r->ends_ms)
			end_run(w, r, "done");
	}
}

void
worker_tick(void)
{
	int64_t now = now_ms();

	for (int i = 0; i < nworkers; i++) {
		worker_t *w = &workers[i];

		if (w->up)
			tick_runs(w, now);
		if (w->up && w->in_touch && now - w->beat_ms >= BEAT_MS)
			write_entry(w);
		else if (now - w->beat_ms > SILENT_BEATS * BEAT_MS)
			store_remove("servers", w->id);
	}
	for (waiter_t **p = &waiters; *p != NULL;) {
		waiter_t *x = *p;

		if (server_waits(x->to) && now < x->until_ms &&
		    x->w->ends == NULL) {
			p = &x->next;
			continue;
		}
		*p = x->next;
		if (server_waits(x->to))
			reply_hold(x->w, x->to.conn);
		free(x);
	}
}
