/*
 * The two tables: parsing, checks and look-ups.  Tables are GLib key files;
 * every message names the file, the line and the field.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "tanagerspool.h"

#define TEXT_MAX_BYTES (4 * 1024 * 1024)
#define NAME_MAX_BYTES 63

typedef enum {
	F_NAME,
	F_PATH,
	F_HEX64,
	F_BOOL,
	F_I32,
	F_I64,
	F_LIST,
	F_KIND,
	F_STATE
} field_type_t;

typedef struct {
	const char *key;
	field_type_t type;
	size_t at; /* offset in the record */
	int64_t min, max, dflt;
	bool must;
} field_t;

typedef struct {
	const char *word; /* "route" in "[route NAME]" */
	size_t size;
	const field_t *fields;
} section_t;

/* A text being parsed, with the line of each section and field. */
typedef struct {
	const char *file;
	GKeyFile *kf;
	GHashTable *lines; /* "section" or "section\nkey" */
	GPtrArray *errs;
} parse_t;

static const field_t route_fields[] = {
	{ "caller", F_NAME, offsetof(ts_route_t, caller), 0, 0, 0, true },
	{ "path", F_PATH, offsetof(ts_route_t, path), 0, 0, 0, true },
	{ "pool", F_NAME, offsetof(ts_route_t, pool), 0, 0, 0, true },
	{ "token_sha256", F_HEX64, offsetof(ts_route_t, token_sha256), 0, 0, 0,
	    true },
	{ "idempotent", F_BOOL, offsetof(ts_route_t, idempotent), 0, 1, 0,
	    false },
	{ "deadline_ms", F_I32, offsetof(ts_route_t, deadline_ms), 1, 600000,
	    5000, false },
	{ NULL, 0, 0, 0, 0, 0, false }
};

static const field_t pool_fields[] = {
	{ "kind", F_KIND, offsetof(ts_pool_t, kind), 0, 0, 0, true },
	{ "zones", F_LIST, offsetof(ts_pool_t, zones), 0, 0, 0, true },
	{ "slots", F_I32, offsetof(ts_pool_t, slots), 1, 4096, 8, false },
	{ "conns", F_I32, offsetof(ts_pool_t, conns), 1, 4096, 64, false },
	{ "priority", F_I32, offsetof(ts_pool_t, priority), 0, 9, 0, false },
	{ "retry_pct", F_I32, offsetof(ts_pool_t, retry_pct), 0, 100, 10,
	    false },
	{ "queue_ms", F_I32, offsetof(ts_pool_t, queue_ms), 0, 10000, 50,
	    false },
	{ "port", F_I32, offsetof(ts_pool_t, port), 1, 65535, 8080, false },
	{ "cpu_milli", F_I64, offsetof(ts_pool_t, slot_size.cpu_milli), 0,
	    1000000000, 0, false },
	{ "mem_bytes", F_I64, offsetof(ts_pool_t, slot_size.mem_bytes), 0,
	    INT64_C(1) << 50, 0, false },
	{ "accel", F_I32, offsetof(ts_pool_t, slot_size.accel), 0, 1024, 0,
	    false },
	{ NULL, 0, 0, 0, 0, 0, false }
};

static const field_t zone_fields[] = { { "state", F_STATE,
					   offsetof(ts_zone_t, out_of_service),
					   0, 0, 0, false },
	{ NULL, 0, 0, 0, 0, 0, false } };

static const field_t team_fields[] = { { "quota_cpu_milli", F_I64,
					   offsetof(ts_team_t, quota_cpu_milli),
					   0, INT64_C(1) << 40, 0, true },
	{ NULL, 0, 0, 0, 0, 0, false } };

static const section_t route_section = { "route", sizeof(ts_route_t),
	route_fields };
static const section_t pool_section = { "pool", sizeof(ts_pool_t),
	pool_fields };
static const section_t zone_section = { "zone", sizeof(ts_zone_t),
	zone_fields };
static const section_t team_section = { "team", sizeof(ts_team_t),
	team_fields };

