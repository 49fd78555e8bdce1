/* A small HTTP/1.1 server on epoll for the store and the workers. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "standin.h"

#define OWNERS_MAX (WORKERS_MAX + 1)
#define TICKS_MAX  4

struct conn {
	int fd, owner;
	char *in, *out;
	size_t nin, ain, nout, aout;
	uint64_t requests; /* so far; the last one may be unanswered */
	bool busy, dead, silent;
	conn_t *next;
};

typedef struct {
	int fd;
	serve_fn fn;
} listener_t;

typedef struct delayed {
	struct delayed *next;
	later_t to;
	int64_t due_ms;
	int status;
	char *body;
} delayed_t;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int epfd = -1;
static listener_t listeners[OWNERS_MAX];
static conn_t *conns;
static delayed_t *delayed;
static void (*ticks[TICKS_MAX])(void);
static int nticks;

void
lock(void)
{
	pthread_mutex_lock(&mutex);
}
void
unlock(void)
{
	pthread_mutex_unlock(&mutex);
}

int64_t
now_ms(void)
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

bool
server_listen(const char *ip, int port, int owner, serve_fn fn)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct epoll_event e = { .events = EPOLLIN };

	if (epfd < 0)
		epfd = epoll_create1(0);
	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, 256) != 0) {
		close(fd);
		return false;
	}
	listeners[owner].fd = fd;
	listeners[owner].fn = fn;
	e.data.u64 = ((uint64_t)1 << 63) | (uint64_t)owner;
	epoll_ctl(epfd, EPOLL_CTL_ADD, fd, &e);
	return true;
}

/* The memory of a connection is kept, so that a late_t stays valid. */
static void
conn_end(conn_t *c, bool reset)
{
	struct linger l = { 1, 0 };

	if (c->dead)
		return;
	c->dead = true;
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(c->fd);
	free(c->in);
	free(c->out);
	c->in = c->out = NULL;
}

void
server_close(int owner)
{
	if (listeners[owner].fd > 0)
		close(listeners[owner].fd);
	listeners[owner].fd = 0;
	for (conn_t *c = conns; c != NULL; c = c->next)
		if (c->owner == owner)
			conn_end(c, true);
}

void
server_silence(void)
{
	int n = 0;

	for (conn_t *c = conns; c != NULL; c = c->next) {
		if (c->dead || c->silent)
			continue;
		c->silent = true;
		n++;
		epoll_ctl(epfd, EPOLL_CTL_DEL, c->fd, NULL);
	}
	note("%d open connections go silent", n);
}

static void
watch(conn_t *c)
{
	struct epoll_event e = { .events = EPOLLIN, .data.ptr = c };

	if (c->nout > 0)
		e.events |= EPOLLOUT;
	epoll_ctl(epfd, EPOLL_CTL_MOD, c->fd, &e);
}

static void
flush_out(conn_t *c)
{
	while (!c->dead && c->nout > 0) {
		ssize_t n = send(c->fd, c->out, c->nout, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			conn_end(c, false);
			return;
		}
		memmove(c->out, c->out + n, c->nout - (size_t)n);
		c->nout -= (size_t)n;
	}
	if (!c->dead)
		watch(c);
}

