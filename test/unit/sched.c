/*
 * Policies of the scheduler, each for the load pattern it answers.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <math.h>

#include <criterion/criterion.h>
#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../../sched/internal.h"

#define VM_CPU 64000

static void
ignore(void *ctx, sched_evt_t n, const char *subject, char *fields)
{
	(void)ctx;
	(void)n;
	(void)subject;
	g_free(fields);
}

static sched_t *
sched(void)
{
	sched_opts_t o = {
		.name = "e", .max_lease_ms = 6000, .port = { .event = ignore }
	};

	return sched_new(&o);
}

static job_t *
job(sched_t *s, const char *id, const Sched__Step *step, int64_t accepted_ms)
{
	Sched__Job d = SCHED__JOB__INIT;
	Sched__Step *list[1] = { (Sched__Step *)step };
	g_autofree uint8_t *b = NULL;
	size_t n;
	job_t *j;

	d.queue = "q";
	d.service = "s";
	d.accepted_ms = accepted_ms;
	d.max_attempts = 2;
	d.stretch = 2;
	d.target_ms = 1000;
	d.n_steps = 1;
	d.steps = list;
	n = sched__job__get_packed_size(&d);
	b = g_malloc(n);
	sched__job__pack(&d, b);
	j = job_new(s, id, sched__job__unpack(NULL, n, b));
	g_hash_table_insert(s->jobs, j->id, j);
	return j;
}

static step_t *
first_step(job_t *j)
{
	return &((occ_t *)g_ptr_array_index(j->occs, 0))->steps[0];
}

static vm_t *
vm(sched_t *s, const char *id)
{
	sched_worker_info_t i = { .id = id,
		.service = "s",
		.address = "a:1",
		.zone = "z",
		.rack = "r",
		.cpu_milli = VM_CPU,
		.mem_mb = 256000,
		.born_ms = 1 };
	vm_t *w;

	sched_worker_listed(s, &i, 0);
	w = vm_get(s, id);
	w->stored = w->answered = true;
	w->open_pct = 100;
	return w;
}

static Sched__Step
step_of(const char *image, int64_t cpu, bool filler, int64_t target)
{
	Sched__Step st = SCHED__STEP__INIT;

	st.count = 1;
	st.cpu_milli = cpu;
	st.mem_mb = 1000;
	st.estimate_ms = 1000;
	st.image = (char *)image;
	st.filler = filler;
	st.tail_target_ms = target;
	st.lasting = target > 0;
	return st;
}

/* Pattern: one of two filler images doubles the tail of a serving image. */
Test(sched, harm_is_learned_by_pair)
{
	sched_t *s = sched();
	int32_t serving = harm_image(s, "serve"), bad = harm_image(s, "bad"),
		good = harm_image(s, "good");
	double use[IMAGES_MAX] = { 0 };

	for (int i = 0; i < 40; i++) {
		memset(use, 0, sizeof(use));
		use[bad] = i % 2 == 0 ? 0.1 : 0;
		use[good] = i % 3 == 0 ? 0.2 : 0;
		/* A tenth of "bad" takes a headroom of 2.5 to 1.5. */
		harm_learn(s, serving, 10 * use[bad] + i % 5 * 0.02, use);
		harm_solve(s);
	}
	cr_expect_gt(harm_of(s, serving, bad), 8);
	cr_expect_lt(harm_of(s, serving, good), 1);
	sched_free(s);
}

static sched_running_t
running(const char *task, int32_t percent, int64_t measure)
{
	sched_running_t r = { .task = task,
		.run = 1,
		.checkpoint = "",
		.percent = percent,
		.metric = measure };

	return r;
}

/*
 * Pattern: tasks of one serving step whose own load swings, one of them
 * beside a filler that does no harm.
 */
