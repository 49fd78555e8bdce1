/*
 * usage: standin CASE TROUBLE RECORD NET PORT
 * Prints "up" once the store and the workers listen; plays the case once the
 * entries are ready.  NET: the first three bytes of all addresses.
 */
#define _GNU_SOURCE
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "standin.h"

#define START_MS 20000 /* until the entries serve */
#define ALARM_S	 116   /* a case that takes longer ends without a result */

static FILE *record;
static int64_t began_ms;

void
note(const char *fmt, ...)
{
	int64_t t = now_ms() - began_ms;
	va_list ap;

	flockfile(record);
	fprintf(record, "%7.3f ", (double)t / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	funlockfile(record);
}

void
sleep_ms(int ms)
{
	struct timespec t = { ms / 1000, (ms % 1000) * 1000000L };

	nanosleep(&t, NULL);
}

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"desk\",\"host\":\"" HOST "\","
    "\"prefix\":\"" PREFIX "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,"
    "\"target_duration_ms\":1000,\"priority\":0,\"service\":\"" SERVICE "\","
    "\"max_attempts\":4,\"stretch\":2.0}],\"services\":[{\"name\":\"" SERVICE
    "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,"
    "\"rejects_overload\":true,\"headroom\":false}],\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

int
main(int argc, char **argv)
{
	int port, result;
	char ip[32];

	if (argc != 6 || (record = fopen(argv[3], "w")) == NULL) {
		fprintf(
		    stderr, "usage: standin CASE TROUBLE RECORD NET PORT\n");
		return 2;
	}
	alarm(ALARM_S);
	began_ms = now_ms();
	port = atoi(argv[5]);
	front_port = port + 1;
	ready_port = port + 2;
	for (int i = 0; i < ENTRIES; i++)
		snprintf(
		    entry_ip[i], sizeof(entry_ip[i]), "%s.%d", argv[4], 11 + i);
	snprintf(ip, sizeof(ip), "%s.1", argv[4]);
	case_workers(argv[1]);
	lock();
	if (!server_listen(ip, port, 0, store_serve)) {
		fprintf(stderr, "standin: the port is taken\n");
		return 2;
	}
	store_put_text("op", "config", config);
	for (int i = 0; i < nworkers; i++) {
		snprintf(workers[i].ip, sizeof(workers[i].ip), "%s.%d", argv[4],
		    100 + i);
		workers[i].port = port;
		if (!worker_restart(&workers[i]))
			return 2;
	}
	server_add_tick(store_tick);
	server_add_tick(worker_tick);
	unlock();
	server_start();
	puts("up");
	fflush(stdout);
	if (!entries_ready(START_MS) || !cell_serves(START_MS)) {
		note("the deployment does not start");
		return 2;
	}
	result = case_play(argv[1], strcmp(argv[2], "0") != 0);
	note("result %d", result);
	lock(); /* nothing more is answered */
	exit(result);
}
