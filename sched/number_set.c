/*
 * Sets of numbers as ranges; see number_set.h.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "number_set.h"

struct number_set {
	/* int32_t: first number of a range, the one after its last, of all
	 * ranges in ascending order.  No two of them touch. */
	GArray *bounds;
	int32_t count;
};

number_set_t *
number_set_new(void)
{
	number_set_t *set = g_new0(number_set_t, 1);

	set->bounds = g_array_new(FALSE, FALSE, sizeof(int32_t));
	return set;
}

number_set_t *
number_set_copy(const number_set_t *set)
{
	number_set_t *copy = g_new0(number_set_t, 1);

	copy->bounds = g_array_copy(set->bounds);
	copy->count = set->count;
	return copy;
}

void
number_set_free(number_set_t *set)
{
	g_array_unref(set->bounds);
	g_free(set);
}

static int32_t *
bound_at(const number_set_t *set, guint i)
{
	return &g_array_index(set->bounds, int32_t, i);
}

/* How many bounds are at most a number: it is in the set if they are odd. */
static guint
bounds_up_to(const number_set_t *set, int32_t number)
{
	guint low = 0, high = set->bounds->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;

		if (*bound_at(set, mid) <= number)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

bool
number_set_contains(const number_set_t *set, int32_t number)
{
	return bounds_up_to(set, number) % 2 == 1;
}

void
number_set_add(number_set_t *set, int32_t number)
{
	guint at = bounds_up_to(set, number);
	bool extends = at > 0 && *bound_at(set, at - 1) == number;
	bool meets = at < set->bounds->len && *bound_at(set, at) == number + 1;
	int32_t range[] = { number, number + 1 };

	if (at % 2 == 1)
		return;
	set->count++;
	if (extends && meets)
		g_array_remove_range(set->bounds, at - 1, 2);
	else if (extends)
		(*bound_at(set, at - 1))++;
	else if (meets)
		(*bound_at(set, at))--;
	else
		g_array_insert_vals(set->bounds, at, range, 2);
}

int32_t
number_set_next_absent(const number_set_t *set, int32_t from)
{
	guint at = bounds_up_to(set, from);

	return at % 2 == 1 ? *bound_at(set, at) : from;
}

int32_t
number_set_count(const number_set_t *set)
{
	return set->count;
}

const int32_t *
number_set_bounds(const number_set_t *set, size_t *n)
{
	*n = set->bounds->len;
	return (const int32_t *)set->bounds->data;
}

bool
number_set_read(
    number_set_t *set, const int32_t *bounds, size_t n, int32_t limit)
{
	bool valid = n % 2 == 0;

	g_array_set_size(set->bounds, 0);
	set->count = 0;
	for (size_t i = 0; i < n; i++)
		valid = valid && bounds[i] >= 0 && bounds[i] <= limit &&
		    (i == 0 || bounds[i] > bounds[i - 1]);
	if (!valid)
		return false;
	g_array_append_vals(set->bounds, bounds, (guint)n);
	for (size_t i = 0; i < n; i += 2)
		set->count += bounds[i + 1] - bounds[i];
	return true;
}
