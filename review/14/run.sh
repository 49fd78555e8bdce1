#!/bin/sh
# A job that needs advice doesn't start while the lasting tasks of 33 jobs, whose workers
# are lost, are ahead of it.  See claim.txt.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
. "$HERE/../standin3/lib-3.sh"
start_store 100 5 3000
sleep 0.3
R='"host":"h.example","service":"s","max_attempts":4,"stretch":2.0,"target_duration_ms":2500,"timeout_ms":3000,"kind":"unsafe"'
put_config '{"version":3,"routes":[{"name":"p","prefix":"/p/","priority":0,'"$R"'},{"name":"q","prefix":"/q/","priority":0,'"$R"',"advice":{"decision_ms":100,"per_item_ms":5,"valid_ms":3000}}],"services":[{"name":"s","health_path":"/health","max_conns":64,"rejects_overload":true,"headroom":false}],"limits":{}}'
for i in 1 2; do start_worker $i b; done
i=2
while [ $i -lt 15 ]; do
	i=$((i + 1))
	start_worker $i a
done
for i in 1 2 3; do start_entry $i; done
wait_ready 1 2 3
sleep 2
# Lasting jobs of workers of kind b: one task each.
k=0
while [ $k -lt 33 ]; do
	k=$((k + 1))
	[ "$(status $((k % 3 + 1)) POST "/p/00000000000001$(printf %02d $k)" '{"spec":"t=600000 cpu=800","steps":[{"count":1,"cpu":800,"mem_mb":10,"estimate_ms":1000,"requirements":"b","long_running":true}]}')" = 200 ] || exit 2
done
sleep 3
started=$(count ' start 00000000000001')
say "lasting tasks started: $started"
[ "$started" = 33 ] || exit 2
if [ "$TROUBLE" != 0 ]; then
	say "workers 1 and 2 are lost for good"
	kill -9 "$(pid_of w1)" "$(pid_of w2)"
fi
sleep 7
ID=00000000000000c1
[ "$(status 1 POST /q/$ID '{"spec":"ticket t=30000","steps":[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":30000}]}')" = 200 ] || exit 2
look_at_jobs $ID
need_alive store advice e1 e2 e3 w3 w4 w5 w6 w7 w8 w9 w10 w11 w12 w13 w14 w15
[ "$WAIT" -gt 0 ] && exit 1
exit 0
