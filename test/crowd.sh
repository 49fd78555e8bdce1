#!/bin/sh
# Guards against clients that do not behave ending a process (issue 56): whatever a
# crowd of them sends or keeps open, the process lives, stays within the memory and
# the descriptors of its machine, and then answers an ordinary request.  Both are
# lowered here, so that a small crowd is enough.  Nothing depends on the speed of the
# machine: no times and no shares of served requests are checked.
# With SANITIZED=1 in the environment, for a build with sanitizers, memory is not
# compared: their own is counted with it.
# usage: crowd.sh BUILD-FOLDER [CASE ...]
B=$1; shift
. test/lib.sh
trap 'kill -9 $PIDS 2>/dev/null; rm -rf "$T"' EXIT
trap 'exit 1' INT TERM
# One such test at a time: they share their addresses, and load disturbs them.
exec 9>"${TMPDIR:-/tmp}/tanagerspool-crowd.lock"
flock -w 900 9 || die "another run of this test goes on"
passed=0 failed=0
STORE=127.0.0.1:8440
AT=127.0.0.81	 # the entry of serve; of entry: 127.0.0.11
MEMORY_MB=64	 # of the machine
FDS_MANY=1400	 # descriptors of the machine, where memory is the matter
FDS_FEW=400	 # where descriptors are
FDS_FILES=200	 # of them are reserved for files (the users' platform)
ANSWER_S=30	 # how long an ordinary request is tried again
BODY=262144	 # the longest body of serve
ENTRY_BODY=4194304 # of entry
ENTRY_FRAME=16777216 # the longest frame between entries
JOB='{"spec":"x","steps":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":300}]}'

fail() { why="$why${why:+; }$*"; }
code() { curl -s -m 5 -o /dev/null -w '%{http_code}' "$@"; }
kib_of() { awk -v f="$2:" '$1 == f { print $2 }' "/proc/$1/status"; }
sockets_of() { ls -l "/proc/$1/fd" 2>/dev/null | grep -c 'socket:'; }
lives() { kill -0 "$pid" 2>/dev/null && [ -n "$(kib_of "$pid" VmHWM)" ]; }

# limited COMMAND...: with the lowered limits of the machine, for start().
limited() {
	TANAGERSPOOL_MEMORY_MB=$MEMORY_MB TANAGERSPOOL_MAX_FDS=$fds \
	    start entry sh -c 'ulimit -n "$0"; exec "$@"' "$fds" "$@" 9>&-
	pid=$(pid_of entry)
}

