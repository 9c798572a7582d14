#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
readonly PACKAGES=(ninja-build ccache cmake g++ clang-14 clang-format clang-tidy
  clang-tools libclang-rt-14-dev pkg-config libabsl-dev libcereal-dev
  libboost-dev libboost-test-dev libcpp-httplib-dev libgoogle-glog-dev
  librapidcheck-dev nlohmann-json3-dev libssl-dev zlib1g-dev openssl python3)
if dpkg -s "${PACKAGES[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -q || true
apt-get install -y "${PACKAGES[@]}"
