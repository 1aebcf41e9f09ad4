#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-2/ ./review/stand2
