/*
 * An allocator whose whole state can be saved and restored, so that a search goes
 * back to an earlier state of all that the scheduler and the simulation hold.  It
 * takes the place of malloc(3) in the program that is linked with it.
 *
 * Include <stddef.h> first.
 */
#ifndef TEST_MODEL_ARENA_H
#define TEST_MODEL_ARENA_H

/* Bytes in use since the start of the program, which is what a snapshot takes. */
size_t arena_size(void);
/* Copies the arena to a buffer of arena_size() bytes. */
void arena_save(void *to);
/* Puts the arena back to what arena_save() copied, of that size. */
void arena_restore(const void *from, size_t size);
/* Zeroed memory that no snapshot covers, and which is never freed. */
void *arena_outside(size_t size);

#endif
