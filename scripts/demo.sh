#!/usr/bin/env bash
# Starts the platform, engines, a service and three instances as separate
# processes, replays a trace while one instance and one engine are killed,
# prints histograms and the verdict, and stops everything it started.
#
# Exit code 0 only when no promise was broken, at least $share of the calls
# ended as the trace states, and the planned stop ended with 0. The trace asks
# for less than the weight store gives, so that the share does not depend on
# the machine's speed.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${DEMO_PORT:-17000}
calls=${DEMO_CALLS:-600}
length=${DEMO_LENGTH:-15s}
seed=${DEMO_SEED:-1}
adapters=12
share=${DEMO_SHARE:-0.9}
. scripts/stand.sh

main() {
	start_outside
	start_instances
	apply_settings $adapters
	owned
	ctl_at 1 instances
	ctl_at 1 engines

	"$bin/snipereplay" -generate -seed "$seed" -calls "$calls" -length "$length" -teams bottling,ash \
		-adapters $adapters -service orders >"$work/trace.jsonl"
	"$bin/snipereplay" -trace "$work/trace.jsonl" -keys bottling=bottling-key,ash=ash-key -min-answered $share \
		-entries "$(entries $((base + 300)))" -upstreams "$(upstreams)" &
	replay=$!
	sleep 4
	echo "killing instance 2"
	end instance2
	sleep 3
	echo "killing engine 1; it comes back empty"
	end engine1
	sleep 0.5
	again engine1
	verdict=0
	wait "$replay" || verdict=$?
	ctl_at 1 engines
	echo "stopping instance 1 gracefully"
	kill -TERM "${pid[instance1]}"
	wait "${pid[instance1]}" || {
		echo "instance 1 exited with $?" >&2
		verdict=1
	}
	exit "$verdict"
}

# Read as a whole before it runs: the file may change meanwhile.
main
