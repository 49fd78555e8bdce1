#!/bin/sh
# Runs a test command that prints lines "ok ..." or "FAIL NAME: CASE: ...", and
# succeeds if all failures are known, that is listed in KNOWN-RED.txt as
# "NAME: CASE".  Known failures are printed as well.
# usage: red.sh COMMAND [ARG ...]
out=$(mktemp)
"$@" >"$out"
code=$?
cat "$out"
bad=0
# A command that crashed or printed no totals fails, whatever is listed.
if [ $code -gt 1 ] || ! grep -q 'passed, [0-9]* failed$' "$out"; then
	echo "did not run to its end: exit code $code"
	bad=1
fi
while IFS= read -r line; do
	[ -n "$line" ] || continue
	what=$(echo "$line" | sed 's/^FAIL \([^:]*: [^:]*\):.*/\1/')
	if grep -qF "$what" KNOWN-RED.txt; then
		echo "known failure: $what (see KNOWN-RED.txt)"
	else
		bad=1
		echo "new failure: $what"
	fi
done <<END
$(grep '^FAIL' "$out")
END
rm -f "$out"
exit $bad
