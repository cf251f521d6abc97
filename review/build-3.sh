#!/bin/sh
# Compiles the stand-ins of the cases 11 to 15 into target/review-3/, with the
# packages that deploy/system.toml declares.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/1[1-5]/*.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cc)" "$source"
done
