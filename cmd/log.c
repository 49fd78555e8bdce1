/*
 * The log, written with log4c to standard output: one line for each event, with
 * its number, name and key=value fields.  docs/EVENTS.md lists the events.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>
#include <log4c.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "cmd.h"

typedef struct {
	int number;
	int priority;
	const char *name;
} event_t;

/*
 * Events 601 to 650 are those of sched/, numbered in sched.h; those from 651 on
 * are those of serve/, numbered in serve.h.
 */
static const event_t events[] = {
	{ EVT_START, LOG4C_PRIORITY_INFO, "start" },
	{ EVT_EXIT, LOG4C_PRIORITY_INFO, "exit" },
	{ TS_LOG_CONF_ADOPTED, LOG4C_PRIORITY_INFO, "conf_adopted" },
	{ TS_LOG_CONF_INVALID, LOG4C_PRIORITY_ERROR, "conf_invalid" },
	{ TS_LOG_GROUP_CLAIM, LOG4C_PRIORITY_INFO, "group_claim" },
	{ TS_LOG_GROUP_OWNED, LOG4C_PRIORITY_INFO, "group_owned" },
	{ TS_LOG_GROUP_RELEASED, LOG4C_PRIORITY_INFO, "group_released" },
	{ TS_LOG_GROUP_LOST, LOG4C_PRIORITY_WARN, "group_lost" },
	{ TS_LOG_PEER_UP, LOG4C_PRIORITY_INFO, "peer_up" },
	{ TS_LOG_PEER_DOWN, LOG4C_PRIORITY_WARN, "peer_down" },
	{ TS_LOG_JOB_STARTED, LOG4C_PRIORITY_INFO, "job_started" },
	{ TS_LOG_JOB_ENDED, LOG4C_PRIORITY_INFO, "job_ended" },
	{ TS_LOG_JOB_EVICTED, LOG4C_PRIORITY_INFO, "job_evicted" },
	{ TS_LOG_JOB_LOST, LOG4C_PRIORITY_WARN, "job_lost" },
	{ TS_LOG_JOB_HELD, LOG4C_PRIORITY_WARN, "job_held" },
	{ TS_LOG_JOB_MOVED, LOG4C_PRIORITY_INFO, "job_moved" },
	{ TS_LOG_WORKER_QUARANTINED, LOG4C_PRIORITY_WARN,
	    "worker_quarantined" },
	{ TS_LOG_DRAIN_BEGUN, LOG4C_PRIORITY_INFO, "drain_begun" },
	{ TS_LOG_DRAINED, LOG4C_PRIORITY_INFO, "drained" },
	{ EVT_BAD_PEER, LOG4C_PRIORITY_WARN, "bad_peer_input" },
	{ EVT_BAD_PLATFORM, LOG4C_PRIORITY_WARN, "bad_platform_input" },
	{ EVT_BAD_WORKER, LOG4C_PRIORITY_WARN, "bad_worker_input" },
	{ EVT_OPERATOR_REFUSED, LOG4C_PRIORITY_WARN, "operator_refused" },
	{ EVT_LOG_DROPPED, LOG4C_PRIORITY_WARN, "log_dropped" },
	{ EVT_CALLERS_CLOSED, LOG4C_PRIORITY_WARN, "callers_closed" },
	{ 601, LOG4C_PRIORITY_INFO, "cell_claimed" },
	{ 602, LOG4C_PRIORITY_INFO, "cell_owned" },
	{ 603, LOG4C_PRIORITY_WARN, "cell_lost" },
	{ 604, LOG4C_PRIORITY_INFO, "cell_released" },
	{ 605, LOG4C_PRIORITY_INFO, "owner_silent" },
	{ 606, LOG4C_PRIORITY_WARN, "owner_unconfirmed" },
	{ 607, LOG4C_PRIORITY_WARN, "cell_handed_over" },
	{ 608, LOG4C_PRIORITY_INFO, "workers_accounted" },
	{ 611, LOG4C_PRIORITY_INFO, "job_seen" },
	{ 612, LOG4C_PRIORITY_INFO, "job_end" },
	{ 613, LOG4C_PRIORITY_INFO, "job_cancel" },
	{ 614, LOG4C_PRIORITY_WARN, "row_bad" },
	{ 615, LOG4C_PRIORITY_INFO, "jobs_removed" },
	{ 616, LOG4C_PRIORITY_WARN, "row_shortened" },
	{ 617, LOG4C_PRIORITY_ERROR, "write_rejected" },
	{ 618, LOG4C_PRIORITY_ERROR, "job_row_rejected" },
	{ 619, LOG4C_PRIORITY_INFO, "tombstones_removed" },
	{ 621, LOG4C_PRIORITY_INFO, "run_start" },
	{ 622, LOG4C_PRIORITY_WARN, "run_start_failed" },
	{ 623, LOG4C_PRIORITY_INFO, "run_stop" },
	{ 624, LOG4C_PRIORITY_INFO, "run_end" },
	{ 625, LOG4C_PRIORITY_INFO, "run_adopted" },
	{ 626, LOG4C_PRIORITY_WARN, "run_lost" },
	{ 627, LOG4C_PRIORITY_INFO, "pace" },
	{ 628, LOG4C_PRIORITY_INFO, "advice_asked" },
	{ 629, LOG4C_PRIORITY_INFO, "advice" },
	{ 630, LOG4C_PRIORITY_INFO, "advice_unused" },
	{ 631, LOG4C_PRIORITY_INFO, "worker" },
	{ 632, LOG4C_PRIORITY_WARN, "worker_silent" },
	{ 633, LOG4C_PRIORITY_INFO, "worker_back" },
	{ 634, LOG4C_PRIORITY_WARN, "worker_suspect" },
	{ 635, LOG4C_PRIORITY_WARN, "task_suspect" },
	{ 636, LOG4C_PRIORITY_WARN, "task_given_up" },
	{ 637, LOG4C_PRIORITY_INFO, "worker_tried" },
	{ 638, LOG4C_PRIORITY_WARN, "job_failing" },
	{ 640, LOG4C_PRIORITY_INFO, "room_use" },
	{ 641, LOG4C_PRIORITY_INFO, "zone" },
	{ 642, LOG4C_PRIORITY_INFO, "load" },
	{ 643, LOG4C_PRIORITY_WARN, "overload" },
	{ 644, LOG4C_PRIORITY_WARN, "job_waits" },
	{ 645, LOG4C_PRIORITY_INFO, "quota" },
	{ 646, LOG4C_PRIORITY_WARN, "refusal_begun" },
	{ 647, LOG4C_PRIORITY_INFO, "refusal_ended" },
	{ 648, LOG4C_PRIORITY_INFO, "reservation" },
	{ 649, LOG4C_PRIORITY_INFO, "lasting_back" },
	{ 650, LOG4C_PRIORITY_INFO, "nominated" },
	{ 651, LOG4C_PRIORITY_WARN, "store_lost" },
	{ 652, LOG4C_PRIORITY_INFO, "store_back" },
	{ 653, LOG4C_PRIORITY_WARN, "bad_row" },
	{ 654, LOG4C_PRIORITY_INFO, "feed_reset" },
	{ 655, LOG4C_PRIORITY_WARN, "table_behind" },
	{ 661, LOG4C_PRIORITY_INFO, "job_accepted" },
	{ 662, LOG4C_PRIORITY_WARN, "job_refused" },
	{ 663, LOG4C_PRIORITY_WARN, "job_unsettled" },
	{ 664, LOG4C_PRIORITY_INFO, "cancel_stored" },
	{ 665, LOG4C_PRIORITY_WARN, "state_unreadable" },
	{ 666, LOG4C_PRIORITY_WARN, "call_rejected" },
	{ 667, LOG4C_PRIORITY_INFO, "queue_unknown" },
	{ 671, LOG4C_PRIORITY_INFO, "reload" },
	{ 672, LOG4C_PRIORITY_WARN, "pause" },
};

