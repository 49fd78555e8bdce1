/*
 * What the subcommands share: settings, logs and calls to the platform.
 *
 * Include what trans.h needs, then trans.h, first.
 */
#ifndef CMD_H
#define CMD_H

/* Exit codes. */
#define EXIT_OK	       0
#define EXIT_FAILED    1 /* it was tried and failed */
#define EXIT_USAGE     2 /* a flag, setting or table is wrong */
#define EXIT_CONFLICT  3 /* somebody else changed it first */
#define EXIT_NO_ANSWER 4 /* the platform or entry does not answer */

/*
 * A setting is a flag and an environment variable of the same name; the flag
 * wins.  Numbers have a range.
 */
typedef enum { SET_TEXT, SET_INT, SET_FLAG } setting_type_t;
typedef struct {
	const char *name; /* flag; TANAGERSPOOL_NAME otherwise */
	setting_type_t type;
	void *dest;		   /* char **, int32_t * or bool * */
	const char *default_value; /* NULL: must be given */
	int64_t min, max;
	const char *arg_name; /* as shown in the help */
	const char *help;
	bool optional; /* may stay NULL */
} setting_t;

/*
 * Parses argv by the settings; what is left over goes to rest.  Prints one
 * line and returns false when something is wrong.
 */
bool settings_parse(const setting_t *set, const char *usage,
    const char *summary, int *argc, char ***argv, GStrv *rest);

/* A subcommand: argv[0] is its name. */
typedef struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

int serve_main(int argc, char **argv);
int entry_main(int argc, char **argv);
int table_main(int argc, char **argv);
int zone_main(int argc, char **argv);
int job_main(int argc, char **argv);
int status_main(int argc, char **argv);
int version_main(int argc, char **argv);

/* Numbered events, one line each; see docs/EVENTS.md. */
#define EVT_START	     1
#define EVT_EXIT	     2
#define EVT_BAD_PEER	     501
#define EVT_BAD_PLATFORM     502
#define EVT_BAD_WORKER	     503
#define EVT_OPERATOR_REFUSED 504
#define EVT_LOG_DROPPED	     505
bool log_open(const char *level);
/* Lines go out from the loop from now on, and are dropped, not waited for. */
void log_attach_loop(uv_loop_t *loop);
void log_flush(void);
uint64_t log_dropped_lines(void); /* lines */
void log_event(int number, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
const char *log_event_name(int number);

/*
 * A call that waits for its answer, for the one-shot commands.  Returns the
 * HTTP status, 0 when none came; free *answer.
 */
int32_t call_blocking(const char *method, const char *url, const char *token,
    const char *body, GString **answer);
/* Prints the error an answer holds and picks an exit code for it. */
int call_report_error(const char *what, int32_t status, const GString *answer);

#endif
