/*
 * Random damage to bytes, for the programs that fuzz decoders.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "damage.h"

void
damage_bytes(GRand *r, GByteArray *b)
{
	int times = g_rand_int_range(r, 0, 6);
	uint8_t repeated[8];

	while (times-- > 0 && b->len > 0) {
		guint at = (guint)g_rand_int_range(r, 0, (gint32)b->len);
		guint n = (guint)g_rand_int_range(r, 1, 9);

		switch (g_rand_int_range(r, 0, 5)) {
		case 0:
			b->data[at] = (uint8_t)g_rand_int(r);
			break;
		case 1:
			b->data[at] ^=
			    (uint8_t)(1U << g_rand_int_range(r, 0, 8));
			break;
		case 2:
			g_byte_array_remove_range(b, at, MIN(n, b->len - at));
			break;
		case 3:
			g_byte_array_set_size(b, at);
			break;
		default:
			n = MIN(n, b->len - at);
			memcpy(repeated, b->data + at, n);
			g_byte_array_append(b, repeated, n);
		}
	}
}
