#!/bin/sh
# Runs build/cells, the random schedules of the cell scheduler (sched/), on the
# seeds 1 to SEEDS, split over the processors.
# usage: cells.sh BUILD-FOLDER SEEDS
set -eu
B=$1
all=$2
n=$(nproc)
each=$(((all + n - 1) / n))
out=$(mktemp -d)
i=0
while [ $i -lt "$n" ]; do
	"$B/cells" $((i * each + 1)) $(((i + 1) * each)) >"$out/$i" 2>&1 ||
	    touch "$out/failed" &
	i=$((i + 1))
done
wait
grep -h seed "$out"/* || true
p=$(cat "$out"/[0-9]* | sed -n 's/^cells: \([0-9]*\) passed.*/\1/p' | awk '{ s += $1 } END { print s + 0 }')
f=$(cat "$out"/[0-9]* | sed -n 's/.* \([0-9]*\) failed$/\1/p' | awk '{ s += $1 } END { print s + 0 }')
echo "cells: $p passed, $f failed"
ok=1
[ -e "$out/failed" ] && ok=0
[ "$p" -ge "$all" ] || ok=0
rm -rf "$out"
[ $ok = 1 ]
