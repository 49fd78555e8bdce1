/*
 * Shared by the subcommands: exit codes, settings, the log, and blocking HTTP
 * calls.  serve/ uses the settings and the log too.
 *
 * Include what trans.h needs, then trans.h, first.
 */
#ifndef CMD_H
#define CMD_H

/* Exit codes. */
#define EXIT_OK	       0
#define EXIT_FAILED    1 /* the operation was tried and failed */
#define EXIT_USAGE     2 /* a flag, setting or table (routes, pools) is wrong */
#define EXIT_CONFLICT  3 /* the tables were changed by someone else first */
#define EXIT_NO_ANSWER 4 /* the platform or entry does not answer */

/*
 * A setting is given as a flag or, unless its type is SET_FLAG, as an
 * environment variable; the flag takes precedence.  A list of settings ends
 * with one without a name.
 */
typedef enum { SET_TEXT, SET_INT, SET_FLAG } setting_type_t;
typedef struct {
	const char *name; /* --name, or TANAGERSPOOL_NAME with _ for - */
	setting_type_t type;
	void *dest;		   /* char **, int32_t * or bool * */
	const char *default_value; /* NULL: none */
	int64_t min, max;	   /* of a SET_INT */
	const char *arg_name;	   /* of the value, in the help */
	const char *help;
	bool optional; /* without a value, dest is not set */
} setting_t;

/*
 * Parses the command line and the environment and sets what settings point to.
 * The arguments that are not flags are returned in args, which points into
 * argv.  If a value is wrong or missing, prints one line to standard error and
 * returns false.  usage (what follows the flags) and summary are for --help.
 */
bool settings_parse(const setting_t *settings, const char *usage,
    const char *summary, int *argc, char ***argv, GStrv *args);

/* A subcommand: argv[0] is its name. */
typedef struct {
	const char *name;
	int (*run)(int argc, char **argv); /* returns the exit code */
	const char *help;
} command_t;

int serve_main(int argc, char **argv);
int entry_main(int argc, char **argv);
int table_main(int argc, char **argv);
int zone_main(int argc, char **argv);
int job_main(int argc, char **argv);
int status_main(int argc, char **argv);
int config_check_main(int argc, char **argv);
int version_main(int argc, char **argv);

/*
 * Numbered events, each logged as one line; see docs/EVENTS.md.  Those of the
 * core are ts_log_event_t, those of sched/ sched_evt_t, and those of serve/ are
 * in serve.h.
 */
#define EVT_START	     1
#define EVT_EXIT	     2
#define EVT_BAD_PEER	     501
#define EVT_BAD_PLATFORM     502
#define EVT_BAD_WORKER	     503
#define EVT_OPERATOR_REFUSED 504
#define EVT_LOG_DROPPED	     505
#define EVT_CALLERS_CLOSED   506
/*
 * Opens the log on standard output; false if there is no such level.  Until
 * log_attach_loop() is called, writing a line may block.
 */
bool log_open(const char *level);
/*
 * From now on lines are buffered and written from the loop without blocking;
 * lines that do not fit into the buffer are dropped and counted.
 */
void log_attach_loop(uv_loop_t *loop);
/* Writes buffered lines until standard output would block. */
void log_flush(void);
/* The number of lines dropped so far. */
uint64_t log_dropped_lines(void);
/* Logs an event; fmt yields its key=value fields. */
void log_event(int number, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* NULL if there is no such event. */
const char *log_event_name(int number);

/*
 * What callers may hold of this process (trans/budget.h), for the daemons.
 */
#define CALLER_MEMORY_SETTING(dest) \
	{ \
		"memory-mb", SET_INT, (dest), "1024", 64, 1048576, "MB", \
		    "memory that this process may use" \
	}
#define CALLER_FDS_SETTING(dest) \
	{ \
		"max-fds", SET_INT, (dest), "4100", 256, 1048576, "N", \
		    "descriptors that this process may have open" \
	}
typedef struct callers callers_t;
/*
 * The account, which is logged under the daemon's name; also sets how the allocator
 * gives memory back.
 */
callers_t *callers_new(const char *name, int32_t memory_mb, int32_t max_fds);
budget_t *callers_budget(const callers_t *c);
/*
 * At each tick: logs how many connections and requests had to go since the last
 * time, and gives memory back to the system once callers have let go of much.
 */
void callers_tick(callers_t *c, int64_t now_ms);

/*
 * Makes an HTTP call and waits for its answer, for commands that have no loop
 * of their own.  Returns the HTTP status, or 0 if no answer came.  The caller
 * frees *answer.
 */
int32_t call_blocking(const char *method, const char *url, const char *token,
    const char *body, GString **answer);
/*
 * Prints the error that an answer carries and returns the exit code for it.
 * callee names the server that was called: "entry" or "platform".
 */
int
call_report_error(const char *callee, int32_t status, const GString *answer);

#endif