Test(sched, own_load_is_not_taken_for_harm)
{
	sched_t *s = sched();
	Sched__Step serve = step_of("serve", 10000, false, 50);
	Sched__Step fill = step_of("fill", 7000, true, 0);
	const char *names[] = { "0000000000000001.0.0.0",
		"0000000000000001.0.0.1" };
	vm_t *w[] = { vm(s, "beside"), vm(s, "alone") };
	int32_t serving, filler;

	serve.count = 2;
	serving = first_step(job(s, "0000000000000001", &serve, 0))->image;
	filler = first_step(job(s, "0000000000000002", &fill, 0))->image;
	s->cell.state = CELL_OWNED;
	for (int i = 0; i < 60; i++) {
		/* A load of 0.45, half as much more or less over 14 s. */
		double load = 0.45 + 0.225 * sin(2 * G_PI * i / 28);
		int64_t tail = (int64_t)(10 / (1 - load));

		s->now += 500;
		for (int k = 0; k < 2; k++) {
			sched_running_t run[] = { running(names[k], 100, tail),
				running("0000000000000002.0.0.0", 10, 7000) };
			sched_report_t rep = { .clock_ms = s->now,
				.born_ms = 1,
				.running = run,
				.nrunning = k == 0 ? 2 : 1 };

			run_report(s, w[k], &rep, s->now - 10);
			noise_report(s, w[k]);
		}
		harm_solve(s);
	}
	cr_expect_eq(harm_of(s, serving, filler), 0);
	sched_free(s);
}

/* Pattern: a harmful filler ends right before a report on the tail. */
Test(sched, a_filler_that_has_just_gone_takes_its_harm_along)
{
	/* Gone for so long before the report; the last no longer counts. */
	static const int64_t cases[] = { 50, 600 };
	double harm[G_N_ELEMENTS(cases)];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = sched();
		Sched__Step serve = step_of("serve", 10000, false, 50);
		Sched__Step bad = step_of("bad", 7000, true, 0);
		Sched__Step good = step_of("good", 7000, true, 0);
		int32_t serving =
			    first_step(job(s, "0000000000000001", &serve, 0))
				->image,
			other = first_step(job(s, "0000000000000003", &good, 0))
				    ->image;
		sched_running_t before[] = { running("0000000000000001.0.0.0",
						 100, 20),
			running("0000000000000002.0.0.0", 50, 6000),
			running("0000000000000003.0.0.0", 50, 6000) };
		sched_running_t after[] = { before[0], before[2] };
		sched_ended_t end = { .seq = 1,
			.task = "0000000000000002.0.0.0",
			.run = 1,
			.outcome = SCHED_RUN_STOPPED,
			.checkpoint = "" };
		sched_report_t rep = { .clock_ms = 1,
			.born_ms = 1,
			.running = before,
			.nrunning = 3 };
		vm_t *w = vm(s, "w");

		job(s, "0000000000000002", &bad, 0);
		s->cell.state = CELL_OWNED;
		s->now = 1000;
		run_report(s, w, &rep, 990);
		rep.running = after;
		rep.nrunning = 2;
		rep.ended = &end;
		rep.nended = 1;
		s->now = 2000;
		run_report(s, w, &rep, 1990);
		s->now += cases[i];
		after[0].metric = 100;
		rep.nended = 0;
		run_report(s, w, &rep, s->now - 10);
		first_step(g_hash_table_lookup(s->jobs, "0000000000000001"))
		    ->headroom = 2.5;
		first_step(g_hash_table_lookup(s->jobs, "0000000000000001"))
		    ->headroom_ms = s->now;
		noise_report(s, w);
		harm_solve(s);
		harm[i] = harm_of(s, serving, other);
		sched_free(s);
	}
	cr_expect_lt(
	    harm[0], 0.75 * harm[1], "%.1f and %.1f", harm[0], harm[1]);
}

/* Pattern: a tail stays over its target beside a filler held harmless. */
Test(sched, a_tail_that_stays_high_slows_all_fillers)
{
	sched_t *s = sched();
	Sched__Step serve = step_of("serve", 10000, false, 50);
	Sched__Step fill = step_of("fill", 7000, true, 0);
	sched_running_t run[] = { running("0000000000000001.0.0.0", 100, 52),
		running("0000000000000002.0.0.0", 10, 100) };
	sched_report_t rep = {
		.clock_ms = 1, .born_ms = 1, .running = run, .nrunning = 2
	};
	vm_t *w = vm(s, "w");
	const run_t *r;

	job(s, "0000000000000001", &serve, 0);
	job(s, "0000000000000002", &fill, 0);
	s->cell.state = CELL_OWNED;
	for (int i = 0; i < 4; i++) {
		s->now += 500;
		run_report(s, w, &rep, s->now - 10);
		noise_report(s, w);
		r = g_hash_table_lookup(w->runs, "0000000000000002.0.0.0");
		cr_expect_eq(r->pace_want, i < 2 ? 100 : 0, "report %d: %d", i,
		    r->pace_want);
	}
	sched_free(s);
}

