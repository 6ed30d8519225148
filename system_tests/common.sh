# What every system test shares: a fleet of real processes on loopback, and checks that name
# what was expected. A test sources this file, defines its steps and calls "finish".

set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
BUILD=${BUILD:-build}
FAILED=0
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
trap fleet_stop EXIT

# check "what" COMMAND...
check() {
    local what=$1
    shift
    if "$@" >/dev/null 2>&1; then
        echo "  ok: $what"
    else
        echo "  FAILED: $what"
        FAILED=1
        [[ " $* " != *" is_complete "* ]] || show_last_answer
    fi
}

# The fleet serves: every host has the manifest and every shard has an owner.
fleet_serves() {
    local serving
    serving=$(cli status 2>/dev/null | grep -c " serving ")
    ((serving >= ${1:-$HOST_COUNT}))
}

# Prints a member of the targets' counters.
target_counter() { curl -s "http://$CONTROL/counters" | jq ".$1"; }

target_faults() { curl -s -X POST "http://$CONTROL/faults?$1" -d "$2" >/dev/null; }

platform_faults() { curl -s -X POST "http://$PLATFORM/control/faults" -d "$1" >/dev/null; }

# Prints the answer of one search: query HOST SERVICE [FIELDS OF curl...]
query() {
    local host=$1 service=$2
    shift 2
    curl -s -X POST "http://$(host_address "$host"):8080/v1/search?service=$service" -d body "$@"
}

# Keeps the answer, and how the call ended, for show_last_answer.
is_complete() {
    query "$@" -w '%{stderr}status %{http_code}, curl %{exitcode}, %{time_total} s' \
        2>"$RUN/answer.end" | tee "$RUN/answer" | jq -e .coverage.complete >/dev/null
}

show_last_answer() {
    echo "    answer: $(cut -c1-2000 "$RUN/answer") $(cat "$RUN/answer.end")"
}

# Whatever happened, no target carried more than its limits.
check_limits() {
    check "no target over its in-flight limit" test "$(target_counter targets_over_in_flight_limit)" = 0
    check "no target at its connection cap" test "$(target_counter targets_at_connection_cap)" = 0
}

# After a failure the hosts' warnings are printed: a later run can't show what they said.
finish() {
    ((FAILED == 0)) || grep -hE '^[^ ]+ [WE] ' "$RUN"/h*.log | sort | tail -n 40 | sed 's/^/    /'
    exit "$FAILED"
}
