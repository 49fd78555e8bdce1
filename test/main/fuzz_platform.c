/*
 * Fuzzes what the adapter decodes: rows of operators and workers, bodies of
 * jobs, and the answers of the store, of workers and of the approval service,
 * which come over HTTP from a server here that damages them.  The store's answers
 * are also lists of workers with odd entries, for a scheduler that polls them.
 * Run under the sanitizers: a crash, a leak, a call that ends twice or never, or
 * a customer or worker with settings that the scheduler can't use fails.
 * usage: fuzz_platform SEED COUNT
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../../platform/platform.h"
#include "../fake/damage.h"
#include "../fake/odd_entry.h"

#define IN_FLIGHT    2 /* calls at a time; connections to an address are few */
#define TIMEOUT_MS   200
#define REQUEST_MAX  4096
#define DECODE_TIMES 20	 /* of each decoder, for each call */
#define ENTRIES_MAX  5	 /* of workers, in an answer of the store */
#define KEY_BYTES    200 /* of a row's key, and of texts in an entry */
#define STEP_MS	     50	 /* of the scheduler's time, for each turn */

static const char config_seed[] =
    "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
    "\"prefix\":\"/p/\",\"service\":\"s\",\"priority\":1,\"max_attempts\":3,"
    "\"stretch\":2.5,\"target_duration_ms\":900,\"timeout_ms\":5,"
    "\"public\":true,\"advice\":{\"decision_ms\":1}}],\"tenants\":["
    "{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,"
    "\"weight\":1.5,\"cap\":{\"cpu\":4000,\"mem_mb\":9,\"gpu\":1}},"
    "{\"name\":\"b\",\"api_keys\":[\"k3\"],\"weight\":2}],"
    "\"services\":[{\"name\":\"s\",\"size\":1.5},\"t\"],\"limits\":{\"max_"
    "header_bytes\":4096,"
    "\"max_body_bytes\":1,\"header_timeout_ms\":9,\"idle_timeout_ms\":9}}";
static const char worker_seed[] =
    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
    "\"labels\":[\"big\",\"r1\"],\"capacity\":{\"cpu\":64000,\"mem_mb\":1,"
    "\"gpu\":2},\"born\":1700000000000,\"state\":\"ready\",\"version\":\"v\","
    "\"slots\":1,\"cold_remaining_ms\":9,\"sequence\":1}";
static const char job_seed[] =
    "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":9,"
    "\"gpu\":1,\"estimate_ms\":70,\"image\":\"i\",\"target_ms\":40},"
    "{\"count\":1,\"after\":[0],\"fills\":true,\"may_miss\":1,"
    "\"anti_affinity\":2,\"requirements\":\"l\"}],\"repeat_count\":4,"
    "\"start_ms\":1700000000000,\"interval_ms\":1000}";
static const char rows_seed[] =
    "{\"rows\":[{\"key\":\"k1\",\"schema_version\":7,\"value\":\"AAEC\"},"
    "{\"key\":\"k2\",\"schema_version\":8,\"removed\":true}],"
    "\"has_more\":false,\"schema_version\":9,\"now_ms\":123456}";
static const char order_seed[] = "{\"clock_ms\":1234,\"reason\":\"fence\"}";
static const char poll_seed[] =
    "{\"clock_ms\":1234,\"born\":99,\"running\":[[\"0000000000000001.0.0.0\","
    "1,\"c\",50,800],[\"0000000000000002.0.0.0\",2,\"\",100,3]],"
    "\"ended_runs\":[[5,\"0000000000000003.0.1.0\",1,\"done\",\"\"]]}";
static const char tickets_seed[] =
    "{\"good\":[[\"w1\",\"t1\"],[\"w2\",\"t2\"]],\"valid_ms\":500}";

