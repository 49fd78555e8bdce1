/*
 * A crowd of clients that do not behave, on loopback: each opens a connection,
 * sends what its form says and keeps it open.  A connection that the server
 * closes is opened again a second later, a few times.  Prints "settled" once each
 * client has sent all or was closed, or nothing moves any more.  Ends, with all
 * connections, when standard input does, or after a minute and a half.
 *
 * usage: crowd IP PORT FORM COUNT [PATH [BODY-BYTES]]
 *
 * BODY-BYTES is the longest body that the server accepts.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#define COUNT_MAX	1000
#define OPENS_MAX	6 /* of each client's connection */
#define REOPEN_MS	1000
#define QUIET_MS	1000 /* without a byte sent: nothing moves any more */
#define LIFE_MS		90000
#define POLL_MS		20
#define PIECE_BYTES	65536 /* of one write */
#define SMALL_BYTES	1024
#define UNREAD_BYTES	4096 /* receive buffer of those that read no answers */
#define SOURCES		200  /* addresses that the crowd calls from */
#define NESTING		1000
#define HEAD_LONG_BYTES 81920
#define CHUNK_BYTES	4096
#define DATAGRAM_BYTES	1400
#define H2_STREAMS	100
#define H2_FRAME_BYTES	16000
#define H2_FRAMES	3 /* of a body */

static const char job[] = "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":10,"
			  "\"mem_mb\":1,\"estimate_ms\":300}]";

static struct {
	const char *path;
	size_t body_bytes;
	int64_t next_id;
} crowd = { .path = "/q/", .body_bytes = 262144 };

/* What one client sends: so many requests, each a head and a body. */
typedef struct {
	const char *name;
	GString *(*head)(void);
	GString *(*body)(void);
	int requests;
	size_t piece_bytes; /* of one write; 0: PIECE_BYTES */
	bool unread;	    /* reads no answers */
	bool udp;
} form_t;

typedef struct {
	const form_t *form;
	const GString *body; /* shared by all clients of the form */
	GString *head;	     /* of the present request */
	size_t sent;	     /* of the present request */
	int requests;	     /* sent whole */
	int fd;		     /* -1: closed */
	int opens;
	int64_t reopen_ms;
	bool settled;
} client_t;

static int64_t
now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/*
 * Heads.
 */
static GString *
head_with(const char *method, const char *more)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s,
	    "%s %s%016" PRIx64 " HTTP/1.1\r\nHost: h.example\r\n"
	    "Authorization: Bearer agents-token\r\n"
	    "Tanagerspool-Deadline-Ms: 20000\r\n%s",
	    method, crowd.path, crowd.next_id++, more);
	return s;
}

static GString *
head_length(void)
{
	g_autofree char *more =
	    g_strdup_printf("Content-Length: %zu\r\n\r\n", crowd.body_bytes);

	return head_with("POST", more);
}

static GString *
head_chunked(void)
{
	return head_with("POST", "Transfer-Encoding: chunked\r\n\r\n");
}

static GString *
head_get(void)
{
	return head_with("GET", "\r\n");
}

static GString *
head_unended(void)
{
	return head_with("GET", "X: ");
}

static GString *
head_upgrade(void)
{
	return head_with("GET",
	    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
	    "HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n");
}

static GString *
head_none(void)
{
	return g_string_new(NULL);
}

/*
 * Bodies.
 */
static GString *
body_none(void)
{
	return g_string_new(NULL);
}

/* A job that fills a body of the longest length with spaces. */
static GString *
body_whole(void)
{
	GString *s = g_string_new(job);

	while (s->len < crowd.body_bytes - 1)
		g_string_append_c(s, ' ');
	return g_string_append_c(s, '}');
}

static GString *
body_short(void)
{
	GString *s = body_whole();

	return g_string_truncate(s, s->len - 1);
}

/* A job with a field of lists in lists. */
static GString *
body_nested(void)
{
	GString *s = g_string_new(job);
	g_autofree char *open = g_strnfill(NESTING, '[');
	g_autofree char *close = g_strnfill(NESTING, ']');

	g_string_append(s, ",\"x\":[0");
	while (s->len + 2 * NESTING + 3 < crowd.body_bytes)
		g_string_append_printf(s, ",%s%s", open, close);
	while (s->len + 2 < crowd.body_bytes)
		g_string_append_c(s, ' ');
	return g_string_append(s, "]}");
}

static GString *
body_chunks(void)
{
	g_autofree char *data = g_strnfill(CHUNK_BYTES, ' ');
	GString *s = g_string_new(NULL);

	for (size_t n = 0; n + CHUNK_BYTES < crowd.body_bytes; n += CHUNK_BYTES)
		g_string_append_printf(s, "%x\r\n%s\r\n", CHUNK_BYTES, data);
	return s;
}

