#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The programs themselves are
# built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-case-2 ./review/cases-2