typedef struct {
	uv_loop_t loop;
	uv_tcp_t listener;
	int32_t port;
	platform_t *platform;
	GRand *rnd;
	uint8_t *answered; /* by number of a call: how often it ended */
	uint32_t ncalls, begun, ended, ok, bad;
	int failed;	  /* calls that ended twice, and bad customers */
	uint64_t touched; /* sum of all that was decoded, so that it is read */
	uv_idle_t idle;
	/*
	 * A scheduler that owns its cell, whose list of workers is that of the
	 * store's answers.
	 */
	sched_t *sched;
	char *address; /* of the server, the only one that an entry may name */
	int64_t now_ms, version;
	bool claiming, loading, writing;
	uint32_t listed, refused;   /* entries of workers */
	uint32_t polls, open_calls; /* of the scheduler */
} fuzz_t;

/* A connection to the server. */
typedef struct {
	uv_tcp_t tcp;
	fuzz_t *fuzz;
	char request[REQUEST_MAX];
	size_t n;
} conn_t;

typedef struct {
	uv_write_t write;
	GByteArray *bytes;
	conn_t *conn;
	bool close;
} answer_t;

/* A call's number, for the callbacks with only a context. */
typedef struct {
	fuzz_t *fuzz;
	uint32_t number;
} call_t;

static bool
chance(fuzz_t *f, int32_t pct)
{
	return g_rand_int_range(f->rnd, 0, 100) < pct;
}

static void
touch(fuzz_t *f, const void *bytes, size_t n)
{
	for (size_t i = 0; i < n; i++)
		f->touched += ((const uint8_t *)bytes)[i];
}

static void
touch_text(fuzz_t *f, const char *s)
{
	touch(f, s, strlen(s));
}

/*
 * The decoders that need no server.
 */
static void
decode_config(fuzz_t *f, const uint8_t *b, size_t n)
{
	g_autoptr(GError) err = NULL;
	platform_config_t *cfg = platform_config_parse(b, n, &err);

	for (guint i = 0; cfg != NULL && i < cfg->queues->len; i++) {
		platform_queue_t *q =
		    &g_array_index(cfg->queues, platform_queue_t, i);

		touch_text(f, q->name);
		touch_text(f, q->prefix);
	}
	for (guint i = 0; cfg != NULL && i < cfg->customers->len; i++) {
		sched_customer_t *c =
		    &g_array_index(cfg->customers, sched_customer_t, i);

		touch_text(f, c->name);
		f->failed += c->name[0] == '\0' || !(c->weight > 0) ||
		    c->quota_cpu_milli < 0 || c->quota_mem_mb < 0 ||
		    c->quota_gpu < 0;
	}
	if (cfg != NULL && platform_find_customer(cfg, "k1") != NULL)
		f->touched++;
	platform_config_free(cfg);
}

static void
decode_worker(fuzz_t *f, const uint8_t *b, size_t n)
{
	g_autoptr(GError) err = NULL;
	platform_worker_t w;

	if (!platform_worker_parse("w", b, n, &w, &err))
		return;
	touch_text(f, w.info.address);
	touch_text(f, w.info.rack);
	platform_worker_clear(&w);
}

static void
decode_job(fuzz_t *f, const uint8_t *b, size_t n)
{
	g_autoptr(GError) err = NULL;
	Sched__Job *j = platform_job_parse((const char *)b, n, &err);
	g_autofree uint8_t *row = NULL;
	const char *why;

	if (j == NULL)
		return;
	if (sched_job_valid(j, &why)) {
		row = g_malloc(sched__job__get_packed_size(j) + 1);
		touch(f, row, sched__job__pack(j, row));
	}
	sched__job__free_unpacked(j, NULL);
}

static void
decode(fuzz_t *f)
{
	static const struct {
		const char *seed;
		void (*fn)(fuzz_t *f, const uint8_t *b, size_t n);
	} decoders[] = { { config_seed, decode_config },
		{ worker_seed, decode_worker }, { job_seed, decode_job } };

	for (size_t i = 0; i < G_N_ELEMENTS(decoders) * DECODE_TIMES; i++) {
		size_t k = i % G_N_ELEMENTS(decoders);
		g_autoptr(GByteArray) b = g_byte_array_new();

		g_byte_array_append(b, (const uint8_t *)decoders[k].seed,
		    (guint)strlen(decoders[k].seed));
		damage_bytes(f->rnd, b);
		decoders[k].fn(f, b->data, b->len);
	}
}

/*
 * The server.
 */
