#!/bin/sh
# Which sizes of jobs a day served, by queue: reads the logs of all entries, of
# which it takes events 611, 612 and 613 (docs/EVENTS.md).  Counts jobs handed in
# from 0 s on that nobody cancelled; one is served if it ended within three times
# the time that it is allowed.  Lasting tasks have no work and are left out.
# Prints the share served of all, of the largest tenth by work, of the fifth below
# it and of the tenth with the largest tasks.  "*": less than half of the share of
# all, as the users' rule on sizes has it.
# usage: fleetbench run SITE DAY --log all | sizes.sh
set -eu
jobs=$(mktemp)
trap 'rm -f "$jobs"' EXIT

# One line a job: queue, work (core x s), largest task (thousandths of a core),
# and whether it was served.
awk '
function field(name,    at) {
	at = index($0, " " name "=")
	if (at == 0)
		return ""
	at = substr($0, at + length(name) + 2)
	sub(/ .*/, "", at)
	return at
}
/ event=611 / {
	id = field("id")
	if (id in queue)
		next
	queue[id] = field("queue")
	work[id] = field("work") + 0
	largest[id] = field("largest_cpu") + 0
	handed_in_s[id] = $1 - field("age") / 1000
}
/ event=612 / {
	id = field("id")
	if (!(id in served))
		served[id] = field("late") + 0 <= 2 * field("allowed")
}
/ event=613 / { cancelled[field("id")] = 1 }
END {
	for (id in queue)
		if (handed_in_s[id] >= 0 && work[id] > 0 && !(id in cancelled))
			print queue[id], work[id], largest[id], served[id] + 0
}' >"$jobs"

# Share served of the lines FROM to TO, both in hundredths of all lines, of the
# jobs of a queue in the order of a field.
share() {	# QUEUE FIELD FROM TO
	awk -v q="$1" '$1 == q' "$jobs" | sort -k "$2,$2nr" -k 2,2nr |
	    awk -v from="$3" -v to="$4" '
	{ line[NR] = $4 }
	END {
		for (i = 1; i <= NR; i++)
			if (i * 100 > from * NR && i * 100 <= to * NR) {
				n++
				served += line[i]
			}
		printf "%.3f", (n > 0) ? served / n : 0
	}'
}

printf '%-16s %5s %6s %6s %7s %7s %7s\n' \
    queue jobs work all tenth fifth largest
for q in $(cut -d ' ' -f 1 "$jobs" | sort -u); do
	n=$(awk -v q="$q" '$1 == q' "$jobs" | wc -l)
	mean=$(awk -v q="$q" '$1 == q { s += $2; n++ } END { printf "%.1f", s / n }' \
	    "$jobs")
	all=$(share "$q" 2 0 100)
	echo "$q $n $mean $all $(share "$q" 2 0 10) $(share "$q" 2 10 30)" \
	    "$(share "$q" 3 0 10)"
done | awk '{
	for (i = 5; i <= 7; i++)
		$i = $i (2 * $i < $4 ? "*" : "")
	printf "%-16s %5d %6s %6s %7s %7s %7s\n", $1, $2, $3, $4, $5, $6, $7
}'
