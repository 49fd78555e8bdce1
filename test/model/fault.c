/*
 * The faults that a search chooses from; see fault.h.  Each does to the simulation
 * what the random schedules do, without chance.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../cell/cell.h"
#include "../cell/digest.h"
#include "fault.h"

#define ANSWER_LATE_MS 600
#define LIST_LATE_MS   1500
#define CLOCK_BACK_MS  300000
#define SLOW_READ_MS   850 /* as handover.c has it for the owner row */

/* What a target or the other number is an index of, or says. */
typedef enum {
	NOTHING,
	ENTRY,
	WORKER,
	HEIR,	 /* an entry, or -1 for none */
	LATENESS /* how late, as a share of what can be; per cent */
} operand_t;

/* Which of the durations are tried: all, or only 0. */
typedef enum { ANY_DURATION, AT_ONCE } lasts_t;

typedef struct {
	const char *name;
	const char *text;
	operand_t target, other;
	lasts_t lasts;
	bool (*begin)(world_t *w, const fault_t *f);
	void (*end)(world_t *w, void *arg); /* of the target, or the world */
} kind_t;

static const int32_t lateness_pct[] = { 15, 50 };

static bool
kill_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];

	if (!en->up)
		return false;
	entry_kill(en);
	return true;
}

static void
kill_end(world_t *w, void *arg)
{
	entry_boot(w, arg);
}

static bool
pause_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];

	if (!en->up || en->paused)
		return false;
	return en->paused = true;
}

static void
pause_end(world_t *w, void *arg)
{
	sim_entry_t *en = arg;

	en->paused = false;
	world_send_zones(w, en);
}

static bool
leave_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];
	const sim_entry_t *heir = f->other < 0 ? NULL : &w->entries[f->other];

	if (!en->up || en->paused || en->leaving ||
	    (heir != NULL && (!heir->up || heir->leaving)))
		return false;
	handover_leave(w, en, heir, f->ms);
	return true;
}

static bool
store_cut_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];

	if (!en->up || en->store_cut)
		return false;
	return en->store_cut = true;
}

static void
store_cut_end(world_t *w, void *arg)
{
	(void)w;
	((sim_entry_t *)arg)->store_cut = false;
}

static bool
store_mute_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];

	if (!en->up || en->store_mute)
		return false;
	return en->store_mute = true;
}

static void
store_mute_end(world_t *w, void *arg)
{
	(void)w;
	((sim_entry_t *)arg)->store_mute = false;
}

static bool
slow_reads_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];

	if (!en->up || en->slow_store_read_ms > 0)
		return false;
	en->slow_store_read_ms = SLOW_READ_MS;
	return true;
}

static void
slow_reads_end(world_t *w, void *arg)
{
	(void)w;
	((sim_entry_t *)arg)->slow_store_read_ms = 0;
}

static bool
zone_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];

	if (!en->up || en->store_cut)
		return false;
	for (int32_t i = 0; i < w->nentries; i++)
		for (int32_t k = 0; k < w->nworkers; k++)
			w->workers[k].cut_from[i] |=
			    (i == f->target) != (k == f->other);
	return en->store_cut = true;
}

static void
zone_end(world_t *w, void *arg)
{
	((sim_entry_t *)arg)->store_cut = false;
	for (int32_t k = 0; k < w->nworkers; k++)
		memset(
		    w->workers[k].cut_from, 0, sizeof(w->workers[k].cut_from));
}

static bool
list_late_begin(world_t *w, const fault_t *f)
{
	sim_entry_t *en = &w->entries[f->target];

	if (!en->up || en->list_lag_ms > 0)
		return false;
	en->list_lag_ms = LIST_LATE_MS;
	return true;
}

static void
list_late_end(world_t *w, void *arg)
{
	(void)w;
	((sim_entry_t *)arg)->list_lag_ms = 0;
}

static bool
crash_begin(world_t *w, const fault_t *f)
{
	sim_worker_t *wk = &w->workers[f->target];

	if (!wk->up)
		return false;
	worker_crash(w, wk);
	return true;
}

