#!/usr/bin/env bash
# The platform's store is away, loses replies, and two operators race.
. "$(dirname "$0")/common.sh"

MANIFEST=examples/mug-works.ini
fleet_start "$MANIFEST" || exit 1
platform_faults '{"lose_write_replies": 1}'
check "an apply whose reply is lost is accepted all the same" cli apply "$MANIFEST"
check "it wrote one generation" grep -q "generation 1," <(cli show)
check "all hosts serve" wait_for 15 fleet_serves
wait_for 5 is_complete 1 order-desk

sed 's/slots = 3/slots = 4/' "$MANIFEST" >"$RUN/a.ini"
sed 's/slots = 3/slots = 2/' "$MANIFEST" >"$RUN/b.ini"
cli apply "$RUN/a.ini" --expect_generation=1 >"$RUN/a.out" 2>&1 &
first=$!
cli apply "$RUN/b.ini" --expect_generation=1 >"$RUN/b.out" 2>&1
second_code=$?
wait "$first"
first_code=$?
check "of two racing operators one wins" test $((first_code + second_code)) = 1
check "the other is told what won" grep -q "not accepted: generation 2 of operation" "$RUN/a.out" "$RUN/b.out"
check "generation 2 is in force everywhere" test "$(cli status --json | jq '[.hosts[] | select(.generation == 2)] | length')" = 7

for outage in silent error; do
    platform_faults "{\"outage\": \"$outage\"}"
    sleep 6
    whole=0
    for ((i = 0; i < 14; i++)); do is_complete $((i % 7 + 1)) proof-gallery && whole=$((whole + 1)); done
    check "answers stay whole in an outage ($outage): $whole of 14" test "$whole" = 14
    check "an apply in an outage says that nothing is known" test "$(cli apply "$RUN/a.ini" >/dev/null 2>&1; echo $?)" = 3
    platform_faults '{"outage": "none"}'
done
sleep 8
check "the limit of the store was never reached" test "$(curl -s "http://$PLATFORM/control/counters" | jq .limited)" = 0
echo "  most calls in a second: $(curl -s "http://$PLATFORM/control/counters" | jq -c '{most_reads_in_a_second, most_writes_in_a_second}')"
check "the fleet learns the next manifest" cli apply "$MANIFEST" --wait_s=5
check_limits
finish
