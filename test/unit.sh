#!/bin/sh
# Runs the unit tests.  Fails unless all that fail are in KNOWN-RED.txt, as
# "build/unit SUITE/TEST -- WHAT"; those are printed.  A crash always fails.
# usage: unit.sh BUILD-FOLDER
out=$(mktemp)
"$1/unit" >"$out" 2>&1
code=$?
cat "$out"
bad=0
failed=0
while IFS= read -r t; do
	[ -n "$t" ] || continue
	failed=$((failed + 1))
	if grep -qF "build/unit $t -- " KNOWN-RED.txt; then
		echo "known failure: $t (see KNOWN-RED.txt)"
	else
		bad=1
		echo "new failure: $t"
	fi
done <<END
$(sed -n 's/^\[FAIL\] \([a-z_0-9]*\)::\([a-z_0-9]*\):.*/\1\/\2/p' "$out")
END
grep -q "Failing: $failed | Crashing: 0" "$out" || bad=1
[ $code -eq 0 ] || [ $failed -gt 0 ] || bad=1
rm -f "$out"
exit $bad
