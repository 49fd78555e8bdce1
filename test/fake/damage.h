/*
 * Random damage to bytes.  Include <stdint.h> and <glib.h> first.
 */
#ifndef DAMAGE_H
#define DAMAGE_H

/* Overwrites, flips, removes, cuts off or repeats bytes, up to five times. */
void damage_bytes(GRand *r, GByteArray *b);

#endif
