#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/14 start, into
# target/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
PKGS="glib-2.0 libuv libh2o libprotobuf-c log4c jansson libcurl openssl"
OBJS="$(ls target/trans/*.o target/proto/*.o target/platform/*.o |
    grep -v sched.pb-c.o)"
for p in store3 worker3 client3; do
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu11 -O2 -Wall -Iinclude $(pkg-config --cflags $PKGS) \
	    -o "target/$p" "review/standin3/src/$p.c" $OBJS target/libtanagerspool.a \
	    $(pkg-config --libs $PKGS) -lhttp_parser -lm
done
