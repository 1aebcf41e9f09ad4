#!/usr/bin/env bash
# Prints the seeds of soak-seeds.txt that CI plays, without those that KNOWN-RED.txt lists. An entry begins with the
# command: make soak SEED=n.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -nE 's/^make soak SEED=([0-9]+).*/\1/p' KNOWN-RED.txt 2>/dev/null || true)
grep -v '^#' scripts/soak-seeds.txt | cut -d' ' -f1 | grep -vxF "${known:-none}"
