/*
 * Blocking HTTP calls, for the commands that make one call and exit.
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

#define CALL_TIMEOUT_MS 10000

typedef struct {
	uv_loop_t *loop;
	client_t *client;
	GString *answer;
	int32_t status;
} pending_call_t;

static void
on_answer(void *ctx, int32_t status, const char *body, size_t n)
{
	pending_call_t *call = ctx;

	call->status = status;
	g_string_append_len(call->answer, body, (gssize)n);
	uv_stop(call->loop);
}

int32_t
call_blocking(const char *method, const char *url, const char *token,
    const char *body, GString **answer)
{
	uv_loop_t loop;
	pending_call_t call = { &loop, NULL, g_string_new(NULL), 0 };

	uv_loop_init(&loop);
	call.client = client_new(&loop);
	client_call(call.client, method, url, token, body, CALL_TIMEOUT_MS,
	    on_answer, &call);
	uv_run(&loop, UV_RUN_DEFAULT);
	client_free(call.client);
	/* Runs the close callbacks of the client's handles. */
	uv_run(&loop, UV_RUN_NOWAIT);
	*answer = call.answer;
	return call.status;
}

int
call_report_error(const char *callee, int32_t status, const GString *answer)
{
	json_t *j = json_loadb(answer->str, answer->len, 0, NULL);
	const char *error = json_string_value(json_object_get(j, "error"));

	if (status == 0)
		fprintf(stderr,
		    "tanagerspool: %s does not answer; check that its "
		    "address is right and that it is running\n",
		    callee);
	else
		fprintf(stderr, "tanagerspool: %s: %s (status %d)\n", callee,
		    error != NULL ? error : "refused", status);
	json_decref(j);
	if (status == 0)
		return EXIT_NO_ANSWER;
	return status == 409 ? EXIT_CONFLICT : EXIT_FAILED;
}
