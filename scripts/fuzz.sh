#!/usr/bin/env bash
# Fuzzes each target for FUZZ_TIME, one after another. A fault found is written
# to testdata/fuzz of its package; committed, it is a seed that the tests run.
set -euo pipefail
cd "$(dirname "$0")/.."
grep -rhoE --include='*_test.go' --with-filename '^func Fuzz[A-Za-z]+' . | sort |
	sed -E 's#^(.*)/[^/]+:func (.*)$#\1 \2#' |
	while read -r package target; do
		echo "== $package $target"
		go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZ_TIME:-10s}" -fuzzminimizetime 20x -parallel 4
	done
