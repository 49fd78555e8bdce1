/*
 * An owner that can't poll its workers in time hands the cell over to a stronger
 * entry.
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
#include "sched_fixture.h"

#define WORKERS	     30 /* in three data centres, in turn */
#define ZONES	     3
#define BEGIN_MS     100000
#define STEP_MS	     50
#define ANSWER_MS    50	 /* of a poll */
#define TIMEOUT_MS   350 /* of a poll that is not answered */
#define OWN_STRENGTH 200
/* Turns of the workers, see polls_t. */
#define FIRST_TURN_MS 6000
#define TURN_MS	      300

/* What becomes of the polls; shares in percent. */
typedef struct {
	int32_t answered_pct;	/* of the polls of each worker */
	int32_t down_pct;	/* of the workers, which answer none */
	bool zone_down;		/* the workers of z0 answer none */
	int64_t from_ms, to_ms; /* from BEGIN_MS on; else all are answered */
	/* Not 0: of each worker only those sent in this time from its turn on. */
	int64_t up_ms;
} polls_t;

typedef struct {
	uint64_t id;
	int64_t sent_ms;
} sent_poll_t;

static sent_poll_t sent[WORKERS];
static int32_t releases, claims;
static char heir[16];
static bool accounted;
static int64_t now_ms;

static int32_t
worker_index(const char *id)
{
	return (int32_t)g_ascii_strtoll(id + 1, NULL, 10);
}

static void
take_poll(void *ctx, const sched_poll_t *p)
{
	(void)ctx;
	sent[worker_index(p->worker)] = (sent_poll_t){ p->id, now_ms };
}

/* Counts the rows that release the cell. */
static void
take_write(void *ctx, int64_t version, const GArray *puts)
{
	const sched_put_t *p = &g_array_index(puts, sched_put_t, 0);
	Sched__Owner *o =
	    sched__owner__unpack(NULL, p->bytes->len, p->bytes->data);

	(void)ctx;
	(void)version;
	cr_assert_not_null(o);
	releases += o->released;
	if (o->released)
		g_strlcpy(heir, o->heir, sizeof(heir));
	accounted = o->workers_accounted;
	sched__owner__free_unpacked(o, NULL);
}

static void
take_claim(void *ctx, int64_t version, const GByteArray *owner)
{
	(void)ctx;
	(void)version;
	(void)owner;
	claims++;
}

static void
ignore_load(void *ctx)
{
	(void)ctx;
}

/* An owner of WORKERS workers, all of which have answered. */
static sched_t *
new_weak_owner(void)
{
	sched_opts_t o = { .feed_limit_ms = 2000,
		.name = "e",
		.max_lease_ms = 6000,
		.port = { .event = ignore_event,
		    .claim = take_claim,
		    .load = ignore_load,
		    .write = take_write,
		    .poll = take_poll } };
	sched_t *s = sched_new(&o);

	memset(sent, 0, sizeof(sent));
	releases = claims = 0;
	heir[0] = '\0';
	now_ms = s->now_ms = BEGIN_MS;
	s->cell.state = CELL_OWNED;
	s->cell.workers_accounted = true;
	s->cell.confirmed_ms = BEGIN_MS;
	for (int32_t i = 0; i < WORKERS; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		add_worker(s, id)->zone =
		    g_intern_string(i % ZONES == 0 ? "z0" :
			    i % ZONES == 1	   ? "z1" :
						     "z2");
	}
	return s;
}

/* Whether a worker answers the poll that was sent to it last. */
static bool
is_answered(const polls_t *p, int32_t worker)
{
	int64_t at_ms = sent[worker].sent_ms - BEGIN_MS;

	if (at_ms < p->from_ms || at_ms >= p->to_ms)
		return true;
	if (p->up_ms != 0)
		return at_ms >= FIRST_TURN_MS + worker * TURN_MS &&
		    at_ms < FIRST_TURN_MS + worker * TURN_MS + p->up_ms;
	if (worker * 100 < p->down_pct * WORKERS ||
	    (p->zone_down && worker % ZONES == 0))
		return false;
	return (sent[worker].id * 37 + (uint64_t)worker * 11) % 100 <
	    (uint64_t)p->answered_pct;
}

/* Ends the poll in flight of a worker, if it is due. */
static void
end_poll(sched_t *s, const polls_t *p, int32_t worker)
{
	sched_report_t r = { .clock_ms = now_ms, .started_ms = 1 };
	sent_poll_t poll = sent[worker];
	bool answered = is_answered(p, worker);
	char id[8];

	if (poll.id == 0 ||
	    now_ms - poll.sent_ms < (answered ? ANSWER_MS : TIMEOUT_MS))
		return;
	g_snprintf(id, sizeof(id), "w%d", worker);
	sent[worker].id = 0;
	sched_poll_done(s, poll.id, id,
	    answered ? SCHED_ORDER_OK : SCHED_ORDER_IN_DOUBT,
	    answered ? &r : NULL, now_ms);
}