/* Pattern: an owner is killed, and the next has seen no tail yet. */
Test(sched, harm_is_known_to_the_next_owner)
{
	sched_t *a = sched(), *b = sched();
	Sched__Step bad = step_of("bad", 7000, true, 0);
	int32_t serving = harm_image(a, "serve"), filler;
	double use[IMAGES_MAX] = { 0 };
	sched_row_t row = { .key = SCHED_KEY_INTERFERENCE, .version = 9 };
	g_autoptr(GByteArray) bytes = NULL;

	filler = first_step(job(a, "0000000000000002", &bad, 0))->image;
	use[filler] = 0.1;
	for (int i = 0; i < 20; i++)
		harm_learn(a, serving, 1.2, use);
	harm_solve(a);
	a->now = 10000;
	bytes = recall_pack(a);
	cr_assert_not_null(bytes);
	cr_expect_null(recall_pack(a), "written twice at once");
	row.bytes = bytes->data;
	row.nbytes = bytes->len;
	harm_image(b, "other"); /* images have other numbers there */
	b->cell.state = CELL_LOADING;
	sched_row_read(b, &row, 1);
	cr_expect_float_eq(
	    harm_of(b, harm_image(b, "serve"), harm_image(b, "bad")),
	    harm_of(a, serving, filler), 0.01);
	row.nbytes = 3;
	sched_row_read(b, &row, 1);
	sched_free(a);
	sched_free(b);
}

/* Pattern: a burst of harmful fillers while serving tasks hold most workers. */
Test(sched, harmful_fillers_go_where_nothing_serves)
{
	sched_t *s = sched();
	Sched__Step serve = step_of("serve", 13000, false, 50);
	Sched__Step bad = step_of("bad", 7000, true, 0);
	Sched__Step good = step_of("good", 7000, true, 0);
	double use[IMAGES_MAX] = { 0 };
	vm_t *busy = vm(s, "busy"), *empty = vm(s, "empty");
	job_t *js = job(s, "0000000000000001", &serve, 0);
	job_t *jb = job(s, "0000000000000002", &bad, 0);
	job_t *jg = job(s, "0000000000000003", &good, 0);
	step_t *sb = first_step(jb), *sg = first_step(jg);

	vm_take(busy, first_step(js), 1);
	for (int i = 0; i < 30; i++) {
		memset(use, 0, sizeof(use));
		use[sb->image] = i % 2 == 0 ? 0.1 : 0;
		use[sg->image] = i % 3 == 0 ? 0.1 : 0;
		harm_learn(s, first_step(js)->image, 15 * use[sb->image], use);
	}
	harm_solve(s);
	noise_openness(s);
	cr_expect_eq(place_task(s, sb, &sb->tasks[0], NULL), empty);
	/* What does no harm leaves the empty worker to what does. */
	cr_expect_eq(place_task(s, sg, &sg->tasks[0], NULL), busy);
	empty->listed = false;
	cr_expect_null(place_task(s, sb, &sb->tasks[0], NULL));
	sched_free(s);
}

/* Pattern: a gang whose tasks must be spread, on few workers with much room. */
Test(sched, a_gang_is_spread)
{
	static const struct {
		int32_t per_worker;
		bool placed;
		int32_t most; /* of its tasks on one worker */
	} cases[] = { { 0, true, 4 }, { 2, true, 2 }, { 1, false, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = sched();
		Sched__Step d = step_of("", 1000, false, 0);
		vm_t *w[2] = { vm(s, "a"), vm(s, "b") }, *at[4];
		int32_t on[2] = { 0, 0 };
		step_t *st;

		d.count = 4;
		d.gang = true;
		d.per_worker = cases[i].per_worker;
		st = first_step(job(s, "0000000000000001", &d, 0));
		cr_expect_eq(place_gang(s, st, at), cases[i].placed,
		    "%d a worker", d.per_worker);
		for (int k = 0; k < 4 && cases[i].placed; k++)
			on[at[k] == w[1]]++;
		cr_expect_leq(MAX(on[0], on[1]), cases[i].most,
		    "%d a worker: %d and %d", d.per_worker, on[0], on[1]);
		sched_free(s);
	}
}

/* Pattern: all room is wanted by work of different kinds at once. */
Test(sched, order_of_kinds)
{
	static const struct {
		const char *what;
		bool filler, lasting;
		int64_t accepted_ms;
	} cases[] = {
		/* In the order in which they must come. */
		{ "a short request in time", false, false, 10000 },
		{ "a task that lasts", false, true, 0 },
		{ "batch work in time", true, false, 10000 },
		{ "batch work that is late", true, false, 6500 },
		{ "batch work nobody waits for", true, false, 0 },
	};
	sched_t *s = sched();
	step_t *st[G_N_ELEMENTS(cases)];
	GSequenceIter *it;

	s->wall = 10000;
	for (size_t i = G_N_ELEMENTS(cases); i-- > 0;) {
		Sched__Step d = step_of("", 1000, cases[i].filler, 0);
		g_autofree char *id = g_strdup_printf("%016zu", i);

		d.lasting = cases[i].lasting;
		st[i] = first_step(job(s, id, &d, cases[i].accepted_ms));
		st[i]->ready = true;
		queue_add(s, st[i]);
	}
	it = g_sequence_get_begin_iter(s->ready);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cr_expect_eq(g_sequence_get(it), st[i], "%s", cases[i].what);
		it = g_sequence_iter_next(it);
	}
	sched_free(s);
}

