#!/usr/bin/env bash
# Runs every benchmark of a build folder and prints its figures.
set -euo pipefail
build=$1
find "$build" -type f -name '*_bench' -perm -u+x | sort |
    while read -r bench; do
        echo "== $(basename "$bench")"
        "$bench"
    done
