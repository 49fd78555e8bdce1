/*
 * A soak: real entries and a stand-in of the users' platform as processes on
 * loopback, with faults from outside and callers that keep what they were
 * told.  Faults and load follow from the seed.
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

#define IP	      "127.0.0.1"
#define STORE_PORT    8600
#define WORKER_PORT   8601 /* the stand-in's own */
#define PROXY_PORT    8640 /* to the workers; to the store from 8660 on */
#define STORE_PROXIES 8660
#define FRONT_PORT    8010
#define WORKERS	      4
#define ENTRIES	      3
#define ENTRIES_MAX   9 /* the stand-in knows so many hosts */
#define SECONDS	      20
#define SETTLE_S      30 /* for all accepted jobs to end, after the faults */
#define ASK_GAP_MS    120
#define FAULT_GAP_MS  900
#define CALL_MS	      4000
#define TASKS	      5	   /* of a job: three, then two */
#define STOP_BOUND_MS 6000 /* the grace of a planned stop */

typedef enum { JOB_ASKED, JOB_ACCEPTED, JOB_REFUSED, JOB_UNKNOWN } job_state_t;

typedef struct {
	char id[17];
	job_state_t state;
	bool started, completed;
	int done;
	bool asking;
	int64_t next_ms;
} job_t;

typedef struct {
	uv_process_t process;
	uv_timer_t timer; /* to start it again, or to wake it */
	proxy_t *store;
	int index;
	int64_t stop_ms; /* SIGTERM sent; 0: no */
	int64_t harm_ms; /* last fault that may cut requests */
	bool up, frozen;
} entry_t;

typedef struct {
	job_t *job;
	entry_t *entry;
	bool hand_in;
	int64_t sent_ms;
} call_t;

static struct {
	uv_loop_t *loop;
	GRand *rand;
	const char *build;
	uint64_t seed;
	entry_t entry[ENTRIES_MAX];
	int entries;
	proxy_t *worker[WORKERS];
	uv_process_t platform;
	uv_pipe_t lines;
	GString *line;
	uv_timer_t asks, faults, end, platform_wake, worker_heal[WORKERS],
	    store_heal[ENTRIES_MAX];
	GHashTable *jobs; /* id -> job_t */
	GPtrArray *order;
	backends_t *http;
	GHashTable *calls; /* request number -> call_t */
	uint64_t next;
	int broken, accepted, refused, unknown, faults_made;
	bool quiet;
	int64_t begun_ms;
} k;

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / 1000000);
}

static int
any(int n)
{
	return g_rand_int_range(k.rand, 0, n);
}

static void G_GNUC_PRINTF(1, 2) broken(const char *fmt, ...)
{
	va_list ap;

	k.broken++;
	printf("BROKEN at %.3f: ", (double)(now_ms() - k.begun_ms) / 1000);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

static void G_GNUC_PRINTF(1, 2) trace(const char *fmt, ...)
{
	va_list ap;

	printf("%8.3f ", (double)(now_ms() - k.begun_ms) / 1000);
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
on_start_again(uv_timer_t *t)
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
	    &e->timer, on_start_again, (uint64_t)(200 + any(1500)), 0);
}

static void
on_exit_entry(uv_process_t *p, int64_t status, int sig)
{
	entry_t *e = p->data;

	trace(
	    "entry %d ends: status %d, signal %d", e->index, (int)status, sig);
	if (sig != 0 && sig != SIGKILL)
		broken("entry %d ended by signal %d", e->index, sig);
	if (e->stop_ms == 0 && sig == 0)
		broken("entry %d ended by itself: status %d", e->index,
		    (int)status);
	if (e->stop_ms != 0 && sig == 0 &&
	    now_ms() - e->stop_ms > STOP_BOUND_MS)
		broken("entry %d took too long to stop", e->index);
	e->up = e->frozen = false;
	e->stop_ms = 0;
	e->harm_ms = now_ms();
	uv_close((uv_handle_t *)p, on_process_closed);
}

