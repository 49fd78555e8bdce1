#!/bin/sh
# Runs build/cells, the random schedules of the cell scheduler (sched/), on the
# seeds 1 to SEEDS, split over the processors.  Fails unless all that fail are in
# KNOWN-RED.txt, as "build/cells SEED SEED FLAG -- CHECK".
# usage: cells.sh BUILD-FOLDER SEEDS [FLAG]
set -eu
B=$1
all=$2
flag=${3:-}
n=$(nproc)
each=$(((all + n - 1) / n))
out=$(mktemp -d)
i=0
while [ $i -lt "$n" ]; do
	"$B/cells" $((i * each + 1)) $(((i + 1) * each)) $flag >"$out/$i" 2>&1 &
	i=$((i + 1))
done
wait
p=$(cat "$out"/* | sed -n 's/^cells: \([0-9]*\) passed.*/\1/p' | awk '{ s += $1 } END { print s + 0 }')
f=$(cat "$out"/* | sed -n 's/.* \([0-9]*\) failed$/\1/p' | awk '{ s += $1 } END { print s + 0 }')
grep -h '^seed ' "$out"/* >"$out/seeds" || true
cat "$out/seeds"
known=0
while IFS=' :' read -r _ seed _; do
	check=$(sed -n "s/^seed $seed: \([^:]*\):.*/\1/p" "$out/seeds")
	if grep -qxF "build/cells $seed $seed${flag:+ $flag} -- $check" KNOWN-RED.txt; then
		echo "known failure: seed $seed: $check (see KNOWN-RED.txt)"
		known=$((known + 1))
	fi
done <"$out/seeds"
echo "cells${flag:+ $flag}: $p passed, $f failed"
rm -rf "$out"
# A process that crashed leaves seeds that neither passed nor failed.
[ $((p + f)) -ge "$all" ] && [ "$f" = "$known" ]
