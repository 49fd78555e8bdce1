/*
 * Checks of a decoded configuration of the users' platform, for operators
 * before they send it.  No I/O.
 *
 * Include what platform.h needs, then platform.h, first.
 */
#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

typedef enum {
	FINDING_ERROR,	 /* the configuration is refused, ignored or unusable */
	FINDING_WARNING, /* it is accepted, but hardly as it was meant */
	FINDING_CHANGE,	 /* it differs from the one in force */
	FINDING_KINDS
} finding_kind_t;

typedef struct {
	finding_kind_t kind;
	char *place; /* such as routes[2] "name" */
	char *text;
} finding_t;

/* An empty list of finding_t, which frees their texts with itself. */
GArray *findings_new(void);
/* Control characters in place and text become '?', so each is one line. */
void findings_add(GArray *findings, finding_kind_t kind, const char *place,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);
guint findings_count(const GArray *findings, finding_kind_t kind);

/* Adds the errors and warnings of a configuration by itself. */
void config_check(const platform_config_t *cfg, GArray *findings);
/*
 * Adds what differs from the configuration in force, and an error if cfg would
 * be ignored beside it.
 */
void config_compare(const platform_config_t *cfg,
    const platform_config_t *in_force, GArray *findings);

#endif