static void
on_conn_closed(uv_handle_t *h)
{
	g_free(h->data);
}

static void
close_conn(conn_t *c)
{
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

static void
on_answer_written(uv_write_t *w, int status)
{
	answer_t *a = w->data;

	if (a->close || status != 0)
		close_conn(a->conn);
	g_byte_array_unref(a->bytes);
	g_free(a);
}

/* The body that the caller of a path expects. */
static const char *
body_for(const char *request)
{
	static const struct {
		const char *path, *body;
	} bodies[] = { { "/-/rows", rows_seed }, { "/-/hold", poll_seed },
		{ "/-/advise", tickets_seed } };

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		if (strstr(request, bodies[i].path) != NULL)
			return bodies[i].body;
	return order_seed;
}

/* Rows of the table of workers; free it. */
static char *
entries_body(fuzz_t *f)
{
	json_t *rows = json_array(), *j;
	char *text;

	for (int32_t i = g_rand_int_range(f->rnd, 1, ENTRIES_MAX + 1); i > 0;
	     i--) {
		g_autofree char *key = odd_entry_key(f->rnd);
		g_autofree char *value = odd_entry_text(f->rnd, f->address);
		g_autofree char *b64 =
		    g_base64_encode((const guchar *)value, strlen(value));
		json_t *row = json_pack("{s:s,s:I,s:s}", "key", key,
		    "schema_version", (json_int_t)i, "value", b64);

		if (chance(f, 5))
			json_object_set_new(row, "removed", json_true());
		else if (chance(f, 3))
			json_object_set_new(row, "value", json_integer(7));
		json_array_append_new(rows, row);
	}
	j = json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has_more",
	    chance(f, 20), "schema_version", (json_int_t)9, "now_ms",
	    (json_int_t)123456);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

/* Answers a request; damages the body, or all of the answer. */
static void
send_answer(conn_t *c)
{
	static const int statuses[] = { 200, 200, 200, 200, 409, 412, 503,
		100 };
	fuzz_t *f = c->fuzz;
	int status =
	    statuses[g_rand_int_range(f->rnd, 0, G_N_ELEMENTS(statuses))];
	answer_t *a = g_new0(answer_t, 1);
	g_autoptr(GByteArray) body = g_byte_array_new();
	g_autofree char *head = NULL;
	bool entries = strstr(c->request, "/-/rows") != NULL && chance(f, 60);
	char *made = entries ? entries_body(f) : NULL;
	const char *seed = entries ? made : body_for(c->request);
	uv_buf_t buf;

	g_byte_array_append(body, (const uint8_t *)seed, (guint)strlen(seed));
	free(made);
	if (!entries && chance(f, 60))
		damage_bytes(f->rnd, body);
	head = g_strdup_printf(
	    "HTTP/1.1 %d X\r\nContent-Length: %u\r\n\r\n", status, body->len);
	a->bytes = g_byte_array_new();
	g_byte_array_append(
	    a->bytes, (const uint8_t *)head, (guint)strlen(head));
	g_byte_array_append(a->bytes, body->data, body->len);
	a->conn = c;
	/* After a damaged head the client could wait for long. */
	a->close = status == 100 || chance(f, 30);
	if (chance(f, 10)) {
		damage_bytes(f->rnd, a->bytes);
		a->close = true;
	}
	a->write.data = a;
	buf = uv_buf_init((char *)a->bytes->data, a->bytes->len);
	uv_write(&a->write, (uv_stream_t *)&c->tcp, &buf, 1, on_answer_written);
}

static void
on_conn_alloc(uv_handle_t *h, size_t want, uv_buf_t *buf)
{
	conn_t *c = h->data;

	(void)want;
	*buf =
	    uv_buf_init(c->request + c->n, (unsigned)(REQUEST_MAX - 1 - c->n));
}

/* Whether a request has been read whole, with its body. */
static bool
is_whole(const conn_t *c)
{
	const char *end = strstr(c->request, "\r\n\r\n");
	const char *length = strstr(c->request, "Content-Length:");
	size_t body = 0;

	if (end == NULL)
		return false;
	if (length != NULL && length < end)
		body = strtoul(length + strlen("Content-Length:"), NULL, 10);
	return c->n >= (size_t)(end + 4 - c->request) + body;
}

static void
on_conn_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	conn_t *c = st->data;

	(void)buf;
	if (n < 0) {
		close_conn(c);
		return;
	}
	c->n += (size_t)n;
	c->request[c->n] = '\0';
	if (!is_whole(c))
		return;
	send_answer(c);
	c->n = 0;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	fuzz_t *f = listener->data;
	conn_t *c = g_new0(conn_t, 1);

	(void)status;
	c->fuzz = f;
	uv_tcp_init(&f->loop, &c->tcp);
	c->tcp.data = c;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) == 0)
		uv_read_start(
		    (uv_stream_t *)&c->tcp, on_conn_alloc, on_conn_read);
	else
		close_conn(c);
}

