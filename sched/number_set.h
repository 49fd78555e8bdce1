/*
 * Sets of numbers from 0 on that are mostly without gaps, kept as ranges: a set
 * takes the room of its gaps, however many numbers it has.
 *
 * Include <stdbool.h>, <stddef.h>, <stdint.h> and <glib.h> first.
 */
#ifndef NUMBER_SET_H
#define NUMBER_SET_H

typedef struct number_set number_set_t;

number_set_t *number_set_new(void);
number_set_t *number_set_copy(const number_set_t *set);
void number_set_free(number_set_t *set);
void number_set_add(number_set_t *set, int32_t number);
bool number_set_contains(const number_set_t *set, int32_t number);
/* The lowest number from one on that is not in the set. */
int32_t number_set_next_absent(const number_set_t *set, int32_t from);
/* How many numbers are in the set. */
int32_t number_set_count(const number_set_t *set);
/*
 * The ranges, in ascending order: of each its first number and the one after its
 * last.  The array is the set's own; *n: twice the number of ranges.
 */
const int32_t *number_set_bounds(const number_set_t *set, size_t *n);
/*
 * Makes the set that of such ranges; false, and an empty set, if they are not
 * ascending or exceed [0, limit).
 */
bool number_set_read(
    number_set_t *set, const int32_t *bounds, size_t n, int32_t limit);

#endif
