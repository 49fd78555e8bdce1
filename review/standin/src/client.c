/* Clients of the entries: blocking HTTP calls, each on its own connection. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define DEADLINE_MS 3000 /* of the sites' requests */

char entry_ip[ENTRIES][32];
int front_port, ready_port;

static int
open_conn(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, ip, &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int
http(const char *ip, int port, const char *method, const char *path,
    const char *data, int deadline_ms, int wait_ms, char *body, size_t nbody)
{
	int64_t until = now_ms() + wait_ms;
	int fd = open_conn(ip, port), status = 0;
	size_t n = 0, size = 65536;
	char *buf, *end;
	int len;

	if (body != NULL)
		body[0] = '\0';
	if (fd < 0)
		return 0;
	len = asprintf(&buf,
	    "%s %s HTTP/1.1\r\nHost: " HOST "\r\n"
	    "Tanagerspool-Deadline-Ms: %d\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, deadline_ms, data == NULL ? 0 : strlen(data),
	    data == NULL ? "" : data);
	if (send(fd, buf, (size_t)len, MSG_NOSIGNAL) != len) {
		free(buf);
		close(fd);
		return 0;
	}
	free(buf);
	buf = calloc(1, size + 1);
	while (n < size) {
		struct pollfd p = { fd, POLLIN, 0 };
		int64_t left = until - now_ms();
		ssize_t got;
		char *length;

		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			break;
		got = recv(fd, buf + n, size - n, 0);
		if (got <= 0)
			break;
		n += (size_t)got;
		end = strstr(buf, "\r\n\r\n");
		length = strcasestr(buf, "content-length:");
		if (end == NULL || length == NULL ||
		    n < (size_t)(end + 4 - buf) + (size_t)atol(length + 15))
			continue;
		sscanf(buf, "HTTP/1.1 %d", &status);
		if (body != NULL)
			snprintf(body, nbody, "%s", end + 4);
		break;
	}
	free(buf);
	close(fd);
	return status;
}

int
call(int entry, const char *method, const char *path, const char *data,
    int timeout_ms, char *body, size_t nbody)
{
	return http(entry_ip[entry], front_port, method, path, data, timeout_ms,
	    timeout_ms, body, nbody);
}

int
submit(int entry, const char *id, const char *job)
{
	char path[128];
	int status;

	snprintf(path, sizeof(path), PREFIX "%s", id);
	status = call(entry, "POST", path, job, DEADLINE_MS, NULL, 0);
	note("submit %s to entry %d: %d", id, entry + 1, status);
	return status;
}

int
submit_and_leave(int entry, const char *id, const char *job, int wait_ms)
{
	char path[128];
	int status;

	snprintf(path, sizeof(path), PREFIX "%s", id);
	status = http(entry_ip[entry], front_port, "POST", path, job,
	    DEADLINE_MS, wait_ms, NULL, 0);
	note("submit %s to entry %d, leave after %d ms: %d", id, entry + 1,
	    wait_ms, status);
	return status;
}

int
cancel(int entry, const char *id)
{
	char path[128];
	int status;

	snprintf(path, sizeof(path), PREFIX "%s", id);
	status = call(entry, "DELETE", path, NULL, DEADLINE_MS, NULL, 0);
	note("cancel %s at entry %d: %d", id, entry + 1, status);
	return status;
}

const char *
state_of(const char *id)
{
	static char state[64];
	char path[128], body[256];

	snprintf(path, sizeof(path), PREFIX "%s", id);
	state[0] = '\0';
	for (int i = 0; i < 2 * ENTRIES && state[0] == '\0'; i++) {
		int status = call(i % ENTRIES, "GET", path, NULL, DEADLINE_MS,
		    body, sizeof(body));
		char *p = strstr(body, "\"state\":\"");

		if (status == 410)
			strcpy(state, "gone");
		else if (status == 200 && p != NULL)
			sscanf(p + 9, "%63[a-z]", state);
		else
			sleep_ms(200);
	}
	note("state of %s: %s", id, state[0] == '\0' ? "no answer" : state);
	return state;
}

bool
entries_ready(int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	for (int i = 0; i < ENTRIES; i++)
		while (http(entry_ip[i], ready_port, "GET", "/-/ready", NULL,
			   1000, 1000, NULL, 0) != 200) {
			if (now_ms() > until)
				return false;
			sleep_ms(50);
		}
	return true;
}

/* A job of one short task is done. */
bool
cell_serves(int timeout_ms)
{
	const char *id = "00000000000000aa";
	int64_t until = now_ms() + timeout_ms;

	while (submit(0, id,
		   "{\"spec\":\"ms 50\",\"steps\":[{\"count\":1,\"cpu\":100,"
		   "\"mem_mb\":1,\"estimate_ms\":50}]}") != 200)
		if (now_ms() > until)
			return false;
	while (strcmp(state_of(id), "completed") != 0) {
		if (now_ms() > until)
			return false;
		sleep_ms(200);
	}
	return true;
}
