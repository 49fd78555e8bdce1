#!/bin/sh
# Process tests of "tanagerspool entry": what needs real processes, signals
# and sockets, and so can't be shown in virtual time (build/check).
# usage: process.sh BUILD-FOLDER [CASE ...]
B=$1; shift
. test/lib.sh
passed=0 failed=0

# fail MESSAGE: marks the case as failed, and goes on with it.
fail() { echo "  $*"; bad=1; }
# is GOT WANT WHAT: fails the case if GOT and WANT differ.
is() { [ "$1" = "$2" ] || fail "$3: got '$1', want '$2'"; }
code() { curl -s -o /dev/null -w '%{http_code}' "$@"; }
quote() { call "$1" agents-token /quote -o /dev/null -w '%{http_code}'; }
quote_ok() { [ "$(quote "$1")" = 200 ]; }
effects_of() { sed 's/.*"times":\([0-9]*\).*/\1/'; }
starts() { # attempts started on all workers, in total
	for w in 1 2 3; do curl -s "http://127.0.0.2$w:8200/report"; done |
	    grep -o '"starts":[0-9]*' | cut -d: -f2 |
	    awk '{ n += $1 } END { print n + 0 }'
}
started() { [ "$(starts)" -ge 1 ]; }
owns_worker() { [ "$(owned "$1")" -ge 1 ]; }
conf_version_is() { TANAGERSPOOL_ENTRY=http://127.0.0.1$1:8001 \
    "$B/tanagerspool" status | grep -q "^config version $2 "; }
# version: the version of the tables in the store, which go to $T/r and $T/p.
version() { "$B/tanagerspool" table get "$T/r" "$T/p" | awk '{ print $2 }'; }
total() { # COUNTER: its sum over three entries
	echo $(($(counter 1 "$1") + $(counter 2 "$1") + $(counter 3 "$1")))
}

# Requests and jobs that are refused say why, and are counted.
case_refusals() {
	start_all 3 3
	is "$(code http://127.0.0.11:8000/quote)" 401 "no token"
	is "$(call 1 wrong /quote -o /dev/null -w '%{http_code}')" 401 "token"
	is "$(call 1 members-token /quote -o /dev/null -w '%{http_code}')" 404 \
	    "no route"
	is "$(counter 1 refuse_caller)" 2 "refuse_caller"
	is "$(counter 1 refuse_route)" 1 "refuse_route"
	is "$(code http://127.0.0.11:8001/status)" 401 "operator token"
	"$B/tanagerspool" job submit --team nobody --pool sweeps 2>"$T/err"
	is $? 1 "unknown team"
	grep -q 'no team named nobody' "$T/err" || fail "no reason given"
	"$B/tanagerspool" job submit --team berths --pool sweeps \
	    --cpu-milli 999999 2>"$T/err"
	grep -q 'larger than' "$T/err" ||
	    fail "no reason for a job larger than a worker"
}

# Malformed input on each port is counted and does not stop the service.
case_bad_input() {
	start_all 3 3
	printf 'GET / HTTP/1.1\r\nBad Header\r\n\r\n' |
	    timeout 2 curl -s telnet://127.0.0.11:8000 >/dev/null
	head -c 5000000 /dev/zero |
	    call 1 agents-token /quote -o /dev/null --data-binary @- >/dev/null
	head -c 100000 /dev/urandom |
	    timeout 2 curl -s telnet://127.0.0.11:8002 >/dev/null
	printf '\000\000\000\003\012\377\377' |
	    timeout 2 curl -s telnet://127.0.0.11:8002 >/dev/null
	wait_for 5 test "$(counter 1 bad_input)" -ge 1 || fail "bad_input"
	wait_for 5 test "$(counter 1 http_bad)" -ge 1 || fail "http_bad"
	is "$(code -H 'Authorization: Bearer op-token' -d '{"x"' \
	    http://127.0.0.11:8001/v1/jobs)" 400 "bad json"
	is "$(code -H 'Authorization: Bearer op-token' \
	    -d '{"team":5}' http://127.0.0.11:8001/v1/jobs)" 400 "bad field"
	is "$(quote 1)" 200 "still serves"
}