/* Pattern: a worker turns slow while its tasks still come to an end. */
Test(sched, slow_worker_is_seen_by_progress)
{
	static const struct {
		int32_t percent; /* of each of four tasks, after 4 s of 1 s */
		bool slow;
	} cases[] = { { 5, true }, { 25, true }, { 60, false }, { 99, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = sched();
		vm_t *w = vm(s, "w");
		Sched__Step d = step_of("", 1000, false, 0);
		sched_running_t run[4];
		char names[4][64];
		sched_report_t rep = { .clock_ms = 1,
			.born_ms = 1,
			.running = run,
			.nrunning = 4 };

		s->cell.state = CELL_OWNED;
		for (int k = 0; k < 4; k++) {
			g_autofree char *id = g_strdup_printf("%016d", k);

			job(s, id, &d, 0);
			g_snprintf(names[k], sizeof(names[k]), "%s.0.0.0", id);
			run[k] = (sched_running_t){
				.task = names[k], .run = 1, .checkpoint = ""
			};
		}
		s->now = 1000;
		run_report(s, w, &rep, 900);
		s->now = 5000;
		for (int k = 0; k < 4; k++)
			run[k].percent = cases[i].percent;
		run_report(s, w, &rep, 4900);
		health_report(s, w);
		cr_expect_eq(
		    w->slow, cases[i].slow, "%d percent", cases[i].percent);
		sched_free(s);
	}
}

static int claims;

static void
count_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	(void)ctx;
	(void)version;
	(void)owner;
	claims++;
}

/* Claims by an entry that sees the owner's row unchanged for a while. */
static int
claims_after(Sched__Owner *owner, int32_t handicap_ms, int64_t ms)
{
	sched_opts_t o = { .name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore, .claim = count_claim } };
	sched_t *s = sched_new(&o);
	uint8_t b[64];
	sched_row_t row = { .key = SCHED_KEY_OWNER, .version = 5, .bytes = b };

	row.nbytes = sched__owner__pack(owner, b);
	claims = 0;
	sched_set_claim_delay(s, handicap_ms);
	for (int64_t t = 0; t <= ms; t += 50) {
		sched_owner_row_read(s, &row, 1000 + t);
		sched_tick(s, 1000 + t, 0);
	}
	sched_free(s);
	return claims;
}

