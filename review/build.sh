#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they contain, into build-review/.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p build-review
for source in review/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I review/support "$source" -o "build-review/case_$number" \
        -pthread
done
