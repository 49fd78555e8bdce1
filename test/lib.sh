# Starts and stops a small deployment on loopback: stand-ins of the platform
# and of workers, and entries.  Sourced by the test scripts and bench.sh, which
# set B, the build folder.  T is a temporary folder with logs and process ids.
set -u
T=$(mktemp -d)
PIDS=
PLATFORM=http://127.0.0.1:8100
export TANAGERSPOOL_PLATFORM=$PLATFORM
export TANAGERSPOOL_PEER_KEY=peer-key TANAGERSPOOL_OPERATOR_TOKEN=op-token
export TANAGERSPOOL_ENTRY=http://127.0.0.11:8001
export no_proxy='*'

print_heading() { echo "== $*"; }
die() { echo "FAIL: $*" >&2; exit 1; }

# wait_for SECONDS COMMAND...: waits until the command succeeds.
wait_for() {
	_left=$(($1 * 20)); shift
	while ! "$@" >/dev/null 2>&1; do
		_left=$((_left - 1))
		[ $_left -gt 0 ] || { echo "gave up waiting: $*" >&2; return 1; }
		sleep 0.05
	done
}

# vm_list ENTRIES WORKERS [LEAVING]: the list of VMs as JSON.
vm_list() {
	echo '{"vms":['
	for i in $(seq 1 "$1"); do
		echo "{\"name\":\"e$i\",\"kind\":\"entry\",\"zone\":\"bilbao\",\"rack\":\"\",\"ip\":\"127.0.0.1$i\",\"port\":8002,\"incarnation\":1,\"leaving\":false,\"cpu_milli\":0,\"mem_bytes\":0,\"accel\":0},"
	done
	_s=
	for i in $(seq 1 "$2"); do
		_z=bilbao; [ $((i % 2)) = 0 ] && _z=logrono
		_l=false; [ "${3:-}" = "w$i" ] && _l=true
		echo "$_s{\"name\":\"w$i\",\"kind\":\"worker\",\"zone\":\"$_z\",\"rack\":\"$_z.r$i\",\"ip\":\"127.0.0.2$i\",\"port\":8200,\"incarnation\":1,\"leaving\":$_l,\"cpu_milli\":16000,\"mem_bytes\":64000000000,\"accel\":0}"
		_s=,
	done
	echo ']}'
}

# pid_of NAME: the process id of what start() started under that name.
pid_of() { cat "$T/$1.pid"; }

start() {	# NAME COMMAND...: runs it in the background
	_name=$1; shift
	"$@" >"$T/$_name.out" 2>"$T/$_name.log" &
	echo $! >"$T/$_name.pid"
	PIDS="$PIDS $!"
}

start_entry() {	# N [FLAGS]
	_i=$1; shift
	start "e$_i" "$B/tanagerspool" entry --name "e$_i" --zone bilbao \
	    --ip "127.0.0.1$_i" "$@"
}

start_worker() {	# N
	start "w$1" "$B/standin-worker" "w$1" "127.0.0.2$1" 8200 \
	    quotes:9001:2 bookings:9002:5 leave:9003:5
}

ready() { curl -sf "http://127.0.0.1$1:8001/readyz"; }
# counter ENTRY NAME: the value of the entry's metric tanagerspool_NAME_total.
counter() { curl -s "http://127.0.0.1$1:8001/metrics" |
    awk -v n="tanagerspool_$2_total" '$1 == n { print $2 }'; }
# owned ENTRY: the number of workers that answer to the entry, their owner.
owned() {
	TANAGERSPOOL_ENTRY=http://127.0.0.1$1:8001 \
	    "$B/tanagerspool" status 2>/dev/null | grep -c '^w[0-9].* ok '
}
# all_owned ENTRIES WORKERS: every worker answers to the owner of its group.
all_owned() {
	_n=0
	for _i in $(seq 1 "$1"); do
		_n=$((_n + $(owned "$_i")))
	done
	[ $_n -eq "$2" ]
}

# start_all ENTRIES WORKERS: starts them, and waits until they serve.
start_all() {
	vm_list "$1" "$2" >"$T/vms.json"
	start platform "$B/standin-platform" 127.0.0.1 8100 "$T/vms.json"
	wait_for 10 curl -sf $PLATFORM/v1/stats || die "no platform"
	for i in $(seq 1 "$2"); do start_worker "$i"; done
	"$B/tanagerspool" table put --version 0 example/run/routes.conf \
	    example/run/pools.conf >"$T/put.out" || die "table put"
	for i in $(seq 1 "$1"); do start_entry "$i"; done
	for i in $(seq 1 "$1"); do
		wait_for 10 ready "$i" || die "entry $i is not ready"
	done
	wait_for 20 all_owned "$1" "$2" || die "groups are not owned"
}

# Stops the processes started here, by their ids: entries first, because they
# release their groups in the store.
stop_all() {
	for _f in "$T"/e?.pid; do
		[ -f "$_f" ] || continue
		kill -CONT "$(cat "$_f")" 2>/dev/null
		kill "$(cat "$_f")" 2>/dev/null
	done
	for _f in "$T"/e?.pid; do
		[ -f "$_f" ] && wait "$(cat "$_f")" 2>/dev/null
	done
	for _p in $PIDS; do kill "$_p" 2>/dev/null; done
	for _p in $PIDS; do wait "$_p" 2>/dev/null; done
	PIDS=
	rm -f "$T"/*.pid
}
trap 'stop_all; rm -rf "$T"' EXIT

call() {	# ENTRY TOKEN PATH [CURL FLAGS]
	_e=$1; _t=$2; _p=$3; shift 3
	curl -s -H "Authorization: Bearer $_t" "$@" \
	    "http://127.0.0.1$_e:8000$_p"
}
job_state() { "$B/tanagerspool" job status "$1" | awk '{ print $2 }'; }
job_is() { [ "$(job_state "$1")" = "$2" ]; }
# set_store_fault JSON: {"down":true}, {"lose":N} or {} for none.
set_store_fault() { curl -s -d "$1" $PLATFORM/v1/switch >/dev/null; }
