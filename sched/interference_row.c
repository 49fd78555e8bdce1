/*
 * The row that keeps what an owner has learned of harm, so that the next one
 * does not learn it anew at the cost of the serving tasks.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "../proto/sched.pb-c.h"
#include "sched.h"
#include "internal.h"

#define GAP_MS 3000 /* between two writes of the row: it changes slowly */

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

/* Fills in a serving image; false when nothing has been learned of it. */
static bool
fill_image(const sched_t *s, int32_t serving, Sched__ImageHarm *m)
{
	int32_t images = (int32_t)g_hash_table_size(s->images);

	sched__image_harm__init(m);
	if (s->harm[serving] == NULL)
		return false;
	m->serving = (char *)image_name(s, serving);
	m->low = harm_low(s, serving);
	m->fillers = g_new0(char *, images);
	m->harms = g_new0(double, images);
	for (int32_t f = 0; f < images; f++) {
		if (!s->filler_image[f] || !harm_known(s, serving, f))
			continue;
		m->fillers[m->n_fillers++] = (char *)image_name(s, f);
		m->harms[m->n_harms++] = harm_estimate(s, serving, f);
	}
	return true;
}

static void
clear_image(Sched__ImageHarm *m)
{
	g_free(m->fillers);
	g_free(m->harms);
}

static GByteArray *
pack(Sched__Harms *h)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_set_size(b, (guint)sched__harms__get_packed_size(h));
	sched__harms__pack(h, b->data);
	return b;
}

/* The row when it is due to be written, or NULL. */
GByteArray *
recall_pack(sched_t *s)
{
	Sched__ImageHarm all[IMAGES_MAX], *list[IMAGES_MAX];
	Sched__Harms h = SCHED__HARMS__INIT;
	GByteArray *b = NULL;

	if (s->now - s->recall_ms < GAP_MS)
		return NULL;
	s->recall_ms = s->now;
	h.images = list;
	for (int32_t g = 0; g < IMAGES_MAX; g++)
		if (fill_image(s, g, &all[h.n_images])) {
			list[h.n_images] = &all[h.n_images];
			h.n_images++;
		}
	if (h.n_images > 0)
		b = pack(&h);
	for (size_t i = 0; i < h.n_images; i++)
		clear_image(&all[i]);
	return b;
}

/* Takes in the row as an earlier owner wrote it. */
void
recall_row(sched_t *s, const sched_row_t *row)
{
	Sched__Harms *h = sched__harms__unpack(NULL, row->nbytes, row->bytes);

	if (h == NULL) {
		LOG(s, SCHED_EVT_JOB_BAD, "harm",
		    "why=\"does not unpack\" version=%" PRId64, row->version);
		return;
	}
	for (size_t i = 0; i < h->n_images; i++) {
		const Sched__ImageHarm *m = h->images[i];
		int32_t serving = harm_image(s, m->serving);

		if (serving < 0)
			continue;
		for (size_t k = 0; k < m->n_fillers && k < m->n_harms; k++)
			harm_recall(s, serving, harm_image(s, m->fillers[k]),
			    m->harms[k], m->low);
	}
	sched__harms__free_unpacked(h, NULL);
}
