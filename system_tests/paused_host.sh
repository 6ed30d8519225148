#!/usr/bin/env bash
# A host is stopped and continued under load: a paused owner that wakes up must not add load.
. "$(dirname "$0")/common.sh"

fleet_start examples/mug-works.ini || exit 1
cli apply examples/mug-works.ini >/dev/null
check "all hosts serve" wait_for 15 fleet_serves
wait_for 5 is_complete 1 order-desk

load() {
    local i
    for ((i = 0; i < $1; i++)); do
        for host in 1 2 3 5 6 7; do query "$host" order-desk >/dev/null & done
        wait $(jobs -rp | grep -vxF "$(printf '%s\n' "${PID[@]}")") 2>/dev/null
    done
}

for length in 0.4 1.5 5; do
    load 10
    kill -STOP "${PID[h4]}"
    load 10
    sleep "$length"
    kill -CONT "${PID[h4]}"
    load 10
    check "answers are whole after a pause of $length s" wait_for 5 is_complete 1 order-desk
    check "the paused host answers again" wait_for 8 is_complete 4 order-desk
done
check_limits
finish
