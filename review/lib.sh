# play CASE FOLDER: starts a deployment of three entries with the command of the
# deploy file, and plays the case beside it.  Sourced by the run.sh of each case.
set -u
cd "$(dirname "$0")/../.."

command_of() { # N: the deploy file's command for entry N
	_zone=ebro-$(echo "$1" | tr 123 abc)
	sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | sed \
	    -e "s/{{node_name}}/front-$_zone-1/" -e "s/{{zone}}/$_zone/" \
	    -e "s/{{ip}}/$NET.1$1/" -e "s/{{listen.front}}/$NET.1$1:$((PORT + 1))/" \
	    -e "s/{{listen.ready}}/$NET.1$1:$((PORT + 2))/" \
	    -e "s/{{platform.address}}/$NET.1:$PORT/" -e 's/{{advice}}//' \
	    -e "s/{{internal_ports.0}}/$((PORT + 3))/" \
	    -e 's/{{bounds.max_hold_ms}}/6000/' -e 's/{{bounds.status_s}}/120/' \
	    -e 's/{{bounds.grace_s}}/6/' -e 's/{{bounds.drain_ms}}/2000/' \
	    -e 's/{{bounds.config_ms}}/2000/' -e 's/{{limits.cpu_share}}/0.25/' \
	    -e 's/{{limits.link_mbps}}/1000.0/' -e 's/{{limits.memory_mb}}/160/' \
	    -e 's/{{limits.max_fds}}/4100/'
}

play() {
	T=$(mktemp -d)
	PIDS=
	trap 'kill -9 $PIDS 2>/dev/null; rm -rf "$T"' EXIT
	trap 'exit 2' INT TERM HUP
	# Addresses and ports of this process alone.
	NET=127.$(($$ % 199 + 20)).$(($$ / 199 % 250 + 1))
	PORT=$(($$ % 5000 + 20000))
	target/review/standin "$1" "${TROUBLE:-1}" "$2/record.txt" "$NET" "$PORT" \
	    >"$T/up" 2>"$T/standin.log" &
	STANDIN=$!
	PIDS=$STANDIN
	i=0
	while [ ! -s "$T/up" ]; do
		i=$((i + 1))
		[ $i -lt 100 ] || { cat "$T/standin.log" >&2; exit 2; }
		sleep 0.1
	done
	for n in 1 2 3; do
		$(command_of $n) >"$T/entry$n.log" 2>&1 &
		PIDS="$PIDS $!"
	done
	wait $STANDIN
	result=$?
	[ $result -le 2 ] || result=2 # the stand-in was ended
	[ -z "${LOGS:-}" ] || cp "$T"/entry?.log "$LOGS"
	exit $result
}
