#!/usr/bin/env bash
# Targets that start cold, that shed load, and whose reports mislead cost no coverage.
. "$(dirname "$0")/common.sh"

fleet_start examples/mug-works.ini || exit 1
cli apply examples/mug-works.ini >/dev/null
check "all hosts serve" wait_for 15 fleet_serves
wait_for 5 is_complete 1 order-desk

# Whole answers of 20 searches.
whole() {
    local i count=0
    for ((i = 0; i < 20; i++)); do is_complete $((i % 7 + 1)) order-desk && count=$((count + 1)); done
    echo "$count"
}

# The last part of an address is 1, 4, 7, ... for the first replica of each shard.
for ((i = 1; i <= 30; i += 3)); do target_faults "target=127.30.1.$i:" '{"cold_s": 3}'; done
check "answers are whole while one replica of each shard is cold" test "$(whole)" = 20
for ((i = 1; i <= 30; i += 3)); do target_faults "target=127.30.1.$i:" '{"shedding": true}'; done
check "answers are whole while one replica of each shard sheds load" test "$(whole)" = 20
for ((i = 1; i <= 30; i += 3)); do
    target_faults "target=127.30.1.$i:" '{"shedding": false, "frozen_report": true, "draining": true}'
done
check "a report that hides a drain is not believed" test "$(whole)" = 20
check_limits
finish