# A key repeated at other entries takes effect once.
case_idempotency_keys() {
	start_all 3 3
	for e in 1 2 3; do
		call $e agents-token /book -H 'Idempotency-Key: k1' -d '{}' \
		    >"$T/b$e"
	done
	is "$(effects_of <"$T/b1")" 1 "first"
	grep -q refuse_duplicate "$T/b2" || fail "second was not refused"
	for w in 1 2 3; do curl -s "http://127.0.0.2$w:8200/report"; done |
	    grep -o '"k1": *[0-9]*' >"$T/effects"
	is "$(cat "$T/effects")" '"k1":1' "effects"
}

# The others take over the groups of a killed entry; its task runs on.
case_entry_killed() {
	start_all 3 3
	id=$("$B/tanagerspool" job submit --team berths --pool sweeps \
	    --run-ms 6000)
	wait_for 10 started || fail "job does not start"
	kill -KILL "$(pid_of e1)"
	for e in 2 3; do
		wait_for 2 quote_ok $e || fail "e$e does not serve"
	done
	wait_for 10 all_owned 3 3 || fail "groups are not taken over"
	wait_for 20 job_is "$id" done || fail "job is $(job_state "$id")"
	"$B/tanagerspool" job status "$id" | grep -q 'attempt 1' ||
	    fail "the job was run again"
	start_entry 1
	wait_for 10 ready 1 || fail "e1 does not come back"
}

# Nobody takes over from a paused entry, which may resume at any time.
case_entry_paused() {
	start_all 3 3
	# The first entry to start may own all groups until it releases some.
	for e in 2 3; do
		wait_for 10 owns_worker $e || fail "e$e owns no worker"
	done
	wait_for 10 all_owned 3 3 || fail "groups are not owned"
	kill -STOP "$(pid_of e1)"
	sleep 2
	for e in 2 3; do
		wait_for 5 quote_ok $e || fail "e$e does not serve"
	done
	is "$(counter 2 takeovers)" 0 "takeovers from a paused owner"
	kill -CONT "$(pid_of e1)"
	wait_for 10 all_owned 3 3 || fail "groups are not owned again"
	wait_for 5 quote_ok 1 || fail "e1 does not serve"
}

# SIGTERM: no new requests, those in progress are answered, groups handed over.
case_graceful_stop() {
	start_all 3 3
	for i in 1 2 3 4 5 6; do
		call 1 agents-token "/quote?ms=1500" -o "$T/q$i" \
		    -w '%{http_code}' >"$T/c$i" &
		echo $! >"$T/a$i"
	done
	sleep 0.3
	kill -TERM "$(pid_of e1)"
	sleep 0.2
	is "$(code http://127.0.0.11:8001/readyz)" 503 "readyz"
	wait "$(pid_of e1)" || fail "exit code"
	for i in 1 2 3 4 5 6; do
		wait "$(cat "$T/a$i")"
		is "$(cat "$T/c$i")" 200 "request $i"
	done
	wait_for 10 all_owned 3 3 || fail "groups are not handed over"
}

# Without the store, requests go on, but for those with an idempotency key.
case_store_down() {
	start_all 3 3
	id=$("$B/tanagerspool" job submit --team berths --pool sweeps \
	    --run-ms 1000)
	wait_for 10 started || fail "job does not start"
	set_store_fault '{"down":true}'
	wait_for 10 sh -c '[ $(curl -s http://127.0.0.11:8001/metrics |
	    awk "\$1 == \"tanagerspool_read_failed_total\" { print \$2 }") \
	    -gt 2 ]' || fail "failed reads are not counted"
	is "$(quote 1)" 200 "quotes go on"
	call 1 agents-token /book -H 'Idempotency-Key: k2' -d '{}' -D "$T/h" \
	    >"$T/b"
	grep -q refuse_store "$T/b" || fail "keyed booking: $(cat "$T/b")"
	grep -qi '^retry-after:' "$T/h" || fail "no Retry-After"
	grep -qi '^x-outcome: not-run' "$T/h" || fail "no outcome"
	sleep 2
	set_store_fault '{}'
	wait_for 10 job_is "$id" done || fail "job is $(job_state "$id")"
	wait_for 10 sh -c "curl -s -H 'Authorization: Bearer agents-token' \
	    -H 'Idempotency-Key: k2' -d '{}' http://127.0.0.11:8000/book |
	    grep -q '\"times\":1'" || fail "booking after the outage"
}

