/*
 * The log as the reader of a pipe sees it: whole lines, in pieces that a pipe
 * takes at once, and never waiting for a reader that is too slow.
 */
#include <fcntl.h>
#include <limits.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../../trans/trans.h"
#include "../../cmd/cmd.h"

#define FIELD_BYTES 1500

/* Makes standard output a socket that keeps each write apart; returns its peer. */
static int
open_packet_pipe(void)
{
	int ends[2];

	cr_assert_eq(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends), 0);
	cr_assert_eq(fcntl(ends[0], F_SETFL, O_NONBLOCK), 0);
	cr_assert_eq(dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
	return ends[0];
}

/* Logs lines, each with a field of FIELD_BYTES and its number. */
static void
log_lines(int n)
{
	g_autofree char *field = g_strnfill(FIELD_BYTES, 'x');

	for (int i = 0; i < n; i++)
		log_event(EVT_START, "fill=%s line=%d", field, i);
}

Test(log, whole_lines_in_pieces)
{
	int from = open_packet_pipe(), lines = 0;
	char piece[64 * 1024];
	ssize_t n;

	cr_assert(log_open("INFO"));
	log_attach_loop(uv_default_loop());
	log_lines(20);
	log_flush();
	while ((n = read(from, piece, sizeof(piece))) > 0) {
		cr_expect_leq(n, PIPE_BUF);
		cr_expect_eq(piece[n - 1], '\n');
		for (ssize_t i = 0; i < n; i++)
			lines += piece[i] == '\n';
	}
	cr_expect_eq(lines, 20);
}

static void
on_nothing(uv_timer_t *t)
{
	(void)t;
}

/* The line that reports dropped lines looks like all others. */
Test(log, dropped_lines_are_reported)
{
	uv_timer_t alive; /* without it the loop has nothing to run for */
	int from = open_packet_pipe();
	g_autoptr(GString) text = g_string_new(NULL);
	char piece[64 * 1024];
	ssize_t n;

	cr_assert(log_open("INFO"));
	log_attach_loop(uv_default_loop());
	uv_timer_init(uv_default_loop(), &alive);
	uv_timer_start(&alive, on_nothing, 10, 10);
	log_lines(1000);
	cr_expect_gt(log_dropped_lines(), 0);
	for (int i = 0; i < 100 && strstr(text->str, "log_dropped") == NULL;
	     i++) {
		uv_run(uv_default_loop(), UV_RUN_NOWAIT);
		g_usleep(10000);
		while ((n = read(from, piece, sizeof(piece))) > 0)
			g_string_append_len(text, piece, n);
	}
	cr_expect_not_null(
	    strstr(text->str, "Z WARN  event=505 name=log_dropped lines="));
}
