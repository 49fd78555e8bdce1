/*
 * The configuration: parsing and checks of its two texts (routes and pools),
 * and look-ups.  The texts are GLib key files; each error message contains the
 * file, the line and the field.
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
	FIELD_NAME,  /* const char *, interned */
	FIELD_PATH,  /* const char *, begins with / */
	FIELD_HEX64, /* const char *, 64 hex digits */
	FIELD_BOOL,  /* bool: false or true */
	FIELD_I32,   /* int32_t from min to max */
	FIELD_I64,   /* int64_t from min to max */
	FIELD_LIST,  /* GPtrArray * of names */
	FIELD_KIND,  /* ts_pool_kind_t: service or batch */
	FIELD_STATE  /* bool: in or out */
} field_type_t;

/* A field of a section. */
typedef struct {
	const char *key;
	field_type_t type;
	size_t offset; /* of the member in the record */
	int64_t min, max, default_value;
	bool required;
} field_t;

/* A type of section. */
typedef struct {
	const char *keyword; /* "route" in "[route NAME]" */
	size_t size;	     /* of the record */
	const field_t *fields;
} section_t;

/* A text being parsed, with the line of each section and field. */
typedef struct {
	const char *file; /* name for messages */
	GKeyFile *key_file;
	GHashTable *line_numbers; /* "section" or "section\nkey" */
	GPtrArray *errs;
} parser_t;

static const field_t route_fields[] = {
	{ "caller", FIELD_NAME, offsetof(ts_route_t, caller), 0, 0, 0, true },
	{ "path", FIELD_PATH, offsetof(ts_route_t, path), 0, 0, 0, true },
	{ "pool", FIELD_NAME, offsetof(ts_route_t, pool), 0, 0, 0, true },
	{ "token_sha256", FIELD_HEX64, offsetof(ts_route_t, token_sha256), 0, 0,
	    0, true },
	{ "idempotent", FIELD_BOOL, offsetof(ts_route_t, idempotent), 0, 1, 0,
	    false },
	{ "deadline_ms", FIELD_I32, offsetof(ts_route_t, deadline_ms), 1,
	    600000, 5000, false },
	{ NULL, 0, 0, 0, 0, 0, false }
};

static const field_t pool_fields[] = {
	{ "kind", FIELD_KIND, offsetof(ts_pool_t, kind), 0, 0, 0, true },
	{ "zones", FIELD_LIST, offsetof(ts_pool_t, zones), 0, 0, 0, true },
	{ "slots", FIELD_I32, offsetof(ts_pool_t, slots), 1, 4096, 8, false },
	{ "conns", FIELD_I32, offsetof(ts_pool_t, conns), 1, 4096, 64, false },
	{ "priority", FIELD_I32, offsetof(ts_pool_t, priority), 0, 9, 0,
	    false },
	{ "retry_pct", FIELD_I32, offsetof(ts_pool_t, retry_pct), 0, 100, 10,
	    false },
	{ "queue_ms", FIELD_I32, offsetof(ts_pool_t, queue_ms), 0, 10000, 50,
	    false },
	{ "port", FIELD_I32, offsetof(ts_pool_t, port), 1, 65535, 8080, false },
	{ "cpu_milli", FIELD_I64, offsetof(ts_pool_t, slot_size.cpu_milli), 0,
	    1000000000, 0, false },
	{ "mem_bytes", FIELD_I64, offsetof(ts_pool_t, slot_size.mem_bytes), 0,
	    INT64_C(1) << 50, 0, false },
	{ "accel", FIELD_I32, offsetof(ts_pool_t, slot_size.accel), 0, 1024, 0,
	    false },
	{ NULL, 0, 0, 0, 0, 0, false }
};

static const field_t zone_fields[] = { { "state", FIELD_STATE,
					   offsetof(ts_zone_t, out_of_service),
					   0, 0, 0, false },
	{ NULL, 0, 0, 0, 0, 0, false } };

