#!/usr/bin/env bash
# Kills processes of a site while requests run, and checks that requests end in time, that a planned shutdown
# interrupts no stream, that the memory of broken streams is freed and that no confirmation runs twice. The numbers in
# the comments below are those of the promises in docs/PROMISES.md.
#
# Usage: examples/site/faults.sh FOLDER
set -euo pipefail
folder="${1:?usage: $0 FOLDER}"
here=$(dirname "$0")
export SITE_PORT="${SITE_PORT:-20000}"
port=$SITE_PORT
mkdir -p "$(dirname "$folder")"
"$here/run.sh" start "$folder" >"$folder.start.log"
trap '"$here/run.sh" stop "$folder"' EXIT
failed=0

check() { # NAME CONDITION...
	local name="$1"
	shift
	if "$@"; then echo "ok: $name"; else
		echo "FAILED: $name"
		failed=1
	fi
}

complete() { # VM TOKENS OUTPUT
	curl -s -m 60 -o "$3" -w '%{http_code}' -H 'Authorization: Bearer demo-key' -H 'Content-Type: application/json' \
		-d "{\"model\": \"small\", \"prompt\": \"<long>$RANDOM$RANDOM\", \"max_tokens\": $2}" "http://127.0.0.1:$((port + 100 + $1))/v1/completions" || true
}

confirm() { # VM KEY
	curl -s -m "${3:-40}" -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer demo-key' -H "Idempotency-Key: $2" -d 'x' \
		"http://127.0.0.1:$((port + 100 + $1))/services/pairing/confirmations" || true
}

runs() { # KEY
	curl -sS "http://127.0.0.1:$((port + 500))/counts" | tr ',{}' '\n\n\n' | sed -n "s/^\"$1\":\([0-9]*\).*/\1/p"
}

held() { # prints the KV tokens in use on all running servers
	local total=0 used i
	for i in 1 2 3 4 5 6; do
		used=$(curl -s -m 2 "http://127.0.0.1:$((port + 400 + i))/v1/report" | sed -n 's/.*"used":\([0-9]*\).*/\1/p')
		total=$((total + ${used:-0}))
	done
	echo "$total"
}

# 1: a backend server crashes while it serves streams; each request still gets its complete answer in time.
for i in $(seq 1 12); do (complete $((i % 6 + 1)) 400 "$folder/answer-$i" >"$folder/status-$i") & done
sleep 1
kill -KILL "$(cat "$folder/server-2.pid")"
for job in $(jobs -p); do wait "$job" || true; done
whole=$(cat "$folder"/status-* | grep -o 200 | wc -l)
check "12 of 12 answers are complete after a backend server was killed ($whole)" [ "$whole" -eq 12 ]

# 7: an entry VM receives SIGTERM while a stream runs; the stream completes, and new requests are refused at once.
(complete 6 1500 "$folder/answer-stop" >"$folder/status-stop") &
job=$!
sleep 1
kill -USR1 "$(cat "$folder/vm-6.pid")"
kill -TERM "$(cat "$folder/vm-6.pid")"
sleep 0.5
refused=$(complete 6 5 "$folder/answer-refused")
ready=$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 106))/readyz" || true)
wait "$job" || true
check "a stream continues during the shutdown of its entry VM ($(cat "$folder/status-stop"))" [ "$(cat "$folder/status-stop")" = 200 ]
check "the answer is complete" grep -q '"completion_tokens":1500' "$folder/answer-stop"
check "a new request is refused as not executed ($refused)" grep -q '"ran":"not"' "$folder/answer-refused"
check "the health check fails at once ($ready)" [ "$ready" = 503 ]
check "the state was written on SIGUSR1" grep -q '"incarnation"' "$folder/vm-6.log"

# 2: an entry VM crashes with open streams; the memory of these streams is freed within the lease, the report lag
# and two heartbeat intervals.
for i in $(seq 1 6); do (complete 1 20000 /dev/null >/dev/null 2>&1) & done
sleep 2
check "streams use memory before the kill ($(held) tokens)" [ "$(held)" -gt 0 ]
kill -KILL "$(cat "$folder/vm-1.pid")"
sleep 14
left=$(held)
check "the memory is freed 14 s after an entry VM was killed ($left tokens left)" [ "$left" -eq 0 ]

# 5: each confirmation is sent through several entry VMs, one of which is killed meanwhile.
for i in $(seq 1 30); do
	(confirm 2 "key-$i" >/dev/null) &
	(confirm 3 "key-$i" >/dev/null) &
	(confirm 4 "key-$i" >/dev/null) &
	if [ "$i" -eq 15 ]; then kill -KILL "$(cat "$folder/vm-2.pid")"; fi
done
for job in $(jobs -p); do wait "$job" || true; done
twice=0
for i in $(seq 1 30); do
	confirm 5 "key-$i" 3 >/dev/null
	if [ "$(runs "key-$i")" -gt 1 ] 2>/dev/null; then twice=$((twice + 1)); fi
done
check "no confirmation of 30 ran twice ($twice did)" [ "$twice" -eq 0 ]
exit "$failed"
