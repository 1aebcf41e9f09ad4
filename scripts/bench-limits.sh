#!/usr/bin/env bash
# Runs the measurements of limits, retries, quarantine and health and writes
# docs/bench-limits.md. The tables come from paused clocks and fixed seeds and
# are the same on every machine; the decision costs are this machine's.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/bench-limits.md
packages=()
for p in sniperetry snipequarantine snipelimit snipehealth; do
	[ ! -d "$p" ] || packages+=("./$p")
done
{
	echo "# Measurements of limits, retries, quarantine and health"
	echo
	echo "Written by \`make bench-limits\`. Tables: paused clock, fixed seeds."
	for p in "${packages[@]}"; do
		echo
		echo "## ${p#./}"
		go test -count=1 -v -run '^TestMeasure' "$p" |
			sed -nE -e 's/^ +[a-z_]+_test\.go:[0-9]+: (\|.*)$/\1/p' -e 's/^ +[a-z_]+_test\.go:[0-9]+: (Table: .*)$/\n\1\n/p'
	done
	echo
	echo "## Decision costs"
	echo
	echo "| decision | time | bytes | allocations |"
	echo "|---|---|---|---|"
	go test -run '^$' -bench . -benchmem "${packages[@]}" |
		awk '/^Benchmark/ { sub(/^Benchmark/, "", $1); sub(/-[0-9]+$/, "", $1)
			printf "| %s | %s ns | %s | %s |\n", $1, $3, $(NF-3), $(NF-1) }'
} >"$page.new"
mv "$page.new" "$page"
