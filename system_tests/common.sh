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

is_complete() { query "$@" | jq -e .coverage.complete >/dev/null; }

# Whatever happened, no target carried more than its limits.
check_limits() {
    check "no target over its in-flight limit" test "$(target_counter targets_over_in_flight_limit)" = 0
    check "no target at its connection cap" test "$(target_counter targets_at_connection_cap)" = 0
}

finish() { exit "$FAILED"; }