# Commits whose answer the store loses are resolved by reading back.
case_lost_answers() {
	start_all 3 3
	set_store_fault '{"lose":2}'
	id=$("$B/tanagerspool" job submit --team berths --pool sweeps \
	    --run-ms 300)
	wait_for 20 job_is "$id" done || fail "job is $(job_state "$id")"
	set_store_fault '{"lose":1}'
	v=$("$B/tanagerspool" zone out bilbao | awk '{ print $2 }')
	is "$(version)" "$v" "version in force"
	grep -A1 'zone bilbao' "$T/p" | grep -q out || fail "zone is not out"
}

# Of two edits of the same version of the tables, one is refused.
case_concurrent_puts() {
	start_all 3 3
	version >/dev/null
	cp "$T/p" "$T/p2"
	sed 's/slots=8/slots=6/' "$T/p" >"$T/p1"
	sed 's/slots=8/slots=7/' "$T/p" >"$T/p2"
	"$B/tanagerspool" table put "$T/r" "$T/p1" >/dev/null
	is $? 0 "first put"
	"$B/tanagerspool" table put "$T/r" "$T/p2" 2>"$T/err"
	is $? 3 "second put"
	grep -q 'but version [0-9]* is current' "$T/err" ||
	    fail "the conflict is not explained"
	"$B/tanagerspool" table diff "$T/r" "$T/p2" >"$T/diff"
	grep -q 'slots=7' "$T/diff" || fail "diff"
}

# A zone that is out gets no requests; a task that ran there still completes.
case_zone_out() {
	start_all 3 3
	id=$("$B/tanagerspool" job submit --team berths --pool sweeps \
	    --run-ms 5000 --cpu-milli 1000)
	wait_for 10 started || fail "job does not start"
	v=$("$B/tanagerspool" zone out bilbao | awk '{ print $2 }')
	for e in 1 2 3; do
		wait_for 4 conf_version_is $e "$v" ||
		    fail "e$e has not adopted the tables"
	done
	sleep 0.2
	for i in 1 2 3 4; do
		call 1 agents-token /quote | grep -q '"worker":"w2"' ||
		    fail "a quote is served in bilbao"
	done
	wait_for 30 job_is "$id" done || fail "job is $(job_state "$id")"
	"$B/tanagerspool" zone in bilbao >/dev/null
	wait_for 10 all_owned 3 3 || fail "groups of bilbao are not owned again"
}

# Wrong flags and variables: exit code 2 and one line that names them.
case_settings() {
	while IFS='|' read -r flags want; do
		# shellcheck disable=SC2086
		"$B/tanagerspool" $flags >"$T/out" 2>"$T/err"
		is $? 2 "$flags"
		is "$(wc -l <"$T/err")" 1 "lines for $flags"
		grep -q -- "$want" "$T/err" ||
		    fail "$flags: $(cat "$T/err")"
	done <<-'END'
		nosuch|no command 'nosuch'
		entry --name x|--zone or TANAGERSPOOL_ZONE must be given
		entry --name x --zone z --ip 127.0.0.1 --port 0|--port: '0' is not a whole number from 1 to 65535
		entry --name x --zone z --ip 127.0.0.1 --log-level LOUD|--log-level: 'LOUD' is not one of
		entry --nosuch|Unknown option --nosuch
		table check nofile nofile|nofile
		zone sideways bilbao|usage:
		job status|usage:
		job submit --tasks 99|--tasks: '99' is not a whole number from 1 to 60
	END
	TANAGERSPOOL_SYNC_MS=abc "$B/tanagerspool" entry --name x --zone z \
	    --ip 127.0.0.1 2>"$T/err"
	grep -q 'TANAGERSPOOL_SYNC_MS: .abc. is not' "$T/err" ||
	    fail "$(cat "$T/err")"
	for cmd in entry table zone job status; do
		"$B/tanagerspool" $cmd --help | grep -q 'Usage:' ||
		    fail "$cmd --help"
	done
}

[ $# -gt 0 ] || set -- refusals bad_input idempotency_keys entry_killed \
    entry_paused graceful_stop store_down lost_answers concurrent_puts \
    zone_out settings
for c in "$@"; do
	bad=0
	case_$c
	stop_all
	if [ $bad = 0 ]; then
		passed=$((passed + 1))
		echo "ok   $c"
	else
		failed=$((failed + 1))
		echo "FAIL $c"
		tail -n 12 "$T"/e?.out "$T"/e?.log
	fi
	rm -f "$T"/*.log "$T"/e?.out
done
echo "processes: $passed passed, $failed failed"
[ $failed = 0 ]