/* Pattern: the owner dies and weak entries see it as soon as strong ones. */
Test(sched, weak_entries_leave_the_cell_to_strong_ones)
{
	static const struct {
		int32_t handicap_ms;
		int64_t ms; /* since the row was first seen */
		int claims;
	} cases[] = { { 0, 1100, 0 }, { 0, 1300, 1 }, { 600, 1300, 0 },
		{ 600, 1900, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Owner owner = SCHED__OWNER__INIT;

		owner.name = (char *)"other";
		cr_expect_eq(
		    claims_after(&owner, cases[i].handicap_ms, cases[i].ms),
		    cases[i].claims, "case %zu", i);
	}
}

/* Pattern: all entries are restarted in turn, and the owner names its heir. */
Test(sched, a_released_cell_goes_to_its_heir)
{
	static const struct {
		const char *heir;
		int64_t ms; /* since the row was first seen */
		int claims;
	} cases[] = { { "", 50, 1 }, { "e", 50, 1 }, { "other", 600, 0 },
		{ "other", 800, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Sched__Owner owner = SCHED__OWNER__INIT;

		owner.name = (char *)"old";
		owner.released = true;
		owner.heir = (char *)cases[i].heir;
		cr_expect_eq(claims_after(&owner, 0, cases[i].ms),
		    cases[i].claims, "case %zu", i);
	}
}

static struct {
	uint64_t id;
	size_t nworkers;
	int calls, orders;
	char ticket[16];
} approval;

static void
take_advise(void *ctx, const sched_approval_request_t *a)
{
	(void)ctx;
	approval.id = a->id;
	approval.nworkers = a->nworkers;
	approval.calls++;
}

static void
take_order(void *ctx, const sched_order_t *o)
{
	(void)ctx;
	approval.orders++;
	g_strlcpy(approval.ticket, o->ticket, sizeof(approval.ticket));
}

/* Pattern: a queue whose tasks run only where an outside service allows it. */
Test(sched, a_task_waits_for_approval_of_its_worker)
{
	static const sched_ticket_t good[] = { { "b", "t1" } };
	static const struct {
		const char *what;
		bool answered;
		size_t ngood;
		int64_t later_ms; /* until tasks are started */
		int orders, calls;
	} cases[] = {
		{ "no answer yet", false, 0, 0, 0, 1 },
		{ "one may", true, 1, 0, 1, 1 },
		{ "none may", true, 0, 0, 0, 1 },
		{ "the ticket has ended", true, 1, 2900, 0, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = sched();
		Sched__Step d = step_of("", 1000, false, 0);
		sched_approval_t a = { good, cases[i].ngood, 3000 };
		job_t *j;

		memset(&approval, 0, sizeof(approval));
		s->o.port.request_approval = take_advise;
		s->o.port.order = take_order;
		s->cell.state = CELL_OWNED;
		s->cell.accounted = true;
		s->now = 1000;
		vm(s, "a");
		vm(s, "b");
		sched_set_queue(s, "q", "s", 0, 2, true, s->now);
		j = job(s, "0000000000000001", &d, 0);
		j->advised = true;
		first_step(j)->ready = true;
		queue_add(s, first_step(j));
		run_waiting(s);
		cr_expect_eq(approval.nworkers, 2, "%s", cases[i].what);
		if (cases[i].answered)
			sched_approval_done(s, approval.id, &a, s->now + 40);
		s->now += cases[i].later_ms;
		run_waiting(s);
		cr_expect_eq(approval.orders, cases[i].orders, "%s: %d orders",
		    cases[i].what, approval.orders);
		cr_expect_eq(approval.calls, cases[i].calls, "%s: %d calls",
		    cases[i].what, approval.calls);
		if (cases[i].orders > 0)
			cr_expect_str_eq(approval.ticket, "t1");
		sched_free(s);
	}
}

static struct {
	size_t rows, largest_bytes, footprint_rows;
} written;

static void
take_write(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	written.rows = MAX(written.rows, puts->len);
	for (guint i = 0; i < puts->len; i++) {
		const sched_put_t *p = &g_array_index(puts, sched_put_t, i);

		written.largest_bytes =
		    MAX(written.largest_bytes, p->bytes->len);
		written.footprint_rows +=
		    g_str_has_prefix(p->key, SCHED_KEY_FOOTPRINT);
	}
}

/* Pattern: as many workers as the target asks for come at once. */
Test(sched, the_footprint_fits_the_rows_of_the_store)
{
	static const struct {
		int workers, writes; /* until all may be used */
	} cases[] = { { 60, 4 }, { 3000, 4 }, { 29000, 4 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = sched();
		int usable = 0;

		memset(&written, 0, sizeof(written));
		s->o.port.write = take_write;
		s->cell.state = CELL_OWNED;
		for (int k = 0; k < cases[i].workers; k++) {
			g_autofree char *id = g_strdup_printf("i-%010x", k);

			vm(s, id)->stored = false;
		}
		for (int k = 0; k < cases[i].writes; k++) {
			s->now += 500;
			flush_due(s);
			sched_write_done(s, SCHED_WRITE_OK, k + 1, s->now + 5);
		}
		for (guint k = 0; k < s->worker_list->len; k++)
			usable +=
			    vm_usable(s, g_ptr_array_index(s->worker_list, k));
		cr_expect_eq(usable, cases[i].workers, "%d of %d are usable",
		    usable, cases[i].workers);
		cr_expect_leq(written.largest_bytes, 65536 * 3 / 4,
		    "%d workers: a row of %zu bytes", cases[i].workers,
		    written.largest_bytes);
		cr_expect_leq(written.rows, 100);
		/* A renewal without changes writes none of it again. */
		written.footprint_rows = 0;
		s->now += 500;
		flush_due(s);
		cr_expect_eq(written.footprint_rows, 0);
		sched_free(s);
	}
}

static struct {
	int calls;
	size_t jobs, removed;
} purged;

static void
take_purge(void *ctx, const char *const *ids, size_t n)
{
	(void)ctx;
	(void)ids;
	purged.calls++;
	purged.jobs += n;
}

static void
count_removed(void *ctx, int64_t version, const GArray *puts)
{
	(void)ctx;
	(void)version;
	for (guint i = 0; i < puts->len; i++)
		purged.removed +=
		    g_array_index(puts, sched_put_t, i).bytes == NULL;
}

/* Pattern: jobs end all day long, and the store must not fill. */
Test(sched, rows_of_ended_jobs_are_removed_in_order)
{
	static const struct {
		const char *what;
		int64_t age_ms;
		bool callers_gone, stored;
		size_t asked, removed, kept;
	} cases[] = {
		{ "too young", 100000, true, true, 0, 0, 1 },
		{ "old", 200000, true, true, 1, 1, 0 },
		{ "its first rows may be there", 200000, false, true, 1, 0, 1 },
		{ "the write is in doubt", 200000, true, false, 1, 1, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = sched();

		memset(&purged, 0, sizeof(purged));
		s->o.ended_retention_ms = 180000;
		s->o.port.purge = take_purge;
		s->o.port.write = count_removed;
		s->cell.state = CELL_OWNED;
		s->now = s->cell.confirmed_ms = 1000000;
		for (int f = 0; f < SCHED_NFEEDS; f++)
			s->fed_ms[f] = s->now;
		s->wall = 5000000;
		purge_add(s, "0000000000000001", s->wall - cases[i].age_ms);
		purge_tick(s);
		purge_tick(s);
		cr_expect_eq(purged.jobs, cases[i].asked, "%s", cases[i].what);
		sched_purge_done(
		    s, "0000000000000001", cases[i].callers_gone, s->now);
		flush_due(s);
		cr_expect_eq(
		    purged.removed, cases[i].removed, "%s", cases[i].what);
		sched_write_done(s,
		    cases[i].stored ? SCHED_WRITE_OK : SCHED_WRITE_IN_DOUBT, 2,
		    s->now);
		cr_expect_eq(g_hash_table_size(s->ended), cases[i].kept, "%s",
		    cases[i].what);
		sched_free(s);
	}
}

/*
 * Pattern: a worker is cut off for a while, and its owner dies right after it
 * is back: the successor must not read that nothing can run there.
 */
Test(sched, a_worker_that_is_back_waits_for_its_row)
{
	static const struct {
		bool back, written;
		sched_write_result_t result;
		bool usable;
	} cases[] = {
		{ false, false, SCHED_WRITE_OK, false },
		{ true, false, SCHED_WRITE_OK, false },
		{ true, true, SCHED_WRITE_IN_DOUBT, false },
		{ true, true, SCHED_WRITE_OK, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = sched();
		vm_t *w = vm(s, "w");

		s->o.port.write = take_write;
		s->cell.state = CELL_OWNED;
		s->cell.accounted = true;
		s->now = 10000;
		w->lease.sent_ms = 9000;
		w->stored = false;
		flush_due(s);
		sched_write_done(s, SCHED_WRITE_OK, 2, s->now += 5);
		cr_expect(vm_usable(s, w));
		w->misses = 2;
		s->now += 500;
		flush_due(s);
		sched_write_done(s, SCHED_WRITE_OK, 3, s->now += 5);
		cr_expect_neq(w->ends_ms, 0);
		if (cases[i].back)
			w->misses = 0;
		s->now += 500;
		if (cases[i].written) {
			flush_due(s);
			sched_write_done(s, cases[i].result, 4, s->now += 5);
		}
		cr_expect_eq(vm_usable(s, w), cases[i].usable, "case %zu", i);
		sched_free(s);
	}
}