/*
 * The calls.
 */
static void
end_call(fuzz_t *f, uint64_t number)
{
	f->failed += f->answered[number]++ != 0;
	f->ended++;
}

static bool
is_short_text(const char *s)
{
	size_t n = strlen(s);

	for (size_t i = 0; i < n; i++)
		if (g_ascii_iscntrl(s[i]))
			return false;
	return n > 0 && n <= KEY_BYTES;
}

/* Whether the scheduler may be told of a worker. */
static bool
is_usable(const fuzz_t *f, const sched_worker_info_t *i)
{
	for (const char *const *l = i->labels; *l != NULL; l++)
		if (!is_short_text(*l))
			return false;
	return strcmp(i->address, f->address) == 0 && is_short_text(i->id) &&
	    strchr(i->id, ' ') == NULL && is_short_text(i->service) &&
	    is_short_text(i->zone) && i->cpu_milli >= 0 &&
	    i->cpu_milli <= SCHED_AMOUNT_MAX && i->mem_mb >= 0 &&
	    i->mem_mb <= SCHED_AMOUNT_MAX && i->gpu >= 0 &&
	    i->gpu <= SCHED_AMOUNT_MAX && i->started_ms > 0 &&
	    i->started_ms < SCHED_NUMBER_MAX;
}

/* Takes the row of a worker, as the daemon does. */
static void
take_entry(fuzz_t *f, const store_row_t *row)
{
	g_autoptr(GError) err = NULL;
	platform_worker_t w;

	if (row->bytes == NULL ||
	    !platform_worker_parse(
		row->key, row->bytes, row->nbytes, &w, &err)) {
		f->refused += row->bytes != NULL;
		sched_worker_left(f->sched, row->key, f->now_ms);
		return;
	}
	f->listed++;
	if (!is_usable(f, &w.info)) {
		f->failed++;
		fprintf(stderr, "entry %.40s names %.40s\n", row->key,
		    w.info.address);
	}
	sched_worker_listed(f->sched, &w.info, f->now_ms);
	platform_worker_clear(&w);
}

static void
on_rows(void *ctx, store_result_t r, const store_answer_t *a)
{
	call_t *c = ctx;

	for (size_t i = 0; i < a->nrows; i++) {
		touch_text(c->fuzz, a->rows[i].key);
		touch(c->fuzz, a->rows[i].bytes, a->rows[i].nbytes);
		if (r == STORE_OK)
			take_entry(c->fuzz, &a->rows[i]);
	}
	c->fuzz->ok += r == STORE_OK;
	end_call(c->fuzz, c->number);
	g_free(c);
}

static void
on_order(void *ctx, uint64_t id, sched_order_result_t r, int64_t clock_ms)
{
	fuzz_t *f = ctx;

	f->touched += (uint64_t)clock_ms;
	f->ok += r == SCHED_ORDER_OK;
	end_call(f, id);
}

static void
on_poll(void *ctx, uint64_t id, const char *worker, sched_order_result_t r,
    const sched_report_t *report)
{
	fuzz_t *f = ctx;

	touch_text(f, worker);
	for (size_t i = 0; report != NULL && i < report->nrunning; i++) {
		touch_text(f, report->running[i].task);
		touch_text(f, report->running[i].checkpoint);
		f->failed += report->running[i].percent < 0 ||
		    report->running[i].percent > 100;
	}
	for (size_t i = 0; report != NULL && i < report->nended; i++)
		touch_text(f, report->ended[i].task);
	f->ok += r == SCHED_ORDER_OK;
	if (report == NULL || !report->late)
		end_call(f, id);
}

