#!/bin/sh
. "$(dirname "$0")/../lib.sh"
play cancel review/3
