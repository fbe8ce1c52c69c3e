#!/usr/bin/env bash
# Runs clang-tidy over all own sources: lint.sh BUILD JOBS. A file is skipped
# while its compile command and everything it includes are as they were when
# it last passed, which the compiler's own hash of the preprocessed text
# tells.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
jobs=${2:-4}

# The precompiled header is g++'s; clang reads the headers themselves.
database=$(mktemp -d)
trap 'rm -rf "$database"' EXIT
sed -e 's/ -fpch-preprocess//g' -e 's/-include [^ ]*cmake_pch.hxx//g' \
    -e 's/-Winvalid-pch//g' "$build/compile_commands.json" \
    >"$database/compile_commands.json"

passed=$build/lint-passed
mkdir -p "$passed"
export database passed
clang_tidy_hash=$(sha256sum .clang-tidy | cut -c1-16)
export clang_tidy_hash

lint_one() {
    local file=$1 key
    key=$( (echo "$clang_tidy_hash"
        grep -F -A1 -B2 "\"file\": \"$PWD/$file\"" \
            "$database/compile_commands.json" || true
        cat "$file"
        grep -ohE '^#include [<"][a-z_/]+\.(hpp|pb\.h)[>"]' "$file" | sort
        cat src/include/dandeliontack/*.hpp "$(dirname "$file")"/*.hpp \
            testsuite/harness/*.hpp 2>/dev/null || true) |
        sha256sum | cut -c1-32)
    [[ -e "$passed/$key" ]] && return 0
    if clang-tidy-19 -p "$database" --quiet "$file" 2>"$database/$key.err"; then
        touch "$passed/$key"
    else
        cat "$database/$key.err"
        echo "lint: $file FAILED"
        return 1
    fi
}
export -f lint_one

git ls-files --cached --others --exclude-standard '*.cpp' |
    grep -v '^src/generated/' |
    while read -r f; do [[ -f "$f" ]] && echo "$f"; done |
    xargs -P "$jobs" -I{} bash -c 'lint_one "$1"' _ {}
echo "lint: clean"
