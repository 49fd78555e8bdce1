/*
 * Whether there is an outage of the store for all entries of a cell, so that none
 * can claim the cell from its owner.  No I/O.
 *
 * Times are in milliseconds of one steady clock.  Include <stdbool.h>, <stddef.h>
 * and <stdint.h> first.
 */
#ifndef OUTAGE_H
#define OUTAGE_H

/* What another entry has said last. */
typedef struct {
	int64_t heard_ms;    /* when that arrived; 0: it has said nothing */
	int64_t answered_ms; /* when the store had last answered it */
	bool served;	     /* it is answered; else the store is silent */
	/* Of the newest owner that it knows of; -1: the store has told it of none;
	 * 0: there has been none, or it is of an older build. */
	int64_t epoch;
} outage_report_t;

/* What is known since the store has last answered this entry; zeros at first. */
typedef struct {
	bool on;
	/* All others were heard, and none can be a later owner: no split. */
	bool all_silent;
	bool asked; /* the others were told, and may have answered since */
	/* First and last answer to another entry that reads may have spanned. */
	int64_t served_from_ms, served_to_ms;
	bool deposed; /* a later owner is known of; the caller sets it */
} outage_t;

/*
 * Takes in the reports of the n other entries while the store does not answer this
 * one, after each notice to them; true during an outage for all.  Sets *last_ms to when the store last
 * answered one of those that were heard lately; 0: none were.
 */
bool outage_update(outage_t *o, const outage_report_t *reports, size_t n,
    int64_t now_ms, int64_t *last_ms);

/*
 * Whether an owner that judges by these entries, itself among them, can't see an
 * outage for all any more, as too few of them remain that may know of no later one:
 * all of the nfollowers do.
 */
bool outage_excluded(const uint32_t *entries, size_t n,
    const uint32_t *followers, size_t nfollowers);

#endif
