/*
 * A client: makes one call and prints its status and the body of the answer.
 *
 * usage: review2-call IP:PORT METHOD PATH [HOST [BODY [TIMEOUT_MS]]]
 *
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

#define TIMEOUT_MS 3000

int
main(int argc, char **argv)
{
	const char *host = argc > 4 ? argv[4] : "work.example";
	const char *body = argc > 5 ? argv[5] : NULL;
	int timeout_ms = argc > 6 ? atoi(argv[6]) : TIMEOUT_MS, status;
	char headers[512], *answer;

	if (argc < 4) {
		fprintf(stderr,
		    "usage: review2-call IP:PORT METHOD PATH [HOST [BODY "
		    "[TIMEOUT_MS]]]\n");
		return 2;
	}
	if (strcmp(host, "platform") == 0)
		snprintf(headers, sizeof(headers), "X-Role: platform\r\n");
	else
		snprintf(headers, sizeof(headers),
		    "Host: %s\r\nTanagerspool-Deadline-Ms: %d\r\n", host,
		    timeout_ms);
	status = http_call(
	    argv[1], argv[2], argv[3], headers, body, timeout_ms, &answer);
	printf("%d %s\n", status, answer == NULL ? "" : answer);
	free(answer);
	return 0;
}
