/*
 * A stand-in of a worker, after PROTOCOL.md: one process, which loses all when it is
 * killed.  It registers itself in the store and runs tasks under a lease.
 *
 * usage: review2-worker ID IP:PORT STORE RECORD CPU MEM_MB [LABEL...]
 *
 * The spec of a job says what its tasks do: "ms=N", how long each takes (0: until it is
 * stopped); "gang=N" of a gang of N tasks; "metric=N", the figure that is told with each;
 * "fail=N", each fails after so long; "ticket=1",
 * a start needs a ticket of the service for advice (advice.c).  The members of a gang on several workers meet
 * in the folder GANG_DIR (of the environment).  From SIGUSR1 to SIGUSR2 the worker fails all that it starts.
 * A member of a gang does so in the moment from which the gang works, like the members on
 * other such workers, which can't know of each other's ends then.  Appends a line to RECORD
 * for each start and end of a run.
 */
#include <dirent.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <jansson.h>

#include "http.h"

#define PING_MS		1100
#define MAX_HOLD_MS	6000
#define TICK_MS		5
#define ENDS_LISTED	500
#define LABELS_MAX	8
#define GANG_WAIT_MS	3000
#define TICKET_VALID_MS 3000

typedef struct run {
	struct run *next;
	char *task;
	int64_t number, cpu, mem_mb;
	int64_t began_ms, ms; /* by our clock; 0: until it is stopped */
	int percent_pace;
	int gang;	 /* its members; 0: none */
	bool together;	 /* all of them are there: it works */
	int64_t wait_ms; /* since then it waits for them */
	bool fails;
	int64_t fail_ms; /* after its start */
	int64_t metric;
} run_t;

typedef struct ended {
	struct ended *next;
	char *task;
	int64_t n, number;
	const char *how;
} ended_t;

/* The highest run of a task that was stopped or has ended here. */
typedef struct highest {
	struct highest *next;
	char *task;
	int64_t number;
} highest_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t has_ended = PTHREAD_COND_INITIALIZER;
static run_t *runs;
static ended_t *ends;
static highest_t *highests;
static int64_t nended, nrejected, token, deadline_ms, began_ms, born_ms;
static const char *id, *address, *store, *record, *gang_dir;
static int64_t cpu, mem_mb;
static const char *labels[LABELS_MAX];
static int nlabels;
static volatile sig_atomic_t grey;

static void
on_signal(int sig)
{
	grey = sig == SIGUSR1;
}

/* The worker's own steady clock. */
static int64_t
clock_ms(void)
{
	return steady_ms() - began_ms + 1;
}

static void
note(const char *fmt, ...)
{
	char line[512];
	int fd,
	    n = snprintf(line, sizeof(line), "%lld worker %s ",
		(long long)wall_ms(), id);
	va_list ap;

	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	line[n++] = '\n';
	fd = open(record, O_WRONLY | O_APPEND | O_CREAT, 0644);
	if (fd < 0 || write(fd, line, (size_t)n) != n)
		fprintf(stderr, "can't write to the record\n");
	close(fd);
}

static const char *
text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s == NULL ? "" : s;
}