static const field_t team_fields[] = { { "quota_cpu_milli", FIELD_I64,
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

/*
 * The line on which a section, or a field in it if key is not NULL, begins; 0
 * if there is none.
 */
static int
line_number(const parser_t *p, const char *section, const char *key)
{
	g_autofree char *k = key == NULL ?
	    g_strdup(section) :
	    g_strconcat(section, "\n", key, NULL);

	return GPOINTER_TO_INT(g_hash_table_lookup(p->line_numbers, k));
}

/* Appends an error message with its position; key may be NULL. */
static void G_GNUC_PRINTF(4, 5) add_error(const parser_t *p,
    const char *section, const char *key, const char *fmt, ...)
{
	va_list ap;
	int line = line_number(p, section, key);

	if (line == 0)
		line = line_number(p, section, NULL);
	va_start(ap, fmt);
	g_autofree char *message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(p->errs,
	    g_strdup_printf("%s:%d: [%s] %s%s%s", p->file, line, section,
		key == NULL ? "" : key, key == NULL ? "" : ": ", message));
}

/*
 * Stores the line of a section or field.  GLib merges repeated ones silently,
 * so a repetition is an error here.
 */
static void
add_line_number(parser_t *p, const char *section, const char *key, int line)
{
	if (line_number(p, section, key) != 0) {
		g_ptr_array_add(p->errs,
		    g_strdup_printf(
			"%s:%d: [%s] %s%sgiven twice, first on line %d",
			p->file, line, section, key == NULL ? "" : key,
			key == NULL ? "" : ": ", line_number(p, section, key)));
		return;
	}
	g_hash_table_insert(p->line_numbers,
	    key == NULL ? g_strdup(section) :
			  g_strconcat(section, "\n", key, NULL),
	    GINT_TO_POINTER(line));
}

/* Stores the line of each section and field, which GLib does not provide. */
static void
index_line_numbers(parser_t *p, const char *text)
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
			add_line_number(p, section, NULL, i + 1);
		} else if (s[0] != '#' && (end = strchr(s, '=')) != NULL) {
			*end = '\0';
			add_line_number(p, section, g_strchomp(s), i + 1);
		}
	}
}