static void
start_entry(entry_t *e)
{
	g_autofree char *bin = g_strconcat(k.build, "/tanagerspool", NULL);
	g_autofree char *name = g_strdup_printf("e%d", e->index);
	g_autofree char *ip = g_strdup_printf("127.0.0.5%d", e->index);
	g_autofree char *front = g_strdup_printf("%s:%d", ip, FRONT_PORT);
	g_autofree char *ready = g_strdup_printf("%s:%d", ip, FRONT_PORT + 1);
	g_autofree char *store =
	    g_strdup_printf("%s:%d", IP, STORE_PROXIES + e->index);
	char *args[] = { bin, "serve", "--name", name, "--zone", "z", "--ip",
		ip, "--front", front, "--ready", ready, "--store", store,
		"--peer-port", "8012", "--metrics-port", "0", "--log-level",
		"ERROR", NULL };
	uv_process_options_t o = {
		.file = bin, .args = args, .exit_cb = on_exit_entry
	};
	int r;

	e->process.data = e;
	r = uv_spawn(k.loop, &e->process, &o);
	if (r != 0) {
		broken("entry %d does not start: %s", e->index, uv_strerror(r));
		return;
	}
	e->up = true;
	trace("entry %d starts", e->index);
}

static job_t *
job_of(const char *task)
{
	char id[17];

	g_strlcpy(id, task, sizeof(id));
	return g_hash_table_lookup(k.jobs, id);
}

/* A line of the platform: what its workers saw. */
static void
on_line(const char *line)
{
	g_auto(GStrv) w = g_strsplit(line, " ", 3);
	job_t *j;

	if (strncmp(line, "BROKEN", 6) == 0) {
		broken("%s", line + 7);
		return;
	}
	if (w[0] == NULL || w[1] == NULL)
		return;
	j = job_of(w[1]);
	if (j == NULL) {
		broken("a task that nobody asked for: %s", line);
		return;
	}
	if (strcmp(w[0], "start") == 0) {
		j->started = true;
		if (j->state == JOB_REFUSED)
			broken("%s was refused and runs", j->id);
	} else if (strcmp(w[0], "done") == 0)
		j->done++;
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
		g_string_append_len(k.line, buf->base, n);
	g_free(buf->base);
	while ((end = strchr(k.line->str, '\n')) != NULL) {
		*end = '\0';
		on_line(k.line->str);
		g_string_erase(k.line, 0, end - k.line->str + 1);
	}
}

static void
on_exit_platform(uv_process_t *p, int64_t status, int sig)
{
	(void)p;
	if (!k.quiet || sig != SIGKILL)
		broken("the platform ended: %d, signal %d", (int)status, sig);
}

static bool
start_platform(void)
{
	g_autofree char *bin = g_strconcat(k.build, "/standin-users", NULL);
	g_autofree char *port = g_strdup_printf("%d", STORE_PORT);
	g_autofree char *workers = g_strdup_printf("%d", WORKERS);
	g_autofree char *told = g_strdup_printf("%d", PROXY_PORT);
	char *args[] = { bin, port, workers, told, NULL };
	uv_stdio_container_t io[2] = { { .flags = UV_IGNORE },
		{ .flags = UV_CREATE_PIPE | UV_WRITABLE_PIPE } };
	uv_process_options_t o = { .file = bin,
		.args = args,
		.stdio = io,
		.stdio_count = 2,
		.exit_cb = on_exit_platform };

	uv_pipe_init(k.loop, &k.lines, 0);
	io[1].data.stream = (uv_stream_t *)&k.lines;
	if (uv_spawn(k.loop, &k.platform, &o) != 0)
		return false;
	return uv_read_start(
		   (uv_stream_t *)&k.lines, on_alloc, on_platform_data) == 0;
}

/*
 * Callers.
 */
