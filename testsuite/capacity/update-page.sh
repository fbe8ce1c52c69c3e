#!/usr/bin/env bash
# Measures and puts the figures into docs/CAPACITY.md: update-page.sh BUILD.
set -euo pipefail
cd "$(dirname "$0")/../.."
figures=$1/capacity.md
page=docs/CAPACITY.md

"$1/testsuite/capacity/tack-capacity" | tee "$figures"
awk -v figures="$figures" '
    /<!-- end of figures -->/ { skip = 0 }
    !skip { print }
    /<!-- figures of make capacity -->/ {
        while ((getline line < figures) > 0) print line
        skip = 1
    }' "$page" > "$page.new"
mv "$page.new" "$page"
