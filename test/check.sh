#!/bin/sh
# Runs build/check on the seeds 1 to SEEDS, split over the processors, and
# prints the failed seeds.
# usage: check.sh BUILD-FOLDER SEEDS
B=$1 N=$2
cpus=$(nproc)
each=$(((N + cpus - 1) / cpus))
i=0
pids=
while [ $i -lt "$cpus" ]; do
	"$B/check" $((1 + i * each)) $each >"$B/check.$i" &
	pids="$pids $!"
	i=$((i + 1))
done
bad=0
for p in $pids; do wait "$p" || bad=1; done
cat "$B"/check.[0-9]* | grep '^seed'
cat "$B"/check.[0-9]* | awk '/passed/ { p += $1; f += $3 }
    END { print "schedules: " p " passed, " f " failed" }'
[ $bad = 0 ] || echo "trace one with: $B/check SEED 1 trace"
exit $bad