/* Runs the owner for a while; the store answers its writes unless store_down. */
static void
run_for(sched_t *s, const polls_t *p, int64_t ms, bool store_down)
{
	for (int64_t end_ms = now_ms + ms; now_ms < end_ms; now_ms += STEP_MS) {
		for (int32_t i = 0; i < WORKERS; i++)
			end_poll(s, p, i);
		if (s->write_pending && !store_down)
			sched_write_done(
			    s, SCHED_WRITE_OK, s->cell.version + 1, now_ms);
		if (store_down)
			sched_set_store_outage(s, true, BEGIN_MS, now_ms);
		sched_tick(s, now_ms, 0);
	}
}

/*
 * Guards against a weak owner that keeps a cell too large for it: most polls time
 * out, and callers' tasks wait (LOST, issue 36).
 */
Test(handover, when_a_stronger_entry_gets_the_cell)
{
	static const struct {
		const char *name;
		polls_t polls;
		int32_t strength; /* of the strongest other entry; 0: none */
		bool store_down, handed_over;
	} cases[] = {
		{ "most polls time out", { 20, 0, false, 0, 20000 }, 2000,
		    false, true },
		{ "each answers once, for a moment",
		    { 100, 0, false, 0, 20000, 700 }, 2000, false, true },
		{ "each comes back, one by one",
		    { 100, 0, false, 0, 20000, 60000 }, 2000, false, false },
		{ "no other entry is known", { 20, 0, false, 0, 20000 }, 0,
		    false, false },
		{ "none is clearly stronger", { 20, 0, false, 0, 20000 },
		    OWN_STRENGTH * 3 / 2, false, false },
		{ "the others are weaker", { 20, 0, false, 0, 20000 }, 40,
		    false, false },
		{ "some polls time out", { 90, 0, false, 0, 20000 }, 2000,
		    false, false },
		{ "for a second", { 20, 0, false, 2000, 3000 }, 2000, false,
		    false },
		{ "a data centre is lost", { 100, 0, true, 0, 20000 }, 2000,
		    false, false },
		{ "all workers are lost", { 100, 100, false, 0, 20000 }, 2000,
		    false, false },
		{ "two thirds of the workers are lost",
		    { 100, 67, false, 0, 20000 }, 2000, false, false },
		{ "all workers are lost for a while",
		    { 100, 100, false, 0, 10000 }, 2000, false, false },
		{ "the store is away", { 20, 0, false, 0, 20000 }, 2000, true,
		    false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_weak_owner();

		if (cases[i].strength > 0)
			sched_set_strongest_entry(
			    s, OWN_STRENGTH, "strong", cases[i].strength);
		run_for(s, &cases[i].polls, 20000, cases[i].store_down);
		cr_expect_eq(releases, cases[i].handed_over, "%s: %d releases",
		    cases[i].name, releases);
		cr_expect_str_eq(heir, cases[i].handed_over ? "strong" : "",
		    "%s: %s", cases[i].name, heir);
		cr_expect_eq(sched_is_owner(s), !cases[i].handed_over, "%s",
		    cases[i].name);
		sched_free(s);
	}
}

/* The successor must wait for the leases of workers that were not seen. */
Test(handover, of_a_cell_whose_workers_were_not_all_seen)
{
	static const polls_t polls = { 20, 10, false, 0, 20000 };
	sched_t *s = new_weak_owner();

	s->cell.workers_accounted = false;
	s->cell.old_leases = ENDS_AT(BEGIN_MS + 20000);
	cell_worker_get(s, "w0")->has_answered = false;
	sched_set_strongest_entry(s, OWN_STRENGTH, "strong", 2000);
	run_for(s, &polls, 20000, false);
	cr_expect_eq(releases, 1);
	cr_expect_not(accounted);
	sched_free(s);
}

/* Puts the entry in possession of the cell again. */
static void
own_again(sched_t *s)
{
	s->cell.state = CELL_OWNED;
	s->cell.epoch++;
	s->cell.confirmed_ms = now_ms;
	s->cell.release_in_doubt = false;
	for (guint i = 0; i < s->worker_list->len; i++)
		((worker_t *)g_ptr_array_index(s->worker_list, i))
		    ->has_answered = true;
}

/*
 * Guards against a cell that goes to and fro: an entry that gets it back, as the
 * stronger one could not keep it, has it for a while and serves it.
 */
Test(handover, once_in_a_while)
{
	static const polls_t polls = { 20, 0, false, 0, 200000 };
	sched_t *s = new_weak_owner();

	sched_set_strongest_entry(s, OWN_STRENGTH, "strong", 2000);
	run_for(s, &polls, 10000, false);
	cr_assert_eq(releases, 1);
	cr_assert_not(sched_is_owner(s));
	own_again(s);
	run_for(s, &polls, 3000, false);
	cr_expect_eq(releases, 1);
	s->cell.confirmed_ms = now_ms;
	sched_feed_read(s, SCHED_FEED_JOBS, now_ms);
	sched_feed_read(s, SCHED_FEED_WORKERS, now_ms);
	sched_feed_read(s, SCHED_FEED_OPERATORS, now_ms);
	cr_expect(ownership_may_start_tasks(s));
	run_for(s, &polls, 60000, false);
	cr_expect_eq(releases, 2);
	sched_free(s);
}

/*
 * Number of claims by the entry in ms after it has released the cell.  overtaken:
 * it reads its row as it was before, in answers that are late.
 */
static int32_t
claims_after(sched_t *s, bool overtaken, int64_t ms)
{
	Sched__Owner o = SCHED__OWNER__INIT;
	uint8_t b[64];
	sched_row_t row = { .key = SCHED_KEY_OWNER,
		.version = s->cell.version - overtaken,
		.bytes = b };

	o.name = (char *)"e";
	o.released = !overtaken;
	o.heir = (char *)"strong";
	row.nbytes = sched__owner__pack(&o, b);
	for (int64_t end_ms = now_ms + ms; now_ms < end_ms; now_ms += STEP_MS) {
		sched_owner_row_read(s, &row, now_ms);
		sched_tick(s, now_ms, 0);
	}
	return claims;
}

/*
 * An entry that has handed the cell over may claim it again later, as its successor
 * may fail; one that also stops may not.
 */
Test(handover, claims_afterwards)
{
	static const polls_t polls = { 20, 0, false, 0, 200000 };
	static const struct {
		const char *name;
		bool stops, overtaken;
		int32_t delay_ms;
		int64_t ms;
		int32_t claims;
	} cases[] = {
		{ "at once", false, false, 150, 600, 0 },
		{ "later", false, false, 150, 2000, 1 },
		{ "an old row is read", false, true, 0, 600, 0 },
		{ "in a graceful stop", true, false, 150, 2000, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_weak_owner();

		sched_set_strongest_entry(s, OWN_STRENGTH, "strong", 2000);
		sched_set_claim_delay(s, cases[i].delay_ms);
		run_for(s, &polls, 10000, false);
		cr_assert_eq(releases, 1, "%s", cases[i].name);
		if (cases[i].stops)
			sched_begin_release(s, now_ms);
		cr_expect_eq(claims_after(s, cases[i].overtaken, cases[i].ms),
		    cases[i].claims, "%s", cases[i].name);
		sched_free(s);
	}
}

/* Has the entry read rows of the owner, one after the other. */
static void
read_owner(sched_t *s, const char *name, bool released)
{
	Sched__Owner o = SCHED__OWNER__INIT;
	uint8_t b[64];
	sched_row_t row = { .key = SCHED_KEY_OWNER,
		.version = s->cell.version + 1,
		.bytes = b };

	o.name = (char *)name;
	o.epoch = s->cell.epoch + 1;
	o.released = released;
	o.heir = (char *)(released ? "strong" : "");
	row.nbytes = sched__owner__pack(&o, b);
	sched_owner_row_read(s, &row, now_ms);
}

/*
 * Guards against weak entries that hand the cell over in turn to a strong one that
 * is down but still listed: each time nobody has it for a while.
 */
Test(handover, to_an_entry_that_does_not_claim)
{
	static const polls_t polls = { 20, 0, false, 0, 200000 };
	static const struct {
		const char *name, *claimed_by; /* after the release by "a" */
		int32_t releases;	       /* of this entry in 8 s */
	} cases[] = {
		{ "another weak one had to claim", "b", 0 },
		{ "this one had to claim", "e", 0 },
		{ "the strong one had it", "strong", 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_t *s = new_weak_owner();

		s->cell.state = CELL_FOLLOWING;
		sched_set_strongest_entry(s, OWN_STRENGTH, "strong", 2000);
		read_owner(s, "a", true);
		read_owner(s, cases[i].claimed_by, false);
		own_again(s);
		run_for(s, &polls, 8000, false);
		cr_expect_eq(releases, cases[i].releases, "%s: %d",
		    cases[i].name, releases);
		own_again(s);
		run_for(s, &polls, 60000, false);
		cr_expect_geq(releases, 1, "%s, later", cases[i].name);
		sched_free(s);
	}
}
