#!/bin/sh
# Jobs of a queue with advice never start once several wait for advice.  See claim.txt.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
. "$HERE/../standin3/lib-3.sh"
# 300 ms and 40 ms for each worker named: 1.5 s for a call that names 30.
start_store 300 40 3000
sleep 0.3
put_config '{"version":3,"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"s","priority":0,"max_attempts":4,"stretch":2.0,"target_duration_ms":2500,"timeout_ms":3000,"kind":"unsafe","advice":{"decision_ms":300,"per_item_ms":40,"valid_ms":3000}}],"services":[{"name":"s","health_path":"/health","max_conns":64,"rejects_overload":true,"headroom":false}],"limits":{}}'
i=0
while [ $i -lt 32 ]; do
	i=$((i + 1))
	start_worker $i
done
for i in 1 2 3; do start_entry $i; done
wait_ready 1 2 3
sleep 2
JOB='{"spec":"ticket t=1000 cpu=500 mem=10","steps":[{"count":16,"cpu":500,"mem_mb":10,"estimate_ms":1000}]}'
submit() { [ "$(status "$1" POST "/q/$2" "$JOB")" = 200 ] || exit 2; }
# Usual: a job every 2 s.  The burst: 2.6 times as many for 4 s.
gap=2
[ "$TROUBLE" = 0 ] || gap=0.77
for k in 1 2 3 4 5; do
	submit $((k % 3 + 1)) "00000000000000b$k"
	sleep $gap
done
before=$(count " advice ")
look_at_jobs 00000000000000b1 00000000000000b2 00000000000000b3 \
    00000000000000b4 00000000000000b5
need_alive store advice e1 e2 e3 w1 w2 w3 w16 w32
if [ "$WAIT" -gt 0 ]; then
	# The service for advice has gone on to answer.
	[ "$(count " advice ")" -gt "$before" ] || exit 2
	exit 1
fi
exit 0
