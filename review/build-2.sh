#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2; run in the repository's root.
set -e
mkdir -p target/review-2
S=review/standin2/src
F="-std=gnu11 -O2 -g -Wall -Wextra -Werror"
for n in store worker call advice; do
	gcc $F -o "target/review-2/$n" "$S/$n.c" "$S/http.c" \
	    $(pkg-config --cflags --libs jansson) -lpthread
done
