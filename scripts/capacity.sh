#!/usr/bin/env bash
# Measures what idle instances cost: starts the platform, ENGINES engines and
# INSTANCES instances (at most 100) as separate processes with ADAPTERS adapters
# declared, lets leases and membership settle, prints one sample as JSON and
# stops everything. The instances run with their default times.
#
# Usage: scripts/capacity.sh INSTANCES ENGINES ADAPTERS [INTERVAL]
set -euo pipefail
cd "$(dirname "$0")/.."
instances=$1
engines=$2
adapters=$3
interval=${4:-20s}
base=${CAPACITY_PORT:-16000}
services=1
operators_hop=400
peers_hop=500
timing=
. scripts/stand.sh

main() {
	local n list=
	start_outside
	start_instances
	apply_settings "$adapters" >/dev/null
	for n in $(seq "$instances"); do list+=127.0.0.1:$((base + operators_hop + n)),; done
	sleep "${CAPACITY_SETTLE:-45}"
	"$bin/snipecapacity" sample -interval "$interval" -instances "${list%,}"
}

# Read as a whole before it runs: the file may change meanwhile.
main
