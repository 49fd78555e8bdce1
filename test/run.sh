#!/bin/sh
# Demonstrates the system end to end: three entries and three workers in two
# data centres, requests, a batch job, and a graceful stop.
# usage: sh test/run.sh BUILD-FOLDER
B=$1
. test/lib.sh
start_all 3 3
for e in 1 2 3; do
	print_heading "entry e$e: quote, booking, leave request"
	call $e agents-token "/quote?from=bilbao"; echo
	call $e agents-token /book -H "Idempotency-Key: book-$e" -d '{}'; echo
	call $e members-token /leave -d '{}'; echo
done
print_heading "batch job"
id=$("$B/tanagerspool" job submit --team berths --pool sweeps --run-ms 500) ||
    die "job submit"
wait_for 20 job_is "$id" done || die "job is $(job_state "$id")"
"$B/tanagerspool" job status "$id"
job_state "$id"
print_heading "counters of e1"
curl -s http://127.0.0.11:8001/metrics | grep -v '^#' | grep -v ' 0$'
print_heading "status of e1"
"$B/tanagerspool" status
print_heading "graceful stop"
for e in 1 2 3; do kill -TERM "$(pid_of e$e)"; done
for e in 1 2 3; do
	wait "$(pid_of e$e)" || die "entry e$e did not stop cleanly"
done
grep -h name=drained "$T"/e?.out
