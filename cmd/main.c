/*
 * The tanagerspool binary: runs the subcommand named by its first argument.
 */
#include <locale.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "../trans/trans.h"
#include "cmd.h"

static const command_t commands[] = {
	{ "entry", entry_main,
	    "serve as an entry between callers and "
	    "backend servers" },
	{ "serve", serve_main,
	    "serve on the users' platform, as one of its VMs" },
	{ "table", table_main, "check, get, put or diff the two tables" },
	{ "zone", zone_main,
	    "take a data centre out of service or bring it back" },
	{ "job", job_main, "submit, show, cancel or list batch jobs" },
	{ "config-check", config_check_main,
	    "check a configuration of the users' platform" },
	{ "status", status_main, "show the state of an entry" },
	{ "version", version_main, "print the version" },
};

int
version_main(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	printf("tanagerspool %s\n", TS_VERSION);
	return EXIT_OK;
}

static void
usage(FILE *f)
{
	fprintf(f, "usage: tanagerspool command [flags] [arguments]\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(f, "  %-12s %s\n", commands[i].name, commands[i].help);
	fprintf(f, "'tanagerspool command --help' lists its flags\n");
}

int
main(int argc, char **argv)
{
	setlocale(LC_CTYPE, "C.UTF-8");
	if (argc < 2) {
		usage(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		usage(stdout);
		return EXIT_OK;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "tanagerspool: no command '%s'; see --help\n", argv[1]);
	return EXIT_USAGE;
}
