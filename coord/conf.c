/*
 * The configuration in force: read often, adopted only when newer and valid,
 * passed on to peers that are behind.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"
#include "coord.h"

#define CONF_KEY "conf"

void
conf_adopt_if_newer(
    ts_core_t *c, int64_t version, const char *routes, const char *pools)
{
	int64_t have = c->conf == NULL ? 0 : c->conf->version;
	g_autoptr(GPtrArray) errs = NULL;
	ts_conf_t *conf;

	if (version <= have || version <= c->conf_invalid_version)
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

static void
conf_read(ts_core_t *c, read_t *r, bool ok, const ts_row_t *rows, size_t n)
{
	c->conf_read_pending = false;
	if (!ok)
		return;
	for (size_t i = 0; i < n; i++)
		if (rows[i].kind == TS_ROW_CONF &&
		    strcmp(rows[i].key, CONF_KEY) == 0)
			conf_adopt_if_newer(c, rows[i].version,
			    rows[i].u.conf.routes, rows[i].u.conf.pools);
	/* Fresh only if what the store holds is what is in force. */
	if (c->conf != NULL && c->conf->version >= c->conf_invalid_version)
		c->conf_confirmed_ms = MAX(c->conf_confirmed_ms, r->issued_ms);
}

void
conf_poll(ts_core_t *c)
{
	if (c->conf_read_pending || c->now_ms < c->next_conf_read_ms)
		return;
	c->next_conf_read_ms = c->now_ms + c->opts.conf_poll_ms;
	c->conf_read_pending = true;
	read_start(c, CONF_KEY, c->conf == NULL ? 0 : c->conf->version,
	    conf_read, NULL);
}

bool
conf_is_fresh(const ts_core_t *c)
{
	return c->conf != NULL && c->conf_confirmed_ms > 0 &&
	    c->now_ms - c->conf_confirmed_ms < c->opts.conf_stale_ms;
}
