# A small deployment on loopback for the scripts of cases 6 to 10; sourced by them, in
# the repository's root.  HERE is the folder of the case.
#
# The programs of the deploy file run with its flags, and with the bounds and limits of
# the site cfe-spool.  All addresses are of a net of 127.0.0.0/8 that depends on the
# process id, so that the ports are free.
set -u
BIN=target/review-2
RECORD=$HERE/record.txt
T=$(mktemp -d)
export GANG_DIR=$T/gang # where the members of gangs meet
mkdir "$GANG_DIR"
FINISH_S=14 # finish_s of the site
NET=127.$((64 + $$ % 128)).$(($$ / 128 % 250))
STORE=$NET.1:8100
PIDS=
TROUBLE=${TROUBLE:-1}
ATTEMPTS=${ATTEMPTS:-4} # max_attempts of the queue
: >"$RECORD"

[ -x target/tanagerspool ] && [ -x $BIN/store ] && [ -x $BIN/worker ] &&
    [ -x $BIN/call ] || {
	echo "build first: the deploy file's build, and review/build-2.sh"
	exit 2
}

now() { date +%s%3N; }
note() { echo "$(now) script $*" | tee -a "$RECORD"; }
quit() { exit "$1"; }

# Ends all that was started here, by its id.
finish() {
	kill -CONT $PIDS 2>/dev/null
	kill -KILL $PIDS 2>/dev/null
	wait 2>/dev/null
	rm -rf "$T"
}
trap finish EXIT
trap 'exit 2' INT TERM

# start NAME COMMAND...: runs it in the background.
start() {
	_n=$1; shift
	"$@" >>"$T/$_n.log" 2>&1 &
	echo $! >"$T/$_n.pid"
	PIDS="$PIDS $!"
}
pid_of() { cat "$T/$1.pid"; }

start_store() { start store $BIN/store $STORE; }

# start_worker N [LABEL...]: worker wN, of 64 cores.
start_worker() {
	_w=$1; shift
	start "w$_w" $BIN/worker "w$_w" "$NET.$((100 + _w)):8200" $STORE \
	    "$RECORD" 64000 256000 a "r1-$_w" "$@"
}

# start_entry N: the run line of the deploy file.
start_entry() {
	start "e$1" target/tanagerspool serve --name "e$1" --zone za \
	    --ip "$NET.$((10 + $1))" --front "$NET.$((10 + $1)):8161" \
	    --ready "$NET.$((10 + $1)):8167" --store ${ENTRY_STORE:-$STORE} --advice="${ADVICE:-}" \
	    --peer-port 7720 --max-hold-ms 6000 --keep-ended-s 120 \
	    --grace-s 6 --drain-ms 2000 --config-ms 2000 --cpu-share 0.25 \
	    --link-mbps 1000 --memory-mb 260 --max-fds 4100
}
entry() { echo "$NET.$((10 + $1)):8161"; }
ready() { $BIN/call "$NET.$((10 + $1)):8167" GET /-/ready | grep -q '^200'; }

# put_row TABLE KEY TEXT: as the operator.
put_row() {
	_v=$(printf %s "$3" | base64 -w 0)
	$BIN/call $STORE POST /-/rows-tx platform \
	    "{\"precondition\":[],\"puts\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$_v\"}],\"remove\":[]}" >/dev/null
}
# put_config VERSION [ROUTE]: the manifest, with one more route.
put_config() {
	put_row op config '{"version":'"$1"',"routes":[{"name":"r-1","host":"work.example","prefix":"/q/","kind":"unsafe","timeout_ms":3000,"target_duration_ms":1000,"priority":0,"service":"work","max_attempts":'"$ATTEMPTS"',"stretch":2.0}'"${2:+,$2}"'],"services":[{"name":"work","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"rejects_overload":true,"headroom":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
}

# wait_for SECONDS COMMAND...: until the command succeeds; 1: it did not.
wait_for() {
	_end=$(($(now) + $1 * 1000)); shift
	until "$@" >/dev/null 2>&1; do
		[ "$(now)" -lt $_end ] || return 1
		sleep 0.05
	done
}

# start_all ENTRIES WORKERS
start_all() {
	start_store
	wait_for 5 $BIN/call $STORE GET '/-/rows-get?table=op&part=' || quit 2
	put_config 7 "${ROUTE:-}"
	for _i in $(seq 1 "$2"); do start_worker "$_i"; done
	for _i in $(seq 1 "$1"); do start_entry "$_i"; done
	for _i in $(seq 1 "$1"); do
		wait_for 15 ready "$_i" || { note "entry $_i is not ready"; quit 2; }
	done
	wait_for 10 owner || quit 2
	sleep 2
}
# The entry that claimed the cell last.
owner() {
	cat "$T"/e*.log | grep -a ' name=cell_owned ' | grep -q . || return 1
	for _f in "$T"/e*.log; do
		grep -a ' name=cell_owned ' "$_f" | tail -n 1 |
		    sed "s|^\([^ ]*\).*|\1 $(basename "$_f" .log)|"
	done | sort | tail -n 1 | sed 's/.* e//'
}

# call ENTRY METHOD PATH [BODY [TIMEOUT_MS]]: prints the status and the body, and notes them.
call() {
	_a=$($BIN/call "$(entry "$1")" "$2" "$3" work.example "${4:-}" "${5:-3000}")
	echo "$(now) client e$1 $2 $3 ${4:-} -> $_a" >>"$RECORD"
	echo "$_a"
}
# state ENTRY ID: the state that a GET shows, or the status.
state() {
	call "$1" GET "/q/$2" | sed 's/^200 .*"state":"\([a-z]*\)".*/\1/'
}

# Of the record: the worker on which the N-th start of a task was; nothing: not yet.
start_of() { # TASK N
	grep " start $1 run " "$RECORD" | sed -n "$2p" | cut -d' ' -f3
}
has_start() { [ -n "$(start_of "$1" "$2")" ]; }
