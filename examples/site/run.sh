#!/usr/bin/env bash
# Starts a small site on loopback with 3 availability zones. Its 6 entry VMs, 6 backend
# servers, 1 plain service and the platform run as separate processes.
#
# Usage: examples/site/run.sh start FOLDER | stop FOLDER
set -euo pipefail

readonly port_base="${SITE_PORT:-18000}"
readonly decode="${SITE_DECODE:-100}" slots="${SITE_SLOTS:-32}"
readonly zones=(a b c)
root=$(cd "$(dirname "$0")/../.." && pwd)
command="${1:-}"
folder="${2:-}"

usage() {
	echo "usage: $0 start|stop FOLDER" >&2
	exit 2
}

launch() { # NAME COMMAND...
	local name="$1"
	shift
	"$@" >"$folder/$name.log" 2>&1 &
	echo $! >"$folder/$name.pid"
}

await() { # URL
	for _ in $(seq 100); do
		if curl -sf -o /dev/null "$1"; then return 0; fi
		sleep 0.1
	done
	echo "$1 does not answer" >&2
	return 1
}

write_vm() { # NUMBER ZONE
	local callers=$((port_base + 100 + $1)) peers=$((port_base + 200 + $1)) admin=$((port_base + 300 + $1))
	cat >"$folder/vm-$1.json" <<-JSON
		{
		  "name": "vm-$1", "zone": "$2",
		  "listen": {"callers": "127.0.0.1:$callers", "peers": "127.0.0.1:$peers", "admin": "127.0.0.1:$admin"},
		  "platform": {"address": "127.0.0.1:$port_base"},
		  "peers": {"secret": {"file": "peers.secret"}},
		  "admin": {"secret": {"file": "admin.secret"}},
		  "times": {"drain": "30s"}
		}
	JSON
}

write_vms() {
	local lines=() i
	for i in 1 2 3 4 5 6; do
		write_vm "$i" "${zones[$(((i - 1) % 3))]}"
		lines+=("{\"id\": \"vm-$i\", \"zone\": \"${zones[$(((i - 1) % 3))]}\", \"address\": \"127.0.0.1:$((port_base + 200 + i))\"}")
	done
	(IFS=,; echo "{\"vms\": [${lines[*]}]}") >"$folder/vms.json"
}

write_configuration() {
	local servers=() i sum
	for i in 1 2 3 4 5 6; do
		servers+=("{\"id\": \"server-$i\", \"zone\": \"${zones[$(((i - 1) % 3))]}\", \"address\": \"127.0.0.1:$((port_base + 400 + i))\",
		  \"models\": [\"small\"], \"memory\": 400000, \"slots\": $slots, \"prefill\": 50000, \"decode\": $decode}")
	done
	sum=$(printf 'demo-key' | sha256sum | cut -d' ' -f1)
	(
		IFS=,
		cat <<-JSON
			{
			  "models": [{"id": "small", "version": "1", "limit": 300000}],
			  "servers": [${servers[*]}],
			  "services": [{"id": "pairing", "rank": "urgent", "remember": "72h",
			    "endpoints": [{"address": "127.0.0.1:$((port_base + 500))", "zone": "a"}],
			    "once": [{"method": "POST", "prefix": "/confirmations"}]}],
			  "accounts": [{"id": "demo", "keys": ["$sum"], "models": ["small"], "services": ["pairing"], "rank": "urgent", "weight": 1}]
			}
		JSON
	) >"$folder/configuration.json"
}

start() {
	mkdir -p "$folder"
	folder=$(cd "$folder" && pwd)
	(cd "$root" && go build -o "$folder/bin/" ./cmd/dragonflypass ./cmd/dragonflyctl ./cmd/standin)
	printf 'site-peers-secret' >"$folder/peers.secret"
	printf 'site-admin-secret' >"$folder/admin.secret"
	write_vms
	write_configuration
	launch platform "$folder/bin/standin" platform --listen "127.0.0.1:$port_base" --vms "$folder/vms.json"
	await "http://127.0.0.1:$port_base/vms"
	for i in 1 2 3 4 5 6; do
		launch "server-$i" "$folder/bin/standin" server --listen "127.0.0.1:$((port_base + 400 + i))" --id "server-$i" --slots "$slots" --decode "$decode"
	done
	launch service "$folder/bin/standin" service --listen "127.0.0.1:$((port_base + 500))"
	for i in 1 2 3 4 5 6; do
		launch "vm-$i" "$folder/bin/dragonflypass" serve --settings "$folder/vm-$i.json"
	done
	for i in 1 2 3 4 5 6; do await "http://127.0.0.1:$((port_base + 300 + i))/healthz"; done
	"$folder/bin/dragonflyctl" config apply "$folder/configuration.json" --author site \
		--admin "127.0.0.1:$((port_base + 301))" --secret "$folder/admin.secret"
	for i in 1 2 3 4 5 6; do
		await "http://127.0.0.1:$((port_base + 100 + i))/readyz"
		echo "vm-$i (zone ${zones[$(((i - 1) % 3))]}): callers 127.0.0.1:$((port_base + 100 + i)), operators 127.0.0.1:$((port_base + 300 + i))"
	done
	echo "key: demo-key"
}

stop() {
	local file id
	for file in "$folder"/vm-*.pid "$folder"/service.pid "$folder"/server-*.pid "$folder"/platform.pid; do
		[ -f "$file" ] || continue
		id=$(cat "$file")
		if kill -TERM "$id" 2>/dev/null; then
			for _ in $(seq 100); do
				kill -0 "$id" 2>/dev/null || break
				sleep 0.1
			done
		fi
		rm -f "$file"
	done
}

[ -n "$folder" ] || usage
case "$command" in
start) start ;;
stop) stop ;;
*) usage ;;
esac
