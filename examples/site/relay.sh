#!/usr/bin/env bash
# Measures the latency and CPU time that an entry VM adds to streams, on a site of separate processes.
#
# Usage: examples/site/relay.sh FOLDER
set -euo pipefail
folder="${1:?usage: $0 FOLDER}"
here=$(dirname "$0")
export SITE_PORT="${SITE_PORT:-19000}" SITE_DECODE=1000 SITE_SLOTS=128
"$here/run.sh" start "$folder"
trap '"$here/run.sh" stop "$folder"' EXIT
(cd "$here/../.." && go build -o "$folder/bin/" ./cmd/dragonflybench)
"$folder/bin/dragonflybench" relay --server "127.0.0.1:$((SITE_PORT + 401))" --entry "127.0.0.1:$((SITE_PORT + 101))" \
	--key demo-key --pid "$(cat "$folder/vm-1.pid")"