static GString *
body_long_head(void)
{
	g_autofree char *data = g_strnfill(HEAD_LONG_BYTES, 'x');

	return g_string_new(data);
}

static void
h2_frame(GString *s, int type, int flags, uint32_t stream, const char *data,
    size_t n)
{
	const uint8_t head[] = { (uint8_t)(n >> 16), (uint8_t)(n >> 8),
		(uint8_t)n, (uint8_t)type, (uint8_t)flags,
		(uint8_t)(stream >> 24), (uint8_t)(stream >> 16),
		(uint8_t)(stream >> 8), (uint8_t)stream };

	g_string_append_len(s, (const char *)head, sizeof(head));
	g_string_append_len(s, data, (gssize)n);
}

/* HTTP/2 (RFC 9113): streams that each post a body and do not end it. */
static GString *
body_h2(void)
{
	enum { DATA = 0, HEADERS = 1, SETTINGS = 4, END_HEADERS = 4 };
	static const char fields[] = "\x83\x86\x01\x09h.example\x04\x04/q/1";
	g_autofree char *data = g_strnfill(H2_FRAME_BYTES, ' ');
	GString *s = g_string_new("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");

	h2_frame(s, SETTINGS, 0, 0, "", 0);
	for (uint32_t i = 0; i < H2_STREAMS; i++) {
		h2_frame(s, HEADERS, END_HEADERS, 2 * i + 1, fields,
		    sizeof(fields) - 1);
		for (int k = 0; k < H2_FRAMES; k++)
			h2_frame(s, DATA, 0, 2 * i + 1, data, H2_FRAME_BYTES);
	}
	return s;
}

/* A frame of the entries' own connections that stops one byte short. */
static GString *
body_frame(void)
{
	GString *s = g_string_new(NULL);
	uint32_t n = htonl((uint32_t)crowd.body_bytes);

	g_string_append_len(s, (const char *)&n, sizeof(n));
	g_string_set_size(s, sizeof(n) + crowd.body_bytes - 1);
	memset(s->str + sizeof(n), 0, crowd.body_bytes - 1);
	return s;
}

static GString *
body_datagrams(void)
{
	g_autofree char *data = g_strnfill(DATAGRAM_BYTES, '\x0a');

	return g_string_new(data);
}

static const form_t forms[] = {
	{ "one_byte_short", head_length, body_short, 1 },
	{ "in_pieces", head_length, body_short, 1, SMALL_BYTES },
	{ "chunked", head_chunked, body_chunks, 1 },
	{ "whole", head_length, body_whole, 1 },
	{ "nested", head_length, body_nested, 1 },
	{ "long_heads", head_unended, body_long_head, 1 },
	{ "pipelined", head_length, body_whole, 8 },
	{ "unread", head_get, body_none, 2000, .unread = true },
	{ "preface", head_none, body_h2, 1 },
	{ "upgrade", head_upgrade, body_h2, 1 },
	{ "idle", head_none, body_none, 1 },
	{ "frames", head_none, body_frame, 1 },
	{ "datagrams", head_none, body_datagrams, 200, DATAGRAM_BYTES,
	    .udp = true },
};
#define MIXED \
	11 /* "mixed" has so many of them, from the first one on, in turn */

static void
client_close(client_t *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	c->reopen_ms = now_ms() + REOPEN_MS;
	c->settled = true;
}

