/*
 * The account of what callers hold; see budget.h.
 */
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "budget.h"

#define MB	 ((int64_t)1024 * 1024)
#define FILE_FDS 200 /* of the descriptors, for files */
/*
 * A fifth of the sockets and a quarter of the memory for connections, another
 * quarter for what they send.  An owner needs several descriptors for each of hundreds
 * of workers; parsing a body takes up to eighty times its length for a moment.
 */
#define SHARE_OF_FDS	5
#define SHARE_OF_MEMORY 4
#define CONNECTIONS_MIN 8
/*
 * So many in four connections may have a request that waits, so that some can always
 * be closed for new ones, to be answered that they have to come again.
 */
#define WAITING_IN_FOUR 3
/* Beside its connections so many that are about to close, in parts of them. */
#define CLOSING_PART 8
/* Memory is given back once so much has been let go of. */
#define TRIM_BYTES (4 * MB)

struct budget {
	budget_share_t share;
	budget_stats_t stats;
	GQueue unfinished;  /* of budget_holder_t, the oldest first */
	GQueue heavy;	    /* those of them that hold bytes */
	int32_t closing;    /* connections that close soon */
	int64_t peak_bytes; /* since memory was given back */
};

budget_share_t
budget_share(const budget_limits_t *limits)
{
	int64_t memory = limits->memory_mb * MB / SHARE_OF_MEMORY;
	int64_t sockets = (limits->max_fds - FILE_FDS) / SHARE_OF_FDS;
	budget_share_t s = { 0 };

	s.bytes = memory;
	s.connections = (int32_t)MAX(
	    CONNECTIONS_MIN, MIN(sockets, memory / BUDGET_CONNECTION_BYTES));
	s.waiting = s.connections * WAITING_IN_FOUR / 4;
	return s;
}

budget_t *
budget_new(const budget_limits_t *limits)
{
	budget_t *b = g_new0(budget_t, 1);

	b->share = budget_share(limits);
	g_queue_init(&b->unfinished);
	g_queue_init(&b->heavy);
	return b;
}

void
budget_free(budget_t *b)
{
	g_free(b);
}

static void
queue_leave(budget_holder_t *h)
{
	if (h->unfinished)
		g_queue_unlink(&h->budget->unfinished, &h->link);
	if (h->heavy)
		g_queue_unlink(&h->budget->heavy, &h->heavy_link);
	h->unfinished = h->heavy = false;
}

/* Lets an unfinished connection be in the queue of heavy ones if it holds bytes. */
static void
update_heavy(budget_holder_t *h)
{
	bool heavy = h->unfinished && h->bytes > 0;

	if (heavy && !h->heavy)
		g_queue_push_tail_link(&h->budget->heavy, &h->heavy_link);
	if (!heavy && h->heavy)
		g_queue_unlink(&h->budget->heavy, &h->heavy_link);
	h->heavy = heavy;
}

/* Closes the oldest of a queue but for h; false: there is none. */
static bool
close_oldest(budget_t *b, const GQueue *queue, const budget_holder_t *h)
{
	GList *l = queue->head;
	budget_holder_t *oldest;

	if (l != NULL && l->data == h)
		l = l->next;
	if (l == NULL)
		return false;
	oldest = l->data;
	b->stats.closed++;
	/* One that closes only later isn't chosen again. */
	queue_leave(oldest);
	oldest->closing = true;
	b->closing++;
	oldest->close(oldest);
	return true;
}

/* Closes heavy connections but for h until so many bytes more fit. */
static bool
make_room(budget_t *b, const budget_holder_t *h, int64_t bytes)
{
	while (b->stats.bytes + bytes > b->share.bytes)
		if (!close_oldest(b, &b->heavy, h))
			return false;
	return true;
}

static void
add_bytes(budget_t *b, int64_t bytes)
{
	b->stats.bytes += bytes;
	b->peak_bytes = MAX(b->peak_bytes, b->stats.bytes);
}

bool
budget_enter(budget_t *b, budget_holder_t *h)
{
	int32_t max = b->share.connections;

	if (b->stats.connections - b->closing >= max)
		close_oldest(b, &b->unfinished, NULL);
	if (b->stats.connections - b->closing >= max ||
	    b->stats.connections >= max + max / CLOSING_PART) {
		b->stats.not_accepted++;
		return false;
	}
	b->stats.connections++;
	h->budget = b;
	h->link.data = h->heavy_link.data = h;
	h->open = true;
	budget_unfinished(h);
	return true;
}

void
budget_leave(budget_holder_t *h)
{
	if (!h->open)
		return;
	queue_leave(h);
	h->open = false;
	h->budget->closing -= h->closing;
	h->budget->stats.connections--;
	add_bytes(h->budget, -h->bytes);
	h->bytes = 0;
}

void
budget_unfinished(budget_holder_t *h)
{
	if (!h->open || h->closing)
		return;
	queue_leave(h);
	h->unfinished = true;
	g_queue_push_tail_link(&h->budget->unfinished, &h->link);
	update_heavy(h);
}

void
budget_whole(budget_holder_t *h)
{
	if (h->open)
		queue_leave(h);
}

bool
budget_charge(budget_holder_t *h, int64_t bytes)
{
	int64_t more = bytes - h->bytes;

	if (!h->open)
		return true;
	if (more > 0 && !make_room(h->budget, h, more)) {
		h->budget->stats.closed++;
		return false;
	}
	add_bytes(h->budget, more);
	h->bytes = bytes;
	update_heavy(h);
	return true;
}

bool
budget_wait(budget_t *b, int64_t bytes)
{
	if (b->stats.waiting >= b->share.waiting ||
	    !make_room(b, NULL, bytes)) {
		b->stats.refused++;
		return false;
	}
	b->stats.waiting++;
	add_bytes(b, bytes);
	return true;
}

void
budget_wait_ended(budget_t *b, int64_t bytes)
{
	b->stats.waiting--;
	add_bytes(b, -bytes);
}

budget_stats_t
budget_stats(const budget_t *b)
{
	return b->stats;
}

bool
budget_trim_due(budget_t *b)
{
	if (b->peak_bytes - b->stats.bytes < TRIM_BYTES ||
	    b->stats.bytes > b->peak_bytes / 2)
		return false;
	b->peak_bytes = b->stats.bytes;
	return true;
}
