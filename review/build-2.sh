#!/bin/sh
# Builds the stand-ins of the second review's scripts.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/stand2