static int64_t
number(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static highest_t *
highest_of(const char *task)
{
	highest_t *h;

	for (h = highests; h != NULL; h = h->next)
		if (strcmp(h->task, task) == 0)
			return h;
	h = calloc(1, sizeof(*h));
	h->task = strdup(task);
	h->next = highests;
	highests = h;
	return h;
}

static void
raise_highest(const char *task, int64_t n)
{
	highest_t *h = highest_of(task);

	if (n > h->number)
		h->number = n;
}

static run_t *
find_run(const char *task)
{
	run_t *r = runs;

	while (r != NULL && strcmp(r->task, task) != 0)
		r = r->next;
	return r;
}

/*
 * The folder in which the members of a gang's run meet: each leaves a file "INDEX" when it
 * starts, and one "ended" when it ends.
 */
static void
gang_folder(const run_t *r, char *path, size_t room)
{
	const char *dot = strrchr(r->task, '.');

	snprintf(path, room, "%s/%.*s-%lld", gang_dir, (int)(dot - r->task),
	    r->task, (long long)r->number);
}

static void
gang_mark(const run_t *r, const char *name)
{
	char folder[512], path[600];

	gang_folder(r, folder, sizeof(folder));
	mkdir(folder, 0755);
	snprintf(path, sizeof(path), "%s/%s", folder, name);
	close(open(path, O_WRONLY | O_CREAT, 0644));
}

/* How many members have started; *ended: one has ended. */
static int
gang_members(const run_t *r, bool *ended)
{
	char folder[512];
	const struct dirent *e;
	DIR *d;
	int n = 0;

	gang_folder(r, folder, sizeof(folder));
	*ended = false;
	d = opendir(folder);
	while (d != NULL && (e = readdir(d)) != NULL) {
		*ended = *ended || strcmp(e->d_name, "ended") == 0;
		n += e->d_name[0] >= '0' && e->d_name[0] <= '9';
	}
	if (d != NULL)
		closedir(d);
	return n;
}

static void
end_run(run_t *r, const char *how)
{
	ended_t *e = calloc(1, sizeof(*e)), **last = &ends;
	run_t **at = &runs;

	while (*last != NULL)
		last = &(*last)->next;
	*last = e;
	e->n = ++nended;
	e->task = r->task;
	e->number = r->number;
	e->how = how;
	raise_highest(r->task, r->number);
	if (r->gang > 0)
		gang_mark(r, "ended");
	note("end %s run %lld %s", r->task, (long long)r->number, how);
	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	free(r);
	pthread_cond_broadcast(&has_ended);
}

/* A deadline never shortens, and none is longer than the worker accepts. */
static void
extend(int64_t ms)
{
	if (ms > clock_ms() + MAX_HOLD_MS)
		ms = clock_ms() + MAX_HOLD_MS;
	if (ms > deadline_ms)
		deadline_ms = ms;
}

static reply_t
reply_clock(int status, const char *reason)
{
	json_t *j = json_pack("{s:I,s:I}", "clock_ms", (json_int_t)clock_ms(),
	    "born", (json_int_t)born_ms);
	reply_t r = { status, NULL };

	if (reason != NULL)
		json_object_set_new(j, "reason", json_string(reason));
	r.body = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return r;
}

/* What the task declares isn't told with a start: the spec says it. */
static int64_t
spec_field(const char *spec, const char *name, int64_t otherwise)
{
	const char *p = strstr(spec, name);

	return p == NULL ? otherwise : strtoll(p + strlen(name), NULL, 10);
}

static bool
has_room(int64_t want_cpu, int64_t want_mem)
{
	for (const run_t *r = runs; r != NULL; r = r->next) {
		want_cpu += r->cpu;
		want_mem += r->mem_mb;
	}
	return want_cpu <= cpu && want_mem <= mem_mb;
}

/* A ticket is "ID-MS": of this worker, given out at that time since 1970. */
static bool
ticket_holds(const char *ticket)
{
	size_t n = strlen(id);

	return strncmp(ticket, id, n) == 0 && ticket[n] == '-' &&
	    wall_ms() - strtoll(ticket + n + 1, NULL, 10) <= TICKET_VALID_MS;
}

static reply_t
start(const json_t *j)
{
	const char *task = text(j, "task"), *spec = text(j, "spec");
	int64_t n = number(j, "run"), until = number(j, "deadline_ms");
	run_t *r = find_run(task);

	if (task[0] == '\0' || n < 1)
		return reply_clock(400, NULL);
	if (r != NULL && r->number == n) {
		extend(until);
		return reply_clock(200, NULL);
	}
	if (r != NULL || n <= highest_of(task)->number) {
		extend(until);
		return reply_clock(409, "old");
	}
	if (until <= clock_ms())
		return reply_clock(409, "late");
	extend(until);
	if (spec_field(spec, "ticket=", 0) != 0 &&
	    !ticket_holds(text(j, "ticket"))) {
		/* There may be very many. */
		if (++nrejected <= 10 || nrejected % 1000 == 0)
			note("reject %s run %lld ticket, %lld so far", task,
			    (long long)n, (long long)nrejected);
		return reply_clock(409, "ticket");
	}
	if (!has_room(spec_field(spec, "cpu=", 0), spec_field(spec, "mem=", 0)))
		return reply_clock(409, "room");
	r = calloc(1, sizeof(*r));
	r->task = strdup(task);
	r->number = n;
	r->cpu = spec_field(spec, "cpu=", 0);
	r->mem_mb = spec_field(spec, "mem=", 0);
	r->began_ms = clock_ms();
	r->ms = spec_field(spec, "ms=", 1000);
	r->percent_pace = 100;
	r->gang = (int)spec_field(spec, "gang=", 0);
	r->wait_ms = r->began_ms;
	r->fail_ms = spec_field(spec, "fail=", 0);
	r->fails = grey || r->fail_ms > 0;
	r->metric = spec_field(spec, "metric=", 0);
	r->next = runs;
	runs = r;
	if (r->gang > 0)
		gang_mark(r, strrchr(task, '.') + 1);
	note("start %s run %lld token %lld", task, (long long)n,
	    (long long)token);
	return reply_clock(200, NULL);
}

static reply_t
stop(const json_t *j)
{
	run_t *r = find_run(text(j, "task"));
	int64_t n = number(j, "run");

	raise_highest(text(j, "task"), n);
	if (r != NULL && r->number <= n)
		end_run(r, "stopped");
	return reply_clock(200, NULL);
}

static reply_t
pace(const json_t *j)
{
	run_t *r = find_run(text(j, "task"));

	if (r != NULL)
		r->percent_pace = (int)number(j, "percent");
	return reply_clock(200, NULL);
}

static int
percent(const run_t *r)
{
	int64_t ms = clock_ms() - r->began_ms;

	if (r->gang > 0 && !r->together)
		return 0;
	if (r->ms == 0)
		return ms < 320 ? 0 : 100;
	return ms >= r->ms ? 99 : (int)(ms * 100 / r->ms);
}

static reply_t
report(void)
{
	json_t *running = json_array(), *ended = json_array();
	json_t *j;
	reply_t reply = { 200, NULL };
	int n = 0;

	for (const run_t *r = runs; r != NULL; r = r->next)
		json_array_append_new(running,
		    json_pack("[s,I,s,i,I]", r->task, (json_int_t)r->number, "",
			percent(r), (json_int_t)r->metric));
	for (const ended_t *e = ends; e != NULL && n++ < ENDS_LISTED;
	     e = e->next)
		json_array_append_new(ended,
		    json_pack("[I,s,I,s,s]", (json_int_t)e->n, e->task,
			(json_int_t)e->number, e->how, ""));
	j = json_pack("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)clock_ms(),
	    "born", (json_int_t)born_ms, "running", running, "ended_runs",
	    ended);
	reply.body = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return reply;
}

static reply_t
hold(const json_t *j)
{
	int64_t seen = number(j, "last_seen"), wait = number(j, "wait_ms");
	int64_t until = steady_ms() + (wait > 2000 ? 2000 : wait);

	while (ends != NULL && ends->n <= seen) {
		ended_t *e = ends;

		ends = e->next;
		free(e->task);
		free(e);
	}
	if (json_object_get(j, "deadline_ms") != NULL)
		extend(number(j, "deadline_ms"));
	while (ends == NULL && steady_ms() < until) {
		int64_t at = wall_ms() + TICK_MS;
		struct timespec t = { at / 1000, at % 1000 * 1000000 };

		pthread_cond_timedwait(&has_ended, &lock, &t);
	}
	return report();
}

static reply_t
handle(const request_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL);
	reply_t reply = { 404, NULL };

	pthread_mutex_lock(&lock);
	if (r->instance[0] != '\0' && strcmp(r->instance, id) != 0)
		reply.status = 421;
	else if (strcmp(r->path, "/health") == 0)
		reply.status = 200;
	else if (!json_is_object(j))
		reply.status = 400;
	else if (number(j, "fencing_token") < token)
		reply = reply_clock(409, "fence");
	else {
		token = number(j, "fencing_token");
		if (strcmp(r->path, "/-/run-start") == 0)
			reply = start(j);
		else if (strcmp(r->path, "/-/run-stop") == 0)
			reply = stop(j);
		else if (strcmp(r->path, "/-/pace") == 0)
			reply = pace(j);
		else if (strcmp(r->path, "/-/hold") == 0)
			reply = hold(j);
	}
	pthread_mutex_unlock(&lock);
	json_decref(j);
	return reply;
}

