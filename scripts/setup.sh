#!/usr/bin/env bash
# Installs the build dependencies from Debian's packages.
set -euo pipefail
readonly PACKAGES=(
  libasio-dev librestinio-dev libcurl4-openssl-dev libcereal-dev libboost-dev
  libabsl-dev liblog4cxx-dev librapidcheck-dev nlohmann-json3-dev
  libhttp-parser-dev libfmt-dev libxxhash-dev libsodium-dev zlib1g-dev libzstd-dev libgtest-dev
  ccache cmake ninja-build pkg-config g++ clang-format clang-tidy curl
)
if dpkg -s "${PACKAGES[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y "${PACKAGES[@]}"
