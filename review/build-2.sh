#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review into target/review-2/. Needs Go and the modules of go.mod alone.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/stage