/* A member of a gang works once all are there, and ends with the first that ends. */
static void
look_after_member(run_t *r)
{
	bool ended;
	int n = gang_members(r, &ended);

	/* All were there: that began the gang's work, and this member's end. */
	if (r->fails && n >= r->gang) {
		end_run(r, "failed");
		return;
	}
	if (!r->together && n >= r->gang && !ended) {
		r->together = true;
		r->began_ms = clock_ms();
	}
	if (r->together && clock_ms() - r->began_ms >= r->ms)
		end_run(r, "done");
	else if (ended)
		end_run(r, "broken");
	else if (!r->together && clock_ms() - r->wait_ms >= GANG_WAIT_MS)
		end_run(r, "alone");
}

/* Ends the runs that are done, and all when the lease is over. */
static void *
work(void *arg)
{
	for (;;) {
		run_t *r, *next;

		sleep_ms(TICK_MS);
		pthread_mutex_lock(&lock);
		for (r = runs; r != NULL; r = next) {
			next = r->next;
			if (clock_ms() > deadline_ms)
				end_run(r, "lapsed");
			else if (r->gang > 0)
				look_after_member(r);
			else if (r->fails &&
			    clock_ms() - r->wait_ms >= r->fail_ms)
				end_run(r, "failed");
			else if (r->ms != 0 && r->percent_pace > 0 &&
			    clock_ms() - r->began_ms >= r->ms)
				end_run(r, "done");
		}
		pthread_mutex_unlock(&lock);
	}
	return arg;
}

