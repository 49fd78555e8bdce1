/*
 * See http.h.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "http.h"

#define HEAD_BYTES 65536

typedef struct {
	int fd;
	handler_t handler;
} conn_t;

/* What has been read from a connection and not been used yet. */
typedef struct {
	char *bytes;
	size_t n, room;
} input_t;

int64_t
steady_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

static bool
parse_address(const char *address, struct sockaddr_in *a)
{
	char ip[64];
	const char *colon = strrchr(address, ':');

	memset(a, 0, sizeof(*a));
	if (colon == NULL || (size_t)(colon - address) >= sizeof(ip))
		return false;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	a->sin_family = AF_INET;
	a->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &a->sin_addr) == 1;
}

static bool
read_more(int fd, input_t *in)
{
	ssize_t n;

	if (in->room - in->n < 4096) {
		in->room = in->room == 0 ? 8192 : 2 * in->room;
		in->bytes = realloc(in->bytes, in->room + 1);
	}
	n = read(fd, in->bytes + in->n, in->room - in->n);
	if (n <= 0)
		return false;
	in->n += (size_t)n;
	in->bytes[in->n] = '\0';
	return true;
}

static bool
write_all(int fd, const char *p, size_t n)
{
	while (n > 0) {
		ssize_t w = send(fd, p, n, MSG_NOSIGNAL);

		if (w <= 0)
			return false;
		p += w;
		n -= (size_t)w;
	}
	return true;
}

/* The bytes of a head up to its empty line, which is included; 0: not whole. */
static size_t
head_bytes(const input_t *in)
{
	const char *end;

	if (in->n == 0)
		return 0;
	end = strstr(in->bytes, "\r\n\r\n");
	return end == NULL ? 0 : (size_t)(end - in->bytes) + 4;
}

/* Copies the value of a header of a head to a buffer; false: it isn't there. */
static bool
header(const char *head, const char *name, char *value, size_t room)
{
	size_t n = strlen(name);

	for (const char *l = strstr(head, "\r\n"); l != NULL && l[2] != '\r';
	     l = strstr(l + 2, "\r\n")) {
		const char *v = l + 2 + n + 1, *end;

		if (strncasecmp(l + 2, name, n) != 0 || l[2 + n] != ':')
			continue;
		while (*v == ' ')
			v++;
		end = strstr(v, "\r\n");
		if (end == NULL || (size_t)(end - v) >= room)
			return false;
		memcpy(value, v, (size_t)(end - v));
		value[end - v] = '\0';
		return true;
	}
	return false;
}

/* Reads a whole message; sets *head to the bytes of its head and *body to its body's. */
static bool
read_message(int fd, input_t *in, size_t *head, size_t *body)
{
	char length[32] = "0", *cut;

	while ((*head = head_bytes(in)) == 0)
		if (in->n > HEAD_BYTES || !read_more(fd, in))
			return false;
	cut = in->bytes + *head - 1;
	*cut = '\0'; /* header() stops there */
	header(in->bytes, "Content-Length", length, sizeof(length));
	*cut = '\n';
	*body = strtoul(length, NULL, 10);
	while (in->n < *head + *body)
		if (!read_more(fd, in))
			return false;
	return true;
}

static void
drop(input_t *in, size_t n)
{
	memmove(in->bytes, in->bytes + n, in->n - n);
	in->n -= n;
	in->bytes[in->n] = '\0';
}

static bool
answer(int fd, const reply_t *reply)
{
	size_t n = reply->body == NULL ? 0 : strlen(reply->body);
	char head[256];
	int h = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    reply->status, n);

	return write_all(fd, head, (size_t)h) &&
	    (n == 0 || write_all(fd, reply->body, n));
}

static void *
serve_connection(void *arg)
{
	conn_t *c = arg;
	input_t in = { 0 };
	size_t head, body;
	bool ok = true;

	while (ok && read_message(c->fd, &in, &head, &body)) {
		request_t r = { .body_bytes = body };
		reply_t reply;

		sscanf(in.bytes, "%15s %2047s", r.method, r.path);
		in.bytes[head - 1] = '\0';
		header(in.bytes, "Tanagerspool-Expect-Instance", r.instance,
		    sizeof(r.instance));
		header(in.bytes, "X-Role", r.role, sizeof(r.role));
		r.body = strndup(in.bytes + head, body);
		reply = c->handler(&r);
		ok = reply.status != 0 && answer(c->fd, &reply);
		free(reply.body);
		free(r.body);
		drop(&in, head + body);
	}
	free(in.bytes);
	close(c->fd);
	free(c);
	return NULL;
}

void
http_serve(const char *address, handler_t handler)
{
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;

	signal(SIGPIPE, SIG_IGN);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!parse_address(address, &a) ||
	    bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, 512) != 0) {
		fprintf(stderr, "cannot listen at %s: %s\n", address,
		    strerror(errno));
		exit(2);
	}
	for (;;) {
		conn_t *c = calloc(1, sizeof(*c));
		pthread_attr_t attr;
		pthread_t t;

		c->handler = handler;
		c->fd = accept(fd, NULL, NULL);
		if (c->fd < 0) {
			free(c);
			continue;
		}
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_attr_init(&attr);
		pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
		pthread_attr_setstacksize(&attr, 256 * 1024);
		if (pthread_create(&t, &attr, serve_connection, c) != 0) {
			close(c->fd);
			free(c);
		}
		pthread_attr_destroy(&attr);
	}
}

int
http_call(const char *address, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms, char **out)
{
	struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	size_t n = body == NULL ? 0 : strlen(body), head, got;
	int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0, one = 1;
	struct sockaddr_in a;
	input_t in = { 0 };
	char *text;
	int h;

	*out = NULL;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!parse_address(address, &a) ||
	    connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return 0;
	}
	text = malloc(strlen(path) + strlen(headers) + n + 256);
	h = sprintf(text,
	    "%s %s HTTP/1.1\r\n%sContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    method, path, headers, n);
	if (n > 0)
		memcpy(text + h, body, n);
	if (write_all(fd, text, (size_t)h + n) &&
	    read_message(fd, &in, &head, &got)) {
		sscanf(in.bytes, "%*s %d", &status);
		*out = strndup(in.bytes + head, got);
	}
	free(text);
	free(in.bytes);
	close(fd);
	return status;
}

static int
hex(char c)
{
	return c >= '0' && c <= '9' ? c - '0' : (c | 32) - 'a' + 10;
}

char *
query_field(const char *path, const char *name)
{
	const char *p = strchr(path, '?');
	size_t n = strlen(name);

	for (; p != NULL; p = strchr(p + 1, '&')) {
		const char *v = p + 1 + n + 1;
		size_t len = strcspn(v, "&"), k = 0;
		char *out;

		if (strncmp(p + 1, name, n) != 0 || p[1 + n] != '=')
			continue;
		out = malloc(len + 1);
		for (size_t i = 0; i < len; i++) {
			if (v[i] == '%' && i + 2 < len) {
				out[k++] =
				    (char)(hex(v[i + 1]) * 16 + hex(v[i + 2]));
				i += 2;
			} else
				out[k++] = v[i];
		}
		out[k] = '\0';
		return out;
	}
	return strdup("");
}