/* Starts a worker's process again, whose clock differs by so much from the old. */
static void
boot_worker(world_t *w, sim_worker_t *wk, int64_t clock_change_ms)
{
	int64_t clock_ms = worker_clock_ms(w, wk);

	if (wk->up)
		return;
	worker_boot(w, wk);
	wk->clock_offset_ms = MAX(1, clock_ms + clock_change_ms);
}

static void
crash_end(world_t *w, void *arg)
{
	boot_worker(w, arg, 0);
}

static bool
restart_begin(world_t *w, const fault_t *f)
{
	if (!crash_begin(w, f))
		return false;
	boot_worker(w, &w->workers[f->target], -CLOCK_BACK_MS);
	return true;
}

/* Sets a flag of one entry, or of all for -1; false: all are set. */
static bool
set_flags(world_t *w, bool *flags, int32_t entry)
{
	bool changed = false;

	for (int32_t i = 0; i < w->nentries; i++) {
		if ((entry >= 0 && i != entry) || flags[i])
			continue;
		flags[i] = changed = true;
	}
	return changed;
}

static bool
cut_begin(world_t *w, const fault_t *f)
{
	return set_flags(w, w->workers[f->target].cut_from, f->other);
}

static void
cut_end(world_t *w, void *arg)
{
	sim_worker_t *wk = arg;

	(void)w;
	memset(wk->cut_from, 0, sizeof(wk->cut_from));
}

static bool
answers_begin(world_t *w, const fault_t *f)
{
	return set_flags(w, w->workers[f->target].polls.answers_cut, f->other);
}

static bool
polls_fail_begin(world_t *w, const fault_t *f)
{
	poll_faults_t *p = &w->workers[f->target].polls;

	if (p->failed_share > 0)
		return false;
	p->failed_share = 1;
	return true;
}

static bool
polls_late_begin(world_t *w, const fault_t *f)
{
	poll_faults_t *p = &w->workers[f->target].polls;

	if (p->late_share > 0)
		return false;
	p->late_share = 1;
	w->choice_pct = f->other;
	return true;
}

static bool
answers_late_begin(world_t *w, const fault_t *f)
{
	poll_faults_t *p = &w->workers[f->target].polls;

	if (p->answer_delay_ms > 0)
		return false;
	p->answer_delay_ms = ANSWER_LATE_MS;
	w->choice_pct = 100;
	return true;
}

static void
polls_end(world_t *w, void *arg)
{
	((sim_worker_t *)arg)->polls = (poll_faults_t){ 0 };
	w->choice_pct = 0;
}

static bool
orders_late_begin(world_t *w, const fault_t *f)
{
	sim_worker_t *wk = &w->workers[f->target];

	if (wk->lost_order_share > 0)
		return false;
	wk->lost_order_share = 1;
	w->choice_pct = f->other;
	return true;
}

static void
orders_end(world_t *w, void *arg)
{
	((sim_worker_t *)arg)->lost_order_share = 0;
	w->choice_pct = 0;
}

static bool
writes_lost_begin(world_t *w, const fault_t *f)
{
	if (w->lost_write_share > 0)
		return false;
	w->lost_write_share = 1;
	w->lost_writes_apply_late = f->other >= 0;
	if (f->other >= 0)
		w->choice_pct = f->other;
	return true;
}

static void
writes_end(world_t *w, void *arg)
{
	(void)arg;
	w->lost_write_share = 0;
	w->lost_writes_apply_late = false;
	w->choice_pct = 0;
}

static bool
reads_late_begin(world_t *w, const fault_t *f)
{
	(void)f;
	if (w->late_read_share > 0)
		return false;
	w->late_read_share = 1;
	w->choice_pct = 100;
	return true;
}

static void
reads_end(world_t *w, void *arg)
{
	(void)arg;
	w->late_read_share = 0;
	w->choice_pct = 0;
}

static bool
outage_begin(world_t *w, const fault_t *f)
{
	(void)f;
	if (w->store_down)
		return false;
	w->outage_began_ms = w->outage_changed_ms = w->now_ms;
	return w->store_down = true;
}

static void
outage_end(world_t *w, void *arg)
{
	(void)arg;
	w->outage_changed_ms = w->now_ms;
	w->store_down = false;
}

