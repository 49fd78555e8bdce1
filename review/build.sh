#!/bin/sh
# Builds the stand-ins of the scripts, in target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
gcc -std=gnu11 -O2 -g -Wall -Wextra -pthread -o target/review/standin \
    review/standin/src/*.c $(pkg-config --cflags --libs jansson)