G_DEFINE_QUARK(ts_state_error, ts_state_error)

static int
line_of(const parse_t *p, const char *section, const char *key)
{
	g_autofree char *k = key == NULL ?
	    g_strdup(section) :
	    g_strconcat(section, "\n", key, NULL);

	return GPOINTER_TO_INT(g_hash_table_lookup(p->lines, k));
}

static void G_GNUC_PRINTF(4, 5) complain(const parse_t *p, const char *section,
    const char *key, const char *fmt, ...)
{
	va_list ap;
	int line = line_of(p, section, key);

	if (line == 0)
		line = line_of(p, section, NULL);
	va_start(ap, fmt);
	g_autofree char *what = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(p->errs,
	    g_strdup_printf("%s:%d: [%s] %s%s%s", p->file, line, section,
		key == NULL ? "" : key, key == NULL ? "" : ": ", what));
}

static void
note_line(parse_t *p, const char *section, const char *key, int line)
{
	if (line_of(p, section, key) != 0) {
		g_ptr_array_add(p->errs,
		    g_strdup_printf(
			"%s:%d: [%s] %s%sgiven twice, first on line %d",
			p->file, line, section, key == NULL ? "" : key,
			key == NULL ? "" : ": ", line_of(p, section, key)));
		return;
	}
	g_hash_table_insert(p->lines,
	    key == NULL ? g_strdup(section) :
			  g_strconcat(section, "\n", key, NULL),
	    GINT_TO_POINTER(line));
}

/* Notes where each section and field stands; key files do not say. */
static void
index_lines(parse_t *p, const char *text)
{
	g_auto(GStrv) v = g_strsplit(text, "\n", -1);
	g_autofree char *section = g_strdup("");

	for (int i = 0; v[i] != NULL; i++) {
		char *s = g_strstrip(v[i]);
		char *end;

		if (s[0] == '[' && (end = strchr(s, ']')) != NULL) {
			*end = '\0';
			g_free(section);
			section = g_strdup(s + 1);
			note_line(p, section, NULL, i + 1);
		} else if (s[0] != '#' && (end = strchr(s, '=')) != NULL) {
			*end = '\0';
			note_line(p, section, g_strchomp(s), i + 1);
		}
	}
}

