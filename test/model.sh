#!/bin/sh
# Runs build/model with each line of a list, several at a time.  Fails unless all
# that fail are in KNOWN-RED.txt, as "build/model OPTIONS -- CHECK".
# JOBS: how many at a time, all processors if not set.
# usage: model.sh BUILD-FOLDER [LIST]
set -eu
B=$1
list=${2:-test/model-bounds.txt}
G_SLICE=always-malloc
export G_SLICE
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
grep -v '^#' "$list" >"$out/list"
n=$(grep -c . "$out/list")
seq "$n" | xargs -P "${JOBS:-$(nproc)}" -I{} sh -c \
    "\"$B/model\" \$(sed -n {}p \"$out/list\") >\"$out/{}\" 2>\"$out/{}.err\" &&
	echo >\"$out/{}.ok\" || true"
p=0 f=0 known=0 i=0
while IFS= read -r opts; do
	i=$((i + 1))
	if [ -e "$out/$i.ok" ]; then
		p=$((p + 1))
		continue
	fi
	f=$((f + 1))
	check=$(sed -n 's/^violated: \([^:]*\):.*/\1/p' "$out/$i")
	echo "build/model $opts"
	cat "$out/$i"
	[ -n "$check" ] || tail -n 1 "$out/$i.err"
	if grep -qxF -e "build/model $opts -- $check" KNOWN-RED.txt; then
		echo "known failure: $check (see KNOWN-RED.txt)"
		known=$((known + 1))
	fi
done <"$out/list"
echo "model: $p passed, $f failed"
[ $((p + f)) -eq "$n" ] && [ "$f" = "$known" ]