static void
on_tickets(void *ctx, uint64_t id, const sched_approval_t *a)
{
	fuzz_t *f = ctx;

	for (size_t i = 0; a != NULL && i < a->napproved; i++) {
		touch_text(f, a->approved[i].worker);
		touch_text(f, a->approved[i].ticket);
	}
	f->ok += a != NULL;
	end_call(f, id);
}

static void
call_store(fuzz_t *f, uint32_t number)
{
	store_scan_t scan = { "t", "p", "a", "b", 10, TIMEOUT_MS };
	store_feed_t feed = { "t", 1, 0, TIMEOUT_MS };
	store_put_t put = { "k", (const uint8_t *)"v", 1 };
	store_condition_t condition = { "k", 1 };
	store_tx_t tx = { "t", "p", &condition, 1, &put, 1, TIMEOUT_MS };
	call_t *c = g_new0(call_t, 1);

	c->fuzz = f;
	c->number = number;
	if (chance(f, 33))
		store_scan(f->platform, &scan, on_rows, c);
	else if (chance(f, 50))
		store_feed(f->platform, &feed, on_rows, c);
	else
		store_tx(f->platform, &tx, on_rows, c);
}

static void
call_worker(fuzz_t *f, uint32_t number)
{
	g_autofree char *address = g_strdup_printf("127.0.0.1:%d", f->port);
	sched_order_t o = { .id = number,
		.kind = (sched_order_kind_t)g_rand_int_range(f->rnd, 0, 3),
		.worker = "w",
		.address = address,
		.task = "t",
		.run = 1,
		.token = 1,
		.spec = "s",
		.checkpoint = "",
		.ticket = "" };
	sched_poll_t p = {
		.id = number, .worker = "w", .address = address, .token = 1
	};

	if (chance(f, 30))
		platform_send_order(f->platform, &o, on_order, f);
	else
		platform_poll_worker(f->platform, &p, on_poll, f);
}

static void
call_approval(fuzz_t *f, uint32_t number)
{
	static const char *const workers[] = { "w1", "w2" };
	sched_approval_request_t a = { number, "s", workers, 2 };

	platform_request_approval(f->platform, &a, on_tickets, f);
}

/*
 * The scheduler: the store takes all of its writes, and it polls the workers of
 * its list at the server.
 */
static void
do_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	fuzz_t *f = ctx;

	(void)version;
	(void)owner;
	f->claiming = true;
}

static void
do_load(void *ctx)
{
	fuzz_t *f = ctx;

	f->loading = true;
}

static void
do_write(void *ctx, int64_t version, const GArray *puts)
{
	fuzz_t *f = ctx;

	(void)version;
	(void)puts;
	f->writing = true;
}

static void
on_ordered(void *ctx, uint64_t id, sched_order_result_t r, int64_t clock_ms)
{
	fuzz_t *f = ctx;

	f->open_calls--;
	sched_order_done(f->sched, id, r, clock_ms, f->now_ms);
}

/* Stops of runs that no job has, as the workers' answers list some. */
static void
do_order(void *ctx, const sched_order_t *o)
{
	fuzz_t *f = ctx;

	f->open_calls++;
	platform_send_order(f->platform, o, on_ordered, f);
}

static void
on_polled(void *ctx, uint64_t id, const char *worker, sched_order_result_t r,
    const sched_report_t *report)
{
	fuzz_t *f = ctx;

	f->open_calls -= report == NULL || !report->late;
	sched_poll_done(f->sched, id, worker, r, report, f->now_ms);
}

static void
do_poll(void *ctx, const sched_poll_t *poll)
{
	fuzz_t *f = ctx;

	f->polls++;
	f->open_calls++;
	platform_poll_worker(f->platform, poll, on_polled, f);
}

static void
do_event(void *ctx, sched_evt_t number, const char *subject, char *fields)
{
	fuzz_t *f = ctx;

	(void)number;
	touch_text(f, subject);
	g_free(fields);
}