/* Opens the connection of client number i. */
static void
client_open(client_t *c, int i, const struct sockaddr_in *to)
{
	struct sockaddr_in from = { .sin_family = AF_INET };
	int on = 1, unread = UNREAD_BYTES;

	from.sin_addr.s_addr =
	    htonl(0x7f000901u + (uint32_t)(i % SOURCES)); /* 127.0.9.1 ... */
	c->opens++;
	c->sent = 0;
	c->requests = 0;
	c->fd = socket(AF_INET,
	    (c->form->udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_NONBLOCK, 0);
	if (c->fd < 0) {
		perror("crowd: socket");
		exit(2);
	}
	if (c->form->unread)
		setsockopt(
		    c->fd, SOL_SOCKET, SO_RCVBUF, &unread, sizeof(unread));
	if (!c->form->udp)
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (bind(c->fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
	    (connect(c->fd, (const struct sockaddr *)to, sizeof(*to)) != 0 &&
		errno != EINPROGRESS))
		client_close(c);
}

static bool
client_has_more(const client_t *c)
{
	return c->requests < c->form->requests;
}

/* Sends the next piece; returns the number of bytes. */
static size_t
client_send(client_t *c)
{
	size_t piece =
	    c->form->piece_bytes == 0 ? PIECE_BYTES : c->form->piece_bytes;
	const GString *part;
	size_t at, n;
	ssize_t sent = 0;

	if (c->head == NULL)
		c->head = c->form->head();
	part = c->sent < c->head->len ? c->head : c->body;
	at = c->sent < c->head->len ? c->sent : c->sent - c->head->len;
	n = MIN(piece, part->len - at);
	if (n > 0)
		sent = send(c->fd, part->str + at, n, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR && !c->form->udp)
		client_close(c);
	if (sent < 0)
		return 0;
	c->sent += (size_t)sent;
	if (c->sent == c->head->len + c->body->len) {
		g_string_free(g_steal_pointer(&c->head), TRUE);
		c->sent = 0;
		c->requests++;
	}
	return (size_t)sent;
}

/* Reads and drops what was answered. */
static void
client_read(client_t *c)
{
	static char buf[65536];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		client_close(c);
}

/* What poll() said of a client; returns the number of bytes sent. */
static size_t
client_poll(client_t *c, short events)
{
	size_t sent = 0;

	if (c->fd >= 0 && (events & (POLLERR | POLLHUP)) && !c->form->udp)
		client_close(c);
	if (c->fd >= 0 && (events & POLLIN))
		client_read(c);
	if (c->fd >= 0 && (events & POLLOUT) && client_has_more(c))
		sent = client_send(c);
	c->settled = c->settled || !client_has_more(c);
	return sent;
}

static const form_t *
find_form(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++)
		if (strcmp(forms[i].name, name) == 0)
			return &forms[i];
	return NULL;
}

/* Makes the clients; false if there is no such form. */
static bool
make_clients(client_t *clients, int count, const char *name)
{
	GString *bodies[G_N_ELEMENTS(forms)] = { 0 };

	for (int i = 0; i < count; i++) {
		const form_t *f = strcmp(name, "mixed") == 0 ?
		    &forms[i % MIXED] :
		    find_form(name);
		size_t k;

		if (f == NULL)
			return false;
		k = (size_t)(f - forms);
		if (bodies[k] == NULL)
			bodies[k] = f->body();
		clients[i].form = f;
		clients[i].body = bodies[k];
		clients[i].fd = -1;
	}
	return true;
}

static bool
all_settled(const client_t *clients, int count)
{
	for (int i = 0; i < count; i++)
		if (!clients[i].settled)
			return false;
	return true;
}

static void
print_settled(const client_t *clients, int count, uint64_t bytes)
{
	int open = 0;

	for (int i = 0; i < count; i++)
		open += clients[i].fd >= 0;
	printf("settled: %d of %d open, %" PRIu64 " bytes sent\n", open, count,
	    bytes);
	fflush(stdout);
}

static void
run(client_t *clients, int count, const struct sockaddr_in *to)
{
	static struct pollfd fds[COUNT_MAX + 1];
	int64_t until_ms = now_ms() + LIFE_MS, moved_ms = now_ms();
	bool settled = false;
	uint64_t bytes = 0;

	while (now_ms() < until_ms) {
		for (int i = 0; i < count; i++) {
			client_t *c = &clients[i];

			if (c->fd < 0 && c->opens < OPENS_MAX &&
			    now_ms() >= c->reopen_ms)
				client_open(c, i, to);
			fds[i].fd = c->fd;
			fds[i].events = c->form->unread ? 0 : POLLIN;
			if (client_has_more(c))
				fds[i].events |= POLLOUT;
		}
		fds[count] = (struct pollfd){ .fd = 0, .events = POLLIN };
		poll(fds, (nfds_t)count + 1, POLL_MS);
		if (fds[count].revents != 0)
			return;
		for (int i = 0; i < count; i++) {
			size_t n = client_poll(&clients[i], fds[i].revents);

			bytes += n;
			if (n > 0)
				moved_ms = now_ms();
		}
		if (!settled &&
		    (all_settled(clients, count) ||
			now_ms() - moved_ms > QUIET_MS)) {
			settled = true;
			print_settled(clients, count, bytes);
		}
	}
}

int
main(int argc, char **argv)
{
	static client_t clients[COUNT_MAX];
	struct sockaddr_in to = { .sin_family = AF_INET };
	int count = argc > 4 ? atoi(argv[4]) : 0;

	if (argc > 5)
		crowd.path = argv[5];
	if (argc > 6)
		crowd.body_bytes = (size_t)atol(argv[6]);
	if (count <= 0 || count > COUNT_MAX ||
	    inet_pton(AF_INET, argv[1], &to.sin_addr) != 1 ||
	    !make_clients(clients, count, argv[3])) {
		fprintf(stderr,
		    "usage: crowd IP PORT FORM COUNT [PATH [BODY-BYTES]]\n");
		return 2;
	}
	to.sin_port = htons((uint16_t)atoi(argv[2]));
	/* Ids of this crowd: those of another run or of the test differ. */
	crowd.next_id = (int64_t)getpid() << 32;
	run(clients, count, &to);
	return 0;
}
