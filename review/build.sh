#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in stand_ins/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "build/$(basename "$source" .cpp)" "$source"
done
