/*
 * The hash of a state; see digest.h.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../../proto/sched.pb-c.h"
#include "../../sched/sched.h"
#include "cell.h"
#include "digest.h"

#define PAST_MS \
	7000 /* nothing compares with a time before, leases are shorter */
#define HASH_SEED 0x9e3779b97f4a7c15
#define FUTURE_MS 30000

/* The finalizer of splitmix64. */
static uint64_t
mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9;
	x ^= x >> 27;
	x *= 0x94d049bb133111eb;
	return x ^ x >> 31;
}

void
digest_begin(digest_t *d, int64_t now_ms)
{
	memset(d->nvalues, 0, sizeof(d->nvalues));
	d->now_ms = now_ms;
	d->collecting = true;
	d->hash = 0;
}

void
digest_begin_plain(digest_t *d)
{
	d->collecting = false;
	d->hash = HASH_SEED;
}

static void
sort_small(int64_t *v, int32_t n)
{
	for (int32_t i = 1; i < n; i++)
		for (int32_t k = i; k > 0 && v[k - 1] > v[k]; k--) {
			int64_t t = v[k];

			v[k] = v[k - 1];
			v[k - 1] = t;
		}
}

void
digest_rank_values(digest_t *d)
{
	for (int32_t i = 0; i < NRANKS; i++)
		sort_small(d->values[i], d->nvalues[i]);
	d->collecting = false;
	d->hash = HASH_SEED;
}

void
digest_put(digest_t *d, int64_t v)
{
	if (!d->collecting)
		d->hash = mix(d->hash * 3 + (uint64_t)v);
}

void
digest_put_bytes(digest_t *d, const void *bytes, size_t n)
{
	const uint8_t *b = bytes;
	uint64_t v = 0;

	if (d->collecting)
		return;
	digest_put(d, (int64_t)n);
	for (size_t i = 0; i < n; i++) {
		v = v << 8 | b[i];
		if (i % 8 == 7 || i + 1 == n) {
			digest_put(d, (int64_t)v);
			v = 0;
		}
	}
}

void
digest_put_string(digest_t *d, const char *s)
{
	digest_put_bytes(d, s == NULL ? "" : s, s == NULL ? 0 : strlen(s));
}

void
digest_put_time(digest_t *d, int64_t ms)
{
	digest_put(d,
	    CLAMP(ms, d->now_ms - PAST_MS, d->now_ms + FUTURE_MS) - d->now_ms);
}

void
digest_put_end(digest_t *d, int64_t ms)
{
	digest_put(d, CLAMP(ms - d->now_ms, -1, FUTURE_MS));
}

void
digest_put_rank(digest_t *d, digest_rank_t kind, int64_t v)
{
	int32_t n = d->nvalues[kind], i = 0;

	if (!d->collecting) {
		while (i < n && d->values[kind][i] < v)
			i++;
		digest_put(d, i);
		return;
	}
	while (i < n && d->values[kind][i] != v)
		i++;
	if (i == n && n < DIGEST_RANKED_MAX) {
		d->values[kind][n] = v;
		d->nvalues[kind]++;
	}
}
