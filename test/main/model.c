/*
 * A search of all schedules of faults up to a bound, on the scheduler of a cell in
 * virtual time; docs/design/model.md explains it.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "../cell/cell.h"
#include "../model/state.h"
#include "../model/fault.h"
#include "../model/search.h"

#define READY_MS     4000 /* the cell has an owner and its workers */
#define WORKER_IDS   16	  /* of a worker, at most */
#define STDOUT_BYTES 65536

typedef struct {
	int32_t nentries, nworkers;
	gboolean new_ids, slow_clocks, no_store_clock;
	int32_t begin_ms;	 /* the lasting task runs; the search begins */
	int32_t ntasks, work_ms; /* of the ordinary tasks */
	int32_t durations_ms[DURATIONS_MAX], ndurations;
	char *kinds, *durations, *replay, *part;
	gboolean verbose, list_kinds;
	search_opts_t search;
} model_opts_t;

static void
on_signal(int sig)
{
	(void)sig;
	search_interrupt();
}

G_GNUC_PRINTF(1, 2) static void die(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	fprintf(stderr, "model: ");
	vfprintf(stderr, fmt, ap);
	fprintf(stderr, "\n");
	va_end(ap);
	exit(2);
}

static void
check_range(const char *name, int64_t v, int64_t least, int64_t most)
{
	if (v < least || v > most)
		die("--%s must be %" PRId64 " to %" PRId64, name, least, most);
}

static void
parse_durations(model_opts_t *o)
{
	g_auto(GStrv) parts = g_strsplit(o->durations, ",", -1);

	for (int32_t i = 0; parts[i] != NULL; i++) {
		char *end;
		int64_t ms = g_ascii_strtoll(parts[i], &end, 10);

		if (*end != '\0' || end == parts[i] || i == DURATIONS_MAX)
			die("--durations must be up to %d numbers",
			    DURATIONS_MAX);
		check_range("durations", ms, 1, DURATION_MAX_MS);
		o->durations_ms[o->ndurations++] = (int32_t)ms;
	}
}

static void
parse_part(model_opts_t *o)
{
	int n = 0;

	if (sscanf(o->part, "%d/%d%n", &o->search.part, &o->search.parts, &n) !=
		2 ||
	    o->part[n] != '\0' || o->search.part < 1 ||
	    o->search.part > o->search.parts)
		die("--part must be I/N, with I from 1 to N");
	o->search.part--;
}

static void
check_opts(model_opts_t *o)
{
	check_range("entries", o->nentries, 1, ENTRIES_MAX);
	check_range("workers", o->nworkers, 1, 4);
	check_range("faults", o->search.faults_max, 1, SCHEDULE_MAX);
	check_range("step", o->search.step_ms, 10, 1000);
	check_range("window", o->search.window_ms, 0, 10000);
	check_range("gap", o->search.gap_ms, 0, 20000);
	check_range("settle", o->search.settle_ms, 0, 60000);
	check_range("fair", o->search.fair_ms, 0, 120000);
	check_range("begin", o->begin_ms, READY_MS, 60000);
	check_range("tasks", o->ntasks, 0, TASKS_MAX - 1);
	check_range("work", o->work_ms, 1, 60000);
	parse_durations(o);
	parse_part(o);
}

