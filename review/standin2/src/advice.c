/*
 * A stand-in of the service for advice, after PROTOCOL.md: all workers may run all steps.
 * One call at a time.  Appends a line to RECORD for each.
 *
 * usage: review2-advice IP:PORT RECORD
 */
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "http.h"

#define DECISION_MS 100
#define PER_ITEM_MS 5
#define VALID_MS    3000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char *record;

static void
note(const char *step, size_t workers)
{
	char line[256];
	int fd = open(record, O_WRONLY | O_APPEND | O_CREAT, 0644);
	int n = snprintf(line, sizeof(line), "%lld advice %s workers %zu\n",
	    (long long)wall_ms(), step, workers);

	if (fd < 0 || write(fd, line, (size_t)n) != n)
		fprintf(stderr, "can't write to the record\n");
	close(fd);
}

static reply_t
handle(const request_t *r)
{
	json_t *j = json_loadb(r->body, r->body_bytes, 0, NULL), *e, *answer;
	json_t *good = json_array();
	reply_t reply = { 200, NULL };
	size_t i;

	pthread_mutex_lock(&lock);
	note(json_string_value(json_object_get(j, "step")),
	    json_array_size(json_object_get(j, "workers")));
	sleep_ms(DECISION_MS +
	    PER_ITEM_MS *
		(int64_t)json_array_size(json_object_get(j, "workers")));
	json_array_foreach(json_object_get(j, "workers"), i, e)
	{
		char ticket[300];

		snprintf(ticket, sizeof(ticket), "%s-%lld",
		    json_string_value(e), (long long)wall_ms());
		json_array_append_new(good, json_pack("[O,s]", e, ticket));
	}
	pthread_mutex_unlock(&lock);
	answer = json_pack("{s:o,s:i}", "good", good, "valid_ms", VALID_MS);
	reply.body = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	json_decref(j);
	return reply;
}

int
main(int argc, char **argv)
{
	if (argc != 3) {
		fprintf(stderr, "usage: review2-advice IP:PORT RECORD\n");
		return 2;
	}
	record = argv[2];
	http_serve(argv[1], handle);
	return 0;
}
