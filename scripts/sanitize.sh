#!/usr/bin/env bash
# Usage: scripts/sanitize.sh [address|thread]  (default: both)
# Builds with sanitizers and runs the tests. `address` includes the undefined
# behavior sanitizer and also runs the mutation tests in fuzz/.
set -euo pipefail
cd "$(dirname "$0")/.."
SANITIZER=${1:-all}
JOBS=${JOBS:-3}

# Skips the test cases listed in KNOWN-RED.txt.
EXCLUDED=()
if [ -f KNOWN-RED.txt ]; then
  while IFS= read -r NAME; do
    echo "skipped, listed in KNOWN-RED.txt: $NAME"
    EXCLUDED+=("~$NAME")
  done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi

# With sanitizers, GCC 12 reports uninitialized values in its own <regex>. It
# also warns that TSan does not support std::atomic_thread_fence, which Asio
# uses.
build() {
  cmake -S . -B "$1" -G Ninja -DBALSAMYARD_SANITIZE="$2" \
    -DCMAKE_CXX_FLAGS="-Wno-maybe-uninitialized -Wno-tsan" \
    -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g" >/dev/null
  cmake --build "$1" -j "$JOBS"
}

if [ "$SANITIZER" != thread ]; then
  build build-asan address,undefined
  export ASAN_OPTIONS=detect_leaks=1
  export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
  build-asan/balsamyard-tests "${EXCLUDED[@]}"
  ctest --test-dir build-asan --output-on-failure -E '^balsamyard-tests$' \
    --no-tests=ignore
fi
if [ "$SANITIZER" != address ]; then
  build build-tsan thread
  export TSAN_OPTIONS=halt_on_error=1
  build-tsan/balsamyard-tests "${EXCLUDED[@]}"
fi
