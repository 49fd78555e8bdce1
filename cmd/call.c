/*
 * Calls of the one-shot commands.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "cmd.h"

#define TIMEOUT_MS 10000

typedef struct {
	uv_loop_t *loop;
	client_t *client;
	GString *answer;
	int32_t status;
} wait_t;

static void
on_answer(void *ctx, int32_t status, const char *body, size_t n)
{
	wait_t *w = ctx;

	w->status = status;
	g_string_append_len(w->answer, body, (gssize)n);
	uv_stop(w->loop);
}

int32_t
call_blocking(const char *method, const char *url, const char *token,
    const char *body, GString **answer)
{
	uv_loop_t loop;
	wait_t w = { &loop, NULL, g_string_new(NULL), 0 };

	uv_loop_init(&loop);
	w.client = client_new(&loop);
	client_call(
	    w.client, method, url, token, body, TIMEOUT_MS, on_answer, &w);
	uv_run(&loop, UV_RUN_DEFAULT);
	client_free(w.client);
	uv_run(&loop, UV_RUN_NOWAIT);
	*answer = w.answer;
	return w.status;
}

int
call_report_error(const char *what, int32_t status, const GString *answer)
{
	json_t *j = json_loadb(answer->str, answer->len, 0, NULL);
	const char *e = json_string_value(json_object_get(j, "error"));

	if (status == 0)
		fprintf(stderr,
		    "tanagerspool: %s does not answer; is its "
		    "address right, and is it up?\n",
		    what);
	else
		fprintf(stderr, "tanagerspool: %s: %s (status %d)\n", what,
		    e != NULL ? e : "refused", status);
	json_decref(j);
	if (status == 0)
		return EXIT_NO_ANSWER;
	return status == 409 ? EXIT_CONFLICT : EXIT_FAILED;
}
