#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