void
server_reply(conn_t *c, int status, const char *body)
{
	char head[200];
	size_t nb = strlen(body), nh;

	if (c->dead || c->silent)
		return;
	nh = (size_t)snprintf(head, sizeof(head),
	    "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, nb);
	if (c->nout + nh + nb > c->aout)
		c->out = realloc(c->out, c->aout = c->nout + nh + nb);
	memcpy(c->out + c->nout, head, nh);
	memcpy(c->out + c->nout + nh, body, nb);
	c->nout += nh + nb;
	c->busy = false;
	flush_out(c);
}

void
server_reply_after(conn_t *c, int ms, int status, const char *body)
{
	delayed_t *d;

	if (ms <= 0) {
		server_reply(c, status, body);
		return;
	}
	d = calloc(1, sizeof(*d));
	d->to = (later_t){ c, c->requests };
	d->due_ms = now_ms() + ms;
	d->status = status;
	d->body = strdup(body);
	d->next = delayed;
	delayed = d;
}

later_t
server_later(const request_t *r)
{
	return (later_t){ r->conn, r->conn->requests };
}

bool
server_waits(later_t l)
{
	return !l.conn->dead && !l.conn->silent && l.conn->requests == l.n &&
	    l.conn->busy;
}

void
server_add_tick(void (*fn)(void))
{
	ticks[nticks++] = fn;
}

static void
header_value(const char *head, const char *name, char *to, size_t n)
{
	size_t len = strlen(name);

	to[0] = '\0';
	for (const char *p = strstr(head, "\r\n"); p != NULL;
	     p = strstr(p, "\r\n")) {
		p += 2;
		if (strncasecmp(p, name, len) != 0 || p[len] != ':')
			continue;
		p += len + 1;
		while (*p == ' ')
			p++;
		snprintf(to, n, "%.*s", (int)strcspn(p, "\r"), p);
		return;
	}
}

/* Handles the requests that have been received whole, one at a time. */
static void
handle_input(conn_t *c)
{
	while (!c->dead && !c->busy && c->nin > 0) {
		request_t r = { .conn = c };
		char length[32], *end;
		size_t nhead, nbody;

		c->in[c->nin] = '\0';
		end = strstr(c->in, "\r\n\r\n");
		if (end == NULL)
			return;
		nhead = (size_t)(end - c->in) + 4;
		end[2] = '\0';
		header_value(c->in, "content-length", length, sizeof(length));
		nbody = (size_t)atol(length);
		if (c->nin < nhead + nbody) {
			end[2] = '\r';
			return;
		}
		header_value(c->in, "tanagerspool-expect-instance", r.expect,
		    sizeof(r.expect));
		sscanf(c->in, "%7s %2047s", r.method, r.path);
		r.body = c->in + nhead;
		r.nbody = nbody;
		c->busy = true;
		c->requests++;
		listeners[c->owner].fn(c->owner, &r);
		if (c->dead)
			return;
		memmove(c->in, c->in + nhead + nbody, c->nin - nhead - nbody);
		c->nin -= nhead + nbody;
	}
}

static void
on_readable(conn_t *c)
{
	for (;;) {
		ssize_t n;

		if (c->nin + 65536 + 1 > c->ain)
			c->in = realloc(c->in, c->ain = c->nin * 2 + 131072);
		n = recv(c->fd, c->in + c->nin, 65536, 0);
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0) {
			conn_end(c, false);
			return;
		}
		c->nin += (size_t)n;
	}
	handle_input(c);
}

static void
on_acceptable(int owner)
{
	int fd, one = 1;

	while ((fd = accept4(listeners[owner].fd, NULL, NULL, SOCK_NONBLOCK)) >=
	    0) {
		conn_t *c = calloc(1, sizeof(*c));
		struct epoll_event e = { .events = EPOLLIN, .data.ptr = c };

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c->fd = fd;
		c->owner = owner;
		c->next = conns;
		conns = c;
		epoll_ctl(epfd, EPOLL_CTL_ADD, fd, &e);
	}
}

static void
send_delayed(void)
{
	delayed_t **p = &delayed, *due = NULL;
	int64_t now = now_ms();

	while (*p != NULL) {
		delayed_t *d = *p;

		if (d->due_ms > now) {
			p = &d->next;
			continue;
		}
		*p = d->next;
		d->next = due;
		due = d;
	}
	while (due != NULL) {
		delayed_t *d = due;
		conn_t *c = d->to.conn;

		due = d->next;
		if (server_waits(d->to)) {
			server_reply(c, d->status, d->body);
			handle_input(c);
		}
		free(d->body);
		free(d);
	}
}

static void *
serve(void *arg)
{
	(void)arg;
	for (;;) {
		struct epoll_event ev[64];
		int n = epoll_wait(epfd, ev, 64, 2);

		lock();
		for (int i = 0; i < n; i++) {
			conn_t *c = ev[i].data.ptr;

			if (ev[i].data.u64 >> 63) {
				on_acceptable((int)(ev[i].data.u64 & 0xffff));
				continue;
			}
			if (!c->dead && (ev[i].events & EPOLLOUT))
				flush_out(c);
			if (!c->dead &&
			    (ev[i].events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
				on_readable(c);
		}
		send_delayed();
		for (int i = 0; i < nticks; i++)
			ticks[i]();
		unlock();
	}
	return NULL;
}

void
server_start(void)
{
	pthread_t t;

	pthread_create(&t, NULL, serve, NULL);
}
