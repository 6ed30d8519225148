#!/usr/bin/env bash
# A short run of the fault soak: fixed seeds and those of soak/seeds.txt, on real processes.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
mapfile -t SEEDS < <(sed 's/#.*//; s/[[:space:]]//g; /^$/d' soak/seeds.txt)
for seed in "${SEEDS[@]}"; do
    build/tanagerspur_soak --seed="$seed" --seconds=16 || exit 1
done
