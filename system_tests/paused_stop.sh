#!/usr/bin/env bash
# A gateway that stands still when it is told to stop ends within its time all the same, counted from
# the signal: the platform kills it then.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
RUN=$(mktemp -d)
STOP_WITHIN_S=6
PAUSE_S=2.5

cat >"$RUN/gateway.ini" <<EOT
[host]
id = h1
zone = a
[listen]
callers = 127.10.1.1:8080
readiness = 127.10.1.1:8081
directory = 127.10.1.1:8082
metrics = 127.10.1.1:8083
peers = 127.10.1.1:8084
[platform]
store = 127.10.1.2:8085
[bounds]
stop_within_s = $STOP_WITHIN_S
EOT

build/tanagerspur_gateway --settings="$RUN/gateway.ini" >"$RUN/gateway.log" 2>&1 &
gateway=$!
for _ in {1..100}; do
    curl -sf "http://127.10.1.1:8083/metrics" >/dev/null && break
    sleep 0.1
done
kill -STOP "$gateway"
kill -TERM "$gateway"
sent=$(date +%s%3N)
sleep "$PAUSE_S"
kill -CONT "$gateway"
wait "$gateway"
took=$(($(date +%s%3N) - sent))
echo "  ended $took ms after the signal, paused for the first $PAUSE_S s"
((took <= STOP_WITHIN_S * 1000)) || { echo "  FAILED: it outlived its time to stop"; exit 1; }
