#!/bin/sh
# Builds the stand-ins of the cases 6 to 9 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/$number/case.cc" \
    -o "target/review-2/case-$number"
done
