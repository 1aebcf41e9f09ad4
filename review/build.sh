#!/usr/bin/env bash
# Builds what the scripts of the cases start. The program under test is built by the line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/rig
