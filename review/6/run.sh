#!/bin/sh
# Two workers crash in turn, each with the one run of a job.  Run in the repository's root.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"
ID=00000000000000c6
TASK=$ID.0.0.0

start_all 4 8
JOB='{"spec":"ms=6000;cpu=8000;mem=4000","steps":[{"count":1,"cpu":8000,"mem_mb":4000,"estimate_ms":6000}]}'
[ "$(call 1 POST /q/$ID "$JOB" | cut -c1-3)" = 200 ] || quit 2

# The worker of the task's N-th start crashes a moment later, and is back after 4.5 s.
crash() {
	wait_for 20 has_start $TASK "$1" || { note "no start $1"; quit 2; }
	w=$(start_of $TASK "$1")
	sleep 0.7
	note "crash $w"
	kill -KILL "$(pid_of "$w")"
	(sleep 4.5) && start_worker "${w#w}"
	note "back $w"
}
if [ "$TROUBLE" = 1 ]; then
	crash 1
	crash 2
fi

end=$(($(now) + 40000))
while [ "$(now)" -lt $end ]; do
	s=$(state 2 $ID)
	case $s in completed|failed|cancelled) break;; esac
	sleep 0.5
done
failed=$(grep -c " end $TASK run .* failed" "$RECORD")
note "shown as $s; ends 'failed' of its only task: $failed, of 4 attempts"
if [ "$s" = failed ] && [ "$failed" -lt 4 ]; then
	note "LOST is broken: shown as failed without cause"
	quit 1
fi
[ "$s" = completed ] && quit 0
quit 2