/* Whether s may name a pool, zone, team, caller or record. */
static bool
is_valid_name(const char *s)
{
	size_t n = strlen(s);

	return n > 0 && n <= NAME_MAX_BYTES &&
	    strspn(s,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-_.") == n;
}

/*
 * Parses a whole number within the limits of the field; on an error, reports it
 * and leaves *out unchanged.
 */
static bool
parse_int(const parser_t *p, const char *section, const field_t *f,
    const char *s, int64_t *out)
{
	g_autoptr(GError) err = NULL;

	if (g_ascii_string_to_signed(s, 10, f->min, f->max, out, &err))
		return true;
	add_error(p, section, f->key,
	    "must be a whole number from %" PRId64 " to %" PRId64, f->min,
	    f->max);
	return false;
}

/* Parses a list of names separated by commas. */
static void
parse_list(const parser_t *p, const char *section, const field_t *f,
    const char *s, GPtrArray **out)
{
	g_auto(GStrv) v = g_strsplit(s, ",", -1);

	*out = g_ptr_array_new();
	for (int i = 0; v[i] != NULL; i++) {
		const char *w = g_strstrip(v[i]);

		if (!is_valid_name(w)) {
			add_error(p, section, f->key, "'%s' is not a name", w);
			continue;
		}
		g_ptr_array_add(*out, (void *)g_intern_string(w));
	}
}

/* Returns 0 or 1, depending on which of two words the value is. */
static int
parse_word(const parser_t *p, const char *section, const field_t *f,
    const char *s, const char *zero, const char *one)
{
	if (strcmp(s, zero) == 0)
		return 0;
	if (strcmp(s, one) != 0)
		add_error(p, section, f->key, "must be %s or %s", zero, one);
	return 1;
}

/* Parses the value of a field into its member of the record. */
static void
parse_field(const parser_t *p, const char *section, const field_t *f,
    const char *s, void *record)
{
	void *dest = (char *)record + f->offset;
	int64_t n = f->default_value;

	switch (f->type) {
	case FIELD_NAME:
		if (!is_valid_name(s))
			add_error(p, section, f->key,
			    "'%s' is not a name of 1 to "
			    "%d letters, digits, - _ or .",
			    s, NAME_MAX_BYTES);
		*(const char **)dest = g_intern_string(s);
		break;
	case FIELD_PATH:
		if (s[0] != '/')
			add_error(p, section, f->key, "must begin with /");
		*(const char **)dest = g_intern_string(s);
		break;
	case FIELD_HEX64:
		if (strlen(s) != 64 || strspn(s, "0123456789abcdef") != 64)
			add_error(p, section, f->key,
			    "must be 64 lower-case hex digits");
		*(const char **)dest = g_intern_string(s);
		break;
	case FIELD_BOOL:
		*(bool *)dest = parse_word(p, section, f, s, "false", "true");
		break;
	case FIELD_STATE:
		*(bool *)dest = parse_word(p, section, f, s, "in", "out");
		break;
	case FIELD_KIND:
		*(ts_pool_kind_t *)dest =
		    parse_word(p, section, f, s, "service", "batch") ?
		    TS_POOL_BATCH :
		    TS_POOL_SERVICE;
		break;
	case FIELD_LIST:
		parse_list(p, section, f, s, dest);
		break;
	case FIELD_I32:
		parse_int(p, section, f, s, &n);
		*(int32_t *)dest = (int32_t)n;
		break;
	case FIELD_I64:
		parse_int(p, section, f, s, &n);
		*(int64_t *)dest = n;
		break;
	}
}

/*
 * Sets an optional field that is absent; all but integers default to zero
 * bytes.
 */
static void
set_default(const field_t *f, void *record)
{
	void *dest = (char *)record + f->offset;

	if (f->type == FIELD_I32)
		*(int32_t *)dest = (int32_t)f->default_value;
	else if (f->type == FIELD_I64)
		*(int64_t *)dest = f->default_value;
}

/* The field of a type of section with this key, or NULL. */
static const field_t *
find_field(const section_t *type, const char *key)
{
	for (const field_t *f = type->fields; f->key != NULL; f++)
		if (strcmp(f->key, key) == 0)
			return f;
	return NULL;
}

/* Parses the fields of a section into a record. */
static void
parse_record(
    const parser_t *p, const char *section, const section_t *type, void *record)
{
	g_auto(GStrv) keys =
	    g_key_file_get_keys(p->key_file, section, NULL, NULL);

	for (int i = 0; keys != NULL && keys[i] != NULL; i++)
		if (find_field(type, keys[i]) == NULL)
			add_error(p, section, keys[i], "unknown field");
	for (const field_t *f = type->fields; f->key != NULL; f++) {
		g_autofree char *v =
		    g_key_file_get_value(p->key_file, section, f->key, NULL);

		if (v != NULL)
			parse_field(p, section, f, g_strstrip(v), record);
		else if (f->required)
			add_error(p, section, f->key, "missing");
		else
			set_default(f, record);
	}
}

/*
 * Prepares a text for parsing.  Returns false, with a message in errs, if it is
 * too long, not UTF-8 or not a key file; unload_text() is needed in any case.
 */
static bool
load_text(parser_t *p, const char *file, const char *text, GPtrArray *errs)
{
	g_autoptr(GError) err = NULL;

	p->file = file;
	p->errs = errs;
	p->key_file = g_key_file_new();
	p->line_numbers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (strlen(text) > TEXT_MAX_BYTES || !g_utf8_validate(text, -1, NULL)) {
		g_ptr_array_add(errs,
		    g_strdup_printf("%s:1: not utf-8 text "
				    "of at most %d bytes",
			file, TEXT_MAX_BYTES));
		return false;
	}
	index_line_numbers(p, text);
	if (!g_key_file_load_from_data(
		p->key_file, text, (gsize)-1, G_KEY_FILE_NONE, &err)) {
		g_ptr_array_add(
		    errs, g_strdup_printf("%s:1: %s", file, err->message));
		return false;
	}
	return true;
}

static void
unload_text(parser_t *p)
{
	g_key_file_free(p->key_file);
	g_hash_table_destroy(p->line_numbers);
}

/*
 * Parses every section of a text.  Appends the record of a section to the
 * element of records with the same index as its type in section_types.
 */
static void
parse_sections(
    parser_t *p, const section_t *const *section_types, GPtrArray **records)
{
	g_auto(GStrv) sections = g_key_file_get_groups(p->key_file, NULL);

	for (int i = 0; sections[i] != NULL; i++) {
		int k = 0;

		while (section_types[k] != NULL &&
		    !(g_str_has_prefix(
			  sections[i], section_types[k]->keyword) &&
			sections[i][strlen(section_types[k]->keyword)] == ' '))
			k++;
		if (section_types[k] == NULL) {
			add_error(
			    p, sections[i], NULL, "unknown kind of section");
			continue;
		}

		const char *name =
		    sections[i] + strlen(section_types[k]->keyword) + 1;
		void *record = g_malloc0(section_types[k]->size);

		if (!is_valid_name(name))
			add_error(
			    p, sections[i], NULL, "'%s' is not a name", name);
		/* The name is the first member of every record. */
		*(const char **)record = g_intern_string(name);
		parse_record(p, sections[i], section_types[k], record);
		g_ptr_array_add(records[k], record);
	}
}

/* The record with this name, or NULL. */
static void *
find_named(const GPtrArray *a, const char *name)
{
	for (guint i = 0; i < a->len; i++)
		if (g_strcmp0(*(const char **)a->pdata[i], name) == 0)
			return a->pdata[i];
	return NULL;
}

/*
 * Reports routes with the same token and path, which would match the same
 * requests.
 */
static void
check_duplicate_routes(const parser_t *p, const ts_conf_t *c)
{
	g_autoptr(GHashTable) seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < c->routes->len; i++) {
		ts_route_t *r = c->routes->pdata[i];
		g_autofree char *section = g_strconcat("route ", r->name, NULL);
		const char *first;
		char *k;

		if (r->token_sha256 == NULL || r->path == NULL)
			continue; /* reported already */
		k = g_strconcat(r->token_sha256, r->path, NULL);
		first = g_hash_table_lookup(seen, k);
		if (first != NULL) {
			add_error(p, section, "path",
			    "same caller token and path as route %s", first);
			g_free(k);
			continue;
		}
		g_hash_table_insert(seen, k, (void *)r->name);
	}
}

