#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The programs themselves are built as
# deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-case ./review/cases
