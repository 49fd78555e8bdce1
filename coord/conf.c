/*
 * The configuration in force.  It is polled from the store, and adopted only if
 * it is newer and valid; member.c sends it to peers that have an older one.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define CONF_KEY "conf"

/*
 * Puts a configuration in force that has been read from the store or sent by a
 * peer, if it is newer and valid.  A version that is not valid is reported
 * once.
 */
void
conf_adopt_if_newer(
    ts_core_t *c, int64_t version, const char *routes, const char *pools)
{
	int64_t current = c->conf == NULL ? 0 : c->conf->version;
	g_autoptr(GPtrArray) errs = NULL;
	ts_conf_t *conf;

	if (version <= current || version <= c->conf_invalid_version)
		return;
	errs = g_ptr_array_new_with_free_func(g_free);
	conf = ts_conf_parse(routes, pools, version, errs);
	if (conf == NULL) {
		COUNT(c, TS_C_CONF_INVALID);
		c->conf_invalid_version = version;
		emit_log(
		    c, TS_LOG_CONF_INVALID, CONF_KEY, errs->pdata[0], version);
		return;
	}
	ts_conf_free(c->conf);
	c->conf = conf;
	g_free(c->routes_text);
	g_free(c->pools_text);
	c->routes_text = g_strdup(routes);
	c->pools_text = g_strdup(pools);
	COUNT(c, TS_C_CONF_ADOPTED);
	emit_log(c, TS_LOG_CONF_ADOPTED, CONF_KEY, "", version);
	pool_invalidate(c);
	c->next_digest_ms = 0;
}

/*
 * The row of the configuration has been read; it is returned only if it is
 * newer.
 */
static void
conf_row_read(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	c->conf_read_pending = false;
	if (!ok)
		return;
	for (size_t i = 0; i < n; i++)
		if (rows[i].kind == TS_ROW_CONF &&
		    strcmp(rows[i].key, CONF_KEY) == 0)
			conf_adopt_if_newer(c, rows[i].version,
			    rows[i].u.conf.routes, rows[i].u.conf.pools);
	/* Not confirmed if the store holds a newer one that is not valid. */
	if (c->conf != NULL && c->conf->version >= c->conf_invalid_version)
		c->conf_confirmed_ms = MAX(c->conf_confirmed_ms, r->issued_ms);
}

/* Reads the configuration if it is time to.  Called at each tick. */
void
conf_poll(ts_core_t *c)
{
	if (c->conf_read_pending || c->now_ms < c->next_conf_read_ms)
		return;
	c->next_conf_read_ms = c->now_ms + c->opts.conf_poll_ms;
	c->conf_read_pending = true;
	read_start(c, CONF_KEY, c->conf == NULL ? 0 : c->conf->version,
	    conf_row_read, NULL);
}

/*
 * Whether the configuration in force was confirmed recently; if not, no task
 * may be started by it.
 */
bool
conf_is_fresh(const ts_core_t *c)
{
	return c->conf != NULL && c->conf_confirmed_ms > 0 &&
	    c->now_ms - c->conf_confirmed_ms < c->opts.conf_stale_ms;
}
