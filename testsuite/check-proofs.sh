#!/usr/bin/env bash
# Checks that each test named in docs/PROOFS.md exists, and prints its table:
# check-proofs.sh BUILD.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
page=docs/PROOFS.md

# `PROGRAM SUITE.CASE` of every test that the build has.
list_tests() {
    ctest --test-dir "$build" -N -V 2>/dev/null |
        sed -n 's/^[0-9]*: Test command: *//p' | tr -d '"' |
        while read -r program _; do
            name=$(basename "$program")
            name=${name%_case}
            "$program" --gtest_list_tests |
                awk -v name="${name%_test}" '
                    /^[^ ].*\.$/ { suite = $1 }
                    /^  / { print name " " suite $1 }'
        done
}

known=$(list_tests)
missing=0
while read -r named; do
    if ! grep -qxF -- "$named" <<<"$known"; then
        echo "$page names a test that does not exist: $named" >&2
        missing=1
    fi
done < <(grep '^|' "$page" | grep -oE '`[a-z_]+ [A-Za-z_]+\.[a-z_0-9A-Z]+`' | tr -d '`')

# A row that claims something must name a test.
if grep -E '\| none \|' "$page" | grep -vE '\| not proved'; then
    echo "$page: a row without a test claims more than 'not proved'" >&2
    missing=1
fi

grep '^|' "$page"
for status in proved partial 'not proved'; do
    echo "$status: $(grep -cE "\| $status[^|]*\|\$" "$page" || true) rows"
done
exit $missing
