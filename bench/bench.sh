#!/bin/sh
# Compares requests through one entry with requests sent directly to the same
# backend server, one after the other: requests per second of the entry's
# processor time, and the latency that it adds at half of its highest rate.
# usage: bench.sh BUILD-FOLDER [SECONDS]
B=$1 S=${2:-4}
. test/lib.sh
sed 's/^slots=8/slots=256/; s/^conns=64/conns=512/; s/^cpu_milli=250/cpu_milli=10/' \
    example/run/pools.conf >"$T/pools"
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$(pid_of e1)/stat"; }
field() { tr ' ' '\n' <"$1" | awk -v n="$2" 'f { print; exit } $0 == n { f = 1 }'; }

vm_list 1 1 >"$T/vms.json"
start platform "$B/standin-platform" 127.0.0.1 8100 "$T/vms.json"
wait_for 10 curl -sf $PLATFORM/v1/stats || die "no platform"
start w1 "$B/standin-worker" w1 127.0.0.21 8200 quotes:9001:0
"$B/tanagerspool" table put --version 0 example/run/routes.conf "$T/pools" \
    >"$T/put.out" || die "table put"
start_entry 1 --log-level WARN
wait_for 20 all_owned 1 1 || die "groups are not owned"

"$B/loadgen" 127.0.0.11 8000 /quote agents-token 64 0 1 >"$T/warm"
a=$(cpu_ticks)
"$B/loadgen" 127.0.0.11 8000 /quote agents-token 64 0 "$S" >"$T/full"
b=$(cpu_ticks)
hz=$(getconf CLK_TCK)
core=$(awk -v n="$(field "$T/full" ok)" -v t=$((b - a)) -v hz="$hz" \
    'BEGIN { printf "%d", n * hz / t }')
rate=$(($(field "$T/full" per_s) / 2))
"$B/loadgen" 127.0.0.21 9001 /quote x 64 $rate "$S" >"$T/direct"
"$B/loadgen" 127.0.0.11 8000 /quote agents-token 64 $rate "$S" >"$T/half"
echo "entry at full load:     $(cat "$T/full")"
echo "direct at half load:    $(cat "$T/direct")"
echo "entry at half load:     $(cat "$T/half")"
echo "requests per second of the entry's processor time: $core (goal 20000)"
for q in p50 p99; do
	d=$(($(field "$T/half" ${q}_us) - $(field "$T/direct" ${q}_us)))
	echo "added $q: $d us (goal for p99: below 1000)"
done
