#!/usr/bin/env bash
# Builds the programs of cases 4 to 8 with their stand-ins. They use none of the
# project's own stand-ins. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for it in 4 5 6 7 8; do
  [ -f "$it/case.cpp" ] || continue
  mkdir -p "../target/review-2"
  g++ -std=c++20 -O1 -Wall -pthread -Icommon-2 "$it/case.cpp" \
    -o "../target/review-2/case-$it"
done
