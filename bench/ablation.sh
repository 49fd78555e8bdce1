#!/bin/sh
# What each mechanism of decision is worth on a deployment: builds copies of the
# source with one switched off, and compares each with the source as it is.
# usage: ablation.sh COMPARE SITE.toml [NAME,...]
#	COMPARE: the users' program that plays days on two builds in pairs
#	COMPARE_FLAGS: options for it, such as "-s 101,102 -d quiet-1"
set -eu
compare=$1 site=$2 only=${3:-}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

copy() {	# FOLDER
	mkdir -p "$1/journal"
	cp -r Makefile include state coord sched platform serve proto trans \
	    cmd deploy "$1/"
	git init -q "$1"
}

copy "$dir/whole"
grep -v '^#' bench/ablation.txt | while IFS= read -r line; do
	name=${line%% | *}; rest=${line#* | }
	file=${rest%% | *}; expr=${rest#* | }
	case ",$only," in
	,,|*",$name,"*) ;;
	*) continue ;;
	esac
	copy "$dir/$name"
	sed -i "$expr" "$dir/$name/$file"
	# The first entry changes nothing: it shows the noise.
	if [ "$name" != none ] && cmp -s "$file" "$dir/$name/$file"; then
		echo "FAIL $name: the expression changes nothing"
		continue
	fi
	sed -i 's/ -Werror//' "$dir/$name/Makefile"
	"$compare" ${COMPARE_FLAGS:-} "$site" "$dir/whole" \
	    "$name=$dir/$name" >"$dir/out" 2>&1 || true
	grep 'BROKEN\|no result' "$dir/out" | sort | uniq -c | head -n 3
	grep "^$name  *worth\|^$name  *no play" "$dir/out" ||
	    echo "FAIL $name: $(tail -n 1 "$dir/out")"
	sed -n "/^$name .*to whole/,\$p" "$dir/out" | sed 1d
	# Trials are kept in the journal like all plays.
	cp -rn "$dir/$name/journal/." journal/
	rm -rf "${dir:?}/$name"
done
cp -rn "$dir/whole/journal/." journal/
