# What the scripts of review/11 to review/14 share.  HERE is the folder of the
# case.  Everything is at loopback addresses 127.A.B.x, with A and B from the
# process id, so that runs don't meet.
N3=127.$((64 + $$ / 250 % 150)).$(($$ % 250 + 1))
STORE_IP=$N3.1 STORE_PORT=8169 ADVICE_IP=$N3.2
REC=$HERE/record.txt
PIDS=
cd "$HERE/../.." || exit 2
for p in tanagerspool store3 worker3 client3; do
	[ -x "target/$p" ] || { echo "target/$p is not built" >&2; exit 2; }
done
T=$(mktemp -d) || exit 2
: >"$REC"
now() { date +%s%3N; }
say() { echo "$(now) $*" >>"$REC"; }
cleanup() {
	for p in $PIDS; do
		kill -CONT "$p" 2>/dev/null
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -z "${KEEP:-}" ] || cp -r "$T" "$KEEP"
	rm -rf "$T"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
start() { # NAME COMMAND...: sets PID
	_n=$1
	shift
	"$@" >"$T/$_n.out" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
	echo "$PID" >"$T/$_n.pid"
}
pid_of() { cat "$T/$1.pid"; }
start_store() { # DECISION-MS PER-ITEM-MS VALID-MS: of the advice, at its own address
	start store target/store3 "$STORE_IP" $STORE_PORT "$REC" "$1" "$2" "$3"
	start advice target/store3 "$ADVICE_IP" $STORE_PORT "$REC" "$1" "$2" "$3"
}
start_worker() { # N [LABEL [CPU [ID]]]
	start "w$1" target/worker3 "${4:-i-$1}" "$N3.$((10 + $1))" 8080 \
	    "$STORE_IP" $STORE_PORT "${2:-a}" "r1-$(($1 / 8 + 1))" \
	    "${3:-16000}" 64000 "$REC"
}
# The line "run" of deploy/system.toml, with the settings of a small deployment.
start_entry() { # N
	start "e$1" target/tanagerspool serve --name "front-z-$1" --zone z \
	    --ip "$N3.$((200 + $1))" --front "$N3.$((200 + $1)):8161" \
	    --ready "$N3.$((200 + $1)):8167" --store "$STORE_IP:$STORE_PORT" \
	    "--advice=$ADVICE_IP:$STORE_PORT" --peer-port 7720 \
	    --max-hold-ms 6000 --keep-ended-s 120 --grace-s 6 --drain-ms 2000 \
	    --config-ms 2000 --cpu-share 0.25 --link-mbps 1000.0 \
	    --memory-mb 260 --max-fds 4100
}
put_config() { # JSON of the manifest
	target/client3 "$STORE_IP" $STORE_PORT POST store \
	    '/x/put?table=op&key=config' "$1" >/dev/null
}
# A call to entry N: prints the status and the body, and records them.
call() { # N METHOD PATH [BODY]
	_a=$(target/client3 "$N3.$((200 + $1))" 8161 "$2" h.example "$3" "${4:-}")
	say "call entry=$1 $2 $3 -> $_a"
	echo "$_a"
}
status() { call "$@" | cut -d' ' -f1; }
state() { call "$1" GET "$2" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'; }
wait_ready() { # N...
	for _e in "$@"; do
		_i=0
		until [ "$(target/client3 "$N3.$((200 + _e))" 8167 GET x \
		    /-/ready '' 500 | cut -c1-3)" = 200 ]; do
			_i=$((_i + 1))
			[ $_i -lt 60 ] || { echo "entry $_e is not ready" >&2; exit 2; }
			sleep 0.1
		done
	done
}
# How often the record has a line that matches.
count() { grep -c "$1" "$REC"; }
# The script could not run if one of these processes has ended.
need_alive() { # NAME...
	for _e in "$@"; do
		kill -0 "$(pid_of "$_e")" 2>/dev/null && continue
		say "process $_e has ended"
		echo "process $_e has ended" >&2
		exit 2
	done
}
# Looks at accepted jobs 14 s (finish_s) after the end of the traffic and 4 s later, which
# is more than the 3 s of the rule.  Sets WAIT to how many were pending both times and
# have had no start at all.
look_at_jobs() { # ID...
	say "end of the traffic"
	sleep 14
	say "14 s after the end of the traffic"
	for _id in "$@"; do
		state 1 "/q/$_id" >"$T/state.$_id"
	done
	sleep 4
	WAIT=0
	for _id in "$@"; do
		_s=$(state 1 "/q/$_id")
		_m=$(count " start $_id")
		_f=$(cat "$T/state.$_id")
		say "job $_id state=$_f,$_s starts=$_m"
		echo "job $_id state=$_f,$_s starts=$_m"
		[ -n "$_s" ] || exit 2
		[ "$_f,$_s,$_m" = pending,pending,0 ] && WAIT=$((WAIT + 1))
	done
}
