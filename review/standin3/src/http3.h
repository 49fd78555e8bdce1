/*
 * Blocking HTTP/1.1 calls on loopback, for the stand-ins of the review: one
 * connection a call, closed after the answer.
 */
#ifndef HTTP3_H
#define HTTP3_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static inline int64_t
mono_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static inline int64_t
wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Connects from an address (NULL: any) within a time; -1: failed. */
static inline int
http3_connect(const char *from, const char *ip, int port, int timeout_ms)
{
	struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	struct sockaddr_in to = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	struct sockaddr_in own = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, ip, &to.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (from != NULL) {
		inet_pton(AF_INET, from, &own.sin_addr);
		if (bind(fd, (struct sockaddr *)&own, sizeof(own)) != 0) {
			close(fd);
			return -1;
		}
	}
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Makes a call.  Returns the status, or 0 if there was no complete answer; the
 * answer's body is put into body, at most size - 1 bytes of it.
 */
static inline int
http3_call(const char *ip, int port, const char *method, const char *path,
    const char *headers, const char *request, int timeout_ms, char *body,
    size_t size)
{
	int fd = http3_connect(NULL, ip, port, timeout_ms), status = 0;
	size_t n = request == NULL ? 0 : strlen(request), have = 0,
	       cap = 1 << 20;
	char *buf = malloc(cap), *head = malloc(n + 4096), *end = NULL;
	long length = -1;

	if (size > 0)
		body[0] = '\0';
	if (fd < 0)
		goto out;
	snprintf(head, n + 4096,
	    "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\nConnection: "
	    "close\r\n\r\n%s",
	    method, path, headers, n, request == NULL ? "" : request);
	if (send(fd, head, strlen(head), MSG_NOSIGNAL) != (ssize_t)strlen(head))
		goto out;
	while (have + 1 < cap) {
		ssize_t got = recv(fd, buf + have, cap - have - 1, 0);

		if (got <= 0)
			break;
		have += (size_t)got;
		buf[have] = '\0';
		if (end == NULL && (end = strstr(buf, "\r\n\r\n")) != NULL) {
			char *l = strcasestr(buf, "\r\ncontent-length:");

			length = l != NULL && l < end ? atol(l + 17) : -1;
			end += 4;
		}
		if (end != NULL && length >= 0 &&
		    have >= (size_t)(end - buf) + (size_t)length)
			break;
	}
	if (end == NULL ||
	    (length >= 0 && have < (size_t)(end - buf) + (size_t)length))
		goto out;
	sscanf(buf, "HTTP/1.%*d %d", &status);
	if (size > 0)
		snprintf(body, size, "%s", end);
out:
	if (fd >= 0)
		close(fd);
	free(buf);
	free(head);
	return status;
}

#endif
