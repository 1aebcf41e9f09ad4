#!/usr/bin/env bash
# Runs the sh blocks of a page in order, as one script; stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
script=$(mktemp)
trap 'rm -f "$script"' EXIT
{
	echo 'set -euo pipefail; shopt -s expand_aliases; trap "kill \$(jobs -p) 2>/dev/null || true" EXIT'
	sed -n '/^```sh$/,/^```$/{/^```/!p}' "$1"
} >"$script"
bash "$script"
