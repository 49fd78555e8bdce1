#!/bin/sh
# Process tests of "tanagerspool serve" with entries of another writer among those
# of the workers: the entries of the cell keep running, follow the list, and
# start nothing on workers that only such an entry names.
# usage: odd_entries.sh BUILD-FOLDER
B=$1
. test/lib.sh
trap 'kill -9 $PIDS 2>/dev/null; rm -rf "$T"' EXIT
passed=0 failed=0
STORE=127.0.0.1:8420 # its workers: i-1 and i-2, at the next ports
OTHER=8430	     # a list that is not read; its workers: i-1 to i-6
TASK='{"spec":"x","steps":[{"count":6,"cpu":16000,"mem_mb":10,"estimate_ms":300}]}'

check() { # NAME GOT WANT
	if [ "$2" = "$3" ]; then
		passed=$((passed + 1)); echo "ok   odd_entries: $1"
	else
		failed=$((failed + 1))
		echo "FAIL odd_entries: $1: got '$2', want '$3'"
	fi
}
start_serve() { # N
	start "s$1" "$B/tanagerspool" serve --name "s$1" --zone z \
	    --ip "127.0.0.7$1" --front "127.0.0.7$1:8000" \
	    --ready "127.0.0.7$1:8001" --store $STORE --advice=
}
ready() { curl -sf -m 5 "http://127.0.0.7$1:8001/-/ready"; }
job_state() { # N ID
	curl -s -m 5 -H 'Host: h.example' "http://127.0.0.7$1:8000/q/$2" |
	    sed 's/.*"state":"\([a-z]*\)".*/\1/'
}
is_state() { [ "$(job_state "$1" "$2")" = "$3" ]; }
# submit N ID: a job of six tasks, each as large as a worker.
submit() { curl -s -m 5 -o /dev/null -H 'Host: h.example' -d "$TASK" \
    "http://127.0.0.7$1:8000/q/$2"; }
completes() { # NAME N ID: the job is accepted and completes
	submit "$2" "$3"
	wait_for 10 is_state "$2" "$3" completed
	check "$1" "$(job_state "$2" "$3")" completed
}
put() { # KEY FILE: writes an entry; KEY as in JSON text
	printf '{"puts":[{"table":"servers","part":"","key":"%s","value":"%s"}]}' \
	    "$1" "$(base64 -w 0 "$2")" >"$T/put"
	curl -s -m 5 -o "$T/put.out" --data-binary "@$T/put" "http://$STORE/-/rows-tx"
}
# born STORE WORKER: the start time that a worker gives of itself; no task starts by an
# entry with another one.
born() {
	curl -s -m 5 "http://127.0.0.1:$1/-/rows-get?table=servers&part=&from=$2&limit=1" |
	    sed 's/^{"rows":\[{[^}]*"value":"\([^"]*\)".*/\1/' | base64 -d |
	    sed 's/.*"born":\([0-9]*\).*/\1/'
}
# entry ADDRESS BORN [MORE]: an entry; MORE stands before its other fields.
entry() {
	printf '{%s"service":"s","address":"%s","zone":"z","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":64000,"gpu":0},"labels":["a","r1-1"],"born":%s,"sequence":1}' \
	    "${3:-}" "$1" "$2"
}
put_entry() { # KEY ADDRESS BORN [MORE]
	entry "$2" "$3" "${4:-}" >"$T/entry"
	put "$1" "$T/entry"
}
put_text() { printf '%s' "$2" >"$T/entry"; put "$1" "$T/entry"; }
fill() { head -c "$1" /dev/zero | tr '\0' "$2"; }
alive() { # prints the entries of the cell whose processes run
	for n in 1 2; do kill -0 "$(pid_of s$n)" 2>/dev/null && printf '%s' $n; done
}
owner() { grep -l name=cell_owned "$T"/s[12].out | tail -n 1 |
    sed 's/.*s\([12]\).out/\1/'; }
starts() { # STANDIN WORKER: number of runs started there; the first is worker 0
	grep -c "^start .* on $2 " "$T/$1.out"
}
new_starts() { # STANDIN WORKER BEFORE
	[ "$(starts "$1" "$2")" -gt "$3" ]
}
logged() { # PATTERN: lines of the bad_row event with it
	cat "$T"/s[12].out | grep name=bad_row | grep -c -- "$1"
}
is_logged() { [ "$(logged "$1")" -gt 0 ]; }

start store "$B/standin-users" 8420 2
start other "$B/standin-users" $OTHER 6
start_serve 1
start_serve 2
wait_for 10 ready 1 && wait_for 10 ready 2 || die "not ready"
BORN=$(born $OTHER i-6)
BORN_2=$(born 8420 i-2)
completes before 1 00000000000000a1

