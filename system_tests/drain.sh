#!/usr/bin/env bash
# A host that leaves cuts off no request; a target that leaves gets no new work; connections
# that go silent cost no answer.
. "$(dirname "$0")/common.sh"

fleet_start examples/sangh.ini || exit 1
cli apply examples/sangh.ini >/dev/null
check "all hosts serve" wait_for 15 fleet_serves
wait_for 5 is_complete 1 dispatch-desk

# Queries at one host, one after another, until told to end; prints a line for each.
ask_until_told() {
    local i
    for ((i = 0; i < 400; i++)); do
        [[ -e $RUN/enough ]] && return
        curl -s -o /dev/null -w '%{http_code} ' -X POST \
            "http://$(host_address "$1"):8080/v1/search?service=dispatch-desk" -d body
        echo "exit $?"
    done
}
ask_until_told 3 >"$RUN/codes" &
asker=$!
sleep 0.3
check "the drain is accepted" cli drain --host=h3
check "callers are told of six hosts" wait_for 3 bash -c "test \$(curl -s http://$(host_address 1):8080/v1/addresses | jq '.addresses | length') = 6"
wait "${PID[h3]}"
check "the drained host exits with 0" test "$?" = 0
unset 'PID[h3]'
touch "$RUN/enough"
wait "$asker"
echo "  answers while it drained: $(sort "$RUN/codes" | uniq -c | tr -s ' \n' ' ')"
# 7 is curl's code for a refused connection; a request that was cut off has another.
check "no request in flight was cut off" test "$(grep -cvE '^(200 exit 0|503 exit 0|000 exit 7)$' "$RUN/codes")" = 0
check "its shards have other owners" test "$(cli dump --host=h1 | jq '[.assignment[] | select(.owner == "h3")] | length')" = 0
check "the others answer" is_complete 1 member-ledger

leaving=127.20.1.1:9000
started() { curl -s "http://$CONTROL/counters" | jq ".targets[\"$leaving\"].started"; }
target_faults "target=$leaving" '{"draining": true}'
for ((i = 0; i < 30; i++)); do is_complete 1 dispatch-desk || { echo "  incomplete"; FAILED=1; }; done
before=$(started)
for ((i = 0; i < 30; i++)); do query 2 dispatch-desk >/dev/null; done
check "a draining target gets no new work" test "$(started)" = "$before"
target_faults "target=$leaving" '{"draining": false}'

target_faults "service=dispatch-desk" '{"silence": true}'
whole=0
for ((i = 0; i < 10; i++)); do
    answer=$(query 1 dispatch-desk -H 'Deadline-Ms: 3000')
    if jq -e .coverage.complete >/dev/null <<<"$answer"; then
        whole=$((whole + 1))
    else
        jq -c '[.verdict, .coverage.missing, .reason, .message]' <<<"$answer"
    fi
done
check "answers stay whole when all connections go silent: $whole of 10" test "$whole" = 10
check_limits
finish