static const kind_t kinds[] = {
	{ "kill", "an entry is killed, and starts again", ENTRY, NOTHING,
	    ANY_DURATION, kill_begin, kill_end },
	{ "pause", "the process of an entry stands still", ENTRY, NOTHING,
	    ANY_DURATION, pause_begin, pause_end },
	{ "leave", "an entry leaves in order, and starts again", ENTRY, HEIR,
	    AT_ONCE, leave_begin, NULL },
	{ "storemute", "the store does not answer an entry that it obeys",
	    ENTRY, NOTHING, ANY_DURATION, store_mute_begin, store_mute_end },
	{ "slowreads", "all reads of an entry are answered late", ENTRY,
	    NOTHING, ANY_DURATION, slow_reads_begin, slow_reads_end },
	{ "zone", "an entry and a worker see only each other", ENTRY, WORKER,
	    ANY_DURATION, zone_begin, zone_end },
	{ "nostore", "an entry does not reach the store", ENTRY, NOTHING,
	    ANY_DURATION, store_cut_begin, store_cut_end },
	{ "oldlist", "an entry gets the list of workers late", ENTRY, NOTHING,
	    ANY_DURATION, list_late_begin, list_late_end },
	{ "crash", "a worker crashes, and starts again", WORKER, NOTHING,
	    ANY_DURATION, crash_begin, crash_end },
	{ "restart", "a worker starts again at once, its clock behind", WORKER,
	    NOTHING, AT_ONCE, restart_begin, NULL },
	{ "cut", "nothing reaches a worker", WORKER, NOTHING, ANY_DURATION,
	    cut_begin, cut_end },
	{ "cutone", "nothing of one entry reaches a worker", WORKER, ENTRY,
	    ANY_DURATION, cut_begin, cut_end },
	{ "answers", "no answer of a worker arrives", WORKER, NOTHING,
	    ANY_DURATION, answers_begin, polls_end },
	{ "answersone", "no answer of a worker reaches one entry", WORKER,
	    ENTRY, ANY_DURATION, answers_begin, polls_end },
	{ "pollfail", "polls of a worker fail at once", WORKER, NOTHING,
	    ANY_DURATION, polls_fail_begin, polls_end },
	{ "polllate", "polls of a worker are carried out late", WORKER,
	    LATENESS, ANY_DURATION, polls_late_begin, polls_end },
	{ "slow", "answers of a worker are late", WORKER, NOTHING, ANY_DURATION,
	    answers_late_begin, polls_end },
	{ "orderlate", "orders to a worker are carried out late", WORKER,
	    LATENESS, ANY_DURATION, orders_late_begin, orders_end },
	{ "writelost", "writes are done and not answered", NOTHING, NOTHING,
	    ANY_DURATION, writes_lost_begin, writes_end },
	{ "writelate", "writes are done late and not answered", NOTHING,
	    LATENESS, ANY_DURATION, writes_lost_begin, writes_end },
	{ "readlate", "reads of the store are answered late", NOTHING, NOTHING,
	    ANY_DURATION, reads_late_begin, reads_end },
	{ "outage", "nobody reaches the store", NOTHING, NOTHING, ANY_DURATION,
	    outage_begin, outage_end },
};

bool
fault_begin(world_t *w, const fault_t *f)
{
	const kind_t *k = &kinds[f->kind];
	void *arg = k->target == ENTRY ? (void *)&w->entries[f->target] :
	    k->target == WORKER	       ? (void *)&w->workers[f->target] :
					 w;

	if (!k->begin(w, f))
		return false;
	if (w->verbose) {
		char text[FAULT_TEXT];

		fault_print(f, text);
		printf("%7.3f fault %s: %s\n", (double)w->now_ms / 1000, text,
		    k->text);
	}
	if (k->end != NULL)
		world_schedule(w, f->ms, k->end, arg);
	return true;
}

bool
fault_names_entry(const fault_t *f, int32_t entry)
{
	const kind_t *k = &kinds[f->kind];

	return (k->target == ENTRY && f->target == entry) ||
	    ((k->other == ENTRY || k->other == HEIR) && f->other == entry);
}

/* The values of an operand: the first, and the number of them. */
static int32_t
values_of(const world_t *w, operand_t o, int32_t *first)
{
	*first = o == NOTHING || o == HEIR ? -1 : 0;
	switch (o) {
	case ENTRY:
		return w->nentries;
	case WORKER:
		return w->nworkers;
	case HEIR:
		return w->nentries + 1;
	case LATENESS:
		return G_N_ELEMENTS(lateness_pct);
	default:
		return 1;
	}
}

