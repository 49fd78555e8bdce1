#!/bin/sh
# Process tests of "tanagerspool serve" with a stand-in of the users' platform.
# usage: serve.sh BUILD-FOLDER
B=$1
. test/lib.sh
trap 'kill -9 $PIDS 2>/dev/null; rm -rf "$T"' EXIT
passed=0 failed=0
STORE=127.0.0.1:8400

# A check named $1 has passed, or has failed for the reason $2.
ok() { passed=$((passed + 1)); echo "ok   $1"; }
bad() { failed=$((failed + 1)); echo "FAIL $1: $2"; }
check() { # NAME GOT WANT
	if [ "$2" = "$3" ]; then
		ok "$1"
	else
		bad "$1" "got '$2', want '$3'"
	fi
}
start_serve() { # N
	start "s$1" "$B/tanagerspool" serve --name "s$1" --zone z \
	    --ip "127.0.0.5$1" --front "127.0.0.5$1:8000" \
	    --ready "127.0.0.5$1:8001" --store $STORE --advice $STORE --peer-port 8002
}
ready() { [ "$(code "http://127.0.0.5$1:8001/-/ready")" = 200 ]; }
code() { curl -s -m 5 -o /dev/null -w '%{http_code}' "$@"; }
call() { # N METHOD PATH [BODY]
	curl -s -m 5 -X "$2" -H 'Host: h.example' ${4:+-d "$4"} \
	    "http://127.0.0.5$1:8000$3"
}
call_code() { # the same; prints only the status code
	code -X "$2" -H 'Host: h.example' ${4:+-d "$4"} \
	    "http://127.0.0.5$1:8000$3"
}
state() { call "$1" GET "/q/$2" | sed 's/.*"state":"\([a-z]*\)".*/\1/'; }
is_state() { [ "$(state "$1" "$2")" = "$3" ]; }
owner() { # the entry that claimed the cell last
	grep -l name=cell_owned "$T"/s[12].out | tail -n 1 |
	    sed 's/.*s\([12]\).out/\1/'
}
JOB='{"spec":"x","steps":[{"count":3,"cpu":500,"mem_mb":10,"estimate_ms":300},{"count":2,"cpu":500,"mem_mb":10,"estimate_ms":300,"after":[0]}]}'
LONG='{"spec":"x","steps":[{"count":40,"cpu":16000,"mem_mb":10,"estimate_ms":300}]}'

start store "$B/standin-users" 8400
start_serve 1
start_serve 2
wait_for 10 ready 1 && wait_for 10 ready 2 || bad ready "not ready"
# A write of a former process may be carried out late: it removes the row of an
# entry, which the others would then leave out when they look for an outage.
entry_row() { # N
	curl -s -m 5 "http://$STORE/-/rows-get?table=entry&part=e" |
	    grep -q "\"s$1\""
}
wait_for 5 entry_row 1
curl -s -m 5 -o /dev/null "http://$STORE/-/rows-tx" \
    -d '{"remove":[{"table":"entry","part":"e","key":"s1"}]}'
check entry_registers_again "$(wait_for 5 entry_row 1 && echo yes)" yes
# No approval service: templates give an empty address then.
start s3 "$B/tanagerspool" serve --name s3 --zone z --ip 127.0.0.53 \
    --front 127.0.0.53:8000 --ready 127.0.0.53:8001 --store $STORE --advice=
check no_approval_service "$(wait_for 10 ready 3 && echo ready)" ready
kill -9 "$(pid_of s3)"
check accepted "$(call_code 1 POST /q/00000000000000a1 "$JOB")" 200
check repeated "$(call_code 2 POST /q/00000000000000a1 "$JOB")" 200
wait_for 10 is_state 2 00000000000000a1 completed
check completed "$(state 2 00000000000000a1)" completed
check no_such_job "$(call_code 1 GET /q/00000000000000ff)" 410
check no_such_queue "$(call_code 1 GET /other/00000000000000a1)" 404
check not_a_job "$(call_code 1 POST /q/00000000000000a2 '{"steps":7}')" 400
check waiting_count "$(call 1 GET /q/)" '{"waiting":0}'
check cancel_unknown "$(call_code 1 DELETE /q/00000000000000ff)" 410
check long_accepted "$(call_code 1 POST /q/00000000000000a3 "$LONG")" 200
check cancelled "$(call_code 2 DELETE /q/00000000000000a3)" 200
wait_for 10 is_state 1 00000000000000a3 cancelled
check is_cancelled "$(state 1 00000000000000a3)" cancelled

# Guards against UNASKED: a cancel finds no job, as the write of its submission gets no
# answer, and the write is performed after the cancel was answered 410.
lose() { curl -s -m 5 -o /dev/null "http://$STORE/test/lose?key=$1&ms=$2"; }
lose 00000000000000e1 2500
check lost_submission "$(code -H 'Host: h.example' -d "$JOB" \
    -H 'Tanagerspool-Deadline-Ms: 700' \
    http://127.0.0.51:8000/q/00000000000000e1)" 504
check lost_cancelled "$(call_code 2 DELETE /q/00000000000000e1)" 410
wait_for 5 grep -q "late write" "$T/store.out"
check lost_write "$(grep "late write" "$T/store.out")" "late write refused"
check lost_gone "$(call_code 1 GET /q/00000000000000e1)" 410
check lost_again "$(call_code 1 POST /q/00000000000000e1 "$JOB")" 410
check cancelled_first "$(call_code 1 DELETE /q/00000000000000e2)" 410
check submitted_later "$(call_code 2 POST /q/00000000000000e2 "$JOB")" 410

# Guards against LOST: the row of a job that repeats grew with what had finished, and
# was refused by the store together with all other writes.  More than 7,000 steps here.
STEP='{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":300}'
STEPS=$(yes "$STEP" | head -n 200 | paste -sd ,)
call_code 1 POST /q/00000000000000f1 "{\"spec\":\"x\",\"repeat_count\":40,\"start_ms\":$(date +%s%3N),\"interval_ms\":400,\"steps\":[$STEPS]}" >/dev/null
wait_for 60 is_state 1 00000000000000f1 completed
check repeated_completed "$(state 1 00000000000000f1)" completed
check repeated_other "$(call_code 2 POST /q/00000000000000f2 "$JOB")" 200
wait_for 10 is_state 1 00000000000000f2 completed
check repeated_other_completed "$(state 1 00000000000000f2)" completed
check no_write_rejected "$(grep -l name=write_rejected "$T"/s?.out)" ""

# A queue whose placements need approval.
check approved_accepted "$(code -H 'Host: 127.0.0.59' -d "$JOB" \
    http://127.0.0.51:8000/q/00000000000000a5)" 200
wait_for 10 is_state 2 00000000000000a5 completed
check approved_completed "$(state 2 00000000000000a5)" completed
check tickets "$(grep -c 'start 00000000000000a5.* ticket t1' "$T/store.out")" 5
check no_ticket "$(grep -c 'start 00000000000000a1.* ticket -' "$T/store.out")" 5

# Ambiguous body lengths (request smuggling) and oversized headers are refused.
raw() { # N HEADERS: the status of a valid job b...N sent with them
	printf 'POST /q/00000000000000b%s HTTP/1.1\r\nHost: h.example\r\n%b\r\n%s' \
	    "$1" "$2" "$JOB" |
	    curl -s -m 2 telnet://127.0.0.51:8000 | sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p'
}
len=${#JOB}
check one_length "$(raw 1 "Content-Length: $len\r\n")" 200
check same_length_twice "$(raw 2 "Content-Length: $len\r\nContent-Length: $len\r\n")" 200
check two_lengths "$(raw 3 "Content-Length: $len\r\nContent-Length: 5\r\n")" 400
check length_and_chunks "$(raw 4 "Content-Length: $len\r\nTransfer-Encoding: chunked\r\n")" 400
check long_header "$(raw 5 "X: $(printf '%020000d' 7)\r\nContent-Length: $len\r\n")" 431

# The owner of the cell is killed: the other entry takes over its jobs.
o=$(owner)
n=$((3 - o))
check before_kill "$(call_code "$n" POST /q/00000000000000a4 "$JOB")" 200
kill -9 "$(pid_of "s$o")"
wait_for 15 is_state "$n" 00000000000000a4 completed
check after_kill "$(state "$n" 00000000000000a4)" completed
# The log shows each stage of the job.  It is flushed ten times a second, so
# that the newest lines may be missing for a while.
logged() { # EVENT
	grep -h "id=00000000000000a4" "$T"/s[12].out | grep -q "name=$1"
}
missing=
for e in job_accepted job_seen run_start run_end job_end; do
	wait_for 2 logged $e || missing="$missing $e"
done
check events_logged "$missing" ""
curl -s -m 5 "http://127.0.0.5$n:9464/metrics" >"$T/metrics"
check metrics "$(grep -c '^tanagerspool_\(starts\|longest_idle_ms\|tasks_waiting{reason="isolated"}\|accept_ms_bucket{le="1"}\) ' "$T/metrics")" 4

# A graceful stop ends by itself, and what was accepted survives it.
kill -TERM "$(pid_of "s$n")"
wait_for 8 grep -q name=exit "$T/s$n.out" || true
check stopped "$(grep -c name=exit "$T/s$n.out")" 1
start_serve "$o"
wait_for 10 ready "$o"
wait_for 10 is_state "$o" 00000000000000a4 completed
check after_restart "$(state "$o" 00000000000000a4)" completed

# Customers: their calls to k.example need a key, as its route is not public.
keyed() { # KEY METHOD PATH [BODY]: the status code; no header if KEY is ""
	code -X "$2" -H 'Host: k.example' ${1:+-H "Tanagerspool-Key: $1"} \
	    ${4:+-d "$4"} "http://127.0.0.5$o:8000$3"
}
keyed_state() { # KEY ID
	curl -s -m 5 -H 'Host: k.example' -H "Tanagerspool-Key: $1" \
	    "http://127.0.0.5$o:8000/q/$2" | sed 's/.*"state":"\([a-z]*\)".*/\1/'
}
keyed_is() { [ "$(keyed_state "$1" "$2")" = "$3" ]; }
answers() { [ "$(keyed "$1" GET /q/)" = "$2" ]; }
GANG='{"spec":"x","steps":[{"count":5,"gang":true,"cpu":1000,"mem_mb":10,"estimate_ms":300}]}'
LARGE='{"spec":"x","steps":[{"count":1,"cpu":5000,"mem_mb":10,"estimate_ms":300}]}'
wait_for 10 answers secret-one 200
check no_key "$(keyed '' POST /q/00000000000000c1 "$JOB")" 401
check no_key_no_body "$(keyed '' GET /q/)" 401
check no_key_bad_id "$(keyed '' GET /q/x)" 401
check unknown_key "$(keyed secret-9 POST /q/00000000000000c1 "$JOB")" 401
check unknown_key_state "$(keyed secret-9 GET /q/00000000000000a1)" 401
check unknown_key_cancel "$(keyed secret-9 DELETE /q/00000000000000a1)" 401
check not_stored "$(keyed secret-one GET /q/00000000000000c1)" 410
check right_key "$(keyed secret-one POST /q/00000000000000c1 "$JOB")" 200
check own_repeated "$(keyed secret-0 POST /q/00000000000000c1 "$JOB")" 200
check foreign_id "$(keyed secret-two POST /q/00000000000000c1 "$JOB")" 409
check foreign_id_public "$(call_code "$o" POST /q/00000000000000c1 "$JOB")" 409
check foreign_state "$(keyed secret-two GET /q/00000000000000c1)" 410
check foreign_cancel "$(keyed secret-two DELETE /q/00000000000000c1)" 410
check foreign_public "$(call_code "$o" GET /q/00000000000000c1)" 410
wait_for 10 keyed_is secret-one 00000000000000c1 completed
check own_completed "$(keyed_state secret-one 00000000000000c1)" completed
check foreign_ended "$(keyed secret-two GET /q/00000000000000c1)" 410
check own_long "$(keyed secret-two POST /q/00000000000000c2 "$LONG")" 200
check foreign_long "$(keyed secret-one DELETE /q/00000000000000c2)" 410
check foreign_running "$(keyed secret-one GET /q/00000000000000c2)" 410
check own_cancel "$(keyed secret-two DELETE /q/00000000000000c2)" 200
wait_for 10 keyed_is secret-two 00000000000000c2 cancelled
check own_cancelled "$(keyed_state secret-two 00000000000000c2)" cancelled
check public_no_key "$(call_code "$o" POST /q/00000000000000c3 "$JOB")" 200
wait_for 10 is_state "$o" 00000000000000c3 completed
check no_customer "$(keyed_state secret-two 00000000000000c3)" completed
check large_gang "$(keyed secret-two POST /q/00000000000000c4 "$GANG")" 400
check large_gang_no_quota "$(keyed secret-one POST /q/00000000000000c4 "$GANG")" 200
check large_task "$(keyed secret-two POST /q/00000000000000c5 "$LARGE")" 200

# A key is withdrawn while its caller keeps a connection open.
request() { # KEY
	printf 'GET /q/ HTTP/1.1\r\nHost: k.example\r\nTanagerspool-Key: %s\r\n\r\n' "$1"
}
two_requests() {
	request secret-0
	sleep 0.5
	kill -USR2 "$(pid_of store)"
	sleep 3
	request secret-0
	sleep 0.5
}
check withdrawn "$(two_requests | curl -s -m 5 "telnet://127.0.0.5$o:8000" |
    grep -o 'HTTP/1.1 [0-9]*' | tr '\n' ' ')" "HTTP/1.1 200 HTTP/1.1 401 "
check added "$(keyed secret-1 GET /q/)" 200

# A key is withdrawn while the entry can't reach the store: nothing is known of
# the keys then.
kill -STOP "$(pid_of store)"
kill -USR2 "$(pid_of store)"
wait_for 5 answers secret-1 503
check unreachable "$(keyed secret-1 GET /q/)" 503
check unreachable_unknown "$(keyed secret-9 GET /q/)" 503
# Guards against CONFIG, 404 for a queue that was added meanwhile: without the
# store no queue is unknown, and with it all are known at once.
no_such_queue() { [ "$(call_code "$o" GET /other/00000000000000a1)" = 404 ]; }
check unreachable_queue "$(call_code "$o" GET /other/00000000000000a1)" 503
check unreachable_ready "$(code "http://127.0.0.5$o:8001/-/ready")" 503
# After 1 s, and by a hash of the id up to as much again.
check retry_after "$(curl -s -m 5 -D - -H 'Host: k.example' \
    "http://127.0.0.5$o:8000/q/" | tr -d '\r' |
    grep -ciE '^retry-after: [12]$')" 1
back_ms=$(date +%s%3N)
kill -CONT "$(pid_of store)"
wait_for 5 no_such_queue
took_ms=$(($(date +%s%3N) - back_ms))
check reachable_queue "$([ $took_ms -le 1000 ] && echo yes || echo $took_ms ms)" yes
check reachable_ready "$(wait_for 5 ready "$o" && echo yes)" yes
wait_for 5 answers secret-1 401
check withdrawn_later "$(keyed secret-1 GET /q/)" 401
# The number of waiting jobs is not known until the owner has renewed its row.
wait_for 5 answers secret-2 200
check added_later "$(keyed secret-2 GET /q/)" 200
# A key is withdrawn while the entry stands still; the call that waits for it is
# decided after the pause.
kill -STOP "$(pid_of "s$o")"
kill -USR2 "$(pid_of store)"
sleep 3.2
keyed secret-2 GET /q/ >"$T/paused" &
waiting=$!
sleep 0.3
kill -CONT "$(pid_of "s$o")"
wait $waiting
check pause "$(grep -c '^\(401\|503\)$' "$T/paused")" 1
wait_for 5 answers secret-2 401
check withdrawn_in_pause "$(keyed secret-2 GET /q/)" 401
curl -s -m 5 "http://127.0.0.5$o:9464/metrics" >"$T/metrics"
# No key is checked by old tables: tables_old counts these calls.
check auth_metrics "$(grep -c '^tanagerspool_\(unauthorized\|tables_old\|foreign\) [1-9]' "$T/metrics")" 3
check rejections_logged "$(grep -q name=call_rejected "$T/s$o.out" && echo yes)" yes
check keys_not_told "$(grep -l 'secret-' "$T"/s*.out "$T"/s*.log "$T/metrics")" ""
check flags "$("$B/tanagerspool" serve --name x --metrics-port nine 2>&1 | head -n 1)" \
    "tanagerspool: --zone or TANAGERSPOOL_ZONE must be given: its data centre"
echo "serve: $passed passed, $failed failed"
[ $failed = 0 ]
