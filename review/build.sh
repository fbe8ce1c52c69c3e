#!/usr/bin/env bash
# Prepares every stand-in that a script starts. They are Python programs that
# use the standard library only; python3 comes with clang-tidy-19, which
# deploy/system.toml lists. None of the project's own stand-ins is used.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || {
    echo "python3 is missing" >&2
    exit 2
}
python3 -m py_compile standin/world.py [0-9]*/case.py