static void
turn_sched(fuzz_t *f)
{
	f->now_ms += STEP_MS;
	if (f->claiming) {
		f->claiming = false;
		sched_claim_done(
		    f->sched, SCHED_WRITE_OK, ++f->version, f->now_ms);
	} else if (f->loading) {
		f->loading = false;
		sched_load_done(f->sched, f->now_ms);
	} else if (f->writing) {
		f->writing = false;
		sched_write_done(
		    f->sched, SCHED_WRITE_OK, ++f->version, f->now_ms);
	} else if (!sched_is_owner(f->sched)) {
		sched_row_t none = { .key = SCHED_KEY_OWNER };

		sched_owner_row_read(f->sched, &none, f->now_ms);
	}
	if (f->open_calls < IN_FLIGHT)
		sched_tick(f->sched, f->now_ms, f->now_ms);
}

static void
start_sched(fuzz_t *f)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .claim = do_claim,
		    .load = do_load,
		    .write = do_write,
		    .order = do_order,
		    .poll = do_poll,
		    .event = do_event },
		.ctx = f };

	f->now_ms = 1000;
	f->sched = sched_new(&o);
}

static void
on_idle(uv_idle_t *h)
{
	fuzz_t *f = h->data;

	turn_sched(f);
	while (f->begun < f->ncalls && f->begun - f->ended < IN_FLIGHT) {
		uint32_t number = f->begun++;

		decode(f);
		switch (g_rand_int_range(f->rnd, 0, 5)) {
		case 0:
		case 1:
			call_store(f, number);
			break;
		case 2:
		case 3:
			call_worker(f, number);
			break;
		default:
			call_approval(f, number);
		}
	}
	if (f->ended >= f->ncalls && f->open_calls == 0)
		uv_stop(&f->loop);
}

static void
on_bad_input(void *ctx, const char *from, const char *why)
{
	fuzz_t *f = ctx;

	touch_text(f, from);
	touch_text(f, why);
	f->bad++;
}

static void
start(fuzz_t *f)
{
	struct sockaddr_in a;
	struct sockaddr_storage bound;
	int n = sizeof(bound);
	platform_opts_t o = {
		.loop = &f->loop, .on_bad_input = on_bad_input, .ctx = f
	};

	uv_loop_init(&f->loop);
	uv_tcp_init(&f->loop, &f->listener);
	uv_ip4_addr("127.0.0.1", 0, &a);
	f->listener.data = f;
	if (uv_tcp_bind(&f->listener, (struct sockaddr *)&a, 0) != 0 ||
	    uv_listen((uv_stream_t *)&f->listener, 128, on_connection) != 0 ||
	    uv_tcp_getsockname(&f->listener, (struct sockaddr *)&bound, &n) !=
		0) {
		fprintf(stderr, "fuzz_platform: cannot listen\n");
		exit(2);
	}
	f->port = g_ntohs(((struct sockaddr_in *)&bound)->sin_port);
	f->address = g_strdup_printf("127.0.0.1:%d", f->port);
	o.store_addr = o.approval_addr = f->address;
	f->platform = platform_new(&o);
	start_sched(f);
	uv_idle_init(&f->loop, &f->idle);
	f->idle.data = f;
	uv_idle_start(&f->idle, on_idle);
}

int
main(int argc, char **argv)
{
	uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;
	static fuzz_t f;

	f.ncalls = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1000;
	f.rnd = g_rand_new_with_seed(seed);
	f.answered = g_malloc0(f.ncalls);
	start(&f);
	uv_run(&f.loop, UV_RUN_DEFAULT);
	g_rand_free(f.rnd);
	g_free(f.answered);
	sched_free(f.sched);
	printf("fuzz_platform: seed %u, %u calls, %u answered, %u malformed, "
	       "%u entries listed, %u refused, %u polls, %d failed\n",
	    seed, f.ended, f.ok, f.bad, f.listed, f.refused, f.polls, f.failed);
	/* Without answers, or without bad ones, little was decoded. */
	return f.failed != 0 || f.ok == 0 || f.bad == 0 || f.listed == 0 ||
	    f.refused == 0 || f.polls == 0;
}
