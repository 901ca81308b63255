#!/usr/bin/env bash
# Installs the Debian packages needed to build and test balsamyard.
set -euo pipefail
PACKAGES=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libasio-dev libnghttp2-dev libcpp-httplib-dev libboost-dev libboost-log-dev
  libboost-random-dev libhttp-parser-dev libyaml-cpp-dev libcxxopts-dev libexpected-dev libtomlplusplus-dev
  liburcu-dev nlohmann-json3-dev libxxhash-dev catch2 gnuplot-nox
)
MISSING=()
for PACKAGE in "${PACKAGES[@]}"; do
  dpkg -s "$PACKAGE" >/dev/null 2>&1 || MISSING+=("$PACKAGE")
done
if [ ${#MISSING[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${MISSING[@]}"
fi
