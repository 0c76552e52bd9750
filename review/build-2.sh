#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into review/build-2/. Needs the
# compiler that the deployed build needs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
for source in standins-2/*.cpp; do
    program=build-2/$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
done