/*
 * Checks what a single section can't show: that the pools and zones named
 * exist, and that limits and routes are consistent.
 */
static void
check_references(const parser_t *routes_parser, const parser_t *pools_parser,
    const ts_conf_t *c)
{
	for (guint i = 0; i < c->routes->len; i++) {
		ts_route_t *r = c->routes->pdata[i];
		ts_pool_t *pool = find_named(c->pools, r->pool);
		g_autofree char *section = g_strconcat("route ", r->name, NULL);

		if (pool == NULL)
			add_error(routes_parser, section, "pool",
			    "no pool named %s", r->pool);
		else if (pool->kind != TS_POOL_SERVICE)
			add_error(routes_parser, section, "pool",
			    "pool %s is for batch", r->pool);
	}
	for (guint i = 0; i < c->pools->len; i++) {
		ts_pool_t *pool = c->pools->pdata[i];
		g_autofree char *section =
		    g_strconcat("pool ", pool->name, NULL);

		for (guint z = 0; pool->zones && z < pool->zones->len; z++)
			if (find_named(c->zones, pool->zones->pdata[z]) == NULL)
				add_error(pools_parser, section, "zones",
				    "no zone named %s",
				    (char *)pool->zones->pdata[z]);
		if (pool->conns < pool->slots)
			add_error(pools_parser, section, "conns",
			    "must be at least slots (%d)", pool->slots);
	}
	check_duplicate_routes(routes_parser, c);
}

/* Frees a value of token_index. */
static void
free_route_array(void *p)
{
	g_ptr_array_free(p, TRUE);
}

/* Builds hash tables of teams and routes, of which there may be many. */
static void
build_indexes(ts_conf_t *c)
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
	static const section_t *const route_section_types[] = { &route_section,
		NULL };
	static const section_t *const pool_section_types[] = { &pool_section,
		&zone_section, &team_section, NULL };
	ts_conf_t *c = g_new0(ts_conf_t, 1);
	GPtrArray *pool_records[3];
	guint errs_before = errs->len;
	parser_t routes_parser, pools_parser;
	bool ok;

	c->version = version;
	c->routes = g_ptr_array_new_with_free_func(g_free);
	c->pools = g_ptr_array_new_with_free_func(free_pool);
	c->zones = g_ptr_array_new_with_free_func(g_free);
	c->teams = g_ptr_array_new_with_free_func(g_free);
	c->team_index = g_hash_table_new(g_str_hash, g_str_equal);
	c->token_index = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, free_route_array);
	pool_records[0] = c->pools;
	pool_records[1] = c->zones;
	pool_records[2] = c->teams;

	ok = load_text(&routes_parser, "routes", routes, errs);
	ok = load_text(&pools_parser, "pools", pools, errs) && ok;
	if (ok) {
		parse_sections(&routes_parser, route_section_types, &c->routes);
		parse_sections(&pools_parser, pool_section_types, pool_records);
		check_references(&routes_parser, &pools_parser, c);
	}
	unload_text(&routes_parser);
	unload_text(&pools_parser);
	if (errs->len > errs_before) {
		ts_conf_free(c);
		return NULL;
	}
	build_indexes(c);
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

const ts_route_t *
ts_conf_find_route(
    const ts_conf_t *c, const char *token_sha256, const char *path)
{
	const GPtrArray *routes =
	    g_hash_table_lookup(c->token_index, token_sha256);
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
	g_autoptr(GKeyFile) key_file = g_key_file_new();
	g_autofree char *section = g_strconcat("zone ", zone, NULL);
	g_autoptr(GError) why = NULL;

	if (!g_key_file_load_from_data(
		key_file, pools, (gsize)-1, G_KEY_FILE_KEEP_COMMENTS, &why)) {
		g_set_error(err, TS_STATE_ERROR, TS_STATE_SYNTAX, "pools: %s",
		    why->message);
		return NULL;
	}
	if (!g_key_file_has_group(key_file, section)) {
		g_set_error(err, TS_STATE_ERROR, TS_STATE_FIELD,
		    "pools: no zone named %s", zone);
		return NULL;
	}
	g_key_file_set_string(key_file, section, "state", out ? "out" : "in");
	return g_key_file_to_data(key_file, NULL, NULL);
}