# Of each kind one, most with the address of a worker that would take tasks.
fill 2040 '[' >"$T/open"; fill 2040 ']' >"$T/close"
put_entry i-deep 127.0.0.1:8436 $BORN "\"x\":$(cat "$T/open" "$T/close"),"
put_text i-deeper "$(fill 60000 '[')"
put_text i-1e999 '{"service":"s","state":"ready","capacity":{"cpu":1e999}}'
put_text i-2e64 '{"service":"s","state":"ready","capacity":{"cpu":18446744073709551616}}'
put_text i-bytes "$(printf '\377\376{')"
put_text i-nothing ''
put_text i-list '[]'
put_entry i-far 127.0.0.1:8436 9007199254740993
# These would be other ports of this machine, cut to 16 bits or at a letter.
put_entry i-1 127.0.0.1:$((OTHER + 1 + 65536)) "$(born $OTHER i-1)"
put_entry i-3 127.0.0.1:$((OTHER + 3 + 65536)) "$(born $OTHER i-3)"
put_entry i-4 127.0.0.1:$((OTHER + 4 - 65536)) "$(born $OTHER i-4)"
put_entry i-5 "127.0.0.1:$((OTHER + 5))x" "$(born $OTHER i-5)"
put_entry i-big 127.0.0.1:99999999999 $BORN
put_entry i-host localhost:8436 $BORN
put_entry i-v6 '[::1]:8436' $BORN
put_entry 'i-6\r\nX: y' 127.0.0.1:8436 $BORN
put_entry 'i-2 x' 127.0.0.1:8436 $((BORN + 86400000))
completes among_odd 2 00000000000000a2
completes among_odd_again 1 00000000000000a3
check both_run "$(alive)" 12
check nothing_at_cut_ports "$(grep -c ^start "$T/other.out")" 0

# A worker that is added later is used; its entry is the first that is new.
put_entry i-6 127.0.0.1:$((OTHER + 6)) $BORN
completes added 1 00000000000000a4
check added_used "$([ "$(starts other 5)" -gt 0 ] && echo yes)" yes

# An odd entry in the place of a good one: no new run there, and what runs there
# ends in its own time.
submit 1 00000000000000a5
wait_for 5 grep -q "^start 00000000000000a5" "$T/store.out"
put_text i-2 '{"state":"odd"}'
wait_for 5 is_logged 'key=i-2 why'
sleep 0.3
before=$(starts store 1)
wait_for 10 is_state 1 00000000000000a5 completed
completes replaced 2 00000000000000a6
check replaced_not_used "$(($(starts store 1) - before))" 0
check replaced_none_lost \
    "$(grep -c '^\(lapsed\|stopped\|lost\)' "$T/store.out")" 0
check replaced_logged "$(logged 'key=i-2 why')" 1
# The same again is not logged again, also with another number of the writer's.
for i in 1 2 3 4; do put_text i-2 "{\"sequence\":$i}"; sleep 0.2; done
put_text i-2 '{"state":"odd"}'
sleep 0.2
put_text i-2 '[]'
sleep 0.5
check logged_if_changed "$(logged 'key=i-2 why')" 2
put_entry i-2 127.0.0.1:8422 $BORN_2
submit 1 00000000000000a7
wait_for 5 new_starts store 1 "$before"
check restored_used "$([ "$(starts store 1)" -gt "$before" ] && echo yes)" yes
wait_for 10 is_state 1 00000000000000a7 completed

# A start that lies far ahead, in the place of a good entry: the worker's own
# time was taken for that of an earlier process ever after.
put_entry i-2 127.0.0.1:8422 9007199254740991
sleep 0.5
put_entry i-2 127.0.0.1:8422 $BORN_2
before=$(starts store 1)
for i in 1 2 3; do completes "far_start_$i" 1 "00000000000000b$i"; done
check far_start_used "$([ "$(starts store 1)" -gt "$before" ] && echo yes)" yes

# An address as long as a row allows, and the longest id: with both in its row of
# workers in use the store refused each write of the owner.
put_text "$(fill 200 i)" "{\"service\":\"s\",\"state\":\"ready\",\"capacity\":{},\"address\":\"127.0.0.1:$(fill 65460 1)\"}"
check long_text_put "$(head -c 10 "$T/put.out")" '{"rows":[]'
sleep 2
completes long_text 1 00000000000000c1
check kept_with_long_text "$(cat "$T"/s[12].out | grep -c name=cell_lost)" 0

# Odd rows among those of the other entries of the cell: no message, a port out of
# range, an address that is none, a strength out of range; then a sound one.
put_peer() { # KEY HEX
	printf '{"puts":[{"table":"entry","part":"e","key":"%s","value":"%s"}]}' \
	    "$1" "$(printf "$2" | base64 -w 0)" >"$T/put"
	curl -s -m 5 -o "$T/put.out" --data-binary "@$T/put" "http://$STORE/-/rows-tx"
}
put_peer p-bytes '\012\177'
put_peer p-port '\012\011127.0.0.9\020\200\200\004'
put_peer p-ip '\012\001x\020\001'
put_peer p-strength '\012\011127.0.0.9\020\001\040\377\377\377\377\007'
put_peer p-sound '\012\011127.0.0.9\020\001'
peers_logged() { [ "$(logged 'table=entries key=p-')" -ge 8 ]; }
wait_for 5 peers_logged || true
check peers_logged "$(logged 'table=entries key=p-')" 8
check peers_sound "$(logged 'key=p-sound')" 0

# The next owner reads the same list.
o=$(owner)
n=$((3 - o))
kill -9 "$(pid_of "s$o")"
completes next_owner "$n" 00000000000000c2
check next_owner_added "$(grep -c name=cell_owned "$T/s$n.out")" 1
check broken "$(cat "$T/store.out" "$T/other.out" | grep -c BROKEN)" 0
echo "odd_entries: $passed passed, $failed failed"
[ $failed = 0 ]
