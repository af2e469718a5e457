#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into
# review/stand_ins_2/build.
set -euo pipefail
cd "$(dirname "$0")/stand_ins_2"
mkdir -p build
for source in *.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "build/$(basename "$source" .cpp)" "$source"
done
