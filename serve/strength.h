/*
 * How much work the entries of a cell can do, and what follows from it: which
 * of them claims a free cell first, and to which its owner leaves it.  No I/O.
 *
 * A strength is the lower of an entry's shares of processor and link, in
 * thousandths of a quarter core.
 *
 * Include <stdbool.h>, <stddef.h> and <stdint.h> first.
 */
#ifndef STRENGTH_H
#define STRENGTH_H

/* Another entry of the cell. */
typedef struct {
	const char *name;
	int32_t strength;
	int64_t incarnation; /* when its process started */
} strength_entry_t;

/* Of an entry with this share of the processor and capacity of its link. */
int32_t strength_of(double cores, double link_mbps);
/*
 * How much later than the strongest this entry claims a free cell, given the
 * other entries that it knows; up_ms: how long its process has run.
 */
int32_t strength_claim_delay_ms(
    int32_t own, const strength_entry_t *others, size_t n, int64_t up_ms);
/*
 * Chooses the entry to which an owner of this strength leaves the cell; NULL: none.
 */
const strength_entry_t *
strength_successor(int32_t own, const strength_entry_t *others, size_t n);

#endif