static bool
name_ok(const char *s)
{
	size_t n = strlen(s);

	return n > 0 && n <= NAME_MAX_BYTES &&
	    strspn(s,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-_.") == n;
}

static bool
set_int(const parse_t *p, const char *sec, const field_t *f, const char *s,
    int64_t *out)
{
	g_autoptr(GError) err = NULL;

	if (g_ascii_string_to_signed(s, 10, f->min, f->max, out, &err))
		return true;
	complain(p, sec, f->key,
	    "must be a whole number from %" PRId64 " to %" PRId64, f->min,
	    f->max);
	return false;
}

static void
set_list(const parse_t *p, const char *sec, const field_t *f, const char *s,
    GPtrArray **out)
{
	g_auto(GStrv) v = g_strsplit(s, ",", -1);

	*out = g_ptr_array_new();
	for (int i = 0; v[i] != NULL; i++) {
		const char *w = g_strstrip(v[i]);

		if (!name_ok(w)) {
			complain(p, sec, f->key, "'%s' is not a name", w);
			continue;
		}
		g_ptr_array_add(*out, (void *)g_intern_string(w));
	}
}

/* Stores one of two words as 0 or 1. */
static int
set_word(const parse_t *p, const char *sec, const field_t *f, const char *s,
    const char *zero, const char *one)
{
	if (strcmp(s, zero) == 0)
		return 0;
	if (strcmp(s, one) != 0)
		complain(p, sec, f->key, "must be %s or %s", zero, one);
	return 1;
}

static void
set_field(const parse_t *p, const char *sec, const field_t *f, const char *s,
    void *rec)
{
	void *at = (char *)rec + f->at;
	int64_t n = f->dflt;

	switch (f->type) {
	case F_NAME:
		if (!name_ok(s))
			complain(p, sec, f->key,
			    "'%s' is not a name of 1 to "
			    "%d letters, digits, - _ or .",
			    s, NAME_MAX_BYTES);
		*(const char **)at = g_intern_string(s);
		break;
	case F_PATH:
		if (s[0] != '/')
			complain(p, sec, f->key, "must begin with /");
		*(const char **)at = g_intern_string(s);
		break;
	case F_HEX64:
		if (strlen(s) != 64 || strspn(s, "0123456789abcdef") != 64)
			complain(
			    p, sec, f->key, "must be 64 lower-case hex digits");
		*(const char **)at = g_intern_string(s);
		break;
	case F_BOOL:
		*(bool *)at = set_word(p, sec, f, s, "false", "true");
		break;
	case F_STATE:
		*(bool *)at = set_word(p, sec, f, s, "in", "out");
		break;
	case F_KIND:
		*(ts_pool_kind_t *)at =
		    set_word(p, sec, f, s, "service", "batch") ?
		    TS_POOL_BATCH :
		    TS_POOL_SERVICE;
		break;
	case F_LIST:
		set_list(p, sec, f, s, at);
		break;
	case F_I32:
		set_int(p, sec, f, s, &n);
		*(int32_t *)at = (int32_t)n;
		break;
	case F_I64:
		set_int(p, sec, f, s, &n);
		*(int64_t *)at = n;
		break;
	}
}

static void
set_default(const field_t *f, void *rec)
{
	void *at = (char *)rec + f->at;

	if (f->type == F_I32)
		*(int32_t *)at = (int32_t)f->dflt;
	else if (f->type == F_I64)
		*(int64_t *)at = f->dflt;
}

static const field_t *
find_field(const section_t *s, const char *key)
{
	for (const field_t *f = s->fields; f->key != NULL; f++)
		if (strcmp(f->key, key) == 0)
			return f;
	return NULL;
}

static void
parse_record(const parse_t *p, const char *sec, const section_t *s, void *rec)
{
	g_auto(GStrv) keys = g_key_file_get_keys(p->kf, sec, NULL, NULL);

	for (int i = 0; keys != NULL && keys[i] != NULL; i++)
		if (find_field(s, keys[i]) == NULL)
			complain(p, sec, keys[i], "unknown field");
	for (const field_t *f = s->fields; f->key != NULL; f++) {
		g_autofree char *v =
		    g_key_file_get_value(p->kf, sec, f->key, NULL);

		if (v != NULL)
			set_field(p, sec, f, g_strstrip(v), rec);
		else if (f->must)
			complain(p, sec, f->key, "missing");
		else
			set_default(f, rec);
	}
}

static bool
open_text(parse_t *p, const char *file, const char *text, GPtrArray *errs)
{
	g_autoptr(GError) err = NULL;

	p->file = file;
	p->errs = errs;
	p->kf = g_key_file_new();
	p->lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (strlen(text) > TEXT_MAX_BYTES || !g_utf8_validate(text, -1, NULL)) {
		g_ptr_array_add(errs,
		    g_strdup_printf("%s:1: not utf-8 text "
				    "of at most %d bytes",
			file, TEXT_MAX_BYTES));
		return false;
	}
	index_lines(p, text);
	if (!g_key_file_load_from_data(
		p->kf, text, (gsize)-1, G_KEY_FILE_NONE, &err)) {
		g_ptr_array_add(
		    errs, g_strdup_printf("%s:1: %s", file, err->message));
		return false;
	}
	return true;
}

static void
close_text(parse_t *p)
{
	g_key_file_free(p->kf);
	g_hash_table_destroy(p->lines);
}

/* Reads every section of a text into the array its first word names. */
static void
parse_text(parse_t *p, const section_t *const *kinds, GPtrArray **into)
{
	g_auto(GStrv) secs = g_key_file_get_groups(p->kf, NULL);

	for (int i = 0; secs[i] != NULL; i++) {
		int k = 0;

		while (kinds[k] != NULL &&
		    !(g_str_has_prefix(secs[i], kinds[k]->word) &&
			secs[i][strlen(kinds[k]->word)] == ' '))
			k++;
		if (kinds[k] == NULL) {
			complain(p, secs[i], NULL, "unknown kind of section");
			continue;
		}

		const char *name = secs[i] + strlen(kinds[k]->word) + 1;
		void *rec = g_malloc0(kinds[k]->size);

		if (!name_ok(name))
			complain(p, secs[i], NULL, "'%s' is not a name", name);
		/* Every record begins with its name. */
		*(const char **)rec = g_intern_string(name);
		parse_record(p, secs[i], kinds[k], rec);
		g_ptr_array_add(into[k], rec);
	}
}

static void *
find_named(const GPtrArray *a, const char *name)
{
	for (guint i = 0; i < a->len; i++)
		if (g_strcmp0(*(const char **)a->pdata[i], name) == 0)
			return a->pdata[i];
	return NULL;
}

/* Two routes with one token and one path could not be told apart. */
static void
check_overlap(const parse_t *p, const ts_conf_t *c)
{
	g_autoptr(GHashTable) seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < c->routes->len; i++) {
		ts_route_t *r = c->routes->pdata[i];
		g_autofree char *sec = g_strconcat("route ", r->name, NULL);
		const char *first;
		char *k;

		if (r->token_sha256 == NULL || r->path == NULL)
			continue; /* told of already */
		k = g_strconcat(r->token_sha256, r->path, NULL);
		first = g_hash_table_lookup(seen, k);
		if (first != NULL) {
			complain(p, sec, "path",
			    "same caller token and path as route %s", first);
			g_free(k);
			continue;
		}
		g_hash_table_insert(seen, k, (void *)r->name);
	}
}

