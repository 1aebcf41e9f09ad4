#!/usr/bin/env bash
# Open-loop load on the system on one machine: LOAD_CALLS over LOAD_LENGTH, with
# the popularity LOAD_POPULARITY (steady, shift, drift or storm). Results go to
# run/load-POPULARITY.json and .svg; compare two with
# bin/snipereplay -compare FILE,FILE.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${LOAD_PORT:-22400}
popularity=${LOAD_POPULARITY:-steady}
adapters=${LOAD_ADAPTERS:-24}
. scripts/stand.sh

main() {
	mkdir -p run
	start_outside
	start_instances
	apply_settings "$adapters"
	owned
	"$bin/snipereplay" -load -popularity "$popularity" -seed "${LOAD_SEED:-1}" -calls "${LOAD_CALLS:-1200}" \
		-length "${LOAD_LENGTH:-20s}" -adapters "$adapters" -service orders \
		-keys bottling=bottling-key,ash=ash-key -planned -plot \
		-json "run/load-$popularity.json" -svg "run/load-$popularity.svg" \
		-entries "$(entries $((base + 300)))" -upstreams "$(upstreams)"
}

# Read as a whole before it runs: the file may change meanwhile.
main
