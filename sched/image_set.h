/*
 * Sets of images, given by their indexes, as bit masks.
 *
 * Include <stdbool.h> and <stdint.h> first.
 */
#ifndef IMAGE_SET_H
#define IMAGE_SET_H

#define IMAGES_MAX 64 /* images whose interference is learned */

/* The set with only this image. */
#define IMAGE_BIT(i) ((uint64_t)1 << (i))

/* Runs the statement that follows for each image i of a set. */
#define FOREACH_IMAGE(i, set) \
	for (uint64_t left_ = (set); \
	     left_ != 0 && ((i) = __builtin_ctzll(left_), true); \
	     left_ &= left_ - 1)

#endif
