/*
 * Parts of a scheduler for unit tests of quotas; see quota_fixture.h.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "../../sched/sched.h"
#include "../../sched/image_set.h"
#include "../../sched/headroom.h"
#include "../../sched/run_time.h"
#include "../../sched/types.h"
#include "../../sched/customer.h"
#include "../../sched/internal.h"
#include "quota_fixture.h"
#include "sched_fixture.h"

#define NOW_MS 100000

quota_sent_t sent;

static void
count_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	sent.starts += o->kind == SCHED_START;
	sent.stops += o->kind == SCHED_STOP;
}

static void
keep_event(void *ctx, sched_evt_t n, const char *subject, char *fields)
{
	(void)ctx;
	if (n == SCHED_EVT_QUOTA) {
		sent.quota_events++;
		g_snprintf(sent.quota_event, sizeof(sent.quota_event), "%s %s",
		    subject, fields);
	}
	if (n == SCHED_EVT_LOAD)
		g_strlcpy(sent.load_event, fields, sizeof(sent.load_event));
	g_free(fields);
}

static void
ignore_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	(void)p;
}

sched_t *
quota_owner(void)
{
	sched_t *s = new_owner();

	memset(&sent, 0, sizeof(sent));
	s->opts.port.order = count_order;
	s->opts.port.event = keep_event;
	s->opts.port.poll = ignore_poll;
	s->now_ms = s->wall_ms = NOW_MS;
	return s;
}

void
set_customer(sched_t *s, const sched_customer_t *c)
{
	sched_customer_t named = *c;

	named.name = "c";
	named.weight = 1;
	sched_set_customers(s, &named, 1, s->now_ms);
}

worker_t *
add_worker_now(sched_t *s, const char *id)
{
	int64_t now_ms = s->now_ms;
	worker_t *w = add_worker(s, id);

	s->now_ms = now_ms;
	return w;
}

step_t *
queue_step(
    sched_t *s, const char *id, const char *customer, const Sched__Step *d)
{
	job_t *j = add_job(s, id, d, s->wall_ms);
	step_t *st = first_step(j);

	if (customer != NULL)
		j->customer = customer_get(s, customer);
	st->ready = true;
	queue_add_step(s, st);
	return st;
}

void
quota_pass(sched_t *s)
{
	queue_resort(s);
	scan_begin_round(s);
	start_waiting_tasks(s);
}

void
end_run(sched_t *s, task_t *t)
{
	run_t *r = t->run;

	cr_assert_not_null(r);
	job_mark_task_done(t);
	run_remove(s, r);
}

run_t *
first_run(sched_t *s, const worker_t *w)
{
	GHashTableIter it;
	void *v = NULL;

	(void)s;
	g_hash_table_iter_init(&it, w->runs);
	cr_assert(g_hash_table_iter_next(&it, NULL, &v));
	return v;
}

void
let_start(sched_t *s)
{
	s->cell.confirmed_ms = s->now_ms;
	for (int32_t i = 0; i < SCHED_NFEEDS; i++)
		sched_feed_read(s, (sched_feed_t)i, s->now_ms);
}

job_t *
read_job(sched_t *s, const char *id, const Sched__Step *d,
    const sched_customer_t *c, int64_t version)
{
	Sched__Step *list[1] = { (Sched__Step *)d };
	Sched__Job def = job_def(list, 1, s->wall_ms);
	g_autofree uint8_t *b = NULL;
	sched_row_t row = { .key = id, .version = version };

	def.customer = "c";
	def.quota_cpu_milli = c->quota_cpu_milli;
	def.quota_mem_mb = c->quota_mem_mb;
	def.quota_gpu = c->quota_gpu;
	row.nbytes = sched__job__get_packed_size(&def);
	b = g_malloc(row.nbytes);
	sched__job__pack(&def, b);
	row.bytes = b;
	sched_row_read(s, &row, s->now_ms);
	return g_hash_table_lookup(s->jobs, id);
}

void
read_end(sched_t *s, const char *id, Sched__State state, int64_t ended_ms)
{
	Sched__Progress p = SCHED__PROGRESS__INIT;
	g_autofree char *key = g_strconcat(id, SCHED_KEY_PROGRESS, NULL);
	g_autofree uint8_t *b = NULL;
	sched_row_t row = { .key = key, .version = 1 };

	p.state = state;
	p.ended_ms = ended_ms;
	row.nbytes = sched__progress__get_packed_size(&p);
	b = g_malloc(row.nbytes);
	sched__progress__pack(&p, b);
	row.bytes = b;
	sched_row_read(s, &row, s->now_ms);
}

sched_t *
quota_successor(void)
{
	sched_t *s = quota_owner();

	s->cell.state = CELL_LOADING;
	s->cell.token = 10;
	s->cell.had_predecessor = true;
	return s;
}