static void
parse_opts(int argc, char **argv, model_opts_t *o)
{
	int table_bits = 24;
	GOptionEntry entries[] = { { "faults", 0, 0, G_OPTION_ARG_INT,
				       &o->search.faults_max,
				       "most faults of a schedule (1)", "N" },
		{ "kinds", 0, 0, G_OPTION_ARG_STRING, &o->kinds,
		    "kinds of faults, with own durations or not (all)",
		    "A,B=MS" },
		{ "list-kinds", 0, 0, G_OPTION_ARG_NONE, &o->list_kinds,
		    "print the kinds", NULL },
		{ "durations", 0, 0, G_OPTION_ARG_STRING, &o->durations,
		    "of faults (100,1300,5000)", "MS,MS" },
		{ "step", 0, 0, G_OPTION_ARG_INT, &o->search.step_ms,
		    "between the times at which faults begin (100)", "MS" },
		{ "window", 0, 0, G_OPTION_ARG_INT, &o->search.window_ms,
		    "in which the first fault begins (400)", "MS" },
		{ "gap", 0, 0, G_OPTION_ARG_INT, &o->search.gap_ms,
		    "from one fault to the next, at most (4000)", "MS" },
		{ "settle", 0, 0, G_OPTION_ARG_INT, &o->search.settle_ms,
		    "watched after the last fault (8000)", "MS" },
		{ "fair", 0, 0, G_OPTION_ARG_INT, &o->search.fair_ms,
		    "after that all work must have run; 0: not checked (0)",
		    "MS" },
		{ "entries", 0, 0, G_OPTION_ARG_INT, &o->nentries, "(3)", "N" },
		{ "workers", 0, 0, G_OPTION_ARG_INT, &o->nworkers, "(2)", "N" },
		{ "begin", 0, 0, G_OPTION_ARG_INT, &o->begin_ms,
		    "of the search, in virtual time (9000)", "MS" },
		{ "tasks", 0, 0, G_OPTION_ARG_INT, &o->ntasks,
		    "that are ordinary, accepted at the begin (1)", "N" },
		{ "work", 0, 0, G_OPTION_ARG_INT, &o->work_ms,
		    "estimate of an ordinary task (20000)", "MS" },
		{ "new-ids", 0, 0, G_OPTION_ARG_NONE, &o->new_ids,
		    "a worker that starts again has another id", NULL },
		{ "slow-clocks", 0, 0, G_OPTION_ARG_NONE, &o->slow_clocks,
		    "workers' clocks are 2 % slow", NULL },
		{ "no-store-clock", 0, 0, G_OPTION_ARG_NONE, &o->no_store_clock,
		    "the store does not tell its time", NULL },
		{ "one-follower", 0, 0, G_OPTION_ARG_NONE,
		    &o->search.one_follower,
		    "of entries without a fault only the first gets one",
		    NULL },
		{ "part", 0, 0, G_OPTION_ARG_STRING, &o->part,
		    "only every Nth first fault, from the Ith (1/1)", "I/N" },
		{ "table-bits", 0, 0, G_OPTION_ARG_INT, &table_bits,
		    "2^N states are remembered, of 16 bytes (24)", "N" },
		{ "replay", 0, 0, G_OPTION_ARG_STRING, &o->replay,
		    "play one schedule, as it was printed", "SCHEDULE" },
		{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &o->verbose,
		    "log events of the replay", NULL },
		{ NULL } };
	GOptionContext *c = g_option_context_new("- check all hand-overs");
	GError *error = NULL;

	g_option_context_add_main_entries(c, entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &error))
		die("%s", error->message);
	if (argc > 1)
		die("unknown argument %s", argv[1]);
	g_option_context_free(c);
	check_range("table-bits", table_bits, 10, 32);
	o->search.states_max = (size_t)1 << table_bits;
	check_opts(o);
}

/* Makes all interned strings, whose table the arena must not take back. */
static void
intern_names(const world_t *w)
{
	char id[32];

	for (int32_t i = 0; i < w->nworkers; i++)
		for (int32_t k = 1; k < WORKER_IDS; k++) {
			g_snprintf(id, sizeof(id), "w%d.%d", i, k);
			g_intern_string(id);
		}
	for (int32_t i = 0; i < w->nentries; i++)
		g_intern_string(w->entries[i].name);
}

/* Submits a job with one task; returns when the task is accepted. */
static void
add_task(world_t *w, state_tasks_t *tasks, int32_t work_ms)
{
	Sched__Step st = SCHED__STEP__INIT, *steps[] = { &st };
	Sched__Job d = SCHED__JOB__INIT;
	g_autofree char *name = NULL;
	sim_job_t *job;

	st.count = 1;
	st.cpu_milli = 1000;
	st.mem_mb = 100;
	st.estimate_ms = work_ms == 0 ? 1000 : work_ms;
	st.lasting = work_ms == 0;
	d.queue = "q";
	d.service = "s";
	d.spec = "x";
	d.accepted_ms = w->now_ms;
	d.max_attempts = 2;
	d.stretch = 2;
	d.target_ms = 1000;
	d.n_steps = 1;
	d.steps = steps;
	job = world_submit(w, &d, false);
	name = g_strdup_printf("%s.0.0.0", job->id);
	tasks->names[tasks->n] = g_intern_string(name);
	tasks->jobs[tasks->n++] = job;
}

static void
on_boot(world_t *w, void *arg)
{
	entry_boot(w, arg);
}

/* Lets entries read the store at different times. */
static void
stagger_entries(world_t *w)
{
	static const int32_t boot_ms[ENTRIES_MAX] = { 0, 80, 300, 420 };

	for (int32_t i = 1; i < w->nentries; i++) {
		entry_kill(&w->entries[i]);
		world_schedule(w, boot_ms[i], on_boot, &w->entries[i]);
	}
}