static void
send_call(job_t *j, bool hand_in)
{
	static const char body[] =
	    "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":10,"
	    "\"estimate_ms\":300},{\"count\":2,\"cpu\":500,\"mem_mb\":10,"
	    "\"estimate_ms\":300,\"after\":[0]}]}";
	call_t *c = g_new0(call_t, 1);
	entry_t *e = &k.entry[any(k.entries)];
	g_autofree char *ip = g_strdup_printf("127.0.0.5%d", e->index);
	g_autofree char *path = g_strdup_printf("/q/%s", j->id);
	backend_call_t b = { .ip = ip,
		.port = FRONT_PORT,
		.max_conns = 32,
		.method = hand_in ? "POST" : "GET",
		.path = path,
		.headers = "Content-Type: application/json\r\n",
		.body = hand_in ? body : "",
		.body_bytes = hand_in ? sizeof(body) - 1 : 0,
		.timeout_ms = CALL_MS };

	c->job = j;
	c->entry = e;
	c->hand_in = hand_in;
	c->sent_ms = now_ms();
	j->asking = true;
	g_hash_table_insert(k.calls, GSIZE_TO_POINTER((gsize)++k.next), c);
	backends_send(k.http, k.next, 0, &b);
}

/* A planned stop, and nothing else, must not cut a request. */
static void
check_cut(const call_t *c, const backend_answer_t *a)
{
	const entry_t *e = c->entry;

	if (a->outcome == TS_OUTCOME_UNKNOWN && e->up && !e->frozen &&
	    e->stop_ms != 0 && c->sent_ms > e->harm_ms + CALL_MS)
		broken(
		    "entry %d cut a request while it was stopping", e->index);
}

static void
handed_in(job_t *j, const backend_answer_t *a)
{
	if (a->outcome == TS_OUTCOME_ANSWERED && a->status == 200) {
		j->state = JOB_ACCEPTED;
		k.accepted++;
	} else if (a->outcome == TS_OUTCOME_NOT_RUN ||
	    (a->outcome == TS_OUTCOME_ANSWERED &&
		(a->status == 503 || a->status == 429))) {
		/* Told as not run, by one that no earlier try contradicts. */
		j->state = j->state == JOB_ASKED ? JOB_REFUSED : j->state;
		if (j->state == JOB_REFUSED && j->started)
			broken("%s runs and is refused", j->id);
		k.refused++;
	} else {
		j->state = JOB_UNKNOWN;
		j->next_ms = now_ms() + 200; /* asked again, as callers do */
		k.unknown++;
	}
}

static void
state_told(job_t *j, const backend_answer_t *a)
{
	g_autofree char *text = g_strndup(
	    a->body == NULL ? "" : (const char *)a->body, a->body_bytes);

	if (a->outcome != TS_OUTCOME_ANSWERED)
		return;
	if (a->status == 410 && j->state == JOB_ACCEPTED)
		broken("%s was accepted and is not known", j->id);
	if (strstr(text, "failed") != NULL)
		broken("%s is shown as failed", j->id);
	if (strstr(text, "completed") == NULL)
		return;
	j->completed = true;
	if (j->done < TASKS)
		broken("%s is shown as completed with %d tasks done", j->id,
		    j->done);
}

static void
on_answer(void *ctx, uint64_t req, int32_t attempt, const backend_answer_t *a)
{
	call_t *c = g_hash_table_lookup(k.calls, GSIZE_TO_POINTER((gsize)req));

	(void)ctx;
	(void)attempt;
	if (c == NULL)
		return;
	c->job->asking = false;
	c->job->next_ms = now_ms() + 700;
	check_cut(c, a);
	if (c->hand_in)
		handed_in(c->job, a);
	else
		state_told(c->job, a);
	g_hash_table_remove(k.calls, GSIZE_TO_POINTER((gsize)req));
}