static const char base64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode(const char *s)
{
	size_t n = strlen(s), k = 0;
	char *out = malloc(n / 3 * 4 + 8);

	for (size_t i = 0; i < n; i += 3) {
		unsigned v = (unsigned)(unsigned char)s[i] << 16;

		v |= i + 1 < n ? (unsigned)(unsigned char)s[i + 1] << 8 : 0;
		v |= i + 2 < n ? (unsigned)(unsigned char)s[i + 2] : 0;
		out[k++] = base64[v >> 18];
		out[k++] = base64[v >> 12 & 63];
		out[k++] = i + 1 < n ? base64[v >> 6 & 63] : '=';
		out[k++] = i + 2 < n ? base64[v & 63] : '=';
	}
	out[k] = '\0';
	return out;
}

/* Registers the worker again and again. */
static void *
ping(void *arg)
{
	for (json_int_t sequence = 1;; sequence++) {
		json_t *names = json_array(), *row, *tx;
		char *value, *b64, *body, *answer;

		for (int i = 0; i < nlabels; i++)
			json_array_append_new(names, json_string(labels[i]));
		row = json_pack(
		    "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:o,s:{s:I,s:I,s:i}}",
		    "service", "work", "address", address, "zone", "za",
		    "version", "v1", "slots", 8, "state", "ready",
		    "cold_remaining_ms", 0, "sequence", sequence, "born",
		    (json_int_t)born_ms, "labels", names, "capacity", "cpu",
		    (json_int_t)cpu, "mem_mb", (json_int_t)mem_mb, "gpu", 0);
		value = json_dumps(row, JSON_COMPACT);
		b64 = encode(value);
		tx = json_pack("{s:[],s:[{s:s,s:s,s:s,s:s}],s:[]}",
		    "precondition", "puts", "table", "servers", "part", "",
		    "key", id, "value", b64, "remove");
		body = json_dumps(tx, JSON_COMPACT);
		http_call(store, "POST", "/-/rows-tx", "X-Role: platform\r\n",
		    body, 1000, &answer);
		free(answer);
		free(body);
		free(b64);
		free(value);
		json_decref(tx);
		json_decref(row);
		sleep_ms(PING_MS);
	}
	return arg;
}

int
main(int argc, char **argv)
{
	pthread_t t;

	if (argc < 7) {
		fprintf(stderr,
		    "usage: review2-worker ID IP:PORT STORE RECORD CPU MEM_MB "
		    "[LABEL...]\n");
		return 2;
	}
	id = argv[1];
	address = argv[2];
	store = argv[3];
	record = argv[4];
	gang_dir = getenv("GANG_DIR") == NULL ? "." : getenv("GANG_DIR");
	cpu = strtoll(argv[5], NULL, 10);
	mem_mb = strtoll(argv[6], NULL, 10);
	for (int i = 7; i < argc && nlabels < LABELS_MAX; i++)
		labels[nlabels++] = argv[i];
	began_ms = steady_ms();
	born_ms = wall_ms();
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	note("up");
	pthread_create(&t, NULL, work, NULL);
	pthread_create(&t, NULL, ping, NULL);
	http_serve(address, handle);
	return 0;
}
