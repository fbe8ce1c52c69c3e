#!/usr/bin/env bash
# Installs the Debian packages that building and testing need, where any is
# missing.
set -euo pipefail

packages=(
    cmake ninja-build g++ make ccache pkg-config
    clang-format-19 clang-tidy-19
    libboost1.81-dev libgrpc++-dev libprotobuf-dev
    protobuf-compiler protobuf-compiler-grpc
    libabsl-dev liblog4cxx-dev libgtest-dev librapidcheck-dev
    libbenchmark-dev zlib1g-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
    exit 0
fi

echo "installing: ${missing[*]}"
run=()
if ((EUID != 0)); then
    run=(sudo)
fi
"${run[@]}" apt-get update
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y "${missing[@]}"
