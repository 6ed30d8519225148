#!/usr/bin/env bash
# The index changes its version, and is repartitioned, while queries run: never a mixed answer.
. "$(dirname "$0")/common.sh"

fleet_start examples/mug-works.ini || exit 1
cli apply examples/mug-works.ini >/dev/null
check "all hosts serve" wait_for 15 fleet_serves
wait_for 5 is_complete 1 order-desk

ask() {
    local i
    for ((i = 0; i < 300; i++)); do query $((i % 7 + 1)) order-desk; done >"$RUN/answers"
}
ask &
asker=$!
for ((i = 1; i <= 30; i++)); do target_faults "target=127.30.1.$i:" '{"versions": [1, 2]}'; done
sleep 1
for ((i = 30; i >= 1; i--)); do target_faults "target=127.30.1.$i:" '{"versions": [2]}'; done
wait "$asker"
mixed=$(jq -c 'select(.rows != null) | select(([.rows[].version] + [.index_version] | unique | length) != 1)' "$RUN/answers" | wc -l)
check "no answer mixes versions" test "$mixed" = 0
untrue=$(jq -c 'select(.rows != null) | select((.rows | length) != .coverage.answered)' "$RUN/answers" | wc -l)
check "no answer overstates its coverage" test "$untrue" = 0
echo "  answers by version: $(jq -r '.index_version' "$RUN/answers" | sort | uniq -c | tr -s ' \n' ' '), whole: $(jq -c 'select(.coverage.complete)' "$RUN/answers" | wc -l) of 300"
jq -c 'select(.coverage.complete | not) | [.index_version, .coverage.missing, .reason, .message]' "$RUN/answers"
check "every answer is whole" test "$(jq -c 'select(.coverage.complete)' "$RUN/answers" | wc -l)" = 300
check "the new version is served" test "$(query 1 order-desk | jq .index_version)" = 2

target_faults "target=127.30.1.5:9000" '{"wrong_version": 9}'
mixed=0
for ((i = 0; i < 20; i++)); do
    query 1 order-desk | jq -e '[.rows[].version] | unique == [2]' >/dev/null || mixed=$((mixed + 1))
done
check "a target that answers from another version is not believed" test "$mixed" = 0
check_limits
finish
