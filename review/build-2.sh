#!/bin/sh
# Builds the tests of the cases of the second review, with their stand-ins, into target/review-2. Needs rustc alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for source in review/*/test.rs; do
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$case" "$source" || exit 2
done