static void
check_joins(const parse_t *rp, const parse_t *pp, const ts_conf_t *c)
{
	for (guint i = 0; i < c->routes->len; i++) {
		ts_route_t *r = c->routes->pdata[i];
		ts_pool_t *pool = find_named(c->pools, r->pool);
		g_autofree char *sec = g_strconcat("route ", r->name, NULL);

		if (pool == NULL)
			complain(rp, sec, "pool", "no pool named %s", r->pool);
		else if (pool->kind != TS_POOL_SERVICE)
			complain(
			    rp, sec, "pool", "pool %s is for batch", r->pool);
	}
	for (guint i = 0; i < c->pools->len; i++) {
		ts_pool_t *pool = c->pools->pdata[i];
		g_autofree char *sec = g_strconcat("pool ", pool->name, NULL);

		for (guint z = 0; pool->zones && z < pool->zones->len; z++)
			if (find_named(c->zones, pool->zones->pdata[z]) == NULL)
				complain(pp, sec, "zones", "no zone named %s",
				    (char *)pool->zones->pdata[z]);
		if (pool->conns < pool->slots)
			complain(pp, sec, "conns",
			    "must be at least slots (%d)", pool->slots);
	}
	check_overlap(rp, c);
}

static void
free_routes(void *p)
{
	g_ptr_array_free(p, TRUE);
}

/* Teams and routes are many, so they are looked up by hash. */
static void
index_tables(ts_conf_t *c)
{
	for (guint i = 0; i < c->teams->len; i++) {
		ts_team_t *t = c->teams->pdata[i];

		g_hash_table_insert(c->team_index, (void *)t->name, t);
	}
	for (guint i = 0; i < c->routes->len; i++) {
		ts_route_t *r = c->routes->pdata[i];
		GPtrArray *a =
		    g_hash_table_lookup(c->token_index, r->token_sha256);

		if (a == NULL) {
			a = g_ptr_array_new();
			g_hash_table_insert(
			    c->token_index, (void *)r->token_sha256, a);
		}
		g_ptr_array_add(a, r);
	}
}

static void
free_pool(void *p)
{
	ts_pool_t *pool = p;

	if (pool->zones != NULL)
		g_ptr_array_free(pool->zones, TRUE);
	g_free(pool);
}

