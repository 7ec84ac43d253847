#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, which plays each of them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