static log4c_category_t *category;

/*
 * Lines not yet written to standard output, which may be slow or blocked.  When
 * there are more than PENDING_MAX_BYTES, further lines are dropped and counted,
 * so that after log_attach_loop() the process never waits for the reader of its
 * log.
 */
#define PENDING_MAX_BYTES (512 * 1024)
#define FLUSH_INTERVAL_MS 100
static GString *pending;
static uint64_t dropped, dropped_reported; /* lines */
static uv_timer_t flush_timer;
static bool loop_flushes; /* log_attach_loop() was called */

/* Formats a time; the text is cached, as most lines share their second. */
static const char *
format_seconds(time_t sec)
{
	static time_t last = -1;
	static char text[32];
	struct tm tm;

	if (sec != last) {
		gmtime_r(&sec, &tm);
		strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
		last = sec;
	}
	return text;
}

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *e)
{
	static char line[2048];
	int64_t us = g_get_real_time();

	(void)layout;
	snprintf(line, sizeof(line), "%s.%03dZ %-5s %s\n",
	    format_seconds((time_t)(us / G_USEC_PER_SEC)),
	    (int)(us % G_USEC_PER_SEC / 1000),
	    log4c_priority_to_string(e->evt_priority), e->evt_msg);
	return line;
}

/*
 * Number of pending bytes to write at once: as many whole lines as a pipe takes
 * in one piece, so that no other process that shares it writes between them.
 */