ts_conf_t *
ts_conf_parse(
    const char *routes, const char *pools, int64_t version, GPtrArray *errs)
{
	static const section_t *const route_kinds[] = { &route_section, NULL };
	static const section_t *const pool_kinds[] = { &pool_section,
		&zone_section, &team_section, NULL };
	ts_conf_t *c = g_new0(ts_conf_t, 1);
	GPtrArray *pool_into[3];
	guint before = errs->len;
	parse_t rp, pp;
	bool ok;

	c->version = version;
	c->routes = g_ptr_array_new_with_free_func(g_free);
	c->pools = g_ptr_array_new_with_free_func(free_pool);
	c->zones = g_ptr_array_new_with_free_func(g_free);
	c->teams = g_ptr_array_new_with_free_func(g_free);
	c->team_index = g_hash_table_new(g_str_hash, g_str_equal);
	c->token_index =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_routes);
	pool_into[0] = c->pools;
	pool_into[1] = c->zones;
	pool_into[2] = c->teams;

	ok = open_text(&rp, "routes", routes, errs);
	ok = open_text(&pp, "pools", pools, errs) && ok;
	if (ok) {
		parse_text(&rp, route_kinds, &c->routes);
		parse_text(&pp, pool_kinds, pool_into);
		check_joins(&rp, &pp, c);
	}
	close_text(&rp);
	close_text(&pp);
	if (errs->len > before) {
		ts_conf_free(c);
		return NULL;
	}
	index_tables(c);
	return c;
}

void
ts_conf_free(ts_conf_t *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->team_index);
	g_hash_table_destroy(c->token_index);
	g_ptr_array_free(c->routes, TRUE);
	g_ptr_array_free(c->pools, TRUE);
	g_ptr_array_free(c->zones, TRUE);
	g_ptr_array_free(c->teams, TRUE);
	g_free(c);
}

/* The longest matching path of the token's routes wins. */
const ts_route_t *
ts_conf_find_route(const ts_conf_t *c, const char *token, const char *path)
{
	const GPtrArray *routes = g_hash_table_lookup(c->token_index, token);
	const ts_route_t *best = NULL;

	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const ts_route_t *r = routes->pdata[i];

		if (!g_str_has_prefix(path, r->path))
			continue;
		if (best == NULL || strlen(r->path) > strlen(best->path))
			best = r;
	}
	return best;
}

const ts_pool_t *
ts_conf_find_pool(const ts_conf_t *c, const char *name)
{
	return find_named(c->pools, name);
}

const ts_team_t *
ts_conf_find_team(const ts_conf_t *c, const char *name)
{
	return g_hash_table_lookup(c->team_index, name);
}

bool
ts_conf_zone_is_out(const ts_conf_t *c, const char *zone)
{
	const ts_zone_t *z = find_named(c->zones, zone);

	return z == NULL || z->out_of_service;
}

bool
ts_conf_pool_in_zone(const ts_pool_t *pool, const char *zone)
{
	for (guint i = 0; i < pool->zones->len; i++)
		if (strcmp(pool->zones->pdata[i], zone) == 0)
			return true;
	return false;
}

char *
ts_conf_set_zone(const char *pools, const char *zone, bool out, GError **err)
{
	g_autoptr(GKeyFile) kf = g_key_file_new();
	g_autofree char *sec = g_strconcat("zone ", zone, NULL);
	g_autoptr(GError) why = NULL;

	if (!g_key_file_load_from_data(
		kf, pools, (gsize)-1, G_KEY_FILE_KEEP_COMMENTS, &why)) {
		g_set_error(err, TS_STATE_ERROR, TS_STATE_SYNTAX, "pools: %s",
		    why->message);
		return NULL;
	}
	if (!g_key_file_has_group(kf, sec)) {
		g_set_error(err, TS_STATE_ERROR, TS_STATE_FIELD,
		    "pools: no zone named %s", zone);
		return NULL;
	}
	g_key_file_set_string(kf, sec, "state", out ? "out" : "in");
	return g_key_file_to_data(kf, NULL, NULL);
}
