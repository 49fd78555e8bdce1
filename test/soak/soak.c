/*
 * Soak test: real entries (tanagerspool serve) and a stand-in of the users'
 * platform run as processes on loopback, under faults: signals, and proxies
 * between the entries, the store and the workers.  Callers submit jobs and
 * check that the answers they got stay true.  Faults and load follow from the
 * seed; their exact timing does not.
 * usage: soak BUILD-FOLDER SEED [ENTRIES [SECONDS]]
 */
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "proxy.h"

#define IP		   "127.0.0.1"
#define STORE_PORT	   8600
#define WORKER_PORT	   8601 /* of the first worker of the stand-in */
#define WORKER_PROXY_PORT  8640 /* of the proxy to the first worker */
#define STORE_PROXY_PORT   8660 /* plus the entry's index */
#define FRONT_PORT	   8010
#define WORKERS		   4
#define ENTRIES		   3
#define ENTRIES_MAX	   9 /* hosts in the stand-in's routes */
#define FAULT_PHASE_S	   20
#define RECOVERY_S	   30 /* after the faults, for accepted jobs to end */
#define SUBMIT_INTERVAL_MS 120
#define FAULT_INTERVAL_MS  900
#define CALL_TIMEOUT_MS	   4000
#define TASKS_PER_JOB	   5 /* three in step 0, two in step 1 */
/* Of a task, in thousandths of a core: a worker has room for five. */
#define TASK_CPU      "3000"
#define STOP_MAX_MS   6000 /* bound for a graceful stop */
#define KEY_BOUND_MS  3000 /* for a change of keys to be in force */
#define KEY_CHANGE_MS 5000 /* between two, on average */
#define KEYED_PER_TEN 3	   /* jobs that are submitted with a key */

typedef enum {
	JOB_SUBMITTED,
	JOB_ACCEPTED,
	JOB_REFUSED,
	JOB_IN_DOUBT
} job_state_t;

/* A job's state in its caller's view, and what the workers saw of the job. */
typedef struct {
	char id[17];
	bool keyed; /* submitted by customer "one" */
	job_state_t state;
	bool started;	/* a worker has started a task of it */
	bool completed; /* an entry has reported it as completed */
	int tasks_done; /* on the workers */
	bool call_pending;
	int64_t next_call_ms;
} job_t;

typedef struct {
	uv_process_t process;
	uv_timer_t timer; /* to restart or to resume it */
	proxy_t *store_proxy;
	int index;
	int64_t stop_sent_ms;  /* time of SIGTERM; 0: not stopping */
	int64_t last_fault_ms; /* last one that may cut requests */
	bool up, paused;
} entry_t;

typedef struct {
	job_t *job;
	entry_t *entry;
	bool submission;
	int64_t sent_ms;
	/* Whether the entry must have known its key as withdrawn, or as valid if
	 * that is number valid_key yet. */
	bool key_withdrawn, key_valid;
	int valid_key; /* -1: the key never changes */
} call_t;

static struct {
	uv_loop_t *loop;
	GRand *rand;
	const char *build;
	uint64_t seed;
	entry_t entry[ENTRIES_MAX];
	int entries;
	proxy_t *worker_proxy[WORKERS];
	uv_process_t platform;
	uv_pipe_t platform_pipe;
	GString *partial_line;
	uv_timer_t call_timer, fault_timer, end_timer, platform_resume_timer,
	    worker_heal_timer[WORKERS], store_heal_timer[ENTRIES_MAX],
	    key_timer;
	/* The valid one of the keys that change, and when the store had it. */
	int key;
	int64_t key_since_ms;
	bool key_changing; /* the store was told to change it */
	int unauthorized;
	GHashTable *jobs;     /* id -> job_t */
	GPtrArray *submitted; /* the same jobs, in order of submission */
	backends_t *backends;
	GHashTable *calls; /* request number -> call_t */
	uint64_t next_call;
	int violations, accepted, refused, unknown, faults_injected;
	bool in_recovery;
	int64_t start_ms;
} soak;

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / 1000000);
}