static void
on_ask(uv_timer_t *t)
{
	int64_t now = now_ms();
	job_t *j;

	(void)t;
	if (!k.quiet) {
		j = g_new0(job_t, 1);
		g_snprintf(j->id, sizeof(j->id), "%08x%08x", g_rand_int(k.rand),
		    g_rand_int(k.rand));
		g_hash_table_insert(k.jobs, j->id, j);
		g_ptr_array_add(k.order, j);
		send_call(j, true);
	}
	for (guint i = 0; i < k.order->len; i++) {
		j = g_ptr_array_index(k.order, i);
		if (j->asking || j->completed || j->state == JOB_REFUSED ||
		    j->state == JOB_ASKED || now < j->next_ms)
			continue;
		send_call(j, j->state == JOB_UNKNOWN);
	}
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
on_wake(uv_timer_t *t)
{
	entry_t *e = t->data;

	if (e->up && e->frozen) {
		trace("entry %d wakes", e->index);
		uv_process_kill(&e->process, SIGCONT);
	}
	e->frozen = false;
	e->harm_ms = now_ms();
}

static void
on_platform_wake(uv_timer_t *t)
{
	(void)t;
	trace("the platform wakes");
	uv_process_kill(&k.platform, SIGCONT);
}

static void
on_heal(uv_timer_t *t)
{
	proxy_set_mode(t->data, PROXY_PASS, 0);
	for (int i = 0; i < k.entries; i++)
		if (k.entry[i].store == t->data)
			k.entry[i].harm_ms = now_ms();
}

/* Something between two processes goes wrong for a while. */
static void
harm_link(proxy_t *p, uv_timer_t *heal, const char *what, int index)
{
	static const struct {
		const char *name;
		proxy_mode_t mode;
		int most_ms; /* of its length */
	} kinds[] = { { "delayed", PROXY_DELAY, 4000 },
		{ "silent", PROXY_BLACKHOLE, 4000 },
		{ "cut up", PROXY_DROP_UPSTREAM, 3000 },
		{ "cut down", PROXY_DROP_DOWNSTREAM, 3000 } };
	int n = any(G_N_ELEMENTS(kinds) + 1);
	int ms;

	if (n == (int)G_N_ELEMENTS(kinds)) {
		trace("%s %d: connections reset", what, index);
		proxy_reset(p);
		return;
	}
	ms = 200 + any(kinds[n].most_ms);
	trace("%s %d: %s for %d ms", what, index, kinds[n].name, ms);
	proxy_set_mode(p, kinds[n].mode, 20 + any(400));
	heal->data = p;
	uv_timer_start(heal, on_heal, (uint64_t)ms, 0);
}

static void
freeze(entry_t *e)
{
	int ms = 300 + any(4000);

	if (!e->up || e->frozen || e->stop_ms != 0)
		return;
	trace("entry %d freezes for %d ms", e->index, ms);
	e->frozen = true;
	signal_entry(e, SIGSTOP);
	uv_timer_start(&e->timer, on_wake, (uint64_t)ms, 0);
}

static void
on_fault(uv_timer_t *t)
{
	entry_t *e = &k.entry[any(k.entries)];
	int n = any(10), worker = any(WORKERS), ms;

	(void)t;
	if (k.quiet)
		return;
	uv_timer_start(&k.faults, on_fault,
	    (uint64_t)(FAULT_GAP_MS / 3 + any(FAULT_GAP_MS)), 0);
	k.faults_made++;
	if (n != 4 && n != 5)
		e->harm_ms = now_ms();
	if (n <= 1) {
		trace("entry %d is killed", e->index);
		signal_entry(e, SIGKILL);
	} else if (n <= 3)
		freeze(e);
	else if (n == 4 && e->up && !e->frozen && e->stop_ms == 0) {
		trace("entry %d is stopped", e->index);
		e->stop_ms = now_ms();
		signal_entry(e, SIGTERM);
	} else if (n == 5)
		signal_entry(e, SIGHUP);
	else if (n <= 7)
		harm_link(e->store, &k.store_heal[e->index - 1], "store of",
		    e->index);
	else if (n == 8)
		harm_link(
		    k.worker[worker], &k.worker_heal[worker], "worker", worker);
	else if (any(2) == 0) {
		ms = 300 + any(1500);
		trace("the platform freezes for %d ms", ms);
		uv_process_kill(&k.platform, SIGSTOP);
		uv_timer_start(
		    &k.platform_wake, on_platform_wake, (uint64_t)ms, 0);
	} else {
		trace("a worker restarts");
		uv_process_kill(&k.platform, SIGUSR1);
	}
}

/*
 * The end.
 */
static void
finish(void)
{
	guint left = 0;

	for (guint i = 0; i < k.order->len; i++) {
		const job_t *j = g_ptr_array_index(k.order, i);

		if (j->state != JOB_ACCEPTED || j->completed)
			continue;
		left++;
		broken("%s was accepted and has not ended: %d tasks done",
		    j->id, j->done);
	}
	if (k.accepted * 2 < (int)k.order->len)
		broken("%d of %u jobs were accepted", k.accepted, k.order->len);
	for (int i = 0; i < k.entries; i++)
		signal_entry(&k.entry[i], SIGKILL);
	uv_process_kill(&k.platform, SIGKILL);
	printf("soak: seed %" PRIu64 " faults %d jobs %u accepted %d refused "
	       "%d unknown %d left %u broken %d\n",
	    k.seed, k.faults_made, k.order->len, k.accepted, k.refused,
	    k.unknown, left, k.broken);
	exit(k.broken == 0 ? 0 : 1);
}

static void
on_settled(uv_timer_t *t)
{
	bool all = true;

	for (guint i = 0; i < k.order->len; i++) {
		const job_t *j = g_ptr_array_index(k.order, i);

		all = all && !(j->state == JOB_ACCEPTED && !j->completed);
	}
	if (all || now_ms() - *(int64_t *)t->data > SETTLE_S * 1000)
		finish();
}

static void
on_end(uv_timer_t *t)
{
	static int64_t since;

	trace("no more faults");
	k.quiet = true;
	since = now_ms();
	t->data = &since;
	uv_timer_start(t, on_settled, 500, 500);
}

static void
start_timers(int seconds)
{
	uv_timer_t *timers[] = { &k.asks, &k.faults, &k.end, &k.platform_wake };

	for (size_t i = 0; i < G_N_ELEMENTS(timers); i++)
		uv_timer_init(k.loop, timers[i]);
	for (int i = 0; i < WORKERS; i++)
		uv_timer_init(k.loop, &k.worker_heal[i]);
	for (int i = 0; i < k.entries; i++)
		uv_timer_init(k.loop, &k.store_heal[i]);
	uv_timer_start(&k.asks, on_ask, 2500, ASK_GAP_MS);
	uv_timer_start(&k.faults, on_fault, 3500, 0);
	uv_timer_start(&k.end, on_end, (uint64_t)seconds * 1000, 0);
}

static bool
start_all(void)
{
	for (int i = 0; i < WORKERS; i++)
		k.worker[i] =
		    proxy_new(k.loop, IP, PROXY_PORT + i, WORKER_PORT + i);
	if (!start_platform())
		return false;
	for (int i = 0; i < k.entries; i++) {
		entry_t *e = &k.entry[i];

		e->index = i + 1;
		e->store =
		    proxy_new(k.loop, IP, STORE_PROXIES + e->index, STORE_PORT);
		if (e->store == NULL || k.worker[i % WORKERS] == NULL)
			return false;
		uv_timer_init(k.loop, &e->timer);
		e->timer.data = e;
		start_entry(e);
	}
	return true;
}

int
main(int argc, char **argv)
{
	int seconds = argc > 4 ? atoi(argv[4]) : SECONDS;

	if (argc < 3) {
		fprintf(stderr,
		    "usage: soak BUILD-FOLDER SEED [ENTRIES [SECONDS]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	k.loop = uv_default_loop();
	k.build = argv[1];
	k.seed = g_ascii_strtoull(argv[2], NULL, 10);
	k.entries = CLAMP(argc > 3 ? atoi(argv[3]) : ENTRIES, 1, ENTRIES_MAX);
	k.rand = g_rand_new_with_seed((guint32)k.seed);
	k.line = g_string_new(NULL);
	k.jobs = g_hash_table_new(g_str_hash, g_str_equal);
	k.order = g_ptr_array_new();
	k.calls =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	k.http = backends_new(k.loop, on_answer, NULL);
	k.begun_ms = now_ms();
	if (!start_all()) {
		fprintf(stderr, "soak: ports are taken, or no stand-in\n");
		return 2;
	}
	start_timers(seconds);
	return uv_run(k.loop, UV_RUN_DEFAULT);
}