static size_t
next_write_bytes(void)
{
	const char *end;

	if (pending->len <= PIPE_BUF)
		return pending->len;
	end = g_strrstr_len(pending->str, PIPE_BUF, "\n");
	return end == NULL ? PIPE_BUF : (size_t)(end - pending->str) + 1;
}

void
log_flush(void)
{
	ssize_t n;

	while (pending != NULL && pending->len > 0) {
		n = write(STDOUT_FILENO, pending->str, next_write_bytes());
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		g_string_erase(pending, 0, n);
	}
}

uint64_t
log_dropped_lines(void)
{
	return dropped;
}

/* Reports newly dropped lines as soon as the buffer is empty, and flushes. */
static void
on_flush(uv_timer_t *t)
{
	(void)t;
	if (dropped != dropped_reported && pending->len == 0) {
		log_event(EVT_LOG_DROPPED, "lines=%" G_GUINT64_FORMAT,
		    dropped - dropped_reported);
		dropped_reported = dropped;
	}
	log_flush();
}

void
log_attach_loop(uv_loop_t *loop)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	loop_flushes = true;
	uv_timer_init(loop, &flush_timer);
	uv_timer_start(
	    &flush_timer, on_flush, FLUSH_INTERVAL_MS, FLUSH_INTERVAL_MS);
	uv_unref((uv_handle_t *)&flush_timer);
}

static int
append_line(log4c_appender_t *a, const log4c_logging_event_t *e)
{
	(void)a;
	if (pending->len > PENDING_MAX_BYTES) {
		dropped++;
		return 0;
	}
	g_string_append(pending, e->evt_rendered_msg);
	if (!loop_flushes)
		log_flush();
	return 0;
}

static const log4c_layout_type_t layout_type = { "tanagerspool", format_line };
static const log4c_appender_type_t appender_type = { "tanagerspool", NULL,
	append_line, NULL };

bool
log_open(const char *level)
{
	log4c_appender_t *out;
	log4c_layout_t *layout;
	int priority = log4c_priority_to_int(level);

	if (priority == LOG4C_PRIORITY_UNKNOWN)
		return false;
	pending = g_string_new(NULL);
	log4c_init();
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get("tanagerspool");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_type_set(&appender_type);
	out = log4c_appender_get("tanagerspool");
	log4c_appender_set_type(out, &appender_type);
	log4c_appender_set_layout(out, layout);
	category = log4c_category_get("tanagerspool");
	log4c_category_set_appender(category, out);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priority);
	return true;
}

static const event_t *
event_find(int number)
{
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		if (events[i].number == number)
			return &events[i];
	return NULL;
}

const char *
log_event_name(int number)
{
	const event_t *e = event_find(number);

	return e == NULL ? NULL : e->name;
}

void
log_event(int number, const char *fmt, ...)
{
	const event_t *e = event_find(number);
	g_autofree char *fields = NULL;
	va_list ap;

	if (category == NULL || e == NULL ||
	    !log4c_category_is_priority_enabled(category, e->priority))
		return;
	va_start(ap, fmt);
	fields = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	/* An event must be one line, whatever its fields contain. */
	g_strdelimit(fields, "\r\n", ' ');
	log4c_category_log(category, e->priority, "event=%d name=%s %s",
	    e->number, e->name, fields);
}
