#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/case.cc review/7/case.cc review/8/case.cc \
  review/9/case.cc review/10/case.cc; do
  [ -f "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-2/case-$number"
done