# One entry of serve with a store, or one of entry with a platform and a worker.
start_serve() {
	start store "$B/standin-users" 8440 9>&-
	limited "$B/tanagerspool" serve --name s1 --zone z --ip $AT \
	    --front $AT:8000 --ready $AT:8001 --store $STORE --advice=
	wait_for $ANSWER_S serve_ready || fail "not ready at the start"
}
serve_ready() { [ "$(code http://$AT:8001/-/ready)" = 200 ]; }
serve_answers() {
	[ "$(code -H 'Host: h.example' -d "$JOB" \
	    "http://$AT:8000/q/0000000000000c$n")" = 200 ]
}
start_entry_of() {
	vm_list 1 1 >"$T/vms.json"
	start platform "$B/standin-platform" 127.0.0.1 8100 "$T/vms.json" 9>&-
	wait_for 10 curl -sf $PLATFORM/v1/stats || fail "no platform"
	start_worker 1 9>&-
	"$B/tanagerspool" table put --version 0 example/run/routes.conf \
	    example/run/pools.conf >"$T/put.out"
	limited "$B/tanagerspool" entry --name e1 --zone bilbao --ip 127.0.0.11
	wait_for $ANSWER_S entry_answers || fail "does not answer at the start"
}
entry_answers() {
	[ "$(call 1 agents-token /quote -m 5 -o /dev/null -w '%{http_code}')" = 200 ] &&
	    ready 1
}

# Ends all that a case has started.
end_case() {
	kill -9 $PIDS 2>/dev/null
	wait $PIDS 2>/dev/null
	PIDS=
	rm -f "$T"/*.pid
}

# check_bounds WHEN: the process lives, and is within its machine's limits.
check_bounds() {
	lives || { fail "$1: the process is gone"; return; }
	hwm=$(kib_of "$pid" VmHWM) rss=$(kib_of "$pid" VmRSS)
	[ "$hwm" -lt $((MEMORY_MB * 1024)) ] || [ "${SANITIZED:-}" = 1 ] ||
	    fail "$1: $((hwm / 1024)) MB at most, bound $MEMORY_MB"
	[ "$most" -lt $((fds - FDS_FILES)) ] ||
	    fail "$1: $most sockets, bound $((fds - FDS_FILES))"
	note="$note $1 $((hwm / 1024))/$((rss / 1024)) MB, $most sockets;"
}

# check_answered WHEN: an ordinary request is answered.
check_answered() {
	n=$((n + 1))
	wait_for $ANSWER_S lives_and "$kind"_answers 2>/dev/null ||
	    fail "$1: no ordinary request answered"
	[ $kind = entry ] || wait_for $ANSWER_S serve_ready 2>/dev/null ||
	    fail "$1: not ready"
}
lives_and() { "$@"; }

# Counts the sockets of the process, and keeps the largest number.
count_sockets() {
	_n=$(sockets_of "$pid")
	[ "$_n" -le "$most" ] || most=$_n
}
settled() { count_sockets; grep -q settled "$T/crowd.out"; }
# kept: the connections of the crowd (127.0.9.*) that the process still has; 01 and
# 08 are established and half closed ones (/proc/net/tcp).
kept() {
	awk -v to="$([ $kind = serve ] && echo 51 || echo 0B)00007F:" \
	    'index($2, to) == 1 && $3 ~ /^..09007F:/ && ($4 == "01" || $4 == "08") { n++ }
	    END { print n + 0 }' /proc/net/tcp
}
closed() { [ "$(kept)" = 0 ]; }

# crowd IP PORT FORM COUNT [PATH [BODY-BYTES]]: a crowd, up to where it has settled.
crowd() {
	rm -f "$T/go"; mkfifo "$T/go"
	most=0
	start crowd sh -c 'exec "$@" <"$0"' "$T/go" "$B/crowd" "$@" 9>&-
	exec 8>"$T/go" # the crowd lasts until this is closed
	wait_for 60 settled || fail "the crowd did not settle"
}

# The checks while the crowd is there and after it has gone.
check_crowd() {
	check_answered "beside the crowd"
	count_sockets
	check_bounds "beside the crowd"
	exec 8>&-
	wait "$(pid_of crowd)"
	wait_for $ANSWER_S closed 2>/dev/null ||
	    fail "$(kept) connections are kept after the crowd"
	check_answered "after the crowd"
	check_bounds "after the crowd"
}

# A crowd at a listener of serve or of entry.
serve_crowd() { # FDS PORT FORM COUNT
	kind=serve fds=$1
	start_serve
	crowd $AT "$2" "$3" "$4" /q/ $BODY
	check_crowd
}
entry_crowd() { # FDS PORT FORM COUNT [BODY-BYTES]
	kind=entry fds=$1
	start_entry_of
	crowd 127.0.0.11 "$2" "$3" "$4" /quote "${5:-$ENTRY_BODY}"
	check_crowd
}

# A crowd at serve while its store stands still, for longer than a call to it may.
store_crowd() { # FDS FORM COUNT
	kind=serve fds=$1
	start_serve
	kill -STOP "$(pid_of store)"
	crowd $AT 8000 "$2" "$3" /q/ $BODY
	sleep 4
	kill -CONT "$(pid_of store)"
	check_crowd
}

# The longest legal job alone, with the lowered limits.
calm() {
	kind=serve fds=$FDS_FEW most=0
	start_serve
	{
		printf '{"steps":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":300}],"spec":"'
		printf '%040000d"' 7
		head -c $((BODY - 40072)) /dev/zero | tr '\0' ' '
		echo '}'
	} | head -c $BODY >"$T/body"
	[ "$(wc -c <"$T/body")" = $BODY ] || fail "$(wc -c <"$T/body") bytes of body"
	for calm_n in 1 2 3; do
		got=$(code -H 'Host: h.example' -H 'Expect:' --data-binary "@$T/body" \
		    "http://$AT:8000/q/000000000000ca1$calm_n")
		[ "$got" = 200 ] || fail "call $calm_n: answered $got"
	done
	count_sockets
	check_bounds calm
}
entry_calm() {
	kind=entry fds=$FDS_FEW most=0
	start_entry_of
	head -c $ENTRY_BODY /dev/zero >"$T/body"
	got=$(call 1 agents-token /quote -m 20 -o /dev/null -w '%{http_code}' \
	    -H 'Expect:' --data-binary "@$T/body")
	[ "$got" = 200 ] || fail "answered $got"
	count_sockets
	check_bounds calm
}

# Each case: a name, and its crowd.
cases() {
	cat <<END
calm			calm
entry_calm		entry_calm
one_byte_short		serve_crowd $FDS_MANY 8000 one_byte_short 300
in_pieces		serve_crowd $FDS_MANY 8000 in_pieces 300
chunked			serve_crowd $FDS_MANY 8000 chunked 300
whole			serve_crowd $FDS_MANY 8000 whole 300
held_by_store		store_crowd $FDS_MANY whole 300
nested			serve_crowd $FDS_MANY 8000 nested 300
long_heads		serve_crowd $FDS_MANY 8000 long_heads 900
pipelined		serve_crowd $FDS_MANY 8000 pipelined 100
unread			serve_crowd $FDS_MANY 8000 unread 300
preface			serve_crowd $FDS_MANY 8000 preface 20
upgrade			serve_crowd $FDS_MANY 8000 upgrade 20
idle			serve_crowd $FDS_FEW 8000 idle 600
store_comes_back	store_crowd $FDS_FEW idle 600
mixed			serve_crowd $FDS_MANY 8000 mixed 600
ready_port		serve_crowd $FDS_MANY 8001 one_byte_short 300
ready_idle		serve_crowd $FDS_FEW 8001 idle 600
ready_mixed		serve_crowd $FDS_MANY 8001 mixed 600
metrics_port		serve_crowd $FDS_MANY 9464 one_byte_short 300
metrics_idle		serve_crowd $FDS_FEW 9464 idle 600
metrics_mixed		serve_crowd $FDS_MANY 9464 mixed 600
peer_port		serve_crowd $FDS_MANY 8002 datagrams 300
entry_short		entry_crowd $FDS_MANY 8000 one_byte_short 30
entry_whole		entry_crowd $FDS_MANY 8000 whole 30
entry_preface		entry_crowd $FDS_MANY 8000 preface 20
entry_heads		entry_crowd $FDS_MANY 8000 long_heads 900
entry_idle		entry_crowd $FDS_FEW 8000 idle 600
operators_short		entry_crowd $FDS_MANY 8001 one_byte_short 30
operators_preface	entry_crowd $FDS_MANY 8001 preface 20
operators_idle		entry_crowd $FDS_FEW 8001 idle 600
peer_frames		entry_crowd $FDS_MANY 8002 frames 10 $ENTRY_FRAME
peer_idle		entry_crowd $FDS_FEW 8002 idle 600
END
}

run_case() { # NAME COMMAND...
	_case=$1; shift
	why= note= n=10
	"$@"
	end_case
	if [ -z "$why" ]; then
		passed=$((passed + 1)); echo "ok   crowd: $_case:$note"
	else
		failed=$((failed + 1)); echo "FAIL crowd: $_case: $why"
	fi
}

wanted=" $* "
cases >"$T/cases"
while read -r name command; do
	case $wanted in "  " | *" $name "*) run_case "$name" $command </dev/null ;; esac
done <"$T/cases"
echo "crowd: $passed passed, $failed failed"
[ $failed = 0 ]
