#!/bin/sh
# Runs the soak test on every seed that has failed before (regress.txt) and on
# one more.
# usage: soak.sh BUILD-FOLDER [SEED [ENTRIES [SECONDS]]]
B=$1
passed=0 failed=0
out=$(mktemp)
run() { # SEED ENTRIES SECONDS
	if "$B/soak" "$B" "$1" "$2" "$3" >"$out" 2>&1; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		grep -E 'BROKEN|soak:' "$out" | head -n 20
		cp "$out" "$B/soak-$1.log"
	fi
	tail -n 1 "$out"
}
# Lines of regress.txt: seed, entries, seconds, and the fault it found.
while read -r seed entries seconds cause; do
	case $seed in '#'* | '') continue ;; esac
	run "$seed" "$entries" "$seconds"
done <test/soak/regress.txt
run "${2:-1}" "${3:-3}" "${4:-15}"
rm -f "$out"
echo "soak: $passed passed, $failed failed"
[ $failed -eq 0 ]
