/*
 * The row in the store that keeps the learned interference coefficients, so
 * that the next owner need not learn them again at the cost of serving tasks.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "tanagerspool.h"
#include "sched.h"
#include "image_set.h"
#include "headroom.h"
#include "run_time.h"
#include "types.h"
#include "customer.h"
#include "internal.h"

#define ROW_WRITE_GAP_MS 3000 /* between two writes: the values change slowly */

/* Returns the name of the image with this index. */
static const char *
image_name(const sched_t *s, int32_t image)
{
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, s->images);
	while (g_hash_table_iter_next(&it, &k, &v))
		if (GPOINTER_TO_INT(v) == image)
			return k;
	return NULL;
}

/*
 * Fills in the known coefficients of a serving image; false when nothing has
 * been learned of it.
 */
static bool
fill_image_row(const sched_t *s, int32_t serving, Sched__ImageHarm *m)
{
	int32_t images = (int32_t)g_hash_table_size(s->images);

	sched__image_harm__init(m);
	if (s->interference[serving] == NULL)
		return false;
	m->serving = (char *)image_name(s, serving);
	m->low = interference_min_headroom(s, serving);
	m->fillers = g_new0(char *, images);
	m->harms = g_new0(double, images);
	for (int32_t f = 0; f < images; f++) {
		if ((s->filler_images & IMAGE_BIT(f)) == 0 ||
		    !interference_known(s, serving, f))
			continue;
		m->fillers[m->n_fillers++] = (char *)image_name(s, f);
		m->harms[m->n_harms++] =
		    interference_coefficient(s, serving, f);
	}
	return true;
}

static void
clear_image_row(Sched__ImageHarm *m)
{
	g_free(m->fillers);
	g_free(m->harms);
}

static GByteArray *
pack_row(Sched__Harms *h)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_set_size(b, (guint)sched__harms__get_packed_size(h));
	sched__harms__pack(h, b->data);
	return b;
}

/*
 * Returns the packed row if it is time to write it again; else, or when nothing
 * has been learned yet, NULL.
 */
GByteArray *
interference_row_pack(sched_t *s)
{
	Sched__ImageHarm all[IMAGES_MAX], *list[IMAGES_MAX];
	Sched__Harms h = SCHED__HARMS__INIT;
	GByteArray *b = NULL;

	if (s->now_ms - s->interference_packed_ms < ROW_WRITE_GAP_MS)
		return NULL;
	s->interference_packed_ms = s->now_ms;
	h.images = list;
	for (int32_t serving = 0; serving < IMAGES_MAX; serving++)
		if (fill_image_row(s, serving, &all[h.n_images])) {
			list[h.n_images] = &all[h.n_images];
			h.n_images++;
		}
	if (h.n_images > 0)
		b = pack_row(&h);
	for (size_t i = 0; i < h.n_images; i++)
		clear_image_row(&all[i]);
	/* It only saves the next owner from learning anew. */
	if (b == NULL || b->len <= SCHED_ROW_MAX_BYTES)
		return b;
	g_byte_array_unref(b);
	return NULL;
}

/* Restores the coefficients from the row that an earlier owner has written. */
void
interference_row_read(sched_t *s, const sched_row_t *row)
{
	Sched__Harms *h = sched__harms__unpack(NULL, row->nbytes, row->bytes);

	if (h == NULL) {
		LOG_EVENT(s, SCHED_EVT_ROW_BAD, "harm",
		    "why=\"does not unpack\" version=%" PRId64, row->version);
		return;
	}
	for (size_t i = 0; i < h->n_images; i++) {
		const Sched__ImageHarm *m = h->images[i];
		int32_t serving = interference_image(s, m->serving);

		if (serving < 0)
			continue;
		for (size_t k = 0; k < m->n_fillers && k < m->n_harms; k++)
			interference_restore(s, serving,
			    interference_image(s, m->fillers[k]), m->harms[k],
			    m->low);
	}
	sched__harms__free_unpacked(h, NULL);
}
