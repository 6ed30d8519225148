#!/usr/bin/env bash
# A request travels the whole way: caller, entry host, owner host, target, and back.
. "$(dirname "$0")/common.sh"

MANIFEST=examples/mug-works.ini
fleet_start "$MANIFEST" || exit 1
# A host listens only some time after its process has been started.
wait_for 10 curl -s "http://$(host_address 1):8080/v1/addresses"
check "a host without configuration refuses as not_run" \
    test "$(query 1 order-desk | jq -r .verdict)" = not_run
check "the manifest is accepted and in force everywhere" cli apply "$MANIFEST"
check "all hosts serve" wait_for 10 fleet_serves
check "applying it again changes nothing" grep -q unchanged <(cli apply "$MANIFEST")

for ((host = 1; host <= HOST_COUNT; host++)); do
    wait_for 5 is_complete "$host" order-desk || echo "  not complete within 5 s: host $host"
    check "host $host answers completely" is_complete "$host" order-desk
done
answer=$(query 2 proof-gallery -H 'Request-Id: mine-1')
check "the answer carries its request id" test "$(jq -r .request_id <<<"$answer")" = mine-1
check "the answer has one row of each shard" test "$(jq '.rows | length' <<<"$answer")" = 15
check "all rows are of one version" test "$(jq '[.rows[].version] | unique | length' <<<"$answer")" = 1
check "the coverage counts 15 shards" test "$(jq .coverage.answered <<<"$answer")" = 15
check "a look-up goes to one shard" test "$(curl -s -X POST "http://$(host_address 3):8080/v1/lookup?service=order-desk&key=k" | jq .coverage.expected)" = 1
check "callers are told of all hosts" test "$(curl -s "http://$(host_address 4):8080/v1/addresses" | jq '.addresses | length')" = 7

status_of() { curl -s -o /dev/null -w '%{http_code}' "$@"; }
base="http://$(host_address 1):8080"
check "an unknown service is 404" test "$(status_of -X POST "$base/v1/search?service=none" -d x)" = 404
check "a wrong method is 405" test "$(status_of "$base/v1/search?service=order-desk")" = 405
check "an unknown path is 404" test "$(status_of "$base/nothing")" = 404
check "a bad deadline is 400" test "$(status_of -X POST -H 'Deadline-Ms: never' "$base/v1/search?service=order-desk" -d x)" = 400
check "a body that is not UTF-8 is 400" test "$(printf '\xff\xfe' | status_of -X POST --data-binary @- "$base/v1/search?service=order-desk")" = 400
check "a body that is too large is 413" test "$(head -c 100000 /dev/zero | tr '\0' x | status_of -X POST --data-binary @- "$base/v1/search?service=order-desk")" = 413
check "header fields that are too large are 431" test "$(status_of -H "X: $(head -c 9000 /dev/zero | tr '\0' x)" "$base/v1/addresses")" = 431
check "the dump is JSON" jq -e .status.host <(cli dump --host=h1)
check "the metrics name the queries" grep -q tanagerspur_query_seconds_count <(curl -s "http://$(host_address 1):8081/metrics")

id=$(curl -s -X POST "$base/v1/request-ids" | jq -r .request_id)
once() { curl -s -X POST -H "Request-Id: $id" -H 'Idempotent: false' "http://$(host_address "$1"):8080/v1/lookup?service=order-desk&key=k" -d once; }
check "a request that is not idempotent runs" test "$(once 1 | jq -r .verdict)" = done
check "its repeat at another host gives the same answer" test "$(once 5 | jq -r .verdict)" = done
check "it ran once" test "$(curl -s "http://$CONTROL/runs?request=$id" | jq .runs)" = 1
check_limits
finish