/* A cell with an owner, a lasting task that runs and an ordinary one that is due. */
static world_t *
make_world(const model_opts_t *o, state_tasks_t *tasks)
{
	world_t *w = world_new(1, o->nentries, o->nworkers);

	handover_init(w);
	w->fixed_choices = true;
	w->verbose = o->verbose;
	for (int32_t i = 0; i < w->nworkers; i++) {
		w->workers[i].new_ids = o->new_ids;
		w->workers[i].clock_rate = o->slow_clocks ? 0.98 : 1;
		w->workers[i].guards_capacity = false;
	}
	for (int32_t i = 0; i < w->nentries; i++)
		w->entries[i].no_store_clock = o->no_store_clock;
	intern_names(w);
	stagger_entries(w);
	world_run_until(w, READY_MS);
	add_task(w, tasks, 0);
	world_run_until(w, o->begin_ms);
	for (int32_t i = 0; i < o->ntasks; i++)
		add_task(w, tasks, o->work_ms);
	return w;
}

static void
print_schedule(const schedule_t *p)
{
	char text[FAULT_TEXT];

	for (int32_t i = 0; i < p->n; i++) {
		fault_print(&p->items[i].fault, text);
		printf("%s%d:%s", i == 0 ? "" : ",", p->items[i].at_ms, text);
	}
}

static void
parse_schedule(const world_t *w, const char *text, schedule_t *p)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);

	for (int32_t i = 0; parts[i] != NULL; i++) {
		char *end;
		int64_t at_ms = g_ascii_strtoll(parts[i], &end, 10);

		if (i == SCHEDULE_MAX || end == parts[i] || *end != ':' ||
		    at_ms < 0 || at_ms > 600000 ||
		    !fault_parse(w, end + 1, &p->items[i].fault))
			die("--replay: %s is no MS:KIND:TARGET:OTHER:MS of "
			    "this "
			    "world",
			    parts[i]);
		p->items[p->n++].at_ms = (int32_t)at_ms;
	}
}

static int
replay(world_t *w, const state_tasks_t *tasks, const model_opts_t *o)
{
	schedule_t p = { 0 };

	parse_schedule(w, o->replay, &p);
	search_replay(w, tasks, &p, &o->search);
	if (w->violated_check == NULL)
		printf("model: no check failed\n");
	else
		printf("violated: %s: %s at %.3f\n", w->violated_check,
		    w->violation_detail, (double)w->now_ms / 1000);
	return w->violated_check != NULL;
}

static int
run(world_t *w, const state_tasks_t *tasks, const model_opts_t *o)
{
	static fault_menu_t menu;
	static search_result_t r;
	char error[FAULT_TEXT];
	GQuark quark;

	if (!fault_menu_init(
		&menu, w, o->kinds, o->durations_ms, o->ndurations, error))
		die("--kinds: %s", error);
	quark = g_quark_from_string("model: before");
	search_run(w, tasks, &menu, &o->search, &r);
	if (r.violated) {
		printf(
		    "violated: %s: %s at %.3f\nschedule: ", w->violated_check,
		    w->violation_detail, (double)w->now_ms / 1000);
		print_schedule(&r.found);
		printf("\n");
	} else if (g_quark_from_string("model: after") != quark + 1)
		die("strings were interned during the search");
	if (r.interrupted)
		printf("interrupted: all schedules of %d faults were tried, of "
		       "%d some\n",
		    r.depth - 1, r.depth);
	if (r.full)
		printf(
		    "some states were not remembered: --table-bits is low\n");
	printf("model: faults=%d menu=%d steps=%" PRIu64 " states=%" PRIu64
	       " schedules=%" PRIu64 " violated=%d\n",
	    r.depth, menu.n, r.steps, r.states, r.schedules, r.violated);
	return r.violated || r.interrupted;
}

int
main(int argc, char **argv)
{
	static char buffer[STDOUT_BYTES];
	static state_tasks_t tasks;
	static model_opts_t o = { .nentries = 3,
		.nworkers = 2,
		.begin_ms = 9000,
		.ntasks = 1,
		.work_ms = 20000,
		.durations = "100,1300,5000",
		.part = "1/1",
		.search = { .faults_max = 1,
		    .step_ms = 100,
		    .window_ms = 400,
		    .gap_ms = 4000,
		    .settle_ms = 8000 } };
	const char *slices = g_getenv("G_SLICE");
	world_t *w;

	setvbuf(stdout, buffer, _IOFBF, sizeof(buffer));
	if (slices == NULL || strcmp(slices, "always-malloc") != 0)
		die("set G_SLICE=always-malloc, or use test/model.sh");
	parse_opts(argc, argv, &o);
	if (o.list_kinds) {
		fault_print_kinds();
		return 0;
	}
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	w = make_world(&o, &tasks);
	return o.replay != NULL ? replay(w, &tasks, &o) : run(w, &tasks, &o);
}
