/*
 * The HTTP client: libcurl's multi interface, driven by the libuv loop.
 * libcurl calls on_set_socket() and on_set_timer() with the sockets to watch and
 * the timeout to wait for; on_poll() and on_timer() report them back to libcurl.
 */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "trans.h"

#define BODY_MAX_BYTES	   (64 * 1024 * 1024) /* of an answer */
#define CONNECT_TIMEOUT_MS 2000

struct client {
	uv_loop_t *loop;
	uv_timer_t timer;
	CURLM *multi;
};

/* A socket of libcurl that the loop watches. */
typedef struct {
	uv_poll_t poll;
	client_t *client;
	curl_socket_t fd;
} watch_t;

/* A call in progress. */
typedef struct {
	CURL *easy;
	GString *answer_body;
	char *request_body;
	struct curl_slist *headers;
	client_fn fn;
	void *ctx;
} call_t;

static size_t
on_body_data(char *p, size_t size, size_t n, void *ctx)
{
	call_t *call = ctx;

	if (call->answer_body->len + size * n > BODY_MAX_BYTES)
		return 0;
	g_string_append_len(call->answer_body, p, (gssize)(size * n));
	return size * n;
}

static void
end_call(client_t *c, call_t *call, CURLcode code)
{
	long status = 0;

	if (code == CURLE_OK)
		curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(c->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	call->fn(call->ctx, (int32_t)status, call->answer_body->str,
	    call->answer_body->len);
	g_string_free(call->answer_body, TRUE);
	g_free(call->request_body);
	g_free(call);
}

static void
end_finished_calls(client_t *c)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(c->multi, &left)) != NULL) {
		call_t *call;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &call);
		end_call(c, call, m->data.result);
	}
}

static void
on_poll(uv_poll_t *p, int status, int events)
{
	watch_t *w = p->data;
	client_t *c = w->client;
	int flags = 0, running;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(c->multi, w->fd, flags, &running);
	end_finished_calls(c);
}

static void
on_timer(uv_timer_t *t)
{
	client_t *c = t->data;
	int running;

	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	end_finished_calls(c);
}

static int
on_set_timer(CURLM *m, long ms, void *ctx)
{
	client_t *c = ctx;

	(void)m;
	if (ms < 0)
		uv_timer_stop(&c->timer);
	else /* 0 waits 1 ms: libcurl must not be called from its callback */
		uv_timer_start(
		    &c->timer, on_timer, ms == 0 ? 1 : (uint64_t)ms, 0);
	return 0;
}

static void
on_watch_closed(uv_handle_t *h)
{
	g_free(h->data);
}

static int
on_set_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *watchp)
{
	client_t *c = ctx;
	watch_t *w = watchp;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (w != NULL) {
			uv_poll_stop(&w->poll);
			uv_close((uv_handle_t *)&w->poll, on_watch_closed);
			curl_multi_assign(c->multi, fd, NULL);
		}
		return 0;
	}
	if (w == NULL) {
		w = g_new0(watch_t, 1);
		w->client = c;
		w->fd = fd;
		uv_poll_init_socket(c->loop, &w->poll, fd);
		w->poll.data = w;
		curl_multi_assign(c->multi, fd, w);
	}
	if (what & CURL_POLL_IN)
		events |= UV_READABLE;
	if (what & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&w->poll, events, on_poll);
	return 0;
}

client_t *
client_new(uv_loop_t *loop)
{
	client_t *c = g_new0(client_t, 1);

	c->loop = loop;
	uv_timer_init(loop, &c->timer);
	c->timer.data = c;
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_set_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_set_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	return c;
}

void
client_free(client_t *c)
{
	curl_multi_cleanup(c->multi);
	uv_close((uv_handle_t *)&c->timer, NULL);
}

void
client_call(client_t *c, const char *method, const char *url, const char *token,
    const char *body, int32_t timeout_ms, client_fn fn, void *ctx)
{
	call_t *call = g_new0(call_t, 1);
	CURL *e = curl_easy_init();

	call->easy = e;
	call->fn = fn;
	call->ctx = ctx;
	call->answer_body = g_string_new(NULL);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, method);
	/* Ignores the environment's proxies. */
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(
	    e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body_data);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(e, CURLOPT_PRIVATE, call);
	/* Sends bodies at once, without a wait for 100 Continue. */
	call->headers = curl_slist_append(NULL, "Expect:");
	if (token != NULL) {
		g_autofree char *h =
		    g_strconcat("Authorization: Bearer ", token, NULL);

		call->headers = curl_slist_append(call->headers, h);
	}
	if (body != NULL) {
		call->request_body = g_strdup(body);
		call->headers = curl_slist_append(
		    call->headers, "Content-Type: application/json");
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, call->request_body);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
	}
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, call->headers);
	curl_multi_add_handle(c->multi, e);
}
