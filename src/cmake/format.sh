#!/usr/bin/env bash
# Formats all sources, or, with --check, fails where one is not formatted.
set -euo pipefail
cd "$(dirname "$0")/../.."
mode=(-i)
if [[ "${1:-}" == --check ]]; then
    mode=(--dry-run --Werror)
fi
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' |
    grep -v '^src/generated/' |
    while read -r f; do [[ -f "$f" ]] && printf '%s\0' "$f"; done |
    xargs -0 clang-format-19 "${mode[@]}"
