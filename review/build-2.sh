#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into review/standins-2/bin/. Needs the
# compiler that the deployed build needs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p standins-2/bin
for source in standins-2/*.cpp; do
    program=standins-2/bin/$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
done