static int
rand_below(int n)
{
	return g_rand_int_range(soak.rand, 0, n);
}

static void G_GNUC_PRINTF(1, 2) violation(const char *fmt, ...)
{
	va_list ap;

	soak.violations++;
	printf("BROKEN at %.3f: ", (double)(now_ms() - soak.start_ms) / 1000);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

static void G_GNUC_PRINTF(1, 2) trace(const char *fmt, ...)
{
	va_list ap;

	printf("%8.3f ", (double)(now_ms() - soak.start_ms) / 1000);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

/*
 * Processes.
 */
static void start_entry(entry_t *e);

static void
on_restart_due(uv_timer_t *t)
{
	entry_t *e = t->data;

	if (!e->up)
		start_entry(e);
}

static void
on_process_closed(uv_handle_t *h)
{
	entry_t *e = h->data;

	uv_timer_start(
	    &e->timer, on_restart_due, (uint64_t)(200 + rand_below(1500)), 0);
}

/* An entry may end only by SIGKILL or by a graceful stop. */
static void
on_exit_entry(uv_process_t *p, int64_t status, int sig)
{
	entry_t *e = p->data;

	trace(
	    "entry %d ends: status %d, signal %d", e->index, (int)status, sig);
	if (sig != 0 && sig != SIGKILL)
		violation("entry %d ended by signal %d", e->index, sig);
	if (e->stop_sent_ms == 0 && sig == 0)
		violation("entry %d ended by itself: status %d", e->index,
		    (int)status);
	if (e->stop_sent_ms != 0 && sig == 0 &&
	    now_ms() - e->stop_sent_ms > STOP_MAX_MS)
		violation("entry %d took too long to stop", e->index);
	e->up = e->paused = false;
	e->stop_sent_ms = 0;
	e->last_fault_ms = now_ms();
	uv_close((uv_handle_t *)p, on_process_closed);
}

static void
start_entry(entry_t *e)
{
	g_autofree char *bin = g_strconcat(soak.build, "/tanagerspool", NULL);
	g_autofree char *name = g_strdup_printf("e%d", e->index);
	g_autofree char *ip = g_strdup_printf("127.0.0.5%d", e->index);
	g_autofree char *front = g_strdup_printf("%s:%d", ip, FRONT_PORT);
	g_autofree char *ready = g_strdup_printf("%s:%d", ip, FRONT_PORT + 1);
	g_autofree char *store =
	    g_strdup_printf("%s:%d", IP, STORE_PROXY_PORT + e->index);
	char *args[] = { bin, "serve", "--name", name, "--zone", "z", "--ip",
		ip, "--front", front, "--ready", ready, "--store", store,
		"--peer-port", "8012", "--metrics-port", "0", "--log-level",
		"ERROR", NULL };
	uv_process_options_t o = {
		.file = bin, .args = args, .exit_cb = on_exit_entry
	};
	int r;

	e->process.data = e;
	r = uv_spawn(soak.loop, &e->process, &o);
	if (r != 0) {
		violation(
		    "entry %d does not start: %s", e->index, uv_strerror(r));
		return;
	}
	e->up = true;
	trace("entry %d starts", e->index);
}

/* The job of a task, whose name begins with the id of the job. */
static job_t *
find_job(const char *task)
{
	char id[17];

	g_strlcpy(id, task, sizeof(id));
	return g_hash_table_lookup(soak.jobs, id);
}

/* Handles a line of the stand-in: a start or end of a run, or BROKEN. */
static void
on_platform_line(const char *line)
{
	g_auto(GStrv) words = g_strsplit(line, " ", 3);
	job_t *j;

	if (strncmp(line, "BROKEN", 6) == 0) {
		violation("%s", line + 7);
		return;
	}
	if (words[0] == NULL || words[1] == NULL)
		return;
	if (strcmp(words[0], "keys") == 0) {
		trace("key %s replaces the one before", words[1]);
		soak.key = atoi(words[1]);
		soak.key_since_ms = now_ms();
		soak.key_changing = false;
		return;
	}
	j = find_job(words[1]);
	if (j == NULL) {
		violation("a task of an unknown job: %s", line);
		return;
	}
	if (strcmp(words[0], "start") == 0) {
		j->started = true;
		if (j->state == JOB_REFUSED)
			violation("job %s was refused but runs", j->id);
	} else if (strcmp(words[0], "done") == 0)
		j->tasks_done++;
}

static void
on_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	(void)h;
	*buf = uv_buf_init(g_malloc(want), (unsigned)want);
}

static void
on_platform_data(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	char *end;

	(void)st;
	if (n > 0)
		g_string_append_len(soak.partial_line, buf->base, n);
	g_free(buf->base);
	while ((end = strchr(soak.partial_line->str, '\n')) != NULL) {
		*end = '\0';
		on_platform_line(soak.partial_line->str);
		g_string_erase(
		    soak.partial_line, 0, end - soak.partial_line->str + 1);
	}
}

static void
on_exit_platform(uv_process_t *p, int64_t status, int sig)
{
	(void)p;
	if (!soak.in_recovery || sig != SIGKILL)
		violation(
		    "the platform ended: %d, signal %d", (int)status, sig);
}

static bool
start_platform(void)
{
	g_autofree char *bin = g_strconcat(soak.build, "/standin-users", NULL);
	g_autofree char *port = g_strdup_printf("%d", STORE_PORT);
	g_autofree char *workers = g_strdup_printf("%d", WORKERS);
	g_autofree char *proxy_port = g_strdup_printf("%d", WORKER_PROXY_PORT);
	char *args[] = { bin, port, workers, proxy_port, TASK_CPU, NULL };
	uv_stdio_container_t io[2] = { { .flags = UV_IGNORE },
		{ .flags = UV_CREATE_PIPE | UV_WRITABLE_PIPE } };
	uv_process_options_t o = { .file = bin,
		.args = args,
		.stdio = io,
		.stdio_count = 2,
		.exit_cb = on_exit_platform };

	uv_pipe_init(soak.loop, &soak.platform_pipe, 0);
	io[1].data.stream = (uv_stream_t *)&soak.platform_pipe;
	if (uv_spawn(soak.loop, &soak.platform, &o) != 0)
		return false;
	return uv_read_start((uv_stream_t *)&soak.platform_pipe, on_alloc,
		   on_platform_data) == 0;
}

/*
 * Callers.
 */
/*
 * Sets a call's key: mostly the present one, else the one before or one that
 * never changes.  Returns the header; free it.
 */
static char *
choose_key(call_t *c)
{
	bool in_force = now_ms() - soak.key_since_ms > KEY_BOUND_MS;
	int n = rand_below(10);

	c->key_withdrawn = n < 3 && in_force;
	c->key_valid = n >= 8 || (n >= 3 && in_force);
	c->valid_key = n >= 8 ? -1 : soak.key;
	if (n >= 8)
		return g_strdup("Tanagerspool-Key: secret-one\r\n");
	return g_strdup_printf(
	    "Tanagerspool-Key: secret-%d\r\n", soak.key - (n < 3));
}

/*
 * A key that was withdrawn is not accepted, and a valid one is not answered 401,
 * once the change must be in force.
 */
static void
check_key(const call_t *c, const backend_answer_t *a)
{
	if (!c->job->keyed || a->outcome != TS_OUTCOME_ANSWERED)
		return;
	if (c->key_withdrawn && (a->status == 200 || a->status == 410))
		violation("entry %d accepted a withdrawn key: %d",
		    c->entry->index, a->status);
	soak.unauthorized += a->status == 401;
	if (c->key_valid && a->status == 401 &&
	    (c->valid_key < 0 ||
		(c->valid_key == soak.key && !soak.key_changing)))
		violation("entry %d refused a valid key", c->entry->index);
}

/* Submits a job, or asks for its state, at a random entry. */
static void
send_call(job_t *j, bool submit)
{
	static const char body[] =
	    "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":" TASK_CPU
	    ",\"mem_mb\":10,\"estimate_ms\":300},"
	    "{\"count\":2,\"cpu\":" TASK_CPU ",\"mem_mb\":10,"
	    "\"estimate_ms\":300,\"after\":[0]}]}";
	call_t *c = g_new0(call_t, 1);
	entry_t *e = &soak.entry[rand_below(soak.entries)];
	g_autofree char *ip = g_strdup_printf("127.0.0.5%d", e->index);
	g_autofree char *path =
	    g_strdup_printf("/%s/%s", j->keyed ? "k" : "q", j->id);
	g_autofree char *key = j->keyed ? choose_key(c) : g_strdup("");
	g_autofree char *headers =
	    g_strconcat("Content-Type: application/json\r\n", key, NULL);
	backend_call_t b = { .ip = ip,
		.port = FRONT_PORT,
		.max_conns = 32,
		.method = submit ? "POST" : "GET",
		.path = path,
		.headers = headers,
		.body = submit ? body : "",
		.body_bytes = submit ? sizeof(body) - 1 : 0,
		.timeout_ms = CALL_TIMEOUT_MS };

	c->job = j;
	c->entry = e;
	c->submission = submit;
	c->sent_ms = now_ms();
	j->call_pending = true;
	g_hash_table_insert(
	    soak.calls, GSIZE_TO_POINTER((gsize)++soak.next_call), c);
	backends_send(soak.backends, soak.next_call, 0, &b);
}

/*
 * A graceful stop must not cut a request.  Requests sent shortly after another
 * fault of the entry don't count.
 */
static void
check_graceful_stop(const call_t *c, const backend_answer_t *a)
{
	const entry_t *e = c->entry;

	if (a->outcome == TS_OUTCOME_UNKNOWN && e->up && !e->paused &&
	    e->stop_sent_ms != 0 &&
	    c->sent_ms > e->last_fault_ms + CALL_TIMEOUT_MS)
		violation(
		    "entry %d cut a request while it was stopping", e->index);
}

static void
on_submit_reply(job_t *j, const backend_answer_t *a)
{
	if (a->outcome == TS_OUTCOME_ANSWERED && a->status == 200) {
		j->state = JOB_ACCEPTED;
		soak.accepted++;
	} else if (a->outcome == TS_OUTCOME_NOT_RUN ||
	    (a->outcome == TS_OUTCOME_ANSWERED &&
		(a->status == 503 || a->status == 429 || a->status == 401))) {
		/* Final only if no earlier attempt is in doubt. */
		j->state = j->state == JOB_SUBMITTED ? JOB_REFUSED : j->state;
		if (j->state == JOB_REFUSED && j->started)
			violation("job %s runs but is refused", j->id);
		soak.refused++;
	} else {
		j->state = JOB_IN_DOUBT;
		j->next_call_ms = now_ms() + 200; /* submit again */
		soak.unknown++;
	}
}

static void
on_state_reply(job_t *j, const backend_answer_t *a)
{
	g_autofree char *text = g_strndup(
	    a->body == NULL ? "" : (const char *)a->body, a->body_bytes);

	if (a->outcome != TS_OUTCOME_ANSWERED)
		return;
	if (a->status == 410 && j->state == JOB_ACCEPTED)
		violation("job %s was accepted but is unknown", j->id);
	if (strstr(text, "failed") != NULL)
		violation("job %s is reported as failed", j->id);
	if (strstr(text, "completed") == NULL)
		return;
	j->completed = true;
	if (j->tasks_done < TASKS_PER_JOB)
		violation("job %s is reported as completed with %d tasks done",
		    j->id, j->tasks_done);
}

static void
on_answer(void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a)
{
	call_t *c =
	    g_hash_table_lookup(soak.calls, GSIZE_TO_POINTER((gsize)req));

	(void)ctx;
	(void)attempt;
	if (c == NULL)
		return;
	c->job->call_pending = false;
	c->job->next_call_ms = now_ms() + 700;
	check_graceful_stop(c, a);
	check_key(c, a);
	if (c->submission)
		on_submit_reply(c->job, a);
	else
		on_state_reply(c->job, a);
	g_hash_table_remove(soak.calls, GSIZE_TO_POINTER((gsize)req));
}

/* Submits a new job, and polls or submits again the earlier ones. */
static void
on_call_timer(uv_timer_t *t)
{
	int64_t now = now_ms();
	job_t *j;

	(void)t;
	if (!soak.in_recovery) {
		j = g_new0(job_t, 1);
		g_snprintf(j->id, sizeof(j->id), "%08x%08x",
		    g_rand_int(soak.rand), g_rand_int(soak.rand));
		j->keyed = rand_below(10) < KEYED_PER_TEN;
		g_hash_table_insert(soak.jobs, j->id, j);
		g_ptr_array_add(soak.submitted, j);
		send_call(j, true);
	}
	for (guint i = 0; i < soak.submitted->len; i++) {
		j = g_ptr_array_index(soak.submitted, i);
		if (j->call_pending || j->completed ||
		    j->state == JOB_REFUSED || j->state == JOB_SUBMITTED ||
		    now < j->next_call_ms)
			continue;
		send_call(j, j->state == JOB_IN_DOUBT);
	}
}

/* Operators replace a key of customer "one", while connections stay open. */
static void
on_key_timer(uv_timer_t *t)
{
	uv_timer_start(t, on_key_timer,
	    (uint64_t)(KEY_CHANGE_MS / 2 + rand_below(KEY_CHANGE_MS)), 0);
	if (soak.in_recovery || soak.key_changing)
		return;
	soak.key_changing = true;
	uv_process_kill(&soak.platform, SIGUSR2);
}

/*
 * Faults.
 */
static void
signal_entry(entry_t *e, int sig)
{
	if (e->up)
		uv_process_kill(&e->process, sig);
}

static void
on_resume_entry(uv_timer_t *t)
{
	entry_t *e = t->data;

	if (e->up && e->paused) {
		trace("entry %d resumes", e->index);
		uv_process_kill(&e->process, SIGCONT);
	}
	e->paused = false;
	e->last_fault_ms = now_ms();
}

static void
on_resume_platform(uv_timer_t *t)
{
	(void)t;
	trace("the platform resumes");
	uv_process_kill(&soak.platform, SIGCONT);
}

static void
on_heal(uv_timer_t *t)
{
	proxy_set_mode(t->data, PROXY_PASS, 0);
	for (int i = 0; i < soak.entries; i++)
		if (soak.entry[i].store_proxy == t->data)
			soak.entry[i].last_fault_ms = now_ms();
}

/* Resets a proxy's connections, or impairs the proxy for a while. */
static void
impair_link(proxy_t *p, uv_timer_t *heal, const char *what, int index)
{
	static const struct {
		const char *name;
		proxy_mode_t mode;
		int max_ms; /* of its duration */
	} impairments[] = { { "delayed", PROXY_DELAY, 4000 },
		{ "black hole", PROXY_BLACKHOLE, 4000 },
		{ "drops upstream", PROXY_DROP_UPSTREAM, 3000 },
		{ "drops downstream", PROXY_DROP_DOWNSTREAM, 3000 } };
	int n = rand_below(G_N_ELEMENTS(impairments) + 1);
	int ms;

	if (n == (int)G_N_ELEMENTS(impairments)) {
		trace("%s %d: connections reset", what, index);
		proxy_reset(p);
		return;
	}
	ms = 200 + rand_below(impairments[n].max_ms);
	trace("%s %d: %s for %d ms", what, index, impairments[n].name, ms);
	proxy_set_mode(p, impairments[n].mode, 20 + rand_below(400));
	heal->data = p;
	uv_timer_start(heal, on_heal, (uint64_t)ms, 0);
}

static void
pause_entry(entry_t *e)
{
	int ms = 300 + rand_below(4000);

	if (!e->up || e->paused || e->stop_sent_ms != 0)
		return;
	trace("entry %d is paused for %d ms", e->index, ms);
	e->last_fault_ms = now_ms();
	e->paused = true;
	signal_entry(e, SIGSTOP);
	uv_timer_start(&e->timer, on_resume_entry, (uint64_t)ms, 0);
}

/* Begins a graceful stop, which must not cut any request. */
static void
terminate_entry(entry_t *e)
{
	if (!e->up || e->paused || e->stop_sent_ms != 0)
		return;
	trace("entry %d gets SIGTERM", e->index);
	e->stop_sent_ms = now_ms();
	signal_entry(e, SIGTERM);
}

/*
 * Injects a random fault.  Those that may cut requests of an entry are noted;
 * SIGTERM, SIGHUP and faults of workers must not.
 */
static void
on_fault(uv_timer_t *t)
{
	entry_t *e = &soak.entry[rand_below(soak.entries)];
	int n = rand_below(10), worker = rand_below(WORKERS), ms;

	(void)t;
	if (soak.in_recovery)
		return;
	uv_timer_start(&soak.fault_timer, on_fault,
	    (uint64_t)(FAULT_INTERVAL_MS / 3 + rand_below(FAULT_INTERVAL_MS)),
	    0);
	soak.faults_injected++;
	if (n <= 1) {
		trace("entry %d is killed", e->index);
		e->last_fault_ms = now_ms();
		signal_entry(e, SIGKILL);
	} else if (n <= 3)
		pause_entry(e);
	else if (n == 4)
		terminate_entry(e);
	else if (n == 5)
		signal_entry(e, SIGHUP);
	else if (n <= 7) {
		e->last_fault_ms = now_ms();
		impair_link(e->store_proxy,
		    &soak.store_heal_timer[e->index - 1], "store of", e->index);
	} else if (n == 8)
		impair_link(soak.worker_proxy[worker],
		    &soak.worker_heal_timer[worker], "worker", worker);
	else if (rand_below(2) == 0) {
		ms = 300 + rand_below(1500);
		trace("the platform is paused for %d ms", ms);
		uv_process_kill(&soak.platform, SIGSTOP);
		uv_timer_start(&soak.platform_resume_timer, on_resume_platform,
		    (uint64_t)ms, 0);
	} else {
		trace("a worker restarts");
		uv_process_kill(&soak.platform, SIGUSR1);
	}
}

/*
 * The recovery phase and the verdict.
 */
/* Checks the accepted jobs, ends all processes and exits. */
static void
finish(void)
{
	guint left = 0;

	for (guint i = 0; i < soak.submitted->len; i++) {
		const job_t *j = g_ptr_array_index(soak.submitted, i);

		if (j->state != JOB_ACCEPTED || j->completed)
			continue;
		left++;
		violation(
		    "job %s was accepted but has not ended: %d tasks done",
		    j->id, j->tasks_done);
	}
	if (soak.accepted * 2 < (int)soak.submitted->len)
		violation("only %d of %u jobs were accepted", soak.accepted,
		    soak.submitted->len);
	for (int i = 0; i < soak.entries; i++)
		signal_entry(&soak.entry[i], SIGKILL);
	uv_process_kill(&soak.platform, SIGKILL);
	printf("soak: seed %" PRIu64 " faults %d jobs %u accepted %d refused "
	       "%d unauthorized %d unknown %d left %u broken %d\n",
	    soak.seed, soak.faults_injected, soak.submitted->len, soak.accepted,
	    soak.refused, soak.unauthorized, soak.unknown, left,
	    soak.violations);
	exit(soak.violations == 0 ? 0 : 1);
}

static void
on_recovery_check(uv_timer_t *t)
{
	bool all = true;

	for (guint i = 0; i < soak.submitted->len; i++) {
		const job_t *j = g_ptr_array_index(soak.submitted, i);

		all = all && !(j->state == JOB_ACCEPTED && !j->completed);
	}
	if (all || now_ms() - *(int64_t *)t->data > RECOVERY_S * 1000)
		finish();
}

static void
on_end(uv_timer_t *t)
{
	static int64_t since;

	trace("no more faults");
	soak.in_recovery = true;
	since = now_ms();
	t->data = &since;
	uv_timer_start(t, on_recovery_check, 500, 500);
}

static void
start_timers(int seconds)
{
	uv_timer_t *timers[] = { &soak.call_timer, &soak.fault_timer,
		&soak.end_timer, &soak.platform_resume_timer, &soak.key_timer };

	for (size_t i = 0; i < G_N_ELEMENTS(timers); i++)
		uv_timer_init(soak.loop, timers[i]);
	for (int i = 0; i < WORKERS; i++)
		uv_timer_init(soak.loop, &soak.worker_heal_timer[i]);
	for (int i = 0; i < soak.entries; i++)
		uv_timer_init(soak.loop, &soak.store_heal_timer[i]);
	uv_timer_start(
	    &soak.call_timer, on_call_timer, 2500, SUBMIT_INTERVAL_MS);
	uv_timer_start(&soak.fault_timer, on_fault, 3500, 0);
	uv_timer_start(&soak.key_timer, on_key_timer, KEY_CHANGE_MS, 0);
	uv_timer_start(&soak.end_timer, on_end, (uint64_t)seconds * 1000, 0);
}

static bool
start_all(void)
{
	for (int i = 0; i < WORKERS; i++) {
		soak.worker_proxy[i] = proxy_new(
		    soak.loop, IP, WORKER_PROXY_PORT + i, WORKER_PORT + i);
		if (soak.worker_proxy[i] == NULL)
			return false;
	}
	if (!start_platform())
		return false;
	for (int i = 0; i < soak.entries; i++) {
		entry_t *e = &soak.entry[i];

		e->index = i + 1;
		e->store_proxy = proxy_new(
		    soak.loop, IP, STORE_PROXY_PORT + e->index, STORE_PORT);
		if (e->store_proxy == NULL)
			return false;
		uv_timer_init(soak.loop, &e->timer);
		e->timer.data = e;
		start_entry(e);
	}
	return true;
}

int
main(int argc, char **argv)
{
	int seconds = argc > 4 ? atoi(argv[4]) : FAULT_PHASE_S;

	if (argc < 3) {
		fprintf(stderr,
		    "usage: soak BUILD-FOLDER SEED [ENTRIES [SECONDS]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	soak.loop = uv_default_loop();
	soak.build = argv[1];
	soak.seed = g_ascii_strtoull(argv[2], NULL, 10);
	soak.entries =
	    CLAMP(argc > 3 ? atoi(argv[3]) : ENTRIES, 1, ENTRIES_MAX);
	soak.rand = g_rand_new_with_seed((guint32)soak.seed);
	soak.partial_line = g_string_new(NULL);
	soak.jobs = g_hash_table_new(g_str_hash, g_str_equal);
	soak.submitted = g_ptr_array_new();
	soak.calls =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	soak.backends = backends_new(soak.loop, on_answer, NULL);
	soak.start_ms = now_ms();
	if (!start_all()) {
		fprintf(stderr,
		    "soak: a port is in use, or the stand-in does not start\n");
		return 2;
	}
	start_timers(seconds);
	return uv_run(soak.loop, UV_RUN_DEFAULT);
}
