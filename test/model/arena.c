/*
 * The allocator of a search; see arena.h.  Blocks of like sizes share a list of
 * free ones.  All of its state lies in the arena.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#include "arena.h"

#define ARENA_BYTES ((size_t)64 << 20)
#define ALIGNMENT   16
/* Sizes up to this are multiples of the alignment, larger ones powers of two. */
#define SMALL_BYTES   1024
#define SMALL_CLASSES (SMALL_BYTES / ALIGNMENT)
#define CLASSES	      (SMALL_CLASSES + 20)

typedef struct block {
	uint32_t class;
	uint32_t pad;
	struct block *next_free; /* while it is free */
} block_t;

/* The first bytes of the arena. */
typedef struct {
	size_t used;
	block_t *free[CLASSES];
} head_t;

static _Alignas(4096) unsigned char arena[ARENA_BYTES];

static head_t *
head(void)
{
	head_t *h = (head_t *)arena;

	if (h->used == 0)
		h->used =
		    (sizeof(*h) + ALIGNMENT - 1) & ~(size_t)(ALIGNMENT - 1);
	return h;
}

static uint32_t
class_of(size_t n)
{
	uint32_t c = SMALL_CLASSES;

	if (n <= SMALL_BYTES)
		return n == 0 ? 0 : (uint32_t)((n - 1) / ALIGNMENT);
	for (size_t size = SMALL_BYTES * 2; size < n; size *= 2)
		c++;
	return c;
}

static size_t
class_bytes(uint32_t c)
{
	return c < SMALL_CLASSES ?
	    (size_t)(c + 1) * ALIGNMENT :
	    (size_t)SMALL_BYTES * 2 << (c - SMALL_CLASSES);
}

static void *
take(size_t n)
{
	head_t *h = head();
	uint32_t c = class_of(n);
	block_t *b;

	if (c >= CLASSES) {
		errno = ENOMEM;
		return NULL;
	}
	b = h->free[c];
	if (b != NULL) {
		h->free[c] = b->next_free;
	} else {
		size_t size = sizeof(block_t) + class_bytes(c);

		if (size > ARENA_BYTES - h->used) {
			errno = ENOMEM;
			return NULL;
		}
		b = (block_t *)(arena + h->used);
		h->used += size;
		b->class = c;
	}
	return b + 1;
}

void *
malloc(size_t n)
{
	return take(n);
}

void
free(void *p)
{
	head_t *h = head();
	block_t *b = (block_t *)p - 1;

	if (p == NULL)
		return;
	b->next_free = h->free[b->class];
	h->free[b->class] = b;
}

void *
calloc(size_t n, size_t size)
{
	void *p = take(n * size);

	if (p != NULL)
		memset(p, 0, n * size);
	return p;
}

void *
realloc(void *p, size_t n)
{
	void *to;
	size_t old;

	if (p == NULL)
		return take(n);
	old = class_bytes(((block_t *)p - 1)->class);
	if (n <= old)
		return p;
	to = take(n);
	if (to != NULL) {
		memcpy(to, p, old);
		free(p);
	}
	return to;
}

size_t
arena_size(void)
{
	return head()->used;
}

void
arena_save(void *to)
{
	memcpy(to, arena, arena_size());
}

void
arena_restore(const void *from, size_t size)
{
	memcpy(arena, from, size);
}

void *
arena_outside(size_t size)
{
	void *p = mmap(NULL, size, PROT_READ | PROT_WRITE,
	    MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);

	return p == MAP_FAILED ? NULL : p;
}
