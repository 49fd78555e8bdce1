/*
 * A requester for the scripts of the review.
 * usage: client3 IP PORT METHOD HOST PATH [BODY [TIMEOUT-MS]]
 * Prints the status, 0 for no answer, and the body.  Gives up after TIMEOUT-MS
 * (3000), which it also names as its deadline.
 */
#define _GNU_SOURCE
#include "http3.h"

int
main(int argc, char **argv)
{
	static char body[1 << 20];
	char headers[512];
	int timeout_ms, status;

	if (argc < 6)
		return 2;
	timeout_ms = argc > 7 ? atoi(argv[7]) : 3000;
	snprintf(headers, sizeof(headers),
	    "Host: %s\r\nContent-Type: application/json\r\n"
	    "Tanagerspool-Deadline-Ms: %d\r\n",
	    argv[4], timeout_ms);
	status = http3_call(argv[1], atoi(argv[2]), argv[3], argv[5], headers,
	    argc > 6 && argv[6][0] != '\0' ? argv[6] : NULL, timeout_ms, body,
	    sizeof(body));
	printf("%d %s\n", status, body);
	return 0;
}
