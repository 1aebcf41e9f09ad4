#!/usr/bin/env bash
# Measures what one instance adds to a call and writes docs/bench.md. All ways
# are measured in one run on one machine: only their differences and ratios
# carry over to another machine.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/bench.md
out=$(mktemp)
trap 'rm -f "$out" "$page.new"' EXIT
go test ./snipeinstance -run '^$' -bench '^BenchmarkAddedLatency$' -benchtime "${BENCH_ROUNDS:-1000}x" >"$out"
go test ./snipeinstance -run '^$' -bench '^BenchmarkCost$' -benchtime "${BENCH_CALLS:-20000}x" >>"$out"
go test ./snipeupstream -run '^$' -bench '^BenchmarkAssembly$' >>"$out"
{
	cat <<-'PAGE'
		# What an instance costs

		Written by `make bench`: a whole system over loopback in one process, with
		platform, engine and two instances, of which one owns the engine. "direct" calls
		the engine, "instance" the owner, "hop" the other instance. The engine answers at
		once. "added" is the difference to "direct" in the same run.

	PAGE
	echo "Machine: $(go version | cut -d' ' -f3-4), $(nproc) processors, $(sed -nE 's/^model name\s*: //p' /proc/cpuinfo | head -1)."
	echo
	echo "## Latency"
	echo
	echo "Medians of the ways taken in turn; a plain call has a short answer, a chunk is"
	echo "timed from the engine's write to its arrival."
	echo
	echo "| way | call, us | added, us | chunk, us | added, us |"
	echo "|---|---|---|---|---|"
	awk '/^BenchmarkAddedLatency/ { for (n = 3; n < NF; n += 2) v[$(n+1)] = $n }
		END { split("direct instance hop", ways, " ")
			for (n = 1; n <= 3; n++) { w = ways[n]; c = v["us/call-" w]; k = v["us/chunk-" w]
				printf "| %s | %.1f | %.1f | %.1f | %.1f |\n", w, c, c - v["us/call-direct"], k, k - v["us/chunk-direct"] } }' "$out"
	echo
	echo "## Processor time and allocations"
	echo
	echo "Of the whole process, caller and engine too; \"added\" is the instances' share."
	echo "Calls run in parallel, chunks one after another. Calls a second and core is"
	echo "one second through the added processor time."
	echo
	echo "| what | cpu, us | added, us | allocations | added | bytes | added | per second and core |"
	echo "|---|---|---|---|---|---|---|---|"
	awk '/^BenchmarkCost/ { name = $1; sub(/^BenchmarkCost\//, "", name); sub(/-[0-9]+$/, "", name)
			for (n = 3; n < NF; n += 2) v[name, $(n+1)] = $n; names[++count] = name }
		END { for (n = 1; n <= count; n++) { name = names[n]; base = name; sub(/-.*/, "-direct", base)
				cpu = v[name, "cpu-us/op"]; a = v[name, "allocs/op"]; b = v[name, "B/op"]
				added = cpu - v[base, "cpu-us/op"]
				printf "| %s | %.1f | %.1f | %d | %d | %d | %d | %s |\n", name, cpu, added, a, a - v[base, "allocs/op"],
					b, b - v[base, "B/op"], (added > 0 ? int(1e6 / added) : "") } }' "$out"
	echo
	awk '/^BenchmarkAssembly/ { printf "A chunk of an answer that is not streamed to its caller takes %s ns and %s\nallocations to assemble.\n", $3, $(NF-1) }' "$out"
} >"$page.new"
mv "$page.new" "$page"
