#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, as deploy/system.toml builds the system.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2/ ./review/standin2
