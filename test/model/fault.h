/*
 * The faults that a search chooses from.
 *
 * Include what test/cell/cell.h needs, and that, first.
 */
#ifndef TEST_MODEL_FAULT_H
#define TEST_MODEL_FAULT_H

#define FAULTS_MAX	2048
#define DURATION_MAX_MS 60000
#define DURATIONS_MAX	8
#define FAULT_TEXT	48

/* A fault of a kind (an index of the menu's kinds) that lasts so long.  What target
 * and other mean depends on the kind; -1: nothing. */
typedef struct {
	int32_t kind, target, other, ms;
} fault_t;

typedef struct {
	fault_t faults[FAULTS_MAX];
	int32_t n;
} fault_menu_t;

/* The kinds of a list, separated by commas and with their own duration where = and
 * that follow, or all kinds for NULL.  False: it names
 * an unknown one, or has too many faults; error says which. */
bool fault_menu_init(fault_menu_t *m, const world_t *w, const char *kinds,
    const int32_t *durations_ms, int32_t ndurations, char error[FAULT_TEXT]);
/* Begins a fault, and schedules its end.  False: it can't begin now. */
bool fault_begin(world_t *w, const fault_t *f);
/* Whether a fault is of this entry alone, or names it as the heir. */
bool fault_names_entry(const fault_t *f, int32_t entry);
/* KIND:TARGET:OTHER:MS, as it is read again. */
void fault_print(const fault_t *f, char text[FAULT_TEXT]);
bool fault_parse(const world_t *w, const char *text, fault_t *f);
/* A line for each kind. */
void fault_print_kinds(void);

#endif
