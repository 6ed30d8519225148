#!/usr/bin/env bash
# A host is killed under load: others take its shards over, answers stay whole, and limits hold.
. "$(dirname "$0")/common.sh"

fleet_start examples/mug-works.ini || exit 1
cli apply examples/mug-works.ini >/dev/null
check "all hosts serve" wait_for 15 fleet_serves
wait_for 5 is_complete 1 order-desk

no_row_of() { ! cli dump --host=h1 | jq -e ".assignment[] | select(.owner == \"$1\")" >/dev/null; }
now_ms() { date +%s%3N; }

owned=$(cli dump --host=h1 | jq '[.assignment[] | select(.owner == "h4")] | length')
check "the host to kill owns shards" test "$owned" -gt 0
kill -KILL "${PID[h4]}"
killed=$(now_ms)
unset 'PID[h4]'
check "answers are whole at once" is_complete 1 order-desk
for ((i = 0; i < 20; i++)); do
    is_complete $((i % 3 + 1)) proof-gallery || { echo "  incomplete answer"; FAILED=1; }
done
check "its shards have other owners within 3 s" wait_for 3 no_row_of h4
echo "  takeover seen after $(($(now_ms) - killed)) ms"
check "callers are not told of it any more" wait_for 3 bash -c "! curl -s http://$(host_address 1):8080/v1/addresses | grep -q h4"

hosts_list 4
host_start 4
hosts_list
check "the host comes back and serves" wait_for 15 fleet_serves 7
check "it answers" wait_for 5 is_complete 4 order-desk
check_limits
finish