static bool
add_kind(fault_menu_t *m, const world_t *w, int32_t kind,
    const int32_t *durations_ms, int32_t ndurations)
{
	const kind_t *k = &kinds[kind];
	int32_t first_a, first_b, na = values_of(w, k->target, &first_a),
				  nb = values_of(w, k->other, &first_b);
	int32_t nd = k->lasts == ANY_DURATION ? ndurations : 1;

	for (int32_t i = 0; i < na * nb * nd; i++) {
		fault_t f = { kind, first_a + i / (nb * nd),
			first_b + i / nd % nb,
			k->lasts == AT_ONCE ? 0 : durations_ms[i % nd] };

		if (k->other == HEIR && f.other == f.target)
			continue;
		if (k->other == LATENESS)
			f.other = lateness_pct[f.other];
		if (m->n == FAULTS_MAX)
			return false;
		m->faults[m->n++] = f;
	}
	return true;
}

/* The index of the kind whose name a text begins with, up to one of ends; or -1. */
static int32_t
find_kind(const char *text, const char *ends)
{
	size_t n = strcspn(text, ends);

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (strlen(kinds[i].name) == n &&
		    strncmp(kinds[i].name, text, n) == 0)
			return (int32_t)i;
	return -1;
}

/* The duration that follows a kind: KIND=MS. */
static bool
parse_duration(const char *text, int32_t *ms)
{
	char *end;
	int64_t v = g_ascii_strtoll(strchr(text, '=') + 1, &end, 10);

	*ms = (int32_t)v;
	return v > 0 && v <= DURATION_MAX_MS && (*end == '\0' || *end == ',');
}

bool
fault_menu_init(fault_menu_t *m, const world_t *w, const char *list,
    const int32_t *durations_ms, int32_t ndurations, char error[FAULT_TEXT])
{
	bool ok = true;

	m->n = 0;
	for (size_t i = 0; list == NULL && i < G_N_ELEMENTS(kinds); i++)
		ok = add_kind(m, w, (int32_t)i, durations_ms, ndurations) && ok;
	while (list != NULL && ok) {
		int32_t kind = find_kind(list, ",="), ms = 0;
		size_t n = strcspn(list, ",");
		bool own_ms = memchr(list, '=', n) != NULL;

		if (kind < 0 || (own_ms && !parse_duration(list, &ms))) {
			snprintf(error, FAULT_TEXT, "no kind %.*s",
			    (int)MIN(20, n), list);
			return false;
		}
		ok = own_ms ? add_kind(m, w, kind, &ms, 1) :
			      add_kind(m, w, kind, durations_ms, ndurations);
		list = list[n] == '\0' ? NULL : list + n + 1;
	}
	if (!ok)
		snprintf(error, FAULT_TEXT, "more than %d faults", FAULTS_MAX);
	return ok;
}

void
fault_print(const fault_t *f, char text[FAULT_TEXT])
{
	snprintf(text, FAULT_TEXT, "%s:%d:%d:%d", kinds[f->kind].name,
	    f->target, f->other, f->ms);
}

/* Whether an operand has a value that it can have. */
static bool
is_value(const world_t *w, operand_t o, int32_t v)
{
	int32_t first, n = values_of(w, o, &first);

	/* Where an entry may be named, -1 says all or none. */
	return o == LATENESS ? v >= 0 && v <= 100 : v >= -1 && v < first + n;
}

bool
fault_parse(const world_t *w, const char *text, fault_t *f)
{
	const char *rest = strchr(text, ':');

	f->kind = find_kind(text, ":");
	return f->kind >= 0 && rest != NULL &&
	    sscanf(rest, ":%d:%d:%d", &f->target, &f->other, &f->ms) == 3 &&
	    is_value(w, kinds[f->kind].target, f->target) &&
	    (f->target >= 0 || kinds[f->kind].target == NOTHING) &&
	    is_value(w, kinds[f->kind].other, f->other) && f->ms >= 0;
}

void
fault_print_kinds(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		printf("%-10s %s\n", kinds[i].name, kinds[i].text);
}
