#!/bin/sh
. "$(dirname "$0")/../lib.sh"
play recurring review/1
